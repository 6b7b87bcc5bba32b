"""`robinhill demo`: run a scheduler, workers, discovery and clients on loopback, with a live table."""

import asyncio
import signal
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

import click
import orjson

from robinhill import config, logs
from robinhill.checker.rules import find_violations
from robinhill.commands.exit_codes import FAULTY
from robinhill.config_types import ConfigError
from robinhill.emulator.client import Clients, RequestedJob, Tenant, served_worth
from robinhill.emulator.program import LoopbackSite, loopback_site
from robinhill.emulator.site import Site

Json = dict[str, Any]
REFRESH_S = 1.0
# The number of small tenants beside one large tenant, and the load of all tenants as a multiple of the
# workers' capacity.
SMALL_COUNT, LOAD_FACTOR = 8, 1.3
LARGE_SHARE = 0.6  # share of the load that the large tenant requests
ADMISSION: Json = {"admission": {"enabled": True}}


def show(seconds: float, workers: int, operator: str | None) -> int:
    """Run the demo for ``seconds``, or until Ctrl-C. ``operator``: an operators' file, None for the default.

    Returns the exit code: 1 if the checker found a broken rule or the scheduler failed, 2 if the operators'
    file is faulty.
    """
    given = ADMISSION
    if operator:
        logs.configure()
        try:
            config.read_operator(operator)
        except ConfigError as e:
            print(f"robinhill: {e}", file=sys.stderr)
            return FAULTY
        given = orjson.loads(Path(operator).read_bytes())
    return asyncio.run(_play(seconds, workers, given))


async def _play(seconds: float, workers: int, operator: Json) -> int:
    site = Site()
    async with loopback_site(site, workers=workers, operator=operator) as here:
        rate = LOAD_FACTOR * here.slots / (site.mean_work_ms / 1000)
        tenants = [Tenant("large-club", rate * LARGE_SHARE, retries=2)]
        tenants += [
            Tenant(f"club-{i}", rate * (1 - LARGE_SHARE) / SMALL_COUNT, retries=2) for i in range(SMALL_COUNT)
        ]
        clients = Clients(site, lambda: here.program.listen, here.journal, seed=1)
        playing = asyncio.get_running_loop().create_task(clients.play(tenants, seconds))
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, stop.set)
        click.echo(
            f"{workers} workers, {len(tenants)} tenants, load {LOAD_FACTOR:g} times the fleet's capacity."
        )
        waiting = asyncio.get_running_loop().create_task(stop.wait())
        while not playing.done() and not stop.is_set():
            await asyncio.wait([playing, waiting], timeout=REFRESH_S, return_when=asyncio.FIRST_COMPLETED)
            if sys.stdout.isatty():
                click.clear()
                click.echo(await _table(here, clients.requested_jobs))
        stopped = stop.is_set()
        waiting.cancel()
        if stopped:
            playing.cancel()
        await asyncio.wait([playing, waiting])
        click.echo(await _table(here, clients.requested_jobs))
        unsafe = [k.name for k in site.kinds if k.repeat == "fragile"]
        violations = find_violations(here.journal, unsafe, ended=not stopped)
        code = await here.program.stop()
    click.echo(f"The scheduler exited with {code}; rules broken: {len(violations)}.")
    for violation in violations[:10]:
        click.echo(f"  {violation}")
    return 1 if violations or code else 0


async def _table(here: LoopbackSite, asked: list[RequestedJob]) -> str:
    """A table with the requests of each tenant, the jobs of each worker and the state of admission."""
    lines = ["tenant         jobs  served rejected   worth in time"]
    by_tenant: dict[str, list[RequestedJob]] = defaultdict(list)
    for each in asked:
        if each.tries:
            by_tenant[each.tenant].append(each)
    for name in sorted(by_tenant):
        tenant_jobs = by_tenant[name]
        served = sum(a.tries[-1].status == 200 for a in tenant_jobs)
        rejected = sum(t.status in (429, 503) for a in tenant_jobs for t in a.tries)
        lines.append(
            f"{name:12} {len(tenant_jobs):6} {served:7} {rejected:8}   {served_worth(tenant_jobs):8.0%}"
        )
    lines.append("worker         jobs  running  waiting")
    for worker in here.workers:
        jobs = here.journal.started_jobs[worker.name]
        lines.append(f"{worker.name:12} {jobs:6} {len(worker.running):8} {len(worker.waiting):8}")
    status, text = await here.program.call("GET", "/ops/admission")
    if status == 200:
        admission = orjson.loads(text)
        why = ", ".join(f"{reason} {n}" for reason, n in admission["refused"].items()) or "none"
        lines.append(
            f"admission: {admission['queued']} queued, {admission['let_in']} admitted; rejected {why}"
        )
    return "\n".join(lines)
