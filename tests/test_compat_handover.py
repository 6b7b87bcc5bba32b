"""A process hands over to its successor in the form of before, and takes what the version before hands over.

Expectations are literals of the version of 2026-12-02, here and in ``tests/compat``. They are not edited:
while a scheduler is upgraded its two processes are of different versions.
"""

import asyncio
import json
import os
import socket
from pathlib import Path
from typing import Any

import pytest

from . import surfaces

FILES = Path(__file__).parent / "compat"

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


def _load(name: str) -> Any:
    return json.loads((FILES / name).read_text())


def assert_same(found: Any, expected: Any, where: str = "") -> None:
    """Equal, but for what another processor's arithmetic does to the last digits of a number."""
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


def test_exported_state_is_that_of_before() -> None:
    assert_same(surfaces.exported_state(), _load("state.json"))


def test_state_of_before_is_taken_and_handed_on() -> None:
    assert_same(surfaces.reexported_state(_load("state.json")), _load("state_reexported.json"))


def test_jobs_are_handed_over_as_before() -> None:
    assert_same(surfaces.handed_over_jobs(), _load("jobs.json"))


def test_jobs_of_before_are_taken_and_handed_on() -> None:
    assert_same(surfaces.handed_over_again(_load("jobs.json")), _load("jobs.json"))


def test_exported_admission_is_that_of_before() -> None:
    assert_same(surfaces.exported_admission(), _load("admission.json"))


def test_admission_of_before_is_taken_and_handed_on() -> None:
    assert_same(surfaces.reexported_admission(_load("admission.json")), _load("admission_reexported.json"))


def test_a_caller_is_handed_over_as_before() -> None:
    assert surfaces.exported_caller() == CALLER


def test_a_request_is_handed_over_as_before() -> None:
    assert surfaces.handed_request() == REQUEST


def test_a_workers_call_is_passed_on_as_before() -> None:
    assert surfaces.worker_event() == WORKER_EVENT


def test_an_entry_of_the_list_is_passed_on_as_before() -> None:
    assert surfaces.listed_worker() == LISTED_WORKER


def test_timers_have_the_tags_of_before() -> None:
    assert surfaces.timer_tags() == TIMER_TAGS


HELLO = ["clock_anchor_ns", "list_confirmed_us", "list_until_us", "discovery", "known"]
KNOWN = ["generation", "reset", "instances"]
INSTANCE = ["instanceId", "hostPort", "zone", "machineType", "cell", "lifecycle", "weight", "startedAtMs"]
MEMORY = ["decider", "drained", "door"]
DECIDER = ["module", "seen", "held_out", "outages", "next"]
ADOPT = [
    "job", "deadline_us", "endpoints", "endings", "returned", "attempt", "destination", "module", "timers",
    "door", "request",
]  # fmt: skip
ATTEMPT = ["until_us", "final", "sent_us"]


class Link:
    """The successor's end of the link to a running process."""

    def __init__(self, path: Path) -> None:
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.connect(str(path))
        self.sock.settimeout(10)
        self.buffer = b""
        self.fds: list[int] = []

    def hear(self) -> Any:
        """The next message, within 10 s."""
        while b"\n" not in self.buffer:
            data, fds, _, _ = socket.recv_fds(self.sock, 1 << 16, 8)
            assert data, "the process has closed the link"
            self.buffer += data
            self.fds += fds
        line, _, self.buffer = self.buffer.partition(b"\n")
        return json.loads(line)

    def ask(self, number: int, what: str) -> Any:
        """The answer to a question; it carries the question's number."""
        question = {"ask": number, "what": what, "fd": False, "body": {}}
        self.sock.sendall(json.dumps(question).encode() + b"\n")
        answer = self.hear()
        assert list(answer) == ["answer", "body"] and answer["answer"] == number
        return answer["body"]

    def close(self) -> None:
        """End the link and what came over it."""
        self.sock.close()
        for fd in self.fds:
            os.close(fd)


def test_the_link_between_two_processes_has_the_questions_and_keys_of_before(tmp_path: Path) -> None:
    """A process of the version before asks; a request that runs is handed to it with its client's socket."""

    async def play() -> None:
        async with surfaces.process_with_a_running_job(tmp_path, "j1"):
            link = Link(tmp_path / "robinhill.sock")
            try:
                hello = await asyncio.to_thread(link.ask, 1, "hello")
                assert list(hello) == HELLO
                assert list(hello["known"]) == KNOWN
                assert list(hello["known"]["instances"][0]) == INSTANCE
                memory = await asyncio.to_thread(link.ask, 2, "memory")
                assert list(memory) == MEMORY
                assert list(memory["decider"]) == DECIDER
                assert await asyncio.to_thread(link.ask, 3, "serving") == {}
                adopt = await asyncio.to_thread(link.hear)
                assert {k: adopt[k] for k in ("ask", "what", "fd")} == {"ask": 1, "what": "adopt", "fd": True}
                assert sorted(adopt["body"]) == sorted(ADOPT)
                assert list(adopt["body"]["attempt"]) == ATTEMPT
                assert list(adopt["body"]["destination"]) == INSTANCE
                assert list(adopt["body"]["request"]) == list(REQUEST)
                assert adopt["body"]["endpoints"] == ["w1"]
                assert len(link.fds) == 1
            finally:
                link.close()

    asyncio.run(play())
