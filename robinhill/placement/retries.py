"""Retries: when an attempt is cancelled to send its job to another worker, and which attempt is the last.

No hedged requests are sent: a job has one attempt at a time. Cancelled jobs may keep running at their
workers and waste capacity, so cancels of jobs that wait at a worker are limited by a retry budget, which
grows with each completed job.
"""

from math import inf

from robinhill import api
from robinhill.placement import timers
from robinhill.placement.decision_state import DecisionState
from robinhill.placement.records import Attempt, JobRecord, WorkerRecord

RETRY_BUDGET_PER_COMPLETION = 0.1
MAX_RETRY_BUDGET = 10.0
# An attempt may be cancelled if ``Settings.waste_price`` times the work that the cancel may waste (in mean
# job times) is below this.
CHEAP_WASTE_PRICE = 0.1
OVERDUE_FACTOR = 2.0  # a started attempt is overdue after this multiple of its class's baseline job time


class Retries:
    """Checks the progress of attempts in flight, and holds the retry budget (a number of cancels)."""

    def __init__(self, state: DecisionState) -> None:
        self.state = state
        self.budget = 1.0

    def add_completion(self) -> None:
        """Increase the retry budget for a completed job."""
        self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRY_BUDGET_PER_COMPLETION)

    def schedule_start_check(self, attempt: Attempt) -> None:
        """Set a timer to check whether the attempt has started.

        No timer is set if an attempt that has not started cannot be cancelled, or if cancelling it would
        waste too much work.
        """
        state, klass, worker = self.state, attempt.job.klass, attempt.worker
        if not state.derived.can_cancel_unstarted or not self._worth_cancelling(attempt.job):
            return
        # If workers drop repeats of a job by its idempotency key, few workers are eligible for the job after
        # its first send. The check, which may cancel the attempt, is therefore delayed by the mean wait in
        # the worker's zone.
        usual_wait_us = worker.zone.value * (klass.repeat is api.Repeat.KEYED)
        wait_us = worker.min_start_delay_us + klass.latency_objective_us // 4 + usual_wait_us
        state.set_attempt_timer(int(wait_us), timers.AttemptCheck.PROGRESS, attempt)

    def schedule_overdue_check(self, attempt: Attempt) -> None:
        """Set a timer for the time when a started attempt becomes overdue.

        When the timer expires, it is checked whether the worker has completed any job since the attempt last
        reported progress. No timer is set if no job of the class has completed yet.
        """
        if usual_us := self.state.job_times.class_baseline_us[attempt.job.request.job_class]:
            wait_us = int(OVERDUE_FACTOR * usual_us)
            self.state.set_attempt_timer(wait_us, timers.AttemptCheck.OVERDUE, attempt)

    def _worth_cancelling(self, job: JobRecord) -> bool:
        """Whether wasted work is cheap enough to cancel an attempt of the job.

        Some cancelled attempts keep running at their workers although their answers are not used.
        """
        state, safe = self.state, job.klass.repeat is api.Repeat.SAFE
        mean_us = state.job_times.mean_us
        wasted_us = state.job_times.class_mean_us[job.request.job_class] if safe else mean_us
        return state.settings.waste_price * (wasted_us or 1.0) < CHEAP_WASTE_PRICE * (mean_us or 1.0)

    def check_progress(self, now: int, attempt: Attempt) -> None:
        """Cancel the attempt if its cancel is due, or set a timer for the time when it will be due.

        An attempt that has not started is cancelled to move its job to another worker, or because the job is
        late. An attempt that has started is cancelled if it has made no progress for so long that its answer
        is presumed lost.
        """
        due_us = self._cancel_due_us(now, attempt)
        if now >= due_us:
            self.budget -= 1
            self.state.cancel(attempt)
        elif due_us < inf:
            self.state.set_attempt_timer(int(due_us - now) + 1, timers.AttemptCheck.PROGRESS, attempt)

    def _cancel_due_us(self, now: int, attempt: Attempt) -> float:
        """Time at which to cancel the attempt if its state does not change before (us); infinite: never."""
        state, job, klass = self.state, attempt.job, attempt.job.klass
        if attempt.worker.unstarted_attempt is attempt:
            if state.few_in_flight and klass.repeat is api.Repeat.SAFE:
                # A second choice of a worker would be based on the same information as the first, and the
                # cancelled attempt may keep running.
                return inf
            if self._should_move(now, attempt):
                return now
            if not klass.late_priority_weight:
                # A late answer is worthless, so its job must not use capacity, which overload makes scarce.
                return self._late_cancel_us(now, job)
        timeout_us = state.derived.progress_timeout_us
        repeatable = klass.late_priority_weight and klass.repeat is api.Repeat.SAFE
        if repeatable and attempt.last_progress_us and timeout_us:
            return attempt.last_progress_us + timeout_us
        return inf

    def _should_move(self, now: int, attempt: Attempt) -> bool:
        """Whether to cancel a waiting first attempt now, so that its job can move to another worker."""
        is_first = attempt.key[1] == 0
        in_time = is_first and now < attempt.job.queue_deadline_us and self.budget >= 1
        return in_time and self.state.list_leased and self._can_move(now, attempt)

    def _late_cancel_us(self, now: int, job: JobRecord) -> float:
        """Time at which to cancel the attempt of a waiting job because its answer would be late (us).

        If the retry budget is below 1, this time is at least ``DerivedSettings.tick_us`` after ``now``.
        """
        mean_us = self.state.job_times.class_mean_us[job.request.job_class]
        due_us = job.objective_us + (job.klass.stretch - 1) * mean_us / 4
        return due_us if self.budget >= 1 else max(due_us, now + self.state.derived.tick_us)

    def _can_move(self, now: int, attempt: Attempt) -> bool:
        """Whether the job may run at another worker after its attempt has been cancelled.

        A job whose repeats workers drop by idempotency key may move only if a worker of the attempt's group
        is idle.
        """
        klass = attempt.job.klass
        if klass.repeat is not api.Repeat.KEYED:
            return klass.repeat is api.Repeat.SAFE

        def is_idle_in_group(worker: WorkerRecord) -> bool:
            ready = now >= worker.ejected_until_us and not worker.in_flight
            return ready and klass.group_of(worker.entry) == attempt.group

        return any(is_idle_in_group(worker) for worker in self.state.workers.values())

    def record_failed_attempt(self, now: int, attempt: Attempt, outcome: api.Outcome) -> None:
        """Update the job after a failed attempt: its queue deadline, and whether it may have run."""
        state, job, klass = self.state, attempt.job, attempt.job.klass
        if attempt.last_progress_us and not job.request.work_hint_us and not klass.late_priority_weight:
            # The job's time is unknown without a hint, but is at least the time that the attempt has run. The
            # latency objective, and with it the queue deadline, is extended in proportion to the job's time.
            usual_us = state.job_times.class_baseline_us[job.request.job_class]
            ran_us = now - attempt.last_progress_us + usual_us
            until_us = int(job.objective_us + max(0.0, klass.stretch - 1) * ran_us)
            job.queue_deadline_us = min(job.client_deadline_us - 1, max(job.queue_deadline_us, until_us))
        # If ``full_may_have_run`` is set, a worker may answer "full" for a job that it has begun.
        full_may_have_run = outcome is api.Outcome.FULL and state.settings.full_may_have_run
        if not outcome.never_ran or full_may_have_run:
            job.record_possible_run(attempt)

    @staticmethod
    def is_last(job: JobRecord, outcome: api.Outcome) -> bool:
        """Whether the job must not be retried after an attempt with this outcome.

        Returns True if the time for the job is used up, or if the job may have run and must not run twice.
        """
        out_of_time = outcome in (api.Outcome.TIMEOUT, api.Outcome.NOT_SENT)
        return out_of_time or (job.may_have_run and job.klass.repeat is api.Repeat.UNSAFE)
