"""Compatibility of external names with earlier versions: replies, metrics, flags, keys and exit codes.

The expected values are literals of the reference version of 2026-12-02. They are not edited, because
dashboards, scripts, files and other processes still use these names.
"""

import ast
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from . import surfaces

ROOT = Path(__file__).parent.parent

ERROR_TYPES = {
    "BoundNotMet",
    "ChangesFull",
    "CordonBudgetSpent",
    "CordonElsewhere",
    "CordonError",
    "CordonMalformed",
    "CordonUnknown",
    "CordonsFull",
    "DuplicateMember",
    "ForeignState",
    "FutureStamp",
    "GangError",
    "GangMismatch",
    "GangsFull",
    "JoinRefused",
    "ListsUnsettled",
    "MalformedGang",
    "MeshError",
    "NoSuchGang",
    "NotAccepted",
    "PeerRefused",
    "PeerUnreachable",
    "StampAhead",
    "StateFull",
    "TooManyCalls",
    "VotersMalformed",
    "VotersNotOneAtATime",
}

JSON_KEYS = {
    "unconfirmed": ["scheduler", "why"],
    "cordon": [
        "id",
        "target",
        "reason",
        "by",
        "since",
        "until",
        "automatic",
        "cause",
        "observers",
        "workers",
        "origin",
        "state",
        "unconfirmed",
    ],
    "listing": ["cordons", "held"],
    "answer": ["id", "targets", "state", "unconfirmed", "warnings", "error"],
    "put": ["target", "reason", "by", "until", "for_s"],
}

CORDON_STATES = ["received", "stored", "accepted", "in force", "over budget", "held here"]

OPERATOR_FILE_KEYS = [
    "admission",
    "admission.accounts",
    "admission.enabled",
    "admission.hand",
    "admission.limits",
    "admission.limits.open",
    "admission.limits.queued",
    "admission.limits.requests_burst",
    "admission.limits.requests_per_s",
    "admission.limits.work_burst",
    "admission.limits.work_per_s",
    "admission.networks",
    "admission.newcomers",
    "admission.prefix_v4",
    "admission.prefix_v6",
    "admission.queued",
    "admission.queues",
    "admission.retry_after_cap_ms",
    "admission.tenant_header",
    "admission.tenants",
    "log",
    "log.format",
    "log.level",
    "log.lines_a_second",
    "mesh",
    "mesh.bound_ms",
    "mesh.catch_up_ms",
    "mesh.folder",
    "mesh.gang_header",
    "mesh.gang_index_header",
    "mesh.gang_size_header",
    "mesh.installation",
    "mesh.listen",
    "mesh.name",
    "mesh.on_lost",
    "mesh.on_lost_by_kind",
    "mesh.partners",
    "mesh.peers",
    "mesh.region",
    "mesh.regions",
    "mesh.voters",
    "mesh.zone",
    "record",
    "record.file_mb",
    "record.folder",
    "record.total_mb",
]

METRICS = [
    "behind:{}|g",
    "bytes.{}:{}|g",
    "bytes_in:{}|c",
    "bytes_out.observers:{}|c",
    "bytes_out.voters:{}|c",
    "bytes_out:{}|c",
    "catch_up_ms:{}|g",
    "changes_under_way:{}|g",
    "comparisons:{}|c",
    "cordoned_workers:{}|g",
    "cordons:{}|g",
    "cordons_under_way:{}|g",
    "counts:{}|g",
    "in_step:{}|g",
    "lease:{}|g",
    "links:{}|g",
    "lost:{}|c",
    "majority_age_ms:{}|g",
    "messages_in:{}|c",
    "messages_out:{}|c",
    "moves:{}|c",
    "observers:{}|g",
    "opened:{}|c",
    "records.{}:{}|g",
    "refused:{}|c",
    "voters_linked:{}|g",
    "{}.active:{}|g",
    "{}.admission.queued:{}|g",
    "{}.door.queued:{}|g",
    "{}.list.age_ms:{}|g",
    "{}.list.version:{}|g",
    "{}.pool_ejected:{}|g",
    "{}.pool_size:{}|g",
    "{}.record.dropped:{}|c",
    "{}.record.written:{}|c",
    "{}.responses.{}.{}:{}|c",
    "{}.sends.{}:{}|c",
    "{}.tries:{}|c",
    "{}.{}.{}:{}|c",
    "{}:{}|c",
]

INITIAL_METRICS = [
    "app.responses.class-a.ok:0|c",
    "app.responses.class-a.shed:0|c",
    "app.responses.class-a.errors:0|c",
    "app.tries:0|c",
    "app.active:0|g",
    "app.pool_size:0|g",
    "app.pool_ejected:0|g",
    "app.sends.configuration:0|c",
    "app.sends.predecessor:0|c",
    "app.sends.discovery:0|c",
]

ENUMERATIONS = [
    ["active", "leaving", "left"],
    ["all", "zone", "cell"],
    ["answered", "excess", "late", "retired", "leaving", "room", "handed_over"],
    ["completed", "error", "full", "timeout", "connect-failed", "reset", "cancelled", "not-sent"],
    ["configuration", "predecessor", "discovery"],
    ["look", "overdue"],
    ["no_worker", "overload", "attempts_spent", "attempt_ended"],
    ["safe", "keyed", "unsafe"],
    ["serve", "hold"],
    ["started", "running", "done", "failed", "returned", "lost"],
]

COMMAND_LINE = {
    "": [],
    "run": [
        "--config",
        "--discovery",
        "--listen",
        "--name",
        "--operator",
        "--ops",
        "--record",
        "--socket-fd",
    ],
    "control": ["--folder", "--name", "--operator", "--ops"],
    "check-config": ["files"],
    "admission": [],
    "admission explain": ["--address", "--tenant", "file"],
    "door": [],
    "door explain": ["--address", "--tenant", "file"],
    "demo": ["--operator", "--seconds", "--workers"],
    "model": [],
    "model describe": ["--kinds", "source"],
    "model run": ["--seed", "--side", "situation"],
    "model compare": ["--html", "--json", "--on", "--processes", "--seed", "--trace", "--until", "a", "b"],
    "cordon": [],
    "cordon set": ["--by", "--for", "--ops", "--reason", "--wait", "cordon_id", "target"],
    "cordon lift": ["--ops", "--wait", "cordon_id"],
    "cordon list": ["--json", "--ops"],
    "cordon wait": ["--for", "--ops", "cordon_id"],
}

ENVIRONMENT = [
    "GW_CONFIG",
    "GW_DISCOVERY",
    "GW_LISTEN",
    "GW_NAME",
    "GW_OPERATOR",
    "GW_OPS",
    "GW_RECORD",
    "GW_SOCKET_FD",
]

PATHS = [
    "/jobs/",
    "/ops/admission",
    "/ops/cordons",
    "/ops/cordons/",
    "/ops/door",
    "/ops/drain/start",
    "/ops/drain/stop",
    "/ops/mesh",
    "/ops/mesh/forget",
    "/ops/mesh/vouch",
    "/ops/readiness",
    "/ops/stats",
    "/ops/workers/down",
    "/ops/workers/up",
    "/ready",
    "/v1/control",
    "/v1/endpoints",
    "/v1/job-events",
    "/v1/mesh",
]

TEXT_KEYS = [
    "--config",
    "--discovery",
    "--folder",
    "--listen",
    "--name",
    "--operator",
    "--ops",
    "--record",
    "--socket-fd",
    "/ops/admission",
    "/ops/drain/start",
    "/ops/drain/stop",
    "/ops/mesh",
    "/ops/mesh/forget",
    "/ops/mesh/vouch",
    "/ops/readiness",
    "/ops/stats",
    "/ops/workers/down",
    "/ops/workers/up",
    "Allow",
    "Expect",
    "GW_CONFIG",
    "GW_DISCOVERY",
    "GW_LISTEN",
    "GW_NAME",
    "GW_OPERATOR",
    "GW_OPS",
    "GW_RECORD",
    "GW_SOCKET_FD",
    "ROBINHILL_CLOCK_OFFSET_US",
    "Retry-After",
    "TMPDIR",
    "accepted",
    "accounts",
    "address",
    "admission",
    "advice",
    "after",
    "aim-stretch",
    "aim-us",
    "all",
    "answer",
    "areas",
    "arrived_us",
    "ask",
    "ask-every-us",
    "attempt",
    "attempts",
    "began_us",
    "behind",
    "body",
    "by",
    "bytes_in",
    "bytes_out",
    "caller",
    "cancelling",
    "cell",
    "class",
    "class-kind",
    "class-stretch",
    "class_ms",
    "class_us",
    "classes",
    "client_repeat",
    "clock_anchor_ns",
    "clock_corrected_ms",
    "cmds",
    "cold-from",
    "cold-us",
    "completed",
    "connect-timeout-us",
    "cordons",
    "cost_us",
    "costs",
    "count",
    "counts",
    "cross-zone",
    "deadline_us",
    "decider",
    "dedup",
    "dedup-scope",
    "deficit_us",
    "destination",
    "digest",
    "discovery",
    "door",
    "drain-grace-us",
    "drained",
    "enabled",
    "endings",
    "endpoint",
    "endpoints",
    "error",
    "errored",
    "failing",
    "fall-multiple",
    "fd",
    "final",
    "fleet-size",
    "flights",
    "for_s",
    "fragile",
    "frames_in",
    "frames_out",
    "from",
    "full",
    "generation",
    "given_up",
    "guarantees",
    "handshake",
    "hard-limit-us",
    "headers",
    "heaviest",
    "held_out",
    "hint_us",
    "hostPort",
    "id",
    "in_force",
    "in_step",
    "incarnation",
    "instanceId",
    "instances",
    "job",
    "job_class",
    "jobs",
    "keepalive-us",
    "key",
    "kinds",
    "known",
    "known_ms_ago",
    "lagging",
    "late-shedding",
    "late-worth",
    "lease",
    "leaving",
    "let-go-in-us",
    "let_in",
    "levels",
    "lifecycle",
    "limits",
    "links",
    "list_confirmed_us",
    "list_until_us",
    "long",
    "lost",
    "m",
    "machineType",
    "majority_known_ms_ago",
    "mark",
    "max-retry-after-us",
    "may_act",
    "mean_us",
    "memory-span-us",
    "module",
    "most-tries",
    "ms",
    "msgs",
    "name",
    "networks",
    "next",
    "observers",
    "on_lost",
    "open",
    "opened",
    "ops",
    "out",
    "outages",
    "over-share-worth",
    "overdue",
    "own",
    "parallel-tries",
    "places",
    "policy-limits",
    "prices",
    "probes",
    "progress-us",
    "promises",
    "queued",
    "quick",
    "quota-per-s",
    "rate",
    "rate_us",
    "ratio",
    "reason",
    "recalled",
    "refused",
    "refused_conn",
    "repeat",
    "request",
    "requests",
    "reset",
    "result",
    "retry-after",
    "retryable",
    "returned",
    "returns",
    "role",
    "root",
    "running",
    "runs-in",
    "same_list",
    "saturated",
    "scheduler",
    "schedulers",
    "seats",
    "secret",
    "seed",
    "seen",
    "sends",
    "sent_us",
    "served",
    "served_s",
    "served_us",
    "settings",
    "settled",
    "severed",
    "shapes",
    "shapes-allowed",
    "share",
    "shed",
    "short",
    "silent",
    "sim-time-us",
    "since",
    "slow",
    "sockets",
    "spare_voter",
    "specifics",
    "start",
    "start_us",
    "startedAtMs",
    "state",
    "strangers",
    "stream",
    "superseded",
    "taken",
    "target",
    "targets",
    "tells-start",
    "tenant",
    "tenants",
    "tenants_present",
    "time_left_us",
    "timers",
    "tip-after-us",
    "told_us",
    "type",
    "u",
    "unconfirmed",
    "unit",
    "unplaced",
    "until",
    "until_us",
    "usual_us",
    "value-by",
    "values",
    "voter",
    "voters",
    "wait",
    "wait_us",
    "waiting",
    "warnings",
    "waste",
    "watch",
    "weight",
    "what",
    "why",
    "window",
    "windows",
    "work",
    "workers",
    "worth",
    "yes",
    "zone",
    "zones",
]
"""Keys of settings, replies and messages between processes, which the code holds as string constants."""


def _sources() -> list[ast.Module]:
    return [ast.parse(path.read_text()) for path in sorted((ROOT / "robinhill").rglob("*.py"))]


@pytest.fixture(scope="module")
def source_strings() -> set[str]:
    """All string constants of the program, and its f-strings with {} for each value."""
    found = set()
    for tree in _sources():
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add(node.value)
            if isinstance(node, ast.JoinedStr):
                parts = [str(v.value) if isinstance(v, ast.Constant) else "{}" for v in node.values]
                found.add("".join(parts).strip())
    return found


def test_errors_keep_their_types() -> None:
    assert ERROR_TYPES - surfaces.error_types() == set()


def test_json_for_operators_keeps_its_keys() -> None:
    assert surfaces.operator_json_keys() == JSON_KEYS


def test_cordons_keep_their_states() -> None:
    assert surfaces.cordon_states() == CORDON_STATES


def test_operators_file_keeps_its_keys() -> None:
    assert surfaces.operator_file_keys() == OPERATOR_FILE_KEYS


def test_metrics_keep_their_names(source_strings: set[str]) -> None:
    found = {text for text in source_strings if re.fullmatch(r"[a-z_.{}]+:\{\}\|[cg]", text)}
    assert sorted(found) == METRICS


def test_new_process_reports_the_same_metrics() -> None:
    assert surfaces.initial_metrics().splitlines() == INITIAL_METRICS


def test_enumerations_keep_their_values() -> None:
    found = surfaces.string_enumerations()
    assert [each for each in ENUMERATIONS if each not in found] == []


def test_command_line_keeps_its_flags_and_arguments() -> None:
    assert surfaces.command_line() == COMMAND_LINE


def test_environment_variables_keep_their_names(source_strings: set[str]) -> None:
    assert sorted(text for text in source_strings if re.fullmatch(r"GW_[A-Z_]+", text)) == ENVIRONMENT


def test_http_paths_are_unchanged(source_strings: set[str]) -> None:
    assert [path for path in PATHS if path not in source_strings] == []


def test_keys_in_settings_replies_and_messages_are_unchanged(source_strings: set[str]) -> None:
    assert [key for key in TEXT_KEYS if key not in source_strings] == []


def test_deploy_file_keeps_its_keys() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert list(deploy) == ["build", "run", "sim", "policy", "node", "packages"]
    assert deploy["run"] == "exec .venv/bin/python -m robinhill"
    assert deploy["sim"] == "exec .venv/bin/python -m robinhill.adapter"
    assert "robinhill/logic.py" in deploy["policy"]
    assert all((ROOT / path).exists() for path in deploy["policy"] + deploy["node"])


def test_documented_imports_work() -> None:
    code = "from robinhill import Balancer, Settings, api; from robinhill.logic import Balancer as B"
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["check-config", "missing.json"], 2),
        (["run"], 2),
        (["control"], 2),
        (["no-such-command"], 2),
        (["--help"], 0),
    ],
)
def test_exit_codes_are_unchanged(arguments: list[str], code: int, tmp_path: Path) -> None:
    env = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    env["PYTHONPATH"] = str(ROOT)
    command = [sys.executable, "-m", "robinhill", *arguments]
    run = subprocess.run(command, cwd=tmp_path, env=env, capture_output=True, check=False)
    assert run.returncode == code
