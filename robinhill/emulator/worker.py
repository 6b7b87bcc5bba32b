"""An emulated worker: accepts jobs over HTTP and runs them in real time in the worker of robinhill.model."""

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import aiohttp
import orjson
from aiohttp import web

from robinhill.checker.journal import Journal
from robinhill.emulator.site import LOOPBACK, Site
from robinhill.model.describe import Fleet, Machine
from robinhill.model.workers import Job
from robinhill.model.workers import Worker as Core

MAX_CALL_BACK_TRIES = 10
CALL_BACK_RETRY_S = 0.1
CALL_BACK_TIMEOUT_S = 2.0
WORK_ATTRIBUTE = "work="  # prefix in X-Attrs of the job's run time in milliseconds on a worker of speed 1


class RealTime:
    """Implements `robinhill.model.workers.Clock` in real time: `now` is the monotonic clock in microseconds,
    and scheduled calls are timers of the event loop.
    """

    @property
    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def at(self, when_us: int, call: Callable[..., Any], *arguments: Any) -> None:
        self.after(when_us - self.now, call, *arguments)

    def after(self, delay_us: float, call: Callable[..., Any], *arguments: Any) -> None:
        asyncio.get_running_loop().call_later(max(0.0, delay_us) / 1e6, call, *arguments)


def model_fleet(site: Site, machine: Machine) -> Fleet:
    """The model's description of a fleet of this machine, with the site's parameters."""
    return Fleet(
        (machine,),
        connect_cost_ms=0.0,
        cold_s=site.cold_s,
        cold_from=site.cold_from,
        fall_multiple=site.fall_multiple,
        tip_after_s=site.tip_after_s,
    )


@dataclass(slots=True, eq=False)
class Worker:
    """One worker on a loopback address. Its methods also inject faults.

    The request for a job does not name the scheduler that sent it. With several schedulers, each therefore
    gets a separate address of the worker (``open_address``), as the protocol allows ``hostPort`` to differ
    between schedulers; the worker sends call-backs for a job to the scheduler of the address that received
    it.
    """

    name: str
    site: Site
    journal: Journal
    slots: int = 4
    speed: float = 1.0
    queue_limit: int = 32
    host_port: str = ""
    started_unix_ms: int = 0
    scheduler: str = ""  # address for the call-backs of jobs received at `host_port`
    core: Core = field(init=False)
    _session: aiohttp.ClientSession | None = None
    _runners: list[web.ServerRunner] = field(default_factory=list)
    _call_back_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _responding: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        machine = Machine("std", 1, cores=self.slots, slots=self.slots, memory=1e9, queue=self.queue_limit)
        fleet = model_fleet(self.site, machine)
        self.core = Core(self.name, 0, 0, machine, self.speed, fleet, RealTime(), self.journal)

    @property
    def running(self) -> list[Job]:
        return self.core.running

    @property
    def waiting(self) -> deque[Job]:
        return self.core.waiting

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_BACK_TIMEOUT_S))
        self.host_port = await self.open_address()

    async def open_address(self, name: str = "", listen: str | None = None) -> str:
        """Listen on a further address, for the scheduler of this name that gets call-backs at ``listen``."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._handle(request, name, listen)

        runner = web.ServerRunner(web.Server(handle, access_log=None), shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, LOOPBACK, 0).start()
        return "{}:{}".format(*runner.addresses[0])

    async def stop(self) -> None:
        self.core.fail_silently()
        self._responding.set()
        for task in list(self._call_back_tasks):
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()
        if self._session:
            await self._session.close()

    # Faults

    def stop_responding(self) -> None:
        """Answer no calls and send no reports from now on; running and waiting jobs are lost."""
        self._responding.clear()
        self.core.fail_silently()

    def restart(self) -> None:
        """Restart without jobs, and with the slow start of a cold worker."""
        self.core.restart_cold()
        self.started_unix_ms = int(time.time() * 1000)
        self._responding.set()

    def set_slowdown(self, factor: float) -> None:
        """Make jobs take ``factor`` times as long from now on."""
        self.core.set_slowdown(factor)

    # The platform's protocol

    async def _handle(self, request: web.BaseRequest, name: str, listen: str | None) -> web.StreamResponse:
        if self.core.silent:
            await self._responding.wait()
            if request.transport:
                request.transport.abort()  # connections from before the restart are reset
            return web.Response(status=500)
        if request.method == "DELETE":
            self.core.cancel(request.path.rpartition("/")[2])
            return web.Response(status=200)
        if request.method == "GET" and request.path == "/health":
            return web.Response(status=200)
        if request.method != "POST":
            return web.Response(status=404)
        await request.read()
        if (request_id := request.headers.get("X-Request-ID")) is None:
            return web.Response(status=404)
        return self._accept_job(request, request_id, name, listen)

    def _accept_job(
        self, request: web.BaseRequest, request_id: str, name: str, listen: str | None
    ) -> web.Response:
        kind = request.headers.get("X-Priority-Class", "")
        work_ms = self.site.kind(kind).work_ms
        for pair in request.headers.get("X-Attrs", "").split(","):
            if pair.startswith(WORK_ATTRIBUTE):
                work_ms = float(pair.removeprefix(WORK_ATTRIBUTE))
        report_state = partial(self._report, listen)
        job = Job(request_id, kind, work_ms * 1000, 1, 0.0, report_state, scheduler=name)
        if self.core.take(job):
            return web.Response(status=202)
        return web.Response(status=503, headers={"X-Not-Processed": "1"})

    def _report(self, listen: str | None, what: str, job: Job) -> None:
        """Report a job's new state to the scheduler; called by ``core``, the worker of robinhill.model."""
        report = {"id": job.request, "from": self.name, "state": what}
        if what == "done":
            report["result"] = f"{job.request} by {self.name}"
        task = asyncio.get_running_loop().create_task(self._post_report(listen, orjson.dumps(report)))
        self._call_back_tasks.add(task)
        task.add_done_callback(self._call_back_tasks.discard)

    async def _post_report(self, listen: str | None, body: bytes) -> None:
        """Send a call-back until the scheduler acknowledges it, at most MAX_CALL_BACK_TRIES times."""
        assert self._session
        for _ in range(MAX_CALL_BACK_TRIES):
            to = f"http://{listen or self.scheduler}/v1/job-events"
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self._session.post(to, data=body) as answer:
                    if answer.status in (200, 204):
                        return
            await asyncio.sleep(CALL_BACK_RETRY_S)
