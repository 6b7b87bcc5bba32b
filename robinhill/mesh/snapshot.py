"""What a copy leaves on disk: a format of bytes, encoded and decoded here; the caller reads and writes.

A head (magic bytes, version), then frames: length, check, MessagePack. The first frame tells whose file it
is, the others hold records, the last is empty and says that it is whole. Each check is a hash that is keyed
by the one before: a frame that is damaged, missing, doubled or out of place does not pass. Nothing is taken
from a file that does not pass whole; peers still hold what it held.

The caller writes to a temporary file of the same folder, syncs it and renames it; a file that raises
ForeignState it sets aside under another name. What was read goes through ``Replica.take``, which ages it.
"""

import struct
from collections.abc import Iterable, Iterator
from hashlib import blake2b

import msgspec

from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Record

MAGIC = b"robinhill mesh at rest\n"
VERSION = 1
FRAME_BYTES = 64 << 10  # a frame is closed once it has so many: small next to memory, large next to its head
LONGEST_FRAME = 1 << 20  # one more record of the largest size fits; anything longer is damage
_HEAD = struct.Struct(f"<{len(MAGIC)}sH")
_CHECK = 16
_FRAME = struct.Struct(f"<I{_CHECK}s")
_encode = msgspec.msgpack.Encoder().encode


class SnapshotHeader(msgspec.Struct, frozen=True, array_like=True):
    """Whose file it is. ``incarnation`` is that of the process that wrote it (the next one's must be larger),
    ``saved_us`` when it did, in Unix time: it was away since then.
    """

    installation: str
    origin: str
    incarnation: int
    saved_us: int


_owner = msgspec.msgpack.Decoder(SnapshotHeader)
_records = msgspec.msgpack.Decoder(list[Record])


def encode(owner: SnapshotHeader, records: Iterable[Record]) -> Iterator[bytes]:
    """The file in pieces, to be written one after the other."""
    yield _HEAD.pack(MAGIC, VERSION)
    check, frame = _frame(b"", _encode(owner))
    yield frame
    parts: list[bytes] = []
    size = 0
    for record in records:
        parts.append(_encode(record))
        size += len(parts[-1])
        if size >= FRAME_BYTES:
            check, frame = _frame(check, _list(parts))
            yield frame
            parts, size = [], 0
    if parts:
        check, frame = _frame(check, _list(parts))
        yield frame
    yield _frame(check, b"")[1]


def decode(data: bytes, installation: str) -> tuple[SnapshotHeader, list[Record]]:
    """Whose file it is and the records in it.

    Raises ForeignState for a file that is torn, damaged, of another installation or of a newer version.
    """
    if len(data) < _HEAD.size or not data.startswith(MAGIC):
        raise ForeignState("the file holds no state of schedulers")
    _, version = _HEAD.unpack_from(data)
    if version != VERSION:
        raise ForeignState(f"the file is of version {version}, this program reads {VERSION}")
    frames = _frames(data)
    try:
        owner = _owner.decode(next(frames))
        if owner.installation != installation:
            raise ForeignState(f"the file is of installation {owner.installation!r}, not {installation!r}")
        return owner, [record for frame in frames for record in _records.decode(frame)]
    except (msgspec.MsgspecError, StopIteration) as e:
        raise ForeignState(f"the file can't be unpacked: {e}") from e


def _list(parts: list[bytes]) -> bytes:
    """A MessagePack array (32 bit) of values that are encoded already."""
    return b"".join((b"\xdd", len(parts).to_bytes(4, "big"), *parts))


def _frame(check: bytes, payload: bytes) -> tuple[bytes, bytes]:
    check = blake2b(payload, digest_size=_CHECK, key=check).digest()
    return check, _FRAME.pack(len(payload), check) + payload


def _frames(data: bytes) -> Iterator[bytes]:
    at, check = _HEAD.size, b""
    while at + _FRAME.size <= len(data):
        length, told = _FRAME.unpack_from(data, at)
        start, end = at + _FRAME.size, at + _FRAME.size + length
        if length > LONGEST_FRAME or end > len(data):
            raise ForeignState(f"the file is torn or damaged in its frame at byte {at}")
        payload = data[start:end]
        check = blake2b(payload, digest_size=_CHECK, key=check).digest()
        if check != told:
            raise ForeignState(f"the file is damaged in its frame at byte {at}")
        if not length:
            if end != len(data):
                raise ForeignState(f"the file goes on behind its end at byte {end}")
            return
        yield payload
        at = end
    raise ForeignState(f"the file is torn at byte {at}")
