"""The messages between the dispatcher and the endpoint of one worker.

Times are microseconds of the process's clock; ``attempt`` is the attempt's index within its job, from 0.
"""

from collections.abc import Callable
from dataclasses import dataclass

from robinhill.api import Outcome
from robinhill.protocol import JobRequest

# To the endpoint


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt.

    At ``until_us`` the attempt is cancelled at the worker; at the client's ``deadline_us`` it ends at the
    latest. No byte is written from ``write_until_us`` on, or once ``client_waiting`` returns False, which
    means that the client has disconnected or was answered.
    """

    job: int
    attempt: int
    request: JobRequest
    until_us: int
    deadline_us: int
    write_until_us: int
    client_waiting: Callable[[], bool]


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt at its worker."""

    job: int
    attempt: int


@dataclass(slots=True, frozen=True)
class AbandonUnwritten:
    """End an attempt whose client has disconnected, provided that no byte of it is written."""

    job: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check the worker's health; answered by ``HealthCheckEnded``."""


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Use new connections from now on; the old ones are closed once all exchanges on them have ended."""


@dataclass(slots=True, frozen=True)
class ReleaseAttempt:
    """Release a request's attempt for another process, if the worker has accepted the attempt.

    Answered by ``AttemptReleased``.
    """

    job: int
    request_id: str


@dataclass(slots=True, frozen=True)
class ResumeAttempt:
    """Continue an attempt that another process has released, and that its worker has accepted."""

    job: int
    attempt: int
    request: JobRequest
    until_us: int
    deadline_us: int
    sent_us: int


@dataclass(slots=True, frozen=True)
class RequestReturned:
    """The worker has returned a request to another process of this scheduler.

    A callback here that returns the same request may be a retransmission of the one there, so that it does
    not prove that a later attempt never ran.
    """

    request_id: str


# From the endpoint


@dataclass(slots=True, frozen=True)
class AttemptProgress:
    """The worker runs an attempt; ``share`` is the completed fraction from 0 to 1, if it was reported."""

    job: int
    attempt: int
    share: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended; ``result`` is set if and only if the worker completed the job."""

    job: int
    attempt: int
    outcome: Outcome
    took_us: int
    result: str | None = None


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check has ended; ``alive`` is whether the worker answered it."""

    instance_id: str
    alive: bool


@dataclass(slots=True, frozen=True)
class EndpointRetired:
    """An endpoint that was removed from the list has no attempt and no call in flight, and may be closed."""

    instance_id: str


@dataclass(slots=True, frozen=True)
class AttemptReleased:
    """The reply to ``ReleaseAttempt``: the attempt, which this endpoint no longer tracks, or None.

    None means that the attempt can't be released now.
    """

    job: int
    attempt: ResumeAttempt | None


EndpointReport = AttemptProgress | AttemptEnded | HealthCheckEnded | EndpointRetired | AttemptReleased
