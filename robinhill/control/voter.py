"""A voter of the control group as a state machine: what came in, what is to be done. No I/O.

Voters replicate records among themselves by the sessions of the mesh (`robinhill.mesh.session`), each linked
to each; only voters count for majorities. Observers join one voter each and get a feed of changes.

All times are microseconds: ``now_us`` Unix time that never steps back, ``mono_us`` this process's monotonic
clock. After each call carry out the actions in their order; call `tick` at `next_us` at the latest.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from robinhill.control import messages as wire
from robinhill.control.actions import (
    Action,
    Apply,
    CaughtUp,
    Connect,
    Disconnect,
    Link,
    Progressed,
    Send,
    VotersSettled,
)
from robinhill.control.backoff import Backoff
from robinhill.control.changelog import ChangeLog
from robinhill.control.errors import ChangesFull, ControlError, JoinRefused, VotersNotOneAtATime
from robinhill.control.feed import Feed
from robinhill.control.following import Following, Group
from robinhill.control.options import ControlOptions
from robinhill.control.taking import take_all
from robinhill.control.tally import Key, Observed, Tally
from robinhill.cordon.promise import Mode, with_slack
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.notices import list_digest
from robinhill.mesh.replica import Replica
from robinhill.mesh.session import Answered, Event, Greeted, Identity, Learned, Session
from robinhill.mesh.words import MeshError, Record

BATCH_US = 5_000
"""From one round of messages with changes to the next; the first goes at once."""

COMPARISONS_AT_ONCE = 64
"""Observers that are brought in step at the same time; others wait their turn."""

STATUS_US = 50_000
"""From one word on who is behind to the next, unless nobody is any more."""

COLLECT_US = 1_000_000


class Now(NamedTuple):
    """Both clocks at one moment."""

    now_us: int
    mono_us: int


@dataclass(slots=True)
class VoterLink:
    """A link to another voter. ``name`` is None until it has greeted; ``dialed``: whom we connected to;
    ``told``: our last word on ourselves."""

    session: Session
    heard_us: int
    dialed: str | None = None
    name: str | None = None
    status: wire.VoterStatus | None = None
    told: wire.VoterStatus | None = None


@dataclass(slots=True)
class ObserverLink:
    """A link from an observer. A spare one has no feed."""

    name: str
    incarnation: int
    join: int
    heard_us: int
    feed: Feed | None = None
    granted: bool = False  # it was asked for digests, and holds one of `COMPARISONS_AT_ONCE`


@dataclass(slots=True)
class _Request:
    """Who asked for a change: an observer's link and its number there, or our caller."""

    link: Link | None
    number: int


@dataclass(slots=True)
class Figures:
    """Counts since the start, for operators."""

    bytes_out: dict[str, int] = field(default_factory=lambda: {"voters": 0, "observers": 0})
    comparisons: int = 0
    refused: int = 0


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
        self.following = Following(self.name, incarnation, options.bound_us, self.freshness.quorum)
        self.tally = Tally(mono_us, options.bound_us)
        self.figures = Figures()
        self._backoff = Backoff(rng)
        self._starts = {self.name: incarnation}
        self._pending: dict[Link, int] = {}  # accepted, nothing has come yet; since when
        self._voters: dict[Link, VoterLink] = {}
        self._by_voter: dict[str, Link] = {}
        self._observers: dict[Link, ObserverLink] = {}
        self._waiting: dict[Link, None] = {}  # for a comparison
        self._comparing: set[Link] = set()
        self._requests: dict[int, _Request] = {}
        self._request = 0
        self._moved: dict[str, tuple[int, int]] = {}
        self._barriers_told: dict[Key, int] = {}
        self._out: list[Action] = []
        self._flushed_us = mono_us - BATCH_US
        self._unflushed = False
        self._collect_us = mono_us + COLLECT_US
        self._review_us = mono_us
        self._agreed_us: int | None = None  # since when all go by the newest list

    # Links

    def start(self, now_us: int, mono_us: int) -> list[Action]:
        """The first call."""
        if len(self.freshness.quorum.names) == 1:
            self._catch_up(mono_us)
        return self.tick(now_us, mono_us)

    def accepted(self, mono_us: int, link: Link) -> None:
        """Somebody has connected; its first message tells who it is."""
        self._pending[link] = mono_us

    def linked(self, now_us: int, mono_us: int, link: Link, voter: str) -> list[Action]:
        """A connection that `Connect` asked for is open."""
        if voter not in self._names():
            self._backoff.connected(voter)
            self._out.append(Disconnect(link, f"{voter} is no voter any more"))
            return self._actions()
        self._voters[link] = VoterLink(self._session(opens=True), mono_us, voter)
        return self._done(Now(now_us, mono_us))

    def failed(self, mono_us: int, voter: str) -> None:
        """A connection that `Connect` asked for could not be opened."""
        self._backoff.failed(mono_us, voter)

    def unlinked(self, now_us: int, mono_us: int, link: Link) -> list[Action]:
        """A connection was lost, or closed by the other side."""
        self._lost(mono_us, link)
        return self._done(Now(now_us, mono_us))

    def received(self, now_us: int, mono_us: int, link: Link, data: bytes) -> list[Action]:
        """A message came. Who sends what can't be read or does not belong here is refused."""
        now = Now(now_us, mono_us)
        head = self.replica.head
        try:
            self._dispatch(now, link, wire.read(data))
        except (MeshError, ControlError) as e:
            self._refuse(mono_us, link, str(e))
        return self._done(now, sessions=link in self._voters or self.replica.head != head)

    # Changes

    def write(
        self, now_us: int, mono_us: int, kind: str, key: str, value: object
    ) -> tuple[int, Record, list[Action]]:
        """Write a record here and follow it. Returns the number by which `Progressed` tells of it.

        Raises ChangesFull, StateFull; KeyError for a kind that is not registered. Nothing is changed then.
        """
        self.following.check_room()
        record = self.replica.write(now_us, kind, key, value)
        self._learned([record])
        number = self._follow(mono_us, [record], _Request(None, 0))
        return number, record, self._done(Now(now_us, mono_us))

    def change_voters(self, now_us: int, mono_us: int, options: ControlOptions) -> list[Action]:
        """Go by another list of voters, which differs by one. Raises VotersNotOneAtATime."""
        new, lists = frozenset(options.voters), self.freshness.quorum.lists
        changed = new ^ frozenset(self.options.voters)
        if len(changed) > 1:
            raise VotersNotOneAtATime(f"{', '.join(sorted(changed))} would be added or removed at once")
        if changed and len(lists) > 1:
            raise VotersNotOneAtATime("the change before has not settled")
        self.options = options
        if changed:
            self.freshness.reconfigure(new)
            self.following.reconfigured(mono_us)
            self._agreed_us = None
            for link in list(self._voters):
                self._drop_link(mono_us, link, "the list of voters has changed")
        return self._done(Now(now_us, mono_us))

    def vouch(self, now_us: int, mono_us: int) -> list[Action]:
        """An operator says that nothing is in force that is not known here."""
        self._catch_up(mono_us)
        return self._done(Now(now_us, mono_us))

    def forget(self, now_us: int, mono_us: int, observer: str) -> list[Action]:
        """An operator says that a scheduler runs no more."""
        observed = self.tally.observed.get(observer)
        if observed is not None and observed.link is not None:
            self._drop_link(mono_us, observed.link, f"operators say that {observer} runs no more")
        self.tally.gone(observer)
        return self._done(Now(now_us, mono_us))

    # Time

    def tick(self, now_us: int, mono_us: int) -> list[Action]:
        """Time has gone on."""
        now = Now(now_us, mono_us)
        if mono_us >= self._collect_us:
            self._collect_us = mono_us + COLLECT_US
            if self.replica.collect(now_us):
                self.log.collected()
            self._drop_silent(mono_us)
        self._connect(mono_us)
        self._settle(mono_us)
        return self._done(now)

    def next_us(self, mono_us: int) -> int:
        """When `tick` is due at the latest (monotonic)."""
        times = [self._collect_us]
        times += [one.session.next_us() for one in self._voters.values()]
        if self._unflushed:
            times.append(self._flushed_us + BATCH_US)
        if (following_us := self.following.next_us()) is not None:
            times.append(following_us)
        if self.tally.news:
            times.append(mono_us + STATUS_US)
        times += [self._backoff.due_us(name) for name in self._to_dial()]
        return max(mono_us + 1, min(times))

    def age_us(self, mono_us: int) -> int | None:
        """As of how long ago a majority of voters is known; None if none is."""
        return self.freshness.age_us(mono_us)

    @property
    def counts(self) -> bool:
        """Whether this voter counts for majorities."""
        return self.freshness.caught_up

    @property
    def linked_voters(self) -> tuple[str, ...]:
        """Voters with a link that is up, ascending."""
        return tuple(sorted(self._by_voter))

    @property
    def linked_observers(self) -> int:
        """Observers that have this voter, those in step and those that are brought in step."""
        return sum(one.feed is not None for one in self._observers.values())

    # What came

    def _dispatch(self, now: Now, link: Link, message: wire.AnyMessage) -> None:
        if link in self._voters:
            self._from_voter(now, link, self._voters[link], message)
        elif link in self._observers:
            self._observers[link].heard_us = now.mono_us
            self._from_observer(now, link, self._observers[link], message)
        elif link in self._pending:
            self._first(now, link, message)

    def _first(self, now: Now, link: Link, message: wire.AnyMessage) -> None:
        if isinstance(message, wire.Join):
            self._check(message)
            del self._pending[link]
            self._observers[link] = ObserverLink(
                message.name, message.incarnation, message.number, now.mono_us
            )
            self._join(now, link, message)
        elif isinstance(message, wire.MeshData):
            del self._pending[link]
            self._voters[link] = VoterLink(self._session(opens=False), now.mono_us)
            self._from_voter(now, link, self._voters[link], message)
        else:
            raise JoinRefused(f"a link began with {type(message).__name__}")

    def _from_voter(self, now: Now, link: Link, voter: VoterLink, message: wire.AnyMessage) -> None:
        voter.heard_us = now.mono_us
        if isinstance(message, wire.MeshData):
            for event in voter.session.receive(now.now_us, now.mono_us, message.data):
                self._event(now, link, voter, event)
            return
        if voter.name is None:
            return  # it speaks before it has greeted: nothing that it says can be placed
        match message:
            case wire.VoterStatus():
                voter.status = message
                self._started(message.starts)
            case wire.Barrier():
                key = voter.name, message.number
                head = self.log.head(message.urgent)
                self.tally.mark(now.mono_us, key, head, urgent=message.urgent, hold=message.hold)
            case wire.BarrierStatus():
                self._started(message.starts)
                self.following.said(now.mono_us, voter.name, message)
            case wire.BarrierEnd():
                self.tally.drop((voter.name, message.number))
            case wire.Moved():
                for observer in message.observers:
                    self._observer_moved(now.mono_us, *observer)
            case _:
                raise JoinRefused(f"{voter.name} sent {type(message).__name__}, which voters don't")

    def _event(self, now: Now, link: Link, voter: VoterLink, event: Event) -> None:
        match event:
            case Greeted(hello=hello):
                self._greeted(now.mono_us, link, voter, hello.name, hello.incarnation)
            case Learned(records=records, declined=declined):
                self._learned(records, declined)
            case Answered():
                if not self.counts and self.freshness.may_catch_up():
                    self._catch_up(now.mono_us)

    def _greeted(self, mono_us: int, link: Link, voter: VoterLink, name: str, incarnation: int) -> None:
        if (other := self._by_voter.get(name)) is not None and other != link:
            self._drop_link(mono_us, other, f"{name} has connected anew")
        voter.name = name
        self._by_voter[name] = link
        self._backoff.connected(voter.dialed or name)
        self._started([(name, incarnation)])
        if observers := self.tally.linked():
            moved = tuple((one.name, one.incarnation, one.join) for one in observers)
            self._send(link, wire.Moved(moved))

    def _started(self, starts: Iterable[tuple[str, int]]) -> None:
        for name, incarnation in starts:
            if name in self._names() and incarnation > self._starts.get(name, 0):
                self._starts[name] = incarnation
                self.freshness.started(name, incarnation)
                self.following.started(name, incarnation)

    def _from_observer(self, now: Now, link: Link, observer: ObserverLink, message: wire.AnyMessage) -> None:
        feed = observer.feed if self._is_current(link, observer) else None
        match message:
            case wire.Join():
                self._check(message)
                self._join(now, link, message)
            case wire.Heartbeat():
                self._heartbeat(now, link, observer, message.number)
            case wire.Offer():
                self._offered(now, link, message)
            case wire.Goodbye():
                self._goodbye(observer, link)
            case wire.Applied() if feed is not None:
                feed.received(message.received)
                if self.tally.applied(now.mono_us, observer.name, message.position, message.urgent):
                    self._moved[observer.name] = observer.incarnation, observer.join
                self._draw(now.mono_us, link, observer)
            case wire.Digests() if feed is not None:
                self._compare(now, link, observer, message)
            case _ if feed is None:
                return
            case _:
                raise JoinRefused(f"{observer.name} sent {type(message).__name__}, which observers don't")

    def _observer_moved(self, mono_us: int, name: str, incarnation: int, join: int) -> None:
        """Another voter answers for an observer now; whatever link it still has here is an old one."""
        observed = self.tally.observed.get(name)
        if self.tally.moved(name, incarnation, join) and observed is not None and observed.link is not None:
            self._drop_link(mono_us, observed.link, f"{name} has another voter now")

    def _is_current(self, link: Link, observer: ObserverLink) -> bool:
        """Whether an observer still has this voter by this link: else nothing may be answered to it."""
        observed = self.tally.observed.get(observer.name)
        return observed is not None and observed.link == link

    def _check(self, join: wire.Join) -> None:
        options = self.options
        if join.protocol != wire.PROTOCOL:
            raise JoinRefused(f"{join.name} speaks protocol {join.protocol}, we speak {wire.PROTOCOL}")
        if join.installation != options.installation:
            raise JoinRefused(f"{join.name} is of installation {join.installation!r}")
        if join.bound_us != options.bound_us or join.on_lost != modes_digest(options):
            raise JoinRefused(f"{join.name} has another mesh.bound_ms or mesh.on_lost than we")
        if join.name in self._names():
            raise JoinRefused(f"{join.name} is the name of a voter")

    def _join(self, now: Now, link: Link, join: wire.Join) -> None:
        observer = self._observers[link]
        observer.join = join.number
        resumed = (join.voter, join.voter_incarnation) == (self.name, self.incarnation) and join.position >= 0
        resumed = resumed and join.position <= self.replica.head
        if join.spare:
            self._send(link, wire.Welcome(self.name, self.incarnation, False))
            return
        known = self.tally.observed.get(join.name)
        if known is not None and known.link is not None and known.link != link:
            self._drop_link(now.mono_us, known.link, f"{join.name} has connected anew")
        if self.tally.joined(now.mono_us, join.name, join.incarnation, join.number, link) is None:
            raise JoinRefused(f"a later start of {join.name} has joined")
        observer.feed = Feed(self.log)
        self._send(link, wire.Welcome(self.name, self.incarnation, resumed))
        if resumed:
            observer.feed.resume(join.position)
        else:
            self.tally.rewound(join.name)
            self._waiting[link] = None
            self._grant()

    def _grant(self) -> None:
        """Ask those who wait, as many as may be brought in step at once, for their digests."""
        while self._waiting and len(self._comparing) < COMPARISONS_AT_ONCE:
            link = next(iter(self._waiting))
            del self._waiting[link]
            self._comparing.add(link)
            self._observers[link].granted = True
            self._send(link, wire.Compare())

    def _compare(self, now: Now, link: Link, observer: ObserverLink, digests: wire.Digests) -> None:
        assert observer.feed is not None
        if not observer.feed.in_step and not observer.granted:
            return
        self.figures.comparisons += 1
        observer.feed.compare(now.now_us, digests)
        self._draw(now.mono_us, link, observer)

    def _heartbeat(self, now: Now, link: Link, observer: ObserverLink, number: int) -> None:
        age_us = self.freshness.age_us(now.mono_us)
        if observer.feed is None or not number:  # it renews nothing by it, and asks whether we are there
            self._send(link, wire.HeartbeatReply(number, -1 if age_us is None else age_us, 0))
            return
        observer.feed.heartbeat(number, age_us)
        self._draw(now.mono_us, link, observer)

    def _offered(self, now: Now, link: Link, offer: wire.Offer) -> None:
        changed, declined = take_all(self.replica, now.now_us, offer.records)
        self._learned(changed, declined)
        if not offer.number:
            return
        try:
            self.following.check_room()
        except ChangesFull as e:  # it spreads all the same; only nobody can say how far it is
            self._send(link, wire.Progress(offer.number, False, False, 1, (f"voter {self.name}: {e.what}",)))
            return
        self._follow(now.mono_us, offer.records, _Request(link, offer.number))

    def _goodbye(self, observer: ObserverLink, link: Link) -> None:
        observed = self.tally.observed.get(observer.name)
        if observed is not None and observed.incarnation == observer.incarnation:
            self.tally.gone(observer.name)
            self._moved[observer.name] = observer.incarnation, observer.join
        self._forget_observer(link)
        self._out.append(Disconnect(link, "it said goodbye"))

    # What follows

    def _learned(self, records: Iterable[Record], declined: Iterable[tuple[Record, MeshError]] = ()) -> None:
        changed, refused = tuple(records), tuple(declined)
        if changed:
            self.log.note(changed)
            self._unflushed = True
        if changed or refused:
            self._out.append(Apply(changed, refused))

    def _follow(self, mono_us: int, records: Iterable[Record], request: _Request) -> int:
        """Follow a change of these records: by the slowest and strictest of their kinds."""
        kinds = {record.kind for record in records}
        urgent = kinds <= self.log.urgent_kinds
        hold = any(self.options.mode_of(kind) is Mode.HOLD for kind in kinds)
        self._request += 1
        self._requests[self._request] = request
        self.following.follow(mono_us, self._request, self.log.head(urgent), urgent=urgent, hold=hold)
        return self._request

    def _catch_up(self, mono_us: int) -> None:
        if self.counts:
            return
        self.freshness.caught_up = True
        self._out.append(CaughtUp())
        self.tally.news.update(self.tally.marks)

    def _done(self, now: Now, *, sessions: bool = True) -> list[Action]:
        """What follows from all that was taken in; ``sessions``: other voters may be concerned."""
        if now.mono_us >= self._review_us:
            self._review_us = now.mono_us + STATUS_US
            self.tally.review(now.mono_us)
        self._seal(now.mono_us)
        self._tell_marks(now.mono_us)
        self._tell_progress(now.mono_us)
        if sessions:
            self._pump(now)
        self._flush(now.mono_us)
        self._tell_moved()
        return self._actions()

    def _actions(self) -> list[Action]:
        actions, self._out = self._out, []
        return actions

    def _pump(self, now: Now) -> None:
        """Sessions write what they have; then our word on ourselves, and barriers for what voters hold."""
        status = self._status()
        for link, voter in self._voters.items():
            while (data := voter.session.draw(now.now_us, now.mono_us)) is not None:
                self._send(link, wire.MeshData(data))
            if voter.name is None:
                continue
            if voter.told != status:
                voter.told = status
                self._send(link, status)
            self._ask_barriers(link, voter, voter.name)

    def _ask_barriers(self, link: Link, voter: VoterLink, name: str) -> None:
        for group in self.following.groups.values():
            if group.sealed and name not in group.asked and voter.session.held >= group.position:
                group.asked.add(name)
                self._send(link, wire.Barrier(group.number, group.urgent, group.hold))

    def _seal(self, mono_us: int) -> None:
        for group in self.following.to_seal(mono_us):
            key = self.name, group.number
            self.tally.mark(mono_us, key, group.position, urgent=group.urgent, hold=group.hold)
            for voter in self._voters.values():
                voter.session.ask()

    def _tell_marks(self, mono_us: int) -> None:
        for key in sorted(self.tally.news):
            mark = self.tally.marks[key]
            last_us = self._barriers_told.get(key, mono_us - STATUS_US)
            if mark.waiting and mono_us < last_us + STATUS_US:
                continue
            self.tally.news.discard(key)
            self._barriers_told[key] = mono_us
            self._tell_mark(mono_us, key)
        self._barriers_told = {k: v for k, v in self._barriers_told.items() if k in self.tally.marks}

    def _tell_mark(self, mono_us: int, key: Key) -> None:
        origin, number = key
        mark = self.tally.marks[key]
        if origin == self.name:
            group: Group | None = self.following.groups.get(number)
            if group is not None:
                self.following.own(mono_us, group, mark, self.counts)
            return
        link = self._by_voter.get(origin)
        if link is None:
            return
        names = tuple(sorted(mark.waiting)[: wire.NAMES_AT_MOST])
        starts = tuple(sorted(self._starts.items()))
        told = wire.BarrierStatus(number, self.incarnation, self.counts, starts, len(mark.waiting), names)
        self._send(link, told)

    def _tell_progress(self, mono_us: int) -> None:
        for news in self.following.review(mono_us):
            request = self._requests[news.number]
            if news.in_force:
                del self._requests[news.number]
            if request.link is None:
                self._out.append(news)
            elif request.link in self._observers:
                self._send(request.link, _progress(request.number, news))
        for number in self.following.ended():
            self.tally.drop((self.name, number))
            for link in self._by_voter.values():
                self._send(link, wire.BarrierEnd(number))

    def _tell_moved(self) -> None:
        if not self._moved:
            return
        moved = wire.Moved(tuple((name, *start) for name, start in sorted(self._moved.items())))
        self._moved.clear()
        for link in self._by_voter.values():
            self._send(link, moved)

    def _flush(self, mono_us: int) -> None:
        """Changes go to observers in rounds: at once, but no more often than every few milliseconds."""
        if not self._unflushed or mono_us < self._flushed_us + BATCH_US:
            return
        self._unflushed = False
        self._flushed_us = mono_us
        for link, observer in self._observers.items():
            if observer.feed is not None:
                self._draw(mono_us, link, observer)

    def _draw(self, mono_us: int, link: Link, observer: ObserverLink) -> None:
        feed = observer.feed
        if feed is None or not self._is_current(link, observer):
            return
        found, answered = feed.draw()
        for data in found:
            self._write(link, data, "observers")
        if answered:
            self.tally.answered(mono_us, observer.name)
        if observer.granted and feed.in_step:
            observer.granted = False
            self._comparing.discard(link)
            self._grant()

    # Links that end

    def _refuse(self, mono_us: int, link: Link, why: str) -> None:
        self.figures.refused += 1
        if link not in self._voters:
            self._send(link, wire.Refused(why))
        self._drop_link(mono_us, link, why)

    def _drop_link(self, mono_us: int, link: Link, why: str) -> None:
        self._lost(mono_us, link)
        self._out.append(Disconnect(link, why))

    def _lost(self, mono_us: int, link: Link) -> None:
        self._pending.pop(link, None)
        voter = self._voters.pop(link, None)
        if voter is not None and voter.dialed is not None:
            self._backoff.failed(mono_us, voter.dialed)
        if voter is not None and voter.name is not None and self._by_voter.get(voter.name) == link:
            del self._by_voter[voter.name]
            self.following.unlinked(voter.name)
            self.tally.drop_all(lambda key: key[0] == voter.name)
        observer = self._observers.get(link)
        if observer is not None:
            if observer.feed is not None:
                self.tally.unlinked(observer.name, link)
            self._forget_observer(link)

    def _forget_observer(self, link: Link) -> None:
        self._observers.pop(link, None)
        self._waiting.pop(link, None)
        self._comparing.discard(link)
        self._grant()

    def _drop_silent(self, mono_us: int) -> None:
        """Links on which nothing came for longer than a lease lasts."""
        patience_us = self.options.bound_us
        silent = [link for link, since_us in self._pending.items() if mono_us - since_us > patience_us]
        for table in (self._voters, self._observers):
            silent += [link for link, one in table.items() if mono_us - one.heard_us > patience_us]
        for link in silent:
            self._drop_link(mono_us, link, "nothing came for longer than the bound")
        if self.options.on_lost is Mode.HOLD and Mode.SERVE not in self.options.on_lost_by_kind.values():
            self.tally.forget_leaseless(mono_us)

    # Voters

    def _names(self) -> frozenset[str]:
        return self.freshness.quorum.names

    def _session(self, *, opens: bool) -> Session:
        identity = Identity(
            self.options.installation, self.name, self.incarnation, tuple(sorted(self._names()))
        )
        session = Session(identity, self.replica, self.freshness, opens, self.options.ping_us)
        session.direct = self._comes_directly
        return session

    def _comes_directly(self, origin: str) -> bool:
        """Whether another voter than we brings what this one wrote to all."""
        return origin != self.name and not self._is_ours(origin)

    def _is_ours(self, origin: str) -> bool:
        observed: Observed | None = self.tally.observed.get(origin)
        return observed is not None and observed.link is not None

    def _to_dial(self) -> list[str]:
        """Voters that we connect to: of two the one with the smaller name does."""
        linking = self._by_voter.keys() | self._backoff.connecting
        wanted = [name for name in self.options.voters if name > self.name and name not in linking]
        return wanted

    def _connect(self, mono_us: int) -> None:
        self._backoff.expire(mono_us)
        for name in self._to_dial():
            if mono_us >= self._backoff.due_us(name):
                self._backoff.connect(mono_us, name)
                self._out.append(Connect(name))

    def _status(self) -> wire.VoterStatus:
        starts = tuple(sorted(self._starts.items()))
        digest = list_digest(self.freshness.quorum.lists[-1])
        return wire.VoterStatus(self.incarnation, self.counts, digest, starts)

    def _settle(self, mono_us: int) -> None:
        """Once all have gone by the newest list for longer than any lease lasts, only that one counts."""
        lists = self.freshness.quorum.lists
        if len(lists) == 1:
            return
        digest = list_digest(lists[-1])
        if not all(self._goes_by(name, digest) for name in lists[-1] - {self.name}):
            self._agreed_us = None
            return
        if self._agreed_us is None:
            self._agreed_us = mono_us
        if mono_us >= self._agreed_us + with_slack(self.options.bound_us):
            self.freshness.settled()
            self.following.reconfigured(mono_us)
            self._out.append(VotersSettled())

    def _goes_by(self, name: str, digest: bytes) -> bool:
        link = self._by_voter.get(name)
        status = self._voters[link].status if link is not None else None
        return status is not None and status.voters == digest

    def _send(self, link: Link, message: wire.AnyMessage) -> None:
        self._write(link, wire.write(message), "voters" if link in self._voters else "observers")

    def _write(self, link: Link, data: bytes, to: str) -> None:
        self.figures.bytes_out[to] += len(data)
        self._out.append(Send(link, data))


def modes_digest(options: ControlOptions) -> str:
    """What goes on while no majority is known, as observers and voters compare it."""
    kinds: Mapping[str, Mode] = dict(sorted(options.on_lost_by_kind.items()))
    return ",".join([options.on_lost.value, *(f"{kind}={mode.value}" for kind, mode in kinds.items())])


def _progress(number: int, news: Progressed) -> wire.Progress:
    return wire.Progress(number, news.accepted, news.in_force, news.behind, news.names)
