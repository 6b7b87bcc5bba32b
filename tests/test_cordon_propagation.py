"""The propagation of a change: its stages, unconfirmed schedulers, capacity, and the tracker of peers."""

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
from tests.cordons import SECOND_US, confirm, new_propagation, schedulers


def test_change_is_accepted_by_a_majority_and_in_force_once_all_schedulers_confirmed() -> None:
    propagation = new_propagation()
    confirm(propagation, 2, "s0", "s1", "stranger")
    assert propagation.advance(2) is PropagationStage.STORED
    error = propagation.failure(3, ["s2", "s3", "s4"])
    assert isinstance(error, NotAccepted) and "s2, s3, s4" in str(error)
    propagation.mark_accepted(4)
    assert propagation.advance(4) is PropagationStage.ACCEPTED
    confirm(propagation, 5, "s2", "s3")
    error = propagation.failure(6)
    assert isinstance(error, BoundNotMet) and "s4 (alive, its lease may not have expired)" in str(error)
    confirm(propagation, 7, "s4")
    assert propagation.advance(7) is PropagationStage.IN_FORCE
    assert propagation.failure(8) is None and not propagation.unconfirmed(8)
    early = new_propagation()
    confirm(early, 2, "s0", "s1", "s2", "s3", "s4")
    assert early.advance(3) is PropagationStage.STORED, "a majority may still be catching up"
    early.mark_accepted(4)
    assert early.advance(4) is PropagationStage.IN_FORCE


def test_hold_mode_change_is_in_force_once_the_lease_of_a_partitioned_scheduler_expired() -> None:
    propagation = new_propagation()
    confirm(propagation, 9, "s0", "s1", "s2")
    propagation.mark_accepted(10)
    propagation.mark_accepted(99)
    propagation.update_scheduler(11, Scheduler("s3", 1, ProcessStatus.GONE, Mode.HOLD, 2 * SECOND_US))
    end = 10 + with_slack(3 * SECOND_US)
    assert end > 3 * SECOND_US + 10 and propagation.next_deadline_us() == end
    assert [u.name for u in propagation.unconfirmed(end - 1)] == ["s4"], "the lease of s3 was shorter"
    assert propagation.advance(end - 1) is PropagationStage.ACCEPTED
    assert propagation.advance(end) is PropagationStage.IN_FORCE
    mixed = new_propagation()
    mixed.update_scheduler(1, Scheduler("s4", 1, ProcessStatus.GONE, Mode.SERVE, 3 * SECOND_US))
    mixed.update_scheduler(1, Scheduler("s3"))
    mixed.update_scheduler(1, Scheduler("s3", 1, ProcessStatus.SUSPECT))
    confirm(mixed, 9, "s0", "s1", "s2")
    mixed.mark_accepted(10)
    assert mixed.advance(end) is PropagationStage.ACCEPTED, "s3 and s4 are not known to have a lease"
    assert mixed.next_deadline_us() is None
    assert [u.name for u in mixed.unconfirmed(end)] == ["s3", "s4"]


def test_serve_mode_partitioned_scheduler_stays_unconfirmed() -> None:
    propagation = new_propagation(Mode.SERVE)
    assert propagation.advance(1) is PropagationStage.ACCEPTED, "accepted as soon as it is stored"
    mixed = Propagation("m1", "s0", Mode.SERVE, [*schedulers(Mode.SERVE, 2), *schedulers()[2:]])
    mixed.mark_stored(1)
    confirm(mixed, 2, "s0", "s1")
    assert mixed.advance(60 * SECOND_US) is PropagationStage.ACCEPTED, (
        "a lease counts as expired only after a majority holds the change"
    )
    confirm(propagation, 2, "s0", "s1", "s2", "s3")
    propagation.mark_accepted(2)
    propagation.update_scheduler(3, Scheduler("s4", 1, ProcessStatus.GONE, Mode.SERVE))
    assert [(u.name, u.why) for u in propagation.unconfirmed(3600 * SECOND_US)] == [("s4", "gone")]
    propagation.remove_scheduler(3601 * SECOND_US, "s4")
    assert propagation.advance(3601 * SECOND_US) is PropagationStage.IN_FORCE


def test_restarted_scheduler_must_confirm_again() -> None:
    propagation = new_propagation(Mode.SERVE)
    confirm(propagation, 2, "s1")
    propagation.update_scheduler(3, Scheduler("s1", 1, ProcessStatus.GONE, Mode.SERVE))
    confirm(propagation, 4, "s0", "s2", "s3")
    assert [u.name for u in propagation.unconfirmed(4)] == ["s4"]
    propagation.update_scheduler(5, Scheduler("s1", 2, ProcessStatus.ALIVE, Mode.SERVE))
    propagation.update_scheduler(
        5, Scheduler("s1", 1, ProcessStatus.LEFT, Mode.SERVE)
    )  # a late record of the previous process
    confirm(propagation, 5, "s1")
    assert [u.why for u in propagation.unconfirmed(5)] == ["alive, restarted after it confirmed", "alive"]
    confirm(propagation, 6, "s1", incarnation=2)
    confirm(propagation, 6, "s1")
    propagation.update_scheduler(7, Scheduler("s4", 1, ProcessStatus.LEFT, Mode.SERVE))
    assert propagation.stage is PropagationStage.IN_FORCE


def test_lift_needs_the_confirmation_of_all_schedulers_despite_expired_leases() -> None:
    propagation = new_propagation(is_lift=True)
    propagation.mark_accepted(1)
    confirm(propagation, 2, "s0", "s1", "s2", "s3")
    propagation.update_scheduler(2, Scheduler("s5", 1, ProcessStatus.ALIVE))
    assert [u.name for u in propagation.unconfirmed(99 * SECOND_US)] == ["s4", "s5"]


def test_propagations_evict_entries_at_capacity_and_end_each_wait_once() -> None:
    propagations = Propagations(capacity=2)
    propagations.add("a", new_propagation(deadline_us=5 * SECOND_US))
    propagations.add("b", new_propagation(deadline_us=9 * SECOND_US))
    with pytest.raises(TooManyCalls):
        propagations.add("c", new_propagation())
    assert propagations.next_deadline_us() == 5 * SECOND_US and propagations.end_waits(4 * SECOND_US) == ()
    assert propagations.end_waits(5 * SECOND_US) == ("a",) and propagations.end_waits(6 * SECOND_US) == ()
    for propagation in propagations.pending():
        confirm(propagation, 7 * SECOND_US, "s0", "s1", "s2", "s3", "s4")
        propagation.mark_accepted(7 * SECOND_US)
    assert propagations.end_waits(7 * SECOND_US) == ("b",) and propagations.next_deadline_us() is None
    propagations.add("c", new_propagation())
    assert propagations.get("a") is None and propagations.get("b") is not None
    propagations.add("d", new_propagation())
    propagations.add("e", new_propagation())
    assert propagations.get("c") is None, "no caller waits for it"


def test_peer_that_left_does_not_lag_and_unreachable_peer_does() -> None:
    names = ("a", "b", "c")
    tracker = PropagationTracker("a", Mode.SERVE, SECOND_US, Quorum("a", names))
    tracker.reconfigure(0, names)
    acknowledgement = Acknowledgement(
        acknowledgements.VERSION, 7, 1, "serve", SECOND_US, True, True, False, b"", b"older", (), ()
    )
    for name in ("b", "c"):
        tracker.record_start(0, name, 7)
        tracker.record_acknowledgement(0, name, acknowledgement)
    assert tracker.lagging_peers("worker/w1") == ("b", "c")
    tracker.record_acknowledgement(1, "b", msgspec.structs.replace(acknowledgement, sequence=2, left=True))
    tracker.record_link(2, "c", False)
    assert tracker.lagging_peers("worker/w1") == ("c",)


def test_reserve_raises_while_callers_wait_and_evicts_afterwards() -> None:
    propagations = Propagations(capacity=1)
    propagations.add("1", Propagation("c1", "a", Mode.SERVE, [Scheduler("a")], deadline_us=5))
    with pytest.raises(TooManyCalls):
        propagations.reserve()
    assert propagations.end_waits(5) == ("1",)  # no caller waits for it any more
    propagations.reserve()
    assert not propagations.pending()
