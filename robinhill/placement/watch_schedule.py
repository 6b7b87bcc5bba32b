"""When the watch on the endpoint list counts as broken, and when the next call begins. No input or output.

A change of the list is in force a fixed time after discovery had it and could be reached, whatever became of
our calls. So without a working watch the next call begins in the first half of that time; the second half is
for the wait at discovery, which serves calls one after another. Within the first half each call has a random
moment, since hundreds of schedulers may lose their watches, and find discovery back, in the same instant. The
decision module has a backoff of its own for polls that fail; this schedule does not wait for it.

Where an agent beside the scheduler pushes lists, what the agent has is in force at once, and a call to it
slows nobody else down.
"""

import random
from dataclasses import dataclass

from robinhill import api

# A change is in force so long after discovery had it and could be reached.
LIST_CHANGE_BOUND_US = 6_000_000
WATCH_SILENCE_TIMEOUT_US = 2_500_000  # discovery writes an empty line every 2 s
CALL_TIMEOUT_US = 3_500_000  # discovery fails calls that have waited 2 or 3 s
QUEUED_CALL_MIN_US = 1_500_000  # a call that fails sooner has not waited in discovery's queue
SPREAD_PER_SCHEDULER_US = 50_000  # of calls after a failure; it doubles with each further one
MAX_SPREAD_DOUBLINGS = 6
MIN_SPREAD_US = 250_000  # where the first half of the bound is over
AGENT_BACKOFF_US = 100_000  # calls to an agent must succeed within the 0.5 s of grace that drains leave
MAX_AGENT_BACKOFF_US = 200_000
# A call that was never answered shows, as it ends, that discovery could not be reached so long before. So the
# lease on the list lasts until the next call ends too.
UNANSWERED_CALL_OUTAGE_US = LIST_CHANGE_BOUND_US - CALL_TIMEOUT_US - MIN_SPREAD_US


@dataclass(slots=True)
class WatchSchedule:
    """The calls to one discovery at one address; ``lists_pushed``: it is an agent that pushes lists."""

    lists_pushed: bool
    rng: random.Random
    fleet_size: int
    change_bound_us: int = LIST_CHANGE_BOUND_US
    due_us: int = 0  # when the list must be here, by what is known of when discovery could be reached
    last_received_us: int = 0  # last complete list or empty line of the open call; 0: none yet
    called_us: int = 0
    failed_calls: int = 0  # consecutive
    unreachable_us: int | None = None  # discovery was unreachable then, by the last call; None: it was not

    def start(self, now_us: int) -> int:
        """How long to wait before the first call: the list that a process starts with may be old."""
        self.due_us = now_us + self.change_bound_us
        return 0 if self.lists_pushed else self._random_wait_us(now_us)

    def record_address_change(self, now_us: int) -> None:
        """Discovery has another address, which is called at once."""
        self.due_us, self.failed_calls = now_us + self.change_bound_us, 0

    def record_call(self, now_us: int) -> None:
        """A call begins."""
        self.last_received_us, self.called_us = 0, now_us

    def record_received(self, now_us: int) -> None:
        """A complete list or empty line was received; a part of one does not count."""
        self.last_received_us, self.failed_calls = now_us, 0

    def silent_at_us(self) -> int:
        """When the open call or watch counts as broken unless something is received before."""
        if self.last_received_us:
            return self.last_received_us + WATCH_SILENCE_TIMEOUT_US
        return self.called_us + CALL_TIMEOUT_US

    def record_lost(self, now_us: int, answered: bool = True) -> int:
        """A call has failed or a watch has ended; return how long to wait before the next call.

        ``answered``: discovery itself had begun to send its list.
        """
        self.unreachable_us = self._unreachable_since_us(now_us, answered)
        if self.last_received_us:
            # Discovery may have stopped right after the last message, or at any time since.
            self.due_us = self.last_received_us + self.change_bound_us
        elif self.failed_calls > 1 and now_us - self.called_us < QUEUED_CALL_MIN_US:
            # Discovery is down, and what it learns is in force only after its return. One quick failure may
            # be the network's, and a call that waited has reached discovery: then the time goes on running.
            self.due_us = self.called_us + self.change_bound_us
        self.failed_calls += 1
        return self._agent_wait_us() if self.lists_pushed else self._random_wait_us(now_us)

    def _unreachable_since_us(self, now_us: int, answered: bool) -> int | None:
        """The last moment at which discovery may have been unreachable; None if it was reached.

        Discovery that is down fails calls as one with too many callers does, and no caller can tell these
        apart. To stop serving then would turn each outage of discovery into one of the fleet.
        """
        timed_out = now_us - self.called_us >= CALL_TIMEOUT_US
        if self.last_received_us or (answered and not (self.lists_pushed and timed_out)):
            return None
        return max(self.called_us, now_us - UNANSWERED_CALL_OUTAGE_US)

    def _agent_wait_us(self) -> int:
        wait = min(MAX_AGENT_BACKOFF_US, AGENT_BACKOFF_US << min(self.failed_calls - 1, 1))
        return int(wait * (0.5 + self.rng.random() / 2))

    def _random_wait_us(self, now_us: int) -> int:
        """A random wait; before a first call it may be none, later calls are kept apart."""
        max_wait = max(MIN_SPREAD_US, self.due_us - self.change_bound_us // 2 - now_us)
        doublings = min(max(0, self.failed_calls - 1), MAX_SPREAD_DOUBLINGS)
        wait = min(max_wait, SPREAD_PER_SCHEDULER_US * self.fleet_size << doublings)
        min_fraction = 0.5 if self.failed_calls > 1 else 0.0
        return int(wait * (min_fraction + (1 - min_fraction) * self.rng.random()))


def list_change_bound_us(settings: api.Settings) -> int:
    """How long after a change it is in force; without a watch, no later than the next poll is due."""
    return min(LIST_CHANGE_BOUND_US, settings.poll_interval_us)


def from_settings(settings: api.Settings, rng: random.Random) -> WatchSchedule:
    """The schedule of calls for these settings."""
    lists_pushed = not settings.must_subscribe
    return WatchSchedule(lists_pushed, rng, settings.fleet_size, list_change_bound_us(settings))
