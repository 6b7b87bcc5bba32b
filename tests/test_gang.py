"""Gangs: what is read, compared, moved, shared and told."""

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
LOOK = 250_000
T0 = 1_700_000_000 * S
SAME = settings(max_examples=100, deadline=None, derandomize=True)


class Play:
    """Gangs at one scheduler, and workers that run jobs of 4 s, each so many times slower than usual."""

    def __init__(self, options: GangOptions | None = None, name: str = "s1") -> None:
        self.gangs = Gangs(options or GangOptions(), name)
        self.now = T0
        self.paces: dict[int, float] = {}  # of jobs under way
        self.left: dict[int, float] = {}
        self.silent: set[int] = set()
        self.looks: list[Evaluation] = []

    def begin(
        self, paces: list[float], repeat: Repeat = Repeat.SAFE, gang: str = "g", first: int = 0,
        size: int = 0, after: int = 0,
    ) -> None:  # fmt: skip
        for i, pace in enumerate(paces, after):
            job = first + i
            self.gangs.joined(self.now, job, Membership(gang, size or len(paces), i), repeat, 4 * S)
            self.gangs.placed(self.now, job, 0, f"w{i}", "new")
            self.gangs.started(self.now, job, 0)
            self.paces[job], self.left[job] = pace, 4.0

    def run(self, seconds: float, factor: float = 1.0) -> "Play":
        """Let time pass, with all ``factor`` times slower; a look and a word of each every 250 ms."""
        for _ in range(round(seconds * S / LOOK)):
            self.now += LOOK
            for job in list(self.left):
                self.left[job] -= LOOK / S / self.paces[job] / factor
                if self.left[job] <= 1e-9:
                    del self.left[job]
                    self.gangs.ended(self.now, job, 0, True)
                elif job not in self.silent:
                    self.gangs.progress(self.now, job, 0, 1 - self.left[job] / 4)
            self.looks.append(self.gangs.look(self.now))
        return self

    @property
    def called(self) -> set[int]:
        return {v.index for look in self.looks for v in look.verdicts if v.lags}

    @property
    def moved(self) -> list[int]:
        return [m.index for look in self.looks for m in look.moves]


def test_header_gives_a_place_and_passes_over_what_is_newer() -> None:
    assert read_membership([]) is None
    place = read_membership(["id=r-2026; size=12 ;index=11;part=x"], "fen")
    assert place == Membership("r-2026", 12, 11, "fen")


@pytest.mark.parametrize(
    "values",
    [
        ["id=a;size=2;index=2"], ["id=a;size=0;index=0"], ["id=a;size=129;index=0"], ["id=a;size=2"], [""],
        ["id=;size=2;index=0"], ["id=a;id=b;size=2;index=0"], ["id=a;size=-2;index=0"],
        ["id=a/b;size=2;index=0"],
        ["id=a;size=\u0663;index=0"], ["id=a;size=2;index=0"] * 2, ["id=a;size=2;index=0;x=" + "y" * 160],
    ],
)  # fmt: skip
def test_header_that_is_wrong_is_refused_with_advice(values: list[str]) -> None:
    with pytest.raises(MalformedGang, match="portal's developers"):
        read_membership(values)


@given(st.text(max_size=80))
@SAME
def test_any_header_is_read_or_refused(text: str) -> None:
    try:
        place = read_membership([text])
        assert place and 0 <= place.index < place.size
    except MalformedGang:
        pass


def test_slow_member_is_called_after_two_looks_and_moved_once() -> None:
    play = Play()
    play.begin([1.0] * 7 + [4.0])
    play.run(4)
    assert play.called == {7} and play.moved == [7]
    reasons = [v.reason for look in play.looks for v in look.verdicts if v.index == 7]
    assert reasons[reasons.index(Reason.LAGS) - 1] is Reason.UNCONFIRMED


@pytest.mark.parametrize("repeat", [Repeat.UNSAFE, Repeat.KEYED])
def test_begun_ones_that_may_not_run_twice_stay_and_count_as_evidence(repeat: Repeat) -> None:
    play = Play()
    play.begin([1.0] * 7 + [4.0], repeat)
    play.run(6)
    play.begin([1.0] * 7 + [4.0], repeat, "h", 100)
    play.run(6)
    assert play.called == {7} and not play.moved
    found = [x for look in play.looks for x in look.evidence]
    assert [(x.worker, x.observer, x.what, x.gangs) for x in found] == [("w7", "s1", "slow", ("g", "h"))]
    assert found[0].median_slowdown > 2


def test_two_peers_are_too_few() -> None:
    play = Play()
    play.begin([1.0, 1.0, 4.0])
    assert not play.run(8).called


@given(st.integers(0, 16), st.floats(1.5, 5), st.integers(4, 16), st.booleans(), st.integers(0, 99))
@settings(max_examples=40, deadline=None, derandomize=True)
def test_slowdown_of_all_calls_nobody(begin: int, factor: float, size: int, words: bool, seed: int) -> None:
    rng = random.Random(seed)
    play = Play()
    play.begin([rng.uniform(0.9, 1.1) for _ in range(size)])
    if not words:
        play.silent = set(range(size))
        begin = min(begin, 13)  # before the first ends
    play.run(begin / 4).run(20, factor)
    assert not play.called


def test_those_that_began_in_a_slowdown_are_not_held_against_those_before() -> None:
    play = Play()
    play.begin([1.0] * 8, size=12)
    play.run(2.5)
    play.begin([1.0] * 4, size=12, after=8)
    assert not play.run(20, 4.0).called


@given(st.floats(2.8, 6), st.integers(6, 16), st.integers(0, 12), st.floats(1, 3), st.integers(0, 99))
@settings(max_examples=40, deadline=None, derandomize=True)
def test_slow_one_is_found_whatever_happens_to_all(
    slow: float, size: int, begin: int, factor: float, seed: int
) -> None:
    rng = random.Random(seed)
    play = Play()
    play.begin([rng.uniform(0.9, 1.1) for _ in range(size - 1)] + [slow])
    play.run(begin / 4).run(16, factor)
    assert play.called == {size - 1}


def test_missing_word_is_not_progress_0() -> None:
    play = Play()
    play.begin([1.0] * 8)
    play.silent = {3}
    assert not play.run(8).called
    play = Play()
    play.begin([1.0] * 7 + [9.0])
    play.silent = set(range(8))
    assert not play.run(3.75).called and play.run(8).called == {7}


def test_pause_of_this_scheduler_calls_nobody() -> None:
    play = Play()
    play.begin([1.0] * 6 + [1.1, 1.1])
    play.silent = {6, 7}
    play.run(4)
    play.now += 30 * S  # the ends of both lie unread
    found = play.gangs.look(play.now)
    assert {v.reason for v in found.verdicts} == {Reason.PAUSED}


def test_other_kind_is_not_compared_until_it_is_known() -> None:
    gangs, now = Gangs(GangOptions(), "s"), T0
    for i in range(8):
        gangs.joined(now, i, Membership("k", 8, i), Repeat.SAFE, 4 * S)
        gangs.placed(now, i, 0, f"w{i}", "old" if i == 7 else "new")
        gangs.started(now, i, 0)
    for step in range(1, 12):
        now += LOOK
        for i in range(8):
            gangs.progress(now, i, 0, step / (64 if i == 7 else 16))
        reason = {v.index: v.reason for v in gangs.look(now).verdicts}
    assert reason[7] is Reason.FEW_PEERS


def test_budget_of_all_gangs_is_kept_and_fades() -> None:
    budget = MoveBudget(0.1)
    granted = 0
    for _ in range(100):
        budget.record_placement(T0)
    for _ in range(100):
        if budget.allows(T0):
            budget.record_move(T0)
            granted += 1
    assert granted == 11  # a tenth, and one
    assert budget.allows(T0 + 3_600 * S)
    assert not MoveBudget(0).allows(T0)


def test_gangs_budget_and_copies() -> None:
    play = Play(GangOptions(moves_of_gang=0.1, copies=True))
    play.begin([1.0] * 10 + [3.0, 5.0])
    play.run(4)
    assert len(play.moved) == 1
    decisions = {v.decision for look in play.looks for v in look.verdicts if v.lags}
    assert Decision.GANG_BUDGET_SPENT in decisions


def words_of(index: int) -> st.SearchStrategy[MemberUpdate]:
    n = st.integers(0, 5)
    return st.builds(
        MemberUpdate, st.just(index), st.integers(0, 2), st.integers(0, 5), st.integers(-1, 3), n, n, n, n,
        st.sampled_from(("", "new")), st.sampled_from(("w1", "w2")), st.sampled_from(("s1", "s2")),
    )  # fmt: skip


progresses = st.builds(
    lambda size, words: merge(Progress(size, ()), Progress(size, tuple(words))),
    st.integers(1, 8),
    st.lists(st.integers(0, 4).flatmap(words_of), max_size=6),
)


@given(progresses, progresses, progresses)
@SAME
def test_merge_is_commutative_associative_and_idempotent(a: Progress, b: Progress, c: Progress) -> None:
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a and decode(encode(a)) == a
    indexes = [x.index for x in merge(a, b).members]
    assert indexes == sorted(set(indexes))


@given(st.binary(max_size=60))
@SAME
def test_foreign_bytes_are_refused(data: bytes) -> None:
    try:
        decode(data)
    except ForeignState:
        pass


def test_forged_sequence_is_refused() -> None:
    word = MemberUpdate(0, MAX_SEQUENCE + 1, 1, 0, 0, 0, 0, 0, "", "", "")
    with pytest.raises(ForeignState):
        decode(encode(Progress(2, (word,))))


@given(st.integers(0, 3 * S), st.booleans(), st.integers(0, 99))
@settings(max_examples=30, deadline=None, derandomize=True)
def test_members_elsewhere_are_peers_whatever_the_delay(delay: int, doubled: bool, seed: int) -> None:
    """Seven members at one scheduler, a slow one alone at another whose clock is a day ahead."""
    rng = random.Random(seed)
    far, near = Gangs(GangOptions(), "far"), Gangs(GangOptions(), "near")
    ahead, now, post = 86_400 * S, T0, list[tuple[int, str, Progress]]()
    for i in range(8):
        gangs, at = (near, now) if i == 7 else (far, now + ahead)
        gangs.joined(at, i, Membership("g", 8, i), Repeat.SAFE, 4 * S)
        gangs.placed(at, i, 0, f"w{i}", "new")
        gangs.started(at, i, 0)
    called = set()
    for step in range(1, 33):
        now += LOOK
        for i in range(8):
            gangs, at, share = (near, now, step / 64) if i == 7 else (far, now + ahead, step / 16)
            gangs.progress(at, i, 0, share) if share < 1 else gangs.ended(at, i, 0, True)
        for name, told in far.changes(now + ahead):
            post += [(now + delay, name, decode(encode(told)))] * (2 if doubled else 1)
        rng.shuffle(post)
        for due, name, told in post:
            if due <= now:
                near.peers(now, name, told)
        post = [x for x in post if x[0] > now]
        called |= {(v.index, v.worker) for v in near.look(now).verdicts if v.lags}
        assert not any(v.lags for v in far.look(now + ahead).verdicts)
    assert called == {(7, "w7")}
    if delay < S:
        text = near.explain(now, "g").text()
        assert "at scheduler far" in text and "times as slow as" in text
        assert dict((n, v) for n, v, _ in far.metrics())["gang.members"] == 7


def test_places_are_taken_once_and_sizes_agree() -> None:
    gangs = Gangs(GangOptions(), "s")
    gangs.joined(T0, 1, Membership("g", 4, 0), Repeat.SAFE)
    with pytest.raises(DuplicateMember):
        gangs.joined(T0, 2, Membership("g", 4, 0), Repeat.SAFE)
    with pytest.raises(GangMismatch):
        gangs.joined(T0, 2, Membership("g", 5, 1), Repeat.SAFE)
    with pytest.raises(NoSuchGang):
        gangs.explain(T0, "other")
    gangs.ended(T0, 1, 0, False)
    gangs.joined(T0, 2, Membership("g", 4, 0), Repeat.SAFE)  # the client's repeat


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 5), st.booleans(), st.booleans()), max_size=60))
@SAME
def test_what_is_held_is_bounded_and_counted(steps: list[tuple[int, int, bool, bool]]) -> None:
    gangs = Gangs(GangOptions(gangs=3, members=7), "s")
    for job, (name, index, far, ends) in enumerate(steps):
        if far:
            word = MemberUpdate(index, job, 1, -1, 0, job, 0, 0, "", "w", "p")
            gangs.peers(T0 + job, f"g{name}", Progress(6, (word,)))
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


def test_tail_is_known_once_the_last_has_ended() -> None:
    play = Play(GangOptions(moves_of_all=0))
    play.begin([1.0] * 5 + [2.0])
    play.run(9)
    assert dict((n, v) for n, v, _ in play.gangs.metrics())["gang.tail_ms"] == 4_000


@given(st.lists(st.tuples(st.integers(-5, 50), st.floats(allow_nan=True)), max_size=80))
@SAME
def test_curve_never_falls_and_stays_small(words: list[tuple[int, float]]) -> None:
    curve = Curve(0)
    for at, share in words:
        curve.add(at, share)
    assert curve.updates <= MAX_POINTS
    shares = [curve.share_at(t) for t in range(0, 51)]
    assert shares == sorted(shares) and all(0 <= x <= 1 for x in shares)
    left = curve.remaining_us()
    assert left is None or left >= 0


@given(st.lists(st.floats(-1, 1), min_size=9, max_size=15), st.integers(0, 99))
@SAME
def test_spread_is_unmoved_by_wild_values(values: list[float], seed: int) -> None:
    wild = list(values)
    for i in random.Random(seed).sample(range(len(values)), (len(values) - 1) // 2 - 1):
        wild[i] = math.exp(30 + i)
    assert spread(wild) <= 2 * 2.2219


def test_spread_is_that_of_normal_values() -> None:
    rng = random.Random(1)
    for n in (4, 7, 12):
        mean = sum(spread([rng.gauss(0, 1) for _ in range(n)]) for _ in range(2_000)) / 2_000
        assert 0.9 < mean < 1.1
