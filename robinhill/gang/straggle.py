"""The test whether a member is slower than its peers: pairwise rates over common run time, robust threshold.

For each peer, the progress rates of the member and the peer are compared over the time *that both ran*. A
general slowdown, whenever it starts, is in both rates and cancels out; members that ended before the slowdown
are no evidence against members that run during it. The vote of a peer is the logarithm of the ratio of the
rates, as slowdowns multiply. A member is slow if the median vote exceeds a threshold.

The threshold is set so that a member exceeds it in one of 200 gangs whose members are all equal. The spread
of the votes is estimated by Qn (Rousseeuw and Croux, "Alternatives to the median absolute deviation", 1993)
instead of the MAD. Both tolerate outliers among nearly half of the peers, but Qn does not assume that the
votes are distributed symmetrically, and its efficiency for samples of 7 to 15 is twice as high (82% for
normal values, against 37%). With few peers the spread of a sample is unreliable: if three happen to agree,
any fourth member would look like a straggler. Therefore it is pooled with the usual spread of equal members,
which counts as PRIOR_WEIGHT further peers, and the quantile is that of Student's t for the pooled degrees of
freedom.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from statistics import NormalDist, median

from robinhill.gang.progress import MIN_RATE, Curve

# The usual spread of ln(run time / hint) among equal members: hints are off by about a fifth.
PRIOR_SPREAD = 0.2
PRIOR_WEIGHT = 8  # the number of peers that the usual spread counts for
# The rate at which one evaluation finds a straggler in a gang of equal members. Each member is tested, so the
# rate is divided by the number of members.
GANG_FALSE_ALARM_RATE = 0.005
# The same rate for a silent member. Only a lower limit of its slowdown is known, as if it ended now. The true
# slowdown is probably higher, and waiting for certainty costs the time that a move could save.
SILENT_FALSE_ALARM_RATE = 0.05
# Consistency factors of Qn: for samples of 2 to 9 values, and for normal values (Croux and Rousseeuw, 1992).
_QN_SMALL = (0.399, 0.994, 0.512, 0.844, 0.611, 0.857, 0.669, 0.872)
_QN_NORMAL = 2.2219
# Rates are compared over at least this share of the member's usual run time, as progress reports are coarse.
MIN_OVERLAP_SHARE = 0.15
# A member is silent after no progress report for this share of its usual run time. Its elapsed time alone is
# judged then.
SILENT_AFTER_SHARE = 0.5


@dataclass(slots=True, frozen=True)
class Runner:
    """A member in a comparison: its progress curve and its usual run time. Durations are in microseconds.

    ``known_until_us``: the latest time at which it is known to have waited or run. ``waited_us``: the time
    from its placement to its start, or until now if it has not started. ``kind``: the machine type of its
    worker if the type's speed is not known, so that only members at the same type are comparable; None if
    ``usual_us`` accounts for the type's speed.
    """

    curve: Curve
    usual_us: float
    known_until_us: int
    waited_us: int = 0
    kind: str | None = None

    @property
    def has_started(self) -> bool:
        return not self.curve.empty

    @property
    def run_us(self) -> int:
        """The time for which the member is known to have run; 0 before its start."""
        return max(0, self.known_until_us - self.curve.first_us) if self.has_started else 0

    @property
    def silent(self) -> bool:
        """Whether the member runs and has reported no progress, or none for SILENT_AFTER_SHARE of its usual
        run time."""
        curve = self.curve
        if curve.ended or curve.empty:
            return False
        return not curve.updates or self.known_until_us - curve.last_us > SILENT_AFTER_SHARE * self.usual_us

    def pace(self) -> float | None:
        """Run time per unit of usual work over the whole run, a lower limit if silent; None if unknown."""
        if not self.has_started:
            return None
        if self.silent:
            return self.run_us / self.usual_us
        rate = self.curve.overall_rate
        return None if rate is None else 1 / max(MIN_RATE, rate * self.usual_us)


@dataclass(slots=True, frozen=True)
class Comparison:
    """The summary of the peers' votes. The member is slow if ``slowdown``, the factor by which it is slower
    than its peers, exceeds ``threshold``."""

    slowdown: float
    threshold: float
    peers: int
    silent: bool

    @property
    def exceeds_threshold(self) -> bool:
        return self.slowdown > self.threshold


def spread(values: Sequence[float]) -> float:
    """The Qn estimate of a sample's spread: the standard deviation for normal values, robust against outliers
    among nearly half of the values."""
    n = len(values)
    if n < 2:
        return 0.0
    half = n // 2 + 1
    distances = sorted(abs(a - b) for i, a in enumerate(values) for b in values[:i])
    if n <= 9:
        factor = _QN_SMALL[n - 2]
    else:
        factor = n / (n + 1.4) if n % 2 else n / (n + 3.8)
    return factor * _QN_NORMAL * distances[half * (half - 1) // 2 - 1]


def log_threshold(
    votes: Sequence[float], ratio: float, false_alarm_rate: float = GANG_FALSE_ALARM_RATE
) -> float:
    """The limit that the median vote of equal members rarely exceeds by chance; at least ln(``ratio``)."""
    n = len(votes)
    variance = (PRIOR_WEIGHT * PRIOR_SPREAD**2 + n * spread(votes) ** 2) / (PRIOR_WEIGHT + n)
    # The median of n values has a variance itself: pi / (2 n) times that of a single value.
    return max(
        math.log(ratio), _quantile(n, false_alarm_rate) * math.sqrt(variance * (1 + math.pi / (2 * n)))
    )


@lru_cache(maxsize=256)
def _quantile(peers: int, false_alarm_rate: float) -> float:
    """The quantile of Student's t for one member's share of a gang's false-alarm rate.

    Computed by the expansion in Abramowitz and Stegun, 26.7.5. Its error is below 1% from 10 degrees of
    freedom on, and there are no fewer, as at least 3 peers are compared.
    """
    z = NormalDist().inv_cdf(1 - false_alarm_rate / (peers + 1))
    freedom = PRIOR_WEIGHT + peers - 1
    first = (z**3 + z) / 4
    second = (5 * z**5 + 16 * z**3 + 3 * z) / 96
    third = (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384
    return z + first / freedom + second / freedom**2 + third / freedom**3


def compare(
    member: Runner, peers: Sequence[Runner], ratio: float, min_peers: int, pace: float = 1.0
) -> Comparison | None:
    """Compare a member under way with its peers; None if fewer than ``min_peers`` are comparable with it.

    ``pace``: the recent run time per unit of usual work at all workers. It is used for members that wait or
    are silent, which can't be compared over the time that both ran.
    """
    silent = member.silent
    vote: Callable[[Runner, Runner, float], float | None]
    vote = _vote_on_silent if silent else _vote if member.has_started else _vote_on_waiting
    cast = [vote(member, peer, pace) for peer in peers if peer.kind == member.kind]
    votes = [x for x in cast if x is not None]
    if len(votes) < min_peers:
        return None
    median_vote = median(votes)
    if silent and member.run_us:
        median_vote = min(median_vote, math.log(member.run_us / (member.usual_us * pace)))
    limit = log_threshold(votes, ratio, SILENT_FALSE_ALARM_RATE if silent else GANG_FALSE_ALARM_RATE)
    return Comparison(math.exp(median_vote), math.exp(limit), len(votes), silent)


def _vote(member: Runner, peer: Runner, _: float) -> float | None:
    """The logarithm of how many times slower than the peer the member is, over the time that both curves
    cover; None if this time is too short."""
    member_curve, peer_curve = member.curve, peer.curve
    if not peer_curve.updates or member_curve.empty:
        return None
    begin = max(member_curve.first_us, peer_curve.first_us)
    end = min(member_curve.last_us, peer_curve.last_us)
    if end - begin < MIN_OVERLAP_SHARE * member.usual_us:
        return None
    member_rate = max(MIN_RATE, member_curve.rate(begin, end) * member.usual_us)
    peer_rate = max(MIN_RATE, peer_curve.rate(begin, end) * peer.usual_us)
    return math.log(peer_rate / member_rate)


def _vote_on_silent(member: Runner, peer: Runner, _: float) -> float | None:
    """The vote on a silent member, assuming its best case, that it ends now; None without evidence.

    A silent peer votes that the member is not slower, or that it is faster if the peer has run for longer. So
    a silent member is found slow only by peers that ended or report progress, if they are the majority.
    """
    if not (elapsed := member.run_us) or not peer.has_started:
        return None
    own_at_best = max(MIN_RATE, member.usual_us / elapsed)
    if peer.silent:
        peer_elapsed = max(1, peer.run_us)
        return min(0.0, math.log(max(MIN_RATE, peer.usual_us / peer_elapsed) / own_at_best))
    if peer.curve.last_us < member.curve.first_us or (peer_pace := peer.pace()) is None:
        return None  # the peer's run was over before the member started: no evidence on the present speed
    return -math.log(peer_pace * own_at_best)


def _vote_on_waiting(member: Runner, peer: Runner, pace: float) -> float | None:
    """The vote on a member that has not started, by its wait plus a usual run against the peer's wait plus
    the same run.

    A peer that waits too votes that the member is not slower, or that it is faster if the peer has waited for
    longer.
    """
    run = member.usual_us * pace
    member_us, peer_us = member.waited_us + run, peer.waited_us + run
    vote = math.log(member_us / peer_us)
    return vote if peer.has_started else min(0.0, vote)
