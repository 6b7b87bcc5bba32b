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

# Errors that the handling of a message from a process of another version may raise.
MALFORMED_MESSAGE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError, MalformedError)
SEND_RETRY_S = 0.005  # delay before a message with a descriptor is written again to a full socket buffer
MAX_READ_BYTES = 1 << 18
MAX_FDS_PER_READ = 16
NO_QUESTION = 0  # value of `_Outgoing.question` for answers; questions are numbered from 1


class LinkLostError(Exception):
    """A question has no answer because the link was closed.

    The other process has exited or sent a message that this process can't handle, or this process has closed
    the link. ``sent``: True if the other process may have received the complete question, False if that is
    impossible.
    """

    def __init__(self, sent: bool) -> None:
        super().__init__(sent)
        self.sent = sent


class EncodingError(Exception):
    """A message of this process can't be written as JSON, so it was not sent; the link stays usable.

    The message contains the cause. What it concerns stays with this process.
    """


@dataclass(slots=True, frozen=True)
class Question:
    """A question from one process of the scheduler to the other.

    ``name`` states what is asked, and ``body`` has the arguments. ``has_fd``: whether a file descriptor is
    passed with the question.
    """

    number: int  # unique among the questions that its sender has sent on this link
    name: str
    has_fd: bool
    body: Json

    def encode(self) -> bytes:
        """Encode the question as a line of JSON. Raises `EncodingError`."""
        return _encode({"ask": self.number, "what": self.name, "fd": self.has_fd, "body": self.body})


@dataclass(slots=True, frozen=True)
class Answer:
    """The answer to the question with the same ``number``."""

    number: int
    body: Mapping[str, Any]

    def encode(self) -> bytes:
        """Encode the answer as a line of JSON. Raises `EncodingError`."""
        return _encode({"answer": self.number, "body": self.body})


def _encode(message: Json) -> bytes:
    try:
        return orjson.dumps(message) + b"\n"
    except orjson.JSONEncodeError as e:
        raise EncodingError(str(e)) from e


def decode(line: bytes | bytearray) -> Question | Answer:
    """Decode a line of JSON. Raises one of ``MALFORMED_MESSAGE_ERRORS``."""
    message = orjson.loads(line)
    if "ask" in message:
        return Question(message["ask"], message["what"], message["fd"], message["body"])
    return Answer(message["answer"], message["body"])


@dataclass(slots=True, frozen=True)
class _Outgoing:
    """An encoded message that has yet to be sent."""

    data: bytes
    fd: int | None = None  # descriptor to pass with the message; this process closes it after sending
    question: int = NO_QUESTION  # number of the question; NO_QUESTION for an answer


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
        self.lost = asyncio.Event()  # set once the link is closed
        self._loop = asyncio.get_running_loop()
        self._question_numbers = count(1)
        # Answers that have not arrived yet, by question number.
        self._pending: dict[int, asyncio.Future[Mapping[str, Any]]] = {}
        self._sent: set[int] = set()  # numbers of pending questions that the other process may have received
        self._outbox: asyncio.Queue[_Outgoing] = asyncio.Queue()
        self._buffer = bytearray()  # received bytes of an incomplete line
        # Descriptors that arrived before the last byte of their questions, in the order of the questions.
        self._fds: deque[int] = deque()
        self._loop.add_reader(sock, self._read)
        self._writer = supervisor.spawn(self._write(), "link")

    async def ask(self, question: str, body: Json | None = None, fd: int | None = None) -> Mapping[str, Any]:
        """Ask the other process a question and return the answer's body.

        Raises ``LinkLostError``, or `EncodingError` if the question can't be encoded and was not sent.

        The other process receives questions in the order in which this method is called. This process closes
        ``fd`` once it has been sent or can't be sent.
        """
        if self.lost.is_set():
            if fd is not None:
                os.close(fd)
            raise LinkLostError(False)
        number = next(self._question_numbers)
        try:
            data = Question(number, question, fd is not None, body or {}).encode()
        except EncodingError:
            if fd is not None:
                os.close(fd)
            raise
        answer: asyncio.Future[Mapping[str, Any]] = self._loop.create_future()
        self._pending[number] = answer
        self._outbox.put_nowait(_Outgoing(data, fd, number))
        try:
            return await answer
        finally:
            self._pending.pop(number, None)
            self._sent.discard(number)

    def close(self) -> None:
        """Close the link, descriptors that are not sent yet, and descriptors received without their question.

        Calls of `ask` that wait for an answer raise ``LinkLostError``.
        """
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
                # The other process has exited, but messages that it wrote before its exit may still be
                # unread. The descriptors passed with those messages are open in no other process, and closing
                # the link would lose them. `_read` therefore closes the link, at the end of the stream.
                log.debug("process_link_broken", extra={"why": str(e)})
                self._sent.discard(outgoing.question)
                return

    async def _send_with_fd(self, data: bytes, fd: int) -> int:
        """Send the descriptor with as much of the data as the socket accepts, then close ``fd``.

        Returns the number of bytes of ``data`` that were sent.
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
            data = Answer(question.number, body).encode()
        except (*MALFORMED_MESSAGE_ERRORS, EncodingError) as e:
            self._close_malformed(e)
            return
        if not self.lost.is_set():
            self._outbox.put_nowait(_Outgoing(data))

    def _close_malformed(self, error: Exception) -> None:
        """Close the link, as if the other process had exited, because its message can't be handled.

        The same happens if this process's answer can't be encoded.

        It may run another version of robinhill, with messages that this version does not know.
        """
        log.error("process_link_malformed", exc_info=error)
        self.close()
