"""What refused callers were told: a bounded book of promises, and how true they turned out to be."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import chain

from robinhill.admission.queues import Line

MOST = 8_192
LAPSE_US = 2_000_000  # a caller so long behind its time has lost its place
EARLY = 0.75  # of the told time: who comes back after this part of it has kept to it
FACTOR = 2.0  # told over needed time is right within this
RETURNS_STEP = 1 / 32  # of the share of callers that come back, by line
PENDING = 256  # told times measured at once for each line


@dataclass(slots=True)
class Promise:
    """A caller may come back at ``due_us``; its work counts as if it stood in the queue until then."""

    mark: int
    tenant: int
    line: Line
    cost_us: float
    told_us: int  # when
    due_us: int


@dataclass(slots=True)
class _PendingPromise:
    """A told time under measurement: needed is the time until ``target_us`` of the line's work has gone."""

    told_us: int
    wait_us: int
    target_us: float


@dataclass(slots=True)
class Promises:
    """The book. A caller of a mark may hold several promises, the earliest first."""

    by_mark: dict[int, deque[Promise]] = field(default_factory=dict)
    length: int = 0
    right: int = 0  # told times within the factor of what was needed
    short: int = 0  # told too short a time by more than it
    long: int = 0
    _lapses: list[tuple[int, int, Promise]] = field(default_factory=list)
    _serial: int = 0
    _pending: dict[Line, deque[_PendingPromise]] = field(default_factory=dict)

    def make(self, now: int, mark: int, tenant: int, line: Line, cost_us: float, wait_us: int) -> None:
        """Note what a caller is told; without room the caller is told all the same, with no place kept."""
        if self.length >= MOST:
            return
        promise = Promise(mark, tenant, line, cost_us, now, now + wait_us)
        self.by_mark.setdefault(mark, deque()).append(promise)
        self.length += 1
        self._serial += 1
        line.promised_us += cost_us
        line.queue.promises += 1
        heappush(self._lapses, (promise.due_us + LAPSE_US, self._serial, promise))

    def held(self) -> Iterator[Promise]:
        """All that are open."""
        return chain.from_iterable(self.by_mark.values())

    def of(self, mark: int) -> Promise | None:
        """The promise of a caller that has come back: its earliest one."""
        held = self.by_mark.get(mark)
        return held[0] if held else None

    def is_due(self, now: int, promise: Promise) -> bool:
        return now >= promise.told_us + (promise.due_us - promise.told_us) * EARLY

    def keep(self, promise: Promise, *, came: bool = True) -> None:
        """The caller has come for it, or it has lapsed."""
        held = self.by_mark[promise.mark]
        held.remove(promise)
        if not held:
            del self.by_mark[promise.mark]
        self.length -= 1
        line = promise.line
        line.queue.promises -= 1
        line.promised_us = max(0.0, line.promised_us - promise.cost_us)
        if not came:
            line.gone_us += promise.cost_us * line.return_share
        line.return_share += (came - line.return_share) * RETURNS_STEP
        promise.cost_us = -1.0  # what is on the heap of it is void

    def lapse(self, now: int) -> None:
        """Forget what nobody came for."""
        while self._lapses and (self._lapses[0][2].cost_us < 0 or self._lapses[0][0] <= now):
            promise = heappop(self._lapses)[2]
            if promise.cost_us >= 0:
                self.keep(promise, came=False)
        if len(self._lapses) > 2 * MOST:
            self._lapses = [x for x in self._lapses if x[2].cost_us >= 0]
            heapify(self._lapses)

    @property
    def next_us(self) -> int | None:
        """When the next one lapses."""
        return self._lapses[0][0] if self._lapses else None

    # How true they were

    def measure(self, now: int, line: Line, wait_us: int, ahead_us: float) -> None:
        """A told time is to be compared with when so much of the work before it has gone."""
        pending = self._pending.setdefault(line, deque())
        if len(pending) < PENDING:
            pending.append(_PendingPromise(now, wait_us, line.gone_us + ahead_us))

    def drained(self, now: int, line: Line) -> None:
        """A line has come down: which told times' needs have come about."""
        pending = self._pending.get(line)
        if pending is None:
            return
        while pending and (line.gone_us >= pending[0].target_us or line.ahead_us <= 0):
            oldest = pending.popleft()
            self._judge(oldest.wait_us, now - oldest.told_us)
        if not pending:
            del self._pending[line]

    def _judge(self, told_us: int, needed_us: int) -> None:
        if told_us > FACTOR * max(1, needed_us):
            self.long += 1
        elif told_us * FACTOR < needed_us:
            self.short += 1
        else:
            self.right += 1
