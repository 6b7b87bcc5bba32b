"""Outlier detection: ejects failing workers, checks the health of unresponsive ones, detects lost answers.

Only jobs of this scheduler ("own" jobs) count as evidence about a worker. The ejection time doubles with each
consecutive ejection. No worker is ejected while half or more of all workers are ejected already.
"""

from math import inf

from robinhill import api
from robinhill.placement.decision_state import DecisionState
from robinhill.placement.records import Attempt, WorkerRecord

# An ejection lasts at most half the slow-start window, or at most this time if half the window is shorter.
MIN_MAX_EJECTION_US = 4_000_000
# After failed health checks, an ejection lasts as long as if at least this many ejections had preceded it.
SILENT_EJECTIONS = 3
MAX_FAILURE_SHARE = 0.4  # a worker with a higher share of fast failures is an outlier
# Consecutive failed health checks after which a worker is ejected; one is not enough, because a busy machine
# can miss a check during a pause.
HEALTH_CHECKS = 2


class OutlierDetector:
    """Ejects workers because of failures of own jobs and failed health checks."""

    def __init__(self, state: DecisionState) -> None:
        self.state = state

    def record_failure(self, now: int, attempt: Attempt, outcome: api.Outcome) -> None:
        """Count a failure of an attempt, and eject the worker if it is an outlier.

        It must not be called for a rejection by a full worker, nor for an attempt that timed out or was to be
        cancelled, unless the worker's answer is presumed lost. Without ejection, a worker that fails fast
        would look fast and attract more jobs.
        """
        state, worker = self.state, attempt.worker
        worker.add_failure(outcome is api.Outcome.ERROR)
        unreachable = outcome is api.Outcome.CONNECT_FAILED
        if unreachable and state.few_arrivals:
            # The failure counts as a wait of a whole latency objective, which raises the cost of the worker's
            # zone. Otherwise each worker of an unreachable zone would be tried in turn.
            worker.zone.add(now, attempt.job.klass.latency_objective_us, state.settings.slow_start_us)
        broken = unreachable or outcome is api.Outcome.RESET
        is_outlier = broken or worker.failure_share > MAX_FAILURE_SHARE or worker.consecutive_ejections
        if is_outlier and now >= worker.ejected_until_us:
            self.eject(now, worker, outcome.value)

    def eject(self, now: int, worker: WorkerRecord, reason: str) -> None:
        """Eject the worker for a time that doubles with each consecutive ejection, up to a maximum.

        Nothing happens if half or more of all workers are ejected already.
        """
        workers, settings = self.state.workers, self.state.settings
        ejected = sum(now < other.ejected_until_us < inf for other in workers.values())
        if 2 * ejected >= len(workers):
            return
        longest_us = max(settings.slow_start_us // 2, MIN_MAX_EJECTION_US)
        wait_us = min(longest_us, settings.connect_timeout_us << worker.consecutive_ejections)
        worker.consecutive_ejections += 1
        worker.ejected_until_us = max(worker.ejected_until_us, now + wait_us)
        text = f"{worker.entry.address} ejected for {wait_us // 1000} ms: {reason}"
        self.state.actions.append(api.Log(text))

    def suspect_lost_answers(self, now: int, attempt: Attempt) -> None:
        """Suspect the worker of an overdue attempt of losing answers, and check its health.

        A worker that has completed a job since the attempt last reported progress is not suspected.
        """
        worker = attempt.worker
        if worker.last_completion_us < attempt.last_progress_us:
            worker.suspected_until_us = now + self.state.settings.slow_start_us
            self.check_health(now, worker)

    def check_health(self, now: int, worker: WorkerRecord) -> None:
        """Start a health check of a worker that does not respond, if it has own attempts in flight.

        After failed checks, jobs that are safe to repeat move from the worker to others. Nothing happens if
        the worker is unlisted or being checked already, or if the settings allow no health checks or no
        cancels.
        """
        state = self.state
        listed = state.workers.get(worker.entry.address) is worker
        is_checked = bool(worker.health_check_since_us)
        if state.derived.can_check_health and listed and worker.in_flight and not is_checked:
            worker.health_check_since_us = now
            state.actions.append(api.CheckHealth(worker.entry.address))

    def on_health_check_ended(self, now: int, event: api.HealthCheckEnded) -> None:
        """Handle the result of a health check.

        After ``HEALTH_CHECKS`` failures the worker is ejected, and its jobs that are safe to repeat are
        cancelled so that other workers can run them: a machine that has crashed never reports their end. A
        check does not count as failed if the worker has responded to an own job since the checks began, or if
        it has no own attempts in flight.
        """
        state = self.state
        worker = state.workers.get(event.address)
        if worker is None or not worker.health_check_since_us:
            return
        worker.failed_health_checks += 1
        answered = worker.last_response_us >= worker.health_check_since_us
        alive = event.alive or answered or not worker.in_flight
        if not alive and worker.failed_health_checks < HEALTH_CHECKS:
            state.actions.append(api.CheckHealth(event.address))
            return
        worker.health_check_since_us = worker.failed_health_checks = 0
        if alive:
            return
        worker.consecutive_ejections = max(worker.consecutive_ejections, SILENT_EJECTIONS)
        self.eject(now, worker, "no response to health checks")
        self._cancel_safe_attempts(worker)

    def _cancel_safe_attempts(self, worker: WorkerRecord) -> None:
        state = self.state
        for key in sorted(worker.in_flight):
            attempt = state.attempts[key]
            safe = attempt.job.klass.repeat is api.Repeat.SAFE
            if safe and not attempt.cancel_requested and attempt.job.request.job in state.jobs:
                state.cancel(attempt)
