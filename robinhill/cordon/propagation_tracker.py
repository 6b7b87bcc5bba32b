"""Tracks how far this process's changes of cordons have propagated, from all schedulers' acknowledgements.

Each scheduler has a copy of all cordons. Its acknowledgement (`mesh.acknowledgements`) contains digests of
the cordons that its dispatcher has applied. Merging never removes information from a copy. So if a scheduler
has applied a value which this process's copy held directly after a change or later, it has applied the
change. A digest of a value that this process's copy never held confirms nothing. That only delays the
confirmation: once the two copies are equal, so are their digests.

This module performs no I/O: the caller passes in acknowledgements and times. ``mono_us`` is microseconds of
this process's monotonic clock.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from robinhill.cordon.peer_state import PeerState
from robinhill.cordon.propagation import (
    Mode,
    ProcessStatus,
    Propagation,
    Propagations,
    PropagationStage,
    Scheduler,
)
from robinhill.mesh.acceptance import Acceptance
from robinhill.mesh.acknowledgements import MAX_RECENT_CHANGES, Acknowledgement, AppliedDigests
from robinhill.mesh.quorum import Quorum
from robinhill.mesh.records import Record, Stamp

MAX_DIGESTS = 256  # number of digests retained for each change and target; dropped digests confirm nothing
MODES = {mode.value for mode in Mode}


@dataclass(slots=True, eq=False)
class TrackedChange:
    """A change that this process wrote, and the digests that confirm it in a scheduler's acknowledgement.

    ``began_us``: when the change was written, on the monotonic clock. ``stamps``: the stamps of the written
    records, by target. ``digests``: by changed target, the digests of the values that this process's copy has
    held since the change. ``overall_digests``: the digests of all cordons in that copy since the change.
    """

    key: str
    cordon_id: str
    began_us: int
    propagation: Propagation
    stamps: dict[str, Stamp]
    digests: dict[str, deque[bytes]] = field(default_factory=dict)
    overall_digests: deque[bytes] = field(default_factory=lambda: deque(maxlen=MAX_DIGESTS))

    def is_confirmed_by(self, acknowledgement: Acknowledgement) -> bool:
        """Return whether the scheduler that wrote the acknowledgement has applied this change."""
        recent = dict(acknowledgement.recent_digests)
        return acknowledgement.applied_digest in self.overall_digests or all(
            recent.get(target) in digests for target, digests in self.digests.items()
        )


class PropagationTracker:
    """The tracked changes of this process, and the known state of the other schedulers.

    ``applied``: the digests of the cordons in this process's copy. ``recent_targets``: the most recently
    changed targets, at most MAX_RECENT_CHANGES, the latest at the end. ``bound_us``: the bound (upper limit
    of the propagation time) that this scheduler is configured with.
    """

    def __init__(self, own_name: str, mode: Mode, bound_us: int, quorum: Quorum) -> None:
        self.own_name, self.mode, self.bound_us = own_name, mode, bound_us
        self.quorum = quorum
        self.incarnation = 0  # of this process
        self.peers: dict[str, PeerState] = {}
        self.applied = AppliedDigests()
        self.recent_targets: dict[str, None] = {}
        self.propagations = Propagations()
        self.acceptance = Acceptance(quorum)
        self._changes: dict[str, TrackedChange] = {}

    def reconfigure(self, mono_us: int, names: Iterable[str]) -> None:
        """Apply a new list of configured schedulers, and drop the state of removed ones."""
        configured = set(names) - {self.own_name}
        for removed in sorted(self.peers.keys() - configured):
            del self.peers[removed]
            for propagation in self.propagations.pending():
                propagation.remove_scheduler(mono_us, removed)
        for name in sorted(configured - self.peers.keys()):
            self.peers[name] = PeerState()
            self._update_propagations(mono_us, name)
        for stamp in self.acceptance.reevaluate(mono_us):
            self._mark_accepted(mono_us, stamp)

    # Changes

    def record_value(self, target: str, value: bytes) -> None:
        """Record that this process's copy has the encoded ``value`` for a target from this time on."""
        digest = self.applied.put(target, value)
        self.recent_targets.pop(target, None)
        self.recent_targets[target] = None
        if len(self.recent_targets) > MAX_RECENT_CHANGES:
            del self.recent_targets[next(iter(self.recent_targets))]
        for change in self._changes.values():
            if target in change.digests:
                change.digests[target].append(digest)
            change.overall_digests.append(self.applied.combined)

    def track(
        self,
        mono_us: int,
        key: str,
        cordon_id: str,
        written: Sequence[Record],
        *,
        is_lift: bool,
        deadline_us: int | None,
        stored: bool,
    ) -> TrackedChange:
        """Track a change that this process has just written. Call `record_value` for its records afterwards.

        ``written``: the records of the change. ``stored``: whether the change counts as stored at once. If
        not, it counts as stored after `mark_all_stored`. Raises TooManyCalls if the maximum number of changes
        is tracked and callers wait for all of them.
        """
        description = f"the lift of {cordon_id}" if is_lift else cordon_id
        schedulers = [self.scheduler(mono_us, name) for name in sorted({*self.peers, self.own_name})]
        propagation = Propagation(
            description, self.own_name, self.mode, schedulers, is_lift=is_lift, deadline_us=deadline_us
        )
        self.propagations.add(key, propagation)
        change = TrackedChange(key, cordon_id, mono_us, propagation, {r.key: r.stamp for r in written})
        change.digests = {r.key: deque(maxlen=MAX_DIGESTS) for r in written}
        for record in written:
            self.acceptance.track(mono_us, record.stamp)
        self._changes[key] = change
        self._forget_evicted()
        if stored:
            propagation.mark_stored(mono_us)
        return change

    def get(self, key: str) -> TrackedChange | None:
        """Return the change with this key; None if it is not tracked."""
        return self._changes.get(key)

    def pending(self) -> list[TrackedChange]:
        """Return the changes that are not in force yet."""
        in_force = PropagationStage.IN_FORCE
        return [change for change in self._changes.values() if change.propagation.stage is not in_force]

    def mark_all_stored(self, mono_us: int) -> None:
        """Mark all tracked changes as stored; called when this process begins to count for majorities."""
        for change in self._changes.values():
            change.propagation.mark_stored(mono_us)

    def missing_holders(self, change: TrackedChange) -> tuple[str, ...]:
        """Return the names of the schedulers that are not known to store a change, ascending."""
        missing = {name for stamp in change.stamps.values() for name in self.acceptance.unconfirmed(stamp)}
        return tuple(sorted(missing))

    def _forget_evicted(self) -> None:
        """Stop tracking the changes whose propagation was evicted."""
        for key in [k for k in self._changes if self.propagations.get(k) is None]:
            for stamp in self._changes.pop(key).stamps.values():
                self.acceptance.forget(stamp)

    def _confirm_changes(self, mono_us: int, name: str, acknowledgement: Acknowledgement) -> None:
        for change in self.pending():
            if not change.is_confirmed_by(acknowledgement):
                continue
            if acknowledgement.caught_up:
                for stamp in change.stamps.values():
                    if self.acceptance.confirmed(mono_us, name, acknowledgement.incarnation, stamp):
                        self._mark_accepted(mono_us, stamp)
            change.propagation.record_confirmation(mono_us, name, acknowledgement.incarnation)

    def _mark_accepted(self, mono_us: int, stamp: Stamp) -> None:
        for change in self.pending():
            stamps = change.stamps.values()
            if stamp in stamps and all(self.acceptance.accepted_us(s) is not None for s in stamps):
                change.propagation.mark_accepted(mono_us)

    # Schedulers

    def record_acknowledgement(self, mono_us: int, name: str, acknowledgement: Acknowledgement) -> None:
        """Record an acknowledgement that a peer or this scheduler itself has written.

        The acknowledgement confirms the pending changes that it shows as applied.
        """
        if name == self.own_name:
            self._confirm_changes(mono_us, name, acknowledgement)
        elif (peer := self.peers.get(name)) is not None:
            peer.acknowledgement = acknowledgement
            self.record_start(mono_us, name, acknowledgement.incarnation)
            self._update_propagations(mono_us, name)
            if peer.current_acknowledgement:
                self._confirm_changes(mono_us, name, acknowledgement)

    def record_start(self, mono_us: int, name: str, incarnation: int) -> bool:
        """Record the incarnation of a peer.

        Returns whether the peer has restarted, that is, whether a lower incarnation of the peer was known.
        """
        peer = self.peers[name]
        if incarnation <= peer.incarnation:
            return False
        restarted, peer.incarnation = peer.incarnation > 0, incarnation
        self.acceptance.started(name, incarnation)
        self._update_propagations(mono_us, name)
        return restarted

    def record_link(self, mono_us: int, name: str, linked: bool) -> None:
        """Record that the link to a peer came up or went down."""
        if (peer := self.peers.get(name)) is not None:
            peer.linked, peer.link_changed_us = linked, mono_us
            self._update_propagations(mono_us, name)

    def scheduler(self, mono_us: int, name: str) -> Scheduler:
        """Return the state of a configured scheduler at ``mono_us``, in the form that propagations use."""
        if name == self.own_name:
            return Scheduler(name, self.incarnation, ProcessStatus.ALIVE, self.mode, self.bound_us)
        peer = self.peers[name]
        status = peer.status(mono_us)
        current = peer.current_acknowledgement
        if current is None:
            return Scheduler(name, peer.incarnation, status)
        # A mode that only newer versions know becomes None. Then the expiry of the scheduler's lease does not
        # prove that it has stopped sending, so the scheduler must confirm each change.
        mode = Mode(current.mode) if current.mode in MODES else None
        return Scheduler(name, peer.incarnation, status, mode, current.bound_us)

    def lagging_peers(self, target: str) -> tuple[str, ...]:
        """Return the peers that are not known to have applied this process's value of a target's cordons.

        The names ascend. A peer that has left is not among them, because it sends no more attempts.
        """
        digest, combined_digest = self.applied.get(target), self.applied.combined
        return tuple(
            name
            for name, peer in sorted(self.peers.items())
            if peer.is_lagging(target, digest, combined_digest)
        )

    def _update_propagations(self, mono_us: int, name: str) -> None:
        scheduler = self.scheduler(mono_us, name)
        for propagation in self.propagations.pending():
            propagation.update_scheduler(mono_us, scheduler)
