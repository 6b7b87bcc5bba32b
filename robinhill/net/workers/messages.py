"""The messages between the dispatcher and the endpoint of one worker.

Values only. Times are microseconds of the process's clock; ``attempt`` counts the attempts of a job from 0.
"""

from collections.abc import Callable
from dataclasses import dataclass

from robinhill.api import Outcome
from robinhill.protocol import JobRequest

# To the endpoint


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt; it is given up at ``until_us``, and over at the client's deadline.

    Nothing of it is written from ``write_until_us`` on, nor once ``wanted`` returns that its client has left.
    """

    job: int
    attempt: int
    request: JobRequest
    until_us: int
    deadline_us: int
    write_until_us: int
    wanted: Callable[[], bool]


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt at its worker."""

    job: int
    attempt: int


@dataclass(slots=True, frozen=True)
class AbandonUnwritten:
    """An attempt's client has left: the attempt ends if nothing of it is written yet."""

    job: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Request the worker's health."""


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the connections that carry nothing."""


@dataclass(slots=True, frozen=True)
class ReleaseAttempt:
    """Give a request's attempt up to another process, if the worker has accepted it."""

    job: int
    request_id: str


@dataclass(slots=True, frozen=True)
class ResumeAttempt:
    """Go on with an attempt that another process has released; its worker has accepted it."""

    job: int
    attempt: int
    request: JobRequest
    until_us: int
    deadline_us: int
    sent_us: int


@dataclass(slots=True, frozen=True)
class RequestReturned:
    """The worker has returned a request to another process: the same call again proves nothing."""

    request_id: str


# From the endpoint


@dataclass(slots=True, frozen=True)
class AttemptProgress:
    """The worker has begun to run an attempt; with ``share``, that much of it (0 to 1) is done."""

    job: int
    attempt: int
    share: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt is over; ``result`` is set if and only if it was served."""

    job: int
    attempt: int
    outcome: Outcome
    took_us: int
    result: str | None = None


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The result of a health check."""

    instance_id: str
    alive: bool


@dataclass(slots=True, frozen=True)
class EndpointRetired:
    """An endpoint that has been removed from the list has no attempt in flight any more."""

    instance_id: str


@dataclass(slots=True, frozen=True)
class AttemptReleased:
    """What became of a ``ReleaseAttempt``: the attempt, forgotten here, or None while it can't go."""

    job: int
    attempt: ResumeAttempt | None


EndpointReport = AttemptProgress | AttemptEnded | HealthCheckEnded | EndpointRetired | AttemptReleased
