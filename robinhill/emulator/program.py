"""Runs the real scheduler as a child process, and a whole emulated site around it."""

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
    """A scheduler process, started as the platform starts it; its log is written to a file in ``folder``."""

    folder: Path
    site: Site
    discovery: Listed
    operator: Json | None = None
    name: str = "n1"
    place: int = 0  # its index among the site's schedulers
    listen: str = field(default_factory=free_address)
    ops: str = field(default_factory=free_address)
    process: asyncio.subprocess.Process | None = None
    env: dict[str, str] = field(default_factory=dict)
    pass_fds: tuple[int, ...] = ()
    number: int = 0  # of the process, counted from 0 over restarts; part of the log file's name
    entry: tuple[str, ...] = ("-m", "robinhill")  # the interpreter's arguments
    state: Path | None = None  # the process's $TMPDIR; None: ``folder``
    known: Json | None = None  # the endpoint list in its configuration; None: discovery's list at the start
    sockets: int = 4096  # the limit of file descriptors in its configuration

    @property
    def pid(self) -> int:
        assert self.process
        return self.process.pid

    @property
    def log(self) -> Path:
        return self.folder / f"log-{self.number}.txt"

    def write(self) -> None:
        """Write the configuration files with the current attributes."""
        config = {
            "name": self.name, "listen": self.listen, "discovery": self.discovery.address, "seed": "7",
            "known": self.known or self.discovery.known(), "settings": self.site.settings(self.place),
            "limits": {"sockets": self.sockets},
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(config))
        if self.operator is not None:
            (self.folder / "operator.json").write_text(json.dumps(self.operator))

    async def start(self) -> None:
        self.number += self.process is not None  # each process logs to a separate file
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
                    raise RuntimeError(
                        f"process exited while starting; its log: {self.log.read_text()[-2000:]}"
                    )
                await asyncio.sleep(0.02)

    def _ready(self) -> bool:
        """Whether the log reports the start.

        A probe of the address would be unsafe: a connection to a local port on which nothing listens yet may
        be given that port as its own end (a TCP self-connect) and so occupy it.
        """
        return "event=started" in self.log.read_text()

    async def call(self, method: str, path: str, body: str = "") -> tuple[int, str]:
        """Call the operators' API; returns the status and the body of the answer."""
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, f"http://{self.ops}{path}", data=body) as answer,
        ):
            return answer.status, await answer.text()

    async def admission(self) -> Json:
        """The metrics of admission control."""
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
        """Send SIGKILL and wait for the process to exit."""
        assert self.process
        self.process.kill()
        await self.process.wait()

    async def stop(self) -> int:
        """Send SIGTERM and return the exit code; send SIGKILL if the process has not exited in time."""
        assert self.process
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            return await self.process.wait()


@dataclass(slots=True, eq=False)
class LoopbackSite:
    """A running site: emulated workers and discovery, and one real scheduler."""

    site: Site
    journal: Journal
    workers: list[Worker]
    discovery: Discovery
    program: Program

    @property
    def slots(self) -> float:
        """The capacity of all workers once warm, in seconds of work (at speed 1) per second."""
        return sum(w.slots * w.speed for w in self.workers)


@asynccontextmanager
async def loopback_site(
    site: Site | None = None, *, workers: int = 6, slots: int = 4, operator: Json | None = None
) -> AsyncIterator[LoopbackSite]:
    """Run a whole site on loopback, and stop all of it after the block."""
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
            yield LoopbackSite(site, journal, fleet, discovery, program)
        finally:
            if program.process and program.process.returncode is None:
                await program.stop()
            await discovery.stop()
            for worker in fleet:
                await worker.stop()
