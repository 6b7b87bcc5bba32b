"""Admission control: decides which requests are admitted, queued or rejected, and when callers may retry.

Admitted requests are passed on to the decision module (robinhill/logic.py), which places them on workers.
The module does no I/O: each event method takes the current time and returns a list of actions. The caller
assigns a number to each request, performs the actions immediately and in order, and calls ``tick`` at
``next_us``. Times are whole microseconds. The clock is expected to be monotonic: a time earlier than the
latest one seen is replaced by the latest one.
"""

import random
from collections import Counter
from heapq import heappop, heappush

from robinhill.admission.accounts import Account, Accounts
from robinhill.admission.buckets import RateLimiter, limiter_for
from robinhill.admission.callers import Directory
from robinhill.admission.estimate import Costs, Throughput
from robinhill.admission.messages import (
    Action,
    AdmissionRequest,
    Admit,
    Reject,
    Rejection,
    RejectionReason,
)
from robinhill.admission.options import AdmissionOptions
from robinhill.admission.promises import RetryPromise, RetryPromises
from robinhill.admission.queues import DeficitRoundRobin, Queue, Ticket
from robinhill.admission.usage_limits import RATE_REASONS, UsageLimits
from robinhill.admission.wait_estimate import TARGET_PATIENCE_SHARE, WaitEstimate
from robinhill.admission.window import Windows
from robinhill.api import Settings

# A caller that retries at its promised time is queued if its estimated wait behind other such callers is at
# most this multiple of the time until its queue deadline.
RETURNING_PATIENCE_FACTOR = 1.25
COST_CORRECTION_INTERVAL_US = 250_000  # interval of charging jobs that run longer than estimated
LONGEST_QUEUE_CACHE_US = 50_000  # a queue found to be the longest counts as such for this time or until empty
# A job is overdue if it was admitted longer ago than OVERDUE_US plus this multiple of its class's mean
# running time.
OVERDUE_RUNTIME_FACTOR = 3.0
OVERDUE_US = 500_000


def _allow_any_class(_job_class: int) -> bool:
    return True


class Admission:
    """The state and the decisions of admission control; deterministic for a given seed and secret."""

    def __init__(self, settings: Settings, options: AdmissionOptions, seed: int, secret: bytes) -> None:
        self.settings = settings
        self.secret = secret
        self.now = 0
        self.costs = Costs.of(len(settings.classes))
        self.throughput = Throughput()
        self.windows = Windows(settings.classes)
        self.promises = RetryPromises()
        self.tickets: dict[int, Ticket] = {}
        self.rejected: Counter[RejectionReason] = Counter()
        self.admitted = 0
        # True: queued requests are not admitted, as another process is about to adopt them.
        self.suspended = False
        self.accounts = Accounts(options.accounts)
        self.round_robin = DeficitRoundRobin(self._class_order(), options.newcomers)
        self.options = AdmissionOptions()
        self.limits = UsageLimits(self.options)
        self.shared_queues: list[Queue] = []
        self._estimate = WaitEstimate(
            settings, self.costs, self.throughput, self.round_robin, random.Random(seed)
        )
        # By class, the longest time from arrival to deadline that any request has had. A client's first
        # request is assumed to have this time, and a request with less time is assumed to be a retry.
        self._first_attempt_time_us = [0] * len(settings.classes)
        self._queue_deadlines: list[tuple[int, int]] = []  # a heap of (deadline, ticket number)
        self._costs_corrected_us = 0  # time at which `tick` last corrected the costs of long-running jobs
        self._longest: tuple[int, Queue | None] = (0, None)  # (time of the lookup, longest queue)
        self._actions: list[Action] = []
        self.configure(0, options)

    def _class_order(self) -> list[int]:
        """Classes by descending priority weight; among equals the shorter latency objective comes first."""
        classes = self.settings.classes
        return sorted(
            range(len(classes)),
            key=lambda c: (-classes[c].priority_weight, classes[c].latency_objective_us, c),
        )

    # Settings

    def configure(self, now: int, options: AdmissionOptions) -> list[Action]:
        """Replace the options. Queued requests are retained, and rate limiters keep their levels.

        If the new options disable admission control, all queued requests are admitted.
        """
        self._start_event(now)
        self.options = options
        self.directory = Directory(options, self.secret)
        self.accounts.capacity = options.accounts
        self.round_robin.newcomers = options.newcomers
        if len(self.shared_queues) != options.queues:
            # Requests that are already in one of the replaced queues stay in it until admitted or removed.
            self.shared_queues = [Queue(f"shared {i}", is_shared=True) for i in range(options.queues)]
        self.limits.configure(options)
        self.apply_named_tenants()
        if not options.enabled:
            while self.round_robin.length and (
                ticket := self.round_robin.dequeue(self.now, _allow_any_class, _allow_any_class)
            ):
                self._admit_queued(ticket)
        return self._finish_event()

    def apply_named_tenants(self) -> None:
        """Pin the accounts of tenants named in the options, and update weight and limits of all accounts."""
        named = {self.directory.hash(name): name for name in self.options.tenants}
        for account in list(self.accounts.by_tenant.values()):
            if account.pinned and account.tenant not in named:
                self.accounts.unpin(account)
            account.limiter = self._limiter_for(account.name, account.limiter)
            self.round_robin.reweigh(account.queue, self._weight(account.name))
        for tenant, name in named.items():
            self.accounts.pin(self.accounts.get(tenant) or self.new_account(tenant, name))

    def _weight(self, name: str) -> float:
        named = self.options.tenants.get(name)
        return named.weight if named else 1.0

    def _limiter_for(self, name: str, old: RateLimiter | None) -> RateLimiter | None:
        limiter = limiter_for(self.options.limits_of(name))
        return limiter.adopt(old) if limiter else None

    def new_account(self, tenant: int, name: str) -> Account:
        """Create an account with its own queue, without adding it to ``accounts``."""
        queue = Queue(name, self._weight(name))
        queue.round = self.round_robin.round_number - 1
        return Account(tenant, name, queue, self._limiter_for(name, None))

    # Events

    def arrive(self, now: int, request: AdmissionRequest) -> list[Action]:
        """Admit, queue or reject a request that has arrived."""
        self._start_event(now)
        account = self.accounts.get(request.caller.tenant)
        ticket = self._make_ticket(request, account)
        rejection = self._limit_rejection(request, ticket, account)
        admits_now = rejection is None and self._is_admitted_at_once(ticket)
        promise = self.promises.oldest(request.caller.fingerprint)
        if admits_now and promise:
            self.promises.close(promise)
        elif rejection is None and not admits_now:
            rejection = self._queue_rejection(request, ticket, promise)
        if rejection:
            self._reject(request.number, rejection)
            return self._finish_event()
        self._open_ticket(ticket, account)
        if admits_now:
            ticket.queue.served_us += ticket.cost_us
            self._admit(ticket)
        else:
            self._enqueue(ticket)
        return self._finish_event()

    def resume(self, now: int, request: AdmissionRequest, placed: bool) -> None:
        """Track a request that another process admitted. ``placed``: its first attempt has been sent."""
        self._start_event(now)
        account = self.accounts.get(request.caller.tenant)
        ticket = self._make_ticket(request, account)
        ticket.admitted_us, ticket.in_window = self.now, True
        self._open_ticket(ticket, account)
        self.windows.enter(request.job_class)
        if placed:
            self.windows.placed(request.job_class)
            ticket.first_attempt_us = self.now
            self._start_execution(ticket)

    def placed(self, now: int, number: int) -> list[Action]:
        """Record that the first attempt of an admitted request was sent."""
        self._start_event(now)
        ticket = self.tickets.get(number)
        if ticket and ticket.admitted_us and not ticket.first_attempt_us:
            ticket.first_attempt_us = self.now
            self.windows.placed(ticket.job_class)
            others_queued = self.round_robin.length > 0
            self.windows.of(ticket.job_class).placed(self.now, self.now - ticket.admitted_us, others_queued)
            if not self.settings.reports_start:
                self._start_execution(ticket)
        return self._finish_event()

    def execution_started(self, now: int, number: int) -> list[Action]:
        """Record that a worker has started to run an admitted request."""
        self._start_event(now)
        ticket = self.tickets.get(number)
        if ticket and ticket.first_attempt_us and not ticket.started_us:
            self._start_execution(ticket)
            delay, others_queued = self.now - ticket.first_attempt_us, self.round_robin.length > 0
            cost = self.costs.by_class[ticket.job_class]
            self.windows.of(ticket.job_class).execution_started(self.now, delay, cost, others_queued)
        return self._finish_event()

    def ended(self, now: int, number: int, served: bool) -> list[Action]:
        """Remove a request that has its final answer or was handed over to another process.

        ``served``: the request ended with a result, so its running time is used to learn costs.
        """
        self._start_event(now)
        if ticket := self.tickets.get(number):
            self._close_ticket(ticket, served)
        return self._finish_event()

    def client_disconnected(self, now: int, number: int) -> list[Action]:
        """Remove a request whose client has disconnected, whether it is queued or admitted."""
        return self.ended(now, number, False)

    def suspend(self, now: int, suspended: bool) -> list[Action]:
        """Stop or resume admitting queued requests; they still time out while admission is suspended."""
        self._start_event(now)
        self.suspended = suspended
        return self._finish_event()

    def tick(self, now: int) -> list[Action]:
        """Reject queued requests whose queue deadline has passed; correct the cost of long-running jobs."""
        self._start_event(now)
        while self._queue_deadlines and self._queue_deadlines[0][0] <= self.now:
            _, number = heappop(self._queue_deadlines)
            ticket = self.tickets.get(number)
            if ticket and not ticket.admitted_us:
                wait_us = self._estimate.retry_after_us(self.now, ticket)
                self._close_ticket(ticket, False)
                self._reject(number, Rejection(RejectionReason.LATE, False, wait_us))
        if self.now - self._costs_corrected_us >= COST_CORRECTION_INTERVAL_US:
            self._costs_corrected_us = self.now
            for ticket in self.tickets.values():
                self._correct_cost(ticket)
        return self._finish_event()

    @property
    def next_us(self) -> int | None:
        """Time at which ``tick`` must be called next; None while nothing is queued."""
        while self._queue_deadlines:
            deadline_us, number = self._queue_deadlines[0]
            ticket = self.tickets.get(number)
            if ticket and not ticket.admitted_us:
                next_correction_us = self._costs_corrected_us + COST_CORRECTION_INTERVAL_US
                return min(deadline_us, max(self.now, next_correction_us))
            heappop(self._queue_deadlines)
        return None

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return self.round_robin.length

    def is_queued(self, number: int) -> bool:
        """Whether the request is queued; False if it is admitted or unknown."""
        ticket = self.tickets.get(number)
        return ticket is not None and not ticket.admitted_us

    def _start_event(self, now: int) -> None:
        self.now = max(self.now, now)
        self.throughput.advance(self.now, self.round_robin.length > 0)
        self.promises.expire(self.now)
        self._actions = []

    def _finish_event(self) -> list[Action]:
        """Admit queued requests in round-robin order as far as the windows allow.

        Returns all actions of the current event.
        """
        if self.round_robin.length and not self.suspended:
            self.round_robin.quantum_us = max(self.costs.by_class)
            while ticket := self.round_robin.dequeue(self.now, self.windows.open, self.windows.has_capacity):
                self.promises.record_progress(self.now, ticket.queue.class_queues[ticket.job_class])
                self._admit_queued(ticket)
        return self._actions

    # Tickets

    def _make_ticket(self, request: AdmissionRequest, account: Account | None) -> Ticket:
        caller, job_class = request.caller, self.settings.classes[request.job_class]
        is_learned = self.costs.known[request.job_class]
        mean = self.costs.by_class[request.job_class]
        cost = mean * (account.ratio if account else 1.0)
        time_left = request.time_left_us
        # A client's retry arrives with less time to its deadline than first requests of its class have. The
        # client has already waited for the difference, which is therefore subtracted from the time for which
        # the request may be queued.
        full_time_us = max(self._first_attempt_time_us[request.job_class], time_left)
        self._first_attempt_time_us[request.job_class] = full_time_us
        patience = self._estimate.patience_us(job_class, mean if is_learned else 0.0) - (
            full_time_us - time_left
        )
        if job_class.late_priority_weight:
            patience = max(patience, int(time_left - cost))
        has_queue = account and account.established
        return Ticket(
            number=request.number,
            job_class=request.job_class,
            tenant=caller.tenant,
            name=caller.name,
            network=caller.network,
            fingerprint=caller.fingerprint,
            queue=account.queue if account and has_queue else self._shared_queue_for(caller.tenant),
            cost_us=cost,
            arrived_us=request.arrived_us,
            queue_deadline_us=request.arrived_us + min(time_left - 1, patience),
        )

    def _shared_queue_for(self, tenant: int) -> Queue:
        """The queue with the least work ahead in the tenant's shuffle shard.

        The hash of the tenant determines the shard, a set of ``hand`` shared queues.
        """
        if self.options.hand <= 1 or not self.shared_queues:
            return self.shared_queues[tenant % len(self.shared_queues)]
        remaining_hash, remaining, shard = tenant, list(range(len(self.shared_queues))), []
        for _ in range(self.options.hand):
            remaining_hash, index = divmod(remaining_hash, len(remaining))
            shard.append(self.shared_queues[remaining.pop(index)])
        return min(shard, key=lambda queue: queue.work_ahead_us)

    def _open_ticket(self, ticket: Ticket, account: Account | None) -> None:
        self.tickets[ticket.number] = ticket
        ticket.queue.users += 1
        self.limits.open(ticket, account)

    def _enqueue(self, ticket: Ticket) -> None:
        self.limits.usage[ticket.tenant].queued += 1
        self.round_robin.add(self.now, ticket)
        heappush(self._queue_deadlines, (ticket.queue_deadline_us, ticket.number))

    def _admit_queued(self, ticket: Ticket) -> None:
        self.limits.usage[ticket.tenant].queued -= 1
        self._admit(ticket)

    def _admit(self, ticket: Ticket) -> None:
        ticket.admitted_us = self.now
        self.windows.enter(ticket.job_class)
        ticket.in_window = True
        self.admitted += 1
        self._actions.append(Admit(ticket.number))

    def _start_execution(self, ticket: Ticket) -> None:
        ticket.started_us = self.now
        self.throughput.running += 1

    def _close_ticket(self, ticket: Ticket, served: bool) -> None:
        del self.tickets[ticket.number]
        ticket.queue.users -= 1
        if not ticket.admitted_us:
            self.round_robin.remove(self.now, ticket)
            self.promises.record_progress(self.now, ticket.queue.class_queues[ticket.job_class])
        elif not ticket.first_attempt_us:
            self.windows.placed(ticket.job_class)
        self._free_window_slot(ticket)
        self.limits.close(ticket)
        ran_us = self.now - ticket.started_us if ticket.started_us else 0
        if ticket.started_us:
            self.throughput.running -= 1
        self._charge(ticket, ran_us)
        if served and ran_us:
            self._learn_cost(ticket, ran_us)

    def _free_window_slot(self, ticket: Ticket) -> None:
        if ticket.in_window:
            ticket.in_window = False
            self.windows.leave(ticket.job_class)

    def _correct_cost(self, ticket: Ticket) -> None:
        """Charge a job that runs longer than estimated, and free the window slot of an overdue one.

        An overdue job is probably lost with its worker and may never report its end.
        """
        if ticket.started_us and self.now - ticket.started_us > ticket.cost_us:
            self._charge(ticket, self.now - ticket.started_us)
        overdue_us = OVERDUE_US + OVERDUE_RUNTIME_FACTOR * self.costs.by_class[ticket.job_class]
        if ticket.in_window and self.now - ticket.admitted_us > overdue_us:
            self._free_window_slot(ticket)

    def _charge(self, ticket: Ticket, ran_us: int) -> None:
        """Replace the cost that has been charged for a request by its running time ``ran_us``."""
        excess_us, ticket.cost_us = ran_us - ticket.cost_us, float(ran_us)
        if ticket.admitted_us:
            ticket.queue.deficit_us -= excess_us
        self.limits.charge(ticket, self.accounts.get(ticket.tenant), excess_us)

    def _learn_cost(self, ticket: Ticket, ran_us: int) -> None:
        """Update the learned cost of the class and of the tenant from a served job.

        A tenant without an account gets one, unless it would replace an account that is still in use.
        """
        account = self.accounts.get(ticket.tenant)
        mean = self.costs.by_class[ticket.job_class]
        if account is None:
            account = self.new_account(ticket.tenant, ticket.name)
            if self.accounts.admit(account) is account:
                account = None
        elif self.costs.known[ticket.job_class]:
            account.learn(ran_us / mean)
        self.costs.learn(ticket.job_class, ran_us, account.ratio if account else 1.0)
        if account:
            self.accounts.record_service(self.now, account, ran_us)

    # Load shedding

    def _reject(self, number: int, rejection: Rejection) -> None:
        self.rejected[rejection.reason] += 1
        retry_us = self._cap_retry_after(rejection.wait_us)
        self._actions.append(Reject(number, rejection.reason, rejection.tenant_limit, retry_us))

    def _cap_retry_after(self, wait_us: int) -> int:
        """A wait limited to the maximum Retry-After of settings and options; 0 if Retry-After is disabled."""
        if not self.settings.retry_after:
            return 0
        return max(0, min(wait_us, self.settings.max_retry_after_us, self.options.retry_after_cap_ms * 1000))

    def _is_admitted_at_once(self, ticket: Ticket) -> bool:
        """Whether a request bypasses the queues.

        A request does if nothing is queued and the window of its class has capacity, or if admission control
        is disabled. It also does if its queue deadline has passed; the decision module then rejects it.
        """
        has_capacity = not self.round_robin.length and self.windows.has_capacity(ticket.job_class)
        return has_capacity or not self.options.enabled or ticket.queue_deadline_us <= self.now

    def _limit_rejection(
        self, request: AdmissionRequest, ticket: Ticket, account: Account | None
    ) -> Rejection | None:
        if request.already_accepted:
            return None
        rejection = self.limits.check(self.now, ticket, account)
        if rejection and account and rejection.reason in RATE_REASONS:
            account.rejected += 1
        return rejection

    def _queue_rejection(
        self, request: AdmissionRequest, ticket: Ticket, promise: RetryPromise | None
    ) -> Rejection | None:
        """The rejection of a request that can't be queued; None if it can be.

        At the limit of queued requests, a request of a longer queue may be evicted instead.
        """
        if not request.already_accepted and (rejection := self._deadline_rejection(ticket, promise)):
            return rejection
        if self.round_robin.length < self.options.queued or self._evict_newest(ticket):
            return None
        if request.already_accepted:
            return None
        exceeds_share = self._exceeds_share(ticket.queue)
        wait_us = self._estimate.retry_after_us(self.now, ticket)
        return Rejection(RejectionReason.FULL, exceeds_share, wait_us)

    def _deadline_rejection(self, ticket: Ticket, promise: RetryPromise | None) -> Rejection | None:
        """The rejection of a request that is estimated to be queued beyond its queue deadline; else None.

        The caller of the rejected request gets a retry promise. A caller with an open promise is rejected if
        it returns early; if it returns in time, its promise is closed and its request takes precedence in its
        queue, unless too many other callers have returned.
        """
        class_queue = ticket.queue.class_queue(ticket.job_class)
        patience = ticket.queue_deadline_us - self.now
        rate = self._estimate.class_rate(self.now, class_queue)
        if promise:
            if not self.promises.is_due(self.now, promise):
                return Rejection(RejectionReason.EARLY, True, promise.due_us - self.now)
            self.promises.close(promise)
            queue_rate = self._estimate.queue_rate(self.now, ticket.queue)
            if ticket.queue.returning_work_us / queue_rate <= patience * RETURNING_PATIENCE_FACTOR:
                ticket.returning = True
                return None
        ahead = class_queue.work_ahead_us
        if ahead / rate <= patience or not self.costs.known[ticket.job_class]:
            return None  # the wait is short enough, or unknown as no job of the class has ended yet
        exceeds_share = self._exceeds_share(ticket.queue)
        if exceeds_share and (account := self.accounts.get(ticket.tenant)):
            account.rejected += 1
        wait_us = self._estimate.retry_after_us(self.now, ticket)
        self.promises.make(self.now, ticket.fingerprint, ticket.tenant, class_queue, ticket.cost_us, wait_us)
        if self._cap_retry_after(wait_us) >= wait_us:
            target = ahead - rate * patience * TARGET_PATIENCE_SHARE
            self.promises.measure(self.now, class_queue, wait_us, target)
        return Rejection(RejectionReason.DEADLINE, exceeds_share, wait_us)

    def _exceeds_share(self, queue: Queue) -> bool:
        """Whether a single tenant's queue is the longest one while other tenants have open requests too."""
        if queue.is_shared or len(self.limits.usage) < 2:
            return False
        return self._longest_queue() is queue

    def _longest_queue(self) -> Queue | None:
        looked_up_us, queue = self._longest
        if queue is None or not queue.length or self.now - looked_up_us > LONGEST_QUEUE_CACHE_US:
            queue = self.round_robin.longest() if self.round_robin.length else None
            self._longest = self.now, queue
        return queue

    def _evict_newest(self, ticket: Ticket) -> bool:
        """Make room for ``ticket`` by rejecting a request of the longest queue.

        The rejected request is the newest one of the class with the least priority weight in that queue.
        Returns False, with nothing rejected, if the longest queue is not longer than the queue of ``ticket``
        would be with ``ticket`` added. The length of a queue is its queued work divided by its weight.
        """
        longest = self._longest_queue()
        weight = self.round_robin.weight
        if longest is None or longest is ticket.queue:
            return False
        queued_work = (ticket.queue.work_us + ticket.cost_us) / weight(ticket.queue)
        if longest.work_us / weight(longest) <= queued_work:
            return False
        victim = self.round_robin.newest(longest)
        wait_us = self._estimate.retry_after_us(self.now, victim)
        self._close_ticket(victim, False)
        self._reject(victim.number, Rejection(RejectionReason.EVICTED, True, wait_us))
        return True
