"""Many copies of the module against the same workers in simulated time: what adds up over a fleet."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

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
    **changes: object,
) -> list[Sent]:
    """Every attempt, in the order of sending; ``answer`` tells how one ends by worker and moment. Workers
    run as many at once as they have slots, in order. Nodes start together at START, with the list, and get
    the jobs by lot; ``told``: when, in seconds, all hear of which changes; ``zones``: of the nodes."""
    chance, order = random.Random(nodes), itertools.count()
    balancers = []
    for node in range(nodes):
        zone = zones[node] if zones else 0
        chosen = settings(fleet_size=nodes, tells_start=True, zone=zone, **changes)
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
    for node, balancer in enumerate(balancers):
        balancer.start(START)
        put(START, node, api.WorkersListed(api.ListKind.CACHED, list(workers)))
        put(START + int(told[0] * S), node, api.WorkersListed(api.ListKind.CHANGES, list(told[1])))
    for job in range(int(jobs_a_second * seconds)):
        classes[job] = chance.randrange(len(chosen.classes))
        left = chosen.classes[classes[job]].deadline_us
        put(
            START + int((job + 1) / jobs_a_second * S),
            chance.randrange(nodes),
            api.Arrived(api.Request(job, classes[job], left)),
        )
    while queue and queue[0][0] < START + seconds * S:
        now, _, node, event = heapq.heappop(queue)
        carry_out(now, node, balancers[node].handle(now, event))
    return sent
