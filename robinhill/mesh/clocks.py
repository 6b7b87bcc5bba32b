"""The hybrid logical clock, and what becomes of stamps from the future.

A stamp is later than every stamp that its writer had seen and stays as close to Unix time as that allows
(Kulkarni et al., "Logical physical clocks", 2014).

**The rule for stamps from the future.** No copy ever alters a stamp: each would alter it by its own time, and
copies would differ for as long as the clocks do. Stamps and ends merge by their maximum everywhere, so copies
stay equal byte for byte whatever clocks say. What a stamp from the future may bring about is bounded by this:

1. Clocks are not drawn along: a stamp more than ``AHEAD_US`` ahead leaves the clocks of those who read it as
   they are, so one wrong host does not spread its time over all (where plain hybrid clocks fail).
2. It wins only over what was written without knowledge of it. Who has seen it and writes the same record
   again stamps that with its successor, even if this is in the future too, and so wins on all copies.
3. It lives at most ``FAR_US`` longer than it should: what claims to be further ahead than that, by stamp or
   by end, is refused. As time goes on the refusal ends by itself, so refusing is no more than a delay to the
   merge and can't keep copies apart for good. A day takes in every mistaken time zone, the usual gross error;
   so a cordon from such a host still counts, and one from a host that is years ahead is never *accepted*
   there.

It is reported in both cases (``StampAhead``). Shortening it here instead would be worse than the fault: a
host whose clock says 1970 would shorten, and so end, every record of all others.

A host whose own clock is wrong takes records for over too early or too late. ``agreed_offset_us`` says by how
much its time should be corrected before it is given to the replica.
"""

from collections.abc import Iterable

from robinhill.mesh.errors import FutureStamp
from robinhill.mesh.records import Record, Stamp

AHEAD_US = 5_000_000  # hosts that keep time by NTP differ by far less; what is beyond it is a fault to report
FAR_US = 24 * 3_600_000_000
MAX_LIFETIME_US = 31 * 24 * 3_600_000_000  # of any kind, so that ends of unknown kinds can be judged too
LAST_US = 2**53 - 1  # any time beyond it (the year 2255) is damage, and JSON readers would round it
MAX_COUNT = 2**32 - 1  # of writes within one microsecond
MIN_CLOCKS = 3  # of two that differ nobody can say which is wrong


class StampAhead(FutureStamp):
    """A stamp beyond ``AHEAD_US``. ``stored``: the record stored now; None where it was rejected."""

    code = "StampAhead"

    def __init__(self, what: str, stored: Record | None) -> None:
        super().__init__(what)
        self.stored = stored


class HybridClock:
    """Gives the stamps of one process. Two stamps for the same record are never equal unless it forgot the
    record in between.
    """

    def __init__(self, origin: str, incarnation: int) -> None:
        self.origin = origin
        self.incarnation = incarnation
        self._wall_us = 0
        self._count = 0

    def tick(self, now_us: int, after: Stamp | None = None) -> Stamp:
        """A stamp for a write; later than ``after``, the stamp of what the write replaces."""
        if now_us > self._wall_us or self._wall_us > now_us + AHEAD_US:  # or our own time was corrected
            self._wall_us, self._count = now_us, 0
        else:
            self._wall_us, self._count = _next(self._wall_us, self._count)
        stamp = Stamp(self._wall_us, self._count, self.origin, self.incarnation)
        if after is None or stamp > after:
            return stamp
        return Stamp(*_next(after.wall_us, after.count), self.origin, self.incarnation)

    def observe(self, now_us: int, stamp: Stamp) -> None:
        """Later ticks come after ``stamp``, unless it is too far ahead to be believed."""
        if stamp.wall_us <= now_us + AHEAD_US:
            self._wall_us, self._count = max((self._wall_us, self._count), (stamp.wall_us, stamp.count))


def _next(wall_us: int, count: int) -> tuple[int, int]:
    return (wall_us, count + 1) if count < MAX_COUNT else (wall_us + 1, 0)


def ahead_us(now_us: int, record: Record) -> int:
    """How far a record is in the future, by its stamp or by an end that no kind could give it now."""
    return max(record.stamp.wall_us, record.until_us - MAX_LIFETIME_US) - now_us


def next_incarnation(now_us: int, before: int = 0) -> int:
    """The incarnation of a process that starts; ``before`` is the last one known, from disk or from peers."""
    return max(now_us, before + 1)


def agreed_offset_us(offsets_us: Iterable[int]) -> int:
    """What to add to our time to get the time of most: the median of ours and theirs.

    ``offsets_us``: for each live peer, its time less ours. 0 while fewer than ``FEWEST_CLOCKS`` are known,
    and where the median is within half of ``AHEAD_US``: small differences do no harm, steps might.
    """
    known = sorted([0, *offsets_us])
    if len(known) < MIN_CLOCKS:
        return 0
    median = (known[len(known) // 2] + known[(len(known) - 1) // 2]) // 2
    return median if abs(median) > AHEAD_US // 2 else 0
