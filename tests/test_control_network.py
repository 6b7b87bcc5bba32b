"""Voters and observers together on a simulated network: changes, moves, cuts, changes of voters, load."""

import msgspec
import pytest

from robinhill.control.errors import ChangesFull, VotersNotOneAtATime
from robinhill.control.options import Place, VotersKeys, voter_options
from robinhill.cordon.propagation import Mode, with_slack
from tests.control_network import CORDON, NOTE, Change, Network

SECOND = 1_000_000


def running(voters: int, observers: int, **more: object) -> Network:
    """A network in which all observers hold a lease and have a spare link."""
    network = Network(voters, observers, **more)  # type: ignore[arg-type]
    network.run_until(network.leased, 5 * SECOND)
    network.run_until(network.settled, 5 * SECOND)
    network.run(with_slack(network.bound_us))  # observers of earlier starts are waited for no more
    assert network.leased()
    return network


def in_force(network: Network, change: Change, within_us: int = 10 * SECOND) -> int:
    return network.run_until(lambda: change.in_force_us is not None, within_us)


@pytest.mark.parametrize(("voters", "observers", "regions"), [(1, 3, 1), (3, 8, 1), (5, 12, 3), (13, 24, 6)])
def test_changes_reach_all_and_are_in_force(voters: int, observers: int, regions: int) -> None:
    network = running(voters, observers, regions=regions, bound_ms=4_000)
    for name in ("v00", "s0001"):
        change = network.write(name, CORDON, f"by {name}")
        assert in_force(network, change, SECOND) < SECOND
        assert change.accepted_us is not None and network.know_all(change)
    assert network.broken == []


def test_observers_prefer_their_zone_and_region() -> None:
    network = running(6, 12, regions=3)
    for process in network.observers():
        voter = network.observer(process.name).voter
        assert voter is not None and network.processes[voter].place == process.place


def test_a_change_on_a_lossy_network() -> None:
    network = running(5, 10, regions=2, loss=0.05, bound_ms=4_000)
    changes = [network.write(f"v{i % 5:02}", CORDON, f"c{i}") for i in range(20)]
    network.run_until(lambda: all(change.in_force_us for change in changes), 4 * SECOND)
    assert network.broken == []


# Moves


def test_a_voters_crash_costs_no_lease() -> None:
    network = running(3, 9)
    having = [one.name for one in network.observers() if network.observer(one.name).voter == "v01"]
    assert having
    leases = network.actions["LeaseChanged"]
    network.crash("v01")
    change = network.write("v00", CORDON, "after")
    network.run(5 * SECOND)
    assert network.actions["LeaseChanged"] == leases and network.leased()
    assert all(network.observer(name).voter != "v01" for name in having)
    assert change.in_force_us is not None and network.broken == []


def test_what_only_an_observer_knows_reaches_all_through_its_next_voter() -> None:
    network = running(3, 3)
    name = network.observer("s0000").voter
    assert name is not None
    for other in network.keys.voters:
        if other != name:
            network.cut(name, other)
    change = network.write(name, CORDON, "alone")
    network.run(50_000)
    assert network.knows(network.processes["s0000"], change)
    network.crash(name)
    network.heal()
    network.run(2 * SECOND)
    assert network.know_all(change) and network.broken == []


def test_an_observer_fails_over_from_a_cut_off_voter_and_keeps_its_lease() -> None:
    network = running(3, 6)
    for other in ("v01", "v02"):
        network.cut("v00", other)
    leases = network.actions["LeaseChanged"]
    network.run(4 * SECOND)
    assert network.leased() and network.actions["LeaseChanged"] == leases
    assert all(network.observer(one.name).voter != "v00" for one in network.observers())


def test_a_lost_link_is_resumed_without_a_comparison() -> None:
    network = running(1, 1)
    compared = network.voter("v00").metrics.comparisons
    (number,) = network.processes["s0000"].connections
    connection = network.connections[number]
    for end in connection.ends:
        network._send_end(connection, end)
    network.run(SECOND)
    assert network.observer("s0000").primary_changes == 2 and network.leased()
    assert network.voter("v00").metrics.comparisons == compared


# Who has not confirmed


def test_a_cut_off_observer_is_lagging_until_its_lease_expires() -> None:
    network = running(3, 4)
    for voter in network.keys.voters:
        network.cut("s0002", voter)
    change = network.write("v00", CORDON, "c")
    network.run(SECOND // 2)
    assert change.accepted_us is not None and change.in_force_us is None
    assert (change.lagging_count, change.lagging_names) == (1, ("s0002",))
    in_force(network, change, network.bound_us + SECOND)
    assert not network.observer("s0002").has_lease(network.mono_us("s0002"))
    assert network.broken == []


def test_under_serve_a_cut_observer_is_waited_for_until_it_is_back() -> None:
    network = running(3, 4, on_lost=Mode.SERVE)
    for voter in network.keys.voters:
        network.cut("s0002", voter)
    change = network.write("v00", CORDON, "c")
    network.run(10 * SECOND)
    assert change.accepted_us is not None and change.in_force_us is None
    assert change.lagging_names == ("s0002",)
    network.heal()
    assert in_force(network, change, 4 * SECOND) < 4 * SECOND


def test_a_goodbye_and_an_operators_removal_end_the_wait() -> None:
    network = running(3, 4, on_lost=Mode.SERVE)
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


def test_an_outdated_join_is_not_waited_for() -> None:
    network = running(3, 3, on_lost=Mode.SERVE)
    having = network.observer("s0000").voter
    other = next(name for name in network.keys.voters if name != having)
    observer_progress, start = network.voter(other).observer_progress, network.processes["s0000"].incarnation
    observer_progress.joined(
        network.mono_us(other), "s0000", start, 0, 999
    )  # overtaken by the word on the next join
    observer_progress.link_lost("s0000", 999)
    change = network.write("v00", CORDON, "c")
    network.run(SECOND // 2)
    assert change.lagging_names == ("s0000",)
    in_force(network, change, network.bound_us + 2 * SECOND)


def test_a_goodbye_that_another_voter_missed_is_sent_again() -> None:
    network = running(3, 3, on_lost=Mode.SERVE)
    having = network.observer("s0000").voter
    other = next(name for name in network.keys.voters if name != having)
    observer_progress, start = network.voter(other).observer_progress, network.processes["s0000"].incarnation
    network.leave("s0000")
    network.run(SECOND)
    observer_progress.joined(network.mono_us(other), "s0000", start, 0, 999)
    observer_progress.link_lost("s0000", 999)
    change = network.write("v00", CORDON, "c")
    in_force(network, change, network.bound_us + 2 * SECOND)


def test_a_voter_that_is_cut_off_is_named() -> None:
    network = running(3, 4)
    for other in ("v00", "v01"):
        network.cut("v02", other)
    change = network.write("v00", CORDON, "c")
    network.run(300_000)
    assert "voter v02" in change.lagging_names
    in_force(network, change, network.bound_us + SECOND)
    assert network.broken == []


# Regions that are cut off


def test_a_region_goes_on_with_what_serves_and_catches_up_after_the_heal() -> None:
    network = running(6, 12, regions=3, bound_ms=4_000, by_kind={NOTE: Mode.SERVE})
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
        assert not network.knows(process, change)
    for process in outside:
        assert network.observer(process.name).has_lease(network.mono_us(process.name))
    network.heal()
    took_us = network.run_until(lambda: network.leased() and network.know_all(change), 4 * SECOND)
    assert took_us < 4 * SECOND and network.broken == []


def test_a_region_that_was_cut_comes_back_without_a_storm() -> None:
    network = running(3, 60, regions=3, bound_ms=4_000)
    network.isolate("r1")
    network.run(20 * SECOND)
    assert max(one.steps for one in network.processes.values()) < 40 * 100  # nobody spins
    before = network.actions["Connect"]
    comparisons = sum(network.voter(one.name).metrics.comparisons for one in network.voters())
    network.heal()
    network.run_until(network.leased, 4 * SECOND)
    network.run(2 * SECOND)
    compared = sum(network.voter(one.name).metrics.comparisons for one in network.voters()) - comparisons
    assert network.actions["Connect"] - before <= 2 * 60
    assert compared <= 2 * 60 and network.broken == []


# Changes of voters


def with_voters(network: Network, names: list[str]) -> VotersKeys:
    voters = {name: network.voter_place(int(name[1:])) for name in names}
    return msgspec.structs.replace(network.keys, voters=voters)


def go_by(network: Network, name: str, keys: VotersKeys) -> None:
    options = voter_options(keys, name)
    network.call(name, lambda machine, now, mono: machine.change_voters(now, mono, options))
    network.run(200_000)


def settled(network: Network, keys: VotersKeys) -> bool:
    return all(network.voter(n).freshness.quorum.lists == (frozenset(keys.voters),) for n in keys.voters)


def test_a_voter_is_added_and_another_removed() -> None:
    network = running(3, 6)
    more = with_voters(network, ["v00", "v01", "v02", "v03"])
    network.start_voter("v03", more)
    for name in network.keys.voters:
        go_by(network, name, more)
    change = network.write("v00", CORDON, "between")
    network.run_until(lambda: settled(network, more), 9 * SECOND)
    assert change.in_force_us is not None and network.voter("v03").counts
    fewer = with_voters(network, ["v01", "v02", "v03"])
    for name in fewer.voters:
        go_by(network, name, fewer)
    network.crash("v00")
    network.run_until(lambda: settled(network, fewer), 9 * SECOND)
    last = network.write("v03", CORDON, "last")
    in_force(network, last)
    assert network.know_all(last) and network.know_all(change) and network.broken == []


def test_voters_are_changed_one_at_a_time() -> None:
    network = running(3, 1)
    five = voter_options(with_voters(network, ["v00", "v01", "v02", "v03", "v04"]), "v00")
    with pytest.raises(VotersNotOneAtATime, match="v03, v04 would be added"):
        network.voter("v00").change_voters(network.now_us, network.mono_us("v00"), five)
    four = voter_options(with_voters(network, ["v00", "v01", "v02", "v03"]), "v00")
    network.call("v00", lambda machine, now, mono: machine.change_voters(now, mono, four))
    network.run(SECOND)
    with pytest.raises(VotersNotOneAtATime, match="has not settled"):
        network.voter("v00").change_voters(network.now_us, network.mono_us("v00"), five)


# Lost memory


def test_a_voter_that_lost_its_memory_gets_all_back_and_counts_again() -> None:
    network = running(3, 4)
    changes = [network.write("v01", CORDON, f"c{i}") for i in range(5)]
    network.run(SECOND)
    network.restart("v01")
    network.run(2 * SECOND)
    assert network.voter("v01").counts
    assert all(network.know_all(change) for change in changes) and network.broken == []


def test_observers_come_and_go() -> None:
    network = running(3, 10)
    for i in range(10):
        network.restart(f"s{i:04}")
        network.start_observer(f"s{i + 10:04}", Place("r0", "r0-z0"))
    change = network.write("v00", CORDON, "c")
    in_force(network, change, network.bound_us + SECOND)
    network.run_until(network.leased, 3 * SECOND)
    assert network.know_all(change) and len(network.observers()) == 20 and network.broken == []


# Load


def test_an_urgent_change_in_a_storm() -> None:
    network = running(3, 12, regions=3, bound_ms=4_000)
    for i in range(1_000):
        network.write(f"v{i % 3:02}", NOTE, f"n{i}")
        network.run(1_000)
        if i == 500:
            urgent = network.write("v00", CORDON, "now")
    in_force(network, urgent)
    assert urgent.in_force_us is not None and urgent.in_force_us - urgent.requested_us < SECOND
    network.run_until(lambda: all(change.in_force_us for change in network.changes), 4 * SECOND)
    assert network.broken == []


def test_batches_share_messages() -> None:
    network = running(1, 10)
    before = network.processes["v00"].sent
    for i in range(200):
        network.write("v00", NOTE, f"n{i}")
    network.run(500_000)
    assert all(change.in_force_us for change in network.changes)
    assert network.processes["v00"].sent - before < 10 * 20


# Records that are refused


def test_an_observer_that_rejects_a_record_confirms_nothing_and_gets_no_lease() -> None:
    network = running(3, 4, note_capacity={"s0001": 2})  # takes twice as many
    for i in range(6):
        network.write("v00", NOTE, f"n{i}")
    network.run(SECOND // 2)
    assert network.changes[-1].lagging_names == ("s0001",)
    network.run(network.bound_us + SECOND)
    assert not network.observer("s0001").has_lease(network.mono_us("s0001"))
    assert all(change.in_force_us is not None for change in network.changes) and network.broken == []


def test_a_voter_that_rejects_a_record_does_not_accept_it() -> None:
    network = running(3, 3, note_capacity={"v01": 2})
    changes = [network.write("v00", NOTE, f"n{i}") for i in range(6)]
    network.run(SECOND // 2)
    last = changes[-1]
    assert last.accepted_us is not None and last.in_force_us is None
    assert "voter v01, which refused a record" in last.lagging_names
    network.run(network.bound_us + SECOND)
    assert last.in_force_us is not None and network.broken == []


def test_nothing_is_accepted_that_a_majority_rejects() -> None:
    network = running(3, 3, note_capacity={"v01": 2, "v02": 2})
    changes = [network.write("v00", NOTE, f"n{i}") for i in range(6)]
    network.run(5 * SECOND)
    assert changes[-1].accepted_us is None and network.broken == []


def test_a_rejected_offer_is_reported() -> None:
    network = running(1, 2, note_capacity={"v00": 2})
    changes = [network.write("s0000", NOTE, f"n{i}") for i in range(6)]
    network.run(3 * SECOND)
    assert changes[-1].accepted_us is None and changes[-1].lagging_names[0].startswith("voter v00: ")


# Bounds


def test_changes_that_wait_for_a_killed_scheduler_do_not_stop_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("robinhill.control.commit_tracker.MAX_BATCHES", 4)
    monkeypatch.setattr("robinhill.control.pending_offers.MAX_PENDING_OFFERS", 4)
    network = running(3, 3, on_lost=Mode.SERVE)
    network.crash("s0002")
    for i in range(10):
        network.write("v00", CORDON, f"v{i}")
        network.write("s0000", CORDON, f"s{i}")
        network.run(30_000)
    network.run(SECOND)
    assert all(network.know_all(change) for change in network.changes)
    assert len(network.voter("v00").commit_tracker.batches) <= 4


def test_changes_are_rejected_at_the_limit_while_none_is_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("robinhill.control.commit_tracker.MAX_BATCHES", 4)
    network = running(3, 1)
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
