"""What goes into admission control and what comes out of it: requests, admissions and rejections."""

from dataclasses import dataclass
from enum import Enum

from robinhill.admission.callers import Caller


class RejectionReason(Enum):
    """Why a request is rejected; the value is in log lines and metrics."""

    OPEN = "open"  # its tenant or network has as many requests in flight as it may
    QUEUED = "queued"  # its tenant has as many queued as it may
    REQUEST_RATE = "requests"
    WORK_RATE = "work"
    EARLY = "early"  # it came back before the time of its Retry-After
    DEADLINE = "time"  # its queue is too long for it to start in time
    FULL = "full"  # the queues are full, its own among the longest
    EVICTED = "pushed_out"  # for a request of a shorter queue
    LATE = "late"  # it was queued for as long as it can wait


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """A request has arrived. ``already_accepted``: by another process, so that no limit rejects it.

    ``time_left_us`` counts from its arrival.
    """

    number: int
    job_class: int
    caller: Caller
    arrived_us: int
    time_left_us: int
    already_accepted: bool = False


@dataclass(slots=True, frozen=True)
class Admit:
    """Pass the request on to the decision module."""

    number: int


@dataclass(slots=True, frozen=True)
class Rejection:
    """Why and for how long a request is sent away. ``tenant_limit``: for what its own tenant does (429),
    else for the load of all (503).
    """

    reason: RejectionReason
    tenant_limit: bool
    wait_us: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: the request never ran. ``retry_us``: its Retry-After, 0 for none."""

    number: int
    reason: RejectionReason
    tenant_limit: bool
    retry_us: int


Action = Admit | Reject
