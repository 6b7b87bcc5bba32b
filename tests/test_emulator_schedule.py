"""Fault schedules depend on the seed alone, stay within what a design can tolerate, and can be reduced."""

import asyncio

import pytest

from robinhill.emulator.schedule import KILL_FAULTS, Fault, FaultKind, draw, process_names, shrink

WORKERS = [f"w{i}" for i in range(6)]
SEEDS = range(150)


@pytest.mark.parametrize("processes", [3, 5, 12])
def test_seed_determines_a_schedule_that_can_be_tolerated(processes: int) -> None:
    drawn = [draw(seed, processes, WORKERS) for seed in SEEDS]
    assert drawn == [draw(seed, processes, WORKERS) for seed in SEEDS]
    assert len({str(s) for s in drawn}) == len(drawn)
    assert {f.kind for s in drawn for f in s.faults} == set(FaultKind)
    names = process_names(processes)
    for schedule in drawn:
        killed = {f.targets[0] for f in schedule.faults if f.kind in KILL_FAULTS}
        assert len(killed) <= (processes - 1) // 2
        for i, one in enumerate(schedule.faults):
            assert one.number == i and set(one.affected_processes(names)) <= set(names)
            assert not any(one.overlaps(other, names) for other in schedule.faults[i + 1 :])
        assert len({c.worker for c in schedule.calls}) <= len(WORKERS) // 2
        assert all(c.at_s <= schedule.end_s for c in schedule.calls)


def test_faults_overlap_on_the_same_link_or_process_at_the_same_time() -> None:
    names = process_names(4)

    def fault(kind: FaultKind, *targets: str, at_s: float = 1.0) -> Fault:
        return Fault(0, at_s, 1.0, kind, targets)

    partition = fault(FaultKind.PARTITION, "n1", "n2")
    assert partition.overlaps(fault(FaultKind.LOSS, "n3", "n1", at_s=1.9), names)
    assert not partition.overlaps(fault(FaultKind.LOSS, "n3", "n1", at_s=2.0), names)
    assert not partition.overlaps(fault(FaultKind.LOSS, "n1", "n2"), names)
    assert not partition.overlaps(fault(FaultKind.KILL, "n1"), names)
    assert fault(FaultKind.PAUSE, "n1").overlaps(fault(FaultKind.KILL, "n1"), names)


def test_reduced_schedule_keeps_its_calls_and_prints_its_replay_command() -> None:
    schedule = next(s for s in (draw(seed, 5, WORKERS) for seed in SEEDS) if len(s.faults) >= 4)
    reduced = schedule.with_faults([schedule.faults[3], schedule.faults[1]])
    assert reduced.calls == schedule.calls and [f.number for f in reduced.faults] == [1, 3]
    assert reduced.replay().endswith(f"--seed {schedule.seed} --processes 5 --only 1,3")
    assert all(str(part) in str(schedule) for part in [*schedule.faults, *schedule.calls])


@pytest.mark.parametrize("needed", [set[int](), {0}, {7}, {2, 3}, {0, 7}, {1, 4, 6}, set(range(8))])
def test_shrink_keeps_only_the_items_that_the_failure_needs(needed: set[int]) -> None:
    played: list[tuple[int, ...]] = []

    async def fails(items: list[int]) -> bool:
        played.append(tuple(items))
        return needed <= set(items)

    assert asyncio.run(shrink(range(8), fails)) == sorted(needed)
    assert len(played) == len(set(played)), "a subset was run twice"


def test_shrink_keeps_one_of_two_independent_causes() -> None:
    async def fails(items: list[int]) -> bool:
        return {1, 5} <= set(items) or {2} <= set(items)

    assert asyncio.run(shrink(range(8), fails)) in ([2], [1, 5])
