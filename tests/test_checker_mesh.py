"""The checker of several schedulers' promises sees each that is broken, and no other."""

import pytest

from robinhill.checker.journal import Event, Journal, What
from robinhill.checker.mesh import Terms, broken, equal_after, late_sends, lists

W = What
HOLD, SERVE = Terms(0.5, holds=True), Terms(0.5, holds=False)
UP = [(0.0, W.UP, "", "", "", "a"), (0.0, W.UP, "", "", "", "b")]
SET = [(1.0, W.CORDON_REQUESTED, "c", "w", "", "a"), (1.1, W.CORDONED, "c", "w", "", "a")]
LIFT = [(2.0, W.LIFT_REQUESTED, "c", "w", "", "b"), (2.1, W.LIFTED, "c", "w", "", "b")]
Row = tuple[float, What, str, str, str, str]


def send(at: float, by: str = "b", request: str = "j-0") -> list[Row]:
    """A job that nobody asked for is sent, and ends at once."""
    return [(at, W.SENT, request, "w", "", by), (at, W.ENDED, request, "w", "", by)]


def fault(start: float, end: float, on: str = "b") -> list[Row]:
    return [(start, W.FAULT_STARTED, "", "", "", on), (end, W.FAULT_ENDED, "", "", "", on)]


def digests(at: float, **told: str) -> list[Row]:
    return [(at, W.DIGEST, "", "", d, s) for s, d in told.items()]


def look(by: str, ids: str, at: float = 9.0) -> list[Row]:
    return [(at, W.CORDONS_LISTED, "", "", ids, by)]


def journal(*parts: list[Row]) -> Journal:
    rows = sorted([*UP, *(row for part in parts for row in part)], key=lambda r: r[0])
    return Journal(
        [Event(at, what, request, worker, 0, kind, by) for at, what, request, worker, kind, by in rows]
    )


@pytest.mark.parametrize(
    "terms, parts, says",
    [
        (HOLD, [SET, send(1.5)], ""),
        (HOLD, [SET, send(1.7)], "w got j-0 from b, cordoned by c: 0.100 s past the bound"),
        (HOLD, [SET, fault(0.5, 3.0), send(1.7)], "past the bound"),
        (HOLD, [SET[:1], send(1.7)], ""),  # never accepted
        (HOLD, [SET, LIFT[:1], send(2.5)], ""),
        (HOLD, [SET[:1], LIFT[:1], [(2.1, W.CORDONED, "c", "w", "", "a")], send(9.0)], ""),  # crossed
        (HOLD, [SET, LIFT, SET[:1], send(1.7)], "past the bound"),
        (HOLD, [SET, [(1.2, W.IN_FORCE, "c", "w", "", "a")], send(1.3)], "after it was in force"),
        (SERVE, [SET, send(1.7)], "past the bound"),
        (SERVE, [SET, fault(1.5, 3.0), send(2.9)], ""),
        (SERVE, [SET, fault(1.5, 3.0), send(5.0)], ""),  # links have two seconds to come back, and the bound
        (SERVE, [SET, fault(1.5, 3.0), send(5.7)], "past the bound"),
        (SERVE, [SET, fault(1.0, 9.0, "a"), send(5.7)], ""),  # who accepted it is cut off
        (SERVE, [SET, fault(1.0, 9.0), fault(1.2, 1.4), send(5.7)], ""),  # one of two faults is over
    ],
)
def test_sends_to_a_cordoned_worker(terms: Terms, parts: list[list[Row]], says: str) -> None:
    faults = late_sends(journal(*parts).events, terms)
    assert (says in faults[0]) if says else not faults


@pytest.mark.parametrize(
    "parts, says",
    [
        ([SET, look("a", "c"), look("b", "c")], []),
        ([SET, look("a", "c"), look("b", "")], ["b lost c"]),
        ([SET, LIFT, look("a", ""), look("b", "c")], ["c came back at b"]),
        ([SET[:1], LIFT, [(2.2, W.CORDONED, "c", "w", "", "a")], look("b", "")], []),  # calls that crossed
        ([SET, LIFT[:1], look("a", ""), look("b", "c")], []),  # the lift was not answered: either may be
        ([SET[:1], LIFT, look("b", "c")], []),  # nor was the cordon
        ([look("a", "d")], ["a lists d, which nobody set"]),
        ([SET, look("b", "", at=2.0)], []),  # not settled yet
    ],
)
def test_lists_once_all_is_settled(parts: list[list[Row]], says: list[str]) -> None:
    assert lists(journal(*parts).events, HOLD) == says


@pytest.mark.parametrize(
    "parts, took",
    [
        ([fault(1.0, 2.0), digests(2.5, a="x", b="x")], 0.5),
        ([fault(1.0, 2.0), digests(1.5, a="x", b="x")], None),  # before the heal
        ([fault(1.0, 2.0), digests(2.5, a="x", b="y"), digests(5.0, b="x")], 3.0),
        ([fault(1.0, 2.0), digests(2.5, a="x", b="x"), digests(3.0, a="y")], None),  # not for good
        ([fault(1.0, 2.0), digests(2.5, a="x")], None),  # b says nothing
        ([fault(1.0, 2.0), [(2.1, W.DOWN, "", "", "", "b")], digests(2.5, a="x")], 0.5),
    ],
)
def test_copies_after_the_last_heal(parts: list[list[Row]], took: float | None) -> None:
    made = journal(*parts)
    assert equal_after(made.events) == took
    says = broken(made, HOLD, [])
    assert bool(says) == (took is None or took > 2.0) and all("copies" in s for s in says)


def test_an_unsafe_job_began_for_two_schedulers_and_the_rules_of_one_still_count() -> None:
    same = digests(0.5, a="x", b="x")
    twice = [
        (1.0, W.EXECUTION_STARTED, "k-0", "w", "charge", "a"),
        (2.0, W.EXECUTION_STARTED, "k-1", "v", "charge", "b"),
    ]
    assert broken(journal(twice, same), HOLD, ["charge"]) == ["k is unsafe and began 2 times"]
    assert not broken(journal(twice, same), HOLD, ["renewal"])
    (both,) = broken(journal([(1.0, W.SENT, "j-0", "v", "", "a")], send(1.5), same), HOLD, [])
    assert "j-0 was at w while at v" in both


def test_a_worker_that_noted_late_that_it_was_called_off_is_no_second_attempt() -> None:
    events = [(1.0, W.SENT, "j-0", "v", "", "a"), *send(1.5), (1.7, W.CANCELLED, "j-0", "v", "", "")]
    same = digests(0.5, a="x", b="x")
    assert "while at v" in broken(journal(events, same), Terms(0.5, holds=True, late_s=0.1), [])[0]
    assert not broken(journal(events, same), Terms(0.5, holds=True, late_s=0.3), [])
