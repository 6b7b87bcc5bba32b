"""How many requests of a class may be let in and have no attempt out: the door's window on the module."""

from dataclasses import dataclass

FIRST = 8.0
FLOOR = 1.0  # the module always has the next request at hand when a worker becomes free
MOST = 32.0
SHRINK = 2 / 3
SHRINK_EVERY_US = 50_000  # what was let in together and had to wait is one sign, not many
# a request that is placed within it has found room at once; loops and mailboxes take a part
STALL_US = 20_000


@dataclass(slots=True)
class Window:
    """Grows by one with a job that finds room at once, falls by a third when one has to wait."""

    size: float = FIRST
    unplaced: int = 0
    shrunk_us: int = 0
    starts_wait: bool = False  # the last job of the class to begin had waited for it at its worker

    @property
    def open(self) -> bool:
        return self.unplaced < max(FLOOR, int(self.size))

    def placed(self, now: int, waited_us: int, more: bool) -> None:
        """An attempt is out, so long after the request was let in; ``more`` if others wait at the door."""
        if waited_us > STALL_US:
            self._shrink(now)
        elif more and not self.starts_wait:
            self.size = min(MOST, self.size + 1)

    def began(self, now: int, waited_us: int, patience_us: int) -> None:
        """The job runs; it waited so long at its worker."""
        self.starts_wait = waited_us > patience_us
        if self.starts_wait:
            self._shrink(now)

    def _shrink(self, now: int) -> None:
        if now - self.shrunk_us >= SHRINK_EVERY_US:
            self.shrunk_us, self.size = now, max(FLOOR, self.size * SHRINK)
