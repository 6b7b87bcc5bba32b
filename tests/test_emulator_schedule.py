"""Schedules are drawn alike for a seed, can all be borne, and are cut down to what matters."""

import asyncio

import pytest

from robinhill.emulator.schedule import KILL_FAULTS, Fault, FaultKind, draw, process_names, shrink

WORKERS = [f"w{i}" for i in range(6)]
SEEDS = range(150)


@pytest.mark.parametrize("processes", [3, 5, 12])
def test_a_seed_gives_one_schedule_that_can_be_borne(processes: int) -> None:
    drawn = [draw(seed, processes, WORKERS) for seed in SEEDS]
    assert drawn == [draw(seed, processes, WORKERS) for seed in SEEDS]
    assert len({str(s) for s in drawn}) == len(drawn)
    assert {f.trouble for s in drawn for f in s.faults} == set(FaultKind)
    names = process_names(processes)
    for schedule in drawn:
        killed = {f.targets[0] for f in schedule.faults if f.trouble in KILL_FAULTS}
        assert len(killed) <= (processes - 1) // 2
        for i, one in enumerate(schedule.faults):
            assert one.number == i and set(one.affected_processes(names)) <= set(names)
            assert not any(one.overlaps(other, names) for other in schedule.faults[i + 1 :])
        assert len({c.worker for c in schedule.calls}) <= len(WORKERS) // 2
        assert all(c.at_s <= schedule.end_s for c in schedule.calls)


def test_faults_clash_on_one_link_or_process_at_a_time() -> None:
    names = process_names(4)

    def fault(trouble: FaultKind, *targets: str, at_s: float = 1.0) -> Fault:
        return Fault(0, at_s, 1.0, trouble, targets)

    parted = fault(FaultKind.PARTITION, "n1", "n2")
    assert parted.overlaps(fault(FaultKind.LOSS, "n3", "n1", at_s=1.9), names)
    assert not parted.overlaps(fault(FaultKind.LOSS, "n3", "n1", at_s=2.0), names)
    assert not parted.overlaps(fault(FaultKind.LOSS, "n1", "n2"), names)
    assert not parted.overlaps(fault(FaultKind.KILL, "n1"), names)
    assert fault(FaultKind.PAUSE, "n1").overlaps(fault(FaultKind.KILL, "n1"), names)


def test_a_cut_down_schedule_keeps_its_calls_and_tells_how_to_play_it() -> None:
    schedule = next(s for s in (draw(seed, 5, WORKERS) for seed in SEEDS) if len(s.faults) >= 4)
    less = schedule.with_faults([schedule.faults[3], schedule.faults[1]])
    assert less.calls == schedule.calls and [f.number for f in less.faults] == [1, 3]
    assert less.replay().endswith(f"--seed {schedule.seed} --processes 5 --only 1,3")
    assert all(str(part) in str(schedule) for part in [*schedule.faults, *schedule.calls])


@pytest.mark.parametrize("needed", [set[int](), {0}, {7}, {2, 3}, {0, 7}, {1, 4, 6}, set(range(8))])
def test_a_failure_is_cut_down_to_what_it_needs(needed: set[int]) -> None:
    played: list[tuple[int, ...]] = []

    async def fails(items: list[int]) -> bool:
        played.append(tuple(items))
        return needed <= set(items)

    assert asyncio.run(shrink(range(8), fails)) == sorted(needed)
    assert len(played) == len(set(played)), "nothing is played twice"


def test_each_of_two_causes_is_enough() -> None:
    async def fails(items: list[int]) -> bool:
        return {1, 5} <= set(items) or {2} <= set(items)

    assert asyncio.run(shrink(range(8), fails)) in ([2], [1, 5])
