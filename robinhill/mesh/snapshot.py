"""File format of a snapshot of one scheduler's replicated records.

This module only encodes and decodes; the caller reads and writes the file. A file starts with magic bytes and
a version. Frames follow, each of a length, a checksum and MessagePack. The first frame is the header, the
others contain records, and the last frame is empty and marks the file as complete. Each checksum is keyed by
the checksum of the previous frame, so a frame that is damaged, missing, duplicated or out of place is
detected. No part of an invalid file is used; other schedulers still store its records.

The caller writes to a temporary file in the same folder, syncs the file and renames it. If decoding a file
raises ForeignState, the caller quarantines the file under another name. It merges the records of a valid file
with ``Replica.merge``.
"""

import struct
from collections.abc import Iterable, Iterator
from hashlib import blake2b

import msgspec

from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Record

MAGIC = b"robinhill mesh at rest\n"
VERSION = 1
FRAME_BYTES = 64 << 10  # no further record is added to a frame once it has this many bytes
MAX_FRAME_BYTES = 1 << 20  # exceeds ``FRAME_BYTES`` plus one record of the largest size
_HEAD = struct.Struct(f"<{len(MAGIC)}sH")
_CHECKSUM_BYTES = 16
_FRAME = struct.Struct(f"<I{_CHECKSUM_BYTES}s")
_encode = msgspec.msgpack.Encoder().encode


class SnapshotHeader(msgspec.Struct, frozen=True, array_like=True):
    """The process that wrote the file: the scheduler ``origin`` in its ``incarnation``.

    The next process of ``origin`` must have a larger incarnation. ``saved_us``: the Unix time at which the
    file was written.
    """

    installation: str
    origin: str
    incarnation: int
    saved_us: int


_header_decoder = msgspec.msgpack.Decoder(SnapshotHeader)
_records_decoder = msgspec.msgpack.Decoder(list[Record])


def encode(header: SnapshotHeader, records: Iterable[Record]) -> Iterator[bytes]:
    """Yield the contents of the file in pieces, to be written in order."""
    yield _HEAD.pack(MAGIC, VERSION)
    checksum, frame = _frame(b"", _encode(header))
    yield frame
    parts: list[bytes] = []
    size = 0
    for record in records:
        parts.append(_encode(record))
        size += len(parts[-1])
        if size >= FRAME_BYTES:
            checksum, frame = _frame(checksum, _list(parts))
            yield frame
            parts, size = [], 0
    if parts:
        checksum, frame = _frame(checksum, _list(parts))
        yield frame
    yield _frame(checksum, b"")[1]


def decode(data: bytes, installation: str) -> tuple[SnapshotHeader, list[Record]]:
    """Return the header and the records of a file.

    Raises ForeignState for a file that is incomplete, damaged, of another installation or another version.
    """
    if len(data) < _HEAD.size or not data.startswith(MAGIC):
        raise ForeignState("the file is not a snapshot of a scheduler")
    _, version = _HEAD.unpack_from(data)
    if version != VERSION:
        raise ForeignState(f"the snapshot has version {version}, this program reads version {VERSION}")
    frames = _frames(data)
    try:
        header = _header_decoder.decode(next(frames))
        if header.installation != installation:
            raise ForeignState(
                f"the snapshot belongs to installation {header.installation!r}, not {installation!r}"
            )
        return header, [record for frame in frames for record in _records_decoder.decode(frame)]
    except (msgspec.MsgspecError, StopIteration) as e:
        raise ForeignState(f"the snapshot can't be decoded: {e}") from e


def _list(parts: list[bytes]) -> bytes:
    """Return a MessagePack array, with a 32-bit length, of encoded values."""
    return b"".join((b"\xdd", len(parts).to_bytes(4, "big"), *parts))


def _frame(checksum: bytes, payload: bytes) -> tuple[bytes, bytes]:
    """Return the checksum and the bytes of a frame.

    ``checksum``: the checksum of the previous frame, empty for the first frame.
    """
    checksum = blake2b(payload, digest_size=_CHECKSUM_BYTES, key=checksum).digest()
    return checksum, _FRAME.pack(len(payload), checksum) + payload


def _frames(data: bytes) -> Iterator[bytes]:
    """Yield the payloads of all frames except the empty last one.

    Raises ForeignState at the first frame that is damaged, and for missing frames or data after the last one.
    """
    offset, checksum = _HEAD.size, b""
    while offset + _FRAME.size <= len(data):
        length, expected = _FRAME.unpack_from(data, offset)
        start, end = offset + _FRAME.size, offset + _FRAME.size + length
        if length > MAX_FRAME_BYTES or end > len(data):
            raise ForeignState(f"the snapshot is truncated or damaged in the frame at byte {offset}")
        payload = data[start:end]
        checksum = blake2b(payload, digest_size=_CHECKSUM_BYTES, key=checksum).digest()
        if checksum != expected:
            raise ForeignState(f"the snapshot has a wrong checksum in the frame at byte {offset}")
        if not length:
            if end != len(data):
                raise ForeignState(f"the snapshot has data after its last frame, from byte {end}")
            return
        yield payload
        offset = end
    raise ForeignState(f"the snapshot is truncated at byte {offset}")
