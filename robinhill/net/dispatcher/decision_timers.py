"""The pending timers of the decision module."""

import asyncio
from collections.abc import Callable

from robinhill.net.clock import Clock
from robinhill.net.dispatcher.messages import TimerDue
from robinhill.placement import exported_state


class DecisionTimers:
    """Sets timers and lists the pending ones; calls ``notify`` with each timer when it is due."""

    def __init__(self, clock: Clock, notify: Callable[[TimerDue], None]) -> None:
        self.clock = clock
        self.notify = notify
        self._due_us: dict[TimerDue, int] = {}

    def set(self, after_us: int, tag: str) -> None:
        """Set a timer that is due after ``after_us`` microseconds; ``tag`` identifies it when it is due."""
        timer = TimerDue(tag)
        self._due_us[timer] = self.clock.now_us() + after_us
        asyncio.get_running_loop().call_later(after_us / 1e6, self.notify, timer)

    def fired(self, timer: TimerDue) -> None:
        """Remove a timer that has fired from the pending ones; called when ``TimerDue`` is handled."""
        self._due_us.pop(timer, None)

    def of_job(self, job: int) -> list[tuple[int, str]]:
        """The pending timers of a job: due time in microseconds, and tag."""
        return [
            (due_us, timer.tag)
            for timer, due_us in self._due_us.items()
            if exported_state.is_timer_of_job(timer.tag, job)
        ]
