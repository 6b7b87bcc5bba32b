"""The messages between the dispatcher and an endpoint, the actor for one worker.

Times are microseconds of the process's clock. ``job`` is the dispatcher's number of a request, and
``attempt`` is the attempt's index within that job, from 0.
"""

from collections.abc import Callable
from dataclasses import dataclass

from robinhill.api import Outcome
from robinhill.protocol import JobRequest

# To the endpoint


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Start an attempt.

    At ``until_us`` the attempt expires and is cancelled at the worker; at ``deadline_us``, the client's
    deadline, the attempt ends even if the cancel is unanswered. The request's first byte is written only
    before ``write_until_us``, and only while ``client_waiting`` returns True; it returns False once the
    client has disconnected or was answered.
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
class AbandonAttempt:
    """Note that the client of an attempt has disconnected.

    The attempt ends if no byte of the request was written to the worker; otherwise only its body is dropped.
    """

    job: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check the worker's health; the endpoint reports the result with ``HealthCheckEnded``."""


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Open new connections for all later exchanges.

    The existing connections are closed once all exchanges on them have ended.
    """


@dataclass(slots=True, frozen=True)
class ReleaseAttempt:
    """Stop tracking a request's attempt, so that another process of this scheduler can continue it.

    The attempt is released only if the worker has accepted it and no cancel of it was requested.

    The endpoint replies with ``AttemptReleased``.
    """

    job: int
    request_id: str


@dataclass(slots=True, frozen=True)
class ResumeAttempt:
    """Continue an attempt that the scheduler's other process has released; its worker has accepted the job.

    ``sent_us`` is the time at which that process started the attempt; for ``until_us`` and ``deadline_us``
    see `StartAttempt`.
    """

    job: int
    attempt: int
    request: JobRequest
    until_us: int
    deadline_us: int
    sent_us: int


# From the endpoint


@dataclass(slots=True, frozen=True)
class AttemptProgress:
    """The worker runs an attempt; ``share`` is the completed fraction from 0 to 1, None if not reported."""

    job: int
    attempt: int
    share: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended ``took_us`` microseconds after its start.

    ``result`` is set if and only if the worker completed the job. ``returned``: the worker has returned the
    job by a callback.
    """

    job: int
    attempt: int
    outcome: Outcome
    took_us: int
    result: str | None = None
    returned: bool = False


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check has ended; ``alive`` is whether the worker answered it, with any status.

    Removed, disabled and cordoned workers are not checked: ``alive`` is False for a removed worker and True
    for a disabled or cordoned one.
    """

    instance_id: str
    alive: bool


@dataclass(slots=True, frozen=True)
class EndpointRetired:
    """An endpoint may be closed: its worker was removed from the endpoint list, and it has no call in flight.

    The calls of an endpoint are attempts, cancels and health checks.
    """

    instance_id: str


@dataclass(slots=True, frozen=True)
class AttemptReleased:
    """The reply to ``ReleaseAttempt``: the released attempt, which the endpoint no longer tracks.

    ``attempt`` is None if the endpoint has no such attempt, or if the attempt can't be released.
    """

    job: int
    attempt: ResumeAttempt | None


EndpointReport = AttemptProgress | AttemptEnded | HealthCheckEnded | EndpointRetired | AttemptReleased
