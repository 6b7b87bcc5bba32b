"""The control group as real processes on loopback: three voters, three schedulers that observe them."""

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


def stand(number: int) -> Json:
    """Region and zone of the voter of this number."""
    return {"region": "east" if number < 2 else "west", "zone": f"zone-{number}"}


class ChangeBatch:
    """Voters in three zones of two regions, and schedulers beside them, with the same workers."""

    def __init__(self, root: Path, schedulers: tuple[str, ...], **mesh: Any) -> None:
        self.root = root
        self.mesh = mesh
        self.site, self.journal = Site((QUICK,), cold_s=0.2), Journal()
        self.workers = [Worker(f"w{i}", self.site, self.journal) for i in range(3)]
        self.discovery = Discovery(self.workers, self.journal)
        self.places = {name: self.place(number) for number, name in enumerate(VOTERS)}
        self.voters = {name: self.voter(name) for name in VOTERS}
        self.schedulers = {
            name: Program(self.folder(name), self.site, self.discovery, self.operator(number), name=name)
            for number, name in enumerate(schedulers)
        }
        self.asked = 0

    def place(self, number: int) -> Json:
        return {"address": free_address()} | stand(number)

    def voter(self, name: str) -> Program:
        return voter_program(self.folder(name), self.site, self.discovery, self.operator(), name)

    def programs(self) -> list[Program]:
        return [*self.voters.values(), *self.schedulers.values()]

    def folder(self, name: str) -> Path:
        folder = self.root / f"{name}-{len(list(self.root.iterdir()))}"
        folder.mkdir()
        return folder

    def operator(self, number: int | None = None, **changes: Any) -> Json:
        """The operators' file of a voter, or of the scheduler that stands beside voter ``number``."""
        mesh: Json = {"voters": self.places, "bound_ms": BOUND_MS} | self.mesh | changes
        if number is not None:
            mesh |= stand(number)
        return {"mesh": mesh}

    async def ask(self, name: str, jobs: int) -> set[str]:
        """The workers that got these jobs, asked of one scheduler one after the other."""
        for worker in self.workers:
            worker.scheduler = self.schedulers[name].listen
        first = self.asked
        async with aiohttp.ClientSession() as session:
            for _ in range(jobs):
                headers = {"X-Request-ID": f"j{self.asked}", "X-Priority-Class": QUICK.name}
                self.asked += 1
                url = f"http://{self.schedulers[name].listen}/{QUICK.name}/x"
                async with session.post(url, data=b"work", headers=headers) as answer:
                    await answer.read()
        ids = {f"j{n}" for n in range(first, self.asked)}
        return {e.worker for e in self.journal.events if e.what is EventType.SENT and e.request in ids}


@asynccontextmanager
async def group(schedulers: tuple[str, ...] = SCHEDULERS, **mesh: Any) -> AsyncIterator[ChangeBatch]:
    """All processes run and are synchronized at the start of the block, and have ended after it."""
    with tempfile.TemporaryDirectory(prefix="robinhill-") as folder:
        here = ChangeBatch(Path(folder), schedulers, **mesh)
        try:
            for worker in here.workers:
                await worker.start()
            await here.discovery.start()
            await asyncio.gather(*(program.start() for program in here.programs()))
            for voter in here.voters.values():
                await until(lambda voter=voter: has(voter, "/ops/mesh", counts=True))  # type: ignore[misc]
            for program in here.schedulers.values():
                await settled(program)
            yield here
        finally:
            for process in [program.process for program in here.programs()]:
                if process and process.returncode is None:
                    process.kill()
                    await process.wait()
            await here.discovery.stop()
            for worker in here.workers:
                await worker.stop()


async def until(holds: Callable[[], Awaitable[bool]], deadline_s: float = DEADLINE_S) -> None:
    async with asyncio.timeout(deadline_s):
        while not await holds():
            await asyncio.sleep(0.02)


async def logged(program: Program, text: str, times: int = 1) -> None:
    """Until so many lines of its log hold this."""

    async def found() -> bool:
        return program.log.read_text().count(text) >= times

    await until(found)


async def status_of(program: Program) -> Json:
    status, text = await program.call("GET", "/ops/mesh")
    assert status == 200
    answer: Json = json.loads(text)
    return answer


async def has(program: Program, path: str, **wanted: Any) -> bool:
    """Whether an operators' call tells these values."""
    _, text = await program.call("GET", path)
    answer = json.loads(text)
    return all(answer.get(key) == value for key, value in wanted.items())


async def settled(program: Program, not_voter: str | None = None) -> Json:
    """Wait until a scheduler is synchronized with a voter, has a spare one and a lease. Returns its
    status."""

    async def is_settled() -> bool:
        answer = await status_of(program)
        voters = answer.get("voter"), answer.get("spare_voter")
        return bool(answer["in_step"] and answer["lease"] and all(voters)) and not_voter not in voters

    await until(is_settled)
    return await status_of(program)


async def equal(*programs: Program) -> None:
    """Until all copies are equal."""

    async def same() -> bool:
        return len({(await status_of(program)).get("digest") for program in programs}) == 1

    await until(same)


async def cordon(
    program: Program, cordon_id: str = "c1", wait: str = "?wait=10", **body: Any
) -> tuple[int, Json]:
    asked = {"target": "worker/w0", "reason": "a fan is loud", "by": "ann"} | body
    status, text = await program.call("PUT", f"/ops/cordons/{cordon_id}{wait}", json.dumps(asked))
    return status, json.loads(text)


async def lift(program: Program, cordon_id: str = "c1") -> tuple[int, Json]:
    status, text = await program.call("DELETE", f"/ops/cordons/{cordon_id}?wait=10")
    return status, json.loads(text)


def test_a_cordon_set_anywhere_is_in_force_everywhere_within_the_bound_and_work_outlives_the_majority() -> (
    None
):
    async def play() -> None:
        async with group() as here:
            one, three = here.schedulers["s1"], here.schedulers["s3"]
            assert await here.ask("s3", 12) == {"w0", "w1", "w2"}
            assert (await cordon(one, "c0", target="worker/w9"))[0] == 200  # earlier starts have no lease now
            status, answer = await cordon(one)
            assert (status, answer["in_force"], answer["unconfirmed"]) == (200, True, [])
            assert answer["ms"] < BOUND_MS
            assert await here.ask("s3", 12) == {"w1", "w2"}
            status, answer = await cordon(here.voters["v2"], "c2", target="worker/w1")
            assert (status, answer["in_force"], answer["behind"]) == (200, True, 0)
            assert answer["ms"] < BOUND_MS
            assert await here.ask("s1", 12) == {"w2"}
            shown = json.loads((await three.call("GET", "/ops/cordons"))[1])["cordons"]
            assert {c["id"]: (c["target"], c["workers"]) for c in shown} == {
                "c0": ("worker/w9", 0),
                "c1": ("worker/w0", 1),
                "c2": ("worker/w1", 1),
            }
            status, answer = await lift(three)
            assert status == 200 and answer["in_force"]
            assert "w0" in await here.ask("s2", 30)
            await equal(*here.voters.values(), *here.schedulers.values())
            observers = [
                (await voter.call("GET", "/ops/stats"))[1].split("control.observers:")[1][0]
                for voter in here.voters.values()
            ]
            assert sum(map(int, observers)) == 3
            assert "app.control.lease:1|g" in (await one.call("GET", "/ops/stats"))[1]

            # Under `serve` work goes on by what was known, and its age is told.
            for name in ("v2", "v3"):
                here.voters[name].signal(signal.SIGSTOP)
            await logged(one, "event=control_lease_expired")
            answer = await status_of(one)
            assert answer["may_act"] and not answer["lease"] and answer["majority_known_ms_ago"] > BOUND_MS
            assert await here.ask("s1", 12) == {"w0", "w2"}
            assert "app.control.lease:0|g" in (await one.call("GET", "/ops/stats"))[1]
            for name in ("v2", "v3"):
                here.voters[name].signal(signal.SIGCONT)
            await logged(one, "event=control_lease_acquired", 2)

    asyncio.run(play())


def test_a_voter_that_was_killed_comes_back_from_disk_and_one_with_lost_memory_from_the_others() -> None:
    async def play() -> None:
        async with group(("s1",)) as here:
            one, first = here.schedulers["s1"], here.voters["v1"]
            assert (await cordon(one))[0] == 200

            async def saved() -> bool:
                return b"c1" in (first.folder / "mesh.state").read_bytes()

            await until(saved)
            await first.kill()
            answer = await settled(one, not_voter="v1")
            assert {answer["voter"], answer["spare_voter"]} == {"v2", "v3"}
            assert (await cordon(one, "c2", wait="", target="worker/w1"))[0] == 200
            await first.start()
            assert "records=1" in first.log.read_text(), "it took what its disk held"
            await until(lambda: has(first, "/ops/mesh", counts=True))
            second = here.voters["v2"]
            await second.kill()
            (second.folder / "mesh.state").unlink()
            await second.start()
            await until(lambda: has(second, "/ops/mesh", counts=True))
            assert "event=snapshot_restored" not in second.log.read_text()
            await settled(one)
            await equal(*here.voters.values(), one)
            status, answer = await lift(second, "c2")
            assert status == 200 and answer["in_force"]
            assert "w1" in await here.ask("s1", 30)

    asyncio.run(play())


def test_under_hold_a_lease_outlives_one_voter_but_not_the_majority_and_a_dead_scheduler_only_the_bound() -> (
    None
):
    async def play() -> None:
        bound_s = 2.0
        async with group(("s1", "s2"), on_lost="hold", bound_ms=int(bound_s * 1000)) as here:
            one, two = here.schedulers["s1"], here.schedulers["s2"]
            answer = await settled(one)
            here.voters[answer["voter"]].signal(signal.SIGSTOP)
            migrated = await settled(one, not_voter=answer["voter"])
            assert migrated["voter"] == answer["spare_voter"]
            assert "event=send_lease_lost" not in one.log.read_text()
            here.voters[answer["voter"]].signal(signal.SIGCONT)
            await equal(*here.voters.values(), one, two)
            await settled(two)

            lost = [here.voters["v2"], here.voters["v3"]]
            assert await here.ask("s1", 6)
            for voter in lost:
                voter.signal(signal.SIGSTOP)
            stopped = time.monotonic()
            await logged(one, "event=send_lease_lost")
            assert time.monotonic() - stopped < bound_s + 1
            assert await here.ask("s1", 2) == set()
            assert not (await status_of(one))["may_act"]
            status, answer = await cordon(one, wait="?wait=0.2")
            assert status == 504 and answer["type"] == "NotAccepted" and answer["advice"]
            for voter in lost:
                voter.signal(signal.SIGCONT)
            await logged(one, "event=send_lease_held", 2)
            await settled(one)
            assert await here.ask("s1", 6) == {"w1", "w2"}

            await settled(two)
            await two.kill()
            status, answer = await cordon(one, "c2", target="worker/w1")
            assert status == 200 and answer["in_force"]
            # It may have sent until its lease was over: the bound after the last answer to a heartbeat.
            assert answer["ms"] > bound_s * 1000 / 2

    asyncio.run(play())


def test_a_scheduler_that_was_killed_is_behind_until_it_is_back_or_forgotten_and_one_that_left_is_not() -> (
    None
):
    async def play() -> None:
        async with group() as here:
            one, three = here.schedulers["s1"], here.schedulers["s3"]
            await three.kill()
            assert await here.schedulers["s2"].stop() == 0
            status, answer = await cordon(one, wait="?wait=0.5")
            assert (status, answer["type"]) == (504, "BoundNotMet")
            assert [u["scheduler"] for u in answer["unconfirmed"]] == ["s3"]
            for voter in here.voters.values():
                assert (await voter.call("PUT", "/ops/mesh/forget", "s3"))[0] == 200
            await until(lambda: in_force(one, "c1"))
            await three.start()
            await settled(three)
            status, answer = await lift(three)
            assert status == 200 and answer["in_force"]

    asyncio.run(play())


async def in_force(program: Program, cordon_id: str) -> bool:
    _, text = await program.call("GET", f"/ops/cordons/{cordon_id}")
    return bool(json.loads(text)["cordons"][0]["state"] == "in force")


def test_voters_are_changed_one_at_a_time_by_reload_and_two_at_once_are_refused() -> None:
    async def play() -> None:
        async with group(("s1",)) as here:
            one = here.schedulers["s1"]
            old = dict(here.places)
            here.places |= {"v4": here.place(0), "v5": here.place(1)}
            here.voters["v1"].reload(here.operator())
            await logged(here.voters["v1"], "event=reload_failed")
            assert "would be added or removed at once" in here.voters["v1"].log.read_text()
            del here.places["v5"]
            here.voters["v4"] = here.voter("v4")
            await here.voters["v4"].start()
            for name in old:
                here.voters[name].reload(here.operator())
            one.reload(here.operator(0))
            for name in old:
                await logged(here.voters[name], "event=voters_settled")
            await logged(one, "event=voters_reconfigured")
            await until(lambda: has(here.voters["v4"], "/ops/mesh", counts=True))
            assert (await cordon(here.voters["v4"]))[0] == 200
            assert await here.ask("s1", 12) == {"w1", "w2"}
            del here.places["v1"]  # and now one goes
            one.reload(here.operator(0))
            await settled(one, not_voter="v1")
            for name in ("v2", "v3", "v4"):
                here.voters[name].reload(here.operator())
            assert await here.voters["v1"].stop() == 0
            for name in ("v2", "v3", "v4"):
                await logged(here.voters[name], "event=voters_settled", 2 if name != "v4" else 1)
            status, answer = await lift(one)
            assert status == 200 and answer["in_force"]

    asyncio.run(play())


def test_the_command_line_strangers_and_what_goes_on_by_kind(capsys: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        async with group(("s1",), on_lost="hold", on_lost_by_kind={"cordon": "serve"}) as here:
            one = here.schedulers["s1"]
            scheduler, voter = one.ops, here.voters["v2"].ops

            async def run(*words: str, code: int = 0) -> str:
                assert await asyncio.to_thread(main, ["cordon", *words]) == code
                answer = capsys.readouterr()
                return answer.out + answer.err

            assert "nothing is cordoned" in await run("list", "--ops", voter)
            answer = await run("set", "c1", "zone/north", "--reason", "flood", "--wait", "5", "--ops", voter)
            assert "in force" in answer
            assert "c1 is in force" in await run("wait", "c1", "--ops", scheduler)
            assert "flood" in await run("list", "--ops", scheduler)
            assert "in force" in await run("lift", "c1", "--wait", "5", "--ops", scheduler)
            assert "no cordon is called 'c1'" in await run("lift", "c1", "--ops", voter, code=1)

            stranger = Program(
                here.folder("s9"),
                here.site,
                here.discovery,
                here.operator(0, installation="other"),
                name="s9",
            )
            here.schedulers["s9"] = stranger
            await stranger.start()
            await logged(stranger, "is of installation 'other'")
            assert not (await status_of(stranger))["in_step"]

            for name in ("v2", "v3"):
                here.voters[name].signal(signal.SIGSTOP)
            await logged(one, "event=control_lease_expired")
            assert (await status_of(one))["may_act"], "cordons serve, whatever other kinds do"
            assert await here.ask("s1", 12) == {"w0", "w1", "w2"}

    asyncio.run(play())


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
def test_a_bad_file_ends_a_voters_start_with_one_line_that_names_the_key(
    mesh: Json, key: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "operator.json"
    file.write_text(json.dumps({"mesh": mesh}))
    assert main(["control", "--operator", str(file), "--name", "v1"]) == 2
    (line,) = [line for line in capsys.readouterr().err.splitlines() if line.startswith("robinhill: ")]
    assert key in line


def test_an_even_number_of_voters_and_a_taken_address_are_reported(tmp_path: Path) -> None:
    async def play() -> None:
        voters = {name: VOTER | {"address": free_address()} for name in ("v1", "v2")}
        site, discovery = Site((QUICK,)), Discovery([], Journal())
        voter = voter_program(tmp_path, site, discovery, {"mesh": {"voters": voters}}, "v1")
        await voter.start()
        assert "event=voters_warning" in voter.log.read_text()
        again = voter_program(tmp_path, site, discovery, {"mesh": {"voters": voters}}, "v1")
        again.number = 1
        with pytest.raises(RuntimeError, match=r"mesh\.voters\.v1\.address: can't listen on"):
            await again.start()
        assert again.process and again.process.returncode == 2
        assert await voter.stop() == 0

    asyncio.run(play())


def test_a_scheduler_by_the_name_of_a_voter_or_of_an_unknown_region_does_not_start(tmp_path: Path) -> None:
    async def play() -> None:
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

    asyncio.run(play())


def test_nothing_of_it_is_loaded_and_nothing_listens_where_no_voters_are_named() -> None:
    code = (
        "import sys, robinhill.commands.run\n"
        "print([m for m in sys.modules if m.startswith("
        "('robinhill.control', 'robinhill.net.control_group', 'robinhill.net.cordons'))])"
    )
    answer = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert answer.strip() == "[]"


def test_a_scheduler_with_peers_loads_nothing_of_it_either(tmp_path: Path) -> None:
    async def play() -> None:
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

    asyncio.run(play())
