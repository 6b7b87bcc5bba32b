"""The timers that the decision module has asked for."""

import asyncio
from collections.abc import Callable

from robinhill.net.clock import Clock
from robinhill.net.dispatcher.messages import TimerDue
from robinhill.placement import exported_state


class DecisionTimers:
    """Timers that are set; ``notify`` is called with each as it is due."""

    def __init__(self, clock: Clock, notify: Callable[[TimerDue], None]) -> None:
        self.clock = clock
        self.notify = notify
        self._due_us: dict[TimerDue, int] = {}

    def set(self, after_us: int, tag: str) -> None:
        """Set a timer."""
        timer = TimerDue(tag)
        self._due_us[timer] = self.clock.now_us() + after_us
        asyncio.get_running_loop().call_later(after_us / 1e6, self.notify, timer)

    def fired(self, timer: TimerDue) -> None:
        """Forget a timer that was due."""
        self._due_us.pop(timer, None)

    def of_job(self, job: int) -> list[tuple[int, str]]:
        """When timers about a job are due (us), with their tags."""
        return [
            (due_us, timer.tag)
            for timer, due_us in self._due_us.items()
            if exported_state.is_timer_of_job(timer.tag, job)
        ]
