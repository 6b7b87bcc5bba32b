"""How many requests may be let in and have no attempt out: admission's window on the module."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from robinhill.api import JobClass

# placed or begun within it, a job has found room at once; mailboxes and the way take a part
STALL_US = 20_000
FIRST = 8.0
FLOOR = 1.0  # the module always has the next request at hand when a worker becomes free
MAX_UNPLACED_REQUESTS = 32.0
SHRINK = 2 / 3
SHRINK_EVERY_US = 50_000  # what was let in together and had to wait is one sign, not many
PLACES = 64.0  # jobs inside at first: more than a small fleet can run, and soon corrected
# Places that a start at once adds, and that a wait takes away: about one job in six finds its worker full.
STEP = 0.1
LESS = 0.5
SLACK = 1.25
# A job has waited at its worker if it began so much later than the quickest do: by this, or by a part of its
# own length. Jobs so short that the way to another data centre matters should not go there.
LATE_US = 20_000
LATE_PART = 1 / 8
BASE_STEP = 0.02
# Without a job that waits for so long places grow faster, twice as fast after each half of it.
CALM_US = 500_000


@dataclass(slots=True)
class Window:
    """Two bounds: on requests that the module can't place, and on jobs inside, which run or are about to.

    The first grows by one with a job that finds room at once and falls by a third when one has to wait in the
    module. The second follows the fleet's size: a job that starts at once while all places are taken adds a
    part of a place, one that waits at its worker takes half a one.
    """

    size: float = FIRST
    unplaced: int = 0
    shrunk_us: int = 0
    places: float = PLACES
    in_window: int = 0
    waited_us: int = 0  # when a job last had to wait at its worker
    base_us: float = 0.0  # how long after an attempt is out the quickest jobs begin

    @property
    def free(self) -> bool:
        """Whether there is a place for one more job."""
        return self.in_window < max(FLOOR, int(self.places))

    @property
    def at_hand(self) -> int:
        """How many the module may hold unplaced."""
        return max(1, int(self.size))

    def placed(self, now: int, waited_us: int, more: bool) -> None:
        """An attempt is out, so long after the request was let in; ``more`` if others wait at admission."""
        if waited_us > STALL_US:
            if now - self.shrunk_us >= SHRINK_EVERY_US:
                self.shrunk_us, self.size = now, max(FLOOR, self.size * SHRINK)
        elif more:
            self.size = min(MAX_UNPLACED_REQUESTS, self.size + 1)

    def execution_started(self, now: int, delay_us: int, cost_us: float, more: bool) -> None:
        """A job of such a length runs, so long after its attempt was out."""
        # A low quantile: quickly down, slowly up, whatever the longest delays are.
        if delay_us < self.base_us or not self.base_us:
            self.base_us = float(delay_us)
        else:
            self.base_us += BASE_STEP * min(delay_us - self.base_us, self.base_us)
        if delay_us - self.base_us > max(LATE_US, LATE_PART * cost_us):
            # Far more places than jobs tell nothing: what there is has proved to be too much.
            self.places = max(FLOOR, min(self.places, SLACK * self.in_window) - LESS)
            self.waited_us = now
        elif more and self.in_window + 1 >= int(self.places):
            calm = min(6, max(0, now - self.waited_us - CALM_US) * 2 // CALM_US)
            self.places += min(1.0, STEP * 2**calm)


@dataclass(slots=True)
class Windows:
    """A window for each set of workers that classes are bound to; most classes share the one of all workers.

    The module gives room to what is of most worth. So a class may come in beside unplaced ones of less
    worth, as far as its tenants' quanta go; but a new round begins only once the window as a whole has room:
    what is held in the module would else never have its turn before the large tenants' next renewals.
    """

    classes: Sequence[JobClass]
    windows: list[Window] = field(default_factory=list)
    unplaced: list[int] = field(default_factory=list)  # by class
    _of: list[Window] = field(default_factory=list)  # by class
    _rivals: list[list[int]] = field(default_factory=list)  # by class: classes of its window worth no less

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
        return self._of[job_class]

    def open(self, job_class: int) -> bool:
        """Whether a request of this class may go in, if its tenant has something left in this round."""
        window = self._of[job_class]
        return window.free and sum(self.unplaced[c] for c in self._rivals[job_class]) < window.at_hand

    def has_capacity(self, job_class: int) -> bool:
        """Whether a round may begin for the sake of this class."""
        window = self._of[job_class]
        return window.free and window.unplaced < window.at_hand

    def enter(self, job_class: int) -> None:
        """One is let in."""
        self.unplaced[job_class] += 1
        window = self._of[job_class]
        window.unplaced, window.in_window = window.unplaced + 1, window.in_window + 1

    def placed(self, job_class: int) -> None:
        """One that was let in is placed, or gone before."""
        self.unplaced[job_class] -= 1
        self._of[job_class].unplaced -= 1

    def leave(self, job_class: int) -> None:
        """One that was let in is over, or takes so long that its place counts as free."""
        self._of[job_class].in_window -= 1
