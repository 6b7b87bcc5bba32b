"""The queued requests and whose turn it is: deficit round robin by work, classes by priority weight.

After Shreedhar and Varghese, "Efficient fair queueing using deficit round robin" (1996). In each round
a queue may have a quantum of work admitted, in proportion to its weight. Of the queues with quantum left,
those with a request of the highest priority weight go first, in turns; a queue that has used up its quantum
waits for the next round.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import ceil, exp

DEBT_DECAY_US = 10_000_000  # after which a debt counts 1/e
RATE_SMOOTHING_US = 3_000_000
RATE_PRIOR_US = 1_000_000  # queueing time after which a queue's own rate counts as much as its quota
MAX_SAVED_QUANTA = 4.0
MIN_CLASS_RATE_SHARE = 0.05  # of its queue's rate, for a class behind others of more priority weight


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that is queued or admitted, until its answer."""

    number: int
    job_class: int
    tenant: int
    name: str
    network: int
    fingerprint: int
    queue: "Queue"
    cost_us: float  # the estimate, corrected to what it has taken so far
    arrived_us: int
    queue_deadline_us: int  # it is queued no longer than this
    admitted_us: int = 0  # 0: it is queued
    first_attempt_us: int = 0  # 0: it has had no attempt
    started_us: int = 0  # 0: not that is known
    returning: bool = False  # its client came back at the time of its Retry-After
    in_window: bool = False  # it takes one of the window's slots


@dataclass(slots=True, eq=False)
class ClassQueue:
    """The requests of one class in a queue. Classes of more priority weight go first, so rates differ."""

    queue: "Queue"
    job_class: int
    tickets: OrderedDict[int, Ticket] = field(default_factory=OrderedDict)
    work_us: float = 0.0  # of the queued requests
    promised_us: float = 0.0  # work of clients that are to come back
    return_share: float = 1.0  # the part of them that does come back
    admitted_work_us: float = 0.0  # decayed
    removed_work_us: float = 0.0  # admitted or dropped since the start

    @property
    def work_ahead_us(self) -> float:
        """Work ahead of a request that arrives now: what is queued, and what will come back before it."""
        return self.work_us + self.promised_us * self.return_share


@dataclass(slots=True, eq=False)
class Queue:
    """A queue of one tenant, or a shared one of tenants without an account, by class."""

    label: str
    weight: float = 1.0
    is_shared: bool = False
    class_queues: dict[int, ClassQueue] = field(default_factory=dict)  # by class
    returning: OrderedDict[int, Ticket] = field(default_factory=OrderedDict)  # clients that came back in time
    returning_work_us: float = 0.0
    length: int = 0
    work_us: float = 0.0  # of the queued requests
    deficit_us: float = 0.0  # work that it may still have admitted in this round; below 0: a debt
    round: int = 0  # when the deficit was last updated
    settled_us: int = 0
    users: int = 0  # requests queued here, or admitted from here and without an answer
    promises: int = 0  # open ones
    served_us: float = 0.0  # work admitted since the start

    admitted_work_us: float = 0.0  # admitted while requests were queued, decayed
    waited_us: float = 0.0  # the time of that, decayed alike
    at_us: int = 0

    @property
    def busy(self) -> bool:
        """Whether requests or promises refer to this queue."""
        return self.users > 0 or self.promises > 0

    def advance(self, now: int) -> None:
        """Decay the rates, and count time if requests are queued."""
        passed = now - self.at_us
        self.at_us = now
        if passed <= 0:
            return
        decay = exp(-passed / RATE_SMOOTHING_US)
        self.admitted_work_us *= decay
        self.waited_us = self.waited_us * decay + passed * bool(self.length)
        for class_queue in self.class_queues.values():
            class_queue.admitted_work_us *= decay

    def rate(self, prior: float) -> float:
        """Work admitted from here in a unit of queueing time; close to the prior while that time is short."""
        return (self.admitted_work_us + prior * RATE_PRIOR_US) / (self.waited_us + RATE_PRIOR_US)

    def part(self, job_class: int) -> float:
        """This class's part of the work admitted from here: all, where no other class has work ahead."""
        others = sum(
            class_queue.admitted_work_us
            for class_queue in self.class_queues.values()
            if class_queue.job_class != job_class and class_queue.work_ahead_us
        )
        if not others:
            return 1.0
        tenant_limit = self.class_queue(job_class).admitted_work_us
        return max(MIN_CLASS_RATE_SHARE, tenant_limit / (tenant_limit + others))

    def class_queue(self, job_class: int) -> ClassQueue:
        """The requests of one class."""
        if (class_queue := self.class_queues.get(job_class)) is None:
            class_queue = self.class_queues[job_class] = ClassQueue(self, job_class)
        return class_queue

    def is_queued(self, job_class: int) -> bool:
        """Whether a request of this class is queued here."""
        class_queue = self.class_queues.get(job_class)
        return class_queue is not None and len(class_queue.tickets) > 0

    @property
    def work_ahead_us(self) -> float:
        """Work ahead of a request that arrives now, of all classes."""
        return sum(class_queue.work_ahead_us for class_queue in self.class_queues.values())


@dataclass(slots=True, eq=False)
class DeficitRoundRobin:
    """All queues that are not empty, and the order in which their requests are admitted."""

    order: Sequence[int]  # classes by descending priority weight
    newcomers: float  # the quota of all shared queues together, while others are not empty
    quantum_us: float = 1.0
    number: int = 1
    length: int = 0
    active: OrderedDict[Queue, None] = field(default_factory=OrderedDict)
    _ready: dict[int, OrderedDict[Queue, None]] = field(default_factory=dict)
    _spent: dict[int, OrderedDict[Queue, None]] = field(default_factory=dict)
    _shared_count: int = 0  # active shared queues
    _tenant_weight: float = 0.0  # weight of the active queues of tenants

    def __post_init__(self) -> None:
        for job_class in self.order:
            self._ready[job_class] = OrderedDict()
            self._spent[job_class] = OrderedDict()

    def weight(self, queue: Queue) -> float:
        """Quanta that a queue gets in a round. Shared queues divide theirs."""
        if not queue.is_shared:
            return queue.weight
        if not self._tenant_weight:
            return 1.0
        return self._tenant_weight * self.newcomers / (1 - self.newcomers) / max(1, self._shared_count)

    def share(self, queue: Queue) -> float:
        """This queue's quota of the admitted work, as long as no other queue runs empty."""
        tenant_weight, shared_count = self._tenant_weight, self._shared_count
        if queue not in self.active:
            tenant_weight += queue.weight * (not queue.is_shared)
            shared_count += queue.is_shared
        if not queue.is_shared:
            total = tenant_weight / (1 - self.newcomers) if shared_count else tenant_weight
            return queue.weight / total if total else 1.0
        return (self.newcomers if tenant_weight else 1.0) / max(1, shared_count)

    def add(self, now: int, ticket: Ticket) -> None:
        """Append a request to its queue."""
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
        """Remove a request: it is admitted, timed out or abandoned by its client."""
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
        self, now: int, is_open: Callable[[int], bool], has_capacity: Callable[[int], bool]
    ) -> Ticket | None:
        """The request whose turn it is, removed and charged to its queue; None if none may be admitted.

        ``is_open`` tells whether a class may be admitted in this round, ``has_capacity`` whether another
        round may start for it.
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
            waiting = [q for c in self.order if self._spent[c] and has_capacity(c) for q in self._spent[c]]
            if not waiting:
                return None
            self._start_rounds(waiting)

    @staticmethod
    def _head(queue: Queue, job_class: int, is_open: Callable[[int], bool]) -> Ticket:
        """The next request of a queue for a class: clients that came back in time go first, of any class."""
        returning = next(iter(queue.returning.values()), None)
        if returning and is_open(returning.job_class):
            return returning
        return next(iter(queue.class_queues[job_class].tickets.values()))

    def newest(self, queue: Queue) -> Ticket:
        """The newest request of a queue, of its class with the least priority weight."""
        job_class = next(c for c in reversed(self.order) if queue.is_queued(c))
        return next(reversed(queue.class_queues[job_class].tickets.values()))

    def longest(self) -> Queue:
        """The queue with the most work for its weight."""
        return max(self.active, key=lambda q: q.work_us / self.weight(q))

    def reweigh(self, queue: Queue, weight: float) -> None:
        """Change a queue's weight."""
        if queue in self.active and not queue.is_shared:
            self._tenant_weight += weight - queue.weight
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

    def _start_rounds(self, waiting: list[Queue]) -> None:
        """Start the next round, or as many at once as the least indebted waiting queue needs."""
        rounds = max(1, min(ceil(-q.deficit_us / self._quantum(q) + 1e-9) for q in waiting))
        self.number += rounds
        for queue in self.active:
            quantum = self._quantum(queue)
            # Queues whose classes are closed save up; idle ones get their credit when they are active again.
            queue.deficit_us = min(MAX_SAVED_QUANTA * quantum, queue.deficit_us + rounds * quantum)
        for job_class in self.order:
            ready, spent = self._ready[job_class], self._spent[job_class]
            for queue in [q for q in spent if q.deficit_us > 0]:
                del spent[queue]
                ready[queue] = None

    def _quantum(self, queue: Queue) -> float:
        return max(1e-3, self.quantum_us * self.weight(queue))

    def _activate(self, now: int, queue: Queue) -> None:
        """Credit the rounds since the queue ran empty, up to a burst; its debt has decayed with time."""
        self.active[queue] = None
        self._count(queue, 1)
        if queue.deficit_us < 0:
            queue.deficit_us *= exp(min(0, queue.settled_us - now) / DEBT_DECAY_US)
        quantum = self._quantum(queue)
        passed = self.number - queue.round
        queue.deficit_us = min(MAX_SAVED_QUANTA * quantum, queue.deficit_us + passed * quantum)
        queue.round = self.number

    def _count(self, queue: Queue, sign: int) -> None:
        if queue.is_shared:
            self._shared_count += sign
        else:
            self._tenant_weight = (
                max(0.0, self._tenant_weight + sign * queue.weight) if len(self.active) > 0 else 0.0
            )
