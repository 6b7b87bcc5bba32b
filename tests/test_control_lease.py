"""An observer's lease: renewal by heartbeat replies, and expiry at the bound."""

from robinhill.control.lease import MAX_UNANSWERED_HEARTBEATS, ObserverLease
from robinhill.mesh.freshness import NEVER, RATE_ALLOWANCE

SECOND_US = 1_000_000


def synchronized_lease() -> ObserverLease:
    lease = ObserverLease(4 * SECOND_US)
    lease.accept_replies()
    return lease


def test_lease_is_invalid_before_the_first_reply() -> None:
    lease = synchronized_lease()
    assert not lease.is_valid(0) and lease.age_us(0) is None and lease.until_us() == NEVER
    lease.heartbeat_sent(0)
    assert not lease.is_valid(0)


def test_lease_as_of_is_the_heartbeat_write_time_less_the_reported_age() -> None:
    lease = synchronized_lease()
    number = lease.heartbeat_sent(10 * SECOND_US)
    assert lease.reply_received(number, 2 * SECOND_US)
    allowance = 2 * SECOND_US // RATE_ALLOWANCE
    assert lease.as_of_us == 8 * SECOND_US - allowance
    assert lease.is_valid(12 * SECOND_US - allowance) and not lease.is_valid(12 * SECOND_US - allowance + 1)
    assert lease.until_us() == 12 * SECOND_US - allowance


def test_reply_of_a_voter_that_knows_no_majority_does_not_renew_the_lease() -> None:
    lease = synchronized_lease()
    assert not lease.reply_received(lease.heartbeat_sent(0), -1)
    assert not lease.is_valid(0)


def test_replies_with_unknown_or_duplicate_numbers_are_ignored() -> None:
    lease = synchronized_lease()
    number = lease.heartbeat_sent(0)
    assert not lease.reply_received(number + 1, 0)
    assert lease.reply_received(number, 0)
    lease.as_of_us = None
    assert not lease.reply_received(number, 0)


def test_reply_with_an_older_state_does_not_move_the_lease_back() -> None:
    lease = synchronized_lease()
    lease.reply_received(lease.heartbeat_sent(SECOND_US), 0)
    assert not lease.reply_received(lease.heartbeat_sent(2 * SECOND_US), 3 * SECOND_US)
    assert lease.as_of_us == SECOND_US


def test_replies_to_heartbeats_sent_before_synchronization_are_ignored() -> None:
    lease = synchronized_lease()
    earlier = lease.heartbeat_sent(0)
    lease.reset()
    lease.accept_replies()
    assert not lease.reply_received(earlier, 0)
    lease.reset()
    unsynchronized = lease.heartbeat_sent(SECOND_US)
    assert not lease.reply_received(unsynchronized, 0)
    lease.accept_replies()
    assert not lease.reply_received(unsynchronized, 0)
    assert lease.reply_received(lease.heartbeat_sent(2 * SECOND_US), 0)


def test_reply_to_a_heartbeat_beyond_the_in_flight_limit_is_ignored() -> None:
    lease = synchronized_lease()
    first = lease.heartbeat_sent(0)
    for at in range(MAX_UNANSWERED_HEARTBEATS):
        lease.heartbeat_sent(at)
    assert not lease.reply_received(first, 0)
