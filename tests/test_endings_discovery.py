"""The scheduler recovers from calls to discovery and watches that fail, in any way and in any phase."""

import asyncio
import contextlib
import copy
import heapq
import json
import logging
import os
import random
import socket
import struct
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Literal

import orjson
import pytest

from robinhill import config
from robinhill.config_types import Address
from robinhill.net import scheduler as embedded
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.discovery.list_watcher import ChangeAddress, EndpointListWatcher
from robinhill.net.dispatcher.messages import DiscoveryAddressChanged, EndpointListReceived, ListConfirmed
from robinhill.placement import watch_schedule
from robinhill.placement.watch_schedule import WatchSchedule

from .conftest import MS, S, settings
from .test_config import GIVEN

# A simulated fleet of schedulers that share one discovery

DISCOVERY_QUEUE_TIMEOUT_US = 2 * S  # discovery fails calls that are queued for longer
Trigger = Literal["start", "reset", "silent"]
Failure = Literal["refused", "connect timeout", "response timeout", "503"]
FAILURE_DURATION_US = {
    "refused": MS,
    "connect timeout": S,
    "response timeout": watch_schedule.CALL_TIMEOUT_US,
    "503": 5 * MS,
}


@dataclass(slots=True)
class Fleet:
    """Schedulers that share one discovery and all start, or lose their watches, at time 0.

    With the trigger ``silent``, each scheduler notices the loss at its silence timeout. Calls fail with
    ``failure`` until discovery becomes reachable at ``reachable_from_us``.
    """

    size: int
    service_us: int  # time that discovery spends on one call; it serves one call at a time
    reachable_from_us: int = 0
    failure: Failure = "refused"
    calls: list[int] = field(default_factory=list)  # times of the calls that reached discovery
    list_received_us: dict[int, int] = field(default_factory=dict)  # by the scheduler's number

    def simulate(self, trigger: Trigger, seed: int) -> None:
        rng, queue = random.Random(seed), list[tuple[int, int, str, int]]()
        schedules = [
            WatchSchedule(False, random.Random(seed * 1000 + i), self.size) for i in range(self.size)
        ]
        waiting, busy = deque[tuple[int, int]](), False

        def push_event(at_us: int, kind: str, number: int = -1) -> None:
            heapq.heappush(queue, (at_us, len(queue), kind, number))

        for number, schedule in enumerate(schedules):
            if trigger == "start":
                push_event(schedule.start(0), "call", number)
                continue
            schedule.record_call(-100 * S)
            schedule.record_received(-rng.randrange(2 * S))
            lost_us = 0 if trigger == "reset" else schedule.silence_deadline_us()
            push_event(lost_us + schedule.record_lost(lost_us), "call", number)
        while queue:
            now, _, kind, number = heapq.heappop(queue)
            if kind == "call":
                schedules[number].record_call(now)
                if now < self.reachable_from_us:
                    push_event(now + FAILURE_DURATION_US[self.failure], "failed", number)
                    continue
                self.calls.append(now)
                waiting.append((now, number))
                if not busy:
                    busy = True
                    push_event(now, "serve next")
            elif kind == "failed":
                push_event(now + schedules[number].record_lost(now), "call", number)
            elif kind == "answered":
                schedules[number].record_received(now)
                self.list_received_us[number] = now
            else:
                while waiting and now - waiting[0][0] > DISCOVERY_QUEUE_TIMEOUT_US:
                    push_event(now, "failed", waiting.popleft()[1])
                busy = bool(waiting)
                if busy:
                    push_event(now + self.service_us, "answered", waiting.popleft()[1])
                    push_event(now + self.service_us, "serve next")

    def max_calls(self, window_us: int) -> int:
        """Return the largest number of calls that reached discovery in any window of this length."""
        first, largest = 0, 0
        for last, at_us in enumerate(self.calls):
            while at_us - self.calls[first] >= window_us:
                first += 1
            largest = max(largest, last - first + 1)
        return largest


@pytest.mark.parametrize("size, service_us", [(200, 20 * MS), (40, 100 * MS), (6, 200 * MS)])
@pytest.mark.parametrize("trigger", ["start", "reset", "silent"])
def test_fleet_spreads_its_calls_and_receives_the_list_within_the_bound(
    size: int, service_us: int, trigger: Trigger
) -> None:
    for seed in range(3):
        fleet = Fleet(size, service_us)
        fleet.simulate(trigger, seed)
        assert len(fleet.list_received_us) == size
        assert max(fleet.list_received_us.values()) <= watch_schedule.LIST_CHANGE_BOUND_US
        if size > 6:
            assert fleet.max_calls(50 * MS) <= size // 10 + 4
            assert fleet.max_calls(S) <= size * 0.85


@pytest.mark.parametrize("size, service_us", [(200, 20 * MS), (40, 100 * MS), (6, 200 * MS)])
@pytest.mark.parametrize("failure", FAILURE_DURATION_US)
def test_fleet_receives_the_list_within_the_bound_after_a_discovery_outage(
    size: int, service_us: int, failure: Failure
) -> None:
    for seed in range(3):
        fleet = Fleet(size, service_us, 8 * S, failure)
        fleet.simulate("reset", seed)
        assert max(fleet.list_received_us.values()) <= 8 * S + watch_schedule.LIST_CHANGE_BOUND_US
        if size > 6:
            assert fleet.max_calls(50 * MS) <= size // 10 + 4
            assert fleet.max_calls(S) <= size * 0.7


def test_fleet_keeps_overloaded_discovery_busy_until_all_have_the_list() -> None:
    """Serving all calls takes 10 s, longer than the bound, so discovery must not be idle in between."""
    for seed in range(3):
        fleet = Fleet(200, 50 * MS)
        fleet.simulate("reset", seed)
        # The service time of all calls, and a margin of 1 s
        assert max(fleet.list_received_us.values()) <= 200 * 50 * MS + S


def test_first_poll_starts_within_half_of_the_poll_interval_and_of_the_bound() -> None:
    for poll_interval_us in (2 * S, 4 * S, 10 * S):
        given = settings(must_subscribe=True, poll_interval_us=poll_interval_us, fleet_size=200)
        for seed in range(20):
            schedule = watch_schedule.from_settings(given, random.Random(seed))
            assert schedule.start(0) <= min(poll_interval_us, watch_schedule.LIST_CHANGE_BOUND_US) // 2


@pytest.mark.parametrize("fleet_size", [1, 200])
def test_backoff_never_exceeds_half_of_the_bound(fleet_size: int) -> None:
    rng = random.Random(7)
    schedule, now = WatchSchedule(False, random.Random(1), fleet_size), 0
    now += schedule.start(now)
    for _ in range(5_000):
        schedule.record_call(now)
        now += rng.choice([1, 20 * MS, S, 2 * S, 3 * S])
        if rng.random() < 0.2:
            schedule.record_received(now)
            now += rng.choice([0, S, watch_schedule.WATCH_SILENCE_TIMEOUT_US])
        backoff = schedule.record_lost(now)
        assert 0 <= backoff <= watch_schedule.LIST_CHANGE_BOUND_US // 2
        now += backoff


# The watcher on real sockets

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def list_line(generation: int, **more: object) -> bytes:
    """Build one line of a watch: a complete list with one worker, whose entry ``more`` changes."""
    entry = {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "m"} | more
    entry["lifecycle"] = "active"
    return orjson.dumps({"generation": generation, "reset": True, "instances": [entry], "more": [{}]}) + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass(slots=True)
class Call:
    """A call to discovery: the request target, and the connection on which the test answers."""

    target: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def end(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection after the bytes that were written."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.close()

    async def closed_by_program(self) -> None:
        """Wait until the program has closed its side of the connection."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(4096):
                pass


class Discovery:
    """A discovery address that refuses connections until ``listen``; the test answers each call."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self.sock.getsockname()[1])
        self.calls: asyncio.Queue[Call] = asyncio.Queue()
        self.open: list[Call] = []
        self.server: asyncio.Server | None = None

    async def listen(self) -> "Discovery":
        self.server = await asyncio.start_server(self._receive_call, sock=self.sock)
        return self

    async def _receive_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        call = Call(head.split()[1], reader, writer)
        self.open.append(call)
        self.calls.put_nowait(call)

    async def next_call(self) -> Call:
        return await self.calls.get()

    def close(self) -> None:
        for call in self.open:
            call.writer.close()
        if self.server:
            self.server.close()
        self.sock.close()


class MaxRandom(random.Random):
    """Returns nearly 1, so that each random backoff is as long as possible."""

    def random(self) -> float:
        return 0.999


class WatcherHarness:
    """A list watcher without a scheduler, its reports, and two discovery addresses for it to call."""

    def __init__(self, *, pushed: bool = False, schedule: WatchSchedule | None = None) -> None:
        self.reports: asyncio.Queue[EndpointListReceived] = asyncio.Queue()
        self.supervisor = Supervisor()
        self.discoveries = [Discovery(), Discovery()]
        schedule = schedule or WatchSchedule(pushed, random.Random(1), 1)
        self.actor = EndpointListWatcher(
            self.discoveries[0].address, 41, schedule, Clock(), self.supervisor, self.reports.put_nowait
        )

    async def next_failure(self) -> None:
        """Wait for the next report, which must be a failed call."""
        assert (await self.reports.get()).endpoint_list is None

    async def next_generation(self) -> int:
        """Wait for the next reported list and return its generation; skip reports of failed calls."""
        while not (report := await self.reports.get()).endpoint_list:
            pass
        return report.endpoint_list.generation


@contextlib.asynccontextmanager
async def watcher_harness(
    *, pushed: bool = False, schedule: WatchSchedule | None = None
) -> AsyncIterator[WatcherHarness]:
    harness = WatcherHarness(pushed=pushed, schedule=schedule)
    try:
        async with asyncio.timeout(10):
            yield harness
            assert not harness.supervisor.failed.done()
    finally:
        await harness.supervisor.close()
        for discovery in harness.discoveries:
            discovery.close()


def test_new_process_retries_refused_calls_until_discovery_is_reachable() -> None:
    async def scenario() -> None:
        async with watcher_harness() as harness:
            harness.actor.start()
            await harness.next_failure()
            await harness.next_failure()
            discovery = await harness.discoveries[0].listen()
            call = await discovery.next_call()
            assert call.target.endswith("watch=1&after=41")
            call.send(HEAD + chunk(list_line(42)))
            assert await harness.next_generation() == 42

    asyncio.run(scenario())


def _reset_without_answer(call: Call) -> None:
    call.reset()


def _close_without_answer(call: Call) -> None:
    call.end()


def _answer_503(call: Call) -> None:
    call.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def _close_within_head(call: Call) -> None:
    call.send(HEAD[:-3])
    call.end()


def _close_within_list(call: Call) -> None:
    call.send(HEAD + chunk(list_line(43)[:-5]))
    call.end()


def _reset_within_list(call: Call) -> None:
    call.send(HEAD + chunk(list_line(43)[:-5]))
    call.reset()


def _close_within_chunk(call: Call) -> None:
    call.send(HEAD + chunk(list_line(43))[:-9])
    call.end()


FAILURES = [
    _reset_without_answer, _close_without_answer, _answer_503, _close_within_head, _close_within_list,
    _reset_within_list, _close_within_chunk,
]  # fmt: skip


@pytest.mark.parametrize(
    "watched, fail",
    [*((False, fail) for fail in FAILURES), (True, _reset_without_answer), (True, _close_without_answer)],
)
def test_failed_call_or_watch_is_retried_from_the_last_complete_list(
    watched: bool, fail: Callable[[Call], None]
) -> None:
    async def scenario() -> None:
        async with watcher_harness() as harness:
            discovery = await harness.discoveries[0].listen()
            harness.actor.start()
            call, known = await discovery.next_call(), 41
            if watched:
                call.send(HEAD + chunk(list_line(42)))
                known = await harness.next_generation()
            fail(call)
            await harness.next_failure()
            retry = await discovery.next_call()
            assert retry.target.endswith(f"after={known}")
            retry.send(HEAD + chunk(list_line(44)))
            assert await harness.next_generation() == 44

    asyncio.run(scenario())


# Malformed responses of discovery. Each one ends its call, which is logged as `watch_lost`, and has no other
# effect.
MALFORMED_RESPONSES = {
    "not http": b"\x00\x01\x02 nonsense\r\n\r\n",
    "endless head": b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20_000,
    "invalid status": b"HTTP/1.1 2x0 OK\r\n\r\n",
    "invalid redirect": b"HTTP/1.1 302 Found\r\nLocation: http://[::bad/\r\nContent-Length: 0\r\n\r\n",
    "not ascii in the reason": b"HTTP/1.1 500 \xff\xfe\r\nContent-Length: 0\r\n\r\n",
    "negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    "two framings": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
    "body too short": b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc",
    "bad chunk size": HEAD + b"zz\r\nabc\r\n",
    "chunk longer than its size": HEAD + b"3\r\nabcdef\r\n",
    "bad chunk size after an empty line": HEAD + chunk(b"\n") + b"zz\r\n",
    "endless chunk size": HEAD + b"0" * 20_000,
    "not gzip": b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunk(b"not gzip at all, and long enough to be looked at"),
    "unknown transfer coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: rot13\r\n\r\nabc",
    "truncated deflate": b"HTTP/1.1 200 OK\r\nContent-Encoding: deflate\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunk(b"\x78\x9c\x00") + b"0\r\n\r\n",
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "bad cookie": b"HTTP/1.1 200 OK\r\nSet-Cookie: \xff=;;=\r\nContent-Length: 2\r\n\r\n{}",
    "not json": HEAD + chunk(b"{nonsense}\n"),
    "not utf-8": HEAD + chunk(b'{"generation": "\xff\xfe"}\n'),
    "not an object": HEAD + chunk(b"[]\n"),
    "no generation": HEAD + chunk(b"{}\n"),
    "deeply nested": HEAD + chunk(b'{"a":' * 5_000 + b"1" + b"}" * 5_000 + b"\n"),
    "huge number": HEAD + chunk(b'{"generation": 1' + b"0" * 400 + b"}\n"),
    "bad port": HEAD + chunk(list_line(43, hostPort="127.0.0.1:99999999999")),
    "bad host": HEAD + chunk(list_line(43, hostPort="xn--\u2603.\ud7ff:1")),
    "start time out of range": HEAD + chunk(list_line(43, startedAtMs=1e306)),
    "cell out of range": HEAD + chunk(list_line(43, cell="9")),
}  # fmt: skip


@pytest.mark.parametrize("response", MALFORMED_RESPONSES.values(), ids=MALFORMED_RESPONSES)
def test_malformed_response_of_discovery_fails_only_its_call(
    response: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        async with watcher_harness() as harness:
            discovery = await harness.discoveries[0].listen()
            harness.actor.start()
            call = await discovery.next_call()
            call.send(response)
            call.end()
            call = await discovery.next_call()
            assert call.target.endswith("after=41")
            call.send(HEAD + chunk(list_line(44)))
            assert await harness.next_generation() == 44

    with caplog.at_level(logging.WARNING):
        asyncio.run(scenario())
    assert [r.message for r in caplog.records] == ["watch_lost"]


def test_list_with_a_lower_generation_is_accepted() -> None:
    async def scenario() -> None:
        async with watcher_harness() as harness:
            discovery = await harness.discoveries[0].listen()
            harness.actor.start()
            call = await discovery.next_call()
            call.send(HEAD + chunk(list_line(43) + list_line(7, of="another kind")))
            assert [await harness.next_generation(), await harness.next_generation()] == [43, 7]
            call.end()
            assert (await discovery.next_call()).target.endswith("after=7")

    asyncio.run(scenario())


def test_late_response_to_a_timed_out_call_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_schedule, "CALL_TIMEOUT_US", 100 * MS)

    async def scenario() -> None:
        async with watcher_harness() as harness:
            discovery = await harness.discoveries[0].listen()
            harness.actor.start()
            call = await discovery.next_call()
            await call.closed_by_program()
            call.send(HEAD + chunk(list_line(43)))
            retry = await discovery.next_call()
            assert retry.target.endswith("after=41")
            retry.send(HEAD + chunk(list_line(42)))
            assert await harness.next_generation() == 42

    asyncio.run(scenario())


# A reload (SIGHUP) that changes discovery's address


def slow_schedule() -> WatchSchedule:
    """Build the schedule of a fleet of 200 with maximum random values, so that each backoff takes seconds."""
    return WatchSchedule(False, MaxRandom(), 200)


@pytest.mark.parametrize("phase", ["first wait", "back-off", "call", "watch"])
def test_reload_calls_the_new_address_at_once_for_its_complete_list(phase: str) -> None:
    async def scenario() -> None:
        schedule = None if phase in ("call", "watch") else slow_schedule()
        async with watcher_harness(schedule=schedule) as harness:
            old, new = harness.discoveries
            await new.listen()
            if phase == "back-off":
                assert schedule
                schedule.fleet_size = 1  # keeps the first backoff short
            harness.actor.start()
            if phase == "back-off":
                assert schedule
                await harness.next_failure()
                schedule.fleet_size, schedule.failed_calls = 200, 3
                await harness.next_failure()  # the backoff that follows takes seconds
            if phase in ("call", "watch"):
                await old.listen()
                call = await old.next_call()
            if phase == "watch":
                call.send(HEAD + chunk(list_line(42)))
                assert await harness.next_generation() == 42
            harness.actor.tell(ChangeAddress(new.address))
            async with asyncio.timeout(1):
                first_call = await new.next_call()
            assert first_call.target.endswith("/v1/endpoints?watch=1")
            if phase in ("call", "watch"):
                await call.closed_by_program()
                call.send(HEAD + chunk(list_line(99)))
            first_call.send(HEAD + chunk(list_line(3)))
            assert await harness.next_generation() == 3
            assert old.calls.empty() and harness.reports.empty()

    asyncio.run(scenario())


def test_empty_line_from_a_new_address_does_not_confirm_the_list_of_the_old_address() -> None:
    async def scenario() -> None:
        async with watcher_harness() as harness:
            lease_events: list[object] = []
            harness.actor.report_lease_event = lease_events.append
            old, new = await harness.discoveries[0].listen(), await harness.discoveries[1].listen()
            harness.actor.start()
            call = await old.next_call()
            call.send(HEAD + chunk(list_line(42)))
            assert await harness.next_generation() == 42
            harness.actor.tell(ChangeAddress(new.address))
            call = await new.next_call()
            call.send(HEAD + chunk(b"\n"))
            while not (report := await harness.reports.get()).endpoint_list:
                pass
            assert report.received_us is None
            call.send(chunk(list_line(7)))
            assert await harness.next_generation() == 7
            call.send(chunk(b"\n"))
            while not any(isinstance(event, ListConfirmed) for event in lease_events):
                await asyncio.sleep(0)
            assert [type(event) for event in lease_events] == [DiscoveryAddressChanged, ListConfirmed]

    asyncio.run(scenario())


def test_new_address_that_refuses_at_first_is_still_called_for_its_complete_list() -> None:
    async def scenario() -> None:
        async with watcher_harness() as harness:
            old, new = harness.discoveries
            await old.listen()
            harness.actor.start()
            call = await old.next_call()
            call.send(HEAD + chunk(list_line(42)))
            assert await harness.next_generation() == 42
            harness.actor.tell(ChangeAddress(new.address))
            await call.closed_by_program()
            await harness.next_failure()
            await new.listen()
            first_call = await new.next_call()
            assert first_call.target.endswith("/v1/endpoints?watch=1")
            first_call.end()
            assert (await new.next_call()).target == first_call.target

    asyncio.run(scenario())


def test_reload_with_an_unchanged_address_keeps_the_watch_open() -> None:
    async def scenario() -> None:
        async with watcher_harness() as harness:
            discovery = await harness.discoveries[0].listen()
            harness.actor.start()
            call = await discovery.next_call()
            call.send(HEAD + chunk(list_line(42)))
            assert await harness.next_generation() == 42
            harness.actor.tell(ChangeAddress(discovery.address))
            call.send(chunk(list_line(43)))
            assert await harness.next_generation() == 43
            assert discovery.calls.empty()

    asyncio.run(scenario())


def test_reload_back_to_the_first_address_calls_it_for_its_complete_list() -> None:
    async def scenario() -> None:
        async with watcher_harness() as harness:
            old, new = harness.discoveries
            await old.listen()
            await new.listen()
            harness.actor.start()
            await old.next_call()
            harness.actor.tell(ChangeAddress(new.address))
            harness.actor.tell(ChangeAddress(old.address))
            assert (await old.next_call()).target.endswith("/v1/endpoints?watch=1")
            assert new.calls.empty()

    asyncio.run(scenario())


# The complete scheduler


@contextlib.asynccontextmanager
async def unstarted_scheduler(
    folder: Path, discovery: Discovery, mode: str
) -> AsyncIterator[embedded.Scheduler]:
    """Build a scheduler with a listening socket; the caller starts it."""
    configuration = copy.deepcopy(GIVEN)
    configuration["settings"]["discovery"] = mode
    (folder / "config.json").write_text(json.dumps(configuration))
    with socket.create_server(("127.0.0.1", 0)) as sock:
        env = {"GW_CONFIG": str(folder / "config.json"), "GW_DISCOVERY": str(discovery.address)}
        # The scheduler closes its descriptor itself.
        scheduler = embedded.Scheduler(config.load(env | {"GW_SOCKET_FD": str(os.dup(sock.fileno()))}), env)
        try:
            async with asyncio.timeout(10):
                yield scheduler
                assert not scheduler.supervisor.failed.done()
        finally:
            await scheduler.close()
            discovery.close()


def test_new_process_with_an_unresponsive_discovery_agent_accepts_requests_and_gets_the_list_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    assert embedded.MAX_LIST_WAIT_S < 3  # leaves a wide margin to the 10 s limit of a restart
    monkeypatch.setattr(embedded, "MAX_LIST_WAIT_S", 0.05)

    async def scenario() -> None:
        discovery = await Discovery().listen()
        async with unstarted_scheduler(tmp_path, discovery, "push") as scheduler:
            await scheduler.start()
            assert scheduler.readiness().status == 200
            call = await discovery.next_call()  # the call made at the start, not answered yet
            assert not scheduler.dispatcher.table.destinations and discovery.calls.empty()
            call.send(HEAD + chunk(list_line(43, zone="brisbane", machineType="std-8")))
            while "s-1" not in scheduler.dispatcher.table.destinations:
                await asyncio.sleep(0)

    with caplog.at_level(logging.WARNING):
        asyncio.run(scenario())
    assert [r.message for r in caplog.records] == ["endpoint_list_timeout"]


@pytest.mark.parametrize("mode", ["subscribe", "push"])
def test_watch_that_ends_during_a_drain_is_reopened(
    mode: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(embedded, "ACCEPT_AFTER_SIGTERM_S", 60)  # the drain outlasts the test

    async def scenario() -> None:
        discovery = await Discovery().listen()
        async with unstarted_scheduler(tmp_path, discovery, mode) as scheduler:
            starting = asyncio.create_task(scheduler.start())
            call = await discovery.next_call()
            call.send(HEAD + chunk(list_line(42, zone="brisbane", machineType="std-8")))
            await starting
            draining = asyncio.create_task(scheduler.drain())
            while not scheduler.inbound.shutting_down:
                await asyncio.sleep(0)
            call.reset()
            reopened = await discovery.next_call()
            reopened.send(HEAD + chunk(list_line(43, instanceId="s-2", zone="brisbane", machineType="std-8")))
            while set(scheduler.dispatcher.table.destinations) != {"s-2"}:
                await asyncio.sleep(0)
            draining.cancel()

    asyncio.run(scenario())


def test_request_in_an_inherited_listen_queue_is_accepted_before_the_list_is_received(
    tmp_path: Path,
) -> None:
    """If the program read the request only after the list, its deadline would exceed the client's timeout."""

    async def scenario() -> None:
        discovery = await Discovery().listen()
        async with unstarted_scheduler(tmp_path, discovery, "subscribe") as scheduler:
            assert scheduler.config.socket_fd is not None
            with socket.socket(fileno=os.dup(scheduler.config.socket_fd)) as listening:
                _, writer = await asyncio.open_connection(*listening.getsockname())
            writer.write(
                b"POST /member-lookup/x HTTP/1.1\r\nHost: s\r\nX-Request-ID: j1\r\n"
                b"X-Priority-Class: member-lookup\r\nX-Timeout: 7000m\r\nContent-Length: 0\r\n\r\n"
            )
            sent_us = scheduler.clock.now_us()
            starting = asyncio.create_task(scheduler.start())
            call = await discovery.next_call()
            while not scheduler.dispatcher.in_flight.by_number:
                await asyncio.sleep(0)
            assert not starting.done() and scheduler.readiness().status == 503
            (request,) = scheduler.dispatcher.in_flight.by_number.values()
            assert request.deadline_us <= sent_us + 7_000_000 + 1_000_000 and not request.attempts_in_flight
            call.send(HEAD + chunk(list_line(42, zone="brisbane", machineType="std-8")))
            await starting
            assert scheduler.readiness().status == 200
            writer.close()

    asyncio.run(scenario())
