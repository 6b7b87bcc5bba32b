"""File format of a snapshot of a copy. Encodes and decodes only; the caller reads and writes the file.

A head (magic bytes, version), then frames of length, checksum and MessagePack. The first frame is the
header, the others contain records, the last is empty and marks the file as complete. Each checksum is keyed
by the one before, so a frame that is damaged, missing, duplicated or out of place is detected. Nothing of a
file that fails is used; peers still have its records.

The caller writes to a temporary file in the same folder, syncs it and renames it; a file that raises
ForeignState is quarantined under another name. Records that were read go through ``Replica.merge``.
"""

import struct
from collections.abc import Iterable, Iterator
from hashlib import blake2b

import msgspec

from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Record

MAGIC = b"robinhill mesh at rest\n"
VERSION = 1
FRAME_BYTES = 64 << 10  # a frame is closed once it has so many
MAX_FRAME_BYTES = 1 << 20  # ``FRAME_BYTES`` and one record of the largest size fit
_HEAD = struct.Struct(f"<{len(MAGIC)}sH")
_CHECKSUM_BYTES = 16
_FRAME = struct.Struct(f"<I{_CHECKSUM_BYTES}s")
_encode = msgspec.msgpack.Encoder().encode


class SnapshotHeader(msgspec.Struct, frozen=True, array_like=True):
    """Whose file it is: the process of ``origin`` with ``incarnation``; the next one's must be larger.

    ``saved_us``: when it was written, in Unix time.
    """

    installation: str
    origin: str
    incarnation: int
    saved_us: int


_header_decoder = msgspec.msgpack.Decoder(SnapshotHeader)
_records_decoder = msgspec.msgpack.Decoder(list[Record])


def encode(header: SnapshotHeader, records: Iterable[Record]) -> Iterator[bytes]:
    """The file in pieces, to be written in order."""
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
    """The header and the records of a file.

    Raises ForeignState for a file that is incomplete, damaged, of another installation or another version.
    """
    if len(data) < _HEAD.size or not data.startswith(MAGIC):
        raise ForeignState("the file holds no state of schedulers")
    _, version = _HEAD.unpack_from(data)
    if version != VERSION:
        raise ForeignState(f"the file is of version {version}, this program reads {VERSION}")
    frames = _frames(data)
    try:
        header = _header_decoder.decode(next(frames))
        if header.installation != installation:
            raise ForeignState(f"the file is of installation {header.installation!r}, not {installation!r}")
        return header, [record for frame in frames for record in _records_decoder.decode(frame)]
    except (msgspec.MsgspecError, StopIteration) as e:
        raise ForeignState(f"the file can't be unpacked: {e}") from e


def _list(parts: list[bytes]) -> bytes:
    """A MessagePack array (32 bit) of encoded values."""
    return b"".join((b"\xdd", len(parts).to_bytes(4, "big"), *parts))


def _frame(checksum: bytes, payload: bytes) -> tuple[bytes, bytes]:
    """A frame behind one with checksum ``checksum``: its own checksum, and its bytes."""
    checksum = blake2b(payload, digest_size=_CHECKSUM_BYTES, key=checksum).digest()
    return checksum, _FRAME.pack(len(payload), checksum) + payload


def _frames(data: bytes) -> Iterator[bytes]:
    """The payloads of all frames. Raises ForeignState at the first that is damaged."""
    offset, checksum = _HEAD.size, b""
    while offset + _FRAME.size <= len(data):
        length, expected = _FRAME.unpack_from(data, offset)
        start, end = offset + _FRAME.size, offset + _FRAME.size + length
        if length > MAX_FRAME_BYTES or end > len(data):
            raise ForeignState(f"the file is torn or damaged in its frame at byte {offset}")
        payload = data[start:end]
        checksum = blake2b(payload, digest_size=_CHECKSUM_BYTES, key=checksum).digest()
        if checksum != expected:
            raise ForeignState(f"the file is damaged in its frame at byte {offset}")
        if not length:
            if end != len(data):
                raise ForeignState(f"the file goes on behind its end at byte {end}")
            return
        yield payload
        offset = end
    raise ForeignState(f"the file is torn at byte {offset}")
