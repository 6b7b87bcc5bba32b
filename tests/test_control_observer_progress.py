"""Which observers a voter waits for until a change is in force."""

from robinhill.control.observer_progress import MAX_DEPARTED, UNKNOWN_OBSERVERS, BarrierId, ObserverProgress
from robinhill.cordon.propagation import with_slack

BOUND = 1_000_000
LATER = with_slack(BOUND)  # after the start observers of an earlier one are waited for no more


def observer_progress(*names: str) -> ObserverProgress:
    found = ObserverProgress(0, BOUND)
    for link, name in enumerate(names):
        found.joined(LATER, name, 1, 1, link)
        found.applied(LATER, name, 5, 5)
    return found


def waiting(found: ObserverProgress, hold: bool = True) -> set[str]:
    return found.track(LATER, BarrierId("v", 1), 6, urgent=False, hold=hold).waiting


def test_observers_are_waited_for_until_they_confirm() -> None:
    found = observer_progress("a", "b")
    left = waiting(found)
    assert left == {"a", "b"}
    found.applied(LATER, "a", 6, 6)
    found.applied(LATER, "b", 5, 9)
    assert left == {"b"}
    found.remove("b")
    assert not left


def test_urgent_changes_have_a_position_of_their_own() -> None:
    found = observer_progress("a")
    left = found.track(LATER, BarrierId("v", 1), 6, urgent=True, hold=True).waiting
    found.applied(LATER, "a", 5, 6)
    assert not left


def test_a_disconnected_observer_is_waited_for_until_its_lease_expires() -> None:
    found = observer_progress("a")
    left = waiting(found)
    found.link_lost("a", 0)
    found.expire_waits(LATER + with_slack(BOUND) - 1)
    assert left == {"a"}
    found.expire_waits(LATER + with_slack(BOUND))
    assert not left


def test_under_serve_only_a_message_ends_the_wait() -> None:
    found = observer_progress("a", "b", "c")
    left = waiting(found, hold=False)
    for link, name in enumerate("abc"):
        found.link_lost(name, link)
    found.expire_waits(100 * BOUND)
    assert left == {"a", "b", "c"}
    found.remove("a")
    found.joined(LATER, "b", 2, 1, 9)
    assert left == {"c"}
    found.migrated_away("c", 1, 2)
    assert not left


def test_an_earlier_join_elsewhere_is_ignored() -> None:
    found = observer_progress("a")
    found.joined(LATER, "a", 1, 3, 7)
    left = waiting(found)
    assert not found.migrated_away("a", 1, 2) and left == {"a"}
    assert found.migrated_away("a", 1, 4) and not left


def test_an_earlier_incarnation_may_not_join() -> None:
    found = observer_progress()
    found.joined(LATER, "a", 2, 1, 1)
    assert found.joined(LATER, "a", 1, 5, 2) is None


def test_observers_of_an_earlier_incarnation_are_waited_for() -> None:
    found = ObserverProgress(0, BOUND)
    left = found.track(1, BarrierId("v", 1), 6, urgent=False, hold=False).waiting
    assert left == {UNKNOWN_OBSERVERS}
    found.expire_waits(LATER)
    assert not left


def test_departed_observers_are_bounded() -> None:
    found = ObserverProgress(0, BOUND)
    for i in range(MAX_DEPARTED + 10):
        found.joined(0, f"s{i}", 1, 1, i)
        found.link_lost(f"s{i}", i)
    assert len(found.observers) == MAX_DEPARTED
    found.remove_expired(with_slack(BOUND))
    assert not found.observers
