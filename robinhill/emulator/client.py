"""Clients of emulated tenants, which send requests at a rate of their own and may retry rejected ones.

The load is open-loop: the rate of new requests does not depend on the answers.
"""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Any

import aiohttp

from robinhill.checker.journal import EventType, Journal
from robinhill.emulator.site import JobKind, Site
from robinhill.emulator.worker import WORK_ATTRIBUTE

REJECTION_STATUSES = (429, 503)
MIN_RETRY_DELAY_S = 0.01  # applies also to clients that ignore Retry-After


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its load.

    ``retries`` is how often a rejected request is retried, each time under a fresh id. With
    ``honour_retry_after`` a retry waits for the time in Retry-After, otherwise it is sent at once.
    ``work_factor`` multiplies the length of the tenant's jobs.
    """

    name: str
    rate: float  # new requests per second
    retries: int = 0
    honour_retry_after: bool = True
    work_factor: float = 1.0
    kinds: tuple[str, ...] = ()  # requested classes, in proportion to their shares; empty: all of the site's


@dataclass(slots=True, frozen=True)
class PlannedArrival:
    """A planned request: its time in seconds after the start, tenant, class, and run time at speed 1."""

    at_s: float
    tenant: str
    kind: str
    work_s: float


@dataclass(slots=True)
class Try:
    """One HTTP request for a job, and its answer."""

    at: float  # monotonic time, in seconds, when the request was sent
    status: int = 0  # 0: no answer was received
    took_s: float = 0.0
    retry_after_s: float | None = None


@dataclass(slots=True)
class RequestedJob:
    """One job that a client requested, with the initial request and its retries in ``tries``."""

    tenant: str
    kind: JobKind
    work_s: float
    at: float = 0.0  # planned time of the first request, seconds after the start
    tries: list[Try] = field(default_factory=list)

    @property
    def in_time(self) -> bool:
        """Whether the last try succeeded within the latency objective, ``aim_ms + stretch * work``."""
        last = self.tries[-1]
        return last.status == 200 and last.took_s <= self.kind.aim_ms / 1000 + self.kind.stretch * self.work_s

    @property
    def worth(self) -> float:
        return self.kind.worth * self.work_s


class Clients:
    """Sends the requests of tenants to a scheduler. Arrival times are drawn from a seed, before the start."""

    def __init__(
        self, site: Site, address: Callable[[], str], journal: Journal, seed: int, header: str = "X-Tenant-Id"
    ) -> None:
        self.site = site
        self.address = address
        self.journal = journal
        self.random = random.Random(seed)
        self.header = header
        self.requested_jobs: list[RequestedJob] = []
        # The longest delay of a request past its planned time; a large value means that this machine was slow
        self.max_lateness_s = 0.0
        self._sequence = count()
        self._key_prefix = f"{seed:x}"
        self._pending_tasks: set[asyncio.Task[None]] = set()
        self._started_s = 0.0
        self._session: aiohttp.ClientSession | None = None

    async def play(self, tenants: list[Tenant], seconds: float) -> None:
        """Send the tenants' requests for this long, and wait until each has been answered or has failed."""
        arrivals = sorted(self._draw(tenants, seconds), key=lambda x: x[0])
        starts = [
            (
                at,
                partial(
                    self._request_as_tenant, RequestedJob(tenant.name, kind, work_s, at), tenant, seconds
                ),
            )
            for at, tenant, kind, work_s in arrivals
        ]
        await self._run_plan(starts)

    async def replay(
        self, planned: list[PlannedArrival], retries: int, back_off_s: float, factor: float
    ) -> None:
        """Send requests that were planned elsewhere, and retry rejected and failed ones as the model's
        clients do.

        The delay before retry ``n`` (from 0) is ``back_off_s * factor ** n`` times a random 0.5 to 1.5.
        """
        tenants = {p.tenant: Tenant(p.tenant, 0.0, retries) for p in planned}
        starts = []
        for p in planned:
            requested_job = RequestedJob(p.tenant, self.site.kind(p.kind), p.work_s, p.at_s)
            starts.append(
                (
                    p.at_s,
                    partial(
                        self._request_with_back_off, requested_job, tenants[p.tenant], back_off_s, factor
                    ),
                )
            )
        await self._run_plan(starts)

    async def _run_plan(
        self, starts: Sequence[tuple[float, Callable[[], Coroutine[Any, Any, None]]]]
    ) -> None:
        """Start each coroutine at its offset in seconds, and wait until all have finished."""
        self._started_s = time.monotonic()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as self._session:
            try:
                for offset, work in starts:
                    if (wait := self._started_s + offset - time.monotonic()) > 0:
                        await asyncio.sleep(wait)
                    else:
                        self.max_lateness_s = max(self.max_lateness_s, -wait)
                    self._spawn(work())
                while self._pending_tasks:
                    await asyncio.wait(self._pending_tasks)
            finally:
                for task in self._pending_tasks:  # tasks remain only if this run was cancelled
                    task.cancel()

    def _draw(self, tenants: list[Tenant], seconds: float) -> list[tuple[float, Tenant, JobKind, float]]:
        arrivals = []
        for tenant in tenants:
            kinds = [k for k in self.site.kinds if not tenant.kinds or k.name in tenant.kinds]
            shares, at = [k.share for k in kinds], 0.0
            while tenant.rate and (at := at + self.random.expovariate(tenant.rate)) < seconds:
                kind = self.random.choices(kinds, shares)[0]
                # Job lengths are log-normal and vary by a factor of about two around their mean.
                work_s = kind.work_ms / 1000 * tenant.work_factor * self.random.lognormvariate(-0.08, 0.4)
                arrivals.append((at, tenant, kind, work_s))
        return arrivals

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._pending_tasks.add(task)
        task.add_done_callback(self._pending_tasks.discard)

    async def _request_as_tenant(self, requested_job: RequestedJob, tenant: Tenant, seconds: float) -> None:
        """Request the job, and retry while it is rejected, as this tenant's settings allow.

        A retry that would start after the end of the load, ``seconds`` after its start, is not sent.
        """
        self.requested_jobs.append(requested_job)
        key = f"{self._key_prefix}{next(self._sequence):x}"
        for number in range(tenant.retries + 1):
            attempt = await self._try(tenant, requested_job.kind, requested_job.work_s, key, number)
            requested_job.tries.append(attempt)
            if attempt.status not in REJECTION_STATUSES or number == tenant.retries:
                return
            wait = (attempt.retry_after_s or 0.0) if tenant.honour_retry_after else 0.0
            if time.monotonic() + wait > self._started_s + seconds:
                return
            await asyncio.sleep(max(wait, MIN_RETRY_DELAY_S))

    async def _request_with_back_off(
        self, requested_job: RequestedJob, tenant: Tenant, back_off_s: float, factor: float
    ) -> None:
        """Request the job, and retry it with exponential backoff and jitter.

        A job that is safe to repeat is retried after any failure, an unsafe one only after a rejection.
        """
        self.requested_jobs.append(requested_job)
        key = f"{self._key_prefix}{next(self._sequence):x}"
        for number in range(tenant.retries + 1):
            attempt = await self._try(tenant, requested_job.kind, requested_job.work_s, key, number)
            requested_job.tries.append(attempt)
            safe = requested_job.kind.repeat == "retryable" or attempt.status in REJECTION_STATUSES
            if attempt.status == 200 or not safe or number == tenant.retries:
                return
            await asyncio.sleep(back_off_s * factor**number * self.random.uniform(0.5, 1.5))

    async def _try(self, tenant: Tenant, kind: JobKind, work_s: float, key: str, number: int) -> Try:
        assert self._session
        request_id = f"{key}-{number}"
        headers = {
            "X-Request-ID": request_id, "X-Priority-Class": kind.name, "X-Route-Key": key,
            "X-Timeout": f"{kind.deadline_ms}m", "X-Attrs": f"{WORK_ATTRIBUTE}{work_s * 1000:.3f}",
            self.header: tenant.name,
        }  # fmt: skip
        if number:
            headers["X-Retried"] = "1"
        attempt = Try(time.monotonic())
        timeout = aiohttp.ClientTimeout(total=kind.deadline_ms / 1000 + 1)
        self.journal.record(EventType.REQUESTED, request_id, kind=kind.name)
        try:
            async with self._session.post(
                f"http://{self.address()}/{kind.name}/x", data=b"work", headers=headers, timeout=timeout
            ) as response:
                await response.read()
                attempt.status = response.status
                retry_after = response.headers.get("Retry-After")
                attempt.retry_after_s = float(retry_after) if retry_after else None
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.journal.record(EventType.CLIENT_DISCONNECTED, request_id)
        else:
            self.journal.record(EventType.ANSWERED, request_id, status=attempt.status)
        attempt.took_s = time.monotonic() - attempt.at
        return attempt


def served_worth(requested_jobs: list[RequestedJob]) -> float:
    """The share of the requested worth that was answered in time; 1.0 if nothing was requested."""
    wanted = sum(a.worth for a in requested_jobs)
    return sum(a.worth for a in requested_jobs if a.in_time) / wanted if wanted else 1.0
