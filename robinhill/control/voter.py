"""A voter of the control group as a state machine: what came in, what is to be done. No I/O.

Voters replicate records among themselves by the sessions of the mesh (`peers`), each linked to each; only
voters count for majorities. Observers join one voter each and get a feed of changes (`audience`). A change
that a voter is told of is followed until it is in force everywhere (`following`, `tally`).

All times are microseconds: ``now_us`` Unix time that never steps back, ``mono_us`` this process's monotonic
clock. After each call carry out the actions in their order; call `tick` at `next_us` at the latest.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random

from robinhill.control import messages as wire
from robinhill.control.actions import Action, Apply, CaughtUp, Link, Progressed, VotersSettled
from robinhill.control.changelog import ChangeLog
from robinhill.control.commit_tracker import CommitTracker
from robinhill.control.errors import ChangesFull, JoinRefused, VotersNotOneAtATime
from robinhill.control.observer_progress import Key, ObserverProgress
from robinhill.control.observer_sessions import ObserverSessions
from robinhill.control.options import ControlOptions
from robinhill.control.outbox import Metrics, Outbox
from robinhill.control.record_merging import merge_records, refused
from robinhill.control.voter_links import VoterLink, VoterLinks
from robinhill.cordon.propagation import Mode
from robinhill.mesh.errors import MeshError
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.session_events import Event, HelloReceived, PingAnswered, RecordsReceived

FLUSH_INTERVAL_US = 5_000
"""From one round of messages with changes to the next; the first goes at once."""

STATUS_INTERVAL_US = 50_000
"""From one word on who is behind to the next, unless nobody is any more."""

COLLECT_INTERVAL_US = 1_000_000


@dataclass(slots=True)
class _Requester:
    """Who asked for a change: an observer's link and its number there, or our caller."""

    link: Link | None
    number: int


class Voter:
    """``replica`` may hold what was read from disk. ``rng`` jitters reconnections."""

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
        self.log = ChangeLog(replica, urgent_kinds)
        self.freshness = Freshness(self.name, options.voters, options.bound_us)
        self.freshness.started(self.name, incarnation)
        self.commit_tracker = CommitTracker(self.name, incarnation, options.bound_us, self.freshness.quorum)
        self.observer_progress = ObserverProgress(mono_us, options.bound_us)
        self._outbox = Outbox()
        self._voter_links = VoterLinks(
            options, incarnation, replica, self.freshness, rng, self._outbox, self._brought_by_another
        )
        self._sessions = ObserverSessions(
            options, incarnation, self.log, self.observer_progress, self.age_us, self._outbox
        )
        self._pending: dict[Link, int] = {}  # accepted, nothing has come yet; since when
        self._requesters: dict[int, _Requester] = {}
        self._last_change = 0
        self._status_sent_us: dict[Key, int] = {}
        self._flushed_us = mono_us - FLUSH_INTERVAL_US
        self._unflushed = False
        self._collect_us = mono_us + COLLECT_INTERVAL_US
        self._review_us = mono_us

    # Links

    def start(self, now_us: int, mono_us: int) -> list[Action]:
        """The first call."""
        if len(self._voter_links.names) == 1:
            self._catch_up()
        return self.tick(now_us, mono_us)

    def accepted(self, mono_us: int, link: Link) -> None:
        """Somebody has connected; its first message tells who it is."""
        self._pending[link] = mono_us

    def linked(self, now_us: int, mono_us: int, link: Link, voter: str) -> list[Action]:
        """A connection that `Connect` asked for is open."""
        self._voter_links.dialed(mono_us, link, voter)
        return self._done(now_us, mono_us)

    def failed(self, mono_us: int, voter: str) -> None:
        """A connection that `Connect` asked for could not be opened."""
        self._voter_links.failed(mono_us, voter)

    def unlinked(self, now_us: int, mono_us: int, link: Link) -> list[Action]:
        """A connection was lost, or closed by the other side."""
        self._lost(mono_us, link)
        return self._done(now_us, mono_us)

    def received(self, now_us: int, mono_us: int, link: Link, data: bytes) -> list[Action]:
        """A message came. Who sends what can't be read or does not belong here is refused."""
        head = self.replica.head
        try:
            self._dispatch(now_us, mono_us, link, wire.read(data))
        except MeshError as e:
            self._refuse(mono_us, link, str(e))
        return self._done(
            now_us, mono_us, sessions=link in self._voter_links.links or self.replica.head != head
        )

    # Changes

    def write(
        self, now_us: int, mono_us: int, kind: str, key: str, value: object
    ) -> tuple[int, Record, list[Action]]:
        """Write a record here and follow it. Returns the number by which `Progressed` tells of it.

        Raises ChangesFull, StateFull; KeyError for a kind that is not registered. Nothing is changed then.
        """
        self.commit_tracker.ensure_capacity()
        record = self.replica.write(now_us, kind, key, value)
        self._record_changes([record])
        number = self._track_change(mono_us, [record], _Requester(None, 0))
        return number, record, self._done(now_us, mono_us)

    def change_voters(self, now_us: int, mono_us: int, options: ControlOptions) -> list[Action]:
        """Go by another list of voters, which differs by one. Raises VotersNotOneAtATime."""
        changed = frozenset(options.voters) ^ frozenset(self.options.voters)
        if len(changed) > 1:
            raise VotersNotOneAtATime(f"{', '.join(sorted(changed))} would be added or removed at once")
        if changed and len(self.freshness.quorum.lists) > 1:
            raise VotersNotOneAtATime("the change before has not settled")
        self.options = self._sessions.options = options
        if changed:
            self._voter_links.reconfigure(options)
            self.commit_tracker.reconfigured(mono_us)
            for link in list(self._voter_links.links):
                self._drop(mono_us, link, "the list of voters has changed")
        return self._done(now_us, mono_us)

    def vouch(self, now_us: int, mono_us: int) -> list[Action]:
        """An operator says that nothing is in force that is not known here."""
        self._catch_up()
        return self._done(now_us, mono_us)

    def forget(self, now_us: int, mono_us: int, observer: str) -> list[Action]:
        """An operator says that a scheduler runs no more."""
        self._sessions.forget(observer)
        return self._done(now_us, mono_us)

    # Time

    def tick(self, now_us: int, mono_us: int) -> list[Action]:
        """Time has gone on."""
        if mono_us >= self._collect_us:
            self._collect_us = mono_us + COLLECT_INTERVAL_US
            if self.replica.collect(now_us):
                self.log.collected()
            self._drop_silent(mono_us)
            self._sessions.review(mono_us)
            if departed := self.observer_progress.departed_to_query(mono_us):
                self._voter_links.to_all(wire.Departed(departed))
        self._voter_links.connect(mono_us)
        if self._voter_links.settles(mono_us):
            self.commit_tracker.reconfigured(mono_us)
            self._outbox.add(VotersSettled())
        return self._done(now_us, mono_us)

    def next_us(self, mono_us: int) -> int:
        """When `tick` is due at the latest (monotonic)."""
        times = [self._collect_us, *self._voter_links.next_us()]
        if self._unflushed:
            times.append(self._flushed_us + FLUSH_INTERVAL_US)
        if (following_us := self.commit_tracker.next_us()) is not None:
            times.append(following_us)
        if self.observer_progress.dirty:
            times.append(mono_us + STATUS_INTERVAL_US)
        return max(mono_us + 1, min(times))

    # Figures

    def age_us(self, mono_us: int) -> int | None:
        """As of how long ago a majority of voters is known; None if none is."""
        return self._voter_links.ages.age_us(mono_us)

    @property
    def counts(self) -> bool:
        """Whether this voter counts for majorities."""
        return self.freshness.caught_up

    @property
    def linked_voters(self) -> tuple[str, ...]:
        """Voters with a link that is up, ascending."""
        return tuple(sorted(self._voter_links.by_name))

    @property
    def linked_observers(self) -> int:
        """Observers that have this voter, those in step and those that are brought in step."""
        return sum(one.feed is not None for one in self._sessions.links.values())

    @property
    def metrics(self) -> Metrics:
        """Counts since the start."""
        return self._outbox.metrics

    # What came

    def _dispatch(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        if link in self._pending:
            self._first(now_us, mono_us, link, message)
        elif link in self._voter_links.links:
            self._from_voter(now_us, mono_us, link, message)
        elif link in self._sessions.links:
            self._sessions.links[link].last_received_us = mono_us
            if isinstance(message, wire.Offer):
                self._handle_offer(now_us, mono_us, link, message)
            else:
                self._sessions.received(now_us, mono_us, link, message)

    def _first(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        del self._pending[link]
        if isinstance(message, wire.Join):
            self._sessions.first(now_us, mono_us, link, message)
        elif isinstance(message, wire.MeshData):
            self._voter_links.answered(mono_us, link)
            self._from_voter(now_us, mono_us, link, message)
        else:
            raise JoinRefused(f"a link began with {type(message).__name__}")

    def _from_voter(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        voter = self._voter_links.links[link]
        voter.last_received_us = mono_us
        if isinstance(message, wire.MeshData):
            for event in voter.session.receive(now_us, mono_us, message.data):
                self._handle_session_event(mono_us, link, event)
        elif voter.name is not None:  # else it speaks before it has greeted, and nothing can be placed
            self._handle_voter_message(mono_us, voter, voter.name, message)

    def _handle_voter_message(
        self, mono_us: int, voter: VoterLink, name: str, message: wire.AnyMessage
    ) -> None:
        match message:
            case wire.VoterStatus():
                voter.status = message
                self._record_incarnations(message.starts)
            case wire.Barrier(number=number, urgent=urgent, hold=hold):
                self.observer_progress.track(
                    mono_us, (name, number), self.log.head(urgent), urgent=urgent, hold=hold
                )
            case wire.BarrierStatus():
                self._record_incarnations(message.starts)
                self.commit_tracker.record_status(mono_us, name, message)
            case wire.BarrierEnd():
                self.observer_progress.untrack((name, message.number))
            case wire.Moved():
                for observer in message.observers:
                    self._sessions.moved_elsewhere(*observer)
            case wire.Departed():
                if (
                    known := self.observer_progress.newer_joins(message.observers)
                ) and name in self._voter_links.by_name:
                    self._outbox.send_to_voter(self._voter_links.by_name[name], wire.Moved(known))
            case _:
                raise JoinRefused(f"{name} sent {type(message).__name__}, which voters don't")

    def _handle_session_event(self, mono_us: int, link: Link, event: Event) -> None:
        voter = self._voter_links.links[link]
        match event:
            case HelloReceived(hello=hello):
                self._greeted(mono_us, link, hello.name, hello.incarnation)
            case RecordsReceived(records=records, rejected=declined):
                self._record_changes(records, declined)
                if voter.name is not None and refused(declined):
                    self._voter_links.refusals.refused(voter.name, voter.session)
            case PingAnswered():
                if not self.counts and not self._voter_links.refusals and self.freshness.may_catch_up():
                    self._catch_up()
                if voter.name is not None and self._voter_links.refusals.recovered(voter.name, voter.session):
                    self.observer_progress.dirty.update(self.observer_progress.tracked)

    def _greeted(self, mono_us: int, link: Link, name: str, incarnation: int) -> None:
        if (before := self._voter_links.by_name.get(name)) is not None:
            self._drop(mono_us, before, f"{name} has connected anew")
        self._voter_links.greeted(link, name)
        self._record_incarnations([(name, incarnation)])
        if observers := self.observer_progress.synchronized_observers():
            moved = tuple((one.name, one.incarnation, one.join) for one in observers)
            self._outbox.send_to_voter(link, wire.Moved(moved))

    def _record_incarnations(self, starts: Iterable[tuple[str, int]]) -> None:
        for name, incarnation in self._voter_links.started(starts):
            self.commit_tracker.voter_restarted(name, incarnation)

    def _handle_offer(self, now_us: int, mono_us: int, link: Link, offer: wire.Offer) -> None:
        changed, declined = merge_records(self.replica, now_us, offer.records)
        self._record_changes(changed, declined)
        if not offer.number:
            return
        try:
            self.commit_tracker.ensure_capacity()
        except ChangesFull as e:  # it spreads all the same; only nobody can say how far it is
            self._report_untracked(link, offer.number, e.what)
            return
        if refused(declined):
            self._report_untracked(link, offer.number, declined[0][1].what)
            return
        self._track_change(mono_us, offer.records, _Requester(link, offer.number))

    def _report_untracked(self, link: Link, number: int, why: str) -> None:
        progress = wire.Progress(number, False, False, 1, (f"voter {self.name}: {why}",))
        self._outbox.send_to_observer(link, progress)

    def _record_changes(
        self, records: Iterable[Record], declined: Iterable[tuple[Record, MeshError]] = ()
    ) -> None:
        changed, refused = tuple(records), tuple(declined)
        if changed:
            self.log.note(changed)
            self._unflushed = True
        if changed or refused:
            self._outbox.add(Apply(changed, refused))

    def _track_change(self, mono_us: int, records: Iterable[Record], request: _Requester) -> int:
        """Follow a change of these records: by the slowest and strictest of their kinds."""
        kinds = {record.kind for record in records}
        urgent = kinds <= self.log.urgent_kinds
        hold = any(self.options.mode_of(kind) is Mode.HOLD for kind in kinds)
        self._last_change += 1
        self._requesters[self._last_change] = request
        self.commit_tracker.track(mono_us, self._last_change, self.log.head(urgent), urgent=urgent, hold=hold)
        return self._last_change

    def _catch_up(self) -> None:
        if self.counts:
            return
        self.freshness.caught_up = True
        self._outbox.add(CaughtUp())
        self.observer_progress.dirty.update(self.observer_progress.tracked)

    # What follows

    def _done(self, now_us: int, mono_us: int, *, sessions: bool = True) -> list[Action]:
        """What follows from all that was taken in; ``sessions``: other voters may be concerned."""
        if mono_us >= self._review_us:
            self._review_us = mono_us + STATUS_INTERVAL_US
            self.observer_progress.expire_waits(mono_us)
        self._seal(mono_us)
        self._send_due_statuses(mono_us)
        self._notify_progress(mono_us)
        if sessions:
            self._pump(now_us, mono_us)
        self._flush(mono_us)
        if (moved := self._sessions.take_moved()) is not None:
            self._voter_links.to_all(moved)
        return self._outbox.take()

    def _pump(self, now_us: int, mono_us: int) -> None:
        """Let sessions write; send barriers behind the changes that they are about."""
        for link, voter, name in self._voter_links.pump(now_us, mono_us):
            for group in self.commit_tracker.batches_to_query(name, voter.written):
                self._outbox.send_to_voter(link, wire.Barrier(group.number, group.urgent, group.hold))

    def _seal(self, mono_us: int) -> None:
        for group in self.commit_tracker.seal_due_batches(mono_us):
            key = self.name, group.number
            self.observer_progress.track(mono_us, key, group.position, urgent=group.urgent, hold=group.hold)

    def _send_due_statuses(self, mono_us: int) -> None:
        """Tell who is behind a mark: at once where nobody is any more, else not too often."""
        for key in sorted(self.observer_progress.dirty):
            waiting = self.observer_progress.tracked[key].waiting
            if (
                waiting
                and mono_us < self._status_sent_us.get(key, mono_us - STATUS_INTERVAL_US) + STATUS_INTERVAL_US
            ):
                continue
            self.observer_progress.dirty.discard(key)
            self._status_sent_us[key] = mono_us
            self._send_status(mono_us, *key)
        if len(self._status_sent_us) > 2 * len(self.observer_progress.tracked):
            self._status_sent_us = {
                key: at for key, at in self._status_sent_us.items() if key in self.observer_progress.tracked
            }

    def _send_status(self, mono_us: int, origin: str, number: int) -> None:
        mark = self.observer_progress.tracked[origin, number]
        if origin == self.name:
            self.commit_tracker.record_own_status(mono_us, number, mark, self.counts)
            return
        link = self._voter_links.by_name.get(origin)
        if link is None:
            return
        behind, names = len(mark.waiting), sorted(mark.waiting)[: wire.MAX_LAGGING_NAMES]
        counts = self.counts
        if origin in self._voter_links.refusals:
            behind, names, counts = behind + 1, [f"voter {self.name}, which refused a record", *names], False
        starts = self._voter_links.known_incarnations()
        status = wire.BarrierStatus(number, self.incarnation, counts, starts, behind, tuple(names))
        self._outbox.send_to_voter(link, status)

    def _notify_progress(self, mono_us: int) -> None:
        for news in self.commit_tracker.collect_progress(mono_us):
            self._notify_requester(news, self._requesters[news.number])
        for group in self.commit_tracker.take_ended():
            self.observer_progress.untrack((self.name, group.number))
            self._voter_links.to_all(wire.BarrierEnd(group.number))
            for change in group.changes:
                del self._requesters[change]

    def _notify_requester(self, news: Progressed, request: _Requester) -> None:
        if request.link is None:
            self._outbox.add(news)
        elif request.link in self._sessions.links:
            progress = wire.Progress(request.number, news.accepted, news.in_force, news.behind, news.names)
            self._outbox.send_to_observer(request.link, progress)

    def _flush(self, mono_us: int) -> None:
        """Changes go to observers in rounds: at once, but no more often than every few milliseconds."""
        if self._unflushed and mono_us >= self._flushed_us + FLUSH_INTERVAL_US:
            self._unflushed = False
            self._flushed_us = mono_us
            self._sessions.flush(mono_us)

    def _brought_by_another(self, origin: str) -> bool:
        """Whether another voter than we brings what a process wrote to all."""
        observed = self.observer_progress.observers.get(origin)
        ours = observed is not None and observed.link is not None
        return origin != self.name and not ours

    # Links that end

    def _refuse(self, mono_us: int, link: Link, why: str) -> None:
        self.metrics.refused += 1
        if link not in self._voter_links.links:
            self._outbox.send_to_observer(link, wire.Refused(why))
        self._drop(mono_us, link, why)

    def _drop(self, mono_us: int, link: Link, why: str) -> None:
        self._lost(mono_us, link)
        self._outbox.disconnect(link, why)

    def _lost(self, mono_us: int, link: Link) -> None:
        self._pending.pop(link, None)
        self._sessions.lost(link)
        if (name := self._voter_links.lost(mono_us, link)) is not None:
            self.commit_tracker.voter_unlinked(name)
            self.observer_progress.untrack_matching(lambda key: key[0] == name)

    def _drop_silent(self, mono_us: int) -> None:
        """Links on which nothing came for longer than a lease lasts."""
        silent = [link for link, at in self._pending.items() if mono_us - at > self.options.bound_us]
        for link in (*silent, *self._voter_links.silent(mono_us), *self._sessions.silent(mono_us)):
            self._drop(mono_us, link, "nothing came for longer than the bound")
