"""Automatic cordons: suspects by quorum, common causes, turns and durations."""

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
from tests.cordons import DETERMINISTIC, FLEET, NOW, S


def seen(observer: int, worker: str, cause: str = "slow", amount: float = 5.0, **more: Any) -> Observation:
    fields = {
        "baseline": 1.0 if cause in ("slow", "lagging") else 0.0,
        "worker_count": 30,
        "at_us": NOW - 10 * S,
    }
    return Observation(f"s{observer}", worker, cause, amount, **{**fields, **more})


def found(observations: list[Observation], now_us: int = NOW, **items: CordonSet) -> list[str]:
    given = {f"worker/{w}": value for w, value in items.items()}
    proposals = propose(now_us, "s1", ["s1", "s2", "s3"], observations, given, FLEET)
    for _, reason in proposals:
        set_cordon(None, reason, Dot("s1", 1, 1), now_us)  # it may be written
    return [target.partition("/")[2] for target, _ in proposals]


def test_a_quorum_of_observers_that_each_count_once_makes_a_suspect() -> None:
    three = [seen(i, "w01") for i in range(3)]
    assert found(three) == ["w01"]
    assert found([*three[:2], seen(1, "w01", at_us=NOW), seen(1, "w01", "failing", 1.0)]) == []
    assert found([*three[:2], seen(3, "w01", "silent", 1.0)]) == ["w01"], "it is bad by either cause"
    assert found([*three, *(seen(i, "w01", amount=1.0) for i in range(3, 6))]) == [], (
        "as many find it healthy"
    )
    assert found([*three[:2], seen(2, "w01", amount=1.0, at_us=NOW), three[2]]) == [], "the last one counts"
    for spoilt in ({"at_us": NOW - 31 * S}, {"at_us": NOW + 3600 * S}, {"baseline": float("nan")}):
        assert found([*three[:2], seen(2, "w01", **spoilt)]) == []
    assert found([seen(i, "gone") for i in range(3)]) == []


def test_an_observer_that_finds_too_many_bad_is_discarded() -> None:
    two = [seen(i, "w01") for i in range(2)]
    assert found([*two, *(seen(2, w) for w in sorted(FLEET)[:8])]) == []
    assert found([*two, *(seen(2, w) for w in sorted(FLEET)[:7])]) == ["w01"]
    assert found([*two, *(seen(2, w, worker_count=8) for w in sorted(FLEET)[:3])]) == [], (
        "of those that it observed"
    )


@DETERMINISTIC
@given(st.sets(st.sampled_from(sorted(FLEET)), min_size=10), st.sampled_from(CAUSES), st.floats(0.9, 9.0))
def test_a_shared_slowdown_cordons_nobody(slow: set[str], cause: str, amount: float) -> None:
    observations = [seen(3 * n + i, w, cause, amount) for n, w in enumerate(sorted(slow)) for i in range(3)]
    assert found(observations) == [], "though each observer sees one worker, and thinks that it alone is bad"


def test_in_a_slower_zone_only_a_worker_slower_still_is_an_outlier() -> None:
    zone = [w for w in FLEET if FLEET[w].zone == "z1" and w != "w01"]
    slower = [seen(3 * n + i, w, amount=2.0) for n, w in enumerate(zone) for i in range(3)]
    assert found([*slower, *(seen(i, "w01", amount=5.9) for i in range(3))]) == []
    assert found([*slower, *(seen(i, "w01", amount=6.0) for i in range(3))]) == ["w01"]
    assert found([seen(i, "w01", baseline=2.0) for i in range(3)]) == [], "as all like it are"
    ill = [seen(3 * n + i, w) for n, w in enumerate(zone[:3]) for i in range(2)]
    assert found([*ill, *(seen(i, "w01", amount=99.0) for i in range(3))]) == [], "not alone"


def test_automatic_cordons_end_pause_after_a_lift_and_last_longer_in_a_row() -> None:
    observations = [seen(i, "w01") for i in range(3)]
    ((target, reason),) = propose(NOW, "s1", ["s1"], observations, {}, FLEET)
    assert reason.automatic and reason.until_us == NOW + 300 * S and reason.observers == ("s0", "s1", "s2")
    value = set_cordon(None, reason, Dot("s1", 1, 1), NOW)
    assert found(observations, w01=value) == []
    lifted = lift_cordon(value, reason.id, NOW)
    fresh = [seen(i, "w01", at_us=NOW + 100 * S) for i in range(3)]
    assert found(fresh, NOW + 110 * S, w01=lifted) == [], "an operator knows better, for a while"
    later = [seen(i, "w01", at_us=NOW + 1000 * S) for i in range(3)]
    assert found(later, NOW + 1010 * S, w01=lifted) == ["w01"]
    ((_, again),) = propose(NOW + 1010 * S, "s1", ["s1"], later, {target: value}, FLEET)
    assert again.times == 2 and again.until_us == NOW + 1610 * S


def test_schedulers_propose_in_turn() -> None:
    names = [f"s{i}" for i in range(200)]
    observations = [seen(i, "w01", at_us=NOW) for i in range(3)]
    at_once = [n for n in names if propose(NOW, n, names, observations, {}, FLEET)]
    assert len(at_once) == 1
    rest = [n for n in names if n not in at_once]
    assert len([n for n in rest if propose(NOW, n, rest, observations, {}, FLEET)]) == 1, (
        "the next, if it is gone"
    )
    assert all(propose(NOW + 5 * S, n, names, observations, {}, FLEET) for n in names)
