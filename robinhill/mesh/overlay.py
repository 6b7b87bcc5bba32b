"""Which schedulers keep a link to each other: at most 16 for each, the same on both sides, hard to cut apart.

**Weighed** for 200 schedulers:

- everybody with everybody: 199 links at each, 19,900 in all, and as many pings.
- random partners: no structure to lean on, but both ends must agree on a draw and repair it after each
  change.
- a hash ring with fingers at points (Chord): stable, but the number of links into one scheduler has no bound,
  and links are one-way.
- taken: the sorted names as a ring, and links at fixed distances on it in both directions: to the neighbours,
  and three pairs of fingers, each pair a step apart, whose distances grow by the same factor. Two ends agree
  without a word, as both compute it from the operators' list alone; the number of links is the same for all;
  200 are reached in at most 4 steps; names that follow each other (hosts of one rack, which fail together)
  are jumped over by the long fingers. Pairs, as then both ends of each link have at least two partners in
  common, through which one that does not answer can be looked for on links that exist. Single fingers at
  powers of two save a fifth of a step on average, and leave most ends without any in common.

It is computed from the *configured* names, not from those that are alive: else each crash would move most
fingers of most schedulers, and views that differ for a moment would link the wrong ones. What that costs is
repaired: who has few live partners left looks for live ones along the ring, in the links that are kept free
for that.
"""

from collections.abc import Collection, Iterable, Sequence
from itertools import chain

LINKS_AT_MOST = 16
"""Links that a scheduler keeps, to whoever dialled: what the bytes and wake-ups of pings ten times a second
allow."""

DISTANCES = 7
"""Links in each direction where there is no full mesh: 14 in all, so that two are free for repair."""

LONGEST = 0.4
"""The longest finger as a share of the ring: at half, both directions would end at the same scheduler."""

REPAIR_BELOW = 4
"""With fewer live partners a scheduler looks for others. At four the chance that all links of one are lost
before the repair is small even where half of all are lost at once."""


def partners(me: str, names: Iterable[str]) -> list[str]:
    """The partners of ``me`` among the configured names, nearest first. Each is a partner of its partners.

    Up to 17 names in all everybody is everybody's partner.
    """
    ring = _ring(me, names)
    if len(ring) - 1 <= LINKS_AT_MOST:
        return ring[1:]
    there_and_back = chain.from_iterable((far, len(ring) - far) for far in distances(len(ring)))
    return [ring[at] for at in dict.fromkeys(there_and_back)]


def dials(me: str, peer: str, names: Iterable[str]) -> bool:
    """Which end of a pair opens the link: the one from which the way to the other along the ring is shorter.

    So that each opens half of its links; where both ways are equal, the one whose name is first.
    """
    ring = _ring(me, names)
    forth = ring.index(peer)
    back = len(ring) - forth
    return forth < back or (forth == back and me < peer)


def repairs(me: str, names: Iterable[str], alive: Collection[str]) -> list[str]:
    """Whom to link to besides the partners, while too few of these are alive: the next ones alive, either
    way.

    These have to take the link as long as they are under `LINKS_AT_MOST`, and tell if they are not; the
    caller then leaves that one out of ``alive`` and asks again.
    """
    ring = _ring(me, names)
    own = set(partners(me, ring))
    missing = min(REPAIR_BELOW - sum(one in alive for one in own), LINKS_AT_MOST - 2 * DISTANCES)
    if missing <= 0:
        return []
    others = ring[1:]
    by_distance = dict.fromkeys(chain.from_iterable(zip(others, reversed(others), strict=True)))
    return [one for one in by_distance if one in alive and one not in own][:missing]


def common(me: str, peer: str, names: Iterable[str]) -> list[str]:
    """Partners of ours that are partners of ``peer`` too, through which to look whether it is there."""
    ring = list(names)
    theirs = set(partners(peer, ring))
    return [one for one in partners(me, ring) if one in theirs]


def distances(size: int) -> Sequence[int]:
    """At which distances on a ring of ``size`` links are kept in each direction, ascending; `DISTANCES` of
    them."""
    longest = size * LONGEST
    far = [1]
    for power in (1 / 3, 2 / 3, 1.0):
        first = max(far[-1] + 1, round(longest**power))
        far += [first, first + 1]
    return far


def _ring(me: str, names: Iterable[str]) -> list[str]:
    """All names, sorted, turned so that ``me`` comes first."""
    ring = sorted({*names, me})
    at = ring.index(me)
    return ring[at:] + ring[:at]
