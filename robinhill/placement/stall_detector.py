"""Detection of pauses of this process: stopped, swapped out or blocked in its event loop. No I/O.

A process records a heartbeat several times a second. If a heartbeat is late, messages that arrived meanwhile
may still be unread, so the state of the process is as old as its last heartbeat.

Times are microseconds of a clock that counts real time.
"""

from dataclasses import dataclass

HEARTBEAT_INTERVAL_US = 100_000
MAX_HEARTBEAT_DELAY_US = 200_000  # with the interval, less than the 0.5 s grace period of drains


@dataclass(slots=True)
class StallDetector:
    """Detects a stall by the time since the last heartbeat."""

    last_heartbeat_us: int

    def is_stalled(self, now_us: int) -> bool:
        """Whether the next heartbeat is so late that the process must have been paused."""
        return now_us - self.last_heartbeat_us > HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US

    def record_heartbeat(self, now_us: int) -> None:
        """Record a heartbeat; the process must have read all messages that were waiting."""
        self.last_heartbeat_us = now_us
