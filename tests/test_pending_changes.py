"""Changes of cordons at a member of the control group: how far they are, and when they are forgotten."""

from robinhill.control.actions import LaggingObservers, Progressed
from robinhill.net.cordons import pending_changes
from robinhill.net.cordons.pending_changes import PendingChange, PendingChanges


def tracked(number: int, dot: str = "", numbers: int = 1) -> tuple[PendingChanges, PendingChange]:
    found = PendingChanges()
    change = PendingChange("c1", ("worker/w0",), False, 0, (dot,) if dot else ())
    for each in range(numbers):
        found.track(change, number + each)
    return found, change


def report(number: int, accepted: bool, in_force: bool, behind: int = 0, *names: str) -> Progressed:
    return Progressed(number, accepted, in_force, LaggingObservers(behind, names))


def test_a_change_of_several_targets_has_come_as_far_as_its_last_record() -> None:
    found, change = tracked(4, "s1/1/1", numbers=2)
    assert change.state == pending_changes.STORED
    found.record_progress(report(4, True, True))
    assert (change.accepted, change.in_force, change.state) == (False, False, pending_changes.STORED)
    found.record_progress(report(5, True, False, 2, "s3", "s2"))
    assert (change.state, change.lagging_count, change.lagging_names) == (
        pending_changes.ACCEPTED,
        2,
        ("s2", "s3"),
    )
    assert found.pending_count() == 1
    found.record_progress(report(5, True, True))
    assert change.state == pending_changes.IN_FORCE and found.pending_count() == 0
    assert found.record_progress(report(5, True, True)) is None


def test_changes_are_forgotten_once_in_force_and_their_reason_has_ended() -> None:
    found, change = tracked(1, "s1/1/1")
    found.forget_ended(set())
    assert found.find_by_dot("s1/1/1") is change, "it is pending"
    found.record_progress(report(1, True, True))
    found.forget_ended({"s1/1/1"})
    assert found.find_by_dot("s1/1/1") is change, "its reason is active"
    found.forget_ended(set())
    assert found.find_by_dot("s1/1/1") is None


def test_above_the_limit_the_oldest_that_no_caller_waits_for_is_abandoned() -> None:
    found = PendingChanges()
    for number in range(pending_changes.MAX_PENDING_RECORDS + 3):
        change = PendingChange(f"c{number}", ("worker/w0",), False, 0)
        change.waiters = int(number == 0)
        found.track(change, number)
    assert found.abandon_excess() == [1, 2, 3]
    assert found.abandon_excess() == []
    assert found.pending_count() == pending_changes.MAX_PENDING_RECORDS
