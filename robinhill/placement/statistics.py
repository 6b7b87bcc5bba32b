"""Decaying means and low quantiles: pure arithmetic, independent of jobs and workers."""

from dataclasses import dataclass
from math import exp

PRIOR_WEIGHT = 2.0  # weight of the prior, in samples
SMOOTHING_SAMPLES = 32
# The estimate of a low quantile rises by ``QUANTILE_RISE`` times its difference to a higher sample, and falls
# by ``QUANTILE_FALL`` times its difference to a lower sample.
QUANTILE_RISE, QUANTILE_FALL = 0.05, 0.3
# The difference to a higher sample is limited to this value, so that one huge sample has little effect.
MAX_QUANTILE_STEP = 1.0


@dataclass(slots=True, eq=False)
class DecayingMean:
    """A mean whose samples lose weight exponentially with their age."""

    value: float = 0.0
    count: float = 0.0  # sum of the remaining weights of all samples
    at_us: int = 0  # when the last sample was added

    def add(self, now: int, value: float, window_us: int) -> None:
        """Add a sample; the weight of earlier samples falls by a factor of e per ``window_us`` of age."""
        self.count = 1.0 + self.count * exp((self.at_us - now) / window_us)
        self.at_us = now
        self.value += (value - self.value) / self.count

    def with_prior(self, prior: float) -> float:
        """Return the mean with ``PRIOR_WEIGHT`` additional samples of the value ``prior``."""
        return (self.count * self.value + PRIOR_WEIGHT * prior) / (self.count + PRIOR_WEIGHT)


def follow_low_quantile(before: float, sample: float) -> float:
    """Return the estimate ``before`` of a low quantile moved towards a sample: down fast, up slowly."""
    step = QUANTILE_RISE if sample > before else QUANTILE_FALL
    return before + step * min(sample - before, MAX_QUANTILE_STEP)


def smooth(mean: float, sample: float) -> float:
    """Return the exponential mean over ``SMOOTHING_SAMPLES`` with a sample added.

    A ``mean`` of 0 has no samples yet.
    """
    return mean + ((sample - mean) / SMOOTHING_SAMPLES if mean else sample)
