"""What passes over a link between two schedulers: messages of a few frames, which are MessagePack arrays.

A message may be lost, doubled or overtaken by another: on a plain connection none is, but a guarantee must
not hang on what lies between. So pushes are numbered, and all else can be said again.
"""

import hashlib
from collections.abc import Sequence

import msgspec

from robinhill.mesh.errors import PeerRefused
from robinhill.mesh.records import Record

PROTOCOL = 1
RANGES = 256
MAX_MESSAGE = 1 << 20  # bytes: a reader closes a link that sends more
MAX_MEMBERS = 1024
CHECK = 8  # bytes of a record's digest in a comparison; the next round would put right a miss in 2**64


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Who writes; first each way. ``names`` is the order of the ages in pongs; ``now_us`` is Unix time."""

    protocol: int
    installation: str
    name: str
    incarnation: int
    features: tuple[str, ...]
    now_us: int
    names: tuple[str, ...]


class Push(msgspec.Struct, frozen=True, array_like=True, tag="push"):
    """Records that the reader lacks. ``instead``: pushes that were lost, whose records are here anew."""

    number: int
    records: tuple[Record, ...]
    instead: tuple[int, ...] = ()


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Answer once all that you know now is written; pushes up to ``pushed`` went before this.

    ``low``: all of the reader's pushes up to this number are here.
    """

    number: int
    pushed: int
    low: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """All that its sender knew when the ping came is in the pushes up to ``pushed``.

    ``low``: it has all pushes up to this number. ``ages_ms``: how old its knowledge of each of its ``names``
    was when the ping came, rounded up, and -1 where it has none; of those that count for majorities, itself
    among them if it does. ``starting_ms``: the same of those that do not count yet, by place in ``names``.
    """

    number: int
    pushed: int
    low: int
    ages_ms: tuple[int, ...]
    starting_ms: tuple[tuple[int, int], ...]


class Again(msgspec.Struct, frozen=True, array_like=True, tag="again"):
    """These pushes have not come."""

    numbers: tuple[int, ...]


class Ranges(msgspec.Struct, frozen=True, array_like=True, tag="ranges"):
    """Digests of all ranges, 8 bytes each; ``answers`` where the other side opened the round.

    ``at_us``: the Unix time for which they hold, which an answer repeats: what is over counts in none.
    """

    round: int
    at_us: int
    answers: bool
    digests: bytes


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Kind, key and digest of records in one range: all of them, or the part of that number."""

    index: int
    part: int
    parts: int
    heads: tuple[tuple[str, str, bytes], ...]


class Heads(msgspec.Struct, frozen=True, array_like=True, tag="heads"):
    """What there is in ranges that differ."""

    round: int
    parts: tuple[Part, ...]


class Redo(msgspec.Struct, frozen=True, array_like=True, tag="redo"):
    """The heads of these ranges did not come."""

    round: int
    indices: tuple[int, ...]


class Aside(msgspec.Struct, frozen=True, array_like=True, tag="aside"):
    """A word between members that is no record."""

    words: bytes


Frame = Hello | Push | Ping | Pong | Again | Ranges | Heads | Redo | Aside
_decoder: msgspec.msgpack.Decoder[list[Frame]] = msgspec.msgpack.Decoder(list[Frame])
_encoder = msgspec.msgpack.Encoder()


def write(frames: Sequence[Frame]) -> bytes:
    return _encoder.encode(frames)


def read(data: bytes) -> list[Frame]:
    """The frames of a message; raises PeerRefused for what is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise PeerRefused(f"a message can't be read: {e}") from e


def check(record: Record) -> bytes:
    """A record's digest in a comparison."""
    return hashlib.blake2b(_encoder.encode(record), digest_size=CHECK).digest()
