"""Which changes of ours a majority of the schedulers hold, and who does not hold them yet."""

from dataclasses import dataclass, field

from robinhill.mesh.quorum import Quorum
from robinhill.mesh.records import Stamp

TRACKED_AT_MOST = 4_096
"""Changes followed at once: an operator's script that cordons a whole fleet. The oldest is let go first, and
then counts as not accepted: whoever waits for it sees that, and can ask again."""


@dataclass(slots=True)
class _Change:
    began_us: int
    by: dict[str, int] = field(default_factory=dict)  # who confirmed it, in which start
    accepted_us: int | None = None


class Acceptance:
    """Follows changes until they are accepted, which they then stay.

    A confirmation counts if its writer was caught up (`Freshness.caught_up`) *when it wrote it*: one who
    stored the change before it caught up confirms again afterwards. And it counts only for as long as we have
    not heard of a newer start of its writer. So starts must be told to us before what was confirmed later:
    they spread as records do, and a confirmation follows, on each link that passes it on, all that its writer
    knew. Why both are needed stands at the head of `freshness`.
    """

    def __init__(self, quorum: Quorum) -> None:
        self._quorum = quorum
        self._changes: dict[Stamp, _Change] = {}
        self._starts: dict[str, int] = {}

    def follow(self, mono_us: int, stamp: Stamp) -> None:
        """A change of ours was stored here. We ourselves confirm it as any other does, once we are caught
        up."""
        if stamp in self._changes:
            return
        while len(self._changes) >= TRACKED_AT_MOST:
            del self._changes[next(iter(self._changes))]
        self._changes[stamp] = _Change(mono_us)

    def started(self, peer: str, incarnation: int) -> None:
        """We heard of this start of a peer: what earlier ones confirmed counts no more for what is still
        open."""
        if incarnation <= self._starts.get(peer, 0):
            return
        if peer not in self._quorum.names:
            return
        self._starts[peer] = incarnation
        for change in self._changes.values():
            if change.accepted_us is None and change.by.get(peer, incarnation) < incarnation:
                del change.by[peer]

    def confirmed(self, mono_us: int, peer: str, incarnation: int, stamp: Stamp) -> bool:
        """A caught-up peer holds this change. True if it is accepted by that, for the first time."""
        change = self._changes.get(stamp)
        return change is not None and self._count(mono_us, peer, incarnation, change)

    def confirmed_through(self, mono_us: int, peer: str, incarnation: int, head: Stamp) -> list[Stamp]:
        """A caught-up peer holds all changes of this start of ``head``'s origin up to it; those that are
        accepted by that."""
        return [
            stamp
            for stamp, change in self._changes.items()
            if (stamp.origin, stamp.incarnation) == (head.origin, head.incarnation)
            and stamp <= head
            and self._count(mono_us, peer, incarnation, change)
        ]

    def accepted_us(self, stamp: Stamp) -> int | None:
        """When, on our clock, a change was accepted; None if it is not, or is not followed."""
        change = self._changes.get(stamp)
        return change.accepted_us if change is not None else None

    def unconfirmed(self, stamp: Stamp) -> list[str]:
        """Who has not confirmed a change, sorted; all if it is not followed."""
        change = self._changes.get(stamp)
        return sorted(self._quorum.names - (change.by.keys() if change is not None else set()))

    def open_us(self, mono_us: int) -> int:
        """For how long the oldest change has been waiting to be accepted; 0 if there is none."""
        return max(
            (mono_us - one.began_us for one in self._changes.values() if one.accepted_us is None), default=0
        )

    def forget(self, stamp: Stamp) -> None:
        """Nobody waits for this change any more."""
        self._changes.pop(stamp, None)

    def review(self, mono_us: int) -> list[Stamp]:
        """After the list of schedulers changed: what is accepted by that."""
        names = self._quorum.names
        for gone in self._starts.keys() - names:
            del self._starts[gone]
        for change in self._changes.values():
            for gone in change.by.keys() - names:
                del change.by[gone]
        return [stamp for stamp, change in self._changes.items() if self._accept(mono_us, change)]

    def _count(self, mono_us: int, peer: str, incarnation: int, change: _Change) -> bool:
        if peer not in self._quorum.names or incarnation < self._starts.get(peer, 0):
            return False
        self.started(peer, incarnation)
        change.by[peer] = incarnation
        return self._accept(mono_us, change)

    def _accept(self, mono_us: int, change: _Change) -> bool:
        if change.accepted_us is not None or not self._quorum.met(change.by.keys()):
            return False
        change.accepted_us = mono_us
        return True
