"""How many workers automatic cordons may leave out, decided alike at every copy.

An automatic reason is a proposal. Every copy ranks all proposals that it holds by the same total order and
takes them in turn as long as none of the shares is passed; the rest wait. So no copy ever leaves out more
than the budget, in whatever order the proposals of several schedulers reach it, and copies that hold the same
proposals and workers take the same. Nobody has to ask before proposing.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from math import floor

from robinhill.cordon import limits
from robinhill.cordon.value import Entry

CAUSES = ("silent", "failing", "lagging", "slow")  # the worst first; others, of newer peers, come after


@dataclass(slots=True, frozen=True)
class Place:
    """Where a listed worker is: names of its zone and machine type, number of its cell."""

    zone: str = ""
    kind: str = ""
    cell: int = 0


@dataclass(slots=True, frozen=True)
class Budget:
    """Shares of the workers that operators have not cordoned; must be set alike at all schedulers.

    They are rounded down: with a tenth and nine workers there are no automatic cordons.
    """

    fleet_share: float = limits.FLEET_SHARE
    zone_share: float = limits.ZONE_SHARE

    def __post_init__(self) -> None:
        for share in (self.fleet_share, self.zone_share):
            if not 0 <= share < 1:
                raise ValueError("a share must be at least 0 and below 1")

    def within(
        self,
        proposals: Iterable[tuple[str, Entry]],
        matched: Mapping[str, AbstractSet[str]],
        workers: Mapping[str, Place],
        out: AbstractSet[str],
    ) -> set[tuple[str, str]]:
        """The (target, ID) of the proposals that hold; ``out`` are the workers that operators' cordons hold.

        Who was there first goes on: among equal causes an older proposal is not pushed out by a newer one.
        """
        free = [place.zone for worker, place in workers.items() if worker not in out]
        zones = Counter(free)
        room = floor(self.fleet_share * len(free) + _ROUNDING)
        zone_room = {zone: floor(self.zone_share * n + _ROUNDING) for zone, n in zones.items()}
        taken: set[str] = set()
        good = set()
        for target, entry in sorted(proposals, key=_rank):
            more = matched.get(target, frozenset()) - out - taken
            need = Counter(workers[worker].zone for worker in more)
            if len(more) <= room and all(n <= zone_room[zone] for zone, n in need.items()):
                good.add((target, entry.reason.id))
                taken |= more
                room -= len(more)
                for zone, n in need.items():
                    zone_room[zone] -= n
        return good


_ROUNDING = 1e-9  # 0.1 * 30 is below 3 as a float


def _rank(proposal: tuple[str, Entry]) -> tuple[int, int, str, Entry]:
    target, entry = proposal
    cause = entry.reason.cause
    severity = CAUSES.index(cause) if cause in CAUSES else len(CAUSES)
    return severity, entry.reason.since_us, target, entry
