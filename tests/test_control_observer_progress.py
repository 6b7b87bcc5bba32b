"""The observers that a voter waits for until a change is in force."""

from robinhill.control.observer_progress import MAX_DEPARTED, UNKNOWN_OBSERVERS, BarrierId, ObserverProgress
from robinhill.cordon.propagation import with_slack

BOUND_US = 1_000_000

# By this time the leases of the observers of the earlier incarnation have expired.
LEASES_EXPIRED_US = with_slack(BOUND_US)


def synchronized_observers(*names: str) -> ObserverProgress:
    progress = ObserverProgress(0, BOUND_US)
    for link, name in enumerate(names):
        progress.joined(LEASES_EXPIRED_US, name, 1, 1, link)
        progress.applied(LEASES_EXPIRED_US, name, 5, 5)
    return progress


def track_position(progress: ObserverProgress, hold: bool = True) -> set[str]:
    """Track a position that no observer has applied, and return its waiting set."""
    return progress.track(LEASES_EXPIRED_US, BarrierId("v", 1), 6, urgent=False, hold=hold).waiting


def test_observer_is_waited_for_until_it_confirms_or_is_removed() -> None:
    progress = synchronized_observers("a", "b")
    waiting = track_position(progress)
    assert waiting == {"a", "b"}
    progress.applied(LEASES_EXPIRED_US, "a", 6, 6)
    progress.applied(LEASES_EXPIRED_US, "b", 5, 9)
    assert waiting == {"b"}
    progress.remove("b")
    assert not waiting


def test_urgent_position_ends_the_wait_for_urgent_changes() -> None:
    progress = synchronized_observers("a")
    waiting = progress.track(LEASES_EXPIRED_US, BarrierId("v", 1), 6, urgent=True, hold=True).waiting
    progress.applied(LEASES_EXPIRED_US, "a", 5, 6)
    assert not waiting


def test_disconnected_observer_is_waited_for_until_its_lease_expires() -> None:
    progress = synchronized_observers("a")
    waiting = track_position(progress)
    progress.link_lost("a", 0)
    progress.expire_waits(LEASES_EXPIRED_US + with_slack(BOUND_US) - 1)
    assert waiting == {"a"}
    progress.expire_waits(LEASES_EXPIRED_US + with_slack(BOUND_US))
    assert not waiting


def test_under_serve_the_wait_outlasts_the_lease_until_removal_restart_or_migration() -> None:
    progress = synchronized_observers("a", "b", "c")
    waiting = track_position(progress, hold=False)
    for link, name in enumerate("abc"):
        progress.link_lost(name, link)
    progress.expire_waits(100 * BOUND_US)
    assert waiting == {"a", "b", "c"}
    progress.remove("a")
    progress.joined(LEASES_EXPIRED_US, "b", 2, 1, 9)
    assert waiting == {"c"}
    progress.migrated_away("c", 1, 2)
    assert not waiting


def test_migration_by_an_earlier_join_is_ignored() -> None:
    progress = synchronized_observers("a")
    progress.joined(LEASES_EXPIRED_US, "a", 1, 3, 7)
    waiting = track_position(progress)
    assert not progress.migrated_away("a", 1, 2) and waiting == {"a"}
    assert progress.migrated_away("a", 1, 4) and not waiting


def test_join_of_an_earlier_incarnation_is_rejected() -> None:
    progress = synchronized_observers()
    progress.joined(LEASES_EXPIRED_US, "a", 2, 1, 1)
    assert progress.joined(LEASES_EXPIRED_US, "a", 1, 5, 2) is None


def test_restarted_voter_waits_for_its_unknown_observers_until_their_leases_expire() -> None:
    progress = ObserverProgress(0, BOUND_US)
    waiting = progress.track(1, BarrierId("v", 1), 6, urgent=False, hold=False).waiting
    assert waiting == {UNKNOWN_OBSERVERS}
    progress.expire_waits(LEASES_EXPIRED_US)
    assert not waiting


def test_number_of_departed_observers_is_limited() -> None:
    progress = ObserverProgress(0, BOUND_US)
    for i in range(MAX_DEPARTED + 10):
        progress.joined(0, f"s{i}", 1, 1, i)
        progress.link_lost(f"s{i}", i)
    assert len(progress.observers) == MAX_DEPARTED
    progress.remove_expired(with_slack(BOUND_US))
    assert not progress.observers
