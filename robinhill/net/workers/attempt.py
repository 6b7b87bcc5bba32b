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

    CONNECTING = auto()  # no byte of the request is written
    WRITE_STARTED = auto()  # the request may be written, in part or completely
    ACCEPTED = auto()  # the worker has answered 202


@dataclass(slots=True, eq=False)
class WorkerAttempt:
    """One attempt at a worker, from its start to its end or release.

    Times are microseconds of the process's clock. The attempt expires at ``until_us``, and the client's
    deadline is ``deadline_us``. No byte is written from ``write_until_us`` on, or once ``client_waiting``
    returns False, which means that the client has disconnected or was answered.
    """

    job: int
    number: int
    request: JobRequest
    until_us: int
    deadline_us: int
    sent_us: int
    write_until_us: int = 0
    client_waiting: Callable[[], bool] = lambda: True
    phase: Phase = Phase.CONNECTING
    connection: "WorkerConnection | None" = None  # on which the request was written
    fully_written: bool = False
    exchange: asyncio.Task[Any] | None = None
    timer: asyncio.TimerHandle | None = None
    ended: bool = False
    cancel_requested: bool = False

    @property
    def active(self) -> bool:
        """Whether the attempt has not ended and no cancel of it was requested."""
        return not self.ended and not self.cancel_requested


class NotWrittenError(Exception):
    """An attempt may no longer be sent, and no byte of it was written; it ends with ``outcome``."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome
