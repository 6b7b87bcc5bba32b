"""Logs and metrics show which endpoint list each attempt used and why requests were rejected."""

import asyncio

from robinhill.emulator.client import Clients, Tenant
from robinhill.emulator.program import LoopbackSite, loopback_site
from robinhill.emulator.site import free_address
from robinhill.net.metrics import Metrics
from robinhill.placement.list_lease import ListLease, ListOrigin

from .conftest import S

DEBUG = {"log": {"level": "debug", "lines_a_second": 10_000}}


def test_configured_list_has_no_age_until_discovery_confirms_it() -> None:
    lease = ListLease(version=41)
    assert lease.log_fields(5 * S) == {"list_origin": "configuration", "list_version": 41, "list_age_ms": -1}
    lease.renew(5 * S, 43)
    assert lease.log_fields(7 * S) == {"list_origin": "discovery", "list_version": 43, "list_age_ms": 2_000}


def test_metrics_report_list_version_and_age_and_counts_per_reason() -> None:
    metrics = Metrics(("lookup",))
    metrics.list_lease = ListLease()
    metrics.list_lease.renew(S, 43)
    metrics.sends[ListOrigin.DISCOVERY] += 2
    metrics.rejections["no_worker"] += 1
    metrics.retries["full"] += 1
    metrics.closes["client.late"] += 1
    lines = metrics.text(3 * S).splitlines()
    for line in (
        "app.sends.configuration:0|c", "app.sends.discovery:2|c", "app.list.version:43|g",
        "app.list.age_ms:2000|g", "app.refusals.no_worker:1|c", "app.retries.full:1|c",
        "app.closes.client.late:1|c",
    ):  # fmt: skip
        assert line in lines


def test_program_logs_list_version_per_attempt_and_reason_per_rejection() -> None:
    async def generate_load(setup: LoopbackSite) -> str:
        clients = Clients(setup.site, lambda: setup.program.listen, setup.journal, seed=3)
        await clients.play([Tenant("one", 40.0)], 1.0)
        metrics = (await setup.program.call("GET", "/ops/stats"))[1]
        assert "app.list.version:1|g" in metrics and "app.sends.discovery:" in metrics
        return setup.program.log.read_text()

    async def run() -> str:
        async with loopback_site(workers=1, slots=1, operator=DEBUG) as setup:
            return await generate_load(setup)

    text = asyncio.run(run())
    sent = [line for line in text.splitlines() if "event=attempt_sent" in line]
    assert sent and all("list_version=1" in line and "list_age_ms=" in line for line in sent)
    rejected = [line for line in text.splitlines() if "event=request_rejected" in line]
    assert rejected and all(" why=" in line for line in rejected)


def test_free_address_returns_each_address_once() -> None:
    addresses = [free_address() for _ in range(500)]
    assert len(set(addresses)) == len(addresses)
