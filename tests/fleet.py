"""Many copies of the module against the same workers in simulated time: what adds up over a fleet."""

import heapq
import itertools
import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt

from robinhill import api
from robinhill.logic import Balancer

from .conftest import MS, S, only, settings

START = 1_000 * S
WAY_US = 5 * MS  # to a worker, and until it tells of a start


@dataclass(slots=True, frozen=True)
class Sent:
    """An attempt and how it ended."""

    at_us: int  # since the fleet's start
    node: int
    worker: str
    job_class: int
    outcome: api.Outcome
    waited_us: int  # until it began


def play(
    nodes: int,
    workers: list[api.Worker],
    jobs_a_second: float,
    seconds: float,
    answer: Callable[[str, int, random.Random], tuple[api.Outcome, int]],
    told: tuple[float, list[api.Worker]] = (0, []),
    slots: int = 1000,
    zones: list[int] | None = None,
    weights: list[float] | None = None,
    moments: list[float] | None = None,
    starts: list[float] | None = None,
    hearing_s: float = 0.0,
    before: tuple[float, list[api.Worker]] = (0, []),
    **changes: object,
) -> list[Sent]:
    """Every attempt, in the order of sending; ``answer`` tells how one ends by worker and moment. Workers
    run as many at once as they have slots, in order. Nodes start together at START, with the list, and get
    the jobs by lot; ``told``: when, in seconds, all hear of which changes; ``zones``: of the nodes.

    ``weights``: how much of the traffic each node gets; ``moments``: when jobs arrive, in seconds, where not
    evenly; ``starts``: when each node starts, which gets nothing before; ``hearing_s``: each hears of the
    changes at its own moment within it; ``before``: earlier changes, of which all hear at once."""
    chance, order = random.Random(nodes), itertools.count()
    balancers = []
    for node in range(nodes):
        zone = zones[node] if zones else 0
        chosen = settings(fleet_size=nodes, reports_start=True, zone=zone, **changes)
        balancers.append(Balancer(chosen, node))
    sent: list[Sent] = []
    queue: list[tuple[int, int, int, api.Event]] = []

    def put(at: int, node: int, event: api.Event) -> None:
        heapq.heappush(queue, (at, next(order), node, event))

    def carry_out(now: int, node: int, actions: list[api.Action]) -> None:
        for timer in only(actions, api.SetTimer):
            put(now + timer.after_us, node, api.TimerFired(timer.tag))
        for send in only(actions, api.Send):
            tries[send.job] = attempt = tries.get(send.job, -1) + 1
            outcome, took = answer(send.address, now - START, chance)
            began = now
            if outcome is not api.Outcome.CONNECT_FAILED:
                began = max(now + WAY_US, heapq.heappop(free.setdefault(send.address, [0] * slots)))
                heapq.heappush(free[send.address], began + took)
                put(began, node, api.JobStarted(send.job, attempt))
            sent.append(Sent(now - START, node, send.address, classes[send.job], outcome, began - now))
            final, took = outcome is api.Outcome.COMPLETED, began + took - now
            put(now + took, node, api.AttemptEnded(send.job, attempt, outcome, took, final))

    free: dict[str, list[int]] = {}  # of each worker: when each of its slots is free
    tries: dict[int, int] = {}
    classes: dict[int, int] = {}
    begun = [START + int(at * S) for at in starts or [0.0] * nodes]
    for node, balancer in enumerate(balancers):
        balancer.start(begun[node])
        put(begun[node], node, api.WorkersListed(api.ListKind.CACHED, list(workers)))
        put(max(begun[node], START + int(before[0] * S)), node,
            api.WorkersListed(api.ListKind.CHANGES, list(before[1])))  # fmt: skip
        heard = START + int((told[0] + hearing_s * (node + 0.5) / nodes) * S)
        put(max(begun[node], heard), node, api.WorkersListed(api.ListKind.CHANGES, list(told[1])))
    if moments is None:
        moments = [(job + 1) / jobs_a_second for job in range(int(jobs_a_second * seconds))]
    for job, moment in enumerate(moments):
        classes[job] = chance.randrange(len(chosen.classes))
        left = chosen.classes[classes[job]].deadline_us
        node = chance.choices(range(nodes), weights)[0] if weights else chance.randrange(nodes)
        at = START + int(moment * S)
        if at >= begun[node]:
            put(at, node, api.Arrived(api.Request(job, classes[job], left)))
    while queue and queue[0][0] < START + seconds * S:
        now, _, node, event = heapq.heappop(queue)
        carry_out(now, node, balancers[node].handle(now, event))
    return sent


def fullest(
    sent: list[Sent], worker: str, started_us: int, warm_rate: float, chosen: api.Settings
) -> tuple[float, float]:
    """How full a cold worker's fullest window was, 1 being all that is put down to chance beyond its budget;
    and how much of its budget till it is warm it got. ``warm_rate``: jobs a second that it does once warm."""
    window, cold = chosen.tip_after_us, chosen.slow_start_us

    def speed(at_us: int) -> float:
        """The share of its speed that it has for sure, linear until it is warm."""
        return chosen.slow_start_floor + (1 - chosen.slow_start_floor) * min(
            1.0, max(0.0, (at_us - started_us) / cold)
        )

    moments = sorted(s.at_us for s in sent if s.worker == worker and 0 <= s.at_us - started_us < cold)
    worst = 0.0
    for number, at in enumerate(moments, 1):
        got = number - bisect_right(moments, at - window)
        budget = chosen.fall_multiple * warm_rate * window / S * (speed(at - window) + speed(at)) / 2
        worst = max(worst, got / (budget + 2 * sqrt(budget) + 2))
    whole = chosen.fall_multiple * warm_rate * cold / S * (1 + chosen.slow_start_floor) / 2
    return worst, len(moments) / whole
