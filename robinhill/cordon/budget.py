"""The budget: how many workers automatic cordons may take out of service.

Each automatic cordon is at first a proposal. Each scheduler has a copy of all proposals, and ranks them by
the same total order as the other schedulers. In this order, it admits each proposal whose workers exceed
neither the remaining budget of the fleet nor that of their zones. A proposal that is not admitted has no
effect until the budget has room for it. So automatic cordons never affect more workers at a scheduler than
the budget allows, in whatever order the proposals of several schedulers arrive. Schedulers with the same
proposals and workers admit the same proposals, so they need no coordination before they propose.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from math import floor

from robinhill.cordon import limits
from robinhill.cordon.value import Entry

CAUSES = ("silent", "failing", "lagging", "slow")
"""Causes of automatic cordons, most severe first. Causes that only newer versions know rank after these."""

# Added to the product of a share and a number of workers before it is rounded down, because a floating-point
# product may be slightly too small: 0.29 * 100 is 28.999999999999996.
ROUNDING = 1e-9


@dataclass(slots=True, frozen=True)
class Location:
    """Placement of a listed worker: the names of its zone and machine type, and the number of its cell."""

    zone: str = ""
    machine_type: str = ""
    cell: int = 0


@dataclass(slots=True, frozen=True)
class Budget:
    """Maximum shares of workers with automatic cordons; must be the same at all schedulers.

    Each share is relative to the listed workers (of the fleet or of one zone) that operators have not
    cordoned. The resulting number of workers is rounded down: with a share of 0.1 and nine workers there are
    no automatic cordons.
    """

    fleet_share: float = limits.FLEET_SHARE
    zone_share: float = limits.ZONE_SHARE

    def __post_init__(self) -> None:
        for share in (self.fleet_share, self.zone_share):
            if not 0 <= share < 1:
                raise ValueError("fleet_share and zone_share must be at least 0 and below 1")

    def admit(
        self,
        proposals: Iterable[tuple[str, Entry]],
        matching: Mapping[str, AbstractSet[str]],
        workers: Mapping[str, Location],
        operator_cordoned: AbstractSet[str],
    ) -> set[tuple[str, str]]:
        """Return the (target, ID) pairs of the proposals that are within the budget.

        ``proposals`` are pairs of target and entry; ``matching`` are the listed workers of each target;
        ``workers`` are all listed workers. A worker that operators have cordoned uses no budget. Proposals
        are ranked by the severity of their cause. Of proposals with the same cause, the older ones are
        admitted first, so a newer proposal never displaces an older one.
        """
        free = [location.zone for worker, location in workers.items() if worker not in operator_cordoned]
        fleet_capacity = floor(self.fleet_share * len(free) + ROUNDING)
        zone_capacity = {zone: floor(self.zone_share * n + ROUNDING) for zone, n in Counter(free).items()}
        admitted_workers: set[str] = set()
        admitted = set()
        for target, entry in sorted(proposals, key=_rank):
            added = matching.get(target, frozenset()) - operator_cordoned - admitted_workers
            added_by_zone = Counter(workers[worker].zone for worker in added)
            if len(added) > fleet_capacity or any(
                n > zone_capacity[zone] for zone, n in added_by_zone.items()
            ):
                continue
            admitted.add((target, entry.reason.id))
            admitted_workers |= added
            fleet_capacity -= len(added)
            for zone, n in added_by_zone.items():
                zone_capacity[zone] -= n
        return admitted


def _rank(proposal: tuple[str, Entry]) -> tuple[int, int, str, Entry]:
    target, entry = proposal
    cause = entry.reason.cause
    severity = CAUSES.index(cause) if cause in CAUSES else len(CAUSES)
    return severity, entry.reason.since_us, target, entry
