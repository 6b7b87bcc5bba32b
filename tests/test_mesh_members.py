"""Failure detector: pings, gossip, pauses; a fleet on lossy links in simulated time; and the overlay."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.mesh_members import SECOND_US, Fleet
from robinhill.mesh import overlay
from robinhill.mesh.failure_detector import FailureDetector
from robinhill.mesh.failure_detector_actions import (
    DuplicateName,
    MemberStateChanged,
    ProcessPaused,
    SendAck,
    SendPing,
    SendPingRequest,
)
from robinhill.mesh.failure_detector_options import FailureDetectorOptions
from robinhill.mesh.ping_rounds import MAX_PINGS_IN_FLIGHT
from robinhill.mesh.swim_messages import (
    MAX_REFUTATIONS,
    Ack,
    Gossip,
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
)

ALIVE, SUSPECT, DEAD, LEFT = MemberState
PEERS = dict.fromkeys("abcde", "10.0.0.1:1")
NAMES = [f"s{at:03}" for at in range(200)]


def create_detector(**options: int) -> FailureDetector:
    detector = FailureDetector("a", 5, PEERS, random.Random(1), FailureDetectorOptions(**options))
    for peer in "bcde":
        detector.received_from(0, peer, 1)
    detector.tick(0)
    return detector


def run_ticks(detector: FailureDetector, from_us: int, to_us: int, senders: str = "") -> list[object]:
    """Tick every 100 ms, with messages from the peers in ``senders`` alone. Returns all actions."""
    actions: list[object] = []
    for at_us in range(from_us, to_us, 100_000):
        for peer in senders:
            detector.received_from(at_us, peer, 1)
        actions += detector.tick(at_us)
    return actions


def test_messages_survive_a_msgpack_round_trip() -> None:
    updates = (MemberUpdate("b", 1, 2, 3, "c"),)
    for message in (
        Ping("a", 1, 2, "b", updates),
        PingRequest("a", 1, 2, "b"),
        Ack("a", 1, 2, "b", 3),
        Gossip("a", 1),
    ):
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Message) == message


def test_indirect_pings_precede_suspicion() -> None:
    detector = create_detector()
    actions = run_ticks(detector, 100_000, 9_000_000, senders="cde")
    kinds = [type(action) for action in actions if getattr(action, "peer", "") == "b"]
    intermediaries = [action.via for action in actions if isinstance(action, SendPingRequest)]
    assert kinds.index(SendPing) < kinds.index(SendPingRequest) < kinds.index(MemberStateChanged)
    assert kinds[: kinds.index(MemberStateChanged)].count(SendPingRequest) == 9 and set(
        intermediaries
    ) == set("cde")
    assert detector.state("b") is SUSPECT and MemberStateChanged("b", SUSPECT) in actions
    assert MemberStateChanged("b", DEAD) in run_ticks(detector, 9_000_000, 20_000_000, senders="cde")
    assert detector.alive() == ["c", "d", "e"]


def test_indirect_ack_prevents_suspicion() -> None:
    detector = create_detector()
    for at_us in range(100_000, 20_000_000, 100_000):
        detector.received_from(at_us, "c", 1)
        for action in detector.tick(at_us):
            if isinstance(action, SendPingRequest) and action.via == "c":
                detector.handle(at_us, Ack("c", 1, action.message.number, action.peer, 1))
    assert SUSPECT not in detector.states().values() and DEAD not in detector.states().values()


def test_ping_request_is_carried_out_and_its_ack_relayed_once() -> None:
    """The ack carries the number of the request. Pings on behalf of others are limited."""
    detector = create_detector()
    (action,) = detector.handle(10, PingRequest("b", 1, 77, "c"))
    assert isinstance(action, SendPing) and action.peer == "c"
    (relayed,) = detector.handle(20, Ack("c", 1, action.message.number, "c", 1))
    assert isinstance(relayed, SendAck) and (
        relayed.peer,
        relayed.message.number,
        relayed.message.target,
    ) == (
        "b",
        77,
        "c",
    )
    assert detector.handle(30, Ack("c", 1, action.message.number, "c", 1)) == []  # a duplicate
    actions = [
        action for number in range(1_000) for action in detector.handle(40, PingRequest("b", 1, number, "d"))
    ]
    assert len(actions) <= MAX_PINGS_IN_FLIGHT


def test_suspicion_is_refuted_again_when_it_is_reported_again() -> None:
    """A member that missed the refutation repeats its suspicion, and must receive the refutation again."""
    detector = create_detector()
    suspicion = MemberUpdate("a", SUSPECT, 5, 0, "b")
    for _ in range(2):
        (reply,) = detector.handle(10, Ping("b", 1, 1, "a", (suspicion,)))
        assert isinstance(reply, SendAck) and MemberUpdate("a", ALIVE, 5, 1) in reply.message.updates
        while detector.has_gossip:
            detector.table.gossip()
    detector.apply_gossip(10, [MemberUpdate("a", DEAD, 5, MAX_REFUTATIONS, "b"), MemberUpdate("a", 9, 5, 7)])
    assert detector.table.refutations == 1
    assert detector.handle(20, Gossip("b", 1, (MemberUpdate("a", ALIVE, 6, 0),))) == [DuplicateName(6)]


def test_gossip_precedence_of_incarnation_refutation_and_state() -> None:
    detector = create_detector()
    for update, state in (
        (MemberUpdate("b", SUSPECT, 1, 0, "c"), SUSPECT),
        (MemberUpdate("b", ALIVE, 1, 0), SUSPECT),
        (MemberUpdate("b", ALIVE, 1, 1), ALIVE),
        (MemberUpdate("b", SUSPECT, 1, 0, "c"), ALIVE),
        (MemberUpdate("b", LEFT, 1, 0), LEFT),
        (MemberUpdate("b", ALIVE, 1, 9), LEFT),
        (MemberUpdate("b", ALIVE, 2, 0), ALIVE),
        (MemberUpdate("b", DEAD, 1, 50), ALIVE),
        (MemberUpdate("b", 7, 3, 0), ALIVE),
        (MemberUpdate("unknown", DEAD, 3, 0), ALIVE),
    ):
        detector.apply_gossip(0, [update])
        assert detector.state("b") is state, update
    assert "unknown" not in detector.states()
    assert detector.peer_left("c") == [MemberStateChanged("b", s) for s in (SUSPECT, ALIVE, LEFT, ALIVE)] + [
        MemberStateChanged("c", LEFT)
    ]


def test_gossiped_death_of_a_member_received_from_recently_makes_it_suspect() -> None:
    """Gossip may be older than our own last message from the member."""
    detector = create_detector()
    detector.received_from(500_000, "b", 1)
    detector.apply_gossip(600_000, [MemberUpdate("b", DEAD, 1, 0), MemberUpdate("c", DEAD, 1, 0)])
    assert detector.state("b") is SUSPECT
    detector.apply_gossip(2_000_000, [MemberUpdate("b", DEAD, 1, 0)])
    assert detector.state("b") is DEAD


def test_pause_is_the_first_action_and_postpones_deadlines() -> None:
    """A process must not declare peers dead because it could not read their messages during a pause."""
    detector = create_detector()
    run_ticks(detector, 100_000, 7_000_000, senders="cde")
    assert detector.state("b") is SUSPECT
    actions = detector.tick(37_000_000)
    assert actions[0] == ProcessPaused(30_100_000) and detector.state("b") is SUSPECT
    assert not any(isinstance(action, MemberStateChanged) for action in actions)
    detector.tick(37_100_000)
    actions = detector.handle(67_100_000, Ping("c", 1, 1, "a"))  # read before the first tick after the pause
    assert actions[0] == ProcessPaused(30_000_000) and isinstance(actions[1], SendAck)
    assert DEAD in [
        action.state
        for action in run_ticks(detector, 67_200_000, 80_000_000, "cde")
        if isinstance(action, MemberStateChanged)
    ]


def test_reload_keeps_states_and_pings_new_peers() -> None:
    detector = create_detector()
    detector.apply_gossip(0, [MemberUpdate("b", LEFT, 1, 0)])
    detector.reload({"a": "", "b": "", "c": "", "f": "10.0.0.6:1"})
    assert detector.states() == {"b": LEFT, "c": ALIVE, "f": DEAD} and detector.addresses["f"] == "10.0.0.6:1"
    actions = run_ticks(detector, 100_000, 3_000_000, senders="c")
    assert "f" in {action.peer for action in actions if isinstance(action, SendPing)}
    detector.received_from(3_000_000, "f", 9)
    assert detector.tick(3_000_000)[0] == MemberStateChanged("f", ALIVE) and detector.incarnation_of("f") == 9
    with pytest.raises(ValueError, match="more than"):
        detector.reload({str(at): "" for at in range(2_000)})


def test_lost_link_triggers_an_immediate_ping() -> None:
    detector = create_detector()
    actions = detector.link_lost(50_000, "b")
    assert [action.peer for action in actions if isinstance(action, SendPing)] == ["b"]


def test_lossy_links_cause_no_false_deaths_and_a_crash_reaches_all_members() -> None:
    fleet = Fleet(100, seed=3)
    assert fleet.run_until(fleet.converged, 60 * SECOND_US) is not None
    fleet.run(40 * SECOND_US)
    assert fleet.deaths() == []
    fleet.crash("s007")
    assert fleet.run_until(lambda: fleet.count_views("s007", DEAD) == 99, 25 * SECOND_US) is not None


def test_members_rejoin_after_a_partition_a_pause_and_a_restart() -> None:
    fleet = Fleet(40, seed=5, loss=0.05)
    cut_off = set(fleet.names[:10])
    fleet.run_until(fleet.converged, 60 * SECOND_US)
    fleet.is_cut = lambda writer, reader: (writer in cut_off) != (reader in cut_off)
    fleet.run(40 * SECOND_US)
    assert all(fleet.count_views(name, DEAD) == (30 if name in cut_off else 10) for name in fleet.names)
    fleet.is_cut = lambda _writer, _reader: False
    assert fleet.run_until(fleet.converged, 40 * SECOND_US) is not None
    fleet.pause("s020", 30 * SECOND_US)
    fleet.run(31 * SECOND_US)
    assert [name for name, _ in fleet.detected_pauses] == ["s020"] and fleet.detected_pauses[0][
        1
    ] >= 29 * SECOND_US
    fleet.crash("s021")
    fleet.run(30 * SECOND_US)
    fleet.start("s021", 2)
    assert fleet.run_until(fleet.converged, 40 * SECOND_US) is not None


def test_broken_link_causes_no_deaths_and_a_flapping_member_ends_alive() -> None:
    """Indirect pings cover the broken link; only the flapping member may be declared dead for a while."""
    fleet = Fleet(30, seed=8, loss=0.0)
    fleet.run_until(fleet.converged, 60 * SECOND_US)
    fleet.is_cut = lambda writer, reader: {writer, reader} == {"s001", "s002"}
    fleet.run(60 * SECOND_US)
    assert fleet.deaths() == [] and fleet.converged()
    fleet.is_cut = lambda writer, reader: (
        "s003" in (writer, reader) and fleet.now_us // (3 * SECOND_US) % 2 == 0
    )
    fleet.run(60 * SECOND_US)
    fleet.is_cut = lambda _writer, _reader: False
    assert fleet.run_until(fleet.converged, 20 * SECOND_US) is not None
    assert {of for _, _, of in fleet.deaths()} <= {"s003"}


@pytest.mark.parametrize("size", [1, 2, 3, 17, 18, 19, 20, 25, 50, 199, 200, 500])
def test_overlay_is_symmetric_and_bounded_with_common_partners_for_each_link(size: int) -> None:
    names = [f"s{at:03}" for at in range(size)]
    random.Random(size).shuffle(names)
    for me in names[:20]:
        partners = overlay.partners(me, names)
        assert me not in partners and len(set(partners)) == len(partners) <= overlay.MAX_LINKS
        assert size > 17 or len(partners) == size - 1
        for peer in partners:
            assert me in overlay.partners(peer, names)
            assert overlay.opens_link(me, peer, names) != overlay.opens_link(peer, me, names)
            assert size < 4 or len(overlay.common_partners(me, peer, names)) >= 2


@given(st.integers(0, 10_000), st.sampled_from([0.3, 0.5, 0.7]))
def test_overlay_with_repair_links_stays_connected_when_many_members_are_lost(
    seed: int, lost_share: float
) -> None:
    alive = set(random.Random(seed).sample(NAMES, round(len(NAMES) * (1 - lost_share))))
    links: dict[str, set[str]] = {name: set() for name in alive}
    for name in sorted(alive):
        for peer in [*overlay.partners(name, NAMES), *overlay.repair_partners(name, NAMES, alive)]:
            if peer in alive:
                links[name].add(peer)
                links[peer].add(name)
    reached, to_visit = set(), [min(alive)]
    while to_visit:
        name = to_visit.pop()
        if name not in reached:
            reached.add(name)
            to_visit += links[name]
    assert reached == alive
