"""The messages that the admission actor takes, beside those of the dispatcher's that it passes on."""

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
    """An admitted request has its final answer."""

    number: int
    served: bool


@dataclass(slots=True, frozen=True)
class Reconfigure:
    """The operators' file has changed."""

    options: AdmissionOptions


@dataclass(slots=True, frozen=True)
class Suspend:
    """Admit nothing that is queued, as it is about to go to another process; or go on."""

    suspended: bool


@dataclass(slots=True, frozen=True)
class ReleaseQueued:
    """The successor is to go on with a request; ``reply`` takes what it must know of it from here."""

    request: JobRequest
    reply: asyncio.Future[Json]


@dataclass(slots=True, frozen=True)
class AdoptReleased:
    """Go on with a request that another process has released; ``placed`` if it has an attempt in flight."""

    request: JobRequest
    state: Json
    reply: asyncio.Future[Answer]
    placed: bool


@dataclass(slots=True, frozen=True)
class AdmissionTimerDue:
    """Time has passed, after which admission control has to decide again."""


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
