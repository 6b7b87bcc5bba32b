"""The relay applies the requested impairment to whole messages and changes nothing else."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from robinhill.emulator.relay import Direction, Impairment, Messages, Relay, Unit

Socket = aiohttp.ClientWebSocketResponse


@asynccontextmanager
async def link(
    seed: str = "s", unit: Unit = Unit.MESSAGE
) -> AsyncIterator[tuple[Relay, Callable[[], Awaitable[Socket]]]]:
    """A relay in front of an echo server, and a function that connects through it."""

    async def echo(request: web.BaseRequest) -> web.StreamResponse:
        ws = web.WebSocketResponse(autoping=False)
        await ws.prepare(request)
        async for message in ws:
            await ws.send_bytes(message.data)
        return ws

    runner = web.ServerRunner(web.Server(echo), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    relay = Relay("{}:{}".format(*runner.addresses[0]), seed, unit)
    await relay.start()
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10)) as session:
        yield relay, lambda: session.ws_connect(f"http://{relay.address}/", autoping=False)
        await relay.stop()
    await runner.cleanup()


async def echoed(ws: Socket, number: int, size: int = 10) -> list[int]:
    """Send numbered messages and an end marker; returns the numbers received back before the marker."""
    for i in range(number):
        await ws.send_bytes(bytes([i]) * size)
    await ws.send_bytes(b"\xff")
    back: list[int] = []
    while (data := await ws.receive_bytes(timeout=10)) != b"\xff":
        assert data in (data[:1] * size,), "a message was received in part"
        back.append(data[0])
    return back


def test_messages_are_split_at_their_boundaries_for_any_read_sizes() -> None:
    head = b"GET / HTTP/1.1\r\nUpgrade: websocket\r\n\r\n"
    masked = b"\x82\x83mask" + b"abc"
    long = b"\x82\x7e\x01\x00" + b"x" * 256
    first, ping, rest = (
        b"\x02\x01a",
        b"\x89\x00",
        b"\x80\x01b",
    )  # a message in two fragments with a ping between them
    stream = head + masked + long + first + ping + rest
    whole = [head, masked, long, ping, first + rest]
    assert Messages().feed(stream) == whole
    one_by_one = Messages()
    assert [m for i in range(len(stream)) for m in one_by_one.feed(stream[i : i + 1])] == whole
    plain = Messages()
    assert plain.feed(b"HTTP/1.1 403 No\r\n\r\nno") + plain.feed(b"pe") == [
        b"HTTP/1.1 403 No\r\n\r\n", b"no", b"pe"
    ]  # fmt: skip
    with pytest.raises(ValueError, match="too long"):
        Messages().feed(head + b"\x82\x7f" + b"\x7f" * 8)


@pytest.mark.parametrize("size", [10, 70_000])
def test_loss_and_duplication_affect_whole_messages_and_depend_on_the_seed(size: int) -> None:
    async def play(seed: str) -> list[int]:
        async with link(seed) as (relay, dial):
            ws = await dial()
            relay.set_impairment(Impairment(loss=0.3, duplicate=0.2), Direction.THERE)
            for i in range(60):
                await ws.send_bytes(bytes([i]) * size)
            while relay.passed[Direction.THERE].whole + relay.passed[Direction.THERE].lost < 60:
                await asyncio.sleep(0)
            relay.heal()
            back = await echoed(ws, 0, size)
            await ws.close()
            return back

    async def thrice() -> tuple[list[int], ...]:
        return await play("a"), await play("a"), await play("b")

    one, again, other = asyncio.run(thrice())
    assert one == again != other and one == sorted(one)
    assert 25 < len(set(one)) < 60 < len(one) + 60 - len(set(one)), (
        "expected some lost and some duplicated messages"
    )


def test_reorder_lets_messages_overtake_and_delay_keeps_their_order() -> None:
    async def play() -> None:
        async with link() as (relay, dial):
            ws = await dial()
            relay.set_impairment(Impairment(jitter_s=0.02), Direction.THERE)
            assert await echoed(ws, 30) == list(range(30))
            relay.set_impairment(Impairment(reorder=1.0, reorder_s=0.05), Direction.THERE)
            for i in range(30):
                await ws.send_bytes(bytes([i]))
            mixed = [(await ws.receive_bytes())[0] for _ in range(30)]
            assert sorted(mixed) == list(range(30)) != mixed
            loop = asyncio.get_running_loop()
            relay.set_impairment(Impairment(delay_s=0.1))
            begun = loop.time()
            assert await echoed(ws, 1) == [0] and loop.time() - begun >= 0.2
            await ws.close()

    asyncio.run(play())


def test_stall_of_one_direction_delays_its_messages_and_not_the_other_direction() -> None:
    async def play() -> None:
        async with link() as (relay, dial):
            ws = await dial()
            relay.set_impairment(Impairment(stalled=True), Direction.BACK)
            for i in range(5):
                await ws.send_bytes(bytes([i]))
            while relay.passed[Direction.THERE].whole < 6:  # counts the handshake as a message
                await asyncio.sleep(0)
            with pytest.raises(TimeoutError):
                await ws.receive_bytes(timeout=0.05)
            relay.heal()
            assert [(await ws.receive_bytes())[0] for _ in range(5)] == [0, 1, 2, 3, 4]
            await ws.close()

    asyncio.run(play())


def test_truncation_delivers_part_of_a_message_and_closes_the_connection() -> None:
    async def play() -> None:
        async with link() as (relay, dial):
            ws = await dial()
            relay.set_impairment(Impairment(truncate_after=100), Direction.BACK)
            await ws.send_bytes(b"x" * 1000)
            assert (await ws.receive(timeout=10)).type is not aiohttp.WSMsgType.BINARY
            assert relay.passed[Direction.BACK].torn == 1
            assert await echoed(await dial(), 3) == [0, 1, 2], "the next connection is truncated too"

    asyncio.run(play())


def test_half_open_refusing_and_flapping_links_work_again_after_heal() -> None:
    async def play() -> None:
        async with link() as (relay, dial):
            old = await dial()
            relay.make_half_open()
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await dial()
            assert not old.closed
            relay.heal()
            assert await echoed(await dial(), 2) == [0, 1]
            relay.refuse_connections()
            with pytest.raises(aiohttp.ClientError):
                await dial()
            relay.heal()
            relay.flap(0.02, 0.02)
            ups = 0
            while ups < 2:
                try:
                    ws = await dial()
                    await ws.receive(timeout=10)  # returns when the link goes down
                    ups += 1
                except (aiohttp.ClientError, OSError):
                    pass
            relay.heal()
            assert await echoed(await dial(), 2) == [0, 1]

    asyncio.run(play())


def test_unit_of_bytes_forwards_data_and_sever_resets_the_connection() -> None:
    async def play() -> None:
        async with link(unit=Unit.BYTES) as (relay, dial):
            ws = await dial()
            assert await echoed(ws, 3) == [0, 1, 2]
            relay.sever()
            assert (await ws.receive(timeout=10)).type is not aiohttp.WSMsgType.BINARY

    asyncio.run(play())
