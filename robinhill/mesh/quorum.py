"""Majorities of the configured schedulers, also while their list changes."""

from collections.abc import Collection, Iterable, Mapping

from robinhill.mesh.errors import MeshError

LISTS_AT_MOST = 4
"""Lists that may wait to be settled: two operators who correct each other; more is a loop in some script."""


class ListsUnsettled(MeshError):
    """The list of schedulers was changed again and again before the change before had reached all."""

    code = "ListsUnsettled"
    advice = "give all schedulers the same list, and wait until none is named as having the old one"


class Quorum:
    """The lists that hold just now: one, or several between a change and the moment when all know of it.

    Something has a majority once it has one in *every* list that holds. Whoever still has only the old list
    shares a member with whoever needs both, and whoever needs both with whoever already has only the new
    one; the old and the new alone need not share any. Source: joint consensus in Ongaro and Ousterhout, "In
    search of an understandable consensus algorithm", 2014.
    """

    def __init__(self, me: str, peers: Iterable[str]) -> None:
        self.me = me
        self._lists: tuple[frozenset[str], ...] = (frozenset(peers) | {me},)

    @property
    def names(self) -> frozenset[str]:
        """All schedulers of all lists that hold, ourselves among them."""
        return frozenset().union(*self._lists)

    @property
    def lists(self) -> tuple[frozenset[str], ...]:
        """The lists that hold, the newest last."""
        return self._lists

    def reconfigure(self, peers: Iterable[str]) -> None:
        """From now on ask for majorities of this list too. Raises ListsUnsettled at the bound."""
        new = frozenset(peers) | {self.me}
        if new == self._lists[-1]:
            return
        lists = (*(one for one in self._lists if one != new), new)
        if len(lists) > LISTS_AT_MOST:
            raise ListsUnsettled(f"{len(lists)} lists of schedulers are not settled")
        self._lists = lists

    def settled(self) -> None:
        """Only the newest list counts from now on.

        Safe once no scheduler can still act on a majority of an older list alone. That is so when the newest
        list, spread as a record like any other, was accepted (`Acceptance`, under the lists of this object)
        longer than the lease's bound ago: whoever sends or accepts later has heard of it, and has called
        `reconfigure` when it did.
        """
        self._lists = self._lists[-1:]

    def met(self, have: Collection[str]) -> bool:
        """Whether these names are a majority."""
        return all(sum(name in have for name in one) >= majority(len(one)) for one in self._lists)

    def floor(self, known: Mapping[str, int], mine: bool) -> int | None:
        """The moment as of which a majority is known, or later: the least of the lists' majority-th latest.

        ``known``: the moments of other schedulers among `names`; ``mine``: whether we count ourselves, always
        as of now. None where too few are known. Where we alone are a majority, so that no moment limits:
        `NOW`.
        """
        floor = NOW
        for one in self._lists:
            needed = majority(len(one)) - mine
            moments = sorted(
                known.values() if len(self._lists) == 1 else [known[name] for name in one & known.keys()]
            )
            if len(moments) < needed:
                return None
            if needed:
                floor = min(floor, moments[-needed])
        return floor


NOW = 1 << 62
"""Stands for a moment that never lies in the past."""


def majority(of: int) -> int:
    """The least number such that two groups of that size have a member in common."""
    return of // 2 + 1
