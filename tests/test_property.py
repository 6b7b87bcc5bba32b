"""Random traffic against a checker that knows the rules; the checker itself is tested too."""

import random

import pytest

from robinhill import api
from robinhill.logic import Balancer

from .conftest import MS, S, klass, settings

O = api.Outcome  # noqa: E741


class RuleBrokenError(AssertionError):
    """A rule was broken."""


class Checker:
    """Follows one node's actions and raises on the first broken rule."""

    def __init__(self, config: api.Settings) -> None:
        self.config = config
        self.open: dict[int, tuple[api.Request, int]] = {}
        self.tries: dict[int, list[dict[str, object]]] = {}
        self.workers: dict[str, api.Worker] = {}
        self.told: dict[str, int] = {}
        self.used: dict[str, int] = {}

    def listed(self, now: int, kind: api.ListKind, workers: list[api.Worker]) -> None:
        if kind is api.ListKind.FULL:
            for address in set(self.workers) - {w.address for w in workers}:
                self.told.setdefault(address, now)
        for w in workers:
            self.workers[w.address] = w
            if w.state is api.WorkerState.READY:
                self.told.pop(w.address, None)
            else:
                self.told.setdefault(w.address, now)

    def risky(self, job: int) -> list[dict[str, object]]:
        late = self.config.full_may_have_run
        return [
            t for t in self.tries[job]
            if t["outcome"] is None or not t["outcome"].never_ran or (late and t["outcome"] is O.FULL)  # type: ignore
        ]  # fmt: skip

    def idle(self, now: int, address: str) -> None:
        """The last send or outcome at a worker, from which on its idle connections count."""
        self.used[address] = now

    def unclosed(self, now: int) -> None:
        within = self.config.close_within_us
        for address, used in self.used.items():
            if within is not None and address in self.told and now > max(used, self.told[address]) + within:
                raise RuleBrokenError(f"{address} drains with idle connections open")

    def act(self, now: int, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.send(now, action)
            self.idle(now, action.address)
        elif isinstance(action, api.CloseIdle):
            self.used.pop(action.address, None)
        elif isinstance(action, api.Reject | api.Fail):
            if action.job not in self.open:
                raise RuleBrokenError("a second final answer")
            request, _ = self.open.pop(action.job)
            c = self.config.classes[request.job_class]
            free = c.repeat is api.Repeat.SAFE or (c.repeat is api.Repeat.KEYED and c.scope is api.Scope.ALL)
            if isinstance(action, api.Reject) and not free and self.risky(action.job):
                raise RuleBrokenError("refused although it may have run")

    def send(self, now: int, action: api.Send) -> None:
        if action.job not in self.open:
            raise RuleBrokenError("sent for a finished request")
        request, _ = self.open[action.job]
        c, w = self.config.classes[request.job_class], self.workers[action.address]
        if action.address in self.told and now > self.told[action.address] + self.config.drain_grace_us:
            raise RuleBrokenError("sent to a draining worker")
        if w.kind not in (c.kinds or {w.kind}) or w.zone not in (c.zones or {w.zone}):
            raise RuleBrokenError("sent where the class must not go")
        if len(self.tries[action.job]) >= self.config.max_attempts:
            raise RuleBrokenError("too many attempts")
        for t in self.risky(action.job):
            if t["outcome"] is None and not self.config.parallel_attempts:
                raise RuleBrokenError("two attempts at once")
            if c.repeat is api.Repeat.UNSAFE:
                raise RuleBrokenError("unsafe work sent twice")
            if c.repeat is api.Repeat.KEYED:
                old = t["worker"]
                assert isinstance(old, api.Worker)
                groups = {
                    api.Scope.ALL: True,
                    api.Scope.ZONE: w.zone == old.zone,
                    api.Scope.CELL: w.cell == old.cell,
                }
                if not groups[c.scope] or now > int(str(t["at"])) + c.memory_us:
                    raise RuleBrokenError("keyed work sent out of its group or window")
        self.tries[action.job].append({"worker": w, "at": now, "outcome": None})

    def late(self, now: int) -> None:
        for job, (_, deadline) in self.open.items():
            pending = any(t["outcome"] is None for t in self.tries[job])
            if now > deadline + 8 * MS and not pending:
                raise RuleBrokenError(f"job {job} has no answer in time")


def play(seed: int) -> tuple[int, list[str]]:
    """One random day of one node; returns how many requests were answered, and the transcript."""
    rng = random.Random(seed)
    repeats = [rng.choice(list(api.Repeat)) for _ in range(3)]
    classes = tuple(
        klass(repeat=r, scope=rng.choice(list(api.Scope)), memory_us=rng.choice([100 * MS, 2 * S]),
              kinds=k, zones=rng.choice([None, None, frozenset({0})]),
              late_priority_weight=rng.choice([0.0, 0.0, 0.5]), deadline_us=S)
        for r, k in zip(repeats, [None, None, frozenset({1})], strict=True)
    )  # fmt: skip
    config = settings(classes=classes, reports_start=rng.random() < 0.5, max_attempts=3, must_subscribe=True,
                      parallel_attempts=rng.random() < 0.5, cancelling=rng.random() < 0.7,
                      full_may_have_run=rng.random() < 0.5,
                      close_within_us=rng.choice([None, 20 * MS]))  # fmt: skip
    node, checker, now, jobs = Balancer(config, seed), Checker(config), 100 * S, 0
    timers: list[tuple[int, str]] = []
    out: dict[tuple[int, int], tuple[int, int]] = {}
    log: list[str] = []

    def give(event: api.Event) -> None:
        for action in node.handle(now, event):
            log.append(f"{now} {action}")
            checker.act(now, action)
            if isinstance(action, api.SetTimer):
                timers.append((now + action.after_us, action.tag))
            elif isinstance(action, api.Send):
                attempt = len(checker.tries[action.job]) - 1
                until = min(checker.open[action.job][1], now + (action.timeout_us or 10 * S))
                out[(action.job, attempt)] = (now, until)
            elif isinstance(action, api.Cancel) and (action.job, action.attempt) in out:
                finish((action.job, action.attempt), O.CANCELLED)

    def finish(key: tuple[int, int], outcome: api.Outcome) -> None:
        sent, _ = out.pop(key)
        attempt = checker.tries[key[0]][key[1]]
        attempt["outcome"] = outcome
        checker.idle(now, attempt["worker"].address)  # type: ignore[attr-defined]
        final = key[0] not in checker.open
        if outcome is O.COMPLETED and not final:
            checker.open.pop(key[0])
            final = True
        give(api.AttemptEnded(key[0], key[1], outcome, now - sent, final))

    def listed(kind: api.ListKind) -> None:
        states = [api.WorkerState.READY] * 6 + [api.WorkerState.DRAINING]
        names = rng.sample(range(8), rng.randint(0, 8))
        workers = [
            api.Worker(f"w{i}", i % 2 if rng.random() < 0.9 else rng.randrange(2), rng.choice(states),
                       rng.choice([0, 0, now - S]), 1.0, (i + (rng.random() < 0.1)) % 2, i // 3)
            for i in names
        ]  # fmt: skip
        checker.listed(now, kind, workers)
        give(api.WorkersListed(kind, workers))

    node.start(now)
    listed(api.ListKind.FULL)
    for step in range(1500):
        now += rng.randint(0, 8 * MS)
        for due, tag in sorted(t for t in timers if t[0] <= now):
            timers.remove((due, tag))
            give(api.TimerFired(tag))
        for key in [k for k, (_, until) in out.items() if until <= now]:
            finish(key, O.TIMEOUT)
        checker.late(now)
        checker.unclosed(now)
        roll = rng.random()
        if roll < 0.4 and step < 1300:
            jobs += 1
            left = rng.choice([50 * MS, 300 * MS, S])
            request = api.Request(jobs, rng.randrange(3), left, work_hint_us=rng.choice([0, 30 * MS]))
            checker.open[jobs], checker.tries[jobs] = (request, now + left), []
            give(api.Arrived(request))
        elif roll < 0.75 and out:
            key = rng.choice(list(out))
            give(api.JobStarted(*key))
            if key in out and rng.random() < 0.7:
                finish(
                    key,
                    rng.choice([O.COMPLETED] * 4 + [O.ERROR, O.FULL, O.CONNECT_FAILED, O.RESET, O.NOT_SENT]),
                )
        elif roll < 0.77 and checker.open:
            gone = rng.choice(list(checker.open))
            del checker.open[gone]
            give(api.ClientDisconnected(gone))
        elif roll < 0.80:
            listed(rng.choice([api.ListKind.CHANGES, api.ListKind.FULL]))
    assert not checker.open
    return jobs, log


@pytest.mark.parametrize("seed", range(25))
def test_the_rules_hold_on_random_days(seed: int) -> None:
    jobs, log = play(seed)
    assert jobs > 300 and log == play(seed)[1]


A = api.Worker("a", zone=0)


def checker_with_job(**changes: object) -> Checker:
    checker = Checker(settings(classes=(klass(**changes),), max_attempts=2))
    checker.listed(0, api.ListKind.FULL, [A, api.Worker("b", zone=1)])
    checker.open[1], checker.tries[1] = (api.Request(1, 0, S), S), []
    return checker


def test_the_checker_sees_broken_rules() -> None:
    checker = checker_with_job(repeat=api.Repeat.UNSAFE)
    checker.act(0, api.Send(1, "a"))
    with pytest.raises(RuleBrokenError, match="two attempts"):
        checker.act(1, api.Send(1, "b"))
    with pytest.raises(RuleBrokenError, match="refused"):
        checker.act(1, api.Reject(1))
    checker = checker_with_job(repeat=api.Repeat.UNSAFE)
    checker.tries[1].append({"worker": A, "at": 0, "outcome": O.ERROR})
    with pytest.raises(RuleBrokenError, match="unsafe"):
        checker.act(1, api.Send(1, "b"))
    checker = checker_with_job(repeat=api.Repeat.KEYED, scope=api.Scope.ZONE)
    checker.tries[1].append({"worker": A, "at": 0, "outcome": O.RESET})
    with pytest.raises(RuleBrokenError, match="group"):
        checker.act(1, api.Send(1, "b"))
    with pytest.raises(RuleBrokenError, match="window"):
        checker.act(3 * S, api.Send(1, "a"))
    checker = checker_with_job()
    checker.listed(0, api.ListKind.CHANGES, [api.Worker("a", state=api.WorkerState.DRAINING)])
    with pytest.raises(RuleBrokenError, match="draining"):
        checker.act(S, api.Send(1, "a"))
    with pytest.raises(RuleBrokenError, match="no answer"):
        checker.late(2 * S)
    checker.act(1, api.Fail(1))
    with pytest.raises(RuleBrokenError, match="second final"):
        checker.act(1, api.Fail(1))


def test_the_checker_sees_the_further_rules_broken() -> None:
    for bound in ({"kinds": frozenset({1})}, {"zones": frozenset({1})}):
        with pytest.raises(RuleBrokenError, match="must not go"):
            checker_with_job(**bound).act(0, api.Send(1, "a"))
    for late in (False, True):
        checker = checker_with_job(repeat=api.Repeat.UNSAFE)
        checker.config = settings(classes=checker.config.classes, full_may_have_run=late)
        checker.tries[1].append({"worker": A, "at": 0, "outcome": O.FULL})
        if late:
            with pytest.raises(RuleBrokenError, match="unsafe"):
                checker.act(1, api.Send(1, "b"))
            with pytest.raises(RuleBrokenError, match="refused"):
                checker.act(1, api.Reject(1))
        else:
            checker.act(1, api.Send(1, "b"))
    checker = checker_with_job()
    checker.config = settings(classes=checker.config.classes, close_within_us=S)
    checker.act(0, api.Send(1, "a"))
    checker.listed(0, api.ListKind.CHANGES, [api.Worker("a", state=api.WorkerState.DRAINING)])
    checker.unclosed(S)
    with pytest.raises(RuleBrokenError, match="idle"):
        checker.unclosed(S + 1)
    checker.act(S, api.CloseIdle("a"))
    checker.unclosed(2 * S)
    checker.idle(2 * S, "a")  # an outcome there: the connection is idle again
    with pytest.raises(RuleBrokenError, match="idle"):
        checker.unclosed(4 * S)
