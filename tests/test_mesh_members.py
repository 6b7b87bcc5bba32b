"""Failure detector: pings, gossip, pauses; a fleet on bad links in simulated time; and the overlay."""

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


def detector(**options: int) -> FailureDetector:
    one = FailureDetector("a", 5, PEERS, random.Random(1), FailureDetectorOptions(**options))
    for peer in "bcde":
        one.received_from(0, peer, 1)
    one.tick(0)
    return one


def silence(one: FailureDetector, from_us: int, to_us: int, but: str = "") -> list[object]:
    """Time goes on in ticks; of all peers only ``but`` are heard."""
    actions: list[object] = []
    for at_us in range(from_us, to_us, 100_000):
        for peer in but:
            one.received_from(at_us, peer, 1)
        actions += one.tick(at_us)
    return actions


def test_messages_travel_as_messagepack() -> None:
    updates = (MemberUpdate("b", 1, 2, 3, "c"),)
    for message in (
        Ping("a", 1, 2, "b", updates),
        PingRequest("a", 1, 2, "b"),
        Ack("a", 1, 2, "b", 3),
        Gossip("a", 1),
    ):
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Message) == message


def test_indirect_pings_precede_suspicion() -> None:
    one = detector()
    actions = silence(one, 100_000, 9_000_000, but="cde")
    kinds = [type(action) for action in actions if getattr(action, "peer", "") == "b"]
    asked = [action.via for action in actions if isinstance(action, SendPingRequest)]
    assert kinds.index(SendPing) < kinds.index(SendPingRequest) < kinds.index(MemberStateChanged)
    assert kinds[: kinds.index(MemberStateChanged)].count(SendPingRequest) == 9 and set(asked) == set("cde")
    assert one.state("b") is SUSPECT and MemberStateChanged("b", SUSPECT) in actions
    assert MemberStateChanged("b", DEAD) in silence(one, 9_000_000, 20_000_000, but="cde")
    assert one.alive() == ["c", "d", "e"]


def test_an_indirect_ack_is_enough() -> None:
    one = detector()
    for at_us in range(100_000, 20_000_000, 100_000):
        one.received_from(at_us, "c", 1)
        for action in one.tick(at_us):
            if isinstance(action, SendPingRequest) and action.via == "c":
                one.handle(at_us, Ack("c", 1, action.message.number, action.peer, 1))
    assert SUSPECT not in one.states().values() and DEAD not in one.states().values()


def test_pings_on_request_and_passes_the_ack_on() -> None:
    one = detector()
    (action,) = one.handle(10, PingRequest("b", 1, 77, "c"))
    assert isinstance(action, SendPing) and action.peer == "c"
    (back,) = one.handle(20, Ack("c", 1, action.message.number, "c", 1))
    assert isinstance(back, SendAck) and (back.peer, back.message.number, back.message.target) == (
        "b",
        77,
        "c",
    )
    assert one.handle(30, Ack("c", 1, action.message.number, "c", 1)) == []  # doubled
    actions = [
        action for number in range(1_000) for action in one.handle(40, PingRequest("b", 1, number, "d"))
    ]
    assert len(actions) <= MAX_PINGS_IN_FLIGHT


def test_refutes_and_repeats_it_to_whoever_missed_it() -> None:
    one = detector()
    said = MemberUpdate("a", SUSPECT, 5, 0, "b")
    for _ in range(2):
        (answer,) = one.handle(10, Ping("b", 1, 1, "a", (said,)))
        assert isinstance(answer, SendAck) and MemberUpdate("a", ALIVE, 5, 1) in answer.message.updates
        while one.has_gossip:
            one.table.gossip()
    one.apply_gossip(10, [MemberUpdate("a", DEAD, 5, MAX_REFUTATIONS, "b"), MemberUpdate("a", 9, 5, 7)])
    assert one.table.refutations == 1
    assert one.handle(20, Gossip("b", 1, (MemberUpdate("a", ALIVE, 6, 0),))) == [DuplicateName(6)]


def test_later_start_and_later_refutation_win_and_left_stays() -> None:
    one = detector()
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
        one.apply_gossip(0, [update])
        assert one.state("b") is state, update
    assert "unknown" not in one.states()
    assert one.peer_left("c") == [MemberStateChanged("b", s) for s in (SUSPECT, ALIVE, LEFT, ALIVE)] + [
        MemberStateChanged("c", LEFT)
    ]


def test_a_member_received_from_just_now_is_only_suspect_by_gossip() -> None:
    one = detector()
    one.received_from(500_000, "b", 1)
    one.apply_gossip(600_000, [MemberUpdate("b", DEAD, 1, 0), MemberUpdate("c", DEAD, 1, 0)])
    assert one.state("b") is SUSPECT
    one.apply_gossip(2_000_000, [MemberUpdate("b", DEAD, 1, 0)])
    assert one.state("b") is DEAD


def test_a_pause_is_the_first_action_and_postpones_deadlines() -> None:
    one = detector()
    silence(one, 100_000, 7_000_000, but="cde")
    assert one.state("b") is SUSPECT
    actions = one.tick(37_000_000)
    assert actions[0] == ProcessPaused(30_100_000) and one.state("b") is SUSPECT
    assert not any(isinstance(action, MemberStateChanged) for action in actions)
    one.tick(37_100_000)
    actions = one.handle(67_100_000, Ping("c", 1, 1, "a"))  # a message is read before the first tick
    assert actions[0] == ProcessPaused(30_000_000) and isinstance(actions[1], SendAck)
    assert DEAD in [
        action.state
        for action in silence(one, 67_200_000, 80_000_000, "cde")
        if isinstance(action, MemberStateChanged)
    ]


def test_reload_keeps_states_and_pings_new_peers() -> None:
    one = detector()
    one.apply_gossip(0, [MemberUpdate("b", LEFT, 1, 0)])
    one.reload({"a": "", "b": "", "c": "", "f": "10.0.0.6:1"})
    assert one.states() == {"b": LEFT, "c": ALIVE, "f": DEAD} and one.addresses["f"] == "10.0.0.6:1"
    actions = silence(one, 100_000, 3_000_000, but="c")
    assert "f" in {action.peer for action in actions if isinstance(action, SendPing)}
    one.received_from(3_000_000, "f", 9)
    assert one.tick(3_000_000)[0] == MemberStateChanged("f", ALIVE) and one.incarnation_of("f") == 9
    with pytest.raises(ValueError, match="more than"):
        one.reload({str(at): "" for at in range(2_000)})


def test_a_lost_link_causes_a_ping_at_once() -> None:
    one = detector()
    actions = one.link_lost(50_000, "b")
    assert [action.peer for action in actions if isinstance(action, SendPing)] == ["b"]


def test_bad_links_make_nobody_dead_and_a_crash_is_known_to_all() -> None:
    fleet = Fleet(100, seed=3)
    assert fleet.until(fleet.agreed, 60 * SECOND_US) is not None
    fleet.run(40 * SECOND_US)
    assert fleet.dead() == []
    fleet.crash("s007")
    assert fleet.until(lambda: fleet.regard("s007", DEAD) == 99, 25 * SECOND_US) is not None


def test_cut_off_members_return_and_so_does_a_restarted_and_a_stopped_one() -> None:
    fleet = Fleet(40, seed=5, loss=0.05)
    cut_off = set(fleet.names[:10])
    fleet.until(fleet.agreed, 60 * SECOND_US)
    fleet.cut = lambda writer, reader: (writer in cut_off) != (reader in cut_off)
    fleet.run(40 * SECOND_US)
    assert all(fleet.regard(name, DEAD) == (30 if name in cut_off else 10) for name in fleet.names)
    fleet.cut = lambda _writer, _reader: False
    assert fleet.until(fleet.agreed, 40 * SECOND_US) is not None
    fleet.stop("s020", 30 * SECOND_US)
    fleet.run(31 * SECOND_US)
    assert [name for name, _ in fleet.paused] == ["s020"] and fleet.paused[0][1] >= 29 * SECOND_US
    fleet.crash("s021")
    fleet.run(30 * SECOND_US)
    fleet.start("s021", 2)
    assert fleet.until(fleet.agreed, 40 * SECOND_US) is not None


def test_one_bad_link_unseats_nobody_and_flapping_ends_alive() -> None:
    fleet = Fleet(30, seed=8, loss=0.0)
    fleet.until(fleet.agreed, 60 * SECOND_US)
    fleet.cut = lambda writer, reader: {writer, reader} == {"s001", "s002"}
    fleet.run(60 * SECOND_US)
    assert fleet.dead() == [] and fleet.agreed()
    fleet.cut = lambda writer, reader: "s003" in (writer, reader) and fleet.now_us // (3 * SECOND_US) % 2 == 0
    fleet.run(60 * SECOND_US)
    fleet.cut = lambda _writer, _reader: False
    assert fleet.until(fleet.agreed, 20 * SECOND_US) is not None
    assert {of for _, _, of in fleet.dead()} <= {"s003"}


@pytest.mark.parametrize("size", [1, 2, 3, 17, 18, 19, 20, 25, 50, 199, 200, 500])
def test_overlay_is_symmetric_bounded_and_meets_its_ends(size: int) -> None:
    names = [f"s{at:03}" for at in range(size)]
    random.Random(size).shuffle(names)
    for me in names[:20]:
        own = overlay.partners(me, names)
        assert me not in own and len(set(own)) == len(own) <= overlay.MAX_LINKS
        assert size > 17 or len(own) == size - 1
        for peer in own:
            assert me in overlay.partners(peer, names)
            assert overlay.opens_link(me, peer, names) != overlay.opens_link(peer, me, names)
            assert size < 4 or len(overlay.common_partners(me, peer, names)) >= 2


@given(st.integers(0, 10_000), st.sampled_from([0.3, 0.5, 0.7]))
def test_overlay_stays_connected_under_loss_of_many(seed: int, lost: float) -> None:
    alive = set(random.Random(seed).sample(NAMES, round(len(NAMES) * (1 - lost))))
    links: dict[str, set[str]] = {name: set() for name in alive}
    for name in sorted(alive):
        for peer in [*overlay.partners(name, NAMES), *overlay.repair_partners(name, NAMES, alive)]:
            if peer in alive:
                links[name].add(peer)
                links[peer].add(name)
    reached, open_ = set(), [min(alive)]
    while open_:
        name = open_.pop()
        if name not in reached:
            reached.add(name)
            open_ += links[name]
    assert reached == alive
