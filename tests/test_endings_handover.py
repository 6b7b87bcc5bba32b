"""A process hands over to another, or takes over from one, and something ends in that very instant.

The scheduler runs here, on real sockets; the test plays the other process on the Unix socket between the two,
the workers, discovery and the clients. Nothing waits for time to pass: the other process holds its word back,
or ends, once the scheduler is provably there.
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
PATIENCE_S = 5.0
SAFE, UNSAFE = "member-lookup", "renewal-charge"


async def readable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()

    def tell() -> None:
        if not ready.done():
            ready.set_result(None)

    loop.add_reader(sock, tell)
    try:
        async with asyncio.timeout(PATIENCE_S):
            await ready
    finally:
        loop.remove_reader(sock)


class Process:
    """The other process of this scheduler: its end of the link, a message at a time."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self._buffer = b""
        self.fds: list[int] = []
        self.asked = 0

    async def receive(self) -> Json:
        """The next message; descriptors that come gather in ``fds``."""
        while b"\n" not in self._buffer:
            await readable(self.sock)
            data, fds, _, _ = socket.recv_fds(self.sock, 1 << 16, 8)
            assert data, "the scheduler has closed the link"
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
        """Ask, without waiting for the answer."""
        self.asked += 1
        self.send({"ask": self.asked, "what": what, "fd": fd is not None, "body": body or {}}, fd)
        return self.asked

    async def ask(self, what: str, body: Json | None = None, fd: int | None = None) -> Json:
        number = self.send_question(what, body, fd)
        answer = await self.receive()
        assert answer["answer"] == number, answer
        told: Json = answer["body"]
        return told

    def answer(self, message: Json, body: Json | None = None) -> None:
        self.send({"answer": message["ask"], "body": body or {}})

    def exit(self) -> None:
        self.sock.close()
        for fd in self.fds:
            os.close(fd)
        self.fds.clear()


class Client:
    """One client connection, which sends jobs and reads answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, request_id: str, job_class: str = UNSAFE) -> None:
        self.writer.write(
            f"POST /{job_class}/x HTTP/1.1\r\nHost: s\r\nX-Request-ID: {request_id}\r\n"
            f"X-Priority-Class: {job_class}\r\nContent-Length: 4\r\n\r\nwork".encode()
        )

    async def answer(self) -> tuple[int, str]:
        async with asyncio.timeout(PATIENCE_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            return int(head.split()[1]), (await self.reader.readexactly(length)).decode()

    async def read_rest(self) -> bytes:
        """All that still comes until the scheduler ends the connection."""
        async with asyncio.timeout(PATIENCE_S):
            return await self.reader.read()

    def close(self) -> None:
        self.writer.close()


class Attempt:
    """A job as a worker gets it."""

    def __init__(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        self.id, self.writer = request_id, writer

    def accept(self) -> None:
        self.writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")


class World:
    """Workers, discovery and a folder; one scheduler at a time is started in it."""

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
        self.listing = asyncio.Event()  # discovery answers
        self.listing.set()
        self.clients: list[Client] = []
        self.open: set[asyncio.StreamWriter] = set()
        self.stop: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.schedulers: list[Scheduler] = []

    async def prepare(self, workers: int = 1) -> None:
        self.discovery = await self._serve(self._list)
        for number in range(workers):
            self.workers[f"w{number + 1}"] = await self._serve(self._work)

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

    async def _list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await self.listing.wait()
        line = json.dumps(self.known()).encode() + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        await reader.read()

    async def _work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            if head.startswith("DELETE"):
                self.deleted.put_nowait(head.split()[1].rpartition("/")[2])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            await reader.readexactly(4)
            self.attempts.put_nowait(Attempt(head.split("X-Request-ID: ")[1].split("\r\n")[0], writer))

    def known(self) -> Json:
        entries = [
            {"instanceId": name, "hostPort": at, "zone": "brisbane", "machineType": "std-8"}
            | {"lifecycle": "active"}
            for name, at in self.workers.items()
        ]
        return {"generation": 41, "reset": True, "instances": entries}

    def scheduler(self, folder: Path | None = None) -> Scheduler:
        given = {
            "name": "n1", "listen": self.listen, "discovery": self.discovery, "seed": "7",
            "known": self.known(), "settings": self.settings,
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(given))
        env = {
            "GW_CONFIG": str(self.folder / "config.json"), "GW_SOCKET_FD": str(self.listener.fileno()),
            "TMPDIR": str(folder or self.folder),
        }  # fmt: skip
        made = Scheduler(configuration.load(env), env)
        self.schedulers.append(made)
        return made

    async def client(self) -> Client:
        host, _, port = self.listen.rpartition(":")
        self.clients.append(Client(*await asyncio.open_connection(host, int(port))))
        return self.clients[-1]

    async def next_attempt(self) -> Attempt:
        async with asyncio.timeout(PATIENCE_S):
            return await self.attempts.get()

    async def event(self, request_id: str, state: str, result: str = "", source: str = "w1") -> int:
        """A worker's call about a job, and its status."""
        caller = await self.client()
        body = json.dumps({"id": request_id, "from": source, "state": state, "result": result})
        caller.writer.write(
            f"POST /v1/job-events HTTP/1.1\r\nHost: s\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        async with asyncio.timeout(PATIENCE_S):
            status = int((await caller.reader.readuntil(b"\r\n\r\n")).split()[1])
        caller.close()
        return status

    async def successor(self) -> Process:
        """Take the scheduler's place up to the point where we accept and it does not."""
        process = Process(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        process.sock.connect(str(self.folder / "robinhill.sock"))
        await process.ask("hello")
        await process.ask("memory")
        await process.ask("serving")
        return process

    async def relay(self) -> "Relay":
        """Another scheduler that takes the place of the running one; every word between the two passes us."""
        folder = self.folder / "new"
        folder.mkdir()
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as name:
            name.bind(str(folder / "robinhill.sock"))
            name.listen(1)
            name.setblocking(False)
            made = self.scheduler(folder)
            start = asyncio.create_task(made.start())
            await readable(name)
            new = Process(name.accept()[0])
        old = Process(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        old.sock.connect(str(self.folder / "robinhill.sock"))
        return Relay(old, new, made, start)

    async def running(self, scheduler: Scheduler, request_id: str, job_class: str = UNSAFE) -> Client:
        """A client whose job a worker has accepted and begun."""
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
        for made in self.schedulers:
            await made.close()
        for writer in self.open:
            writer.close()
        for server in self.servers:
            server.close()
        self.listener.close()


class Relay:
    """Stands between two schedulers: ``old`` and ``new`` are its ends of the links to them."""

    def __init__(self, old: Process, new: Process, scheduler: Scheduler, start: "asyncio.Task[None]") -> None:
        self.old, self.new, self.scheduler, self.start = old, new, scheduler, start

    async def take_over(self, omitted_keys: tuple[str, ...] = ()) -> Scheduler:
        """The new one takes over and accepts; the old one does not any more, and has not told these."""
        for what in ("hello", "memory", "serving"):
            self.old.send(await self.new.receive_question(what))
            message = await self.old.receive()
            for key in omitted_keys:
                message["body"].pop(key, None)
            self.new.send(message)
        await self.start
        return self.scheduler

    async def adopt(self) -> tuple[Json, int]:
        """What the old one hands over, with its client's descriptor."""
        message = await self.old.receive_question("adopt")
        return message, self.old.fds.pop(0)

    def pass_on(self, message: Json, fd: int) -> None:
        """Let the new one have it."""
        self.new.send(message, fd)
        os.close(fd)


async def until(fulfilled: Any) -> None:
    """Let the loop turn until a condition holds: for states of the scheduler that nothing tells of."""
    async with asyncio.timeout(PATIENCE_S):
        while not fulfilled():
            await asyncio.sleep(0)


@asynccontextmanager
async def world(folder: Path, workers: int = 1, settings: Json | None = None) -> AsyncIterator[World]:
    made = World(folder)
    merge(made.settings, settings or {})
    await made.prepare(workers)
    try:
        yield made
    finally:
        await made.close()


@pytest.fixture(autouse=True)
def no_long_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """For requests that still come after SIGTERM: none do here."""
    monkeypatch.setattr(scheduler, "ACCEPT_AFTER_SIGTERM_S", 0.05)


@pytest.mark.parametrize("told", [False, True])
def test_a_successor_that_exits_at_a_request_leaves_the_others_here(told: bool, tmp_path: Path) -> None:
    """It dies with one request sent to it, or with that one's yes; what it has not had yet goes on here."""

    async def play() -> None:
        async with world(tmp_path, settings={"policy-limits": {"most-tries": 1}}) as here:
            old = here.scheduler()
            await old.start()
            first = await here.running(old, "j1")
            second = await here.running(old, "j2")
            third = await here.running(old, "j3")
            new = await here.successor()
            drain = asyncio.create_task(old.drain())
            adopt = await new.receive_question("adopt")
            assert adopt["body"]["request"]["id"] == "j1"
            if told:
                new.answer(adopt)
                assert (await new.receive_question("adopt"))["body"]["request"]["id"] == "j2"
            new.exit()
            if told:
                assert await first.read_rest() == b""  # its death ends what was its own
                assert (await second.answer())[0] == 502
            else:
                assert (await first.answer())[0] == 502  # it may have sent it on: never sent again
                assert await here.event("j2", "done", "two") == 204
                assert await second.answer() == (200, "two")
            assert await here.event("j3", "done", "three") == 204
            assert await third.answer() == (200, "three")
            assert here.attempts.empty()
            async with asyncio.timeout(PATIENCE_S):
                await drain

    asyncio.run(play())


@pytest.mark.parametrize("told", ["hello", "memory", "serving"])
def test_a_successor_that_exits_before_any_hand_over_leaves_all_requests_here(
    told: str, tmp_path: Path
) -> None:
    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            client = await here.running(old, "j1")
            budget = old.inbound._listener.budget
            new = Process(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
            new.sock.connect(str(here.folder / "robinhill.sock"))
            for what in ("hello", "memory", "serving"):
                await new.ask(what)
                if what == told:
                    break
            assert old.inbound._listener.budget < budget
            new.exit()
            await until(lambda: old.inbound._listener.budget == budget)
            assert old.inbound.ready and not old.inbound.superseded
            assert await here.event("j1", "done", "one") == 204  # which it has accepted again
            assert await client.answer() == (200, "one")
            again = await here.successor()  # and the next one finds it
            again.exit()

    asyncio.run(play())


@pytest.mark.parametrize("told", ["hello", "memory", "serving"])
def test_a_predecessor_that_exits_before_it_hands_over_leaves_a_working_successor(
    told: str, tmp_path: Path
) -> None:
    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            relay = await here.relay()
            for what in ("hello", "memory", "serving"):
                message = await relay.new.receive_question(what)
                if what == told:
                    break
                relay.old.send(message)
                relay.new.send(await relay.old.receive())
            relay.new.exit()
            await relay.start
            await until(lambda: relay.scheduler.handover and not relay.scheduler.handover.predecessor)
            assert relay.scheduler.inbound._listener.budget == relay.scheduler.config.client_sockets()
            here.schedulers.remove(old)
            await old.close()  # nothing else is at the address
            client = await here.running(relay.scheduler, "j1")
            assert await here.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")

    asyncio.run(play())


def test_a_predecessor_that_exits_after_a_descriptor_has_handed_the_request_over(tmp_path: Path) -> None:
    """Not even its yes could be heard any more."""

    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            client = await here.running(old, "j1")
            relay = await here.relay()
            new = await relay.take_over()
            drain = asyncio.create_task(old.drain())
            message, fd = await relay.adopt()
            relay.pass_on(message, fd)
            relay.new.exit()
            await until(lambda: "j1" in new.dispatcher.in_flight)
            relay.old.answer(message)  # in the place of the dead one, ours goes
            await until(lambda: not old.inbound.pending_count)
            assert await here.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")
            relay.old.exit()
            async with asyncio.timeout(PATIENCE_S):
                await drain

    asyncio.run(play())


def test_a_workers_event_on_a_request_in_transit_waits_until_it_has_arrived(tmp_path: Path) -> None:
    """The new process hears of its end before it has the request, and asks the old one."""

    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            client = await here.running(old, "j1")
            relay = await here.relay()
            new = await relay.take_over()
            drain = asyncio.create_task(old.drain())
            message, fd = await relay.adopt()
            call = asyncio.create_task(here.event("j1", "done", "one"))
            asked = await relay.new.receive_question("event")
            relay.old.send(asked)
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())  # the yes
            relay.new.send(await relay.old.receive())  # not taken there
            assert await call == 204
            assert await client.answer() == (200, "one")
            async with asyncio.timeout(PATIENCE_S):
                await drain
            assert not new.dispatcher.in_flight.by_number

    asyncio.run(play())


def test_the_old_process_forwards_a_workers_event_on_a_request_in_transit(tmp_path: Path) -> None:
    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            client = await here.running(old, "j1")
            caller = await here.client()
            caller.writer.write(b"GET /none HTTP/1.1\r\nHost: s\r\n\r\n")  # the old one has it
            await caller.answer()
            relay = await here.relay()
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
            async with asyncio.timeout(PATIENCE_S):
                await call
                assert await client.answer() == (200, "one")
                await drain

    asyncio.run(play())


def test_a_request_that_ends_during_its_hand_over_is_answered_here_and_not_handed_over(
    tmp_path: Path,
) -> None:
    """The worker's word is before the let-go in the endpoint's mailbox."""

    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            client = await here.running(old, "j1")
            new = await here.successor()
            old.dispatcher.tell(JobEvent("j1", "w1", JobState.DONE, result="one"))
            async with asyncio.timeout(PATIENCE_S):
                await old.drain()
            assert await client.answer() == (200, "one")
            new.send_question("readiness")
            with pytest.raises(AssertionError, match="closed the link"):
                await new.receive()

    asyncio.run(play())


@pytest.mark.parametrize("state", ["returned", "done"])
def test_a_client_that_disconnects_while_its_request_is_in_transit_gets_no_further_attempt(
    state: str, tmp_path: Path
) -> None:
    async def play() -> None:
        async with world(tmp_path, workers=2) as here:
            old = here.scheduler()
            await old.start()
            client = await here.running(old, "j1")
            source = next(n for n, e in old.dispatcher.table.endpoints.items() if "j1" in e.attempts)
            relay = await here.relay()
            new = await relay.take_over()
            drain = asyncio.create_task(old.drain())
            message, fd = await relay.adopt()
            client.writer.transport.abort()
            with socket.socket(fileno=os.dup(fd)) as ours:  # its end is here before the new one reads
                await readable(ours)
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())
            async with asyncio.timeout(PATIENCE_S):
                await drain
            await until(lambda: not new.inbound.pending_count)
            assert await here.event("j1", state, "one", source) == 204
            await until(lambda: not new.dispatcher.in_flight.by_number)
            assert here.attempts.empty()

    asyncio.run(play())


def test_a_request_that_arrives_as_the_old_process_leaves_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection was young, so it stayed open; all else was settled."""

    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            client = await here.client()
            await until(lambda: old.inbound._listener.open)
            relay = await here.relay()
            await relay.take_over()
            looked = asyncio.Event()
            hand_over = old.inbound.hand_over

            async def look(*parts: Any) -> None:
                await hand_over(*parts)
                looked.set()

            monkeypatch.setattr(old.inbound, "hand_over", look)
            stop = asyncio.create_task(end(old))
            async with asyncio.timeout(PATIENCE_S):
                await looked.wait()
            client.send("j1")
            (await here.next_attempt()).accept()
            message, fd = await relay.adopt()
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())
            assert await here.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")
            async with asyncio.timeout(PATIENCE_S):
                await stop
            here.schedulers.remove(old)

    async def end(scheduler: Scheduler) -> None:
        await scheduler.drain()
        await scheduler.close()

    monkeypatch.setattr(client_connection, "MIN_SILENCE_S", 60.0)
    asyncio.run(play())


def test_a_successor_that_starts_after_sigterm_takes_pending_requests(tmp_path: Path) -> None:
    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            client = await here.running(old, "j1")
            drain = asyncio.create_task(old.drain())
            await until(lambda: old.inbound.rejects_new_requests)
            relay = await here.relay()
            await relay.take_over()
            message, fd = await relay.adopt()
            relay.pass_on(message, fd)
            relay.old.send(await relay.new.receive())
            async with asyncio.timeout(PATIENCE_S):
                await drain
            assert await here.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")

    asyncio.run(play())


def test_a_successor_that_shuts_down_takes_no_more_requests(tmp_path: Path) -> None:
    """Both are told to end: what the old one holds then is answered there, once."""

    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            client = await here.running(old, "j1")
            relay = await here.relay()
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
            here.schedulers.remove(new)
            await new.close()  # nothing else is at the address
            relay.new.exit()
            assert await here.event("j1", "done", "one") == 204
            assert await client.answer() == (200, "one")
            async with asyncio.timeout(PATIENCE_S):
                await drain

    asyncio.run(play())


def test_an_endpoint_that_retires_as_its_request_is_released_blocks_nothing(tmp_path: Path) -> None:
    """It stops with the question in its mailbox; the request waits for another worker."""

    async def play() -> None:
        async with world(tmp_path, workers=2) as here:
            old = here.scheduler()
            await old.start()
            await here.running(old, "j1")
            endpoint = next(e for e in old.dispatcher.table.endpoints.values() if "j1" in e.attempts)
            left = replace(endpoint.destination, lifecycle=Lifecycle.REMOVED)
            old.dispatcher.tell(EndpointListReceived(EndpointList(42, False, (left,))))
            await until(lambda: endpoint.destination.lifecycle is Lifecycle.REMOVED)
            (owed,) = old.inbound.pending.values()
            reply: asyncio.Future[Json | None] = asyncio.get_running_loop().create_future()
            endpoint.tell(JobEvent("j1", endpoint.destination.instance_id, JobState.RETURNED))
            old.dispatcher.tell(ReleaseRequest(owed.request, reply))
            assert (await here.next_attempt()).id == "j1"
            await until(lambda: len(old.dispatcher.table.endpoints) == 1)
            async with asyncio.timeout(PATIENCE_S):
                assert await reply is None
            assert not old.dispatcher.handover.in_transit and "j1" in old.dispatcher.in_flight

    asyncio.run(play())


# What a successor begins with is as old as it was at its predecessor


LEASE = ("list_confirmed_us", "list_until_us")


def test_a_successor_inherits_its_predecessors_lease_on_the_list(tmp_path: Path) -> None:
    """Discovery does not answer it; the list's age goes along, so it need not wait."""

    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            here.listing.clear()
            new = await (await here.relay()).take_over()
            assert new.list_lease.is_valid(new.clock.now_us()) and new.dispatcher.list_lease_held.is_set()
            assert new.list_lease.until_us == old.list_lease.until_us
            assert abs(new.clock.now_us() - old.clock.now_us()) < 10_000
            client = await here.client()
            client.send("j1")
            assert (await here.next_attempt()).id == "j1"

    asyncio.run(play())


def test_a_successor_of_a_version_without_a_list_age_waits_for_discovery(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(scheduler, "MAX_LIST_WAIT_S", 0.05)

    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            here.listing.clear()
            new = await (await here.relay()).take_over(omitted_keys=LEASE)
            assert not new.list_lease.is_valid(new.clock.now_us())
            client = await here.client()
            client.send("j1")
            await until(lambda: new.dispatcher.in_flight.by_number)
            assert here.attempts.empty()
            here.listing.set()
            assert (await here.next_attempt()).id == "j1"

    asyncio.run(play())


def test_a_successor_goes_by_its_predecessors_clock_though_the_wall_clock_was_stepped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Stepped by an hour between the two starts: each deadline handed over was past, or an hour away."""

    async def play() -> None:
        async with world(tmp_path) as here:
            old = here.scheduler()
            await old.start()
            client = await here.running(old, "j1")
            stepped = time.time_ns() + 3_600_000_000_000
            monkeypatch.setattr(time, "time_ns", lambda: stepped)
            relay = await here.relay()
            monkeypatch.undo()
            new = await relay.take_over()
            assert abs(new.clock.now_us() - old.clock.now_us()) < 1_000_000
            leaving = asyncio.create_task(old.drain())
            relay.pass_on(*await relay.adopt())
            await until(lambda: new.dispatcher.in_flight.by_number)
            (held,) = new.dispatcher.in_flight.by_number.values()
            left_us = held.deadline_us - new.clock.now_us()
            assert 0 < left_us <= 25_000_000
            leaving.cancel()
            client.close()

    asyncio.run(play())
