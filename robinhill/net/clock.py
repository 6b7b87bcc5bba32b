"""The clocks of a process: Unix time that never steps back, and a monotonic clock that includes suspends."""

import time


class Clock:
    """Unix time in microseconds: set from the system clock once, then advanced by the monotonic clock.

    The decision module's clock must never step back, and workers' start times on the endpoint list are Unix
    time. ``offset_us``: a simulated error of the host's clock, for tests.
    """

    def __init__(self, offset_us: int = 0) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns() + offset_us * 1000

    @property
    def anchor_ns(self) -> int:
        """Nanoseconds between the monotonic clock and this clock's Unix time."""
        return self._anchor

    def adopt_anchor(self, anchor_ns: int) -> None:
        """Use the anchor of another process on this host.

        The times that the other process hands over refer to its anchor, and the host's clock may have been
        stepped since that process started.
        """
        self._anchor = anchor_ns

    def now_us(self) -> int:
        """Unix time in microseconds."""
        return (self._anchor + time.monotonic_ns()) // 1000


def mono_us() -> int:
    """Monotonic time in microseconds; includes time in suspend on systems that have CLOCK_BOOTTIME."""
    return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)) // 1000
