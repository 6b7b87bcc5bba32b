"""A voter of the control group, as a state machine without I/O: it processes messages and time, and returns
actions.

Voters replicate records among themselves over a full mesh of links (`voter_links`). Only voters count for
majorities, and each voter only once it knows all changes that were ever accepted, that is, stored by a
majority of voters. Each observer, which is a scheduler, joins one voter, which sends the observer all changes
(`observer_sessions`). A voter tracks the changes that it receives from its caller or its observers until the
changes are in force: no scheduler can send jobs without knowing them (`change_coordinator`).

All times are microseconds: ``now_us`` is Unix time that never steps back, ``mono_us`` is this process's
monotonic clock. After each call the caller carries out the returned actions in order; it calls `tick` at
`next_us` at the latest.
"""

from collections.abc import Collection, Iterable
from random import Random

from robinhill.control import messages as wire
from robinhill.control.actions import Action, Apply, CaughtUp, Link, VotersSettled
from robinhill.control.change_coordinator import (
    LOCAL_CALLER,
    STATUS_INTERVAL_US,
    ChangeCoordinator,
    Requester,
)
from robinhill.control.changelog import ChangeLog
from robinhill.control.commit_tracker import CommitTracker
from robinhill.control.errors import ChangesFull, JoinRefused, VotersNotOneAtATime
from robinhill.control.observer_progress import ObserverProgress
from robinhill.control.observer_sessions import ObserverSessions
from robinhill.control.options import ControlOptions
from robinhill.control.outbox import Metrics, VoterOutbox
from robinhill.control.voter_links import VoterLink, VoterLinks
from robinhill.cordon.propagation import Mode
from robinhill.mesh.errors import MeshError
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.record_merging import RejectedRecord, any_rejected, merge_records
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.session_events import Event, HelloReceived, PingAnswered, RecordsReceived

FLUSH_INTERVAL_US = 5_000
"""Minimum interval between two times at which pending changes are sent to all observers. A change that is
received after this interval has passed since the last such time is sent at once."""

COLLECT_INTERVAL_US = 1_000_000
"""Interval at which expired records are removed from the replica and silent links are closed."""


class Voter:
    """One voter.

    ``incarnation``: identifies this process, and is higher after each restart. ``replica`` may hold records
    that were read from disk. ``urgent_kinds``: record kinds whose changes are sent to observers before all
    others. ``rng`` jitters reconnections.
    """

    def __init__(
        self,
        options: ControlOptions,
        incarnation: int,
        replica: Replica,
        urgent_kinds: Collection[str],
        rng: Random,
        mono_us: int,
    ) -> None:
        self.options = options
        self.name = options.name
        self.incarnation = incarnation
        self.replica = replica
        self.changelog = ChangeLog(replica, urgent_kinds)
        self.freshness = Freshness(self.name, options.voters, options.bound_us)
        self.freshness.started(self.name, incarnation)
        self.commit_tracker = CommitTracker(self.name, incarnation, options.bound_us, self.freshness.quorum)
        self.observer_progress = ObserverProgress(mono_us, options.bound_us)
        self._outbox = VoterOutbox()
        self._voter_links = VoterLinks(
            options, incarnation, replica, self.freshness, rng, self._outbox, self._is_sent_by_another
        )
        self._sessions = ObserverSessions(
            options, incarnation, self.changelog, self.observer_progress, self.age_us, self._outbox
        )
        self._changes = ChangeCoordinator(
            self.name,
            incarnation,
            self.commit_tracker,
            self.observer_progress,
            self._voter_links,
            self._sessions,
            self._outbox,
            lambda: self.counts,
        )
        # Accepted links on which no message was received yet, with the time of their acceptance.
        self._pending_links: dict[Link, int] = {}
        self._flushed_us = mono_us - FLUSH_INTERVAL_US
        self._flush_pending = False
        self._collect_due_us = mono_us + COLLECT_INTERVAL_US
        self._expire_waits_due_us = mono_us

    # Links

    def start(self, now_us: int, mono_us: int) -> list[Action]:
        """Begin to dial the other voters. Must be the first call.

        A voter that is the only one in the list counts for majorities at once.
        """
        if len(self._voter_links.names) == 1:
            self._mark_caught_up()
        return self.tick(now_us, mono_us)

    def accepted(self, mono_us: int, link: Link) -> None:
        """Register an accepted connection; its first message identifies the process on the other side."""
        self._pending_links[link] = mono_us

    def linked(self, now_us: int, mono_us: int, link: Link, voter: str) -> list[Action]:
        """Start a session with a voter on a connection that `Connect` has opened."""
        self._voter_links.dialed(mono_us, link, voter)
        return self._finish(now_us, mono_us)

    def failed(self, mono_us: int, voter: str) -> None:
        """Start the backoff of a voter to which `Connect` could not open a connection."""
        self._voter_links.failed(mono_us, voter)

    def unlinked(self, now_us: int, mono_us: int, link: Link) -> list[Action]:
        """Remove a connection that was lost, or closed by the other side."""
        self._closed(mono_us, link)
        return self._finish(now_us, mono_us)

    def received(self, now_us: int, mono_us: int, link: Link, data: bytes) -> list[Action]:
        """Process a received message. Closes the link if the message is malformed or unexpected."""
        head = self.replica.head
        try:
            self._dispatch(now_us, mono_us, link, wire.read(data))
        except MeshError as e:
            self._reject(mono_us, link, str(e))
        pump = link in self._voter_links.by_link or self.replica.head != head
        return self._finish(now_us, mono_us, pump=pump)

    # Changes

    def write(
        self, now_us: int, mono_us: int, kind: str, key: str, value: object
    ) -> tuple[int, Record, list[Action]]:
        """Write a record and track the change. Returns the change's number in `Progressed`, and the record.

        Raises ChangesFull or StateFull, or KeyError for an unregistered kind; in these cases nothing is
        changed.
        """
        self.commit_tracker.ensure_capacity()
        record = self.replica.write(now_us, kind, key, value)
        self._note_changes([record])
        number = self._track(mono_us, [record], LOCAL_CALLER)
        return number, record, self._finish(now_us, mono_us)

    def change_voters(self, now_us: int, mono_us: int, options: ControlOptions) -> list[Action]:
        """Use a new list of voters, which may differ from the present list by one voter.

        Raises VotersNotOneAtATime if the lists differ by more than one voter, or if the previous change of
        the list has not settled: not all voters have used the changed list for longer than a lease lasts
        (`VoterLinks.settle`).
        """
        changed = frozenset(options.voters) ^ frozenset(self.options.voters)
        if len(changed) > 1:
            raise VotersNotOneAtATime(f"{', '.join(sorted(changed))} would be added or removed at once")
        if changed and len(self.freshness.quorum.lists) > 1:
            raise VotersNotOneAtATime("the previous change of the list of voters has not settled")
        self.options = self._sessions.options = options
        if changed:
            self._voter_links.reconfigure(options)
            self.commit_tracker.reconfigured(mono_us)
            for link in list(self._voter_links.by_link):
                self._drop(mono_us, link, "the list of voters has changed")
        return self._finish(now_us, mono_us)

    def confirm_complete(self, now_us: int, mono_us: int) -> list[Action]:
        """Make this voter count for majorities.

        An operator has confirmed that the voter knows all changes that are in force.
        """
        self._mark_caught_up()
        return self._finish(now_us, mono_us)

    def remove_observer(self, now_us: int, mono_us: int, observer: str) -> list[Action]:
        """Remove a scheduler which, as an operator has reported, no longer runs, so that no change waits
        until the scheduler has applied it."""
        self._sessions.remove(observer)
        return self._finish(now_us, mono_us)

    # Time

    def tick(self, now_us: int, mono_us: int) -> list[Action]:
        """Do the work that is due: expiry of records and links, connections, removal of earlier voter lists
        (`VoterLinks.settle`), and sending of pending messages."""
        if mono_us >= self._collect_due_us:
            self._collect_due_us = mono_us + COLLECT_INTERVAL_US
            self._collect(now_us, mono_us)
        self._voter_links.connect(mono_us)
        if self._voter_links.settle(mono_us):
            self.commit_tracker.reconfigured(mono_us)
            self._outbox.add(VotersSettled())
        return self._finish(now_us, mono_us)

    def next_us(self, mono_us: int) -> int:
        """Monotonic time at which `tick` is due at the latest."""
        times = [self._collect_due_us, *self._voter_links.next_us()]
        if self._flush_pending:
            times.append(self._flushed_us + FLUSH_INTERVAL_US)
        if (commit_us := self.commit_tracker.next_us()) is not None:
            times.append(commit_us)
        if self.observer_progress.dirty:
            times.append(mono_us + STATUS_INTERVAL_US)
        return max(mono_us + 1, min(times))

    def _collect(self, now_us: int, mono_us: int) -> None:
        if self.replica.collect(now_us):
            self.changelog.collected()
        self._drop_silent_links(mono_us)
        self._sessions.expire_departed(mono_us)
        if departed := self.observer_progress.departed_to_query(mono_us):
            self._voter_links.send_to_all(wire.Departed(departed))

    # Status

    def age_us(self, mono_us: int) -> int | None:
        """Return the age, in microseconds, of the majority's state that this voter reports to observers.

        None: this voter knows no majority's state, or lacks records that it rejected.
        """
        return self._voter_links.ages.age_us(mono_us)

    @property
    def counts(self) -> bool:
        """Whether this voter counts for majorities."""
        return self.freshness.caught_up

    @property
    def linked_voters(self) -> tuple[str, ...]:
        """Names of the voters whose hello was received on a link, in ascending order."""
        return tuple(sorted(self._voter_links.link_of))

    @property
    def linked_observers(self) -> int:
        """Number of observers whose primary link is to this voter, synchronized or not."""
        return sum(session.feed is not None for session in self._sessions.by_link.values())

    @property
    def metrics(self) -> Metrics:
        """Counters since the process started."""
        return self._outbox.metrics

    # Messages

    def _dispatch(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        if link in self._pending_links:
            self._handle_first(now_us, mono_us, link, message)
        elif link in self._voter_links.by_link:
            self._handle_from_voter(now_us, mono_us, link, message)
        elif link in self._sessions.by_link:
            self._sessions.by_link[link].last_received_us = mono_us
            if isinstance(message, wire.Offer):
                self._handle_offer(now_us, mono_us, link, message)
            else:
                self._sessions.received(now_us, mono_us, link, message)

    def _handle_first(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        del self._pending_links[link]
        if isinstance(message, wire.Join):
            self._sessions.open(mono_us, link, message)
        elif isinstance(message, wire.MeshData):
            self._voter_links.accepted(mono_us, link)
            self._handle_from_voter(now_us, mono_us, link, message)
        else:
            raise JoinRefused(f"a link began with {type(message).__name__}, expected Join or MeshData")

    def _handle_from_voter(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        voter = self._voter_links.by_link[link]
        voter.last_received_us = mono_us
        if isinstance(message, wire.MeshData):
            for event in voter.session.receive(now_us, mono_us, message.data):
                self._handle_session_event(mono_us, link, event)
        elif voter.name is not None:  # messages before the hello are ignored, as their sender is unknown
            self._handle_voter_message(mono_us, voter, voter.name, message)

    def _handle_voter_message(
        self, mono_us: int, voter: VoterLink, name: str, message: wire.AnyMessage
    ) -> None:
        match message:
            case wire.VoterStatus():
                voter.status = message
                self._record_incarnations(message.incarnations)
            case wire.Barrier():
                self._changes.handle_barrier(mono_us, name, message)
            case wire.BarrierStatus():
                self._record_incarnations(message.incarnations)
                self.commit_tracker.record_status(mono_us, name, message)
            case wire.BarrierEnd():
                self._changes.end_barrier(name, message)
            case wire.Migrated():
                for join in message.observers:
                    self._sessions.migrated_away(join)
            case wire.Departed():
                newer = self.observer_progress.newer_joins(message.observers)
                if newer and name in self._voter_links.link_of:
                    self._outbox.send_to_voter(self._voter_links.link_of[name], wire.Migrated(newer))
            case _:
                raise JoinRefused(f"{name} sent {type(message).__name__}, which voters don't send to voters")

    def _handle_session_event(self, mono_us: int, link: Link, event: Event) -> None:
        voter = self._voter_links.by_link[link]
        match event:
            case HelloReceived(hello=hello):
                self._handle_greeting(mono_us, link, wire.VoterIncarnation(hello.name, hello.incarnation))
            case RecordsReceived(records=records, rejected=rejected):
                self._note_changes(records, rejected)
                if voter.name is not None and any_rejected(rejected):
                    self._voter_links.incomplete.record_rejected(voter.name, voter.session)
            case PingAnswered():
                self._handle_session_answer(voter)

    def _handle_greeting(self, mono_us: int, link: Link, voter: wire.VoterIncarnation) -> None:
        if (earlier := self._voter_links.link_of.get(voter.name)) is not None:
            self._drop(mono_us, earlier, f"superseded by a new connection of {voter.name}")
        self._voter_links.greeted(link, voter.name)
        self._record_incarnations([voter])
        if joins := self.observer_progress.synchronized_joins():
            self._outbox.send_to_voter(link, wire.Migrated(joins))

    def _handle_session_answer(self, voter: VoterLink) -> None:
        incomplete = self._voter_links.incomplete
        if not self.counts and not incomplete and self.freshness.may_catch_up():
            self._mark_caught_up()
        if voter.name is not None and incomplete.recovered(voter.name, voter.session):
            self._changes.resend_statuses()

    def _record_incarnations(self, incarnations: Iterable[wire.VoterIncarnation]) -> None:
        for name, incarnation in self._voter_links.record_incarnations(incarnations):
            self.commit_tracker.voter_restarted(name, incarnation)

    def _handle_offer(self, now_us: int, mono_us: int, link: Link, offer: wire.Offer) -> None:
        changed, rejected = merge_records(self.replica, now_us, offer.records)
        self._note_changes(changed, rejected)
        if not offer.number:
            return
        try:
            self.commit_tracker.ensure_capacity()
        except ChangesFull as e:
            self._changes.report_untracked(link, offer.number, e.what)
            return
        if any_rejected(rejected):
            self._changes.report_untracked(link, offer.number, rejected[0].error.what)
            return
        self._track(mono_us, offer.records, Requester(link, offer.number))

    # Tracking and sending of changes

    def _note_changes(self, records: Iterable[Record], rejected: Iterable[RejectedRecord] = ()) -> None:
        applied = Apply(tuple(records), tuple(rejected))
        if applied.records:
            self.changelog.note(applied.records)
            self._flush_pending = True
        if applied.records or applied.rejected:
            self._outbox.add(applied)

    def _track(self, mono_us: int, records: Iterable[Record], requester: Requester) -> int:
        """Track a change of these records. Returns its number.

        The change is urgent if all its kinds are urgent. It is tracked under the mode `hold` (a scheduler
        without a lease sends no jobs) if that is the mode of at least one of its kinds.
        """
        kinds = {record.kind for record in records}
        urgent = kinds <= self.changelog.urgent_kinds
        hold = any(self.options.mode_of(kind) is Mode.HOLD for kind in kinds)
        return self._changes.track(mono_us, requester, self.changelog.head(urgent), urgent=urgent, hold=hold)

    def _mark_caught_up(self) -> None:
        if self.counts:
            return
        self.freshness.caught_up = True
        self._outbox.add(CaughtUp())
        self._changes.resend_statuses()

    def _is_sent_by_another(self, origin: str) -> bool:
        """Whether a voter other than this one sends the changes of an origin to all voters.

        An origin is the process that wrote the changes: a voter, or an observer, whose voter sends them.
        """
        observer = self.observer_progress.observers.get(origin)
        linked_here = observer is not None and observer.link is not None
        return origin != self.name and not linked_here

    def _finish(self, now_us: int, mono_us: int, *, pump: bool = True) -> list[Action]:
        """Advance the tracked changes, send pending messages, and return the actions of the call.

        ``pump``: also send the pending messages to the other voters.
        """
        if mono_us >= self._expire_waits_due_us:
            self._expire_waits_due_us = mono_us + STATUS_INTERVAL_US
            self.observer_progress.expire_waits(mono_us)
        self._changes.advance(mono_us)
        if pump:
            # Barriers must be sent after the changes that they cover.
            for voter in self._voter_links.pump(now_us, mono_us):
                self._changes.send_barriers(voter)
        self._flush(mono_us)
        if (migrated := self._sessions.take_migrated()) is not None:
            self._voter_links.send_to_all(migrated)
        return self._outbox.take()

    def _flush(self, mono_us: int) -> None:
        if self._flush_pending and mono_us >= self._flushed_us + FLUSH_INTERVAL_US:
            self._flush_pending = False
            self._flushed_us = mono_us
            self._sessions.flush(mono_us)

    # Closing of links

    def _reject(self, mono_us: int, link: Link, why: str) -> None:
        self.metrics.refused += 1
        if link not in self._voter_links.by_link:
            self._outbox.send_to_observer(link, wire.Refused(why))
        self._drop(mono_us, link, why)

    def _drop(self, mono_us: int, link: Link, why: str) -> None:
        self._closed(mono_us, link)
        self._outbox.disconnect(link, why)

    def _closed(self, mono_us: int, link: Link) -> None:
        self._pending_links.pop(link, None)
        self._sessions.closed(link)
        if (name := self._voter_links.closed(mono_us, link)) is not None:
            self._changes.voter_unlinked(name)

    def _drop_silent_links(self, mono_us: int) -> None:
        """Close links on which nothing was received for longer than the bound (``mesh.bound_ms``)."""
        pending = [link for link, at in self._pending_links.items() if mono_us - at > self.options.bound_us]
        voters, observers = self._voter_links.silent_links(mono_us), self._sessions.silent_links(mono_us)
        for link in (*pending, *voters, *observers):
            self._drop(mono_us, link, "no message received for longer than mesh.bound_ms")
