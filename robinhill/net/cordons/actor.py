"""The actor for cordons at a scheduler that shares state with peers.

It handles the effects of a change of the shared state: the cordons in effect at this scheduler, the
notifications to the dispatcher, this scheduler's acknowledgements, and the maintenance of records. Other
modules implement these parts; the actor passes events from peers, the dispatcher and operators on to them.

Records from peers are applied at once (`receive_records`) instead of through the mailbox. The reason is that
a peer's answer to a ping may renew the lease, which `may_send` checks immediately before each send. The
answer must not take effect before a cordon that the peer sent ahead of the answer.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from robinhill.cordon import value
from robinhill.cordon.index import CordonIndex
from robinhill.cordon.propagation import Mode
from robinhill.cordon.propagation_tracker import PropagationTracker
from robinhill.mesh import acknowledgements
from robinhill.mesh.acknowledgements import Acknowledgement
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.session_events import RecordsReceived
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock, mono_us
from robinhill.net.cordons.acknowledgement_writer import AcknowledgementWriter
from robinhill.net.cordons.catch_up import CatchUp
from robinhill.net.cordons.cordon_records import CordonRecords
from robinhill.net.cordons.dispatcher_notifier import DispatcherMessage, DispatcherNotifier
from robinhill.net.cordons.fleet import Fleet
from robinhill.net.cordons.mesh_calls import MeshCalls
from robinhill.net.cordons.operator_calls import CordonCall, cordoned_targets, covers, location_of
from robinhill.net.cordons.peer_list_transition import PeerListTransition
from robinhill.net.cordons.replies import StatusReply
from robinhill.net.cordons.status_report import StatusReport
from robinhill.net.peers.rejections import log_rejected
from robinhill.protocol import ListedEndpoint

log = logging.getLogger(__name__)

MIN_MAINTENANCE_DELAY_US = 5_000  # the shortest time until the next maintenance
# A scheduler is reachable if its state is known as of a moment less than this time ago.
REACHABLE_US = 10_000_000
RENEWAL_INTERVAL_US = 3_600_000_000  # interval between checks of which records must be renewed


@dataclass(slots=True, frozen=True)
class CordonsApplied:
    """The dispatcher and all endpoints have applied the notification of cordons with this number."""

    number: int


@dataclass(slots=True, frozen=True)
class WorkerListChanged:
    """The list of workers from discovery has changed."""


@dataclass(slots=True, frozen=True)
class MaintenanceDue:
    """The maintenance timer has expired."""


CordonMessage = CordonCall | CordonsApplied | WorkerListChanged | MaintenanceDue


class CordonActor(Actor[CordonMessage]):
    """The actor that handles the cordons of one scheduler.

    ``on_change`` is called after this scheduler wrote to the replica, so that the change is sent to peers.
    ``on_newer_incarnation`` is called if an acknowledgement under this scheduler's name has a later
    incarnation than this process, with that incarnation. ``on_serving`` is called once this scheduler may
    accept clients.
    """

    def __init__(
        self,
        fleet: Fleet,
        replica: Replica,
        freshness: Freshness,
        supervisor: Supervisor,
        clock: Clock,
        notify_dispatcher: Callable[[DispatcherMessage], None],
        listed_workers: Callable[[], list[ListedEndpoint]],
    ) -> None:
        super().__init__("cordons", supervisor)
        self.fleet, self.replica, self.freshness, self.clock = fleet, replica, freshness, clock
        self.listed_workers = listed_workers
        self.on_change: Callable[[], None] = lambda: None
        self.on_newer_incarnation: Callable[[int], None] = lambda _incarnation: None
        self.on_serving: Callable[[], None] = lambda: None
        self.index = CordonIndex()
        mode = Mode(fleet.options.on_lost)
        self.tracker = PropagationTracker(fleet.own_name, mode, fleet.bound_us, freshness.quorum)
        self.tracker.incarnation = self.incarnation
        self.tracker.reconfigure(0, fleet.names)
        self._records = CordonRecords(replica, clock, fleet.own_name, lambda: self.incarnation)
        self._report = StatusReport(fleet, replica, freshness, self.tracker, self.index, clock)
        self._calls = MeshCalls(
            fleet, self._records, self.tracker, self.index, self._report, mono_us, self._apply_written
        )
        self._writer = AcknowledgementWriter(fleet, replica, freshness, self.tracker, clock)
        self._notifier = DispatcherNotifier(
            notify_dispatcher, lambda number: self.tell(CordonsApplied(number)), self.tracker.applied.combined
        )
        self._catch_up = CatchUp(fleet, self.tracker, mono_us())
        self._transition = PeerListTransition(fleet, freshness, self.tracker)
        self._next_end_us = 0  # Unix time when the next cordon ends; 0 if none has an end
        self._renewal_due_us = 0  # monotonic time of the next check of which records must be renewed
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_us = 0  # monotonic time when the maintenance timer expires; 0 if it is not running

    @property
    def incarnation(self) -> int:
        """The incarnation of this process."""
        return self.replica.clock.incarnation

    @property
    def serving(self) -> bool:
        """Whether this scheduler may accept clients."""
        return self._catch_up.serving

    def start(self) -> None:
        """Start the actor, and apply the records that the replica already holds."""
        super().start()
        self._catch_up.start(mono_us())
        for record in self.replica.snapshot():
            self._apply(record)
        self._update()
        self._write_acknowledgement()
        self._maintain()

    def receive(self, message: CordonMessage) -> None:
        """Handle one message of the mailbox."""
        match message:
            case CordonCall():
                self._calls.handle(message)
            case CordonsApplied(number=number):
                self._record_applied(number)
            case WorkerListChanged():
                self._update()
            case MaintenanceDue():
                self._maintain()

    def stop(self) -> None:
        """Stop the actor, cancel its timers and answer the waiting calls."""
        super().stop()
        self._writer.stop()
        if self._timer:
            self._timer.cancel()
        self._calls.stop()

    # Before each send

    def may_send(self, worker: ListedEndpoint) -> bool:
        """Return whether an attempt may be sent to a worker now; called as the last check before the send."""
        return not covers(self._notifier.targets, worker) and self.holds_lease()

    def holds_lease(self) -> bool:
        """Return whether this scheduler may send attempts to any worker.

        In ``hold`` mode it may send only with a valid lease, in ``serve`` mode always.
        """
        return self.fleet.sends_without_lease or self.freshness.holds_lease(mono_us())

    # Events from peers, handled at once

    def receive_records(self, received: RecordsReceived) -> None:
        """Pass records received from a peer on to the tracker, the index and the dispatcher.

        The caller must have merged the records into the replica already.
        """
        log_rejected(received.rejected)
        if sum([self._apply(record) for record in received.records]):
            self._update()
        self._answer_and_reschedule()

    def record_link_up(self, name: str, incarnation: int) -> None:
        """Record that a link to a peer was established, and the peer's incarnation."""
        self._record_start(name, incarnation)
        self.tracker.record_link(mono_us(), name, True)

    def record_link_lost(self, name: str) -> None:
        """Record that the link to a peer was lost."""
        self.tracker.record_link(mono_us(), name, False)

    def record_answer(self, name: str) -> None:
        """Record that a peer has answered a ping: all its state from before the answer has been received.

        The answer may end the catch-up phase, and may give this scheduler the lease.
        """
        self._catch_up.record_answer(name)
        if not self.freshness.caught_up and self.freshness.may_catch_up():
            self.confirm_complete("received the state of peers")
        if not self.serving:
            self._serve_if_ready(mono_us())
        if not self._notifier.has_lease:
            self._notifier.notify_lease(self.holds_lease())

    def confirm_complete(self, why: str) -> None:
        """Record that this scheduler's copy contains every change that was ever accepted.

        From this call on, the scheduler counts for majorities. ``why`` goes into the log.
        """
        self.freshness.caught_up = True
        log.info(
            "quorum_participation_started", extra={"why": why, "seconds": self._catch_up.age_s(mono_us())}
        )
        self.tracker.mark_all_stored(mono_us())
        self._write_acknowledgement()
        self._notifier.notify_lease(self.holds_lease())
        self._answer_and_reschedule()

    # Calls from this process

    def reconfigure(self, options: MeshOptions, names: Iterable[str]) -> None:
        """Apply new mesh options and a new list of schedulers."""
        self.fleet.reconfigure(options, names)
        self.tracker.reconfigure(mono_us(), self.fleet.names)
        for name in self.fleet.names:
            acknowledgement = self.replica.value(acknowledgements.KIND_NAME, name)
            if isinstance(acknowledgement, Acknowledgement):
                self._record_acknowledgement(name, acknowledgement)
        self._write_acknowledgement()
        self._answer_and_reschedule()

    def adopt_incarnation(self, incarnation: int) -> None:
        """Use a later incarnation for this process, and write an acknowledgement with it."""
        self.replica.clock.incarnation = incarnation
        self.tracker.incarnation = incarnation
        self._write_acknowledgement()

    def leave(self) -> None:
        """Write the last acknowledgement, which states that this process sends no more attempts."""
        self._write_acknowledgement(left=True)

    def status(self) -> StatusReply:
        """Return this scheduler's status, with the digest of its copy of the shared state.

        Operators receive the status, and can compare the copies of several schedulers by their digests.
        """
        return self._report.status(mono_us(), serving=self.serving)

    def metrics(self) -> list[str]:
        """Return the metrics as lines (NAME:VALUE|g); the caller adds the common prefix of all names."""
        return self._report.metrics(mono_us(), self._catch_up.duration_us)

    def reachable(self) -> set[str]:
        """Return the schedulers whose state was received recently, directly or through other schedulers.

        Recently is within the last REACHABLE_US, or three times the bound if that is longer.
        """
        since_us = mono_us() - max(REACHABLE_US, 3 * self.fleet.bound_us)
        as_of = {name: self.freshness.known_as_of(name) for name in self.fleet.names}
        return {name for name, us in as_of.items() if us is not None and us > since_us}

    # Changes of the shared state

    def _apply(self, record: Record) -> bool:
        """Pass one record of the replica on to the tracker. Returns whether it is a record of cordons."""
        if record.kind == value.NAME:
            self.tracker.record_value(record.key, record.value)
            return True
        if record.kind == acknowledgements.KIND_NAME:
            acknowledgement = self.replica.value(record.kind, record.key)
            if isinstance(acknowledgement, Acknowledgement):
                self._record_acknowledgement(record.key, acknowledgement)
        return False

    def _apply_written(self, records: Sequence[Record]) -> None:
        """Apply records of cordons that this process has written, and send them to peers."""
        for record in records:
            self._apply(record)
        self._update()
        self.on_change()
        self._answer_and_reschedule()

    def _record_acknowledgement(self, name: str, acknowledgement: Acknowledgement) -> None:
        """Record a peer's acknowledgement, or one by another process with this scheduler's name."""
        if name == self.fleet.own_name:
            if acknowledgement.incarnation > self.incarnation:
                self.on_newer_incarnation(acknowledgement.incarnation)
            return
        if name not in self.tracker.peers:
            return
        self._record_start(name, acknowledgement.incarnation)
        self.tracker.record_acknowledgement(mono_us(), name, acknowledgement)
        if (self.fleet.own_name, self.incarnation) in acknowledgement.incarnations:
            self.freshness.introduced(mono_us(), name)
        if acknowledgement.serving and not self.serving:
            self._serve_if_ready(mono_us())

    def _record_start(self, name: str, incarnation: int) -> None:
        if name not in self.tracker.peers or incarnation <= self.tracker.peers[name].incarnation:
            return
        self.freshness.started(name, incarnation)
        if self.tracker.record_start(mono_us(), name, incarnation):
            log.info("peer_restarted", extra={"peer": name, "incarnation": incarnation})
        self._writer.record_start(name, incarnation)
        if self._alive:
            self._writer.schedule(self._write_acknowledgement)

    def _update(self) -> None:
        """Update the index of cordons, and notify the dispatcher, which later confirms the notification."""
        # `collect` must precede the update: it drops expired records, and passes the current Unix time to the
        # replica. The replica's items include only records that had not expired at the latest time passed in.
        self.replica.collect(self.clock.now_us())
        workers = {worker.instance_id: location_of(worker) for worker in self.listed_workers()}
        self._next_end_us = self.index.update(self.clock.now_us(), self._records.items(), workers).next_end_us
        self._notifier.notify_cordons(cordoned_targets(self.index), self.tracker.applied.combined)

    def _record_applied(self, number: int) -> None:
        # The acknowledgement covers the changes up to this notification. A later change has its own
        # notification, and is acknowledged once that notification is applied.
        if self._notifier.confirm_applied(number):
            self._write_acknowledgement()
            self._answer_and_reschedule()

    def _write_acknowledgement(self, left: bool = False) -> None:
        self._writer.write(mono_us(), self._notifier.applied_digest, serving=self.serving, left=left)
        self.on_change()

    def _serve_if_ready(self, now_us: int) -> None:
        if self._catch_up.serve_if_ready(now_us):
            self._write_acknowledgement()
            self.on_serving()

    # Maintenance

    def _maintain(self) -> None:
        """Do all work that is due at this time, and schedule the next maintenance."""
        now_us, unix_us = mono_us(), self.clock.now_us()
        self._timer_due_us = 0
        self._notifier.notify_lease(self.holds_lease())
        if not self.serving:
            self._serve_if_ready(now_us)
        if self._next_end_us and unix_us >= self._next_end_us:
            self._update()
        if unix_us - self._writer.written_us > acknowledgements.REWRITE_INTERVAL_US:
            self._write_acknowledgement()
        self._transition.end_if_settled(now_us)
        if now_us >= self._renewal_due_us:
            self._renewal_due_us = now_us + RENEWAL_INTERVAL_US
            self._renew_records(unix_us)
        self._answer_and_reschedule()

    def _renew_records(self, unix_us: int) -> None:
        """Rewrite records that would expire before their cordons end; drop the digests of expired records."""
        targets = self.tracker.applied.keys()
        for target in targets:
            record = self.replica.record(value.NAME, target)
            if record is None or record.until_us <= unix_us:
                self.tracker.applied.drop(target)
                continue
            present = self._records.get(target)
            if present and self._records.needs_renewal(target, present, unix_us):
                self._apply(self.replica.write(unix_us, value.NAME, target, present))
                self._update()
                self.on_change()

    def _answer_and_reschedule(self) -> None:
        """Answer the calls whose wait is over, and schedule the next maintenance."""
        now_us = mono_us()
        self._calls.answer_due(now_us)
        self._schedule_maintenance(now_us)

    def _schedule_maintenance(self, now_us: int) -> None:
        due = [now_us + self.fleet.options.interval_us // 2, *self._calls.deadlines_us()]
        if self._next_end_us:
            due.append(now_us + max(0, self._next_end_us - self.clock.now_us()))
        due_us = max(now_us + MIN_MAINTENANCE_DELAY_US, min(due))
        if self._timer_due_us and self._timer_due_us <= due_us:
            return
        if self._timer:
            self._timer.cancel()
        self._timer_due_us = due_us
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later((due_us - now_us) / 1e6, self.tell, MaintenanceDue())
