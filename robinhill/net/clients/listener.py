"""Accepts client connections within a budget of descriptors, and evicts the cheapest ones to keep to it.

aiohttp's server is extended, which accepts without a limit. What happens on one connection is `connection`'s.
"""

import asyncio
import logging
import os
import socket
from collections.abc import Awaitable, Callable
from functools import partial

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from robinhill import protocol
from robinhill.config_types import Address, ConfigError
from robinhill.net.actor import Supervisor
from robinhill.net.clients.connection import (
    REQUEST_GRACE_S,
    REQUEST_TIMEOUT_S,
    CloseReason,
    Connection,
    EvictionRank,
    reject,
)

log = logging.getLogger(__name__)

LISTEN_BACKLOG_CONNECTIONS = 1024
KEEPALIVE_S = 75.0
ACCEPT_BATCH_CONNECTIONS = 16  # accepted or closed in one iteration, so that floods don't starve other work
ACCEPT_PAUSE_S = 0.05  # while no descriptor is free
DRAIN_POLL_S = 0.01
DRAIN_TIMEOUT_S = REQUEST_TIMEOUT_S + REQUEST_GRACE_S
PEER_CLOSE_WAIT_S = 0.25  # for peers to close first: a process that exits resets connections with unread data

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Listener(web.Server):
    """Accepts connections within a budget of descriptors, and evicts the cheapest to keep to it."""

    def __init__(
        self,
        handler: Handler,
        budget: int,
        supervisor: Supervisor,
        max_body: int,
        on_close: Callable[[CloseReason], None] = lambda _reason: None,
    ) -> None:
        """``on_close`` is called with the reason whenever this side closes a connection."""
        super().__init__(
            self._handle,
            handler_cancellation=True,
            request_factory=partial(
                web.BaseRequest, loop=asyncio.get_running_loop(), client_max_size=max_body
            ),
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=0,  # `Connection.close_gracefully` lingers
        )
        self.handler = handler
        self.on_close = on_close
        self.max_body = max_body
        self.budget = budget
        self.supervisor = supervisor
        self.open: set[Connection] = set()
        self.accepting = False
        self._connecting = 0  # accepted, but not in `open` yet
        self._socket: socket.socket | None = None

    def __call__(self) -> Connection:
        """A protocol for a new transport, as asyncio asks for one."""
        return Connection(self, self._loop, **self._kwargs)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """The handler's answer, or the error for a request that can't be read."""
        too_large = f"a body holds at most {self.max_body} bytes"
        try:
            protocol.check_framing(request.headers)
            if (request.content_length or 0) > self.max_body:
                return reject(request, 413, too_large)  # before its body is read
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                request.writer.output_size = 0  # the answer itself has not started
            return await self.handler(request)
        except protocol.MalformedError as e:
            return reject(request, 400, str(e))
        except web.HTTPRequestEntityTooLarge:
            return reject(request, 413, too_large)
        except (web.RequestPayloadError, HttpProcessingError) as e:
            return reject(request, 400, str(e).partition("\n")[0])

    def listen(self, sock: socket.socket) -> None:
        """Accept on a listening, non-blocking socket, which is owned from now on."""
        self._socket = sock
        self.accept(True)

    def accept(self, on: bool) -> None:
        """Accept new connections, or leave them to another process that listens on the same socket."""
        self.accepting = on
        if on:
            self._resume()
        elif self._socket:
            self._loop.remove_reader(self._socket)

    def set_budget(self, budget: int) -> None:
        """Change the budget of connections, and evict idle ones down to it."""
        self.budget = budget
        while sum(not c.dropped for c in self.open) > budget and self._evict():
            pass

    async def adopt(self, fd: int, request: object) -> bool:
        """Take over a connection with a pending request from another process; False if it has closed."""
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        try:
            _, connection = await self._loop.connect_accepted_socket(self, sock)
        except OSError:
            sock.close()
            return False
        return await connection.adopt(request)

    def close(self) -> None:
        """Stop accepting and close all connections gracefully."""
        if self._socket:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        for connection in list(self.open):
            connection.close_gracefully(CloseReason.SHUTDOWN)

    async def drain(self) -> None:
        """Close idle connections, wait until busy ones are answered or ``DRAIN_TIMEOUT_S``, then `close`."""
        started = last_pending = self._loop.time()
        while True:
            if self._socket and self.accepting:
                self._accept()  # a close resets what is in the kernel's queue
            now = self._loop.time()
            for connection in list(self.open):
                if connection.is_idle(now):
                    connection.close_gracefully(CloseReason.SHUTDOWN)
            if self._connecting or any(c.has_pending_work(now) for c in self.open):
                last_pending = now
                if now - started >= DRAIN_TIMEOUT_S:
                    break
            elif not self.open or now - last_pending >= PEER_CLOSE_WAIT_S:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()

    def close_idle(self) -> None:
        """Close idle connections of clients."""
        now = self._loop.time()
        for connection in list(self.open):
            connection.close_if_idle(now)

    def _resume(self) -> None:
        if self._socket and self.accepting:
            self._loop.add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        """Leave new connections in the kernel's queue for ``ACCEPT_PAUSE_S``."""
        if self._socket:
            self._loop.remove_reader(self._socket)
            self._loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _accept(self) -> None:
        assert self._socket
        for _ in range(ACCEPT_BATCH_CONNECTIONS):
            if len(self.open) + self._connecting >= self.budget:
                # A dropped connection has its descriptor until the loop's next iteration.
                if not self._free_capacity():
                    self._pause()
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as e:
                # Out of descriptors in spite of the budget, or of memory. asyncio's own server would retry at
                # once with a traceback for each connection of its backlog.
                log.error("accept_failed", extra={"why": str(e), "open": len(self.open)})
                self._free_capacity()
                self._pause()
                return
            self._connecting += 1
            self.supervisor.spawn(self._admit(sock), "admit")

    async def _admit(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self, sock)
        except OSError:
            sock.close()
        finally:
            self._connecting -= 1

    def _free_capacity(self) -> bool:
        """Whether there will be a free descriptor in the loop's next iteration."""
        return self._evict() or any(c.dropped for c in self.open)

    def _evict(self) -> bool:
        """Drop the cheapest connections, at most a batch; False where none can be dropped now."""
        now = self._loop.time()
        ranked = [(rank, c) for c in self.open if (rank := c.eviction_rank(now)) is not None]
        ranked.sort(key=lambda pair: pair[0])
        evicted = [c for (rank, _), c in ranked[:ACCEPT_BATCH_CONNECTIONS] if rank < EvictionRank.TOO_YOUNG]
        only_served = bool(ranked) and ranked[0][0][0] is EvictionRank.IDLE_SERVED
        if not evicted and not self._connecting and only_served:
            evicted = [
                c for _, c in ranked[:1]
            ]  # a connection that is being accepted may be silent and go first
        for connection in evicted:
            connection.drop()
        return bool(evicted)


def inherit(fd: int) -> socket.socket:
    """The listening socket that the platform owns: never bound, shut down or unlinked here."""
    sock = socket.socket(fileno=os.dup(fd))
    sock.setblocking(False)
    return sock


def bind(address: Address, key: str) -> socket.socket:
    """A listening socket of our own.

    Raises ConfigError, which names the setting ``key``, where the address can't be listened on.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    try:
        sock = socket.create_server(
            (address.host, address.port), family=family, backlog=LISTEN_BACKLOG_CONNECTIONS
        )
    except OSError as e:
        raise ConfigError(key, f"can't listen on {address}: {e.strerror}") from e
    sock.setblocking(False)
    return sock
