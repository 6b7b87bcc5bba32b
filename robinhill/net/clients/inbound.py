"""The inbound side: the listener for clients, for the front's /ready and for the endpoints' calls."""

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
from robinhill.net.actor import Supervisor
from robinhill.net.clients.connections import (
    FRONT_S,
    SWEEP_S,
    CloseReason,
    Connection,
    Listener,
    connection_of,
    reject,
)
from robinhill.net.clock import Clock
from robinhill.net.discovery.catch_up import CatchUp
from robinhill.net.dispatcher.messages import ClientDisconnected, RequestAccepted
from robinhill.net.metrics import Metrics
from robinhill.protocol import Answer, JobEvent, JobRequest

if TYPE_CHECKING:
    from robinhill.admission.callers import Caller

log = logging.getLogger(__name__)

JOB_EVENTS = "/v1/job-events"
READY = "/ready"
# After SIGTERM: two retries of a client that follows this advice outlast another scheduler's restart.
RETURN_US = 700_000


Json = dict[str, Any]


@dataclass(slots=True, frozen=True)
class _Answering:
    """A request whose answer a connection waits for."""

    request: JobRequest
    reply: asyncio.Future[Answer]


class Inbound:
    """Serves one address; each connection is aiohttp's, each message goes to the decider's mailbox."""

    def __init__(
        self,
        config: Config,
        supervisor: Supervisor,
        clock: Clock,
        metrics: Metrics,
        report: Callable[[RequestAccepted | ClientDisconnected], None],
        deliver: Callable[[JobEvent], Awaitable[None]],
        find: "Callable[[MultiMapping[str], str | None], Caller | None] | None" = None,
    ) -> None:
        self.find = find  # who sends a request, where there is admission control
        self.config = config
        self.supervisor = supervisor
        self.clock = clock
        self.metrics = metrics
        self.report = report
        self.deliver = deliver
        self.deadlines_us = tuple(c.deadline_us for c in config.settings.classes)
        self.catch_up: CatchUp | None = None  # after a stall; None: stalls are not looked for
        self.awaiting_list = False  # discovery has not answered yet: what comes is held
        self.behind = False  # on what other schedulers know, where they share
        self.drained = False  # by operators: clients should go elsewhere
        self._drains: asyncio.Task[None] | None = None
        self.serving = False  # it accepts
        self.succeeded = False  # another process accepts in its place
        self.answering: dict[Connection, _Answering] = {}
        self.leaving = False  # answers close their connection
        self.closed_to_new = False  # new requests are refused
        self.owed = 0
        self.none_owed = asyncio.Event()
        self.none_owed.set()
        self._listener = Listener(
            self._handle, config.client_sockets(), supervisor, protocol.MAX_BODY, self._note_close
        )

    def _note_close(self, why: CloseReason) -> None:
        self.metrics.closes[f"client.{why.value}"] += 1

    def start(self, sock: socket.socket) -> None:
        self.serving = True
        self._listener.listen(sock)

    async def close(self) -> None:
        """Refuse what still comes, let its answers leave, and end; at once where answers are owed."""
        self.leaving = self.closed_to_new = True
        if not self.owed:
            await self._listener.leave()
        self._listener.close()
        await self._listener.shutdown(1.0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.raw_path
        if request.method == "GET" and path == READY:
            # Asked once: a connection kept behind it would only take a descriptor.
            # Our successor is at the same address: a no on a connection to us would keep clients from it.
            ready = self.ready or (self.succeeded and not self.drained)
            return self._respond(Answer(200 if ready else 503, b"", close=True))
        if adopted := connection_of(request).take_adopted():
            assert isinstance(adopted, _Answering)
            return await self._answer(connection_of(request), adopted)
        if request.method != "POST":
            return reject(request, 405, "jobs come by POST")
        if path == JOB_EVENTS:
            event = protocol.read_job_event(await request.read())
            connection = connection_of(request)
            connection.claim(useful=True)
            connection.calls_back = True
            await self.deliver(event)
            return web.Response(status=204)
        return await self._job(request)

    @property
    def ready(self) -> bool:
        """Whether clients should come here."""
        return self.serving and not (
            self.leaving or self.drained or self.succeeded or self.behind or self.awaiting_list
        )

    def drain(self, start: bool) -> None:
        """Send clients elsewhere, or take them again; nothing is refused, and endpoints go on calling."""
        self.drained = start
        if self._drains:
            self._drains.cancel()
        self._drains = self.supervisor.spawn(self._send_away(), "drain") if start else None

    async def _send_away(self) -> None:
        await asyncio.sleep(FRONT_S)
        while True:
            self._listener.retire_idle()
            await asyncio.sleep(SWEEP_S)

    async def _job(self, request: web.BaseRequest) -> web.StreamResponse:
        # After a stall it may have been here since the last moment at which we looked.
        arrived_us = self.catch_up.earliest_arrival_us() if self.catch_up else self.clock.now_us()
        body = await request.read()
        job = protocol.read_request(
            request.raw_path, request.headers, body, self.config.classes, self.deadlines_us
        )
        caller = self.find(request.headers, connection_of(request).peer()) if self.find else None
        connection_of(request).claim(useful=True)
        if self.closed_to_new:
            settings = self.config.settings
            refusal = protocol.fail_fast(min(RETURN_US, settings.max_retry_after_us) * settings.retry_after)
            self.metrics.refusals["leaving"] += 1
            log.debug("request_refused", extra={"id": job.id, "why": "leaving"})
            self.metrics.answered(job.job_class, refusal)
            return self._respond(refusal)
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.report(RequestAccepted(job, arrived_us, reply, caller))
        return await self._answer(connection_of(request), _Answering(job, reply))

    async def _answer(self, connection: Connection, owed: "_Answering") -> web.StreamResponse:
        self.owed += 1
        self.none_owed.clear()
        self.answering[connection] = owed
        try:
            return self._respond(await owed.reply)
        except asyncio.CancelledError:
            if not connection.handed:
                self.report(ClientDisconnected(owed.request))
            raise
        finally:
            del self.answering[connection]
            self.owed -= 1
            if not self.owed:
                self.none_owed.set()

    # Between two processes

    def share(self, budget: int) -> None:
        """Keep to so many connections from now on."""
        self._listener.share(budget)

    def succeed(self, yes: bool, budget: int) -> None:
        """Another process accepts in place of this one, or none does any more."""
        self.succeeded = yes
        self.share(budget)
        if self.serving:
            self._listener.accept(not yes)

    @property
    def settled(self) -> bool:
        """Whether nothing is owed, and no request is half here or may be on its way."""
        now = asyncio.get_running_loop().time()
        return not self.owed and not any(c.unsettled(now) for c in self._listener.open)

    async def hand_over(
        self,
        release: Callable[[JobRequest], Awaitable[Json | None]],
        send: Callable[[Json, int, JobRequest, asyncio.Future[Answer]], Awaitable[bool]],
    ) -> None:
        """Let another process answer what is owed, as far as it can go now; idle connections end."""
        self._listener.retire_idle()
        for connection, owed in list(self.answering.items()):
            if not self.succeeded:
                return  # it has gone
            if not connection.hold():
                continue
            if (fd := connection.hand_over()) is None:  # before anything is let go
                connection.stay()
                continue
            told = await release(owed.request)
            if told is None:
                os.close(fd)
                connection.stay()
            elif await send(told, fd, owed.request, owed.reply):
                connection.forget()
            else:
                connection.stay()

    async def adopt(self, request: JobRequest, reply: asyncio.Future[Answer], fd: int) -> None:
        """Answer what another process was owing."""
        if not await self._listener.adopt(fd, _Answering(request, reply)):
            self.report(ClientDisconnected(request))

    def _respond(self, answer: Answer) -> web.Response:
        response = web.Response(status=answer.status, body=answer.body, headers=answer.headers())
        if not self.ready or answer.close:
            response.force_close()
        return response
