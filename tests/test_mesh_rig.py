"""Real schedulers keep what they promise under each kind of fault; broken ones are found out."""

import asyncio
from pathlib import Path

import pytest

from robinhill.emulator.rig import PROGRAM, Outcome, play
from robinhill.emulator.schedule import Call, Fault, FaultKind, Schedule, process_names

T = FaultKind
BOUND_MS = 600
# A cordon before the faults; amid them one at a scheduler that is struck and one at another, and a lift.
CALLS = (
    Call(0.1, False, "n1", "w0", "early"),
    Call(0.5, False, "n3", "w1", "amid"),
    Call(0.5, False, "n2", "w2", "meanwhile"),
    Call(1.6, True, "n2", "w0", "early"),
)
HOLD, SERVE = "hold", "serve"
NAMED: dict[str, tuple[str, list[tuple[float, float, FaultKind, tuple[str, ...], float]]]] = {
    "one is cut off for longer than the bound": (HOLD, [(0.3, 2.8, T.PARTITION, ("n3",), 0)]),
    "one is cut off, and all go on": (SERVE, [(0.3, 1.9, T.PARTITION, ("n3",), 0)]),
    "all are cut off": (HOLD, [(0.3, 1.2, T.PARTITION, ("n3",), 0), (0.3, 1.2, T.STALL, ("n1", "n2"), 0)]),
    "one sleeps for longer than the bound": (HOLD, [(0.05, 1.9, T.PAUSE, ("n3",), 0)]),
    "one is killed": (HOLD, [(0.3, 0.3, T.KILL, ("n1",), 0)]),
    "one loses all": (SERVE, [(0.3, 0.3, T.WIPE, ("n1",), 0)]),
    "one comes back an hour ahead": (HOLD, [(0.2, 0.1, T.CLOCK, ("n3",), 3600.0)]),
    "one comes back an hour behind": (SERVE, [(0.2, 0.1, T.CLOCK, ("n3",), -3600.0)]),
    "one can write nothing": (HOLD, [(0.0, 1.9, T.FULL_DISK, ("n3",), 0)]),
    "links are half-open and deaf": (
        HOLD, [(0.2, 1.5, T.HALF_OPEN, ("n1", "n3"), 0), (0.4, 1.4, T.DEAF, ("n2", "n3"), 0)]
    ),
    "links lose, double and mix": (
        HOLD,
        [(0.0, 2.0, T.LOSS, ("n1", "n2"), 0.4), (0.0, 2.0, T.DOUBLE, ("n2", "n3"), 0.5),
         (0.0, 2.0, T.REORDER, ("n1", "n3"), 0.5)],
    ),
    "links flap, tear and are reset": (
        HOLD,
        [(0.1, 1.8, T.FLAP, ("n1", "n2"), 0.2), (0.3, 0.0, T.TEAR, ("n2", "n3"), 30),
         (0.9, 0.0, T.SEVER, ("n1", "n3"), 0)],
    ),
}  # fmt: skip
# The program with one fault of its own.
BROKEN = {
    "sends though it can't know": (
        "import robinhill.mesh.freshness as f; f.Freshness.holds_lease = lambda self, mono_us: True",
        "one is cut off for longer than the bound", "past the bound",
    ),
    "takes in no cordons": (
        "import robinhill.mesh.replica as r; merge = r.Replica.merge\n"
        "r.Replica.merge = lambda s, now, rec: None if rec.kind.startswith('cordon') else merge(s, now, rec)",
        "links flap, tear and are reset", "copies",
    ),
    "never sends again once it held": (
        "import robinhill.mesh.freshness as f; holds = f.Freshness.holds_lease; lost = []\n"
        "def never(self, now):\n"
        "    if self.caught_up and not holds(self, now): lost.append(1)\n"
        "    return holds(self, now) and len(lost) < 9\n"
        "f.Freshness.holds_lease = never",
        "one is cut off for longer than the bound", "sent nothing after",
    ),
}  # fmt: skip


def run(name: str, folder: Path, entry: tuple[str, ...] = PROGRAM) -> Outcome:
    on_lost, rows = NAMED[name]
    faults = tuple(
        Fault(i, at, for_s, what, targets, size) for i, (at, for_s, what, targets, size) in enumerate(rows)
    )
    schedule = Schedule(3, process_names(3), faults, CALLS)
    return asyncio.run(play(schedule, folder, on_lost=on_lost, bound_ms=BOUND_MS, entry=entry))


@pytest.mark.parametrize("name", NAMED)
def test_schedulers_meet_their_guarantees_under_faults(name: str, tmp_path: Path) -> None:
    outcome = run(name, tmp_path)
    assert not outcome.broken, str(outcome)


@pytest.mark.parametrize("how", BROKEN)
def test_a_planted_fault_is_detected(how: str, tmp_path: Path) -> None:
    code, name, says = BROKEN[how]
    entry = ("-c", f"{code}\nfrom robinhill.commands import main; main()")
    outcome = run(name, tmp_path, entry)
    assert any(says in what for what in outcome.broken), f"{outcome}: {outcome.broken}"
