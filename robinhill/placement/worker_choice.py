"""The choice of the worker for a job: the age-priced rotation of docs/design.md.

Among the eligible workers of the lowest rank, the one with the lowest cost gets the job. The cost is x *
ln(q), multiplied by factors. The age x is the number of own sends since the last own send to that worker; q <
1 is a probability (see age_weights), so the cost is negative. The factors lie between 0 and 1 and raise the
cost towards 0 for failures and waits. "Own" jobs and sends are those of this scheduler. A bound class is a
job class that is restricted to workers of some machine types or zones.
"""

from dataclasses import dataclass
from math import inf

from robinhill import api
from robinhill.placement.age_weights import AgeWeights
from robinhill.placement.decision_state import DecisionState
from robinhill.placement.records import JobRecord, WorkerRecord
from robinhill.placement.slow_start import SlowStart

# Divides the (negative) cost of a worker that has rejected the job's class, is suspected of losing answers,
# or (for jobs that must not run twice) has been ejected and has not recovered. Of the workers of one rank,
# such a worker is chosen only if its age is far above that of the others, or if all their costs are divided.
BACKOFF_DIVISOR = 64.0
HINT_MARGIN = 1.5  # workers that would meet the objective even with this multiple of the hint are preferred
ERROR_COST_EXPONENT = 8
# While few own jobs arrive (``_Criteria.few_arrivals``), a worker with a higher error share than this has a
# higher rank, and is therefore avoided, for jobs that must not run twice.
MAX_PROVEN_ERROR_SHARE = 0.1
TIGHT_FIT_RANK = 2  # increase of the rank of a worker that may miss the job's objective


@dataclass(slots=True)
class _Criteria:
    """Inputs of the choice of a worker for one job, read once before the loop over all workers."""

    job: JobRecord
    job_class: int
    bound: bool  # whether the job's class is restricted to workers of some machine types or zones
    unsafe: bool  # the job must not run twice
    padded_hint_us: float  # the job's work hint times ``HINT_MARGIN``; 0: no hint
    sends: int  # number of own sends before this job
    few_arrivals: bool  # whether fewer own jobs arrive in a slow-start window than there are usable workers
    unbound_factor: float  # cost factor of workers that serve bound classes
    max_idle_us: float  # a worker may close a connection that is idle for longer; inf: idle time is ignored


class WorkerChoice:
    """Chooses workers. Side effects are limited to slow-start credits and the update of weights."""

    def __init__(self, state: DecisionState, weights: AgeWeights, slow_start: SlowStart) -> None:
        self.state = state
        self.weights = weights
        self.slow_start = slow_start
        self.settings, self.estimates = state.settings, state.estimates
        # Job classes for which no worker had capacity; cleared at the start of each pass over the queue.
        self.saturated_classes: set[int] = set()

    def choose(self, now: int, job: JobRecord) -> WorkerRecord | None:
        """Return the worker for a job, or None if no worker can accept it now.

        Of workers with equal costs, the one whose last own job was sent earlier is chosen.
        """
        self.weights.update_for_choice(now)
        state, klass, bound = self.state, job.klass, job.klass.restricted
        criteria = _Criteria(
            job=job,
            job_class=job.request.job_class,
            bound=bound,
            unsafe=klass.repeat is api.Repeat.UNSAFE,
            padded_hint_us=HINT_MARGIN * job.request.work_hint_us,
            sends=state.sends,
            few_arrivals=state.few_arrivals,
            unbound_factor=1.0 if bound else self.weights.unbound_factor,
            max_idle_us=state.derived.max_idle_us,
        )
        return self._cheapest(now, criteria)

    def _cheapest(self, now: int, criteria: _Criteria) -> WorkerRecord | None:
        """Return the cheapest eligible worker of the lowest rank.

        The loop visits all workers for each job, so the checks that most workers need are inlined in it.
        """
        job, klass, sends = criteria.job, criteria.job.klass, criteria.sends
        bound, pace = criteria.bound, 0.0  # the pace is computed once, at the first worker in slow start
        slow_start, has_capacity = self.slow_start, self.has_capacity
        best, best_key, best_rank, best_cost = None, (9, 0.0, 0, 0.0), 9, 0.0
        saturated = True
        for worker in self.state.workers.values():
            if now < worker.slow_start_until_us:
                pace = pace or slow_start.pace(now)
                if not slow_start.allows(now, worker, pace):
                    continue
            cost = (sends - worker.last_send) * worker.age_weight * worker.zone.cost_factor
            if cost > best_cost and not best_rank:
                continue  # the factors of ``_full_cost`` can only raise the cost further
            if now < worker.ejected_until_us or now < worker.backoff_until_us:
                continue
            if (bound and not klass.allows_worker(worker.entry)) or (
                worker.in_flight and not has_capacity(now, worker)
            ):
                continue
            saturated = False
            cost = self._full_cost(now, worker, criteria, cost)
            rank = self._rank(now, worker, criteria)
            if rank < best_rank or (rank == best_rank and cost <= best_cost):
                key = (rank, cost, worker.last_send, worker.tie_breaker)
                if key < best_key and self._fits(now, worker, job):
                    best, best_key, best_rank, best_cost = worker, key, rank, cost
        if saturated:
            self.saturated_classes.add(criteria.job_class)
        return best

    def _full_cost(self, now: int, worker: WorkerRecord, criteria: _Criteria, cost: float) -> float:
        """Return ``cost``, raised towards 0 for a new connection, failures and slow start.

        For a job of a class that is not bound, the cost of a worker that serves bound classes is raised too.
        ``cost`` is the negative cost that follows from the worker's age and zone alone.
        """
        max_idle_us = criteria.max_idle_us
        if max_idle_us < inf and (worker.in_flight or now - worker.connection_used_us > max_idle_us):
            age = criteria.sends - worker.last_send
            cost = age * worker.age_weight * worker.zone.new_connection_factor
        if now < worker.slow_start_until_us:
            cost *= self.estimates.slow_start_share(now, worker)
        factor = criteria.unbound_factor if worker.serves_bound_classes else 1.0
        cost *= (1 - worker.error_share) ** ERROR_COST_EXPONENT * factor if criteria.few_arrivals else factor
        rejected = worker.class_backoff_until_us.get(criteria.job_class, 0) > now
        # After an ejection, a worker first gets jobs that may run twice.
        if rejected or now < worker.suspected_until_us or (worker.consecutive_ejections and criteria.unsafe):
            cost /= BACKOFF_DIVISOR
        return cost

    def _rank(self, now: int, worker: WorkerRecord, criteria: _Criteria) -> int:
        """Return the worker's rank for the job; workers of a lower rank are preferred whatever their cost.

        The rank rises if the worker may miss the job's objective, and if the worker may be busy. While fewer
        own jobs arrive in a slow-start window than there are usable workers, the rank for a job that must not
        run twice also rises if the worker has a high share of errors, or if it is out of slow start and has
        not completed any own job.
        """
        hint_us = criteria.padded_hint_us
        rank = (
            TIGHT_FIT_RANK if hint_us and now + worker.unit_time * hint_us > criteria.job.objective_us else 0
        )
        # If starts are not reported, a worker with an own job in flight may not be able to start another.
        if worker.in_flight and not self.settings.reports_start:
            rank += 1
        if criteria.few_arrivals and criteria.unsafe:
            proven = worker.last_completion_us or now < worker.slow_start_until_us
            rank += worker.error_share > MAX_PROVEN_ERROR_SHARE or not proven
        return rank

    def is_available(self, now: int, worker: WorkerRecord) -> bool:
        """Whether a worker can accept jobs of at least one class now."""
        ready = now >= worker.ejected_until_us and now >= worker.backoff_until_us
        return ready and (not worker.in_flight or self.has_capacity(now, worker))

    def has_capacity(self, now: int, worker: WorkerRecord) -> bool:
        """Whether the worker can accept a further job, judged only by the own jobs in flight at the worker.

        Load reports and health checks of the worker are not considered.
        """
        if worker.unstarted_attempt:
            return False  # an own job there has not started yet: the worker is full, frozen or unreachable
        limit = 1 if worker.consecutive_ejections else worker.concurrency_limit
        if len(worker.in_flight) < limit:
            return True
        # Attempts without progress for longer than the timeout are lost and use no capacity.
        timeout_us = self.state.derived.progress_timeout_us or inf
        attempts = self.state.attempts
        progress_us = (attempts[key].last_progress_us or now for key in worker.in_flight)
        return sum(now - at < timeout_us for at in progress_us) < limit

    @staticmethod
    def _fits(now: int, worker: WorkerRecord, job: JobRecord) -> bool:
        """Whether the worker can meet the job's objective, and whether the job can safely run there.

        The objective is checked only for a job with a hint whose answer is worthless when late. A job that
        may have run before, and must not run twice, is safe only at a worker of the group that drops its
        repeats, and only until ``JobRecord.group_until_us``.
        """
        klass, hint_us = job.klass, job.request.work_hint_us
        if hint_us and not klass.late_priority_weight and now + worker.unit_time * hint_us > job.objective_us:
            return False  # even the shortest time for the hinted work would miss the objective
        if not job.may_have_run or klass.repeat is api.Repeat.SAFE:
            return True
        return klass.group_of(worker.entry) == job.group and now < job.group_until_us
