"""What a member of the control group restores at its start: its incarnation, and its records on disk."""

import logging
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from pathlib import Path

from robinhill.control.record_kinds import kinds
from robinhill.control.record_merging import RejectedRecord, merge_records
from robinhill.mesh.clocks import next_incarnation
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.snapshot import SnapshotHeader
from robinhill.net.peers.snapshot_store import SnapshotStore

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Recovery:
    """A member's replica with its restored records, and where it saves them."""

    store: SnapshotStore
    replica: Replica
    incarnation: int


def recover(
    folder: Path | None,
    installation: str,
    name: str,
    now_us: int,
    only_kinds: Collection[str] | None = None,
) -> Recovery:
    """Restore the records that the last process saved, of ``only_kinds``; without a folder there are none."""
    store = SnapshotStore(folder, installation, name)
    header, records = store.load()
    incarnation = next_incarnation(now_us, header.incarnation if header else 0)
    replica = Replica(name, incarnation, kinds())
    if header:
        wanted = [record for record in records if only_kinds is None or record.kind in only_kinds]
        restore_records(replica, header, wanted, now_us)
    return Recovery(store, replica, incarnation)


def restore_records(
    replica: Replica, header: SnapshotHeader, records: Collection[Record], now_us: int
) -> None:
    """Merge the records of a snapshot, unless it is so old that other processes may have dropped them
    since."""
    _, rejected = merge_records(replica, now_us, records)
    log_rejected(rejected)
    age_us = max(0, now_us - header.saved_us)
    if replica.stale(now_us, age_us):
        replica.clear(age_us)
    log.info("snapshot_restored", extra={"records": len(records) - len(rejected), "age_s": age_us / 1e6})


def log_rejected(rejected: Iterable[RejectedRecord]) -> None:
    """Log records that the replica rejected, or stored with a warning."""
    for rejection in rejected:
        record, why = rejection.record, str(rejection.error)
        log.warning("record_rejected", extra={"kind": record.kind, "key": record.key, "why": why})
