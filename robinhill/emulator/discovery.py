"""An emulated discovery service: serves the endpoint list whole, or as a watch that streams its changes."""

import asyncio
import contextlib
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Protocol

import orjson
from aiohttp import web

from robinhill.checker.journal import EventType, Journal
from robinhill.emulator.site import LOOPBACK
from robinhill.emulator.worker import Worker

Json = dict[str, Any]
EMPTY_LINE_INTERVAL_S = 2.0  # a watch without changes sends an empty line this often, as a heartbeat


class Listed(Protocol):
    """An endpoint list that is served at an address."""

    @property
    def address(self) -> str: ...
    def known(self) -> Json: ...


@dataclass(slots=True, eq=False)
class View:
    """The endpoint list for one of several schedulers, which reaches each worker at a separate address."""

    discovery: "Discovery"
    host_ports: dict[str, str]
    address: str = ""

    def known(self) -> Json:
        return self.discovery.known(self.host_ports)


@dataclass(slots=True, eq=False)
class Discovery:
    """Serves the platform's discovery API for a set of emulated workers, and sends changes without delay.

    A test clears ``answering`` to delay all answers; once it is set again, a delayed call gets the list as it
    then is. With ``busy_s`` each call gets 503 after that time, as from an overloaded service. With ``torn``
    the answer to a watch is cut off in the middle of the list.
    """

    workers: Iterable[Worker]
    journal: Journal
    generation: int = 1
    address: str = ""
    busy_s: float | None = None
    torn: bool = False
    answering: asyncio.Event = field(default_factory=asyncio.Event)
    calls: list[float] = field(default_factory=list)  # arrival times of the calls, in monotonic seconds
    entries: dict[str, Json] = field(default_factory=dict)
    _versions: dict[str, int] = field(default_factory=dict)  # generation of each entry's last change
    # The queue of lines for each open watch, with the workers' addresses in that watch's view by worker name
    _watches: dict[asyncio.Queue[bytes | None], dict[str, str]] = field(default_factory=dict)
    _runners: list[web.ServerRunner] = field(default_factory=list)

    async def start(self) -> None:
        self.answering.set()
        for worker in self.workers:
            self._store_entry(worker, "active")
        self.address = await self._listen({})

    async def view(self, host_ports: dict[str, str]) -> View:
        """Serve the list at a further address, with these addresses of workers (by name)."""
        return View(self, host_ports, await self._listen(host_ports))

    async def _listen(self, host_ports: dict[str, str]) -> str:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._handle(request, host_ports)

        runner = web.ServerRunner(web.Server(handle, access_log=None), shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, LOOPBACK, 0).start()
        return "{}:{}".format(*runner.addresses[0])

    def cut_watches(self) -> None:
        """End every open watch without sending another line."""
        for watch in self._watches:
            watch.put_nowait(None)

    async def stop(self) -> None:
        self.answering.set()
        self.cut_watches()
        for runner in self._runners:
            await runner.cleanup()

    def publish(self, worker: Worker, lifecycle: str = "active") -> None:
        """Change a worker's entry to this lifecycle state and send the change to all open watches."""
        self.generation += 1
        self._store_entry(worker, lifecycle)
        for watch, host_ports in self._watches.items():
            watch.put_nowait(self._update_line([worker.name], host_ports))
        if lifecycle != "active" and self._watches:
            self.journal.record(EventType.DRAINING, worker=worker.name)

    def _store_entry(self, worker: Worker, lifecycle: str) -> None:
        self._versions[worker.name] = self.generation
        self.entries[worker.name] = {
            "instanceId": worker.name, "hostPort": worker.host_port, "zone": "north", "machineType": "std",
            "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": worker.started_unix_ms,
        }  # fmt: skip

    def known(self, host_ports: Mapping[str, str] = MappingProxyType({})) -> Json:
        """The whole endpoint list, in the form of ``known`` in a scheduler's configuration."""
        listed = [n for n, e in self.entries.items() if e["lifecycle"] != "left"]
        return {
            "generation": self.generation,
            "reset": True,
            "instances": self._entries_for(listed, host_ports),
        }

    def _entries_for(self, names: Iterable[str], host_ports: Mapping[str, str]) -> list[Json]:
        return [e | {"hostPort": host_ports.get(n, e["hostPort"])} for n in names for e in (self.entries[n],)]

    def _update_line(self, names: Iterable[str], host_ports: Mapping[str, str]) -> bytes:
        update = {
            "generation": self.generation,
            "reset": False,
            "instances": self._entries_for(names, host_ports),
        }
        return orjson.dumps(update) + b"\n"

    async def _handle(self, request: web.BaseRequest, host_ports: dict[str, str]) -> web.StreamResponse:
        if request.path != "/v1/endpoints":
            return web.Response(status=404)
        self.calls.append(time.monotonic())
        if self.busy_s is not None:
            await asyncio.sleep(self.busy_s)
            return web.Response(status=503)
        await self.answering.wait()
        if "watch" not in request.query:
            return web.Response(body=orjson.dumps(self.known(host_ports)))
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        after = request.query.get("after")
        if after is None or int(after) > self.generation:
            first = orjson.dumps(self.known(host_ports)) + b"\n"
        else:
            changed = [n for n, version in self._versions.items() if version > int(after)]
            first = self._update_line(changed, host_ports) if changed else b"\n"
        if self.torn:
            await response.write(orjson.dumps(self.known(host_ports))[:-10])
            await asyncio.sleep(EMPTY_LINE_INTERVAL_S)
            return response
        watch: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._watches[watch] = host_ports
        line: bytes | None = first
        try:
            while line is not None:
                await response.write(line)
                line = b"\n"
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(EMPTY_LINE_INTERVAL_S):
                        line = await watch.get()
        except ConnectionError:
            pass  # the scheduler closed the connection
        finally:
            del self._watches[watch]
        return response
