"""The queue of jobs that wait for a worker, by priority, and the time of its next check."""

from bisect import insort

from robinhill.placement.records import JobRecord


def _sort_key(job: JobRecord) -> tuple[float, int]:
    return job.order, job.request.job


class JobQueue:
    """Holds the queued jobs, sorted by ``JobRecord.order``, lowest first; jobs of equal order by arrival."""

    def __init__(self) -> None:
        self.jobs: list[JobRecord] = []
        self._next_check_us = 0

    def add(self, job: JobRecord) -> None:
        """Insert a job at its position in the sort order."""
        insort(self.jobs, job, key=_sort_key)

    def sort(self) -> None:
        """Sort the queue again after the ``order`` attribute of some jobs has changed."""
        self.jobs.sort(key=_sort_key)

    def take_all(self) -> list[JobRecord]:
        """Empty the queue; return its jobs in order."""
        jobs, self.jobs = self.jobs, []
        return jobs

    def next_check_us(self, now: int, until_us: int, tick_us: int) -> int:
        """Return the delay of the timer that the caller must set for the next check of the queue (us).

        The check is due at ``until_us`` or ``tick_us`` after ``now``, whichever is sooner. The result is 0 if
        no new timer is needed, because the timer for which an earlier call returned a delay expires between
        ``now`` and the time at which the check is due.
        """
        due = max(now + 1, min(until_us, now + tick_us))
        if now < self._next_check_us <= due:
            return 0
        self._next_check_us = due
        return due - now
