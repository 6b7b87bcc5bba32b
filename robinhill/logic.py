"""All decisions of robinhill; the interface (types, events, actions) is in robinhill/api.py.

The ordinary path is the age-priced rotation of docs/design.md: the eligible worker with the lowest q^x
gets the job, where x is the number of own sends since that worker last got one, q = rate / (rate + speed).
"""

import random
from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp, expm1, inf, log1p
from typing import Any

from robinhill import api
from robinhill.means import PRIOR, Mean, Weighed, low

UNKNOWN_JOB_US = 1_000_000.0  # the design page: 1 job a second where no speed is known
BACK_OFF = 64.0  # an age counts so much less for a class just turned away: picked only if most others were
CALL_US = 50_000  # spread of first calls to the directory for each node: a call's time there
HOLD = 1.5  # how far a job may wait into what its own length, where no hint tells it, adds to its aim
TRUST_US = 250_000  # an open connection to a worker not heard from for so long proves nothing
OVERDUE = 2.0  # of its class's usual time: a job that runs longer, none ending there meanwhile, casts doubt
EJECT_US = 4_000_000  # the longest time out; or half the time in which workers warm up, if longer
SILENT_FAULTS = 3  # a worker that answers no probe stays out as long as after so many failures
IN_LINE = 3.0  # own jobs of all nodes at a worker where they wait; below one each, it rests between two
RETRY_SHARE, MOST_RETRIES = 0.1, 10.0  # retry budget: withdrawals for each completion; withdrawn, some run on
CHEAP_WASTE = 0.1  # price of waste under which jobs past use are withdrawn: gains at 0.02, loses at 0.2


@dataclass(slots=True, eq=False)
class _Seat:
    """What this node knows of one worker from its own jobs."""

    entry: api.Worker
    rank: float
    zone: Weighed  # how long own jobs wait in its zone
    last: int = 0  # number of the own send that went here last; far back if none did
    own: Mean = field(default_factory=Mean)  # time from send to completion of own jobs here
    time_us: float = UNKNOWN_JOB_US  # the same, leaning on the worker's kind; its inverse is the speed
    lnq: float = -1.0
    cold_us: int = 0  # cold until then at most
    shut_us: float = 0  # gets nothing before: cold, ejected, or not ready at all
    out: set[tuple[int, int]] = field(default_factory=set)  # attempts out
    waiting: "_Flight | None" = None  # of these, the one not told to have started
    limit: float = 1.0  # how many own jobs it takes without making them wait; below 1, one now and then
    base_us: float = 0.0  # shortest time from send to start: the way there
    quick: float = 0.0  # time for a unit of hinted work at its quickest, from own jobs here
    unit: float = 0.0  # the same, leaning on the kind of machine
    errors: float = 0.0  # smoothed share of own jobs that failed fast
    failed: float = 0.0  # the same, of those that the worker itself answered with an error
    faults: int = 0  # ejections in a row
    full: dict[int, int] = field(default_factory=dict)  # classes turned away here: each alone backs off
    wanted: bool = False  # a class that is bound to some machines is open to it
    heard_us: int = 0  # last word of the worker itself: a start, an answer
    done_us: int = 0  # last completion there
    doubt_us: int = 0  # its answers seem to be lost: until then it is picked only if most others can't be
    asked_us: int = 0  # since when it is being probed; 0: it is not
    unanswered: int = 0  # probes of these that failed
    rest_us: int = 0  # gets nothing before, as own jobs waited there
    back_us: int = 0  # when it was last taken back
    credit: float = 0.0  # while it is cold: how far it has come to the next own job, and as of when
    credit_us: int = 0
    idle_us: int = 0  # when an own connection was last used there; 0: none can be open


@dataclass(slots=True, eq=False)
class _Job:
    """A request that this node owes an answer."""

    request: api.Request
    until_us: int = 0  # held no longer than this
    end_us: int = 0  # when its client gives up
    aim_us: float = 0.0  # when its answer turns late, where a hint tells
    tries: int = 0
    pending: int = 0
    ran: bool = False  # an attempt may have run
    group: int = -1  # where a keyed job that may have run can be repeated
    group_until_us: int = 0
    order: float = 0.0  # held jobs of the most worth for their work go first
    late_us: int = 0  # one that starts after it will be late


@dataclass(slots=True, eq=False)
class _Flight:
    """An attempt that is out."""

    seat: _Seat
    sent_us: int
    job: _Job
    others: int  # own jobs at the worker when this one was sent
    group: int  # of a keyed job: the worker's group when it was sent
    dropped: bool = False  # withdrawn before it began
    heard_us: int = 0  # last word of its start or progress; 0: none. Silent for silence_us after: it is lost


class Balancer:
    """Events and clock in, actions out; deterministic for a seed, no input or output of its own."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.s, self.random = settings, random.Random(seed)
        self.out: list[api.Action] = []
        self.seats: dict[str, _Seat] = {}
        self.jobs: dict[int, _Job] = {}
        self.flights: dict[tuple[int, int], _Flight] = {}
        self.held: list[tuple[float, int, _Job]] = []
        self.sends = self.rate_us = self.began_us = 0  # own sends; when the rate was last smoothed; start
        self.rate, self.priced_rate = 1e6 / settings.cold_us, 0.0  # own jobs a second; when last priced
        self.mean_us, self.class_us = 0.0, [0.0] * len(settings.classes)  # smoothed job time, of each class
        self.usual_us = [0.0] * len(settings.classes)  # the lowest class_us seen, rising slowly
        self.kinds: dict[int, Mean] = {}  # job time by kind of machine
        self.served, self.ready, self.given_up = Mean(), 1, 0  # own completions; usable workers; given up
        self.least = min(1.0, max(0.2, IN_LINE / settings.fleet_size))  # the lowest limit of a worker
        self.thin = False  # fewer own jobs than workers in the window, as of the last pick
        self.quick: dict[int, float] = {}  # low quantile of time taken over work by kind of machine
        self.zones: dict[int, Weighed] = {}  # wait of own jobs by zone
        self.unit, self.hint_us = Mean(), 0.0  # job time on a worker of weight 1; smoothed hint, if any
        self.full_us = [0] * len(settings.classes)  # the longest time left seen: that of a first try
        self.subscribed, self.list_tries, self.wake_us = False, 0, 0  # wake: when held jobs are looked at
        self.call_us = min(settings.ask_every_us // 2, CALL_US * settings.fleet_size)
        self.tick_us = min(c.aim_us for c in settings.classes) // 4 + 1000
        self.looks, self.silence_us = self.s.tells_start and self.s.cancelling, self.s.progress_us * 3 // 2
        self.shed, self.worth, self.budget = 0.0, 0.0, 1.0  # refused share; worth for work; retry budget
        self.asked_us, self.free_us = 2 * UNKNOWN_JOB_US, UNKNOWN_JOB_US  # own work asked for; unbound work
        self.spare = 1.0  # how much ages of unbound work count at machines that bound classes want
        self.no_room: set[int] = set()  # classes for which picks found no worker with room
        self.handlers: dict[type, Callable[[int, Any], object]] = {
            api.Arrived: self._arrived, api.AttemptEnded: self._ended, api.WorkersListed: self._listed,
            api.StreamStarted: self._started, api.JobStarted: self._started, api.JobProgress: self._started,
            api.ClientGone: lambda now, event: self.jobs.pop(event.job, None), api.TimerFired: self._timer,
            api.ProbeEnded: self._probed}

    def start(self, now: int) -> list[api.Action]:
        """To be called once, before any event."""
        # All nodes asking at once after a common start drown the directory: each has its own moment.
        self.rate_us, self.began_us, wait = now, now, int(self.random.random() * self.call_us)
        return [api.SetTimer(wait, "list")] if self.s.must_subscribe else []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; return what is to be done."""
        self.out = []
        self.handlers[type(event)](now, event)
        return self.out

    def avoided(self, now: int) -> set[str]:
        """The workers that get nothing, or come last, for what they did; it changes nothing."""
        return {a for a, x in self.seats.items() if now < x.doubt_us or (x.faults and now < x.shut_us < inf)}

    def _listed(self, now: int, event: api.WorkersListed) -> None:
        if event.kind is api.ListKind.FAILED:
            # Asked again with back-off, well inside the time after which silence counts as being told.
            wait = min(self.s.ask_every_us // 2, self.call_us << min(self.list_tries, 6))
            self.subscribed, self.list_tries = False, self.list_tries + 1
            return self.out.append(api.SetTimer(int(wait * (0.5 + self.random.random() / 2)), "list"))
        self.subscribed, self.list_tries = self.subscribed or event.kind is not api.ListKind.CACHED, 0
        listed = {entry.address for entry in event.workers}
        for entry in event.workers:
            seat = self.seats.get(entry.address)
            if seat and (seat.entry.kind, seat.entry.zone) != (entry.kind, entry.zone):
                self._leave(seat)  # the same address is another machine now
                seat = None
            known = seat is not None and entry.started_us <= seat.entry.started_us
            if seat is None:
                zone = self.zones.setdefault(entry.zone, Weighed())
                seat = self.seats[entry.address] = _Seat(entry, self.random.random(), zone)
            seat.entry, turn = entry, max(len(listed), len(self.seats))
            seat.cold_us = entry.started_us + self.s.cold_us if entry.started_us else 0
            if not known:
                # Never used it costs nothing; cold or in a zone with a price, it starts in a phase of a turn.
                seat.credit, seat.credit_us, seat.failed = self.random.random(), now, 0.0
                phased = now < seat.cold_us or self.s.handshake_price or (
                    entry.zone != self.s.zone and self.s.cross_zone_price)
                seat.last = self.sends - 1 - (int(seat.rank * turn) if phased else 1000 * (turn + 1))
            if entry.state is not api.WorkerState.READY:
                self._leave(seat)
            elif not known or seat.shut_us == inf:
                back, seat.shut_us = seat.shut_us == inf, 0
                if back:
                    # Back after it was left out: what befell it or own jobs there before tells nothing now.
                    seat.faults, seat.errors, seat.doubt_us, seat.waiting, seat.back_us = 0, 0.0, 0, None, now
                    seat.out, seat.full, seat.last = set(), {}, self.sends - 1 - int(seat.rank * turn)
            seat.wanted = any(c.bound and c.open_to(entry) for c in self.s.classes)
            self._price(seat)
        self._weigh()
        for address, seat in list(self.seats.items()):
            unlisted = event.kind is not api.ListKind.CHANGES and address not in listed
            if unlisted or seat.entry.state is api.WorkerState.GONE:
                self._leave(self.seats.pop(address))
        ready = max(1, sum(x.shut_us < inf for x in self.seats.values()))
        # A job done counts by the workers of its time: what many bore is not what each of few can bear.
        self.served.count, self.ready = self.served.count * ready / self.ready, ready
        self._release(now)

    def _leave(self, seat: _Seat) -> None:
        """Nothing more goes to a worker that drains or left; its connections close as they fall idle."""
        seat.shut_us = inf
        # Idle ones stayed open past the time allowed (deploy days): closed at the notice and each outcome.
        if seat.idle_us and self.s.close_within_us is not None:
            seat.idle_us = 0
            self.out.append(api.CloseIdle(seat.entry.address))

    def _pace(self, now: int, seen: float) -> float:
        """Own jobs a microsecond to a cold worker, were it warm: a share of what all bear, or of one job."""
        served, window, tip = self.served, self.s.cold_us, self.s.tip_after_us
        share = served.count * exp((served.at_us - now) / window) / (seen * window * self.ready)
        # One short job must not stand for all; and `_earned` leaves out a part of the gaps between own jobs.
        share = max(share, 1 / (self.s.fleet_size * served.lean(UNKNOWN_JOB_US)))
        return self.s.fall_multiple / 2 * share / max(0.5, -expm1(-self.rate * tip / (1e6 * seen)))

    def _earned(self, now: int, seat: _Seat, pace: float) -> bool:
        """Whether it is time for a job to a cold worker: all nodes' shares add up to half its budget."""
        # In a lull all nodes would come to their turn, and the first burst send all of these at once.
        credit = seat.credit + min(now - seat.credit_us, self.s.tip_after_us) * pace * self._warm(now, seat)
        if seat.credit < 1.0 <= credit:  # its turn, though cold
            seat.last = min(seat.last, self.sends - int(len(self.seats) / self.s.cold_from))
        seat.credit, seat.credit_us = min(1.0, credit), now
        return credit >= 1.0

    def _warm(self, now: int, seat: _Seat) -> float:
        """The share of its speed that a cold worker has for sure."""
        return 1 - (1 - self.s.cold_from) * min(1.0, (seat.cold_us - now) / self.s.cold_us)

    def _arrived(self, now: int, event: api.Arrived) -> None:
        request, number, hint = event.request, event.request.job_class, event.request.work_hint_us
        klass, window, left = self.s.classes[number], self.s.cold_us, request.time_left_us
        rate = self.rate * exp((self.rate_us - now) / window) + 1e6 / window
        self.rate, self.rate_us = max(1e6 / window, rate), now
        job = self.jobs[request.job] = _Job(request)
        if now < request.group_until_us:  # an earlier request of its key may have run
            job.ran, job.group, job.group_until_us = True, request.group, request.group_until_us
        # With less time than a first try it is a further one, which has spent the rest, if one was given up.
        self.full_us[number] = full = max(self.full_us[number], left)
        if (spent := full - left) > self.tick_us:
            spent *= self.given_up > 0 or request.client_repeat
            self.given_up = max(0, self.given_up - 1)
        aim = klass.aim_us - spent
        expected = self.class_us[number] or self.mean_us or UNKNOWN_JOB_US
        job.aim_us = now + aim + klass.stretch * hint
        if hint:
            self.hint_us += (hint - self.hint_us) / 32 if self.hint_us else hint
            if self.mean_us:
                expected = self.mean_us * hint / self.hint_us
                aim += int(max(0.0, klass.stretch * hint - expected))
        self.asked_us, self.free_us = self.asked_us + expected, self.free_us + expected * (not klass.bound)
        worth = klass.worth / (1.0 if self.s.value_by_work else expected)
        self.worth += (worth - self.worth) / 32 if self.worth else worth
        # Held while it can make its aim. In an overload that own waits show, a share is refused at once.
        shed = self.shed and self.random.random() * worth < self.shed * self.worth
        useful = aim + (0 if hint else int(HOLD * max(0.0, klass.stretch - 1) * self.usual_us[number]))
        useful = max(aim, int(left - expected)) if klass.late_worth else useful
        job.order, job.until_us, job.end_us = -worth, now + min(left - 1, useful), now + left
        job.until_us, job.late_us = min(job.until_us, job.group_until_us or job.until_us), int(now + aim)
        self._give_up(job) if shed else self._place(now, job)

    def _place(self, now: int, job: _Job) -> None:
        """Send the job, or hold it for a worker, or end it."""
        if now >= job.until_us or job.tries >= self.s.max_attempts:
            self._give_up(job)
        elif (seat := self._pick(now, job)) is not None:
            self._send(now, job, seat)
        else:
            insort(self.held, (job.order, job.request.job, job))
            self._wake(now, job.until_us)

    def _room(self, now: int, seat: _Seat) -> bool:
        """Whether own jobs show room here; reports and probes play no part."""
        # An own job waits: full, frozen or gone. Lost jobs take no room. Ejected before: one job.
        limit, silence = (1 if seat.faults else seat.limit), self.silence_us or inf
        heard = (self.flights[x].heard_us or now for x in seat.out)
        return not seat.waiting and (len(seat.out) < limit or sum(now - x < silence for x in heard) < limit)

    def _fits(self, now: int, seat: _Seat, job: _Job) -> bool:
        """Whether this job may go to a worker with room: in time as far as a hint tells, no effect twice."""
        klass, hint = self._class(job), job.request.work_hint_us
        if hint and not klass.late_worth and now + seat.unit * hint > job.aim_us:
            return False  # even its quickest would miss the aim
        anywhere = not job.ran or klass.repeat is api.Repeat.SAFE
        return anywhere or (self._class(job).group_of(seat.entry) == job.group and now < job.group_until_us)

    def _pick(self, now: int, job: _Job) -> _Seat | None:
        """Age-priced rotation: the lowest x ln q among the eligible; equal costs go to the larger age."""
        if abs(self.rate - self.priced_rate) > self.priced_rate / 5:
            self.priced_rate = self.rate  # a price for each worker at each arrival cost more than all else
            for seat in self.seats.values():
                self._price(seat)
        if not self.sends % 8:
            self._weigh()
        bound = (klass := self._class(job)).bound
        seen = -expm1((self.began_us - now) / self.s.cold_us) or 1.0  # of the window: little after a start
        risky, pace, best = klass.repeat is api.Repeat.UNSAFE, self._pace(now, seen), None
        # Own jobs come too seldom to learn from: one failure tells, unsafe jobs go where others ended well.
        thin = self.thin = 1e6 * self.ready * seen > self.rate * self.s.cold_us
        sends, hint, aim, told = self.sends, 1.5 * job.request.work_hint_us, job.aim_us, self.s.tells_start
        keep = self.s.keepalive_us - self.tick_us if self.s.handshake_price else inf
        best_key, best_rank, best_cost, full = (9, 0.0, 0, 0.0), 9, 0.0, True
        for seat in self.seats.values():
            if now < seat.cold_us and not self._earned(now, seat, pace):
                continue
            cost = (sends - seat.last) * seat.lnq * seat.zone.factor
            # What follows only raises the cost; a bound class goes to what is open to it alone.
            if (cost > best_cost and not best_rank) or now < seat.shut_us or now < seat.rest_us or (
                    bound and not klass.open_to(seat.entry)) or (seat.out and not self._room(now, seat)):
                continue
            full = False
            if keep < inf and (seat.out or now - seat.idle_us > keep):
                cost = (sends - seat.last) * seat.lnq * seat.zone.fresh
            if now < seat.cold_us:
                cost *= self._warm(now, seat)
            cost *= (1 - thin * seat.failed) ** 8 * (self.spare if seat.wanted and not bound else 1.0)
            full_here = seat.full and now < seat.full.get(job.request.job_class, 0)
            # What has failed is tried again by jobs that may be repeated.
            if full_here or now < seat.doubt_us or (seat.faults and risky):
                cost /= BACK_OFF
            # With a hint, those that make the aim with half as much again go before tight fits.
            # Where starts are not told, one with an own job out is less surely ready than one without.
            rank = 2 * (hint > 0 and now + seat.unit * hint > aim) + (not told and len(seat.out) > 0)
            rank += thin and risky and (seat.failed > 0.1 or not (seat.done_us or now < seat.cold_us))
            if rank < best_rank or (rank == best_rank and cost <= best_cost):
                key = (rank, cost, seat.last, seat.rank)
                if key < best_key and self._fits(now, seat, job):
                    best, best_key, best_rank, best_cost = seat, key, rank, cost
        self.no_room |= {job.request.job_class} if full else set()
        return best

    def _weigh(self) -> None:
        """How much ages count by zone, and for unbound work at machines that bound classes want."""
        # Own jobs wait longer in a zone that is full or far; a price counts as if so much time were lost.
        cross, new = self.s.cross_zone_price * (len(self.zones) > 1), self.s.handshake_price
        cost, waits = 4 * self.tick_us + self.mean_us, []
        for away, zone in ((number != self.s.zone, zone) for number, zone in self.zones.items()):
            waits.append(self.tick_us / 16 + zone.lean(self.tick_us * away) + cross * cost * away)
        for wait, zone in zip(waits, self.zones.values(), strict=True):
            # Sharper, thin nodes, which learn late, would leave a full zone all together and fill the next.
            zone.factor = (min(waits) / wait) ** (2 if self.thin else 8) if cross else 1.0
            zone.fresh = zone.factor * (wait / (wait + new * cost)) ** 8
        if any(c.bound for c in self.s.classes):
            speeds = [(1 / x.time_us, x.wanted) for x in self.seats.values() if x.shut_us < inf]
            held = sum(v for v, wanted in speeds if wanted) / (sum(v for v, _ in speeds) or 1.0)
            # Bound jobs waited seconds behind others: all are loaded alike if this share of those goes there.
            share = max(0.0, 1 - (1 - held) * self.asked_us / self.free_us)
            self.spare = share * (1 - held) / (held * (1 - share)) if 0 < held < 1 else 1.0

    def _class(self, job: _Job) -> api.JobClass:
        return self.s.classes[job.request.job_class]

    def _send(self, now: int, job: _Job, seat: _Seat) -> None:
        key, seat.last = (job.request.job, job.tries), self.sends
        job.tries, job.pending, self.sends = job.tries + 1, job.pending + 1, self.sends + 1
        group = (klass := self._class(job)).group_of(seat.entry)
        flight = self.flights[key] = _Flight(seat, now, job, len(seat.out), group)
        seat.out.add(key)
        used, seat.idle_us = seat.idle_us, now
        seat.waiting, seat.credit = flight if self.s.tells_start else None, 0.0
        hint = job.request.work_hint_us
        # With a hint it is known when an answer turns worthless: its place serves another then.
        useful = max(1, int(job.aim_us + 0.25 * klass.stretch * hint) - now)
        timeout = useful if hint and not klass.late_worth else 0
        wasted = self.class_us[job.request.job_class] if klass.repeat is api.Repeat.SAFE else self.mean_us
        if self.looks and self.s.waste_price * (wasted or 1.0) < CHEAP_WASTE * (self.mean_us or 1.0):
            # A keyed job has few places to go to: it moves if it waits longer than own jobs there usually do.
            wait = seat.base_us + klass.aim_us // 4 + seat.zone.value * (klass.repeat is api.Repeat.KEYED)
            self.out.append(api.SetTimer(int(wait), f"look {key[0]} {key[1]}"))
        if used and now - seat.heard_us > TRUST_US:
            # A vanished machine leaves its connections open; a new one does not come up: the job never ran.
            self.out.append(api.CloseIdle(seat.entry.address))
        self.out.append(api.Send(job.request.job, seat.entry.address, timeout))

    def _give_up(self, job: _Job, soon: bool = False) -> None:
        """One final answer; a refusal only where it is true that trying again does no harm."""
        self.jobs.pop(job.request.job, None)
        self.given_up += 1
        klass = self._class(job)
        keyed_all = (klass.repeat, klass.scope) == (api.Repeat.KEYED, api.Scope.ALL)
        if (job.ran or job.pending) and klass.repeat is not api.Repeat.SAFE and not keyed_all:
            return self.out.append(api.Fail(job.request.job))
        # Late tries worth nothing are spared by the longest advice, others come back after a job's time.
        wait = min(self.s.max_retry_after_us, int(self.mean_us) if klass.late_worth else 1 << 60)
        self.out.append(api.Refuse(job.request.job, wait * self.s.retry_after * (not soon)))

    def _started(self, now: int, event: api.JobStarted | api.JobProgress | api.StreamStarted) -> None:
        if flight := self.flights.get((event.job, event.attempt)):
            flight.heard_us = flight.seat.heard_us = now
        if flight and flight.seat.waiting is flight:
            seat, delay = flight.seat, now - flight.sent_us
            if usual := self.usual_us[flight.job.request.job_class]:
                self.out.append(api.SetTimer(int(OVERDUE * usual), f"overdue {event.job} {event.attempt}"))
            seat.waiting, seat.base_us = None, min(seat.base_us or delay, delay)
            self._adapt(now, flight, delay - seat.base_us, delay)
            self._release(now)
        if isinstance(event, api.StreamStarted):
            self.jobs.pop(event.job, None)  # the attempt is the client's now; nothing more is owed

    def _adapt(self, now: int, flight: _Flight, waited_us: float, delay_us: float) -> None:
        """The limit grows while jobs start at once and falls when they wait (AIMD)."""
        seat, aim = flight.seat, self._class(flight.job).aim_us
        self.shed = min(0.8, max(0.0, self.shed + ((waited_us > aim) - 0.5) / 16))
        seat.zone.add(now, min(aim, max(0.0, delay_us)), self.s.cold_us)
        if waited_us >= aim / 4:
            seat.limit = max(self.least, min(seat.limit, flight.others or 0.7 * seat.limit))
        elif flight.others + 1 >= seat.limit - 0.5:
            seat.limit = seat.limit + 1.0 if seat.limit >= 1 else min(1.0, seat.limit + 0.15)

    def _ended(self, now: int, event: api.AttemptEnded) -> None:
        if (flight := self.flights.pop((event.job, event.attempt), None)) is None:
            return
        seat, job, outcome = flight.seat, flight.job, event.outcome
        seat.out.discard((event.job, event.attempt))
        seat.waiting = None if seat.waiting is flight else seat.waiting
        job.pending -= 1
        if seat.limit < 1 and outcome is not api.Outcome.FULL:  # many nodes' jobs wait for each other there
            seat.rest_us = now + int((1 / seat.limit - 1) * seat.time_us)
        there = self.seats.get(seat.entry.address, seat)
        there.idle_us = now  # a connection has fallen idle there
        if there.shut_us == inf:
            self._leave(there)
        self._judge(now, flight, outcome, event.took_us)
        if event.final:
            self.jobs.pop(event.job, None)
        elif event.job in self.jobs:
            klass = self._class(job)
            if flight.heard_us and not job.request.work_hint_us and not klass.late_worth:
                # It started and did not end: it is at least as long as it ran, and its aim grows with that.
                ran = now - flight.heard_us + self.usual_us[job.request.job_class]
                until = int(job.aim_us + max(0.0, klass.stretch - 1) * ran)
                job.until_us = min(job.end_us - 1, max(job.until_us, until))
            # Where workers shed work that they had begun, unsafe jobs ran twice after a 'full'.
            if not outcome.never_ran or (outcome is api.Outcome.FULL and self.s.full_may_have_run):
                until = flight.sent_us + klass.memory_us
                job.group_until_us = min(job.group_until_us, until) if job.ran else until
                job.ran, job.group = True, flight.group
                if klass.repeat is api.Repeat.KEYED:
                    job.until_us = min(job.until_us, job.group_until_us)  # past it no worker may serve it
            if not job.pending:
                over = outcome in (api.Outcome.TIMEOUT, api.Outcome.NOT_SENT)
                over = over or (job.ran and klass.repeat is api.Repeat.UNSAFE)
                # A withdrawal that can't be confirmed, before its time is up: the client may move it at once.
                soon = flight.dropped and now < job.until_us
                self._give_up(job, soon) if over else self._place(now, job)
        self._release(now)

    def _judge(self, now: int, flight: _Flight, outcome: api.Outcome, took_us: int) -> None:
        """What an outcome tells of the worker."""
        seat, late = flight.seat, outcome is api.Outcome.TIMEOUT or flight.dropped
        if outcome in api.ANSWERED:
            seat.heard_us = now
        elif seat.heard_us < flight.sent_us and took_us >= self.s.connect_timeout_us * 3 // 4:
            self._suspect(now, seat)
        if outcome is api.Outcome.COMPLETED:
            seat.errors, seat.failed = 0.75 * seat.errors, 0.75 * seat.failed
            seat.faults = seat.faults if seat.errors >= 0.25 else 0
            seat.done_us, seat.doubt_us, self.budget = now, 0, min(MOST_RETRIES, self.budget + RETRY_SHARE)
            if seat.shut_us < inf:
                self.served.add(now, took_us, self.s.cold_us)
            return self._learn(now, flight, took_us)
        idle = outcome in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT) and not late
        if idle or flight.sent_us < seat.back_us:
            return  # it tells nothing, or is a job of before the worker was left out
        # A worker that loses answers looked dead: slow, full, shunned, and the others drowned (ledger site).
        lost = late and flight.heard_us and 0 < self.silence_us <= now - flight.heard_us
        if full := outcome is api.Outcome.FULL:
            seat.full[flight.job.request.job_class] = now + self.s.cold_us
        elif not lost:
            self._smooth(now, seat, took_us if outcome is api.Outcome.TIMEOUT else 2 * seat.time_us)
        if (late and not lost) or full:
            return self._adapt(now, flight, *[took_us if flight.dropped else inf] * 2)
        # Fast failures must not look like speed: ejected while most others are not, twice as long each time.
        seat.errors += (1 - seat.errors) / 4
        seat.failed += (1 - seat.failed) / 4 * (outcome is api.Outcome.ERROR)
        broken = outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET)
        if outcome is api.Outcome.CONNECT_FAILED and self.thin:  # a lost zone is tried worker by worker else
            seat.zone.add(now, self._class(flight.job).aim_us, self.s.cold_us)
        if (broken or seat.errors > 0.4 or seat.faults) and now >= seat.shut_us:
            self._eject(now, seat, outcome.value)

    def _eject(self, now: int, seat: _Seat, why: str) -> None:
        if 2 * sum(now < x.shut_us < inf for x in self.seats.values()) < len(self.seats):
            wait = min(max(self.s.cold_us // 2, EJECT_US), self.s.connect_timeout_us << seat.faults)
            seat.faults, seat.shut_us = seat.faults + 1, max(seat.shut_us, now + wait)
            self.out.append(api.Log(f"{seat.entry.address} ejected for {wait // 1000} ms: {why}"))

    def _suspect(self, now: int, seat: _Seat) -> None:
        """Nothing came from this worker, not even a refusal: ask it, if jobs there could be moved."""
        listed = self.seats.get(seat.entry.address) is seat
        if listed and self.s.probes and self.s.cancelling and not seat.asked_us and seat.out:
            seat.asked_us = now
            self.out.append(api.Probe(seat.entry.address))

    def _probed(self, now: int, event: api.ProbeEnded) -> None:
        """A machine that vanished never ends the jobs it holds: those safe to repeat are moved."""
        if not (seat := self.seats.get(event.address)) or not seat.asked_us:
            return
        asked, seat.unanswered = seat.asked_us, seat.unanswered + 1
        if event.alive or seat.heard_us >= asked or not seat.out:
            seat.asked_us = seat.unanswered = 0
            return
        if seat.unanswered < 2:  # a pause of a busy machine can swallow one
            return self.out.append(api.Probe(event.address))
        seat.asked_us = seat.unanswered = 0
        seat.faults = max(seat.faults, SILENT_FAULTS)
        self._eject(now, seat, "silent")
        for key in sorted(seat.out):
            job, flight = self.flights[key].job, self.flights[key]
            if self._class(job).repeat is api.Repeat.SAFE and not flight.dropped and key[0] in self.jobs:
                flight.dropped = True
                self.out.append(api.Cancel(*key))

    def _learn(self, now: int, flight: _Flight, took_us: int) -> None:
        """A completion: normalise its time by what such a job takes, clip it, smooth it."""
        seat, job, number = flight.seat, flight.job, flight.job.request.job_class
        mean, hint, before = self.mean_us, job.request.work_hint_us, self.class_us[number]
        expected = (mean * hint / self.hint_us if hint else before or mean) or max(1.0, took_us)
        clipped = min(max(1, took_us), 4 * expected)
        # One huge job must not banish a worker: clipped against what such jobs take.
        self._smooth(now, seat, clipped / expected * (mean or expected))
        self.mean_us += (clipped - mean) / 32 if mean else took_us
        self.class_us[number] += (clipped - before) / 32 if before else took_us
        usual, mean = self.usual_us[number], self.class_us[number]
        self.usual_us[number] = min(mean, usual + (mean - usual) / 1024) if usual else mean
        if not self.s.tells_start:
            # No word of starts: what exceeds the time of such a job at its quickest was waiting.
            klass, work, kind = self.s.classes[number], hint or self.class_us[number], seat.entry.kind
            ratio, own = took_us / max(1.0, work), seat.own.count
            quick = self.quick[kind] = low(self.quick.get(kind, ratio), ratio)
            seat.quick = low(seat.quick or ratio, ratio)
            seat.unit = (own * seat.quick + PRIOR * quick) / (own + PRIOR)
            # Without hints a lasting jam became normal: measured against the lowest mean of such jobs.
            waited = took_us - 1.3 * seat.unit * work if hint else took_us - 1.3 * self.usual_us[number]
            late = hint and took_us > klass.aim_us + klass.stretch * hint
            self._adapt(now, flight, inf if late else waited, waited)

    def _smooth(self, now: int, seat: _Seat, took_us: float) -> None:
        """Smooth the worker's time for a job over the window; its inverse is the speed."""
        kind, weighted = self.kinds.setdefault(seat.entry.kind, Mean()), took_us * seat.entry.weight
        for mean, value in ((seat.own, took_us), (kind, took_us), (self.unit, weighted)):
            mean.add(now, value, self.s.cold_us)
        self._price(seat)

    def _price(self, seat: _Seat) -> None:
        """The logarithm of q. With few own jobs a worker leans on its kind, and that on the list's weight."""
        entry, kind = seat.entry, self.kinds.get(seat.entry.kind)
        prior = self.unit.value / max(1e-6, entry.weight) or UNKNOWN_JOB_US
        seat.time_us = max(1.0, seat.own.lean(kind.lean(prior) if kind else prior))
        seat.unit = seat.unit or self.quick.get(entry.kind, 0.0)
        # What is slow leaves less of the aim: the age counts by the speed once more.
        seat.lnq = -log1p(1e6 / (seat.time_us * self.rate)) / seat.time_us

    def _wake(self, now: int, until_us: int) -> None:
        """A timer for held jobs: at the first that must be answered, and often enough to see room."""
        due = max(now + 1, min(until_us, now + self.tick_us))
        if self.wake_us <= now or due < self.wake_us:
            self.wake_us = due
            self.out.append(api.SetTimer(due - now, "held"))

    def _release(self, now: int) -> None:
        """Give held jobs their worker, the most worth first, or their answer in time."""
        held, self.held = self.held, []
        self.no_room.clear()
        free = held and any(now >= x.shut_us and now >= x.rest_us and (not x.out or self._room(now, x))
                            for x in self.seats.values())
        for item in held:
            if (not free or item[2].request.job_class in self.no_room) and now < item[2].until_us:
                self.held.append(item)  # a long queue must not cost a pick for each job at each event
            elif self.jobs.get(item[1]) is item[2]:
                self._place(now, item[2])

    def _timer(self, now: int, event: api.TimerFired) -> None:
        if event.tag == "held":
            if late := [job for _, _, job in self.held if now > job.late_us]:  # worth less: others go first
                for job in late:
                    job.late_us, job.order = job.end_us, job.order * (self._class(job).late_worth or 1.0)
                self.held = sorted((job.order, number, job) for _, number, job in self.held)
            self._release(now)
            if self.held:
                self._wake(now, min(job.until_us for _, _, job in self.held))
        elif event.tag == "list" and not self.subscribed:
            self.out.append(api.Subscribe())
        elif event.tag.startswith(("look ", "overdue ")):
            what, number, attempt = event.tag.split()
            if (flight := self.flights.get(key := (int(number), int(attempt)))) is None or flight.dropped:
                return
            if what == "look":
                self._look(now, key, flight)
            elif flight.seat.done_us < flight.heard_us:
                # Workers that lose their answers still take jobs and start them: each one more was lost too.
                flight.seat.doubt_us = now + self.s.cold_us
                self._suspect(now, flight.seat)

    def _look(self, now: int, key: tuple[int, int], flight: _Flight) -> None:
        """Withdraw an own job that does not start, to move it or as too late, or one whose answer is lost."""
        job, number, due = flight.job, flight.job.request.job_class, inf
        klass, waiting = self.s.classes[number], flight.seat.waiting is flight
        safe, keyed = klass.repeat is api.Repeat.SAFE, klass.repeat is api.Repeat.KEYED
        room = safe or (keyed and any(now >= x.shut_us and not x.out and klass.group_of(x.entry) ==
                                      flight.group for x in self.seats.values()))
        if waiting and room and key[1] == 0 and now < job.until_us and self.budget >= 1:
            due = now  # own jobs can't tell where those of others are; a start that does not come does
        elif waiting and not klass.late_worth:  # a jam must not be spent on late answers
            due = job.aim_us + (klass.stretch - 1) * self.class_us[number] / 4
            due = due if self.budget >= 1 else max(due, now + self.tick_us)
        elif klass.late_worth and safe and flight.heard_us and self.silence_us:
            due = flight.heard_us + self.silence_us
        if now >= due:
            flight.dropped, self.budget = True, self.budget - 1
            self.out.append(api.Cancel(*key))
        elif due < inf:
            self.out.append(api.SetTimer(int(due - now) + 1, f"look {key[0]} {key[1]}"))
