"""Index of one scheduler's cordons: which listed workers are cordoned, and by which reasons.

A *listed* worker is on the list of workers that discovery provides. A *reason* is one cordon of a target, and
*active* until it ends or is lifted. The index is derived from the list of workers and from the values of all
targets (see `value.CordonSet`). It decides which automatic cordons are within the budget, and never changes a
value. Times are Unix microseconds.
"""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from robinhill.cordon.budget import Budget, Location
from robinhill.cordon.errors import CordonBudgetSpent, format_names
from robinhill.cordon.value import CordonSet, Entry, Reason, active_entries

NO_WORKERS: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class WorkersCordoned:
    """The IDs, ascending, of listed workers that became cordoned.

    These workers get no new attempts; their running attempts continue.
    """

    workers: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class WorkersUncordoned:
    """The IDs, ascending, of listed workers whose last cordon has ended. They may get attempts again.

    ``started_us``: when the slow start of these workers begins.
    """

    workers: tuple[str, ...]
    started_us: int


@dataclass(slots=True, frozen=True)
class IndexUpdate:
    """The result of an update of the index.

    ``events``: the workers whose state changed, cordoned ones first. ``next_end_us``: when the next active
    cordon ends; 0 if none has an end.
    """

    events: tuple[WorkersCordoned | WorkersUncordoned, ...]
    next_end_us: int


def targets_of(worker_id: str, location: Location) -> tuple[str, str, str, str]:
    """Return the targets that include a worker: the worker itself first, then its zone, kind and cell."""
    return (
        f"worker/{worker_id}",
        f"zone/{location.zone}",
        f"kind/{location.machine_type}",
        f"cell/{location.cell}",
    )


class CordonIndex:
    """One scheduler's view of all cordons. Its size grows with the listed workers and the active reasons."""

    def __init__(self, budget: Budget | None = None) -> None:
        self.budget = budget or Budget()
        self.workers: dict[str, Location] = {}
        self._matching: dict[str, set[str]] = {}  # listed workers, by target
        self._active: dict[str, tuple[Entry, ...]] = {}  # active entries, by target
        self._admitted: set[tuple[str, str]] = set()  # target and ID of automatic cordons within the budget
        self._reasons: dict[str, tuple[Reason, ...]] = {}  # reasons in effect, by cordoned worker
        self._uncordoned_us: dict[str, int] = {}  # by listed worker: the time when its last cordon ended

    def update(
        self, now_us: int, items: Iterable[tuple[str, CordonSet]], workers: Mapping[str, Location]
    ) -> IndexUpdate:
        """Rebuild the index from ``items`` (all cordons, by target) and ``workers`` (all listed workers).

        A cordon also applies to workers that are listed later. A worker that is removed from the list is
        reported neither as cordoned nor as uncordoned.
        """
        before = self._reasons
        if self.workers != workers:
            self._index_workers(workers)
        self._active = {
            target: active for target, value in items if (active := active_entries(value, now_us))
        }
        self._admitted = self._admit_automatic()
        affected: set[str] = set().union(*(self.matching(target) for target in self._active))
        self._reasons = {w: reasons for w in sorted(affected) if (reasons := self._find_reasons(w))}
        cordoned = tuple(sorted(self._reasons.keys() - before.keys()))
        uncordoned = tuple(sorted((before.keys() & self.workers.keys()) - self._reasons.keys()))
        self._record_uncordoned(uncordoned, now_us)
        events: list[WorkersCordoned | WorkersUncordoned] = []
        if cordoned:
            events.append(WorkersCordoned(cordoned))
        if uncordoned:
            events.append(WorkersUncordoned(uncordoned, now_us))
        ends = (entry.reason.until_us for entries in self._active.values() for entry in entries)
        return IndexUpdate(tuple(events), min((us for us in ends if us), default=0))

    def reasons(self, worker_id: str) -> tuple[Reason, ...]:
        """Return the reasons for which a listed worker is cordoned; empty if it is not cordoned."""
        return self._reasons.get(worker_id, ())

    def cordoned_workers(self) -> AbstractSet[str]:
        """Return all listed workers that are cordoned."""
        return self._reasons.keys()

    def started_us(self, worker_id: str, listed_us: int) -> int:
        """Return when a worker's slow start begins: ``listed_us``, or the end of its last cordon if later."""
        return max(listed_us, self._uncordoned_us.get(worker_id, 0))

    def matching(self, target: str) -> AbstractSet[str]:
        """Return the listed workers that a target includes."""
        return self._matching.get(target, NO_WORKERS)

    def active(self) -> tuple[tuple[str, Entry], ...]:
        """Return all active entries by ascending target and ID, automatic ones over the budget included."""
        return tuple((target, entry) for target in sorted(self._active) for entry in self._active[target])

    def is_in_effect(self, target: str, reason: Reason) -> bool:
        """Return whether an active reason cordons its target's workers.

        Only an automatic reason that exceeds the budget does not.
        """
        return not reason.automatic or (target, reason.id) in self._admitted

    def check_budget(self) -> None:
        """Raise CordonBudgetSpent if automatic cordons are over the budget."""
        over = [target for target, entry in self.active() if not self.is_in_effect(target, entry.reason)]
        if over:
            raise CordonBudgetSpent(f"{len(over)} automatic cordons exceed the budget: {format_names(over)}")

    def warnings(self, target: str) -> tuple[str, ...]:
        """Return warnings for an operator who cordons a target.

        The warnings name each zone and machine type in which the cordon leaves no available worker. If no
        listed worker matches the target, that is the only warning.
        """
        matching = self.matching(target)
        if not matching:
            return (self._warn_of_no_match(target),)
        unavailable = self._reasons.keys() | matching
        available = [location for worker, location in self.workers.items() if worker not in unavailable]
        if not available:
            return ("no worker is left: no new job can be placed",)
        cordoned = [self.workers[worker] for worker in matching]
        zones = sorted({each.zone for each in cordoned} - {each.zone for each in available})
        types = sorted({each.machine_type for each in cordoned} - {each.machine_type for each in available})
        return (
            *(f"no worker is left in zone {zone!r}" for zone in zones),
            *(f"no worker of kind {name!r} is left: job classes that need it can't run" for name in types),
        )

    def _warn_of_no_match(self, target: str) -> str:
        scope = target.partition("/")[0]
        known = sorted(t.partition("/")[2] for t in self._matching if t.startswith(f"{scope}/"))
        listed = "" if scope == "worker" else f"; listed workers have: {format_names(known)}"
        return f"no listed worker matches {target}: the cordon applies to workers listed later{listed}"

    def _index_workers(self, workers: Mapping[str, Location]) -> None:
        self.workers = dict(workers)
        self._matching = {}
        for worker_id, location in self.workers.items():
            for target in targets_of(worker_id, location):
                self._matching.setdefault(target, set()).add(worker_id)

    def _record_uncordoned(self, uncordoned: Iterable[str], now_us: int) -> None:
        still_listed = {
            worker: us
            for worker, us in self._uncordoned_us.items()
            if worker in self.workers and worker not in self._reasons
        }
        self._uncordoned_us = still_listed | dict.fromkeys(uncordoned, now_us)

    def _admit_automatic(self) -> set[tuple[str, str]]:
        proposals: list[tuple[str, Entry]] = []
        operator_cordoned: set[str] = set()
        for target, entries in self._active.items():
            for entry in entries:
                if entry.reason.automatic:
                    proposals.append((target, entry))
                else:
                    operator_cordoned |= self.matching(target)
        return self.budget.admit(proposals, self._matching, self.workers, operator_cordoned)

    def _find_reasons(self, worker_id: str) -> tuple[Reason, ...]:
        return tuple(
            entry.reason
            for target in targets_of(worker_id, self.workers[worker_id])
            for entry in self._active.get(target, ())
            if self.is_in_effect(target, entry.reason)
        )
