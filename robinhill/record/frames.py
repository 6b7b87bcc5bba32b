"""The format of a recording: a header, then frames that are independent of each other.

A frame is its length, its checksum and a compressed list of records. A file that ends in the middle of one,
as a kill leaves it, is read up to the last complete frame; a damaged frame ends the reading there too, as its
length can't be trusted.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

import msgspec
import zstandard

from robinhill.record.records import Record, decode, encode

MAGIC = b"robinhill recording\n"
VERSION = 1
_HEAD = struct.Struct("<20sI")
_FRAME = struct.Struct("<II")
MAX_FRAME_BYTES = 16 << 20  # compressed; anything longer is damage
MAX_UNPACKED_BYTES = 64 << 20  # of a frame, so that a small one can't fill the memory
COMPRESSION_LEVEL = 3
SUFFIX = ".rec"


class RecordingError(ValueError):
    """A file is no recording that this version can read; the message names it and says why."""


def header() -> bytes:
    """The first bytes of a recording."""
    return _HEAD.pack(MAGIC, VERSION)


def frame(records: list[Record]) -> bytes:
    """Records as one frame."""
    packed = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(encode(records))
    return _FRAME.pack(len(packed), crc32(packed)) + packed


@dataclass(slots=True)
class Reading:
    """The content of a file; ``lost``: bytes after the last complete frame, ``why`` they can't be read."""

    records: list[Record]
    lost: int = 0
    why: str = ""


def read(path: Path) -> Reading:
    """The records of one file. Raises RecordingError for another kind of file or another version."""
    try:
        data = path.read_bytes()
    except OSError as e:
        raise RecordingError(f"{path}: can't be read: {e.strerror}") from e
    if len(data) < _HEAD.size:
        raise RecordingError(f"{path}: is no recording")
    magic, version = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise RecordingError(f"{path}: is no recording")
    if version != VERSION:
        raise RecordingError(f"{path}: is of version {version}, this program reads {VERSION}")
    reading = Reading([])
    at = _HEAD.size
    try:
        for end, records in _frames(data, at):
            reading.records += records
            at = end
    except RecordingError as e:
        reading.why = str(e)
    reading.lost = len(data) - at
    return reading


def _frames(data: bytes, at: int) -> Iterator[tuple[int, list[Record]]]:
    unpack = zstandard.ZstdDecompressor()
    while at < len(data):
        if at + _FRAME.size > len(data):
            raise RecordingError("ends within a frame's head")
        length, checksum = _FRAME.unpack_from(data, at)
        start, end = at + _FRAME.size, at + _FRAME.size + length
        if length > MAX_FRAME_BYTES:
            raise RecordingError(f"a frame of {length} bytes at byte {at} is damaged")
        if end > len(data):
            raise RecordingError("ends within a frame")
        packed = data[start:end]
        if crc32(packed) != checksum:
            raise RecordingError(f"the frame at byte {at} is damaged")
        try:
            yield end, decode(unpack.decompress(packed, max_output_size=MAX_UNPACKED_BYTES))
        except (zstandard.ZstdError, msgspec.DecodeError) as e:
            raise RecordingError(f"the frame at byte {at} can't be unpacked: {e}") from e
        at = end


def files(path: Path) -> list[Path]:
    """The files of a recording in the order of writing: those of a folder, or the one file."""
    return sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]


def read_all(path: Path) -> tuple[list[Record], list[str]]:
    """All records of a folder or file, and a note on each file with unreadable bytes."""
    found = files(path)
    if not found:
        raise RecordingError(f"{path}: holds no recording")
    records: list[Record] = []
    notes = []
    for file in found:
        reading = read(file)
        records += reading.records
        if reading.lost:
            notes.append(f"{file.name}: the last {reading.lost} bytes could not be read: {reading.why}")
    return records, notes
