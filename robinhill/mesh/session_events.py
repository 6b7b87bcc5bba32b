"""Events that a session, one end of a link between two schedulers, returns for received frames."""

from dataclasses import dataclass

from robinhill.mesh.frames import Hello
from robinhill.mesh.record_merging import RejectedRecord
from robinhill.mesh.records import Record


@dataclass(slots=True, frozen=True)
class HelloReceived:
    """The peer's hello was received and accepted."""

    hello: Hello


@dataclass(slots=True, frozen=True)
class RecordsReceived:
    """A push was received that changed the replica, or whose records were rejected or stored with a warning.

    ``records``: the changed records as the replica stores them. ``rejected``: the records that were rejected
    or stored with a warning.
    """

    records: tuple[Record, ...]
    rejected: tuple[RejectedRecord, ...] = ()


@dataclass(slots=True, frozen=True)
class PingAnswered:
    """Ping ``number`` was answered.

    This scheduler stores all changes that the peer knew when the ping arrived at the peer. ``took_us``: the
    round-trip time. ``confirmed_cursor``: the number of the change up to which the peer has all our changes.
    """

    number: int
    took_us: int
    confirmed_cursor: int


@dataclass(slots=True, frozen=True)
class MemberMessageReceived:
    """An application message of the peer, which is not part of replication, was received."""

    payload: bytes


Event = HelloReceived | RecordsReceived | PingAnswered | MemberMessageReceived
