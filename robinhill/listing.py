"""When a watch on discovery's list is broken, and when to call again. Decisions only: no input or output.

The module decides when to ask after a call that failed; it knows how many schedulers share one discovery. A
watch that has fallen silent is another matter: what it missed counts as told at a fixed time after it fell
silent, so there the next call can't wait for its turn among the others. Where lists are pushed by an agent
beside the scheduler, what the agent has counts at once, and nobody else is slowed by a call.
"""

import random
from dataclasses import dataclass

WORD_US = 2_500_000  # an empty line comes every 2 s; half a second for a late one
CALL_US = 3_500_000  # discovery itself fails calls that wait too long, after 2 or 3 s: this one is lost
TOLD_US = 6_000_000  # what a silent watch missed counts as told so long after it fell silent
AGAIN_US = 250_000  # the longest first wait before another call; it doubles
MOST_US = 1_000_000
AGENT_US = 100_000  # the same for an agent that pushes: within the half second that drains may leave
AGENT_MOST_US = 200_000


@dataclass(slots=True)
class Pace:
    """For one discovery at one address; ``pushed`` where the settings say that lists are pushed."""

    pushed: bool
    random: random.Random
    heard_us: int = 0  # the last whole word: a list, or an empty line
    urgent_us: int = 0  # until then another call must not wait for its turn
    called_us: int = 0
    tries: int = 0  # calls in a row that were lost

    def called(self, now_us: int) -> None:
        """A call is on its way."""
        self.heard_us, self.called_us = 0, now_us

    def heard(self, now_us: int) -> None:
        """A whole list or an empty line is here; half of one counts for nothing, however it trickles."""
        self.heard_us, self.tries, self.urgent_us = now_us, 0, 0

    def silent_at(self) -> int:
        """When the open call or watch is broken unless a word comes before."""
        return self.heard_us + WORD_US if self.heard_us else self.called_us + CALL_US

    def lost(self, now_us: int, silent: bool) -> int | None:
        """How long to wait before the next call; None: that is the module's decision, by its own back-off."""
        self.tries += 1
        if self.pushed:
            return self._jitter(AGENT_US, AGENT_MOST_US)
        if silent:
            # It may have fallen silent right after its last word or any time since.
            self.urgent_us = max(self.urgent_us, now_us + TOLD_US)
        return self._jitter(AGAIN_US, MOST_US) if now_us < self.urgent_us else None

    def _jitter(self, first_us: int, most_us: int) -> int:
        """Half to all of a wait that doubles: many watches fall silent at the same moment."""
        wait = min(most_us, first_us << min(self.tries - 1, 6))
        return int(wait * (0.5 + self.random.random() / 2))
