"""Digests of what a copy holds: of 256 ranges by the hash of a record's name, kept with each change.

A range's digest is the sum, modulo 2**64, of the hashes of its records with stamp, end and value. So a change
costs one hash, the order of changes leaves no trace, and equal copies have equal digests. Two copies that
differ have the same one by a chance of 2**-64 a range; this guards against loss, not against malice.
"""

import struct
from collections.abc import Iterable, Sequence
from hashlib import blake2b

import msgspec

from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Record

RANGES = 256
_SIZE = 2**64
_PACK = struct.Struct(f"<{RANGES}Q")
_encode = msgspec.msgpack.Encoder().encode


def range_of(kind: str, key: str) -> int:
    """The range of a name: 0 to ``RANGES`` - 1, the same in every process."""
    return blake2b(f"{kind}\0{key}".encode(), digest_size=1).digest()[0]


def hash_of(record: Record) -> int:
    return int.from_bytes(blake2b(_encode(record), digest_size=8).digest(), "little")


class Sums:
    """The digests of all ranges."""

    def __init__(self) -> None:
        self._sums = [0] * RANGES

    def change(self, index: int, away: int, come: int) -> None:
        """In range ``index`` a record with hash ``away`` gave way to one with hash ``come``; 0 for none."""
        self._sums[index] = (self._sums[index] - away + come) % _SIZE

    def without(self, hashes: Iterable[tuple[int, int]]) -> tuple[int, ...]:
        """The digests as if records of these ranges and hashes were not held."""
        sums = self._sums.copy()
        for index, value in hashes:
            sums[index] = (sums[index] - value) % _SIZE
        return tuple(sums)


def digest_of(ranges: Sequence[int]) -> bytes:
    """One digest of 16 bytes of all ranges."""
    return blake2b(_PACK.pack(*ranges), digest_size=16).digest()


def differing(ours: Sequence[int], theirs: Sequence[int]) -> list[int]:
    """The ranges in which two copies differ. Raises ForeignState where a peer counts its ranges otherwise."""
    if len(theirs) != RANGES:
        raise ForeignState(f"a peer told digests of {len(theirs)} ranges, here are {RANGES}")
    return [index for index, (our, their) in enumerate(zip(ours, theirs, strict=True)) if our != their]
