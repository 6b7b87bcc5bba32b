"""Until when a list may be sent by: from discovery's word on it, whatever began, stopped or moved since."""

import random

import pytest

from robinhill import api
from robinhill.placement import watch_schedule
from robinhill.placement.list_lease import MOVED_US, ListLease, ListOrigin
from robinhill.placement.stall_detector import BEAT_US, STALL_US, StallDetector
from robinhill.placement.watch_schedule import AGAIN_US, CALL_US, TOLD_US, Pace

from .conftest import MS, Node, S, only, sent_to, settings

HEARD = 100 * S


def lease() -> ListLease:
    """One that discovery renewed at HEARD."""
    made = ListLease()
    made.confirmed(HEARD, 41)
    return made


def test_a_configured_list_is_never_leased_however_new_the_process_is() -> None:
    made = ListLease(version=41)
    assert not made.held(0) and not made.held(HEARD)
    made.unreachable(HEARD, HEARD)  # an outage at the start says nothing of what came before it
    assert not made.held(HEARD)
    made.confirmed(HEARD, 41)
    assert made.held(HEARD) and made.origin is ListOrigin.DISCOVERY


def test_the_lease_ends_when_what_was_missed_counts_as_told() -> None:
    assert lease().held(HEARD + TOLD_US - 1) and not lease().held(HEARD + TOLD_US)


def test_the_lease_lasts_from_one_word_of_a_watch_to_the_next_however_often_schedulers_ask() -> None:
    for ask_every_us in (S, 2 * S, 4 * S, 10 * S):
        made = ListLease.by_settings(settings(must_subscribe=True, ask_every_us=ask_every_us), 41)
        assert not made.held(HEARD)
        made.confirmed(HEARD, 41)
        assert made.held(HEARD + watch_schedule.WORD_US) and not made.held(HEARD + TOLD_US)


def test_a_handed_over_list_is_as_old_as_it_was_there() -> None:
    made = ListLease()
    made.handed_over(41, 198 * S, 204 * S)
    assert made.age_us(200 * S) == 2 * S
    assert made.held(204 * S - 1) and not made.held(204 * S)
    made.handed_over(41, None, 0)  # by a process that had none from discovery, or of old
    assert not made.held(200 * S)


def test_an_outage_lengthens_the_lease_of_who_was_up_to_date_and_of_nobody_else() -> None:
    made = lease()
    made.unreachable(HEARD + 5 * S, HEARD + 5 * S)
    assert made.held(HEARD + 11 * S - 1) and not made.held(HEARD + 11 * S)
    late = lease()
    late.unreachable(HEARD + TOLD_US, HEARD + TOLD_US)
    assert not late.held(HEARD + TOLD_US)


def test_orders_to_move_in_a_row_lengthen_nothing() -> None:
    made = lease()
    for second in range(1, 10):
        made.moved(HEARD + second * S)
    assert made.held(HEARD + S + MOVED_US - 1) and not made.held(HEARD + S + MOVED_US)


def test_a_last_word_of_the_address_before_does_not_undo_a_move() -> None:
    made = lease()
    made.moved(HEARD + S)
    made.confirmed(HEARD + S - 1, 42)
    assert not made.held(HEARD + S + MOVED_US)
    made.confirmed(HEARD + 2 * S, 7)  # the new one's
    assert made.held(HEARD + 2 * S + TOLD_US - 1)


def test_orders_to_move_while_no_address_can_be_reached_end_nothing() -> None:
    made, now = lease(), HEARD
    for _ in range(5):
        now += 3 * S
        made.moved(now)
        made.unreachable(now, now)
        assert made.held(now)
    made.moved(now + 3 * S)
    assert not made.held(now + MOVED_US)


# With the pace of calls, through outages


@pytest.mark.parametrize(
    "lasts_us",
    [MS, S, 2 * S, 3 * S, CALL_US],
    ids=["refused", "never comes up", "503 after 2 s", "503 after 3 s", "never answered"],
)
@pytest.mark.parametrize("fleet_size", [1, 6, 200])
def test_a_process_that_was_up_to_date_serves_through_an_outage(lasts_us: int, fleet_size: int) -> None:
    """Two minutes without discovery: the lease lapses shortly, while the first call may be answered."""
    for seed in range(5):
        pace, made = Pace(False, random.Random(seed), fleet_size), lease()
        pace.called(HEARD - S)
        pace.heard(HEARD)
        now = HEARD + S  # the watch ends
        now += pace.lost(now)
        lapses: list[int] = []
        while now < HEARD + 120 * S:
            pace.called(now)
            now += lasts_us
            lapses += [lapsed] if (lapsed := now - made.until_us) > 0 else []
            wait_us = pace.lost(now, answered=False)
            assert pace.away_us is not None
            made.unreachable(pace.called_us, pace.away_us)
            assert made.held(now)
            now += wait_us
        assert len(lapses) <= 2 and max(lapses, default=0) <= 750 * MS


def test_where_discovery_answers_and_no_whole_word_comes_the_lease_ends() -> None:
    """It can be reached: a change that it had counts, though nobody here has heard of it."""
    pace, made = Pace(False, random.Random(1), 200), lease()
    pace.called(HEARD - S)
    pace.heard(HEARD)
    now = HEARD + S
    while now < HEARD + 20 * S:
        now += pace.lost(now, answered=True)
        assert pace.away_us is None
        pace.called(now)
        now += CALL_US
    assert not made.held(HEARD + TOLD_US)


def test_an_agent_that_is_silent_or_refuses_has_learned_nothing() -> None:
    pace = Pace(True, random.Random(1), 200)
    pace.called(HEARD)
    pace.lost(HEARD + MS, answered=False)
    assert pace.away_us == HEARD
    pace.called(HEARD + S)
    pace.lost(HEARD + S + CALL_US, answered=True)
    assert pace.away_us == HEARD + S + CALL_US - watch_schedule.UNANSWERED_US
    assert pace.away_us + TOLD_US >= HEARD + S + 2 * CALL_US + AGAIN_US


# The module without the lease


def test_without_the_lease_jobs_are_held_and_refused_when_they_are_worth_nothing_any_more() -> None:
    node = Node()
    node.do(api.ListLeased(False))
    assert not only(node.ask(), api.Send)
    assert not only(node.listed(api.ListKind.CHANGES, api.Worker("w9")), api.Send)
    (refusal,) = only(node.do(api.TimerFired("held"), 5 * S), api.Refuse)
    assert refusal.job == 1 and refusal.why is api.RefusalReason.NO_WORKER


def test_with_the_lease_what_was_held_goes_out_by_the_new_list() -> None:
    node = Node(workers=2)
    node.do(api.ListLeased(False))
    node.ask()
    gone = api.Worker("w0", state=api.WorkerState.GONE)
    assert not only(node.listed(api.ListKind.CHANGES, gone), api.Send)
    assert sent_to(node.do(api.ListLeased(True))) == "w1"


def test_an_attempt_that_was_not_written_for_want_of_the_lease_speaks_against_no_worker() -> None:
    node = Node(workers=2)
    worker = sent_to(node.ask())
    node.do(api.ListLeased(False))
    assert not only(node.end(1, api.Outcome.CONNECT_FAILED, MS), api.Send)
    assert not node.balancer.avoided(node.now)
    (send,) = only(node.do(api.ListLeased(True)), api.Send)
    assert send.job == 1 and worker in ("w0", "w1")


def test_a_start_ahead_of_our_clock_paces_a_worker_for_its_time_and_no_longer() -> None:
    node = Node(workers=2)
    hour = 3600 * S
    node.listed(api.ListKind.CHANGES, api.Worker("w2", started_us=node.now + hour))
    record = node.balancer.workers["w2"]
    assert record.slow_start_until_us == node.now + node.balancer.settings.cold_us
    until = record.slow_start_until_us
    node.now += S
    node.listed(api.ListKind.CHANGES, api.Worker("w2", started_us=node.now - S + hour, weight=2.0))
    assert record.slow_start_until_us == until  # told again, it did not start again


# Stalls


def test_a_beat_that_is_late_by_more_than_drains_allow_is_a_stall() -> None:
    stalls = StallDetector(HEARD)
    assert not stalls.stalled(HEARD + BEAT_US + STALL_US)
    assert stalls.stalled(HEARD + BEAT_US + STALL_US + 1)
    stalls.beat(HEARD + S)
    assert not stalls.stalled(HEARD + S + BEAT_US)
    assert BEAT_US + STALL_US + 150 * MS < 500 * MS  # what is not noticed is within the grace of drains
