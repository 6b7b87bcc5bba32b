"""The gangs' figures: counts since the start, and the tail of the gangs that ended of late."""

from collections import Counter, deque
from dataclasses import dataclass, field
from statistics import median, quantiles

KEPT = 256  # gangs whose tails are kept: enough for a 99th percentile that means something


@dataclass(slots=True)
class GangFigures:
    """``counts``: lags, moved, copied, spared, shared, alike, refused, evidence. ``tails_us``: by gang."""

    counts: Counter[str] = field(default_factory=Counter)
    tails_us: deque[int] = field(default_factory=lambda: deque(maxlen=KEPT))

    def ended(self, ends_us: list[int]) -> None:
        """A gang is over: its tail is from its median member's end to its last one's, as heard here."""
        self.tails_us.append(max(ends_us) - int(median(ends_us)))

    def values(self, gangs: int, members: int) -> list[tuple[str, int, str]]:
        """Name, value and type (c for counts, g for gauges), as ``net/figures.py`` writes lines.

        ``gang.tail_ms`` is the 99th percentile of the gangs kept.
        """
        tails = sorted(self.tails_us)
        high = quantiles(tails, n=100, method="inclusive")[98] if len(tails) > 1 else sum(tails)
        names = ("lags", "moved", "copied", "spared", "alike", "shared", "refused", "evidence")
        return [
            ("gang.tail_ms", int(high / 1_000), "g"),
            ("gang.tail_ms.median", int(median(tails) / 1_000) if tails else 0, "g"),
            ("gang.held", gangs, "g"),
            ("gang.members", members, "g"),
            *((f"gang.{name}", self.counts[name], "c") for name in names),
        ]
