"""Acknowledgements: one record by each scheduler, with its incarnation and the changes that it has applied.

Only the scheduler of that name writes the record, so the merge rule is: the later incarnation wins, within
one incarnation the larger sequence number.
"""

import hashlib
from collections.abc import Iterable

import msgspec

from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Kind

NAME = "notice"
VERSION = 1
LIFETIME_US = 7 * 86_400_000_000  # longer than the repair of a scheduler takes
REWRITE_INTERVAL_US = 86_400_000_000
MAX_ACKNOWLEDGEMENTS = 4_096  # schedulers, with those of former names
MAX_RECENT_CHANGES = 8  # named one by one; the digest of all changes covers the others
DIGEST_BYTES = 8
MAX_BYTES = 4_096


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """What one scheduler has applied. ``sequence`` counts its acknowledgements in this incarnation.

    ``mode`` and ``bound_us``: its settings ``on_lost`` and ``bound_ms``. ``caught_up``: it counted for
    majorities when it wrote this. ``serving``: it accepts clients. ``left``: its last acknowledgement,
    written after its last send. ``names_digest``: digest of its list of schedulers. ``applied_digest``:
    digest of all cordons that its dispatcher applies, after its last send to the workers concerned;
    ``recent_digests``: the same by target, of the last changes. ``incarnations``: those of other schedulers
    that it learned of last.
    """

    version: int
    incarnation: int
    sequence: int
    mode: str
    bound_us: int
    caught_up: bool
    serving: bool
    left: bool
    names_digest: bytes
    applied_digest: bytes
    recent_digests: tuple[tuple[str, bytes], ...]
    incarnations: tuple[tuple[str, int], ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Acknowledgement)


def merge(one: Acknowledgement, other: Acknowledgement) -> Acknowledgement:
    """The later acknowledgement.

    Two with the same sequence number are of two processes with one name, or damaged: every copy then keeps
    the same one of them.
    """
    return max(one, other, key=lambda each: (each.incarnation, each.sequence, encode(each)))


def encode(acknowledgement: Acknowledgement) -> bytes:
    """The value of the record."""
    return _encoder.encode(acknowledgement)


def decode(data: bytes) -> Acknowledgement:
    """A peer's acknowledgement; raises ForeignState if it is malformed or of another version."""
    try:
        acknowledgement = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as e:
        raise ForeignState(f"an acknowledgement can't be read: {e}") from e
    version, in_bounds = acknowledgement.version, len(data) <= MAX_BYTES
    if version != VERSION or not in_bounds or acknowledgement.incarnation < 0 or acknowledgement.sequence < 0:
        raise ForeignState(f"an acknowledgement is of version {version}, or out of bounds")
    return acknowledgement


def acknowledgement_kind() -> Kind[Acknowledgement]:
    """The kind, by name of the scheduler; the ones written longest ago are evicted first."""
    return Kind(
        NAME, encode, decode, merge, LIFETIME_US, MAX_ACKNOWLEDGEMENTS,
        evict=lambda record: (record.stamp.wall_us, record.key),
    )  # fmt: skip


def digest(*parts: bytes) -> bytes:
    """A digest of these parts, each with its length."""
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hashed.update(len(part).to_bytes(4, "big") + part)
    return hashed.digest()


def list_digest(names: Iterable[str]) -> bytes:
    """The digest of the configured schedulers, to find those with another list."""
    return digest(*(name.encode() for name in sorted(names)))


class AppliedDigests:
    """Digests of applied values by key, and one over all of them, updated with each change."""

    def __init__(self) -> None:
        self._by_key: dict[str, bytes] = {}
        self._combined = 0

    def put(self, key: str, value: bytes) -> bytes:
        """Apply a value; its digest."""
        new = digest(key.encode(), value)
        self._combined ^= int.from_bytes(new, "big") ^ int.from_bytes(self._by_key.get(key, b""), "big")
        self._by_key[key] = new
        return new

    def drop(self, key: str) -> None:
        """The record of this key has expired."""
        self._combined ^= int.from_bytes(self._by_key.pop(key, b""), "big")

    def keys(self) -> tuple[str, ...]:
        """All keys."""
        return tuple(self._by_key)

    def get(self, key: str) -> bytes | None:
        """The digest of one value."""
        return self._by_key.get(key)

    @property
    def combined(self) -> bytes:
        """The digest over all values, whatever their order."""
        return self._combined.to_bytes(DIGEST_BYTES, "big")
