"""The state of one attempt at a worker, which ``endpoint``, ``client`` and ``connection`` update."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING, Any

from robinhill.api import Outcome
from robinhill.protocol import JobRequest

if TYPE_CHECKING:
    from robinhill.net.workers.connection import WorkerConnection


class Phase(Enum):
    """The progress of an attempt's HTTP exchange."""

    CONNECTING = auto()  # no byte of the request was written
    WRITE_STARTED = auto()  # a part or all of the request may have been written
    ACCEPTED = auto()  # the worker has answered 202


@dataclass(slots=True, eq=False)
class WorkerAttempt:
    """One attempt at a worker, from its start to its end or its release to another process.

    Times are microseconds of the process's clock. The attempt is cancelled at the worker at ``until_us``, and
    ends at ``deadline_us``, the client's deadline, even if the cancel is unanswered. The request's first byte
    is written only before ``write_until_us``, and only while ``client_waiting`` returns True; it returns
    False once the client has disconnected or was answered.
    """

    job: int  # the dispatcher's number of the request
    number: int  # index of the attempt within its job, from 0
    request: JobRequest
    until_us: int
    deadline_us: int
    sent_us: int  # when the endpoint started the attempt
    write_until_us: int = 0  # 0 for an attempt that another process has written
    client_waiting: Callable[[], bool] = lambda: True
    phase: Phase = Phase.CONNECTING
    connection: "WorkerConnection | None" = None  # carries the request; None until its first byte is written
    fully_written: bool = False  # whether the last byte of the request is written
    exchange: asyncio.Task[Any] | None = None  # sends the request; None if another process has sent it
    timer: asyncio.TimerHandle | None = None  # fires at ``until_us``
    ended: bool = False  # whether the attempt's outcome was reported, or the attempt was released
    cancel_requested: bool = False

    @property
    def active(self) -> bool:
        """Whether the attempt has not ended and its cancel was not requested."""
        return not self.ended and not self.cancel_requested


class NotWrittenError(Exception):
    """An attempt may no longer be sent, and no byte of it was written; it ends with ``outcome``."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome
