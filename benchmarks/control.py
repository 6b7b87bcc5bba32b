"""What the control group costs, and what it keeps to under faults; on real processes.

    python -m benchmarks.control processes --voters 13 --schedulers 24 --seconds 30
    python -m benchmarks.control faults --seeds 1-50    # 5 voters and 8 schedulers, random fault schedules
    python -m benchmarks.control sum                    # what all runs in the file show together

Each run appends a line of JSON to `--out`, so that any number of slices make one result.
"""

import argparse
import asyncio
import os
import random
import shutil
import statistics
import sys
import tempfile
import time
from collections.abc import Iterable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from benchmarks.mesh import note, numbers
from robinhill.checker.journal import Journal
from robinhill.emulator.control_rig import play, schedule_of
from robinhill.emulator.discovery import Discovery
from robinhill.emulator.program import Program
from robinhill.emulator.site import JobKind, Site, free_address
from robinhill.emulator.voter import voter_program

Json = dict[str, Any]
OUT = "control-figures.jsonl"
KIND = JobKind("lookup", 5, 500, 2.0, 5_000)
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
SETTLE_S = 60.0
WARM_S = 5.0
REGIONS = 3
WAIT_S = 10
AT_ONCE = 4
"""Processes that are started at the same time."""


@dataclass(slots=True, frozen=True)
class Used:
    """What a process has used since its start. ``sent``, ``got``: bytes of the control group."""

    cpu_s: float
    rss_mb: float
    sent: int
    got: int


def place(number: int) -> Json:
    """Region and zone of the voter or scheduler of this number."""
    region = number % REGIONS
    return {"region": f"r{region}", "zone": f"r{region}-{number // REGIONS % 3}"}


async def used(program: Program) -> Used:
    """What a process has used, by the kernel and by its own figures."""
    fields = Path(f"/proc/{program.pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{program.pid}/status").read_text()
    rss_kb = int(status.split("VmRSS:")[1].split()[0])
    _, text = await program.call("GET", "/ops/stats")
    metrics = dict(line.partition(":")[::2] for line in text.splitlines())
    sent = sum(_count(v) for k, v in metrics.items() if k.startswith("app.control.bytes_out"))
    return Used(
        (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND,
        rss_kb / 1024,
        sent,
        _count(metrics.get("app.control.bytes_in", "0|c")),
    )


def _count(text: str) -> int:
    return int(text.partition("|")[0])


async def processes(options: argparse.Namespace, results: Path) -> int:
    """Idle schedulers and voters, with a few changes: what each process uses."""
    folder = Path(tempfile.mkdtemp(prefix="robinhill-control-"))
    site, discovery = Site((KIND,)), Discovery([], Journal())
    addresses = {f"v{n:02}": {"address": free_address()} | place(n) for n in range(options.voters)}
    mesh: Json = {"voters": addresses, "bound_ms": options.bound_ms, "on_lost": options.on_lost}
    async with AsyncExitStack() as stack:
        await discovery.start()
        stack.push_async_callback(discovery.stop)
        voters = [
            voter_program(_folder(folder, name), site, discovery, {"mesh": mesh}, name) for name in addresses
        ]
        schedulers = [
            Program(_folder(folder, f"s{n:02}"), site, discovery, {"mesh": mesh | place(n)}, name=f"s{n:02}")
            for n in range(options.schedulers)
        ]
        alone = Program(_folder(folder, "alone"), site, discovery, name="alone")
        everyone = [*voters, *schedulers, alone]
        stack.push_async_callback(_stop, everyone)
        await _start(everyone)
        await _settled(schedulers)
        await asyncio.sleep(WARM_S)
        line = await _measured(options, voters, schedulers, alone)
    shutil.rmtree(folder)
    note(results, line)
    _show([line])
    return 0


async def _measured(
    options: argparse.Namespace, voters: list[Program], schedulers: list[Program], alone: Program
) -> Json:
    before = [await used(program) for program in (*voters, *schedulers, alone)]
    started_s = time.monotonic()
    spread_ms, failed = await _changes(options, schedulers)
    await asyncio.sleep(max(0.0, started_s + options.seconds - time.monotonic()))
    seconds = time.monotonic() - started_s
    after = [await used(program) for program in (*voters, *schedulers, alone)]
    rates = [
        {
            "cpu": (b.cpu_s - a.cpu_s) / seconds,
            "sent": (b.sent - a.sent) / seconds,
            "got": (b.got - a.got) / seconds,
            "rss_mb": b.rss_mb,
        }
        for a, b in zip(before, after, strict=True)
    ]
    return {
        "part": "processes",
        "voters": len(voters),
        "schedulers": len(schedulers),
        "bound_ms": options.bound_ms,
        "on_lost": options.on_lost,
        "seconds": seconds,
        "changes_a_second": options.changes,
        "load": os.getloadavg()[0],
        "voter": rates[: len(voters)],
        "scheduler": rates[len(voters) : -1],
        "alone": rates[-1:],
        "in_force_ms": spread_ms,
        "not_in_force": failed,
    }


async def _changes(options: argparse.Namespace, schedulers: list[Program]) -> tuple[list[float], int]:
    """Cordons at schedulers by lot for the time of the measurement; milliseconds until each was in force."""
    if not options.changes:
        return [], 0
    rng = random.Random(options.seed)
    ends_s = time.monotonic() + options.seconds
    spread_ms: list[float] = []
    failed = number = 0
    while time.monotonic() < ends_s - 1:
        program = rng.choice(schedulers)
        body = orjson.dumps({"target": f"worker/w{number}", "reason": "a trial", "for_s": 600}).decode()
        status, text = await program.call("PUT", f"/ops/cordons/c{number}?wait={WAIT_S}", body)
        answer = orjson.loads(text)
        if status == 200 and answer["in_force"]:
            spread_ms.append(answer["ms"])
        else:
            failed += 1
        number += 1
        await asyncio.sleep(rng.expovariate(options.changes))
    return spread_ms, failed


def _folder(root: Path, name: str) -> Path:
    folder = root / name
    folder.mkdir()
    return folder


async def _start(programs: Sequence[Program]) -> None:
    for at in range(0, len(programs), AT_ONCE):
        await asyncio.gather(*(program.start() for program in programs[at : at + AT_ONCE]))


async def _stop(programs: Iterable[Program]) -> None:
    running = [p.process for p in programs if p.process and p.process.returncode is None]
    for process in running:
        process.kill()
    await asyncio.gather(*(process.wait() for process in running))


async def _settled(schedulers: Sequence[Program]) -> None:
    """Until each has a voter and a spare one, and its lease."""
    async with asyncio.timeout(SETTLE_S):
        for program in schedulers:
            while True:
                answer = orjson.loads((await program.call("GET", "/ops/mesh"))[1])
                if answer["in_step"] and answer["lease"] and answer.get("spare_voter"):
                    break
                await asyncio.sleep(0.1)


async def faults(options: argparse.Namespace, results: Path) -> int:
    """Schedules of these seeds, one after another, each on fresh processes."""
    failed = 0
    for seed in numbers(options.seeds):
        schedule = schedule_of(seed, options.voters, options.schedulers)
        folder = Path(tempfile.mkdtemp(prefix="robinhill-control-"))
        line: Json = {
            "part": "faults",
            "seed": seed,
            "voters": options.voters,
            "schedulers": options.schedulers,
            "bound_ms": options.bound_ms,
            "faults": [f.trouble.name for f in schedule.faults],
        }
        try:
            outcome = await play(schedule, folder, options.voters, bound_ms=options.bound_ms)
        except Exception as e:  # a run that could not be played is a result too, and others follow
            note(results, line | {"broken": [f"could not be played: {repr(e)[-300:]}"], "equal_s": None})
            print(f"seed {seed}: could not be played: {repr(e)[-300:]}; logs: {folder}", flush=True)
            failed += 1
            continue
        counts = {what.name: n for what, n in outcome.counts.items()}
        result = {"broken": outcome.broken, "equal_s": outcome.equal_s, "late_s": outcome.late_s}
        note(results, line | result | {"counts": counts, "links": outcome.links})
        print(f"seed {seed}: {outcome}", flush=True)
        for what in outcome.broken[:5]:
            print(f"  BROKEN: {what}")
        if outcome.broken:
            failed += 1
            print(f"  logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    return int(failed > 0)


def _show(lines: Iterable[Json]) -> None:
    for line in lines:
        print(
            f"{line['voters']} voters, {line['schedulers']} schedulers, bound {line['bound_ms']} ms, "
            f"{line['changes_a_second']:g} changes a second, {line['seconds']:.0f} s; "
            f"load of the machine {line['load']:.1f}"
        )
        for role in ("voter", "scheduler", "alone"):
            if not line[role]:
                continue
            shown = []
            for key, scale, unit in (
                ("cpu", 100, "% of a core"),
                ("sent", 1e-3, " KB/s sent"),
                ("got", 1e-3, " KB/s got"),
                ("rss_mb", 1, " MB"),
            ):
                values = [one[key] * scale for one in line[role]]
                shown.append(f"{statistics.mean(values):.2f} (worst {max(values):.2f}){unit}")
            print(f"  {role}: {', '.join(shown)}")
        spread = sorted(line["in_force_ms"])
        if spread:
            print(
                f"  in force after {statistics.median(spread):.0f} ms in the middle, "
                f"{max(spread):.0f} at worst, of {len(spread)}; {line['not_in_force']} not in {WAIT_S} s"
            )


def total(results: Path) -> int:
    """What all lines of the file show."""
    lines = [orjson.loads(line) for line in results.read_bytes().splitlines()]
    _show(line for line in lines if line["part"] == "processes")
    latest = {line["seed"]: line for line in lines if line["part"] == "faults"}
    if latest:
        equal = [x["equal_s"] for x in latest.values() if x["equal_s"] is not None]
        broken = sum(bool(x["broken"]) for x in latest.values())
        middle, worst = statistics.median(equal or [0]), max(equal, default=0)
        print(
            f"{len(latest)} fault schedules, {broken} with a broken rule; copies equal in {len(equal)}, "
            f"after {middle:.3f} s in the middle and {worst:.3f} at worst"
        )
        for x in latest.values():
            if x["broken"]:
                print(f"  seed {x['seed']}: {len(x['broken'])} broken, such as {x['broken'][0]}")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """The exit code: 1 where a rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.control", description=__doc__)
    parser.add_argument("--out", type=Path, default=Path(OUT))
    parts = parser.add_subparsers(dest="part", required=True)
    parts.add_parser("sum")
    part = parts.add_parser("processes")
    part.add_argument("--voters", type=int, default=13)
    part.add_argument("--schedulers", type=int, default=24)
    part.add_argument("--bound-ms", type=int, default=4_000)
    part.add_argument("--on-lost", choices=("hold", "serve"), default="hold")
    part.add_argument("--seconds", type=float, default=30.0)
    part.add_argument("--changes", type=float, default=0.23, help="a second; 0.23: 20,000 a day")
    part.add_argument("--seed", type=int, default=1)
    part = parts.add_parser("faults")
    part.add_argument("--seeds", default="1-50")
    part.add_argument("--voters", type=int, default=5)
    part.add_argument("--schedulers", type=int, default=8)
    part.add_argument("--bound-ms", type=int, default=1_000)
    options = parser.parse_args(arguments)
    if options.part == "sum":
        return total(options.out)
    return asyncio.run((processes if options.part == "processes" else faults)(options, options.out))


if __name__ == "__main__":
    sys.exit(main())
