"""Plays a small situation of robinhill.model against the real program on loopback, in real time.

The emulated workers run their jobs in the model's workers.

The trace, the workers, their speeds and their faults come from the model's description and seed. The results
therefore differ from the model's only through the sockets, the program's actors and this machine's timing.
"""

import asyncio
from dataclasses import dataclass, field

from msgspec.structs import replace

from robinhill.checker.rules import find_violations
from robinhill.emulator.client import Clients, PlannedArrival, RequestedJob, served_worth
from robinhill.emulator.program import LoopbackSite, loopback_site
from robinhill.emulator.site import JobKind, Site
from robinhill.emulator.worker import Worker
from robinhill.model import sites
from robinhill.model.describe import Description, Fleet, Machine
from robinhill.model.trace import Trace, draw
from robinhill.model.world import FAULTS, FLEET, stream

US_PER_S = 1_000_000
# Jobs, latency objectives and delays are shortened by this factor, times of faults by half of it.
SPEEDUP = 8.0


@dataclass(slots=True)
class LoopbackResult:
    """The result of one run on loopback."""

    share: float  # share of the requested worth that was answered in time
    by_kind: dict[str, float]  # the same share for each class
    broken: list[str] = field(default_factory=list)
    max_lateness_s: float = 0.0  # the longest delay of a request past its planned time on this machine


def small_situation(trouble: str) -> Description:
    """A shipped situation with jobs an eighth as long, for 16 s on six workers in one zone, one scheduler."""
    base = sites.site("clubs" if trouble == "calm" else f"clubs-{trouble}")
    kinds = tuple(
        replace(
            k, work_ms=k.work_ms / SPEEDUP, aim_ms=k.aim_ms / SPEEDUP, deadline_ms=k.deadline_ms / SPEEDUP
        )
        for k in base.traffic.kinds
    )
    troubles = tuple(
        replace(t, at_s=t.at_s / SPEEDUP * 2, for_s=t.for_s / SPEEDUP * 2) for t in base.troubles
    )
    fleet = Fleet(
        (Machine("std", 6, cores=4, slots=4, speed=(0.7, 1.0)),),
        schedulers=1,
        cold_s=base.fleet.cold_s / SPEEDUP,
        tip_after_s=base.fleet.tip_after_s / SPEEDUP,
        list_delay_s=(0.05, 0.1),
    )
    traffic = replace(base.traffic, kinds=kinds, rate_per_s=45.0, tenants=4)
    clients = replace(base.clients, back_off_ms=base.clients.back_off_ms / SPEEDUP, heed=0.0)
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


async def play(description: Description, seed: int) -> LoopbackResult:
    """Play one run over sockets in real time.

    Of the description's faults only those that the emulator supports are played: silent and slow workers, and
    surges, which are part of the trace.
    """
    trace: Trace = draw(description, seed)
    machine = description.fleet.machines[0]
    site = _site(description)
    async with loopback_site(site, workers=machine.count, slots=machine.slots) as here:
        rng = stream(seed, FLEET)
        for worker in here.workers:
            worker.core.speed = float(rng.uniform(*machine.speed))
        _schedule_worker_faults(description, seed, here)
        clients = Clients(site, lambda: here.program.listen, here.journal, seed)
        planned = [
            PlannedArrival(a.at_us / US_PER_S, f"tenant-{a.tenant}", a.kind, a.work_us / US_PER_S)
            for a in trace.requests
        ]
        c = description.clients
        await clients.replay(planned, c.retries, c.back_off_ms / 1000, c.back_off_factor)
        counted = [a for a in clients.requested_jobs if a.at >= description.warm_s and a.tries]
        unsafe = [k.name for k in description.traffic.kinds if k.repeat == "fragile"]
        kinds: dict[str, list[RequestedJob]] = {}
        for a in counted:
            kinds.setdefault(a.kind.name, []).append(a)
        return LoopbackResult(
            served_worth(counted),
            {k: served_worth(v) for k, v in kinds.items()},
            find_violations(here.journal, unsafe),
            clients.max_lateness_s,
        )


def _schedule_worker_faults(description: Description, seed: int, here: LoopbackSite) -> None:
    """Schedule the faults of workers, which affect the same workers at the same times as in the model."""
    loop = asyncio.get_running_loop()
    for number, trouble in enumerate(description.troubles):
        rng = stream(seed, FAULTS, number)
        count = max(1, round(trouble.part * len(here.workers)))
        affected = [here.workers[i] for i in sorted(rng.permutation(len(here.workers))[:count])]
        for worker in affected:
            if trouble.kind == "silent":
                loop.call_later(trouble.at_s, worker.stop_responding)
                loop.call_later(trouble.at_s + trouble.for_s, _restart_worker, here, worker)
            elif trouble.kind == "slow":
                loop.call_later(trouble.at_s, worker.set_slowdown, trouble.size)
                loop.call_later(trouble.at_s + trouble.for_s, worker.set_slowdown, 1.0)


def _restart_worker(here: LoopbackSite, worker: Worker) -> None:
    worker.restart()
    here.discovery.publish(worker)
