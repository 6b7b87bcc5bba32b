"""Changes that this voter was given, tracked until they are in force at all schedulers.

Changes that come close together share a batch: one barrier to each other voter, one status from it. A change
is *accepted* once a majority of voters has stored it (`robinhill.mesh.acceptance`); with kinds that serve, as
soon as it is stored here. It is *in force* once each voter has reported that none of its observers lags; and,
for kinds that hold, once the bound has passed since it was accepted, as then every lease that does not cover
it has expired.
"""

from dataclasses import dataclass, field

from robinhill.control.actions import NONE_LAGGING, LaggingObservers, Progressed
from robinhill.control.errors import ChangesFull
from robinhill.control.messages import MAX_LAGGING_NAMES, BarrierStatus
from robinhill.control.observer_progress import TrackedPosition
from robinhill.cordon.propagation import with_slack
from robinhill.mesh.acceptance import Acceptance
from robinhill.mesh.quorum import Quorum
from robinhill.mesh.records import Stamp

BATCH_INTERVAL_US = 20_000
"""Least time between the barriers of two batches of the same sort."""

MAX_BATCHES = 1_024
MAX_TRACKED_CHANGES = 8_192
"""Past these the oldest accepted batch is dropped: under `serve` a scheduler that was killed is waited for
until an operator reports that it no longer runs."""


@dataclass(slots=True, frozen=True)
class BatchStatus:
    """Progress of a batch, as it is reported for each of its changes."""

    accepted: bool
    in_force: bool
    lagging: LaggingObservers


@dataclass(slots=True)
class ChangeBatch:
    """Changes that share a barrier.

    ``position``: of the last of them in this voter's log. ``sealed``: its barriers are sent, no change is
    added any more. ``queried``: voters that were sent its barrier on their present link. ``lagging``: the
    last status by voter. ``dirty``: something has changed since the last report.
    """

    number: int
    urgent: bool
    hold: bool
    opened_us: int
    position: int
    changes: list[int]
    stamp: Stamp
    sealed: bool = False
    accepted_us: int | None = None
    in_force: bool = False
    queried: set[str] = field(default_factory=set)
    lagging: dict[str, LaggingObservers] = field(default_factory=dict)
    last_reported: BatchStatus | None = None
    dirty: bool = True


class CommitTracker:
    """All batches that are not in force yet at one voter. Times: monotonic microseconds."""

    def __init__(self, me: str, incarnation: int, bound_us: int, quorum: Quorum) -> None:
        self.me = me
        self.incarnation = incarnation
        self.quorum = quorum
        self.acceptance = Acceptance(quorum)
        self.batches: dict[int, ChangeBatch] = {}
        self._lease_us = with_slack(bound_us)
        self._tracked_changes = 0
        self._last_number = 0
        self._newest: dict[tuple[bool, bool], ChangeBatch] = {}  # by urgency and hold
        self._ended: list[ChangeBatch] = []

    # Changes

    def ensure_capacity(self) -> None:
        """Make room for a change by dropping the oldest accepted batch; to be called before a write.

        Raises ChangesFull where none is accepted.
        """
        if self._tracked_changes < MAX_TRACKED_CHANGES and len(self.batches) < MAX_BATCHES:
            return
        for batch in self.batches.values():
            if batch.sealed and (batch.accepted_us is not None or not batch.hold):
                self._drop(batch)
                return
        raise ChangesFull(f"{self._tracked_changes} changes are waited for, none of them accepted")

    def track(self, mono_us: int, change: int, position: int, *, urgent: bool, hold: bool) -> None:
        """Track a change that was stored here at ``position``, the last one of its urgency in the log."""
        batch = self._newest.get((urgent, hold))
        if batch is None or batch.sealed:
            self._last_number += 1
            stamp = Stamp(self._last_number, 0, self.me, self.incarnation)
            batch = ChangeBatch(self._last_number, urgent, hold, mono_us, position, [], stamp)
            self.batches[batch.number] = self._newest[urgent, hold] = batch
            self.acceptance.follow(mono_us, stamp)
        batch.position = position
        batch.changes.append(change)
        self._tracked_changes += 1

    def seal_due_batches(self, mono_us: int) -> list[ChangeBatch]:
        """Seal the batches whose barriers are due: at once where none was sent shortly before."""
        due = [
            batch
            for batch in self._newest.values()
            if not batch.sealed and mono_us >= self._seal_due_us(batch)
        ]
        for batch in due:
            batch.sealed = batch.dirty = True
        return due

    def next_us(self) -> int | None:
        """When the clock alone changes something."""
        times = [self._seal_due_us(batch) for batch in self._newest.values() if not batch.sealed]
        times += [
            batch.accepted_us + self._lease_us
            for batch in self.batches.values()
            if batch.hold and batch.accepted_us is not None
        ]
        return min(times, default=None)

    # What voters report

    def batches_to_query(self, voter: str, written: int) -> list[ChangeBatch]:
        """Batches whose barrier is to be sent to a voter now: changes up to ``written`` are sent before
        it."""
        due = [
            batch
            for batch in self.batches.values()
            if batch.sealed and voter not in batch.queried and written >= batch.position
        ]
        for batch in due:
            batch.queried.add(voter)
        return due

    def record_own_status(self, mono_us: int, number: int, tracked: TrackedPosition, counts: bool) -> None:
        """Record how many of our own observers lag; ``counts``: we count for majorities."""
        batch = self.batches.get(number)
        if batch is None:
            return  # dropped during the same call
        batch.lagging[self.me] = tracked.lagging()
        batch.dirty = True
        if counts:
            self._confirmed(mono_us, batch, self.me, self.incarnation)

    def record_status(self, mono_us: int, voter: str, status: BarrierStatus) -> None:
        """Record that another voter has stored a batch, and how many of its observers lag.

        `voter_restarted` must have been called for the incarnations in it before.
        """
        batch = self.batches.get(status.number)
        if batch is None or voter not in self.quorum.names:
            return
        batch.lagging[voter] = LaggingObservers(status.lagging_count, status.lagging_names)
        batch.dirty = True
        if status.counts:
            self._confirmed(mono_us, batch, voter, status.incarnation)

    def voter_restarted(self, voter: str, incarnation: int) -> None:
        """A voter has a new incarnation: what an earlier one confirmed no longer counts."""
        self.acceptance.started(voter, incarnation)

    def voter_unlinked(self, voter: str) -> None:
        """The link to a voter is lost: its last status may no longer be true once it is back."""
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

    # What is reported

    def collect_progress(self, mono_us: int) -> list[Progressed]:
        """Changes whose status differs from the last report; batches that are in force are dropped."""
        reports: list[Progressed] = []
        for batch in list(self.batches.values()):
            if not batch.dirty and not self._leases_expired(mono_us, batch):
                continue
            batch.dirty = False
            status = self._status(mono_us, batch)
            batch.in_force = status.in_force
            if status != batch.last_reported and (batch.sealed or batch.in_force):
                batch.last_reported = status
                reports += [
                    Progressed(change, status.accepted, status.in_force, status.lagging)
                    for change in batch.changes
                ]
            if batch.in_force:
                self._drop(batch)
        return reports

    def take_ended(self) -> list[ChangeBatch]:
        """Batches that were dropped since the last call, in force or not: their barriers end."""
        ended, self._ended = self._ended, []
        return ended

    def _status(self, mono_us: int, batch: ChangeBatch) -> BatchStatus:
        lagging = self._lagging(batch)
        accepted = batch.accepted_us is not None or not batch.hold
        in_force = accepted and (not lagging.count or self._leases_expired(mono_us, batch))
        return BatchStatus(accepted, in_force, NONE_LAGGING if in_force else lagging)

    def _lagging(self, batch: ChangeBatch) -> LaggingObservers:
        """Observers that lag, and voters without a status."""
        unknown = sorted(self.quorum.names - batch.lagging.keys())
        names = [f"voter {name}" for name in unknown]
        for lagging in sorted(batch.lagging.values(), key=lambda one: (one.count, one.names)):
            names += lagging.names
        count = len(unknown) + sum(lagging.count for lagging in batch.lagging.values())
        return LaggingObservers(count, tuple(names[:MAX_LAGGING_NAMES]))

    def _leases_expired(self, mono_us: int, batch: ChangeBatch) -> bool:
        """Whether every lease that does not cover an accepted batch has expired."""
        return batch.hold and batch.accepted_us is not None and mono_us >= batch.accepted_us + self._lease_us

    def _seal_due_us(self, batch: ChangeBatch) -> int:
        last_opened_us = max(
            (
                one.opened_us
                for one in self.batches.values()
                if one.sealed and (one.urgent, one.hold) == (batch.urgent, batch.hold)
            ),
            default=batch.opened_us - BATCH_INTERVAL_US,
        )
        return last_opened_us + BATCH_INTERVAL_US

    def _confirmed(self, mono_us: int, batch: ChangeBatch, voter: str, incarnation: int) -> None:
        if self.acceptance.confirmed(mono_us, voter, incarnation, batch.stamp):
            batch.accepted_us = mono_us

    def _drop(self, batch: ChangeBatch) -> None:
        del self.batches[batch.number]
        self._tracked_changes -= len(batch.changes)
        self.acceptance.forget(batch.stamp)
        self._ended.append(batch)
        sort = batch.urgent, batch.hold
        if self._newest.get(sort) is batch and not batch.sealed:
            del self._newest[sort]
