"""Which listed workers get nothing new, and why: worked out from the cordons of all targets."""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from robinhill.cordon.budget import Budget, Place
from robinhill.cordon.errors import CordonBudgetSpent, name_some
from robinhill.cordon.value import Cordons, Entry, Reason, reasons

NONE: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class CordonedNow:
    """These listed workers, ascending, get nothing new from now on; what runs there ends."""

    workers: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class LiftedNow:
    """These listed workers, ascending, are back, as if they had started at ``started_us``: cold."""

    workers: tuple[str, ...]
    started_us: int


@dataclass(slots=True, frozen=True)
class Change:
    """What an update changed, in order. ``next_us``: when an end comes up, so look again then; 0: no end."""

    events: tuple[CordonedNow | LiftedNow, ...]
    next_us: int


def targets_of(worker_id: str, place: Place) -> tuple[str, str, str, str]:
    """The targets whose cordons hold a worker."""
    return f"worker/{worker_id}", f"zone/{place.zone}", f"kind/{place.kind}", f"cell/{place.cell}"


class CordonIndex:
    """One scheduler's view. Holds as much as there are listed workers and reasons that stand."""

    def __init__(self, budget: Budget | None = None) -> None:
        self.budget = budget or Budget()
        self.workers: dict[str, Place] = {}
        self._matched: dict[str, set[str]] = {}  # listed workers, by target
        self._standing: dict[str, tuple[Entry, ...]] = {}  # what stands, by target
        self._good: set[tuple[str, str]] = set()  # the automatic ones in the budget: target and ID
        self._held: dict[str, tuple[Reason, ...]] = {}
        self._back: dict[str, int] = {}  # listed workers that were lifted, and when

    def update(
        self, now_us: int, items: Iterable[tuple[str, Cordons]], workers: Mapping[str, Place]
    ) -> Change:
        """Take in all cordons, by target, and all listed workers.

        A cordon of what is not listed holds once it comes. A worker that leaves the list is not lifted.
        """
        before = self._held
        if self.workers != workers:
            self.workers = dict(workers)
            self._matched = {}
            for worker_id, place in self.workers.items():
                for target in targets_of(worker_id, place):
                    self._matched.setdefault(target, set()).add(worker_id)
        self._standing = {target: found for target, value in items if (found := reasons(value, now_us))}
        self._good = self._in_budget()
        named: set[str] = set().union(*(self.matched(target) for target in self._standing))
        self._held = {w: held for w in sorted(named) if (held := self._reasons_of(w))}
        cordoned = tuple(sorted(self._held.keys() - before.keys()))
        lifted = tuple(sorted((before.keys() & self.workers.keys()) - self._held.keys()))
        back = {w: us for w, us in self._back.items() if w in self.workers and w not in self._held}
        self._back = back | dict.fromkeys(lifted, now_us)
        events: list[CordonedNow | LiftedNow] = []
        if cordoned:
            events.append(CordonedNow(cordoned))
        if lifted:
            events.append(LiftedNow(lifted, now_us))
        ends = (e.reason.until_us for found in self._standing.values() for e in found)
        return Change(tuple(events), min((us for us in ends if us), default=0))

    def held(self, worker_id: str) -> tuple[Reason, ...]:
        """The reasons why a listed worker gets nothing new; none if it may."""
        return self._held.get(worker_id, ())

    def held_workers(self) -> AbstractSet[str]:
        """All listed workers that get nothing new."""
        return self._held.keys()

    def started_us(self, worker_id: str, listed_us: int) -> int:
        """When a worker started, as the decision module is to see it: one that was lifted is cold."""
        return max(listed_us, self._back.get(worker_id, 0))

    def matched(self, target: str) -> AbstractSet[str]:
        """The listed workers that a target names."""
        return self._matched.get(target, NONE)

    def standing(self) -> tuple[tuple[str, Entry], ...]:
        """All that stands, by ascending target and ID, automatic ones over the budget with it."""
        return tuple((target, entry) for target in sorted(self._standing) for entry in self._standing[target])

    def counts(self, target: str, reason: Reason) -> bool:
        """Whether a reason that stands holds its workers: not if it is automatic and over the budget."""
        return not reason.automatic or (target, reason.id) in self._good

    def check_budget(self) -> None:
        """CordonBudgetSpent if automatic cordons wait for room; for the log and the figures."""
        over = [target for target, entry in self.standing() if not self.counts(target, entry.reason)]
        if over:
            raise CordonBudgetSpent(f"{len(over)} automatic cordons are over the budget: {name_some(over)}")

    def warnings(self, target: str) -> tuple[str, ...]:
        """What an operator should know who cordons a target: what it leaves without any worker."""
        matched = self.matched(target)
        if not matched:
            word = target.partition("/")[0]
            known = sorted(t.partition("/")[2] for t in self._matched if t.startswith(f"{word}/"))
            there = "" if word == "worker" else f"; listed are: {name_some(known)}"
            return (f"no listed worker is of {target}: it holds once one comes{there}",)
        left = [place for worker, place in self.workers.items() if worker not in self._held.keys() | matched]
        if not left:
            return ("no worker is left: nothing new can be placed at all",)
        mine = [self.workers[worker] for worker in matched]
        zones = sorted({place.zone for place in mine} - {place.zone for place in left})
        kinds = sorted({place.kind for place in mine} - {place.kind for place in left})
        return (
            *(f"no worker is left in zone {zone!r}" for zone in zones),
            *(f"no worker of kind {kind!r} is left: classes that need it can't run" for kind in kinds),
        )

    def _in_budget(self) -> set[tuple[str, str]]:
        proposals: list[tuple[str, Entry]] = []
        out: set[str] = set()
        for target, found in self._standing.items():
            for entry in found:
                if entry.reason.automatic:
                    proposals.append((target, entry))
                else:
                    out |= self.matched(target)
        return self.budget.within(proposals, self._matched, self.workers, out)

    def _reasons_of(self, worker_id: str) -> tuple[Reason, ...]:
        return tuple(
            entry.reason
            for target in targets_of(worker_id, self.workers[worker_id])
            for entry in self._standing.get(target, ())
            if self.counts(target, entry.reason)
        )


__all__ = ["Budget", "Change", "CordonIndex", "CordonedNow", "LiftedNow", "Place", "targets_of"]
