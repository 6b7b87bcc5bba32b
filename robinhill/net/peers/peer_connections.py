"""The actor that keeps the links to other schedulers: it listens, dials, greets, and hands on what comes."""

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from aiohttp import web

from robinhill.config_types import Address
from robinhill.mesh import overlay
from robinhill.mesh.errors import PeerRejected, PeerUnreachable
from robinhill.mesh.frames import MAX_MESSAGE_BYTES
from robinhill.mesh.session import Identity, KnowledgeAges, Session, Store
from robinhill.mesh.session_events import (
    Event,
    HelloReceived,
    MemberMessageReceived,
    PingAnswered,
    RecordsReceived,
)
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clients.listener import bind
from robinhill.net.clock import Clock, mono_us
from robinhill.net.peers.peer_link import PATH, PeerLink

log = logging.getLogger(__name__)

HELLO_S = 2.0  # a link must be greeted within
DIAL_S = 1.0  # for a connection and its upgrade
FIRST_WAIT_S = 0.05  # before the second try to dial; the waits double, each is drawn between a tenth and all
LONGEST_WAIT_S = 1.0  # two tries within the two seconds in which copies must be equal after a heal
COURTESY_S = 0.1  # the peer with the lower name dials; the other only if nothing has come by then
STRANGERS = 16  # connections that have not greeted yet
DEAD_US = 800_000  # past an interval without a word, a link is given up
AWAY_US = 500_000  # a look that is so late: this process stood still, and links had no chance to be heard
BIND_AGAIN_S = 0.2  # while another process of this scheduler has the address still
MOST_TRIES = 16  # that are counted
LASTING_US = 2_000_000  # a link that lives so long was no try that failed
SAID_AGAIN_S = 60.0  # how often a peer that stays unreachable is told of again


class Hearer(Protocol):
    """Who owns the replica. It is called at once, not told: what has come must be acted on before an answer
    behind it lends a lease. ``told_us``: the peer's Unix time as it greeted.
    """

    def learned(self, learned: RecordsReceived) -> None: ...

    def greeted(self, name: str, incarnation: int, told_us: int) -> None: ...

    def answered(self, name: str) -> None: ...

    def lost(self, name: str) -> None: ...


@dataclass(slots=True, frozen=True)
class Heard:
    """A frame has come over a link."""

    link: PeerLink
    data: bytes


@dataclass(slots=True, frozen=True)
class Opened:
    """A websocket is there, either way."""

    link: PeerLink


@dataclass(slots=True, frozen=True)
class Closed:
    """It is gone."""

    link: PeerLink
    why: str


@dataclass(slots=True, frozen=True)
class Look:
    """Time has passed."""


@dataclass(slots=True, frozen=True)
class Configure:
    """Whom to know, where they are, how many links to keep, and how often each is asked."""

    identity: Identity
    addresses: Mapping[str, str]
    most_links: int
    interval_us: int


ToPeers = Heard | Opened | Closed | Look | Configure


class Peers(Actor[ToPeers]):
    """Keeps one link to each partner, and takes those of others as far as there is room."""

    def __init__(
        self,
        listen: Address,
        configured: Configure,
        supervisor: Supervisor,
        clock: Clock,
        store: Store,
        ages: KnowledgeAges,
        hearer: Hearer,
        rng: random.Random,
    ) -> None:
        super().__init__("peers", supervisor)
        self.listen = listen
        self.configured = configured
        self.clock = clock
        self.store = store
        self.ages = ages
        self.hearer = hearer
        self.rng = rng
        self.links: dict[str, PeerLink] = {}  # greeted
        self.fresh: set[PeerLink] = set()  # not greeted yet
        self.partners: Sequence[str] = self._partners()
        self.alive: Callable[[], Collection[str]] = lambda: self.links.keys()  # who is thought to run
        self.told: Callable[[str, bytes], None] = lambda name, payload: None  # words between members
        self.counts = dict.fromkeys(("opened", "lost", "refused", "frames_in", "frames_out", "bytes_in",
                                     "bytes_out"), 0)  # fmt: skip
        self.refusals: dict[str, str] = {}  # the last one by name or address, for operators; bounded
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._tries: dict[str, int] = {}  # in a row without a link that lasted
        self._said_s: dict[str, float] = {}  # when it was last told that a peer can't be reached
        self._client: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self._looked_us = mono_us()
        self._timer: asyncio.TimerHandle | None = None
        self._stopping = False

    def start(self) -> None:
        super().start()
        self._client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=DIAL_S),
        )
        self.supervisor.spawn(self._listen(), "peers listen")
        self._look()

    def receive(self, message: ToPeers) -> None:
        match message:
            case Heard(link=link, data=data):
                self._heard(link, data)
            case Opened(link=link):
                self.fresh.add(link)
                self.counts["opened"] += 1
            case Closed(link=link, why=why):
                self._closed(link, why)
            case Look():
                self._look()
            case Configure():
                self._configure(message)

    def wake(self) -> None:
        """The replica has changed: write it to whoever lacks it."""
        for link in self.links.values():
            link.wake()

    async def close(self) -> None:
        """End all links, after what is known has been written as far as partners read it at once."""
        self._stopping = True
        self.stop()
        for task in self._dialling.values():
            task.cancel()
        if self._timer:
            self._timer.cancel()
        for link in [*self.links.values(), *self.fresh]:
            link.end("this scheduler ends")
        if self._runner:
            with contextlib.suppress(Exception):
                await self._runner.cleanup()
        if self._client:
            await self._client.close()

    # Links

    async def _listen(self) -> None:
        """Take links; another process of this scheduler may have the address for a while yet."""
        said = False
        while True:
            try:
                sock = bind(self.listen, "mesh.listen")
                break
            except Exception as e:
                if not said:
                    log.warning("peers_address_taken", extra={"listen": self.listen, "why": str(e)})
                said = True
                await asyncio.sleep(BIND_AGAIN_S)
        self._runner = web.ServerRunner(web.Server(self._accept, access_log=None), shutdown_timeout=0.2)
        await self._runner.setup()
        await web.SockSite(self._runner, sock).start()
        log.info("peers_listening", extra={"listen": self.listen})

    async def _accept(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != PATH:
            return web.Response(status=404)
        if self._stopping or len(self.fresh) >= STRANGERS:
            return web.Response(status=503)
        socket = web.WebSocketResponse(max_msg_size=MAX_MESSAGE_BYTES, compress=False, timeout=0.2)
        await socket.prepare(request)
        await self._run(socket, str(request.remote), dialled=False)
        return socket

    async def _run(
        self, socket: web.WebSocketResponse | aiohttp.ClientWebSocketResponse, address: str, dialled: bool
    ) -> str:
        """Until the link ends; why it did."""
        c = self.configured
        session = Session(c.identity, self.store, self.ages, dialled, c.interval_us)
        link = PeerLink(socket, session, address, dialled, mono_us())
        self.tell(Opened(link))
        try:
            why = await link.run(self._draw, lambda link, data: self.tell(Heard(link, data)), self._idle_s)
        except BaseException:
            self.tell(Closed(link, "this scheduler ends"))
            raise
        self.tell(Closed(link, why))
        return why

    def _draw(self, link: PeerLink) -> bytes | None:
        frame = link.session.draw(self.clock.now_us(), mono_us())
        if frame is not None:
            self.counts["frames_out"] += 1
            self.counts["bytes_out"] += len(frame)
        return frame

    def _idle_s(self, link: PeerLink) -> float:
        return max(0.001, (link.session.next_us() - mono_us()) / 1e6)

    def _heard(self, link: PeerLink, data: bytes) -> None:
        if link.ended is not None:
            return
        self.counts["frames_in"] += 1
        self.counts["bytes_in"] += len(data)
        head = self.store.head
        try:
            events = link.session.receive(self.clock.now_us(), mono_us(), data)
        except PeerRejected as e:
            self._refuse(link, e)
            return
        for event in events:
            self._happened(link, event)
        if self.store.head != head:
            self.wake()
        link.wake()

    def _happened(self, link: PeerLink, event: Event) -> None:
        match event:
            case HelloReceived(hello=hello):
                if self._seat(link):
                    own = self.configured.identity
                    near = set(overlay.partners(hello.name, own.names))
                    link.session.sender.receives_directly = lambda origin: (
                        origin in near or origin == hello.name
                    )
                    self.hearer.greeted(hello.name, hello.incarnation, hello.now_us)
            case RecordsReceived():
                self.hearer.learned(event)
            case PingAnswered():
                if not link.proven and self.links.get(link.name) is link:
                    link.proven = True
                    extra = {"peer": link.name, "dialled": link.dialled, "links": len(self.links)}
                    log.info("peer_linked", extra=extra)
                self.hearer.answered(link.name)
            case MemberMessageReceived(payload=payload):
                self.told(link.name, payload)

    def _refuse(self, link: PeerLink, error: PeerRejected) -> None:
        self.counts["refused"] += 1
        peer = link.name or link.address
        self.refusals.pop(peer, None)
        self.refusals[peer] = error.what
        if len(self.refusals) > STRANGERS:
            del self.refusals[next(iter(self.refusals))]
        log.warning("peer_refused", extra={"peer": peer, "why": str(error)})
        link.end(error.what)

    def _seat(self, link: PeerLink) -> bool:
        """Whether a greeted link is the one to this peer; of two, both sides choose the same one."""
        assert link.session.peer
        self.fresh.discard(link)
        name, incarnation = link.name, link.session.peer.incarnation
        other = self.links.get(name)
        if other is None:
            c = self.configured
            if name not in self.partners and len(self.links) >= c.most_links:
                link.end("no room for more links")
                return False
        else:
            assert other.session.peer
            silent_us = mono_us() - other.session.last_received_us
            preferred = min(name, self.configured.identity.name)
            dialler = {True: self.configured.identity.name, False: name}
            if other.session.peer.incarnation != incarnation:
                newer = incarnation > other.session.peer.incarnation
            elif silent_us > 2 * self.configured.interval_us or other.dialled is link.dialled:
                newer = True
            else:
                newer = dialler[link.dialled] == preferred
            if not newer:
                link.end("there is a link already")
                return False
            other.end("another link took its place")
        self.links[name] = link
        return True

    def _closed(self, link: PeerLink, why: str) -> None:
        self.fresh.discard(link)
        if self.links.get(link.name) is not link:
            return
        del self.links[link.name]
        self.hearer.lost(link.name)
        if link.proven:
            self.counts["lost"] += 1
            log.warning("peer_lost", extra={"peer": link.name, "why": why, "links": len(self.links)})
        self._dial_missing()

    # Dialling

    def _partners(self) -> list[str]:
        own = self.configured.identity
        return overlay.partners(own.name, own.names)[: self.configured.most_links]

    def _wanted(self) -> list[str]:
        """Partners, and others along the ring while too few of these are there."""
        own = self.configured.identity
        alive = {*self.alive(), *self.links}
        return [*self.partners, *overlay.repairs(own.name, own.names, alive)]

    def _dial_missing(self) -> None:
        for name in self._wanted():
            if name not in self.links and name not in self._dialling and not self._stopping:
                task = self.supervisor.spawn(self._dial(name), f"dial {name}")
                self._dialling[name] = task
                task.add_done_callback(lambda done, name=name: self._dialling.pop(name, None))  # type: ignore[misc]

    async def _dial(self, name: str) -> None:
        """Try until there is a link, whoever dialled it."""
        if name < self.configured.identity.name:
            await asyncio.sleep(COURTESY_S)
        while name in self._wanted() and name not in self.links and not self._stopping:
            if tries := self._tries.get(name, 0):
                longest_s = min(FIRST_WAIT_S * 2.0 ** (tries - 1), LONGEST_WAIT_S)
                await asyncio.sleep(longest_s * (0.1 + 0.9 * self.rng.random()))
                if name in self.links:
                    return
            self._tries[name] = min(tries + 1, MOST_TRIES)
            if why := await self._try(name):
                self._tell_unreachable(name, why)

    def _tell_unreachable(self, name: str, why: str) -> None:
        """At the third failure in a row, and then once a minute."""
        now_s = time.monotonic()
        if self._tries[name] >= 3 and now_s - self._said_s.get(name, -SAID_AGAIN_S) >= SAID_AGAIN_S:
            self._said_s[name] = now_s
            error = PeerUnreachable(f"{name} at {self.configured.addresses.get(name)}: {why}")
            log.warning("peer_unreachable", extra={"peer": name, "why": str(error)})

    async def _try(self, name: str) -> str | None:
        """Dial once, and stay while the link does or another is there; why there was none, or None."""
        assert self._client
        address = self.configured.addresses.get(name)
        if address is None:
            return "it has no address"
        try:
            async with asyncio.timeout(DIAL_S):
                socket = await self._client.ws_connect(
                    f"http://{address}{PATH}", max_msg_size=MAX_MESSAGE_BYTES, compress=0, autoclose=True
                )
        except (OSError, aiohttp.ClientError, TimeoutError) as e:
            return f"{type(e).__name__} {e}".strip()
        began_us = mono_us()
        why = await self._run(socket, address, dialled=True)
        return None if mono_us() - began_us > LASTING_US else why

    # Time

    def _look(self) -> None:
        """Give up links that are silent; not just after we stood still ourselves, as they had no chance."""
        now_us = mono_us()
        interval_us = self.configured.interval_us
        late_us = now_us - self._looked_us - interval_us
        self._looked_us = now_us
        if late_us > AWAY_US:
            log.warning("was_away", extra={"seconds": late_us / 1e6})
            for link in self.links.values():
                link.session.pings.ping_soon()
                link.wake()
        else:
            dead_us = interval_us + DEAD_US
            for link in list(self.links.values()):
                if now_us - link.session.last_received_us > dead_us:
                    link.end("silent")
                elif now_us - link.opened_us > LASTING_US:
                    self._tries.pop(link.name, None)
            for link in list(self.fresh):
                if now_us - link.opened_us > HELLO_S * 1e6:
                    link.end("no greeting")
        self._dial_missing()
        self._timer = asyncio.get_running_loop().call_later(interval_us / 1e6, self.tell, Look())

    def _configure(self, new: Configure) -> None:
        """Go by another list: all links are greeted anew, as the greeting tells the list."""
        old, self.configured = self.configured, new
        if new.identity == old.identity and new.interval_us == old.interval_us:
            gone = [n for n in self.links if old.addresses.get(n) != new.addresses.get(n)]
        else:
            gone = list(self.links)
        self.partners = self._partners()
        for name in gone:
            self.links[name].end("the list of schedulers has changed")
        self._dial_missing()
