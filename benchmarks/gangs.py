"""What looking for stragglers gains and costs: `python -m benchmarks.gangs [--seeds N]`. Under a minute.

A discrete-event simulation of its own (seeded, no sockets) round the real decisions: gangs of 8 to 16 come to
several schedulers, member by member; of the workers, of two kinds, one in ten is 2 to 5 times slow.
Schedulers share progress after a delay, or not at all. Each seed is played with and without the look, on the
same jobs. A call is right if its worker is one of the slow ones; recall is over all runs that began at such.
Seeds from 1 on were for tuning; figures are from 101 on.
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

S = 1_000_000
WORKERS = 40
SLOTS = 4
KINDS = {"new": 1.0, "old": 1.4}  # time for a unit of work
FAR_US = 2_000  # a message between scheduler and worker
FIRST_SEED = 101


@dataclass(frozen=True)
class Scene:
    """One situation. ``share_us``: delay between schedulers, None: they share nothing."""

    name: str
    share_us: int | None = 50_000
    slow: float = 0.1
    words: bool = True  # workers tell progress
    shared: float = 1.0  # all are so many times slower, in the middle third of the time
    repeat: Repeat = Repeat.SAFE
    gangs: int = 60
    schedulers: int = 3
    noise: float = 0.2  # of work about its hint
    load: float = 0.25  # of what the fleet can do
    look: bool = True
    part: float = 1.0  # of the seeds that it is played on


SCENES = (
    Scene("shared after 50 ms"),
    Scene("shared after 1 s", share_us=S, part=0.4),
    Scene("nothing shared", share_us=None, part=0.4),
    Scene("one scheduler", schedulers=1, part=0.4),
    Scene("no progress words", words=False, part=0.4),
    Scene("unsafe jobs", repeat=Repeat.UNSAFE, part=0.2),
    Scene("all 3x slow a while", slow=0.0, shared=3.0),
    Scene("the same, no words", slow=0.0, shared=3.0, words=False),
    Scene("no worker is slow", slow=0.0, part=0.4),
    Scene("slow ones, all 3x slow", shared=3.0, part=0.2),
)


@dataclass(eq=False)
class Worker:
    name: str
    kind: str
    slow: float  # times
    running: set[int] = field(default_factory=set)
    queue: list[tuple[int, int]] = field(default_factory=list)  # job, attempt


@dataclass(eq=False)
class Job:
    number: int
    gang: int
    place: Membership
    scheduler: int
    hint_us: float
    work_us: float
    attempt: int = -1
    worker: Worker | None = None
    left_us: float = 0.0
    spent_us: float = 0.0  # of a worker's slot, by this attempt
    done: bool = False


@dataclass
class Result:
    gangs_us: list[int] = field(default_factory=list)
    how: Counter[str] = field(default_factory=Counter)  # false calls, by what they rest on
    calls: set[tuple[int, str]] = field(default_factory=set)  # job, worker
    at_slow: set[tuple[int, str]] = field(default_factory=set)  # runs that began at a slow worker
    slow: set[str] = field(default_factory=set)
    wasted_us: float = 0.0
    worked_us: float = 0.0
    moves: int = 0
    evidence: list[tuple[str, str]] = field(default_factory=list)  # worker, observer

    @property
    def true(self) -> int:
        return sum(worker in self.slow for _, worker in self.calls)


class Town:
    """Workers and schedulers in simulated time."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self.scene = scene
        self.rng = random.Random(seed)
        self.choose = random.Random(seed + 1)  # choices of workers: jobs stay the same whatever is looked at
        self.now = S
        self.heap: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.number = 0
        self.result = Result()
        self.workers = []
        slow = set(self.rng.sample(range(WORKERS), round(scene.slow * WORKERS)))
        for i in range(WORKERS):
            factor = self.rng.uniform(2, 5) if i in slow else 1.0
            self.workers.append(Worker(f"w{i}", ("new", "old")[i % 2], factor))
        self.result.slow = {w.name for w in self.workers if w.slow > 1}
        options = GangOptions(tells_start=True)
        self.schedulers = [Gangs(options, f"s{i}") for i in range(scene.schedulers)]
        self.out = [dict.fromkeys((w.name for w in self.workers), 0) for _ in self.schedulers]
        self.jobs: list[Job] = []
        self.open: dict[int, int] = {}
        self.begun: dict[int, int] = {}
        mean_us = 12 * 2.3 * S * statistics.mean(KINDS.values())
        self.apart_us = mean_us / (WORKERS * SLOTS * scene.load)
        self.span_us = int(self.apart_us * scene.gangs)

    def at(self, after_us: float, do: Callable[..., None], *args: object) -> None:
        self.number += 1
        heapq.heappush(self.heap, (self.now + max(0, int(after_us)), self.number, do, args))

    def pace(self, worker: Worker) -> float:
        third = self.span_us // 3
        shared = self.scene.shared if third <= self.now - S < 2 * third else 1.0
        return KINDS[worker.kind] * worker.slow * shared

    def play(self) -> Result:
        arrives = 0.0
        for gang in range(self.scene.gangs):
            arrives += self.rng.expovariate(1 / self.apart_us)
            size = self.rng.randint(8, 16)
            for index in range(size):
                hint = 2 * S * self.rng.lognormvariate(0, 0.5)
                work = hint * self.rng.lognormvariate(0, self.scene.noise)
                place = Membership(f"g{gang}", size, index)
                scheduler = self.rng.randrange(len(self.schedulers))
                job = Job(len(self.jobs), gang, place, scheduler, hint, work)
                self.jobs.append(job)
                self.at(arrives + self.rng.uniform(0, 50_000), self.arrive, job)
            self.open[gang] = size
        if self.scene.look:
            for i in range(len(self.schedulers)):
                self.at(self.rng.uniform(0, 250_000), self.look, i)
        while self.heap and any(self.open.values()):
            self.now, _, do, args = heapq.heappop(self.heap)
            do(*args)
        return self.result

    def arrive(self, job: Job) -> None:
        self.begun.setdefault(job.gang, self.now)
        gangs = self.schedulers[job.scheduler]
        gangs.joined(self.now, job.number, job.place, self.scene.repeat, int(job.hint_us))
        self.place(job, set())

    def place(self, job: Job, avoid: set[str]) -> None:
        out = self.out[job.scheduler]
        least = min(out[w.name] for w in self.workers if w.name not in avoid)
        worker = self.choose.choice([w for w in self.workers if w.name not in avoid and out[w.name] == least])
        out[worker.name] += 1
        job.attempt, job.worker, job.left_us, job.spent_us = job.attempt + 1, worker, job.work_us, 0.0
        self.schedulers[job.scheduler].placed(self.now, job.number, job.attempt, worker.name, worker.kind)
        self.at(FAR_US, self.reach, job, job.attempt, worker)

    def reach(self, job: Job, attempt: int, worker: Worker) -> None:
        if attempt != job.attempt:
            return
        worker.queue.append((job.number, attempt))
        self.serve(worker)

    def serve(self, worker: Worker) -> None:
        while worker.queue and len(worker.running) < SLOTS:
            number, attempt = worker.queue.pop(0)
            job = self.jobs[number]
            if attempt != job.attempt:
                continue
            worker.running.add(number)
            if worker.slow > 1:
                self.result.at_slow.add((number, worker.name))
            self.tell(job, self.schedulers[job.scheduler].started)
            self.step(job, attempt, worker, 0.0, 0)

    def tell(self, job: Job, event: Callable[..., None], *args: object) -> None:
        attempt = job.attempt
        self.at(FAR_US + self.choose.uniform(0, 3_000), lambda: event(self.now, job.number, attempt, *args))

    def step(self, job: Job, attempt: int, worker: Worker, did_us: float, took_us: int) -> None:
        """A running job has gone on; on to its next word or its end."""
        if attempt != job.attempt:
            return
        job.left_us -= did_us
        job.spent_us += took_us
        if job.left_us < 1:
            worker.running.discard(job.number)
            self.result.worked_us += job.spent_us
            self.at(FAR_US, self.done, job, worker)
            self.serve(worker)
            return
        if took_us and self.scene.words:
            gangs = self.schedulers[job.scheduler]
            self.tell(job, gangs.progress, 1 - job.left_us / job.work_us)
        pace = self.pace(worker)
        took = max(1, min(int(250_000 * self.choose.uniform(0.9, 1.1)), int(job.left_us * pace) + 1))
        self.at(took, self.step, job, attempt, worker, took / pace, took)

    def done(self, job: Job, worker: Worker) -> None:
        if job.done:
            return
        job.done = True
        self.out[job.scheduler][worker.name] -= 1
        self.schedulers[job.scheduler].ended(self.now, job.number, job.attempt, True)
        self.open[job.gang] -= 1
        if not self.open[job.gang]:
            self.result.gangs_us.append(self.now - self.begun[job.gang])

    def look(self, which: int) -> None:
        gangs = self.schedulers[which]
        found = gangs.evaluate(self.now)
        for verdict in found.verdicts:
            if verdict.lags:
                call = self._job(verdict.gang, verdict.index).number, verdict.worker
                if call not in self.result.calls and verdict.worker not in self.result.slow:
                    waits = self.jobs[call[0]].left_us == self.jobs[call[0]].work_us
                    self.result.how["waits" if waits else "silent" if verdict.silent else "words"] += 1
                self.result.calls.add(call)
        self.result.evidence += [(x.worker, x.observer) for x in found.evidence]
        for move in found.moves:
            self.withdraw(move)
        if self.scene.share_us is not None:
            for name, told in gangs.progress_to_publish(self.now):
                for other in range(len(self.schedulers)):
                    if other != which:
                        self.at(self.scene.share_us, self.hear, other, name, told)
        self.at(250_000, self.look, which)

    def forget(self, scheduler: int, worker: Worker) -> None:
        self.out[scheduler][worker.name] -= 1

    def _job(self, gang: str, index: int) -> Job:
        if not hasattr(self, "_index"):
            self._index = {(j.place.gang, j.place.index): j for j in self.jobs}
        return self._index[gang, index]

    def hear(self, other: int, name: str, told: Progress) -> None:
        self.schedulers[other].receive_progress(self.now, name, told)

    def withdraw(self, move: Move) -> None:
        job = self.jobs[move.job]
        worker = job.worker
        if job.done or job.left_us < 1 or worker is None or job.attempt != move.attempt:
            return
        self.result.moves += 1
        self.result.wasted_us += job.spent_us
        self.result.worked_us += job.spent_us
        worker.running.discard(job.number)
        # It was not completed there: the module goes on to count it against the worker for a while. Were it
        # forgotten at once, slow workers would seem the most free.
        self.at(10 * S, self.forget, job.scheduler, worker)
        self.schedulers[job.scheduler].ended(self.now, job.number, job.attempt, False, final=False)
        self.place(job, {worker.name, *move.avoid})
        self.serve(worker)


def p99(values: Sequence[int]) -> float:
    return statistics.quantiles(values, n=100, method="inclusive")[98] / S


def _range(values: Sequence[float], form: str = "{:.0%}") -> str:
    if not values:
        return "none"
    texts = [form.format(x) for x in (statistics.mean(values), min(values), max(values))]
    return f"{texts[0]} ({texts[1]} to {texts[2]})"


def show(scene: Scene, seeds: range) -> None:
    """Play one scene on all seeds and print a line."""
    plain = [Town(replace(scene, look=False), seed).play() for seed in seeds]
    with_it = [Town(scene, seed).play() for seed in seeds]
    before, after = ([p99(r.gangs_us) for r in rs] for rs in (plain, with_it))
    less = [1 - b / a for a, b in zip(before, after, strict=True)]
    calls = [len(r.calls) for r in with_it]
    precision = [r.true / len(r.calls) for r in with_it if r.calls and r.slow]
    recall = [r.true / len(r.at_slow) for r in with_it if r.at_slow]
    wasted = [r.wasted_us / r.worked_us for r in with_it]
    false = sum(len(r.calls) - r.true for r in with_it)
    blamed = {(i, w, o) for i, r in enumerate(with_it) for w, o in r.evidence}
    wrong = sum(w not in with_it[i].slow for i, w, _ in blamed)
    print(f"{scene.name}:")
    pooled = [p99([x for r in rs for x in r.gangs_us]) for rs in (plain, with_it)]
    gain = 1 - pooled[1] / pooled[0]
    print(f"  p99 of all seeds' gangs {pooled[0]:.1f} s -> {pooled[1]:.1f} s, less by {gain:.0%}")
    print(f"  by seed {_range(before, '{:.1f} s')} -> {_range(after, '{:.1f} s')}, less by {_range(less)}")
    # Where a call was wrong: it had not begun, told nothing, or was behind by its words.
    how = dict(sum((r.how for r in with_it), Counter()))
    print(f"  called {sum(calls)}, of these false {false} {how or ''}", end="")
    print(f"; precision {_range(precision)}, recall {_range(recall)}")
    print(f"  moved {sum(r.moves for r in with_it)}, work wasted {_range(wasted, '{:.1%}')}", end="")
    print(f"; evidence on {len(blamed)} (worker, observer), wrong {wrong}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=FIRST_SEED)
    parser.add_argument("--scene", default="", help="only those whose name holds this")
    given = parser.parse_args()
    begun = time.monotonic()
    for scene in SCENES:
        if given.scene in scene.name:
            show(scene, range(given.first, given.first + max(1, round(given.seeds * scene.part))))
    print(f"by seed: mean (least to most) of {given.seeds} seeds, or of some", end="")
    print(f"; took {time.monotonic() - begun:.0f} s")


if __name__ == "__main__":
    main()
