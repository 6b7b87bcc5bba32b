"""What goes wrong in a run of several schedulers, and when: drawn from a seed, printed, played again, and cut
down to what a failure needs. Times in seconds after the start.

A schedule never asks for what no design could bear: a minority of the processes at most is ever killed, as
what a majority held must survive in one of them at least. And no link or process is struck by two faults at
once, so that the end of the one is not taken for the end of the other.
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from itertools import combinations
from typing import TypeVar

FAULT_START_SPAN_S = 5.0  # in which faults begin
MIN_FAULT_S, MAX_FAULT_S = 0.2, 2.0
MAX_FAULTS = 10
MIN_FAULTS = 3
CALL_COUNT_RANGE = (5, 10)
CALL_DURING_FAULT_PROBABILITY = 0.6  # of the calls come while a fault lasts, at whom it strikes
MAX_CONSECUTIVE_REJECTED_DRAWS = 200  # in a row, after which a schedule is as full as it will be
CLOCK_OFFSETS_S = (-3600.0, -90.0, -5.0, 0.4, 5.0, 90.0, 3600.0)
Item = TypeVar("Item")


class FaultKind(Enum):
    """What a fault is; the first ones befall the link between two schedulers, the last ones a process."""

    LOSS = "loses"  # a share of the messages, both ways
    DELAY = "delays"  # each message by so many seconds, and up to half as much more
    REORDER = "reorders"  # a share of the messages
    DOUBLE = "doubles"  # a share of the messages
    STALL = "stalls"  # nothing passes; all of it comes late
    ONE_WAY = "stalls one way of"
    DEAF = "loses all one way of"
    TEAR = "tears"  # both connections, after so many bytes
    SEVER = "resets"  # whatever is open
    HALF_OPEN = "half-opens"
    FLAP = "flaps"  # up and down for so many seconds each
    PARTITION = "parts"  # the named ones from all others
    KILL = "kills"  # kill -9; started again from its folder
    WIPE = "kills and empties"
    PAUSE = "pauses"  # SIGSTOP, SIGCONT
    CLOCK = "kills and sets the clock of"  # by so many seconds, from its next start on
    FULL_DISK = "fills the disk of"


LINK_FAULTS = tuple(FaultKind)[: tuple(FaultKind).index(FaultKind.PARTITION)]
PROCESS_FAULTS = tuple(FaultKind)[tuple(FaultKind).index(FaultKind.KILL) :]
KILL_FAULTS = (FaultKind.KILL, FaultKind.WIPE, FaultKind.CLOCK)
# What cuts schedulers off or takes them by surprise is drawn more often than what merely slows a link.
FREQUENT_FAULTS = (FaultKind.PARTITION, FaultKind.PARTITION, FaultKind.PAUSE, FaultKind.KILL)
INSTANT_FAULTS = (FaultKind.TEAR, FaultKind.SEVER)
MESSAGE_SHARES = {FaultKind.LOSS: (0.1, 0.6), FaultKind.REORDER: (0.1, 0.5), FaultKind.DOUBLE: (0.1, 0.5)}


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that goes wrong. ``who``: two ends of a link, a group that is cut off, or a process."""

    number: int  # within its schedule, also in one that was cut down
    at_s: float
    for_s: float
    trouble: FaultKind
    targets: tuple[str, ...]
    size: float = 0.0

    def __str__(self) -> str:
        between = "-" if self.trouble in LINK_FAULTS else " "
        size = f" ({self.size:g})" if self.size else ""
        what = f"{self.trouble.value} {between.join(self.targets)}{size}"
        return f"{self.number:>3} {self.at_s:7.3f} s  {what}, for {self.for_s:.3f} s"

    @property
    def end_s(self) -> float:
        return self.at_s + self.for_s

    def affected_processes(self, names: Sequence[str]) -> list[str]:
        """Schedulers of which it harms the process or a link."""
        return list(names) if self.trouble is FaultKind.PARTITION else list(self.targets)

    def _struck_resources(self, names: Sequence[str]) -> set[frozenset[str]]:
        """Links and processes that nothing else may strike meanwhile."""
        if self.trouble is FaultKind.PARTITION:
            return {frozenset((a, b)) for a in self.targets for b in names if b not in self.targets}
        return {frozenset(self.targets)}

    def overlaps(self, other: "Fault", names: Sequence[str]) -> bool:
        disjoint = self.end_s <= other.at_s or other.end_s <= self.at_s
        return not disjoint and bool(self._struck_resources(names) & other._struck_resources(names))


@dataclass(slots=True, frozen=True)
class Call:
    """An operator's call at one scheduler: a cordon of a worker, or its lift."""

    at_s: float
    lift: bool
    scheduler: str
    worker: str
    id: str

    def __str__(self) -> str:
        what = f"lifts {self.id}" if self.lift else f"cordons {self.worker} as {self.id}"
        return f"    {self.at_s:7.3f} s  {self.scheduler} {what}"


@dataclass(slots=True, frozen=True)
class Schedule:
    """A whole run's faults and calls, in order of time."""

    seed: int
    names: tuple[str, ...]
    faults: tuple[Fault, ...]
    calls: tuple[Call, ...]

    def __str__(self) -> str:
        rows = [(f.at_s, str(f)) for f in self.faults] + [(c.at_s, str(c)) for c in self.calls]
        return "\n".join(row for _, row in sorted(rows))

    def with_faults(self, faults: Sequence[Fault]) -> "Schedule":
        """The same calls with some of the faults."""
        return Schedule(self.seed, self.names, tuple(sorted(faults, key=lambda f: f.at_s)), self.calls)

    @property
    def end_s(self) -> float:
        """When the last of it is over."""
        return max([f.end_s for f in self.faults] + [c.at_s for c in self.calls], default=0.0)

    def replay(self) -> str:
        """The command that plays it again."""
        numbers = ",".join(str(f.number) for f in sorted(self.faults, key=lambda f: f.number))
        return (
            f"python -m robinhill.emulator.rig --seed {self.seed} --processes {len(self.names)}"
            f" --only {numbers or 'none'}"
        )


def process_names(processes: int) -> tuple[str, ...]:
    """The schedulers' names, in order."""
    width = len(str(processes))
    return tuple(f"n{i:0{width}}" for i in range(1, processes + 1))


def draw(
    seed: int,
    processes: int,
    workers: Sequence[str],
    troubles: Sequence[FaultKind] = (*FaultKind, *FREQUENT_FAULTS),
) -> Schedule:
    """The schedule of a seed."""
    names = process_names(processes)
    rng = random.Random(f"faults {seed}")
    faults: list[Fault] = []
    wanted, rejected, killed = rng.randint(MIN_FAULTS, MAX_FAULTS), 0, set[str]()
    while len(faults) < wanted and rejected < MAX_CONSECUTIVE_REJECTED_DRAWS:
        fault = _draw_fault(rng, len(faults), rng.choice(troubles), names)
        killed_if_added = killed.union(fault.targets) if fault.trouble in KILL_FAULTS else killed
        if any(fault.overlaps(f, names) for f in faults) or len(killed_if_added) > (processes - 1) // 2:
            rejected += 1
            continue
        killed = killed_if_added
        faults.append(fault)
    faults.sort(key=lambda f: f.at_s)
    numbered = tuple(Fault(i, f.at_s, f.for_s, f.trouble, f.targets, f.size) for i, f in enumerate(faults))
    return Schedule(seed, names, numbered, _draw_calls(rng, names, workers, numbered))


def _draw_fault(rng: random.Random, number: int, trouble: FaultKind, names: Sequence[str]) -> Fault:
    at, lasts = (
        round(rng.uniform(0.1, FAULT_START_SPAN_S), 3),
        round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 3),
    )
    size = 0.0
    if trouble is FaultKind.PARTITION:
        targets = tuple(sorted(rng.sample(names, rng.randint(1, len(names) // 2))))
    else:
        targets = tuple(rng.sample(names, 2 if trouble in LINK_FAULTS else 1))
    if trouble in MESSAGE_SHARES:
        size = round(rng.uniform(*MESSAGE_SHARES[trouble]), 2)
    elif trouble is FaultKind.DELAY:
        size = round(rng.uniform(0.02, 0.4), 3)
    elif trouble is FaultKind.FLAP:
        size = round(rng.uniform(0.05, 0.4), 3)
    elif trouble is FaultKind.TEAR:
        size = float(rng.randint(1, 200))
    elif trouble is FaultKind.CLOCK:
        size = rng.choice(CLOCK_OFFSETS_S)
    return Fault(number, at, 0.0 if trouble in INSTANT_FAULTS else lasts, trouble, targets, size)


def _draw_calls(
    rng: random.Random, names: Sequence[str], workers: Sequence[str], faults: Sequence[Fault]
) -> tuple[Call, ...]:
    """Each id is set once, so that what a lift's answer means is never in doubt; a third is never lifted.

    At most half of the workers are ever cordoned: the others have to serve.
    """

    def draw_time_and_scheduler() -> tuple[float, str]:
        if faults and rng.random() < CALL_DURING_FAULT_PROBABILITY:
            fault = rng.choice(faults)
            return round(rng.uniform(fault.at_s, fault.end_s), 3), rng.choice(fault.targets)
        return round(rng.uniform(0.0, FAULT_START_SPAN_S), 3), rng.choice(names)

    calls: list[Call] = []
    cordonable = sorted(rng.sample(list(workers), max(1, len(workers) // 2)))
    for number in range(rng.randint(*CALL_COUNT_RANGE)):
        worker = rng.choice(cordonable)
        at, scheduler = draw_time_and_scheduler()
        calls.append(Call(at, False, scheduler, worker, f"c{number}"))
        if rng.random() < 2 / 3:
            later, other = draw_time_and_scheduler()
            later = max(later, round(at + rng.uniform(0.02, 1.0), 3))
            calls.append(Call(later, True, other, worker, f"c{number}"))
    return tuple(sorted(calls, key=lambda c: (c.at_s, c.id)))


async def shrink(items: Sequence[Item], fails: Callable[[list[Item]], Awaitable[bool]]) -> list[Item]:
    """The fewest of the items with which it still fails, such that it passes without any single one of them.

    Delta debugging: A. Zeller and R. Hildebrandt, "Simplifying and isolating failure-inducing input", 2002.
    It takes for granted that it fails with all of them; nothing is played twice.
    """
    results: dict[tuple[int, ...], bool] = {}

    async def failed(numbers: list[int]) -> bool:
        key = tuple(numbers)
        if key not in results:
            results[key] = await fails([items[n] for n in numbers])
        return results[key]

    remaining, chunk_count = list(range(len(items))), 2
    if not items or await failed([]):
        return []
    while len(remaining) > 1:
        size = -(-len(remaining) // chunk_count)
        chunks = [remaining[i : i + size] for i in range(0, len(remaining), size)]
        for chunk in chunks if len(chunks) > 2 else []:
            if await failed(chunk):
                remaining, chunk_count = chunk, 2
                break
        else:
            for chunk in chunks:
                complement = [n for n in remaining if n not in chunk]
                if await failed(complement):
                    remaining, chunk_count = complement, max(chunk_count - 1, 2)
                    break
            else:
                if size == 1:
                    break
                chunk_count = min(len(remaining), chunk_count * 2)
    return [items[n] for n in remaining]


def pairs(names: Sequence[str]) -> list[tuple[str, str]]:
    """Each link once."""
    return list(combinations(names, 2))
