"""Leases by quorum, acceptance of changes, and model checking of the bound that both together guarantee."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.mesh_explorer import PLANS, VARIANTS, Explorer, Rules
from robinhill.mesh import freshness
from robinhill.mesh.acceptance import MAX_TRACKED_CHANGES, Acceptance
from robinhill.mesh.freshness import MAX_AGES, MAX_PENDING_PINGS, NEVER, Freshness
from robinhill.mesh.quorum import MAX_UNSETTLED_LISTS, ListsUnsettled, Quorum, majority
from robinhill.mesh.records import Stamp

BOUND_US = 1_000_000
FIVE_SCHEDULERS = "abcde"


def create_freshness(peers: str = FIVE_SCHEDULERS, me: str = "a", caught_up: bool = True) -> Freshness:
    scheduler = Freshness(me, peers, BOUND_US)
    scheduler.caught_up = caught_up
    return scheduler


def exchange_ping(
    scheduler: Freshness,
    written_us: int,
    partner: str,
    ages_us: dict[str, int],
    number: int = 1,
    answer_delay_us: int = 0,
) -> None:
    scheduler.pinged(written_us, partner, number)
    scheduler.answered(written_us + answer_delay_us, partner, number, ages_us)


def stamp(count: int = 1) -> Stamp:
    return Stamp(1, count, "a", 1)


@pytest.mark.parametrize("plan", PLANS)
def test_bound_holds_in_every_order(plan: str) -> None:
    result = Explorer(PLANS[plan], Rules()).search()
    assert result.violation is None, result.violation.path()
    assert result.accepted > 100  # otherwise the bound was hardly checked


@pytest.mark.parametrize("variant", VARIANTS)
def test_explorer_finds_the_fault_of_each_variant(variant: str) -> None:
    plan, rules = VARIANTS[variant]
    assert Explorer(PLANS[plan], rules()).search().violation is not None


def test_lease_counts_from_the_writing_of_the_ping() -> None:
    scheduler = create_freshness("abc")
    assert scheduler.age_us(0) is None and not scheduler.holds_lease(0) and scheduler.lease_until(0) == NEVER
    exchange_ping(scheduler, 100, "b", {"b": 0}, answer_delay_us=900_000)
    assert scheduler.age_us(900_100) == 900_000
    assert scheduler.lease_until(900_100) == 100 + BOUND_US
    assert scheduler.holds_lease(100 + BOUND_US) and not scheduler.holds_lease(101 + BOUND_US)


def test_relayed_ages_add_up() -> None:
    scheduler = create_freshness()
    exchange_ping(scheduler, 2_000_000, "b", {"b": 0, "c": 500_000, "d": 700_000, "x": 0, "a": 0})
    assert scheduler.known_as_of("c") == 2_000_000 - 500_000 - 500  # 500 allows for the rate of b's clock
    assert scheduler.known_as_of("x") is None and scheduler.known_as_of("a") is None
    assert scheduler.age_us(2_000_000) == 500_500  # of the majority a, b and c
    exchange_ping(scheduler, 2_000_001, "b", {"b": 0, "c": -5_000_000}, number=2)
    assert scheduler.known_as_of("c") == 2_000_001  # a negative age is not used


def test_unknown_and_duplicated_answers_are_ignored() -> None:
    scheduler = create_freshness("abc")
    scheduler.answered(50, "b", 1, {"b": 0})
    scheduler.pinged(100, "b", 1)
    scheduler.pinged(200, "b", 2)
    scheduler.answered(300, "b", 2, {"b": 0})
    # An ordered link never delivers the answer to ping 1 after the answer to ping 2.
    scheduler.answered(400, "b", 1, {"b": 0, "c": 0})
    scheduler.answered(500, "b", 2, {"b": 0, "c": 0})
    assert scheduler.known_as_of("b") == 200 and scheduler.known_as_of("c") is None
    for number in range(3, 4 + MAX_PENDING_PINGS):
        scheduler.pinged(1_000, "b", number)
    scheduler.answered(2_000, "b", 3, {"b": 0})  # the ping has been dropped
    assert scheduler.known_as_of("b") == 200


def test_scheduler_that_has_not_caught_up_does_not_count_for_majorities() -> None:
    scheduler = create_freshness("abc", caught_up=False)
    assert "a" not in scheduler.ages(0) and scheduler.starting_ages(0) == {"a": 0}
    exchange_ping(scheduler, 100, "b", {})
    assert scheduler.known_as_of("b") is None
    exchange_ping(scheduler, 200, "b", {"b": 0}, number=2)
    assert scheduler.age_us(200) is None  # two of three are needed, and a does not count
    scheduler.caught_up = True
    assert scheduler.age_us(200) == 0 and scheduler.ages(200) == {"a": 0, "b": 0}


def test_catching_up_requires_a_majority_of_others_that_know_this_incarnation() -> None:
    scheduler = create_freshness(caught_up=False)
    exchange_ping(scheduler, 1_000, "b", {"b": 0, "c": 1, "d": 1})
    assert (
        not scheduler.may_catch_up()
    )  # b may have learned these states before c and d knew of a's incarnation
    scheduler.introduced(2_000, "c")
    scheduler.introduced(2_000, "d")
    assert not scheduler.may_catch_up()
    exchange_ping(scheduler, 5_000, "b", {"b": 0, "c": 10}, number=2)
    assert not scheduler.may_catch_up()
    exchange_ping(scheduler, 6_000, "b", {"b": 0, "c": 10, "d": 10}, number=3)
    assert scheduler.may_catch_up()
    scheduler.started("d", 1)
    assert scheduler.may_catch_up()
    scheduler.started("d", 2)
    assert not scheduler.may_catch_up()


def test_first_start_of_a_fleet_requires_the_state_of_all_schedulers() -> None:
    scheduler = create_freshness("abc", caught_up=False)
    scheduler.pinged(10, "b", 1)
    scheduler.answered(20, "b", 1, {}, {"b": 0, "c": 0})
    assert not scheduler.may_catch_up()
    scheduler.pinged(30, "c", 1)
    scheduler.answered(40, "c", 1, {}, {"c": 0})
    assert scheduler.may_catch_up() and create_freshness("a", caught_up=False).may_catch_up()


def test_ages_are_limited_to_the_most_recent() -> None:
    names = [f"p{at:04}" for at in range(2 * MAX_AGES)]
    scheduler = Freshness("me", names, BOUND_US)
    scheduler.caught_up = True
    exchange_ping(scheduler, 1_000_000, names[0], {name: at * 1_000 for at, name in enumerate(names)})
    ages = scheduler.ages(1_000_000)
    assert len(ages) == MAX_AGES and ages["me"] == 0 and max(ages.values()) < 257_000


@given(
    st.lists(
        st.tuples(
            st.sampled_from("bcde"),
            st.integers(0, 3_000_000),
            st.dictionaries(st.sampled_from(FIVE_SCHEDULERS), st.integers(0, 2_000_000)),
        )
    ),
    st.booleans(),
)
def test_lease_depends_on_the_oldest_moment_of_the_most_recent_majority(
    exchanges: list[tuple[str, int, dict[str, int]]], caught_up: bool
) -> None:
    scheduler = create_freshness(caught_up=caught_up)
    known: dict[str, list[int]] = {}
    for number, (partner, written_us, ages_us) in enumerate(exchanges):
        exchange_ping(scheduler, written_us, partner, ages_us, number)
        for name, age_us in ages_us.items():
            known.setdefault(name, []).append(written_us - age_us - -(-age_us // freshness.RATE_ALLOWANCE))
    known.pop("a", None)
    now_us = 3_000_000
    ages = sorted([now_us - max(moments) for moments in known.values()] + [0] * caught_up)
    expected = ages[2] if len(ages) >= 3 else None
    assert scheduler.age_us(now_us) == expected
    assert scheduler.holds_lease(now_us) == (expected is not None and expected <= BOUND_US)
    assert expected is None or scheduler.lease_until(now_us) == now_us - expected + BOUND_US


def test_list_change_requires_majorities_of_all_lists_until_settled() -> None:
    scheduler = create_freshness("abc")
    scheduler.reconfigure("adefg")
    exchange_ping(scheduler, 100, "b", {"b": 0, "d": 0})
    assert scheduler.age_us(100) is None
    exchange_ping(scheduler, 200, "b", {"b": 0, "e": 0}, number=2)
    assert scheduler.age_us(200) == 100  # d is the oldest state in the majority of the new list
    scheduler.settle()
    assert scheduler.known_as_of("b") is None and scheduler.age_us(200) == 100
    for peers in ("ab", "ac", "ad")[: MAX_UNSETTLED_LISTS - 1]:
        scheduler.reconfigure(peers)
    with pytest.raises(ListsUnsettled, match="same list"):
        scheduler.reconfigure("az")


@given(st.sets(st.sampled_from("bcdefgh")), st.sets(st.sampled_from("bcdefgh")))
def test_joint_majority_intersects_every_majority_of_either_list(old: set[str], new: set[str]) -> None:
    joint = Quorum("a", old)
    joint.reconfigure(new)
    for names in (old | {"a"}, new | {"a"}):
        most = sorted(names)[: majority(len(names))]
        assert not joint.has_majority(joint.names - set(most))


def test_acceptance_drops_confirmations_of_earlier_incarnations() -> None:
    acceptance = Acceptance(Quorum("a", FIVE_SCHEDULERS))
    acceptance.track(10, stamp())
    assert not acceptance.confirmed(11, "a", 1, stamp())
    assert not acceptance.confirmed(12, "b", 1, stamp()) and not acceptance.confirmed(12, "b", 1, stamp())
    assert not acceptance.confirmed(12, "x", 1, stamp()) and not acceptance.confirmed(12, "c", 1, stamp(2))
    acceptance.started("b", 2)
    assert not acceptance.confirmed(13, "c", 1, stamp())
    assert not acceptance.confirmed(14, "b", 1, stamp())  # late, from b's earlier incarnation
    assert acceptance.unconfirmed(stamp()) == ["b", "d", "e"] and acceptance.oldest_pending_us(20) == 10
    assert acceptance.confirmed(15, "b", 2, stamp())
    acceptance.started("b", 3)
    assert acceptance.accepted_us(stamp()) == 15 and acceptance.oldest_pending_us(20) == 0


def test_acceptance_through_a_stamp_and_limit_of_tracked_changes() -> None:
    acceptance = Acceptance(Quorum("a", "abc"))
    for count in range(1, 4):
        acceptance.track(0, stamp(count))
    acceptance.confirmed_through(1, "a", 1, stamp(3))
    assert acceptance.confirmed_through(1, "b", 1, Stamp(9, 9, "b", 1)) == []
    assert acceptance.confirmed_through(2, "b", 1, stamp(2)) == [stamp(1), stamp(2)]
    for count in range(4, 5 + MAX_TRACKED_CHANGES):
        acceptance.track(0, stamp(count))
    assert acceptance.accepted_us(stamp(1)) is None and acceptance.unconfirmed(stamp(1)) == ["a", "b", "c"]


def test_settling_on_a_shorter_list_may_accept_pending_changes() -> None:
    acceptance = Acceptance(quorum := Quorum("a", FIVE_SCHEDULERS))
    acceptance.track(0, stamp())
    acceptance.confirmed(1, "a", 1, stamp())
    acceptance.confirmed(1, "b", 1, stamp())
    quorum.reconfigure("abc")
    assert acceptance.reevaluate(2) == []
    quorum.settle()
    assert acceptance.reevaluate(3) == [stamp()]
