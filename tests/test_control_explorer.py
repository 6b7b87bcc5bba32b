"""Model checking of observers' leases: the explorer's two rules hold in every order of events in a budget."""

import pytest

from benchmarks.control_explorer import PLANS, VARIANTS, search


@pytest.mark.parametrize("plan", PLANS)
def test_rules_hold_in_every_order(plan: str) -> None:
    result = search(PLANS[plan])
    assert result.violation is None, "\n".join(result.violation.path())
    assert result.accepted > 1_000


@pytest.mark.parametrize("variant", VARIANTS)
def test_explorer_finds_the_fault_of_each_variant(variant: str) -> None:
    budget, rules = VARIANTS[variant]
    assert search(budget, rules()).violation is not None
