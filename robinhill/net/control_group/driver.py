"""The actor that gives a state machine of the control group its sockets and its clock.

All that comes goes through one mailbox, so the machine is never called from two places at once, and what a
message brings is acted on before the next one is read.
"""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import count
from typing import Protocol

import aiohttp
from aiohttp import web

from robinhill.config_types import Address
from robinhill.control.actions import Action, Connect, Disconnect, Link, Send
from robinhill.control.messages import MAX_MESSAGE_BYTES
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clients.listener import bind
from robinhill.net.clock import Clock, mono_us
from robinhill.net.control_group.link import CLOSE_TIMEOUT_S, PATH, ControlLink, Socket

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
"""For a connection and its upgrade."""

MAX_ACCEPTED_CONNECTIONS = 4_096
"""Connections that a voter accepts; the descriptors of the process bound them too."""

MIN_TICK_US = 1_000
REPORT_INTERVAL_S = 60.0
FAILURES_TO_REPORT = 3


class StateMachine(Protocol):
    """What voters and observers have in common. Times: microseconds, Unix and monotonic."""

    def start(self, now_us: int, mono_us: int) -> list[Action]: ...

    def linked(self, now_us: int, mono_us: int, link: Link, voter: str) -> list[Action]: ...

    def failed(self, mono_us: int, voter: str) -> None: ...

    def received(self, now_us: int, mono_us: int, link: Link, data: bytes) -> list[Action]: ...

    def unlinked(self, now_us: int, mono_us: int, link: Link) -> list[Action]: ...

    def tick(self, now_us: int, mono_us: int) -> list[Action]: ...

    def next_us(self, mono_us: int) -> int: ...


@dataclass(slots=True, frozen=True)
class Opened:
    """A websocket is there, either way."""

    link: ControlLink


@dataclass(slots=True, frozen=True)
class Received:
    """A message has come."""

    link: ControlLink
    data: bytes


@dataclass(slots=True, frozen=True)
class Closed:
    """A connection is gone."""

    link: ControlLink
    why: str


@dataclass(slots=True, frozen=True)
class Failed:
    """A connection could not be opened."""

    voter: str
    why: str


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has gone on."""


@dataclass(slots=True, frozen=True)
class Run:
    """Something that uses the machine is to be done: an operator's call, a reload."""

    work: Callable[[], None]


ToDriver = Opened | Received | Closed | Failed | Tick | Run


@dataclass(slots=True)
class Traffic:
    """Counts since the start, for operators."""

    opened: int = 0
    lost: int = 0
    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class Driver(Actor[ToDriver]):
    """``address_of``: where a voter is; ``act``: carries out what is not about connections, at once;
    ``after``: called when the actions of one call are carried out; ``accepted``: the machine's, if it takes
    links from others.
    """

    def __init__(
        self,
        machine: StateMachine,
        supervisor: Supervisor,
        clock: Clock,
        address_of: Callable[[str], Address],
        act: Callable[[Action], None],
        after: Callable[[], None] = lambda: None,
        accepted: Callable[[int, Link], None] = lambda mono_us, link: None,
    ) -> None:
        super().__init__("control", supervisor)
        self.machine = machine
        self.clock = clock
        self.address_of = address_of
        self.act = act
        self.after = after
        self.accepted = accepted
        self.links: dict[Link, ControlLink] = {}
        self.traffic = Traffic()
        self._numbers = count(1)
        self._connecting: set[asyncio.Task[None]] = set()
        self._failures: dict[str, int] = {}  # in a row, by voter
        self._last_reported_s: dict[str, float] = {}
        self._client: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        self._stopping = False

    def start(self) -> None:
        super().start()
        self._client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )
        self.perform(self.machine.start(self.clock.now_us(), mono_us()))

    async def listen(self, address: Address, key: str) -> None:
        """Accept connections. Raises ConfigError, which names ``key``."""
        sock = bind(address, key)
        self._runner = web.ServerRunner(web.Server(self._accept, access_log=None), shutdown_timeout=0.2)
        await self._runner.setup()
        await web.SockSite(self._runner, sock).start()

    def receive(self, message: ToDriver) -> None:
        now_us, now_mono_us = self.clock.now_us(), mono_us()
        match message:
            case Received(link=link, data=data):
                if link.number not in self.links:
                    return
                self.traffic.messages_in += 1
                self.traffic.bytes_in += len(data)
                self.perform(self.machine.received(now_us, now_mono_us, link.number, data))
            case Tick():
                self._due_us = 0
                self.perform(self.machine.tick(now_us, now_mono_us))
            case Opened(link=link):
                self._opened(now_us, now_mono_us, link)
            case Closed(link=link, why=why):
                self._closed(now_us, now_mono_us, link, why)
            case Failed(voter=voter, why=why):
                self._failed(now_mono_us, voter, why)
            case Run(work=work):
                work()

    def perform(self, actions: Iterable[Action]) -> None:
        """Carry out what the machine asks for, in order."""
        for action in actions:
            match action:
                case Send(link=number, data=data):
                    self._send(number, data)
                case Connect(voter=voter):
                    self._connect(voter)
                case Disconnect(link=number, why=why):
                    self._disconnect(number, why)
                case _:
                    self.act(action)
        self.after()
        self._schedule_tick()

    async def close(self) -> None:
        """End all links, once what is queued is written as far as the other sides read it at once."""
        self._stopping = True
        self.stop()
        if self._timer:
            self._timer.cancel()
        for link in self.links.values():
            link.close("this process ends")
        if self._connecting:
            await asyncio.wait(self._connecting, timeout=CLOSE_TIMEOUT_S)
        for task in list(self._connecting):
            task.cancel()
        if self._runner:
            with contextlib.suppress(Exception):
                await self._runner.cleanup()
        if self._client:
            await self._client.close()

    # Connections

    async def _accept(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != PATH:
            return web.Response(status=404)
        if self._stopping or len(self.links) >= MAX_ACCEPTED_CONNECTIONS:
            return web.Response(status=503)
        socket = web.WebSocketResponse(max_msg_size=MAX_MESSAGE_BYTES + 1, compress=False, timeout=0.2)
        await socket.prepare(request)
        await self._run(socket, str(request.remote), None)
        return socket

    async def _run(self, socket: Socket, address: str, voter: str | None) -> None:
        link = ControlLink(next(self._numbers), socket, address, voter)
        self.tell(Opened(link))
        why = "this process ends"
        try:
            why = await link.run(lambda link, data: self.tell(Received(link, data)))
        finally:
            self.tell(Closed(link, why))

    def _connect(self, voter: str) -> None:
        if self._stopping:
            return
        task = self.supervisor.spawn(self._dial(voter), f"connect to {voter}")
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _dial(self, voter: str) -> None:
        assert self._client
        address = self.address_of(voter)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self._client.ws_connect(
                    f"http://{address}{PATH}", max_msg_size=MAX_MESSAGE_BYTES + 1, compress=0
                )
        except (OSError, aiohttp.ClientError, TimeoutError) as e:
            self.tell(Failed(voter, f"{type(e).__name__} {e}".strip()))
            return
        await self._run(socket, str(address), voter)

    def _opened(self, now_us: int, now_mono_us: int, link: ControlLink) -> None:
        self.links[link.number] = link
        self.traffic.opened += 1
        if link.voter is None:
            self.accepted(now_mono_us, link.number)
            self._schedule_tick()
            return
        self._failures.pop(link.voter, None)
        log.info("control_link_opened", extra={"voter": link.voter, "address": link.address})
        self.perform(self.machine.linked(now_us, now_mono_us, link.number, link.voter))

    def _closed(self, now_us: int, now_mono_us: int, link: ControlLink, why: str) -> None:
        if self.links.pop(link.number, None) is None:
            return
        self.traffic.lost += 1
        level = logging.DEBUG if link.voter is None else logging.WARNING
        log.log(level, "control_link_lost", extra={"voter": link.voter, "address": link.address, "why": why})
        self.perform(self.machine.unlinked(now_us, now_mono_us, link.number))

    def _failed(self, now_mono_us: int, voter: str, why: str) -> None:
        self.machine.failed(now_mono_us, voter)
        self._schedule_tick()
        self._failures[voter] = self._failures.get(voter, 0) + 1
        now_s = time.monotonic()
        recently = now_s - self._last_reported_s.get(voter, -REPORT_INTERVAL_S) < REPORT_INTERVAL_S
        if self._failures[voter] >= FAILURES_TO_REPORT and not recently:
            self._last_reported_s[voter] = now_s
            log.warning("voter_unreachable", extra={"voter": voter, "why": why})

    def _send(self, number: Link, data: bytes) -> None:
        if link := self.links.get(number):
            self.traffic.messages_out += 1
            self.traffic.bytes_out += len(data)
            link.send(data)

    def _disconnect(self, number: Link, why: str) -> None:
        if link := self.links.pop(number, None):
            link.close(why)
            level = logging.INFO if link.voter is None else logging.WARNING
            extra = {"voter": link.voter, "address": link.address, "why": why}
            log.log(level, "control_link_closed", extra=extra)

    # Time

    def _schedule_tick(self) -> None:
        if self._stopping:
            return
        now_us = mono_us()
        due_us = max(now_us + MIN_TICK_US, self.machine.next_us(now_us))
        if self._due_us and self._due_us <= due_us:
            return
        if self._timer:
            self._timer.cancel()
        self._due_us = due_us
        self._timer = self._loop.call_later((due_us - now_us) / 1e6, self.tell, Tick())
