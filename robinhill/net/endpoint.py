"""An endpoint: the actor that owns the attempts at one worker, their connections, cancels and probes."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from contextvars import ContextVar
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

import aiohttp
from aiohttp.client_reqrep import ClientResponse
from aiohttp.connector import Connection
from yarl import URL

from robinhill.api import Outcome
from robinhill.net import messages
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock
from robinhill.net.figures import Figures
from robinhill.net.messages import Destination, JobEvent, JobRequest, JobState, Lifecycle

log = logging.getLogger(__name__)

RETIRE_SHARE = (
    0.6  # idle connections close at this share of the endpoint's own limit: no send may meet its close
)
PROBE_TIMEOUT_S = 1.0
LINGER_S = 2.0  # how long a connection waits for the 202 of a job that is over
_ENDINGS = {JobState.FAILED: Outcome.ERROR, JobState.RETURNED: Outcome.FULL, JobState.LOST: Outcome.RESET}


# To the endpoint


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Start an attempt; it is given up at ``until_us``, at the client's own limit if ``final``."""

    job: int
    attempt: int
    request: JobRequest
    until_us: int
    final: bool


@dataclass(slots=True, frozen=True)
class Withdraw:
    """Give an attempt up."""

    job: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask the endpoint for its health."""


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the connections that carry nothing."""


@dataclass(slots=True, frozen=True)
class LetGo:
    """Another process is to go on with a request's attempt, if this endpoint has accepted it."""

    job: int
    request_id: str


@dataclass(slots=True, frozen=True)
class Resume:
    """Go on with an attempt that another process has let go; its endpoint has accepted it."""

    job: int
    attempt: int
    request: JobRequest
    until_us: int
    final: bool
    sent_us: int


@dataclass(slots=True, frozen=True)
class Returned:
    """This endpoint has handed a request back to another process: said again, it proves nothing."""

    request_id: str


# From the endpoint


@dataclass(slots=True, frozen=True)
class Started:
    """The endpoint has begun to run an attempt, or tells how far it is."""

    job: int
    attempt: int
    share: float | None = None


@dataclass(slots=True, frozen=True)
class Ended:
    """An attempt is over; ``result`` is set if and only if it was served."""

    job: int
    attempt: int
    outcome: Outcome
    took_us: int
    result: str | None = None


@dataclass(slots=True, frozen=True)
class Probed:
    """What a probe found."""

    instance_id: str
    alive: bool


@dataclass(slots=True, frozen=True)
class Retired:
    """An endpoint that has left the list holds no attempt any more."""

    instance_id: str


@dataclass(slots=True, frozen=True)
class Gone:
    """What became of a LetGo: the attempt, forgotten here, or None while it can't go."""

    job: int
    attempt: Resume | None


FromEndpoint = Started | Ended | Probed | Retired | Gone


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
    final: bool
    sent_us: int
    phase: _Phase = _Phase.CONNECTING
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


ToEndpoint = (
    Dispatch | Withdraw | LetGo | Resume | Returned | Destination | JobEvent | Probe | CloseIdle
    | _Over | _Expired | _CallDone
)  # fmt: skip


class _NotWrittenError(Exception):
    """The endpoint may get nothing new by now; not a byte of the request went out."""


_current: ContextVar[tuple["Endpoint", _Attempt] | None] = ContextVar("current attempt", default=None)


class _CheckedRequest(aiohttp.ClientRequest):
    """Looks at the list again once a connection is there, at the moment of the write.

    A connect takes up to its time-out, in which the endpoint may have been told to leave; and up to here
    nothing is written, which is what proves that a job never ran.
    """

    async def send(self, conn: Connection) -> ClientResponse:
        if current := _current.get():
            endpoint, attempt = current
            if attempt.over or not endpoint.open:
                raise _NotWrittenError
            attempt.phase = _Phase.WRITTEN
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
            current[0].figures.tries += 1


class Endpoint(Actor[ToEndpoint]):
    """One worker of the destination set."""

    def __init__(
        self,
        destination: Destination,
        supervisor: Supervisor,
        clock: Clock,
        connect_timeout_us: int,
        keepalive_us: int,
        figures: Figures,
        report: Callable[[FromEndpoint], None],
        may_send: Callable[[Destination], bool] | None = None,
    ) -> None:
        super().__init__(f"endpoint {destination.instance_id}", supervisor)
        self.destination = destination
        self.clock = clock
        self.figures = figures
        self.report = report
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

    def _new_session(self) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=0, keepalive_timeout=self.retire_s),
            request_class=_CheckedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=self.connect_timeout_s),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            auto_decompress=False,
        )
        # The client sends idempotent requests again after a broken connection; nothing here may go out twice.
        session._retry_connection = False
        return session

    def receive(self, message: ToEndpoint) -> None:
        match message:
            case Dispatch():
                self._dispatch(message)
            case JobEvent():
                self._job_event(message)
            case Withdraw():
                self._withdraw(message)
            case LetGo():
                self._let_go(message)
            case Resume():
                self._resume(message)
            case Returned(request_id=request_id):
                self._heard(request_id, JobState.RETURNED)
            case Destination():
                moved = message.host_port != self.destination.host_port
                self.destination = message
                if moved:
                    self._close_idle()
                self._retire()
            case Probe():
                # One that has left may be told to close at any moment, and its connections with it.
                if self.destination.lifecycle is Lifecycle.LEFT:
                    self.report(Probed(self.destination.instance_id, False))
                else:
                    self._call(self._probe(), f"probe {self.name}")
            case CloseIdle():
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

    def _dispatch(self, message: Dispatch) -> None:
        request, now = message.request, self.clock.now_us()
        attempt = _Attempt(message.job, message.attempt, request, message.until_us, message.final, now)
        self.attempts[request.id] = attempt
        self._limit(attempt)
        attempt.exchange = self.supervisor.spawn(self._exchange(attempt), f"attempt {request.id}")

    def _limit(self, attempt: _Attempt) -> None:
        delay_s = max(0, attempt.until_us - self.clock.now_us()) / 1e6
        attempt.timer = asyncio.get_running_loop().call_later(delay_s, self.tell, _Expired(attempt))

    def _let_go(self, message: LetGo) -> None:
        attempt = self.attempts.get(message.request_id)
        gone = None
        if attempt and attempt.phase is _Phase.ACCEPTED and not (attempt.over or attempt.withdrawn):
            attempt.over = True
            if attempt.timer:
                attempt.timer.cancel()
            del self.attempts[message.request_id]
            gone = Resume(
                attempt.job, attempt.number, attempt.request, attempt.until_us, attempt.final, attempt.sent_us
            )
        self.report(Gone(message.job, gone))

    def _resume(self, message: Resume) -> None:
        attempt = _Attempt(
            message.job, message.attempt, message.request, message.until_us, message.final, message.sent_us,
            _Phase.ACCEPTED,
        )  # fmt: skip
        self.attempts[message.request.id] = attempt
        self._limit(attempt)

    async def _exchange(self, attempt: _Attempt) -> None:
        """Hand the job over; what the answer or its absence proves is PROTOCOL's table."""
        request = attempt.request
        _current.set((self, attempt))
        headers = dict(request.headers)
        headers[messages.TIMEOUT] = messages.write_timeout(attempt.until_us - self.clock.now_us())
        try:
            async with self.session.post(
                self._url(request.target), data=request.body, headers=headers, allow_redirects=False
            ) as response:
                # Told before the rest of the answer: a cancel from now on is a DELETE.
                if response.status == 202:
                    attempt.phase = _Phase.ACCEPTED
                await response.read()
        except (_NotWrittenError, aiohttp.ClientError, OSError, TimeoutError) as e:
            log.debug("attempt_broke", extra={"id": request.id, "endpoint": self.name, "why": repr(e)})
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
            asyncio.get_running_loop().call_later(LINGER_S, exchange.cancel)
        if self.attempts.get(attempt.request.id) is attempt:
            del self.attempts[attempt.request.id]
        took_us = self.clock.now_us() - attempt.sent_us
        self.report(Ended(attempt.job, attempt.number, outcome, took_us, result))
        self._retire()

    def _job_event(self, event: JobEvent) -> None:
        attempt = self.attempts.get(event.id)
        if attempt is None or attempt.phase is _Phase.CONNECTING:
            return  # late, repeated or unknown: it is of no attempt that is out here
        if event.state is JobState.STARTED:
            self.report(Started(attempt.job, attempt.number))
        elif event.state is JobState.RUNNING:
            self.report(Started(attempt.job, attempt.number, event.share))
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
        if attempt.final and not attempt.over:
            # The client's answer is due now; it is not sent again. The cancel is under way when the ending is
            # told: an endpoint that has left and holds nothing is closed, and a DELETE after that is a fault.
            self._call(self._call_off(attempt), f"cancel {attempt.request.id}")
            self._end(attempt, Outcome.TIMEOUT)
        else:
            self._give_up(attempt, Outcome.TIMEOUT)

    def _withdraw(self, message: Withdraw) -> None:
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
                self._url(messages.cancel_target(wire_id)), timeout=timeout
            ) as response:
                await response.read()
                return True
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            log.warning(
                "cancel_unanswered",
                extra={"endpoint": self.destination.instance_id, "id": wire_id, "why": repr(e)},
            )
            return False

    # The rest

    async def _probe(self) -> None:
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S, sock_connect=self.connect_timeout_s)
        try:
            async with self.session.get(self._url("/health"), timeout=timeout) as response:
                await response.read()
                alive = True  # 503 too: it drains, and finishes what it has
        except (aiohttp.ClientError, OSError, TimeoutError):
            alive = False
        self.report(Probed(self.destination.instance_id, alive))

    def _close_idle(self) -> None:
        """A new set of connections; the old one goes once what it carries is over."""
        old, self.session = self.session, self._new_session()
        carried = [a.exchange for a in self.attempts.values() if a.exchange and not a.exchange.done()]
        carried += self.calls  # a cancel that this broke would count as unanswered
        self.supervisor.spawn(_close_after(old, carried), f"close {self.name}")

    def _retire(self) -> None:
        if self.destination.lifecycle is Lifecycle.LEFT and not self.attempts and not self.calls:
            self.report(Retired(self.destination.instance_id))

    async def close(self) -> None:
        await self.session.close()


async def _close_after(session: aiohttp.ClientSession, carried: list[asyncio.Task[Any]]) -> None:
    if carried:
        await asyncio.wait(carried)
    await session.close()
