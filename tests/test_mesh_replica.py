"""Replicas: the laws of merging, and convergence with lost and repeated records, crashes and wrong clocks."""

from collections.abc import Callable
from itertools import permutations
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from robinhill.mesh import clocks, digests, record_kinds, replica
from robinhill.mesh import snapshot as snapshots
from robinhill.mesh.clocks import MAX_FUTURE_US, MAX_SKEW_US, HybridClock, StampAhead, agreed_offset_us
from robinhill.mesh.errors import ForeignState, StateFull
from robinhill.mesh.expiry_index import SPAN_US
from robinhill.mesh.merging import merged
from robinhill.mesh.records import Kind, Record, Stamp
from robinhill.mesh.replica import Replica

S = 1_000_000
DAY = 24 * 3600 * S
NOW = 1_800_000_000 * S
TwoPhaseSet = tuple[
    tuple[int, ...], tuple[int, ...]
]  # numbers that were added, and numbers that were removed


def merge_sets(a: TwoPhaseSet, b: TwoPhaseSet) -> TwoPhaseSet:
    return tuple(sorted({*a[0], *b[0]})), tuple(sorted({*a[1], *b[1]}))


def set_kind(
    name: str, lifetime_us: int, bound: int = 100, evict: Callable[[Record], Any] | None = None
) -> Kind[TwoPhaseSet]:
    decode = msgspec.msgpack.Decoder(TwoPhaseSet).decode
    return Kind(name, msgspec.msgpack.encode, decode, merge_sets, lifetime_us, bound, evict)


EVICTING_KIND = set_kind("few", 7 * DAY, bound=3, evict=lambda record: record.stamp)
KINDS = (set_kind("long", 7 * DAY), set_kind("short", 20 * S), EVICTING_KIND, record_kinds.DRAIN_KIND)


def copies(count: int, *kinds: Kind[Any]) -> list[Replica]:
    return [Replica(f"s{i}", NOW, kinds or KINDS) for i in range(count)]


def merge(copy: Replica, now: int, record: Record) -> Record | None:
    """Merge a record, and return the stored record as `Replica.merge` does, even if it raises StampAhead."""
    try:
        return copy.merge(now, record)
    except StampAhead as e:
        return e.stored


def run_anti_entropy(all_copies: list[Replica], now: int) -> None:
    """Merge the records of differing ranges between all pairs.

    This is done twice, as a copy may receive records after its first exchange with another copy.
    """
    for a, b in 2 * list(permutations(all_copies, 2)):
        for index in digests.differing_ranges(a.ranges(now), b.ranges(now)):
            for record in a.in_range(index):
                merge(b, now, record)


def stored_records(copy: Replica) -> list[Record]:
    return [record for index in range(digests.RANGES) for record in copy.in_range(index)]


copy_index = st.integers(0, 2)


class Mesh(RuleBasedStateMachine):
    """Three copies that push their changes to each other; a push may be late, repeated or lost.

    ``skews_us``: how far the clock of each copy is ahead of the correct time ``now``.
    """

    @initialize(skews_us=st.sampled_from(((0, 0, 0), (0, 2 * S, -2 * S), (0, 3600 * S, 0))))
    def begin(self, skews_us: tuple[int, ...]) -> None:
        self.now, self.skews_us, self.last_number = NOW, skews_us, 0
        self.copies = copies(3)
        self.cursors = {pair: 0 for pair in permutations(range(3), 2)}
        self.in_flight: list[tuple[int, Record]] = []

    @rule(
        i=copy_index,
        kind=st.sampled_from(("long", "short", "few")),
        key=st.integers(0, 4),
        remove=st.booleans(),
    )
    def write(self, i: int, kind: str, key: int, remove: bool) -> None:
        self.last_number += 1
        before = self.copies[i].value(kind, str(key))
        assert before is None or isinstance(before, tuple)
        change = ((), before[0]) if remove and before else ((self.last_number,), ())
        try:
            record = self.copies[i].write(self.now + self.skews_us[i], kind, str(key), change)
        except StateFull:  # the kind holds its 3 records, all newer: this copy's clock is an hour behind
            assert kind == "few" and not before and any(self.skews_us)
            return
        assert self.copies[i].record(kind, str(key)) == record
        after = self.copies[i].value(kind, str(key))
        assert isinstance(after, tuple) and (not remove or not before or set(before[0]) <= set(after[1]))

    @rule(i=copy_index, draining=st.booleans())
    def drain(self, i: int, draining: bool) -> None:
        seen = self.copies[i].value("drain", "s9")
        at_us = record_kinds.next_time_us(
            self.now + self.skews_us[i], seen.at_us if isinstance(seen, record_kinds.Drain) else None
        )
        drain = record_kinds.Drain(at_us, f"s{i}", draining, "")
        self.copies[i].write(self.now + self.skews_us[i], "drain", "s9", drain)
        assert self.copies[i].value("drain", "s9") == drain, (
            "a drain must replace the one its writer had stored"
        )

    @rule(pair=st.sampled_from(list(permutations(range(3), 2))), limit=st.integers(1, 4))
    def push(self, pair: tuple[int, int], limit: int) -> None:
        records, self.cursors[pair] = self.copies[pair[0]].since(self.cursors[pair], limit)
        assert len(records) <= limit and len({r.name for r in records}) == len(records)
        self.in_flight += [(pair[1], record) for record in records]

    @rule(data=st.data(), twice=st.booleans(), lost=st.booleans())
    def deliver(self, data: Any, twice: bool, lost: bool) -> None:
        if self.in_flight:
            index = data.draw(st.integers(0, len(self.in_flight) - 1))
            i, record = self.in_flight[index] if twice else self.in_flight.pop(index)
            if not lost:
                merge(self.copies[i], self.now + self.skews_us[i], record)
                assert merge(self.copies[i], self.now + self.skews_us[i], record) is None, (
                    "merging a record again must change nothing"
                )

    @rule(duration_us=st.sampled_from((1, 3 * S, 8 * S, 30 * S)), collecting=st.sets(copy_index))
    def wait(self, duration_us: int, collecting: set[int]) -> None:
        self.now += duration_us
        for i in collecting:
            self.copies[i].collect(self.now + self.skews_us[i])

    @rule(i=copy_index, saved=st.booleans())
    def crash(self, i: int, saved: bool) -> None:
        owner = snapshots.SnapshotHeader("home", f"s{i}", NOW, self.now + self.skews_us[i])
        file = b"".join(snapshots.encode(owner, self.copies[i].snapshot(persistent_only=True)))
        self.last_number += 1
        self.copies[i] = Replica(f"s{i}", NOW + self.last_number, KINDS)
        for record in snapshots.decode(file, "home")[1] if saved else ():
            merge(self.copies[i], self.now + self.skews_us[i], record)
        for pair in self.cursors:
            self.cursors[pair] = 0 if i in pair else self.cursors[pair]

    @rule()
    def converge(self) -> None:
        expected: dict[tuple[str, str], Record] = {}
        by_name = {kind.name: kind for kind in KINDS}
        for record in (record for copy in self.copies for record in stored_records(copy)):
            if record.until_us > self.now and record.kind != "few":
                other = expected.get(record.name, record)
                expected[record.name] = merged(by_name[record.kind], other, record)
        run_anti_entropy(self.copies, self.now)
        assert len({copy.digest(self.now) for copy in self.copies}) == 1
        for copy in self.copies:
            sums = digests.RangeSums()
            for record in stored_records(copy):
                if -(-record.until_us // SPAN_US) * SPAN_US > self.now:
                    sums.change(digests.range_of(*record.name), 0, digests.hash_of(record))
            assert copy.ranges(self.now) == sums.without(()), "incremental and recomputed sums must be equal"
            copy.collect(self.now)
            for name in by_name:
                assert copy.items(name) == self.copies[0].items(name) == sorted(copy.items(name))
            assert len(copy.items("few")) <= 3
        if not any(self.skews_us):
            assert {r.name: r for r in self.copies[0].snapshot() if r.kind != "few"} == expected

    def teardown(self) -> None:
        self.converge()


TestMesh = Mesh.TestCase
TestMesh.settings = settings(max_examples=100, stateful_step_count=40, deadline=None, derandomize=True)

numbers = st.integers(0, 3)
stamps = st.builds(Stamp, numbers, numbers, st.sampled_from("ab"), numbers)
letters = st.sampled_from("abc")
observations = st.builds(record_kinds.Observation, letters, letters, numbers, letters, numbers)
KINDS_AND_VALUES: dict[str, tuple[Kind[Any] | None, Any]] = {
    "drain": (
        record_kinds.DRAIN_KIND,
        st.builds(record_kinds.Drain, numbers, letters, st.booleans(), letters),
    ),
    "evidence": (
        record_kinds.EVIDENCE_KIND,
        st.lists(observations, max_size=6).map(lambda s: record_kinds.merge_evidence(tuple(s), ())),
    ),
    "request": (
        record_kinds.request_kind(DAY),
        st.builds(record_kinds.Outcome, st.integers(1, 3), numbers, numbers, numbers, letters, letters),
    ),
    "unknown": (None, numbers),
}


@pytest.mark.parametrize("name", KINDS_AND_VALUES)
@settings(max_examples=300, deadline=None, derandomize=True)
@given(data=st.data())
def test_merge_is_commutative_associative_and_idempotent(name: str, data: Any) -> None:
    kind, values = KINDS_AND_VALUES[name]
    packed = values.map(kind.encode if kind else msgspec.msgpack.encode)
    a, b, c = (
        data.draw(st.builds(Record, st.just("k"), st.just(""), stamps, numbers, packed)) for _ in range(3)
    )
    assert merged(kind, a, b) == merged(kind, b, a)
    assert merged(kind, merged(kind, a, b), c) == merged(kind, a, merged(kind, b, c))
    assert merged(kind, a, a) == a and merged(kind, merged(kind, a, b), b) == merged(kind, a, b)


def test_merged_evidence_retains_the_latest_observations(monkeypatch: pytest.MonkeyPatch) -> None:
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
    withdrawal = (record_kinds.Observation("x", record_kinds.SLOW, record_kinds.next_time_us(0, 3), "", 0),)
    assert [
        s.observer
        for s in record_kinds.current_observations(record_kinds.merge_evidence((*a, *c), withdrawal), 5, 10)
    ] == ["z"]


def test_a_record_stamped_an_hour_ahead_advances_no_clock_and_loses_to_later_writes() -> None:
    fast, correct, other = copies(3)
    ahead = fast.write(NOW + 3600 * S, "long", "w", ((1,), ()))
    with pytest.raises(StampAhead) as caught:
        correct.merge(NOW, ahead)
    assert caught.value.stored == ahead and correct.merge(NOW, ahead) is None
    assert correct.write(NOW + 1, "long", "v", ((1,), ())).stamp.wall_us == NOW + 1
    later = correct.write(NOW + 2, "long", "w", ((), (1,)))
    assert later.stamp > ahead.stamp and later.stamp.wall_us == ahead.stamp.wall_us
    run_anti_entropy([fast, correct, other], NOW)
    assert fast.record("long", "w") == other.record("long", "w") == later


def test_a_record_stamped_too_far_ahead_is_rejected_until_it_is_within_the_limit() -> None:
    fast, correct = copies(2)
    record = fast.write(NOW + MAX_FUTURE_US + S, "long", "w", ((1,), ()))
    for wrong in (record, msgspec.structs.replace(record, stamp=Stamp(0, 0, "x", 0), until_us=2**53 - 1)):
        with pytest.raises(StampAhead) as caught:
            correct.merge(NOW, wrong)
        assert caught.value.stored is None and correct.record("long", "w") is None
    assert merge(correct, NOW + S, record) == record


def test_the_clock_follows_large_corrections_and_the_agreed_offset_is_the_median() -> None:
    clock = HybridClock("a", 1)
    first, second = clock.tick(NOW), clock.tick(NOW - S)
    assert first < second and clock.tick(NOW - 2 * MAX_SKEW_US).wall_us == NOW - 2 * MAX_SKEW_US
    clock.observe(NOW, Stamp(NOW + S, 2**32 - 1, "b", 1))
    for ignored_us in (NOW + 3600 * S, NOW - S):
        clock.observe(NOW, Stamp(ignored_us, 0, "c", 1))
    assert clock.tick(NOW) == Stamp(NOW + S + 1, 0, "a", 1)
    assert [clocks.next_incarnation(NOW, before) for before in (5, NOW + S)] == [NOW, NOW + S + 1]
    assert agreed_offset_us([-3600 * S]) == 0 == agreed_offset_us([3600 * S, 0]) == agreed_offset_us([S, S])
    assert agreed_offset_us([-3600 * S, -3601 * S, -3600 * S]) == -3600 * S


def test_expired_records_leave_the_digests_of_all_copies_at_once_and_are_not_restored() -> None:
    a, b = copies(2)
    old = a.write(NOW, "short", "w", ((1,), ()))
    b.merge(NOW, old)
    removed_us = -(-old.until_us // SPAN_US) * SPAN_US + MAX_SKEW_US
    assert b.items("short") == [("w", ((1,), ()))] == [("w", b.value("short", "w"))]
    assert b.collect(removed_us - 1) == 0 and b.items("short") == [] and b.collect(removed_us) == 1
    assert b.value("short", "w") is None is b.record("short", "w")
    assert a.digest(removed_us - MAX_SKEW_US) == b.digest(removed_us - MAX_SKEW_US) != a.digest(NOW)
    assert b.merge(removed_us, old) is None and b.record("short", "w") is None
    new = a.write(old.until_us, "short", "w", ((2,), ()))
    assert a.value("short", "w") == ((2,), ()) and new.stamp > old.stamp
    assert a.merge(old.until_us, old) is None and a.value("short", "w") == ((2,), ())
    assert a.collect(new.until_us) == 0 and a.clear() == [], "expired records must not be returned"


def test_clearing_a_stale_copy_prevents_it_from_restoring_removed_values() -> None:
    """One copy misses a removal while disconnected for longer than the records' lifetime."""
    disconnected, connected = copies(2)
    connected.merge(NOW, disconnected.write(NOW, "short", "w", ((1,), ())))
    connected.write(NOW + S, "short", "w", ((), (1,)))
    long_lived = disconnected.write(NOW + S, "long", "v", ((7,), ()))
    late = NOW + 60 * S
    disconnected.write(NOW + 15 * S, "short", "w", ((), ()))
    renewed = disconnected.write(NOW + 30 * S, "short", "w", ((3,), ()))
    connected.collect(late)
    assert not disconnected.stale(NOW + 31 * S, 5 * S) and disconnected.stale(NOW + 31 * S, 30 * S)
    assert disconnected.clear(30 * S) == [renewed] and disconnected.record("long", "v") == long_lived
    assert not disconnected.stale(NOW + 31 * S, 30 * S)
    run_anti_entropy([disconnected, connected], late)
    assert connected.value("short", "w") is None is disconnected.value("short", "w")
    assert disconnected.clear() == [long_lived] and disconnected.sizes()["long"] == (0, 0)
    assert disconnected.digest(late) == copies(1)[0].digest(late) != connected.digest(late)


def test_full_kinds_retain_the_same_records_in_every_order_of_arrival(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(replica, "MAX_UNKNOWN_RECORDS", 2)
    source = Replica("s", 1, [set_kind("few", DAY), set_kind("new", DAY)])
    written = [source.write(NOW + i, kind, str(i), ((i,), ())) for i in range(4) for kind in ("few", "new")]
    receivers = copies(3)
    for copy, order in zip(receivers, (written, written[::-1], written[3:] + written[:3]), strict=True):
        for record in order:
            copy.merge(NOW, record)
    assert len({copy.digest(NOW) for copy in receivers}) == 1
    assert {name: size for name, (size, _) in receivers[0].sizes().items() if size} == {
        "few": 3,
        "unknown": 2,
    }
    assert receivers[0].record("new", "3") == written[-1] and receivers[0].record("new", "1") is None


def test_writes_are_rejected_at_the_bound_of_a_kind_and_merges_at_twice_the_bound() -> None:
    limited, *others = copies(3, set_kind("m", 20 * S, bound=1))
    limited.write(NOW, "m", "0", ((1,), ()))
    with pytest.raises(StateFull):
        limited.write(NOW, "m", "1", ((1,), ()))
    assert limited.merge(NOW, others[0].write(NOW, "m", "1", ((1,), ())))
    third = others[1].write(NOW + S, "m", "2", ((1,), ()))
    with pytest.raises(StateFull):
        limited.merge(NOW + S, third)
    assert limited.write(NOW + S, "m", "0", ((2,), ())), "a stored record may still change"
    assert limited.merge(NOW + 20 * S, third), "expired records must make room"
    with pytest.raises(StateFull):
        limited.write(NOW + S, "m", "0", (tuple(range(replica.MAX_WRITTEN_VALUE_BYTES)), ()))
    assert limited.value("m", "0") == ((1, 2), ())


@pytest.mark.parametrize("known", (True, False))
def test_large_records_are_bounded_in_bytes(known: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    source, limited = (
        Replica("s", 1, [set_kind("m", DAY)]),
        Replica("t", 1, [set_kind("m", DAY)] if known else ()),
    )
    flood = [source.write(NOW + i, "m", str(i), (tuple(range(90)), ())) for i in range(4)]
    monkeypatch.setattr(replica, "MAX_KIND_BYTES", 150)
    assert limited.merge(NOW, flood[0])
    if known:
        with pytest.raises(StateFull):
            limited.merge(NOW, flood[1])
    else:
        assert [limited.merge(NOW, r) for r in (*flood[1:], flood[0])] == [*flood[1:], None]
    assert max(size for _, size in limited.sizes().values()) <= 150


def test_since_returns_each_record_once_and_the_log_stays_small_however_often_records_change() -> None:
    copy = copies(1)[0]
    for i in range(1_000):
        copy.write(NOW + i, "long", str(i % 3), ((i % 5,), ()))
    assert len(copy._log._entries) <= 2 * 3 + 64
    first, cursor = copy.since(0, 2)
    assert [r.key for r in first] == ["1", "2"] and copy.since(cursor, 9)[0] == [copy.record("long", "0")]
    assert copy.since(copy.head, 9) == ([], copy.head)
    assert len(copy.since(copy.head + 1, 9)[0]) == 3 and len(copy.since(0, 9)[0]) == 3
    parts = copy.snapshot()
    assert next(parts) and len(copy.clear()) == 3 and list(parts) == [], (
        "the snapshot must omit cleared records"
    )


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


def test_damaged_or_foreign_snapshots_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(snapshots, "FRAME_BYTES", 100)
    source = copies(1)[0]
    for i in range(6):
        source.write(NOW, "long", str(i), ((i,), ()))
    owner = snapshots.SnapshotHeader("home", "s0", 7, NOW)
    pieces = list(snapshots.encode(owner, source.snapshot(persistent_only=True)))
    whole = b"".join(pieces)
    assert snapshots.decode(whole, "home") == (owner, list(source.snapshot())) and len(pieces) > 4
    torn = [whole[:end] for end in range(len(whole))]
    flipped = [bytes((*whole[:at], whole[at] ^ 1, *whole[at + 1 :])) for at in range(len(whole))]
    moved = [b"".join((*pieces[:2], pieces[3], pieces[2], *pieces[4:])), b"".join((*pieces[:2], *pieces[3:]))]
    for damaged in (*torn, *flipped, *moved, whole + b"x"):
        with pytest.raises(ForeignState):
            snapshots.decode(damaged, "home")
    with pytest.raises(ForeignState, match="installation"):
        snapshots.decode(whole, "away")
    monkeypatch.setattr(snapshots, "VERSION", 2)
    newer = b"".join(snapshots.encode(owner, ()))
    monkeypatch.undo()
    with pytest.raises(ForeignState, match="version 2"):
        snapshots.decode(newer, "home")
