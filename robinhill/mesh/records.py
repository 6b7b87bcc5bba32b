"""Replicated records: their timestamps, their form on the wire and on disk, and the kinds that define them.

All times are microseconds. ``now_us`` is Unix time from ``net/clock.py``, which never steps back within a
process; ``mono_us`` is the monotonic clock of one process and is never compared between processes.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

Value = TypeVar("Value")
RecordName = tuple[str, str]
"""Kind and key of a record."""


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """When and by which process a record was last written: a hybrid logical timestamp; the larger is later.

    Source: Kulkarni et al., "Logical physical clocks", 2014. ``origin``: the scheduler that wrote the record.
    ``wall_us``: Unix time, or a later time that the writer had received in another stamp. ``count``: orders
    stamps with the same ``wall_us``. ``incarnation`` increases at each start of ``origin``, even if the clock
    of its host was set back.
    """

    wall_us: int
    count: int
    origin: str
    incarnation: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One piece of replicated state, on the wire and on disk.

    ``kind`` and ``key`` name the record. ``value`` is MessagePack that only the record's kind can decode. A
    process may not know the kind, if a peer runs a newer version; it then stores and relays the value with
    the larger stamp unchanged. At ``until_us`` (Unix time) the record expires, and may be dropped.
    """

    kind: str
    key: str
    stamp: Stamp
    until_us: int
    value: bytes

    @property
    def name(self) -> RecordName:
        """Kind and key, which identify the record."""
        return self.kind, self.key


@dataclass(slots=True, frozen=True)
class Kind(Generic[Value]):
    """One kind of records, registered with the replica.

    ``merge`` combines two values of a record; it must be pure, commutative, associative and idempotent.
    ``encode`` must be canonical (equal values give equal bytes). ``bound``: the maximum number of records.
    ``evict`` returns a sort key: above the bound, the record with the smallest sort key is evicted first. If
    ``evict`` is None, new records are rejected instead. ``lifetime_us``: the time from its last write after
    which a record expires. ``persistent``: whether records are saved to disk and restored at a start.
    """

    name: str
    encode: Callable[[Value], bytes]
    decode: Callable[[bytes], Value]
    merge: Callable[[Value, Value], Value]
    lifetime_us: int
    bound: int
    evict: "Callable[[Record], Any] | None" = None
    persistent: bool = True
