"""Merges received records into a replica, and collects the records rejected or stored with a warning.

A record is stored with a warning (`StampAhead`) if it is in the future by more than ``MAX_SKEW_US``, but not
by more than ``MAX_FUTURE_US`` (`clocks`).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from robinhill.mesh.clocks import StampAhead
from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record


class Mergeable(Protocol):
    """The part of the replica's interface that merging uses."""

    def merge(self, now_us: int, record: Record) -> Record | None:
        """Merge a record. Returns the record stored after the merge, None if nothing changed.

        Raises MeshError if the record was rejected, or was stored with a warning.
        """
        ...


@dataclass(slots=True, frozen=True)
class RejectedRecord:
    """A received ``record`` that a replica rejected, or stored with a warning. ``error``: the reason."""

    record: Record
    error: MeshError

    @property
    def stored_with_warning(self) -> Record | None:
        """The record that the replica stores in spite of the error; None if it rejected the record."""
        return self.error.stored if isinstance(self.error, StampAhead) else None


def merge_record(
    replica: Mergeable, now_us: int, record: Record
) -> tuple[Record | None, RejectedRecord | None]:
    """Merge a record.

    Returns two values: the record stored after the merge, None if the replica did not change; and the
    rejection or warning, None if there is neither.
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

    Returns two lists: the records stored after the merges that changed the replica, and the records that were
    rejected or stored with a warning.
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
    """Whether any record was not stored at all, so that this replica lacks a record that the sender has."""
    return any(rejection.stored_with_warning is None for rejection in rejected)
