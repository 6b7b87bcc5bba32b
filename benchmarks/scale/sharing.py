"""What sharing costs each scheduler while nothing changes, by schedulers: processor time, bytes, memory."""

import asyncio
import shutil
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import psutil

from benchmarks.scale import hollow
from benchmarks.scale.counting import allocated_by
from benchmarks.scale.fitting import Point, print_ladder, print_ratio
from benchmarks.scale.processes import MOST_PROCESSES, Usage, listing, usage_of
from robinhill.emulator.rig import Rig, rig
from robinhill.mesh.acknowledgements import acknowledgement_kind
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.replica import Replica
from robinhill.mesh.session import Identity, Session

SCHEDULERS = (4, 12, 24, 48)
CHECKED = (4, 12)  # sizes that real processes reach too
MEMORY_SCHEDULERS = (4, 12, 24)
QUIET_S = 5.0  # after all are linked, before anything is counted
SECONDS = 10.0
MEGABYTE = 1e6
NAMED = (16, 64, 256, 1_000)  # schedulers by the operators' file, for the size of one answer
INTERVAL_US = 1_000_000
AGE_US = 500_000
FIRST_PING = 1 << 40  # a number that no session's own pings reach
TURNS = 4  # until two that have greeted each other have asked and answered
UNIX_US = 1_700_000_000_000_000


@dataclass(slots=True, frozen=True)
class Idle:
    """What each scheduler uses while nothing changes: share of a core, bytes and messages written a second;
    resident bytes for real processes.
    """

    core_share: float
    bytes_per_s: float
    messages_per_s: float = 0.0
    resident_bytes: float = 0.0
    vouched: int = 0


COSTS: tuple[tuple[str, str, Callable[[Idle], float]], ...] = (
    ("hollow, share of a core each", "of 1", lambda idle: idle.core_share),
    ("hollow, written each", "bytes a second", lambda idle: idle.bytes_per_s),
    ("hollow, written each", "messages a second", lambda idle: idle.messages_per_s),
)


async def _hollow_idle(shape: hollow.Shape, seconds: float) -> Idle:
    async with hollow.fleet(shape) as fleet:
        await asyncio.sleep(QUIET_S)
        before = fleet.totals()
        await asyncio.sleep(seconds)
        used = fleet.totals().since(before)
        each = shape.schedulers * seconds
        return Idle(used.cpu_s / each, used.bytes / each, used.messages / each, vouched=fleet.vouched)


def hollow_idle(schedulers: int, seconds: float = SECONDS) -> Idle:
    """Of hollow schedulers; bytes and messages are the same on each machine."""
    return hollow.run(_hollow_idle(hollow.Shape(schedulers), seconds))


def _end(name: str, names: tuple[str, ...], opens: bool) -> Session:
    replica = Replica(name, 1, [acknowledgement_kind()])
    freshness = Freshness(name, names, hollow.BOUND_MS * 1000)
    freshness.caught_up = True
    freshness.pinged(0, names[-1], FIRST_PING)
    freshness.answered(0, names[-1], FIRST_PING, {other: AGE_US for other in names})
    return Session(Identity("scale", name, 1, names), replica, freshness, opens, INTERVAL_US)


def answer_bytes(schedulers: int) -> int:
    """Bytes of the largest message between two that are in step, who know the age of all: an answer."""
    names = tuple(f"s{number:03}" for number in range(schedulers))
    ends = (_end(names[0], names, True), _end(names[1], names, False))
    largest = 0
    for turn in range(TURNS):
        at_us = 1 + turn * INTERVAL_US
        for _ in range(TURNS):
            for one, other in (ends, ends[::-1]):
                while (message := one.draw(UNIX_US + at_us, at_us)) is not None:
                    largest = max(largest, len(message)) if turn else 0
                    other.receive(UNIX_US + at_us, at_us, message)
    return largest


async def _use(here: Rig) -> list[Usage]:
    return await asyncio.gather(*(usage_of(here, name) for name in here.names))


async def _real_idle(schedulers: int) -> Idle:
    folder = Path(tempfile.mkdtemp(prefix="robinhill-scale-"))
    mesh = {"bound_ms": hollow.BOUND_MS, "on_lost": "hold"}
    async with rig(schedulers, folder, mesh=mesh, workers=1) as here:
        await asyncio.sleep(QUIET_S)
        before = await _use(here)
        await asyncio.sleep(SECONDS)
        after = await _use(here)
    shutil.rmtree(folder)
    each = schedulers * SECONDS
    return Idle(
        sum(late.cpu_s - early.cpu_s for early, late in zip(before, after, strict=True)) / each,
        sum(late.sent_bytes - early.sent_bytes for early, late in zip(before, after, strict=True)) / each,
        resident_bytes=sum(late.resident_bytes for late in after) / schedulers,
    )


def real_idle(schedulers: int) -> Idle:
    """Of real processes that share, with one worker and no requests."""
    if schedulers > MOST_PROCESSES:
        raise ValueError(f"at most {MOST_PROCESSES} processes")
    return asyncio.run(_real_idle(schedulers))


async def _alone() -> Idle:
    async with listing(1, serving=False) as here:
        process = psutil.Process(here.program.pid)
        before = process.cpu_times()
        await asyncio.sleep(SECONDS)
        after = process.cpu_times()
        used = after.user + after.system - before.user - before.system
        return Idle(used / SECONDS, 0.0, resident_bytes=here.resident_bytes)


def alone() -> Idle:
    """Of one real process that shares with nobody: the part that is not sharing's."""
    return asyncio.run(_alone())


async def _fleet_bytes(schedulers: int) -> int:
    opened = hollow.fleet(hollow.Shape(schedulers))

    async def make() -> None:
        await opened.__aenter__()
        await asyncio.sleep(QUIET_S)

    held = await allocated_by(make)
    await opened.__aexit__(None, None, None)
    return held


def hollow_bytes(schedulers: int) -> float:
    """Bytes allocated for each hollow scheduler, without sockets."""
    return hollow.run(_fleet_bytes(schedulers)) / schedulers


def check(schedulers: int) -> Idle:
    """Print the hollow form's figures over those of real processes; the real ones."""
    real, thin = real_idle(schedulers), hollow_idle(schedulers)
    print(f"{schedulers} schedulers:")
    print_ratio("bytes a second", thin.bytes_per_s, real.bytes_per_s)
    print_ratio("share of a core", thin.core_share, real.core_share)
    return real


def check_all() -> None:
    """The checks against real processes, and what of their cost is not sharing's."""
    base = alone()
    print(f"alone: {base.core_share:.4f} of a core, {base.resident_bytes / MEGABYTE:.1f} MB resident")
    for count in CHECKED:
        real = check(count)
        more = (real.resident_bytes - base.resident_bytes) / MEGABYTE
        print(f"  real: {real.resident_bytes / MEGABYTE:.1f} MB resident, {more:.1f} MB more than alone")


def run(sizes: Sequence[int]) -> None:
    """Checks and ladders; ``sizes`` are of hollow schedulers and leave the checks and memory out."""
    if not sizes:
        check_all()
    found = {count: hollow_idle(count) for count in sizes or SCHEDULERS}
    for title, unit, cost in COSTS:
        print_ladder(title, unit, [Point(n, cost(idle)) for n, idle in found.items()], "schedulers")
    for count, idle in found.items():
        if idle.vouched:
            print(f"  {count} schedulers: {idle.vouched} did not count for majorities until vouched for")
    points = [Point(count, answer_bytes(count)) for count in NAMED]
    print_ladder("one answer, with the ages of all", "bytes", points, "schedulers")
    if not sizes:
        points = [Point(count, hollow_bytes(count)) for count in MEMORY_SCHEDULERS]
        print_ladder("hollow, allocated each", "bytes", points, "schedulers")
