"""The events of a run as the emulators saw them, with their times, for checkers and live metrics."""

import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

UNAVOIDABLE_STATUS = 2  # of an OVERLOADED event that no scheduler could have avoided


class What(Enum):
    """The kinds of events, of a request, a worker or a scheduler."""

    REQUESTED = auto()  # a client has written a request
    ANSWERED = auto()  # its answer was received completely
    CLIENT_DISCONNECTED = auto()  # its client closed the connection
    SENT = auto()  # a worker has received an attempt completely
    EXECUTION_STARTED = auto()  # a worker runs it
    RETURNED = auto()  # a worker hands it back, never run
    ENDED = auto()  # a worker has run it to its end, or lost it
    CANCELLED = auto()  # a worker was told to stop it, or saw its connection close before the 202
    DRAINING = auto()  # discovery has written that a worker drains or is removed
    STARTED = auto()  # a worker has started, cold
    OVERLOADED = auto()  # a cold worker was sent more than its slow start allows
    # Of several schedulers; ``request`` holds a cordon's id
    CORDON_REQUESTED = auto()  # an operator's call was sent to a scheduler
    CORDONED = auto()  # the call was accepted
    IN_FORCE = auto()  # the cordon was reported to be in force everywhere
    LIFT_REQUESTED = auto()
    LIFTED = auto()  # the call was accepted
    CORDONS_LISTED = auto()  # the ids that a scheduler lists as in force, in ``kind``, separated by blanks
    RECOVERY_CHECKED = (
        auto()
    )  # a cordon was set at a scheduler after all faults; status 1: it came into force
    DIGEST = auto()  # the digest that a scheduler reports of its replica, in ``kind``
    FAULT_STARTED = auto()  # a fault of a scheduler or one of its links begins
    FAULT_ENDED = auto()  # and ends
    DOWN = auto()  # a scheduler's process was killed
    UP = auto()  # and runs again


@dataclass(slots=True, frozen=True)
class Event:
    """One event; ``at`` is the time of the monotonic clock in seconds."""

    at: float
    what: What
    request: str = ""
    worker: str = ""
    status: int = 0
    kind: str = ""
    scheduler: str = ""  # that sent it, or that it concerns


@dataclass(slots=True)
class Journal:
    """The events of a run in the order of recording."""

    events: list[Event] = field(default_factory=list)
    started_jobs: Counter[str] = field(default_factory=Counter)  # by worker, for live metrics

    def add(self, event: Event) -> None:
        """Append an event that has its time already."""
        self.events.append(event)
        if event.what is What.EXECUTION_STARTED:
            self.started_jobs[event.worker] += 1

    def record(
        self, what: What, request: str = "", worker: str = "", status: int = 0, kind: str = "",
        scheduler: str = "",
    ) -> None:  # fmt: skip
        """Append an event that happens now."""
        self.add(Event(time.monotonic(), what, request, worker, status, kind, scheduler))
