"""How far a voter's observers have applied its changes, and which of them a change still waits for.

An observer can only have got its lease through a voter. So once *each* voter reports that all of its
observers have applied a change, no scheduler can act without it. A voter waits for an observer that is
linked, and for one that disconnected without a goodbye, until

- it has confirmed the change, here or to another voter that reports so (`moved_away`);
- a later incarnation of the same name has joined: the earlier process has ended;
- under `hold`, its lease must have expired: a lease lasts at most the bound from the voter's last reply;
- an operator reports that the scheduler no longer runs (`remove`).

Observers of an earlier incarnation of this voter, of which it knows nothing, are waited for as long as their
leases may last.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from robinhill.control.actions import LaggingObservers, Link
from robinhill.control.messages import GOODBYE, MAX_LAGGING_NAMES, ObserverJoin
from robinhill.cordon.propagation import with_slack

MAX_DEPARTED = 4_096
"""Observers that are remembered after they disconnected without a goodbye."""

MAX_DEPARTED_PER_QUERY = 64
"""Of those, how many other voters are queried about at a time."""

UNKNOWN_OBSERVERS = "observers of an earlier start"
"""Stands in a waiting set for all observers of this voter's earlier incarnation."""


@dataclass(slots=True, frozen=True, order=True)
class BarrierId:
    """A barrier: the voter that asks, and the number that it chose."""

    origin: str
    number: int


@dataclass(slots=True)
class ObserverState:
    """An observer that has joined this voter.

    ``link`` is None once it has disconnected. ``leased_us``: its lease lasts at most the bound from then on.
    ``position``, ``urgent``: it has applied all changes, and all urgent ones, up to there; -1: none are
    confirmed to this incarnation of the voter.
    """

    name: str
    incarnation: int
    link: Link | None
    leased_us: int
    join: int = 0
    position: int = -1
    urgent: int = -1
    synchronized: bool = False

    def has_applied(self, tracked: "TrackedPosition") -> bool:
        """Whether it has confirmed the changes of a tracked position."""
        return (self.urgent if tracked.urgent else self.position) >= tracked.position


@dataclass(slots=True)
class TrackedPosition:
    """A position that observers are to apply, and the names of those that have not."""

    position: int
    urgent: bool
    hold: bool
    waiting: set[str] = field(default_factory=set)

    def lagging(self) -> LaggingObservers:
        """The observers that are waited for, with as many names as a message may have."""
        return LaggingObservers(len(self.waiting), tuple(sorted(self.waiting)[:MAX_LAGGING_NAMES]))


class ObserverProgress:
    """The observers of one voter. Times: monotonic microseconds.

    ``dirty``: tracked positions whose waiting set has changed; the caller clears it.
    """

    def __init__(self, started_us: int, bound_us: int) -> None:
        self.lease_us = with_slack(bound_us)
        self.observers: dict[str, ObserverState] = {}
        self.tracked: dict[BarrierId, TrackedPosition] = {}
        self.dirty: set[BarrierId] = set()
        self._unknown_until_us = started_us + self.lease_us
        self._departed: dict[str, None] = {}  # the least recently queried first
        self._goodbyes: dict[str, ObserverJoin] = {}  # the oldest first

    # Observers

    def joined(
        self, mono_us: int, name: str, incarnation: int, join: int, link: Link
    ) -> ObserverState | None:
        """An observer has joined; None for an incarnation or join that a later one has replaced."""
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
        """An observer compares anew: what it confirmed here before no longer counts."""
        observer = self.observers[name]
        observer.position = observer.urgent = -1
        observer.synchronized = False

    def applied(self, mono_us: int, name: str, position: int, urgent: int) -> bool:
        """An observer has applied changes up to these positions. True if this synchronizes it."""
        observer = self.observers[name]
        observer.position = max(observer.position, position)
        observer.urgent = max(observer.urgent, urgent, position)
        for barrier, tracked in self.tracked.items():
            if name in tracked.waiting and observer.has_applied(tracked):
                self._stop_waiting(barrier, tracked, name)
        if observer.synchronized or observer.position < 0:
            return False
        observer.synchronized = True
        observer.leased_us = mono_us
        return True

    def heartbeat_answered(self, mono_us: int, name: str) -> None:
        """A reply to a heartbeat of this observer is sent now."""
        self.observers[name].leased_us = mono_us

    def link_lost(self, name: str, link: Link) -> None:
        """An observer has disconnected without a goodbye."""
        observer = self.observers.get(name)
        if observer is None or observer.link != link:
            return
        observer.link = None
        self._departed[name] = None
        if len(self._departed) > MAX_DEPARTED:
            self.remove(next(iter(self._departed)))

    def remove(self, name: str) -> None:
        """No change needs to wait for this observer any more."""
        self.observers.pop(name, None)
        self._departed.pop(name, None)
        for barrier, tracked in self.tracked.items():
            if name in tracked.waiting:
                self._stop_waiting(barrier, tracked, name)

    def remove_expired(self, mono_us: int) -> None:
        """Remove disconnected observers whose leases have expired; only where all kinds `hold`."""
        for name in [name for name in self._departed if self._lease_expired(mono_us, name)]:
            self.remove(name)

    def synchronized_joins(self) -> tuple[ObserverJoin, ...]:
        """The joins of linked observers that are synchronized with this voter."""
        return tuple(
            ObserverJoin(one.name, one.incarnation, one.join)
            for one in self.observers.values()
            if one.link is not None and one.synchronized
        )

    # Observers of other voters

    def migrated_away(self, name: str, incarnation: int, join: int) -> bool:
        """An observer is synchronized with another voter by this join. True if it was known here by an
        earlier one."""
        observer = self.observers.get(name)
        if observer is None or (observer.incarnation, observer.join) >= (incarnation, join):
            return False
        self.remove(name)
        return True

    def record_goodbye(self, name: str, incarnation: int) -> None:
        """An observer has left through this voter."""
        self._goodbyes.pop(name, None)
        self._goodbyes[name] = ObserverJoin(name, incarnation, GOODBYE)
        if len(self._goodbyes) > MAX_DEPARTED:
            del self._goodbyes[next(iter(self._goodbyes))]
        observer = self.observers.get(name)
        if observer is not None and observer.incarnation == incarnation:
            self.remove(name)

    def departed_to_query(self, mono_us: int) -> tuple[ObserverJoin, ...]:
        """Some observers that disconnected longer ago than a lease lasts; each call returns the next ones."""
        expired = [name for name in self._departed if self._lease_expired(mono_us, name)]
        names = expired[:MAX_DEPARTED_PER_QUERY]
        for name in names:
            del self._departed[name]
            self._departed[name] = None
        return tuple(
            ObserverJoin(one.name, one.incarnation, one.join)
            for one in map(self.observers.__getitem__, names)
        )

    def newer_joins(self, queried: Iterable[ObserverJoin]) -> tuple[ObserverJoin, ...]:
        """Of these observers of another voter, the later joins that are synchronized here, and goodbyes."""
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
        """Begin to wait until all observers have applied this position."""
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
        """The position is of no interest any more."""
        self.tracked.pop(barrier, None)
        self.dirty.discard(barrier)

    def untrack_matching(self, matches: Callable[[BarrierId], bool]) -> None:
        """Untrack the positions of all barriers that match."""
        for barrier in [barrier for barrier in self.tracked if matches(barrier)]:
            self.untrack(barrier)

    def expire_waits(self, mono_us: int) -> None:
        """Stop waiting for observers whose leases have expired."""
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
