"""Whether this process stood still: stopped, swapped out or held up in its loop. No input or output.

A process beats a few times a second. Where a beat is late by more than a moment, words of others may lie
unread that were written meanwhile, and requests may wait that were handed in meanwhile: what the process
believes is as old as its last beat, not as its first look at the clock since.

Times are microseconds of a clock that counts real time.
"""

from dataclasses import dataclass

HEARTBEAT_INTERVAL_US = 100_000
# With a beat's length less than the half second that drains leave. Shorter delays are covered by that.
MAX_HEARTBEAT_DELAY_US = 200_000


@dataclass(slots=True)
class StallDetector:
    """Compares the clock with the last beat."""

    last_heartbeat_us: int

    def is_stalled(self, now_us: int) -> bool:
        """Whether the next beat is late by so much that this process stood still."""
        return now_us - self.last_heartbeat_us > HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US

    def record_heartbeat(self, now_us: int) -> None:
        """The process is at work, and has read what waited for it."""
        self.last_heartbeat_us = now_us
