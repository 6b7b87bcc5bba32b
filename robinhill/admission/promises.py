"""Retry promises: a bounded registry of the retry times given to rejected callers, and of their accuracy.

A promise is open until its caller retries ("returns") or the promise expires. Whether a returning caller is
queued or rejected is decided in admission.py.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import chain

from robinhill.admission.queues import ClassQueue

MAX_OPEN_PROMISES = 8_192
EXPIRE_AFTER_US = 2_000_000  # a promise expires this long after it was due, unless the caller has returned
MIN_WAITED_SHARE = 0.75  # a caller that returns before this share of the promised wait is rejected as early
# A promised wait within this factor of the needed wait counts as accurate. The needed wait is the time until
# the queue was short enough for the caller's request, see `RetryPromises.measure`.
ACCURACY_FACTOR = 2.0
RETURN_SHARE_STEP = 1 / 32  # weight of one closed promise in `ClassQueue.return_share`
MAX_MEASUREMENTS = 256  # maximum number of concurrent measurements for each class of a queue


@dataclass(slots=True)
class RetryPromise:
    """A caller may retry at ``due_us``.

    While the promise is open, ``cost_us``, the estimated work of the caller's request, counts as work ahead
    of requests that arrive in ``class_queue``.
    """

    fingerprint: int
    tenant: int
    class_queue: ClassQueue
    cost_us: float
    promised_us: int  # time at which the promise was made
    due_us: int


@dataclass(slots=True)
class _PendingMeasurement:
    """A promised wait under measurement.

    The measurement ends when the removed work of the class queue reaches ``target_us``, or when the class
    queue has no work ahead any more.
    """

    promised_us: int
    wait_us: int
    target_us: float


@dataclass(slots=True)
class RetryPromises:
    """Open promises by the callers' fingerprints; those of one caller are in the order of their creation."""

    by_fingerprint: dict[int, deque[RetryPromise]] = field(default_factory=dict)
    open_count: int = 0
    accurate: int = 0  # promised waits within a factor of ACCURACY_FACTOR of the needed wait
    too_short: int = 0  # promised waits below the needed wait by more than that factor
    too_long: int = 0  # promised waits above the needed wait by more than that factor
    # A heap of (time of expiry, serial number, promise); it may contain promises that are already closed.
    _expiries: list[tuple[int, int, RetryPromise]] = field(default_factory=list)
    _serial: int = 0
    _pending: dict[ClassQueue, deque[_PendingMeasurement]] = field(default_factory=dict)

    def make(
        self, now: int, fingerprint: int, tenant: int, class_queue: ClassQueue, cost_us: float, wait_us: int
    ) -> None:
        """Register a promise of ``wait_us`` from ``now``.

        At MAX_OPEN_PROMISES nothing is registered: the caller still gets its Retry-After, but its work is not
        counted as work ahead.
        """
        if self.open_count >= MAX_OPEN_PROMISES:
            return
        promise = RetryPromise(fingerprint, tenant, class_queue, cost_us, now, now + wait_us)
        self.by_fingerprint.setdefault(fingerprint, deque()).append(promise)
        self.open_count += 1
        self._serial += 1
        class_queue.promised_us += cost_us
        class_queue.queue.promises += 1
        heappush(self._expiries, (promise.due_us + EXPIRE_AFTER_US, self._serial, promise))

    def open_promises(self) -> Iterator[RetryPromise]:
        """Iterate over all open promises."""
        return chain.from_iterable(self.by_fingerprint.values())

    def oldest(self, fingerprint: int) -> RetryPromise | None:
        """The oldest open promise of a caller; None if it has none."""
        open_promises = self.by_fingerprint.get(fingerprint)
        return open_promises[0] if open_promises else None

    def is_due(self, now: int, promise: RetryPromise) -> bool:
        """Whether the caller has waited at least MIN_WAITED_SHARE of the promised wait."""
        return now >= promise.promised_us + (promise.due_us - promise.promised_us) * MIN_WAITED_SHARE

    def close(self, promise: RetryPromise, *, returned: bool = True) -> None:
        """Close a promise because its caller ``returned`` or, otherwise, because it has expired."""
        open_promises = self.by_fingerprint[promise.fingerprint]
        open_promises.remove(promise)
        if not open_promises:
            del self.by_fingerprint[promise.fingerprint]
        self.open_count -= 1
        class_queue = promise.class_queue
        class_queue.queue.promises -= 1
        class_queue.promised_us = max(0.0, class_queue.promised_us - promise.cost_us)
        if not returned:
            class_queue.removed_work_us += promise.cost_us * class_queue.return_share
        class_queue.return_share += (returned - class_queue.return_share) * RETURN_SHARE_STEP
        promise.cost_us = -1.0  # marks the promise as closed for `expire`

    def expire(self, now: int) -> None:
        """Close the promises that have expired without a retry by the caller."""
        while self._expiries and (self._expiries[0][2].cost_us < 0 or self._expiries[0][0] <= now):
            promise = heappop(self._expiries)[2]
            if promise.cost_us >= 0:
                self.close(promise, returned=False)
        if len(self._expiries) > 2 * MAX_OPEN_PROMISES:
            self._expiries = [x for x in self._expiries if x[2].cost_us >= 0]
            heapify(self._expiries)

    @property
    def next_us(self) -> int | None:
        """Time at which the next promise expires; None without open promises."""
        return self._expiries[0][0] if self._expiries else None

    # Accuracy

    def measure(self, now: int, class_queue: ClassQueue, wait_us: int, work_ahead_us: float) -> None:
        """Start to compare a promised wait with the time until ``work_ahead_us`` of work has been removed.

        The work counts as removed when it has been admitted or dropped from the class queue. Beyond
        MAX_MEASUREMENTS the call has no effect.
        """
        pending = self._pending.setdefault(class_queue, deque())
        if len(pending) < MAX_MEASUREMENTS:
            pending.append(_PendingMeasurement(now, wait_us, class_queue.removed_work_us + work_ahead_us))

    def record_progress(self, now: int, class_queue: ClassQueue) -> None:
        """End each measurement that is complete, and count its promised wait as accurate, short or long.

        Must be called after work was removed from the class queue.
        """
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
            self.too_long += 1
        elif promised_us * ACCURACY_FACTOR < needed_us:
            self.too_short += 1
        else:
            self.accurate += 1
