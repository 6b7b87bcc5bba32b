"""Checks the mesh under faults and measures how soon a cordon takes effect; with real processes.

    python -m benchmarks.mesh faults --seeds 1-20      # random fault schedules: rules, time to equal replicas
    python -m benchmarks.mesh cordon --processes 5,12  # time from the call to the last send by any scheduler
    python -m benchmarks.mesh cordon --loss 0.2 --delay-ms 100
    python -m benchmarks.mesh sum                      # summarize all results in the file

Each run appends a line of JSON to `--out`, so that a long measurement may be split into several runs.
"""

import argparse
import asyncio
import contextlib
import random
import shutil
import statistics
import sys
import tempfile
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import orjson

from robinhill.checker.journal import EventType
from robinhill.emulator.relay import Impairment
from robinhill.emulator.rig import BOUND_MS, CONVERGENCE_LIMIT_S, Rig, play, rig, schedule_of

Json = dict[str, Any]
DEFAULT_RESULTS_FILE = "mesh-figures.jsonl"
CORDON_WORKERS = 3  # few, so that each receives jobs often and the time of the last send is precise
CORDON_LOAD_PER_S = 150.0  # requests per second; above about 200 the emulators, all in one process, are late
OBSERVATION_S = 0.4  # time after the reply to a cordon in which sends to the worker are still recorded
CORDON_TIMEOUT_S = 5.0
WARM_UP_S = 2.0


def append_result(results: Path, line: Json) -> None:
    """Append a result to the file as a line of JSON."""
    with results.open("ab") as file:
        file.write(orjson.dumps(line) + b"\n")


def parse_ranges(text: str) -> list[int]:
    """Parse numbers and ranges separated by commas: `1-3,7` becomes 1, 2, 3, 7."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


async def run_faults(options: argparse.Namespace, results: Path) -> int:
    """Run the fault schedule of each seed on new processes. Returns 1 if any run fails."""
    failed = 0
    for seed in parse_ranges(options.seeds):
        schedule = schedule_of(seed, options.processes)
        folder = Path(tempfile.mkdtemp(prefix="robinhill-rig-"))
        line: Json = {
            "part": "faults", "seed": seed, "processes": options.processes, "on_lost": options.on_lost,
            "bound_ms": options.bound_ms, "faults": [f.kind.name for f in schedule.faults],
        }  # fmt: skip
        try:
            outcome = await play(schedule, folder, on_lost=options.on_lost, bound_ms=options.bound_ms)
        except Exception as e:  # a run that can't be completed is recorded as failed; the next seed follows
            append_result(
                results, line | {"broken": [f"could not be played: {repr(e)[-300:]}"], "equal_s": None}
            )
            print(f"seed {seed}: could not be played: {repr(e)[-300:]}; logs: {folder}", flush=True)
            failed += 1
            continue
        counts = {event.name: n for event, n in outcome.counts.items()}
        append_result(results, line | {
            "broken": outcome.broken, "equal_s": outcome.equal_s, "late_s": outcome.late_s, "counts": counts,
            "links": outcome.links,
        })  # fmt: skip
        print(f"seed {seed}: {outcome}", flush=True)
        for violation in outcome.broken[:5]:
            print(f"  BROKEN: {violation}")
        if outcome.broken:
            failed += 1
            print(f"  {schedule.replay()} --on-lost {options.on_lost}; logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    return int(failed > 0)


async def run_cordons(options: argparse.Namespace, results: Path) -> int:
    """Set cordons one after another under load, at each scheduler in turn, and measure their effect."""
    link_fault = Impairment(loss=options.loss, delay_s=options.delay_ms / 1000)
    for processes in parse_ranges(options.processes):
        folder = Path(tempfile.mkdtemp(prefix="robinhill-rig-"))
        mesh = {"on_lost": options.on_lost, "bound_ms": options.bound_ms}
        async with rig(processes, folder, seed=options.seed, mesh=mesh, workers=CORDON_WORKERS) as cluster:
            for relay in cluster.relays.values():
                relay.set_impairment(link_fault)
            seconds = WARM_UP_S + options.trials * (OBSERVATION_S + 3 * CORDON_TIMEOUT_S)
            load = asyncio.get_running_loop().create_task(cluster.load(seconds, CORDON_LOAD_PER_S))
            await cluster.journal.until(
                lambda: all(cluster.journal.started_jobs[w] > 20 for w in cluster.workers)
            )
            rng = random.Random(options.seed)
            trials = [await _measure_cordon(cluster, n, rng) for n in range(options.trials)]
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
            line: Json = {
                "part": "cordon", "processes": processes, "loss": options.loss, "delay_ms": options.delay_ms,
                "on_lost": options.on_lost, "bound_ms": options.bound_ms, "trials": trials,
                "late_s": cluster.lateness.worst_s,
            }  # fmt: skip
        shutil.rmtree(folder)
        append_result(results, line)
        _print_cordons([line])
    return 0


async def _measure_cordon(cluster: Rig, number: int, rng: random.Random) -> Json:
    """Set and lift one cordon; the result holds milliseconds.

    ``last_ms``: from the call to the last send to the worker; ``answer_ms``: from the call to its reply;
    ``back_ms``: from the lift to the first job that the worker starts, None on a timeout.
    """
    name, worker, id_ = (
        cluster.names[number % len(cluster.names)],
        rng.choice(sorted(cluster.workers)),
        f"t{number}",
    )
    await _wait_until_used_by_all(cluster, worker)
    called_s = time.monotonic()
    response = await cluster.cordon(name, worker, id_, CORDON_TIMEOUT_S)
    answer_s = time.monotonic() - called_s
    await asyncio.sleep(OBSERVATION_S)
    send_times_s = [
        e.at
        for e in cluster.journal.events
        if e.what is EventType.SENT and e.worker == worker and e.at >= called_s
    ]
    await cluster.lift(name, worker, id_, CORDON_TIMEOUT_S)
    lifted_s, started_before = time.monotonic(), cluster.journal.started_jobs[worker]
    try:
        async with asyncio.timeout(CORDON_TIMEOUT_S):
            await cluster.journal.until(lambda: cluster.journal.started_jobs[worker] > started_before)
        resumed_ms: float | None = (time.monotonic() - lifted_s) * 1000
    except TimeoutError:
        resumed_ms = None
    last_ms = (max(send_times_s, default=called_s) - called_s) * 1000
    in_force = bool(response.get("in_force"))
    return {"last_ms": last_ms, "answer_ms": answer_s * 1000, "in_force": in_force, "back_ms": resumed_ms}


async def _wait_until_used_by_all(cluster: Rig, worker: str) -> None:
    """Wait until each scheduler has sent a job to the worker, or until the timeout.

    Slow start limits the sends to a worker whose cordon was lifted. With few sends, the time of the last send
    before the next cordon would show little of the cordon's effect.
    """
    first = len(cluster.journal.events)

    def used() -> bool:
        events = cluster.journal.events[first:]
        return {e.scheduler for e in events if e.what is EventType.SENT and e.worker == worker} >= set(
            cluster.names
        )

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CORDON_TIMEOUT_S):
            await cluster.journal.until(used)


def _print_cordons(lines: Iterable[Json]) -> None:
    for line in lines:
        last = [t["last_ms"] for t in line["trials"]]
        answer = [t["answer_ms"] for t in line["trials"] if t["in_force"]]
        print(
            f"{line['processes']} processes, {line['on_lost']}, {line['loss']:.0%} lost, "
            f"{line['delay_ms']:g} ms delay: last send after {statistics.median(last):.0f} ms (median), "
            f"{max(last):.0f} ms (maximum); reported as in force after "
            f"{statistics.median(answer or [0]):.0f} ms (median), {max(answer, default=0):.0f} ms (maximum) "
            f"in {len(answer)} of {len(last)} trials; event loop of this process late by at most "
            f"{line['late_s'] * 1000:.0f} ms",
            flush=True,
        )


def summarize(results: Path) -> int:
    """Print a summary of all results in the file; of each fault schedule, only the latest result counts."""
    lines = [orjson.loads(line) for line in results.read_bytes().splitlines()]
    latest = {(x["seed"], x["processes"], x["on_lost"]): x for x in lines if x["part"] == "faults"}
    for mode in ("hold", "serve"):
        runs = [x for x in latest.values() if x["on_lost"] == mode]
        if not runs:
            continue
        equal_s = sorted(x["equal_s"] for x in runs if x["equal_s"] is not None)
        late_count = sum(e > CONVERGENCE_LIMIT_S for e in equal_s)
        print(
            f"{mode}: {len(runs)} schedules, {sum(bool(x['broken']) for x in runs)} with a broken rule; "
            f"replicas equal in {len(equal_s)}, after {statistics.median(equal_s or [0]):.3f} s (median) and "
            f"{max(equal_s, default=0):.3f} s (maximum); {late_count} later than {CONVERGENCE_LIMIT_S:g} s"
        )
        for x in runs:
            if x["broken"]:
                print(f"  seed {x['seed']}: {len(x['broken'])} broken, such as {x['broken'][0]}")
    _print_cordons(x for x in lines if x["part"] == "cordon")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.mesh", description=__doc__)
    parser.add_argument("--out", type=Path, default=Path(DEFAULT_RESULTS_FILE))
    parts = parser.add_subparsers(dest="part", required=True)
    parts.add_parser("sum")
    for name in ("faults", "cordon"):
        part = parts.add_parser(name)
        part.add_argument("--on-lost", choices=("hold", "serve"), default="hold")
        part.add_argument("--bound-ms", type=int, default=BOUND_MS)
        if name == "faults":
            part.add_argument("--seeds", default="1-20")
            part.add_argument("--processes", type=int, default=5)
        else:
            part.add_argument("--processes", default="5,12")
            part.add_argument("--seed", type=int, default=1)
            part.add_argument("--trials", type=int, default=40)
            part.add_argument("--loss", type=float, default=0.0)
            part.add_argument("--delay-ms", type=float, default=0.0)
    options = parser.parse_args(arguments)
    if options.part == "sum":
        return summarize(options.out)
    return asyncio.run((run_faults if options.part == "faults" else run_cordons)(options, options.out))


if __name__ == "__main__":
    sys.exit(main())
