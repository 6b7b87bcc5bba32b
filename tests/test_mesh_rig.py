"""Real schedulers meet their guarantees under each kind of fault; planted defects are detected."""

import asyncio
from pathlib import Path

import pytest

from robinhill.emulator.rig import PROGRAM, Outcome, play
from robinhill.emulator.schedule import Call, Fault, FaultKind, Schedule, process_names

T = FaultKind
BOUND_MS = 600
# Operators set a cordon at n1, before most schedules' faults begin. Later, mostly during the faults, they set
# one at n3, which most schedules affect, and one at n2, and lift the first cordon at n2.
CALLS = (
    Call(0.1, False, "n1", "w0", "early"),
    Call(0.5, False, "n3", "w1", "amid"),
    Call(0.5, False, "n2", "w2", "meanwhile"),
    Call(1.6, True, "n2", "w0", "early"),
)
HOLD, SERVE = "hold", "serve"
SCHEDULES: dict[str, tuple[str, list[tuple[float, float, FaultKind, tuple[str, ...], float]]]] = {
    "one scheduler is partitioned for longer than the bound": (HOLD, [(0.3, 2.8, T.PARTITION, ("n3",), 0)]),
    "one scheduler is partitioned and all serve": (SERVE, [(0.3, 1.9, T.PARTITION, ("n3",), 0)]),
    "all schedulers are partitioned": (
        HOLD, [(0.3, 1.2, T.PARTITION, ("n3",), 0), (0.3, 1.2, T.STALL, ("n1", "n2"), 0)]
    ),
    "one scheduler is paused for longer than the bound": (HOLD, [(0.05, 1.9, T.PAUSE, ("n3",), 0)]),
    "one scheduler is killed": (HOLD, [(0.3, 0.3, T.KILL, ("n1",), 0)]),
    "one scheduler is killed and loses its state": (SERVE, [(0.3, 0.3, T.WIPE, ("n1",), 0)]),
    "one scheduler restarts with its clock an hour ahead": (HOLD, [(0.2, 0.1, T.CLOCK, ("n3",), 3600.0)]),
    "one scheduler restarts with its clock an hour behind": (SERVE, [(0.2, 0.1, T.CLOCK, ("n3",), -3600.0)]),
    "one scheduler has a full disk": (HOLD, [(0.0, 1.9, T.FULL_DISK, ("n3",), 0)]),
    "one link is half-open, one loses all messages of one direction": (
        HOLD, [(0.2, 1.5, T.HALF_OPEN, ("n1", "n3"), 0), (0.4, 1.4, T.DEAF, ("n2", "n3"), 0)]
    ),
    "links lose, duplicate and reorder messages": (
        HOLD,
        [(0.0, 2.0, T.LOSS, ("n1", "n2"), 0.4), (0.0, 2.0, T.DOUBLE, ("n2", "n3"), 0.5),
         (0.0, 2.0, T.REORDER, ("n1", "n3"), 0.5)],
    ),
    "links flap, truncate and are reset": (
        HOLD,
        [(0.1, 1.8, T.FLAP, ("n1", "n2"), 0.2), (0.3, 0.0, T.TEAR, ("n2", "n3"), 30),
         (0.9, 0.0, T.SEVER, ("n1", "n3"), 0)],
    ),
}  # fmt: skip
# Planted defects: code that is run before the program, the schedule, and part of the broken rule's text.
DEFECTS = {
    "sends without a valid lease": (
        "import robinhill.mesh.freshness as f; f.Freshness.holds_lease = lambda self, mono_us: True",
        "one scheduler is partitioned for longer than the bound", "past the bound",
    ),
    "stores no received cordons": (
        "import robinhill.mesh.replica as r; merge = r.Replica.merge\n"
        "r.Replica.merge = lambda s, now, rec: None if rec.kind.startswith('cordon') else merge(s, now, rec)",
        "links flap, truncate and are reset", "copies",
    ),
    "does not send again after a lost lease": (
        "import robinhill.mesh.freshness as f; holds = f.Freshness.holds_lease; lost = []\n"
        "def never(self, now):\n"
        "    if self.caught_up and not holds(self, now): lost.append(1)\n"
        "    return holds(self, now) and len(lost) < 9\n"
        "f.Freshness.holds_lease = never",
        "one scheduler is partitioned for longer than the bound", "sent nothing after",
    ),
}  # fmt: skip


def run(name: str, folder: Path, entry: tuple[str, ...] = PROGRAM) -> Outcome:
    on_lost, rows = SCHEDULES[name]
    faults = tuple(
        Fault(i, at, for_s, what, targets, size) for i, (at, for_s, what, targets, size) in enumerate(rows)
    )
    schedule = Schedule(3, process_names(3), faults, CALLS)
    return asyncio.run(play(schedule, folder, on_lost=on_lost, bound_ms=BOUND_MS, entry=entry))


@pytest.mark.parametrize("name", SCHEDULES)
def test_schedulers_meet_their_guarantees_under_faults(name: str, tmp_path: Path) -> None:
    outcome = run(name, tmp_path)
    assert not outcome.broken, str(outcome)


@pytest.mark.parametrize("defect", DEFECTS)
def test_planted_defect_is_detected(defect: str, tmp_path: Path) -> None:
    code, name, message = DEFECTS[defect]
    entry = ("-c", f"{code}\nfrom robinhill.commands import main; main()")
    outcome = run(name, tmp_path, entry)
    assert any(message in what for what in outcome.broken), f"{outcome}: {outcome.broken}"
