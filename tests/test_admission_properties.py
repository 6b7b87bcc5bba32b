"""Admission control under arbitrary interleavings of arrive, leave, place, begin, end, time and reload."""

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


class World(RuleBasedStateMachine):
    """A caller of admission control that carries its actions out and checks each."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000 * S
        self.number = 0
        self.state: dict[int, str] = {}  # waits, in, placed, runs; gone once answered

    @initialize(options=st.sampled_from(OPTIONS))
    def begin(self, options: AdmissionOptions) -> None:
        self.admission = Admission(SETTINGS, options, 7, bytes(16))

    def perform(self, actions: list[Any]) -> None:
        for action in actions:
            assert self.state[action.number] == "waits", "an answer to what is in, or was answered"
            if isinstance(action, Admit):
                self.state[action.number] = "in"
            else:
                assert isinstance(action, Reject) and 0 <= action.retry_us <= 10 * S
                del self.state[action.number]

    def some(self, data: Any, *states: str) -> int | None:
        found = [n for n, state in self.state.items() if state in states]
        return data.draw(st.sampled_from(found)) if found else None

    @rule(
        tenant=st.sampled_from(TENANTS), job_class=st.integers(0, 1), left=st.integers(1, 5_000),
        key=st.integers(0, 3), owed=st.booleans(),
    )  # fmt: skip
    def arrive(self, tenant: str, job_class: int, left: int, key: int, owed: bool) -> None:
        self.number += 1
        caller = self.admission.directory.find(tenant, "10.0.0.1", str(key))
        self.state[self.number] = "waits"
        ask = AdmissionRequest(self.number, job_class, caller, self.now, left * MS, owed)
        self.perform(self.admission.arrive(self.now, ask))

    @rule(data=st.data())
    def place(self, data: Any) -> None:
        if number := self.some(data, "in"):
            self.state[number] = "placed"
            self.perform(self.admission.placed(self.now, number))

    @rule(data=st.data())
    def start(self, data: Any) -> None:
        if number := self.some(data, "placed"):
            self.state[number] = "runs"
            self.perform(self.admission.execution_started(self.now, number))

    @rule(data=st.data(), served=st.booleans())
    def end(self, data: Any, served: bool) -> None:
        if number := self.some(data, "in", "placed", "runs"):
            del self.state[number]
            self.perform(self.admission.ended(self.now, number, served))

    @rule(data=st.data())
    def leave(self, data: Any) -> None:
        if number := self.some(data, "waits", "in", "placed", "runs"):
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
        """A clock that steps back changes nothing and ends nothing."""
        self.perform(self.admission.tick(self.now - seconds * S))

    @rule(options=st.sampled_from(OPTIONS))
    def reload(self, options: AdmissionOptions) -> None:
        before = {n for n, state in self.state.items() if state == "waits"}
        actions = self.admission.configure(self.now, options)
        assert not any(isinstance(a, Reject) for a in actions), "a reload drops nothing that waits"
        self.perform(actions)
        assert before <= set(self.state)

    @invariant()
    @precondition(lambda self: hasattr(self, "admission"))
    def it_is_consistent(self) -> None:
        waiting = [n for n, state in self.state.items() if state == "waits"]
        assert self.admission.queued_count == len(waiting)
        assert set(self.admission.tickets) == set(self.state)
        # Its memory is that of what is there: a name leaves nothing behind.
        assert sum(p.open for p in self.admission.limits.usage.values()) == len(self.state)
        assert all(p.open > 0 and p.queued >= 0 for p in self.admission.limits.usage.values())
        assert sum(p.queued for p in self.admission.limits.usage.values()) == len(waiting)
        for job_class in (0, 1):
            unplaced = [
                n for n, s in self.state.items()
                if s == "in" and self.admission.tickets[n].job_class == job_class
            ]  # fmt: skip
            assert self.admission.windows.unplaced[job_class] == len(unplaced)
            # Work conserving: nobody waits at admission while the module has next to nothing at hand.
            waits = any(self.admission.tickets[n].job_class == job_class for n in waiting)
            assert not (waits and self.admission.windows.has_capacity(job_class)), (
                "somebody waits and could go in"
            )
        queues = {t.queue for t in self.admission.tickets.values()}
        assert sum(q.length for q in queues) == len(waiting)
        assert sum(q.users for q in queues) == len(self.state)
        assert set(self.admission.round_robin.active) == {q for q in queues if q.length}

    def teardown(self) -> None:
        """Whatever waits gets its answer in bounded time."""
        if hasattr(self, "admission"):
            self.pass_time(10_000)
            assert "waits" not in self.state.values()


TestWorld = World.TestCase
TestWorld.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, suppress_health_check=list(HealthCheck),
    derandomize=True,
)  # fmt: skip


def always(job_class: int) -> bool:
    return True


def ticket(number: int, queue: Queue, cost: float, job_class: int = 0) -> Ticket:
    return Ticket(number, job_class, 0, "", -1, 0, queue, cost, 0, 0)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    weights=st.lists(st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2, max_size=8),
    costs=st.lists(st.floats(0.1, 3.0), min_size=8, max_size=8),
)
def test_shares_keep_to_the_weights(weights: list[float], costs: list[float]) -> None:
    """Queues that never run dry get work in proportion to their weights, whatever their jobs cost."""
    queues = [Queue(str(i), w) for i, w in enumerate(weights)]
    rounds = DeficitRoundRobin([0], 0.25, quantum_us=max(costs))
    number = 0

    def fill(queue: Queue, cost: float) -> None:
        nonlocal number
        number += 1
        rounds.add(0, ticket(number, queue, cost))

    for queue, cost in zip(queues, costs, strict=False):
        fill(queue, cost)
        fill(queue, cost)
    for _ in range(600):
        taken = rounds.dequeue(0, always, always)
        assert taken
        fill(taken.queue, costs[queues.index(taken.queue)])
    # In every round that is over a queue got its quantum, give or take its burst and its largest job.
    for queue, cost in zip(queues, costs, strict=False):
        quantum = rounds.quantum_us * queue.weight
        assert abs(queue.served_us - rounds.round_number * quantum) <= (MAX_SAVED_QUANTA + 1) * quantum + cost


@settings(max_examples=150, deadline=None, derandomize=True)
@given(data=st.data())
def test_nobody_starves(data: Any) -> None:
    """A request is let in within as many rounds as its own queue's work before it asks for, and one more."""
    queues = [Queue(str(i), data.draw(st.sampled_from([0.5, 1.0, 3.0]))) for i in range(5)]
    rounds = DeficitRoundRobin([1, 0], 0.25, quantum_us=2.0)
    asked: dict[int, tuple[int, float, Queue]] = {}
    for number in range(1, 60):
        queue = data.draw(st.sampled_from(queues))
        cost = data.draw(st.floats(0.1, 2.0))
        rounds.add(0, ticket(number, queue, cost, data.draw(st.integers(0, 1))))
        asked[number] = (rounds.round_number, queue.work_us, queue)
        if data.draw(st.booleans()) and (taken := rounds.dequeue(0, always, always)):
            check(rounds, asked, taken)
    while taken := rounds.dequeue(0, always, always):
        check(rounds, asked, taken)
    assert not rounds.length and not rounds.active


def check(rounds: DeficitRoundRobin, asked: dict[int, tuple[int, float, Queue]], taken: Ticket) -> None:
    since, ahead, queue = asked.pop(taken.number)
    # What came later to its own queue, of more worth, goes before it: that is its tenant's choice.
    later = sum(a for n, (_, _, q) in asked.items() if q is queue and n > taken.number for a in [2.0])
    overtaken = 2.0 * 60 if taken.job_class == 0 else later
    quantum = 2.0 * queue.weight
    assert rounds.round_number - since <= (ahead + overtaken) / quantum + 2


@pytest.mark.parametrize("strangers", [1, 4, 16])
def test_strangers_together_keep_to_their_share(strangers: int) -> None:
    """Guards against the cheapest flood: a thousand names must not weigh as a thousand tenants."""
    known = [Queue(f"k{i}") for i in range(3)]
    strange = [Queue(f"s{i}", is_shared=True) for i in range(strangers)]
    rounds = DeficitRoundRobin([0], 0.25, quantum_us=1.0)
    for number, queue in enumerate((known + strange) * 400):
        rounds.add(0, ticket(number, queue, 1.0))
    got: dict[bool, int] = defaultdict(int)
    for _ in range(800):
        taken = rounds.dequeue(0, always, always)
        assert taken
        got[taken.queue.is_shared] += 1
    assert 0.2 <= got[True] / 800 <= 0.3
