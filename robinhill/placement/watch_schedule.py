"""When the watch on discovery's list is broken, and when to call again. Decisions only: no input or output.

A change counts as told a fixed time after discovery had it and could be reached, whatever became of our
calls. So whenever there is no working watch the next call begins in the first half of that time; the second
half is for the wait at discovery, which handles calls one after another. Within the first half each call has
a random moment, as hundreds of schedulers lose their watches in one instant and find discovery back in one
instant. The module has a back-off of its own for calls that fail; nothing waits for it.

Where lists are pushed by an agent beside the scheduler, what the agent has counts at once, and nobody else is
slowed by a call.
"""

import random
from dataclasses import dataclass

from robinhill import api

TOLD_US = 6_000_000  # a change counts as told so long after discovery had it and could be reached
WORD_US = 2_500_000  # an empty line comes every 2 s; half a second for a late one
CALL_US = 3_500_000  # discovery itself fails calls that wait too long, after 2 or 3 s: this one is lost
WAITED_US = 1_500_000  # a call that fails sooner did not wait in discovery's queue
EACH_US = 50_000  # the spread of calls for each scheduler that may be calling too; it doubles
AGAIN_US = 250_000  # the spread where the first half is over
AGENT_US = 100_000  # the same for an agent that pushes: within the half second that drains may leave
AGENT_MOST_US = 200_000
# A call that has waited in vain shows, as it ends, that discovery was away so long before. With this the
# lease on the list lasts until the next call ends too.
UNANSWERED_US = TOLD_US - CALL_US - AGAIN_US


@dataclass(slots=True)
class Pace:
    """For one discovery at one address; ``pushed`` where the settings say that lists are pushed."""

    pushed: bool
    random: random.Random
    fleet_size: int
    told_us: int = TOLD_US
    due_us: int = 0  # by then the list must be here, as far as we know when discovery could be reached
    heard_us: int = 0  # the last whole word: a list, or an empty line
    called_us: int = 0
    tries: int = 0  # calls in a row that were lost
    away_us: int | None = None  # as of when the last call has shown that discovery can't be reached

    def started(self, now_us: int) -> int:
        """How long to wait before the first call: the list that a process starts with may be old."""
        self.due_us = now_us + self.told_us
        return 0 if self.pushed else self._spread(now_us)

    def moved(self, now_us: int) -> None:
        """Another address is called from now on, and at once."""
        self.due_us, self.tries = now_us + self.told_us, 0

    def called(self, now_us: int) -> None:
        """A call is on its way."""
        self.heard_us, self.called_us = 0, now_us

    def heard(self, now_us: int) -> None:
        """A whole list or an empty line is here; half of one counts for nothing, however it trickles."""
        self.heard_us, self.tries = now_us, 0

    def silent_at(self) -> int:
        """When the open call or watch is broken unless a word comes before."""
        return self.heard_us + WORD_US if self.heard_us else self.called_us + CALL_US

    def lost(self, now_us: int, answered: bool = True) -> int:
        """How long to wait before the next call, now that a call has failed or a watch has ended.

        ``answered``: discovery itself had begun to tell its list.
        """
        self.away_us = self._away_as_of(now_us, answered)
        if self.heard_us:
            # It may have fallen silent right after its last word or any time since, even if it was reset now.
            self.due_us = self.heard_us + self.told_us
        elif self.tries > 1 and now_us - self.called_us < WAITED_US:
            # Down: what it learns counts from its return on. One that waited longer had reached it, and one
            # quick failure may be the network's: then the time that was running goes on.
            self.due_us = self.called_us + self.told_us
        self.tries += 1
        if self.pushed:
            wait = min(AGENT_MOST_US, AGENT_US << min(self.tries - 1, 1))
            return int(wait * (0.5 + self.random.random() / 2))
        return self._spread(now_us)

    def _away_as_of(self, now_us: int, answered: bool) -> int | None:
        """The last moment at which discovery can't be said to have been there; None: it was.

        Discovery that is down fails calls as one with too many callers does, so no caller can tell these
        apart. To stop then would turn each outage of discovery into one of the whole fleet.
        """
        silent = now_us - self.called_us >= CALL_US
        if self.heard_us or (answered and not (self.pushed and silent)):
            return None
        return max(self.called_us, now_us - UNANSWERED_US)

    def _spread(self, now_us: int) -> int:
        """A random wait; before a first call it may be none at all, later calls are kept apart."""
        most = max(AGAIN_US, self.due_us - self.told_us // 2 - now_us)
        wait = min(most, EACH_US * self.fleet_size << min(max(0, self.tries - 1), 6))
        least = 0.5 if self.tries > 1 else 0.0
        return int(wait * (least + (1 - least) * self.random.random()))


def told_within_us(settings: api.Settings) -> int:
    """Without a watch, changes count once the time to ask again is over, should that be the sooner."""
    return min(TOLD_US, settings.ask_every_us)


def by_settings(settings: api.Settings, chance: random.Random) -> Pace:
    """The pace of calls where these settings hold."""
    return Pace(not settings.must_subscribe, chance, settings.fleet_size, told_within_us(settings))
