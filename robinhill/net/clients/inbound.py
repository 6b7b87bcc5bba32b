"""The HTTP server for clients' jobs, readiness checks and workers' callbacks, on one address.

The readiness checks are sent by the *front*, the load balancer that distributes clients over the schedulers.
The server decodes requests, passes them on, and writes the final answer to each; it makes no decisions about
jobs. When another process of this scheduler, its successor, has superseded this one, this process leaves new
connections to the successor, and on shutdown hands over the connections with pending requests.
"""

import asyncio
import logging
import os
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from aiohttp import web
from multidict import MultiMapping

from robinhill import protocol
from robinhill.config import Config
from robinhill.memory_budget import MemoryBudget
from robinhill.net.actor import Supervisor
from robinhill.net.client_reply import ClientReply
from robinhill.net.clients.connection import CloseReason, Connection, connection_of, reject
from robinhill.net.clients.listener import Listener
from robinhill.net.clock import Clock
from robinhill.net.discovery.catch_up import CatchUp
from robinhill.net.dispatcher.messages import ClientDisconnected, RequestAccepted
from robinhill.net.memory_release import release_periodically
from robinhill.net.metrics import Metrics
from robinhill.protocol import Answer, JobEvent, JobRequest

if TYPE_CHECKING:
    from robinhill.admission.callers import Caller

log = logging.getLogger(__name__)

JOB_EVENTS = "/v1/job-events"
READY = "/ready"
READINESS_SETTLE_S = 0.5  # how long the front still opens connections after a failed readiness check
IDLE_SWEEP_INTERVAL_S = 0.25  # interval at which idle connections are closed during an operator's drain
# Delay that the answers to requests rejected here ask clients to observe before a retry. Two retries at this
# interval outlast the restart of another scheduler.
REJECTED_RETRY_AFTER_US = 700_000

Json = dict[str, Any]


@dataclass(slots=True, frozen=True)
class _PendingRequest:
    """A request whose answer is to be written to a connection."""

    request: JobRequest
    reply: asyncio.Future[Answer]  # set to the request's final answer


class Inbound:
    """Serves the clients' address, and passes each request on through ``report``.

    ``report`` sends a message to admission control, or to the dispatcher where there is no admission control.
    ``deliver`` passes on a worker's callback, and returns once the callback was accepted or dropped.
    """

    def __init__(
        self,
        config: Config,
        supervisor: Supervisor,
        clock: Clock,
        metrics: Metrics,
        report: Callable[[RequestAccepted | ClientDisconnected], None],
        deliver: Callable[[JobEvent], Awaitable[None]],
        identify_caller: "Callable[[MultiMapping[str], str | None], Caller | None] | None" = None,
    ) -> None:
        self.identify_caller = identify_caller  # None: admission control is not in use
        self.config = config
        self.supervisor = supervisor
        self.clock = clock
        self.metrics = metrics
        self.report = report
        self.deliver = deliver
        self.deadlines_us = tuple(c.deadline_us for c in config.settings.classes)
        self.catch_up: CatchUp | None = None  # None: stalls are not detected
        # Whether this process, after its start, still waits for its first lease on the endpoint list;
        # requests are queued while the process has no lease.
        self.awaiting_endpoint_list = False
        # Whether this process still has to receive the records that schedulers share; False if none are
        # shared.
        self.catching_up = False
        self.drained_by_operators = False
        self._idle_sweep: asyncio.Task[None] | None = None
        self.serving = False  # whether this process has begun to accept connections
        self.superseded = False  # whether another process accepts connections instead of this one
        self.pending: dict[Connection, _PendingRequest] = {}
        self.shutting_down = False  # if True, each response closes its connection
        self.rejects_new_requests = False
        self.pending_count = 0
        self.none_pending = asyncio.Event()  # set while no request is pending
        self.none_pending.set()
        self.memory = MemoryBudget(config.client_memory_bytes())
        self._listener = Listener(
            self._handle,
            config.client_sockets(),
            supervisor,
            protocol.MAX_BODY_BYTES,
            self._record_close,
            self.memory,
            self._arrival_us,
        )

    def _record_close(self, why: CloseReason) -> None:
        self.metrics.closes[f"client.{why.value}"] += 1

    def start(self, sock: socket.socket) -> None:
        """Start to accept connections on a listening socket, of which this object takes ownership."""
        self.serving = True
        self._listener.listen(sock)
        self.supervisor.spawn(release_periodically(self.memory), "memory release")

    async def close(self) -> None:
        """Reject new requests and close all connections.

        If no request is pending, connections are drained first (`Listener.drain`), so that requests in
        transit still receive an answer. If requests are pending, connections are closed without a drain.
        """
        self.shutting_down = self.rejects_new_requests = True
        if not self.pending_count:
            await self._listener.drain()
        self._listener.close()
        await self._listener.shutdown(1.0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.raw_path
        if request.method == "GET" and path == READY:
            # The connection is closed after a readiness check, as an idle connection would only occupy a
            # descriptor. A superseded process (one whose successor accepts connections instead) answers that
            # it is ready: its successor has the same address, and a failed check would make the front stop
            # sending clients to that address.
            ready = self.ready or (self.superseded and not self.drained_by_operators)
            return self._respond(Answer(200 if ready else 503, b"", close=True))
        if adopted := connection_of(request).take_adopted_request():
            assert isinstance(adopted, _PendingRequest)
            return await self._answer(connection_of(request), adopted)
        if request.method != "POST":
            return reject(request, 405, "method not allowed: submit jobs with POST")
        if path == JOB_EVENTS:
            event = protocol.decode_job_event(await request.read())
            connection = connection_of(request)
            connection.begin_answer(serves=True)
            connection.carries_callbacks = True
            await self.deliver(event)
            return web.Response(status=204)
        return await self._job(request)

    @property
    def ready(self) -> bool:
        """Whether the front (the clients' load balancer) should send clients to this process."""
        return self.serving and not (
            self.shutting_down
            or self.drained_by_operators
            or self.superseded
            or self.catching_up
            or self.awaiting_endpoint_list
        )

    def drain(self, start: bool) -> None:
        """Start or stop a drain by an operator.

        During a drain, readiness checks fail and idle connections are closed; no request is rejected.
        """
        self.drained_by_operators = start
        if self._idle_sweep:
            self._idle_sweep.cancel()
        self._idle_sweep = self.supervisor.spawn(self._close_idle_connections(), "drain") if start else None

    async def _close_idle_connections(self) -> None:
        await asyncio.sleep(READINESS_SETTLE_S)
        while True:
            self._listener.close_idle()
            await asyncio.sleep(IDLE_SWEEP_INTERVAL_S)

    def _arrival_us(self) -> int:
        """The time at which data that is read now has arrived.

        If this process was stalled, that may be any time since the stall began; the earliest one is taken.
        """
        return self.catch_up.earliest_arrival_us() if self.catch_up else self.clock.now_us()

    async def _job(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_us = connection_of(request).arrived_us or self._arrival_us()
        body = await request.read()
        job = protocol.decode_request(
            request.raw_path, request.headers, body, self.config.classes, self.deadlines_us
        )
        caller = (
            self.identify_caller(request.headers, connection_of(request).peer_address())
            if self.identify_caller
            else None
        )
        connection_of(request).begin_answer(serves=True)
        if self.rejects_new_requests:
            return self._reject_job(job, "leaving")
        if self.memory.exceeded:
            return self._reject_job(job, "memory")
        reply = ClientReply()
        self.report(RequestAccepted(job, arrived_us, reply, caller))
        return await self._answer(connection_of(request), _PendingRequest(job, reply))

    def _reject_job(self, job: JobRequest, why: str) -> web.Response:
        settings = self.config.settings
        refusal = protocol.fail_fast(
            min(REJECTED_RETRY_AFTER_US, settings.max_retry_after_us) * settings.retry_after
        )
        self.metrics.rejections[why] += 1
        log.debug("request_rejected", extra={"id": job.id, "why": why})
        self.metrics.count_answer(job.job_class, refusal)
        return self._respond(refusal)

    async def _answer(self, connection: Connection, pending: _PendingRequest) -> web.StreamResponse:
        self.pending_count += 1
        self.none_pending.clear()
        self.pending[connection] = pending
        if isinstance(pending.reply, ClientReply):
            pending.reply.client_has_left = connection.client_has_left
        try:
            return self._respond(await pending.reply)
        except asyncio.CancelledError:
            if not connection.handed_over:
                self.report(ClientDisconnected(pending.request))
            raise
        finally:
            del self.pending[connection]
            self.pending_count -= 1
            if not self.pending_count:
                self.none_pending.set()

    # Hand-over between two processes

    def share_limits(self, processes: int) -> None:
        """Use this process's part of the descriptors and memory that all ``processes`` of a scheduler share.

        Connections and unfinished requests in excess of it are closed and refused if possible.
        """
        self._listener.set_budget(self.config.client_sockets(processes))
        self.memory.limit_bytes = self.config.client_memory_bytes(processes)
        self._listener.shed_excess_memory()

    def set_superseded(self, superseded: bool, processes: int) -> None:
        """Leave new connections to another process (True), or accept connections in this process (False).

        ``processes`` is the number of processes of this scheduler from now on.
        """
        self.superseded = superseded
        self.share_limits(processes)
        if self.serving:
            self._listener.accept(not superseded)

    @property
    def is_quiescent(self) -> bool:
        """Whether all responses are sent, and no request is pending, partially received or in transit.

        A request counts as in transit while it may be: see `Connection.is_idle`.
        """
        now = asyncio.get_running_loop().time()
        return not self.pending_count and not any(c.has_pending_work(now) for c in self._listener.open)

    async def hand_over(
        self,
        release: Callable[[JobRequest], Awaitable[Json | None]],
        send: Callable[[Json, int, JobRequest, asyncio.Future[Answer]], Awaitable[bool]],
    ) -> None:
        """Close clients' idle connections, and hand over each pending request that can be released.

        ``release`` returns a request's state, or None if the request can't be released at this time. ``send``
        passes that state on to the other process with a duplicate of the connection's descriptor, which
        ``send`` must close, and returns whether the other process has accepted the request.
        """
        self._listener.close_idle()
        for connection, pending in list(self.pending.items()):
            if not self.superseded:
                return  # the other process has exited, and this process accepts connections again
            if not connection.pause_for_handover():
                continue
            # The descriptor is duplicated before the request is released, as the duplication can fail.
            if (fd := connection.duplicate_descriptor()) is None:
                connection.resume_after_handover()
                continue
            state = await release(pending.request)
            if state is None:
                os.close(fd)
                connection.resume_after_handover()
            elif await send(state, fd, pending.request, pending.reply):
                connection.release()
            else:
                connection.resume_after_handover()

    async def adopt(self, request: JobRequest, reply: asyncio.Future[Answer], fd: int) -> None:
        """Answer a request that another process has handed over; ``fd`` is its connection's descriptor."""
        if not await self._listener.adopt(fd, _PendingRequest(request, reply)):
            self.report(ClientDisconnected(request))

    def _respond(self, answer: Answer) -> web.Response:
        response = web.Response(status=answer.status, body=answer.body, headers=answer.headers())
        if not self.ready or answer.close:
            response.force_close()
        return response
