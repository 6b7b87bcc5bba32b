"""What schedulers that share state keep to under faults, and how soon a cordon holds; on real processes.

    python -m benchmarks.mesh faults --seeds 1-20      # random fault schedules: rules, time to equal copies
    python -m benchmarks.mesh cordon --processes 5,12  # from the call to the last send anywhere
    python -m benchmarks.mesh cordon --loss 0.2 --delay-ms 100
    python -m benchmarks.mesh sum                         # what all runs in the file show together

Each run appends a line of JSON to `--out`, so that any number of slices make one result.
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
from robinhill.emulator.relay import Harm
from robinhill.emulator.rig import BOUND_MS, EQUAL_S, Rig, play, rig, schedule_of

Json = dict[str, Any]
OUT = "mesh-figures.jsonl"
CORDON_WORKERS = 3  # few, so that each is sent to often and the last send is seen closely
CORDON_LOAD = 150.0  # beyond some 200 the emulators, all in one process, are late themselves
WATCH_S = 0.4  # without a send after a cordon is in force, until it counts as the last
WAIT_S = 5.0
WARM_S = 2.0


def note(out: Path, line: Json) -> None:
    with out.open("ab") as file:
        file.write(orjson.dumps(line) + b"\n")


def numbers(text: str) -> list[int]:
    """`1-3,7` as 1, 2, 3, 7."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


async def faults(options: argparse.Namespace, out: Path) -> int:
    """Schedules of these seeds, one after another, each on fresh processes."""
    failed = 0
    for seed in numbers(options.seeds):
        schedule = schedule_of(seed, options.processes)
        folder = Path(tempfile.mkdtemp(prefix="robinhill-rig-"))
        line: Json = {
            "part": "faults", "seed": seed, "processes": options.processes, "on_lost": options.on_lost,
            "bound_ms": options.bound_ms, "faults": [f.trouble.name for f in schedule.faults],
        }  # fmt: skip
        try:
            outcome = await play(schedule, folder, on_lost=options.on_lost, bound_ms=options.bound_ms)
        except Exception as e:  # a run that could not be played is a result too, and others follow
            note(out, line | {"broken": [f"could not be played: {repr(e)[-300:]}"], "equal_s": None})
            print(f"seed {seed}: could not be played: {repr(e)[-300:]}; logs: {folder}", flush=True)
            failed += 1
            continue
        counts = {what.name: n for what, n in outcome.counts.items()}
        note(out, line | {"broken": outcome.broken, "equal_s": outcome.equal_s, "late_s": outcome.late_s,
                          "counts": counts, "links": outcome.links})  # fmt: skip
        print(f"seed {seed}: {outcome}", flush=True)
        for what in outcome.broken[:5]:
            print(f"  BROKEN: {what}")
        if outcome.broken:
            failed += 1
            print(f"  {schedule.replay()} --on-lost {options.on_lost}; logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    return int(failed > 0)


async def cordon(options: argparse.Namespace, out: Path) -> int:
    """Cordons one after another at schedulers in turn, under load."""
    harm = Harm(loss=options.loss, delay_s=options.delay_ms / 1000)
    for processes in numbers(options.processes):
        folder = Path(tempfile.mkdtemp(prefix="robinhill-rig-"))
        mesh = {"on_lost": options.on_lost, "bound_ms": options.bound_ms}
        async with rig(processes, folder, seed=options.seed, mesh=mesh, workers=CORDON_WORKERS) as it:
            for relay in it.relays.values():
                relay.suffer(harm)
            seconds = WARM_S + options.trials * (WATCH_S + 3 * WAIT_S)
            load = asyncio.get_running_loop().create_task(it.load(seconds, CORDON_LOAD))
            await it.journal.until(lambda: all(it.journal.started_jobs[w] > 20 for w in it.workers))
            rng = random.Random(options.seed)
            trials = [await _trial(it, n, rng) for n in range(options.trials)]
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
            line: Json = {
                "part": "cordon", "processes": processes, "loss": options.loss, "delay_ms": options.delay_ms,
                "on_lost": options.on_lost, "bound_ms": options.bound_ms, "trials": trials,
                "late_s": it.lateness.worst_s,
            }  # fmt: skip
        shutil.rmtree(folder)
        note(out, line)
        _cordons([line])
    return 0


async def _trial(it: Rig, number: int, rng: random.Random) -> Json:
    """One cordon: milliseconds from its call to the last send to the worker, and to the answers."""
    name, worker, id_ = it.names[number % len(it.names)], rng.choice(sorted(it.workers)), f"t{number}"
    await _used_by_all(it, worker)
    begun = time.monotonic()
    told = await it.cordon(name, worker, id_, WAIT_S)
    answered = time.monotonic() - begun
    await asyncio.sleep(WATCH_S)
    sends = [
        e.at for e in it.journal.events if e.what is EventType.SENT and e.worker == worker and e.at >= begun
    ]
    await it.lift(name, worker, id_, WAIT_S)
    lifted, begun_then = time.monotonic(), it.journal.started_jobs[worker]
    try:
        async with asyncio.timeout(WAIT_S):
            await it.journal.until(lambda: it.journal.started_jobs[worker] > begun_then)
        back_ms: float | None = (time.monotonic() - lifted) * 1000
    except TimeoutError:
        back_ms = None
    last_ms = (max(sends, default=begun) - begun) * 1000
    in_force = bool(told.get("in_force"))
    return {"last_ms": last_ms, "answer_ms": answered * 1000, "in_force": in_force, "back_ms": back_ms}


async def _used_by_all(it: Rig, worker: str) -> None:
    """Until each scheduler has sent to it: a worker comes back gently, and few sends are none to stop."""
    first = len(it.journal.events)

    def used() -> bool:
        its = it.journal.events[first:]
        return {e.scheduler for e in its if e.what is EventType.SENT and e.worker == worker} >= set(it.names)

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(WAIT_S):
            await it.journal.until(used)


def _cordons(lines: Iterable[Json]) -> None:
    for line in lines:
        last = [t["last_ms"] for t in line["trials"]]
        answer = [t["answer_ms"] for t in line["trials"] if t["in_force"]]
        print(
            f"{line['processes']} processes, {line['on_lost']}, {line['loss']:.0%} lost, "
            f"{line['delay_ms']:g} ms late: last send after {statistics.median(last):.0f} ms in the middle, "
            f"{max(last):.0f} at worst; said to be in force after {statistics.median(answer or [0]):.0f}, "
            f"{max(answer, default=0):.0f} ms; in {len(answer)} of {len(last)} trials; this machine was late "
            f"by {line['late_s'] * 1000:.0f} ms at most",
            flush=True,
        )


def total(out: Path) -> int:
    """What all lines of the file show."""
    lines = [orjson.loads(line) for line in out.read_bytes().splitlines()]
    latest = {(x["seed"], x["processes"], x["on_lost"]): x for x in lines if x["part"] == "faults"}
    for mode in ("hold", "serve"):
        its = [x for x in latest.values() if x["on_lost"] == mode]
        if not its:
            continue
        equal = sorted(x["equal_s"] for x in its if x["equal_s"] is not None)
        late = sum(e > EQUAL_S for e in equal)
        print(
            f"{mode}: {len(its)} schedules, {sum(bool(x['broken']) for x in its)} with a broken rule; copies "
            f"equal in {len(equal)}, after {statistics.median(equal or [0]):.3f} s in the middle and "
            f"{max(equal, default=0):.3f} at worst; {late} later than {EQUAL_S:g} s"
        )
        for x in its:
            if x["broken"]:
                print(f"  seed {x['seed']}: {len(x['broken'])} broken, such as {x['broken'][0]}")
    _cordons(x for x in lines if x["part"] == "cordon")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.mesh", description=__doc__)
    parser.add_argument("--out", type=Path, default=Path(OUT))
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
        return total(options.out)
    return asyncio.run((faults if options.part == "faults" else cordon)(options, options.out))


if __name__ == "__main__":
    sys.exit(main())
