"""Many schedulers with a few requests per second each: the decision module against load-blind policies.

A scheduler with so little traffic learns little of the workers' load. The module must still serve as much as
policies that use no knowledge of load.
"""

import random
from collections.abc import Callable

from msgspec.structs import replace

from robinhill import api
from robinhill.logic import Balancer
from robinhill.model import sites
from robinhill.model.describe import Description
from robinhill.model.node import DecisionModule
from robinhill.model.trace import draw
from robinhill.model.world import Result, Side, World

SEED = 1
MARGIN = 0.02  # tolerated deficit, as a share of the requested worth


class LoadBlindModule:
    """A decision module that sends each job to a worker chosen without regard to load.

    ``pick`` returns the worker's index for the number of sends so far and the number of workers. A job is
    sent at most six times, and again only if the worker returned it.
    """

    def __init__(self, pick: Callable[[int, int], int], rng: random.Random) -> None:
        self.pick, self.rng = pick, rng
        self.workers: list[str] = []
        self.sends = 0
        self.tries: dict[int, int] = {}

    def start(self, now: int) -> list[api.Action]:
        return [api.SetTimer(1000, "list")]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        match event:
            case api.TimerFired():
                return [api.Subscribe()]
            case api.WorkersListed() if not self.workers:
                self.workers = [worker.address for worker in event.workers]
                self.rng.shuffle(self.workers)
            case api.Arrived():
                self.tries[event.request.job] = 0
                return self.send(event.request.job)
            case api.ClientDisconnected():
                self.tries.pop(event.job, None)
            case api.AttemptEnded() if event.final:
                self.tries.pop(event.job, None)
            case api.AttemptEnded() if event.job in self.tries:
                if event.outcome is api.Outcome.FULL and self.tries[event.job] < 6:
                    return self.send(event.job)
                del self.tries[event.job]
                return [api.Reject(event.job)]
        return []

    def send(self, job: int) -> list[api.Action]:
        address = self.workers[self.pick(self.sends, len(self.workers))]
        self.sends, self.tries[job] = self.sends + 1, self.tries[job] + 1
        return [api.Send(job, address)]


def round_robin(_: api.Settings, seed: int) -> DecisionModule:
    """Create a module that sends to the workers in turn, in a random order of its own."""
    return LoadBlindModule(lambda sends, workers: sends % workers, random.Random(seed))


def plain_random(_: api.Settings, seed: int) -> DecisionModule:
    rng = random.Random(seed)
    return LoadBlindModule(lambda sends, workers: rng.randrange(workers), rng)


def small_observatory() -> Description:
    """The observatory with a third of the workers, schedulers and traffic, for 11 s: each scheduler gets the
    same rate of requests, and the test needs a ninth of the time.
    """
    fleet, traffic = sites.OBSERVATORY.fleet, sites.OBSERVATORY.traffic
    machines = tuple(replace(machine, count=machine.count // 3) for machine in fleet.machines)
    return replace(
        sites.OBSERVATORY,
        seconds=11.0,
        fleet=replace(fleet, machines=machines, schedulers=fleet.schedulers // 3),
        traffic=replace(traffic, rate_per_s=traffic.rate_per_s / 3),
    )


def play(module: Callable[[api.Settings, int], DecisionModule]) -> Result:
    description = small_observatory()
    return World(description, draw(description, SEED), Side(module=module), SEED).play()


def test_module_serves_as_much_worth_as_load_blind_policies() -> None:
    result = play(Balancer)
    others = {policy.__name__: play(policy).share for policy in (round_robin, plain_random)}
    assert not result.broken
    assert result.share >= max(others.values()) - MARGIN, (result.share, others)
    # Jobs that run after their cancellation are load without a benefit.
    assert result.wasted_s <= 0.03 * result.busy_s, (result.wasted_s, result.busy_s)
