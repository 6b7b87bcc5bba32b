"""Random traffic for one balancer, whose actions a checker verifies; the checker itself is tested too."""

import random

import pytest

from robinhill import api
from robinhill.logic import Balancer

from .conftest import MS, S, klass, settings

O = api.Outcome  # noqa: E741


class RuleViolationError(AssertionError):
    """An action violates a rule of the decision module, or a required action is missing."""


class Checker:
    """Verifies the actions of one balancer; raises RuleViolationError for the first that violates a rule."""

    def __init__(self, config: api.Settings) -> None:
        self.config = config
        self.unanswered: dict[int, tuple[api.Request, int]] = {}
        self.attempts: dict[int, list[dict[str, object]]] = {}
        self.workers: dict[str, api.Worker] = {}
        self.draining_since: dict[str, int] = {}
        self.last_used: dict[str, int] = {}

    def listed(self, now: int, kind: api.ListKind, workers: list[api.Worker]) -> None:
        if kind is api.ListKind.FULL:
            for address in set(self.workers) - {w.address for w in workers}:
                self.draining_since.setdefault(address, now)
        for w in workers:
            self.workers[w.address] = w
            if w.state is api.WorkerState.READY:
                self.draining_since.pop(w.address, None)
            else:
                self.draining_since.setdefault(w.address, now)

    def possibly_run(self, job: int) -> list[dict[str, object]]:
        """The attempts of a job that may have run on their workers."""
        late = self.config.full_may_have_run
        return [
            t for t in self.attempts[job]
            if t["outcome"] is None or not t["outcome"].never_ran or (late and t["outcome"] is O.FULL)  # type: ignore
        ]  # fmt: skip

    def record_connection_use(self, now: int, address: str) -> None:
        """Record the last send to a worker or outcome from it: its connections may be idle from then on."""
        self.last_used[address] = now

    def check_idle_connections(self, now: int) -> None:
        limit_us = self.config.close_within_us
        for address, used_at in self.last_used.items():
            if (
                limit_us is not None
                and address in self.draining_since
                and now > max(used_at, self.draining_since[address]) + limit_us
            ):
                raise RuleViolationError(
                    f"idle connections to {address} were not closed in time after its drain began"
                )

    def check_action(self, now: int, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.check_send(now, action)
            self.record_connection_use(now, action.address)
        elif isinstance(action, api.CloseIdle):
            self.last_used.pop(action.address, None)
        elif isinstance(action, api.Reject | api.Fail):
            if action.job not in self.unanswered:
                raise RuleViolationError("a request got a second final answer")
            request, _ = self.unanswered.pop(action.job)
            c = self.config.classes[request.job_class]
            free = c.repeat is api.Repeat.SAFE or (c.repeat is api.Repeat.KEYED and c.scope is api.Scope.ALL)
            if isinstance(action, api.Reject) and not free and self.possibly_run(action.job):
                raise RuleViolationError("a request was rejected although its job may have run")

    def check_send(self, now: int, action: api.Send) -> None:
        if action.job not in self.unanswered:
            raise RuleViolationError("an attempt was sent for a request already answered")
        request, _ = self.unanswered[action.job]
        c, w = self.config.classes[request.job_class], self.workers[action.address]
        if (
            action.address in self.draining_since
            and now > self.draining_since[action.address] + self.config.drain_grace_us
        ):
            raise RuleViolationError("an attempt was sent to a draining worker after the grace period")
        if w.kind not in (c.kinds or {w.kind}) or w.zone not in (c.zones or {w.zone}):
            raise RuleViolationError("an attempt was sent to a worker that its class must not use")
        if len(self.attempts[action.job]) >= self.config.max_attempts:
            raise RuleViolationError("a job has more attempts than max_attempts allows")
        for t in self.possibly_run(action.job):
            if t["outcome"] is None and not self.config.parallel_attempts:
                raise RuleViolationError(
                    "two attempts of a job are in flight although parallel attempts are disabled"
                )
            if c.repeat is api.Repeat.UNSAFE:
                raise RuleViolationError("an unsafe job was sent again although it may have run")
            if c.repeat is api.Repeat.KEYED:
                old = t["worker"]
                assert isinstance(old, api.Worker)
                groups = {
                    api.Scope.ALL: True,
                    api.Scope.ZONE: w.zone == old.zone,
                    api.Scope.CELL: w.cell == old.cell,
                }
                if not groups[c.scope] or now > int(str(t["at"])) + c.memory_us:
                    raise RuleViolationError("a keyed job was sent outside of its group or window")
        self.attempts[action.job].append({"worker": w, "at": now, "outcome": None})

    def check_deadlines(self, now: int) -> None:
        for job, (_, deadline) in self.unanswered.items():
            pending = any(t["outcome"] is None for t in self.attempts[job])
            if now > deadline + 8 * MS and not pending:
                raise RuleViolationError(f"job {job} has no answer after its deadline")


def simulate_day(seed: int) -> tuple[int, list[str]]:
    """Run one balancer under random traffic; return the number of requests and the log of its actions."""
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
    in_flight: dict[tuple[int, int], tuple[int, int]] = {}
    log: list[str] = []

    def deliver(event: api.Event) -> None:
        for action in node.handle(now, event):
            log.append(f"{now} {action}")
            checker.check_action(now, action)
            if isinstance(action, api.SetTimer):
                timers.append((now + action.after_us, action.tag))
            elif isinstance(action, api.Send):
                attempt = len(checker.attempts[action.job]) - 1
                until = min(checker.unanswered[action.job][1], now + (action.timeout_us or 10 * S))
                in_flight[(action.job, attempt)] = (now, until)
            elif isinstance(action, api.Cancel) and (action.job, action.attempt) in in_flight:
                finish((action.job, action.attempt), O.CANCELLED)

    def finish(key: tuple[int, int], outcome: api.Outcome) -> None:
        sent, _ = in_flight.pop(key)
        attempt = checker.attempts[key[0]][key[1]]
        attempt["outcome"] = outcome
        checker.record_connection_use(now, attempt["worker"].address)  # type: ignore[attr-defined]
        final = key[0] not in checker.unanswered
        if outcome is O.COMPLETED and not final:
            checker.unanswered.pop(key[0])
            final = True
        deliver(api.AttemptEnded(key[0], key[1], outcome, now - sent, final))

    def listed(kind: api.ListKind) -> None:
        states = [api.WorkerState.READY] * 6 + [api.WorkerState.DRAINING]
        names = rng.sample(range(8), rng.randint(0, 8))
        workers = [
            api.Worker(f"w{i}", i % 2 if rng.random() < 0.9 else rng.randrange(2), rng.choice(states),
                       rng.choice([0, 0, now - S]), 1.0, (i + (rng.random() < 0.1)) % 2, i // 3)
            for i in names
        ]  # fmt: skip
        checker.listed(now, kind, workers)
        deliver(api.WorkersListed(kind, workers))

    node.start(now)
    listed(api.ListKind.FULL)
    for step in range(1500):
        now += rng.randint(0, 8 * MS)
        for due, tag in sorted(t for t in timers if t[0] <= now):
            timers.remove((due, tag))
            deliver(api.TimerFired(tag))
        for key in [k for k, (_, until) in in_flight.items() if until <= now]:
            finish(key, O.TIMEOUT)
        checker.check_deadlines(now)
        checker.check_idle_connections(now)
        roll = rng.random()
        if roll < 0.4 and step < 1300:
            jobs += 1
            left = rng.choice([50 * MS, 300 * MS, S])
            request = api.Request(jobs, rng.randrange(3), left, work_hint_us=rng.choice([0, 30 * MS]))
            checker.unanswered[jobs], checker.attempts[jobs] = (request, now + left), []
            deliver(api.Arrived(request))
        elif roll < 0.75 and in_flight:
            key = rng.choice(list(in_flight))
            deliver(api.JobStarted(*key))
            if key in in_flight and rng.random() < 0.7:
                finish(
                    key,
                    rng.choice([O.COMPLETED] * 4 + [O.ERROR, O.FULL, O.CONNECT_FAILED, O.RESET, O.NOT_SENT]),
                )
        elif roll < 0.77 and checker.unanswered:
            disconnected = rng.choice(list(checker.unanswered))
            del checker.unanswered[disconnected]
            deliver(api.ClientDisconnected(disconnected))
        elif roll < 0.80:
            listed(rng.choice([api.ListKind.CHANGES, api.ListKind.FULL]))
    assert not checker.unanswered
    return jobs, log


@pytest.mark.parametrize("seed", range(25))
def test_random_traffic_violates_no_rule_and_replays_identically(seed: int) -> None:
    jobs, log = simulate_day(seed)
    assert jobs > 300 and log == simulate_day(seed)[1]


A = api.Worker("a", zone=0)


def checker_with_job(**changes: object) -> Checker:
    checker = Checker(settings(classes=(klass(**changes),), max_attempts=2))
    checker.listed(0, api.ListKind.FULL, [A, api.Worker("b", zone=1)])
    checker.unanswered[1], checker.attempts[1] = (api.Request(1, 0, S), S), []
    return checker


def test_checker_reports_violations_of_attempt_and_answer_rules() -> None:
    checker = checker_with_job(repeat=api.Repeat.UNSAFE)
    checker.check_action(0, api.Send(1, "a"))
    with pytest.raises(RuleViolationError, match="two attempts of a job are in flight"):
        checker.check_action(1, api.Send(1, "b"))
    with pytest.raises(RuleViolationError, match="rejected although its job may have run"):
        checker.check_action(1, api.Reject(1))
    checker = checker_with_job(repeat=api.Repeat.UNSAFE)
    checker.attempts[1].append({"worker": A, "at": 0, "outcome": O.ERROR})
    with pytest.raises(RuleViolationError, match="unsafe job"):
        checker.check_action(1, api.Send(1, "b"))
    checker = checker_with_job(repeat=api.Repeat.KEYED, scope=api.Scope.ZONE)
    checker.attempts[1].append({"worker": A, "at": 0, "outcome": O.RESET})
    with pytest.raises(RuleViolationError, match="outside of its group"):
        checker.check_action(1, api.Send(1, "b"))
    with pytest.raises(RuleViolationError, match="outside of its group or window"):
        checker.check_action(3 * S, api.Send(1, "a"))
    checker = checker_with_job()
    checker.listed(0, api.ListKind.CHANGES, [api.Worker("a", state=api.WorkerState.DRAINING)])
    with pytest.raises(RuleViolationError, match="draining worker"):
        checker.check_action(S, api.Send(1, "a"))
    with pytest.raises(RuleViolationError, match="has no answer after its deadline"):
        checker.check_deadlines(2 * S)
    checker.check_action(1, api.Fail(1))
    with pytest.raises(RuleViolationError, match="second final answer"):
        checker.check_action(1, api.Fail(1))


def test_checker_reports_violations_of_restriction_full_and_idle_connection_rules() -> None:
    for bound in ({"kinds": frozenset({1})}, {"zones": frozenset({1})}):
        with pytest.raises(RuleViolationError, match="must not use"):
            checker_with_job(**bound).check_action(0, api.Send(1, "a"))
    for late in (False, True):
        checker = checker_with_job(repeat=api.Repeat.UNSAFE)
        checker.config = settings(classes=checker.config.classes, full_may_have_run=late)
        checker.attempts[1].append({"worker": A, "at": 0, "outcome": O.FULL})
        if late:
            with pytest.raises(RuleViolationError, match="unsafe job"):
                checker.check_action(1, api.Send(1, "b"))
            with pytest.raises(RuleViolationError, match="rejected although its job may have run"):
                checker.check_action(1, api.Reject(1))
        else:
            checker.check_action(1, api.Send(1, "b"))
    checker = checker_with_job()
    checker.config = settings(classes=checker.config.classes, close_within_us=S)
    checker.check_action(0, api.Send(1, "a"))
    checker.listed(0, api.ListKind.CHANGES, [api.Worker("a", state=api.WorkerState.DRAINING)])
    checker.check_idle_connections(S)
    with pytest.raises(RuleViolationError, match="idle connections"):
        checker.check_idle_connections(S + 1)
    checker.check_action(S, api.CloseIdle("a"))
    checker.check_idle_connections(2 * S)
    checker.record_connection_use(2 * S, "a")  # as after an outcome, when the connection becomes idle again
    with pytest.raises(RuleViolationError, match="idle connections"):
        checker.check_idle_connections(4 * S)
