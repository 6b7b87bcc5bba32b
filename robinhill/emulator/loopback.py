"""The same small day on loopback: the real program on sockets, with the model's own workers run in real time.

The trace, the workers and their speeds, and what goes wrong with them come from the model's description and
seed. So what differs from the model is the sockets, the program's actors and this machine's own time.
"""

import asyncio
from dataclasses import dataclass, field

from msgspec.structs import replace

from robinhill.checker.rules import find_violations
from robinhill.emulator.client import Asked, Clients, Planned, served_worth
from robinhill.emulator.program import Town, town
from robinhill.emulator.site import JobKind, Site
from robinhill.emulator.worker import Worker
from robinhill.model import sites
from robinhill.model.describe import Description, Fleet, Machine
from robinhill.model.trace import Trace, draw
from robinhill.model.world import FAULTS, FLEET, stream

S = 1_000_000
SCALE = 8.0  # days are played so many times as fast: jobs, aims and troubles shrink alike


@dataclass(slots=True)
class Real:
    """What a day on loopback shows."""

    share: float
    by_kind: dict[str, float]
    broken: list[str] = field(default_factory=list)
    latest_s: float = 0.0  # this machine's own lateness in asking


def small_day(trouble: str) -> Description:
    """A shipped situation, an eighth as long, on few workers in one zone with one scheduler."""
    base = sites.site("clubs" if trouble == "calm" else f"clubs-{trouble}")
    kinds = tuple(
        replace(k, work_ms=k.work_ms / SCALE, aim_ms=k.aim_ms / SCALE, deadline_ms=k.deadline_ms / SCALE)
        for k in base.traffic.kinds
    )
    troubles = tuple(replace(t, at_s=t.at_s / SCALE * 2, for_s=t.for_s / SCALE * 2) for t in base.troubles)
    fleet = Fleet(
        (Machine("std", 6, cores=4, slots=4, speed=(0.7, 1.0)),),
        schedulers=1,
        cold_s=base.fleet.cold_s / SCALE,
        tip_after_s=base.fleet.tip_after_s / SCALE,
        list_delay_s=(0.05, 0.1),
    )
    traffic = replace(base.traffic, kinds=kinds, rate_per_s=45.0, tenants=4)
    clients = replace(base.clients, back_off_ms=base.clients.back_off_ms / SCALE, heed=0.0)
    return Description(f"small-{trouble}", 16.0, traffic, fleet, clients, troubles, warm_s=2.0)


def _site(d: Description) -> Site:
    kinds = [
        JobKind(k.name, k.work_ms, int(k.aim_ms), k.stretch, int(k.deadline_ms), k.worth, k.repeat, k.share)
        for k in d.traffic.kinds
    ]
    f = d.fleet
    return Site(
        kinds,
        cold_s=f.cold_s,
        cold_from=f.cold_from,
        fall_multiple=f.fall_multiple,
        tip_after_s=f.tip_after_s,
        connect_timeout_ms=int(f.connect_timeout_ms),
        max_retry_after_s=f.max_retry_after_s,
    )


async def play(description: Description, seed: int) -> Real:
    """One day on sockets, in real time. Troubles of workers alone are played: silent, slow and surges."""
    trace: Trace = draw(description, seed)
    machine = description.fleet.machines[0]
    site = _site(description)
    async with town(site, workers=machine.count, slots=machine.slots) as here:
        rng = stream(seed, FLEET)
        for worker in here.workers:
            worker.core.speed = float(rng.uniform(*machine.speed))
        _plan(description, seed, here)
        clients = Clients(site, lambda: here.program.listen, here.journal, seed)
        planned = [Planned(a.at_us / S, f"tenant-{a.tenant}", a.kind, a.work_us / S) for a in trace.requests]
        c = description.clients
        await clients.replay(planned, c.retries, c.back_off_ms / 1000, c.back_off_factor)
        counted = [a for a in clients.asked if a.at >= description.warm_s and a.tries]
        unsafe = [k.name for k in description.traffic.kinds if k.repeat == "fragile"]
        kinds: dict[str, list[Asked]] = {}
        for a in counted:
            kinds.setdefault(a.kind.name, []).append(a)
        return Real(
            served_worth(counted),
            {k: served_worth(v) for k, v in kinds.items()},
            find_violations(here.journal, unsafe),
            clients.latest_s,
        )


def _plan(description: Description, seed: int, here: Town) -> None:
    """The same workers at the same times as in the model."""
    loop = asyncio.get_running_loop()
    for number, trouble in enumerate(description.troubles):
        rng = stream(seed, FAULTS, number)
        count = max(1, round(trouble.part * len(here.workers)))
        struck = [here.workers[i] for i in sorted(rng.permutation(len(here.workers))[:count])]
        for worker in struck:
            if trouble.kind == "silent":
                loop.call_later(trouble.at_s, worker.fail_silently)
                loop.call_later(trouble.at_s + trouble.for_s, _return, here, worker)
            elif trouble.kind == "slow":
                loop.call_later(trouble.at_s, worker.set_slowdown, trouble.size)
                loop.call_later(trouble.at_s + trouble.for_s, worker.set_slowdown, 1.0)


def _return(here: Town, worker: Worker) -> None:
    worker.restart_cold()
    here.discovery.tell(worker)
