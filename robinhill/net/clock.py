"""The clocks of a process: Unix time that never steps back, and a monotonic clock that counts sleep."""

import time


class Clock:
    """Unix time in microseconds: anchored to the system's clock once, then advanced by the monotonic one.

    The decision module's clock must never step back, and workers' start times on the endpoint list are Unix
    time. ``offset_us``: an error of the host's clock, for tests.
    """

    def __init__(self, offset_us: int = 0) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns() + offset_us * 1000

    @property
    def anchor_ns(self) -> int:
        """Nanoseconds that are added to the monotonic clock."""
        return self._anchor

    def follow(self, anchor_ns: int) -> None:
        """Take over the anchor of another process on this host.

        Times that it hands over are on its scale; the host's clock may have been stepped since its start.
        """
        self._anchor = anchor_ns

    def now_us(self) -> int:
        """Unix time in microseconds."""
        return (self._anchor + time.monotonic_ns()) // 1000


def mono_us() -> int:
    """Monotonic microseconds, counting sleep of the host where the system has such a clock."""
    return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)) // 1000
