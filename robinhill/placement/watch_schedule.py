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

LIST_CHANGE_BOUND_US = (
    6_000_000  # a change counts as told so long after discovery had it and could be reached
)
WATCH_SILENCE_TIMEOUT_US = 2_500_000  # an empty line comes every 2 s; half a second for a late one
CALL_TIMEOUT_US = (
    3_500_000  # discovery itself fails calls that wait too long, after 2 or 3 s: this one is lost
)
QUEUED_CALL_MIN_US = 1_500_000  # a call that fails sooner did not wait in discovery's queue
SPREAD_PER_SCHEDULER_US = 50_000  # the spread of calls for each scheduler that may be calling too; it doubles
MIN_SPREAD_US = 250_000  # the spread where the first half is over
AGENT_BACKOFF_US = 100_000  # the same for an agent that pushes: within the half second that drains may leave
MAX_AGENT_BACKOFF_US = 200_000
# A call that has waited in vain shows, as it ends, that discovery was away so long before. With this the
# lease on the list lasts until the next call ends too.
UNANSWERED_CALL_OUTAGE_US = LIST_CHANGE_BOUND_US - CALL_TIMEOUT_US - MIN_SPREAD_US


@dataclass(slots=True)
class WatchSchedule:
    """For one discovery at one address; ``lists_pushed`` where the settings say that lists are pushed."""

    lists_pushed: bool
    rng: random.Random
    fleet_size: int
    change_bound_us: int = LIST_CHANGE_BOUND_US
    due_us: int = 0  # by then the list must be here, as far as we know when discovery could be reached
    last_received_us: int = 0  # the last whole word: a list, or an empty line
    called_us: int = 0
    failed_calls: int = 0  # calls in a row that were lost
    unreachable_us: int | None = None  # as of when the last call has shown that discovery can't be reached

    def start(self, now_us: int) -> int:
        """How long to wait before the first call: the list that a process starts with may be old."""
        self.due_us = now_us + self.change_bound_us
        return 0 if self.lists_pushed else self._random_wait_us(now_us)

    def record_moved(self, now_us: int) -> None:
        """Another address is called from now on, and at once."""
        self.due_us, self.failed_calls = now_us + self.change_bound_us, 0

    def record_call(self, now_us: int) -> None:
        """A call is on its way."""
        self.last_received_us, self.called_us = 0, now_us

    def record_received(self, now_us: int) -> None:
        """A whole list or an empty line is here; half of one counts for nothing, however it trickles."""
        self.last_received_us, self.failed_calls = now_us, 0

    def silent_at_us(self) -> int:
        """When the open call or watch is broken unless a word comes before."""
        return (
            self.last_received_us + WATCH_SILENCE_TIMEOUT_US
            if self.last_received_us
            else self.called_us + CALL_TIMEOUT_US
        )

    def record_lost(self, now_us: int, answered: bool = True) -> int:
        """How long to wait before the next call, now that a call has failed or a watch has ended.

        ``answered``: discovery itself had begun to tell its list.
        """
        self.unreachable_us = self._unreachable_since_us(now_us, answered)
        if self.last_received_us:
            # It may have fallen silent right after its last word or any time since, even if it was reset now.
            self.due_us = self.last_received_us + self.change_bound_us
        elif self.failed_calls > 1 and now_us - self.called_us < QUEUED_CALL_MIN_US:
            # Down: what it learns counts from its return on. One that waited longer had reached it, and one
            # quick failure may be the network's: then the time that was running goes on.
            self.due_us = self.called_us + self.change_bound_us
        self.failed_calls += 1
        if self.lists_pushed:
            wait = min(MAX_AGENT_BACKOFF_US, AGENT_BACKOFF_US << min(self.failed_calls - 1, 1))
            return int(wait * (0.5 + self.rng.random() / 2))
        return self._random_wait_us(now_us)

    def _unreachable_since_us(self, now_us: int, answered: bool) -> int | None:
        """The last moment at which discovery can't be said to have been there; None: it was.

        Discovery that is down fails calls as one with too many callers does, so no caller can tell these
        apart. To stop then would turn each outage of discovery into one of the whole fleet.
        """
        silent = now_us - self.called_us >= CALL_TIMEOUT_US
        if self.last_received_us or (answered and not (self.lists_pushed and silent)):
            return None
        return max(self.called_us, now_us - UNANSWERED_CALL_OUTAGE_US)

    def _random_wait_us(self, now_us: int) -> int:
        """A random wait; before a first call it may be none at all, later calls are kept apart."""
        max_wait_us = max(MIN_SPREAD_US, self.due_us - self.change_bound_us // 2 - now_us)
        wait = min(
            max_wait_us, SPREAD_PER_SCHEDULER_US * self.fleet_size << min(max(0, self.failed_calls - 1), 6)
        )
        min_fraction = 0.5 if self.failed_calls > 1 else 0.0
        return int(wait * (min_fraction + (1 - min_fraction) * self.rng.random()))


def list_change_bound_us(settings: api.Settings) -> int:
    """Without a watch, changes count once the time to ask again is over, should that be the sooner."""
    return min(LIST_CHANGE_BOUND_US, settings.ask_every_us)


def from_settings(settings: api.Settings, rng: random.Random) -> WatchSchedule:
    """The pace of calls where these settings hold."""
    return WatchSchedule(
        not settings.must_subscribe, rng, settings.fleet_size, list_change_bound_us(settings)
    )
