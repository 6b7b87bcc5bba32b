"""Estimates of job times and rates, and clients' retries."""

import pytest

from robinhill import api
from robinhill.placement.derived_settings import DerivedSettings
from robinhill.placement.estimates import ClientRetries, Estimates, JobTimes
from robinhill.placement.records import WorkerRecord, ZoneWait
from robinhill.placement.statistics import smooth

from .conftest import MS, S, settings


def estimates() -> Estimates:
    learned = Estimates(settings(), JobTimes(1), S)
    learned.start(0)
    return learned


def test_smoothing_starts_with_the_first_sample() -> None:
    assert smooth(0.0, 8.0) == 8.0 and smooth(8.0, 40.0) == 9.0


def test_a_hint_scales_the_mean_and_without_one_the_class_mean_is_used() -> None:
    times = JobTimes(2)
    assert times.expected_us(0, 5) == 0.0, "nothing is known"
    times.add(0, 100, 100.0)
    times.add_hint(50)
    assert times.expected_us(0, 0) == 100.0 and times.expected_us(0, 25) == 50.0
    assert times.expected_us(1, 0) == 100.0, "a class without samples takes the mean of all"
    times.add(0, 10_000, 400.0)
    assert times.class_baseline_us[0] == pytest.approx(100 + 300 / 32 / 1024)


def test_a_huge_job_is_clipped_to_four_times_the_mean() -> None:
    learned, worker = estimates(), WorkerRecord(api.Worker("w"), 0.0, ZoneWait(), S)
    request = api.Request(1, 0, S)
    learned.add_completion(MS, worker, request, 100 * MS)
    learned.add_completion(2 * MS, worker, request, 100 * S)
    assert worker.own_time.value == pytest.approx((100 + 4 * 100) / 2 * MS, rel=0.001)


def test_slow_start_share_grows_with_the_time_since_the_start() -> None:
    learned = estimates()  # warm after 9 s, from 0.3 on
    worker = WorkerRecord(api.Worker("w"), 0.0, ZoneWait(), S, slow_start_until_us=9 * S)
    assert learned.slow_start_share(0, worker) == pytest.approx(0.3)
    assert learned.slow_start_share(9 * S, worker) == pytest.approx(1.0)


def test_the_rate_is_that_of_the_window_and_never_zero() -> None:
    learned = estimates()
    for second in range(1, 100):
        learned.add_arrival(second * S)
    assert learned.rate == pytest.approx(1.0, rel=0.1)
    learned.add_arrival(10_000 * S)
    assert learned.rate == pytest.approx(1 / 9)


def test_a_request_with_less_time_is_a_retry_only_after_an_unretried_answer() -> None:
    retries = ClientRetries(1, min_spent_us=10 * MS)
    assert retries.spent_us(api.Request(1, 0, S)) == 0
    assert retries.spent_us(api.Request(2, 0, S - 5 * MS)) == 5 * MS
    assert retries.spent_us(api.Request(3, 0, S - 300 * MS)) == 0, "the first of a client that waits for less"
    retries.unretried_answers = 1
    assert retries.spent_us(api.Request(4, 0, S - 300 * MS)) == 300 * MS and retries.unretried_answers == 0
    assert retries.spent_us(api.Request(5, 0, S - 300 * MS, client_repeat=True)) == 300 * MS


def test_derived_settings_follow_from_the_settings() -> None:
    few = DerivedSettings.from_settings(
        settings(fleet_size=2, keepalive_us=S, handshake_price=0.1, progress_us=100), 50 * MS, 3.0
    )
    assert (few.tick_us, few.min_concurrency_limit, few.progress_timeout_us) == (26 * MS, 1.0, 150)
    assert few.max_idle_us == S - 26 * MS and not few.can_cancel_unstarted and not few.can_check_health
    many = DerivedSettings.from_settings(
        settings(fleet_size=200, reports_start=True, probes=True), 50 * MS, 3.0
    )
    assert many.min_concurrency_limit == 0.2 and many.max_idle_us == float("inf")
    assert many.can_cancel_unstarted and many.can_check_health
    assert (few.list_spread_us, many.list_spread_us) == (100 * MS, 5 * S)
