"""What follows for a member that lags: whether it may be moved, gains by it, and whether budgets allow it."""

from dataclasses import dataclass

from robinhill.api import Repeat
from robinhill.gang.messages import Decision, safe_to_move
from robinhill.gang.options import GangOptions

# Members placed and moved count for the budget of all with this half-life: a bad minute is over in a few.
HALF_LIFE_US = 30_000_000
# A member is moved once: one that lags at two workers is itself long, and so it would be at a third. Only
# where others lag at the second worker too it was bad luck, and it goes once more.
MOVES_OF_MEMBER = 1
# Placing anew costs a way to another worker and back, and this scheduler's own time.
OVERHEAD_US = 20_000
# With copies allowed: below so many fresh runs yet to go, what was done is too dear to throw away.
COPY_BELOW = 2.0


class Budget:
    """Moves of all gangs against members placed, both fading: at most a share of them, and one."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._at_us = 0
        self._placed = 0.0
        self._moved = 0.0

    def _fade(self, now_us: int) -> None:
        if now_us > self._at_us:
            left = 0.5 ** ((now_us - self._at_us) / HALF_LIFE_US)
            self._placed *= left
            self._moved *= left
            self._at_us = now_us

    def placed(self, now_us: int) -> None:
        """A member was placed, by whatever cause."""
        self._fade(now_us)
        self._placed += 1

    def allows(self, now_us: int) -> bool:
        """Whether one more move is within it. A share of 0 allows none."""
        self._fade(now_us)
        return self._share > 0 and self._moved + 1 <= 1 + self._share * self._placed

    def moved(self, now_us: int) -> None:
        self._fade(now_us)
        self._moved += 1


@dataclass(slots=True, frozen=True)
class MoveCandidate:
    """One member that lags, for the decision. Durations in microseconds."""

    repeat: Repeat
    begun: bool
    moves: int  # of this member so far
    gang_size: int
    gang_moves: int  # of its gang so far, wherever
    remaining_us: int
    fresh_us: int
    others_lag: bool = False  # members other than it lag where it is, by what is known here


def decide(candidate: MoveCandidate, options: GangOptions, budget: Budget, now_us: int) -> Decision:
    """What follows; MOVED and COPIED are counted in the budget of all."""
    if (harm := safe_to_move(candidate.repeat, candidate.begun)) is not Decision.NOTHING:
        return harm
    if candidate.moves >= MOVES_OF_MEMBER + candidate.others_lag:
        return Decision.ONCE_MOVED
    fresh_us = candidate.fresh_us + OVERHEAD_US
    if candidate.remaining_us <= fresh_us * (1 + options.margin):
        return Decision.NO_GAIN
    # Of a small gang one may always be moved, unless none may at all.
    most = max(1, int(options.moves_of_gang * candidate.gang_size)) if options.moves_of_gang else 0
    if candidate.gang_moves >= most:
        return Decision.GANG_SPENT
    if not budget.allows(now_us):
        return Decision.ALL_SPENT
    budget.moved(now_us)
    both = options.copies and candidate.repeat is Repeat.SAFE and candidate.begun
    return Decision.COPIED if both and candidate.remaining_us < COPY_BELOW * fresh_us else Decision.MOVED
