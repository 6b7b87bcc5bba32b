"""Detection of workers to cordon automatically, from the observations of several schedulers.

An observer is a scheduler that measures workers. For a worker and a cause (one of ``budget.CAUSES``) it
reports an *amount*: a share of attempts, or a time as a multiple of the expected time (`Observation`).

A worker is a suspect if a quorum of observers, and more than half of all observers of the worker, find it an
outlier: its amount reaches the absolute threshold of the cause, and exceeds a baseline by a margin derived
from the same threshold. The baseline is the highest of five medians: the observer's own median over similar
workers, and the medians of all observers' amounts in the fleet and in the worker's zone, machine type and
cell (0 for a group of fewer than MIN_GROUP_SIZE workers). So in a group that is slow as a whole, a suspect
must be slower than the group by the margin.

If more than COMMON_CAUSE_SHARE of the workers in the fleet or in a zone, machine type or cell are unhealthy,
the cause is common to the group. Cordons don't remove a common cause, so no worker of the group is proposed.
A worker is unhealthy if it has an automatic cordon, or if at least half a quorum of observers, and more than
half of the worker's observers, find its amount at or above the absolute threshold of a cause. If an observer
reports more than MAX_OVER_THRESHOLD_SHARE of its workers as over a threshold, the fault is likely the
observer's, and all its observations are discarded.

The same evidence gives the same proposals at every scheduler. The order in which schedulers may propose a
cordon differs from worker to worker: the first scheduler proposes the cordon at once. Each later one waits
for its turn (turns are PROPOSAL_TURN_US apart), and proposes the cordon only if its copy of the cordons still
has no automatic cordon of the worker at that time. Each scheduler applies the budget to all proposals in its
copy, see ``budget``. This module performs no I/O. Times are Unix microseconds.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from hashlib import blake2s
from statistics import median
from typing import NamedTuple

from robinhill.cordon import limits
from robinhill.cordon.budget import CAUSES, Location
from robinhill.cordon.index import targets_of
from robinhill.cordon.value import AUTOMATIC_ID_PREFIX, CordonSet, Reason, is_cordon_id

MULTIPLE_CAUSES = frozenset({"lagging", "slow"})
"""Causes whose amounts are multiples of the expected time. Amounts of other causes are shares of attempts."""


@dataclass(slots=True, frozen=True)
class Observation:
    """An observer's measurement of a worker, made up to ``at_us``. Observers also report healthy workers.

    The meaning of ``amount`` depends on the cause: for 'silent' and 'failing' it is the share of attempts
    with this fault, for 'slow' and 'lagging' a time as a multiple of the expected time. ``baseline`` is the
    observer's median amount over workers of the same zone and machine type, or over all workers if the
    observer knows fewer than four workers of that zone and type. ``worker_count`` is the number of workers
    that the observer observed. A single failure is not reported as an observation.
    """

    observer: str
    worker: str
    cause: str
    amount: float
    baseline: float
    worker_count: int
    at_us: int


@dataclass(slots=True, frozen=True)
class DetectionOptions:
    """Thresholds of detection; all schedulers must have the same values.

    ``quorum``: the number of observers that must agree. ``..._share`` and ``..._multiple``: the threshold of
    each cause, as a share of attempts or as a multiple of the expected time. ``max_observation_age_us``:
    older observations are ignored. ``duration_us``: the duration of a worker's first automatic cordon.
    """

    quorum: int = limits.DEFAULT_QUORUM
    silent_share: float = 0.9
    failing_share: float = 0.3
    lagging_multiple: float = 2.0
    slow_multiple: float = 3.0
    max_observation_age_us: int = limits.MAX_OBSERVATION_AGE_US
    duration_us: int = limits.AUTOMATIC_DURATION_US

    def __post_init__(self) -> None:
        if self.quorum < 2:
            raise ValueError("quorum must be at least 2")
        if not (0 < self.silent_share <= 1 and 0 < self.failing_share <= 1):
            raise ValueError("silent_share and failing_share must be above 0 and at most 1")
        if not (self.lagging_multiple > 1 and self.slow_multiple > 1):
            raise ValueError("lagging_multiple and slow_multiple must be above 1")
        max_duration_us = limits.MAX_AUTOMATIC_DURATION_US
        if not (self.max_observation_age_us > 0 and 0 < self.duration_us <= max_duration_us):
            raise ValueError(
                f"max_observation_age_us and duration_us must be above 0, and duration_us at most"
                f" {max_duration_us}"
            )

    def threshold(self, cause: str) -> float:
        """Return the lowest amount that makes a worker an outlier if all other workers are healthy."""
        return {
            "silent": self.silent_share,
            "failing": self.failing_share,
            "lagging": self.lagging_multiple,
            "slow": self.slow_multiple,
        }[cause]

    def is_outlier(self, cause: str, amount: float, baseline: float) -> bool:
        """Return whether an amount reaches the threshold and exceeds the baseline by the margin.

        A multiple must reach the threshold times the baseline, where a baseline below 1 counts as 1. A share
        must reach the threshold, and the baseline plus half of the threshold. With a baseline of 0 only the
        absolute threshold counts.
        """
        threshold = self.threshold(cause)
        if cause in MULTIPLE_CAUSES:
            return amount >= threshold * max(baseline, 1.0)
        return amount >= threshold and amount - baseline >= threshold / 2


@dataclass(slots=True, frozen=True)
class Suspect:
    """A worker that a quorum of observers finds an outlier.

    ``cause`` is the cause with the most outlying observations, and ``amount`` is the median amount of these
    observations. ``since_us`` is the time of the observation that completed the quorum.
    """

    worker: str
    cause: str
    observers: tuple[str, ...]
    amount: float
    since_us: int


class ObservationKey(NamedTuple):
    """The identity of an observation: a newer observation with the same key replaces it."""

    observer: str
    worker: str
    cause: str


@dataclass(slots=True)
class _WorkerEvidence:
    """The observations of one worker that count as evidence, and their observers."""

    observers: set[str]  # all observers of the worker
    over_threshold: set[str]  # observers that measured an amount at or above the absolute threshold
    outlying: dict[str, list[Observation]]  # by cause: observations that make the worker an outlier


def find_suspects(
    now_us: int,
    observations: Iterable[Observation],
    workers: Mapping[str, Location],
    options: DetectionOptions,
    evidence_after_us: Mapping[str, int] | None = None,
    cordoned: AbstractSet[str] = frozenset(),
) -> tuple[Suspect, ...]:
    """Return the workers that a quorum of observers finds outliers, by ascending ID.

    Workers of a group with a common cause are left out. ``evidence_after_us``: by worker, the time up to
    which its observations no longer count as evidence. ``cordoned``: workers that already have an automatic
    cordon; they count towards a common cause even without evidence, because they get no attempts that
    observers could measure.
    """
    # Observations up to ``evidence_after_us`` are no evidence about their worker, but they still count in the
    # check whether their observer is reliable, and in the baselines.
    latest = _discard_unreliable(_find_latest(now_us, observations, workers, options), options)
    evidence = _collect_evidence(latest, workers, options, evidence_after_us or {})
    unhealthy = {worker for worker, each in evidence.items() if _is_unhealthy(each, options)}
    affected_groups = _find_common_causes(cordoned | unhealthy, workers)
    return tuple(
        suspect
        for worker, each in sorted(evidence.items())
        if (suspect := _make_suspect(worker, each, options))
        and affected_groups.isdisjoint(_groups(worker, workers))
    )


def propose(
    now_us: int,
    own_name: str,
    alive: Iterable[str],
    observations: Iterable[Observation],
    items: Mapping[str, CordonSet],
    workers: Mapping[str, Location],
    options: DetectionOptions | None = None,
) -> tuple[tuple[str, Reason], ...]:
    """Return the automatic cordons that this scheduler should set at ``now_us``, as targets and reasons.

    ``items`` are all cordons, by target; ``alive`` are the names of the schedulers that may propose cordons.
    A worker is not proposed while it has an automatic cordon. After an operator has lifted an automatic
    cordon, observations of its worker are ignored if they were made before the lift or up to LIFT_COOLDOWN_US
    after it.
    """
    options, others = options or DetectionOptions(), frozenset(alive) - {own_name}
    histories = {worker: _read_history(now_us, items.get(f"worker/{worker}")) for worker in workers}
    evidence_after_us = {worker: history.evidence_after_us for worker, history in histories.items()}
    cordoned = {worker for worker, history in histories.items() if history.is_active}
    proposals = []
    for suspect in find_suspects(now_us, observations, workers, options, evidence_after_us, cordoned):
        worker = suspect.worker
        due_us = suspect.since_us + limits.PROPOSAL_TURN_US * _proposal_turn(worker, own_name, others)
        if worker not in cordoned and now_us >= due_us:
            reason = _make_reason(now_us, own_name, suspect, histories[worker].times + 1, options)
            proposals.append((f"worker/{worker}", reason))
    return tuple(proposals)


@dataclass(slots=True, frozen=True)
class _History:
    """Summary of a worker's automatic cordons.

    ``is_active``: whether the worker has an automatic cordon that has not ended. ``evidence_after_us``:
    observations up to this time are no evidence for a further cordon. ``times``: the number of automatic
    cordons that each began within REPEAT_WINDOW_US after the end of the one before; 0 if no automatic cordon
    ended within the past REPEAT_WINDOW_US.
    """

    is_active: bool
    evidence_after_us: int
    times: int


def _read_history(now_us: int, value: CordonSet | None) -> _History:
    if value is None:
        return _History(False, 0, 0)
    reasons = [entry.reason for entry in value.entries if entry.reason.automatic]
    ended = [reason for reason in reasons if reason.has_ended(now_us)]
    recent = [reason.times for reason in ended if reason.until_us + limits.REPEAT_WINDOW_US > now_us]
    # If the clock of the host that wrote the lift is far ahead, the lift appears to be in the future. Such a
    # lift is ignored, because it would prevent automatic cordons of the worker until that future time.
    lifted_us = value.lifted_us if value.lifted_us <= now_us + limits.MAX_CLOCK_SKEW_US else 0
    cooldown_end_us = lifted_us + limits.LIFT_COOLDOWN_US if lifted_us else 0
    evidence_after_us = max([cooldown_end_us, *(reason.until_us for reason in ended)])
    return _History(len(ended) < len(reasons), evidence_after_us, max(recent, default=0))


def _make_reason(
    now_us: int, own_name: str, suspect: Suspect, times: int, options: DetectionOptions
) -> Reason:
    doubled_us = options.duration_us * 2 ** min(times - 1, 32)
    cordon_id = f"{AUTOMATIC_ID_PREFIX}{suspect.cause}-{suspect.worker}"
    if not is_cordon_id(cordon_id):
        digest = blake2s(suspect.worker.encode(), digest_size=8).hexdigest()
        cordon_id = f"{AUTOMATIC_ID_PREFIX}{suspect.cause}-{digest}"
    return Reason(
        id=cordon_id,
        text=f"{suspect.cause} ({suspect.amount:.3g}) as {len(suspect.observers)} schedulers see it",
        by=own_name,
        since_us=now_us,
        until_us=now_us + min(doubled_us, limits.MAX_AUTOMATIC_DURATION_US),
        automatic=True,
        cause=suspect.cause,
        observers=suspect.observers[: limits.MAX_OBSERVERS],
        times=times,
    )


def _proposal_turn(worker: str, own_name: str, others: AbstractSet[str]) -> int:
    """Return how many schedulers precede this one in the order of turns to propose a cordon of the worker.

    The result is at most MAX_PROPOSAL_TURNS.
    """

    def rank(name: str) -> bytes:
        return blake2s(f"{worker}\0{name}".encode(), digest_size=8).digest()

    own_rank = rank(own_name)
    return min(sum(rank(name) < own_rank for name in others), limits.MAX_PROPOSAL_TURNS)


def _find_latest(
    now_us: int,
    observations: Iterable[Observation],
    workers: Mapping[str, Location],
    options: DetectionOptions,
) -> dict[ObservationKey, Observation]:
    """Return the latest valid observation of a listed worker for each key."""
    latest: dict[ObservationKey, Observation] = {}
    for each in observations:
        if each.worker not in workers or not _is_valid(now_us, each, options):
            continue
        key = ObservationKey(each.observer, each.worker, each.cause)
        if key not in latest or _recency(each) > _recency(latest[key]):
            latest[key] = each
    return latest


def _is_valid(now_us: int, observation: Observation, options: DetectionOptions) -> bool:
    oldest_us, latest_us = now_us - options.max_observation_age_us, now_us + limits.MAX_CLOCK_SKEW_US
    if observation.cause not in CAUSES or not oldest_us <= observation.at_us <= latest_us:
        return False
    return all(math.isfinite(n) and n >= 0 for n in (observation.amount, observation.baseline))


def _recency(observation: Observation) -> tuple[int, float, float, int]:
    return observation.at_us, observation.amount, observation.baseline, observation.worker_count


def _discard_unreliable(
    latest: dict[ObservationKey, Observation], options: DetectionOptions
) -> dict[ObservationKey, Observation]:
    """Discard all observations by observers that report too many of their workers as over a threshold.

    Too many means at least two workers that make up more than MAX_OVER_THRESHOLD_SHARE of the observer's
    workers. The number of an observer's workers is the highest ``worker_count`` of its observations.
    """
    over_threshold: dict[str, set[str]] = defaultdict(set)
    worker_counts: dict[str, int] = {}
    for key, each in latest.items():
        worker_counts[key.observer] = max(worker_counts.get(key.observer, 0), each.worker_count)
        if each.amount >= options.threshold(key.cause):
            over_threshold[key.observer].add(key.worker)
    unreliable = {
        observer
        for observer, workers in over_threshold.items()
        if len(workers) > max(1, limits.MAX_OVER_THRESHOLD_SHARE * worker_counts[observer])
    }
    return {key: each for key, each in latest.items() if key.observer not in unreliable}


def _collect_evidence(
    latest: dict[ObservationKey, Observation],
    workers: Mapping[str, Location],
    options: DetectionOptions,
    evidence_after_us: Mapping[str, int],
) -> dict[str, _WorkerEvidence]:
    """Return the evidence about each worker from its observations after ``evidence_after_us``."""
    baselines = _find_baselines(latest, workers)
    evidence: dict[str, _WorkerEvidence] = {}
    for key, each in sorted(latest.items()):
        observer, worker, cause = key
        if each.at_us <= evidence_after_us.get(worker, 0):
            continue
        found = evidence.setdefault(worker, _WorkerEvidence(set(), set(), defaultdict(list)))
        found.observers.add(observer)
        if options.is_outlier(cause, each.amount, 0.0):
            found.over_threshold.add(observer)
        group_baselines = (baselines[cause].get(group, 0.0) for group in _groups(worker, workers))
        if options.is_outlier(cause, each.amount, max(each.baseline, *group_baselines)):
            found.outlying[cause].append(each)
    return evidence


def _is_unhealthy(evidence: _WorkerEvidence, options: DetectionOptions) -> bool:
    """Return whether enough observers find a worker's amount at or above an absolute threshold.

    Enough are at least half a quorum, and more than half of the worker's observers.
    """
    over, observers = len(evidence.over_threshold), len(evidence.observers)
    return 2 * over >= options.quorum and 2 * over > observers


def _make_suspect(worker: str, evidence: _WorkerEvidence, options: DetectionOptions) -> Suspect | None:
    """Return a worker as a suspect; None unless a quorum, and most of its observers, find it an outlier."""
    observers: dict[str, int] = {}  # by observer: time of its first observation of an outlying amount
    outlying = [each for observations in evidence.outlying.values() for each in observations]
    for each in sorted(outlying, key=lambda each: each.at_us):
        observers.setdefault(each.observer, each.at_us)
    if len(observers) < options.quorum or 2 * len(observers) <= len(evidence.observers):
        return None
    cause = max(CAUSES, key=lambda c: (len(evidence.outlying.get(c, ())), -CAUSES.index(c)))
    return Suspect(
        worker=worker,
        cause=cause,
        observers=tuple(sorted(observers)),
        amount=median(each.amount for each in evidence.outlying[cause]),
        since_us=sorted(observers.values())[options.quorum - 1],
    )


def _groups(worker: str, workers: Mapping[str, Location]) -> Sequence[str]:
    """Return the groups that a worker belongs to: '' for the fleet, then its zone, machine type and cell.

    The last three are in the form of targets, such as 'zone/NAME'.
    """
    return "", *targets_of(worker, workers[worker])[1:]


def _group_sizes(workers: Mapping[str, Location]) -> dict[str, int]:
    sizes: dict[str, int] = defaultdict(int)
    for worker in workers:
        for group in _groups(worker, workers):
            sizes[group] += 1
    return sizes


def _find_baselines(
    latest: dict[ObservationKey, Observation], workers: Mapping[str, Location]
) -> dict[str, dict[str, float]]:
    """Return, by cause and group, the median of the workers' amounts in groups of MIN_GROUP_SIZE or more.

    The amount of a worker is the median of its observations. A worker without an observation counts with the
    amount of a healthy worker: 1 for multiples, 0 for shares.
    """
    amounts: dict[str, dict[str, list[float]]] = {cause: defaultdict(list) for cause in CAUSES}
    for key, each in latest.items():
        amounts[key.cause][key.worker].append(each.amount)
    sizes = _group_sizes(workers)
    baselines: dict[str, dict[str, float]] = {}
    for cause, by_worker in amounts.items():
        healthy = 1.0 if cause in MULTIPLE_CAUSES else 0.0
        medians: dict[str, list[float]] = defaultdict(list)
        for worker, observed in by_worker.items():
            for group in _groups(worker, workers):
                medians[group].append(median(observed))
        baselines[cause] = {
            group: median([*values, *[healthy] * (sizes[group] - len(values))])
            for group, values in medians.items()
            if sizes[group] >= limits.MIN_GROUP_SIZE
        }
    return baselines


def _find_common_causes(unhealthy: AbstractSet[str], workers: Mapping[str, Location]) -> set[str]:
    """Return the groups with a common cause.

    In such a group at least two workers, and more than COMMON_CAUSE_SHARE of all its workers, are unhealthy.
    ``unhealthy`` includes the workers with an automatic cordon. Groups below MIN_GROUP_SIZE are left out.
    """
    counts: dict[str, int] = defaultdict(int)
    for worker in unhealthy:
        for group in _groups(worker, workers):
            counts[group] += 1
    sizes = _group_sizes(workers)
    return {
        group
        for group, n in counts.items()
        if sizes[group] >= limits.MIN_GROUP_SIZE and n > max(1, limits.COMMON_CAUSE_SHARE * sizes[group])
    }
