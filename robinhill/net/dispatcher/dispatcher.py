"""The dispatcher: the actor that passes events to the decision module and performs its actions.

It owns the decision module (``Balancer``), the requests in flight, the endpoints and the lease on the
endpoint list. While this lease is lost, no job is sent. The dispatcher leaves the choice of workers to the
decision module, and does I/O only through endpoints and through the clients' reply futures.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from robinhill import api, protocol
from robinhill.config import Config
from robinhill.logic import Balancer
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock
from robinhill.net.dispatcher.decision_timers import DecisionTimers
from robinhill.net.dispatcher.endpoint_table import EndpointTable
from robinhill.net.dispatcher.in_flight import InFlightRequest, InFlightRequests, refuse_duplicate
from robinhill.net.dispatcher.messages import (
    DISCOVERY_MESSAGES,
    AdoptRequest,
    ClientDisconnected,
    CordonsChanged,
    DiscoveryAddressChanged,
    DiscoveryUnreachable,
    DispatcherMessage,
    EndpointListReceived,
    ExecutionStarted,
    FirstAttemptSent,
    IdClaimed,
    ListConfirmed,
    PredecessorExited,
    PredecessorListReceived,
    ReleaseRequest,
    RequestAccepted,
    SendLeaseChanged,
    SetWorkerDisabled,
    TimerDue,
)
from robinhill.net.dispatcher.request_handover import (
    DispatcherState,
    RequestHandover,
    export_dispatcher,
    import_balancer,
    import_dispatcher,
)
from robinhill.net.dispatcher.traffic_recorder import TrafficRecorder
from robinhill.net.dispatcher.worker_restrictions import WorkerRestrictions
from robinhill.net.handover.messages import Claim
from robinhill.net.metrics import Metrics
from robinhill.net.operators.disabled_workers import DisabledWorkerStore
from robinhill.net.workers.messages import (
    AbandonAttempt,
    AttemptEnded,
    AttemptProgress,
    AttemptReleased,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    EndpointRetired,
    HealthCheckEnded,
    StartAttempt,
)
from robinhill.placement import idempotency
from robinhill.placement.list_lease import ListLease, ListOrigin
from robinhill.protocol import DONE, Answer, EndpointList, JobEvent, JobRequest, Lifecycle, ListedEndpoint

log = logging.getLogger(__name__)

Json = dict[str, Any]
NO_SUCH_WORKER = Answer(404, b"no such worker\n")
NOT_SAVED = Answer(500, b"the list of disabled workers could not be saved; nothing was changed\n")


class IdClaims(Protocol):
    """Asks the process that decides about ids, if it is another one, whether an id may be used."""

    @property
    def claims_needed(self) -> bool:
        """Whether another process decides if the id of a new request is in use."""

    async def claim(self, request_id: str) -> Claim:
        """Ask that process whether this one may accept a request with this id."""


class Dispatcher(Actor[DispatcherMessage]):
    """Passes events to the decision module, and the resulting actions to endpoints and clients."""

    def __init__(
        self,
        config: Config,
        supervisor: Supervisor,
        clock: Clock,
        metrics: Metrics,
        list_lease: ListLease | None = None,
    ) -> None:
        """``list_lease``: the lease on the endpoint list; None: the list may be used whatever its age."""
        super().__init__("dispatcher", supervisor)
        self.config = config
        self.clock = clock
        self.metrics = metrics
        self.list_lease = metrics.list_lease = list_lease
        # Set while the lease on the endpoint list is held, as last notified to the decision module.
        self.list_lease_held = asyncio.Event()
        # Returns whether the lease on the cordons is held; None: sending needs no such lease.
        self.send_lease: Callable[[], bool] | None = None
        self.balancer = Balancer(config.settings, config.seed)
        self.in_flight = InFlightRequests()
        self.idempotency_keys = idempotency.IdempotencyKeys()
        self.restrictions = WorkerRestrictions(DisabledWorkerStore(config.folder), clock.now_us())
        self.table = EndpointTable(
            config, supervisor, clock, metrics, self.restrictions, self.tell, list_lease
        )
        self.timers = DecisionTimers(clock, self.tell)
        self.handover = RequestHandover(
            self.balancer, self.in_flight, self.table, self.timers, clock, self._perform
        )
        # Called with workers' reports about requests that this process does not have, or that are in transit
        # to the other process of this scheduler.
        self.forward_event: Callable[[JobEvent], None] = lambda _: None
        # None: admission control is not configured.
        self.notify_admission: Callable[[FirstAttemptSent | ExecutionStarted], None] | None = None
        self.on_list_changed: Callable[[], None] | None = None  # called after each endpoint list is applied
        self.id_claims: IdClaims | None = None  # None: this process is configured without hand-over
        self._claiming: set[str] = set()  # ids of received requests that another process is asked about
        self.traffic_recorder: TrafficRecorder | None = None
        self._tenant_numbers = {name: number for number, name in enumerate(config.tenants)}
        # True: no message is handled until all that discovery sent during a stall of this process is read.
        self._reading_backlog = False
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestAccepted: self._receive_request,
            IdClaimed: self._on_id_claimed,
            JobEvent: self._on_job_event,
            AttemptProgress: self._on_attempt_progress,
            AttemptEnded: self._on_attempt_ended,
            TimerDue: self._on_timer,
            ClientDisconnected: lambda message: self._on_client_disconnected(message.request),
            EndpointListReceived: self._on_list,
            ListConfirmed: self._renew_list_lease,
            DiscoveryUnreachable: self._renew_list_lease,
            DiscoveryAddressChanged: self._renew_list_lease,
            SetWorkerDisabled: self._on_set_worker_disabled,
            CordonsChanged: self._on_cordons,
            SendLeaseChanged: lambda _: None,  # `receive` reads the lease before it handles any message
            HealthCheckEnded: lambda message: self._decide(
                api.HealthCheckEnded(message.instance_id, message.alive)
            ),
            ReleaseRequest: self.handover.release,
            AttemptReleased: self.handover.attempt_released,
            AdoptRequest: self.handover.adopt,
            PredecessorListReceived: self._on_predecessor_list,
            PredecessorExited: lambda _: self.in_flight.release_predecessor_ids(),
            EndpointRetired: self._on_endpoint_retired,
        }
        self._performers: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Reject: self._reject,
            api.Fail: lambda action: self._answer(action.job, protocol.FAILED),
            api.Cancel: self._cancel,
            api.SetTimer: lambda action: self.timers.set(action.after_us, action.tag),
            api.Subscribe: lambda _: None,  # the discovery watch always runs and needs no subscription
            api.CheckHealth: self._check_health,
            api.CloseIdle: self._close_idle_connections,
            api.Log: lambda action: log.info("balancer_message", extra={"text": action.text}),
        }

    def use_cordons(
        self,
        may_send: Callable[[ListedEndpoint], bool],
        on_list_changed: Callable[[], None],
        send_lease: Callable[[], bool] | None = None,
    ) -> None:
        """Send only to workers to which the cordons allow sending; must be called before ``start``.

        ``may_send`` is called immediately before each write to a worker, and returns whether cordons allow
        it. ``on_list_changed`` is called after each endpoint list is applied. ``send_lease`` returns whether
        the lease on the cordons is held; None: no lease is needed for sending.
        """
        self.table.may_send = may_send
        self.on_list_changed = on_list_changed
        if send_lease:
            self.send_lease, self.restrictions.send_lease_held = send_lease, False

    def listed(self) -> list[ListedEndpoint]:
        """The workers on the endpoint list, without removed ones."""
        return self.table.listed()

    def start(self, known: EndpointList | None = None) -> None:
        """Start with a predecessor's endpoint list, or else with the one in the configuration."""
        now = self.clock.now_us()
        self._perform(self.balancer.start(now))
        if self.list_lease is None or self.list_lease.is_valid(now):
            self.list_lease_held.set()
        else:
            self._decide(api.ListLeaseChanged(False))
        self._on_list(EndpointListReceived(known or self.config.known, cached=True))
        super().start()

    def ready(self) -> bool:
        """Whether a message may be handled now; called by the actor loop.

        After a stall of this process, the method returns False until the input from discovery has been read.
        Then it moves the messages from discovery to the front of the mailbox, and returns True.
        """
        if self.table.catch_up and self.table.catch_up.has_unread_input():
            self._reading_backlog = True
            return False
        if self._reading_backlog:
            self._reading_backlog = False
            first = [m for m in self._mailbox if isinstance(m, DISCOVERY_MESSAGES)]
            others = [m for m in self._mailbox if not isinstance(m, DISCOVERY_MESSAGES)]
            self._mailbox.clear()
            self._mailbox.extend([*first, *others])
        return True

    def receive(self, message: DispatcherMessage) -> None:
        """Handle one message, after checking whether the lease on cordons or endpoint list has changed."""
        if self.send_lease and self.send_lease() is not self.restrictions.send_lease_held:
            self._set_send_lease(not self.restrictions.send_lease_held)
        self._check_list_lease()
        self._handlers[type(message)](message)

    def _decide(self, event: api.Event) -> None:
        self._perform(self.balancer.handle(self.clock.now_us(), event))

    def _perform(self, actions: list[api.Action]) -> None:
        for action in actions:
            self._performers[type(action)](action)

    # Requests

    def _receive_request(self, message: RequestAccepted) -> None:
        """Refuse a request whose id is in use; accept it otherwise, once the successor allows it."""
        request_id = message.request.id
        if self.in_flight.is_known(request_id) or request_id in self._claiming:
            refuse_duplicate(message)
        elif self.id_claims and self.id_claims.claims_needed:
            self._claiming.add(request_id)
            self.supervisor.spawn(self._claim(self.id_claims, message), f"claim {request_id}")
        else:
            self._accept(message)

    async def _claim(self, id_claims: IdClaims, message: RequestAccepted) -> None:
        self.tell(IdClaimed(message, await id_claims.claim(message.request.id)))

    def _on_id_claimed(self, message: IdClaimed) -> None:
        received = message.received
        self._claiming.discard(received.request.id)
        if message.claim is Claim.GRANTED:
            self._accept(received)
        elif message.claim is Claim.REFUSED:
            refuse_duplicate(received)
        elif not received.reply.done():
            # The id may be in use. The request was not sent, so that a retry under another id is safe.
            refusal = protocol.fail_fast()
            self.metrics.rejections["unclaimed"] += 1
            self.metrics.count_answer(received.request.job_class, refusal)
            received.reply.set_result(refusal)

    def _accept(self, message: RequestAccepted) -> None:
        request = message.request
        if message.reply.cancelled():  # the client has disconnected already
            self.in_flight.remember(request.id)
            return
        deadline_us = message.arrived_us + request.time_left_us
        job = self.in_flight.add(request, deadline_us, message.reply).job
        if self.traffic_recorder and message.caller is None:  # otherwise the admission actor has recorded it
            self.traffic_recorder.record_arrival(request, message.arrived_us, "")
        arrival = api.Request(
            job,
            request.job_class,
            max(1, deadline_us - self.clock.now_us()),
            self._tenant_numbers.get(request.tenant, len(self._tenant_numbers)),  # other tenants: no quota
            request.cost_us,
            request.client_repeat,
        )
        if request.key:
            window = self.idempotency_keys.dedup_window(message.arrived_us, request.job_class, request.key)
            if window:
                arrival.group, arrival.group_until_us = window.group, window.until_us
        self._decide(api.Arrived(arrival))

    def _reject(self, action: api.Reject) -> None:
        self.metrics.rejections[action.why.value] += 1
        if log.isEnabledFor(logging.DEBUG):
            request = self.in_flight.by_number[action.job]
            fields = {
                "id": request.request.id,
                "why": action.why.value,
                "attempts": ", ".join(request.attempt_summaries),
            }
            log.debug("request_rejected", extra=fields | self._list_fields())
        self._answer(action.job, protocol.fail_fast(action.retry_in_us))

    def _answer(self, job: int, answer: Answer) -> None:
        request = self.in_flight.by_number[job]
        request.answer_pending = False
        if request.release_reply:
            self.handover.abort_release(request)
        self.metrics.count_answer(request.request.job_class, answer)
        if self.traffic_recorder:
            self.traffic_recorder.record_answer(request.request, answer.status)
        if answer is protocol.FAILED:
            name = self.config.classes[request.request.job_class]
            log.warning(
                "request_failed",
                extra={
                    "id": request.request.id,
                    "class": name,
                    "attempts": ", ".join(request.attempt_summaries),
                },
            )
        if not request.reply.done():
            request.reply.set_result(answer)
        self.in_flight.remove_if_finished(request)

    def _on_client_disconnected(self, accepted: JobRequest) -> None:
        request = self.in_flight.find(accepted)
        if request is None or not request.answer_pending:
            return
        request.answer_pending = False
        if request.release_reply:
            self.handover.abort_release(request)
        self._decide(api.ClientDisconnected(request.job))
        for attempt in request.attempts_in_flight:
            if endpoint := self.table.endpoints.get(request.endpoints[attempt]):
                endpoint.tell(AbandonAttempt(request.job, attempt))
        if request.attempts_in_flight and request.job in self.in_flight.by_number:
            self.in_flight.abandon(request)
        self.in_flight.remove_if_finished(request)

    # Attempts

    def _send(self, action: api.Send) -> None:
        request = self.in_flight.by_number[action.job]
        if request.attempt_summaries:
            self._record_retry(request)
        until_us = request.deadline_us
        if action.timeout_us:
            until_us = min(until_us, self.clock.now_us() + action.timeout_us)
        attempt = len(request.endpoints)
        request.endpoints.append(action.address)
        request.started_us = 0
        request.attempts_in_flight.add(attempt)
        self._record_idempotency_key(request.request, (action.job, attempt), action.address)
        if self.notify_admission and attempt == 0:
            self.notify_admission(FirstAttemptSent(request.request))
        self.table.endpoints[action.address].tell(
            StartAttempt(
                action.job,
                attempt,
                request.request,
                until_us,
                request.deadline_us,
                self._write_deadline_us(request),
                lambda: request.wanted,
            )
        )

    def _record_retry(self, request: InFlightRequest) -> None:
        if request.last_outcome:
            self.metrics.retries[request.last_outcome.value] += 1
        log.debug("attempt_retried", extra={"id": request.request.id, "after": request.attempt_summaries[-1]})

    def _write_deadline_us(self, request: InFlightRequest) -> int:
        """The time until which the next attempt may be written to the connection.

        For a retry of a keyed request (one with an idempotency key) that may already have run, it is the end
        of the window in which workers drop duplicates of the request, because the window may end while the
        endpoint is still connecting to the worker. Otherwise it is the request's deadline.
        """
        job_class = self.config.settings.classes[request.request.job_class]
        job = self.balancer.jobs.get(request.job)
        repeated = job is not None and job.may_have_run and job_class.repeat is api.Repeat.KEYED
        return job.group_until_us if job and repeated else request.deadline_us

    def _record_idempotency_key(
        self, request: JobRequest, attempt: tuple[int, int], instance_id: str
    ) -> None:
        """Record, for a keyed request being sent, which workers drop its duplicates, and until when."""
        job_class = self.config.settings.classes[request.job_class]
        if request.key and job_class.repeat is api.Repeat.KEYED and instance_id in self.table.destinations:
            now = self.clock.now_us()
            group = job_class.group_of(self.table.worker(self.table.destinations[instance_id]))
            window = idempotency.DedupWindow(group, now + job_class.memory_us)
            self.idempotency_keys.record_send(now, attempt, (request.job_class, request.key), window)

    def _cancel(self, action: api.Cancel) -> None:
        request = self.in_flight.by_number.get(action.job)
        if request is None or action.attempt >= len(request.endpoints):
            return
        if endpoint := self.table.endpoints.get(request.endpoints[action.attempt]):
            endpoint.tell(CancelAttempt(action.job, action.attempt))

    def _on_attempt_progress(self, message: AttemptProgress) -> None:
        if message.share is not None:
            self._decide(api.JobProgress(message.job, message.attempt, message.share))
            return
        if request := self.in_flight.by_number.get(message.job):
            request.started_us = request.started_us or self.clock.now_us()
            if self.notify_admission:
                self.notify_admission(ExecutionStarted(request.request))
        self._decide(api.JobStarted(message.job, message.attempt))

    def _on_attempt_ended(self, ended: AttemptEnded) -> None:
        request = self.in_flight.by_number[ended.job]
        if request.reply.cancelled():
            self._on_client_disconnected(request.request)
        request.attempts_in_flight.discard(ended.attempt)
        if request.release_reply:
            # The attempt has ended, so its endpoint may never answer `ReleaseAttempt`.
            self.handover.abort_release(request)
        if ended.returned and request.endpoints[ended.attempt] in request.returned_by:
            # The worker has returned an earlier attempt of this request, and the present callback may be a
            # retransmission of the earlier one. It does not prove that the present attempt never ran.
            ended = replace(ended, outcome=api.Outcome.RESET)
        self._record_ending(request, ended)
        if ended.result is not None:
            self._answer(ended.job, protocol.result_answer(ended.result))
        final = not request.answer_pending
        self._decide(api.AttemptEnded(ended.job, ended.attempt, ended.outcome, ended.took_us, final))
        self.in_flight.remove_if_finished(request)

    def _record_ending(self, request: InFlightRequest, ended: AttemptEnded) -> None:
        instance_id, outcome = request.endpoints[ended.attempt], ended.outcome
        if self.traffic_recorder:
            self.traffic_recorder.record_attempt(
                request.request, instance_id, outcome, ended.took_us, request.started_us
            )
        request.last_outcome = outcome
        request.attempt_summaries.append(f"{instance_id} {outcome.value} {ended.took_us // 1000}ms")
        worker_full = outcome is api.Outcome.FULL
        never_ran = outcome.never_ran and not (worker_full and self.config.settings.full_may_have_run)
        self.idempotency_keys.record_end((ended.job, ended.attempt), never_ran)
        if ended.returned:
            request.returned_by.append(instance_id)

    def _on_job_event(self, event: JobEvent) -> None:
        if event.id in self.handover.in_transit or event.id not in self.in_flight:
            self.forward_event(event)
        elif endpoint := self.table.endpoints.get(event.source):
            endpoint.tell(event)

    def _on_timer(self, timer: TimerDue) -> None:
        self.timers.fired(timer)
        self._decide(api.TimerFired(timer.tag))

    # Workers

    def _check_health(self, action: api.CheckHealth) -> None:
        instance_id = action.address
        if self.restrictions.applies_to(self.table.destinations.get(instance_id), instance_id):
            # Nothing is sent to a disabled or cordoned worker, so it is not checked and counts as alive.
            self.tell(HealthCheckEnded(instance_id, True))
        elif endpoint := self.table.endpoints.get(instance_id):
            endpoint.tell(CheckHealth())
        else:
            self.tell(HealthCheckEnded(instance_id, False))

    def _close_idle_connections(self, action: api.CloseIdle) -> None:
        if endpoint := self.table.endpoints.get(action.address):
            endpoint.tell(CloseIdleConnections())

    def _on_endpoint_retired(self, message: EndpointRetired) -> None:
        # The dispatcher may have passed an attempt to the endpoint after the endpoint reported that it is
        # idle. The endpoint then reports again once that attempt has ended.
        busy = any(
            request.endpoints[attempt] == message.instance_id
            for request in self.in_flight.by_number.values()
            for attempt in request.attempts_in_flight
        )
        if not busy:
            self.table.retire(message.instance_id)

    def _on_set_worker_disabled(self, message: SetWorkerDisabled) -> None:
        answer = self._set_worker_disabled(message)
        if not message.reply.done():
            message.reply.set_result(answer)

    def _set_worker_disabled(self, message: SetWorkerDisabled) -> Answer:
        """Disable or enable a worker; a call for a state that the worker already has changes nothing."""
        instance_id, restrictions = message.instance_id, self.restrictions
        destination = self.table.destinations.get(instance_id)
        listed = destination is not None and destination.lifecycle is not Lifecycle.REMOVED
        disabled = instance_id in restrictions.disabled
        if not (listed or message.listed_elsewhere or disabled):
            return NO_SUCH_WORKER
        if disabled is message.disabled:
            return DONE
        if not restrictions.set_disabled(self.clock.now_us(), instance_id, message.disabled):
            return NOT_SAVED
        if destination and listed:
            self.table.update(destination)
            self._refresh_workers()
        return DONE

    def _on_cordons(self, message: CordonsChanged) -> None:
        """Replace the cordons; a worker whose cordon has been lifted counts as started at this moment."""
        if self.restrictions.set_cordons(self.clock.now_us(), message, self.table.listed()):
            self._apply_restrictions()
        # The endpoints' mailboxes already contain this change, and the event loop processes them before the
        # callback scheduled by the following call.
        asyncio.get_running_loop().call_soon(message.on_applied)

    def _set_send_lease(self, held: bool) -> None:
        """Stop sending attempts when the lease on the cordons is lost, and resume when it is held again.

        Without the lease, this scheduler may have missed a cordon. The loss of the lease does not put workers
        out of use, so they don't count as newly started when it is held again.
        """
        self.restrictions.send_lease_held = held
        log.log(logging.INFO if held else logging.WARNING, "send_lease_held" if held else "send_lease_lost")
        self._apply_restrictions()

    def _apply_restrictions(self) -> None:
        self.table.update_all()
        self._refresh_workers()

    def _refresh_workers(self) -> None:
        """Pass the workers to the decision module as a cached list.

        The decision module would regard a list of another kind as one from discovery, and would stop polling
        discovery.
        """
        self._decide(api.WorkersListed(api.ListKind.CACHED, self.table.workers()))

    # The endpoint list and its lease

    def _on_list(self, message: EndpointListReceived) -> None:
        received = message.endpoint_list
        if received is None:
            self._decide(api.WorkersListed(api.ListKind.FAILED))
            return
        complete = received.reset or message.cached
        kind = api.ListKind.FULL if complete else api.ListKind.CHANGES
        if message.cached:
            kind = api.ListKind.CACHED
        self.table.apply(received, complete)
        workers = [self.table.worker(destination) for destination in received.endpoints]
        self._decide(api.WorkersListed(kind, workers))
        if self.list_lease and message.received_us is not None:
            self.list_lease.renew(message.received_us, received.generation)
            # The lease is checked after the new list is applied: if the lease is acquired, queued requests
            # are sent, and they must not be sent to workers of the list that was replaced.
            self._check_list_lease()
        if self.on_list_changed:
            self.on_list_changed()

    def _on_predecessor_list(self, message: PredecessorListReceived) -> None:
        """Apply what the predecessor has been notified of, unless discovery has answered this process."""
        if self.list_lease is None or self.list_lease.origin is not ListOrigin.PREDECESSOR:
            return
        if message.endpoint_list:
            self._on_list(EndpointListReceived(message.endpoint_list, cached=True))
        self.list_lease.inherit(message.version, message.confirmed_us, message.until_us)
        self._check_list_lease()

    def _renew_list_lease(
        self, message: ListConfirmed | DiscoveryUnreachable | DiscoveryAddressChanged
    ) -> None:
        if self.list_lease is None:
            return
        match message:
            case ListConfirmed(version=version, received_us=received_us):
                self.list_lease.renew(received_us, version)
            case DiscoveryUnreachable(called_us=called_us, as_of_us=as_of_us):
                self.list_lease.record_unreachable(called_us, as_of_us)
            case DiscoveryAddressChanged(at_us=at_us):
                self.list_lease.record_address_change(at_us)
        self._check_list_lease()

    def _check_list_lease(self) -> None:
        """Notify the decision module if the lease on the endpoint list was lost or acquired."""
        if self.list_lease is None:
            return
        now = self.clock.now_us()
        held = self.list_lease.is_valid(now)
        if held is self.list_lease_held.is_set():
            return
        fields = self.list_lease.log_fields(now)
        if held:
            self.list_lease_held.set()
            log.info("list_lease_held", extra=fields)
        else:
            self.list_lease_held.clear()
            log.warning("list_lease_lost", extra=fields)
        self._decide(api.ListLeaseChanged(held))

    def _list_fields(self) -> dict[str, object]:
        return self.list_lease.log_fields(self.clock.now_us()) if self.list_lease else {}

    # Hand-over to and from another process of this scheduler

    def export_state(self) -> DispatcherState:
        """The state for a successor process, without the requests in flight."""
        return export_dispatcher(self.balancer, self.in_flight, self.restrictions)

    def import_state(self, state: Json) -> None:
        """Adopt the state of a predecessor process, and apply its restrictions to the endpoints."""
        import_dispatcher(self.in_flight, self.restrictions, state)
        self._apply_restrictions()
        import_balancer(self.balancer, state)

    # Metrics and shutdown

    def stats(self) -> Answer:
        """The current metrics of this scheduler as an answer for operators."""
        queued = self.metrics.admission_queued() if self.metrics.admission_queued else 0
        self.metrics.active = len(self.in_flight) + queued
        listed = {destination.instance_id: destination for destination in self.table.listed()}
        restricted = {name for name, d in listed.items() if self.restrictions.applies_to(d, name)}
        avoided = self.balancer.avoided_workers(self.clock.now_us())
        self.metrics.pool_size = len(listed)
        self.metrics.pool_ejected = len(listed.keys() & (restricted | avoided))
        return Answer(200, self.metrics.text(self.clock.now_us()).encode())

    async def close(self) -> None:
        """Close all endpoints."""
        await self.table.close()
