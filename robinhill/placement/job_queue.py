"""The jobs that wait for a worker, in order of priority, and the time of the next check of them."""

from bisect import insort

from robinhill.placement.records import JobRecord


def _sort_key(job: JobRecord) -> tuple[float, int]:
    return job.order, job.request.job


class JobQueue:
    """Jobs of the lowest ``order`` first, then those that arrived first."""

    def __init__(self) -> None:
        self.jobs: list[JobRecord] = []
        self._next_check_us = 0

    def add(self, job: JobRecord) -> None:
        """Insert a job at its place."""
        insort(self.jobs, job, key=_sort_key)

    def sort(self) -> None:
        """Restore the order after ``order`` of some jobs has changed."""
        self.jobs.sort(key=_sort_key)

    def take_all(self) -> list[JobRecord]:
        """Empty the queue; return its jobs in order."""
        jobs, self.jobs = self.jobs, []
        return jobs

    def next_check_us(self, now: int, until_us: int, tick_us: int) -> int:
        """How long to the next check if a timer must be set for it, else 0.

        Checks are due by ``until_us`` and after each ``tick_us``, whichever is sooner.
        """
        due = max(now + 1, min(until_us, now + tick_us))
        if now < self._next_check_us <= due:
            return 0
        self._next_check_us = due
        return due - now
