"""Stand-ins for the second review: discovery, workers, clients and the platform, with a record.

They are written from the operators' pages alone. Everything listens on 127.0.0.1 on ports that the system
chooses. A case builds a ``Site``, plays its order of events, and returns whether the rule held.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

Json = dict[str, Any]
ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
EMPTY_LINE_S = 2.0  # discovery writes an empty line to a watch this often
CALL_TRIES = 10  # a worker tries each call at most this often
LIMIT_S = 110.0  # a case ends itself before the 120 s that a script may take


class CannotRunError(Exception):
    """The case could not be played: nothing was shown, neither a fault nor its absence."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with the time since the start in seconds."""

    def __init__(self, folder: Path) -> None:
        self.start = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.start

    def add(self, who: str, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {who}: {text}\n")
        self.file.flush()


@dataclass
class JobClass:
    """A class of requests; times in milliseconds."""

    name: str
    repeat: str  # retryable, dedup or fragile
    aim_ms: int = 300
    deadline_ms: int = 7_500
    scope: str = "zone"
    memory_ms: int = 7_500
    worth: float = 1.0


def settings(classes: list[JobClass], zones: list[str], **limits: Any) -> Json:
    """The settings of one scheduler of a small site, with the keys and units of the wire page."""
    return {
        "areas": zones,
        "blend": {"whole": 0.45, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.35},
        "classes": [
            {
                "aim-us": c.aim_ms * 1000,
                "dedup-scope": c.scope,
                "hard-limit-us": c.deadline_ms * 1000,
                "late-worth": 0.3,
                "memory-span-us": c.memory_ms * 1000,
                "name": c.name,
                "repeat": c.repeat,
                "stream": False,
                "worth": c.worth,
            }
            for c in classes
        ],
        "clients": {"marks-retry": False},
        "discovery": "subscribe",
        "fleet-size": 1,
        "guarantees": {
            "ask-every-us": 10_000_000,
            "cold-from": 0.32,
            "cold-us": 8_800_000,
            "drain-grace-us": 500_000,
            "fall-multiple": 3.0,
            "grace-to-answer-us": 20_000,
            "tip-after-us": 1_000_000,
        },
        "layers": ["workers"],
        "over-share-worth": 0.1,
        "policy-limits": {
            "cancelling": True,
            "connect-timeout-us": 200_000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 800_000,
            "keepalive-us": 15_000_000,
            "max-open": 20_000,
            "max-retry-after-us": 2_000_000,
            "most-tries": 4,
            "parallel-tries": False,
            "peers": False,
            "probes": False,
            "retry-after": True,
            "streams-per-conn": 1,
        }
        | limits,
        "prices": {"waste": 0.2, "cross-zone": 0.0, "late-fail": 0.08},
        "self-index": 0,
        "shapes": ["std-8"],
        "specifics": {
            "class-kind": [-1] * len(classes),
            "class-priority": [0] * len(classes),
            "class-stretch": [2.5] * len(classes),
            "progress-us": 0,
            "queue-order": "fifo",
            "tells-start": True,
        },
        "stats": {"fields": [], "via": "none"},
        "step-us": 5000,
        "tenants": [],
        "tier": 0,
        "value-by": "work",
        "weight-source": "none",
        "workload": "jobs",
        "zone": 0,
    }


class Server:
    """An HTTP server on a free loopback port."""

    def __init__(self) -> None:
        self.address = ""
        self._runner: web.ServerRunner | None = None

    async def listen(self) -> None:
        """Listen on a port that the system chooses."""
        self._runner = web.ServerRunner(web.Server(self.handle, access_log=None), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, 0).start()
        self.address = f"{LOOPBACK}:{self._runner.addresses[0][1]}"

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stop listening."""
        if self._runner:
            await self._runner.cleanup()


@dataclass
class Entry:
    """One entry of discovery's list."""

    instance_id: str
    address: str
    zone: str
    lifecycle: str = "active"
    started_ms: int = 0

    def encode(self) -> Json:
        """The entry in discovery's form."""
        return {
            "instanceId": self.instance_id,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "std-8",
            "cell": 1,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }


class Discovery(Server):
    """Discovery: the whole list, and watches that bring changes and an empty line every 2 s."""

    def __init__(self, record: Record, entries: list[Entry]) -> None:
        super().__init__()
        self.record = record
        self.entries = {e.instance_id: e for e in entries}
        self.generation = 41
        self.watches: set[asyncio.Queue[Json | None]] = set()
        # Called with each call before it is answered; returns an answer in place of the list, or None.
        self.before_answer: Callable[[], Awaitable[web.Response | None]] | None = None

    def whole(self) -> Json:
        """The whole list."""
        listed = [e.encode() for e in self.entries.values() if e.lifecycle != "left"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    def change(self, instance_id: str, lifecycle: str, started: bool = False) -> None:
        """Change an entry, and tell all watches that are not silent; ``started``: it has just started."""
        self.generation += 1
        if started:
            self.entries[instance_id].started_ms = int(time.time() * 1000)
        self.entries[instance_id].lifecycle = lifecycle
        self.record.add("discovery", f"{instance_id} is {lifecycle}, generation {self.generation}")
        entry = self.entries[instance_id].encode()
        for watch in self.watches:
            watch.put_nowait({"generation": self.generation, "reset": False, "instances": [entry]})

    def silence_open_watches(self) -> None:
        """Let each open watch fall silent: its connection stays open, and nothing more comes on it."""
        self.record.add("discovery", f"{len(self.watches)} open watches fall silent")
        for watch in self.watches:
            watch.put_nowait(None)
        self.watches = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call for the list or open a watch."""
        if self.before_answer and (answer := await self.before_answer()) is not None:
            return answer
        if request.rel_url.query.get("watch") != "1":
            return web.json_response(self.whole())
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        watch: asyncio.Queue[Json | None] = asyncio.Queue()
        self.watches.add(watch)
        self.record.add("discovery", f"watch opened, after={request.rel_url.query.get('after')}")
        await response.write(json.dumps(self.whole()).encode() + b"\n")
        try:
            while True:
                try:
                    change = await asyncio.wait_for(watch.get(), EMPTY_LINE_S)
                except TimeoutError:
                    await response.write(b"\n")
                    continue
                if change is None:
                    await asyncio.sleep(LIMIT_S)
                else:
                    await response.write(json.dumps(change).encode() + b"\n")
        except OSError:
            return response
        finally:
            self.watches.discard(watch)


@dataclass
class Attempt:
    """One attempt as a worker sees it: from its last byte to its end."""

    request_id: str
    key: str
    begun: float
    ended: float | None = None
    given_up: bool = False
    plan: Json = field(default_factory=dict)


class Worker(Server):
    """A worker that takes each job, runs it for a time, and tells what becomes of it.

    ``plan(attempt)`` says how: ``wait_s`` in its queue, ``run_s``, and ``end`` (done or failed).
    """

    def __init__(
        self, record: Record, instance_id: str, zone: str, plan: Callable[[Attempt], Json] | None = None
    ) -> None:
        super().__init__()
        self.record = record
        self.instance_id = instance_id
        self.zone = zone
        self.plan = plan or (lambda _: {})
        self.scheduler = ""  # host:port of the scheduler's $GW_LISTEN
        self.open: dict[str, Attempt] = {}  # attempts that have neither ended nor been given up
        self.seen: list[Attempt] = []
        self.overlaps: list[str] = []  # requests of which a second attempt came while the first was open
        self.lose_answer: Callable[[Json, int], bool] = lambda _call, _try: False
        self.retry_s = 0.3
        # Asked right before a job begins: whether a worker of the group has run this key already.
        self.is_repeat: Callable[[str, str], bool] = lambda _zone, _key: False
        self.runs: list[tuple[float, str, str]] = []  # time, request, key of each job that was begun
        self.tasks: set[asyncio.Task[None]] = set()
        self.answered: list[tuple[float, Json]] = []  # when each call got its 200 or 204, and the call
        self.silent = False  # vanished: it takes connections and says nothing
        self.vanishes_at: Callable[[str], bool] = lambda _request_id: False  # asked at each job that comes

    def entry(self) -> Entry:
        """The worker's entry on the list."""
        return Entry(self.instance_id, self.address, self.zone)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Take a job, or give one up."""
        if not self.silent and self.vanishes_at(request.headers.get("X-Request-ID", "")):
            self.record.add(self.instance_id, "vanishes")
            self.silent = True
        if self.silent:
            self.record.add(self.instance_id, f"{request.method} {request.rel_url.path} gets no answer")
            await asyncio.sleep(LIMIT_S)
        if request.method == "DELETE":
            return self._give_up(request.rel_url.path.rpartition("/")[2])
        if request.method != "POST":
            return web.Response(status=404)
        await request.read()
        request_id = request.headers.get("X-Request-ID", "")
        if not request_id:
            return web.Response(status=404)
        key = request.headers.get("Idempotency-Key", "")
        self.take(request_id, key)
        return web.Response(status=202)

    def take(self, request_id: str, key: str) -> None:
        """Take a job whose last byte has come, and run it."""
        attempt = Attempt(request_id, key, self.record.now())
        self.record.add(self.instance_id, f"attempt of {request_id} {('key ' + key) if key else ''} came")
        if request_id in self.open:
            self.overlaps.append(request_id)
            self.record.add(self.instance_id, f"SECOND COPY of {request_id}: the earlier one is open")
        attempt.plan = self.plan(attempt)
        self.seen.append(attempt)
        self.open[request_id] = attempt
        task = asyncio.get_running_loop().create_task(self._run(attempt))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _give_up(self, request_id: str) -> web.Response:
        attempt = self.open.pop(request_id, None)
        if attempt:
            attempt.given_up, attempt.ended = True, self.record.now()
        self.record.add(self.instance_id, f"DELETE of {request_id}, {'open' if attempt else 'not here'}")
        return web.Response(status=200 if attempt else 404)

    async def _run(self, attempt: Attempt) -> None:
        request_id = attempt.request_id
        await asyncio.sleep(attempt.plan.get("wait_s", 0.005))
        if attempt.given_up:
            return
        if attempt.key and self.is_repeat(self.zone, attempt.key):
            self.record.add(self.instance_id, f"repeat of key {attempt.key} dropped ({request_id})")
        else:
            self.runs.append((self.record.now(), request_id, attempt.key))
            self.record.add(self.instance_id, f"runs {request_id}")
        await self.tell({"id": request_id, "from": self.instance_id, "state": "started"})
        await asyncio.sleep(attempt.plan.get("run_s", 0.05))
        end = attempt.plan.get("end", "done")
        if self.open.get(request_id) is attempt:
            del self.open[request_id]
        attempt.ended = self.record.now()
        self.record.add(self.instance_id, f"{end} {request_id}")
        call: Json = {"id": request_id, "from": self.instance_id, "state": end}
        if end == "done":
            call["result"] = f"result of {request_id}"
        await self.tell(call)

    async def hand_back(self, request_id: str) -> None:
        """Hand back a job that has not begun, as a worker does that drains."""
        attempt = self.open.pop(request_id)
        attempt.given_up, attempt.ended = True, self.record.now()
        self.record.add(self.instance_id, f"hands back {request_id}, which has not begun")
        await self.tell({"id": request_id, "from": self.instance_id, "state": "returned"})

    async def tell(self, call: Json) -> None:
        """Make one call about a job, and repeat it until it gets an answer, at most ten times."""
        for number in range(CALL_TRIES):
            if self.silent:
                return
            if await self._call_once(call, self.lose_answer(call, number)):
                return
            await asyncio.sleep(self.retry_s)

    async def _call_once(self, call: Json, lose: bool) -> bool:
        body = json.dumps(call).encode()
        head = (
            f"POST /v1/job-events HTTP/1.1\r\nHost: {self.scheduler}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        try:
            reader, writer = await open_connection(self.scheduler)
        except OSError:
            return False
        try:
            writer.write(head + body)
            async with asyncio.timeout(2.0):
                status = await read_status(reader)
            if lose:  # the answer was lost on the way: the worker never reads it
                self.record.add(self.instance_id, f"answer to '{call['state']}' of {call['id']} is lost")
                return False
            self.record.add(self.instance_id, f"told '{call['state']}' of {call['id']}, answer {status}")
            if status in (200, 204):
                self.answered.append((self.record.now(), call))
            return status in (200, 204)
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            writer.close()


class FarWorker(Worker):
    """A worker in another data centre, some milliseconds away, whose 202 may be followed by a second answer.

    It serves each connection in order, as an HTTP server does.
    """

    def __init__(
        self, record: Record, instance_id: str, zone: str, plan: Callable[[Attempt], Json], one_way_s: float
    ) -> None:
        super().__init__(record, instance_id, zone, plan)
        self.one_way_s = one_way_s
        # How long after a 202 a second answer follows it; None: none does.
        self.second_after_s: Callable[[], float | None] = lambda: None
        self.second_answers = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening, and close the connections."""
        if self._server:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def tell(self, call: Json) -> None:
        """Make one call about a job, which takes its way through the network."""
        await asyncio.sleep(self.one_way_s)
        await super().tell(call)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError):
            while True:
                method, path, headers = await read_request(reader)
                await asyncio.sleep(self.one_way_s)
                self._answer(writer, method, path, headers)
        self._writers.discard(writer)
        writer.close()

    def _answer(self, writer: asyncio.StreamWriter, method: str, path: str, headers: dict[str, str]) -> None:
        if method == "DELETE":
            status = self._give_up(path.rpartition("/")[2]).status
            self._write(writer, self.one_way_s, f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n")
            return
        request_id = headers["x-request-id"]
        self.take(request_id, headers.get("idempotency-key", ""))
        self._write(writer, self.one_way_s, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        if (after_s := self.second_after_s()) is not None:
            self.second_answers += 1
            self.record.add(self.instance_id, f"a second answer to {request_id}, a 503, {after_s:.4f} s late")
            second = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
            self._write(writer, self.one_way_s + after_s, second)

    def _write(self, writer: asyncio.StreamWriter, after_s: float, text: str) -> None:
        def write() -> None:
            if not writer.transport.is_closing():
                writer.write(text.encode())

        asyncio.get_running_loop().call_later(after_s, write)


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str]]:
    """Read a request whole; return its method, path and headers. Raises EOFError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", "0")))
    return method, path, headers


async def open_connection(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to a loopback address."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def read_status(reader: asyncio.StreamReader) -> int:
    """Read an answer whole, and return its status. Raises EOFError if it ends early."""
    return (await read_answer(reader))[0]


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read an answer whole; return status and body. Raises EOFError if it ends early."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ", 2)[1])
    length = 0
    for line in head.split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return status, await reader.readexactly(length)


class ClientNetwork:
    """The way of the clients to one scheduler: a proxy that can reset their connections."""

    def __init__(self, record: Record, scheduler: str) -> None:
        self.record = record
        self.scheduler = scheduler
        self.address = ""
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._carry, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all open connections, at both ends."""
        self.record.add("network", f"{len(self._open) // 2} connections of clients are reset")
        for writer in self._open:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self._open.clear()

    async def close(self) -> None:
        """Stop carrying connections."""
        if self._server:
            self._server.close()
        for writer in self._open:
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there_reader, there = await open_connection(self.scheduler)
        except OSError:
            writer.close()
            return
        self._open |= {writer, there}
        for source, target in ((reader, there), (there_reader, writer)):
            task = asyncio.get_running_loop().create_task(self._copy(source, target))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(self, source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65536):
                target.write(data)
        self._open.discard(target)
        target.close()


class Client:
    """A client: one request on a connection of its own."""

    def __init__(self, record: Record, address: str) -> None:
        self.record = record
        self.address = address

    async def ask(
        self,
        job_class: str,
        request_id: str,
        timeout_ms: int,
        key: str = "",
        leave_after_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Hand in a job and wait for its answer.

        The status is 0 if the connection ended without a whole answer, -1 if the client left after
        ``leave_after_s``, and -2 if no answer came within half a second after the client's time.
        """
        try:
            reader, writer = await open_connection(self.address)
        except OSError:
            return 0, b"not connected"
        body = b"x" * 32
        lines = [
            f"POST /{job_class} HTTP/1.1",
            "Host: api.internal",
            f"X-Request-ID: {request_id}",
            f"X-Priority-Class: {job_class}",
            f"X-Timeout: {timeout_ms}m",
            f"Content-Length: {len(body)}",
        ]
        if key:
            lines.append(f"Idempotency-Key: {key}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        self.record.add("client", f"{request_id} {job_class} sent{(', key ' + key) if key else ''}")
        limit = timeout_ms / 1000 + 0.55 if leave_after_s is None else leave_after_s
        try:
            async with asyncio.timeout(limit):
                status, answer = await read_answer(reader)
        except TimeoutError:
            status, answer = (-2 if leave_after_s is None else -1), b""
        except (OSError, EOFError):
            status, answer = 0, b""
        finally:
            writer.close()
        what = {0: "connection ended with no answer", -1: "client left", -2: "no answer in time"}
        self.record.add("client", f"{request_id} {what.get(status, status)} {answer.decode()!r}")
        return status, answer


def run_command() -> str:
    """The command that starts one scheduler, from the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class Platform:
    """The platform: starts and ends the processes of one scheduler, and holds its clients' socket."""

    def __init__(self, record: Record, folder: Path, discovery: Discovery, given: Json) -> None:
        self.record = record
        self.folder = folder
        self.discovery = discovery
        self.settings = given
        self.sock = socket.create_server((LOOPBACK, 0), backlog=1024)
        self.listen = f"{LOOPBACK}:{self.sock.getsockname()[1]}"
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, holds_socket: bool = True) -> asyncio.subprocess.Process:
        """Start ``run`` once; return when the process has answered yes at its operators' address."""
        number = len(self.processes)
        with socket.create_server((LOOPBACK, 0)) as free:
            ops = f"{LOOPBACK}:{free.getsockname()[1]}"
        config = {
            "name": "n1",
            "listen": self.listen,
            "discovery": self.discovery.address,
            "ops": ops,
            "seed": f"{number + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.whole(),
            "settings": self.settings,
        }
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(config))
        state = self.folder / "tmp"
        state.mkdir(exist_ok=True)
        env = os.environ | {
            "GW_NAME": "n1",
            "GW_LISTEN": self.listen,
            "GW_DISCOVERY": self.discovery.address,
            "GW_OPS": ops,
            "GW_CONFIG": str(path),
            "TMPDIR": str(state),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        env.pop("GW_OPERATOR", None)
        fds: tuple[int, ...] = ()
        if holds_socket:
            env["GW_SOCKET_FD"] = str(self.sock.fileno())
            fds = (self.sock.fileno(),)
        else:
            self.sock.close()
        with (self.folder / f"log-{number}.txt").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=env, stdout=log, stderr=log, pass_fds=fds
            )
        self.processes.append(process)
        deadline = time.monotonic() + 30
        while not await self._says_yes(ops):
            if process.returncode is not None or time.monotonic() > deadline:
                raise CannotRunError(f"process {number} did not become ready: {self.log(number)[-1500:]}")
            await asyncio.sleep(0.03)
        self.record.add("platform", f"process {number} says yes")
        return process

    def log(self, number: int) -> str:
        """What a process wrote to standard output and error."""
        return (self.folder / f"log-{number}.txt").read_text(errors="replace")

    @staticmethod
    async def _says_yes(ops: str) -> bool:
        try:
            reader, writer = await open_connection(ops)
        except OSError:
            return False
        try:
            writer.write(b"GET /ops/readiness HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n")
            async with asyncio.timeout(1.0):
                return await read_status(reader) == 200
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            writer.close()

    async def close(self) -> None:
        """Kill the processes that were started, and only those."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self.sock.close()


@asynccontextmanager
async def site(
    record: Record, folder: Path, workers: list[Worker], classes: list[JobClass], **limits: Any
) -> AsyncIterator[Platform]:
    """Discovery and the workers of a small site; yields its platform, which has started no process yet."""
    discovery = Discovery(record, [])
    zones = sorted({worker.zone for worker in workers})
    platform = None
    try:
        for worker in workers:
            await worker.listen()
            discovery.entries[worker.instance_id] = worker.entry()
        await discovery.listen()
        platform = Platform(record, folder, discovery, settings(classes, zones, **limits))
        for worker in workers:
            worker.scheduler = platform.listen
        yield platform
    finally:
        if platform:
            await platform.close()
        await discovery.close()
        for worker in workers:
            await worker.close()


def main(case: Callable[[Record, Path, bool], Awaitable[bool]], folder: Path) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended on the way out
    record.add("case", "with the disruption" if trouble else "without the disruption")
    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            held = asyncio.run(_limited(case(record, Path(temporary), trouble)))
            code = 0 if held else 1
        except Exception as e:  # whatever it is, it shows neither a fault nor its absence
            record.add("case", f"could not run: {e!r}")
        if os.environ.get("KEEP_LOGS"):
            for log in sorted(Path(temporary).glob("log-*.txt")):
                record.add("log", f"{log.name}\n{log.read_text(errors='replace')}")
    record.add("case", {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}[code])
    sys.exit(code)


async def _limited(case: Awaitable[bool]) -> bool:
    async with asyncio.timeout(LIMIT_S):
        return await case
