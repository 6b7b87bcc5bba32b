"""A voter's links from observers: joins, comparisons, change feeds, heartbeats and goodbyes.

An observer receives changes on its *primary* link. On its *spare* link to another voter it only receives
heartbeat replies, until the spare link replaces the primary link in a failover. This module has no links to
other voters; the caller sends them the message that `take_migrated` returns. Times are microseconds,
``mono_us`` monotonic and ``now_us`` Unix time.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from robinhill.control import messages as wire
from robinhill.control.actions import Link
from robinhill.control.change_feed import ChangeFeed
from robinhill.control.changelog import ChangeLog
from robinhill.control.errors import JoinRefused
from robinhill.control.observer_progress import ObserverProgress
from robinhill.control.options import ControlOptions
from robinhill.control.outbox import VoterOutbox
from robinhill.cordon.propagation import Mode

MAX_COMPARISONS = 64
"""Limit of the observers that compare their replicas with this voter's at the same time. Further observers
wait in a queue."""


@dataclass(slots=True)
class ObserverSession:
    """A link from an observer.

    ``join``: number of the last join on this link. ``feed`` is None on a spare link. ``comparing``: the
    session holds one of the `MAX_COMPARISONS` slots for comparing the observer's replica with the voter's.
    """

    name: str
    incarnation: int
    join: int
    last_received_us: int
    feed: ChangeFeed | None = None
    comparing: bool = False


class ObserverSessions:
    """The links from the observers of one voter.

    ``age_us`` returns the age, at a monotonic time, of the newest state of a majority of voters that this
    voter knows; None if this voter knows no such state.
    """

    def __init__(
        self,
        options: ControlOptions,
        incarnation: int,
        changelog: ChangeLog,
        observer_progress: ObserverProgress,
        age_us: Callable[[int], int | None],
        outbox: VoterOutbox,
    ) -> None:
        self.options = options
        self.incarnation = incarnation
        self.changelog = changelog
        self.observer_progress = observer_progress
        self._age_us = age_us
        self._by_link: dict[Link, ObserverSession] = {}
        # By observer name: the joins that the next `take_migrated` returns.
        self._migrated: dict[str, wire.ObserverJoin] = {}
        self._outbox = outbox
        self._comparison_queue: dict[Link, None] = {}
        self._comparing: set[Link] = set()

    @property
    def by_link(self) -> Mapping[Link, ObserverSession]:
        """The sessions of all links, including spare ones."""
        return self._by_link

    # Messages

    def open(self, mono_us: int, link: Link, join: wire.Join) -> None:
        """Open a session on a link whose first message is a join.

        Raises JoinRefused if the observer's options do not match this voter's, or the join is outdated.
        """
        self._check(join)
        self._by_link[link] = ObserverSession(join.name, join.incarnation, join.number, mono_us)
        self._join(mono_us, link, join)

    def received(self, now_us: int, mono_us: int, link: Link, message: wire.AnyMessage) -> None:
        """Process a message, other than an offer, that follows the first join on a link.

        Raises JoinRefused for a malformed or outdated join, or a message that observers don't send.
        """
        session = self._by_link[link]
        feed = session.feed if self._is_current(link, session) else None
        match message:
            case wire.Join():
                self._check(message)
                self._join(mono_us, link, message)
            case wire.Heartbeat():
                self._handle_heartbeat(mono_us, link, session, message.number)
            case wire.Goodbye():
                self._handle_goodbye(link, session)
            case wire.Applied() if feed is not None:
                self._handle_applied(mono_us, link, session, feed, message)
            case wire.Digests() if feed is not None:
                self._handle_digests(now_us, mono_us, link, session, feed, message)
            case wire.Applied() | wire.Digests():
                return  # ignored, as the observer has later joined on another link, or this link is spare
            case _:
                raise JoinRefused(f"{session.name} sent {type(message).__name__}, which observers don't send")

    def _check(self, join: wire.Join) -> None:
        options = self.options
        if join.protocol != wire.PROTOCOL:
            raise JoinRefused(f"{join.name} uses protocol {join.protocol}, this voter uses {wire.PROTOCOL}")
        if join.installation != options.installation:
            raise JoinRefused(
                f"{join.name} is of installation {join.installation!r}, this voter is of another one"
            )
        if (join.bound_us, join.on_lost) != (options.bound_us, options.modes):
            raise JoinRefused(
                f"mesh.bound_ms or a mesh.on_lost mode of {join.name} differs from this voter's"
            )
        if join.name in options.voters:
            raise JoinRefused(f"the observer's name {join.name} is the name of a voter")

    def _join(self, mono_us: int, link: Link, join: wire.Join) -> None:
        session = self._by_link[link]
        session.join = join.number
        if join.spare:
            self._outbox.send_to_observer(link, wire.Welcome(self.options.name, self.incarnation, False))
            return
        known = self.observer_progress.observers.get(join.name)
        if known is not None and known.link is not None and known.link != link:
            self.drop(known.link, f"superseded by a new connection of {join.name}")
        if self.observer_progress.joined(mono_us, join.name, join.incarnation, join.number, link) is None:
            raise JoinRefused(f"a later incarnation or join of {join.name} is known")
        session.feed = ChangeFeed(self.changelog)
        resumed = self._may_resume(join)
        self._outbox.send_to_observer(link, wire.Welcome(self.options.name, self.incarnation, resumed))
        if resumed:
            session.feed.resume(join.position)
            return
        self.observer_progress.reset_position(join.name)
        self._comparison_queue[link] = None
        self._grant_comparisons()

    def _may_resume(self, join: wire.Join) -> bool:
        """Whether the observer can resume without a comparison, as the position in its join is in the log of
        this voter's present incarnation."""
        same_log = join.voter == self.options.name and join.voter_incarnation == self.incarnation
        return same_log and 0 <= join.position <= self.changelog.replica.head

    def _grant_comparisons(self) -> None:
        """Request digests from queued observers while there are free slots for comparisons."""
        while self._comparison_queue and len(self._comparing) < MAX_COMPARISONS:
            link = next(iter(self._comparison_queue))
            del self._comparison_queue[link]
            self._comparing.add(link)
            self._by_link[link].comparing = True
            self._outbox.send_to_observer(link, wire.Compare())

    def _handle_applied(
        self, mono_us: int, link: Link, session: ObserverSession, feed: ChangeFeed, applied: wire.Applied
    ) -> None:
        feed.confirm(applied.received)
        if self.observer_progress.applied(mono_us, session.name, applied.position, applied.urgent):
            self._note_migrated(session, session.join)
        self._send_changes(mono_us, link, session)

    def _handle_digests(
        self,
        now_us: int,
        mono_us: int,
        link: Link,
        session: ObserverSession,
        feed: ChangeFeed,
        digests: wire.Digests,
    ) -> None:
        if not feed.synchronized and not session.comparing:
            return
        self._outbox.metrics.comparisons += 1
        feed.compare(now_us, digests)
        self._send_changes(mono_us, link, session)

    def _handle_heartbeat(self, mono_us: int, link: Link, session: ObserverSession, number: int) -> None:
        age_us = self._age_us(mono_us)
        if session.feed is None or not number:  # no lease depends on the reply
            reply = wire.HeartbeatReply(number, -1 if age_us is None else age_us, 0)
            self._outbox.send_to_observer(link, reply)
            return
        session.feed.heartbeat(number, age_us)
        self._send_changes(mono_us, link, session)

    def _handle_goodbye(self, link: Link, session: ObserverSession) -> None:
        self.observer_progress.record_goodbye(session.name, session.incarnation)
        self._note_migrated(session, wire.GOODBYE_JOIN_NUMBER)
        self.closed(link)
        self._outbox.disconnect(link, "the observer said goodbye")

    # Changes

    def flush(self, mono_us: int) -> None:
        """Send each observer the changes that it lacks, as far as its send window allows."""
        for link, session in self._by_link.items():
            self._send_changes(mono_us, link, session)

    def take_migrated(self) -> wire.Migrated | None:
        """Return the message for the other voters about observers that migrated to this voter or left.

        The message names the observers whose replicas became synchronized with this voter, or that said
        goodbye to this voter, since the last call. Returns None if there are no such observers.
        """
        if not self._migrated:
            return None
        migrated = wire.Migrated(tuple(sorted(self._migrated.values())))
        self._migrated.clear()
        return migrated

    def _note_migrated(self, session: ObserverSession, join: int) -> None:
        self._migrated[session.name] = wire.ObserverJoin(session.name, session.incarnation, join)

    def _send_changes(self, mono_us: int, link: Link, session: ObserverSession) -> None:
        feed = session.feed
        if feed is None or not self._is_current(link, session):
            return
        encoded, heartbeat_answered = feed.draw()
        self._outbox.send_encoded_to_observer(link, encoded)
        if heartbeat_answered:
            self.observer_progress.heartbeat_answered(mono_us, session.name)
        if session.comparing and feed.synchronized:
            session.comparing = False
            self._comparing.discard(link)
            self._grant_comparisons()

    def _is_current(self, link: Link, session: ObserverSession) -> bool:
        """Whether ``link`` is the observer's newest primary link, the only one on which changes are sent."""
        observer = self.observer_progress.observers.get(session.name)
        return observer is not None and observer.link == link

    # Closing of links

    def migrated_away(self, join: wire.ObserverJoin) -> None:
        """Remove an observer that, as another voter reports, is synchronized with that voter or said goodbye.

        Also closes the observer's outdated link to this voter.
        """
        observer = self.observer_progress.observers.get(join.name)
        removed = self.observer_progress.migrated_away(join.name, join.incarnation, join.number)
        if removed and observer is not None and observer.link is not None:
            self.drop(observer.link, f"{join.name} is synchronized with another voter")

    def remove(self, name: str) -> None:
        """Remove an observer that no longer runs, as an operator reports, and close its link."""
        observer = self.observer_progress.observers.get(name)
        if observer is not None and observer.link is not None:
            self.drop(observer.link, f"an operator reported that {name} no longer runs")
        self.observer_progress.remove(name)

    def drop(self, link: Link, why: str) -> None:
        """Close a link; ``why`` is the reason for the log."""
        self.closed(link)
        self._outbox.disconnect(link, why)

    def closed(self, link: Link) -> None:
        """Remove the session of a link that has ended, and give the comparison slot of that session, if it
        had one, to a queued observer."""
        session = self._by_link.pop(link, None)
        if session is None:
            return
        if session.feed is not None:
            self.observer_progress.link_lost(session.name, link)
        self._comparison_queue.pop(link, None)
        self._comparing.discard(link)
        self._grant_comparisons()

    def silent_links(self, mono_us: int) -> list[Link]:
        """Links on which nothing was received for longer than the bound (``mesh.bound_ms``)."""
        timeout_us = self.options.bound_us
        return [link for link, one in self._by_link.items() if mono_us - one.last_received_us > timeout_us]

    def expire_departed(self, mono_us: int) -> None:
        """Remove disconnected observers whose leases have expired, if the mode of all record kinds is `hold`,
        in which a scheduler without a lease sends no jobs."""
        if self.options.on_lost is Mode.HOLD and Mode.SERVE not in self.options.on_lost_by_kind.values():
            self.observer_progress.remove_expired(mono_us)
