"""Two processes of different versions may not understand each other: neither must end for that."""

import asyncio
import os
import socket
from typing import Any

import pytest

from robinhill.net.actor import Supervisor
from robinhill.net.link import Link, LinkLostError


async def serve(link: Link, what: str, body: dict[str, Any], fd: int | None) -> dict[str, Any]:
    return {"said": body["words"], "fd": fd is not None and os.read(fd, 4).decode()}


@pytest.mark.parametrize("line", [b"no JSON\n", b"[]\n", b'{"ask":1,"what":"x","fd":false,"body":{}}\n'])
def test_what_is_not_understood_ends_the_link_and_nothing_else(line: bytes) -> None:
    async def play() -> None:
        here, there = socket.socketpair()
        supervisor = Supervisor()
        link = Link(here, supervisor, serve)
        there.sendall(line)
        async with asyncio.timeout(10):
            await link.lost.wait()
        assert not supervisor.failed.done()
        with pytest.raises(LinkLostError):
            await link.ask("x")
        there.close()
        await supervisor.close()

    asyncio.run(play())


def test_descriptors_arrive_with_their_messages_and_asks_end_with_the_other_process() -> None:
    async def play() -> None:
        here, there = socket.socketpair()
        supervisor = Supervisor()
        mine, other = Link(here, supervisor, serve), Link(there, supervisor, serve)
        reader, writer = os.pipe()
        os.write(writer, b"pipe")
        long = "x" * 1_000_000
        asks = [mine.ask("a", {"words": long}), mine.ask("b", {"words": "b"}, reader)]
        async with asyncio.timeout(10):
            first, second = await asyncio.gather(*asks)
        assert first == {"said": long, "fd": False} and second == {"said": "b", "fd": "pipe"}
        other.close()
        with pytest.raises(LinkLostError):
            async with asyncio.timeout(10):
                await mine.ask("c", {"words": ""})
        os.close(writer)
        mine.close()
        await supervisor.close()

    asyncio.run(play())
