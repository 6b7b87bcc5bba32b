"""Tracks the changes that this voter receives from its caller or its observers until they are in force at all
schedulers.

Changes that arrive in quick succession share a batch. For each batch, this voter sends one *barrier* to each
other voter: a request to report how many of the receiver's observers *lag*, that is, have not applied the
batch's changes yet. The reply is a *status*. A scheduler has a lease while the state of a majority of voters
that the scheduler knows is not older than the configured *bound*. Two modes determine what a scheduler does
while it has no lease: it sends no jobs (`hold`), or it continues to send (`serve`).

A change is *accepted* once a majority of voters has stored it (`robinhill.mesh.acceptance`); under `serve`,
as soon as this voter has stored it. An accepted change is *in force* once each voter has reported that none
of its observers lags. Under `hold` it is also in force once the bound, with margins for clock drift and for
jobs in transit to a worker (`with_slack`), has passed since it was accepted, as by then the lease of every
observer that may not know the change has expired.
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
"""Minimum interval between the barriers of two batches of equal urgency and mode."""

MAX_BATCHES = 1_024
MAX_TRACKED_CHANGES = 8_192
"""At either limit the oldest accepted batch is dropped, and its progress is no longer reported. Without a
limit batches could accumulate: under `serve` a batch waits for a scheduler that was killed until an operator
reports that the scheduler no longer runs."""


@dataclass(slots=True, frozen=True)
class BatchStatus:
    """Progress of a batch, which is reported for each of its changes."""

    accepted: bool
    in_force: bool
    lagging: LaggingObservers


@dataclass(slots=True)
class ChangeBatch:
    """Changes that share a barrier.

    ``urgent``: all changes are of urgent kinds. ``hold``: the mode of the changes is `hold`, otherwise
    `serve`. ``opened_us``: when the first change was added. ``position``: position of the batch's last change
    in this voter's log. ``changes``: the numbers of the changes. ``stamp``: identifies the batch in
    `Acceptance`. ``sealed``: the batch's barriers are due, so no change is added any more. ``accepted_us``:
    when this voter found that a majority had stored the changes; None before then. ``queried``: voters that
    were sent the barrier on their present link. ``lagging``: the lagging observers in the last status of each
    voter. ``last_reported``: the status in the last progress report; None if there was no report. ``dirty``:
    the status may have changed since the status was last evaluated for a report.
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
    """The batches of one voter that are not in force yet. Times are monotonic microseconds."""

    def __init__(self, own_name: str, incarnation: int, bound_us: int, quorum: Quorum) -> None:
        self.own_name = own_name
        self.incarnation = incarnation
        self.quorum = quorum
        self.acceptance = Acceptance(quorum)
        self.batches: dict[int, ChangeBatch] = {}
        self._lease_us = with_slack(bound_us)
        self._tracked_changes = 0
        self._last_number = 0
        self._newest: dict[tuple[bool, bool], ChangeBatch] = {}  # newest batch for each (urgent, hold)
        self._ended: list[ChangeBatch] = []

    # Changes

    def ensure_capacity(self) -> None:
        """Drop the oldest accepted batch if `MAX_BATCHES` or `MAX_TRACKED_CHANGES` is reached.

        The caller calls this before each write. Raises ChangesFull if a limit is reached and no batch is
        accepted.
        """
        if self._tracked_changes < MAX_TRACKED_CHANGES and len(self.batches) < MAX_BATCHES:
            return
        for batch in self.batches.values():
            if batch.sealed and (batch.accepted_us is not None or not batch.hold):
                self._drop(batch)
                return
        raise ChangesFull(f"{self._tracked_changes} changes are pending, none of them accepted")

    def track(self, mono_us: int, change: int, position: int, *, urgent: bool, hold: bool) -> None:
        """Add a change that this voter has stored to a batch of equal urgency and mode.

        ``change``: number of the change. ``position``: position of the latest change of equal urgency in this
        voter's log, read after the change was stored. ``urgent``, ``hold``: as in `ChangeBatch`.
        """
        batch = self._newest.get((urgent, hold))
        if batch is None or batch.sealed:
            self._last_number += 1
            stamp = Stamp(self._last_number, 0, self.own_name, self.incarnation)
            batch = ChangeBatch(self._last_number, urgent, hold, mono_us, position, [], stamp)
            self.batches[batch.number] = self._newest[urgent, hold] = batch
            self.acceptance.track(mono_us, stamp)
        batch.position = position
        batch.changes.append(change)
        self._tracked_changes += 1

    def seal_due_batches(self, mono_us: int) -> list[ChangeBatch]:
        """Seal and return the batches whose barriers are due.

        A batch is due at once unless an earlier batch of equal urgency and mode, which is still tracked, was
        opened less than `BATCH_INTERVAL_US` ago.
        """
        due = [
            batch
            for batch in self._newest.values()
            if not batch.sealed and mono_us >= self._seal_due_us(batch)
        ]
        for batch in due:
            batch.sealed = batch.dirty = True
        return due

    def next_us(self) -> int | None:
        """Time at which the next batch is due to be sealed, or is in force because leases have expired.

        None if there is no such batch.
        """
        times = [self._seal_due_us(batch) for batch in self._newest.values() if not batch.sealed]
        times += [
            batch.accepted_us + self._lease_us
            for batch in self.batches.values()
            if batch.hold and batch.accepted_us is not None
        ]
        return min(times, default=None)

    # Statuses of voters

    def batches_to_query(self, voter: str, written_position: int) -> list[ChangeBatch]:
        """Return the batches whose barrier must now be sent to a voter, and mark them as queried.

        ``written_position``: position up to which all changes were sent to the voter.
        """
        due = [
            batch
            for batch in self.batches.values()
            if batch.sealed and voter not in batch.queried and written_position >= batch.position
        ]
        for batch in due:
            batch.queried.add(voter)
        return due

    def record_own_status(self, mono_us: int, number: int, tracked: TrackedPosition, counts: bool) -> None:
        """Record which observers of this voter have not applied the changes of batch ``number`` yet.

        ``counts``: this voter counts for majorities, so its own copy of the changes confirms the batch.
        """
        batch = self.batches.get(number)
        if batch is None:
            return  # the batch was dropped earlier in the same call of the state machine
        batch.lagging[self.own_name] = tracked.lagging()
        batch.dirty = True
        if counts:
            self._confirmed(mono_us, batch, self.own_name, self.incarnation)

    def record_status(self, mono_us: int, voter: str, status: BarrierStatus) -> None:
        """Record that another voter has stored the changes of a batch, and how many of its observers lag.

        The caller must first call `voter_restarted` for the incarnations in the status.
        """
        batch = self.batches.get(status.number)
        if batch is None or voter not in self.quorum.names:
            return
        batch.lagging[voter] = LaggingObservers(status.lagging_count, status.lagging_names)
        batch.dirty = True
        if status.counts:
            self._confirmed(mono_us, batch, voter, status.incarnation)

    def voter_restarted(self, voter: str, incarnation: int) -> None:
        """Discard the confirmations that earlier incarnations of a voter sent."""
        self.acceptance.started(voter, incarnation)

    def voter_unlinked(self, voter: str) -> None:
        """Discard the statuses of a voter whose link is lost, as the statuses may be outdated once the voter
        reconnects.

        All barriers are sent to the voter again on the next link.
        """
        for batch in self.batches.values():
            batch.queried.discard(voter)
            batch.lagging.pop(voter, None)
            batch.dirty = True

    def reconfigured(self, mono_us: int) -> None:
        """Evaluate the acceptance of all batches again, as the lists of voters in use have changed."""
        accepted = set(self.acceptance.reevaluate(mono_us))
        for batch in self.batches.values():
            batch.dirty = True
            if batch.stamp in accepted:
                batch.accepted_us = mono_us

    # Reports

    def collect_progress(self, mono_us: int) -> list[Progressed]:
        """Return the progress of changes whose status has changed since the last report.

        Batches that are in force are dropped.
        """
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
        """Remove and return the batches that were dropped since the last call, whether in force or not.

        The caller informs the other voters that the barriers of these batches have ended.
        """
        ended, self._ended = self._ended, []
        return ended

    def _status(self, mono_us: int, batch: ChangeBatch) -> BatchStatus:
        lagging = self._lagging(batch)
        accepted = batch.accepted_us is not None or not batch.hold
        in_force = accepted and (not lagging.count or self._leases_expired(mono_us, batch))
        return BatchStatus(accepted, in_force, NONE_LAGGING if in_force else lagging)

    def _lagging(self, batch: ChangeBatch) -> LaggingObservers:
        """Return the lagging observers of all voters, and the voters that have not reported a status."""
        unreported = sorted(self.quorum.names - batch.lagging.keys())
        names = [f"voter {name}" for name in unreported]
        for lagging in sorted(batch.lagging.values(), key=lambda one: (one.count, one.names)):
            names += lagging.names
        count = len(unreported) + sum(lagging.count for lagging in batch.lagging.values())
        return LaggingObservers(count, tuple(names[:MAX_LAGGING_NAMES]))

    def _leases_expired(self, mono_us: int, batch: ChangeBatch) -> bool:
        """Whether a batch of the mode `hold` is accepted, and every lease of an observer that may not know
        the batch's changes has expired."""
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
        urgent_and_hold = batch.urgent, batch.hold
        if self._newest.get(urgent_and_hold) is batch and not batch.sealed:
            del self._newest[urgent_and_hold]
