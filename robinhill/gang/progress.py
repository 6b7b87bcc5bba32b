"""The speed of members: progress curves by times of receipt, and the usual run times at each machine type.

Pace is normalised: the expected work of a job is its cost hint times the usual run time per unit of hint at
the worker's machine type. A pace of 1 is the usual one for such a job at such a worker.
"""

import math
from bisect import bisect_left
from collections import OrderedDict, deque
from statistics import median

# Maximum number of points of a curve; a longer one is thinned. The comparison interpolates, so 16 are enough.
MAX_POINTS = 16
# Finished runs retained for each machine type: enough for a stable median, few enough to follow a change
# within minutes.
MAX_ENDS_PER_KIND = 64
# The recent slowdown of all gangs is taken from at least this number of runs that ended within the window.
MIN_RECENT_ENDS = 5
RECENT_WINDOW_US = 5_000_000
# Finished runs of all types that define the usual run time. It is their median, so a general slowdown becomes
# the usual speed only after half of this number of runs.
MAX_ENDS = 4_096
ENDS_PER_SCALE_UPDATE = 64  # the median over all types is computed again after this number of ends
MAX_KINDS = 64  # machine types with statistics; beyond this number, the least recently seen type is removed
# With fewer finished runs a machine type's speed is unknown: its members are compared with each other only.
MIN_ENDS = 8
MIN_RATE = 1e-3  # lower limit of rates, as their logarithm is taken


class Curve:
    """The progress of one run: points of (time, share of the job done), neither of which ever decreases.

    ``start_us`` is the time at which the run started, None if no start was reported. Shares are 0 to 1.
    """

    __slots__ = ("_shares", "_times_us", "ended", "start_us")

    def __init__(self, start_us: int | None = None) -> None:
        self.start_us = start_us
        self.ended = False
        self._times_us: list[int] = []
        self._shares: list[float] = []
        if start_us is not None:
            self._append(start_us, 0.0)

    @property
    def updates(self) -> int:
        """The number of points from progress reports, after thinning; the start doesn't count."""
        return len(self._times_us) - (self.start_us is not None)

    @property
    def empty(self) -> bool:
        """Whether the curve has no points, as neither a start nor progress was reported."""
        return not self._times_us

    @property
    def first_us(self) -> int:
        return self._times_us[0]

    @property
    def last_us(self) -> int:
        return self._times_us[-1]

    @property
    def share(self) -> float | None:
        """The share last reported; None if none was reported, which must not be taken for a share of 0."""
        return self._shares[-1] if self.updates else None

    def add(self, at_us: int, share: float) -> bool:
        """Add a progress report. Returns False and ignores an outdated, duplicate or out-of-range one."""
        if self.ended or not 0.0 <= share <= 1.0:  # also false for NaN
            return False
        if self._times_us and (at_us <= self._times_us[-1] or share < self._shares[-1]):
            return False
        self._append(at_us, share)
        return True

    def end(self, at_us: int) -> None:
        """Record that the run completed: its share becomes 1. A repeated call has no effect."""
        if not self.ended:
            self._append(max(at_us, self._times_us[-1] + 1) if self._times_us else at_us, 1.0)
            self.ended = True

    def _append(self, at_us: int, share: float) -> None:
        if len(self._shares) >= 2 and self._shares[-1] == self._shares[-2] == share:
            self._times_us[-1] = at_us  # no progress: two points with equal shares are enough
            return
        self._times_us.append(at_us)
        self._shares.append(share)
        if len(self._times_us) > MAX_POINTS:  # drop every second point between the first and the last
            keep = [0, *range(2, len(self._times_us) - 1, 2), len(self._times_us) - 1]
            self._times_us = [self._times_us[i] for i in keep]
            self._shares = [self._shares[i] for i in keep]

    def shift(self, by_us: int) -> None:
        """Move all points and the start earlier by ``by_us``."""
        self._times_us = [at - by_us for at in self._times_us]
        if self.start_us is not None:
            self.start_us -= by_us

    def share_at(self, at_us: int) -> float:
        """The share done at a time, by linear interpolation; outside the curve, that of the nearest point."""
        i = bisect_left(self._times_us, at_us)
        if i == 0:
            return self._shares[0]
        if i == len(self._times_us):
            return self._shares[-1]
        t0, t1, s0, s1 = self._times_us[i - 1], self._times_us[i], self._shares[i - 1], self._shares[i]
        return min(s1, s0 + (s1 - s0) * (at_us - t0) / (t1 - t0))

    def rate(self, from_us: int, to_us: int) -> float:
        """The share done per microsecond between two times within the curve."""
        return (self.share_at(to_us) - self.share_at(from_us)) / (to_us - from_us)

    @property
    def overall_rate(self) -> float | None:
        """The share done per microsecond over the whole curve; None if the curve covers no time."""
        if len(self._times_us) < 2 or self._times_us[-1] <= self._times_us[0]:
            return None
        return (self._shares[-1] - self._shares[0]) / (self._times_us[-1] - self._times_us[0])

    def remaining_us(self) -> int | None:
        """The estimated time from the last report to the end of the run; None without enough reports.

        The estimate uses the higher of the rates over the whole run and over its second half: in doubt the
        member is not moved.
        """
        if self.ended:
            return 0
        if not self.updates or len(self._times_us) < 2:
            return None
        middle = (self.first_us + self.last_us) // 2
        rate = max(self.rate(self.first_us, self.last_us), self.rate(middle, self.last_us))
        return int((1.0 - self._shares[-1]) / max(rate, 1e-12))


class Paces:
    """Run times of jobs per unit of their cost hints: over all workers, for each machine type, and recently.

    The speed of a machine type is learned relative to other members of the same gang, not from absolute run
    times: in a general slowdown, the type whose runs happen to end first would otherwise look slow.
    """

    def __init__(self) -> None:
        self._log_paces_by_kind: OrderedDict[str, deque[float]] = OrderedDict()
        self._kind_factors: dict[str, float] = {}
        self._run_ratios: deque[float] = deque(maxlen=MAX_ENDS)
        self._end_count = 0
        self._scale = 1.0
        # For each recently ended run: the time of its end, and its run time divided by the usual one.
        self._recent_slowdowns: deque[tuple[int, float]] = deque(maxlen=MAX_ENDS_PER_KIND)

    def record_end(
        self, now_us: int, kind: str, hint_us: int, run_us: int, log_relative_pace: float | None
    ) -> None:
        """Record the run time of a completed member; without a hint (0) or a run time it is ignored.

        ``log_relative_pace``: the logarithm of its pace over the median pace of its gang; None if too few
        members of the gang have a known pace.
        """
        if hint_us <= 0 or run_us <= 0:
            return
        if (factor := self.factor(kind)) is not None:
            self._recent_slowdowns.append((now_us, run_us / (hint_us * factor)))
        self._run_ratios.append(run_us / hint_us)
        self._end_count += 1
        if (
            self._end_count % ENDS_PER_SCALE_UPDATE == 0
            or MIN_ENDS <= self._end_count < ENDS_PER_SCALE_UPDATE
        ):
            self._scale = median(self._run_ratios)
        if log_relative_pace is None:
            return
        ends = self._log_paces_by_kind.setdefault(kind, deque(maxlen=MAX_ENDS_PER_KIND))
        self._log_paces_by_kind.move_to_end(kind)
        ends.append(log_relative_pace)
        if len(ends) >= MIN_ENDS:
            self._kind_factors[kind] = math.exp(median(ends))
        if len(self._log_paces_by_kind) > MAX_KINDS:
            oldest, _ = self._log_paces_by_kind.popitem(last=False)
            self._kind_factors.pop(oldest, None)

    def recent_slowdown(self, now_us: int) -> float:
        """The median of run time over usual run time of recent runs; 1 if lower or after too few runs."""
        paces = [pace for at, pace in self._recent_slowdowns if at > now_us - RECENT_WINDOW_US]
        return max(1.0, median(paces)) if len(paces) >= MIN_RECENT_ENDS else 1.0

    def factor(self, kind: str) -> float | None:
        """The run time per unit of hint at a machine type, by medians; None while too few runs are known."""
        known = self._kind_factors.get(kind)
        return None if known is None else known * self._scale

    @property
    def scale(self) -> float:
        """The median run time per unit of hint over all machine types."""
        return self._scale
