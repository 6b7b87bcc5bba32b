"""Connections to a worker: they extend aiohttp's with checks against sending a job twice or after its expiry.

A connection is closed if it receives data while no response is expected. Right before the first byte of an
attempt is written, the ``WriteGuard`` checks again whether the attempt may be sent.
"""

import asyncio
import logging
from collections.abc import Callable
from contextvars import ContextVar
from functools import partial
from typing import Any, Protocol

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientResponse, ConnectionKey
from aiohttp.connector import Connection

from robinhill import protocol
from robinhill.api import Outcome
from robinhill.net.clients.connection import unread_bytes
from robinhill.net.read_buffer import read_buffer
from robinhill.net.workers.attempt import NotWrittenError, Phase, WorkerAttempt

log = logging.getLogger(__name__)


class WriteGuard(Protocol):
    """Decides right before an attempt is written whether it may be sent, and is notified of the write."""

    async def wait_until_caught_up(self) -> None:
        """Wait until all messages from discovery that arrived while this process was stalled are handled."""

    def check_sendable(self, attempt: WorkerAttempt) -> None:
        """Raise NotWrittenError if the attempt, of which no byte was written yet, may no longer be sent."""

    def timeout_header(self, attempt: WorkerAttempt) -> str:
        """The value of the attempt's timeout header: the time until this scheduler cancels the attempt."""

    def record_send(self, attempt: WorkerAttempt) -> None:
        """Called when the attempt is about to be written."""

    def record_fully_written(self, attempt: WorkerAttempt) -> None:
        """Called when the attempt's last byte is written."""


# The guard and the attempt whose job the current task POSTs; None in tasks that cancel or check the health.
current_attempt: ContextVar[tuple[WriteGuard, WorkerAttempt] | None] = ContextVar(
    "current attempt", default=None
)


class WorkerConnection(ResponseHandler, asyncio.BufferedProtocol):
    """A connection to a worker, which is aborted if the worker sends data that answers no request.

    aiohttp would buffer such data and parse it as the response to the next request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, record_close: Callable[[str], None]) -> None:
        super().__init__(loop)
        self.record_close = record_close
        self._expects_response = False

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request.

        Reading this property aborts the connection if the kernel holds unread data, as that data can't be the
        response to any request.
        """
        return self.is_connected() and not self.should_close and not self._abort_if_unread()

    def begin_exchange(self) -> None:
        """Treat received data as part of a response from now on, as a request is about to be written."""
        self._expects_response = True

    def end_exchange(self) -> None:
        """Treat received data as unsolicited from now on, as the exchange has ended."""
        self._expects_response = False

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """The buffer for the next read, which is shared by all connections."""
        return read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process ``nbytes`` received bytes."""
        self.data_received(bytes(read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass a response's data on to the HTTP parser; abort the connection on unsolicited data."""
        if self._expects_response or not data:
            super().data_received(data)
        elif self.is_connected():
            self._abort()

    def _abort_if_unread(self) -> bool:
        assert self.transport
        if not unread_bytes(self.transport):
            return False
        self._abort()
        return True

    def _abort(self) -> None:
        assert self.transport
        self.record_close("unasked_answer")
        peer = self.transport.get_extra_info("peername") or ("?", 0)
        log.warning("unsolicited_response", extra={"endpoint": f"{peer[0]}:{peer[1]}"})
        self.transport.abort()


def _new_connection(loop: asyncio.AbstractEventLoop, record_close: Callable[[str], None]) -> ResponseHandler:
    return WorkerConnection(loop, record_close)


class WorkerConnector(aiohttp.TCPConnector):
    """A pool of any number of connections; it reuses only those that are `WorkerConnection.reusable`."""

    def __init__(self, max_idle_s: float, record_close: Callable[[str], None]) -> None:
        super().__init__(limit=0, limit_per_host=0, keepalive_timeout=max_idle_s)
        self._factory = partial(_new_connection, asyncio.get_running_loop(), record_close)

    async def _get(self, key: ConnectionKey, traces: list[Any]) -> Connection | None:
        while connection := await super()._get(key, traces):
            if isinstance(connection.protocol, WorkerConnection) and connection.protocol.reusable:
                return connection
            connection.close()
        return None


class GuardedRequest(aiohttp.ClientRequest):
    """A request that checks again, once it has a connection, whether its attempt may be sent.

    A connect may take as long as its timeout. During that time the worker may begin to drain, the client may
    disconnect, or the attempt may expire. No byte is written before the check, so that an attempt which fails
    the check provably never ran.
    """

    async def send(self, conn: Connection) -> ClientResponse:
        """Write the request.

        Raises NotWrittenError where the attempt may no longer be sent or the connection is unusable.
        """
        connection = conn.protocol
        assert isinstance(connection, WorkerConnection)
        if current := current_attempt.get():
            guard, attempt = current
            await guard.wait_until_caught_up()
            guard.check_sendable(attempt)
            # Even a new connection may have been closed or have received data during `wait_until_caught_up`.
            if not connection.reusable:
                raise NotWrittenError(Outcome.CONNECT_FAILED)
            attempt.connection = connection
            attempt.phase = Phase.WRITE_STARTED
            # The timeout header is computed again, as the connect has reduced the attempt's remaining time.
            self.headers[protocol.TIMEOUT] = guard.timeout_header(attempt)
            guard.record_send(attempt)
        connection.begin_exchange()
        conn.add_callback(connection.end_exchange)
        response = await super().send(conn)
        if not self.body:
            self._record_fully_written()
        return response

    async def write_bytes(self, writer: Any, conn: Connection, content_length: int | None = None) -> None:
        """Write the body, and record that the request is fully written if the connection has not failed."""
        await super().write_bytes(writer, conn, content_length)
        if conn.protocol is not None and conn.protocol.exception() is None:
            self._record_fully_written()

    @staticmethod
    def _record_fully_written() -> None:
        if current := current_attempt.get():  # None for cancels and health checks
            guard, attempt = current
            attempt.fully_written = True
            guard.record_fully_written(attempt)
