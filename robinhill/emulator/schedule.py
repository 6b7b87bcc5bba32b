"""Random schedules of faults and operators' calls for a run of several schedulers.

A schedule is drawn from a seed, can be printed and replayed, and can be reduced to the faults that a failure
needs. Times are in seconds after the start.

A schedule contains no fault that no design could tolerate: at most a minority of the processes is ever
killed, since a record that a majority has stored must survive in at least one process. No link or process has
two faults at the same time, since the end of the first would also end the second.
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from itertools import combinations
from typing import TypeVar

FAULT_START_SPAN_S = 5.0  # faults start within this time
MIN_FAULT_S, MAX_FAULT_S = 0.2, 2.0
MAX_FAULTS = 10
MIN_FAULTS = 3
CALL_COUNT_RANGE = (5, 10)
# The probability that a call is made during a fault, at a scheduler that the fault affects.
CALL_DURING_FAULT_PROBABILITY = 0.6
MAX_REJECTED_DRAWS = 200  # after this many rejected draws in total, the schedule has the faults drawn so far
CLOCK_OFFSETS_S = (-3600.0, -90.0, -5.0, 0.4, 5.0, 90.0, 3600.0)
Item = TypeVar("Item")


class FaultKind(Enum):
    """Kinds of faults: those before PARTITION affect one link, those after it one process.

    The values are the verbs in a printed schedule. ``Fault.size`` has a meaning of its own for each kind.
    """

    LOSS = "loses"  # drops a share of the messages in both directions; size: the share
    DELAY = "delays"  # size: seconds of delay for each message, plus random jitter of up to half of that
    REORDER = "reorders"  # size: the share of the messages that later ones may overtake
    DOUBLE = "doubles"  # size: the share of the messages that is delivered twice
    STALL = "stalls"  # delivers nothing until the end of the fault, and then all pending messages
    ONE_WAY = "stalls one way of"  # as STALL, for messages from the first target to the second
    DEAF = "loses all one way of"  # drops all messages from the first target to the second
    TEAR = "tears"  # truncates each connection of the link; size: bytes that are still delivered
    SEVER = "resets"  # resets the open connections
    HALF_OPEN = "half-opens"  # accepts connections and delivers nothing
    FLAP = "flaps"  # takes the link down and up in turns; size: the longest period in seconds
    PARTITION = "parts"  # cuts the targets off from all other processes
    KILL = "kills"  # sends SIGKILL; the process is restarted with its state
    WIPE = "kills and empties"  # sends SIGKILL; the process is restarted without its state
    PAUSE = "pauses"  # sends SIGSTOP, at the end SIGCONT
    CLOCK = "kills and sets the clock of"  # sends SIGKILL; size: clock offset in seconds from the restart on
    FULL_DISK = "fills the disk of"  # makes writes of the state fail


LINK_FAULTS = tuple(FaultKind)[: tuple(FaultKind).index(FaultKind.PARTITION)]
PROCESS_FAULTS = tuple(FaultKind)[tuple(FaultKind).index(FaultKind.KILL) :]
KILL_FAULTS = (FaultKind.KILL, FaultKind.WIPE, FaultKind.CLOCK)
# Listed again among the kinds to draw from, so that partitions, pauses and kills are drawn more often.
FREQUENT_FAULTS = (FaultKind.PARTITION, FaultKind.PARTITION, FaultKind.PAUSE, FaultKind.KILL)
INSTANT_FAULTS = (FaultKind.TEAR, FaultKind.SEVER)
MESSAGE_SHARES = {FaultKind.LOSS: (0.1, 0.6), FaultKind.REORDER: (0.1, 0.5), FaultKind.DOUBLE: (0.1, 0.5)}


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault. ``targets`` are the two ends of a link, the processes that are cut off, or one process."""

    number: int  # its index in the schedule as drawn, which it keeps in a reduced schedule
    at_s: float
    for_s: float
    kind: FaultKind
    targets: tuple[str, ...]
    size: float = 0.0

    def __str__(self) -> str:
        between = "-" if self.kind in LINK_FAULTS else " "
        size = f" ({self.size:g})" if self.size else ""
        what = f"{self.kind.value} {between.join(self.targets)}{size}"
        return f"{self.number:>3} {self.at_s:7.3f} s  {what}, for {self.for_s:.3f} s"

    @property
    def end_s(self) -> float:
        return self.at_s + self.for_s

    def affected_processes(self, names: Sequence[str]) -> list[str]:
        """The processes that the fault affects themselves or on one of their links."""
        return list(names) if self.kind is FaultKind.PARTITION else list(self.targets)

    def _struck_resources(self, names: Sequence[str]) -> set[frozenset[str]]:
        """The links (pairs of names) and processes that no other fault may affect at the same time."""
        if self.kind is FaultKind.PARTITION:
            return {frozenset((a, b)) for a in self.targets for b in names if b not in self.targets}
        return {frozenset(self.targets)}

    def overlaps(self, other: "Fault", names: Sequence[str]) -> bool:
        """Whether both faults affect the same link or process at the same time."""
        disjoint = self.end_s <= other.at_s or other.end_s <= self.at_s
        return not disjoint and bool(self._struck_resources(names) & other._struck_resources(names))


@dataclass(slots=True, frozen=True)
class Call:
    """An operator's call at one scheduler, which sets a cordon of a worker or lifts it."""

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
    """The faults and calls of one run, each in order of time."""

    seed: int
    names: tuple[str, ...]
    faults: tuple[Fault, ...]
    calls: tuple[Call, ...]

    def __str__(self) -> str:
        rows = [(f.at_s, str(f)) for f in self.faults] + [(c.at_s, str(c)) for c in self.calls]
        return "\n".join(row for _, row in sorted(rows))

    def with_faults(self, faults: Sequence[Fault]) -> "Schedule":
        """A schedule with the same calls and only these faults."""
        return Schedule(self.seed, self.names, tuple(sorted(faults, key=lambda f: f.at_s)), self.calls)

    @property
    def end_s(self) -> float:
        """The end of the last fault or the time of the last call, whichever is later."""
        return max([f.end_s for f in self.faults] + [c.at_s for c in self.calls], default=0.0)

    def replay(self) -> str:
        """The command line that replays this schedule."""
        numbers = ",".join(str(f.number) for f in sorted(self.faults, key=lambda f: f.number))
        return (
            f"python -m robinhill.emulator.rig --seed {self.seed} --processes {len(self.names)}"
            f" --only {numbers or 'none'}"
        )


def process_names(processes: int) -> tuple[str, ...]:
    """The names of this many processes: n1, n2 and so on, padded with zeros to equal length."""
    width = len(str(processes))
    return tuple(f"n{i:0{width}}" for i in range(1, processes + 1))


def draw(
    seed: int,
    processes: int,
    workers: Sequence[str],
    troubles: Sequence[FaultKind] = (*FaultKind, *FREQUENT_FAULTS),
) -> Schedule:
    """Draw the schedule of a seed; the same arguments always give the same schedule."""
    names = process_names(processes)
    rng = random.Random(f"faults {seed}")
    faults: list[Fault] = []
    wanted, rejected, killed = rng.randint(MIN_FAULTS, MAX_FAULTS), 0, set[str]()
    while len(faults) < wanted and rejected < MAX_REJECTED_DRAWS:
        fault = _draw_fault(rng, len(faults), rng.choice(troubles), names)
        killed_if_added = killed.union(fault.targets) if fault.kind in KILL_FAULTS else killed
        if any(fault.overlaps(f, names) for f in faults) or len(killed_if_added) > (processes - 1) // 2:
            rejected += 1
            continue
        killed = killed_if_added
        faults.append(fault)
    faults.sort(key=lambda f: f.at_s)
    numbered = tuple(Fault(i, f.at_s, f.for_s, f.kind, f.targets, f.size) for i, f in enumerate(faults))
    return Schedule(seed, names, numbered, _draw_calls(rng, names, workers, numbered))


def _draw_fault(rng: random.Random, number: int, kind: FaultKind, names: Sequence[str]) -> Fault:
    at, lasts = (
        round(rng.uniform(0.1, FAULT_START_SPAN_S), 3),
        round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 3),
    )
    size = 0.0
    if kind is FaultKind.PARTITION:
        targets = tuple(sorted(rng.sample(names, rng.randint(1, len(names) // 2))))
    else:
        targets = tuple(rng.sample(names, 2 if kind in LINK_FAULTS else 1))
    if kind in MESSAGE_SHARES:
        size = round(rng.uniform(*MESSAGE_SHARES[kind]), 2)
    elif kind is FaultKind.DELAY:
        size = round(rng.uniform(0.02, 0.4), 3)
    elif kind is FaultKind.FLAP:
        size = round(rng.uniform(0.05, 0.4), 3)
    elif kind is FaultKind.TEAR:
        size = float(rng.randint(1, 200))
    elif kind is FaultKind.CLOCK:
        size = rng.choice(CLOCK_OFFSETS_S)
    return Fault(number, at, 0.0 if kind in INSTANT_FAULTS else lasts, kind, targets, size)


def _draw_calls(
    rng: random.Random, names: Sequence[str], workers: Sequence[str], faults: Sequence[Fault]
) -> tuple[Call, ...]:
    """Draw the operators' calls.

    Each cordon id is set only once, so that the answer to a lift is unambiguous; a third of the cordons is
    never lifted. At most half of the workers are ever cordoned, so that the others can serve.
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
    """Reduce the items to a subset with which the run still fails, but passes without any single one of them.

    Delta debugging: A. Zeller and R. Hildebrandt, "Simplifying and isolating failure-inducing input", 2002.
    The caller has checked that the run fails with all items. No subset is run twice.
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
    """Each pair of names once, regardless of order."""
    return list(combinations(names, 2))
