"""The workers that operators have disabled, stored in a file so that they outlive the process."""

import logging
import os
from pathlib import Path

import orjson

log = logging.getLogger(__name__)

FILE_NAME = "held-out.json"


class DisabledWorkerStore:
    """The file with the ids of disabled workers. Without a folder nothing is stored."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder

    def load(self) -> set[str]:
        """The ids as last saved; none if the file can't be read, which is logged."""
        if not self.folder:
            return set()
        try:
            ids = orjson.loads((self.folder / FILE_NAME).read_bytes())
        except FileNotFoundError:
            return set()
        except (OSError, orjson.JSONDecodeError) as e:
            log.error("state_unreadable", extra={"file": FILE_NAME, "why": str(e)})
            return set()
        return {each for each in ids if isinstance(each, str)} if isinstance(ids, list) else set()

    def save(self, instance_ids: set[str]) -> bool:
        """Replace the file; whether that was done. After an error, which is logged, the old file stays."""
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
