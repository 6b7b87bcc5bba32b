"""Simulations of workers in slow start under the combined load of all schedulers."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from robinhill import api

from .conftest import MS, S, klass, settings
from .fleet import START, simulate_fleet, slow_start_use

O = api.Outcome  # noqa: E741


def exponential_length(mean_job_s: float) -> Callable[[random.Random], float]:
    return lambda rng: rng.expovariate(1 / mean_job_s)


def mixed_length(mean_job_s: float) -> Callable[[random.Random], float]:
    """Four in five jobs take 20 ms; the fifth is so long that the mean is ``mean_job_s``."""
    return lambda rng: 0.02 if rng.random() < 0.8 else 5 * (mean_job_s - 0.016)


def uneven_traffic(nodes: int) -> list[float]:
    """Shares of the traffic: half of it for a tenth of the nodes, none for a fifth of them."""
    busy, idle = max(1, nodes // 10), nodes // 5
    return [0.5 / busy] * busy + [0.5 / (nodes - busy - idle)] * (nodes - busy - idle) + [0.0] * idle


def arrivals_with_a_lull(rate: float, seconds: float, since_s: float, until_s: float) -> list[float]:
    """Arrival times at a constant rate, but the jobs of the lull arrive within 0.3 s after its end."""
    arrivals_s = [(number + 1) / rate for number in range(int(rate * seconds))]
    return sorted(t if not since_s <= t < until_s else until_s + 0.3 * (t - since_s) / (until_s - since_s)
                  for t in arrivals_s)  # fmt: skip


class Fleet:
    """Schedulers with their settings, and workers of the same capacity."""

    def __init__(
        self, nodes: int, workers: int, mean_job_s: float, slots: int, load: float = 0.8, **changes: float
    ) -> None:
        self.nodes, self.slots, self.mean_job_s = nodes, slots, mean_job_s
        self.workers = [api.Worker(f"w{i}") for i in range(workers)]
        self.rate, self.job_length_s = load * workers * slots / mean_job_s, exponential_length(mean_job_s)
        objective_us = max(100 * MS, int(3 * mean_job_s * S))
        self.changes: dict[str, Any] = {"slow_start_us": 6 * S, "tip_after_us": 1 * S, **changes}
        self.changes["classes"] = (klass(latency_objective_us=objective_us, deadline_us=20 * S),)

    def run(
        self, cold_workers: list[str], at_s: float, removed: int = 0, **scenario: Any
    ) -> tuple[float, float]:
        """Simulate workers that start at ``at_s``; return how much of their budget of attempts they received.

        The first value is the highest share of the budget of a time window among these workers, the second is
        the mean share of the budget of the whole slow start; see ``slow_start_use``. ``removed``: number of
        workers that are removed from the endpoint list at ``at_s``.
        """
        node_settings = settings(fleet_size=self.nodes, **self.changes)
        started = int(at_s * S)
        change = [api.Worker(name, started_us=START + started) for name in cold_workers]
        change += [api.Worker(f"w{i}", state=api.WorkerState.REMOVED) for i in range(removed)]

        def end_attempt(worker: str, at_us: int, rng: random.Random) -> tuple[O, int]:
            return O.COMPLETED, int(self.job_length_s(rng) * S) + 1

        sent = simulate_fleet(
            self.nodes, self.workers, self.rate, at_s + node_settings.slow_start_us / S, end_attempt,
            (at_s, change), self.slots, **scenario, **self.changes,
        )  # fmt: skip
        uses = [
            slow_start_use(sent, name, started, self.slots / self.mean_job_s, node_settings)
            for name in cold_workers
        ]
        return max(highest for highest, _ in uses), sum(total for _, total in uses) / len(uses)


NEW_WORKERS = ["new0", "new1", "new2", "new3"]


@pytest.mark.parametrize("nodes", [20, 30, 200])
@pytest.mark.parametrize(
    "mean_job_s, slots, floor, multiple, window_ms",
    [(0.02, 1, 0.5, 2.0, 500), (0.1, 4, 0.3, 2.5, 1000), (0.2, 4, 0.2, 4.0, 500), (0.5, 16, 0.4, 3.0, 2000)],
)
def test_schedulers_together_stay_within_the_budget_of_a_cold_worker(
    nodes: int, mean_job_s: float, slots: int, floor: float, multiple: float, window_ms: int
) -> None:
    fleet = Fleet(
        nodes, 8, mean_job_s, slots, slow_start_us=5 * S,
        slow_start_floor=floor, fall_multiple=multiple, tip_after_us=window_ms * MS,
    )  # fmt: skip
    # The new workers start after each scheduler has sent to each warm worker, because a scheduler prefers
    # warm workers to which it has sent nothing yet.
    highest_use, total_use = fleet.run(NEW_WORKERS, max(5.0, 2 * nodes * 8 / fleet.rate))
    assert highest_use <= 1 and total_use >= 0.1


@pytest.mark.parametrize("mean_job_s, multiple", [(1.0, 2.5), (3.0, 2.0)])
def test_long_jobs_on_workers_with_one_slot_stay_within_the_budget(
    mean_job_s: float, multiple: float
) -> None:
    for nodes in (4, 20, 30):
        fleet = Fleet(
            nodes, 24, mean_job_s, 1, slow_start_floor=0.2, fall_multiple=multiple, tip_after_us=500 * MS
        )
        highest_use, _ = fleet.run(NEW_WORKERS, 30.0)
        assert highest_use <= 1


@pytest.mark.parametrize("nodes", [20, 30, 200])
def test_uneven_traffic_and_late_list_changes_stay_within_the_budget(nodes: int) -> None:
    fleet = Fleet(nodes, 8, 0.1, 4)
    for scenario in ({"traffic_shares": uneven_traffic(nodes)}, {"change_spread_s": 1.0}):
        highest_use, total_use = fleet.run(NEW_WORKERS, 4.0, **scenario)
        assert highest_use <= 1 and total_use >= 0.1


@pytest.mark.parametrize("nodes", [20, 30, 200])
def test_schedulers_that_just_started_stay_within_the_budget(nodes: int) -> None:
    """A new scheduler estimates the throughput of a worker from few jobs and a short time."""
    for delay_s in (0.1, 2.0):
        starts_s = [4.0 + 0.1 * node / nodes for node in range(nodes)]
        highest_use, _ = Fleet(nodes, 8, 0.1, 4).run(NEW_WORKERS, 4.0 + delay_s, starts_s=starts_s)
        assert highest_use <= 1


@pytest.mark.parametrize("nodes", [20, 30])
def test_few_short_jobs_do_not_raise_the_estimated_throughput(nodes: int) -> None:
    """A scheduler's minimum rate assumed that a worker runs one job at a time, with a mean duration that
    started at that of the first job. If this job took 20 ms, with a true mean of 600 ms, the scheduler
    assumed 50 jobs per second for a long time, and all schedulers together sent 1.34 times the whole budget.
    """
    fleet = Fleet(nodes, 24, 0.6, 1)
    fleet.job_length_s = mixed_length(0.6)
    highest_use, total_use = fleet.run(NEW_WORKERS, 20.0)
    assert highest_use <= 1 and total_use <= 0.6


def test_few_short_jobs_after_the_start_do_not_raise_the_estimated_throughput() -> None:
    fleet = Fleet(20, 12, 0.6, 2, slow_start_us=8 * S)
    fleet.job_length_s = mixed_length(0.6)
    highest_use, total_use = fleet.run(
        NEW_WORKERS, 20.0, starts_s=[15.0 + 0.1 * node / 20 for node in range(20)]
    )
    assert highest_use <= 1 and total_use <= 0.6


@pytest.mark.parametrize("nodes", [20, 200])
def test_throughput_of_removed_workers_is_not_attributed_to_the_others(nodes: int) -> None:
    """36 of 40 workers are removed while four are added. The throughput of all former workers was divided by
    the eight that remained."""
    highest_use, total_use = Fleet(nodes, 40, 0.4, 4, 0.7).run(NEW_WORKERS, 6.0, removed=36)
    assert highest_use <= 1 and total_use <= 0.6


@pytest.mark.parametrize("nodes", [30, 200])
@pytest.mark.parametrize("until_s", [12.0, 14.0])
def test_sends_that_fall_due_in_a_lull_do_not_form_a_burst_after_it(nodes: int, until_s: float) -> None:
    """During a lull without jobs, each scheduler became due to send to the cold worker; the burst after the
    lull sent twice the budget."""
    fleet = Fleet(nodes, 10, 0.2, 4, 0.9, slow_start_us=9 * S, tip_after_us=500 * MS)
    arrivals_s = arrivals_with_a_lull(fleet.rate, 15.0, 6.05, until_s)
    highest_use, _ = fleet.run(["new0", "new1"], 6.0, arrivals_s=arrivals_s)
    assert highest_use <= 1


def test_worker_that_returns_in_slow_start_stays_within_the_budget() -> None:
    """The first jobs to a worker that returned after draining were sent 0.5 s apart, whatever the throughput
    of the worker. With jobs of 2 s, this was 1.55 times the budget."""
    fleet = Fleet(
        10, 24, 2.0, 1, slow_start_floor=0.2, fall_multiple=2.0, tip_after_us=2 * S, slow_start_us=9 * S
    )
    cold_workers = [f"w{i}" for i in range(8)]
    drained = [api.Worker(name, state=api.WorkerState.DRAINING) for name in cold_workers]
    highest_use, total_use = fleet.run(cold_workers, 30.0, earlier_change=(29.0, drained))
    assert highest_use <= 1 and 0.1 <= total_use <= 0.7
