"""The program itself as a process of its own, set up for a small site; and a whole site to play on."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from robinhill.checker.journal import Journal
from robinhill.emulator.discovery import Discovery, Listed
from robinhill.emulator.site import Site, free_address
from robinhill.emulator.worker import Worker

Json = dict[str, Any]
ROOT = Path(__file__).parent.parent.parent
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 20.0


@dataclass(slots=True, eq=False)
class Program:
    """A scheduler started as the platform starts it; its log goes to a file of its folder."""

    folder: Path
    site: Site
    discovery: Listed
    operator: Json | None = None
    name: str = "n1"
    place: int = 0  # among the site's schedulers
    listen: str = field(default_factory=free_address)
    ops: str = field(default_factory=free_address)
    process: asyncio.subprocess.Process | None = None
    env: dict[str, str] = field(default_factory=dict)
    pass_fds: tuple[int, ...] = ()
    number: int = 0
    entry: tuple[str, ...] = ("-m", "robinhill")  # what the interpreter is told to run
    state: Path | None = None  # what it gets as $TMPDIR, if not the folder of its configuration
    known: Json | None = None  # the list that it is started with; None: discovery's as of the start

    @property
    def pid(self) -> int:
        assert self.process
        return self.process.pid

    @property
    def log(self) -> Path:
        return self.folder / f"log-{self.number}.txt"

    def write(self) -> None:
        """Its configuration files, as they are to be now."""
        config = {
            "name": self.name, "listen": self.listen, "discovery": self.discovery.address, "seed": "7",
            "known": self.known or self.discovery.known(), "settings": self.site.settings(self.place),
            "limits": {"sockets": 4096},
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(config))
        if self.operator is not None:
            (self.folder / "operator.json").write_text(json.dumps(self.operator))

    async def start(self) -> None:
        self.number += self.process is not None  # a later process's log is another file
        self.write()
        env = os.environ | {"GW_CONFIG": str(self.folder / "config.json"), "GW_OPS": self.ops}
        env |= {"TMPDIR": str(self.state or self.folder)} | self.env
        if self.operator is not None:
            env["GW_OPERATOR"] = str(self.folder / "operator.json")
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *self.entry, cwd=ROOT, env=env, stderr=log, pass_fds=self.pass_fds
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self._ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f"it ended at its start: {self.log.read_text()[-2000:]}")
                await asyncio.sleep(0.02)

    def _ready(self) -> bool:
        """By its log: a call to an address that nothing listens on yet may meet its own end and take it."""
        return "event=started" in self.log.read_text()

    async def call(self, method: str, path: str, body: str = "") -> tuple[int, str]:
        """An operator's call."""
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, f"http://{self.ops}{path}", data=body) as answer,
        ):
            return answer.status, await answer.text()

    async def admission(self) -> Json:
        """Admission's figures."""
        status, text = await self.call("GET", "/ops/admission")
        assert status == 200, text
        metrics: Json = json.loads(text)
        return metrics

    def reload(self, operator: Json) -> None:
        self.operator = operator
        self.write()
        self.signal(signal.SIGHUP)

    def signal(self, number: int) -> None:
        assert self.process
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL, and wait for its end."""
        assert self.process
        self.process.kill()
        await self.process.wait()

    async def stop(self) -> int:
        """SIGTERM, and its exit code; a kill if it does not end."""
        assert self.process
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            return await self.process.wait()


@dataclass(slots=True, eq=False)
class Town:
    """A site at work: workers, discovery and one scheduler."""

    site: Site
    journal: Journal
    workers: list[Worker]
    discovery: Discovery
    program: Program

    @property
    def slots(self) -> float:
        """Work that the workers do in a unit of time, all warm."""
        return sum(w.slots * w.speed for w in self.workers)


@asynccontextmanager
async def town(
    site: Site | None = None, *, workers: int = 6, slots: int = 4, operator: Json | None = None
) -> AsyncIterator[Town]:
    """A whole site on loopback; all of it has ended behind the block."""
    site, journal = site or Site(), Journal()
    fleet = [Worker(f"w{i}", site, journal, slots, speed=1.0 - 0.3 * (i % 2)) for i in range(workers)]
    discovery = Discovery(fleet, journal)
    with tempfile.TemporaryDirectory(prefix="robinhill-") as folder:
        program = Program(Path(folder), site, discovery, operator)
        for worker in fleet:
            worker.scheduler = program.listen
            await worker.start()
        await discovery.start()
        try:
            await program.start()
            yield Town(site, journal, fleet, discovery, program)
        finally:
            if program.process and program.process.returncode is None:
                await program.stop()
            await discovery.stop()
            for worker in fleet:
                await worker.stop()
