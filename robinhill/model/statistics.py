"""Confidence intervals for differences between paired runs, and the rule that ends a comparison early.

Intervals are bias-corrected and accelerated (BCa) bootstrap intervals over the pairs (Efron 1987), computed
by scipy. The interim looks at the data are planned in advance and share the error rate between them (Pocock
1977), so that stopping early does not raise it.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

OVERALL_LEVEL = 0.05  # probability that a comparison reports a difference that does not exist
FIRST_LOOK = 16  # pairs; from fewer pairs, a bootstrap interval is too narrow
LOOKS = (16, 24, 36, 54, 80, 120)  # numbers of pairs after which a comparison may stop
RESAMPLES = 4_000
# Pocock's constant level for six looks at an overall 0.05 (Jennison and Turnbull 2000, table 2.1: z = 2.453).
LOOK_LEVEL = 2 * float(stats.norm.sf(2.453))


@dataclass(slots=True, frozen=True)
class Interval:
    """A mean and the bounds of its confidence interval."""

    mean: float
    low: float
    high: float

    @property
    def half_width(self) -> float:
        return (self.high - self.low) / 2

    @property
    def excludes_zero(self) -> bool:
        """Whether the mean differs from 0 at the interval's confidence level."""
        return self.low > 0 or self.high < 0

    def __str__(self) -> str:
        return f"{self.mean:+.4f} [{self.low:+.4f}, {self.high:+.4f}]"


def interval(values: Sequence[float], seed: int, level: float = OVERALL_LEVEL) -> Interval:
    """Return the mean of the values with its confidence interval, of width 0 if all values are equal."""
    sample = np.asarray(values, dtype=float)
    mean = float(sample.mean()) if len(sample) else 0.0
    if len(sample) < 2 or np.ptp(sample) < 1e-12:
        return Interval(mean, mean, mean)
    rng = np.random.default_rng(seed)
    found = stats.bootstrap(
        (sample,), np.mean, confidence_level=1 - level, n_resamples=RESAMPLES, method="BCa", random_state=rng
    ).confidence_interval
    low, high = float(found.low), float(found.high)
    if not (np.isfinite(low) and np.isfinite(high)):  # BCa is undefined with a single far outlier
        half_width = float(stats.t.ppf(1 - level / 2, len(sample) - 1) * stats.sem(sample))
        low, high = mean - half_width, mean + half_width
    # For few pairs the bootstrap interval is too narrow by about this factor (Hesterberg 2015).
    probability = 1 - level / 2
    widening = float(stats.t.ppf(probability, len(sample) - 1) / stats.norm.ppf(probability))
    widening *= float(np.sqrt(len(sample) / (len(sample) - 1)))
    return Interval(mean, mean - (mean - low) * widening, mean + (high - mean) * widening)


@dataclass(slots=True, frozen=True)
class StopDecision:
    """Whether a comparison ends after the pairs run so far, and for which reason."""

    stops: bool
    why: str = ""


def may_stop(differences: Sequence[float], until: float, seed: int) -> StopDecision:
    """Decide whether a comparison ends after these paired differences.

    It continues between the planned looks. At a look it ends if the interval of the mean excludes 0, if the
    interval's half-width is at most ``until``, or if this was the last look.
    """
    if len(differences) not in LOOKS:
        return StopDecision(False)
    found = interval(differences, seed, LOOK_LEVEL)
    if found.excludes_zero:
        return StopDecision(True, "the difference is significant")
    if found.half_width <= until:
        return StopDecision(True, f"the difference is known to within {until:.1%}")
    if len(differences) >= LOOKS[-1]:
        return StopDecision(True, f"the maximum of {LOOKS[-1]} pairs is reached")
    return StopDecision(False)
