"""The timers that the decision module sets, as tags and parsed back.

Tags go along when a job is handed over to another process, so their text never changes between versions.
"""

from dataclasses import dataclass
from enum import Enum

QUEUE_CHECK = "held"  # check the jobs in the queue
LIST_POLL = "list"  # poll discovery for the endpoint list


class AttemptCheck(Enum):
    """What is checked of an attempt."""

    PROGRESS = "look"  # whether it has started, or goes on
    OVERDUE = "overdue"  # whether its worker has completed any job since it started


@dataclass(slots=True, frozen=True)
class AttemptTimer:
    """A timer for a check of one attempt."""

    check: AttemptCheck
    job: int
    attempt: int

    @property
    def tag(self) -> str:
        """The timer as the tag of a ``SetTimer``."""
        return f"{self.check.value} {self.job} {self.attempt}"


def parse(tag: str) -> AttemptTimer | None:
    """The attempt's timer of this tag; None for a tag of another kind or of an unknown version."""
    match tag.split():
        case [AttemptCheck.PROGRESS.value | AttemptCheck.OVERDUE.value as check, job, attempt]:
            return AttemptTimer(AttemptCheck(check), int(job), int(attempt))
    return None
