"""Which of a voter's observers may not go by a change yet: counted here, so that no message for each pair is
needed.

An observer can only have got its lease through a voter. So once *each* voter says that all of its observers
go by a change, nobody can act without it. A voter waits for an observer that is linked, and for one that went
without a goodbye, until

- it has confirmed, here, or to another voter that says so (`moved`);
- a later start of the same name has joined: the process before has ended;
- under `hold`, its lease must be over: no lease lasts longer than the bound from the voter's last answer;
- operators say that it runs no more (`forget`).

Observers of an earlier start of this voter, of which it knows nothing, are waited for as long as their leases
may last.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from robinhill.control.actions import Link
from robinhill.control.messages import GOODBYE
from robinhill.cordon.propagation import with_slack

MAX_DEPARTED = 4_096
"""Observers that went without a goodbye and are remembered under `serve`: a day's restarts."""

MAX_DEPARTED_PER_QUERY = 64
"""Of those, how many other voters are asked about at a time."""

UNKNOWN_OBSERVERS = "observers of an earlier start"
Key = tuple[str, int]


@dataclass(slots=True)
class ObserverState:
    """An observer. ``leased_us``: from when on its lease may last for the bound at the longest; -1 as the
    position: nothing is confirmed on this start of the voter."""

    name: str
    incarnation: int
    link: Link | None
    leased_us: int
    join: int = 0  # which join of this start it was
    position: int = -1
    urgent: int = -1
    confirmed: bool = False


@dataclass(slots=True)
class TrackedPosition:
    """A position that observers are to reach, and who has not."""

    position: int
    urgent: bool
    hold: bool
    waiting: set[str] = field(default_factory=set)


class ObserverProgress:
    """The observers of one voter. Times: monotonic microseconds. ``news``: marks whose waiting changed."""

    def __init__(self, started_us: int, bound_us: int) -> None:
        self.lease_us = with_slack(bound_us)
        self.observers: dict[str, ObserverState] = {}
        self.tracked: dict[Key, TrackedPosition] = {}
        self.dirty: set[Key] = set()
        self._unknown_until_us = started_us + self.lease_us
        self._departed: dict[str, None] = {}
        self._goodbyes: dict[str, tuple[int, int]] = {}  # who said goodbye last: start and join

    def joined(
        self, mono_us: int, name: str, incarnation: int, join: int, link: Link
    ) -> ObserverState | None:
        """An observer has this voter now; None for a start that a later one has replaced."""
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
        """What the observer confirmed here before counts no more: it compares anew."""
        observer = self.observers[name]
        observer.position = observer.urgent = -1
        observer.confirmed = False

    def applied(self, mono_us: int, name: str, position: int, urgent: int) -> bool:
        """An observer goes by changes up to these positions. True if that is its first word in step."""
        observer = self.observers[name]
        observer.position = max(observer.position, position)
        observer.urgent = max(observer.urgent, urgent, position)
        for key, tracked in self.tracked.items():
            if name in tracked.waiting and _reached(observer, tracked):
                self._confirm(key, tracked, name)
        if observer.confirmed or observer.position < 0:
            return False
        observer.confirmed = True
        observer.leased_us = mono_us
        return True

    def heartbeat_answered(self, mono_us: int, name: str) -> None:
        """A heartbeat of this observer is answered now."""
        self.observers[name].leased_us = mono_us

    def link_lost(self, name: str, link: Link) -> None:
        """A link was lost without a goodbye."""
        observer = self.observers.get(name)
        if observer is None or observer.link != link:
            return
        observer.link = None
        self._departed[name] = None
        if len(self._departed) > MAX_DEPARTED:
            self.remove(next(iter(self._departed)))

    def remove(self, name: str) -> None:
        """An observer said goodbye, or operators say that it runs no more."""
        self.observers.pop(name, None)
        self._departed.pop(name, None)
        for key, tracked in self.tracked.items():
            if name in tracked.waiting:
                self._confirm(key, tracked, name)

    def moved_away(self, name: str, incarnation: int, join: int) -> bool:
        """An observer is in step with another voter by this join, which answers for it from now on. True if
        it was known here by an earlier join."""
        observer = self.observers.get(name)
        if observer is None or (observer.incarnation, observer.join) >= (incarnation, join):
            return False
        self.remove(name)
        return True

    def track(self, mono_us: int, key: Key, position: int, *, urgent: bool, hold: bool) -> TrackedPosition:
        """Follow who reaches this position."""
        tracked = TrackedPosition(position, urgent, hold)
        for name, observer in self.observers.items():
            over = hold and mono_us >= observer.leased_us + self.lease_us
            if not over and not _reached(observer, tracked):
                tracked.waiting.add(name)
        if mono_us < self._unknown_until_us:
            tracked.waiting.add(UNKNOWN_OBSERVERS)
        self.tracked[key] = tracked
        self.dirty.add(key)
        return tracked

    def untrack(self, key: Key) -> None:
        """Nobody asks after this mark any more."""
        self.tracked.pop(key, None)
        self.dirty.discard(key)

    def untrack_matching(self, wanted: Callable[[Key], bool]) -> None:
        """Drop marks by key."""
        for key in [key for key in self.tracked if wanted(key)]:
            self.untrack(key)

    def expire_waits(self, mono_us: int) -> None:
        """Who is waited for no more as time has gone on."""
        for key, tracked in self.tracked.items():
            if UNKNOWN_OBSERVERS in tracked.waiting and mono_us >= self._unknown_until_us:
                self._confirm(key, tracked, UNKNOWN_OBSERVERS)
            if tracked.hold:
                for name in [name for name in tracked.waiting if self._lease_over(mono_us, name)]:
                    self._confirm(key, tracked, name)

    def remove_expired(self, mono_us: int) -> None:
        """Drop observers that went and whose leases must be over: where all kinds hold."""
        for name in [name for name in self._departed if self._lease_over(mono_us, name)]:
            self.remove(name)

    def record_goodbye(self, name: str, incarnation: int) -> None:
        """An observer said goodbye here."""
        self._goodbyes.pop(name, None)
        self._goodbyes[name] = incarnation, GOODBYE
        if len(self._goodbyes) > MAX_DEPARTED:
            del self._goodbyes[next(iter(self._goodbyes))]
        observer = self.observers.get(name)
        if observer is not None and observer.incarnation == incarnation:
            self.remove(name)

    def departed_to_query(self, mono_us: int) -> tuple[tuple[str, int, int], ...]:
        """Some of those that went longer ago than a lease lasts; others the next time."""
        names = [name for name in self._departed if self._lease_over(mono_us, name)][:MAX_DEPARTED_PER_QUERY]
        for name in names:
            del self._departed[name]
            self._departed[name] = None
        return tuple((one.name, one.incarnation, one.join) for one in map(self.observers.__getitem__, names))

    def newer_joins(self, asked: Iterable[tuple[str, int, int]]) -> tuple[tuple[str, int, int], ...]:
        """Of these observers of another voter, those that are in step here, or said goodbye here."""
        found = []
        for name, incarnation, join in asked:
            start = self._goodbyes.get(name, (0, 0))
            observer = self.observers.get(name)
            if observer is not None and observer.link is not None and observer.confirmed:
                start = max(start, (observer.incarnation, observer.join))
            if start > (incarnation, join):
                found.append((name, *start))
        return tuple(found)

    def synchronized_observers(self) -> list[ObserverState]:
        """Observers with a link, those that are in step."""
        return [one for one in self.observers.values() if one.link is not None and one.confirmed]

    def _lease_over(self, mono_us: int, name: str) -> bool:
        observer = self.observers.get(name)
        return observer is not None and mono_us >= observer.leased_us + self.lease_us

    def _confirm(self, key: Key, tracked: TrackedPosition, name: str) -> None:
        tracked.waiting.discard(name)
        self.dirty.add(key)


def _reached(observer: ObserverState, tracked: TrackedPosition) -> bool:
    return (observer.urgent if tracked.urgent else observer.position) >= tracked.position
