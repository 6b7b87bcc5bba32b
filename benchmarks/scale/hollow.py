"""Many schedulers' real sharing code in one process, on a test clock.

`Replication`, `PeerConnections`, `CordonActor`, `Session`, `Replica` and `Freshness` are the program's own.
Replaced are the clock (`ClockLoop`), sockets (`LinkEnd`) and what lies beyond: a dispatcher that carries out
at once what it is told. Time passes only between events, so a run gives the same counts on each machine,
however busy.
"""

import asyncio
import contextlib
import itertools
import logging
import random
import selectors
import time
from collections import deque
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, TypeVar, cast
from unittest.mock import patch

import aiohttp
import msgspec

from robinhill.config import Config
from robinhill.mesh.options import MeshOptions
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clients.inbound import Inbound
from robinhill.net.clock import Clock
from robinhill.net.cordons import actor as cordons
from robinhill.net.cordons.operator_calls import CordonCall
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.dispatcher.messages import CordonsChanged, SendLeaseChanged
from robinhill.net.peers import peer_connections, replication
from robinhill.net.peers.peer_connections import MAX_LINKS_WITHOUT_HELLO, PeerConnections
from robinhill.net.peers.peer_link import MESH_PATH
from robinhill.net.peers.replication import Replication
from robinhill.protocol import Answer, Lifecycle, ListedEndpoint

Result = TypeVar("Result")
UNIX_EPOCH_S = 1_700_000_000
START_S = 1_000.0  # of the test clock: a monotonic clock does not begin at 0 either
LOOK_S = 0.05
FORM_S = 10.0  # of test time, for all links to come up
REFUSED_S = 10.0  # a dial over a cut link waits for longer than anybody does
CALL_S = 30.0
BOUND_MS = 4_000


class _JumpingSelector(selectors.DefaultSelector):
    """Waits for nothing: the clock jumps to the next timer instead."""

    clock: "ClockLoop"

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.clock.advance(timeout)
        return super().select(0)


class ClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while there is nothing to do."""

    def __init__(self) -> None:
        self._now_s = START_S
        selector = _JumpingSelector()
        selector.clock = self
        super().__init__(selector)

    def time(self) -> float:
        return self._now_s

    def advance(self, seconds: float) -> None:
        if seconds > 0:
            self._now_s += seconds


def now_us() -> int:
    """The test clock's time, as all schedulers' monotonic clock."""
    return round(asyncio.get_running_loop().time() * 1e6)


class LoopClock(Clock):
    """Unix time on the test clock."""

    def __init__(self) -> None:
        super().__init__()

    def now_us(self) -> int:
        return UNIX_EPOCH_S * 1_000_000 + now_us()


# Links


@dataclass(slots=True)
class Conditions:
    """What messages between two schedulers meet. ``loss``: the share that never comes, as a relay loses whole
    messages; ``delay_s``: one way.
    """

    loss: float = 0.0
    delay_s: float = 0.0
    cut: bool = False


class LinkEnd:
    """One end of a websocket without a socket, as far as `PeerLink` uses it; ordered."""

    def __init__(self, conditions: Conditions, rng: random.Random) -> None:
        self.conditions, self.rng = conditions, rng
        self.other: LinkEnd | None = None
        self.inbox: asyncio.Queue[aiohttp.WSMessage] = asyncio.Queue()
        self._under_way: deque[aiohttp.WSMessage] = deque()
        self._closed = False

    async def receive(self) -> aiohttp.WSMessage:
        return await self.inbox.get()

    async def send_bytes(self, data: bytes) -> None:
        if self._closed:
            raise ConnectionResetError("the link is closed")
        lost = self.conditions.loss and self.rng.random() < self.conditions.loss
        if not lost:
            self._carry(aiohttp.WSMessage(aiohttp.WSMsgType.BINARY, data, None))

    async def close(self, *, message: bytes = b"") -> None:
        if not self._closed:
            self._closed = True
            self._carry(aiohttp.WSMessage(aiohttp.WSMsgType.CLOSE, 1000, message.decode()))

    def _carry(self, message: aiohttp.WSMessage) -> None:
        if self.conditions.cut:
            return
        self._under_way.append(message)
        asyncio.get_running_loop().call_later(self.conditions.delay_s, self._deliver)

    def _deliver(self) -> None:
        assert self.other
        self.other.inbox.put_nowait(self._under_way.popleft())


class _Dialler:
    """Stands for aiohttp's client session in a scheduler."""

    def __init__(self, network: "Network", own: "HollowPeers") -> None:
        self.network, self.own = network, own

    async def ws_connect(self, url: str, **options: object) -> LinkEnd:
        address = url.removeprefix("http://").removesuffix(MESH_PATH)
        return await self.network.connect(self.own, address)

    async def close(self) -> None:
        pass


class HollowPeers(PeerConnections):
    """A scheduler's links, over the network that is set while schedulers are made."""

    network: "Network"

    def start(self) -> None:
        Actor.start(self)
        self._client = cast(aiohttp.ClientSession, _Dialler(self.network, self))
        self._check_links()

    def accept(self, end: LinkEnd, address: str) -> None:
        """A connection that another scheduler has opened."""
        if self._stopping or len(self.opening) >= MAX_LINKS_WITHOUT_HELLO:
            raise ConnectionRefusedError("no room for more connections")
        socket = cast(aiohttp.ClientWebSocketResponse, end)
        self.supervisor.spawn(self._run_link(socket, address, dialled=False), "accepted link")


class Network:
    """All schedulers by address, and the conditions between each two."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.peers: dict[str, HollowPeers] = {}
        self.conditions: dict[tuple[str, str], Conditions] = {}

    async def connect(self, dialler: HollowPeers, address: str) -> LinkEnd:
        target = self.peers[address]
        own, other = dialler.configured.identity.name, target.configured.identity.name
        there, back = self.conditions[own, other], self.conditions[other, own]
        await asyncio.sleep(REFUSED_S if there.cut or back.cut else there.delay_s + back.delay_s)
        near, far = LinkEnd(there, self.rng), LinkEnd(back, self.rng)
        near.other, far.other = far, near
        target.accept(far, own)
        return near


# Schedulers


class _Applying:
    """Stands for the dispatcher: what it is told about cordons it has carried out at the next turn."""

    def use_cordons(
        self,
        may_send: Callable[[ListedEndpoint], bool],
        on_list_changed: Callable[[], None],
        send_lease: Callable[[], bool] | None = None,
    ) -> None:
        pass  # nothing is sent and no list comes here

    def tell(self, message: CordonsChanged | SendLeaseChanged) -> None:
        if isinstance(message, CordonsChanged):
            asyncio.get_running_loop().call_soon(message.on_applied)

    def listed(self) -> list[ListedEndpoint]:
        return [ListedEndpoint("w0", "127.0.0.1:9", "north", "std", 0, Lifecycle.ACTIVE, 1.0, 0)]


@dataclass(slots=True, frozen=True)
class Shape:
    """A fleet of hollow schedulers. ``regions``: they lie in so many by turns, ``delay_s`` apart one way."""

    schedulers: int
    regions: int = 1
    delay_s: float = 0.0
    loss: float = 0.0
    near_delay_s: float = 0.0005
    bound_ms: int = BOUND_MS
    on_lost: str = "hold"
    seed: int = 7


@dataclass(slots=True, frozen=True)
class Totals:
    """What all schedulers have written to each other since their start; processor time of this process."""

    bytes: int
    messages: int
    cpu_s: float

    def since(self, before: "Totals") -> "Totals":
        """What has been added since an earlier look."""
        return Totals(self.bytes - before.bytes, self.messages - before.messages, self.cpu_s - before.cpu_s)


@dataclass(slots=True, eq=False)
class Fleet:
    """Hollow schedulers under way; made by `fleet`."""

    shape: Shape
    network: Network
    schedulers: dict[str, Replication] = field(default_factory=dict)
    supervisors: list[Supervisor] = field(default_factory=list)
    vouched: int = 0  # schedulers that did not come to count by themselves

    @property
    def formed(self) -> bool:
        """Whether each serves, counts for majorities and holds a lease."""
        return all(
            each.cordons.serving and each.freshness.caught_up and each.freshness.holds_lease(now_us())
            for each in self.schedulers.values()
        )

    async def form(self) -> None:
        """Wait until all serve and count. Where a first start does not get there, an operator vouches."""
        with contextlib.suppress(TimeoutError):
            await self.until(lambda: self.formed, FORM_S)
        waiting = [each for each in self.schedulers.values() if not each.freshness.caught_up]
        self.vouched = len(waiting)
        for scheduler in waiting:
            scheduler.confirm_complete()
        await self.until(lambda: self.formed, FORM_S)

    def totals(self) -> Totals:
        counts = [each.peers.counts for each in self.schedulers.values()]
        written = sum(count["bytes_out"] for count in counts)
        return Totals(written, sum(count["frames_out"] for count in counts), time.process_time())

    def region(self, name: str) -> int:
        return sorted(self.schedulers).index(name) % self.shape.regions

    def cut(self, region: int, cut: bool = True) -> None:
        """Cut a region off from all others, or heal it."""
        for one, other in itertools.permutations(self.schedulers, 2):
            if (self.region(one) == region) != (self.region(other) == region):
                self.network.conditions[one, other].cut = cut

    async def until(self, holds: Callable[[], bool], within_s: float) -> float:
        """Test seconds until it holds; TimeoutError if it does not in time."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        async with asyncio.timeout(within_s):
            while not holds():
                await asyncio.sleep(LOOK_S)
        return loop.time() - begun_s

    async def cordon(self, name: str, cordon_id: str, wait_s: float = CALL_S) -> tuple[bool, float]:
        """Set a cordon at a scheduler. Whether it came into force everywhere, and test seconds until then."""
        body = msgspec.json.encode({"target": f"worker/{cordon_id}", "reason": "a trial"})
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Answer] = loop.create_future()
        begun_s = loop.time()
        self.schedulers[name].cordons.tell(CordonCall("PUT", cordon_id, body, f"{wait_s:g}s", reply))
        told = msgspec.json.decode((await reply).body)
        return bool(told.get("in_force")), loop.time() - begun_s


def _address(number: int) -> str:
    return f"10.0.{number >> 8}.{number & 255}:7000"


def _scheduler(name: str, options: MeshOptions, supervisor: Supervisor) -> Replication:
    config = SimpleNamespace(name=name, folder=None, operator=SimpleNamespace(mesh=options))
    inbound = SimpleNamespace(behind=False)
    dispatcher = cast(Dispatcher, _Applying())
    return Replication(cast(Config, config), supervisor, LoopClock(), dispatcher, cast(Inbound, inbound))


def _conditions(shape: Shape, names: Sequence[str]) -> dict[tuple[str, str], Conditions]:
    region = {name: number % shape.regions for number, name in enumerate(names)}
    found = {}
    for one, other in itertools.permutations(names, 2):
        far = region[one] != region[other]
        found[one, other] = Conditions(shape.loss, shape.delay_s if far else shape.near_delay_s)
    return found


@contextmanager
def _test_clock(network: Network) -> Iterator[None]:
    """The program's modules go by the test clock and by links without sockets."""
    logger = logging.getLogger("robinhill")
    level = logger.level
    logger.setLevel(logging.CRITICAL)
    HollowPeers.network = network
    try:
        with (
            patch.object(peer_connections, "mono_us", now_us),
            patch.object(cordons, "mono_us", now_us),
            patch.object(replication, "PeerConnections", HollowPeers),
        ):
            yield
    finally:
        logger.setLevel(level)


@asynccontextmanager
async def fleet(shape: Shape) -> AsyncIterator[Fleet]:
    """Hollow schedulers, all linked and in step; to be used within `run`."""
    names = [f"s{number:03}" for number in range(shape.schedulers)]
    addresses = {name: _address(number) for number, name in enumerate(names)}
    options = msgspec.convert(
        {"installation": "scale", "peers": addresses, "bound_ms": shape.bound_ms, "on_lost": shape.on_lost},
        MeshOptions,
    )
    network = Network(random.Random(shape.seed))
    network.conditions = _conditions(shape, names)
    made = Fleet(shape, network)
    with _test_clock(network):
        for name in names:
            supervisor = Supervisor()
            made.supervisors.append(supervisor)
            made.schedulers[name] = scheduler = _scheduler(name, options, supervisor)
            network.peers[addresses[name]] = cast(HollowPeers, scheduler.peers)
        try:
            for scheduler in made.schedulers.values():
                scheduler.start()
            await made.form()
            yield made
        finally:
            for supervisor in made.supervisors:
                await supervisor.close()
            for scheduler in made.schedulers.values():
                scheduler.cordons.stop()
                with contextlib.suppress(Exception):
                    await scheduler.peers.close()


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Run to its end on a test clock of its own."""
    with asyncio.Runner(loop_factory=ClockLoop) as runner:
        return runner.run(work)
