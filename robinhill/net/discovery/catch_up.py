"""After a stall: what lies unread from discovery is read before anything is decided or sent."""

import asyncio
import logging
from collections.abc import Callable

from robinhill.net.clock import Clock
from robinhill.placement.stall_detector import HEARTBEAT_INTERVAL_US, StallDetector

log = logging.getLogger(__name__)

# Turns of the event loop: from bytes in the kernel to a message in the decider's mailbox, also on a
# connection that was not accepted yet; and from there to the endpoints.
READ_TURNS = 10
WRITE_TURNS = 4
MOST_TURNS = 10_000  # a peer that never stops writing must not hold this process up for ever


class CatchUp:
    """Notices that this process stood still, and says when it has read what was written meanwhile."""

    def __init__(self, clock: Clock, unread: Callable[[], bool]) -> None:
        """``unread`` tells whether words of discovery wait in the kernel."""
        self.clock = clock
        self.unread = unread
        self.stall_detector = StallDetector(clock.now_us())
        self.turns = 0  # of the loop since the stall; 0: there was none, or all is read
        self.quiet_turns = 0  # of these, the last ones in which nothing was unread
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to beat."""
        self.stall_detector.record_heartbeat(self.clock.now_us())
        self._schedule()

    def close(self) -> None:
        """Beat no more."""
        if self._timer:
            self._timer.cancel()

    def has_unread_input(self) -> bool:
        """Whether words of others may be unread that were written while this process stood still."""
        return self.is_catching_up() and self.quiet_turns < READ_TURNS

    def is_catching_up(self) -> bool:
        """Whether that is so, or not everything here goes by them yet."""
        if not self.turns and self._timer and self.stall_detector.is_stalled(now := self.clock.now_us()):
            log.info("stood_still", extra={"for_ms": (now - self.stall_detector.last_heartbeat_us) // 1000})
            self.turns, self.quiet_turns = 1, 0
            asyncio.get_running_loop().call_soon(self._turn)
        return self.turns > 0

    def earliest_arrival_us(self) -> int:
        """The latest moment at which what is read now surely was not there yet, or now if all is read."""
        return self.stall_detector.last_heartbeat_us if self.is_catching_up() else self.clock.now_us()

    def _turn(self) -> None:
        self.turns += 1
        self.quiet_turns = 0 if self.unread() else self.quiet_turns + 1
        if self.quiet_turns < READ_TURNS + WRITE_TURNS and self.turns < MOST_TURNS:
            asyncio.get_running_loop().call_soon(self._turn)
            return
        self.turns = 0
        self.stall_detector.record_heartbeat(self.clock.now_us())

    def _record_heartbeat(self) -> None:
        if not self.is_catching_up():
            self.stall_detector.record_heartbeat(self.clock.now_us())
        self._schedule()

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            HEARTBEAT_INTERVAL_US / 1e6, self._record_heartbeat
        )
