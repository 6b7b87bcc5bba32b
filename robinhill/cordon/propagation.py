"""How far one change of cordons has come: stored, accepted, in force, and who has not confirmed it.

A *set* goes received -> stored here -> accepted -> in force. It is accepted under ``hold`` once a majority of
the configured schedulers holds it (the mesh counts them), under ``serve`` as soon as it is stored here. It is
in force once each scheduler that could still send has confirmed, *after its last send to the target's
workers*, that it holds the change; or its process has ended; or it is known to run under ``hold`` and the
bound has passed since a majority was known to hold the change (docs/mesh.md explains why no send can come
later; a scheduler that changes to ``serve`` while cut off breaks that, so all must run in the same mode). A
*lift* is in force once each scheduler has confirmed it: one that is cut off keeps the worker cordoned,
however long.

That a scheduler is unreachable (suspect, gone) proves nothing: it may send on the far side of a broken link.
Nor does a confirmation of one process count for the next process of that name, which may have lost its state.

No input or output. Times are microseconds of this process's monotonic clock (``mono_us``) and are never
compared with another process's.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

from robinhill.cordon import limits
from robinhill.cordon.errors import BoundNotMet, CordonError, NotAccepted, TooManyCalls


class Mode(Enum):
    """What a scheduler does without a lease, when it may not know the latest cordons."""

    SERVE = "serve"
    """It goes on sending."""
    HOLD = "hold"
    """It sends nothing new."""


class ProcessStatus(Enum):
    """What is known of a scheduler's process. The values are part of operators' answers."""

    UNKNOWN = "not heard from since this scheduler started"
    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
    """Without a link for some time; it may still run."""
    LEFT = "left"
    """It acknowledged its end after its last send."""


class PropagationStage(IntEnum):
    """How far a change has come; a change never returns to an earlier stage."""

    RECEIVED = 0
    STORED = 1
    ACCEPTED = 2
    IN_FORCE = 3


@dataclass(slots=True, frozen=True)
class Scheduler:
    """One scheduler as known here.

    ``mode`` and ``bound_us`` are as it acknowledged them, None and 0 before its first acknowledgement.
    """

    name: str
    incarnation: int = 0
    status: ProcessStatus = ProcessStatus.UNKNOWN
    mode: Mode | None = None
    bound_us: int = 0


@dataclass(slots=True, frozen=True)
class Unconfirmed:
    """A scheduler that may still act as before the change, and why."""

    name: str
    why: str


def with_slack(bound_us: int) -> int:
    """Return the bound, extended by clock drift and by the time that a send may be on its way."""
    return bound_us + int(bound_us * limits.CLOCK_DRIFT_SHARE) + limits.SEND_SLACK_US


class Propagation:
    """The propagation of one change to all schedulers.

    ``schedulers`` are all that are configured, this one (``own_name``) included. ``deadline_us`` is until
    when the caller waits for the change to be in force, None if it does not wait.
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
        self.majority_since_us: int | None = None
        self._schedulers = {s.name: s for s in schedulers}
        if own_name not in self._schedulers:
            raise ValueError(f"{own_name} is not among the schedulers")
        self._confirmed_incarnations: dict[str, int] = {}  # by scheduler: the latest that confirmed

    def mark_stored(self, mono_us: int) -> None:
        """Record that the change is written here (and on disk, where there is one)."""
        self.stage = max(self.stage, PropagationStage.STORED)
        self.advance(mono_us)

    def mark_accepted(self, mono_us: int) -> None:
        """Record that a majority holds the change. It stays accepted, whatever becomes of the majority."""
        if self.majority_since_us is None:
            self.majority_since_us = mono_us
        self.advance(mono_us)

    def record_confirmation(self, mono_us: int, name: str, incarnation: int) -> None:
        """Record that a scheduler's dispatcher has applied the change, after its last send without it."""
        if name in self._schedulers:
            known = self._confirmed_incarnations.get(name, incarnation)
            self._confirmed_incarnations[name] = max(incarnation, known)
        self.advance(mono_us)

    def update_scheduler(self, mono_us: int, scheduler: Scheduler) -> None:
        """Record the state of a scheduler. One that was not known has to confirm too, as it will send."""
        known = self._schedulers.get(scheduler.name)
        if known is None or scheduler.incarnation >= known.incarnation:
            self._schedulers[scheduler.name] = scheduler
        self.advance(mono_us)

    def remove_scheduler(self, mono_us: int, name: str) -> None:
        """Forget a scheduler that operators removed from the configuration: it no longer runs."""
        if name != self.own_name:
            self._schedulers.pop(name, None)
            self._confirmed_incarnations.pop(name, None)
        self.advance(mono_us)

    def advance(self, mono_us: int) -> PropagationStage:
        """Advance as far as the known facts allow, and return the stage."""
        if self.stage is PropagationStage.STORED and self._is_accepted():
            self.stage = PropagationStage.ACCEPTED
        if self.stage is PropagationStage.ACCEPTED and not self.unconfirmed(mono_us):
            self.stage = PropagationStage.IN_FORCE
        return self.stage

    def unconfirmed(self, mono_us: int) -> tuple[Unconfirmed, ...]:
        """Return the schedulers that may still act as before, by name; none once in force."""
        if self.stage is PropagationStage.IN_FORCE:
            return ()
        found = (self._check_scheduler(s, mono_us) for _, s in sorted(self._schedulers.items()))
        return tuple(unconfirmed for unconfirmed in found if unconfirmed is not None)

    def next_deadline_us(self) -> int | None:
        """Return when the passing of time alone may change something next, None if it can't."""
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
        """Return the error for a caller that no longer waits, None if the change is in force.

        ``missing`` are the schedulers that are not known to hold the change.
        """
        if self.advance(mono_us) is PropagationStage.IN_FORCE:
            return None
        if self.stage is PropagationStage.ACCEPTED:
            return BoundNotMet(self.description, [f"{u.name} ({u.why})" for u in self.unconfirmed(mono_us)])
        return NotAccepted(self.description, missing)

    def _is_accepted(self) -> bool:
        return self.mode is Mode.SERVE or self.majority_since_us is not None

    def _has_confirmed(self, scheduler: Scheduler) -> bool:
        """Return whether the scheduler's present process, or a later one, has confirmed."""
        confirmed = self._confirmed_incarnations.get(scheduler.name)
        return confirmed is not None and confirmed >= scheduler.incarnation

    def _is_bound_by_lease(self, scheduler: Scheduler) -> bool:
        """Return whether the scheduler stops by itself once its lease has expired."""
        return not self.is_lift and scheduler.mode is Mode.HOLD and scheduler.bound_us > 0

    def _check_scheduler(self, scheduler: Scheduler, mono_us: int) -> Unconfirmed | None:
        """Return why a scheduler may still act as before, None if it can't."""
        status = scheduler.status
        if status is ProcessStatus.LEFT or self._has_confirmed(scheduler):
            return None
        if self._is_bound_by_lease(scheduler):
            since_us = self.majority_since_us
            if since_us is not None and mono_us >= since_us + with_slack(scheduler.bound_us):
                return None
            return Unconfirmed(scheduler.name, f"{status.value}, its lease may last")
        if scheduler.name in self._confirmed_incarnations:
            return Unconfirmed(scheduler.name, f"{status.value}, started again since it confirmed")
        return Unconfirmed(scheduler.name, status.value)


class Propagations:
    """A bounded table of propagations, by key: the dot of a cordon, or a key that the caller chose.

    At capacity, propagations that are in force are evicted first, then those that no caller waits for.
    """

    def __init__(self, capacity: int = limits.MAX_PROPAGATIONS) -> None:
        self.capacity = capacity
        self._by_key: dict[str, Propagation] = {}

    def add(self, key: str, propagation: Propagation) -> None:
        """Add a propagation. Raises TooManyCalls if a caller waits for each one in the table."""
        if key not in self._by_key:
            self.reserve()
        self._by_key[key] = propagation

    def reserve(self) -> None:
        """Evict one if the table is full; to be called before the change is written. Raises TooManyCalls."""
        if len(self._by_key) < self.capacity:
            return
        in_force = [k for k, p in self._by_key.items() if p.stage is PropagationStage.IN_FORCE]
        evictable = in_force or [k for k, p in self._by_key.items() if p.deadline_us is None]
        if not evictable:
            raise TooManyCalls(f"{self.capacity} changes are waited for")
        del self._by_key[evictable[0]]

    def end_waits(self, mono_us: int) -> tuple[str, ...]:
        """End the waits of callers whose change is in force or whose deadline has passed.

        Returns the keys, the oldest first. Each wait ends once.
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
        """Return the propagation of this key, None if there is none."""
        return self._by_key.get(key)

    def pending(self) -> tuple[Propagation, ...]:
        """Return the propagations that are not in force yet."""
        return tuple(p for p in self._by_key.values() if p.stage is not PropagationStage.IN_FORCE)

    def next_deadline_us(self) -> int | None:
        """Return when the passing of time alone may change something next, None if it can't."""
        deadlines = (propagation.next_deadline_us() for propagation in self.pending())
        return min((us for us in deadlines if us is not None), default=None)
