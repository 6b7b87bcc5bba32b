"""Evaluation of the outcome of an attempt: what it shows about the worker's speed, capacity and failures.

This module only decides which estimates, concurrency limits and ejections an outcome updates; other modules
hold them.
"""

from math import inf

from robinhill import api
from robinhill.placement.age_weights import AgeWeights
from robinhill.placement.decision_state import DecisionState
from robinhill.placement.outliers import OutlierDetector
from robinhill.placement.overload import OverloadControl
from robinhill.placement.records import Attempt
from robinhill.placement.retries import Retries


class OutcomeEvaluator:
    """Updates estimates, limits, failures and the retry budget from the outcome of each attempt."""

    def __init__(
        self,
        state: DecisionState,
        weights: AgeWeights,
        overload: OverloadControl,
        outliers: OutlierDetector,
        retries: Retries,
    ) -> None:
        self.state = state
        self.weights = weights
        self.overload = overload
        self.outliers = outliers
        self.retries = retries

    def evaluate(self, now: int, attempt: Attempt, outcome: api.Outcome, took_us: int) -> None:
        """Update the state of the worker and of the scheduler from an attempt that has ended."""
        state, worker = self.state, attempt.worker
        if not state.list_leased and outcome is api.Outcome.CONNECT_FAILED:
            return  # nothing was written to the worker because the lease on the endpoint list had expired
        connect_timeout_us = state.settings.connect_timeout_us
        if outcome in api.ANSWERED:
            worker.last_response_us = now
        elif worker.last_response_us < attempt.sent_us and took_us >= connect_timeout_us * 3 // 4:
            self.outliers.check_health(now, worker)
        if outcome is api.Outcome.COMPLETED:
            self._completed(now, attempt, took_us)
        elif not _is_inconclusive(attempt, outcome):
            self._failed(now, attempt, outcome, took_us)

    def _completed(self, now: int, attempt: Attempt, took_us: int) -> None:
        state, worker = self.state, attempt.worker
        request, klass = attempt.job.request, attempt.job.klass
        worker.add_success(now)
        self.retries.add_completion()
        if worker.ejected_until_us < inf:
            state.estimates.served.add(now, took_us, state.settings.slow_start_us)
        state.estimates.add_completion(now, worker, request, took_us)
        self.weights.update_worker(worker)
        if not state.settings.reports_start:
            waited_us = state.estimates.infer_wait(worker, request, took_us)
            objective_us = klass.latency_objective_us + klass.stretch * request.work_hint_us
            late = request.work_hint_us and took_us > objective_us
            self.overload.adapt(now, attempt, inf if late else waited_us, waited_us)

    def _failed(self, now: int, attempt: Attempt, outcome: api.Outcome, took_us: int) -> None:
        state, worker = self.state, attempt.worker
        late = outcome is api.Outcome.TIMEOUT or attempt.cancel_requested
        # A lost answer must not count as a sign of a slow or full worker, because load would then shift
        # away from a worker that may be neither.
        timeout_us = state.derived.progress_timeout_us
        lost = late and attempt.last_progress_us and 0 < timeout_us <= now - attempt.last_progress_us
        full = outcome is api.Outcome.FULL
        if full:
            job_class = attempt.job.request.job_class
            worker.class_backoff_until_us[job_class] = now + state.settings.slow_start_us
        elif not lost:
            slow_us = took_us if outcome is api.Outcome.TIMEOUT else 2 * worker.job_time_us
            state.estimates.add_job_time(now, worker, slow_us)
            self.weights.update_worker(worker)
        if full or (late and not lost):
            waited_us = took_us if attempt.cancel_requested else inf
            self.overload.adapt(now, attempt, waited_us, waited_us)
        else:
            self.outliers.record_failure(now, attempt, outcome)


def _is_inconclusive(attempt: Attempt, outcome: api.Outcome) -> bool:
    """Whether the outcome shows nothing about the worker.

    Returns True if the client caused the outcome, or if the attempt was sent before the worker was last
    readmitted after being ejected or unlisted.
    """
    cancelled = outcome in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT)
    by_client = cancelled and not attempt.cancel_requested
    return by_client or attempt.sent_us < attempt.worker.readmitted_us
