"""Compatibility of the hand-over between a process and its successor with earlier versions.

The expected values, here and in ``tests/compat``, are literals of the reference version of 2026-12-02. They
are not edited, because the two processes run different versions while a scheduler is upgraded.
"""

import asyncio
import json
import os
import socket
from pathlib import Path
from typing import Any

import pytest

from . import surfaces

COMPAT_FILES = Path(__file__).parent / "compat"

CALLER = {"tenant": 1, "name": "name2", "network": 3, "mark": 4}
REQUEST = {
    "id": "id1",
    "job_class": 2,
    "time_left_us": 3,
    "client_repeat": True,
    "target": "/target4",
    "body": "bodyÿ",
    "headers": [["key5", "value6"]],
    "tenant": "tenant7",
    "cost_us": 8,
    "key": "key9",
}
WORKER_EVENT = {"id": "id1", "from": "w2", "state": "started", "share": 0.5, "result": "result3"}
LISTED_WORKER = {
    "instanceId": "id1",
    "hostPort": "127.0.0.1:2",
    "zone": "zone3",
    "machineType": "type4",
    "cell": 5,
    "lifecycle": "active",
    "weight": 6.0,
    "startedAtMs": 7.0,
}
TIMER_TAGS = ["look 5 2", "overdue 5 2", "held", "list"]


def load_json(name: str) -> Any:
    return json.loads((COMPAT_FILES / name).read_text())


def assert_same(found: Any, expected: Any, where: str = "") -> None:
    """Check equality; floats may differ in their last digits, because rounding depends on the processor."""
    if isinstance(expected, dict):
        assert list(found) == list(expected), where
        for key, value in expected.items():
            assert_same(found[key], value, f"{where}.{key}")
    elif isinstance(expected, list):
        assert len(found) == len(expected), where
        for number, value in enumerate(expected):
            assert_same(found[number], value, f"{where}[{number}]")
    elif isinstance(expected, float) or isinstance(found, float):
        assert found == pytest.approx(expected, rel=1e-9), where
    else:
        assert found == expected, where


def test_decision_state_is_exported_in_the_reference_format() -> None:
    assert_same(surfaces.exported_state(), load_json("state.json"))


def test_decision_state_of_the_reference_version_is_imported() -> None:
    assert_same(surfaces.reexported_state(load_json("state.json")), load_json("state_reexported.json"))


def test_jobs_are_exported_in_the_reference_format() -> None:
    assert_same(surfaces.exported_jobs(), load_json("jobs.json"))


def test_jobs_of_the_reference_version_are_imported() -> None:
    assert_same(surfaces.reexported_jobs(load_json("jobs.json")), load_json("jobs.json"))


def test_admission_state_is_exported_in_the_reference_format() -> None:
    assert_same(surfaces.exported_admission(), load_json("admission.json"))


def test_admission_state_of_the_reference_version_is_imported() -> None:
    assert_same(
        surfaces.reexported_admission(load_json("admission.json")), load_json("admission_reexported.json")
    )


def test_caller_is_exported_in_the_reference_format() -> None:
    assert surfaces.exported_caller() == CALLER


def test_request_is_exported_in_the_reference_format() -> None:
    assert surfaces.exported_request() == REQUEST


def test_worker_event_is_forwarded_in_the_reference_format() -> None:
    assert surfaces.encoded_worker_event() == WORKER_EVENT


def test_listed_worker_is_sent_in_the_reference_format() -> None:
    assert surfaces.encoded_listed_worker() == LISTED_WORKER


def test_timers_keep_their_tags() -> None:
    assert surfaces.timer_tags() == TIMER_TAGS


HELLO_KEYS = ["clock_anchor_ns", "list_confirmed_us", "list_until_us", "discovery", "known"]
KNOWN_KEYS = ["generation", "reset", "instances"]
ENTRY_KEYS = ["instanceId", "hostPort", "zone", "machineType", "cell", "lifecycle", "weight", "startedAtMs"]
MEMORY_KEYS = ["decider", "drained", "door"]
DECIDER_KEYS = ["module", "seen", "held_out", "outages", "next"]
ADOPT_KEYS = [
    "job", "deadline_us", "endpoints", "endings", "returned", "attempt", "destination", "module", "timers",
    "door", "request",
]  # fmt: skip
ATTEMPT_KEYS = ["until_us", "final", "sent_us"]


class Link:
    """The successor's end of the hand-over link to a running process."""

    def __init__(self, path: Path) -> None:
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.connect(str(path))
        self.sock.settimeout(10)
        self.buffer = b""
        self.fds: list[int] = []

    def receive(self) -> Any:
        """Return the next message; raises TimeoutError after 10 s."""
        while b"\n" not in self.buffer:
            data, fds, _, _ = socket.recv_fds(self.sock, 1 << 16, 8)
            assert data, "the process has closed the link"
            self.buffer += data
            self.fds += fds
        line, _, self.buffer = self.buffer.partition(b"\n")
        return json.loads(line)

    def call(self, number: int, what: str) -> Any:
        """Send a request and return the body of its answer, which must carry the request's number."""
        request = {"ask": number, "what": what, "fd": False, "body": {}}
        self.sock.sendall(json.dumps(request).encode() + b"\n")
        answer = self.receive()
        assert list(answer) == ["answer", "body"] and answer["answer"] == number
        return answer["body"]

    def close(self) -> None:
        """Close the link and the file descriptors received over it."""
        self.sock.close()
        for fd in self.fds:
            os.close(fd)


def test_handover_link_keeps_its_requests_and_keys(tmp_path: Path) -> None:
    """A successor of the reference version takes over; the request of a running job is handed over with its
    client's socket."""

    async def take_over() -> None:
        async with surfaces.process_with_a_running_job(tmp_path, "j1"):
            link = Link(tmp_path / "robinhill.sock")
            try:
                hello = await asyncio.to_thread(link.call, 1, "hello")
                assert list(hello) == HELLO_KEYS
                assert list(hello["known"]) == KNOWN_KEYS
                assert list(hello["known"]["instances"][0]) == ENTRY_KEYS
                memory = await asyncio.to_thread(link.call, 2, "memory")
                assert list(memory) == MEMORY_KEYS
                assert list(memory["decider"]) == DECIDER_KEYS
                assert await asyncio.to_thread(link.call, 3, "serving") == {}
                adopt = await asyncio.to_thread(link.receive)
                assert {k: adopt[k] for k in ("ask", "what", "fd")} == {"ask": 1, "what": "adopt", "fd": True}
                assert sorted(adopt["body"]) == sorted(ADOPT_KEYS)
                assert list(adopt["body"]["attempt"]) == ATTEMPT_KEYS
                assert list(adopt["body"]["destination"]) == ENTRY_KEYS
                assert list(adopt["body"]["request"]) == list(REQUEST)
                assert adopt["body"]["endpoints"] == ["w1"]
                assert len(link.fds) == 1
            finally:
                link.close()

    asyncio.run(take_over())
