"""The records of one kind in one copy: decoded once, counted, sorted by key, and ranked for eviction.

Owns no merge rule, no timestamps and no bounds; see ``merging`` and ``replica`` for these.
"""

import heapq
from bisect import bisect_left, insort
from typing import Any

from robinhill.mesh.records import Kind, Record

NOT_DECODED = object()
"""Stands for a value that was not decoded yet."""

STALE_ENTRIES = 64  # in a heap or log beyond twice its live entries, before it is rebuilt


class StoredRecord:
    """A record as this copy stores it, with what would be costly to compute again.

    ``place``: its key in the table. ``change_number``: of its last change, -1 once it is dropped.
    ``expiry_span``: the span of time with whose end it has expired (`expiry_index`).
    """

    __slots__ = ("change_number", "expiry_span", "hash", "place", "range_index", "record", "table", "value")

    def __init__(self, record: Record, table: "RecordTable", place: str, range_index: int) -> None:
        self.record = record
        self.table = table
        self.place = place
        self.range_index = range_index
        self.value: object = NOT_DECODED
        self.hash = 0
        self.change_number = -1
        self.expiry_span = 0


def size_of(record: Record) -> int:
    """Bytes of a record as bounds count them: its key and value, not Python's overhead."""
    return len(record.key) + len(record.value)


class RecordTable:
    """All records of ``kind``; None for those of all kinds that this process does not know."""

    def __init__(self, kind: Kind[Any] | None) -> None:
        self.kind = kind
        self.stored: dict[str, StoredRecord] = {}
        self.bytes = 0
        self._eviction_heap: list[tuple[Any, str, int]] | None = None  # made when the table is first full
        self._sorted_places: list[str] | None = None  # made when they are first read
        self._live: list[tuple[str, object]] | None = None
        self._live_from_us = 0
        self._live_until_us = 0

    def place(self, kind: str, key: str) -> str:
        """The key of a record in this table."""
        return key if self.kind is not None else f"{kind}\0{key}"

    def put(self, stored: StoredRecord, record: Record) -> None:
        """Let ``stored`` contain ``record`` from now on."""
        self.bytes += size_of(record)
        if stored.place in self.stored:
            self.bytes -= size_of(stored.record)
        elif self._sorted_places is not None:
            insort(self._sorted_places, stored.place)
        self.stored[stored.place] = stored
        stored.record = record
        self._live = None

    def drop(self, stored: StoredRecord) -> None:
        """Remove a record."""
        del self.stored[stored.place]
        if self._sorted_places is not None:
            del self._sorted_places[bisect_left(self._sorted_places, stored.place)]
        self.bytes -= size_of(stored.record)
        self._live = None

    def rank(self, record: Record, place: str) -> tuple[Any, str]:
        """Records with the lowest rank are evicted first. Ends with the place, so no two are equal."""
        if self.kind is None:
            return record.stamp, place
        assert self.kind.evict
        return self.kind.evict(record), place

    def update_rank(self, stored: StoredRecord) -> None:
        """A record has changed, and its rank with it."""
        if self._eviction_heap is not None:
            entry = (*self.rank(stored.record, stored.place), stored.change_number)
            heapq.heappush(self._eviction_heap, entry)
            if len(self._eviction_heap) > 2 * len(self.stored) + STALE_ENTRIES:
                self._eviction_heap = None

    def first_to_evict(self) -> StoredRecord:
        """The record of the lowest rank; only for tables that are not empty."""
        if self._eviction_heap is None:
            self._eviction_heap = [
                (*self.rank(one.record, place), one.change_number) for place, one in self.stored.items()
            ]
            heapq.heapify(self._eviction_heap)
        while True:
            _, place, change_number = self._eviction_heap[0]
            stored = self.stored.get(place)
            if stored is not None and stored.change_number == change_number:
                return stored
            heapq.heappop(self._eviction_heap)  # it has changed since

    def value(self, stored: StoredRecord) -> object:
        """The decoded value."""
        if stored.value is NOT_DECODED:
            encoded = stored.record.value
            stored.value = self.kind.decode(encoded) if self.kind else encoded
        return stored.value

    def live(self, now_us: int) -> list[tuple[str, object]]:
        """Keys and values that have not expired at ``now_us``, in key order."""
        if self._live is None or not self._live_from_us <= now_us < self._live_until_us:
            if self._sorted_places is None:
                self._sorted_places = sorted(self.stored)
            live = [
                one
                for one in map(self.stored.__getitem__, self._sorted_places)
                if one.record.until_us > now_us
            ]
            self._live = [
                (one.place, self.value(one) if one.value is NOT_DECODED else one.value) for one in live
            ]
            self._live_from_us = now_us
            self._live_until_us = min((one.record.until_us for one in live), default=now_us + 1)
        return self._live.copy()
