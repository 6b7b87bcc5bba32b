"""Cold workers under the sum of what all schedulers send."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from robinhill import api

from .conftest import MS, S, klass, settings
from .fleet import START, fullest, play

O = api.Outcome  # noqa: E741


def even(job_s: float) -> Callable[[random.Random], float]:
    return lambda chance: chance.expovariate(1 / job_s)


def mixed(job_s: float) -> Callable[[random.Random], float]:
    """Four in five jobs take 20 ms, the others all the rest."""
    return lambda chance: 0.02 if chance.random() < 0.8 else 5 * (job_s - 0.016)


def unevenly(nodes: int) -> list[float]:
    """A tenth of the nodes get half of the traffic, a fifth none."""
    many, none = max(1, nodes // 10), nodes // 5
    return [0.5 / many] * many + [0.5 / (nodes - many - none)] * (nodes - many - none) + [0.0] * none


def after_a_lull(rate: float, seconds: float, since_s: float, until_s: float) -> list[float]:
    """Even traffic, but what falls into the lull comes within 0.3 s after it."""
    moments = [(number + 1) / rate for number in range(int(rate * seconds))]
    return sorted(t if not since_s <= t < until_s else until_s + 0.3 * (t - since_s) / (until_s - since_s)
                  for t in moments)  # fmt: skip


class Site:
    """Some schedulers, their settings, and workers that all can do as much."""

    def __init__(
        self, nodes: int, workers: int, job_s: float, slots: int, load: float = 0.8, **changes: float
    ) -> None:
        self.nodes, self.slots, self.job_s = nodes, slots, job_s
        self.workers = [api.Worker(f"w{i}") for i in range(workers)]
        self.rate, self.length = load * workers * slots / job_s, even(job_s)
        aim_us = max(100 * MS, int(3 * job_s * S))
        self.changes: dict[str, Any] = {"slow_start_us": 6 * S, "tip_after_us": 1 * S, **changes}
        self.changes["classes"] = (klass(latency_objective_us=aim_us, deadline_us=20 * S),)

    def play(self, cold: list[str], at_s: float, left: int = 0, **how: Any) -> tuple[float, float]:
        """The fullest of all windows of the workers that start cold at that moment, and their mean use."""
        chosen = settings(fleet_size=self.nodes, **self.changes)
        started = int(at_s * S)
        change = [api.Worker(name, started_us=START + started) for name in cold]
        change += [api.Worker(f"w{i}", state=api.WorkerState.REMOVED) for i in range(left)]

        def answer(worker: str, at_us: int, chance: random.Random) -> tuple[O, int]:
            return O.COMPLETED, int(self.length(chance) * S) + 1

        sent = play(
            self.nodes, self.workers, self.rate, at_s + chosen.slow_start_us / S, answer, (at_s, change),
            self.slots, **how, **self.changes,
        )  # fmt: skip
        found = [fullest(sent, name, started, self.slots / self.job_s, chosen) for name in cold]
        return max(worst for worst, _ in found), sum(used for _, used in found) / len(found)


NEW = ["new0", "new1", "new2", "new3"]


@pytest.mark.parametrize("nodes", [20, 30, 200])
@pytest.mark.parametrize(
    "job_s, slots, cold_from, multiple, tip_ms",
    [(0.02, 1, 0.5, 2.0, 500), (0.1, 4, 0.3, 2.5, 1000), (0.2, 4, 0.2, 4.0, 500), (0.5, 16, 0.4, 3.0, 2000)],
)
def test_all_schedulers_together_keep_to_the_budget_of_a_cold_worker(
    nodes: int, job_s: float, slots: int, cold_from: float, multiple: float, tip_ms: int
) -> None:
    site = Site(
        nodes, 8, job_s, slots, slow_start_us=5 * S,
        slow_start_floor=cold_from, fall_multiple=multiple, tip_after_us=tip_ms * MS,
    )  # fmt: skip
    # Each has met each warm worker before: till then these, which it knows nothing of, go first.
    worst, used = site.play(NEW, max(5.0, 2 * nodes * 8 / site.rate))
    assert worst <= 1 and used >= 0.1


@pytest.mark.parametrize("job_s, multiple", [(1.0, 2.5), (3.0, 2.0)])
def test_long_jobs_of_workers_with_one_slot_keep_to_the_budget(job_s: float, multiple: float) -> None:
    for nodes in (4, 20, 30):
        site = Site(nodes, 24, job_s, 1, slow_start_floor=0.2, fall_multiple=multiple, tip_after_us=500 * MS)
        worst, _ = site.play(NEW, 30.0)
        assert worst <= 1


@pytest.mark.parametrize("nodes", [20, 30, 200])
def test_uneven_traffic_and_late_word_keep_to_the_budget(nodes: int) -> None:
    site = Site(nodes, 8, 0.1, 4)
    for how in ({"weights": unevenly(nodes)}, {"hearing_s": 1.0}):
        worst, used = site.play(NEW, 4.0, **how)
        assert worst <= 1 and used >= 0.1


@pytest.mark.parametrize("nodes", [20, 30, 200])
def test_schedulers_just_started_keep_to_the_budget(nodes: int) -> None:
    """They know of few jobs, and each divides these by the little time that it has run."""
    for rests_s in (0.1, 2.0):
        starts = [4.0 + 0.1 * node / nodes for node in range(nodes)]
        worst, _ = Site(nodes, 8, 0.1, 4).play(NEW, 4.0 + rests_s, starts=starts)
        assert worst <= 1


@pytest.mark.parametrize("nodes", [20, 30])
def test_a_few_short_jobs_do_not_stand_for_all(nodes: int) -> None:
    """What a scheduler sent at least was its part of one job at a time, by a mean that began with its first
    job: where that took 20 ms of a mean of 600, it thought for long that a worker does 50 a second, and all
    together sent 1.34 times the whole budget."""
    site = Site(nodes, 24, 0.6, 1)
    site.length = mixed(0.6)
    worst, used = site.play(NEW, 20.0)
    assert worst <= 1 and used <= 0.6


def test_a_few_short_jobs_of_schedulers_just_started_do_not_stand_for_all() -> None:
    site = Site(20, 12, 0.6, 2, slow_start_us=8 * S)
    site.length = mixed(0.6)
    worst, used = site.play(NEW, 20.0, starts=[15.0 + 0.1 * node / 20 for node in range(20)])
    assert worst <= 1 and used <= 0.6


@pytest.mark.parametrize("nodes", [20, 200])
def test_what_many_workers_bore_is_not_what_each_of_few_can_bear(nodes: int) -> None:
    """Of 40 workers 36 leave as four come: what all had done was divided by the eight that were left."""
    worst, used = Site(nodes, 40, 0.4, 4, 0.7).play(NEW, 6.0, left=36)
    assert worst <= 1 and used <= 0.6


@pytest.mark.parametrize("nodes", [30, 200])
@pytest.mark.parametrize("until_s", [12.0, 14.0])
def test_the_turns_of_a_lull_do_not_come_together_after_it(nodes: int, until_s: float) -> None:
    """Each scheduler's turn at a cold worker came while no job did; the first burst sent twice the budget."""
    site = Site(nodes, 10, 0.2, 4, 0.9, slow_start_us=9 * S, tip_after_us=500 * MS)
    moments = after_a_lull(site.rate, 15.0, 6.05, until_s)
    worst, _ = site.play(["new0", "new1"], 6.0, moments=moments)
    assert worst <= 1


def test_workers_taken_back_cold_get_no_more_than_others() -> None:
    """First jobs to them were 0.5 s apart whatever they can do: with jobs of 2 s, 1.55 times the budget."""
    site = Site(
        10, 24, 2.0, 1, slow_start_floor=0.2, fall_multiple=2.0, tip_after_us=2 * S, slow_start_us=9 * S
    )
    cold = [f"w{i}" for i in range(8)]
    drained = [api.Worker(name, state=api.WorkerState.DRAINING) for name in cold]
    worst, used = site.play(cold, 30.0, before=(29.0, drained))
    assert worst <= 1 and 0.1 <= used <= 0.7
