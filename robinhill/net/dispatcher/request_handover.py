"""Hand-over of requests between the two processes of one scheduler while one replaces the other.

A request is released only after its endpoint has released the attempt in flight, so that at any moment only
one process handles the request. Its state is transferred as JSON, possibly between processes of different
versions; the keys are defined in this module only.
"""

import asyncio
import logging
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
from robinhill.net.workers.messages import AttemptReleased, ReleaseAttempt, ResumeAttempt
from robinhill.placement import exported_state
from robinhill.placement.exported_format import ExportedJob, ExportedState

log = logging.getLogger(__name__)

Json = dict[str, Any]


class AttemptState(TypedDict):
    """The exported state of an attempt in flight."""

    until_us: int  # time at which the attempt is cancelled at its worker
    final: bool  # read only by processes of an older version
    sent_us: int  # time at which the attempt was sent


class RequestState(TypedDict):
    """The exported state of a released request, without the request itself."""

    job: int
    deadline_us: int
    endpoints: list[str]  # by attempt, the instance id of its worker
    endings: list[str]  # summaries of ended attempts, for the log
    returned: list[str]  # workers that returned the request by a callback
    attempt: AttemptState | None  # None: no attempt in flight
    destination: Json | None  # the endpoint list's entry of the worker with the attempt in flight
    module: ExportedJob  # the job's state in the decision module
    timers: list[list[int | str]]  # due time (us) and tag of each pending timer


class DispatcherState(TypedDict):
    """The exported state of the dispatcher, which the successor needs before it adopts any request."""

    module: ExportedState  # the state of the decision module without its jobs
    seen: list[str]  # ids of requests in flight and of recent ones
    held_out: list[str]  # disabled workers
    # By worker, start and end (us) of its time out of use; the end is 0 while it is still out of use.
    outages: dict[str, list[int]]
    next: int  # the number that the predecessor would assign to its next request


class RequestHandover:
    """Releases requests to another process, and adopts requests released by another process."""

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
        # By id, requests in transit to the other process. Workers' reports about such a request wait for the
        # event, which is set once the other process has adopted the request or it stays in this process.
        self.in_transit: dict[str, asyncio.Event] = {}

    def release(self, message: ReleaseRequest) -> None:
        """Start to release a request.

        The message's reply is set to the exported state, or to None if this process retains the request.
        """
        request = self.in_flight.find(message.request)
        if request is None or not request.answer_pending or request.release_reply:
            message.reply.set_result(None)
            return
        request.release_reply = message.reply
        self.in_transit[request.request.id] = asyncio.Event()
        # Worker reports that were already forwarded to the endpoint precede `ReleaseAttempt` in the
        # endpoint's mailbox. If one of them ends the attempt, `AttemptEnded` precedes the endpoint's answer
        # to `ReleaseAttempt` in the dispatcher's mailbox.
        attempts = len(request.attempts_in_flight)
        endpoint = self.table.endpoints.get(request.endpoints[-1]) if attempts else None
        if not attempts:
            self.attempt_released(AttemptReleased(request.job, None))
        elif attempts == 1 and endpoint:
            endpoint.tell(ReleaseAttempt(request.job, request.request.id))
        else:
            self.abort_release(request)

    def abort_release(self, request: InFlightRequest) -> None:
        """Abort the release of a request, if it is under way; this process then retains the request."""
        if request.release_reply and not request.release_reply.done():
            request.release_reply.set_result(None)
        request.release_reply = None
        self.finish_transit(request.request.id)

    def finish_transit(self, request_id: str) -> None:
        """Let waiting worker reports about a request proceed, as it is no longer in transit.

        Either the other process has adopted the request, or this process retains it.
        """
        if in_transit := self.in_transit.pop(request_id, None):
            in_transit.set()

    def attempt_released(self, message: AttemptReleased) -> None:
        """Complete or abort a release, after the endpoint has answered or if no attempt is in flight.

        ``message.attempt`` is None if the endpoint could not release its attempt, or if there was none.
        """
        request, attempt = self.in_flight.by_number.get(message.job), message.attempt
        if request is None:
            return  # the request has ended since its release was started
        remaining = len(request.attempts_in_flight) - (attempt is not None)
        if not request.releasable or remaining > 0:
            # The client has disconnected, the request was answered, or an attempt could not be released. The
            # attempt in flight, if any, continues in this process.
            self.abort_release(request)
            if attempt:
                self.table.endpoints[request.endpoints[-1]].tell(attempt)
            return
        assert request.release_reply
        request.release_reply.set_result({**self._export_request(request, attempt)})
        self.in_flight.remove(request)

    def _export_request(self, request: InFlightRequest, attempt: ResumeAttempt | None) -> RequestState:
        exported_job = exported_state.export_job(self.balancer, request.job)
        assert exported_job, "the decision module does not know a request that still needs an answer"
        worker = self.table.destinations[request.endpoints[-1]] if attempt else None
        return {
            "job": request.job,
            "deadline_us": request.deadline_us,
            "endpoints": request.endpoints,
            "endings": request.attempt_summaries,
            "returned": request.returned_by,
            "attempt": _export_attempt(attempt) if attempt else None,
            "destination": protocol.encode_listed_endpoint(worker) if worker else None,
            "module": exported_job,
            "timers": [[due_us, tag] for due_us, tag in self.timers.of_job(request.job)],
        }

    def adopt(self, message: AdoptRequest) -> None:
        """Adopt a released request: its attempt in flight, timers, and state in the decision module.

        A request whose id is in flight here is left to the other process: each process may have accepted a
        request with the same id before the two shared their ids.
        """
        if message.request.id in self.in_flight:
            log.debug("adoption_refused", extra={"id": message.request.id})
            message.adopted.set_result(False)
            return
        state, now_us = message.state, self.clock.now_us()
        request = InFlightRequest(state["job"], message.request, state["deadline_us"], message.reply)
        request.endpoints = state["endpoints"]
        request.attempt_summaries = state["endings"]
        request.returned_by = state["returned"]
        self.in_flight.adopt(request)
        if attempt := state["attempt"]:
            self._resume_attempt(request, attempt, state["destination"])
        for due_us, tag in state["timers"]:
            self.timers.set(max(0, due_us - now_us), tag)
        actions = exported_state.import_job(self.balancer, now_us, state["module"], message.released_here)
        self.perform(actions)
        message.adopted.set_result(True)

    def _resume_attempt(self, request: InFlightRequest, attempt: Json, destination: Json) -> None:
        instance_id, number = request.endpoints[-1], len(request.endpoints) - 1
        request.attempts_in_flight = {number}
        endpoint = self.table.endpoints.get(instance_id)
        if endpoint is None:  # the worker has been removed from the endpoint list since the attempt was sent
            removed = protocol.decode_listed_endpoint(destination | {"lifecycle": "left"})
            endpoint = self.table.open_removed(removed)
        until_us, sent_us = attempt["until_us"], attempt["sent_us"]
        endpoint.tell(
            ResumeAttempt(request.job, number, request.request, until_us, request.deadline_us, sent_us)
        )


def export_dispatcher(
    balancer: Balancer, in_flight: InFlightRequests, restrictions: WorkerRestrictions
) -> DispatcherState:
    """Export the dispatcher's state, from which a successor makes the same decisions as this process."""
    return {
        "module": exported_state.export_state(balancer),
        "seen": in_flight.known_ids(),
        "held_out": sorted(restrictions.disabled),
        "outages": {
            instance_id: [outage.since_us, outage.until_us]
            for instance_id, outage in restrictions.out_of_use.items()
        },
        "next": in_flight.next_number,
    }


def import_dispatcher(in_flight: InFlightRequests, restrictions: WorkerRestrictions, state: Json) -> None:
    """Import a predecessor's request ids and restrictions on workers.

    Endpoints must be notified of the restrictions before `import_balancer` is called.
    """
    in_flight.import_state(state["seen"], state["next"])
    out_of_use = {instance_id: OutOfUse(*outage) for instance_id, outage in state["outages"].items()}
    restrictions.import_state(state["held_out"], out_of_use)


def import_balancer(balancer: Balancer, state: Json) -> None:
    """Import the state of a predecessor's decision module."""
    exported_state.import_state(balancer, state["module"])


def _export_attempt(attempt: ResumeAttempt) -> AttemptState:
    return {
        "until_us": attempt.until_us,
        "final": attempt.until_us >= attempt.deadline_us,
        "sent_us": attempt.sent_us,
    }
