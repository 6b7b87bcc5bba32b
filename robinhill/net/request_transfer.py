"""Requests and workers' calls on their way between the two processes of one scheduler.

A request waits at admission control or is in flight at the dispatcher: this module collects what either knows
of it for the successor, and gives it back where none took it. At no moment do two processes have a request.
"""

import asyncio
import logging
import os
from typing import TYPE_CHECKING, Any, Final

from robinhill import protocol
from robinhill.net.clients.inbound import Inbound
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.dispatcher.messages import AdoptRequest, ReleaseRequest, RequestAccepted
from robinhill.net.handover.handover import Handover
from robinhill.net.handover.messages import QuestionName
from robinhill.net.handover.process_link import LinkLostError
from robinhill.protocol import Answer, JobEvent, JobRequest

if TYPE_CHECKING:  # admission control is loaded only where it is configured
    from robinhill.net.dispatcher.admission import AdmissionActor

log = logging.getLogger(__name__)

Json = dict[str, Any]
ADMISSION_KEY: Final = "door"  # of admission's part of a request's state, in processes of all versions


class RequestTransfer:
    """Moves requests between dispatcher, admission and the other process."""

    def __init__(self, dispatcher: Dispatcher, admission: "AdmissionActor | None") -> None:
        self.dispatcher = dispatcher
        self.admission = admission
        self.handover: Handover | None = None  # the other process; None: there is never one

    # To the other process

    async def release(self, request: JobRequest) -> Json | None:
        """What a successor needs to go on with a request; None while it has to stay."""
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
        """Whether the successor has a released request now; else it is this process's again, or answered."""
        taken, sent = False, False
        body = state | {"request": protocol.encode_handed_over_request(request)}
        try:
            if self.handover and (successor := self.handover.successor):
                taken = (await successor.ask(QuestionName.ADOPT_REQUEST, body, fd)).get("taken", True)
            else:
                os.close(fd)  # the successor has exited since the request was released
        except LinkLostError as e:
            sent = e.sent
        if sent:
            # It had the request and may have sent an attempt, so no other attempt may follow.
            if not reply.done():
                reply.set_result(protocol.FAILED)
        elif not taken:
            await self._take_back(state, request, reply)
        self.dispatcher.handover.finish_transit(request.id)
        if taken:
            log.info("handed_over", extra={"id": request.id})
        return taken

    async def _take_back(self, state: Json, request: JobRequest, reply: asyncio.Future[Answer]) -> None:
        """Go on with a request that no successor has had."""
        if self.admission and "waiting" in state[ADMISSION_KEY]:
            self.admission.adopt(request, state[ADMISSION_KEY], reply, False)
            return
        adopted = asyncio.Event()
        own_timers_set = state | {"timers": []}
        self.dispatcher.tell(AdoptRequest(request, own_timers_set, reply, adopted, released_here=True))
        await adopted.wait()

    # From the other process

    async def adopt(self, body: Json, fd: int, inbound: Inbound) -> bool:
        """Go on with a request and its client's connection; False if this process shuts down itself."""
        if inbound.shutting_down:
            os.close(fd)
            return False
        request = protocol.decode_handed_over_request(body["request"])
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        admission_state = body.get(ADMISSION_KEY) or {}
        if self.admission and "caller" in admission_state:
            self.admission.adopt(request, admission_state, reply, bool(body.get("attempt")))
        if waiting := admission_state.get("waiting"):
            if not self.admission:  # it has waited long enough
                self.dispatcher.tell(RequestAccepted(request, waiting["arrived_us"], reply))
        else:
            adopted = asyncio.Event()
            self.dispatcher.tell(AdoptRequest(request, body, reply, adopted))
            await adopted.wait()
        await inbound.adopt(request, reply, fd)
        return True

    # Workers' calls about requests

    async def deliver(self, event: JobEvent) -> None:
        """Bring a worker's call to the process that has its request; return once that one has it."""
        await self._wait_for_transit(event.id)
        if (
            event.id not in self.dispatcher.in_flight
            and self.handover
            and await self.handover.forward_worker_event(protocol.encode_job_event(event))
        ):
            return
        if event.id in self.dispatcher.in_flight:  # it may have come here meanwhile
            self.dispatcher.tell(event)

    async def take_worker_event(self, body: Json) -> bool:
        """Take a call that the other process has forwarded; False if its request is not here."""
        event = protocol.decode_job_event_object(body)
        await self._wait_for_transit(event.id)
        if event.id not in self.dispatcher.in_flight:
            return False
        self.dispatcher.tell(event)
        return True

    async def _wait_for_transit(self, request_id: str) -> None:
        if in_transit := self.dispatcher.handover.in_transit.get(request_id):
            await in_transit.wait()
