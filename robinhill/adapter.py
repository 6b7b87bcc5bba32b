"""Connects balancers to the simulator.

The adapter decodes the simulator's messages to events of ``robinhill.api`` and encodes the resulting actions
as the simulator's commands. A balancer is the decision module of one scheduler (``robinhill.logic``).
"""

import gc
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from robinhill import api
from robinhill.logic import Balancer
from robinhill.settings import read_settings as read_settings

Json = Any

OUTCOMES = {
    "completed": api.Outcome.COMPLETED,
    "errored": api.Outcome.ERROR,
    "saturated": api.Outcome.FULL,
    "overdue": api.Outcome.TIMEOUT,
    "refused_conn": api.Outcome.CONNECT_FAILED,
    "severed": api.Outcome.RESET,
    "recalled": api.Outcome.CANCELLED,
    "superseded": api.Outcome.NOT_SENT,
}
# Results of a health check that prove that the worker is alive.
ALIVE_RESULTS = tuple(name for name, outcome in OUTCOMES.items() if outcome in api.ANSWERED)


class WireError(Exception):
    """The input violates the simulator's protocol."""


def read_worker(row: list[Json]) -> api.Worker:
    """Decode one entry of an endpoint list; raises WireError."""
    weight, cell, started, address, zone, state, kind = row[:7]
    if not isinstance(address, str):
        raise WireError("the address of a worker must be a string")
    return api.Worker(address, zone, api.WorkerState(state), started or 0, weight, kind or 0, cell or 0)


class Host:
    """Runs one balancer for each node (simulated scheduler); a batch has messages for any number of nodes."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.endpoint_lists: dict[int, list[api.Worker]] = {}
        self.decoders: dict[str, Callable[[list[Json]], api.Event | None]] = {
            "Request": self._request,
            "Done": lambda m: api.AttemptEnded(m[1], m[3], OUTCOMES[m[2]], m[5], bool(m[4])),
            "UpdateOf": self._job_update,
            "UnderWay": lambda m: api.StreamStarted(m[1], m[2]),
            "ClientGone": lambda m: api.ClientDisconnected(m[1]),
            "Elapsed": lambda m: api.TimerFired(m[1]),
            "Targets": lambda m: api.WorkersListed(
                api.ListKind(m[1]), self.endpoint_lists[m[3]] if m[1] != 3 else []
            ),
            "Sampled": lambda m: api.HealthCheckEnded(m[1], m[2] in ALIVE_RESULTS),
            "Inbox": lambda _: None,
        }

    @staticmethod
    def _request(m: list[Json]) -> api.Event:
        job, team, attrs, hint = m[1], m[2], m[3] or 0, m[4]
        if type(job) is not int or type(m[6]) is not int or type(m[9]) is not int:
            raise WireError("the job, job class and remaining time of a Request must be integers")
        hint = hint if hint and attrs & 1 else 0
        return api.Arrived(api.Request(job, m[6], m[9], team or 0, hint, bool(attrs & 2)))

    @staticmethod
    def _job_update(m: list[Json]) -> api.Event:
        if m[4] == 1:
            return api.JobStarted(m[1], m[2])
        return api.JobProgress(m[1], m[2], m[5] or 0.0)

    def _decode(self, node: int, m: list[Json]) -> api.Event | Balancer | None:
        """Decode one message to an event or to a new balancer; raises WireError.

        Returns None for a message that needs no balancer: it is ignored, or it changes only this host.
        """
        try:
            name = m[0]
            if name == "Pool":
                self.endpoint_lists[m[1]] = [read_worker(row) for row in m[2]]
                return None
            if name == "Launch":
                return Balancer(read_settings(m[2]), int(m[1]))
            if name == "Exit":
                self.balancers.pop(node, None)
                return None
            if name not in self.decoders:
                raise WireError(f"unknown message {name!r}")
            if node not in self.balancers:
                raise WireError(f"message {name} for node {node}, which is not running")
            return self.decoders[name](m)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as e:
            raise WireError(f"missing or unknown key {e}" if isinstance(e, KeyError) else str(e)) from e

    def _handle(self, now: int, node: int, m: list[Json], cmds: list[Json]) -> None:
        event = self._decode(node, m)
        if event is None:
            if m[0] == "Exit":
                cmds.clear()
            return
        if isinstance(event, Balancer):
            self.balancers[node] = event
            actions = event.start(now)
        else:
            actions = self.balancers[node].handle(now, event)
        cmds.extend(_ENCODERS[type(action)](action) for action in actions)

    def batch(self, line: bytes) -> bytes:
        """Handle one batch of messages; return the reply, which contains the commands of all nodes.

        Raises WireError.
        """
        try:
            data = orjson.loads(line)
            now, groups = data["sim-time-us"], [(g["node"], g["msgs"]) for g in data["nodes"]]
        except (orjson.JSONDecodeError, KeyError, TypeError) as e:
            raise WireError(f"not a batch of messages: {e}") from e
        if type(now) is not int or not all(type(n) is int and isinstance(ms, list) for n, ms in groups):
            raise WireError(
                "not a batch: sim-time-us and each node must be integers, and the msgs of a node a list"
            )
        replies = []
        for node, messages in groups:
            cmds: list[Json] = []
            for m in messages:
                self._handle(now, node, m, cmds)
            if cmds:
                replies.append({"node": node, "cmds": cmds})
        return orjson.dumps({"nodes": replies}) + b"\n"


_ENCODERS: dict[type, Callable[[Any], list[Json]]] = {
    api.Send: lambda a: ["Route", a.job, a.address, a.timeout_us],
    api.Reject: lambda a: ["Reject", a.job, a.retry_in_us],
    api.Fail: lambda a: ["FinishError", a.job],
    api.Cancel: lambda a: ["StopAttempt", a.job, a.attempt],
    api.SetTimer: lambda a: ["Sleep", a.after_us, a.tag],
    api.Subscribe: lambda _: ["Listen", True],
    api.CheckHealth: lambda a: ["SoundOut", a.address],
    api.CloseIdle: lambda a: ["DropConns", a.address],
    api.Log: lambda a: ["Trace", a.text],
}


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each batch, which is one line of ``source``, until the input ends; raises WireError."""
    host = Host()
    for line in source:
        sink.write(host.batch(line))
        sink.flush()


def main() -> int:
    """Run on standard input and output and return the exit status.

    On malformed input, print one line to standard error and return 2.
    """
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as e:
        print(f"robinhill: malformed input: {' '.join(str(e).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
