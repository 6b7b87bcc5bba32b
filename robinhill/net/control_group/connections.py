"""Connections of a member of the control group: every member dials voters, and voters accept connections.

`Connections` owns the sockets and their tasks. It reports each connection's messages in order to a
`ConnectionHandler` and does not interpret them.
"""

import asyncio
import contextlib
from collections.abc import Callable
from itertools import count
from typing import Protocol

import aiohttp
from aiohttp import web

from robinhill.config_types import Address
from robinhill.control.messages import MAX_MESSAGE_BYTES
from robinhill.net.actor import Supervisor
from robinhill.net.clients.listener import bind
from robinhill.net.control_group.link import CLOSE_TIMEOUT_S, CONTROL_PATH, ControlLink, Socket

CONNECT_TIMEOUT_S = 1.0
"""The longest time for opening a TCP connection and upgrading it to a websocket."""

WEBSOCKET_CLOSE_TIMEOUT_S = 0.2
LISTENER_SHUTDOWN_TIMEOUT_S = 0.2

SHUTDOWN_REASON = "this process is shutting down"


class ConnectionHandler(Protocol):
    """Receives the events of connections. Its methods are called on the event loop and must not block."""

    def may_accept(self) -> bool:
        """Whether there is capacity for another connection."""
        ...

    def on_opened(self, link: ControlLink) -> None:
        """Handle a new connection, dialed or accepted."""

    def on_message(self, link: ControlLink, data: bytes) -> None:
        """Handle a received message."""

    def on_closed(self, link: ControlLink, why: str) -> None:
        """Handle the end of a connection; ``why``: the reason, for the log."""

    def on_connect_failed(self, voter: str, why: str) -> None:
        """Handle a failed attempt to connect to a voter; ``why``: the reason, for the log."""


class Connections:
    """All connections of one process. ``address_of`` returns the address at which a voter listens."""

    def __init__(
        self, handler: ConnectionHandler, supervisor: Supervisor, address_of: Callable[[str], Address]
    ) -> None:
        self._handler = handler
        self._supervisor = supervisor
        self._address_of = address_of
        self._numbers = count(1)
        self._dialed: set[asyncio.Task[None]] = set()
        self._client: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self._stopping = False

    def start(self) -> None:
        """Create the client session, after which `dial` may be called."""
        self._client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def listen(self, address: Address, key: str) -> None:
        """Start to accept connections.

        Raises ConfigError, with the configuration key ``key``, if the address can't be bound.
        """
        sock = bind(address, key)
        server = web.Server(self._accept, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=LISTENER_SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.SockSite(self._runner, sock).start()

    def dial(self, voter: str) -> None:
        """Start a task that connects to a voter and runs the connection."""
        if self._stopping:
            return
        task = self._supervisor.spawn(self._dial(voter), f"connect to {voter}")
        self._dialed.add(task)
        task.add_done_callback(self._dialed.discard)

    def stop(self) -> None:
        """Stop dialing and accepting; open connections stay open."""
        self._stopping = True

    async def close(self) -> None:
        """Wait up to `CLOSE_TIMEOUT_S` for dialed connections to end, then release all sockets."""
        if self._dialed:
            await asyncio.wait(self._dialed, timeout=CLOSE_TIMEOUT_S)
        for task in list(self._dialed):
            task.cancel()
        if self._runner:
            with contextlib.suppress(Exception):
                await self._runner.cleanup()
        if self._client:
            await self._client.close()

    async def _accept(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != CONTROL_PATH:
            return web.Response(status=404)
        if self._stopping or not self._handler.may_accept():
            return web.Response(status=503)
        socket = web.WebSocketResponse(
            max_msg_size=MAX_MESSAGE_BYTES + 1, compress=False, timeout=WEBSOCKET_CLOSE_TIMEOUT_S
        )
        await socket.prepare(request)
        await self._run(socket, str(request.remote), None)
        return socket

    async def _dial(self, voter: str) -> None:
        assert self._client
        address = self._address_of(voter)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self._client.ws_connect(
                    f"http://{address}{CONTROL_PATH}", max_msg_size=MAX_MESSAGE_BYTES + 1, compress=0
                )
        except (OSError, aiohttp.ClientError, TimeoutError) as e:
            self._handler.on_connect_failed(voter, f"{type(e).__name__} {e}".strip())
            return
        await self._run(socket, str(address), voter)

    async def _run(self, socket: Socket, address: str, voter: str | None) -> None:
        link = ControlLink(next(self._numbers), socket, address, voter)
        self._handler.on_opened(link)
        why = SHUTDOWN_REASON
        try:
            why = await link.run(self._handler.on_message)
        finally:
            self._handler.on_closed(link, why)
