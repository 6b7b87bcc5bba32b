"""What requests take, and how much work the fleet does at once for this scheduler."""

from dataclasses import dataclass, field
from math import exp

UNKNOWN_US = 1_000_000.0  # a class's running time before any job of it has ended
STEP = 1 / 16
SMOOTHING_US = 1_000_000  # over which the number of running jobs is smoothed


@dataclass(slots=True)
class Costs:
    """The learned running time of each class. Running times measure work: an hour of a worker's place is
    one.
    """

    by_class: list[float] = field(default_factory=list)
    known: list[bool] = field(default_factory=list)

    @classmethod
    def of(cls, classes: int) -> "Costs":
        return cls([UNKNOWN_US] * classes, [False] * classes)

    def learn(self, job_class: int, ran_us: float, usual: float) -> None:
        """A job has ended; ``usual`` is what its tenant's jobs take over their class's."""
        if not self.known[job_class]:
            self.by_class[job_class], self.known[job_class] = max(1.0, ran_us), True
            return
        mean = self.by_class[job_class]
        # One tenant's odd jobs must not make its neighbours' look as long: measured against its own usual.
        sample = min(ran_us / max(usual, 0.02), 4 * mean)
        self.by_class[job_class] = max(1.0, mean + (sample - mean) * STEP)


@dataclass(slots=True)
class Throughput:
    """Own jobs that run at once, smoothed while requests wait at admission.

    Since work is running time, this is the work done in a unit of time. It follows a fleet that grows or
    shrinks as fast as jobs begin, where a rate of completions tells what was let in a job's time ago.
    """

    running: int = 0
    smoothed_running: float = 0.0
    at_us: int = 0

    def advance(self, now: int, waiting: bool) -> None:
        """Time has passed with this many running."""
        passed = now - self.at_us
        self.at_us = max(now, self.at_us)
        if passed <= 0:
            return
        if not waiting:
            # The fleet has room: how many run now tells what was asked for and not what it could do.
            self.smoothed_running = max(self.smoothed_running, float(self.running))
        else:
            self.smoothed_running += (self.running - self.smoothed_running) * (
                1 - exp(-passed / SMOOTHING_US)
            )

    @property
    def rate(self) -> float:
        """Work a unit of time; one job at least."""
        return max(1.0, self.smoothed_running)
