"""Random and planned faults: no rule is broken, and each planted fault of the machines is found."""

from collections.abc import Callable, Iterator
from random import Random

import pytest

from robinhill.control.actions import LaggingObservers
from robinhill.control.commit_tracker import ChangeBatch, CommitTracker
from robinhill.control.lease import ObserverLease
from robinhill.control.observer_progress import BarrierId, ObserverProgress, TrackedPosition
from robinhill.control.observer_sessions import ObserverSessions
from robinhill.control.replica_sync import ReplicaSync
from robinhill.cordon.propagation import Mode, with_slack
from tests.control_network import CORDON, NOTE, Network

SECOND = 1_000_000
FAULTS = (
    "write", "write", "write at an observer", "bulk", "cut region", "cut pair", "heal", "heal", "lose voter",
    "restart observer", "leave",
)  # fmt: skip


def random_faults(seed: int, on_lost: Mode, steps: int = 20) -> Network:
    """Five voters, eight observers, three regions, 2% loss; what happens is drawn by ``seed``."""
    rng = Random(seed)
    network = Network(5, 8, regions=3, seed=seed, bound_ms=1_000, on_lost=on_lost, loss=0.02)
    network.run(3 * SECOND)
    for step in range(steps):
        fault(network, rng, step)
        network.run(rng.randrange(600_000))
    network.heal()
    return network


def fault(network: Network, rng: Random, step: int) -> None:
    voters = sorted(one.name for one in network.voters())
    observers = sorted(one.name for one in network.observers())
    match rng.choice(FAULTS):
        case "write":
            network.write(rng.choice(voters), CORDON, f"c{step}")
        case "write at an observer":
            network.write(rng.choice(observers), CORDON, f"c{step}")
        case "bulk":
            for i in range(20):
                network.write(rng.choice(voters), NOTE, f"n{step}-{i}")
        case "cut region":
            network.isolate(rng.choice(network.regions))
        case "cut pair":
            network.cut(*rng.sample(voters + observers, 2))
        case "heal":
            network.heal()
        case "lose voter":  # never a majority at once, which no protocol without disk stands
            if all(network.voter(name).counts for name in voters):
                network.restart(rng.choice(voters))
        case "restart observer":
            network.restart(rng.choice(observers))
        case "leave":
            name = rng.choice(observers)
            place = network.processes[name].place
            network.leave(name)
            network.start_observer(name, place)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("on_lost", Mode)
def test_no_rule_is_broken(seed: int, on_lost: Mode) -> None:
    network = random_faults(seed, on_lost)
    network.run_until(network.leased, 4 * SECOND)
    network.run(3 * SECOND)
    assert network.broken == []
    assert len({one.replica.digest(network.now_us) for one in network.processes.values()}) == 1
    for change in network.changes:
        owner = network.processes[change.owner]
        if owner.incarnation == change.record.stamp.incarnation:
            assert change.in_force_us is not None, (change, network.at_us)


def started(delay_us: int = 2_000, between_us: int = 40_000) -> Network:
    network = Network(3, 6, regions=3, delay_us=delay_us, between_us=between_us)
    network.run_until(network.leased, 5 * SECOND)
    network.run(with_slack(network.bound_us) + SECOND)
    return network


def link_ends_at_the_voter_only() -> Network:
    """The voter is told that an observer's connection ended; the observer is cut off and is not."""
    network = started()
    name = network.observer("s0001").voter
    assert name is not None
    (connection,) = [one for one in network.connections.values() if set(one.ends) == {"s0001", name}]
    for voter in network.keys.voters:
        network.cut("s0001", voter)
    voter_process = network.processes[name]
    voter_process.connections.discard(connection.number)
    network.call(name, lambda machine, now, mono: machine.unlinked(now, mono, connection.number))
    network.write("v00", CORDON, "c")
    network.run(3 * SECOND)
    return network


def voter_forgets_its_observers() -> Network:
    """A voter starts again without memory while one of its observers is cut off and holds a lease."""
    network = started()
    name = network.observer("s0001").voter
    assert name is not None
    for voter in network.keys.voters:
        network.cut("s0001", voter)
    network.restart(name)
    network.run(SECOND // 2)
    network.write("v00", CORDON, "c")
    network.run(3 * SECOND)
    return network


def voter_is_cut_off_with_its_observers() -> Network:
    """A region without a majority knows nothing of a change."""
    network = started()
    network.isolate("r1")
    network.write("v00", CORDON, "c")
    network.run(3 * SECOND)
    return network


def observer_moves_without_a_change() -> Network:
    """An observer does not get a change from its voter, and moves to one that has it and is far away."""
    network = started(delay_us=30_000, between_us=80_000)
    name = network.observer("s0001").voter
    assert name is not None
    network.cut("s0001", name)
    network.write("v00", CORDON, "c")
    network.run(4 * SECOND)
    return network


def observer_is_cut_off_from_all() -> Network:
    """Answers lie on the way while a change is accepted, and come late."""
    network = started()
    for voter in network.keys.voters:
        network.cut("s0001", voter)
    network.run(SECOND)
    network.write("v00", CORDON, "c")
    network.run(4 * SECOND)
    return network


def without_departed(monkeypatch: pytest.MonkeyPatch) -> None:
    original = ObserverProgress.track

    def planted(
        self: ObserverProgress, mono_us: int, key: BarrierId, position: int, **more: bool
    ) -> TrackedPosition:
        found = original(self, mono_us, key, position, **more)
        found.waiting -= {name for name, one in self.observers.items() if one.link is None}
        return found

    monkeypatch.setattr(ObserverProgress, "track", planted)


def without_unknown(monkeypatch: pytest.MonkeyPatch) -> None:
    init = ObserverProgress.__init__

    def planted(self: ObserverProgress, started_us: int, bound_us: int) -> None:
        init(self, started_us, bound_us)
        self._unknown_until_us = started_us

    monkeypatch.setattr(ObserverProgress, "__init__", planted)


def without_silent_voters(monkeypatch: pytest.MonkeyPatch) -> None:
    def planted(self: CommitTracker, batch: ChangeBatch) -> LaggingObservers:
        return LaggingObservers(sum(one.count for one in batch.lagging.values()), ())

    monkeypatch.setattr(CommitTracker, "_lagging", planted)


def migrated_at_the_join(monkeypatch: pytest.MonkeyPatch) -> None:
    grant = ObserverSessions._grant_comparisons

    def planted(self: ObserverSessions) -> None:
        for link in self._comparison_queue:
            observer = self._by_link[link]
            self._note_migrated(observer, observer.join)
        grant(self)

    monkeypatch.setattr(ObserverSessions, "_grant_comparisons", planted)


def lease_lasts_twice_as_long(monkeypatch: pytest.MonkeyPatch) -> None:
    def planted(self: ObserverLease, mono_us: int) -> bool:
        return self.as_of_us is not None and mono_us - self.as_of_us <= 2 * self.bound_us

    monkeypatch.setattr(ObserverLease, "is_valid", planted)


def copy_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    send = ReplicaSync.send_digests

    def planted(self: ReplicaSync, now_us: int, link: int) -> None:
        if not self.synchronized:
            self.replica.clear()
        send(self, now_us, link)

    monkeypatch.setattr(ReplicaSync, "send_digests", planted)


Plant = Callable[[pytest.MonkeyPatch], None]
PLANTED: tuple[tuple[Callable[[], Network], Plant], ...] = (
    (link_ends_at_the_voter_only, without_departed),
    (voter_forgets_its_observers, without_unknown),
    (voter_is_cut_off_with_its_observers, without_silent_voters),
    (observer_moves_without_a_change, migrated_at_the_join),
    (observer_is_cut_off_from_all, lease_lasts_twice_as_long),
)


def names() -> Iterator[str]:
    yield from (plant.__name__ for _, plant in PLANTED)


@pytest.mark.parametrize(("story", "plant"), PLANTED, ids=names())
def test_planned_faults(story: Callable[[], Network], plant: Plant, monkeypatch: pytest.MonkeyPatch) -> None:
    sound = story()
    assert sound.broken == [] and all(change.in_force_us is not None for change in sound.changes)
    plant(monkeypatch)
    assert story().broken != []


def test_a_replaced_replica_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    copy_is_replaced(monkeypatch)
    network = started()
    network.write("v00", CORDON, "c")
    network.run(SECOND)
    network.crash("v01")
    network.run(SECOND)
    assert any("went back in time" in why for why in network.broken)
