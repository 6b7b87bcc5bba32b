"""Limits of tenants and networks: how many requests they have open and queued, and their rates.

It counts what is open and charges rate limiters; what becomes of a request beyond a limit is admission's.
"""

from collections import Counter
from dataclasses import dataclass

from robinhill.admission.accounts import Account
from robinhill.admission.buckets import RateLimiter, SharedRateLimiters, limiter_for
from robinhill.admission.messages import Rejection, RejectionReason
from robinhill.admission.options import AdmissionOptions
from robinhill.admission.queues import Ticket

_RATES = {"requests": RejectionReason.REQUEST_RATE, "work": RejectionReason.WORK_RATE}
RATE_REASONS = frozenset(_RATES.values())


@dataclass(slots=True)
class TenantUsage:
    """A tenant's requests in admission control; forgotten with the last one."""

    open: int = 0
    queued: int = 0


class UsageLimits:
    """Usage by tenant and network, against the limits of the operators' file."""

    def __init__(self, options: AdmissionOptions) -> None:
        self.options = options
        self.usage: dict[int, TenantUsage] = {}
        self.network_limiters: dict[str, RateLimiter] = {}
        self.shared_limiters = SharedRateLimiters(options.limits)
        self._open_by_network: Counter[str] = Counter()

    def configure(self, options: AdmissionOptions) -> None:
        """Use other options from now on; limiters keep their levels."""
        if options.limits != self.options.limits:
            self.shared_limiters = SharedRateLimiters(options.limits)
        self.options = options
        limiters = {}
        for entry in options.networks:
            if limiter := limiter_for(entry.limits):
                limiters[entry.network] = limiter.adopt(self.network_limiters.get(entry.network))
        self.network_limiters = limiters

    def check(self, now: int, ticket: Ticket, account: Account | None) -> Rejection | None:
        """The rejection of a request whose tenant or network is at a limit; None within all limits."""
        if reason := self._count_at_limit(ticket):
            return Rejection(reason, True, int(ticket.cost_us))
        waits = []
        if account is None:
            waits.append(self.shared_limiters.wait_us(now, ticket.tenant, ticket.cost_us))
        elif account.limiter:
            waits.append(account.limiter.wait_us(now, ticket.cost_us))
        if limiter := self._network_limiter(ticket):
            waits.append(limiter.wait_us(now, ticket.cost_us))
        wait_us, rate = max(waits, default=(0, ""))
        return Rejection(_RATES[rate], True, wait_us) if wait_us else None

    def open(self, ticket: Ticket, account: Account | None) -> None:
        """Count a request and charge its estimated cost."""
        self.usage.setdefault(ticket.tenant, TenantUsage()).open += 1
        if account is None:
            self.shared_limiters.take(ticket.tenant, ticket.cost_us)
        elif account.limiter:
            account.limiter.take(ticket.cost_us)
        if ticket.network >= 0:
            self._open_by_network[self._network(ticket)] += 1
            if limiter := self._network_limiter(ticket):
                limiter.take(ticket.cost_us)

    def close(self, ticket: Ticket) -> None:
        """A request has ended, or its queue has dropped it."""
        usage = self.usage[ticket.tenant]
        usage.open -= 1
        if not ticket.admitted_us:
            usage.queued -= 1
        if not usage.open:
            del self.usage[ticket.tenant]
        if ticket.network >= 0:
            network = self._network(ticket)
            self._open_by_network[network] -= 1
            if self._open_by_network[network] <= 0:
                del self._open_by_network[network]

    def charge(self, ticket: Ticket, account: Account | None, work_us: float) -> None:
        """Charge work beyond the estimate; give some back where it is negative."""
        if account is None:
            self.shared_limiters.charge(ticket.tenant, work_us)
        elif account.limiter:
            account.limiter.charge(work_us)
        if limiter := self._network_limiter(ticket):
            limiter.charge(work_us)

    def _count_at_limit(self, ticket: Ticket) -> RejectionReason | None:
        limits, usage = self.options.limits_of(ticket.name), self.usage.get(ticket.tenant)
        if usage and limits.open and usage.open >= limits.open:
            return RejectionReason.OPEN
        if usage and limits.queued and usage.queued >= limits.queued:
            return RejectionReason.QUEUED
        if ticket.network >= 0:
            entry = self.options.networks[ticket.network]
            if entry.limits.open and self._open_by_network[entry.network] >= entry.limits.open:
                return RejectionReason.OPEN
        return None

    def _network(self, ticket: Ticket) -> str:
        """The ticket's network; a reload may have changed the table since its caller was found."""
        listed = self.options.networks
        return listed[ticket.network].network if ticket.network < len(listed) else ""

    def _network_limiter(self, ticket: Ticket) -> RateLimiter | None:
        return self.network_limiters.get(self._network(ticket)) if ticket.network >= 0 else None
