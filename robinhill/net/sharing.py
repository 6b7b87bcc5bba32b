"""What schedulers share, as one part of a scheduler: replica, cordons and peers, wired together.

Imported only where the operators' file names peers.
"""

import asyncio
import logging
import random
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from robinhill.config import Address, Config, ConfigError
from robinhill.cordon.value import cordon_kind
from robinhill.mesh.clocks import LONGEST_LIFETIME_US
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.kinds import DRAIN, SEEN, requests
from robinhill.mesh.notices import notice_kind
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.replica import Replica
from robinhill.mesh.session import Identity
from robinhill.mesh.words import Kind
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.cordons import Call, Cordons, ListChanged
from robinhill.net.decider import Decider
from robinhill.net.figures import PREFIX
from robinhill.net.inbound import Inbound
from robinhill.net.messages import Answer
from robinhill.net.peers import Configure, Peers

log = logging.getLogger(__name__)

COLLECT_S = 1.0  # what is over leaves memory within a second or so
LONGEST_WINDOW_US = 600_000_000  # in which a client repeats a keyed request
LEAVE_S = 0.1  # for our last word to reach partners


class Sharing:
    """Owns the parts of the mesh in this process."""

    def __init__(
        self, config: Config, supervisor: Supervisor, clock: Clock, decider: Decider, inbound: Inbound
    ) -> None:
        assert config.operator
        options = config.operator.mesh
        self.options = options
        self.clock = clock
        self.supervisor = supervisor
        self.inbound = inbound
        self.name = options.name or config.name
        names = _names(options, self.name)
        self.incarnation = clock.now_us()
        self.replica = Replica(self.name, self.incarnation, _kinds())
        self.freshness = Freshness(self.name, names, options.bound_ms * 1000)
        self.cordons = Cordons(
            options, self.name, names, self.incarnation, self.replica, self.freshness, supervisor, clock,
            decider.tell, decider.listed,
        )  # fmt: skip
        # Decisions never draw from this: it spreads dialling in time.
        rng = random.Random(f"{self.name} {self.incarnation}")
        self.peers = Peers(
            _listen(options, self.name), self._configured(options), supervisor, clock, self.replica,
            self.freshness, self.cordons, rng,
        )  # fmt: skip
        self.cordons.changed = self.peers.wake
        self.cordons.on_serving = self._serve
        inbound.behind = True
        decider.may_send = self.cordons.may_send
        if options.on_lost == "hold":
            decider.lease = self.cordons.lease
        decider.list_changed = lambda: self.cordons.tell(ListChanged())
        log.info(
            "sharing",
            extra={"as": self.name, "installation": options.installation, "schedulers": len(names),
                   "bound_ms": options.bound_ms, "on_lost": options.on_lost},
        )  # fmt: skip

    def start(self) -> None:
        self.cordons.start()
        self.peers.start()
        self.supervisor.spawn(self._collect(), "collect")

    async def _collect(self) -> None:
        while True:
            await asyncio.sleep(COLLECT_S)
            self.replica.collect(self.clock.now_us())

    def _serve(self) -> None:
        self.inbound.behind = False

    async def call(self, method: str, cordon_id: str, body: bytes, wait_s: float | None) -> Answer:
        """An operator's call about cordons."""
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.cordons.tell(Call(method, cordon_id, body, wait_s, reply))
        return await reply

    def vouch(self) -> Answer:
        """An operator says that nothing is in force that this scheduler does not know."""
        self.cordons.vouch("an operator said so")
        return Answer(200, b"it counts for majorities\n")

    def figures(self) -> bytes:
        counts = self.peers.counts
        lines = [f"links:{len(self.peers.links)}|g", *(f"{name}:{n}|c" for name, n in counts.items())]
        return "".join(f"{PREFIX}.mesh.{line}\n" for line in [*lines, *self.cordons.figures()]).encode()

    def reconfigure(self, options: MeshOptions) -> None:
        """Go by other peers from now on. What else has changed waits for a restart."""
        if (options.installation, options.name or self.name, options.bound_ms, options.on_lost) != (
            self.options.installation, self.name, self.options.bound_ms, self.options.on_lost,
        ) or _listen(options, self.name) != self.peers.listen:  # fmt: skip
            log.warning("reload_needs_restart", extra={"keys": "mesh"})
            return
        names = _names(options, self.name)
        self.freshness.reconfigure(names)
        self.cordons.reconfigure(options, names)
        self.peers.tell(self._configured(options))
        self.options = options
        log.info("peers_reconfigured", extra={"schedulers": len(names)})

    def _configured(self, options: MeshOptions) -> Configure:
        names = _names(options, self.name)
        identity = Identity(options.installation, self.name, self.incarnation, names)
        others = options.others(self.name)
        partners = sorted(others)
        return Configure(identity, others, partners, options.partners, options.interval_us)

    async def close(self) -> None:
        self.cordons.leave()
        await asyncio.sleep(LEAVE_S)
        self.cordons.stop()
        await self.peers.close()


def _kinds() -> Iterable[Kind[Any]]:
    cordons = cordon_kind()
    cordons = replace(cordons, lifetime_us=min(cordons.lifetime_us, LONGEST_LIFETIME_US))
    return (cordons, notice_kind(), DRAIN, SEEN, requests(LONGEST_WINDOW_US))


def _names(options: MeshOptions, own: str) -> tuple[str, ...]:
    return tuple(sorted({*options.peers, own}))


def _listen(options: MeshOptions, own: str) -> Address:
    text = options.listen or options.peers.get(own)
    if text is None:
        raise ConfigError("mesh.listen", f"must be set where mesh.peers does not name {own}")
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))
