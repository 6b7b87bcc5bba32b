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
DRAIN_US = 3_000_000  # over this rates are smoothed
PRIOR_US = 1_000_000  # waiting after which a queue's own rate counts as much as its share of the fleet
BURST = 4.0  # quanta that a queue may save up while it asks for less than its share
LEAST = 0.05  # of its queue's rate: what a line of little worth counts on beside those that go first


@dataclass(slots=True, eq=False)
class Ticket:
    """A request at admission or let in, until its answer."""

    number: int
    job_class: int
    tenant: int
    name: str
    network: int
    fingerprint: int
    queue: "Queue"
    cost_us: float  # what it is thought to take; what it has been charged so far
    arrived_us: int
    queue_deadline_us: int  # it waits no longer than this
    admitted_us: int = 0  # 0: it waits at admission
    first_attempt_us: int = 0  # 0: no attempt of it is out yet
    started_us: int = 0  # 0: not that we know of
    returning: bool = False  # it has come back when it was told
    in_window: bool = False  # it takes one of the window's places


@dataclass(slots=True, eq=False)
class ClassQueue:
    """The requests of one class in a queue. What is of more worth goes first, so lines drain unalike."""

    queue: "Queue"
    job_class: int
    tickets: OrderedDict[int, Ticket] = field(default_factory=OrderedDict)
    work_us: float = 0.0  # of those that wait
    promised_us: float = 0.0  # of those told to come back
    return_share: float = 1.0  # how many of these do come back
    admitted_work_us: float = 0.0  # work let in, decayed
    removed_work_us: float = 0.0

    @property
    def work_ahead_us(self) -> float:
        """Work before a request that comes now: what waits, and what will come back before it."""
        return self.work_us + self.promised_us * self.return_share


@dataclass(slots=True, eq=False)
class Queue:
    """Requests that wait in one place: a tenant's, or those of the strangers whose hands meet here."""

    label: str
    weight: float = 1.0
    is_shared: bool = False
    class_queues: dict[int, ClassQueue] = field(default_factory=dict)  # by class
    returning: OrderedDict[int, Ticket] = field(default_factory=OrderedDict)  # who has come back when told
    returning_work_us: float = 0.0  # their work
    length: int = 0
    work_us: float = 0.0  # of those that wait
    deficit_us: float = 0.0  # what it may still have let in this round; below 0: a debt
    round: int = 0  # when that was last brought up to date
    settled_us: int = 0
    users: int = 0  # requests that wait here or were let in from here and have no answer yet
    promises: int = 0  # open ones
    served_us: float = 0.0  # work let in since the start

    admitted_work_us: float = 0.0  # work let in while something waited, decayed
    waited_us: float = 0.0  # the time that took, decayed alike
    at_us: int = 0

    @property
    def busy(self) -> bool:
        return self.users > 0 or self.promises > 0

    def advance(self, now: int) -> None:
        """Let the memory of rates fade, and time run if something waits."""
        passed = now - self.at_us
        self.at_us = now
        if passed <= 0:
            return
        fade = exp(-passed / DRAIN_US)
        self.admitted_work_us *= fade
        self.waited_us = self.waited_us * fade + passed * bool(self.length)
        for class_queue in self.class_queues.values():
            class_queue.admitted_work_us *= fade

    def rate(self, prior: float) -> float:
        """Work let in from here in a unit of time of waiting; leaning on the prior while that was short."""
        return (self.admitted_work_us + prior * PRIOR_US) / (self.waited_us + PRIOR_US)

    def part(self, job_class: int) -> float:
        """The part of what is let in from here that is this class's: all, where no other has work ahead."""
        others = sum(
            class_queue.admitted_work_us
            for class_queue in self.class_queues.values()
            if class_queue.job_class != job_class and class_queue.work_ahead_us
        )
        if not others:
            return 1.0
        tenant_limit = self.class_queue(job_class).admitted_work_us
        return max(LEAST, tenant_limit / (tenant_limit + others))

    def class_queue(self, job_class: int) -> ClassQueue:
        if (class_queue := self.class_queues.get(job_class)) is None:
            class_queue = self.class_queues[job_class] = ClassQueue(self, job_class)
        return class_queue

    def is_queued(self, job_class: int) -> bool:
        """Whether a request of this class waits here."""
        class_queue = self.class_queues.get(job_class)
        return class_queue is not None and len(class_queue.tickets) > 0

    @property
    def work_ahead_us(self) -> float:
        return sum(class_queue.work_ahead_us for class_queue in self.class_queues.values())


@dataclass(slots=True, eq=False)
class DeficitRoundRobin:
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
        if not queue.is_shared:
            return queue.weight
        if not self._known:
            return 1.0
        return self._known * self.newcomers / (1 - self.newcomers) / max(1, self._strange)

    def share(self, queue: Queue) -> float:
        """The part of what is let in that is this queue's while all that wait go on waiting."""
        known, strange = self._known, self._strange
        if queue not in self.active:
            known, strange = known + queue.weight * (not queue.is_shared), strange + queue.is_shared
        if not queue.is_shared:
            total = known / (1 - self.newcomers) if strange else known
            return queue.weight / total if total else 1.0
        return (self.newcomers if known else 1.0) / max(1, strange)

    def add(self, now: int, ticket: Ticket) -> None:
        """Put a request at the end of its line."""
        queue = ticket.queue
        if not queue.length:
            self._activate(now, queue)
        class_queue = queue.class_queue(ticket.job_class)
        queue.advance(now)
        class_queue.tickets[ticket.number] = ticket
        class_queue.work_us += ticket.cost_us
        if ticket.returning:
            queue.returning[ticket.number] = ticket
            queue.returning_work_us += ticket.cost_us
        queue.length, queue.work_us = queue.length + 1, queue.work_us + ticket.cost_us
        self.length += 1
        if queue not in self._spent[ticket.job_class]:
            self._ready[ticket.job_class].setdefault(queue)

    def remove(self, now: int, ticket: Ticket) -> None:
        """Take a request out: it goes in, or its time is up, or its client has left."""
        queue = ticket.queue
        class_queue = queue.class_queues[ticket.job_class]
        queue.advance(now)
        del class_queue.tickets[ticket.number]
        if queue.returning.pop(ticket.number, None):
            queue.returning_work_us = (
                max(0.0, queue.returning_work_us - ticket.cost_us) if queue.returning else 0.0
            )
        class_queue.removed_work_us += ticket.cost_us
        class_queue.work_us = max(0.0, class_queue.work_us - ticket.cost_us) if class_queue.tickets else 0.0
        queue.length, queue.work_us = queue.length - 1, max(0.0, queue.work_us - ticket.cost_us)
        self.length -= 1
        if not class_queue.tickets:
            self._ready[ticket.job_class].pop(queue, None)
            self._spent[ticket.job_class].pop(queue, None)
        if not queue.length:
            queue.work_us, queue.round, queue.settled_us = 0.0, self.number, now
            del self.active[queue]
            self._count(queue, -1)

    def take(
        self, now: int, is_open: Callable[[int], bool], is_roomy: Callable[[int], bool]
    ) -> Ticket | None:
        """The request whose turn it is, taken out and charged to its queue.

        ``is_open`` tells whether a class may go in within this round, ``is_roomy`` whether another round may
        begin for it.
        """
        while True:
            for job_class in self.order:
                if self._ready[job_class] and is_open(job_class) and (queue := self._next(job_class)):
                    ticket = self._head(queue, job_class, is_open)
                    queue.deficit_us -= ticket.cost_us
                    queue.admitted_work_us += ticket.cost_us
                    queue.class_queues[ticket.job_class].admitted_work_us += ticket.cost_us
                    queue.served_us += ticket.cost_us
                    self._ready[job_class].move_to_end(queue)
                    self.remove(now, ticket)
                    return ticket
            waiting = [q for c in self.order if self._spent[c] and is_roomy(c) for q in self._spent[c]]
            if not waiting:
                return None
            self._turn(waiting)

    @staticmethod
    def _head(queue: Queue, job_class: int, is_open: Callable[[int], bool]) -> Ticket:
        """What goes when it is a queue's turn for a class: its tenant's word is kept first, of whatever
        class.
        """
        returning = next(iter(queue.returning.values()), None)
        if returning and is_open(returning.job_class):
            return returning
        return next(iter(queue.class_queues[job_class].tickets.values()))

    def newest(self, queue: Queue) -> Ticket:
        """The request that came last to a queue, of its class of least worth."""
        job_class = next(c for c in reversed(self.order) if queue.is_queued(c))
        return next(reversed(queue.class_queues[job_class].tickets.values()))

    def longest(self) -> Queue:
        """The queue with the most work for its weight: who has to give way where there is no room."""
        return max(self.active, key=lambda q: q.work_us / self.weight(q))

    def reweigh(self, queue: Queue, weight: float) -> None:
        """Another weight from now on."""
        if queue in self.active and not queue.is_shared:
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
            # Saved up by a queue whose classes are closed; by the ones that idle, when they wait again.
            queue.deficit_us = min(BURST * quantum, queue.deficit_us + rounds * quantum)
        for job_class in self.order:
            ready, spent = self._ready[job_class], self._spent[job_class]
            for queue in [q for q in spent if q.deficit_us > 0]:
                del spent[queue]
                ready[queue] = None

    def _quantum(self, queue: Queue) -> float:
        return max(1e-3, self.quantum_us * self.weight(queue))

    def _activate(self, now: int, queue: Queue) -> None:
        """It waits again: rounds since are its credit, up to a burst, and with time pay its debt off."""
        self.active[queue] = None
        self._count(queue, 1)
        if queue.deficit_us < 0:
            queue.deficit_us *= exp(min(0, queue.settled_us - now) / FORGET_US)
        quantum = self._quantum(queue)
        passed = self.number - queue.round
        queue.deficit_us = min(BURST * quantum, queue.deficit_us + passed * quantum)
        queue.round = self.number

    def _count(self, queue: Queue, sign: int) -> None:
        if queue.is_shared:
            self._strange += sign
        else:
            self._known = max(0.0, self._known + sign * queue.weight) if len(self.active) > 0 else 0.0
