"""The records of one kind in one copy: decoded once, counted, in order, and who goes when it is full."""

import heapq
from bisect import bisect_left, insort
from typing import Any

from robinhill.mesh.records import Kind, Record

UNREAD = object()  # a value that nobody has decoded yet


class Held:
    """A record as this copy holds it, with what would be costly to find again."""

    __slots__ = ("end", "hash", "place", "range", "record", "seq", "shelf", "value")

    def __init__(self, record: Record, shelf: "Shelf", place: str, index: int) -> None:
        self.record = record
        self.shelf = shelf
        self.place = place
        self.range = index
        self.value: object = UNREAD
        self.hash = 0
        self.seq = -1  # of its last change; -1 once it is no longer held
        self.end = 0  # the span of time with whose end it is over


def size_of(record: Record) -> int:
    """Bytes of a record as the bounds count them: what it brought, not what Python needs to hold it."""
    return len(record.key) + len(record.value)


class Shelf:
    """``kind`` is None for all records of kinds that this process does not know."""

    def __init__(self, kind: Kind[Any] | None) -> None:
        self.kind = kind
        self.held: dict[str, Held] = {}
        self.bytes = 0
        self._heap: list[tuple[Any, str, int]] | None = None  # by who goes first; made when it is first full
        self._order: list[str] | None = None  # keys in order; made when they are first read
        self._live: list[tuple[str, object]] | None = None
        self._live_from_us = 0
        self._live_until_us = 0

    def place(self, kind: str, key: str) -> str:
        return key if self.kind is not None else f"{kind}\0{key}"

    def put(self, held: Held, record: Record) -> None:
        """Let ``held`` hold ``record`` from now on."""
        self.bytes += size_of(record)
        if held.place in self.held:
            self.bytes -= size_of(held.record)
        elif self._order is not None:
            insort(self._order, held.place)
        self.held[held.place] = held
        held.record = record
        self._live = None

    def drop(self, held: Held) -> None:
        del self.held[held.place]
        if self._order is not None:
            del self._order[bisect_left(self._order, held.place)]
        self.bytes -= size_of(held.record)
        self._live = None

    def rank(self, record: Record, place: str) -> tuple[Any, str]:
        """Records with the lowest rank go first. It names the record, so that no two are equal."""
        if self.kind is None:
            return record.stamp, place
        assert self.kind.evict
        return self.kind.evict(record), place

    def ranked(self, held: Held) -> None:
        """Note the rank of a record that has changed."""
        if self._heap is not None:
            heapq.heappush(self._heap, (*self.rank(held.record, held.place), held.seq))
            if len(self._heap) > 2 * len(self.held) + 64:
                self._heap = None

    def first(self) -> Held:
        """Who goes first. Only for shelves that hold something."""
        if self._heap is None:
            self._heap = [(*self.rank(h.record, place), h.seq) for place, h in self.held.items()]
            heapq.heapify(self._heap)
        while True:
            _, place, seq = self._heap[0]
            held = self.held.get(place)
            if held is not None and held.seq == seq:
                return held
            heapq.heappop(self._heap)  # it has changed since

    def value(self, held: Held) -> object:
        if held.value is UNREAD:
            held.value = self.kind.decode(held.record.value) if self.kind else held.record.value
        return held.value

    def live(self, now_us: int) -> list[tuple[str, object]]:
        """Keys and values that count at ``now_us``, in key order."""
        if self._live is None or not self._live_from_us <= now_us < self._live_until_us:
            if self._order is None:
                self._order = sorted(self.held)
            counts = [h for h in map(self.held.__getitem__, self._order) if h.record.until_us > now_us]
            self._live = [(h.place, self.value(h) if h.value is UNREAD else h.value) for h in counts]
            self._live_from_us = now_us
            self._live_until_us = min((h.record.until_us for h in counts), default=now_us + 1)
        return self._live.copy()
