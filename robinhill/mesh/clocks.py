"""The hybrid logical clock, and the rule for timestamps from the future.

A stamp is later than every stamp that its writer had received and as close to Unix time as that allows
(Kulkarni et al., "Logical physical clocks", 2014).

**Stamps from the future.** No copy ever alters a stamp: each would alter it by its own time, and copies would
differ for as long as the clocks do. Stamps and ends merge by their maximum everywhere, so copies stay equal
byte for byte whatever the clocks show. The effect of a stamp from the future is bounded by three rules:

1. It does not advance other clocks: a stamp more than ``AHEAD_US`` ahead leaves the clocks of its readers
   unchanged, so one wrong host does not spread its time (as it would with plain hybrid clocks).
2. It wins only over what was written without knowledge of it. A later write of a scheduler that has received
   it is stamped with its successor, even if that is in the future too, and so wins on all copies.
3. It lives at most ``FAR_US`` longer than it should: a record further ahead than that, by stamp or by end, is
   rejected. The rejection ends as time passes, so it only delays the merge and can't keep copies apart for
   good. A day covers every mistaken time zone, the usual gross error: a cordon from such a host still counts,
   and one from a host that is years ahead is never *accepted* there.

Both cases are reported (``StampAhead``). Shortening the stamp here instead would be worse than the fault: a
host whose clock shows 1970 would shorten, and so end, every record of all others.

A host whose own clock is wrong lets records expire too early or too late. ``agreed_offset_us`` is the
correction of its time before it is given to the replica.
"""

from collections.abc import Iterable

from robinhill.mesh.errors import FutureStamp
from robinhill.mesh.records import Record, Stamp

AHEAD_US = 5_000_000  # hosts with NTP differ by far less; a larger difference is a fault to report
FAR_US = 24 * 3_600_000_000
MAX_LIFETIME_US = 31 * 24 * 3_600_000_000  # of any kind, known here or not
LAST_US = 2**53 - 1  # the year 2255; JSON readers would round any later time
MAX_COUNT = 2**32 - 1  # of writes within one microsecond
MIN_CLOCKS = 3  # of two that differ, either may be wrong


class StampAhead(FutureStamp):
    """A stamp beyond ``AHEAD_US``. ``stored``: the record stored now; None where it was rejected."""

    code = "StampAhead"

    def __init__(self, what: str, stored: Record | None) -> None:
        super().__init__(what)
        self.stored = stored


class HybridClock:
    """The stamps of one process: two for the same record are never equal unless it was forgotten between."""

    def __init__(self, origin: str, incarnation: int) -> None:
        self.origin = origin
        self.incarnation = incarnation
        self._wall_us = 0
        self._count = 0

    def tick(self, now_us: int, after: Stamp | None = None) -> Stamp:
        """A stamp for a write at ``now_us``, later than ``after``, the stamp of the record that it
        replaces."""
        if now_us > self._wall_us or self._wall_us > now_us + AHEAD_US:  # or this host's time was corrected
            self._wall_us, self._count = now_us, 0
        else:
            self._wall_us, self._count = _next(self._wall_us, self._count)
        stamp = Stamp(self._wall_us, self._count, self.origin, self.incarnation)
        if after is None or stamp > after:
            return stamp
        return Stamp(*_next(after.wall_us, after.count), self.origin, self.incarnation)

    def observe(self, now_us: int, stamp: Stamp) -> None:
        """Later ticks come after ``stamp``, unless it is more than ``AHEAD_US`` ahead."""
        if stamp.wall_us <= now_us + AHEAD_US:
            self._wall_us, self._count = max((self._wall_us, self._count), (stamp.wall_us, stamp.count))


def _next(wall_us: int, count: int) -> tuple[int, int]:
    return (wall_us, count + 1) if count < MAX_COUNT else (wall_us + 1, 0)


def ahead_us(now_us: int, record: Record) -> int:
    """How far a record is in the future, by its stamp or by an end beyond every lifetime."""
    return max(record.stamp.wall_us, record.until_us - MAX_LIFETIME_US) - now_us


def next_incarnation(now_us: int, before: int = 0) -> int:
    """The incarnation of a process that starts; ``before``: the last one known, from disk or from peers."""
    return max(now_us, before + 1)


def agreed_offset_us(offsets_us: Iterable[int]) -> int:
    """The correction of our time towards that of most hosts: the median of ours and theirs.

    ``offsets_us``: for each live peer, its time minus ours. 0 while fewer than ``MIN_CLOCKS`` are known, and
    if the median is within half of ``AHEAD_US``: small differences are harmless, steps might not be.
    """
    offsets = sorted([0, *offsets_us])
    if len(offsets) < MIN_CLOCKS:
        return 0
    median = (offsets[len(offsets) // 2] + offsets[(len(offsets) - 1) // 2]) // 2
    return median if abs(median) > AHEAD_US // 2 else 0
