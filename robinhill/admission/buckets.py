"""Rate limits: token buckets, and cells that stand for the buckets of tenants too many to keep."""

from dataclasses import dataclass

from robinhill.admission.options import Limits

CELLS = 4_096
ROWS = 2


@dataclass(slots=True)
class TokenBucket:
    """Tokens that come at a rate and are kept up to a burst. May be overdrawn: work is known afterwards."""

    rate: float  # a second
    burst: float
    tokens: float = 0.0
    at_us: int = 0

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def fill(self, now: int) -> float:
        """The tokens there are at this time."""
        if now > self.at_us:
            self.tokens = min(self.burst, self.tokens + self.rate * (now - self.at_us) / 1e6)
            self.at_us = now
        return self.tokens

    def wait_us(self, now: int, need: float) -> int:
        """How long until that many are there, 0 if they are; never more than the burst is asked for."""
        short = min(need, self.burst) - self.fill(now)
        return max(0, int(short / self.rate * 1e6) + 1) if short > 1e-9 else 0

    def take(self, amount: float) -> None:
        self.tokens -= amount

    def adopt(self, other: "TokenBucket") -> None:
        """Go on at the level of a bucket that this one replaces: a reload is no new burst."""
        self.tokens, self.at_us = min(self.burst, other.tokens), other.at_us


@dataclass(slots=True)
class RateLimiter:
    """The two rates of one tenant or network."""

    requests: TokenBucket | None
    work: TokenBucket | None  # in seconds

    def wait_us(self, now: int, cost_us: float) -> tuple[int, str]:
        """How long until a request of this cost is within both, and which of them is short."""
        is_queued = [
            (self.requests.wait_us(now, 1.0) if self.requests else 0, "requests"),
            (self.work.wait_us(now, cost_us / 1e6) if self.work else 0, "work"),
        ]
        return max(is_queued, key=lambda x: x[0])

    def take(self, cost_us: float) -> None:
        if self.requests:
            self.requests.take(1.0)
        self.charge(cost_us)

    def charge(self, work_us: float) -> None:
        """Work beyond what was taken at first; back, where it is negative."""
        if self.work:
            self.work.take(work_us / 1e6)

    def adopt(self, other: "RateLimiter | None") -> "RateLimiter":
        """This meter at the other's levels."""
        if other:
            for bucket, other_bucket in ((self.requests, other.requests), (self.work, other.work)):
                if bucket and other_bucket:
                    bucket.adopt(other_bucket)
        return self


def limiter_for(limits: Limits) -> RateLimiter | None:
    """The buckets that these limits ask for; None if they limit no rate."""
    requests = work = None
    if limits.requests_per_s:
        requests = TokenBucket(
            limits.requests_per_s, limits.requests_burst or max(1.0, limits.requests_per_s)
        )
    if limits.work_per_s:
        work = TokenBucket(limits.work_per_s, limits.work_burst or limits.work_per_s)
    return RateLimiter(requests, work) if requests or work else None


class SharedRateLimiters:
    """Meters by hash for tenants without an account, in bounded memory.

    A tenant has a cell in each row, shared with whoever meets it there. It is over its limit only where all
    its cells are: a heavy neighbour in one row alone does it no harm. Cells are made as they are met.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.limited = limiter_for(limits) is not None
        self._limiters: dict[int, RateLimiter] = {}

    def _of(self, tenant: int) -> list[RateLimiter]:
        found = []
        for row in range(ROWS):
            index = row * CELLS + (tenant >> 16 * row) % CELLS
            if (cell := self._limiters.get(index)) is None:
                cell = limiter_for(self.limits)
                assert cell
                self._limiters[index] = cell
            found.append(cell)
        return found

    def wait_us(self, now: int, tenant: int, cost_us: float) -> tuple[int, str]:
        if not self.limited:
            return 0, ""
        return min((m.wait_us(now, cost_us) for m in self._of(tenant)), key=lambda x: x[0])

    def take(self, tenant: int, cost_us: float) -> None:
        for cell in self._of(tenant) if self.limited else ():
            cell.take(cost_us)

    def charge(self, tenant: int, work_us: float) -> None:
        for cell in self._of(tenant) if self.limited else ():
            cell.charge(work_us)
