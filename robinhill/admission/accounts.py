"""Exact accounts for the heaviest tenants only: a space-saving sketch (Metwally, Agrawal, El Abbadi 2005)."""

from dataclasses import dataclass, field
from heapq import heapify, heappush, heapreplace
from math import exp

from robinhill.admission.buckets import RateLimiter
from robinhill.admission.queues import Queue

USAGE_DECAY_US = 600_000_000  # after which served work counts 1/e
ESTABLISHED_JOBS = 3  # served jobs, from which on a tenant has a queue of its own
RATIO_STEP = 0.2
MIN_RATIO = 0.02
MAX_RATIO = 500.0
RESCALE_ABOVE = 1e200  # forward decay: counts grow with time and are scaled back before they overflow


@dataclass(slots=True, eq=False)
class Account:
    """A tenant that was served: its queue, its rate limiter and the cost of its jobs."""

    tenant: int
    name: str
    queue: Queue
    limiter: RateLimiter | None
    pinned: bool = False  # named in the operators' file
    count: float = 0.0  # served work, in the sketch's scale
    error: float = (
        0.0  # of the count, what may be another tenant's: the count of the account that it replaced
    )
    jobs: int = 0
    ratio: float = 1.0  # its jobs' running time over their classes'
    served_us: float = 0.0  # work since the start, for operators
    rejected: int = 0

    @property
    def established(self) -> bool:
        """Whether it has a queue of its own."""
        return self.pinned or self.jobs >= ESTABLISHED_JOBS

    def learn(self, ratio: float) -> None:
        """A job took ``ratio`` times its class's running time."""
        self.ratio += (min(max(ratio, MIN_RATIO), MAX_RATIO) - self.ratio) * RATIO_STEP


@dataclass(slots=True, eq=False)
class Accounts:
    """At most ``capacity`` accounts beside the pinned ones; a newly served tenant replaces the lightest.

    A tenant with more than 1/capacity of the served work is always among them, whatever names come.
    """

    capacity: int
    by_tenant: dict[int, Account] = field(default_factory=dict)
    start_us: int = 0
    pinned: int = 0
    _heap: list[tuple[float, int]] = field(default_factory=list)  # counts as of when they were pushed

    def get(self, tenant: int) -> Account | None:
        """The account of a tenant, if it has one."""
        return self.by_tenant.get(tenant)

    def pin(self, account: Account) -> None:
        """Keep an account whatever it is served."""
        self.pinned += not account.pinned
        account.pinned = True
        self.by_tenant[account.tenant] = account

    def unpin(self, account: Account) -> None:
        """Let an account be replaced again; it keeps its count."""
        account.pinned = False
        self.pinned -= 1
        account.jobs = max(account.jobs, ESTABLISHED_JOBS)
        heappush(self._heap, (account.count, account.tenant))

    def reset(self, start_us: int) -> None:
        """Start empty, on the scale of another process."""
        self.by_tenant, self.start_us, self.pinned, self._heap = {}, start_us, 0, []

    def restore(self, account: Account) -> None:
        """Add an account that another process has exported."""
        self.by_tenant[account.tenant] = account
        heappush(self._heap, (account.count, account.tenant))

    def scale(self, now: int) -> float:
        """What a unit of work adds to a count now; counts are only compared with each other."""
        if not self.start_us:
            self.start_us = now
        return exp(min(700.0, (now - self.start_us) / USAGE_DECAY_US))

    def serve(self, now: int, account: Account, work_us: float) -> None:
        """Count served work."""
        scale = self.scale(now)
        if scale > RESCALE_ABOVE:
            for each in self.by_tenant.values():
                each.count, each.error = each.count / scale, each.error / scale
            self.start_us, scale = now, 1.0
            self._rebuild()
        account.count += work_us * scale
        account.served_us += work_us
        account.jobs += 1

    def admit(self, account: Account) -> Account | None:
        """Add a new account, in place of the lightest at capacity; returns the removed one, if any.

        Returns the new one itself where the lightest is in use, as requests refer to its queue.
        """
        if len(self.by_tenant) - self.pinned >= self.capacity:
            lightest = self._lightest()
            if lightest is None or lightest.queue.busy:
                return account
            del self.by_tenant[lightest.tenant]
            account.count = account.error = lightest.count
            self.by_tenant[account.tenant] = account
            heapreplace(self._heap, (account.count, account.tenant))
            return lightest
        self.by_tenant[account.tenant] = account
        heappush(self._heap, (account.count, account.tenant))
        return None

    def heaviest(self, count: int) -> list[Account]:
        """The accounts that were recently served most."""
        return sorted(self.by_tenant.values(), key=lambda a: -(a.count - a.error))[:count]

    def _rebuild(self) -> None:
        self._heap = [(a.count, t) for t, a in self.by_tenant.items() if not a.pinned]
        heapify(self._heap)

    def _lightest(self) -> Account | None:
        """The account with the least count; stale entries of the heap are updated on the way."""
        while self._heap:
            count, tenant = self._heap[0]
            account = self.by_tenant.get(tenant)
            if account is None or account.pinned:
                self._rebuild()
            elif account.count > count:
                heapreplace(self._heap, (account.count, tenant))
            else:
                return account
        return None
