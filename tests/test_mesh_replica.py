"""Copies of shared state: laws of merging, and three copies under losses, repeats, crashes, wrong clocks."""

from collections.abc import Callable
from itertools import permutations
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from robinhill.mesh import clocks, digests, record_kinds, replica
from robinhill.mesh import snapshot as rest
from robinhill.mesh.clocks import MAX_FUTURE_US, MAX_SKEW_US, HybridClock, StampAhead, agreed_offset_us
from robinhill.mesh.errors import ForeignState, StateFull
from robinhill.mesh.expiry_index import SPAN_US
from robinhill.mesh.merging import merged
from robinhill.mesh.records import Kind, Record, Stamp
from robinhill.mesh.replica import Replica

S = 1_000_000
DAY = 24 * 3600 * S
NOW = 1_800_000_000 * S
Marks = tuple[tuple[int, ...], tuple[int, ...]]  # what was put in force, and what of it was lifted


def union(a: Marks, b: Marks) -> Marks:
    return tuple(sorted({*a[0], *b[0]})), tuple(sorted({*a[1], *b[1]}))


def marks(
    name: str, lifetime_us: int, bound: int = 100, evict: Callable[[Record], Any] | None = None
) -> Kind[Marks]:
    decode = msgspec.msgpack.Decoder(Marks).decode
    return Kind(name, msgspec.msgpack.encode, decode, union, lifetime_us, bound, evict)


FEW = marks("few", 7 * DAY, bound=3, evict=lambda record: record.stamp)
KINDS = (marks("long", 7 * DAY), marks("short", 20 * S), FEW, record_kinds.DRAIN_KIND)


def copies(count: int, *given: Kind[Any]) -> list[Replica]:
    return [Replica(f"s{i}", NOW, given or KINDS) for i in range(count)]


def take(copy: Replica, now: int, record: Record) -> Record | None:
    try:
        return copy.merge(now, record)
    except StampAhead as e:
        return e.stored


def exchange(all_copies: list[Replica], now: int) -> None:
    """Repair by digests of ranges; twice, as what was taken last must reach all."""
    for a, b in 2 * list(permutations(all_copies, 2)):
        for index in digests.differing_ranges(a.ranges(now), b.ranges(now)):
            for record in a.in_range(index):
                take(b, now, record)


def held(copy: Replica) -> list[Record]:
    return [record for index in range(digests.RANGES) for record in copy.in_range(index)]


which = st.integers(0, 2)


class Mesh(RuleBasedStateMachine):
    """Three copies; every change goes to both others, where it may come late, twice, or never."""

    @initialize(skewed=st.sampled_from(((0, 0, 0), (0, 2 * S, -2 * S), (0, 3600 * S, 0))))
    def begin(self, skewed: tuple[int, ...]) -> None:
        self.now, self.skewed, self.number = NOW, skewed, 0
        self.copies = copies(3)
        self.cursors = {pair: 0 for pair in permutations(range(3), 2)}
        self.flying: list[tuple[int, Record]] = []

    @rule(i=which, kind=st.sampled_from(("long", "short", "few")), key=st.integers(0, 4), lift=st.booleans())
    def write(self, i: int, kind: str, key: int, lift: bool) -> None:
        self.number += 1
        before = self.copies[i].value(kind, str(key))
        assert before is None or isinstance(before, tuple)
        change = ((), before[0]) if lift and before else ((self.number,), ())
        try:
            record = self.copies[i].write(self.now + self.skewed[i], kind, str(key), change)
        except StateFull:  # a copy that is an hour behind, where a full kind holds newer ones
            assert kind == "few" and not before and any(self.skewed)
            return
        assert self.copies[i].record(kind, str(key)) == record
        after = self.copies[i].value(kind, str(key))
        assert isinstance(after, tuple) and (not lift or not before or set(before[0]) <= set(after[1]))

    @rule(i=which, draining=st.booleans())
    def drain(self, i: int, draining: bool) -> None:
        seen = self.copies[i].value("drain", "s9")
        at = record_kinds.next_time_us(
            self.now + self.skewed[i], seen.at_us if isinstance(seen, record_kinds.Drain) else None
        )
        drain = record_kinds.Drain(at, f"s{i}", draining, "")
        self.copies[i].write(self.now + self.skewed[i], "drain", "s9", drain)
        assert self.copies[i].value("drain", "s9") == drain, "who has seen the former one wins over it"

    @rule(pair=st.sampled_from(list(permutations(range(3), 2))), limit=st.integers(1, 4))
    def push(self, pair: tuple[int, int], limit: int) -> None:
        records, self.cursors[pair] = self.copies[pair[0]].since(self.cursors[pair], limit)
        assert len(records) <= limit and len({r.name for r in records}) == len(records)
        self.flying += [(pair[1], record) for record in records]

    @rule(data=st.data(), twice=st.booleans(), lost=st.booleans())
    def arrive(self, data: Any, twice: bool, lost: bool) -> None:
        if self.flying:
            at = data.draw(st.integers(0, len(self.flying) - 1))
            i, record = self.flying[at] if twice else self.flying.pop(at)
            if not lost:
                take(self.copies[i], self.now + self.skewed[i], record)
                assert take(self.copies[i], self.now + self.skewed[i], record) is None, "nothing more"

    @rule(us=st.sampled_from((1, 3 * S, 8 * S, 30 * S)), collects=st.sets(which))
    def wait(self, us: int, collects: set[int]) -> None:
        self.now += us
        for i in collects:
            self.copies[i].collect(self.now + self.skewed[i])

    @rule(i=which, saved=st.booleans())
    def crash(self, i: int, saved: bool) -> None:
        owner = rest.SnapshotHeader("home", f"s{i}", NOW, self.now + self.skewed[i])
        file = b"".join(rest.encode(owner, self.copies[i].snapshot(persistent_only=True)))
        self.number += 1
        self.copies[i] = Replica(f"s{i}", NOW + self.number, KINDS)
        for record in rest.decode(file, "home")[1] if saved else ():
            take(self.copies[i], self.now + self.skewed[i], record)
        for pair in self.cursors:
            self.cursors[pair] = 0 if i in pair else self.cursors[pair]

    @rule()
    def heal(self) -> None:
        expected: dict[tuple[str, str], Record] = {}
        by_name = {kind.name: kind for kind in KINDS}
        for record in (record for copy in self.copies for record in held(copy)):
            if record.until_us > self.now and record.kind != "few":
                other = expected.get(record.name, record)
                expected[record.name] = merged(by_name[record.kind], other, record)
        exchange(self.copies, self.now)
        assert len({copy.digest(self.now) for copy in self.copies}) == 1
        for copy in self.copies:
            sums = digests.RangeSums()
            for record in held(copy):
                if -(-record.until_us // SPAN_US) * SPAN_US > self.now:
                    sums.change(digests.range_of(*record.name), 0, digests.hash_of(record))
            assert copy.ranges(self.now) == sums.without(()), "kept with each change, or counted anew"
            copy.collect(self.now)
            for name in by_name:
                assert copy.items(name) == self.copies[0].items(name) == sorted(copy.items(name))
            assert len(copy.items("few")) <= 3
        if not any(self.skewed):
            assert {r.name: r for r in self.copies[0].snapshot() if r.kind != "few"} == expected

    def teardown(self) -> None:
        self.heal()


TestMesh = Mesh.TestCase
TestMesh.settings = settings(max_examples=100, stateful_step_count=40, deadline=None, derandomize=True)

few = st.integers(0, 3)
stamps = st.builds(Stamp, few, few, st.sampled_from("ab"), few)
word = st.sampled_from("abc")
sightings = st.builds(record_kinds.Observation, word, word, few, word, few)
VALUES: dict[str, tuple[Kind[Any] | None, Any]] = {
    "drain": (record_kinds.DRAIN_KIND, st.builds(record_kinds.Drain, few, word, st.booleans(), word)),
    "evidence": (
        record_kinds.EVIDENCE_KIND,
        st.lists(sightings, max_size=6).map(lambda s: record_kinds.merge_evidence(tuple(s), ())),
    ),
    "request": (
        record_kinds.request_kind(DAY),
        st.builds(record_kinds.Outcome, st.integers(1, 3), few, few, few, word, word),
    ),
    "unknown": (None, few),
}


@pytest.mark.parametrize("name", VALUES)
@settings(max_examples=300, deadline=None, derandomize=True)
@given(data=st.data())
def test_merging_is_commutative_associative_idempotent(name: str, data: Any) -> None:
    kind, values = VALUES[name]
    packed = values.map(kind.encode if kind else msgspec.msgpack.encode)
    a, b, c = (data.draw(st.builds(Record, st.just("k"), st.just(""), stamps, few, packed)) for _ in range(3))
    assert merged(kind, a, b) == merged(kind, b, a)
    assert merged(kind, merged(kind, a, b), c) == merged(kind, a, merged(kind, b, c))
    assert merged(kind, a, a) == a and merged(kind, merged(kind, a, b), b) == merged(kind, a, b)


def test_evidence_keeps_the_latest_observations_within_its_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(record_kinds, "MAX_OBSERVATIONS", 2)
    a, b, c = (
        (record_kinds.Observation(o, record_kinds.SLOW, at, "", at),)
        for o, at in (("x", 3), ("y", 1), ("z", 2))
    )
    assert (
        record_kinds.merge_evidence(record_kinds.merge_evidence(a, b), c)
        == record_kinds.merge_evidence(a, record_kinds.merge_evidence(b, c))
        == (*a, *c)
    )
    back = (record_kinds.Observation("x", record_kinds.SLOW, record_kinds.next_time_us(0, 3), "", 0),)
    assert [
        s.observer
        for s in record_kinds.current_observations(record_kinds.merge_evidence((*a, *c), back), 5, 10)
    ] == ["z"]


def test_a_stamp_an_hour_ahead_counts_but_advances_no_clock_and_loses_to_later_writes() -> None:
    fast, sane, other = copies(3)
    ahead = fast.write(NOW + 3600 * S, "long", "w", ((1,), ()))
    with pytest.raises(StampAhead) as caught:
        sane.merge(NOW, ahead)
    assert caught.value.stored == ahead and sane.merge(NOW, ahead) is None
    assert sane.write(NOW + 1, "long", "v", ((1,), ())).stamp.wall_us == NOW + 1
    answer = sane.write(NOW + 2, "long", "w", ((), (1,)))
    assert answer.stamp > ahead.stamp and answer.stamp.wall_us == ahead.stamp.wall_us
    exchange([fast, sane, other], NOW)
    assert fast.record("long", "w") == other.record("long", "w") == answer


def test_a_stamp_years_ahead_is_rejected_until_its_time_is_near() -> None:
    mad, sane = copies(2)
    record = mad.write(NOW + MAX_FUTURE_US + S, "long", "w", ((1,), ()))
    for wrong in (record, msgspec.structs.replace(record, stamp=Stamp(0, 0, "x", 0), until_us=2**53 - 1)):
        with pytest.raises(StampAhead) as caught:
            sane.merge(NOW, wrong)
        assert caught.value.stored is None and sane.record("long", "w") is None
    assert take(sane, NOW + S, record) == record


def test_clock_goes_on_after_a_correction_and_most_clocks_agree() -> None:
    clock = HybridClock("a", 1)
    first, second = clock.tick(NOW), clock.tick(NOW - S)
    assert first < second and clock.tick(NOW - 2 * MAX_SKEW_US).wall_us == NOW - 2 * MAX_SKEW_US
    clock.observe(NOW, Stamp(NOW + S, 2**32 - 1, "b", 1))
    for unheeded in (NOW + 3600 * S, NOW - S):
        clock.observe(NOW, Stamp(unheeded, 0, "c", 1))
    assert clock.tick(NOW) == Stamp(NOW + S + 1, 0, "a", 1)
    assert [clocks.next_incarnation(NOW, before) for before in (5, NOW + S)] == [NOW, NOW + S + 1]
    assert agreed_offset_us([-3600 * S]) == 0 == agreed_offset_us([3600 * S, 0]) == agreed_offset_us([S, S])
    assert agreed_offset_us([-3600 * S, -3601 * S, -3600 * S]) == -3600 * S


def test_expired_records_leave_all_digests_at_once_and_do_not_return() -> None:
    a, b = copies(2)
    old = a.write(NOW, "short", "w", ((1,), ()))
    b.merge(NOW, old)
    gone = -(-old.until_us // SPAN_US) * SPAN_US + MAX_SKEW_US
    assert b.items("short") == [("w", ((1,), ()))] == [("w", b.value("short", "w"))]
    assert b.collect(gone - 1) == 0 and b.items("short") == [] and b.collect(gone) == 1
    assert b.value("short", "w") is None is b.record("short", "w")
    assert a.digest(gone - MAX_SKEW_US) == b.digest(gone - MAX_SKEW_US) != a.digest(NOW)
    assert b.merge(gone, old) is None and b.record("short", "w") is None
    new = a.write(old.until_us, "short", "w", ((2,), ()))
    assert a.value("short", "w") == ((2,), ()) and new.stamp > old.stamp
    assert a.merge(old.until_us, old) is None and a.value("short", "w") == ((2,), ())
    assert a.collect(new.until_us) == 0 and a.clear() == [], "what is over is nobody's to write again"


def test_a_stale_copy_is_cleared_before_it_restores_removed_values() -> None:
    away, here = copies(2)
    here.merge(NOW, away.write(NOW, "short", "w", ((1,), ())))
    here.write(NOW + S, "short", "w", ((), (1,)))
    kept = away.write(NOW + S, "long", "v", ((7,), ()))
    late = NOW + 60 * S
    away.write(NOW + 15 * S, "short", "w", ((), ()))
    renewed = away.write(NOW + 30 * S, "short", "w", ((3,), ()))
    here.collect(late)
    assert not away.stale(NOW + 31 * S, 5 * S) and away.stale(NOW + 31 * S, 30 * S)
    assert away.clear(30 * S) == [renewed] and away.record("long", "v") == kept
    assert not away.stale(NOW + 31 * S, 30 * S)
    exchange([away, here], late)
    assert here.value("short", "w") is None is away.value("short", "w")
    assert away.clear() == [kept] and away.sizes()["long"] == (0, 0)
    assert away.digest(late) == copies(1)[0].digest(late) != here.digest(late)


def test_full_kinds_keep_the_same_records_in_every_order_or_reject(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replica, "MAX_UNKNOWN_RECORDS", 2)
    source = Replica("s", 1, [marks("few", DAY), marks("new", DAY)])
    written = [source.write(NOW + i, kind, str(i), ((i,), ())) for i in range(4) for kind in ("few", "new")]
    held_by = copies(3)
    for copy, order in zip(held_by, (written, written[::-1], written[3:] + written[:3]), strict=True):
        for record in order:
            copy.merge(NOW, record)
    assert len({copy.digest(NOW) for copy in held_by}) == 1
    assert {name: size for name, (size, _) in held_by[0].sizes().items() if size} == {"few": 3, "unknown": 2}
    assert held_by[0].record("new", "3") == written[-1] and held_by[0].record("new", "1") is None


def test_writes_are_rejected_at_the_bound_and_merges_at_twice_that() -> None:
    tight, *others = copies(3, marks("m", 20 * S, bound=1))
    tight.write(NOW, "m", "0", ((1,), ()))
    with pytest.raises(StateFull):
        tight.write(NOW, "m", "1", ((1,), ()))
    assert tight.merge(NOW, others[0].write(NOW, "m", "1", ((1,), ())))
    third = others[1].write(NOW + S, "m", "2", ((1,), ()))
    with pytest.raises(StateFull):
        tight.merge(NOW + S, third)
    assert tight.write(NOW + S, "m", "0", ((2,), ())), "what is held may still change"
    assert tight.merge(NOW + 20 * S, third), "what is over makes room"
    with pytest.raises(StateFull):
        tight.write(NOW + S, "m", "0", (tuple(range(replica.MAX_WRITTEN_VALUE_BYTES)), ()))
    assert tight.value("m", "0") == ((1, 2), ())


@pytest.mark.parametrize("known", (True, False))
def test_a_flood_of_large_records_is_bounded_in_bytes(known: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    source, tight = Replica("s", 1, [marks("m", DAY)]), Replica("t", 1, [marks("m", DAY)] if known else ())
    flood = [source.write(NOW + i, "m", str(i), (tuple(range(90)), ())) for i in range(4)]
    monkeypatch.setattr(replica, "MAX_KIND_BYTES", 150)
    assert tight.merge(NOW, flood[0])
    if known:
        with pytest.raises(StateFull):
            tight.merge(NOW, flood[1])
    else:
        assert [tight.merge(NOW, r) for r in (*flood[1:], flood[0])] == [*flood[1:], None]
    assert max(size for _, size in tight.sizes().values()) <= 150


def test_since_costs_what_it_returns_however_often_a_record_changes() -> None:
    copy = copies(1)[0]
    for i in range(1_000):
        copy.write(NOW + i, "long", str(i % 3), ((i % 5,), ()))
    assert len(copy._log._entries) <= 2 * 3 + 64
    first, cursor = copy.since(0, 2)
    assert [r.key for r in first] == ["1", "2"] and copy.since(cursor, 9)[0] == [copy.record("long", "0")]
    assert copy.since(copy.head, 9) == ([], copy.head)
    assert len(copy.since(copy.head + 1, 9)[0]) == 3 and len(copy.since(0, 9)[0]) == 3
    parts = copy.snapshot()
    assert next(parts) and len(copy.clear()) == 3 and list(parts) == [], "dropped meanwhile"


def test_malformed_records_are_rejected() -> None:
    copy = copies(1)[0]
    good = copies(1)[0].write(NOW, "long", "w", ((1,), ()))
    change = msgspec.structs.replace
    for wrong in (
        {"value": b"\x01"}, {"kind": ""}, {"kind": "a\0b"}, {"key": "k" * 999}, {"until_us": 2**60},
        {"stamp": change(good.stamp, wall_us=-1)}, {"kind": "new", "value": bytes(1 << 20)},
    ):  # fmt: skip
        with pytest.raises(ForeignState):
            copy.merge(NOW, change(good, **wrong))
    assert copy.head == 0 and copy.digest(NOW) == copies(1)[0].digest(NOW)
    with pytest.raises(ForeignState):
        digests.differing_ranges(copy.ranges(NOW), (0,) * 255)


def test_a_snapshot_is_read_completely_or_not_at_all(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rest, "FRAME_BYTES", 100)
    source = copies(1)[0]
    for i in range(6):
        source.write(NOW, "long", str(i), ((i,), ()))
    owner = rest.SnapshotHeader("home", "s0", 7, NOW)
    pieces = list(rest.encode(owner, source.snapshot(persistent_only=True)))
    whole = b"".join(pieces)
    assert rest.decode(whole, "home") == (owner, list(source.snapshot())) and len(pieces) > 4
    torn = [whole[:end] for end in range(len(whole))]
    flipped = [bytes((*whole[:at], whole[at] ^ 1, *whole[at + 1 :])) for at in range(len(whole))]
    moved = [b"".join((*pieces[:2], pieces[3], pieces[2], *pieces[4:])), b"".join((*pieces[:2], *pieces[3:]))]
    for damaged in (*torn, *flipped, *moved, whole + b"x"):
        with pytest.raises(ForeignState):
            rest.decode(damaged, "home")
    with pytest.raises(ForeignState, match="installation"):
        rest.decode(whole, "away")
    monkeypatch.setattr(rest, "VERSION", 2)
    newer = b"".join(rest.encode(owner, ()))
    monkeypatch.undo()
    with pytest.raises(ForeignState, match="version 2"):
        rest.decode(newer, "home")
