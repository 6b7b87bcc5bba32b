"""The decision module's records of zones, workers, jobs and attempts.

Records hold state and make no decisions. Names that end in ``_us`` hold microseconds; a timestamp is a
reading of the caller's clock, and 0 means that the event has not happened. "Own" jobs are those that this
scheduler itself has sent. For times per unit of work, the unit is a microsecond of a job's work hint or, for
a job without a hint, a microsecond of the mean job time of its class.
"""

from dataclasses import dataclass, field
from math import inf

from robinhill import api
from robinhill.placement.statistics import DecayingMean

AttemptKey = tuple[int, int]  # number of the job, number of its attempt

FAILURE_DECAY = 0.75  # factor on a worker's failure and error shares at each success
FAILURE_STEP = 0.25  # a failure raises the failure share (or error share) by this part of its distance to 1
RECOVERED_FAILURE_SHARE = 0.25  # below this failure share a success resets the count of consecutive ejections


@dataclass(slots=True, eq=False)
class ZoneWait(DecayingMean):
    """The mean wait of own jobs in a zone, and the cost factors of the zone's workers computed from it."""

    cost_factor: float = 1.0
    new_connection_factor: float = 1.0  # used instead of ``cost_factor`` if the job needs a new connection


@dataclass(slots=True, eq=False)
class WorkerRecord:
    """The state of one worker, as known to this scheduler from the endpoint list and from own jobs."""

    entry: api.Worker
    tie_breaker: float  # random, so that schedulers differ in their order of workers with equal costs
    zone: ZoneWait
    # Expected time from send to completion of a job. Its prior is the mean of the worker's kind of machine.
    job_time_us: float
    # Number of the last own send to this worker, counted over all workers. Before the first send to the
    # worker it is an initial value: the lower it is, the sooner the worker is chosen.
    last_send: int = 0
    # Time from send to completion of own jobs at this worker, without a prior.
    own_time: DecayingMean = field(default_factory=DecayingMean)
    # Negative cost of the worker for each own send, to any worker, since the last own send to this worker.
    age_weight: float = -1.0
    slow_start_until_us: int = 0  # end of the slow start; 0 or past: the worker is not in slow start
    ejected_until_us: float = 0  # infinite while the endpoint list does not show the worker as ready
    in_flight: set[AttemptKey] = field(default_factory=set)  # own attempts at this worker
    unstarted_attempt: "Attempt | None" = None  # the attempt in flight whose start has not been reported
    # Estimated number of own jobs that can run at the worker at the same time without waiting. Below 1: one
    # job is sent at a time, with a pause after each.
    concurrency_limit: float = 1.0
    min_start_delay_us: float = 0.0  # shortest time from send to reported start, taken as the network delay
    own_unit_time: float = 0.0  # low quantile of the time per unit of work, from own jobs at this worker
    unit_time: float = 0.0  # like ``own_unit_time``, with the quantile of the kind of machine as prior
    failure_share: float = 0.0  # smoothed share of own jobs that failed fast
    error_share: float = 0.0  # smoothed share of own jobs that the worker answered with an error
    consecutive_ejections: int = 0
    # End of the backoff for each job class that the worker has rejected because it was full.
    class_backoff_until_us: dict[int, int] = field(default_factory=dict)
    # Whether a class that is restricted to some machine types or zones may run at this worker.
    serves_bound_classes: bool = False
    last_response_us: int = 0  # last start, progress or answer reported by the worker itself
    last_completion_us: int = 0
    # Until this time, answers of the worker are assumed to be lost, and its high cost makes it a last resort.
    suspected_until_us: int = 0
    health_check_since_us: int = 0  # start of the health checks in progress; 0: none is in progress
    failed_health_checks: int = 0  # consecutive failures of the health checks in progress
    backoff_until_us: int = 0  # end of the pause in sends that enforces a concurrency limit below 1
    readmitted_us: int = 0  # when the worker last became ready after being ejected or unlisted
    slow_start_credit: float = 0.0  # progress towards the next own job during slow start; 1 allows it
    slow_start_credit_us: int = 0  # when the credit was last updated
    connection_used_us: int = 0  # when an own connection to the worker was last used; 0: none can be open

    def is_avoided(self, now: int) -> bool:
        """Whether the worker is ejected for its failures or suspected of losing answers."""
        is_ejected = self.consecutive_ejections > 0 and now < self.ejected_until_us < inf
        return now < self.suspected_until_us or is_ejected

    def readmit(self, now: int) -> None:
        """Allow sends to the worker again; its earlier failures, ejections and attempts are disregarded."""
        self.ejected_until_us, self.readmitted_us = 0, now
        self.consecutive_ejections, self.failure_share, self.suspected_until_us = 0, 0.0, 0
        self.in_flight, self.unstarted_attempt, self.class_backoff_until_us = set(), None, {}

    def add_success(self, now: int) -> None:
        """Record a completed job, which lowers the failure shares and ends a suspicion of lost answers."""
        self.failure_share *= FAILURE_DECAY
        self.error_share *= FAILURE_DECAY
        if self.failure_share < RECOVERED_FAILURE_SHARE:
            self.consecutive_ejections = 0
        self.last_completion_us, self.suspected_until_us = now, 0

    def add_failure(self, own_error: bool) -> None:
        """Raise the failure share for a job that failed fast.

        ``own_error``: the worker itself answered with an error, which raises the error share too.
        """
        self.failure_share += (1 - self.failure_share) * FAILURE_STEP
        self.error_share += (1 - self.error_share) * FAILURE_STEP * own_error


@dataclass(slots=True, eq=False)
class JobRecord:
    """A request to which this scheduler has not sent the final answer yet."""

    request: api.Request
    klass: api.JobClass
    queue_deadline_us: int = 0  # end of the time that the job may wait in the queue
    client_deadline_us: int = 0
    objective_us: float = 0.0  # an answer after this time is late; a work hint extends the latency objective
    attempts: int = 0  # number of attempts sent
    attempts_in_flight: int = 0
    may_have_run: bool = False  # whether any attempt that was sent may have run
    # Zone or cell whose workers drop repeats of the job once it may have run; -1: all workers drop them.
    group: int = -1
    group_until_us: int = 0  # end of the time in which workers of the group drop repeats
    # Sort key in the queue, lowest first: minus the class's priority weight, divided by the expected job time
    # unless ``Settings.value_by_work`` is set.
    order: float = 0.0
    latest_start_us: int = 0  # a job that starts later misses its latency objective

    def record_possible_run(self, attempt: "Attempt") -> None:
        """Record that the attempt may have run, which workers drop repeats of its job, and until when."""
        until = attempt.sent_us + self.klass.memory_us
        self.group_until_us = min(self.group_until_us, until) if self.may_have_run else until
        self.may_have_run, self.group = True, attempt.group
        if self.klass.repeat is api.Repeat.KEYED:
            # The job must not be sent again once the group no longer drops its repeats.
            self.queue_deadline_us = min(self.queue_deadline_us, self.group_until_us)


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight."""

    key: AttemptKey
    worker: WorkerRecord
    sent_us: int
    job: JobRecord
    in_flight_at_send: int  # other own jobs in flight at the worker when this attempt was sent
    # Zone or cell, at the time of the send, whose workers drop repeats of the job; -1: all workers drop them.
    group: int
    cancel_requested: bool = False
    last_progress_us: int = 0  # when the worker last reported the start or progress
