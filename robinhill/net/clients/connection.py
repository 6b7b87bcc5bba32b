"""One client connection: its phases, their time limits, its close and its hand-over to another process.

aiohttp handles HTTP. This module extends aiohttp's connection class because that class waits for a request
without a time limit, keeps parts of requests without a limit, and closes connections while data is unread.
Here `RequestFramer` collects each request, aiohttp gets one complete request at a time, and all bytes that
the connection holds count in the process's `MemoryBudget`. ``listener`` accepts connections, and evicts some
of them when it needs descriptors for new ones. A hand-over moves connections with a request from the process
of a scheduler that shuts down to its successor.
"""

import asyncio
import contextlib
import fcntl
import logging
import os
import struct
import termios
from collections import deque
from dataclasses import dataclass
from enum import Enum, IntEnum, auto
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, cast

from aiohttp import web

from robinhill.net.read_buffer import READ_BUFFER_BYTES, read_buffer
from robinhill.request_framing import FramedRequest, FramingError, RequestFramer

if TYPE_CHECKING:
    from robinhill.net.clients.listener import Listener

log = logging.getLogger(__name__)

# Time from the first byte of a request to its last; for the first request it starts with the accept.
REQUEST_TIMEOUT_S = 2.5
# Extension of REQUEST_TIMEOUT_S if data has arrived just before the timeout expires, and of the keep-alive
# time if the connection is not idle when that time ends.
REQUEST_GRACE_S = 0.05
LINGER_S = 3.0  # how long further data is read and discarded after the last response
# How long a closing connection stays open, although it is needed for a new one or its peer is one of a crowd
# that sends on after a rejection: the response may be in transit.
MIN_LINGER_S = 0.25
ANSWER_TIMEOUT_S = 3.0  # how long a client may take to read an answer before its connection is aborted
# A peer that sends a request in many small pieces is read less often from then on.
SMALL_READ_BYTES = 256
MAX_SMALL_READS = 16
SMALL_READ_INTERVAL_S = 0.1
# If more connections than this discard what they receive, each reads less often, or lingers no longer than
# necessary: otherwise a crowd that sends on after its rejection would fill the core.
MAX_UNPACED_DISCARDS = 16
DISCARD_INTERVAL_S = 0.05  # between two reads of such a connection while its request is being answered
MAX_DISCARD_BYTES = 8 * 1024 * 1024  # at once, in search of the end of the connection
# Requests, and their bytes, that are kept while an earlier request of the connection is answered.
MAX_PIPELINED_REQUESTS = 32
MAX_PIPELINED_BYTES = 64 * 1024
LARGE_ANSWER_BYTES = 4096  # smaller answers do not count in the memory budget while they are written
MAX_REASON_CHARACTERS = 200  # of the reason for a rejection, in its answer and its log line
# How long a connection must have waited for a complete request, or received no data while it closes, before
# it may be evicted. Until then a request may be in transit.
MIN_SILENCE_S = 0.25
# Placeholder for a request that another process has already read, which makes aiohttp call the handler.
PLACEHOLDER_REQUEST = b"POST / HTTP/1.1\r\nHost: -\r\nContent-Length: 0\r\n\r\n"
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
EXCESS_DATA_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
OUT_OF_MEMORY_REASON = "refused, safe to try again: the memory for unfinished requests is used up"

ARRIVED_NOW = 0  # arrival time of a request whose handler is started at once: it takes the time itself


class _Phase(Enum):
    WAITING = auto()  # the connection waits for its first request, or for the rest of a request
    BUSY = auto()  # a complete request is being answered
    IDLE = auto()  # between requests
    CLOSING = auto()  # no further response is written, and further data is discarded


class CloseReason(Enum):
    """Why this scheduler closes a client's connection; the value is written to log lines and metrics."""

    ANSWERED = "answered"  # a response with Connection: close was written, or the keep-alive time expired
    EXCESS_DATA = "excess"  # the peer sent more data after an unanswered request than the server buffers
    # No complete request arrived within REQUEST_TIMEOUT_S, or an answer was not read within ANSWER_TIMEOUT_S.
    REQUEST_TIMEOUT = "late"
    # The connection was idle during an operator's drain of this scheduler, or after the scheduler's other
    # process had begun to accept connections instead of this process.
    RETIRED = "retired"
    SHUTDOWN = "leaving"  # this process shuts down
    CAPACITY = "room"  # the connection's descriptor was needed for a new connection
    HANDED_OVER = "handed_over"  # another process has taken over the connection


class EvictionRank(IntEnum):
    """The cost of closing a connection to make room for a new one; lower ranks are evicted first."""

    LINGERING = 0  # the connection's last response is written
    SILENT = 1  # the connection has waited for a complete request for at least MIN_SILENCE_S
    IDLE = 2  # between requests; none of them was a job, a worker's callback or an operator's call
    TOO_YOUNG = 3  # a request or its response may be in transit
    # Between requests, at least one of which was a job, a worker's callback or an operator's call. If the
    # connection is evicted, the peer has to open a new one for its next request.
    IDLE_SERVED = 4


class _LingeringTransport:
    """A transport that, after ``close``, reads and discards data until the peer closes or for ``LINGER_S``.

    Closing a socket while data is unread sends a TCP reset, which can destroy the response in transit to the
    peer.
    """

    def __init__(self, transport: asyncio.Transport, connection: "Connection") -> None:
        self._transport = transport
        self._connection = connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def close(self) -> None:
        """Flush written data, then close once the peer has closed or ``LINGER_S`` has passed."""
        self._connection.close_gracefully(CloseReason.ANSWERED)

    def pause_reading(self) -> None:
        """Do nothing: `Connection` bounds what it passes on, and reads on to detect the peer's close."""

    def resume_reading(self) -> None:
        """Do nothing, as `pause_reading` does nothing."""


@dataclass(slots=True)
class _ReceivedRequest:
    """A complete request that was not passed on to aiohttp yet, and the time (us) of its last byte."""

    framed: FramedRequest
    arrived_us: int


class Connection(web.RequestHandler, asyncio.BufferedProtocol):
    """One connection of a client, or of a worker that sends callbacks.

    It owns the connection's phase, the time limit of each phase and the close. aiohttp handles HTTP.
    """

    __slots__ = (
        "_adopted_request", "_adoption_begun", "_answer_begun", "_closing_since",
        "_current_bytes", "_discards_excess", "_framer", "_held_bytes", "_in_progress", "_phase",
        "_phase_start", "_queue", "_queue_bytes", "_raw_transport", "_small_reads", "_switches_protocol",
        "_timer", "_wrote_continue", "answer_since", "arrived_us", "carries_callbacks", "dropped",
        "handed_over", "has_served", "listener",
    )  # fmt: skip

    def __init__(self, listener: "Listener", loop: asyncio.AbstractEventLoop, **kwargs: Any) -> None:
        super().__init__(listener, loop=loop, **kwargs)
        self.listener = listener
        # Whether the connection has carried a job, a worker's callback or an operator's call.
        self.has_served = False
        self.carries_callbacks = False  # whether the peer is a worker
        # A request that the predecessor process has read and this process must answer; None if there is none.
        self._adopted_request: object = None
        self._adoption_begun: asyncio.Future[bool] | None = (
            None  # its result is whether this process has begun to answer the adopted request
        )
        self.handed_over = False  # whether another process has taken over the connection
        # Whether `drop` was called; the descriptor is closed in the event loop's iteration after the call.
        self.dropped = False
        # The event loop's time (s) at which the phase was entered or, while closing, data last arrived.
        self._phase, self._phase_start = _Phase.WAITING, loop.time()
        self._closing_since = 0.0  # the event loop's time (s) at which the phase CLOSING was entered
        self._framer = RequestFramer(listener.max_body)
        self._small_reads = 0  # reads of less than SMALL_READ_BYTES of the incomplete request
        self._wrote_continue = False  # whether the incomplete request was answered with 100 Continue
        # Complete requests that wait for the answer to an earlier one of this connection.
        self._queue: deque[_ReceivedRequest] = deque()
        self._queue_bytes = 0
        # Whether aiohttp has a request whose answer is not written, whether its answer has begun, whether it
        # asks for another protocol, its size, and the time (us) at which it was complete.
        self._in_progress = self._answer_begun = self._switches_protocol = False
        self._current_bytes = 0
        self.arrived_us = 0
        self._held_bytes = 0  # this connection's part of the memory budget
        # Whether the peer sent more data after an unanswered request than the server buffers.
        self._discards_excess = False
        self.answer_since: float | None = None  # the event loop's time (s) since which an answer is written
        self._raw_transport: asyncio.Transport | None = None  # None unless the connection is open
        self._timer: asyncio.TimerHandle | None = None  # time limit of the current phase; None if it has none

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and start the time limit for its first request."""
        self._raw_transport = cast(asyncio.Transport, transport)
        # The answer to a request is complete for aiohttp only once the kernel has all of it.
        self._raw_transport.set_write_buffer_limits(high=0)
        self._await_request()
        self.listener.register(self, transport.get_extra_info("socket").fileno())
        super().connection_made(cast(asyncio.Transport, _LingeringTransport(self._raw_transport, self)))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer and unregister the connection.

        If a call of `adopt` still waits for its request's answer to begin, that call returns False.
        """
        self._raw_transport = None
        self._enter_phase(_Phase.CLOSING)
        self.listener.open.discard(self)
        self.listener.discarding.pop(self, None)
        self._current_bytes = 0
        self._drop_unfinished()
        if self._adoption_begun and not self._adoption_begun.done():
            self._adoption_begun.set_result(False)
        super().connection_lost(exc)

    @property
    def _has_new_bytes(self) -> bool:
        """Whether data was received that belongs to no request whose answer has begun."""
        unanswered = self._in_progress and not self._answer_begun
        return unanswered or bool(self._queue) or not self._framer.is_empty or self._discards_excess

    @property
    def unfinished_bytes(self) -> int:
        """The number of bytes held of requests that were not passed on; they can be shed."""
        return self._framer.held_bytes + self._queue_bytes

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """The buffer for the next read, which is shared by all connections."""
        return read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process ``nbytes`` received bytes, or discard them without a copy."""
        if self._phase is not _Phase.CLOSING and not self._discards_excess:
            data = bytes(read_buffer[:nbytes])
            if not self._in_progress and not self._queue and self._framer.is_whole_request(data):
                self._receive_whole(data)
                return
            self.data_received(data)
            if nbytes < SMALL_READ_BYTES:
                self._pace_small_reads()
            return
        crowded = len(self.listener.discarding) > MAX_UNPACED_DISCARDS
        if self._phase is _Phase.CLOSING:
            self._phase_start = self._loop.time()
        if crowded and self._raw_transport:
            self._raw_transport.pause_reading()
            if self._phase is _Phase.CLOSING:
                self._limit_linger(self._raw_transport)
            else:
                self._loop.call_later(DISCARD_INTERVAL_S, self._resume_reading)

    def _limit_linger(self, transport: asyncio.Transport) -> None:
        """Abort the closing connection once it has lingered for `MIN_LINGER_S`."""
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._closing_since + MIN_LINGER_S, transport.abort)

    def _pace_small_reads(self) -> None:
        """Pause reading for a moment if an unfinished request arrives in many small pieces."""
        self._small_reads = 0 if self._framer.is_empty else self._small_reads + 1
        if self._small_reads > MAX_SMALL_READS and self._raw_transport and self._phase is _Phase.WAITING:
            self._raw_transport.pause_reading()
            self._loop.call_later(SMALL_READ_INTERVAL_S, self._resume_reading)

    def client_has_left(self) -> bool:
        """Whether the peer has closed the connection, also if its end is behind much unread data.

        Discards unread data up to `MAX_DISCARD_BYTES` if the peer has sent excess data.
        """
        if self._raw_transport is None or self._raw_transport.is_closing():
            return True
        if not self._discards_excess:
            return False
        fd = self._raw_transport.get_extra_info("socket").fileno()
        try:
            for _ in range(MAX_DISCARD_BYTES // READ_BUFFER_BYTES):
                if not os.read(fd, READ_BUFFER_BYTES):
                    self._raw_transport.abort()
                    return True
        except BlockingIOError:
            return False
        except OSError:
            self._raw_transport.abort()
            return True
        return False

    def _resume_reading(self) -> None:
        if self._raw_transport:
            self._raw_transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Collect received data into complete requests, and pass the first one on to aiohttp.

        A malformed request is rejected; behind a request that is not answered yet, it is excess data.
        """
        if not data:
            return  # aiohttp asks in this way for what follows a request; it has nothing
        try:
            for request in self._framer.feed(data):
                self._append(request)
                if len(self._queue) > MAX_PIPELINED_REQUESTS:
                    break
        except FramingError as error:
            if self._has_complete_request():
                self._discard_excess()
            else:
                self._refuse(error.status, error.reason)
            return
        if self._phase is _Phase.IDLE and self._has_new_bytes:
            self._await_request()
        if self._has_complete_request() and self._exceeds_pipeline():
            self._discard_excess()
        elif not self._has_complete_request():
            self._write_continue()
        self._account()

    def _receive_whole(self, data: bytes) -> None:
        """Receive a request in plain form that arrived in one read, without another one before it."""
        if self._phase is _Phase.IDLE:
            self._enter_phase(_Phase.WAITING)  # without a time limit, as the request is complete
        if self.listener.may_pass_on():
            self._begin(data, ARRIVED_NOW, False)
        else:
            self._append(FramedRequest(data))
        self._account()

    def _append(self, request: FramedRequest) -> None:
        """Add a complete request to the queue, and let it be passed on if it is the first."""
        self._queue.append(_ReceivedRequest(request, self.listener.arrival_us()))
        self._queue_bytes += len(request.data)
        if len(self._queue) == 1 and not self._in_progress:
            self.listener.pass_on(self)

    def _exceeds_pipeline(self) -> bool:
        """Whether more is kept behind the request in progress, or the one to be passed on, than may be."""
        following = self.unfinished_bytes
        if not self._in_progress and self._queue:
            following -= len(self._queue[0].framed.data)
        return len(self._queue) > MAX_PIPELINED_REQUESTS or following > MAX_PIPELINED_BYTES

    def pass_on_next(self) -> None:
        """Pass the next complete request, if there is one, on to aiohttp, which then calls the handler."""
        if self._in_progress or not self._queue or self._phase is _Phase.CLOSING:
            return
        received = self._queue.popleft()
        self._queue_bytes -= len(received.framed.data)
        self._begin(received.framed.data, received.arrived_us, received.framed.switches_protocol)

    def _begin(self, data: bytes, arrived_us: int, switches_protocol: bool) -> None:
        """Pass a complete request on to aiohttp."""
        self._current_bytes, self.arrived_us, self._switches_protocol = (
            len(data),
            arrived_us,
            switches_protocol,
        )
        self._in_progress, self._wrote_continue = True, False
        super().data_received(data)
        if not self._messages:
            # aiohttp would wait for a part of this request, although it is complete by its framing.
            self._in_progress = False
            self._refuse(400, "request is not valid HTTP")

    def _write_continue(self) -> None:
        if self._framer.awaits_continue and not self._wrote_continue and self._raw_transport:
            self._wrote_continue = True
            self._raw_transport.write(CONTINUE_RESPONSE)

    def _account(self) -> None:
        """Update this connection's part of the memory budget; shed unfinished requests if it is exceeded."""
        held, self._held_bytes = self._held_bytes, self._current_bytes
        if self._queue or not self._framer.is_empty:
            self._held_bytes += self.unfinished_bytes
        if held != self._held_bytes:
            self.listener.memory.resize(held, self._held_bytes)
            if self._held_bytes > held:
                self.listener.shed_excess_memory()

    def shed(self) -> None:
        """Drop the requests that were not passed on, as the memory budget is exceeded.

        If another request of this connection is being answered, they count as excess data; otherwise the
        client is refused with 503.
        """
        if self._in_progress:
            self._discard_excess()
        else:
            self._refuse(503, OUT_OF_MEMORY_REASON)

    def _drop_unfinished(self) -> None:
        self._framer.clear()
        self._queue.clear()
        self._queue_bytes = 0
        self._account()

    def _refuse(self, status: int, reason: str) -> None:
        """Answer a request that aiohttp does not have with an error, and close the connection."""
        log_rejection(self.peer_address(), status, reason)
        body = f"{reason}\n"
        if self._raw_transport and self._phase is not _Phase.CLOSING:
            self._raw_transport.write(
                f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: text/plain\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode()
            )
        self.close_gracefully(CloseReason.ANSWERED)

    def begin_answer(self, serves: bool) -> None:
        """Enter the phase in which a complete request is answered.

        ``serves``: the request is a job, a worker's callback or an operator's call, so that the connection
        becomes one of the last to be evicted. Raises ConnectionResetError if the connection is already
        closing.
        """
        if self._phase is _Phase.CLOSING:
            raise ConnectionResetError("request can't be answered: its connection is already closing")
        self.has_served |= serves
        self._answer_begun = True
        self._enter_phase(_Phase.BUSY)

    def _discard_excess(self) -> None:
        """Drop what follows the request in progress or to be passed on, and discard all further data.

        Reading goes on: a paused transport would not detect that the peer closes.
        """
        log_rejection(self.peer_address(), 400, "too much data after a request")
        self._discards_excess = True
        self.listener.discarding[self] = None
        first = self._queue[0] if self._queue and not self._in_progress else None
        self._drop_unfinished()
        if first:
            self._queue.append(first)
            self._queue_bytes = len(first.framed.data)
            self._account()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the response, then enter the connection's next phase.

        The connection closes if the peer has sent excess data, continues with the next request if data of it
        has arrived, and is idle otherwise. A peer that does not read the response is disconnected.
        """
        if self._switches_protocol:
            resp.force_close()  # aiohttp parses no further request on this connection
        if self._raw_transport and resp.keep_alive is False:
            self._raw_transport.set_write_buffer_limits()  # `close_gracefully` waits for the rest
        body = getattr(resp, "body", None)
        if body and len(body) > LARGE_ANSWER_BYTES:
            self._current_bytes += len(body)
            self._account()
        self.answer_since = self._loop.time()
        try:
            finished = await super().finish_response(request, resp, start_time)
        finally:
            self.answer_since = None
        self._in_progress = self._answer_begun = False
        self._current_bytes = self._raw_transport.get_write_buffer_size() if self._raw_transport else 0
        self._account()
        if self._phase is _Phase.CLOSING or self._raw_transport is None:
            return finished
        if self._discards_excess:
            if finished[0].keep_alive:
                self._raw_transport.write(EXCESS_DATA_RESPONSE)
            self.close_gracefully(CloseReason.EXCESS_DATA)
        elif finished[0].keep_alive and self._has_new_bytes:
            self._await_request()
            if self._queue:
                self.listener.pass_on(self)
            else:
                self._write_continue()
        else:
            self._enter_phase(_Phase.IDLE)
        return finished

    def abort_unread_answer(self, now: float) -> None:
        """Abort the connection if its peer has not read an answer within `ANSWER_TIMEOUT_S`."""
        overdue = self.answer_since is not None and now - self.answer_since >= ANSWER_TIMEOUT_S
        if overdue and self._raw_transport:
            self._record_close(CloseReason.REQUEST_TIMEOUT)
            self._raw_transport.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Log a malformed request, and answer it with one line of text; aiohttp handles server errors."""
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        return reject(request, status, (message or "request is not valid HTTP").partition("\n")[0])

    def close_gracefully(self, reason: CloseReason) -> None:
        """Flush and send FIN, then discard data until the peer closes or ``LINGER_S`` has passed."""
        if self._raw_transport is None or self._phase is _Phase.CLOSING:
            return
        self._record_close(reason)
        self._enter_phase(_Phase.CLOSING)
        self._closing_since = self._phase_start
        self.listener.discarding[self] = None
        self._drop_unfinished()
        with contextlib.suppress(OSError):  # the peer has closed already
            self._raw_transport.write_eof()
        self._raw_transport.resume_reading()
        self._timer = self._loop.call_later(LINGER_S, self._raw_transport.abort)

    def drop(self) -> None:
        """Close without flushing or lingering.

        May be called only if `eviction_rank` has returned a rank for this connection.
        """
        self.dropped = True
        if self._raw_transport:
            self._record_close(CloseReason.CAPACITY)
            self._raw_transport.abort()

    def eviction_rank(self, now: float) -> tuple[EvictionRank, float] | None:
        """The eviction rank of this connection and the start of its phase; None if it can't be evicted.

        ``now`` is the event loop's time in seconds. The connections with the lowest pairs are evicted first;
        a connection with a complete request is not evicted. Idle connections that have carried jobs, workers'
        callbacks or operators' calls (`IDLE_SERVED`) rank last: a close loses no request, but their peers
        would have to connect again. They rank even behind the connections that are too young to be evicted
        (`TOO_YOUNG`), as the latter become evictable soon.
        """
        if self._raw_transport is None or self.dropped or self._phase is _Phase.BUSY:
            return None
        if self._phase is not _Phase.CLOSING and self._has_complete_request():
            return None  # a complete request was read, but its answer has not begun
        unsent = self._raw_transport.get_write_buffer_size() and now - self._phase_start < LINGER_S
        if self.has_lingered(now):
            rank = EvictionRank.LINGERING, self._phase_start
        elif unsent or self._has_unread_bytes():
            # A close would truncate the last response, or send a reset that may destroy it in transit.
            rank = EvictionRank.TOO_YOUNG, self._phase_start
        elif self._phase is _Phase.CLOSING:
            rank = self._rank_once_silent(EvictionRank.LINGERING, now)
        elif self._phase is _Phase.WAITING:
            rank = self._rank_once_silent(EvictionRank.SILENT, now)
        else:
            rank = (EvictionRank.IDLE_SERVED if self.has_served else EvictionRank.IDLE), self._phase_start
        return rank

    def has_lingered(self, now: float) -> bool:
        """Whether the response is sent and its peer has had the time to read it; data may still arrive."""
        return (
            self._phase is _Phase.CLOSING
            and self._raw_transport is not None
            and not self.dropped
            and not self._raw_transport.get_write_buffer_size()
            and now - self._closing_since >= MIN_LINGER_S
        )

    def _rank_once_silent(self, rank: EvictionRank, now: float) -> tuple[EvictionRank, float]:
        silent = now - self._phase_start >= MIN_SILENCE_S
        return rank if silent else EvictionRank.TOO_YOUNG, self._phase_start

    def close_if_idle(self, now: float) -> None:
        """Close the connection gracefully if it is idle and belongs to a client, not to a worker."""
        if not self.carries_callbacks and self.is_idle(now):
            self.close_gracefully(CloseReason.RETIRED)

    def is_idle(self, now: float) -> bool:
        """Whether the connection carries no request, not even in part, and has no unread data.

        A connection that waits for its first request is idle only after ``MIN_SILENCE_S`` without data, as
        the request may be in transit until then.
        """
        silent = self._phase is _Phase.IDLE or (
            self._phase is _Phase.WAITING
            and not self._has_new_bytes
            and now - self._phase_start >= MIN_SILENCE_S
        )
        return silent and not self._in_progress and not self._queue and not self._has_unread_bytes()

    def has_pending_work(self, now: float) -> bool:
        """Whether a request has arrived, in part or whole, or may be in transit, or a response is unsent."""
        if self._raw_transport is None:
            return False
        if self._phase is _Phase.CLOSING:
            return self._raw_transport.get_write_buffer_size() > 0
        return not self.is_idle(now)

    def pause_for_handover(self) -> bool:
        """Stop reading for a hand-over. Returns False, with no effect, if no hand-over is possible.

        A connection can be handed over only while its request is being answered and no further data was read.
        """
        if self._raw_transport is None or self._phase is not _Phase.BUSY or self._has_new_bytes:
            return False
        self._raw_transport.pause_reading()
        return True

    def resume_after_handover(self) -> None:
        """Resume reading after `pause_for_handover`, if the hand-over did not take place."""
        if self._raw_transport:
            self._raw_transport.resume_reading()

    def duplicate_descriptor(self) -> int | None:
        """Duplicate the connection's descriptor, to pass the duplicate to another process.

        Returns None if the connection has closed or no descriptor is available.
        """
        if self._raw_transport is None:
            return None
        try:
            return os.dup(self._raw_transport.get_extra_info("socket").fileno())
        except OSError as e:
            log.warning("not_handed_over", extra={"why": str(e)})
            return None

    async def adopt(self, request: object) -> bool:
        """Make aiohttp call the handler for a request that another process has read.

        Returns whether the handler has taken the request (`take_adopted_request`); False if the connection
        closes before that.
        """
        if self._raw_transport is None:
            return False
        self._adopted_request, self._adoption_begun = request, self._loop.create_future()
        self._in_progress = True
        super().data_received(PLACEHOLDER_REQUEST)
        return await self._adoption_begun

    def take_adopted_request(self) -> object:
        """Remove and return the adopted request, and begin its answer; None if no request is adopted."""
        if (request := self._adopted_request) is None:
            return None
        self._adopted_request = None
        self.begin_answer(serves=True)
        if self._adoption_begun and not self._adoption_begun.done():
            self._adoption_begun.set_result(True)
        return request

    def release(self) -> None:
        """Close this process's descriptor after a hand-over; the other process's descriptor stays open."""
        self.handed_over = True
        if self._raw_transport:
            self._record_close(CloseReason.HANDED_OVER)
            self._raw_transport.abort()

    def _record_close(self, reason: CloseReason) -> None:
        self.listener.on_close(reason)
        log.debug("connection_closed", extra={"peer": self.peer_address(), "why": reason.value})

    def _has_unread_bytes(self) -> bool:
        """Whether the kernel holds unread data of this connection."""
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
        """Close the connection if no complete request has arrived; answer a partial request with status 408.

        A complete request whose answer has not begun extends the timeout by ``REQUEST_GRACE_S``; so does
        unread data, but only at the first expiry: ``grace`` is False when the extended timeout expires.
        """
        if self._raw_transport is None or self._phase is not _Phase.WAITING:
            return
        if self._has_complete_request() or (grace and self._has_unread_bytes()):
            self._timer = self._loop.call_later(REQUEST_GRACE_S, self._on_request_timeout, False)
            return
        if self._has_new_bytes:
            log_rejection(self.peer_address(), 408, "incomplete request")
            self._raw_transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.close_gracefully(CloseReason.REQUEST_TIMEOUT)

    def _has_complete_request(self) -> bool:
        """Whether a complete request was read whose answer has not begun or is not written."""
        return self._in_progress or bool(self._queue)

    def _process_keepalive(self) -> None:
        """Close at the end of the keep-alive time, which aiohttp measures.

        While a part of the next request has arrived or may be in transit, the close is postponed by
        ``REQUEST_GRACE_S``.
        """
        if self._phase in (_Phase.WAITING, _Phase.IDLE) and not self.is_idle(self._loop.time()):
            self._keepalive_handle = self._loop.call_later(REQUEST_GRACE_S, self._process_keepalive)
        else:
            super()._process_keepalive()

    def peer_address(self) -> str:
        """The peer's IP address, or ``?`` if it is not known or the connection has closed."""
        return str((self._raw_transport.get_extra_info("peername") or "?")[0]) if self._raw_transport else "?"


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """The number of unread bytes in the kernel's receive buffer."""
    fd = transport.get_extra_info("socket").fileno()
    return int(struct.unpack("i", fcntl.ioctl(fd, termios.FIONREAD, b"\0" * 4))[0])


def connection_of(request: web.BaseRequest) -> Connection:
    """The connection on which a request arrived."""
    assert isinstance(request.protocol, Connection)
    return request.protocol


def log_rejection(peer: str | None, status: int, reason: str) -> None:
    """Log that a malformed request was rejected; ``reason`` is cut to `MAX_REASON_CHARACTERS`."""
    why = reason[:MAX_REASON_CHARACTERS]
    log.warning("malformed_request", extra={"peer": peer, "status": status, "why": why})


def reject(request: web.BaseRequest, status: int, reason: str) -> web.Response:
    """Log a malformed request, and return an error response of one line that closes the connection."""
    log_rejection(request.remote, status, reason)
    response = web.Response(status=status, text=reason[:MAX_REASON_CHARACTERS] + "\n")
    response.force_close()
    return response
