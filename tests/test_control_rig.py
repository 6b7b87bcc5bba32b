"""Real voters and schedulers break no rule under faults; planted defects are detected.

Of the five processes n1 to n3 are voters, n4 and n5 schedulers.
"""

import asyncio
from pathlib import Path

import pytest

from robinhill.checker.journal import Event, EventType
from robinhill.emulator.control_rig import idle_schedulers, play
from robinhill.emulator.rig import PROGRAM, Outcome
from robinhill.emulator.schedule import Call, Fault, FaultKind, Schedule, process_names
from robinhill.emulator.voter import VOTER

T = FaultKind
VOTERS, PROCESSES = 3, 5
BOUND_MS, LONG_BOUND_MS = 1_000, 3_000
FaultRow = tuple[float, float, FaultKind, tuple[str, ...], float]

FaultsAndCalls = tuple[list[FaultRow], list[Call]]
PARTITION_SCHEDULE: FaultsAndCalls = (
    [(0.3, 7.0, T.PARTITION, ("n3", "n4"), 0.0)],
    [Call(0.1, False, "n4", "w0", "early"), Call(0.8, False, "n5", "w1", "amid")],
)
# A link counts as unresponsive after half of the bound (1.5 s); with jitter a round trip takes up to 1.35 s.
LONG_DELAY_SCHEDULE: FaultsAndCalls = (
    [(0.0, 7.0, T.DELAY, (voter, "n4"), 0.45) for voter in ("n1", "n2", "n3")],
    [
        *(Call(1.0 + 0.6 * n, False, ("n5", "n1")[n % 2], f"w{n % 3}", f"c{n}") for n in range(9)),
        Call(6.8, True, "n4", "w0", "c0"),
    ],
)
# n1 and n2 accept a cordon that n3 does not receive. Then n1 loses its state, n2 and the scheduler that has
# the cordon (n5) are partitioned from the others, and the other scheduler (n4) restarts: n1 and n3 are a
# majority without the cordon.
LOST_STATE_SCHEDULE: FaultsAndCalls = (
    [
        (0.2, 2.0, T.LOSS, ("n1", "n3"), 1.0),
        (0.2, 13.8, T.LOSS, ("n2", "n3"), 1.0),
        (0.2, 2.0, T.LOSS, ("n3", "n4"), 1.0),
        (0.2, 13.8, T.LOSS, ("n3", "n5"), 1.0),
        (1.8, 12.2, T.LOSS, ("n1", "n2"), 1.0),
        (1.8, 12.2, T.LOSS, ("n1", "n5"), 1.0),
        (1.8, 12.2, T.LOSS, ("n2", "n4"), 1.0),
        (1.9, 0.1, T.WIPE, ("n1",), 0.0),
        (1.9, 0.1, T.KILL, ("n4",), 0.0),
    ],
    [Call(0.7, False, "n2", "w0", "kept")],
)
SCHEDULES: dict[str, FaultsAndCalls] = {
    "a voter and a scheduler are partitioned": PARTITION_SCHEDULE,
    "a scheduler has a long round-trip time": LONG_DELAY_SCHEDULE,
    "a voter loses its state": LOST_STATE_SCHEDULE,
}

# Planted defects: the role with the defect (n1: all voters, n4: all schedulers), code that is run before the
# program, the schedule, and part of the broken rule's description.
DEFECTS = {
    "sends without a lease": (
        "n4",
        "import robinhill.control.lease as l\n"
        "l.ObserverLease.is_valid = lambda self, now: self.as_of_us is not None",
        "a voter and a scheduler are partitioned",
        "past the bound",
    ),
    "ignores cordons": (
        "n4",
        "import robinhill.net.control_group.observing_scheduler as o\n"
        "o.covers = lambda targets, destination: False",
        "a voter and a scheduler are partitioned",
        "past the bound",
    ),
    "reports in force without confirmations": (
        "n1",
        "import robinhill.control.commit_tracker as t\n"
        "t.CommitTracker._lagging = lambda self, batch: t.NONE_LAGGING",
        "a scheduler has a long round-trip time",
        "after it was in force",
    ),
    "counts for majorities after losing its state": (
        "n1",
        "import robinhill.control.voter as v; start = v.Voter.start\n"
        "def counts(self, now, mono):\n"
        "    return [*start(self, now, mono), *self.confirm_complete(now, mono)]\n"
        "v.Voter.start = counts",
        "a voter loses its state",
        "past the bound",
    ),
}


def run(
    name: str, folder: Path, voter: tuple[str, ...] = VOTER, scheduler: tuple[str, ...] = PROGRAM
) -> Outcome:
    rows, calls = SCHEDULES[name]
    faults = tuple(
        Fault(i, at, for_s, what, targets, size) for i, (at, for_s, what, targets, size) in enumerate(rows)
    )
    schedule = Schedule(3, process_names(PROCESSES), faults, tuple(calls))
    bound_ms = LONG_BOUND_MS if SCHEDULES[name] is LONG_DELAY_SCHEDULE else BOUND_MS
    played = play(schedule, folder, VOTERS, bound_ms=bound_ms, voter_entry=voter, entry=scheduler)
    outcome = asyncio.run(played)
    assert not outcome.idle_schedulers, (
        f"{', '.join(outcome.idle_schedulers)} sent no job during the faults: no rule was checked there"
    )
    return outcome


@pytest.mark.parametrize("name", SCHEDULES)
def test_no_rule_is_broken_under_faults(name: str, tmp_path: Path) -> None:
    outcome = run(name, tmp_path)
    assert not outcome.broken, str(outcome)


@pytest.mark.parametrize("defect", DEFECTS)
def test_planted_defect_is_detected(defect: str, tmp_path: Path) -> None:
    process, code, name, message = DEFECTS[defect]
    entry = ("-c", f"{code}\nfrom robinhill.commands import main; raise SystemExit(main())")
    if process in process_names(PROCESSES)[:VOTERS]:
        outcome = run(name, tmp_path, voter=(*entry, "control"))
    else:
        outcome = run(name, tmp_path, scheduler=entry)
    assert any(message in what for what in outcome.broken), (str(outcome), outcome.broken)


def test_scheduler_without_sends_before_the_end_of_faults_is_idle() -> None:
    events = [
        Event(1.0, EventType.FAULT_STARTED, scheduler="n4"),
        Event(2.0, EventType.SENT, scheduler="n5"),
        Event(3.0, EventType.FAULT_ENDED, scheduler="n4"),
        Event(4.0, EventType.SENT, scheduler="n4"),
    ]
    assert idle_schedulers(events, ("n4", "n5")) == ("n4",)
    assert idle_schedulers(events[:2], ("n4", "n5")) == ("n4",)
