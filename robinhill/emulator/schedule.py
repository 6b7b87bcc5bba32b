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

SPAN_S = 5.0  # in which faults begin
SHORTEST_S, LONGEST_S = 0.2, 2.0
MOST_FAULTS = 10
FEWEST_FAULTS = 3
CALLS = (5, 10)
AMID = 0.6  # of the calls come while a fault lasts, at whom it strikes
REFUSED_DRAWS = 200  # in a row, after which a schedule is as full as it will be
CLOCKS_S = (-3600.0, -90.0, -5.0, 0.4, 5.0, 90.0, 3600.0)
Item = TypeVar("Item")


class Trouble(Enum):
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


LINKS = tuple(Trouble)[: tuple(Trouble).index(Trouble.PARTITION)]
PROCESSES = tuple(Trouble)[tuple(Trouble).index(Trouble.KILL) :]
KILLS = (Trouble.KILL, Trouble.WIPE, Trouble.CLOCK)
# What cuts schedulers off or takes them by surprise is drawn more often than what merely slows a link.
OFTEN = (Trouble.PARTITION, Trouble.PARTITION, Trouble.PAUSE, Trouble.KILL)
INSTANT = (Trouble.TEAR, Trouble.SEVER)
SHARES = {Trouble.LOSS: (0.1, 0.6), Trouble.REORDER: (0.1, 0.5), Trouble.DOUBLE: (0.1, 0.5)}


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that goes wrong. ``who``: two ends of a link, a group that is cut off, or a process."""

    number: int  # within its schedule, also in one that was cut down
    at_s: float
    for_s: float
    trouble: Trouble
    who: tuple[str, ...]
    size: float = 0.0

    def __str__(self) -> str:
        between = "-" if self.trouble in LINKS else " "
        size = f" ({self.size:g})" if self.size else ""
        what = f"{self.trouble.value} {between.join(self.who)}{size}"
        return f"{self.number:>3} {self.at_s:7.3f} s  {what}, for {self.for_s:.3f} s"

    @property
    def end_s(self) -> float:
        return self.at_s + self.for_s

    def touched(self, names: Sequence[str]) -> list[str]:
        """Schedulers of which it harms the process or a link."""
        return list(names) if self.trouble is Trouble.PARTITION else list(self.who)

    def _claims(self, names: Sequence[str]) -> set[frozenset[str]]:
        """Links and processes that nothing else may strike meanwhile."""
        if self.trouble is Trouble.PARTITION:
            return {frozenset((a, b)) for a in self.who for b in names if b not in self.who}
        return {frozenset(self.who)}

    def clashes(self, other: "Fault", names: Sequence[str]) -> bool:
        apart = self.end_s <= other.at_s or other.end_s <= self.at_s
        return not apart and bool(self._claims(names) & other._claims(names))


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

    def only(self, faults: Sequence[Fault]) -> "Schedule":
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


def names_of(processes: int) -> tuple[str, ...]:
    """The schedulers' names, in order."""
    width = len(str(processes))
    return tuple(f"n{i:0{width}}" for i in range(1, processes + 1))


def draw(
    seed: int, processes: int, workers: Sequence[str], troubles: Sequence[Trouble] = (*Trouble, *OFTEN)
) -> Schedule:
    """The schedule of a seed."""
    names = names_of(processes)
    rng = random.Random(f"faults {seed}")
    faults: list[Fault] = []
    wanted, refused, killed = rng.randint(FEWEST_FAULTS, MOST_FAULTS), 0, set[str]()
    while len(faults) < wanted and refused < REFUSED_DRAWS:
        fault = _fault(rng, len(faults), rng.choice(troubles), names)
        dead = killed.union(fault.who) if fault.trouble in KILLS else killed
        if any(fault.clashes(f, names) for f in faults) or len(dead) > (processes - 1) // 2:
            refused += 1
            continue
        killed = dead
        faults.append(fault)
    faults.sort(key=lambda f: f.at_s)
    numbered = tuple(Fault(i, f.at_s, f.for_s, f.trouble, f.who, f.size) for i, f in enumerate(faults))
    return Schedule(seed, names, numbered, _calls(rng, names, workers, numbered))


def _fault(rng: random.Random, number: int, trouble: Trouble, names: Sequence[str]) -> Fault:
    at, lasts = round(rng.uniform(0.1, SPAN_S), 3), round(rng.uniform(SHORTEST_S, LONGEST_S), 3)
    size = 0.0
    if trouble is Trouble.PARTITION:
        who = tuple(sorted(rng.sample(names, rng.randint(1, len(names) // 2))))
    else:
        who = tuple(rng.sample(names, 2 if trouble in LINKS else 1))
    if trouble in SHARES:
        size = round(rng.uniform(*SHARES[trouble]), 2)
    elif trouble is Trouble.DELAY:
        size = round(rng.uniform(0.02, 0.4), 3)
    elif trouble is Trouble.FLAP:
        size = round(rng.uniform(0.05, 0.4), 3)
    elif trouble is Trouble.TEAR:
        size = float(rng.randint(1, 200))
    elif trouble is Trouble.CLOCK:
        size = rng.choice(CLOCKS_S)
    return Fault(number, at, 0.0 if trouble in INSTANT else lasts, trouble, who, size)


def _calls(
    rng: random.Random, names: Sequence[str], workers: Sequence[str], faults: Sequence[Fault]
) -> tuple[Call, ...]:
    """Each id is set once, so that what a lift's answer means is never in doubt; a third is never lifted.

    At most half of the workers are ever cordoned: the others have to serve.
    """

    def when() -> tuple[float, str]:
        if faults and rng.random() < AMID:
            fault = rng.choice(faults)
            return round(rng.uniform(fault.at_s, fault.end_s), 3), rng.choice(fault.who)
        return round(rng.uniform(0.0, SPAN_S), 3), rng.choice(names)

    calls: list[Call] = []
    may = sorted(rng.sample(list(workers), max(1, len(workers) // 2)))
    for number in range(rng.randint(*CALLS)):
        worker = rng.choice(may)
        at, scheduler = when()
        calls.append(Call(at, False, scheduler, worker, f"c{number}"))
        if rng.random() < 2 / 3:
            later, other = when()
            later = max(later, round(at + rng.uniform(0.02, 1.0), 3))
            calls.append(Call(later, True, other, worker, f"c{number}"))
    return tuple(sorted(calls, key=lambda c: (c.at_s, c.id)))


async def shrink(items: Sequence[Item], fails: Callable[[list[Item]], Awaitable[bool]]) -> list[Item]:
    """The fewest of the items with which it still fails, such that it passes without any single one of them.

    Delta debugging: A. Zeller and R. Hildebrandt, "Simplifying and isolating failure-inducing input", 2002.
    It takes for granted that it fails with all of them; nothing is played twice.
    """
    played: dict[tuple[int, ...], bool] = {}

    async def failed(numbers: list[int]) -> bool:
        key = tuple(numbers)
        if key not in played:
            played[key] = await fails([items[n] for n in numbers])
        return played[key]

    left, parts = list(range(len(items))), 2
    if not items or await failed([]):
        return []
    while len(left) > 1:
        size = -(-len(left) // parts)
        chunks = [left[i : i + size] for i in range(0, len(left), size)]
        for chunk in chunks if len(chunks) > 2 else []:
            if await failed(chunk):
                left, parts = chunk, 2
                break
        else:
            for chunk in chunks:
                rest = [n for n in left if n not in chunk]
                if await failed(rest):
                    left, parts = rest, max(parts - 1, 2)
                    break
            else:
                if size == 1:
                    break
                parts = min(len(left), parts * 2)
    return [items[n] for n in left]


def pairs(names: Sequence[str]) -> list[tuple[str, str]]:
    """Each link once."""
    return list(combinations(names, 2))
