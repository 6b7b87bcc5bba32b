"""Scenario tests of admission control with a simulated fleet and a simulated clock."""

import random
from ipaddress import IPv6Address
from typing import Any

import pytest

from robinhill import api
from robinhill.admission import exported_state
from robinhill.admission.accounts import Accounts
from robinhill.admission.admission import Admission
from robinhill.admission.callers import BadNameError, Directory
from robinhill.admission.messages import AdmissionRequest, Admit, Reject
from robinhill.admission.options import AdmissionOptions, Limits, Network, Tenant
from robinhill.admission.window import MAX_UNPLACED_REQUESTS, MIN_SIZE

from .conftest import MS, S, klass
from .conftest import settings as node_settings

LOOKUP, RENEWAL = 0, 1  # job classes; RENEWAL has the higher priority weight
CLASSES = (
    klass(latency_objective_us=100 * MS, deadline_us=2 * S),
    klass(latency_objective_us=400 * MS, deadline_us=5 * S, priority_weight=8.0, repeat=api.Repeat.UNSAFE),
)


class Fleet:
    """Admission control with a simulated fleet that runs ``slots`` jobs at once, each for ``run_ms``."""

    def __init__(self, slots: int = 4, run_ms: int = 100, **options: Any) -> None:
        settings = node_settings(
            classes=CLASSES, retry_after=True, max_retry_after_us=60 * S, reports_start=True
        )
        self.admission = Admission(settings, AdmissionOptions(enabled=True, **options), 7, bytes(16))
        self.slots, self.run_ms = slots, run_ms
        self.now, self.number = 1_000 * S, 0
        self.unplaced: list[int] = []
        self.running: dict[int, int] = {}  # by number, the time at which the job ends
        self.names: dict[int, str] = {}
        self.served: list[str] = []
        self.rejected: dict[int, Reject] = {}
        # By tenant, the running time of its jobs where it differs from ``run_ms``.
        self.run_ms_by_tenant: dict[str, int] = {}

    def send(
        self, tenant: str | None = "a", job_class: int = LOOKUP, address: str = "10.0.0.1", key: str = ""
    ) -> int:  # fmt: skip
        self.number += 1
        caller = self.admission.directory.find(tenant, address, key or str(self.number))
        self.names[self.number] = caller.name
        left = CLASSES[job_class].deadline_us
        self.perform(
            self.admission.arrive(self.now, AdmissionRequest(self.number, job_class, caller, self.now, left))
        )
        return self.number

    def perform(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Admit):
                self.unplaced.append(action.number)
            else:
                assert action.number not in self.rejected
                self.rejected[action.number] = action
        while self.unplaced and len(self.running) < self.slots:
            number = self.unplaced.pop(0)
            self.running[number] = self.now + self.run_ms_by_tenant.get(self.names[number], self.run_ms) * MS
            self.perform(self.admission.placed(self.now, number))
            self.perform(self.admission.execution_started(self.now, number))

    def pass_time(self, ms: int) -> None:
        """Advance the clock; jobs end and admission's timers fire at their times."""
        until = self.now + ms * MS
        while True:
            due = [(at, number) for number, at in self.running.items()]
            timer = self.admission.next_us
            if timer is not None:
                due.append((max(timer, self.now + 1), 0))
            at, number = min(due, default=(until + 1, 0))
            if at > until:
                break
            self.now = max(self.now, at)
            if number:
                del self.running[number]
                self.served.append(self.names[number])
                self.perform(self.admission.ended(self.now, number, True))
            else:
                self.perform(self.admission.tick(self.now))
        self.now = until

    def count(self, tenant: str) -> int:
        return self.served.count(tenant)


def flood(fleet: Fleet, names: Any, seconds: float, small: tuple[str, ...] = ("s0", "s1", "s2")) -> int:
    """Send a request of a new tenant each millisecond, and one of each small tenant every 100 ms.

    Returns how many requests of the small tenants were served.
    """
    before = sum(fleet.count(s) for s in small)
    for step in range(int(seconds * 1000)):
        fleet.send(*names())
        if step % 100 == 0:
            for each in small:
                fleet.send(each)
        fleet.pass_time(1)
    return sum(fleet.count(s) for s in small) - before


@pytest.mark.parametrize("by", ["name", "address"])
def test_flood_of_new_tenants_uses_bounded_state_and_leaves_small_tenants_their_share(by: str) -> None:
    """Guards against unbounded state and starvation: 100,000 different tenants send requests.

    State stays bounded, and known tenants that use less than their share are served.
    """
    rng = random.Random(1)
    fleet = Fleet(slots=8, accounts=64, queued=200)
    for each in ("s0", "s1", "s2") * 10:  # these tenants get accounts before the flood
        fleet.send(each)
        fleet.pass_time(50)

    def new_tenant() -> tuple[str | None, int, str]:
        if by == "name":
            return str(rng.getrandbits(64)), LOOKUP, "10.0.0.1"
        return None, LOOKUP, str(IPv6Address(rng.getrandbits(128)))

    served = flood(fleet, new_tenant, 10)
    admission = fleet.admission
    assert served >= 0.9 * 300
    open_count = len(fleet.running) + len(fleet.unplaced) + admission.queued_count
    assert len(admission.accounts.by_tenant) <= 64
    assert len(admission.limits.usage) <= open_count == len(admission.tickets)
    assert len(admission.promises._expiries) <= 2 * 8192 + 1 and admission.promises.open_count <= 8192
    for _ in range(90_000):
        fleet.send(*new_tenant())
        fleet.now += 20
    assert len(admission.accounts.by_tenant) <= 64
    assert len(admission.limits.usage) <= len(admission.tickets) <= 300
    assert len(admission.promises._expiries) <= 2 * 8192 + 1


def test_early_retry_is_rejected_with_the_remaining_wait_and_keeps_its_promise() -> None:
    fleet = Fleet(slots=1, run_ms=400)
    for _ in range(4):
        fleet.send("b")
        fleet.pass_time(500)
    for _ in range(30):
        fleet.send("b")
        fleet.send("a")
    first = fleet.rejected[fleet.send("a", key="k")]
    retry_times = []
    for _ in range(20):
        fleet.now += 1 * MS
        retry_times.append(fleet.rejected[fleet.send("a", key="k")].retry_us)
    assert retry_times == sorted(retry_times, reverse=True) and retry_times[-1] == first.retry_us - 20 * MS
    assert fleet.admission.promises.by_fingerprint[
        fleet.admission.directory.find("a", "10.0.0.1", "k").fingerprint
    ]
    assert {fleet.rejected[n].reason.value for n in range(fleet.number - 19, fleet.number + 1)} == {"early"}


def test_caller_that_retries_at_the_promised_time_is_admitted() -> None:
    fleet = Fleet(slots=2, run_ms=200)
    waiting: list[tuple[int, str]] = []
    returned = accepted = 0
    for step in range(8_000):
        if step % 50 == 0:
            key = f"k{step}"
            if rejection := fleet.rejected.get(fleet.send("a", key=key)):
                waiting.append((fleet.now + rejection.retry_us, key))
        for at, key in [w for w in waiting if w[0] <= fleet.now]:
            waiting.remove((at, key))
            number, returned = fleet.send("a", key=key), returned + 1
            accepted += number not in fleet.rejected
        fleet.pass_time(1)
    assert returned > 20 and accepted >= 0.9 * returned
    promises = fleet.admission.promises
    assert promises.accurate >= 0.9 * (promises.accurate + promises.too_short + promises.too_long) > 0


def test_open_limit_bounds_a_tenant_that_sends_a_thousand_requests_at_once() -> None:
    fleet = Fleet(slots=4, limits=Limits(open=10, queued=5))
    numbers = [fleet.send("a") for _ in range(1000)]
    open_now = [n for n in numbers if n not in fleet.rejected]
    assert len(open_now) == 10
    rejections = [fleet.rejected[n] for n in numbers if n in fleet.rejected]
    assert all(r.tenant_limit and r.reason.value in ("open", "queued") and r.retry_us > 0 for r in rejections)
    other = fleet.send("b")
    assert other not in fleet.rejected


def test_tenants_share_the_fleet_by_work_and_not_by_requests() -> None:
    """Guards against counting requests: one tenant's jobs run a hundred times as long as the other's."""
    fleet = Fleet(slots=4, run_ms=20)
    fleet.run_ms_by_tenant["heavy"] = 2_000
    work = {"light": 0, "heavy": 0}
    for step in range(60_000):
        if step % 3 == 0:
            fleet.send("light")
            fleet.send("heavy", RENEWAL)
        for number in fleet.running:
            work[fleet.names[number]] += 1
        fleet.pass_time(1)
    assert work["light"] >= 0.8 * work["heavy"] > 0


def test_idle_tenant_accumulates_a_bounded_burst() -> None:
    fleet = Fleet(slots=1, run_ms=50)
    for each in ("idle", "busy") * 4:
        fleet.send(each)
        fleet.pass_time(120)
    for _ in range(400):  # a backlog of the other tenant while this one is idle
        fleet.send("busy", RENEWAL)
        fleet.pass_time(50)
    start = len(fleet.served)
    for _ in range(40):
        fleet.send("idle", RENEWAL)
        fleet.send("busy", RENEWAL)
    fleet.pass_time(1_000)
    since = fleet.served[start:]
    first_busy = since[1:].index("busy")
    assert first_busy <= 8
    assert abs(since.count("idle") - since.count("busy")) <= 8


def test_window_bounds_unplaced_requests_during_an_outage_of_all_workers() -> None:
    """Guards against a burst of requests at all workers when they are available again."""
    fleet = Fleet(slots=4)
    for _ in range(20):
        fleet.send("a")
        fleet.pass_time(60)
    fleet.slots = 0
    for i in range(300):
        fleet.send(f"t{i % 30}", RENEWAL)
        fleet.pass_time(5)
        assert len(fleet.unplaced) <= MAX_UNPLACED_REQUESTS
    assert fleet.admission.queued_count > 0 or fleet.rejected


def test_window_at_its_minimum_recovers_within_seconds() -> None:
    fleet = Fleet(slots=32, run_ms=100)
    window = fleet.admission.windows.windows[0]
    for _ in range(50):
        fleet.send("a")
        fleet.pass_time(20)
    window.size, window.slots = MIN_SIZE, MIN_SIZE  # the state after all workers were slow at the same time
    window.last_wait_us = fleet.now
    start = fleet.now
    while len(fleet.running) < 24 and fleet.now < start + 10 * S:
        for i in range(4):
            fleet.send(f"t{i}", RENEWAL)
        fleet.pass_time(5)
    assert fleet.now - start <= 5 * S


def test_lost_jobs_free_their_window_slots_when_overdue() -> None:
    """Guards against idle workers: jobs at unresponsive workers never end, and would occupy all slots until
    the deadlines of their clients.
    """
    fleet = Fleet(slots=4)
    for _ in range(30):
        fleet.send("a")
        fleet.pass_time(60)
    window = fleet.admission.windows.windows[0]
    window.slots = 4.0
    lost = [fleet.send("a", RENEWAL) for _ in range(4)]
    for number in lost:
        fleet.running.pop(number, None)
    queued = fleet.send("b", RENEWAL)
    assert fleet.admission.is_queued(queued)
    fleet.pass_time(3_000)
    later = fleet.send("b", RENEWAL)
    assert later in fleet.running


def test_clock_that_steps_back_is_treated_as_stopped() -> None:
    fleet = Fleet(slots=1, limits=Limits(requests_per_s=1.0))
    fleet.send("a")
    fleet.now -= 3_600 * S
    rejection = fleet.rejected[fleet.send("a")]
    assert rejection.tenant_limit and 0 < rejection.retry_us <= 1.1 * S
    fleet.now += 3_600 * S + 2 * S
    assert fleet.send("a") not in fleet.rejected


def test_rate_limiters_keep_their_levels_over_a_reload_and_a_hand_over() -> None:
    limits = Limits(requests_per_s=0.1, requests_burst=2)
    fleet = Fleet(tenants={"a": Tenant(limits=limits)})
    fleet.send("a")
    fleet.send("a")
    assert fleet.rejected[fleet.send("a")].reason.value == "requests"
    options = AdmissionOptions(enabled=True, tenants={"a": Tenant(weight=3, limits=limits)})
    fleet.perform(fleet.admission.configure(fleet.now, options))
    assert fleet.rejected[fleet.send("a")].reason.value == "requests"
    successor = Fleet(tenants={"a": Tenant(limits=limits)})
    exported_state.import_state(
        successor.admission, successor.now, exported_state.export_state(fleet.admission)
    )
    assert successor.rejected[successor.send("a")].reason.value == "requests"
    assert successor.send("b") not in successor.rejected


def test_successor_imports_accounts_costs_and_promises() -> None:
    fleet = Fleet(slots=1, run_ms=300)
    for _ in range(8):
        fleet.send("a")
        fleet.pass_time(400)
    for _ in range(30):
        fleet.send("a")
    rejection = fleet.rejected[fleet.send("a", key="k")]
    exported = exported_state.export_state(fleet.admission)
    successor = Fleet(slots=1, run_ms=300)
    exported_state.import_state(successor.admission, successor.now, exported)
    assert successor.admission.costs.by_class == fleet.admission.costs.by_class
    account = successor.admission.accounts.get(fleet.admission.directory.hash("a"))
    assert account and account.established and account.jobs >= 8
    successor.now = fleet.now + 1 * MS
    successor.slots = 0
    for _ in range(40):
        successor.send("b", RENEWAL)
    early = successor.rejected[successor.send("a", key="k")]
    assert early.reason.value == "early" and early.retry_us == rejection.retry_us - 1 * MS


def test_arrival_at_full_queues_evicts_the_newest_request_of_the_longest_queue() -> None:
    fleet = Fleet(slots=0, queued=10)
    for each in ("a", "b") * 4:  # both tenants get accounts
        fleet.slots = 4
        fleet.send(each)
        fleet.pass_time(200)
    fleet.slots = 0
    large = [fleet.send("a", RENEWAL) for _ in range(18)]
    assert fleet.admission.queued_count == 10
    small = fleet.send("b", RENEWAL)
    assert small not in fleet.rejected and fleet.rejected[large[-1]].reason.value == "pushed_out"
    assert fleet.rejected[large[-1]].tenant_limit
    assert fleet.rejected[fleet.send("a", RENEWAL)].reason.value in ("full", "time")


def test_request_of_more_priority_weight_precedes_queued_requests_of_other_tenants() -> None:
    fleet = Fleet(slots=0)
    for i in range(20):
        fleet.send(f"t{i}", LOOKUP)
    renewal = fleet.send("z", RENEWAL)
    fleet.slots = 9  # for the eight requests that are admitted already, and the next one
    fleet.perform([])
    assert renewal in fleet.running


def test_queued_requests_are_removed_at_disconnect_and_rejected_at_their_queue_deadline() -> None:
    fleet = Fleet(slots=0, queued=5)
    numbers = [fleet.send(f"t{i}", RENEWAL) for i in range(13)]
    assert fleet.admission.queued_count == 5
    fleet.perform(fleet.admission.client_disconnected(fleet.now, numbers[-1]))
    assert fleet.admission.queued_count == 4
    fleet.pass_time(10_000)
    assert fleet.admission.queued_count == 0 and all(n in fleet.rejected for n in numbers[8:12])
    assert all(not fleet.rejected[n].tenant_limit for n in numbers[8:12])


DIRECTORY = Directory(
    AdmissionOptions(
        networks=(
            Network("10.0.0.0/8", tenant="state"), Network("10.1.0.0/16", tenant="north"),
            Network("10.1.2.0/24", limits=Limits(open=1)), Network("2001:db8::/32", tenant="six"),
        ),
    ),
    bytes(16),
)  # fmt: skip


@pytest.mark.parametrize(
    "header, address, name, network",
    [
        ("club", "10.1.2.3", "club", 2),
        (None, "10.9.9.9", "state", 0),
        (None, "10.1.9.9", "north", 1),
        (None, "10.1.2.3", "10.1.2.0/24", 2),
        (None, "::ffff:10.1.9.9", "north", 1),
        (None, "2001:db8:1::1", "six", 3),
        (None, "2001:db9:1:2::1", "2001:db9:1::/48", -1),
        (None, "192.0.2.77", "192.0.2.0/24", -1),
        (None, "fe80::1%eth0", "fe80::/48", -1),
        (None, "?", "unknown", -1),
        (None, None, "unknown", -1),
    ],
)
def test_directory_finds_tenant_and_network_of_a_caller(
    header: str | None, address: str | None, name: str, network: int
) -> None:
    caller = DIRECTORY.find(header, address)
    assert (caller.name, caller.network) == (name, network)


@pytest.mark.parametrize("name", ["", "x" * 65, "a\x00b", "a\nb"])
def test_directory_rejects_empty_long_and_unprintable_names(name: str) -> None:
    with pytest.raises(BadNameError):
        DIRECTORY.find(name, "10.0.0.1")


def test_hash_of_a_name_depends_on_the_secret() -> None:
    """Guards against callers that construct names with the same hash as another tenant's."""
    other = Directory(AdmissionOptions(), b"another secret!!")
    assert DIRECTORY.hash("a") != other.hash("a")


def test_network_limit_applies_to_callers_of_all_tenants() -> None:
    """Guards against a flood from one network in which each request has a new tenant name."""
    network = Network("10.1.0.0/16", limits=Limits(requests_per_s=1, requests_burst=3))
    fleet = Fleet(slots=50, networks=(network,))
    numbers = [fleet.send(f"name-{i}", address="10.1.2.3") for i in range(10)]
    assert sum(n in fleet.rejected for n in numbers) == 7
    assert fleet.send("other", address="10.2.0.1") not in fleet.rejected


def test_default_limits_apply_to_tenants_without_an_account() -> None:
    fleet = Fleet(slots=50, limits=Limits(requests_per_s=1, requests_burst=2))
    numbers = [fleet.send("new") for _ in range(5)]
    assert sum(n in fleet.rejected for n in numbers) == 3
    assert fleet.send("newer") not in fleet.rejected


def test_accounts_retain_the_heaviest_tenants_at_bounded_size() -> None:
    admission = Fleet().admission
    accounts = Accounts(16)
    heavy = [admission.new_account(i, f"h{i}") for i in range(4)]
    for account in heavy:
        accounts.admit(account)
    for step in range(2_000):
        accounts.record_service(step * MS, heavy[step % 4], 1000.0)
        light = admission.new_account(1_000 + step, f"l{step}")
        if accounts.admit(light) is not light:
            accounts.record_service(step * MS, light, 100.0)
        assert len(accounts.by_tenant) <= 16
    assert {a.name for a in accounts.heaviest(4)} == {"h0", "h1", "h2", "h3"}


def test_request_that_bypasses_the_queue_leaves_its_tenants_queued_count_unchanged() -> None:
    """A request without time left is admitted immediately, while others of its tenant are queued."""
    fleet = Fleet(slots=1)
    for _ in range(20):
        fleet.send("a")
    admission = fleet.admission
    (usage,) = admission.limits.usage.values()
    before = usage.queued
    assert before == admission.queued_count > 0
    caller = admission.directory.find("a", "10.0.0.1", "late")
    actions = admission.arrive(fleet.now, AdmissionRequest(1_000, LOOKUP, caller, fleet.now, 0))
    assert [a.number for a in actions if isinstance(a, Admit)] == [1_000]
    assert usage.queued == admission.queued_count == before
