"""The timers that the decision module asks for, as tags and back.

Tags go from process to process with the jobs they are about: their words stay as older versions know them.
"""

from dataclasses import dataclass
from enum import Enum

QUEUE_CHECK = "held"  # look at the held jobs
LIST_POLL = "list"  # ask for the list of workers


class AttemptCheck(Enum):
    """What is to be looked at of an attempt."""

    PROGRESS = "look"  # whether it has started, or goes on
    OVERDUE = "overdue"  # whether its worker has ended any job since it started


@dataclass(slots=True, frozen=True)
class AttemptTimer:
    """A timer about one attempt."""

    check: AttemptCheck
    job: int
    attempt: int

    @property
    def tag(self) -> str:
        """The timer as the tag of a ``SetTimer``."""
        return f"{self.check.value} {self.job} {self.attempt}"


def parse(tag: str) -> AttemptTimer | None:
    """The timer of this tag; None for one that is about no attempt, as far as this version knows."""
    match tag.split():
        case [AttemptCheck.PROGRESS.value | AttemptCheck.OVERDUE.value as word, job, attempt]:
            return AttemptTimer(AttemptCheck(word), int(job), int(attempt))
    return None
