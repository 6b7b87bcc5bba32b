"""The waiting requests in their queues, and whose turn it is: deficit round robin by work, worth first.

After Shreedhar and Varghese, "Efficient fair queueing using deficit round robin" (1996). In a round each
waiting queue may have a quantum of work let in, in proportion to its weight. Of the queues that have some of
it left, those with a request of the most worth go first, in turns; who has used up its quantum waits for the
next round.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import ceil, exp

FORGET_US = 10_000_000  # a debt counts 1/e after this: a heavy job is not held against its tenant for ever
DRAIN_US = 3_000_000  # over this a queue's drain rate is smoothed


@dataclass(slots=True, eq=False)
class Ticket:
    """A request at the door or let in, until its answer."""

    number: int
    job_class: int
    tenant: int
    name: str
    network: int
    mark: int
    queue: "Queue"
    cost_us: float  # what it is thought to take; what it has been charged so far
    arrived_us: int
    until_us: int  # it waits no longer than this
    let_in_us: int = 0  # 0: it waits at the door
    placed_us: int = 0  # 0: no attempt of it is out yet
    began_us: int = 0  # 0: not that we know of


@dataclass(slots=True, eq=False)
class Queue:
    """Requests that wait in one place: a tenant's, or those of the strangers whose hands meet here."""

    label: str
    weight: float = 1.0
    strangers: bool = False
    lines: dict[int, OrderedDict[int, Ticket]] = field(default_factory=dict)  # by class
    length: int = 0
    work_us: float = 0.0  # of those that wait
    promised_us: float = 0.0  # of those told to come back
    deficit_us: float = 0.0  # what it may still have let in this round; below 0: a debt
    round: int = 0  # when that was last brought up to date
    settled_us: int = 0
    users: int = 0  # requests that wait here or were let in from here and have no answer yet
    drained_us: float = 0.0  # work let in while it waited, decayed
    waited_us: float = 0.0  # the time that took, decayed alike
    drained_at_us: int = 0
    served_us: float = 0.0  # work let in since the start: promises are measured against it

    @property
    def busy(self) -> bool:
        return self.users > 0 or self.promised_us > 0

    def advance(self, now: int) -> None:
        """Let the drain rate's memory fade, and time run if something waits."""
        passed = now - self.drained_at_us
        self.drained_at_us = now
        if passed > 0 and self.length:
            fade = exp(-passed / DRAIN_US)
            self.drained_us, self.waited_us = self.drained_us * fade, self.waited_us * fade + passed

    def drain_rate(self, prior: float, weigh_us: float) -> float:
        """Work let in from here in a time of waiting; leaning on what its weight would give it."""
        return (self.drained_us + prior * weigh_us) / (self.waited_us + weigh_us)


@dataclass(slots=True, eq=False)
class Rounds:
    """All queues in which something waits, and the order in which they are let in."""

    order: Sequence[int]  # classes, the most worth first
    newcomers: float  # strangers' share of a round together, while others wait
    quantum_us: float = 1.0
    number: int = 1
    length: int = 0
    active: OrderedDict[Queue, None] = field(default_factory=OrderedDict)
    _ready: dict[int, OrderedDict[Queue, None]] = field(default_factory=dict)
    _spent: dict[int, OrderedDict[Queue, None]] = field(default_factory=dict)
    _strange: int = 0  # active queues of strangers
    _known: float = 0.0  # weight of the others

    def __post_init__(self) -> None:
        for job_class in self.order:
            self._ready[job_class] = OrderedDict()
            self._spent[job_class] = OrderedDict()

    def weight(self, queue: Queue) -> float:
        """Quanta that a queue gets a round. Strangers' queues share theirs."""
        if not queue.strangers:
            return queue.weight
        if not self._known:
            return 1.0
        return self._known * self.newcomers / (1 - self.newcomers) / max(1, self._strange)

    def share(self, queue: Queue) -> float:
        """The part of what is let in that is this queue's while all that wait go on waiting."""
        known, strange = self._known, self._strange
        if queue not in self.active:
            known, strange = known + queue.weight * (not queue.strangers), strange + queue.strangers
        if not queue.strangers:
            total = known / (1 - self.newcomers) if strange else known
            return queue.weight / total if total else 1.0
        return (self.newcomers if known else 1.0) / max(1, strange)

    def add(self, now: int, ticket: Ticket, *, ahead: bool = False) -> None:
        """Put a request at the end of its line; or at its head, if it was there before."""
        queue = ticket.queue
        if not queue.length:
            self._activate(now, queue)
        line = queue.lines.get(ticket.job_class)
        if line is None:
            line = queue.lines[ticket.job_class] = OrderedDict()
        line[ticket.number] = ticket
        if ahead:
            line.move_to_end(ticket.number, last=False)
        queue.length, queue.work_us = queue.length + 1, queue.work_us + ticket.cost_us
        self.length += 1
        if queue not in self._spent[ticket.job_class]:
            self._ready[ticket.job_class].setdefault(queue)

    def remove(self, now: int, ticket: Ticket) -> None:
        """Take a request out: it goes in, or its time is up, or its client has left."""
        queue = ticket.queue
        line = queue.lines[ticket.job_class]
        del line[ticket.number]
        queue.advance(now)
        queue.length, queue.work_us = queue.length - 1, max(0.0, queue.work_us - ticket.cost_us)
        self.length -= 1
        if not line:
            del queue.lines[ticket.job_class]
            self._ready[ticket.job_class].pop(queue, None)
            self._spent[ticket.job_class].pop(queue, None)
        if not queue.length:
            queue.work_us, queue.round, queue.settled_us = 0.0, self.number, now
            del self.active[queue]
            self._count(queue, -1)

    def take(self, now: int, is_open: Callable[[int], bool]) -> Ticket | None:
        """The request whose turn it is among the classes that are open, taken out and charged to its
        queue.
        """
        while True:
            for job_class in self.order:
                if self._ready[job_class] and is_open(job_class) and (queue := self._next(job_class)):
                    ticket = next(iter(queue.lines[job_class].values()))
                    queue.deficit_us -= ticket.cost_us
                    queue.drained_us += ticket.cost_us
                    queue.served_us += ticket.cost_us
                    self._ready[job_class].move_to_end(queue)
                    self.remove(now, ticket)
                    return ticket
            waiting = [q for c in self.order if self._spent[c] and is_open(c) for q in self._spent[c]]
            if not waiting:
                return None
            self._turn(waiting)

    def newest(self, queue: Queue) -> Ticket:
        """The request that came last to a queue, of its class of least worth."""
        job_class = next(c for c in reversed(self.order) if c in queue.lines)
        return next(reversed(queue.lines[job_class].values()))

    def longest(self) -> Queue:
        """The queue with the most work for its weight: who has to give way where there is no room."""
        return max(self.active, key=lambda q: q.work_us / self.weight(q))

    def reweigh(self, queue: Queue, weight: float) -> None:
        """Another weight from now on."""
        if queue in self.active and not queue.strangers:
            self._known += weight - queue.weight
        queue.weight = weight

    def _next(self, job_class: int) -> Queue | None:
        ready = self._ready[job_class]
        while ready:
            queue = next(iter(ready))
            if queue.deficit_us > 0:
                return queue
            del ready[queue]
            self._spent[job_class][queue] = None
        return None

    def _turn(self, waiting: list[Queue]) -> None:
        """Begin the next round; or as many at once as the least indebted of those that could go needs."""
        rounds = max(1, min(ceil(-q.deficit_us / self._quantum(q) + 1e-9) for q in waiting))
        self.number += rounds
        for queue in self.active:
            quantum = self._quantum(queue)
            # No credit is saved up: not by a queue whose classes are closed, nor by one that idles.
            queue.deficit_us = min(quantum, queue.deficit_us + rounds * quantum)
        for job_class in self.order:
            ready, spent = self._ready[job_class], self._spent[job_class]
            for queue in [q for q in spent if q.deficit_us > 0]:
                del spent[queue]
                ready[queue] = None

    def _quantum(self, queue: Queue) -> float:
        return max(1e-3, self.quantum_us * self.weight(queue))

    def _activate(self, now: int, queue: Queue) -> None:
        """It waits again: rounds and time since have paid its debt off, as far as they go."""
        queue.advance(now)
        self.active[queue] = None
        self._count(queue, 1)
        if queue.deficit_us < 0:
            queue.deficit_us *= exp(min(0, queue.settled_us - now) / FORGET_US)
        quantum = self._quantum(queue)
        passed = self.number - queue.round
        queue.deficit_us = min(quantum, queue.deficit_us + passed * quantum)
        queue.round = self.number

    def _count(self, queue: Queue, sign: int) -> None:
        if queue.strangers:
            self._strange += sign
        else:
            self._known = max(0.0, self._known + sign * queue.weight) if len(self.active) > 0 else 0.0
