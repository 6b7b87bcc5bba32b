"""Client of a decision module of another revision, which runs in its own process.

Events and actions are exchanged by the simulator's protocol, as lines of JSON over pipes.
"""

import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson

from robinhill import api
from robinhill.adapter import OUTCOMES
from robinhill.settings import REPEATS, SCOPES

Json = Any
ANSWER_LIMIT_S = 60.0  # as in the bench: a module without a reply for longer counts as hanging
_OUTCOME_NAMES = {outcome: name for name, outcome in OUTCOMES.items()}
_REPEAT_NAMES = {repeat: name for name, repeat in REPEATS.items()}
_SCOPE_NAMES = {scope: name for scope, name in ((s, n) for n, s in SCOPES.items())}


class ModuleFailedError(RuntimeError):
    """The process of the other revision's module has exited, hangs, or has sent an invalid reply."""


def write_settings(s: api.Settings) -> dict[str, Json]:
    """Encode the module's settings as the options of the ``Launch`` message."""
    classes = [
        {
            "name": f"class-{n}",
            "aim-us": c.latency_objective_us,
            "hard-limit-us": c.deadline_us,
            "worth": c.priority_weight,
            "late-worth": c.late_priority_weight,
            "repeat": _REPEAT_NAMES[c.repeat],
            "dedup-scope": _SCOPE_NAMES[c.scope],
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
    """A decision module in another process, with the interface of the module in this process.

    Each event is sent as a batch of its own, whose reply is awaited. `start` and `handle` raise
    ModuleFailedError.
    """

    def __init__(self, root: Path, settings: api.Settings, seed: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "robinhill.adapter"], cwd=root, stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        )  # fmt: skip
        self.launch: list[Json] = ["Launch", str(seed), write_settings(settings)]

    def start(self, now: int) -> list[api.Action]:
        return self._exchange_batch(now, [self.launch])

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        return self._exchange_batch(now, _encode_event(event))

    def close(self) -> None:
        """Kill the module's process, so that it does not outlive its run."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.communicate()

    def _exchange_batch(self, now: int, messages: list[Json]) -> list[api.Action]:
        assert self.process.stdin and self.process.stdout
        line = orjson.dumps({"sim-time-us": now, "nodes": [{"node": 0, "msgs": messages}]})
        try:
            self.process.stdin.write(line + b"\n")
            self.process.stdin.flush()
            reply = self.process.stdout.readline()
        except OSError as e:
            raise ModuleFailedError(f"the other module's process exited: {self._last_error_line()}") from e
        if not reply:
            raise ModuleFailedError(f"the other module's process exited: {self._last_error_line()}")
        try:
            nodes = orjson.loads(reply)["nodes"]
            return [_decode_command(c) for node in nodes for c in node["cmds"]]
        except (orjson.JSONDecodeError, KeyError, IndexError, TypeError) as e:
            raise ModuleFailedError(f"the other module sent an invalid reply: {reply[:80]!r}") from e

    def _last_error_line(self) -> str:
        assert self.process.stderr
        self.process.kill()
        lines = self.process.stderr.read().decode(errors="replace").strip().splitlines()
        return lines[-1][:200] if lines else "it wrote nothing to stderr"


def _encode_event(event: api.Event) -> list[Json]:
    """Encode an event as messages of the simulator's protocol."""
    match event:
        case api.WorkersListed(kind=kind, workers=workers):
            rows = [
                [w.weight, w.cell, w.started_us or None, w.address, w.zone, int(w.state), w.kind]
                for w in workers
            ]
            return [["Pool", 0, rows], ["Targets", int(kind), 1, 0]]
        case api.ListLeaseChanged():
            return []  # the simulator's protocol has no list lease: its lists always count as confirmed
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
            return [["Done", job, _OUTCOME_NAMES[outcome], attempt, final, took, None]]
        case api.ClientDisconnected(job=job):
            return [["ClientGone", job]]
        case api.TimerFired(tag=tag):
            return [["Elapsed", tag]]
        case api.HealthCheckEnded(address=address, alive=alive):
            return [["Sampled", address, "completed" if alive else "overdue", 0]]


def _decode_command(command: list[Json]) -> api.Action:
    """Decode a command of the module as an action. Raises KeyError for an unknown command."""
    match command[0]:
        case "Route":
            return api.Send(command[1], command[2], command[3])
        case "Reject":
            return api.Reject(command[1], command[2])
        case "FinishError":
            return api.Fail(command[1])
        case "StopAttempt":
            return api.Cancel(command[1], command[2])
        case "Sleep":
            return api.SetTimer(command[1], command[2])
        case "Listen":
            return api.Subscribe()
        case "SoundOut":
            return api.CheckHealth(command[1])
        case "DropConns":
            return api.CloseIdle(command[1])
        case "Trace":
            return api.Log(command[1])
    raise KeyError(command[0])
