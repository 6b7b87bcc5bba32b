"""The checker detects each broken rule, and the scheduler breaks none while emulated workers fail."""

import asyncio

import pytest

from robinhill.checker.journal import Event, EventType, Journal
from robinhill.checker.rules import find_violations
from robinhill.emulator.client import Clients, Tenant
from robinhill.emulator.program import loopback_site
from robinhill.emulator.site import Site

REQUESTED, ANSWERED, DISCONNECTED, SENT = (
    EventType.REQUESTED,
    EventType.ANSWERED,
    EventType.CLIENT_DISCONNECTED,
    EventType.SENT,
)
RETURNED, ENDED, CANCELLED = EventType.RETURNED, EventType.ENDED, EventType.CANCELLED
UNSAFE = ["renewal-charge"]


def journal(*events: tuple[EventType, str, int]) -> Journal:
    """A journal of one renewal-charge request. Its events have a worker and a status and are 0.1 s apart."""
    made = Journal()
    for number, (what, worker, status) in enumerate(events):
        made.events.append(Event(number / 10, what, "j", worker, status, "renewal-charge"))
    return made


@pytest.mark.parametrize(
    "events, message",
    [
        ([(REQUESTED, "", 0), (SENT, "a", 0), (ENDED, "a", 0), (ANSWERED, "", 200)], ""),
        ([(REQUESTED, "", 0), (SENT, "a", 0), (RETURNED, "a", 0), (SENT, "b", 0), (ENDED, "b", 0),
          (ANSWERED, "", 200)], ""),
        ([(REQUESTED, "", 0), (DISCONNECTED, "", 0)], ""),
        ([(REQUESTED, "", 0)], "never answered"),
        ([(REQUESTED, "", 0), (ANSWERED, "", 503), (ANSWERED, "", 503)], "answered 2 times"),
        ([(REQUESTED, "", 0), (SENT, "a", 0), (ANSWERED, "", 200)], "without the result of a worker"),
        ([(REQUESTED, "", 0), (SENT, "a", 0), (SENT, "b", 0), (ENDED, "a", 0), (ANSWERED, "", 200)],
         "while at a"),
        ([(REQUESTED, "", 0), (SENT, "a", 0), (CANCELLED, "a", 0), (SENT, "b", 0), (ENDED, "b", 0),
          (ANSWERED, "", 200)], "sent again though it may have run"),
        ([(REQUESTED, "", 0), (SENT, "a", 0), (ENDED, "a", 0), (ANSWERED, "", 503)], "refused though"),
        ([(REQUESTED, "", 0), (SENT, "a", 0), (RETURNED, "a", 0), (ANSWERED, "", 503)], ""),
    ],
)  # fmt: skip
def test_checker_reports_broken_rules(events: list[tuple[EventType, str, int]], message: str) -> None:
    found = find_violations(journal(*events), UNSAFE)
    assert (message in found[0]) if message else not found


def test_checker_reports_sends_to_draining_workers_and_overloaded_workers() -> None:
    made = Journal(
        [Event(1.0, EventType.DRAINING, worker="a"), Event(1.4, SENT, "j", "a"), Event(1.7, SENT, "k", "a")]
    )
    (late,) = find_violations(made, UNSAFE)
    assert "a got k 0.70 s after" in late
    made.events.append(Event(2.0, EventType.STARTED, worker="a"))
    made.events.append(Event(3.0, SENT, "l", "a"))
    assert len(find_violations(made, UNSAFE)) == 1
    made.events.append(Event(4.0, EventType.OVERLOADED, worker="a"))
    assert "more than its slow start allows" in find_violations(made, UNSAFE)[-1]


def test_admission_limits_the_burst_after_all_workers_were_unreachable() -> None:
    """All workers stop responding under load and restart cold at once, while hundreds of requests are queued.

    Guards against a thundering herd: no worker is overloaded, every request gets one answer, and the fleet
    serves again.
    """

    async def play() -> tuple[list[str], int]:
        site = Site(cold_s=3.0)
        async with loopback_site(site, workers=3, operator={"admission": {"enabled": True}}) as here:
            clients = Clients(site, lambda: here.program.listen, here.journal, seed=5)
            tenants = [Tenant(f"t{i}", 8.0, retries=1) for i in range(8)]
            playing = asyncio.get_running_loop().create_task(clients.play(tenants, 6.0))
            while here.journal.started_jobs.total() < 40:
                await asyncio.sleep(0.05)
            for worker in here.workers:
                worker.stop_responding()
            while sum(e.what is REQUESTED for e in here.journal.events) < 200:
                await asyncio.sleep(0.05)
            before = here.journal.started_jobs.total()
            for worker in here.workers:
                worker.restart()
                here.discovery.publish(worker)
            await playing
            assert await here.program.stop() == 0
            return find_violations(here.journal, UNSAFE), here.journal.started_jobs.total() - before

    broken_rules, served_after = asyncio.run(play())
    assert not broken_rules and served_after > 0


def test_draining_worker_gets_no_new_jobs_with_admission_enabled() -> None:
    async def play() -> list[str]:
        async with loopback_site(workers=3, operator={"admission": {"enabled": True}}) as here:
            clients = Clients(here.site, lambda: here.program.listen, here.journal, seed=6)
            playing = asyncio.get_running_loop().create_task(
                clients.play([Tenant("a", 30.0, honour_retry_after=False, retries=1), Tenant("b", 5.0)], 4.0)
            )
            while here.journal.started_jobs.total() < 20:
                await asyncio.sleep(0.05)
            here.discovery.publish(here.workers[0], "leaving")
            await playing
            assert any(e.what is EventType.DRAINING for e in here.journal.events)
            assert await here.program.stop() == 0
            return find_violations(here.journal, UNSAFE)

    assert not asyncio.run(play())
