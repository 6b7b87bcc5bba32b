"""The order of the job queue, and the timer for its next check."""

from robinhill import api
from robinhill.placement.job_queue import JobQueue
from robinhill.placement.records import JobRecord

from .conftest import klass


def job(number: int, order: float) -> JobRecord:
    return JobRecord(api.Request(number, 0, 1000), klass(), order=order)


def test_jobs_are_ordered_by_priority_weight_then_arrival() -> None:
    queue = JobQueue()
    for number, order in ((3, -1.0), (1, -1.0), (2, -5.0), (4, -0.5)):
        queue.add(job(number, order))
    assert [x.request.job for x in queue.jobs] == [2, 1, 3, 4]
    queue.jobs[0].order = -0.1
    queue.sort()
    assert [x.request.job for x in queue.take_all()] == [1, 3, 4, 2] and not queue.jobs


def test_a_job_that_was_exported_and_imported_again_may_be_queued_twice() -> None:
    """Records have no order of their own: equal sort keys must not lead to a comparison."""
    queue = JobQueue()
    for _ in range(2):
        queue.add(job(1, -1.0))
    assert len(queue.jobs) == 2


def test_one_timer_is_set_for_the_nearer_of_the_deadline_and_the_next_check() -> None:
    queue = JobQueue()
    assert queue.next_check_us(1000, until_us=9000, tick_us=500) == 500
    assert queue.next_check_us(1100, until_us=9000, tick_us=500) == 0, "one is set for a nearer moment"
    assert queue.next_check_us(1100, until_us=1200, tick_us=500) == 100
    assert queue.next_check_us(1200, until_us=1100, tick_us=500) == 1, "what is due is looked at next"
