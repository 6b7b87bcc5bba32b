"""How long the lease on the endpoint list is valid, through outages, changes of address and stalls."""

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

from .conftest import MS, Node, S, only, sent_to, settings

HEARD = 100 * S


def lease() -> ListLease:
    """One that discovery renewed at HEARD."""
    made = ListLease()
    made.renew(HEARD, 41)
    return made


def test_a_configured_list_has_no_lease_however_new_the_process_is() -> None:
    made = ListLease(version=41)
    assert not made.is_valid(0) and not made.is_valid(HEARD)
    made.record_unreachable(HEARD, HEARD)  # an outage at the start says nothing of what came before it
    assert not made.is_valid(HEARD)
    made.renew(HEARD, 41)
    assert made.is_valid(HEARD) and made.origin is ListOrigin.DISCOVERY


def test_the_lease_ends_when_a_missed_change_is_in_force() -> None:
    assert lease().is_valid(HEARD + LIST_CHANGE_BOUND_US - 1) and not lease().is_valid(
        HEARD + LIST_CHANGE_BOUND_US
    )


def test_the_lease_lasts_from_one_watch_message_to_the_next_however_often_schedulers_poll() -> None:
    for poll_interval_us in (S, 2 * S, 4 * S, 10 * S):
        made = ListLease.from_settings(settings(must_subscribe=True, poll_interval_us=poll_interval_us), 41)
        assert not made.is_valid(HEARD)
        made.renew(HEARD, 41)
        assert made.is_valid(HEARD + watch_schedule.WATCH_SILENCE_TIMEOUT_US) and not made.is_valid(
            HEARD + LIST_CHANGE_BOUND_US
        )


def test_a_handed_over_list_is_as_old_as_it_was_there() -> None:
    made = ListLease()
    made.inherit(41, 198 * S, 204 * S)
    assert made.age_us(200 * S) == 2 * S
    assert made.is_valid(204 * S - 1) and not made.is_valid(204 * S)
    made.inherit(41, None, 0)  # by a process that had none from discovery, or of old
    assert not made.is_valid(200 * S)


def test_an_outage_extends_a_valid_lease_and_no_other() -> None:
    made = lease()
    made.record_unreachable(HEARD + 5 * S, HEARD + 5 * S)
    assert made.is_valid(HEARD + 11 * S - 1) and not made.is_valid(HEARD + 11 * S)
    late = lease()
    late.record_unreachable(HEARD + LIST_CHANGE_BOUND_US, HEARD + LIST_CHANGE_BOUND_US)
    assert not late.is_valid(HEARD + LIST_CHANGE_BOUND_US)


def test_repeated_changes_of_address_extend_nothing() -> None:
    made = lease()
    for second in range(1, 10):
        made.record_address_change(HEARD + second * S)
    assert made.is_valid(HEARD + S + ADDRESS_CHANGE_BOUND_US - 1) and not made.is_valid(
        HEARD + S + ADDRESS_CHANGE_BOUND_US
    )


def test_a_last_message_of_the_old_address_does_not_undo_a_change_of_address() -> None:
    made = lease()
    made.record_address_change(HEARD + S)
    made.renew(HEARD + S - 1, 42)
    assert not made.is_valid(HEARD + S + ADDRESS_CHANGE_BOUND_US)
    made.renew(HEARD + 2 * S, 7)  # the new one's
    assert made.is_valid(HEARD + 2 * S + LIST_CHANGE_BOUND_US - 1)


def test_changes_of_address_while_discovery_is_unreachable_end_no_lease() -> None:
    made, now = lease(), HEARD
    for _ in range(5):
        now += 3 * S
        made.record_address_change(now)
        made.record_unreachable(now, now)
        assert made.is_valid(now)
    made.record_address_change(now + 3 * S)
    assert not made.is_valid(now + ADDRESS_CHANGE_BOUND_US)


# With the schedule of calls, through outages


@pytest.mark.parametrize(
    "lasts_us",
    [MS, S, 2 * S, 3 * S, CALL_TIMEOUT_US],
    ids=["refused", "never comes up", "503 after 2 s", "503 after 3 s", "never answered"],
)
@pytest.mark.parametrize("fleet_size", [1, 6, 200])
def test_a_process_that_was_up_to_date_serves_through_an_outage(lasts_us: int, fleet_size: int) -> None:
    """Two minutes without discovery: the lease lapses shortly, while the first call may be answered."""
    for seed in range(5):
        schedule, made = WatchSchedule(False, random.Random(seed), fleet_size), lease()
        schedule.record_call(HEARD - S)
        schedule.record_received(HEARD)
        now = HEARD + S  # the watch ends
        now += schedule.record_lost(now)
        lapses: list[int] = []
        while now < HEARD + 120 * S:
            schedule.record_call(now)
            now += lasts_us
            lapses += [lapsed] if (lapsed := now - made.until_us) > 0 else []
            wait_us = schedule.record_lost(now, answered=False)
            assert schedule.unreachable_us is not None
            made.record_unreachable(schedule.called_us, schedule.unreachable_us)
            assert made.is_valid(now)
            now += wait_us
        assert len(lapses) <= 2 and max(lapses, default=0) <= 750 * MS


def test_the_lease_ends_where_discovery_answers_without_a_complete_message() -> None:
    """It can be reached: a change that it had counts, though nobody here has heard of it."""
    schedule, made = WatchSchedule(False, random.Random(1), 200), lease()
    schedule.record_call(HEARD - S)
    schedule.record_received(HEARD)
    now = HEARD + S
    while now < HEARD + 20 * S:
        now += schedule.record_lost(now, answered=True)
        assert schedule.unreachable_us is None
        schedule.record_call(now)
        now += CALL_TIMEOUT_US
    assert not made.is_valid(HEARD + LIST_CHANGE_BOUND_US)


def test_an_agent_that_is_silent_or_refuses_counts_as_unreachable() -> None:
    schedule = WatchSchedule(True, random.Random(1), 200)
    schedule.record_call(HEARD)
    schedule.record_lost(HEARD + MS, answered=False)
    assert schedule.unreachable_us == HEARD
    schedule.record_call(HEARD + S)
    schedule.record_lost(HEARD + S + CALL_TIMEOUT_US, answered=True)
    assert schedule.unreachable_us == HEARD + S + CALL_TIMEOUT_US - watch_schedule.UNANSWERED_CALL_OUTAGE_US
    assert schedule.unreachable_us + LIST_CHANGE_BOUND_US >= HEARD + S + 2 * CALL_TIMEOUT_US + MIN_SPREAD_US


# The module without the lease


def test_without_the_lease_jobs_are_queued_then_rejected_at_their_queue_deadline() -> None:
    node = Node()
    node.do(api.ListLeaseChanged(False))
    assert not only(node.ask(), api.Send)
    assert not only(node.listed(api.ListKind.CHANGES, api.Worker("w9")), api.Send)
    (refusal,) = only(node.do(api.TimerFired("held"), 5 * S), api.Reject)
    assert refusal.job == 1 and refusal.why is api.RejectionReason.NO_WORKER


def test_with_the_lease_queued_jobs_are_sent_by_the_new_list() -> None:
    node = Node(workers=2)
    node.do(api.ListLeaseChanged(False))
    node.ask()
    gone = api.Worker("w0", state=api.WorkerState.REMOVED)
    assert not only(node.listed(api.ListKind.CHANGES, gone), api.Send)
    assert sent_to(node.do(api.ListLeaseChanged(True))) == "w1"


def test_an_attempt_not_written_without_the_lease_is_no_fault_of_its_worker() -> None:
    node = Node(workers=2)
    worker = sent_to(node.ask())
    node.do(api.ListLeaseChanged(False))
    assert not only(node.end(1, api.Outcome.CONNECT_FAILED, MS), api.Send)
    assert not node.balancer.avoided(node.now)
    (send,) = only(node.do(api.ListLeaseChanged(True)), api.Send)
    assert send.job == 1 and worker in ("w0", "w1")


def test_a_start_ahead_of_our_clock_means_one_slow_start_and_no_longer() -> None:
    node = Node(workers=2)
    hour = 3600 * S
    node.listed(api.ListKind.CHANGES, api.Worker("w2", started_us=node.now + hour))
    record = node.balancer.workers["w2"]
    assert record.slow_start_until_us == node.now + node.balancer.settings.slow_start_us
    until = record.slow_start_until_us
    node.now += S
    node.listed(api.ListKind.CHANGES, api.Worker("w2", started_us=node.now - S + hour, weight=2.0))
    assert record.slow_start_until_us == until  # told again, it did not start again


# Stalls


def test_a_heartbeat_that_is_late_by_more_than_drains_allow_is_a_stall() -> None:
    stall_detector = StallDetector(HEARD)
    assert not stall_detector.is_stalled(HEARD + HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US)
    assert stall_detector.is_stalled(HEARD + HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US + 1)
    stall_detector.record_heartbeat(HEARD + S)
    assert not stall_detector.is_stalled(HEARD + S + HEARTBEAT_INTERVAL_US)
    assert (
        HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US + 150 * MS < 500 * MS
    )  # what is not noticed is within the grace of drains
