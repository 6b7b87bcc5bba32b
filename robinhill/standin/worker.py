"""A worker that takes jobs over HTTP and runs them by waiting: slots, a queue in order, cold starts,
failures.
"""

import asyncio
import contextlib
import time
from collections import deque
from dataclasses import dataclass, field

import aiohttp
import orjson
from aiohttp import web

from robinhill.standin.journal import Journal, What
from robinhill.standin.site import LOOPBACK, Site

CALLS = 10  # times that a call-back is tried
CALL_AGAIN_S = 0.1
CALL_TIMEOUT_S = 2.0
WORK = "work="  # in X-Attrs: how long the job runs on a worker of speed 1, in milliseconds


@dataclass(slots=True, eq=False)
class _Job:
    id: str
    kind: str
    work_s: float
    caller: str  # the scheduler's address
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class Worker:
    """One worker on a loopback address. What goes wrong with it is set from outside.

    ``silent``: it accepts connections and says nothing. ``slow``: jobs that begin now take so many times as
    long. ``draining``: it hands everything new back.
    """

    name: str
    site: Site
    journal: Journal
    slots: int = 4
    speed: float = 1.0
    queue_limit: int = 32
    silent: bool = False
    slow: float = 1.0
    draining: bool = False
    host_port: str = ""
    started_at: float = 0.0  # monotonic; 0: long ago, warm
    started_unix_ms: int = 0
    scheduler: str = ""  # where to call back
    running: dict[str, _Job] = field(default_factory=dict)
    waiting: deque[_Job] = field(default_factory=deque)
    _arrived: deque[tuple[float, float]] = field(default_factory=deque)  # when, work
    _fell: bool = False
    _session: aiohttp.ClientSession | None = None
    _runner: web.ServerRunner | None = None
    _calls: set[asyncio.Task[None]] = field(default_factory=set)
    _awake: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None), shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, 0)
        await site.start()
        assert self._runner.addresses
        self.host_port = "{}:{}".format(*self._runner.addresses[0])

    async def stop(self) -> None:
        self.lose_all(tell=False)
        self._awake.set()
        for task in list(self._calls):
            task.cancel()
        if self._runner:
            await self._runner.cleanup()
        if self._session:
            await self._session.close()

    # What goes wrong

    def vanish(self) -> None:
        """Say nothing from now on; what it ran is lost without a word."""
        self.silent = True
        self._awake.clear()
        self.lose_all(tell=False)

    def come_back(self) -> None:
        """Start again, cold."""
        self.silent, self._fell = False, False
        self.started_at, self.started_unix_ms = time.monotonic(), int(time.time() * 1000)
        self.journal.note(What.STARTED, worker=self.name)
        self._awake.set()

    def lose_all(self, *, tell: bool) -> None:
        """Lose all jobs; the machine's agent tells of it, or not."""
        for job in [*self.running.values(), *self.waiting]:
            if job.timer:
                job.timer.cancel()
            self.journal.note(What.ENDED, job.id, self.name)
            if tell:
                self._call(job, {"state": "lost"})
        self.running.clear()
        self.waiting.clear()

    # The protocol

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.silent:
            await self._awake.wait()
            raise ConnectionResetError
        if request.method == "DELETE":
            return self._cancel(request.path.rpartition("/")[2])
        if request.method == "GET" and request.path == "/health":
            return web.Response(status=200)
        if request.method != "POST":
            return web.Response(status=404)
        await request.read()
        if (request_id := request.headers.get("X-Request-ID")) is None:
            return web.Response(status=404)
        return self._take(request, request_id)

    def _take(self, request: web.BaseRequest, request_id: str) -> web.Response:
        kind = request.headers.get("X-Priority-Class", "")
        work_ms = self.site.kind(kind).work_ms
        for pair in request.headers.get("X-Attrs", "").split(","):
            if pair.startswith(WORK):
                work_ms = float(pair.removeprefix(WORK))
        self.journal.note(What.SENT, request_id, self.name, kind=kind)
        self._press(work_ms / 1000)
        if self.draining or len(self.waiting) >= self.queue_limit:
            self.journal.note(What.RETURNED, request_id, self.name)
            return web.Response(status=503, headers={"X-Not-Processed": "1"})
        self.waiting.append(_Job(request_id, kind, work_ms / 1000, self.scheduler))
        asyncio.get_running_loop().call_soon(self._pump)
        return web.Response(status=202)

    def _cancel(self, request_id: str) -> web.Response:
        self.journal.note(What.CALLED_OFF, request_id, self.name)
        for job in [j for j in self.waiting if j.id == request_id]:
            self.waiting.remove(job)
        if running := self.running.get(request_id):
            running.caller = ""  # running work goes on after a cancel; nobody is told
        return web.Response(status=200)

    # Running

    def warm(self) -> float:
        """The share of its capacity that it has now."""
        if not self.started_at:
            return 1.0
        passed = (time.monotonic() - self.started_at) / self.site.cold_s
        return min(1.0, self.site.cold_from + (1 - self.site.cold_from) * passed)

    def _press(self, work_s: float) -> None:
        """A cold worker that is sent too much within the window falls over and stays down."""
        now, window = time.monotonic(), self.site.tip_after_s
        self._arrived.append((now, work_s))
        while self._arrived[0][0] < now - window:
            self._arrived.popleft()
        bears = self.site.fall_multiple * self.warm() * self.slots * self.speed * window
        if self.warm() < 1 and sum(w for _, w in self._arrived) > bears and not self._fell:
            self._fell = True
            self.journal.note(What.FELL, worker=self.name)
            self.vanish()

    def _pump(self) -> None:
        if self.silent:
            return
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            self.running[job.id] = job
            self.journal.note(What.BEGAN, job.id, self.name)
            self._call(job, {"state": "started"})
            time_s = job.work_s * self.slow / (self.speed * self.warm())
            job.timer = asyncio.get_running_loop().call_later(time_s, self._end, job)

    def _end(self, job: _Job) -> None:
        if self.running.pop(job.id, None) is None:
            return
        self.journal.note(What.ENDED, job.id, self.name)
        self._call(job, {"state": "done", "result": f"{job.id} by {self.name}"})
        self._pump()

    def _call(self, job: _Job, words: dict[str, str]) -> None:
        if not job.caller:
            return
        body = orjson.dumps({"id": job.id, "from": self.name} | words)
        task = asyncio.get_running_loop().create_task(self._tell(job.caller, body))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _tell(self, caller: str, body: bytes) -> None:
        """Repeat a call until it is answered, ten times at most."""
        assert self._session
        for _ in range(CALLS):
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self._session.post(f"http://{caller}/v1/job-events", data=body) as answer:
                    if answer.status in (200, 204):
                        return
            await asyncio.sleep(CALL_AGAIN_S)
