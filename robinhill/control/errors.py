"""What can go wrong with the control group, and what an operator can do."""

from robinhill.errors import RobinhillError


class ControlError(RobinhillError):
    """The control group can't do what was asked."""


class VotersMalformed(ControlError):
    """The operators' file is wrong about voters. ``key``: which key of the file."""

    def __init__(self, key: str, what: str, advice: str) -> None:
        self.advice = advice
        self.key = key
        super().__init__(f"{key}: {what}")


class VotersNotOneAtATime(ControlError):
    """More than one voter was added or removed at once, or the change before has not settled."""

    advice = "add or remove one voter, reload all voters, and go on once the change has settled"


class JoinRefused(ControlError):
    """An observer or voter was turned away, or sent what can't be read."""

    advice = "give all voters and schedulers the same installation, mesh.bound_ms and mesh.on_lost"


class ChangesFull(ControlError):
    """More changes are followed than a voter or scheduler keeps."""

    advice = "wait until changes that are under way are in force, then ask again"
