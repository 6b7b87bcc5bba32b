"""The records of one kind in one scheduler's replica: decoded once, counted, sorted, ranked for eviction.

``merging`` contains the merge rule; ``replica`` assigns timestamps and enforces the limits of kinds.
"""

import heapq
from bisect import bisect_left, insort
from typing import Any

from robinhill.mesh.records import Kind, Record

NOT_DECODED = object()
"""Stands for a value that was not decoded yet."""

STALE_ENTRIES = 64  # a heap or log is rebuilt once its length exceeds twice its live entries plus this number


class StoredRecord:
    """A record as this replica stores it, with derived data that would be costly to compute again.

    ``place``: the record's key in ``table``. ``value``: the decoded value, or `NOT_DECODED`. ``hash`` and
    ``range_index``: the record's hash for digests, and the range to which the record belongs (`digests`).
    ``change_number``: the number of the record's last change, -1 before the first one and once the record is
    dropped. ``expiry_span``: the number of the span of time in which the record expires (`expiry_index`).
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
    """Return the size of a record that counts towards limits: the bytes of its key and its value."""
    return len(record.key) + len(record.value)


class RecordTable:
    """All records of ``kind``. The table with kind None stores those of all unregistered kinds."""

    def __init__(self, kind: Kind[Any] | None) -> None:
        self.kind = kind
        self.stored: dict[str, StoredRecord] = {}
        self.bytes = 0  # total size of the keys and values of all records
        # Rank (two items) and change number of each record, and stale entries; built by `first_to_evict`.
        self._eviction_heap: list[tuple[Any, str, int]] | None = None
        self._sorted_places: list[str] | None = None  # built at the first call of `live`
        # The cached result of `live`, which is valid from ``_live_from_us`` to ``_live_until_us``.
        self._live: list[tuple[str, object]] | None = None
        self._live_from_us = 0
        self._live_until_us = 0

    def place(self, kind: str, key: str) -> str:
        """Return the key under which this table stores a record.

        This is the record's key, preceded by its kind in the table of all unregistered kinds.
        """
        return key if self.kind is not None else f"{kind}\0{key}"

    def put(self, stored: StoredRecord, record: Record) -> None:
        """Store ``record`` in ``stored``, which is added to the table if it is new."""
        self.bytes += size_of(record)
        if stored.place in self.stored:
            self.bytes -= size_of(stored.record)
        elif self._sorted_places is not None:
            insort(self._sorted_places, stored.place)
        self.stored[stored.place] = stored
        stored.record = record
        self._live = None

    def drop(self, stored: StoredRecord) -> None:
        """Remove a record from the table."""
        del self.stored[stored.place]
        if self._sorted_places is not None:
            del self._sorted_places[bisect_left(self._sorted_places, stored.place)]
        self.bytes -= size_of(stored.record)
        self._live = None

    def rank(self, record: Record, place: str) -> tuple[Any, str]:
        """Return the rank of a record for eviction; records with the lowest rank are evicted first.

        The rank ends with the place, so that no two ranks are equal.
        """
        if self.kind is None:
            return record.stamp, place
        assert self.kind.evict
        return self.kind.evict(record), place

    def update_rank(self, stored: StoredRecord) -> None:
        """Update the eviction heap after a record has changed."""
        if self._eviction_heap is not None:
            entry = (*self.rank(stored.record, stored.place), stored.change_number)
            heapq.heappush(self._eviction_heap, entry)
            if len(self._eviction_heap) > 2 * len(self.stored) + STALE_ENTRIES:
                self._eviction_heap = None

    def first_to_evict(self) -> StoredRecord:
        """Return the record with the lowest rank. The table must not be empty."""
        if self._eviction_heap is None:
            self._eviction_heap = [
                (*self.rank(entry.record, place), entry.change_number) for place, entry in self.stored.items()
            ]
            heapq.heapify(self._eviction_heap)
        while True:
            _, place, change_number = self._eviction_heap[0]
            stored = self.stored.get(place)
            if stored is not None and stored.change_number == change_number:
                return stored
            heapq.heappop(self._eviction_heap)  # a stale entry: its record was changed or dropped

    def value(self, stored: StoredRecord) -> object:
        """Return the decoded value of a record; the first call decodes it.

        The value of an unregistered kind can't be decoded and is returned as stored.
        """
        if stored.value is NOT_DECODED:
            encoded = stored.record.value
            stored.value = self.kind.decode(encoded) if self.kind else encoded
        return stored.value

    def live(self, now_us: int) -> list[tuple[str, object]]:
        """Return keys and values of the records that have not expired at ``now_us``, in key order."""
        if self._live is None or not self._live_from_us <= now_us < self._live_until_us:
            if self._sorted_places is None:
                self._sorted_places = sorted(self.stored)
            live = [
                stored
                for stored in map(self.stored.__getitem__, self._sorted_places)
                if stored.record.until_us > now_us
            ]
            self._live = [
                (stored.place, self.value(stored) if stored.value is NOT_DECODED else stored.value)
                for stored in live
            ]
            self._live_from_us = now_us
            self._live_until_us = min((stored.record.until_us for stored in live), default=now_us + 1)
        return self._live.copy()
