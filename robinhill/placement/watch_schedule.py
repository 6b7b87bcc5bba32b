"""When the watch on the endpoint list counts as broken, and when the next call to discovery begins. No I/O.

A watch is a call to discovery whose response streams the endpoint list and its changes. A change of the list
takes effect a fixed time after discovery has received the change, whether or not the calls of this scheduler
succeed. If discovery receives the change while schedulers cannot reach it, the fixed time begins when
discovery is reachable again. If a watch is lost, the next call therefore begins in the first half of the
fixed time, counted from the watch's last message; the second half is for the wait at discovery, which serves
calls one after another. Within the first half, each call begins at a random moment, since hundreds of
schedulers may lose their watches, or reach discovery again, at the same time. The decision module
(robinhill.logic) has a separate backoff for failed polls; this schedule does not depend on it.

Instead of discovery itself, a local agent may push lists. A list from the agent takes effect at once, and a
call to the agent does not delay other schedulers.
"""

import random
from dataclasses import dataclass

from robinhill import api

# A change of the list takes effect this long after discovery has received the change or, if discovery was
# unreachable then, after it is reachable again. A shorter poll interval shortens this time.
LIST_CHANGE_BOUND_US = 6_000_000
WATCH_SILENCE_TIMEOUT_US = 2_500_000  # discovery writes an empty line to a watch every 2 s
CALL_TIMEOUT_US = 3_500_000  # discovery fails calls that have waited 2 or 3 s
QUEUED_CALL_MIN_US = 1_500_000  # a call that fails in less time has not waited in discovery's queue
# The maximum random delay of a call is this time multiplied by the number of schedulers. The maximum doubles
# with each consecutive failure after the first.
SPREAD_PER_SCHEDULER_US = 50_000
MAX_SPREAD_DOUBLINGS = 6
# A random delay ends at the latest when half of ``WatchSchedule.change_bound_us`` remains until ``due_us``.
# If that moment is past or less than this time away, the delay is limited to this time instead.
MIN_SPREAD_US = 250_000
# Delay of the next call after a failed call to an agent; it doubles once, up to the maximum. It is short
# because calls to an agent must succeed within the 0.5 s grace period of drains.
AGENT_BACKOFF_US = 100_000
MAX_AGENT_BACKOFF_US = 200_000
# After a call that discovery has not answered, discovery counts as having been unreachable until this long
# before the end of the call, but at least until its start. The lease on the list lasts
# ``LIST_CHANGE_BOUND_US`` (or less, with a shorter poll interval) from that time on. Without a shorter poll
# interval, the lease therefore remains valid until the next call has timed out, provided that the next call
# begins within ``MIN_SPREAD_US``.
UNANSWERED_CALL_OUTAGE_US = LIST_CHANGE_BOUND_US - CALL_TIMEOUT_US - MIN_SPREAD_US


@dataclass(slots=True)
class WatchSchedule:
    """Computes when a call to discovery begins, and when an open call counts as broken.

    ``lists_pushed``: the calls go to a local agent that pushes lists, instead of to discovery itself.
    ``fleet_size``: the number of schedulers.
    """

    lists_pushed: bool
    rng: random.Random
    fleet_size: int
    change_bound_us: int = LIST_CHANGE_BOUND_US  # time until a change that discovery received takes effect
    due_us: int = 0  # deadline for receiving the next list; an outage of discovery extends it
    # When the open call last received a complete list or an empty line; 0: it has received neither yet.
    last_received_us: int = 0
    called_us: int = 0  # when the last call began
    failed_calls: int = 0  # number of consecutive failed calls
    unreachable_us: int | None = None  # when discovery was last unreachable; None: the last call reached it

    def start(self, now_us: int) -> int:
        """Start the schedule; return the delay before the first call (us).

        The deadline for receiving a list counts from ``now_us``. It does not count from the time of the list
        with which the process starts, as that list may be old.
        """
        self.due_us = now_us + self.change_bound_us
        return 0 if self.lists_pushed else self._random_wait_us(now_us)

    def record_address_change(self, now_us: int) -> None:
        """Reset the deadline and the count of failed calls, because discovery has a new address.

        The caller must start a call to the new address at once.
        """
        self.due_us, self.failed_calls = now_us + self.change_bound_us, 0

    def record_call(self, now_us: int) -> None:
        """Record that a call to discovery begins."""
        self.last_received_us, self.called_us = 0, now_us

    def record_received(self, now_us: int) -> None:
        """Record that a complete list or an empty line was received; an incomplete list does not count."""
        self.last_received_us, self.failed_calls = now_us, 0

    def silence_deadline_us(self) -> int:
        """Time at which the open call counts as broken (us), unless a complete list or empty line arrives."""
        if self.last_received_us:
            return self.last_received_us + WATCH_SILENCE_TIMEOUT_US
        return self.called_us + CALL_TIMEOUT_US

    def record_lost(self, now_us: int, answered: bool = True) -> int:
        """Record that a call has failed or a watch has ended; return the delay before the next call (us).

        ``answered``: whether the call had received a response with a success status.
        """
        self.unreachable_us = self._unreachable_since_us(now_us, answered)
        if self.last_received_us:
            # The deadline counts from the last message, as discovery may have become unreachable at any time
            # after it.
            self.due_us = self.last_received_us + self.change_bound_us
        elif self.failed_calls > 1 and now_us - self.called_us < QUEUED_CALL_MIN_US:
            # Discovery is down. The deadline can be extended, as changes that discovery receives during an
            # outage take effect only after it is reachable again. A single quick failure may be a network
            # fault, and a call that waited in discovery's queue has reached discovery: neither extends the
            # deadline.
            self.due_us = self.called_us + self.change_bound_us
        self.failed_calls += 1
        return self._agent_wait_us() if self.lists_pushed else self._random_wait_us(now_us)

    def _unreachable_since_us(self, now_us: int, answered: bool) -> int | None:
        """Last time at which discovery may have been unreachable (us); None if the call reached it.

        Calls fail in the same way during an outage and an overload of discovery, so a scheduler cannot
        distinguish the two. A call without an answer counts as an outage. Otherwise the leases of all
        schedulers would end during each outage of discovery, and the whole fleet would stop serving.
        """
        timed_out = now_us - self.called_us >= CALL_TIMEOUT_US
        if self.last_received_us or (answered and not (self.lists_pushed and timed_out)):
            return None
        return max(self.called_us, now_us - UNANSWERED_CALL_OUTAGE_US)

    def _agent_wait_us(self) -> int:
        wait = min(MAX_AGENT_BACKOFF_US, AGENT_BACKOFF_US << min(self.failed_calls - 1, 1))
        return int(wait * (0.5 + self.rng.random() / 2))

    def _random_wait_us(self, now_us: int) -> int:
        """Random delay before the next call (us).

        After two or more consecutive failures the delay is at least half of its maximum. Before the first
        call and after a single failure it may be 0.
        """
        max_wait = max(MIN_SPREAD_US, self.due_us - self.change_bound_us // 2 - now_us)
        doublings = min(max(0, self.failed_calls - 1), MAX_SPREAD_DOUBLINGS)
        wait = min(max_wait, SPREAD_PER_SCHEDULER_US * self.fleet_size << doublings)
        min_fraction = 0.5 if self.failed_calls > 1 else 0.0
        return int(wait * (min_fraction + (1 - min_fraction) * self.rng.random()))


def list_change_bound_us(settings: api.Settings) -> int:
    """Time until a received change takes effect (us): ``LIST_CHANGE_BOUND_US`` or a shorter poll interval."""
    return min(LIST_CHANGE_BOUND_US, settings.poll_interval_us)


def from_settings(settings: api.Settings, rng: random.Random) -> WatchSchedule:
    """Create the schedule of calls to discovery from the settings."""
    lists_pushed = not settings.must_subscribe
    return WatchSchedule(lists_pushed, rng, settings.fleet_size, list_change_bound_us(settings))
