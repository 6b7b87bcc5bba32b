"""What the decision module has learned of job times, rates and waits. Statistics only: nothing here decides.

Times are microseconds. Smoothing goes over the window in which workers warm up, or over some 32 samples.
"""

from collections.abc import Iterable
from math import exp, expm1, inf

from robinhill import api
from robinhill.placement.records import WorkerRecord
from robinhill.placement.statistics import PRIOR_WEIGHT, DecayingMean, ZoneWait, follow_low_quantile, smooth


class JobTimes:
    """How long jobs take from send to completion (us): all of them, each class, and by what clients hint."""

    def __init__(self, classes: int) -> None:
        self.mean_us = 0.0
        self.class_mean_us = [0.0] * classes  # mean of each class
        self.class_baseline_us = [0.0] * classes  # the lowest mean of each class, rising slowly
        self.mean_hint_us = 0.0  # mean hint, if any

    def add_hint(self, hint_us: int) -> None:
        """A request with a hint has come."""
        self.mean_hint_us = smooth(self.mean_hint_us, hint_us)

    def expected_us(self, job_class: int, hint_us: int) -> float:
        """How long such a job takes; 0 if nothing is known."""
        if hint_us and self.mean_us:
            return self.mean_us * hint_us / self.mean_hint_us
        return self.class_mean_us[job_class] or self.mean_us

    def add(self, job_class: int, took_us: int, clipped_us: float) -> None:
        """A job has ended; ``clipped_us`` counts but for the first one."""
        self.mean_us = self._follow(self.mean_us, took_us, clipped_us)
        mean = self.class_mean_us[job_class] = self._follow(
            self.class_mean_us[job_class], took_us, clipped_us
        )
        usual = self.class_baseline_us[job_class]
        self.class_baseline_us[job_class] = min(mean, usual + (mean - usual) / 1024) if usual else mean

    @staticmethod
    def _follow(mean: float, took_us: int, clipped_us: float) -> float:
        return smooth(mean, clipped_us if mean else took_us)


class ClientRetries:
    """How much of their time clients have spent on tries before this one."""

    def __init__(self, classes: int, min_spent_us: int) -> None:
        """``min_spent_us``: less than this counts for nothing in telling a further try from a first one."""
        self.min_spent_us = min_spent_us
        self.max_time_left_us = [0] * classes  # longest time left seen: that of a first try
        self.unretried_answers = 0  # own final answers of which no further try has come

    def spent_us(self, request: api.Request) -> int:
        """With less time than a first try it is a further one, if one was given up: it has spent the rest."""
        longest = max(self.max_time_left_us[request.job_class], request.time_left_us)
        self.max_time_left_us[request.job_class] = longest
        spent = longest - request.time_left_us
        if spent <= self.min_spent_us:
            return spent
        further = self.unretried_answers > 0 or request.client_repeat
        self.unretried_answers = max(0, self.unretried_answers - 1)
        return spent if further else 0


class Estimates:
    """The rate of own jobs, how long they take by worker and kind of machine, and wait by zone."""

    def __init__(self, settings: api.Settings, job_times: JobTimes, unknown_job_us: float) -> None:
        """``unknown_job_us``: a job's time where nothing is known."""
        self.settings = settings
        self.jobs = job_times
        self.unknown_job_us = unknown_job_us
        self.window_us = settings.cold_us
        self.started_us = 0
        self.rate = 1e6 / settings.cold_us  # own jobs a second
        self.rate_updated_us = 0  # when it was last smoothed
        self.zones: dict[int, ZoneWait] = {}  # wait of own jobs by zone
        self.kinds: dict[int, DecayingMean] = {}  # job time by kind of machine
        self.weighted_time = DecayingMean()  # job time on a worker of weight 1
        self.unit_times: dict[int, float] = {}  # low quantile of time taken over work by kind of machine
        self.served = DecayingMean()  # time of own completions
        self.usable_workers = 1  # usable workers
        self.mean_priority_weight = 0.0  # of requests, for their work
        self.requested_us = 2 * unknown_job_us  # work asked for in all
        self.unbound_us = unknown_job_us  # of this, by classes that may go to any worker

    def start(self, now: int) -> None:
        """The window has only begun."""
        self.rate_updated_us = self.started_us = now

    def window_share(self, now: int) -> float:
        """How much of the window the figures can hold: little after a start."""
        return -expm1((self.started_us - now) / self.window_us) or 1.0

    def add_arrival(self, now: int) -> None:
        """A request has come."""
        least = 1e6 / self.window_us
        self.rate = max(least, self.rate * exp((self.rate_updated_us - now) / self.window_us) + least)
        self.rate_updated_us = now

    def add_work(self, expected_us: float, priority_weight: float, bound: bool) -> None:
        """What a request asks for: its expected time, and what it is worth for that."""
        self.requested_us += expected_us
        self.unbound_us += 0.0 if bound else expected_us
        self.mean_priority_weight = smooth(self.mean_priority_weight, priority_weight)

    def update_usable_workers(self, workers: Iterable[WorkerRecord]) -> None:
        """A job done counts by the workers of its time: what many bore is not what each of few can bear."""
        ready = max(1, sum(worker.ejected_until_us < inf for worker in workers))
        self.served.count = self.served.count * ready / self.usable_workers
        self.usable_workers = ready

    def fewer_jobs_than_workers(self, now: int) -> bool:
        """Whether fewer own jobs come than there are workers, as far as the window has come."""
        return 1e6 * self.usable_workers * self.window_share(now) > self.rate * self.window_us

    def fewer_jobs_in_flight_than_workers(self, now: int) -> bool:
        """Whether fewer own jobs are out at a time than there are workers, by Little's law."""
        jobs_out = self.rate * self.jobs.mean_us / 1e6
        return 0 < jobs_out < self.usable_workers * self.window_share(now)

    def worker_throughput(self, now: int) -> float:
        """Own jobs a microsecond that a usable worker bears: a share of those served, or of one job."""
        served = self.served.count * exp((self.served.at_us - now) / self.window_us)
        share = served / (self.window_share(now) * self.window_us * self.usable_workers)
        # One short job must not stand for all.
        return max(share, 1 / (self.settings.fleet_size * self.served.with_prior(self.unknown_job_us)))

    def counted_gap_share(self, now: int) -> float:
        """The part of the gaps between own jobs that is left if each counts for ``tip_after_us`` at most."""
        tip = self.settings.tip_after_us
        return max(0.5, -expm1(-self.rate * tip / (1e6 * self.window_share(now))))

    def add_job_time(self, now: int, worker: WorkerRecord, took_us: float) -> None:
        """Smooth the worker's time for a job, and that of its kind."""
        worker.own_time.add(now, took_us, self.window_us)
        self.kinds.setdefault(worker.entry.kind, DecayingMean()).add(now, took_us, self.window_us)
        self.weighted_time.add(now, took_us * worker.entry.weight, self.window_us)

    def add_completion(self, now: int, worker: WorkerRecord, request: api.Request, took_us: int) -> None:
        """Normalise a job's time by what such a job takes, clip it, smooth it."""
        mean = self.jobs.mean_us
        expected = self.jobs.expected_us(request.job_class, request.work_hint_us) or max(1.0, took_us)
        clipped = min(max(1, took_us), 4 * expected)
        # One huge job must not banish a worker: clipped against what such jobs take.
        self.add_job_time(now, worker, clipped / expected * (mean or expected))
        self.jobs.add(request.job_class, took_us, clipped)

    def slow_start_share(self, now: int, worker: WorkerRecord) -> float:
        """The share of its speed that a cold worker has for sure."""
        cold = min(1.0, (worker.slow_start_until_us - now) / self.window_us)
        return 1 - (1 - self.settings.cold_from) * cold

    def zone(self, number: int) -> ZoneWait:
        """The waits in a zone, which may be new."""
        return self.zones.setdefault(number, ZoneWait())

    def zone_waits(self, tick_us: int, crossing_us: float) -> list[float]:
        """How long own jobs wait in each zone; ``crossing_us`` is added where they leave their own."""
        waits = []
        for number, zone in self.zones.items():
            away = number != self.settings.zone
            waits.append(tick_us / 16 + zone.with_prior(tick_us * away) + crossing_us * away)
        return waits

    def bound_speed_share(self, workers: Iterable[WorkerRecord]) -> float:
        """The share of all speed that machines have which bound classes want."""
        speeds = [
            (1 / worker.job_time_us, worker.serves_bound_classes)
            for worker in workers
            if worker.ejected_until_us < inf
        ]
        bound = sum(speed for speed, serves_bound_classes in speeds if serves_bound_classes)
        return bound / (sum(speed for speed, _ in speeds) or 1.0)

    def update_times(self, worker: WorkerRecord) -> None:
        """With few own jobs a worker leans on its kind, and that on the list's weight."""
        entry, kind = worker.entry, self.kinds.get(worker.entry.kind)
        prior = self.weighted_time.value / max(1e-6, entry.weight) or self.unknown_job_us
        worker.job_time_us = max(1.0, worker.own_time.with_prior(kind.with_prior(prior) if kind else prior))
        worker.unit_time = worker.unit_time or self.unit_times.get(entry.kind, 0.0)

    def infer_wait(self, worker: WorkerRecord, request: api.Request, took_us: int) -> float:
        """Without word of starts: what exceeds the time of such a job at its quickest was waiting."""
        kind, hint, own = worker.entry.kind, request.work_hint_us, worker.own_time.count
        work = hint or self.jobs.class_mean_us[request.job_class]
        ratio = took_us / max(1.0, work)
        of_kind = self.unit_times[kind] = follow_low_quantile(self.unit_times.get(kind, ratio), ratio)
        worker.own_unit_time = follow_low_quantile(worker.own_unit_time or ratio, ratio)
        worker.unit_time = (own * worker.own_unit_time + PRIOR_WEIGHT * of_kind) / (own + PRIOR_WEIGHT)
        # Without hints a lasting jam became normal: measured against the lowest mean of such jobs.
        usual = self.jobs.class_baseline_us[request.job_class]
        return took_us - (1.3 * worker.unit_time * work if hint else 1.3 * usual)
