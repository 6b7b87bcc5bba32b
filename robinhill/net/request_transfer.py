"""Transfer of requests and workers' calls between the two processes of one scheduler.

A successor process replaces its predecessor while both run. A request is queued at admission control or in
flight at the dispatcher. This module exports the request's state from these two components, sends the state
to the successor, and returns the request to the component that had it if no successor has accepted it. At no
time do two processes own the same request. A worker's call is its callback about a job's progress or end.
"""

import asyncio
import logging
import os
from typing import TYPE_CHECKING, Any, Final

from robinhill import protocol
from robinhill.net.client_reply import ClientReply
from robinhill.net.clients.inbound import Inbound
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.dispatcher.messages import AdoptRequest, ReleaseRequest, RequestAccepted
from robinhill.net.handover.handover import Handover
from robinhill.net.handover.messages import Claim, QuestionName
from robinhill.net.handover.process_link import EncodingError, LinkLostError
from robinhill.protocol import Answer, JobEvent, JobRequest

if TYPE_CHECKING:  # admission control is loaded only where it is configured
    from robinhill.net.dispatcher.admission import AdmissionActor

log = logging.getLogger(__name__)

Json = dict[str, Any]
# Key of the part of a request's state that admission control exports; it is the same in all versions.
ADMISSION_KEY: Final = "door"


class RequestTransfer:
    """Moves requests from dispatcher and admission control to the other process, and from it to them."""

    def __init__(self, dispatcher: Dispatcher, admission: "AdmissionActor | None") -> None:
        self.dispatcher = dispatcher
        self.admission = admission
        self.handover: Handover | None = None  # None: this process is configured without hand-over
        # Ids of requests that can't be encoded for the successor; this process keeps them until they end.
        self._not_encodable: set[str] = set()

    # To the other process

    async def release(self, request: JobRequest) -> Json | None:
        """Release a request and return its state for a successor.

        Returns None if it can't be released at this time, for example because it was just answered, or if an
        earlier attempt to send it has shown that it can't be encoded.
        """
        if request.id in self._not_encodable:
            return None
        admission_state: Json = {}
        loop = asyncio.get_running_loop()
        if self.admission:
            admission_reply: asyncio.Future[Json] = loop.create_future()
            self.admission.release(request, admission_reply)
            admission_state = await admission_reply
            if "waiting" in admission_state:
                return {ADMISSION_KEY: admission_state}
        reply: asyncio.Future[Json | None] = loop.create_future()
        self.dispatcher.tell(ReleaseRequest(request, reply))
        state = await reply
        return state and state | {ADMISSION_KEY: admission_state}

    async def send(self, state: Json, fd: int, request: JobRequest, reply: asyncio.Future[Answer]) -> bool:
        """Send a released request to the successor. Returns whether the successor has accepted it.

        ``fd`` is a duplicate of the descriptor of the client's connection and is closed by this call;
        ``reply`` is the future of the request's answer in this process. If the successor has rejected the
        request or has not received it, this process owns it again. If the request can't be encoded, this
        process keeps it, and the other requests are handed over. If the link was lost after the successor may
        have received the request, the request is answered with a failure.
        """
        accepted, sent = False, False
        body = state | {"request": protocol.encode_handed_over_request(request)}
        try:
            if self.handover and (successor := self.handover.successor):
                accepted = (await successor.ask(QuestionName.ADOPT_REQUEST, body, fd)).get("taken", True)
            else:
                os.close(fd)  # the successor has exited since the request was released
        except LinkLostError as e:
            sent = e.sent
        except EncodingError as e:
            log.warning("not_handed_over", extra={"id": request.id, "why": str(e)})
            self._not_encodable.add(request.id)
        if sent:
            # The successor may have received the request and sent an attempt, so this process must not send
            # another one: the job could run twice.
            if not reply.done():
                reply.set_result(protocol.FAILED)
        elif not accepted:
            await self._reclaim(state, request, reply)
        self.dispatcher.handover.finish_transit(request.id)
        if accepted:
            log.info("handed_over", extra={"id": request.id})
        return accepted

    async def _reclaim(self, state: Json, request: JobRequest, reply: asyncio.Future[Answer]) -> None:
        """Continue in this process a request that it has released, as no successor has accepted it."""
        if self.admission and "waiting" in state[ADMISSION_KEY]:
            self.admission.adopt(request, state[ADMISSION_KEY], reply, False)
            return
        adopted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        # This process's timers for the request were not cancelled by the release, so none are set again.
        without_timers = state | {"timers": []}
        self.dispatcher.tell(AdoptRequest(request, without_timers, reply, adopted, released_here=True))
        await adopted

    # From the other process

    async def adopt(self, body: Json, fd: int, inbound: Inbound) -> bool:
        """Continue a request of the other process and its client's connection.

        This call owns ``fd``, the connection's descriptor. Returns False, and the request stays with the
        other process, if this process is shutting down or has another request with the same id in flight.
        """
        if inbound.shutting_down:
            os.close(fd)
            return False
        request = protocol.decode_handed_over_request(body["request"])
        reply = ClientReply()
        admission_state = body.get(ADMISSION_KEY) or {}
        if self.admission and "caller" in admission_state:
            self.admission.adopt(request, admission_state, reply, bool(body.get("attempt")))
        if waiting := admission_state.get("waiting"):
            if not self.admission:
                # The other process had queued the request at admission control, which this process does not
                # have: the request is dispatched at once.
                self.dispatcher.tell(RequestAccepted(request, waiting["arrived_us"], reply))
        else:
            adopted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            self.dispatcher.tell(AdoptRequest(request, body, reply, adopted))
            if not await adopted:
                os.close(fd)
                reply.cancel()  # admission control, if it tracks the request, forgets it
                return False
        await inbound.adopt(request, reply, fd)
        return True

    async def accept_claim(self, request_id: str) -> bool:
        """Reserve an id for a request of the predecessor. Returns False if it is in use.

        If this process has a successor of its own that decides about ids, that one is asked too.
        """
        in_flight = self.dispatcher.in_flight
        if in_flight.is_known(request_id):
            return False
        in_flight.reserve(request_id)
        return self.handover is None or await self.handover.claim(request_id) is Claim.GRANTED

    # Workers' calls about requests

    async def deliver(self, event: JobEvent) -> None:
        """Deliver a worker's call to the process that owns the call's request.

        Returns once the call is in the mailbox of this process's dispatcher, or the other process has
        accepted it. A call whose request is in neither process is dropped. If each process has a request with
        the call's id, the call belongs to the one with an attempt at the call's worker.
        """
        await self._wait_for_transit(event.id)
        if (
            not self.dispatcher.in_flight.expects_callback(event)
            and self.handover
            and await self.handover.forward_worker_event(protocol.encode_job_event(event))
        ):
            return
        # The request may have been transferred to this process while the call was being forwarded.
        if event.id in self.dispatcher.in_flight:
            self.dispatcher.tell(event)

    async def accept_worker_event(self, body: Json) -> bool:
        """Process a worker's call that the other process has forwarded.

        Returns False if this process has no attempt of the call's request at the call's worker.
        """
        event = protocol.decode_job_event_object(body)
        await self._wait_for_transit(event.id)
        if not self.dispatcher.in_flight.expects_callback(event):
            return False
        self.dispatcher.tell(event)
        return True

    async def _wait_for_transit(self, request_id: str) -> None:
        """Wait until the request is in one process: a hand-over of it has succeeded or failed."""
        if in_transit := self.dispatcher.handover.in_transit.get(request_id):
            await in_transit.wait()
