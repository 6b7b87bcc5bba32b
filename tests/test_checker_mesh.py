"""The checker of the rules for several schedulers: it reports each violation, and nothing else."""

import pytest

from robinhill.checker.journal import Event, EventType, Journal
from robinhill.checker.mesh import Limits, equal_after, find_violations, late_sends, list_violations

W = EventType
HOLD, SERVE = Limits(0.5, is_hold_mode=True), Limits(0.5, is_hold_mode=False)
UP = [(0.0, W.UP, "", "", "", "a"), (0.0, W.UP, "", "", "", "b")]
SET = [(1.0, W.CORDON_REQUESTED, "c", "w", "", "a"), (1.1, W.CORDONED, "c", "w", "", "a")]
LIFT = [(2.0, W.LIFT_REQUESTED, "c", "w", "", "b"), (2.1, W.LIFTED, "c", "w", "", "b")]
Row = tuple[float, EventType, str, str, str, str]


def send(at: float, by: str = "b", request: str = "j-0") -> list[Row]:
    """A job that no client requested is sent and ends at once."""
    return [(at, W.SENT, request, "w", "", by), (at, W.ENDED, request, "w", "", by)]


def fault(start: float, end: float, on: str = "b") -> list[Row]:
    return [(start, W.FAULT_STARTED, "", "", "", on), (end, W.FAULT_ENDED, "", "", "", on)]


def digests(at: float, **reported: str) -> list[Row]:
    return [(at, W.DIGEST, "", "", d, s) for s, d in reported.items()]


def listed(by: str, ids: str, at: float = 9.0) -> list[Row]:
    return [(at, W.CORDONS_LISTED, "", "", ids, by)]


def journal(*parts: list[Row]) -> Journal:
    rows = sorted([*UP, *(row for part in parts for row in part)], key=lambda r: r[0])
    return Journal(
        [Event(at, what, request, worker, 0, kind, by) for at, what, request, worker, kind, by in rows]
    )


@pytest.mark.parametrize(
    "limits, parts, expected",
    [
        (HOLD, [SET, send(1.5)], ""),
        (HOLD, [SET, send(1.7)], "w got j-0 from b while cordoned by c: 0.100 s past the bound"),
        (HOLD, [SET, fault(0.5, 3.0), send(1.7)], "past the bound"),
        (HOLD, [SET[:1], send(1.7)], ""),  # the cordon was not accepted
        (HOLD, [SET, LIFT[:1], send(2.5)], ""),
        (
            HOLD,
            [SET[:1], LIFT[:1], [(2.1, W.CORDONED, "c", "w", "", "a")], send(9.0)],
            "",
        ),  # the calls to set and to lift the cordon overlapped
        (HOLD, [SET, LIFT, SET[:1], send(1.7)], "past the bound"),
        (HOLD, [SET, [(1.2, W.IN_FORCE, "c", "w", "", "a")], send(1.3)], "after it was in force"),
        (SERVE, [SET, send(1.7)], "past the bound"),
        (SERVE, [SET, fault(1.5, 3.0), send(2.9)], ""),
        (
            SERVE,
            [SET, fault(1.5, 3.0), send(5.0)],
            "",
        ),  # within two seconds for links to recover, plus the bound
        (SERVE, [SET, fault(1.5, 3.0), send(5.7)], "past the bound"),
        (SERVE, [SET, fault(1.0, 9.0, "a"), send(5.7)], ""),  # the scheduler that accepted it is cut off
        (SERVE, [SET, fault(1.0, 9.0), fault(1.2, 1.4), send(5.7)], ""),  # one of two faults has ended
    ],
)
def test_sends_to_a_cordoned_worker_past_the_bound_are_reported(
    limits: Limits, parts: list[list[Row]], expected: str
) -> None:
    found = late_sends(journal(*parts).events, limits)
    assert (expected in found[0]) if expected else not found


@pytest.mark.parametrize(
    "parts, expected",
    [
        ([SET, listed("a", "c"), listed("b", "c")], []),
        ([SET, listed("a", "c"), listed("b", "")], ["b does not list the accepted cordon c"]),
        ([SET, LIFT, listed("a", ""), listed("b", "c")], ["c was lifted but is listed by b"]),
        # The calls to set and to lift the cordon overlapped.
        ([SET[:1], LIFT, [(2.2, W.CORDONED, "c", "w", "", "a")], listed("b", "")], []),
        ([SET, LIFT[:1], listed("a", ""), listed("b", "c")], []),  # the lift was not answered: both are valid
        ([SET[:1], LIFT, listed("b", "c")], []),  # the cordon was not answered: it may take effect later
        ([listed("a", "d")], ["a lists d, which was never requested"]),
        ([SET, listed("b", "", at=2.0)], []),  # replicas need not be equal yet
    ],
)
def test_missing_lifted_and_unrequested_cordons_are_reported(
    parts: list[list[Row]], expected: list[str]
) -> None:
    assert list_violations(journal(*parts).events, HOLD) == expected


@pytest.mark.parametrize(
    "parts, took_s",
    [
        ([fault(1.0, 2.0), digests(2.5, a="x", b="x")], 0.5),
        ([fault(1.0, 2.0), digests(1.5, a="x", b="x")], None),  # reported before the end of the fault
        ([fault(1.0, 2.0), digests(2.5, a="x", b="y"), digests(5.0, b="x")], 3.0),
        ([fault(1.0, 2.0), digests(2.5, a="x", b="x"), digests(3.0, a="y")], None),  # equal only for a time
        ([fault(1.0, 2.0), digests(2.5, a="x")], None),  # b reports no digest
        ([fault(1.0, 2.0), [(2.1, W.DOWN, "", "", "", "b")], digests(2.5, a="x")], 0.5),
    ],
)
def test_time_from_the_last_fault_to_equal_replicas_is_measured(
    parts: list[list[Row]], took_s: float | None
) -> None:
    """Replicas that become equal after more than 2 s, or never, are a violation; no other one is reported."""
    made = journal(*parts)
    assert equal_after(made.events) == took_s
    found = find_violations(made, HOLD, [])
    assert bool(found) == (took_s is None or took_s > 2.0) and all("copies" in s for s in found)


def test_unsafe_jobs_started_twice_and_concurrent_attempts_are_reported() -> None:
    """An unsafe job starts for two schedulers; one request has attempts at two workers at the same time."""
    equal = digests(0.5, a="x", b="x")
    started_twice = [
        (1.0, W.EXECUTION_STARTED, "k-0", "w", "charge", "a"),
        (2.0, W.EXECUTION_STARTED, "k-1", "v", "charge", "b"),
    ]
    assert find_violations(journal(started_twice, equal), HOLD, ["charge"]) == [
        "k is unsafe and was started 2 times"
    ]
    assert not find_violations(journal(started_twice, equal), HOLD, ["renewal"])
    (concurrent,) = find_violations(journal([(1.0, W.SENT, "j-0", "v", "", "a")], send(1.5), equal), HOLD, [])
    assert "j-0 was sent to w while at v" in concurrent


def test_cancellation_recorded_late_is_tolerated_up_to_late_s() -> None:
    """On a busy host, worker v records the cancellation 0.2 s after the next attempt reached worker w."""
    events = [(1.0, W.SENT, "j-0", "v", "", "a"), *send(1.5), (1.7, W.CANCELLED, "j-0", "v", "", "")]
    equal = digests(0.5, a="x", b="x")
    assert (
        "while at v"
        in find_violations(journal(events, equal), Limits(0.5, is_hold_mode=True, late_s=0.1), [])[0]
    )
    assert not find_violations(journal(events, equal), Limits(0.5, is_hold_mode=True, late_s=0.3), [])
