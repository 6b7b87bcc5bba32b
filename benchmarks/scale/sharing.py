"""Cost of replication for each scheduler while no record changes, by the number of schedulers.

The measured costs are CPU time, bytes and messages sent, and memory. Most are measured with hollow
schedulers: the real replication code in one process, on a simulated clock (`hollow`).
"""

import asyncio
import shutil
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import psutil

from benchmarks.scale import hollow
from benchmarks.scale.counting import allocated_bytes_async
from benchmarks.scale.fitting import Point, print_ratio, print_scaling
from benchmarks.scale.processes import MAX_PROCESSES, Usage, read_usage, scheduler_with_workers
from robinhill.emulator.rig import Rig, rig
from robinhill.mesh.acknowledgements import acknowledgement_kind
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.replica import Replica
from robinhill.mesh.session import Identity, Session

SCHEDULERS = (4, 12, 24, 48)
VALIDATED_SIZES = (4, 12)  # sizes at which hollow schedulers are compared with real processes
MEMORY_SCHEDULERS = (4, 12, 24)
SETTLE_S = 5.0  # from the moment that all links are established to the start of the measurement
MEASURE_S = 10.0
MEGABYTE = 1e6
CONFIGURED_SCHEDULERS = (16, 64, 256, 1_000)  # numbers of configured peers, for the size of one answer
PING_INTERVAL_US = 1_000_000
KNOWLEDGE_AGE_US = 500_000
PRESET_PING_NUMBER = 1 << 40  # larger than any number that a session gives to its own pings
ROUNDS = 4  # ping intervals until both sessions have exchanged hello, ping and answer
UNIX_START_US = 1_700_000_000_000_000


@dataclass(slots=True, frozen=True)
class IdleUsage:
    """Resources that each scheduler uses on average while nothing changes.

    ``cpu_share`` is the fraction of one core. ``messages_per_s`` is 0 for real processes, and
    ``resident_bytes`` is 0 for hollow schedulers. ``manually_confirmed``: see `hollow.Fleet`.
    """

    cpu_share: float
    bytes_per_s: float
    messages_per_s: float = 0.0
    resident_bytes: float = 0.0
    manually_confirmed: int = 0


COSTS: tuple[tuple[str, str, Callable[[IdleUsage], float]], ...] = (
    ("CPU time of each hollow scheduler", "cores", lambda idle: idle.cpu_share),
    ("bytes sent by each hollow scheduler", "bytes/s", lambda idle: idle.bytes_per_s),
    ("messages sent by each hollow scheduler", "messages/s", lambda idle: idle.messages_per_s),
)


async def _hollow_idle(shape: hollow.Shape, seconds: float) -> IdleUsage:
    async with hollow.fleet(shape) as fleet:
        await asyncio.sleep(SETTLE_S)
        before = fleet.totals()
        await asyncio.sleep(seconds)
        used = fleet.totals().since(before)
        scheduler_s = shape.schedulers * seconds
        return IdleUsage(
            used.cpu_s / scheduler_s,
            used.bytes / scheduler_s,
            used.messages / scheduler_s,
            manually_confirmed=fleet.manually_confirmed,
        )


def hollow_idle(schedulers: int, seconds: float = MEASURE_S) -> IdleUsage:
    """Average idle usage of hollow schedulers. Bytes and messages do not depend on the machine."""
    return hollow.run(_hollow_idle(hollow.Shape(schedulers), seconds))


def _make_session(name: str, names: tuple[str, ...], opens: bool) -> Session:
    """A session of a caught-up scheduler whose knowledge of every scheduler is `KNOWLEDGE_AGE_US` old."""
    replica = Replica(name, 1, [acknowledgement_kind()])
    freshness = Freshness(name, names, hollow.BOUND_MS * 1000)
    freshness.caught_up = True
    freshness.pinged(0, names[-1], PRESET_PING_NUMBER)
    freshness.answered(0, names[-1], PRESET_PING_NUMBER, {other: KNOWLEDGE_AGE_US for other in names})
    return Session(Identity("scale", name, 1, names), replica, freshness, opens, PING_INTERVAL_US)


def answer_bytes(schedulers: int) -> int:
    """Bytes of the largest message between two schedulers whose replicas are equal: the answer to a ping.

    The answer lists the age of the sender's knowledge about every configured scheduler. The messages of the
    first round are left out, because the hello is among them.
    """
    names = tuple(f"s{number:03}" for number in range(schedulers))
    sessions = (_make_session(names[0], names, True), _make_session(names[1], names, False))
    largest = 0
    for round_number in range(ROUNDS):
        at_us = 1 + round_number * PING_INTERVAL_US
        for _ in range(ROUNDS):
            for sender, receiver in (sessions, sessions[::-1]):
                while (message := sender.draw(UNIX_START_US + at_us, at_us)) is not None:
                    largest = max(largest, len(message)) if round_number else 0
                    receiver.receive(UNIX_START_US + at_us, at_us, message)
    return largest


async def _read_all_usage(processes: Rig) -> list[Usage]:
    return await asyncio.gather(*(read_usage(processes, name) for name in processes.names))


async def _real_idle(schedulers: int) -> IdleUsage:
    folder = Path(tempfile.mkdtemp(prefix="robinhill-scale-"))
    mesh = {"bound_ms": hollow.BOUND_MS, "on_lost": "hold"}
    async with rig(schedulers, folder, mesh=mesh, workers=1) as processes:
        await asyncio.sleep(SETTLE_S)
        before = await _read_all_usage(processes)
        await asyncio.sleep(MEASURE_S)
        after = await _read_all_usage(processes)
    shutil.rmtree(folder)
    scheduler_s = schedulers * MEASURE_S
    return IdleUsage(
        sum(late.cpu_s - early.cpu_s for early, late in zip(before, after, strict=True)) / scheduler_s,
        sum(late.sent_bytes - early.sent_bytes for early, late in zip(before, after, strict=True))
        / scheduler_s,
        resident_bytes=sum(late.resident_bytes for late in after) / schedulers,
    )


def real_idle(schedulers: int) -> IdleUsage:
    """Idle usage of real processes that replicate, with one worker and no requests.

    Raises ValueError for more than `MAX_PROCESSES`.
    """
    if schedulers > MAX_PROCESSES:
        raise ValueError(f"the number of schedulers exceeds the limit of {MAX_PROCESSES} real processes")
    return asyncio.run(_real_idle(schedulers))


async def _standalone_idle() -> IdleUsage:
    async with scheduler_with_workers(1, serving=False) as scheduler:
        process = psutil.Process(scheduler.program.pid)
        before = process.cpu_times()
        await asyncio.sleep(MEASURE_S)
        after = process.cpu_times()
        used = after.user + after.system - before.user - before.system
        return IdleUsage(used / MEASURE_S, 0.0, resident_bytes=scheduler.resident_bytes)


def standalone_idle() -> IdleUsage:
    """Idle usage of one real process without peers: the baseline without replication."""
    return asyncio.run(_standalone_idle())


async def _fleet_bytes(schedulers: int) -> int:
    fleet = hollow.fleet(hollow.Shape(schedulers))

    async def start_fleet() -> None:
        await fleet.__aenter__()
        await asyncio.sleep(SETTLE_S)

    allocated = await allocated_bytes_async(start_fleet)
    await fleet.__aexit__(None, None, None)
    return allocated


def hollow_bytes(schedulers: int) -> float:
    """Bytes allocated for each hollow scheduler, without sockets."""
    return hollow.run(_fleet_bytes(schedulers)) / schedulers


def validate(schedulers: int) -> IdleUsage:
    """Print the usage of hollow schedulers relative to real processes; returns that of the processes."""
    real, simulated = real_idle(schedulers), hollow_idle(schedulers)
    print(f"{schedulers} schedulers:")
    print_ratio("bytes/s", simulated.bytes_per_s, real.bytes_per_s)
    print_ratio("CPU cores", simulated.cpu_share, real.cpu_share)
    return real


def validate_all() -> None:
    """Compare hollow schedulers with real processes, and real processes with one that has no peers."""
    baseline = standalone_idle()
    print(
        f"one process without peers: {baseline.cpu_share:.4f} CPU cores,"
        f" {baseline.resident_bytes / MEGABYTE:.1f} MB resident"
    )
    for count in VALIDATED_SIZES:
        real = validate(count)
        added_mb = (real.resident_bytes - baseline.resident_bytes) / MEGABYTE
        print(
            f"  real processes: {real.resident_bytes / MEGABYTE:.1f} MB resident each,"
            f" {added_mb:.1f} MB more than without peers"
        )


def run(sizes: Sequence[int]) -> None:
    """Print the idle costs by the number of hollow schedulers.

    With explicit ``sizes``, the comparison with real processes and the memory measurement are left out.
    """
    if not sizes:
        validate_all()
    results = {count: hollow_idle(count) for count in sizes or SCHEDULERS}
    for title, unit, cost in COSTS:
        print_scaling(title, unit, [Point(n, cost(idle)) for n, idle in results.items()], "schedulers")
    for count, idle in results.items():
        if idle.manually_confirmed:
            print(
                f"  {count} schedulers: {idle.manually_confirmed} counted for majorities only after"
                " an operator confirmed them"
            )
    points = [Point(count, answer_bytes(count)) for count in CONFIGURED_SCHEDULERS]
    print_scaling("one answer, with the knowledge ages of all schedulers", "bytes", points, "schedulers")
    if not sizes:
        points = [Point(count, hollow_bytes(count)) for count in MEMORY_SCHEDULERS]
        print_scaling("memory allocated for each hollow scheduler", "bytes", points, "schedulers")
