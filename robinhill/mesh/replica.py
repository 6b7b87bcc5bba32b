"""One copy of the replicated state. Copies that merged the same records, in whatever order, are equal.

The rule by which two versions of a record merge is in ``merging``, timestamps in ``clocks``.

**Expiry.** Past ``until_us`` a record counts for nothing: it is not read, not merged into a live one, and
replaced by one. It stays stored until the end of its span of time (`expiry_index`), at which it leaves the
digests of all copies at once, and is dropped ``AHEAD_US`` later. So copies may collect whenever they like;
and if the time goes with a digest and the other side answers as of that time, clocks that differ by less than
``AHEAD_US`` do not make digests differ. (Two copies whose clocks lie on either side of a record's end may for
that long still merge it into what is written then; that spreads to all as any merge does.)

**After an absence.** Removals are part of the values of kinds and expire with their record. A member that was
away for longer than a kind's lifetime, and rewrote a record meanwhile, could therefore bring back what others
have removed and forgotten. It checks ``stale``; if so it calls ``clear`` and fetches a complete snapshot of a
peer before it writes, serves or answers peers. ``disconnected_us`` counts from the last contact with a
majority, or from when the file was saved.

**Bounds.** ``write`` rejects at a kind's bound, ``merge`` at twice that: what several schedulers accepted
concurrently must fit on all, or copies would differ by the order of arrival. Kinds that evict never reject:
every copy keeps the records of the highest rank, which are the same on all.
"""

from collections.abc import Iterable, Iterator
from typing import Any

from robinhill.mesh import digests
from robinhill.mesh.change_log import ChangeLog
from robinhill.mesh.clocks import AHEAD_US, FAR_US, MAX_LIFETIME_US, HybridClock, StampAhead, ahead_us
from robinhill.mesh.errors import ForeignState, StateFull
from robinhill.mesh.expiry_index import SPAN_US, ExpiryIndex, is_forgotten
from robinhill.mesh.merging import (
    MAX_KIND_CHARACTERS,
    MAX_MERGED_VALUE_BYTES,
    decode_value,
    malformed,
    merge_values,
    merge_with_value,
)
from robinhill.mesh.record_table import NOT_DECODED, RecordTable, StoredRecord, size_of
from robinhill.mesh.records import Kind, Record

MAX_WRITTEN_VALUE_BYTES = MAX_MERGED_VALUE_BYTES // 4  # concurrent writes may add up
MERGE_BOUND_FACTOR = 2  # of a kind's bound: each side of a partition may have filled its own
MAX_KIND_BYTES = 16 << 20  # of keys and values
MAX_UNKNOWN_RECORDS = 4_096  # of all kinds that this process does not know
MAX_COLLECTED = 1_000  # records in one call: some milliseconds
UNKNOWN = "unknown"


class Replica:
    """The records of all ``kinds``, and those of unknown kinds. ``origin``: this scheduler.

    ``value`` and ``items`` return what has not expired at the latest ``now_us`` given to any method.
    """

    def __init__(self, origin: str, incarnation: int, kinds: Iterable[Kind[Any]]) -> None:
        self.clock = HybridClock(origin, incarnation)
        self._now_us = 0
        self._tables: dict[str, RecordTable] = {}
        for kind in kinds:
            self._register(kind)
        self._unknown = RecordTable(None)
        self._count = 0
        self._log = ChangeLog()
        self._expiry = ExpiryIndex()
        self._range_sums = digests.RangeSums()
        self._by_range: list[set[StoredRecord]] = [set() for _ in range(digests.RANGES)]
        self._version = 0  # changes whenever digests may
        self._cached_digests: tuple[tuple[int, int], tuple[int, ...], bytes] | None = None

    def _register(self, kind: Kind[Any]) -> None:
        duplicate = kind.name in ("", UNKNOWN, *self._tables)
        if duplicate or len(kind.name) > MAX_KIND_CHARACTERS or "\0" in kind.name:
            raise ValueError(f"a kind can't be named {kind.name!r}, or not twice")
        if not SPAN_US <= kind.lifetime_us <= MAX_LIFETIME_US or kind.bound < 1:
            raise ValueError(f"kind {kind.name} has a lifetime or bound that can't be kept")
        self._tables[kind.name] = RecordTable(kind)

    # Changes

    def write(self, now_us: int, kind: str, key: str, value: object) -> Record:
        """Merge ``value`` into the present one by the kind's rule, stamp it, and renew its lifetime.

        Raises StateFull at the kind's bound; KeyError for a kind that is not registered.
        """
        self._now_us = now_us
        table = self._tables[kind]
        rule = table.kind
        assert rule
        stored = table.stored.get(key)
        live = stored if stored is not None and stored.record.until_us > now_us else None
        if live is not None:
            encoded, value = merge_values(rule, table.value(live), value)
        else:
            encoded = rule.encode(value)
        if len(encoded) > MAX_WRITTEN_VALUE_BYTES:
            raise StateFull(
                f"{kind} {key!r} would have {len(encoded)} bytes, at most {MAX_WRITTEN_VALUE_BYTES} may"
            )
        stamp = self.clock.tick(now_us, stored.record.stamp if stored is not None else None)
        until_us = now_us + rule.lifetime_us
        if live is not None:
            until_us = max(until_us, live.record.until_us)
        record = Record(kind, key, stamp, until_us, encoded)
        if reason := malformed(record):
            raise ValueError(f"{kind} {key!r} can't be written: {reason}")
        if not self._put(table, record, value, bound_factor=1):
            raise StateFull(f"{rule.bound} records of {kind} are held that all go before {key!r}")
        return record

    def merge(self, now_us: int, record: Record) -> Record | None:
        """Merge a peer's record; the record stored now if this copy changed by it, None if not.

        Raises ForeignState (it can't be decoded), StateFull, or StampAhead, whose ``stored`` is the record
        stored now if this copy changed all the same, None if the record was rejected.
        """
        self._now_us = now_us
        if reason := malformed(record):
            raise ForeignState(f"a record of {record.kind[:MAX_KIND_CHARACTERS]!r} was refused: {reason}")
        if is_forgotten(now_us, record.until_us):
            return None
        ahead = ahead_us(now_us, record)
        if ahead > FAR_US:
            raise StampAhead(f"{_describe_ahead(record, ahead)}, it was refused", None)
        table = self._tables.get(record.kind, self._unknown)
        stored = table.stored.get(table.place(record.kind, record.key))
        new, value = record, NOT_DECODED
        if stored is not None:
            new, value = _merge_into(stored, record, now_us)
            if new is stored.record:
                return None
        if value is NOT_DECODED and table.kind is not None:
            value = decode_value(table.kind, new)
        self.clock.observe(now_us, record.stamp)
        if not self._put(table, new, value, MERGE_BOUND_FACTOR):
            return None
        if ahead > AHEAD_US:
            raise StampAhead(f"{_describe_ahead(record, ahead)}, its weight is bounded", new)
        return new

    def collect(self, now_us: int) -> int:
        """Drop expired records, at most ``MAX_COLLECTED``; how many. To be called every second."""
        self._now_us = now_us
        dropped = 0
        while dropped < MAX_COLLECTED and (stored := self._expiry.next_forgotten(now_us)) is not None:
            self._drop(stored)
            dropped += 1
        return dropped

    def stale(self, now_us: int, disconnected_us: int) -> bool:
        """Whether this copy, ``disconnected_us`` without a majority, could bring back what was removed."""
        self._now_us = now_us
        return any(
            table.kind and table.kind.lifetime_us <= disconnected_us + AHEAD_US and table.live(now_us)
            for table in self._tables.values()
        )

    def clear(self, disconnected_us: int | None = None) -> list[Record]:
        """Drop the kinds for which ``disconnected_us`` is too long, by default all.

        Returns the live records that this process wrote last, which their operators may ask for again.
        """
        own: list[Record] = []
        for table in [*self._tables.values(), self._unknown]:
            if disconnected_us is None or (
                table.kind and table.kind.lifetime_us <= disconnected_us + AHEAD_US
            ):
                for stored in list(table.stored.values()):
                    if self._is_own(stored.record) and stored.record.until_us > self._now_us:
                        own.append(stored.record)
                    self._drop(stored)
        return own

    def _is_own(self, record: Record) -> bool:
        """Whether this process wrote it last."""
        stamp, clock = record.stamp, self.clock
        return (stamp.origin, stamp.incarnation) == (clock.origin, clock.incarnation)

    # Queries

    @property
    def head(self) -> int:
        """The number of the latest change."""
        return self._log.head

    def value(self, kind: str, key: str) -> object | None:
        """The decoded value; None if there is none or it has expired. KeyError for an unregistered kind."""
        table = self._tables[kind]
        stored = table.stored.get(key)
        if stored is None or stored.record.until_us <= self._now_us:
            return None
        return table.value(stored)

    def items(self, kind: str) -> list[tuple[str, object]]:
        """Live keys and values, in key order. Cheap while nothing of the kind changes."""
        return self._tables[kind].live(self._now_us)

    def record(self, kind: str, key: str) -> Record | None:
        """The record as it is stored, expired or not."""
        table = self._tables.get(kind, self._unknown)
        stored = table.stored.get(table.place(kind, key))
        return stored.record if stored is not None else None

    def since(self, cursor: int, limit: int) -> tuple[list[Record], int]:
        """At most ``limit`` records changed after ``cursor``, and the cursor to go on from (`ChangeLog`)."""
        return self._log.since(cursor, limit)

    def snapshot(self, persistent_only: bool = False) -> Iterator[Record]:
        """All records that have not expired, oldest change first; changes may go on meanwhile.

        ``persistent_only``: only those of persistent kinds.
        """
        for stored in self._log.records():
            if stored.record.until_us > self._now_us:
                kind = stored.table.kind
                if not persistent_only or kind is None or kind.persistent:
                    yield stored.record

    def sizes(self) -> dict[str, tuple[int, int]]:
        """Records, and bytes of their keys and values, by kind; all unknown kinds as "unknown"."""
        tables = {**self._tables, UNKNOWN: self._unknown}
        return {name: (len(table.stored), table.bytes) for name, table in tables.items()}

    # Digests

    def digest(self, now_us: int) -> bytes:
        """16 bytes, equal if and only if copies are, as of ``now_us``."""
        return self._digests(now_us)[1]

    def ranges(self, now_us: int) -> tuple[int, ...]:
        """A digest of 64 bits for each of 256 ranges by the hash of the record's name, as of ``now_us``."""
        return self._digests(now_us)[0]

    def in_range(self, index: int) -> list[Record]:
        """The records of one range, sorted by name."""
        return sorted((stored.record for stored in self._by_range[index]), key=lambda r: r.name)

    def _digests(self, now_us: int) -> tuple[tuple[int, ...], bytes]:
        span = now_us // SPAN_US
        if self._cached_digests is None or self._cached_digests[0] != (self._version, span):
            ranges = self._range_sums.without(self._expiry.expired(span))
            self._cached_digests = ((self._version, span), ranges, digests.digest_of(ranges))
        return self._cached_digests[1:]

    # Storing

    def _put(self, table: RecordTable, record: Record, value: object, bound_factor: int) -> bool:
        """Store ``record``. False if a full kind does not keep it; raises StateFull if it is rejected."""
        place = table.place(record.kind, record.key)
        stored = table.stored.get(place)
        evicts = table.kind is None or table.kind.evict is not None
        if not evicts or len(record.value) > MAX_MERGED_VALUE_BYTES:
            _check_size(table, record, stored)
        if stored is None:
            if not self._ensure_capacity(table, record, place, bound_factor):
                return False
            stored = StoredRecord(record, table, place, digests.range_of(record.kind, record.key))
            self._by_range[stored.range_index].add(stored)
            self._count += 1
        else:
            self._expiry.remove(stored)
        table.put(stored, record)
        stored.value = value
        self._range_sums.change(stored.range_index, stored.hash, new_hash := digests.hash_of(record))
        stored.hash = new_hash
        self._expiry.add(stored)
        self._version += 1
        self._log.append(stored, self._count)
        table.update_rank(stored)
        while evicts and table.bytes > MAX_KIND_BYTES:
            self._drop(table.first_to_evict())
        return stored.change_number >= 0

    def _ensure_capacity(self, table: RecordTable, record: Record, place: str, bound_factor: int) -> bool:
        """Ensure capacity for one more record. False if it would be evicted first; raises StateFull."""
        if table.kind is None or table.kind.evict is not None:
            bound = table.kind.bound if table.kind else MAX_UNKNOWN_RECORDS
            if len(table.stored) >= bound:
                first = table.first_to_evict()
                if table.rank(record, place) < table.rank(first.record, first.place):
                    return False
                self._drop(first)
            return True
        bound = bound_factor * table.kind.bound
        if len(table.stored) >= bound:
            for expired in [one for one in table.stored.values() if one.record.until_us <= self._now_us]:
                self._drop(expired)
            if len(table.stored) >= bound:
                raise StateFull(f"{len(table.stored)} records of {record.kind} are held, one more refused")
        return True

    def _drop(self, stored: StoredRecord) -> None:
        stored.table.drop(stored)
        self._count -= 1
        self._by_range[stored.range_index].remove(stored)
        self._range_sums.change(stored.range_index, stored.hash, 0)
        self._expiry.remove(stored)
        self._version += 1
        stored.change_number = -1


def _merge_into(stored: StoredRecord, record: Record, now_us: int) -> tuple[Record, object]:
    """The record to store in place of ``stored``, and its value if it is decoded; the same one if
    unchanged."""
    stored_is_live = stored.record.until_us > now_us
    if stored_is_live != (record.until_us > now_us):
        # An expired record adds nothing to a live one, and is replaced by one.
        return (stored.record, stored.value) if stored_is_live else (record, NOT_DECODED)
    if stored.record == record:
        return stored.record, stored.value
    new, value = merge_with_value(stored.table.kind, stored.record, record, stored.value)
    return (stored.record, stored.value) if new == stored.record else (new, value)


def _check_size(table: RecordTable, record: Record, stored: StoredRecord | None) -> None:
    """Raises StateFull if a value, or a kind that does not evict, would become too large."""
    evicts = table.kind is None or table.kind.evict is not None
    grows = size_of(record) - (size_of(stored.record) if stored is not None else 0)
    crowded = not evicts and grows > 0 and table.bytes + grows > MAX_KIND_BYTES
    if crowded or len(record.value) > MAX_MERGED_VALUE_BYTES:
        raise StateFull(f"{record.kind} {record.key!r} is too large beside {table.bytes} bytes, refused")


def _describe_ahead(record: Record, ahead: int) -> str:
    return f"{record.stamp.origin}, or who wrote it before, stamped a record {ahead / 1e6:.0f} s ahead"
