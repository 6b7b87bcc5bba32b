"""Digests of a copy: one for each of 256 ranges by the hash of a record's name, updated with each change.

A range's digest is the sum, modulo 2**64, of the hashes of its records with stamp, end and value. So a change
costs one hash, the order of changes does not matter, and equal copies have equal digests. Two copies that
differ have equal digests of a range with probability 2**-64; this protects against loss, not against malice.
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
    """The range of a name: 0 to ``RANGES`` - 1, the same in every process."""
    return blake2b(f"{kind}\0{key}".encode(), digest_size=1).digest()[0]


def hash_of(record: Record) -> int:
    """The hash of a record, of 64 bits."""
    return int.from_bytes(blake2b(_encode(record), digest_size=8).digest(), "little")


class RangeSums:
    """The digests of all ranges."""

    def __init__(self) -> None:
        self._sums = [0] * RANGES

    def change(self, index: int, old_hash: int, new_hash: int) -> None:
        """In range ``index`` a record with ``old_hash`` was replaced by one with ``new_hash``; 0 for none."""
        self._sums[index] = (self._sums[index] - old_hash + new_hash) % _MODULUS

    def without(self, hashes: Iterable[tuple[int, int]]) -> tuple[int, ...]:
        """The digests as if the records of these ranges and hashes were not stored."""
        sums = self._sums.copy()
        for index, value in hashes:
            sums[index] = (sums[index] - value) % _MODULUS
        return tuple(sums)


def digest_of(ranges: Sequence[int]) -> bytes:
    """One digest of 16 bytes over all ranges."""
    return blake2b(_PACK.pack(*ranges), digest_size=16).digest()


def differing(ours: Sequence[int], theirs: Sequence[int]) -> list[int]:
    """The ranges in which two copies differ. Raises ForeignState if a peer has another number of ranges."""
    if len(theirs) != RANGES:
        raise ForeignState(f"a peer sent digests of {len(theirs)} ranges, here are {RANGES}")
    return [index for index, (our, their) in enumerate(zip(ours, theirs, strict=True)) if our != their]
