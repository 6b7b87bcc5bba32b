"""Voters and observers on a simulated network: changes, failover, partitions, voter list changes and load."""

import msgspec
import pytest

from robinhill.control.errors import ChangesFull, VotersNotOneAtATime
from robinhill.control.options import Place, VotersKeys, voter_options
from robinhill.cordon.propagation import Mode, with_slack
from tests.control_network import CORDON, NOTE, Change, Network

SECOND = 1_000_000


def leased_network(voters: int, observers: int, **options: object) -> Network:
    """Return a network in which all observers are synchronized and have a lease.

    With more than one voter, each observer also has a spare link, to which it can fail over.
    """
    network = Network(voters, observers, **options)  # type: ignore[arg-type]
    network.run_until(network.leased, 5 * SECOND)
    network.run_until(network.settled, 5 * SECOND)
    network.run(with_slack(network.bound_us))  # the wait for observers of earlier voter incarnations ends
    assert network.leased()
    return network


def wait_until_in_force(network: Network, change: Change, timeout_us: int = 10 * SECOND) -> int:
    return network.run_until(lambda: change.in_force_us is not None, timeout_us)


@pytest.mark.parametrize(("voters", "observers", "regions"), [(1, 3, 1), (3, 8, 1), (5, 12, 3), (13, 24, 6)])
def test_changes_are_in_force_and_stored_everywhere_within_a_second(
    voters: int, observers: int, regions: int
) -> None:
    network = leased_network(voters, observers, regions=regions, bound_ms=4_000)
    for name in ("v00", "s0001"):
        change = network.write(name, CORDON, f"by {name}")
        assert wait_until_in_force(network, change, SECOND) < SECOND
        assert change.accepted_us is not None and network.stored_everywhere(change)
    assert network.violations == []


def test_observers_choose_a_voter_in_their_region_and_zone() -> None:
    network = leased_network(6, 12, regions=3)
    for process in network.observers():
        voter = network.observer(process.name).voter
        assert voter is not None and network.processes[voter].place == process.place


def test_changes_are_in_force_within_the_bound_on_a_lossy_network() -> None:
    network = leased_network(5, 10, regions=2, loss=0.05, bound_ms=4_000)
    changes = [network.write(f"v{i % 5:02}", CORDON, f"c{i}") for i in range(20)]
    network.run_until(lambda: all(change.in_force_us for change in changes), 4 * SECOND)
    assert network.violations == []


# Failover


def test_observers_of_a_crashed_voter_fail_over_without_losing_their_leases() -> None:
    network = leased_network(3, 9)
    observers = [one.name for one in network.observers() if network.observer(one.name).voter == "v01"]
    assert observers
    lease_changes = network.action_counts["LeaseChanged"]
    network.crash("v01")
    change = network.write("v00", CORDON, "after")
    network.run(5 * SECOND)
    assert network.action_counts["LeaseChanged"] == lease_changes and network.leased()
    assert all(network.observer(name).voter != "v01" for name in observers)
    assert change.in_force_us is not None and network.violations == []


def test_a_change_stored_only_by_an_observer_is_spread_by_its_next_voter() -> None:
    """The voter that accepted the change crashes while it is cut off from the other voters."""
    network = leased_network(3, 3)
    name = network.observer("s0000").voter
    assert name is not None
    for other in network.keys.voters:
        if other != name:
            network.cut(name, other)
    change = network.write(name, CORDON, "alone")
    network.run(50_000)
    assert network.stores(network.processes["s0000"], change)
    network.crash(name)
    network.heal()
    network.run(2 * SECOND)
    assert network.stored_everywhere(change) and network.violations == []


def test_observers_fail_over_from_a_cut_off_voter_without_losing_their_leases() -> None:
    network = leased_network(3, 6)
    for other in ("v01", "v02"):
        network.cut("v00", other)
    lease_changes = network.action_counts["LeaseChanged"]
    network.run(4 * SECOND)
    assert network.leased() and network.action_counts["LeaseChanged"] == lease_changes
    assert all(network.observer(one.name).voter != "v00" for one in network.observers())


def test_an_observer_resumes_after_a_lost_link_without_a_comparison() -> None:
    network = leased_network(1, 1)
    comparisons = network.voter("v00").metrics.comparisons
    (number,) = network.processes["s0000"].connections
    connection = network.connections[number]
    for end in connection.ends:
        network._send_close(connection, end)
    network.run(SECOND)
    assert network.observer("s0000").primary_changes == 2 and network.leased()
    assert network.voter("v00").metrics.comparisons == comparisons


# Lagging observers and voters


def test_a_cut_off_observer_is_lagging_until_its_lease_expires() -> None:
    network = leased_network(3, 4)
    for voter in network.keys.voters:
        network.cut("s0002", voter)
    change = network.write("v00", CORDON, "c")
    network.run(SECOND // 2)
    assert change.accepted_us is not None and change.in_force_us is None
    assert (change.lagging_count, change.lagging_names) == (1, ("s0002",))
    wait_until_in_force(network, change, network.bound_us + SECOND)
    assert not network.observer("s0002").has_lease(network.mono_us("s0002"))
    assert network.violations == []


def test_under_serve_a_cut_off_observer_lags_until_the_partition_heals() -> None:
    network = leased_network(3, 4, on_lost=Mode.SERVE)
    for voter in network.keys.voters:
        network.cut("s0002", voter)
    change = network.write("v00", CORDON, "c")
    network.run(10 * SECOND)
    assert change.accepted_us is not None and change.in_force_us is None
    assert change.lagging_names == ("s0002",)
    network.heal()
    assert wait_until_in_force(network, change, 4 * SECOND) < 4 * SECOND


def test_an_observer_stops_lagging_once_it_says_goodbye_or_an_operator_removes_it() -> None:
    network = leased_network(3, 4, on_lost=Mode.SERVE)
    network.crash("s0002")
    network.leave("s0003")
    change = network.write("v00", CORDON, "c")
    network.run(4 * SECOND)
    assert change.lagging_names == ("s0002",)
    for voter in network.keys.voters:
        network.call(
            voter, lambda machine, now_us, mono_us: machine.remove_observer(now_us, mono_us, "s0002")
        )
    network.run(SECOND)
    assert change.in_force_us is not None


def test_an_outdated_join_stops_lagging_once_the_observer_migrates() -> None:
    """An observer's join at a voter, and the loss of that link, are recorded only after the observer has
    joined another voter."""
    network = leased_network(3, 3, on_lost=Mode.SERVE)
    primary = network.observer("s0000").voter
    other = next(name for name in network.keys.voters if name != primary)
    progress, incarnation = network.voter(other).observer_progress, network.processes["s0000"].incarnation
    progress.joined(network.mono_us(other), "s0000", incarnation, 0, 999)
    progress.link_lost("s0000", 999)
    change = network.write("v00", CORDON, "c")
    network.run(SECOND // 2)
    assert change.lagging_names == ("s0000",)
    wait_until_in_force(network, change, network.bound_us + 2 * SECOND)


def test_a_goodbye_is_repeated_to_a_voter_that_lists_the_observer_again() -> None:
    network = leased_network(3, 3, on_lost=Mode.SERVE)
    primary = network.observer("s0000").voter
    other = next(name for name in network.keys.voters if name != primary)
    progress, incarnation = network.voter(other).observer_progress, network.processes["s0000"].incarnation
    network.leave("s0000")
    network.run(SECOND)
    progress.joined(network.mono_us(other), "s0000", incarnation, 0, 999)
    progress.link_lost("s0000", 999)
    change = network.write("v00", CORDON, "c")
    wait_until_in_force(network, change, network.bound_us + 2 * SECOND)


def test_a_cut_off_voter_is_named_as_lagging() -> None:
    network = leased_network(3, 4)
    for other in ("v00", "v01"):
        network.cut("v02", other)
    change = network.write("v00", CORDON, "c")
    network.run(300_000)
    assert "voter v02" in change.lagging_names
    wait_until_in_force(network, change, network.bound_us + SECOND)
    assert network.violations == []


# Regions that are cut off


def test_a_cut_off_region_serves_kinds_under_serve_and_catches_up_once_healed() -> None:
    network = leased_network(6, 12, regions=3, bound_ms=4_000, on_lost_by_kind={NOTE: Mode.SERVE})
    network.isolate("r2")
    change = network.write("v00", CORDON, "far")
    network.run(8 * SECOND)
    inside = [one for one in network.observers() if one.place.region == "r2"]
    outside = [one for one in network.observers() if one.place.region != "r2"]
    for process in inside:
        observer, mono_us = network.observer(process.name), network.mono_us(process.name)
        assert not observer.status(CORDON, mono_us).may_act
        status = observer.status(NOTE, mono_us)
        assert status.may_act and status.stale and 4 * SECOND < (status.age_us or 0) < 10 * SECOND
        assert not network.stores(process, change)
    for process in outside:
        assert network.observer(process.name).has_lease(network.mono_us(process.name))
    network.heal()
    took_us = network.run_until(lambda: network.leased() and network.stored_everywhere(change), 4 * SECOND)
    assert took_us < 4 * SECOND and network.violations == []


def test_a_healed_region_reconnects_and_compares_at_most_twice_per_observer() -> None:
    network = leased_network(3, 60, regions=3, bound_ms=4_000)
    network.isolate("r1")
    network.run(20 * SECOND)
    # No process runs a busy loop: each makes fewer than 160 steps per simulated second in these 25 s.
    assert max(one.steps for one in network.processes.values()) < 40 * 100
    connects = network.action_counts["Connect"]
    comparisons = sum(network.voter(one.name).metrics.comparisons for one in network.voters())
    network.heal()
    network.run_until(network.leased, 4 * SECOND)
    network.run(2 * SECOND)
    compared = sum(network.voter(one.name).metrics.comparisons for one in network.voters()) - comparisons
    assert network.action_counts["Connect"] - connects <= 2 * 60
    assert compared <= 2 * 60 and network.violations == []


# Changes of the voter list


def voters_keys(network: Network, names: list[str]) -> VotersKeys:
    voters = {name: network.voter_place(int(name[1:])) for name in names}
    return msgspec.structs.replace(network.keys, voters=voters)


def change_voters_at(network: Network, name: str, keys: VotersKeys) -> None:
    options = voter_options(keys, name)
    network.call(name, lambda machine, now, mono: machine.change_voters(now, mono, options))
    network.run(200_000)


def voter_list_settled(network: Network, keys: VotersKeys) -> bool:
    return all(network.voter(n).freshness.quorum.lists == (frozenset(keys.voters),) for n in keys.voters)


def test_a_voter_is_added_and_another_removed() -> None:
    network = leased_network(3, 6)
    with_v03 = voters_keys(network, ["v00", "v01", "v02", "v03"])
    network.start_voter("v03", with_v03)
    for name in network.keys.voters:
        change_voters_at(network, name, with_v03)
    change = network.write("v00", CORDON, "between")
    network.run_until(lambda: voter_list_settled(network, with_v03), 9 * SECOND)
    assert change.in_force_us is not None and network.voter("v03").counts
    without_v00 = voters_keys(network, ["v01", "v02", "v03"])
    for name in without_v00.voters:
        change_voters_at(network, name, without_v00)
    network.crash("v00")
    network.run_until(lambda: voter_list_settled(network, without_v00), 9 * SECOND)
    last = network.write("v03", CORDON, "last")
    wait_until_in_force(network, last)
    assert network.stored_everywhere(last) and network.stored_everywhere(change) and network.violations == []


def test_a_voter_list_change_of_two_voters_or_before_the_last_one_settled_is_rejected() -> None:
    network = leased_network(3, 1)
    five = voter_options(voters_keys(network, ["v00", "v01", "v02", "v03", "v04"]), "v00")
    with pytest.raises(VotersNotOneAtATime, match="v03, v04 would be added"):
        network.voter("v00").change_voters(network.now_us, network.mono_us("v00"), five)
    four = voter_options(voters_keys(network, ["v00", "v01", "v02", "v03"]), "v00")
    network.call("v00", lambda machine, now, mono: machine.change_voters(now, mono, four))
    network.run(SECOND)
    with pytest.raises(VotersNotOneAtATime, match="has not settled"):
        network.voter("v00").change_voters(network.now_us, network.mono_us("v00"), five)


# Restarts with an empty replica


def test_a_voter_restarted_with_an_empty_replica_catches_up_and_counts_for_majorities() -> None:
    network = leased_network(3, 4)
    changes = [network.write("v01", CORDON, f"c{i}") for i in range(5)]
    network.run(SECOND)
    network.restart("v01")
    network.run(2 * SECOND)
    assert network.voter("v01").counts
    assert all(network.stored_everywhere(change) for change in changes) and network.violations == []


def test_a_change_reaches_all_observers_while_observers_restart_and_are_added() -> None:
    network = leased_network(3, 10)
    for i in range(10):
        network.restart(f"s{i:04}")
        network.start_observer(f"s{i + 10:04}", Place("r0", "r0-z0"))
    change = network.write("v00", CORDON, "c")
    wait_until_in_force(network, change, network.bound_us + SECOND)
    network.run_until(network.leased, 3 * SECOND)
    assert network.stored_everywhere(change) and len(network.observers()) == 20 and network.violations == []


# Load


def test_an_urgent_change_is_in_force_within_a_second_under_load() -> None:
    network = leased_network(3, 12, regions=3, bound_ms=4_000)
    for i in range(1_000):
        network.write(f"v{i % 3:02}", NOTE, f"n{i}")
        network.run(1_000)
        if i == 500:
            urgent = network.write("v00", CORDON, "now")
    wait_until_in_force(network, urgent)
    assert urgent.in_force_us is not None and urgent.in_force_us - urgent.requested_us < SECOND
    network.run_until(lambda: all(change.in_force_us for change in network.changes), 4 * SECOND)
    assert network.violations == []


def test_200_changes_are_sent_in_fewer_than_20_messages_per_observer() -> None:
    network = leased_network(1, 10)
    sent = network.processes["v00"].sent
    for i in range(200):
        network.write("v00", NOTE, f"n{i}")
    network.run(500_000)
    assert all(change.in_force_us for change in network.changes)
    assert network.processes["v00"].sent - sent < 10 * 20


# Rejected records


def test_an_observer_that_rejects_a_record_lags_and_loses_its_lease() -> None:
    network = leased_network(3, 4, note_capacity={"s0001": 2})  # merges are rejected at twice the capacity
    for i in range(6):
        network.write("v00", NOTE, f"n{i}")
    network.run(SECOND // 2)
    assert network.changes[-1].lagging_names == ("s0001",)
    network.run(network.bound_us + SECOND)
    assert not network.observer("s0001").has_lease(network.mono_us("s0001"))
    assert all(change.in_force_us is not None for change in network.changes) and network.violations == []


def test_a_voter_that_rejects_a_record_lags_until_the_leases_expire() -> None:
    network = leased_network(3, 3, note_capacity={"v01": 2})
    changes = [network.write("v00", NOTE, f"n{i}") for i in range(6)]
    network.run(SECOND // 2)
    last = changes[-1]
    assert last.accepted_us is not None and last.in_force_us is None
    assert "voter v01, which refused a record" in last.lagging_names
    network.run(network.bound_us + SECOND)
    assert last.in_force_us is not None and network.violations == []


def test_a_change_that_a_majority_rejects_is_not_accepted() -> None:
    network = leased_network(3, 3, note_capacity={"v01": 2, "v02": 2})
    changes = [network.write("v00", NOTE, f"n{i}") for i in range(6)]
    network.run(5 * SECOND)
    assert changes[-1].accepted_us is None and network.violations == []


def test_an_offer_rejected_by_the_voter_is_reported_with_its_name() -> None:
    network = leased_network(1, 2, note_capacity={"v00": 2})
    changes = [network.write("s0000", NOTE, f"n{i}") for i in range(6)]
    network.run(3 * SECOND)
    assert changes[-1].accepted_us is None and changes[-1].lagging_names[0].startswith("voter v00: ")


# Bounds


def test_changes_that_wait_for_a_crashed_observer_do_not_block_later_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("robinhill.control.commit_tracker.MAX_BATCHES", 4)
    monkeypatch.setattr("robinhill.control.pending_offers.MAX_PENDING_OFFERS", 4)
    network = leased_network(3, 3, on_lost=Mode.SERVE)
    network.crash("s0002")
    for i in range(10):
        network.write("v00", CORDON, f"v{i}")
        network.write("s0000", CORDON, f"s{i}")
        network.run(30_000)
    network.run(SECOND)
    assert all(network.stored_everywhere(change) for change in network.changes)
    assert len(network.voter("v00").commit_tracker.batches) <= 4


def test_changes_are_rejected_at_the_batch_limit_while_none_is_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("robinhill.control.commit_tracker.MAX_BATCHES", 4)
    network = leased_network(3, 1)
    for other in ("v01", "v02"):
        network.cut("v00", other)
    for i in range(4):
        network.write("v00", CORDON, f"c{i}")
        network.run(100_000)
    with pytest.raises(ChangesFull, match="none of them accepted"):
        network.write("v00", CORDON, "one more")
    assert network.voter("v00").replica.record(CORDON, "one more") is None
    network.heal()
    network.run_until(lambda: all(change.in_force_us for change in network.changes), 5 * SECOND)
