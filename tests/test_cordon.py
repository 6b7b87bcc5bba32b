"""Cordons: merge of copies, index, budget, propagation, views, and automatic cordons."""

from itertools import permutations
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from robinhill.cordon.automatic import Observation, propose
from robinhill.cordon.budget import CAUSES, Budget, Location
from robinhill.cordon.codec import cordon_kind, decode, encode
from robinhill.cordon.errors import (
    BoundNotMet,
    CordonBudgetSpent,
    CordonMalformed,
    CordonUnknown,
    NotAccepted,
    TooManyCalls,
)
from robinhill.cordon.index import CordonIndex, IndexUpdate, WorkersCordoned, WorkersUncordoned
from robinhill.cordon.limits import RECORD_LIFETIME_US
from robinhill.cordon.propagation import (
    Mode,
    ProcessStatus,
    Propagation,
    Propagations,
    PropagationStage,
    Scheduler,
    with_slack,
)
from robinhill.cordon.propagation_tracker import PropagationTracker
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
)  # fmt: skip
from robinhill.cordon.views import list_cordons, read_put, read_wait, summarize_change
from robinhill.mesh import acknowledgements
from robinhill.mesh.acknowledgements import Acknowledgement
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.quorum import Quorum

S = 1_000_000
NOW = 1_800_000_000 * S
SAME = settings(max_examples=150, deadline=None, derandomize=True)


def why(cordon_id: str = "m1", until_us: int = 0, since_us: int = NOW, text: str = "new disk") -> Reason:
    return Reason(cordon_id, text, "ada", since_us, until_us)


def ids(value: CordonSet, now_us: int = NOW) -> list[str]:
    return [e.reason.id for e in active_entries(value, now_us)]


@st.composite
def histories(draw: st.DrawFn) -> list[CordonSet]:
    """Copies at three writers after writes, lifts and merges in any order."""
    copies, count = [CordonSet(), CordonSet(), CordonSet()], 0
    for _ in range(draw(st.integers(1, 14))):
        i, j = draw(st.tuples(st.integers(0, 2), st.integers(0, 2)))
        cordon_id = draw(st.sampled_from(["a", "b"]))
        match draw(st.sampled_from(["set", "set", "lift", "merge"])):
            case "set":
                count += draw(st.integers(1, 3))  # other targets take counters too
                copies[i] = set_cordon(copies[i], why(cordon_id), Dot(f"s{i}", 1, count), NOW)
            case "lift" if cordon_id in ids(copies[i]):
                copies[i] = lift_cordon(copies[i], cordon_id, NOW)
            case "merge":
                copies[i] = merge(copies[i], copies[j])
    return copies


@SAME
@given(histories())
def test_copies_merge_to_the_same_in_any_order_and_grouping(copies: list[CordonSet]) -> None:
    a, b, c = copies
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a and merge(merge(a, b), b) == merge(a, b)
    together = {encode(merge(merge(x, y), z)) for x, y, z in permutations(copies)}
    assert len(together) == 1
    whole = decode(together.pop())
    assert all(merge(whole, x) == whole for x in copies)
    assert all(len(s.ranges) == 1 for s in whole.seen), "a writer's own dots are one range"


def test_a_lift_removes_only_what_it_has_seen() -> None:
    at_a = set_cordon(None, why(), Dot("a", 1, 1), NOW)
    at_b = lift_cordon(at_a, "m1", NOW)
    again = set_cordon(at_a, why(), Dot("a", 1, 2), NOW)  # set again while b lifts it
    assert ids(merge(at_b, again)) == ["m1"]
    assert ids(merge(at_b, at_a)) == [], "the one that it saw does not come back"
    assert ids(lift_cordon(merge(at_b, again), "m1", NOW)) == []


def test_setting_a_cordon_again_keeps_its_start_and_a_new_end_replaces_the_old() -> None:
    first = set_cordon(None, why(), Dot("a", 1, 1), NOW)
    again = set_cordon(first, why(since_us=NOW + S), Dot("b", 1, 1), NOW + S)
    assert [e.reason for e in active_entries(again, NOW + S)] == [why()]
    shorter = set_cordon(again, why(until_us=NOW + 5 * S), Dot("a", 1, 2), NOW + S)
    assert ids(shorter, NOW + 4 * S) == ["m1"] and ids(shorter, NOW + 5 * S) == []
    longer = set_cordon(again, why(until_us=NOW + 9 * S), Dot("b", 1, 2), NOW + S)
    (entry,) = active_entries(merge(shorter, longer), NOW + S)
    assert entry.reason.until_us == NOW + 9 * S, "of two at once the longer holds"


def test_records_are_renewed_in_time_while_a_reason_outlasts_them() -> None:
    endless, short = (set_cordon(None, why(until_us=us), Dot("a", 1, 1), NOW) for us in (0, NOW + 9 * S))
    half, quarter = NOW + RECORD_LIFETIME_US // 2, NOW + RECORD_LIFETIME_US // 4
    for value, expires_us, is_last_writer, expected in (
        (endless, half - 1, True, True),
        (endless, half, True, False),
        (endless, quarter - 1, False, True),
        (endless, quarter, False, False),
        (short, NOW + 9 * S, True, False),
        (short, NOW + 8 * S, True, True),
    ):
        assert needs_renewal(value, expires_us, NOW, is_last_writer=is_last_writer) is expected


def test_invalid_reasons_are_rejected() -> None:
    for wrong in (why(""), why("auto-x"), why("a b"), why(text=" "), why(text="a\nb"), why(until_us=NOW)):
        with pytest.raises(CordonMalformed):
            set_cordon(None, wrong, Dot("a", 1, 1), NOW)
    with pytest.raises(CordonMalformed, match="must have an end"):
        set_cordon(None, Reason("auto-x", "slow", "s1", NOW, automatic=True), Dot("a", 1, 1), NOW)
    value = set_cordon(None, why(), Dot("a", 1, 1), NOW)
    with pytest.raises(ValueError, match="not new"):
        set_cordon(value, why("m2"), Dot("a", 1, 1), NOW)
    with pytest.raises(CordonUnknown, match=r"m1.*look at the list"):
        find_targets([("zone/z", value)], "m7", NOW)


@SAME
@given(histories(), st.data())
def test_damaged_values_are_rejected(copies: list[CordonSet], data: st.DataObject) -> None:
    words = encode(copies[0])
    at = data.draw(st.integers(0, len(words) - 1))
    damaged = words[:at] + bytes([words[at] ^ data.draw(st.integers(1, 255))]) + words[at + 1 :]
    for candidate in (damaged, words[:at], words + b"\0"):
        try:
            assert encode(decode(candidate)) == candidate
        except ForeignState:
            pass
    entry, dot = Entry(Dot("a", 1, 1), why()), (SeenDots("a", 1, ((1, 1),)),)
    long = Entry(Dot("a", 1, 1), why(text="x" * 201))
    for hostile in (
        CordonSet(entries=(entry,)),
        CordonSet(entries=(entry, entry), seen=dot),
        CordonSet(entries=(long,), seen=dot),
        CordonSet(entries=(Entry(entry.dot, why(text="a\x1b[2J")),), seen=dot),
        CordonSet(entries=(Entry(entry.dot, Reason("auto-x", "slow", "s", 1, automatic=True)),), seen=dot),
        CordonSet(seen=dot * 2),
        CordonSet(seen=(SeenDots("a", 1, ((1, 1), (2, 2))),)),
        CordonSet(seen=(SeenDots("a", 1, ((3, 2),)),)),
        CordonSet(seen=(SeenDots("a", 1, tuple((n, n) for n in range(1, 9_000, 2))),)),
        CordonSet(lifted_us=-1),
    ):
        with pytest.raises(ForeignState):
            decode(encode(hostile))
    with pytest.raises(ForeignState, match="canonical"):
        decode(words[:-1] + b"\xcc\x00")  # a zero in two bytes
    with pytest.raises(ForeignState, match="version 2"):
        decode(encode(CordonSet(version=2)))
    assert cordon_kind().decode(words) == copies[0]


FLEET = {f"w{i:02}": Location(f"z{i % 3}", "large" if i % 2 else "small", i % 5) for i in range(30)}


def auto(worker: str, cause: str = "slow", since_us: int = NOW) -> Reason:
    return Reason(f"auto-{cause}-{worker}", "bad", "s1", since_us, NOW + 60 * S, True, cause, ("s1", "s2"))


def item(target: str, *given: Reason, origin: str = "s1") -> tuple[str, CordonSet]:
    value = CordonSet()
    for count, reason in enumerate(given, 1):
        value = set_cordon(value, reason, Dot(origin, 1, count), NOW)
    return target, value


def test_index_reports_cordoned_workers_and_slow_start_after_the_end() -> None:
    index = CordonIndex()
    zone = item("zone/z0", why("power"))
    change = index.update(NOW, [zone, item("worker/w00", why("disk"), auto("w00"))], FLEET)
    tens = tuple(w for w in FLEET if FLEET[w].zone == "z0")
    assert change == IndexUpdate((WorkersCordoned(tens),), NOW + 60 * S)
    assert {r.id for r in index.reasons("w00")} == {"power", "disk", "auto-slow-w00"}
    assert not index.reasons("w01")
    later = NOW + 60 * S  # the automatic one has ended
    change = index.update(later, [item("worker/w00", why("disk"), auto("w00"))], FLEET)
    assert change == IndexUpdate((WorkersUncordoned(tens[1:], later),), 0)
    assert [r.id for r in index.reasons("w00")] == ["disk"]
    assert index.started_us("w03", NOW) == later and index.started_us("w01", NOW) == NOW
    assert index.started_us("w03", later + S) == later + S, "it started once more since"
    rest = {w: p for w, p in FLEET.items() if w != "w00"}
    assert index.update(later, [], rest).events == (), "who has left the list is not lifted"


def test_a_cordon_applies_to_workers_that_are_listed_later() -> None:
    index, items = CordonIndex(), [item("worker/new", why()), item("cell/9", why("c"))]
    assert index.update(NOW, items, FLEET).events == ()
    grown = {**FLEET, "new": Location("z0"), "other": Location("z0", cell=9)}
    assert index.update(NOW, items, grown).events == (WorkersCordoned(("new", "other")),)


def test_warnings_name_what_is_left_without_workers() -> None:
    index = CordonIndex()
    index.update(NOW, [item("zone/z0", why())], FLEET)
    assert index.warnings("worker/w01") == ()
    (typo,) = index.warnings("zone/zo")
    assert "no listed worker" in typo and "z0, z1, z2" in typo
    zone, kind = index.warnings("kind/small")
    assert "zone 'z0'" in zone and "kind 'small'" in kind
    index.update(NOW, [item("zone/z0", why()), item("zone/z1", why())], FLEET)
    assert index.warnings("zone/z2") == ("no worker is left: nothing new can be placed at all",)
    two = {"a": Location("z0"), "b": Location("z1")}
    index.update(NOW, [], two)
    assert index.warnings("worker/a") == ("no worker is left in zone 'z0'",)


@SAME
@given(st.data())
def test_no_copy_exceeds_the_budget_and_all_orders_agree(data: st.DataObject) -> None:
    budget = Budget(fleet_share=0.1, zone_share=0.2)
    proposals = data.draw(
        st.lists(
            st.tuples(
                st.sampled_from(sorted(FLEET)), st.sampled_from(["silent", "slow"]), st.integers(0, 3),
                st.sampled_from("abc"),
            ),
            max_size=12,
        )
    )  # fmt: skip
    manual = [item(f"worker/{w}", why()) for w in data.draw(st.sets(st.sampled_from(sorted(FLEET))))]
    out = {target.partition("/")[2] for target, _ in manual}
    writes = [
        (f"worker/{w}", set_cordon(None, auto(w, cause, NOW - since), Dot(origin, 1, n), NOW))
        for n, (w, cause, since, origin) in enumerate(proposals, 1)
    ]
    ends = []
    for _ in range(2):
        index, held = CordonIndex(budget), dict(manual)
        for target, value in data.draw(st.permutations(writes)):
            held[target] = merge(held[target], value) if target in held else value
            index.update(NOW, held.items(), FLEET)
            automatic = index.cordoned_workers() - out
            free = [w for w in FLEET if w not in out]
            assert len(automatic) <= 0.1 * len(free)
            for zone in ("z0", "z1", "z2"):
                mine = [w for w in free if FLEET[w].zone == zone]
                assert len(automatic & set(mine)) <= 0.2 * len(mine)
        ends.append({w: index.reasons(w) for w in FLEET})
    assert ends[0] == ends[1]


def test_over_the_budget_the_worst_and_oldest_are_in_effect_and_the_rest_wait() -> None:
    index = CordonIndex(Budget(0.1, 0.2))
    slow = [item(f"worker/{w}", auto(w, "slow", NOW + n)) for n, w in enumerate(["w05", "w04", "w03", "w02"])]
    index.update(NOW, slow, FLEET)
    assert index.cordoned_workers() == {"w05", "w04", "w03"}
    with pytest.raises(CordonBudgetSpent, match="worker/w02"):
        index.check_budget()
    silent = item("worker/w01", auto("w01", "silent", NOW + 9))
    index.update(NOW, [*slow, silent, item("zone/z9", auto("z9"))], FLEET)
    assert index.cordoned_workers() == {"w01", "w05", "w04"}
    index.update(NOW, [*slow, item("zone/z0", auto("z0", "silent"))], FLEET)
    assert index.cordoned_workers() == {"w05", "w04", "w03"}, "a whole zone never fits, and bars nobody else"


def schedulers(mode: Mode | None = Mode.HOLD, count: int = 5) -> list[Scheduler]:
    return [Scheduler(f"s{i}", 1, ProcessStatus.ALIVE, mode, 3 * S) for i in range(count)]


def propagation(mode: Mode = Mode.HOLD, **more: Any) -> Propagation:
    made = Propagation("cordon m1", "s0", mode, schedulers(mode), **more)
    assert made.advance(0) is PropagationStage.RECEIVED
    made.mark_stored(1)
    return made


def confirm(call: Propagation, mono_us: int, *names: str, incarnation: int = 1) -> None:
    for name in names:
        call.record_confirmation(mono_us, name, incarnation)


def test_a_call_is_accepted_by_a_majority_and_in_force_once_all_confirmed() -> None:
    call = propagation()
    confirm(call, 2, "s0", "s1", "stranger")
    assert call.advance(2) is PropagationStage.STORED
    error = call.failure(3, ["s2", "s3", "s4"])
    assert isinstance(error, NotAccepted) and "s2, s3, s4" in str(error)
    call.mark_accepted(4)
    assert call.advance(4) is PropagationStage.ACCEPTED
    confirm(call, 5, "s2", "s3")
    error = call.failure(6)
    assert isinstance(error, BoundNotMet) and "s4 (alive, its lease may last)" in str(error)
    confirm(call, 7, "s4")
    assert call.advance(7) is PropagationStage.IN_FORCE
    assert call.failure(8) is None and not call.unconfirmed(8)
    early = propagation()
    confirm(early, 2, "s0", "s1", "s2", "s3", "s4")
    assert early.advance(3) is PropagationStage.STORED, "a majority may still be catching up"
    early.mark_accepted(4)
    assert early.advance(4) is PropagationStage.IN_FORCE


def test_under_hold_the_lease_of_a_scheduler_that_is_cut_off_expires() -> None:
    call = propagation()
    confirm(call, 9, "s0", "s1", "s2")
    call.mark_accepted(10)
    call.mark_accepted(99)
    call.update_scheduler(11, Scheduler("s3", 1, ProcessStatus.GONE, Mode.HOLD, 2 * S))
    end = 10 + with_slack(3 * S)
    assert end > 3 * S + 10 and call.next_deadline_us() == end
    assert [u.name for u in call.unconfirmed(end - 1)] == ["s4"], "the lease of s3 was shorter"
    assert call.advance(end - 1) is PropagationStage.ACCEPTED
    assert call.advance(end) is PropagationStage.IN_FORCE
    mixed = propagation()
    mixed.update_scheduler(1, Scheduler("s4", 1, ProcessStatus.GONE, Mode.SERVE, 3 * S))
    mixed.update_scheduler(1, Scheduler("s3"))
    mixed.update_scheduler(1, Scheduler("s3", 1, ProcessStatus.SUSPECT))
    confirm(mixed, 9, "s0", "s1", "s2")
    mixed.mark_accepted(10)
    assert mixed.advance(end) is PropagationStage.ACCEPTED, "these have no lease"
    assert mixed.next_deadline_us() is None
    assert [u.name for u in mixed.unconfirmed(end)] == ["s3", "s4"]


def test_under_serve_a_scheduler_that_is_cut_off_stays_unconfirmed() -> None:
    call = propagation(Mode.SERVE)
    assert call.advance(1) is PropagationStage.ACCEPTED, "as soon as it is stored"
    mixed = Propagation("m1", "s0", Mode.SERVE, [*schedulers(Mode.SERVE, 2), *schedulers()[2:]])
    mixed.mark_stored(1)
    confirm(mixed, 2, "s0", "s1")
    assert mixed.advance(60 * S) is PropagationStage.ACCEPTED, "no lease is over before a majority holds it"
    confirm(call, 2, "s0", "s1", "s2", "s3")
    call.mark_accepted(2)
    call.update_scheduler(3, Scheduler("s4", 1, ProcessStatus.GONE, Mode.SERVE))
    assert [(u.name, u.why) for u in call.unconfirmed(3600 * S)] == [("s4", "gone")]
    call.remove_scheduler(3601 * S, "s4")
    assert call.advance(3601 * S) is PropagationStage.IN_FORCE


def test_a_scheduler_that_restarted_has_to_confirm_again() -> None:
    call = propagation(Mode.SERVE)
    confirm(call, 2, "s1")
    call.update_scheduler(3, Scheduler("s1", 1, ProcessStatus.GONE, Mode.SERVE))
    confirm(call, 4, "s0", "s2", "s3")
    assert [u.name for u in call.unconfirmed(4)] == ["s4"]
    call.update_scheduler(5, Scheduler("s1", 2, ProcessStatus.ALIVE, Mode.SERVE))
    call.update_scheduler(
        5, Scheduler("s1", 1, ProcessStatus.LEFT, Mode.SERVE)
    )  # late, of the former process
    confirm(call, 5, "s1")
    assert [u.why for u in call.unconfirmed(5)] == ["alive, started again since it confirmed", "alive"]
    confirm(call, 6, "s1", incarnation=2)
    confirm(call, 6, "s1")
    call.update_scheduler(7, Scheduler("s4", 1, ProcessStatus.LEFT, Mode.SERVE))
    assert call.stage is PropagationStage.IN_FORCE


def test_a_lift_waits_for_all_schedulers_whatever_their_leases() -> None:
    call = propagation(is_lift=True)
    call.mark_accepted(1)
    confirm(call, 2, "s0", "s1", "s2", "s3")
    call.update_scheduler(2, Scheduler("s5", 1, ProcessStatus.ALIVE))
    assert [u.name for u in call.unconfirmed(99 * S)] == ["s4", "s5"]


def test_propagations_are_bounded_and_waits_end_once() -> None:
    calls = Propagations(capacity=2)
    calls.add("a", propagation(deadline_us=5 * S))
    calls.add("b", propagation(deadline_us=9 * S))
    with pytest.raises(TooManyCalls):
        calls.add("c", propagation())
    assert calls.next_deadline_us() == 5 * S and calls.end_waits(4 * S) == ()
    assert calls.end_waits(5 * S) == ("a",) and calls.end_waits(6 * S) == ()
    for call in calls.pending():
        confirm(call, 7 * S, "s0", "s1", "s2", "s3", "s4")
        call.mark_accepted(7 * S)
    assert calls.end_waits(7 * S) == ("b",) and calls.next_deadline_us() is None
    calls.add("c", propagation())
    assert calls.get("a") is None and calls.get("b") is not None
    calls.add("d", propagation())
    calls.add("e", propagation())
    assert calls.get("c") is None, "nobody waits for it"


def test_requests_of_operators_are_parsed() -> None:
    body = b'{"target": "worker/w01", "reason": "new disk", "by": "ada", "for_s": 60}'
    target, reason = read_put("m1", body, NOW)
    assert (target, reason) == ("worker/w01", why(until_us=NOW + 60 * S))
    at = b'{"target": "cell/3", "reason": "x", "until": "2027-01-15T09:00:01+01:00"}'
    assert read_put("m2", at, NOW)[1].until_us == NOW + S
    for wrong in (
        b"", b"[]", b'{"target": "zone/a"}', body.replace(b"worker/w01", b"rack/1"),
        body.replace(b"60", b"1e999"), body.replace(b"60", b"0"), body.replace(b'"by"', b'"bye"'),
        at.replace(b"09:00", b"08:59"), at.replace(b"+01:00", b""),
        body[:-1] + b', "until": "2027-01-15T09:01:00Z"}',
    ):  # fmt: skip
        with pytest.raises(CordonMalformed):
            read_put("m1", wrong, NOW)
    assert read_wait("") == 0 and read_wait("1.5") == 1_500_000
    for text in ("soon", "-1", "nan", "601"):
        with pytest.raises(CordonMalformed):
            read_wait(text)


def test_the_listing_shows_state_and_unconfirmed_schedulers() -> None:
    index, calls, call = CordonIndex(), Propagations(), propagation()
    crowd = [item(f"worker/w{i:02}", auto(f"w{i:02}")) for i in range(5)]
    index.update(NOW, [item("zone/z0", why(until_us=NOW + S), origin="s0"), *crowd], FLEET)
    calls.add("s0/1/1", call)
    confirm(call, 2, "s1", "s2", "s3")
    call.mark_accepted(2)
    told = msgspec.json.decode(msgspec.json.encode(list_cordons(2, index, calls)))
    zone = told["cordons"][-1]
    assert zone["id"] == "m1" and zone["until"] == "2027-01-15T08:00:01Z" and zone["workers"] == 10
    assert zone["state"] == "accepted" and [u["scheduler"] for u in zone["unconfirmed"]] == ["s0", "s4"]
    assert [c["state"] for c in told["cordons"][:5]] == ["held here"] * 4 + ["over budget"]
    status, reply = summarize_change(2, "m1", ["zone/z0"], call, index, waited=False)
    assert status == 202 and not reply.error and reply.warnings == ("no worker is left in zone 'z0'",)
    status, reply = summarize_change(2, "m1", ["zone/z0"], call, index, waited=True)
    assert status == 504 and "s0 (alive" in reply.error and "may still act as before" in reply.error
    assert summarize_change(9 * S, "m1", [], call, index, waited=True)[0] == 200


def seen(observer: int, worker: str, cause: str = "slow", amount: float = 5.0, **more: Any) -> Observation:
    fields = {
        "baseline": 1.0 if cause in ("slow", "lagging") else 0.0,
        "worker_count": 30,
        "at_us": NOW - 10 * S,
    }
    return Observation(f"s{observer}", worker, cause, amount, **{**fields, **more})


def found(observations: list[Observation], now_us: int = NOW, **items: CordonSet) -> list[str]:
    given = {f"worker/{w}": value for w, value in items.items()}
    proposals = propose(now_us, "s1", ["s1", "s2", "s3"], observations, given, FLEET)
    for _, reason in proposals:
        set_cordon(None, reason, Dot("s1", 1, 1), now_us)  # it may be written
    return [target.partition("/")[2] for target, _ in proposals]


def test_a_quorum_of_observers_that_each_count_once_makes_a_suspect() -> None:
    three = [seen(i, "w01") for i in range(3)]
    assert found(three) == ["w01"]
    assert found([*three[:2], seen(1, "w01", at_us=NOW), seen(1, "w01", "failing", 1.0)]) == []
    assert found([*three[:2], seen(3, "w01", "silent", 1.0)]) == ["w01"], "it is bad by either cause"
    assert found([*three, *(seen(i, "w01", amount=1.0) for i in range(3, 6))]) == [], (
        "as many find it healthy"
    )
    assert found([*three[:2], seen(2, "w01", amount=1.0, at_us=NOW), three[2]]) == [], "the last one counts"
    for spoilt in ({"at_us": NOW - 31 * S}, {"at_us": NOW + 3600 * S}, {"baseline": float("nan")}):
        assert found([*three[:2], seen(2, "w01", **spoilt)]) == []
    assert found([seen(i, "gone") for i in range(3)]) == []


def test_an_observer_that_finds_too_many_bad_is_discarded() -> None:
    two = [seen(i, "w01") for i in range(2)]
    assert found([*two, *(seen(2, w) for w in sorted(FLEET)[:8])]) == []
    assert found([*two, *(seen(2, w) for w in sorted(FLEET)[:7])]) == ["w01"]
    assert found([*two, *(seen(2, w, worker_count=8) for w in sorted(FLEET)[:3])]) == [], (
        "of those that it observed"
    )


@SAME
@given(st.sets(st.sampled_from(sorted(FLEET)), min_size=10), st.sampled_from(CAUSES), st.floats(0.9, 9.0))
def test_a_shared_slowdown_cordons_nobody(slow: set[str], cause: str, amount: float) -> None:
    observations = [seen(3 * n + i, w, cause, amount) for n, w in enumerate(sorted(slow)) for i in range(3)]
    assert found(observations) == [], "though each observer sees one worker, and thinks that it alone is bad"


def test_in_a_slower_zone_only_a_worker_slower_still_is_an_outlier() -> None:
    zone = [w for w in FLEET if FLEET[w].zone == "z1" and w != "w01"]
    slower = [seen(3 * n + i, w, amount=2.0) for n, w in enumerate(zone) for i in range(3)]
    assert found([*slower, *(seen(i, "w01", amount=5.9) for i in range(3))]) == []
    assert found([*slower, *(seen(i, "w01", amount=6.0) for i in range(3))]) == ["w01"]
    assert found([seen(i, "w01", baseline=2.0) for i in range(3)]) == [], "as all like it are"
    ill = [seen(3 * n + i, w) for n, w in enumerate(zone[:3]) for i in range(2)]
    assert found([*ill, *(seen(i, "w01", amount=99.0) for i in range(3))]) == [], "not alone"


def test_automatic_cordons_end_pause_after_a_lift_and_last_longer_in_a_row() -> None:
    observations = [seen(i, "w01") for i in range(3)]
    ((target, reason),) = propose(NOW, "s1", ["s1"], observations, {}, FLEET)
    assert reason.automatic and reason.until_us == NOW + 300 * S and reason.observers == ("s0", "s1", "s2")
    value = set_cordon(None, reason, Dot("s1", 1, 1), NOW)
    assert found(observations, w01=value) == []
    lifted = lift_cordon(value, reason.id, NOW)
    fresh = [seen(i, "w01", at_us=NOW + 100 * S) for i in range(3)]
    assert found(fresh, NOW + 110 * S, w01=lifted) == [], "an operator knows better, for a while"
    later = [seen(i, "w01", at_us=NOW + 1000 * S) for i in range(3)]
    assert found(later, NOW + 1010 * S, w01=lifted) == ["w01"]
    ((_, again),) = propose(NOW + 1010 * S, "s1", ["s1"], later, {target: value}, FLEET)
    assert again.times == 2 and again.until_us == NOW + 1610 * S


def test_schedulers_propose_in_turn() -> None:
    names = [f"s{i}" for i in range(200)]
    observations = [seen(i, "w01", at_us=NOW) for i in range(3)]
    at_once = [n for n in names if propose(NOW, n, names, observations, {}, FLEET)]
    assert len(at_once) == 1
    rest = [n for n in names if n not in at_once]
    assert len([n for n in rest if propose(NOW, n, rest, observations, {}, FLEET)]) == 1, (
        "the next, if it is gone"
    )
    assert all(propose(NOW + 5 * S, n, names, observations, {}, FLEET) for n in names)


def test_a_peer_that_left_does_not_lag_and_a_silent_one_does() -> None:
    names = ("a", "b", "c")
    tracker = PropagationTracker("a", Mode.SERVE, S, Quorum("a", names))
    tracker.reconfigure(0, names)
    word = Acknowledgement(
        acknowledgements.VERSION, 7, 1, "serve", S, True, True, False, b"", b"older", (), ()
    )
    for name in ("b", "c"):
        tracker.record_start(0, name, 7)
        tracker.record_acknowledgement(0, name, word)
    assert tracker.lagging_peers("worker/w1") == ("b", "c")
    tracker.record_acknowledgement(1, "b", msgspec.structs.replace(word, sequence=2, left=True))
    tracker.record_link(2, "c", False)
    assert tracker.lagging_peers("worker/w1") == ("c",)


def test_capacity_is_reserved_before_anything_is_written() -> None:
    propagations = Propagations(capacity=1)
    propagations.add("1", Propagation("c1", "a", Mode.SERVE, [Scheduler("a")], deadline_us=5))
    with pytest.raises(TooManyCalls):
        propagations.reserve()
    assert propagations.end_waits(5) == ("1",)  # nobody waits for it any more
    propagations.reserve()
    assert not propagations.pending()
