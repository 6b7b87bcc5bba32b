"""What the model costs and how true it is: `python -m benchmarks.model [PART ...]`. About eight minutes for
all parts.

speed     simulated seconds and events a second on one core, at 10 workers x 2 schedulers and at 1,000 x 20
compare   one comparison to +-2% of served worth on the shipped site, on all cores
false     100 comparisons of a side with itself under other seeds: how many find a difference
faithful  the model against loopback, served worth on five small days, with the interval of the difference
history   two revisions of the module whose figures in the simulator's journal differ clearly
record    what recording costs a request, on and off in turns in one run
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
from robinhill.emulator.program import town
from robinhill.model import sites
from robinhill.model.compare import Failed, Version, compare, play
from robinhill.model.describe import Machine
from robinhill.model.statistics import LOOKS, interval, may_stop
from robinhill.model.trace import draw
from robinhill.model.world import Side, World

OLD, NEW = "b5b2696", "HEAD"  # the module before and after `99bc2f4..`: see `journal/` and docs/ROADMAP.md


async def speed() -> None:
    """One run on one core."""
    small = replace(sites.CLUBS, fleet=replace(sites.CLUBS.fleet, machines=(Machine("std", 10),)))
    large = replace(
        sites.CLUBS,
        seconds=20.0,
        traffic=replace(sites.CLUBS.traffic, rate_per_s=2_000.0),
        fleet=replace(sites.CLUBS.fleet, machines=(Machine("std", 1_000),), schedulers=20),
    )
    for name, description in (("10 x 2", small), ("1,000 x 20", large)):
        trace = draw(description, 1)
        begun = time.process_time()
        result = World(description, trace, Side(), 1).play()
        took = time.process_time() - begun
        print(
            f"  {name:10} {description.seconds / took:8.1f} simulated seconds a second,"
            f" {result.steps / took:9,.0f} events a second, {result.firsts / took:7,.0f} requests a second"
        )


async def comparison() -> None:
    """Admission control on against off, on the day with all troubles."""
    from robinhill.admission.options import AdmissionOptions

    begun = time.monotonic()
    done = compare(
        sites.site("clubs-all"),
        Version("off"),
        Version("on", admission=AdmissionOptions(enabled=True)),
        until=0.02,
    )
    print(f"  {done.verdict}")
    print(f"  {len(done.results_a)} pairs in {time.monotonic() - begun:.0f} s: {done.why}")


async def false() -> None:
    """Runs of one side, paired at random: differences of nothing."""
    description = replace(sites.site("clubs-all"), seconds=30.0)
    done = compare(description, Version("a"), Version("b"), until=1e-9, most=LOOKS[-1], processes=None)
    shares = [r.share for r in done.results_a]
    import numpy as np

    rng, found = np.random.default_rng(5), 0
    for trial in range(100):
        left, right = (rng.choice(shares, LOOKS[-1]) for _ in range(2))
        values = list(right - left)
        found += any(may_stop(values[:look], 1e-9, trial).why == "the difference is sure" for look in LOOKS)
    print(f"  of 100 comparisons of like with like {found} find a difference; {len(shares)} runs drawn from")


async def faithful() -> None:
    """Five small days, several seeds each."""
    for name in ("calm", "silent", "surge", "slow", "all"):
        differences = []
        for seed in (1, 2, 3):
            description = loopback.small_day(name)
            modelled = play(description, Version("model"), seed)
            real = await loopback.play(description, seed)
            if isinstance(modelled, Failed) or real.broken:
                print(f"  {name}: {modelled if isinstance(modelled, Failed) else real.broken[0]}")
                break
            differences.append(modelled.share - real.share)
        else:
            print(f"  {name:8} model less loopback: {interval(differences, 1)}")


async def history() -> None:
    """The module of an older revision over the wire, against this one."""
    for name in ("clubs-silent", "clubs-all"):
        with version(OLD) as old, version("this") as new:
            done = compare(replace(sites.site(name), seconds=40.0), old, new, until=0.02, most=24)
        print(f"  {name}: {done.verdict}")


async def record() -> None:
    """Two programs under the same load in turns, one of them recording."""
    spent: dict[str, list[float]] = {"on": [], "off": []}
    for _ in range(3):
        for name in spent:
            with tempfile.TemporaryDirectory() as folder:
                operator: dict[str, Any] = {"record": {"folder": folder}} if name == "on" else {}
                async with town(operator=operator, workers=8) as here:
                    process = psutil.Process(here.program.pid)
                    rate = 0.5 * here.slots / (here.site.mean_work_ms / 1000)
                    clients = Clients(here.site, lambda: here.program.listen, here.journal, seed=2)
                    before = process.cpu_times()
                    await clients.play([Tenant("a", rate)], 8.0)
                    after = process.cpu_times()
                    cpu = after.user + after.system - before.user - before.system
                    spent[name].append(cpu / len(clients.asked) * 1000)
    on, off = (statistics.median(spent[name]) for name in ("on", "off"))
    print(f"  CPU a request: recording {on:.3f} ms, not {off:.3f} ms, ratio {on / off:.3f}")


PARTS: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
    "speed": speed,
    "compare": comparison,
    "false": false,
    "faithful": faithful,
    "history": history,
    "record": record,
}


def main(names: list[str]) -> None:
    for name in names or PARTS:
        print(f"{name}: {(PARTS[name].__doc__ or '').splitlines()[0]}", flush=True)
        asyncio.run(PARTS[name]())


if __name__ == "__main__":
    main(sys.argv[1:])
