"""Client connections that end, with something else arriving in that very instant; each crossing is forced."""

import asyncio
import os
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from aiohttp import web

from robinhill.config import Config
from robinhill.config_types import Address
from robinhill.net import scheduler
from robinhill.net.actor import Supervisor
from robinhill.net.clients import connection as client_connection
from robinhill.net.clients.connection import Connection, connection_of
from robinhill.net.clients.inbound import Inbound
from robinhill.net.clients.listener import Listener
from robinhill.net.clock import Clock
from robinhill.net.dispatcher.messages import ClientDisconnected, RequestAccepted
from robinhill.net.metrics import Metrics
from robinhill.net.scheduler import Scheduler
from robinhill.protocol import Answer, EndpointList, JobEvent, JobRequest

from .conftest import settings
from .test_exchanges import Connection as Peer
from .test_exchanges import Player

PATIENCE_S = 5.0
JOB = b"POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n\r\nwork"


class InboundServer:
    """A listener whose handler claims each request and answers when it is let."""

    def __init__(self, budget: int = 16) -> None:
        self.supervisor = Supervisor()
        self.listener = Listener(self.handle, budget, self.supervisor, 65536)
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.socket.setblocking(False)
        self.address = self.socket.getsockname()
        self.claimed = 0
        self.gone = 0
        self.claims = asyncio.Condition()
        self.let = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        connection_of(request).begin_answer(serves=True)
        async with self.claims:
            self.claimed += 1
            self.claims.notify_all()
        try:
            await self.let.wait()
        except asyncio.CancelledError:
            self.gone += 1
            raise
        return web.Response(body=b"done")

    async def until(self, holds: Callable[[], bool]) -> None:
        """Let the loop turn until it holds; whatever makes it hold comes from the sockets."""
        async with asyncio.timeout(PATIENCE_S):
            while not holds():
                await asyncio.sleep(0)

    def client(self) -> socket.socket:
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        return sock


@asynccontextmanager
async def inbound_server(budget: int = 16) -> AsyncIterator[InboundServer]:
    made = InboundServer(budget)
    made.listener.listen(made.socket)
    try:
        yield made
    finally:
        made.listener.close()
        await made.listener.shutdown(0.1)
        await made.supervisor.close()


def run(play: Callable[[], Awaitable[None]]) -> None:
    async def in_time() -> None:
        async with asyncio.timeout(PATIENCE_S):
            await play()

    asyncio.run(in_time())


async def answer(sock: socket.socket) -> tuple[int, bytes]:
    """The status of the next answer, and what comes behind its head until the end of the connection."""
    loop, data = asyncio.get_running_loop(), b""
    while piece := await loop.sock_recv(sock, 65536):
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    return (int(head.split()[1]) if head else 0), rest


UPGRADE = (
    b"POST /x HTTP/1.1\r\nHost: s\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize(
    "first, behind",
    [
        (JOB, JOB * 64),
        (JOB, b"\x00\xff no HTTP \r\n" * 800_000),
        (JOB, JOB[:-1] + b"x" * 2_000_000),
        (UPGRADE, b"x" * 2_000_000),
    ],
    ids=["requests", "no HTTP", "half a request and much more", "another protocol"],
)
def test_a_client_that_sends_much_behind_its_request_and_goes_has_gone(first: bytes, behind: bytes) -> None:
    """The server stopped reading when enough had come: the end of the connection lay unread behind it."""

    async def play() -> None:
        async with inbound_server() as here:
            sock = here.client()
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, first)
            await here.until(lambda: here.claimed == 1)
            await loop.sock_sendall(sock, behind)
            sock.close()
            await here.until(lambda: here.gone == 1)
            assert here.claimed == 1
            await here.until(lambda: not here.listener.open)

    run(play)


def test_a_client_that_sends_too_much_behind_its_request_gets_both_answers() -> None:
    """Its request is answered, and what it did wrong gets 400."""

    async def play() -> None:
        async with inbound_server() as here:
            sock = here.client()
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, JOB * 64)
            await here.until(lambda: here.claimed == 1)
            here.let.set()
            status, rest = await answer(sock)
            assert status == 200
            assert rest.startswith(b"doneHTTP/1.1 400 Bad Request\r\n")
            sock.close()
            await here.until(lambda: not here.listener.open)
            assert here.claimed == 1

    run(play)


@pytest.mark.parametrize("way", ["close", "half-close", "reset"])
def test_a_client_that_goes_as_its_request_arrives_has_gone(
    way: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Request and end are in the kernel together; it has done nothing wrong."""

    async def play() -> None:
        async with inbound_server() as here:
            sock = here.client()
            connection = await only(here.listener)
            arrive(connection, sock, JOB)
            if way == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            if way == "half-close":
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
            await here.until(lambda: not here.listener.open)
            await asyncio.sleep(0)
            assert here.gone == here.claimed <= 1
            sock.close()

    run(play)
    assert not caplog.records


def inbound(report: Callable[[RequestAccepted | ClientDisconnected], None], sockets: int = 64) -> Inbound:
    """The client side by itself; who reads what it reports answers for the dispatcher."""
    nowhere = Address("127.0.0.1", 1)
    known = EndpointList(0, True, ())
    config = Config("n1", nowhere, nowhere, None, None, 7, sockets, None, known, settings(), ("x",), (), ())

    async def deliver(event: JobEvent) -> None:
        raise AssertionError(event)

    return Inbound(config, Supervisor(), Clock(), Metrics(("x",)), report, deliver)


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_goes_while_its_connection_changes_hands_has_gone(reset: bool) -> None:
    """The end of its connection waits in the kernel when the process that takes over first looks."""

    async def play() -> None:
        told: list[RequestAccepted | ClientDisconnected] = []
        here = inbound(told.append)
        listening = socket.create_server(("127.0.0.1", 0))
        client = socket.create_connection(listening.getsockname())
        ours, _ = listening.accept()
        if reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.close()
        request = JobRequest("a", 0, 5_000_000, False, "/x", b"work", ())
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        await here.adopt(request, reply, ours.detach())
        while told != [ClientDisconnected(request)]:
            assert not told
            await asyncio.sleep(0)
        assert not here.pending_count
        listening.close()
        await here.close()

    run(play)


async def only(listener: Listener) -> Connection:
    """The one connection there is."""
    while not listener.open:
        await asyncio.sleep(0)
    (connection,) = listener.open
    return connection


def arrive(connection: Connection, sock: socket.socket, data: bytes) -> None:
    """Bring bytes into the kernel's buffer of our side while the loop stands still."""
    sock.sendall(data)
    while not connection._has_unread_bytes():
        pass


def test_a_request_whose_last_byte_comes_as_its_time_is_up_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both in one turn of the loop: the byte is read first, and the handler has yet to begin."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.05)

    async def play() -> None:
        async with inbound_server() as here:
            here.let.set()
            sock = here.client()
            sock.sendall(JOB[:-1])
            connection = await only(here.listener)
            await here.until(lambda: connection._has_new_bytes)
            arrive(connection, sock, JOB[-1:])
            due = connection._phase_start + client_connection.REQUEST_TIMEOUT_S
            time.sleep(max(0.0, due - asyncio.get_running_loop().time()) + 0.01)  # the loop stands still
            await here.until(lambda: connection.has_served)
            sock.shutdown(socket.SHUT_WR)
            assert await answer(sock) == (200, b"done")

    run(play)


@pytest.mark.parametrize("first", [b"", JOB[:-1]], ids=["whole", "last byte"])
def test_a_request_that_waits_to_be_read_when_its_time_is_up_is_answered(first: bytes) -> None:
    async def play() -> None:
        async with inbound_server() as here:
            here.let.set()
            sock = here.client()
            connection = await only(here.listener)
            if first:
                sock.sendall(first)
                await here.until(lambda: connection._has_new_bytes)
            arrive(connection, sock, JOB[len(first) :])
            connection._on_request_timeout()
            await here.until(lambda: connection.has_served)
            sock.shutdown(socket.SHUT_WR)
            assert await answer(sock) == (200, b"done")

    run(play)


@pytest.mark.parametrize("read", [True, False])
def test_a_request_that_begins_as_a_connection_has_rested_enough_is_answered(read: bool) -> None:
    async def play() -> None:
        async with inbound_server() as here:
            here.let.set()
            sock = here.client()
            sock.sendall(JOB)
            connection = await only(here.listener)
            await here.until(lambda: connection._waiter is not None and connection.has_served)
            arrive(connection, sock, JOB[:20])
            if read:
                await here.until(lambda: connection._has_new_bytes)
            connection._next_keepalive_close_time = 0.0
            connection._process_keepalive()
            sock.sendall(JOB[20:])
            await here.until(lambda: here.claimed == 2)
            sock.shutdown(socket.SHUT_WR)
            status, rest = await answer(sock)
            assert status == 200 and rest.count(b"200 OK") == 1

    run(play)


@pytest.mark.parametrize("by", ["retire", "spare"])
def test_a_resting_connection_on_which_a_request_has_just_arrived_stays(by: str) -> None:
    """A close would reset it, and a request that is read behind a shutdown must go nowhere."""

    async def play() -> None:
        async with inbound_server(budget=1) as here:
            here.let.set()
            sock = here.client()
            sock.sendall(JOB)
            connection = await only(here.listener)
            await here.until(lambda: connection._waiter is not None and connection.has_served)
            arrive(connection, sock, JOB)
            if by == "retire":
                here.listener.close_idle()
            else:
                assert not here.listener._free_capacity()
            await here.until(lambda: here.claimed == 2)
            sock.shutdown(socket.SHUT_WR)
            status, rest = await answer(sock)
            assert status == 200 and rest.count(b"200 OK") == 1

    run(play)


def test_a_request_that_crosses_the_shutdown_of_its_connection_goes_nowhere() -> None:
    """Its client reads the end without an answer and sends it again elsewhere."""

    async def play() -> None:
        async with inbound_server() as here:
            here.let.set()
            sock = here.client()
            sock.sendall(JOB)
            connection = await only(here.listener)
            await here.until(lambda: connection._waiter is not None and connection.has_served)
            here.listener.close_idle()
            assert (await answer(sock))[0] == 200
            sock.sendall(JOB)
            while not connection._has_unread_bytes():
                await asyncio.sleep(0)
            sock.shutdown(socket.SHUT_WR)
            await here.until(lambda: not here.listener.open)
            assert here.claimed == 1

    run(play)


def test_an_answer_that_has_not_left_is_not_cut_off_to_make_room() -> None:
    """Its client reads slowly; the connection has ended, but the rest of its answer is still ours."""
    size = 60_000

    async def play() -> None:
        async with inbound_server(budget=1) as here:

            async def much(request: web.BaseRequest) -> web.StreamResponse:
                await request.read()
                connection_of(request).begin_answer(serves=False)
                response = web.Response(body=b"x" * size)
                response.force_close()
                return response

            here.listener.handler = much
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(here.address)
            sock.setblocking(False)
            connection = await only(here.listener)
            assert connection._raw_transport
            ours = connection._raw_transport.get_extra_info("socket")
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock.sendall(JOB)
            await here.until(lambda: connection._phase is client_connection._Phase.CLOSING)
            assert connection._raw_transport.get_write_buffer_size()
            connection._phase_start -= 2 * client_connection.MIN_SILENCE_S
            assert not here.listener._free_capacity()
            status, rest = await answer(sock)
            assert status == 200 and len(rest) == size
            sock.close()

    run(play)


def test_who_comes_waits_for_the_descriptors_of_those_that_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sixteen more than the budget were open for a turn of the loop: discovery's call found no descriptor."""
    monkeypatch.setattr(client_connection, "MIN_SILENCE_S", 0.0)

    async def play() -> None:
        async with inbound_server(budget=16) as here:
            idle = [here.client() for _ in range(16)]
            await here.until(lambda: len(here.listener.open) == 16)
            more = [here.client() for _ in range(16)]
            before, most = len(os.listdir("/proc/self/fd")), 0
            here.listener._loop.remove_reader(here.socket)

            def accept() -> None:
                nonlocal most
                here.listener._accept()
                most = max(most, len(os.listdir("/proc/self/fd")))

            here.listener._loop.add_reader(here.socket, accept)
            sock = more[-1]
            sock.sendall(JOB)
            await here.until(lambda: here.claimed == 1)
            assert most <= before
            for each in idle + more:
                each.close()

    run(play)


def test_a_smaller_budget_takes_the_idle_connections_and_leaves_those_that_carry_requests() -> None:
    """Where more carry requests than the new budget holds, it comes to be kept as they end."""

    async def play() -> None:
        async with inbound_server() as here:
            busy = [here.client() for _ in range(3)]
            for sock in busy:
                sock.sendall(JOB)
            await here.until(lambda: here.claimed == 3)
            idle = here.client()
            await here.until(lambda: len(here.listener.open) == 4)
            for connection in here.listener.open:
                connection._phase_start -= 2 * client_connection.MIN_SILENCE_S
            here.listener.set_budget(1)
            assert (await answer(idle))[0] == 0
            assert len(here.listener.open) == 3
            here.let.set()
            for sock in busy:
                sock.shutdown(socket.SHUT_WR)
                assert await answer(sock) == (200, b"done")

    run(play)


@asynccontextmanager
async def program() -> AsyncIterator[tuple[Scheduler, Address]]:
    """The whole program in this process, with neither workers nor discovery."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = Address(*free.getsockname())
    known = EndpointList(0, True, ())
    chosen = settings(must_subscribe=True)
    nowhere = Address("127.0.0.1", 1)
    made = Scheduler(Config("n1", listen, nowhere, None, None, 7, 64, None, known, chosen, ("x",), (), ()))
    await made.start()
    try:
        yield made, listen
    finally:
        await made.close()


def job(wire_id: str) -> bytes:
    """A whole request of the program's only class."""
    return (
        f"POST /x HTTP/1.1\r\nHost: s\r\nX-Request-ID: {wire_id}\r\nX-Priority-Class: x\r\n"
        "Content-Length: 4\r\n\r\nwork"
    ).encode()


def test_a_request_that_is_half_here_when_nothing_is_owed_any_more_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The program went 0.05 s after its last answer, and the rest of the request met a closed connection."""
    monkeypatch.setattr(scheduler, "ACCEPT_AFTER_SIGTERM_S", 0.0)

    async def play() -> None:
        async with program() as (here, listen):
            sock = socket.create_connection((listen.host, listen.port))
            sock.setblocking(False)
            sock.sendall(job("a")[:-1])
            connection = await only(here.inbound._listener)
            while not connection._has_new_bytes:
                await asyncio.sleep(0)
            await here.drain()
            closing = asyncio.create_task(here.inbound.close())
            await asyncio.sleep(0)
            await asyncio.get_running_loop().sock_sendall(sock, job("a")[-1:])
            status, rest = await answer(sock)
            assert status == 503 and rest.startswith(b"refused")
            sock.close()
            await closing

    run(play)


@pytest.mark.parametrize("kept", [True, False])
def test_a_request_that_waits_to_be_read_when_the_program_closes_is_answered(kept: bool) -> None:
    """On a connection that has rested, and on one that waits to be accepted."""

    async def play() -> None:
        async with program() as (here, listen):
            sock = socket.create_connection((listen.host, listen.port))
            if kept:
                connection = await only(here.inbound._listener)
                arrive(connection, sock, job("a"))
            else:
                sock.sendall(job("a"))
            sock.setblocking(False)
            closing = asyncio.create_task(here.inbound.close())
            status, rest = await answer(sock)
            assert status == 503 and rest.startswith(b"refused")
            sock.close()
            await closing

    run(play)


def test_a_request_read_in_the_turn_in_which_room_is_made_is_answered() -> None:
    """Its connection was silent long enough to go; the handler has yet to begin."""

    async def play() -> None:
        async with inbound_server(budget=1) as here:
            here.let.set()
            sock = here.client()
            connection = await only(here.listener)
            await here.until(lambda: connection._waiter is not None)
            connection._phase_start -= 2 * client_connection.MIN_SILENCE_S
            arrive(connection, sock, JOB)
            connection._raw_transport._read_ready()  # type: ignore[union-attr]
            assert not here.listener._free_capacity()
            await here.until(lambda: here.claimed == 1)
            sock.shutdown(socket.SHUT_WR)
            assert await answer(sock) == (200, b"done")

    run(play)


def test_a_process_with_a_successor_stays_while_a_request_may_be_on_its_way() -> None:
    """A connection that is too young to be retired is open still: what came there then was lost."""

    async def play() -> None:
        async with program() as (here, listen):
            sock = socket.create_connection((listen.host, listen.port))
            connection = await only(here.inbound._listener)
            assert not here.inbound.is_quiescent
            connection._phase_start -= 2 * client_connection.MIN_SILENCE_S
            here.inbound._listener.close_idle()
            assert here.inbound.is_quiescent
            sock.close()

    run(play)


def test_idle_clients_that_fill_the_descriptors_do_not_keep_the_program_from_discovery(
    tmp_path: Path,
) -> None:
    """Discovery is down and comes back; the idle clients stay all the while."""
    player = Player(tmp_path)
    try:
        player.workers("w2 w1", "")
        player.limits('{"sockets": 64}', "")
        player.at = player.ports["s"].getsockname()
        player.run()
        at = player.ports["d"].getsockname()
        assert player.quiet
        player.quiet.stop()
        player.ports["d"].close()
        player.log("watch_lost", "")
        player.crowd("100", "")
        player.job("c1 renewal-charge j1 25000m", "")
        player.take("w1.1 j1 202", "")
        player.event("w1 j1 started", "")
        with socket.create_server(at) as back:
            back.settimeout(10)
            discovery = Peer(back.accept()[0])
            assert discovery.message().startswith("GET /v1/endpoints?watch=1")
            player.job("c2 renewal-charge j2 25000m", "")
            player.take("w2.1 j2 202", "")
            player.event("w2 j2 done second", "")
            player.answer("c2 200 second", "")
            player.event("w1 j1 done first", "")
            player.answer("c1 200 first", "")
            discovery.file.close()
            discovery.sock.close()
    finally:
        player.stop()
