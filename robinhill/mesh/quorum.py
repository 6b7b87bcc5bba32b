"""Majorities of the configured schedulers, also while their list changes (joint consensus)."""

from collections.abc import Collection, Iterable, Mapping

from robinhill.mesh.errors import MeshError

MAX_UNSETTLED_LISTS = 4
"""Maximum number of lists in force at a time.

More changes before the first one has settled suggest that a script reconfigures in a loop."""


class ListsUnsettled(MeshError):
    """The list of schedulers was changed several times before all schedulers knew of the first change."""

    code = "ListsUnsettled"
    advice = "give all schedulers the same list, and wait until none is reported with the old one"


class Quorum:
    """The lists of schedulers in force: one, or several from a change of the list until it has settled.

    A change has *settled* once all schedulers know the newest list (see `settle`).

    A quorum is a majority of *every* list in force. A majority of the old list alone need not share a member
    with a majority of the new list alone, but each of them shares a member with a majority of both lists.
    Source: joint consensus in Ongaro and Ousterhout, "In search of an understandable consensus algorithm",
    2014.
    """

    def __init__(self, me: str, peers: Iterable[str]) -> None:
        self.me = me
        self._lists: tuple[frozenset[str], ...] = (frozenset(peers) | {me},)

    @property
    def names(self) -> frozenset[str]:
        """The names of the schedulers in any list in force, including this scheduler."""
        return frozenset().union(*self._lists)

    @property
    def lists(self) -> tuple[frozenset[str], ...]:
        """The lists in force, the newest last."""
        return self._lists

    def reconfigure(self, peers: Iterable[str]) -> None:
        """Add a new list of schedulers: from then on a quorum also needs a majority of the new list.

        ``peers`` may omit this scheduler, which is a member of every list.

        Raises ListsUnsettled if more than ``MAX_UNSETTLED_LISTS`` would be in force.
        """
        new = frozenset(peers) | {self.me}
        if new == self._lists[-1]:
            return
        lists = (*(scheduler_list for scheduler_list in self._lists if scheduler_list != new), new)
        if len(lists) > MAX_UNSETTLED_LISTS:
            raise ListsUnsettled(
                f"{len(lists)} lists of schedulers would be in force, more than {MAX_UNSETTLED_LISTS}:"
                " not all schedulers are known to have received the earlier changes of the list"
            )
        self._lists = lists

    def settle(self) -> None:
        """Drop all lists but the newest, so that majorities of the older lists are no longer needed.

        Settling is safe once no scheduler can act on a majority of an older list alone. This is so when the
        newest list, which spreads as a record like any other, was accepted (`Acceptance`, under the lists of
        this object) longer ago than the bound of the lease: every scheduler that sends jobs or counts
        confirmations after that knows the newest list and has called `reconfigure`.
        """
        self._lists = self._lists[-1:]

    def has_majority(self, present: Collection[str]) -> bool:
        """Whether the schedulers in ``present`` include a majority of every list in force."""
        return all(
            sum(name in present for name in scheduler_list) >= majority(len(scheduler_list))
            for scheduler_list in self._lists
        )

    def majority_moment(self, moments: Mapping[str, int], counts_self: bool) -> int | None:
        """Return the latest moment as of which a majority of every list is known.

        For one list, take the majority with the latest moments; the result is the earliest moment in that
        majority. For several lists, the result is the earliest of the results for each list. ``moments``: by
        name of another scheduler among `names`, the moment as of which that scheduler is known.
        ``counts_self``: whether this scheduler counts towards the majorities too; its own moment never limits
        the result. None if fewer schedulers than a majority are known; `FAR_FUTURE` if this scheduler alone
        is a majority.
        """
        earliest = FAR_FUTURE
        for scheduler_list in self._lists:
            needed = majority(len(scheduler_list)) - counts_self
            if len(self._lists) == 1:
                ascending = sorted(moments.values())
            else:
                ascending = sorted(moments[name] for name in scheduler_list & moments.keys())
            if len(ascending) < needed:
                return None
            if needed:
                earliest = min(earliest, ascending[-needed])
        return earliest


FAR_FUTURE = 1 << 62
"""A moment later than any time of the monotonic clock, so that it never limits a lease."""


def majority(size: int) -> int:
    """Return the smallest size for which any two subsets of a group of ``size`` members share a member."""
    return size // 2 + 1
