"""Decaying means and low quantiles."""

import pytest

from robinhill.placement.records import ZoneWait
from robinhill.placement.statistics import DecayingMean, follow_low_quantile


def test_decaying_mean_forgets_old_samples_and_is_near_its_prior_with_few_samples() -> None:
    mean = DecayingMean()
    assert mean.with_prior(7.0) == 7.0
    mean.add(0, 4.0, 1000)
    assert mean.value == 4.0 and mean.with_prior(7.0) == pytest.approx(6.0)
    for at in range(10):
        mean.add(at, 4.0, 1000)
    assert 4.0 < mean.with_prior(7.0) < 4.6
    mean.add(50_000, 10.0, 1000)  # so much later that earlier samples have no weight left
    assert mean.value == pytest.approx(10.0) and mean.count == pytest.approx(1.0)
    assert ZoneWait().cost_factor == ZoneWait().new_connection_factor == 1.0


def test_low_quantile_falls_fast_and_rises_slowly() -> None:
    assert follow_low_quantile(1.0, 0.0) == pytest.approx(0.7) and follow_low_quantile(
        1.0, 2.0
    ) == pytest.approx(1.05)
    assert follow_low_quantile(1.0, 100.0) == pytest.approx(1.05), "the step of one huge sample is limited"
