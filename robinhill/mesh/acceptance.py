"""Tracks which changes a majority of schedulers has confirmed, and which schedulers have not confirmed them.

A *change* is the write of a replicated record, identified by the record's stamp. A change that a majority has
confirmed is *accepted*. An *incarnation* identifies one process of a scheduler, and increases at each start.
"""

from dataclasses import dataclass, field

from robinhill.mesh.quorum import Quorum
from robinhill.mesh.records import Stamp

MAX_TRACKED_CHANGES = 4_096
"""Above this limit the change that was tracked first is no longer tracked, and is reported as not accepted.

Operators may repeat such a change."""


@dataclass(slots=True)
class _TrackedChange:
    tracked_since_us: int
    confirmed_by: dict[str, int] = field(default_factory=dict)  # scheduler -> its incarnation that confirmed
    accepted_us: int | None = None  # monotonic time; None until the change is accepted


class Acceptance:
    """Counts the confirmations of changes. An accepted change stays accepted.

    A confirmation is a scheduler's statement that it has stored a change. It counts if that scheduler was
    caught up (`Freshness.caught_up`) *when it wrote the confirmation*: a scheduler that stored the change
    before it caught up confirms the change again afterwards. The confirmation counts only until a newer
    incarnation of that scheduler is known. A new incarnation must therefore be received before any
    confirmation by a scheduler that knew of that incarnation. This holds because incarnations spread like
    records, and each link that relays a confirmation first delivers everything that the writer of the
    confirmation knew. The reasons for both rules are given in `freshness`.
    """

    def __init__(self, quorum: Quorum) -> None:
        self._quorum = quorum
        self._changes: dict[Stamp, _TrackedChange] = {}
        self._incarnations: dict[str, int] = {}

    def track(self, mono_us: int, stamp: Stamp) -> None:
        """Track a change that this scheduler has stored.

        The caller adds this scheduler's own confirmation with `confirmed`, once this scheduler is caught up.
        """
        if stamp in self._changes:
            return
        while len(self._changes) >= MAX_TRACKED_CHANGES:
            del self._changes[next(iter(self._changes))]
        self._changes[stamp] = _TrackedChange(mono_us)

    def started(self, peer: str, incarnation: int) -> None:
        """Record an incarnation of a peer; confirmations by its earlier incarnations no longer count.

        Changes that were accepted earlier stay accepted.
        """
        if incarnation <= self._incarnations.get(peer, 0):
            return
        if peer not in self._quorum.names:
            return
        self._incarnations[peer] = incarnation
        for change in self._changes.values():
            if change.accepted_us is None and change.confirmed_by.get(peer, incarnation) < incarnation:
                del change.confirmed_by[peer]

    def confirmed(self, mono_us: int, peer: str, incarnation: int, stamp: Stamp) -> bool:
        """Record that a caught-up scheduler has stored a change.

        Returns whether the change has become accepted by this confirmation.
        """
        change = self._changes.get(stamp)
        return change is not None and self._add_confirmation(mono_us, peer, incarnation, change)

    def confirmed_through(self, mono_us: int, peer: str, incarnation: int, head: Stamp) -> list[Stamp]:
        """Record that a caught-up scheduler has stored all changes of a process up to the change ``head``.

        That process is the incarnation of the scheduler that wrote ``head``; changes that other incarnations
        wrote are not included. Returns the changes that have become accepted by this confirmation.
        """
        return [
            stamp
            for stamp, change in self._changes.items()
            if (stamp.origin, stamp.incarnation) == (head.origin, head.incarnation)
            and stamp <= head
            and self._add_confirmation(mono_us, peer, incarnation, change)
        ]

    def accepted_us(self, stamp: Stamp) -> int | None:
        """Return the monotonic time when a change was accepted; None if it is not accepted or not tracked."""
        change = self._changes.get(stamp)
        return change.accepted_us if change is not None else None

    def unconfirmed(self, stamp: Stamp) -> list[str]:
        """Return the sorted names of the schedulers that have not confirmed a change.

        For a change that is not tracked, these are all schedulers.
        """
        change = self._changes.get(stamp)
        return sorted(self._quorum.names - (change.confirmed_by.keys() if change is not None else set()))

    def oldest_pending_us(self, mono_us: int) -> int:
        """Return the longest time for which an unaccepted change has been tracked; 0 if all are accepted."""
        pending = [change for change in self._changes.values() if change.accepted_us is None]
        return max((mono_us - change.tracked_since_us for change in pending), default=0)

    def forget(self, stamp: Stamp) -> None:
        """Stop tracking a change."""
        self._changes.pop(stamp, None)

    def reevaluate(self, mono_us: int) -> list[Stamp]:
        """Re-evaluate all changes after the list of schedulers has changed.

        Confirmations by schedulers that were removed are dropped. Returns the changes that have become
        accepted.
        """
        names = self._quorum.names
        for removed in self._incarnations.keys() - names:
            del self._incarnations[removed]
        for change in self._changes.values():
            for removed in change.confirmed_by.keys() - names:
                del change.confirmed_by[removed]
        return [stamp for stamp, change in self._changes.items() if self._accept(mono_us, change)]

    def _add_confirmation(self, mono_us: int, peer: str, incarnation: int, change: _TrackedChange) -> bool:
        if peer not in self._quorum.names or incarnation < self._incarnations.get(peer, 0):
            return False
        self.started(peer, incarnation)
        change.confirmed_by[peer] = incarnation
        return self._accept(mono_us, change)

    def _accept(self, mono_us: int, change: _TrackedChange) -> bool:
        if change.accepted_us is not None or not self._quorum.has_majority(change.confirmed_by.keys()):
            return False
        change.accepted_us = mono_us
        return True
