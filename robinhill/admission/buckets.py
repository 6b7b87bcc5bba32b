"""Rate limiters: token buckets, and a hashed table of limiters shared by tenants without an account."""

from dataclasses import dataclass

from robinhill.admission.options import Limits

LIMITERS_PER_ROW = 4_096
ROW_COUNT = 2


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that may be overdrawn, because the work of a job is known only after it has run."""

    rate: float  # tokens per second
    burst: float  # maximum number of tokens
    tokens: float = 0.0
    at_us: int = 0  # time of the last refill

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def refill(self, now: int) -> float:
        """Refill the bucket up to ``now``; returns the tokens in it, which may be negative."""
        if now > self.at_us:
            self.tokens = min(self.burst, self.tokens + self.rate * (now - self.at_us) / 1e6)
            self.at_us = now
        return self.tokens

    def wait_us(self, now: int, need: float) -> int:
        """Microseconds until ``need`` tokens, or ``burst`` if less, are available; 0 if they already are."""
        missing = min(need, self.burst) - self.refill(now)
        return max(0, int(missing / self.rate * 1e6) + 1) if missing > 1e-9 else 0

    def consume(self, amount: float) -> None:
        """Remove tokens; the level may become negative."""
        self.tokens -= amount

    def adopt(self, other: "TokenBucket") -> None:
        """Take over the level of the bucket that this one replaces, so that a reload grants no new burst."""
        self.tokens, self.at_us = min(self.burst, other.tokens), other.at_us


@dataclass(slots=True)
class RateLimiter:
    """The rate limits of one tenant or network: requests per second, and seconds of work per second."""

    requests: TokenBucket | None
    work: TokenBucket | None  # a token is one second of a worker's time

    def wait_us(self, now: int, cost_us: float) -> tuple[int, str]:
        """Microseconds until both rates allow a request of this cost, and the name of the limiting rate."""
        waits = [
            (self.requests.wait_us(now, 1.0) if self.requests else 0, "requests"),
            (self.work.wait_us(now, cost_us / 1e6) if self.work else 0, "work"),
        ]
        return max(waits, key=lambda x: x[0])

    def consume(self, cost_us: float) -> None:
        """Charge one request and its estimated work."""
        if self.requests:
            self.requests.consume(1.0)
        self.charge(cost_us)

    def charge(self, work_us: float) -> None:
        """Charge work beyond the estimate; a negative amount is refunded."""
        if self.work:
            self.work.consume(work_us / 1e6)

    def adopt(self, other: "RateLimiter | None") -> "RateLimiter":
        """Take over the levels of the limiter that this one replaces, if any; returns this limiter."""
        if other:
            for bucket, other_bucket in ((self.requests, other.requests), (self.work, other.work)):
                if bucket and other_bucket:
                    bucket.adopt(other_bucket)
        return self


def limiter_for(limits: Limits) -> RateLimiter | None:
    """Create the rate limiter for ``limits``; None if they contain no rate."""
    requests = work = None
    if limits.requests_per_s:
        requests = TokenBucket(
            limits.requests_per_s, limits.requests_burst or max(1.0, limits.requests_per_s)
        )
    if limits.work_per_s:
        work = TokenBucket(limits.work_per_s, limits.work_burst or limits.work_per_s)
    return RateLimiter(requests, work) if requests or work else None


class SharedRateLimiters:
    """Rate limiters for tenants without an account, in bounded memory.

    The table has several rows. A tenant's hash selects one limiter in each row, which it shares with other
    tenants. A request of the tenant exceeds the limit only if all its limiters are exhausted, so another
    tenant that exhausts just one of them has no effect on it. Limiters are created on first use.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.limited = limiter_for(limits) is not None
        self._limiters: dict[int, RateLimiter] = {}

    def _limiters_of(self, tenant: int) -> list[RateLimiter]:
        found = []
        for row in range(ROW_COUNT):
            index = row * LIMITERS_PER_ROW + (tenant >> 16 * row) % LIMITERS_PER_ROW
            if (limiter := self._limiters.get(index)) is None:
                limiter = limiter_for(self.limits)
                assert limiter
                self._limiters[index] = limiter
            found.append(limiter)
        return found

    def wait_us(self, now: int, tenant: int, cost_us: float) -> tuple[int, str]:
        """The shortest `RateLimiter.wait_us` of the tenant's limiters; (0, "") if no rate is limited."""
        if not self.limited:
            return 0, ""
        return min((m.wait_us(now, cost_us) for m in self._limiters_of(tenant)), key=lambda x: x[0])

    def consume(self, tenant: int, cost_us: float) -> None:
        """Charge one request and its estimated work to all limiters of a tenant."""
        for limiter in self._limiters_of(tenant) if self.limited else ():
            limiter.consume(cost_us)

    def charge(self, tenant: int, work_us: float) -> None:
        """Charge work beyond the estimate to all limiters of a tenant; a negative amount is refunded."""
        for limiter in self._limiters_of(tenant) if self.limited else ():
            limiter.charge(work_us)
