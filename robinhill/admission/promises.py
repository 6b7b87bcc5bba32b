"""What refused callers were told: a bounded book of promises, and how true they turned out to be."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import chain

from robinhill.admission.queues import ClassQueue

MAX_OPEN_PROMISES = 8_192
EXPIRE_AFTER_US = 2_000_000  # a caller so long behind its time has lost its place
EARLY = 0.75  # of the told time: who comes back after this part of it has kept to it
FACTOR = 2.0  # told over needed time is right within this
RETURNS_STEP = 1 / 32  # of the share of callers that come back, by line
PENDING = 256  # told times measured at once for each line


@dataclass(slots=True)
class RetryPromise:
    """A caller may come back at ``due_us``; its work counts as if it stood in the queue until then."""

    fingerprint: int
    tenant: int
    class_queue: ClassQueue
    cost_us: float
    promised_us: int  # when
    due_us: int


@dataclass(slots=True)
class _PendingMeasurement:
    """A told time under measurement: needed is the time until ``target_us`` of the line's work has gone."""

    promised_us: int
    wait_us: int
    target_us: float


@dataclass(slots=True)
class RetryPromises:
    """The book. A caller of a mark may hold several promises, the earliest first."""

    by_fingerprint: dict[int, deque[RetryPromise]] = field(default_factory=dict)
    length: int = 0
    right: int = 0  # told times within the factor of what was needed
    short: int = 0  # told too short a time by more than it
    long: int = 0
    _expiries: list[tuple[int, int, RetryPromise]] = field(default_factory=list)
    _serial: int = 0
    _pending: dict[ClassQueue, deque[_PendingMeasurement]] = field(default_factory=dict)

    def make(
        self, now: int, fingerprint: int, tenant: int, class_queue: ClassQueue, cost_us: float, wait_us: int
    ) -> None:
        """Note what a caller is told; without room the caller is told all the same, with no place kept."""
        if self.length >= MAX_OPEN_PROMISES:
            return
        promise = RetryPromise(fingerprint, tenant, class_queue, cost_us, now, now + wait_us)
        self.by_fingerprint.setdefault(fingerprint, deque()).append(promise)
        self.length += 1
        self._serial += 1
        class_queue.promised_us += cost_us
        class_queue.queue.promises += 1
        heappush(self._expiries, (promise.due_us + EXPIRE_AFTER_US, self._serial, promise))

    def open_promises(self) -> Iterator[RetryPromise]:
        """All that are open."""
        return chain.from_iterable(self.by_fingerprint.values())

    def of(self, fingerprint: int) -> RetryPromise | None:
        """The promise of a caller that has come back: its earliest one."""
        open_promises = self.by_fingerprint.get(fingerprint)
        return open_promises[0] if open_promises else None

    def is_due(self, now: int, promise: RetryPromise) -> bool:
        return now >= promise.promised_us + (promise.due_us - promise.promised_us) * EARLY

    def keep(self, promise: RetryPromise, *, came: bool = True) -> None:
        """The caller has come for it, or it has lapsed."""
        open_promises = self.by_fingerprint[promise.fingerprint]
        open_promises.remove(promise)
        if not open_promises:
            del self.by_fingerprint[promise.fingerprint]
        self.length -= 1
        class_queue = promise.class_queue
        class_queue.queue.promises -= 1
        class_queue.promised_us = max(0.0, class_queue.promised_us - promise.cost_us)
        if not came:
            class_queue.removed_work_us += promise.cost_us * class_queue.return_share
        class_queue.return_share += (came - class_queue.return_share) * RETURNS_STEP
        promise.cost_us = -1.0  # what is on the heap of it is void

    def expire(self, now: int) -> None:
        """Forget what nobody came for."""
        while self._expiries and (self._expiries[0][2].cost_us < 0 or self._expiries[0][0] <= now):
            promise = heappop(self._expiries)[2]
            if promise.cost_us >= 0:
                self.keep(promise, came=False)
        if len(self._expiries) > 2 * MAX_OPEN_PROMISES:
            self._expiries = [x for x in self._expiries if x[2].cost_us >= 0]
            heapify(self._expiries)

    @property
    def next_us(self) -> int | None:
        """When the next one lapses."""
        return self._expiries[0][0] if self._expiries else None

    # How true they were

    def measure(self, now: int, class_queue: ClassQueue, wait_us: int, work_ahead_us: float) -> None:
        """A told time is to be compared with when so much of the work before it has gone."""
        pending = self._pending.setdefault(class_queue, deque())
        if len(pending) < PENDING:
            pending.append(_PendingMeasurement(now, wait_us, class_queue.removed_work_us + work_ahead_us))

    def record_progress(self, now: int, class_queue: ClassQueue) -> None:
        """A line has come down: which told times' needs have come about."""
        pending = self._pending.get(class_queue)
        if pending is None:
            return
        while pending and (
            class_queue.removed_work_us >= pending[0].target_us or class_queue.work_ahead_us <= 0
        ):
            oldest = pending.popleft()
            self._judge(oldest.wait_us, now - oldest.promised_us)
        if not pending:
            del self._pending[class_queue]

    def _judge(self, promised_us: int, needed_us: int) -> None:
        if promised_us > FACTOR * max(1, needed_us):
            self.long += 1
        elif promised_us * FACTOR < needed_us:
            self.short += 1
        else:
            self.right += 1
