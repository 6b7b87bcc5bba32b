"""Which schedulers keep a link to each other: at most 16 for each, symmetric, and hard to partition.

Up to 17 schedulers everybody links to everybody. Above that the sorted names form a ring, with links at fixed
distances in both directions: to the neighbours, and three pairs of fingers whose distances grow by a constant
factor. Both ends compute the links from the operators' list alone; every scheduler has the same number; 200
are reached in at most 4 steps; and long fingers skip names that follow each other, such as hosts of one rack,
which fail together. Fingers come in pairs so that both ends of each link have at least two partners in
common, for indirect pings on links that exist.

Alternatives: a full mesh needs 19,900 links for 200 schedulers; random partners must be agreed on and
repaired after each change; a Chord ring has one-way links and no bound on those into one scheduler.

Links follow the *configured* names, not the live ones: otherwise each crash would move most fingers, and
views that differ for a moment would link the wrong ones. A scheduler with few live partners links to further
live ones along the ring instead (`repairs`), within the links reserved for that.
"""

from collections.abc import Collection, Iterable, Sequence
from itertools import chain

MAX_LINKS = 16  # of a scheduler, whoever dialled
DISTANCES_PER_DIRECTION = 7  # without a full mesh: 14 links, so that two are free for repair
MAX_DISTANCE_SHARE = 0.4  # of the ring; at half of it both directions would end at the same scheduler
MIN_LIVE_PARTNERS = 4  # with fewer a scheduler links to others


def partners(me: str, names: Iterable[str]) -> list[str]:
    """The partners of ``me`` among the configured names, nearest first. Each is a partner of its partners.

    Up to 17 names in all everybody is everybody's partner.
    """
    ring = _ring(me, names)
    if len(ring) - 1 <= MAX_LINKS:
        return ring[1:]
    both_ways = chain.from_iterable((distance, len(ring) - distance) for distance in distances(len(ring)))
    return [ring[at] for at in dict.fromkeys(both_ways)]


def dials(me: str, peer: str, names: Iterable[str]) -> bool:
    """Whether ``me`` opens the link to ``peer``: the end with the shorter way forward along the ring does.

    So each scheduler opens half of its links; if both ways are equal, the smaller name opens it.
    """
    ring = _ring(me, names)
    forth = ring.index(peer)
    back = len(ring) - forth
    return forth < back or (forth == back and me < peer)


def repairs(me: str, names: Iterable[str], alive: Collection[str]) -> list[str]:
    """Further schedulers to link to while too few partners are alive: the next live ones in either direction.

    They accept the link while they have fewer than `MAX_LINKS`; the caller removes one that does not from
    ``alive`` and tries again.
    """
    ring = _ring(me, names)
    own = set(partners(me, ring))
    free_links = MAX_LINKS - 2 * DISTANCES_PER_DIRECTION
    missing = min(MIN_LIVE_PARTNERS - sum(one in alive for one in own), free_links)
    if missing <= 0:
        return []
    others = ring[1:]
    by_distance = dict.fromkeys(chain.from_iterable(zip(others, reversed(others), strict=True)))
    return [one for one in by_distance if one in alive and one not in own][:missing]


def common(me: str, peer: str, names: Iterable[str]) -> list[str]:
    """Partners of both ``me`` and ``peer``, for indirect pings."""
    ring = list(names)
    theirs = set(partners(peer, ring))
    return [one for one in partners(me, ring) if one in theirs]


def distances(size: int) -> Sequence[int]:
    """The distances of links on a ring of ``size`` in each direction, ascending."""
    max_distance = size * MAX_DISTANCE_SHARE
    found = [1]
    for power in (1 / 3, 2 / 3, 1.0):
        first = max(found[-1] + 1, round(max_distance**power))
        found += [first, first + 1]
    return found


def _ring(me: str, names: Iterable[str]) -> list[str]:
    """All names, sorted, turned so that ``me`` comes first."""
    ring = sorted({*names, me})
    at = ring.index(me)
    return ring[at:] + ring[:at]
