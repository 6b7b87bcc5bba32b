"""Both rules of observers' leases, in every order of events within small budgets."""

import pytest

from benchmarks.control_explorer import PLANS, VARIANTS, search


@pytest.mark.parametrize("plan", PLANS)
def test_rules_hold(plan: str) -> None:
    found = search(PLANS[plan])
    assert found.broken is None, "\n".join(found.broken.path())
    assert found.accepted > 1_000


@pytest.mark.parametrize("variant", VARIANTS)
def test_each_planted_fault_is_found(variant: str) -> None:
    budget, rules = VARIANTS[variant]
    assert search(budget, rules()).broken is not None
