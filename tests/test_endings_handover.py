"""Hand-over between two processes during which a process, request, client or worker endpoint ends.

The scheduler runs in the test process, on real sockets. The test acts as the workers, discovery, the clients
and the other process on the Unix socket between predecessor and successor. No test depends on elapsed time:
the other process delays its message, or exits, once the scheduler has provably reached the state in question.
"""

import array
import asyncio
import json
import os
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from robinhill import config as configuration
from robinhill.net import scheduler
from robinhill.net.clients import connection as client_connection
from robinhill.net.dispatcher.messages import EndpointListReceived, ReleaseRequest
from robinhill.net.scheduler import Scheduler
from robinhill.net.workers.attempt import Phase
from robinhill.protocol import EndpointList, JobEvent, JobState, Lifecycle

from .test_exchanges import SETTINGS, merge

Json = dict[str, Any]
STEP_TIMEOUT_S = 5.0
IDEMPOTENT, NON_IDEMPOTENT = "member-lookup", "renewal-charge"


async def wait_readable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()

    def set_ready() -> None:
        if not ready.done():
            ready.set_result(None)

    loop.add_reader(sock, set_ready)
    try:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            await ready
    finally:
        loop.remove_reader(sock)


class PeerProcess:
    """Acts as the scheduler's predecessor or successor on the Unix socket between them."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self._buffer = b""
        self.fds: list[int] = []
        self.last_question = 0

    async def receive(self) -> Json:
        """Return the next message; descriptors received with it are appended to ``fds``."""
        while b"\n" not in self._buffer:
            await wait_readable(self.sock)
            data, fds, _, _ = socket.recv_fds(self.sock, 1 << 16, 8)
            assert data, "the scheduler closed the link"
            self.fds += fds
            self._buffer += data
        line, _, self._buffer = self._buffer.partition(b"\n")
        message: Json = json.loads(line)
        return message

    async def receive_question(self, what: str) -> Json:
        message = await self.receive()
        assert message.get("what") == what, message
        return message

    def send(self, message: Json, fd: int | None = None) -> None:
        data = json.dumps(message).encode() + b"\n"
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))] if fd is not None else []
        assert self.sock.sendmsg([data], rights) == len(data)

    def send_question(self, what: str, body: Json | None = None, fd: int | None = None) -> int:
        """Send a question without waiting for its answer; return the question's number."""
        self.last_question += 1
        self.send({"ask": self.last_question, "what": what, "fd": fd is not None, "body": body or {}}, fd)
        return self.last_question

    async def ask(self, what: str, body: Json | None = None, fd: int | None = None) -> Json:
        number = self.send_question(what, body, fd)
        answer = await self.receive()
        assert answer["answer"] == number, answer
        answer_body: Json = answer["body"]
        return answer_body

    def answer(self, message: Json, body: Json | None = None) -> None:
        self.send({"answer": message["ask"], "body": body or {}})

    def exit(self) -> None:
        self.sock.close()
        for fd in self.fds:
            os.close(fd)
        self.fds.clear()


class Client:
    """A client connection that sends requests and reads their answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, request_id: str, job_class: str = NON_IDEMPOTENT) -> None:
        self.writer.write(
            f"POST /{job_class}/x HTTP/1.1\r\nHost: s\r\nX-Request-ID: {request_id}\r\n"
            f"X-Priority-Class: {job_class}\r\nContent-Length: 4\r\n\r\nwork".encode()
        )

    async def answer(self) -> tuple[int, str]:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            return int(head.split()[1]), (await self.reader.readexactly(length)).decode()

    async def read_rest(self) -> bytes:
        """Return all bytes that arrive until the scheduler closes the connection."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            return await self.reader.read()

    def close(self) -> None:
        self.writer.close()


class Attempt:
    """An attempt received by a worker, and the connection on which the worker answers it."""

    def __init__(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        self.id, self.writer = request_id, writer

    def accept(self) -> None:
        self.writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")


class Environment:
    """Workers, discovery, and the folder and listening socket that the schedulers under test share."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listen = "{}:{}".format(*self.listener.getsockname())
        self.settings: Json = json.loads(json.dumps(SETTINGS))
        self.servers: list[asyncio.Server] = []
        self.workers: dict[str, str] = {}
        self.attempts: asyncio.Queue[Attempt] = asyncio.Queue()
        self.deleted: asyncio.Queue[str] = asyncio.Queue()
        self.discovery = ""
        self.discovery_answers = asyncio.Event()  # cleared while discovery withholds its answers
        self.discovery_answers.set()
        self.clients: list[Client] = []
        self.open: set[asyncio.StreamWriter] = set()
        self.stop: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.schedulers: list[Scheduler] = []

    async def prepare(self, workers: int = 1) -> None:
        self.discovery = await self._serve(self._handle_watch)
        for number in range(workers):
            self.workers[f"w{number + 1}"] = await self._serve(self._handle_worker)

    async def _serve(self, handle: Any) -> str:
        async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.open.add(writer)
            try:
                await handle(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        server = await asyncio.start_server(guarded, "127.0.0.1", 0)
        self.servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def _handle_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await self.discovery_answers.wait()
        line = json.dumps(self.endpoint_list()).encode() + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        await reader.read()

    async def _handle_worker(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            if head.startswith("DELETE"):
                self.deleted.put_nowait(head.split()[1].rpartition("/")[2])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            await reader.readexactly(4)
            self.attempts.put_nowait(Attempt(head.split("X-Request-ID: ")[1].split("\r\n")[0], writer))

    def endpoint_list(self) -> Json:
        entries = [
            {"instanceId": name, "hostPort": host_port, "zone": "brisbane", "machineType": "std-8"}
            | {"lifecycle": "active"}
            for name, host_port in self.workers.items()
        ]
        return {"generation": 41, "reset": True, "instances": entries}

    def scheduler(self, folder: Path | None = None) -> Scheduler:
        config = {
            "name": "n1", "listen": self.listen, "discovery": self.discovery, "seed": "7",
            "known": self.endpoint_list(), "settings": self.settings,
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(config))
        env = {
            "GW_CONFIG": str(self.folder / "config.json"), "GW_SOCKET_FD": str(self.listener.fileno()),
            "TMPDIR": str(folder or self.folder),
        }  # fmt: skip
        process = Scheduler(configuration.load(env), env)
        self.schedulers.append(process)
        return process

    async def client(self) -> Client:
        host, _, port = self.listen.rpartition(":")
        self.clients.append(Client(*await asyncio.open_connection(host, int(port))))
        return self.clients[-1]

    async def next_attempt(self) -> Attempt:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            return await self.attempts.get()

    async def event(self, request_id: str, state: str, result: str = "", source: str = "w1") -> int:
        """Post a job event as worker ``source``; return the status of the response."""
        caller = await self.client()
        body = json.dumps({"id": request_id, "from": source, "state": state, "result": result})
        caller.writer.write(
            f"POST /v1/job-events HTTP/1.1\r\nHost: s\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        async with asyncio.timeout(STEP_TIMEOUT_S):
            status = int((await caller.reader.readuntil(b"\r\n\r\n")).split()[1])
        caller.close()
        return status

    async def successor(self) -> PeerProcess:
        """Act as a successor up to the point where it, not the scheduler, accepts connections."""
        process = PeerProcess(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        process.sock.connect(str(self.folder / "robinhill.sock"))
        await process.ask("hello")
        await process.ask("memory")
        await process.ask("serving")
        return process

    async def relay(self) -> "Relay":
        """Start a successor of the running scheduler; the test relays each message between the two."""
        folder = self.folder / "new"
        folder.mkdir()
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listening:
            listening.bind(str(folder / "robinhill.sock"))
            listening.listen(1)
            listening.setblocking(False)
            successor = self.scheduler(folder)
            start = asyncio.create_task(successor.start())
            await wait_readable(listening)
            new = PeerProcess(listening.accept()[0])
        old = PeerProcess(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        old.sock.connect(str(self.folder / "robinhill.sock"))
        return Relay(old, new, successor, start)

    async def run_job(self, scheduler: Scheduler, request_id: str, job_class: str = NON_IDEMPOTENT) -> Client:
        """Send a request whose job the worker accepts and starts; return its client."""
        client = await self.client()
        client.send(request_id, job_class)
        attempt = await self.next_attempt()
        assert attempt.id == request_id
        attempt.accept()
        attempts = [e.attempts for e in scheduler.dispatcher.table.endpoints.values()]
        await until(lambda: any(a[request_id].phase is Phase.ACCEPTED for a in attempts if request_id in a))
        assert await self.event(request_id, "started") == 204
        return client

    async def close(self) -> None:
        for client in self.clients:
            client.close()
        for process in self.schedulers:
            await process.close()
        for writer in self.open:
            writer.close()
        for server in self.servers:
            server.close()
        self.listener.close()


class Relay:
    """Relays the messages between predecessor and successor.

    ``old`` is the link to the predecessor and ``new`` the link to the successor, which is ``scheduler``.
    """

    def __init__(
        self, old: PeerProcess, new: PeerProcess, scheduler: Scheduler, start: "asyncio.Task[None]"
    ) -> None:
        self.old, self.new, self.scheduler, self.start = old, new, scheduler, start

    async def take_over(self, omitted_keys: tuple[str, ...] = ()) -> Scheduler:
        """Relay until the successor accepts connections in place of the predecessor; return the successor.

        ``omitted_keys`` are removed from the predecessor's answers.
        """
        for what in ("hello", "memory", "serving"):
            self.old.send(await self.new.receive_question(what))
            message = await self.old.receive()
            for key in omitted_keys:
                message["body"].pop(key, None)
            self.new.send(message)
        await self.start
        return self.scheduler

    async def adopt(self) -> tuple[Json, int]:
        """Receive the next request that the predecessor hands over, and its client's descriptor."""
        message = await self.old.receive_question("adopt")
        return message, self.old.fds.pop(0)

    def pass_on(self, message: Json, fd: int) -> None:
        """Send a request and its client's descriptor to the successor."""
        self.new.send(message, fd)
        os.close(fd)


async def until(condition: Any) -> None:
    """Run the event loop until ``condition`` is true, for scheduler states that emit no event."""
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


@asynccontextmanager
async def environment(
    folder: Path,
    workers: int = 1,
    settings: Json | None = None,
) -> AsyncIterator[Environment]:
    env = Environment(folder)
    merge(env.settings, settings or {})
    await env.prepare(workers)
    try:
        yield env
    finally:
        await env.close()


@pytest.fixture(autouse=True)
def short_accept_time_after_sigterm(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the time in which requests are accepted after SIGTERM, as these tests send none then."""
    monkeypatch.setattr(scheduler, "ACCEPT_AFTER_SIGTERM_S", 0.05)


@pytest.mark.parametrize("acknowledged", [False, True])
def test_successor_that_exits_during_a_hand_over_leaves_the_other_requests_with_the_predecessor(
    acknowledged: bool, tmp_path: Path
) -> None:
    """The successor exits with a request in transit, after it has acknowledged none or one before it.

    The requests that were sent to the successor fail; the predecessor completes the others.
    """

    async def scenario() -> None:
        async with environment(tmp_path, settings={"policy-limits": {"most-tries": 1}}) as env:
            old = env.scheduler()
            await old.start()
            first = await env.run_job(old, "j1")
            second = await env.run_job(old, "j2")
            third = await env.run_job(old, "j3")
            new = await env.successor()
            drain = asyncio.create_task(old.drain())
            adopt = await new.receive_question("adopt")
            assert adopt["body"]["request"]["id"] == "j1"
            if acknowledged:
                new.answer(adopt)
                assert (await new.receive_question("adopt"))["body"]["request"]["id"] == "j2"
            new.exit()
            if acknowledged:
                assert await first.read_rest() == b""  # the successor owned this connection
                assert (await second.answer())[0] == 502
            else:
                # The successor may have forwarded the request, so the predecessor never sends it again.
                assert (await first.answer())[0] == 502
                assert await env.event("j2", "done", "two") == 204
                assert await second.answer() == (200, "two")
            assert await env.event("j3", "done", "three") == 204
            assert await third.answer() == (200, "three")
            assert env.attempts.empty()
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await drain

    asyncio.run(scenario())


@pytest.mark.parametrize("last_question", ["hello", "memory", "serving"])
def test_successor_that_exits_before_any_hand_over_leaves_all_requests_with_the_predecessor(
    last_question: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            client = await env.run_job(old, "j1")
            budget = old.inbound._listener.budget
            new = PeerProcess(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
            new.sock.connect(str(env.folder / "robinhill.sock"))
            for what in ("hello", "memory", "serving"):
                await new.ask(what)
                if what == last_question:
                    break
            assert old.inbound._listener.budget < budget
            new.exit()
            await until(lambda: old.inbound._listener.budget == budget)
            assert old.inbound.ready and not old.inbound.superseded
            assert await env.event("j1", "done", "one") == 204  # the scheduler accepts connections again
            assert await client.answer() == (200, "one")
            second_successor = await env.successor()  # another successor can still connect
            second_successor.exit()

    asyncio.run(scenario())


@pytest.mark.parametrize("last_question", ["hello", "memory", "serving"])
def test_successor_works_after_its_predecessor_exits_before_the_hand_over(
    last_question: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            relay = await env.relay()
            for what in ("hello", "memory", "serving"):
                message = await relay.new.receive_question(what)
                if what == last_question:
                    break
                relay.old.send(message)
                relay.new.send(await relay.old.receive())
            relay.new.exit()
            await relay.start
            await until(lambda: relay.scheduler.handover and not relay.scheduler.handover.predecessor)
            assert relay.scheduler.inbound._listener.budget == relay.scheduler.config.client_sockets()
            env.schedulers.remove(old)
            await old.close()  # from here on only the successor accepts connections at the address
            client = await env.run_job(relay.scheduler, "j1")
            assert await env.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")

    asyncio.run(scenario())


def test_request_whose_descriptor_was_sent_is_handed_over_although_the_predecessor_exits(
    tmp_path: Path,
) -> None:
    """The predecessor can't receive the successor's acknowledgement any more."""

    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            client = await env.run_job(old, "j1")
            relay = await env.relay()
            new = await relay.take_over()
            drain = asyncio.create_task(old.drain())
            message, fd = await relay.adopt()
            relay.pass_on(message, fd)
            relay.new.exit()
            await until(lambda: "j1" in new.dispatcher.in_flight)
            # The predecessor runs on in this test and needs an acknowledgement to release the request.
            relay.old.answer(message)
            await until(lambda: not old.inbound.pending_count)
            assert await env.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")
            relay.old.exit()
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await drain

    asyncio.run(scenario())


def test_worker_event_on_a_request_in_transit_waits_for_the_request(tmp_path: Path) -> None:
    """The successor receives the final event before the request, and asks the predecessor about it."""

    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            client = await env.run_job(old, "j1")
            relay = await env.relay()
            new = await relay.take_over()
            drain = asyncio.create_task(old.drain())
            message, fd = await relay.adopt()
            call = asyncio.create_task(env.event("j1", "done", "one"))
            question = await relay.new.receive_question("event")
            relay.old.send(question)
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())  # the acknowledgement of the request
            relay.new.send(await relay.old.receive())  # the predecessor doesn't accept the event
            assert await call == 204
            assert await client.answer() == (200, "one")
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await drain
            assert not new.dispatcher.in_flight.by_number

    asyncio.run(scenario())


def test_predecessor_forwards_a_worker_event_on_a_request_in_transit(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            client = await env.run_job(old, "j1")
            caller = await env.client()
            # The answer shows that the predecessor has accepted this connection.
            caller.writer.write(b"GET /none HTTP/1.1\r\nHost: s\r\n\r\n")
            await caller.answer()
            relay = await env.relay()
            await relay.take_over()
            drain = asyncio.create_task(old.drain())
            message, fd = await relay.adopt()
            call = asyncio.create_task(
                old.transfer.deliver(JobEvent("j1", "w1", JobState.DONE, result="one"))
            )
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())
            relay.new.send(await relay.old.receive_question("event"))
            relay.old.send(await relay.new.receive())
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await call
                assert await client.answer() == (200, "one")
                await drain

    asyncio.run(scenario())


def test_request_that_completes_during_its_release_is_answered_by_the_predecessor_and_not_handed_over(
    tmp_path: Path,
) -> None:
    """The worker's event precedes the release in the endpoint's mailbox."""

    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            client = await env.run_job(old, "j1")
            new = await env.successor()
            old.dispatcher.tell(JobEvent("j1", "w1", JobState.DONE, result="one"))
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await old.drain()
            assert await client.answer() == (200, "one")
            new.send_question("readiness")
            with pytest.raises(AssertionError, match="closed the link"):
                await new.receive()

    asyncio.run(scenario())


@pytest.mark.parametrize("state", ["returned", "done"])
def test_request_whose_client_disconnects_in_transit_gets_no_further_attempt(
    state: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with environment(tmp_path, workers=2) as env:
            old = env.scheduler()
            await old.start()
            client = await env.run_job(old, "j1")
            source = next(n for n, e in old.dispatcher.table.endpoints.items() if "j1" in e.attempts)
            relay = await env.relay()
            new = await relay.take_over()
            drain = asyncio.create_task(old.drain())
            message, fd = await relay.adopt()
            client.writer.transport.abort()
            # Wait for the end of the connection to arrive before the successor reads from it.
            with socket.socket(fileno=os.dup(fd)) as connection:
                await wait_readable(connection)
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await drain
            await until(lambda: not new.inbound.pending_count)
            assert await env.event("j1", state, "one", source) == 204
            await until(lambda: not new.dispatcher.in_flight.by_number)
            assert env.attempts.empty()

    asyncio.run(scenario())


def test_request_that_arrives_just_before_the_predecessor_exits_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request uses a connection too young to be closed; everything else has been handed over."""

    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            client = await env.client()
            await until(lambda: old.inbound._listener.open)
            relay = await env.relay()
            await relay.take_over()
            handed_over = asyncio.Event()
            hand_over = old.inbound.hand_over

            async def hand_over_and_signal(*args: Any) -> None:
                await hand_over(*args)
                handed_over.set()

            monkeypatch.setattr(old.inbound, "hand_over", hand_over_and_signal)
            stop = asyncio.create_task(drain_and_close(old))
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await handed_over.wait()
            client.send("j1")
            (await env.next_attempt()).accept()
            message, fd = await relay.adopt()
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())
            assert await env.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await stop
            env.schedulers.remove(old)

    async def drain_and_close(scheduler: Scheduler) -> None:
        await scheduler.drain()
        await scheduler.close()

    monkeypatch.setattr(client_connection, "MIN_SILENCE_S", 60.0)
    asyncio.run(scenario())


def test_successor_that_starts_after_sigterm_receives_the_pending_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            client = await env.run_job(old, "j1")
            drain = asyncio.create_task(old.drain())
            await until(lambda: old.inbound.rejects_new_requests)
            relay = await env.relay()
            await relay.take_over()
            message, fd = await relay.adopt()
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await drain
            assert await env.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")

    asyncio.run(scenario())


def test_successor_that_shuts_down_rejects_further_requests(tmp_path: Path) -> None:
    """Both processes shut down; the predecessor answers each of its pending requests once."""

    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            client = await env.run_job(old, "j1")
            relay = await env.relay()
            new = await relay.take_over()
            new.inbound.shutting_down = True
            limits = [worker.concurrency_limit for worker in old.dispatcher.balancer.workers.values()]
            drain = asyncio.create_task(old.drain())
            message, fd = await relay.adopt()
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())
            assert "j1" not in new.dispatcher.in_flight and not new.inbound.pending
            await until(lambda: "j1" in old.dispatcher.in_flight)
            assert [worker.concurrency_limit for worker in old.dispatcher.balancer.workers.values()] == limits
            relay.old.exit()
            env.schedulers.remove(new)
            await new.close()  # from here on only the predecessor accepts connections at the address
            relay.new.exit()
            assert await env.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")
            async with asyncio.timeout(STEP_TIMEOUT_S):
                await drain

    asyncio.run(scenario())


def test_endpoint_that_stops_with_a_release_in_its_mailbox_does_not_block_the_request(tmp_path: Path) -> None:
    """The worker endpoint's actor stops before it handles the message to release the request's attempt.

    The dispatcher aborts the release, so its reply is None, and sends the request to another worker.
    """

    async def scenario() -> None:
        async with environment(tmp_path, workers=2) as env:
            old = env.scheduler()
            await old.start()
            await env.run_job(old, "j1")
            endpoint = next(e for e in old.dispatcher.table.endpoints.values() if "j1" in e.attempts)
            removed = replace(endpoint.destination, lifecycle=Lifecycle.REMOVED)
            old.dispatcher.tell(EndpointListReceived(EndpointList(42, False, (removed,))))
            await until(lambda: endpoint.destination.lifecycle is Lifecycle.REMOVED)
            (pending,) = old.inbound.pending.values()
            reply: asyncio.Future[Json | None] = asyncio.get_running_loop().create_future()
            endpoint.tell(JobEvent("j1", endpoint.destination.instance_id, JobState.RETURNED))
            old.dispatcher.tell(ReleaseRequest(pending.request, reply))
            assert (await env.next_attempt()).id == "j1"
            await until(lambda: len(old.dispatcher.table.endpoints) == 1)
            async with asyncio.timeout(STEP_TIMEOUT_S):
                assert await reply is None
            assert not old.dispatcher.handover.in_transit and "j1" in old.dispatcher.in_flight

    asyncio.run(scenario())


# A successor inherits the list lease and the clock of its predecessor


LEASE_KEYS = ("list_confirmed_us", "list_until_us")


def test_successor_inherits_the_list_lease_of_its_predecessor(tmp_path: Path) -> None:
    """Discovery doesn't answer the successor, which sends requests all the same as the lease is valid."""

    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            env.discovery_answers.clear()
            new = await (await env.relay()).take_over()
            assert new.list_lease.is_valid(new.clock.now_us()) and new.dispatcher.list_lease_held.is_set()
            assert new.list_lease.until_us == old.list_lease.until_us
            assert abs(new.clock.now_us() - old.clock.now_us()) < 10_000
            client = await env.client()
            client.send("j1")
            assert (await env.next_attempt()).id == "j1"

    asyncio.run(scenario())


def test_successor_of_a_version_without_list_leases_waits_for_discovery(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(scheduler, "MAX_LIST_WAIT_S", 0.05)

    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            env.discovery_answers.clear()
            new = await (await env.relay()).take_over(omitted_keys=LEASE_KEYS)
            assert not new.list_lease.is_valid(new.clock.now_us())
            client = await env.client()
            client.send("j1")
            await until(lambda: new.dispatcher.in_flight.by_number)
            assert env.attempts.empty()
            env.discovery_answers.set()
            assert (await env.next_attempt()).id == "j1"

    asyncio.run(scenario())


def test_successor_adopts_its_predecessors_clock_although_the_wall_clock_was_stepped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A wall clock step of an hour between the two starts shifted each deadline that was handed over.

    Deadlines had expired at the hand-over, or were an hour away.
    """

    async def scenario() -> None:
        async with environment(tmp_path) as env:
            old = env.scheduler()
            await old.start()
            client = await env.run_job(old, "j1")
            stepped = time.time_ns() + 3_600_000_000_000
            monkeypatch.setattr(time, "time_ns", lambda: stepped)
            relay = await env.relay()
            monkeypatch.undo()
            new = await relay.take_over()
            assert abs(new.clock.now_us() - old.clock.now_us()) < 1_000_000
            drain = asyncio.create_task(old.drain())
            relay.pass_on(*await relay.adopt())
            await until(lambda: new.dispatcher.in_flight.by_number)
            (request,) = new.dispatcher.in_flight.by_number.values()
            remaining_us = request.deadline_us - new.clock.now_us()
            assert 0 < remaining_us <= 25_000_000
            drain.cancel()
            client.close()

    asyncio.run(scenario())
