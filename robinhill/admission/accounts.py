"""Accounts of the tenants with the most served work: a space-saving sketch.

After Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and top-k elements in data streams"
(2005).
"""

from dataclasses import dataclass, field
from heapq import heapify, heappush, heapreplace
from math import exp

from robinhill.admission.buckets import RateLimiter
from robinhill.admission.queues import Queue

USAGE_DECAY_US = 600_000_000  # time constant of the exponential decay of served work
ESTABLISHED_JOBS = 3  # a tenant gets a queue of its own after this number of served jobs
RATIO_STEP = 0.2  # weight of the job that ended last in the tenant's mean cost ratio
# The ratio of a single job is limited to the range from MIN_RATIO to MAX_RATIO.
MIN_RATIO = 0.02
MAX_RATIO = 500.0
# The scale of the counts grows with time (forward decay, see `Accounts.scale`). Once it exceeds this value,
# all counts are divided by it, so that they never overflow.
RESCALE_ABOVE = 1e200


@dataclass(slots=True, eq=False)
class Account:
    """The queue, the rate limiter and the learned job cost of a tenant that has been served."""

    tenant: int
    name: str
    queue: Queue
    limiter: RateLimiter | None
    pinned: bool = False  # the operators' file names the tenant
    count: float = 0.0  # served work (us); each job's work is multiplied by `Accounts.scale` when it is added
    error: float = 0.0  # part of `count` copied from the replaced account, possibly another tenant's work
    jobs: int = 0  # number of served jobs
    ratio: float = 1.0  # mean ratio of the running time of the tenant's jobs to the mean of their class
    served_us: float = 0.0  # work served since the process started, reported to operators
    # Rejections by a rate limit, and because of the estimated wait while the tenant exceeds its share;
    # reported to operators.
    rejected: int = 0

    @property
    def established(self) -> bool:
        """Whether the tenant uses its own queue instead of a shared one."""
        return self.pinned or self.jobs >= ESTABLISHED_JOBS

    def learn(self, ratio: float) -> None:
        """Update the tenant's cost ratio with a job that took ``ratio`` times the mean of its class."""
        self.ratio += (min(max(ratio, MIN_RATIO), MAX_RATIO) - self.ratio) * RATIO_STEP


@dataclass(slots=True, eq=False)
class Accounts:
    """The pinned accounts, of tenants in the operators' file, and at most ``capacity`` other accounts.

    At capacity, the account of a newly served tenant replaces the unpinned one with the lowest ``count``.
    A tenant with more than 1/capacity of the served work always has an account, however many distinct tenant
    names callers send.
    """

    capacity: int
    by_tenant: dict[int, Account] = field(default_factory=dict)
    start_us: int = 0  # time at which the scale of the counts is 1; 0: no work has been recorded yet
    pinned: int = 0  # number of pinned accounts
    _heap: list[tuple[float, int]] = field(default_factory=list)  # (count when pushed, tenant)

    def get(self, tenant: int) -> Account | None:
        """The account of a tenant; None if it has none."""
        return self.by_tenant.get(tenant)

    def pin(self, account: Account) -> None:
        """Add an account, or mark an existing one, so that it is never replaced."""
        self.pinned += not account.pinned
        account.pinned = True
        self.by_tenant[account.tenant] = account

    def unpin(self, account: Account) -> None:
        """Make an account replaceable again; it retains its count, and the tenant its own queue."""
        account.pinned = False
        self.pinned -= 1
        account.jobs = max(account.jobs, ESTABLISHED_JOBS)
        heappush(self._heap, (account.count, account.tenant))

    def reset(self, start_us: int) -> None:
        """Remove all accounts, and adopt the time origin of another process's counts."""
        self.by_tenant, self.start_us, self.pinned, self._heap = {}, start_us, 0, []

    def restore(self, account: Account) -> None:
        """Add an account exported by another process."""
        self.by_tenant[account.tenant] = account
        heappush(self._heap, (account.count, account.tenant))

    def scale(self, now: int) -> float:
        """The amount that one unit of work adds to a count at ``now``.

        It grows exponentially, which is equivalent to a decay of older work, as counts are only compared with
        each other.
        """
        if not self.start_us:
            self.start_us = now
        return exp(min(700.0, (now - self.start_us) / USAGE_DECAY_US))

    def record_service(self, now: int, account: Account, work_us: float) -> None:
        """Add one served job with ``work_us`` of work to an account."""
        scale = self.scale(now)
        if scale > RESCALE_ABOVE:
            for other in self.by_tenant.values():
                other.count, other.error = other.count / scale, other.error / scale
            self.start_us, scale = now, 1.0
            self._rebuild()
        account.count += work_us * scale
        account.served_us += work_us
        account.jobs += 1

    def admit(self, account: Account) -> Account | None:
        """Add a new account; at capacity it replaces the unpinned one with the lowest count.

        Returns the replaced account; None if no account had to be replaced. If requests or promises still
        refer to the queue of the account to replace, the new account is not added, and is returned itself.
        """
        if len(self.by_tenant) - self.pinned >= self.capacity:
            lightest = self._lightest()
            if lightest is None or lightest.queue.in_use:
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
        """The ``count`` accounts with the most served work, in descending order; older work weighs less."""
        return sorted(self.by_tenant.values(), key=lambda a: -(a.count - a.error))[:count]

    def _rebuild(self) -> None:
        self._heap = [(a.count, t) for t, a in self.by_tenant.items() if not a.pinned]
        heapify(self._heap)

    def _lightest(self) -> Account | None:
        """The unpinned account with the lowest count; None if there is none. Updates stale heap entries."""
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
