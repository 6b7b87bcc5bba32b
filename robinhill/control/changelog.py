"""A voter's changes in order, as observers read them: each by its own cursor, urgent kinds ahead of others.

Nothing is queued by observer. A message is encoded once for all observers with the same cursor.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from robinhill.control.messages import Changes, write
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica

MAX_RECORDS_PER_MESSAGE = 256
SOFT_MAX_MESSAGE_BYTES = 32 << 10
"""Keys and values in a message, past which no record is added."""

RecordName = tuple[str, str]


@dataclass(slots=True, frozen=True)
class EncodedChanges:
    """A message that advances a reader to ``cursor``. ``data`` is None where nothing need be sent for
    that."""

    data: bytes | None
    cursor: int


class ChangeLog:
    """The changes of a `Replica`. ``note`` must follow each change before anything else is read."""

    def __init__(self, replica: Replica, urgent_kinds: Collection[str]) -> None:
        self.replica = replica
        self.urgent_kinds = frozenset(urgent_kinds)
        self.urgent_head = 0
        self.bulk_head = 0
        self.messages_encoded = 0
        self._urgent_positions: dict[RecordName, int] = {}  # ascending
        self._encoded: dict[tuple[int, bool], EncodedChanges] = {}  # by cursor and urgency
        for record in replica.snapshot():
            self.note([record])

    def note(self, records: Iterable[Record]) -> None:
        """These records have changed."""
        for record in records:
            if record.kind in self.urgent_kinds:
                self._urgent_positions.pop(record.name, None)
                self._urgent_positions[record.name] = self.urgent_head = self.replica.head
            else:
                self.bulk_head = self.replica.head
        self._encoded.clear()

    def head(self, urgent: bool) -> int:
        """The position of the last urgent change, or of the last other one."""
        return self.urgent_head if urgent else self.bulk_head

    def after(self, cursor: int, urgent: bool) -> EncodedChanges:
        """The next message for a reader at ``cursor``. All urgent changes must be read before others."""
        key = cursor, urgent
        if (changes := self._encoded.get(key)) is None:
            changes = self._urgent_after(cursor) if urgent else self._bulk_after(cursor)
            self._encoded[key] = changes
        return changes

    def collected(self) -> None:
        """The replica has dropped expired records."""
        record = self.replica.record
        positions = self._urgent_positions
        self._urgent_positions = {name: at for name, at in positions.items() if record(*name) is not None}
        self._encoded.clear()

    def _urgent_after(self, cursor: int) -> EncodedChanges:
        names = self._urgent_names_after(cursor)
        records: list[Record] = []
        size_bytes = 0
        position = self.urgent_head
        for index, (name, at) in enumerate(names):
            if (record := self.replica.record(*name)) is not None:
                records.append(record)
                size_bytes += _size_bytes(record)
            # A message ends only between two positions, as its cursor covers all changes at one.
            may_end = index + 1 < len(names) and names[index + 1][1] > at
            full = len(records) >= MAX_RECORDS_PER_MESSAGE or size_bytes >= SOFT_MAX_MESSAGE_BYTES
            if may_end and full:
                position = at
                break
        return self._encode(records, position, urgent=True)

    def _urgent_names_after(self, cursor: int) -> list[tuple[RecordName, int]]:
        names: list[tuple[RecordName, int]] = []
        for name in reversed(self._urgent_positions):
            if self._urgent_positions[name] <= cursor:
                break
            names.append((name, self._urgent_positions[name]))
        names.reverse()
        return names

    def _bulk_after(self, cursor: int) -> EncodedChanges:
        limit = MAX_RECORDS_PER_MESSAGE
        while True:
            records, position = self.replica.since(cursor, limit)
            if limit == 1 or sum(map(_size_bytes, records)) <= SOFT_MAX_MESSAGE_BYTES:
                break
            limit = max(1, min(limit, len(records)) // 2)
        bulk = [record for record in records if record.kind not in self.urgent_kinds]
        return self._encode(bulk, position, urgent=False)

    def _encode(self, records: list[Record], position: int, *, urgent: bool) -> EncodedChanges:
        if not records:
            return EncodedChanges(None, position)
        self.messages_encoded += 1
        return EncodedChanges(write(Changes(position, urgent, tuple(records))), position)


def _size_bytes(record: Record) -> int:
    return len(record.key) + len(record.value)
