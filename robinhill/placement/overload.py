"""Overload control: concurrency limits of workers, and the share of requests that is rejected at once.

Both follow what own jobs wait at workers: a limit grows by one while jobs start at once and falls when they
wait (AIMD), and load is shed while waits exceed the latency objective.
"""

from robinhill.placement.decision_state import DecisionState
from robinhill.placement.records import Attempt, JobRecord, WorkerRecord

MAX_SHED_SHARE = 0.8
SHED_STEP = 1 / 16
LIMIT_DECREASE = 0.7
SLOW_LIMIT_INCREASE = 0.15  # below one job at a time


class Overload:
    """Adapts to waits of own jobs."""

    def __init__(self, state: DecisionState) -> None:
        self.state = state
        self.shed_share = 0.0  # of requests, weighted by priority

    def sheds(self, priority_weight: float) -> bool:
        """Whether a request of this weight for its work is rejected at once, by chance under overload."""
        if not self.shed_share:
            return False
        state = self.state
        threshold = self.shed_share * state.estimates.mean_priority_weight
        return state.random.random() * priority_weight < threshold

    def adapt(self, now: int, attempt: Attempt, waited_us: float, delay_us: float) -> None:
        """Count an own job's wait; ``delay_us``: with the network's part."""
        worker, objective_us = attempt.worker, attempt.job.klass.latency_objective_us
        step = ((waited_us > objective_us) - 0.5) * SHED_STEP
        self.shed_share = min(MAX_SHED_SHARE, max(0.0, self.shed_share + step))
        worker.zone.add(now, min(objective_us, max(0.0, delay_us)), self.state.settings.slow_start_us)
        if waited_us >= objective_us / 4:
            self._lower_limit(worker, attempt.in_flight_at_send)
        elif attempt.in_flight_at_send + 1 >= worker.concurrency_limit - 0.5:
            self._raise_limit(worker)

    def _lower_limit(self, worker: WorkerRecord, in_flight_at_send: int) -> None:
        lowered = in_flight_at_send or LIMIT_DECREASE * worker.concurrency_limit
        lowered = min(worker.concurrency_limit, lowered)
        worker.concurrency_limit = max(self.state.derived.min_concurrency_limit, lowered)

    @staticmethod
    def _raise_limit(worker: WorkerRecord) -> None:
        if worker.concurrency_limit >= 1:
            worker.concurrency_limit += 1.0
        else:
            worker.concurrency_limit = min(1.0, worker.concurrency_limit + SLOW_LIMIT_INCREASE)

    @staticmethod
    def pause_after_attempt(now: int, worker: WorkerRecord) -> None:
        """A worker with a limit below one job gets a pause after each."""
        pause = (1 / worker.concurrency_limit - 1) * worker.job_time_us
        worker.backoff_until_us = now + int(pause)

    @staticmethod
    def lower_priority_if_late(now: int, job: JobRecord) -> bool:
        """A queued job that can no longer meet its objective weighs less; whether its order has changed."""
        if now <= job.latest_start_us:
            return False
        job.latest_start_us = job.client_deadline_us
        job.order *= job.klass.late_priority_weight or 1.0
        return True
