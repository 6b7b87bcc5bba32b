"""The simulator adapter, tested with encoded messages and commands."""

import io
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from robinhill import adapter

ROOT = Path(__file__).parent.parent
OPTIONS: dict[str, Any] = {
    "fleet-size": 2,
    "discovery": "subscribe",
    "unheard-of": {"x": 1},
    "classes": [{"aim-us": 60000, "hard-limit-us": 5000000, "repeat": "fragile", "memory-span-us": 0}],
    "policy-limits": {"most-tries": 3},
    "guarantees": {
        "drain-grace-us": 1000000,
        "cold-from": 0.3,
        "cold-us": 8000000,
        "fall-multiple": 4.0,
        "tip-after-us": 1500000,
    },
}
START = [
    ["Launch", 5, OPTIONS],
    ["Pool", 0, [[1, 0, None, "10.0.0.1:80", 0, 1, 0], [1.5, 0, 6100000, "10.0.0.2:80", 1, 2, 0]]],
    ["Targets", 2, 1, 0],
]
REQUEST = ["Request", 9, 0, 0, None, None, 0, None, 1, 240000]


def batch(*messages: Any, node: int = 3, now: int = 8_000_000) -> bytes:
    return orjson.dumps({"sim-time-us": now, "nodes": [{"node": node, "msgs": list(messages)}]}) + b"\n"


def test_launched_node_polls_the_list_and_sends_a_request_to_a_worker() -> None:
    source = io.BytesIO(batch(*START) + batch(REQUEST) + b'{"sim-time-us":8000001,"nodes":[]}\n')
    sink = io.BytesIO()
    adapter.run(source, sink)
    first, second, third = (orjson.loads(x) for x in sink.getvalue().splitlines())
    assert first == {"nodes": [{"node": 3, "cmds": first["nodes"][0]["cmds"]}]}
    assert first["nodes"][0]["cmds"][0][::2] == ["Sleep", "list"]
    assert second["nodes"][0]["cmds"][0][:3] == ["Route", 9, "10.0.0.1:80"]
    assert third == {"nodes": []}


def test_error_of_an_unsafe_job_fails_the_request() -> None:
    host = adapter.Host()
    host.batch(batch(*START, REQUEST))
    reply = orjson.loads(host.batch(batch(["Done", 9, "errored", 0, False, 1000, "10.0.0.1:80", None, None])))
    assert ["FinishError", 9] in reply["nodes"][0]["cmds"]


def options(**changes: Any) -> dict[str, Any]:
    """A copy of ``OPTIONS`` with changed keys of the first class or of the guarantees."""
    copy: dict[str, Any] = orjson.loads(orjson.dumps(OPTIONS))
    for name, value in changes.items():
        name = name.replace("_", "-")
        (copy["classes"][0] if name in ("runs-in", "shapes-allowed") else copy["guarantees"])[name] = value
    return copy


def test_optional_restrictions_and_guarantees_become_settings() -> None:
    defaults = adapter.read_settings(OPTIONS)
    assert defaults.classes[0].kinds is None and defaults.classes[0].zones is None
    assert defaults.close_within_us is None and not defaults.full_may_have_run
    changed = options(runs_in=[0, 2], shapes_allowed=[1], let_go_in_us=0, late_shedding=True)
    settings = adapter.read_settings(changed)
    assert settings.classes[0].zones == frozenset({0, 2}) and settings.classes[0].kinds == frozenset({1})
    assert settings.close_within_us == 0 and settings.full_may_have_run
    both = options(shapes_allowed=[0, 1])
    both["specifics"] = {"class-kind": [1]}
    assert adapter.read_settings(both).classes[0].kinds == frozenset({1})


def test_empty_or_missing_list_does_not_restrict_a_class() -> None:
    empty_lists: tuple[Any, ...] = ([], None)
    for empty in empty_lists:
        settings = adapter.read_settings(options(runs_in=empty, shapes_allowed=empty))
        assert settings.classes[0].kinds is None and settings.classes[0].zones is None


@pytest.mark.parametrize(
    "name, value",
    [("runs-in", "a"), ("runs-in", ["a"]), ("shapes-allowed", 3), ("let-go-in-us", -1), ("late-shedding", 2)],
)
def test_invalid_optional_setting_is_named_in_the_error(name: str, value: object) -> None:
    named = {"let-go-in-us": "close_within_us", "late-shedding": "full_may_have_run"}.get(name, name)
    with pytest.raises(ValueError, match=named):
        adapter.read_settings(options(**{name: value}))


def test_drain_of_a_worker_closes_its_idle_connections() -> None:
    host = adapter.Host()
    start = ["Launch", 5, options(let_go_in_us=1500000)]
    host.batch(batch(start, *START[1:], REQUEST))
    drain = [["Pool", 1, [[1, 0, None, "10.0.0.1:80", 0, 2, 0]]], ["Targets", 0, 2, 1]]
    reply = orjson.loads(host.batch(batch(*drain)))
    assert ["DropConns", "10.0.0.1:80"] in reply["nodes"][0]["cmds"]


def test_exited_node_sends_no_commands_and_accepts_no_messages() -> None:
    host = adapter.Host()
    host.batch(batch(*START))
    assert orjson.loads(host.batch(batch(REQUEST, ["Exit"]))) == {"nodes": []}
    with pytest.raises(adapter.WireError):
        host.batch(batch(REQUEST))


MALFORMED = [
    b"{\n",
    b"[]\n",
    b'{"sim-time-us":"x","nodes":[]}\n',
    b'{"sim-time-us":1,"nodes":[{"node":1,"msgs":[["Nonsense"]]}]}\n',
    batch(["Launch", 5, {}]),
    batch(*START, ["Request", 9]),
    batch(*START, ["Done", 1, "gone-missing", 0, False, 1, "a"]),
    batch(["Pool", 0, [[1, 0, None, 7, 0, 1, 0]]]),
    batch(REQUEST),
]


@pytest.mark.parametrize("line", MALFORMED)
def test_malformed_input_ends_the_adapter_with_one_line(line: bytes) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "robinhill.adapter"], input=line, capture_output=True, cwd=ROOT, check=False
    )
    assert completed.returncode == 2 and completed.stdout == b""
    assert completed.stderr.startswith(b"robinhill: ") and completed.stderr.count(b"\n") == 1
