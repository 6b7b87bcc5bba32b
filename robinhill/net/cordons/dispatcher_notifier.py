"""Notifies the dispatcher of cordons and of the lease, and keeps what it has confirmed.

It owns the targets that are cordoned at this process from this moment on. It decides neither which they are
nor whether there is a lease.
"""

from collections.abc import Callable

from robinhill.net.cordons.operator_calls import covers
from robinhill.net.dispatcher.messages import CordonsChanged, SendLeaseChanged

DispatcherMessage = CordonsChanged | SendLeaseChanged


class DispatcherNotifier:
    """``on_applied`` is called with a notification's number once the dispatcher and all endpoints have
    applied it.

    ``targets`` are the cordoned targets now; ``applied_digest`` is that of the cordons which the dispatcher
    has confirmed; ``has_lease`` is as it was notified last.
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
        self._pending_digests: dict[int, bytes] = {}  # by number of the notification

    def notify_cordons(self, targets: frozenset[str], digest: bytes) -> None:
        """Cordon these targets; ``digest`` is that of the cordons they are from."""
        self.targets = targets
        self._number += 1
        number = self._number
        self._pending_digests[number] = digest
        self._notify(CordonsChanged(lambda worker: covers(targets, worker), lambda: self._on_applied(number)))

    def confirm_applied(self, number: int) -> bool:
        """Record that the dispatcher has applied a notification. Returns whether that changes the digest."""
        digest = self._pending_digests.pop(number)
        if digest == self.applied_digest:
            return False
        self.applied_digest = digest
        return True

    def notify_lease(self, has_lease: bool) -> None:
        """Notify the dispatcher if the lease began or ended."""
        if has_lease is not self.has_lease:
            self.has_lease = has_lease
            self._notify(SendLeaseChanged())
