"""Parts of a scheduler's cordon actor: notifications to the dispatcher, catch-up, peer list transition."""

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


def make_fleet(catch_up_ms: int = 5_000) -> Fleet:
    peers = {name: f"127.0.0.1:{4000 + number}" for number, name in enumerate(NAMES)}
    options = {"installation": "test", "peers": peers, "catch_up_ms": catch_up_ms, "bound_ms": 3_000}
    return Fleet("a", NAMES, msgspec.convert(options, MeshOptions))


def make_tracker(freshness: Freshness) -> PropagationTracker:
    tracker = PropagationTracker("a", Mode.HOLD, 3 * SECOND_US, freshness.quorum)
    tracker.reconfigure(0, NAMES)
    return tracker


def make_acknowledgement(serving: bool = False, names: tuple[str, ...] = NAMES) -> Acknowledgement:
    digest = acknowledgements.list_digest(names)
    return Acknowledgement(
        acknowledgements.VERSION, 1, 1, "hold", 3 * SECOND_US, True, serving, False, digest, b"", (), ()
    )


def test_notifier_updates_digest_when_dispatcher_confirms_by_number() -> None:
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
    assert not notifier.confirm_applied(2), "the digest is unchanged"


def test_notifier_reports_lease_only_when_it_changes() -> None:
    sent: list[DispatcherMessage] = []
    notifier = DispatcherNotifier(sent.append, lambda _number: None, b"")
    notifier.notify_lease(True)
    assert sent == []
    notifier.notify_lease(False)
    notifier.notify_lease(False)
    assert sent == [SendLeaseChanged()] and not notifier.has_lease


def test_catch_up_completes_when_a_serving_peer_has_answered() -> None:
    peers = make_tracker(Freshness("a", NAMES, 3 * SECOND_US))
    catch_up = CatchUp(make_fleet(), peers, 0)
    peers.record_acknowledgement(0, "b", make_acknowledgement(serving=True))
    assert not catch_up.serve_if_ready(1 * SECOND_US), "b is known to serve but has not answered"
    catch_up.record_answer("c")
    assert not catch_up.serve_if_ready(1 * SECOND_US), "only c has answered, which does not serve"
    catch_up.record_answer("b")
    assert catch_up.serve_if_ready(2 * SECOND_US) and catch_up.serving
    assert catch_up.duration_us == 2 * SECOND_US
    assert not catch_up.serve_if_ready(3 * SECOND_US), "the scheduler already serves"


def test_catch_up_completes_when_all_peers_have_answered_or_after_the_timeout() -> None:
    peers = make_tracker(Freshness("a", NAMES, 3 * SECOND_US))
    catch_up = CatchUp(make_fleet(), peers, 0)
    for name in ("b", "c"):
        assert not catch_up.serve_if_ready(0)
        catch_up.record_answer(name)
    assert catch_up.serve_if_ready(0)
    late = CatchUp(make_fleet(catch_up_ms=5_000), peers, 0)
    late.start(SECOND_US)
    assert not late.serve_if_ready(6 * SECOND_US - 1)
    assert late.serve_if_ready(6 * SECOND_US)


def test_peer_list_transition_ends_after_all_peers_agreed_for_the_bound() -> None:
    """A peer that returns to an earlier list restarts the time for which all must agree."""
    freshness = Freshness("a", ("a", "b"), 3 * SECOND_US)
    freshness.reconfigure(NAMES)
    peers = make_tracker(freshness)
    transition = PeerListTransition(make_fleet(), freshness, peers)
    for name in ("b", "c"):
        transition.end_if_settled(0)
        peers.record_acknowledgement(0, name, make_acknowledgement())
    transition.end_if_settled(SECOND_US)
    peers.record_acknowledgement(2 * SECOND_US, "b", make_acknowledgement(names=("a", "b")))
    transition.end_if_settled(2 * SECOND_US)
    peers.record_acknowledgement(3 * SECOND_US, "b", make_acknowledgement())
    transition.end_if_settled(3 * SECOND_US)
    transition.end_if_settled(6 * SECOND_US)
    assert len(freshness.quorum.lists) == 2, "b used the earlier list meanwhile, so the bound counts from 3 s"
    transition.end_if_settled(6 * SECOND_US + 1)
    assert len(freshness.quorum.lists) == 1
