"""Validity of the lease on the endpoint list through outages, changes of address and stalls."""

import random

import pytest

from robinhill import api
from robinhill.placement import watch_schedule
from robinhill.placement.list_lease import ADDRESS_CHANGE_BOUND_US, ListLease, ListOrigin
from robinhill.placement.stall_detector import HEARTBEAT_INTERVAL_US, MAX_HEARTBEAT_DELAY_US, StallDetector
from robinhill.placement.watch_schedule import (
    CALL_TIMEOUT_US,
    LIST_CHANGE_BOUND_US,
    MIN_SPREAD_US,
    WatchSchedule,
)

from .conftest import MS, Node, S, of_type, sent_to, settings

RENEWED_US = 100 * S


def renewed_lease() -> ListLease:
    """A lease that discovery renewed at ``RENEWED_US``."""
    lease = ListLease()
    lease.renew(RENEWED_US, 41)
    return lease


def test_configured_list_has_no_lease_before_the_first_renewal() -> None:
    lease = ListLease(version=41)
    assert not lease.is_valid(0) and not lease.is_valid(RENEWED_US)
    lease.record_unreachable(RENEWED_US, RENEWED_US)  # changes from before the outage may be in effect
    assert not lease.is_valid(RENEWED_US)
    lease.renew(RENEWED_US, 41)
    assert lease.is_valid(RENEWED_US) and lease.origin is ListOrigin.DISCOVERY


def test_lease_expires_when_a_missed_change_takes_effect() -> None:
    assert renewed_lease().is_valid(RENEWED_US + LIST_CHANGE_BOUND_US - 1) and not renewed_lease().is_valid(
        RENEWED_US + LIST_CHANGE_BOUND_US
    )


def test_lease_lasts_between_watch_messages_for_any_poll_interval() -> None:
    for poll_interval_us in (S, 2 * S, 4 * S, 10 * S):
        lease = ListLease.from_settings(settings(must_subscribe=True, poll_interval_us=poll_interval_us), 41)
        assert not lease.is_valid(RENEWED_US)
        lease.renew(RENEWED_US, 41)
        assert lease.is_valid(RENEWED_US + watch_schedule.WATCH_SILENCE_TIMEOUT_US) and not lease.is_valid(
            RENEWED_US + LIST_CHANGE_BOUND_US
        )


def test_inherited_list_keeps_its_age_and_lease() -> None:
    lease = ListLease()
    lease.inherit(41, 198 * S, 204 * S)
    assert lease.age_us(200 * S) == 2 * S
    assert lease.is_valid(204 * S - 1) and not lease.is_valid(204 * S)
    lease.inherit(41, None, 0)  # the predecessor has no list from discovery, or runs an older version
    assert not lease.is_valid(200 * S)


def test_outage_extends_a_valid_lease_but_not_an_expired_one() -> None:
    lease = renewed_lease()
    lease.record_unreachable(RENEWED_US + 5 * S, RENEWED_US + 5 * S)
    assert lease.is_valid(RENEWED_US + 11 * S - 1) and not lease.is_valid(RENEWED_US + 11 * S)
    expired = renewed_lease()
    expired.record_unreachable(RENEWED_US + LIST_CHANGE_BOUND_US, RENEWED_US + LIST_CHANGE_BOUND_US)
    assert not expired.is_valid(RENEWED_US + LIST_CHANGE_BOUND_US)


def test_repeated_address_changes_do_not_extend_the_lease() -> None:
    lease = renewed_lease()
    for second in range(1, 10):
        lease.record_address_change(RENEWED_US + second * S)
    assert lease.is_valid(RENEWED_US + S + ADDRESS_CHANGE_BOUND_US - 1) and not lease.is_valid(
        RENEWED_US + S + ADDRESS_CHANGE_BOUND_US
    )


def test_message_from_the_previous_address_does_not_undo_an_address_change() -> None:
    lease = renewed_lease()
    lease.record_address_change(RENEWED_US + S)
    lease.renew(RENEWED_US + S - 1, 42)
    assert not lease.is_valid(RENEWED_US + S + ADDRESS_CHANGE_BOUND_US)
    lease.renew(RENEWED_US + 2 * S, 7)  # a message from the new address
    assert lease.is_valid(RENEWED_US + 2 * S + LIST_CHANGE_BOUND_US - 1)


def test_address_changes_while_discovery_is_unreachable_keep_the_lease_valid() -> None:
    lease, now = renewed_lease(), RENEWED_US
    for _ in range(5):
        now += 3 * S
        lease.record_address_change(now)
        lease.record_unreachable(now, now)
        assert lease.is_valid(now)
    lease.record_address_change(now + 3 * S)
    assert not lease.is_valid(now + ADDRESS_CHANGE_BOUND_US)


# The lease together with the schedule of calls, through outages of discovery


@pytest.mark.parametrize(
    "call_duration_us",
    [MS, S, 2 * S, 3 * S, CALL_TIMEOUT_US],
    ids=["refused", "not connected", "503 after 2 s", "503 after 3 s", "no response"],
)
@pytest.mark.parametrize("fleet_size", [1, 6, 200])
def test_up_to_date_process_keeps_its_lease_through_an_outage(call_duration_us: int, fleet_size: int) -> None:
    """In two minutes without discovery, the lease lapses only briefly, until the first call has ended."""
    for seed in range(5):
        schedule, lease = WatchSchedule(False, random.Random(seed), fleet_size), renewed_lease()
        schedule.record_call(RENEWED_US - S)
        schedule.record_received(RENEWED_US)
        now = RENEWED_US + S  # the watch ends
        now += schedule.record_lost(now)
        lapses: list[int] = []
        while now < RENEWED_US + 120 * S:
            schedule.record_call(now)
            now += call_duration_us
            lapses += [lapsed] if (lapsed := now - lease.until_us) > 0 else []
            wait_us = schedule.record_lost(now, answered=False)
            assert schedule.unreachable_us is not None
            lease.record_unreachable(schedule.called_us, schedule.unreachable_us)
            assert lease.is_valid(now)
            now += wait_us
        assert len(lapses) <= 2 and max(lapses, default=0) <= 750 * MS


def test_lease_expires_if_discovery_answers_without_a_complete_message() -> None:
    """Discovery is reachable, so its changes take effect though this scheduler has not received them."""
    schedule, lease = WatchSchedule(False, random.Random(1), 200), renewed_lease()
    schedule.record_call(RENEWED_US - S)
    schedule.record_received(RENEWED_US)
    now = RENEWED_US + S
    while now < RENEWED_US + 20 * S:
        now += schedule.record_lost(now, answered=True)
        assert schedule.unreachable_us is None
        schedule.record_call(now)
        now += CALL_TIMEOUT_US
    assert not lease.is_valid(RENEWED_US + LIST_CHANGE_BOUND_US)


def test_agent_that_refuses_or_times_out_counts_as_unreachable() -> None:
    schedule = WatchSchedule(True, random.Random(1), 200)
    schedule.record_call(RENEWED_US)
    schedule.record_lost(RENEWED_US + MS, answered=False)
    assert schedule.unreachable_us == RENEWED_US
    schedule.record_call(RENEWED_US + S)
    schedule.record_lost(RENEWED_US + S + CALL_TIMEOUT_US, answered=True)
    assert (
        schedule.unreachable_us == RENEWED_US + S + CALL_TIMEOUT_US - watch_schedule.UNANSWERED_CALL_OUTAGE_US
    )
    assert (
        schedule.unreachable_us + LIST_CHANGE_BOUND_US >= RENEWED_US + S + 2 * CALL_TIMEOUT_US + MIN_SPREAD_US
    )


# The decision module without a valid lease


def test_jobs_without_a_lease_are_queued_then_rejected_at_their_queue_deadline() -> None:
    node = Node()
    node.handle(api.ListLeaseChanged(False))
    assert not of_type(node.submit(), api.Send)
    assert not of_type(node.update_list(api.ListKind.CHANGES, api.Worker("w9")), api.Send)
    (rejection,) = of_type(node.handle(api.TimerFired("held"), 5 * S), api.Reject)
    assert rejection.job == 1 and rejection.why is api.RejectionReason.NO_WORKER


def test_queued_jobs_are_sent_by_the_current_list_when_the_lease_is_renewed() -> None:
    node = Node(workers=2)
    node.handle(api.ListLeaseChanged(False))
    node.submit()
    removed = api.Worker("w0", state=api.WorkerState.REMOVED)
    assert not of_type(node.update_list(api.ListKind.CHANGES, removed), api.Send)
    assert sent_to(node.handle(api.ListLeaseChanged(True))) == "w1"


def test_attempt_not_written_without_a_lease_does_not_count_against_its_worker() -> None:
    node = Node(workers=2)
    worker = sent_to(node.submit())
    node.handle(api.ListLeaseChanged(False))
    assert not of_type(node.end_attempt(1, api.Outcome.CONNECT_FAILED, MS), api.Send)
    assert not node.balancer.avoided_workers(node.now)
    (send,) = of_type(node.handle(api.ListLeaseChanged(True)), api.Send)
    assert send.job == 1 and worker in ("w0", "w1")


def test_start_time_in_the_future_causes_one_slow_start_of_normal_length() -> None:
    node = Node(workers=2)
    hour = 3600 * S
    node.update_list(api.ListKind.CHANGES, api.Worker("w2", started_us=node.now + hour))
    record = node.balancer.workers["w2"]
    assert record.slow_start_until_us == node.now + node.balancer.settings.slow_start_us
    until = record.slow_start_until_us
    node.now += S
    node.update_list(api.ListKind.CHANGES, api.Worker("w2", started_us=node.now - S + hour, weight=2.0))
    assert record.slow_start_until_us == until  # listed again with the same start time: no restart


# Stalls of the process


def test_heartbeat_delay_above_the_maximum_is_a_stall() -> None:
    stall_detector = StallDetector(RENEWED_US)
    assert not stall_detector.is_stalled(RENEWED_US + HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US)
    assert stall_detector.is_stalled(RENEWED_US + HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US + 1)
    stall_detector.record_heartbeat(RENEWED_US + S)
    assert not stall_detector.is_stalled(RENEWED_US + S + HEARTBEAT_INTERVAL_US)
    # A pause too short to be detected must fit into the 0.5 s grace period of drains.
    assert HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US + 150 * MS < 500 * MS
