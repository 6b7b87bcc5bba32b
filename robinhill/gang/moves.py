"""The decision for a straggler: whether a move is safe, would end its job sooner, and is within budgets."""

from dataclasses import dataclass

from robinhill.api import Repeat
from robinhill.gang.messages import Decision, safe_to_move
from robinhill.gang.options import GangOptions

# The counts of placements and moves decay with this half-life, so that a bad minute stops limiting moves
# after a few minutes.
BUDGET_HALF_LIFE_US = 30_000_000
# A member is moved once: if it lags at two workers, the job itself is long and would lag at a third. If other
# members lag at the second worker too, that worker is slow, and the member may be moved once more.
MAX_MOVES_PER_MEMBER = 1
# A new placement costs a round trip to another worker and this scheduler's own processing time.
MOVE_OVERHEAD_US = 20_000
# If copies are allowed and the member's remaining time is less than this multiple of the time of a run from
# the start elsewhere, a copy is started beside it, as its progress is worth more than the copy costs.
# Otherwise the member is withdrawn and placed again.
COPY_BELOW_FRESH_RUNS = 2.0


class MoveBudget:
    """Limits the moves of all gangs to a share of the members placed, plus one; both counts decay."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._at_us = 0
        self._placed = 0.0
        self._moved = 0.0

    def _decay(self, now_us: int) -> None:
        if now_us > self._at_us:
            decay = 0.5 ** ((now_us - self._at_us) / BUDGET_HALF_LIFE_US)
            self._placed *= decay
            self._moved *= decay
            self._at_us = now_us

    def record_placement(self, now_us: int) -> None:
        """Count a placement of a member, whether first, retried or moved."""
        self._decay(now_us)
        self._placed += 1

    def allows(self, now_us: int) -> bool:
        """Whether the budget allows one more move. A share of 0 allows none."""
        self._decay(now_us)
        return self._share > 0 and self._moved + 1 <= 1 + self._share * self._placed

    def record_move(self, now_us: int) -> None:
        self._decay(now_us)
        self._moved += 1


@dataclass(slots=True, frozen=True)
class MoveCandidate:
    """A straggler, as `decide` needs it. Durations are in microseconds."""

    repeat: Repeat
    has_started: bool
    moves: int  # of this member so far
    gang_size: int
    gang_moves: int  # of its gang so far, at all schedulers
    remaining_us: int
    fresh_us: int
    other_members_lag: bool = False  # other members lag at its worker, as far as this scheduler knows


def decide(candidate: MoveCandidate, options: GangOptions, budget: MoveBudget, now_us: int) -> Decision:
    """Decide whether to move or copy a straggler. A move or copy is counted in ``budget``."""
    if (refusal := safe_to_move(candidate.repeat, candidate.has_started)) is not Decision.NOTHING:
        return refusal
    if candidate.moves >= MAX_MOVES_PER_MEMBER + candidate.other_members_lag:
        return Decision.ALREADY_MOVED
    fresh_us = candidate.fresh_us + MOVE_OVERHEAD_US
    if candidate.remaining_us <= fresh_us * (1 + options.margin):
        return Decision.NO_GAIN
    # A small gang may always move one member, unless moves_of_gang is 0.
    max_gang_moves = max(1, int(options.moves_of_gang * candidate.gang_size)) if options.moves_of_gang else 0
    if candidate.gang_moves >= max_gang_moves:
        return Decision.GANG_BUDGET_SPENT
    if not budget.allows(now_us):
        return Decision.GLOBAL_BUDGET_SPENT
    budget.record_move(now_us)
    may_copy = options.copies and candidate.repeat is Repeat.SAFE and candidate.has_started
    return (
        Decision.COPIED
        if may_copy and candidate.remaining_us < COPY_BELOW_FRESH_RUNS * fresh_us
        else Decision.MOVED
    )
