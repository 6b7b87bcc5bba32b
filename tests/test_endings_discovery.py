"""What is owed when a call to discovery or a watch ends, in whatever way and in whatever moment."""

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

# Many schedulers and one discovery, in simulated time

QUEUE_US = 2 * S  # discovery fails calls that wait longer
Ending = Literal["start", "reset", "silent"]
Failure = Literal["refused", "never comes up", "never answered", "503"]
LASTS_US = {
    "refused": MS,
    "never comes up": S,
    "never answered": watch_schedule.CALL_TIMEOUT_US,
    "503": 5 * MS,
}


@dataclass(slots=True)
class Fleet:
    """All lose their watches, or start, at 0; discovery can be reached from ``back_us`` on."""

    size: int
    service_us: int  # for one call, and one at a time
    back_us: int = 0
    failure: Failure = "refused"
    calls: list[int] = field(default_factory=list)  # that reached discovery
    listed: dict[int, int] = field(default_factory=dict)  # when each had its list

    def play(self, ending: Ending, seed: int) -> None:
        chance, queue = random.Random(seed), list[tuple[int, int, str, int]]()
        schedules = [
            WatchSchedule(False, random.Random(seed * 1000 + i), self.size) for i in range(self.size)
        ]
        waiting, busy = deque[tuple[int, int]](), False

        def put(at_us: int, what: str, number: int = -1) -> None:
            heapq.heappush(queue, (at_us, len(queue), what, number))

        for number, schedule in enumerate(schedules):
            if ending == "start":
                put(schedule.start(0), "call", number)
                continue
            schedule.record_call(-100 * S)
            schedule.record_received(-chance.randrange(2 * S))
            ended = 0 if ending == "reset" else schedule.silence_deadline_us()
            put(ended + schedule.record_lost(ended), "call", number)
        while queue:
            now, _, what, number = heapq.heappop(queue)
            if what == "call":
                schedules[number].record_call(now)
                if now < self.back_us:
                    put(now + LASTS_US[self.failure], "failed", number)
                    continue
                self.calls.append(now)
                waiting.append((now, number))
                if not busy:
                    busy = True
                    put(now, "next")
            elif what == "failed":
                put(now + schedules[number].record_lost(now), "call", number)
            elif what == "answered":
                schedules[number].record_received(now)
                self.listed[number] = now
            else:
                while waiting and now - waiting[0][0] > QUEUE_US:
                    put(now, "failed", waiting.popleft()[1])
                busy = bool(waiting)
                if busy:
                    put(now + self.service_us, "answered", waiting.popleft()[1])
                    put(now + self.service_us, "next")

    def most_calls(self, within_us: int) -> int:
        first, most = 0, 0
        for last, at_us in enumerate(self.calls):
            while at_us - self.calls[first] >= within_us:
                first += 1
            most = max(most, last - first + 1)
        return most


@pytest.mark.parametrize("size, service_us", [(200, 20 * MS), (40, 100 * MS), (6, 200 * MS)])
@pytest.mark.parametrize("ending", ["start", "reset", "silent"])
def test_all_have_the_list_within_the_bound_and_calls_are_spread(
    size: int, service_us: int, ending: Ending
) -> None:
    for seed in range(3):
        fleet = Fleet(size, service_us)
        fleet.play(ending, seed)
        assert len(fleet.listed) == size
        assert max(fleet.listed.values()) <= watch_schedule.LIST_CHANGE_BOUND_US
        if size > 6:
            assert fleet.most_calls(50 * MS) <= size // 10 + 4
            assert fleet.most_calls(S) <= size * 0.85


@pytest.mark.parametrize("size, service_us", [(200, 20 * MS), (40, 100 * MS), (6, 200 * MS)])
@pytest.mark.parametrize("failure", LASTS_US)
def test_all_have_the_list_within_the_bound_after_an_outage_of_any_kind(
    size: int, service_us: int, failure: Failure
) -> None:
    for seed in range(3):
        fleet = Fleet(size, service_us, 8 * S, failure)
        fleet.play("reset", seed)
        assert max(fleet.listed.values()) <= 8 * S + watch_schedule.LIST_CHANGE_BOUND_US
        if size > 6:
            assert fleet.most_calls(50 * MS) <= size // 10 + 4
            assert fleet.most_calls(S) <= size * 0.7


def test_where_calls_cost_more_than_there_is_time_discovery_is_never_idle_until_all_have_the_list() -> None:
    for seed in range(3):
        fleet = Fleet(200, 50 * MS)
        fleet.play("reset", seed)
        assert max(fleet.listed.values()) <= 200 * 50 * MS + S  # the work itself, and a second


def test_without_a_watch_the_bound_is_no_longer_than_the_poll_interval() -> None:
    for poll_interval_us in (2 * S, 4 * S, 10 * S):
        given = settings(must_subscribe=True, poll_interval_us=poll_interval_us, fleet_size=200)
        for seed in range(20):
            schedule = watch_schedule.from_settings(given, random.Random(seed))
            assert schedule.start(0) <= min(poll_interval_us, watch_schedule.LIST_CHANGE_BOUND_US) // 2


@pytest.mark.parametrize("fleet_size", [1, 200])
def test_no_wait_for_a_call_is_longer_than_half_of_the_bound(fleet_size: int) -> None:
    chance = random.Random(7)
    schedule, now = WatchSchedule(False, random.Random(1), fleet_size), 0
    now += schedule.start(now)
    for _ in range(5_000):
        schedule.record_call(now)
        now += chance.choice([1, 20 * MS, S, 2 * S, 3 * S])
        if chance.random() < 0.2:
            schedule.record_received(now)
            now += chance.choice([0, S, watch_schedule.WATCH_SILENCE_TIMEOUT_US])
        wait = schedule.record_lost(now)
        assert 0 <= wait <= watch_schedule.LIST_CHANGE_BOUND_US // 2
        now += wait


# On real sockets

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def told(generation: int, **more: object) -> bytes:
    entry = {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "m"} | more
    entry["lifecycle"] = "active"
    return orjson.dumps({"generation": generation, "reset": True, "instances": [entry], "more": [{}]}) + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass(slots=True)
class Call:
    """One call to discovery: what was asked, and the connection to answer on."""

    target: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def end(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        """RST behind what was written."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.close()

    async def left(self) -> None:
        """Until the program has closed its side."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(4096):
                pass


class Discovery:
    """An address that refuses until it listens; each call is answered by the test."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self.sock.getsockname()[1])
        self.calls: asyncio.Queue[Call] = asyncio.Queue()
        self.open: list[Call] = []
        self.server: asyncio.Server | None = None

    async def listen(self) -> "Discovery":
        self.server = await asyncio.start_server(self._called, sock=self.sock)
        return self

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        call = Call(head.split()[1], reader, writer)
        self.open.append(call)
        self.calls.put_nowait(call)

    async def call(self) -> Call:
        return await self.calls.get()

    def close(self) -> None:
        for call in self.open:
            call.writer.close()
        if self.server:
            self.server.close()
        self.sock.close()


class Latest(random.Random):
    """Each wait is as long as it may be."""

    def random(self) -> float:
        return 0.999


class Watching:
    """The actor on its own, what it reports, and the discoveries that it may be sent to."""

    def __init__(self, *, pushed: bool = False, schedule: WatchSchedule | None = None) -> None:
        self.reports: asyncio.Queue[EndpointListReceived] = asyncio.Queue()
        self.supervisor = Supervisor()
        self.discoveries = [Discovery(), Discovery()]
        schedule = schedule or WatchSchedule(pushed, random.Random(1), 1)
        self.actor = EndpointListWatcher(
            self.discoveries[0].address, 41, schedule, Clock(), self.supervisor, self.reports.put_nowait
        )

    async def failed(self) -> None:
        """A call has failed, and nothing was told meanwhile."""
        assert (await self.reports.get()).endpoint_list is None

    async def generation(self) -> int:
        """Of the next list that is told; calls that fail meanwhile are skipped."""
        while not (report := await self.reports.get()).endpoint_list:
            pass
        return report.endpoint_list.generation


@contextlib.asynccontextmanager
async def watching(*, pushed: bool = False, schedule: WatchSchedule | None = None) -> AsyncIterator[Watching]:
    here = Watching(pushed=pushed, schedule=schedule)
    try:
        async with asyncio.timeout(10):
            yield here
            assert not here.supervisor.failed.done()
    finally:
        await here.supervisor.close()
        for discovery in here.discoveries:
            discovery.close()


def test_a_new_process_whose_first_calls_are_refused_retries_until_discovery_is_there() -> None:
    async def play() -> None:
        async with watching() as here:
            here.actor.start()
            await here.failed()
            await here.failed()
            discovery = await here.discoveries[0].listen()
            call = await discovery.call()
            assert call.target.endswith("watch=1&after=41")
            call.send(HEAD + chunk(told(42)))
            assert await here.generation() == 42

    asyncio.run(play())


def _reset_unread(call: Call) -> None:
    call.reset()


def _end_unanswered(call: Call) -> None:
    call.end()


def _busy(call: Call) -> None:
    call.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def _cut_in_the_head(call: Call) -> None:
    call.send(HEAD[:-3])
    call.end()


def _cut_in_a_list(call: Call) -> None:
    call.send(HEAD + chunk(told(43)[:-5]))
    call.end()


def _reset_in_a_list(call: Call) -> None:
    call.send(HEAD + chunk(told(43)[:-5]))
    call.reset()


def _cut_in_a_chunk(call: Call) -> None:
    call.send(HEAD + chunk(told(43))[:-9])
    call.end()


ENDINGS = [
    _reset_unread, _end_unanswered, _busy, _cut_in_the_head, _cut_in_a_list, _reset_in_a_list,
    _cut_in_a_chunk,
]  # fmt: skip


@pytest.mark.parametrize(
    "watched, ending",
    [*((False, ending) for ending in ENDINGS), (True, _reset_unread), (True, _end_unanswered)],
)
def test_a_call_or_watch_that_ends_is_followed_by_another_from_the_last_complete_list(
    watched: bool, ending: Callable[[Call], None]
) -> None:
    async def play() -> None:
        async with watching() as here:
            discovery = await here.discoveries[0].listen()
            here.actor.start()
            call, known = await discovery.call(), 41
            if watched:
                call.send(HEAD + chunk(told(42)))
                known = await here.generation()
            ending(call)
            await here.failed()
            again = await discovery.call()
            assert again.target.endswith(f"after={known}")
            again.send(HEAD + chunk(told(44)))
            assert await here.generation() == 44

    asyncio.run(play())


# What discovery may send wrong: each is a lost watch, is logged and ends nothing else.
WRONG = {
    "not http": b"\x00\x01\x02 nonsense\r\n\r\n",
    "a head without end": b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20_000,
    "status that is none": b"HTTP/1.1 2x0 OK\r\n\r\n",
    "redirect": b"HTTP/1.1 302 Found\r\nLocation: http://[::bad/\r\nContent-Length: 0\r\n\r\n",
    "bytes in the reason": b"HTTP/1.1 500 \xff\xfe\r\nContent-Length: 0\r\n\r\n",
    "bad length": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    "two framings": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
    "body too short": b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc",
    "bad chunk size": HEAD + b"zz\r\nabc\r\n",
    "chunk without end": HEAD + b"3\r\nabcdef\r\n",
    "bad chunk behind a word": HEAD + chunk(b"\n") + b"zz\r\n",
    "chunk size without end": HEAD + b"0" * 20_000,
    "gzip that is none": b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunk(b"not gzip at all, and long enough to be looked at"),
    "unknown coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: rot13\r\n\r\nabc",
    "deflate cut": b"HTTP/1.1 200 OK\r\nContent-Encoding: deflate\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunk(b"\x78\x9c\x00") + b"0\r\n\r\n",
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "bad cookie": b"HTTP/1.1 200 OK\r\nSet-Cookie: \xff=;;=\r\nContent-Length: 2\r\n\r\n{}",
    "not json": HEAD + chunk(b"{nonsense}\n"),
    "not utf-8": HEAD + chunk(b'{"generation": "\xff\xfe"}\n'),
    "no object": HEAD + chunk(b"[]\n"),
    "no generation": HEAD + chunk(b"{}\n"),
    "deep": HEAD + chunk(b'{"a":' * 5_000 + b"1" + b"}" * 5_000 + b"\n"),
    "huge number": HEAD + chunk(b'{"generation": 1' + b"0" * 400 + b"}\n"),
    "bad port": HEAD + chunk(told(43, hostPort="127.0.0.1:99999999999")),
    "bad host": HEAD + chunk(told(43, hostPort="xn--\u2603.\ud7ff:1")),
    "start beyond all clocks": HEAD + chunk(told(43, startedAtMs=1e306)),
    "cell beyond all": HEAD + chunk(told(43, cell="9")),
}  # fmt: skip


@pytest.mark.parametrize("wrong", WRONG.values(), ids=WRONG)
def test_a_malformed_message_of_discovery_costs_that_call_alone(
    wrong: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def play() -> None:
        async with watching() as here:
            discovery = await here.discoveries[0].listen()
            here.actor.start()
            call = await discovery.call()
            call.send(wrong)
            call.end()
            call = await discovery.call()
            assert call.target.endswith("after=41")
            call.send(HEAD + chunk(told(44)))
            assert await here.generation() == 44

    with caplog.at_level(logging.WARNING):
        asyncio.run(play())
    assert [r.message for r in caplog.records] == ["watch_lost"]


def test_a_version_that_goes_backwards_is_followed() -> None:
    async def play() -> None:
        async with watching() as here:
            discovery = await here.discoveries[0].listen()
            here.actor.start()
            call = await discovery.call()
            call.send(HEAD + chunk(told(43) + told(7, of="another kind")))
            assert [await here.generation(), await here.generation()] == [43, 7]
            call.end()
            assert (await discovery.call()).target.endswith("after=7")

    asyncio.run(play())


def test_the_late_answer_to_an_abandoned_call_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_schedule, "CALL_TIMEOUT_US", 100 * MS)

    async def play() -> None:
        async with watching() as here:
            discovery = await here.discoveries[0].listen()
            here.actor.start()
            call = await discovery.call()
            await call.left()
            call.send(HEAD + chunk(told(43)))
            again = await discovery.call()
            assert again.target.endswith("after=41")
            again.send(HEAD + chunk(told(42)))
            assert await here.generation() == 42

    asyncio.run(play())


# SIGHUP in the middle of it


def slow() -> WatchSchedule:
    """As in a fleet of 200 that is unlucky: each wait takes seconds."""
    return WatchSchedule(False, Latest(), 200)


@pytest.mark.parametrize("moment", ["first wait", "back-off", "call", "watch"])
def test_after_a_reload_the_new_address_is_called_at_once_for_its_complete_list(moment: str) -> None:
    async def play() -> None:
        schedule = None if moment in ("call", "watch") else slow()
        async with watching(schedule=schedule) as here:
            old, new = here.discoveries
            await new.listen()
            if moment == "back-off":
                assert schedule
                schedule.fleet_size = 1  # the first waits are short
            here.actor.start()
            if moment == "back-off":
                assert schedule
                await here.failed()
                schedule.fleet_size, schedule.failed_calls = 200, 3
                await here.failed()  # and now it waits for seconds
            if moment in ("call", "watch"):
                await old.listen()
                call = await old.call()
            if moment == "watch":
                call.send(HEAD + chunk(told(42)))
                assert await here.generation() == 42
            here.actor.tell(ChangeAddress(new.address))
            async with asyncio.timeout(1):
                asked = await new.call()
            assert asked.target.endswith("/v1/endpoints?watch=1")
            if moment in ("call", "watch"):
                await call.left()
                call.send(HEAD + chunk(told(99)))
            asked.send(HEAD + chunk(told(3)))
            assert await here.generation() == 3
            assert old.calls.empty() and here.reports.empty()

    asyncio.run(play())


def test_an_empty_line_of_a_new_address_does_not_confirm_the_list_of_the_old_one() -> None:
    async def play() -> None:
        async with watching() as here:
            words: list[object] = []
            here.actor.report_lease_event = words.append
            old, new = await here.discoveries[0].listen(), await here.discoveries[1].listen()
            here.actor.start()
            call = await old.call()
            call.send(HEAD + chunk(told(42)))
            assert await here.generation() == 42
            here.actor.tell(ChangeAddress(new.address))
            call = await new.call()
            call.send(HEAD + chunk(b"\n"))
            while not (report := await here.reports.get()).endpoint_list:
                pass
            assert report.received_us is None
            call.send(chunk(told(7)))
            assert await here.generation() == 7
            call.send(chunk(b"\n"))
            while not any(isinstance(word, ListConfirmed) for word in words):
                await asyncio.sleep(0)
            assert [type(word) for word in words] == [DiscoveryAddressChanged, ListConfirmed]

    asyncio.run(play())


def test_a_new_address_that_refuses_at_first_is_still_called_for_its_complete_list() -> None:
    async def play() -> None:
        async with watching() as here:
            old, new = here.discoveries
            await old.listen()
            here.actor.start()
            call = await old.call()
            call.send(HEAD + chunk(told(42)))
            assert await here.generation() == 42
            here.actor.tell(ChangeAddress(new.address))
            await call.left()
            await here.failed()
            await new.listen()
            asked = await new.call()
            assert asked.target.endswith("/v1/endpoints?watch=1")
            asked.end()
            assert (await new.call()).target == asked.target

    asyncio.run(play())


def test_a_reload_that_names_the_same_address_leaves_the_watch_alone() -> None:
    async def play() -> None:
        async with watching() as here:
            discovery = await here.discoveries[0].listen()
            here.actor.start()
            call = await discovery.call()
            call.send(HEAD + chunk(told(42)))
            assert await here.generation() == 42
            here.actor.tell(ChangeAddress(discovery.address))
            call.send(chunk(told(43)))
            assert await here.generation() == 43
            assert discovery.calls.empty()

    asyncio.run(play())


def test_a_reload_back_to_the_first_address_calls_it_for_its_complete_list() -> None:
    async def play() -> None:
        async with watching() as here:
            old, new = here.discoveries
            await old.listen()
            await new.listen()
            here.actor.start()
            await old.call()
            here.actor.tell(ChangeAddress(new.address))
            here.actor.tell(ChangeAddress(old.address))
            assert (await old.call()).target.endswith("/v1/endpoints?watch=1")
            assert new.calls.empty()

    asyncio.run(play())


# The whole scheduler


@contextlib.asynccontextmanager
async def scheduling(folder: Path, discovery: Discovery, how: str) -> AsyncIterator[embedded.Scheduler]:
    """One that is not started yet, on a socket that listens already."""
    given = copy.deepcopy(GIVEN)
    given["settings"]["discovery"] = how
    (folder / "config.json").write_text(json.dumps(given))
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


def test_a_new_process_whose_agent_is_silent_accepts_requests_and_gets_the_list_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    assert embedded.MAX_LIST_WAIT_S < 3  # far inside the 10 s that a restart may take
    monkeypatch.setattr(embedded, "MAX_LIST_WAIT_S", 0.05)

    async def play() -> None:
        discovery = await Discovery().listen()
        async with scheduling(tmp_path, discovery, "push") as scheduler:
            await scheduler.start()
            assert scheduler.readiness().status == 200
            call = await discovery.call()  # and it has waited for an answer all the while
            assert not scheduler.dispatcher.table.destinations and discovery.calls.empty()
            call.send(HEAD + chunk(told(43, zone="brisbane", machineType="std-8")))
            while "s-1" not in scheduler.dispatcher.table.destinations:
                await asyncio.sleep(0)

    with caplog.at_level(logging.WARNING):
        asyncio.run(play())
    assert [r.message for r in caplog.records] == ["endpoint_list_timeout"]


@pytest.mark.parametrize("how", ["subscribe", "push"])
def test_a_watch_that_ends_during_a_drain_is_reopened(
    how: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(embedded, "ACCEPT_AFTER_SIGTERM_S", 60)  # the drain goes on until the test ends

    async def play() -> None:
        discovery = await Discovery().listen()
        async with scheduling(tmp_path, discovery, how) as scheduler:
            starting = asyncio.create_task(scheduler.start())
            call = await discovery.call()
            call.send(HEAD + chunk(told(42, zone="brisbane", machineType="std-8")))
            await starting
            draining = asyncio.create_task(scheduler.drain())
            while not scheduler.inbound.shutting_down:
                await asyncio.sleep(0)
            call.reset()
            again = await discovery.call()
            again.send(HEAD + chunk(told(43, instanceId="s-2", zone="brisbane", machineType="std-8")))
            while set(scheduler.dispatcher.table.destinations) != {"s-2"}:
                await asyncio.sleep(0)
            draining.cancel()

    asyncio.run(play())


def test_a_request_in_an_inherited_listen_queue_is_accepted_before_the_list_is_there(
    tmp_path: Path,
) -> None:
    """It has been taken: counted from when it is read, its answer would come after its client has gone."""

    async def play() -> None:
        discovery = await Discovery().listen()
        async with scheduling(tmp_path, discovery, "subscribe") as scheduler:
            assert scheduler.config.socket_fd is not None
            with socket.socket(fileno=os.dup(scheduler.config.socket_fd)) as listening:
                _, writer = await asyncio.open_connection(*listening.getsockname())
            writer.write(
                b"POST /member-lookup/x HTTP/1.1\r\nHost: s\r\nX-Request-ID: j1\r\n"
                b"X-Priority-Class: member-lookup\r\nX-Timeout: 7000m\r\nContent-Length: 0\r\n\r\n"
            )
            begun_us = scheduler.clock.now_us()
            starting = asyncio.create_task(scheduler.start())
            call = await discovery.call()
            while not scheduler.dispatcher.in_flight.by_number:
                await asyncio.sleep(0)
            assert not starting.done() and scheduler.readiness().status == 503
            (held,) = scheduler.dispatcher.in_flight.by_number.values()
            assert held.deadline_us <= begun_us + 7_000_000 + 1_000_000 and not held.attempts_in_flight
            call.send(HEAD + chunk(told(42, zone="brisbane", machineType="std-8")))
            await starting
            assert scheduler.readiness().status == 200
            writer.close()

    asyncio.run(play())
