"""One client connection: its phases, their time limits, and how it closes or goes to another process.

HTTP is aiohttp's, whose connection class is extended: it would wait for a request as long as the peer likes,
and close with unread data. Which connections are accepted and evicted is `listener`'s.
"""

import asyncio
import contextlib
import fcntl
import logging
import os
import struct
import termios
from enum import Enum, IntEnum, auto
from typing import TYPE_CHECKING, Any, cast

from aiohttp import web

if TYPE_CHECKING:
    from robinhill.net.clients.listener import Listener

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 2.5  # from a request's first byte, or from the accept, to its last byte
REQUEST_GRACE_S = 0.05  # for data that arrives in the instant of the timeout
LINGER_S = 3.0  # for which further data is read and discarded after the last answer
MIN_SILENCE_S = 0.25  # before a connection without a request may be evicted: one may be in transit
# Stands for a request that another process has read already, so that aiohttp goes through its usual steps.
ADOPTED_REQUEST = b"POST / HTTP/1.1\r\nHost: -\r\nContent-Length: 0\r\n\r\n"
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
EXCESS_DATA_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class _Phase(Enum):
    WAITING = auto()  # for a request, or the rest of one
    BUSY = auto()  # a complete request is being answered
    IDLE = auto()  # between requests
    CLOSING = auto()  # the last answer is written; further data is discarded


class CloseReason(Enum):
    """Why this side closes a client's connection; the value is in log lines and metrics."""

    ANSWERED = "answered"  # after an answer with Connection: close, or after the keep-alive time
    EXCESS_DATA = "excess"  # more followed a request than is buffered
    REQUEST_TIMEOUT = "late"  # no complete request arrived in time
    RETIRED = "retired"  # idle while this scheduler is drained or superseded
    SHUTDOWN = "leaving"  # this process shuts down
    CAPACITY = "room"  # its descriptor is needed for others
    HANDED_OVER = "handed_over"  # another process goes on with it


class EvictionRank(IntEnum):
    """How cheaply a connection can be closed for the sake of a new one; lower values go first."""

    LINGERING = 0  # its last answer is written
    SILENT = 1  # no request has arrived
    IDLE = 2  # between requests, none of which was of use
    TOO_YOUNG = 3  # a request or its answer may be in transit
    IDLE_SERVED = 4  # between requests of a client that would have to connect again


class _LingeringTransport:
    """A transport whose close goes on reading for a while.

    A close with unread bytes becomes a TCP reset, which can destroy the answer on its way to the peer.
    """

    def __init__(self, transport: asyncio.Transport, connection: "Connection") -> None:
        self._transport = transport
        self._connection = connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def close(self) -> None:
        """Close after what is written, once the peer has closed or the linger time is over."""
        self._connection.close_gracefully(CloseReason.ANSWERED)

    def pause_reading(self) -> None:
        """Apply the server's backpressure as far as it does not hide the peer's close."""
        self._connection.pause()


class Connection(web.RequestHandler):
    """One connection of a client, or of a worker that calls back.

    It owns the phase, the time limit of each phase and how the connection closes. HTTP itself is aiohttp's.
    """

    __slots__ = (
        "_adopted_request", "_adoption_begun", "_discards_excess", "_has_new_bytes", "_phase", "_phase_start",
        "_raw_transport", "_timer", "carries_callbacks", "dropped", "handed_over", "has_served", "listener",
    )  # fmt: skip

    def __init__(self, listener: "Listener", loop: asyncio.AbstractEventLoop, **kwargs: Any) -> None:
        super().__init__(listener, loop=loop, **kwargs)
        self.listener = listener
        self.has_served = False  # it has carried a job or a worker's callback
        self.carries_callbacks = False  # it is a worker's
        self._adopted_request: object = None  # a request that the predecessor process has read
        self._adoption_begun: asyncio.Future[bool] | None = (
            None  # resolved with whether that is answered here
        )
        self.handed_over = False  # another process owns the connection now
        self.dropped = False  # its descriptor closes in the loop's next iteration
        self._phase, self._phase_start = _Phase.WAITING, loop.time()
        self._has_new_bytes = False  # bytes were received that belong to no request yet
        self._discards_excess = False  # more followed a request than is buffered
        self._raw_transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for the first request."""
        self._raw_transport = cast(asyncio.Transport, transport)
        self._await_request()
        self.listener.open.add(self)
        super().connection_made(cast(asyncio.Transport, _LingeringTransport(self._raw_transport, self)))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop all timers and tell whoever waits for an adopted request."""
        self._raw_transport = None
        self._enter_phase(_Phase.CLOSING)
        self.listener.open.discard(self)
        if self._adoption_begun and not self._adoption_begun.done():
            self._adoption_begun.set_result(False)  # the server has not started it
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass data on to the HTTP parser, unless it is to be discarded."""
        if self._phase is _Phase.CLOSING:
            self._phase_start = self._loop.time()
            return
        if self._discards_excess:
            return
        if data:
            self._has_new_bytes = True
            if self._phase is _Phase.IDLE:
                self._await_request()
        super().data_received(data)

    def begin_answer(self, serves: bool) -> None:
        """Enter the phase in which a complete request is answered.

        Raises ConnectionResetError where the connection is being closed already.
        """
        if self._phase is _Phase.CLOSING:
            raise ConnectionResetError("the connection is being closed")
        self.has_served |= serves
        self._has_new_bytes = False
        self._enter_phase(_Phase.BUSY)
        if (
            self._raw_transport
            and not self._raw_transport.is_reading()
            and not self._raw_transport.is_closing()
        ):
            self._discard_excess()

    def pause(self) -> None:
        """Apply backpressure; while a request is answered, discard what follows instead."""
        if self._raw_transport and self._phase is _Phase.BUSY:
            self._discard_excess()
        elif self._raw_transport:
            self._raw_transport.pause_reading()

    def _discard_excess(self) -> None:
        """Go on reading and buffer nothing: only so is the peer's close seen while it is answered."""
        assert self._raw_transport
        log.warning(
            "malformed",
            extra={"peer": self.peer_address(), "status": 400, "why": "too much behind a request"},
        )
        self._discards_excess = self._has_new_bytes = True
        self._messages.clear()
        self._raw_transport.resume_reading()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the answer, then enter the phase that follows from what else was received."""
        finished = await super().finish_response(request, resp, start_time)
        if self._discards_excess and self._raw_transport and self._phase is _Phase.BUSY:
            if finished[0].keep_alive:
                self._raw_transport.write(EXCESS_DATA_RESPONSE)
            self.close_gracefully(CloseReason.EXCESS_DATA)
        elif self._phase is _Phase.BUSY and (self._has_new_bytes or self._messages):
            self._await_request()  # part of the next request may have arrived
        elif self._phase is not _Phase.CLOSING:
            self._enter_phase(_Phase.IDLE)
        return finished

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed request with one line of text, and log it."""
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        return reject(request, status, (message or "not HTTP").partition("\n")[0])

    def close_gracefully(self, reason: CloseReason) -> None:
        """Flush and send FIN, then discard data until the peer closes or ``LINGER_S`` has passed."""
        if self._raw_transport is None or self._phase is _Phase.CLOSING:
            return
        self._record_close(reason)
        self._enter_phase(_Phase.CLOSING)
        with contextlib.suppress(OSError):  # the peer has closed already
            self._raw_transport.write_eof()
        self._raw_transport.resume_reading()
        self._timer = self._loop.call_later(LINGER_S, self._raw_transport.abort)

    def drop(self) -> None:
        """Close at once; only for connections that `eviction_rank` offers."""
        self.dropped = True
        if self._raw_transport:
            self._record_close(CloseReason.CAPACITY)
            self._raw_transport.abort()

    def eviction_rank(self, now: float) -> tuple[EvictionRank, float] | None:
        """How cheaply this connection can be closed, lower first; None while it carries a request.

        The second part is when its phase began. Idle connections that have carried jobs rank last: their
        clients lose nothing, but must connect again. They are kept while younger ones need only a moment.
        """
        if self._raw_transport is None or self.dropped or self._phase is _Phase.BUSY:
            return None
        if self._phase is not _Phase.CLOSING and self._has_complete_request():
            return None  # it was silent for long enough, but no longer is
        unsent = self._raw_transport.get_write_buffer_size() and now - self._phase_start < LINGER_S
        if unsent or self._has_unread_bytes():
            return EvictionRank.TOO_YOUNG, self._phase_start  # a close would truncate or reset its answer
        if self._phase is _Phase.CLOSING:
            return self._rank_once_silent(EvictionRank.LINGERING, now)
        if self._phase is _Phase.WAITING:
            return self._rank_once_silent(EvictionRank.SILENT, now)
        return EvictionRank.IDLE_SERVED if self.has_served else EvictionRank.IDLE, self._phase_start

    def _rank_once_silent(self, rank: EvictionRank, now: float) -> tuple[EvictionRank, float]:
        silent = now - self._phase_start >= MIN_SILENCE_S
        return rank if silent else EvictionRank.TOO_YOUNG, self._phase_start

    def close_if_idle(self, now: float) -> None:
        """Close the connection if it is a client's and idle."""
        if not self.carries_callbacks and self.is_idle(now):
            self.close_gracefully(CloseReason.RETIRED)

    def is_idle(self, now: float) -> bool:
        """Whether it carries no request and has no unread data."""
        quiet = self._phase is _Phase.IDLE or (
            self._phase is _Phase.WAITING
            and not self._has_new_bytes
            and now - self._phase_start >= MIN_SILENCE_S
        )
        return quiet and not self._messages and not self._has_unread_bytes()

    def has_pending_work(self, now: float) -> bool:
        """Whether a request is here, in part or complete, or may be in transit, or an answer is unsent."""
        if self._raw_transport is None:
            return False
        if self._phase is _Phase.CLOSING:
            return self._raw_transport.get_write_buffer_size() > 0
        return not self.is_idle(now)

    def pause_for_handover(self) -> bool:
        """Stop reading so that another process can take it; False if it can't be handed over now."""
        if (
            self._raw_transport is None
            or self._phase is not _Phase.BUSY
            or self._has_new_bytes
            or self._messages
        ):
            return False
        self._raw_transport.pause_reading()
        return True

    def resume_after_handover(self) -> None:
        """Read again: the hand-over did not take place."""
        if self._raw_transport:
            self._raw_transport.resume_reading()

    def duplicate_descriptor(self) -> int | None:
        """A descriptor for another process; None if it has closed or no descriptor is available."""
        if self._raw_transport is None:
            return None
        try:
            return os.dup(self._raw_transport.get_extra_info("socket").fileno())
        except OSError as e:
            log.warning("not_handed_over", extra={"why": str(e)})
            return None

    async def adopt(self, request: object) -> bool:
        """Answer a request that another process has read; False if the peer closes before that starts."""
        if self._raw_transport is None:
            return False
        self._adopted_request, self._adoption_begun = request, self._loop.create_future()
        self.data_received(ADOPTED_REQUEST)
        return await self._adoption_begun

    def take_adopted_request(self) -> object:
        """The adopted request, once, with its answer begun; None where there is none."""
        if (request := self._adopted_request) is None:
            return None
        self._adopted_request = None
        self.begin_answer(serves=True)
        if self._adoption_begun and not self._adoption_begun.done():
            self._adoption_begun.set_result(True)
        return request

    def release(self) -> None:
        """Close our descriptor only: another process has the connection now."""
        self.handed_over = True
        if self._raw_transport:
            self._record_close(CloseReason.HANDED_OVER)
            self._raw_transport.abort()

    def _record_close(self, reason: CloseReason) -> None:
        self.listener.on_close(reason)
        log.debug("connection_closed", extra={"peer": self.peer_address(), "why": reason.value})

    def _has_unread_bytes(self) -> bool:
        """Whether the kernel holds data that was not read yet."""
        return self._raw_transport is not None and unread_bytes(self._raw_transport) > 0

    def _enter_phase(self, phase: _Phase) -> None:
        self._phase, self._phase_start = phase, self._loop.time()
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _await_request(self) -> None:
        self._enter_phase(_Phase.WAITING)
        self._timer = self._loop.call_later(REQUEST_TIMEOUT_S, self._on_request_timeout)

    def _on_request_timeout(self, grace: bool = True) -> None:
        """Close a connection on which no complete request has arrived in time."""
        if self._raw_transport is None or self._phase is not _Phase.WAITING:
            return
        if self._has_complete_request() or (grace and self._has_unread_bytes()):
            self._timer = self._loop.call_later(REQUEST_GRACE_S, self._on_request_timeout, False)
            return
        if self._has_new_bytes:
            log.warning(
                "malformed", extra={"peer": self.peer_address(), "status": 408, "why": "half a request"}
            )
            self._raw_transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.close_gracefully(CloseReason.REQUEST_TIMEOUT)

    def _has_complete_request(self) -> bool:
        """Whether a complete request was read that its handler has not started."""
        if self._messages:
            return self._messages[0][1].is_eof()
        if self._current_request is not None:
            return self._current_request.content.is_eof()
        return self._has_new_bytes and self._waiter is None  # its handler is about to start

    def _process_keepalive(self) -> None:
        """Close after the keep-alive time, unless the connection is no longer idle."""
        if self._phase in (_Phase.WAITING, _Phase.IDLE) and not self.is_idle(self._loop.time()):
            self._keepalive_handle = self._loop.call_later(REQUEST_GRACE_S, self._process_keepalive)
        else:
            super()._process_keepalive()

    def peer_address(self) -> str:
        """The peer's IP address, ``?`` where it is not known."""
        return str((self._raw_transport.get_extra_info("peername") or "?")[0]) if self._raw_transport else "?"


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Bytes in the kernel's receive buffer."""
    fd = transport.get_extra_info("socket").fileno()
    return int(struct.unpack("i", fcntl.ioctl(fd, termios.FIONREAD, b"\0" * 4))[0])


def connection_of(request: web.BaseRequest) -> Connection:
    """The connection that a request came on."""
    assert isinstance(request.protocol, Connection)
    return request.protocol


def reject(request: web.BaseRequest, status: int, reason: str) -> web.Response:
    """An error answer as one line of text, logged; the connection closes after it."""
    log.warning("malformed", extra={"peer": request.remote, "status": status, "why": reason})
    response = web.Response(status=status, text=reason + "\n")
    response.force_close()
    return response
