"""An observer of the control group as a state machine: it handles messages and time, and returns actions. No
I/O.

A scheduler is an observer: it has a replica, in memory only, and no vote. It has a link to a primary voter,
which sends all changes and renews its lease, and a spare link to another (`observer_links`). It never goes
back in time: its replica only grows by merging (`replica_sync`), the moment of its lease only advances
(`lease`), and a new voter's replies count once both have exchanged what the other lacked.

All times are microseconds: ``now_us`` Unix time that never steps back, ``mono_us`` this process's monotonic
clock. After each call carry out the returned actions in order; call `tick` at `next_us` at the latest.
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
"""Between two collections of expired records."""


@dataclass(slots=True, frozen=True)
class ObserverStatus:
    """What may be done with records of a kind.

    ``may_act``: jobs may be sent by them; ``stale``: there is no lease; ``age_us``: age of the newest known
    majority state, None: never known.
    """

    may_act: bool
    stale: bool
    age_us: int | None


class Observer:
    """One observer. ``rng`` jitters reconnections and repairs."""

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
        self._reported_lease = False
        self._lease_lost_us = mono_us  # since when there has been no lease, or the observer runs
        self._collect_us = mono_us + COLLECT_INTERVAL_US

    # Links

    def start(self, now_us: int, mono_us: int) -> list[Action]:
        """The first call."""
        return self.tick(now_us, mono_us)

    def linked(self, now_us: int, mono_us: int, link: Link, voter: str) -> list[Action]:
        """A connection that `Connect` asked for is open."""
        if not self._links.opened(mono_us, link, voter):
            self._outbox.disconnect(link, "it is not needed")
            return self._outbox.take()
        if self._links.primary is None:
            self._make_primary(now_us, mono_us, link)
        else:
            self._links.make_spare(link, self._sync.feed_position)
        return self._finish(mono_us)

    def failed(self, mono_us: int, voter: str) -> None:
        """A connection that `Connect` asked for could not be opened."""
        self._links.selection.backoff.failed(mono_us, voter)

    def unlinked(self, now_us: int, mono_us: int, link: Link) -> list[Action]:
        """A connection was lost, or closed by the other side."""
        self._closed(now_us, mono_us, link)
        return self._finish(mono_us)

    def received(self, now_us: int, mono_us: int, link: Link, data: bytes) -> list[Action]:
        """A message was received. A link with a malformed or unexpected one is closed."""
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
        """Write a record and offer it to the voters. Returns the change's number in `Progressed`.

        Raises ChangesFull, StateFull; KeyError for a kind that is not registered. Nothing is changed then.
        """
        self._offers.ensure_capacity()
        record = self.replica.write(now_us, kind, key, value)
        offer = self._offers.add([record])
        self._outbox.add(Apply((record,)))
        if self._sync.synchronized and self._links.primary is not None:
            self._outbox.send(self._links.primary, offer)
        return offer.number, record, self._finish(mono_us)

    def abandon(self, number: int) -> None:
        """Progress of this change is of no interest any more; the change itself stays and spreads."""
        self._offers.drop(number)

    def has_lease(self, mono_us: int) -> bool:
        """Whether a majority's state not older than the bound is known. Cheap enough for each send."""
        return self.lease.is_valid(mono_us)

    def status(self, kind: str, mono_us: int) -> ObserverStatus:
        """What may be done with records of a kind now."""
        leased = self.lease.is_valid(mono_us)
        may_act = leased or self.options.mode_of(kind) is Mode.SERVE
        return ObserverStatus(may_act, not leased, self.lease.age_us(mono_us))

    def goodbye(self) -> list[Action]:
        """The last job is sent: leave the voters. Nothing may be sent to workers from now on."""
        self._links.stop("goodbye")
        return self._outbox.take()

    def change_voters(self, now_us: int, mono_us: int, options: ControlOptions) -> list[Action]:
        """Use another list of voters."""
        self.options = self._links.options = options
        self._links.selection.reconfigure(options.voters)
        for link, one in list(self._links.by_link.items()):
            if one.voter not in options.voters:
                self._drop(now_us, mono_us, link, f"{one.voter} is no voter any more")
        return self.tick(now_us, mono_us)

    # Time

    def tick(self, now_us: int, mono_us: int) -> list[Action]:
        """Time has passed."""
        if mono_us >= self._collect_us:
            self._collect_us = mono_us + COLLECT_INTERVAL_US
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
        """When `tick` is due at the latest (monotonic)."""
        times = [self._collect_us, *self._links.heartbeats_due_us()]
        if self._links.primary is not None and self._sync.needs_confirmation():
            times.append(self._sync.confirm_due_us)
        if self._reported_lease:
            times.append(self.lease.until_us() + 1)
        if (connect_us := self._links.connect_due_us(synchronized=self.synchronized)) is not None:
            times.append(connect_us)
        return max(mono_us + 1, min(times))

    # Status

    @property
    def voter(self) -> str | None:
        """The primary voter, if there is one."""
        return self._links.primary_voter

    @property
    def spare_voter(self) -> str | None:
        """The voter of the spare link, if there is one."""
        return self._links.spare_voter

    @property
    def primary_changes(self) -> int:
        """How often this observer has joined a primary voter."""
        return self._links.primary_changes

    @property
    def synchronized(self) -> bool:
        """Whether the replica has all that the primary voter had at some moment."""
        return self._sync.synchronized

    # Messages

    def _dispatch(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        one = self._links.by_link[link]
        one.last_received_us = mono_us
        if isinstance(message, wire.HeartbeatReply):
            one.majority_age_us = message.age_us if message.age_us >= 0 else None
        if isinstance(message, wire.Refused):
            raise JoinRefused(f"{one.voter} refused us: {message.why}")
        if isinstance(message, wire.Welcome):
            one.welcomed = True
        if link == self._links.primary:
            self._handle_from_primary(now_us, mono_us, link, message)

    def _handle_from_primary(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        match message:
            case wire.Welcome(resumed=True):
                self._complete_sync(mono_us, link)
            case wire.Welcome():
                self._sync.start_over(message.voter, message.incarnation)
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
                raise JoinRefused(f"{type(message).__name__} came, which voters don't send to observers")

    def _handle_heartbeat_reply(self, reply: wire.HeartbeatReply) -> None:
        self._sync.reached(reply.position, urgent=False)
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

    # Consequences

    def _finish(self, mono_us: int) -> list[Action]:
        """Everything that follows from a call."""
        if self._links.primary is not None:
            self._sync.confirm(mono_us, self._links.primary)
        self._report_lease(mono_us)
        return self._outbox.take()

    def _report_lease(self, mono_us: int) -> None:
        valid = self.lease.is_valid(mono_us)
        if valid != self._reported_lease:
            self._reported_lease = valid
            self._lease_lost_us = mono_us
            self._outbox.add(LeaseChanged(valid, self.lease.age_us(mono_us)))

    def _complete_sync(self, mono_us: int, link: Link) -> None:
        """The replica is synchronized: offer pending changes; the voter's replies count from now on."""
        self._sync.complete(mono_us)
        for offer in self._offers:
            self._outbox.send(link, offer)
        self.lease.start_counting()
        self._links.by_link[link].next_heartbeat_us = mono_us
        self._send_heartbeats(mono_us)

    def _send_heartbeats(self, mono_us: int) -> None:
        self._links.send_heartbeats(mono_us, self.lease, synchronized=self.synchronized)

    # The primary voter

    def _make_primary(self, now_us: int, mono_us: int, link: Link) -> None:
        """Join the voter of this link: its replies don't count until the replica is synchronized with it."""
        without_lease_us = mono_us - self._lease_lost_us
        if not self.lease.is_valid(mono_us) and self.replica.stale(now_us, without_lease_us):
            self._sync.clear(without_lease_us)
        self._sync.begin()
        self.lease.reset()
        self._links.make_primary(mono_us, link, self._sync.feed_position)

    def _fail_over(self, now_us: int, mono_us: int) -> None:
        primary = self._links.primary
        if primary is not None and self._links.should_fail_over(mono_us, self.lease.age_us(mono_us)):
            self._drop(now_us, mono_us, primary, "it does not renew the lease")

    def _drop_silent_links(self, now_us: int, mono_us: int) -> None:
        for link in list(self._links.by_link):
            if self._links.is_silent(mono_us, link):
                self._drop(now_us, mono_us, link, "nothing came for half of the bound")

    def _drop(self, now_us: int, mono_us: int, link: Link, why: str) -> None:
        self._outbox.disconnect(link, why)
        self._closed(now_us, mono_us, link)

    def _closed(self, now_us: int, mono_us: int, link: Link) -> None:
        """A link has ended; the spare one takes the place of the primary one."""
        if not self._links.closed(mono_us, link):
            return
        self._sync.stop()
        self.lease.reset()
        spare = self._links.take_spare()
        if spare is not None:
            self._make_primary(now_us, mono_us, spare)
