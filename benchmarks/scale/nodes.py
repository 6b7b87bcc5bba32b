"""Decision modules with any number of workers, for the ladders."""

from robinhill import api
from robinhill.logic import Balancer

SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US
ADDRESS_PORT = 9_000


def settings(latency_objective_us: int = 100_000, deadline_us: int = 5 * SECOND_US) -> api.Settings:
    """One class of jobs that may be repeated; workers tell when a job starts."""
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
    """The worker of this number: long warm, in one of so many zones."""
    octets = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return api.Worker(f"{octets}:{ADDRESS_PORT}", zone=number % zones, kind=number % 4)


def workers(count: int) -> list[api.Worker]:
    return [worker(number) for number in range(count)]


class Node:
    """One decision module and its clock."""

    def __init__(self, worker_count: int, given: api.Settings | None = None) -> None:
        self.now_us = START_US
        self.balancer = Balancer(given or settings(), seed=7)
        self.balancer.start(self.now_us)
        self.deadline_us = self.balancer.settings.classes[0].deadline_us
        self.jobs = 0
        self.sent: list[int] = []
        self.list(api.ListKind.FULL, workers(worker_count))

    def list(self, kind: api.ListKind, listed: list[api.Worker]) -> None:
        self.balancer.handle(self.now_us, api.WorkersListed(kind, listed))

    def arrive(self, after_us: int = 0) -> None:
        """A request comes."""
        self.now_us += after_us
        self.jobs += 1
        self._handle(api.Arrived(api.Request(self.jobs, 0, self.deadline_us)))

    def start_first(self) -> None:
        """The oldest job that is out begins to run."""
        self._handle(api.JobStarted(self.sent[0], 0))

    def end_first(self, took_us: int = 50_000) -> None:
        """The oldest job that is out ends well."""
        self._handle(api.AttemptEnded(self.sent.pop(0), 0, api.Outcome.COMPLETED, took_us, True))

    def _handle(self, event: api.Event) -> None:
        """Whatever is sent by an event is noted."""
        actions = self.balancer.handle(self.now_us, event)
        self.sent += [action.job for action in actions if isinstance(action, api.Send)]
