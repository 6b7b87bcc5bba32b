"""The base of the errors that operators may meet: each says what happened and what can be done about it."""


class RobinhillError(Exception):
    """Something failed that an operator may have to act on.

    Subclasses set ``advice``: one plain sentence on what an operator can do. ``str(error)`` holds both.
    ``code`` names the kind of error in answers to operators; it stays when a class is renamed.
    """

    code: str = "RobinhillError"
    advice: str = ""

    def __init__(self, what: str) -> None:
        super().__init__(f"{what}; {self.advice}" if self.advice else what)
        self.what = what
