"""Finding out what the other side of a link lacks: rounds of range digests, then heads of what differs.

One side opens rounds, the other answers. Both see both vectors of digests, so both know which ranges differ
without a further word; each then writes the heads of those, and finds by the other's what that one lacks.
"""

from collections.abc import Sequence
from typing import Protocol

from robinhill.mesh.frames import RANGES, Heads, Ranges, Redo, check
from robinhill.mesh.words import PeerRefused, Record

HEADS = 512  # in a frame: some 20 kB
REPAIR_US = 5_000_000  # from a round's end to the next: two kilobytes each way
PATIENCE_US = 300_000  # without a frame of a round that is on; doubled each time, as it may just be long
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
        self._writing: list[Heads] = []
        self._awaited: set[int] = set()
        self._parts: dict[int, dict[int, Heads]] = {}  # of ranges that have come in part
        self._on = False
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
        """Open a round if it is time; ask for another if the one that is on has got stuck."""
        if mono_us < self._due_us or (self._on and (self._to_write or self._writing)):
            return
        if self._on:
            self._patience_us = min(2 * self._patience_us, MAX_PATIENCE_US)
        if self.opens:
            self._begin(now_us, mono_us, self._round + 1)
        elif self._on:
            self._out = [Redo(self._round)]
            self._due_us = mono_us + self._patience_us

    def _begin(self, at_us: int, mono_us: int, number: int) -> None:
        self._round, self._on = number, True
        self._mine = tuple(self.store.ranges(at_us))
        digests = b"".join(value.to_bytes(8, "big") for value in self._mine)
        self._out = [Ranges(number, at_us, not self.opens, digests)]
        self._to_write, self._writing, self._parts, self._awaited = [], [], {}, set()
        self._due_us = mono_us + self._patience_us

    def redo(self, now_us: int, mono_us: int, frame: Redo) -> None:
        if self.opens and frame.round == self._round:
            self._begin(now_us, mono_us, self._round + 1)

    def ranges(self, now_us: int, mono_us: int, frame: Ranges) -> None:
        if len(frame.digests) != RANGES * 8 or frame.answers is not self.opens:
            raise PeerRefused("digests of 256 ranges were awaited from the side that opens, or answers")
        if frame.answers:
            if frame.round != self._round or self._awaited or not self._on:
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
        self._to_write, self._awaited, self.differing = differ, set(differ), len(differ)
        self._moved(mono_us)

    def heads(self, mono_us: int, frame: Heads) -> None:
        if not self._on or frame.round != self._round or frame.index not in self._awaited:
            return
        parts = self._parts.setdefault(frame.index, {})
        parts[frame.part] = frame
        if len(parts) < frame.parts:
            self._due_us = mono_us + self._patience_us
            return
        theirs = {(kind, key): digest for part in parts.values() for kind, key, digest in part.heads}
        for record in self.store.in_range(frame.index):
            if theirs.get(record.name) != check(record):
                self.owed[record.name] = None
        del self._parts[frame.index]
        self._awaited.discard(frame.index)
        self._moved(mono_us)

    def _moved(self, mono_us: int) -> None:
        if self._awaited:
            self._due_us = mono_us + self._patience_us
            return
        self._on, self._patience_us = False, PATIENCE_US
        self.rounds += 1
        self._due_us = mono_us + REPAIR_US

    def draw(self) -> Ranges | Redo | Heads | None:
        """The next frame to write."""
        if self._out:
            return self._out.pop()
        if not self._writing:
            if not self._to_write:
                return None
            index = self._to_write.pop()
            heads = [(*r.name, check(r)) for r in self.store.in_range(index)]
            starts = range(0, max(1, len(heads)), HEADS)
            self._writing = [
                Heads(self._round, index, part, len(starts), tuple(heads[start : start + HEADS]))
                for part, start in enumerate(starts)
            ]
        return self._writing.pop()
