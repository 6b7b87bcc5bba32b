"""Smoothed estimates of job times, arrival rates and waits, from own jobs. This module makes no decisions.

Times are microseconds. Values are smoothed over the slow-start window (``Settings.slow_start_us``), or over
``placement.statistics.SMOOTHING_SAMPLES`` samples. "Own" jobs are those that this scheduler itself has
received or sent. "Usable" workers are those that the endpoint list shows as ready, even if this scheduler has
ejected them. A "bound" job class is restricted to workers of some machine types or zones. For times per unit
of work, the unit is a microsecond of a job's work hint or, for a job without a hint, a microsecond of the
mean job time of its class.
"""

from collections.abc import Iterable
from math import exp, expm1, inf

from robinhill import api
from robinhill.placement.records import WorkerRecord, ZoneWait
from robinhill.placement.statistics import PRIOR_WEIGHT, DecayingMean, follow_low_quantile, smooth

US_PER_S = 1e6
# With each completed job, the baseline job time of its class rises by this share of its distance to the mean.
BASELINE_RISE = 1 / 1024
MAX_TIME_RATIO = 4  # the time of a job is clipped to this multiple of the expected time
BASELINE_MARGIN = 1.3  # a job's time above this multiple of the shortest expected time counts as a wait


class JobTimes:
    """Holds mean job times from send to completion (us), of all jobs and by class, and the mean work hint.

    A work hint is a client's estimate of the running time of its job.
    """

    def __init__(self, classes: int) -> None:
        self.mean_us = 0.0  # 0: no job has completed yet
        self.class_mean_us = [0.0] * classes  # 0: no job of the class has completed yet
        # For each class, the time that a job usually takes without overload (us). If the class mean is lower,
        # the baseline falls to it at once; if the class mean is higher, the baseline rises towards it slowly.
        self.class_baseline_us = [0.0] * classes
        self.mean_hint_us = 0.0  # 0: no hint received yet

    def add_hint(self, hint_us: int) -> None:
        """Add the work hint of an arriving request to the mean of hints."""
        self.mean_hint_us = smooth(self.mean_hint_us, hint_us)

    def expected_us(self, job_class: int, hint_us: int) -> float:
        """Return the expected time of a job of this class and hint; 0 if no job has completed yet."""
        if hint_us and self.mean_us:
            return self.mean_us * hint_us / self.mean_hint_us
        return self.class_mean_us[job_class] or self.mean_us

    def add(self, job_class: int, elapsed_us: int, clipped_us: float) -> None:
        """Add a completed job's time to the means.

        ``clipped_us`` is the time limited to a multiple of the expected time. The first sample of a mean is
        ``elapsed_us``, because nothing was known to limit it by; each later sample is ``clipped_us``.
        """
        self.mean_us = self._smooth(self.mean_us, elapsed_us, clipped_us)
        mean = self._smooth(self.class_mean_us[job_class], elapsed_us, clipped_us)
        self.class_mean_us[job_class] = mean
        baseline = self.class_baseline_us[job_class]
        risen = baseline + (mean - baseline) * BASELINE_RISE
        self.class_baseline_us[job_class] = min(mean, risen) if baseline else mean

    @staticmethod
    def _smooth(mean: float, elapsed_us: int, clipped_us: float) -> float:
        return smooth(mean, clipped_us if mean else elapsed_us)


class ClientRetries:
    """Estimates how much of the time until its deadline a client has spent on earlier requests for a job."""

    def __init__(self, classes: int, min_spent_us: int) -> None:
        """``min_spent_us``: a request whose client has spent no more than this counts as a first request."""
        self.min_spent_us = min_spent_us
        # For each class, the longest time until the client's deadline (us) that any request has had on
        # arrival. Clients are assumed to set this time for their first requests.
        self.max_time_left_us = [0] * classes
        # Number of requests that this scheduler has rejected or failed and that no retry has followed yet.
        self.unretried_answers = 0

    def spent_us(self, request: api.Request) -> int:
        """Return the time that the client has spent before this request (us).

        The result is the difference between the time left of this request and the maximum of its class if the
        difference is at most ``min_spent_us``, if the client marks the request as a retry, or if an own
        rejection or failure has not been followed by a retry yet. Otherwise the client is assumed to have set
        a shorter deadline, and the result is 0.
        """
        full = max(self.max_time_left_us[request.job_class], request.time_left_us)
        self.max_time_left_us[request.job_class] = full
        spent = full - request.time_left_us
        if spent <= self.min_spent_us:
            return spent
        is_retry = self.unretried_answers > 0 or request.client_repeat
        self.unretried_answers = max(0, self.unretried_answers - 1)
        return spent if is_retry else 0


class Estimates:
    """Estimates the rate of own jobs, their times by worker and kind of machine, and their waits by zone."""

    def __init__(self, settings: api.Settings, job_times: JobTimes, unknown_job_us: float) -> None:
        """``unknown_job_us``: assumed time of a job before any own job has completed."""
        self.settings = settings
        self.jobs = job_times
        self.unknown_job_us = unknown_job_us
        self.window_us = settings.slow_start_us
        self.started_us = 0  # when the observation of jobs began; set by `start`
        self.rate = US_PER_S / settings.slow_start_us  # own jobs a second
        self.rate_updated_us = 0
        self.zones: dict[int, ZoneWait] = {}
        self.kinds: dict[int, DecayingMean] = {}  # mean job time by kind of machine
        # Mean job time on a worker of weight 1. A worker's weight is its relative speed in the endpoint list.
        self.weighted_time = DecayingMean()
        self.unit_times: dict[int, float] = {}  # low quantile of time per unit of work, by kind of machine
        self.served = DecayingMean()  # time from send to completion of own jobs at usable workers
        self.usable_workers = 1
        self.mean_priority_weight = 0.0  # exponential mean of the priority weights passed to `add_work`
        self.requested_us = 2 * unknown_job_us  # sum of the expected job times of all requests, plus a prior
        self.unbound_us = unknown_job_us  # like ``requested_us``, for requests of classes that are not bound

    def start(self, now: int) -> None:
        """Begin the smoothing window at ``now``, with no jobs observed."""
        self.rate_updated_us = self.started_us = now

    def window_share(self, now: int) -> float:
        """The weight of the observations since `start`, relative to a full smoothing window.

        It grows from near 0 right after the start to near 1 after several windows. At the moment of the start
        itself it is 1, because callers divide by it.
        """
        return -expm1((self.started_us - now) / self.window_us) or 1.0

    def add_arrival(self, now: int) -> None:
        """Update the rate of own jobs with an arriving request."""
        one_job = US_PER_S / self.window_us
        decay = exp((self.rate_updated_us - now) / self.window_us)
        self.rate = max(one_job, self.rate * decay + one_job)
        self.rate_updated_us = now

    def add_work(self, expected_us: float, priority_weight: float, bound: bool) -> None:
        """Add a request's expected time and priority weight to the estimates.

        ``priority_weight``: the class's priority weight, divided by the expected time unless
        ``Settings.value_by_work`` is set. ``bound``: the request's class is restricted to workers of some
        machine types or zones.
        """
        self.requested_us += expected_us
        self.unbound_us += 0.0 if bound else expected_us
        self.mean_priority_weight = smooth(self.mean_priority_weight, priority_weight)

    def update_usable_workers(self, workers: Iterable[WorkerRecord]) -> None:
        """Count the usable workers.

        The count of served jobs is scaled so that the number of served jobs per usable worker does not
        change.
        """
        usable = max(1, sum(worker.ejected_until_us < inf for worker in workers))
        self.served.count = self.served.count * usable / self.usable_workers
        self.usable_workers = usable

    def fewer_arrivals_than_workers(self, now: int) -> bool:
        """Whether fewer own jobs arrive in a slow-start window than there are usable workers."""
        return US_PER_S * self.usable_workers * self.window_share(now) > self.rate * self.window_us

    def fewer_jobs_in_flight_than_workers(self, now: int) -> bool:
        """Whether fewer own jobs are in flight on average than there are usable workers, by Little's law."""
        in_flight = self.rate * self.jobs.mean_us / US_PER_S
        return 0 < in_flight < self.usable_workers * self.window_share(now)

    def worker_throughput(self, now: int) -> float:
        """The number of own jobs served per microsecond and usable worker.

        It is at least this scheduler's share of the throughput of a worker that runs one job at a time.
        """
        served = self.served.count * exp((self.served.at_us - now) / self.window_us)
        throughput = served / (self.window_share(now) * self.window_us * self.usable_workers)
        one_job = 1 / (self.settings.fleet_size * self.served.with_prior(self.unknown_job_us))
        return max(throughput, one_job)

    def counted_gap_share(self, now: int) -> float:
        """The share of the time between own jobs that remains if each gap is capped at ``tip_after_us``.

        It is at least 0.5. A worker in slow start earns credit for its next job during these gaps, in each
        for at most ``Settings.tip_after_us``. The pace of the credit is divided by this share, to make up for
        the cap.
        """
        tip = self.settings.tip_after_us
        return max(0.5, -expm1(-self.rate * tip / (US_PER_S * self.window_share(now))))

    def add_job_time(self, now: int, worker: WorkerRecord, elapsed_us: float) -> None:
        """Add a job's time to the means of its worker and of the worker's kind of machine.

        Multiplied by the worker's weight, the time is also added to the mean for workers of weight 1.
        """
        worker.own_time.add(now, elapsed_us, self.window_us)
        self.kinds.setdefault(worker.entry.kind, DecayingMean()).add(now, elapsed_us, self.window_us)
        self.weighted_time.add(now, elapsed_us * worker.entry.weight, self.window_us)

    def add_completion(self, now: int, worker: WorkerRecord, request: api.Request, elapsed_us: int) -> None:
        """Add a completed job's time to the estimates, clipped to a multiple of its expected time.

        For the means of the worker and its kind of machine, the time is also divided by the expected time of
        the job's class and hint, and multiplied by the mean time of all jobs.
        """
        mean = self.jobs.mean_us
        expected = self.jobs.expected_us(request.job_class, request.work_hint_us) or max(1.0, elapsed_us)
        clipped = min(max(1, elapsed_us), MAX_TIME_RATIO * expected)
        self.add_job_time(now, worker, clipped / expected * (mean or expected))
        self.jobs.add(request.job_class, elapsed_us, clipped)

    def slow_start_share(self, now: int, worker: WorkerRecord) -> float:
        """Return the lower bound of the speed of a worker in slow start, as a share of its full speed."""
        remaining = min(1.0, (worker.slow_start_until_us - now) / self.window_us)
        return 1 - (1 - self.settings.slow_start_floor) * remaining

    def zone(self, number: int) -> ZoneWait:
        """Return the record of own jobs' waits in a zone; it is created on the first call for the zone."""
        return self.zones.setdefault(number, ZoneWait())

    def zone_waits(self, tick_us: int, crossing_us: float) -> list[float]:
        """The mean wait of own jobs in each zone (us), in the order of ``zones``.

        For a zone other than this scheduler's, the prior of the mean is ``tick_us`` instead of 0, and
        ``crossing_us`` is added. ``tick_us`` / 16 is added for every zone, so that no wait is 0.

        ``tick_us``: longest time between checks of the queue; ``crossing_us``: the price of sending a job to
        another zone, converted to waiting time.
        """
        waits = []
        for number, zone in self.zones.items():
            is_other = number != self.settings.zone
            waits.append(tick_us / 16 + zone.with_prior(tick_us * is_other) + crossing_us * is_other)
        return waits

    def bound_speed_share(self, workers: Iterable[WorkerRecord]) -> float:
        """Return the share that workers which serve bound classes have in the total speed of usable workers.

        A bound class is a job class that is restricted to workers of some machine types or zones.
        """
        speeds = [
            (1 / worker.job_time_us, worker.serves_bound_classes)
            for worker in workers
            if worker.ejected_until_us < inf
        ]
        bound = sum(speed for speed, serves_bound_classes in speeds if serves_bound_classes)
        return bound / (sum(speed for speed, _ in speeds) or 1.0)

    def update_times(self, worker: WorkerRecord) -> None:
        """Set the worker's expected job time, and its time per unit of work if that is still unknown.

        The prior of the job time is the mean job time of the worker's kind of machine. That mean's own prior
        is the mean job time on a worker of weight 1, divided by the worker's weight in the endpoint list.
        """
        entry, kind = worker.entry, self.kinds.get(worker.entry.kind)
        prior = self.weighted_time.value / max(1e-6, entry.weight) or self.unknown_job_us
        worker.job_time_us = max(1.0, worker.own_time.with_prior(kind.with_prior(prior) if kind else prior))
        worker.unit_time = worker.unit_time or self.unit_times.get(entry.kind, 0.0)

    def infer_wait(self, worker: WorkerRecord, request: api.Request, elapsed_us: int) -> float:
        """Estimate how long a job has waited at its worker, for workers that do not report starts (us).

        The wait is the elapsed time less ``BASELINE_MARGIN`` times the shortest time of such a job. With a
        hint, the shortest time is the hint times the worker's time per unit of work. Without a hint it is the
        baseline of the class, which, unlike the class mean, does not follow a lasting overload. The elapsed
        time also updates the times per unit of work of the worker and of its kind of machine.
        """
        kind, hint, own = worker.entry.kind, request.work_hint_us, worker.own_time.count
        work = hint or self.jobs.class_mean_us[request.job_class]
        ratio = elapsed_us / max(1.0, work)
        of_kind = self.unit_times[kind] = follow_low_quantile(self.unit_times.get(kind, ratio), ratio)
        worker.own_unit_time = follow_low_quantile(worker.own_unit_time or ratio, ratio)
        worker.unit_time = (own * worker.own_unit_time + PRIOR_WEIGHT * of_kind) / (own + PRIOR_WEIGHT)
        if hint:
            return elapsed_us - BASELINE_MARGIN * worker.unit_time * work
        return elapsed_us - BASELINE_MARGIN * self.jobs.class_baseline_us[request.job_class]
