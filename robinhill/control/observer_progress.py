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

DEPARTED_AT_MOST = 4_096
"""Observers that went without a goodbye and are remembered under `serve`: a day's restarts."""

ASKED_AT_ONCE = 64
"""Of those, how many other voters are asked about at a time."""

UNKNOWN = "observers of an earlier start"
Key = tuple[str, int]


@dataclass(slots=True)
class Observed:
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
class Mark:
    """A position that observers are to reach, and who has not."""

    position: int
    urgent: bool
    hold: bool
    waiting: set[str] = field(default_factory=set)


class Tally:
    """The observers of one voter. Times: monotonic microseconds. ``news``: marks whose waiting changed."""

    def __init__(self, started_us: int, bound_us: int) -> None:
        self.lease_us = with_slack(bound_us)
        self.observed: dict[str, Observed] = {}
        self.marks: dict[Key, Mark] = {}
        self.news: set[Key] = set()
        self._unknown_until_us = started_us + self.lease_us
        self._departed: dict[str, None] = {}
        self._left: dict[str, tuple[int, int]] = {}  # who said goodbye last: start and join

    def joined(self, mono_us: int, name: str, incarnation: int, join: int, link: Link) -> Observed | None:
        """An observer has this voter now; None for a start that a later one has replaced."""
        known = self.observed.get(name)
        if known is not None and (known.incarnation, known.join) > (incarnation, join):
            return None
        if known is None or known.incarnation < incarnation:
            if known is not None:
                self.gone(name)
            known = self.observed[name] = Observed(name, incarnation, link, mono_us)
        self._departed.pop(name, None)
        known.link = link
        known.join = join
        known.leased_us = max(known.leased_us, mono_us)
        return known

    def rewound(self, name: str) -> None:
        """What the observer confirmed here before counts no more: it compares anew."""
        observed = self.observed[name]
        observed.position = observed.urgent = -1
        observed.confirmed = False

    def applied(self, mono_us: int, name: str, position: int, urgent: int) -> bool:
        """An observer goes by changes up to these positions. True if that is its first word in step."""
        observed = self.observed[name]
        observed.position = max(observed.position, position)
        observed.urgent = max(observed.urgent, urgent, position)
        for key, mark in self.marks.items():
            if name in mark.waiting and _reached(observed, mark):
                self._confirm(key, mark, name)
        if observed.confirmed or observed.position < 0:
            return False
        observed.confirmed = True
        observed.leased_us = mono_us
        return True

    def answered(self, mono_us: int, name: str) -> None:
        """A heartbeat of this observer is answered now."""
        self.observed[name].leased_us = mono_us

    def unlinked(self, name: str, link: Link) -> None:
        """A link was lost without a goodbye."""
        observed = self.observed.get(name)
        if observed is None or observed.link != link:
            return
        observed.link = None
        self._departed[name] = None
        if len(self._departed) > DEPARTED_AT_MOST:
            self.gone(next(iter(self._departed)))

    def gone(self, name: str) -> None:
        """An observer said goodbye, or operators say that it runs no more."""
        self.observed.pop(name, None)
        self._departed.pop(name, None)
        for key, mark in self.marks.items():
            if name in mark.waiting:
                self._confirm(key, mark, name)

    def moved(self, name: str, incarnation: int, join: int) -> bool:
        """An observer is in step with another voter by this join, which answers for it from now on. True if
        it was known here by an earlier join."""
        observed = self.observed.get(name)
        if observed is None or (observed.incarnation, observed.join) >= (incarnation, join):
            return False
        self.gone(name)
        return True

    def mark(self, mono_us: int, key: Key, position: int, *, urgent: bool, hold: bool) -> Mark:
        """Follow who reaches this position."""
        mark = Mark(position, urgent, hold)
        for name, observed in self.observed.items():
            over = hold and mono_us >= observed.leased_us + self.lease_us
            if not over and not _reached(observed, mark):
                mark.waiting.add(name)
        if mono_us < self._unknown_until_us:
            mark.waiting.add(UNKNOWN)
        self.marks[key] = mark
        self.news.add(key)
        return mark

    def drop(self, key: Key) -> None:
        """Nobody asks after this mark any more."""
        self.marks.pop(key, None)
        self.news.discard(key)

    def drop_all(self, wanted: Callable[[Key], bool]) -> None:
        """Drop marks by key."""
        for key in [key for key in self.marks if wanted(key)]:
            self.drop(key)

    def review(self, mono_us: int) -> None:
        """Who is waited for no more as time has gone on."""
        for key, mark in self.marks.items():
            if UNKNOWN in mark.waiting and mono_us >= self._unknown_until_us:
                self._confirm(key, mark, UNKNOWN)
            if mark.hold:
                for name in [name for name in mark.waiting if self._lease_over(mono_us, name)]:
                    self._confirm(key, mark, name)

    def forget_leaseless(self, mono_us: int) -> None:
        """Drop observers that went and whose leases must be over: where all kinds hold."""
        for name in [name for name in self._departed if self._lease_over(mono_us, name)]:
            self.gone(name)

    def left(self, name: str, incarnation: int) -> None:
        """An observer said goodbye here."""
        self._left.pop(name, None)
        self._left[name] = incarnation, GOODBYE
        if len(self._left) > DEPARTED_AT_MOST:
            del self._left[next(iter(self._left))]
        observed = self.observed.get(name)
        if observed is not None and observed.incarnation == incarnation:
            self.gone(name)

    def to_ask(self, mono_us: int) -> tuple[tuple[str, int, int], ...]:
        """Some of those that went longer ago than a lease lasts; others the next time."""
        names = [name for name in self._departed if self._lease_over(mono_us, name)][:ASKED_AT_ONCE]
        for name in names:
            del self._departed[name]
            self._departed[name] = None
        return tuple((one.name, one.incarnation, one.join) for one in map(self.observed.__getitem__, names))

    def known_better(self, asked: Iterable[tuple[str, int, int]]) -> tuple[tuple[str, int, int], ...]:
        """Of these observers of another voter, those that are in step here, or said goodbye here."""
        found = []
        for name, incarnation, join in asked:
            start = self._left.get(name, (0, 0))
            observed = self.observed.get(name)
            if observed is not None and observed.link is not None and observed.confirmed:
                start = max(start, (observed.incarnation, observed.join))
            if start > (incarnation, join):
                found.append((name, *start))
        return tuple(found)

    def linked(self) -> list[Observed]:
        """Observers with a link, those that are in step."""
        return [one for one in self.observed.values() if one.link is not None and one.confirmed]

    def _lease_over(self, mono_us: int, name: str) -> bool:
        observed = self.observed.get(name)
        return observed is not None and mono_us >= observed.leased_us + self.lease_us

    def _confirm(self, key: Key, mark: Mark, name: str) -> None:
        mark.waiting.discard(name)
        self.news.add(key)


def _reached(observed: Observed, mark: Mark) -> bool:
    return (observed.urgent if mark.urgent else observed.position) >= mark.position
