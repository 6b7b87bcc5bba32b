"""The HTTP server for operators' calls, on its own listener, with one call per connection.

This module defines the paths and methods of the calls; the functions in `OperatorCalls` carry out the calls.
A status of 2xx means that the call succeeded, 4xx and 5xx that it failed.
"""

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

MAX_BODY_BYTES = 1024  # enough for a worker's ID with surrounding white space
MAX_CORDON_BODY_BYTES = 4096  # enough for a cordon's target, its reason and the operator's name, in JSON
CLOSE_TIMEOUT_S = 1.0  # how long open connections may last after the server stops listening
CORDONS_PATH = "/ops/cordons"
ADMISSION_PATH = "/ops/admission"
DEPRECATED_ADMISSION_PATH = "/ops/door"

BodyHandler = Callable[[bytes], Awaitable[Answer]]
CordonHandler = Callable[[str, str, bytes, str | None], Awaitable[Answer]]
"""Handles a call about cordons. Its arguments are the call's method, the cordon's ID ('' for all cordons),
the body, and the ``wait`` parameter of the query (None if absent)."""


@dataclass(slots=True, frozen=True)
class OperatorCalls:
    """The functions that carry out operators' calls.

    ``readiness``, ``stats`` (metrics), ``admission`` (the state of admission control) and ``mesh`` (the state
    that schedulers share) return the answer to a query. ``disable_worker`` is called with a worker's ID and
    True to disable the worker or False to enable it again; ``drain`` with True to start draining or False to
    stop. ``cordons``, ``mesh`` and ``confirm_complete`` are None if schedulers share no state.
    ``confirm_complete`` is called when an operator confirms that this process knows all cordons in force.
    """

    readiness: Callable[[], Answer]
    stats: Callable[[], Answer]
    admission: Callable[[], Answer]
    disable_worker: Callable[[str, bool], Awaitable[Answer]]
    drain: Callable[[bool], Awaitable[Answer]]
    cordons: CordonHandler | None = None
    mesh: Callable[[], Answer] | None = None
    confirm_complete: Callable[[], Answer] | None = None


@dataclass(slots=True, frozen=True)
class Route:
    """The only method that a path accepts, and the path's handler."""

    method: str
    handle: BodyHandler


class OperatorServer:
    """Serves the operators' address.

    ``budget`` is the maximum number of open connections to this address. Client connections have a budget of
    their own, so that operators can connect while the clients' budget is used up.
    """

    def __init__(self, address: Address, budget: int, supervisor: Supervisor, calls: OperatorCalls) -> None:
        self.address = address
        self.calls = calls
        max_body_bytes = MAX_CORDON_BODY_BYTES if calls.cordons else MAX_BODY_BYTES
        self.listener = Listener(self._handle, budget, supervisor, max_body_bytes)
        self._routes: dict[str, Route] = {}
        self.add_route("/ops/readiness", "GET", lambda _body: _completed(calls.readiness()))
        self.add_route("/ops/stats", "GET", lambda _body: _completed(calls.stats()))
        self.add_route(ADMISSION_PATH, "GET", lambda _body: _completed(calls.admission()))
        self.add_route(DEPRECATED_ADMISSION_PATH, "GET", self._handle_deprecated_admission)
        self.add_route("/ops/workers/down", "PUT", lambda body: self._disable_worker(body, True))
        self.add_route("/ops/workers/up", "PUT", lambda body: self._disable_worker(body, False))
        self.add_route("/ops/drain/start", "PUT", lambda _body: calls.drain(True))
        self.add_route("/ops/drain/stop", "PUT", lambda _body: calls.drain(False))
        if calls.mesh and calls.confirm_complete:
            mesh, confirm_complete = calls.mesh, calls.confirm_complete
            self.add_route("/ops/mesh", "GET", lambda _body: _completed(mesh()))
            self.add_route("/ops/mesh/vouch", "PUT", lambda _body: _completed(confirm_complete()))

    def add_route(self, path: str, method: str, handle: BodyHandler) -> None:
        """Serve ``path`` for one method only: ``handle`` is called with the body of each request."""
        self._routes[path] = Route(method, handle)

    def start(self) -> None:
        """Start to listen. Raises ConfigError if the address can't be bound."""
        self.listener.listen(bind(self.address, "GW_OPS"))

    async def close(self) -> None:
        """Stop listening, and wait up to `CLOSE_TIMEOUT_S` for open connections to end."""
        self.listener.close()
        await self.listener.shutdown(CLOSE_TIMEOUT_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.raw_path
        if self.calls.cordons and (path == CORDONS_PATH or path.startswith(CORDONS_PATH + "/")):
            return await self._handle_cordons(request, self.calls.cordons)
        if (route := self._routes.get(path)) is None:
            return reject(request, 404, "no operators' call has this path")
        if request.method != route.method:
            return _reject_method(request, f"this call requires the method {route.method}", route.method)
        body = await request.read()
        if len(body) > MAX_BODY_BYTES:
            return reject(request, 413, f"the body is longer than {MAX_BODY_BYTES} bytes")
        connection_of(request).begin_answer(serves=True)
        answer = await route.handle(body)
        response = web.Response(status=answer.status, body=answer.body)
        response.force_close()
        return response

    async def _handle_cordons(self, request: web.BaseRequest, handle: CordonHandler) -> web.StreamResponse:
        cordon_id = request.rel_url.path.removeprefix(CORDONS_PATH).removeprefix("/")
        methods = ("GET", "PUT", "DELETE") if cordon_id else ("GET",)
        if request.method not in methods:
            allowed = ", ".join(methods)
            return _reject_method(request, f"this path accepts only the methods {allowed}", allowed)
        body = await request.read()
        connection_of(request).begin_answer(serves=True)
        answer = await handle(request.method, cordon_id, body, request.rel_url.query.get("wait"))
        response = web.Response(status=answer.status, body=answer.body, content_type="application/json")
        response.force_close()
        return response

    async def _handle_deprecated_admission(self, _body: bytes) -> Answer:
        extra = {"call": DEPRECATED_ADMISSION_PATH, "write": ADMISSION_PATH}
        log.warning("deprecated_call", extra=extra)
        return self.calls.admission()

    async def _disable_worker(self, body: bytes, disabled: bool) -> Answer:
        return await self.calls.disable_worker(protocol.decode_instance_id(body), disabled)


def _reject_method(request: web.BaseRequest, why: str, allowed: str) -> web.StreamResponse:
    response = reject(request, 405, why)
    response.headers["Allow"] = allowed
    return response


async def _completed(answer: Answer) -> Answer:
    return answer
