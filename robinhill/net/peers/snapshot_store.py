"""What schedulers share, on disk: this scheduler's own last state, in one file of $TMPDIR.

The file is written beside the old one, synced and renamed. One that can't be read is set aside, and never the
end of the program: peers have what it held.
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
ASIDE = "mesh.state.aside"  # one is kept: a later one replaces it
SAVE_S = 1.0  # from a change to its save, at least; a save of 10,000 records takes some 20 ms of a thread
MAX_BYTES = 256 << 20


class SnapshotStore:
    """Without a folder nothing is kept."""

    def __init__(self, folder: Path | None, installation: str, origin: str) -> None:
        self.folder = folder
        self.installation, self.origin = installation, origin
        self.failing = False
        self.saved_head = -1

    def load(self) -> tuple[SnapshotHeader | None, list[Record]]:
        """What the last process has left; None and nothing where there is no file of ours."""
        if not self.folder:
            return None, []
        path = self.folder / FILE
        try:
            if path.stat().st_size > MAX_BYTES:
                raise ForeignState(f"{FILE} is longer than {MAX_BYTES} bytes")
            owner, records = snapshot.decode(path.read_bytes(), self.installation)
            if owner.origin != self.origin:
                raise ForeignState(f"{FILE} is of {owner.origin}")
            return owner, records
        except FileNotFoundError:
            return None, []
        except OSError as e:
            log.error("state_unreadable", extra={"file": FILE, "why": str(e)})
            return None, []
        except ForeignState as e:
            log.error("state_set_aside", extra={"file": FILE, "as": ASIDE, "why": str(e)})
            try:
                path.replace(self.folder / ASIDE)
            except OSError as error:
                log.error("state_not_set_aside", extra={"file": FILE, "why": str(error)})
            return None, []

    async def keep(
        self,
        head: Callable[[], int],
        owner: Callable[[], SnapshotHeader],
        records: Callable[[], Iterable[Record]],
    ) -> None:
        """Save whenever something has changed, until cancelled."""
        while self.folder:
            await asyncio.sleep(SAVE_S)
            if head() != self.saved_head:
                await self.save(head(), owner(), list(records()))

    async def save(self, head: int, owner: SnapshotHeader, records: list[Record]) -> None:
        """In a thread: other work goes on."""
        if not self.folder:
            return
        try:
            await asyncio.get_running_loop().run_in_executor(None, self.write, owner, records)
        except OSError as e:
            if not self.failing:  # it is tried again each second
                log.error("state_not_saved", extra={"file": FILE, "why": str(e)})
            self.failing = True
            return
        if self.failing:
            log.info("state_saved_again", extra={"file": FILE})
        self.failing, self.saved_head = False, head

    def write(self, owner: SnapshotHeader, records: Iterable[Record]) -> None:
        assert self.folder
        temporary = self.folder / f"{FILE}.{os.getpid()}"
        try:
            with temporary.open("wb") as file:
                for piece in snapshot.encode(owner, records):
                    file.write(piece)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self.folder / FILE)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise
