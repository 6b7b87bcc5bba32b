"""The actor that owns the links to other schedulers: it accepts and dials them, and reports their events."""

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Sequence

import aiohttp
from aiohttp import web

from robinhill.config_types import Address
from robinhill.mesh import overlay
from robinhill.mesh.errors import PeerRejected
from robinhill.mesh.frames import MAX_MESSAGE_BYTES, Hello
from robinhill.mesh.session import KnowledgeAges, Session, Store
from robinhill.mesh.session_events import (
    Event,
    HelloReceived,
    MemberMessageReceived,
    PingAnswered,
    RecordsReceived,
)
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock, mono_us
from robinhill.net.peers.dialling import PeerDialler
from robinhill.net.peers.peer_link import MESH_PATH, PeerLink, Socket
from robinhill.net.peers.peer_listener import PeerListener
from robinhill.net.peers.peer_messages import (
    CheckLinks,
    Configure,
    LinkClosed,
    LinkOpened,
    MessageReceived,
    PeerEvents,
    PeerMessage,
)

log = logging.getLogger(__name__)

HELLO_TIMEOUT_US = 2_000_000  # from the opening of a link to the peer's hello, the first message on a link
CONNECT_TIMEOUT_S = 1.0  # for opening the TCP connection and upgrading it to a websocket
SERVER_CLOSE_TIMEOUT_S = 0.2  # the longest wait for the close frame of a peer that dialled
MAX_LINKS_WITHOUT_HELLO = 16  # while as many links await the peer's hello, new ones are answered with 503
MAX_REPORTED_REJECTIONS = 16  # most recent rejections in the status for operators
SILENCE_TIMEOUT_US = 800_000  # a link without messages for this time plus one ping interval is closed
# If the periodic check of links is late by more than this, the process was paused and messages may be unread.
PAUSE_THRESHOLD_US = 500_000
STABLE_LINK_US = 2_000_000  # a link that stays open for this long resets the peer's backoff
MIN_IDLE_S = 0.001  # the shortest wait before a link without a message to write checks for one again


class PeerConnections(Actor[PeerMessage]):
    """Maintains one link to each partner, and accepts links from other schedulers up to ``max_links``.

    Partners are the peers with which the overlay (``robinhill.mesh.overlay``) links this scheduler; they are
    a subset of all peers. ``links``: by the peer's name, the links on which the peer's hello was received;
    ``opening``: links before the peer's hello. ``alive`` returns the names of the schedulers considered
    alive; if too few partners are alive, this scheduler dials further live schedulers. ``on_member_message``
    receives the sender's name and the payload of messages that are not part of replication.
    """

    def __init__(
        self,
        listen: Address,
        configured: Configure,
        supervisor: Supervisor,
        clock: Clock,
        store: Store,
        ages: KnowledgeAges,
        events: PeerEvents,
        rng: random.Random,
    ) -> None:
        super().__init__("peers", supervisor)
        self.listen = listen
        self.configured = configured
        self.clock = clock
        self.store = store
        self.ages = ages
        self.events = events
        self.links: dict[str, PeerLink] = {}
        self.opening: set[PeerLink] = set()
        self.partners: Sequence[str] = self._partners()
        self.alive: Callable[[], Collection[str]] = lambda: self.links.keys()
        self.on_member_message: Callable[[str, bytes], None] = lambda _name, _payload: None
        self.counts = dict.fromkeys(("opened", "lost", "refused", "frames_in", "frames_out", "bytes_in",
                                     "bytes_out"), 0)  # fmt: skip
        self.rejections: dict[str, str] = {}  # reason of the last rejection, by the peer's name or address
        self._dialler = PeerDialler(
            configured.identity.name,
            supervisor,
            rng,
            self._wanted,
            self.links,
            self._connect,
            self._address_of,
        )
        self._client: aiohttp.ClientSession | None = None
        self._listener = PeerListener(listen, self._accept)
        self._checked_us = mono_us()
        self._timer: asyncio.TimerHandle | None = None
        self._stopping = False

    def start(self) -> None:
        """Start to accept and dial links."""
        super().start()
        self._client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )
        self.supervisor.spawn(self._listener.run(), "peers listen")
        self._check_links()

    def receive(self, message: PeerMessage) -> None:
        """Handle one message of the mailbox."""
        match message:
            case MessageReceived(link=link, data=data):
                self._message_received(link, data)
            case LinkOpened(link=link):
                self.opening.add(link)
                self.counts["opened"] += 1
            case LinkClosed(link=link, reason=reason):
                self._link_closed(link, reason)
            case CheckLinks():
                self._check_links()
            case Configure():
                self._configure(message)

    def wake(self) -> None:
        """Make all links check for changes of the replica to write."""
        for link in self.links.values():
            link.wake()

    async def close(self) -> None:
        """Stop accepting and dialling, and close all links."""
        self._stopping = True
        self.stop()
        self._dialler.stop()
        if self._timer:
            self._timer.cancel()
        for link in [*self.links.values(), *self.opening]:
            link.close("this scheduler is shutting down")
        await self._listener.close()
        if self._client:
            await self._client.close()

    # Accepting and dialling

    async def _accept(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != MESH_PATH:
            return web.Response(status=404)
        if self._stopping or len(self.opening) >= MAX_LINKS_WITHOUT_HELLO:
            return web.Response(status=503)
        socket = web.WebSocketResponse(
            max_msg_size=MAX_MESSAGE_BYTES, compress=False, timeout=SERVER_CLOSE_TIMEOUT_S
        )
        await socket.prepare(request)
        await self._run_link(socket, str(request.remote), dialled=False)
        return socket

    async def _connect(self, name: str) -> str | None:
        """Dial a peer once, and return when the link has ended.

        Returns the reason if dialling failed or the link ended within `STABLE_LINK_US`, None otherwise.
        """
        assert self._client
        address = self._address_of(name)
        if address is None:
            return "no address is configured for this peer"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self._client.ws_connect(
                    f"http://{address}{MESH_PATH}", max_msg_size=MAX_MESSAGE_BYTES, compress=0, autoclose=True
                )
        except (OSError, aiohttp.ClientError, TimeoutError) as e:
            return f"{type(e).__name__} {e}".strip()
        opened_us = mono_us()
        reason = await self._run_link(socket, address, dialled=True)
        return None if mono_us() - opened_us > STABLE_LINK_US else reason

    def _address_of(self, name: str) -> str | None:
        return self.configured.addresses.get(name)

    def _partners(self) -> list[str]:
        own = self.configured.identity
        return overlay.partners(own.name, own.names)[: self.configured.max_links]

    def _wanted(self) -> list[str]:
        """Names of partners, and of other schedulers on the overlay's ring if too few partners are alive."""
        own = self.configured.identity
        alive = {*self.alive(), *self.links}
        return [*self.partners, *overlay.repair_partners(own.name, own.names, alive)]

    # Links

    async def _run_link(self, socket: Socket, address: str, dialled: bool) -> str:
        """Run a link until it is closed. Returns the reason."""
        c = self.configured
        session = Session(c.identity, self.store, self.ages, dialled, c.interval_us)
        link = PeerLink(socket, session, address, dialled, mono_us())
        self.tell(LinkOpened(link))
        try:
            reason = await link.run(
                self._next_message, lambda link, data: self.tell(MessageReceived(link, data)), self._idle_s
            )
        except BaseException:
            self.tell(LinkClosed(link, "this scheduler is shutting down"))
            raise
        self.tell(LinkClosed(link, reason))
        return reason

    def _next_message(self, link: PeerLink) -> bytes | None:
        data = link.session.draw(self.clock.now_us(), mono_us())
        if data is not None:
            self.counts["frames_out"] += 1
            self.counts["bytes_out"] += len(data)
        return data

    def _idle_s(self, link: PeerLink) -> float:
        return max(MIN_IDLE_S, (link.session.next_us() - mono_us()) / 1e6)

    def _message_received(self, link: PeerLink, data: bytes) -> None:
        if link.close_reason is not None:
            return
        self.counts["frames_in"] += 1
        self.counts["bytes_in"] += len(data)
        head = self.store.head
        try:
            events = link.session.receive(self.clock.now_us(), mono_us(), data)
        except PeerRejected as e:
            self._reject(link, e)
            return
        for event in events:
            self._handle(link, event)
        if self.store.head != head:
            self.wake()
        link.wake()

    def _handle(self, link: PeerLink, event: Event) -> None:
        match event:
            case HelloReceived(hello=hello):
                self._hello_received(link, hello)
            case RecordsReceived():
                self.events.records_received(event)
            case PingAnswered():
                self._mark_confirmed(link)
                self.events.ping_answered(link.name)
            case MemberMessageReceived(payload=payload):
                self.on_member_message(link.name, payload)

    def _hello_received(self, link: PeerLink, hello: Hello) -> None:
        self.opening.discard(link)
        if reason := self._reason_to_close(link, hello):
            link.close(reason)
            return
        if (other := self.links.get(hello.name)) is not None:
            other.close("replaced by another link between the same schedulers")
        self.links[hello.name] = link
        partners = set(overlay.partners(hello.name, self.configured.identity.names))
        partners.add(hello.name)
        link.session.sender.receives_directly = partners.__contains__
        self.events.hello_received(hello.name, hello.incarnation, hello.now_us)

    def _reason_to_close(self, link: PeerLink, hello: Hello) -> str | None:
        """Why a new link must be closed; None to keep it.

        If two schedulers have opened two links to each other, both sides choose the same link to keep.
        """
        c = self.configured
        other = self.links.get(hello.name)
        if other is None:
            full = hello.name not in self.partners and len(self.links) >= c.max_links
            return "the maximum number of links is reached" if full else None
        assert other.session.peer
        if other.session.peer.incarnation != hello.incarnation:
            keep_new = hello.incarnation > other.session.peer.incarnation
        elif self._is_silent(other) or other.dialled is link.dialled:
            keep_new = True
        else:  # keep the link that the scheduler with the smaller name has dialled
            dialler = c.identity.name if link.dialled else hello.name
            keep_new = dialler == min(hello.name, c.identity.name)
        return None if keep_new else "there is already a link between these schedulers"

    def _is_silent(self, link: PeerLink) -> bool:
        return mono_us() - link.session.last_received_us > 2 * self.configured.interval_us

    def _mark_confirmed(self, link: PeerLink) -> None:
        """Mark a link as accepted by both sides, and log it."""
        if link.confirmed or self.links.get(link.name) is not link:
            return
        link.confirmed = True
        extra = {"peer": link.name, "dialled": link.dialled, "links": len(self.links)}
        log.info("peer_linked", extra=extra)

    def _reject(self, link: PeerLink, error: PeerRejected) -> None:
        self.counts["refused"] += 1
        peer = link.name or link.address
        self.rejections.pop(peer, None)
        self.rejections[peer] = error.what
        if len(self.rejections) > MAX_REPORTED_REJECTIONS:
            del self.rejections[next(iter(self.rejections))]
        log.warning("peer_rejected", extra={"peer": peer, "why": str(error)})
        link.close(error.what)

    def _link_closed(self, link: PeerLink, reason: str) -> None:
        self.opening.discard(link)
        if self.links.get(link.name) is not link:
            return
        del self.links[link.name]
        self.events.link_lost(link.name)
        if link.confirmed:
            self.counts["lost"] += 1
            log.warning("peer_lost", extra={"peer": link.name, "why": reason, "links": len(self.links)})
        self._dialler.dial_missing()

    # Timer and configuration

    def _check_links(self) -> None:
        """Close silent links. After a pause of this process, ping their peers instead.

        Messages that were received during the pause may still be unread.
        """
        now_us = mono_us()
        interval_us = self.configured.interval_us
        late_us = now_us - self._checked_us - interval_us
        self._checked_us = now_us
        if late_us > PAUSE_THRESHOLD_US:
            log.warning("process_paused", extra={"seconds": late_us / 1e6})
            for link in self.links.values():
                link.session.pings.ping_soon()
                link.wake()
        else:
            self._close_silent_links(now_us)
        self._dialler.dial_missing()
        self._timer = asyncio.get_running_loop().call_later(interval_us / 1e6, self.tell, CheckLinks())

    def _close_silent_links(self, now_us: int) -> None:
        timeout_us = self.configured.interval_us + SILENCE_TIMEOUT_US
        for link in list(self.links.values()):
            if now_us - link.session.last_received_us > timeout_us:
                link.close("no message within the silence timeout")
            elif now_us - link.opened_us > STABLE_LINK_US:
                self._dialler.reset_backoff(link.name)
        for link in list(self.opening):
            if now_us - link.opened_us > HELLO_TIMEOUT_US:
                link.close("no hello within the hello timeout")

    def _configure(self, new: Configure) -> None:
        """Use a new configuration.

        All links are closed if the identity, which is part of the hello, or the ping interval has changed.
        Otherwise only links to peers with a changed address are closed. The dialler opens them again.
        """
        old, self.configured = self.configured, new
        if new.identity == old.identity and new.interval_us == old.interval_us:
            outdated = [n for n in self.links if old.addresses.get(n) != new.addresses.get(n)]
        else:
            outdated = list(self.links)
        self.partners = self._partners()
        for name in outdated:
            self.links[name].close("the list of schedulers has changed")
        self._dialler.dial_missing()
