"""Idempotency keys of jobs sent to workers, each with the group of workers that drops repeats. No I/O.

A client's retry has the idempotency key of the first request and a new request id. If the first request may
have run, a repeat is dropped only by the workers of one group: the zone or cell of the worker to which the
first request was sent, or all workers, depending on ``JobClass.scope``. These workers drop repeats only for
the time ``JobClass.memory_us``.
"""

from dataclasses import dataclass, field

from robinhill.placement.records import AttemptKey

# How long a window is kept after its end: a repeat that arrived before the end may be handled later.
CLOSED_WINDOW_RETENTION_US = 60_000_000

ClassKey = tuple[int, str]  # number of the class, idempotency key


@dataclass(slots=True, frozen=True)
class DedupWindow:
    """The group of workers that drops repeats of a key, and until when it does (Unix us).

    ``group`` is the number of a zone or cell; -1: all workers drop repeats.
    """

    group: int
    until_us: int


@dataclass(slots=True)
class IdempotencyKeys:
    """Holds the deduplication windows of keys sent to workers.

    No window is dropped before its end: a repeat would be sent to workers that run the job again. Their
    number is limited by the keyed jobs that workers accept within ``JobClass.memory_us``; one takes some 200
    bytes.
    """

    _windows: dict[ClassKey, DedupWindow] = field(default_factory=dict)
    _in_flight: dict[AttemptKey, ClassKey] = field(default_factory=dict)

    def dedup_window(self, now_us: int, job_class: int, key: str) -> DedupWindow | None:
        """Return the open window of this key; None: no window is open, and any worker may get a repeat."""
        window = self._windows.get((job_class, key))
        return window if window and now_us < window.until_us else None

    def record_send(self, now_us: int, attempt: AttemptKey, key: ClassKey, window: DedupWindow) -> None:
        """Open a window for the key of an attempt being sent, unless an earlier one is still open."""
        if self.dedup_window(now_us, *key) is not None:
            return
        self._drop_closed(now_us)
        self._windows.pop(key, None)  # the new window becomes the last one
        self._windows[key], self._in_flight[attempt] = window, key

    def _drop_closed(self, now_us: int) -> None:
        """Drop the oldest windows up to the first one that is to be kept."""
        while self._windows:
            oldest, window = next(iter(self._windows.items()))
            if now_us < window.until_us + CLOSED_WINDOW_RETENTION_US:
                return
            del self._windows[oldest]

    def record_end(self, attempt: AttemptKey, never_ran: bool) -> None:
        """Record the end of an attempt; if it never ran, the window that it opened is closed."""
        if (key := self._in_flight.pop(attempt, None)) and never_ran:
            self._windows.pop(key, None)
