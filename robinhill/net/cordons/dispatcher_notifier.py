"""Notifies the dispatcher of cordons and of the lease, and records which cordons the dispatcher confirmed.

This module owns the current set of cordoned targets at this process. Other modules decide which targets are
cordoned, and whether this scheduler holds the lease.
"""

from collections.abc import Callable

from robinhill.net.cordons.operator_calls import covers
from robinhill.net.dispatcher.messages import CordonsChanged, SendLeaseChanged

DispatcherMessage = CordonsChanged | SendLeaseChanged


class DispatcherNotifier:
    """Sends notifications to the dispatcher by ``notify``.

    ``on_applied`` is called with a notification's number once the dispatcher and all endpoints have applied
    it. ``targets`` are the targets in the last notification of cordons. ``applied_digest`` is the digest of
    the cordons that the dispatcher last confirmed. ``has_lease``: whether this scheduler held the lease at
    the last notification of the lease; True before the first notification.
    """

    def __init__(
        self,
        notify: Callable[[DispatcherMessage], None],
        on_applied: Callable[[int], None],
        applied_digest: bytes,
    ) -> None:
        self._notify = notify
        self._on_applied = on_applied
        self.applied_digest = applied_digest
        self.targets: frozenset[str] = frozenset()
        self.has_lease = True
        self._number = 0
        self._pending_digests: dict[int, bytes] = {}  # digests not yet confirmed, by notification number

    def notify_cordons(self, targets: frozenset[str], digest: bytes) -> None:
        """Replace the cordoned targets and notify the dispatcher; ``digest``: the digest of all cordons."""
        self.targets = targets
        self._number += 1
        number = self._number
        self._pending_digests[number] = digest
        self._notify(CordonsChanged(lambda worker: covers(targets, worker), lambda: self._on_applied(number)))

    def confirm_applied(self, number: int) -> bool:
        """Record that the dispatcher applied a notification. Returns whether ``applied_digest`` changed."""
        digest = self._pending_digests.pop(number)
        if digest == self.applied_digest:
            return False
        self.applied_digest = digest
        return True

    def notify_lease(self, has_lease: bool) -> None:
        """Notify the dispatcher if the lease was acquired or lost since the last notification."""
        if has_lease is not self.has_lease:
            self.has_lease = has_lease
            self._notify(SendLeaseChanged())
