"""The metrics of gangs: counters since the start, and the tails of the gangs that ended last."""

from collections import Counter, deque
from dataclasses import dataclass, field
from statistics import median, quantiles

MAX_TAILS = 256  # tails retained: enough for a meaningful 99th percentile


@dataclass(slots=True)
class GangMetrics:
    """``counts``: counters by the names listed in `values`. ``tails_us``: tails of the gangs that ended last.

    A gang's tail is the time from the end of its median member to the end of its last one.
    """

    counts: Counter[str] = field(default_factory=Counter)
    tails_us: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_TAILS))

    def record_tail(self, ends_us: list[int]) -> None:
        """Record the tail of a gang that has ended, from the times at which this scheduler learned of its
        members' ends."""
        self.tails_us.append(max(ends_us) - int(median(ends_us)))

    def values(self, gangs: int, members: int) -> list[tuple[str, int, str]]:
        """Name, value and type (c for counters, g for gauges) of each metric.

        ``gang.tail_ms`` is the 99th percentile of ``tails_us``, in milliseconds.
        """
        tails = sorted(self.tails_us)
        p99_us = quantiles(tails, n=100, method="inclusive")[98] if len(tails) > 1 else sum(tails)
        names = ("lags", "moved", "copied", "spared", "alike", "shared", "refused", "evidence")
        return [
            ("gang.tail_ms", int(p99_us / 1_000), "g"),
            ("gang.tail_ms.median", int(median(tails) / 1_000) if tails else 0, "g"),
            ("gang.held", gangs, "g"),
            ("gang.members", members, "g"),
            *((f"gang.{name}", self.counts[name], "c") for name in names),
        ]
