"""Outlier detection: ejection of workers that fail fast, health checks of silent ones, lost answers.

A worker is judged by own jobs alone. Ejections double in length while faults go on; no more than half of all
workers are ejected at a time.
"""

from math import inf

from robinhill import api
from robinhill.placement.decision_state import DecisionState
from robinhill.placement.records import Attempt, WorkerRecord

MIN_MAX_EJECTION_US = 4_000_000  # the longest ejection is this, or half the slow-start window if longer
SILENT_EJECTIONS = 3  # a worker that answers no health check is ejected as after so many ejections
MAX_FAILURE_SHARE = 0.4
HEALTH_CHECKS = 2  # one can be lost in a pause of a busy machine


class OutlierDetector:
    """Ejects workers by own failures and by health checks."""

    def __init__(self, state: DecisionState) -> None:
        self.state = state

    def record_failure(self, now: int, attempt: Attempt, outcome: api.Outcome) -> None:
        """An attempt failed fast, which must not look like speed."""
        state, worker = self.state, attempt.worker
        worker.add_failure(outcome is api.Outcome.ERROR)
        unreachable = outcome is api.Outcome.CONNECT_FAILED
        if unreachable and state.few_arrivals:  # else a lost zone would be tried worker by worker
            worker.zone.add(now, attempt.job.klass.latency_objective_us, state.settings.slow_start_us)
        broken = unreachable or outcome is api.Outcome.RESET
        is_outlier = broken or worker.failure_share > MAX_FAILURE_SHARE or worker.consecutive_ejections
        if is_outlier and now >= worker.ejected_until_us:
            self.eject(now, worker, outcome.value)

    def eject(self, now: int, worker: WorkerRecord, reason: str) -> None:
        """Send nothing to the worker for a while, unless half of all workers are ejected."""
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
        """A job is overdue: if none has completed there since it started, answers seem to be lost."""
        worker = attempt.worker
        if worker.last_completion_us < attempt.last_progress_us:
            worker.suspected_until_us = now + self.state.settings.slow_start_us
            self.check_health(now, worker)

    def check_health(self, now: int, worker: WorkerRecord) -> None:
        """Nothing came from this worker, not even a rejection: check it, if jobs there could be moved."""
        state = self.state
        listed = state.workers.get(worker.entry.address) is worker
        is_checked = bool(worker.health_check_since_us)
        if state.derived.can_check_health and listed and worker.in_flight and not is_checked:
            worker.health_check_since_us = now
            state.actions.append(api.CheckHealth(worker.entry.address))

    def on_health_check_ended(self, now: int, event: api.HealthCheckEnded) -> None:
        """A machine that vanished never ends the jobs it has: those safe to repeat are moved."""
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
        self.eject(now, worker, "silent")
        self._cancel_safe_attempts(worker)

    def _cancel_safe_attempts(self, worker: WorkerRecord) -> None:
        state = self.state
        for key in sorted(worker.in_flight):
            attempt = state.attempts[key]
            safe = attempt.job.klass.repeat is api.Repeat.SAFE
            if safe and not attempt.cancel_requested and attempt.job.request.job in state.jobs:
                state.cancel(attempt)
