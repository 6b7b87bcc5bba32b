"""A decision module of another revision: in a process of its own, spoken to over the simulator's wire."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson

from robinhill import api
from robinhill.adapter import OUTCOMES
from robinhill.settings import REPEATS, SCOPES

Json = Any
ANSWER_LIMIT_S = 60.0  # as the bench: a module that thinks for longer hangs
_NAMES = {outcome: name for name, outcome in OUTCOMES.items()}
_REPEATS = {repeat: name for name, repeat in REPEATS.items()}
_SCOPES = {scope: name for scope, name in ((s, n) for n, s in SCOPES.items())}


class ModuleFailedError(RuntimeError):
    """The other module has crashed, hangs, or said what is no reply."""


def write_settings(s: api.Settings) -> dict[str, Json]:
    """The module's settings as the start message's options."""
    classes = [
        {
            "name": f"class-{n}",
            "aim-us": c.latency_objective_us,
            "hard-limit-us": c.deadline_us,
            "worth": c.priority_weight,
            "late-worth": c.late_priority_weight,
            "repeat": _REPEATS[c.repeat],
            "dedup-scope": _SCOPES[c.scope],
            "memory-span-us": c.memory_us,
            "stream": c.stream,
            "aim-stretch": c.stretch,
        }
        for n, c in enumerate(s.classes)
    ]
    return {
        "classes": classes, "fleet-size": s.fleet_size, "zone": s.zone,
        "discovery": "subscribe" if s.must_subscribe else "automatic",
        "value-by": "work" if s.value_by_work else "request",
        "over-share-worth": s.over_quota_priority_weight,
        "guarantees": {
            "ask-every-us": s.poll_interval_us, "drain-grace-us": s.drain_grace_us,
            "cold-from": s.slow_start_floor,
            "cold-us": s.slow_start_us, "fall-multiple": s.fall_multiple, "tip-after-us": s.tip_after_us,
        },
        "policy-limits": {
            "most-tries": s.max_attempts, "parallel-tries": s.parallel_attempts, "cancelling": s.cancelling,
            "probes": s.probes, "retry-after": s.retry_after, "max-retry-after-us": s.max_retry_after_us,
            "connect-timeout-us": s.connect_timeout_us, "keepalive-us": s.keepalive_us,
        },
        "prices": {
            "cross-zone": s.cross_zone_price, "waste": s.waste_price, "handshake": s.handshake_price
        },
        "specifics": {
            "tells-start": s.reports_start, "progress-us": s.progress_us,
            "class-stretch": [c.stretch for c in s.classes], "class-kind": [-1] * len(s.classes),
        },
        "tenants": [],
    }  # fmt: skip


class WireModule:
    """Handles events as the module in this process would; each is a batch of its own."""

    def __init__(self, root: Path, settings: api.Settings, seed: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "robinhill.adapter"], cwd=root, stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        )  # fmt: skip
        self.launch: list[Json] = ["Launch", str(seed), write_settings(settings)]

    def start(self, now: int) -> list[api.Action]:
        return self._batch(now, [self.launch])

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        return self._batch(now, _write(event))

    def close(self) -> None:
        """End the process; it must not outlive its run."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.communicate()

    def _batch(self, now: int, messages: list[Json]) -> list[api.Action]:
        assert self.process.stdin and self.process.stdout
        line = orjson.dumps({"sim-time-us": now, "nodes": [{"node": 0, "msgs": messages}]})
        try:
            self.process.stdin.write(line + b"\n")
            self.process.stdin.flush()
            reply = self.process.stdout.readline()
        except OSError as e:
            raise ModuleFailedError(f"the other module has ended: {self._words()}") from e
        if not reply:
            raise ModuleFailedError(f"the other module has ended: {self._words()}")
        try:
            nodes = orjson.loads(reply)["nodes"]
            return [_read(c) for node in nodes for c in node["cmds"]]
        except (orjson.JSONDecodeError, KeyError, IndexError, TypeError) as e:
            raise ModuleFailedError(f"the other module said what is no reply: {reply[:80]!r}") from e

    def _words(self) -> str:
        assert self.process.stderr
        self.process.kill()
        told = self.process.stderr.read().decode(errors="replace").strip().splitlines()
        return told[-1][:200] if told else "without a word"


def _write(event: api.Event) -> list[Json]:
    """An event as the wire's messages."""
    match event:
        case api.WorkersListed(kind=kind, workers=workers):
            rows = [
                [w.weight, w.cell, w.started_us or None, w.address, w.zone, int(w.state), w.kind]
                for w in workers
            ]
            return [["Pool", 0, rows], ["Targets", int(kind), 1, 0]]
        case api.ListLeaseChanged():
            return []  # the simulator's wire tells no lease: its lists are never unconfirmed
        case api.Arrived(request=r):
            attrs = 1 * bool(r.work_hint_us) + 2 * r.client_repeat
            return [
                [
                    "Request",
                    r.job,
                    r.tenant,
                    attrs,
                    r.work_hint_us,
                    None,
                    r.job_class,
                    None,
                    None,
                    r.time_left_us,
                ]
            ]
        case api.JobStarted(job=job, attempt=attempt):
            return [["UpdateOf", job, attempt, None, 1, None]]
        case api.JobProgress(job=job, attempt=attempt, share=share):
            return [["UpdateOf", job, attempt, None, 2, share]]
        case api.StreamStarted(job=job, attempt=attempt):
            return [["UnderWay", job, attempt, None, 0]]
        case api.AttemptEnded(job=job, attempt=attempt, outcome=outcome, took_us=took, final=final):
            return [["Done", job, _NAMES[outcome], attempt, final, took, None]]
        case api.ClientDisconnected(job=job):
            return [["ClientGone", job]]
        case api.TimerFired(tag=tag):
            return [["Elapsed", tag]]
        case api.HealthCheckEnded(address=address, alive=alive):
            return [["Sampled", address, "completed" if alive else "overdue", 0]]


def _read(m: list[Json]) -> api.Action:
    """One of the module's commands as an action."""
    match m[0]:
        case "Route":
            return api.Send(m[1], m[2], m[3])
        case "Reject":
            return api.Reject(m[1], m[2])
        case "FinishError":
            return api.Fail(m[1])
        case "StopAttempt":
            return api.Cancel(m[1], m[2])
        case "Sleep":
            return api.SetTimer(m[1], m[2])
        case "Listen":
            return api.Subscribe()
        case "SoundOut":
            return api.CheckHealth(m[1])
        case "DropConns":
            return api.CloseIdle(m[1])
        case "Trace":
            return api.Log(m[1])
    raise KeyError(m[0])
