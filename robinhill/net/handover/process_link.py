"""A link between two processes of one scheduler: questions and answers, a JSON object each, on a Unix socket.

A question may carry a file descriptor. This module owns the form of the messages and knows nothing of their
content.
"""

import array
import asyncio
import contextlib
import logging
import os
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from itertools import count
from typing import Any

import orjson

from robinhill.net.actor import Supervisor
from robinhill.protocol import MalformedError

log = logging.getLogger(__name__)

Json = dict[str, Any]

# What handling a message of another version may raise.
MALFORMED = (ValueError, KeyError, TypeError, AttributeError, IndexError, MalformedError)
SEND_RETRY_S = 0.005  # until a full socket buffer is tried again
MAX_READ_BYTES = 1 << 18
MAX_FDS_PER_READ = 16
NO_QUESTION = 0  # number of a message that is no question; questions begin with 1


class LinkLostError(Exception):
    """The other process has exited. Unless ``sent``, it has not received the complete question."""

    def __init__(self, sent: bool) -> None:
        super().__init__(sent)
        self.sent = sent


@dataclass(slots=True, frozen=True)
class Question:
    """A question of the other process; a descriptor comes along if ``has_fd``."""

    number: int
    name: str
    has_fd: bool
    body: Json

    def encode(self) -> bytes:
        """The question as a line."""
        message = {"ask": self.number, "what": self.name, "fd": self.has_fd, "body": self.body}
        return orjson.dumps(message) + b"\n"


@dataclass(slots=True, frozen=True)
class Answer:
    """The answer to the question of this number."""

    number: int
    body: Mapping[str, Any]

    def encode(self) -> bytes:
        """The answer as a line."""
        return orjson.dumps({"answer": self.number, "body": self.body}) + b"\n"


def decode(line: bytes | bytearray) -> Question | Answer:
    """The message of a line; raises one of ``MALFORMED``."""
    message = orjson.loads(line)
    if "ask" in message:
        return Question(message["ask"], message["what"], message["fd"], message["body"])
    return Answer(message["answer"], message["body"])


@dataclass(slots=True, frozen=True)
class _Outgoing:
    data: bytes
    fd: int | None = None  # closed once it is sent
    question: int = NO_QUESTION


class ProcessLink:
    """One end of a link.

    ``answer`` is called with each question of the other process; it owns a descriptor that came with it.
    """

    def __init__(
        self,
        sock: socket.socket,
        supervisor: Supervisor,
        answer: Callable[["ProcessLink", str, Json, int | None], Awaitable[Mapping[str, object]]],
    ) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.supervisor = supervisor
        self.answer = answer
        self.lost = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._numbers = count(1)
        self._pending: dict[int, asyncio.Future[Mapping[str, Any]]] = {}  # answers by number of the question
        self._sent: set[int] = set()  # pending questions that the other process may have received
        self._outbox: asyncio.Queue[_Outgoing] = asyncio.Queue()
        self._buffer = bytearray()
        self._fds: deque[int] = deque()  # received ones whose question has not been read yet
        self._loop.add_reader(sock, self._read)
        self._writer = supervisor.spawn(self._write(), "link")

    async def ask(self, question: str, body: Json | None = None, fd: int | None = None) -> Mapping[str, Any]:
        """The other process's answer; raises ``LinkLostError``.

        Questions arrive in order. ``fd`` is closed here once it is sent, or when it can't be.
        """
        if self.lost.is_set():
            if fd is not None:
                os.close(fd)
            raise LinkLostError(False)
        number = next(self._numbers)
        answer: asyncio.Future[Mapping[str, Any]] = self._loop.create_future()
        self._pending[number] = answer
        data = Question(number, question, fd is not None, body or {}).encode()
        self._outbox.put_nowait(_Outgoing(data, fd, number))
        try:
            return await answer
        finally:
            self._pending.pop(number, None)
            self._sent.discard(number)

    def close(self) -> None:
        """End the link: pending questions raise, descriptors that were not passed on are closed."""
        if self.lost.is_set():
            return
        self.lost.set()
        self._loop.remove_reader(self.sock)
        self._writer.cancel()
        self.sock.close()
        for number, answer in self._pending.items():
            if not answer.done():
                answer.set_exception(LinkLostError(number in self._sent))
        for fd in self._fds:
            os.close(fd)
        while not self._outbox.empty():
            unsent = self._outbox.get_nowait()
            if unsent.fd is not None:
                os.close(unsent.fd)

    async def _write(self) -> None:
        while True:
            outgoing = await self._outbox.get()
            data = outgoing.data
            try:
                if outgoing.fd is not None:
                    data = data[await self._send_with_fd(data, outgoing.fd) :]
                if outgoing.question in self._pending:
                    self._sent.add(outgoing.question)  # its last byte may be sent from here on
                await self._loop.sock_sendall(self.sock, data)
            except OSError as e:
                # The other process has exited. What it wrote before is still to be read, with descriptors
                # that nobody else has now: the reader closes the link after it.
                log.debug("process_link_broken", extra={"why": str(e)})
                self._sent.discard(outgoing.question)
                return

    async def _send_with_fd(self, data: bytes, fd: int) -> int:
        """Send the descriptor and as much of the data as fits; return how many bytes. Closes ``fd``."""
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))]
        try:
            while True:
                with contextlib.suppress(BlockingIOError, InterruptedError):
                    return self.sock.sendmsg([data], rights)
                await asyncio.sleep(SEND_RETRY_S)
        finally:
            os.close(fd)

    def _read(self) -> None:
        try:
            data, fds, _, _ = socket.recv_fds(self.sock, MAX_READ_BYTES, MAX_FDS_PER_READ)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data, fds = b"", []
        self._fds.extend(fds)
        if not data:
            self.close()
            return
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = rest
        try:
            for line in lines:
                self._receive(decode(line))
        except MALFORMED as e:
            self._close_malformed(e)

    def _receive(self, message: Question | Answer) -> None:
        if isinstance(message, Question):
            fd = self._fds.popleft() if message.has_fd else None
            self.supervisor.spawn(self._answer(message, fd), f"link {message.name}")
        elif (pending := self._pending.get(message.number)) and not pending.done():
            pending.set_result(message.body)

    async def _answer(self, question: Question, fd: int | None) -> None:
        try:
            body = await self.answer(self, question.name, question.body, fd)
        except MALFORMED as e:
            self._close_malformed(e)
            return
        if not self.lost.is_set():
            self._outbox.put_nowait(_Outgoing(Answer(question.number, body).encode()))

    def _close_malformed(self, error: Exception) -> None:
        """The other process is of a version that this one does not understand: go on as if it had exited."""
        log.error("process_link_malformed", exc_info=error)
        self.close()
