"""The interface of the decision module: settings, events and actions.

Times are whole microseconds of the caller's clock, which only ever advances.
Every event goes to ``Balancer.handle(now_us, event)``, which returns actions
to be carried out at once and in order.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Repeat(Enum):
    """What a second run of a job would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The workers that drop each other's repeats of a keyed job."""

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
ANSWERED = frozenset({Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL})  # by the worker itself: it is alive


class WorkerState(IntEnum):
    """A worker's state on the list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a list event holds."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class SettingError(ValueError):
    """A field of the settings is out of range: ``name`` is the field, ``what`` the values it may have."""

    def __init__(self, name: str, what: str) -> None:
        super().__init__(f"{name}: {what}")
        self.name = name
        self.what = what


def _require(good: bool, name: str, what: str) -> None:
    if not good:
        raise SettingError(name, what)


@dataclass(slots=True, frozen=True)
class JobClass:
    """One class of job; with ``kinds`` or ``zones`` it may go to workers of these alone."""

    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    stretch: float = 0.0
    repeat: Repeat = Repeat.UNSAFE
    scope: Scope = Scope.ALL
    memory_us: int = 0
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
            _require(places is None or all(type(x) is int for x in places), name, "must hold numbers")

    @property
    def bound(self) -> bool:
        """Whether it may go to some workers only."""
        return self.kinds is not None or self.zones is not None

    @property
    def dropped_everywhere(self) -> bool:
        """Whether any worker drops a repeat of such a job."""
        return self.repeat is Repeat.KEYED and self.scope is Scope.ALL

    def group_of(self, worker: "Worker") -> int:
        """The group of workers that drop each other's repeats of such a job; -1: all of them."""
        return {Scope.ZONE: worker.zone, Scope.CELL: worker.cell}.get(self.scope, -1)

    def open_to(self, worker: "Worker") -> bool:
        """Whether the settings allow this class at a worker."""
        kinds, zones = self.kinds, self.zones
        return (kinds is None or worker.kind in kinds) and (zones is None or worker.zone in zones)


_NOT_NEGATIVE = (  # fields of the settings, in the order in which they are checked
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
    """What a scheduler is configured with at its start.

    ``full_may_have_run``: a worker may answer 'full' for work that it had begun. ``close_within_us``: idle
    connections to a draining worker must be closed within it (None: they need not be).
    """

    classes: tuple[JobClass, ...]
    fleet_size: int = 1
    zone: int = 0
    quotas_per_s: tuple[float, ...] = ()
    over_quota_priority_weight: float = 1.0
    value_by_work: bool = False
    must_subscribe: bool = False
    poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    slow_start_floor: float = 0.5  # share of its full speed that a worker has as it starts
    slow_start_us: int = 10_000_000
    fall_multiple: float = 2.0
    tip_after_us: int = 1_000_000
    connect_timeout_us: int = 250_000
    max_attempts: int = 1
    parallel_attempts: bool = False
    cancelling: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    reports_start: bool = False
    progress_us: int = 0
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    handshake_price: float = 0.0
    keepalive_us: int = 60_000_000
    full_may_have_run: bool = False
    close_within_us: int | None = None

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        _require(self.fleet_size >= 1, "fleet_size", "must be 1 or more")
        _require(self.max_attempts >= 1, "max_attempts", "must be 1 or more")
        _require(0 < self.slow_start_floor <= 1, "slow_start_floor", "must be above 0 and at most 1")
        _require(self.fall_multiple > 0, "fall_multiple", "must be above 0")
        for name in ("slow_start_us", "tip_after_us", "poll_interval_us"):
            _require(getattr(self, name) > 0, name, "must be above 0")
        for name in _NOT_NEGATIVE:
            _require(getattr(self, name) >= 0, name, "must not be negative")
        _require(isinstance(self.full_may_have_run, bool), "full_may_have_run", "must be true or false")
        close = self.close_within_us
        _require(close is None or (type(close) is int and close >= 0), "close_within_us", "must be 0 or more")


@dataclass(slots=True, frozen=True)
class Worker:
    """One entry of the endpoint list; ``started_us`` 0 means long ago."""

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

    ``group``: an earlier request of its key may have run there and is repeated nowhere else before
    ``group_until_us`` (0: there was none).
    """

    job: int
    job_class: int
    time_left_us: int
    tenant: int = 0
    work_hint_us: int = 0
    client_repeat: bool = False
    group: int = -1
    group_until_us: int = 0


# Events


@dataclass(slots=True)
class WorkersListed:
    """The endpoint list, changes to it, or that polling it failed."""

    kind: ListKind
    workers: list[Worker] = field(default_factory=list)


@dataclass(slots=True)
class Arrived:
    """A client's request has reached this scheduler."""

    request: Request


@dataclass(slots=True)
class JobStarted:
    """A worker has begun to run an attempt."""

    job: int
    attempt: int


@dataclass(slots=True)
class JobProgress:
    """Progress of a running attempt; ``share`` of it is done (0 to 1)."""

    job: int
    attempt: int
    share: float


@dataclass(slots=True)
class StreamStarted:
    """The answer has begun to flow to the client; the attempt is now the client's."""

    job: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt is over; ``final`` if the request is answered."""

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
    """A timer set earlier is due."""

    tag: str


@dataclass(slots=True)
class HealthCheckEnded:
    """The result of a health check; ``alive`` if the worker answered at all, even as draining."""

    address: str
    alive: bool


@dataclass(slots=True)
class ListLeaseChanged:
    """The lease on the endpoint list is held again, or lost: nothing is sent without it."""

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
    """Start an attempt; attempts of a job count 0, 1, 2 ... (timeout 0: until the client's deadline)."""

    job: int
    address: str
    timeout_us: int = 0


class RejectionReason(Enum):
    """Why a request is rejected; for log lines and figures alone."""

    NO_WORKER = "no_worker"  # no worker had capacity for as long as queueing made sense
    OVERLOAD = "overload"  # own waits show an overload: load is shed
    ATTEMPTS_SPENT = "attempts_spent"  # as many as a request may have
    ATTEMPT_ENDED = "attempt_ended"  # its last attempt ended with no time or place for another


@dataclass(slots=True)
class Reject:
    """Final answer: rejected, a retry does no harm."""

    job: int
    retry_in_us: int = 0
    why: RejectionReason = field(default=RejectionReason.NO_WORKER, compare=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed, it may have run."""

    job: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    job: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a ``TimerFired`` with this tag."""

    after_us: int
    tag: str


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True)
class CheckHealth:
    """Check whether a worker answers."""

    address: str


@dataclass(slots=True)
class CloseIdle:
    """Close this scheduler's idle connections to a worker."""

    address: str


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | Subscribe | CheckHealth | CloseIdle | Log
