"""An observer's lease: the newest time as of which the observer knows the state of a majority of voters.

A change is *accepted* once a majority of voters has stored it. The *bound* is the configured maximum age of
the state that the observer knows; the lease expires when this state becomes older than the bound.

**Guarantee.** An observer with a valid lease knows every change that was accepted longer ago than the bound,
whatever the network does. (In the `hold` mode an observer, which is a scheduler, sends no job without a valid
lease.)

When a voter reads a heartbeat, it knows, for a majority of voters, the state that each of them had ``age_us``
earlier (`robinhill.mesh.freshness`, which also covers voters that lose their state at a restart). The voter
sends that state before its reply on the same ordered link, so an observer that has received the reply knows
the state too. The observer computes the time as of which it knows the state from the time at which it *wrote*
the heartbeat, on its own clock. As the voter read the heartbeat later, the computed time is never later than
the true time. A majority that accepted a change before the computed time has at least one voter in common
with the majority whose state the observer knows. The lease has a single time and not one for each voter, as
only the oldest time in the majority bounds the lease.

Clocks of different processes are not compared; `RATE_ALLOWANCE` covers the difference of their rates. The
lease's time never moves back, even when the observer joins another voter, as a replica only grows by merging.
"""

from collections import deque
from typing import NamedTuple

from robinhill.mesh.freshness import NEVER, RATE_ALLOWANCE

MAX_UNANSWERED_HEARTBEATS = 64
"""Limit of the retained heartbeats that await a reply. Above the limit the oldest heartbeat is dropped, and a
reply to the dropped heartbeat is ignored, which only delays the renewal of the lease."""


class SentHeartbeat(NamedTuple):
    """A heartbeat that awaits its reply. ``written_us``: the time just before the heartbeat was written."""

    number: int
    written_us: int


class ObserverLease:
    """Tracks heartbeats in flight and computes the lease from their replies.

    Times are monotonic microseconds. ``as_of_us``: the time as of which the majority's state is known; None
    before the first renewal.
    """

    def __init__(self, bound_us: int) -> None:
        self.bound_us = bound_us
        self.as_of_us: int | None = None
        self._last_number = 0
        self._in_flight: deque[SentHeartbeat] = deque(maxlen=MAX_UNANSWERED_HEARTBEATS)
        self._accepts_replies = False

    def reset(self) -> None:
        """Ignore heartbeat replies until `accept_replies` is called.

        The caller calls this when the primary voter or its link changes.
        """
        self._accepts_replies = False
        self._in_flight.clear()

    def accept_replies(self) -> None:
        """Renew the lease by replies to heartbeats that are sent from now on.

        The caller calls this once the replica is synchronized with the voter and the voter was sent the
        records that it lacked. Replies to earlier heartbeats stay ignored, as the voter may have read these
        heartbeats while it still lacked records of the observer.
        """
        self._accepts_replies = True
        self._in_flight.clear()

    def heartbeat_sent(self, mono_us: int) -> int:
        """Record a heartbeat that is about to be written, and return its number.

        ``mono_us`` must have been read before the write.
        """
        self._last_number += 1
        self._in_flight.append(SentHeartbeat(self._last_number, mono_us))
        return self._last_number

    def reply_received(self, number: int, age_us: int) -> bool:
        """Process a heartbeat reply. Returns whether it extends the lease.

        The caller must already have merged all changes that the voter sent before the reply. ``age_us``: age
        of the majority's state that the voter knew when it read the heartbeat; negative: the voter knew no
        majority's state.
        """
        if not self._accepts_replies or all(number != one.number for one in self._in_flight):
            return False
        written_us = self._pop_in_flight(number)
        if age_us < 0:
            return False
        # The age is extended by one part in RATE_ALLOWANCE, rounded up, as the voter's clock may run slower
        # than this observer's clock.
        as_of_us = written_us - age_us - (age_us + RATE_ALLOWANCE - 1) // RATE_ALLOWANCE
        if self.as_of_us is not None and as_of_us <= self.as_of_us:
            return False
        self.as_of_us = as_of_us
        return True

    def age_us(self, mono_us: int) -> int | None:
        """Age of the majority's state that the observer knows; None before the first renewal."""
        return None if self.as_of_us is None else max(0, mono_us - self.as_of_us)

    def is_valid(self, mono_us: int) -> bool:
        """Whether the lease was renewed at least once and has not expired.

        Cheap enough to be checked for each job.
        """
        return self.as_of_us is not None and mono_us - self.as_of_us <= self.bound_us

    def until_us(self) -> int:
        """Time at which the lease expires unless a reply renews it; `NEVER` before the first renewal."""
        return NEVER if self.as_of_us is None else self.as_of_us + self.bound_us

    def _pop_in_flight(self, number: int) -> int:
        """Return when a heartbeat was written, and remove it and all earlier heartbeats.

        As links are ordered, no reply to an earlier heartbeat can follow.
        """
        while True:
            heartbeat = self._in_flight.popleft()
            if heartbeat.number == number:
                return heartbeat.written_us
