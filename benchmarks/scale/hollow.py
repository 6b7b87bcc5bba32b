"""Hollow schedulers: the real replication code of many schedulers in one process, on a simulated clock.

`Replication`, `PeerConnections`, `CordonActor`, `Session`, `Replica` and `Freshness` are the program's own.
The clock (`SimulatedClockLoop`), the sockets (`LinkEnd`) and the dispatcher are replaced; the replacement of
the dispatcher applies each change of cordons immediately. Simulated time passes only between events, so a run
gives the same counts on each machine, whatever its load.
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
UNIX_OFFSET_S = 1_700_000_000  # Unix time at second 0 of the simulated clock
START_S = 1_000.0  # the simulated clock does not start at 0, as a real monotonic clock does not
POLL_INTERVAL_S = 0.05
FORMATION_TIMEOUT_S = 10.0  # simulated seconds for all links to be established
BLOCKED_DIAL_S = 10.0  # a dial over a blocked link lasts longer than the timeout of any dialler
CALL_TIMEOUT_S = 30.0
BOUND_MS = 4_000


class _JumpingSelector(selectors.DefaultSelector):
    """Never blocks: advances the simulated clock to the next timer instead of waiting for it."""

    clock: "SimulatedClockLoop"

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("the event loop would block forever: no timer and no callback is left")
        self.clock.advance(timeout)
        return super().select(0)


class SimulatedClockLoop(asyncio.SelectorEventLoop):
    """An event loop on a simulated clock, which advances only while no callback is ready."""

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
    """Microseconds of the simulated clock, which is the monotonic clock of all hollow schedulers."""
    return round(asyncio.get_running_loop().time() * 1e6)


class SimulatedClock(Clock):
    """A `Clock` whose Unix time follows the simulated clock."""

    def __init__(self) -> None:
        super().__init__()

    def now_us(self) -> int:
        return UNIX_OFFSET_S * 1_000_000 + now_us()


# Links


@dataclass(slots=True)
class Conditions:
    """Network conditions in one direction between two schedulers.

    ``loss``: the share of messages that is dropped; a message is lost as a whole, as in `emulator.relay`.
    ``delay_s``: the one-way delay. ``blocked``: no message is delivered.
    """

    loss: float = 0.0
    delay_s: float = 0.0
    blocked: bool = False


class LinkEnd:
    """One end of an in-memory websocket with the methods that `PeerLink` uses; it delivers in order."""

    def __init__(self, conditions: Conditions, rng: random.Random) -> None:
        self.conditions, self.rng = conditions, rng
        self.other: LinkEnd | None = None
        self.inbox: asyncio.Queue[aiohttp.WSMessage] = asyncio.Queue()
        self._in_flight: deque[aiohttp.WSMessage] = deque()
        self._closed = False

    async def receive(self) -> aiohttp.WSMessage:
        return await self.inbox.get()

    async def send_bytes(self, data: bytes) -> None:
        if self._closed:
            raise ConnectionResetError("the link is closed")
        lost = self.conditions.loss and self.rng.random() < self.conditions.loss
        if not lost:
            self._transmit(aiohttp.WSMessage(aiohttp.WSMsgType.BINARY, data, None))

    async def close(self, *, message: bytes = b"") -> None:
        if not self._closed:
            self._closed = True
            self._transmit(aiohttp.WSMessage(aiohttp.WSMsgType.CLOSE, 1000, message.decode()))

    def _transmit(self, message: aiohttp.WSMessage) -> None:
        if self.conditions.blocked:
            return
        self._in_flight.append(message)
        asyncio.get_running_loop().call_later(self.conditions.delay_s, self._deliver)

    def _deliver(self) -> None:
        assert self.other
        self.other.inbox.put_nowait(self._in_flight.popleft())


class _HollowClientSession:
    """Replaces aiohttp's client session in a hollow scheduler."""

    def __init__(self, network: "Network", own: "HollowPeerConnections") -> None:
        self.network, self.own = network, own

    async def ws_connect(self, url: str, **options: object) -> LinkEnd:
        address = url.removeprefix("http://").removesuffix(MESH_PATH)
        return await self.network.connect(self.own, address)

    async def close(self) -> None:
        pass


class HollowPeerConnections(PeerConnections):
    """The peer connections of one hollow scheduler, over the simulated `Network`.

    ``network`` is set on the class before the schedulers are created, since `Replication` creates this object
    and passes no network.
    """

    network: "Network"

    def start(self) -> None:
        Actor.start(self)
        self._client = cast(aiohttp.ClientSession, _HollowClientSession(self.network, self))
        self._check_links()

    def accept(self, end: LinkEnd, address: str) -> None:
        """Accept a connection that another scheduler dialled.

        Raises ConnectionRefusedError while this scheduler stops or too many links have not sent their hello.
        """
        if self._stopping or len(self.opening) >= MAX_LINKS_WITHOUT_HELLO:
            raise ConnectionRefusedError("the scheduler is stopping or has too many links without a hello")
        socket = cast(aiohttp.ClientWebSocketResponse, end)
        self.supervisor.spawn(self._run_link(socket, address, dialled=False), "accepted link")


class Network:
    """The peer connections of all schedulers by address, and the conditions by sender and receiver name."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.peers: dict[str, HollowPeerConnections] = {}
        self.conditions: dict[tuple[str, str], Conditions] = {}

    async def connect(self, dialler: HollowPeerConnections, address: str) -> LinkEnd:
        target = self.peers[address]
        own, other = dialler.configured.identity.name, target.configured.identity.name
        outbound, inbound = self.conditions[own, other], self.conditions[other, own]
        await asyncio.sleep(
            BLOCKED_DIAL_S if outbound.blocked or inbound.blocked else outbound.delay_s + inbound.delay_s
        )
        own_end, other_end = LinkEnd(outbound, self.rng), LinkEnd(inbound, self.rng)
        own_end.other, other_end.other = other_end, own_end
        target.accept(other_end, own)
        return own_end


# Schedulers


class _HollowDispatcher:
    """Replaces the dispatcher: it confirms each change of cordons in the next iteration of the event loop."""

    def use_cordons(
        self,
        may_send: Callable[[ListedEndpoint], bool],
        on_list_changed: Callable[[], None],
        send_lease: Callable[[], bool] | None = None,
    ) -> None:
        pass  # a hollow scheduler sends no attempts and receives no endpoint lists

    def tell(self, message: CordonsChanged | SendLeaseChanged) -> None:
        if isinstance(message, CordonsChanged):
            asyncio.get_running_loop().call_soon(message.on_applied)

    def listed(self) -> list[ListedEndpoint]:
        return [ListedEndpoint("w0", "127.0.0.1:9", "north", "std", 0, Lifecycle.ACTIVE, 1.0, 0)]


@dataclass(slots=True, frozen=True)
class Shape:
    """Size and network conditions of a fleet of hollow schedulers.

    Schedulers are assigned to the ``regions`` in rotation. ``delay_s`` is the one-way delay between regions,
    ``same_region_delay_s`` the one within a region; ``loss`` is the share of lost messages on every link.
    """

    schedulers: int
    regions: int = 1
    delay_s: float = 0.0
    loss: float = 0.0
    same_region_delay_s: float = 0.0005
    bound_ms: int = BOUND_MS
    on_lost: str = "hold"
    seed: int = 7


@dataclass(slots=True, frozen=True)
class Totals:
    """Bytes and messages that all schedulers have sent since their start, and this process's CPU time."""

    bytes: int
    messages: int
    cpu_s: float

    def since(self, earlier: "Totals") -> "Totals":
        """The difference to earlier totals."""
        return Totals(
            self.bytes - earlier.bytes, self.messages - earlier.messages, self.cpu_s - earlier.cpu_s
        )


@dataclass(slots=True, eq=False)
class Fleet:
    """A fleet of running hollow schedulers, created by `fleet`."""

    shape: Shape
    network: Network
    schedulers: dict[str, Replication] = field(default_factory=dict)
    supervisors: list[Supervisor] = field(default_factory=list)
    manually_confirmed: int = 0  # schedulers that counted for majorities only after `confirm_complete`

    @property
    def ready(self) -> bool:
        """Whether each scheduler serves, counts for majorities and holds a lease."""
        return all(
            each.cordons.serving and each.freshness.caught_up and each.freshness.holds_lease(now_us())
            for each in self.schedulers.values()
        )

    async def wait_until_ready(self) -> None:
        """Wait until all schedulers are ready. Raises TimeoutError if they are not.

        On a first start some schedulers may not catch up by themselves. After a first timeout, this method
        calls `confirm_complete` for these schedulers, as an operator would, and waits once more.
        """
        with contextlib.suppress(TimeoutError):
            await self.wait_until(lambda: self.ready, FORMATION_TIMEOUT_S)
        not_caught_up = [each for each in self.schedulers.values() if not each.freshness.caught_up]
        self.manually_confirmed = len(not_caught_up)
        for scheduler in not_caught_up:
            scheduler.confirm_complete()
        await self.wait_until(lambda: self.ready, FORMATION_TIMEOUT_S)

    def totals(self) -> Totals:
        counts = [each.peers.counts for each in self.schedulers.values()]
        written = sum(count["bytes_out"] for count in counts)
        return Totals(written, sum(count["frames_out"] for count in counts), time.process_time())

    def region(self, name: str) -> int:
        return sorted(self.schedulers).index(name) % self.shape.regions

    def set_partitioned(self, region: int, partitioned: bool = True) -> None:
        """Block or unblock all links between a region and the other regions."""
        for one, other in itertools.permutations(self.schedulers, 2):
            if (self.region(one) == region) != (self.region(other) == region):
                self.network.conditions[one, other].blocked = partitioned

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Poll the condition until it is true; returns the simulated seconds that it took.

        Raises TimeoutError if the condition is not true in time.
        """
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)
        return loop.time() - start_s

    async def cordon(self, name: str, cordon_id: str, wait_s: float = CALL_TIMEOUT_S) -> tuple[bool, float]:
        """Set a cordon through one scheduler.

        Returns whether it came into force everywhere, and the simulated seconds until the response.
        """
        body = msgspec.json.encode({"target": f"worker/{cordon_id}", "reason": "a trial"})
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Answer] = loop.create_future()
        start_s = loop.time()
        self.schedulers[name].cordons.tell(CordonCall("PUT", cordon_id, body, f"{wait_s:g}s", reply))
        response = msgspec.json.decode((await reply).body)
        return bool(response.get("in_force")), loop.time() - start_s


def _address(number: int) -> str:
    return f"10.0.{number >> 8}.{number & 255}:7000"


def _make_scheduler(name: str, options: MeshOptions, supervisor: Supervisor) -> Replication:
    config = SimpleNamespace(name=name, folder=None, operator=SimpleNamespace(mesh=options))
    inbound = SimpleNamespace(behind=False)
    dispatcher = cast(Dispatcher, _HollowDispatcher())
    return Replication(cast(Config, config), supervisor, SimulatedClock(), dispatcher, cast(Inbound, inbound))


def _link_conditions(shape: Shape, names: Sequence[str]) -> dict[tuple[str, str], Conditions]:
    region = {name: number % shape.regions for number, name in enumerate(names)}
    conditions = {}
    for one, other in itertools.permutations(names, 2):
        crosses_regions = region[one] != region[other]
        conditions[one, other] = Conditions(
            shape.loss, shape.delay_s if crosses_regions else shape.same_region_delay_s
        )
    return conditions


@contextmanager
def _patched_program(network: Network) -> Iterator[None]:
    """Patch the program's modules to use the simulated clock and in-memory links; silence its log."""
    logger = logging.getLogger("robinhill")
    level = logger.level
    logger.setLevel(logging.CRITICAL)
    HollowPeerConnections.network = network
    try:
        with (
            patch.object(peer_connections, "mono_us", now_us),
            patch.object(cordons, "mono_us", now_us),
            patch.object(replication, "PeerConnections", HollowPeerConnections),
        ):
            yield
    finally:
        logger.setLevel(level)


@asynccontextmanager
async def fleet(shape: Shape) -> AsyncIterator[Fleet]:
    """Start a fleet of hollow schedulers and wait until it is ready. Only works inside `run`."""
    names = [f"s{number:03}" for number in range(shape.schedulers)]
    addresses = {name: _address(number) for number, name in enumerate(names)}
    options = msgspec.convert(
        {"installation": "scale", "peers": addresses, "bound_ms": shape.bound_ms, "on_lost": shape.on_lost},
        MeshOptions,
    )
    network = Network(random.Random(shape.seed))
    network.conditions = _link_conditions(shape, names)
    running = Fleet(shape, network)
    with _patched_program(network):
        for name in names:
            supervisor = Supervisor()
            running.supervisors.append(supervisor)
            running.schedulers[name] = scheduler = _make_scheduler(name, options, supervisor)
            network.peers[addresses[name]] = cast(HollowPeerConnections, scheduler.peers)
        try:
            for scheduler in running.schedulers.values():
                scheduler.start()
            await running.wait_until_ready()
            yield running
        finally:
            for supervisor in running.supervisors:
                await supervisor.close()
            for scheduler in running.schedulers.values():
                scheduler.cordons.stop()
                with contextlib.suppress(Exception):
                    await scheduler.peers.close()


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run the coroutine to completion in a new event loop with its own simulated clock."""
    with asyncio.Runner(loop_factory=SimulatedClockLoop) as runner:
        return runner.run(main)
