"""Replicated records: their timestamps, their form on the wire and on disk, and the kinds that define them.

All times are microseconds. ``now_us`` is Unix time as ``net/clock.py`` keeps it (never steps back within a
process); ``mono_us`` is a monotonic clock of one process, never compared between processes.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

Value = TypeVar("Value")
RecordName = tuple[str, str]
"""Kind and key of a record."""


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """When and by whom a record was last written: a hybrid logical timestamp; larger is later.

    Source: Kulkarni et al., "Logical physical clocks", 2014. ``incarnation`` is larger at each start of
    ``origin``, also if the clock of its host was set back.
    """

    wall_us: int
    count: int
    origin: str
    incarnation: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One piece of replicated state, on the wire and on disk.

    ``kind`` and ``key`` name it. ``value`` is MessagePack that only its kind can decode: a process without
    the kind (a peer is newer) stores and relays the record with the larger stamp unchanged. After
    ``until_us`` (Unix time) it has expired and may be dropped.
    """

    kind: str
    key: str
    stamp: Stamp
    until_us: int
    value: bytes

    @property
    def name(self) -> RecordName:
        """Kind and key."""
        return self.kind, self.key


@dataclass(slots=True, frozen=True)
class Kind(Generic[Value]):
    """One kind of records, registered with the replica.

    ``merge`` is the rule for versions that differ: pure, commutative, associative, idempotent. ``encode``
    must be canonical (equal values give equal bytes). ``bound``: records of it at most; beyond that ``evict``
    says which go first (by ascending key), or new ones are rejected if it is None. ``lifetime_us``: how long
    after its last write a record counts. ``persistent``: whether it is saved to disk and read again at a
    start.
    """

    name: str
    encode: Callable[[Value], bytes]
    decode: Callable[[bytes], Value]
    merge: Callable[[Value, Value], Value]
    lifetime_us: int
    bound: int
    evict: "Callable[[Record], Any] | None" = None
    persistent: bool = True
