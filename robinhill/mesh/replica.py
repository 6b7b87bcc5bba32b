"""One copy of what schedulers share. Copies that took the same records, in whatever order, are equal; the
rule by which records merge is in ``merging.py``.

**When a record is over.** Past ``until_us`` it counts for nothing: it is not read, not merged into what is
live, and gives way to what is. It stays for the copies' sake until the end of its span (spans of
``SPAN_US``), where it leaves the digests of all copies at once, and is dropped ``AHEAD_US`` later. So copies
may collect when they like; and if the time goes with a digest and the other side answers for that time,
clocks that differ by less than ``AHEAD_US`` do not make digests differ. (Two copies whose clocks lie on
either side of a record's end may for that long still merge it into what is written then; that spreads to all
as any merge does.)

**Who was away.** Removals lie in the values of kinds and are over with their record. A member that wrote a
record anew while it was away for longer than a kind's lifetime could so bring back what others have removed
and forgotten. It asks ``stale``; if so it calls ``clear`` and takes a whole snapshot of a peer before it
writes, serves or answers peers. ``away_us`` counts from when a majority was last heard, or from when the file
was saved.

**Bounds.** ``write`` refuses at a kind's bound, ``take`` at twice that: what several schedulers accepted at
the same time must fit on all, or copies would differ by the order of arrival. Kinds that name who goes first
never refuse: every copy keeps those of the highest rank, which is the same set on all.
"""

import heapq
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from typing import Any

from robinhill.mesh import digests
from robinhill.mesh.clocks import AHEAD_US, FAR_US, LONGEST_LIFETIME_US, HybridClock, StampAhead, ahead_us
from robinhill.mesh.errors import ForeignState, StateFull
from robinhill.mesh.merging import LARGEST_TAKE, LONGEST_KIND, decoded, joined, malformed, merged_with_value
from robinhill.mesh.record_table import UNREAD, Held, Shelf, size_of
from robinhill.mesh.records import Kind, Record

LARGEST_WRITE = LARGEST_TAKE // 4  # bytes of a value; values written apart may add up
ROOM_TO_TAKE = 2  # times a kind's bound: each side of a partition may have filled its own
MOST_BYTES = 16 << 20  # of keys and values of a kind: a bound by number alone doesn't bound memory
UNKNOWN_RECORDS = 4_096  # of all kinds that this process does not know
SPAN_US = 10_000_000  # long next to how far looks at digests are apart, short next to all lifetimes
MOST_COLLECTED = 1_000  # records a call: some milliseconds
UNKNOWN = "unknown"


def _span_of(us: int) -> int:
    """The span of time at whose end what is over at ``us`` leaves the digests."""
    return -(-us // SPAN_US)


def _told_by(record: Record, ahead: int) -> str:
    return f"{record.stamp.origin}, or who wrote it before, stamped a record {ahead / 1e6:.0f} s ahead"


class Replica:
    """``value`` and ``items`` tell what counts at the latest ``now_us`` that any call gave."""

    def __init__(self, origin: str, incarnation: int, kinds: Iterable[Kind[Any]]) -> None:
        self.clock = HybridClock(origin, incarnation)
        self.head = 0
        self._now_us = 0
        self._shelves: dict[str, Shelf] = {}
        for kind in kinds:
            taken = kind.name in ("", UNKNOWN, *self._shelves)
            if taken or len(kind.name) > LONGEST_KIND or "\0" in kind.name:
                raise ValueError(f"a kind can't be named {kind.name!r}, or not twice")
            if not SPAN_US <= kind.lifetime_us <= LONGEST_LIFETIME_US or kind.bound < 1:
                raise ValueError(f"kind {kind.name} has a lifetime or bound that can't be kept")
            self._shelves[kind.name] = Shelf(kind)
        self._unknown = Shelf(None)
        self._count = 0
        self._sums = digests.Sums()
        self._in_range: list[set[Held]] = [set() for _ in range(digests.RANGES)]
        self._spans: dict[int, dict[Held, None]] = {}  # who is over with which span
        self._span_heap: list[int] = []
        self._log: list[Held] = []  # by change; an entry counts while its number is the record's
        self._log_seqs: list[int] = []
        self._version = 0  # of the digests, with what was last told of them
        self._told: tuple[tuple[int, int], tuple[int, ...], bytes] | None = None

    def write(self, now_us: int, kind: str, key: str, value: object) -> Record:
        """Merge ``value`` into what is held by the kind's rule, and stamp it; it lives anew from now.

        Raises StateFull at the kind's bound; KeyError for a kind that was not registered.
        """
        self._now_us = now_us
        shelf = self._shelves[kind]
        rule = shelf.kind
        assert rule
        held = shelf.held.get(key)
        base = held if held is not None and held.record.until_us > now_us else None
        if base is not None:
            packed, value = joined(rule, shelf.value(base), value)
        else:
            packed = rule.encode(value)
        if len(packed) > LARGEST_WRITE:
            raise StateFull(f"{kind} {key!r} would have {len(packed)} bytes, at most {LARGEST_WRITE} may")
        stamp = self.clock.tick(now_us, held.record.stamp if held is not None else None)
        until_us = now_us + rule.lifetime_us
        record = Record(kind, key, stamp, max(until_us, base.record.until_us) if base else until_us, packed)
        if why := malformed(record):
            raise ValueError(f"{kind} {key!r} can't be written: {why}")
        if not self._put(shelf, record, value, 1):
            raise StateFull(f"{rule.bound} records of {kind} are held that all go before {key!r}")
        return record

    def merge(self, now_us: int, record: Record) -> Record | None:
        """Merge a peer's record. The record now held if this copy changed by it, None if not.

        Raises ForeignState (it can't be decoded), StateFull, and StampAhead, a FutureStamp that has ``held``:
        the record now held where this copy changed all the same, None where it refused.
        """
        self._now_us = now_us
        if why := malformed(record):
            raise ForeignState(f"a record of {record.kind[:LONGEST_KIND]!r} was refused: {why}")
        if _span_of(record.until_us) * SPAN_US + AHEAD_US <= now_us:
            return None
        ahead = ahead_us(now_us, record)
        if ahead > FAR_US:
            raise StampAhead(f"{_told_by(record, ahead)}, it was refused", None)
        shelf = self._shelves.get(record.kind, self._unknown)
        new, value = record, UNREAD
        held = shelf.held.get(shelf.place(record.kind, record.key))
        if held is not None and (held.record.until_us > now_us) == (record.until_us > now_us):
            if held.record == record:
                return None
            new, value = merged_with_value(shelf.kind, held.record, record, held.value)
            if new == held.record:
                return None
        elif held is not None and record.until_us <= now_us:
            return None  # what is over adds nothing to what is live; and gives way to it, below
        if value is UNREAD and shelf.kind is not None:
            value = decoded(shelf.kind, new)
        self.clock.observe(now_us, record.stamp)
        if not self._put(shelf, new, value, ROOM_TO_TAKE):
            return None
        if ahead > AHEAD_US:
            raise StampAhead(f"{_told_by(record, ahead)}, its weight is bounded", new)
        return new

    def value(self, kind: str, key: str) -> object | None:
        """The decoded value; None where nothing is held or it is over. KeyError for a kind not registered."""
        shelf = self._shelves[kind]
        held = shelf.held.get(key)
        return shelf.value(held) if held is not None and held.record.until_us > self._now_us else None

    def items(self, kind: str) -> list[tuple[str, object]]:
        """Keys and values of what counts, in key order. Cheap while nothing of the kind changes."""
        return self._shelves[kind].live(self._now_us)

    def record(self, kind: str, key: str) -> Record | None:
        """The record as it is held, be it over or not."""
        shelf = self._shelves.get(kind, self._unknown)
        held = shelf.held.get(shelf.place(kind, key))
        return held.record if held is not None else None

    def since(self, cursor: int, limit: int) -> tuple[list[Record], int]:
        """At most ``limit`` records that changed after ``cursor``, oldest change first, each once as it is
        now; and the cursor to go on from. 0 is before everything, and so is one that this process never gave.
        """
        at = bisect_right(self._log_seqs, cursor) if cursor <= self.head else 0
        found: list[Record] = []
        while at < len(self._log) and len(found) < limit:
            cursor = self._log_seqs[at]
            if self._log[at].seq == cursor:
                found.append(self._log[at].record)
            at += 1
        return found, self.head if at == len(self._log) else cursor

    def snapshot(self, persistent_only: bool = False) -> Iterator[Record]:
        """All records that have not expired, oldest change first; changes may go on meanwhile.

        ``persistent_only``: only those of persistent kinds.
        """
        for held in [held for held, seq in zip(self._log, self._log_seqs, strict=True) if held.seq == seq]:
            if held.seq >= 0 and held.record.until_us > self._now_us:
                if not persistent_only or held.shelf.kind is None or held.shelf.kind.persistent:
                    yield held.record

    def digest(self, now_us: int) -> bytes:
        """16 bytes, equal if and only if copies are, as of ``now_us``."""
        return self._digests(now_us)[1]

    def ranges(self, now_us: int) -> tuple[int, ...]:
        """A digest of 64 bits for each of 256 ranges by the hash of the record's name, as of ``now_us``."""
        return self._digests(now_us)[0]

    def in_range(self, index: int) -> list[Record]:
        """What is held of one range, in the order of names."""
        return sorted((held.record for held in self._in_range[index]), key=lambda r: r.name)

    def collect(self, now_us: int) -> int:
        """Drop records that are over, at most ``MOST_COLLECTED``; how many. To be called every second."""
        self._now_us = now_us
        dropped = 0
        while self._span_heap and dropped < MOST_COLLECTED:
            span = self._span_heap[0]
            if span * SPAN_US + AHEAD_US > now_us:
                break
            if span not in self._spans:
                heapq.heappop(self._span_heap)
                continue
            self._drop(next(iter(self._spans[span])))
            dropped += 1
        return dropped

    def stale(self, now_us: int, away_us: int) -> bool:
        """Whether this copy, ``away_us`` without a majority, could bring back what was removed."""
        self._now_us = now_us
        return any(
            shelf.kind and shelf.kind.lifetime_us <= away_us + AHEAD_US and shelf.live(now_us)
            for shelf in self._shelves.values()
        )

    def clear(self, away_us: int | None = None) -> list[Record]:
        """Forget kinds for which ``away_us`` is too long, by default all. Returns the live records that this
        process wrote last: what its operators asked for meanwhile is theirs to ask for again.
        """
        own: list[Record] = []
        for shelf in [*self._shelves.values(), self._unknown]:
            if away_us is None or (shelf.kind and shelf.kind.lifetime_us <= away_us + AHEAD_US):
                for held in list(shelf.held.values()):
                    stamp, clock = held.record.stamp, self.clock
                    if (stamp.origin, stamp.incarnation) == (clock.origin, clock.incarnation):
                        if held.record.until_us > self._now_us:
                            own.append(held.record)
                    self._drop(held)
        return own

    def sizes(self) -> dict[str, tuple[int, int]]:
        """Records, and bytes of their keys and values, by kind; all that are not known here as "unknown"."""
        shelves = {**self._shelves, UNKNOWN: self._unknown}
        return {name: (len(shelf.held), shelf.bytes) for name, shelf in shelves.items()}

    def _put(self, shelf: Shelf, record: Record, value: object, room: int) -> bool:
        """Hold ``record`` from now on. False where a full kind goes on without it; raises StateFull."""
        place = shelf.place(record.kind, record.key)
        held = shelf.held.get(place)
        evicts = shelf.kind is None or shelf.kind.evict is not None
        bound = shelf.kind.bound if shelf.kind else UNKNOWN_RECORDS
        grows = size_of(record) - (size_of(held.record) if held is not None else 0)
        crowded = not evicts and grows > 0 and shelf.bytes + grows > MOST_BYTES
        if crowded or len(record.value) > LARGEST_TAKE:
            raise StateFull(f"{record.kind} {record.key!r} is too large beside {shelf.bytes} bytes, refused")
        full = held is None and len(shelf.held) >= (bound if evicts else room * bound)
        if full and evicts:
            first = shelf.first()
            if shelf.rank(record, place) < shelf.rank(first.record, first.place):
                return False
            self._drop(first)
        elif full:
            for over in [h for h in shelf.held.values() if h.record.until_us <= self._now_us]:
                self._drop(over)
            if len(shelf.held) >= room * bound:
                raise StateFull(f"{len(shelf.held)} records of {record.kind} are held, one more refused")
        if held is None:
            held = Held(record, shelf, place, digests.range_of(record.kind, record.key))
            self._in_range[held.range].add(held)
            self._count += 1
        else:
            self._unspan(held)
        shelf.put(held, record)
        held.value = value
        self._sums.change(held.range, held.hash, new_hash := digests.hash_of(record))
        held.hash = new_hash
        self._span(held)
        self._logged(held)
        shelf.ranked(held)
        while evicts and shelf.bytes > MOST_BYTES:
            self._drop(shelf.first())
        return held.seq >= 0

    def _drop(self, held: Held) -> None:
        held.shelf.drop(held)
        self._count -= 1
        self._in_range[held.range].remove(held)
        self._sums.change(held.range, held.hash, 0)
        self._unspan(held)
        self._version += 1
        held.seq = -1

    def _logged(self, held: Held) -> None:
        self.head += 1
        self._version += 1
        held.seq = self.head
        self._log.append(held)
        self._log_seqs.append(held.seq)
        if len(self._log) > 2 * self._count + 64:
            self._log = [held for held, seq in zip(self._log, self._log_seqs, strict=True) if held.seq == seq]
            self._log_seqs = [held.seq for held in self._log]

    def _span(self, held: Held) -> None:
        held.end = _span_of(held.record.until_us)
        members = self._spans.get(held.end)
        if members is None:
            members = self._spans[held.end] = {}
            heapq.heappush(self._span_heap, held.end)
            if len(self._span_heap) > 2 * len(self._spans) + 64:  # spans that emptied before their time
                self._span_heap = sorted(self._spans)
        members[held] = None

    def _unspan(self, held: Held) -> None:
        members = self._spans[held.end]
        del members[held]
        if not members:
            del self._spans[held.end]

    def _digests(self, now_us: int) -> tuple[tuple[int, ...], bytes]:
        span = now_us // SPAN_US
        if self._told is None or self._told[0] != (self._version, span):
            over = [(held.range, held.hash) for end in self._over(span) for held in self._spans[end]]
            ranges = self._sums.without(over)
            self._told = ((self._version, span), ranges, digests.digest_of(ranges))
        return self._told[1:]

    def _over(self, span: int) -> set[int]:
        """The spans up to this one that hold something: a walk down the heap, as far as it is due."""
        found: set[int] = set()
        todo = [0]
        while todo:
            at = todo.pop()
            if at < len(self._span_heap) and self._span_heap[at] <= span:
                found.add(self._span_heap[at])
                todo += (2 * at + 1, 2 * at + 2)
        return found & self._spans.keys()
