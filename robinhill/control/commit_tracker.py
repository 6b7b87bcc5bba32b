"""Changes that this voter was told of, until they are in force: accepted by voters, gone by at observers.

Changes that come close together share a group: one barrier to each other voter, one answer from it. A change
is *accepted* once a majority of voters hold it (`robinhill.mesh.acceptance`); with kinds that serve, as soon
as it is stored. It is *in force* once each voter has said that none of its observers is behind; and, for
kinds that hold, once the bound is over since it was accepted, as then every lease that does not know it is.
"""

from dataclasses import dataclass, field

from robinhill.control.actions import Progressed
from robinhill.control.errors import ChangesFull
from robinhill.control.messages import MAX_LAGGING_NAMES, BarrierStatus
from robinhill.control.observer_progress import TrackedPosition
from robinhill.cordon.propagation import with_slack
from robinhill.mesh.acceptance import Acceptance
from robinhill.mesh.quorum import Quorum
from robinhill.mesh.records import Stamp

BATCH_INTERVAL_US = 20_000
"""From one group's barriers to the next one's of the same sort: what comes between shares them."""

MAX_BATCHES = 1_024
MAX_TRACKED_CHANGES = 8_192
"""Changes that may be followed at once. Beyond it the oldest accepted one is forgotten: under `serve` a
scheduler that was killed is waited for until an operator says that it runs no more."""


@dataclass(slots=True)
class ChangeBatch:
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
    queried: set[str] = field(default_factory=set)  # voters that have its barrier on the present link
    lagging: dict[str, tuple[int, tuple[str, ...]]] = field(default_factory=dict)  # by voter, as last told
    last_reported: tuple[bool, bool, int, tuple[str, ...]] | None = None
    dirty: bool = True  # something changed since it was looked at


class CommitTracker:
    """All groups that are under way at one voter."""

    def __init__(self, me: str, incarnation: int, bound_us: int, quorum: Quorum) -> None:
        self.me = me
        self.incarnation = incarnation
        self.quorum = quorum
        self.acceptance = Acceptance(quorum)
        self.batches: dict[int, ChangeBatch] = {}
        self._slack_us = with_slack(bound_us)
        self._changes = 0
        self._last = 0
        self._open: dict[tuple[bool, bool], ChangeBatch] = {}
        self._ended: list[ChangeBatch] = []

    def ensure_capacity(self) -> None:
        """Forget the oldest accepted group where another change could not be followed; to be called before
        one is written. Raises ChangesFull where none is accepted."""
        if self._changes < MAX_TRACKED_CHANGES and len(self.batches) < MAX_BATCHES:
            return
        for batch in self.batches.values():
            if batch.sealed and (batch.accepted_us is not None or not batch.hold):
                self._drop(batch)
                return
        raise ChangesFull(f"{self._changes} changes are waited for, none of them accepted")

    def track(self, mono_us: int, change: int, position: int, *, urgent: bool, hold: bool) -> None:
        """A change was stored here; it is the last of its sort in the log."""
        batch = self._open.get((urgent, hold))
        if batch is None or batch.sealed:
            self._last += 1
            stamp = Stamp(self._last, 0, self.me, self.incarnation)
            batch = ChangeBatch(self._last, urgent, hold, mono_us, position, [], stamp)
            self.batches[batch.number] = self._open[urgent, hold] = batch
            self.acceptance.follow(mono_us, stamp)
        batch.position = position
        batch.changes.append(change)
        self._changes += 1

    def seal_due_batches(self, mono_us: int) -> list[ChangeBatch]:
        """Groups whose barriers are due now: at once where none went out shortly before."""
        due = [batch for batch in self._open.values() if not batch.sealed and mono_us >= self._due_us(batch)]
        for batch in due:
            batch.sealed = batch.dirty = True
        return due

    def next_us(self) -> int | None:
        """When the clock alone changes something."""
        times = [self._due_us(batch) for batch in self._open.values() if not batch.sealed]
        times += [
            batch.accepted_us + self._slack_us
            for batch in self.batches.values()
            if batch.hold and batch.accepted_us is not None
        ]
        return min(times, default=None)

    def batches_to_query(self, voter: str, written: int) -> list[ChangeBatch]:
        """Groups of which a voter is to be asked now: changes up to ``written`` are on their way to it, in
        order before the question."""
        due = [
            batch
            for batch in self.batches.values()
            if batch.sealed and voter not in batch.queried and written >= batch.position
        ]
        for batch in due:
            batch.queried.add(voter)
        return due

    def record_own_status(self, mono_us: int, number: int, tracked: TrackedPosition, counts: bool) -> None:
        """How far our own observers are; ``counts``: we count for majorities."""
        batch = self.batches.get(number)
        if batch is None:
            return  # it was forgotten in this very call
        names = tuple(sorted(tracked.waiting)[:MAX_LAGGING_NAMES])
        batch.lagging[self.me] = len(tracked.waiting), names
        batch.dirty = True
        if counts:
            self._confirmed(mono_us, batch, self.me, self.incarnation)

    def record_status(self, mono_us: int, voter: str, status: BarrierStatus) -> None:
        """Another voter holds a group's changes, and says how far its observers are.

        `started` must have been told of the starts in it before.
        """
        batch = self.batches.get(status.number)
        if batch is None or voter not in self.quorum.names:
            return
        batch.lagging[voter] = status.behind, status.names
        batch.dirty = True
        if status.counts:
            self._confirmed(mono_us, batch, voter, status.incarnation)

    def voter_restarted(self, voter: str, incarnation: int) -> None:
        """A voter has started (again): what an earlier start of it confirmed counts no more."""
        self.acceptance.started(voter, incarnation)

    def voter_unlinked(self, voter: str) -> None:
        """The link to a voter is lost: what it said last may not be so any more once it is back."""
        for batch in self.batches.values():
            batch.queried.discard(voter)
            batch.lagging.pop(voter, None)
            batch.dirty = True

    def reconfigured(self, mono_us: int) -> None:
        """The list of voters has changed."""
        accepted = set(self.acceptance.review(mono_us))
        for batch in self.batches.values():
            batch.dirty = True
            if batch.stamp in accepted:
                batch.accepted_us = mono_us

    def collect_progress(self, mono_us: int) -> list[Progressed]:
        """News for who asked; groups that are in force are dropped, see `ended`."""
        reports: list[Progressed] = []
        for batch in list(self.batches.values()):
            if not batch.dirty and not self._leases_over(mono_us, batch):
                continue
            batch.dirty = False
            lagging, names = self._lagging(batch)
            accepted = batch.accepted_us is not None or not batch.hold
            batch.in_force = accepted and (not lagging or self._leases_over(mono_us, batch))
            lagging, names = (0, ()) if batch.in_force else (lagging, names)
            progress = accepted, batch.in_force, lagging, names
            if progress != batch.last_reported and (batch.sealed or batch.in_force):
                batch.last_reported = progress
                reports += [Progressed(change, *progress) for change in batch.changes]
            if batch.in_force:
                self._drop(batch)
        return reports

    def take_ended(self) -> list[ChangeBatch]:
        """Groups that were dropped since the last call, in force or not: nobody need tell more of them."""
        ended, self._ended = self._ended, []
        return ended

    def _due_us(self, batch: ChangeBatch) -> int:
        before = max(
            (
                one.opened_us
                for one in self.batches.values()
                if one.sealed and (one.urgent, one.hold) == (batch.urgent, batch.hold)
            ),
            default=batch.opened_us - BATCH_INTERVAL_US,
        )
        return before + BATCH_INTERVAL_US

    def _lagging(self, batch: ChangeBatch) -> tuple[int, tuple[str, ...]]:
        """Observers that are behind, and voters of which nothing is known."""
        unknown = sorted(self.quorum.names - batch.lagging.keys())
        names = [f"voter {name}" for name in unknown]
        for _, some in sorted(batch.lagging.values()):
            names += some
        return len(unknown) + sum(count for count, _ in batch.lagging.values()), tuple(
            names[:MAX_LAGGING_NAMES]
        )

    def _leases_over(self, mono_us: int, batch: ChangeBatch) -> bool:
        return batch.hold and batch.accepted_us is not None and mono_us >= batch.accepted_us + self._slack_us

    def _confirmed(self, mono_us: int, batch: ChangeBatch, voter: str, incarnation: int) -> None:
        if self.acceptance.confirmed(mono_us, voter, incarnation, batch.stamp):
            batch.accepted_us = mono_us

    def _drop(self, batch: ChangeBatch) -> None:
        del self.batches[batch.number]
        self._changes -= len(batch.changes)
        self.acceptance.forget(batch.stamp)
        self._ended.append(batch)
        key = batch.urgent, batch.hold
        if self._open.get(key) is batch and not batch.sealed:
            del self._open[key]
