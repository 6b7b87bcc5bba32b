"""The propagation of a change of cordons: its stage, and the schedulers that have not confirmed the change.

Each scheduler runs in one of two modes (`Mode`): without a lease it sends no new attempts (``hold``), or it
continues to send (``serve``). A change, which sets or lifts a cordon, passes the stages received, stored (at
this process), accepted and in force. Under ``hold`` the change is accepted once a majority of the configured
schedulers stores it (`mesh.acceptance` counts these schedulers), under ``serve`` as soon as this process
stores it. A change that sets a cordon is in force once one of the following is true of each scheduler:

- it has confirmed, *after its last send to the target's workers*, that it has applied the change;
- it has left: its process announced its own end after its last send;
- it is known to run under ``hold``, and its bound (the upper limit of the propagation time) has passed since
  a majority was known to store the change. docs/mesh.md explains why the scheduler can't send after that. The
  rule fails if a partitioned scheduler changes to ``serve``, so all schedulers must run in the same mode.

A lift is in force once each scheduler has confirmed that it has applied the lift, or has left.
A partitioned scheduler keeps the worker cordoned for as long as the partition lasts.

An unreachable scheduler (suspect or gone) can't be assumed to have stopped: it may still send on its side of
a partition. A confirmation does not count for a later process of the same scheduler, which may have lost its
state.

This module performs no I/O. Times are microseconds of this process's monotonic clock (``mono_us``) and are
never compared with times of another process.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

from robinhill.cordon import limits
from robinhill.cordon.errors import BoundNotMet, CordonError, NotAccepted, TooManyCalls


class Mode(Enum):
    """Whether a scheduler sends attempts while it has no lease, and so may not know the latest cordons."""

    SERVE = "serve"
    """The scheduler continues to send."""
    HOLD = "hold"
    """The scheduler sends no new attempts."""


class ProcessStatus(Enum):
    """State of a scheduler's process as known to this scheduler.

    The values are part of the reasons why a scheduler is unconfirmed, which operators receive.
    """

    UNKNOWN = "not heard from since this scheduler started"
    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
    """There has been no link to the process for longer than `peer_state.GONE_AFTER_US`; it may still run."""
    LEFT = "left"
    """The process announced its end in an acknowledgement that it wrote after its last send."""


class PropagationStage(IntEnum):
    """Stage of a change's propagation; a change never returns to an earlier stage."""

    RECEIVED = 0
    STORED = 1
    ACCEPTED = 2
    IN_FORCE = 3


@dataclass(slots=True, frozen=True)
class Scheduler:
    """The state of one scheduler as known to this scheduler.

    ``incarnation``: the scheduler's latest known incarnation; 0 if none is known. ``mode`` and ``bound_us``
    are from the last acknowledgement by this incarnation; None and 0 without such an acknowledgement.
    ``mode`` is also None if this version of the program does not know the scheduler's mode.
    """

    name: str
    incarnation: int = 0
    status: ProcessStatus = ProcessStatus.UNKNOWN
    mode: Mode | None = None
    bound_us: int = 0


@dataclass(slots=True, frozen=True)
class Unconfirmed:
    """A scheduler that may still act as if the change had not been made, and the reason (``why``)."""

    name: str
    why: str


def with_slack(bound_us: int) -> int:
    """Return the bound plus margins for clock drift and for a send that is still on its way to a worker."""
    return bound_us + int(bound_us * limits.CLOCK_DRIFT_SHARE) + limits.SEND_SLACK_US


class Propagation:
    """The propagation of one change to all schedulers.

    ``schedulers`` are all configured schedulers, including this one (``own_name``). ``deadline_us`` is when
    the caller stops waiting for the change to be in force; None if no caller waits.
    """

    def __init__(
        self,
        description: str,
        own_name: str,
        mode: Mode,
        schedulers: Iterable[Scheduler],
        *,
        is_lift: bool = False,
        deadline_us: int | None = None,
    ) -> None:
        self.description = description
        self.own_name = own_name
        self.mode = mode
        self.is_lift = is_lift
        self.deadline_us = deadline_us
        self.stage = PropagationStage.RECEIVED
        self.majority_since_us: int | None = None  # when a majority was first known to store the change
        self._schedulers = {s.name: s for s in schedulers}
        if own_name not in self._schedulers:
            raise ValueError(f"{own_name} is not among the schedulers")
        # By scheduler: the latest incarnation that has confirmed the change.
        self._confirmed_incarnations: dict[str, int] = {}

    def mark_stored(self, mono_us: int) -> None:
        """Record that the change counts as stored at this process, see `PropagationTracker.track`."""
        self.stage = max(self.stage, PropagationStage.STORED)
        self.advance(mono_us)

    def mark_accepted(self, mono_us: int) -> None:
        """Record that a majority stores the change, which remains accepted even if the majority is lost."""
        if self.majority_since_us is None:
            self.majority_since_us = mono_us
        self.advance(mono_us)

    def record_confirmation(self, mono_us: int, name: str, incarnation: int) -> None:
        """Record that a scheduler's dispatcher applied the change, so that all its later sends respect it."""
        if name in self._schedulers:
            known = self._confirmed_incarnations.get(name, incarnation)
            self._confirmed_incarnations[name] = max(incarnation, known)
        self.advance(mono_us)

    def update_scheduler(self, mono_us: int, scheduler: Scheduler) -> None:
        """Record the state of a scheduler. A new scheduler must confirm the change too, as it may send."""
        known = self._schedulers.get(scheduler.name)
        if known is None or scheduler.incarnation >= known.incarnation:
            self._schedulers[scheduler.name] = scheduler
        self.advance(mono_us)

    def remove_scheduler(self, mono_us: int, name: str) -> None:
        """Remove a scheduler that operators removed from the configuration because it no longer runs."""
        if name != self.own_name:
            self._schedulers.pop(name, None)
            self._confirmed_incarnations.pop(name, None)
        self.advance(mono_us)

    def advance(self, mono_us: int) -> PropagationStage:
        """Advance the stage as far as the recorded state allows, and return it."""
        if self.stage is PropagationStage.STORED and self._is_accepted():
            self.stage = PropagationStage.ACCEPTED
        if self.stage is PropagationStage.ACCEPTED and not self.unconfirmed(mono_us):
            self.stage = PropagationStage.IN_FORCE
        return self.stage

    def unconfirmed(self, mono_us: int) -> tuple[Unconfirmed, ...]:
        """Return the schedulers that may still act without the change, by name; none once it is in force."""
        if self.stage is PropagationStage.IN_FORCE:
            return ()
        checked = (self._check_scheduler(s, mono_us) for _, s in sorted(self._schedulers.items()))
        return tuple(unconfirmed for unconfirmed in checked if unconfirmed is not None)

    def next_deadline_us(self) -> int | None:
        """Return when the stage or the caller's wait may change without a further event; None if never.

        This is the earlier of two times: the caller's deadline, and the expiry of the last lease of the
        unconfirmed schedulers, if the change will then be in force without further confirmations.
        """
        if self.stage is PropagationStage.IN_FORCE:
            return None
        deadlines = [] if self.deadline_us is None else [self.deadline_us]
        if self.majority_since_us is not None:
            waiting = [self._schedulers[u.name] for u in self.unconfirmed(self.majority_since_us)]
            if all(self._is_bound_by_lease(s) for s in waiting):
                max_bound_us = max((with_slack(s.bound_us) for s in waiting), default=0)
                deadlines.append(self.majority_since_us + max_bound_us)
        return min(deadlines, default=None)

    def failure(self, mono_us: int, missing: Sequence[str] = ()) -> CordonError | None:
        """Return the error for a caller whose wait has ended; None if the change is in force.

        ``missing`` are the schedulers that are not known to store the change.
        """
        if self.advance(mono_us) is PropagationStage.IN_FORCE:
            return None
        if self.stage is PropagationStage.ACCEPTED:
            return BoundNotMet(self.description, [f"{u.name} ({u.why})" for u in self.unconfirmed(mono_us)])
        return NotAccepted(self.description, missing)

    def _is_accepted(self) -> bool:
        return self.mode is Mode.SERVE or self.majority_since_us is not None

    def _has_confirmed(self, scheduler: Scheduler) -> bool:
        """Return whether a process of at least ``scheduler.incarnation`` has confirmed the change."""
        confirmed = self._confirmed_incarnations.get(scheduler.name)
        return confirmed is not None and confirmed >= scheduler.incarnation

    def _is_bound_by_lease(self, scheduler: Scheduler) -> bool:
        """Return whether the scheduler can't act without the change any more once its lease has expired.

        This is False for a lift, as the scheduler continues to cordon the worker after its lease has expired,
        and for a scheduler that is not known to run under ``hold``.
        """
        return not self.is_lift and scheduler.mode is Mode.HOLD and scheduler.bound_us > 0

    def _check_scheduler(self, scheduler: Scheduler, mono_us: int) -> Unconfirmed | None:
        """Return why a scheduler may still act without the change; None if it can't."""
        status = scheduler.status
        if status is ProcessStatus.LEFT or self._has_confirmed(scheduler):
            return None
        if self._is_bound_by_lease(scheduler):
            since_us = self.majority_since_us
            if since_us is not None and mono_us >= since_us + with_slack(scheduler.bound_us):
                return None
            return Unconfirmed(scheduler.name, f"{status.value}, its lease may not have expired")
        if scheduler.name in self._confirmed_incarnations:
            return Unconfirmed(scheduler.name, f"{status.value}, restarted after it confirmed")
        return Unconfirmed(scheduler.name, status.value)


class Propagations:
    """A bounded table of propagations, by key.

    The key is the dot of the write that set the cordon; for a lift the caller chooses a unique key. At
    capacity, propagations that are in force are evicted first, then propagations without a waiting caller.
    """

    def __init__(self, capacity: int = limits.MAX_PROPAGATIONS) -> None:
        self.capacity = capacity
        self._by_key: dict[str, Propagation] = {}

    def add(self, key: str, propagation: Propagation) -> None:
        """Add a propagation. Raises TooManyCalls if the table is full and callers wait for all entries."""
        if key not in self._by_key:
            self.reserve()
        self._by_key[key] = propagation

    def reserve(self) -> None:
        """Evict a propagation if the table is full. Call this method before a change is written.

        Raises TooManyCalls if callers wait for all propagations in the table.
        """
        if len(self._by_key) < self.capacity:
            return
        in_force = [k for k, p in self._by_key.items() if p.stage is PropagationStage.IN_FORCE]
        evictable = in_force or [k for k, p in self._by_key.items() if p.deadline_us is None]
        if not evictable:
            raise TooManyCalls(f"callers already wait for {self.capacity} changes, the maximum")
        del self._by_key[evictable[0]]

    def end_waits(self, mono_us: int) -> tuple[str, ...]:
        """End the waits of callers whose change is in force or whose deadline has passed.

        Returns the keys of these propagations, oldest first. Each key is returned only once.
        """
        ended = []
        for key, propagation in self._by_key.items():
            deadline_us = propagation.deadline_us
            if deadline_us is None:
                continue
            if propagation.advance(mono_us) is PropagationStage.IN_FORCE or mono_us >= deadline_us:
                propagation.deadline_us = None
                ended.append(key)
        return tuple(ended)

    def get(self, key: str) -> Propagation | None:
        """Return the propagation with this key; None if there is none."""
        return self._by_key.get(key)

    def pending(self) -> tuple[Propagation, ...]:
        """Return the propagations that are not in force yet."""
        return tuple(p for p in self._by_key.values() if p.stage is not PropagationStage.IN_FORCE)

    def next_deadline_us(self) -> int | None:
        """Return the earliest deadline of the pending propagations; None if none has a deadline."""
        deadlines = (propagation.next_deadline_us() for propagation in self.pending())
        return min((us for us in deadlines if us is not None), default=None)
