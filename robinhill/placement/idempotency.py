"""Keyed requests of late: where a repeat of one is dropped. Decisions only: no input or output.

A client's own retry brings its key again under a new id. As long as the first may have run, a repeat is
dropped only by the workers of the same group, and only for the time that the class names (``dedup``).
"""

from dataclasses import dataclass, field

MAX_KEYS = 16_384  # some 3 MB; minutes of a busy day, while classes remember for seconds


@dataclass(slots=True, frozen=True)
class DedupWindow:
    """The group of workers that has a key's first attempt, and until when it drops repeats (Unix us)."""

    group: int
    until_us: int


@dataclass(slots=True)
class IdempotencyKeys:
    """What became of keys that this scheduler has sent out; the oldest are forgotten past ``MAX_KEYS``."""

    _places: dict[tuple[int, str], DedupWindow] = field(default_factory=dict)
    _out: dict[tuple[int, int], tuple[int, str]] = field(default_factory=dict)  # by job and attempt

    def dedup_window(self, now_us: int, job_class: int, key: str) -> DedupWindow | None:
        """Where alone a repeat of this key may go now; None: anywhere."""
        place = self._places.get((job_class, key))
        return place if place and now_us < place.until_us else None

    def record_send(
        self, now_us: int, attempt: tuple[int, int], name: tuple[int, str], to: DedupWindow
    ) -> None:
        """An attempt goes out; the first that may have run is the one that counts."""
        if self.dedup_window(now_us, *name) is None:
            self._places.pop(name, None)  # to the end of the order in which they are forgotten
            self._places[name], self._out[attempt] = to, name
            if len(self._places) > MAX_KEYS:
                del self._places[next(iter(self._places))]

    def record_end(self, attempt: tuple[int, int], never_ran: bool) -> None:
        """An attempt is over: if it never ran, it does not bind a repeat."""
        if (name := self._out.pop(attempt, None)) and never_ran:
            self._places.pop(name, None)
