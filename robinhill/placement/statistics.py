"""Statistics that the decision module keeps, of no meaning of their own: decaying means and low quantiles."""

from dataclasses import dataclass
from math import exp

PRIOR_WEIGHT = 2.0  # samples after which a mean counts as much as what it leans on


@dataclass(slots=True, eq=False)
class DecayingMean:
    """A mean over a window (us), leaning on a prior the more the fewer and older its samples."""

    value: float = 0.0
    count: float = 0.0  # samples, as far as they still weigh
    at_us: int = 0

    def add(self, now: int, value: float, window_us: int) -> None:
        self.count = 1.0 + self.count * exp((self.at_us - now) / window_us)
        self.at_us = now
        self.value += (value - self.value) / self.count

    def with_prior(self, prior: float) -> float:
        return (self.count * self.value + PRIOR_WEIGHT * prior) / (self.count + PRIOR_WEIGHT)


@dataclass(slots=True, eq=False)
class ZoneWait(DecayingMean):
    """A mean that also says how much other things count: ``factor`` as a rule, ``fresh`` where all is new."""

    cost_factor: float = 1.0
    new_connection_factor: float = 1.0


def follow_low_quantile(before: float, sample: float) -> float:
    """Follow a low quantile: quickly down, slowly up."""
    return before + (0.05 if sample > before else 0.3) * min(sample - before, 1.0)


def smooth(mean: float, sample: float) -> float:
    """Smooth over some 32 samples; the first one counts whole (a mean of 0 has none)."""
    return mean + ((sample - mean) / 32 if mean else sample)
