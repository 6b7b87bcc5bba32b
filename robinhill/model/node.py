"""A scheduler in simulated time: the real decision module and admission control in a simulated network.

The network is simulated by delays. Attempts end with the outcomes that the protocol's table of outcomes
defines.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from robinhill import api
from robinhill.admission.admission import Admission
from robinhill.admission.callers import Caller
from robinhill.admission.messages import Action as AdmissionAction
from robinhill.admission.messages import AdmissionRequest, Admit
from robinhill.model.engine import Engine
from robinhill.model.workers import Job, Worker

# A scheduler reuses an idle connection only for this share of the time after which the worker closes it.
IDLE_RETIREMENT_SHARE = 0.6
CLIENT_ADDRESS = "10.0.0.1"


class DecisionModule(Protocol):
    """The interface of a decision module, of this source tree or of another revision in its own process."""

    def start(self, now: int) -> list[api.Action]: ...
    def handle(self, now: int, event: api.Event) -> list[api.Action]: ...


@dataclass(slots=True, frozen=True)
class Arrival:
    """A client's request on its arrival at a scheduler. ``work_us`` is the job's running time on a core of
    speed 1; ``is_retry`` tells that the client has sent the same job before.
    """

    number: int
    kind: int
    tenant: int
    work_us: float
    deadline_us: int
    is_retry: bool = False
    program: int = -1


AnswerCallback = Callable[[int, int], None]  # HTTP status and the time of Retry-After in microseconds


@dataclass(slots=True, eq=False)
class _PendingRequest:
    arrival: Arrival
    expires_at_us: int
    answer: AnswerCallback
    addresses: list[str] = field(default_factory=list)  # the worker's address for each attempt
    sent_us: list[int] = field(default_factory=list)  # time at which each attempt was sent
    in_flight: set[int] = field(default_factory=set)  # numbers of the attempts in flight
    unanswered: bool = True


@dataclass(slots=True)
class Counts:
    """Counters of one scheduler."""

    tries: int = 0  # attempts sent to workers
    crossings: int = 0  # attempts sent to a worker in another zone
    probes: int = 0  # health checks
    connects: int = 0  # new connections
    refused: Counter[str] = field(default_factory=Counter)  # requests, by reason


@dataclass(slots=True, eq=False)
class Node:
    """One scheduler. It receives a worker's reports after the network's delay; a silent worker sends none."""

    name: str
    zone: int
    engine: Engine
    module: DecisionModule
    admission: Admission | None
    workers: dict[str, Worker]
    kinds: tuple[Any, ...]  # the classes (`JobKind`) of the simulated `Description`
    one_way_us: Callable[[int, int], float]  # network delay by the zones of sender and receiver
    connect_timeout_us: int
    fails: Callable[[Worker], bool]  # draws whether the next job at this worker ends in an error
    retire_after_us: float  # a connection that was idle for longer is not reused
    counts: Counts = field(default_factory=Counts)
    alive: bool = True
    subscribed: bool = False
    on_subscribe: Callable[["Node"], None] = lambda node: None
    pending: dict[int, _PendingRequest] = field(default_factory=dict)
    idle: dict[str, list[int]] = field(default_factory=dict)  # times of last use of each idle connection
    tenants: dict[int, Caller] = field(default_factory=dict)
    known_starts_us: dict[str, int] = field(default_factory=dict)  # last start of each worker, from the lists
    _admission_due_us: int | None = None

    def start(self) -> None:
        self._perform(self.module.start(self.engine.now))

    def update_workers(self, event: api.WorkersListed) -> None:
        if self.alive:
            if event.kind is api.ListKind.FAILED:
                self.subscribed = False
            self.known_starts_us.update((w.address, w.started_us) for w in event.workers)
            self._handle_event(event)

    def crash(self) -> None:
        """Stop the scheduler. Its clients receive no answers; workers still execute the jobs it has sent."""
        self.alive = False
        self.pending.clear()

    # Requests

    def receive_request(self, arrival: Arrival, answer: AnswerCallback) -> None:
        """Pass a client's request to admission control, or to the decision module if admission is off."""
        now = self.engine.now
        pending = _PendingRequest(arrival, now + arrival.deadline_us, answer)
        self.pending[arrival.number] = pending
        self.engine.at(pending.expires_at_us, self._deadline_passed, arrival.number)
        if self.admission is None:
            self._admit(arrival.number)
            return
        if (caller := self.tenants.get(arrival.tenant)) is None:
            caller = self.admission.directory.find(f"tenant-{arrival.tenant}", CLIENT_ADDRESS)
            self.tenants[arrival.tenant] = caller
        caller = Caller(caller.tenant, caller.name, -1, caller.fingerprint ^ arrival.number)
        admission_request = AdmissionRequest(arrival.number, arrival.kind, caller, now, arrival.deadline_us)
        self._perform_admission(self.admission.arrive(now, admission_request))

    def client_disconnected(self, number: int) -> None:
        """Stop answering a request, as its client has disconnected.

        If it waits in the queue of admission control it is removed there; otherwise the decision module is
        notified.
        """
        pending = self.pending.get(number)
        if pending is None or not pending.unanswered or not self.alive:
            return
        pending.unanswered = False
        was_queued = self.admission.is_queued(number) if self.admission else False
        if self.admission:
            self._perform_admission(self.admission.client_disconnected(self.engine.now, number))
        if not was_queued:
            self._handle_event(api.ClientDisconnected(number))
        self._remove_if_finished(number)

    def _admit(self, number: int) -> None:
        pending = self.pending[number]
        arrival, time_left_us = pending.arrival, pending.expires_at_us - self.engine.now
        request = api.Request(
            number, arrival.kind, max(1, time_left_us), tenant=0, client_repeat=arrival.is_retry
        )
        self._handle_event(api.Arrived(request))

    def _perform_admission(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            if isinstance(action, Admit):
                self._admit(action.number)
            else:
                self.counts.refused[action.reason.value] += 1
                self._answer(action.number, 429 if action.tenant_limit else 503, action.retry_us)
        assert self.admission
        due = self.admission.next_us
        if due is not None and (self._admission_due_us is None or due < self._admission_due_us):
            self._admission_due_us = due
            self.engine.at(due, self._admission_tick, due)

    def _admission_tick(self, due: int) -> None:
        if self.alive and self.admission and self._admission_due_us == due:
            self._admission_due_us = None
            self._perform_admission(self.admission.tick(self.engine.now))

    def _deadline_passed(self, number: int) -> None:
        """The request's deadline has passed: cancel its attempts in flight and report them as timed out."""
        pending = self.pending.get(number)
        if pending is None or not self.alive:
            return
        for attempt in sorted(pending.in_flight):
            self._send_cancel(pending, attempt)
            self._attempt_ended(number, attempt, api.Outcome.TIMEOUT)

    def _answer(self, number: int, status: int, retry_after_us: int = 0) -> None:
        pending = self.pending.get(number)
        if pending is None or not pending.unanswered:
            return
        pending.unanswered = False
        pending.answer(status, retry_after_us)
        self._remove_if_finished(number)

    def _remove_if_finished(self, number: int) -> None:
        pending = self.pending.get(number)
        if pending and not pending.unanswered and not pending.in_flight:
            del self.pending[number]

    # Decision module

    def _handle_event(self, event: api.Event) -> None:
        if self.alive:
            self._perform(self.module.handle(self.engine.now, event))

    def _perform(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send(job=number, address=address, timeout_us=timeout):
                    self._send(number, address, timeout)
                case api.Reject(job=number, retry_in_us=retry_after_us):
                    self.counts.refused["module"] += 1
                    self._end_admission(number, False)
                    self._answer(number, 503, retry_after_us)
                case api.Fail(job=number):
                    self._end_admission(number, False)
                    self._answer(number, 502)
                case api.Cancel(job=number, attempt=attempt):
                    self._cancel(number, attempt)
                case api.SetTimer(after_us=after, tag=tag):
                    self.engine.after(after, self._handle_event, api.TimerFired(tag))
                case api.Subscribe():
                    self.subscribed = True
                    self.on_subscribe(self)
                case api.CheckHealth(address=address):
                    self._probe(address)
                case api.CloseIdle(address=address):
                    self._close_idle(address)

    def _end_admission(self, number: int, served: bool) -> None:
        if self.admission:
            self._perform_admission(self.admission.ended(self.engine.now, number, served))

    # Attempts

    def _send(self, number: int, address: str, timeout_us: int) -> None:
        pending, worker, now = self.pending[number], self.workers[address], self.engine.now
        attempt = len(pending.addresses)
        pending.addresses.append(address)
        pending.sent_us.append(now)
        pending.in_flight.add(attempt)
        self.counts.tries += 1
        self.counts.crossings += worker.zone != self.zone
        if self.admission and attempt == 0:
            self._perform_admission(self.admission.placed(now, number))
        if timeout_us and now + timeout_us < pending.expires_at_us:
            self.engine.after(timeout_us, self._attempt_timed_out, number, attempt)
        delay_us = self.one_way_us(self.zone, worker.zone)
        idle = [t for t in self.idle.get(address, []) if now - t < self.retire_after_us]
        if idle:
            idle.pop()
            self.idle[address] = idle
            self.engine.after(delay_us, self._deliver, number, attempt, worker)
            return
        self.idle[address] = idle
        self.counts.connects += 1
        self.engine.after(2 * delay_us, self._connected, number, attempt, worker)

    def _connected(self, number: int, attempt: int, worker: Worker) -> None:
        if not worker.reachable(self.zone) or not worker.connect():
            remaining_us = max(0.0, self.connect_timeout_us - 2 * self.one_way_us(self.zone, worker.zone))
            self.engine.after(remaining_us, self._connect_failed, number, attempt)
            return
        if not self._is_in_flight(number, attempt):
            worker.disconnect()
            return
        self.engine.after(self.one_way_us(self.zone, worker.zone), self._deliver, number, attempt, worker)

    def _connect_failed(self, number: int, attempt: int) -> None:
        if self._is_in_flight(number, attempt):
            self._attempt_ended(number, attempt, api.Outcome.CONNECT_FAILED)

    def _is_in_flight(self, number: int, attempt: int) -> bool:
        pending = self.pending.get(number)
        return self.alive and pending is not None and attempt in pending.in_flight

    def _deliver(self, number: int, attempt: int, worker: Worker) -> None:
        """Hand the job to the worker, which has now received the request completely."""
        if not worker.reachable(self.zone) or not self._is_in_flight(number, attempt):
            return  # the request is lost, and no report will follow
        arrival = self.pending[number].arrival
        kind = self.kinds[arrival.kind]

        def report(state: str, job: Job) -> None:
            if worker.reachable(self.zone):
                delay_us = self.one_way_us(self.zone, worker.zone)
                self.engine.after(delay_us, self._receive_report, number, attempt, state)

        job = Job(
            str(number), kind.name, arrival.work_us, kind.slots, kind.memory, report,
            start_known=self.known_starts_us.get(worker.name, 0) >= worker.started_us,
            fails=self.fails(worker), program=arrival.program,
        )  # fmt: skip
        self.idle.setdefault(worker.name, []).append(self.engine.now)
        if not worker.take(job):
            report("returned", job)

    def _receive_report(self, number: int, attempt: int, state: str) -> None:
        if not self._is_in_flight(number, attempt):
            return
        match state:
            case "started":
                if self.admission:
                    self._perform_admission(self.admission.execution_started(self.engine.now, number))
                self._handle_event(api.JobStarted(number, attempt))
            case "done":
                self._attempt_ended(number, attempt, api.Outcome.COMPLETED)
            case "returned":
                self._attempt_ended(number, attempt, api.Outcome.FULL)
            case "lost":
                self._attempt_ended(number, attempt, api.Outcome.RESET)
            case "failed":
                self._attempt_ended(number, attempt, api.Outcome.ERROR)

    def _attempt_ended(self, number: int, attempt: int, outcome: api.Outcome) -> None:
        pending = self.pending[number]
        pending.in_flight.discard(attempt)
        if outcome is api.Outcome.COMPLETED:
            self._end_admission(number, True)
            self._answer(number, 200)
        took_us = self.engine.now - pending.sent_us[attempt]
        self._handle_event(api.AttemptEnded(number, attempt, outcome, took_us, not pending.unanswered))
        self._remove_if_finished(number)

    def _attempt_timed_out(self, number: int, attempt: int) -> None:
        if self._is_in_flight(number, attempt):
            self._cancel(number, attempt, api.Outcome.TIMEOUT)

    def _cancel(self, number: int, attempt: int, outcome: api.Outcome = api.Outcome.CANCELLED) -> None:
        """Send a cancel to the worker, and report the outcome after its confirmation.

        Without a confirmation the outcome is a timeout, as the worker may still execute the job.
        """
        if not self._is_in_flight(number, attempt):
            return
        pending = self.pending[number]
        worker = self.workers[pending.addresses[attempt]]
        delay_us = self.one_way_us(self.zone, worker.zone)
        if worker.reachable(self.zone):
            self.engine.after(delay_us, worker.cancel, str(number))
            self.engine.after(2 * delay_us, self._cancelled, number, attempt, outcome)
        else:
            self.engine.after(self.connect_timeout_us, self._cancelled, number, attempt, api.Outcome.TIMEOUT)

    def _cancelled(self, number: int, attempt: int, outcome: api.Outcome) -> None:
        if self._is_in_flight(number, attempt):
            self._attempt_ended(number, attempt, outcome)

    def _send_cancel(self, pending: _PendingRequest, attempt: int) -> None:
        worker = self.workers[pending.addresses[attempt]]
        if worker.reachable(self.zone):
            delay_us = self.one_way_us(self.zone, worker.zone)
            self.engine.after(delay_us, worker.cancel, str(pending.arrival.number))

    # Health checks and connections

    def _probe(self, address: str) -> None:
        self.counts.probes += 1
        worker = self.workers[address]
        alive = worker.reachable(self.zone)
        delay_us = self.one_way_us(self.zone, worker.zone)
        response_us = 4 * delay_us if alive else 1_000_000
        self.engine.after(response_us, self._handle_event, api.HealthCheckEnded(address, alive))

    def _close_idle(self, address: str) -> None:
        worker = self.workers[address]
        for _ in self.idle.pop(address, []):
            if not worker.silent and worker.connections:
                worker.disconnect()
