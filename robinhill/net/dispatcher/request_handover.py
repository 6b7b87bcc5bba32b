"""Requests that change hands between the two processes of one scheduler while it is replaced.

A request is released here only once its endpoint has given its attempt up, so that one process alone has it
at any moment. What goes over is JSON, whose keys stand here alone: processes of different versions read it.
"""

import asyncio
from collections.abc import Callable
from typing import Any, TypedDict

from robinhill import api, protocol
from robinhill.logic import Balancer
from robinhill.net.clock import Clock
from robinhill.net.dispatcher.decision_timers import DecisionTimers
from robinhill.net.dispatcher.endpoint_table import EndpointTable
from robinhill.net.dispatcher.in_flight import InFlightRequest, InFlightRequests
from robinhill.net.dispatcher.messages import AdoptRequest, ReleaseRequest
from robinhill.net.dispatcher.worker_restrictions import OutOfUse, WorkerRestrictions
from robinhill.net.workers.messages import AttemptReleased, ReleaseAttempt, RequestReturned, ResumeAttempt
from robinhill.placement import exported_state
from robinhill.placement.exported_format import ExportedJob, ExportedState

Json = dict[str, Any]


class AttemptState(TypedDict):
    """An attempt in flight."""

    until_us: int
    final: bool  # read by processes of an older version
    sent_us: int


class RequestState(TypedDict):
    """A released request, but for what the client has sent."""

    job: int
    deadline_us: int
    endpoints: list[str]
    endings: list[str]
    returned: list[str]
    attempt: AttemptState | None
    destination: Json | None  # the entry of the attempt's worker on the endpoint list
    module: ExportedJob
    timers: list[list[int | str]]  # when each is due (us), and its tag


class DispatcherState(TypedDict):
    """What a successor must know before any request."""

    module: ExportedState
    seen: list[str]  # recent request ids
    held_out: list[str]  # disabled workers
    outages: dict[str, list[int]]  # since when and until when a worker was out of use
    next: int  # number of the next request


class RequestHandover:
    """Releases requests to another process, and adopts those that it has released."""

    def __init__(
        self,
        balancer: Balancer,
        in_flight: InFlightRequests,
        table: EndpointTable,
        timers: DecisionTimers,
        clock: Clock,
        perform: Callable[[list[api.Action]], None],
    ) -> None:
        self.balancer = balancer
        self.in_flight = in_flight
        self.table = table
        self.timers = timers
        self.clock = clock
        self.perform = perform
        # By id, requests on their way to another process: events about one wait until it is there, or stays.
        self.in_transit: dict[str, asyncio.Event] = {}

    def release(self, message: ReleaseRequest) -> None:
        """Begin to release a request; its reply gets the state, or None if it has to stay."""
        request = self.in_flight.find(message.request)
        if request is None or not request.answer_pending or request.release_reply:
            message.reply.set_result(None)
            return
        request.release_reply = message.reply
        self.in_transit[request.request.id] = asyncio.Event()
        # What endpoints have reported about it is before this in the endpoint's mailbox, and its ending
        # before the answer in ours.
        attempts = len(request.attempts_in_flight)
        endpoint = self.table.endpoints.get(request.endpoints[-1]) if attempts else None
        if not attempts:
            self.attempt_released(AttemptReleased(request.job, None))
        elif attempts == 1 and endpoint:
            endpoint.tell(ReleaseAttempt(request.job, request.request.id))
        else:
            self.keep(request)

    def keep(self, request: InFlightRequest) -> None:
        """The request stays in this process."""
        if request.release_reply and not request.release_reply.done():
            request.release_reply.set_result(None)
        request.release_reply = None
        self.finish_transit(request.request.id)

    def finish_transit(self, request_id: str) -> None:
        """A request on its way is in the other process now, or stays here."""
        if in_transit := self.in_transit.pop(request_id, None):
            in_transit.set()

    def attempt_released(self, message: AttemptReleased) -> None:
        """The endpoint has given the attempt up, or can't; or there was none."""
        request, attempt = self.in_flight.by_number.get(message.job), message.attempt
        if request is None:
            return  # it has ended meanwhile
        remaining = len(request.attempts_in_flight) - (attempt is not None)
        if not request.releasable or remaining > 0:
            # Its client has left meanwhile, or it was answered: what is in flight ends here.
            self.keep(request)
            if attempt:
                self.table.endpoints[request.endpoints[-1]].tell(attempt)
            return
        assert request.release_reply
        request.release_reply.set_result({**self._export_request(request, attempt)})
        self.in_flight.remove(request)

    def _export_request(self, request: InFlightRequest, attempt: ResumeAttempt | None) -> RequestState:
        exported_job = exported_state.export_job(self.balancer, request.job)
        assert exported_job, "a request that needs an answer is known to the decision module"
        worker = self.table.destinations[request.endpoints[-1]] if attempt else None
        return {
            "job": request.job,
            "deadline_us": request.deadline_us,
            "endpoints": request.endpoints,
            "endings": request.endings,
            "returned": request.returned_by,
            "attempt": _export_attempt(attempt) if attempt else None,
            "destination": protocol.encode_listed_endpoint(worker) if worker else None,
            "module": exported_job,
            "timers": [[due_us, tag] for due_us, tag in self.timers.of_job(request.job)],
        }

    def adopt(self, message: AdoptRequest) -> None:
        """Go on with a request that was released."""
        state, now_us = message.state, self.clock.now_us()
        request = InFlightRequest(state["job"], message.request, state["deadline_us"], message.reply)
        request.endpoints = state["endpoints"]
        request.endings = state["endings"]
        request.returned_by = state["returned"]
        self.in_flight.adopt(request)
        if attempt := state["attempt"]:
            self._resume_attempt(request, attempt, state["destination"])
        for instance_id in request.returned_by:
            if endpoint := self.table.endpoints.get(instance_id):
                endpoint.tell(RequestReturned(message.request.id))
        for due_us, tag in state["timers"]:
            self.timers.set(max(0, due_us - now_us), tag)
        actions = exported_state.import_job(self.balancer, now_us, state["module"], message.released_here)
        self.perform(actions)
        message.adopted.set()

    def _resume_attempt(self, request: InFlightRequest, attempt: Json, destination: Json) -> None:
        instance_id, number = request.endpoints[-1], len(request.endpoints) - 1
        request.attempts_in_flight = {number}
        endpoint = self.table.endpoints.get(instance_id)
        if endpoint is None:  # it has been removed from the list meanwhile
            removed = protocol.decode_listed_endpoint(destination | {"lifecycle": "left"})
            endpoint = self.table.open_removed(removed)
        until_us, sent_us = attempt["until_us"], attempt["sent_us"]
        endpoint.tell(
            ResumeAttempt(request.job, number, request.request, until_us, request.deadline_us, sent_us)
        )


def export_dispatcher(
    balancer: Balancer, in_flight: InFlightRequests, restrictions: WorkerRestrictions
) -> DispatcherState:
    """What a successor must know, before any request, to decide as one with this process."""
    return {
        "module": exported_state.export_state(balancer),
        "seen": list(in_flight.recent_ids),
        "held_out": sorted(restrictions.disabled),
        "outages": {
            instance_id: [outage.since_us, outage.until_us]
            for instance_id, outage in restrictions.out_of_use.items()
        },
        "next": in_flight.next_number,
    }


def import_dispatcher(in_flight: InFlightRequests, restrictions: WorkerRestrictions, state: Json) -> None:
    """Take a predecessor's ids and restrictions; endpoints must be notified of these before the rest."""
    in_flight.import_state(state["seen"], state["next"])
    out_of_use = {instance_id: OutOfUse(*outage) for instance_id, outage in state["outages"].items()}
    restrictions.import_state(state["held_out"], out_of_use)


def import_balancer(balancer: Balancer, state: Json) -> None:
    """Take what a predecessor's decision module has learned."""
    exported_state.import_state(balancer, state["module"])


def _export_attempt(attempt: ResumeAttempt) -> AttemptState:
    return {
        "until_us": attempt.until_us,
        "final": attempt.until_us >= attempt.deadline_us,
        "sent_us": attempt.sent_us,
    }
