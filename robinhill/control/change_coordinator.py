"""Coordinates the changes tracked at a voter: exchanges barriers and statuses with the other voters, and
reports progress to the writer of each change.

Observers are schedulers; a change is *in force* once no scheduler can send jobs without knowing the change. A
*batch* is a group of changes that share a barrier. A *barrier* asks a voter which of its observers lag, that
is, have not applied the batch's changes yet; a *status* is the reply. This module connects the
`CommitTracker`, which determines whether this voter's changes are in force, with `ObserverProgress`, which
tracks the observers of this voter that lag, for the barriers of this voter and of the other voters. This
module stores the requester of each change, but no records.
"""

from collections.abc import Callable
from dataclasses import dataclass

from robinhill.control import messages as wire
from robinhill.control.actions import Link, Progressed
from robinhill.control.commit_tracker import CommitTracker
from robinhill.control.observer_progress import BarrierId, ObserverProgress
from robinhill.control.observer_sessions import ObserverSessions
from robinhill.control.outbox import VoterOutbox
from robinhill.control.voter_links import GreetedVoter, VoterLinks

STATUS_INTERVAL_US = 50_000
"""Minimum interval between two statuses of the same barrier while observers lag."""


@dataclass(slots=True, frozen=True)
class Requester:
    """The origin of a change: an observer's link, and the number that the observer gave the change.

    ``link`` None: the caller of this voter's state machine wrote the change, and ``number`` is unused.
    """

    link: Link | None
    number: int


LOCAL_CALLER = Requester(None, 0)


class ChangeCoordinator:
    """Coordinates the changes tracked at one voter.

    ``counts`` returns whether this voter counts for majorities, which it does once it knows all changes that
    a majority of voters has ever stored.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        commit_tracker: CommitTracker,
        observer_progress: ObserverProgress,
        voter_links: VoterLinks,
        sessions: ObserverSessions,
        outbox: VoterOutbox,
        counts: Callable[[], bool],
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.commit_tracker = commit_tracker
        self.observer_progress = observer_progress
        self._voter_links = voter_links
        self._sessions = sessions
        self._outbox = outbox
        self._counts = counts
        self._requesters: dict[int, Requester] = {}
        self._last_change = 0
        self._status_sent_us: dict[BarrierId, int] = {}

    def track(self, mono_us: int, requester: Requester, position: int, *, urgent: bool, hold: bool) -> int:
        """Track a change that this voter has stored. Returns the number of the change at this voter.

        ``position``: position of the latest change of equal urgency in this voter's log, read after the
        change was stored. ``urgent``: the change is sent to observers before changes that are not urgent.
        ``hold``: schedulers without a lease send no jobs, so lagging schedulers are only waited for until
        their leases have expired.
        """
        self._last_change += 1
        self._requesters[self._last_change] = requester
        self.commit_tracker.track(mono_us, self._last_change, position, urgent=urgent, hold=hold)
        return self._last_change

    def report_untracked(self, link: Link, number: int, why: str) -> None:
        """Report to an observer that this voter does not track its change; ``why`` is the reason.

        The records of the change that this voter has stored are still replicated.
        """
        progress = wire.Progress(number, False, False, 1, (f"voter {self.name}: {why}",))
        self._outbox.send_to_observer(link, progress)

    def handle_barrier(self, mono_us: int, origin: str, barrier: wire.Barrier) -> None:
        """Track, for another voter's barrier, which observers lag behind the head of this voter's log.

        The log already includes the changes that the barrier covers, as the other voter sent these changes
        before the barrier.
        """
        position = self._sessions.changelog.head(barrier.urgent)
        self.observer_progress.track(
            mono_us,
            BarrierId(origin, barrier.number),
            position,
            urgent=barrier.urgent,
            hold=barrier.hold,
        )

    def end_barrier(self, origin: str, end: wire.BarrierEnd) -> None:
        """Stop tracking a barrier of another voter, as that voter needs no further status of the barrier."""
        self.observer_progress.untrack(BarrierId(origin, end.number))

    def voter_unlinked(self, name: str) -> None:
        """Discard the statuses and the barriers that were received from a voter whose link has ended.

        Both voters send their barriers again on the next link.
        """
        self.commit_tracker.voter_unlinked(name)
        self.observer_progress.untrack_matching(lambda barrier: barrier.origin == name)

    def resend_statuses(self) -> None:
        """Send the statuses of all barriers again, as a status may now confirm that this voter has stored a
        batch, which the status sent before did not confirm.

        The caller calls this when this voter has begun to count for majorities, or when this voter has all
        records of another voter again, after it had rejected one of that voter's records.
        """
        self.observer_progress.dirty.update(self.observer_progress.tracked)

    def send_barriers(self, voter: GreetedVoter) -> None:
        """Send a voter the barriers of all batches whose changes were already sent to the voter."""
        for batch in self.commit_tracker.batches_to_query(voter.name, voter.written_position):
            self._outbox.send_to_voter(voter.link, wire.Barrier(batch.number, batch.urgent, batch.hold))

    def advance(self, mono_us: int) -> None:
        """Seal the batches that are due, so that no change is added to them, send changed statuses, and
        report the progress of changes."""
        self._seal_batches(mono_us)
        self._send_due_statuses(mono_us)
        self._report_progress(mono_us)

    def _seal_batches(self, mono_us: int) -> None:
        for batch in self.commit_tracker.seal_due_batches(mono_us):
            barrier = BarrierId(self.name, batch.number)
            self.observer_progress.track(
                mono_us, barrier, batch.position, urgent=batch.urgent, hold=batch.hold
            )

    def _send_due_statuses(self, mono_us: int) -> None:
        """Send the statuses that have changed.

        A status without lagging observers is sent at once; other statuses of one barrier are sent at
        intervals of at least `STATUS_INTERVAL_US`.
        """
        tracked, dirty = self.observer_progress.tracked, self.observer_progress.dirty
        for barrier in sorted(dirty):
            last_us = self._status_sent_us.get(barrier, mono_us - STATUS_INTERVAL_US)
            if tracked[barrier].waiting and mono_us < last_us + STATUS_INTERVAL_US:
                continue
            dirty.discard(barrier)
            self._status_sent_us[barrier] = mono_us
            self._send_status(mono_us, barrier)
        if len(self._status_sent_us) > 2 * len(tracked):
            self._status_sent_us = {one: at for one, at in self._status_sent_us.items() if one in tracked}

    def _send_status(self, mono_us: int, barrier: BarrierId) -> None:
        tracked = self.observer_progress.tracked[barrier]
        if barrier.origin == self.name:
            self.commit_tracker.record_own_status(mono_us, barrier.number, tracked, self._counts())
            return
        link = self._voter_links.link_of.get(barrier.origin)
        if link is None:
            return
        lagging = tracked.lagging()
        count, names, counts = lagging.count, lagging.names, self._counts()
        if barrier.origin in self._voter_links.incomplete:
            count, counts = count + 1, False
            names = (f"voter {self.name}, which refused a record", *names)
        incarnations = self._voter_links.known_incarnations()
        status = wire.BarrierStatus(barrier.number, self.incarnation, counts, incarnations, count, names)
        self._outbox.send_to_voter(link, status)

    def _report_progress(self, mono_us: int) -> None:
        for progressed in self.commit_tracker.collect_progress(mono_us):
            self._notify(self._requesters[progressed.number], progressed)
        for batch in self.commit_tracker.take_ended():
            self.observer_progress.untrack(BarrierId(self.name, batch.number))
            self._voter_links.send_to_all(wire.BarrierEnd(batch.number))
            for change in batch.changes:
                del self._requesters[change]

    def _notify(self, requester: Requester, progressed: Progressed) -> None:
        if requester.link is None:
            self._outbox.add(progressed)
        elif requester.link in self._sessions.by_link:
            lagging = progressed.lagging
            progress = wire.Progress(
                requester.number, progressed.accepted, progressed.in_force, lagging.count, lagging.names
            )
            self._outbox.send_to_observer(requester.link, progress)
