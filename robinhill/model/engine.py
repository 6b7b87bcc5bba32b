"""Discrete-event simulation: planned calls run in the order of their times, equal times in planning order."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Engine:
    """A clock and a queue of planned calls. Times are whole microseconds; a call may plan further calls."""

    def __init__(self, start_us: int = 0) -> None:
        self._now = start_us
        self.steps = 0
        self._queue: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._planned_count = 0

    @property
    def now(self) -> int:
        return self._now

    def at(self, when_us: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Plan a call for a point in simulated time; a time in the past counts as the current time."""
        self._planned_count += 1
        heappush(self._queue, (max(int(when_us), self.now), self._planned_count, call, arguments))

    def after(self, delay_us: float, call: Callable[..., Any], *arguments: Any) -> None:
        self.at(self.now + max(0, int(delay_us)), call, *arguments)

    def run(self, until_us: int) -> None:
        """Run all calls planned for ``until_us`` or earlier, then set the clock to ``until_us``."""
        queue = self._queue
        while queue and queue[0][0] <= until_us:
            self._now, _, call, arguments = heappop(queue)
            self.steps += 1
            call(*arguments)
        self._now = max(self._now, until_us)
