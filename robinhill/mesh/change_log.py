"""The order of changes of a copy, by numbers that serve as cursors."""

from bisect import bisect_right
from collections.abc import Iterator

from robinhill.mesh.record_table import STALE_ENTRIES, StoredRecord
from robinhill.mesh.records import Record


class ChangeLog:
    """Stored records by their last change. ``head``: the number of the latest change."""

    def __init__(self) -> None:
        self.head = 0
        self._entries: list[StoredRecord] = []  # an entry is live while its number is the record's
        self._numbers: list[int] = []

    def append(self, stored: StoredRecord, live_records: int) -> None:
        """A record has changed; ``live_records``: how many the copy stores."""
        self.head += 1
        stored.change_number = self.head
        self._entries.append(stored)
        self._numbers.append(self.head)
        if len(self._entries) > 2 * live_records + STALE_ENTRIES:
            self._entries = self._live()
            self._numbers = [one.change_number for one in self._entries]

    def since(self, cursor: int, limit: int) -> tuple[list[Record], int]:
        """At most ``limit`` records that changed after ``cursor``, and the cursor to go on from.

        Oldest change first, each record once as it is now. 0 is before every change, and so is a cursor that
        this process never gave out.
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
        """All stored records, oldest change first; without those dropped while iterating."""
        return (one for one in self._live() if one.change_number >= 0)

    def _live(self) -> list[StoredRecord]:
        pairs = zip(self._entries, self._numbers, strict=True)
        return [one for one, number in pairs if one.change_number == number]
