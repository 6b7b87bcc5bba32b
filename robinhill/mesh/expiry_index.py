"""Which stored records expire when, by spans of time: at the end of a span its records leave all digests.

A record stays stored for ``AHEAD_US`` after its span, so that copies whose clocks differ by less agree on the
digests as of any time.
"""

import heapq

from robinhill.mesh.clocks import AHEAD_US
from robinhill.mesh.record_table import STALE_ENTRIES, StoredRecord

SPAN_US = 10_000_000  # long next to the time between digests, short next to all lifetimes


def span_of(us: int) -> int:
    """The span at whose end a record that expires at ``us`` leaves the digests."""
    return -(-us // SPAN_US)


def is_forgotten(now_us: int, until_us: int) -> bool:
    """Whether a record that expires at ``until_us`` need not be stored any more."""
    return span_of(until_us) * SPAN_US + AHEAD_US <= now_us


class ExpiryIndex:
    """Stored records by the span in which they expire."""

    def __init__(self) -> None:
        self._by_span: dict[int, dict[StoredRecord, None]] = {}
        self._heap: list[int] = []

    def add(self, stored: StoredRecord) -> None:
        """Index a record by its present end."""
        stored.expiry_span = span_of(stored.record.until_us)
        members = self._by_span.get(stored.expiry_span)
        if members is None:
            members = self._by_span[stored.expiry_span] = {}
            heapq.heappush(self._heap, stored.expiry_span)
            if len(self._heap) > 2 * len(self._by_span) + STALE_ENTRIES:  # spans that became empty early
                self._heap = sorted(self._by_span)
        members[stored] = None

    def remove(self, stored: StoredRecord) -> None:
        """Remove a record, before it is dropped or changed."""
        members = self._by_span[stored.expiry_span]
        del members[stored]
        if not members:
            del self._by_span[stored.expiry_span]

    def next_forgotten(self, now_us: int) -> StoredRecord | None:
        """A record that need not be stored any more; None if there is none."""
        while self._heap:
            span = self._heap[0]
            if span * SPAN_US + AHEAD_US > now_us:
                return None
            if span in self._by_span:
                return next(iter(self._by_span[span]))
            heapq.heappop(self._heap)
        return None

    def expired(self, span: int) -> list[tuple[int, int]]:
        """Range and hash of the records that left the digests with this span or before."""
        return [
            (stored.range_index, stored.hash) for end in self._until(span) for stored in self._by_span[end]
        ]

    def _until(self, span: int) -> set[int]:
        """The spans up to this one that are not empty: a walk down the heap as far as it is due."""
        found: set[int] = set()
        to_visit = [0]
        while to_visit:
            at = to_visit.pop()
            if at < len(self._heap) and self._heap[at] <= span:
                found.add(self._heap[at])
                to_visit += (2 * at + 1, 2 * at + 2)
        return found & self._by_span.keys()
