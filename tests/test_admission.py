"""Admission's hard cases, each caused by hand on a clock of its own."""

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

LOOKUP, RENEWAL = 0, 1
CLASSES = (
    klass(latency_objective_us=100 * MS, deadline_us=2 * S),
    klass(latency_objective_us=400 * MS, deadline_us=5 * S, priority_weight=8.0, repeat=api.Repeat.UNSAFE),
)


class Fleet:
    """Admission control and a fleet behind it that runs so many jobs at once, each for ``run_ms``."""

    def __init__(self, slots: int = 4, run_ms: int = 100, **options: Any) -> None:
        settings = node_settings(
            classes=CLASSES, retry_after=True, max_retry_after_us=60 * S, reports_start=True
        )
        self.admission = Admission(settings, AdmissionOptions(enabled=True, **options), 7, bytes(16))
        self.slots, self.run_ms = slots, run_ms
        self.now, self.number = 1_000 * S, 0
        self.unplaced: list[int] = []
        self.running: dict[int, int] = {}  # until when
        self.names: dict[int, str] = {}
        self.served: list[str] = []
        self.refused: dict[int, Reject] = {}
        self.run_by: dict[str, int] = {}  # tenants whose jobs take another time

    def ask(
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
                assert action.number not in self.refused
                self.refused[action.number] = action
        while self.unplaced and len(self.running) < self.slots:
            number = self.unplaced.pop(0)
            self.running[number] = self.now + self.run_by.get(self.names[number], self.run_ms) * MS
            self.perform(self.admission.placed(self.now, number))
            self.perform(self.admission.execution_started(self.now, number))

    def pass_time(self, ms: int) -> None:
        """Jobs end, and admission's timers fire, each at its time."""
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
    """A request of a new name each millisecond beside small tenants that ask for a part of the fleet; what
    the small ones were served."""
    before = sum(fleet.count(s) for s in small)
    for step in range(int(seconds * 1000)):
        fleet.ask(*names())
        if step % 100 == 0:
            for each in small:
                fleet.ask(each)
        fleet.pass_time(1)
    return sum(fleet.count(s) for s in small) - before


@pytest.mark.parametrize("by", ["name", "address"])
def test_a_flood_of_names_keeps_its_size_and_leaves_the_small_their_share(by: str) -> None:
    """100,000 names in all cost bounded state; known tenants, asking for less than their share, are
    served.
    """
    rng = random.Random(1)
    fleet = Fleet(slots=8, accounts=64, queued=200)
    for each in ("s0", "s1", "s2") * 10:  # they have been here before
        fleet.ask(each)
        fleet.pass_time(50)

    def stranger() -> tuple[str | None, int, str]:
        if by == "name":
            return str(rng.getrandbits(64)), LOOKUP, "10.0.0.1"
        return None, LOOKUP, str(IPv6Address(rng.getrandbits(128)))

    served = flood(fleet, stranger, 10)
    admission = fleet.admission
    assert served >= 0.9 * 300
    held = len(fleet.running) + len(fleet.unplaced) + admission.queued_count
    assert len(admission.accounts.by_tenant) <= 64
    assert len(admission.limits.usage) <= held == len(admission.tickets)
    assert len(admission.promises._expiries) <= 2 * 8192 + 1 and admission.promises.open_count <= 8192
    for _ in range(90_000):
        fleet.ask(*stranger())
        fleet.now += 20
    assert len(admission.accounts.by_tenant) <= 64
    assert len(admission.limits.usage) <= len(admission.tickets) <= 300
    assert len(admission.promises._expiries) <= 2 * 8192 + 1


def test_who_returns_at_once_gains_nothing_and_loses_nothing() -> None:
    """An impatient caller is told what is left of its time; the place it was promised stays its own."""
    fleet = Fleet(slots=1, run_ms=400)
    for _ in range(4):
        fleet.ask("b")
        fleet.pass_time(500)
    for _ in range(30):
        fleet.ask("b")
        fleet.ask("a")
    first = fleet.refused[fleet.ask("a", key="k")]
    told = []
    for _ in range(20):
        fleet.now += 1 * MS
        told.append(fleet.refused[fleet.ask("a", key="k")].retry_us)
    assert told == sorted(told, reverse=True) and told[-1] == first.retry_us - 20 * MS
    assert fleet.admission.promises.by_fingerprint[
        fleet.admission.directory.find("a", "10.0.0.1", "k").fingerprint
    ]
    assert {fleet.refused[n].reason.value for n in range(fleet.number - 19, fleet.number + 1)} == {"early"}


def test_who_comes_back_when_told_is_let_in() -> None:
    fleet = Fleet(slots=2, run_ms=200)
    waiting: list[tuple[int, str]] = []
    returned = kept = 0
    for step in range(8_000):
        if step % 50 == 0:
            key = f"k{step}"
            if refusal := fleet.refused.get(fleet.ask("a", key=key)):
                waiting.append((fleet.now + refusal.retry_us, key))
        for at, key in [w for w in waiting if w[0] <= fleet.now]:
            waiting.remove((at, key))
            number, returned = fleet.ask("a", key=key), returned + 1
            kept += number not in fleet.refused
        fleet.pass_time(1)
    assert returned > 20 and kept >= 0.9 * returned
    told = fleet.admission.promises
    assert told.accurate >= 0.9 * (told.accurate + told.too_short + told.too_long) > 0


def test_a_thousand_connections_of_one_tenant_take_a_bounded_part() -> None:
    fleet = Fleet(slots=4, limits=Limits(open=10, queued=5))
    numbers = [fleet.ask("a") for _ in range(1000)]
    open_now = [n for n in numbers if n not in fleet.refused]
    assert len(open_now) == 10
    refusals = [fleet.refused[n] for n in numbers if n in fleet.refused]
    assert all(r.tenant_limit and r.reason.value in ("open", "queued") and r.retry_us > 0 for r in refusals)
    other = fleet.ask("b")
    assert other not in fleet.refused


def test_work_and_not_requests_are_shared() -> None:
    """Jobs a hundred times as heavy as their class's mean: their tenant gets its time, and not a hundred
    times it.
    """
    fleet = Fleet(slots=4, run_ms=20)
    fleet.run_by["heavy"] = 2_000
    work = {"light": 0, "heavy": 0}
    for step in range(60_000):
        if step % 3 == 0:
            fleet.ask("light")
            fleet.ask("heavy", RENEWAL)
        for number in fleet.running:
            work[fleet.names[number]] += 1
        fleet.pass_time(1)
    assert work["light"] >= 0.8 * work["heavy"] > 0


def test_an_idle_tenant_saves_up_a_burst_and_no_more() -> None:
    fleet = Fleet(slots=1, run_ms=50)
    for each in ("idle", "busy") * 4:
        fleet.ask(each)
        fleet.pass_time(120)
    for _ in range(400):  # minutes of another's backlog
        fleet.ask("busy", RENEWAL)
        fleet.pass_time(50)
    start = len(fleet.served)
    for _ in range(40):
        fleet.ask("idle", RENEWAL)
        fleet.ask("busy", RENEWAL)
    fleet.pass_time(1_000)
    since = fleet.served[start:]
    first_busy = since[1:].index("busy")
    assert first_busy <= 8
    assert abs(since.count("idle") - since.count("busy")) <= 8


def test_after_an_outage_a_few_go_in_and_no_herd() -> None:
    """Every worker silent, then all back: what the module has at hand is bounded by the windows."""
    fleet = Fleet(slots=4)
    for _ in range(20):
        fleet.ask("a")
        fleet.pass_time(60)
    fleet.slots = 0
    for i in range(300):
        fleet.ask(f"t{i % 30}", RENEWAL)
        fleet.pass_time(5)
        assert len(fleet.unplaced) <= MAX_UNPLACED_REQUESTS
    assert fleet.admission.queued_count > 0 or fleet.refused


def test_a_window_that_fell_recovers_within_seconds() -> None:
    fleet = Fleet(slots=32, run_ms=100)
    window = fleet.admission.windows.windows[0]
    for _ in range(50):
        fleet.ask("a")
        fleet.pass_time(20)
    window.size, window.slots = MIN_SIZE, MIN_SIZE  # as a shared slowdown left it
    window.last_wait_us = fleet.now
    begun = fleet.now
    while len(fleet.running) < 24 and fleet.now < begun + 10 * S:
        for i in range(4):
            fleet.ask(f"t{i}", RENEWAL)
        fleet.pass_time(5)
    assert fleet.now - begun <= 5 * S


def test_lost_jobs_hold_their_places_for_a_while_only() -> None:
    """Workers that fell silent never end their jobs: the others must not idle until the clients give up."""
    fleet = Fleet(slots=4)
    for _ in range(30):
        fleet.ask("a")
        fleet.pass_time(60)
    window = fleet.admission.windows.windows[0]
    window.slots = 4.0
    lost = [fleet.ask("a", RENEWAL) for _ in range(4)]
    for number in lost:
        fleet.running.pop(number, None)
    waits = fleet.ask("b", RENEWAL)
    assert fleet.admission.is_queued(waits)
    fleet.pass_time(3_000)
    later = fleet.ask("b", RENEWAL)
    assert later in fleet.running


def test_a_clock_that_steps_back_is_taken_to_stand_still() -> None:
    fleet = Fleet(slots=1, limits=Limits(requests_per_s=1.0))
    fleet.ask("a")
    fleet.now -= 3_600 * S
    refusal = fleet.refused[fleet.ask("a")]
    assert refusal.tenant_limit and 0 < refusal.retry_us <= 1.1 * S
    fleet.now += 3_600 * S + 2 * S
    assert fleet.ask("a") not in fleet.refused


def test_limits_go_on_at_their_levels_over_a_reload_and_a_hand_over() -> None:
    limits = Limits(requests_per_s=0.1, requests_burst=2)
    fleet = Fleet(tenants={"a": Tenant(limits=limits)})
    fleet.ask("a")
    fleet.ask("a")
    assert fleet.refused[fleet.ask("a")].reason.value == "requests"
    options = AdmissionOptions(enabled=True, tenants={"a": Tenant(weight=3, limits=limits)})
    fleet.perform(fleet.admission.configure(fleet.now, options))
    assert fleet.refused[fleet.ask("a")].reason.value == "requests"
    successor = Fleet(tenants={"a": Tenant(limits=limits)})
    exported_state.import_state(
        successor.admission, successor.now, exported_state.export_state(fleet.admission)
    )
    assert successor.refused[successor.ask("a")].reason.value == "requests"
    assert successor.ask("b") not in successor.refused


def test_a_successor_knows_tenants_costs_and_promises() -> None:
    fleet = Fleet(slots=1, run_ms=300)
    for _ in range(8):
        fleet.ask("a")
        fleet.pass_time(400)
    for _ in range(30):
        fleet.ask("a")
    refusal = fleet.refused[fleet.ask("a", key="k")]
    told = exported_state.export_state(fleet.admission)
    successor = Fleet(slots=1, run_ms=300)
    exported_state.import_state(successor.admission, successor.now, told)
    assert successor.admission.costs.by_class == fleet.admission.costs.by_class
    account = successor.admission.accounts.get(fleet.admission.directory.hash("a"))
    assert account and account.established and account.jobs >= 8
    successor.now = fleet.now + 1 * MS
    successor.slots = 0
    for _ in range(40):
        successor.ask("b", RENEWAL)
    early = successor.refused[successor.ask("a", key="k")]
    assert early.reason.value == "early" and early.retry_us == refusal.retry_us - 1 * MS


def test_a_full_queue_puts_out_the_newest_of_the_longest_queue() -> None:
    fleet = Fleet(slots=0, queued=10)
    for each in ("a", "b") * 4:  # both have been served before
        fleet.slots = 4
        fleet.ask(each)
        fleet.pass_time(200)
    fleet.slots = 0
    large = [fleet.ask("a", RENEWAL) for _ in range(18)]
    assert fleet.admission.queued_count == 10
    small = fleet.ask("b", RENEWAL)
    assert small not in fleet.refused and fleet.refused[large[-1]].reason.value == "pushed_out"
    assert fleet.refused[large[-1]].tenant_limit
    assert fleet.refused[fleet.ask("a", RENEWAL)].reason.value in ("full", "time")


def test_a_renewal_goes_before_other_tenants_reports() -> None:
    fleet = Fleet(slots=0)
    for i in range(20):
        fleet.ask(f"t{i}", LOOKUP)
    renewal = fleet.ask("z", RENEWAL)
    fleet.slots = 9  # the eight at hand in the module, and the next
    fleet.perform([])
    assert renewal in fleet.running


def test_refusals_end_with_the_time_and_the_places_of_those_that_left_are_free() -> None:
    fleet = Fleet(slots=0, queued=5)
    numbers = [fleet.ask(f"t{i}", RENEWAL) for i in range(13)]
    assert fleet.admission.queued_count == 5
    fleet.perform(fleet.admission.client_disconnected(fleet.now, numbers[-1]))
    assert fleet.admission.queued_count == 4
    fleet.pass_time(10_000)
    assert fleet.admission.queued_count == 0 and all(n in fleet.refused for n in numbers[8:12])
    assert all(not fleet.refused[n].tenant_limit for n in numbers[8:12])


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
def test_the_caller_is_found(header: str | None, address: str | None, name: str, network: int) -> None:
    caller = DIRECTORY.find(header, address)
    assert (caller.name, caller.network) == (name, network)


@pytest.mark.parametrize("name", ["", "x" * 65, "a\x00b", "a\nb"])
def test_a_name_that_is_none_is_an_error(name: str) -> None:
    with pytest.raises(BadNameError):
        DIRECTORY.find(name, "10.0.0.1")


def test_names_can_not_be_aimed_without_the_secret() -> None:
    other = Directory(AdmissionOptions(), b"another secret!!")
    assert DIRECTORY.hash("a") != other.hash("a")


def test_a_network_limits_all_that_come_from_it_whatever_they_call_themselves() -> None:
    """Guards against a flood of names from one place: its names are new, its network is not."""
    network = Network("10.1.0.0/16", limits=Limits(requests_per_s=1, requests_burst=3))
    fleet = Fleet(slots=50, networks=(network,))
    numbers = [fleet.ask(f"name-{i}", address="10.1.2.3") for i in range(10)]
    assert sum(n in fleet.refused for n in numbers) == 7
    assert fleet.ask("other", address="10.2.0.1") not in fleet.refused


def test_strangers_are_limited_without_an_account() -> None:
    fleet = Fleet(slots=50, limits=Limits(requests_per_s=1, requests_burst=2))
    numbers = [fleet.ask("new") for _ in range(5)]
    assert sum(n in fleet.refused for n in numbers) == 3
    assert fleet.ask("newer") not in fleet.refused


def test_the_sketch_keeps_the_heavy_and_bounds_the_rest() -> None:
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


def test_what_goes_in_unqueued_takes_nothing_from_its_tenants_count_of_those_that_wait() -> None:
    """A request of which no time is left goes in at once, past others of its tenant that wait."""
    fleet = Fleet(slots=1)
    for _ in range(20):
        fleet.ask("a")
    admission = fleet.admission
    (present,) = admission.limits.usage.values()
    before = present.queued
    assert before == admission.queued_count > 0
    caller = admission.directory.find("a", "10.0.0.1", "late")
    actions = admission.arrive(fleet.now, AdmissionRequest(1_000, LOOKUP, caller, fleet.now, 0))
    assert [a.number for a in actions if isinstance(a, Admit)] == [1_000]
    assert present.queued == admission.queued_count == before
