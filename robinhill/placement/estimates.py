"""Estimates of job times, arrival rates and waits, smoothed from own jobs. Statistics only: no decisions.

Times are microseconds. Values are smoothed over the slow-start window, or over the samples that
``placement.statistics`` names. "Own" is what this scheduler itself has received or sent.
"""

from collections.abc import Iterable
from math import exp, expm1, inf

from robinhill import api
from robinhill.placement.records import WorkerRecord, ZoneWait
from robinhill.placement.statistics import PRIOR_WEIGHT, DecayingMean, follow_low_quantile, smooth

US_PER_S = 1e6
BASELINE_RISE = 1 / 1024  # of the difference, at each job that takes longer
MAX_TIME_RATIO = 4  # a job's time is clipped to so many times what such jobs take
BASELINE_MARGIN = 1.3  # a job that takes so much longer than at its quickest has waited


class JobTimes:
    """How long jobs take from send to completion (us): all of them, by class and by the clients' hints."""

    def __init__(self, classes: int) -> None:
        self.mean_us = 0.0
        self.class_mean_us = [0.0] * classes
        self.class_baseline_us = [0.0] * classes  # the lowest mean of each class, rising slowly
        self.mean_hint_us = 0.0  # 0: no hint has come

    def add_hint(self, hint_us: int) -> None:
        """Count the hint of an arriving request."""
        self.mean_hint_us = smooth(self.mean_hint_us, hint_us)

    def expected_us(self, job_class: int, hint_us: int) -> float:
        """How long such a job takes; 0 if nothing is known."""
        if hint_us and self.mean_us:
            return self.mean_us * hint_us / self.mean_hint_us
        return self.class_mean_us[job_class] or self.mean_us

    def add(self, job_class: int, elapsed_us: int, clipped_us: float) -> None:
        """Count a completed job; ``clipped_us`` is used unless it is the first one."""
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
    """How much of their time clients have spent on attempts before this one."""

    def __init__(self, classes: int, min_spent_us: int) -> None:
        """``min_spent_us``: a request that has less time missing than this counts as a first attempt."""
        self.min_spent_us = min_spent_us
        self.max_time_left_us = [0] * classes  # that of a first attempt
        self.unretried_answers = 0  # own final answers after which no retry has come yet

    def spent_us(self, request: api.Request) -> int:
        """How much of its client's time an arriving request has spent; it is a retry if one was due."""
        full = max(self.max_time_left_us[request.job_class], request.time_left_us)
        self.max_time_left_us[request.job_class] = full
        spent = full - request.time_left_us
        if spent <= self.min_spent_us:
            return spent
        is_retry = self.unretried_answers > 0 or request.client_repeat
        self.unretried_answers = max(0, self.unretried_answers - 1)
        return spent if is_retry else 0


class Estimates:
    """The rate of own jobs, how long they take by worker and kind of machine, and wait by zone."""

    def __init__(self, settings: api.Settings, job_times: JobTimes, unknown_job_us: float) -> None:
        """``unknown_job_us``: a job's time where nothing is known."""
        self.settings = settings
        self.jobs = job_times
        self.unknown_job_us = unknown_job_us
        self.window_us = settings.slow_start_us
        self.started_us = 0
        self.rate = US_PER_S / settings.slow_start_us  # own jobs a second
        self.rate_updated_us = 0
        self.zones: dict[int, ZoneWait] = {}
        self.kinds: dict[int, DecayingMean] = {}  # job time by kind of machine
        self.weighted_time = DecayingMean()  # job time on a worker of weight 1
        self.unit_times: dict[int, float] = {}  # low quantile of time over work by kind of machine
        self.served = DecayingMean()  # time of own completed jobs
        self.usable_workers = 1
        self.mean_priority_weight = 0.0  # of requests, for their expected work
        self.requested_us = 2 * unknown_job_us  # work requested in total
        self.unbound_us = unknown_job_us  # of this, by classes that may go to any worker

    def start(self, now: int) -> None:
        """Begin the window; nothing was observed before."""
        self.rate_updated_us = self.started_us = now

    def window_share(self, now: int) -> float:
        """The share of the window that has been observed: little after a start."""
        return -expm1((self.started_us - now) / self.window_us) or 1.0

    def add_arrival(self, now: int) -> None:
        """Count an arriving request in the rate."""
        one_job = US_PER_S / self.window_us
        decay = exp((self.rate_updated_us - now) / self.window_us)
        self.rate = max(one_job, self.rate * decay + one_job)
        self.rate_updated_us = now

    def add_work(self, expected_us: float, priority_weight: float, bound: bool) -> None:
        """Count a request's expected time, and its priority weight for that time.

        ``bound``: its class may go to certain workers only.
        """
        self.requested_us += expected_us
        self.unbound_us += 0.0 if bound else expected_us
        self.mean_priority_weight = smooth(self.mean_priority_weight, priority_weight)

    def update_usable_workers(self, workers: Iterable[WorkerRecord]) -> None:
        """Count usable workers; jobs served keep their number for each of them."""
        usable = max(1, sum(worker.ejected_until_us < inf for worker in workers))
        self.served.count = self.served.count * usable / self.usable_workers
        self.usable_workers = usable

    def fewer_jobs_than_workers(self, now: int) -> bool:
        """Whether fewer own jobs arrive in a window than there are workers."""
        return US_PER_S * self.usable_workers * self.window_share(now) > self.rate * self.window_us

    def fewer_jobs_in_flight_than_workers(self, now: int) -> bool:
        """Whether fewer own jobs are in flight at a time than there are workers, by Little's law."""
        in_flight = self.rate * self.jobs.mean_us / US_PER_S
        return 0 < in_flight < self.usable_workers * self.window_share(now)

    def worker_throughput(self, now: int) -> float:
        """Own jobs a microsecond that a usable worker serves; at least this scheduler's share of one job."""
        served = self.served.count * exp((self.served.at_us - now) / self.window_us)
        throughput = served / (self.window_share(now) * self.window_us * self.usable_workers)
        one_job = 1 / (self.settings.fleet_size * self.served.with_prior(self.unknown_job_us))
        return max(throughput, one_job)

    def counted_gap_share(self, now: int) -> float:
        """The share of the time between own jobs that counts if each gap is cut at ``tip_after_us``."""
        tip = self.settings.tip_after_us
        return max(0.5, -expm1(-self.rate * tip / (US_PER_S * self.window_share(now))))

    def add_job_time(self, now: int, worker: WorkerRecord, elapsed_us: float) -> None:
        """Count a job's time for its worker, its kind of machine and all workers by weight."""
        worker.own_time.add(now, elapsed_us, self.window_us)
        self.kinds.setdefault(worker.entry.kind, DecayingMean()).add(now, elapsed_us, self.window_us)
        self.weighted_time.add(now, elapsed_us * worker.entry.weight, self.window_us)

    def add_completion(self, now: int, worker: WorkerRecord, request: api.Request, elapsed_us: int) -> None:
        """Count a completed job, its time normalised and clipped by what such jobs take."""
        mean = self.jobs.mean_us
        expected = self.jobs.expected_us(request.job_class, request.work_hint_us) or max(1.0, elapsed_us)
        clipped = min(max(1, elapsed_us), MAX_TIME_RATIO * expected)
        self.add_job_time(now, worker, clipped / expected * (mean or expected))
        self.jobs.add(request.job_class, elapsed_us, clipped)

    def slow_start_share(self, now: int, worker: WorkerRecord) -> float:
        """The share of its full speed that a worker in slow start has for sure."""
        remaining = min(1.0, (worker.slow_start_until_us - now) / self.window_us)
        return 1 - (1 - self.settings.slow_start_floor) * remaining

    def zone(self, number: int) -> ZoneWait:
        """The waits in a zone; a new one if it is not known."""
        return self.zones.setdefault(number, ZoneWait())

    def zone_waits(self, tick_us: int, crossing_us: float) -> list[float]:
        """How long own jobs wait in each zone; ``crossing_us`` is added for zones other than our own."""
        waits = []
        for number, zone in self.zones.items():
            is_other = number != self.settings.zone
            waits.append(tick_us / 16 + zone.with_prior(tick_us * is_other) + crossing_us * is_other)
        return waits

    def bound_speed_share(self, workers: Iterable[WorkerRecord]) -> float:
        """The share of all speed that workers have which serve bound classes."""
        speeds = [
            (1 / worker.job_time_us, worker.serves_bound_classes)
            for worker in workers
            if worker.ejected_until_us < inf
        ]
        bound = sum(speed for speed, serves_bound_classes in speeds if serves_bound_classes)
        return bound / (sum(speed for speed, _ in speeds) or 1.0)

    def update_times(self, worker: WorkerRecord) -> None:
        """Set the worker's expected times: own jobs, then its kind, then the list's weight as prior."""
        entry, kind = worker.entry, self.kinds.get(worker.entry.kind)
        prior = self.weighted_time.value / max(1e-6, entry.weight) or self.unknown_job_us
        worker.job_time_us = max(1.0, worker.own_time.with_prior(kind.with_prior(prior) if kind else prior))
        worker.unit_time = worker.unit_time or self.unit_times.get(entry.kind, 0.0)

    def infer_wait(self, worker: WorkerRecord, request: api.Request, elapsed_us: int) -> float:
        """How long a job has waited at its worker, where workers do not report starts.

        It is the time above that of such a job at its quickest: by its hint and the worker's time for a unit
        of work, or by its class's baseline, which unlike the mean does not follow a lasting overload.
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
