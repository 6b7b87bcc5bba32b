"""Exact accounts for the heaviest tenants only: a space-saving sketch (Metwally, Agrawal, El Abbadi 2005)."""

from dataclasses import dataclass, field
from heapq import heapify, heappush, heapreplace
from math import exp

from robinhill.admission.buckets import RateLimiter
from robinhill.admission.queues import Queue

FORGET_US = 600_000_000  # what a tenant was served counts 1/e after ten minutes
ESTABLISHED_JOBS = 3  # served jobs that make a name a tenant with a queue of its own
RATIO_STEP = 0.2
RATIO_MOST = 500.0
RENORMAL = 1e200  # forward decay: counts grow with time and are scaled back before they overflow


@dataclass(slots=True, eq=False)
class Account:
    """A tenant that was served: its queue, its limits' levels and what its jobs take."""

    tenant: int
    name: str
    queue: Queue
    limiter: RateLimiter | None
    pinned: bool = False  # named by staff
    count: float = 0.0  # served work, in the sketch's scale
    error: float = 0.0  # of it, what may be another's: the count of the account that it replaced
    jobs: int = 0
    ratio: float = 1.0  # its jobs' running time over their classes'
    served_us: float = 0.0  # work in all, for staff
    rejected: int = 0

    @property
    def established(self) -> bool:
        """Whether it has a queue of its own."""
        return self.pinned or self.jobs >= ESTABLISHED_JOBS

    def learn(self, ratio: float) -> None:
        self.ratio += (min(max(ratio, 0.02), RATIO_MOST) - self.ratio) * RATIO_STEP


@dataclass(slots=True, eq=False)
class Accounts:
    """At most ``capacity`` accounts beside the pinned ones; the lightest makes room for a name that is
    served.

    A tenant with more than 1/capacity of the served work is always among them, whatever names come.
    """

    capacity: int
    by_tenant: dict[int, Account] = field(default_factory=dict)
    start_us: int = 0
    pinned: int = 0
    _heap: list[tuple[float, int]] = field(default_factory=list)  # counts as they were when last looked at

    def get(self, tenant: int) -> Account | None:
        return self.by_tenant.get(tenant)

    def pin(self, account: Account) -> None:
        self.pinned += not account.pinned
        account.pinned = True
        self.by_tenant[account.tenant] = account

    def unpin(self, account: Account) -> None:
        """A tenant that staff name no longer: it keeps what it was served."""
        account.pinned = False
        self.pinned -= 1
        account.jobs = max(account.jobs, ESTABLISHED_JOBS)
        heappush(self._heap, (account.count, account.tenant))

    def reset(self, start_us: int) -> None:
        """Begin with none, on another's scale."""
        self.by_tenant, self.start_us, self.pinned, self._heap = {}, start_us, 0, []

    def restore(self, account: Account) -> None:
        """Take in an account as another process kept it."""
        self.by_tenant[account.tenant] = account
        heappush(self._heap, (account.count, account.tenant))

    def scale(self, now: int) -> float:
        """What a unit of work adds to a count now; counts are only compared with each other."""
        if not self.start_us:
            self.start_us = now
        return exp(min(700.0, (now - self.start_us) / FORGET_US))

    def serve(self, now: int, account: Account, work_us: float) -> None:
        """It was served so much."""
        scale = self.scale(now)
        if scale > RENORMAL:
            for each in self.by_tenant.values():
                each.count, each.error = each.count / scale, each.error / scale
            self.start_us, scale = now, 1.0
            self._rebuild()
        account.count += work_us * scale
        account.served_us += work_us
        account.jobs += 1

    def admit(self, account: Account) -> Account | None:
        """Take a new account in, for the lightest one if there is no room; what was put out, if any.

        Refuses (returns the new one itself) where the lightest is in use: its requests wait in its queue.
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

    def heaviest(self, most: int) -> list[Account]:
        """Those that were served most of late."""
        return sorted(self.by_tenant.values(), key=lambda a: -(a.count - a.error))[:most]

    def _rebuild(self) -> None:
        self._heap = [(a.count, t) for t, a in self.by_tenant.items() if not a.pinned]
        heapify(self._heap)

    def _lightest(self) -> Account | None:
        """The top of the heap, once its count is not out of date."""
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
