"""The decision module of a scheduler, which receives events and returns actions.

Its interface (settings, events and actions) is in robinhill/api.py.

``Balancer`` handles each job from its arrival to its final answer. The policies that it applies are in
modules of robinhill/placement, one for each concern: the choice of a worker (worker_choice, age_weights),
slow_start, outliers, retries, overload, outcomes and worker_list.
"""

from collections.abc import Callable
from typing import Any

from robinhill import api
from robinhill.placement import timers
from robinhill.placement.age_weights import AgeWeights
from robinhill.placement.decision_state import UNKNOWN_JOB_US, DecisionState
from robinhill.placement.estimates import ClientRetries
from robinhill.placement.job_queue import JobQueue
from robinhill.placement.outcomes import OutcomeEvaluator
from robinhill.placement.outliers import OutlierDetector
from robinhill.placement.overload import OverloadControl
from robinhill.placement.records import Attempt, JobRecord, WorkerRecord
from robinhill.placement.retries import Retries
from robinhill.placement.slow_start import SlowStart
from robinhill.placement.worker_choice import WorkerChoice
from robinhill.placement.worker_list import WorkerList

# A client may send a work hint, its estimate of a job's running time. The latency objective of the job is
# then extended by the hint times the ``stretch`` of the job's class. Without a hint, a job may wait in the
# queue longer than its latency objective, by UNHINTED_WAIT_FACTOR * (stretch - 1) * the usual job time of its
# class. 1 is subtracted because the run of the job itself takes one of the ``stretch`` job times.
UNHINTED_WAIT_FACTOR = 1.5
# If a worker has not responded for longer than this time, the connections to it may be dead. Its idle
# connections are then closed before the next send.
TRUSTED_CONNECTION_US = 250_000
# An attempt of a job with a work hint times out at the end of the job's latency objective plus
# ATTEMPT_OVERRUN_SHARE * stretch * hint. It has no such timeout if the class gives late answers a value.
ATTEMPT_OVERRUN_SHARE = 0.25


class Balancer:
    """Turns events and clock readings into actions. Deterministic for a given seed; performs no I/O."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.state = state = DecisionState(settings, seed)
        self.workers, self.jobs, self.attempts = state.workers, state.jobs, state.attempts
        self.estimates, self.job_times = state.estimates, state.job_times
        self.client_retries = ClientRetries(len(settings.classes), state.derived.tick_us)
        self.queue = JobQueue()
        self.weights = AgeWeights(state)
        self.slow_start = SlowStart(state)
        self.choice = WorkerChoice(state, self.weights, self.slow_start)
        self.overload = OverloadControl(state)
        self.outliers = OutlierDetector(state)
        self.retries = Retries(state)
        self.outcomes = OutcomeEvaluator(state, self.weights, self.overload, self.outliers, self.retries)
        self.worker_list = WorkerList(state, self.weights, self.slow_start)
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            api.Arrived: self._on_arrival,
            api.AttemptEnded: self._on_attempt_ended,
            api.ClientDisconnected: self._on_client_disconnected,
            api.JobProgress: self._on_progress,
            api.JobStarted: self._on_progress,
            api.ListLeaseChanged: self._on_list_lease_changed,
            api.HealthCheckEnded: self.outliers.on_health_check_ended,
            api.StreamStarted: self._on_stream_started,
            api.TimerFired: self._on_timer,
            api.WorkersListed: self._on_list_received,
        }

    def start(self, now: int) -> list[api.Action]:
        """Return the initial actions, in order. The caller must call this once, before the first event."""
        self.estimates.start(now)
        actions = self.state.actions = []
        self.worker_list.schedule_first_poll()
        return actions

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle one event; return the actions that the caller must carry out, in order."""
        actions = self.state.actions = []
        self._handlers[type(event)](now, event)
        return actions

    def avoided_workers(self, now: int) -> set[str]:
        """Addresses of the workers that are ejected for failures or suspected of losing answers."""
        return {address for address, worker in self.workers.items() if worker.is_avoided(now)}

    # Events

    def _on_list_received(self, now: int, event: api.WorkersListed) -> None:
        if event.kind is api.ListKind.FAILED:
            self.worker_list.schedule_retry()
            return
        self.worker_list.apply(now, event)
        self._place_queued(now)

    def _on_list_lease_changed(self, now: int, event: api.ListLeaseChanged) -> None:
        self.state.list_leased = event.held
        self._place_queued(now)

    def _on_arrival(self, now: int, event: api.Arrived) -> None:
        request, hint_us, left_us = event.request, event.request.work_hint_us, event.request.time_left_us
        klass = self.settings.classes[request.job_class]
        self.estimates.add_arrival(now)
        job = self.jobs[request.job] = JobRecord(request, klass, client_deadline_us=now + left_us)
        if now < request.group_until_us:  # an earlier request with the same idempotency key may have run
            job.may_have_run, job.group, job.group_until_us = True, request.group, request.group_until_us
        objective_us = klass.latency_objective_us - self.client_retries.spent_us(request)
        job.objective_us = now + objective_us + klass.stretch * hint_us
        if hint_us:
            self.job_times.add_hint(hint_us)
        expected_us = self.job_times.expected_us(request.job_class, hint_us) or UNKNOWN_JOB_US
        if hint_us and self.job_times.mean_us:
            objective_us += int(max(0.0, klass.stretch * hint_us - expected_us))
        priority_weight = klass.priority_weight / (1.0 if self.settings.value_by_work else expected_us)
        self.estimates.add_work(expected_us, priority_weight, klass.restricted)
        job.order, job.latest_start_us = -priority_weight, int(now + objective_us)
        job.queue_deadline_us = now + min(left_us - 1, self._useful_wait_us(job, objective_us, expected_us))
        job.queue_deadline_us = min(job.queue_deadline_us, job.group_until_us or job.queue_deadline_us)
        if self.overload.sheds(priority_weight):
            self._give_up(job, api.RejectionReason.OVERLOAD)
        else:
            self.place(now, job)

    def _useful_wait_us(self, job: JobRecord, objective_us: int, expected_us: float) -> int:
        """The longest time that the job may wait in the queue (us).

        If the class has a priority weight for late answers, the job may wait as long as it can still meet the
        client's deadline; otherwise only as long as it can meet its latency objective. Without a hint, the
        class's usual job time extends the wait (see ``UNHINTED_WAIT_FACTOR``).
        """
        klass, request = job.klass, job.request
        if klass.late_priority_weight:
            return max(objective_us, int(request.time_left_us - expected_us))
        if request.work_hint_us:
            return objective_us
        usual_us = self.job_times.class_baseline_us[request.job_class]
        return objective_us + int(UNHINTED_WAIT_FACTOR * max(0.0, klass.stretch - 1) * usual_us)

    def _on_progress(self, now: int, event: api.JobStarted | api.JobProgress | api.StreamStarted) -> None:
        attempt = self.attempts.get((event.job, event.attempt))
        if attempt is None:
            return
        attempt.last_progress_us = attempt.worker.last_response_us = now
        if attempt.worker.unstarted_attempt is attempt:
            self._on_start(now, attempt)

    def _on_start(self, now: int, attempt: Attempt) -> None:
        worker, delay_us = attempt.worker, now - attempt.sent_us
        self.retries.schedule_overdue_check(attempt)
        worker.unstarted_attempt = None
        worker.min_start_delay_us = min(worker.min_start_delay_us or delay_us, delay_us)
        self.overload.adapt(now, attempt, delay_us - worker.min_start_delay_us, delay_us)
        self._place_queued(now)

    def _on_stream_started(self, now: int, event: api.StreamStarted) -> None:
        self._on_progress(now, event)
        self.jobs.pop(event.job, None)  # the response streams to the client, so the job cannot be retried

    def _on_client_disconnected(self, _: int, event: api.ClientDisconnected) -> None:
        self.jobs.pop(event.job, None)

    def _on_attempt_ended(self, now: int, event: api.AttemptEnded) -> None:
        attempt, outcome = self.attempts.pop((event.job, event.attempt), None), event.outcome
        if attempt is None:
            return
        worker = attempt.worker
        worker.in_flight.discard(attempt.key)
        worker.unstarted_attempt = None if worker.unstarted_attempt is attempt else worker.unstarted_attempt
        attempt.job.attempts_in_flight -= 1
        if worker.concurrency_limit < 1 and outcome is not api.Outcome.FULL:
            self.overload.pause_after_attempt(now, worker)
        self.worker_list.on_connection_idle(now, worker)
        self.outcomes.evaluate(now, attempt, outcome, event.took_us)
        if event.final:
            self.jobs.pop(event.job, None)
        elif event.job in self.jobs:
            self._retry_or_give_up(now, attempt, outcome)
        self._place_queued(now)

    def _retry_or_give_up(self, now: int, attempt: Attempt, outcome: api.Outcome) -> None:
        job = attempt.job
        self.retries.record_failed_attempt(now, attempt, outcome)
        if job.attempts_in_flight:
            return
        if self.retries.is_last(job, outcome):
            # The scheduler cancelled the attempt before the queue deadline, but nothing confirms that the job
            # did not run. If the request is rejected, its client may retry with another scheduler at once, so
            # the rejection does not ask for a delay.
            unconfirmed = attempt.cancel_requested and now < job.queue_deadline_us
            self._give_up(job, api.RejectionReason.ATTEMPT_ENDED, unconfirmed)
        else:
            self.place(now, job)

    def _on_timer(self, now: int, event: api.TimerFired) -> None:
        if event.tag == timers.QUEUE_CHECK:
            self._check_queue(now)
        elif event.tag == timers.LIST_POLL:
            self.worker_list.poll()
        elif timer := timers.parse(event.tag):
            attempt = self.attempts.get((timer.job, timer.attempt))
            if attempt is None or attempt.cancel_requested:
                return
            if timer.check is timers.AttemptCheck.PROGRESS:
                self.retries.check_progress(now, attempt)
            else:
                self.outliers.suspect_lost_answers(now, attempt)

    # Placement

    def place(self, now: int, job: JobRecord) -> None:
        """Send the job to a worker or queue it; reject or fail it if its attempts or its time are used up."""
        if job.attempts >= self.settings.max_attempts:
            self._give_up(job, api.RejectionReason.ATTEMPTS_SPENT)
        elif now >= job.queue_deadline_us:
            self._give_up(job, api.RejectionReason.NO_WORKER)
        elif self.state.list_leased and (worker := self.choice.choose(now, job)) is not None:
            self._send(now, job, worker)
        else:
            self.queue.add(job)
            self._schedule_queue_check(now, job.queue_deadline_us)

    def _send(self, now: int, job: JobRecord, worker: WorkerRecord) -> None:
        state, klass, hint_us = self.state, job.klass, job.request.work_hint_us
        worker.last_send = state.sends
        state.sends += 1
        key, group = (job.request.job, job.attempts), klass.group_of(worker.entry)
        attempt = self.attempts[key] = Attempt(key, worker, now, job, len(worker.in_flight), group)
        worker.in_flight.add(key)
        worker.unstarted_attempt = attempt if self.settings.reports_start else None
        self.slow_start.spend_credit(worker)
        job.attempts += 1
        job.attempts_in_flight += 1
        self.retries.schedule_start_check(attempt)
        if worker.connection_used_us and now - worker.last_response_us > TRUSTED_CONNECTION_US:
            # Connections to a machine that crashed stay open on this side, and a job sent over one would be
            # lost. Closing them forces a new connection: if that fails, the job was never sent.
            state.actions.append(api.CloseIdle(worker.entry.address))
        worker.connection_used_us = now
        timeout_us = 0
        if hint_us and not klass.late_priority_weight:
            # The hint determines the time after which an answer is worthless. A longer attempt would use
            # capacity of the worker for nothing, so the attempt times out.
            overrun_us = ATTEMPT_OVERRUN_SHARE * klass.stretch * hint_us
            timeout_us = max(1, int(job.objective_us + overrun_us) - now)
        state.actions.append(api.Send(job.request.job, worker.entry.address, timeout_us))

    def _give_up(self, job: JobRecord, why: api.RejectionReason, unconfirmed: bool = False) -> None:
        """Send the client a final answer without a result.

        The answer is a rejection if a retry by the client does no harm. Otherwise it is a failure, because
        the job may have run and a second run may do harm. ``unconfirmed``: nothing confirms that the job did
        not run; a rejection then does not ask the client to delay its retry.
        """
        self.jobs.pop(job.request.job, None)
        self.client_retries.unretried_answers += 1
        klass = job.klass
        harmless = klass.repeat is api.Repeat.SAFE or klass.deduplicated_by_all_workers
        if (job.may_have_run or job.attempts_in_flight) and not harmless:
            self.state.actions.append(api.Fail(job.request.job))
            return
        retry_after_us = 0
        if self.settings.retry_after and not unconfirmed:
            # If late answers of the class are worthless, the maximum delay keeps clients from retrying in
            # vain. Otherwise clients may retry after the mean time of a job.
            retry_after_us = self.settings.max_retry_after_us
            if klass.late_priority_weight:
                retry_after_us = min(retry_after_us, int(self.job_times.mean_us))
        self.state.actions.append(api.Reject(job.request.job, retry_after_us, why))

    # The queue

    def _place_queued(self, now: int) -> None:
        """Place queued jobs, the highest priority first; reject or fail those past their queue deadline."""
        queued = self.queue.take_all()
        saturated_classes = self.choice.saturated_classes
        saturated_classes.clear()
        usable = self.workers.values() if self.state.list_leased else ()
        available = queued and any(self.choice.is_available(now, worker) for worker in usable)
        for job in queued:
            saturated = not available or job.request.job_class in saturated_classes
            if now < job.queue_deadline_us and saturated:
                # No worker has capacity for the job, so it stays queued. `place` is not called: evaluating
                # all workers for each job of a long queue at each event would be too slow.
                self.queue.jobs.append(job)
            elif self.jobs.get(job.request.job) is job:
                self.place(now, job)

    def _check_queue(self, now: int) -> None:
        late = [job for job in self.queue.jobs if self.overload.lower_priority_if_late(now, job)]
        if late:
            self.queue.sort()
        self._place_queued(now)
        if self.queue.jobs:
            self._schedule_queue_check(now, min(job.queue_deadline_us for job in self.queue.jobs))

    def _schedule_queue_check(self, now: int, until_us: int) -> None:
        """Set a timer for the next check of the queue.

        The check is due at ``until_us``, or after ``DerivedSettings.tick_us`` if that is sooner, so that new
        capacity of workers is detected.
        """
        if wait_us := self.queue.next_check_us(now, until_us, self.state.derived.tick_us):
            self.state.actions.append(api.SetTimer(wait_us, timers.QUEUE_CHECK))
