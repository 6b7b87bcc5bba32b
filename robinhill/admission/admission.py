"""Admission control: who waits, who goes in and who is told to come back.

Events with a time go in, actions come out; no I/O.

The caller hands in events under the numbers that it gave the requests, carries the actions out at once and in
order, and calls ``tick`` at ``next_us``. Times are whole microseconds of a clock that only advances; one
that steps back is taken to stand still.
"""

import random
from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Any

from robinhill.admission.accounts import Account, Accounts
from robinhill.admission.buckets import RateLimiter, SharedRateLimiters, limiter_for
from robinhill.admission.callers import Caller, Directory
from robinhill.admission.estimate import Costs, Throughput
from robinhill.admission.options import AdmissionOptions
from robinhill.admission.promises import RetryPromise, RetryPromises
from robinhill.admission.queues import ClassQueue, DeficitRoundRobin, Queue, Ticket
from robinhill.admission.window import Windows
from robinhill.api import JobClass, Settings

HOLD = 1.5  # as the module: how far a job may wait into what its own length adds to its aim
TARGET = 0.8  # of its patience: who comes back when told finds so much work before it at the most
PATIENT = 1.25  # of its patience: who keeps to a promise is let wait though the estimate says so much
SHORTEST_US = 50_000  # told to come back sooner, a caller is back before anything has changed
SPREAD = 0.03  # told times are spread by so much; those of one line follow each other anyway
BOOKED = 0.75  # of a rate is promised: returns that are fully booked would queue up behind each other
SWEEP_US = 250_000  # how often jobs that run longer than thought are charged
LONGEST_EVERY_US = 50_000  # how often the longest queue is looked for when callers are refused
OVERDUE = 3.0  # of its class's running time, and
OVERDUE_US = 500_000
TOP = 10


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """A request has come. ``owed``: it was taken before (by another process) and is not refused for
    limits.
    """

    number: int
    job_class: int
    caller: Caller
    arrived_us: int
    time_left_us: int  # at its arrival
    already_accepted: bool = False


@dataclass(slots=True, frozen=True)
class Admit:
    """Let it in: the module decides from here on."""

    number: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: it never ran. ``own``: for what its tenant does (429), else for the fleet's load
    (503).
    """

    number: int
    reason: str
    tenant_limit: bool
    retry_us: int


Action = Admit | Reject


def _always(job_class: int) -> bool:
    return True


@dataclass(slots=True)
class _TenantUsage:
    """What a tenant has here; forgotten with its last request."""

    open: int = 0
    queued: int = 0


class Admission:
    """All of admission's state and decisions; deterministic for a seed and a secret."""

    def __init__(self, settings: Settings, options: AdmissionOptions, seed: int, secret: bytes) -> None:
        self.s, self.random = settings, random.Random(seed)
        self.secret = secret
        self.now = 0
        self.costs = Costs.of(len(settings.classes))
        self.throughput = Throughput()
        self.windows = Windows(settings.classes)
        self.promises = RetryPromises()
        self.tickets: dict[int, Ticket] = {}
        self.rejected: Counter[str] = Counter()
        self.admitted = 0
        self.suspended = False  # nothing goes in: what waits is about to go to another process
        self._full_us = [0] * len(settings.classes)  # the longest time left seen: that of a first try
        self._queue_deadlines: list[tuple[int, int]] = []  # when who has waited long enough
        self._usage: dict[int, _TenantUsage] = {}
        self._swept_us = 0
        self._longest: tuple[int, Queue | None] = (0, None)
        self.accounts = Accounts(options.accounts)
        self.round_robin = DeficitRoundRobin(self._order(), options.newcomers)
        self.actions: list[Action] = []
        self.network_limiters: dict[str, RateLimiter] = {}
        self._network_open: Counter[str] = Counter()
        self.options = AdmissionOptions()
        self.shared_limiters = SharedRateLimiters(self.options.limits)
        self.shared_queues: list[Queue] = []
        self.configure(0, options)

    def _order(self) -> list[int]:
        """Classes, the most worth for a worker's time first; of equal ones the more urgent."""
        classes = self.s.classes
        return sorted(
            range(len(classes)),
            key=lambda c: (-classes[c].priority_weight, classes[c].latency_objective_us, c),
        )

    # Settings

    def configure(self, now: int, options: AdmissionOptions) -> list[Action]:
        """Go by these settings from now on. Nothing that waits is dropped, and no limit starts afresh."""
        self._enter_event(now)
        old, self.options = self.options, options
        self.directory = Directory(options, self.secret)
        self.accounts.capacity = options.accounts
        self.round_robin.newcomers = options.newcomers
        if len(self.shared_queues) != options.queues:
            # Who waits in a queue of before stays there until it is let in.
            self.shared_queues = [Queue(f"strangers {i}", is_shared=True) for i in range(options.queues)]
        if options.limits != old.limits:
            self.shared_limiters = SharedRateLimiters(options.limits)
        self.apply_named_tenants()
        limiters = {}
        for entry in options.networks:
            if made := limiter_for(entry.limits):
                limiters[entry.network] = made.adopt(self.network_limiters.get(entry.network))
        self.network_limiters = limiters
        if not options.enabled:
            while self.round_robin.length and (ticket := self.round_robin.take(self.now, _always, _always)):
                self._admit_queued(ticket)
        return self._leave_event()

    def apply_named_tenants(self) -> None:
        """Give those that staff name accounts for good, and all accounts the weight and limits of the
        file.
        """
        named = {self.directory.hash(name): name for name in self.options.tenants}
        for account in list(self.accounts.by_tenant.values()):
            if account.pinned and account.tenant not in named:
                self.accounts.unpin(account)
            account.limiter = self._limiter_for(account.name, account.limiter)
            self.round_robin.reweigh(account.queue, self._weight(account.name))
        for tenant, name in named.items():
            self.accounts.pin(self.accounts.get(tenant) or self.account(tenant, name))

    def _weight(self, name: str) -> float:
        named = self.options.tenants.get(name)
        return named.weight if named else 1.0

    def _limiter_for(self, name: str, old: RateLimiter | None) -> RateLimiter | None:
        made = limiter_for(self.options.limits_of(name))
        return made.adopt(old) if made else None

    def account(self, tenant: int, name: str) -> Account:
        """A new account with a queue of its own; not among the accounts yet."""
        queue = Queue(name, self._weight(name))
        queue.round = self.round_robin.number - 1
        return Account(tenant, name, queue, self._limiter_for(name, None))

    # Events

    def arrive(self, now: int, ask: AdmissionRequest) -> list[Action]:
        """A request: it goes in, waits, or is refused."""
        self._enter_event(now)
        now, caller = self.now, ask.caller
        account = self.accounts.get(caller.tenant)
        ticket = self._ticket(ask, account)
        promise = self.promises.of(caller.fingerprint)
        if not ask.already_accepted and (refusal := self._check_limits(ticket, account)):
            self._refuse(ask.number, *refusal)
            return self._leave_event()
        unhurried = not self.round_robin.length and self.windows.roomy(ask.job_class)
        # What the module would not hold is for it to refuse; it does so at once.
        if unhurried or not self.options.enabled or ticket.queue_deadline_us <= now:
            if promise:
                self.promises.keep(promise)
            self._open_ticket(ticket, account)
            ticket.queue.served_us += ticket.cost_us
            self._admit(ticket)
            return self._leave_event()
        if not ask.already_accepted and (refusal := self._shed(ticket, promise)):
            self._refuse(ask.number, *refusal)
            return self._leave_event()
        if self.round_robin.length >= self.options.queued and not self._evict_newest(ticket):
            if not ask.already_accepted:
                self._refuse(
                    ask.number, "full", self._exceeds_share(ticket.queue), self._retry_after_us(ticket)
                )
                return self._leave_event()
        self._open_ticket(ticket, account)
        self._usage[ticket.tenant].queued += 1
        self.round_robin.add(now, ticket)
        heappush(self._queue_deadlines, (ticket.queue_deadline_us, ticket.number))
        return self._leave_event()

    def resume(self, now: int, ask: AdmissionRequest, placed: bool) -> None:
        """A request that another process let in goes on under this one: its tenant has it open."""
        self._enter_event(now)
        account = self.accounts.get(ask.caller.tenant)
        ticket = self._ticket(ask, account)
        ticket.admitted_us, ticket.in_window = self.now, True
        self._open_ticket(ticket, account)
        self.windows.enter(ask.job_class)
        if placed:
            self.windows.placed(ask.job_class)
            ticket.first_attempt_us = self.now
            self._start_execution(ticket)

    def placed(self, now: int, number: int) -> list[Action]:
        """The first attempt of a request that was let in is out."""
        self._enter_event(now)
        ticket = self.tickets.get(number)
        if ticket and ticket.admitted_us and not ticket.first_attempt_us:
            ticket.first_attempt_us = self.now
            self.windows.placed(ticket.job_class)
            more = self.round_robin.length > 0
            self.windows.of(ticket.job_class).placed(self.now, self.now - ticket.admitted_us, more)
            if not self.s.tells_start:
                self._start_execution(ticket)
        return self._leave_event()

    def execution_started(self, now: int, number: int) -> list[Action]:
        """A worker has begun to run it."""
        self._enter_event(now)
        ticket = self.tickets.get(number)
        if ticket and ticket.first_attempt_us and not ticket.started_us:
            self._start_execution(ticket)
            delay, more = self.now - ticket.first_attempt_us, self.round_robin.length > 0
            cost = self.costs.by_class[ticket.job_class]
            self.windows.of(ticket.job_class).execution_started(self.now, delay, cost, more)
        return self._leave_event()

    def ended(self, now: int, number: int, served: bool) -> list[Action]:
        """It has its final answer, or another process has it."""
        self._enter_event(now)
        if ticket := self.tickets.get(number):
            self._close_ticket(ticket, served)
        return self._leave_event()

    def suspend(self, now: int, suspended: bool) -> list[Action]:
        """Let nothing in that waits until told otherwise; waiting still ends in time."""
        self._enter_event(now)
        self.suspended = suspended
        return self._leave_event()

    def client_disconnected(self, now: int, number: int) -> list[Action]:
        """Its client has gone: a place at admission is free at once."""
        return self.ended(now, number, False)

    def tick(self, now: int) -> list[Action]:
        """Time has passed."""
        self._enter_event(now)
        now = self.now
        while self._queue_deadlines and self._queue_deadlines[0][0] <= now:
            _, number = heappop(self._queue_deadlines)
            ticket = self.tickets.get(number)
            if ticket and not ticket.admitted_us:
                wait = self._retry_after_us(ticket)
                self._close_ticket(ticket, False)
                self._refuse(number, "late", False, wait)
        if now - self._swept_us >= SWEEP_US:
            self._swept_us = now
            for ticket in self.tickets.values():
                if ticket.started_us and now - ticket.started_us > ticket.cost_us:
                    self._charge(ticket, now - ticket.started_us)
                if ticket.in_window and now - ticket.admitted_us > self._overdue_us(ticket):
                    self._free_window_slot(ticket)
        return self._leave_event()

    @property
    def next_us(self) -> int | None:
        """When ``tick`` is to be called; None while nothing waits."""
        while self._queue_deadlines:
            until, number = self._queue_deadlines[0]
            ticket = self.tickets.get(number)
            if ticket and not ticket.admitted_us:
                return min(until, max(self.now, self._swept_us + SWEEP_US))
            heappop(self._queue_deadlines)
        return None

    @property
    def waiting(self) -> int:
        """Requests that wait at admission."""
        return self.round_robin.length

    def is_queued(self, number: int) -> bool:
        """Whether this request waits at admission."""
        ticket = self.tickets.get(number)
        return ticket is not None and not ticket.admitted_us

    def _overdue_us(self, ticket: Ticket) -> float:
        """After so long a job is thought to be lost: whoever ran it may be silent, and others may have
        room.
        """
        return OVERDUE_US + OVERDUE * self.costs.by_class[ticket.job_class]

    # The way in

    def _enter_event(self, now: int) -> None:
        self.now = max(self.now, now)
        self.throughput.advance(self.now, self.round_robin.length > 0)
        self.promises.expire(self.now)
        self.actions = []

    def _leave_event(self) -> list[Action]:
        """Let in whose turn it is, as far as the windows allow."""
        if self.round_robin.length and not self.suspended:
            self.round_robin.quantum_us = max(self.costs.by_class)
            while ticket := self.round_robin.take(self.now, self.windows.open, self.windows.roomy):
                self.promises.record_progress(self.now, ticket.queue.class_queues[ticket.job_class])
                self._admit_queued(ticket)
        return self.actions

    def _ticket(self, ask: AdmissionRequest, account: Account | None) -> Ticket:
        caller, klass = ask.caller, self.s.classes[ask.job_class]
        known = self.costs.known[ask.job_class]
        mean = self.costs.by_class[ask.job_class]
        cost = mean * (account.ratio if account else 1.0)
        left = ask.time_left_us
        # A client's further try has spent part of its time: how much shows against a first try's.
        self._full_us[ask.job_class] = full = max(self._full_us[ask.job_class], left)
        patience = self._patience(klass, mean if known else 0.0) - (full - left)
        if klass.late_priority_weight:
            patience = max(patience, int(left - cost))
        until = ask.arrived_us + min(left - 1, patience)
        queue = account.queue if account and account.established else self._shared_queue_for(caller.tenant)
        return Ticket(
            ask.number, ask.job_class, caller.tenant, caller.name, caller.network, caller.fingerprint,
            queue, cost, ask.arrived_us, until,
        )  # fmt: skip

    def _patience(self, klass: JobClass, usual_us: float) -> int:
        return klass.latency_objective_us + int(HOLD * max(0.0, klass.stretch - 1) * usual_us)

    def _shared_queue_for(self, tenant: int) -> Queue:
        """The shortest queue of a stranger's hand: the hand comes from its hash, a card at a time."""
        cards, left, hand = tenant, list(range(len(self.shared_queues))) if self.options.hand > 1 else [], []
        if not left:
            return self.shared_queues[tenant % len(self.shared_queues)]
        for _ in range(self.options.hand):
            cards, card = divmod(cards, len(left))
            hand.append(self.shared_queues[left.pop(card)])
        return min(hand, key=lambda q: q.work_ahead_us)

    def _open_ticket(self, ticket: Ticket, account: Account | None) -> None:
        """It is taken: count it and charge its tenant's limits."""
        self.tickets[ticket.number] = ticket
        present = self._usage.setdefault(ticket.tenant, _TenantUsage())
        present.open += 1
        ticket.queue.users += 1
        if account is None:
            self.shared_limiters.take(ticket.tenant, ticket.cost_us)
        elif account.limiter:
            account.limiter.take(ticket.cost_us)
        if ticket.network >= 0:
            network = self._network(ticket)
            self._network_open[network] += 1
            if network in self.network_limiters:
                self.network_limiters[network].take(ticket.cost_us)

    def _network(self, ticket: Ticket) -> str:
        """A reload may have changed the table since the ticket's caller was found."""
        listed = self.options.networks
        return listed[ticket.network].network if ticket.network < len(listed) else ""

    def _admit_queued(self, ticket: Ticket) -> None:
        """One that waited."""
        self._usage[ticket.tenant].queued -= 1
        self._admit(ticket)

    def _admit(self, ticket: Ticket) -> None:
        ticket.admitted_us = self.now
        self.windows.enter(ticket.job_class)
        ticket.in_window = True
        self.admitted += 1
        self.actions.append(Admit(ticket.number))

    def _start_execution(self, ticket: Ticket) -> None:
        ticket.started_us = self.now
        self.throughput.running += 1

    # The way out

    def _close_ticket(self, ticket: Ticket, served: bool) -> None:
        del self.tickets[ticket.number]
        queue = ticket.queue
        queue.users -= 1
        present = self._usage[ticket.tenant]
        present.open -= 1
        if not ticket.admitted_us:
            present.queued -= 1
            self.round_robin.remove(self.now, ticket)
            self.promises.record_progress(self.now, queue.class_queues[ticket.job_class])
        elif not ticket.first_attempt_us:
            self.windows.placed(ticket.job_class)
        self._free_window_slot(ticket)
        if not present.open:
            del self._usage[ticket.tenant]
        if ticket.network >= 0:
            network = self._network(ticket)
            self._network_open[network] -= 1
            if self._network_open[network] <= 0:
                del self._network_open[network]
        ran = self.now - ticket.started_us if ticket.started_us else 0
        if ticket.started_us:
            self.throughput.running -= 1
        self._charge(ticket, ran)
        if served and ran:
            self._learn(ticket, ran)

    def _free_window_slot(self, ticket: Ticket) -> None:
        if ticket.in_window:
            ticket.in_window = False
            self.windows.leave(ticket.job_class)

    def _charge(self, ticket: Ticket, ran_us: int) -> None:
        """Correct what was charged for it to what it has taken."""
        more, ticket.cost_us = ran_us - ticket.cost_us, float(ran_us)
        if ticket.admitted_us:
            ticket.queue.deficit_us -= more
        account = self.accounts.get(ticket.tenant)
        if account is None:
            self.shared_limiters.charge(ticket.tenant, more)
        elif account.limiter:
            account.limiter.charge(more)
        if ticket.network >= 0 and (network := self.network_limiters.get(self._network(ticket))):
            network.charge(more)

    def _learn(self, ticket: Ticket, ran_us: int) -> None:
        """A job was served: what it took tells of its class and of its tenant, which has an account from
        now.
        """
        account = self.accounts.get(ticket.tenant)
        mean = self.costs.by_class[ticket.job_class]
        if account is None:
            account = self.account(ticket.tenant, ticket.name)
            put_out = self.accounts.admit(account)
            if put_out is account:
                account = None
        elif self.costs.known[ticket.job_class]:
            account.learn(ran_us / mean)
        self.costs.learn(ticket.job_class, ran_us, account.ratio if account else 1.0)
        if account:
            self.accounts.serve(self.now, account, ran_us)

    # Refusals

    def _refuse(self, number: int, reason: str, tenant_limit: bool, wait_us: int) -> None:
        self.rejected[reason] += 1
        self.actions.append(Reject(number, reason, tenant_limit, self._cap(wait_us)))

    def _cap(self, wait_us: int) -> int:
        """As much of it as the settings let us say."""
        if not self.s.retry_after:
            return 0
        return max(0, min(wait_us, self.s.max_retry_after_us, self.options.retry_after_cap_ms * 1000))

    def _check_limits(self, ticket: Ticket, account: Account | None) -> tuple[str, bool, int] | None:
        """Whether its tenant or network has used up what it may have."""
        limits = self.options.limits_of(ticket.name)
        present = self._usage.get(ticket.tenant)
        if present and limits.open and present.open >= limits.open:
            return "open", True, int(ticket.cost_us)
        if present and limits.queued and present.queued >= limits.queued:
            return "queued", True, int(ticket.cost_us)
        if ticket.network >= 0:
            entry = self.options.networks[ticket.network]
            count = self._network_open[entry.network]
            if entry.limits.open and count >= entry.limits.open:
                return "open", True, int(ticket.cost_us)
        is_queued = []
        if account is None:
            is_queued.append(self.shared_limiters.wait_us(self.now, ticket.tenant, ticket.cost_us))
        elif account.limiter:
            is_queued.append(account.limiter.wait_us(self.now, ticket.cost_us))
        if ticket.network >= 0 and (network := self.network_limiters.get(self._network(ticket))):
            is_queued.append(network.wait_us(self.now, ticket.cost_us))
        if not is_queued or not (worst := max(is_queued))[0]:
            return None
        if account:
            account.rejected += 1
        return worst[1], True, worst[0]

    def _shed(self, ticket: Ticket, promise: RetryPromise | None) -> tuple[str, bool, int] | None:
        """Whether it can't make its time at its queue's present rate; it is promised a time to come back
        then.
        """
        class_queue, patience = (
            ticket.queue.class_queue(ticket.job_class),
            ticket.queue_deadline_us - self.now,
        )
        rate = self._rate(class_queue)
        if promise:
            if not self.promises.is_due(self.now, promise):
                return "early", True, promise.due_us - self.now
            self.promises.keep(promise)
            if ticket.queue.returning_work_us / self._queue_rate(ticket.queue) <= patience * PATIENT:
                ticket.returning = True
                return None
        ahead = class_queue.work_ahead_us
        if ahead / rate <= patience or not self.costs.known[ticket.job_class]:
            return None  # what was never seen to run can't be known to be late
        tenant_limit = self._exceeds_share(ticket.queue)
        if tenant_limit and (account := self.accounts.get(ticket.tenant)):
            account.rejected += 1
        wait = self._retry_after_us(ticket)
        self.promises.make(self.now, ticket.fingerprint, ticket.tenant, class_queue, ticket.cost_us, wait)
        if self._cap(wait) >= wait:
            self.promises.measure(self.now, class_queue, wait, ahead - rate * patience * TARGET)
        return "time", tenant_limit, wait

    def _retry_after_us(self, ticket: Ticket) -> int:
        """When its line will have come down far enough for a request like it."""
        class_queue = ticket.queue.class_queue(ticket.job_class)
        patience = self._patience(self.s.classes[ticket.job_class], self.costs.by_class[ticket.job_class])
        wait = class_queue.work_ahead_us / (BOOKED * self._rate(class_queue)) - patience * TARGET
        return max(SHORTEST_US, int(wait * (1 + SPREAD * (2 * self.random.random() - 1))))

    def _queue_rate(self, queue: Queue) -> float:
        """Work that goes in from this queue in a unit of time."""
        queue.advance(self.now)
        return max(1e-3, queue.rate(self.throughput.rate * self.round_robin.share(queue)))

    def _rate(self, class_queue: ClassQueue) -> float:
        """The same of one line: the part of it that its class has had of late."""
        return self._queue_rate(class_queue.queue) * class_queue.queue.part(class_queue.job_class)

    def _exceeds_share(self, queue: Queue) -> bool:
        """Whether it is a tenant's own doing that it must wait: no queue is as long, and others are here."""
        if queue.is_shared or len(self._usage) < 2:
            return False
        return self._longest_queue() is queue

    def _longest_queue(self) -> Queue | None:
        at, queue = self._longest
        if queue is None or not queue.length or self.now - at > LONGEST_EVERY_US:
            queue = self.round_robin.longest() if self.round_robin.length else None
            self._longest = self.now, queue
        return queue

    def _evict_newest(self, ticket: Ticket) -> bool:
        """Put out the newest of the longest queue, if that is longer than this one's would be."""
        longest = self._longest_queue()
        weight = self.round_robin.weight
        if longest is None or longest is ticket.queue:
            return False
        queued_share = (ticket.queue.work_us + ticket.cost_us) / weight(ticket.queue)
        if longest.work_us / weight(longest) <= queued_share:
            return False
        victim = self.round_robin.newest(longest)
        wait = self._retry_after_us(victim)
        self._close_ticket(victim, False)
        self._refuse(victim.number, "pushed_out", True, wait)
        return True

    # For staff

    def metrics(self) -> dict[str, Any]:
        """What admission control does now, as plain values."""
        return {
            "queued": self.round_robin.length,
            "let_in": self.admitted,
            "refused": dict(sorted(self.rejected.items())),
            "window": [int(w.size) for w in self.windows.windows],
            "places": [int(w.places) for w in self.windows.windows],
            "inside": [w.in_window for w in self.windows.windows],
            "unplaced": list(self.windows.unplaced),
            "running": self.throughput.running,
            "rate": round(self.throughput.rate, 2),
            "class_ms": [round(c / 1000, 1) for c in self.costs.by_class],
            "accounts": len(self.accounts.by_tenant),
            "tenants_present": len(self._usage),
            "promises": {
                "open": self.promises.length,
                "right": self.promises.right,
                "short": self.promises.short,
                "long": self.promises.long,
            },
            "heaviest": [
                {
                    "tenant": a.name,
                    "served_s": round(a.served_us / 1e6, 3),
                    "jobs": a.jobs,
                    "ratio": round(a.ratio, 2),
                    "weight": a.queue.weight,
                    "queued": a.queue.length,
                    "refused": a.rejected,
                }
                for a in self.accounts.heaviest(TOP)
            ],
        }
