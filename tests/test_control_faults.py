"""Random and scripted faults: voters and observers break no rule, and each injected bug is detected."""

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
    """Run five voters and eight observers in three regions with 2% loss and faults drawn by ``seed``."""
    rng = Random(seed)
    network = Network(5, 8, regions=3, seed=seed, bound_ms=1_000, on_lost=on_lost, loss=0.02)
    network.run(3 * SECOND)
    for step in range(steps):
        inject_random_fault(network, rng, step)
        network.run(rng.randrange(600_000))
    network.heal()
    return network


def inject_random_fault(network: Network, rng: Random, step: int) -> None:
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
        case "lose voter":
            # One voter at a time: a change may be lost if a majority loses its replicas at the same time.
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
def test_random_faults_break_no_rule_and_all_replicas_converge(seed: int, on_lost: Mode) -> None:
    network = random_faults(seed, on_lost)
    network.run_until(network.leased, 4 * SECOND)
    network.run(3 * SECOND)
    assert network.violations == []
    assert len({one.replica.digest(network.now_us) for one in network.processes.values()}) == 1
    for change in network.changes:
        owner = network.processes[change.owner]
        if owner.incarnation == change.record.stamp.incarnation:
            assert change.in_force_us is not None, (change, network.at_us)


def leased_network(delay_us: int = 2_000, cross_region_delay_us: int = 40_000) -> Network:
    """Return a network in which all observers have a lease.

    No voter waits for the leases of observers of its earlier incarnation any more.
    """
    network = Network(3, 6, regions=3, delay_us=delay_us, cross_region_delay_us=cross_region_delay_us)
    network.run_until(network.leased, 5 * SECOND)
    network.run(with_slack(network.bound_us) + SECOND)
    return network


def link_closes_at_the_voter_only() -> Network:
    """A cut-off observer's voter detects that their connection was closed, but the observer does not."""
    network = leased_network()
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


def voter_restarts_while_an_observer_is_cut_off() -> Network:
    """A voter restarts with an empty replica while one of its observers is cut off and has a lease."""
    network = leased_network()
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
    """A change is accepted by the majority while a region, with its voter and observers, is cut off."""
    network = leased_network()
    network.isolate("r1")
    network.write("v00", CORDON, "c")
    network.run(3 * SECOND)
    return network


def observer_fails_over_without_a_change() -> Network:
    """An observer is cut off from its voter and fails over to a voter in another region, which has stored a
    change that the observer lacks."""
    network = leased_network(delay_us=30_000, cross_region_delay_us=80_000)
    name = network.observer("s0001").voter
    assert name is not None
    network.cut("s0001", name)
    network.write("v00", CORDON, "c")
    network.run(4 * SECOND)
    return network


def observer_is_cut_off_from_all() -> Network:
    """Voters' replies to a cut-off observer are still delayed while a change is accepted."""
    network = leased_network()
    for voter in network.keys.voters:
        network.cut("s0001", voter)
    network.run(SECOND)
    network.write("v00", CORDON, "c")
    network.run(4 * SECOND)
    return network


def ignore_disconnected_observers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: changes do not wait for observers that disconnected without a goodbye message."""
    original = ObserverProgress.track

    def faulty(
        self: ObserverProgress, mono_us: int, barrier: BarrierId, position: int, **options: bool
    ) -> TrackedPosition:
        tracked = original(self, mono_us, barrier, position, **options)
        tracked.waiting -= {name for name, one in self.observers.items() if one.link is None}
        return tracked

    monkeypatch.setattr(ObserverProgress, "track", faulty)


def ignore_unknown_observers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: changes do not wait for observers of the voter's earlier incarnation."""
    original = ObserverProgress.__init__

    def faulty(self: ObserverProgress, started_us: int, bound_us: int) -> None:
        original(self, started_us, bound_us)
        self._unknown_until_us = started_us

    monkeypatch.setattr(ObserverProgress, "__init__", faulty)


def ignore_unreported_voters(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: changes do not wait for voters that have not reported a status."""

    def faulty(self: CommitTracker, batch: ChangeBatch) -> LaggingObservers:
        return LaggingObservers(sum(one.count for one in batch.lagging.values()), ())

    monkeypatch.setattr(CommitTracker, "_lagging", faulty)


def migrate_at_the_join(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: a voter reports to the others that an observer has migrated to it as soon as the observer
    joins, not only once the observer is synchronized."""
    original = ObserverSessions._grant_comparisons

    def faulty(self: ObserverSessions) -> None:
        for link in self._comparison_queue:
            observer = self._by_link[link]
            self._note_migrated(observer, observer.join)
        original(self)

    monkeypatch.setattr(ObserverSessions, "_grant_comparisons", faulty)


def double_the_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: an observer's lease expires only after twice the bound."""

    def faulty(self: ObserverLease, mono_us: int) -> bool:
        return self.as_of_us is not None and mono_us - self.as_of_us <= 2 * self.bound_us

    monkeypatch.setattr(ObserverLease, "is_valid", faulty)


def clear_the_replica_before_comparisons(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug: an observer discards its replica when it synchronizes, instead of merging into it."""
    original = ReplicaSync.send_digests

    def faulty(self: ReplicaSync, now_us: int, link: int) -> None:
        if not self.synchronized:
            self.replica.clear()
        original(self, now_us, link)

    monkeypatch.setattr(ReplicaSync, "send_digests", faulty)


Bug = Callable[[pytest.MonkeyPatch], None]
SCENARIOS_WITH_BUGS: tuple[tuple[Callable[[], Network], Bug], ...] = (
    (link_closes_at_the_voter_only, ignore_disconnected_observers),
    (voter_restarts_while_an_observer_is_cut_off, ignore_unknown_observers),
    (voter_is_cut_off_with_its_observers, ignore_unreported_voters),
    (observer_fails_over_without_a_change, migrate_at_the_join),
    (observer_is_cut_off_from_all, double_the_lease),
)


def bug_names() -> Iterator[str]:
    yield from (inject_bug.__name__ for _, inject_bug in SCENARIOS_WITH_BUGS)


@pytest.mark.parametrize(("scenario", "inject_bug"), SCENARIOS_WITH_BUGS, ids=bug_names())
def test_scripted_faults_break_a_rule_only_with_an_injected_bug(
    scenario: Callable[[], Network], inject_bug: Bug, monkeypatch: pytest.MonkeyPatch
) -> None:
    network = scenario()
    assert network.violations == [] and all(change.in_force_us is not None for change in network.changes)
    inject_bug(monkeypatch)
    assert scenario().violations != []


def test_an_observer_that_discards_its_replica_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    clear_the_replica_before_comparisons(monkeypatch)
    network = leased_network()
    network.write("v00", CORDON, "c")
    network.run(SECOND)
    network.crash("v01")
    network.run(SECOND)
    assert any("moved its replica or lease back in time" in why for why in network.violations)
