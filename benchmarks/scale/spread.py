"""Propagation time and cost of a cordon change, by the number of schedulers in regions with lossy links.

Most figures are from hollow schedulers: the real replication code in one process, on a simulated clock
(`hollow`).
"""

import asyncio
import random
import shutil
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from benchmarks.scale import hollow
from benchmarks.scale.fitting import Point, print_ratio, print_scaling
from benchmarks.scale.processes import read_usage
from robinhill.emulator.rig import Rig, rig

SCHEDULERS = (4, 12, 24)
VALIDATED_SIZES = (4, 12)  # sizes at which hollow schedulers are compared with real processes
REGIONS = 6
REGION_DELAY_S = 0.1
LOSS = 0.01
CHANGES = 20
REAL_CHANGES = 10
CHANGE_INTERVAL_S = 1.0  # shorter than planned: 20,000 changes a day are one every 4.3 s
SETTLE_S = 5.0
CALL_TIMEOUT_S = 30.0
BOUND_S = 4.0  # `bound_ms` of the planned installation; how long a call to set a real cordon waits


@dataclass(slots=True, frozen=True)
class Propagation:
    """Propagation times of several changes, and the average cost of a change for each scheduler.

    ``seconds``: from each call until the cordon is in force everywhere. ``failed``: changes that were not in
    force within the timeout. Costs exclude those of an idle scheduler; ``messages`` and ``cpu_s`` are 0 for
    real processes.
    """

    seconds: tuple[float, ...]
    failed: int
    bytes: float
    messages: float
    cpu_s: float

    @property
    def worst_s(self) -> float:
        return max(self.seconds)

    def quantile(self, share: float) -> float:
        return float(np.quantile(self.seconds, share))


COSTS: tuple[tuple[str, str, Callable[[Propagation], float]], ...] = (
    ("median propagation time", "s", lambda propagation: propagation.quantile(0.5)),
    ("cost of a change for each scheduler", "bytes", lambda propagation: propagation.bytes),
    ("cost of a change for each scheduler", "messages", lambda propagation: propagation.messages),
    ("cost of a change for each scheduler", "CPU s", lambda propagation: propagation.cpu_s),
)


async def _hollow_propagation(shape: hollow.Shape, changes: int) -> Propagation:
    rng = random.Random(shape.seed)
    async with hollow.fleet(shape) as fleet:
        await asyncio.sleep(SETTLE_S)
        names = sorted(fleet.schedulers)
        idle_start = fleet.totals()
        await asyncio.sleep(changes * CHANGE_INTERVAL_S)
        before = fleet.totals()
        calls = []
        for number in range(changes):
            name = rng.choice(names)
            calls.append(asyncio.ensure_future(fleet.cordon(name, f"c{number}", CALL_TIMEOUT_S)))
            await asyncio.sleep(CHANGE_INTERVAL_S)
        after = fleet.totals()
        results = await asyncio.gather(*calls)
    idle, busy = before.since(idle_start), after.since(before)
    shares = changes * shape.schedulers
    return Propagation(
        tuple(seconds for in_force, seconds in results if in_force) or (CALL_TIMEOUT_S,),
        sum(not in_force for in_force, _ in results),
        (busy.bytes - idle.bytes) / shares,
        (busy.messages - idle.messages) / shares,
        (busy.cpu_s - idle.cpu_s) / shares,
    )


def hollow_propagation(schedulers: int, changes: int = CHANGES, *, loss: float = LOSS) -> Propagation:
    """Propagation among hollow schedulers in `REGIONS` regions.

    Except for CPU time, the figures do not depend on the machine or its load.
    """
    shape = hollow.Shape(schedulers, REGIONS, REGION_DELAY_S, loss)
    return hollow.run(_hollow_propagation(shape, changes))


def local_hollow_propagation(schedulers: int, changes: int = REAL_CHANGES) -> Propagation:
    """Propagation among hollow schedulers in one region without loss, as between processes on one machine."""
    return hollow.run(_hollow_propagation(hollow.Shape(schedulers), changes))


async def _sent_bytes(processes: Rig) -> float:
    return sum([(await read_usage(processes, name)).sent_bytes for name in processes.names])


async def _real_propagation(schedulers: int) -> Propagation:
    folder = Path(tempfile.mkdtemp(prefix="robinhill-scale-"))
    loop = asyncio.get_running_loop()
    seconds = []
    mesh = {"bound_ms": hollow.BOUND_MS, "on_lost": "hold"}
    async with rig(schedulers, folder, mesh=mesh, workers=1) as processes:
        await asyncio.sleep(SETTLE_S)
        idle_start_bytes, idle_start_s = await _sent_bytes(processes), loop.time()
        await asyncio.sleep(REAL_CHANGES * CHANGE_INTERVAL_S)
        start_bytes, start_s = await _sent_bytes(processes), loop.time()
        for number in range(REAL_CHANGES):
            call_s = loop.time()
            name = processes.names[number % schedulers]
            response = await processes.cordon(name, f"c{number}", f"c{number}", BOUND_S)
            if not response.get("in_force"):
                raise RuntimeError(f"a cordon did not come into force: {response}")
            seconds.append(loop.time() - call_s)
            await asyncio.sleep(max(0.0, CHANGE_INTERVAL_S - seconds[-1]))
        end_bytes, end_s = await _sent_bytes(processes), loop.time()
    shutil.rmtree(folder)
    idle_per_s = (start_bytes - idle_start_bytes) / (start_s - idle_start_s)
    change_bytes = end_bytes - start_bytes - idle_per_s * (end_s - start_s)
    return Propagation(tuple(seconds), 0, change_bytes / (REAL_CHANGES * schedulers), 0.0, 0.0)


def validate(schedulers: int) -> None:
    """Print the figures of hollow schedulers relative to those of real processes.

    The propagation time of real processes includes their processing time; that of hollow ones does not.
    """
    real, simulated = asyncio.run(_real_propagation(schedulers)), local_hollow_propagation(schedulers)
    print(f"{schedulers} schedulers, no delay between them, no loss, one change a second:")
    print_ratio("bytes of a change for each scheduler", simulated.bytes, real.bytes)
    print_ratio("median propagation time in seconds", simulated.quantile(0.5), real.quantile(0.5))


def run(sizes: Sequence[int]) -> None:
    """Print propagation times and costs by the number of hollow schedulers.

    With explicit ``sizes``, the comparison with real processes is left out.
    """
    if not sizes:
        for count in VALIDATED_SIZES:
            validate(count)
    results = {count: hollow_propagation(count) for count in sizes or SCHEDULERS}
    print(f"{REGIONS} regions, {REGION_DELAY_S * 1000:g} ms one-way delay between them, {LOSS:.0%} loss:")
    for count, propagation in results.items():
        median_s, p99_s = propagation.quantile(0.5), propagation.quantile(0.99)
        print(
            f"  {count} schedulers, {CHANGES} changes: in force after {median_s:.3f} s (median), "
            f"{p99_s:.3f} s (p99), {propagation.worst_s:.3f} s (worst);"
            f" {propagation.failed} not in force within {CALL_TIMEOUT_S:g} s"
        )
    for title, unit, cost in COSTS:
        print_scaling(title, unit, [Point(n, cost(result)) for n, result in results.items()], "schedulers")
