"""Learned cost of requests by class, and the rate at which workers run jobs of this scheduler."""

from dataclasses import dataclass, field
from math import exp

UNKNOWN_COST_US = 1_000_000.0  # assumed cost of a class before any of its jobs has ended
COST_STEP = 1 / 16  # weight of the job that ended last in the mean running time of its class
SMOOTHING_US = 1_000_000  # time constant of the average number of running jobs
MIN_TENANT_RATIO = 0.02  # a tenant's ratio below this value is raised to it in `Costs.learn`
MAX_SAMPLE_FACTOR = 4  # a single job counts as at most this multiple of the mean of its class


@dataclass(slots=True)
class Costs:
    """The learned mean running time of each class. Work is measured in microseconds of running time."""

    by_class: list[float] = field(default_factory=list)
    known: list[bool] = field(default_factory=list)

    @classmethod
    def of(cls, classes: int) -> "Costs":
        """The initial costs for a number of classes: UNKNOWN_COST_US until a job of the class has ended."""
        return cls([UNKNOWN_COST_US] * classes, [False] * classes)

    def learn(self, job_class: int, ran_us: float, tenant_ratio: float) -> None:
        """Update the mean of a class with a job that has ended.

        ``tenant_ratio`` is the mean ratio of the running time of the tenant's jobs to that of their classes.
        """
        if not self.known[job_class]:
            self.by_class[job_class], self.known[job_class] = max(1.0, ran_us), True
            return
        mean = self.by_class[job_class]
        # The running time is divided by the tenant's ratio, so that one tenant's long jobs don't raise the
        # estimate for other tenants.
        sample = min(ran_us / max(tenant_ratio, MIN_TENANT_RATIO), MAX_SAMPLE_FACTOR * mean)
        self.by_class[job_class] = max(1.0, mean + (sample - mean) * COST_STEP)


@dataclass(slots=True)
class Throughput:
    """The smoothed number of this scheduler's jobs that run concurrently while requests are queued.

    As work is measured in running time, this number is the work done per unit of time. It follows changes of
    the fleet as soon as jobs start, whereas a completion rate would lag by the length of a job. While no
    request is queued, it may rise but not fall.
    """

    running: int = 0
    smoothed_running: float = 0.0
    at_us: int = 0  # time up to which `smoothed_running` is updated

    def advance(self, now: int, waiting: bool) -> None:
        """Update the average for the time since the last call. ``waiting``: requests are queued."""
        elapsed_us = now - self.at_us
        self.at_us = max(now, self.at_us)
        if elapsed_us <= 0:
            return
        if not waiting:
            # While nothing is queued, the number of running jobs shows the demand and not the capacity, so it
            # may raise the average but not lower it.
            self.smoothed_running = max(self.smoothed_running, float(self.running))
        else:
            self.smoothed_running += (self.running - self.smoothed_running) * (
                1 - exp(-elapsed_us / SMOOTHING_US)
            )

    @property
    def rate(self) -> float:
        """Work done per unit of time; at least 1, the rate of one running job."""
        return max(1.0, self.smoothed_running)
