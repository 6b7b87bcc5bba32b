"""Promised retry times: a bounded registry of what rejected callers were promised, and how accurate it was.

It decides nothing: whether a returning caller is admitted early is admission's.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import chain

from robinhill.admission.queues import ClassQueue

MAX_OPEN_PROMISES = 8_192
EXPIRE_AFTER_US = 2_000_000  # after its time, if the caller has not come back
MIN_WAITED_SHARE = 0.75  # of the promised wait, after which a returning caller counts as in time
ACCURACY_FACTOR = 2.0  # within which a promised wait counts as accurate
RETURN_SHARE_STEP = 1 / 32
MAX_MEASUREMENTS = 256  # at a time, for each class of a queue


@dataclass(slots=True)
class RetryPromise:
    """A caller may come back at ``due_us``; until then its work counts as if it were queued."""

    fingerprint: int
    tenant: int
    class_queue: ClassQueue
    cost_us: float
    promised_us: int  # when the promise was made
    due_us: int


@dataclass(slots=True)
class _PendingMeasurement:
    """A promised wait under measurement: it should end once the class's removed work is ``target_us``."""

    promised_us: int
    wait_us: int
    target_us: float


@dataclass(slots=True)
class RetryPromises:
    """Open promises by the callers' fingerprints; a caller may have several, the earliest first."""

    by_fingerprint: dict[int, deque[RetryPromise]] = field(default_factory=dict)
    length: int = 0
    right: int = 0  # waits within the factor of what was needed
    short: int = 0  # waits too short by more than the factor
    long: int = 0
    _expiries: list[tuple[int, int, RetryPromise]] = field(default_factory=list)
    _serial: int = 0
    _pending: dict[ClassQueue, deque[_PendingMeasurement]] = field(default_factory=dict)

    def make(
        self, now: int, fingerprint: int, tenant: int, class_queue: ClassQueue, cost_us: float, wait_us: int
    ) -> None:
        """Register a promise; at the bound the caller still gets its Retry-After, but no work is reserved."""
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
        """All open promises."""
        return chain.from_iterable(self.by_fingerprint.values())

    def of(self, fingerprint: int) -> RetryPromise | None:
        """The earliest promise of a caller; None without any."""
        open_promises = self.by_fingerprint.get(fingerprint)
        return open_promises[0] if open_promises else None

    def is_due(self, now: int, promise: RetryPromise) -> bool:
        """Whether the caller has waited long enough."""
        return now >= promise.promised_us + (promise.due_us - promise.promised_us) * MIN_WAITED_SHARE

    def keep(self, promise: RetryPromise, *, returned: bool = True) -> None:
        """Close a promise: its caller came back, or it has expired."""
        open_promises = self.by_fingerprint[promise.fingerprint]
        open_promises.remove(promise)
        if not open_promises:
            del self.by_fingerprint[promise.fingerprint]
        self.length -= 1
        class_queue = promise.class_queue
        class_queue.queue.promises -= 1
        class_queue.promised_us = max(0.0, class_queue.promised_us - promise.cost_us)
        if not returned:
            class_queue.removed_work_us += promise.cost_us * class_queue.return_share
        class_queue.return_share += (returned - class_queue.return_share) * RETURN_SHARE_STEP
        promise.cost_us = -1.0  # marks its entry on the heap as void

    def expire(self, now: int) -> None:
        """Close promises whose callers have not come back."""
        while self._expiries and (self._expiries[0][2].cost_us < 0 or self._expiries[0][0] <= now):
            promise = heappop(self._expiries)[2]
            if promise.cost_us >= 0:
                self.keep(promise, returned=False)
        if len(self._expiries) > 2 * MAX_OPEN_PROMISES:
            self._expiries = [x for x in self._expiries if x[2].cost_us >= 0]
            heapify(self._expiries)

    @property
    def next_us(self) -> int | None:
        """When the next promise expires."""
        return self._expiries[0][0] if self._expiries else None

    # Accuracy

    def measure(self, now: int, class_queue: ClassQueue, wait_us: int, work_ahead_us: float) -> None:
        """Compare a promised wait with the time until so much work ahead has been removed."""
        pending = self._pending.setdefault(class_queue, deque())
        if len(pending) < MAX_MEASUREMENTS:
            pending.append(_PendingMeasurement(now, wait_us, class_queue.removed_work_us + work_ahead_us))

    def record_progress(self, now: int, class_queue: ClassQueue) -> None:
        """Work of a class was removed: finish the measurements that have reached their target."""
        pending = self._pending.get(class_queue)
        if pending is None:
            return
        while pending and (
            class_queue.removed_work_us >= pending[0].target_us or class_queue.work_ahead_us <= 0
        ):
            oldest = pending.popleft()
            self._record(oldest.wait_us, now - oldest.promised_us)
        if not pending:
            del self._pending[class_queue]

    def _record(self, promised_us: int, needed_us: int) -> None:
        if promised_us > ACCURACY_FACTOR * max(1, needed_us):
            self.long += 1
        elif promised_us * ACCURACY_FACTOR < needed_us:
            self.short += 1
        else:
            self.right += 1
