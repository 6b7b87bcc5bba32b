"""What schedulers share, as one part of a scheduler: replica, cordons and peers, wired together.

Imported only where the operators' file names peers.
"""

import asyncio
import logging
import random
import time
from collections.abc import Iterable
from typing import Any

import msgspec

from robinhill.config import Config
from robinhill.config_types import Address, ConfigError
from robinhill.cordon.codec import cordon_kind
from robinhill.mesh.acknowledgements import acknowledgement_kind
from robinhill.mesh.clocks import agreed_offset_us, next_incarnation
from robinhill.mesh.errors import MeshError
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.record_kinds import DRAIN_KIND, EVIDENCE_KIND, MAX_RETRY_WINDOW_US, request_kind
from robinhill.mesh.records import Kind
from robinhill.mesh.replica import Replica
from robinhill.mesh.session import Identity
from robinhill.mesh.session_events import RecordsReceived
from robinhill.mesh.snapshot import SnapshotHeader
from robinhill.net.actor import Supervisor
from robinhill.net.clients.inbound import Inbound
from robinhill.net.clock import Clock
from robinhill.net.cordons.actor import CordonActor, WorkerListChanged
from robinhill.net.cordons.fleet import Fleet
from robinhill.net.cordons.operator_calls import CordonCall
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.metrics import PREFIX
from robinhill.net.peers.peer_connections import Configure, Peers
from robinhill.net.peers.snapshot_store import SnapshotStore
from robinhill.protocol import Answer

log = logging.getLogger(__name__)

COLLECT_S = 1.0  # what is over leaves memory within a second or so
LEAVE_S = 0.1  # for our last word to reach partners
CLOCKS_DIFFER_US = 2_000_000  # more is told of: ends of cordons would come late or early
RENEW_S = 60.0  # two processes by one name must not outdo each other for ever


class AgreedClock(Clock):
    """Unix time as most schedulers have it: a host whose clock is set wrong goes by the others'."""

    def __init__(self, own: Clock) -> None:
        self.own = own
        self.offset_us = 0
        self._last_us = 0

    def now_us(self) -> int:
        # It may stand still when the offset changes, but not step back.
        self._last_us = max(self._last_us, self.own.now_us() + self.offset_us)
        return self._last_us


class Sharing:
    """Owns the parts of the mesh in this process."""

    def __init__(
        self, config: Config, supervisor: Supervisor, clock: Clock, dispatcher: Dispatcher, inbound: Inbound
    ) -> None:
        assert config.operator
        self.options = options = config.operator.mesh
        self.supervisor, self.inbound = supervisor, inbound
        self.clock = AgreedClock(clock)
        self.name = options.name or config.name
        names = _names(options, self.name)
        listen = _listen(options, self.name)
        folder = config.folder if options.folder else None
        self.rest = SnapshotStore(folder, options.installation, self.name)
        owner, records = self.rest.load()
        incarnation = next_incarnation(clock.now_us(), owner.incarnation if owner else 0)
        self.replica = Replica(self.name, incarnation, _kinds())
        self._recall(owner, records)
        self.freshness = Freshness(self.name, names, options.bound_ms * 1000)
        self.cordons = CordonActor(
            Fleet(self.name, names, options),
            self.replica,
            self.freshness,
            supervisor,
            self.clock,
            dispatcher.tell,
            dispatcher.listed,
        )
        # Decisions never draw from this: it spreads dialling in time.
        rng = random.Random(f"{self.name} {incarnation}")
        configured = self._configured(options)
        self.peers = Peers(
            listen, configured, supervisor, self.clock, self.replica, self.freshness, self, rng
        )
        self._offsets: dict[str, int] = {}  # of others' clocks, against our own
        self._renewed_s = -RENEW_S
        self.peers.alive = self.cordons.reachable
        self.cordons.on_change = self.peers.wake
        self.cordons.on_serving = self._serve
        self.cordons.on_newer_incarnation = self._outdated
        inbound.catching_up = True
        dispatcher.use_cordons(
            self.cordons.may_send,
            lambda: self.cordons.tell(WorkerListChanged()),
            self.cordons.holds_lease if options.on_lost == "hold" else None,
        )
        extra = {"as": self.name, "installation": options.installation, "schedulers": len(names)}
        log.info("sharing", extra=extra | {"bound_ms": options.bound_ms, "on_lost": options.on_lost})

    def _recall(self, owner: SnapshotHeader | None, records: list[Any]) -> None:
        """Take what the last process left, unless it may have been forgotten by all others since."""
        if owner is None:
            return
        now_us = self.clock.now_us()
        for record in records:
            try:
                self.replica.merge(now_us, record)
            except MeshError as e:
                log.warning("record_rejected", extra={"kind": record.kind, "key": record.key, "why": str(e)})
        away_us = max(0, now_us - owner.saved_us)
        if self.replica.stale(now_us, away_us):
            self.replica.clear(away_us)
        log.info("snapshot_restored", extra={"records": len(records), "age_s": away_us / 1e6})

    def start(self) -> None:
        self.cordons.start()
        self.peers.start()
        self.supervisor.spawn(self._collect(), "collect")
        self.supervisor.spawn(self.rest.keep(lambda: self.replica.head, self._owner, self._lasting), "keep")

    def _owner(self) -> SnapshotHeader:
        incarnation = self.replica.clock.incarnation
        return SnapshotHeader(self.options.installation, self.name, incarnation, self.clock.now_us())

    def _lasting(self) -> Iterable[Any]:
        return self.replica.snapshot(persistent_only=True)

    async def _collect(self) -> None:
        while True:
            await asyncio.sleep(COLLECT_S)
            self.replica.collect(self.clock.now_us())

    def _serve(self) -> None:
        self.inbound.catching_up = False

    # From peers, for all who have to know

    def learned(self, learned: RecordsReceived) -> None:
        self.cordons.receive_records(learned)

    def greeted(self, name: str, incarnation: int, told_us: int) -> None:
        offset_us = told_us - self.clock.own.now_us()
        self._offsets[name] = offset_us
        if abs(offset_us) > CLOCKS_DIFFER_US:
            log.warning("clocks_differ", extra={"peer": name, "ahead_s": offset_us / 1e6})
        agreed_us = agreed_offset_us(self._offsets[n] for n in sorted(self._offsets))
        if agreed_us != self.clock.offset_us:
            self.clock.offset_us = agreed_us
            log.warning("clock_corrected", extra={"by_s": agreed_us / 1e6})
        self.cordons.record_greeting(name, incarnation)

    def answered(self, name: str) -> None:
        self.cordons.record_answer(name)

    def lost(self, name: str) -> None:
        self.cordons.record_lost_link(name)

    def _outdated(self, incarnation: int) -> None:
        """Peers know a later start of our name: this host's clock was set back, or the name is used twice."""
        if time.monotonic() - self._renewed_s < RENEW_S:
            log.error("name_used_twice", extra={"as": self.name, "incarnation": incarnation})
            return
        self._renewed_s = time.monotonic()
        log.warning("later_start_known", extra={"as": self.name, "incarnation": incarnation})
        self.cordons.renew(incarnation + 1)
        self.peers.tell(self._configured(self.options))

    # Operators

    async def call(self, method: str, cordon_id: str, body: bytes, wait: str | None) -> Answer:
        """An operator's call about cordons."""
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.cordons.tell(CordonCall(method, cordon_id, body, wait, reply))
        return await reply

    def status(self) -> Answer:
        """How this scheduler and its copy stand."""
        told = msgspec.to_builtins(self.cordons.status()) | {
            "links": sorted(self.peers.links),
            "refused": self.peers.refusals,
            "clock_corrected_ms": self.clock.offset_us / 1000,
        }
        return Answer(200, msgspec.json.encode({k: v for k, v in told.items() if v is not None}) + b"\n")

    def confirm_complete(self) -> Answer:
        """An operator says that nothing is in force that this scheduler does not know."""
        self.cordons.confirm_complete("an operator said so")
        return Answer(200, b"it counts for majorities\n")

    def metrics(self) -> bytes:
        counts = self.peers.counts
        lines = [f"links:{len(self.peers.links)}|g", *(f"{name}:{n}|c" for name, n in counts.items())]
        return "".join(f"{PREFIX}.mesh.{line}\n" for line in [*lines, *self.cordons.metrics()]).encode()

    def reconfigure(self, options: MeshOptions) -> None:
        """Go by other peers from now on. What else has changed waits for a restart."""
        fixed = ("installation", "name", "listen", "bound_ms", "on_lost", "folder")
        waiting = [key for key in fixed if getattr(options, key) != getattr(self.options, key)]
        if waiting or _listen(options, self.name) != self.peers.listen:
            log.warning("reload_needs_restart", extra={"keys": ",".join(f"mesh.{k}" for k in waiting)})
            return
        names = _names(options, self.name)
        try:
            self.freshness.reconfigure(names)
        except MeshError as e:
            log.error("reload_failed", extra={"key": "mesh.peers", "why": str(e)})
            return
        self.options = options
        self._offsets = {name: us for name, us in self._offsets.items() if name in names}
        self.cordons.reconfigure(options, names)
        self.peers.tell(self._configured(options))
        log.info("peers_reconfigured", extra={"schedulers": len(names)})

    def _configured(self, options: MeshOptions) -> Configure:
        names = _names(options, self.name)
        identity = Identity(options.installation, self.name, self.replica.clock.incarnation, names)
        others = options.others(self.name)
        return Configure(identity, others, options.partners, options.interval_us)

    async def close(self) -> None:
        self.cordons.leave()
        await self.rest.save(self.replica.head, self._owner(), list(self._lasting()))
        await asyncio.sleep(LEAVE_S)
        self.cordons.stop()
        await self.peers.close()


def _kinds() -> Iterable[Kind[Any]]:
    return (
        cordon_kind(),
        acknowledgement_kind(),
        DRAIN_KIND,
        EVIDENCE_KIND,
        request_kind(MAX_RETRY_WINDOW_US),
    )


def _names(options: MeshOptions, own: str) -> tuple[str, ...]:
    return tuple(sorted({*options.peers, own}))


def _listen(options: MeshOptions, own: str) -> Address:
    text = options.listen or options.peers.get(own)
    if text is None:
        raise ConfigError("mesh.listen", f"must be set where mesh.peers does not name {own}")
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))
