"""The changes of one scheduler's copy of the replicated records, in the order in which they occurred.

Changes are numbered from 1. A reader uses the number of the last change that it has read as its cursor.
"""

from bisect import bisect_right
from collections.abc import Iterator

from robinhill.mesh.record_table import STALE_ENTRIES, StoredRecord
from robinhill.mesh.records import Record


class ChangeLog:
    """Stored records in the order of their last changes.

    ``head``: the number of the latest change, 0 before the first one.
    """

    def __init__(self) -> None:
        self.head = 0
        # An entry is a record and the number of one of its changes. The entry is live while that number
        # equals the record's ``change_number``; it is stale once the record has changed again or was dropped.
        self._entries: list[StoredRecord] = []
        self._numbers: list[int] = []  # the change number of each entry, by the entry's position

    def append(self, stored: StoredRecord, live_records: int) -> None:
        """Give a changed record the next number. ``live_records``: how many records the copy stores.

        Stale entries are removed once they outnumber the live entries by more than ``STALE_ENTRIES``.
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

        The records are in the order of their last changes. Each record is returned once, with its current
        value. A cursor of 0 returns records from the first change on, and so does a cursor above ``head``,
        which this process can't have issued.
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
        """Iterate over all stored records, in the order of their last changes.

        Records that are dropped from the copy during the iteration are omitted.
        """
        return (stored for stored in self._live() if stored.change_number >= 0)

    def _live(self) -> list[StoredRecord]:
        pairs = zip(self._entries, self._numbers, strict=True)
        return [stored for stored, number in pairs if stored.change_number == number]
