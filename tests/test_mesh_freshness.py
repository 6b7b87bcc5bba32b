"""The lease by quorum, acceptance, and the claim that binds them, in every order of events within small
budgets."""

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
FIVE = "abcde"


def fresh(peers: str = FIVE, me: str = "a", caught_up: bool = True) -> Freshness:
    one = Freshness(me, peers, BOUND_US)
    one.caught_up = caught_up
    return one


def ask(
    one: Freshness, at_us: int, partner: str, ages_us: dict[str, int], number: int = 1, after_us: int = 0
) -> None:
    one.pinged(at_us, partner, number)
    one.answered(at_us + after_us, partner, number, ages_us)


def stamp(count: int = 1) -> Stamp:
    return Stamp(1, count, "a", 1)


@pytest.mark.parametrize("plan", PLANS)
def test_bound_holds_in_every_order(plan: str) -> None:
    found = Explorer(PLANS[plan], Rules()).search()
    assert found.broken is None, found.broken.path()
    assert found.accepted > 100  # else nothing was looked at


@pytest.mark.parametrize("variant", VARIANTS)
def test_explorer_finds_what_is_wrong(variant: str) -> None:
    plan, rules = VARIANTS[variant]
    assert Explorer(PLANS[plan], rules()).search().broken is not None


def test_a_lease_counts_from_the_writing_of_the_ping() -> None:
    one = fresh("abc")
    assert one.age_us(0) is None and not one.holds_lease(0) and one.lease_until(0) == NEVER
    ask(one, 100, "b", {"b": 0}, after_us=900_000)
    assert one.age_us(900_100) == 900_000
    assert one.lease_until(900_100) == 100 + BOUND_US
    assert one.holds_lease(100 + BOUND_US) and not one.holds_lease(101 + BOUND_US)


def test_relayed_ages_add_up() -> None:
    one = fresh()
    ask(one, 2_000_000, "b", {"b": 0, "c": 500_000, "d": 700_000, "x": 0, "a": 0})
    assert one.known_as_of("c") == 2_000_000 - 500_000 - 500  # and the allowance for its clock's rate
    assert one.known_as_of("x") is None and one.known_as_of("a") is None
    assert one.age_us(2_000_000) == 500_500  # itself, b and c
    ask(one, 2_000_001, "b", {"b": 0, "c": -5_000_000}, number=2)
    assert one.known_as_of("c") == 2_000_001  # never from the future


def test_unknown_and_duplicated_answers_are_ignored() -> None:
    one = fresh("abc")
    one.answered(50, "b", 1, {"b": 0})
    one.pinged(100, "b", 1)
    one.pinged(200, "b", 2)
    one.answered(300, "b", 2, {"b": 0})
    one.answered(400, "b", 1, {"b": 0, "c": 0})  # too late on an ordered link
    one.answered(500, "b", 2, {"b": 0, "c": 0})
    assert one.known_as_of("b") == 200 and one.known_as_of("c") is None
    for number in range(3, 4 + MAX_PENDING_PINGS):
        one.pinged(1_000, "b", number)
    one.answered(2_000, "b", 3, {"b": 0})  # forgotten meanwhile
    assert one.known_as_of("b") == 200


def test_a_scheduler_that_has_not_caught_up_counts_for_nobody() -> None:
    one = fresh("abc", caught_up=False)
    assert "a" not in one.ages(0) and one.starting_ages(0) == {"a": 0}
    ask(one, 100, "b", {})
    assert one.known_as_of("b") is None
    ask(one, 200, "b", {"b": 0}, number=2)
    assert one.age_us(200) is None  # two of three are needed, and it is none of them
    one.caught_up = True
    assert one.age_us(200) == 0 and one.ages(200) == {"a": 0, "b": 0}


def test_catching_up_takes_a_majority_of_others_that_know_this_incarnation() -> None:
    one = fresh(caught_up=False)
    ask(one, 1_000, "b", {"b": 0, "c": 1, "d": 1})
    assert not one.may_catch_up()  # c and d told b before they can have known
    one.introduced(2_000, "c")
    one.introduced(2_000, "d")
    assert not one.may_catch_up()
    ask(one, 5_000, "b", {"b": 0, "c": 10}, number=2)
    assert not one.may_catch_up()
    ask(one, 6_000, "b", {"b": 0, "c": 10, "d": 10}, number=3)
    assert one.may_catch_up()
    one.started("d", 1)
    assert one.may_catch_up()
    one.started("d", 2)
    assert not one.may_catch_up()


def test_first_start_of_a_fleet_takes_all() -> None:
    one = fresh("abc", caught_up=False)
    one.pinged(10, "b", 1)
    one.answered(20, "b", 1, {}, {"b": 0, "c": 0})
    assert not one.may_catch_up()
    one.pinged(30, "c", 1)
    one.answered(40, "c", 1, {}, {"c": 0})
    assert one.may_catch_up() and fresh("a", caught_up=False).may_catch_up()


def test_answers_are_bounded_to_the_most_recent_ages() -> None:
    names = [f"p{at:04}" for at in range(2 * MAX_AGES)]
    one = Freshness("me", names, BOUND_US)
    one.caught_up = True
    ask(one, 1_000_000, names[0], {name: at * 1_000 for at, name in enumerate(names)})
    ages = one.ages(1_000_000)
    assert len(ages) == MAX_AGES and ages["me"] == 0 and max(ages.values()) < 257_000


@given(
    st.lists(
        st.tuples(
            st.sampled_from("bcde"),
            st.integers(0, 3_000_000),
            st.dictionaries(st.sampled_from(FIVE), st.integers(0, 2_000_000)),
        )
    ),
    st.booleans(),
)
def test_a_lease_follows_from_the_majority_th_most_recent_moment(
    asked: list[tuple[str, int, dict[str, int]]], caught_up: bool
) -> None:
    one = fresh(caught_up=caught_up)
    known: dict[str, list[int]] = {}
    for number, (partner, at_us, ages_us) in enumerate(asked):
        ask(one, at_us, partner, ages_us, number)
        for name, age_us in ages_us.items():
            known.setdefault(name, []).append(at_us - age_us - -(-age_us // freshness.RATE_ALLOWANCE))
    known.pop("a", None)
    now_us = 3_000_000
    ages = sorted([now_us - max(moments) for moments in known.values()] + [0] * caught_up)
    expected = ages[2] if len(ages) >= 3 else None
    assert one.age_us(now_us) == expected
    assert one.holds_lease(now_us) == (expected is not None and expected <= BOUND_US)
    assert expected is None or one.lease_until(now_us) == now_us - expected + BOUND_US


def test_changing_lists_takes_majorities_of_all_until_settled() -> None:
    one = fresh("abc")
    one.reconfigure("adefg")
    ask(one, 100, "b", {"b": 0, "d": 0})
    assert one.age_us(100) is None
    ask(one, 200, "b", {"b": 0, "e": 0}, number=2)
    assert one.age_us(200) == 100  # d of the new list is the oldest that is needed
    one.settle()
    assert one.known_as_of("b") is None and one.age_us(200) == 100
    for peers in ("ab", "ac", "ad")[: MAX_UNSETTLED_LISTS - 1]:
        one.reconfigure(peers)
    with pytest.raises(ListsUnsettled, match="same list"):
        one.reconfigure("az")


@given(st.sets(st.sampled_from("bcdefgh")), st.sets(st.sampled_from("bcdefgh")))
def test_joint_majorities_meet_those_of_either_list(old: set[str], new: set[str]) -> None:
    joint = Quorum("a", old)
    joint.reconfigure(new)
    for names in (old | {"a"}, new | {"a"}):
        most = sorted(names)[: majority(len(names))]
        assert not joint.has_majority(joint.names - set(most))


def test_acceptance_drops_confirmations_of_former_incarnations() -> None:
    one = Acceptance(Quorum("a", FIVE))
    one.track(10, stamp())
    assert not one.confirmed(11, "a", 1, stamp())
    assert not one.confirmed(12, "b", 1, stamp()) and not one.confirmed(12, "b", 1, stamp())
    assert not one.confirmed(12, "x", 1, stamp()) and not one.confirmed(12, "c", 1, stamp(2))
    one.started("b", 2)
    assert not one.confirmed(13, "c", 1, stamp())
    assert not one.confirmed(14, "b", 1, stamp())  # late, by the former self
    assert one.unconfirmed(stamp()) == ["b", "d", "e"] and one.oldest_pending_us(20) == 10
    assert one.confirmed(15, "b", 2, stamp())
    one.started("b", 3)
    assert one.accepted_us(stamp()) == 15 and one.oldest_pending_us(20) == 0


def test_acceptance_up_to_a_stamp_and_within_its_bounds() -> None:
    one = Acceptance(Quorum("a", "abc"))
    for count in range(1, 4):
        one.track(0, stamp(count))
    one.confirmed_through(1, "a", 1, stamp(3))
    assert one.confirmed_through(1, "b", 1, Stamp(9, 9, "b", 1)) == []
    assert one.confirmed_through(2, "b", 1, stamp(2)) == [stamp(1), stamp(2)]
    for count in range(4, 5 + MAX_TRACKED_CHANGES):
        one.track(0, stamp(count))
    assert one.accepted_us(stamp(1)) is None and one.unconfirmed(stamp(1)) == ["a", "b", "c"]


def test_a_shorter_list_may_accept_pending_changes() -> None:
    one = Acceptance(quorum := Quorum("a", FIVE))
    one.track(0, stamp())
    one.confirmed(1, "a", 1, stamp())
    one.confirmed(1, "b", 1, stamp())
    quorum.reconfigure("abc")
    assert one.reevaluate(2) == []
    quorum.settle()
    assert one.reevaluate(3) == [stamp()]
