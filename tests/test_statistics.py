"""Decaying means and low quantiles."""

import pytest

from robinhill.placement.records import ZoneWait
from robinhill.placement.statistics import DecayingMean, follow_low_quantile


def test_a_mean_decays_over_its_window_and_follows_its_prior_while_it_has_few_samples() -> None:
    mean = DecayingMean()
    assert mean.with_prior(7.0) == 7.0
    mean.add(0, 4.0, 1000)
    assert mean.value == 4.0 and mean.with_prior(7.0) == pytest.approx(6.0)
    for at in range(10):
        mean.add(at, 4.0, 1000)
    assert 4.0 < mean.with_prior(7.0) < 4.6
    mean.add(50_000, 10.0, 1000)  # long after: what was before counts for nothing
    assert mean.value == pytest.approx(10.0) and mean.count == pytest.approx(1.0)
    assert ZoneWait().cost_factor == ZoneWait().new_connection_factor == 1.0


def test_a_low_quantile_falls_quickly_and_rises_slowly() -> None:
    assert follow_low_quantile(1.0, 0.0) == pytest.approx(0.7) and follow_low_quantile(
        1.0, 2.0
    ) == pytest.approx(1.05)
    assert follow_low_quantile(1.0, 100.0) == pytest.approx(1.05), "one huge sample counts as one"
