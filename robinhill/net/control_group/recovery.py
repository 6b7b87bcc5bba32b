"""What a member of the control group finds on its disk when it starts."""

import logging
from collections.abc import Iterable

from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.snapshot import SnapshotHeader

log = logging.getLogger(__name__)


def restore_records(replica: Replica, header: SnapshotHeader, records: Iterable[Record], now_us: int) -> None:
    """Take what the last process left, unless it may have been forgotten by all others since."""
    taken = 0
    for record in records:
        try:
            replica.merge(now_us, record)
            taken += 1
        except MeshError as e:
            log.warning("record_declined", extra={"kind": record.kind, "key": record.key, "why": str(e)})
    away_us = max(0, now_us - header.saved_us)
    if replica.stale(now_us, away_us):
        replica.clear(away_us)
    log.info("recalled", extra={"records": taken, "age_s": away_us / 1e6})
