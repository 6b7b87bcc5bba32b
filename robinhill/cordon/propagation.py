"""What a call about cordons may tell, and when: stored, accepted, in force, or who has not confirmed.

A *set* goes received -> stored here -> accepted -> in force. Accepted under ``hold``: a majority of the
configured schedulers hold it (the mesh counts them); under ``serve``: as soon as it is stored here. In force:
each scheduler that could still send has confirmed, *after its last send to the target's workers*, that it
holds it; or its process has ended; or it is known to keep to ``hold`` and the bound is over since a majority
was known to hold it (docs/mesh.md says why no send can come later; going over to ``serve`` while cut off
breaks the contract, so the mode is to be the same at all). A *lift* is in force once each has confirmed: a
scheduler that is cut off goes on leaving the worker out, whatever time passes.

That a scheduler is not heard from (suspect, gone) proves nothing: it may be on the far side of a broken link
and send. Nor does what a process confirmed bind the next one of the same name, which may have lost its state.

Times are microseconds of this process's monotonic clock, ``mono_us``, never compared with another's.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

from robinhill.cordon import limits
from robinhill.cordon.errors import BoundNotMet, CordonError, NotAccepted, TooManyCalls


class Mode(Enum):
    """What a scheduler does that may be behind: go on, or place nothing new where it can't vouch."""

    SERVE = "serve"
    HOLD = "hold"


class Standing(Enum):
    """What is known of a scheduler's process."""

    UNHEARD = "not heard from since this scheduler started"
    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
    LEFT = "left"  # its own last word, after its last send: the process has ended


class PropagationStage(IntEnum):
    """How far a call has come; it never goes back."""

    RECEIVED = 0
    STORED = 1
    ACCEPTED = 2
    IN_FORCE = 3


@dataclass(slots=True, frozen=True)
class Scheduler:
    """One scheduler as known here. ``mode`` and ``bound_us`` are its own word, None and 0 before it came."""

    name: str
    incarnation: int = 0
    standing: Standing = Standing.UNHEARD
    mode: Mode | None = None
    bound_us: int = 0


@dataclass(slots=True, frozen=True)
class Unconfirmed:
    """A scheduler that may still act as before, and why it is thought so."""

    name: str
    why: str


def with_slack(bound_us: int) -> int:
    """A bound with room for monotonic clocks that run unlike, and for a send that is on its way."""
    return bound_us + int(bound_us * limits.SLACK_SHARE) + limits.SLACK_US


class Propagation:
    """One call that is followed. ``schedulers`` are all that are configured, this one (``me``) with them.

    ``deadline_us``: until when the caller waits for it to be in force; None: it does not wait.
    """

    def __init__(
        self,
        what: str,
        me: str,
        mode: Mode,
        schedulers: Iterable[Scheduler],
        *,
        lifts: bool = False,
        deadline_us: int | None = None,
    ) -> None:
        self.what = what
        self.me = me
        self.mode = mode
        self.lifts = lifts
        self.deadline_us = deadline_us
        self.step = PropagationStage.RECEIVED
        self.majority_us: int | None = None
        self._schedulers = {s.name: s for s in schedulers}
        if me not in self._schedulers:
            raise ValueError(f"{me} is not among the schedulers")
        self._confirmed: dict[str, int] = {}  # the incarnation that confirmed

    def stored(self, mono_us: int) -> None:
        """It is written here (and on disk, where there is one)."""
        self.step = max(self.step, PropagationStage.STORED)
        self.look(mono_us)

    def accepted(self, mono_us: int) -> None:
        """A majority is known to hold it since now; that stays so, whatever becomes of its members."""
        if self.majority_us is None:
            self.majority_us = mono_us
        self.look(mono_us)

    def confirmed(self, mono_us: int, name: str, incarnation: int) -> None:
        """A scheduler says: its dispatcher has taken the change in, and sent its last before."""
        if name in self._schedulers:
            self._confirmed[name] = max(incarnation, self._confirmed.get(name, incarnation))
        self.look(mono_us)

    def heard(self, mono_us: int, scheduler: Scheduler) -> None:
        """News of a scheduler. One that is new here has to confirm like all: it will send too."""
        known = self._schedulers.get(scheduler.name)
        if known is None or scheduler.incarnation >= known.incarnation:
            self._schedulers[scheduler.name] = scheduler
        self.look(mono_us)

    def removed(self, mono_us: int, name: str) -> None:
        """Operators took a scheduler out of the installation: their word that it runs no more."""
        if name != self.me:
            self._schedulers.pop(name, None)
            self._confirmed.pop(name, None)
        self.look(mono_us)

    def look(self, mono_us: int) -> PropagationStage:
        """Go on as far as what is known allows."""
        if self.step is PropagationStage.STORED and (self.mode is Mode.SERVE or self.majority_us is not None):
            self.step = PropagationStage.ACCEPTED
        if self.step is PropagationStage.ACCEPTED and not self.unconfirmed(mono_us):
            self.step = PropagationStage.IN_FORCE
        return self.step

    def unconfirmed(self, mono_us: int) -> tuple[Unconfirmed, ...]:
        """Who may still act as before, ascending; nobody once it is in force."""
        if self.step is PropagationStage.IN_FORCE:
            return ()
        waits = (self._why(s, mono_us) for _, s in sorted(self._schedulers.items()))
        return tuple(u for u in waits if u is not None)

    def next_us(self) -> int | None:
        """The next time at which the clock alone may change something; None if only news can."""
        if self.step is PropagationStage.IN_FORCE:
            return None
        ends = [] if self.deadline_us is None else [self.deadline_us]
        if self.majority_us is not None:
            waits = [self._schedulers[u.name] for u in self.unconfirmed(self.majority_us)]
            if all(self._leased(s) for s in waits):
                ends.append(self.majority_us + max((with_slack(s.bound_us) for s in waits), default=0))
        return min(ends, default=None)

    def failure(self, mono_us: int, missing: Sequence[str] = ()) -> CordonError | None:
        """What a call is told that waits no longer; None: in force. ``missing``: who does not hold it."""
        if self.look(mono_us) is PropagationStage.IN_FORCE:
            return None
        if self.step is PropagationStage.ACCEPTED:
            return BoundNotMet(self.what, [f"{u.name} ({u.why})" for u in self.unconfirmed(mono_us)])
        return NotAccepted(self.what, missing)

    def _bound(self, s: Scheduler) -> bool:
        """Whether a scheduler's process of now, or a later one than is known here, has confirmed."""
        said = self._confirmed.get(s.name)
        return said is not None and said >= s.incarnation

    def _leased(self, s: Scheduler) -> bool:
        """Whether a scheduler stops by itself when it is behind."""
        return not self.lifts and s.mode is Mode.HOLD and s.bound_us > 0

    def _why(self, s: Scheduler, mono_us: int) -> Unconfirmed | None:
        """Why a scheduler may still act as before; None if it can't."""
        if s.standing is Standing.LEFT or self._bound(s):
            return None
        if self._leased(s):
            if self.majority_us is not None and mono_us >= self.majority_us + with_slack(s.bound_us):
                return None
            return Unconfirmed(s.name, f"{s.standing.value}, its lease may last")
        if s.name in self._confirmed:
            return Unconfirmed(s.name, f"{s.standing.value}, started again since it confirmed")
        return Unconfirmed(s.name, s.standing.value)


class Propagations:
    """All calls that are followed: bounded, those in force forgotten first, then those that nobody waits for.

    Each is known by what it wrote (a cordon's dot) or a number that the caller chose.
    """

    def __init__(self, bound: int = limits.PROMISES) -> None:
        self.bound = bound
        self._open: dict[str, Propagation] = {}

    def follow(self, key: str, promise: Propagation) -> None:
        """TooManyCalls if somebody waits for each that is followed."""
        if key not in self._open:
            self.make_room()
        self._open[key] = promise

    def make_room(self) -> None:
        """Forget one for the next, if need be; to be called before what it is about is written."""
        if len(self._open) >= self.bound:
            done = [k for k, p in self._open.items() if p.step is PropagationStage.IN_FORCE]
            free = done or [k for k, p in self._open.items() if p.deadline_us is None]
            if not free:
                raise TooManyCalls(f"{self.bound} changes are waited for")
            del self._open[free[0]]

    def waited(self, mono_us: int) -> tuple[str, ...]:
        """The keys of calls whose wait has ended, in force or not, the oldest first; each is named once."""
        ended = []
        for key, promise in self._open.items():
            at = promise.deadline_us
            if at is not None and (promise.look(mono_us) is PropagationStage.IN_FORCE or mono_us >= at):
                promise.deadline_us = None
                ended.append(key)
        return tuple(ended)

    def get(self, key: str) -> Propagation | None:
        return self._open.get(key)

    def drop(self, key: str) -> None:
        self._open.pop(key, None)

    def under_way(self) -> tuple[Propagation, ...]:
        """Those that can still go on: tell them all news."""
        return tuple(p for p in self._open.values() if p.step is not PropagationStage.IN_FORCE)

    def next_us(self) -> int | None:
        """The next time at which the clock alone may change something."""
        return min((us for p in self.under_way() if (us := p.next_us()) is not None), default=None)
