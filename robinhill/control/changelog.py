"""The log of a voter's changes. Each observer's feed reads the log from a cursor of its own.

A feed reads *urgent* changes, which are those of the urgent record kinds, before all others (*bulk* changes).
Observers have no queues of their own: a message is encoded once for all observers with the same cursor. A
cursor is the position up to which a reader has read the changes.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from robinhill.control.messages import Changes, write
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica

MAX_RECORDS_PER_MESSAGE = 256
SOFT_MAX_MESSAGE_BYTES = 32 << 10
"""Total size of the keys and values in a message at which no further record is added to the message."""

RecordName = tuple[str, str]


@dataclass(slots=True, frozen=True)
class EncodedChanges:
    """A message that advances a reader to ``cursor``; ``data`` is None if no record needs to be sent."""

    data: bytes | None
    cursor: int


class ChangeLog:
    """The changes of a `Replica`. The caller must call `note` after each change, before it reads the log.

    ``urgent_head``, ``bulk_head``: positions of the last urgent change and of the last bulk change; 0 if
    there was none. ``messages_encoded``: the number of messages encoded since the log was created.
    """

    def __init__(self, replica: Replica, urgent_kinds: Collection[str]) -> None:
        self.replica = replica
        self.urgent_kinds = frozenset(urgent_kinds)
        self.urgent_head = 0
        self.bulk_head = 0
        self.messages_encoded = 0
        # Position of the last change of each urgent record, in ascending order of positions.
        self._urgent_positions: dict[RecordName, int] = {}
        # The next message for a reader, by the reader's cursor and by whether the message has urgent changes.
        self._encoded: dict[tuple[int, bool], EncodedChanges] = {}
        for record in replica.snapshot():
            self.note([record])

    def note(self, records: Iterable[Record]) -> None:
        """Record that these records have changed; the position of the changes is the replica's head."""
        for record in records:
            if record.kind in self.urgent_kinds:
                self._urgent_positions.pop(record.name, None)
                self._urgent_positions[record.name] = self.urgent_head = self.replica.head
            else:
                self.bulk_head = self.replica.head
        self._encoded.clear()

    def head(self, urgent: bool) -> int:
        """Return the position of the last urgent change, or of the last bulk change if not ``urgent``."""
        return self.urgent_head if urgent else self.bulk_head

    def after(self, cursor: int, urgent: bool) -> EncodedChanges:
        """Return the next message with urgent or bulk changes for a reader at ``cursor``.

        A reader must read all urgent changes before it reads bulk changes, as messages with bulk changes
        leave out the urgent records but advance the reader past them.
        """
        key = cursor, urgent
        if (changes := self._encoded.get(key)) is None:
            changes = self._urgent_after(cursor) if urgent else self._bulk_after(cursor)
            self._encoded[key] = changes
        return changes

    def collected(self) -> None:
        """Drop the positions of urgent records that the replica has removed as expired."""
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
            # All changes at one position must be in one message, as the message's cursor covers all of them.
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
