"""Gangs: header, comparison of members, moves, progress shared in the mesh, limits and reports."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from robinhill.api import Repeat
from robinhill.gang.errors import DuplicateMember, GangMismatch, GangsFull, MalformedGang, NoSuchGang
from robinhill.gang.gangs import Gangs
from robinhill.gang.membership import Membership, read_membership
from robinhill.gang.messages import Decision, Evaluation, Reason
from robinhill.gang.moves import MoveBudget
from robinhill.gang.options import GangOptions
from robinhill.gang.progress import MAX_POINTS, Curve
from robinhill.gang.share import MAX_SEQUENCE, MemberUpdate, Progress, decode, encode, merge
from robinhill.gang.straggle import spread
from robinhill.mesh.errors import ForeignState

S = 1_000_000
INTERVAL = 250_000
T0 = 1_700_000_000 * S
PROPERTY = settings(max_examples=100, deadline=None, derandomize=True)


class Simulation:
    """One scheduler and its workers, which run jobs of 4 s, each slower than usual by a factor of its own."""

    def __init__(self, options: GangOptions | None = None, name: str = "s1") -> None:
        self.gangs = Gangs(options or GangOptions(), name)
        self.now = T0
        self.paces: dict[int, float] = {}  # slowdown factors of the jobs under way
        self.remaining: dict[int, float] = {}  # work of each job yet to do, in seconds
        self.silent: set[int] = set()  # jobs whose workers report no progress
        self.evaluations: list[Evaluation] = []

    def start(
        self, paces: list[float], repeat: Repeat = Repeat.SAFE, gang: str = "g", first: int = 0,
        size: int = 0, after: int = 0,
    ) -> None:  # fmt: skip
        for i, pace in enumerate(paces, after):
            job = first + i
            self.gangs.joined(self.now, job, Membership(gang, size or len(paces), i), repeat, 4 * S)
            self.gangs.placed(self.now, job, 0, f"w{i}", "new")
            self.gangs.started(self.now, job, 0)
            self.paces[job], self.remaining[job] = pace, 4.0

    def run(self, seconds: float, factor: float = 1.0) -> "Simulation":
        """Run with all jobs ``factor`` times slower; each reports and all are evaluated every 250 ms."""
        for _ in range(round(seconds * S / INTERVAL)):
            self.now += INTERVAL
            for job in list(self.remaining):
                self.remaining[job] -= INTERVAL / S / self.paces[job] / factor
                if self.remaining[job] <= 1e-9:
                    del self.remaining[job]
                    self.gangs.ended(self.now, job, 0, True)
                elif job not in self.silent:
                    self.gangs.progress(self.now, job, 0, 1 - self.remaining[job] / 4)
            self.evaluations.append(self.gangs.evaluate(self.now))
        return self

    @property
    def stragglers(self) -> set[int]:
        return {v.index for evaluation in self.evaluations for v in evaluation.verdicts if v.lags}

    @property
    def moved(self) -> list[int]:
        return [m.index for evaluation in self.evaluations for m in evaluation.moves]


def test_read_membership_ignores_spaces_and_unknown_keys() -> None:
    assert read_membership([]) is None
    membership = read_membership(["id=r-2026; size=12 ;index=11;part=x"], "fen")
    assert membership == Membership("r-2026", 12, 11, "fen")


@pytest.mark.parametrize(
    "values",
    [
        ["id=a;size=2;index=2"], ["id=a;size=0;index=0"], ["id=a;size=129;index=0"], ["id=a;size=2"], [""],
        ["id=;size=2;index=0"], ["id=a;id=b;size=2;index=0"], ["id=a;size=-2;index=0"],
        ["id=a/b;size=2;index=0"],
        ["id=a;size=\u0663;index=0"], ["id=a;size=2;index=0"] * 2, ["id=a;size=2;index=0;x=" + "y" * 160],
    ],
)  # fmt: skip
def test_malformed_header_raises_an_error_with_advice(values: list[str]) -> None:
    with pytest.raises(MalformedGang, match="portal's developers"):
        read_membership(values)


@given(st.text(max_size=80))
@PROPERTY
def test_read_membership_raises_malformed_gang_only(text: str) -> None:
    """Any header text is either read as an index below the size, or raises MalformedGang."""
    try:
        membership = read_membership([text])
        assert membership and 0 <= membership.index < membership.size
    except MalformedGang:
        pass


def test_slow_member_is_a_straggler_after_two_evaluations_and_moved_once() -> None:
    sim = Simulation()
    sim.start([1.0] * 7 + [4.0])
    sim.run(4)
    assert sim.stragglers == {7} and sim.moved == [7]
    reasons = [v.reason for evaluation in sim.evaluations for v in evaluation.verdicts if v.index == 7]
    assert reasons[reasons.index(Reason.LAGS) - 1] is Reason.UNCONFIRMED


@pytest.mark.parametrize("repeat", [Repeat.UNSAFE, Repeat.KEYED])
def test_started_unsafe_and_keyed_stragglers_are_evidence_but_not_moved(repeat: Repeat) -> None:
    """Members of two gangs lag at the same worker, which is evidence against it even if none may be moved."""
    sim = Simulation()
    sim.start([1.0] * 7 + [4.0], repeat)
    sim.run(6)
    sim.start([1.0] * 7 + [4.0], repeat, "h", 100)
    sim.run(6)
    assert sim.stragglers == {7} and not sim.moved
    found = [x for evaluation in sim.evaluations for x in evaluation.evidence]
    assert [(x.worker, x.observer, x.what, x.gangs) for x in found] == [("w7", "s1", "slow", ("g", "h"))]
    assert found[0].median_slowdown > 2


def test_slow_member_with_two_peers_is_no_straggler() -> None:
    sim = Simulation()
    sim.start([1.0, 1.0, 4.0])
    assert not sim.run(8).stragglers


@given(st.integers(0, 16), st.floats(1.5, 5), st.integers(4, 16), st.booleans(), st.integers(0, 99))
@settings(max_examples=40, deadline=None, derandomize=True)
def test_slowdown_of_all_members_finds_no_straggler(
    begin: int, factor: float, size: int, reports: bool, seed: int
) -> None:
    """All members slow down at the same moment, with and without progress reports."""
    rng = random.Random(seed)
    sim = Simulation()
    sim.start([rng.uniform(0.9, 1.1) for _ in range(size)])
    if not reports:
        sim.silent = set(range(size))
        begin = min(begin, 13)  # before the first member ends
    sim.run(begin / 4).run(20, factor)
    assert not sim.stragglers


def test_members_started_in_a_slowdown_are_no_stragglers_against_earlier_ones() -> None:
    """Eight members run at normal speed for 2.5 s. Then four more start, and all run four times slower.

    Only the time that both ran may be compared.
    """
    sim = Simulation()
    sim.start([1.0] * 8, size=12)
    sim.run(2.5)
    sim.start([1.0] * 4, size=12, after=8)
    assert not sim.run(20, 4.0).stragglers


@given(st.floats(2.8, 6), st.integers(6, 16), st.integers(0, 12), st.floats(1, 3), st.integers(0, 99))
@settings(max_examples=40, deadline=None, derandomize=True)
def test_slow_member_is_found_during_a_slowdown_of_all(
    slow: float, size: int, begin: int, factor: float, seed: int
) -> None:
    rng = random.Random(seed)
    sim = Simulation()
    sim.start([rng.uniform(0.9, 1.1) for _ in range(size - 1)] + [slow])
    sim.run(begin / 4).run(16, factor)
    assert sim.stragglers == {size - 1}


def test_silent_member_is_not_taken_for_one_without_progress() -> None:
    """A silent member that is as fast as its peers is no straggler. If all members are silent, the slow one
    is found after most others have ended."""
    sim = Simulation()
    sim.start([1.0] * 8)
    sim.silent = {3}
    assert not sim.run(8).stragglers
    sim = Simulation()
    sim.start([1.0] * 7 + [9.0])
    sim.silent = set(range(8))
    assert not sim.run(3.75).stragglers and sim.run(8).stragglers == {7}


def test_pause_of_the_scheduler_finds_no_straggler() -> None:
    """After a pause of 30 s, silent members look slow only because their ends are still unread."""
    sim = Simulation()
    sim.start([1.0] * 6 + [1.1, 1.1])
    sim.silent = {6, 7}
    sim.run(4)
    sim.now += 30 * S  # without receiving the ends of both
    found = sim.gangs.evaluate(sim.now)
    assert {v.reason for v in found.verdicts} == {Reason.PAUSED}


def test_member_at_an_unknown_machine_type_is_not_compared() -> None:
    """The only member at a slower machine type has no comparable peers until the type's speed is known."""
    gangs, now = Gangs(GangOptions(), "s"), T0
    for i in range(8):
        gangs.joined(now, i, Membership("k", 8, i), Repeat.SAFE, 4 * S)
        gangs.placed(now, i, 0, f"w{i}", "old" if i == 7 else "new")
        gangs.started(now, i, 0)
    for step in range(1, 12):
        now += INTERVAL
        for i in range(8):
            gangs.progress(now, i, 0, step / (64 if i == 7 else 16))
        reason = {v.index: v.reason for v in gangs.evaluate(now).verdicts}
    assert reason[7] is Reason.FEW_PEERS


def test_move_budget_limits_moves_to_a_share_and_decays() -> None:
    budget = MoveBudget(0.1)
    granted = 0
    for _ in range(100):
        budget.record_placement(T0)
    for _ in range(100):
        if budget.allows(T0):
            budget.record_move(T0)
            granted += 1
    assert granted == 11  # a tenth of 100 placements, plus one
    assert budget.allows(T0 + 3_600 * S)
    assert not MoveBudget(0).allows(T0)


def test_gang_budget_limits_moves_of_one_gang() -> None:
    """Two stragglers in a gang of 12 that may move a tenth of its members: only one is moved."""
    sim = Simulation(GangOptions(moves_of_gang=0.1, copies=True))
    sim.start([1.0] * 10 + [3.0, 5.0])
    sim.run(4)
    assert len(sim.moved) == 1
    decisions = {v.decision for evaluation in sim.evaluations for v in evaluation.verdicts if v.lags}
    assert Decision.GANG_BUDGET_SPENT in decisions


def updates_of(index: int) -> st.SearchStrategy[MemberUpdate]:
    n = st.integers(0, 5)
    return st.builds(
        MemberUpdate, st.just(index), st.integers(0, 2), st.integers(0, 5), st.integers(-1, 3), n, n, n, n,
        st.sampled_from(("", "new")), st.sampled_from(("w1", "w2")), st.sampled_from(("s1", "s2")),
    )  # fmt: skip


progresses = st.builds(
    lambda size, updates: merge(Progress(size, ()), Progress(size, tuple(updates))),
    st.integers(1, 8),
    st.lists(st.integers(0, 4).flatmap(updates_of), max_size=6),
)


@given(progresses, progresses, progresses)
@PROPERTY
def test_merge_is_commutative_associative_and_idempotent(a: Progress, b: Progress, c: Progress) -> None:
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a and decode(encode(a)) == a
    indexes = [x.index for x in merge(a, b).members]
    assert indexes == sorted(set(indexes))


@given(st.binary(max_size=60))
@PROPERTY
def test_decode_raises_foreign_state_only(data: bytes) -> None:
    try:
        decode(data)
    except ForeignState:
        pass


def test_sequence_number_above_the_limit_is_rejected() -> None:
    update = MemberUpdate(0, MAX_SEQUENCE + 1, 1, 0, 0, 0, 0, 0, "", "", "")
    with pytest.raises(ForeignState):
        decode(encode(Progress(2, (update,))))


@given(st.integers(0, 3 * S), st.booleans(), st.integers(0, 99))
@settings(max_examples=30, deadline=None, derandomize=True)
def test_members_at_another_scheduler_are_peers_despite_delays(delay: int, doubled: bool, seed: int) -> None:
    """A slow member is alone at its scheduler. Its seven peers are at another one, whose clock is a day ahead
    and whose updates arrive late, out of order and possibly twice."""
    rng = random.Random(seed)
    far, near = Gangs(GangOptions(), "far"), Gangs(GangOptions(), "near")
    ahead, now, in_transit = 86_400 * S, T0, list[tuple[int, str, Progress]]()
    for i in range(8):
        gangs, at = (near, now) if i == 7 else (far, now + ahead)
        gangs.joined(at, i, Membership("g", 8, i), Repeat.SAFE, 4 * S)
        gangs.placed(at, i, 0, f"w{i}", "new")
        gangs.started(at, i, 0)
    stragglers = set()
    for step in range(1, 33):
        now += INTERVAL
        for i in range(8):
            gangs, at, share = (near, now, step / 64) if i == 7 else (far, now + ahead, step / 16)
            gangs.progress(at, i, 0, share) if share < 1 else gangs.ended(at, i, 0, True)
        for name, progress in far.progress_to_publish(now + ahead):
            in_transit += [(now + delay, name, decode(encode(progress)))] * (2 if doubled else 1)
        rng.shuffle(in_transit)
        for due, name, progress in in_transit:
            if due <= now:
                near.receive_progress(now, name, progress)
        in_transit = [x for x in in_transit if x[0] > now]
        stragglers |= {(v.index, v.worker) for v in near.evaluate(now).verdicts if v.lags}
        assert not any(v.lags for v in far.evaluate(now + ahead).verdicts)
    assert stragglers == {(7, "w7")}
    if delay < S:
        text = near.explain(now, "g").text()
        assert "at scheduler far" in text and "times as slow as" in text
        assert dict((n, v) for n, v, _ in far.metrics())["gang.members"] == 7


def test_duplicate_members_other_sizes_and_unknown_gangs_raise_errors() -> None:
    gangs = Gangs(GangOptions(), "s")
    gangs.joined(T0, 1, Membership("g", 4, 0), Repeat.SAFE)
    with pytest.raises(DuplicateMember):
        gangs.joined(T0, 2, Membership("g", 4, 0), Repeat.SAFE)
    with pytest.raises(GangMismatch):
        gangs.joined(T0, 2, Membership("g", 5, 1), Repeat.SAFE)
    with pytest.raises(NoSuchGang):
        gangs.explain(T0, "other")
    gangs.ended(T0, 1, 0, False)
    gangs.joined(T0, 2, Membership("g", 4, 0), Repeat.SAFE)  # the client's retry after the end


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 5), st.booleans(), st.booleans()), max_size=60))
@PROPERTY
def test_table_keeps_its_limits_and_counts(steps: list[tuple[int, int, bool, bool]]) -> None:
    """After any sequence of local and remote members, counts are right and no limit is exceeded."""
    gangs = Gangs(GangOptions(gangs=3, members=7), "s")
    for job, (name, index, far, ends) in enumerate(steps):
        if far:
            update = MemberUpdate(index, job, 1, -1, 0, job, 0, 0, "", "w", "p")
            gangs.receive_progress(T0 + job, f"g{name}", Progress(6, (update,)))
        else:
            try:
                gangs.joined(T0 + job, job, Membership(f"g{name}", 6, index), Repeat.SAFE)
            except (DuplicateMember, GangsFull):
                continue
            if ends:
                gangs.ended(T0 + job, job, -1, True)
        table = gangs._table
        held = [*table._active.values(), *table._idle.values()]
        assert table.members == sum(len({*g.local, *g.remote}) for g in held) <= 7 and len(held) <= 3
        assert not {g.name for g in table._active.values()} & set(table._idle)
        assert all(g.active for g in table._active.values())
        assert not any(g.active for g in table._idle.values())


def test_tail_metric_is_the_time_from_median_to_last_end() -> None:
    sim = Simulation(GangOptions(moves_of_all=0))
    sim.start([1.0] * 5 + [2.0])
    sim.run(9)
    assert dict((n, v) for n, v, _ in sim.gangs.metrics())["gang.tail_ms"] == 4_000


@given(st.lists(st.tuples(st.integers(-5, 50), st.floats(allow_nan=True)), max_size=80))
@PROPERTY
def test_curve_never_decreases_and_stays_within_max_points(reports: list[tuple[int, float]]) -> None:
    curve = Curve(0)
    for at, share in reports:
        curve.add(at, share)
    assert curve.updates <= MAX_POINTS
    shares = [curve.share_at(t) for t in range(0, 51)]
    assert shares == sorted(shares) and all(0 <= x <= 1 for x in shares)
    remaining_us = curve.remaining_us()
    assert remaining_us is None or remaining_us >= 0


@given(st.lists(st.floats(-1, 1), min_size=9, max_size=15), st.integers(0, 99))
@PROPERTY
def test_spread_is_robust_against_outliers(values: list[float], seed: int) -> None:
    with_outliers = list(values)
    for i in random.Random(seed).sample(range(len(values)), (len(values) - 1) // 2 - 1):
        with_outliers[i] = math.exp(30 + i)
    assert spread(with_outliers) <= 2 * 2.2219


def test_spread_of_normal_values_is_their_standard_deviation() -> None:
    rng = random.Random(1)
    for n in (4, 7, 12):
        mean = sum(spread([rng.gauss(0, 1) for _ in range(n)]) for _ in range(2_000)) / 2_000
        assert 0.9 < mean < 1.1
