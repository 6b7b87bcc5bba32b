"""The records that the decision module keeps of zones, workers, jobs and attempts.

They note what happened and decide nothing. Times are whole microseconds of the caller's clock where a name
ends in ``_us``; a moment of 0 has not come. "Own" is what this scheduler itself has sent.
"""

from dataclasses import dataclass, field
from math import inf

from robinhill import api
from robinhill.placement.statistics import DecayingMean

AttemptKey = tuple[int, int]  # number of the job, number of its attempt

FAILURE_DECAY = 0.75  # of the shares of failures, at each success
FAILURE_STEP = 0.25  # towards 1, at each failure
RECOVERED_FAILURE_SHARE = 0.25  # below it a worker's ejections no longer count as consecutive


@dataclass(slots=True, eq=False)
class ZoneWait(DecayingMean):
    """How long own jobs wait in a zone, and the factors by which that changes the cost of its workers."""

    cost_factor: float = 1.0
    new_connection_factor: float = 1.0  # where a job needs a new connection


@dataclass(slots=True, eq=False)
class WorkerRecord:
    """What this scheduler knows of one worker, from the endpoint list and from own jobs."""

    entry: api.Worker
    tie_breaker: float  # random, so that schedulers spread over workers that are equal
    zone: ZoneWait
    job_time_us: float  # expected time from send to completion, with the worker's kind as prior
    last_send: int = 0  # number of the own send that went here last; far back if none did
    own_time: DecayingMean = field(default_factory=DecayingMean)  # time of own jobs here, without a prior
    age_weight: float = -1.0  # ln q over the job time: cost of each own send since the last one here
    slow_start_until_us: int = 0  # at the latest
    ejected_until_us: float = 0  # infinite while the list does not have it as ready
    in_flight: set[AttemptKey] = field(default_factory=set)  # own attempts there
    waiting: "Attempt | None" = None  # the attempt in flight whose start has not been reported
    concurrency_limit: float = 1.0  # own jobs that it takes without a wait; below 1, with pauses between jobs
    min_start_delay_us: float = 0.0  # shortest time from send to start: the network's part
    own_unit_time: float = 0.0  # low quantile of time over hinted work, from own jobs here
    unit_time: float = 0.0  # the same, with the kind of machine as prior
    failure_share: float = 0.0  # smoothed share of own jobs that failed fast
    error_share: float = 0.0  # smoothed share of own jobs that the worker answered with an error
    consecutive_ejections: int = 0
    class_backoff_until_us: dict[int, int] = field(default_factory=dict)  # by class of a rejected job
    serves_bound_classes: bool = False  # some class may go to certain workers only, this one among them
    last_response_us: int = 0  # a start or an answer of the worker itself
    last_completion_us: int = 0
    suspected_until_us: int = 0  # its answers seem to be lost: chosen only if few others can be
    health_check_since_us: int = 0  # 0: none is under way
    failed_health_checks: int = 0  # of those under way
    backoff_until_us: int = 0  # gets nothing before, as own jobs waited there
    readmitted_us: int = 0  # when it last came back after an ejection or absence
    slow_start_credit: float = 0.0  # progress towards the next own job during slow start; 1 allows it
    slow_start_credit_us: int = 0  # when the credit was last updated
    connection_used_us: int = 0  # when an own connection was last used there; 0: none can be open

    def is_avoided(self, now: int) -> bool:
        """Whether it gets nothing, or comes last, for its own faults."""
        is_ejected = self.consecutive_ejections > 0 and now < self.ejected_until_us < inf
        return now < self.suspected_until_us or is_ejected

    def readmit(self, now: int) -> None:
        """Let it take jobs again; faults and attempts of before count no longer."""
        self.ejected_until_us, self.readmitted_us = 0, now
        self.consecutive_ejections, self.failure_share, self.suspected_until_us = 0, 0.0, 0
        self.in_flight, self.waiting, self.class_backoff_until_us = set(), None, {}

    def add_success(self, now: int) -> None:
        """Count a completed job."""
        self.failure_share *= FAILURE_DECAY
        self.error_share *= FAILURE_DECAY
        if self.failure_share < RECOVERED_FAILURE_SHARE:
            self.consecutive_ejections = 0
        self.last_completion_us, self.suspected_until_us = now, 0

    def add_failure(self, own_error: bool) -> None:
        """Count a job that failed fast; ``own_error``: the worker answered it with an error."""
        self.failure_share += (1 - self.failure_share) * FAILURE_STEP
        self.error_share += (1 - self.error_share) * FAILURE_STEP * own_error


@dataclass(slots=True, eq=False)
class JobRecord:
    """A request that awaits its final answer from this scheduler."""

    request: api.Request
    klass: api.JobClass
    queue_deadline_us: int = 0  # it stays in the queue no longer
    client_deadline_us: int = 0
    objective_us: float = 0.0  # when its answer turns late by the latency objective and its hint
    attempts: int = 0  # so far
    attempts_in_flight: int = 0
    may_have_run: bool = False  # by any attempt so far
    group: int = -1  # of workers that drop a repeat of this idempotent job once it may have run
    group_until_us: int = 0  # they drop it until then
    order: float = 0.0  # in the queue, lowest first: less the priority weight for the expected work
    latest_start_us: int = 0  # it misses its latency objective if it starts later

    def record_possible_run(self, attempt: "Attempt") -> None:
        """This attempt may have run: note which workers drop a repeat, and until when."""
        until = attempt.sent_us + self.klass.memory_us
        self.group_until_us = min(self.group_until_us, until) if self.may_have_run else until
        self.may_have_run, self.group = True, attempt.group
        if self.klass.repeat is api.Repeat.KEYED:  # after it no worker may run it
            self.queue_deadline_us = min(self.queue_deadline_us, self.group_until_us)


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight."""

    key: AttemptKey
    worker: WorkerRecord
    sent_us: int
    job: JobRecord
    in_flight_at_send: int  # other own jobs at the worker at that time
    group: int  # of workers that drop a repeat, as of the send
    cancel_requested: bool = False
    last_progress_us: int = 0  # when its start or progress was last reported
