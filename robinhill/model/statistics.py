"""Differences between paired runs, with intervals, and when to stop.

Intervals are bias-corrected and accelerated bootstrap ones (Efron 1987) over the pairs, by scipy. Looks are
planned ahead and share the error rate between them (Pocock 1977), so that stopping early does not raise it.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

LEVEL = 0.05  # the error rate of a whole comparison: "a difference" where there is none
FIRST_LOOK = 16  # pairs: with fewer a bootstrap's interval is too narrow
LOOKS = (16, 24, 36, 54, 80, 120)  # pairs at which a comparison may stop
RESAMPLES = 4_000
# Pocock's constant level for six looks at an overall 0.05 (Jennison and Turnbull 2000, table 2.1: z = 2.453).
LOOK_LEVEL = 2 * float(stats.norm.sf(2.453))


@dataclass(slots=True, frozen=True)
class Interval:
    """A mean and where it lies with the stated confidence."""

    mean: float
    low: float
    high: float

    @property
    def half(self) -> float:
        return (self.high - self.low) / 2

    @property
    def sure(self) -> bool:
        """Whether it does not hold 0."""
        return self.low > 0 or self.high < 0

    def __str__(self) -> str:
        return f"{self.mean:+.4f} [{self.low:+.4f}, {self.high:+.4f}]"


def interval(values: Sequence[float], seed: int, level: float = LEVEL) -> Interval:
    """The mean of values with its interval; exact where all are alike."""
    sample = np.asarray(values, dtype=float)
    mean = float(sample.mean()) if len(sample) else 0.0
    if len(sample) < 2 or np.ptp(sample) < 1e-12:
        return Interval(mean, mean, mean)
    rng = np.random.default_rng(seed)
    found = stats.bootstrap(
        (sample,), np.mean, confidence_level=1 - level, n_resamples=RESAMPLES, method="BCa", random_state=rng
    ).confidence_interval
    low, high = float(found.low), float(found.high)
    if not (np.isfinite(low) and np.isfinite(high)):  # one value stands far out: BCa is not defined then
        spread = float(stats.t.ppf(1 - level / 2, len(sample) - 1) * stats.sem(sample))
        low, high = mean - spread, mean + spread
    # The bootstrap is too narrow for few pairs by about this factor (Hesterberg 2015).
    tail = 1 - level / 2
    wide = float(stats.t.ppf(tail, len(sample) - 1) / stats.norm.ppf(tail))
    wide *= float(np.sqrt(len(sample) / (len(sample) - 1)))
    return Interval(mean, mean - (mean - low) * wide, mean + (high - mean) * wide)


@dataclass(slots=True, frozen=True)
class Stop:
    """Whether a comparison is over after so many pairs, and why."""

    yes: bool
    why: str = ""


def may_stop(differences: Sequence[float], until: float, seed: int) -> Stop:
    """At a planned look: over if the difference is sure, or known to within ``until``."""
    if len(differences) not in LOOKS:
        return Stop(False)
    found = interval(differences, seed, LOOK_LEVEL)
    if found.sure:
        return Stop(True, "the difference is sure")
    if found.half <= until:
        return Stop(True, f"the difference is known to within {until:.1%}")
    if len(differences) >= LOOKS[-1]:
        return Stop(True, f"{LOOKS[-1]} pairs are the most")
    return Stop(False)
