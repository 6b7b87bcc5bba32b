"""The list of workers that a scheduler holds: where it came from, and as of when. No input or output.

Times are microseconds of the caller's clock.
"""

from dataclasses import dataclass
from enum import Enum


class ListOrigin(Enum):
    """Who told the list that is in use."""

    CONFIGURATION = "configuration"  # as the scheduler's last process had it; its age is not known
    PREDECESSOR = "predecessor"  # handed over by the process that this one replaces
    DISCOVERY = "discovery"


@dataclass(slots=True)
class ListLease:
    """Origin, version and age of the list in use."""

    origin: ListOrigin = ListOrigin.CONFIGURATION
    version: int = 0
    confirmed_us: int | None = None  # when discovery last said so to this process; None: it has not

    def known(self, origin: ListOrigin, version: int) -> None:
        """A list that discovery has not confirmed to this process."""
        self.origin, self.version, self.confirmed_us = origin, version, None

    def confirmed(self, now_us: int, version: int) -> None:
        """Discovery has told a list, its changes, or that nothing has changed since ``version``."""
        self.origin, self.version, self.confirmed_us = ListOrigin.DISCOVERY, version, now_us

    def age_us(self, now_us: int) -> int | None:
        """How long ago discovery confirmed the list; None if nothing tells."""
        return None if self.confirmed_us is None else max(0, now_us - self.confirmed_us)

    def fields(self, now_us: int) -> dict[str, object]:
        """For a log line; an age of -1 is not known."""
        age_us = self.age_us(now_us)
        return {
            "list_origin": self.origin.value,
            "list_version": self.version,
            "list_age_ms": -1 if age_us is None else age_us // 1000,
        }
