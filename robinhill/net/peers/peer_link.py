"""The transport of one link to a peer: a websocket whose messages are drawn when it has capacity."""

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
from aiohttp import web

from robinhill.mesh.session import Session

PATH = "/v1/mesh"
CLOSE_TIMEOUT_S = 0.5  # for the close frame of the other side
MAX_CLOSE_REASON_BYTES = 120  # that a close frame has capacity for

Socket = aiohttp.ClientWebSocketResponse | web.WebSocketResponse


class PeerLink:
    """Owns the websocket of a link; the session belongs to the actor that made the link.

    ``address``: of the other side; ``dialled``: whether this side opened it; ``opened_us``: monotonic.
    ``close_reason``: why it was closed from here, None while it is open. ``confirmed``: whether a ping was
    answered, so that both sides have accepted it.
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
        """The peer's name; empty before its hello."""
        return self.session.peer.name if self.session.peer else ""

    def wake(self) -> None:
        """There may be something to write."""
        self._wake.set()

    def close(self, reason: str) -> None:
        """Close the link; `run` returns then. The first reason counts."""
        if self.close_reason is None:
            self.close_reason = reason
            self._closing.set()

    async def run(
        self,
        draw: Callable[["PeerLink"], bytes | None],
        received: Callable[["PeerLink", bytes], None],
        idle_s: Callable[["PeerLink"], float],
    ) -> str:
        """Read and write until either side closes the link; returns the reason.

        ``draw`` returns the next message, ``idle_s`` for how long there is none if nothing happens.
        """
        reading = asyncio.ensure_future(self._read(received))
        writing = asyncio.ensure_future(self._write(draw, idle_s))
        closing = asyncio.ensure_future(self._closing.wait())  # a write may block on a peer that is gone
        try:
            await asyncio.wait([reading, writing, closing], return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (reading, writing, closing):
                task.cancel()
            await asyncio.gather(reading, writing, closing, return_exceptions=True)
            await self._close_socket()
        return self._reason(reading, writing)

    async def _close_socket(self) -> None:
        reason = (self.close_reason or "").encode()[:MAX_CLOSE_REASON_BYTES]
        with contextlib.suppress(OSError, aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.socket.close(message=reason)

    def _reason(self, reading: asyncio.Task[str], writing: asyncio.Task[None]) -> str:
        """Why the link was closed; raises what is no error of a connection."""
        for task in (reading, writing):
            if not task.cancelled() and (error := task.exception()):
                if not isinstance(error, (OSError, aiohttp.ClientError, RuntimeError)):
                    raise error
                return self.close_reason or f"{type(error).__name__} {error}".strip()
        peer_reason = reading.result() if reading.done() and not reading.cancelled() else ""
        return self.close_reason or peer_reason or "closed by the peer"

    async def _read(self, received: Callable[["PeerLink", bytes], None]) -> str:
        """Pass on messages until the peer closes the link; its reason."""
        while True:
            message = await self.socket.receive()
            if message.type is aiohttp.WSMsgType.BINARY:
                received(self, message.data)
            elif message.type is aiohttp.WSMsgType.CLOSE:
                return str(message.extra or "")
            elif message.type is aiohttp.WSMsgType.ERROR:
                return f"broken: {message.data}"
            elif message.type is not aiohttp.WSMsgType.TEXT:
                return ""

    async def _write(
        self, draw: Callable[["PeerLink"], bytes | None], idle_s: Callable[["PeerLink"], float]
    ) -> None:
        while self.close_reason is None:
            self._wake.clear()
            while self.close_reason is None and (data := draw(self)) is not None:
                await self.socket.send_bytes(data)  # waits while the transport has no capacity
            if self.close_reason is None:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(idle_s(self)):
                        await self._wake.wait()
