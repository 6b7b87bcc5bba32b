"""A worker in simulated time: cores that its jobs share, slots, memory, a queue in order, cold starts and
pauses.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol

from robinhill.checker.journal import UNAVOIDABLE_STATUS, Event, EventType, Journal
from robinhill.model.describe import Fleet, Machine


class Agenda(Protocol):
    """Simulated time, or this machine's."""

    @property
    def now(self) -> int: ...
    def after(self, delay_us: float, call: Callable[..., Any], *arguments: Any) -> None: ...


Tell = Callable[[str, "Job"], None]  # started, done, lost, returned or failed


@dataclass(slots=True, eq=False)
class Job:
    """An attempt at a worker. ``tell`` takes what becomes of it to the scheduler that sent it."""

    request: str
    kind: str
    work_us: float  # on a core of speed 1
    slots: int
    memory: float
    tell: Tell
    told: bool = True  # its scheduler knows of the worker's last start
    left_us: float = 0.0
    fails: bool = False  # it ends in an error
    quiet: bool = False  # called off: nobody is told
    scheduler: str = ""  # that sent it, by name
    program: int = -1  # that it needs; -1: none


@dataclass(slots=True, eq=False)
class Worker:
    """Jobs on more slots than cores share the cores evenly (processor sharing); waiting ones start in
    order.
    """

    name: str
    zone: int
    kind: int
    machine: Machine
    speed: float
    fleet: Fleet
    engine: Agenda
    journal: Journal
    started_us: int = 0  # 0: long ago, so it is warm
    lifecycle: str = "active"
    silent: bool = False
    slow: float = 1.0
    error_share: float = 0.0
    cut: set[int] = field(default_factory=set)  # zones whose schedulers can't reach it
    running: list[Job] = field(default_factory=list)
    waiting: deque[Job] = field(default_factory=deque)
    programs: OrderedDict[int, None] = field(default_factory=OrderedDict)  # kept; the last used one last
    connections: int = 0
    fell: bool = False
    busy_us: float = 0.0  # core time spent on jobs
    wasted_us: float = 0.0  # of it, on jobs that nobody was told of
    _at_us: int = 0  # when what the running jobs have left was last brought up to date
    _turn: int = 0  # numbers the planned ends: an older one than the newest is void
    _burden_us: float = 0.0  # core time owed for connections, before any job goes on
    _pressed: deque[tuple[int, float, bool]] = field(default_factory=deque)

    # Taking

    def reachable(self, zone: int) -> bool:
        """Whether a scheduler of a zone gets any word through."""
        return not self.silent and zone not in self.cut

    def connect(self) -> bool:
        """A new connection: it costs the worker work, and there are only so many."""
        if self.connections >= self.machine.connections:
            return False
        self.connections += 1
        self._advance()
        self._burden_us += self.fleet.connect_cost_ms * 1000
        self._plan()
        return True

    def disconnect(self) -> None:
        self.connections -= 1

    def take(self, job: Job) -> bool:
        """Whether it takes the job; else it never ran here."""
        self._note(EventType.SENT, job)
        self._press(job)
        fits = job.slots <= self.machine.slots and job.memory <= self.machine.memory
        full = len(self.waiting) >= self.machine.queue and (self.waiting or not self._fits(job))
        if self.silent or self.lifecycle != "active" or full or not fits:
            self._note(EventType.RETURNED, job)
            return False
        job.left_us = job.work_us
        self.waiting.append(job)
        self._pump()
        return True

    def cancel(self, request: str) -> None:
        """Waiting work is dropped, where workers do so; what runs goes on, and nobody is told."""
        self._emit(Event(self.engine.now / 1e6, EventType.CANCELLED, request, self.name))
        for job in [j for j in self.waiting if j.request == request and self.fleet.cancel_drops]:
            self.waiting.remove(job)
        for job in [*self.running, *self.waiting]:
            if job.request == request:
                job.quiet = True

    # What goes wrong

    def vanish(self) -> None:
        """It says nothing more; what it had is lost without a word."""
        self._advance()
        self.silent = True
        for job in [*self.running, *self.waiting]:
            self.wasted_us += job.work_us - job.left_us
            self._note(EventType.ENDED, job)
        self.running.clear()
        self.waiting.clear()
        self.programs.clear()
        self._pressed.clear()
        self._burden_us = 0.0
        self._turn += 1

    def come_back(self) -> None:
        """It starts again, cold."""
        self.silent, self.fell, self.started_us, self._at_us = False, False, self.engine.now, self.engine.now
        self.lifecycle = "active"
        self._emit(Event(self.engine.now / 1e6, EventType.STARTED, worker=self.name))

    def restart(self) -> None:
        """A release: what it runs is killed, and its agent tells; then it starts anew."""
        lost = [*self.running, *self.waiting]
        self.vanish()
        for job in lost:
            if not job.quiet:
                job.tell("lost", job)
        self.come_back()

    def drain(self) -> None:
        """It takes nothing new, and hands back what waits where workers do so."""
        self.lifecycle = "leaving"
        if self.fleet.drain_returns:
            for job in self.waiting:
                self._note(EventType.RETURNED, job)
                job.tell("returned", job)
            self.waiting.clear()

    def pace(self, slow: float) -> None:
        """From now on work takes so many times as long."""
        self._advance()
        self.slow = slow
        self._plan()

    # Running

    def warm(self) -> float:
        """The share of its capacity that it has now."""
        if not self.started_us:
            return 1.0
        passed = (self.engine.now - self.started_us) / (self.fleet.cold_s * 1e6)
        return min(1.0, self.fleet.cold_from + (1 - self.fleet.cold_from) * passed)

    def _pump(self) -> None:
        """Start waiting jobs in order; the first waits until it fits."""
        self._advance()
        while self.waiting:
            job = self.waiting.popleft()
            if not self._fits(job):
                self.waiting.appendleft(job)
                break
            self.running.append(job)
            self._fetch(job)
            self._note(EventType.EXECUTION_STARTED, job)
            job.tell("started", job)
        self._plan()

    def _fetch(self, job: Job) -> None:
        """A program that is not here is fetched while the job holds its slots, and the oldest one dropped."""
        if job.program < 0:
            return
        if job.program not in self.programs:
            job.left_us += self.fleet.fetch_ms * 1000
        self.programs[job.program] = None
        self.programs.move_to_end(job.program)
        if len(self.programs) > self.machine.programs:
            self.programs.popitem(last=False)

    def _fits(self, job: Job) -> bool:
        """Whether it can run beside what runs now."""
        slots = sum(j.slots for j in self.running) + job.slots
        memory = sum(j.memory for j in self.running) + job.memory
        return slots <= self.machine.slots and memory <= self.machine.memory

    def _rate(self) -> float:
        """Work that one job gets done in a unit of time."""
        if not self.running:
            return 0.0
        share = min(1.0, self.machine.cores / len(self.running))
        return share * self.speed * self.warm() / self.slow

    def _advance(self) -> None:
        """Bring what the running jobs have left up to now."""
        passed, self._at_us = self.engine.now - self._at_us, self.engine.now
        if passed <= 0 or not self.running:
            return
        paid = min(self._burden_us, passed * 0.5)  # connections are set up beside the jobs, on half the time
        self._burden_us -= paid
        done = (passed - paid) * self._rate()
        for job in self.running:
            job.left_us -= done
        self.busy_us += done * len(self.running)

    def _plan(self) -> None:
        """Plan the next end; while it warms up, at short steps, as its speed changes."""
        self._turn += 1
        if not self.running:
            return
        rate = self._rate()
        soonest = min(job.left_us for job in self.running) / rate if rate else inf
        delay = max(1.0, soonest + self._burden_us)
        if self.warm() < 1:
            delay = min(delay, 50_000)
        self.engine.after(delay + 0.999, self._step, self._turn)

    def _step(self, turn: int) -> None:
        if turn != self._turn:
            return
        self._advance()
        over = [job for job in self.running if job.left_us <= 1.0]
        if over:
            self.running = [job for job in self.running if job.left_us > 1.0]
            for job in over:
                self._note(EventType.ENDED, job)
                if job.quiet:
                    self.wasted_us += job.work_us
                else:
                    job.tell("failed" if job.fails else "done", job)
        self._pump()

    def _press(self, job: Job) -> None:
        """A cold worker that is sent more than it can bear within the window falls over and stays down.

        It counts as pushed only where two thirds of that came from schedulers that had been told of its
        start.
        """
        if self.warm() >= 1 or self.fell:
            return
        now, window = self.engine.now, self.fleet.tip_after_s * 1e6
        self._pressed.append((now, job.work_us, job.told))
        while self._pressed[0][0] < now - window:
            self._pressed.popleft()
        able = self.warm() * min(self.machine.cores, self.machine.slots) * self.speed * window
        # One job alone is no burst, however long it turns out to be.
        pressed = sum(w for _, w, _ in self._pressed)
        if pressed - max(w for _, w, _ in self._pressed) > self.fleet.fall_multiple * able:
            self.fell = True
            told = sum(w for _, w, knew in self._pressed if knew)
            excused = UNAVOIDABLE_STATUS if told * 3 < pressed * 2 else 0
            self._emit(Event(now / 1e6, EventType.OVERLOADED, worker=self.name, status=excused))
            self.vanish()

    def _note(self, what: EventType, job: Job) -> None:
        at = self.engine.now / 1e6
        self._emit(Event(at, what, job.request, self.name, kind=job.kind, scheduler=job.scheduler))

    def _emit(self, event: Event) -> None:
        self.journal.add(event)
