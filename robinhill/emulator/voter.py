"""A voter of the control group as a process of its own."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from robinhill.emulator.program import END_S, ROOT, START_S
from robinhill.emulator.site import free_address

Json = dict[str, Any]


@dataclass(slots=True, eq=False)
class VoterProgram:
    """`robinhill control`; its state, operators' file and log are in its folder."""

    folder: Path
    name: str
    operator: Json
    ops: str = field(default_factory=free_address)
    process: asyncio.subprocess.Process | None = None
    number: int = 0
    entry: tuple[str, ...] = ("-m", "robinhill")

    @property
    def pid(self) -> int:
        """Of the process, which has been started."""
        assert self.process
        return self.process.pid

    @property
    def log(self) -> Path:
        """What it wrote to standard error."""
        return self.folder / f"log-{self.number}.txt"

    async def start(self) -> None:
        """Start it, or start it again with what is on its disk. Raises RuntimeError where it ends at once."""
        self.number += 1
        self.write()
        env = os.environ | {
            "GW_OPERATOR": str(self.folder / "operator.json"),
            "GW_NAME": self.name,
            "GW_OPS": self.ops,
            "TMPDIR": str(self.folder),
        }
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *self.entry, "control", cwd=ROOT, env=env, stderr=log
            )
        async with asyncio.timeout(START_S):
            while "event=started" not in self.log.read_text():
                if self.process.returncode is not None:
                    raise RuntimeError(f"it ended at its start: {self.log.read_text()[-2000:]}")
                await asyncio.sleep(0.02)

    def write(self) -> None:
        """Its operators' file, as it is to be now."""
        (self.folder / "operator.json").write_text(json.dumps(self.operator))

    async def call(self, method: str, path: str, body: str = "") -> tuple[int, str]:
        """An operator's call."""
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, f"http://{self.ops}{path}", data=body) as answer,
        ):
            return answer.status, await answer.text()

    def reload(self, operator: Json) -> None:
        """Another operators' file, and SIGHUP."""
        self.operator = operator
        self.write()
        self.signal(signal.SIGHUP)

    def signal(self, number: int) -> None:
        """Send it a signal; it may have ended."""
        assert self.process
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        assert self.process
        await self.process.wait()

    async def stop(self) -> int:
        """SIGTERM, and its exit code; a kill if it does not end."""
        assert self.process
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_S):
                return await self.process.wait()
        except TimeoutError:
            await self.kill()
            return self.process.returncode or 0
