"""What admission control does and costs: `python -m benchmarks.admission [PART ...]`.

All parts take about six minutes.

fair      50 small tenants and a large one at 2.4 times the fleet's capacity, with admission on and off
returns   Retry-After: who comes back when told is let in, and the time that was really needed
memory    100,000 tenant names, and as many IPv6 addresses, at admission alone
cost      CPU of the program for a request, with admission control on and off, in turns in one run
speed     decisions a second of admission control alone at 10, 1,000 and 100,000 tenants
"""

import asyncio
import gc
import ipaddress
import random
import statistics
import sys
import time
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

import psutil

from robinhill import api
from robinhill.admission.admission import Admission
from robinhill.admission.messages import AdmissionRequest, Admit
from robinhill.admission.options import AdmissionOptions
from robinhill.admission.report import report
from robinhill.checker.rules import broken
from robinhill.emulator.client import REFUSALS, Asked, Clients, Tenant, served_worth
from robinhill.emulator.program import Town, town
from robinhill.emulator.site import Site

Json = dict[str, Any]
ON: Json = {"admission": {"enabled": True}}
OFF: Json = {"admission": {"enabled": False}}
SMALL = 50
LOAD = 2.4
WARM_S = 6.0  # each run is played so long before it counts: nothing is learned at its start
FAIR_S = 60.0  # long enough that one lost renewal is a small part of a tenant's worth
RETURNS_S = 40.0
UNSAFE = ["renewal-charge"]


async def play(
    operator: Json, tenants: Callable[[Town], list[Tenant]], seconds: float
) -> tuple[Town, Clients, Json]:
    """One run; its rules are checked. What was asked in the first seconds is left out of the result."""
    async with town(operator=operator, workers=8) as here:
        clients = Clients(here.site, lambda: here.program.listen, here.journal, seed=11)
        begun = time.monotonic()
        await clients.play(tenants(here), seconds + WARM_S)
        admission = await here.program.admission()
        clients.asked = [a for a in clients.asked if a.tries and a.tries[0].at > begun + WARM_S]
        if faults := broken(here.journal, UNSAFE):
            print(f"  RULES BROKEN: {len(faults)}, such as {faults[0]}")
        if clients.latest_s > 0.25:
            print(f"  clients were up to {clients.latest_s:.2f} s late: this machine was too slow")
    return here, clients, admission


def crowd(here: Town, small_share: float = 0.8, **of_large: Any) -> list[Tenant]:
    """Small tenants that ask for less than their fair share, and a large one that asks for all the rest."""
    a_request_s = here.site.mean_work_ms / 1000
    fair = here.slots / (SMALL + 1) / a_request_s
    small = [Tenant(f"club-{i}", fair * small_share) for i in range(SMALL)]
    large = LOAD * here.slots / a_request_s - SMALL * fair * small_share
    return [*small, Tenant("large", large, **of_large)]


def by_tenant(asked: list[Asked]) -> dict[str, list[Asked]]:
    grouped: dict[str, list[Asked]] = defaultdict(list)
    for each in asked:
        grouped[each.tenant].append(each)
    return grouped


async def fair() -> None:
    """Served worth of each small tenant over what it asked for, which is less than its fair share."""
    rows = []
    for name, operator in (("on", ON), ("off", OFF)):
        here, clients, _ = await play(operator, crowd, FAIR_S)
        grouped = by_tenant(clients.asked)
        small = sorted(served_worth(v) for k, v in grouped.items() if k != "large")
        work = sum(a.work_s for a in clients.asked if a.in_time) / (FAIR_S * here.slots)
        rows.append((name, small[0], statistics.median(small), served_worth(grouped["large"]), work))
    print(f"  {SMALL} small tenants and a large one at {LOAD} times the capacity, served worth in time:")
    print("  admission   least of the small   their median   the large one   fleet's time used")
    for name, least, median, large, work in rows:
        print(f"  {name:4} {least:20.1%} {median:14.1%} {large:15.1%} {work:19.1%}")


async def returns() -> None:
    """Callers that come back when they are told."""
    _, clients, admission = await play(ON, lambda here: crowd(here, retries=30), RETURNS_S)
    first = [a for a in clients.asked if a.tries[0].status in REFUSALS and len(a.tries) > 1]
    let_in = [a for a in first if a.tries[1].status not in REFUSALS]
    ratios = []
    for asked in first:
        if asked.tries[-1].status in REFUSALS or asked.tries[0].retry_after_s is None:
            continue
        last = asked.tries[-1]
        ratios.append(asked.tries[0].retry_after_s / max(0.001, last.at - asked.tries[0].at))
    for kind in Site().kinds:
        its = [a for a in first if a.kind.name == kind.name]
        good = sum(a.tries[1].status not in REFUSALS for a in its)
        told = statistics.median([a.tries[0].retry_after_s or 0.0 for a in its] or [0.0])
        print(f"  {kind.name}: {good} of {len(its)} let in when they came back, told {told:.2f} s (median)")
    near = sum(0.5 <= r <= 2 for r in ratios)
    promises = admission["promises"]
    judged = promises["right"] + promises["short"] + promises["long"]
    print(f"  callers told to come back that did: {len(first)}, let in then: {len(let_in) / len(first):.1%}")
    print(f"  told / time until they were let in, within a factor of two: {near / max(1, len(ratios)):.1%}")
    print(
        f"  told / time their queue needed, as admission has it: {promises['right'] / max(1, judged):.1%}"
        f" of {judged} (too short {promises['short']}, too long {promises['long']})"
    )


SETTINGS = api.Settings(
    classes=tuple(
        api.JobClass(
            latency_objective_us=k.aim_ms * 1000,
            deadline_us=k.deadline_ms * 1000,
            priority_weight=k.worth,
            stretch=k.stretch,
        )
        for k in Site().kinds
    ),
    retry_after=True,
    max_retry_after_us=60_000_000,
    reports_start=True,
    value_by_work=True,
)  # fmt: skip


class Alone:
    """Admission control without sockets: workers of so many slots that run each job for its class's mean."""

    def __init__(self, slots: int) -> None:
        self.admission = Admission(SETTINGS, AdmissionOptions(enabled=True), 7, bytes(16))
        self.slots = slots
        self.random = random.Random(3)
        self.now = 1_000_000_000
        self.running: list[int] = []
        self.pending: list[int] = []
        self.number = 0

    def step(self, header: str | None, address: str, passed_us: int) -> None:
        """A request comes, and of those that run the oldest ends where all slots are taken."""
        self.now += passed_us
        self.number += 1
        job_class = self.random.randrange(3)
        left = SETTINGS.classes[job_class].deadline_us
        caller = self.admission.directory.find(header, address, str(self.number))
        self.carry_out(
            self.admission.arrive(self.now, AdmissionRequest(self.number, job_class, caller, self.now, left))
        )
        due = self.admission.next_us
        if due is not None and due <= self.now:
            self.carry_out(self.admission.tick(self.now))
        # Twice as much is asked for as the workers do: something always waits.
        if len(self.running) >= self.slots and self.number % 2:
            self.carry_out(self.admission.ended(self.now, self.running.pop(0), True))
        while self.pending and len(self.running) < self.slots:
            number = self.pending.pop(0)
            self.running.append(number)
            self.carry_out(self.admission.placed(self.now, number))
            self.carry_out(self.admission.execution_started(self.now, number))

    def carry_out(self, actions: list[Any]) -> None:
        self.pending += [a.number for a in actions if isinstance(a, Admit)]


async def memory() -> None:
    """Resident memory of admission control while names come that were never seen."""
    rng = random.Random(5)
    for what in ("names", "IPv6 addresses"):
        alone = Alone(20)
        for i in range(3_000):
            alone.step(f"club-{i % 50}", "127.0.0.1", 2_000)
        gc.collect()
        before = psutil.Process().memory_info().rss
        for i in range(100_000):
            header = f"flood-{i}" if what == "names" else None
            address = "127.0.0.1" if header else str(ipaddress.IPv6Address(rng.getrandbits(128)))
            alone.step(header, address, 1_000)
        gc.collect()
        more = (psutil.Process().memory_info().rss - before) / 1e6
        metrics = report(alone.admission)
        print(
            f"  100,000 {what}: {more:.1f} MB more, {metrics['accounts']} accounts,"
            f" {metrics['queued']} queued, {metrics['let_in']} let in"
        )


async def cost() -> None:
    """One program, reloaded between admission control on and off in turns, under the same calm load."""
    spent: dict[str, list[float]] = defaultdict(list)
    async with town(operator=ON, workers=8) as here:
        process = psutil.Process(here.program.pid)
        rate = 0.5 * here.slots / (here.site.mean_work_ms / 1000)
        tenants = [Tenant(f"club-{i}", rate / SMALL) for i in range(SMALL)]
        for turn in range(9):
            name, operator = (("on", ON), ("off", OFF))[turn % 2]
            here.program.reload(operator)
            clients = Clients(here.site, lambda: here.program.listen, here.journal, seed=turn)
            used = process.cpu_times()
            await clients.play(tenants, 8.0)
            now = process.cpu_times()
            if turn:  # the first one warms up
                cpu = now.user + now.system - used.user - used.system
                spent[name].append(cpu / len(clients.asked) * 1000)
    on, off = statistics.median(spent["on"]), statistics.median(spent["off"])
    print(f"  CPU a request: admission control on {on:.3f} ms, off {off:.3f} ms, ratio {on / off:.3f}")


async def speed() -> None:
    """Decisions (arrivals with all that follows from them) a second."""
    rates = {}
    for tenants in (10, 1_000, 100_000):
        alone = Alone(20)
        for i in range(5_000):
            alone.step(f"club-{i % tenants}", "127.0.0.1", 2_000)
        begun, steps = time.perf_counter(), 40_000
        for _ in range(steps):
            alone.step(f"club-{alone.random.randrange(tenants)}", "127.0.0.1", 2_000)
        rates[tenants] = steps / (time.perf_counter() - begun)
    for tenants, rate in rates.items():
        print(f"  {tenants:7,} tenants: {rate:8,.0f} decisions a second, {rate / rates[10]:.2f} of the first")


PARTS: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
    "memory": memory, "speed": speed, "fair": fair, "returns": returns, "cost": cost,
}  # fmt: skip


def main(names: list[str]) -> None:
    gc.disable()  # the emulators' own pauses would look like waiting workers; a run's garbage is small
    for name in names or PARTS:
        print(f"{name}: {(PARTS[name].__doc__ or '').splitlines()[0]}")
        asyncio.run(PARTS[name]())


if __name__ == "__main__":
    main(sys.argv[1:])
