"""Shared values and helpers for tests of cordons: a fleet, reasons, cordons and a propagation."""

from typing import Any

from hypothesis import settings

from robinhill.cordon.budget import Location
from robinhill.cordon.propagation import (
    Mode,
    ProcessStatus,
    Propagation,
    PropagationStage,
    Scheduler,
)
from robinhill.cordon.value import (
    CordonSet,
    Dot,
    Reason,
    active_entries,
    set_cordon,
)

SECOND_US = 1_000_000
NOW = 1_800_000_000 * SECOND_US
DETERMINISTIC = settings(max_examples=150, deadline=None, derandomize=True)


def operator_reason(
    cordon_id: str = "m1", until_us: int = 0, since_us: int = NOW, text: str = "new disk"
) -> Reason:
    return Reason(cordon_id, text, "ada", since_us, until_us)


def active_ids(value: CordonSet, now_us: int = NOW) -> list[str]:
    return [e.reason.id for e in active_entries(value, now_us)]


FLEET = {f"w{i:02}": Location(f"z{i % 3}", "large" if i % 2 else "small", i % 5) for i in range(30)}


def automatic_reason(worker: str, cause: str = "slow", since_us: int = NOW) -> Reason:
    return Reason(
        f"auto-{cause}-{worker}", "bad", "s1", since_us, NOW + 60 * SECOND_US, True, cause, ("s1", "s2")
    )


def cordons_of(target: str, *reasons: Reason, origin: str = "s1") -> tuple[str, CordonSet]:
    value = CordonSet()
    for count, reason in enumerate(reasons, 1):
        value = set_cordon(value, reason, Dot(origin, 1, count), NOW)
    return target, value


def schedulers(mode: Mode | None = Mode.HOLD, count: int = 5) -> list[Scheduler]:
    return [Scheduler(f"s{i}", 1, ProcessStatus.ALIVE, mode, 3 * SECOND_US) for i in range(count)]


def new_propagation(mode: Mode = Mode.HOLD, **options: Any) -> Propagation:
    propagation = Propagation("cordon m1", "s0", mode, schedulers(mode), **options)
    assert propagation.advance(0) is PropagationStage.RECEIVED
    propagation.mark_stored(1)
    return propagation


def confirm(propagation: Propagation, mono_us: int, *names: str, incarnation: int = 1) -> None:
    for name in names:
        propagation.record_confirmation(mono_us, name, incarnation)
