"""The jobs that wait for a worker."""

from robinhill import api
from robinhill.placement.job_queue import HeldJobs
from robinhill.placement.records import JobRecord

from .conftest import klass


def job(number: int, order: float) -> JobRecord:
    return JobRecord(api.Request(number, 0, 1000), klass(), order=order)


def test_the_most_worth_goes_first_and_of_equal_worth_the_first_come() -> None:
    held = HeldJobs()
    for number, order in ((3, -1.0), (1, -1.0), (2, -5.0), (4, -0.5)):
        held.add(job(number, order))
    assert [x.request.job for x in held.jobs] == [2, 1, 3, 4]
    held.jobs[0].order = -0.1
    held.sort()
    assert [x.request.job for x in held.take()] == [1, 3, 4, 2] and not held.jobs


def test_a_job_that_was_let_go_and_came_back_stands_beside_its_old_record() -> None:
    """Records were compared where order and number are equal, which failed."""
    held = HeldJobs()
    for _ in range(2):
        held.add(job(1, -1.0))
    assert len(held.jobs) == 2


def test_one_timer_is_set_for_the_nearer_of_the_end_and_the_next_look() -> None:
    held = HeldJobs()
    assert held.timer_us(1000, until_us=9000, tick_us=500) == 500
    assert held.timer_us(1100, until_us=9000, tick_us=500) == 0, "one is set for a nearer moment"
    assert held.timer_us(1100, until_us=1200, tick_us=500) == 100
    assert held.timer_us(1200, until_us=1100, tick_us=500) == 1, "what is due is looked at next"
