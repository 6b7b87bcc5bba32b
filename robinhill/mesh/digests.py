"""Digests of one scheduler's copy of the replicated records: one for each of 256 ranges of records.

A hash of the record's name assigns each record to a range. The digest of a range is the sum, modulo 2**64, of
hashes that cover the name, stamp, expiry time and value of its records. So a change costs one hash, the order
of changes does not matter, and equal copies have equal digests. Two copies that differ in a range have equal
digests of that range with probability 2**-64. The digests detect lost records; they do not protect against an
attacker.
"""

import struct
from collections.abc import Iterable, Sequence
from hashlib import blake2b

import msgspec

from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Record

RANGES = 256
_MODULUS = 2**64
_PACK = struct.Struct(f"<{RANGES}Q")
_encode = msgspec.msgpack.Encoder().encode


def range_of(kind: str, key: str) -> int:
    """Return the range of a record's name: 0 to ``RANGES`` - 1, the same in every process."""
    return blake2b(f"{kind}\0{key}".encode(), digest_size=1).digest()[0]


def hash_of(record: Record) -> int:
    """Return a 64-bit hash of a record with its stamp, expiry time and value."""
    return int.from_bytes(blake2b(_encode(record), digest_size=8).digest(), "little")


class RangeSums:
    """The digests of all ranges, as sums of record hashes that are updated with each change."""

    def __init__(self) -> None:
        self._sums = [0] * RANGES

    def change(self, index: int, old_hash: int, new_hash: int) -> None:
        """Replace a record's hash in range ``index``; 0 stands for no record before or after the change."""
        self._sums[index] = (self._sums[index] - old_hash + new_hash) % _MODULUS

    def without(self, hashes: Iterable[tuple[int, int]]) -> tuple[int, ...]:
        """Return the digests without the records in ``hashes``, each given by its range and hash."""
        sums = self._sums.copy()
        for index, value in hashes:
            sums[index] = (sums[index] - value) % _MODULUS
        return tuple(sums)


def digest_of(ranges: Sequence[int]) -> bytes:
    """Return one digest of 16 bytes over the digests of all ranges."""
    return blake2b(_PACK.pack(*ranges), digest_size=16).digest()


def differing_ranges(ours: Sequence[int], theirs: Sequence[int]) -> list[int]:
    """Return the ranges in which two copies differ.

    Raises ForeignState if the peer has another number of ranges.
    """
    if len(theirs) != RANGES:
        raise ForeignState(f"a peer sent digests of {len(theirs)} ranges, expected {RANGES}")
    return [index for index, (our, their) in enumerate(zip(ours, theirs, strict=True)) if our != their]
