"""The inbound side: the listener for clients, for the front's /ready and for the endpoints' calls."""

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from aiohttp import web

from robinhill.config import Config, ConfigError
from robinhill.net import messages
from robinhill.net.clock import Clock
from robinhill.net.decider import ClientLeft, Taken
from robinhill.net.messages import Answer, JobEvent

log = logging.getLogger(__name__)

JOB_EVENTS = "/v1/job-events"
READY = "/ready"
BACKLOG = 1024
KEEPALIVE_S = 75.0
CROWDED_SHARE = 0.75  # of all descriptors
TOO_LARGE = f"a body holds at most {messages.MAX_BODY} bytes"


class Inbound:
    """Serves one address; each connection is aiohttp's, each message goes to the decider's mailbox."""

    def __init__(
        self, config: Config, clock: Clock, report: Callable[[Taken | ClientLeft | JobEvent], None]
    ) -> None:
        self.config = config
        self.clock = clock
        self.report = report
        self.deadlines_us = tuple(c.deadline_us for c in config.settings.classes)
        self.leaving = False  # answers close their connection
        self.closed_to_new = False  # new requests are refused
        self.owed = 0
        self.none_owed = asyncio.Event()
        self.none_owed.set()
        self._server: asyncio.Server | None = None
        self._http: web.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._http = web.Server(
            self._handle,
            request_factory=partial(web.BaseRequest, loop=loop, client_max_size=messages.MAX_BODY),
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )
        listen = self.config.listen
        try:
            self._server = await loop.create_server(
                self._http, listen.host, listen.port, backlog=BACKLOG, reuse_address=True
            )
        except OSError as e:
            raise ConfigError("GW_LISTEN", f"can't listen on {listen}: {e.strerror}") from e

    async def close(self) -> None:
        if self._server:
            self._server.close()
        if self._http:
            self._http.pre_shutdown()
            await self._http.shutdown(1.0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            path = request.rel_url.raw_path
            if request.method == "GET" and path == READY:
                return self._respond(Answer(503 if self.leaving else 200, b""))
            if request.method != "POST":
                return self._reject(request, 405, "jobs come by POST")
            if (request.content_length or 0) > messages.MAX_BODY:
                return self._reject(request, 413, TOO_LARGE)  # before its body comes
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                request.writer.output_size = 0  # the answer itself has not begun
            if path == JOB_EVENTS:
                self.report(messages.read_job_event(await request.read()))
                return web.Response(status=204)
            return await self._job(request)
        except messages.MalformedError as e:
            return self._reject(request, 400, str(e))
        except web.HTTPRequestEntityTooLarge:
            return self._reject(request, 413, TOO_LARGE)

    async def _job(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_us = self.clock.now_us()
        body = await request.read()
        job = messages.read_request(
            request.raw_path, request.headers, body, self.config.classes, self.deadlines_us
        )
        if self.closed_to_new:
            return self._respond(messages.fail_fast())
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
        if self.leaving or self._crowded():
            response.force_close()
        return response

    def _crowded(self) -> bool:
        """Whether client connections come near the limit of descriptors: answers close theirs then."""
        connections = len(self._http.connections) if self._http else 0
        return connections > self.config.sockets * CROWDED_SHARE

    def _reject(self, request: web.BaseRequest, status: int, why: str) -> web.Response:
        log.warning("malformed", extra={"peer": request.remote, "status": status, "why": why})
        response = web.Response(status=status, text=why + "\n")
        response.force_close()
        return response
