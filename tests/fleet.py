"""Simulation of many schedulers that send to the same workers, for effects that add up over a fleet."""

import heapq
import itertools
import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt

from robinhill import api
from robinhill.logic import Balancer

from .conftest import MS, S, of_type, settings

START = 1_000 * S
SEND_TO_START_US = 5 * MS  # delay from the send of a job to its start at the worker


@dataclass(slots=True, frozen=True)
class SentAttempt:
    """An attempt and its outcome."""

    at_us: int  # time of the send, from START
    node: int
    worker: str
    job_class: int
    outcome: api.Outcome
    waited_us: int  # from the send to the start of the job


def simulate_fleet(
    nodes: int,
    workers: list[api.Worker],
    jobs_per_s: float,
    duration_s: float,
    end_attempt: Callable[[str, int, random.Random], tuple[api.Outcome, int]],
    list_change: tuple[float, list[api.Worker]] = (0, []),
    slots: int = 1000,
    zones: list[int] | None = None,
    traffic_shares: list[float] | None = None,
    arrivals_s: list[float] | None = None,
    starts_s: list[float] | None = None,
    change_spread_s: float = 0.0,
    earlier_change: tuple[float, list[api.Worker]] = (0, []),
    **changes: object,
) -> list[SentAttempt]:
    """Simulate a fleet of schedulers and return all attempts in the order of sending.

    By default all nodes start at START with the list of workers, and jobs arrive at a constant rate, each at
    a random node. A worker runs one job per slot and queues the others in order of arrival. Times in seconds
    count from START.

    ``end_attempt``: returns the outcome and the duration in microseconds of an attempt. Its arguments are the
    worker, the time of the send in microseconds from START, and the random generator.
    ``list_change``: the time of a change of the endpoint list, in seconds, and the changed entries.
    ``change_spread_s``: period over which the nodes receive this change one after the other; 0: all at once.
    ``earlier_change``: a change like ``list_change`` before it, which all nodes receive at once.
    ``slots``: number of slots of each worker. ``zones``: the zone of each node.
    ``traffic_shares``: the share of the jobs that arrives at each node.
    ``arrivals_s``: the arrival time of each job, instead of a constant rate.
    ``starts_s``: the start time of each node; jobs that arrive at a node before its start are dropped.
    ``changes``: settings that differ from those of ``conftest.settings``.
    """
    rng, sequence = random.Random(nodes), itertools.count()
    balancers = []
    for node in range(nodes):
        zone = zones[node] if zones else 0
        node_settings = settings(fleet_size=nodes, reports_start=True, zone=zone, **changes)
        balancers.append(Balancer(node_settings, node))
    sent: list[SentAttempt] = []
    queue: list[tuple[int, int, int, api.Event]] = []

    def schedule(at: int, node: int, event: api.Event) -> None:
        heapq.heappush(queue, (at, next(sequence), node, event))

    def execute(now: int, node: int, actions: list[api.Action]) -> None:
        for timer in of_type(actions, api.SetTimer):
            schedule(now + timer.after_us, node, api.TimerFired(timer.tag))
        for send in of_type(actions, api.Send):
            attempts[send.job] = attempt = attempts.get(send.job, -1) + 1
            outcome, took = end_attempt(send.address, now - START, rng)
            began = now
            if outcome is not api.Outcome.CONNECT_FAILED:
                began = max(
                    now + SEND_TO_START_US, heapq.heappop(free_from.setdefault(send.address, [0] * slots))
                )
                heapq.heappush(free_from[send.address], began + took)
                schedule(began, node, api.JobStarted(send.job, attempt))
            sent.append(SentAttempt(now - START, node, send.address, classes[send.job], outcome, began - now))
            final, took = outcome is api.Outcome.COMPLETED, began + took - now
            schedule(now + took, node, api.AttemptEnded(send.job, attempt, outcome, took, final))

    free_from: dict[str, list[int]] = {}  # for each worker: a heap of the times from which its slots are free
    attempts: dict[int, int] = {}
    classes: dict[int, int] = {}
    node_starts = [START + int(at * S) for at in starts_s or [0.0] * nodes]
    for node, balancer in enumerate(balancers):
        balancer.start(node_starts[node])
        schedule(node_starts[node], node, api.WorkersListed(api.ListKind.CACHED, list(workers)))
        schedule(max(node_starts[node], START + int(earlier_change[0] * S)), node,
            api.WorkersListed(api.ListKind.CHANGES, list(earlier_change[1])))  # fmt: skip
        change_at = START + int((list_change[0] + change_spread_s * (node + 0.5) / nodes) * S)
        schedule(
            max(node_starts[node], change_at),
            node,
            api.WorkersListed(api.ListKind.CHANGES, list(list_change[1])),
        )
    if arrivals_s is None:
        arrivals_s = [(job + 1) / jobs_per_s for job in range(int(jobs_per_s * duration_s))]
    for job, arrival_s in enumerate(arrivals_s):
        classes[job] = rng.randrange(len(node_settings.classes))
        left = node_settings.classes[classes[job]].deadline_us
        node = rng.choices(range(nodes), traffic_shares)[0] if traffic_shares else rng.randrange(nodes)
        at = START + int(arrival_s * S)
        if at >= node_starts[node]:
            schedule(at, node, api.Arrived(api.Request(job, classes[job], left)))
    while queue and queue[0][0] < START + duration_s * S:
        now, _, node, event = heapq.heappop(queue)
        execute(now, node, balancers[node].handle(now, event))
    return sent


def slow_start_use(
    sent: list[SentAttempt], worker: str, started_us: int, warm_rate: float, node_settings: api.Settings
) -> tuple[float, float]:
    """Return how much of its budget of attempts a worker in slow start received: in one window, and in total.

    The first value is the highest of all windows of ``tip_after_us``: the attempts in the window divided by
    its budget, to which the largest excess that counts as random is added, so that 1 is the limit. The second
    is the attempts of the whole slow start divided by its budget. ``warm_rate``: the jobs per second that the
    worker can complete after its slow start.
    """
    window, slow_start = node_settings.tip_after_us, node_settings.slow_start_us

    def speed(at_us: int) -> float:
        """The guaranteed share of the worker's full speed, which grows linearly during slow start."""
        return node_settings.slow_start_floor + (1 - node_settings.slow_start_floor) * min(
            1.0, max(0.0, (at_us - started_us) / slow_start)
        )

    times = sorted(s.at_us for s in sent if s.worker == worker and 0 <= s.at_us - started_us < slow_start)
    highest_use = 0.0
    for number, at in enumerate(times, 1):
        sends = number - bisect_right(times, at - window)
        budget = node_settings.fall_multiple * warm_rate * window / S * (speed(at - window) + speed(at)) / 2
        highest_use = max(highest_use, sends / (budget + 2 * sqrt(budget) + 2))
    total_budget = (
        node_settings.fall_multiple * warm_rate * slow_start / S * (1 + node_settings.slow_start_floor) / 2
    )
    return highest_use, len(times) / total_budget
