"""Decaying means and low quantiles: arithmetic alone, with no knowledge of jobs or workers."""

from dataclasses import dataclass
from math import exp

PRIOR_WEIGHT = 2.0  # in samples
SMOOTHING_SAMPLES = 32
QUANTILE_RISE, QUANTILE_FALL = 0.05, 0.3  # step towards a sample above, and below
MAX_QUANTILE_STEP = 1.0  # of the difference that a step counts, so that one huge sample counts as one


@dataclass(slots=True, eq=False)
class DecayingMean:
    """A mean whose samples lose weight exponentially with their age."""

    value: float = 0.0
    count: float = 0.0  # samples, each by the weight that it has left
    at_us: int = 0  # when the last sample was added

    def add(self, now: int, value: float, window_us: int) -> None:
        """Add a sample; those before have decayed by the time since, in units of ``window_us``."""
        self.count = 1.0 + self.count * exp((self.at_us - now) / window_us)
        self.at_us = now
        self.value += (value - self.value) / self.count

    def with_prior(self, prior: float) -> float:
        """The mean as if ``PRIOR_WEIGHT`` further samples had the value ``prior``."""
        return (self.count * self.value + PRIOR_WEIGHT * prior) / (self.count + PRIOR_WEIGHT)


def follow_low_quantile(before: float, sample: float) -> float:
    """Move an estimate of a low quantile towards a sample: down quickly, up slowly."""
    step = QUANTILE_RISE if sample > before else QUANTILE_FALL
    return before + step * min(sample - before, MAX_QUANTILE_STEP)


def smooth(mean: float, sample: float) -> float:
    """Smooth exponentially over ``SMOOTHING_SAMPLES``; a mean of 0 has no samples and takes the first."""
    return mean + ((sample - mean) / SMOOTHING_SAMPLES if mean else sample)
