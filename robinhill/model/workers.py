"""A simulated worker: cores shared by its jobs, slots, memory, a FIFO queue, slow start and faults."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol

from robinhill.checker.journal import UNAVOIDABLE_STATUS, Event, EventType, Journal
from robinhill.model.describe import Fleet, Machine


class Clock(Protocol):
    """The current time and delayed calls, in simulated time or on this machine's clock."""

    @property
    def now(self) -> int: ...
    def after(self, delay_us: float, call: Callable[..., Any], *arguments: Any) -> None: ...


ReportCallback = Callable[[str, "Job"], None]  # state (started, done, lost, returned or failed) and job


@dataclass(slots=True, eq=False)
class Job:
    """An attempt at a worker. ``report`` sends each change of its state to the scheduler."""

    request: str
    kind: str
    work_us: float  # running time on a core of speed 1
    slots: int
    memory: float
    report: ReportCallback
    start_known: bool = True  # the scheduler knew of the worker's last start when it sent the job
    remaining_us: float = 0.0  # part of ``work_us`` that is not done yet
    fails: bool = False  # the job ends in an error
    cancelled: bool = False  # the end of the job is not reported
    scheduler: str = ""  # name of the scheduler that sent the job
    program: int = -1  # number of the program that the job needs; -1: none


@dataclass(slots=True, eq=False)
class Worker:
    """A worker. Running jobs share its cores evenly if there are more jobs than cores (processor sharing).
    Waiting jobs start in the order of their arrival.
    """

    name: str
    zone: int
    kind: int
    machine: Machine
    speed: float
    fleet: Fleet
    engine: Clock
    journal: Journal
    started_us: int = 0  # 0: long enough ago that its slow start is over
    lifecycle: str = "active"
    silent: bool = False
    slowdown: float = 1.0
    error_share: float = 0.0
    unreachable_zones: set[int] = field(default_factory=set)  # their schedulers can't reach the worker
    running: list[Job] = field(default_factory=list)
    waiting: deque[Job] = field(default_factory=deque)
    programs: OrderedDict[int, None] = field(default_factory=OrderedDict)  # cached; least recently used first
    connections: int = 0
    overloaded: bool = False
    busy_us: float = 0.0  # core time spent on jobs
    wasted_us: float = 0.0  # work on cancelled jobs, and on jobs lost in a failure
    _advanced_at_us: int = 0  # time up to which `remaining_us` of the running jobs is computed
    _plan_number: int = 0  # number of the last planned step; planned steps with a lower number are void
    _connect_work_us: float = 0.0  # core time that connection setup still needs
    _recent_sends: deque[tuple[int, float, bool]] = field(default_factory=deque)  # time, work, start_known

    # Connections and jobs

    def reachable(self, zone: int) -> bool:
        """Whether messages between this worker and the schedulers of a zone are delivered."""
        return not self.silent and zone not in self.unreachable_zones

    def connect(self) -> bool:
        """Accept a connection, which costs core time. Returns False at the limit of connections."""
        if self.connections >= self.machine.connections:
            return False
        self.connections += 1
        self._advance()
        self._connect_work_us += self.fleet.connect_cost_ms * 1000
        self._plan_step()
        return True

    def disconnect(self) -> None:
        self.connections -= 1

    def take(self, job: Job) -> bool:
        """Queue a job. Returns False, and never runs the job, if it is rejected: the worker is silent or
        draining, its queue is full, or the job needs more slots or memory than the worker has.
        """
        self._record_job(EventType.SENT, job)
        self._check_overload(job)
        fits = job.slots <= self.machine.slots and job.memory <= self.machine.memory
        full = len(self.waiting) >= self.machine.queue and (self.waiting or not self._fits(job))
        if self.silent or self.lifecycle != "active" or full or not fits:
            self._record_job(EventType.RETURNED, job)
            return False
        job.remaining_us = job.work_us
        self.waiting.append(job)
        self._start_waiting()
        return True

    def cancel(self, request: str) -> None:
        """Cancel a request. Its waiting jobs are removed from the queue if ``cancel_drops`` is set. Its other
        jobs are executed without reporting their end.
        """
        self._record(Event(self.engine.now / 1e6, EventType.CANCELLED, request, self.name))
        for job in [j for j in self.waiting if j.request == request and self.fleet.cancel_drops]:
            self.waiting.remove(job)
        for job in [*self.running, *self.waiting]:
            if job.request == request:
                job.cancelled = True

    # Faults

    def fail_silently(self) -> None:
        """Become silent: lose all jobs without a report, and exchange no messages until `restart_cold`."""
        self._advance()
        self.silent = True
        for job in [*self.running, *self.waiting]:
            self.wasted_us += job.work_us - job.remaining_us
            self._record_job(EventType.ENDED, job)
        self.running.clear()
        self.waiting.clear()
        self.programs.clear()
        self._recent_sends.clear()
        self._connect_work_us = 0.0
        self._plan_number += 1

    def restart_cold(self) -> None:
        """Start the failed or drained worker again: it accepts jobs, and its slow start begins."""
        self.silent, self.overloaded, self.started_us, self._advanced_at_us = (
            False,
            False,
            self.engine.now,
            self.engine.now,
        )
        self.lifecycle = "active"
        self._record(Event(self.engine.now / 1e6, EventType.STARTED, worker=self.name))

    def restart(self) -> None:
        """Restart for a release: kill all jobs, report them as lost unless cancelled, and start again."""
        lost = [*self.running, *self.waiting]
        self.fail_silently()
        for job in lost:
            if not job.cancelled:
                job.report("lost", job)
        self.restart_cold()

    def drain(self) -> None:
        """Reject new jobs. If the fleet's ``drain_returns`` is set, return the waiting jobs to schedulers."""
        self.lifecycle = "leaving"
        if self.fleet.drain_returns:
            for job in self.waiting:
                self._record_job(EventType.RETURNED, job)
                job.report("returned", job)
            self.waiting.clear()

    def set_slowdown(self, slowdown: float) -> None:
        """Multiply the running times of jobs by a factor from now on."""
        self._advance()
        self.slowdown = slowdown
        self._plan_step()

    # Execution

    def warm_share(self) -> float:
        """Return the share of its capacity that the worker has now; below 1 during slow start."""
        if not self.started_us:
            return 1.0
        passed = (self.engine.now - self.started_us) / (self.fleet.cold_s * 1e6)
        return min(1.0, self.fleet.cold_from + (1 - self.fleet.cold_from) * passed)

    def _start_waiting(self) -> None:
        """Start waiting jobs in order, up to the first one for which slots or memory are missing."""
        self._advance()
        while self.waiting:
            job = self.waiting.popleft()
            if not self._fits(job):
                self.waiting.appendleft(job)
                break
            self.running.append(job)
            self._load_program(job)
            self._record_job(EventType.EXECUTION_STARTED, job)
            job.report("started", job)
        self._plan_step()

    def _load_program(self, job: Job) -> None:
        """Add the time to fetch the job's program to its work unless the program is cached, and evict the
        least recently used program from a full cache.
        """
        if job.program < 0:
            return
        if job.program not in self.programs:
            job.remaining_us += self.fleet.fetch_ms * 1000
        self.programs[job.program] = None
        self.programs.move_to_end(job.program)
        if len(self.programs) > self.machine.programs:
            self.programs.popitem(last=False)

    def _fits(self, job: Job) -> bool:
        """Whether the slots and memory not used by running jobs suffice for a job."""
        slots = sum(j.slots for j in self.running) + job.slots
        memory = sum(j.memory for j in self.running) + job.memory
        return slots <= self.machine.slots and memory <= self.machine.memory

    def _job_rate(self) -> float:
        """Return the work that each running job completes per unit of time."""
        if not self.running:
            return 0.0
        share = min(1.0, self.machine.cores / len(self.running))
        return share * self.speed * self.warm_share() / self.slowdown

    def _advance(self) -> None:
        """Update the remaining work of the running jobs to the current time."""
        passed, self._advanced_at_us = self.engine.now - self._advanced_at_us, self.engine.now
        if passed <= 0 or not self.running:
            return
        connecting = min(self._connect_work_us, passed * 0.5)  # connection setup gets at most half the time
        self._connect_work_us -= connecting
        done = (passed - connecting) * self._job_rate()
        for job in self.running:
            job.remaining_us -= done
        self.busy_us += done * len(self.running)

    def _plan_step(self) -> None:
        """Plan a step at the next end of a job; earlier during slow start, as the speed changes meanwhile."""
        self._plan_number += 1
        if not self.running:
            return
        rate = self._job_rate()
        soonest = min(job.remaining_us for job in self.running) / rate if rate else inf
        delay = max(1.0, soonest + self._connect_work_us)
        if self.warm_share() < 1:
            delay = min(delay, 50_000)
        self.engine.after(delay + 0.999, self._step, self._plan_number)

    def _step(self, plan_number: int) -> None:
        if plan_number != self._plan_number:
            return
        self._advance()
        ended = [job for job in self.running if job.remaining_us <= 1.0]
        if ended:
            self.running = [job for job in self.running if job.remaining_us > 1.0]
            for job in ended:
                self._record_job(EventType.ENDED, job)
                if job.cancelled:
                    self.wasted_us += job.work_us
                else:
                    job.report("failed" if job.fails else "done", job)
        self._start_waiting()

    def _check_overload(self, job: Job) -> None:
        """Make the worker fail silently if it is sent too much work during its slow start.

        The limit is ``fall_multiple`` times its present capacity, over the last ``tip_after_s`` seconds. The
        schedulers are responsible for the overload only if those that knew of the worker's start sent two
        thirds of the work or more.
        """
        if self.warm_share() >= 1 or self.overloaded:
            return
        now, window = self.engine.now, self.fleet.tip_after_s * 1e6
        self._recent_sends.append((now, job.work_us, job.start_known))
        while self._recent_sends[0][0] < now - window:
            self._recent_sends.popleft()
        capacity = self.warm_share() * min(self.machine.cores, self.machine.slots) * self.speed * window
        # The longest job is left out, as a single job of any length is no overload.
        sent = sum(w for _, w, _ in self._recent_sends)
        if sent - max(w for _, w, _ in self._recent_sends) > self.fleet.fall_multiple * capacity:
            self.overloaded = True
            sent_knowingly = sum(w for _, w, start_known in self._recent_sends if start_known)
            status = UNAVOIDABLE_STATUS if sent_knowingly * 3 < sent * 2 else 0
            self._record(Event(now / 1e6, EventType.OVERLOADED, worker=self.name, status=status))
            self.fail_silently()

    def _record_job(self, what: EventType, job: Job) -> None:
        at = self.engine.now / 1e6
        self._record(Event(at, what, job.request, self.name, kind=job.kind, scheduler=job.scheduler))

    def _record(self, event: Event) -> None:
        self.journal.add(event)
