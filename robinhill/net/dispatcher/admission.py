"""The actor between inbound and decider that owns admission control and carries out its actions."""

import asyncio
import logging
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from multidict import MultiMapping

from robinhill import protocol
from robinhill.admission import exported_state
from robinhill.admission.admission import Admission
from robinhill.admission.callers import SECRET_BYTES, BadNameError, Caller
from robinhill.admission.messages import Action, AdmissionRequest, Admit, Reject
from robinhill.admission.options import AdmissionOptions
from robinhill.admission.report import report
from robinhill.config import Config
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock
from robinhill.net.dispatcher.messages import (
    ClientDisconnected,
    ExecutionStarted,
    FirstAttemptSent,
    RequestAccepted,
)
from robinhill.net.dispatcher.traffic_recorder import TrafficRecorder
from robinhill.net.metrics import Metrics
from robinhill.protocol import Answer, JobRequest

log = logging.getLogger(__name__)

Json = dict[str, Any]
ROUTE_KEY = "X-Route-Key"


@dataclass(slots=True, frozen=True)
class Answered:
    """A request that was let in has its final answer."""

    number: int
    served: bool


@dataclass(slots=True, frozen=True)
class Reconfigure:
    """The operators' file has changed."""

    options: AdmissionOptions


@dataclass(slots=True, frozen=True)
class Shut:
    """Let nothing in that waits, as it is about to go to another process; or go on."""

    yes: bool


@dataclass(slots=True, frozen=True)
class TakeOut:
    """The successor is to go on with a request; ``reply`` gets what it needs to know of it here."""

    request: JobRequest
    reply: asyncio.Future[Json]


@dataclass(slots=True, frozen=True)
class PutIn:
    """Go on with a request that another process has taken out; ``placed`` if an attempt of it is out."""

    request: JobRequest
    told: Json
    reply: asyncio.Future[Answer]
    placed: bool


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed."""


ToAdmission = (
    RequestAccepted
    | ClientDisconnected
    | FirstAttemptSent
    | ExecutionStarted
    | Answered
    | Reconfigure
    | Shut
    | TakeOut
    | PutIn
    | Tick
)


@dataclass(slots=True, eq=False)
class _Entry:
    taken: RequestAccepted
    caller: Caller


class AdmissionActor(Actor[ToAdmission]):
    """Requests come from inbound; those let in go on to the decider, which tells what becomes of them."""

    def __init__(
        self,
        config: Config,
        supervisor: Supervisor,
        clock: Clock,
        metrics: Metrics,
        let_in: Callable[[RequestAccepted | ClientDisconnected], None],
    ) -> None:
        super().__init__("admission", supervisor)
        assert config.operator
        self.clock = clock
        self.metrics = metrics
        self.let_in = let_in
        self._classes = config.classes
        self.admission = Admission(
            config.settings, config.operator.admission, config.seed, secrets.token_bytes(SECRET_BYTES)
        )
        self.tape: TrafficRecorder | None = None  # records what passes
        self._entries: dict[int, _Entry] = {}
        self._numbers: dict[str, int] = {}
        self._next = 1
        self._due_us: int | None = None  # when the timer that is set fires
        self.metrics.admission_queued = lambda: self.admission.queued_count

    # For the scheduler, which loads this module only where there is admission control

    def reconfigure(self, options: AdmissionOptions) -> None:
        """Go by other options from now on."""
        self.tell(Reconfigure(options))

    def shut(self, yes: bool) -> None:
        """Let nothing in that waits, as it is about to go to another process; or go on."""
        self.tell(Shut(yes))

    def take_out(self, request: JobRequest, reply: asyncio.Future[Json]) -> None:
        """A successor is to go on with the request; ``reply`` gets what it needs to know of it here."""
        self.tell(TakeOut(request, reply))

    def put_in(self, request: JobRequest, told: Json, reply: asyncio.Future[Answer], placed: bool) -> None:
        """Go on with a request that another process took out."""
        self.tell(PutIn(request, told, reply, placed))

    def find(self, headers: MultiMapping[str], address: str | None) -> Caller | None:
        """Who sends a request; None while admission control is off.

        Raises MalformedError for a name that is none.
        """
        options = self.admission.options
        if not options.enabled:
            return None
        try:
            return self.admission.directory.find(
                headers.get(options.tenant_header), address, headers.get(ROUTE_KEY, "")
            )
        except BadNameError as e:
            raise protocol.MalformedError(str(e)) from e

    def receive(self, message: ToAdmission) -> None:
        now = self.clock.now_us()
        match message:
            case RequestAccepted():
                self._arrive(now, message)
            case FirstAttemptSent(request=request):
                if number := self._number(request):
                    self._perform(self.admission.placed(now, number))
            case ExecutionStarted(request=request):
                if number := self._number(request):
                    self._perform(self.admission.execution_started(now, number))
            case Answered(number=number, served=served):
                if self._forget(number):
                    self._perform(self.admission.ended(now, number, served))
            case ClientDisconnected(request=request):
                self._client_left(now, message, request)
            case Tick():
                self._due_us = None
                self._perform(self.admission.tick(now))
            case Reconfigure(options=options):
                self._perform(self.admission.configure(now, options))
            case Shut(yes=yes):
                self._perform(self.admission.suspend(now, yes))
            case TakeOut():
                self._take_out(now, message)
            case PutIn():
                self._put_in(now, message)
        self._set_timer(now)

    def _number(self, request: JobRequest) -> int | None:
        number = self._numbers.get(request.id)
        entry = self._entries.get(number) if number else None
        return number if entry and entry.taken.request is request else None

    def _arrive(self, now: int, taken: RequestAccepted, owed: bool = False) -> None:
        if taken.caller is None:
            self.let_in(taken)
            return
        number = self._note(taken, taken.caller)
        request = taken.request
        if self.tape and not owed:
            self.tape.arrived(request, taken.arrived_us, taken.caller.name)
        ask = AdmissionRequest(
            number, request.job_class, taken.caller, taken.arrived_us, request.time_left_us, owed
        )
        self._perform(self.admission.arrive(now, ask))

    def _note(self, taken: RequestAccepted, caller: Caller) -> int:
        number, self._next = self._next, self._next + 1
        self._entries[number] = _Entry(taken, caller)
        self._numbers.setdefault(taken.request.id, number)
        return number

    def _forget(self, number: int) -> _Entry | None:
        entry = self._entries.pop(number, None)
        if entry and self._numbers.get(entry.taken.request.id) == number:
            del self._numbers[entry.taken.request.id]
        return entry

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Admit(number=number):
                    taken = self._entries[number].taken
                    self._follow(number, taken.reply)
                    self.let_in(taken)
                case Reject():
                    self._refuse(action)

    def _follow(self, number: int, reply: asyncio.Future[Answer]) -> None:
        """Hear of its final answer, whoever gives it."""

        def answered(done: asyncio.Future[Answer]) -> None:
            self.tell(Answered(number, not done.cancelled() and done.result().status == 200))

        reply.add_done_callback(answered)

    def _refuse(self, refusal: Reject) -> None:
        entry = self._forget(refusal.number)
        assert entry, "a refusal is of a request that waits here"
        request, reply = entry.taken.request, entry.taken.reply
        self.metrics.rejections["admission"] += 1
        answer = (
            protocol.quota_exceeded(refusal.retry_us)
            if refusal.tenant_limit
            else protocol.fail_fast(refusal.retry_us)
        )
        self.metrics.answered(request.job_class, answer)
        if self.tape:
            self.tape.answered(request, answer.status)
        log.debug(
            "admission_refused",
            extra={"id": request.id, "tenant": entry.caller.name, "why": refusal.reason.value},
        )
        if not reply.done():
            reply.set_result(answer)

    def _client_left(self, now: int, message: ClientDisconnected, request: JobRequest) -> None:
        number = next((n for n, e in self._same_id(request) if e.taken.request is request), None)
        if number is None:
            self.let_in(message)
            return
        waits = self.admission.is_queued(number)
        self._forget(number)
        self._perform(self.admission.client_disconnected(now, number))
        if waits:
            log.debug("admission_left", extra={"id": request.id})
        else:
            self.let_in(message)

    def _same_id(self, request: JobRequest) -> list[tuple[int, _Entry]]:
        """The requests that this may be: as a rule one; where an id is used twice, all have to be looked
        at.
        """
        number = self._numbers.get(request.id)
        entry = self._entries.get(number) if number else None
        if number and entry and entry.taken.request is request:
            return [(number, entry)]
        return [(n, e) for n, e in self._entries.items() if e.taken.request.id == request.id]

    def _set_timer(self, now: int) -> None:
        due = self.admission.next_us
        if due is None or (self._due_us is not None and self._due_us <= due):
            return
        self._due_us = due
        asyncio.get_running_loop().call_later(max(0, due - now) / 1e6, self.tell, Tick())

    # Between two processes

    def _take_out(self, now: int, message: TakeOut) -> None:
        number = self._number(message.request)
        if number is None:
            message.reply.set_result({})
            return
        told: Json = {"caller": exported_state.export_caller(self._entries[number].caller)}
        if self.admission.is_queued(number):
            taken = self._entries[number].taken
            told["waiting"] = {"arrived_us": taken.arrived_us}
            self._forget(number)
            self._perform(self.admission.client_disconnected(now, number))
        message.reply.set_result(told)

    def _put_in(self, now: int, message: PutIn) -> None:
        """It keeps its arrival, so its patience; and the tenant that it was found to be of."""
        caller = exported_state.import_caller(message.told["caller"])
        if waiting := message.told.get("waiting"):
            taken = RequestAccepted(message.request, waiting["arrived_us"], message.reply, caller)
            self._arrive(now, taken, owed=True)
            return
        taken = RequestAccepted(message.request, now, message.reply, caller)
        number = self._note(taken, caller)
        ask = AdmissionRequest(
            number,
            message.request.job_class,
            caller,
            now,
            message.request.time_left_us,
            already_accepted=True,
        )
        self.admission.resume(now, ask, placed=message.placed)
        self._follow(number, message.reply)

    def memory(self) -> Json:
        """What a successor must know to go on as one with this process."""
        return exported_state.export_state(self.admission)

    def recall(self, told: Json) -> None:
        exported_state.import_state(self.admission, self.clock.now_us(), told)

    def stats(self) -> Answer:
        """Admission's figures as they are now."""
        shown = {"enabled": self.admission.options.enabled} | report(self.admission)
        names = self._classes
        for key in ("unplaced", "class_ms"):
            shown[key] = dict(zip(names, shown[key], strict=True))
        return protocol.metrics(shown)
