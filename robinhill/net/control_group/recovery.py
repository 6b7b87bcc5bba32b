"""The records of a member of the control group that are restored at its start, and those that are
rejected."""

import logging
from collections.abc import Iterable

from robinhill.control.record_merging import RejectedRecord, merge_records
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.snapshot import SnapshotHeader

log = logging.getLogger(__name__)


def restore_records(replica: Replica, header: SnapshotHeader, records: Iterable[Record], now_us: int) -> None:
    """Merge the records of a snapshot, unless it is so old that other processes may have dropped them
    since."""
    found = list(records)
    _, rejected = merge_records(replica, now_us, found)
    log_rejected(rejected)
    away_us = max(0, now_us - header.saved_us)
    if replica.stale(now_us, away_us):
        replica.clear(away_us)
    log.info("snapshot_restored", extra={"records": len(found) - len(rejected), "age_s": away_us / 1e6})


def log_rejected(rejected: Iterable[RejectedRecord]) -> None:
    """Log records that the replica rejected, or stored with a warning."""
    for rejection in rejected:
        record, why = rejection.record, str(rejection.error)
        log.warning("record_rejected", extra={"kind": record.kind, "key": record.key, "why": why})
