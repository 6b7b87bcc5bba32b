"""Overload control: concurrency limits of workers, and load shedding.

Both follow the times that this scheduler's own jobs wait at workers. A worker's limit grows by one while jobs
start without a wait and falls when they wait (AIMD, additive increase and multiplicative decrease). Load is
shed, which means that arriving requests are rejected, while waits exceed the latency objective.
"""

from robinhill.placement.decision_state import DecisionState
from robinhill.placement.records import Attempt, JobRecord, WorkerRecord

MAX_SHED_SHARE = 0.8
SHED_STEP = 1 / 16
LIMIT_DECREASE = 0.7
SLOW_LIMIT_INCREASE = 0.15  # increase of a concurrency limit that is below 1; others increase by 1


class OverloadControl:
    """Adapts concurrency limits and the shed share to the waits of own jobs."""

    def __init__(self, state: DecisionState) -> None:
        self.state = state
        self.shed_share = 0.0  # share of the requests, weighted by priority, that is rejected on arrival

    def sheds(self, priority_weight: float) -> bool:
        """Whether to reject an arriving request.

        The decision is random: the higher the priority weight of the request, the less likely a rejection.
        """
        if not self.shed_share:
            return False
        state = self.state
        threshold = self.shed_share * state.estimates.mean_priority_weight
        return state.random.random() * priority_weight < threshold

    def adapt(self, now: int, attempt: Attempt, waited_us: float, delay_us: float) -> None:
        """Adapt the shed share, the worker's limit and the waits of its zone to an own job's wait.

        ``waited_us``: time that the job waited at its worker; infinite if the worker was full or the answer
        was late. ``delay_us``: the wait, plus the network delay if the worker reports starts.
        """
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
        """Pause sends to a worker whose concurrency limit is below 1, after an attempt there has ended.

        The pause is so long that the worker's mean number of own jobs in flight equals the limit.
        """
        pause = (1 / worker.concurrency_limit - 1) * worker.job_time_us
        worker.backoff_until_us = now + int(pause)

    @staticmethod
    def lower_priority_if_late(now: int, job: JobRecord) -> bool:
        """Lower the priority of a queued job that can no longer meet its latency objective.

        The priority is multiplied by the class's ``late_priority_weight``, unless that is 0. Returns False,
        and changes nothing, if the job can still meet its objective or an earlier call has found it late.
        """
        if now <= job.latest_start_us:
            return False
        job.latest_start_us = job.client_deadline_us
        job.order *= job.klass.late_priority_weight or 1.0
        return True
