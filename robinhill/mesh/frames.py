"""Wire format of a link between two schedulers: a message is a MessagePack array of frames.

The protocol tolerates messages that are lost, duplicated or reordered. A plain TCP connection does not lose,
duplicate or reorder messages, but no guarantee may depend on the network equipment between two schedulers.
Pushes are therefore numbered, and every other frame may be sent again. This module encodes and decodes
frames; ``session`` processes them.
"""

import hashlib
from collections.abc import Sequence

import msgspec

from robinhill.mesh.errors import PeerRejected
from robinhill.mesh.records import Record

PROTOCOL = 1  # version of the protocol; both sides must have the same
RANGES = 256  # number of ranges; a hash of the record's name assigns each record to one of them
MAX_MESSAGE_BYTES = 1 << 20  # a receiver closes the link at a larger message
MAX_MEMBERS = 1024  # names in a hello
RECORD_DIGEST_BYTES = 8


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The identity of the sender; the first frame in each direction.

    ``features``: optional protocol features of the sender; none are defined yet. ``names``: all schedulers
    that the sender is configured with; the ages in the sender's pongs are in this order. ``now_us``: the
    sender's Unix time.
    """

    protocol: int
    installation: str
    name: str
    incarnation: int
    features: tuple[str, ...]
    now_us: int
    names: tuple[str, ...]


class Push(msgspec.Struct, frozen=True, array_like=True, tag="push"):
    """Records that the receiver lacks.

    ``number``: counts the sender's pushes on this link, from 1. ``replaces``: numbers of lost pushes whose
    records this push contains with their newest values.
    """

    number: int
    records: tuple[Record, ...]
    replaces: tuple[int, ...] = ()


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Requests a pong.

    The receiver sends the pong once it has written every change that it knew when the ping arrived.
    ``pushed``: the number of the sender's last push before this ping, 0 if there was none. ``low``: the
    sender has received all pushes of the receiver up to this number.
    """

    number: int
    pushed: int
    low: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """The answer to the ping of this ``number``.

    The sender's pushes up to ``pushed`` contain every change that the sender knew when the ping arrived.
    ``low``: the sender has received all pushes of the receiver up to this number. ``ages_ms``: for each
    scheduler, in the order of ``names`` in the sender's hello, how old the sender's knowledge of that
    scheduler was when the ping arrived. The ages are rounded up; -1 stands for an unknown age or a scheduler
    that does not count towards majorities. The sender's own age is 0 if the sender counts towards majorities.
    ``starting_ms``: index in ``names`` and age for each scheduler that does not count towards majorities yet.
    """

    number: int
    pushed: int
    low: int
    ages_ms: tuple[int, ...]
    starting_ms: tuple[tuple[int, int], ...]


class PushResendRequest(msgspec.Struct, frozen=True, array_like=True, tag="again"):
    """Requests pushes that were not received, by their numbers."""

    numbers: tuple[int, ...]


class RangeDigests(msgspec.Struct, frozen=True, array_like=True, tag="ranges"):
    """Digests of all ranges of the sender's records, 8 bytes each.

    ``round``: the number of the anti-entropy round on this link. ``answers``: True if the sender answers the
    receiver's digests, False if the sender opens the round. ``at_us``: the Unix time as of which the digests
    are computed; records that have expired by then are not included. The answer repeats the time, unless the
    clocks differ too much.
    """

    round: int
    at_us: int
    answers: bool
    digests: bytes


class RangePart(msgspec.Struct, frozen=True, array_like=True):
    """One part of the record versions in range ``index``.

    ``part``: the index of this part, from 0, among all ``parts`` of the range. ``versions``: kind, key and
    digest of each record.
    """

    index: int
    part: int
    parts: int
    versions: tuple[tuple[str, str, bytes], ...]


class RecordVersions(msgspec.Struct, frozen=True, array_like=True, tag="heads"):
    """The versions of the sender's records in ranges whose digests differ between sender and receiver."""

    round: int
    parts: tuple[RangePart, ...]


class VersionsResendRequest(msgspec.Struct, frozen=True, array_like=True, tag="redo"):
    """Requests the record versions of the ranges ``indices`` again, as the sender has not received them."""

    round: int
    indices: tuple[int, ...]


class MemberMessage(msgspec.Struct, frozen=True, array_like=True, tag="aside"):
    """An application message between two schedulers that is not part of replication; it may be lost."""

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
    """Encode frames as one message."""
    return _encoder.encode(frames)


def decode_message(data: bytes) -> list[Frame]:
    """Decode the frames of a message. Raises PeerRejected if it is malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise PeerRejected(f"a message of the peer can't be decoded: {e}") from e


def record_digest(record: Record) -> bytes:
    """Return the digest by which two schedulers compare their versions of a record."""
    return hashlib.blake2b(_encoder.encode(record), digest_size=RECORD_DIGEST_BYTES).digest()
