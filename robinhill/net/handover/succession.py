"""What two processes of one scheduler say to each other while one takes the other's place."""

import asyncio
import contextlib
import logging
import os
import socket
from pathlib import Path
from typing import Any, Protocol

from robinhill.net.actor import Supervisor
from robinhill.net.handover.process_link import Link, LinkLostError

log = logging.getLogger(__name__)

Json = dict[str, Any]
SOCKET = "robinhill.sock"
LONGEST_PATH = 100  # of a Unix socket; the system allows 107
CONNECT_S = 1.0
PATIENCE_S = 2.5  # for a predecessor that does not answer: it may hang, which is why it is being replaced
CALL_S = 0.7  # for the other process to follow an operator's call: the answer is due within 1 s


class Estate(Protocol):
    """What a scheduler does when the other process says so."""

    def hello(self) -> Json: ...
    def memory(self) -> Json: ...
    def succeeded(self, yes: bool) -> None: ...
    async def obey(self, what: str, body: Json) -> bool: ...
    async def take_event(self, body: Json) -> bool: ...
    async def adopt(self, body: Json, fd: int) -> bool: ...


class Succession:
    """Links to the process before and the process after; each may be absent."""

    def __init__(self, folder: Path, supervisor: Supervisor, estate: Estate) -> None:
        self.folder = folder
        self.supervisor = supervisor
        self.estate = estate
        self.predecessor: Link | None = None
        self.successor: Link | None = None
        self.serving = asyncio.Event()  # what another process says is heard only once we know as much as it
        self._told = False  # the successor knows what we knew
        self._succeeded = False  # and accepts in our place
        self._listener: socket.socket | None = None
        self._directory = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)

    def _path(self, name: str) -> str:
        path = str(self.folder / name)
        return path if len(path.encode()) <= LONGEST_PATH else f"/proc/self/fd/{self._directory}/{name}"

    @property
    def links(self) -> list[Link]:
        """The processes that live beside this one."""
        # A successor that has not heard what we know will hear the rest with it.
        both = (self.predecessor, self.successor if self._told else None)
        return [link for link in both if link and not link.lost.is_set()]

    # As the new process

    def find(self) -> bool:
        """Whether there is a process to succeed."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.settimeout(CONNECT_S)
        try:
            sock.connect(self._path(SOCKET))
        except OSError as e:  # none there, a killed one's socket, or one that hangs
            log.info("no_predecessor", extra={"why": str(e)})
            sock.close()
            return False
        self.predecessor = Link(sock, self.supervisor, self._serve)
        return True

    async def ask(self, what: str) -> Json | None:
        """The predecessor's answer; None if it hangs or has gone, and is none any more then."""
        assert self.predecessor
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await self.predecessor.ask(what)
        except (TimeoutError, LinkLostError) as e:
            log.warning("predecessor_silent", extra={"what": what, "why": repr(e)})
            self.predecessor.close()
            return None

    async def begin(self) -> None:
        """We accept: the predecessor need not any longer, and the next process is to find us."""
        self.serving.set()
        if self.predecessor:
            if not self.predecessor.lost.is_set():
                await self.ask("serving")
            self.supervisor.spawn(self._outlive(self.predecessor), "predecessor")
        self._publish()

    async def _outlive(self, link: Link) -> None:
        await link.lost.wait()
        log.info("predecessor_gone")
        self.predecessor = None
        self.estate.succeeded(self._succeeded)

    # As the old process

    def _publish(self) -> None:
        """Bind under a name of our own and rename: at no moment is there no socket, or one of nobody's."""
        own = f"{SOCKET}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            (self.folder / own).unlink()
        if self._listener:
            self._close_listener()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.bind(self._path(own))
            sock.listen(1)
            (self.folder / own).replace(self.folder / SOCKET)
        except OSError as e:
            log.error("succession_unavailable", extra={"why": str(e)})
            sock.close()
            return
        self._listener = sock
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def _close_listener(self) -> None:
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _accept(self) -> None:
        assert self._listener
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        if self.successor and not self.successor.lost.is_set():
            sock.close()  # one at a time
            return
        self.successor, self._told = Link(sock, self.supervisor, self._serve), False
        self.supervisor.spawn(self._watch(self.successor), "successor")

    async def _watch(self, link: Link) -> None:
        await link.lost.wait()
        log.warning("successor_gone")
        self.successor, self._succeeded = None, False
        self.estate.succeeded(False)
        if self._listener is None:
            self._publish()

    # As either

    async def _serve(self, link: Link, what: str, body: Json, fd: int | None) -> Json:
        await self.serving.wait()
        match what:
            case "hello":
                return self.estate.hello()
            case "memory":
                self._told = True
                return self.estate.memory()
            case "serving":
                log.info("succeeded")
                self._succeeded = True
                self.estate.succeeded(True)
                self._close_listener()  # the name is the successor's now
            case "event":
                return {"taken": await self._take_event(body, link)}
            case "adopt" if fd is not None:
                return {"taken": await self.estate.adopt(body, fd)}
            case _:
                return {"yes": await self.estate.obey(what, body)}
        return {}

    async def _take_event(self, body: Json, origin: Link) -> bool:
        return await self.estate.take_event(body) or await self.forward(body, origin)

    async def forward(self, body: Json, origin: Link | None = None) -> bool:
        """Whether another process holds the request of an endpoint's call, and has taken the call."""
        for link in self.links:
            with contextlib.suppress(LinkLostError):
                if link is not origin and (await link.ask("event", body))["taken"]:
                    return True
        return False

    async def tell_all(self, what: str, body: Json) -> bool:
        """Have the other processes follow an operator's call; whether all that live have said yes."""
        for link in self.links:
            try:
                async with asyncio.timeout(CALL_S):
                    if not (await link.ask(what, body))["yes"]:
                        return False
            except TimeoutError:
                return False
            except LinkLostError:
                continue
        return True

    def close(self) -> None:
        self._close_listener()
        for link in self.links:
            link.close()
        os.close(self._directory)
