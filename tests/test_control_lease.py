"""An observer's lease, and what a voter tells of it."""

from robinhill.control.lease import MAX_UNANSWERED_HEARTBEATS, ObserverLease
from robinhill.mesh.freshness import NEVER, RATE_ALLOWANCE

SECOND = 1_000_000


def lease() -> ObserverLease:
    found = ObserverLease(4 * SECOND)
    found.in_step()
    return found


def test_there_is_no_lease_before_an_answer() -> None:
    fresh = lease()
    assert not fresh.holds(0) and fresh.age_us(0) is None and fresh.until_us() == NEVER
    fresh.wrote(0)
    assert not fresh.holds(0)


def test_the_moment_is_reckoned_back_from_the_writing() -> None:
    fresh = lease()
    number = fresh.wrote(10 * SECOND)
    assert fresh.answered(number, 2 * SECOND)
    allowance = 2 * SECOND // RATE_ALLOWANCE
    assert fresh.as_of_us == 8 * SECOND - allowance
    assert fresh.holds(12 * SECOND - allowance) and not fresh.holds(12 * SECOND - allowance + 1)
    assert fresh.until_us() == 12 * SECOND - allowance


def test_an_answer_without_a_majority_renews_nothing() -> None:
    fresh = lease()
    assert not fresh.answered(fresh.wrote(0), -1)
    assert not fresh.holds(0)


def test_unknown_and_doubled_answers_count_for_nothing() -> None:
    fresh = lease()
    number = fresh.wrote(0)
    assert not fresh.answered(number + 1, 0)
    assert fresh.answered(number, 0)
    fresh.as_of_us = None
    assert not fresh.answered(number, 0)


def test_the_moment_never_goes_back() -> None:
    fresh = lease()
    fresh.answered(fresh.wrote(SECOND), 0)
    assert not fresh.answered(fresh.wrote(2 * SECOND), 3 * SECOND)
    assert fresh.as_of_us == SECOND


def test_answers_count_only_in_step() -> None:
    fresh = lease()
    before = fresh.wrote(0)
    fresh.moved()
    fresh.in_step()
    assert not fresh.answered(before, 0)
    fresh.moved()
    during = fresh.wrote(SECOND)
    assert not fresh.answered(during, 0)
    fresh.in_step()
    assert not fresh.answered(during, 0)
    assert fresh.answered(fresh.wrote(2 * SECOND), 0)


def test_unanswered_heartbeats_are_bounded() -> None:
    fresh = lease()
    first = fresh.wrote(0)
    for at in range(MAX_UNANSWERED_HEARTBEATS):
        fresh.wrote(at)
    assert not fresh.answered(first, 0)
