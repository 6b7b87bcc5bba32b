"""Replicated records: their timestamps, their form on the wire and on disk, and the kinds that define them.

Errors of the mesh are in ``errors``.

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

    Source: Kulkarni et al., "Logical physical clocks", 2014. ``incarnation`` is new at each start of
    ``origin`` and larger than the one before, also where that host's clock was set back.
    """

    wall_us: int
    count: int
    origin: str
    incarnation: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One piece of shared state, as it travels and as it lies on disk.

    ``kind`` and ``key`` name it. ``value`` is MessagePack that only its kind understands: a process that
    does not know the kind (a peer is newer) keeps and passes on the record with the larger stamp, unharmed.
    Past ``until_us`` (Unix time) it counts for nothing and may be dropped.
    """

    kind: str
    key: str
    stamp: Stamp
    until_us: int
    value: bytes

    @property
    def name(self) -> RecordName:
        return self.kind, self.key


@dataclass(slots=True, frozen=True)
class Kind(Generic[Value]):
    """One kind of state, registered with the replica, which knows none by name.

    ``merge`` is the rule for copies that differ: pure, commutative, associative, idempotent. ``encode`` must
    be canonical (equal values give equal bytes). ``bound``: records of it at most; beyond that ``evict`` says
    which go first (by ascending key), or new ones are refused where it is None. ``lifetime_us``: how long
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
