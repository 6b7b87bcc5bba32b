"""Cost and accuracy of the model: `python -m benchmarks.model [PART ...]`.

All parts take about eight minutes.

speed     simulated seconds and events a second on one core, at 10 workers x 2 schedulers and at 1,000 x 20
compare   time of one comparison to +-2% of served worth on the shipped site, on all cores
false     false positives: 100 comparisons of equal sides under different seeds
faithful  served worth in the model against real processes on loopback, in five scaled-down situations
history   comparison of two revisions of the module whose figures in the simulator's journal differ clearly
record    CPU time for a request, with recording alternately on and off in one run
"""

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from typing import Any

import psutil
from msgspec.structs import replace

from robinhill.commands.modelling import version
from robinhill.emulator import loopback
from robinhill.emulator.client import Clients, Tenant
from robinhill.emulator.program import loopback_site
from robinhill.model import sites
from robinhill.model.compare import FailedRun, Version, compare, play
from robinhill.model.describe import Machine
from robinhill.model.statistics import LOOKS, interval, may_stop
from robinhill.model.trace import draw
from robinhill.model.world import Side, World

# Revisions of the module before and after the changes `99bc2f4..`, see `journal/` and docs/ROADMAP.md.
OLD_REVISION, NEW_REVISION = "b5b2696", "HEAD"


async def measure_speed() -> None:
    """Simulation speed of one run on one core, for a small and a large installation."""
    small = replace(sites.CLUBS, fleet=replace(sites.CLUBS.fleet, machines=(Machine("std", 10),)))
    large = replace(
        sites.CLUBS,
        seconds=20.0,
        traffic=replace(sites.CLUBS.traffic, rate_per_s=2_000.0),
        fleet=replace(sites.CLUBS.fleet, machines=(Machine("std", 1_000),), schedulers=20),
    )
    for name, description in (("10 x 2", small), ("1,000 x 20", large)):
        trace = draw(description, 1)
        start_s = time.process_time()
        result = World(description, trace, Side(), 1).play()
        cpu_s = time.process_time() - start_s
        print(
            f"  {name:10} {description.seconds / cpu_s:8.1f} simulated seconds per CPU second,"
            f" {result.steps / cpu_s:9,.0f} events/s, {result.firsts / cpu_s:7,.0f} requests/s"
        )


async def measure_comparison() -> None:
    """Comparison of admission control on and off, in the situation with all kinds of faults."""
    from robinhill.admission.options import AdmissionOptions

    start_s = time.monotonic()
    comparison = compare(
        sites.site("clubs-all"),
        Version("off"),
        Version("on", admission=AdmissionOptions(enabled=True)),
        until=0.02,
    )
    print(f"  {comparison.verdict}")
    print(
        f"  {len(comparison.results_a)} pairs in {time.monotonic() - start_s:.0f} s; stopped because:"
        f" {comparison.why}"
    )


async def measure_false_positives() -> None:
    """False positives among 100 comparisons of one side with itself, whose runs are paired at random."""
    description = replace(sites.site("clubs-all"), seconds=30.0)
    comparison = compare(
        description, Version("a"), Version("b"), until=1e-9, max_pairs=LOOKS[-1], processes=None
    )
    shares = [r.share for r in comparison.results_a]
    import numpy as np

    rng, false_positives = np.random.default_rng(5), 0
    for trial in range(100):
        left, right = (rng.choice(shares, LOOKS[-1]) for _ in range(2))
        values = list(right - left)
        false_positives += any(
            may_stop(values[:pairs], 1e-9, trial).why == "the difference is significant" for pairs in LOOKS
        )
    print(
        f"  {false_positives} of 100 comparisons of equal sides find a difference;"
        f" the pairs were drawn from {len(shares)} runs"
    )


async def measure_accuracy() -> None:
    """Served worth in the model less that of real processes on loopback, with its confidence interval."""
    for name in ("calm", "silent", "surge", "slow", "all"):
        differences = []
        for seed in (1, 2, 3):
            description = loopback.small_situation(name)
            modelled = play(description, Version("model"), seed)
            real = await loopback.play(description, seed)
            if isinstance(modelled, FailedRun) or real.broken:
                print(f"  {name}: {modelled if isinstance(modelled, FailedRun) else real.broken[0]}")
                break
            differences.append(modelled.share - real.share)
        else:
            print(f"  {name:8} served worth, model minus loopback: {interval(differences, 1)}")


async def compare_revisions() -> None:
    """Comparison of an older revision's decision module, run as a separate process, with the present one."""
    for name in ("clubs-silent", "clubs-all"):
        with version(OLD_REVISION) as old, version("this") as new:
            comparison = compare(replace(sites.site(name), seconds=40.0), old, new, until=0.02, max_pairs=24)
        print(f"  {name}: {comparison.verdict}")


async def measure_recording() -> None:
    """CPU time per request of a program, alternately with and without recording at the same load."""
    cpu_ms: dict[str, list[float]] = {"on": [], "off": []}
    for _ in range(3):
        for name in cpu_ms:
            with tempfile.TemporaryDirectory() as folder:
                operator: dict[str, Any] = {"record": {"folder": folder}} if name == "on" else {}
                async with loopback_site(operator=operator, workers=8) as installation:
                    process = psutil.Process(installation.program.pid)
                    rate = 0.5 * installation.slots / (installation.site.mean_work_ms / 1000)
                    clients = Clients(
                        installation.site, lambda: installation.program.listen, installation.journal, seed=2
                    )
                    before = process.cpu_times()
                    await clients.play([Tenant("a", rate)], 8.0)
                    after = process.cpu_times()
                    cpu_s = after.user + after.system - before.user - before.system
                    cpu_ms[name].append(cpu_s / len(clients.requested_jobs) * 1000)
    on, off = (statistics.median(cpu_ms[name]) for name in ("on", "off"))
    print(f"  CPU per request: with recording {on:.3f} ms, without {off:.3f} ms, ratio {on / off:.3f}")


PARTS: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
    "speed": measure_speed,
    "compare": measure_comparison,
    "false": measure_false_positives,
    "faithful": measure_accuracy,
    "history": compare_revisions,
    "record": measure_recording,
}


def main(names: list[str]) -> None:
    for name in names or PARTS:
        print(f"{name}: {(PARTS[name].__doc__ or '').splitlines()[0]}", flush=True)
        asyncio.run(PARTS[name]())


if __name__ == "__main__":
    main(sys.argv[1:])
