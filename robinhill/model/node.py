"""A scheduler in simulated time: the real decision module, admission control where it is on, and a network
round them.

What the sockets do on a site is here a few delays and outcomes, as PROTOCOL's table tells them.
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

RETIRED_SHARE = 0.6  # of the time after which idle connections are closed: ours are retired then
ADDRESS = "10.0.0.1"


class Module(Protocol):
    """The decision module, or one of another revision behind a pipe."""

    def start(self, now: int) -> list[api.Action]: ...
    def handle(self, now: int, event: api.Event) -> list[api.Action]: ...


@dataclass(slots=True, frozen=True)
class Arrival:
    """A client's try as it reaches a scheduler; ``work_us`` on a core of speed 1."""

    number: int
    kind: int
    tenant: int
    work_us: float
    deadline_us: int
    again: bool = False
    program: int = -1


Answer = Callable[[int, int], None]  # status, microseconds to stay away


@dataclass(slots=True, eq=False)
class _Held:
    arrival: Arrival
    until_us: int
    answer: Answer
    addresses: list[str] = field(default_factory=list)
    sent_us: list[int] = field(default_factory=list)
    out: set[int] = field(default_factory=set)
    owed: bool = True


@dataclass(slots=True)
class Counts:
    """What a scheduler did."""

    tries: int = 0
    crossings: int = 0
    probes: int = 0
    connects: int = 0
    refused: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class Node:
    """One scheduler. Outcomes come back after the way's time; a worker that is silent says nothing."""

    name: str
    zone: int
    engine: Engine
    module: Module
    admission: Admission | None
    workers: dict[str, Worker]
    kinds: tuple[Any, ...]  # of the description
    way_us: Callable[[int, int], float]  # between two zones, one way
    connect_timeout_us: int
    fails: Callable[[Worker], bool]  # whether a job that begins there is to end in an error
    retire_us: float  # idle connections are retired after it
    counts: Counts = field(default_factory=Counts)
    alive: bool = True
    subscribed: bool = False
    on_subscribe: Callable[["Node"], None] = lambda node: None
    held: dict[int, _Held] = field(default_factory=dict)
    idle: dict[str, list[int]] = field(default_factory=dict)  # when idle connections were last used
    tenants: dict[int, Caller] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)  # workers' last starts, as far as it was told
    _admission_due_us: int | None = None

    def start(self) -> None:
        self._perform(self.module.start(self.engine.now))

    def listed(self, event: api.WorkersListed) -> None:
        if self.alive:
            if event.kind is api.ListKind.FAILED:
                self.subscribed = False
            self.starts.update((w.address, w.started_us) for w in event.workers)
            self._decide(event)

    def crash(self) -> None:
        """It is gone: clients hear nothing, and what it sent runs on."""
        self.alive = False
        self.held.clear()

    # Requests

    def take(self, arrival: Arrival, answer: Answer) -> None:
        """A client's request is here."""
        now = self.engine.now
        held = _Held(arrival, now + arrival.deadline_us, answer)
        self.held[arrival.number] = held
        self.engine.at(held.until_us, self._deadline, arrival.number)
        if self.admission is None:
            self._let_in(arrival.number)
            return
        if (caller := self.tenants.get(arrival.tenant)) is None:
            caller = self.admission.directory.find(f"tenant-{arrival.tenant}", ADDRESS)
            self.tenants[arrival.tenant] = caller
        caller = Caller(caller.tenant, caller.name, -1, caller.fingerprint ^ arrival.number)
        ask = AdmissionRequest(arrival.number, arrival.kind, caller, now, arrival.deadline_us)
        self._at_admission(self.admission.arrive(now, ask))

    def leave(self, number: int) -> None:
        """Its client has gone."""
        held = self.held.get(number)
        if held is None or not held.owed or not self.alive:
            return
        held.owed = False
        waits = self.admission.is_queued(number) if self.admission else False
        if self.admission:
            self._at_admission(self.admission.client_disconnected(self.engine.now, number))
        if not waits:
            self._decide(api.ClientDisconnected(number))
        self._forget(number)

    def _let_in(self, number: int) -> None:
        held = self.held[number]
        arrival, left = held.arrival, held.until_us - self.engine.now
        request = api.Request(number, arrival.kind, max(1, left), tenant=0, client_repeat=arrival.again)
        self._decide(api.Arrived(request))

    def _at_admission(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            if isinstance(action, Admit):
                self._let_in(action.number)
            else:
                self.counts.refused[action.reason.value] += 1
                self._final(action.number, 429 if action.tenant_limit else 503, action.retry_us)
        assert self.admission
        due = self.admission.next_us
        if due is not None and (self._admission_due_us is None or due < self._admission_due_us):
            self._admission_due_us = due
            self.engine.at(due, self._admission_tick, due)

    def _admission_tick(self, due: int) -> None:
        if self.alive and self.admission and self._admission_due_us == due:
            self._admission_due_us = None
            self._at_admission(self.admission.tick(self.engine.now))

    def _deadline(self, number: int) -> None:
        """The client's limit: attempts that are out have timed out."""
        held = self.held.get(number)
        if held is None or not self.alive:
            return
        for attempt in sorted(held.out):
            self._call_off(held, attempt)
            self._ended(number, attempt, api.Outcome.TIMEOUT)

    def _final(self, number: int, status: int, wait_us: int = 0) -> None:
        held = self.held.get(number)
        if held is None or not held.owed:
            return
        held.owed = False
        held.answer(status, wait_us)
        self._forget(number)

    def _forget(self, number: int) -> None:
        held = self.held.get(number)
        if held and not held.owed and not held.out:
            del self.held[number]

    # The module

    def _decide(self, event: api.Event) -> None:
        if self.alive:
            self._perform(self.module.handle(self.engine.now, event))

    def _perform(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send(job=number, address=address, timeout_us=timeout):
                    self._send(number, address, timeout)
                case api.Reject(job=number, retry_in_us=wait):
                    self.counts.refused["module"] += 1
                    self._over_at_admission(number, False)
                    self._final(number, 503, wait)
                case api.Fail(job=number):
                    self._over_at_admission(number, False)
                    self._final(number, 502)
                case api.Cancel(job=number, attempt=attempt):
                    self._withdraw(number, attempt)
                case api.SetTimer(after_us=after, tag=tag):
                    self.engine.after(after, self._decide, api.TimerFired(tag))
                case api.Subscribe():
                    self.subscribed = True
                    self.on_subscribe(self)
                case api.CheckHealth(address=address):
                    self._probe(address)
                case api.CloseIdle(address=address):
                    self._close_idle(address)

    def _over_at_admission(self, number: int, served: bool) -> None:
        if self.admission:
            self._at_admission(self.admission.ended(self.engine.now, number, served))

    # Attempts

    def _send(self, number: int, address: str, timeout_us: int) -> None:
        held, worker, now = self.held[number], self.workers[address], self.engine.now
        attempt = len(held.addresses)
        held.addresses.append(address)
        held.sent_us.append(now)
        held.out.add(attempt)
        self.counts.tries += 1
        self.counts.crossings += worker.zone != self.zone
        if self.admission and attempt == 0:
            self._at_admission(self.admission.placed(now, number))
        if timeout_us and now + timeout_us < held.until_us:
            self.engine.after(timeout_us, self._timed_out, number, attempt)
        way = self.way_us(self.zone, worker.zone)
        idle = [t for t in self.idle.get(address, []) if now - t < self.retire_us]
        if idle:
            idle.pop()
            self.idle[address] = idle
            self.engine.after(way, self._arrive, number, attempt, worker)
            return
        self.idle[address] = idle
        self.counts.connects += 1
        self.engine.after(2 * way, self._connected, number, attempt, worker)

    def _connected(self, number: int, attempt: int, worker: Worker) -> None:
        if not worker.reachable(self.zone) or not worker.connect():
            rest = max(0.0, self.connect_timeout_us - 2 * self.way_us(self.zone, worker.zone))
            self.engine.after(rest, self._unconnected, number, attempt)
            return
        if not self._waits_for(number, attempt):
            worker.disconnect()
            return
        self.engine.after(self.way_us(self.zone, worker.zone), self._arrive, number, attempt, worker)

    def _unconnected(self, number: int, attempt: int) -> None:
        if self._waits_for(number, attempt):
            self._ended(number, attempt, api.Outcome.CONNECT_FAILED)

    def _waits_for(self, number: int, attempt: int) -> bool:
        held = self.held.get(number)
        return self.alive and held is not None and attempt in held.out

    def _arrive(self, number: int, attempt: int, worker: Worker) -> None:
        """The request's last byte is at the worker."""
        if not worker.reachable(self.zone) or not self._waits_for(number, attempt):
            return  # written into nothing: no word will come
        arrival = self.held[number].arrival
        kind = self.kinds[arrival.kind]

        def tell(what: str, job: Job) -> None:
            if worker.reachable(self.zone):
                way = self.way_us(self.zone, worker.zone)
                self.engine.after(way, self._told, number, attempt, what)

        job = Job(
            str(number), kind.name, arrival.work_us, kind.slots, kind.memory, tell,
            told=self.starts.get(worker.name, 0) >= worker.started_us, fails=self.fails(worker),
            program=arrival.program,
        )  # fmt: skip
        self.idle.setdefault(worker.name, []).append(self.engine.now)
        if not worker.take(job):
            tell("returned", job)

    def _told(self, number: int, attempt: int, what: str) -> None:
        if not self._waits_for(number, attempt):
            return
        match what:
            case "started":
                if self.admission:
                    self._at_admission(self.admission.execution_started(self.engine.now, number))
                self._decide(api.JobStarted(number, attempt))
            case "done":
                self._ended(number, attempt, api.Outcome.COMPLETED)
            case "returned":
                self._ended(number, attempt, api.Outcome.FULL)
            case "lost":
                self._ended(number, attempt, api.Outcome.RESET)
            case "failed":
                self._ended(number, attempt, api.Outcome.ERROR)

    def _ended(self, number: int, attempt: int, outcome: api.Outcome) -> None:
        held = self.held[number]
        held.out.discard(attempt)
        if outcome is api.Outcome.COMPLETED:
            self._over_at_admission(number, True)
            self._final(number, 200)
        took = self.engine.now - held.sent_us[attempt]
        self._decide(api.AttemptEnded(number, attempt, outcome, took, not held.owed))
        self._forget(number)

    def _timed_out(self, number: int, attempt: int) -> None:
        if self._waits_for(number, attempt):
            self._withdraw(number, attempt, api.Outcome.TIMEOUT)

    def _withdraw(self, number: int, attempt: int, outcome: api.Outcome = api.Outcome.CANCELLED) -> None:
        """Called off first, told afterwards; a worker that does not confirm may have it still."""
        if not self._waits_for(number, attempt):
            return
        held = self.held[number]
        worker = self.workers[held.addresses[attempt]]
        way = self.way_us(self.zone, worker.zone)
        if worker.reachable(self.zone):
            self.engine.after(way, worker.cancel, str(number))
            self.engine.after(2 * way, self._withdrawn, number, attempt, outcome)
        else:
            self.engine.after(self.connect_timeout_us, self._withdrawn, number, attempt, api.Outcome.TIMEOUT)

    def _withdrawn(self, number: int, attempt: int, outcome: api.Outcome) -> None:
        if self._waits_for(number, attempt):
            self._ended(number, attempt, outcome)

    def _call_off(self, held: _Held, attempt: int) -> None:
        worker = self.workers[held.addresses[attempt]]
        if worker.reachable(self.zone):
            way = self.way_us(self.zone, worker.zone)
            self.engine.after(way, worker.cancel, str(held.arrival.number))

    # The rest

    def _probe(self, address: str) -> None:
        self.counts.probes += 1
        worker = self.workers[address]
        alive = worker.reachable(self.zone)
        way = self.way_us(self.zone, worker.zone)
        delay = 4 * way if alive else 1_000_000
        self.engine.after(delay, self._decide, api.HealthCheckEnded(address, alive))

    def _close_idle(self, address: str) -> None:
        worker = self.workers[address]
        for _ in self.idle.pop(address, []):
            if not worker.silent and worker.connections:
                worker.disconnect()
