"""A link between two processes of one scheduler: a Unix socket, a JSON object a line, asks and answers."""

import array
import asyncio
import contextlib
import logging
import os
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any

import orjson

from robinhill.net.actor import Supervisor
from robinhill.protocol import MalformedError

log = logging.getLogger(__name__)

Json = dict[str, Any]
MALFORMED = (ValueError, KeyError, TypeError, AttributeError, IndexError, MalformedError)
RETRY_S = 0.005  # a socket whose buffer is full is tried again so much later
MOST_FDS = 16


class LinkLostError(Exception):
    """The other process has gone. What was not ``sent`` whole has never come to it."""

    def __init__(self, sent: bool) -> None:
        super().__init__(sent)
        self.sent = sent


class Link:
    """One side. ``serve`` answers what the other asks; a descriptor that came with it must be taken by it."""

    def __init__(
        self,
        sock: socket.socket,
        supervisor: Supervisor,
        serve: Callable[["Link", str, Json, int | None], Awaitable[Json]],
    ) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.supervisor = supervisor
        self.serve = serve
        self.lost = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._numbers = count(1)
        self._asked: dict[int, asyncio.Future[Json]] = {}
        self._sent: set[int] = set()  # of these, those that the other may have heard
        self._outbox: asyncio.Queue[tuple[bytes, int | None, int]] = asyncio.Queue()
        self._buffer = bytearray()
        self._fds: deque[int] = deque()
        self._loop.add_reader(sock, self._read)
        self._writer = supervisor.spawn(self._write(), "link")

    async def ask(self, what: str, body: Json | None = None, fd: int | None = None) -> Json:
        """The other's answer. Asks arrive in order; a descriptor given here is closed once it is sent."""
        if self.lost.is_set():
            if fd is not None:
                os.close(fd)
            raise LinkLostError(False)
        number = next(self._numbers)
        answer: asyncio.Future[Json] = self._loop.create_future()
        self._asked[number] = answer
        self._put({"ask": number, "what": what, "fd": fd is not None, "body": body or {}}, fd, number)
        try:
            return await answer
        finally:
            self._asked.pop(number, None)
            self._sent.discard(number)

    def close(self) -> None:
        if self.lost.is_set():
            return
        self.lost.set()
        self._loop.remove_reader(self.sock)
        self._writer.cancel()
        self.sock.close()
        for number, answer in self._asked.items():
            if not answer.done():
                answer.set_exception(LinkLostError(number in self._sent))
        for fd in self._fds:
            os.close(fd)
        while not self._outbox.empty():
            _, unsent, _ = self._outbox.get_nowait()
            if unsent is not None:
                os.close(unsent)

    def _put(self, message: Json, fd: int | None = None, number: int = 0) -> None:
        self._outbox.put_nowait((orjson.dumps(message) + b"\n", fd, number))

    async def _write(self) -> None:
        while True:
            data, fd, number = await self._outbox.get()
            try:
                if fd is not None:
                    data = data[await self._send_with(data, fd) :]
                if number in self._asked:
                    self._sent.add(number)  # its last byte may go out from here on
                await self._loop.sock_sendall(self.sock, data)
            except OSError as e:
                # Only the other's end can be the reason. What it said before that is still to be read, and a
                # descriptor that came with it is ours alone now: the reader closes the link behind it.
                log.debug("link_broke", extra={"why": str(e)})
                self._sent.discard(number)
                return

    async def _send_with(self, data: bytes, fd: int) -> int:
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))]
        try:
            while True:
                with contextlib.suppress(BlockingIOError, InterruptedError):
                    return self.sock.sendmsg([data], rights)
                await asyncio.sleep(RETRY_S)
        finally:
            os.close(fd)

    def _read(self) -> None:
        try:
            data, fds, _, _ = socket.recv_fds(self.sock, 1 << 18, MOST_FDS)
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
                self._receive(orjson.loads(line))
        except MALFORMED as e:
            self._refuse(e)

    def _refuse(self, error: Exception) -> None:
        """The other process speaks otherwise: we go on as if it had gone, and it must not take us with it."""
        log.error("link_malformed", exc_info=error)
        self.close()

    def _receive(self, message: Json) -> None:
        if "ask" in message:
            fd = self._fds.popleft() if message["fd"] else None
            self.supervisor.spawn(self._answer(message, fd), f"link {message['what']}")
        elif (answer := self._asked.get(message["answer"])) and not answer.done():
            answer.set_result(message["body"])

    async def _answer(self, message: Json, fd: int | None) -> None:
        try:
            body = await self.serve(self, message["what"], message["body"], fd)
        except MALFORMED as e:
            return self._refuse(e)
        if not self.lost.is_set():
            self._put({"answer": message["ask"], "body": body})
