"""After a stall of this process: messages of discovery are read before anything is decided or sent.

This module notices the stall and says when all is read; what waits for that is up to the actors that ask it.
"""

import asyncio
import logging
from collections.abc import Callable

from robinhill.net.clock import Clock
from robinhill.placement.stall_detector import HEARTBEAT_INTERVAL_US, StallDetector

log = logging.getLogger(__name__)

# Turns of the event loop: from bytes in the kernel to a message in the dispatcher's mailbox, also on a
# connection that has not been accepted yet; and from there to the endpoint actors.
READ_TURNS = 10
WRITE_TURNS = 4
MAX_TURNS = 10_000  # a peer that never stops writing must not block this process for ever


class CatchUp:
    """Notices that this process was paused, and when it has read what was written meanwhile."""

    def __init__(self, clock: Clock, has_unread_data: Callable[[], bool]) -> None:
        """``has_unread_data``: whether messages of discovery wait in the kernel."""
        self.clock = clock
        self.has_unread_data = has_unread_data
        self.stall_detector = StallDetector(clock.now_us())
        self.turns = 0  # of the loop since the stall; 0: there was none, or all is read
        self.quiet_turns = 0  # the last of these, without unread data
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to record heartbeats."""
        self.stall_detector.record_heartbeat(self.clock.now_us())
        self._schedule()

    def close(self) -> None:
        """Record no more heartbeats."""
        if self._timer:
            self._timer.cancel()

    def has_unread_input(self) -> bool:
        """Whether messages that were written during a stall may still be unread."""
        return self.is_catching_up() and self.quiet_turns < READ_TURNS

    def is_catching_up(self) -> bool:
        """Whether messages written during a stall may be unread, or not have reached all actors yet."""
        if not self.turns and self._timer and self.stall_detector.is_stalled(now := self.clock.now_us()):
            stalled_us = now - self.stall_detector.last_heartbeat_us
            log.info("process_stalled", extra={"for_ms": stalled_us // 1000})
            self.turns, self.quiet_turns = 1, 0
            asyncio.get_running_loop().call_soon(self._count_turn)
        return self.turns > 0

    def earliest_arrival_us(self) -> int:
        """The earliest moment at which what is read now can have arrived: now, unless after a stall."""
        return self.stall_detector.last_heartbeat_us if self.is_catching_up() else self.clock.now_us()

    def _count_turn(self) -> None:
        self.turns += 1
        self.quiet_turns = 0 if self.has_unread_data() else self.quiet_turns + 1
        if self.quiet_turns < READ_TURNS + WRITE_TURNS and self.turns < MAX_TURNS:
            asyncio.get_running_loop().call_soon(self._count_turn)
            return
        self.turns = 0
        self.stall_detector.record_heartbeat(self.clock.now_us())

    def _record_heartbeat(self) -> None:
        if not self.is_catching_up():
            self.stall_detector.record_heartbeat(self.clock.now_us())
        self._schedule()

    def _schedule(self) -> None:
        interval_s = HEARTBEAT_INTERVAL_US / 1e6
        self._timer = asyncio.get_running_loop().call_later(interval_s, self._record_heartbeat)
