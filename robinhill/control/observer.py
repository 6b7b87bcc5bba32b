"""An observer of the control group, as a state machine without I/O: it processes messages and time, and
returns actions.

A scheduler is an observer: it has a replica, in memory only, and no vote. It has a link to a primary voter,
which sends all changes and renews the lease, and a spare link to another voter (`observer_links`). Without a
valid lease a scheduler sends no jobs in the `hold` mode, and continues to send in the `serve` mode. The
observer's state never moves back in time: its replica only grows by merging (`replica_sync`), the time as of
which it knows a majority's state only advances (`lease`), and replies of a new primary voter renew the lease
only once the observer and the voter have sent each other the records that the other side lacked.

All times are microseconds: ``now_us`` is Unix time that never steps back, ``mono_us`` is this process's
monotonic clock. After each call the caller carries out the returned actions in order; it calls `tick` at
`next_us` at the latest.
"""

from dataclasses import dataclass
from random import Random

from robinhill.control import messages as wire
from robinhill.control.actions import (
    Action,
    Apply,
    LaggingObservers,
    LeaseChanged,
    Link,
    Progressed,
)
from robinhill.control.errors import JoinRefused
from robinhill.control.lease import ObserverLease
from robinhill.control.observer_links import ObserverLinks
from robinhill.control.options import ControlOptions
from robinhill.control.outbox import Outbox
from robinhill.control.pending_offers import PendingOffers
from robinhill.control.replica_sync import ReplicaSync
from robinhill.cordon.propagation import Mode
from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica

COLLECT_INTERVAL_US = 1_000_000
"""Interval at which expired records are removed from the replica."""


@dataclass(slots=True, frozen=True)
class ObserverStatus:
    """Whether the records of one kind may be used for scheduling.

    ``may_act``: the scheduler may send jobs according to the records. ``stale``: there is no valid lease.
    ``age_us``: age of the newest state of a majority of voters that the observer knows; None: the observer
    has never known such a state.
    """

    may_act: bool
    stale: bool
    age_us: int | None


class Observer:
    """One observer. ``incarnation``: identifies this process, and is higher after each restart. ``rng``:
    jitters reconnections and the comparisons that repair the replica."""

    def __init__(
        self, options: ControlOptions, incarnation: int, replica: Replica, rng: Random, mono_us: int
    ) -> None:
        self.options = options
        self.name = options.name
        self.incarnation = incarnation
        self.replica = replica
        self.lease = ObserverLease(options.bound_us)
        self._outbox = Outbox()
        self._links = ObserverLinks(options, incarnation, self._outbox, rng)
        self._sync = ReplicaSync(replica, self._outbox, rng, mono_us)
        self._offers = PendingOffers()
        self._reported_valid = False  # whether the last `LeaseChanged` reported a valid lease
        self._lease_changed_us = mono_us  # time of the last `LeaseChanged`, or of the observer's start
        self._collect_due_us = mono_us + COLLECT_INTERVAL_US

    # Links

    def start(self, now_us: int, mono_us: int) -> list[Action]:
        """Begin to connect to voters. Must be the first call."""
        return self.tick(now_us, mono_us)

    def linked(self, now_us: int, mono_us: int, link: Link, voter: str) -> list[Action]:
        """Join a voter on a connection that `Connect` has opened.

        Closes the connection instead if no link to this voter is needed any more.
        """
        if not self._links.opened(mono_us, link, voter):
            self._outbox.disconnect(link, "the connection is no longer needed")
            return self._outbox.take()
        if self._links.primary is None:
            self._make_primary(now_us, mono_us, link)
        else:
            self._links.make_spare(link, self._sync.feed_position)
        return self._finish(mono_us)

    def failed(self, mono_us: int, voter: str) -> None:
        """Start the backoff of a voter to which `Connect` could not open a connection."""
        self._links.selection.backoff.failed(mono_us, voter)

    def unlinked(self, now_us: int, mono_us: int, link: Link) -> list[Action]:
        """Remove a connection that was lost, or closed by the other side."""
        self._closed(now_us, mono_us, link)
        return self._finish(mono_us)

    def received(self, now_us: int, mono_us: int, link: Link, data: bytes) -> list[Action]:
        """Process a received message. Closes the link if the message is malformed or unexpected."""
        if link in self._links.by_link:
            try:
                self._dispatch(now_us, mono_us, link, wire.read(data))
            except MeshError as e:
                self._drop(now_us, mono_us, link, str(e))
        return self._finish(mono_us)

    # Changes and the lease

    def write(
        self, now_us: int, mono_us: int, kind: str, key: str, value: object
    ) -> tuple[int, Record, list[Action]]:
        """Write a record, and offer it to the primary voter once the replica is synchronized with the voter.

        Returns the change's number in `Progressed`, and the record. Raises ChangesFull or StateFull, or
        KeyError for an unregistered kind; in these cases nothing is changed.
        """
        self._offers.ensure_capacity()
        record = self.replica.write(now_us, kind, key, value)
        offer = self._offers.add([record])
        self._outbox.add(Apply((record,)))
        if self._sync.synchronized and self._links.primary is not None:
            self._outbox.send(self._links.primary, offer)
        return offer.number, record, self._finish(mono_us)

    def abandon(self, number: int) -> None:
        """Stop reporting the progress of a change; its record stays in the replica and is replicated."""
        self._offers.drop(number)

    def has_lease(self, mono_us: int) -> bool:
        """Whether the newest state of a majority of voters that this observer knows is not older than the
        bound (``mesh.bound_ms``).

        Cheap enough to be checked for each job.
        """
        return self.lease.is_valid(mono_us)

    def status(self, kind: str, mono_us: int) -> ObserverStatus:
        """Return whether the scheduler may act on records of a kind at ``mono_us``, and the age of the state
        that the observer knows."""
        valid = self.lease.is_valid(mono_us)
        may_act = valid or self.options.mode_of(kind) is Mode.SERVE
        return ObserverStatus(may_act, not valid, self.lease.age_us(mono_us))

    def goodbye(self) -> list[Action]:
        """Send a `Goodbye` to the linked voters, and close all links.

        The caller calls this after it has sent its last job, and must not send any job from then on.
        """
        self._links.stop("goodbye")
        return self._outbox.take()

    def change_voters(self, now_us: int, mono_us: int, options: ControlOptions) -> list[Action]:
        """Use a new list of voters, and close the links to voters that it doesn't contain."""
        self.options = self._links.options = options
        self._links.selection.reconfigure(options.voters)
        for link, state in list(self._links.by_link.items()):
            if state.voter not in options.voters:
                self._drop(now_us, mono_us, link, f"{state.voter} was removed from the list of voters")
        return self.tick(now_us, mono_us)

    # Time

    def tick(self, now_us: int, mono_us: int) -> list[Action]:
        """Do the work that is due: expiry of records and links, failover, connections, heartbeats and
        comparisons."""
        if mono_us >= self._collect_due_us:
            self._collect_due_us = mono_us + COLLECT_INTERVAL_US
            self.replica.collect(now_us)
        if not self._links.stopped:
            self._drop_silent_links(now_us, mono_us)
            self._fail_over(now_us, mono_us)
            self._links.connect(mono_us, synchronized=self.synchronized)
            self._send_heartbeats(mono_us)
            if self._links.primary is not None:
                self._sync.repair(now_us, mono_us, self._links.primary)
        return self._finish(mono_us)

    def next_us(self, mono_us: int) -> int:
        """Monotonic time at which `tick` is due at the latest."""
        times = [self._collect_due_us, *self._links.heartbeats_due_us()]
        if self._links.primary is not None and self._sync.needs_confirmation():
            times.append(self._sync.confirm_due_us)
        if self._reported_valid:
            times.append(self.lease.until_us() + 1)
        if (connect_us := self._links.connect_due_us(synchronized=self.synchronized)) is not None:
            times.append(connect_us)
        return max(mono_us + 1, min(times))

    # Status

    @property
    def voter(self) -> str | None:
        """Name of the primary voter; None if there is no primary link."""
        return self._links.primary_voter

    @property
    def spare_voter(self) -> str | None:
        """Name of the voter on the spare link; None if there is no spare link."""
        return self._links.spare_voter

    @property
    def primary_changes(self) -> int:
        """How often this observer has joined a primary voter since its start."""
        return self._links.primary_changes

    @property
    def synchronized(self) -> bool:
        """Whether the replica has the primary voter's complete state as of some position, and follows the
        voter's later changes."""
        return self._sync.synchronized

    # Messages

    def _dispatch(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        state = self._links.by_link[link]
        state.last_received_us = mono_us
        if isinstance(message, wire.HeartbeatReply):
            state.majority_age_us = message.age_us if message.age_us >= 0 else None
        if isinstance(message, wire.Refused):
            raise JoinRefused(f"voter {state.voter} rejected this observer: {message.why}")
        if isinstance(message, wire.Welcome):
            state.welcomed = True
        if link == self._links.primary:
            self._handle_from_primary(now_us, mono_us, link, message)

    def _handle_from_primary(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        match message:
            case wire.Welcome(resumed=True):
                self._complete_sync(mono_us, link)
            case wire.Welcome():
                self._sync.reset_position(message.voter, message.incarnation)
            case wire.Compare():
                self._sync.send_digests(now_us, link)
            case wire.RangeRecords():
                self._sync.receive_ranges(now_us, message)
            case wire.Compared(position=position):
                self._sync.finish_comparison(link, position)
                if not self.synchronized:
                    self._complete_sync(mono_us, link)
            case wire.Changes():
                self._sync.receive_changes(now_us, message)
            case wire.HeartbeatReply():
                self._handle_heartbeat_reply(message)
            case wire.Progress():
                self._handle_progress(message)
            case _:
                raise JoinRefused(f"received {type(message).__name__}, which voters don't send to observers")

    def _handle_heartbeat_reply(self, reply: wire.HeartbeatReply) -> None:
        self._sync.advance_position(reply.position, urgent=False)
        if not self._sync.rejected:
            self.lease.reply_received(reply.number, reply.age_us)

    def _handle_progress(self, progress: wire.Progress) -> None:
        if progress.number not in self._offers:
            return
        if progress.accepted:
            self._offers.accepted(progress.number)
        if progress.in_force:
            self._offers.drop(progress.number)
        lagging = LaggingObservers(progress.lagging_count, progress.lagging_names)
        self._outbox.add(Progressed(progress.number, progress.accepted, progress.in_force, lagging))

    # Confirmations, lease and heartbeats

    def _finish(self, mono_us: int) -> list[Action]:
        """Confirm applied changes, report a change of the lease, and return the actions of the call."""
        if self._links.primary is not None:
            self._sync.confirm(mono_us, self._links.primary)
        self._report_lease(mono_us)
        return self._outbox.take()

    def _report_lease(self, mono_us: int) -> None:
        valid = self.lease.is_valid(mono_us)
        if valid != self._reported_valid:
            self._reported_valid = valid
            self._lease_changed_us = mono_us
            self._outbox.add(LeaseChanged(valid, self.lease.age_us(mono_us)))

    def _complete_sync(self, mono_us: int, link: Link) -> None:
        """Record that the replica is synchronized with the primary voter.

        Offers the pending changes, and renews the lease by replies to heartbeats that are sent from now on.
        """
        self._sync.complete_sync(mono_us)
        for offer in self._offers:
            self._outbox.send(link, offer)
        self.lease.accept_replies()
        self._links.by_link[link].next_heartbeat_us = mono_us
        self._send_heartbeats(mono_us)

    def _send_heartbeats(self, mono_us: int) -> None:
        self._links.send_heartbeats(mono_us, self.lease, synchronized=self.synchronized)

    # The primary voter

    def _make_primary(self, now_us: int, mono_us: int, link: Link) -> None:
        """Join the voter of this link as the primary voter.

        The voter's replies do not renew the lease until the replica is synchronized with the voter. Records
        are dropped first if there was no valid lease for so long that other processes may have removed items
        and then dropped the records of the removal as expired, as this replica could restore these items.
        """
        without_lease_us = mono_us - self._lease_changed_us
        if not self.lease.is_valid(mono_us) and self.replica.stale(now_us, without_lease_us):
            self._sync.clear(without_lease_us)
        self._sync.begin_sync()
        self.lease.reset()
        self._links.make_primary(mono_us, link, self._sync.feed_position)

    def _fail_over(self, now_us: int, mono_us: int) -> None:
        primary = self._links.primary
        if primary is not None and self._links.should_fail_over(mono_us, self.lease.age_us(mono_us)):
            self._drop(now_us, mono_us, primary, "the primary voter does not renew the lease")

    def _drop_silent_links(self, now_us: int, mono_us: int) -> None:
        for link in list(self._links.by_link):
            if self._links.is_silent(mono_us, link):
                self._drop(now_us, mono_us, link, "no message received for at least half of mesh.bound_ms")

    def _drop(self, now_us: int, mono_us: int, link: Link, why: str) -> None:
        self._outbox.disconnect(link, why)
        self._closed(now_us, mono_us, link)

    def _closed(self, now_us: int, mono_us: int, link: Link) -> None:
        """Remove a link. If it was the primary link, the spare link becomes the primary one."""
        if not self._links.closed(mono_us, link):
            return
        self._sync.stop_sync()
        self.lease.reset()
        spare = self._links.take_spare()
        if spare is not None:
            self._make_primary(now_us, mono_us, spare)
