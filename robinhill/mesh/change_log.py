"""The changes of a copy, in the order in which they occurred. Readers use a change's number as a cursor."""

from bisect import bisect_right
from collections.abc import Iterator

from robinhill.mesh.record_table import STALE_ENTRIES, StoredRecord
from robinhill.mesh.records import Record


class ChangeLog:
    """Stored records in the order of their last changes. ``head``: the number of the latest change."""

    def __init__(self) -> None:
        self.head = 0
        # An entry is live while its number equals the record's ``change_number``, and stale afterwards.
        self._entries: list[StoredRecord] = []
        self._numbers: list[int] = []

    def append(self, stored: StoredRecord, live_records: int) -> None:
        """Give a changed record the next number. ``live_records``: how many records are stored at present.

        Stale entries are removed once they outnumber the live ones by more than ``STALE_ENTRIES``.
        """
        self.head += 1
        stored.change_number = self.head
        self._entries.append(stored)
        self._numbers.append(self.head)
        if len(self._entries) > 2 * live_records + STALE_ENTRIES:
            self._entries = self._live()
            self._numbers = [stored.change_number for stored in self._entries]

    def since(self, cursor: int, limit: int) -> tuple[list[Record], int]:
        """Return at most ``limit`` records that changed after ``cursor``, and the cursor for the next call.

        The records are in the order of their last changes, each one once and in its present form. A cursor of
        0, or one above ``head``, which this process has not issued, returns records from the first change on.
        """
        at = bisect_right(self._numbers, cursor) if cursor <= self.head else 0
        found: list[Record] = []
        while at < len(self._entries) and len(found) < limit:
            cursor = self._numbers[at]
            if self._entries[at].change_number == cursor:
                found.append(self._entries[at].record)
            at += 1
        return found, self.head if at == len(self._entries) else cursor

    def records(self) -> Iterator[StoredRecord]:
        """Iterate over all stored records, oldest change first, except those dropped during the iteration."""
        return (stored for stored in self._live() if stored.change_number >= 0)

    def _live(self) -> list[StoredRecord]:
        pairs = zip(self._entries, self._numbers, strict=True)
        return [stored for stored, number in pairs if stored.change_number == number]
