"""Errors of the control group. Each has a stable ``code`` and advice for an operator."""

from robinhill.mesh.errors import MeshError


class VotersMalformed(MeshError):
    """The operators' file is wrong about voters. ``key`` names the faulty key."""

    code = "VotersMalformed"
    advice = "mend the key that is named in the operators' file, the same on all hosts, and start again"

    def __init__(self, key: str, what: str, advice: str) -> None:
        self.key = key
        super().__init__(f"{key}: {what}; {advice}")


class VotersNotOneAtATime(MeshError):
    """More than one voter was added or removed at once, or the previous change has not settled."""

    code = "VotersNotOneAtATime"
    advice = "add or remove one voter, reload all voters, and go on once the change has settled"


class JoinRefused(MeshError):
    """An observer or voter was rejected, or sent a malformed or unexpected message."""

    code = "JoinRefused"
    advice = "give all voters and schedulers the same installation, mesh.bound_ms and mesh.on_lost"


class ChangesFull(MeshError):
    """Too many changes are tracked, and none of them is accepted yet."""

    code = "ChangesFull"
    advice = "wait until changes that are under way are in force, then ask again"
