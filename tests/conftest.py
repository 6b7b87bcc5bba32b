"""Shared helpers: default settings, a balancer driven event by event, and the marking of known failures."""

from typing import Any

import pytest

from robinhill import api
from robinhill.logic import Balancer

from . import known_red

MS = 1000
S = 1_000_000


def klass(**changes: Any) -> api.JobClass:
    values: dict[str, Any] = {
        "latency_objective_us": 100 * MS,
        "deadline_us": 5 * S,
        "repeat": api.Repeat.SAFE,
        "memory_us": 2 * S,
        "stretch": 2.0,
    }
    values.update(changes)
    return api.JobClass(**values)


def settings(**changes: Any) -> api.Settings:
    values: dict[str, Any] = {
        "classes": (klass(),),
        "fleet_size": 2,
        "max_attempts": 4,
        "cancelling": True,
        "drain_grace_us": 500 * MS,
        "slow_start_us": 9 * S,
        "slow_start_floor": 0.3,
        "fall_multiple": 2.5,
        "tip_after_us": 1500 * MS,
    }
    values.update(changes)
    return api.Settings(**values)


class Node:
    """A balancer and its simulated clock.

    ``workers``: the workers of the first endpoint list, or their number. Each method handles one event and
    returns the balancer's actions. A method with ``after_us`` advances the clock by that time first.
    """

    def __init__(self, workers: list[api.Worker] | int = 4, seed: int = 7, **changes: Any) -> None:
        self.now = 1_000 * S
        self.balancer = Balancer(settings(**changes), seed)
        self.start_actions = self.balancer.start(self.now)
        self.jobs = 0
        if isinstance(workers, int):
            workers = [api.Worker(f"w{i}") for i in range(workers)]
        self.update_list(api.ListKind.CACHED, *workers)

    def handle(self, event: api.Event, after_us: int = 0) -> list[api.Action]:
        self.now += after_us
        return self.balancer.handle(self.now, event)

    def update_list(self, kind: api.ListKind, *workers: api.Worker) -> list[api.Action]:
        return self.handle(api.WorkersListed(kind, list(workers)))

    def submit(self, after_us: int = 0, left_us: int = 5 * S, **values: Any) -> list[api.Action]:
        self.jobs += 1
        job_class = values.pop("job_class", 0)
        return self.handle(api.Arrived(api.Request(self.jobs, job_class, left_us, **values)), after_us)

    def end_attempt(
        self,
        job: int,
        outcome: api.Outcome = api.Outcome.COMPLETED,
        took_us: int = 50 * MS,
        attempt: int = 0,
        after_us: int = 0,
    ) -> list[api.Action]:
        final = outcome is api.Outcome.COMPLETED
        return self.handle(api.AttemptEnded(job, attempt, outcome, took_us, final), after_us)


def of_type(actions: list[api.Action], kind: type) -> list[Any]:
    return [a for a in actions if isinstance(a, kind)]


def sent_to(actions: list[api.Action]) -> str:
    (send,) = of_type(actions, api.Send)
    address: str = send.address
    return address


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests in the list of known failures as expected failures; see ``known_red``."""
    entries = known_red.read(known_red.LIST.read_text()) if known_red.LIST.exists() else []
    option = config.option
    selected = option.file_or_dir or option.keyword or option.markexpr
    known_red.mark(entries, items, whole_suite=not selected)
