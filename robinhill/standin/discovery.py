"""Discovery: the list of workers, whole or as a watch on its changes."""

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson
from aiohttp import web

from robinhill.standin.site import LOOPBACK
from robinhill.standin.worker import Worker
from robinhill.witness.journal import Journal, What

Json = dict[str, Any]
EMPTY_EVERY_S = 2.0


@dataclass(slots=True, eq=False)
class Discovery:
    """Speaks PROTOCOL's discovery for a set of stand-in workers. Changes are told at once."""

    workers: Iterable[Worker]
    journal: Journal
    generation: int = 1
    address: str = ""
    entries: dict[str, Json] = field(default_factory=dict)
    _versions: dict[str, int] = field(default_factory=dict)  # when an entry changed last
    _watches: set[asyncio.Queue[bytes | None]] = field(default_factory=set)
    _runner: web.ServerRunner | None = None

    async def start(self) -> None:
        for worker in self.workers:
            self._put(worker, "active")
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None), shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, 0)
        await site.start()
        assert self._runner.addresses
        self.address = "{}:{}".format(*self._runner.addresses[0])

    async def stop(self) -> None:
        for watch in self._watches:
            watch.put_nowait(None)
        if self._runner:
            await self._runner.cleanup()

    def tell(self, worker: Worker, lifecycle: str = "active") -> None:
        """A worker's entry has changed: it has started, leaves, or has left."""
        self.generation += 1
        self._put(worker, lifecycle)
        line = self._list([worker.name], reset=False)
        for watch in self._watches:
            watch.put_nowait(line)
        if lifecycle != "active" and self._watches:
            self.journal.note(What.LEAVING, worker=worker.name)

    def _put(self, worker: Worker, lifecycle: str) -> None:
        self._versions[worker.name] = self.generation
        self.entries[worker.name] = {
            "instanceId": worker.name, "hostPort": worker.host_port, "zone": "north", "machineType": "std",
            "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": worker.started_unix_ms,
        }  # fmt: skip

    def known(self) -> Json:
        """The whole list, as a scheduler's configuration holds it."""
        listed = [e for e in self.entries.values() if e["lifecycle"] != "left"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    def _list(self, names: Iterable[str], *, reset: bool) -> bytes:
        told = {"generation": self.generation, "reset": reset, "instances": [self.entries[n] for n in names]}
        return orjson.dumps(told) + b"\n"

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/v1/endpoints":
            return web.Response(status=404)
        if "watch" not in request.query:
            return web.Response(body=orjson.dumps(self.known()))
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        after = request.query.get("after")
        if after is None or int(after) > self.generation:
            first = orjson.dumps(self.known()) + b"\n"
        else:
            changed = [n for n, version in self._versions.items() if version > int(after)]
            first = self._list(changed, reset=False) if changed else b"\n"
        watch: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._watches.add(watch)
        line: bytes | None = first
        try:
            while line is not None:
                await response.write(line)
                line = b"\n"
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(EMPTY_EVERY_S):
                        line = await watch.get()
        except ConnectionError:
            pass  # the scheduler has left
        finally:
            self._watches.discard(watch)
        return response
