"""The overlay network: which schedulers have a link to each other.

Links are symmetric, each scheduler has at most 16 links, and failures hardly partition the network. Up to 17
schedulers form a full mesh. More schedulers form a ring, sorted by name, with links at fixed distances in
both directions: to the neighbours, and three pairs of fingers (long-distance links) in each direction, whose
distances grow by a constant factor. The distance of two schedulers is the number of steps along the ring. A
*partner* of a scheduler is another scheduler with a link to it. The overlay has the following properties:

- Both ends compute a link from the operators' list alone, and every scheduler has the same number of links.
- Among 200 schedulers each scheduler reaches every other scheduler over at most 4 links.
- Long fingers skip neighbouring names, such as the hosts of one rack, which fail together.
- As the two fingers of a pair differ by one in distance, and neighbours are linked, both ends of each link
  have at least two partners in common, which can send indirect pings over existing links.

Alternatives: a full mesh needs 19,900 links for 200 schedulers; random partners must be agreed on and
repaired after each change; a Chord ring has one-way links and no bound on the links into one scheduler.

Links are computed from the *configured* names, not from the live ones: otherwise each crash would move most
fingers, and schedulers whose views differ for a moment would open the wrong links. Instead, a scheduler with
few live partners opens links to further live schedulers along the ring (`repair_partners`), for which some
links of each scheduler are reserved.
"""

from collections.abc import Collection, Iterable, Sequence
from itertools import chain

MAX_LINKS = 16  # maximum number of links of one scheduler, including those that its peers opened
DISTANCES_PER_DIRECTION = 7  # on a ring: 14 links, so that two of the 16 are free for repair
# Distance of the longest fingers as a share of the ring; at 0.5 the fingers of both directions would end at
# the same scheduler.
MAX_DISTANCE_SHARE = 0.4
MIN_LIVE_PARTNERS = 4  # a scheduler with fewer live partners opens further links


def partners(me: str, names: Iterable[str]) -> list[str]:
    """Return the partners of ``me`` among the configured names, by increasing distance on the ring.

    The relation is symmetric. With up to 17 names, each is a partner of all others.
    """
    ring = _ring(me, names)
    if len(ring) - 1 <= MAX_LINKS:
        return ring[1:]
    both_ways = chain.from_iterable((distance, len(ring) - distance) for distance in distances(len(ring)))
    return [ring[at] for at in dict.fromkeys(both_ways)]


def opens_link(me: str, peer: str, names: Iterable[str]) -> bool:
    """Whether ``me`` opens the link to ``peer``; otherwise ``peer`` opens it.

    Forward is the direction of ascending names. ``me`` opens the link if the forward distance from ``me`` to
    ``peer`` is smaller than the backward distance, so that each scheduler opens half of its links. If both
    distances are equal, the scheduler with the smaller name opens the link.
    """
    ring = _ring(me, names)
    forward = ring.index(peer)
    backward = len(ring) - forward
    return forward < backward or (forward == backward and me < peer)


def repair_partners(me: str, names: Iterable[str], alive: Collection[str]) -> list[str]:
    """Return further schedulers to open links to while fewer than `MIN_LIVE_PARTNERS` partners are alive.

    These are the nearest live schedulers on the ring, in both directions. Each of them accepts the link while
    it has fewer than `MAX_LINKS` links. If a scheduler rejects the link, the caller removes that scheduler
    from ``alive`` and calls this function again.
    """
    ring = _ring(me, names)
    own = set(partners(me, ring))
    free_links = MAX_LINKS - 2 * DISTANCES_PER_DIRECTION
    missing = min(MIN_LIVE_PARTNERS - sum(name in alive for name in own), free_links)
    if missing <= 0:
        return []
    others = ring[1:]
    by_distance = dict.fromkeys(chain.from_iterable(zip(others, reversed(others), strict=True)))
    return [name for name in by_distance if name in alive and name not in own][:missing]


def common_partners(me: str, peer: str, names: Iterable[str]) -> list[str]:
    """Return the schedulers that are partners of both ``me`` and ``peer``; they send indirect pings."""
    ring = list(names)
    theirs = set(partners(peer, ring))
    return [name for name in partners(me, ring) if name in theirs]


def distances(size: int) -> Sequence[int]:
    """Return the distances of links on a ring of ``size``, the same in both directions, ascending."""
    max_distance = size * MAX_DISTANCE_SHARE
    result = [1]
    for power in (1 / 3, 2 / 3, 1.0):
        first = max(result[-1] + 1, round(max_distance**power))
        result += [first, first + 1]
    return result


def _ring(me: str, names: Iterable[str]) -> list[str]:
    """Return all names in sorted order, rotated so that ``me`` is the first."""
    ring = sorted({*names, me})
    at = ring.index(me)
    return ring[at:] + ring[:at]
