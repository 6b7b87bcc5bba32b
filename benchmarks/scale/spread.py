"""How soon a change is in force everywhere, and what it costs, by schedulers: over regions, with loss."""

import asyncio
import random
import shutil
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from benchmarks.scale import hollow
from benchmarks.scale.fitting import Point, print_ladder, print_ratio
from benchmarks.scale.processes import usage_of
from robinhill.emulator.rig import Rig, rig

SCHEDULERS = (4, 12, 24)
CHECKED = (4, 12)
REGIONS = 6
REGION_DELAY_S = 0.1
LOSS = 0.01
CHANGES = 20
REAL_CHANGES = 10
APART_S = 1.0  # the plan has 20,000 a day: one in 4.3 s
QUIET_S = 5.0
WAIT_S = 30.0
BOUND_S = 4.0  # of the plan


@dataclass(slots=True, frozen=True)
class Spread:
    """Seconds from the call to in force everywhere, and what a change cost each scheduler beyond idling."""

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


COSTS: tuple[tuple[str, str, Callable[[Spread], float]], ...] = (
    ("in force, median", "s", lambda spread: spread.quantile(0.5)),
    ("a change, each scheduler", "bytes", lambda spread: spread.bytes),
    ("a change, each scheduler", "messages", lambda spread: spread.messages),
    ("a change, each scheduler", "processor s", lambda spread: spread.cpu_s),
)


async def _hollow_spread(shape: hollow.Shape, changes: int) -> Spread:
    rng = random.Random(shape.seed)
    async with hollow.fleet(shape) as fleet:
        await asyncio.sleep(QUIET_S)
        names = sorted(fleet.schedulers)
        idle_from = fleet.totals()
        await asyncio.sleep(changes * APART_S)
        before = fleet.totals()
        calls = []
        for number in range(changes):
            name = rng.choice(names)
            calls.append(asyncio.ensure_future(fleet.cordon(name, f"c{number}", WAIT_S)))
            await asyncio.sleep(APART_S)
        after = fleet.totals()
        told = await asyncio.gather(*calls)
    idle, busy = before.since(idle_from), after.since(before)
    each = changes * shape.schedulers
    return Spread(
        tuple(seconds for in_force, seconds in told if in_force) or (WAIT_S,),
        sum(not in_force for in_force, _ in told),
        (busy.bytes - idle.bytes) / each,
        (busy.messages - idle.messages) / each,
        (busy.cpu_s - idle.cpu_s) / each,
    )


def hollow_spread(schedulers: int, changes: int = CHANGES, *, loss: float = LOSS) -> Spread:
    """Of hollow schedulers in six regions; all but processor time is the same on each machine."""
    shape = hollow.Shape(schedulers, REGIONS, REGION_DELAY_S, loss)
    return hollow.run(_hollow_spread(shape, changes))


def hollow_near(schedulers: int, changes: int = REAL_CHANGES) -> Spread:
    """Of hollow schedulers side by side, without loss: what real processes on one machine meet."""
    return hollow.run(_hollow_spread(hollow.Shape(schedulers), changes))


async def _sent_bytes(here: Rig) -> float:
    return sum([(await usage_of(here, name)).sent_bytes for name in here.names])


async def _real_spread(schedulers: int) -> Spread:
    folder = Path(tempfile.mkdtemp(prefix="robinhill-scale-"))
    loop = asyncio.get_running_loop()
    seconds = []
    mesh = {"bound_ms": hollow.BOUND_MS, "on_lost": "hold"}
    async with rig(schedulers, folder, mesh=mesh, workers=1) as here:
        await asyncio.sleep(QUIET_S)
        idle_from, idle_begun_s = await _sent_bytes(here), loop.time()
        await asyncio.sleep(REAL_CHANGES * APART_S)
        before, begun_s = await _sent_bytes(here), loop.time()
        for number in range(REAL_CHANGES):
            asked_s = loop.time()
            name = here.names[number % schedulers]
            told = await here.cordon(name, f"c{number}", f"c{number}", BOUND_S)
            if not told.get("in_force"):
                raise RuntimeError(f"a cordon did not come into force: {told}")
            seconds.append(loop.time() - asked_s)
            await asyncio.sleep(max(0.0, APART_S - seconds[-1]))
        after, ended_s = await _sent_bytes(here), loop.time()
    shutil.rmtree(folder)
    idle_per_s = (before - idle_from) / (begun_s - idle_begun_s)
    changed = after - before - idle_per_s * (ended_s - begun_s)
    return Spread(tuple(seconds), 0, changed / (REAL_CHANGES * schedulers), 0.0, 0.0)


def check(schedulers: int) -> None:
    """Print the hollow form's figures over those of real processes, which need time for their work too."""
    real, thin = asyncio.run(_real_spread(schedulers)), hollow_near(schedulers)
    print(f"{schedulers} schedulers, no delay between them, no loss, a change a second:")
    print_ratio("bytes a change, each scheduler", thin.bytes, real.bytes)
    print_ratio("seconds to in force, median", thin.quantile(0.5), real.quantile(0.5))


def run(sizes: Sequence[int]) -> None:
    """Checks and ladders; ``sizes`` are of hollow schedulers and leave the checks out."""
    if not sizes:
        for count in CHECKED:
            check(count)
    found = {count: hollow_spread(count) for count in sizes or SCHEDULERS}
    print(f"{REGIONS} regions, {REGION_DELAY_S * 1000:g} ms one way between them, {LOSS:.0%} lost:")
    for count, spread in found.items():
        median_s, late_s = spread.quantile(0.5), spread.quantile(0.99)
        print(
            f"  {count} schedulers, {CHANGES} changes: in force after {median_s:.3f} s median, "
            f"{late_s:.3f} p99, {spread.worst_s:.3f} worst; {spread.failed} not within {WAIT_S:g} s"
        )
    for title, unit, cost in COSTS:
        print_ladder(title, unit, [Point(n, cost(spread)) for n, spread in found.items()], "schedulers")
