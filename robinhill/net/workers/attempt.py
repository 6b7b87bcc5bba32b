"""An attempt at a worker as its endpoint knows it.

State only: endpoint, client and connection change it.
"""

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
    """How far an attempt has come."""

    CONNECTING = auto()  # nothing of it is written
    WRITTEN = auto()  # some of it may be
    ACCEPTED = auto()  # the worker has answered 202


@dataclass(slots=True, eq=False)
class WorkerAttempt:
    """One attempt; times are microseconds of the process's clock."""

    job: int
    number: int
    request: JobRequest
    until_us: int
    deadline_us: int
    sent_us: int
    write_until_us: int = 0
    wanted: Callable[[], bool] = lambda: True
    phase: Phase = Phase.CONNECTING
    connection: "WorkerConnection | None" = None  # where it was written
    fully_written: bool = False
    exchange: asyncio.Task[Any] | None = None
    timer: asyncio.TimerHandle | None = None
    over: bool = False
    cancel_requested: bool = False

    @property
    def active(self) -> bool:
        """Whether it is neither over nor being cancelled."""
        return not self.over and not self.cancel_requested


class NotWrittenError(Exception):
    """An attempt may not be sent any more, and not a byte of it was; ``outcome`` is how it ends."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome
