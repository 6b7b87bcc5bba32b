"""The file format of a recording: a header, then frames that are independent of each other.

A frame consists of its length, its checksum and a compressed list of records. If a file ends within a frame,
as after a kill of the process, it is read up to the last complete frame. A damaged frame also ends the
reading, as its length can't be trusted.
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
_HEADER = struct.Struct("<20sI")
_FRAME_HEADER = struct.Struct("<II")
MAX_FRAME_BYTES = 16 << 20  # compressed; a greater length means that the frame is damaged
# Limit of the uncompressed size of one frame, so that a small damaged or forged frame can't exhaust memory.
MAX_UNPACKED_BYTES = 64 << 20
COMPRESSION_LEVEL = 3
SUFFIX = ".rec"


class RecordingError(ValueError):
    """A file is not a recording, is of another version, or is damaged; the message says which."""


def header() -> bytes:
    """The header of a recording: magic bytes and version."""
    return _HEADER.pack(MAGIC, VERSION)


def frame(records: list[Record]) -> bytes:
    """Encode records as one frame."""
    packed = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(encode(records))
    return _FRAME_HEADER.pack(len(packed), crc32(packed)) + packed


@dataclass(slots=True)
class FileContent:
    """The records of a file. ``unread_bytes``: bytes after the last readable frame; ``why``: what ended the
    reading there."""

    records: list[Record]
    unread_bytes: int = 0
    why: str = ""


def read(path: Path) -> FileContent:
    """Read the records of one file up to the first damaged or incomplete frame.

    Raises RecordingError if the file can't be opened, is not a recording, or is of another version.
    """
    try:
        data = path.read_bytes()
    except OSError as e:
        raise RecordingError(f"{path}: can't be read: {e.strerror}") from e
    if len(data) < _HEADER.size:
        raise RecordingError(f"{path}: not a recording: shorter than the header")
    magic, version = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise RecordingError(f"{path}: not a recording: wrong magic bytes")
    if version != VERSION:
        raise RecordingError(f"{path}: recording of version {version}, but this program reads {VERSION}")
    content = FileContent([])
    offset = _HEADER.size
    try:
        for end, records in _frames(data, offset):
            content.records += records
            offset = end
    except RecordingError as e:
        content.why = str(e)
    content.unread_bytes = len(data) - offset
    return content


def _frames(data: bytes, offset: int) -> Iterator[tuple[int, list[Record]]]:
    """Yield the end offset and the records of each frame. Raises RecordingError at the first damaged one."""
    decompressor = zstandard.ZstdDecompressor()
    while offset < len(data):
        if offset + _FRAME_HEADER.size > len(data):
            raise RecordingError("the file ends within a frame's header")
        length, checksum = _FRAME_HEADER.unpack_from(data, offset)
        start, end = offset + _FRAME_HEADER.size, offset + _FRAME_HEADER.size + length
        if length > MAX_FRAME_BYTES:
            raise RecordingError(
                f"the frame at byte {offset} is damaged: its length of {length} is too large"
            )
        if end > len(data):
            raise RecordingError("the file ends within a frame")
        packed = data[start:end]
        if crc32(packed) != checksum:
            raise RecordingError(f"the frame at byte {offset} is damaged: its checksum differs")
        try:
            yield end, decode(decompressor.decompress(packed, max_output_size=MAX_UNPACKED_BYTES))
        except (zstandard.ZstdError, msgspec.DecodeError) as e:
            raise RecordingError(f"the frame at byte {offset} can't be decoded: {e}") from e
        offset = end


def files(path: Path) -> list[Path]:
    """The files of a recording in the order of writing: all in the folder ``path``, or the file ``path``."""
    return sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]


def read_all(path: Path) -> tuple[list[Record], list[str]]:
    """Read all records of a folder or file. Returns them and a note on each file with unreadable bytes.

    Raises RecordingError if there is no file, or if one of them is not a recording of this version.
    """
    found = files(path)
    if not found:
        raise RecordingError(f"{path}: the folder has no recordings")
    records: list[Record] = []
    notes = []
    for file in found:
        content = read(file)
        records += content.records
        if content.unread_bytes:
            notes.append(f"{file.name}: the last {content.unread_bytes} bytes can't be read: {content.why}")
    return records, notes
