"""Anti-entropy over one link: rounds that find which records the peer lacks, by digests of ranges.

One side opens rounds, the other answers. Each then has both vectors of digests and knows which ranges differ;
it writes the record versions of those, and finds by the peer's versions which records the peer lacks. What is
lacking is only listed here (``pending``); the session pushes it.
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

MAX_VERSIONS_PER_PART = 512  # parts are added to a frame until it has this many: some 20 kB
MAX_PARTS_PER_RANGE = 4096
ROUND_INTERVAL_US = 5_000_000  # from the end of a round to the next
RESEND_TIMEOUT_US = 300_000  # without a frame of the current round; doubled with each request
MAX_RESEND_TIMEOUT_US = 5_000_000
MAX_CLOCK_DIFFERENCE_US = 5_000_000  # of an opener, beyond which the answer's digests are of our own time
DIGEST_BYTES = 8


class DigestSource(Protocol):
    """What anti-entropy needs of the replica."""

    def ranges(self, now_us: int) -> Sequence[int]:
        """The digests of all ranges as of ``now_us`` (Unix time)."""
        ...

    def in_range(self, index: int) -> list[Record]:
        """The records of one range."""
        ...


class AntiEntropy:
    """The rounds of one link. ``opens``: whether this side opens them.

    ``rounds``: how many are complete; ``differing``: ranges that differed in the last one; ``pending``:
    records that the peer was found to lack, in order.
    """

    def __init__(self, store: DigestSource, opens: bool) -> None:
        self.store = store
        self.opens = opens
        self.rounds = 0
        self.differing = 0
        self.pending: dict[RecordName, None] = {}
        self._round = 0
        self._in_progress = False
        self._digests_received = False
        self._own_digests: Sequence[int] = ()
        self._differing: frozenset[int] = frozenset()
        self._to_send: list[RangeDigests | VersionsResendRequest] = []  # at most one of each
        self._ranges_to_send: list[int] = []
        self._parts_to_send: list[RangePart] = []
        self._awaited: set[int] = set()
        self._received_parts: dict[int, dict[int, RangePart]] = {}  # of ranges received in part
        self._due_us = 0
        self._timeout_us = RESEND_TIMEOUT_US

    @property
    def next_us(self) -> int | None:
        """When `tick` is due (monotonic); None: not before a frame is received."""
        return self._due_us if self._in_progress or self.opens else None

    def tick(self, now_us: int, mono_us: int) -> None:
        """Open a round if it is due, or request again what the current one still awaits."""
        if mono_us < self._due_us:
            return
        if self._awaited:
            self._to_send = [VersionsResendRequest(self._round, tuple(sorted(self._awaited)))]
            self._timeout_us = min(2 * self._timeout_us, MAX_RESEND_TIMEOUT_US)
            self._due_us = mono_us + self._timeout_us
        elif self.opens:
            self._begin(now_us, mono_us, self._round + 1)

    def resend_requested(self, frame: VersionsResendRequest) -> None:
        """The peer did not receive the versions of these ranges."""
        if frame.round == self._round:
            requested = {i for i in frame.indices if i in self._differing}
            self._ranges_to_send = sorted(requested | set(self._ranges_to_send))

    def digests_received(self, now_us: int, mono_us: int, frame: RangeDigests) -> None:
        """Compare the peer's digests with ours; the first frame of a round. Raises PeerRejected."""
        if len(frame.digests) != RANGES * DIGEST_BYTES or frame.answers is not self.opens:
            raise PeerRejected("digests of 256 ranges were awaited from the side that opens, or answers")
        if frame.answers:
            if frame.round != self._round or self._digests_received:
                return  # late or duplicated
        elif frame.round <= self._round:
            return
        else:
            clocks_agree = abs(frame.at_us - now_us) <= MAX_CLOCK_DIFFERENCE_US
            self._begin(frame.at_us if clocks_agree else now_us, mono_us, frame.round)
        differing = self._ranges_that_differ(frame.digests)
        self._digests_received = True
        self._differing, self.differing = frozenset(differing), len(differing)
        self._ranges_to_send, self._awaited = differing, set(differing)
        self._progress(mono_us)

    def versions_received(self, mono_us: int, frame: RecordVersions) -> None:
        """Note which records of the ranges in ``frame`` the peer lacks."""
        if not self._digests_received or frame.round != self._round:
            return
        for part in frame.parts:
            if part.index in self._awaited and 0 <= part.part < part.parts <= MAX_PARTS_PER_RANGE:
                self._add_part(part)
        self._progress(mono_us)

    def draw(self) -> RangeDigests | VersionsResendRequest | RecordVersions | None:
        """The next frame to write; None: nothing at the moment."""
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
        """Keep a part, and once its range is complete list what the peer lacks of it."""
        parts = self._received_parts.setdefault(part.index, {})
        parts[part.part] = part
        if len(parts) < part.parts:
            return
        theirs = {(kind, key): digest for one in parts.values() for kind, key, digest in one.versions}
        for record in self.store.in_range(part.index):
            if theirs.get(record.name) != record_digest(record):
                self.pending[record.name] = None
        del self._received_parts[part.index]
        self._awaited.discard(part.index)

    def _progress(self, mono_us: int) -> None:
        """A frame of the round was received: reset the timeout, or end the round if nothing is awaited."""
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
        """The versions of one range, in parts."""
        versions = [(*record.name, record_digest(record)) for record in self.store.in_range(index)]
        starts = range(0, max(1, len(versions)), MAX_VERSIONS_PER_PART)
        return [
            RangePart(index, number, len(starts), tuple(versions[start : start + MAX_VERSIONS_PER_PART]))
            for number, start in enumerate(starts)
        ]
