"""The control group as real processes on loopback: three voters, and three schedulers as observers."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from robinhill.checker.journal import EventType, Journal
from robinhill.commands import main
from robinhill.emulator.discovery import Discovery
from robinhill.emulator.program import Program
from robinhill.emulator.site import JobKind, Site, free_address
from robinhill.emulator.voter import voter_program
from robinhill.emulator.worker import Worker

Json = dict[str, Any]
QUICK = JobKind("lookup", 5, 500, 2.0, 5_000)
BOUND_MS = 1_000
DEADLINE_S = 15.0
VOTERS = ("v1", "v2", "v3")
SCHEDULERS = ("s1", "s2", "s3")


def region_and_zone(number: int) -> Json:
    """Return the region and zone of voter ``number`` and of the scheduler in the same zone."""
    return {"region": "east" if number < 2 else "west", "zone": f"zone-{number}"}


class ControlGroup:
    """Voters in three zones of two regions, schedulers in these zones, and workers that they all share."""

    def __init__(self, root: Path, schedulers: tuple[str, ...], **mesh: Any) -> None:
        self.root = root
        self.mesh = mesh
        self.site, self.journal = Site((QUICK,), cold_s=0.2), Journal()
        self.workers = [Worker(f"w{i}", self.site, self.journal) for i in range(3)]
        self.discovery = Discovery(self.workers, self.journal)
        self.voter_places = {name: self.new_place(number) for number, name in enumerate(VOTERS)}
        self.voters = {name: self.new_voter(name) for name in VOTERS}
        self.schedulers = {
            name: Program(
                self.new_folder(name), self.site, self.discovery, self.operator_file(number), name=name
            )
            for number, name in enumerate(schedulers)
        }
        self.job_count = 0

    def new_place(self, number: int) -> Json:
        return {"address": free_address()} | region_and_zone(number)

    def new_voter(self, name: str) -> Program:
        return voter_program(self.new_folder(name), self.site, self.discovery, self.operator_file(), name)

    def programs(self) -> list[Program]:
        return [*self.voters.values(), *self.schedulers.values()]

    def new_folder(self, name: str) -> Path:
        folder = self.root / f"{name}-{len(list(self.root.iterdir()))}"
        folder.mkdir()
        return folder

    def operator_file(self, number: int | None = None, **changes: Any) -> Json:
        """Return the operators' file of a voter, or of the scheduler in the zone of voter ``number``."""
        mesh: Json = {"voters": self.voter_places, "bound_ms": BOUND_MS} | self.mesh | changes
        if number is not None:
            mesh |= region_and_zone(number)
        return {"mesh": mesh}

    async def run_jobs(self, name: str, jobs: int) -> set[str]:
        """Send jobs to one scheduler, one after the other, and return the workers that received them."""
        for worker in self.workers:
            worker.scheduler = self.schedulers[name].listen
        first = self.job_count
        async with aiohttp.ClientSession() as session:
            for _ in range(jobs):
                headers = {"X-Request-ID": f"j{self.job_count}", "X-Priority-Class": QUICK.name}
                self.job_count += 1
                url = f"http://{self.schedulers[name].listen}/{QUICK.name}/x"
                async with session.post(url, data=b"work", headers=headers) as response:
                    await response.read()
        ids = {f"j{n}" for n in range(first, self.job_count)}
        return {e.worker for e in self.journal.events if e.what is EventType.SENT and e.request in ids}


@asynccontextmanager
async def running_group(schedulers: tuple[str, ...] = SCHEDULERS, **mesh: Any) -> AsyncIterator[ControlGroup]:
    """Start all processes, wait until they are synchronized, and kill them at the end of the block."""
    with tempfile.TemporaryDirectory(prefix="robinhill-") as folder:
        group = ControlGroup(Path(folder), schedulers, **mesh)
        try:
            for worker in group.workers:
                await worker.start()
            await group.discovery.start()
            await asyncio.gather(*(program.start() for program in group.programs()))
            for voter in group.voters.values():
                await wait_until(lambda voter=voter: reports(voter, "/ops/mesh", counts=True))  # type: ignore[misc]
            for program in group.schedulers.values():
                await wait_until_settled(program)
            yield group
        finally:
            for process in [program.process for program in group.programs()]:
                if process and process.returncode is None:
                    process.kill()
                    await process.wait()
            await group.discovery.stop()
            for worker in group.workers:
                await worker.stop()


async def wait_until(condition: Callable[[], Awaitable[bool]], deadline_s: float = DEADLINE_S) -> None:
    async with asyncio.timeout(deadline_s):
        while not await condition():
            await asyncio.sleep(0.02)


async def wait_for_log(program: Program, text: str, times: int = 1) -> None:
    """Wait until the program's log contains a text at least ``times`` times."""

    async def found() -> bool:
        return program.log.read_text().count(text) >= times

    await wait_until(found)


async def status_of(program: Program) -> Json:
    status, text = await program.call("GET", "/ops/mesh")
    assert status == 200
    response: Json = json.loads(text)
    return response


async def reports(program: Program, path: str, **expected: Any) -> bool:
    """Whether the JSON response to an operators' GET of ``path`` has the ``expected`` values."""
    _, text = await program.call("GET", path)
    response = json.loads(text)
    return all(response.get(key) == value for key, value in expected.items())


async def wait_until_settled(program: Program, not_voter: str | None = None) -> Json:
    """Wait until a scheduler is synchronized and has a lease and links to two voters, and return its status.

    Neither its primary voter nor its spare voter, the one for failover, may be ``not_voter``.
    """

    async def is_settled() -> bool:
        response = await status_of(program)
        voters = response.get("voter"), response.get("spare_voter")
        return bool(response["in_step"] and response["lease"] and all(voters)) and not_voter not in voters

    await wait_until(is_settled)
    return await status_of(program)


async def wait_until_equal(*programs: Program) -> None:
    """Wait until the replicas of all programs have the same digest."""

    async def same() -> bool:
        return len({(await status_of(program)).get("digest") for program in programs}) == 1

    await wait_until(same)


async def cordon(
    program: Program, cordon_id: str = "c1", wait: str = "?wait=10", **body: Any
) -> tuple[int, Json]:
    request = {"target": "worker/w0", "reason": "a fan is loud", "by": "ann"} | body
    status, text = await program.call("PUT", f"/ops/cordons/{cordon_id}{wait}", json.dumps(request))
    return status, json.loads(text)


async def lift(program: Program, cordon_id: str = "c1") -> tuple[int, Json]:
    status, text = await program.call("DELETE", f"/ops/cordons/{cordon_id}?wait=10")
    return status, json.loads(text)


def test_cordons_are_in_force_within_the_bound_and_schedulers_under_serve_outlive_the_majority() -> None:
    async def scenario() -> None:
        async with running_group() as group:
            s1, s3 = group.schedulers["s1"], group.schedulers["s3"]
            assert await group.run_jobs("s3", 12) == {"w0", "w1", "w2"}
            # After this cordon, changes no longer wait for leases that earlier incarnations may have granted.
            assert (await cordon(s1, "c0", target="worker/w9"))[0] == 200
            status, response = await cordon(s1)
            assert (status, response["in_force"], response["unconfirmed"]) == (200, True, [])
            assert response["ms"] < BOUND_MS
            assert await group.run_jobs("s3", 12) == {"w1", "w2"}
            status, response = await cordon(group.voters["v2"], "c2", target="worker/w1")
            assert (status, response["in_force"], response["behind"]) == (200, True, 0)
            assert response["ms"] < BOUND_MS
            assert await group.run_jobs("s1", 12) == {"w2"}
            shown = json.loads((await s3.call("GET", "/ops/cordons"))[1])["cordons"]
            assert {c["id"]: (c["target"], c["workers"]) for c in shown} == {
                "c0": ("worker/w9", 0),
                "c1": ("worker/w0", 1),
                "c2": ("worker/w1", 1),
            }
            status, response = await lift(s3)
            assert status == 200 and response["in_force"]
            assert "w0" in await group.run_jobs("s2", 30)
            await wait_until_equal(*group.voters.values(), *group.schedulers.values())
            observers = [
                (await voter.call("GET", "/ops/stats"))[1].split("control.observers:")[1][0]
                for voter in group.voters.values()
            ]
            assert sum(map(int, observers)) == 3
            assert "app.control.lease:1|g" in (await s1.call("GET", "/ops/stats"))[1]

            # Under `serve` the scheduler continues to send jobs according to its last known state, and
            # reports the age of that state.
            for name in ("v2", "v3"):
                group.voters[name].signal(signal.SIGSTOP)
            await wait_for_log(s1, "event=control_lease_expired")
            response = await status_of(s1)
            assert (
                response["may_act"] and not response["lease"] and response["majority_known_ms_ago"] > BOUND_MS
            )
            assert await group.run_jobs("s1", 12) == {"w0", "w2"}
            assert "app.control.lease:0|g" in (await s1.call("GET", "/ops/stats"))[1]
            for name in ("v2", "v3"):
                group.voters[name].signal(signal.SIGCONT)
            await wait_for_log(s1, "event=control_lease_acquired", 2)

    asyncio.run(scenario())


def test_a_killed_voter_restores_its_snapshot_and_one_without_a_snapshot_catches_up_with_the_others() -> None:
    async def scenario() -> None:
        async with running_group(("s1",)) as group:
            s1, first = group.schedulers["s1"], group.voters["v1"]
            assert (await cordon(s1))[0] == 200

            async def saved() -> bool:
                return b"c1" in (first.folder / "mesh.state").read_bytes()

            await wait_until(saved)
            await first.kill()
            response = await wait_until_settled(s1, not_voter="v1")
            assert {response["voter"], response["spare_voter"]} == {"v2", "v3"}
            assert (await cordon(s1, "c2", wait="", target="worker/w1"))[0] == 200
            await first.start()
            assert "records=1" in first.log.read_text(), "v1 must restore the record of its snapshot"
            await wait_until(lambda: reports(first, "/ops/mesh", counts=True))
            second = group.voters["v2"]
            await second.kill()
            (second.folder / "mesh.state").unlink()
            await second.start()
            await wait_until(lambda: reports(second, "/ops/mesh", counts=True))
            assert "event=snapshot_restored" not in second.log.read_text()
            await wait_until_settled(s1)
            await wait_until_equal(*group.voters.values(), s1)
            status, response = await lift(second, "c2")
            assert status == 200 and response["in_force"]
            assert "w1" in await group.run_jobs("s1", 30)

    asyncio.run(scenario())


def test_under_hold_a_lease_survives_the_loss_of_a_voter_but_expires_without_a_majority() -> None:
    """With a majority, a change waits for a killed scheduler until that scheduler's lease has expired."""

    async def scenario() -> None:
        bound_s = 2.0
        async with running_group(("s1", "s2"), on_lost="hold", bound_ms=int(bound_s * 1000)) as group:
            s1, s2 = group.schedulers["s1"], group.schedulers["s2"]
            response = await wait_until_settled(s1)
            group.voters[response["voter"]].signal(signal.SIGSTOP)
            migrated = await wait_until_settled(s1, not_voter=response["voter"])
            assert migrated["voter"] == response["spare_voter"]
            assert "event=send_lease_lost" not in s1.log.read_text()
            group.voters[response["voter"]].signal(signal.SIGCONT)
            await wait_until_equal(*group.voters.values(), s1, s2)
            await wait_until_settled(s2)

            lost = [group.voters["v2"], group.voters["v3"]]
            assert await group.run_jobs("s1", 6)
            for voter in lost:
                voter.signal(signal.SIGSTOP)
            stopped_s = time.monotonic()
            await wait_for_log(s1, "event=send_lease_lost")
            assert time.monotonic() - stopped_s < bound_s + 1
            assert await group.run_jobs("s1", 2) == set()
            assert not (await status_of(s1))["may_act"]
            status, response = await cordon(s1, wait="?wait=0.2")
            assert status == 504 and response["type"] == "NotAccepted" and response["advice"]
            for voter in lost:
                voter.signal(signal.SIGCONT)
            await wait_for_log(s1, "event=send_lease_held", 2)
            await wait_until_settled(s1)
            assert await group.run_jobs("s1", 6) == {"w1", "w2"}

            await wait_until_settled(s2)
            await s2.kill()
            status, response = await cordon(s1, "c2", target="worker/w1")
            assert status == 200 and response["in_force"]
            # The killed scheduler could have sent jobs until its lease expired, at most one bound after the
            # last heartbeat reply that it received.
            assert response["ms"] > bound_s * 1000 / 2

    asyncio.run(scenario())


def test_under_serve_a_killed_scheduler_lags_until_removed_by_operators_but_a_stopped_one_does_not() -> None:
    async def scenario() -> None:
        async with running_group() as group:
            s1, s3 = group.schedulers["s1"], group.schedulers["s3"]
            await s3.kill()
            assert await group.schedulers["s2"].stop() == 0
            status, response = await cordon(s1, wait="?wait=0.5")
            assert (status, response["type"]) == (504, "BoundNotMet")
            assert [u["scheduler"] for u in response["unconfirmed"]] == ["s3"]
            for voter in group.voters.values():
                assert (await voter.call("PUT", "/ops/mesh/forget", "s3"))[0] == 200
            await wait_until(lambda: in_force(s1, "c1"))
            await s3.start()
            await wait_until_settled(s3)
            status, response = await lift(s3)
            assert status == 200 and response["in_force"]

    asyncio.run(scenario())


async def in_force(program: Program, cordon_id: str) -> bool:
    _, text = await program.call("GET", f"/ops/cordons/{cordon_id}")
    return bool(json.loads(text)["cordons"][0]["state"] == "in force")


def test_a_reload_adds_or_removes_one_voter_and_rejects_two_at_once() -> None:
    async def scenario() -> None:
        async with running_group(("s1",)) as group:
            s1 = group.schedulers["s1"]
            old_places = dict(group.voter_places)
            group.voter_places |= {"v4": group.new_place(0), "v5": group.new_place(1)}
            group.voters["v1"].reload(group.operator_file())
            await wait_for_log(group.voters["v1"], "event=reload_failed")
            assert "would be added or removed at once" in group.voters["v1"].log.read_text()
            del group.voter_places["v5"]
            group.voters["v4"] = group.new_voter("v4")
            await group.voters["v4"].start()
            for name in old_places:
                group.voters[name].reload(group.operator_file())
            s1.reload(group.operator_file(0))
            for name in old_places:
                await wait_for_log(group.voters[name], "event=voters_settled")
            await wait_for_log(s1, "event=voters_reconfigured")
            await wait_until(lambda: reports(group.voters["v4"], "/ops/mesh", counts=True))
            assert (await cordon(group.voters["v4"]))[0] == 200
            assert await group.run_jobs("s1", 12) == {"w1", "w2"}
            del group.voter_places["v1"]
            s1.reload(group.operator_file(0))
            await wait_until_settled(s1, not_voter="v1")
            for name in ("v2", "v3", "v4"):
                group.voters[name].reload(group.operator_file())
            assert await group.voters["v1"].stop() == 0
            for name in ("v2", "v3", "v4"):
                await wait_for_log(group.voters[name], "event=voters_settled", 2 if name != "v4" else 1)
            status, response = await lift(s1)
            assert status == 200 and response["in_force"]

    asyncio.run(scenario())


def test_cordon_commands_foreign_installations_and_modes_by_kind(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        async with running_group(("s1",), on_lost="hold", on_lost_by_kind={"cordon": "serve"}) as group:
            s1 = group.schedulers["s1"]
            scheduler, voter = s1.ops, group.voters["v2"].ops

            async def run(*arguments: str, code: int = 0) -> str:
                assert await asyncio.to_thread(main, ["cordon", *arguments]) == code
                captured = capsys.readouterr()
                return captured.out + captured.err

            assert "nothing is cordoned" in await run("list", "--ops", voter)
            output = await run("set", "c1", "zone/north", "--reason", "flood", "--wait", "5", "--ops", voter)
            assert "in force" in output
            assert "c1 is in force" in await run("wait", "c1", "--ops", scheduler)
            assert "flood" in await run("list", "--ops", scheduler)
            assert "in force" in await run("lift", "c1", "--wait", "5", "--ops", scheduler)
            assert "no cordon is called 'c1'" in await run("lift", "c1", "--ops", voter, code=1)

            foreign = Program(
                group.new_folder("s9"),
                group.site,
                group.discovery,
                group.operator_file(0, installation="other"),
                name="s9",
            )
            group.schedulers["s9"] = foreign
            await foreign.start()
            await wait_for_log(foreign, "is of installation 'other'")
            assert not (await status_of(foreign))["in_step"]

            for name in ("v2", "v3"):
                group.voters[name].signal(signal.SIGSTOP)
            await wait_for_log(s1, "event=control_lease_expired")
            assert (await status_of(s1))["may_act"], "on_lost_by_kind must override on_lost"
            assert await group.run_jobs("s1", 12) == {"w0", "w1", "w2"}

    asyncio.run(scenario())


VOTER = {"address": "127.0.0.1:9411", "region": "east", "zone": "a"}


@pytest.mark.parametrize(
    ("mesh", "key"),
    [
        ({}, "mesh.voters: is empty; it must list this voter and all others"),
        ({"voters": {"v2": VOTER}}, "mesh.voters: 'v1' is not among them"),
        ({"voters": {"v1": VOTER | {"address": "nowhere"}}}, "mesh.voters"),
        ({"voters": {"v1": VOTER | {"address": "127.0.0.1:99999"}}}, "mesh.voters.v1.address: the port"),
        ({"voters": {"v1": VOTER, "v2": VOTER}}, "mesh.voters.v1.address: 127.0.0.1:9411 is named 2 times"),
        ({"voters": {"v1": VOTER}, "regions": {"west": ["a"]}}, "mesh.voters.v1.region: 'east' is no known"),
        ({"voters": {"v1": VOTER}, "regions": {"east": ["b"]}}, "mesh.voters.v1.zone: 'a' is no zone of"),
        (
            {"voters": {"v1": VOTER}, "on_lost_by_kind": {"cart": "hold"}},
            "mesh.on_lost_by_kind.cart: there is no record kind",
        ),
        ({"voters": {"v1": VOTER}, "peers": {"s1": "127.0.0.1:9412"}}, "mesh.peers: can't be named beside"),
        ({"voters": {f"v{n}": VOTER for n in range(14)}}, "mesh.voters: 14 are named"),
        ({"voters": {"v1": VOTER | {"colour": "red"}}}, "mesh.voters"),
    ],
)
def test_a_malformed_operators_file_ends_a_voters_start_with_one_line_that_names_the_key(
    mesh: Json, key: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "operator.json"
    file.write_text(json.dumps({"mesh": mesh}))
    assert main(["control", "--operator", str(file), "--name", "v1"]) == 2
    (line,) = [line for line in capsys.readouterr().err.splitlines() if line.startswith("robinhill: ")]
    assert key in line


def test_an_even_number_of_voters_and_an_address_in_use_are_reported(tmp_path: Path) -> None:
    async def scenario() -> None:
        voters = {name: VOTER | {"address": free_address()} for name in ("v1", "v2")}
        site, discovery = Site((QUICK,)), Discovery([], Journal())
        voter = voter_program(tmp_path, site, discovery, {"mesh": {"voters": voters}}, "v1")
        await voter.start()
        assert "event=voters_warning" in voter.log.read_text()
        duplicate = voter_program(tmp_path, site, discovery, {"mesh": {"voters": voters}}, "v1")
        duplicate.number = 1
        with pytest.raises(RuntimeError, match=r"mesh\.voters\.v1\.address: can't listen on"):
            await duplicate.start()
        assert duplicate.process and duplicate.process.returncode == 2
        assert await voter.stop() == 0

    asyncio.run(scenario())


def test_a_scheduler_with_the_name_of_a_voter_or_in_an_unknown_region_does_not_start(tmp_path: Path) -> None:
    async def scenario() -> None:
        for number, (mesh, key) in enumerate(
            [
                ({"voters": {"s1": VOTER}}, "robinhill: mesh.voters: 's1' is this scheduler's own name"),
                ({"voters": {"v1": VOTER}, "region": "north"}, "robinhill: mesh.region: 'north' is no known"),
            ]
        ):
            folder = tmp_path / str(number)
            folder.mkdir()
            discovery = Discovery([], Journal())
            discovery.address = free_address()
            program = Program(folder, Site((QUICK,)), discovery, {"mesh": mesh}, name="s1")
            with pytest.raises(RuntimeError) as raised:
                await program.start()
            assert key in str(raised.value)
            assert program.process and program.process.returncode == 2

    asyncio.run(scenario())


def test_no_control_module_is_loaded_without_voters() -> None:
    code = (
        "import sys, robinhill.commands.run\n"
        "print([m for m in sys.modules if m.startswith("
        "('robinhill.control', 'robinhill.net.control_group', 'robinhill.net.cordons'))])"
    )
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert output.strip() == "[]"


def test_a_scheduler_with_peers_loads_no_control_module(tmp_path: Path) -> None:
    async def scenario() -> None:
        operator = {"mesh": {"peers": {"s1": free_address(), "s2": free_address()}, "catch_up_ms": 100}}
        entry = tmp_path / "entry.py"
        entry.write_text(
            "import sys\nfrom robinhill.commands import main\ncode = main(['run'])\n"
            "print('loaded', [m for m in sys.modules if m.startswith('robinhill') and ('control' in m"
            " or m.endswith(('.group_member', '.pending_changes', '.change_waits')))],"
            " file=sys.stderr)\nsys.exit(code)\n"
        )
        env = {"PYTHONPATH": str(Path(__file__).parent.parent)}
        site = Site((QUICK,))
        discovery = Discovery([], Journal())
        await discovery.start()
        program = Program(
            tmp_path, site, discovery, operator, name="s1", entry=(str(entry),), env=dict(os.environ) | env
        )
        await program.start()
        assert await program.stop() == 0
        assert "loaded []" in program.log.read_text()
        await discovery.stop()

    asyncio.run(scenario())
