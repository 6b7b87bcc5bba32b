"""The link between two processes of a scheduler: what ends it, and what is lost with it."""

import array
import asyncio
import os
import socket
from typing import Any

import pytest

from robinhill.net.actor import Supervisor
from robinhill.net.handover.process_link import LinkLostError, ProcessLink


async def serve(link: ProcessLink, what: str, body: dict[str, Any], fd: int | None) -> dict[str, Any]:
    return {"said": body["words"], "fd": fd is not None and os.read(fd, 4).decode()}


@pytest.mark.parametrize("line", [b"no JSON\n", b"[]\n", b'{"ask":1,"what":"x","fd":false,"body":{}}\n'])
def test_a_malformed_message_closes_the_link_and_nothing_else(line: bytes) -> None:
    async def play() -> None:
        here, there = socket.socketpair()
        supervisor = Supervisor()
        link = ProcessLink(here, supervisor, serve)
        there.sendall(line)
        async with asyncio.timeout(10):
            await link.lost.wait()
        assert not supervisor.failed.done()
        with pytest.raises(LinkLostError):
            await link.ask("x")
        there.close()
        await supervisor.close()

    asyncio.run(play())


def test_descriptors_arrive_with_their_questions_and_pending_ones_fail_when_the_other_process_exits() -> None:
    async def play() -> None:
        here, there = socket.socketpair()
        supervisor = Supervisor()
        mine, other = ProcessLink(here, supervisor, serve), ProcessLink(there, supervisor, serve)
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


def test_questions_written_before_the_other_process_exited_are_answered_though_our_writes_fail() -> None:
    """Nobody else has their descriptors by then."""

    async def play() -> None:
        here, there = socket.socketpair()
        supervisor = Supervisor()
        heard: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        async def take(link: ProcessLink, what: str, body: dict[str, Any], fd: int | None) -> dict[str, Any]:
            assert fd is not None
            heard.set_result(os.read(fd, 4).decode())
            os.close(fd)
            return {}

        mine = ProcessLink(here, supervisor, take)
        reader, writer = os.pipe()
        os.write(writer, b"pipe")
        ask = asyncio.create_task(mine.ask("a"))
        await asyncio.sleep(0)  # it is about to be written
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [reader]))]
        there.sendmsg([b'{"ask":1,"what":"b","fd":true,"body":{}}\n'], rights)
        there.close()
        async with asyncio.timeout(10):
            with pytest.raises(LinkLostError) as lost:
                await ask
            assert not lost.value.sent
            assert await heard == "pipe"
        with pytest.raises(LinkLostError) as lost:
            await mine.ask("c")
        assert not lost.value.sent and not supervisor.failed.done()
        for fd in (reader, writer):
            os.close(fd)
        await supervisor.close()

    asyncio.run(play())


def test_a_question_that_was_sent_completely_counts_as_possibly_received() -> None:
    async def play() -> None:
        here, there = socket.socketpair()
        supervisor = Supervisor()
        mine = ProcessLink(here, supervisor, serve)
        there.setblocking(False)
        ask = asyncio.create_task(mine.ask("a"))
        async with asyncio.timeout(10):
            assert await asyncio.get_running_loop().sock_recv(there, 1000)
            there.close()
            with pytest.raises(LinkLostError) as lost:
                await ask
        assert lost.value.sent
        await supervisor.close()

    asyncio.run(play())
