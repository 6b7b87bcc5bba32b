"""Client connections: how many there may be, how long they may keep us waiting, and how they end.

The HTTP is aiohttp's. Its server accepts without a limit, waits for a request as long as the peer likes and
closes with bytes unread; docs/design.md has what that cost. So its two classes are extended here.
"""

import asyncio
import contextlib
import fcntl
import logging
import os
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from functools import partial
from typing import Any, cast

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from robinhill import protocol as messages
from robinhill.config_types import Address, ConfigError
from robinhill.net.actor import Supervisor

log = logging.getLogger(__name__)

BACKLOG = 1024
KEEPALIVE_S = 75.0
ACCEPT_BATCH = 16  # connections accepted or closed in one go: floods take turns with everything else
ACCEPT_PAUSE_S = 0.05  # when there is no room
REQUEST_S = 2.5  # a request must be here whole so long after its first byte, the first one after the accept
GRACE_S = 0.05  # for what has come in the instant in which its time is up
LINGER_S = 3.0  # how long what a peer still sends is read and dropped behind its last answer
FRONT_S = 0.5  # after a no at /ready new connections still come for so long
SWEEP_S = 0.25  # how often idle connections are looked for while they are being closed
LEAVE_S = 0.01  # how often connections are looked at while all of them are being ended
FLUSH_S = 0.25  # for peers to end theirs then: a process that exits resets what has bytes unread
NEW_S = 0.25  # a connection without a request is not closed to make room before this: it may be on its way
YOUNG_RANK, LAST_RANK = 3, 4
# What stands for a request that another process has read already; aiohttp then does the rest as ever.
ADOPTED = b"POST / HTTP/1.1\r\nHost: -\r\nContent-Length: 0\r\n\r\n"
LATE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
EXCESS = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class _Phase(Enum):
    WAITING = auto()  # for a request, or the rest of one
    BUSY = auto()  # a whole request is being answered
    IDLE = auto()  # between requests
    ENDING = auto()  # the last answer is written; what still comes is dropped


class CloseReason(Enum):
    """Why this side ends a client's connection; for log lines and figures."""

    ANSWERED = "answered"  # behind an answer that says so, or after its time of rest
    EXCESS = "excess"  # more came behind a request than is kept
    LATE = "late"  # no whole request came in time
    RETIRED = "retired"  # between requests, while clients are sent elsewhere
    LEAVING = "leaving"  # this process ends
    ROOM = "room"  # others need its descriptor
    HANDED_OVER = "handed_over"  # another process goes on with it


class _LingeringTransport:
    """A transport whose close reads on for a while.

    A close with bytes unread becomes a TCP reset, which can destroy the answer on its way to the peer.
    """

    def __init__(self, transport: asyncio.Transport, connection: "Connection") -> None:
        self._transport = transport
        self._connection = connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def close(self) -> None:
        self._connection.end(CloseReason.ANSWERED)

    def pause_reading(self) -> None:
        self._connection.pause()


class Connection(web.RequestHandler):
    """One client connection."""

    __slots__ = (
        "_adopted", "_excess", "_known", "_more", "_phase", "_since", "_timer", "_wire", "calls_back",
        "dropped", "handed", "listener", "useful",
    )  # fmt: skip

    def __init__(self, listener: "Listener", loop: asyncio.AbstractEventLoop, **kwargs: Any) -> None:
        super().__init__(listener, loop=loop, **kwargs)
        self.listener = listener
        self.useful = False  # it has carried a job or an endpoint's call
        self.calls_back = False  # it is an endpoint's
        self._adopted: object = None  # what it carries from the process that it was in before
        self._known: asyncio.Future[bool] | None = None  # whether that is answered here
        self.handed = False  # it has gone to another process
        self.dropped = False  # its descriptor closes in the loop's next turn
        self._phase, self._since = _Phase.WAITING, loop.time()
        self._more = False  # bytes have come that no request took yet
        self._excess = False  # more has come behind a request than is kept; what comes is dropped
        self._wire: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._wire = cast(asyncio.Transport, transport)
        self._wait()
        self.listener.open.add(self)
        super().connection_made(cast(asyncio.Transport, _LingeringTransport(self._wire, self)))

    def connection_lost(self, exc: BaseException | None) -> None:
        self._wire = None
        self._enter(_Phase.ENDING)
        self.listener.open.discard(self)
        if self._known and not self._known.done():
            self._known.set_result(False)  # the server has not come to it, and never will
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._phase is _Phase.ENDING:
            self._since = self._loop.time()
            return
        if self._excess:
            return
        if data:
            self._more = True
            if self._phase is _Phase.IDLE:
                self._wait()
        super().data_received(data)

    def claim(self, useful: bool) -> None:
        """A whole request is here, to be answered; too late if its time was up."""
        if self._phase is _Phase.ENDING:
            raise ConnectionResetError("its time was up")
        self.useful |= useful
        self._more = False
        self._enter(_Phase.BUSY)
        if self._wire and not self._wire.is_reading() and not self._wire.is_closing():
            self._exceed()

    def pause(self) -> None:
        """The server wants no more bytes now."""
        if self._wire and self._phase is _Phase.BUSY:
            self._exceed()
        elif self._wire:
            self._wire.pause_reading()

    def _exceed(self) -> None:
        """Read on while a request is answered, and keep nothing: the peer's end lies behind what it sent."""
        assert self._wire
        log.warning(
            "malformed", extra={"peer": self.peer(), "status": 400, "why": "too much behind a request"}
        )
        self._excess = self._more = True
        self._messages.clear()
        self._wire.resume_reading()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        finished = await super().finish_response(request, resp, start_time)
        if self._excess and self._wire and self._phase is _Phase.BUSY:
            if finished[0].keep_alive:
                self._wire.write(EXCESS)
            self.end(CloseReason.EXCESS)
        elif self._phase is _Phase.BUSY and (self._more or self._messages):
            self._wait()  # a part of the next request may be here already
        elif self._phase is not _Phase.ENDING:
            self._enter(_Phase.IDLE)
        return finished

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        return reject(request, status, (message or "not HTTP").partition("\n")[0])

    def end(self, why: CloseReason) -> None:
        """Send what is written and the end of it, then drop what comes until the peer ends or time is up."""
        if self._wire is None or self._phase is _Phase.ENDING:
            return
        self._note_close(why)
        self._enter(_Phase.ENDING)
        with contextlib.suppress(OSError):  # the peer has gone already
            self._wire.write_eof()
        self._wire.resume_reading()
        self._timer = self._loop.call_later(LINGER_S, self._wire.abort)

    def drop(self) -> None:
        """Close at once; only for what `spare` has named."""
        self.dropped = True
        if self._wire:
            self._note_close(CloseReason.ROOM)
            self._wire.abort()

    def spare(self, now: float) -> tuple[int, float] | None:
        """How easily this one is missed, the lower the better; None if it carries a request.

        Last come idle connections that have carried jobs: their clients lose nothing, but must open another.
        They stay while others, now too young to go, need only a moment.
        """
        if self._wire is None or self.dropped or self._phase is _Phase.BUSY:
            return None
        if self._phase is not _Phase.ENDING and self._whole():
            return None  # it was silent for long enough to go, but is silent no more
        unsent = self._wire.get_write_buffer_size() and now - self._since < LINGER_S
        if unsent or self._unread():
            return (YOUNG_RANK, self._since)  # a close would cut its answer off, or reset it
        if self._phase is _Phase.ENDING:
            return (0 if now - self._since >= NEW_S else YOUNG_RANK, self._since)
        if self._phase is _Phase.WAITING:
            return (1 if now - self._since >= NEW_S else YOUNG_RANK, self._since)
        return (LAST_RANK if self.useful else 2, self._since)

    def retire(self, now: float) -> None:
        """End it if it is a client's and carries nothing; what is on its way will be sent elsewhere."""
        if not self.calls_back and self.resting(now):
            self.end(CloseReason.RETIRED)

    def resting(self, now: float) -> bool:
        """It carries nothing, and nothing waits to be read."""
        quiet = self._phase is _Phase.IDLE or (
            self._phase is _Phase.WAITING and not self._more and now - self._since >= NEW_S
        )
        return quiet and not self._messages and not self._unread()

    def unsettled(self, now: float) -> bool:
        """A request is here, in part or whole, or may be on its way; or an answer has not left."""
        if self._wire is None:
            return False
        if self._phase is _Phase.ENDING:
            return self._wire.get_write_buffer_size() > 0
        return not self.resting(now)

    def hold(self) -> bool:
        """Read no further, so that it can go to another process; False if it must stay."""
        if self._wire is None or self._phase is not _Phase.BUSY or self._more or self._messages:
            return False
        self._wire.pause_reading()
        return True

    def stay(self) -> None:
        """It goes nowhere after all."""
        if self._wire:
            self._wire.resume_reading()

    def hand_over(self) -> int | None:
        """A descriptor of it for another process; None if it has closed, or there is none to be had now."""
        if self._wire is None:
            return None
        try:
            return os.dup(self._wire.get_extra_info("socket").fileno())
        except OSError as e:
            log.warning("not_handed_over", extra={"why": str(e)})
            return None

    async def adopt(self, carried: object) -> bool:
        """Answer what it carries from another process; False if its peer ends it before that begins."""
        if self._wire is None:
            return False
        self._adopted, self._known = carried, self._loop.create_future()
        self.data_received(ADOPTED)
        return await self._known

    def take_adopted(self) -> object:
        """What it carries, once, claimed to be answered; else None."""
        if (carried := self._adopted) is None:
            return None
        self._adopted = None
        self.claim(useful=True)
        if self._known and not self._known.done():
            self._known.set_result(True)
        return carried

    def forget(self) -> None:
        """It is another process's now: our descriptor closes, the connection stays."""
        self.handed = True
        if self._wire:
            self._note_close(CloseReason.HANDED_OVER)
            self._wire.abort()

    def _note_close(self, why: CloseReason) -> None:
        self.listener.closed(why)
        log.debug("connection_closed", extra={"peer": self.peer(), "why": why.value})

    def _unread(self) -> bool:
        """Whether bytes wait that we have not come to: such a peer is neither silent nor idle."""
        return self._wire is not None and unread(self._wire) > 0

    def _enter(self, phase: _Phase) -> None:
        self._phase, self._since = phase, self._loop.time()
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _wait(self) -> None:
        self._enter(_Phase.WAITING)
        self._timer = self._loop.call_later(REQUEST_S, self._late)

    def _late(self, grace: bool = True) -> None:
        """The peer has sent nothing, or a part of a request and no more."""
        if self._wire is None or self._phase is not _Phase.WAITING:
            return
        if self._whole() or (grace and self._unread()):
            self._timer = self._loop.call_later(GRACE_S, self._late, False)
            return
        if self._more:
            log.warning("malformed", extra={"peer": self.peer(), "status": 408, "why": "half a request"})
            self._wire.write(LATE)
        self.end(CloseReason.LATE)

    def _whole(self) -> bool:
        """A whole request has been read that the handler has not come to."""
        if self._messages:
            return self._messages[0][1].is_eof()
        if self._current_request is not None:
            return self._current_request.content.is_eof()
        return self._more and self._waiter is None  # its handler is about to begin

    def _process_keepalive(self) -> None:
        """Its time of rest is up; that of one that rests no more, or not yet, is looked at again."""
        if self._phase in (_Phase.WAITING, _Phase.IDLE) and not self.resting(self._loop.time()):
            self._keepalive_handle = self._loop.call_later(GRACE_S, self._process_keepalive)
        else:
            super()._process_keepalive()

    def peer(self) -> str:
        return str((self._wire.get_extra_info("peername") or "?")[0]) if self._wire else "?"


def unread(transport: asyncio.BaseTransport) -> int:
    """How many bytes wait in the kernel that nobody has read."""
    fd = transport.get_extra_info("socket").fileno()
    return int(struct.unpack("i", fcntl.ioctl(fd, termios.FIONREAD, b"\0" * 4))[0])


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Listener(web.Server):
    """Accepts connections as far as the budget of descriptors goes, and closes the idlest to keep to it."""

    def __init__(
        self,
        handler: Handler,
        budget: int,
        supervisor: Supervisor,
        max_body: int,
        closed: Callable[[CloseReason], None] = lambda why: None,
    ) -> None:
        """``closed`` hears why this side ends a connection, each time."""
        super().__init__(
            self._handle,
            handler_cancellation=True,
            request_factory=partial(
                web.BaseRequest, loop=asyncio.get_running_loop(), client_max_size=max_body
            ),
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=0,  # `Connection.end` lingers
        )
        self.handler = handler
        self.closed = closed
        self.max_body = max_body
        self.budget = budget
        self.supervisor = supervisor
        self.open: set[Connection] = set()
        self.accepting = False
        self._coming = 0  # accepted, but not in `open` yet
        self._socket: socket.socket | None = None

    def __call__(self) -> Connection:
        return Connection(self, self._loop, **self._kwargs)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """The handler's answer, or the error that what can't be read is owed."""
        too_large = f"a body holds at most {self.max_body} bytes"
        try:
            messages.check_framing(request.headers)
            if (request.content_length or 0) > self.max_body:
                return reject(request, 413, too_large)  # before its body comes
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                request.writer.output_size = 0  # the answer itself has not begun
            return await self.handler(request)
        except messages.MalformedError as e:
            return reject(request, 400, str(e))
        except web.HTTPRequestEntityTooLarge:
            return reject(request, 413, too_large)
        except (web.RequestPayloadError, HttpProcessingError) as e:
            return reject(request, 400, str(e).partition("\n")[0])

    def listen(self, sock: socket.socket) -> None:
        self._socket = sock
        self.accept(True)

    def accept(self, on: bool) -> None:
        """Take new connections, or leave them to another process that listens on the same socket."""
        self.accepting = on
        if on:
            self._resume()
        elif self._socket:
            self._loop.remove_reader(self._socket)

    def share(self, budget: int) -> None:
        """Keep to another budget from now on: the idlest connections go until it is kept."""
        self.budget = budget
        while sum(not c.dropped for c in self.open) > budget and self._drop_spare():
            pass

    async def adopt(self, fd: int, carried: object) -> bool:
        """Go on with a connection of another process, which is owed an answer; False if it has closed."""
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        try:
            _, connection = await self._loop.connect_accepted_socket(self, sock)
        except OSError:
            sock.close()
            return False
        return await connection.adopt(carried)

    def close(self) -> None:
        """Accept no more; end what is open."""
        if self._socket:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        for connection in list(self.open):
            connection.end(CloseReason.LEAVING)

    async def leave(self) -> None:
        """End connections between requests, and those that carry one behind its answer; then `close`."""
        begun = flushed = self._loop.time()
        while True:
            if self._socket and self.accepting:
                self._accept()  # what is left in the kernel's queue would be reset
            now = self._loop.time()
            for connection in list(self.open):
                if connection.resting(now):
                    connection.end(CloseReason.LEAVING)
            if self._coming or any(c.unsettled(now) for c in self.open):
                flushed = now
                if now - begun >= REQUEST_S + GRACE_S:
                    break
            elif not self.open or now - flushed >= FLUSH_S:
                break
            await asyncio.sleep(LEAVE_S)
        self.close()

    def retire_idle(self) -> None:
        """End clients' connections that are between requests."""
        now = self._loop.time()
        for connection in list(self.open):
            connection.retire(now)

    def _resume(self) -> None:
        if self._socket and self.accepting:
            self._loop.add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        """Leave new connections in the kernel's queue for a moment."""
        if self._socket:
            self._loop.remove_reader(self._socket)
            self._loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _accept(self) -> None:
        assert self._socket
        for _ in range(ACCEPT_BATCH):
            if len(self.open) + self._coming >= self.budget:
                # What is dropped has its descriptor until the loop's next turn; who comes waits till then.
                if not self._make_room():
                    self._pause()
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as e:
                # Out of descriptors in spite of the budget, or of memory. asyncio's own server goes on trying
                # here, with a traceback for each of its backlog, and had no time left for anything else.
                log.error("accept_failed", extra={"why": str(e), "open": len(self.open)})
                self._make_room()
                return self._pause()
            self._coming += 1
            self.supervisor.spawn(self._admit(sock), "admit")

    async def _admit(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self, sock)
        except OSError:
            sock.close()
        finally:
            self._coming -= 1

    def _make_room(self) -> bool:
        """Whether there will be room in the loop's next turn."""
        return self._drop_spare() or any(c.dropped for c in self.open)

    def _drop_spare(self) -> bool:
        now = self._loop.time()
        spare = [(rank, c) for c in self.open if (rank := c.spare(now)) is not None]
        spare.sort(key=lambda x: x[0])
        going = [c for (rank, _), c in spare[:ACCEPT_BATCH] if rank < YOUNG_RANK]
        if not going and not self._coming and spare and spare[0][0][0] == LAST_RANK:
            going = [c for _, c in spare[:1]]  # what is coming may be silent, and goes first then
        for connection in going:
            connection.drop()
        return bool(going)


def inherit(fd: int) -> socket.socket:
    """The listening socket that the platform holds: never bound, shut down or unlinked by us."""
    sock = socket.socket(fileno=os.dup(fd))
    sock.setblocking(False)
    return sock


def bind(address: Address, key: str) -> socket.socket:
    """A listening socket of our own; ``key`` is the setting to name where that can't be."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    try:
        sock = socket.create_server((address.host, address.port), family=family, backlog=BACKLOG)
    except OSError as e:
        raise ConfigError(key, f"can't listen on {address}: {e.strerror}") from e
    sock.setblocking(False)
    return sock


def connection_of(request: web.BaseRequest) -> Connection:
    assert isinstance(request.protocol, Connection)
    return request.protocol


def reject(request: web.BaseRequest, status: int, why: str) -> web.Response:
    """A plain answer to what can't be used, and a log line; the connection ends behind it."""
    log.warning("malformed", extra={"peer": request.remote, "status": status, "why": why})
    response = web.Response(status=status, text=why + "\n")
    response.force_close()
    return response
