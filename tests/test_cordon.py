"""Cordons: the merge rule, what is in force, the budget, and the promise of a call."""

from itertools import permutations
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from robinhill.cordon.automatic import Sight, propose
from robinhill.cordon.budget import CAUSES
from robinhill.cordon.errors import (
    BoundNotMet,
    CordonBudgetSpent,
    CordonMalformed,
    CordonUnknown,
    NotAccepted,
    TooManyCalls,
)
from robinhill.cordon.index import Budget, Change, CordonedNow, CordonIndex, LiftedNow, Place
from robinhill.cordon.limits import KEEP_US
from robinhill.cordon.propagation import (
    Mode,
    Propagation,
    Propagations,
    PropagationStage,
    Scheduler,
    Standing,
    with_slack,
)
from robinhill.cordon.propagation_tracker import Following
from robinhill.cordon.value import (
    Cordons,
    Dot,
    Entry,
    Reason,
    Seen,
    cordon_kind,
    decode,
    encode,
    fades,
    find,
    lift,
    merge,
    reasons,
    set_,
)  # fmt: skip
from robinhill.cordon.views import answer, listing, read_put, read_wait
from robinhill.mesh import acknowledgements
from robinhill.mesh.acknowledgements import Acknowledgement
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.quorum import Quorum

S = 1_000_000
NOW = 1_800_000_000 * S
SAME = settings(max_examples=150, deadline=None, derandomize=True)


def why(cordon_id: str = "m1", until_us: int = 0, since_us: int = NOW, text: str = "new disk") -> Reason:
    return Reason(cordon_id, text, "ada", since_us, until_us)


def ids(value: Cordons, now_us: int = NOW) -> list[str]:
    return [e.reason.id for e in reasons(value, now_us)]


@st.composite
def histories(draw: st.DrawFn) -> list[Cordons]:
    """Copies at three writers after writes, lifts and merges in any order."""
    copies, count = [Cordons(), Cordons(), Cordons()], 0
    for _ in range(draw(st.integers(1, 14))):
        i, j = draw(st.tuples(st.integers(0, 2), st.integers(0, 2)))
        cordon_id = draw(st.sampled_from(["a", "b"]))
        match draw(st.sampled_from(["set", "set", "lift", "merge"])):
            case "set":
                count += draw(st.integers(1, 3))  # other targets take counters too
                copies[i] = set_(copies[i], why(cordon_id), Dot(f"s{i}", 1, count), NOW)
            case "lift" if cordon_id in ids(copies[i]):
                copies[i] = lift(copies[i], cordon_id, NOW)
            case "merge":
                copies[i] = merge(copies[i], copies[j])
    return copies


@SAME
@given(histories())
def test_copies_merge_to_the_same_in_any_order_and_grouping(copies: list[Cordons]) -> None:
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
    at_a = set_(None, why(), Dot("a", 1, 1), NOW)
    at_b = lift(at_a, "m1", NOW)
    again = set_(at_a, why(), Dot("a", 1, 2), NOW)  # the same words once more, while b lifts
    assert ids(merge(at_b, again)) == ["m1"]
    assert ids(merge(at_b, at_a)) == [], "the one that it saw does not come back"
    assert ids(lift(merge(at_b, again), "m1", NOW)) == []


def test_saying_a_cordon_again_changes_no_fact_and_a_new_end_replaces_the_old() -> None:
    first = set_(None, why(), Dot("a", 1, 1), NOW)
    again = set_(first, why(since_us=NOW + S), Dot("b", 1, 1), NOW + S)
    assert [e.reason for e in reasons(again, NOW + S)] == [why()]
    shorter = set_(again, why(until_us=NOW + 5 * S), Dot("a", 1, 2), NOW + S)
    assert ids(shorter, NOW + 4 * S) == ["m1"] and ids(shorter, NOW + 5 * S) == []
    longer = set_(again, why(until_us=NOW + 9 * S), Dot("b", 1, 2), NOW + S)
    (entry,) = reasons(merge(shorter, longer), NOW + S)
    assert entry.reason.until_us == NOW + 9 * S, "of two at once the longer holds"


def test_what_has_no_end_is_written_anew_in_time() -> None:
    endless, short = (set_(None, why(until_us=us), Dot("a", 1, 1), NOW) for us in (0, NOW + 9 * S))
    half, quarter = NOW + KEEP_US // 2, NOW + KEEP_US // 4
    assert fades(endless, half - 1, NOW, mine=True) and not fades(endless, half, NOW, mine=True)
    assert fades(endless, quarter - 1, NOW, mine=False) and not fades(endless, quarter, NOW, mine=False)
    assert not fades(short, NOW + 9 * S, NOW, mine=True) and fades(short, NOW + 8 * S, NOW, mine=True)


def test_what_a_call_may_not_say() -> None:
    for wrong in (why(""), why("auto-x"), why("a b"), why(text=" "), why(text="a\nb"), why(until_us=NOW)):
        with pytest.raises(CordonMalformed):
            set_(None, wrong, Dot("a", 1, 1), NOW)
    with pytest.raises(CordonMalformed, match="must have an end"):
        set_(None, Reason("auto-x", "slow", "s1", NOW, automatic=True), Dot("a", 1, 1), NOW)
    value = set_(None, why(), Dot("a", 1, 1), NOW)
    with pytest.raises(ValueError, match="not new"):
        set_(value, why("m2"), Dot("a", 1, 1), NOW)
    with pytest.raises(CordonUnknown, match=r"m1.*look at the list"):
        find([("zone/z", value)], "m7", NOW)


@SAME
@given(histories(), st.data())
def test_damaged_words_are_refused(copies: list[Cordons], data: st.DataObject) -> None:
    words = encode(copies[0])
    at = data.draw(st.integers(0, len(words) - 1))
    damaged = words[:at] + bytes([words[at] ^ data.draw(st.integers(1, 255))]) + words[at + 1 :]
    for candidate in (damaged, words[:at], words + b"\0"):
        try:
            assert encode(decode(candidate)) == candidate
        except ForeignState:
            pass
    entry, dot = Entry(Dot("a", 1, 1), why()), (Seen("a", 1, ((1, 1),)),)
    long = Entry(Dot("a", 1, 1), why(text="x" * 201))
    for hostile in (
        Cordons(entries=(entry,)),
        Cordons(entries=(entry, entry), seen=dot),
        Cordons(entries=(long,), seen=dot),
        Cordons(entries=(Entry(entry.dot, why(text="a\x1b[2J")),), seen=dot),
        Cordons(entries=(Entry(entry.dot, Reason("auto-x", "slow", "s", 1, automatic=True)),), seen=dot),
        Cordons(seen=dot * 2),
        Cordons(seen=(Seen("a", 1, ((1, 1), (2, 2))),)),
        Cordons(seen=(Seen("a", 1, ((3, 2),)),)),
        Cordons(seen=(Seen("a", 1, tuple((n, n) for n in range(1, 9_000, 2))),)),
        Cordons(lifted_us=-1),
    ):
        with pytest.raises(ForeignState):
            decode(encode(hostile))
    with pytest.raises(ForeignState, match="canonical"):
        decode(words[:-1] + b"\xcc\x00")  # a zero in two bytes
    with pytest.raises(ForeignState, match="version 2"):
        decode(encode(Cordons(version=2)))
    assert cordon_kind().decode(words) == copies[0]


FLEET = {f"w{i:02}": Place(f"z{i % 3}", "large" if i % 2 else "small", i % 5) for i in range(30)}


def auto(worker: str, cause: str = "slow", since_us: int = NOW) -> Reason:
    return Reason(f"auto-{cause}-{worker}", "bad", "s1", since_us, NOW + 60 * S, True, cause, ("s1", "s2"))


def item(target: str, *given: Reason, origin: str = "s1") -> tuple[str, Cordons]:
    value = Cordons()
    for count, reason in enumerate(given, 1):
        value = set_(value, reason, Dot(origin, 1, count), NOW)
    return target, value


def test_the_book_tells_who_is_held_and_who_is_back_and_cold() -> None:
    book = CordonIndex()
    zone = item("zone/z0", why("power"))
    change = book.update(NOW, [zone, item("worker/w00", why("disk"), auto("w00"))], FLEET)
    tens = tuple(w for w in FLEET if FLEET[w].zone == "z0")
    assert change == Change((CordonedNow(tens),), NOW + 60 * S)
    assert {r.id for r in book.held("w00")} == {"power", "disk", "auto-slow-w00"} and not book.held("w01")
    later = NOW + 60 * S  # the automatic one has ended
    change = book.update(later, [item("worker/w00", why("disk"), auto("w00"))], FLEET)
    assert change == Change((LiftedNow(tens[1:], later),), 0)
    assert [r.id for r in book.held("w00")] == ["disk"]
    assert book.started_us("w03", NOW) == later and book.started_us("w01", NOW) == NOW
    assert book.started_us("w03", later + S) == later + S, "it started once more since"
    rest = {w: p for w, p in FLEET.items() if w != "w00"}
    assert book.update(later, [], rest).events == (), "who has left the list is not lifted"


def test_a_cordon_of_what_is_not_listed_holds_once_it_comes() -> None:
    book, items = CordonIndex(), [item("worker/new", why()), item("cell/9", why("c"))]
    assert book.update(NOW, items, FLEET).events == ()
    grown = {**FLEET, "new": Place("z0"), "other": Place("z0", cell=9)}
    assert book.update(NOW, items, grown).events == (CordonedNow(("new", "other")),)


def test_the_answer_warns_of_what_is_left_without_workers() -> None:
    book = CordonIndex()
    book.update(NOW, [item("zone/z0", why())], FLEET)
    assert book.warnings("worker/w01") == ()
    (typo,) = book.warnings("zone/zo")
    assert "no listed worker" in typo and "z0, z1, z2" in typo
    zone, kind = book.warnings("kind/small")
    assert "zone 'z0'" in zone and "kind 'small'" in kind
    book.update(NOW, [item("zone/z0", why()), item("zone/z1", why())], FLEET)
    assert book.warnings("zone/z2") == ("no worker is left: nothing new can be placed at all",)
    two = {"a": Place("z0"), "b": Place("z1")}
    book.update(NOW, [], two)
    assert book.warnings("worker/a") == ("no worker is left in zone 'z0'",)


@SAME
@given(st.data())
def test_no_copy_passes_the_budget_and_all_orders_agree(data: st.DataObject) -> None:
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
        (f"worker/{w}", set_(None, auto(w, cause, NOW - since), Dot(origin, 1, n), NOW))
        for n, (w, cause, since, origin) in enumerate(proposals, 1)
    ]
    ends = []
    for _ in range(2):
        book, held = CordonIndex(budget), dict(manual)
        for target, value in data.draw(st.permutations(writes)):
            held[target] = merge(held[target], value) if target in held else value
            book.update(NOW, held.items(), FLEET)
            automatic = book.held_workers() - out
            free = [w for w in FLEET if w not in out]
            assert len(automatic) <= 0.1 * len(free)
            for zone in ("z0", "z1", "z2"):
                mine = [w for w in free if FLEET[w].zone == zone]
                assert len(automatic & set(mine)) <= 0.2 * len(mine)
        ends.append({w: book.held(w) for w in FLEET})
    assert ends[0] == ends[1]


def test_over_the_budget_the_worst_and_oldest_hold_and_the_rest_wait() -> None:
    book = CordonIndex(Budget(0.1, 0.2))
    slow = [item(f"worker/{w}", auto(w, "slow", NOW + n)) for n, w in enumerate(["w05", "w04", "w03", "w02"])]
    book.update(NOW, slow, FLEET)
    assert book.held_workers() == {"w05", "w04", "w03"}
    with pytest.raises(CordonBudgetSpent, match="worker/w02"):
        book.check_budget()
    silent = item("worker/w01", auto("w01", "silent", NOW + 9))
    book.update(NOW, [*slow, silent, item("zone/z9", auto("z9"))], FLEET)
    assert book.held_workers() == {"w01", "w05", "w04"}
    book.update(NOW, [*slow, item("zone/z0", auto("z0", "silent"))], FLEET)
    assert book.held_workers() == {"w05", "w04", "w03"}, "a whole zone never fits, and bars nobody else"


def schedulers(mode: Mode | None = Mode.HOLD, count: int = 5) -> list[Scheduler]:
    return [Scheduler(f"s{i}", 1, Standing.ALIVE, mode, 3 * S) for i in range(count)]


def promise(mode: Mode = Mode.HOLD, **more: Any) -> Propagation:
    made = Propagation("cordon m1", "s0", mode, schedulers(mode), **more)
    assert made.look(0) is PropagationStage.RECEIVED
    made.stored(1)
    return made


def confirm(call: Propagation, mono_us: int, *names: str, incarnation: int = 1) -> None:
    for name in names:
        call.confirmed(mono_us, name, incarnation)


def test_a_call_is_accepted_by_a_majority_and_in_force_once_all_confirmed() -> None:
    call = promise()
    confirm(call, 2, "s0", "s1", "stranger")
    assert call.look(2) is PropagationStage.STORED
    error = call.failure(3, ["s2", "s3", "s4"])
    assert isinstance(error, NotAccepted) and "s2, s3, s4" in str(error)
    call.accepted(4)
    assert call.look(4) is PropagationStage.ACCEPTED
    confirm(call, 5, "s2", "s3")
    error = call.failure(6)
    assert isinstance(error, BoundNotMet) and "s4 (alive, its lease may last)" in str(error)
    confirm(call, 7, "s4")
    assert call.look(7) is PropagationStage.IN_FORCE and call.failure(8) is None and not call.unconfirmed(8)
    early = promise()
    confirm(early, 2, "s0", "s1", "s2", "s3", "s4")
    assert early.look(3) is PropagationStage.STORED, "some may be catching up, so no majority has it for good"
    early.accepted(4)
    assert early.look(4) is PropagationStage.IN_FORCE


def test_under_hold_time_since_the_majority_stands_for_who_is_cut_off() -> None:
    call = promise()
    confirm(call, 9, "s0", "s1", "s2")
    call.accepted(10)
    call.accepted(99)
    call.heard(11, Scheduler("s3", 1, Standing.GONE, Mode.HOLD, 2 * S))
    end = 10 + with_slack(3 * S)
    assert end > 3 * S + 10 and call.next_us() == end
    assert [u.name for u in call.unconfirmed(end - 1)] == ["s4"], "the lease of s3 was shorter"
    assert call.look(end - 1) is PropagationStage.ACCEPTED
    assert call.look(end) is PropagationStage.IN_FORCE
    mixed = promise()
    mixed.heard(1, Scheduler("s4", 1, Standing.GONE, Mode.SERVE, 3 * S))
    mixed.heard(1, Scheduler("s3"))
    mixed.heard(1, Scheduler("s3", 1, Standing.SUSPECT))
    confirm(mixed, 9, "s0", "s1", "s2")
    mixed.accepted(10)
    assert mixed.look(end) is PropagationStage.ACCEPTED and mixed.next_us() is None, "these have no lease"
    assert [u.name for u in mixed.unconfirmed(end)] == ["s3", "s4"]


def test_under_serve_who_is_cut_off_is_named_whatever_time_passes() -> None:
    call = promise(Mode.SERVE)
    assert call.look(1) is PropagationStage.ACCEPTED, "as soon as it is stored"
    mixed = Propagation("m1", "s0", Mode.SERVE, [*schedulers(Mode.SERVE, 2), *schedulers()[2:]])
    mixed.stored(1)
    confirm(mixed, 2, "s0", "s1")
    assert mixed.look(60 * S) is PropagationStage.ACCEPTED, "no lease is over before a majority holds it"
    confirm(call, 2, "s0", "s1", "s2", "s3")
    call.accepted(2)
    call.heard(3, Scheduler("s4", 1, Standing.GONE, Mode.SERVE))
    assert [(u.name, u.why) for u in call.unconfirmed(3600 * S)] == [("s4", "gone")]
    call.removed(3601 * S, "s4")
    assert call.look(3601 * S) is PropagationStage.IN_FORCE


def test_a_confirmer_that_crashes_confirms_anew_only_if_it_came_back() -> None:
    call = promise(Mode.SERVE)
    confirm(call, 2, "s1")
    call.heard(3, Scheduler("s1", 1, Standing.GONE, Mode.SERVE))
    confirm(call, 4, "s0", "s2", "s3")
    assert [u.name for u in call.unconfirmed(4)] == ["s4"]
    call.heard(5, Scheduler("s1", 2, Standing.ALIVE, Mode.SERVE))
    call.heard(5, Scheduler("s1", 1, Standing.LEFT, Mode.SERVE))  # late news of the one before
    confirm(call, 5, "s1")
    assert [u.why for u in call.unconfirmed(5)] == ["alive, started again since it confirmed", "alive"]
    confirm(call, 6, "s1", incarnation=2)
    confirm(call, 6, "s1")
    call.heard(7, Scheduler("s4", 1, Standing.LEFT, Mode.SERVE))
    assert call.step is PropagationStage.IN_FORCE


def test_a_lift_waits_for_all_and_no_lease_ends_it() -> None:
    call = promise(lifts=True)
    call.accepted(1)
    confirm(call, 2, "s0", "s1", "s2", "s3")
    call.heard(2, Scheduler("s5", 1, Standing.ALIVE))
    assert [u.name for u in call.unconfirmed(99 * S)] == ["s4", "s5"]


def test_calls_are_bounded_and_told_when_their_wait_is_over() -> None:
    calls = Propagations(bound=2)
    calls.follow("a", promise(deadline_us=5 * S))
    calls.follow("b", promise(deadline_us=9 * S))
    with pytest.raises(TooManyCalls):
        calls.follow("c", promise())
    assert calls.next_us() == 5 * S and calls.waited(4 * S) == ()
    assert calls.waited(5 * S) == ("a",) and calls.waited(6 * S) == ()
    for call in calls.under_way():
        confirm(call, 7 * S, "s0", "s1", "s2", "s3", "s4")
        call.accepted(7 * S)
    assert calls.waited(7 * S) == ("b",) and calls.next_us() is None
    calls.follow("c", promise())
    assert calls.get("a") is None and calls.get("b") is not None
    calls.follow("d", promise())
    calls.follow("e", promise())
    assert calls.get("c") is None, "nobody waits for it"


def test_operators_write_and_read_json() -> None:
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


def test_the_list_tells_state_and_who_has_not_confirmed() -> None:
    book, calls, call = CordonIndex(), Propagations(), promise()
    crowd = [item(f"worker/w{i:02}", auto(f"w{i:02}")) for i in range(5)]
    book.update(NOW, [item("zone/z0", why(until_us=NOW + S), origin="s0"), *crowd], FLEET)
    calls.follow("s0/1/1", call)
    confirm(call, 2, "s1", "s2", "s3")
    call.accepted(2)
    told = msgspec.json.decode(msgspec.json.encode(listing(2, book, calls)))
    zone = told["cordons"][-1]
    assert zone["id"] == "m1" and zone["until"] == "2027-01-15T08:00:01Z" and zone["workers"] == 10
    assert zone["state"] == "accepted" and [u["scheduler"] for u in zone["unconfirmed"]] == ["s0", "s4"]
    assert [c["state"] for c in told["cordons"][:5]] == ["held here"] * 4 + ["over budget"]
    status, reply = answer(2, "m1", ["zone/z0"], call, book, waited=False)
    assert status == 202 and not reply.error and reply.warnings == ("no worker is left in zone 'z0'",)
    status, reply = answer(2, "m1", ["zone/z0"], call, book, waited=True)
    assert status == 504 and "s0 (alive" in reply.error and "may still act as before" in reply.error
    assert answer(9 * S, "m1", [], call, book, waited=True)[0] == 200


def sight(observer: int, worker: str, cause: str = "slow", amount: float = 5.0, **more: Any) -> Sight:
    fields = {"usual": 1.0 if cause in ("slow", "lagging") else 0.0, "looked": 30, "at_us": NOW - 10 * S}
    return Sight(f"s{observer}", worker, cause, amount, **{**fields, **more})


def found(sights: list[Sight], now_us: int = NOW, **items: Cordons) -> list[str]:
    given = {f"worker/{w}": value for w, value in items.items()}
    proposals = propose(now_us, "s1", ["s1", "s2", "s3"], sights, given, FLEET)
    for _, reason in proposals:
        set_(None, reason, Dot("s1", 1, 1), now_us)  # it may be written
    return [target.partition("/")[2] for target, _ in proposals]


def test_a_quorum_of_observers_that_each_count_once_makes_a_suspect() -> None:
    three = [sight(i, "w01") for i in range(3)]
    assert found(three) == ["w01"]
    assert found([*three[:2], sight(1, "w01", at_us=NOW), sight(1, "w01", "failing", 1.0)]) == []
    assert found([*three[:2], sight(3, "w01", "silent", 1.0)]) == ["w01"], "it is bad in either way"
    assert found([*three, *(sight(i, "w01", amount=1.0) for i in range(3, 6))]) == [], "as many find it well"
    assert found([*three[:2], sight(2, "w01", amount=1.0, at_us=NOW), three[2]]) == [], "the last word counts"
    for spoilt in ({"at_us": NOW - 31 * S}, {"at_us": NOW + 3600 * S}, {"usual": float("nan")}):
        assert found([*three[:2], sight(2, "w01", **spoilt)]) == []
    assert found([sight(i, "gone") for i in range(3)]) == []


def test_an_observer_that_finds_too_many_bad_counts_for_nothing() -> None:
    two = [sight(i, "w01") for i in range(2)]
    assert found([*two, *(sight(2, w) for w in sorted(FLEET)[:8])]) == []
    assert found([*two, *(sight(2, w) for w in sorted(FLEET)[:7])]) == ["w01"]
    assert found([*two, *(sight(2, w, looked=8) for w in sorted(FLEET)[:3])]) == [], "of those it looked at"


@SAME
@given(st.sets(st.sampled_from(sorted(FLEET)), min_size=10), st.sampled_from(CAUSES), st.floats(0.9, 9.0))
def test_a_shared_slowdown_cordons_nobody(slow: set[str], cause: str, amount: float) -> None:
    sights = [sight(3 * n + i, w, cause, amount) for n, w in enumerate(sorted(slow)) for i in range(3)]
    assert found(sights) == [], "though each observer sees one worker, and thinks that it alone is bad"


def test_where_a_zone_is_slower_only_who_is_slower_still_stands_out() -> None:
    zone = [w for w in FLEET if FLEET[w].zone == "z1" and w != "w01"]
    slower = [sight(3 * n + i, w, amount=2.0) for n, w in enumerate(zone) for i in range(3)]
    assert found([*slower, *(sight(i, "w01", amount=5.9) for i in range(3))]) == []
    assert found([*slower, *(sight(i, "w01", amount=6.0) for i in range(3))]) == ["w01"]
    assert found([sight(i, "w01", usual=2.0) for i in range(3)]) == [], "as all like it are to its observers"
    ill = [sight(3 * n + i, w) for n, w in enumerate(zone[:3]) for i in range(2)]
    assert found([*ill, *(sight(i, "w01", amount=99.0) for i in range(3))]) == [], "not alone"


def test_automatic_cordons_end_are_not_repeated_after_a_lift_and_last_longer_in_a_row() -> None:
    sights = [sight(i, "w01") for i in range(3)]
    ((target, reason),) = propose(NOW, "s1", ["s1"], sights, {}, FLEET)
    assert reason.automatic and reason.until_us == NOW + 300 * S and reason.observers == ("s0", "s1", "s2")
    value = set_(None, reason, Dot("s1", 1, 1), NOW)
    assert found(sights, w01=value) == []
    lifted = lift(value, reason.id, NOW)
    fresh = [sight(i, "w01", at_us=NOW + 100 * S) for i in range(3)]
    assert found(fresh, NOW + 110 * S, w01=lifted) == [], "an operator knows better, for a while"
    later = [sight(i, "w01", at_us=NOW + 1000 * S) for i in range(3)]
    assert found(later, NOW + 1010 * S, w01=lifted) == ["w01"]
    ((_, again),) = propose(NOW + 1010 * S, "s1", ["s1"], later, {target: value}, FLEET)
    assert again.times == 2 and again.until_us == NOW + 1610 * S


def test_schedulers_propose_in_turn_and_all_know_whose_it_is() -> None:
    names = [f"s{i}" for i in range(200)]
    sights = [sight(i, "w01", at_us=NOW) for i in range(3)]
    at_once = [n for n in names if propose(NOW, n, names, sights, {}, FLEET)]
    assert len(at_once) == 1
    rest = [n for n in names if n not in at_once]
    assert len([n for n in rest if propose(NOW, n, rest, sights, {}, FLEET)]) == 1, "the next, if it is gone"
    assert all(propose(NOW + 5 * S, n, names, sights, {}, FLEET) for n in names)


def test_who_has_left_is_not_behind_and_who_only_falls_silent_is() -> None:
    names = ("a", "b", "c")
    following = Following("a", Mode.SERVE, S, Quorum("a", names))
    following.reconfigure(0, names)
    word = Acknowledgement(
        acknowledgements.VERSION, 7, 1, "serve", S, True, True, False, b"", b"older", (), ()
    )
    for name in ("b", "c"):
        following.started(0, name, 7)
        following.said(0, name, word)
    assert following.behind("worker/w1") == ("b", "c")
    following.said(1, "b", msgspec.structs.replace(word, serial=2, left=True))
    following.linked(2, "c", False)
    assert following.behind("worker/w1") == ("c",)


def test_room_for_a_call_is_made_before_anything_is_written() -> None:
    promises = Propagations(bound=1)
    promises.follow("1", Propagation("c1", "a", Mode.SERVE, [Scheduler("a")], deadline_us=5))
    with pytest.raises(TooManyCalls):
        promises.make_room()
    assert promises.waited(5) == ("1",)  # nobody waits for it any more
    promises.make_room()
    assert not promises.under_way()
