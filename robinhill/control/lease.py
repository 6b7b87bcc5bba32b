"""An observer's lease: one moment as of which it knows what a majority of voters knew.

**The claim.** Nothing is sent later than the bound after a change's acceptance without knowledge of it,
whatever links do. Why: a voter that reads a heartbeat knows, for a majority of voters, all that each knew
``age_us`` before (`robinhill.mesh.freshness`, which also says why lost memory does no harm). It answers after
all that it knew then, on the same ordered link; so with the answer the observer knows it too. The heartbeat
was written before it was read, so the moment reckoned back from the *writing*, on the observer's own clock,
is never later than the true one. A majority that accepted the change before that moment has a voter in common
with the majority that is known. One number for all voters is enough, as only the oldest of the majority's
moments bounds the lease.

No clocks are compared, only their rates (`RATE_ALLOWANCE`). The moment never goes back: what was known as of
a moment stays known, as a copy only grows by merging, also where the observer moves to another voter.
"""

from collections import deque

from robinhill.mesh.freshness import NEVER, RATE_ALLOWANCE

MAX_UNANSWERED_HEARTBEATS = 64
"""Unanswered heartbeats that are remembered; an answer to a forgotten one counts for nothing: safe."""


class ObserverLease:
    """Heartbeats that are out, and the lease that follows from answers. Times: monotonic microseconds."""

    def __init__(self, bound_us: int) -> None:
        self.bound_us = bound_us
        self.as_of_us: int | None = None
        self._number = 0
        self._written: deque[tuple[int, int]] = deque(maxlen=MAX_UNANSWERED_HEARTBEATS)
        self._counts = False

    def moved(self) -> None:
        """The voter has changed, or the link is new: nothing counts until `in_step`."""
        self._counts = False
        self._written.clear()

    def in_step(self) -> None:
        """All that the voter held at some moment is here, and it has been sent all that it may lack.

        Answers to heartbeats from now on count; those to earlier ones do not, as the voter may have read
        them while it knew less than we do.
        """
        self._counts = True
        self._written.clear()

    def wrote(self, mono_us: int) -> int:
        """The number of a heartbeat that is about to be written; read the clock before."""
        self._number += 1
        self._written.append((self._number, mono_us))
        return self._number

    def answered(self, number: int, age_us: int) -> bool:
        """The answer is here, and all changes that it stands behind. True if the lease lasts longer by it.

        ``age_us``: as of how long before it read the heartbeat the voter knew a majority; negative: of none.
        """
        if not self._counts or all(number != one for one, _ in self._written):
            return False
        written_us = self._take(number)
        if age_us < 0:
            return False
        moment = written_us - age_us - (age_us + RATE_ALLOWANCE - 1) // RATE_ALLOWANCE
        if self.as_of_us is not None and moment <= self.as_of_us:
            return False
        self.as_of_us = moment
        return True

    def age_us(self, mono_us: int) -> int | None:
        """As of how long ago a majority's state is known; None if it never was."""
        return None if self.as_of_us is None else max(0, mono_us - self.as_of_us)

    def holds(self, mono_us: int) -> bool:
        """Whether work may be sent at this moment. Cheap: for each send."""
        return self.as_of_us is not None and mono_us - self.as_of_us <= self.bound_us

    def until_us(self) -> int:
        """The last moment of the lease if nothing more is heard; `NEVER` without any."""
        return NEVER if self.as_of_us is None else self.as_of_us + self.bound_us

    def _take(self, number: int) -> int:
        """When a heartbeat was written; it and those before it are forgotten, as links are ordered."""
        while True:
            one, written_us = self._written.popleft()
            if one == number:
                return written_us
