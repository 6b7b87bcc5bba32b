"""Detection of pauses of this process: stopped, swapped out or blocked in its event loop. No I/O.

A process records a heartbeat several times a second. If a heartbeat is late, messages that have arrived since
the previous heartbeat may still be unread, so the process may only assume that its state was current at the
time of the previous heartbeat.

Times are microseconds of a clock that counts real time.
"""

from dataclasses import dataclass

HEARTBEAT_INTERVAL_US = 100_000
# The sum of the interval and this delay must be less than the 0.5 s grace period of drains.
MAX_HEARTBEAT_DELAY_US = 200_000


@dataclass(slots=True)
class StallDetector:
    """Detects a pause of this process by the time since its last heartbeat."""

    last_heartbeat_us: int

    def is_stalled(self, now_us: int) -> bool:
        """Whether the next heartbeat is so late that the process must have been paused."""
        return now_us - self.last_heartbeat_us > HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US

    def record_heartbeat(self, now_us: int) -> None:
        """Record a heartbeat at ``now_us``; the process must have read all messages that arrived before."""
        self.last_heartbeat_us = now_us
