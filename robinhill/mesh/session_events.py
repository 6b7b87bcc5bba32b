"""What a session reports to its owner: the events that received frames bring about."""

from dataclasses import dataclass

from robinhill.mesh.frames import Hello
from robinhill.mesh.record_merging import RejectedRecord
from robinhill.mesh.records import Record


@dataclass(slots=True, frozen=True)
class HelloReceived:
    """The peer has introduced itself and was accepted."""

    hello: Hello


@dataclass(slots=True, frozen=True)
class RecordsReceived:
    """Records that changed here by a push, and those that were rejected or stored with a warning."""

    records: tuple[Record, ...]
    rejected: tuple[RejectedRecord, ...] = ()


@dataclass(slots=True, frozen=True)
class PingAnswered:
    """Everything that the peer knew when ping ``number`` arrived is here, ``took_us`` after it was written.

    ``confirmed_cursor``: our changes up to this one are at the peer.
    """

    number: int
    took_us: int
    confirmed_cursor: int


@dataclass(slots=True, frozen=True)
class MemberMessageReceived:
    """A message of another member outside of replication."""

    payload: bytes


Event = HelloReceived | RecordsReceived | PingAnswered | MemberMessageReceived
