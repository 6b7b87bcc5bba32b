"""Restoring the records of a snapshot into a replica."""

from collections.abc import Collection
from dataclasses import dataclass

from robinhill.mesh.record_merging import merge_records
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.snapshot import SnapshotHeader
from robinhill.net.peers.rejections import log_rejected


@dataclass(slots=True, frozen=True)
class RestoreResult:
    """The result of restoring a snapshot.

    ``rejected``: number of records that were rejected or stored with a warning; ``age_us``: time since the
    snapshot was saved, at least 0.
    """

    rejected: int
    age_us: int


def restore_records(
    replica: Replica, header: SnapshotHeader, records: Collection[Record], now_us: int
) -> RestoreResult:
    """Merge the records of a snapshot into ``replica``.

    If the lifetime of a kind of records may have passed since the snapshot was saved, its records are removed
    after the merge: other processes may already have removed these records, and this replica would send them
    again.
    """
    _, rejected = merge_records(replica, now_us, records)
    log_rejected(rejected)
    age_us = max(0, now_us - header.saved_us)
    if replica.stale(now_us, age_us):
        replica.clear(age_us)
    return RestoreResult(len(rejected), age_us)
