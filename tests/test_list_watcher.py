"""The watch on the endpoint list: silence deadline, reopening, and parsing of its messages."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import orjson
import pytest

from robinhill import protocol
from robinhill.config_types import Address
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.discovery.list_watcher import ChangeAddress, EndpointListWatcher
from robinhill.net.dispatcher.messages import EndpointListReceived
from robinhill.placement import watch_schedule
from robinhill.placement.watch_schedule import WatchSchedule

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
Handler = Callable[[asyncio.StreamWriter], Awaitable[None]]


def encoded_list(generation: int) -> bytes:
    """A complete endpoint list; its instance id contains a brace, a quote and a backslash for the parser."""
    entry = {"instanceId": 's-{"1\\', "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "m"}
    entry["lifecycle"] = "active"
    return orjson.dumps({"generation": generation, "reset": True, "instances": [entry, entry]})


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@pytest.mark.parametrize("indent", [False, True])
def test_lists_are_parsed_with_any_split_and_indentation(indent: bool) -> None:
    lists = [encoded_list(7), encoded_list(8)]
    if indent:
        lists = [orjson.dumps(orjson.loads(x), option=orjson.OPT_INDENT_2) for x in lists]
    text = b"\n" + lists[0] + b"\n\n" + lists[1] + b"\n"
    for cut in range(len(text)):
        reader = protocol.WatchEventReader(10_000)
        events = [*reader.feed(text[:cut]), *reader.feed(text[cut:])]
        assert [event and event.generation for event in events] == [None, 7, None, 8], cut


def test_too_long_list_is_rejected() -> None:
    reader = protocol.WatchEventReader(1_000)
    with pytest.raises(protocol.MalformedError):
        for _ in range(100):
            list(reader.feed(b'{"instances": [\n' + b" " * 20))


@pytest.mark.parametrize("fleet_size", [1, 6, 200])
def test_calls_after_silence_begin_within_half_of_the_list_change_bound(fleet_size: int) -> None:
    for seed in range(20):
        schedule = WatchSchedule(False, random.Random(seed), fleet_size)
        schedule.record_call(0)
        schedule.record_received(10_000_000)  # discovery is silent from here on
        now = schedule.silence_deadline_us()
        first = now + schedule.record_lost(now)
        assert (
            first <= 10_000_000 + watch_schedule.LIST_CHANGE_BOUND_US // 2
        )  # the other half is reserved for the time that the call waits at discovery
        now, calls = first, 0
        while now <= 16_000_000:
            schedule.record_call(now)
            now, calls = now + 20_000, calls + 1  # the call is refused after 20 ms
            wait = schedule.record_lost(now)
            # a call begins within half of the bound, whenever discovery becomes reachable again
            assert wait <= watch_schedule.LIST_CHANGE_BOUND_US // 2
            now += wait
        assert calls >= 3


class ScriptedDiscovery:
    """A discovery server that answers its n-th connection by the n-th script, and a watcher on it."""

    def __init__(self, *scripts: Handler) -> None:
        self.scripts = list(scripts)
        self.calls: asyncio.Queue[str] = asyncio.Queue()  # request lines
        self.reports: list[EndpointListReceived] = []

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls.put_nowait((await reader.readuntil(b"\r\n")).decode())
        try:
            await self.scripts.pop(0)(writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def start(self, pushed: bool = False) -> EndpointListWatcher:
        self.server = await asyncio.start_server(self, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.supervisor = Supervisor()
        schedule = WatchSchedule(pushed, random.Random(1), 1)
        actor = EndpointListWatcher(
            Address("127.0.0.1", port), 41, schedule, Clock(), self.supervisor, self.reports.append
        )
        actor.start()
        return actor

    async def call(self) -> str:
        async with asyncio.timeout(10):
            return await self.calls.get()

    async def stop(self) -> None:
        await self.supervisor.close()
        self.server.close()


async def _silent_after_list(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + chunk(encoded_list(43) + b"\n"))
    await asyncio.Event().wait()


async def _trickle_incomplete_list(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + chunk(encoded_list(43) + b"\n"))
    for byte in encoded_list(44) * 100:
        writer.write(chunk(bytes([byte])))
        await writer.drain()
        await asyncio.sleep(0.01)


async def _no_response(writer: asyncio.StreamWriter) -> None:
    await asyncio.Event().wait()


async def _end_after_list(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + chunk(encoded_list(43) + b"\n") + b"0\r\n\r\n")


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the timeouts of the schedule, so that the tests take less time."""
    for name, value in {
        "WATCH_SILENCE_TIMEOUT_US": 100_000,
        "CALL_TIMEOUT_US": 100_000,
        "MIN_SPREAD_US": 10_000,
    }.items():
        monkeypatch.setattr(watch_schedule, name, value)


@pytest.mark.parametrize("script", [_silent_after_list, _trickle_incomplete_list, _no_response])
def test_silent_watch_is_reopened_and_not_reported_as_failed(short_timeouts: None, script: Handler) -> None:
    """A watch is silent if no complete message arrives, even while discovery sends parts of one."""

    async def run() -> None:
        discovery = ScriptedDiscovery(script, _no_response)
        await discovery.start()
        assert "after=41" in await discovery.call()
        after = 41 if script is _no_response else 43
        assert f"after={after}" in await discovery.call()
        assert None not in [r.endpoint_list for r in discovery.reports]  # None would report a failed call
        await discovery.stop()

    asyncio.run(run())


def test_ended_watch_is_reported_and_reopened() -> None:
    async def run() -> None:
        discovery = ScriptedDiscovery(_end_after_list, _no_response)
        await discovery.start()
        assert "after=41" in await discovery.call()
        assert "after=43" in await discovery.call()
        assert [r.endpoint_list and r.endpoint_list.generation for r in discovery.reports] == [43, None]
        await discovery.stop()

    asyncio.run(run())


def test_watch_on_agent_is_reopened_and_its_end_not_reported(short_timeouts: None) -> None:
    """An agent pushes lists by itself, so that the end of a watch on it is no failed call to discovery."""

    async def run() -> None:
        discovery = ScriptedDiscovery(_end_after_list, _end_after_list, _silent_after_list, _no_response)
        actor = await discovery.start(pushed=True)
        for after in (41, 43, 43, 43):
            assert f"after={after}" in await discovery.call()
        assert None not in [r.endpoint_list for r in discovery.reports]
        actor.tell(ChangeAddress(Address("127.0.0.1", 9)))
        await discovery.stop()

    asyncio.run(run())
