"""Effects and costs of admission control: `python -m benchmarks.admission [PART ...]`.

All parts take about six minutes.

fair      50 small tenants and a large one at 2.4 times the fleet's capacity, with admission on and off
returns   accuracy of Retry-After: share of retries that are admitted, and the wait that was really needed
memory    memory of admission control, without the program, for 100,000 tenant names and IPv6 addresses
cost      CPU time of the program for a request, with admission control alternately on and off in one run
speed     decisions a second of admission control, without the program, at 10, 1,000 and 100,000 tenants
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
from robinhill.checker.rules import find_violations
from robinhill.emulator.client import REJECTION_STATUSES, Clients, RequestedJob, Tenant, served_worth
from robinhill.emulator.program import LoopbackSite, loopback_site
from robinhill.emulator.site import Site

Json = dict[str, Any]
ADMISSION_ON: Json = {"admission": {"enabled": True}}
ADMISSION_OFF: Json = {"admission": {"enabled": False}}
SMALL_TENANTS = 50
LOAD_FACTOR = 2.4
WARM_UP_S = 6.0  # left out of the results, since admission control has learned nothing at the start of a run
FAIRNESS_S = 60.0  # long enough that one unserved renewal-charge job is a small part of a tenant's worth
RETRY_AFTER_S = 40.0
NON_RETRYABLE_KINDS = ["renewal-charge"]


async def run_load(
    operator: Json, tenants: Callable[[LoopbackSite], list[Tenant]], seconds: float
) -> tuple[LoopbackSite, Clients, Json]:
    """Run clients against one installation and check its journal with `robinhill.checker`.

    Jobs that were requested during the warm-up are removed from ``Clients.asked``.
    """
    async with loopback_site(operator=operator, workers=8) as installation:
        clients = Clients(
            installation.site, lambda: installation.program.listen, installation.journal, seed=11
        )
        start_s = time.monotonic()
        await clients.play(tenants(installation), seconds + WARM_UP_S)
        admission = await installation.program.admission()
        clients.requested_jobs = [
            job for job in clients.requested_jobs if job.tries and job.tries[0].at > start_s + WARM_UP_S
        ]
        if violations := find_violations(installation.journal, NON_RETRYABLE_KINDS):
            print(f"  RULES BROKEN: {len(violations)} violations, such as {violations[0]}")
        if clients.max_lateness_s > 0.25:
            print(
                f"  requests were sent up to {clients.max_lateness_s:.2f} s late: this machine was too slow"
            )
    return installation, clients, admission


def small_and_large_tenants(
    installation: LoopbackSite, small_share: float = 0.8, **large_options: Any
) -> list[Tenant]:
    """Small tenants that each request ``small_share`` of their fair share, and a large one.

    The large tenant's rate brings the total load to `LOAD_FACTOR` times the capacity.
    """
    request_work_s = installation.site.mean_work_ms / 1000
    fair_rate = installation.slots / (SMALL_TENANTS + 1) / request_work_s
    small = [Tenant(f"club-{i}", fair_rate * small_share) for i in range(SMALL_TENANTS)]
    large_rate = LOAD_FACTOR * installation.slots / request_work_s - SMALL_TENANTS * fair_rate * small_share
    return [*small, Tenant("large", large_rate, **large_options)]


def group_by_tenant(jobs: list[RequestedJob]) -> dict[str, list[RequestedJob]]:
    grouped: dict[str, list[RequestedJob]] = defaultdict(list)
    for job in jobs:
        grouped[job.tenant].append(job)
    return grouped


async def measure_fairness() -> None:
    """Share of each tenant's requested worth that is served in time, with admission control on and off.

    The worth of a job is the ``worth`` of its class times the job's core seconds.
    """
    rows = []
    for name, operator in (("on", ADMISSION_ON), ("off", ADMISSION_OFF)):
        installation, clients, _ = await run_load(operator, small_and_large_tenants, FAIRNESS_S)
        grouped = group_by_tenant(clients.requested_jobs)
        small = sorted(served_worth(v) for k, v in grouped.items() if k != "large")
        work = sum(a.work_s for a in clients.requested_jobs if a.in_time) / (FAIRNESS_S * installation.slots)
        rows.append((name, small[0], statistics.median(small), served_worth(grouped["large"]), work))
    print(
        f"  {SMALL_TENANTS} small tenants and a large one at {LOAD_FACTOR} times the capacity,"
        " share of worth served in time:"
    )
    print("  admission    lowest small   median small    large tenant     fleet time used")
    for name, lowest, median, large, work in rows:
        print(f"  {name:4} {lowest:20.1%} {median:14.1%} {large:15.1%} {work:19.1%}")


async def measure_retry_after() -> None:
    """Accuracy of Retry-After for clients that retry a rejected request after the delay it states."""
    _, clients, admission = await run_load(
        ADMISSION_ON, lambda installation: small_and_large_tenants(installation, retries=30), RETRY_AFTER_S
    )
    retried = [
        job
        for job in clients.requested_jobs
        if job.tries[0].status in REJECTION_STATUSES and len(job.tries) > 1
    ]
    admitted = [job for job in retried if job.tries[1].status not in REJECTION_STATUSES]
    ratios = []
    for job in retried:
        if job.tries[-1].status in REJECTION_STATUSES or job.tries[0].retry_after_s is None:
            continue
        last = job.tries[-1]
        ratios.append(job.tries[0].retry_after_s / max(0.001, last.at - job.tries[0].at))
    for kind in Site().kinds:
        of_kind = [job for job in retried if job.kind.name == kind.name]
        admitted_count = sum(job.tries[1].status not in REJECTION_STATUSES for job in of_kind)
        delay_s = statistics.median([job.tries[0].retry_after_s or 0.0 for job in of_kind] or [0.0])
        print(
            f"  {kind.name}: {admitted_count} of {len(of_kind)} admitted at the first retry,"
            f" median Retry-After {delay_s:.2f} s"
        )
    accurate = sum(0.5 <= r <= 2 for r in ratios)
    promises = admission["promises"]
    evaluated = promises["right"] + promises["short"] + promises["long"]
    print(
        f"  rejected requests that were retried: {len(retried)},"
        f" admitted at the first retry: {len(admitted) / len(retried):.1%}"
    )
    print(
        "  Retry-After within a factor of two of the time until admission:"
        f" {accurate / max(1, len(ratios)):.1%}"
    )
    print(
        "  Retry-After within a factor of two of the queueing time measured by admission control:"
        f" {promises['right'] / max(1, evaluated):.1%}"
        f" of {evaluated} (too short {promises['short']}, too long {promises['long']})"
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


class StandaloneAdmission:
    """Admission control without sockets, with emulated workers that have ``slots`` slots in total.

    Jobs start as soon as a slot is free. While all slots are in use, every second request ends the oldest
    running job.
    """

    def __init__(self, slots: int) -> None:
        self.admission = Admission(SETTINGS, AdmissionOptions(enabled=True), 7, bytes(16))
        self.slots = slots
        self.random = random.Random(3)
        self.now_us = 1_000_000_000
        self.running: list[int] = []
        self.pending: list[int] = []
        self.number = 0

    def step(self, header: str | None, address: str, passed_us: int) -> None:
        """Advance the clock by ``passed_us``, handle the arrival of a request, then end and start jobs."""
        self.now_us += passed_us
        self.number += 1
        job_class = self.random.randrange(3)
        time_left_us = SETTINGS.classes[job_class].deadline_us
        caller = self.admission.directory.find(header, address, str(self.number))
        self._apply(
            self.admission.arrive(
                self.now_us, AdmissionRequest(self.number, job_class, caller, self.now_us, time_left_us)
            )
        )
        due_us = self.admission.next_us
        if due_us is not None and due_us <= self.now_us:
            self._apply(self.admission.tick(self.now_us))
        # One job ends for every two requests, so the load is twice the capacity and the queue is never empty.
        if len(self.running) >= self.slots and self.number % 2:
            self._apply(self.admission.ended(self.now_us, self.running.pop(0), True))
        while self.pending and len(self.running) < self.slots:
            number = self.pending.pop(0)
            self.running.append(number)
            self._apply(self.admission.placed(self.now_us, number))
            self._apply(self.admission.execution_started(self.now_us, number))

    def _apply(self, actions: list[Any]) -> None:
        self.pending += [a.number for a in actions if isinstance(a, Admit)]


async def measure_memory() -> None:
    """Resident memory that admission control adds while each request has a new tenant name or address."""
    rng = random.Random(5)
    for identifiers in ("names", "IPv6 addresses"):
        standalone = StandaloneAdmission(20)
        for i in range(3_000):
            standalone.step(f"club-{i % 50}", "127.0.0.1", 2_000)
        gc.collect()
        before = psutil.Process().memory_info().rss
        for i in range(100_000):
            header = f"flood-{i}" if identifiers == "names" else None
            address = "127.0.0.1" if header else str(ipaddress.IPv6Address(rng.getrandbits(128)))
            standalone.step(header, address, 1_000)
        gc.collect()
        added_mb = (psutil.Process().memory_info().rss - before) / 1e6
        metrics = report(standalone.admission)
        print(
            f"  100,000 {identifiers}: {added_mb:.1f} MB more, {metrics['accounts']} accounts,"
            f" {metrics['queued']} queued, {metrics['let_in']} admitted"
        )


async def measure_cpu_cost() -> None:
    """CPU time of one process per request at half load, with admission control alternately on and off."""
    cpu_ms: dict[str, list[float]] = defaultdict(list)
    async with loopback_site(operator=ADMISSION_ON, workers=8) as installation:
        process = psutil.Process(installation.program.pid)
        rate = 0.5 * installation.slots / (installation.site.mean_work_ms / 1000)
        tenants = [Tenant(f"club-{i}", rate / SMALL_TENANTS) for i in range(SMALL_TENANTS)]
        for turn in range(9):
            name, operator = (("on", ADMISSION_ON), ("off", ADMISSION_OFF))[turn % 2]
            installation.program.reload(operator)
            clients = Clients(
                installation.site, lambda: installation.program.listen, installation.journal, seed=turn
            )
            before = process.cpu_times()
            await clients.play(tenants, 8.0)
            after = process.cpu_times()
            if turn:  # the first turn is the warm-up
                cpu_s = after.user + after.system - before.user - before.system
                cpu_ms[name].append(cpu_s / len(clients.requested_jobs) * 1000)
    on, off = statistics.median(cpu_ms["on"]), statistics.median(cpu_ms["off"])
    print(f"  CPU per request: admission control on {on:.3f} ms, off {off:.3f} ms, ratio {on / off:.3f}")


async def measure_decision_rate() -> None:
    """Decisions a second; a decision handles an arrival and the job ends and starts that follow it."""
    rates = {}
    for tenants in (10, 1_000, 100_000):
        standalone = StandaloneAdmission(20)
        for i in range(5_000):
            standalone.step(f"club-{i % tenants}", "127.0.0.1", 2_000)
        start_s, steps = time.perf_counter(), 40_000
        for _ in range(steps):
            standalone.step(f"club-{standalone.random.randrange(tenants)}", "127.0.0.1", 2_000)
        rates[tenants] = steps / (time.perf_counter() - start_s)
    for tenants, rate in rates.items():
        print(
            f"  {tenants:7,} tenants: {rate:8,.0f} decisions/s,"
            f" {rate / rates[10]:.2f} of the rate with 10 tenants"
        )


PARTS: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
    "memory": measure_memory, "speed": measure_decision_rate, "fair": measure_fairness,
    "returns": measure_retry_after, "cost": measure_cpu_cost,
}  # fmt: skip


def main(names: list[str]) -> None:
    # Garbage collection in this process would make its emulated workers look slow; a run's garbage is small.
    gc.disable()
    for name in names or PARTS:
        print(f"{name}: {(PARTS[name].__doc__ or '').splitlines()[0]}")
        asyncio.run(PARTS[name]())


if __name__ == "__main__":
    main(sys.argv[1:])
