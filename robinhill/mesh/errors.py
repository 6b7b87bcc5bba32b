"""Errors of replication between schedulers. Each has a stable ``code`` and advice for an operator."""

from robinhill.errors import RobinhillError


class MeshError(RobinhillError):
    """Base class: replication with other schedulers failed."""

    code = "MeshError"


class PeerRejected(MeshError):
    """A peer belongs to another installation, has our own name, or sent an unsupported or malformed message.

    The link to it is closed.
    """

    code = "PeerRefused"
    advice = "check that both schedulers have the same installation, different names and compatible versions"


class PeerUnreachable(MeshError):
    """The connection to a peer can't be established."""

    code = "PeerUnreachable"
    advice = "check that the peer runs and that its address in the operators' file can be reached from here"


class ForeignState(MeshError):
    """A record or file is damaged, has an unsupported version or belongs to another installation.

    No part of the record or file is used.
    """

    code = "ForeignState"
    advice = "records that peers still store are not lost; keep the quarantined file for the developers"


class FutureStamp(MeshError):
    """A record's timestamp is further in the future than the clocks of two hosts may differ.

    The record is rejected, or is stored with a limited effect (`clocks`).
    """

    code = "FutureStamp"
    advice = "correct the clock of the host that is named, and restart its scheduler"


class StateFull(MeshError):
    """A kind of record has reached its maximum count or size; a new record was rejected."""

    code = "StateFull"
    advice = "remove entries that are no longer needed, or raise the limit in the file of all schedulers"
