"""The cost of an observer does not grow with the number of observers, nor with the number of voters."""

from dataclasses import dataclass

import pytest

from robinhill.cordon.propagation import with_slack
from tests.control_network import CORDON, NOTE, Network

SECOND_US = 1_000_000
MEASURED_S = 8
MAX_COST_RATIO = 1.15


@dataclass(frozen=True)
class Cost:
    """Costs per second and observer; bytes are the sum of both directions.

    ``observer_bytes`` and ``observer_steps`` are means over all observers. ``voters_steps``: steps of all
    voters divided by the number of observers. ``most_observer_bytes``: maximum over all observers.
    """

    observer_bytes: float
    observer_steps: float
    voters_steps: float
    most_observer_bytes: float


def measure_cost(voters: int, observers: int) -> Cost:
    """Measure a network that writes one change a second, once its leases and synchronization have settled."""
    network = Network(voters, observers, bound_ms=4_000, regions=3)
    network.run_until(network.leased, 5 * SECOND_US)
    network.run_until(network.settled, 5 * SECOND_US)
    network.run(with_slack(network.bound_us))
    before = {
        process.name: (process.bytes_in + process.bytes_out, process.steps)
        for process in network.processes.values()
    }
    for second in range(MEASURED_S):
        network.write(f"v{second % voters:02}", CORDON if second % 2 else NOTE, f"k{second}")
        network.run(SECOND_US)
    assert all(change.in_force_us is not None for change in network.changes) and network.violations == []
    bytes_and_steps = {
        process.name: (
            process.bytes_in + process.bytes_out - before[process.name][0],
            process.steps - before[process.name][1],
        )
        for process in network.processes.values()
    }
    of_observers = [bytes_and_steps[process.name] for process in network.observers()]
    of_voters = [bytes_and_steps[process.name] for process in network.voters()]
    scale = MEASURED_S * observers
    return Cost(
        sum(size_bytes for size_bytes, _ in of_observers) / scale,
        sum(steps for _, steps in of_observers) / scale,
        sum(steps for _, steps in of_voters) / scale,
        max(size_bytes for size_bytes, _ in of_observers) / MEASURED_S,
    )


def test_observer_cost_is_equal_with_24_and_200_observers() -> None:
    few, many = measure_cost(3, 24), measure_cost(3, 200)
    assert many.observer_bytes < MAX_COST_RATIO * few.observer_bytes
    assert many.observer_steps < MAX_COST_RATIO * few.observer_steps
    assert many.voters_steps < MAX_COST_RATIO * few.voters_steps
    assert many.most_observer_bytes < 1_000


def test_observer_cost_is_equal_with_3_and_13_voters() -> None:
    few, many = measure_cost(3, 26), measure_cost(13, 26)
    assert many.observer_bytes == pytest.approx(few.observer_bytes, rel=0.15)
    assert many.observer_steps == pytest.approx(few.observer_steps, rel=0.15)
