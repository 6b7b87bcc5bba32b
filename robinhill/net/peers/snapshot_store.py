"""The snapshot on disk of a scheduler's or voter's replica, in one file of $TMPDIR.

A new file is written beside the old one, synced and renamed. An invalid file is quarantined, that is renamed,
and the process starts without its records, as other processes have them.
"""

import asyncio
import logging
import os
from collections.abc import Callable, Iterable
from pathlib import Path

from robinhill.mesh import snapshot
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Record
from robinhill.mesh.snapshot import SnapshotHeader

log = logging.getLogger(__name__)

FILE_NAME = "mesh.state"
QUARANTINE_FILE_NAME = "mesh.state.aside"  # holds the last quarantined file only
SAVE_INTERVAL_S = 1.0
MAX_BYTES = 256 << 20


class SnapshotStore:
    """Saves and loads the snapshots of the scheduler or voter ``origin``. Without a folder, nothing is saved.

    ``failing``: whether the last save failed; ``saved_head``: number of the replica's last change that the
    last snapshot contains, -1 if the next periodic save must not be skipped.
    """

    def __init__(self, folder: Path | None, installation: str, origin: str) -> None:
        self.folder = folder
        self.installation, self.origin = installation, origin
        self.failing = False
        self.saved_head = -1

    def load(self) -> tuple[SnapshotHeader | None, list[Record]]:
        """Load the last saved snapshot. Returns None and no records if there is no valid file."""
        if not self.folder:
            return None, []
        path = self.folder / FILE_NAME
        try:
            if path.stat().st_size > MAX_BYTES:
                raise ForeignState(f"{FILE_NAME} is longer than the limit of {MAX_BYTES} bytes")
            header, records = snapshot.decode(path.read_bytes(), self.installation)
            if header.origin != self.origin:
                raise ForeignState(
                    f"{FILE_NAME} was written by {header.origin}, not under the name of this process"
                )
            return header, records
        except FileNotFoundError:
            return None, []
        except OSError as e:
            log.error("state_unreadable", extra={"file": FILE_NAME, "why": str(e)})
            return None, []
        except ForeignState as e:
            log.error(
                "snapshot_quarantined", extra={"file": FILE_NAME, "as": QUARANTINE_FILE_NAME, "why": str(e)}
            )
            try:
                path.replace(self.folder / QUARANTINE_FILE_NAME)
            except OSError as error:
                log.error("snapshot_not_quarantined", extra={"file": FILE_NAME, "why": str(error)})
            return None, []

    async def save_periodically(
        self,
        head: Callable[[], int],
        header: Callable[[], SnapshotHeader],
        records: Callable[[], Iterable[Record]],
    ) -> None:
        """Save a snapshot every `SAVE_INTERVAL_S` in which the replica has changed, until cancelled."""
        while self.folder:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if head() != self.saved_head:
                await self.save(head(), header(), list(records()))

    async def save(self, head: int, header: SnapshotHeader, records: list[Record]) -> None:
        """Save a snapshot in a thread. Of consecutive failures, only the first one is logged."""
        if not self.folder:
            return
        try:
            await asyncio.get_running_loop().run_in_executor(None, self.write, header, records)
        except OSError as e:
            if not self.failing:
                log.error("state_not_saved", extra={"file": FILE_NAME, "why": str(e)})
            self.failing = True
            return
        if self.failing:
            log.info("snapshot_saved_again", extra={"file": FILE_NAME})
        self.failing, self.saved_head = False, head

    def write(self, header: SnapshotHeader, records: Iterable[Record]) -> None:
        """Write the snapshot's file in the calling thread. Raises OSError."""
        assert self.folder
        temporary = self.folder / f"{FILE_NAME}.{os.getpid()}"
        try:
            with temporary.open("wb") as file:
                for piece in snapshot.encode(header, records):
                    file.write(piece)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self.folder / FILE_NAME)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise
