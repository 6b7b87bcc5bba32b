"""The index of cordons: cordoned workers, warnings to operators, and the budget of automatic cordons."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinhill.cordon.budget import Budget, Location
from robinhill.cordon.errors import (
    CordonBudgetSpent,
)
from robinhill.cordon.index import CordonIndex, IndexUpdate, WorkersCordoned, WorkersUncordoned
from robinhill.cordon.value import (
    Dot,
    merge,
    set_cordon,
)
from tests.cordons import DETERMINISTIC, FLEET, NOW, SECOND_US, automatic_reason, cordons_of, operator_reason


def test_index_update_reports_cordoned_workers_and_slow_start_after_a_cordon_ends() -> None:
    index = CordonIndex()
    zone = cordons_of("zone/z0", operator_reason("power"))
    change = index.update(
        NOW, [zone, cordons_of("worker/w00", operator_reason("disk"), automatic_reason("w00"))], FLEET
    )
    in_z0 = tuple(w for w in FLEET if FLEET[w].zone == "z0")
    assert change == IndexUpdate((WorkersCordoned(in_z0),), NOW + 60 * SECOND_US)
    assert {r.id for r in index.reasons("w00")} == {"power", "disk", "auto-slow-w00"}
    assert not index.reasons("w01")
    later = NOW + 60 * SECOND_US  # when the automatic cordon ends
    change = index.update(
        later, [cordons_of("worker/w00", operator_reason("disk"), automatic_reason("w00"))], FLEET
    )
    assert change == IndexUpdate((WorkersUncordoned(in_z0[1:], later),), 0)
    assert [r.id for r in index.reasons("w00")] == ["disk"]
    assert index.started_us("w03", NOW) == later and index.started_us("w01", NOW) == NOW
    assert index.started_us("w03", later + SECOND_US) == later + SECOND_US, (
        "the worker restarted after its cordon ended"
    )
    rest = {w: p for w, p in FLEET.items() if w != "w00"}
    assert index.update(later, [], rest).events == (), "an unlisted worker is not uncordoned"


def test_cordon_applies_to_workers_that_are_listed_later() -> None:
    index, items = (
        CordonIndex(),
        [cordons_of("worker/new", operator_reason()), cordons_of("cell/9", operator_reason("c"))],
    )
    assert index.update(NOW, items, FLEET).events == ()
    with_new_workers = {**FLEET, "new": Location("z0"), "other": Location("z0", cell=9)}
    assert index.update(NOW, items, with_new_workers).events == (WorkersCordoned(("new", "other")),)


def test_warnings_name_zones_and_kinds_without_available_workers() -> None:
    index = CordonIndex()
    index.update(NOW, [cordons_of("zone/z0", operator_reason())], FLEET)
    assert index.warnings("worker/w01") == ()
    (typo,) = index.warnings("zone/zo")
    assert "no listed worker" in typo and "z0, z1, z2" in typo
    zone, kind = index.warnings("kind/small")
    assert "zone 'z0'" in zone and "kind 'small'" in kind
    index.update(
        NOW, [cordons_of("zone/z0", operator_reason()), cordons_of("zone/z1", operator_reason())], FLEET
    )
    assert index.warnings("zone/z2") == ("no worker is left: no new job can be placed",)
    two_workers = {"a": Location("z0"), "b": Location("z1")}
    index.update(NOW, [], two_workers)
    assert index.warnings("worker/a") == ("no worker is left in zone 'z0'",)


@DETERMINISTIC
@given(st.data())
def test_budget_is_never_exceeded_and_does_not_depend_on_the_order_of_proposals(data: st.DataObject) -> None:
    budget = Budget(fleet_share=0.1, zone_share=0.2)
    proposals = data.draw(
        st.lists(
            st.tuples(
                st.sampled_from(sorted(FLEET)), st.sampled_from(["silent", "slow"]), st.integers(0, 3),
                st.sampled_from("abc"),
            ),
            max_size=12,
        )
    )  # fmt: skip
    manual = [
        cordons_of(f"worker/{w}", operator_reason())
        for w in data.draw(st.sets(st.sampled_from(sorted(FLEET))))
    ]
    operator_cordoned = {target.partition("/")[2] for target, _ in manual}
    writes = [
        (f"worker/{w}", set_cordon(None, automatic_reason(w, cause, NOW - since), Dot(origin, 1, n), NOW))
        for n, (w, cause, since, origin) in enumerate(proposals, 1)
    ]
    outcomes = []
    for _ in range(2):
        index, items = CordonIndex(budget), dict(manual)
        for target, value in data.draw(st.permutations(writes)):
            items[target] = merge(items[target], value) if target in items else value
            index.update(NOW, items.items(), FLEET)
            automatic = index.cordoned_workers() - operator_cordoned
            free = [w for w in FLEET if w not in operator_cordoned]
            assert len(automatic) <= 0.1 * len(free)
            for zone in ("z0", "z1", "z2"):
                in_zone = [w for w in free if FLEET[w].zone == zone]
                assert len(automatic & set(in_zone)) <= 0.2 * len(in_zone)
        outcomes.append({w: index.reasons(w) for w in FLEET})
    assert outcomes[0] == outcomes[1]


def test_budget_admits_the_most_severe_and_oldest_proposals() -> None:
    index = CordonIndex(Budget(0.1, 0.2))
    slow = [
        cordons_of(f"worker/{w}", automatic_reason(w, "slow", NOW + n))
        for n, w in enumerate(["w05", "w04", "w03", "w02"])
    ]
    index.update(NOW, slow, FLEET)
    assert index.cordoned_workers() == {"w05", "w04", "w03"}
    with pytest.raises(CordonBudgetSpent, match="worker/w02"):
        index.check_budget()
    silent = cordons_of("worker/w01", automatic_reason("w01", "silent", NOW + 9))
    index.update(NOW, [*slow, silent, cordons_of("zone/z9", automatic_reason("z9"))], FLEET)
    assert index.cordoned_workers() == {"w01", "w05", "w04"}
    index.update(NOW, [*slow, cordons_of("zone/z0", automatic_reason("z0", "silent"))], FLEET)
    assert index.cordoned_workers() == {"w05", "w04", "w03"}, "a zone exceeds the budget and is skipped"
