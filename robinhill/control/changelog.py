"""A voter's changes in order, as its observers read them: each with a cursor, urgent kinds ahead of others.

Nothing is queued for an observer. Messages are encoded once for all observers that stand at the same place.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from robinhill.control.messages import Changes, write
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica

MAX_RECORDS_PER_MESSAGE = 256
"""Records in one message."""

SOFT_MAX_MESSAGE_BYTES = 32 << 10
"""Bytes of keys and values in one message, beyond which none is added."""

Name = tuple[str, str]


@dataclass(slots=True, frozen=True)
class EncodedChanges:
    """One message, or None where nothing need be sent to stand at ``cursor``."""

    data: bytes | None
    cursor: int


class ChangeLog:
    """The changes of one `Replica`. ``note`` must follow each change before anything else is read."""

    def __init__(self, replica: Replica, urgent_kinds: Collection[str]) -> None:
        self.replica = replica
        self.urgent_kinds = frozenset(urgent_kinds)
        self.urgent_head = 0
        self.bulk_head = 0
        self.messages_encoded = 0  # messages, for the figures
        self._urgent: dict[Name, int] = {}  # by change, the latest last
        self._batches: dict[tuple[int, bool], EncodedChanges] = {}
        for record in replica.snapshot():
            self.note([record])

    def note(self, records: Iterable[Record]) -> None:
        """These records changed."""
        for record in records:
            if record.kind in self.urgent_kinds:
                self._urgent.pop(record.name, None)
                self._urgent[record.name] = self.urgent_head = self.replica.head
            else:
                self.bulk_head = self.replica.head
        self._batches.clear()

    def head(self, urgent: bool) -> int:
        """The position of the last change, urgent or not urgent."""
        return self.urgent_head if urgent else self.bulk_head

    def after(self, cursor: int, urgent: bool) -> EncodedChanges:
        """The next message for who stands at ``cursor``. Who reads what is not urgent must have read all that
        is urgent before."""
        key = cursor, urgent
        if (batch := self._batches.get(key)) is None:
            batch = self._batches[key] = self._urgent_after(cursor) if urgent else self._bulk_after(cursor)
        return batch

    def collected(self) -> None:
        """Records that are over were dropped from the replica."""
        record = self.replica.record
        self._urgent = {name: at for name, at in self._urgent.items() if record(*name) is not None}
        self._batches.clear()

    def _urgent_after(self, cursor: int) -> EncodedChanges:
        names: list[tuple[Name, int]] = []
        for name in reversed(self._urgent):
            if self._urgent[name] <= cursor:
                break
            names.append((name, self._urgent[name]))
        names.reverse()
        records, size = [], 0
        position = self.urgent_head
        for place, (name, at) in enumerate(names):
            if (record := self.replica.record(*name)) is not None:
                records.append(record)
                size += _size(record)
            more = place + 1 < len(names) and names[place + 1][1] > at
            if more and (len(records) >= MAX_RECORDS_PER_MESSAGE or size >= SOFT_MAX_MESSAGE_BYTES):
                position = at
                break
        return self._batch(records, position, urgent=True)

    def _bulk_after(self, cursor: int) -> EncodedChanges:
        limit = MAX_RECORDS_PER_MESSAGE
        while True:
            records, position = self.replica.since(cursor, limit)
            if limit == 1 or sum(map(_size, records)) <= SOFT_MAX_MESSAGE_BYTES:
                break
            limit = max(1, min(limit, len(records)) // 2)
        rest = [record for record in records if record.kind not in self.urgent_kinds]
        return self._batch(rest, position, urgent=False)

    def _batch(self, records: list[Record], position: int, *, urgent: bool) -> EncodedChanges:
        if not records:
            return EncodedChanges(None, position)
        self.messages_encoded += 1
        return EncodedChanges(write(Changes(position, urgent, tuple(records))), position)


def _size(record: Record) -> int:
    return len(record.key) + len(record.value)
