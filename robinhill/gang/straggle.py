"""When a member is behind its peers: pairwise over the time that both ran, with a robust bound.

For each peer the member's rate and the peer's are taken over the time *that both ran*. A slowdown of all,
from whatever moment on, is in both and cancels out; ends from before it prove nothing against those after it.
The vote of a peer is the logarithm of the ratio, as slowness multiplies. The projected end of the member is
beyond its peers' when the median vote is above a bound.

The bound is such that of 200 gangs of equals one would have a member beyond it. Its spread is Qn
(Rousseeuw and Croux, "Alternatives to the median absolute deviation", 1993), not the MAD: it also withstands
that nearly half of the peers are wild, but does not assume that votes lie symmetrically and uses a sample of
7 to 15 twice as well (82% against 37% of the normal efficiency). Where there are few peers even that is
luck: three that happen to agree would make any fourth a straggler. So it is pooled with what is usual for
equals, weighed as so many further peers, and the quantile is Student's for what both know together.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from statistics import NormalDist, median

from robinhill.gang.progress import SLOWEST, Curve

# The usual spread of ln(time for a hint) among equals: hints are off by about a fifth.
USUAL_SPREAD = 0.2
USUAL_WEIGHT = 8  # the peers that this counts for
# How often a gang of equals may have a member called at a look. Each of its members is one chance for it.
FALSE_IN_GANG = 0.005
# Of a silent one only the least is known that it can be behind, as if it ended this moment: it is probably
# behind by more, and waiting for surety costs what a move could gain.
FALSE_SILENT = 0.05
# Consistency of Qn for samples of 2 to 9, and beyond (Croux and Rousseeuw, 1992).
_QN_SMALL = (0.399, 0.994, 0.512, 0.844, 0.611, 0.857, 0.669, 0.872)
_QN_NORMAL = 2.2219
# A run together must be this share of the member's usual run to compare rates over: words are coarse.
LEAST_TOGETHER = 0.15
# A member is silent once it had no word for this share of its usual run; then its time alone is judged.
SILENT_AFTER = 0.5


@dataclass(slots=True, frozen=True)
class Runner:
    """A member as it is compared: its curve, and what it would usually need (microseconds).

    ``heard_us``: until when it is known to have waited or run. ``waited_us``: from its placing to its start,
    or so far. ``kind`` is None where its kind's pace is part of ``usual_us``; else only its like compare.
    """

    curve: Curve
    usual_us: float
    received_us: int
    waited_us: int = 0
    kind: str | None = None

    @property
    def begun(self) -> bool:
        return not self.curve.empty

    @property
    def run_us(self) -> int:
        """So long it is known to run; 0 before its start."""
        return max(0, self.received_us - self.curve.first_us) if self.begun else 0

    @property
    def silent(self) -> bool:
        """Whether it runs without a word on its progress, or with none of late."""
        curve = self.curve
        if curve.ended or curve.empty:
            return False
        return not curve.updates or self.received_us - curve.last_us > SILENT_AFTER * self.usual_us

    def pace(self) -> float | None:
        """Time spent for each unit of usual work, over its whole run; for silent ones at the least."""
        if not self.begun:
            return None
        if self.silent:
            return self.run_us / self.usual_us
        rate = self.curve.whole_rate
        return None if rate is None else 1 / max(SLOWEST, rate * self.usual_us)


@dataclass(slots=True, frozen=True)
class Compared:
    """The votes of a member's peers in short: ``behind`` times slower, where ``bound`` is for equals."""

    behind: float
    bound: float
    peers: int
    silent: bool

    @property
    def beyond(self) -> bool:
        return self.behind > self.bound


def spread(values: Sequence[float]) -> float:
    """Qn of a sample: as the standard deviation for normal values, and unmoved by nearly half of them."""
    n = len(values)
    if n < 2:
        return 0.0
    half = n // 2 + 1
    apart = sorted(abs(a - b) for i, a in enumerate(values) for b in values[:i])
    if n <= 9:
        factor = _QN_SMALL[n - 2]
    else:
        factor = n / (n + 1.4) if n % 2 else n / (n + 3.8)
    return factor * _QN_NORMAL * apart[half * (half - 1) // 2 - 1]


def bound(votes: Sequence[float], ratio: float, false: float = FALSE_IN_GANG) -> float:
    """The logarithm above which the median vote is beyond chance; never below that of ``ratio``."""
    n = len(votes)
    variance = (USUAL_WEIGHT * USUAL_SPREAD**2 + n * spread(votes) ** 2) / (USUAL_WEIGHT + n)
    # The median of n is itself uncertain: its variance is pi / (2 n) of a value's.
    return max(math.log(ratio), _quantile(n, false) * math.sqrt(variance * (1 + math.pi / (2 * n))))


@lru_cache(maxsize=256)
def _quantile(peers: int, false: float) -> float:
    """Student's for a gang's share of the error, by the expansion in Abramowitz and Stegun, 26.7.5.

    To within 1% of the true one from 10 degrees of freedom on, and there are no fewer.
    """
    z = NormalDist().inv_cdf(1 - false / (peers + 1))
    freedom = USUAL_WEIGHT + peers - 1
    first = (z**3 + z) / 4
    second = (5 * z**5 + 16 * z**3 + 3 * z) / 96
    third = (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384
    return z + first / freedom + second / freedom**2 + third / freedom**3


def compare(
    member: Runner, peers: Sequence[Runner], ratio: float, least: int, pace: float = 1.0
) -> Compared | None:
    """A member under way against its peers; None where fewer than ``least`` can be compared with it.

    ``pace``: time that a unit of usual work takes of late, everywhere. Members that wait or are silent can't
    be compared over the time that both ran: it stands in for that.
    """
    silent = member.silent
    vote: Callable[[Runner, Runner, float], float | None]
    vote = _vote_on_silent if silent else _vote if member.begun else _vote_on_waiting
    cast = [vote(member, peer, pace) for peer in peers if peer.kind == member.kind]
    votes = [x for x in cast if x is not None]
    if len(votes) < least:
        return None
    median_vote = median(votes)
    if silent and member.run_us:
        median_vote = min(median_vote, math.log(member.run_us / (member.usual_us * pace)))
    limit = bound(votes, ratio, FALSE_SILENT if silent else FALSE_IN_GANG)
    return Compared(math.exp(median_vote), math.exp(limit), len(votes), silent)


def _vote(member: Runner, peer: Runner, _: float) -> float | None:
    """ln(how many times slower than the peer), over the time that both are known in."""
    member_curve, peer_curve = member.curve, peer.curve
    if not peer_curve.updates or member_curve.empty:
        return None
    begin = max(member_curve.first_us, peer_curve.first_us)
    end = min(member_curve.last_us, peer_curve.last_us)
    if end - begin < LEAST_TOGETHER * member.usual_us:
        return None
    member_rate = max(SLOWEST, member_curve.rate(begin, end) * member.usual_us)
    peer_rate = max(SLOWEST, peer_curve.rate(begin, end) * peer.usual_us)
    return math.log(peer_rate / member_rate)


def _vote_on_silent(member: Runner, peer: Runner, _: float) -> float | None:
    """The same for a member without words: at best it ends this very moment.

    A peer that is silent too votes that it is as the member, unless it has waited even longer for its end:
    so only ends and words of others can make a silent member look slow, and only once they are the most.
    """
    if not (elapsed := member.run_us) or not peer.begun:
        return None
    own_at_best = max(SLOWEST, member.usual_us / elapsed)
    if peer.silent:
        waited = max(1, peer.run_us)
        return min(0.0, math.log(max(SLOWEST, peer.usual_us / waited) / own_at_best))
    if peer.curve.last_us < member.curve.first_us or (peer_curve := peer.pace()) is None:
        return None  # it ran before the member did: that proves nothing now
    return -math.log(peer_curve * own_at_best)


def _vote_on_waiting(member: Runner, peer: Runner, pace: float) -> float | None:
    """The same for a member that has not begun: its wait and a usual run, against the peer's wait and that.

    A peer that waits too votes that it is as the member, unless it has waited even longer.
    """
    run = member.usual_us * pace
    member_us, peer_us = member.waited_us + run, peer.waited_us + run
    vote = math.log(member_us / peer_us)
    return vote if peer.begun else min(0.0, vote)
