"""One scheduler's copy of the replicated records.

Copies that merged the same records, in whatever order, are equal. The rule by which two versions of a record
merge is in ``merging``, timestamps are in ``clocks``.

**Expiry.** After ``until_us`` a record is expired: it is not returned by queries, is not merged into a live
version of the same record, and is replaced by a live version. It stays stored until the end of its span of
time (`expiry_index`). From then on it is not included in digests, on all copies at once, and ``MAX_SKEW_US``
later it is dropped. So each scheduler may call ``collect`` at any time. Clocks that differ by less than
``MAX_SKEW_US`` do not make digests differ either: the scheduler that opens a comparison of digests sends the
time along with its digests, and the other scheduler answers as of that time. (During a time shorter than
``MAX_SKEW_US``, a record may be expired by one scheduler's clock and live by another's. The latter scheduler
may then still merge the record into a value that it writes. The result spreads to all copies like the result
of any merge.)

**After a disconnection.** The value of a record may contain several items, and then contains the removals of
items too, which expire with the record. A scheduler that was disconnected for longer than a kind's lifetime,
and rewrote a record in that time, could therefore restore items that the others have removed and whose
removal has expired.
Such a scheduler checks ``stale``. If the result is true, the scheduler calls ``clear`` and fetches a complete
snapshot from a peer before it writes, accepts clients or answers peers. ``disconnected_us`` is the time since
the last contact with a majority, or since the snapshot file was saved.

**Limits.** At a kind's bound (its maximum number of records) ``write`` rejects new records; ``merge`` rejects
them at twice the bound. Records that several schedulers accepted concurrently must fit on all copies, or
copies would differ by the order of arrival. Kinds that evict do not reject records at their bound: every copy
retains the records of the highest rank, which are the same on all copies.
"""

from collections.abc import Iterable, Iterator
from typing import Any

from robinhill.mesh import digests
from robinhill.mesh.change_log import ChangeLog
from robinhill.mesh.clocks import (
    MAX_FUTURE_US,
    MAX_LIFETIME_US,
    MAX_SKEW_US,
    HybridClock,
    StampAhead,
    ahead_us,
)
from robinhill.mesh.errors import ForeignState, StateFull
from robinhill.mesh.expiry_index import SPAN_US, ExpiryIndex, is_forgotten
from robinhill.mesh.merging import (
    MAX_KIND_CHARACTERS,
    MAX_MERGED_VALUE_BYTES,
    decode_value,
    malformed_reason,
    merge_values,
    merge_with_value,
)
from robinhill.mesh.record_table import NOT_DECODED, RecordTable, StoredRecord, size_of
from robinhill.mesh.records import Kind, Record

MAX_WRITTEN_VALUE_BYTES = MAX_MERGED_VALUE_BYTES // 4  # the merge of concurrent writes may be larger
# Records merged from peers may exceed a kind's bound on the number of records by this factor: each side of a
# partition may have written up to the bound.
MERGE_BOUND_FACTOR = 2
MAX_KIND_BYTES = 16 << 20  # limit of the total size of the keys and values of one kind
MAX_UNKNOWN_RECORDS = 4_096  # limit of the number of records of all unregistered kinds together
MAX_COLLECTED = 1_000  # records dropped by one call of `collect`, which takes some milliseconds
UNKNOWN = "unknown"  # the name under which `sizes` reports unregistered kinds


class Replica:
    """The records of all ``kinds``, and those of unregistered kinds. ``origin``: this scheduler.

    ``value`` and ``items`` omit records that have expired at the latest ``now_us`` given to any method.
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
        self._version = 0  # incremented with each change that may change digests
        self._cached_digests: tuple[tuple[int, int], tuple[int, ...], bytes] | None = None

    def _register(self, kind: Kind[Any]) -> None:
        duplicate = kind.name in ("", UNKNOWN, *self._tables)
        if duplicate or len(kind.name) > MAX_KIND_CHARACTERS or "\0" in kind.name:
            raise ValueError(f"the name of kind {kind.name!r} is not valid or already registered")
        if not SPAN_US <= kind.lifetime_us <= MAX_LIFETIME_US or kind.bound < 1:
            raise ValueError(f"the lifetime of kind {kind.name} is out of range, or its bound is below 1")
        self._tables[kind.name] = RecordTable(kind)

    # Changes

    def write(self, now_us: int, kind: str, key: str, value: object) -> Record:
        """Merge ``value`` into the current value by the kind's rule, stamp the result and renew its lifetime.

        Without a live record of this key, ``value`` is stored as it is. Returns the record that is stored
        after the write. Raises StateFull if the kind has reached its bound or the value is too large,
        ValueError if the record is malformed, and KeyError for a kind that is not registered.
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
                f"{kind} {key!r} would have {len(encoded)} bytes, the limit is {MAX_WRITTEN_VALUE_BYTES}"
            )
        stamp = self.clock.tick(now_us, stored.record.stamp if stored is not None else None)
        until_us = now_us + rule.lifetime_us
        if live is not None:
            until_us = max(until_us, live.record.until_us)
        record = Record(kind, key, stamp, until_us, encoded)
        if reason := malformed_reason(record):
            raise ValueError(f"{kind} {key!r} was not written: {reason}")
        if not self._put(table, record, value, bound_factor=1):
            raise StateFull(
                f"{kind} {key!r} was not written: the kind has reached its limit, and the new record would be"
                " the first to be evicted"
            )
        return record

    def merge(self, now_us: int, record: Record) -> Record | None:
        """Merge a peer's record. Returns the record stored after the merge, None if this copy is unchanged.

        Raises ForeignState if the record is malformed or can't be decoded, StateFull if it exceeds a limit,
        or StampAhead if it is too far in the future. The ``stored`` of StampAhead is the record stored after
        the merge if this copy has changed nevertheless, None if the record was rejected.
        """
        self._now_us = now_us
        if reason := malformed_reason(record):
            raise ForeignState(f"a record of {record.kind[:MAX_KIND_CHARACTERS]!r} was rejected: {reason}")
        if is_forgotten(now_us, record.until_us):
            return None
        ahead = ahead_us(now_us, record)
        if ahead > MAX_FUTURE_US:
            raise StampAhead(f"{_describe_ahead(record, ahead)}; it was rejected", None)
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
        if ahead > MAX_SKEW_US:
            raise StampAhead(f"{_describe_ahead(record, ahead)}; its effect is limited", new)
        return new

    def collect(self, now_us: int) -> int:
        """Drop records that no longer need to be stored, at most ``MAX_COLLECTED``, and return their number.

        To be called every second.
        """
        self._now_us = now_us
        dropped = 0
        while dropped < MAX_COLLECTED and (stored := self._expiry.next_forgotten(now_us)) is not None:
            self._drop(stored)
            dropped += 1
        return dropped

    def stale(self, now_us: int, disconnected_us: int) -> bool:
        """Whether this copy could restore items that other schedulers have removed.

        This is so if a kind with live records has a lifetime of at most ``disconnected_us``, the time since
        this scheduler was last in contact with a majority, plus ``MAX_SKEW_US``.
        """
        self._now_us = now_us
        return any(
            table.kind and table.kind.lifetime_us <= disconnected_us + MAX_SKEW_US and table.live(now_us)
            for table in self._tables.values()
        )

    def clear(self, disconnected_us: int | None = None) -> list[Record]:
        """Drop the records of all registered kinds whose lifetime may have passed in ``disconnected_us``.

        Without ``disconnected_us``, drop the records of all kinds, including unregistered ones. Returns the
        dropped records that were live and that this process was the last to write, so that operators may
        repeat the requests that wrote them.
        """
        own: list[Record] = []
        for table in [*self._tables.values(), self._unknown]:
            if disconnected_us is None or (
                table.kind and table.kind.lifetime_us <= disconnected_us + MAX_SKEW_US
            ):
                for stored in list(table.stored.values()):
                    if self._is_own(stored.record) and stored.record.until_us > self._now_us:
                        own.append(stored.record)
                    self._drop(stored)
        return own

    def _is_own(self, record: Record) -> bool:
        """Whether this process was the last to write the record."""
        stamp, clock = record.stamp, self.clock
        return (stamp.origin, stamp.incarnation) == (clock.origin, clock.incarnation)

    # Queries

    @property
    def head(self) -> int:
        """The number of the latest change; 0 if there was none."""
        return self._log.head

    def value(self, kind: str, key: str) -> object | None:
        """Return the decoded value of a record; None if there is none or it has expired.

        Raises KeyError for a kind that is not registered.
        """
        table = self._tables[kind]
        stored = table.stored.get(key)
        if stored is None or stored.record.until_us <= self._now_us:
            return None
        return table.value(stored)

    def items(self, kind: str) -> list[tuple[str, object]]:
        """Return keys and values of the live records of a kind, in key order.

        The result is cached until a record of the kind changes or expires.
        """
        return self._tables[kind].live(self._now_us)

    def record(self, kind: str, key: str) -> Record | None:
        """Return a record as it is stored, even if it has expired; None if it is not stored."""
        table = self._tables.get(kind, self._unknown)
        stored = table.stored.get(table.place(kind, key))
        return stored.record if stored is not None else None

    def since(self, cursor: int, limit: int) -> tuple[list[Record], int]:
        """Return at most ``limit`` records changed after ``cursor``, and the next cursor (`ChangeLog`)."""
        return self._log.since(cursor, limit)

    def snapshot(self, persistent_only: bool = False) -> Iterator[Record]:
        """Iterate over all live records, in the order of their last changes.

        The replica may change during the iteration. ``persistent_only``: omit records of registered kinds
        that are not persistent.
        """
        for stored in self._log.records():
            if stored.record.until_us > self._now_us:
                kind = stored.table.kind
                if not persistent_only or kind is None or kind.persistent:
                    yield stored.record

    def sizes(self) -> dict[str, tuple[int, int]]:
        """Return the number of records, and the bytes of their keys and values, by kind.

        All unregistered kinds are reported together as "unknown".
        """
        tables = {**self._tables, UNKNOWN: self._unknown}
        return {name: (len(table.stored), table.bytes) for name, table in tables.items()}

    # Digests

    def digest(self, now_us: int) -> bytes:
        """Return a digest of 16 bytes over all records as of ``now_us``; only equal copies have the same."""
        return self._digests(now_us)[1]

    def ranges(self, now_us: int) -> tuple[int, ...]:
        """Return a 64-bit digest for each of 256 ranges of the hash of a record's name, as of ``now_us``."""
        return self._digests(now_us)[0]

    def in_range(self, index: int) -> list[Record]:
        """Return the records of one range, sorted by name."""
        return sorted((stored.record for stored in self._by_range[index]), key=lambda r: r.name)

    def _digests(self, now_us: int) -> tuple[tuple[int, ...], bytes]:
        span = now_us // SPAN_US
        if self._cached_digests is None or self._cached_digests[0] != (self._version, span):
            ranges = self._range_sums.without(self._expiry.expired(span))
            self._cached_digests = ((self._version, span), ranges, digests.digest_of(ranges))
        return self._cached_digests[1:]

    # Storing

    def _put(self, table: RecordTable, record: Record, value: object, bound_factor: int) -> bool:
        """Store ``record``.

        ``bound_factor``: a kind that does not evict is full at its bound multiplied by this factor. Returns
        False if ``record`` was evicted at once; raises StateFull if it is rejected.
        """
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
        """Make room for one more record of the kind, by eviction or by dropping expired records.

        Returns False if the new record itself would be evicted first. Raises StateFull if the kind does not
        evict and is full.
        """
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
                raise StateFull(f"{len(table.stored)} records of {record.kind} are stored, the maximum")
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
    """Return the record to store in place of ``stored``, and its decoded value or `NOT_DECODED`.

    The record returned is ``stored.record`` itself if merging ``record`` changes nothing.
    """
    stored_is_live = stored.record.until_us > now_us
    if stored_is_live != (record.until_us > now_us):
        # An expired version is not merged into a live one; the live one replaces it.
        return (stored.record, stored.value) if stored_is_live else (record, NOT_DECODED)
    if stored.record == record:
        return stored.record, stored.value
    new, value = merge_with_value(stored.table.kind, stored.record, record, stored.value)
    return (stored.record, stored.value) if new == stored.record else (new, value)


def _check_size(table: RecordTable, record: Record, stored: StoredRecord | None) -> None:
    """Raise StateFull if a value, or all records of a kind that does not evict, would become too large."""
    evicts = table.kind is None or table.kind.evict is not None
    grows = size_of(record) - (size_of(stored.record) if stored is not None else 0)
    crowded = not evicts and grows > 0 and table.bytes + grows > MAX_KIND_BYTES
    if crowded or len(record.value) > MAX_MERGED_VALUE_BYTES:
        raise StateFull(
            f"{record.kind} {record.key!r} is too large: its value has {len(record.value)} bytes, the limit"
            f" is {MAX_MERGED_VALUE_BYTES}; {table.bytes} bytes of the kind are stored, the limit is"
            f" {MAX_KIND_BYTES}"
        )


def _describe_ahead(record: Record, ahead: int) -> str:
    return f"{record.stamp.origin}, or an earlier writer, stamped a record {ahead / 1e6:.0f} s in the future"
