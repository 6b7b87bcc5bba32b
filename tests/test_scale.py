"""Growth of costs, measured in counts that are the same on each machine: lines, bytes, allocations, messages.

Each exponent has a lower and an upper bound. Where a cost grows faster than the capacity plan allows, the
test asserts the present exponent, and its docstring and docs/CAPACITY.md mark it as a BREACH of the plan. A
change that removes the breach fails the lower bound; this file and that page then have to be updated.
"""

import asyncio
from collections.abc import Callable

import msgspec
import pytest

from benchmarks.scale import decision, gang, hollow, lists, memory, quotas, recorder, sharing, spread
from benchmarks.scale.counting import allocated_bytes, executed_lines
from benchmarks.scale.fitting import Growth, Point, growth
from benchmarks.scale.processes import read_counter
from robinhill.cordon.codec import cordon_kind
from robinhill.cordon.value import Dot, Reason, set_cordon
from robinhill.mesh.errors import StateFull
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.replica import Replica

WORKERS = (30, 100, 300, 1_000)
TENANTS = (10, 50, 190)
MEMBERS = (16, 32, 64)
SCHEDULERS = (3, 6, 12)
IDLE_S = 6.0
CHANGES = 3
FLAT = (-0.05, 0.05)
LINEAR = (0.9, 1.1)


def measure_growth(measure: Callable[[int], float], sizes: tuple[int, ...]) -> Growth:
    return growth([Point(size, measure(size)) for size in sizes])


def assert_exponent(exponent: float, bounds: tuple[float, float]) -> None:
    low, high = bounds
    assert low <= exponent <= high


# The decision module


def test_decision_lines_grow_linearly_with_workers() -> None:
    """BREACH: each arrival iterates over all listed workers.

    The number of workers that an arrival evaluates fully depends on how early it finds the best one, so the
    growth between two neighbouring sizes varies by a factor of two. The asserted exponent is therefore that
    of all sizes together, and the cost per worker has bounds at three sizes.
    """
    measured = measure_growth(decision.arrival_lines, (*WORKERS, 3_000))
    assert_exponent(measured.exponent, (0.85, 1.2))
    for workers in (100, 1_000, 3_000):
        assert 5 < decision.arrival_lines(workers) / workers < 30


def test_attempt_end_lines_grow_linearly_with_queued_jobs() -> None:
    """BREACH: the end of each attempt iterates over all queued jobs."""
    assert_exponent(measure_growth(decision.queued_end_lines, (100, 500, 2_000)).last_exponent, LINEAR)


def test_full_list_lines_grow_linearly_with_workers() -> None:
    assert_exponent(measure_growth(lists.full_list_lines, WORKERS).last_exponent, LINEAR)


def test_list_change_lines_grow_linearly_with_listed_workers() -> None:
    """BREACH: a change of ten workers iterates over all listed workers."""
    measured = measure_growth(lists.change_lines, (100, 1_000, 2_000))
    assert_exponent(measured.last_exponent, (0.7, 1.1))
    assert 1 < measured.slope < 20  # lines for each unchanged worker


def test_encoded_list_bytes_grow_linearly_with_workers() -> None:
    assert_exponent(
        measure_growth(lambda count: len(lists.encoded_full_list(count)), WORKERS).exponent, LINEAR
    )


# Memory


def test_module_memory_grows_linearly_with_workers() -> None:
    measured = measure_growth(memory.module_worker_bytes, (100, 200, 400))
    assert_exponent(measured.last_exponent, LINEAR)
    assert 300 < measured.slope < 3_000  # bytes for each worker


def test_module_memory_grows_linearly_with_jobs_in_flight() -> None:
    assert_exponent(measure_growth(memory.module_job_bytes, (30, 60, 120)).last_exponent, LINEAR)


def test_endpoint_memory_grows_linearly_with_workers() -> None:
    """BREACH: an unused endpoint takes several kilobytes.

    That is more than the order of magnitude of a worker's memory in the decision module.
    """
    measured = measure_growth(memory.endpoint_bytes, (30, 100, 300))
    assert_exponent(measured.last_exponent, LINEAR)
    assert 2_000 < measured.slope < 20_000  # bytes for each endpoint


# Replication


def test_idle_messages_and_bytes_grow_linearly_up_to_a_full_mesh() -> None:
    """BREACH: each scheduler has a link to each other scheduler, up to 16 links."""
    idle = {count: sharing.hollow_idle(count, IDLE_S) for count in SCHEDULERS}
    messages = growth([Point(count, each.messages_per_s) for count, each in idle.items()])
    written = growth([Point(count, each.bytes_per_s) for count, each in idle.items()])
    assert_exponent(messages.exponent, (1.0, 1.3))
    assert_exponent(written.exponent, (1.05, 1.45))


def test_ping_answer_bytes_grow_linearly_with_schedulers() -> None:
    """BREACH: each answer lists the age of the knowledge about every scheduler, up to 256 schedulers."""
    measured = measure_growth(sharing.answer_bytes, (16, 64, 250))
    assert_exponent(measured.last_exponent, (0.8, 1.1))
    assert 1 < measured.slope < 6  # bytes for each scheduler


def test_cost_of_a_change_to_each_scheduler_grows_with_schedulers() -> None:
    """BREACH: each scheduler confirms a change with a record of its own, which is sent to all others."""
    results = {count: spread.local_hollow_propagation(count, CHANGES) for count in (3, 6, 9)}
    assert not any(each.failed for each in results.values())
    messages = growth([Point(count, each.messages) for count, each in results.items()])
    written = growth([Point(count, each.bytes) for count, each in results.items()])
    assert_exponent(messages.exponent, (1.0, 1.9))
    assert_exponent(written.exponent, (1.7, 3.0))


def test_change_is_in_force_everywhere_after_one_round_trip_between_regions() -> None:
    result = spread.hollow_propagation(6, CHANGES, loss=0.0)
    assert not result.failed
    assert 2 * spread.REGION_DELAY_S <= result.worst_s < 3 * spread.REGION_DELAY_S


def test_hollow_links_apply_partitions_and_loss() -> None:
    """If hollow links ignored their conditions, measurements with loss would be measurements without it."""

    async def partition_and_heal() -> tuple[bool, bool, bool, float]:
        async with hollow.fleet(hollow.Shape(5, regions=5)) as fleet:
            holds_lease = fleet.schedulers["s000"].freshness.holds_lease
            fleet.set_partitioned(0)
            in_force, _ = await fleet.cordon("s001", "c1", wait_s=1.0)
            await asyncio.sleep(2 * hollow.BOUND_MS / 1000)
            lease_in_partition = holds_lease(hollow.now_us())
            fleet.set_partitioned(0, partitioned=False)
            healed_s = await fleet.wait_until(lambda: holds_lease(hollow.now_us()), 10.0)
            in_force_after_heal, _ = await fleet.cordon("s000", "c2", wait_s=1.0)
            return in_force, lease_in_partition, in_force_after_heal, healed_s

    in_force, lease_in_partition, in_force_after_heal, healed_s = hollow.run(partition_and_heal())
    assert not in_force and not lease_in_partition and in_force_after_heal
    assert healed_s < 4.0
    with_loss, without_loss = (
        spread.hollow_propagation(4, CHANGES, loss=0.3),
        spread.hollow_propagation(4, CHANGES, loss=0.0),
    )
    assert with_loss.worst_s > without_loss.worst_s


def test_mesh_options_reject_a_thousand_peers() -> None:
    """BREACH: one options file can't be used for all of 1,000 schedulers."""

    def peers(count: int) -> dict[str, dict[str, str]]:
        return {"peers": {f"s{number:04}": "10.0.0.1:7000" for number in range(count)}}

    assert len(msgspec.convert(peers(999), MeshOptions).peers) == 999
    with pytest.raises(msgspec.ValidationError, match="at most 999"):
        msgspec.convert(peers(1_000), MeshOptions)


def test_replica_rejects_cordon_targets_above_8192() -> None:
    """BREACH: a replica holds 8,192 targets and retains them for 30 days; 10,000 workers are planned."""
    replica = Replica("s000", 1, [cordon_kind()])
    now_us = 1_700_000_000_000_000

    def cordon(number: int) -> None:
        reason = Reason(f"c{number}", "a trial", "", now_us, 0)
        value = set_cordon(None, reason, Dot("s000", 1, number + 1), now_us)
        replica.write(now_us, cordon_kind().name, f"worker/w{number}", value)

    for number in range(8_192):
        cordon(number)
    with pytest.raises(StateFull, match="8192"):
        cordon(8_192)


# Gangs


def test_straggler_evaluation_lines_grow_quadratically_with_members() -> None:
    """BREACH: an evaluation compares each slow member with every other member of the gang."""
    assert_exponent(measure_growth(gang.evaluation_lines, MEMBERS).exponent, (1.6, 2.6))


def test_gang_memory_and_record_grow_linearly_with_members() -> None:
    assert_exponent(measure_growth(gang.state_bytes, MEMBERS).exponent, (0.8, 1.1))
    assert_exponent(measure_growth(gang.record_bytes, MEMBERS).exponent, LINEAR)


def test_gang_header_of_planned_size_is_rejected() -> None:
    """BREACH: the gang header allows at most 128 members."""
    assert gang.header_accepted(128) and not gang.header_accepted(gang.PLANNED_MEMBERS)


# Quotas in admission control


def test_admission_lines_do_not_grow_with_tenants() -> None:
    assert_exponent(measure_growth(quotas.request_lines, TENANTS).exponent, FLAT)


def test_admission_memory_grows_at_most_linearly_with_tenants() -> None:
    measured = measure_growth(quotas.state_bytes, TENANTS)
    assert_exponent(measured.last_exponent, (0.6, 1.1))
    assert 200 < measured.slope < 4_000  # bytes for each tenant


def test_admitted_rate_of_one_quota_grows_linearly_with_schedulers() -> None:
    """BREACH: schedulers do not share a tenant's usage, so each admits the full quota."""
    assert_exponent(measure_growth(quotas.admitted_per_s, (1, 2, 3)).exponent, (0.98, 1.02))


# The recorder


def test_recording_bytes_grow_linearly_with_requests() -> None:
    assert_exponent(measure_growth(recorder.frame_bytes, (100, 300, 1_000)).exponent, LINEAR)


# The measuring tools


def test_growth_fits_known_costs_and_rejects_unusable_points() -> None:
    line = growth([Point(size, 7 + 3 * size) for size in (1, 10, 100)])
    assert line.slope == pytest.approx(3) and line.base == pytest.approx(7) and line.slope_error < 1e-6
    assert line.at(1_000) == pytest.approx(3_007)
    square = growth([Point(size, 5 * size**2) for size in (10, 30, 100)])
    assert square.exponent == pytest.approx(2) and square.last_exponent == pytest.approx(2)
    with pytest.raises(ValueError, match="at least 3"):
        growth([Point(1, 1), Point(2, 2)])
    with pytest.raises(ValueError, match="above 0"):
        growth([Point(1, 1), Point(2, 0), Point(3, 1)])


def test_counting_of_executed_lines_and_allocated_bytes() -> None:
    def loop(count: int) -> None:
        for _ in range(count):
            pass

    assert executed_lines(lambda: loop(1_000)) - executed_lines(lambda: loop(10)) == pytest.approx(
        1_980, abs=1
    )
    assert allocated_bytes(lambda: bytearray(1 << 20)) == pytest.approx(1 << 20, rel=0.01)


def test_read_counter_requires_the_whole_name() -> None:
    text = "robinhill.mesh.bytes_in:7|c\nrobinhill.mesh.bytes_out:42|c\n"
    assert read_counter(text, "bytes_out") == 42
    with pytest.raises(KeyError):
        read_counter(text, "bytes")
