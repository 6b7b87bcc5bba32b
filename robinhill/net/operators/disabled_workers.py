"""What outlives the process: the held-out endpoints, in a file of $TMPDIR."""

import logging
import os
from pathlib import Path

import orjson

log = logging.getLogger(__name__)

FILE = "held-out.json"


class DisabledWorkerStore:
    """Without a folder nothing is kept."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder

    def load(self) -> set[str]:
        """The ids as last saved; a file that can't be read holds none, and says so in the log."""
        if not self.folder:
            return set()
        try:
            ids = orjson.loads((self.folder / FILE).read_bytes())
        except FileNotFoundError:
            return set()
        except (OSError, orjson.JSONDecodeError) as e:
            log.error("state_unreadable", extra={"file": FILE, "why": str(e)})
            return set()
        return {x for x in ids if isinstance(x, str)} if isinstance(ids, list) else set()

    def save(self, instance_ids: set[str]) -> bool:
        """Whether they are on file now: all of them or, after an error, those of before."""
        if not self.folder:
            return True
        temporary = self.folder / f"{FILE}.{os.getpid()}"
        try:
            temporary.write_bytes(orjson.dumps(sorted(instance_ids)))
            temporary.replace(self.folder / FILE)
        except OSError as e:
            log.error("state_not_saved", extra={"file": FILE, "why": str(e)})
            return False
        return True
