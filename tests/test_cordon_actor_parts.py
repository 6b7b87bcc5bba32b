"""Parts of a scheduler's cordon actor: notifying the dispatcher, catching up, changing the peer list."""

import msgspec

from robinhill.cordon.propagation import Mode
from robinhill.cordon.propagation_tracker import PropagationTracker
from robinhill.mesh import acknowledgements
from robinhill.mesh.acknowledgements import Acknowledgement
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.options import MeshOptions
from robinhill.net.cordons.catch_up import CatchUp
from robinhill.net.cordons.dispatcher_notifier import DispatcherMessage, DispatcherNotifier
from robinhill.net.cordons.fleet import Fleet
from robinhill.net.cordons.peer_list_transition import PeerListTransition
from robinhill.net.dispatcher.messages import CordonsChanged, SendLeaseChanged
from robinhill.protocol import Lifecycle, ListedEndpoint

SECOND_US = 1_000_000
NAMES = ("a", "b", "c")
NORTH = ListedEndpoint("w1", "127.0.0.1:9", "north", "std", 0, Lifecycle.ACTIVE, 1.0, 0)


def fleet(catch_up_ms: int = 5_000) -> Fleet:
    peers = {name: f"127.0.0.1:{4000 + number}" for number, name in enumerate(NAMES)}
    options = {"installation": "test", "peers": peers, "catch_up_ms": catch_up_ms, "bound_ms": 3_000}
    return Fleet("a", NAMES, msgspec.convert(options, MeshOptions))


def tracker(freshness: Freshness) -> PropagationTracker:
    made = PropagationTracker("a", Mode.HOLD, 3 * SECOND_US, freshness.quorum)
    made.reconfigure(0, NAMES)
    return made


def acknowledgement(serving: bool = False, names: tuple[str, ...] = NAMES) -> Acknowledgement:
    digest = acknowledgements.list_digest(names)
    return Acknowledgement(
        acknowledgements.VERSION, 1, 1, "hold", 3 * SECOND_US, True, serving, False, digest, b"", (), ()
    )


def test_the_dispatcher_is_notified_of_cordons_and_confirms_them_by_number() -> None:
    sent: list[DispatcherMessage] = []
    applied: list[int] = []
    notifier = DispatcherNotifier(sent.append, applied.append, b"empty")
    notifier.notify_cordons(frozenset({"zone/north"}), b"one")
    notifier.notify_cordons(frozenset(), b"one")
    first, second = sent
    assert isinstance(first, CordonsChanged) and first.covers(NORTH)
    assert isinstance(second, CordonsChanged) and not second.covers(NORTH)
    assert notifier.targets == frozenset()
    first.on_applied()
    assert applied == [1] and notifier.applied_digest == b"empty"
    assert notifier.confirm_applied(1) and notifier.applied_digest == b"one"
    assert not notifier.confirm_applied(2), "the digest is the same"


def test_the_dispatcher_is_notified_of_the_lease_only_when_it_changes() -> None:
    sent: list[DispatcherMessage] = []
    notifier = DispatcherNotifier(sent.append, lambda _number: None, b"")
    notifier.notify_lease(True)
    assert sent == []
    notifier.notify_lease(False)
    notifier.notify_lease(False)
    assert sent == [SendLeaseChanged()] and not notifier.has_lease


def test_a_scheduler_serves_once_a_serving_peer_has_answered() -> None:
    peers = tracker(Freshness("a", NAMES, 3 * SECOND_US))
    catch_up = CatchUp(fleet(), peers, 0)
    peers.record_acknowledgement(0, "b", acknowledgement(serving=True))
    assert not catch_up.serve_if_ready(1 * SECOND_US), "it is known to serve, and has not answered"
    catch_up.record_answer("c")
    assert not catch_up.serve_if_ready(1 * SECOND_US), "one that does not serve"
    catch_up.record_answer("b")
    assert catch_up.serve_if_ready(2 * SECOND_US) and catch_up.serving
    assert catch_up.duration_us == 2 * SECOND_US
    assert not catch_up.serve_if_ready(3 * SECOND_US), "it serves already"


def test_a_scheduler_serves_once_all_peers_have_answered_or_time_is_up() -> None:
    peers = tracker(Freshness("a", NAMES, 3 * SECOND_US))
    catch_up = CatchUp(fleet(), peers, 0)
    for name in ("b", "c"):
        assert not catch_up.serve_if_ready(0)
        catch_up.record_answer(name)
    assert catch_up.serve_if_ready(0)
    late = CatchUp(fleet(catch_up_ms=5_000), peers, 0)
    late.start(SECOND_US)
    assert not late.serve_if_ready(6 * SECOND_US - 1)
    assert late.serve_if_ready(6 * SECOND_US)


def test_former_peer_lists_end_once_all_have_agreed_for_the_bound() -> None:
    freshness = Freshness("a", ("a", "b"), 3 * SECOND_US)
    freshness.reconfigure(NAMES)
    peers = tracker(freshness)
    transition = PeerListTransition(fleet(), freshness, peers)
    for name in ("b", "c"):
        transition.end_if_settled(0)
        peers.record_acknowledgement(0, name, acknowledgement())
    transition.end_if_settled(SECOND_US)
    peers.record_acknowledgement(2 * SECOND_US, "b", acknowledgement(names=("a", "b")))
    transition.end_if_settled(2 * SECOND_US)
    peers.record_acknowledgement(3 * SECOND_US, "b", acknowledgement())
    transition.end_if_settled(3 * SECOND_US)
    transition.end_if_settled(6 * SECOND_US)
    assert len(freshness.quorum.lists) == 2, "b went back meanwhile: the bound counts from its return"
    transition.end_if_settled(6 * SECOND_US + 1)
    assert len(freshness.quorum.lists) == 1
