"""What happened, as the emulators saw it: one list of events with their times, for checkers and figures."""

import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

NOBODYS = 2  # status of a FELL that no scheduler could have known better


class What(Enum):
    """What can happen to a request, a worker or a scheduler."""

    ASKED = auto()  # a client's request is written
    ANSWERED = auto()  # its answer is here whole
    GONE = auto()  # its client has left
    SENT = auto()  # a worker has got it whole
    BEGAN = auto()  # and runs it
    RETURNED = auto()  # hands it back, never run
    ENDED = auto()  # has run it to its end, or lost it
    CALLED_OFF = auto()  # was told to give it up, or saw its connection close before the 202
    LEAVING = auto()  # discovery has written that a worker leaves
    STARTED = auto()  # a worker has started, cold
    FELL = auto()  # it was sent more than it could bear
    # Of several schedulers side by side; a cordon's id stands where a request's does
    CORDON_ASKED = auto()  # an operator's call is written, at a scheduler
    CORDONED = auto()  # it was accepted
    IN_FORCE = auto()  # and is said to hold everywhere
    LIFT_ASKED = auto()
    LIFTED = auto()  # the call was answered with yes
    LOOKED = auto()  # what a scheduler lists as in force: ids in `kind`, with blanks between
    PROVED = auto()  # after all faults a cordon was tried at a scheduler; status 1: it came into force
    DIGEST = auto()  # what a scheduler tells as the digest of its copy, in `kind`
    HARMED = auto()  # a fault befalls a scheduler or one of its links
    HEALED = auto()  # and is over
    DOWN = auto()  # a scheduler's process was killed
    UP = auto()  # and is at work again


@dataclass(slots=True, frozen=True)
class Event:
    """One thing that happened; ``at`` is the monotonic clock's time in seconds."""

    at: float
    what: What
    request: str = ""
    worker: str = ""
    status: int = 0
    kind: str = ""
    scheduler: str = ""  # who sent it, or whom it befell


@dataclass(slots=True)
class Journal:
    """The events of a run, in the order in which they were noted."""

    events: list[Event] = field(default_factory=list)
    begun: Counter[str] = field(default_factory=Counter)  # by worker, for live figures

    def add(self, event: Event) -> None:
        """Note an event that has its time already."""
        self.events.append(event)
        if event.what is What.BEGAN:
            self.begun[event.worker] += 1

    def note(
        self, what: What, request: str = "", worker: str = "", status: int = 0, kind: str = "",
        scheduler: str = "",
    ) -> None:  # fmt: skip
        self.add(Event(time.monotonic(), what, request, worker, status, kind, scheduler))
