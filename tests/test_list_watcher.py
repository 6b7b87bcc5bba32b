"""The watch on the endpoint list: when it is silent, when it is reopened, how its messages are split."""

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


def told(generation: int) -> bytes:
    entry = {"instanceId": 's-{"1\\', "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "m"}
    entry["lifecycle"] = "active"
    return orjson.dumps({"generation": generation, "reset": True, "instances": [entry, entry]})


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@pytest.mark.parametrize("indent", [False, True])
def test_a_list_is_read_completely_wherever_it_is_split_and_however_it_is_indented(indent: bool) -> None:
    lists = [told(7), told(8)]
    if indent:
        lists = [orjson.dumps(orjson.loads(x), option=orjson.OPT_INDENT_2) for x in lists]
    text = b"\n" + lists[0] + b"\n\n" + lists[1] + b"\n"
    for cut in range(len(text)):
        reader = protocol.WatchEventReader(10_000)
        words = [*reader.feed(text[:cut]), *reader.feed(text[cut:])]
        assert [w and w.generation for w in words] == [None, 7, None, 8], cut


def test_a_list_that_is_too_long_is_rejected() -> None:
    reader = protocol.WatchEventReader(1_000)
    with pytest.raises(protocol.MalformedError):
        for _ in range(100):
            list(reader.feed(b'{"instances": [\n' + b" " * 20))


@pytest.mark.parametrize("fleet_size", [1, 6, 200])
def test_after_silence_the_next_call_begins_within_the_bound_on_list_changes(fleet_size: int) -> None:
    for seed in range(20):
        schedule = WatchSchedule(False, random.Random(seed), fleet_size)
        schedule.record_call(0)
        schedule.record_received(10_000_000)  # and right after it the watch falls silent
        now = schedule.silence_deadline_us()
        first = now + schedule.record_lost(now)
        assert (
            first <= 10_000_000 + watch_schedule.LIST_CHANGE_BOUND_US // 2
        )  # the other half is for the wait at discovery
        now, calls = first, 0
        while now <= 16_000_000:
            schedule.record_call(now)
            now, calls = now + 20_000, calls + 1  # refused at once
            wait = schedule.record_lost(now)
            # whenever discovery is back, a call begins within half of what then counts as told
            assert wait <= watch_schedule.LIST_CHANGE_BOUND_US // 2
            now += wait
        assert calls >= 3


class Played:
    """Discovery, played by a script: what each connection gets; and the actor with what it reports."""

    def __init__(self, *scripts: Handler) -> None:
        self.scripts = list(scripts)
        self.calls: asyncio.Queue[str] = asyncio.Queue()
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


async def _silent(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + chunk(told(43) + b"\n"))
    await asyncio.Event().wait()


async def _trickles(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + chunk(told(43) + b"\n"))
    for byte in told(44) * 100:
        writer.write(chunk(bytes([byte])))
        await writer.drain()
        await asyncio.sleep(0.01)


async def _says_nothing(writer: asyncio.StreamWriter) -> None:
    await asyncio.Event().wait()


async def _ends(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + chunk(told(43) + b"\n") + b"0\r\n\r\n")


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    """The same decisions, sooner."""
    for name, value in {
        "WATCH_SILENCE_TIMEOUT_US": 100_000,
        "CALL_TIMEOUT_US": 100_000,
        "MIN_SPREAD_US": 10_000,
    }.items():
        monkeypatch.setattr(watch_schedule, name, value)


@pytest.mark.parametrize("script", [_silent, _trickles, _says_nothing])
def test_a_watch_without_complete_messages_is_reopened(quick: None, script: Handler) -> None:
    async def play() -> None:
        discovery = Played(script, _says_nothing)
        await discovery.start()
        assert "after=41" in await discovery.call()
        after = 41 if script is _says_nothing else 43
        assert f"after={after}" in await discovery.call()
        assert None not in [r.endpoint_list for r in discovery.reports]  # a failed call would wait its turn
        await discovery.stop()

    asyncio.run(play())


def test_a_watch_that_ends_is_reported_and_reopened_unasked() -> None:
    async def play() -> None:
        discovery = Played(_ends, _says_nothing)
        await discovery.start()
        assert "after=41" in await discovery.call()
        assert "after=43" in await discovery.call()
        assert [r.endpoint_list and r.endpoint_list.generation for r in discovery.reports] == [43, None]
        await discovery.stop()

    asyncio.run(play())


def test_an_agent_that_pushes_lists_is_always_watched(quick: None) -> None:
    async def play() -> None:
        discovery = Played(_ends, _ends, _silent, _says_nothing)
        actor = await discovery.start(pushed=True)
        for after in (41, 43, 43, 43):
            assert f"after={after}" in await discovery.call()
        assert None not in [r.endpoint_list for r in discovery.reports]
        actor.tell(ChangeAddress(Address("127.0.0.1", 9)))
        await discovery.stop()

    asyncio.run(play())
