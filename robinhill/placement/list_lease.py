"""The lease on the list of workers: whether a scheduler may send by what it holds. No input or output.

Discovery renews the lease with each word that it writes: a list, changes, or an empty line. A change that is
missed counts as told a fixed time after discovery had it and could be reached, whether or not a process was
there to hear it. So the age of a list begins with discovery's word on it, never with the start of the process
that holds it, and a list of unknown age has no lease at all. Without the lease nothing is sent: requests are
held for as long as they are worth it, then refused.

Times are microseconds of the caller's clock, which must count real time.
"""

from dataclasses import dataclass
from enum import Enum

from robinhill import api
from robinhill.placement.watch_schedule import (
    LIST_CHANGE_BOUND_US,
    WATCH_SILENCE_TIMEOUT_US,
    list_change_bound_us,
)

RENEWAL_MARGIN_US = 1_000_000  # from a watch's silence to the answer to the call that follows
DISCOVERY_MOVE_BOUND_US = (
    4_000_000  # what the discovery at a new address has counts so long after the order to move
)


class ListOrigin(Enum):
    """Who told the list that is in use."""

    CONFIGURATION = "configuration"  # as the scheduler's last process had it; its age is not known
    PREDECESSOR = "predecessor"  # handed over by the process that this one replaces
    DISCOVERY = "discovery"


@dataclass(slots=True)
class ListLease:
    """Origin, version and age of the list in use, and until when it may be sent by."""

    duration_us: int = LIST_CHANGE_BOUND_US
    origin: ListOrigin = ListOrigin.CONFIGURATION
    version: int = 0
    confirmed_us: int | None = None  # when discovery last said so; None: not to our knowledge
    until_us: int = 0  # the lease's end
    moved_us: int | None = None  # when another address was named that has not been heard of yet

    @classmethod
    def from_settings(cls, settings: api.Settings, version: int) -> "ListLease":
        """For the list of the configuration, of this version.

        Where schedulers ask more often than watches speak, the lease still lasts from one word to the next.
        """
        return cls(
            max(WATCH_SILENCE_TIMEOUT_US + RENEWAL_MARGIN_US, list_change_bound_us(settings)), version=version
        )

    def inherit(self, version: int, confirmed_us: int | None, until_us: int) -> None:
        """The list is a predecessor's, confirmed then (None: never), and its lease ends at ``until_us``."""
        self.origin, self.version, self.confirmed_us = ListOrigin.PREDECESSOR, version, confirmed_us
        self.until_us = until_us if confirmed_us is not None else 0

    def renew(self, received_us: int, version: int) -> None:
        """Discovery's word was read: a list, its changes, or that nothing has changed since ``version``."""
        self.origin, self.version, self.confirmed_us = ListOrigin.DISCOVERY, version, received_us
        until_us = received_us + self.duration_us
        if self.moved_us is not None and received_us < self.moved_us:
            until_us = min(
                until_us, self.moved_us + DISCOVERY_MOVE_BOUND_US
            )  # a last word of the address before
        else:
            self.moved_us = None
        self.until_us = max(self.until_us, until_us)

    def record_moved(self, now_us: int) -> None:
        """Discovery is at another address: what it has counts from the first such order on, not the last."""
        if self.moved_us is None:
            self.moved_us = now_us
        self.until_us = min(self.until_us, self.moved_us + DISCOVERY_MOVE_BOUND_US)

    def record_unreachable(self, called_us: int, as_of_us: int) -> None:
        """A call begun at ``called_us`` shows that discovery could not be reached at ``as_of_us``.

        What it learns meanwhile counts from its return on. That helps only who was up to date by then.
        """
        if called_us >= self.until_us:
            return
        self.until_us = max(self.until_us, as_of_us + self.duration_us)
        if self.moved_us is not None:
            self.moved_us = max(self.moved_us, as_of_us)  # the new address was not there before, either

    def is_valid(self, now_us: int) -> bool:
        """Whether the list may be sent by."""
        return now_us < self.until_us

    def age_us(self, now_us: int) -> int | None:
        """How long ago discovery confirmed the list; None if nothing tells."""
        return None if self.confirmed_us is None else max(0, now_us - self.confirmed_us)

    def age_ms(self, now_us: int) -> int:
        """The same for log lines and figures, in milliseconds; -1 if nothing tells."""
        age_us = self.age_us(now_us)
        return -1 if age_us is None else age_us // 1000

    def log_fields(self, now_us: int) -> dict[str, object]:
        """For a log line."""
        return {
            "list_origin": self.origin.value,
            "list_version": self.version,
            "list_age_ms": self.age_ms(now_us),
        }
