"""Restoring the records of a snapshot into a replica."""

from collections.abc import Collection
from dataclasses import dataclass

from robinhill.mesh.record_merging import merge_records
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.snapshot import SnapshotHeader
from robinhill.net.peers.rejections import log_rejected


@dataclass(slots=True, frozen=True)
class Restored:
    """``rejected``: how many records were rejected or bounded; ``age_us``: how old the snapshot is."""

    rejected: int
    age_us: int


def restore_records(
    replica: Replica, header: SnapshotHeader, records: Collection[Record], now_us: int
) -> Restored:
    """Merge the records of a snapshot, unless other processes may have dropped them since."""
    _, rejected = merge_records(replica, now_us, records)
    log_rejected(rejected)
    age_us = max(0, now_us - header.saved_us)
    if replica.stale(now_us, age_us):
        replica.clear(age_us)
    return Restored(len(rejected), age_us)
