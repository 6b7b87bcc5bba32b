"""The program as real processes for the ladders: one scheduler with many listed workers, or several idle ones
that share.
"""

import asyncio
import signal
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import orjson
import psutil

from robinhill.checker.journal import Journal
from robinhill.emulator.discovery import Discovery
from robinhill.emulator.program import Program
from robinhill.emulator.rig import Rig
from robinhill.emulator.site import JobKind, Site
from robinhill.emulator.worker import Worker
from robinhill.model.workers import Job

MOST_PROCESSES = 24
WORKER_NAME = "worker"
SLOTS = 8_192  # one stand-in answers for all listed workers
LONG_KIND = JobKind("long", 60_000, 60_000, 2.0, 120_000)
SHORT_KIND = JobKind("short", 2, 500, 2.0, 2_000)
SETTLE_S = 1.0
COUNTER = "mesh."


@dataclass(slots=True, frozen=True)
class Listing:
    """A scheduler under way, to which one stand-in is listed under so many names."""

    site: Site
    journal: Journal
    program: Program

    @property
    def resident_bytes(self) -> int:
        return int(psutil.Process(self.program.pid).memory_info().rss)

    def kill(self) -> None:
        """End it at once, whatever it owes."""
        self.program.signal(signal.SIGKILL)


class ManyNamed(Worker):
    """One stand-in that is listed under many names, each with an address of its own where it is sent to."""

    def _tell(self, listen: str | None, what: str, job: Job) -> None:
        words = {"id": job.request, "from": job.scheduler, "state": what}  # the name that was sent to
        if what == "done":
            words["result"] = job.request
        task = asyncio.get_running_loop().create_task(self._call(listen, orjson.dumps(words)))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)


async def _list(discovery: Discovery, worker: ManyNamed, worker_count: int, serving: bool) -> None:
    entry = discovery.entries.pop(worker.name)
    for number in range(worker_count):
        name = f"worker-{number:05}"
        host_port = await worker.open_address(name) if serving else worker.host_port
        discovery.entries[name] = entry | {"instanceId": name, "hostPort": host_port}


@asynccontextmanager
async def listing(worker_count: int, serving: bool = True) -> AsyncIterator[Listing]:
    """One real scheduler with so many listed workers; it has ended behind the block.

    Without ``serving`` all workers are listed at one address, and nothing may be asked for.
    """
    site, journal = Site((LONG_KIND, SHORT_KIND)), Journal()
    worker = ManyNamed(WORKER_NAME, site, journal, slots=SLOTS, queue_limit=SLOTS)
    discovery = Discovery([worker], journal)
    with tempfile.TemporaryDirectory(prefix="robinhill-scale-") as folder:
        program = Program(Path(folder), site, discovery)
        worker.scheduler = program.listen
        await worker.start()
        await discovery.start()
        await _list(discovery, worker, worker_count, serving)
        try:
            await program.start()
            await asyncio.sleep(SETTLE_S)
            yield Listing(site, journal, program)
        finally:
            if program.process and program.process.returncode is None:
                await program.stop()
            await discovery.stop()
            await worker.stop()


@dataclass(slots=True, frozen=True)
class Usage:
    """What one process has used since its start: processor seconds, bytes of shared state written, and
    resident bytes now.
    """

    cpu_s: float
    sent_bytes: float
    resident_bytes: float


async def usage_of(here: Rig, name: str) -> Usage:
    """A scheduler's use, by the kernel's account and its own counters."""
    program = here.programs[name]
    process = psutil.Process(program.pid)
    used = process.cpu_times()
    _, text = await program.call("GET", "/ops/stats")
    return Usage(used.user + used.system, counter(text, "bytes_out"), process.memory_info().rss)


def counter(stats: str, name: str) -> float:
    """A counter of the shared state from the text of a scheduler's statistics."""
    for line in stats.splitlines():
        key, _, value = line.partition(":")
        if key.endswith(COUNTER + name):
            return float(value.partition("|")[0])
    raise KeyError(name)
