"""Accepts client connections within a budget of descriptors.

When the budget is used up, connections are evicted (closed to accept others), in the order of `EvictionRank`.
aiohttp's server is extended here because it accepts connections without a limit. ``connection`` handles each
connection once it is accepted.
"""

import asyncio
import contextlib
import itertools
import logging
import os
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from robinhill import protocol, request_framing
from robinhill.config_types import Address, ConfigError
from robinhill.memory_budget import MemoryBudget
from robinhill.net.actor import Supervisor
from robinhill.net.clients.connection import (
    REQUEST_GRACE_S,
    REQUEST_TIMEOUT_S,
    CloseReason,
    Connection,
    EvictionRank,
    reject,
)
from robinhill.request_framing import FramingError

log = logging.getLogger(__name__)

LISTEN_BACKLOG_CONNECTIONS = 1024  # size of the kernel's accept queue
KEEPALIVE_S = 75.0  # how long a connection may be idle after a response before it is closed
# Connections that are accepted, or evicted for others, in one iteration of the event loop. A flood of
# connections must not starve other work, as a job takes about ten iterations, and slow iterations must not
# starve new clients.
MIN_ACCEPT_BATCH = 4
MAX_ACCEPT_BATCH = 64
ACCEPT_RATE_PER_S = 1_000.0
EVICTION_BATCH_CONNECTIONS = 16
# Requests that are passed on to their handlers in one iteration, for the same reason; others wait in order.
REQUEST_BATCH = 16
# Size of a connection's receive buffer in the kernel, which doubles it. It bounds what is unread when a peer
# closes, and with it the time until the close is noticed.
RECEIVE_BUFFER_BYTES = 64 * 1024
ACCEPT_PAUSE_S = 0.05  # delay before connections are accepted again when no descriptor is free
UNREAD_ANSWER_INTERVAL_S = 0.5  # between two searches for connections whose peers do not read their answers
DRAIN_POLL_S = 0.01  # interval at which a drain checks the connections
DRAIN_TIMEOUT_S = REQUEST_TIMEOUT_S + REQUEST_GRACE_S
# How long a drain waits, once no work is pending, for peers to close their connections before this process
# exits: the exit would reset connections that have unread data.
PEER_CLOSE_WAIT_S = 0.25

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Listener(web.Server):
    """A server that limits its open connections to ``budget`` by evicting those of the lowest `EvictionRank`.

    Accepting pauses while the budget is used up and no connection can be evicted.
    """

    def __init__(
        self,
        handler: Handler,
        budget: int,
        supervisor: Supervisor,
        max_body: int,
        on_close: Callable[[CloseReason], None] = lambda _reason: None,
        memory: MemoryBudget | None = None,
        arrival_us: Callable[[], int] = lambda: 0,
    ) -> None:
        """``max_body``: maximum size of a request's body (bytes).

        ``on_close`` is called with the reason whenever this process closes a connection. ``memory`` is the
        budget of what the connections hold; None: this listener has one of its own. ``arrival_us`` returns
        the time (us) at which data that is read now has arrived.
        """
        super().__init__(
            self._handle,
            handler_cancellation=True,
            request_factory=partial(
                web.BaseRequest, loop=asyncio.get_running_loop(), client_max_size=max_body
            ),
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=0,  # `Connection.close_gracefully` lingers instead of aiohttp
        )
        self.handler = handler
        self.on_close = on_close
        self.memory = memory or MemoryBudget(budget * max_body)
        self.arrival_us = arrival_us
        self.max_body = max_body
        self.budget = budget
        self.supervisor = supervisor
        self.open: set[Connection] = set()
        # Open connections that discard what they receive; those that began first come first.
        self.discarding: dict[Connection, None] = {}
        self.accepting = False
        self._connecting: set[int] = set()  # descriptors of accepted connections that are not in `open` yet
        self._socket: socket.socket | None = None
        self._last_accept = 0.0  # the event loop's time (s)
        self._passed_on = 0  # requests passed on since the last iteration that began a new count
        self._waiting: deque[Connection] = deque()  # connections with a request to be passed on

    def __call__(self) -> Connection:
        """Create the protocol for a new transport; asyncio calls this as its protocol factory."""
        return Connection(self, self._loop, **self._kwargs)

    def register(self, connection: Connection, fd: int) -> None:
        """Add a connection, whose descriptor is ``fd``, to the open ones."""
        self.open.add(connection)
        self._connecting.discard(fd)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the handler's response, or an error response to a malformed or too large request."""
        headers = request.headers
        try:
            # aiohttp may read more from a head than `RequestFramer`, for example from folded lines.
            request_framing.check_framing(
                headers.getall("Content-Length", []), headers.getall("Transfer-Encoding", [])
            )
            return await self.handler(request)
        except FramingError as e:
            return reject(request, e.status, e.reason)
        except protocol.MalformedError as e:
            return reject(request, 400, str(e))
        except web.HTTPRequestEntityTooLarge:
            return reject(request, 413, f"request body exceeds {self.max_body} bytes")
        except (web.RequestPayloadError, HttpProcessingError) as e:
            return reject(request, 400, str(e).partition("\n")[0])

    def listen(self, sock: socket.socket) -> None:
        """Start to accept on a listening, non-blocking socket, of which this object takes ownership."""
        self._socket = sock
        self.accept(True)
        self.supervisor.spawn(self._abort_unread_answers(), "unread answers")

    async def _abort_unread_answers(self) -> None:
        while True:
            await asyncio.sleep(UNREAD_ANSWER_INTERVAL_S)
            for connection in list(self.open):
                connection.abort_unread_answer(self._loop.time())

    def accept(self, enabled: bool) -> None:
        """Start (True) or stop accepting new connections.

        While this process does not accept, another process of the scheduler accepts on the same socket.
        """
        self.accepting = enabled
        if enabled:
            self._resume_accepting()
        elif self._socket:
            self._loop.remove_reader(self._socket)

    def set_budget(self, budget: int) -> None:
        """Set the maximum number of open connections.

        If more are open, connections are evicted until none can be evicted or the maximum is reached.
        """
        self.budget = budget
        while sum(not c.dropped for c in self.open) > budget and self._evict():
            pass

    def pass_on(self, connection: Connection) -> None:
        """Let a connection pass on its next request, at once or in a later iteration of the event loop."""
        if self.may_pass_on():
            connection.pass_on_next()
        else:
            self._waiting.append(connection)

    def may_pass_on(self) -> bool:
        """Whether a request may be passed on in this iteration of the event loop; if so, it is counted."""
        if self._waiting or self._passed_on >= REQUEST_BATCH:
            return False
        self._passed_on += 1
        if self._passed_on == REQUEST_BATCH // 2:  # the count may span iterations until then
            self._loop.call_soon(self._pass_on_waiting)
        return True

    def _pass_on_waiting(self) -> None:
        batch = [self._waiting.popleft() for _ in range(min(REQUEST_BATCH, len(self._waiting)))]
        self._passed_on = len(batch)
        if batch:
            self._loop.call_soon(self._pass_on_waiting)
        for connection in batch:
            connection.pass_on_next()

    def shed_excess_memory(self) -> None:
        """Drop unfinished requests, largest first, until the memory budget is kept or there are none."""
        while self.memory.exceeded:
            largest = max(self.open, key=lambda c: c.unfinished_bytes, default=None)
            if largest is None or not largest.unfinished_bytes:
                return
            largest.shed()

    async def adopt(self, fd: int, request: object) -> bool:
        """Take over a connection with a pending request from another process.

        ``fd`` is the connection's descriptor, which this call owns. Returns False if the connection closes
        before the answer to the request is started.
        """
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
        """Close connections as they become idle, wait until no work is pending, then call `close`.

        Pending work is a request that has arrived or may be in transit, or a response that is not fully sent.
        The wait ends after ``DRAIN_TIMEOUT_S`` at the latest.
        """
        started = last_pending = self._loop.time()
        while True:
            if self._socket and self.accepting:
                # Closing the socket would reset the connections that are still in the kernel's accept queue.
                self._accept()
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
        """Close the idle connections of clients gracefully; those of workers stay open."""
        now = self._loop.time()
        for connection in list(self.open):
            connection.close_if_idle(now)

    def _resume_accepting(self) -> None:
        if self._socket and self.accepting:
            self._loop.add_reader(self._socket, self._accept)

    def _pause_accepting(self) -> None:
        """Leave new connections in the kernel's accept queue for ``ACCEPT_PAUSE_S``."""
        if self._socket:
            self._loop.remove_reader(self._socket)
            self._loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def _accept(self) -> None:
        assert self._socket
        for _ in range(self._accept_batch()):
            if len(self.open) + len(self._connecting) >= self.budget:
                # A dropped connection keeps its descriptor until the event loop's next iteration. Even if
                # connections are dropped, further ones are therefore accepted only in a later iteration.
                if not self._free_capacity():
                    self._pause_accepting()
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as e:
                # The process is out of descriptors in spite of the budget, or out of memory. Accepting is
                # paused: asyncio's own server would retry at once, and log a traceback for each connection in
                # the accept queue.
                log.error("accept_failed", extra={"why": str(e), "open": len(self.open)})
                self._free_capacity()
                self._pause_accepting()
                return
            with contextlib.suppress(OSError):  # the peer has reset the connection
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._connecting.add(sock.fileno())
            self.supervisor.spawn(self._connect_accepted(sock), "admit")

    def _accept_batch(self) -> int:
        """The number of connections to accept in this iteration of the event loop."""
        now = self._loop.time()
        elapsed_s, self._last_accept = now - self._last_accept, now
        return int(min(MAX_ACCEPT_BATCH, max(MIN_ACCEPT_BATCH, elapsed_s * ACCEPT_RATE_PER_S)))

    async def _connect_accepted(self, sock: socket.socket) -> None:
        fd = sock.fileno()
        try:
            await self._loop.connect_accepted_socket(self, sock)
        except OSError:
            sock.close()
        finally:
            self._connecting.discard(fd)

    def _free_capacity(self) -> bool:
        """Evict connections if possible.

        Returns whether a descriptor becomes free in the event loop's next iteration.
        """
        return self._evict() or any(c.dropped for c in self.open)

    def _evict(self) -> bool:
        """Drop up to ``EVICTION_BATCH_CONNECTIONS`` connections of the lowest ranks, below `TOO_YOUNG`.

        If all evictable connections have the rank `IDLE_SERVED`, and no accepted connection is still being
        set up, a single one is dropped. Returns whether a connection was dropped.
        """
        now = self._loop.time()
        if lingering := self._lingering_longest(now):
            for connection in lingering:
                connection.drop()
            return True
        ranked = [(rank, c) for c in self.open if (rank := c.eviction_rank(now)) is not None]
        ranked.sort(key=lambda pair: pair[0])
        evicted = [c for (rank, _), c in ranked[:EVICTION_BATCH_CONNECTIONS] if rank < EvictionRank.TOO_YOUNG]
        only_served = bool(ranked) and ranked[0][0][0] is EvictionRank.IDLE_SERVED
        if not evicted and not self._connecting and only_served:
            # No IDLE_SERVED connection is dropped while an accepted connection is being set up: if the new
            # connection sends no request, it gets a lower rank than IDLE_SERVED and is dropped first.
            evicted = [c for _, c in ranked[:1]]
        for connection in evicted:
            connection.drop()
        return bool(evicted)

    def _lingering_longest(self, now: float) -> list[Connection]:
        """Connections whose peers have had time to read the response, up to `EVICTION_BATCH_CONNECTIONS`."""
        longest = itertools.islice(self.discarding, EVICTION_BATCH_CONNECTIONS)
        return [c for c in longest if c.has_lingered(now)]


def duplicate_listening_socket(fd: int) -> socket.socket:
    """Duplicate a listening socket that the platform has passed to this process as descriptor ``fd``.

    The platform owns the socket, so this process never binds, shuts down or unlinks it.
    """
    sock = socket.socket(fileno=os.dup(fd))
    sock.setblocking(False)
    return sock


def bind(address: Address, key: str) -> socket.socket:
    """Create a listening socket that this process owns.

    Raises ConfigError, which names the setting ``key``, if the address can't be listened on.
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
