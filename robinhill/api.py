"""The interface of the decision module, ``robinhill.logic``: settings, events and actions.

Times are whole microseconds of the caller's monotonic clock. The caller passes each event to
``Balancer.handle(now_us, event)`` and carries out the returned actions immediately, in their order.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Repeat(Enum):
    """Whether a job may be sent again after it may have run.

    SAFE: a second run does no harm. KEYED: workers drop repeats of a job by its idempotency key, so it runs
    once. UNSAFE: a second run may do harm.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The group of workers that drop repeats of a keyed job which has run at one of them.

    ALL: all workers. ZONE: the workers of one zone. CELL: the workers of one cell.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect-failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not-sent"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the job did not run."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
# Outcomes reported by the worker itself, which prove that it is alive.
ANSWERED = frozenset({Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL})


class WorkerState(IntEnum):
    """A worker's state on the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """The kind of a ``WorkersListed`` event.

    CHANGES: changes since the list that was last received. FULL: the complete list from discovery. CACHED: a
    complete list that was not just received from discovery, so that polls continue. FAILED: the list could
    not be fetched.
    """

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class SettingError(ValueError):
    """A setting has an invalid value.

    ``name`` is the setting's field; ``requirement`` says which values are valid.
    """

    def __init__(self, name: str, requirement: str) -> None:
        super().__init__(f"{name}: {requirement}")
        self.name = name
        self.requirement = requirement


def _require(condition: bool, name: str, requirement: str) -> None:
    if not condition:
        raise SettingError(name, requirement)


@dataclass(slots=True, frozen=True)
class JobClass:
    """One class of jobs.

    ``kinds`` and ``zones`` restrict its jobs to workers of these machine types and zones (None: any).
    """

    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # factor on the priority of late jobs; 0: a late answer is worthless
    stretch: float = 0.0  # the work hint of a job times this factor extends its latency objective
    repeat: Repeat = Repeat.UNSAFE
    scope: Scope = Scope.ALL
    memory_us: int = 0  # how long workers remember the idempotency keys of the class's jobs
    kinds: frozenset[int] | None = None
    zones: frozenset[int] | None = None
    stream: bool = False

    def __post_init__(self) -> None:
        _require(self.latency_objective_us >= 0, "latency_objective_us", "must not be negative")
        _require(self.deadline_us > 0, "deadline_us", "must be above 0")
        _require(self.priority_weight >= 0, "priority_weight", "must not be negative")
        _require(self.stretch >= 0, "stretch", "must not be negative")
        _require(self.memory_us >= 0, "memory_us", "must not be negative")
        _require(isinstance(self.repeat, Repeat), "repeat", "must be a Repeat")
        _require(isinstance(self.scope, Scope), "scope", "must be a Scope")
        for name in ("kinds", "zones"):
            places = getattr(self, name)
            _require(places is None or all(type(x) is int for x in places), name, "must hold only integers")

    @property
    def restricted(self) -> bool:
        """Whether jobs of this class are restricted to workers of some machine types or zones."""
        return self.kinds is not None or self.zones is not None

    @property
    def deduplicated_by_all_workers(self) -> bool:
        """Whether every worker drops a repeat of a job of this class, wherever the job ran first."""
        return self.repeat is Repeat.KEYED and self.scope is Scope.ALL

    def group_of(self, worker: "Worker") -> int:
        """The number of the worker's zone or cell, whichever the scope of the class is; -1 if it is ALL."""
        return {Scope.ZONE: worker.zone, Scope.CELL: worker.cell}.get(self.scope, -1)

    def allows_worker(self, worker: "Worker") -> bool:
        """Whether jobs of this class may run on a worker of this machine type and zone."""
        kinds, zones = self.kinds, self.zones
        return (kinds is None or worker.kind in kinds) and (zones is None or worker.zone in zones)


_NON_NEGATIVE_FIELDS = (  # fields of ``Settings``, in the order in which they are checked
    "drain_grace_us",
    "connect_timeout_us",
    "max_retry_after_us",
    "over_quota_priority_weight",
    "progress_us",
    "handshake_price",
    "keepalive_us",
)


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a scheduler at the start of its process.

    ``fall_multiple``: a worker in slow start fails if it is sent this multiple of the work that it can do at
    its current speed, within ``tip_after_us``. The prices are relative to each other; an event with the price
    0 need not be avoided.
    """

    classes: tuple[JobClass, ...]
    fleet_size: int = 1  # number of schedulers
    zone: int = 0  # the zone of this scheduler
    quotas_per_s: tuple[float, ...] = ()  # quota of each tenant, in the order of the tenants in the options
    over_quota_priority_weight: float = 1.0
    value_by_work: bool = False  # True: priority weights are per unit of work; False: per job
    must_subscribe: bool = False  # True: the scheduler must poll for the endpoint list; False: it is pushed
    poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    slow_start_floor: float = 0.5  # share of its full speed at which a worker starts
    slow_start_us: int = 10_000_000  # duration of a worker's slow start
    fall_multiple: float = 2.0
    tip_after_us: int = 1_000_000
    connect_timeout_us: int = 250_000
    max_attempts: int = 1
    parallel_attempts: bool = False
    cancelling: bool = False  # whether attempts can be cancelled
    probes: bool = False  # whether workers answer health checks
    retry_after: bool = False  # whether rejections may ask the client for a delay before its retry
    max_retry_after_us: int = 0
    reports_start: bool = False  # whether workers report the start of each attempt
    progress_us: int = 0  # interval at which workers report the progress of a job; 0: they do not
    cross_zone_price: float = 0.0  # price of sending a job to another zone
    waste_price: float = 0.0  # price of work whose result is not used
    handshake_price: float = 0.0  # price of opening a connection
    keepalive_us: int = 60_000_000  # workers may close connections that are idle for longer
    full_may_have_run: bool = False  # whether a worker may answer 'full' for a job that it has already begun
    # Time within which idle connections to a draining worker must be closed; None: they may stay open.
    close_within_us: int | None = None

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "must contain at least one class")
        _require(self.fleet_size >= 1, "fleet_size", "must be 1 or more")
        _require(self.max_attempts >= 1, "max_attempts", "must be 1 or more")
        _require(0 < self.slow_start_floor <= 1, "slow_start_floor", "must be above 0 and at most 1")
        _require(self.fall_multiple > 0, "fall_multiple", "must be above 0")
        for name in ("slow_start_us", "tip_after_us", "poll_interval_us"):
            _require(getattr(self, name) > 0, name, "must be above 0")
        for name in _NON_NEGATIVE_FIELDS:
            _require(getattr(self, name) >= 0, name, "must not be negative")
        _require(isinstance(self.full_may_have_run, bool), "full_may_have_run", "must be true or false")
        close = self.close_within_us
        _require(close is None or (type(close) is int and close >= 0), "close_within_us", "must be 0 or more")


@dataclass(slots=True, frozen=True)
class Worker:
    """One entry of the endpoint list.

    ``started_us`` is 0 for a worker that started long ago. ``weight`` is the worker's speed relative to other
    workers, ``kind`` the number of its machine type.
    """

    address: str
    zone: int = 0
    state: WorkerState = WorkerState.READY
    started_us: int = 0
    weight: float = 1.0
    kind: int = 0
    cell: int = 0


@dataclass(slots=True)
class Request:
    """A client's request.

    ``group``: the zone or cell in which an earlier request with the same idempotency key may have run (-1:
    any). Until ``group_until_us`` this request may be sent only to workers of that group (0: there was no
    such request).
    """

    job: int
    job_class: int
    time_left_us: int  # from the arrival until the client's deadline
    tenant: int = 0
    work_hint_us: int = 0  # the client's estimate of the job's running time; 0: none
    client_repeat: bool = False  # whether the client marks the request as a retry
    group: int = -1
    group_until_us: int = 0


# Events


@dataclass(slots=True)
class WorkersListed:
    """The endpoint list or changes to it were received, or polling the list failed."""

    kind: ListKind
    workers: list[Worker] = field(default_factory=list)


@dataclass(slots=True)
class Arrived:
    """This scheduler has received a client's request."""

    request: Request


@dataclass(slots=True)
class JobStarted:
    """A worker has begun to run an attempt."""

    job: int
    attempt: int


@dataclass(slots=True)
class JobProgress:
    """Progress of a running attempt; ``share`` is its completed fraction (0 to 1)."""

    job: int
    attempt: int
    share: float


@dataclass(slots=True)
class StreamStarted:
    """The worker's answer has begun to stream to the client, so that the job can no longer be retried."""

    job: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended ``took_us`` after its send.

    ``final``: the request has been answered, because of this outcome or an earlier one.
    """

    job: int
    attempt: int
    outcome: Outcome
    took_us: int
    final: bool


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has closed its connection."""

    job: int


@dataclass(slots=True)
class TimerFired:
    """A timer requested by ``SetTimer`` has expired."""

    tag: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check has ended; ``alive``: whether the worker gave any answer, be it draining or not."""

    address: str
    alive: bool


@dataclass(slots=True)
class ListLeaseChanged:
    """The lease on the endpoint list was acquired or lost; without the lease, no attempt may be sent."""

    held: bool


Event = (
    WorkersListed
    | ListLeaseChanged
    | Arrived
    | JobStarted
    | JobProgress
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt of a job on a worker.

    Attempts of a job are numbered 0, 1, 2 ... in the order of their sends. ``timeout_us`` 0: the attempt may
    last until the client's deadline.
    """

    job: int
    address: str
    timeout_us: int = 0


class RejectionReason(Enum):
    """Why a request is rejected; used only in log lines and metrics."""

    NO_WORKER = "no_worker"  # no worker had capacity before the request's time in the queue was used up
    OVERLOAD = "overload"  # load shedding, because this scheduler's jobs wait too long at workers
    ATTEMPTS_SPENT = "attempts_spent"  # the request has used the maximum number of attempts
    ATTEMPT_ENDED = "attempt_ended"  # the last attempt ended, and no time or worker is left for another one


@dataclass(slots=True)
class Reject:
    """Answer a request finally as rejected: a retry by the client does no harm.

    ``retry_in_us``: the delay that the client is asked for before its retry; 0: none.
    """

    job: int
    retry_in_us: int = 0
    why: RejectionReason = field(default=RejectionReason.NO_WORKER, compare=False)


@dataclass(slots=True)
class Fail:
    """Answer a request finally as failed: its job may have run."""

    job: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight; an ``AttemptEnded`` event reports its end."""

    job: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a ``TimerFired`` event with this tag after ``after_us``."""

    after_us: int
    tag: str


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True)
class CheckHealth:
    """Start a health check of a worker; its result is a ``HealthCheckEnded`` event."""

    address: str


@dataclass(slots=True)
class CloseIdle:
    """Close this scheduler's idle connections to a worker."""

    address: str


@dataclass(slots=True)
class Log:
    """Write a log line for the operators."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | Subscribe | CheckHealth | CloseIdle | Log
