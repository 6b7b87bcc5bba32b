"""Merging of received records into a replica, and the records that it rejected or bounded."""

from collections.abc import Iterable
from dataclasses import dataclass

from robinhill.mesh.clocks import StampAhead
from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica


@dataclass(slots=True, frozen=True)
class RejectedRecord:
    """A record that a replica rejected, or stored with a warning. ``error`` says why."""

    record: Record
    error: MeshError

    @property
    def stored_with_warning(self) -> Record | None:
        """The record as it was stored in spite of the error; None: it was rejected."""
        return self.error.stored if isinstance(self.error, StampAhead) else None


def merge_records(
    replica: Replica, now_us: int, records: Iterable[Record]
) -> tuple[list[Record], list[RejectedRecord]]:
    """Merge ``records``. Returns those that changed the replica, and those that it rejected or bounded."""
    changed: list[Record] = []
    rejected: list[RejectedRecord] = []
    for record in records:
        try:
            stored = replica.merge(now_us, record)
        except MeshError as e:
            rejection = RejectedRecord(record, e)
            rejected.append(rejection)
            stored = rejection.stored_with_warning
        if stored is not None:
            changed.append(stored)
    return changed, rejected


def any_rejected(rejected: Iterable[RejectedRecord]) -> bool:
    """Whether a record was not stored at all: this replica then lacks something that the sender has."""
    return any(rejection.stored_with_warning is None for rejection in rejected)
