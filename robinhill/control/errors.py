"""Errors of the control group. Each class has a stable ``code`` and advice for the operator."""

from robinhill.mesh.errors import MeshError


class VotersMalformed(MeshError):
    """A key of the operators' file that configures voters has an invalid value. ``key`` names it."""

    code = "VotersMalformed"
    advice = "correct the named key in the operators' file, identically on all hosts, and restart"

    def __init__(self, key: str, what: str, advice: str) -> None:
        self.key = key
        super().__init__(f"{key}: {what}; {advice}")


class VotersNotOneAtATime(MeshError):
    """A reload adds or removes more than one voter, or the previous change of the list has not settled."""

    code = "VotersNotOneAtATime"
    advice = "add or remove one voter at a time, reload all voters, and wait until the change has settled"


class JoinRefused(MeshError):
    """The join of an observer was rejected, or a link carried a malformed or unexpected message."""

    code = "JoinRefused"
    advice = "configure the same installation, mesh.bound_ms and mesh.on_lost on all voters and schedulers"


class ChangesFull(MeshError):
    """The limit of tracked changes is reached, and none of them is accepted yet, so none can be dropped."""

    code = "ChangesFull"
    advice = "wait until pending changes are in force, then retry"
