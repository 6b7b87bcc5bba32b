"""Runs real scheduler processes for the scaling measurements and reads their resource usage.

A scheduler can have any number of listed workers, since one emulated worker runs the jobs of all of them.
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

MAX_PROCESSES = 24
WORKER_NAME = "worker"
WORKER_SLOTS = 8_192  # slots of the one emulated worker that runs the jobs of all listed workers
LONG_KIND = JobKind("long", 60_000, 60_000, 2.0, 120_000)
SHORT_KIND = JobKind("short", 2, 500, 2.0, 2_000)
SETTLE_S = 1.0
COUNTER_PREFIX = "mesh."


@dataclass(slots=True, frozen=True)
class RunningScheduler:
    """A running scheduler whose endpoint list names one emulated worker many times."""

    site: Site
    journal: Journal
    program: Program

    @property
    def resident_bytes(self) -> int:
        return int(psutil.Process(self.program.pid).memory_info().rss)

    def kill(self) -> None:
        """Kill the process without a drain; pending requests get no answer."""
        self.program.signal(signal.SIGKILL)


class MultiNameWorker(Worker):
    """An emulated worker that is listed under many names, each with an address of its own."""

    def _report(self, listen: str | None, what: str, job: Job) -> None:
        # `job.scheduler` is the listed name whose address received the job, see `_add_entries`.
        report = {"id": job.request, "from": job.scheduler, "state": what}
        if what == "done":
            report["result"] = job.request
        task = asyncio.get_running_loop().create_task(self._post_report(listen, orjson.dumps(report)))
        self._call_back_tasks.add(task)
        task.add_done_callback(self._call_back_tasks.discard)


async def _add_entries(
    discovery: Discovery, worker: MultiNameWorker, worker_count: int, serving: bool
) -> None:
    entry = discovery.entries.pop(worker.name)
    for number in range(worker_count):
        name = f"worker-{number:05}"
        host_port = await worker.open_address(name) if serving else worker.host_port
        discovery.entries[name] = entry | {"instanceId": name, "hostPort": host_port}


@asynccontextmanager
async def scheduler_with_workers(worker_count: int, serving: bool = True) -> AsyncIterator[RunningScheduler]:
    """Run one real scheduler with ``worker_count`` listed workers; stop it at the end of the block.

    Without ``serving`` all workers are listed with the same address, and no requests may be sent.
    """
    site, journal = Site((LONG_KIND, SHORT_KIND)), Journal()
    worker = MultiNameWorker(WORKER_NAME, site, journal, slots=WORKER_SLOTS, queue_limit=WORKER_SLOTS)
    discovery = Discovery([worker], journal)
    with tempfile.TemporaryDirectory(prefix="robinhill-scale-") as folder:
        program = Program(Path(folder), site, discovery)
        worker.scheduler = program.listen
        await worker.start()
        await discovery.start()
        await _add_entries(discovery, worker, worker_count, serving)
        try:
            await program.start()
            await asyncio.sleep(SETTLE_S)
            yield RunningScheduler(site, journal, program)
        finally:
            if program.process and program.process.returncode is None:
                await program.stop()
            await discovery.stop()
            await worker.stop()


@dataclass(slots=True, frozen=True)
class Usage:
    """CPU seconds and replication bytes sent since the start of one process, and its resident memory now."""

    cpu_s: float
    sent_bytes: float
    resident_bytes: float


async def read_usage(processes: Rig, name: str) -> Usage:
    """The usage of one scheduler, from the kernel's accounting and from the scheduler's own counters."""
    program = processes.programs[name]
    process = psutil.Process(program.pid)
    used = process.cpu_times()
    _, text = await program.call("GET", "/ops/stats")
    return Usage(used.user + used.system, read_counter(text, "bytes_out"), process.memory_info().rss)


def read_counter(stats: str, name: str) -> float:
    """The value of a replication counter in a scheduler's statistics; raises KeyError if it is not there."""
    for line in stats.splitlines():
        key, _, value = line.partition(":")
        if key.endswith(COUNTER_PREFIX + name):
            return float(value.partition("|")[0])
    raise KeyError(name)
