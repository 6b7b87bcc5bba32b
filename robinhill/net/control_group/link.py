"""One connection of the control group: a websocket with a queue of outgoing messages."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

import aiohttp
from aiohttp import web

CONTROL_PATH = "/v1/control"
CLOSE_TIMEOUT_S = 0.5
"""The longest time to write the queued messages, and then again to wait for the other side's close frame."""

MAX_QUEUED_BYTES = 16 << 20
"""A link with more queued bytes is closed, as the other side reads too slowly. The protocol's send window,
which limits the unconfirmed messages to an observer, is far smaller."""

MAX_CLOSE_REASON_BYTES = 120
"""Fits into a websocket's close frame."""

Socket = aiohttp.ClientWebSocketResponse | web.WebSocketResponse


class ControlLink:
    """One end of a connection.

    ``number``: the connection's identifier within this process. ``voter``: the dialed voter, None if the
    connection was accepted. ``queued_bytes``: size of the messages not yet written. ``close_reason``: why
    this side closed the connection, None until then.
    """

    def __init__(self, number: int, socket: Socket, address: str, voter: str | None) -> None:
        self.number = number
        self.socket = socket
        self.address = address
        self.voter = voter
        self.queued_bytes = 0
        self.close_reason: str | None = None
        self._queue: deque[bytes] = deque()
        self._wake = asyncio.Event()
        self._overflow = asyncio.Event()

    def send(self, data: bytes) -> None:
        """Queue a message without waiting; ignored once the link is closed."""
        if self.close_reason is not None:
            return
        self._queue.append(data)
        self.queued_bytes += len(data)
        if self.queued_bytes > MAX_QUEUED_BYTES:
            self._overflow.set()
        self._wake.set()

    def close(self, why: str) -> None:
        """Close the connection once the queue is written, or after a timeout, so that `run` returns.

        Only the first reason is recorded.
        """
        if self.close_reason is None:
            self.close_reason = why
            self._wake.set()

    async def run(self, on_message: Callable[["ControlLink", bytes], None]) -> str:
        """Read and write until the connection is closed or fails. Returns the reason, for the log."""
        reading = asyncio.ensure_future(self._read(on_message))
        writing = asyncio.ensure_future(self._write())
        overflow = asyncio.ensure_future(self._overflow.wait())
        tasks = (reading, writing, overflow)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close_socket()
        if self._overflow.is_set():
            return "the other side reads too slowly"
        return self.close_reason or _failure(reading, writing) or "closed by the other side"

    async def _read(self, on_message: Callable[["ControlLink", bytes], None]) -> None:
        while True:
            message = await self.socket.receive()
            if message.type is aiohttp.WSMsgType.BINARY:
                on_message(self, message.data)
            elif message.type is not aiohttp.WSMsgType.TEXT:
                return

    async def _write(self) -> None:
        while True:
            self._wake.clear()
            timeout_s = CLOSE_TIMEOUT_S if self.close_reason is not None else None
            async with asyncio.timeout(timeout_s):
                await self._write_queued()
            if self.close_reason is not None:
                return
            await self._wake.wait()

    async def _write_queued(self) -> None:
        while self._queue:
            data = self._queue.popleft()
            self.queued_bytes -= len(data)
            await self.socket.send_bytes(data)

    async def _close_socket(self) -> None:
        reason = (self.close_reason or "").encode()[:MAX_CLOSE_REASON_BYTES]
        with contextlib.suppress(OSError, aiohttp.ClientError, TimeoutError, RuntimeError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.socket.close(message=reason)


def _failure(*tasks: "asyncio.Future[None]") -> str | None:
    """Describe the connection error that ended one of the tasks; None if there is none.

    An error that is not a connection error is raised.
    """
    for task in tasks:
        if task.cancelled() or (error := task.exception()) is None:
            continue
        if not isinstance(error, (OSError, aiohttp.ClientError, RuntimeError)):
            raise error
        return f"{type(error).__name__} {error}".strip()
    return None
