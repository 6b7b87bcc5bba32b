"""The writer of a recording: a thread of its own, so that the event loop never waits for a disk."""

import contextlib
import logging
import secrets
import threading
import time
from collections import deque
from hashlib import blake2b
from pathlib import Path

from robinhill.record.frames import SUFFIX, frame, header
from robinhill.record.options import RecordOptions
from robinhill.record.records import Dropped, Record

log = logging.getLogger(__name__)

EVERY_S = 0.5  # a kill loses what came in this time
FRAME_RECORDS = 4_096
MOST_WAITING = 50_000  # some 10 MB; beyond it records are dropped and counted
MB = 1_000_000


class Recorder:
    """Takes records from the event loop and writes them in frames. What can't be kept is counted, never
    silent.
    """

    def __init__(self, options: RecordOptions, name: str) -> None:
        assert options.folder
        self.folder = Path(options.folder)
        self.options = options
        self.name = name
        self.written = 0
        self.dropped = 0
        self._secret = secrets.token_bytes(16)
        self._waiting: deque[Record] = deque()
        self._dropped_recorded = 0  # of those dropped, how many stand in the recording
        self._failing = False
        self._stop = threading.Event()
        self._file: Path | None = None
        self._size = 0
        self._serial = 0
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        """Write what waits, and end."""
        self._stop.set()
        self._thread.join()

    def hash(self, text: str) -> int:
        """An id as a recording holds it: alike within a process, and told to nobody."""
        digest = blake2b(text.encode(errors="surrogateescape"), digest_size=8, key=self._secret).digest()
        return int.from_bytes(digest) >> 1

    def note(self, record: Record) -> None:
        """Keep a record; never waits."""
        if len(self._waiting) >= MOST_WAITING:
            self.dropped += 1
        else:
            self._waiting.append(record)

    # In the thread

    def _run(self) -> None:
        while not self._stop.wait(EVERY_S):
            self._write_all()
        self._write_all()

    def _write_all(self) -> None:
        while self._waiting or self.dropped > self._dropped_recorded:
            records: list[Record] = []
            if self.dropped > self._dropped_recorded:
                records.append(Dropped(time.time_ns() // 1000, self.dropped - self._dropped_recorded))
            dropped = self.dropped
            while self._waiting and len(records) < FRAME_RECORDS:
                records.append(self._waiting.popleft())
            try:
                self._write(frame(records))
            except OSError as e:
                self.dropped += sum(not isinstance(r, Dropped) for r in records)
                if not self._failing:
                    log.error("recording_failed", extra={"folder": str(self.folder), "why": str(e)})
                self._failing, self._file = True, None
                return
            self._dropped_recorded, self._failing = dropped, False
            self.written += sum(not isinstance(r, Dropped) for r in records)

    def _write(self, data: bytes) -> None:
        """Append a frame; to the next file where this one is full."""
        if self._file is None or self._size + len(data) > self.options.file_mb * MB:
            self._begin()
        assert self._file
        with self._file.open("ab") as file:
            file.write(data)
        self._size += len(data)

    def _begin(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._serial += 1
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        self._file = self.folder / f"{stamp}-{self.name}-{self._serial:06d}{SUFFIX}"
        self._file.write_bytes(header())
        self._size = len(header())
        self._trim()

    def _trim(self) -> None:
        """Remove the oldest files of this scheduler beyond the bound on disk."""
        own_files = sorted(self.folder.glob(f"*-{self.name}-*{SUFFIX}"))
        sizes = {path: path.stat().st_size for path in own_files}
        room = (self.options.total_mb - self.options.file_mb) * MB
        for path in own_files[:-1]:
            if sum(sizes.values()) <= room:
                break
            with contextlib.suppress(OSError):
                path.unlink()
            del sizes[path]
