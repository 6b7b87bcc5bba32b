"""The writer of a recording: a separate thread, so that the event loop never waits for the disk."""

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

FLUSH_INTERVAL_S = 0.5  # a kill of the process loses up to this time of records
FRAME_RECORDS = 4_096
MAX_QUEUED_RECORDS = 50_000  # about 10 MB; beyond it, records are dropped and counted
BYTES_PER_MB = 1_000_000


class Recorder:
    """Queues records of the event loop and writes them in frames to files; counts those that it drops."""

    def __init__(self, options: RecordOptions, name: str) -> None:
        assert options.folder
        self.folder = Path(options.folder)
        self.options = options
        self.name = name
        self.written = 0
        self.dropped = 0
        self._secret = secrets.token_bytes(16)
        self._queue: deque[Record] = deque()
        self._dropped_recorded = 0  # dropped records that are reported in the recording
        self._failing = False
        self._stop = threading.Event()
        self._file: Path | None = None
        self._size = 0
        self._serial = 0
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)

    def start(self) -> None:
        """Start the writer's thread."""
        self._thread.start()

    def close(self) -> None:
        """Write all queued records and stop the thread; blocks until it has stopped."""
        self._stop.set()
        self._thread.join()

    def hash(self, text: str) -> int:
        """The keyed hash of an id, stable within a process; the key is never written to a recording."""
        digest = blake2b(text.encode(errors="surrogateescape"), digest_size=8, key=self._secret).digest()
        return int.from_bytes(digest) >> 1

    def add(self, record: Record) -> None:
        """Queue a record without blocking; a full queue drops it."""
        if len(self._queue) >= MAX_QUEUED_RECORDS:
            self.dropped += 1
        else:
            self._queue.append(record)

    # In the writer thread

    def _run(self) -> None:
        while not self._stop.wait(FLUSH_INTERVAL_S):
            self._write_all()
        self._write_all()

    def _write_all(self) -> None:
        while self._queue or self.dropped > self._dropped_recorded:
            records: list[Record] = []
            if self.dropped > self._dropped_recorded:
                records.append(Dropped(time.time_ns() // 1000, self.dropped - self._dropped_recorded))
            dropped = self.dropped
            while self._queue and len(records) < FRAME_RECORDS:
                records.append(self._queue.popleft())
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
        """Append a frame, in a new file if it doesn't fit into the present one."""
        if self._file is None or self._size + len(data) > self.options.file_mb * BYTES_PER_MB:
            self._start_file()
        assert self._file
        with self._file.open("ab") as file:
            file.write(data)
        self._size += len(data)

    def _start_file(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._serial += 1
        timestamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        self._file = self.folder / f"{timestamp}-{self.name}-{self._serial:06d}{SUFFIX}"
        self._file.write_bytes(header())
        self._size = len(header())
        self._remove_oldest_files()

    def _remove_oldest_files(self) -> None:
        """Remove the oldest files of this scheduler until the total size leaves room for one more file."""
        own_files = sorted(self.folder.glob(f"*-{self.name}-*{SUFFIX}"))
        sizes = {path: path.stat().st_size for path in own_files}
        capacity = (self.options.total_mb - self.options.file_mb) * BYTES_PER_MB
        for path in own_files[:-1]:
            if sum(sizes.values()) <= capacity:
                break
            with contextlib.suppress(OSError):
                path.unlink()
            del sizes[path]
