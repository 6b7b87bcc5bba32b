"""An observer's lease, and the voter's replies that renew it."""

from robinhill.control.lease import MAX_UNANSWERED_HEARTBEATS, ObserverLease
from robinhill.mesh.freshness import NEVER, RATE_ALLOWANCE

SECOND = 1_000_000


def lease() -> ObserverLease:
    found = ObserverLease(4 * SECOND)
    found.start_counting()
    return found


def test_there_is_no_lease_before_a_reply() -> None:
    fresh = lease()
    assert not fresh.is_valid(0) and fresh.age_us(0) is None and fresh.until_us() == NEVER
    fresh.heartbeat_sent(0)
    assert not fresh.is_valid(0)


def test_the_lease_counts_from_the_writing_of_the_heartbeat() -> None:
    fresh = lease()
    number = fresh.heartbeat_sent(10 * SECOND)
    assert fresh.reply_received(number, 2 * SECOND)
    allowance = 2 * SECOND // RATE_ALLOWANCE
    assert fresh.as_of_us == 8 * SECOND - allowance
    assert fresh.is_valid(12 * SECOND - allowance) and not fresh.is_valid(12 * SECOND - allowance + 1)
    assert fresh.until_us() == 12 * SECOND - allowance


def test_a_reply_without_a_majority_renews_nothing() -> None:
    fresh = lease()
    assert not fresh.reply_received(fresh.heartbeat_sent(0), -1)
    assert not fresh.is_valid(0)


def test_unknown_and_duplicate_replies_are_ignored() -> None:
    fresh = lease()
    number = fresh.heartbeat_sent(0)
    assert not fresh.reply_received(number + 1, 0)
    assert fresh.reply_received(number, 0)
    fresh.as_of_us = None
    assert not fresh.reply_received(number, 0)


def test_the_moment_never_goes_back() -> None:
    fresh = lease()
    fresh.reply_received(fresh.heartbeat_sent(SECOND), 0)
    assert not fresh.reply_received(fresh.heartbeat_sent(2 * SECOND), 3 * SECOND)
    assert fresh.as_of_us == SECOND


def test_replies_count_only_while_synchronized() -> None:
    fresh = lease()
    before = fresh.heartbeat_sent(0)
    fresh.reset()
    fresh.start_counting()
    assert not fresh.reply_received(before, 0)
    fresh.reset()
    during = fresh.heartbeat_sent(SECOND)
    assert not fresh.reply_received(during, 0)
    fresh.start_counting()
    assert not fresh.reply_received(during, 0)
    assert fresh.reply_received(fresh.heartbeat_sent(2 * SECOND), 0)


def test_unanswered_heartbeats_are_bounded() -> None:
    fresh = lease()
    first = fresh.heartbeat_sent(0)
    for at in range(MAX_UNANSWERED_HEARTBEATS):
        fresh.heartbeat_sent(at)
    assert not fresh.reply_received(first, 0)
