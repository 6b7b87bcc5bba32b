"""The base class of errors that operators may see: each says what failed and how an operator can react."""


class RobinhillError(Exception):
    """A failure that an operator may have to act on.

    ``what`` describes the failure. Subclasses set ``advice``: one plain sentence on what an operator can do.
    ``str(error)`` contains both. ``code`` names the kind of error in answers to operators; it must not change
    when a class is renamed.
    """

    code: str = "RobinhillError"
    advice: str = ""

    def __init__(self, what: str) -> None:
        super().__init__(f"{what}; {self.advice}" if self.advice else what)
        self.what = what
