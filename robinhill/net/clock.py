"""One clock for all that the module is told."""

import time


class Clock:
    """Unix time in microseconds: anchored to the system's clock once, then advanced by the monotonic one.

    The module's clock must never step back, and discovery's ``startedAtMs`` is Unix time; on two scales a
    worker that has just started would look warm, or warm ones cold. ``offset_us``: the host's clock is wrong
    by so much, for tests of just that.
    """

    def __init__(self, offset_us: int = 0) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns() + offset_us * 1000

    @property
    def anchor_ns(self) -> int:
        """What is added to the monotonic clock."""
        return self._anchor

    def follow(self, anchor_ns: int) -> None:
        """Go by another process's anchor on this machine.

        Moments that it hands over are on its scale; the host's clock may have been stepped since its start.
        """
        self._anchor = anchor_ns

    def now_us(self) -> int:
        return (self._anchor + time.monotonic_ns()) // 1000


def mono_us() -> int:
    """A clock that also goes on while the host sleeps, where there is one."""
    return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)) // 1000
