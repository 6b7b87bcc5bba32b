"""Whether this process was paused: stopped, swapped out or blocked in its event loop. No input or output.

A process records a heartbeat a few times a second. When one is late, messages that were written meanwhile may
still be unread, so what the process knows is as old as its last heartbeat.

Times are microseconds of a clock that counts real time.
"""

from dataclasses import dataclass

HEARTBEAT_INTERVAL_US = 100_000
MAX_HEARTBEAT_DELAY_US = 200_000  # with the interval, less than the 0.5 s of grace that drains leave


@dataclass(slots=True)
class StallDetector:
    """Compares the clock with the last heartbeat."""

    last_heartbeat_us: int

    def is_stalled(self, now_us: int) -> bool:
        """Whether the next heartbeat is so late that this process was paused."""
        return now_us - self.last_heartbeat_us > HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US

    def record_heartbeat(self, now_us: int) -> None:
        """The process runs, and has read all messages that were waiting."""
        self.last_heartbeat_us = now_us
