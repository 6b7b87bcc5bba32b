"""Decision modules with any number of workers, for the scaling measurements."""

from robinhill import api
from robinhill.logic import Balancer

SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US
ADDRESS_PORT = 9_000


def settings(latency_objective_us: int = 100_000, deadline_us: int = 5 * SECOND_US) -> api.Settings:
    """Settings with one class of retryable jobs, whose starts the workers report."""
    job_class = api.JobClass(latency_objective_us, deadline_us, stretch=2.0, repeat=api.Repeat.SAFE)
    return api.Settings(
        (job_class,),
        fleet_size=200,
        max_attempts=4,
        cancelling=True,
        reports_start=True,
        slow_start_floor=0.3,
    )


def worker(number: int, zones: int = 21) -> api.Worker:
    """The worker with this number, past its slow start, in one of the ``zones``."""
    octets = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return api.Worker(f"{octets}:{ADDRESS_PORT}", zone=number % zones, kind=number % 4)


def workers(count: int) -> list[api.Worker]:
    return [worker(number) for number in range(count)]


class Node:
    """One decision module with its own clock, which the caller advances.

    ``in_flight``: jobs that the module has sent to workers, oldest first.
    """

    def __init__(self, worker_count: int, custom_settings: api.Settings | None = None) -> None:
        self.now_us = START_US
        self.balancer = Balancer(custom_settings or settings(), seed=7)
        self.balancer.start(self.now_us)
        self.deadline_us = self.balancer.settings.classes[0].deadline_us
        self.jobs = 0
        self.in_flight: list[int] = []
        self.apply_list(api.ListKind.FULL, workers(worker_count))

    def apply_list(self, kind: api.ListKind, listed: list[api.Worker]) -> None:
        self.balancer.handle(self.now_us, api.WorkersListed(kind, listed))

    def arrive(self, after_us: int = 0) -> None:
        """Advance the clock by ``after_us``, then handle the arrival of a request."""
        self.now_us += after_us
        self.jobs += 1
        self._handle(api.Arrived(api.Request(self.jobs, 0, self.deadline_us)))

    def start_oldest(self) -> None:
        """Handle the report that the oldest job in flight has started to run."""
        self._handle(api.JobStarted(self.in_flight[0], 0))

    def end_oldest(self, took_us: int = 50_000) -> None:
        """Handle the successful end of the oldest job in flight."""
        self._handle(api.AttemptEnded(self.in_flight.pop(0), 0, api.Outcome.COMPLETED, took_us, True))

    def _handle(self, event: api.Event) -> None:
        """Handle an event and add the jobs that the module sends in response to ``in_flight``."""
        actions = self.balancer.handle(self.now_us, event)
        self.in_flight += [action.job for action in actions if isinstance(action, api.Send)]
