"""Tests of the link between two processes of a scheduler: its messages, its end and pending questions."""

import array
import asyncio
import os
import socket
from typing import Any

import pytest

from robinhill.net.actor import Supervisor
from robinhill.net.handover.process_link import LinkLostError, ProcessLink


async def echo(link: ProcessLink, question: str, body: dict[str, Any], fd: int | None) -> dict[str, Any]:
    return {"echo": body["text"], "fd": fd is not None and os.read(fd, 4).decode()}


@pytest.mark.parametrize("line", [b"no JSON\n", b"[]\n", b'{"ask":1,"what":"x","fd":false,"body":{}}\n'])
def test_malformed_message_closes_the_link_without_failing_the_supervisor(line: bytes) -> None:
    async def scenario() -> None:
        local_socket, remote_socket = socket.socketpair()
        supervisor = Supervisor()
        link = ProcessLink(local_socket, supervisor, echo)
        remote_socket.sendall(line)
        async with asyncio.timeout(10):
            await link.lost.wait()
        assert not supervisor.failed.done()
        with pytest.raises(LinkLostError):
            await link.ask("x")
        remote_socket.close()
        await supervisor.close()

    asyncio.run(scenario())


def test_descriptors_arrive_with_their_questions_and_asking_an_exited_process_raises() -> None:
    async def scenario() -> None:
        local_socket, remote_socket = socket.socketpair()
        supervisor = Supervisor()
        local, remote = (
            ProcessLink(local_socket, supervisor, echo),
            ProcessLink(remote_socket, supervisor, echo),
        )
        reader, writer = os.pipe()
        os.write(writer, b"pipe")
        long_text = "x" * 1_000_000
        questions = [local.ask("a", {"text": long_text}), local.ask("b", {"text": "b"}, reader)]
        async with asyncio.timeout(10):
            first, second = await asyncio.gather(*questions)
        assert first == {"echo": long_text, "fd": False} and second == {"echo": "b", "fd": "pipe"}
        remote.close()
        with pytest.raises(LinkLostError):
            async with asyncio.timeout(10):
                await local.ask("c", {"text": ""})
        os.close(writer)
        local.close()
        await supervisor.close()

    asyncio.run(scenario())


def test_unread_questions_of_an_exited_process_are_handled_after_a_write_to_it_fails() -> None:
    """The questions' descriptors are open in no other process, so dropped questions would lose them."""

    async def scenario() -> None:
        local_socket, remote_socket = socket.socketpair()
        supervisor = Supervisor()
        received: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        async def read_descriptor(
            link: ProcessLink, question: str, body: dict[str, Any], fd: int | None
        ) -> dict[str, Any]:
            assert fd is not None
            received.set_result(os.read(fd, 4).decode())
            os.close(fd)
            return {}

        local = ProcessLink(local_socket, supervisor, read_descriptor)
        reader, writer = os.pipe()
        os.write(writer, b"pipe")
        question = asyncio.create_task(local.ask("a"))
        await asyncio.sleep(0)  # the question is queued and not written yet
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [reader]))]
        remote_socket.sendmsg([b'{"ask":1,"what":"b","fd":true,"body":{}}\n'], rights)
        remote_socket.close()
        async with asyncio.timeout(10):
            with pytest.raises(LinkLostError) as lost:
                await question
            assert not lost.value.sent
            assert await received == "pipe"
        with pytest.raises(LinkLostError) as lost:
            await local.ask("c")
        assert not lost.value.sent and not supervisor.failed.done()
        for fd in (reader, writer):
            os.close(fd)
        await supervisor.close()

    asyncio.run(scenario())


def test_completely_sent_question_is_reported_as_sent_when_the_link_is_lost() -> None:
    async def scenario() -> None:
        local_socket, remote_socket = socket.socketpair()
        supervisor = Supervisor()
        local = ProcessLink(local_socket, supervisor, echo)
        remote_socket.setblocking(False)
        question = asyncio.create_task(local.ask("a"))
        async with asyncio.timeout(10):
            assert await asyncio.get_running_loop().sock_recv(remote_socket, 1000)
            remote_socket.close()
            with pytest.raises(LinkLostError) as lost:
                await question
        assert lost.value.sent
        await supervisor.close()

    asyncio.run(scenario())
