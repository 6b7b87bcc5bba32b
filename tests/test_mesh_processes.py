"""Schedulers that share, as real processes on loopback: what one is told of holds at all."""

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from robinhill.checker.journal import EventType, Journal
from robinhill.commands import main
from robinhill.emulator.discovery import Discovery
from robinhill.emulator.program import Program
from robinhill.emulator.site import JobKind, Site, free_address
from robinhill.emulator.worker import Worker

Json = dict[str, Any]
QUICK = JobKind("lookup", 5, 500, 2.0, 5_000)


class Fleet:
    """Schedulers with the same workers; workers call back the scheduler that jobs are asked of."""

    def __init__(self, root: Path, **mesh: Any) -> None:
        self.site, self.journal = Site((QUICK,), cold_s=0.2), Journal()
        self.root, self.mesh = root, mesh
        self.workers = [Worker(f"w{i}", self.site, self.journal) for i in range(3)]
        self.discovery = Discovery(self.workers, self.journal)
        self.peers: dict[str, str] = {}
        self.programs: dict[str, Program] = {}
        self.asked = 0

    def operator(self, name: str) -> Json:
        return {"mesh": {"name": name, "peers": self.peers, "bound_ms": 1_000} | self.mesh}

    async def start(self, name: str) -> Program:
        folder = self.root / f"{name}-{len(list(self.root.iterdir()))}"
        folder.mkdir()
        program = Program(folder, self.site, self.discovery, self.operator(name))
        if name in self.programs:
            program.listen, program.ops = self.programs[name].listen, self.programs[name].ops
        self.programs[name] = program
        await program.start()
        return program

    async def ask(self, name: str, jobs: int) -> set[str]:
        """The workers that got these jobs, asked of one scheduler one after the other."""
        for worker in self.workers:
            worker.scheduler = self.programs[name].listen
        first = self.asked
        async with aiohttp.ClientSession() as session:
            for _ in range(jobs):
                headers = {"X-Request-ID": f"j{self.asked}", "X-Priority-Class": QUICK.name}
                self.asked += 1
                url = f"http://{self.programs[name].listen}/{QUICK.name}/x"
                async with session.post(url, data=b"work", headers=headers) as answer:
                    self.status = answer.status
                    await answer.read()
        ids = {f"j{n}" for n in range(first, self.asked)}
        return {e.worker for e in self.journal.events if e.what is EventType.SENT and e.request in ids}


@asynccontextmanager
async def fleet(*names: str, **mesh: Any) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory(prefix="robinhill-") as folder:
        here = Fleet(Path(folder), **mesh)
        here.peers = {name: free_address() for name in names}
        async with AsyncExitStack() as stack:
            for worker in here.workers:
                await worker.start()
                stack.push_async_callback(worker.stop)
            await here.discovery.start()
            stack.push_async_callback(here.discovery.stop)
            try:
                await asyncio.gather(*(here.start(name) for name in names))
                yield here
            finally:
                for program in here.programs.values():
                    if program.process and program.process.returncode is None:
                        program.process.kill()
                        await program.process.wait()


async def cordon(
    program: Program, cordon_id: str = "c1", wait: str = "?wait=5", **body: Any
) -> tuple[int, Json]:
    asked = {"target": "worker/w0", "reason": "a fan is loud", "by": "ann"} | body
    status, text = await program.call("PUT", f"/ops/cordons/{cordon_id}{wait}", json.dumps(asked))
    return status, json.loads(text)


async def listed(program: Program) -> Json:
    status, text = await program.call("GET", "/ops/cordons")
    assert status == 200
    told: Json = json.loads(text)
    return told


async def until(program: Program, text: str, times: int = 1) -> None:
    """Until so many lines of its log hold this."""
    async with asyncio.timeout(10):
        while program.log.read_text().count(text) < times:
            await asyncio.sleep(0.02)


def test_a_cordon_is_in_force_at_all_schedulers_until_it_is_lifted_at_any() -> None:
    async def play() -> None:
        async with fleet("s1", "s2") as here:
            one, two = here.programs["s1"], here.programs["s2"]
            assert await here.ask("s2", 12) == {"w0", "w1", "w2"}
            status, told = await cordon(one)
            assert (status, told["in_force"], told["unconfirmed"]) == (200, True, [])
            assert await here.ask("s2", 12) == {"w1", "w2"}
            (shown,) = (await listed(two))["cordons"]
            assert (shown["id"], shown["workers"], shown["by"]) == ("c1", 1, "ann")
            status, text = await two.call("DELETE", "/ops/cordons/c1?wait=5")
            assert status == 200 and json.loads(text)["in_force"]
            assert "w0" in await here.ask("s1", 30)

    asyncio.run(play())


def test_a_scheduler_without_state_is_ready_once_it_has_caught_up() -> None:
    async def play() -> None:
        async with fleet("s1", "s2", "s3", folder=False) as here:
            assert (await cordon(here.programs["s1"]))[0] == 200
            here.programs["s3"].process.kill()  # type: ignore[union-attr]
            await here.programs["s3"].process.wait()  # type: ignore[union-attr]
            three = await here.start("s3")
            await until(three, "event=caught_up")
            assert await here.ask("s3", 12) == {"w1", "w2"}
            status, text = await three.call("DELETE", "/ops/cordons/c1?wait=5")
            assert status == 200 and json.loads(text)["in_force"]

    asyncio.run(play())


def test_a_lone_scheduler_serves_after_the_catch_up_time_with_its_own_snapshot() -> None:
    async def play() -> None:
        async with fleet("s1", "s2", catch_up_ms=600) as here:
            one, two = here.programs["s1"], here.programs["s2"]
            assert (await cordon(one))[0] == 200
            for program in (one, two):
                assert await program.stop() == 0
            folder = two.folder
            again = Program(
                folder, here.site, here.discovery, here.operator("s2"), listen=two.listen, ops=two.ops
            )
            here.programs["s2"] = again
            await again.start()
            assert (await again.call("GET", "/ops/readiness"))[0] == 503
            await until(again, "event=catch_up_timed_out")
            assert (await again.call("GET", "/ops/readiness"))[0] == 200
            assert "event=snapshot_restored" in again.log.read_text()
            assert await here.ask("s2", 12) == {"w1", "w2"}
            (folder / "mesh.state").write_bytes(b"torn")
            assert await again.stop() == 0

    asyncio.run(play())


def test_under_hold_nothing_is_sent_without_a_lease_and_the_bound_is_met() -> None:
    """A stopped majority: the one that is left holds, says so, and serves again once they are back."""

    async def play() -> None:
        async with fleet("s1", "s2", "s3", on_lost="hold") as here:
            one = here.programs["s1"]
            others = [here.programs["s2"], here.programs["s3"]]
            assert await here.ask("s1", 6)
            assert (await cordon(one))[0] == 200
            for program in others:
                program.signal(signal.SIGSTOP)
            await until(one, "event=send_lease_lost")
            assert await here.ask("s1", 2) == set()
            assert self_status(await one.call("GET", "/ops/mesh"))["lease"] is False
            status, told = await cordon(one, "c2", "?wait=0.2", target="worker/w1")
            assert status == 504 and told["type"] == "NotAccepted" and told["advice"]
            for program in others:
                program.signal(signal.SIGCONT)
            await until(one, "event=send_lease_held", 2)
            assert await here.ask("s1", 6) == {"w2"}
            # One that is stopped has no lease: the rest need not wait for it longer than the bound.
            others[0].signal(signal.SIGSTOP)
            status, told = await cordon(others[1], "c3", "?wait=8", target="worker/w2")
            assert status == 200 and told["in_force"] and told["ms"] > 900
            others[0].signal(signal.SIGCONT)

    asyncio.run(play())


def test_under_serve_unconfirmed_schedulers_are_named() -> None:
    async def play() -> None:
        async with fleet("s1", "s2", "s3") as here:
            here.programs["s2"].signal(signal.SIGSTOP)
            status, told = await cordon(here.programs["s1"], wait="?wait=0.3")
            assert (status, told["type"]) == (504, "BoundNotMet")
            assert [u["scheduler"] for u in told["unconfirmed"]] == ["s2"]
            (shown,) = (await listed(here.programs["s3"]))["cordons"]
            assert shown["behind"] == ["s2"]
            here.programs["s2"].signal(signal.SIGCONT)
            assert (await cordon(here.programs["s1"]))[0] == 200

    asyncio.run(play())


def test_a_reload_adds_a_scheduler_and_unknown_ones_are_rejected() -> None:
    async def play() -> None:
        async with fleet("s1", "s2") as here:
            old = dict(here.peers)
            here.peers["s3"] = free_address()
            three = await here.start("s3")
            await until(here.programs["s1"], "event=peer_rejected")
            await until(three, "not among the peers in our configuration")
            for name in old:
                here.programs[name].reload(here.operator(name))
            for name in old:
                await until(here.programs[name], "event=peer_list_settled")
            await until(three, "event=caught_up")
            status, told = await cordon(three, wait="?wait=5")
            assert status == 200 and told["in_force"]
            assert await here.ask("s1", 8) == {"w1", "w2"}

    asyncio.run(play())


def self_status(answer: tuple[int, str]) -> Json:
    told: Json = json.loads(answer[1])
    return told


def test_no_module_of_it_is_loaded_without_peers() -> None:
    code = (
        "import sys, robinhill.commands.run\n"
        "print([m for m in sys.modules if m.startswith(('robinhill.mesh', 'robinhill.cordon'))"
        " or m.startswith(('robinhill.net.peers', 'robinhill.net.cordons'))])"
    )
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert told.strip() == "['robinhill.mesh', 'robinhill.mesh.options']"


def test_the_command_line_sets_lists_awaits_and_lifts_cordons(capsys: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        async with fleet("s1", "s2") as here:
            one, two = (here.programs[name].ops for name in ("s1", "s2"))

            async def run(*words: str, code: int = 0) -> str:
                assert await asyncio.to_thread(main, ["cordon", *words]) == code
                told = capsys.readouterr()
                return told.out + told.err

            assert "nothing is cordoned" in await run("list", "--ops", one)
            told = await run("set", "c1", "zone/north", "--reason", "flood", "--wait", "5", "--ops", one)
            assert "in force" in told and "no worker is left" in told
            assert "c1 is in force" in await run("wait", "c1", "--ops", two)
            assert "flood" in await run("list", "--ops", two)
            assert "for 'worker/w0'" in await run(
                "set", "c1", "worker/w0", "--reason", "x", "--ops", two, code=1
            )
            assert "in force" in await run("lift", "c1", "--wait", "5", "--ops", two)
            assert "no cordon is called 'c1'" in await run("lift", "c1", "--ops", one, code=1)

    asyncio.run(play())
