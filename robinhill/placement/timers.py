"""The timers of the decision module, and the conversion from and to their tags.

A tag is handed over with its job to another process, so its text must never change between versions.
"""

from dataclasses import dataclass
from enum import Enum

QUEUE_CHECK = "held"  # tag of the timer for the next check of the queued jobs
LIST_POLL = "list"  # tag of the timer for the next poll of discovery for the endpoint list


class AttemptCheck(Enum):
    """The condition that is checked when the timer of an attempt expires."""

    PROGRESS = "look"  # whether the attempt has started, and whether it makes progress
    OVERDUE = "overdue"  # whether the worker has completed any job since the attempt last made progress


@dataclass(slots=True, frozen=True)
class AttemptTimer:
    """A timer for a check of one attempt."""

    check: AttemptCheck
    job: int
    attempt: int

    @property
    def tag(self) -> str:
        """The text that identifies this timer in ``SetTimer`` and ``TimerFired``."""
        return f"{self.check.value} {self.job} {self.attempt}"


def parse(tag: str) -> AttemptTimer | None:
    """Parse the tag of an attempt's timer.

    Returns None for the tag of another kind of timer and for one of an unknown version of the program.
    """
    match tag.split():
        case [AttemptCheck.PROGRESS.value | AttemptCheck.OVERDUE.value as check, job, attempt]:
            return AttemptTimer(AttemptCheck(check), int(job), int(attempt))
    return None
