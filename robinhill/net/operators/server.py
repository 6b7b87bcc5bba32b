"""The operators' side: a listener of its own, one call to a connection, 2xx for yes and 4xx or 5xx for no."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from robinhill import protocol
from robinhill.config_types import Address
from robinhill.net.actor import Supervisor
from robinhill.net.clients.connection import connection_of, reject
from robinhill.net.clients.listener import Listener, bind
from robinhill.protocol import Answer

log = logging.getLogger(__name__)

MAX_CALL = 1024  # an id, with room for blanks round it
MAX_CORDON_CALL = 4096  # a target, a reason and who asks, in JSON
CORDONS = "/ops/cordons"
OLD_ADMISSION = "/ops/door"  # the call's name before it was /ops/admission


@dataclass(slots=True, frozen=True)
class Calls:
    """What operators can ask for; those with an id, of an endpoint, or with whether to drain."""

    readiness: Callable[[], Answer]
    stats: Callable[[], Answer]
    admission: Callable[[], Answer]
    hold_out: Callable[[str, bool], Awaitable[Answer]]
    drain: Callable[[bool], Awaitable[Answer]]
    # Where schedulers share: a call's method, the cordon's id ("": all), body, and for how long it waits.
    cordons: Callable[[str, str, bytes, str | None], Awaitable[Answer]] | None = None
    mesh: Callable[[], Answer] | None = None
    vouch: Callable[[], Answer] | None = None


class Operators:
    """Serves the operators' address, with descriptors that clients can't take."""

    def __init__(self, address: Address, budget: int, supervisor: Supervisor, calls: Calls) -> None:
        self.address = address
        self.calls = calls
        most = MAX_CORDON_CALL if calls.cordons else MAX_CALL
        self.listener = Listener(self._handle, budget, supervisor, most)
        self._routes: dict[str, tuple[str, Callable[[bytes], Awaitable[Answer]]]] = {
            "/ops/readiness": ("GET", self._readiness),
            "/ops/stats": ("GET", self._stats),
            "/ops/admission": ("GET", self._admission),
            OLD_ADMISSION: ("GET", self._admission_by_old_name),
            "/ops/workers/down": ("PUT", lambda body: self._worker(body, True)),
            "/ops/workers/up": ("PUT", lambda body: self._worker(body, False)),
            "/ops/drain/start": ("PUT", lambda body: calls.drain(True)),
            "/ops/drain/stop": ("PUT", lambda body: calls.drain(False)),
        }
        if calls.mesh and calls.vouch:
            mesh, vouch = calls.mesh, calls.vouch
            self._routes["/ops/mesh"] = ("GET", lambda body: _at_once(mesh()))
            self._routes["/ops/mesh/vouch"] = ("PUT", lambda body: _at_once(vouch()))

    def start(self) -> None:
        self.listener.listen(bind(self.address, "GW_OPS"))

    async def close(self) -> None:
        self.listener.close()
        await self.listener.shutdown(1.0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.raw_path
        if self.calls.cordons and (path == CORDONS or path.startswith(CORDONS + "/")):
            return await self._cordons(request, self.calls.cordons)
        if (route := self._routes.get(path)) is None:
            return reject(request, 404, "no such call")
        method, call = route
        if request.method != method:
            response = reject(request, 405, f"the method is {method}")
            response.headers["Allow"] = method
            return response
        body = await request.read()
        if len(body) > MAX_CALL:
            return reject(request, 413, f"a body holds at most {MAX_CALL} bytes")
        connection_of(request).begin_answer(serves=True)
        answer = await call(body)
        response = web.Response(status=answer.status, body=answer.body)
        response.force_close()
        return response

    async def _cordons(
        self, request: web.BaseRequest, call: Callable[[str, str, bytes, str | None], Awaitable[Answer]]
    ) -> web.StreamResponse:
        cordon_id = request.rel_url.path.removeprefix(CORDONS).removeprefix("/")
        methods = ("GET", "PUT", "DELETE") if cordon_id else ("GET",)
        if request.method not in methods:
            response: web.StreamResponse = reject(request, 405, f"the methods are {', '.join(methods)}")
            response.headers["Allow"] = ", ".join(methods)
            return response
        body = await request.read()
        connection_of(request).begin_answer(serves=True)
        answer = await call(request.method, cordon_id, body, request.rel_url.query.get("wait"))
        response = web.Response(status=answer.status, body=answer.body, content_type="application/json")
        response.force_close()
        return response

    async def _readiness(self, body: bytes) -> Answer:
        return self.calls.readiness()

    async def _stats(self, body: bytes) -> Answer:
        return self.calls.stats()

    async def _admission(self, body: bytes) -> Answer:
        return self.calls.admission()

    async def _admission_by_old_name(self, body: bytes) -> Answer:
        log.warning("deprecated_call", extra={"call": OLD_ADMISSION, "write": "/ops/admission"})
        return self.calls.admission()

    async def _worker(self, body: bytes, out: bool) -> Answer:
        return await self.calls.hold_out(protocol.decode_instance_id(body), out)


async def _at_once(answer: Answer) -> Answer:
    return answer
