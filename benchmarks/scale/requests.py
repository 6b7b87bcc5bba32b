"""Processor time of a real scheduler for one request, by listed workers."""

import asyncio
from collections.abc import Sequence

import psutil

from benchmarks.scale.fitting import Point, print_ladder
from benchmarks.scale.processes import SHORT_KIND, listing
from robinhill.emulator.client import Clients
from robinhill.emulator.client import Tenant as AskingTenant

WORKERS = (10, 100, 300, 1_000)
RATE_PER_S = 120.0
WARM_S = 1.0
SECONDS = 5.0


def cpu_s(pid: int) -> float:
    used = psutil.Process(pid).cpu_times()
    return float(used.user + used.system)


async def _cpu_us(worker_count: int) -> float:
    async with listing(worker_count) as here:
        clients = Clients(here.site, lambda: here.program.listen, here.journal, seed=7)
        tenants = [AskingTenant("team", RATE_PER_S, kinds=(SHORT_KIND.name,))]
        await clients.play(tenants, WARM_S)
        asked_before, used_before = len(clients.asked), cpu_s(here.program.pid)
        await clients.play(tenants, SECONDS)
        asked = clients.asked[asked_before:]
        served = sum(each.tries[-1].status == 200 for each in asked)
        if served < 0.99 * len(asked):
            print(f"  {worker_count} workers: only {served} of {len(asked)} requests were served")
        return (cpu_s(here.program.pid) - used_before) / len(asked) * 1e6


def request_cpu_us(worker_count: int) -> float:
    """Processor microseconds of one request with so many listed workers, all of them long warm."""
    return asyncio.run(_cpu_us(worker_count))


def run(sizes: Sequence[int]) -> None:
    """The ladder; ``sizes`` are of workers, empty for all."""
    points = [Point(count, request_cpu_us(count)) for count in sizes or WORKERS]
    print_ladder("processor time of a real process for one request", "us", points, "listed workers")
