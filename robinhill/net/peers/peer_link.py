"""The transport of one link to a peer: a websocket whose frames are drawn when there is room."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

import aiohttp
from aiohttp import web

from robinhill.mesh.session import Session

log = logging.getLogger(__name__)

PATH = "/v1/mesh"
CLOSE_S = 0.5  # for the other side's goodbye
REASON = 120  # bytes that a websocket's goodbye may hold

Socket = aiohttp.ClientWebSocketResponse | web.WebSocketResponse


class PeerLink:
    """Both ends alike. Owns the websocket; the session belongs to the actor that made the link."""

    def __init__(self, socket: Socket, session: Session, address: str, dialled: bool, opened_us: int) -> None:
        self.socket = socket
        self.session = session
        self.address = address  # where the other side is
        self.dialled = dialled
        self.opened_us = opened_us  # monotonic
        self.ended: str | None = None  # why it was ended from here
        self.proven = False  # a ping was answered: both sides have taken it
        self._wake = asyncio.Event()
        self._end = asyncio.Event()

    @property
    def name(self) -> str:
        """The peer's, once it has greeted."""
        return self.session.peer.name if self.session.peer else ""

    def wake(self) -> None:
        """There may be something to write."""
        self._wake.set()

    def end(self, why: str) -> None:
        """Close it; `run` returns then."""
        if self.ended is None:
            self.ended = why
            self._end.set()

    async def run(
        self,
        draw: Callable[["PeerLink"], bytes | None],
        heard: Callable[["PeerLink", bytes], None],
        idle_s: Callable[["PeerLink"], float],
    ) -> str:
        """Until it is closed by either side; why, in a few words.

        ``draw`` gives the next frame, ``idle_s`` how long there is none if nothing happens.
        """
        reading = asyncio.ensure_future(self._read(heard))
        writing = asyncio.ensure_future(self._write(draw, idle_s))
        ending = asyncio.ensure_future(self._end.wait())  # a write may be stuck behind a reader that is gone
        try:
            await asyncio.wait([reading, writing, ending], return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (reading, writing, ending):
                task.cancel()
            await asyncio.gather(reading, writing, ending, return_exceptions=True)
            reason = (self.ended or "").encode()[:REASON]
            with contextlib.suppress(OSError, aiohttp.ClientError, TimeoutError):
                async with asyncio.timeout(CLOSE_S):
                    await self.socket.close(message=reason)
        for task in (reading, writing):
            if not task.cancelled() and (error := task.exception()):
                if not isinstance(error, (OSError, aiohttp.ClientError, RuntimeError)):
                    raise error
                return self.ended or f"{type(error).__name__} {error}".strip()
        told = reading.result() if reading.done() and not reading.cancelled() else ""
        return self.ended or told or "closed by the peer"

    async def _read(self, heard: Callable[["PeerLink", bytes], None]) -> str:
        while True:
            message = await self.socket.receive()
            if message.type is aiohttp.WSMsgType.BINARY:
                heard(self, message.data)
            elif message.type is aiohttp.WSMsgType.CLOSE:
                return str(message.extra or "")
            elif message.type is aiohttp.WSMsgType.ERROR:
                return f"broken: {message.data}"
            elif message.type is not aiohttp.WSMsgType.TEXT:
                return ""

    async def _write(
        self, draw: Callable[["PeerLink"], bytes | None], idle_s: Callable[["PeerLink"], float]
    ) -> None:
        while self.ended is None:
            self._wake.clear()
            while self.ended is None and (frame := draw(self)) is not None:
                await self.socket.send_bytes(frame)  # waits while the transport is full
            if self.ended is None:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(idle_s(self)):
                        await self._wake.wait()
