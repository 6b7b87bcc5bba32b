"""Recovery of a member of the control group at its start: its incarnation, and its records saved on disk."""

import logging
from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

from robinhill.control.record_kinds import kinds
from robinhill.mesh.clocks import next_incarnation
from robinhill.mesh.replica import Replica
from robinhill.net.peers.snapshot_restore import restore_records
from robinhill.net.peers.snapshot_store import SnapshotStore

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Recovery:
    """A member's replica with the restored records, the store that saves them, and the new incarnation."""

    snapshot_store: SnapshotStore
    replica: Replica
    incarnation: int


def recover(
    folder: Path | None,
    installation: str,
    name: str,
    now_us: int,
    only_kinds: Collection[str] | None = None,
) -> Recovery:
    """Restore the records that the member's last process saved in ``folder``, and choose an incarnation.

    The incarnation is later than that of the last process. ``only_kinds``: names of the kinds of records to
    restore, None for all. Without a folder nothing is restored.
    """
    snapshot_store = SnapshotStore(folder, installation, name)
    header, records = snapshot_store.load()
    incarnation = next_incarnation(now_us, header.incarnation if header else 0)
    replica = Replica(name, incarnation, kinds())
    if header:
        wanted = [record for record in records if only_kinds is None or record.kind in only_kinds]
        restored = restore_records(replica, header, wanted, now_us)
        count = len(wanted) - restored.rejected
        log.info("snapshot_restored", extra={"records": count, "age_s": restored.age_us / 1e6})
    return Recovery(snapshot_store, replica, incarnation)
