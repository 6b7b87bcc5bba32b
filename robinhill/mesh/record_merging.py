"""Merging of received records into a replica, and the records that it rejected or stored with a warning."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from robinhill.mesh.clocks import StampAhead
from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record


class MergingStore(Protocol):
    """What merging needs of the replica."""

    def merge(self, now_us: int, record: Record) -> Record | None:
        """Merge a record. Returns what is stored now; None if nothing has changed. Raises MeshError."""
        ...


@dataclass(slots=True, frozen=True)
class RejectedRecord:
    """A record that a replica rejected, or stored with a warning. ``error`` says why."""

    record: Record
    error: MeshError

    @property
    def stored_with_warning(self) -> Record | None:
        """The record as it was stored in spite of the error; None: it was rejected."""
        return self.error.stored if isinstance(self.error, StampAhead) else None


@dataclass(slots=True)
class MergeResult:
    """Records that have changed the replica, and records that it rejected or stored with a warning."""

    changed: list[Record] = field(default_factory=list)
    rejected: list[RejectedRecord] = field(default_factory=list)

    def merge(self, store: MergingStore, now_us: int, record: Record) -> None:
        """Merge one record and add its result."""
        try:
            stored = store.merge(now_us, record)
        except MeshError as e:
            rejection = RejectedRecord(record, e)
            self.rejected.append(rejection)
            stored = rejection.stored_with_warning
        if stored is not None:
            self.changed.append(stored)


def merge_records(store: MergingStore, now_us: int, records: Iterable[Record]) -> MergeResult:
    """Merge records in order."""
    result = MergeResult()
    for record in records:
        result.merge(store, now_us, record)
    return result


def any_rejected(rejected: Iterable[RejectedRecord]) -> bool:
    """Whether a record was not stored at all: this replica then lacks something that the sender has."""
    return any(rejection.stored_with_warning is None for rejection in rejected)
