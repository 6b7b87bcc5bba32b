"""Automatic cordons: suspects by quorum, common causes, order of proposals, durations and cooldown."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from robinhill.cordon.automatic import Observation, propose
from robinhill.cordon.budget import CAUSES
from robinhill.cordon.value import (
    CordonSet,
    Dot,
    lift_cordon,
    set_cordon,
)
from tests.cordons import DETERMINISTIC, FLEET, NOW, SECOND_US


def observation(
    observer: int, worker: str, cause: str = "slow", amount: float = 5.0, **more: Any
) -> Observation:
    fields = {
        "baseline": 1.0 if cause in ("slow", "lagging") else 0.0,
        "worker_count": 30,
        "at_us": NOW - 10 * SECOND_US,
    }
    return Observation(f"s{observer}", worker, cause, amount, **{**fields, **more})


def proposed_workers(observations: list[Observation], now_us: int = NOW, **items: CordonSet) -> list[str]:
    by_target = {f"worker/{w}": value for w, value in items.items()}
    proposals = propose(now_us, "s1", ["s1", "s2", "s3"], observations, by_target, FLEET)
    for _, reason in proposals:
        set_cordon(None, reason, Dot("s1", 1, 1), now_us)  # raises if the reason is invalid
    return [target.partition("/")[2] for target, _ in proposals]


def test_suspect_needs_a_quorum_of_distinct_observers_with_valid_observations() -> None:
    three = [observation(i, "w01") for i in range(3)]
    assert proposed_workers(three) == ["w01"]
    assert (
        proposed_workers(
            [*three[:2], observation(1, "w01", at_us=NOW), observation(1, "w01", "failing", 1.0)]
        )
        == []
    )
    assert proposed_workers([*three[:2], observation(3, "w01", "silent", 1.0)]) == ["w01"], (
        "causes may differ"
    )
    assert proposed_workers([*three, *(observation(i, "w01", amount=1.0) for i in range(3, 6))]) == [], (
        "as many observers find it healthy"
    )
    assert proposed_workers([*three[:2], observation(2, "w01", amount=1.0, at_us=NOW), three[2]]) == [], (
        "the latest observation counts"
    )
    for invalid_fields in (
        {"at_us": NOW - 31 * SECOND_US},
        {"at_us": NOW + 3600 * SECOND_US},
        {"baseline": float("nan")},
    ):
        assert proposed_workers([*three[:2], observation(2, "w01", **invalid_fields)]) == []
    assert proposed_workers([observation(i, "gone") for i in range(3)]) == []


def test_observer_that_reports_too_many_outliers_is_discarded() -> None:
    two = [observation(i, "w01") for i in range(2)]
    assert proposed_workers([*two, *(observation(2, w) for w in sorted(FLEET)[:8])]) == []
    assert proposed_workers([*two, *(observation(2, w) for w in sorted(FLEET)[:7])]) == ["w01"]
    assert proposed_workers([*two, *(observation(2, w, worker_count=8) for w in sorted(FLEET)[:3])]) == [], (
        "the share is computed from the number of workers that the observer observed"
    )


@DETERMINISTIC
@given(st.sets(st.sampled_from(sorted(FLEET)), min_size=10), st.sampled_from(CAUSES), st.floats(0.9, 9.0))
def test_shared_slowdown_cordons_no_worker(slow: set[str], cause: str, amount: float) -> None:
    observations = [
        observation(3 * n + i, w, cause, amount) for n, w in enumerate(sorted(slow)) for i in range(3)
    ]
    assert proposed_workers(observations) == [], "not even if each observer reports only one worker"


def test_outlier_in_a_slow_zone_must_exceed_the_baseline_of_the_zone() -> None:
    zone = [w for w in FLEET if FLEET[w].zone == "z1" and w != "w01"]
    slower = [observation(3 * n + i, w, amount=2.0) for n, w in enumerate(zone) for i in range(3)]
    assert proposed_workers([*slower, *(observation(i, "w01", amount=5.9) for i in range(3))]) == []
    assert proposed_workers([*slower, *(observation(i, "w01", amount=6.0) for i in range(3))]) == ["w01"]
    assert proposed_workers([observation(i, "w01", baseline=2.0) for i in range(3)]) == [], (
        "similar workers are as slow"
    )
    unhealthy = [observation(3 * n + i, w) for n, w in enumerate(zone[:3]) for i in range(2)]
    assert proposed_workers([*unhealthy, *(observation(i, "w01", amount=99.0) for i in range(3))]) == [], (
        "the cause is common to the zone"
    )


def test_automatic_cordon_duration_doubles_and_a_lift_starts_a_cooldown() -> None:
    observations = [observation(i, "w01") for i in range(3)]
    ((target, reason),) = propose(NOW, "s1", ["s1"], observations, {}, FLEET)
    assert (
        reason.automatic
        and reason.until_us == NOW + 300 * SECOND_US
        and reason.observers == ("s0", "s1", "s2")
    )
    value = set_cordon(None, reason, Dot("s1", 1, 1), NOW)
    assert proposed_workers(observations, w01=value) == []
    lifted = lift_cordon(value, reason.id, NOW)
    fresh = [observation(i, "w01", at_us=NOW + 100 * SECOND_US) for i in range(3)]
    assert proposed_workers(fresh, NOW + 110 * SECOND_US, w01=lifted) == [], (
        "within the cooldown after an operator's lift"
    )
    later = [observation(i, "w01", at_us=NOW + 1000 * SECOND_US) for i in range(3)]
    assert proposed_workers(later, NOW + 1010 * SECOND_US, w01=lifted) == ["w01"]
    ((_, again),) = propose(NOW + 1010 * SECOND_US, "s1", ["s1"], later, {target: value}, FLEET)
    assert again.times == 2 and again.until_us == NOW + 1610 * SECOND_US


def test_schedulers_propose_one_after_the_other() -> None:
    names = [f"s{i}" for i in range(200)]
    observations = [observation(i, "w01", at_us=NOW) for i in range(3)]
    first = [n for n in names if propose(NOW, n, names, observations, {}, FLEET)]
    assert len(first) == 1
    rest = [n for n in names if n not in first]
    assert len([n for n in rest if propose(NOW, n, rest, observations, {}, FLEET)]) == 1, (
        "the next scheduler proposes if the first is not alive"
    )
    assert all(propose(NOW + 5 * SECOND_US, n, names, observations, {}, FLEET) for n in names)
