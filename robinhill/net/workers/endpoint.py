"""An endpoint: the actor that owns the attempts at one worker, their connections, cancels and probes."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from contextvars import ContextVar
from dataclasses import dataclass
from enum import Enum, auto
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientResponse, ConnectionKey
from aiohttp.connector import Connection
from yarl import URL

from robinhill import protocol as messages
from robinhill.api import Outcome
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clients.connection import unread_bytes
from robinhill.net.clock import Clock
from robinhill.net.discovery.catch_up import CatchUp
from robinhill.net.metrics import Metrics
from robinhill.net.workers.messages import (
    AbandonUnwritten,
    AttemptEnded,
    AttemptProgress,
    AttemptReleased,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    EndpointReport,
    EndpointRetired,
    HealthCheckEnded,
    ReleaseAttempt,
    RequestReturned,
    ResumeAttempt,
    StartAttempt,
)
from robinhill.placement.list_lease import ListLease
from robinhill.protocol import JobEvent, JobRequest, JobState, Lifecycle, ListedEndpoint

log = logging.getLogger(__name__)

RETIRE_SHARE = (
    0.6  # idle connections close at this share of the endpoint's own limit: no send may meet its close
)
PROBE_TIMEOUT_S = 1.0
LINGER_S = 2.0  # how long a connection waits for the 202 of a job that is over, or for an answer's end
_SPOILT = (aiohttp.ClientPayloadError, aiohttp.ClientResponseError)  # what an endpoint sends wrong
_ENDINGS = {JobState.FAILED: Outcome.ERROR, JobState.RETURNED: Outcome.FULL, JobState.LOST: Outcome.RESET}


class _Phase(Enum):
    CONNECTING = auto()  # nothing of it is written
    WRITTEN = auto()  # some of it may be
    ACCEPTED = auto()  # 202


@dataclass(slots=True, eq=False)
class _Attempt:
    job: int
    number: int
    request: JobRequest
    until_us: int
    deadline_us: int
    sent_us: int
    write_until_us: int = 0
    wanted: Callable[[], bool] = lambda: True
    phase: _Phase = _Phase.CONNECTING
    wire: "_Wire | None" = None  # where it was written
    whole: bool = False  # its last byte is written
    exchange: asyncio.Task[Any] | None = None
    timer: asyncio.TimerHandle | None = None
    over: bool = False
    withdrawn: bool = False


@dataclass(slots=True, frozen=True)
class _Over:
    """What became of an attempt, as its exchange or its cancel found."""

    attempt: _Attempt
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class _Expired:
    """An attempt's time is up."""

    attempt: _Attempt


@dataclass(slots=True, frozen=True)
class _CallDone:
    """A cancel or a probe is over."""

    task: asyncio.Task[None]


EndpointMessage = (
    StartAttempt
    | CancelAttempt
    | AbandonUnwritten
    | ReleaseAttempt
    | ResumeAttempt
    | RequestReturned
    | ListedEndpoint
    | JobEvent
    | CheckHealth
    | CloseIdleConnections
    | _Over
    | _Expired
    | _CallDone
)


class _Wire(ResponseHandler):
    """A connection to an endpoint, which is to speak only when asked: whatever else comes ends it.

    aiohttp would keep such bytes and take them for the answer to the next request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, note_close: Callable[[str], None]) -> None:
        super().__init__(loop)
        self.note_close = note_close
        self._asked = False

    @property
    def fit(self) -> bool:
        """Whether it may carry another request."""
        return self.is_connected() and not self.should_close and not self._unread()

    def ask(self) -> None:
        """A request is about to be written."""
        self._asked = True

    def rest(self) -> None:
        """Its answer has ended."""
        self._asked = False

    def data_received(self, data: bytes) -> None:
        if self._asked or not data:
            super().data_received(data)
        elif self.is_connected():
            self._end()

    def _unread(self) -> bool:
        assert self.transport
        if not unread_bytes(self.transport):
            return False
        self._end()
        return True

    def _end(self) -> None:
        assert self.transport
        self.note_close("unasked_answer")
        peer = self.transport.get_extra_info("peername") or ("?", 0)
        log.warning("unasked_answer", extra={"endpoint": f"{peer[0]}:{peer[1]}"})
        self.transport.abort()


def _wire(loop: asyncio.AbstractEventLoop, note_close: Callable[[str], None]) -> ResponseHandler:
    return _Wire(loop, note_close)


class _Connector(aiohttp.TCPConnector):
    """Gives out kept connections as long as they are fit to carry another request."""

    def __init__(self, retire_s: float, note_close: Callable[[str], None]) -> None:
        super().__init__(limit=0, limit_per_host=0, keepalive_timeout=retire_s)
        self._factory = partial(_wire, asyncio.get_running_loop(), note_close)

    async def _get(self, key: ConnectionKey, traces: list[Any]) -> Connection | None:
        while connection := await super()._get(key, traces):
            if isinstance(connection.protocol, _Wire) and connection.protocol.fit:
                return connection
            connection.close()
        return None


class _NotWrittenError(Exception):
    """An attempt may not go out any more; not a byte of it did."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


_current: ContextVar[tuple["Endpoint", _Attempt] | None] = ContextVar("current attempt", default=None)


class _CheckedRequest(aiohttp.ClientRequest):
    """Looks again once a connection is there, at the moment of the write, whether the attempt may go out.

    A connect takes up to its time-out, in which the endpoint may have been told to leave, the client may
    have gone or the attempt's time may be up; and up to here nothing is written, which is what proves that a
    job never ran.
    """

    async def send(self, conn: Connection) -> ClientResponse:
        wire = conn.protocol
        assert isinstance(wire, _Wire)
        if current := _current.get():
            endpoint, attempt = current
            await endpoint.caught_up()
            endpoint.check(attempt)
            if not wire.fit:  # a new one may have ended or spoken by now
                raise _NotWrittenError(Outcome.CONNECT_FAILED)
            attempt.wire = wire
            attempt.phase = _Phase.WRITTEN
            # The connect has taken a part of what the client had left.
            self.headers[messages.TIMEOUT] = endpoint.time_left(attempt)
            endpoint.note_send(attempt)
        wire.ask()
        conn.add_callback(wire.rest)
        response = await super().send(conn)
        if not self.body:
            self._count()
        return response

    async def write_bytes(self, writer: Any, conn: Connection, content_length: int | None = None) -> None:
        await super().write_bytes(writer, conn, content_length)
        if conn.protocol is not None and conn.protocol.exception() is None:
            self._count()

    def _count(self) -> None:
        """The last byte of an attempt is written; cancels and probes are none."""
        if current := _current.get():
            endpoint, attempt = current
            attempt.whole = True
            endpoint.metrics.attempts_sent += 1


class Endpoint(Actor[EndpointMessage]):
    """One worker of the destination set."""

    def __init__(
        self,
        destination: ListedEndpoint,
        supervisor: Supervisor,
        clock: Clock,
        connect_timeout_us: int,
        keepalive_us: int,
        metrics: Metrics,
        report: Callable[[EndpointReport], None],
        may_send: Callable[[ListedEndpoint], bool] | None = None,
        list_lease: ListLease | None = None,
        catch_up: CatchUp | None = None,
    ) -> None:
        super().__init__(f"endpoint {destination.instance_id}", supervisor)
        self.destination = destination
        self.clock = clock
        self.metrics = metrics
        self.report = report
        self.catch_up = catch_up  # after a stall; None: stalls are not looked for
        self.list_lease = list_lease  # of the list by which attempts are sent; None: nothing tells
        self.may_send = may_send  # whether cordons and lease allow it at this moment; None: there are none
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.retire_s = keepalive_us * RETIRE_SHARE / 1e6
        self.attempts: dict[str, _Attempt] = {}
        # (request, state) of calls that ended an attempt here: told again, they are of that attempt.
        self.endings: dict[tuple[str, JobState], None] = {}
        self.calls: set[asyncio.Task[None]] = set()  # cancels and probes under way
        self.session = self._new_session()

    @property
    def open(self) -> bool:
        """Whether it may get anything new."""
        return self.destination.lifecycle is Lifecycle.ACTIVE and (
            self.may_send is None or self.may_send(self.destination)
        )

    def check(self, attempt: _Attempt) -> None:
        """Raise if an attempt of which nothing is written may not go out now."""
        now = self.clock.now_us()
        if not attempt.wanted():
            raise _NotWrittenError(Outcome.NOT_SENT)
        if now >= attempt.until_us:
            raise _NotWrittenError(Outcome.TIMEOUT)
        if attempt.over or attempt.withdrawn:
            raise _NotWrittenError(Outcome.CANCELLED)
        if self.list_lease and not self.list_lease.is_valid(now):
            raise _NotWrittenError(Outcome.CONNECT_FAILED)  # the module takes it for no news of the worker
        # A repeat that comes behind its window would be a second effect.
        if not self.open or now >= attempt.write_until_us:
            raise _NotWrittenError(Outcome.CONNECT_FAILED)

    async def caught_up(self) -> None:
        """Until this process goes by what was written to it while it stood still."""
        while self.catch_up and self.catch_up.is_catching_up():
            await asyncio.sleep(0)

    def time_left(self, attempt: _Attempt) -> str:
        """What an attempt tells its worker: how long this scheduler will wait from now on."""
        return messages.format_timeout(attempt.until_us - self.clock.now_us())

    def note_send(self, attempt: _Attempt) -> None:
        """Count and log by which list an attempt goes out."""
        if self.list_lease is None:
            return
        self.metrics.sends[self.list_lease.origin] += 1
        if log.isEnabledFor(logging.DEBUG):
            told = {
                "id": attempt.request.id,
                "endpoint": self.destination.instance_id,
                "attempt": attempt.number,
            }
            log.debug("attempt_sent", extra=told | self.list_lease.log_fields(self.clock.now_us()))

    def _new_session(self) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=_Connector(self.retire_s, self._note_close),
            request_class=_CheckedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=self.connect_timeout_s),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            auto_decompress=False,
        )
        # The client sends idempotent requests again after a broken connection; nothing here may go out twice.
        session._retry_connection = False
        return session

    def receive(self, message: EndpointMessage) -> None:
        match message:
            case StartAttempt():
                self._dispatch(message)
            case JobEvent():
                self._job_event(message)
            case CancelAttempt():
                self._withdraw(message)
            case AbandonUnwritten():
                self._client_gone(message)
            case ReleaseAttempt():
                self._let_go(message)
            case ResumeAttempt():
                self._resume(message)
            case RequestReturned(request_id=request_id):
                self._heard(request_id, JobState.RETURNED)
            case ListedEndpoint():
                moved = message.host_port != self.destination.host_port
                self.destination = message
                if moved:
                    self._close_idle()
                self._retire()
            case CheckHealth():
                # One that has left may be told to close at any moment, and its connections with it.
                if self.destination.lifecycle is Lifecycle.REMOVED:
                    self.report(HealthCheckEnded(self.destination.instance_id, False))
                else:
                    self._call(self._probe(), f"probe {self.name}")
            case CloseIdleConnections():
                self._close_idle()
            case _Over(attempt=attempt, outcome=outcome):
                self._end(attempt, outcome)
            case _Expired(attempt=attempt):
                self._expired(attempt)
            case _CallDone(task=task):
                self.calls.discard(task)
                self._retire()

    def _call(self, work: Coroutine[Any, Any, None], name: str) -> None:
        """Run a cancel or a probe; the endpoint keeps its connections until it is over."""

        task = self.supervisor.spawn(work, name)
        self.calls.add(task)
        task.add_done_callback(lambda done: self.tell(_CallDone(done)))

    def _url(self, target: str) -> URL:
        return URL(f"http://{self.destination.host_port}{target}", encoded=True)

    # Attempts

    def _dispatch(self, message: StartAttempt) -> None:
        request = message.request
        attempt = _Attempt(
            message.job, message.attempt, request, message.until_us, message.deadline_us, self.clock.now_us(),
            message.write_until_us, message.wanted,
        )  # fmt: skip
        self.attempts[request.id] = attempt
        self._limit(attempt)
        attempt.exchange = self.supervisor.spawn(self._exchange(attempt), f"attempt {request.id}")

    def _limit(self, attempt: _Attempt) -> None:
        delay_s = max(0, attempt.until_us - self.clock.now_us()) / 1e6
        attempt.timer = asyncio.get_running_loop().call_later(delay_s, self.tell, _Expired(attempt))

    def _let_go(self, message: ReleaseAttempt) -> None:
        attempt = self.attempts.get(message.request_id)
        gone = None
        if attempt and attempt.phase is _Phase.ACCEPTED and not (attempt.over or attempt.withdrawn):
            attempt.over = True
            if attempt.timer:
                attempt.timer.cancel()
            del self.attempts[message.request_id]
            gone = ResumeAttempt(
                attempt.job, attempt.number, attempt.request,
                attempt.until_us, attempt.deadline_us, attempt.sent_us,
            )  # fmt: skip
        self.report(AttemptReleased(message.job, gone))
        self._retire()

    def _resume(self, message: ResumeAttempt) -> None:
        attempt = _Attempt(
            message.job, message.attempt, message.request, message.until_us, message.deadline_us,
            message.sent_us, phase=_Phase.ACCEPTED,
        )  # fmt: skip
        self.attempts[message.request.id] = attempt
        self._limit(attempt)

    async def _exchange(self, attempt: _Attempt) -> None:
        """Hand the job over; what the answer or its absence proves is PROTOCOL's table."""
        request = attempt.request
        _current.set((self, attempt))
        headers = dict(request.headers)
        headers[messages.TIMEOUT] = self.time_left(attempt)
        try:
            self.check(attempt)
            async with self.session.post(
                self._url(request.target), data=request.body, headers=headers, allow_redirects=False
            ) as response:
                if not attempt.whole and attempt.wire is not None:
                    self._note_close("early_answer")
                    attempt.wire.close()
                    raise aiohttp.ClientPayloadError("an answer before the request was whole")
                # Told before the rest of the answer: a cancel from now on is a DELETE.
                if response.status == 202:
                    attempt.phase = _Phase.ACCEPTED
                    await _read_rest(response)
                elif response.status in (500, 503, 504):
                    async with asyncio.timeout(LINGER_S):
                        await _read_rest(response)
                elif attempt.wire is not None:
                    self._note_close("unexpected_answer")
                    attempt.wire.close()  # the endpoint may have the job, and is to give it up
        except _NotWrittenError as e:
            log.debug("attempt_unwritten", extra={"id": request.id, "endpoint": self.name, "why": str(e)})
            self.tell(_Over(attempt, e.outcome))
            return
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            spoilt = isinstance(e, _SPOILT) or type(e) is TimeoutError
            event, level = ("spoilt_answer", logging.WARNING) if spoilt else ("attempt_broke", logging.DEBUG)
            log.log(level, event, extra={"id": request.id, "endpoint": self.name, "why": repr(e)})
            if attempt.phase is not _Phase.ACCEPTED:
                unwritten = attempt.phase is _Phase.CONNECTING
                self.tell(_Over(attempt, Outcome.CONNECT_FAILED if unwritten else Outcome.RESET))
            return
        if response.status == 202:
            return
        unprocessed = response.headers.get(messages.NOT_PROCESSED) == "1"
        if response.status in (503, 504) and unprocessed:
            self.tell(_Over(attempt, Outcome.FULL))
            return
        if response.status != 500:
            log.warning(
                "unexpected_answer",
                extra={"endpoint": self.destination.instance_id, "status": response.status, "id": request.id},
            )
        self.tell(_Over(attempt, Outcome.ERROR))

    def _end(self, attempt: _Attempt, outcome: Outcome, result: str | None = None) -> None:
        """The first ending counts; whatever else comes is late."""
        if attempt.over:
            return
        attempt.over = True
        if attempt.timer:
            attempt.timer.cancel()
        exchange = attempt.exchange
        if exchange and not exchange.done():
            # Its 202 may still come and free the connection; from a silent endpoint it never does.
            linger_s = 0.0 if attempt.phase is _Phase.CONNECTING else LINGER_S
            asyncio.get_running_loop().call_later(linger_s, exchange.cancel)
        if self.attempts.get(attempt.request.id) is attempt:
            del self.attempts[attempt.request.id]
        took_us = self.clock.now_us() - attempt.sent_us
        self.report(AttemptEnded(attempt.job, attempt.number, outcome, took_us, result))
        self._retire()

    def _job_event(self, event: JobEvent) -> None:
        attempt = self.attempts.get(event.id)
        if attempt is None or attempt.phase is _Phase.CONNECTING:
            return  # late, repeated or unknown: it is of no attempt that is out here
        if event.state is JobState.STARTED:
            self.report(AttemptProgress(attempt.job, attempt.number))
        elif event.state is JobState.RUNNING:
            self.report(AttemptProgress(attempt.job, attempt.number, event.share))
        elif event.state is JobState.DONE:
            self._end(attempt, Outcome.COMPLETED, event.result)
        else:
            outcome = _ENDINGS[event.state]
            # The same word about a second attempt here may be the first one's, told again: it proves nothing.
            if outcome.never_ran and (event.id, event.state) in self.endings:
                outcome = Outcome.RESET
            self._heard(event.id, event.state)
            self._end(attempt, outcome)

    def _heard(self, request_id: str, state: JobState) -> None:
        self.endings[request_id, state] = None
        if len(self.endings) > 4096:
            del self.endings[next(iter(self.endings))]

    def _expired(self, attempt: _Attempt) -> None:
        if attempt.over:
            return
        if attempt.until_us >= attempt.deadline_us:
            # The client's answer is due now; it is not sent again. The cancel is under way when the ending is
            # told: an endpoint that has left and holds nothing is closed, and a DELETE after that is a fault.
            if not attempt.withdrawn:
                self._call(self._call_off(attempt), f"cancel {attempt.request.id}")
            self._end(attempt, Outcome.TIMEOUT)
        else:
            self._give_up(attempt, Outcome.TIMEOUT)
            # A cancel takes its time where the endpoint is silent, and the client's answer is due in time.
            attempt.until_us = attempt.deadline_us
            self._limit(attempt)

    def _client_gone(self, message: AbandonUnwritten) -> None:
        for attempt in list(self.attempts.values()):
            found = (attempt.job, attempt.number) == (message.job, message.attempt)
            if found and attempt.phase is _Phase.CONNECTING and not attempt.withdrawn:
                self._end(attempt, Outcome.NOT_SENT)

    def _withdraw(self, message: CancelAttempt) -> None:
        for attempt in self.attempts.values():
            if (attempt.job, attempt.number) == (message.job, message.attempt):
                self._give_up(attempt, Outcome.CANCELLED)

    def _give_up(self, attempt: _Attempt, outcome: Outcome) -> None:
        """Called off first, told afterwards: the request must not be out twice."""
        if not attempt.over and not attempt.withdrawn:
            attempt.withdrawn = True
            self._call(self._call_off(attempt, outcome), f"cancel {attempt.request.id}")

    async def _call_off(self, attempt: _Attempt, outcome: Outcome | None = None) -> None:
        """DELETE the job if it was written, and close the connection if no 202 has come; then tell.

        A connection that is closed while its 202 is on the way gives nothing up, and nobody sees that 202 any
        more: so the answer to DELETE is awaited first, with the connection open. DELETE goes on a connection
        of its own and may come before the job itself: then it is said again behind the close.
        """
        exchange, written = attempt.exchange, attempt.phase is _Phase.WRITTEN
        answered = attempt.phase is _Phase.CONNECTING or await self._delete(attempt.request.id)
        if attempt.phase is not _Phase.ACCEPTED and exchange and not exchange.done():
            self._note_close("given_up")
            exchange.cancel()
            await asyncio.wait([exchange])
            await asyncio.sleep(0)  # the socket closes in the turn after its transport
        if written and answered:
            answered = await self._delete(attempt.request.id)
        if not answered and attempt.phase is _Phase.ACCEPTED:
            # It has the job and may never have seen the cancel: another copy would be a second one.
            outcome = outcome and Outcome.TIMEOUT
        if outcome:
            self.tell(_Over(attempt, outcome))

    async def _delete(self, wire_id: str) -> bool:
        """Whether the endpoint has answered: no such job is running there any more."""
        timeout = aiohttp.ClientTimeout(total=self.connect_timeout_s)
        try:
            async with self.session.delete(
                self._url(messages.cancellation_target(wire_id)), timeout=timeout
            ) as response:
                await _read_rest(response)
                if response.status < 500:
                    return True
                why = str(response.status)  # whatever became of the job, this does not say
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            why = repr(e)
        log.warning(
            "cancel_unanswered",
            extra={"endpoint": self.destination.instance_id, "id": wire_id, "why": why},
        )
        return False

    # The rest

    async def _probe(self) -> None:
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S, sock_connect=self.connect_timeout_s)
        try:
            async with self.session.get(self._url("/health"), timeout=timeout) as response:
                await _read_rest(response)
                alive = True  # 503 too: it drains, and finishes what it has
        except (aiohttp.ClientError, OSError, TimeoutError):
            alive = False
        self.report(HealthCheckEnded(self.destination.instance_id, alive))

    def _note_close(self, why: str) -> None:
        """Connections to this worker end from this side."""
        self.metrics.closes[f"worker.{why}"] += 1
        log.debug("connection_closed", extra={"endpoint": self.destination.instance_id, "why": why})

    def _close_idle(self) -> None:
        """A new set of connections; the old one goes once what it carries is over."""
        self._note_close("idle")
        old, self.session = self.session, self._new_session()
        carried = [a.exchange for a in self.attempts.values() if a.exchange and not a.exchange.done()]
        carried += self.calls  # a cancel that this broke would count as unanswered
        self.supervisor.spawn(_close_after(old, carried), f"close {self.name}")

    def _retire(self) -> None:
        if self.destination.lifecycle is Lifecycle.REMOVED and not self.attempts and not self.calls:
            self.report(EndpointRetired(self.destination.instance_id))

    async def close(self) -> None:
        await self.session.close()


async def _read_rest(response: ClientResponse) -> None:
    """Nobody needs the body of an answer; one that is longer than any may be ends its connection."""
    left = messages.MAX_BODY_BYTES
    async for data in response.content.iter_any():
        if (left := left - len(data)) < 0:
            raise aiohttp.ClientPayloadError(f"a body of more than {messages.MAX_BODY_BYTES} bytes")


async def _close_after(session: aiohttp.ClientSession, carried: list[asyncio.Task[Any]]) -> None:
    if carried:
        await asyncio.wait(carried)
    await session.close()
