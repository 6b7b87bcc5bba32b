"""A voter's links from observers: joins, comparisons, feeds, heartbeats, goodbyes.

All times are microseconds, ``mono_us`` monotonic and ``now_us`` Unix time.
"""

from collections.abc import Callable
from dataclasses import dataclass

from robinhill.control import messages as wire
from robinhill.control.actions import Link
from robinhill.control.change_feed import ChangeFeed
from robinhill.control.changelog import ChangeLog
from robinhill.control.errors import JoinRefused
from robinhill.control.observer_progress import ObserverProgress
from robinhill.control.options import ControlOptions
from robinhill.control.outbox import Outbox
from robinhill.cordon.propagation import Mode

MAX_COMPARISONS = 64
"""Observers that are brought in step at the same time; others wait their turn."""


@dataclass(slots=True)
class ObserverSession:
    """A link from an observer. A spare one has no feed."""

    name: str
    incarnation: int
    join: int
    last_received_us: int
    feed: ChangeFeed | None = None
    granted: bool = False  # it was asked for digests, and holds one of `COMPARISONS_AT_ONCE`


class ObserverSessions:
    """The observers of one voter. ``age_us``: as of how long ago the voter knows a majority."""

    def __init__(
        self,
        options: ControlOptions,
        incarnation: int,
        log: ChangeLog,
        observer_progress: ObserverProgress,
        age_us: Callable[[int], int | None],
        outbox: Outbox,
    ) -> None:
        self.options = options
        self.incarnation = incarnation
        self.log = log
        self.observer_progress = observer_progress
        self._age_us = age_us
        self.links: dict[Link, ObserverSession] = {}
        self.moved: dict[str, tuple[int, int]] = {}  # what other voters must be told of
        self._outbox = outbox
        self._waiting: dict[Link, None] = {}  # for a comparison
        self._comparing: set[Link] = set()

    # What came

    def first(self, now_us: int, mono_us: int, link: Link, join: wire.Join) -> None:
        """A link begins with a join. Raises JoinRefused."""
        self._check(join)
        self.links[link] = ObserverSession(join.name, join.incarnation, join.number, mono_us)
        self._join(mono_us, link, join)

    def received(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        """Any other message but offers. Raises JoinRefused for what observers don't send."""
        observer = self.links[link]
        feed = observer.feed if self._is_current(link, observer) else None
        match message:
            case wire.Join():
                self._check(message)
                self._join(mono_us, link, message)
            case wire.Heartbeat():
                self._heartbeat(mono_us, link, observer, message.number)
            case wire.Goodbye():
                self._goodbye(link, observer)
            case wire.Applied() if feed is not None:
                feed.received(message.received)
                if self.observer_progress.applied(mono_us, observer.name, message.position, message.urgent):
                    self.moved[observer.name] = observer.incarnation, observer.join
                self._draw(mono_us, link, observer)
            case wire.Digests() if feed is not None:
                self._compare(now_us, mono_us, link, observer, feed, message)
            case wire.Applied() | wire.Digests():
                return  # on a link that was given up meanwhile
            case _:
                raise JoinRefused(f"{observer.name} sent {type(message).__name__}, which observers don't")

    def _check(self, join: wire.Join) -> None:
        options = self.options
        if join.protocol != wire.PROTOCOL:
            raise JoinRefused(f"{join.name} speaks protocol {join.protocol}, we speak {wire.PROTOCOL}")
        if join.installation != options.installation:
            raise JoinRefused(f"{join.name} is of installation {join.installation!r}")
        if (join.bound_us, join.on_lost) != (options.bound_us, options.modes):
            raise JoinRefused(f"{join.name} has another mesh.bound_ms or mesh.on_lost than we")
        if join.name in options.voters:
            raise JoinRefused(f"{join.name} is the name of a voter")

    def _join(self, mono_us: int, link: Link, join: wire.Join) -> None:
        observer = self.links[link]
        observer.join = join.number
        if join.spare:
            self._outbox.send_to_observer(link, wire.Welcome(self.options.name, self.incarnation, False))
            return
        known = self.observer_progress.observers.get(join.name)
        if known is not None and known.link is not None and known.link != link:
            self.drop(known.link, f"{join.name} has connected anew")
        if self.observer_progress.joined(mono_us, join.name, join.incarnation, join.number, link) is None:
            raise JoinRefused(f"a later start of {join.name} has joined")
        observer.feed = ChangeFeed(self.log)
        resumed = self._may_resume(join)
        self._outbox.send_to_observer(link, wire.Welcome(self.options.name, self.incarnation, resumed))
        if resumed:
            observer.feed.resume(join.position)
            return
        self.observer_progress.reset_position(join.name)
        self._waiting[link] = None
        self._grant()

    def _may_resume(self, join: wire.Join) -> bool:
        """Whether the observer holds all changes of this start of ours up to a position."""
        ours = join.voter == self.options.name and join.voter_incarnation == self.incarnation
        return ours and 0 <= join.position <= self.log.replica.head

    def _grant(self) -> None:
        """Ask those who wait, as many as may be brought in step at once, for their digests."""
        while self._waiting and len(self._comparing) < MAX_COMPARISONS:
            link = next(iter(self._waiting))
            del self._waiting[link]
            self._comparing.add(link)
            self.links[link].granted = True
            self._outbox.send_to_observer(link, wire.Compare())

    def _compare(
        self,
        now_us: int,
        mono_us: int,
        link: Link,
        observer: ObserverSession,
        feed: ChangeFeed,
        digests: wire.Digests,
    ) -> None:
        if not feed.in_step and not observer.granted:
            return
        self._outbox.metrics.comparisons += 1
        feed.compare(now_us, digests)
        self._draw(mono_us, link, observer)

    def _heartbeat(self, mono_us: int, link: Link, observer: ObserverSession, number: int) -> None:
        age_us = self._age_us(mono_us)
        if observer.feed is None or not number:  # it renews nothing by it, and asks whether we are there
            reply = wire.HeartbeatReply(number, -1 if age_us is None else age_us, 0)
            self._outbox.send_to_observer(link, reply)
            return
        observer.feed.heartbeat(number, age_us)
        self._draw(mono_us, link, observer)

    def _goodbye(self, link: Link, observer: ObserverSession) -> None:
        self.observer_progress.record_goodbye(observer.name, observer.incarnation)
        self.moved[observer.name] = observer.incarnation, wire.GOODBYE
        self.lost(link)
        self._outbox.disconnect(link, "it said goodbye")

    # What follows

    def flush(self, mono_us: int) -> None:
        """Send all observers what has changed."""
        for link, observer in self.links.items():
            self._draw(mono_us, link, observer)

    def take_moved(self) -> wire.Moved | None:
        """Who is in step here, or said goodbye, since the last call."""
        if not self.moved:
            return None
        found = wire.Moved(tuple((name, *start) for name, start in sorted(self.moved.items())))
        self.moved.clear()
        return found

    def _draw(self, mono_us: int, link: Link, observer: ObserverSession) -> None:
        feed = observer.feed
        if feed is None or not self._is_current(link, observer):
            return
        found, answered = feed.draw()
        for data in found:
            self._outbox.send_encoded_to_observer(link, data)
        if answered:
            self.observer_progress.heartbeat_answered(mono_us, observer.name)
        if observer.granted and feed.in_step:
            observer.granted = False
            self._comparing.discard(link)
            self._grant()

    def _is_current(self, link: Link, observer: ObserverSession) -> bool:
        """Whether an observer still has this voter by this link: else nothing may be answered to it."""
        observed = self.observer_progress.observers.get(observer.name)
        return observed is not None and observed.link == link

    # Links that end

    def moved_elsewhere(self, name: str, incarnation: int, join: int) -> None:
        """Another voter answers for an observer now; whatever link it still has here is an old one."""
        observed = self.observer_progress.observers.get(name)
        if (
            self.observer_progress.moved_away(name, incarnation, join)
            and observed is not None
            and observed.link is not None
        ):
            self.drop(observed.link, f"{name} has another voter now")

    def forget(self, name: str) -> None:
        """An operator says that a scheduler runs no more."""
        observed = self.observer_progress.observers.get(name)
        if observed is not None and observed.link is not None:
            self.drop(observed.link, f"an operator says that {name} runs no more")
        self.observer_progress.remove(name)

    def drop(self, link: Link, why: str) -> None:
        """End a link."""
        self.lost(link)
        self._outbox.disconnect(link, why)

    def lost(self, link: Link) -> None:
        """A link has ended."""
        observer = self.links.pop(link, None)
        if observer is None:
            return
        if observer.feed is not None:
            self.observer_progress.link_lost(observer.name, link)
        self._waiting.pop(link, None)
        self._comparing.discard(link)
        self._grant()

    def silent(self, mono_us: int) -> list[Link]:
        """Links on which nothing came for longer than the bound."""
        patience_us = self.options.bound_us
        return [link for link, one in self.links.items() if mono_us - one.last_received_us > patience_us]

    def review(self, mono_us: int) -> None:
        """Forget those that went, where no kind serves: once their leases are over they can do no harm."""
        if self.options.on_lost is Mode.HOLD and Mode.SERVE not in self.options.on_lost_by_kind.values():
            self.observer_progress.remove_expired(mono_us)
