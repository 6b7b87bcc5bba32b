"""Pending changes of cordons at a member of the control group: progress, removal and the limit."""

from robinhill.control.actions import LaggingObservers, Progressed
from robinhill.net.cordons import pending_changes
from robinhill.net.cordons.pending_changes import PendingChange, PendingChanges


def track_change(number: int, dot: str = "", numbers: int = 1) -> tuple[PendingChanges, PendingChange]:
    changes = PendingChanges()
    change = PendingChange("c1", ("worker/w0",), False, 0, (dot,) if dot else ())
    for each in range(numbers):
        changes.track(change, number + each)
    return changes, change


def progress_report(
    number: int, accepted: bool, in_force: bool, lagging_count: int = 0, *names: str
) -> Progressed:
    return Progressed(number, accepted, in_force, LaggingObservers(lagging_count, names))


def test_change_of_several_targets_has_the_state_of_its_slowest_record() -> None:
    changes, change = track_change(4, "s1/1/1", numbers=2)
    assert change.state == pending_changes.STORED
    changes.record_progress(progress_report(4, True, True))
    assert (change.accepted, change.in_force, change.state) == (False, False, pending_changes.STORED)
    changes.record_progress(progress_report(5, True, False, 2, "s3", "s2"))
    assert (change.state, change.lagging_count, change.lagging_names) == (
        pending_changes.ACCEPTED,
        2,
        ("s2", "s3"),
    )
    assert changes.pending_count() == 1
    changes.record_progress(progress_report(5, True, True))
    assert change.state == pending_changes.IN_FORCE and changes.pending_count() == 0
    assert changes.record_progress(progress_report(5, True, True)) is None


def test_change_is_removed_once_in_force_and_its_reason_has_ended() -> None:
    changes, change = track_change(1, "s1/1/1")
    changes.forget_ended(set())
    assert changes.find_by_dot("s1/1/1") is change, "the change is pending"
    changes.record_progress(progress_report(1, True, True))
    changes.forget_ended({"s1/1/1"})
    assert changes.find_by_dot("s1/1/1") is change, "the reason is active"
    changes.forget_ended(set())
    assert changes.find_by_dot("s1/1/1") is None


def test_oldest_records_without_waiting_caller_are_abandoned_above_the_limit() -> None:
    changes = PendingChanges()
    for number in range(pending_changes.MAX_PENDING_RECORDS + 3):
        change = PendingChange(f"c{number}", ("worker/w0",), False, 0)
        change.waiters = int(number == 0)
        changes.track(change, number)
    assert changes.abandon_excess() == [1, 2, 3]
    assert changes.abandon_excess() == []
    assert changes.pending_count() == pending_changes.MAX_PENDING_RECORDS
