"""The messages of the admission actor, in addition to those that it shares with the dispatcher."""

import asyncio
from dataclasses import dataclass
from typing import Any

from robinhill.admission.options import AdmissionOptions
from robinhill.net.dispatcher.messages import (
    ClientDisconnected,
    ExecutionStarted,
    FirstAttemptSent,
    RequestAccepted,
)
from robinhill.protocol import Answer, JobRequest

Json = dict[str, Any]


@dataclass(slots=True, frozen=True)
class RequestAnswered:
    """An admitted request has its final answer. ``served``: with status 200."""

    number: int
    served: bool


@dataclass(slots=True, frozen=True)
class Reconfigure:
    """The options in the operators' file have changed."""

    options: AdmissionOptions


@dataclass(slots=True, frozen=True)
class Suspend:
    """Stop or resume admitting queued requests; sent at the start and end of a hand-over to a successor."""

    suspended: bool


@dataclass(slots=True, frozen=True)
class ReleaseQueued:
    """Release a request to the successor process.

    ``reply`` is set to the request's state in admission control; empty if the admission actor does not track
    the request.
    """

    request: JobRequest
    reply: asyncio.Future[Json]


@dataclass(slots=True, frozen=True)
class AdoptReleased:
    """Adopt a request that another process has released. ``placed``: it has an attempt in flight."""

    request: JobRequest
    state: Json
    reply: asyncio.Future[Answer]
    placed: bool


@dataclass(slots=True, frozen=True)
class AdmissionTimerDue:
    """The timer for the next ``tick`` of admission control has expired."""


AdmissionMessage = (
    RequestAccepted
    | ClientDisconnected
    | FirstAttemptSent
    | ExecutionStarted
    | RequestAnswered
    | Reconfigure
    | Suspend
    | ReleaseQueued
    | AdoptReleased
    | AdmissionTimerDue
)
