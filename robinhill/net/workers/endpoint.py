"""The endpoint actor: it owns the attempts at one worker, their timeouts and cancels, and its health checks.

``client`` makes the HTTP calls, and ``connection`` runs this actor's checks right before an attempt's first
byte is written. The dispatcher decides which requests are sent to the worker. Workers report the progress and
the end of a job by callbacks.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from robinhill import protocol
from robinhill.api import Outcome
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock
from robinhill.net.discovery.catch_up import CatchUp
from robinhill.net.metrics import Metrics
from robinhill.net.workers.attempt import NotWrittenError, Phase, WorkerAttempt
from robinhill.net.workers.client import LINGER_S, WorkerClient, close_after
from robinhill.net.workers.messages import (
    AbandonAttempt,
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
    ResumeAttempt,
    StartAttempt,
)
from robinhill.placement.list_lease import ListLease
from robinhill.protocol import JobEvent, JobState, Lifecycle, ListedEndpoint

log = logging.getLogger(__name__)

# Share of the worker's keep-alive time after which this scheduler closes an idle connection. It is below 1 so
# that no request is sent on a connection that the worker is about to close.
MAX_IDLE_SHARE = 0.6
# Outcome of an attempt whose worker reports by callback that the job has ended without a result.
_OUTCOMES = {JobState.FAILED: Outcome.ERROR, JobState.RETURNED: Outcome.FULL, JobState.LOST: Outcome.RESET}


@dataclass(slots=True, frozen=True)
class _AttemptFinished:
    """The outcome of an attempt, as determined by its HTTP exchange or by its cancel."""

    attempt: WorkerAttempt
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class _AttemptExpired:
    """An attempt has reached ``until_us``, the time at which it expires."""

    attempt: WorkerAttempt


@dataclass(slots=True, frozen=True)
class _CallDone:
    """The task of a cancel or a health check is done."""

    task: asyncio.Task[None]


EndpointMessage = (
    StartAttempt
    | CancelAttempt
    | AbandonAttempt
    | ReleaseAttempt
    | ResumeAttempt
    | ListedEndpoint
    | JobEvent
    | CheckHealth
    | CloseIdleConnections
    | _AttemptFinished
    | _AttemptExpired
    | _CallDone
)


@dataclass(slots=True, frozen=True)
class SendPolicy:
    """The conditions for sending an attempt, which are evaluated right before its first byte is written."""

    may_send: Callable[[ListedEndpoint], bool] | None = (
        None  # whether cordons, and the lease on them, allow sends to a worker; None: cordons are not in use
    )
    list_lease: ListLease | None = None  # the lease on the endpoint list; None: no lease is required
    catch_up: CatchUp | None = None  # delays sends after this process stalled; None: no detection


class Endpoint(Actor[EndpointMessage]):
    """The actor for one worker of the endpoint list; it is also the ``WriteGuard`` of its attempts."""

    def __init__(
        self,
        destination: ListedEndpoint,
        supervisor: Supervisor,
        clock: Clock,
        connect_timeout_us: int,
        keepalive_us: int,
        metrics: Metrics,
        report: Callable[[EndpointReport], None],
        policy: SendPolicy | None = None,
    ) -> None:
        super().__init__(f"endpoint {destination.instance_id}", supervisor)
        self.destination = destination
        self.clock = clock
        self.metrics = metrics
        self.report = report
        self.policy = policy or SendPolicy()
        max_idle_s = keepalive_us * MAX_IDLE_SHARE / 1e6
        connect_timeout_s = connect_timeout_us / 1e6
        self.client = WorkerClient(
            destination.instance_id, destination.host_port, connect_timeout_s, max_idle_s, metrics
        )
        self.attempts: dict[str, WorkerAttempt] = {}  # attempts that have not ended, by request id
        self.calls: set[asyncio.Task[None]] = set()  # running cancels and health checks
        self._handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            JobEvent: self._on_job_event,
            CancelAttempt: self._cancel_attempt,
            AbandonAttempt: self._abandon_attempt,
            ReleaseAttempt: self._release_attempt,
            ResumeAttempt: self._resume_attempt,
            ListedEndpoint: self._on_listed,
            CheckHealth: self._on_check_health,
            CloseIdleConnections: lambda _: self._close_idle_connections(),
            _AttemptFinished: lambda message: self._end(message.attempt, message.outcome),
            _AttemptExpired: lambda message: self._on_expired(message.attempt),
            _CallDone: self._on_call_done,
        }

    def receive(self, message: EndpointMessage) -> None:
        """Handle one message."""
        self._handlers[type(message)](message)

    # Checks right before a write (WriteGuard)

    async def wait_until_caught_up(self) -> None:
        """Wait until all messages from discovery that arrived while this process was stalled are handled."""
        # The event loop reads available data in each iteration, so one check per iteration is enough.
        while self.policy.catch_up and self.policy.catch_up.is_catching_up():  # noqa: ASYNC110
            await asyncio.sleep(0)

    def check_sendable(self, attempt: WorkerAttempt) -> None:
        """Raise NotWrittenError if the attempt, of which no byte was written yet, may no longer be sent."""
        now, list_lease = self.clock.now_us(), self.policy.list_lease
        if not attempt.client_waiting():
            raise NotWrittenError(Outcome.NOT_SENT)
        if now >= attempt.until_us:
            raise NotWrittenError(Outcome.TIMEOUT)
        if not attempt.active:
            raise NotWrittenError(Outcome.CANCELLED)
        if list_lease and not list_lease.is_valid(now):
            raise NotWrittenError(Outcome.CONNECT_FAILED)  # does not count as a failure of the worker
        # Nothing is sent to a worker that is draining, removed or cordoned. A retry of a request with an
        # idempotency key must also be written before ``write_until_us`` if the job may already have run:
        # workers drop duplicates of the request until then, and would run the job again after that.
        if not self._accepts_sends() or now >= attempt.write_until_us:
            raise NotWrittenError(Outcome.CONNECT_FAILED)

    def _accepts_sends(self) -> bool:
        may_send = self.policy.may_send
        active = self.destination.lifecycle is Lifecycle.ACTIVE
        return active and (may_send is None or may_send(self.destination))

    def timeout_header(self, attempt: WorkerAttempt) -> str:
        """The value of the attempt's timeout header: the time until this scheduler cancels the attempt."""
        return protocol.format_timeout(attempt.until_us - self.clock.now_us())

    def record_send(self, attempt: WorkerAttempt) -> None:
        """Count and log the origin of the endpoint list that is in use when the attempt is sent."""
        list_lease = self.policy.list_lease
        if list_lease is None:
            return
        self.metrics.sends[list_lease.origin] += 1
        if log.isEnabledFor(logging.DEBUG):
            fields = {
                "id": attempt.request.id,
                "endpoint": self.destination.instance_id,
                "attempt": attempt.number,
            }
            log.debug("attempt_sent", extra=fields | list_lease.log_fields(self.clock.now_us()))

    def record_fully_written(self, _: WorkerAttempt) -> None:
        """Count an attempt whose last byte is written."""
        self.metrics.attempts_sent += 1

    # Attempts

    def _start_attempt(self, message: StartAttempt) -> None:
        request = message.request
        attempt = WorkerAttempt(
            job=message.job,
            number=message.attempt,
            request=request,
            until_us=message.until_us,
            deadline_us=message.deadline_us,
            sent_us=self.clock.now_us(),
            write_until_us=message.write_until_us,
            client_waiting=message.client_waiting,
        )
        self.attempts[request.id] = attempt
        self._set_timer(attempt)
        attempt.exchange = self.supervisor.spawn(self._exchange(attempt), f"attempt {request.id}")

    def _set_timer(self, attempt: WorkerAttempt) -> None:
        delay_s = max(0, attempt.until_us - self.clock.now_us()) / 1e6
        loop = asyncio.get_running_loop()
        attempt.timer = loop.call_later(delay_s, self.tell, _AttemptExpired(attempt))

    async def _exchange(self, attempt: WorkerAttempt) -> None:
        if outcome := await self.client.submit(attempt, self):
            self.tell(_AttemptFinished(attempt, outcome))

    def _end(
        self, attempt: WorkerAttempt, outcome: Outcome, result: str | None = None, returned: bool = False
    ) -> None:
        """End the attempt and report its outcome, unless the attempt has already ended.

        ``returned``: the worker has returned the job by a callback.
        """
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer:
            attempt.timer.cancel()
        exchange = attempt.exchange
        if exchange and not exchange.done():
            # A callback or a timeout has ended the attempt before the response to its POST. If the response
            # (202) still arrives, the connection becomes reusable. The wait for it is limited, because an
            # unresponsive worker never sends it.
            linger_s = 0.0 if attempt.phase is Phase.CONNECTING else LINGER_S
            asyncio.get_running_loop().call_later(linger_s, exchange.cancel)
        if self.attempts.get(attempt.request.id) is attempt:
            del self.attempts[attempt.request.id]
        took_us = self.clock.now_us() - attempt.sent_us
        self.report(AttemptEnded(attempt.job, attempt.number, outcome, took_us, result, returned))
        self._retire_if_removed()

    def _on_job_event(self, event: JobEvent) -> None:
        attempt = self.attempts.get(event.id)
        if attempt is None or attempt.phase is Phase.CONNECTING:
            return  # the callback is late, repeated or unknown: it concerns no attempt in flight
        if event.state is JobState.STARTED:
            self.report(AttemptProgress(attempt.job, attempt.number))
        elif event.state is JobState.RUNNING:
            self.report(AttemptProgress(attempt.job, attempt.number, event.share))
        elif event.state is JobState.DONE:
            self._end(attempt, Outcome.COMPLETED, event.result)
        else:
            self._end(attempt, _OUTCOMES[event.state], returned=event.state is JobState.RETURNED)

    # Timeouts and cancels

    def _on_expired(self, attempt: WorkerAttempt) -> None:
        if attempt.ended:
            return
        if attempt.until_us >= attempt.deadline_us:
            # The client's deadline is reached, and no further attempt is made. The cancel is spawned before
            # the attempt ends: the endpoint of a removed worker is closed once it has neither attempts nor
            # calls, and then no DELETE can be sent.
            if not attempt.cancel_requested:
                self._spawn_call(self._cancel_at_worker(attempt), f"cancel {attempt.request.id}")
            self._end(attempt, Outcome.TIMEOUT)
        else:
            self._cancel(attempt, Outcome.TIMEOUT)
            # A cancel at an unresponsive worker lasts until the cancel's timeout, but the client must be
            # answered by its deadline. The timer is therefore set again, to end the attempt at the deadline.
            attempt.until_us = attempt.deadline_us
            self._set_timer(attempt)

    def _cancel_attempt(self, message: CancelAttempt) -> None:
        for attempt in self.attempts.values():
            if (attempt.job, attempt.number) == (message.job, message.attempt):
                self._cancel(attempt, Outcome.CANCELLED)

    def _abandon_attempt(self, message: AbandonAttempt) -> None:
        for attempt in list(self.attempts.values()):
            matches = (attempt.job, attempt.number) == (message.job, message.attempt)
            if not matches:
                continue
            if attempt.phase is Phase.CONNECTING and not attempt.cancel_requested:
                self._end(attempt, Outcome.NOT_SENT)
            else:
                attempt.request = replace(attempt.request, body=b"")  # a running exchange has the body

    def _cancel(self, attempt: WorkerAttempt, outcome: Outcome) -> None:
        """Cancel the attempt at the worker, then end the attempt with ``outcome``.

        This order prevents two attempts of the request from running at the same time: the next attempt starts
        only after the end of the cancelled attempt was reported.
        """
        if attempt.active:
            attempt.cancel_requested = True
            self._spawn_call(self._cancel_at_worker(attempt, outcome), f"cancel {attempt.request.id}")

    async def _cancel_at_worker(self, attempt: WorkerAttempt, outcome: Outcome | None = None) -> None:
        """Cancel the attempt at the worker by a DELETE of the job and a close of the connection.

        The DELETE is sent if writing of the job's POST has begun, and the connection is closed if the worker
        has not accepted the job (202). Closing a connection while its 202 is in transit does not cancel the
        job, and the 202 is lost. The connection therefore stays open until the DELETE is answered. The DELETE
        uses another connection and may overtake the job's POST; for that case it is repeated after the close.
        At the end the outcome is reported; with ``outcome`` None, nothing is reported.
        """
        exchange, written = attempt.exchange, attempt.phase is Phase.WRITE_STARTED
        request_id = attempt.request.id
        answered = attempt.phase is Phase.CONNECTING or await self.client.cancel(request_id)
        if attempt.phase is not Phase.ACCEPTED and exchange and not exchange.done():
            self.client.record_close("given_up")
            exchange.cancel()
            await asyncio.wait([exchange])
            await asyncio.sleep(0)  # asyncio closes the socket one loop iteration after its transport
        if written and answered:
            answered = await self.client.cancel(request_id)
        if not answered and attempt.phase is Phase.ACCEPTED:
            # The worker has accepted the job and may not have received the cancel, so that a retry could run
            # the job twice. The outcome is therefore a timeout, not a confirmed cancel.
            outcome = outcome and Outcome.TIMEOUT
        if outcome:
            self.tell(_AttemptFinished(attempt, outcome))

    def _spawn_call(self, call: Coroutine[Any, Any, None], name: str) -> None:
        """Run a cancel or a health check as a task; the endpoint does not retire before the task is done."""
        task = self.supervisor.spawn(call, name)
        self.calls.add(task)
        task.add_done_callback(lambda done: self.tell(_CallDone(done)))

    def _on_call_done(self, message: _CallDone) -> None:
        self.calls.discard(message.task)
        self._retire_if_removed()

    # Hand-over to and from another process of this scheduler

    def _release_attempt(self, message: ReleaseAttempt) -> None:
        attempt = self.attempts.get(message.request_id)
        released = None
        if attempt and attempt.phase is Phase.ACCEPTED and attempt.active:
            attempt.ended = True
            if attempt.timer:
                attempt.timer.cancel()
            del self.attempts[message.request_id]
            released = ResumeAttempt(
                job=attempt.job,
                attempt=attempt.number,
                request=attempt.request,
                until_us=attempt.until_us,
                deadline_us=attempt.deadline_us,
                sent_us=attempt.sent_us,
            )
        self.report(AttemptReleased(message.job, released))
        self._retire_if_removed()

    def _resume_attempt(self, message: ResumeAttempt) -> None:
        attempt = WorkerAttempt(
            job=message.job,
            number=message.attempt,
            request=message.request,
            until_us=message.until_us,
            deadline_us=message.deadline_us,
            sent_us=message.sent_us,
            phase=Phase.ACCEPTED,
        )
        self.attempts[message.request.id] = attempt
        self._set_timer(attempt)

    # The worker's address, health and connections

    def _on_listed(self, destination: ListedEndpoint) -> None:
        moved = destination.host_port != self.destination.host_port
        self.destination = destination
        if moved:
            self.client.host_port = destination.host_port
            self._close_idle_connections()
        self._retire_if_removed()

    def _on_check_health(self, _: CheckHealth) -> None:
        # No check is started at a removed worker, as its endpoint and connections may be closed at any time.
        if self.destination.lifecycle is Lifecycle.REMOVED:
            self.report(HealthCheckEnded(self.destination.instance_id, False))
        else:
            self._spawn_call(self._check_health(), f"health check {self.name}")

    async def _check_health(self) -> None:
        alive = await self.client.is_alive()
        self.report(HealthCheckEnded(self.destination.instance_id, alive))

    def _close_idle_connections(self) -> None:
        """Open new connections for all later calls.

        The old connections are closed once all exchanges, cancels and health checks on them have ended.
        """
        old = self.client.replace_session()
        exchanges = (attempt.exchange for attempt in self.attempts.values())
        pending = [exchange for exchange in exchanges if exchange and not exchange.done()]
        pending += self.calls  # a cancel counts as unanswered if its connection is closed before the answer
        self.supervisor.spawn(close_after(old, pending), f"close {self.name}")

    def _retire_if_removed(self) -> None:
        if self.destination.lifecycle is Lifecycle.REMOVED and not self.attempts and not self.calls:
            self.report(EndpointRetired(self.destination.instance_id))

    async def close(self) -> None:
        """Close all connections to the worker."""
        await self.client.close()
