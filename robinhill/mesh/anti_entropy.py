"""Anti-entropy over one link: rounds that compare digests of ranges to find which records the peer lacks.

A range is a subset of the records, selected by a hash of the record's name. The *version* of a record is its
kind, its key and a digest of the whole record.

One side opens each round with the digests of its ranges, and the other side answers with the digests of its
own ranges. Each side then knows which ranges differ, sends the versions of its records in those ranges, and
compares the versions that it receives with its own records to find which records the peer lacks. This module
only lists those records (``pending``); the session pushes them.
"""

from collections.abc import Sequence
from typing import Protocol

from robinhill.mesh.errors import PeerRejected
from robinhill.mesh.frames import (
    RANGES,
    RangeDigests,
    RangePart,
    RecordVersions,
    VersionsResendRequest,
    record_digest,
)
from robinhill.mesh.records import Record, RecordName

MAX_VERSIONS_PER_PART = 512  # no further part is added to a frame that has this many versions, some 20 kB
MAX_PARTS_PER_RANGE = 4096
ROUND_INTERVAL_US = 5_000_000  # from the end of a round to the start of the next round
RESEND_TIMEOUT_US = 300_000  # time without a frame of the current round; doubled with each resend request
MAX_RESEND_TIMEOUT_US = 5_000_000
MAX_CLOCK_DIFFERENCE_US = 5_000_000  # if the opener's clock differs by more, we answer as of our own time
DIGEST_BYTES = 8


class DigestSource(Protocol):
    """The part of the replica's interface that anti-entropy uses."""

    def ranges(self, now_us: int) -> Sequence[int]:
        """Return the digests of all ranges as of ``now_us`` (Unix time)."""
        ...

    def in_range(self, index: int) -> list[Record]:
        """Return the records of one range."""
        ...


class AntiEntropy:
    """The anti-entropy rounds of one link. ``opens``: whether this side opens the rounds.

    ``rounds``: the number of completed rounds. ``differing_count``: the number of ranges that differed in the
    last comparison of digests, 0 before the first one. ``pending``: names of the records that the peer was
    found to lack, in the order in which the rounds found them.
    """

    def __init__(self, store: DigestSource, opens: bool) -> None:
        self.store = store
        self.opens = opens
        self.rounds = 0
        self.differing_count = 0
        self.pending: dict[RecordName, None] = {}
        self._round = 0
        self._in_progress = False
        self._digests_received = False
        self._own_digests: Sequence[int] = ()
        self._differing: frozenset[int] = frozenset()
        self._to_send: list[RangeDigests | VersionsResendRequest] = []  # at most one frame of each type
        self._ranges_to_send: list[int] = []
        self._parts_to_send: list[RangePart] = []
        self._awaited: set[int] = set()  # ranges whose versions have not been received completely
        # The parts received of ranges that are not complete yet, by range and index of the part.
        self._received_parts: dict[int, dict[int, RangePart]] = {}
        self._due_us = 0  # monotonic time when `tick` has work to do
        self._timeout_us = RESEND_TIMEOUT_US

    @property
    def next_us(self) -> int | None:
        """The monotonic time when `tick` is due; None if it is not due before the next frame is received."""
        return self._due_us if self._in_progress or self.opens else None

    def tick(self, now_us: int, mono_us: int) -> None:
        """Open a round if one is due, or request again the versions that the current round still lacks."""
        if mono_us < self._due_us:
            return
        if self._awaited:
            self._to_send = [VersionsResendRequest(self._round, tuple(sorted(self._awaited)))]
            self._timeout_us = min(2 * self._timeout_us, MAX_RESEND_TIMEOUT_US)
            self._due_us = mono_us + self._timeout_us
        elif self.opens:
            self._begin(now_us, mono_us, self._round + 1)

    def resend_requested(self, frame: VersionsResendRequest) -> None:
        """Schedule the versions of the requested ranges to be sent again; the peer did not receive them."""
        if frame.round == self._round:
            requested = {i for i in frame.indices if i in self._differing}
            self._ranges_to_send = sorted(requested | set(self._ranges_to_send))

    def digests_received(self, now_us: int, mono_us: int, frame: RangeDigests) -> None:
        """Compare the peer's digests with ours. Digests are the first frame of a round in each direction.

        Digests of an earlier round and repeated digests are ignored. Raises PeerRejected if the frame is
        malformed, or if both sides open rounds or both answer.
        """
        if len(frame.digests) != RANGES * DIGEST_BYTES or frame.answers is not self.opens:
            raise PeerRejected(
                "range digests are malformed: they don't have 8 bytes for each of 256 ranges, or both sides"
                " open rounds, or both answer"
            )
        if frame.answers:
            if frame.round != self._round or self._digests_received:
                return  # an answer to an earlier round, or a duplicate of the answer to this round
        elif frame.round <= self._round:
            return
        else:
            clocks_agree = abs(frame.at_us - now_us) <= MAX_CLOCK_DIFFERENCE_US
            self._begin(frame.at_us if clocks_agree else now_us, mono_us, frame.round)
        differing = self._ranges_that_differ(frame.digests)
        self._digests_received = True
        self._differing, self.differing_count = frozenset(differing), len(differing)
        self._ranges_to_send, self._awaited = differing, set(differing)
        self._progress(mono_us)

    def versions_received(self, mono_us: int, frame: RecordVersions) -> None:
        """Store the versions in ``frame``, and add the records that the peer lacks to ``pending``.

        The records of a range are added once all parts of the range are received. Frames of other rounds are
        ignored.
        """
        if not self._digests_received or frame.round != self._round:
            return
        for part in frame.parts:
            if part.index in self._awaited and 0 <= part.part < part.parts <= MAX_PARTS_PER_RANGE:
                self._add_part(part)
        self._progress(mono_us)

    def draw(self) -> RangeDigests | VersionsResendRequest | RecordVersions | None:
        """Return the next frame to write; None if there is nothing to write at the moment."""
        if self._to_send:
            return self._to_send.pop()
        parts: list[RangePart] = []
        size = 0
        while size < MAX_VERSIONS_PER_PART and (self._parts_to_send or self._ranges_to_send):
            if not self._parts_to_send:
                self._parts_to_send = self._split(self._ranges_to_send.pop())
            parts.append(self._parts_to_send.pop())
            size += 1 + len(parts[-1].versions)
        return RecordVersions(self._round, tuple(parts)) if parts else None

    def _begin(self, at_us: int, mono_us: int, number: int) -> None:
        self._round, self._in_progress, self._digests_received = number, True, False
        self._own_digests = tuple(self.store.ranges(at_us))
        digests = b"".join(value.to_bytes(DIGEST_BYTES, "big") for value in self._own_digests)
        self._to_send = [RangeDigests(number, at_us, not self.opens, digests)]
        self._ranges_to_send, self._parts_to_send, self._received_parts = [], [], {}
        self._differing, self._awaited = frozenset(), set()
        self._due_us = mono_us + self._timeout_us

    def _ranges_that_differ(self, digests: bytes) -> list[int]:
        theirs = (digests[at : at + DIGEST_BYTES] for at in range(0, len(digests), DIGEST_BYTES))
        return [i for i, their in enumerate(theirs) if int.from_bytes(their, "big") != self._own_digests[i]]

    def _add_part(self, part: RangePart) -> None:
        """Store a part. If its range is complete, add the records that the peer lacks to ``pending``.

        The peer lacks a record if it has no version of the record or a different one.
        """
        parts = self._received_parts.setdefault(part.index, {})
        parts[part.part] = part
        if len(parts) < part.parts:
            return
        theirs = {(kind, key): digest for part in parts.values() for kind, key, digest in part.versions}
        for record in self.store.in_range(part.index):
            if theirs.get(record.name) != record_digest(record):
                self.pending[record.name] = None
        del self._received_parts[part.index]
        self._awaited.discard(part.index)

    def _progress(self, mono_us: int) -> None:
        """Reset the resend timeout after a frame of the round; end the round if no versions are awaited."""
        if not self._in_progress:
            return
        self._timeout_us = RESEND_TIMEOUT_US
        if self._awaited:
            self._due_us = mono_us + self._timeout_us
            return
        self._in_progress = False
        self.rounds += 1
        self._due_us = mono_us + ROUND_INTERVAL_US

    def _split(self, index: int) -> list[RangePart]:
        """Return the versions of our records in one range, split into parts."""
        versions = [(*record.name, record_digest(record)) for record in self.store.in_range(index)]
        starts = range(0, max(1, len(versions)), MAX_VERSIONS_PER_PART)
        return [
            RangePart(index, number, len(starts), tuple(versions[start : start + MAX_VERSIONS_PER_PART]))
            for number, start in enumerate(starts)
        ]
