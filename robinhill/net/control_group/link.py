"""One connection of the control group: a websocket with a queue of messages to write. Knows no protocol."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

import aiohttp
from aiohttp import web

PATH = "/v1/control"
CLOSE_TIMEOUT_S = 0.5
"""For the queued messages, and for the other side's close frame."""

MAX_QUEUED_BYTES = 16 << 20
"""Past this the other side reads too slowly and the link is closed; the protocol's send window is far
smaller."""

MAX_REASON_BYTES = 120
"""What fits into a websocket's close frame."""

Socket = aiohttp.ClientWebSocketResponse | web.WebSocketResponse


class ControlLink:
    """One end of a connection. ``voter``: the voter that was dialed; None where the connection was
    accepted."""

    def __init__(self, number: int, socket: Socket, address: str, voter: str | None) -> None:
        self.number = number
        self.socket = socket
        self.address = address
        self.voter = voter
        self.queued_bytes = 0
        self.closed_because: str | None = None
        self._queue: deque[bytes] = deque()
        self._changed = asyncio.Event()
        self._overflow = asyncio.Event()

    def send(self, data: bytes) -> None:
        """Queue a message. Never waits."""
        if self.closed_because is not None:
            return
        self._queue.append(data)
        self.queued_bytes += len(data)
        if self.queued_bytes > MAX_QUEUED_BYTES:
            self._overflow.set()
        self._changed.set()

    def close(self, why: str) -> None:
        """Close the connection once the queue is written; `run` returns then."""
        if self.closed_because is None:
            self.closed_because = why
            self._changed.set()

    async def run(self, received: Callable[["ControlLink", bytes], None]) -> str:
        """Read and write until either side closes the connection or it breaks. Returns why, for the log."""
        reading = asyncio.ensure_future(self._read(received))
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
        return self.closed_because or _failure(reading, writing) or "closed by the other side"

    async def _read(self, received: Callable[["ControlLink", bytes], None]) -> None:
        while True:
            message = await self.socket.receive()
            if message.type is aiohttp.WSMsgType.BINARY:
                received(self, message.data)
            elif message.type is not aiohttp.WSMsgType.TEXT:
                return

    async def _write(self) -> None:
        while True:
            self._changed.clear()
            limit_s = CLOSE_TIMEOUT_S if self.closed_because is not None else None
            async with asyncio.timeout(limit_s):
                await self._write_queued()
            if self.closed_because is not None:
                return
            await self._changed.wait()

    async def _write_queued(self) -> None:
        while self._queue:
            data = self._queue.popleft()
            self.queued_bytes -= len(data)
            await self.socket.send_bytes(data)

    async def _close_socket(self) -> None:
        reason = (self.closed_because or "").encode()[:MAX_REASON_BYTES]
        with contextlib.suppress(OSError, aiohttp.ClientError, TimeoutError, RuntimeError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.socket.close(message=reason)


def _failure(*tasks: "asyncio.Future[None]") -> str | None:
    """The error that broke a connection; an error of another kind is raised."""
    for task in tasks:
        if task.cancelled() or (error := task.exception()) is None:
            continue
        if not isinstance(error, (OSError, aiohttp.ClientError, RuntimeError)):
            raise error
        return f"{type(error).__name__} {error}".strip()
    return None
