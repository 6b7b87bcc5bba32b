"""Which workers to cordon without an operator, from what several schedulers have seen.

A worker is a suspect if a quorum of observers, and more than half of those that tell of it at all, find that
it stands out: beyond an absolute limit, and beyond the same limit measured from what is usual. Usual is the
highest of the observer's own median over workers like it and the medians over fleet, zone, machine type and
cell: where all are slower, one must be slower still. Where more of such a group than SHARED_SHARE are beyond
the absolute limit, by half a quorum's word, the cause is what they have in common, and no cordon cures that:
none of the group is cordoned. An observer that finds more of what it looks at bad than ACCUSER_SHARE is badly
placed itself and counts for nothing.

Same evidence, same proposals, at every scheduler. One proposes at once, in an order that differs by worker;
the next ones only if it has not. The budget is applied where proposals are read: see ``budget``.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from hashlib import blake2s
from statistics import median

from robinhill.cordon import limits
from robinhill.cordon.budget import CAUSES, Place
from robinhill.cordon.index import targets_of
from robinhill.cordon.value import AUTOMATIC, Cordons, Reason, is_id


@dataclass(slots=True, frozen=True)
class Sight:
    """What an observer has seen of a worker up to ``at_us`` (Unix time), well or not.

    ``amount``, by cause: 'silent', 'failing': the share of attempts; 'slow', 'lagging': the time taken as a
    multiple of what was expected. ``usual`` is the observer's median of the same over workers of this one's
    zone and machine type (over all, where it knows fewer than four), ``looked`` the number of workers that it
    looked at. Observers tell of what they have seen a few times, not of a single failure.
    """

    observer: str
    worker: str
    cause: str
    amount: float
    usual: float
    looked: int
    at_us: int


@dataclass(slots=True, frozen=True)
class Options:
    """Set alike at all schedulers. ``quorum``: observers that must agree."""

    quorum: int = limits.QUORUM
    silent_share: float = 0.9
    failing_share: float = 0.3
    lagging_multiple: float = 2.0
    slow_multiple: float = 3.0
    age_us: int = limits.AGE_US
    lasts_us: int = limits.AUTOMATIC_US

    def __post_init__(self) -> None:
        if self.quorum < 2:
            raise ValueError("a quorum needs two observers at least")
        if not (0 < self.silent_share <= 1 and 0 < self.failing_share <= 1):
            raise ValueError("shares must be above 0 and at most 1")
        if not (self.lagging_multiple > 1 and self.slow_multiple > 1):
            raise ValueError("multiples must be above 1")
        if not (self.age_us > 0 and 0 < self.lasts_us <= limits.LONGEST_US):
            raise ValueError(f"times must be above 0, and a cordon lasts {limits.LONGEST_US} us at most")

    def limit(self, cause: str) -> float:
        """The amount from which on a worker is bad though nothing else is wrong."""
        return {
            "silent": self.silent_share,
            "failing": self.failing_share,
            "lagging": self.lagging_multiple,
            "slow": self.slow_multiple,
        }[cause]

    def stands_out(self, cause: str, amount: float, usual: float) -> bool:
        """Whether an amount is bad where ``usual`` is what others have."""
        limit = self.limit(cause)
        if cause in _MULTIPLES:
            return amount >= limit * max(usual, 1.0)
        return amount >= limit and amount - usual >= limit / 2


@dataclass(slots=True, frozen=True)
class Suspect:
    """A worker that a quorum finds bad; ``since_us`` is when the quorum was complete (Unix time)."""

    worker: str
    cause: str
    observers: tuple[str, ...]
    amount: float
    since_us: int


_MULTIPLES = frozenset({"lagging", "slow"})  # the other causes are shares
Key = tuple[str, str, str]  # observer, worker, cause


def suspects(
    now_us: int,
    sights: Iterable[Sight],
    workers: Mapping[str, Place],
    options: Options,
    spent_us: Mapping[str, int] | None = None,
    out: AbstractSet[str] = frozenset(),
) -> tuple[Suspect, ...]:
    """The workers that stand out, by ascending id.

    ``spent_us``: up to when a worker's evidence is used up. ``out``: workers that have an automatic reason
    already, of which new evidence can't come; they count where a group is asked for a common cause.
    """
    spent = spent_us or {}
    # Spent evidence still tells of its observer and of the groups; it is left out where workers are judged.
    latest = _believed(_latest(now_us, sights, workers, options), options)
    usual = _usual(latest, workers)
    told: dict[str, set[str]] = defaultdict(set)  # who tells of a worker at all
    ill: dict[str, set[str]] = defaultdict(set)  # and finds it beyond the absolute limit
    bad: dict[str, dict[str, list[Sight]]] = defaultdict(lambda: defaultdict(list))  # by worker and cause
    for (observer, worker, cause), sight in sorted(latest.items()):
        if sight.at_us <= spent.get(worker, 0):
            continue
        told[worker].add(observer)
        if options.stands_out(cause, sight.amount, 0.0):
            ill[worker].add(observer)
        groups = (usual[cause].get(group, 0.0) for group in _groups(worker, workers))
        if options.stands_out(cause, sight.amount, max(sight.usual, *groups)):
            bad[worker][cause].append(sight)
    shared = _shared(
        out | {w for w, by in ill.items() if 2 * len(by) >= options.quorum and 2 * len(by) > len(told[w])},
        workers,
    )
    found = []
    for worker, causes in sorted(bad.items()):
        observers: dict[str, int] = {}  # each counts once, since its first word
        for s in sorted((s for seen in causes.values() for s in seen), key=lambda s: s.at_us):
            observers.setdefault(s.observer, s.at_us)
        if len(observers) < options.quorum or 2 * len(observers) <= len(told[worker]):
            continue
        if not shared.isdisjoint(_groups(worker, workers)):
            continue
        cause = max(CAUSES, key=lambda c: (len(causes.get(c, ())), -CAUSES.index(c)))
        found.append(
            Suspect(
                worker=worker,
                cause=cause,
                observers=tuple(sorted(observers)),
                amount=median(s.amount for s in causes[cause]),
                since_us=sorted(observers.values())[options.quorum - 1],
            )
        )
    return tuple(found)


def propose(
    now_us: int,
    me: str,
    alive: Iterable[str],
    sights: Iterable[Sight],
    items: Mapping[str, Cordons],
    workers: Mapping[str, Place],
    options: Options | None = None,
) -> tuple[tuple[str, Reason], ...]:
    """What this scheduler is to propose now, as targets and reasons to ``set_``.

    ``items`` are all cordons, by target; ``alive`` the schedulers that may propose. A worker that has an
    automatic reason, or had one lifted by an operator lately, gets none.
    """
    options, others = options or Options(), frozenset(alive) - {me}
    histories = {worker: _history(now_us, items.get(f"worker/{worker}")) for worker in workers}
    spent = {worker: h.spent_us for worker, h in histories.items()}
    out = {worker for worker, h in histories.items() if h.stands}
    proposals = []
    for suspect in suspects(now_us, sights, workers, options, spent, out):
        worker = suspect.worker
        due_us = suspect.since_us + limits.TURN_US * _turn(worker, me, others)
        if worker not in out and now_us >= due_us:
            reason = _reason(now_us, me, suspect, histories[worker].times + 1, options)
            proposals.append((f"worker/{worker}", reason))
    return tuple(proposals)


@dataclass(slots=True, frozen=True)
class _History:
    stands: bool
    spent_us: int  # evidence up to here is of before the last cordon's end or lift
    times: int  # in a row, up to now


def _history(now_us: int, value: Cordons | None) -> _History:
    if value is None:
        return _History(False, 0, 0)
    reasons = [e.reason for e in value.entries if e.reason.automatic]
    ended = [r for r in reasons if r.ended(now_us)]
    lately = [r.times for r in ended if r.until_us + limits.HELD_LAST_US > now_us]
    # One that lifted with a clock far ahead must not bar automatic cordons for as long.
    lifted = value.lifted_us if value.lifted_us <= now_us + limits.CLOCKS_DIFFER_US else 0
    quiet = lifted + limits.QUIET_US if lifted else 0
    spent = max([quiet, *(r.until_us for r in ended)])
    return _History(len(ended) < len(reasons), spent, max(lately, default=0))


def _reason(now_us: int, me: str, suspect: Suspect, times: int, options: Options) -> Reason:
    lasts_us = min(options.lasts_us * 2 ** min(times - 1, 32), limits.LONGEST_US)
    named = suspect.observers[: limits.MAX_OBSERVERS]
    cordon_id = f"{AUTOMATIC}{suspect.cause}-{suspect.worker}"
    if not is_id(cordon_id):
        digest = blake2s(suspect.worker.encode(), digest_size=8).hexdigest()
        cordon_id = f"{AUTOMATIC}{suspect.cause}-{digest}"
    return Reason(
        id=cordon_id,
        text=f"{suspect.cause} ({suspect.amount:.3g}) as {len(suspect.observers)} schedulers see it",
        by=me,
        since_us=now_us,
        until_us=now_us + lasts_us,
        automatic=True,
        cause=suspect.cause,
        observers=named,
        times=times,
    )


def _turn(worker: str, me: str, others: AbstractSet[str]) -> int:
    """This scheduler's place in the worker's own order of schedulers, the late ones together."""

    def draw(name: str) -> bytes:
        return blake2s(f"{worker}\0{name}".encode(), digest_size=8).digest()

    mine = draw(me)
    return min(sum(draw(name) < mine for name in others), limits.TURNS)


def _latest(
    now_us: int, sights: Iterable[Sight], workers: Mapping[str, Place], options: Options
) -> dict[Key, Sight]:
    """The last word of each observer on each worker, without what is old, from the future or no number."""
    latest: dict[Key, Sight] = {}
    for s in sights:
        if s.worker not in workers or s.cause not in CAUSES:
            continue
        if not now_us - options.age_us <= s.at_us <= now_us + limits.CLOCKS_DIFFER_US:
            continue
        if not (math.isfinite(s.amount) and math.isfinite(s.usual) and s.amount >= 0 and s.usual >= 0):
            continue
        key = s.observer, s.worker, s.cause
        if key not in latest or _order(s) > _order(latest[key]):
            latest[key] = s
    return latest


def _order(s: Sight) -> tuple[int, float, float, int]:
    return s.at_us, s.amount, s.usual, s.looked


def _believed(latest: dict[Key, Sight], options: Options) -> dict[Key, Sight]:
    """Without observers that find too many of the workers bad that they look at, as they themselves say."""
    accused: dict[str, set[str]] = defaultdict(set)
    looked: dict[str, int] = {}
    for (observer, worker, cause), s in latest.items():
        looked[observer] = max(looked.get(observer, 0), s.looked)
        if s.amount >= options.limit(cause):
            accused[observer].add(worker)
    doubted = {o for o, found in accused.items() if len(found) > max(1, limits.ACCUSER_SHARE * looked[o])}
    return {key: s for key, s in latest.items() if key[0] not in doubted}


def _groups(worker: str, workers: Mapping[str, Place]) -> Sequence[str]:
    """The groups that a worker has its lot in common with, the whole fleet as ''."""
    return "", *targets_of(worker, workers[worker])[1:]


def _sizes(workers: Mapping[str, Place]) -> dict[str, int]:
    sizes: dict[str, int] = defaultdict(int)
    for worker in workers:
        for group in _groups(worker, workers):
            sizes[group] += 1
    return sizes


def _usual(latest: dict[Key, Sight], workers: Mapping[str, Place]) -> dict[str, dict[str, float]]:
    """By cause, the median of each group that is large enough; of whom nobody tells counts as well."""
    told: dict[str, dict[str, list[float]]] = {cause: defaultdict(list) for cause in CAUSES}
    for (_, worker, cause), s in latest.items():
        told[cause][worker].append(s.amount)
    sizes = _sizes(workers)
    usual: dict[str, dict[str, float]] = {}
    for cause, amounts in told.items():
        well = 1.0 if cause in _MULTIPLES else 0.0
        known: dict[str, list[float]] = defaultdict(list)
        for worker, seen in amounts.items():
            for group in _groups(worker, workers):
                known[group].append(median(seen))
        usual[cause] = {
            group: median([*values, *[well] * (sizes[group] - len(values))])
            for group, values in known.items()
            if sizes[group] >= limits.MIN_GROUP
        }
    return usual


def _shared(ill: AbstractSet[str], workers: Mapping[str, Place]) -> set[str]:
    """The groups of which so many are ill, or out already, that the cause is theirs in common."""
    counts: dict[str, int] = defaultdict(int)
    for worker in ill:
        for group in _groups(worker, workers):
            counts[group] += 1
    sizes = _sizes(workers)
    return {
        group
        for group, n in counts.items()
        if sizes[group] >= limits.MIN_GROUP and n > max(1, limits.SHARED_SHARE * sizes[group])
    }
