"""The propagation of a change: its stages, who has not confirmed, and the tracker of peers."""

import msgspec
import pytest

from robinhill.cordon.errors import (
    BoundNotMet,
    NotAccepted,
    TooManyCalls,
)
from robinhill.cordon.propagation import (
    Mode,
    ProcessStatus,
    Propagation,
    Propagations,
    PropagationStage,
    Scheduler,
    with_slack,
)
from robinhill.cordon.propagation_tracker import PropagationTracker
from robinhill.mesh import acknowledgements
from robinhill.mesh.acknowledgements import Acknowledgement
from robinhill.mesh.quorum import Quorum
from tests.cordons import S, confirm, new_propagation, schedulers


def test_a_call_is_accepted_by_a_majority_and_in_force_once_all_confirmed() -> None:
    call = new_propagation()
    confirm(call, 2, "s0", "s1", "stranger")
    assert call.advance(2) is PropagationStage.STORED
    error = call.failure(3, ["s2", "s3", "s4"])
    assert isinstance(error, NotAccepted) and "s2, s3, s4" in str(error)
    call.mark_accepted(4)
    assert call.advance(4) is PropagationStage.ACCEPTED
    confirm(call, 5, "s2", "s3")
    error = call.failure(6)
    assert isinstance(error, BoundNotMet) and "s4 (alive, its lease may not have expired)" in str(error)
    confirm(call, 7, "s4")
    assert call.advance(7) is PropagationStage.IN_FORCE
    assert call.failure(8) is None and not call.unconfirmed(8)
    early = new_propagation()
    confirm(early, 2, "s0", "s1", "s2", "s3", "s4")
    assert early.advance(3) is PropagationStage.STORED, "a majority may still be catching up"
    early.mark_accepted(4)
    assert early.advance(4) is PropagationStage.IN_FORCE


def test_under_hold_the_lease_of_a_scheduler_that_is_cut_off_expires() -> None:
    call = new_propagation()
    confirm(call, 9, "s0", "s1", "s2")
    call.mark_accepted(10)
    call.mark_accepted(99)
    call.update_scheduler(11, Scheduler("s3", 1, ProcessStatus.GONE, Mode.HOLD, 2 * S))
    end = 10 + with_slack(3 * S)
    assert end > 3 * S + 10 and call.next_deadline_us() == end
    assert [u.name for u in call.unconfirmed(end - 1)] == ["s4"], "the lease of s3 was shorter"
    assert call.advance(end - 1) is PropagationStage.ACCEPTED
    assert call.advance(end) is PropagationStage.IN_FORCE
    mixed = new_propagation()
    mixed.update_scheduler(1, Scheduler("s4", 1, ProcessStatus.GONE, Mode.SERVE, 3 * S))
    mixed.update_scheduler(1, Scheduler("s3"))
    mixed.update_scheduler(1, Scheduler("s3", 1, ProcessStatus.SUSPECT))
    confirm(mixed, 9, "s0", "s1", "s2")
    mixed.mark_accepted(10)
    assert mixed.advance(end) is PropagationStage.ACCEPTED, "these have no lease"
    assert mixed.next_deadline_us() is None
    assert [u.name for u in mixed.unconfirmed(end)] == ["s3", "s4"]


def test_under_serve_a_scheduler_that_is_cut_off_stays_unconfirmed() -> None:
    call = new_propagation(Mode.SERVE)
    assert call.advance(1) is PropagationStage.ACCEPTED, "as soon as it is stored"
    mixed = Propagation("m1", "s0", Mode.SERVE, [*schedulers(Mode.SERVE, 2), *schedulers()[2:]])
    mixed.mark_stored(1)
    confirm(mixed, 2, "s0", "s1")
    assert mixed.advance(60 * S) is PropagationStage.ACCEPTED, "no lease is over before a majority holds it"
    confirm(call, 2, "s0", "s1", "s2", "s3")
    call.mark_accepted(2)
    call.update_scheduler(3, Scheduler("s4", 1, ProcessStatus.GONE, Mode.SERVE))
    assert [(u.name, u.why) for u in call.unconfirmed(3600 * S)] == [("s4", "gone")]
    call.remove_scheduler(3601 * S, "s4")
    assert call.advance(3601 * S) is PropagationStage.IN_FORCE


def test_a_scheduler_that_restarted_has_to_confirm_again() -> None:
    call = new_propagation(Mode.SERVE)
    confirm(call, 2, "s1")
    call.update_scheduler(3, Scheduler("s1", 1, ProcessStatus.GONE, Mode.SERVE))
    confirm(call, 4, "s0", "s2", "s3")
    assert [u.name for u in call.unconfirmed(4)] == ["s4"]
    call.update_scheduler(5, Scheduler("s1", 2, ProcessStatus.ALIVE, Mode.SERVE))
    call.update_scheduler(
        5, Scheduler("s1", 1, ProcessStatus.LEFT, Mode.SERVE)
    )  # late, of the former process
    confirm(call, 5, "s1")
    assert [u.why for u in call.unconfirmed(5)] == ["alive, restarted after it confirmed", "alive"]
    confirm(call, 6, "s1", incarnation=2)
    confirm(call, 6, "s1")
    call.update_scheduler(7, Scheduler("s4", 1, ProcessStatus.LEFT, Mode.SERVE))
    assert call.stage is PropagationStage.IN_FORCE


def test_a_lift_waits_for_all_schedulers_whatever_their_leases() -> None:
    call = new_propagation(is_lift=True)
    call.mark_accepted(1)
    confirm(call, 2, "s0", "s1", "s2", "s3")
    call.update_scheduler(2, Scheduler("s5", 1, ProcessStatus.ALIVE))
    assert [u.name for u in call.unconfirmed(99 * S)] == ["s4", "s5"]


def test_propagations_are_bounded_and_waits_end_once() -> None:
    calls = Propagations(capacity=2)
    calls.add("a", new_propagation(deadline_us=5 * S))
    calls.add("b", new_propagation(deadline_us=9 * S))
    with pytest.raises(TooManyCalls):
        calls.add("c", new_propagation())
    assert calls.next_deadline_us() == 5 * S and calls.end_waits(4 * S) == ()
    assert calls.end_waits(5 * S) == ("a",) and calls.end_waits(6 * S) == ()
    for call in calls.pending():
        confirm(call, 7 * S, "s0", "s1", "s2", "s3", "s4")
        call.mark_accepted(7 * S)
    assert calls.end_waits(7 * S) == ("b",) and calls.next_deadline_us() is None
    calls.add("c", new_propagation())
    assert calls.get("a") is None and calls.get("b") is not None
    calls.add("d", new_propagation())
    calls.add("e", new_propagation())
    assert calls.get("c") is None, "nobody waits for it"


def test_a_peer_that_left_does_not_lag_and_a_silent_one_does() -> None:
    names = ("a", "b", "c")
    tracker = PropagationTracker("a", Mode.SERVE, S, Quorum("a", names))
    tracker.reconfigure(0, names)
    word = Acknowledgement(
        acknowledgements.VERSION, 7, 1, "serve", S, True, True, False, b"", b"older", (), ()
    )
    for name in ("b", "c"):
        tracker.record_start(0, name, 7)
        tracker.record_acknowledgement(0, name, word)
    assert tracker.lagging_peers("worker/w1") == ("b", "c")
    tracker.record_acknowledgement(1, "b", msgspec.structs.replace(word, sequence=2, left=True))
    tracker.record_link(2, "c", False)
    assert tracker.lagging_peers("worker/w1") == ("c",)


def test_capacity_is_reserved_before_anything_is_written() -> None:
    propagations = Propagations(capacity=1)
    propagations.add("1", Propagation("c1", "a", Mode.SERVE, [Scheduler("a")], deadline_us=5))
    with pytest.raises(TooManyCalls):
        propagations.reserve()
    assert propagations.end_waits(5) == ("1",)  # nobody waits for it any more
    propagations.reserve()
    assert not propagations.pending()
