"""The table of gangs, with limits for the numbers of gangs and members.

A member is local if this scheduler has its job, and remote if another scheduler has it.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import median

from robinhill.api import Repeat
from robinhill.gang.errors import DuplicateMember, GangMismatch, GangsFull
from robinhill.gang.membership import Membership
from robinhill.gang.messages import Phase, Verdict
from robinhill.gang.progress import MIN_RATE, Curve, Paces
from robinhill.gang.share import FULL_SHARE, LIFETIME_US, MAX_SEQUENCE, UNKNOWN_SHARE, MemberUpdate, Progress
from robinhill.gang.straggle import Runner

# A gang is retained for this time after its last update, as operators ask why it was late some minutes later.
RETENTION_US = LIFETIME_US
# The elapsed time of a remote member is extrapolated for this long after its last update. Without an update
# for longer, its scheduler may have failed, and its elapsed time is no longer increased.
MAX_EXTRAPOLATION_US = 30_000_000
# The usual run time of a job without a hint and without peers that report progress. It only determines how
# early the job can be compared.
DEFAULT_USUAL_US = 1_000_000
# Progress is reported to other schedulers in steps of this share, which is about 20 updates for a member.
PROGRESS_STEP = 0.05
MIN_REPORTING_PEERS = 3  # other members with a known pace that are needed to learn a machine type's speed
MAX_UPDATE_NAME_CHARS = 128  # characters of the names of a worker, machine type or scheduler in an update


@dataclass(slots=True, eq=False)
class LocalMember:
    """A member whose job this scheduler holds, with the state of its latest attempt."""

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
    ended_us: int = 0
    moves: int = 0
    moved_from: str = ""
    moved_attempt: int = -2  # the last attempt for which a move was returned; the first attempt is 0
    streak: int = 0
    counted_us: int = -1  # time of the last report or evaluation that increased the streak
    is_judged: bool = False  # whether the latest attempt has been counted as a lag
    last_verdict: Verdict | None = None
    straggler_verdict: Verdict | None = None
    sent_share: float = 0.0

    @property
    def active(self) -> bool:
        return self.phase <= Phase.RUNNING

    def waited_us(self, now_us: int) -> int:
        """The time from the placement to the start, or until now; 0 while the member is not placed."""
        if not self.placed_us:
            return 0
        start_us = self.curve.start_us
        if start_us is None:  # the start may not have been reported, only progress or the end
            start_us = now_us if self.curve.empty else self.curve.first_us
        return max(0, start_us - self.placed_us)

    def run_us(self, now_us: int) -> int:
        if self.curve.empty:
            return 0
        return max(0, (now_us if self.active else self.ended_us) - self.curve.first_us)

    def update(self, now_us: int, sequence: int, origin: str) -> MemberUpdate:
        share = self.curve.share
        return MemberUpdate(
            self.membership.index,
            sequence,
            int(self.phase),
            UNKNOWN_SHARE if share is None else int(share * FULL_SHARE),
            self.waited_us(now_us),
            self.run_us(now_us),
            self.hint_us,
            self.moves,
            self.kind[:MAX_UPDATE_NAME_CHARS],
            self.worker[:MAX_UPDATE_NAME_CHARS],
            origin[:MAX_UPDATE_NAME_CHARS],
        )


@dataclass(slots=True, eq=False)
class RemoteMember:
    """A member at another scheduler, by the updates received from there."""

    update: MemberUpdate
    received_us: int
    curve: Curve = field(default_factory=Curve)

    def receive(self, now_us: int, update: MemberUpdate) -> None:
        """Apply a later update. The start of the curve is derived from the update that arrived with the least
        delay."""
        before = self.update
        is_new_attempt = (update.origin, update.worker, update.moves) != (
            before.origin,
            before.worker,
            before.moves,
        )
        if is_new_attempt or update.run_us < before.run_us:
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
        curve_start_us = curve.start_us or 0
        if update.current_phase is Phase.DONE:
            curve.end(curve_start_us + update.run_us)
        elif update.share != UNKNOWN_SHARE:
            curve.add(curve_start_us + update.run_us, update.share / FULL_SHARE)


@dataclass(slots=True, eq=False)
class Gang:
    """One gang, with the members that this scheduler knows of by index."""

    name: str
    size: int
    last_update_us: int
    local: dict[int, LocalMember] = field(default_factory=dict)
    remote: dict[int, RemoteMember] = field(default_factory=dict)
    sequence: dict[int, int] = field(default_factory=dict)  # highest known sequence number of each member
    changed: set[int] = field(default_factory=set)  # members with updates to publish
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
        """The local member of this index; None if there is none, or if it ended here without a result and
        another scheduler reports it."""
        local = self.local.get(index)
        return None if local and local.phase is Phase.GONE and index in self.remote else local

    def mark_changed(self, index: int) -> None:
        """Mark a local member for an update, with the sequence number after the highest known one."""
        self.sequence[index] = min(MAX_SEQUENCE, self.sequence.get(index, 0) + 1)
        self.changed.add(index)

    def median_hint_us(self) -> float:
        hints = [x.hint_us for x in self.local.values() if x.hint_us]
        hints += [
            x.update.hint_us for i, x in self.remote.items() if i not in self.local and x.update.hint_us
        ]
        return median(hints) if hints else 0.0

    def log_relative_pace(self, index: int) -> float | None:
        """ln(a member's pace over its gang's median), by hints alone; None if too few paces are known."""
        logs: dict[int, float] = {}
        for i in {*self.local, *self.remote}:
            local = self.current_local(i)
            curve = local.curve if local else self.remote[i].curve
            hint = local.hint_us if local else self.remote[i].update.hint_us
            if hint and curve.updates and (rate := curve.overall_rate) is not None:
                logs[i] = -math.log(max(MIN_RATE, rate * hint))
        return (
            logs[index] - median(logs.values()) if index in logs and len(logs) > MIN_REPORTING_PEERS else None
        )

    def runners(self, now_us: int, paces: Paces) -> dict[int, Runner]:
        """The members that are placed or have run, by index, in the form in which they are compared."""
        hint = self.median_hint_us()
        found: dict[int, Runner] = {}
        for index in sorted({*self.local, *self.remote}):
            if local := self.current_local(index):
                if local.phase is Phase.GONE or not local.placed_us:
                    continue
                usual, kind = _usual_run(local.hint_us or hint, local.kind, paces)
                received = now_us if local.active else local.ended_us
                found[index] = Runner(local.curve, usual, received, local.waited_us(now_us), kind)
            elif (remote := self.remote[index]).update.current_phase is not Phase.GONE:
                update = remote.update
                usual, kind = _usual_run(update.hint_us or hint, update.kind, paces)
                since = (
                    min(now_us - remote.received_us, MAX_EXTRAPOLATION_US)
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
        """The progress to publish: updates of the local members that no other scheduler has taken over."""
        mine = [x for i, x in self.local.items() if self.current_local(i)]
        mine.sort(key=lambda x: x.membership.index)
        return Progress(
            self.size, tuple(x.update(now_us, self.sequence.get(x.membership.index, 0), origin) for x in mine)
        )


def _usual_run(hint_us: float, kind: str, paces: Paces) -> tuple[float, str | None]:
    """The usual run time at a machine type, and the type itself if its speed is not known, else None."""
    if not hint_us:
        return DEFAULT_USUAL_US, kind
    factor = paces.factor(kind)
    return (hint_us * paces.scale, kind) if factor is None else (hint_us * factor, None)


def _without_hints(runners: dict[int, Runner]) -> dict[int, Runner]:
    """Set the usual run time of all members of a gang without hints to the median run time that the progress
    of its reporting members indicates."""
    known_paces = [p * x.usual_us for x in runners.values() if not x.silent and (p := x.pace()) is not None]
    if not known_paces:
        return runners
    usual = max(1.0, median(known_paces))
    return {i: Runner(x.curve, usual, x.known_until_us, x.waited_us, x.kind) for i, x in runners.items()}


class Table:
    """All gangs in memory, up to a limit. Idle gangs, which have no member under way here, are evicted in the
    order of their last update."""

    def __init__(self, gangs: int, members: int) -> None:
        self._max_gangs = gangs
        self._max_members = members
        self.members = 0
        self.jobs: dict[int, LocalMember] = {}  # local members that have not ended, by job
        self._active: OrderedDict[str, Gang] = OrderedDict()
        self._idle: OrderedDict[str, Gang] = OrderedDict()  # by ascending time of the last update

    def __len__(self) -> int:
        return len(self._active) + len(self._idle)

    def get(self, name: str) -> Gang | None:
        return self._active.get(name) or self._idle.get(name)

    def active(self) -> Iterator[Gang]:
        """The gangs with a member under way here, in a stable order."""
        return iter(self._active.values())

    def join(self, now_us: int, local: LocalMember) -> Gang:
        """Add a local member. Raises GangMismatch, DuplicateMember or GangsFull and then changes nothing."""
        membership = local.membership
        gang = self.get(membership.gang)
        if gang and gang.size != membership.size:
            raise GangMismatch(
                f"a member of gang {gang.name} states size {membership.size}, others {gang.size}"
            )
        held = gang.local.get(membership.index) if gang else None
        if held and held.active:
            raise DuplicateMember(f"member {membership.index} of gang {membership.gang} is under way already")
        if not gang or (held is None and membership.index not in gang.remote):
            self._make_room(gang)
        gang = gang or Gang(membership.gang, membership.size, now_us)
        # An index that is both local and remote counts as one member.
        self.members += held is None and membership.index not in gang.remote
        gang.local[membership.index] = local
        self.jobs[local.job] = local
        self.touch(now_us, gang)
        return gang

    def receive(self, now_us: int, name: str, progress: Progress) -> tuple[Gang | None, list[RemoteMember]]:
        """Apply the progress that other schedulers publish. Returns the gang (None: no room) and the members
        that were updated."""
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
                continue  # this scheduler's own update, returned by the mesh
            if remote is None:
                try:
                    if not gang or update.index not in gang.local:
                        self._make_room(gang)
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
        """Record an update of a gang at ``now_us`` and list it as active or idle."""
        gang.last_update_us = now_us
        if gang.active:
            self._idle.pop(gang.name, None)
            self._active[gang.name] = gang
        else:
            self._active.pop(gang.name, None)
            self._idle[gang.name] = gang
            self._idle.move_to_end(gang.name)

    def expire(self, now_us: int) -> None:
        """Remove idle gangs without an update for RETENTION_US, and make active ones idle after that time."""
        while self._idle and next(iter(self._idle.values())).last_update_us <= now_us - RETENTION_US:
            self._evict_oldest()
        for gang in [g for g in self._active.values() if g.last_update_us <= now_us - RETENTION_US]:
            for local in gang.local.values():
                self.jobs.pop(local.job, None)
                local.phase = Phase.GONE if local.active else local.phase
            self.touch(gang.last_update_us, gang)
            self._idle.move_to_end(gang.name, last=False)

    def _evict_oldest(self) -> None:
        _, gang = self._idle.popitem(last=False)
        self.members -= len({*gang.local, *gang.remote})

    def _make_room(self, gang: Gang | None) -> None:
        """Evict idle gangs until one more member of this gang (None: a new one) fits. Raises GangsFull."""
        if gang and gang.name in self._idle:
            self._idle.move_to_end(gang.name)  # the gang itself must not be evicted
        while self.members >= self._max_members or (gang is None and len(self) >= self._max_gangs):
            if not self._idle or (gang and next(iter(self._idle.values())) is gang):
                what = f"the table is full with {len(self)} gangs and {self.members} members"
                raise GangsFull(
                    f"{what}, and no other gang can be evicted, as all have members under way here"
                )
            self._evict_oldest()
