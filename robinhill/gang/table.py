"""The gangs under way: own members, members at other schedulers, and what is held of both at most."""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import median

from robinhill.api import Repeat
from robinhill.gang.errors import DuplicateMember, GangMismatch, GangsFull
from robinhill.gang.membership import Membership
from robinhill.gang.messages import Phase, Verdict
from robinhill.gang.progress import SLOWEST, Curve, Paces
from robinhill.gang.share import FULL, LIFETIME_US, MAX_SEQUENCE, UNKNOWN, MemberUpdate, Progress
from robinhill.gang.straggle import Runner

# A gang is kept so long after anything was heard of it: staff ask "why was it late" some minutes later.
KEPT_US = LIFETIME_US
# A member elsewhere that told nothing for so long may have died with its scheduler: its time stands still.
STALE_US = 30_000_000
# What a job usually needs where no hint and no peer tells; it only sets how soon one may be compared.
USUAL_US = 1_000_000
# Progress is told to other schedulers in such steps: some twenty words of a member at most.
SHARE_STEP = 0.05
LEAST_TELLING = 3  # others of a gang that must tell of their pace before a kind is held against them
UPDATE_TEXT = 128  # characters of a worker's or kind's name that are shared


@dataclass(slots=True, eq=False)
class LocalMember:
    """A member whose job this scheduler holds, and its latest attempt."""

    job: int
    membership: Membership
    repeat: Repeat
    hint_us: int
    joined_us: int
    attempt: int = -1
    worker: str = ""
    kind: str = ""
    placed_us: int = 0
    phase: Phase = Phase.WAITING
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
    sent_share: float = 0.0

    @property
    def active(self) -> bool:
        return self.phase <= Phase.RUNNING

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

    def update(self, now_us: int, sequence: int, origin: str) -> MemberUpdate:
        share = self.curve.share
        return MemberUpdate(
            self.membership.index,
            sequence,
            int(self.phase),
            UNKNOWN if share is None else int(share * FULL),
            self.waited_us(now_us),
            self.run_us(now_us),
            self.hint_us,
            self.moves,
            self.kind[:UPDATE_TEXT],
            self.worker[:UPDATE_TEXT],
            origin[:UPDATE_TEXT],
        )


@dataclass(slots=True, eq=False)
class RemoteMember:
    """A member at another scheduler, as heard here."""

    update: MemberUpdate
    received_us: int
    curve: Curve = field(default_factory=Curve)

    def receive(self, now_us: int, update: MemberUpdate) -> None:
        """A later word. Its curve stands where the word with the least delay puts its start."""
        before = self.update
        again = (update.origin, update.worker, update.moves) != (before.origin, before.worker, before.moves)
        if again or update.run_us < before.run_us:
            self.curve = Curve()
        self.update, self.received_us = update, now_us
        if update.current_phase is Phase.WAITING or (
            update.current_phase is Phase.GONE and not update.run_us
        ):
            return
        curve, start_us = self.curve, now_us - update.run_us
        if curve.start_us is None:
            self.curve = curve = Curve(start_us)
        elif start_us < curve.start_us:
            curve.shift(curve.start_us - start_us)
        begun = curve.start_us or 0
        if update.current_phase is Phase.DONE:
            curve.end(begun + update.run_us)
        elif update.share != UNKNOWN:
            curve.add(begun + update.run_us, update.share / FULL)


@dataclass(slots=True, eq=False)
class Gang:
    """One gang as far as it is known here."""

    name: str
    size: int
    touched_us: int
    local: dict[int, LocalMember] = field(default_factory=dict)
    remote: dict[int, RemoteMember] = field(default_factory=dict)
    sequence: dict[int, int] = field(default_factory=dict)  # the largest seen of each member
    changed: set[int] = field(default_factory=set)  # members to tell of
    sent_us: int = 0
    tail_recorded: bool = False

    @property
    def active(self) -> bool:
        return any(x.active for x in self.local.values())

    @property
    def moves(self) -> int:
        return sum(x.moves for x in self.local.values()) + sum(
            x.update.moves for i, x in self.remote.items() if i not in self.local
        )

    def current_local(self, index: int) -> LocalMember | None:
        """Our own member of this index, unless it is over here and goes on elsewhere."""
        local = self.local.get(index)
        return None if local and local.phase is Phase.GONE and index in self.remote else local

    def change(self, index: int) -> None:
        """Our member's state is to be told: its number goes on from the largest seen."""
        self.sequence[index] = min(MAX_SEQUENCE, self.sequence.get(index, 0) + 1)
        self.changed.add(index)

    def usual_hint(self) -> float:
        hints = [x.hint_us for x in self.local.values() if x.hint_us]
        hints += [
            x.update.hint_us for i, x in self.remote.items() if i not in self.local and x.update.hint_us
        ]
        return median(hints) if hints else 0.0

    def against(self, index: int) -> float | None:
        """ln(a member's pace over its gang's median), by hints alone; None where too few tell."""
        logs: dict[int, float] = {}
        for i in {*self.local, *self.remote}:
            local = self.current_local(i)
            curve = local.curve if local else self.remote[i].curve
            hint = local.hint_us if local else self.remote[i].update.hint_us
            if hint and curve.updates and (rate := curve.whole_rate) is not None:
                logs[i] = -math.log(max(SLOWEST, rate * hint))
        return logs[index] - median(logs.values()) if index in logs and len(logs) > LEAST_TELLING else None

    def runners(self, now_us: int, paces: Paces) -> dict[int, Runner]:
        """All members that are placed somewhere or have run, by index, as they are compared."""
        hint = self.usual_hint()
        found: dict[int, Runner] = {}
        for index in sorted({*self.local, *self.remote}):
            if local := self.current_local(index):
                if local.phase is Phase.GONE or not local.placed_us:
                    continue
                usual, kind = _usual(local.hint_us or hint, local.kind, paces)
                received = now_us if local.active else local.over_us
                found[index] = Runner(local.curve, usual, received, local.waited_us(now_us), kind)
            elif (remote := self.remote[index]).update.current_phase is not Phase.GONE:
                update = remote.update
                usual, kind = _usual(update.hint_us or hint, update.kind, paces)
                since = (
                    min(now_us - remote.received_us, STALE_US)
                    if update.current_phase is not Phase.DONE
                    else 0
                )
                received, waited = remote.received_us + since, update.waited_us
                if update.current_phase is Phase.WAITING:
                    waited += since
                elif update.current_phase is Phase.DONE:
                    received = remote.curve.last_us
                found[index] = Runner(remote.curve, usual, received, waited, kind)
        return found if hint else _without_hints(found)

    def progress(self, now_us: int, origin: str) -> Progress:
        """What we tell of our own members that others don't tell of by now."""
        mine = [x for i, x in self.local.items() if self.current_local(i)]
        mine.sort(key=lambda x: x.membership.index)
        return Progress(
            self.size, tuple(x.update(now_us, self.sequence.get(x.membership.index, 0), origin) for x in mine)
        )


def _usual(hint_us: float, kind: str, paces: Paces) -> tuple[float, str | None]:
    """What such a job usually needs there; and the kind, where that is not known of it."""
    if not hint_us:
        return USUAL_US, kind
    factor = paces.factor(kind)
    return (hint_us * paces.scale, kind) if factor is None else (hint_us * factor, None)


def _without_hints(runners: dict[int, Runner]) -> dict[int, Runner]:
    """A gang without hints: all its members usually need what the median of those that tell does."""
    known_paces = [p * x.usual_us for x in runners.values() if not x.silent and (p := x.pace()) is not None]
    if not known_paces:
        return runners
    usual = max(1.0, median(known_paces))
    return {i: Runner(x.curve, usual, x.received_us, x.waited_us, x.kind) for i, x in runners.items()}


class Table:
    """All gangs held, within bounds: those without a running member here go first, the oldest first."""

    def __init__(self, gangs: int, members: int) -> None:
        self._most_gangs = gangs
        self._most_members = members
        self.members = 0
        self.jobs: dict[int, LocalMember] = {}  # of own members that are not over
        self._active: OrderedDict[str, Gang] = OrderedDict()
        self._idle: OrderedDict[str, Gang] = OrderedDict()  # by when something was last heard of them

    def __len__(self) -> int:
        return len(self._active) + len(self._idle)

    def get(self, name: str) -> Gang | None:
        return self._active.get(name) or self._idle.get(name)

    def active(self) -> Iterator[Gang]:
        """Those with a member under way here, in a stable order."""
        return iter(self._active.values())

    def join(self, now_us: int, local: LocalMember) -> Gang:
        """Take a member in. Raises GangMismatch, DuplicateMember or GangsFull; then nothing has changed."""
        membership = local.membership
        gang = self.get(membership.gang)
        if gang and gang.size != membership.size:
            raise GangMismatch(
                f"a member of gang {gang.name} says size {membership.size}, others {gang.size}"
            )
        held = gang.local.get(membership.index) if gang else None
        if held and held.active:
            raise DuplicateMember(f"member {membership.index} of gang {membership.gang} is under way already")
        if not gang or (held is None and membership.index not in gang.remote):
            self._room(gang)
        gang = gang or Gang(membership.gang, membership.size, now_us)
        # One held on both sides counts once.
        self.members += held is None and membership.index not in gang.remote
        gang.local[membership.index] = local
        self.jobs[local.job] = local
        self.touch(now_us, gang)
        return gang

    def receive(self, now_us: int, name: str, progress: Progress) -> tuple[Gang | None, list[RemoteMember]]:
        """Take in what others tell; the second value are the members with news. None: no room for it."""
        gang, updated = self.get(name), []
        for update in progress.members:
            remote = gang.remote.get(update.index) if gang else None
            if (
                gang
                and update.sequence <= gang.sequence.get(update.index, -1)
                and update.current_phase is not Phase.DONE
            ):
                continue
            if remote and remote.update.current_phase is Phase.DONE:
                continue
            if gang and (local := gang.local.get(update.index)) and local.phase is Phase.DONE:
                continue  # our own word, come back
            if remote is None:
                try:
                    if not gang or update.index not in gang.local:
                        self._room(gang)
                except GangsFull:
                    break
                if gang is None:
                    gang = Gang(name, progress.size, now_us)
                self.members += update.index not in gang.local
                remote = gang.remote[update.index] = RemoteMember(update, now_us)
            remote.receive(now_us, update)
            gang = gang or Gang(name, progress.size, now_us)
            gang.sequence[update.index] = max(update.sequence, gang.sequence.get(update.index, 0))
            updated.append(remote)
        if gang and updated:
            gang.size = max(gang.size, progress.size)
            self.touch(now_us, gang)
        return gang, updated

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
            for local in gang.local.values():
                self.jobs.pop(local.job, None)
                local.phase = Phase.GONE if local.active else local.phase
            self.touch(gang.touched_us, gang)
            self._idle.move_to_end(gang.name, last=False)

    def _drop(self) -> None:
        _, gang = self._idle.popitem(last=False)
        self.members -= len({*gang.local, *gang.remote})

    def _room(self, gang: Gang | None) -> None:
        """Make room for one more member of this gang (None: of a new one). Raises GangsFull."""
        if gang and gang.name in self._idle:
            self._idle.move_to_end(gang.name)  # it must not go for its own sake
        while self.members >= self._most_members or (gang is None and len(self) >= self._most_gangs):
            if not self._idle or (gang and next(iter(self._idle.values())) is gang):
                what = f"{len(self)} gangs with {self.members} members are held"
                raise GangsFull(f"{what}, and all have members under way here")
            self._drop()
