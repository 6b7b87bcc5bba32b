"""Measures the cost of the control group, and checks its guarantees under faults; with real processes.

    python -m benchmarks.control processes --voters 13 --schedulers 24 --seconds 30
    python -m benchmarks.control faults --seeds 1-50    # 5 voters and 8 schedulers, random fault schedules
    python -m benchmarks.control sum                    # summarize all results in the file

Each run appends a line of JSON to `--out`, so that a long measurement may be split into several runs.
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

from benchmarks.mesh import append_result, parse_ranges
from robinhill.checker.journal import Journal
from robinhill.emulator.control_rig import play, schedule_of
from robinhill.emulator.discovery import Discovery
from robinhill.emulator.program import Program
from robinhill.emulator.site import JobKind, Site, free_address
from robinhill.emulator.voter import voter_program

Json = dict[str, Any]
DEFAULT_RESULTS_FILE = "control-figures.jsonl"
JOB_KIND = JobKind("lookup", 5, 500, 2.0, 5_000)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SYNCHRONIZATION_TIMEOUT_S = 60.0
WARM_UP_S = 5.0
REGIONS = 3
CORDON_TIMEOUT_S = 10
MAX_CONCURRENT_STARTS = 4
"""Maximum number of processes that are started concurrently."""


@dataclass(slots=True, frozen=True)
class ResourceUsage:
    """CPU time and traffic of a process since its start, and its resident memory.

    ``sent_bytes``, ``received_bytes``: only the traffic between voters and schedulers.
    """

    cpu_s: float
    rss_mb: float
    sent_bytes: int
    received_bytes: int


def location(number: int) -> Json:
    """Region and zone of voter or scheduler ``number``: all regions and zones in turn."""
    region = number % REGIONS
    return {"region": f"r{region}", "zone": f"r{region}-{number // REGIONS % 3}"}


async def read_usage(program: Program) -> ResourceUsage:
    """Read the resource usage of a process from ``/proc`` and from the metrics that it serves."""
    fields = Path(f"/proc/{program.pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{program.pid}/status").read_text()
    rss_kb = int(status.split("VmRSS:")[1].split()[0])
    _, text = await program.call("GET", "/ops/stats")
    metrics = dict(line.partition(":")[::2] for line in text.splitlines())
    sent_bytes = sum(_parse_counter(v) for k, v in metrics.items() if k.startswith("app.control.bytes_out"))
    return ResourceUsage(
        (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S,
        rss_kb / 1024,
        sent_bytes,
        _parse_counter(metrics.get("app.control.bytes_in", "0|c")),
    )


def _parse_counter(text: str) -> int:
    return int(text.partition("|")[0])


async def measure_processes(options: argparse.Namespace, results: Path) -> int:
    """Measure the resource usage of idle voters and schedulers while a few cordons are set."""
    folder = Path(tempfile.mkdtemp(prefix="robinhill-control-"))
    site, discovery = Site((JOB_KIND,)), Discovery([], Journal())
    addresses = {f"v{n:02}": {"address": free_address()} | location(n) for n in range(options.voters)}
    mesh: Json = {"voters": addresses, "bound_ms": options.bound_ms, "on_lost": options.on_lost}
    async with AsyncExitStack() as stack:
        await discovery.start()
        stack.push_async_callback(discovery.stop)
        voters = [
            voter_program(_create_folder(folder, name), site, discovery, {"mesh": mesh}, name)
            for name in addresses
        ]
        schedulers = [
            Program(
                _create_folder(folder, f"s{n:02}"),
                site,
                discovery,
                {"mesh": mesh | location(n)},
                name=f"s{n:02}",
            )
            for n in range(options.schedulers)
        ]
        standalone = Program(_create_folder(folder, "alone"), site, discovery, name="alone")
        programs = [*voters, *schedulers, standalone]
        stack.push_async_callback(_stop, programs)
        await _start(programs)
        await _wait_until_synchronized(schedulers)
        await asyncio.sleep(WARM_UP_S)
        line = await _measure_usage(options, voters, schedulers, standalone)
    shutil.rmtree(folder)
    append_result(results, line)
    _print_usage([line])
    return 0


async def _measure_usage(
    options: argparse.Namespace, voters: list[Program], schedulers: list[Program], standalone: Program
) -> Json:
    before = [await read_usage(program) for program in (*voters, *schedulers, standalone)]
    start_s = time.monotonic()
    in_force_ms, failed = await _set_cordons(options, schedulers)
    await asyncio.sleep(max(0.0, start_s + options.seconds - time.monotonic()))
    seconds = time.monotonic() - start_s
    after = [await read_usage(program) for program in (*voters, *schedulers, standalone)]
    rates = [
        {
            "cpu": (b.cpu_s - a.cpu_s) / seconds,
            "sent": (b.sent_bytes - a.sent_bytes) / seconds,
            "got": (b.received_bytes - a.received_bytes) / seconds,
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
        "in_force_ms": in_force_ms,
        "not_in_force": failed,
    }


async def _set_cordons(options: argparse.Namespace, schedulers: list[Program]) -> tuple[list[float], int]:
    """Set cordons at random schedulers until the measurement ends.

    Returns the milliseconds until each cordon was in force, and the number of cordons that were not in force
    before the timeout.
    """
    if not options.changes:
        return [], 0
    rng = random.Random(options.seed)
    end_s = time.monotonic() + options.seconds
    in_force_ms: list[float] = []
    failed = number = 0
    while time.monotonic() < end_s - 1:
        program = rng.choice(schedulers)
        body = orjson.dumps({"target": f"worker/w{number}", "reason": "a trial", "for_s": 600}).decode()
        status, text = await program.call("PUT", f"/ops/cordons/c{number}?wait={CORDON_TIMEOUT_S}", body)
        answer = orjson.loads(text)
        if status == 200 and answer["in_force"]:
            in_force_ms.append(answer["ms"])
        else:
            failed += 1
        number += 1
        await asyncio.sleep(rng.expovariate(options.changes))
    return in_force_ms, failed


def _create_folder(root: Path, name: str) -> Path:
    folder = root / name
    folder.mkdir()
    return folder


async def _start(programs: Sequence[Program]) -> None:
    for first in range(0, len(programs), MAX_CONCURRENT_STARTS):
        await asyncio.gather(
            *(program.start() for program in programs[first : first + MAX_CONCURRENT_STARTS])
        )


async def _stop(programs: Iterable[Program]) -> None:
    running = [p.process for p in programs if p.process and p.process.returncode is None]
    for process in running:
        process.kill()
    await asyncio.gather(*(process.wait() for process in running))


async def _wait_until_synchronized(schedulers: Sequence[Program]) -> None:
    """Wait until each scheduler is synchronized with a voter, and has a spare voter and a valid lease."""
    async with asyncio.timeout(SYNCHRONIZATION_TIMEOUT_S):
        for program in schedulers:
            while True:
                answer = orjson.loads((await program.call("GET", "/ops/mesh"))[1])
                if answer["in_step"] and answer["lease"] and answer.get("spare_voter"):
                    break
                await asyncio.sleep(0.1)


async def run_faults(options: argparse.Namespace, results: Path) -> int:
    """Run the fault schedule of each seed on new processes. Returns 1 if any run fails."""
    failed = 0
    for seed in parse_ranges(options.seeds):
        schedule = schedule_of(seed, options.voters, options.schedulers)
        folder = Path(tempfile.mkdtemp(prefix="robinhill-control-"))
        line: Json = {
            "part": "faults",
            "seed": seed,
            "voters": options.voters,
            "schedulers": options.schedulers,
            "bound_ms": options.bound_ms,
            "faults": [f.kind.name for f in schedule.faults],
        }
        try:
            outcome = await play(schedule, folder, options.voters, bound_ms=options.bound_ms)
        except Exception as e:  # a run that can't be completed is recorded as failed; the next seed follows
            append_result(
                results, line | {"broken": [f"could not be played: {repr(e)[-300:]}"], "equal_s": None}
            )
            print(f"seed {seed}: could not be played: {repr(e)[-300:]}; logs: {folder}", flush=True)
            failed += 1
            continue
        counts = {event.name: n for event, n in outcome.counts.items()}
        result = {"broken": outcome.broken, "equal_s": outcome.equal_s, "late_s": outcome.late_s}
        append_result(results, line | result | {"counts": counts, "links": outcome.links})
        print(f"seed {seed}: {outcome}", flush=True)
        for violation in outcome.broken[:5]:
            print(f"  BROKEN: {violation}")
        if outcome.broken:
            failed += 1
            print(f"  logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    return int(failed > 0)


def _print_usage(lines: Iterable[Json]) -> None:
    for line in lines:
        print(
            f"{line['voters']} voters, {line['schedulers']} schedulers, bound {line['bound_ms']} ms, "
            f"{line['changes_a_second']:g} changes/s, {line['seconds']:.0f} s; "
            f"load average of the machine {line['load']:.1f}"
        )
        for role in ("voter", "scheduler", "alone"):
            if not line[role]:
                continue
            columns = []
            for key, scale, unit in (
                ("cpu", 100, "% of a core"),
                ("sent", 1e-3, " KB/s sent"),
                ("got", 1e-3, " KB/s received"),
                ("rss_mb", 1, " MB"),
            ):
                values = [rates[key] * scale for rates in line[role]]
                columns.append(f"{statistics.mean(values):.2f} (maximum {max(values):.2f}){unit}")
            print(f"  {role}: {', '.join(columns)}")
        in_force_ms = sorted(line["in_force_ms"])
        if in_force_ms:
            print(
                f"  in force after {statistics.median(in_force_ms):.0f} ms (median), "
                f"{max(in_force_ms):.0f} ms (maximum), of {len(in_force_ms)} cordons; "
                f"{line['not_in_force']} not within {CORDON_TIMEOUT_S} s"
            )


def summarize(results: Path) -> int:
    """Print a summary of all results in the file; of each fault schedule, only the latest result counts."""
    lines = [orjson.loads(line) for line in results.read_bytes().splitlines()]
    _print_usage(line for line in lines if line["part"] == "processes")
    latest = {line["seed"]: line for line in lines if line["part"] == "faults"}
    if latest:
        equal_s = [x["equal_s"] for x in latest.values() if x["equal_s"] is not None]
        broken = sum(bool(x["broken"]) for x in latest.values())
        median_s, worst_s = statistics.median(equal_s or [0]), max(equal_s, default=0)
        print(
            f"{len(latest)} fault schedules, {broken} with a broken rule; replicas equal in {len(equal_s)}, "
            f"after {median_s:.3f} s (median) and {worst_s:.3f} s (maximum)"
        )
        for x in latest.values():
            if x["broken"]:
                print(f"  seed {x['seed']}: {len(x['broken'])} broken, such as {x['broken'][0]}")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the benchmark that the arguments select. Returns the exit code: 1 if a fault schedule failed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.control", description=__doc__)
    parser.add_argument("--out", type=Path, default=Path(DEFAULT_RESULTS_FILE))
    parts = parser.add_subparsers(dest="part", required=True)
    parts.add_parser("sum")
    part = parts.add_parser("processes")
    part.add_argument("--voters", type=int, default=13)
    part.add_argument("--schedulers", type=int, default=24)
    part.add_argument("--bound-ms", type=int, default=4_000)
    part.add_argument("--on-lost", choices=("hold", "serve"), default="hold")
    part.add_argument("--seconds", type=float, default=30.0)
    part.add_argument("--changes", type=float, default=0.23, help="cordons per second; 0.23: 20,000 a day")
    part.add_argument("--seed", type=int, default=1)
    part = parts.add_parser("faults")
    part.add_argument("--seeds", default="1-50")
    part.add_argument("--voters", type=int, default=5)
    part.add_argument("--schedulers", type=int, default=8)
    part.add_argument("--bound-ms", type=int, default=1_000)
    options = parser.parse_args(arguments)
    if options.part == "sum":
        return summarize(options.out)
    return asyncio.run(
        (measure_processes if options.part == "processes" else run_faults)(options, options.out)
    )


if __name__ == "__main__":
    sys.exit(main())
