"""The gangs under way: own members, members at other schedulers, and what is held of both at most."""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import median

from robinhill.api import Repeat
from robinhill.gang.errors import GangMismatch, GangsFull, MemberTaken
from robinhill.gang.progress import SLOWEST, Curve, Paces
from robinhill.gang.share import FULL, LIFETIME_US, MAX_SEQUENCE, UNKNOWN, Progress, Word
from robinhill.gang.straggle import Runner
from robinhill.gang.words import Membership, Phase, Verdict

# A gang is kept so long after anything was heard of it: staff ask "why was it late" some minutes later.
KEPT_US = LIFETIME_US
# A member elsewhere that told nothing for so long may have died with its scheduler: its time stands still.
STALE_US = 30_000_000
# What a job usually needs where no hint and no peer tells; it only sets how soon one may be compared.
USUAL_US = 1_000_000
# Progress is told to other schedulers in such steps: some twenty words of a member at most.
SHARE_STEP = 0.05
LEAST_TELLING = 3  # others of a gang that must tell of their pace before a kind is held against them
WORDS_TEXT = 128  # characters of a worker's or kind's name that are shared


@dataclass(slots=True, eq=False)
class Own:
    """A member whose job this scheduler holds, and its latest attempt."""

    job: int
    place: Membership
    repeat: Repeat
    hint_us: int
    joined_us: int
    attempt: int = -1
    worker: str = ""
    kind: str = ""
    placed_us: int = 0
    phase: Phase = Phase.WAITS
    curve: Curve = field(default_factory=Curve)
    over_us: int = 0
    moves: int = 0
    moved_from: str = ""
    moved_attempt: int = -2  # the last one that was to be moved; its first attempt is 0
    streak: int = 0
    counted_us: int = -1  # the last word on progress that counted for the streak
    judged: bool = False  # its stay at this worker stands in the ledger
    last: Verdict | None = None
    called: Verdict | None = None
    told_share: float = 0.0

    @property
    def active(self) -> bool:
        return self.phase <= Phase.RUNS

    def waited_us(self, now_us: int) -> int:
        """From placing to start, or so far; 0 while it is not placed."""
        if not self.placed_us:
            return 0
        begun = self.curve.start_us
        if begun is None:  # perhaps one heard of its progress or end only
            begun = now_us if self.curve.empty else self.curve.first_us
        return max(0, begun - self.placed_us)

    def run_us(self, now_us: int) -> int:
        if self.curve.empty:
            return 0
        return max(0, (now_us if self.active else self.over_us) - self.curve.first_us)

    def word(self, now_us: int, sequence: int, origin: str) -> Word:
        share = self.curve.share
        return Word(
            self.place.index, sequence, int(self.phase), UNKNOWN if share is None else int(share * FULL),
            self.waited_us(now_us), self.run_us(now_us), self.hint_us, self.moves,
            self.kind[:WORDS_TEXT], self.worker[:WORDS_TEXT], origin[:WORDS_TEXT],
        )  # fmt: skip


@dataclass(slots=True, eq=False)
class Far:
    """A member at another scheduler, as heard here."""

    word: Word
    heard_us: int
    curve: Curve = field(default_factory=Curve)

    def hear(self, now_us: int, word: Word) -> None:
        """A later word. Its curve stands where the word with the least delay puts its start."""
        before = self.word
        again = (word.origin, word.worker, word.moves) != (before.origin, before.worker, before.moves)
        if again or word.run_us < before.run_us:
            self.curve = Curve()
        self.word, self.heard_us = word, now_us
        if word.state is Phase.WAITS or (word.state is Phase.GONE and not word.run_us):
            return
        curve, start_us = self.curve, now_us - word.run_us
        if curve.start_us is None:
            self.curve = curve = Curve(start_us)
        elif start_us < curve.start_us:
            curve.shift(curve.start_us - start_us)
        begun = curve.start_us or 0
        if word.state is Phase.DONE:
            curve.end(begun + word.run_us)
        elif word.share != UNKNOWN:
            curve.add(begun + word.run_us, word.share / FULL)


@dataclass(slots=True, eq=False)
class Gang:
    """One gang as far as it is known here."""

    name: str
    size: int
    touched_us: int
    own: dict[int, Own] = field(default_factory=dict)
    far: dict[int, Far] = field(default_factory=dict)
    sequence: dict[int, int] = field(default_factory=dict)  # the largest seen of each member
    changed: set[int] = field(default_factory=set)  # members to tell of
    told_us: int = 0
    tail_told: bool = False

    @property
    def active(self) -> bool:
        return any(x.active for x in self.own.values())

    @property
    def moves(self) -> int:
        return sum(x.moves for x in self.own.values()) + sum(
            x.word.moves for i, x in self.far.items() if i not in self.own
        )

    def holds(self, index: int) -> Own | None:
        """Our own member of this index, unless it is over here and goes on elsewhere."""
        own = self.own.get(index)
        return None if own and own.phase is Phase.GONE and index in self.far else own

    def change(self, index: int) -> None:
        """Our member's state is to be told: its number goes on from the largest seen."""
        self.sequence[index] = min(MAX_SEQUENCE, self.sequence.get(index, 0) + 1)
        self.changed.add(index)

    def usual_hint(self) -> float:
        hints = [x.hint_us for x in self.own.values() if x.hint_us]
        hints += [x.word.hint_us for i, x in self.far.items() if i not in self.own and x.word.hint_us]
        return median(hints) if hints else 0.0

    def against(self, index: int) -> float | None:
        """ln(a member's pace over its gang's median), by hints alone; None where too few tell."""
        logs: dict[int, float] = {}
        for i in {*self.own, *self.far}:
            own = self.holds(i)
            curve = own.curve if own else self.far[i].curve
            hint = own.hint_us if own else self.far[i].word.hint_us
            if hint and curve.words and (rate := curve.whole_rate) is not None:
                logs[i] = -math.log(max(SLOWEST, rate * hint))
        return logs[index] - median(logs.values()) if index in logs and len(logs) > LEAST_TELLING else None

    def runners(self, now_us: int, paces: Paces) -> dict[int, Runner]:
        """All members that are placed somewhere or have run, by index, as they are compared."""
        hint = self.usual_hint()
        found: dict[int, Runner] = {}
        for index in sorted({*self.own, *self.far}):
            if own := self.holds(index):
                if own.phase is Phase.GONE or not own.placed_us:
                    continue
                usual, kind = _usual(own.hint_us or hint, own.kind, paces)
                heard = now_us if own.active else own.over_us
                found[index] = Runner(own.curve, usual, heard, own.waited_us(now_us), kind)
            elif (far := self.far[index]).word.state is not Phase.GONE:
                word = far.word
                usual, kind = _usual(word.hint_us or hint, word.kind, paces)
                since = min(now_us - far.heard_us, STALE_US) if word.state is not Phase.DONE else 0
                heard, waited = far.heard_us + since, word.waited_us
                if word.state is Phase.WAITS:
                    waited += since
                elif word.state is Phase.DONE:
                    heard = far.curve.last_us
                found[index] = Runner(far.curve, usual, heard, waited, kind)
        return found if hint else _without_hints(found)

    def progress(self, now_us: int, origin: str) -> Progress:
        """What we tell of our own members that others don't tell of by now."""
        mine = [x for i, x in self.own.items() if self.holds(i)]
        mine.sort(key=lambda x: x.place.index)
        return Progress(
            self.size, tuple(x.word(now_us, self.sequence.get(x.place.index, 0), origin) for x in mine)
        )


def _usual(hint_us: float, kind: str, paces: Paces) -> tuple[float, str | None]:
    """What such a job usually needs there; and the kind, where that is not known of it."""
    if not hint_us:
        return USUAL_US, kind
    factor = paces.factor(kind)
    return (hint_us * paces.scale, kind) if factor is None else (hint_us * factor, None)


def _without_hints(runners: dict[int, Runner]) -> dict[int, Runner]:
    """A gang without hints: all its members usually need what the median of those that tell does."""
    told = [p * x.usual_us for x in runners.values() if not x.silent and (p := x.pace()) is not None]
    if not told:
        return runners
    usual = max(1.0, median(told))
    return {i: Runner(x.curve, usual, x.heard_us, x.waited_us, x.kind) for i, x in runners.items()}


class Table:
    """All gangs held, within bounds: those without a running member here go first, the oldest first."""

    def __init__(self, gangs: int, members: int) -> None:
        self._most_gangs = gangs
        self._most_members = members
        self.members = 0
        self.jobs: dict[int, Own] = {}  # of own members that are not over
        self._active: OrderedDict[str, Gang] = OrderedDict()
        self._idle: OrderedDict[str, Gang] = OrderedDict()  # by when something was last heard of them

    def __len__(self) -> int:
        return len(self._active) + len(self._idle)

    def get(self, name: str) -> Gang | None:
        return self._active.get(name) or self._idle.get(name)

    def active(self) -> Iterator[Gang]:
        """Those with a member under way here, in a stable order."""
        return iter(self._active.values())

    def join(self, now_us: int, own: Own) -> Gang:
        """Take a member in. Raises GangMismatch, MemberTaken or GangsFull; then nothing has changed."""
        place = own.place
        gang = self.get(place.gang)
        if gang and gang.size != place.size:
            raise GangMismatch(f"a member of gang {gang.name} says size {place.size}, others {gang.size}")
        held = gang.own.get(place.index) if gang else None
        if held and held.active:
            raise MemberTaken(f"member {place.index} of gang {place.gang} is under way already")
        if not gang or (held is None and place.index not in gang.far):
            self._room(gang)
        gang = gang or Gang(place.gang, place.size, now_us)
        # One held on both sides counts once.
        self.members += held is None and place.index not in gang.far
        gang.own[place.index] = own
        self.jobs[own.job] = own
        self.touch(now_us, gang)
        return gang

    def hear(self, now_us: int, name: str, progress: Progress) -> tuple[Gang | None, list[Far]]:
        """Take in what others tell; the second value are the members with news. None: no room for it."""
        gang, news = self.get(name), []
        for word in progress.members:
            far = gang.far.get(word.index) if gang else None
            if gang and word.sequence <= gang.sequence.get(word.index, -1) and word.state is not Phase.DONE:
                continue
            if far and far.word.state is Phase.DONE:
                continue
            if gang and (own := gang.own.get(word.index)) and own.phase is Phase.DONE:
                continue  # our own word, come back
            if far is None:
                try:
                    if not gang or word.index not in gang.own:
                        self._room(gang)
                except GangsFull:
                    break
                if gang is None:
                    gang = Gang(name, progress.size, now_us)
                self.members += word.index not in gang.own
                far = gang.far[word.index] = Far(word, now_us)
            far.hear(now_us, word)
            gang = gang or Gang(name, progress.size, now_us)
            gang.sequence[word.index] = max(word.sequence, gang.sequence.get(word.index, 0))
            news.append(far)
        if gang and news:
            gang.size = max(gang.size, progress.size)
            self.touch(now_us, gang)
        return gang, news

    def touch(self, now_us: int, gang: Gang) -> None:
        """Something was heard of a gang; it stands where it belongs."""
        gang.touched_us = now_us
        if gang.active:
            self._idle.pop(gang.name, None)
            self._active[gang.name] = gang
        else:
            self._active.pop(gang.name, None)
            self._idle[gang.name] = gang
            self._idle.move_to_end(gang.name)

    def age(self, now_us: int) -> None:
        """Forget gangs of which nothing was heard for long."""
        while self._idle and next(iter(self._idle.values())).touched_us <= now_us - KEPT_US:
            self._drop()
        for gang in [g for g in self._active.values() if g.touched_us <= now_us - KEPT_US]:
            for own in gang.own.values():
                self.jobs.pop(own.job, None)
                own.phase = Phase.GONE if own.active else own.phase
            self.touch(gang.touched_us, gang)
            self._idle.move_to_end(gang.name, last=False)

    def _drop(self) -> None:
        _, gang = self._idle.popitem(last=False)
        self.members -= len({*gang.own, *gang.far})

    def _room(self, gang: Gang | None) -> None:
        """Make room for one more member of this gang (None: of a new one). Raises GangsFull."""
        if gang and gang.name in self._idle:
            self._idle.move_to_end(gang.name)  # it must not go for its own sake
        while self.members >= self._most_members or (gang is None and len(self) >= self._most_gangs):
            if not self._idle or (gang and next(iter(self._idle.values())) is gang):
                what = f"{len(self)} gangs with {self.members} members are held"
                raise GangsFull(f"{what}, and all have members under way here")
            self._drop()
