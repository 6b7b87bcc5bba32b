"""The records that the decision module keeps: workers, jobs and attempts. Nothing here decides.

Times are whole microseconds of the caller's clock where a name ends in ``_us``; a moment of 0 has not come.
"""

from dataclasses import dataclass, field
from math import inf

from robinhill import api
from robinhill.placement.statistics import DecayingMean, ZoneWait

AttemptKey = tuple[int, int]  # number of the job, number of its attempt


@dataclass(slots=True, eq=False)
class WorkerRecord:
    """What this node knows of one worker from its own jobs."""

    entry: api.Worker
    rank: float  # random: breaks ties, and spreads workers that are new at the same time
    zone: ZoneWait  # how long own jobs wait in its zone
    job_time_us: float  # time from send to completion, leaning on the worker's kind; its inverse is the speed
    last_send: int = 0  # number of the own send that went here last; far back if none did
    own_time: DecayingMean = field(default_factory=DecayingMean)  # the same, of own jobs here alone
    age_weight: float = -1.0  # ln q (over the job time): what each own send since the last one here adds
    slow_start_until_us: int = 0  # at most
    ejected_until_us: float = 0  # gets nothing before: ejected, or not ready at all (without end)
    in_flight: set[AttemptKey] = field(default_factory=set)  # own attempts there
    waiting: "Attempt | None" = None  # of these, the one not told to have started
    concurrency_limit: float = (
        1.0  # how many own jobs it takes without making them wait; below 1, one now and then
    )
    min_start_delay_us: float = 0.0  # shortest time from send to start: the way there
    own_unit_time: float = 0.0  # time for a unit of hinted work at its quickest, from own jobs here
    unit_time: float = 0.0  # the same, leaning on the kind of machine
    failure_share: float = 0.0  # smoothed share of own jobs that failed fast
    error_share: float = 0.0  # the same, of those that the worker itself answered with an error
    consecutive_ejections: int = 0  # in a row
    class_backoff_until_us: dict[int, int] = field(
        default_factory=dict
    )  # by class turned away: each alone backs off
    serves_bound_classes: bool = False  # a class that is bound to some machines is open to it
    last_response_us: int = 0  # last word of the worker itself: a start, an answer
    last_completion_us: int = 0  # last completion there
    suspected_until_us: int = 0  # its answers seem to be lost: picked only if most others can't be
    health_check_since_us: int = 0  # since when it is being probed; 0: it is not
    failed_health_checks: int = 0  # probes of these that failed
    backoff_until_us: int = 0  # gets nothing before, as own jobs waited there
    readmitted_us: int = 0  # when it was last taken back
    slow_start_credit: float = 0.0  # while it is cold: how far it has come to the next own job
    slow_start_credit_us: int = 0  # as of when
    connection_used_us: int = 0  # when an own connection was last used there; 0: none can be open

    def avoided(self, now: int) -> bool:
        """Whether it gets nothing, or comes last, for what it did."""
        return now < self.suspected_until_us or (
            self.consecutive_ejections > 0 and now < self.ejected_until_us < inf
        )

    def readmit(self, now: int) -> None:
        """It is taken back: what befell it or own jobs there before counts for nothing."""
        self.ejected_until_us, self.readmitted_us = 0, now
        self.consecutive_ejections, self.failure_share, self.suspected_until_us = 0, 0.0, 0
        self.in_flight, self.waiting, self.class_backoff_until_us = set(), None, {}

    def add_success(self, now: int) -> None:
        """It has completed a job."""
        self.failure_share *= 0.75
        self.error_share *= 0.75
        self.consecutive_ejections = self.consecutive_ejections if self.failure_share >= 0.25 else 0
        self.last_completion_us, self.suspected_until_us = now, 0

    def add_failure(self, own_error: bool) -> None:
        """A job has failed fast there; ``own_error``: by the worker's own answer."""
        self.failure_share += (1 - self.failure_share) / 4
        self.error_share += (1 - self.error_share) / 4 * own_error


@dataclass(slots=True, eq=False)
class JobRecord:
    """A request that this node owes an answer."""

    request: api.Request
    klass: api.JobClass
    queue_deadline_us: int = 0  # held no longer than this
    client_deadline_us: int = 0  # when its client gives up
    objective_us: float = 0.0  # when its answer turns late, where a hint tells
    attempts: int = 0
    attempts_in_flight: int = 0  # attempts out
    may_have_run: bool = False  # an attempt may have run
    group: int = -1  # where a keyed job that may have run can be repeated
    group_until_us: int = 0
    order: float = 0.0  # held jobs of the most worth for their work go first
    latest_start_us: int = 0  # one that starts after it will be late

    def record_possible_run(self, attempt: "Attempt") -> None:
        """This attempt may have run: where, and until when, a repeat is dropped."""
        until = attempt.sent_us + self.klass.memory_us
        self.group_until_us = min(self.group_until_us, until) if self.may_have_run else until
        self.may_have_run, self.group = True, attempt.group
        if self.klass.repeat is api.Repeat.KEYED:  # past it no worker may serve it
            self.queue_deadline_us = min(self.queue_deadline_us, self.group_until_us)


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that is out."""

    key: AttemptKey
    worker: WorkerRecord
    sent_us: int
    job: JobRecord
    in_flight_at_send: int  # own jobs at the worker when this one was sent
    group: int  # of a keyed job: the worker's group when it was sent
    cancel_requested: bool = False  # before it began, or as its answer is lost
    last_progress_us: int = 0  # last word of its start or progress


@dataclass(slots=True)
class PlacementCriteria:
    """What the choice of a worker for one job looks at, whichever worker it is."""

    job: JobRecord
    unsafe: bool  # the class must not run twice
    padded_hint_us: float  # hinted work with its margin
    max_idle_us: float  # a connection idle for longer may be closed; without end: new ones cost nothing
