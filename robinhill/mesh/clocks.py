"""The hybrid logical clock, and the rules for timestamps from the future.

A stamp is the timestamp of a record: Unix time and a count. It is later than every stamp that its writer had
received, and as close to Unix time as that allows (Kulkarni et al., "Logical physical clocks", 2014). A
*copy* is the set of all replicated records as one scheduler stores it.

**Stamps from the future.** No copy ever changes the stamp of a record that it receives: each copy would
adjust the stamp by its own clock, and copies would differ for as long as the clocks do. Stamps and expiry
times merge by their maximum on every copy, so copies stay equal byte for byte whatever their clocks show.
Three rules limit the effect of a stamp from the future:

1. Such a stamp does not advance other clocks: a stamp more than ``MAX_SKEW_US`` ahead leaves the clock of
   every process that receives the stamp unchanged, so a host with a wrong clock does not spread its time (as
   it would with plain hybrid clocks).
2. Such a stamp wins only over stamps of the same record that were written without knowledge of it. A
   scheduler that has received the stamp gives its next write of that record the successor of the stamp, even
   if the successor is in the future too. The write therefore wins on all copies.
3. Such a stamp extends the lifetime of a record by at most ``MAX_FUTURE_US``: a record whose stamp or expiry
   time is further ahead than ``MAX_FUTURE_US`` is rejected. The rejection ends as time passes, so it delays
   the merge but does not keep copies different for good. ``MAX_FUTURE_US`` is a day, which covers every
   mistaken time zone, the usual gross error: a cordon from a host with the wrong time zone still takes
   effect, and a cordon from a host whose clock is years ahead is never *accepted* (confirmed by a majority).

A record to which rule 1 or 3 applies is reported (``StampAhead``). Reducing its stamp on arrival instead
would do more harm than the wrong clock: a host whose clock shows 1970 would reduce the stamps of all records
of all other hosts, and so end these records.

A host whose own clock is wrong lets records expire too early or too late. ``agreed_offset_us`` computes the
correction that the caller applies to its time before it passes the time to the replica.
"""

from collections.abc import Iterable

from robinhill.mesh.errors import FutureStamp
from robinhill.mesh.records import Record, Stamp

MAX_SKEW_US = 5_000_000  # clocks of hosts with NTP differ by far less; a larger skew is a fault to report
MAX_FUTURE_US = 24 * 3_600_000_000  # a record with a stamp further in the future is rejected (rule 3)
MAX_LIFETIME_US = 31 * 24 * 3_600_000_000  # limit for records of all kinds, registered in this process or not
MAX_TIME_US = 2**53 - 1  # the year 2255; JSON readers round larger integers
MAX_COUNT = 2**32 - 1  # the largest count of a stamp, which tells writes within one microsecond apart
MIN_CLOCKS = 3  # if only two clocks are known and they differ, either may be wrong


class StampAhead(FutureStamp):
    """A stamp is more than ``MAX_SKEW_US`` in the future.

    ``stored``: the record that the replica stores after the merge, None if it rejected the received record.
    """

    code = "StampAhead"

    def __init__(self, what: str, stored: Record | None) -> None:
        super().__init__(what)
        self.stored = stored


class HybridClock:
    """Generates the stamps of one process.

    Two stamps for the same record are never equal, unless the replica dropped the record between the writes.
    """

    def __init__(self, origin: str, incarnation: int) -> None:
        self.origin = origin
        self.incarnation = incarnation
        self._wall_us = 0
        self._count = 0

    def tick(self, now_us: int, after: Stamp | None = None) -> Stamp:
        """Return a stamp for a write at ``now_us``.

        The stamp is later than ``after``, the stamp of the record that the write replaces; None if there is
        no such record.
        """
        # The second condition is true after the clock of this host was set back.
        if now_us > self._wall_us or self._wall_us > now_us + MAX_SKEW_US:
            self._wall_us, self._count = now_us, 0
        else:
            self._wall_us, self._count = _next(self._wall_us, self._count)
        stamp = Stamp(self._wall_us, self._count, self.origin, self.incarnation)
        if after is None or stamp > after:
            return stamp
        return Stamp(*_next(after.wall_us, after.count), self.origin, self.incarnation)

    def observe(self, now_us: int, stamp: Stamp) -> None:
        """Make later ticks return stamps after the received ``stamp``.

        A stamp more than ``MAX_SKEW_US`` ahead of ``now_us`` is ignored.
        """
        if stamp.wall_us <= now_us + MAX_SKEW_US:
            self._wall_us, self._count = max((self._wall_us, self._count), (stamp.wall_us, stamp.count))


def _next(wall_us: int, count: int) -> tuple[int, int]:
    return (wall_us, count + 1) if count < MAX_COUNT else (wall_us + 1, 0)


def ahead_us(now_us: int, record: Record) -> int:
    """Return how far a record is in the future, in microseconds; negative if it is in the past.

    The later of two times counts: its stamp, and its expiry time minus the longest lifetime of any kind.
    """
    return max(record.stamp.wall_us, record.until_us - MAX_LIFETIME_US) - now_us


def next_incarnation(now_us: int, before: int = 0) -> int:
    """Return the incarnation of a process that starts.

    ``before``: the last known incarnation of the previous process, from disk or from peers; 0 if unknown.
    """
    return max(now_us, before + 1)


def agreed_offset_us(offsets_us: Iterable[int]) -> int:
    """Return the correction that moves our time to the median of our clock and the clocks of the peers.

    ``offsets_us``: for each live peer, its time minus ours. The correction is 0 while fewer than
    ``MIN_CLOCKS`` clocks, ours included, are known. It is also 0 if the median differs from our clock by at
    most half of ``MAX_SKEW_US``: such a small difference is harmless, whereas a step of our time might not
    be.
    """
    offsets = sorted([0, *offsets_us])
    if len(offsets) < MIN_CLOCKS:
        return 0
    median = (offsets[len(offsets) // 2] + offsets[(len(offsets) - 1) // 2]) // 2
    return median if abs(median) > MAX_SKEW_US // 2 else 0
