"""Changes that this voter was told of, until they are in force: accepted by voters, gone by at observers.

Changes that come close together share a group: one barrier to each other voter, one answer from it. A change
is *accepted* once a majority of voters hold it (`robinhill.mesh.acceptance`); with kinds that serve, as soon
as it is stored. It is *in force* once each voter has said that none of its observers is behind; and, for
kinds that hold, once the bound is over since it was accepted, as then every lease that does not know it is.
"""

from dataclasses import dataclass, field

from robinhill.control.actions import Progressed
from robinhill.control.errors import ChangesFull
from robinhill.control.messages import NAMES_AT_MOST, BarrierStatus
from robinhill.control.observer_progress import Mark
from robinhill.cordon.propagation import with_slack
from robinhill.mesh.acceptance import Acceptance
from robinhill.mesh.quorum import Quorum
from robinhill.mesh.records import Stamp

GROUP_US = 20_000
"""From one group's barriers to the next one's of the same sort: what comes between shares them."""

GROUPS_AT_MOST = 1_024
CHANGES_AT_MOST = 8_192
"""Changes that may be followed at once. Beyond it the oldest accepted one is forgotten: under `serve` a
scheduler that was killed is waited for until an operator says that it runs no more."""


@dataclass(slots=True)
class Group:
    """Changes that share a barrier. ``position``: of the last of them in this voter's log."""

    number: int
    urgent: bool
    hold: bool
    opened_us: int
    position: int
    changes: list[int]
    stamp: Stamp
    sealed: bool = False  # its barriers are out, nothing more joins it
    accepted_us: int | None = None
    in_force: bool = False
    asked: set[str] = field(default_factory=set)  # voters that have its barrier on the present link
    behind: dict[str, tuple[int, tuple[str, ...]]] = field(default_factory=dict)  # by voter, as last told
    told: tuple[bool, bool, int, tuple[str, ...]] | None = None
    news: bool = True  # something changed since it was looked at


class Following:
    """All groups that are under way at one voter."""

    def __init__(self, me: str, incarnation: int, bound_us: int, quorum: Quorum) -> None:
        self.me = me
        self.incarnation = incarnation
        self.quorum = quorum
        self.acceptance = Acceptance(quorum)
        self.groups: dict[int, Group] = {}
        self._slack_us = with_slack(bound_us)
        self._changes = 0
        self._last = 0
        self._open: dict[tuple[bool, bool], Group] = {}
        self._ended: list[Group] = []

    def make_room(self) -> None:
        """Forget the oldest accepted group where another change could not be followed; to be called before
        one is written. Raises ChangesFull where none is accepted."""
        if self._changes < CHANGES_AT_MOST and len(self.groups) < GROUPS_AT_MOST:
            return
        for group in self.groups.values():
            if group.sealed and (group.accepted_us is not None or not group.hold):
                self._drop(group)
                return
        raise ChangesFull(f"{self._changes} changes are waited for, none of them accepted")

    def follow(self, mono_us: int, change: int, position: int, *, urgent: bool, hold: bool) -> None:
        """A change was stored here; it is the last of its sort in the log."""
        group = self._open.get((urgent, hold))
        if group is None or group.sealed:
            self._last += 1
            stamp = Stamp(self._last, 0, self.me, self.incarnation)
            group = Group(self._last, urgent, hold, mono_us, position, [], stamp)
            self.groups[group.number] = self._open[urgent, hold] = group
            self.acceptance.follow(mono_us, stamp)
        group.position = position
        group.changes.append(change)
        self._changes += 1

    def to_seal(self, mono_us: int) -> list[Group]:
        """Groups whose barriers are due now: at once where none went out shortly before."""
        due = [group for group in self._open.values() if not group.sealed and mono_us >= self._due_us(group)]
        for group in due:
            group.sealed = group.news = True
        return due

    def next_us(self) -> int | None:
        """When the clock alone changes something."""
        times = [self._due_us(group) for group in self._open.values() if not group.sealed]
        times += [
            group.accepted_us + self._slack_us
            for group in self.groups.values()
            if group.hold and group.accepted_us is not None
        ]
        return min(times, default=None)

    def to_ask(self, voter: str, written: int) -> list[Group]:
        """Groups of which a voter is to be asked now: changes up to ``written`` are on their way to it, in
        order before the question."""
        due = [
            group
            for group in self.groups.values()
            if group.sealed and voter not in group.asked and written >= group.position
        ]
        for group in due:
            group.asked.add(voter)
        return due

    def own(self, mono_us: int, number: int, mark: Mark, counts: bool) -> None:
        """How far our own observers are; ``counts``: we count for majorities."""
        group = self.groups.get(number)
        if group is None:
            return  # it was forgotten in this very call
        names = tuple(sorted(mark.waiting)[:NAMES_AT_MOST])
        group.behind[self.me] = len(mark.waiting), names
        group.news = True
        if counts:
            self._confirmed(mono_us, group, self.me, self.incarnation)

    def said(self, mono_us: int, voter: str, status: BarrierStatus) -> None:
        """Another voter holds a group's changes, and says how far its observers are.

        `started` must have been told of the starts in it before.
        """
        group = self.groups.get(status.number)
        if group is None or voter not in self.quorum.names:
            return
        group.behind[voter] = status.behind, status.names
        group.news = True
        if status.counts:
            self._confirmed(mono_us, group, voter, status.incarnation)

    def started(self, voter: str, incarnation: int) -> None:
        """A voter has started (again): what an earlier start of it confirmed counts no more."""
        self.acceptance.started(voter, incarnation)

    def unlinked(self, voter: str) -> None:
        """The link to a voter is lost: what it said last may not be so any more once it is back."""
        for group in self.groups.values():
            group.asked.discard(voter)
            group.behind.pop(voter, None)
            group.news = True

    def reconfigured(self, mono_us: int) -> None:
        """The list of voters has changed."""
        accepted = set(self.acceptance.review(mono_us))
        for group in self.groups.values():
            group.news = True
            if group.stamp in accepted:
                group.accepted_us = mono_us

    def review(self, mono_us: int) -> list[Progressed]:
        """News for who asked; groups that are in force are dropped, see `ended`."""
        news: list[Progressed] = []
        for group in list(self.groups.values()):
            if not group.news and not self._leases_over(mono_us, group):
                continue
            group.news = False
            behind, names = self._behind(group)
            accepted = group.accepted_us is not None or not group.hold
            group.in_force = accepted and (not behind or self._leases_over(mono_us, group))
            behind, names = (0, ()) if group.in_force else (behind, names)
            now = accepted, group.in_force, behind, names
            if now != group.told and (group.sealed or group.in_force):
                group.told = now
                news += [Progressed(change, *now) for change in group.changes]
            if group.in_force:
                self._drop(group)
        return news

    def ended(self) -> list[Group]:
        """Groups that were dropped since the last call, in force or not: nobody need tell more of them."""
        ended, self._ended = self._ended, []
        return ended

    def _due_us(self, group: Group) -> int:
        before = max(
            (
                one.opened_us
                for one in self.groups.values()
                if one.sealed and (one.urgent, one.hold) == (group.urgent, group.hold)
            ),
            default=group.opened_us - GROUP_US,
        )
        return before + GROUP_US

    def _behind(self, group: Group) -> tuple[int, tuple[str, ...]]:
        """Observers that are behind, and voters of which nothing is known."""
        unknown = sorted(self.quorum.names - group.behind.keys())
        names = [f"voter {name}" for name in unknown]
        for _, told in sorted(group.behind.values()):
            names += told
        return len(unknown) + sum(count for count, _ in group.behind.values()), tuple(names[:NAMES_AT_MOST])

    def _leases_over(self, mono_us: int, group: Group) -> bool:
        return group.hold and group.accepted_us is not None and mono_us >= group.accepted_us + self._slack_us

    def _confirmed(self, mono_us: int, group: Group, voter: str, incarnation: int) -> None:
        if self.acceptance.confirmed(mono_us, voter, incarnation, group.stamp):
            group.accepted_us = mono_us

    def _drop(self, group: Group) -> None:
        del self.groups[group.number]
        self._changes -= len(group.changes)
        self.acceptance.forget(group.stamp)
        self._ended.append(group)
        key = group.urgent, group.hold
        if self._open.get(key) is group and not group.sealed:
            del self._open[key]
