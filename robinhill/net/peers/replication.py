"""Replication between schedulers: creates and connects the replica, cordons, peer links and snapshots.

Imported only if the operators' file configures peers.
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
from robinhill.mesh.clocks import next_incarnation
from robinhill.mesh.errors import MeshError
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.record_kinds import DRAIN_KIND, EVIDENCE_KIND, MAX_RETRY_WINDOW_US, request_kind
from robinhill.mesh.records import Kind, Record
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
from robinhill.net.cordons.replies import make_status_answer
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.metrics import METRIC_PREFIX
from robinhill.net.peers.agreed_clock import AgreedClock
from robinhill.net.peers.peer_connections import PeerConnections
from robinhill.net.peers.peer_messages import Configure
from robinhill.net.peers.snapshot_restore import restore_records
from robinhill.net.peers.snapshot_store import SnapshotStore
from robinhill.protocol import Answer

log = logging.getLogger(__name__)

COLLECT_INTERVAL_S = 1.0  # between two removals of expired records
# The wait before the links are closed, in which partners receive the acknowledgement that this scheduler
# sends no more jobs. Partners are the peers to which it has links.
FINAL_ACKNOWLEDGEMENT_WAIT_S = 0.1
# The shortest time between two renewals of the incarnation. Without it, two processes with the same name
# would raise their incarnations in turn, endlessly.
RENEW_INTERVAL_S = 60.0
# Options that need a restart; a reload does not change them.
RESTART_OPTIONS = (
    "installation",
    "name",
    "listen",
    "bound_ms",
    "on_lost",
    "folder",
)


class Replication:
    """Owns the mesh components of this process, and handles the events of its peer connections."""

    def __init__(
        self, config: Config, supervisor: Supervisor, clock: Clock, dispatcher: Dispatcher, inbound: Inbound
    ) -> None:
        assert config.operator
        self.options = options = config.operator.mesh
        self.supervisor, self.inbound = supervisor, inbound
        self.clock = AgreedClock(clock)
        self.name = options.name or config.name
        names = _scheduler_names(options, self.name)
        listen = _listen_address(options, self.name)
        folder = config.folder if options.folder else None
        self.snapshot_store = SnapshotStore(folder, options.installation, self.name)
        self.replica = self._restored_replica()
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
        self.peers = PeerConnections(
            listen,
            self._peer_configuration(options),
            supervisor,
            self.clock,
            self.replica,
            self.freshness,
            self,
            random.Random(f"{self.name} {self.replica.clock.incarnation}"),  # for the dialler's backoff only
        )
        self._renewed_s = -RENEW_INTERVAL_S
        self._connect_components(dispatcher)
        log.info(
            "replication_started",
            extra={
                "as": self.name,
                "installation": options.installation,
                "schedulers": len(names),
                "bound_ms": options.bound_ms,
                "on_lost": options.on_lost,
            },
        )

    def _connect_components(self, dispatcher: Dispatcher) -> None:
        """Connect cordons, peers, dispatcher and inbound requests by their callbacks."""
        self.peers.alive = self.cordons.reachable
        self.cordons.on_change = self.peers.wake
        self.cordons.on_serving = self._start_serving
        self.cordons.on_newer_incarnation = self._renew_incarnation
        self.inbound.catching_up = True
        dispatcher.use_cordons(
            self.cordons.may_send,
            lambda: self.cordons.tell(WorkerListChanged()),
            self.cordons.holds_lease if self.options.on_lost == "hold" else None,
        )

    def _restored_replica(self) -> Replica:
        """Create a replica with the records that this scheduler's last process saved.

        Its incarnation is larger than that of the last process.
        """
        header, records = self.snapshot_store.load()
        incarnation = next_incarnation(self.clock.own.now_us(), header.incarnation if header else 0)
        replica = Replica(self.name, incarnation, _record_kinds())
        if header is not None:
            restored = restore_records(replica, header, records, self.clock.now_us())
            extra = {"records": len(records), "age_s": restored.age_us / 1e6}
            log.info("snapshot_restored", extra=extra)
        return replica

    def start(self) -> None:
        """Start replicating, saving snapshots, and removing expired records."""
        self.cordons.start()
        self.peers.start()
        self.supervisor.spawn(self._collect_expired(), "collect")
        saving = self.snapshot_store.save_periodically(
            lambda: self.replica.head, self._snapshot_header, self._persistent_records
        )
        self.supervisor.spawn(saving, "keep")

    async def close(self) -> None:
        """Notify peers that this scheduler sends no more jobs, save a snapshot, then close all links."""
        self.cordons.leave()
        await self.snapshot_store.save(
            self.replica.head, self._snapshot_header(), list(self._persistent_records())
        )
        await asyncio.sleep(FINAL_ACKNOWLEDGEMENT_WAIT_S)
        self.cordons.stop()
        await self.peers.close()

    def _snapshot_header(self) -> SnapshotHeader:
        incarnation = self.replica.clock.incarnation
        return SnapshotHeader(self.options.installation, self.name, incarnation, self.clock.now_us())

    def _persistent_records(self) -> Iterable[Record]:
        return self.replica.snapshot(persistent_only=True)

    async def _collect_expired(self) -> None:
        while True:
            await asyncio.sleep(COLLECT_INTERVAL_S)
            self.replica.collect(self.clock.now_us())

    def _start_serving(self) -> None:
        self.inbound.catching_up = False

    # Events of peer connections

    def records_received(self, received: RecordsReceived) -> None:
        """Handle the records that a peer has pushed, and that the replica has merged or rejected."""
        self.cordons.receive_records(received)

    def hello_received(self, name: str, incarnation: int, peer_us: int) -> None:
        """Handle a peer's hello on a new link; ``peer_us``: the peer's Unix time in the hello."""
        self.clock.observe(name, peer_us)
        self.cordons.record_link_up(name, incarnation)

    def ping_answered(self, name: str) -> None:
        """Handle a peer's answer to a ping."""
        self.cordons.record_answer(name)

    def link_lost(self, name: str) -> None:
        """Handle the loss of the link to a peer."""
        self.cordons.record_link_lost(name)

    def _renew_incarnation(self, incarnation: int) -> None:
        """Switch to a later incarnation than ``incarnation``, which peers know for this scheduler's name.

        Peers know a later incarnation if this host's clock was set back, or if another scheduler has the same
        name. Within `RENEW_INTERVAL_S` of the last renewal, the later incarnation is only logged.
        """
        if time.monotonic() - self._renewed_s < RENEW_INTERVAL_S:
            log.error("duplicate_name", extra={"as": self.name, "incarnation": incarnation})
            return
        self._renewed_s = time.monotonic()
        log.warning("newer_incarnation_known", extra={"as": self.name, "incarnation": incarnation})
        self.cordons.adopt_incarnation(incarnation + 1)
        self.peers.tell(self._peer_configuration(self.options))

    # Operators

    async def call(self, method: str, cordon_id: str, body: bytes, wait: str | None) -> Answer:
        """Carry out an operator's call about cordons and return its answer."""
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.cordons.tell(CordonCall(method, cordon_id, body, wait, reply))
        return await reply

    def status(self) -> Answer:
        """Return the status of this scheduler's replication as JSON."""
        own = {
            "links": sorted(self.peers.links),
            "refused": self.peers.rejections,
            "clock_corrected_ms": self.clock.offset_us / 1000,
        }
        return make_status_answer(msgspec.to_builtins(self.cordons.status()) | own)

    def confirm_complete(self) -> Answer:
        """Count this scheduler for majorities: an operator confirms that it knows all cordons in force."""
        self.cordons.confirm_complete("confirmed by an operator")
        return Answer(200, b"this scheduler counts for majorities now\n")

    def metrics(self) -> bytes:
        """Metrics of links and cordons, one a line."""
        counts = self.peers.counts
        lines = [f"links:{len(self.peers.links)}|g", *(f"{name}:{n}|c" for name, n in counts.items())]
        return "".join(
            f"{METRIC_PREFIX}.mesh.{line}\n" for line in [*lines, *self.cordons.metrics()]
        ).encode()

    def reconfigure(self, options: MeshOptions) -> None:
        """Use a new list of peers.

        If an option that needs a restart has changed, or the list is rejected, nothing changes and the reason
        is logged.
        """
        changed = [key for key in RESTART_OPTIONS if getattr(options, key) != getattr(self.options, key)]
        if changed or _listen_address(options, self.name) != self.peers.listen:
            log.warning("reload_needs_restart", extra={"keys": ",".join(f"mesh.{k}" for k in changed)})
            return
        names = _scheduler_names(options, self.name)
        try:
            self.freshness.reconfigure(names)
        except MeshError as e:
            log.error("reload_failed", extra={"key": "mesh.peers", "why": str(e)})
            return
        self.options = options
        self.clock.retain(names)
        self.cordons.reconfigure(options, names)
        self.peers.tell(self._peer_configuration(options))
        log.info("peers_reconfigured", extra={"schedulers": len(names)})

    def _peer_configuration(self, options: MeshOptions) -> Configure:
        names = _scheduler_names(options, self.name)
        identity = Identity(options.installation, self.name, self.replica.clock.incarnation, names)
        others = options.others(self.name)
        return Configure(identity, others, options.partners, options.interval_us)


def _record_kinds() -> Iterable[Kind[Any]]:
    return (
        cordon_kind(),
        acknowledgement_kind(),
        DRAIN_KIND,
        EVIDENCE_KIND,
        request_kind(MAX_RETRY_WINDOW_US),
    )


def _scheduler_names(options: MeshOptions, own_name: str) -> tuple[str, ...]:
    return tuple(sorted({*options.peers, own_name}))


def _listen_address(options: MeshOptions, own_name: str) -> Address:
    text = options.listen or options.peers.get(own_name)
    if text is None:
        raise ConfigError("mesh.listen", f"must be set, as mesh.peers has no address of {own_name}")
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))
