"""Admission windows: limits on the admitted requests without an attempt, and on all admitted requests.

The first limit is adapted to the time that admitted requests wait for their first attempt in the decision
module (robinhill/logic.py), which places them on workers. The second limit is adapted to the time that first
attempts wait at their workers.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from robinhill.api import JobClass

MAX_IMMEDIATE_PLACEMENT_US = 20_000  # a longer wait from admission to first attempt shrinks `Window.size`
INITIAL_SIZE = 8.0
# Minimum of `Window.size` and `Window.slots`: with it, the decision module has an admitted request whenever a
# worker becomes free.
MIN_SIZE = 1.0
MAX_UNPLACED_REQUESTS = 32.0  # maximum of `Window.size`
SHRINK_FACTOR = 2 / 3
MIN_SHRINK_INTERVAL_US = 50_000  # requests admitted together that all wait shrink `Window.size` only once
INITIAL_SLOTS = 64.0
SLOTS_PER_IMMEDIATE_START = 0.1  # smallest step by which `slots` grows when a job starts immediately
SLOTS_PER_WAIT = 0.5  # step by which `slots` shrinks when a job had to wait at its worker
# When a job had to wait at its worker, `slots` is capped at this multiple of the requests that occupy a slot.
MAX_SLOTS_FACTOR = 1.25
# The start delay of a job is the time from sending its first attempt to its start at the worker. The base
# delay approximates the start delay of the quickest jobs. A job counts as having waited at its worker if its
# start delay exceeds the base delay by more than MIN_WORKER_WAIT_US, and by more than MIN_WORKER_WAIT_SHARE
# of its estimated running time.
MIN_WORKER_WAIT_US = 20_000
MIN_WORKER_WAIT_SHARE = 1 / 8
BASE_DELAY_STEP = 0.02  # weight of a start delay in the base delay, if it exceeds the base delay
# Once no job has waited at its worker for this time, `slots` grows faster: the step doubles in each further
# half of this time, up to one slot.
FAST_GROWTH_AFTER_US = 500_000


@dataclass(slots=True)
class Window:
    """Two adaptive limits on admitted requests: ``size`` on those without an attempt, ``slots`` on all.

    ``size`` grows by one with each job whose first attempt is sent immediately while other requests are
    queued, and shrinks when a job has to wait in the decision module. ``slots`` follows the size of the
    fleet: a job that starts immediately, while requests are queued and at most one slot is free, adds a
    fraction of a slot; a job that has to wait at its worker removes half a slot.
    """

    size: float = INITIAL_SIZE
    unplaced: int = 0  # admitted requests without an attempt
    last_shrunk_us: int = 0  # time at which `size` was last reduced
    slots: float = INITIAL_SLOTS
    in_window: int = 0  # admitted requests that occupy a slot
    last_wait_us: int = 0  # latest time at which a job started that had waited at its worker
    base_delay_us: float = 0.0  # delay from sending an attempt to its start, for the quickest jobs

    @property
    def free(self) -> bool:
        """Whether a slot is free for another job."""
        return self.in_window < max(MIN_SIZE, int(self.slots))

    @property
    def unplaced_limit(self) -> int:
        """Maximum number of admitted requests without an attempt."""
        return max(1, int(self.size))

    def placed(self, now: int, waited_us: int, others_queued: bool) -> None:
        """Adapt ``size`` to a first attempt that was sent ``waited_us`` after the request's admission."""
        if waited_us > MAX_IMMEDIATE_PLACEMENT_US:
            if now - self.last_shrunk_us >= MIN_SHRINK_INTERVAL_US:
                self.last_shrunk_us, self.size = now, max(MIN_SIZE, self.size * SHRINK_FACTOR)
        elif others_queued:
            self.size = min(MAX_UNPLACED_REQUESTS, self.size + 1)

    def execution_started(self, now: int, delay_us: int, cost_us: float, others_queued: bool) -> None:
        """Adapt ``slots`` to a job that has started, with its start delay and estimated running time."""
        # The base delay approximates a low quantile: it falls immediately and rises slowly.
        if delay_us < self.base_delay_us or not self.base_delay_us:
            self.base_delay_us = float(delay_us)
        else:
            self.base_delay_us += BASE_DELAY_STEP * min(delay_us - self.base_delay_us, self.base_delay_us)
        if delay_us - self.base_delay_us > max(MIN_WORKER_WAIT_US, MIN_WORKER_WAIT_SHARE * cost_us):
            # Slots that were not occupied give no evidence that the fleet can run that many jobs. `slots` is
            # therefore capped at a multiple of the occupied slots before it is reduced.
            self.slots = max(MIN_SIZE, min(self.slots, MAX_SLOTS_FACTOR * self.in_window) - SLOTS_PER_WAIT)
            self.last_wait_us = now
        elif others_queued and self.in_window + 1 >= int(self.slots):
            doublings = min(
                6, max(0, now - self.last_wait_us - FAST_GROWTH_AFTER_US) * 2 // FAST_GROWTH_AFTER_US
            )
            self.slots += min(1.0, SLOTS_PER_IMMEDIATE_START * 2**doublings)


@dataclass(slots=True)
class Windows:
    """The windows of all classes; classes restricted to the same machine types and zones share a window.

    Most classes have no such restriction, and share the window for all workers.

    The decision module places requests of higher priority weight first, so an unplaced request delays no
    request of a class with more weight. Within a round of deficit round robin (queues.py), the limit on
    unplaced requests is therefore compared with the number in classes of at least the same weight. A new
    round starts only if the number of unplaced requests in all classes of the window is below the limit.
    Otherwise large tenants' requests would be admitted round after round, and unplaced requests with less
    weight would starve behind them.
    """

    classes: Sequence[JobClass]
    windows: list[Window] = field(default_factory=list)
    unplaced: list[int] = field(default_factory=list)  # by class, admitted requests without an attempt
    _by_class: list[Window] = field(default_factory=list)
    _competing_classes: list[list[int]] = field(
        default_factory=list
    )  # by class: the classes in the same window that have at least its priority weight, itself included

    def __post_init__(self) -> None:
        by_binding: dict[object, Window] = {}
        for job_class in self.classes:
            binding = (job_class.kinds, job_class.zones)
            self._by_class.append(by_binding.setdefault(binding, Window()))
        self.windows = list(by_binding.values())
        self.unplaced = [0] * len(self.classes)
        for number, job_class in enumerate(self.classes):
            self._competing_classes.append([
                n for n, other in enumerate(self.classes)
                if self._by_class[n] is self._by_class[number]
                and other.priority_weight >= job_class.priority_weight
            ])  # fmt: skip

    def of(self, job_class: int) -> Window:
        """The window of a class."""
        return self._by_class[job_class]

    def open(self, job_class: int) -> bool:
        """Whether a request of this class may be admitted within the current round of the queues."""
        window = self._by_class[job_class]
        return (
            window.free
            and sum(self.unplaced[c] for c in self._competing_classes[job_class]) < window.unplaced_limit
        )

    def has_capacity(self, job_class: int) -> bool:
        """Whether a new round of the queues may start in order to admit requests of this class."""
        window = self._by_class[job_class]
        return window.free and window.unplaced < window.unplaced_limit

    def enter(self, job_class: int) -> None:
        """Count a request that is being admitted: it takes a slot and has no attempt yet."""
        self.unplaced[job_class] += 1
        window = self._by_class[job_class]
        window.unplaced, window.in_window = window.unplaced + 1, window.in_window + 1

    def placed(self, job_class: int) -> None:
        """Stop counting a request as unplaced: its first attempt was sent, or it has ended without one."""
        self.unplaced[job_class] -= 1
        self._by_class[job_class].unplaced -= 1

    def leave(self, job_class: int) -> None:
        """Free the slot of an admitted request that has ended or is overdue."""
        self._by_class[job_class].in_window -= 1
