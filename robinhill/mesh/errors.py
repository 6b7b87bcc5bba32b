"""Errors of replication between schedulers. Each has a stable ``code`` and advice for an operator."""

from robinhill.errors import RobinhillError


class MeshError(RobinhillError):
    """Replication with other schedulers failed."""

    code = "MeshError"


class PeerRejected(MeshError):
    """A peer was rejected: wrong installation or protocol, our own name, or a malformed message."""

    code = "PeerRefused"
    advice = "check that both name the same installation, that names differ and that versions are close"


class PeerUnreachable(MeshError):
    """No link to a peer can be established."""

    code = "PeerUnreachable"
    advice = "look whether it runs and whether its address in the operators' file can be reached from here"


class ForeignState(MeshError):
    """A record or file is of another installation, damaged or of an unreadable version; it is not used."""

    code = "ForeignState"
    advice = "nothing is lost that peers still hold; keep the file that was set aside for the developers"


class FutureStamp(MeshError):
    """A record's timestamp is further in the future than clocks may differ; its effect is bounded."""

    code = "FutureStamp"
    advice = "set the clock of the host that is named, and start its scheduler again"


class StateFull(MeshError):
    """A kind of state is at its bound; a new record was rejected."""

    code = "StateFull"
    advice = "lift what is no longer needed, or raise the bound in the operators' file on all schedulers"
