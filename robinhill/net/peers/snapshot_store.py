"""The snapshot of this scheduler's replica on disk, in one file of $TMPDIR.

The file is written beside the old one, synced and renamed. One that can't be read is quarantined and never
ends the program: peers have its records.
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

FILE = "mesh.state"
QUARANTINE_FILE = "mesh.state.aside"  # a later one replaces it
SAVE_INTERVAL_S = 1.0
MAX_BYTES = 256 << 20


class SnapshotStore:
    """Saves and loads the snapshots of ``origin``; without a folder neither does anything.

    ``failing``: whether the last save failed; ``saved_head``: the number of the last change that was saved.
    """

    def __init__(self, folder: Path | None, installation: str, origin: str) -> None:
        self.folder = folder
        self.installation, self.origin = installation, origin
        self.failing = False
        self.saved_head = -1

    def load(self) -> tuple[SnapshotHeader | None, list[Record]]:
        """The snapshot of the last process; None and no records if there is no valid file."""
        if not self.folder:
            return None, []
        path = self.folder / FILE
        try:
            if path.stat().st_size > MAX_BYTES:
                raise ForeignState(f"{FILE} is longer than {MAX_BYTES} bytes")
            header, records = snapshot.decode(path.read_bytes(), self.installation)
            if header.origin != self.origin:
                raise ForeignState(f"{FILE} is of {header.origin}")
            return header, records
        except FileNotFoundError:
            return None, []
        except OSError as e:
            log.error("state_unreadable", extra={"file": FILE, "why": str(e)})
            return None, []
        except ForeignState as e:
            log.error("snapshot_quarantined", extra={"file": FILE, "as": QUARANTINE_FILE, "why": str(e)})
            try:
                path.replace(self.folder / QUARANTINE_FILE)
            except OSError as error:
                log.error("snapshot_not_quarantined", extra={"file": FILE, "why": str(error)})
            return None, []

    async def keep(
        self,
        head: Callable[[], int],
        header: Callable[[], SnapshotHeader],
        records: Callable[[], Iterable[Record]],
    ) -> None:
        """Save at most each `SAVE_INTERVAL_S` if something has changed, until cancelled."""
        while self.folder:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if head() != self.saved_head:
                await self.save(head(), header(), list(records()))

    async def save(self, head: int, header: SnapshotHeader, records: list[Record]) -> None:
        """Save a snapshot in a thread; a failure is logged once and retried with the next save."""
        if not self.folder:
            return
        try:
            await asyncio.get_running_loop().run_in_executor(None, self.write, header, records)
        except OSError as e:
            if not self.failing:
                log.error("state_not_saved", extra={"file": FILE, "why": str(e)})
            self.failing = True
            return
        if self.failing:
            log.info("snapshot_saved_again", extra={"file": FILE})
        self.failing, self.saved_head = False, head

    def write(self, header: SnapshotHeader, records: Iterable[Record]) -> None:
        """Write the file. Blocks; raises OSError."""
        assert self.folder
        temporary = self.folder / f"{FILE}.{os.getpid()}"
        try:
            with temporary.open("wb") as file:
                for piece in snapshot.encode(header, records):
                    file.write(piece)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self.folder / FILE)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise
