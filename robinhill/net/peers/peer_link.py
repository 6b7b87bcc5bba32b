"""The transport of one link to a peer, a websocket.

Each message is created only when it can be written, so that it contains the newest records.
"""

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
from aiohttp import web

from robinhill.mesh.session import Session

MESH_PATH = "/v1/mesh"
CLOSE_TIMEOUT_S = 0.5  # the longest wait for the peer's close frame
MAX_CLOSE_REASON_BYTES = 120  # fits into a websocket's close frame

Socket = aiohttp.ClientWebSocketResponse | web.WebSocketResponse


class PeerLink:
    """Owns the websocket of a link. The session, the protocol's state machine, belongs to the link's creator.

    ``address``: the peer's address; ``dialled``: whether this side opened the link; ``opened_us``: monotonic
    time of the opening. ``close_reason``: why this side closed the link, None until then. ``confirmed``:
    whether the peer has answered a ping, which means that both sides have accepted the link.
    """

    def __init__(self, socket: Socket, session: Session, address: str, dialled: bool, opened_us: int) -> None:
        self.socket = socket
        self.session = session
        self.address = address
        self.dialled = dialled
        self.opened_us = opened_us
        self.close_reason: str | None = None
        self.confirmed = False
        self._wake = asyncio.Event()
        self._closing = asyncio.Event()

    @property
    def name(self) -> str:
        """The peer's name; empty until the peer's hello, the first message on a link, is received."""
        return self.session.peer.name if self.session.peer else ""

    def wake(self) -> None:
        """Make `run` call ``next_message`` now, as there may be a new message to write."""
        self._wake.set()

    def close(self, reason: str) -> None:
        """Close the link, so that `run` returns. Only the first reason is recorded."""
        if self.close_reason is None:
            self.close_reason = reason
            self._closing.set()

    async def run(
        self,
        next_message: Callable[["PeerLink"], bytes | None],
        on_message: Callable[["PeerLink", bytes], None],
        idle_s: Callable[["PeerLink"], float],
    ) -> str:
        """Read and write until either side closes the link. Returns the reason.

        ``next_message`` returns the next message to write, None if there is none now; ``idle_s`` returns the
        time after which to call ``next_message`` again even if `wake` is not called. ``on_message`` is called
        with each received message.
        """
        reading = asyncio.ensure_future(self._read(on_message))
        writing = asyncio.ensure_future(self._write(next_message, idle_s))
        # `close` must end the link even while a write to an unreachable peer blocks.
        closing = asyncio.ensure_future(self._closing.wait())
        try:
            await asyncio.wait([reading, writing, closing], return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (reading, writing, closing):
                task.cancel()
            await asyncio.gather(reading, writing, closing, return_exceptions=True)
            await self._close_socket()
        return self._end_reason(reading, writing)

    async def _close_socket(self) -> None:
        reason = (self.close_reason or "").encode()[:MAX_CLOSE_REASON_BYTES]
        with contextlib.suppress(OSError, aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.socket.close(message=reason)

    def _end_reason(self, reading: asyncio.Task[str], writing: asyncio.Task[None]) -> str:
        """Why the link ended. Raises an error of either task that is not a connection error."""
        for task in (reading, writing):
            if not task.cancelled() and (error := task.exception()):
                if not isinstance(error, (OSError, aiohttp.ClientError, RuntimeError)):
                    raise error
                return self.close_reason or f"{type(error).__name__} {error}".strip()
        peer_reason = reading.result() if reading.done() and not reading.cancelled() else ""
        return self.close_reason or peer_reason or "closed by the peer"

    async def _read(self, on_message: Callable[["PeerLink", bytes], None]) -> str:
        """Pass messages to ``on_message`` until the link ends. Returns the reason; empty if there is none."""
        while True:
            message = await self.socket.receive()
            if message.type is aiohttp.WSMsgType.BINARY:
                on_message(self, message.data)
            elif message.type is aiohttp.WSMsgType.CLOSE:
                return str(message.extra or "")
            elif message.type is aiohttp.WSMsgType.ERROR:
                return f"websocket error: {message.data}"
            elif message.type is not aiohttp.WSMsgType.TEXT:
                return ""

    async def _write(
        self, next_message: Callable[["PeerLink"], bytes | None], idle_s: Callable[["PeerLink"], float]
    ) -> None:
        while self.close_reason is None:
            self._wake.clear()
            while self.close_reason is None and (data := next_message(self)) is not None:
                await self.socket.send_bytes(data)  # waits while the transport's buffer is full
            if self.close_reason is None:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(idle_s(self)):
                        await self._wake.wait()
