"""What each scheduler says of itself, as a record by its name: its start, and what it has carried out.

A scheduler alone writes the record of its name. So the rule for copies that differ is: the later start wins,
of one start the later word.
"""

import hashlib
from collections.abc import Iterable

import msgspec

from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Kind

NAME = "notice"
VERSION = 1
LIFETIME_US = 7 * 86_400_000_000  # longer than anyone repairs a scheduler; each says a word a day
AGAIN_US = 86_400_000_000
BOUND = 4_096  # schedulers, with those of former names
RECENT = 8  # changes told one by one; while more follow each other, the digest of all tells once they end
CHECK = 8  # bytes of a digest: what two differ in by chance, in 2**64 calls, is named as confirmed too early
MAX_BYTES = 4_096


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """One scheduler's word. ``serial`` counts its words since its start.

    ``counts``: it had caught up when it wrote. ``serving``: it takes clients. ``left``: its last word, after
    its last send. ``names``: digest of the list of schedulers that it goes by. ``applied``: digest of all
    cordons that its dispatcher goes by, after its last send to the workers they name; ``recent``: the same by
    target of those that changed last. ``starts``: starts of others that it heard of last.
    """

    version: int
    incarnation: int
    serial: int
    mode: str
    bound_us: int
    counts: bool
    serving: bool
    left: bool
    names: bytes
    applied: bytes
    recent: tuple[tuple[str, bytes], ...]
    starts: tuple[tuple[str, int], ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Acknowledgement)


def merge(one: Acknowledgement, other: Acknowledgement) -> Acknowledgement:
    """The later word. Two of the same number are of two processes by one name, or of damage: any of them, but
    the same one everywhere."""
    return max(one, other, key=lambda n: (n.incarnation, n.serial, encode(n)))


def encode(notice: Acknowledgement) -> bytes:
    return _encoder.encode(notice)


def decode(data: bytes) -> Acknowledgement:
    """A peer's word, or ForeignState."""
    try:
        notice = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as e:
        raise ForeignState(f"a scheduler's word on itself can't be read: {e}") from e
    if notice.version != VERSION or len(data) > MAX_BYTES or notice.incarnation < 0 or notice.serial < 0:
        raise ForeignState(f"a scheduler's word on itself is of version {notice.version}, or out of bounds")
    return notice


def acknowledgement_kind() -> Kind[Acknowledgement]:
    """By name of the scheduler; of too many names those that spoke longest ago go first."""
    return Kind(NAME, encode, decode, merge, LIFETIME_US, BOUND, evict=lambda r: (r.stamp.wall_us, r.key))


def digest(*parts: bytes) -> bytes:
    hashed = hashlib.blake2b(digest_size=CHECK)
    for part in parts:
        hashed.update(len(part).to_bytes(4, "big") + part)
    return hashed.digest()


def list_digest(names: Iterable[str]) -> bytes:
    """Of the configured schedulers: who goes by another list is named in the figures."""
    return digest(*(name.encode() for name in sorted(names)))


class Applied:
    """Digests of values by key, and of all of them: kept with each change."""

    def __init__(self) -> None:
        self._by_key: dict[str, bytes] = {}
        self._sum = 0

    def put(self, key: str, value: bytes) -> bytes:
        new = digest(key.encode(), value)
        self._sum ^= int.from_bytes(new, "big") ^ int.from_bytes(self._by_key.get(key, b""), "big")
        self._by_key[key] = new
        return new

    def drop(self, key: str) -> None:
        """The record is over."""
        self._sum ^= int.from_bytes(self._by_key.pop(key, b""), "big")

    def keys(self) -> tuple[str, ...]:
        return tuple(self._by_key)

    def get(self, key: str) -> bytes | None:
        return self._by_key.get(key)

    @property
    def all(self) -> bytes:
        return self._sum.to_bytes(CHECK, "big")
