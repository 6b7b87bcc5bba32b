"""Connections to a worker: aiohttp's, with the checks that a job is never sent twice or after its time.

A connection that receives what no request asked for is ended. Right before the first byte of an attempt is
written, its ``WriteGuard`` is asked once more whether it may be sent.
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
from robinhill.net.workers.attempt import NotWrittenError, Phase, WorkerAttempt

log = logging.getLogger(__name__)


class WriteGuard(Protocol):
    """Who is asked right before an attempt is written, and notified of it."""

    async def caught_up(self) -> None:
        """Return once this process has handled what was sent to it while it stood still."""

    def check(self, attempt: WorkerAttempt) -> None:
        """Raise NotWrittenError if the attempt may not be sent now."""

    def time_left(self, attempt: WorkerAttempt) -> str:
        """The timeout header: how long this scheduler waits from now on."""

    def note_send(self, attempt: WorkerAttempt) -> None:
        """The attempt is about to be written."""

    def note_fully_written(self, attempt: WorkerAttempt) -> None:
        """The attempt's last byte is written."""


current_attempt: ContextVar[tuple[WriteGuard, WorkerAttempt] | None] = ContextVar(
    "current attempt", default=None
)


class WorkerConnection(ResponseHandler):
    """A connection to a worker, which may send only answers: anything else ends it.

    aiohttp would keep such bytes and take them for the answer to the next request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, note_close: Callable[[str], None]) -> None:
        super().__init__(loop)
        self.note_close = note_close
        self._awaits_answer = False

    @property
    def reusable(self) -> bool:
        """Whether it may carry another request."""
        return self.is_connected() and not self.should_close and not self._has_unread()

    def begin_exchange(self) -> None:
        """A request is about to be written."""
        self._awaits_answer = True

    def end_exchange(self) -> None:
        """The answer has ended."""
        self._awaits_answer = False

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        if self._awaits_answer or not data:
            super().data_received(data)
        elif self.is_connected():
            self._abort()

    def _has_unread(self) -> bool:
        assert self.transport
        if not unread_bytes(self.transport):
            return False
        self._abort()
        return True

    def _abort(self) -> None:
        assert self.transport
        self.note_close("unasked_answer")
        peer = self.transport.get_extra_info("peername") or ("?", 0)
        log.warning("unsolicited_response", extra={"endpoint": f"{peer[0]}:{peer[1]}"})
        self.transport.abort()


def _new_connection(loop: asyncio.AbstractEventLoop, note_close: Callable[[str], None]) -> ResponseHandler:
    return WorkerConnection(loop, note_close)


class WorkerConnector(aiohttp.TCPConnector):
    """Reuses open connections as long as they may carry another request."""

    def __init__(self, max_idle_s: float, note_close: Callable[[str], None]) -> None:
        super().__init__(limit=0, limit_per_host=0, keepalive_timeout=max_idle_s)
        self._factory = partial(_new_connection, asyncio.get_running_loop(), note_close)

    async def _get(self, key: ConnectionKey, traces: list[Any]) -> Connection | None:
        while connection := await super()._get(key, traces):
            if isinstance(connection.protocol, WorkerConnection) and connection.protocol.reusable:
                return connection
            connection.close()
        return None


class GuardedRequest(aiohttp.ClientRequest):
    """Checks again, once a connection is there, whether the attempt may be sent.

    A connect takes up to its timeout, in which the worker may have begun to drain, the client may have left
    or the attempt's time may be up. Up to here nothing is written, which proves that a job never ran.
    """

    async def send(self, conn: Connection) -> ClientResponse:
        """Write the request."""
        connection = conn.protocol
        assert isinstance(connection, WorkerConnection)
        if current := current_attempt.get():
            guard, attempt = current
            await guard.caught_up()
            guard.check(attempt)
            if not connection.reusable:  # a new one may have ended or received bytes by now
                raise NotWrittenError(Outcome.CONNECT_FAILED)
            attempt.connection = connection
            attempt.phase = Phase.WRITTEN
            # The connect has taken a part of what the client had left.
            self.headers[protocol.TIMEOUT] = guard.time_left(attempt)
            guard.note_send(attempt)
        connection.begin_exchange()
        conn.add_callback(connection.end_exchange)
        response = await super().send(conn)
        if not self.body:
            self._note_fully_written()
        return response

    async def write_bytes(self, writer: Any, conn: Connection, content_length: int | None = None) -> None:
        """Write the body."""
        await super().write_bytes(writer, conn, content_length)
        if conn.protocol is not None and conn.protocol.exception() is None:
            self._note_fully_written()

    @staticmethod
    def _note_fully_written() -> None:
        if current := current_attempt.get():  # none for cancels and health checks
            guard, attempt = current
            attempt.fully_written = True
            guard.note_fully_written(attempt)
