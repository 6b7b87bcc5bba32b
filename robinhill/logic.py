"""All decisions of robinhill; the interface (types, events, actions) is in robinhill/api.py.

The ordinary path is the age-priced rotation of docs/design.md: the eligible worker with the lowest q^x
gets the job, where x is the number of own sends since that worker last got one, q = rate / (rate + speed).
"""

import random
from math import inf, log1p

from robinhill import api
from robinhill.placement import timers
from robinhill.placement.derived_settings import DerivedSettings
from robinhill.placement.estimates import ClientRetries, Estimates, JobTimes
from robinhill.placement.event_dispatch import EventHandler
from robinhill.placement.job_queue import JobQueue
from robinhill.placement.records import Attempt, AttemptKey, JobRecord, PlacementCriteria, WorkerRecord

UNKNOWN_JOB_US = 1_000_000.0  # the design page: 1 job a second where no speed is known
BACK_OFF = 64.0  # an age counts so much less for a class just turned away: picked only if most others were
CALL_US = 50_000  # spread of first calls to the directory for each node: a call's time there
HOLD = 1.5  # how far a job may wait into what its own length, where no hint tells it, adds to its aim
TRUST_US = 250_000  # an open connection to a worker not heard from for so long proves nothing
OVERDUE = 2.0  # of its class's usual time: a job that runs longer, none ending there meanwhile, casts doubt
EJECT_US = 4_000_000  # the longest time out; or half the time in which workers warm up, if longer
SILENT_FAULTS = 3  # a worker that answers no probe stays out as long as after so many failures
IN_LINE = 3.0  # own jobs of all nodes at a worker where they wait; below one each, it rests between two
# Retry budget: withdrawals for each completion, and at most; withdrawn, some jobs run on.
RETRY_SHARE, MOST_RETRIES = 0.1, 10.0
CHEAP_WASTE = 0.1  # price of waste below which jobs past use are withdrawn
HINT_MARGIN = 1.5  # workers that make the aim with so much of the hinted work go before tight fits


class Balancer(EventHandler):
    """Events and clock in, actions out; deterministic for a seed, no input or output of its own."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__()
        self.settings = settings
        self.derived = DerivedSettings.from_settings(settings, CALL_US, IN_LINE)
        self.random = random.Random(seed)
        self.workers: dict[str, WorkerRecord] = {}
        self.jobs: dict[int, JobRecord] = {}
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.held = JobQueue()  # they wait for a worker
        self.no_room: set[int] = set()  # classes for which choices found no worker with room
        self.sends = 0  # own sends
        self.job_times = JobTimes(len(settings.classes))
        self.estimates = Estimates(settings, self.job_times, UNKNOWN_JOB_US)
        self.client_retries = ClientRetries(len(settings.classes), self.derived.tick_us)
        self.weighted_rate = 0.0  # rate for which the ages of all workers were last weighted
        self.unbound_factor = 1.0  # how much ages of unbound work count at machines that bound classes want
        self.thin = False  # fewer own jobs than workers in the window, as of the last choice
        self.sparse = False  # fewer own jobs out at a time than workers, as of the last choice
        self.shed = 0.0  # share of requests refused at once
        self.retry_budget = 1.0
        self.subscribed, self.list_failures = False, 0
        self.list_leased = True  # without the lease on the list jobs are held

    def start(self, now: int) -> list[api.Action]:
        """To be called once, before any event."""
        self.estimates.start(now)
        # All nodes asking at once after a common start drown the directory: each has its own moment.
        wait = int(self.random.random() * self.derived.list_spread_us)
        return [api.SetTimer(wait, timers.LIST_POLL)] if self.settings.must_subscribe else []

    def avoided(self, now: int) -> set[str]:
        """The workers that get nothing, or come last, for what they did; it changes nothing."""
        return {address for address, worker in self.workers.items() if worker.is_avoided(now)}

    def _on_list(self, now: int, event: api.WorkersListed) -> None:
        if event.kind is api.ListKind.FAILED:
            return self._retry_list()
        self.subscribed = self.subscribed or event.kind is not api.ListKind.CACHED
        self.list_failures = 0
        listed = {entry.address for entry in event.workers}
        for entry in event.workers:
            self._update_worker(now, entry, len(listed))
        self._weigh_zones()
        self._weigh_unbound()
        for address, worker in list(self.workers.items()):
            unlisted = event.kind is not api.ListKind.CHANGES and address not in listed
            if unlisted or worker.entry.state is api.WorkerState.GONE:
                self._shut(self.workers.pop(address))
        self.estimates.update_usable_workers(self.workers.values())
        self._place_held(now)

    def _on_list_leased(self, now: int, event: api.ListLeased) -> None:
        self.list_leased = event.held
        self._place_held(now)

    def _retry_list(self) -> None:
        """Ask again with back-off, well inside the time after which silence counts as being told."""
        spread = self.derived.list_spread_us << min(self.list_failures, 6)
        wait = min(self.settings.ask_every_us // 2, spread)
        self.subscribed, self.list_failures = False, self.list_failures + 1
        self.actions.append(api.SetTimer(int(wait * (0.5 + self.random.random() / 2)), timers.LIST_POLL))

    def _update_worker(self, now: int, entry: api.Worker, listed: int) -> None:
        worker = self.workers.get(entry.address)
        if worker and (worker.entry.kind, worker.entry.zone) != (entry.kind, entry.zone):
            self._shut(worker)  # the same address is another machine now
            worker = None
        known = worker is not None and entry.started_us <= worker.entry.started_us
        if worker is None:
            zone = self.estimates.zone(entry.zone)
            worker = WorkerRecord(entry, self.random.random(), zone, UNKNOWN_JOB_US)
            self.workers[entry.address] = worker
        worker.entry = entry
        turn = max(listed, len(self.workers))
        if not known:
            # A start ahead of our clock is the clock's error, not a reason to pace a worker for ever.
            started = min(entry.started_us, now)
            worker.slow_start_until_us = started + self.settings.cold_us if started else 0
            self._begin_rotation(now, worker, turn)
        if entry.state is not api.WorkerState.READY:
            self._shut(worker)
        elif worker.ejected_until_us == inf:
            self._take_back(now, worker, turn)
        elif not known:
            worker.ejected_until_us = 0
        worker.serves_bound_classes = any(c.bound and c.open_to(entry) for c in self.settings.classes)
        self._weigh_age(worker)

    def _begin_rotation(self, now: int, worker: WorkerRecord, turn: int) -> None:
        """Never used costs nothing; cold or in a zone with a price, it starts in a phase of a turn."""
        worker.slow_start_credit, worker.slow_start_credit_us, worker.error_share = (
            self.random.random(),
            now,
            0.0,
        )
        away = worker.entry.zone != self.settings.zone and self.settings.cross_zone_price
        phased = now < worker.slow_start_until_us or self.settings.handshake_price or away
        worker.last_send = self.sends - 1 - (int(worker.tie_breaker * turn) if phased else 1000 * (turn + 1))

    def _take_back(self, now: int, worker: WorkerRecord, turn: int) -> None:
        """Back after it was left out: what befell it or own jobs there before tells nothing now."""
        worker.readmit(now)
        worker.last_send = self.sends - 1 - int(worker.tie_breaker * turn)

    def _shut(self, worker: WorkerRecord) -> None:
        """Nothing more goes to a worker that drains or left; its connections close as they fall idle."""
        worker.ejected_until_us = inf
        # Idle ones stayed open past the time allowed (deploy days): closed at the notice and each outcome.
        if worker.connection_used_us and self.settings.close_within_us is not None:
            worker.connection_used_us = 0
            self.actions.append(api.CloseIdle(worker.entry.address))

    def _on_arrival(self, now: int, event: api.Arrived) -> None:
        request, hint, left = event.request, event.request.work_hint_us, event.request.time_left_us
        klass = self.settings.classes[request.job_class]
        self.estimates.add_arrival(now)
        job = self.jobs[request.job] = JobRecord(request, klass, client_deadline_us=now + left)
        if now < request.group_until_us:  # an earlier request of its key may have run
            job.may_have_run, job.group, job.group_until_us = True, request.group, request.group_until_us
        aim = klass.aim_us - self.client_retries.spent_us(request)
        job.objective_us = now + aim + klass.stretch * hint
        if hint:
            self.job_times.add_hint(hint)
        expected = self.job_times.expected_us(request.job_class, hint) or UNKNOWN_JOB_US
        if hint and self.job_times.mean_us:
            aim += int(max(0.0, klass.stretch * hint - expected))
        worth = klass.worth / (1.0 if self.settings.value_by_work else expected)
        self.estimates.add_work(expected, worth, klass.bound)
        job.order, job.latest_start_us = -worth, int(now + aim)
        job.queue_deadline_us = now + min(left - 1, self._useful_wait(request, aim, expected))
        job.queue_deadline_us = min(job.queue_deadline_us, job.group_until_us or job.queue_deadline_us)
        # In an overload that own waits show, a share is refused at once.
        if self.shed and self.random.random() * worth < self.shed * self.estimates.mean_priority_weight:
            self._give_up(job, api.RefusalReason.OVERLOAD)
        else:
            self.place(now, job)

    def _useful_wait(self, request: api.Request, aim: int, expected: float) -> int:
        """How long a job is worth holding: while it can make its aim, or its end if late answers count."""
        klass = self.settings.classes[request.job_class]
        if klass.late_worth:
            return max(aim, int(request.time_left_us - expected))
        if request.work_hint_us:
            return aim
        usual = self.job_times.class_baseline_us[request.job_class]
        return aim + int(HOLD * max(0.0, klass.stretch - 1) * usual)

    def place(self, now: int, job: JobRecord) -> None:
        """Send the job, or hold it for a worker, or end it."""
        if job.attempts >= self.settings.max_attempts:
            self._give_up(job, api.RefusalReason.ATTEMPTS_SPENT)
        elif now >= job.queue_deadline_us:
            self._give_up(job, api.RefusalReason.NO_WORKER)
        elif self.list_leased and (worker := self._pick_worker(now, job)) is not None:
            self._send(now, job, worker)
        else:
            self.held.add(job)
            self._set_held_timer(now, job.queue_deadline_us)

    def _give_up(self, job: JobRecord, why: api.RefusalReason, unconfirmed: bool = False) -> None:
        """One final answer; a refusal only where it is true that trying again does no harm."""
        self.jobs.pop(job.request.job, None)
        self.client_retries.unretried_answers += 1
        klass = job.klass
        harmless = klass.repeat is api.Repeat.SAFE or klass.dropped_everywhere
        if (job.may_have_run or job.attempts_in_flight) and not harmless:
            return self.actions.append(api.Fail(job.request.job))
        wait = 0
        if self.settings.retry_after and not unconfirmed:
            # Late tries worth nothing are spared by the longest advice, others come back after a job's time.
            wait = self.settings.max_retry_after_us
            wait = min(wait, int(self.job_times.mean_us)) if klass.late_worth else wait
        self.actions.append(api.Refuse(job.request.job, wait, why))

    def _set_held_timer(self, now: int, until_us: int) -> None:
        """A timer for held jobs: at the first that must be answered, and often enough to see room."""
        if wait := self.held.next_check_us(now, until_us, self.derived.tick_us):
            self.actions.append(api.SetTimer(wait, timers.QUEUE_CHECK))

    def _place_held(self, now: int) -> None:
        """Give held jobs their worker, the most worth first, or their answer in time."""
        held = self.held.take_all()
        self.no_room.clear()
        usable = self.workers.values() if self.list_leased else ()
        room = held and any(self._takes_jobs(now, worker) for worker in usable)
        for job in held:
            if now < job.queue_deadline_us and (not room or job.request.job_class in self.no_room):
                self.held.jobs.append(job)  # a long queue must not cost a choice for each job at each event
            elif self.jobs.get(job.request.job) is job:
                self.place(now, job)

    def _takes_jobs(self, now: int, worker: WorkerRecord) -> bool:
        open_now = now >= worker.ejected_until_us and now >= worker.backoff_until_us
        return open_now and (not worker.in_flight or self._has_room(now, worker))

    def _pick_worker(self, now: int, job: JobRecord) -> WorkerRecord | None:
        """Age-priced rotation: the lowest x ln q among the eligible; equal costs go to the larger age."""
        # Own jobs come too seldom to learn from: one failure tells, unsafe jobs go where others ended well.
        self.thin = self.estimates.fewer_jobs_than_workers(now)
        was_sparse, self.sparse = self.sparse, self.estimates.fewer_jobs_in_flight_than_workers(now)
        changed = abs(self.estimates.rate - self.weighted_rate) > self.weighted_rate / 5
        if changed or self.sparse != was_sparse:
            # A weight for each worker at each arrival cost more than all else.
            self.weighted_rate = self.estimates.rate
            for worker in self.workers.values():
                self._weigh_age(worker)
        if not self.sends % 8:
            self._weigh_zones()
            self._weigh_unbound()
        unsafe = job.klass.repeat is api.Repeat.UNSAFE
        choice = PlacementCriteria(
            job, unsafe, HINT_MARGIN * job.request.work_hint_us, self.derived.max_idle_us
        )
        # To a cold worker, were it warm: half its budget, as chance adds to it.
        pace = (
            self.settings.fall_multiple
            / 2
            * self.estimates.worker_throughput(now)
            / self.estimates.counted_gap_share(now)
        )
        return self._cheapest(now, choice, pace)

    def _cheapest(self, now: int, choice: PlacementCriteria, cold_pace: float) -> WorkerRecord | None:
        """Each arrival goes over all workers: what most of them need is in the loop itself, without calls."""
        job, klass, sends = choice.job, choice.job.klass, self.sends
        bound = klass.bound
        best, best_key, best_rank, best_cost = None, (9, 0.0, 0, 0.0), 9, 0.0
        no_room = True
        for worker in self.workers.values():
            if now < worker.slow_start_until_us and not self._cold_turn(now, worker, cold_pace):
                continue
            cost = (sends - worker.last_send) * worker.age_weight * worker.zone.cost_factor
            if cost > best_cost and not best_rank:
                continue  # what follows only raises the cost
            if now < worker.ejected_until_us or now < worker.backoff_until_us:
                continue
            if bound and not klass.open_to(worker.entry):
                continue
            if worker.in_flight and not self._has_room(now, worker):
                continue
            no_room = False
            cost = self._full_cost(now, worker, choice, cost)
            rank = self._rank(now, worker, choice)
            if rank < best_rank or (rank == best_rank and cost <= best_cost):
                key = (rank, cost, worker.last_send, worker.tie_breaker)
                if key < best_key and self._fits(now, worker, job):
                    best, best_key, best_rank, best_cost = worker, key, rank, cost
        if no_room:
            self.no_room.add(job.request.job_class)
        return best

    def _full_cost(self, now: int, worker: WorkerRecord, choice: PlacementCriteria, cost: float) -> float:
        """The cost of an age (below 0), raised by all that speaks against the worker."""
        idle_limit = choice.max_idle_us
        if idle_limit < inf and (worker.in_flight or now - worker.connection_used_us > idle_limit):
            cost = (self.sends - worker.last_send) * worker.age_weight * worker.zone.new_connection_factor
        if now < worker.slow_start_until_us:
            cost *= self.estimates.slow_start_share(now, worker)
        factor = self.unbound_factor if worker.serves_bound_classes and not choice.job.klass.bound else 1.0
        cost *= (1 - worker.error_share) ** 8 * factor if self.thin else factor
        full = worker.class_backoff_until_us and now < worker.class_backoff_until_us.get(
            choice.job.request.job_class, 0
        )
        # What has failed is tried again by jobs that may be repeated.
        if full or now < worker.suspected_until_us or (worker.consecutive_ejections and choice.unsafe):
            cost /= BACK_OFF
        return cost

    def _rank(self, now: int, worker: WorkerRecord, choice: PlacementCriteria) -> int:
        """Workers of a lower rank go first, whatever they cost."""
        # With a hint, those that make the aim with half as much again go before tight fits.
        hint = choice.padded_hint_us
        rank = 2 if hint > 0 and now + worker.unit_time * hint > choice.job.objective_us else 0
        # Where starts are not told, one with an own job out is less surely ready than one without.
        if worker.in_flight and not self.settings.tells_start:
            rank += 1
        if self.thin and choice.unsafe:
            proven = worker.last_completion_us or now < worker.slow_start_until_us
            rank += worker.error_share > 0.1 or not proven
        return rank

    def _has_room(self, now: int, worker: WorkerRecord) -> bool:
        """Whether own jobs show room here; reports and probes play no part."""
        if worker.waiting:
            return False  # an own job waits: full, frozen or gone
        limit = 1 if worker.consecutive_ejections else worker.concurrency_limit  # ejected before: one job
        if len(worker.in_flight) < limit:
            return True
        # Lost jobs take no room.
        silence = self.derived.progress_timeout_us or inf
        heard = (self.attempts[key].last_progress_us or now for key in worker.in_flight)
        return sum(now - at < silence for at in heard) < limit

    def _fits(self, now: int, worker: WorkerRecord, job: JobRecord) -> bool:
        """Whether this job may go to a worker with room: in time as far as a hint tells, no effect twice."""
        klass, hint = job.klass, job.request.work_hint_us
        if hint and not klass.late_worth and now + worker.unit_time * hint > job.objective_us:
            return False  # even its quickest would miss the aim
        if not job.may_have_run or klass.repeat is api.Repeat.SAFE:
            return True
        return klass.group_of(worker.entry) == job.group and now < job.group_until_us

    def _cold_turn(self, now: int, worker: WorkerRecord, pace: float) -> bool:
        """Whether it is time for a job to a cold worker: all nodes' shares add up to half its budget."""
        # In a lull all nodes would come to their turn, and the first burst send all of these at once.
        gap = min(now - worker.slow_start_credit_us, self.settings.tip_after_us)
        credit = worker.slow_start_credit + gap * pace * self.estimates.slow_start_share(now, worker)
        if worker.slow_start_credit < 1.0 <= credit:  # its turn, though cold
            phase = int(len(self.workers) / self.settings.cold_from)
            worker.last_send = min(worker.last_send, self.sends - phase)
        worker.slow_start_credit, worker.slow_start_credit_us = min(1.0, credit), now
        return credit >= 1.0

    def _weigh_age(self, worker: WorkerRecord) -> None:
        """The logarithm of q, the chance that a worker's last own job still runs when the next one comes."""
        self.estimates.update_times(worker)
        worker.age_weight = -log1p(1e6 / (worker.job_time_us * self.estimates.rate))
        if not self.sparse:
            # Slow ones leave less of the aim; who learns late from few jobs would swing between kinds.
            worker.age_weight /= worker.job_time_us

    def _weigh_zones(self) -> None:
        """How much ages count by zone."""
        # Own jobs wait longer in a zone that is full or far; a price counts as if so much time were lost.
        tick, zones = self.derived.tick_us, self.estimates.zones
        price = self.settings.cross_zone_price * (len(zones) > 1)
        cost = 4 * tick + self.job_times.mean_us
        waits = self.estimates.zone_waits(tick, price * cost)
        handshake = self.settings.handshake_price * cost
        # Sharper, thin nodes, which learn late, would leave a full zone all together and fill the next.
        power = 2 if self.thin else 8
        for wait, zone in zip(waits, zones.values(), strict=True):
            zone.cost_factor = (min(waits) / wait) ** power if price else 1.0
            zone.new_connection_factor = zone.cost_factor * (wait / (wait + handshake)) ** 8

    def _weigh_unbound(self) -> None:
        """How much ages count for unbound work at machines that bound classes want."""
        if not any(c.bound for c in self.settings.classes):
            return
        held = self.estimates.bound_speed_share(self.workers.values())
        # Bound jobs waited seconds behind others: all are loaded alike if this share of those goes there.
        share = max(0.0, 1 - (1 - held) * self.estimates.requested_us / self.estimates.unbound_us)
        self.unbound_factor = share * (1 - held) / (held * (1 - share)) if 0 < held < 1 else 1.0

    def _send(self, now: int, job: JobRecord, worker: WorkerRecord) -> None:
        klass, hint = job.klass, job.request.work_hint_us
        worker.last_send = self.sends
        self.sends += 1
        key, group = (job.request.job, job.attempts), klass.group_of(worker.entry)
        attempt = self.attempts[key] = Attempt(key, worker, now, job, len(worker.in_flight), group)
        worker.in_flight.add(key)
        worker.waiting = attempt if self.settings.tells_start else None
        worker.slow_start_credit = 0.0
        job.attempts += 1
        job.attempts_in_flight += 1
        if self.derived.can_cancel_unstarted and self._worth_withdrawing(job):
            # A keyed job has few places to go to: it moves if it waits longer than own jobs there usually do.
            usual_wait = worker.zone.value * (klass.repeat is api.Repeat.KEYED)
            wait = worker.min_start_delay_us + klass.aim_us // 4 + usual_wait
            self._set_attempt_timer(int(wait), timers.AttemptCheck.PROGRESS, attempt)
        if worker.connection_used_us and now - worker.last_response_us > TRUST_US:
            # A vanished machine leaves its connections open; a new one does not come up: the job never ran.
            self.actions.append(api.CloseIdle(worker.entry.address))
        worker.connection_used_us = now
        timeout = 0
        if hint and not klass.late_worth:
            # With a hint it is known when an answer turns worthless: its place serves another then.
            timeout = max(1, int(job.objective_us + 0.25 * klass.stretch * hint) - now)
        self.actions.append(api.Send(job.request.job, worker.entry.address, timeout))

    def _worth_withdrawing(self, job: JobRecord) -> bool:
        """Whether the price of waste lets jobs past use be withdrawn: some run on all the same."""
        mean, safe = self.job_times.mean_us, job.klass.repeat is api.Repeat.SAFE
        wasted = self.job_times.class_mean_us[job.request.job_class] if safe else mean
        return self.settings.waste_price * (wasted or 1.0) < CHEAP_WASTE * (mean or 1.0)

    def _withdraw(self, attempt: Attempt) -> None:
        attempt.cancel_requested = True
        self.actions.append(api.Cancel(*attempt.key))

    def _on_progress(self, now: int, event: api.JobStarted | api.JobProgress | api.StreamStarted) -> None:
        if attempt := self.attempts.get((event.job, event.attempt)):
            attempt.last_progress_us = attempt.worker.last_response_us = now
            if attempt.worker.waiting is attempt:
                self._attempt_started(now, attempt)
        if isinstance(event, api.StreamStarted):
            self.jobs.pop(event.job, None)  # the attempt is the client's now; nothing more is owed

    def _attempt_started(self, now: int, attempt: Attempt) -> None:
        worker, delay = attempt.worker, now - attempt.sent_us
        if usual := self.job_times.class_baseline_us[attempt.job.request.job_class]:
            self._set_attempt_timer(int(OVERDUE * usual), timers.AttemptCheck.OVERDUE, attempt)
        worker.waiting = None
        worker.min_start_delay_us = min(worker.min_start_delay_us or delay, delay)
        self._adapt_limit(now, attempt, delay - worker.min_start_delay_us, delay)
        self._place_held(now)

    def _on_client_gone(self, now: int, event: api.ClientGone) -> None:
        self.jobs.pop(event.job, None)

    def _on_attempt_ended(self, now: int, event: api.AttemptEnded) -> None:
        attempt, outcome = self.attempts.pop((event.job, event.attempt), None), event.outcome
        if attempt is None:
            return
        worker = attempt.worker
        worker.in_flight.discard(attempt.key)
        worker.waiting = None if worker.waiting is attempt else worker.waiting
        attempt.job.attempts_in_flight -= 1
        if (
            worker.concurrency_limit < 1 and outcome is not api.Outcome.FULL
        ):  # many nodes' jobs wait for each other there
            worker.backoff_until_us = now + int((1 / worker.concurrency_limit - 1) * worker.job_time_us)
        listed = self.workers.get(worker.entry.address, worker)
        listed.connection_used_us = now  # a connection has fallen idle there
        if listed.ejected_until_us == inf:
            self._shut(listed)
        self._judge(now, attempt, outcome, event.took_us)
        if event.final:
            self.jobs.pop(event.job, None)
        elif event.job in self.jobs:
            self._try_again(now, attempt, outcome)
        self._place_held(now)

    def _try_again(self, now: int, attempt: Attempt, outcome: api.Outcome) -> None:
        """An attempt has failed: another one, or the answer."""
        job, klass = attempt.job, attempt.job.klass
        if attempt.last_progress_us and not job.request.work_hint_us and not klass.late_worth:
            # It started and did not end: it is at least as long as it ran, and its aim grows with that.
            ran = now - attempt.last_progress_us + self.job_times.class_baseline_us[job.request.job_class]
            until = int(job.objective_us + max(0.0, klass.stretch - 1) * ran)
            job.queue_deadline_us = min(job.client_deadline_us - 1, max(job.queue_deadline_us, until))
        # Where workers shed work that they had begun, unsafe jobs ran twice after a 'full'.
        if not outcome.never_ran or (outcome is api.Outcome.FULL and self.settings.full_may_have_run):
            job.record_possible_run(attempt)
        if job.attempts_in_flight:
            return
        over = outcome in (api.Outcome.TIMEOUT, api.Outcome.NOT_SENT)
        if over or (job.may_have_run and klass.repeat is api.Repeat.UNSAFE):
            # A withdrawal that can't be confirmed, before its time is up: the client may move it at once.
            unconfirmed = attempt.cancel_requested and now < job.queue_deadline_us
            self._give_up(job, api.RefusalReason.ATTEMPT_ENDED, unconfirmed)
        else:
            self.place(now, job)

    def _judge(self, now: int, attempt: Attempt, outcome: api.Outcome, took_us: int) -> None:
        """What an outcome tells of the worker."""
        if not self.list_leased and outcome is api.Outcome.CONNECT_FAILED:
            return  # it was not written for want of the lease
        worker, late = attempt.worker, outcome is api.Outcome.TIMEOUT or attempt.cancel_requested
        if outcome in api.ANSWERED:
            worker.last_response_us = now
        elif (
            worker.last_response_us < attempt.sent_us and took_us >= self.settings.connect_timeout_us * 3 // 4
        ):
            self._probe(now, worker)
        if outcome is api.Outcome.COMPLETED:
            return self._completed(now, attempt, took_us)
        withdrawn_by_client = outcome in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT) and not late
        if withdrawn_by_client or attempt.sent_us < worker.readmitted_us:
            return  # it tells nothing, or is a job of before the worker was left out
        # A worker that loses answers looked dead: slow, full, shunned, and the others drowned (ledger site).
        silence = self.derived.progress_timeout_us
        lost = late and attempt.last_progress_us and 0 < silence <= now - attempt.last_progress_us
        full = outcome is api.Outcome.FULL
        if full:
            worker.class_backoff_until_us[attempt.job.request.job_class] = now + self.settings.cold_us
        elif not lost:
            slow = took_us if outcome is api.Outcome.TIMEOUT else 2 * worker.job_time_us
            self.estimates.add_job_time(now, worker, slow)
            self._weigh_age(worker)
        if full or (late and not lost):
            waited = took_us if attempt.cancel_requested else inf
            return self._adapt_limit(now, attempt, waited, waited)
        self._failed(now, attempt, outcome)

    def _completed(self, now: int, attempt: Attempt, took_us: int) -> None:
        worker = attempt.worker
        worker.add_success(now)
        self.retry_budget = min(MOST_RETRIES, self.retry_budget + RETRY_SHARE)
        if worker.ejected_until_us < inf:
            self.estimates.served.add(now, took_us, self.settings.cold_us)
        request, klass = attempt.job.request, attempt.job.klass
        self.estimates.add_completion(now, worker, request, took_us)
        self._weigh_age(worker)
        if not self.settings.tells_start:
            waited = self.estimates.infer_wait(worker, request, took_us)
            late = request.work_hint_us and took_us > klass.aim_us + klass.stretch * request.work_hint_us
            self._adapt_limit(now, attempt, inf if late else waited, waited)

    def _failed(self, now: int, attempt: Attempt, outcome: api.Outcome) -> None:
        """Fast failures must not look like speed: ejected, twice as long each time."""
        worker = attempt.worker
        worker.add_failure(outcome is api.Outcome.ERROR)
        unreachable = outcome is api.Outcome.CONNECT_FAILED
        if unreachable and self.thin:  # a lost zone is tried worker by worker else
            worker.zone.add(now, attempt.job.klass.aim_us, self.settings.cold_us)
        broken = unreachable or outcome is api.Outcome.RESET
        if (
            broken or worker.failure_share > 0.4 or worker.consecutive_ejections
        ) and now >= worker.ejected_until_us:
            self._eject(now, worker, outcome.value)

    def _eject(self, now: int, worker: WorkerRecord, why: str) -> None:
        out = sum(now < other.ejected_until_us < inf for other in self.workers.values())
        if 2 * out < len(self.workers):
            longest = max(self.settings.cold_us // 2, EJECT_US)
            wait = min(longest, self.settings.connect_timeout_us << worker.consecutive_ejections)
            worker.consecutive_ejections += 1
            worker.ejected_until_us = max(worker.ejected_until_us, now + wait)
            self.actions.append(api.Log(f"{worker.entry.address} ejected for {wait // 1000} ms: {why}"))

    def _probe(self, now: int, worker: WorkerRecord) -> None:
        """Nothing came from this worker, not even a refusal: ask it, if jobs there could be moved."""
        listed = self.workers.get(worker.entry.address) is worker
        if self.derived.can_check_health and listed and worker.in_flight and not worker.health_check_since_us:
            worker.health_check_since_us = now
            self.actions.append(api.Probe(worker.entry.address))

    def _on_probe_ended(self, now: int, event: api.ProbeEnded) -> None:
        """A machine that vanished never ends the jobs it holds: those safe to repeat are moved."""
        worker = self.workers.get(event.address)
        if worker is None or not worker.health_check_since_us:
            return
        worker.failed_health_checks += 1
        alive = event.alive or worker.last_response_us >= worker.health_check_since_us or not worker.in_flight
        if not alive and worker.failed_health_checks < 2:  # a pause of a busy machine can swallow one
            return self.actions.append(api.Probe(event.address))
        worker.health_check_since_us = worker.failed_health_checks = 0
        if alive:
            return
        worker.consecutive_ejections = max(worker.consecutive_ejections, SILENT_FAULTS)
        self._eject(now, worker, "silent")
        for key in sorted(worker.in_flight):
            attempt = self.attempts[key]
            safe = attempt.job.klass.repeat is api.Repeat.SAFE
            if safe and not attempt.cancel_requested and attempt.job.request.job in self.jobs:
                self._withdraw(attempt)

    def _adapt_limit(self, now: int, attempt: Attempt, waited_us: float, delay_us: float) -> None:
        """The limit grows while jobs start at once and falls when they wait (AIMD)."""
        worker, others, aim = attempt.worker, attempt.in_flight_at_send, attempt.job.klass.aim_us
        self.shed = min(0.8, max(0.0, self.shed + ((waited_us > aim) - 0.5) / 16))
        worker.zone.add(now, min(aim, max(0.0, delay_us)), self.settings.cold_us)
        if waited_us >= aim / 4:
            fallen = min(worker.concurrency_limit, others or 0.7 * worker.concurrency_limit)
            worker.concurrency_limit = max(self.derived.min_concurrency_limit, fallen)
        elif others + 1 >= worker.concurrency_limit - 0.5:
            worker.concurrency_limit = (
                worker.concurrency_limit + 1.0
                if worker.concurrency_limit >= 1
                else min(1.0, worker.concurrency_limit + 0.15)
            )

    def _on_timer(self, now: int, event: api.TimerFired) -> None:
        if event.tag == timers.QUEUE_CHECK:
            self._check_held(now)
        elif event.tag == timers.LIST_POLL:
            if not self.subscribed:
                self.actions.append(api.Subscribe())
        elif timer := timers.parse(event.tag):
            attempt = self.attempts.get((timer.job, timer.attempt))
            if attempt is not None and not attempt.cancel_requested:
                check = (
                    self._check_progress
                    if timer.check is timers.AttemptCheck.PROGRESS
                    else self._check_overdue
                )
                check(now, attempt)

    def _check_overdue(self, now: int, attempt: Attempt) -> None:
        """Workers that lose their answers still take jobs and start them: each one more was lost too."""
        if attempt.worker.last_completion_us < attempt.last_progress_us:
            attempt.worker.suspected_until_us = now + self.settings.cold_us
            self._probe(now, attempt.worker)

    def _check_held(self, now: int) -> None:
        late = [job for job in self.held.jobs if now > job.latest_start_us]
        for job in late:  # worth less: others go first
            job.latest_start_us = job.client_deadline_us
            job.order *= job.klass.late_worth or 1.0
        if late:
            self.held.sort()
        self._place_held(now)
        if self.held.jobs:
            self._set_held_timer(now, min(job.queue_deadline_us for job in self.held.jobs))

    def _check_progress(self, now: int, attempt: Attempt) -> None:
        """Withdraw an own job that does not start, to move it or as too late, or one whose answer is lost."""
        due = self._withdrawal_due(now, attempt)
        if now >= due:
            self.retry_budget -= 1
            self._withdraw(attempt)
        elif due < inf:
            self._set_attempt_timer(int(due - now) + 1, timers.AttemptCheck.PROGRESS, attempt)

    def _withdrawal_due(self, now: int, attempt: Attempt) -> float:
        """When to withdraw an attempt as things stand; without end: not at all."""
        job, klass, silence = attempt.job, attempt.job.klass, self.derived.progress_timeout_us
        if attempt.worker.waiting is attempt:
            if self.sparse and klass.repeat is api.Repeat.SAFE:
                return inf  # a second choice knows no more, and what is withdrawn may run on
            in_time = attempt.key[1] == 0 and now < job.queue_deadline_us and self.retry_budget >= 1
            if in_time and self.list_leased and self._can_move(now, attempt):
                return now  # own jobs can't tell where those of others are; a start that does not come does
            if not klass.late_worth:  # a jam must not be spent on late answers
                due = (
                    job.objective_us
                    + (klass.stretch - 1) * self.job_times.class_mean_us[job.request.job_class] / 4
                )
                return due if self.retry_budget >= 1 else max(due, now + self.derived.tick_us)
        if klass.late_worth and klass.repeat is api.Repeat.SAFE and attempt.last_progress_us and silence:
            return attempt.last_progress_us + silence
        return inf

    def _can_move(self, now: int, attempt: Attempt) -> bool:
        """Whether the job may run elsewhere: a keyed one needs a free worker of its group."""
        klass = attempt.job.klass
        if klass.repeat is not api.Repeat.KEYED:
            return klass.repeat is api.Repeat.SAFE
        return any(
            now >= worker.ejected_until_us
            and not worker.in_flight
            and klass.group_of(worker.entry) == attempt.group
            for worker in self.workers.values()
        )
