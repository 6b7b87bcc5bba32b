"""Merges received records into a replica, and collects those that it rejected or stored with a warning."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from robinhill.mesh.clocks import StampAhead
from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record


class Mergeable(Protocol):
    """The part of the replica's interface that merging uses."""

    def merge(self, now_us: int, record: Record) -> Record | None:
        """Merge a record. Returns the record stored now, None if nothing changed. Raises MeshError."""
        ...


@dataclass(slots=True, frozen=True)
class RejectedRecord:
    """A record that a replica rejected, or stored with a warning. ``error``: the reason."""

    record: Record
    error: MeshError

    @property
    def stored_with_warning(self) -> Record | None:
        """The record that was stored in spite of the error; None if the record was rejected."""
        return self.error.stored if isinstance(self.error, StampAhead) else None


def merge_record(
    replica: Mergeable, now_us: int, record: Record
) -> tuple[Record | None, RejectedRecord | None]:
    """Merge a record.

    Returns the record stored now, None if the replica did not change, and the rejection or warning, if any.
    """
    try:
        return replica.merge(now_us, record), None
    except MeshError as e:
        rejection = RejectedRecord(record, e)
        return rejection.stored_with_warning, rejection


def merge_records(
    replica: Mergeable, now_us: int, records: Iterable[Record]
) -> tuple[list[Record], list[RejectedRecord]]:
    """Merge ``records``.

    Returns the records stored now where the replica changed, and those rejected or stored with a warning.
    """
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
    """Whether a record was not stored at all, so that this replica lacks a record that the sender has."""
    return any(rejection.stored_with_warning is None for rejection in rejected)
