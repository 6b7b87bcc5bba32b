"""Learned cost of requests, and how much work the fleet does at a time for this scheduler."""

from dataclasses import dataclass, field
from math import exp

UNKNOWN_COST_US = 1_000_000.0  # of a class before any job of it has ended
COST_STEP = 1 / 16
SMOOTHING_US = 1_000_000
MIN_TENANT_RATIO = 0.02
MAX_SAMPLE_FACTOR = 4  # of the mean, for one job


@dataclass(slots=True)
class Costs:
    """The learned running time of each class in microseconds, which is the unit of work."""

    by_class: list[float] = field(default_factory=list)
    known: list[bool] = field(default_factory=list)

    @classmethod
    def of(cls, classes: int) -> "Costs":
        """Nothing learned yet for so many classes."""
        return cls([UNKNOWN_COST_US] * classes, [False] * classes)

    def learn(self, job_class: int, ran_us: float, tenant_ratio: float) -> None:
        """A job has ended; ``tenant_ratio``: running time of its tenant's jobs over that of their classes."""
        if not self.known[job_class]:
            self.by_class[job_class], self.known[job_class] = max(1.0, ran_us), True
            return
        mean = self.by_class[job_class]
        # Normalised by tenant, so that one tenant's long jobs don't raise the cost of others.
        sample = min(ran_us / max(tenant_ratio, MIN_TENANT_RATIO), MAX_SAMPLE_FACTOR * mean)
        self.by_class[job_class] = max(1.0, mean + (sample - mean) * COST_STEP)


@dataclass(slots=True)
class Throughput:
    """Own jobs that run at a time, smoothed while requests are queued.

    Since work is running time, this is the work done in a unit of time. It follows a changing fleet as fast
    as jobs start, where a rate of completions lags by the length of a job.
    """

    running: int = 0
    smoothed_running: float = 0.0
    at_us: int = 0

    def advance(self, now: int, waiting: bool) -> None:
        """Account for the time since the last call. ``waiting``: requests are queued."""
        passed = now - self.at_us
        self.at_us = max(now, self.at_us)
        if passed <= 0:
            return
        if not waiting:
            # With free capacity the number of running jobs shows the demand and not the capacity.
            self.smoothed_running = max(self.smoothed_running, float(self.running))
        else:
            self.smoothed_running += (self.running - self.smoothed_running) * (
                1 - exp(-passed / SMOOTHING_US)
            )

    @property
    def rate(self) -> float:
        """Work in a unit of time; one job at least."""
        return max(1.0, self.smoothed_running)
