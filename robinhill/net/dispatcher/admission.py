"""The admission actor, which owns admission control and stands between client connections and dispatcher.

It performs the actions of admission control: it passes admitted requests on to the dispatcher, tracks them
until their final answer, and answers rejected ones. Which requests are admitted is decided in
robinhill/admission.
"""

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
from robinhill.net.dispatcher.admission_messages import (
    AdmissionMessage,
    AdmissionTimerDue,
    AdoptReleased,
    Reconfigure,
    ReleaseQueued,
    RequestAnswered,
    Suspend,
)
from robinhill.net.dispatcher.in_flight import refuse_duplicate
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


@dataclass(slots=True, eq=False)
class _TrackedRequest:
    accepted: RequestAccepted
    caller: Caller


class AdmissionActor(Actor[AdmissionMessage]):
    """Receives requests from clients, and progress of the admitted ones from the dispatcher."""

    def __init__(
        self,
        config: Config,
        supervisor: Supervisor,
        clock: Clock,
        metrics: Metrics,
        admit: Callable[[RequestAccepted | ClientDisconnected], None],
    ) -> None:
        super().__init__("admission", supervisor)
        assert config.operator
        self.clock = clock
        self.metrics = metrics
        self.admit = admit
        self._classes = config.classes
        self.admission = Admission(
            config.settings, config.operator.admission, config.seed, secrets.token_bytes(SECRET_BYTES)
        )
        self.traffic_recorder: TrafficRecorder | None = None  # records arrivals and rejections
        self._tracked: dict[int, _TrackedRequest] = {}  # by the number that admission control uses
        # By request id, the number of the request; if several requests have the same id, that of the first.
        self._numbers: dict[str, int] = {}
        self._next_number = 1
        self._due_us: int | None = None  # time at which the pending timer fires; None: no timer pending
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            RequestAccepted: self._on_request,
            FirstAttemptSent: self._on_first_attempt_sent,
            ExecutionStarted: self._on_execution_started,
            RequestAnswered: self._on_answered,
            ClientDisconnected: self._on_client_disconnected,
            AdmissionTimerDue: self._on_timer,
            Reconfigure: self._on_reconfigure,
            Suspend: self._on_suspend,
            ReleaseQueued: self._release,
            AdoptReleased: self._adopt,
        }
        self.metrics.admission_queued = lambda: self.admission.queued_count

    # Called by the scheduler, which imports this module only if admission control is configured

    def reconfigure(self, options: AdmissionOptions) -> None:
        """Replace the options of admission control."""
        self.tell(Reconfigure(options))

    def suspend(self, suspended: bool) -> None:
        """Stop or resume admitting queued requests; called at the start and end of a hand-over."""
        self.tell(Suspend(suspended))

    def release(self, request: JobRequest, reply: asyncio.Future[Json]) -> None:
        """Release a request to the successor; ``reply`` is set to its state in admission control."""
        self.tell(ReleaseQueued(request, reply))

    def adopt(self, request: JobRequest, state: Json, reply: asyncio.Future[Answer], placed: bool) -> None:
        """Adopt a request that another process has released. ``placed``: it has an attempt in flight."""
        self.tell(AdoptReleased(request, state, reply, placed))

    def identify_caller(self, headers: MultiMapping[str], address: str | None) -> Caller | None:
        """Identify the caller of a request; None while admission control is disabled.

        Raises MalformedError if the tenant header is empty, too long or not printable.
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

    def receive(self, message: AdmissionMessage) -> None:
        """Handle one message."""
        now = self.clock.now_us()
        self._handlers[type(message)](now, message)
        self._set_timer(now)

    def _on_first_attempt_sent(self, now: int, message: FirstAttemptSent) -> None:
        if number := self._number_of(message.request):
            self._perform(self.admission.placed(now, number))

    def _on_execution_started(self, now: int, message: ExecutionStarted) -> None:
        if number := self._number_of(message.request):
            self._perform(self.admission.execution_started(now, number))

    def _on_answered(self, now: int, message: RequestAnswered) -> None:
        if self._untrack(message.number):
            self._perform(self.admission.ended(now, message.number, message.served))

    def _on_timer(self, now: int, _: AdmissionTimerDue) -> None:
        self._due_us = None
        self._perform(self.admission.tick(now))

    def _on_reconfigure(self, now: int, message: Reconfigure) -> None:
        self._perform(self.admission.configure(now, message.options))

    def _on_suspend(self, now: int, message: Suspend) -> None:
        self._perform(self.admission.suspend(now, message.suspended))

    def _number_of(self, request: JobRequest) -> int | None:
        number = self._numbers.get(request.id)
        tracked = self._tracked.get(number) if number else None
        return number if tracked and tracked.accepted.request is request else None

    def _on_request(self, now: int, accepted: RequestAccepted, already_accepted: bool = False) -> None:
        if accepted.caller is None:
            self.admit(accepted)
            return
        request = accepted.request
        if request.id in self._numbers and not already_accepted:
            # The queues of tenants may admit a copy before the request with this id that came first.
            refuse_duplicate(accepted)
            return
        number = self._track(accepted, accepted.caller)
        if self.traffic_recorder and not already_accepted:
            self.traffic_recorder.record_arrival(request, accepted.arrived_us, accepted.caller.name)
        admission_request = AdmissionRequest(
            number,
            request.job_class,
            accepted.caller,
            accepted.arrived_us,
            request.time_left_us,
            already_accepted,
        )
        self._perform(self.admission.arrive(now, admission_request))

    def _track(self, accepted: RequestAccepted, caller: Caller) -> int:
        number, self._next_number = self._next_number, self._next_number + 1
        self._tracked[number] = _TrackedRequest(accepted, caller)
        self._numbers.setdefault(accepted.request.id, number)
        return number

    def _untrack(self, number: int) -> _TrackedRequest | None:
        tracked = self._tracked.pop(number, None)
        if tracked and self._numbers.get(tracked.accepted.request.id) == number:
            del self._numbers[tracked.accepted.request.id]
        return tracked

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Admit(number=number):
                    accepted = self._tracked[number].accepted
                    self._notify_when_answered(number, accepted.reply)
                    self.admit(accepted)
                case Reject():
                    self._reject(action)

    def _notify_when_answered(self, number: int, reply: asyncio.Future[Answer]) -> None:
        """Send RequestAnswered to this actor when the request gets its final answer or is cancelled."""

        def answered(done: asyncio.Future[Answer]) -> None:
            self.tell(RequestAnswered(number, not done.cancelled() and done.result().status == 200))

        reply.add_done_callback(answered)

    def _reject(self, rejection: Reject) -> None:
        tracked = self._untrack(rejection.number)
        assert tracked, "admission control rejected a request that this actor does not track"
        request, reply = tracked.accepted.request, tracked.accepted.reply
        self.metrics.rejections["admission"] += 1
        answer = (
            protocol.quota_exceeded(rejection.retry_us)
            if rejection.tenant_limit
            else protocol.fail_fast(rejection.retry_us)
        )
        self.metrics.count_answer(request.job_class, answer)
        if self.traffic_recorder:
            self.traffic_recorder.record_answer(request, answer.status)
        log.debug(
            "admission_rejected",
            extra={"id": request.id, "tenant": tracked.caller.name, "why": rejection.reason.value},
        )
        if not reply.done():
            reply.set_result(answer)

    def _on_client_disconnected(self, now: int, message: ClientDisconnected) -> None:
        request = message.request
        number = self._number_of(request) or self._number_of_duplicate_id(request)
        if number is None:
            self.admit(message)
            return
        queued = self.admission.is_queued(number)
        self._untrack(number)
        self._perform(self.admission.client_disconnected(now, number))
        if queued:
            log.debug("admission_client_disconnected", extra={"id": request.id})
        else:
            self.admit(message)

    def _number_of_duplicate_id(self, request: JobRequest) -> int | None:
        """The number of a request whose id was already in use by another request when it arrived."""
        tracked = self._tracked.items()
        return next((number for number, each in tracked if each.accepted.request is request), None)

    def _set_timer(self, now: int) -> None:
        due = self.admission.next_us
        if due is None or (self._due_us is not None and self._due_us <= due):
            return
        self._due_us = due
        asyncio.get_running_loop().call_later(max(0, due - now) / 1e6, self.tell, AdmissionTimerDue())

    # Hand-over between the two processes of this scheduler during its replacement

    def _release(self, now: int, message: ReleaseQueued) -> None:
        number = self._number_of(message.request)
        if number is None:
            message.reply.set_result({})
            return
        state: Json = {"caller": exported_state.export_caller(self._tracked[number].caller)}
        if self.admission.is_queued(number):
            accepted = self._tracked[number].accepted
            state["waiting"] = {"arrived_us": accepted.arrived_us}
            self._untrack(number)
            self._perform(self.admission.client_disconnected(now, number))
        message.reply.set_result(state)

    def _adopt(self, now: int, message: AdoptReleased) -> None:
        """Adopt a request with its caller.

        If the other process had admitted the request, this process tracks it as admitted. Otherwise this
        process admits or queues it like a new request, with its original time of arrival.
        """
        caller = exported_state.import_caller(message.state["caller"])
        if waiting := message.state.get("waiting"):
            accepted = RequestAccepted(message.request, waiting["arrived_us"], message.reply, caller)
            self._on_request(now, accepted, already_accepted=True)
            return
        accepted = RequestAccepted(message.request, now, message.reply, caller)
        number = self._track(accepted, caller)
        admission_request = AdmissionRequest(
            number,
            message.request.job_class,
            caller,
            now,
            message.request.time_left_us,
            already_accepted=True,
        )
        self.admission.resume(now, admission_request, placed=message.placed)
        self._notify_when_answered(number, message.reply)

    def export_state(self) -> Json:
        """The state of admission control for a successor process."""
        return exported_state.export_state(self.admission)

    def import_state(self, state: Json) -> None:
        """Adopt the state of admission control from a predecessor process."""
        exported_state.import_state(self.admission, self.clock.now_us(), state)

    def stats(self) -> Answer:
        """The current figures of admission control as an answer for operators."""
        figures = {"enabled": self.admission.options.enabled} | report(self.admission)
        names = self._classes
        for key in ("unplaced", "class_ms"):  # lists by class
            figures[key] = dict(zip(names, figures[key], strict=True))
        return protocol.metrics(figures)
