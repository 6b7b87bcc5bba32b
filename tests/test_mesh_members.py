"""Members: checks, word of mouth, pauses; a fleet on bad links in simulated time; and the overlay."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.mesh_members import SECOND_US, Fleet
from robinhill.mesh import overlay
from robinhill.mesh.failure_detector import (
    COUNT_AT_MOST,
    OUTSTANDING_AT_MOST,
    Answer,
    Became,
    Check,
    CheckDirect,
    Checked,
    CheckFor,
    CheckThrough,
    Impostor,
    Members,
    MemberState,
    Message,
    Options,
    Rumour,
    WasAway,
    Word,
)

ALIVE, SUSPECT, GONE, LEFT = MemberState
PEERS = dict.fromkeys("abcde", "10.0.0.1:1")
NAMES = [f"s{at:03}" for at in range(200)]


def members(**options: int) -> Members:
    one = Members("a", 5, PEERS, random.Random(1), Options(**options))
    for peer in "bcde":
        one.heard(0, peer, 1)
    one.tick(0)
    return one


def silence(one: Members, from_us: int, to_us: int, but: str = "") -> list[object]:
    """Time goes on in ticks; of all peers only ``but`` are heard."""
    acts: list[object] = []
    for at_us in range(from_us, to_us, 100_000):
        for peer in but:
            one.heard(at_us, peer, 1)
        acts += one.tick(at_us)
    return acts


def test_messages_travel_as_messagepack() -> None:
    rumours = (Rumour("b", 1, 2, 3, "c"),)
    for message in (
        Check("a", 1, 2, "b", rumours),
        CheckFor("a", 1, 2, "b"),
        Checked("a", 1, 2, "b", 3),
        Word("a", 1),
    ):
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Message) == message


def test_others_are_asked_before_anybody_is_suspect() -> None:
    one = members()
    acts = silence(one, 100_000, 9_000_000, but="cde")
    kinds = [type(act) for act in acts if getattr(act, "peer", "") == "b"]
    asked = [act.via for act in acts if isinstance(act, CheckThrough)]
    assert kinds.index(CheckDirect) < kinds.index(CheckThrough) < kinds.index(Became)
    assert kinds[: kinds.index(Became)].count(CheckThrough) == 9 and set(asked) == set("cde")
    assert one.state("b") is SUSPECT and Became("b", SUSPECT) in acts
    assert Became("b", GONE) in silence(one, 9_000_000, 20_000_000, but="cde")
    assert one.alive() == ["c", "d", "e"]


def test_word_through_another_is_enough() -> None:
    one = members()
    for at_us in range(100_000, 20_000_000, 100_000):
        one.heard(at_us, "c", 1)
        for act in one.tick(at_us):
            if isinstance(act, CheckThrough) and act.via == "c":
                one.handle(at_us, Checked("c", 1, act.message.number, act.peer, 1))
    assert SUSPECT not in one.states().values() and GONE not in one.states().values()


def test_looks_for_others_and_passes_the_answer_on() -> None:
    one = members()
    (act,) = one.handle(10, CheckFor("b", 1, 77, "c"))
    assert isinstance(act, CheckDirect) and act.peer == "c"
    (back,) = one.handle(20, Checked("c", 1, act.message.number, "c", 1))
    assert isinstance(back, Answer) and (back.peer, back.message.number, back.message.target) == (
        "b",
        77,
        "c",
    )
    assert one.handle(30, Checked("c", 1, act.message.number, "c", 1)) == []  # doubled
    acts = [act for number in range(1_000) for act in one.handle(40, CheckFor("b", 1, number, "d"))]
    assert len(acts) <= OUTSTANDING_AT_MOST


def test_refutes_and_tells_again_whoever_missed_it() -> None:
    one = members()
    said = Rumour("a", SUSPECT, 5, 0, "b")
    for _ in range(2):
        (answer,) = one.handle(10, Check("b", 1, 1, "a", (said,)))
        assert isinstance(answer, Answer) and Rumour("a", ALIVE, 5, 1) in answer.message.rumours
        while one.has_news:
            one.gossip()
    one.take_gossip(10, [Rumour("a", GONE, 5, COUNT_AT_MOST, "b"), Rumour("a", 9, 5, 7)])
    assert one.count == 1
    assert one.handle(20, Word("b", 1, (Rumour("a", ALIVE, 6, 0),))) == [Impostor(6)]


def test_later_start_and_later_refutation_win_and_left_stays() -> None:
    one = members()
    for rumour, state in (
        (Rumour("b", SUSPECT, 1, 0, "c"), SUSPECT),
        (Rumour("b", ALIVE, 1, 0), SUSPECT),
        (Rumour("b", ALIVE, 1, 1), ALIVE),
        (Rumour("b", SUSPECT, 1, 0, "c"), ALIVE),
        (Rumour("b", LEFT, 1, 0), LEFT),
        (Rumour("b", ALIVE, 1, 9), LEFT),
        (Rumour("b", ALIVE, 2, 0), ALIVE),
        (Rumour("b", GONE, 1, 50), ALIVE),
        (Rumour("b", 7, 3, 0), ALIVE),
        (Rumour("unknown", GONE, 3, 0), ALIVE),
    ):
        one.take_gossip(0, [rumour])
        assert one.state("b") is state, rumour
    assert "unknown" not in one.states()
    assert one.left("c") == [Became("b", s) for s in (SUSPECT, ALIVE, LEFT, ALIVE)] + [Became("c", LEFT)]


def test_who_spoke_just_now_is_not_gone_because_others_say_so() -> None:
    one = members()
    one.heard(500_000, "b", 1)
    one.take_gossip(600_000, [Rumour("b", GONE, 1, 0), Rumour("c", GONE, 1, 0)])
    assert one.state("b") is SUSPECT
    one.take_gossip(2_000_000, [Rumour("b", GONE, 1, 0)])
    assert one.state("b") is GONE


def test_pause_is_told_first_and_moves_what_is_due() -> None:
    one = members()
    silence(one, 100_000, 7_000_000, but="cde")
    assert one.state("b") is SUSPECT
    acts = one.tick(37_000_000)
    assert acts[0] == WasAway(30_100_000) and one.state("b") is SUSPECT
    assert not any(isinstance(act, Became) for act in acts)
    one.tick(37_100_000)
    acts = one.handle(67_100_000, Check("c", 1, 1, "a"))  # a message is read before the first tick
    assert acts[0] == WasAway(30_000_000) and isinstance(acts[1], Answer)
    assert GONE in [
        act.state for act in silence(one, 67_200_000, 80_000_000, "cde") if isinstance(act, Became)
    ]


def test_reload_keeps_states_and_meets_who_is_new() -> None:
    one = members()
    one.take_gossip(0, [Rumour("b", LEFT, 1, 0)])
    one.reload({"a": "", "b": "", "c": "", "f": "10.0.0.6:1"})
    assert one.states() == {"b": LEFT, "c": ALIVE, "f": GONE} and one.addresses["f"] == "10.0.0.6:1"
    acts = silence(one, 100_000, 3_000_000, but="c")
    assert "f" in {act.peer for act in acts if isinstance(act, CheckDirect)}
    one.heard(3_000_000, "f", 9)
    assert one.tick(3_000_000)[0] == Became("f", ALIVE) and one.start_of("f") == 9
    with pytest.raises(ValueError, match="more than"):
        one.reload({str(at): "" for at in range(2_000)})


def test_lost_link_is_looked_into_at_once() -> None:
    one = members()
    acts = one.link_lost(50_000, "b")
    assert [act.peer for act in acts if isinstance(act, CheckDirect)] == ["b"]


def test_bad_links_make_nobody_gone_and_a_crash_is_known_to_all() -> None:
    fleet = Fleet(100, seed=3)
    assert fleet.until(fleet.agreed, 60 * SECOND_US) is not None
    fleet.run(40 * SECOND_US)
    assert fleet.gone() == []
    fleet.crash("s007")
    assert fleet.until(lambda: fleet.think("s007", GONE) == 99, 25 * SECOND_US) is not None


def test_cut_off_members_return_and_so_does_a_restarted_and_a_stopped_one() -> None:
    fleet = Fleet(40, seed=5, loss=0.05)
    away = set(fleet.names[:10])
    fleet.until(fleet.agreed, 60 * SECOND_US)
    fleet.cut = lambda writer, reader: (writer in away) != (reader in away)
    fleet.run(40 * SECOND_US)
    assert all(fleet.think(name, GONE) == (30 if name in away else 10) for name in fleet.names)
    fleet.cut = lambda _writer, _reader: False
    assert fleet.until(fleet.agreed, 40 * SECOND_US) is not None
    fleet.stop("s020", 30 * SECOND_US)
    fleet.run(31 * SECOND_US)
    assert [name for name, _ in fleet.away] == ["s020"] and fleet.away[0][1] >= 29 * SECOND_US
    fleet.crash("s021")
    fleet.run(30 * SECOND_US)
    fleet.start("s021", 2)
    assert fleet.until(fleet.agreed, 40 * SECOND_US) is not None


def test_one_bad_link_unseats_nobody_and_flapping_ends_alive() -> None:
    fleet = Fleet(30, seed=8, loss=0.0)
    fleet.until(fleet.agreed, 60 * SECOND_US)
    fleet.cut = lambda writer, reader: {writer, reader} == {"s001", "s002"}
    fleet.run(60 * SECOND_US)
    assert fleet.gone() == [] and fleet.agreed()
    fleet.cut = lambda writer, reader: "s003" in (writer, reader) and fleet.now_us // (3 * SECOND_US) % 2 == 0
    fleet.run(60 * SECOND_US)
    fleet.cut = lambda _writer, _reader: False
    assert fleet.until(fleet.agreed, 20 * SECOND_US) is not None
    assert {of for _, _, of in fleet.gone()} <= {"s003"}


@pytest.mark.parametrize("size", [1, 2, 3, 17, 18, 19, 20, 25, 50, 199, 200, 500])
def test_overlay_is_symmetric_bounded_and_meets_its_ends(size: int) -> None:
    names = [f"s{at:03}" for at in range(size)]
    random.Random(size).shuffle(names)
    for me in names[:20]:
        own = overlay.partners(me, names)
        assert me not in own and len(set(own)) == len(own) <= overlay.LINKS_AT_MOST
        assert size > 17 or len(own) == size - 1
        for peer in own:
            assert me in overlay.partners(peer, names)
            assert overlay.dials(me, peer, names) != overlay.dials(peer, me, names)
            assert size < 4 or len(overlay.common(me, peer, names)) >= 2


@given(st.integers(0, 10_000), st.sampled_from([0.3, 0.5, 0.7]))
def test_overlay_stays_connected_under_loss_of_many(seed: int, lost: float) -> None:
    alive = set(random.Random(seed).sample(NAMES, round(len(NAMES) * (1 - lost))))
    links: dict[str, set[str]] = {name: set() for name in alive}
    for name in sorted(alive):
        for peer in [*overlay.partners(name, NAMES), *overlay.repairs(name, NAMES, alive)]:
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
