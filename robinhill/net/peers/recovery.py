"""What a process restores at its start: its incarnation, and the records that its last process saved."""

import logging
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from robinhill.mesh.clocks import next_incarnation
from robinhill.mesh.record_merging import RejectedRecord, merge_records
from robinhill.mesh.records import Kind, Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.snapshot import SnapshotHeader
from robinhill.net.peers.snapshot_store import SnapshotStore

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Recovery:
    """A replica with its restored records, and where it is saved."""

    store: SnapshotStore
    replica: Replica
    incarnation: int


def recover(
    folder: Path | None,
    installation: str,
    name: str,
    now_us: int,
    kinds: Iterable[Kind[Any]],
    *,
    other_kinds: bool = True,
) -> Recovery:
    """Restore the saved records; without a folder there are none.

    ``kinds``: those that the replica registers; with ``other_kinds`` records of others are restored too.
    """
    store = SnapshotStore(folder, installation, name)
    header, records = store.load()
    incarnation = next_incarnation(now_us, header.incarnation if header else 0)
    registered = tuple(kinds)
    replica = Replica(name, incarnation, registered)
    if header:
        names = {kind.name for kind in registered}
        wanted = [record for record in records if other_kinds or record.kind in names]
        restore_records(replica, header, wanted, now_us)
    return Recovery(store, replica, incarnation)


def restore_records(
    replica: Replica, header: SnapshotHeader, records: Collection[Record], now_us: int
) -> None:
    """Merge the records of a snapshot, unless it is so old that other processes may have dropped them
    since."""
    log_rejected(merge_records(replica, now_us, records).rejected)
    age_us = max(0, now_us - header.saved_us)
    if replica.stale(now_us, age_us):
        replica.clear(age_us)
    log.info("snapshot_restored", extra={"records": len(records), "age_s": age_us / 1e6})


def log_rejected(rejected: Iterable[RejectedRecord]) -> None:
    """Log records that the replica rejected, or stored with a warning."""
    for rejection in rejected:
        record, why = rejection.record, str(rejection.error)
        log.warning("record_rejected", extra={"kind": record.kind, "key": record.key, "why": why})
