"""Tags of timers, which are handed over to a successor process together with their jobs."""

import pytest

from robinhill.placement import exported_state, timers


def test_tags_round_trip_and_match_older_versions() -> None:
    progress = timers.AttemptTimer(timers.AttemptCheck.PROGRESS, 12, 0)
    overdue = timers.AttemptTimer(timers.AttemptCheck.OVERDUE, 12, 3)
    assert (progress.tag, overdue.tag) == ("look 12 0", "overdue 12 3")
    assert timers.parse(progress.tag) == progress and timers.parse(overdue.tag) == overdue


@pytest.mark.parametrize(
    "tag", [timers.QUEUE_CHECK, timers.LIST_POLL, "", "look", "look 1", "later 1 2", "look 1 2 3"]
)
def test_parse_ignores_a_tag_without_a_known_attempt_check(tag: str) -> None:
    assert timers.parse(tag) is None and not exported_state.is_timer_of_job(tag, 1)


def test_timer_belongs_only_to_the_job_in_its_tag() -> None:
    assert exported_state.is_timer_of_job("look 1 2", 1) and exported_state.is_timer_of_job("overdue 1 0", 1)
    assert not exported_state.is_timer_of_job("look 11 1", 1) and not exported_state.is_timer_of_job(
        "look 2 1", 1
    )
