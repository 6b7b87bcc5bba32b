"""Rate limits: token buckets, and shared limiters for tenants without an account, in bounded memory."""

from dataclasses import dataclass

from robinhill.admission.options import Limits

LIMITERS_PER_ROW = 4_096
ROW_COUNT = 2


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that may be overdrawn, as the work of a job is known only afterwards."""

    rate: float  # a second
    burst: float
    tokens: float = 0.0
    at_us: int = 0

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def fill(self, now: int) -> float:
        """The tokens at this time."""
        if now > self.at_us:
            self.tokens = min(self.burst, self.tokens + self.rate * (now - self.at_us) / 1e6)
            self.at_us = now
        return self.tokens

    def wait_us(self, now: int, need: float) -> int:
        """Microseconds until so many tokens are there, at most the burst; 0 if they are."""
        short = min(need, self.burst) - self.fill(now)
        return max(0, int(short / self.rate * 1e6) + 1) if short > 1e-9 else 0

    def take(self, amount: float) -> None:
        """Take tokens, also such as are not there."""
        self.tokens -= amount

    def adopt(self, other: "TokenBucket") -> None:
        """Continue at the level of a bucket that this one replaces, so that a reload grants no burst."""
        self.tokens, self.at_us = min(self.burst, other.tokens), other.at_us


@dataclass(slots=True)
class RateLimiter:
    """The limits of one tenant or network on requests and on work a second."""

    requests: TokenBucket | None
    work: TokenBucket | None  # in seconds

    def wait_us(self, now: int, cost_us: float) -> tuple[int, str]:
        """Microseconds until a request of this cost is within both rates, and the limiting one's name."""
        is_queued = [
            (self.requests.wait_us(now, 1.0) if self.requests else 0, "requests"),
            (self.work.wait_us(now, cost_us / 1e6) if self.work else 0, "work"),
        ]
        return max(is_queued, key=lambda x: x[0])

    def take(self, cost_us: float) -> None:
        """Charge a request."""
        if self.requests:
            self.requests.take(1.0)
        self.charge(cost_us)

    def charge(self, work_us: float) -> None:
        """Charge work beyond the estimate; give some back where it is negative."""
        if self.work:
            self.work.take(work_us / 1e6)

    def adopt(self, other: "RateLimiter | None") -> "RateLimiter":
        """This limiter at the levels of the one that it replaces."""
        if other:
            for bucket, other_bucket in ((self.requests, other.requests), (self.work, other.work)):
                if bucket and other_bucket:
                    bucket.adopt(other_bucket)
        return self


def limiter_for(limits: Limits) -> RateLimiter | None:
    """The limiter for these limits; None if they limit no rate."""
    requests = work = None
    if limits.requests_per_s:
        requests = TokenBucket(
            limits.requests_per_s, limits.requests_burst or max(1.0, limits.requests_per_s)
        )
    if limits.work_per_s:
        work = TokenBucket(limits.work_per_s, limits.work_burst or limits.work_per_s)
    return RateLimiter(requests, work) if requests or work else None


class SharedRateLimiters:
    """Rate limiters by hash for tenants without an account, in bounded memory.

    A tenant has a limiter in each row, shared with the tenants of the same hash. It is over its limit only
    where all of them are, so a heavy neighbour in one row does it no harm. They are created on first use.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.limited = limiter_for(limits) is not None
        self._limiters: dict[int, RateLimiter] = {}

    def _of(self, tenant: int) -> list[RateLimiter]:
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
        """As `RateLimiter.wait_us`, for a tenant."""
        if not self.limited:
            return 0, ""
        return min((m.wait_us(now, cost_us) for m in self._of(tenant)), key=lambda x: x[0])

    def take(self, tenant: int, cost_us: float) -> None:
        """Charge a request of a tenant."""
        for limiter in self._of(tenant) if self.limited else ():
            limiter.take(cost_us)

    def charge(self, tenant: int, work_us: float) -> None:
        """Charge a tenant work beyond the estimate."""
        for limiter in self._of(tenant) if self.limited else ():
            limiter.charge(work_us)
