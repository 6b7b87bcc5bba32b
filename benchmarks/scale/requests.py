"""CPU time of a real scheduler for one request, by the number of listed workers."""

import asyncio
from collections.abc import Sequence

import psutil

from benchmarks.scale.fitting import Point, print_scaling
from benchmarks.scale.processes import SHORT_KIND, scheduler_with_workers
from robinhill.emulator.client import Clients
from robinhill.emulator.client import Tenant as ClientTenant

WORKERS = (10, 100, 300, 1_000)
RATE_PER_S = 120.0
WARM_UP_S = 1.0
MEASURE_S = 5.0


def cpu_s(pid: int) -> float:
    used = psutil.Process(pid).cpu_times()
    return float(used.user + used.system)


async def _cpu_us(worker_count: int) -> float:
    async with scheduler_with_workers(worker_count) as scheduler:
        clients = Clients(scheduler.site, lambda: scheduler.program.listen, scheduler.journal, seed=7)
        tenants = [ClientTenant("team", RATE_PER_S, kinds=(SHORT_KIND.name,))]
        await clients.play(tenants, WARM_UP_S)
        warm_up_jobs, cpu_before_s = len(clients.requested_jobs), cpu_s(scheduler.program.pid)
        await clients.play(tenants, MEASURE_S)
        jobs = clients.requested_jobs[warm_up_jobs:]
        served = sum(job.tries[-1].status == 200 for job in jobs)
        if served < 0.99 * len(jobs):
            print(f"  {worker_count} workers: only {served} of {len(jobs)} requests were served")
        return (cpu_s(scheduler.program.pid) - cpu_before_s) / len(jobs) * 1e6


def request_cpu_us(worker_count: int) -> float:
    """CPU microseconds for one request, with ``worker_count`` listed workers past their slow start."""
    return asyncio.run(_cpu_us(worker_count))


def run(sizes: Sequence[int]) -> None:
    """Print the CPU time for one request; ``sizes`` are numbers of workers, by default `WORKERS`."""
    points = [Point(count, request_cpu_us(count)) for count in sizes or WORKERS]
    print_scaling("CPU time of a real process for one request", "us", points, "listed workers")
