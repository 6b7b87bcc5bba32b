"""A link between two processes of one scheduler: questions and answers on a Unix socket, one JSON line each.

A question is a request that the other process answers once; it may carry a file descriptor. This module
defines the framing of the messages and does not interpret their bodies.
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

# Errors that a message from a process of another version may raise while it is handled.
MALFORMED_MESSAGE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError, MalformedError)
SEND_RETRY_S = 0.005  # delay before writing to a full socket buffer again
MAX_READ_BYTES = 1 << 18
MAX_FDS_PER_READ = 16
NO_QUESTION = 0  # question number of outgoing answers; questions are numbered from 1


class LinkLostError(Exception):
    """The link is closed: the other process has exited, or sent a message that can't be handled.

    ``sent``: the other process may have received the complete question. Otherwise it has not.
    """

    def __init__(self, sent: bool) -> None:
        super().__init__(sent)
        self.sent = sent


@dataclass(slots=True, frozen=True)
class Question:
    """A question; ``has_fd``: a file descriptor is passed with it."""

    number: int
    name: str
    has_fd: bool
    body: Json

    def encode(self) -> bytes:
        """Encode the question as a line of JSON."""
        message = {"ask": self.number, "what": self.name, "fd": self.has_fd, "body": self.body}
        return orjson.dumps(message) + b"\n"


@dataclass(slots=True, frozen=True)
class Answer:
    """The answer to the question with the same ``number``."""

    number: int
    body: Mapping[str, Any]

    def encode(self) -> bytes:
        """Encode the answer as a line of JSON."""
        return orjson.dumps({"answer": self.number, "body": self.body}) + b"\n"


def decode(line: bytes | bytearray) -> Question | Answer:
    """Decode a line of JSON. Raises one of ``MALFORMED_MESSAGE_ERRORS``."""
    message = orjson.loads(line)
    if "ask" in message:
        return Question(message["ask"], message["what"], message["fd"], message["body"])
    return Answer(message["answer"], message["body"])


@dataclass(slots=True, frozen=True)
class _Outgoing:
    data: bytes
    fd: int | None = None  # closed here once it has been sent
    question: int = NO_QUESTION


class ProcessLink:
    """This process's end of a link to the other process of the scheduler.

    ``answer`` handles each question of the other process: it is called with this link and the question's
    name, body and descriptor (None if there is none). It returns the answer's body and owns the descriptor.
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
        self._question_numbers = count(1)
        self._pending: dict[int, asyncio.Future[Mapping[str, Any]]] = {}  # answers by question number
        self._sent: set[int] = set()  # numbers of pending questions that the other process may have received
        self._outbox: asyncio.Queue[_Outgoing] = asyncio.Queue()
        self._buffer = bytearray()
        self._fds: deque[int] = deque()  # received descriptors whose questions have not been read yet
        self._loop.add_reader(sock, self._read)
        self._writer = supervisor.spawn(self._write(), "link")

    async def ask(self, question: str, body: Json | None = None, fd: int | None = None) -> Mapping[str, Any]:
        """Ask the other process a question and return the answer's body. Raises ``LinkLostError``.

        Questions arrive in the order of the calls. ``fd`` is closed here once it has been sent or can't be
        sent.
        """
        if self.lost.is_set():
            if fd is not None:
                os.close(fd)
            raise LinkLostError(False)
        number = next(self._question_numbers)
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
        """Close the link and the descriptors still held here. Pending questions raise ``LinkLostError``."""
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
                    self._sent.add(outgoing.question)  # the question's last byte may be sent from here on
                await self._loop.sock_sendall(self.sock, data)
            except OSError as e:
                # The other process has exited, but messages that it wrote before may still be unread. Their
                # descriptors are open in no other process, so the reader closes the link only at the end of
                # the stream.
                log.debug("process_link_broken", extra={"why": str(e)})
                self._sent.discard(outgoing.question)
                return

    async def _send_with_fd(self, data: bytes, fd: int) -> int:
        """Send the descriptor with the first part of the data, then close ``fd``.

        Returns the number of bytes sent.
        """
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
        except MALFORMED_MESSAGE_ERRORS as e:
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
        except MALFORMED_MESSAGE_ERRORS as e:
            self._close_malformed(e)
            return
        if not self.lost.is_set():
            self._outbox.put_nowait(_Outgoing(Answer(question.number, body).encode()))

    def _close_malformed(self, error: Exception) -> None:
        """Close the link to a process whose messages this version can't handle, as if it had exited."""
        log.error("process_link_malformed", exc_info=error)
        self.close()
