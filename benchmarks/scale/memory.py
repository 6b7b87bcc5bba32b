"""Memory of the decision module, the endpoints and a process, by numbers of workers and jobs in flight."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Sequence

import aiohttp

from benchmarks.scale.counting import allocated_bytes
from benchmarks.scale.fitting import Point, print_scaling
from benchmarks.scale.nodes import Node
from benchmarks.scale.processes import LONG_KIND, WORKER_NAME, RunningScheduler, scheduler_with_workers
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.metrics import Metrics
from robinhill.net.workers.endpoint import Endpoint
from robinhill.protocol import Lifecycle, ListedEndpoint

WORKERS = (100, 300, 1_000, 3_000, 10_000)
JOBS = (100, 300, 1_000)
CONNECT_TIMEOUT_US = 200_000
KEEPALIVE_US = 15_000_000
JOBS_STARTED_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
REQUEST_INTERVAL_S = 0.01


def module_worker_bytes(worker_count: int) -> int:
    """Bytes that a decision module allocates with ``worker_count`` listed workers."""
    return allocated_bytes(lambda: Node(worker_count))


def module_job_bytes(job_count: int) -> int:
    """Bytes that a decision module allocates for ``job_count`` jobs in flight, with as many workers."""
    node = Node(job_count)

    def send_jobs() -> None:
        for _ in range(job_count):
            node.arrive()

    return allocated_bytes(send_jobs)


async def _endpoint_bytes(worker_count: int) -> int:
    supervisor, clock, metrics = Supervisor(), Clock(), Metrics(())
    endpoints: list[Endpoint] = []

    def create_endpoints() -> None:
        for number in range(worker_count):
            destination = ListedEndpoint(
                f"worker-{number:05}", "127.0.0.1:9", "north", "std", 0, Lifecycle.ACTIVE, 1.0, 0
            )
            endpoint = Endpoint(
                destination, supervisor, clock, CONNECT_TIMEOUT_US, KEEPALIVE_US, metrics, lambda event: None
            )
            endpoint.start()
            endpoints.append(endpoint)

    allocated = allocated_bytes(create_endpoints)
    for endpoint in endpoints:
        await endpoint.close()
    return allocated


def endpoint_bytes(worker_count: int) -> int:
    """Bytes allocated for the endpoints of ``worker_count`` listed workers, before any endpoint is used."""
    return asyncio.run(_endpoint_bytes(worker_count))


async def _resident_bytes(worker_count: int) -> int:
    async with scheduler_with_workers(worker_count, serving=False) as scheduler:
        return scheduler.resident_bytes


def process_worker_bytes(worker_count: int) -> int:
    """Resident bytes of a real scheduler with ``worker_count`` listed workers and no jobs in flight."""
    return asyncio.run(_resident_bytes(worker_count))


async def _send_request(session: aiohttp.ClientSession, scheduler: RunningScheduler, number: int) -> None:
    headers = {
        "X-Request-ID": f"scale-{number}", "X-Priority-Class": LONG_KIND.name,
        "X-Route-Key": f"scale-{number}", "X-Timeout": f"{LONG_KIND.deadline_ms}m",
        "X-Attrs": f"work={LONG_KIND.work_ms}",
    }  # fmt: skip
    url = f"http://{scheduler.program.listen}/{LONG_KIND.name}/x"
    with contextlib.suppress(aiohttp.ClientError):  # the process is killed before the jobs end
        async with session.post(url, data=b"work", headers=headers) as response:
            await response.read()


async def _jobs_bytes(job_count: int) -> int:
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
        scheduler_with_workers(max(JOBS)) as scheduler,
    ):
        before = scheduler.resident_bytes
        requests = []
        for number in range(job_count):
            requests.append(asyncio.create_task(_send_request(session, scheduler, number)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        deadline_s = time.monotonic() + JOBS_STARTED_TIMEOUT_S
        while (
            started := scheduler.journal.started_jobs[WORKER_NAME]
        ) < job_count and time.monotonic() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        added_bytes = scheduler.resident_bytes - before
        scheduler.kill()
        await asyncio.gather(*requests)
        if started < job_count:
            raise RuntimeError(
                f"only {started} of {job_count} jobs had started after {JOBS_STARTED_TIMEOUT_S:g} s"
            )
        return added_bytes


def process_job_bytes(job_count: int) -> int:
    """Resident bytes that ``job_count`` jobs in flight, whose clients wait, add to a real scheduler."""
    return asyncio.run(_jobs_bytes(job_count))


Measure = Callable[[int], int]
BY_WORKER: tuple[tuple[str, Measure], ...] = (
    ("decision module", module_worker_bytes),
    ("endpoints", endpoint_bytes),
    ("resident memory of a real process", process_worker_bytes),
)
BY_JOB: tuple[tuple[str, Measure], ...] = (
    ("decision module", module_job_bytes),
    ("resident memory added to a real process", process_job_bytes),
)


def run(sizes: Sequence[int]) -> None:
    """Print all figures; ``sizes`` are numbers of workers, by default `WORKERS`."""
    counts = sizes or WORKERS
    for title, measure in BY_WORKER:
        print_scaling(title, "bytes", [Point(n, measure(n)) for n in counts], "listed workers")
    for title, measure in BY_JOB:
        print_scaling(title, "bytes", [Point(n, measure(n)) for n in JOBS], "jobs in flight")
