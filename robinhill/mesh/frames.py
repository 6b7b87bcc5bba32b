"""Wire format of a link between two schedulers: a message is a MessagePack array of frames.

Messages may be lost, duplicated or reordered: a plain connection does none of this, but no guarantee may
depend on what lies between two schedulers. Pushes are therefore numbered, and every other frame may be sent
again. This module encodes and decodes; what a frame does to a link is in ``session``.
"""

import hashlib
from collections.abc import Sequence

import msgspec

from robinhill.mesh.errors import PeerRejected
from robinhill.mesh.records import Record

PROTOCOL = 1
RANGES = 256
MAX_MESSAGE_BYTES = 1 << 20  # a reader closes a link that sends more
MAX_MEMBERS = 1024
RECORD_DIGEST_BYTES = 8


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The sender's identity; the first frame in each direction.

    ``names`` is the order of the ages in its pongs; ``now_us`` is Unix time.
    """

    protocol: int
    installation: str
    name: str
    incarnation: int
    features: tuple[str, ...]
    now_us: int
    names: tuple[str, ...]


class Push(msgspec.Struct, frozen=True, array_like=True, tag="push"):
    """Records that the reader lacks. ``replaces``: lost pushes whose records are sent again here."""

    number: int
    records: tuple[Record, ...]
    replaces: tuple[int, ...] = ()


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Asks for a pong once everything that the reader knows now is written.

    ``pushed``: the last push written before this ping. ``low``: all of the reader's pushes up to this number
    were received.
    """

    number: int
    pushed: int
    low: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Everything that its sender knew when the ping arrived is in its pushes up to ``pushed``.

    ``low``: all of the reader's pushes up to this number were received. ``ages_ms``: by place in the sender's
    ``names``, the age of its knowledge of each scheduler that counts for majorities when the ping arrived,
    rounded up, -1 where unknown; itself included if it counts. ``starting_ms``: place and age of those that
    do not count yet.
    """

    number: int
    pushed: int
    low: int
    ages_ms: tuple[int, ...]
    starting_ms: tuple[tuple[int, int], ...]


class PushResendRequest(msgspec.Struct, frozen=True, array_like=True, tag="again"):
    """Pushes that were not received."""

    numbers: tuple[int, ...]


class RangeDigests(msgspec.Struct, frozen=True, array_like=True, tag="ranges"):
    """Digests of all ranges, 8 bytes each; ``answers`` where the other side opened the round.

    ``at_us``: the Unix time as of which they hold, repeated in the answer; expired records count in none.
    """

    round: int
    at_us: int
    answers: bool
    digests: bytes


class RangePart(msgspec.Struct, frozen=True, array_like=True):
    """One of ``parts`` parts of a range: kind, key and digest of its records."""

    index: int
    part: int
    parts: int
    versions: tuple[tuple[str, str, bytes], ...]


class RecordVersions(msgspec.Struct, frozen=True, array_like=True, tag="heads"):
    """The versions of the records in ranges that differ."""

    round: int
    parts: tuple[RangePart, ...]


class VersionsResendRequest(msgspec.Struct, frozen=True, array_like=True, tag="redo"):
    """Ranges whose record versions were not received."""

    round: int
    indices: tuple[int, ...]


class MemberMessage(msgspec.Struct, frozen=True, array_like=True, tag="aside"):
    """A message between members outside of replication; it may be lost."""

    payload: bytes


Frame = (
    Hello
    | Push
    | Ping
    | Pong
    | PushResendRequest
    | RangeDigests
    | RecordVersions
    | VersionsResendRequest
    | MemberMessage
)
_decoder: msgspec.msgpack.Decoder[list[Frame]] = msgspec.msgpack.Decoder(list[Frame])
_encoder = msgspec.msgpack.Encoder()


def encode_message(frames: Sequence[Frame]) -> bytes:
    """A message of these frames."""
    return _encoder.encode(frames)


def decode_message(data: bytes) -> list[Frame]:
    """The frames of a message; raises PeerRejected if it is malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise PeerRejected(f"a message can't be read: {e}") from e


def record_digest(record: Record) -> bytes:
    """The digest by which two copies compare their versions of a record."""
    return hashlib.blake2b(_encoder.encode(record), digest_size=RECORD_DIGEST_BYTES).digest()
