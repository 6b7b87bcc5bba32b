"""The lease on the endpoint list: whether a scheduler may send by the list that it has. No input or output.

Discovery renews the lease with each message: a list, changes, or an empty line. A change that is missed is in
force a fixed time after discovery had it and could be reached, whether or not a process was there to receive
it. So the age of a list counts from discovery's last message about it, never from the start of the process
that has it, and a list of unknown age has no lease. Without the lease nothing is sent: requests are queued
for as long as an answer is of use, then rejected.

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
ADDRESS_CHANGE_BOUND_US = 4_000_000  # the list at a new address is in force so long after the order to move
UNKNOWN_AGE_MS = -1


class ListOrigin(Enum):
    """Where the list in use is from."""

    CONFIGURATION = "configuration"  # written by the scheduler's last process; of unknown age
    PREDECESSOR = "predecessor"  # handed over by the process that this one replaces
    DISCOVERY = "discovery"


@dataclass(slots=True)
class ListLease:
    """Origin, version and age of the list in use, and until when the lease on it is valid."""

    duration_us: int = LIST_CHANGE_BOUND_US
    origin: ListOrigin = ListOrigin.CONFIGURATION
    version: int = 0
    confirmed_us: int | None = None  # when discovery last confirmed the list; None: not that we know
    until_us: int = 0
    address_changed_us: int | None = None  # when discovery got another address that has not answered yet

    @classmethod
    def from_settings(cls, settings: api.Settings, version: int) -> "ListLease":
        """For the list of the configuration, of this version.

        Where schedulers poll more often than watches renew, the lease lasts from one renewal to the next.
        """
        duration_us = max(WATCH_SILENCE_TIMEOUT_US + RENEWAL_MARGIN_US, list_change_bound_us(settings))
        return cls(duration_us, version=version)

    def inherit(self, version: int, confirmed_us: int | None, until_us: int) -> None:
        """Go on with a predecessor's list and lease; without ``confirmed_us`` there is no lease."""
        self.origin, self.version, self.confirmed_us = ListOrigin.PREDECESSOR, version, confirmed_us
        self.until_us = until_us if confirmed_us is not None else 0

    def renew(self, received_us: int, version: int) -> None:
        """Discovery has sent a list, its changes, or that nothing has changed since ``version``."""
        self.origin, self.version, self.confirmed_us = ListOrigin.DISCOVERY, version, received_us
        until_us = received_us + self.duration_us
        if (
            self.address_changed_us is not None and received_us < self.address_changed_us
        ):  # from the address before
            until_us = min(until_us, self.address_changed_us + ADDRESS_CHANGE_BOUND_US)
        else:
            self.address_changed_us = None
        self.until_us = max(self.until_us, until_us)

    def record_address_change(self, now_us: int) -> None:
        """Discovery is at another address; of several such orders the first without an answer counts."""
        if self.address_changed_us is None:
            self.address_changed_us = now_us
        self.until_us = min(self.until_us, self.address_changed_us + ADDRESS_CHANGE_BOUND_US)

    def record_unreachable(self, called_us: int, as_of_us: int) -> None:
        """A call begun at ``called_us`` shows that discovery was unreachable at ``as_of_us``.

        What it learns meanwhile is in force only after its return, so a lease that was valid at the call goes
        on.
        """
        if called_us >= self.until_us:
            return
        self.until_us = max(self.until_us, as_of_us + self.duration_us)
        if self.address_changed_us is not None:
            self.address_changed_us = max(
                self.address_changed_us, as_of_us
            )  # the new address was not there before, either

    def is_valid(self, now_us: int) -> bool:
        """Whether work may be sent by the list."""
        return now_us < self.until_us

    def age_us(self, now_us: int) -> int | None:
        """How long ago discovery confirmed the list; None if that is not known."""
        return None if self.confirmed_us is None else max(0, now_us - self.confirmed_us)

    def age_ms(self, now_us: int) -> int:
        """The same for log lines and metrics, in milliseconds, or ``UNKNOWN_AGE_MS``."""
        age_us = self.age_us(now_us)
        return UNKNOWN_AGE_MS if age_us is None else age_us // 1000

    def log_fields(self, now_us: int) -> dict[str, object]:
        """Origin, version and age as fields of a log line."""
        return {
            "list_origin": self.origin.value,
            "list_version": self.version,
            "list_age_ms": self.age_ms(now_us),
        }
