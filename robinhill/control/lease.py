"""An observer's lease: the newest moment as of which it knows what a majority of voters knew.

**Guarantee.** No job is sent later than the bound after a change's acceptance without knowledge of the
change, whatever the network does. A voter that reads a heartbeat knows, for a majority of voters, all that
each of them knew ``age_us`` before (`robinhill.mesh.freshness`, which also covers voters that lose their
memory). It replies after all that it knew at that time, on the same ordered link; so with the reply the
observer knows it too. The heartbeat was written before it was read, so the moment computed from the time of
*writing*, on the observer's own clock, is never later than the true one. A majority that accepted the change
before that moment shares a voter with the majority that is known. One moment for all voters is enough, as
only the oldest of the majority's moments bounds the lease.

Clocks are not compared, only their rates (`RATE_ALLOWANCE`). The moment never goes back: a replica only grows
by merging, also when the observer changes to another voter.
"""

from collections import deque
from typing import NamedTuple

from robinhill.mesh.freshness import NEVER, RATE_ALLOWANCE

MAX_UNANSWERED_HEARTBEATS = 64
"""Heartbeats that are remembered; a reply to a forgotten one is ignored, which is safe."""


class SentHeartbeat(NamedTuple):
    """A heartbeat without a reply yet. ``written_us``: the clock just before it was written."""

    number: int
    written_us: int


class ObserverLease:
    """Heartbeats in flight, and the lease that follows from their replies. Times: monotonic microseconds."""

    def __init__(self, bound_us: int) -> None:
        self.bound_us = bound_us
        self.as_of_us: int | None = None
        self._last_number = 0
        self._in_flight: deque[SentHeartbeat] = deque(maxlen=MAX_UNANSWERED_HEARTBEATS)
        self._counting = False

    def reset(self) -> None:
        """The voter or the link has changed: no reply counts until `start_counting`."""
        self._counting = False
        self._in_flight.clear()

    def start_counting(self) -> None:
        """The replica is synchronized with the voter, and the voter has been sent what it lacks.

        Replies to heartbeats from now on count; replies to earlier ones do not, as the voter may have read
        those while it knew less than the observer.
        """
        self._counting = True
        self._in_flight.clear()

    def heartbeat_sent(self, mono_us: int) -> int:
        """Returns the number of a heartbeat that is about to be written; read the clock before."""
        self._last_number += 1
        self._in_flight.append(SentHeartbeat(self._last_number, mono_us))
        return self._last_number

    def reply_received(self, number: int, age_us: int) -> bool:
        """A reply was received, and all changes that it covers. Returns whether the lease is extended.

        ``age_us``: age of the majority's state that the voter knew when it read the heartbeat; negative:
        none.
        """
        if not self._counting or all(number != one.number for one in self._in_flight):
            return False
        written_us = self._pop_in_flight(number)
        if age_us < 0:
            return False
        moment_us = written_us - age_us - (age_us + RATE_ALLOWANCE - 1) // RATE_ALLOWANCE
        if self.as_of_us is not None and moment_us <= self.as_of_us:
            return False
        self.as_of_us = moment_us
        return True

    def age_us(self, mono_us: int) -> int | None:
        """Age of the newest known majority state; None if none was ever known."""
        return None if self.as_of_us is None else max(0, mono_us - self.as_of_us)

    def is_valid(self, mono_us: int) -> bool:
        """Whether jobs may be sent at this moment. Cheap enough for each send."""
        return self.as_of_us is not None and mono_us - self.as_of_us <= self.bound_us

    def until_us(self) -> int:
        """The last moment of the lease if no reply is received any more; `NEVER` without a lease."""
        return NEVER if self.as_of_us is None else self.as_of_us + self.bound_us

    def _pop_in_flight(self, number: int) -> int:
        """When a heartbeat was written; it and earlier ones are forgotten, as links are ordered."""
        while True:
            heartbeat = self._in_flight.popleft()
            if heartbeat.number == number:
                return heartbeat.written_us
