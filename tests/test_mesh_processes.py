"""Schedulers of a mesh as real processes on loopback: a cordon set at one is in force at all of them."""

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
    """Schedulers that share their workers. The workers report to the scheduler last used by `run_jobs`."""

    def __init__(self, root: Path, **mesh: Any) -> None:
        self.site, self.journal = Site((QUICK,), cold_s=0.2), Journal()
        self.root, self.mesh = root, mesh
        self.workers = [Worker(f"w{i}", self.site, self.journal) for i in range(3)]
        self.discovery = Discovery(self.workers, self.journal)
        self.peers: dict[str, str] = {}
        self.programs: dict[str, Program] = {}
        self.job_count = 0

    def operator_file(self, name: str) -> Json:
        return {"mesh": {"name": name, "peers": self.peers, "bound_ms": 1_000} | self.mesh}

    async def start(self, name: str) -> Program:
        folder = self.root / f"{name}-{len(list(self.root.iterdir()))}"
        folder.mkdir()
        program = Program(folder, self.site, self.discovery, self.operator_file(name))
        if name in self.programs:
            program.listen, program.ops = self.programs[name].listen, self.programs[name].ops
        self.programs[name] = program
        await program.start()
        return program

    async def run_jobs(self, name: str, jobs: int) -> set[str]:
        """Send jobs to one scheduler, one after the other, and return the workers that received them."""
        for worker in self.workers:
            worker.scheduler = self.programs[name].listen
        first = self.job_count
        async with aiohttp.ClientSession() as session:
            for _ in range(jobs):
                headers = {"X-Request-ID": f"j{self.job_count}", "X-Priority-Class": QUICK.name}
                self.job_count += 1
                url = f"http://{self.programs[name].listen}/{QUICK.name}/x"
                async with session.post(url, data=b"work", headers=headers) as response:
                    self.status = response.status
                    await response.read()
        ids = {f"j{n}" for n in range(first, self.job_count)}
        return {e.worker for e in self.journal.events if e.what is EventType.SENT and e.request in ids}


@asynccontextmanager
async def running_fleet(*names: str, **mesh: Any) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory(prefix="robinhill-") as folder:
        fleet = Fleet(Path(folder), **mesh)
        fleet.peers = {name: free_address() for name in names}
        async with AsyncExitStack() as stack:
            for worker in fleet.workers:
                await worker.start()
                stack.push_async_callback(worker.stop)
            await fleet.discovery.start()
            stack.push_async_callback(fleet.discovery.stop)
            try:
                await asyncio.gather(*(fleet.start(name) for name in names))
                yield fleet
            finally:
                for program in fleet.programs.values():
                    if program.process and program.process.returncode is None:
                        program.process.kill()
                        await program.process.wait()


async def cordon(
    program: Program, cordon_id: str = "c1", wait: str = "?wait=5", **body: Any
) -> tuple[int, Json]:
    request = {"target": "worker/w0", "reason": "a fan is loud", "by": "ann"} | body
    status, text = await program.call("PUT", f"/ops/cordons/{cordon_id}{wait}", json.dumps(request))
    return status, json.loads(text)


async def list_cordons(program: Program) -> Json:
    status, text = await program.call("GET", "/ops/cordons")
    assert status == 200
    response: Json = json.loads(text)
    return response


async def wait_for_log(program: Program, text: str, times: int = 1) -> None:
    """Wait until the program's log contains a text at least ``times`` times."""
    async with asyncio.timeout(10):
        while program.log.read_text().count(text) < times:
            await asyncio.sleep(0.02)


def test_a_cordon_is_in_force_at_all_schedulers_until_one_of_them_lifts_it() -> None:
    async def scenario() -> None:
        async with running_fleet("s1", "s2") as fleet:
            s1, s2 = fleet.programs["s1"], fleet.programs["s2"]
            assert await fleet.run_jobs("s2", 12) == {"w0", "w1", "w2"}
            status, response = await cordon(s1)
            assert (status, response["in_force"], response["unconfirmed"]) == (200, True, [])
            assert await fleet.run_jobs("s2", 12) == {"w1", "w2"}
            (shown,) = (await list_cordons(s2))["cordons"]
            assert (shown["id"], shown["workers"], shown["by"]) == ("c1", 1, "ann")
            status, text = await s2.call("DELETE", "/ops/cordons/c1?wait=5")
            assert status == 200 and json.loads(text)["in_force"]
            assert "w0" in await fleet.run_jobs("s1", 30)

    asyncio.run(scenario())


def test_a_scheduler_that_restarts_without_a_snapshot_catches_up_on_cordons() -> None:
    async def scenario() -> None:
        async with running_fleet("s1", "s2", "s3", folder=False) as fleet:
            assert (await cordon(fleet.programs["s1"]))[0] == 200
            fleet.programs["s3"].process.kill()  # type: ignore[union-attr]
            await fleet.programs["s3"].process.wait()  # type: ignore[union-attr]
            s3 = await fleet.start("s3")
            await wait_for_log(s3, "event=caught_up")
            assert await fleet.run_jobs("s3", 12) == {"w1", "w2"}
            status, text = await s3.call("DELETE", "/ops/cordons/c1?wait=5")
            assert status == 200 and json.loads(text)["in_force"]

    asyncio.run(scenario())


def test_a_scheduler_without_reachable_peers_serves_its_snapshot_after_the_catch_up_timeout() -> None:
    async def scenario() -> None:
        async with running_fleet("s1", "s2", catch_up_ms=600) as fleet:
            s1, s2 = fleet.programs["s1"], fleet.programs["s2"]
            assert (await cordon(s1))[0] == 200
            for program in (s1, s2):
                assert await program.stop() == 0
            folder = s2.folder
            restarted = Program(
                folder, fleet.site, fleet.discovery, fleet.operator_file("s2"), listen=s2.listen, ops=s2.ops
            )
            fleet.programs["s2"] = restarted
            await restarted.start()
            assert (await restarted.call("GET", "/ops/readiness"))[0] == 503
            await wait_for_log(restarted, "event=catch_up_timed_out")
            assert (await restarted.call("GET", "/ops/readiness"))[0] == 200
            assert "event=snapshot_restored" in restarted.log.read_text()
            assert await fleet.run_jobs("s2", 12) == {"w1", "w2"}
            (folder / "mesh.state").write_bytes(b"torn")
            assert await restarted.stop() == 0

    asyncio.run(scenario())


def test_under_hold_nothing_is_sent_without_a_lease_and_the_bound_is_met() -> None:
    """While a majority is stopped, the remaining scheduler sends nothing and accepts no cordon."""

    async def scenario() -> None:
        async with running_fleet("s1", "s2", "s3", on_lost="hold") as fleet:
            s1 = fleet.programs["s1"]
            others = [fleet.programs["s2"], fleet.programs["s3"]]
            assert await fleet.run_jobs("s1", 6)
            assert (await cordon(s1))[0] == 200
            for program in others:
                program.signal(signal.SIGSTOP)
            await wait_for_log(s1, "event=send_lease_lost")
            assert await fleet.run_jobs("s1", 2) == set()
            assert body_of(await s1.call("GET", "/ops/mesh"))["lease"] is False
            status, response = await cordon(s1, "c2", "?wait=0.2", target="worker/w1")
            assert status == 504 and response["type"] == "NotAccepted" and response["advice"]
            for program in others:
                program.signal(signal.SIGCONT)
            await wait_for_log(s1, "event=send_lease_held", 2)
            assert await fleet.run_jobs("s1", 6) == {"w2"}
            # The lease of a stopped scheduler expires, so that changes wait for it no longer than the bound.
            others[0].signal(signal.SIGSTOP)
            status, response = await cordon(others[1], "c3", "?wait=8", target="worker/w2")
            assert status == 200 and response["in_force"] and response["ms"] > 900
            others[0].signal(signal.SIGCONT)

    asyncio.run(scenario())


def test_under_serve_a_stopped_scheduler_is_named_as_unconfirmed_and_behind() -> None:
    async def scenario() -> None:
        async with running_fleet("s1", "s2", "s3") as fleet:
            fleet.programs["s2"].signal(signal.SIGSTOP)
            status, response = await cordon(fleet.programs["s1"], wait="?wait=0.3")
            assert (status, response["type"]) == (504, "BoundNotMet")
            assert [u["scheduler"] for u in response["unconfirmed"]] == ["s2"]
            (shown,) = (await list_cordons(fleet.programs["s3"]))["cordons"]
            assert shown["behind"] == ["s2"]
            fleet.programs["s2"].signal(signal.SIGCONT)
            assert (await cordon(fleet.programs["s1"]))[0] == 200

    asyncio.run(scenario())


def test_a_scheduler_is_rejected_until_a_reload_adds_it_to_the_peers() -> None:
    async def scenario() -> None:
        async with running_fleet("s1", "s2") as fleet:
            old_peers = dict(fleet.peers)
            fleet.peers["s3"] = free_address()
            s3 = await fleet.start("s3")
            await wait_for_log(fleet.programs["s1"], "event=peer_rejected")
            await wait_for_log(s3, "not among the peers in our configuration")
            for name in old_peers:
                fleet.programs[name].reload(fleet.operator_file(name))
            for name in old_peers:
                await wait_for_log(fleet.programs[name], "event=peer_list_settled")
            await wait_for_log(s3, "event=caught_up")
            status, response = await cordon(s3, wait="?wait=5")
            assert status == 200 and response["in_force"]
            assert await fleet.run_jobs("s1", 8) == {"w1", "w2"}

    asyncio.run(scenario())


def body_of(response: tuple[int, str]) -> Json:
    body: Json = json.loads(response[1])
    return body


def test_no_mesh_module_but_its_options_is_loaded_without_peers() -> None:
    code = (
        "import sys, robinhill.commands.run\n"
        "print([m for m in sys.modules if m.startswith(('robinhill.mesh', 'robinhill.cordon'))"
        " or m.startswith(('robinhill.net.peers', 'robinhill.net.cordons'))])"
    )
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert output.strip() == "['robinhill.mesh', 'robinhill.mesh.options']"


def test_cordon_commands_set_list_await_and_lift_cordons(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        async with running_fleet("s1", "s2") as fleet:
            s1, s2 = (fleet.programs[name].ops for name in ("s1", "s2"))

            async def run(*arguments: str, code: int = 0) -> str:
                assert await asyncio.to_thread(main, ["cordon", *arguments]) == code
                captured = capsys.readouterr()
                return captured.out + captured.err

            assert "nothing is cordoned" in await run("list", "--ops", s1)
            output = await run("set", "c1", "zone/north", "--reason", "flood", "--wait", "5", "--ops", s1)
            assert "in force" in output and "no worker is left" in output
            assert "c1 is in force" in await run("wait", "c1", "--ops", s2)
            assert "flood" in await run("list", "--ops", s2)
            assert "for 'worker/w0'" in await run(
                "set", "c1", "worker/w0", "--reason", "x", "--ops", s2, code=1
            )
            assert "in force" in await run("lift", "c1", "--wait", "5", "--ops", s2)
            assert "no cordon is called 'c1'" in await run("lift", "c1", "--ops", s1, code=1)

    asyncio.run(scenario())
