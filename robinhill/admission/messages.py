"""The input and output types of admission control: requests, admissions and rejections."""

from dataclasses import dataclass
from enum import Enum

from robinhill.admission.callers import Caller


class RejectionReason(Enum):
    """Why a request is rejected; the value appears in log lines and in the figures for operators."""

    OPEN = "open"  # the tenant or network is at its limit of open requests, which have no final answer yet
    QUEUED = "queued"  # the tenant is at its limit of queued requests
    REQUEST_RATE = "requests"  # the tenant or network is at its limit of requests per second
    WORK_RATE = "work"  # the tenant or network is at its limit of work per second
    EARLY = "early"  # the caller retried well before the time of its Retry-After
    DEADLINE = "time"  # the request is estimated to be queued beyond its queue deadline
    FULL = "full"  # the limit of queued requests is reached, and no other queue is long enough to evict from
    EVICTED = "pushed_out"  # removed from the longest queue, in favour of a request for a shorter queue
    LATE = "late"  # the request was still queued at its queue deadline


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """An arrived request. ``time_left_us`` is the time from its arrival to its deadline.

    ``already_accepted``: another process of this scheduler has accepted the request and handed it over. It is
    then not rejected on arrival, but may still be evicted or reach its queue deadline.
    """

    number: int
    job_class: int
    caller: Caller
    arrived_us: int
    time_left_us: int
    already_accepted: bool = False


@dataclass(slots=True, frozen=True)
class Admit:
    """Action: pass the request on to the decision module."""

    number: int


@dataclass(slots=True, frozen=True)
class Rejection:
    """The reason of a rejection, and the time until a retry may succeed (``wait_us``).

    ``tenant_limit``: the cause is the caller, which retried early, or whose tenant or network exceeds a limit
    or its share (status 429); otherwise the scheduler is overloaded (status 503).
    """

    reason: RejectionReason
    tenant_limit: bool
    wait_us: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Action: answer a request with a rejection; it has never run. ``retry_us``: its Retry-After, 0: none."""

    number: int
    reason: RejectionReason
    tenant_limit: bool
    retry_us: int


Action = Admit | Reject
