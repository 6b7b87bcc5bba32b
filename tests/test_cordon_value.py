"""The cordons of a target: merging copies, setting and lifting, renewal, and validation of the encoding."""

from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinhill.cordon.codec import cordon_kind, decode, encode
from robinhill.cordon.errors import (
    CordonMalformed,
    CordonUnknown,
)
from robinhill.cordon.limits import RECORD_LIFETIME_US
from robinhill.cordon.value import (
    CordonSet,
    Dot,
    Entry,
    Reason,
    SeenDots,
    active_entries,
    find_targets,
    lift_cordon,
    merge,
    needs_renewal,
    set_cordon,
)
from robinhill.mesh.errors import ForeignState
from tests.cordons import (
    DETERMINISTIC,
    NOW,
    SECOND_US,
    active_ids,
    operator_reason,
)


@st.composite
def histories(draw: st.DrawFn) -> list[CordonSet]:
    """Generate the copies of three writers after sets, lifts and merges in any order."""
    copies, count = [CordonSet(), CordonSet(), CordonSet()], 0
    for _ in range(draw(st.integers(1, 14))):
        i, j = draw(st.tuples(st.integers(0, 2), st.integers(0, 2)))
        cordon_id = draw(st.sampled_from(["a", "b"]))
        match draw(st.sampled_from(["set", "set", "lift", "merge"])):
            case "set":
                count += draw(st.integers(1, 3))  # writes to other targets use counters too
                copies[i] = set_cordon(copies[i], operator_reason(cordon_id), Dot(f"s{i}", 1, count), NOW)
            case "lift" if cordon_id in active_ids(copies[i]):
                copies[i] = lift_cordon(copies[i], cordon_id, NOW)
            case "merge":
                copies[i] = merge(copies[i], copies[j])
    return copies


@DETERMINISTIC
@given(histories())
def test_merge_is_commutative_associative_and_idempotent(copies: list[CordonSet]) -> None:
    a, b, c = copies
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a and merge(merge(a, b), b) == merge(a, b)
    together = {encode(merge(merge(x, y), z)) for x, y, z in permutations(copies)}
    assert len(together) == 1
    merged = decode(together.pop())
    assert all(merge(merged, x) == merged for x in copies)
    assert all(len(s.ranges) == 1 for s in merged.seen), "the dots of each writer are one range"


def test_lift_removes_only_entries_that_its_copy_has_seen() -> None:
    copy_a = set_cordon(None, operator_reason(), Dot("a", 1, 1), NOW)
    copy_b = lift_cordon(copy_a, "m1", NOW)
    again = set_cordon(copy_a, operator_reason(), Dot("a", 1, 2), NOW)  # set again while b lifts it
    assert active_ids(merge(copy_b, again)) == ["m1"]
    assert active_ids(merge(copy_b, copy_a)) == [], "the lifted entry does not reappear"
    assert active_ids(lift_cordon(merge(copy_b, again), "m1", NOW)) == []


def test_setting_a_cordon_again_keeps_its_start_and_replaces_its_end() -> None:
    first = set_cordon(None, operator_reason(), Dot("a", 1, 1), NOW)
    again = set_cordon(first, operator_reason(since_us=NOW + SECOND_US), Dot("b", 1, 1), NOW + SECOND_US)
    assert [e.reason for e in active_entries(again, NOW + SECOND_US)] == [operator_reason()]
    shorter = set_cordon(
        again, operator_reason(until_us=NOW + 5 * SECOND_US), Dot("a", 1, 2), NOW + SECOND_US
    )
    assert (
        active_ids(shorter, NOW + 4 * SECOND_US) == ["m1"] and active_ids(shorter, NOW + 5 * SECOND_US) == []
    )
    longer = set_cordon(again, operator_reason(until_us=NOW + 9 * SECOND_US), Dot("b", 1, 2), NOW + SECOND_US)
    (entry,) = active_entries(merge(shorter, longer), NOW + SECOND_US)
    assert entry.reason.until_us == NOW + 9 * SECOND_US, "of concurrent writes the later end applies"


def test_record_needs_renewal_while_a_reason_outlasts_it() -> None:
    endless, short = (
        set_cordon(None, operator_reason(until_us=us), Dot("a", 1, 1), NOW) for us in (0, NOW + 9 * SECOND_US)
    )
    half, quarter = NOW + RECORD_LIFETIME_US // 2, NOW + RECORD_LIFETIME_US // 4
    for value, expires_us, is_last_writer, expected in (
        (endless, half - 1, True, True),
        (endless, half, True, False),
        (endless, quarter - 1, False, True),
        (endless, quarter, False, False),
        (short, NOW + 9 * SECOND_US, True, False),
        (short, NOW + 8 * SECOND_US, True, True),
    ):
        assert needs_renewal(value, expires_us, NOW, is_last_writer=is_last_writer) is expected


def test_invalid_reasons_are_rejected() -> None:
    for invalid in (
        operator_reason(""),
        operator_reason("auto-x"),
        operator_reason("a b"),
        operator_reason(text=" "),
        operator_reason(text="a\nb"),
        operator_reason(until_us=NOW),
    ):
        with pytest.raises(CordonMalformed):
            set_cordon(None, invalid, Dot("a", 1, 1), NOW)
    with pytest.raises(CordonMalformed, match="must have an end"):
        set_cordon(None, Reason("auto-x", "slow", "s1", NOW, automatic=True), Dot("a", 1, 1), NOW)
    value = set_cordon(None, operator_reason(), Dot("a", 1, 1), NOW)
    with pytest.raises(ValueError, match="not new"):
        set_cordon(value, operator_reason("m2"), Dot("a", 1, 1), NOW)
    with pytest.raises(CordonUnknown, match=r"m1.*list the cordons"):
        find_targets([("zone/z", value)], "m7", NOW)


@DETERMINISTIC
@given(histories(), st.data())
def test_decode_rejects_damaged_and_invalid_values(copies: list[CordonSet], data: st.DataObject) -> None:
    encoded = encode(copies[0])
    at = data.draw(st.integers(0, len(encoded) - 1))
    damaged = encoded[:at] + bytes([encoded[at] ^ data.draw(st.integers(1, 255))]) + encoded[at + 1 :]
    for candidate in (damaged, encoded[:at], encoded + b"\0"):
        try:
            assert encode(decode(candidate)) == candidate
        except ForeignState:
            pass
    entry, dot = Entry(Dot("a", 1, 1), operator_reason()), (SeenDots("a", 1, ((1, 1),)),)
    long = Entry(Dot("a", 1, 1), operator_reason(text="x" * 201))
    for invalid_value in (
        CordonSet(entries=(entry,)),
        CordonSet(entries=(entry, entry), seen=dot),
        CordonSet(entries=(long,), seen=dot),
        CordonSet(entries=(Entry(entry.dot, operator_reason(text="a\x1b[2J")),), seen=dot),
        CordonSet(entries=(Entry(entry.dot, Reason("auto-x", "slow", "s", 1, automatic=True)),), seen=dot),
        CordonSet(seen=dot * 2),
        CordonSet(seen=(SeenDots("a", 1, ((1, 1), (2, 2))),)),
        CordonSet(seen=(SeenDots("a", 1, ((3, 2),)),)),
        CordonSet(seen=(SeenDots("a", 1, tuple((n, n) for n in range(1, 9_000, 2))),)),
        CordonSet(lifted_us=-1),
    ):
        with pytest.raises(ForeignState):
            decode(encode(invalid_value))
    with pytest.raises(ForeignState, match="canonical"):
        decode(encoded[:-1] + b"\xcc\x00")  # zero encoded in two bytes instead of one
    with pytest.raises(ForeignState, match="version 2, expected 1"):
        decode(encode(CordonSet(version=2)))
    assert cordon_kind().decode(encoded) == copies[0]
