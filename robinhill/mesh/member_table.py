"""The states of all members as this scheduler knows them, and the gossip that spreads them.

This module contains the rules by which one update supersedes another (SWIM's incarnations, suspicion and
refutation) and by which a suspicion ends. ``failure_detector`` sends the messages, and its description names
the publications that the rules are from. A *refutation* is a member's own update, with a larger refutation
count, that supersedes a suspicion of the member.
"""

import heapq
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinhill.mesh.failure_detector_actions import Action, DuplicateName, MemberStateChanged
from robinhill.mesh.failure_detector_options import FailureDetectorOptions
from robinhill.mesh.swim_messages import MemberState, MemberUpdate

MAX_REPORTERS = 8  # names of reporters stored for each suspect
MIN_MEMBERS_FOR_SUSPICION = 10  # fewer members use the suspicion time of 10: a shorter time has no benefit
MIN_GOSSIP_SENDS = 3  # each update is sent at least this many times


@dataclass(slots=True)
class Member:
    """The state of one member. ``incarnation`` is 0 until a message was received from or about the member.

    ``refutations``: how many suspicions the member has refuted in this incarnation. ``last_received_us``: the
    monotonic time when a message was last received from the member directly, None if never. ``suspected_us``:
    the monotonic time when it last became suspect. ``verified``: whether this scheduler has pinged the
    suspect again shortly before the suspicion ends, and has received no message from it after that ping.
    ``reporters``: the names of the members that suspect it, without duplicates.
    """

    state: MemberState = MemberState.DEAD
    incarnation: int = 0
    refutations: int = 0
    last_received_us: int | None = None
    suspected_us: int = 0
    verified: bool = False
    reporters: list[str] = field(default_factory=list)

    def received_within(self, mono_us: int, us: int) -> bool:
        """Whether a message was received from the member directly in the last ``us`` microseconds."""
        return self.last_received_us is not None and mono_us - self.last_received_us < us


class MemberTable:
    """The states of all configured peers of ``me``, its own incarnation, and the updates to gossip.

    The table appends changes of state to ``actions``, which the failure detector returns to its owner.
    """

    def __init__(
        self,
        me: str,
        incarnation: int,
        options: FailureDetectorOptions,
        rng: random.Random,
        actions: list[Action],
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.refutations = 0
        self.leaving = False
        self.options = options
        self.members: dict[str, Member] = {}
        self.suspects: dict[str, None] = {}  # in the order in which they became suspect
        self.suspicion_us = 0  # time to refute a suspicion by a single reporter
        self._rng = rng
        self._actions = actions
        self._gossip: dict[str, int] = {me: 0}  # by member whose state is gossiped: number of sends
        self._max_gossip_sends = MIN_GOSSIP_SENDS

    def reload(self, names: Iterable[str]) -> list[str]:
        """Use a new list of peers; peers in both lists keep their state. Returns the added peers, sorted."""
        others = sorted(set(names) - {self.me})
        new = [name for name in others if name not in self.members]
        self.members = {name: self.members.get(name) or Member() for name in others}
        self._gossip = {
            name: sent for name, sent in self._gossip.items() if name in self.members or name == self.me
        }
        self.suspects = {name: None for name in self.suspects if name in self.members}
        sends = math.ceil(self.options.gossip_factor * math.log2(len(others) + 2))
        self._max_gossip_sends = max(MIN_GOSSIP_SENDS, sends)
        size = max(MIN_MEMBERS_FOR_SUSPICION, len(others) + 1)
        self.suspicion_us = round(self.options.suspicion_periods * math.log10(size) * self.options.period_us)
        return new

    # Changes

    def received_from(self, mono_us: int, peer: str, incarnation: int) -> None:
        """Record that a message was received from a peer directly, and the incarnation that sent it."""
        member = self.members[peer]
        if incarnation < member.incarnation:
            return  # a late message of the peer's previous process
        if incarnation > member.incarnation:
            member.incarnation, member.refutations = incarnation, 0
            self.change(peer, MemberState.ALIVE)
        member.last_received_us = mono_us
        member.verified = False  # a member that is still suspect must be pinged again before it becomes dead

    def change(self, name: str, state: MemberState) -> None:
        """Set a member's state and gossip the state; add an action only if the state has changed."""
        member = self.members[name]
        if member.state is not state:
            member.state = state
            self._actions.append(MemberStateChanged(name, state))
        member.verified = False
        if state is MemberState.SUSPECT:
            self.suspects[name] = None
        else:
            self.suspects.pop(name, None)
            member.reporters = []
        self._gossip[name] = 0

    def suspect(self, mono_us: int, name: str, reporter: str) -> None:
        """Mark a member as suspect. ``reporter``: the member that suspects it, empty if unknown."""
        member = self.members[name]
        member.suspected_us = mono_us
        member.reporters = [reporter] if reporter else []
        self.change(name, MemberState.SUSPECT)

    def add_reporter(self, name: str, reporter: str) -> None:
        """Record that another member suspects ``name`` too, which shortens the time to refute the suspicion.

        An empty or repeated ``reporter`` is ignored.
        """
        reporters = self.members[name].reporters
        if reporter and reporter not in reporters and len(reporters) < MAX_REPORTERS:
            reporters.append(reporter)
            if len(reporters) <= self.options.max_reporters + 1:
                self._gossip[name] = 0

    def suspicion_ends_us(self, member: Member) -> int:
        """Return the monotonic time when a suspect becomes dead unless it refutes the suspicion.

        The time to refute restarts whenever a message is received from the suspect directly, whatever other
        members report.
        """
        reported = min(1.0, max(0, len(member.reporters) - 1) / self.options.max_reporters)
        factor = 1.0 - (1.0 - self.options.min_suspicion_factor) * reported
        since_us = max(member.suspected_us, member.last_received_us or member.suspected_us)
        return since_us + round(self.suspicion_us * factor)

    def postpone(self, us: int) -> None:
        """Postpone the end of all suspicions by ``us``, the duration of a pause of this process."""
        for member in self.members.values():
            member.suspected_us += us

    # Gossip

    @property
    def has_gossip(self) -> bool:
        """Whether there are updates to send."""
        return bool(self._gossip)

    def leave(self) -> None:
        """Gossip that this scheduler has left, at its shutdown."""
        self.leaving = True
        self._gossip[self.me] = 0

    def gossip(self, reader: str | None = None) -> tuple[MemberUpdate, ...]:
        """Return the updates for the next message, at most ``max_updates``; the least often sent are first.

        ``reader``: the receiver of the message, None if the message has several receivers. If the reader is
        suspect, dead or left, its own state is added as the first update, so that it can refute that state.
        """
        chosen = heapq.nsmallest(
            self.options.max_updates, self._gossip, key=lambda name: (self._gossip[name], name)
        )
        for name in chosen:
            self._gossip[name] += 1
            if self._gossip[name] >= self._max_gossip_sends:
                del self._gossip[name]
        if reader is not None and self._must_refute(reader):
            chosen = [reader, *(name for name in chosen if name != reader)]
        return tuple(self.update_of(name) for name in chosen)

    def all_updates(self) -> tuple[MemberUpdate, ...]:
        """Return updates on all known members, for a peer that has just started.

        The updates take some 6 KB for 200 members.
        """
        known = [name for name, member in self.members.items() if member.incarnation]
        return tuple(self.update_of(name) for name in [self.me, *known])

    def update_of(self, name: str) -> MemberUpdate:
        """Return the current state of a member, or of this scheduler, as an update."""
        if name == self.me:
            state = MemberState.LEFT if self.leaving else MemberState.ALIVE
            return MemberUpdate(name, state, self.incarnation, self.refutations)
        member = self.members[name]
        reporter = ""
        if member.state is MemberState.SUSPECT:
            # An update names one reporter only; a random choice spreads the names of all reporters over time.
            reporter = self._rng.choice(member.reporters) if member.reporters else self.me
        return MemberUpdate(name, member.state, member.incarnation, member.refutations, reporter)

    def apply(self, mono_us: int, updates: Iterable[MemberUpdate]) -> None:
        """Merge updates from another member; malformed updates and updates on unknown names are ignored."""
        for update in updates:
            if not update.is_valid:
                continue
            if update.name == self.me:
                self._apply_to_self(update)
            elif update.name in self.members:
                self._apply_to_other(mono_us, update)

    def _must_refute(self, name: str) -> bool:
        """Whether a member must be informed of its own state because that state is suspect, dead or left."""
        member = self.members.get(name)
        return member is not None and member.incarnation > 0 and member.state is not MemberState.ALIVE

    def _apply_to_self(self, update: MemberUpdate) -> None:
        if update.incarnation > self.incarnation:
            self._actions.append(DuplicateName(update.incarnation))
            return
        disputed = update.state != MemberState.ALIVE
        if not self.leaving and update.version >= (self.incarnation, self.refutations):
            # No other member should report a larger refutation count than our own. Adopting the larger count
            # makes our later refutations win.
            self.refutations = update.refutations + disputed
        if disputed:
            # Updates that were refuted before cause gossip too: their sender has missed the refutation.
            self._gossip[self.me] = 0

    def _apply_to_other(self, mono_us: int, update: MemberUpdate) -> None:
        name, member = update.name, self.members[update.name]
        state = MemberState(update.state)
        same_incarnation = update.incarnation == member.incarnation
        alive_here = same_incarnation and member.received_within(mono_us, self.options.recent_us)
        if state is MemberState.DEAD and alive_here:
            state = MemberState.SUSPECT  # a message was recently received from the member, so it may refute
        known, reported = (member.incarnation, member.refutations), update.version
        if reported == known and state is MemberState.SUSPECT is member.state:
            self.add_reporter(name, update.reporter)
        if member.state is MemberState.LEFT and same_incarnation:
            return  # the member itself reported that it left: the state is final for this incarnation
        supersedes = reported > known or (reported == known and state > member.state)
        leaves = state is MemberState.LEFT and update.incarnation >= member.incarnation
        if not (supersedes or leaves):
            return
        member.incarnation, member.refutations = max(known, reported)
        if state is MemberState.SUSPECT:
            self.suspect(mono_us, name, update.reporter)
        else:
            self.change(name, state)
