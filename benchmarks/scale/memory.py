"""Memory by listed worker and by job out: of the decision module, the program's net side, and a process."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Sequence

import aiohttp

from benchmarks.scale.counting import allocated_bytes
from benchmarks.scale.fitting import Point, print_ladder
from benchmarks.scale.nodes import Node
from benchmarks.scale.processes import LONG_KIND, WORKER_NAME, Listing, listing
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.metrics import Metrics
from robinhill.net.workers.endpoint import Endpoint
from robinhill.protocol import Lifecycle, ListedEndpoint

WORKERS = (100, 300, 1_000, 3_000, 10_000)
JOBS = (100, 300, 1_000)
CONNECT_TIMEOUT_US = 200_000
KEEPALIVE_US = 15_000_000
OUT_WAIT_S = 30.0
LOOK_S = 0.1
ASK_APART_S = 0.01


def module_worker_bytes(worker_count: int) -> int:
    """Bytes that the decision module holds for so many listed workers."""
    return allocated_bytes(lambda: Node(worker_count))


def module_job_bytes(job_count: int) -> int:
    """Bytes that the decision module holds for so many jobs out, each at a worker of its own."""
    node = Node(job_count)

    def send() -> None:
        for _ in range(job_count):
            node.arrive()

    return allocated_bytes(send)


async def _endpoint_bytes(worker_count: int) -> int:
    supervisor, clock, metrics = Supervisor(), Clock(), Metrics(())
    endpoints: list[Endpoint] = []

    def make() -> None:
        for number in range(worker_count):
            destination = ListedEndpoint(
                f"worker-{number:05}", "127.0.0.1:9", "north", "std", 0, Lifecycle.ACTIVE, 1.0, 0
            )
            endpoint = Endpoint(
                destination, supervisor, clock, CONNECT_TIMEOUT_US, KEEPALIVE_US, metrics, lambda word: None
            )
            endpoint.start()
            endpoints.append(endpoint)

    held = allocated_bytes(make)
    for endpoint in endpoints:
        await endpoint.close()
    return held


def endpoint_bytes(worker_count: int) -> int:
    """Bytes that the program's endpoints hold for so many listed workers, before any is used."""
    return asyncio.run(_endpoint_bytes(worker_count))


async def _resident_bytes(worker_count: int) -> int:
    async with listing(worker_count, serving=False) as here:
        return here.resident_bytes


def process_worker_bytes(worker_count: int) -> int:
    """Resident bytes of a real scheduler with so many listed workers, no work under way."""
    return asyncio.run(_resident_bytes(worker_count))


async def _ask(session: aiohttp.ClientSession, here: Listing, number: int) -> None:
    headers = {
        "X-Request-ID": f"scale-{number}", "X-Priority-Class": LONG_KIND.name,
        "X-Route-Key": f"scale-{number}", "X-Timeout": f"{LONG_KIND.deadline_ms}m",
        "X-Attrs": f"work={LONG_KIND.work_ms}",
    }  # fmt: skip
    url = f"http://{here.program.listen}/{LONG_KIND.name}/x"
    with contextlib.suppress(aiohttp.ClientError):  # the process ends before the jobs do
        async with session.post(url, data=b"work", headers=headers) as response:
            await response.read()


async def _jobs_bytes(job_count: int) -> int:
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
        listing(max(JOBS)) as here,
    ):
        before = here.resident_bytes
        asking = []
        for number in range(job_count):
            asking.append(asyncio.create_task(_ask(session, here, number)))
            await asyncio.sleep(ASK_APART_S)
        due_s = time.monotonic() + OUT_WAIT_S
        while (out := here.journal.started_jobs[WORKER_NAME]) < job_count and time.monotonic() < due_s:
            await asyncio.sleep(LOOK_S)
        held = here.resident_bytes - before
        here.kill()
        await asyncio.gather(*asking)
        if out < job_count:
            raise RuntimeError(f"{out} of {job_count} jobs were out after {OUT_WAIT_S:g} s")
        return held


def process_job_bytes(job_count: int) -> int:
    """Resident bytes that a real scheduler adds for so many jobs out, with clients that wait for them."""
    return asyncio.run(_jobs_bytes(job_count))


Measure = Callable[[int], int]
BY_WORKER: tuple[tuple[str, Measure], ...] = (
    ("decision module", module_worker_bytes),
    ("endpoints of the net side", endpoint_bytes),
    ("a real process, resident", process_worker_bytes),
)
BY_JOB: tuple[tuple[str, Measure], ...] = (
    ("decision module", module_job_bytes),
    ("a real process, resident, added", process_job_bytes),
)


def run(sizes: Sequence[int]) -> None:
    """All ladders; ``sizes`` are of workers, empty for all."""
    counts = sizes or WORKERS
    for title, measure in BY_WORKER:
        print_ladder(title, "bytes", [Point(n, measure(n)) for n in counts], "listed workers")
    for title, measure in BY_JOB:
        print_ladder(title, "bytes", [Point(n, measure(n)) for n in JOBS], "jobs out")
