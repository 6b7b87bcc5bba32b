"""Errors of the control group. Each class has a stable ``code`` and advice for the operator."""

from robinhill.mesh.errors import MeshError


class VotersMalformed(MeshError):
    """A key of the operators' configuration file that configures voters has an invalid value.

    ``key``: the key's path, such as ``mesh.voters``.
    """

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
    """The limit of tracked changes is reached, and no further change can be tracked.

    A change is tracked so that its progress can be reported to its writer. At the limit, the tracking of the
    oldest accepted changes ends early, but none of the tracked changes is accepted yet. A change is accepted
    once a majority of voters has stored it; in the mode `serve`, once one voter has stored it.
    """

    code = "ChangesFull"
    advice = "wait until pending changes are in force, then retry"
