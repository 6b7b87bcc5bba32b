"""Measures gain and cost of straggler detection: `python -m benchmarks.gangs [--seeds N]`. Under a minute.

A seeded discrete-event simulation without sockets calls the real straggler detection of `robinhill.gang`:
gangs of 8 to 16 members arrive at several schedulers, member by member. There are two kinds of workers, and
one worker in ten is slow by a factor of 2 to 5. Schedulers share progress after a delay, or not at all. Each
seed is simulated with and without straggler detection, with the same jobs. A straggler call is a verdict that
a job lags at its worker; it is correct if the worker is one of the slow ones. Recall is the fraction of all
job runs at slow workers that were called. Seeds from 1 on were used for tuning; published figures use seeds
from 101 on.
"""

import argparse
import heapq
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from robinhill.api import Repeat
from robinhill.gang.gangs import Gangs
from robinhill.gang.membership import Membership
from robinhill.gang.messages import Move
from robinhill.gang.options import GangOptions
from robinhill.gang.share import Progress

SECOND_US = 1_000_000
WORKER_COUNT = 40
SLOTS_PER_WORKER = 4
TIME_PER_WORK_UNIT = {"new": 1.0, "old": 1.4}  # relative run time of a job, by kind of worker
MESSAGE_DELAY_US = 2_000  # delay of each message between scheduler and worker
FIRST_SEED = 101


@dataclass(frozen=True)
class Scenario:
    """One simulated situation. ``share_delay_us``: delay between schedulers, None: they share nothing."""

    name: str
    share_delay_us: int | None = 50_000
    slow_fraction: float = 0.1  # fraction of the workers that are slow
    reports_progress: bool = True  # whether workers report the progress of each running job
    common_slowdown: float = 1.0  # factor that applies to all workers, in the middle third of the time
    repeat: Repeat = Repeat.SAFE
    gangs: int = 60
    schedulers: int = 3
    hint_error: float = 0.2  # standard deviation of the logarithm of a job's work relative to its hint
    load: float = 0.25  # fraction of the fleet's capacity
    detects_stragglers: bool = True
    seed_fraction: float = 1.0  # fraction of the seeds that are simulated


SCENARIOS = (
    Scenario("shared after 50 ms"),
    Scenario("shared after 1 s", share_delay_us=SECOND_US, seed_fraction=0.4),
    Scenario("nothing shared", share_delay_us=None, seed_fraction=0.4),
    Scenario("one scheduler", schedulers=1, seed_fraction=0.4),
    Scenario("no progress reports", reports_progress=False, seed_fraction=0.4),
    Scenario("unsafe jobs", repeat=Repeat.UNSAFE, seed_fraction=0.2),
    Scenario("all 3x slow for a while", slow_fraction=0.0, common_slowdown=3.0),
    Scenario(
        "all 3x slow for a while, no progress reports",
        slow_fraction=0.0,
        common_slowdown=3.0,
        reports_progress=False,
    ),
    Scenario("no worker is slow", slow_fraction=0.0, seed_fraction=0.4),
    Scenario("slow workers, and all 3x slow for a while", common_slowdown=3.0, seed_fraction=0.2),
)


@dataclass(eq=False)
class Worker:
    name: str
    kind: str
    slowdown: float  # factor on the time per unit of work
    running: set[int] = field(default_factory=set)
    queue: list[tuple[int, int]] = field(default_factory=list)  # job, attempt


@dataclass(eq=False)
class Job:
    number: int
    gang: int
    membership: Membership
    scheduler: int
    hint_us: float
    work_us: float
    attempt: int = -1
    worker: Worker | None = None
    remaining_us: float = 0.0  # work that the present attempt has not done yet
    slot_time_us: float = 0.0  # time that the present attempt has occupied a worker's slot
    completed: bool = False


@dataclass
class Result:
    durations_us: list[int] = field(default_factory=list)  # duration of each completed gang
    false_by_basis: Counter[str] = field(default_factory=Counter)  # false calls, by the basis of the verdict
    calls: set[tuple[int, str]] = field(default_factory=set)  # straggler calls: job, worker
    runs_at_slow: set[tuple[int, str]] = field(default_factory=set)  # job, slow worker that started it
    slow_workers: set[str] = field(default_factory=set)
    wasted_us: float = 0.0  # slot time of withdrawn attempts
    total_slot_time_us: float = 0.0  # slot time of all attempts
    moves: int = 0
    evidence: list[tuple[str, str]] = field(default_factory=list)  # worker, observer

    @property
    def true_calls(self) -> int:
        return sum(worker in self.slow_workers for _, worker in self.calls)


class Simulation:
    """Workers and schedulers in simulated time."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        # A separate random generator, so that the jobs are the same with and without straggler detection.
        self.placement_rng = random.Random(seed + 1)
        self.now_us = SECOND_US
        self.events: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.event_count = 0
        self.result = Result()
        self.workers = []
        slow = set(self.rng.sample(range(WORKER_COUNT), round(scenario.slow_fraction * WORKER_COUNT)))
        for i in range(WORKER_COUNT):
            slowdown = self.rng.uniform(2, 5) if i in slow else 1.0
            self.workers.append(Worker(f"w{i}", ("new", "old")[i % 2], slowdown))
        self.result.slow_workers = {w.name for w in self.workers if w.slowdown > 1}
        options = GangOptions(tells_start=True)
        self.schedulers = [Gangs(options, f"s{i}") for i in range(scenario.schedulers)]
        self.in_flight = [dict.fromkeys((w.name for w in self.workers), 0) for _ in self.schedulers]
        self.jobs: list[Job] = []
        self.pending_members: dict[int, int] = {}
        self.first_arrival_us: dict[int, int] = {}
        mean_us = 12 * 2.3 * SECOND_US * statistics.mean(TIME_PER_WORK_UNIT.values())
        self.gang_interval_us = mean_us / (WORKER_COUNT * SLOTS_PER_WORKER * scenario.load)
        self.duration_us = int(self.gang_interval_us * scenario.gangs)

    def schedule(self, delay_us: float, action: Callable[..., None], *args: object) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now_us + max(0, int(delay_us)), self.event_count, action, args))

    def time_per_work_unit(self, worker: Worker) -> float:
        third = self.duration_us // 3
        common = self.scenario.common_slowdown if third <= self.now_us - SECOND_US < 2 * third else 1.0
        return TIME_PER_WORK_UNIT[worker.kind] * worker.slowdown * common

    def run(self) -> Result:
        arrival_us = 0.0
        for gang in range(self.scenario.gangs):
            arrival_us += self.rng.expovariate(1 / self.gang_interval_us)
            size = self.rng.randint(8, 16)
            for index in range(size):
                hint_us = 2 * SECOND_US * self.rng.lognormvariate(0, 0.5)
                work_us = hint_us * self.rng.lognormvariate(0, self.scenario.hint_error)
                membership = Membership(f"g{gang}", size, index)
                scheduler = self.rng.randrange(len(self.schedulers))
                job = Job(len(self.jobs), gang, membership, scheduler, hint_us, work_us)
                self.jobs.append(job)
                self.schedule(arrival_us + self.rng.uniform(0, 50_000), self.job_arrived, job)
            self.pending_members[gang] = size
        if self.scenario.detects_stragglers:
            for i in range(len(self.schedulers)):
                self.schedule(self.rng.uniform(0, 250_000), self.detect_stragglers, i)
        while self.events and any(self.pending_members.values()):
            self.now_us, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self.result

    def job_arrived(self, job: Job) -> None:
        self.first_arrival_us.setdefault(job.gang, self.now_us)
        gangs = self.schedulers[job.scheduler]
        gangs.joined(self.now_us, job.number, job.membership, self.scenario.repeat, int(job.hint_us))
        self.place(job, set())

    def place(self, job: Job, avoid: set[str]) -> None:
        """Send a new attempt to a worker with the fewest jobs in flight, none of those in ``avoid``."""
        in_flight = self.in_flight[job.scheduler]
        least = min(in_flight[w.name] for w in self.workers if w.name not in avoid)
        worker = self.placement_rng.choice(
            [w for w in self.workers if w.name not in avoid and in_flight[w.name] == least]
        )
        in_flight[worker.name] += 1
        job.attempt, job.worker, job.remaining_us, job.slot_time_us = (
            job.attempt + 1,
            worker,
            job.work_us,
            0.0,
        )
        self.schedulers[job.scheduler].placed(self.now_us, job.number, job.attempt, worker.name, worker.kind)
        self.schedule(MESSAGE_DELAY_US, self.attempt_received, job, job.attempt, worker)

    def attempt_received(self, job: Job, attempt: int, worker: Worker) -> None:
        if attempt != job.attempt:
            return
        worker.queue.append((job.number, attempt))
        self.start_queued(worker)

    def start_queued(self, worker: Worker) -> None:
        """Start queued attempts while the worker has a free slot, and drop those that were withdrawn."""
        while worker.queue and len(worker.running) < SLOTS_PER_WORKER:
            number, attempt = worker.queue.pop(0)
            job = self.jobs[number]
            if attempt != job.attempt:
                continue
            worker.running.add(number)
            if worker.slowdown > 1:
                self.result.runs_at_slow.add((number, worker.name))
            self.report(job, self.schedulers[job.scheduler].started)
            self.advance(job, attempt, worker, 0.0, 0)

    def report(self, job: Job, event: Callable[..., None], *args: object) -> None:
        """Deliver an event of a running job to its scheduler, after a message's delay."""
        attempt = job.attempt
        self.schedule(
            MESSAGE_DELAY_US + self.placement_rng.uniform(0, 3_000),
            lambda: event(self.now_us, job.number, attempt, *args),
        )

    def advance(self, job: Job, attempt: int, worker: Worker, work_done_us: float, elapsed_us: int) -> None:
        """Account for the work done since the last call, and schedule the next progress report or the end."""
        if attempt != job.attempt:
            return
        job.remaining_us -= work_done_us
        job.slot_time_us += elapsed_us
        if job.remaining_us < 1:
            worker.running.discard(job.number)
            self.result.total_slot_time_us += job.slot_time_us
            self.schedule(MESSAGE_DELAY_US, self.job_completed, job, worker)
            self.start_queued(worker)
            return
        if elapsed_us and self.scenario.reports_progress:
            gangs = self.schedulers[job.scheduler]
            self.report(job, gangs.progress, 1 - job.remaining_us / job.work_us)
        pace = self.time_per_work_unit(worker)
        step_us = max(
            1, min(int(250_000 * self.placement_rng.uniform(0.9, 1.1)), int(job.remaining_us * pace) + 1)
        )
        self.schedule(step_us, self.advance, job, attempt, worker, step_us / pace, step_us)

    def job_completed(self, job: Job, worker: Worker) -> None:
        if job.completed:
            return
        job.completed = True
        self.in_flight[job.scheduler][worker.name] -= 1
        self.schedulers[job.scheduler].ended(self.now_us, job.number, job.attempt, True)
        self.pending_members[job.gang] -= 1
        if not self.pending_members[job.gang]:
            self.result.durations_us.append(self.now_us - self.first_arrival_us[job.gang])

    def detect_stragglers(self, scheduler: int) -> None:
        """Evaluate the gangs of one scheduler, carry out its moves, and share its progress records."""
        gangs = self.schedulers[scheduler]
        evaluation = gangs.evaluate(self.now_us)
        for verdict in evaluation.verdicts:
            if verdict.lags:
                call = self._job(verdict.gang, verdict.index).number, verdict.worker
                if call not in self.result.calls and verdict.worker not in self.result.slow_workers:
                    not_begun = self.jobs[call[0]].remaining_us == self.jobs[call[0]].work_us
                    self.result.false_by_basis[
                        "not begun" if not_begun else "silent" if verdict.silent else "progress"
                    ] += 1
                self.result.calls.add(call)
        self.result.evidence += [(x.worker, x.observer) for x in evaluation.evidence]
        for move in evaluation.moves:
            self.withdraw(move)
        if self.scenario.share_delay_us is not None:
            for name, progress in gangs.progress_to_publish(self.now_us):
                for other in range(len(self.schedulers)):
                    if other != scheduler:
                        self.schedule(
                            self.scenario.share_delay_us, self.receive_progress, other, name, progress
                        )
        self.schedule(250_000, self.detect_stragglers, scheduler)

    def release(self, scheduler: int, worker: Worker) -> None:
        """Stop counting a withdrawn attempt as in flight at a worker."""
        self.in_flight[scheduler][worker.name] -= 1

    def _job(self, gang: str, index: int) -> Job:
        if not hasattr(self, "_index"):
            self._index = {(j.membership.gang, j.membership.index): j for j in self.jobs}
        return self._index[gang, index]

    def receive_progress(self, scheduler: int, name: str, progress: Progress) -> None:
        self.schedulers[scheduler].receive_progress(self.now_us, name, progress)

    def withdraw(self, move: Move) -> None:
        """Withdraw the attempt that a scheduler moves, and place the job at another worker."""
        job = self.jobs[move.job]
        worker = job.worker
        if job.completed or job.remaining_us < 1 or worker is None or job.attempt != move.attempt:
            return
        self.result.moves += 1
        self.result.wasted_us += job.slot_time_us
        self.result.total_slot_time_us += job.slot_time_us
        worker.running.discard(job.number)
        # For 10 s, the scheduler still counts the withdrawn attempt as in flight at its worker. Otherwise,
        # slow workers would seem to have the fewest jobs in flight.
        self.schedule(10 * SECOND_US, self.release, job.scheduler, worker)
        self.schedulers[job.scheduler].ended(self.now_us, job.number, job.attempt, False, final=False)
        self.place(job, {worker.name, *move.avoid})
        self.start_queued(worker)


def p99_s(durations_us: Sequence[int]) -> float:
    return statistics.quantiles(durations_us, n=100, method="inclusive")[98] / SECOND_US


def _mean_and_range(values: Sequence[float], number_format: str = "{:.0%}") -> str:
    if not values:
        return "none"
    texts = [number_format.format(x) for x in (statistics.mean(values), min(values), max(values))]
    return f"{texts[0]} ({texts[1]} to {texts[2]})"


def print_scenario(scenario: Scenario, seeds: range) -> None:
    """Simulate one scenario for all seeds, with and without straggler detection, and print the figures."""
    without = [Simulation(replace(scenario, detects_stragglers=False), seed).run() for seed in seeds]
    with_detection = [Simulation(scenario, seed).run() for seed in seeds]
    before, after = ([p99_s(r.durations_us) for r in rs] for rs in (without, with_detection))
    reduction = [1 - b / a for a, b in zip(before, after, strict=True)]
    calls = [len(r.calls) for r in with_detection]
    precision = [r.true_calls / len(r.calls) for r in with_detection if r.calls and r.slow_workers]
    recall = [r.true_calls / len(r.runs_at_slow) for r in with_detection if r.runs_at_slow]
    wasted = [r.wasted_us / r.total_slot_time_us for r in with_detection]
    false_calls = sum(len(r.calls) - r.true_calls for r in with_detection)
    evidence = {(i, w, o) for i, r in enumerate(with_detection) for w, o in r.evidence}
    false_evidence = sum(w not in with_detection[i].slow_workers for i, w, _ in evidence)
    print(f"{scenario.name}:")
    pooled = [p99_s([x for r in rs for x in r.durations_us]) for rs in (without, with_detection)]
    gain = 1 - pooled[1] / pooled[0]
    print(f"  p99 duration of all seeds' gangs {pooled[0]:.1f} s -> {pooled[1]:.1f} s, reduced by {gain:.0%}")
    print(
        f"  by seed {_mean_and_range(before, '{:.1f} s')} -> {_mean_and_range(after, '{:.1f} s')}, "
        f"reduced by {_mean_and_range(reduction)}"
    )
    # A false call is a straggler call at a worker that is not slow. Its basis is that the job had not begun,
    # had reported no progress, or had reported too little.
    false_by_basis = dict(sum((r.false_by_basis for r in with_detection), Counter()))
    print(f"  straggler calls {sum(calls)}, of these false {false_calls} {false_by_basis or ''}", end="")
    print(f"; precision {_mean_and_range(precision)}, recall {_mean_and_range(recall)}")
    print(
        f"  moves {sum(r.moves for r in with_detection)}, work wasted {_mean_and_range(wasted, '{:.1%}')}",
        end="",
    )
    print(f"; evidence on {len(evidence)} (worker, observer), of these false {false_evidence}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=FIRST_SEED)
    parser.add_argument("--scene", default="", help="only scenarios whose name contains this text")
    options = parser.parse_args()
    start_s = time.monotonic()
    for scenario in SCENARIOS:
        if options.scene in scenario.name:
            print_scenario(
                scenario,
                range(options.first, options.first + max(1, round(options.seeds * scenario.seed_fraction))),
            )
    print(f"by seed: mean (minimum to maximum) of {options.seeds} seeds, or of fewer", end="")
    print(f"; took {time.monotonic() - start_s:.0f} s")


if __name__ == "__main__":
    main()
