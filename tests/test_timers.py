"""Tags of timers, which are handed over with the jobs that they are about."""

import pytest

from robinhill.placement import exported_state, timers


def test_tags_are_parsed_back_and_are_those_of_older_versions() -> None:
    progress = timers.AttemptTimer(timers.AttemptCheck.PROGRESS, 12, 0)
    overdue = timers.AttemptTimer(timers.AttemptCheck.OVERDUE, 12, 3)
    assert (progress.tag, overdue.tag) == ("look 12 0", "overdue 12 3")
    assert timers.parse(progress.tag) == progress and timers.parse(overdue.tag) == overdue


@pytest.mark.parametrize(
    "tag", [timers.QUEUE_CHECK, timers.LIST_POLL, "", "look", "look 1", "later 1 2", "look 1 2 3"]
)
def test_a_tag_that_is_about_no_attempt_is_ignored(tag: str) -> None:
    assert timers.parse(tag) is None and not exported_state.is_timer_of_job(tag, 1)


def test_a_timer_belongs_to_its_job_alone() -> None:
    assert exported_state.is_timer_of_job("look 1 2", 1) and exported_state.is_timer_of_job("overdue 1 0", 1)
    assert not exported_state.is_timer_of_job("look 11 1", 1) and not exported_state.is_timer_of_job(
        "look 2 1", 1
    )
