"""The jobs that wait for a worker, in order, and the timer at which they are looked at."""

from bisect import insort

from robinhill.placement.records import JobRecord


def _place(job: JobRecord) -> tuple[float, int]:
    return job.order, job.request.job


class JobQueue:
    """Jobs of the lowest ``order`` first; those that came first where it is equal."""

    def __init__(self) -> None:
        self.jobs: list[JobRecord] = []
        self._timer_us = 0  # when they are looked at next

    def add(self, job: JobRecord) -> None:
        """Hold a job."""
        insort(self.jobs, job, key=_place)

    def sort(self) -> None:
        """The order of some has changed."""
        self.jobs.sort(key=_place)

    def take_all(self) -> list[JobRecord]:
        """All of them; none is queued from now on."""
        jobs, self.jobs = self.jobs, []
        return jobs

    def next_check_us(self, now: int, until_us: int, tick_us: int) -> int:
        """How long to the timer still to be set, to look by ``until_us`` and every ``tick_us``; or 0."""
        due = max(now + 1, min(until_us, now + tick_us))
        if now < self._timer_us <= due:
            return 0
        self._timer_us = due
        return due - now
