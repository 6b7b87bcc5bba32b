"""Enforcement of limits by tenant and by network: open requests, queued requests, and rates.

This module counts requests and charges rate limiters. What happens to a request that exceeds a limit is
decided in admission.py.
"""

from collections import Counter
from dataclasses import dataclass

from robinhill.admission.accounts import Account
from robinhill.admission.buckets import RateLimiter, SharedRateLimiters, limiter_for
from robinhill.admission.messages import Rejection, RejectionReason
from robinhill.admission.options import AdmissionOptions
from robinhill.admission.queues import Ticket

_RATE_REJECTIONS = {"requests": RejectionReason.REQUEST_RATE, "work": RejectionReason.WORK_RATE}
RATE_REASONS = frozenset(_RATE_REJECTIONS.values())


@dataclass(slots=True)
class TenantUsage:
    """Counts of a tenant's requests; the entry is removed when the last open request is closed."""

    open: int = 0  # accepted requests without a final answer, queued ones included
    queued: int = 0


class UsageLimits:
    """The usage of tenants and networks, checked against the limits in the operators' file."""

    def __init__(self, options: AdmissionOptions) -> None:
        self.options = options
        self.usage: dict[int, TenantUsage] = {}
        self.network_limiters: dict[str, RateLimiter] = {}
        self.shared_limiters = SharedRateLimiters(options.limits)
        self._open_by_network: Counter[str] = Counter()

    def configure(self, options: AdmissionOptions) -> None:
        """Replace the options, and update the rate limiters of networks and the shared ones.

        Rate limiters keep their levels, except shared ones if the default limits change.
        """
        if options.limits != self.options.limits:
            self.shared_limiters = SharedRateLimiters(options.limits)
        self.options = options
        limiters = {}
        for entry in options.networks:
            if limiter := limiter_for(entry.limits):
                limiters[entry.network] = limiter.adopt(self.network_limiters.get(entry.network))
        self.network_limiters = limiters

    def check(self, now: int, ticket: Ticket, account: Account | None) -> Rejection | None:
        """The rejection of a request whose tenant or network has reached a limit; None if neither has."""
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
        return Rejection(_RATE_REJECTIONS[rate], True, wait_us) if wait_us else None

    def open(self, ticket: Ticket, account: Account | None) -> None:
        """Count an accepted request as open, and charge it with its estimated cost to the rate limiters."""
        self.usage.setdefault(ticket.tenant, TenantUsage()).open += 1
        if account is None:
            self.shared_limiters.consume(ticket.tenant, ticket.cost_us)
        elif account.limiter:
            account.limiter.consume(ticket.cost_us)
        if ticket.network >= 0:
            self._open_by_network[self._network(ticket)] += 1
            if limiter := self._network_limiter(ticket):
                limiter.consume(ticket.cost_us)

    def close(self, ticket: Ticket) -> None:
        """Stop counting a request that has ended or was removed from its queue."""
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
        """Charge work beyond the estimate to the rate limiters; a negative amount is refunded."""
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
        """The network of a ticket's caller, by its index in the options.

        Returns "" if a reload of the options has shortened the list since the caller was identified.
        """
        listed = self.options.networks
        return listed[ticket.network].network if ticket.network < len(listed) else ""

    def _network_limiter(self, ticket: Ticket) -> RateLimiter | None:
        return self.network_limiters.get(self._network(ticket)) if ticket.network >= 0 else None
