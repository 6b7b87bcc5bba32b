"""One clock for all that the module is told."""

import time


class Clock:
    """Unix time in microseconds: anchored to the system's clock once, then advanced by the monotonic one.

    The module's clock must never step back, and discovery's ``startedAtMs`` is Unix time; on two scales a
    worker that has just started would look warm, or warm ones cold.
    """

    def __init__(self) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        return (self._anchor + time.monotonic_ns()) // 1000
