"""How fast members run: curves of progress by our own times of hearing, and what kinds of worker need.

Pace is normalised: work is the job's own hint of cost times what workers of its kind were found to need for
a hint's unit, so a rate of 1 is "as is usual for such a job at such a worker".
"""

import math
from bisect import bisect_left
from collections import OrderedDict, deque
from statistics import median

# Words kept of one member: thinned beyond it. The comparison interpolates, so 16 lose nothing.
MAX_POINTS = 16
# Ends kept for each kind: enough for a steady median, few enough to follow a change within minutes.
KEPT_ENDS = 64
# Ends of any gang that tell how fast all go of late: so many at least, not older than so long.
RECENT_LEAST = 5
RECENT_US = 5_000_000
# Ends of all kinds, for what is usual: a slowdown of all must last for half as many to become that.
KEPT_ALL = 4_096
RECKON_EVERY = 64  # ends; the median of all is reckoned anew
KINDS = 64  # kinds of worker followed; the least recently seen is forgotten
# Fewer ends than this say little on a kind: its members are then compared among themselves only.
ENOUGH_ENDS = 8
SLOWEST = 1e-3  # rates below count as this: a logarithm is taken of them


class Curve:
    """How much of a job was done when: points of (time, share), both never falling.

    ``start_us`` is when it began to run, None where nobody said. Shares are 0 to 1.
    """

    __slots__ = ("_at", "_share", "ended", "start_us")

    def __init__(self, start_us: int | None = None) -> None:
        self.start_us = start_us
        self.ended = False
        self._at: list[int] = []
        self._share: list[float] = []
        if start_us is not None:
            self._put(start_us, 0.0)

    @property
    def updates(self) -> int:
        """Words on its progress so far (thinned; its start is none)."""
        return len(self._at) - (self.start_us is not None)

    @property
    def empty(self) -> bool:
        """Whether nothing is known: it has not begun."""
        return not self._at

    @property
    def first_us(self) -> int:
        return self._at[0]

    @property
    def last_us(self) -> int:
        return self._at[-1]

    @property
    def share(self) -> float | None:
        """How much is done, None where there is no word: that is not nothing."""
        return self._share[-1] if self.updates else None

    def add(self, at_us: int, share: float) -> bool:
        """A word on progress; False (and no effect) for one that is absurd, late or doubled."""
        if self.ended or not 0.0 <= share <= 1.0:  # also false for NaN
            return False
        if self._at and (at_us <= self._at[-1] or share < self._share[-1]):
            return False
        self._put(at_us, share)
        return True

    def end(self, at_us: int) -> None:
        """It is done."""
        if not self.ended:
            self._put(max(at_us, self._at[-1] + 1) if self._at else at_us, 1.0)
            self.ended = True

    def _put(self, at_us: int, share: float) -> None:
        if len(self._share) >= 2 and self._share[-1] == self._share[-2] == share:
            self._at[-1] = at_us  # it stands still: two points say so
            return
        self._at.append(at_us)
        self._share.append(share)
        if len(self._at) > MAX_POINTS:  # every second one in the middle goes
            keep = [0, *range(2, len(self._at) - 1, 2), len(self._at) - 1]
            self._at = [self._at[i] for i in keep]
            self._share = [self._share[i] for i in keep]

    def shift(self, by_us: int) -> None:
        """All of it was that much earlier."""
        self._at = [at - by_us for at in self._at]
        if self.start_us is not None:
            self.start_us -= by_us

    def share_at(self, at_us: int) -> float:
        """Interpolated; outside of what is known the nearest known."""
        i = bisect_left(self._at, at_us)
        if i == 0:
            return self._share[0]
        if i == len(self._at):
            return self._share[-1]
        t0, t1, s0, s1 = self._at[i - 1], self._at[i], self._share[i - 1], self._share[i]
        return min(s1, s0 + (s1 - s0) * (at_us - t0) / (t1 - t0))

    def rate(self, from_us: int, to_us: int) -> float:
        """Share done a microsecond between two moments of the known part."""
        return (self.share_at(to_us) - self.share_at(from_us)) / (to_us - from_us)

    @property
    def whole_rate(self) -> float | None:
        """The same over all that is known; None where that is no time."""
        if len(self._at) < 2 or self._at[-1] <= self._at[0]:
            return None
        return (self._share[-1] - self._share[0]) / (self._at[-1] - self._at[0])

    def remaining_us(self) -> int | None:
        """What it needs yet from its last word on, by its own words; None if they don't tell.

        By the faster of its whole run and its latter half: in doubt it stays where it is.
        """
        if self.ended:
            return 0
        if not self.updates or len(self._at) < 2:
            return None
        middle = (self.first_us + self.last_us) // 2
        rate = max(self.rate(self.first_us, self.last_us), self.rate(middle, self.last_us))
        return int((1.0 - self._share[-1]) / max(rate, 1e-12))


class Paces:
    """What jobs take for a unit of their own hints: in all, at each kind of worker, and of late.

    Kinds are learned against the other members of the same gang, not against the clock: when all slow down,
    the kind that happens to end first would else look slow.
    """

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, deque[float]] = OrderedDict()
        self._known: dict[str, float] = {}
        self._all: deque[float] = deque(maxlen=KEPT_ALL)
        self._count = 0
        self._scale = 1.0
        self._recent: deque[tuple[int, float]] = deque(maxlen=KEPT_ENDS)  # when, times its usual run

    def ended(self, now_us: int, kind: str, hint_us: int, run_us: int, against: float | None) -> None:
        """A member that began and was done took so long for its hint; 0: it had none.

        ``against``: logarithm of its pace over the median one of its gang, None where too few told theirs.
        """
        if hint_us <= 0 or run_us <= 0:
            return
        if (factor := self.factor(kind)) is not None:
            self._recent.append((now_us, run_us / (hint_us * factor)))
        self._all.append(run_us / hint_us)
        self._count += 1
        if self._count % RECKON_EVERY == 0 or ENOUGH_ENDS <= self._count < RECKON_EVERY:
            self._scale = median(self._all)
        if against is None:
            return
        ends = self._kinds.setdefault(kind, deque(maxlen=KEPT_ENDS))
        self._kinds.move_to_end(kind)
        ends.append(against)
        if len(ends) >= ENOUGH_ENDS:
            self._known[kind] = math.exp(median(ends))
        if len(self._kinds) > KINDS:
            oldest, _ = self._kinds.popitem(last=False)
            self._known.pop(oldest, None)

    def of_late(self, now_us: int) -> float:
        """How many times longer than usual those that ended of late took, by the median; never below 1."""
        paces = [pace for at, pace in self._recent if at > now_us - RECENT_US]
        return max(1.0, median(paces)) if len(paces) >= RECENT_LEAST else 1.0

    def factor(self, kind: str) -> float | None:
        """Run time for each unit of hint at a kind, by medians; None while too few are known."""
        known = self._known.get(kind)
        return None if known is None else known * self._scale

    @property
    def scale(self) -> float:
        """The same whatever the kind."""
        return self._scale
