"""Events that a session returns to its owner for received frames."""

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
    """The records that a push changed here, and those that were rejected or stored with a warning."""

    records: tuple[Record, ...]
    rejected: tuple[RejectedRecord, ...] = ()


@dataclass(slots=True, frozen=True)
class PingAnswered:
    """Ping ``number`` was answered, and all that the peer knew when the ping arrived is stored here.

    ``took_us``: the round trip of the ping. ``confirmed_cursor``: the peer has our changes up to this number.
    """

    number: int
    took_us: int
    confirmed_cursor: int


@dataclass(slots=True, frozen=True)
class MemberMessageReceived:
    """An application message of another scheduler, which is not part of replication."""

    payload: bytes


Event = HelloReceived | RecordsReceived | PingAnswered | MemberMessageReceived
