"""The sort order of the job queue, and the timer for its next check."""

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


def test_queue_accepts_a_job_twice_after_export_and_import() -> None:
    """Job records define no order, so inserting two with equal sort keys must not compare the records."""
    queue = JobQueue()
    for _ in range(2):
        queue.add(job(1, -1.0))
    assert len(queue.jobs) == 2


def test_next_check_timer_is_set_for_the_earlier_of_deadline_and_tick() -> None:
    queue = JobQueue()
    assert queue.next_check_us(1000, until_us=9000, tick_us=500) == 500
    assert queue.next_check_us(1100, until_us=9000, tick_us=500) == 0, "an earlier timer is already set"
    assert queue.next_check_us(1100, until_us=1200, tick_us=500) == 100
    assert queue.next_check_us(1200, until_us=1100, tick_us=500) == 1, "an overdue check is due at once"
