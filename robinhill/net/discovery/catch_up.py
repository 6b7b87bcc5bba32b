"""Detection of stalls of this process, and of the moment when the backlog from a stall has been handled.

A process is stalled while it is stopped, swapped out or blocked in its event loop. Discovery may have sent
messages during the stall (the backlog). They must be handled before this process decides about requests or
sends them: the actors that decide or send query this module, and wait while the process handles the backlog
(while it is *catching up*).
"""

import asyncio
import logging
from collections.abc import Callable

from robinhill.net.clock import Clock
from robinhill.placement.stall_detector import HEARTBEAT_INTERVAL_US, StallDetector

log = logging.getLogger(__name__)

# Number of event loop iterations after which data in the kernel's buffers has been read and has become
# messages in the dispatcher's mailbox, even if the data's connection has yet to be accepted.
READ_ITERATIONS = 10
# Number of event loop iterations after which the endpoint actors (one for each worker) have handled the
# effects of a message that was in the dispatcher's mailbox.
WRITE_ITERATIONS = 4
# Limit of the event loop iterations of one catch-up: a discovery server that sends without end must not
# delay this process forever.
MAX_ITERATIONS = 10_000


class CatchUp:
    """Detects that this process was stalled, and determines when it has handled the stall's backlog."""

    def __init__(self, clock: Clock, has_unread_data: Callable[[], bool]) -> None:
        """``has_unread_data`` returns whether the kernel holds unread messages from discovery."""
        self.clock = clock
        self.has_unread_data = has_unread_data
        self.stall_detector = StallDetector(clock.now_us())
        # Number of event loop iterations since a stall was detected; 0 while the process is not catching up.
        self.iterations = 0
        # Number of iterations since data from discovery was last found unread or, if none was, since the
        # stall was detected.
        self.quiet_iterations = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to record a heartbeat every ``HEARTBEAT_INTERVAL_US``; a late heartbeat indicates a stall."""
        self.stall_detector.record_heartbeat(self.clock.now_us())
        self._schedule()

    def close(self) -> None:
        """Stop recording heartbeats."""
        if self._timer:
            self._timer.cancel()

    def has_unread_input(self) -> bool:
        """Whether messages that arrived during a stall may not have reached the dispatcher's mailbox yet."""
        return self.is_catching_up() and self.quiet_iterations < READ_ITERATIONS

    def is_catching_up(self) -> bool:
        """Whether messages that arrived during a stall may be unread or may not have reached all actors.

        This call also detects the stall, and starts to count event loop iterations if there was one.
        """
        if not self.iterations and self._timer and self.stall_detector.is_stalled(now := self.clock.now_us()):
            stalled_us = now - self.stall_detector.last_heartbeat_us
            log.info("process_stalled", extra={"for_ms": stalled_us // 1000})
            self.iterations, self.quiet_iterations = 1, 0
            asyncio.get_running_loop().call_soon(self._count_iteration)
        return self.iterations > 0

    def earliest_arrival_us(self) -> int:
        """The earliest time at which data that this process reads at present can have arrived (Unix us).

        While the process catches up after a stall, this is the last heartbeat before the stall; otherwise it
        is the current time.
        """
        return self.stall_detector.last_heartbeat_us if self.is_catching_up() else self.clock.now_us()

    def _count_iteration(self) -> None:
        self.iterations += 1
        self.quiet_iterations = 0 if self.has_unread_data() else self.quiet_iterations + 1
        if self.quiet_iterations < READ_ITERATIONS + WRITE_ITERATIONS and self.iterations < MAX_ITERATIONS:
            asyncio.get_running_loop().call_soon(self._count_iteration)
            return
        self.iterations = 0
        self.stall_detector.record_heartbeat(self.clock.now_us())

    def _record_heartbeat(self) -> None:
        if not self.is_catching_up():
            self.stall_detector.record_heartbeat(self.clock.now_us())
        self._schedule()

    def _schedule(self) -> None:
        interval_s = HEARTBEAT_INTERVAL_US / 1e6
        self._timer = asyncio.get_running_loop().call_later(interval_s, self._record_heartbeat)
