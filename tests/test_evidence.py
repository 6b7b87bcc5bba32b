"""What an operator can read afterwards: by which list each attempt went out, and why things were ended."""

import asyncio

from robinhill.emulator.client import Clients, Tenant
from robinhill.emulator.program import Town, town
from robinhill.emulator.site import free_address
from robinhill.net.metrics import Metrics
from robinhill.placement.list_lease import ListLease, ListOrigin

from .conftest import S

DEBUG = {"log": {"level": "debug", "lines_a_second": 10_000}}


def test_a_list_of_the_configuration_has_no_age_until_discovery_confirms_it() -> None:
    lease = ListLease(version=41)
    assert lease.log_fields(5 * S) == {"list_origin": "configuration", "list_version": 41, "list_age_ms": -1}
    lease.renew(5 * S, 43)
    assert lease.log_fields(7 * S) == {"list_origin": "discovery", "list_version": 43, "list_age_ms": 2_000}


def test_figures_tell_the_lists_version_and_age_and_each_reason() -> None:
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


def test_each_attempt_and_refusal_of_the_program_is_logged_with_its_list() -> None:
    async def play(here: Town) -> str:
        clients = Clients(here.site, lambda: here.program.listen, here.journal, seed=3)
        await clients.play([Tenant("one", 40.0)], 1.0)
        metrics = (await here.program.call("GET", "/ops/stats"))[1]
        assert "app.list.version:1|g" in metrics and "app.sends.discovery:" in metrics
        return here.program.log.read_text()

    async def run() -> str:
        async with town(workers=1, slots=1, operator=DEBUG) as here:
            return await play(here)

    text = asyncio.run(run())
    sent = [line for line in text.splitlines() if "event=attempt_sent" in line]
    assert sent and all("list_version=1" in line and "list_age_ms=" in line for line in sent)
    refused = [line for line in text.splitlines() if "event=request_rejected" in line]
    assert refused and all(" why=" in line for line in refused)


def test_no_address_is_given_out_twice() -> None:
    given = [free_address() for _ in range(500)]
    assert len(set(given)) == len(given)
