"""Errors of the control group. Each class has a stable ``code`` and advice for the operator."""

from robinhill.mesh.errors import MeshError


class VotersMalformed(MeshError):
    """A key of the operators' file that configures voters has an invalid value. ``key``: the key's path."""

    code = "VotersMalformed"
    advice = "correct the named key in the operators' file, identically on all hosts, and restart"

    def __init__(self, key: str, what: str, advice: str) -> None:
        self.key = key
        super().__init__(f"{key}: {what}; {advice}")


class VotersNotOneAtATime(MeshError):
    """A reload adds or removes more than one voter, or the previous change of the voter list has not settled.

    A change of the list has settled once all voters have used the changed list for longer than a lease lasts.
    """

    code = "VotersNotOneAtATime"
    advice = "add or remove one voter at a time, reload all voters, and wait until the change has settled"


class JoinRefused(MeshError):
    """A voter rejected the join of an observer, or a link carried a malformed or unexpected message."""

    code = "JoinRefused"
    advice = "configure the same installation, mesh.bound_ms and mesh.on_lost on all voters and schedulers"


class ChangesFull(MeshError):
    """The limit of tracked changes is reached, and no more can be tracked.

    None of the tracked changes is accepted yet, and only the tracking of an accepted change may end early.
    """

    code = "ChangesFull"
    advice = "wait until pending changes are in force, then retry"
