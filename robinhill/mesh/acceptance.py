"""Which changes of this scheduler are confirmed by a majority, and which schedulers have not confirmed
them."""

from dataclasses import dataclass, field

from robinhill.mesh.quorum import Quorum
from robinhill.mesh.records import Stamp

MAX_TRACKED_CHANGES = 4_096
"""Beyond it the oldest change is dropped and counts as not accepted; the operator may repeat the request."""


@dataclass(slots=True)
class _TrackedChange:
    followed_us: int
    confirmed_by: dict[str, int] = field(default_factory=dict)  # scheduler: its incarnation
    accepted_us: int | None = None


class Acceptance:
    """Tracks changes until they are accepted; they stay accepted then.

    A confirmation counts if its writer was caught up (`Freshness.caught_up`) *when it wrote it*: one that
    stored the change before it caught up confirms again afterwards. It counts only until a newer incarnation
    of its writer is known. Incarnations must therefore arrive before what was confirmed later: they spread as
    records do, and a confirmation follows, on each link that relays it, everything that its writer knew.
    The reasons for both are given in `freshness`.
    """

    def __init__(self, quorum: Quorum) -> None:
        self._quorum = quorum
        self._changes: dict[Stamp, _TrackedChange] = {}
        self._incarnations: dict[str, int] = {}

    def follow(self, mono_us: int, stamp: Stamp) -> None:
        """Track a change that was stored here; confirmed by ourselves too once we are caught up."""
        if stamp in self._changes:
            return
        while len(self._changes) >= MAX_TRACKED_CHANGES:
            del self._changes[next(iter(self._changes))]
        self._changes[stamp] = _TrackedChange(mono_us)

    def started(self, peer: str, incarnation: int) -> None:
        """An incarnation of a peer became known: confirmations of earlier ones no longer count."""
        if incarnation <= self._incarnations.get(peer, 0):
            return
        if peer not in self._quorum.names:
            return
        self._incarnations[peer] = incarnation
        for change in self._changes.values():
            if change.accepted_us is None and change.confirmed_by.get(peer, incarnation) < incarnation:
                del change.confirmed_by[peer]

    def confirmed(self, mono_us: int, peer: str, incarnation: int, stamp: Stamp) -> bool:
        """A caught-up peer has stored this change. True if it is accepted by that, for the first time."""
        change = self._changes.get(stamp)
        return change is not None and self._count(mono_us, peer, incarnation, change)

    def confirmed_through(self, mono_us: int, peer: str, incarnation: int, head: Stamp) -> list[Stamp]:
        """A caught-up peer has stored all changes of ``head``'s origin and incarnation up to it.

        Returns the changes that are accepted by that.
        """
        return [
            stamp
            for stamp, change in self._changes.items()
            if (stamp.origin, stamp.incarnation) == (head.origin, head.incarnation)
            and stamp <= head
            and self._count(mono_us, peer, incarnation, change)
        ]

    def accepted_us(self, stamp: Stamp) -> int | None:
        """When (monotonic) a change was accepted; None if it is not, or is not tracked."""
        change = self._changes.get(stamp)
        return change.accepted_us if change is not None else None

    def unconfirmed(self, stamp: Stamp) -> list[str]:
        """Names of who has not confirmed a change, sorted; all if it is not tracked."""
        change = self._changes.get(stamp)
        return sorted(self._quorum.names - (change.confirmed_by.keys() if change is not None else set()))

    def open_us(self, mono_us: int) -> int:
        """For how long the oldest change has not been accepted; 0 if there is none."""
        pending = [one for one in self._changes.values() if one.accepted_us is None]
        return max((mono_us - one.followed_us for one in pending), default=0)

    def forget(self, stamp: Stamp) -> None:
        """Stop tracking a change."""
        self._changes.pop(stamp, None)

    def review(self, mono_us: int) -> list[Stamp]:
        """The list of schedulers has changed: the changes that are accepted by that."""
        names = self._quorum.names
        for removed in self._incarnations.keys() - names:
            del self._incarnations[removed]
        for change in self._changes.values():
            for removed in change.confirmed_by.keys() - names:
                del change.confirmed_by[removed]
        return [stamp for stamp, change in self._changes.items() if self._accept(mono_us, change)]

    def _count(self, mono_us: int, peer: str, incarnation: int, change: _TrackedChange) -> bool:
        if peer not in self._quorum.names or incarnation < self._incarnations.get(peer, 0):
            return False
        self.started(peer, incarnation)
        change.confirmed_by[peer] = incarnation
        return self._accept(mono_us, change)

    def _accept(self, mono_us: int, change: _TrackedChange) -> bool:
        if change.accepted_us is not None or not self._quorum.met(change.confirmed_by.keys()):
            return False
        change.accepted_us = mono_us
        return True
