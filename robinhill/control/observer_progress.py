"""Tracks up to which positions of a voter's log its observers have applied the changes, and the observers
that a change still waits for.

An observer is a scheduler; its lease is valid while the state of a majority of voters that it knows is not
older than a configured bound. An observer can only obtain its lease from a voter. So once *each* voter
reports that all of its observers have applied a change, no scheduler can send jobs without knowing the
change. For each change, a voter waits for each observer that is linked, or that disconnected without a
goodbye, until

- the observer has confirmed the change to this voter, or another voter reports that the observer has
  synchronized with that other voter by a later join (`migrated_away`) or said goodbye to it;
- a later incarnation of the same name has joined, which implies that the earlier process has ended;
- under `hold` (a scheduler without a lease sends no jobs), the observer's lease has certainly expired: a
  lease lasts at most the bound after the voter's last reply, and `with_slack` adds margins to the bound;
- an operator reports that the scheduler no longer runs (`remove`).

A restarted voter doesn't know the observers of its earlier incarnation. For each change, it therefore also
waits until all leases that the earlier incarnation may have renewed have expired.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from robinhill.control.actions import LaggingObservers, Link
from robinhill.control.messages import GOODBYE_JOIN_NUMBER, MAX_LAGGING_NAMES, ObserverJoin
from robinhill.cordon.propagation import with_slack

MAX_DEPARTED = 4_096
"""Limit of the *departed* observers, which disconnected without a goodbye, and also of the retained
goodbyes."""

MAX_DEPARTED_PER_QUERY = 64
"""Limit of the departed observers in one query that asks the other voters for later joins of them."""

UNKNOWN_OBSERVERS = "observers of an earlier start"
"""Placeholder in a waiting set for all observers of this voter's earlier incarnation."""


@dataclass(slots=True, frozen=True, order=True)
class BarrierId:
    """Identifies a barrier by the voter that sent it, and the number that the sender chose.

    A barrier is a request to report which observers have not applied all changes up to a position.
    """

    origin: str
    number: int


@dataclass(slots=True)
class ObserverState:
    """An observer that has joined this voter.

    ``link``: the primary link; None once the observer has disconnected. ``leased_us``: the last time at which
    this voter may have renewed the observer's lease. ``join``: number of its last join. ``position``: the
    observer has applied all changes up to this position of the voter's log; ``urgent_position``: it has
    applied all urgent changes up to this position; -1: it has confirmed none since its first join, or since
    its last join that required a comparison of the replicas. ``synchronized``: it has confirmed a position
    since that join.
    """

    name: str
    incarnation: int
    link: Link | None
    leased_us: int
    join: int = 0
    position: int = -1
    urgent_position: int = -1
    synchronized: bool = False

    def has_applied(self, tracked: "TrackedPosition") -> bool:
        """Whether the observer has confirmed the changes up to a tracked position."""
        return (self.urgent_position if tracked.urgent else self.position) >= tracked.position


@dataclass(slots=True)
class TrackedPosition:
    """A position in the log, and the observers that have not yet applied all changes up to it (``waiting``).

    ``urgent``: observers only have to apply the changes of urgent record kinds up to the position. ``hold``:
    the wait for an observer also ends once the observer's lease has expired.
    """

    position: int
    urgent: bool
    hold: bool
    waiting: set[str] = field(default_factory=set)

    def lagging(self) -> LaggingObservers:
        """Return the number of observers in ``waiting``, and as many of their names as a message may have."""
        return LaggingObservers(len(self.waiting), tuple(sorted(self.waiting)[:MAX_LAGGING_NAMES]))


class ObserverProgress:
    """The observers of one voter. Times are monotonic microseconds.

    ``lease_us``: maximum time from a voter's heartbeat reply to the end of the lease that the reply renewed,
    with margins. ``tracked``: the position of each barrier. ``dirty``: barriers whose set of waiting
    observers has changed; the caller removes a barrier from ``dirty`` when it sends the status.
    """

    def __init__(self, started_us: int, bound_us: int) -> None:
        self.lease_us = with_slack(bound_us)
        self.observers: dict[str, ObserverState] = {}
        self.tracked: dict[BarrierId, TrackedPosition] = {}
        self.dirty: set[BarrierId] = set()
        self._unknown_until_us = started_us + self.lease_us
        # Names of departed observers; those about which other voters were queried least recently are first.
        self._departed: dict[str, None] = {}
        self._goodbyes: dict[str, ObserverJoin] = {}  # by observer name; the oldest goodbye is first

    # Observers

    def joined(
        self, mono_us: int, name: str, incarnation: int, join: int, link: Link
    ) -> ObserverState | None:
        """Record the join of an observer, and return the observer's state.

        Returns None, and records nothing, if a later join of the observer is already known. A later
        incarnation replaces the earlier one, and no change waits for the earlier one any more.
        """
        known = self.observers.get(name)
        if known is not None and (known.incarnation, known.join) > (incarnation, join):
            return None
        if known is None or known.incarnation < incarnation:
            if known is not None:
                self.remove(name)
            known = self.observers[name] = ObserverState(name, incarnation, link, mono_us)
        self._departed.pop(name, None)
        known.link = link
        known.join = join
        known.leased_us = max(known.leased_us, mono_us)
        return known

    def reset_position(self, name: str) -> None:
        """Discard the positions that an observer has confirmed, as its new join requires a comparison."""
        observer = self.observers[name]
        observer.position = observer.urgent_position = -1
        observer.synchronized = False

    def applied(self, mono_us: int, name: str, position: int, urgent_position: int) -> bool:
        """Record that an observer has applied all changes up to ``position``, and all urgent ones up to
        ``urgent_position``.

        Returns True if this is the first position that the observer confirms since its first join, or since
        its last join that required a comparison.
        """
        observer = self.observers[name]
        observer.position = max(observer.position, position)
        observer.urgent_position = max(observer.urgent_position, urgent_position, position)
        for barrier, tracked in self.tracked.items():
            if name in tracked.waiting and observer.has_applied(tracked):
                self._stop_waiting(barrier, tracked, name)
        if observer.synchronized or observer.position < 0:
            return False
        observer.synchronized = True
        observer.leased_us = mono_us
        return True

    def heartbeat_answered(self, mono_us: int, name: str) -> None:
        """Record that a heartbeat reply, which may renew this observer's lease, is sent now."""
        self.observers[name].leased_us = mono_us

    def link_lost(self, name: str, link: Link) -> None:
        """Record that an observer has disconnected without a goodbye; changes still wait for the observer.

        Beyond `MAX_DEPARTED` departed observers, the one about which the other voters were queried least
        recently is removed, and changes no longer wait for it.
        """
        observer = self.observers.get(name)
        if observer is None or observer.link != link:
            return
        observer.link = None
        self._departed[name] = None
        if len(self._departed) > MAX_DEPARTED:
            self.remove(next(iter(self._departed)))

    def remove(self, name: str) -> None:
        """Remove an observer, and end the wait of all changes for it."""
        self.observers.pop(name, None)
        self._departed.pop(name, None)
        for barrier, tracked in self.tracked.items():
            if name in tracked.waiting:
                self._stop_waiting(barrier, tracked, name)

    def remove_expired(self, mono_us: int) -> None:
        """Remove disconnected observers whose leases have expired.

        The caller may use this only if the mode of all kinds is `hold`, as in the `serve` mode a scheduler
        continues to send jobs after its lease has expired.
        """
        for name in [name for name in self._departed if self._lease_expired(mono_us, name)]:
            self.remove(name)

    def synchronized_joins(self) -> tuple[ObserverJoin, ...]:
        """The joins of linked observers that are synchronized with this voter."""
        return tuple(
            ObserverJoin(observer.name, observer.incarnation, observer.join)
            for observer in self.observers.values()
            if observer.link is not None and observer.synchronized
        )

    # Observers of other voters

    def migrated_away(self, name: str, incarnation: int, join: int) -> bool:
        """Remove an observer that is synchronized with another voter, or said goodbye to another voter.

        ``join``: number of the observer's join to the other voter. Does nothing unless this voter knows the
        observer by an earlier join. Returns whether the observer was removed.
        """
        observer = self.observers.get(name)
        if observer is None or (observer.incarnation, observer.join) >= (incarnation, join):
            return False
        self.remove(name)
        return True

    def record_goodbye(self, name: str, incarnation: int) -> None:
        """Record that an observer said goodbye to this voter, and remove it."""
        self._goodbyes.pop(name, None)
        self._goodbyes[name] = ObserverJoin(name, incarnation, GOODBYE_JOIN_NUMBER)
        if len(self._goodbyes) > MAX_DEPARTED:
            del self._goodbyes[next(iter(self._goodbyes))]
        observer = self.observers.get(name)
        if observer is not None and observer.incarnation == incarnation:
            self.remove(name)

    def departed_to_query(self, mono_us: int) -> tuple[ObserverJoin, ...]:
        """Return departed observers whose leases have expired, to query the other voters about them.

        Returns at most `MAX_DEPARTED_PER_QUERY` observers; those about which the other voters were queried
        least recently come first.
        """
        expired = [name for name in self._departed if self._lease_expired(mono_us, name)]
        names = expired[:MAX_DEPARTED_PER_QUERY]
        for name in names:
            del self._departed[name]
            self._departed[name] = None
        return tuple(
            ObserverJoin(observer.name, observer.incarnation, observer.join)
            for observer in map(self.observers.__getitem__, names)
        )

    def newer_joins(self, queried: Iterable[ObserverJoin]) -> tuple[ObserverJoin, ...]:
        """Return the joins that this voter knows of another voter's departed observers, and that are later
        than the queried joins.

        A join of an observer is only returned if the observer is linked to and synchronized with this voter.
        For an observer that said goodbye to this voter, the join with `GOODBYE_JOIN_NUMBER` is returned.
        """
        newer: list[ObserverJoin] = []
        for join in queried:
            latest = self._goodbyes.get(join.name)
            observer = self.observers.get(join.name)
            if observer is not None and observer.link is not None and observer.synchronized:
                here = ObserverJoin(observer.name, observer.incarnation, observer.join)
                latest = here if latest is None else max(latest, here)
            if latest is not None and latest > join:
                newer.append(latest)
        return tuple(newer)

    # Positions

    def track(
        self, mono_us: int, barrier: BarrierId, position: int, *, urgent: bool, hold: bool
    ) -> TrackedPosition:
        """Start to track which observers have not applied all changes up to ``position`` yet.

        Returns the tracked position with these observers. Under ``hold`` those whose leases have expired are
        left out. While leases of this voter's earlier incarnation may be valid, `UNKNOWN_OBSERVERS` is
        included. ``urgent`` and ``hold``: as in `TrackedPosition`.
        """
        tracked = TrackedPosition(position, urgent, hold)
        for name, observer in self.observers.items():
            expired = hold and mono_us >= observer.leased_us + self.lease_us
            if not expired and not observer.has_applied(tracked):
                tracked.waiting.add(name)
        if mono_us < self._unknown_until_us:
            tracked.waiting.add(UNKNOWN_OBSERVERS)
        self.tracked[barrier] = tracked
        self.dirty.add(barrier)
        return tracked

    def untrack(self, barrier: BarrierId) -> None:
        """Stop tracking the position of a barrier, whether or not observers still have to apply changes up to
        the position."""
        self.tracked.pop(barrier, None)
        self.dirty.discard(barrier)

    def untrack_matching(self, matches: Callable[[BarrierId], bool]) -> None:
        """Stop tracking the positions of all barriers for which ``matches`` returns True."""
        for barrier in [barrier for barrier in self.tracked if matches(barrier)]:
            self.untrack(barrier)

    def expire_waits(self, mono_us: int) -> None:
        """End the waits that are not needed any more because leases have expired.

        These are the waits for observers of this voter's earlier incarnation, and under `hold` the waits for
        observers whose leases have expired.
        """
        for barrier, tracked in self.tracked.items():
            if UNKNOWN_OBSERVERS in tracked.waiting and mono_us >= self._unknown_until_us:
                self._stop_waiting(barrier, tracked, UNKNOWN_OBSERVERS)
            if tracked.hold:
                for name in [name for name in tracked.waiting if self._lease_expired(mono_us, name)]:
                    self._stop_waiting(barrier, tracked, name)

    def _lease_expired(self, mono_us: int, name: str) -> bool:
        observer = self.observers.get(name)
        return observer is not None and mono_us >= observer.leased_us + self.lease_us

    def _stop_waiting(self, barrier: BarrierId, tracked: TrackedPosition, name: str) -> None:
        tracked.waiting.discard(name)
        self.dirty.add(barrier)
