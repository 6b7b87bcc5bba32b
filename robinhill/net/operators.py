"""The operators' side: a listener of its own, one call to a connection, 2xx for yes and 4xx or 5xx for no."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from robinhill.config import Address
from robinhill.net import messages
from robinhill.net.actor import Supervisor
from robinhill.net.connections import Listener, bind, connection_of, reject
from robinhill.net.messages import Answer

MAX_CALL = 1024  # an id, with room for blanks round it


@dataclass(slots=True, frozen=True)
class Calls:
    """What operators can ask for; those with an id, of an endpoint, or with whether to drain."""

    readiness: Callable[[], Answer]
    stats: Callable[[], Answer]
    door: Callable[[], Answer]
    hold_out: Callable[[str, bool], Awaitable[Answer]]
    drain: Callable[[bool], Awaitable[Answer]]


class Operators:
    """Serves the operators' address, with descriptors that clients can't take."""

    def __init__(self, address: Address, budget: int, supervisor: Supervisor, calls: Calls) -> None:
        self.address = address
        self.calls = calls
        self.listener = Listener(self._handle, budget, supervisor, MAX_CALL)
        self._routes: dict[str, tuple[str, Callable[[bytes], Awaitable[Answer]]]] = {
            "/ops/readiness": ("GET", self._readiness),
            "/ops/stats": ("GET", self._stats),
            "/ops/door": ("GET", self._door),
            "/ops/workers/down": ("PUT", lambda body: self._worker(body, True)),
            "/ops/workers/up": ("PUT", lambda body: self._worker(body, False)),
            "/ops/drain/start": ("PUT", lambda body: calls.drain(True)),
            "/ops/drain/stop": ("PUT", lambda body: calls.drain(False)),
        }

    def start(self) -> None:
        self.listener.listen(bind(self.address, "GW_OPS"))

    async def close(self) -> None:
        self.listener.close()
        await self.listener.shutdown(1.0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.raw_path
        if (route := self._routes.get(path)) is None:
            return reject(request, 404, "no such call")
        method, call = route
        if request.method != method:
            response = reject(request, 405, f"the method is {method}")
            response.headers["Allow"] = method
            return response
        body = await request.read()
        connection_of(request).claim(useful=True)
        answer = await call(body)
        response = web.Response(status=answer.status, body=answer.body)
        response.force_close()
        return response

    async def _readiness(self, body: bytes) -> Answer:
        return self.calls.readiness()

    async def _stats(self, body: bytes) -> Answer:
        return self.calls.stats()

    async def _door(self, body: bytes) -> Answer:
        return self.calls.door()

    async def _worker(self, body: bytes, out: bool) -> Answer:
        return await self.calls.hold_out(messages.read_instance_id(body), out)
