"""Client connections that end, with something else arriving in that very instant; each crossing is forced."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from robinhill.config import Address, Config
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.connections import Listener, connection_of
from robinhill.net.decider import ClientLeft, Taken
from robinhill.net.figures import Figures
from robinhill.net.inbound import Inbound
from robinhill.net.messages import Answer, DestinationList, JobEvent, JobRequest

from .conftest import settings

PATIENCE_S = 5.0
JOB = b"POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n\r\nwork"


class Door:
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
        connection_of(request).claim(useful=True)
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
async def door(budget: int = 16) -> AsyncIterator[Door]:
    made = Door(budget)
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
        async with door() as here:
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
        async with door() as here:
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


def inbound(report: Callable[[Taken | ClientLeft], None], sockets: int = 64) -> Inbound:
    """The client side by itself; who reads what it reports answers for the decider."""
    nowhere = Address("127.0.0.1", 1)
    known = DestinationList(0, True, ())
    config = Config("n1", nowhere, nowhere, None, None, 7, sockets, None, known, settings(), ("x",), (), ())

    async def deliver(event: JobEvent) -> None:
        raise AssertionError(event)

    return Inbound(config, Supervisor(), Clock(), Figures(("x",)), report, deliver)


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_goes_while_its_connection_changes_hands_has_gone(reset: bool) -> None:
    """The end of its connection waits in the kernel when the process that takes over first looks."""

    async def play() -> None:
        told: list[Taken | ClientLeft] = []
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
        while told != [ClientLeft(request)]:
            assert not told
            await asyncio.sleep(0)
        assert not here.owed
        listening.close()
        await here.close()

    run(play)
