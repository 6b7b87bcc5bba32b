"""Cordons: the merge rule, what is in force, the budget, and the promise of a call."""

from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinhill.cordon.book import Book, Budget, Change, CordonedNow, LiftedNow, Place
from robinhill.cordon.errors import CordonBudgetSpent, CordonMalformed, CordonUnknown
from robinhill.cordon.value import (
    Cordons,
    Dot,
    Reason,
    cordon_kind,
    decode,
    encode,
    find,
    lift,
    merge,
    reasons,
    set_,
)  # fmt: skip
from robinhill.mesh.words import ForeignState

S = 1_000_000
NOW = 1_800_000_000 * S


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


@given(histories())
def test_copies_merge_to_the_same_in_any_order_and_grouping(copies: list[Cordons]) -> None:
    a, b, c = copies
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a and merge(merge(a, b), b) == merge(a, b)
    together = {encode(merge(merge(x, y), z)) for x, y, z in permutations(copies)}
    assert len(together) == 1
    whole = decode(together.pop())
    assert encode(whole) in {encode(merge(whole, x)) for x in copies}
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
    assert ids(merge(shorter, longer), NOW + 8 * S) == ["m1"], "of two at once the longer holds"


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
    book = Book()
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
    book, items = Book(), [item("worker/new", why()), item("cell/9", why("c"))]
    assert book.update(NOW, items, FLEET).events == ()
    grown = {**FLEET, "new": Place("z0"), "other": Place("z0", cell=9)}
    assert book.update(NOW, items, grown).events == (CordonedNow(("new", "other")),)


def test_the_answer_warns_of_what_is_left_without_workers() -> None:
    book = Book()
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
        book, held = Book(budget), dict(manual)
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
    book = Book(Budget(0.1, 0.2))
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
