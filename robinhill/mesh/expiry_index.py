"""Index of stored records by the span of time in which they expire.

Time is divided into spans of ``SPAN_US``. At the end of a span the records that expire in that span are no
longer included in digests, on the copies of all schedulers at once. The records stay stored for another
``MAX_SKEW_US``, so that schedulers whose clocks differ by less than that compute equal digests as of the same
time.
"""

import heapq

from robinhill.mesh.clocks import MAX_SKEW_US
from robinhill.mesh.record_table import STALE_ENTRIES, StoredRecord

SPAN_US = 10_000_000  # long compared with the interval between digests, short compared with all lifetimes


def span_of(us: int) -> int:
    """Return the number of the span in which a record expires whose expiry time is ``us``.

    Span n ends at the Unix time n * ``SPAN_US``.
    """
    return -(-us // SPAN_US)


def is_forgotten(now_us: int, until_us: int) -> bool:
    """Whether a record that expires at ``until_us`` no longer needs to be stored."""
    return span_of(until_us) * SPAN_US + MAX_SKEW_US <= now_us


class ExpiryIndex:
    """Stored records by the span in which they expire."""

    def __init__(self) -> None:
        self._by_span: dict[int, dict[StoredRecord, None]] = {}  # the records of a span, oldest entry first
        self._heap: list[int] = []  # spans, including some without records

    def add(self, stored: StoredRecord) -> None:
        """Add a record under its current expiry time."""
        stored.expiry_span = span_of(stored.record.until_us)
        records = self._by_span.get(stored.expiry_span)
        if records is None:
            records = self._by_span[stored.expiry_span] = {}
            heapq.heappush(self._heap, stored.expiry_span)
            # Rebuild the heap when too many of its spans have become empty before they ended.
            if len(self._heap) > 2 * len(self._by_span) + STALE_ENTRIES:
                self._heap = sorted(self._by_span)
        records[stored] = None

    def remove(self, stored: StoredRecord) -> None:
        """Remove a record from the index. To be called before the record is dropped or changed."""
        records = self._by_span[stored.expiry_span]
        del records[stored]
        if not records:
            del self._by_span[stored.expiry_span]

    def next_forgotten(self, now_us: int) -> StoredRecord | None:
        """Return a record that no longer needs to be stored; None if there is none."""
        while self._heap:
            span = self._heap[0]
            if span * SPAN_US + MAX_SKEW_US > now_us:
                return None
            if span in self._by_span:
                return next(iter(self._by_span[span]))
            heapq.heappop(self._heap)
        return None

    def expired(self, span: int) -> list[tuple[int, int]]:
        """Return range and hash of the stored records that digests omit from the end of ``span`` on."""
        return [
            (stored.range_index, stored.hash) for end in self._until(span) for stored in self._by_span[end]
        ]

    def _until(self, span: int) -> set[int]:
        """Return the spans up to ``span`` that contain records.

        The search skips the subtree below each heap entry that is later than ``span``, as all entries in that
        subtree are later too.
        """
        found: set[int] = set()
        to_visit = [0]  # heap positions; the children of position ``at`` are 2 * at + 1 and 2 * at + 2
        while to_visit:
            at = to_visit.pop()
            if at < len(self._heap) and self._heap[at] <= span:
                found.add(self._heap[at])
                to_visit += (2 * at + 1, 2 * at + 2)
        return found & self._by_span.keys()
