"""Merging of received records into a replica, and the records that it rejected or stored with a warning."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from robinhill.mesh.clocks import StampAhead
from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record


class Mergeable(Protocol):
    """What merging needs of the replica."""

    def merge(self, now_us: int, record: Record) -> Record | None:
        """Merge a record; what is stored now if that changed something. Raises MeshError."""
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


def merge_record(
    replica: Mergeable, now_us: int, record: Record
) -> tuple[Record | None, RejectedRecord | None]:
    """Merge a record. Returns what is stored now if the replica changed, and the rejection if any."""
    try:
        return replica.merge(now_us, record), None
    except MeshError as e:
        rejection = RejectedRecord(record, e)
        return rejection.stored_with_warning, rejection


def merge_records(
    replica: Mergeable, now_us: int, records: Iterable[Record]
) -> tuple[list[Record], list[RejectedRecord]]:
    """Merge ``records``. Returns those that changed the replica, and those that it rejected or bounded."""
    changed: list[Record] = []
    rejected: list[RejectedRecord] = []
    for record in records:
        stored, rejection = merge_record(replica, now_us, record)
        if rejection is not None:
            rejected.append(rejection)
        if stored is not None:
            changed.append(stored)
    return changed, rejected


def any_rejected(rejected: Iterable[RejectedRecord]) -> bool:
    """Whether a record was not stored at all: this replica then lacks something that the sender has."""
    return any(rejection.stored_with_warning is None for rejection in rejected)
