"""Acknowledgements: one record for each scheduler, with its incarnation and the changes that it has applied.

Only the scheduler itself writes its record. Two versions merge to the one with the larger incarnation, or
within one incarnation to the one with the larger sequence number.
"""

import hashlib
from collections.abc import Iterable

import msgspec

from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Kind

KIND_NAME = "notice"
VERSION = 1
LIFETIME_US = 7 * 86_400_000_000  # longer than the repair of a scheduler's host takes
REWRITE_INTERVAL_US = 86_400_000_000  # an unchanged acknowledgement is written again after this time
MAX_ACKNOWLEDGEMENTS = 4_096  # one for each scheduler, including names that are no longer configured
MAX_RECENT_CHANGES = 8  # changes listed one by one; all others are covered by one digest over all of them
DIGEST_BYTES = 8
MAX_BYTES = 4_096  # a longer encoded acknowledgement is rejected


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """The state that one scheduler, the writer, has applied.

    ``sequence`` counts the writer's acknowledgements in this incarnation. ``mode`` and ``bound_us``: its
    settings ``on_lost`` and ``bound_ms``. ``caught_up``: whether the writer counted towards majorities when
    it wrote the acknowledgement. ``serving``: whether it accepts clients. ``left``: whether this is the
    writer's last acknowledgement, written at shutdown after its last job was sent. ``names_digest``: digest
    of its list of schedulers. ``applied_digest``: digest of all cordons that its dispatcher has applied; the
    dispatcher sends nothing more to the workers that these cordons cover. ``recent_digests``: target and
    digest of each of the most recently changed cordons; empty while the dispatcher has not applied all
    changes. ``incarnations``: name and incarnation of the other schedulers that most recently started, as far
    as the writer knows. Both tuples have at most `MAX_RECENT_CHANGES` entries.
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
    """Return the later of two acknowledgements of a scheduler.

    Two different acknowledgements with the same sequence number come from two processes with one name, or one
    of the two is damaged. Comparing their encoded values makes every scheduler retain the same one.
    """
    return max(one, other, key=lambda each: (each.incarnation, each.sequence, encode(each)))


def encode(acknowledgement: Acknowledgement) -> bytes:
    """Encode an acknowledgement as the value of a record."""
    return _encoder.encode(acknowledgement)


def decode(data: bytes) -> Acknowledgement:
    """Decode an acknowledgement. Raises ForeignState if it is malformed or has another version."""
    try:
        acknowledgement = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as e:
        raise ForeignState(f"an acknowledgement can't be decoded: {e}") from e
    version, in_bounds = acknowledgement.version, len(data) <= MAX_BYTES
    if version != VERSION or not in_bounds or acknowledgement.incarnation < 0 or acknowledgement.sequence < 0:
        raise ForeignState(
            f"an acknowledgement of version {version} is rejected: the version is not supported, the value is"
            " too long, or its incarnation or sequence number is negative"
        )
    return acknowledgement


def acknowledgement_kind() -> Kind[Acknowledgement]:
    """Return the kind of acknowledgement records, whose keys are the names of schedulers.

    The records written longest ago are evicted first.
    """
    return Kind(
        KIND_NAME, encode, decode, merge, LIFETIME_US, MAX_ACKNOWLEDGEMENTS,
        evict=lambda record: (record.stamp.wall_us, record.key),
    )  # fmt: skip


def digest(*parts: bytes) -> bytes:
    """Return a digest over ``parts``, each preceded by its length."""
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hashed.update(len(part).to_bytes(4, "big") + part)
    return hashed.digest()


def list_digest(names: Iterable[str]) -> bytes:
    """Return a digest of the configured names, by which schedulers with different lists are detected."""
    return digest(*(name.encode() for name in sorted(names)))


class AppliedDigests:
    """The digest of each applied value, by key, and one digest over all values, updated with each change."""

    def __init__(self) -> None:
        self._by_key: dict[str, bytes] = {}
        self._combined = 0

    def put(self, key: str, value: bytes) -> bytes:
        """Store the digest of a value that was applied, and return it."""
        new = digest(key.encode(), value)
        self._combined ^= int.from_bytes(new, "big") ^ int.from_bytes(self._by_key.get(key, b""), "big")
        self._by_key[key] = new
        return new

    def drop(self, key: str) -> None:
        """Remove the digest of an expired record; unknown keys are ignored."""
        self._combined ^= int.from_bytes(self._by_key.pop(key, b""), "big")

    def keys(self) -> tuple[str, ...]:
        """Return the keys of all applied values."""
        return tuple(self._by_key)

    def get(self, key: str) -> bytes | None:
        """Return the digest of the value of ``key``; None if there is none."""
        return self._by_key.get(key)

    @property
    def combined(self) -> bytes:
        """The digest over all values; it does not depend on the order in which they were applied."""
        return self._combined.to_bytes(DIGEST_BYTES, "big")
