"""Fair queueing of requests: deficit round robin by work across queues, priority weight across classes.

After Shreedhar and Varghese, "Efficient fair queueing using deficit round robin" (1996). In each round
each queue gets a quantum of work in proportion to its weight. The deficit of a queue is the work that may
still be admitted from it in the round. Among the queues with a positive deficit, those with a request of the
highest priority weight are served first, in turns. A queue without a positive deficit is not served before
the next round.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import ceil, exp

DEBT_DECAY_US = 10_000_000  # time constant of the exponential decay of an empty queue's negative deficit
RATE_SMOOTHING_US = 3_000_000  # time constant of the exponential decay of admitted work and queueing time
# After this queueing time, a queue's measured rate weighs as much as the rate that its weight entitles it to.
RATE_PRIOR_US = 1_000_000
MAX_SAVED_QUANTA = 4.0  # upper limit of the deficit of a queue, in quanta of the queue
# Lower limit of the estimated share of a class in its queue's rate. A class with less priority weight may
# have had no request admitted recently, and its rate would otherwise be estimated as 0.
MIN_CLASS_RATE_SHARE = 0.05


@dataclass(slots=True, eq=False)
class Ticket:
    """A request in admission control, from its arrival until its final answer."""

    number: int
    job_class: int
    tenant: int
    name: str
    network: int  # index of the caller's network in the options; -1: none
    fingerprint: int  # identifies the caller, see `Caller` in callers.py
    queue: "Queue"
    cost_us: float  # the charged work: an estimate until the job's running time exceeds it or the job ends
    arrived_us: int
    queue_deadline_us: int  # the request is rejected if it is still queued at this time
    admitted_us: int = 0  # 0: still queued
    first_attempt_us: int = 0  # 0: no attempt sent yet
    started_us: int = 0  # 0: no start of execution reported
    # The request is a retry whose client has waited for most of the promised wait; it takes precedence in its
    # queue.
    returning: bool = False
    in_window: bool = False  # the request occupies a slot of its window


@dataclass(slots=True, eq=False)
class ClassQueue:
    """The requests of one class in a queue.

    Admitted work is measured for each class, as classes with more priority weight are admitted first and
    therefore at a higher rate.
    """

    queue: "Queue"
    job_class: int
    tickets: OrderedDict[int, Ticket] = field(default_factory=OrderedDict)
    work_us: float = 0.0  # estimated work of the queued requests
    promised_us: float = 0.0  # estimated work of rejected requests with an open retry promise
    return_share: float = 1.0  # average share of promises whose clients return
    admitted_work_us: float = 0.0  # admitted work, decayed exponentially
    # Work removed since the process started: of admitted and dropped requests, and of expired promises.
    removed_work_us: float = 0.0

    @property
    def work_ahead_us(self) -> float:
        """Work ahead of a request that arrives now: that of queued requests, and that of expected retries.

        Clients with an open retry promise are expected to retry with the probability ``return_share``.
        """
        return self.work_us + self.promised_us * self.return_share


@dataclass(slots=True, eq=False)
class Queue:
    """A queue of one tenant, or one shared by tenants without a queue of their own, divided by class."""

    label: str
    weight: float = 1.0
    is_shared: bool = False
    class_queues: dict[int, ClassQueue] = field(default_factory=dict)  # by class
    # The queued requests with `Ticket.returning`, by number.
    returning: OrderedDict[int, Ticket] = field(default_factory=OrderedDict)
    returning_work_us: float = 0.0  # estimated work of the requests in `returning`
    length: int = 0  # number of queued requests
    work_us: float = 0.0  # estimated work of the queued requests
    deficit_us: float = 0.0  # work that may still be admitted in this round; negative: a debt
    round: int = 0  # for an empty queue: the last round whose quantum it has received
    settled_us: int = 0  # time from which a negative deficit decays: when the queue last became empty
    users: int = 0  # requests in this queue, or admitted from it and not yet answered
    promises: int = 0  # open retry promises for this queue
    served_us: float = 0.0  # work admitted since the process started

    admitted_work_us: float = 0.0  # admitted work, decayed exponentially
    waited_us: float = 0.0  # time during which the queue was not empty, decayed like `admitted_work_us`
    at_us: int = 0  # time up to which `admitted_work_us` and `waited_us` are decayed

    @property
    def in_use(self) -> bool:
        """Whether requests or promises refer to this queue."""
        return self.users > 0 or self.promises > 0

    def advance(self, now: int) -> None:
        """Decay admitted work and queueing time up to ``now``.

        The time since the last call counts as queueing time if the queue is not empty.
        """
        elapsed_us = now - self.at_us
        self.at_us = now
        if elapsed_us <= 0:
            return
        decay = exp(-elapsed_us / RATE_SMOOTHING_US)
        self.admitted_work_us *= decay
        self.waited_us = self.waited_us * decay + elapsed_us * bool(self.length)
        for class_queue in self.class_queues.values():
            class_queue.admitted_work_us *= decay

    def rate(self, prior: float) -> float:
        """Work admitted per unit of queueing time, close to ``prior`` while the queueing time is short."""
        return (self.admitted_work_us + prior * RATE_PRIOR_US) / (self.waited_us + RATE_PRIOR_US)

    def class_share(self, job_class: int) -> float:
        """The share of a class in the queue's recently admitted work; 1 if no other class has work ahead.

        Classes without work ahead are not counted. The result is at least MIN_CLASS_RATE_SHARE.
        """
        others = sum(
            class_queue.admitted_work_us
            for class_queue in self.class_queues.values()
            if class_queue.job_class != job_class and class_queue.work_ahead_us
        )
        if not others:
            return 1.0
        own = self.class_queue(job_class).admitted_work_us
        return max(MIN_CLASS_RATE_SHARE, own / (own + others))

    def class_queue(self, job_class: int) -> ClassQueue:
        """The requests of one class; creates an empty class queue on first use."""
        if (class_queue := self.class_queues.get(job_class)) is None:
            class_queue = self.class_queues[job_class] = ClassQueue(self, job_class)
        return class_queue

    def is_queued(self, job_class: int) -> bool:
        """Whether a request of the class is in this queue."""
        class_queue = self.class_queues.get(job_class)
        return class_queue is not None and len(class_queue.tickets) > 0

    @property
    def work_ahead_us(self) -> float:
        """Work ahead of a request that arrives now, summed over all classes."""
        return sum(class_queue.work_ahead_us for class_queue in self.class_queues.values())


@dataclass(slots=True, eq=False)
class DeficitRoundRobin:
    """The non-empty queues, and the order in which their requests are admitted."""

    class_order: Sequence[int]  # classes by descending priority weight
    # Share of the admitted work that all shared queues get together while a single tenant's queue is active.
    newcomers: float
    quantum_us: float = 1.0  # quantum of a queue with weight 1
    round_number: int = 1  # number of the current round
    length: int = 0  # number of queued requests
    active: OrderedDict[Queue, None] = field(default_factory=OrderedDict)  # the non-empty queues
    # By class, the queues that contain a request of the class: those found to have used up their quantum in
    # `_spent`, the others in `_ready`.
    _ready: dict[int, OrderedDict[Queue, None]] = field(default_factory=dict)
    _spent: dict[int, OrderedDict[Queue, None]] = field(default_factory=dict)
    _shared_count: int = 0  # number of active shared queues
    _tenant_weight: float = 0.0  # total weight of the active queues that belong to a tenant

    def __post_init__(self) -> None:
        for job_class in self.class_order:
            self._ready[job_class] = OrderedDict()
            self._spent[job_class] = OrderedDict()

    def weight(self, queue: Queue) -> float:
        """The number of quanta that a queue gets in a round.

        Active shared queues divide the share ``newcomers`` equally.
        """
        if not queue.is_shared:
            return queue.weight
        if not self._tenant_weight:
            return 1.0
        return self._tenant_weight * self.newcomers / (1 - self.newcomers) / max(1, self._shared_count)

    def share(self, queue: Queue) -> float:
        """The share of all admitted work that a queue gets as long as the same queues remain active.

        An inactive queue is treated as if it were active.
        """
        tenant_weight, shared_count = self._tenant_weight, self._shared_count
        if queue not in self.active:
            tenant_weight += queue.weight * (not queue.is_shared)
            shared_count += queue.is_shared
        if not queue.is_shared:
            total = tenant_weight / (1 - self.newcomers) if shared_count else tenant_weight
            return queue.weight / total if total else 1.0
        return (self.newcomers if tenant_weight else 1.0) / max(1, shared_count)

    def add(self, now: int, ticket: Ticket) -> None:
        """Append a request to its queue, which becomes active if it was empty."""
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
        """Remove a request that is admitted, timed out, evicted or abandoned by its client."""
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
            queue.work_us, queue.round, queue.settled_us = 0.0, self.round_number, now
            del self.active[queue]
            self._count_active(queue, -1)

    def dequeue(
        self, now: int, is_open: Callable[[int], bool], has_capacity: Callable[[int], bool]
    ) -> Ticket | None:
        """Remove the next request in order and charge it to its queue; None if none may be admitted.

        ``is_open`` returns whether requests of a class may be admitted in the current round, ``has_capacity``
        whether a new round may start for a class.
        """
        while True:
            for job_class in self.class_order:
                if self._ready[job_class] and is_open(job_class) and (queue := self._next_queue(job_class)):
                    ticket = self._next_ticket(queue, job_class, is_open)
                    queue.deficit_us -= ticket.cost_us
                    queue.admitted_work_us += ticket.cost_us
                    queue.class_queues[ticket.job_class].admitted_work_us += ticket.cost_us
                    queue.served_us += ticket.cost_us
                    self._ready[job_class].move_to_end(queue)
                    self.remove(now, ticket)
                    return ticket
            waiting = [
                q for c in self.class_order if self._spent[c] and has_capacity(c) for q in self._spent[c]
            ]
            if not waiting:
                return None
            self._start_rounds(waiting)

    @staticmethod
    def _next_ticket(queue: Queue, job_class: int, is_open: Callable[[int], bool]) -> Ticket:
        """The request to admit next from a queue that was selected because it has requests of ``job_class``.

        The oldest queued request with `Ticket.returning` comes first, whatever its class, if requests of that
        class may be admitted in the current round.
        """
        returning = next(iter(queue.returning.values()), None)
        if returning and is_open(returning.job_class):
            return returning
        return next(iter(queue.class_queues[job_class].tickets.values()))

    def newest(self, queue: Queue) -> Ticket:
        """The newest of those requests in the queue whose class has the least priority weight."""
        job_class = next(c for c in reversed(self.class_order) if queue.is_queued(c))
        return next(reversed(queue.class_queues[job_class].tickets.values()))

    def longest(self) -> Queue:
        """The queue with the most queued work in relation to its weight."""
        return max(self.active, key=lambda q: q.work_us / self.weight(q))

    def reweigh(self, queue: Queue, weight: float) -> None:
        """Change a queue's weight."""
        if queue in self.active and not queue.is_shared:
            self._tenant_weight += weight - queue.weight
        queue.weight = weight

    def _next_queue(self, job_class: int) -> Queue | None:
        ready = self._ready[job_class]
        while ready:
            queue = next(iter(ready))
            if queue.deficit_us > 0:
                return queue
            del ready[queue]
            self._spent[job_class][queue] = None
        return None

    def _start_rounds(self, waiting: list[Queue]) -> None:
        """Advance by the fewest rounds after which a queue of ``waiting`` has a positive deficit."""
        rounds = max(1, min(ceil(-q.deficit_us / self._quantum(q) + 1e-9) for q in waiting))
        self.round_number += rounds
        for queue in self.active:
            quantum = self._quantum(queue)
            # A queue none of whose classes may be admitted at present accumulates quanta. An empty queue is
            # not active; it gets its quanta in `_activate`.
            queue.deficit_us = min(MAX_SAVED_QUANTA * quantum, queue.deficit_us + rounds * quantum)
        for job_class in self.class_order:
            ready, spent = self._ready[job_class], self._spent[job_class]
            for queue in [q for q in spent if q.deficit_us > 0]:
                del spent[queue]
                ready[queue] = None

    def _quantum(self, queue: Queue) -> float:
        return max(1e-3, self.quantum_us * self.weight(queue))

    def _activate(self, now: int, queue: Queue) -> None:
        """Add a queue that is no longer empty to the active queues.

        A negative deficit decays by the time since the queue became empty. The queue also gets the quanta of
        the rounds since then, up to a deficit of MAX_SAVED_QUANTA.
        """
        self.active[queue] = None
        self._count_active(queue, 1)
        if queue.deficit_us < 0:
            queue.deficit_us *= exp(min(0, queue.settled_us - now) / DEBT_DECAY_US)
        quantum = self._quantum(queue)
        elapsed_rounds = self.round_number - queue.round
        queue.deficit_us = min(MAX_SAVED_QUANTA * quantum, queue.deficit_us + elapsed_rounds * quantum)
        queue.round = self.round_number

    def _count_active(self, queue: Queue, sign: int) -> None:
        if queue.is_shared:
            self._shared_count += sign
        else:
            self._tenant_weight = (
                max(0.0, self._tenant_weight + sign * queue.weight) if len(self.active) > 0 else 0.0
            )
