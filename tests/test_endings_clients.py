"""Client connections that close, time out or disconnect just as a request arrives.

The tests force these races instead of waiting for them to happen.
"""

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

TEST_TIMEOUT_S = 5.0
JOB = b"POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n\r\nwork"


class InboundServer:
    """A listener whose handler claims each request and sends its answer once the test sets ``may_answer``."""

    def __init__(self, budget: int = 16) -> None:
        self.supervisor = Supervisor()
        self.listener = Listener(self.handle, budget, self.supervisor, 65536)
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.socket.setblocking(False)
        self.address = self.socket.getsockname()
        self.claimed = 0
        self.disconnected = 0
        self.claims = asyncio.Condition()
        self.may_answer = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        connection_of(request).begin_answer(serves=True)
        async with self.claims:
            self.claimed += 1
            self.claims.notify_all()
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.disconnected += 1
            raise
        return web.Response(body=b"done")

    async def until(self, condition: Callable[[], bool]) -> None:
        """Run the event loop until socket events make ``condition`` true."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)

    def client(self) -> socket.socket:
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        return sock


@asynccontextmanager
async def inbound_server(budget: int = 16) -> AsyncIterator[InboundServer]:
    server = InboundServer(budget)
    server.listener.listen(server.socket)
    try:
        yield server
    finally:
        server.listener.close()
        await server.listener.shutdown(0.1)
        await server.supervisor.close()


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def run_with_timeout() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario()

    asyncio.run(run_with_timeout())


async def answer(sock: socket.socket) -> tuple[int, bytes]:
    """Read until the connection ends.

    Return the status of the first answer, 0 if there is none, and all bytes that follow its head.
    """
    loop, data = asyncio.get_running_loop(), b""
    while chunk := await loop.sock_recv(sock, 65536):
        data += chunk
    head, _, rest = data.partition(b"\r\n\r\n")
    return (int(head.split()[1]) if head else 0), rest


UPGRADE = (
    b"POST /x HTTP/1.1\r\nHost: s\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize(
    "first_request, pipelined",
    [
        (JOB, JOB * 64),
        (JOB, b"\x00\xff no HTTP \r\n" * 800_000),
        (JOB, JOB[:-1] + b"x" * 2_000_000),
        (UPGRADE, b"x" * 2_000_000),
    ],
    ids=["requests", "not HTTP", "incomplete request and excess bytes", "another protocol"],
)
def test_disconnect_behind_unread_pipelined_bytes_is_detected(first_request: bytes, pipelined: bytes) -> None:
    """The server stopped reading at its buffer limit, so the end of the connection stayed unread."""

    async def scenario() -> None:
        async with inbound_server() as server:
            sock = server.client()
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, first_request)
            await server.until(lambda: server.claimed == 1)
            await loop.sock_sendall(sock, pipelined)
            sock.close()
            await server.until(lambda: server.disconnected == 1)
            assert server.claimed == 1
            await server.until(lambda: not server.listener.open)

    run(scenario)


def test_client_that_pipelines_too_many_requests_gets_its_answer_and_a_400() -> None:
    """The first request is answered; the pipelined bytes beyond the limit are rejected with 400."""

    async def scenario() -> None:
        async with inbound_server() as server:
            sock = server.client()
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, JOB * 64)
            await server.until(lambda: server.claimed == 1)
            server.may_answer.set()
            status, rest = await answer(sock)
            assert status == 200
            assert rest.startswith(b"doneHTTP/1.1 400 Bad Request\r\n")
            sock.close()
            await server.until(lambda: not server.listener.open)
            assert server.claimed == 1

    run(scenario)


@pytest.mark.parametrize("ending", ["close", "half-close", "reset"])
def test_client_that_disconnects_right_after_its_request_counts_as_disconnected(
    ending: str, caplog: pytest.LogCaptureFixture
) -> None:
    """The kernel holds the request and the end of the connection at once; nothing is logged as an error."""

    async def scenario() -> None:
        async with inbound_server() as server:
            sock = server.client()
            connection = await only_connection(server.listener)
            send_to_kernel(connection, sock, JOB)
            if ending == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            if ending == "half-close":
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
            await server.until(lambda: not server.listener.open)
            await asyncio.sleep(0)
            assert server.disconnected == server.claimed <= 1
            sock.close()

    run(scenario)
    assert not caplog.records


def inbound(report: Callable[[RequestAccepted | ClientDisconnected], None], sockets: int = 64) -> Inbound:
    """Build the client side without a dispatcher: ``report`` receives its events instead."""
    unused = Address("127.0.0.1", 1)
    known = EndpointList(0, True, ())
    config = Config("n1", unused, unused, None, None, 7, sockets, None, known, settings(), ("x",), (), ())

    async def deliver(event: JobEvent) -> None:
        raise AssertionError(event)

    return Inbound(config, Supervisor(), Clock(), Metrics(("x",)), report, deliver)


@pytest.mark.parametrize("reset", [False, True])
def test_client_that_disconnects_during_the_hand_over_of_its_connection_is_reported(reset: bool) -> None:
    """The end of the connection is unread in the kernel when the successor adopts the descriptor."""

    async def scenario() -> None:
        events: list[RequestAccepted | ClientDisconnected] = []
        client_side = inbound(events.append)
        listening = socket.create_server(("127.0.0.1", 0))
        client = socket.create_connection(listening.getsockname())
        accepted, _ = listening.accept()
        if reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.close()
        request = JobRequest("a", 0, 5_000_000, False, "/x", b"work", ())
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        await client_side.adopt(request, reply, accepted.detach())
        while events != [ClientDisconnected(request)]:
            assert not events
            await asyncio.sleep(0)
        assert not client_side.pending_count
        listening.close()
        await client_side.close()

    run(scenario)


async def only_connection(listener: Listener) -> Connection:
    """Wait until a connection is open; return it, and fail where there is more than one."""
    while not listener.open:
        await asyncio.sleep(0)
    (connection,) = listener.open
    return connection


def send_to_kernel(connection: Connection, sock: socket.socket, data: bytes) -> None:
    """Send bytes and block the event loop until the server's kernel buffer holds them unread."""
    sock.sendall(data)
    while not connection._has_unread_bytes():
        pass


def test_request_whose_last_byte_arrives_at_the_request_timeout_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One iteration of the event loop reads the byte and fires the timeout, before the handler starts."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async with inbound_server() as server:
            server.may_answer.set()
            sock = server.client()
            sock.sendall(JOB[:-1])
            connection = await only_connection(server.listener)
            await server.until(lambda: connection._has_new_bytes)
            send_to_kernel(connection, sock, JOB[-1:])
            due = connection._phase_start + client_connection.REQUEST_TIMEOUT_S
            time.sleep(max(0.0, due - asyncio.get_running_loop().time()) + 0.01)  # blocks the loop
            await server.until(lambda: connection.has_served)
            sock.shutdown(socket.SHUT_WR)
            assert await answer(sock) == (200, b"done")

    run(scenario)


@pytest.mark.parametrize("already_read", [b"", JOB[:-1]], ids=["whole request unread", "last byte unread"])
def test_request_that_is_unread_at_the_request_timeout_is_answered(already_read: bytes) -> None:
    async def scenario() -> None:
        async with inbound_server() as server:
            server.may_answer.set()
            sock = server.client()
            connection = await only_connection(server.listener)
            if already_read:
                sock.sendall(already_read)
                await server.until(lambda: connection._has_new_bytes)
            send_to_kernel(connection, sock, JOB[len(already_read) :])
            connection._on_request_timeout()
            await server.until(lambda: connection.has_served)
            sock.shutdown(socket.SHUT_WR)
            assert await answer(sock) == (200, b"done")

    run(scenario)


@pytest.mark.parametrize("read", [True, False])
def test_request_that_starts_to_arrive_at_the_keepalive_timeout_is_answered(read: bool) -> None:
    async def scenario() -> None:
        async with inbound_server() as server:
            server.may_answer.set()
            sock = server.client()
            sock.sendall(JOB)
            connection = await only_connection(server.listener)
            await server.until(lambda: connection._waiter is not None and connection.has_served)
            send_to_kernel(connection, sock, JOB[:20])
            if read:
                await server.until(lambda: connection._has_new_bytes)
            connection._next_keepalive_close_time = 0.0
            connection._process_keepalive()
            sock.sendall(JOB[20:])
            await server.until(lambda: server.claimed == 2)
            sock.shutdown(socket.SHUT_WR)
            status, rest = await answer(sock)
            assert status == 200 and rest.count(b"200 OK") == 1

    run(scenario)


@pytest.mark.parametrize("closed_by", ["idle close", "budget"])
def test_idle_connection_with_an_unread_request_stays_open(closed_by: str) -> None:
    """Closing it would reset the connection, and a request read after a shutdown must not be processed."""

    async def scenario() -> None:
        async with inbound_server(budget=1) as server:
            server.may_answer.set()
            sock = server.client()
            sock.sendall(JOB)
            connection = await only_connection(server.listener)
            await server.until(lambda: connection._waiter is not None and connection.has_served)
            send_to_kernel(connection, sock, JOB)
            if closed_by == "idle close":
                server.listener.close_idle()
            else:
                assert not server.listener._free_capacity()
            await server.until(lambda: server.claimed == 2)
            sock.shutdown(socket.SHUT_WR)
            status, rest = await answer(sock)
            assert status == 200 and rest.count(b"200 OK") == 1

    run(scenario)


def test_request_sent_after_the_shutdown_of_its_connection_is_not_processed() -> None:
    """The client reads the end of the connection without an answer and retries on another connection."""

    async def scenario() -> None:
        async with inbound_server() as server:
            server.may_answer.set()
            sock = server.client()
            sock.sendall(JOB)
            connection = await only_connection(server.listener)
            await server.until(lambda: connection._waiter is not None and connection.has_served)
            server.listener.close_idle()
            assert (await answer(sock))[0] == 200
            sock.sendall(JOB)
            while not connection._has_unread_bytes():
                await asyncio.sleep(0)
            sock.shutdown(socket.SHUT_WR)
            await server.until(lambda: not server.listener.open)
            assert server.claimed == 1

    run(scenario)


def test_connection_with_an_unsent_rest_of_an_answer_is_not_closed_to_free_capacity() -> None:
    """The client reads slowly: the connection is closing, but the server still buffers part of the answer."""
    size = 60_000

    async def scenario() -> None:
        async with inbound_server(budget=1) as server:

            async def large_answer(request: web.BaseRequest) -> web.StreamResponse:
                await request.read()
                connection_of(request).begin_answer(serves=False)
                response = web.Response(body=b"x" * size)
                response.force_close()
                return response

            server.listener.handler = large_answer
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(server.address)
            sock.setblocking(False)
            connection = await only_connection(server.listener)
            assert connection._raw_transport
            server_sock = connection._raw_transport.get_extra_info("socket")
            server_sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock.sendall(JOB)
            await server.until(lambda: connection._phase is client_connection._Phase.CLOSING)
            assert connection._raw_transport.get_write_buffer_size()
            connection._phase_start -= 2 * client_connection.MIN_SILENCE_S
            assert not server.listener._free_capacity()
            status, rest = await answer(sock)
            assert status == 200 and len(rest) == size
            sock.close()

    run(scenario)


def test_new_clients_are_accepted_only_once_evicted_connections_have_freed_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The listener exceeded its budget by 16 for one loop iteration, and the call to discovery got EMFILE."""
    monkeypatch.setattr(client_connection, "MIN_SILENCE_S", 0.0)

    async def scenario() -> None:
        async with inbound_server(budget=16) as server:
            idle = [server.client() for _ in range(16)]
            await server.until(lambda: len(server.listener.open) == 16)
            more = [server.client() for _ in range(16)]
            fds_before, max_fds = len(os.listdir("/proc/self/fd")), 0
            server.listener._loop.remove_reader(server.socket)

            def accept() -> None:
                nonlocal max_fds
                server.listener._accept()
                max_fds = max(max_fds, len(os.listdir("/proc/self/fd")))

            server.listener._loop.add_reader(server.socket, accept)
            sock = more[-1]
            sock.sendall(JOB)
            await server.until(lambda: server.claimed == 1)
            assert max_fds <= fds_before
            for client in idle + more:
                client.close()

    run(scenario)


def test_reduced_budget_closes_idle_connections_and_spares_those_with_requests_in_flight() -> None:
    """Connections with requests may exceed the new budget; the excess shrinks as their requests end."""

    async def scenario() -> None:
        async with inbound_server() as server:
            busy = [server.client() for _ in range(3)]
            for sock in busy:
                sock.sendall(JOB)
            await server.until(lambda: server.claimed == 3)
            idle = server.client()
            await server.until(lambda: len(server.listener.open) == 4)
            for connection in server.listener.open:
                connection._phase_start -= 2 * client_connection.MIN_SILENCE_S
            server.listener.set_budget(1)
            assert (await answer(idle))[0] == 0
            assert len(server.listener.open) == 3
            server.may_answer.set()
            for sock in busy:
                sock.shutdown(socket.SHUT_WR)
                assert await answer(sock) == (200, b"done")

    run(scenario)


@asynccontextmanager
async def program() -> AsyncIterator[tuple[Scheduler, Address]]:
    """Run the complete scheduler in this process, without workers and without discovery."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = Address(*free.getsockname())
    known = EndpointList(0, True, ())
    chosen = settings(must_subscribe=True)
    unused = Address("127.0.0.1", 1)
    program = Scheduler(Config("n1", listen, unused, None, None, 7, 64, None, known, chosen, ("x",), (), ()))
    await program.start()
    try:
        yield program, listen
    finally:
        await program.close()


def job(wire_id: str) -> bytes:
    """Build a complete request of the program's only job class."""
    return (
        f"POST /x HTTP/1.1\r\nHost: s\r\nX-Request-ID: {wire_id}\r\nX-Priority-Class: x\r\n"
        "Content-Length: 4\r\n\r\nwork"
    ).encode()


def test_partially_received_request_is_answered_after_the_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The program exited 0.05 s after its last answer.

    The rest of the request arrived on a connection that was already closed.
    """
    monkeypatch.setattr(scheduler, "ACCEPT_AFTER_SIGTERM_S", 0.0)

    async def scenario() -> None:
        async with program() as (process, listen):
            sock = socket.create_connection((listen.host, listen.port))
            sock.setblocking(False)
            sock.sendall(job("a")[:-1])
            connection = await only_connection(process.inbound._listener)
            while not connection._has_new_bytes:
                await asyncio.sleep(0)
            await process.drain()
            closing = asyncio.create_task(process.inbound.close())
            await asyncio.sleep(0)
            await asyncio.get_running_loop().sock_sendall(sock, job("a")[-1:])
            status, rest = await answer(sock)
            assert status == 503 and rest.startswith(b"refused")
            sock.close()
            await closing

    run(scenario)


@pytest.mark.parametrize("accepted", [True, False])
def test_unread_request_is_answered_when_the_program_closes(accepted: bool) -> None:
    """Covers an idle accepted connection, and a connection that is still in the listen queue."""

    async def scenario() -> None:
        async with program() as (process, listen):
            sock = socket.create_connection((listen.host, listen.port))
            if accepted:
                connection = await only_connection(process.inbound._listener)
                send_to_kernel(connection, sock, job("a"))
            else:
                sock.sendall(job("a"))
            sock.setblocking(False)
            closing = asyncio.create_task(process.inbound.close())
            status, rest = await answer(sock)
            assert status == 503 and rest.startswith(b"refused")
            sock.close()
            await closing

    run(scenario)


def test_request_read_just_before_capacity_is_freed_is_answered() -> None:
    """The connection was idle long enough to be closed for capacity, and its handler has not started yet."""

    async def scenario() -> None:
        async with inbound_server(budget=1) as server:
            server.may_answer.set()
            sock = server.client()
            connection = await only_connection(server.listener)
            await server.until(lambda: connection._waiter is not None)
            connection._phase_start -= 2 * client_connection.MIN_SILENCE_S
            send_to_kernel(connection, sock, JOB)
            connection._raw_transport._read_ready()  # type: ignore[union-attr]
            assert not server.listener._free_capacity()
            await server.until(lambda: server.claimed == 1)
            sock.shutdown(socket.SHUT_WR)
            assert await answer(sock) == (200, b"done")

    run(scenario)


def test_client_side_is_not_quiescent_while_an_open_connection_may_carry_a_request() -> None:
    """A predecessor exited with a connection open that was too young to close; a request on it was lost."""

    async def scenario() -> None:
        async with program() as (process, listen):
            sock = socket.create_connection((listen.host, listen.port))
            connection = await only_connection(process.inbound._listener)
            assert not process.inbound.is_quiescent
            connection._phase_start -= 2 * client_connection.MIN_SILENCE_S
            process.inbound._listener.close_idle()
            assert process.inbound.is_quiescent
            sock.close()

    run(scenario)


def test_idle_clients_that_exhaust_the_descriptors_do_not_block_the_call_to_discovery(
    tmp_path: Path,
) -> None:
    """Discovery fails and recovers while the idle clients stay connected."""
    player = Player(tmp_path)
    try:
        player.workers("w2 w1", "")
        player.limits('{"sockets": 64}', "")
        player.scheduler_address = player.ports["s"].getsockname()
        player.configure_and_start()
        discovery_address = player.ports["d"].getsockname()
        assert player.unchanged_discovery
        player.unchanged_discovery.stop()
        player.ports["d"].close()
        player.log("watch_lost", "")
        player.crowd("100", "")
        player.job("c1 renewal-charge j1 25000m", "")
        player.take("w1.1 j1 202", "")
        player.event("w1 j1 started", "")
        with socket.create_server(discovery_address) as restarted:
            restarted.settimeout(10)
            discovery = Peer(restarted.accept()[0])
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
