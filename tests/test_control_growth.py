"""What an observer costs does not grow with the number of observers, nor with the number of voters."""

from dataclasses import dataclass

import pytest

from robinhill.cordon.propagation import with_slack
from tests.control_network import CORDON, NOTE, Network

SECOND = 1_000_000
MEASURED_S = 8
FLAT = 1.15


@dataclass(frozen=True)
class Cost:
    """A second's bytes (both ways) and steps of an observer on the mean, and of all voters an observer."""

    observer_bytes: float
    observer_steps: float
    voters_steps: float
    most_observer_bytes: float


def cost(voters: int, observers: int) -> Cost:
    network = Network(voters, observers, bound_ms=4_000, regions=3)
    network.run_until(network.leased, 5 * SECOND)
    network.run_until(network.settled, 5 * SECOND)
    network.run(with_slack(network.bound_us))
    before = {one.name: (one.bytes_in + one.bytes_out, one.steps) for one in network.processes.values()}
    for second in range(MEASURED_S):
        network.write(f"v{second % voters:02}", CORDON if second % 2 else NOTE, f"k{second}")
        network.run(SECOND)
    assert all(change.in_force_us is not None for change in network.changes) and network.broken == []
    spent = {
        one.name: (one.bytes_in + one.bytes_out - before[one.name][0], one.steps - before[one.name][1])
        for one in network.processes.values()
    }
    of_observers = [spent[one.name] for one in network.observers()]
    of_voters = [spent[one.name] for one in network.voters()]
    scale = MEASURED_S * observers
    return Cost(
        sum(number for number, _ in of_observers) / scale,
        sum(steps for _, steps in of_observers) / scale,
        sum(steps for _, steps in of_voters) / scale,
        max(number for number, _ in of_observers) / MEASURED_S,
    )


def test_an_observer_costs_the_same_among_24_and_among_200() -> None:
    few, many = cost(3, 24), cost(3, 200)
    assert many.observer_bytes < FLAT * few.observer_bytes
    assert many.observer_steps < FLAT * few.observer_steps
    assert many.voters_steps < FLAT * few.voters_steps
    assert many.most_observer_bytes < 1_000


def test_an_observer_costs_the_same_with_3_and_with_13_voters() -> None:
    few, many = cost(3, 26), cost(13, 26)
    assert many.observer_bytes == pytest.approx(few.observer_bytes, rel=0.15)
    assert many.observer_steps == pytest.approx(few.observer_steps, rel=0.15)
