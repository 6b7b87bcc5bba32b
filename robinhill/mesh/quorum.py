"""Majorities of the configured schedulers, also while their list changes (joint consensus)."""

from collections.abc import Collection, Iterable, Mapping

from robinhill.mesh.errors import MeshError

MAX_UNSETTLED_LISTS = 4
"""Lists between a change and the moment when all know of it; more points to a loop in some script."""


class ListsUnsettled(MeshError):
    """The list of schedulers was changed repeatedly before the previous change was known everywhere."""

    code = "ListsUnsettled"
    advice = "give all schedulers the same list, and wait until none is named as having the old one"


class Quorum:
    """The lists in force: one, or several between a change and the moment when all know of it.

    A majority is one in *every* list in force. A majority of the old list shares a member with one of both
    lists, and one of both with one of the new list; one of the old and one of the new alone need not share
    any. Source: joint consensus in Ongaro and Ousterhout, "In
    search of an understandable consensus algorithm", 2014.
    """

    def __init__(self, me: str, peers: Iterable[str]) -> None:
        self.me = me
        self._lists: tuple[frozenset[str], ...] = (frozenset(peers) | {me},)

    @property
    def names(self) -> frozenset[str]:
        """All schedulers of all lists in force, ourselves included."""
        return frozenset().union(*self._lists)

    @property
    def lists(self) -> tuple[frozenset[str], ...]:
        """The lists in force, the newest last."""
        return self._lists

    def reconfigure(self, peers: Iterable[str]) -> None:
        """Require majorities of this list too. Raises ListsUnsettled at ``MAX_UNSETTLED_LISTS``."""
        new = frozenset(peers) | {self.me}
        if new == self._lists[-1]:
            return
        lists = (*(one for one in self._lists if one != new), new)
        if len(lists) > MAX_UNSETTLED_LISTS:
            raise ListsUnsettled(f"{len(lists)} lists of schedulers are not settled")
        self._lists = lists

    def settled(self) -> None:
        """Only the newest list counts from now on.

        Safe once no scheduler can act on a majority of an older list alone. That is so when the newest list,
        spread as a record like any other, was accepted (`Acceptance`, under the lists of this object) longer
        ago than the lease's bound: whoever sends or accepts later knows it and has called `reconfigure`.
        """
        self._lists = self._lists[-1:]

    def met(self, present: Collection[str]) -> bool:
        """Whether these names are a majority of every list."""
        return all(sum(name in present for name in one) >= majority(len(one)) for one in self._lists)

    def floor(self, moments: Mapping[str, int], mine: bool) -> int | None:
        """The moment as of which a majority is known: the least of the lists' majority-th latest.

        ``moments``: those of other schedulers among `names`; ``mine``: whether we count ourselves, always as
        of now. None if too few are known; `NOW` if we alone are a majority, so that no moment limits.
        """
        floor = NOW
        for one in self._lists:
            needed = majority(len(one)) - mine
            if len(self._lists) == 1:
                ascending = sorted(moments.values())
            else:
                ascending = sorted(moments[name] for name in one & moments.keys())
            if len(ascending) < needed:
                return None
            if needed:
                floor = min(floor, ascending[-needed])
        return floor


NOW = 1 << 62
"""A moment that never lies in the past."""


def majority(of: int) -> int:
    """The smallest number such that any two groups of that size share a member."""
    return of // 2 + 1
