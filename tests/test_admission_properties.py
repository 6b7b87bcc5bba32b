"""Admission control under arbitrary interleavings of arrivals, starts, ends, disconnects, timers, reloads."""

from collections import defaultdict
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from robinhill import api
from robinhill.admission.admission import Admission
from robinhill.admission.messages import AdmissionRequest, Admit, Reject
from robinhill.admission.options import AdmissionOptions, Limits, Tenant
from robinhill.admission.queues import MAX_SAVED_QUANTA, DeficitRoundRobin, Queue, Ticket

from .conftest import MS, S, klass
from .conftest import settings as node_settings

CLASSES = (
    klass(latency_objective_us=100 * MS, deadline_us=2 * S),
    klass(latency_objective_us=400 * MS, deadline_us=5 * S, priority_weight=8.0, repeat=api.Repeat.UNSAFE),
)
SETTINGS = node_settings(classes=CLASSES, retry_after=True, max_retry_after_us=10 * S, reports_start=True)
TENANTS = ("a", "b", "c", "d", "e")
OPTIONS = (
    AdmissionOptions(enabled=True, queued=12, queues=4, hand=2, accounts=8),
    AdmissionOptions(enabled=True, queued=5, queues=8, hand=3, accounts=8, tenants={"a": Tenant(weight=3)}),
    AdmissionOptions(enabled=True, queued=12, queues=4, hand=2, limits=Limits(requests_per_s=20, open=6)),
    AdmissionOptions(enabled=False),
)


class AdmissionMachine(RuleBasedStateMachine):
    """Sends arbitrary events to admission control, and checks each action and the state after each event."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000 * S
        self.number = 0
        self.state: dict[int, str] = {}  # queued, admitted, placed or running; removed once answered

    @initialize(options=st.sampled_from(OPTIONS))
    def begin(self, options: AdmissionOptions) -> None:
        self.admission = Admission(SETTINGS, options, 7, bytes(16))

    def perform(self, actions: list[Any]) -> None:
        for action in actions:
            assert self.state[action.number] == "queued", "action for a request that is not queued"
            if isinstance(action, Admit):
                self.state[action.number] = "admitted"
            else:
                assert isinstance(action, Reject) and 0 <= action.retry_us <= 10 * S
                del self.state[action.number]

    def draw_number(self, data: Any, *states: str) -> int | None:
        matching = [n for n, state in self.state.items() if state in states]
        return data.draw(st.sampled_from(matching)) if matching else None

    @rule(
        tenant=st.sampled_from(TENANTS), job_class=st.integers(0, 1), left=st.integers(1, 5_000),
        key=st.integers(0, 3), already_accepted=st.booleans(),
    )  # fmt: skip
    def arrive(self, tenant: str, job_class: int, left: int, key: int, already_accepted: bool) -> None:
        self.number += 1
        caller = self.admission.directory.find(tenant, "10.0.0.1", str(key))
        self.state[self.number] = "queued"
        request = AdmissionRequest(self.number, job_class, caller, self.now, left * MS, already_accepted)
        self.perform(self.admission.arrive(self.now, request))

    @rule(data=st.data())
    def place(self, data: Any) -> None:
        if number := self.draw_number(data, "admitted"):
            self.state[number] = "placed"
            self.perform(self.admission.placed(self.now, number))

    @rule(data=st.data())
    def start(self, data: Any) -> None:
        if number := self.draw_number(data, "placed"):
            self.state[number] = "running"
            self.perform(self.admission.execution_started(self.now, number))

    @rule(data=st.data(), served=st.booleans())
    def end(self, data: Any, served: bool) -> None:
        if number := self.draw_number(data, "admitted", "placed", "running"):
            del self.state[number]
            self.perform(self.admission.ended(self.now, number, served))

    @rule(data=st.data())
    def disconnect(self, data: Any) -> None:
        if number := self.draw_number(data, "queued", "admitted", "placed", "running"):
            del self.state[number]
            self.perform(self.admission.client_disconnected(self.now, number))

    @rule(ms=st.integers(0, 3_000))
    def pass_time(self, ms: int) -> None:
        until = self.now + ms * MS
        while (due := self.admission.next_us) is not None and due <= until:
            self.now = max(self.now + 1, due)
            self.perform(self.admission.tick(self.now))
        self.now = until

    @rule(seconds=st.integers(1, 100))
    def step_back(self, seconds: int) -> None:
        """Call ``tick`` with an earlier time, which must not end any request."""
        self.perform(self.admission.tick(self.now - seconds * S))

    @rule(options=st.sampled_from(OPTIONS))
    def reload(self, options: AdmissionOptions) -> None:
        before = {n for n, state in self.state.items() if state == "queued"}
        actions = self.admission.configure(self.now, options)
        assert not any(isinstance(a, Reject) for a in actions), "a reload rejected a queued request"
        self.perform(actions)
        assert before <= set(self.state)

    @invariant()
    @precondition(lambda self: hasattr(self, "admission"))
    def state_is_consistent(self) -> None:
        queued = [n for n, state in self.state.items() if state == "queued"]
        assert self.admission.queued_count == len(queued)
        assert set(self.admission.tickets) == set(self.state)
        # Usage is kept only for tenants with open requests, so that names of past tenants take no memory.
        assert sum(p.open for p in self.admission.limits.usage.values()) == len(self.state)
        assert all(p.open > 0 and p.queued >= 0 for p in self.admission.limits.usage.values())
        assert sum(p.queued for p in self.admission.limits.usage.values()) == len(queued)
        for job_class in (0, 1):
            unplaced = [
                n for n, s in self.state.items()
                if s == "admitted" and self.admission.tickets[n].job_class == job_class
            ]  # fmt: skip
            assert self.admission.windows.unplaced[job_class] == len(unplaced)
            # Admission is work-conserving: no request of a class is queued while its window has capacity.
            class_is_queued = any(self.admission.tickets[n].job_class == job_class for n in queued)
            assert not (class_is_queued and self.admission.windows.has_capacity(job_class)), (
                "a request is queued although its window has capacity"
            )
        queues = {t.queue for t in self.admission.tickets.values()}
        assert sum(q.length for q in queues) == len(queued)
        assert sum(q.users for q in queues) == len(self.state)
        assert set(self.admission.round_robin.active) == {q for q in queues if q.length}

    def teardown(self) -> None:
        """Check that every queued request is admitted or rejected within 10 seconds."""
        if hasattr(self, "admission"):
            self.pass_time(10_000)
            assert "queued" not in self.state.values()


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, suppress_health_check=list(HealthCheck),
    derandomize=True,
)  # fmt: skip


def allow_any_class(job_class: int) -> bool:
    return True


def make_ticket(number: int, queue: Queue, cost: float, job_class: int = 0) -> Ticket:
    return Ticket(number, job_class, 0, "", -1, 0, queue, cost, 0, 0)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    weights=st.lists(st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2, max_size=8),
    costs=st.lists(st.floats(0.1, 3.0), min_size=8, max_size=8),
)
def test_round_robin_serves_queues_in_proportion_to_their_weights(
    weights: list[float], costs: list[float]
) -> None:
    """Queues that are never empty get work in proportion to their weights, whatever their jobs cost."""
    queues = [Queue(str(i), w) for i, w in enumerate(weights)]
    rounds = DeficitRoundRobin([0], 0.25, quantum_us=max(costs))
    number = 0

    def add_ticket(queue: Queue, cost: float) -> None:
        nonlocal number
        number += 1
        rounds.add(0, make_ticket(number, queue, cost))

    for queue, cost in zip(queues, costs, strict=False):
        add_ticket(queue, cost)
        add_ticket(queue, cost)
    for _ in range(600):
        dequeued = rounds.dequeue(0, allow_any_class, allow_any_class)
        assert dequeued
        add_ticket(dequeued.queue, costs[queues.index(dequeued.queue)])
    # Each queue has got one quantum per completed round, within a tolerance of its burst and largest job.
    for queue, cost in zip(queues, costs, strict=False):
        quantum = rounds.quantum_us * queue.weight
        assert abs(queue.served_us - rounds.round_number * quantum) <= (MAX_SAVED_QUANTA + 1) * quantum + cost


@settings(max_examples=150, deadline=None, derandomize=True)
@given(data=st.data())
def test_round_robin_admits_each_request_within_a_bounded_number_of_rounds(data: Any) -> None:
    """The limit is the number of rounds that the work ahead in the request's queue needs, plus a constant."""
    queues = [Queue(str(i), data.draw(st.sampled_from([0.5, 1.0, 3.0]))) for i in range(5)]
    rounds = DeficitRoundRobin([1, 0], 0.25, quantum_us=2.0)
    pending: dict[int, tuple[int, float, Queue]] = {}  # round of the arrival, work in the queue, and queue
    for number in range(1, 60):
        queue = data.draw(st.sampled_from(queues))
        cost = data.draw(st.floats(0.1, 2.0))
        rounds.add(0, make_ticket(number, queue, cost, data.draw(st.integers(0, 1))))
        pending[number] = (rounds.round_number, queue.work_us, queue)
        if data.draw(st.booleans()) and (dequeued := rounds.dequeue(0, allow_any_class, allow_any_class)):
            check_waited_rounds(rounds, pending, dequeued)
    while dequeued := rounds.dequeue(0, allow_any_class, allow_any_class):
        check_waited_rounds(rounds, pending, dequeued)
    assert not rounds.length and not rounds.active


def check_waited_rounds(
    rounds: DeficitRoundRobin, pending: dict[int, tuple[int, float, Queue]], dequeued: Ticket
) -> None:
    arrival_round, work_ahead, queue = pending.pop(dequeued.number)
    # Later requests of the same queue with more priority weight may overtake this one, which only affects
    # their own tenant.
    later = sum(a for n, (_, _, q) in pending.items() if q is queue and n > dequeued.number for a in [2.0])
    overtaking_work = 2.0 * 60 if dequeued.job_class == 0 else later
    quantum = 2.0 * queue.weight
    assert rounds.round_number - arrival_round <= (work_ahead + overtaking_work) / quantum + 2


@pytest.mark.parametrize("shared_count", [1, 4, 16])
def test_shared_queues_together_get_the_share_of_newcomers(shared_count: int) -> None:
    """Guards against a flood of new tenant names, which must not get the share of as many tenants."""
    tenant_queues = [Queue(f"t{i}") for i in range(3)]
    shared_queues = [Queue(f"s{i}", is_shared=True) for i in range(shared_count)]
    rounds = DeficitRoundRobin([0], 0.25, quantum_us=1.0)
    for number, queue in enumerate((tenant_queues + shared_queues) * 400):
        rounds.add(0, make_ticket(number, queue, 1.0))
    served_by_shared: dict[bool, int] = defaultdict(int)
    for _ in range(800):
        dequeued = rounds.dequeue(0, allow_any_class, allow_any_class)
        assert dequeued
        served_by_shared[dequeued.queue.is_shared] += 1
    assert 0.2 <= served_by_shared[True] / 800 <= 0.3
