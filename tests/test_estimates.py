"""Estimates of job times and rates, the detection of clients' retries, and derived settings."""

import pytest

from robinhill import api
from robinhill.placement.derived_settings import DerivedSettings
from robinhill.placement.estimates import ClientRetries, Estimates, JobTimes
from robinhill.placement.records import WorkerRecord, ZoneWait
from robinhill.placement.statistics import smooth

from .conftest import MS, S, settings


def started_estimates() -> Estimates:
    estimates = Estimates(settings(), JobTimes(1), S)
    estimates.start(0)
    return estimates


def test_smooth_takes_the_first_sample_as_the_mean() -> None:
    assert smooth(0.0, 8.0) == 8.0 and smooth(8.0, 40.0) == 9.0


def test_expected_time_is_the_mean_scaled_by_the_hint_or_the_class_mean() -> None:
    times = JobTimes(2)
    assert times.expected_us(0, 5) == 0.0, "no job has completed"
    times.add(0, 100, 100.0)
    times.add_hint(50)
    assert times.expected_us(0, 0) == 100.0 and times.expected_us(0, 25) == 50.0
    assert times.expected_us(1, 0) == 100.0, "a class without samples uses the mean of all jobs"
    times.add(0, 10_000, 400.0)
    assert times.class_baseline_us[0] == pytest.approx(100 + 300 / 32 / 1024)


def test_time_of_a_huge_job_is_clipped_to_four_times_the_mean() -> None:
    estimates, worker = started_estimates(), WorkerRecord(api.Worker("w"), 0.0, ZoneWait(), S)
    request = api.Request(1, 0, S)
    estimates.add_completion(MS, worker, request, 100 * MS)
    estimates.add_completion(2 * MS, worker, request, 100 * S)
    assert worker.own_time.value == pytest.approx((100 + 4 * 100) / 2 * MS, rel=0.001)


def test_slow_start_share_grows_with_the_time_since_the_start() -> None:
    estimates = started_estimates()  # with the test settings, slow start takes 9 s and begins at 0.3
    worker = WorkerRecord(api.Worker("w"), 0.0, ZoneWait(), S, slow_start_until_us=9 * S)
    assert estimates.slow_start_share(0, worker) == pytest.approx(0.3)
    assert estimates.slow_start_share(9 * S, worker) == pytest.approx(1.0)


def test_rate_follows_the_window_and_is_never_zero() -> None:
    estimates = started_estimates()
    for second in range(1, 100):
        estimates.add_arrival(second * S)
    assert estimates.rate == pytest.approx(1.0, rel=0.1)
    estimates.add_arrival(10_000 * S)
    assert estimates.rate == pytest.approx(1 / 9)


def test_request_with_less_time_left_counts_as_a_retry_only_if_marked_or_expected() -> None:
    retries = ClientRetries(1, min_spent_us=10 * MS)
    assert retries.spent_us(api.Request(1, 0, S)) == 0
    assert retries.spent_us(api.Request(2, 0, S - 5 * MS)) == 5 * MS
    assert retries.spent_us(api.Request(3, 0, S - 300 * MS)) == 0, "a first request with a shorter deadline"
    retries.unretried_answers = 1
    assert retries.spent_us(api.Request(4, 0, S - 300 * MS)) == 300 * MS and retries.unretried_answers == 0
    assert retries.spent_us(api.Request(5, 0, S - 300 * MS, client_repeat=True)) == 300 * MS


def test_derived_settings_of_a_small_and_a_large_fleet() -> None:
    small = DerivedSettings.from_settings(
        settings(fleet_size=2, keepalive_us=S, handshake_price=0.1, progress_us=100), 50 * MS, 3.0
    )
    assert (small.tick_us, small.min_concurrency_limit, small.progress_timeout_us) == (26 * MS, 1.0, 150)
    assert small.max_idle_us == S - 26 * MS and not small.can_cancel_unstarted and not small.can_check_health
    large = DerivedSettings.from_settings(
        settings(fleet_size=200, reports_start=True, probes=True), 50 * MS, 3.0
    )
    assert large.min_concurrency_limit == 0.2 and large.max_idle_us == float("inf")
    assert large.can_cancel_unstarted and large.can_check_health
    assert (small.list_spread_us, large.list_spread_us) == (100 * MS, 5 * S)
