"""The clocks of a process: Unix time that never steps back, and a monotonic clock that includes suspends."""

import time


class Clock:
    """Unix time in microseconds: set from the system clock once, then advanced by the monotonic clock.

    The code that decides about requests (``robinhill.placement``) requires a clock that never steps back, and
    workers' start times on the endpoint list are Unix time. ``offset_us``: a simulated error of the host's
    clock, for tests.
    """

    def __init__(self, offset_us: int = 0) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns() + offset_us * 1000

    @property
    def anchor_ns(self) -> int:
        """This clock's Unix time minus the monotonic clock's time, in nanoseconds."""
        return self._anchor

    def adopt_anchor(self, anchor_ns: int) -> None:
        """Use the ``anchor_ns`` of another process on this host.

        The times that the other process hands over were read from a clock with its anchor. This process's own
        anchor may differ, as the host's system clock may have been stepped since the other process started.
        """
        self._anchor = anchor_ns

    def now_us(self) -> int:
        """Unix time in microseconds."""
        return (self._anchor + time.monotonic_ns()) // 1000


def mono_us() -> int:
    """Monotonic time in microseconds.

    It includes the time during which the host was suspended, on systems that have CLOCK_BOOTTIME.
    """
    return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)) // 1000
