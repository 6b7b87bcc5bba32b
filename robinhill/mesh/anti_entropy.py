"""Finding out what the other side of a link lacks: rounds of range digests, then heads of what differs.

One side opens rounds, the other answers. Both see both vectors of digests, so both know which ranges differ
without a further word; each then writes the heads of those, and finds by the other's what that one lacks.
"""

from collections.abc import Sequence
from typing import Protocol

from robinhill.mesh.errors import PeerRefused
from robinhill.mesh.frames import RANGES, Heads, Part, Ranges, Redo, check
from robinhill.mesh.records import Record

HEADS = 512  # in a frame, or little more: some 20 kB
MAX_PARTS = 4096  # of one range
REPAIR_US = 5_000_000  # from a round's end to the next: two kilobytes each way
PATIENCE_US = 300_000  # without a frame of a round that is on; doubled each time, as the way may be long
MAX_PATIENCE_US = 5_000_000
CLOCKS_DIFFER_US = 5_000_000  # an opener whose clock is further off is answered by ours, and differs

Name = tuple[str, str]


class Ranged(Protocol):
    """What a comparison needs of the replica."""

    def ranges(self, now_us: int) -> Sequence[int]: ...

    def in_range(self, index: int) -> list[Record]: ...


class Comparison:
    """The rounds of one link."""

    def __init__(self, store: Ranged, opens: bool) -> None:
        self.store = store
        self.opens = opens
        self.rounds = 0  # that are over
        self.differing = 0  # ranges that differed in the last one
        self.owed: dict[Name, None] = {}  # what the other side was found to lack
        self._round = 0
        self._mine: Sequence[int] = ()
        self._out: list[Ranges | Redo] = []  # at most one of each
        self._to_write: list[int] = []  # ranges whose heads the other side waits for
        self._writing: list[Part] = []
        self._awaited: set[int] = set()
        self._parts: dict[int, dict[int, Part]] = {}  # of ranges that have come in part
        self._differ: frozenset[int] = frozenset()
        self._on = False
        self._both = False  # both vectors of the round are here
        self._due_us = 0
        self._patience_us = PATIENCE_US

    @property
    def busy(self) -> bool:
        """Whether there is something to write now."""
        return bool(self._out or self._to_write or self._writing)

    @property
    def next_us(self) -> int | None:
        """When `tick` is due (monotonic); None: not before a frame comes."""
        return self._due_us if self._on or self.opens else None

    def tick(self, now_us: int, mono_us: int) -> None:
        """Open a round if it is time; ask again for what has not come of the one that is on."""
        if mono_us < self._due_us:
            return
        if self._awaited:
            self._out = [Redo(self._round, tuple(sorted(self._awaited)))]
            self._patience_us = min(2 * self._patience_us, MAX_PATIENCE_US)
            self._due_us = mono_us + self._patience_us
        elif self.opens:
            self._begin(now_us, mono_us, self._round + 1)

    def _begin(self, at_us: int, mono_us: int, number: int) -> None:
        self._round, self._on, self._both = number, True, False
        self._mine = tuple(self.store.ranges(at_us))
        digests = b"".join(value.to_bytes(8, "big") for value in self._mine)
        self._out = [Ranges(number, at_us, not self.opens, digests)]
        self._to_write, self._writing, self._parts = [], [], {}
        self._differ, self._awaited = frozenset(), set()
        self._due_us = mono_us + self._patience_us

    def redo(self, frame: Redo) -> None:
        if frame.round == self._round:
            self._to_write = sorted({i for i in frame.indices if i in self._differ} | set(self._to_write))

    def ranges(self, now_us: int, mono_us: int, frame: Ranges) -> None:
        if len(frame.digests) != RANGES * 8 or frame.answers is not self.opens:
            raise PeerRefused("digests of 256 ranges were awaited from the side that opens, or answers")
        if frame.answers:
            if frame.round != self._round or self._both:
                return  # late, or doubled
        elif frame.round <= self._round:
            return
        else:
            near = abs(frame.at_us - now_us) <= CLOCKS_DIFFER_US
            self._begin(frame.at_us if near else now_us, mono_us, frame.round)
        digests = frame.digests
        differ = [
            i for i in range(RANGES) if int.from_bytes(digests[8 * i : 8 * i + 8], "big") != self._mine[i]
        ]
        self._both, self._differ, self.differing = True, frozenset(differ), len(differ)
        self._to_write, self._awaited = differ, set(differ)
        self._moved(mono_us)

    def heads(self, mono_us: int, frame: Heads) -> None:
        if not self._both or frame.round != self._round:
            return
        for part in frame.parts:
            if part.index in self._awaited and 0 <= part.part < part.parts <= MAX_PARTS:
                self._part(part)
        self._moved(mono_us)

    def _part(self, part: Part) -> None:
        parts = self._parts.setdefault(part.index, {})
        parts[part.part] = part
        if len(parts) < part.parts:
            return
        theirs = {(kind, key): digest for one in parts.values() for kind, key, digest in one.heads}
        for record in self.store.in_range(part.index):
            if theirs.get(record.name) != check(record):
                self.owed[record.name] = None
        del self._parts[part.index]
        self._awaited.discard(part.index)

    def _moved(self, mono_us: int) -> None:
        if not self._on:
            return
        self._patience_us = PATIENCE_US
        if self._awaited:
            self._due_us = mono_us + self._patience_us
            return
        self._on = False
        self.rounds += 1
        self._due_us = mono_us + REPAIR_US

    def draw(self) -> Ranges | Redo | Heads | None:
        """The next frame to write."""
        if self._out:
            return self._out.pop()
        written: list[Part] = []
        size = 0
        while size < HEADS and (self._writing or self._to_write):
            if not self._writing:
                index = self._to_write.pop()
                heads = [(*r.name, check(r)) for r in self.store.in_range(index)]
                starts = range(0, max(1, len(heads)), HEADS)
                self._writing = [
                    Part(index, number, len(starts), tuple(heads[start : start + HEADS]))
                    for number, start in enumerate(starts)
                ]
            written.append(self._writing.pop())
            size += 1 + len(written[-1].heads)
        return Heads(self._round, tuple(written)) if written else None
