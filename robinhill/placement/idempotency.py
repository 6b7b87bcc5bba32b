"""Recent requests with an idempotency key: which workers drop a repeat of each. No input or output.

A client's own retry brings its key again under a new id. As long as the first request may have run, only the
workers of its group drop a repeat, and only for the time that the class names (``dedup`` in the settings).
"""

from dataclasses import dataclass, field

from robinhill.placement.records import AttemptKey

MAX_KEYS = 16_384  # some 3 MB; minutes of a busy day

ClassKey = tuple[int, str]  # number of the class, idempotency key


@dataclass(slots=True, frozen=True)
class DedupWindow:
    """The group of workers that drops repeats of a key, and until when (Unix us)."""

    group: int
    until_us: int


@dataclass(slots=True)
class IdempotencyKeys:
    """The deduplication windows of keys sent to workers; past ``MAX_KEYS`` the oldest are evicted."""

    _windows: dict[ClassKey, DedupWindow] = field(default_factory=dict)
    _in_flight: dict[AttemptKey, ClassKey] = field(default_factory=dict)

    def dedup_window(self, now_us: int, job_class: int, key: str) -> DedupWindow | None:
        """The window to which a repeat of this key is restricted now; None: it may go anywhere."""
        window = self._windows.get((job_class, key))
        return window if window and now_us < window.until_us else None

    def record_send(self, now_us: int, attempt: AttemptKey, name: ClassKey, window: DedupWindow) -> None:
        """An attempt is sent; its window counts unless an earlier one is still open."""
        if self.dedup_window(now_us, *name) is not None:
            return
        self._windows.pop(name, None)  # to the end of the order of eviction
        self._windows[name], self._in_flight[attempt] = window, name
        if len(self._windows) > MAX_KEYS:
            del self._windows[next(iter(self._windows))]

    def record_end(self, attempt: AttemptKey, never_ran: bool) -> None:
        """An attempt has ended; one that never ran restricts no repeat."""
        if (name := self._in_flight.pop(attempt, None)) and never_ran:
            self._windows.pop(name, None)
