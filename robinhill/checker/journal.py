"""The journal: the timed events of a run as the emulators observed them, for checkers and live metrics."""

import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

UNAVOIDABLE_STATUS = 2  # the status of an OVERLOADED event that no scheduler could have avoided


class EventType(Enum):
    """The types of events: of a request, a worker or a scheduler."""

    REQUESTED = auto()  # a client has sent a request
    ANSWERED = auto()  # the client has received the complete answer
    CLIENT_DISCONNECTED = auto()  # the client has closed its connection
    SENT = auto()  # a worker has received an attempt completely
    EXECUTION_STARTED = auto()  # a worker has started to run an attempt
    RETURNED = auto()  # a worker has handed an attempt back without running it
    ENDED = auto()  # a worker has run an attempt to its end, or lost it
    CANCELLED = auto()  # a worker received a call to stop an attempt, or the connection closed before its 202
    DRAINING = auto()  # discovery has listed a worker as draining or removed
    STARTED = auto()  # a worker has started or restarted, and is cold: its slow start begins
    OVERLOADED = auto()  # a cold worker was sent more than its slow start allows
    # Runs with several schedulers. In events of cordons ``request`` is the cordon's id.
    CORDON_REQUESTED = auto()  # an operator's call to set a cordon was sent to a scheduler
    CORDONED = auto()  # the scheduler accepted the call to set the cordon
    IN_FORCE = auto()  # the cordon was reported to be in force everywhere
    LIFT_REQUESTED = auto()  # an operator's call to lift a cordon was sent to a scheduler
    LIFTED = auto()  # the scheduler accepted the call to lift the cordon
    CORDONS_LISTED = auto()  # a scheduler lists the ids in ``kind``, separated by blanks, as in force
    RECOVERY_CHECKED = auto()  # a cordon was set at a scheduler after all faults; status 1: in force, 0: not
    DIGEST = auto()  # a scheduler reports the digest of its replica, in ``kind``
    FAULT_STARTED = auto()  # a fault of a scheduler or one of its links has started
    FAULT_ENDED = auto()  # the fault has ended
    DOWN = auto()  # a scheduler's process was killed
    UP = auto()  # a scheduler's process has started


@dataclass(slots=True, frozen=True)
class Event:
    """One event; ``at`` is the time by the monotonic clock, in seconds."""

    at: float
    what: EventType
    request: str = ""
    worker: str = ""
    status: int = 0
    kind: str = ""
    scheduler: str = ""  # the scheduler that sent the attempt, or that the event concerns


@dataclass(slots=True)
class Journal:
    """The events of a run in the order of recording."""

    events: list[Event] = field(default_factory=list)
    started_jobs: Counter[str] = field(default_factory=Counter)  # by worker, for live metrics

    def add(self, event: Event) -> None:
        """Append an event, whose time the caller has set."""
        self.events.append(event)
        if event.what is EventType.EXECUTION_STARTED:
            self.started_jobs[event.worker] += 1

    def record(
        self, what: EventType, request: str = "", worker: str = "", status: int = 0, kind: str = "",
        scheduler: str = "",
    ) -> None:  # fmt: skip
        """Append an event with the present time."""
        self.add(Event(time.monotonic(), what, request, worker, status, kind, scheduler))
