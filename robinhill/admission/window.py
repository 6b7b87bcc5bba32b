"""Admission's window on the decision module: how many admitted requests may be without an attempt.

It adapts two bounds to how long requests wait after their admission, and decides nothing else.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from robinhill.api import JobClass

IMMEDIATE_US = 20_000  # within which a job counts as placed at once
INITIAL_SIZE = 8.0
MIN_SIZE = 1.0  # so that the module has a request whenever a worker becomes free
MAX_UNPLACED_REQUESTS = 32.0
SHRINK_FACTOR = 2 / 3
MIN_SHRINK_INTERVAL_US = 50_000  # requests that were admitted together and wait are one sign, not many
INITIAL_SLOTS = 64.0
SLOTS_PER_IMMEDIATE_START = 0.1
SLOTS_PER_WAIT = 0.5
MAX_SLOTS_FACTOR = 1.25  # of the jobs in the window, once one had to wait
LATE_US = 20_000  # beyond the quickest delay, from which on a job counts as having waited at its worker
LATE_SHARE = 1 / 8  # the same as a share of its own length
BASE_DELAY_STEP = 0.02
CALM_US = 500_000  # without a wait, after which slots grow faster; twice as fast after each half of it


@dataclass(slots=True)
class Window:
    """Two bounds: on admitted requests without an attempt, and on jobs that run or are about to.

    The first grows by one with each job that is placed at once, and shrinks when one has to wait in the
    module. The second follows the fleet's size: a job that starts at once while all slots are taken adds a
    part of a slot, one that waits at its worker takes half a slot away.
    """

    size: float = INITIAL_SIZE
    unplaced: int = 0
    last_shrunk_us: int = 0
    slots: float = INITIAL_SLOTS
    in_window: int = 0
    waited_us: int = 0  # when a job last had to wait at its worker
    base_delay_us: float = 0.0  # delay from an attempt to its start for the quickest jobs

    @property
    def free(self) -> bool:
        """Whether there is a slot for one more job."""
        return self.in_window < max(MIN_SIZE, int(self.slots))

    @property
    def unplaced_limit(self) -> int:
        """How many requests the module may have without an attempt."""
        return max(1, int(self.size))

    def placed(self, now: int, waited_us: int, more: bool) -> None:
        """A first attempt was sent ``waited_us`` after the admission; ``more`` if others are queued."""
        if waited_us > IMMEDIATE_US:
            if now - self.last_shrunk_us >= MIN_SHRINK_INTERVAL_US:
                self.last_shrunk_us, self.size = now, max(MIN_SIZE, self.size * SHRINK_FACTOR)
        elif more:
            self.size = min(MAX_UNPLACED_REQUESTS, self.size + 1)

    def execution_started(self, now: int, delay_us: int, cost_us: float, more: bool) -> None:
        """A job of estimated length ``cost_us`` started ``delay_us`` after its attempt."""
        # A low quantile: it falls at once and rises slowly.
        if delay_us < self.base_delay_us or not self.base_delay_us:
            self.base_delay_us = float(delay_us)
        else:
            self.base_delay_us += BASE_DELAY_STEP * min(delay_us - self.base_delay_us, self.base_delay_us)
        if delay_us - self.base_delay_us > max(LATE_US, LATE_SHARE * cost_us):
            # Slots far beyond the jobs in the window carry no information: cap them first.
            self.slots = max(MIN_SIZE, min(self.slots, MAX_SLOTS_FACTOR * self.in_window) - SLOTS_PER_WAIT)
            self.waited_us = now
        elif more and self.in_window + 1 >= int(self.slots):
            calm = min(6, max(0, now - self.waited_us - CALM_US) * 2 // CALM_US)
            self.slots += min(1.0, SLOTS_PER_IMMEDIATE_START * 2**calm)


@dataclass(slots=True)
class Windows:
    """A window for each set of workers that classes are bound to; most classes share the one of all workers.

    The module places requests of higher priority weight first. So a class may be admitted beside unplaced
    ones of less weight, as far as its tenants' quanta go; but a new round starts only once the whole window
    has capacity, or requests in the module would starve behind large tenants.
    """

    classes: Sequence[JobClass]
    windows: list[Window] = field(default_factory=list)
    unplaced: list[int] = field(default_factory=list)  # by class
    _of: list[Window] = field(default_factory=list)  # by class
    _rivals: list[list[int]] = field(
        default_factory=list
    )  # by class: classes of its window with no less priority weight

    def __post_init__(self) -> None:
        by_place: dict[object, Window] = {}
        for job_class in self.classes:
            place = (job_class.kinds, job_class.zones)
            self._of.append(by_place.setdefault(place, Window()))
        self.windows = list(by_place.values())
        self.unplaced = [0] * len(self.classes)
        for number, job_class in enumerate(self.classes):
            self._rivals.append([
                n for n, other in enumerate(self.classes)
                if self._of[n] is self._of[number] and other.priority_weight >= job_class.priority_weight
            ])  # fmt: skip

    def of(self, job_class: int) -> Window:
        """The window of a class."""
        return self._of[job_class]

    def open(self, job_class: int) -> bool:
        """Whether a request of this class may be admitted, if its tenant has quantum left in this round."""
        window = self._of[job_class]
        return window.free and sum(self.unplaced[c] for c in self._rivals[job_class]) < window.unplaced_limit

    def has_capacity(self, job_class: int) -> bool:
        """Whether a round may start for the sake of this class."""
        window = self._of[job_class]
        return window.free and window.unplaced < window.unplaced_limit

    def enter(self, job_class: int) -> None:
        """A request was admitted."""
        self.unplaced[job_class] += 1
        window = self._of[job_class]
        window.unplaced, window.in_window = window.unplaced + 1, window.in_window + 1

    def placed(self, job_class: int) -> None:
        """An admitted request had its first attempt, or ended before."""
        self.unplaced[job_class] -= 1
        self._of[job_class].unplaced -= 1

    def leave(self, job_class: int) -> None:
        """An admitted request has ended, or takes so long that its slot counts as free."""
        self._of[job_class].in_window -= 1
