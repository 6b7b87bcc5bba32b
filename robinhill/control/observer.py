"""A scheduler that observes, as a state machine: what came in, what is to be done. No I/O.

It keeps a link to one voter, from which it gets all changes and its lease, and a spare one to another. It
never goes back in time: its copy only grows by merging, its moment (`ObserverLease`) only advances, and a new
voter's answers count once what each held and the other lacked has been exchanged.

All times are microseconds: ``now_us`` Unix time that never steps back, ``mono_us`` this process's monotonic
clock. After each call carry out the actions in their order; call `tick` at `next_us` at the latest.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random

from robinhill.control import messages as wire
from robinhill.control.actions import (
    Action,
    Apply,
    Connect,
    Disconnect,
    LeaseChanged,
    Link,
    Progressed,
    Send,
)
from robinhill.control.errors import ChangesFull, JoinRefused
from robinhill.control.lease import ObserverLease
from robinhill.control.options import ControlOptions
from robinhill.control.record_merging import Declined, merge_records, refused
from robinhill.control.voter_selection import VoterSelection
from robinhill.cordon.propagation import Mode
from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica

CONFIRM_INTERVAL_US = 10_000
"""From one confirmation to the next: what comes between shares one."""

MAX_PENDING_OFFERS = 1_024
"""Own changes that may wait to be in force; beyond it the oldest accepted one is forgotten."""

MAX_RECORDS_PER_OFFER = 64
SOFT_MAX_OFFER_BYTES = 32 << 10
"""Records, and bytes of their values, in one offer of what a voter was found to lack."""

REPAIR_INTERVAL_US = 30_000_000
"""From one comparison by digests to the next, at most: two kilobytes each."""

RETRY_INTERVAL_US = 5_000_000
"""The same after a record was refused here."""

COLLECT_INTERVAL_US = 1_000_000
SILENT_BOUNDS = 2
"""A link on which nothing came for the bound divided by this is given up."""


@dataclass(slots=True)
class _VoterLink:
    """A link to a voter. ``age_us``: how fresh it said it is; None: nothing was said, or it is not."""

    voter: str
    last_received_us: int
    next_heartbeat_us: int
    welcomed: bool = False
    age_us: int | None = None


@dataclass(slots=True)
class _FeedPosition:
    """Up to where we hold all changes of one start of one voter."""

    voter: str = ""
    incarnation: int = 0
    position: int = -1
    urgent: int = -1


@dataclass(slots=True, frozen=True)
class Standing:
    """What may be done with records of a kind. ``may_act``: whether new work may go by them; ``stale``:
    without a lease; ``age_us``: as of how long ago a majority is known, None: never yet."""

    may_act: bool
    stale: bool
    age_us: int | None


class Observer:
    """``replica`` is the observer's own copy, in memory only. ``rng`` jitters reconnections."""

    def __init__(
        self, options: ControlOptions, incarnation: int, replica: Replica, rng: Random, mono_us: int
    ) -> None:
        self.options = options
        self.name = options.name
        self.incarnation = incarnation
        self.replica = replica
        self.lease = ObserverLease(options.bound_us)
        self.choice = VoterSelection(options.voters, options.place, rng)
        self.moves = 0
        self._rng = rng
        self._links: dict[Link, _VoterLink] = {}
        self._primary: Link | None = None
        self._spare: Link | None = None
        self._joins = 0
        self._feed_position = (
            _FeedPosition()
        )  # of the voter before, until a comparison with the new one is done
        self._in_step = False
        self._received = 0
        self._confirmed = (0, -1, -1)
        self._confirm_us = mono_us
        self._compared_names: dict[int, set[tuple[str, str]]] = {}  # names of the range that is on its way
        self._missing_at_voter: dict[tuple[str, str], None] = {}  # what the voter was found to lack
        self._repair_us = 0
        self._refused = False  # a record was refused: we don't hold all that the voter holds
        self._refused_now = False  # the same, in the comparison that is on
        self._offers: dict[int, tuple[Record, ...]] = {}
        self._accepted: set[int] = set()  # of the offers
        self._offer = 0
        self._reported_lease = False
        self._lease_lost_us = mono_us  # since when there has been no lease, or the observer runs
        self._collect_us = mono_us + COLLECT_INTERVAL_US
        self._primary_since_us = mono_us
        self._left = False
        self._out: list[Action] = []

    # Links

    def start(self, now_us: int, mono_us: int) -> list[Action]:
        """The first call."""
        return self.tick(now_us, mono_us)

    def linked(self, now_us: int, mono_us: int, link: Link, voter: str) -> list[Action]:
        """A connection that `Connect` asked for is open."""
        self.choice.backoff.connected(voter)
        wanted = self._primary is None or self._spare is None
        if self._left or not wanted or voter not in self.options.voters or voter in self._linked_voters():
            self._out.append(Disconnect(link, "it is not needed"))
            return self._actions()
        self._links[link] = _VoterLink(voter, mono_us, mono_us)
        if self._primary is None:
            self._make_primary(now_us, mono_us, link)
        else:
            self._spare = link
            self._join(link, spare=True)
        return self._done(mono_us)

    def failed(self, mono_us: int, voter: str) -> None:
        """A connection that `Connect` asked for could not be opened."""
        self.choice.backoff.failed(mono_us, voter)

    def unlinked(self, now_us: int, mono_us: int, link: Link) -> list[Action]:
        """A connection was lost, or closed by the other side."""
        self._lost(now_us, mono_us, link)
        return self._done(mono_us)

    def received(self, now_us: int, mono_us: int, link: Link, data: bytes) -> list[Action]:
        """A message came. What can't be read ends the link."""
        if link in self._links:
            try:
                self._dispatch(now_us, mono_us, link, wire.read(data))
            except MeshError as e:
                self._drop(now_us, mono_us, link, str(e))
        return self._done(mono_us)

    # Changes and leases

    def write(
        self, now_us: int, mono_us: int, kind: str, key: str, value: object
    ) -> tuple[int, Record, list[Action]]:
        """Write a record here and offer it to the voters. Returns the number by which `Progressed` tells of
        it.

        Raises ChangesFull, StateFull; KeyError for a kind that is not registered. Nothing is changed then.
        """
        self._ensure_capacity()
        record = self.replica.write(now_us, kind, key, value)
        self._offer += 1
        self._offers[self._offer] = (record,)
        self._out.append(Apply((record,)))
        if self._in_step:
            self._send(self._primary, wire.Offer(self._offer, (record,)))
        return self._offer, record, self._done(mono_us)

    def _ensure_capacity(self) -> None:
        if len(self._offers) < MAX_PENDING_OFFERS:
            return
        accepted = next((number for number in self._offers if number in self._accepted), None)
        if accepted is None:
            raise ChangesFull(f"{len(self._offers)} changes are waited for, none of them accepted")
        self.abandon(accepted)

    def abandon(self, number: int) -> None:
        """Nobody waits for this change any more; what was written stays and spreads."""
        self._offers.pop(number, None)
        self._accepted.discard(number)

    def holds_lease(self, mono_us: int) -> bool:
        """Whether a majority is known as of no longer ago than the bound. Cheap: for each send."""
        return self.lease.holds(mono_us)

    def standing(self, kind: str, mono_us: int) -> Standing:
        """What may be done with records of a kind now."""
        fresh = self.lease.holds(mono_us)
        may_act = fresh or self.options.mode_of(kind) is Mode.SERVE
        return Standing(may_act, not fresh, self.lease.age_us(mono_us))

    def goodbye(self) -> list[Action]:
        """The last send is done: say so to the voters. Nothing else may be sent to workers from now on."""
        self._left = True
        for link in list(self._links):
            self._send(link, wire.Goodbye())
            self._out.append(Disconnect(link, "goodbye"))
        self._links.clear()
        self._primary = self._spare = None
        return self._actions()

    def change_voters(self, now_us: int, mono_us: int, options: ControlOptions) -> list[Action]:
        """The operators' file names other voters now."""
        self.options = options
        self.choice.reconfigure(options.voters)
        for link, one in list(self._links.items()):
            if one.voter not in options.voters:
                self._drop(now_us, mono_us, link, f"{one.voter} is no voter any more")
        return self.tick(now_us, mono_us)

    # Time

    def tick(self, now_us: int, mono_us: int) -> list[Action]:
        """Time has gone on."""
        if mono_us >= self._collect_us:
            self._collect_us = mono_us + COLLECT_INTERVAL_US
            self.replica.collect(now_us)
        if not self._left:
            self._drop_silent(now_us, mono_us)
            self._move_if_behind(now_us, mono_us)
            self._connect(mono_us)
            self._send_heartbeats(mono_us)
            self._repair(now_us, mono_us)
        return self._done(mono_us)

    def next_us(self, mono_us: int) -> int:
        """When `tick` is due at the latest (monotonic)."""
        times = [self._collect_us]
        times += [one.next_heartbeat_us for one in self._links.values() if one.welcomed]
        if self._confirm_due():
            times.append(self._confirm_us)
        if self._reported_lease:
            times.append(self.lease.until_us() + 1)
        if self._wants_link() and (due_us := self.choice.due_us(self._linked_voters())) is not None:
            times.append(due_us)
        return max(mono_us + 1, min(times))

    @property
    def voter(self) -> str | None:
        """The voter that this observer has, if any."""
        return self._links[self._primary].voter if self._primary is not None else None

    @property
    def spare_voter(self) -> str | None:
        """The voter to which the spare link goes, if any."""
        return self._links[self._spare].voter if self._spare is not None else None

    @property
    def in_step(self) -> bool:
        """Whether all that the voter held at some moment is here."""
        return self._in_step

    # What came

    def _dispatch(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        one = self._links[link]
        one.last_received_us = mono_us
        if isinstance(message, wire.HeartbeatReply):
            one.age_us = message.age_us if message.age_us >= 0 else None
        if isinstance(message, wire.Refused):
            raise JoinRefused(f"{one.voter} refused us: {message.why}")
        if isinstance(message, wire.Welcome):
            one.welcomed = True
        if link == self._primary:
            self._from_primary(now_us, mono_us, link, message)

    def _from_primary(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        match message:
            case wire.Welcome():
                self._welcomed(mono_us, link, message)
            case wire.Compare():
                self._send_digests(now_us, link)
            case wire.RangeRecords(parts=parts):
                self._received += 1
                for part in parts:
                    self._take_part(now_us, part)
            case wire.Compared(position=position):
                self._received += 1
                self._compared(mono_us, link, position)
            case wire.Changes():
                self._received += 1
                self._take(now_us, message.records)
                self._reached(message.position, message.urgent)
            case wire.HeartbeatReply():
                self._reached(message.position, False)
                if not self._refused:
                    self.lease.answered(message.number, message.age_us)
            case wire.Progress():
                self._progress(message)
            case _:
                raise JoinRefused(f"{type(message).__name__} came, which voters don't send to observers")

    def _welcomed(self, mono_us: int, link: Link, welcome: wire.Welcome) -> None:
        if welcome.resumed:
            self._stepped_in(mono_us, link)
        else:
            self._feed_position = _FeedPosition(welcome.voter, welcome.incarnation)

    def _send_digests(self, now_us: int, link: Link) -> None:
        digests = b"".join(value.to_bytes(8, "big") for value in self.replica.ranges(now_us))
        self._compared_names.clear()
        self._missing_at_voter.clear()
        self._refused_now = False
        self._send(link, wire.Digests(now_us, digests))

    def _take_part(self, now_us: int, part: wire.RangePart) -> None:
        given = self._compared_names.setdefault(part.index, set())
        self._take(now_us, part.records)
        for record in part.records:
            if self.replica.record(*record.name) == record:
                given.add(record.name)
        if not part.last:
            return
        del self._compared_names[part.index]
        for record in self.replica.in_range(part.index):
            if record.name not in given and record.until_us > now_us:
                self._missing_at_voter[record.name] = None

    def _compared(self, mono_us: int, link: Link, position: int) -> None:
        self._offer_lacking(link)
        if position > 0 or not self._in_step:  # else nothing was compared
            self._refused = self._refused_now
            self._reached(position, False)
        if not self._in_step:
            self._stepped_in(mono_us, link)

    def _offer_lacking(self, link: Link) -> None:
        batch: list[Record] = []
        for name in self._missing_at_voter:
            record = self.replica.record(*name)
            if record is not None:
                batch.append(record)
            if (
                len(batch) >= MAX_RECORDS_PER_OFFER
                or sum(len(one.value) for one in batch) >= SOFT_MAX_OFFER_BYTES
            ):
                self._send(link, wire.Offer(0, tuple(batch)))
                batch.clear()
        if batch:
            self._send(link, wire.Offer(0, tuple(batch)))
        self._missing_at_voter.clear()

    def _stepped_in(self, mono_us: int, link: Link) -> None:
        """All that the voter held is here, and it has been sent what it lacked: its answers count now."""
        self._in_step = True
        self._confirmed = (-1, -1, -1)  # so that the voter hears in any case where we stand
        for number, records in self._offers.items():
            self._send(link, wire.Offer(number, records))
        self.lease.in_step()
        self._confirm_us = mono_us
        self._repair_us = mono_us + self._rng.randint(REPAIR_INTERVAL_US // 2, REPAIR_INTERVAL_US)
        self._links[link].next_heartbeat_us = mono_us
        self._send_heartbeats(mono_us)

    def _take(self, now_us: int, records: Iterable[Record]) -> None:
        changed, declined = merge_records(self.replica, now_us, records)
        if refused(declined):
            self._refused = self._refused_now = True
        self._applied(changed, declined)

    def _applied(self, changed: Collection[Record], declined: Collection[Declined]) -> None:
        if changed or declined:
            self._out.append(Apply(tuple(changed), tuple(declined)))

    def _reached(self, position: int, urgent: bool) -> None:
        if self._refused:
            return  # what lies behind a record that was refused can't be confirmed
        place = self._feed_position
        place.urgent = max(place.urgent, position)
        if not urgent:
            place.position = max(place.position, position)

    def _progress(self, progress: wire.Progress) -> None:
        if progress.number not in self._offers:
            return
        if progress.accepted:
            self._accepted.add(progress.number)
        if progress.in_force:
            self.abandon(progress.number)
        self._out.append(
            Progressed(progress.number, progress.accepted, progress.in_force, progress.behind, progress.names)
        )

    # What follows

    def _done(self, mono_us: int) -> list[Action]:
        self._confirm(mono_us)
        self._report_lease(mono_us)
        return self._actions()

    def _actions(self) -> list[Action]:
        actions, self._out = self._out, []
        return actions

    def _confirm_due(self) -> bool:
        place = self._feed_position
        return self._primary is not None and self._confirmed != (
            self._received,
            place.position,
            place.urgent,
        )

    def _confirm(self, mono_us: int) -> None:
        """Confirm what is applied: at once, but not more often than every few milliseconds."""
        if not self._confirm_due() or mono_us < self._confirm_us:
            return
        place = self._feed_position
        self._confirmed = self._received, place.position, place.urgent
        self._confirm_us = mono_us + CONFIRM_INTERVAL_US
        if self._in_step:
            self._send(self._primary, wire.Applied(*self._confirmed))
        else:
            self._send(self._primary, wire.Applied(self._received, -1, -1))

    def _report_lease(self, mono_us: int) -> None:
        held = self.lease.holds(mono_us)
        if held != self._reported_lease:
            self._reported_lease = held
            self._lease_lost_us = mono_us
            self._out.append(LeaseChanged(held, self.lease.age_us(mono_us)))

    def _send_heartbeats(self, mono_us: int) -> None:
        """Heartbeats to the voter, which renew the lease, and to the spare, which tell that it is there."""
        for link, one in self._links.items():
            if mono_us < one.next_heartbeat_us or not one.welcomed:
                continue
            primary = link == self._primary
            one.next_heartbeat_us = mono_us + (1 if primary else 2) * self.options.heartbeat_us
            if primary and self._in_step:
                self._send(link, wire.Heartbeat(self.lease.wrote(mono_us)))
            else:
                self._send(link, wire.Heartbeat(0))

    def _repair(self, now_us: int, mono_us: int) -> None:
        if self._refused:
            self._repair_us = min(self._repair_us, mono_us + RETRY_INTERVAL_US)
        if self._in_step and self._primary is not None and mono_us >= self._repair_us:
            longest_us = RETRY_INTERVAL_US if self._refused else REPAIR_INTERVAL_US
            self._repair_us = mono_us + self._rng.randint(longest_us // 2, longest_us)
            self._send_digests(now_us, self._primary)

    # Voters

    def _connect(self, mono_us: int) -> None:
        """Connect to a voter; once in step, to a spare one."""
        if not self._wants_link():
            return
        voter = self.choice.next(mono_us, self._linked_voters())
        if voter is not None:
            self.choice.backoff.connect(mono_us, voter)
            self._out.append(Connect(voter))

    def _wants_link(self) -> bool:
        return self._primary is None or (self._spare is None and self._in_step)

    def _linked_voters(self) -> set[str]:
        return {one.voter for one in self._links.values()}

    def _join(self, link: Link, *, spare: bool) -> None:
        self._joins += 1
        place = self._feed_position
        options = self.options
        self._send(
            link,
            wire.Join(
                wire.PROTOCOL,
                options.installation,
                self.name,
                self.incarnation,
                options.bound_us,
                options.modes,
                spare,
                self._joins,
                place.voter,
                place.incarnation,
                place.position,
            ),
        )

    def _make_primary(self, now_us: int, mono_us: int, link: Link) -> None:
        """Join the voter behind this link: nothing that it says counts until we are in step with it."""
        away_us = mono_us - self._lease_lost_us
        if not self.lease.holds(mono_us) and self.replica.stale(now_us, away_us):
            self.replica.clear(away_us)
            self._feed_position = _FeedPosition()
        self._primary = link
        self._in_step = False
        self._received = 0
        self._confirmed = (0, self._feed_position.position, self._feed_position.urgent)
        self._compared_names.clear()
        self._missing_at_voter.clear()
        self._primary_since_us = mono_us
        self.moves += 1
        self.lease.moved()
        self._join(link, spare=False)

    def _move_if_behind(self, now_us: int, mono_us: int) -> None:
        """Go over to the spare voter where ours has not renewed the lease for half of the bound, and the
        spare one knows a majority from less long ago."""
        if self._primary is None or self._spare is None:
            return
        half_us = self.options.bound_us // 2
        if mono_us - self._primary_since_us < half_us:
            return
        age_us, spare = self.lease.age_us(mono_us), self._links[self._spare]
        if age_us is not None and age_us <= half_us:
            return
        if spare.age_us is None or spare.age_us > half_us:
            return
        self._drop(now_us, mono_us, self._primary, "it does not renew the lease")

    def _drop_silent(self, now_us: int, mono_us: int) -> None:
        patience_us = self.options.bound_us // SILENT_BOUNDS
        for link, one in list(self._links.items()):
            if mono_us - one.last_received_us > patience_us + 2 * self.options.heartbeat_us * (
                link != self._primary
            ):
                self._drop(now_us, mono_us, link, "nothing came for half of the bound")

    def _drop(self, now_us: int, mono_us: int, link: Link, why: str) -> None:
        self._out.append(Disconnect(link, why))
        self._lost(now_us, mono_us, link)

    def _lost(self, now_us: int, mono_us: int, link: Link) -> None:
        one = self._links.pop(link, None)
        if one is None:
            return
        self.choice.backoff.failed(mono_us, one.voter)
        if link == self._spare:
            self._spare = None
        if link != self._primary:
            return
        self._primary, self._in_step = None, False
        self.lease.moved()
        if self._spare is not None:
            spare, self._spare = self._spare, None
            self._make_primary(now_us, mono_us, spare)

    def _send(self, link: Link | None, message: wire.AnyMessage) -> None:
        if link is not None:
            self._out.append(Send(link, wire.write(message)))
