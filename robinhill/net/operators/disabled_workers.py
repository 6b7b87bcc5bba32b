"""The store of the workers that operators have disabled: a file in $TMPDIR, which outlasts process restarts.

Workers are identified by their IDs on the endpoint list. Nothing is sent to a disabled worker.
"""

import logging
import os
from pathlib import Path

import orjson

log = logging.getLogger(__name__)

FILE_NAME = "held-out.json"


class DisabledWorkerStore:
    """Stores the IDs of disabled workers in ``folder``; if the folder is None, nothing is stored."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder

    def load(self) -> set[str]:
        """Return the IDs of the last `save`; an empty set if there was none, or if the file can't be read.

        An unreadable file is logged as an error.
        """
        if not self.folder:
            return set()
        try:
            ids = orjson.loads((self.folder / FILE_NAME).read_bytes())
        except FileNotFoundError:
            return set()
        except (OSError, orjson.JSONDecodeError) as e:
            log.error("state_unreadable", extra={"file": FILE_NAME, "why": str(e)})
            return set()
        return {x for x in ids if isinstance(x, str)} if isinstance(ids, list) else set()

    def save(self, instance_ids: set[str]) -> bool:
        """Replace the saved IDs atomically. Returns False after a failure, which is logged."""
        if not self.folder:
            return True
        temporary = self.folder / f"{FILE_NAME}.{os.getpid()}"
        try:
            temporary.write_bytes(orjson.dumps(sorted(instance_ids)))
            temporary.replace(self.folder / FILE_NAME)
        except OSError as e:
            log.error("state_not_saved", extra={"file": FILE_NAME, "why": str(e)})
            return False
        return True
