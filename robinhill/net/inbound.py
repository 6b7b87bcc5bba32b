"""The inbound side: the listener for clients, for the front's /ready and for the endpoints' calls."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from robinhill.config import Config
from robinhill.net import messages
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.connections import FRONT_S, SWEEP_S, Listener, bind, connection_of, reject
from robinhill.net.decider import ClientLeft, Taken
from robinhill.net.figures import Figures
from robinhill.net.messages import Answer, JobEvent

JOB_EVENTS = "/v1/job-events"
READY = "/ready"
# After SIGTERM: two retries of a client that follows this advice outlast another scheduler's restart.
RETURN_US = 700_000


class Inbound:
    """Serves one address; each connection is aiohttp's, each message goes to the decider's mailbox."""

    def __init__(
        self,
        config: Config,
        supervisor: Supervisor,
        clock: Clock,
        figures: Figures,
        report: Callable[[Taken | ClientLeft | JobEvent], None],
    ) -> None:
        self.config = config
        self.supervisor = supervisor
        self.clock = clock
        self.figures = figures
        self.report = report
        self.deadlines_us = tuple(c.deadline_us for c in config.settings.classes)
        self.drained = False  # by operators: clients should go elsewhere
        self._drains: asyncio.Task[None] | None = None
        self.leaving = False  # answers close their connection
        self.closed_to_new = False  # new requests are refused
        self.owed = 0
        self.none_owed = asyncio.Event()
        self.none_owed.set()
        self._listener = Listener(self._handle, config.client_sockets, supervisor, messages.MAX_BODY)

    def start(self) -> None:
        self._listener.listen(bind(self.config.listen, "GW_LISTEN"))

    async def close(self) -> None:
        self._listener.close()
        await self._listener.shutdown(1.0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.raw_path
        if request.method == "GET" and path == READY:
            # Asked once: a connection kept behind it would only take a descriptor.
            return self._respond(Answer(200 if self.ready else 503, b"", close=True))
        if request.method != "POST":
            return reject(request, 405, "jobs come by POST")
        if path == JOB_EVENTS:
            event = messages.read_job_event(await request.read())
            connection = connection_of(request)
            connection.claim(useful=True)
            connection.calls_back = True
            self.report(event)
            return web.Response(status=204)
        return await self._job(request)

    @property
    def ready(self) -> bool:
        """Whether clients should come here."""
        return not (self.leaving or self.drained)

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
        arrived_us = self.clock.now_us()
        body = await request.read()
        job = messages.read_request(
            request.raw_path, request.headers, body, self.config.classes, self.deadlines_us
        )
        connection_of(request).claim(useful=True)
        if self.closed_to_new:
            settings = self.config.settings
            refusal = messages.fail_fast(min(RETURN_US, settings.max_retry_after_us) * settings.retry_after)
            self.figures.turned_away(job.job_class, refusal)
            return self._respond(refusal)
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.owed += 1
        self.none_owed.clear()
        try:
            self.report(Taken(job, arrived_us, reply))
            return self._respond(await reply)
        except asyncio.CancelledError:
            self.report(ClientLeft(job))
            raise
        finally:
            self.owed -= 1
            if not self.owed:
                self.none_owed.set()

    def _respond(self, answer: Answer) -> web.Response:
        response = web.Response(status=answer.status, body=answer.body, headers=answer.headers())
        if not self.ready or answer.close:
            response.force_close()
        return response

