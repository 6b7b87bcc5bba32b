"""The lease on the endpoint list: whether a scheduler may send jobs to the workers on it. No I/O.

Each message of discovery (a list, changes, or an empty line) renews the lease. A change of the list takes
effect a fixed time after discovery has received it, even for a scheduler that has not received the change. If
discovery is unreachable when it receives the change, that time begins when discovery is reachable again. A
scheduler may therefore use a list only for a limited time after discovery has last confirmed it. The age of a
list counts from discovery's last message, never from the start of the process that uses the list, and a list
of unknown age has no lease. Without a valid lease no job is sent: requests are queued for as long as an
answer is useful, then rejected.

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

# Time allowed for the next call to discovery to respond after a watch without messages has timed out.
RENEWAL_MARGIN_US = 1_000_000
# A change of discovery's address takes effect after this time: messages from the previous address extend the
# lease to at most this long after the change.
ADDRESS_CHANGE_BOUND_US = 4_000_000
UNKNOWN_AGE_MS = -1


class ListOrigin(Enum):
    """Where the list in use was obtained."""

    CONFIGURATION = "configuration"  # written by an earlier process of this scheduler; its age is unknown
    PREDECESSOR = "predecessor"  # handed over by the process that this one replaces
    DISCOVERY = "discovery"


@dataclass(slots=True)
class ListLease:
    """Holds origin, version and age of the list in use, and the end of the lease on it (``until_us``)."""

    duration_us: int = LIST_CHANGE_BOUND_US  # how long the lease lasts after a message of discovery
    origin: ListOrigin = ListOrigin.CONFIGURATION
    version: int = 0
    confirmed_us: int | None = None  # when discovery last confirmed the list; None: unknown
    until_us: int = 0  # 0: the lease has never been valid, or is invalid because the list's age is unknown
    # When discovery's address changed to one that has not answered yet, or when that new address was last
    # unreachable; None: the current address has answered.
    address_changed_us: int | None = None

    @classmethod
    def from_settings(cls, settings: api.Settings, version: int) -> "ListLease":
        """Create a lease on the list from the configuration; it is not valid before its first renewal.

        ``version``: the version of that list.

        Each renewal lasts at least until a watch without messages has timed out and the next call has had
        ``RENEWAL_MARGIN_US`` to respond. Without this minimum, a short poll interval, which shortens the
        lease, would let it end between two messages of a watch.
        """
        duration_us = max(WATCH_SILENCE_TIMEOUT_US + RENEWAL_MARGIN_US, list_change_bound_us(settings))
        return cls(duration_us, version=version)

    def inherit(self, version: int, confirmed_us: int | None, until_us: int) -> None:
        """Adopt a predecessor's list and lease; if ``confirmed_us`` is None, the lease is invalid."""
        self.origin, self.version, self.confirmed_us = ListOrigin.PREDECESSOR, version, confirmed_us
        self.until_us = until_us if confirmed_us is not None else 0

    def renew(self, received_us: int, version: int) -> None:
        """Renew the lease because discovery has sent a list, changes, or no change since ``version``.

        A message received before a change of discovery's address extends the lease to at most
        ``ADDRESS_CHANGE_BOUND_US`` after that change.
        """
        self.origin, self.version, self.confirmed_us = ListOrigin.DISCOVERY, version, received_us
        until_us = received_us + self.duration_us
        if self.address_changed_us is not None and received_us < self.address_changed_us:
            # The message is from discovery's previous address.
            until_us = min(until_us, self.address_changed_us + ADDRESS_CHANGE_BOUND_US)
        else:
            self.address_changed_us = None
        self.until_us = max(self.until_us, until_us)

    def record_address_change(self, now_us: int) -> None:
        """Limit the lease because discovery has a new address.

        The limit counts from the first address change since discovery's last message, so repeated address
        changes do not extend the lease.
        """
        if self.address_changed_us is None:
            self.address_changed_us = now_us
        self.until_us = min(self.until_us, self.address_changed_us + ADDRESS_CHANGE_BOUND_US)

    def record_unreachable(self, called_us: int, as_of_us: int) -> None:
        """Extend the lease because a call begun at ``called_us`` found discovery unreachable at ``as_of_us``.

        For a change that discovery receives during an outage, the fixed time before it takes effect begins
        when discovery is reachable again. A lease that was valid at the start of the call is therefore
        extended to ``duration_us`` after ``as_of_us``.
        """
        if called_us >= self.until_us:
            return
        self.until_us = max(self.until_us, as_of_us + self.duration_us)
        if self.address_changed_us is not None:
            # The new address was unreachable too, so the bound of the address change counts from the time at
            # which it was last unreachable.
            self.address_changed_us = max(self.address_changed_us, as_of_us)

    def is_valid(self, now_us: int) -> bool:
        """Whether jobs may be sent to the workers on the list."""
        return now_us < self.until_us

    def age_us(self, now_us: int) -> int | None:
        """Time since discovery last confirmed the list; None if unknown."""
        return None if self.confirmed_us is None else max(0, now_us - self.confirmed_us)

    def age_ms(self, now_us: int) -> int:
        """The age in milliseconds for log lines and metrics; ``UNKNOWN_AGE_MS`` if unknown."""
        age_us = self.age_us(now_us)
        return UNKNOWN_AGE_MS if age_us is None else age_us // 1000

    def log_fields(self, now_us: int) -> dict[str, object]:
        """Origin, version and age of the list as fields of a log line."""
        return {
            "list_origin": self.origin.value,
            "list_version": self.version,
            "list_age_ms": self.age_ms(now_us),
        }
