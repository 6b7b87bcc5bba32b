"""A scheduler's part in the control group, wired into the scheduler: it observes.

Imported only where the operators' file names voters.
"""

import asyncio
import logging
import random

import msgspec

from robinhill.config import Config
from robinhill.config_types import Address, ConfigError
from robinhill.control.actions import Action, Apply, LeaseChanged, Progressed
from robinhill.control.observer import Observer
from robinhill.control.operator_options import address_of, options_of_observer
from robinhill.control.options import ControlOptions
from robinhill.control.record_kinds import kinds, names_of
from robinhill.cordon.propagation import Mode
from robinhill.cordon.value import NAME as CORDON
from robinhill.mesh.clocks import next_incarnation
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica
from robinhill.mesh.snapshot import SnapshotHeader
from robinhill.net.actor import Supervisor
from robinhill.net.clients.inbound import Inbound
from robinhill.net.clock import Clock, mono_us
from robinhill.net.control_group.driver import Driver, Run
from robinhill.net.control_group.recovery import log_rejected, restore_records
from robinhill.net.cordons.group_member import GroupCordons
from robinhill.net.cordons.operator_calls import CordonCall, covers
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.dispatcher.messages import CordonsChanged, SendLeaseChanged
from robinhill.net.metrics import PREFIX
from robinhill.net.peers.snapshot_store import SnapshotStore
from robinhill.protocol import Answer, ListedEndpoint

log = logging.getLogger(__name__)

RESTART_KEYS = ("installation", "name", "bound_ms", "on_lost", "on_lost_by_kind", "region", "zone", "folder")
"""Keys of `mesh` that a reload does not change."""

NO_VOUCHING = Answer(409, b"a scheduler that observes does not count for majorities: vouch at a voter\n")


class ObservingScheduler:
    """Owns the observer, its links and what it tells the decider."""

    def __init__(
        self, config: Config, supervisor: Supervisor, clock: Clock, dispatcher: Dispatcher, inbound: Inbound
    ) -> None:
        assert config.operator
        mesh = config.operator.mesh
        self.mesh = mesh
        self.name = mesh.name or config.name
        self.options = options_of_observer(mesh, self.name)
        self.clock = clock
        self.dispatcher = dispatcher
        self.inbound = inbound
        self.snapshot_store = SnapshotStore(
            config.folder if mesh.folder else None, mesh.installation, self.name
        )
        header, records = self.snapshot_store.load()
        self.incarnation = next_incarnation(clock.now_us(), header.incarnation if header else 0)
        self.replica = Replica(self.name, self.incarnation, kinds())
        if header:
            self._restore_records(header, records)
        # Decisions never draw from this: it spreads connecting in time.
        rng = random.Random(f"{self.name} {self.incarnation}")
        self.observer = Observer(self.options, self.incarnation, self.replica, rng, mono_us())
        self.driver = Driver(
            self.observer, supervisor, clock, self._address_of, self._act, self._after_observer_call
        )
        self.cordons = GroupCordons(
            self.options,
            self.incarnation,
            self.replica,
            clock,
            self.observer,
            self.driver.perform,
            dispatcher.listed,
        )
        self.cordons.abandon = self.observer.abandon
        self.serving = False
        self._stopped = False  # the voters were told that nothing more is sent from here
        self._requires_lease = self.options.mode_of(CORDON) is Mode.HOLD
        self._began_us = mono_us()
        self._reported_voters: tuple[str | None, str | None] = (None, None)
        self._catch_up_timer: asyncio.TimerHandle | None = None
        self._end_timer: asyncio.TimerHandle | None = None
        inbound.catching_up = True
        dispatcher.use_cordons(
            self.may_send,
            lambda: self.driver.tell(Run(self._update)),
            self.lease if self._requires_lease else None,
        )
        extra = {"as": self.name, "installation": mesh.installation, "voters": len(self.options.voters)}
        log.info("observer_started", extra=extra | {"bound_ms": mesh.bound_ms, "on_lost": mesh.on_lost})
        for warning in self.options.warnings:
            log.warning("voters_warning", extra={"why": warning})

    def start(self) -> None:
        """Connect to voters; the inbound side is ready once in step with one, or `catch_up_ms` later."""
        self._began_us = mono_us()
        self._save_incarnation()
        self.driver.start()
        self._update()
        loop = asyncio.get_running_loop()
        self._catch_up_timer = loop.call_later(self.mesh.catch_up_ms / 1000, self._serve)

    async def close(self) -> None:
        """Nothing more is sent from here: say so to the voters, and end."""
        for timer in (self._catch_up_timer, self._end_timer):
            if timer:
                timer.cancel()
        self.cordons.stop()
        self._stopped = True
        self.driver.perform(self.observer.goodbye())
        await self.driver.close()

    # Before a send

    def may_send(self, worker: ListedEndpoint) -> bool:
        """Whether a worker may get something new at this moment; for the last check before a write."""
        if self._stopped or covers(self.cordons.targets, worker):
            return False
        return not self._requires_lease or self.lease()

    def lease(self) -> bool:
        """Whether a majority of voters is known as of no longer ago than the bound."""
        return self.observer.has_lease(mono_us())

    # Operators

    async def call(self, method: str, cordon_id: str, body: bytes, wait: str | None) -> Answer:
        """An operator's call about cordons."""
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        call = CordonCall(method, cordon_id, body, wait, reply)
        self.driver.tell(Run(lambda: self.cordons.call(call)))
        return await reply

    def status(self) -> Answer:
        """How this copy stands, for operators and for whoever compares copies."""
        now = mono_us()
        status = self.observer.status(CORDON, now)
        in_step = self.observer.synchronized
        fields = {
            "name": self.name,
            "role": "observer",
            "incarnation": self.incarnation,
            "digest": self.replica.digest(self.clock.now_us()).hex() if in_step else None,
            "voter": self.observer.voter,
            "spare_voter": self.observer.spare_voter,
            "in_step": in_step,
            "on_lost": self.mesh.on_lost,
            "lease": not status.stale,
            "may_act": status.may_act,
            "majority_known_ms_ago": None if status.age_us is None else status.age_us / 1000,
        }
        return Answer(200, msgspec.json.encode({k: v for k, v in fields.items() if v is not None}) + b"\n")

    def vouch(self) -> Answer:
        """Only voters can be vouched for."""
        return NO_VOUCHING

    def metrics(self) -> bytes:
        """Lines for operators."""
        status = self.observer.status(CORDON, mono_us())
        traffic = self.driver.traffic
        lines = [
            f"links:{len(self.driver.links)}|g",
            f"in_step:{int(self.observer.synchronized)}|g",
            f"lease:{int(not status.stale)}|g",
            f"majority_age_ms:{-1 if status.age_us is None else status.age_us // 1000}|g",
            f"moves:{self.observer.primary_changes}|c",
            f"cordons:{len(self.cordons.index.active())}|g",
            f"cordoned_workers:{len(self.cordons.index.cordoned_workers())}|g",
            f"changes_under_way:{self.cordons.changes.pending_count()}|g",
            f"opened:{traffic.opened}|c",
            f"lost:{traffic.lost}|c",
            f"messages_in:{traffic.messages_in}|c",
            f"messages_out:{traffic.messages_out}|c",
            f"bytes_in:{traffic.bytes_in}|c",
            f"bytes_out:{traffic.bytes_out}|c",
        ]
        return "".join(f"{PREFIX}.control.{line}\n" for line in lines).encode()

    def reconfigure(self, mesh: MeshOptions) -> None:
        """Go by other voters from now on. What else has changed waits for a restart."""
        restart_keys = [key for key in RESTART_KEYS if getattr(mesh, key) != getattr(self.mesh, key)]
        if restart_keys:
            log.warning(
                "reload_needs_restart", extra={"keys": ",".join(f"mesh.{key}" for key in restart_keys)}
            )
            return
        try:
            options = options_of_observer(mesh, self.name)
        except ConfigError as e:
            log.error("reload_failed", extra={"key": e.key, "why": e.what})
            return
        self.mesh = mesh
        self.driver.tell(Run(lambda: self._change_voters(options)))

    def _change_voters(self, options: ControlOptions) -> None:
        self.options = self.cordons.options = options
        self.driver.perform(self.observer.change_voters(self.clock.now_us(), mono_us(), options))
        log.info("voters_reconfigured", extra={"voters": len(options.voters)})

    # What the observer asks for

    def _act(self, action: Action) -> None:
        match action:
            case Apply(records=records, rejected=rejected):
                log_rejected(rejected)
                if any(record.kind == CORDON for record in records):
                    self._update()
            case LeaseChanged(held=held, age_us=age_us):
                self._lease_changed(held, age_us)
            case Progressed():
                self.cordons.record_progress(action)

    def _update(self) -> None:
        """Go by the cordons as they are now: at once before each write, and in the decider.

        A send asks `may_send`, which goes by the targets from this moment on; so what the observer confirms
        next is true, whenever the decider comes to its mailbox.
        """
        targets = self.cordons.update()
        self.dispatcher.tell(CordonsChanged(lambda d: covers(targets, d), lambda: None))
        if self._end_timer:
            self._end_timer.cancel()
            self._end_timer = None
        if self.cordons.next_end_us:
            wait_s = max(0.005, (self.cordons.next_end_us - self.clock.now_us()) / 1e6)
            loop = asyncio.get_running_loop()
            self._end_timer = loop.call_later(wait_s, self.driver.tell, Run(self._update))

    def _lease_changed(self, held: bool, age_us: int | None) -> None:
        if self._requires_lease:
            self.dispatcher.tell(SendLeaseChanged())
            return
        extra = {"age_ms": None if age_us is None else age_us // 1000, "cordons": len(self.cordons.targets)}
        if held:
            log.info("control_lease_acquired", extra=extra)
        else:
            log.warning("control_lease_expired", extra=extra)

    def _after_observer_call(self) -> None:
        """After each call of the observer."""
        if self.observer.synchronized and not self.serving:
            self._serve()
        voters = self.observer.voter, self.observer.spare_voter
        if voters != self._reported_voters:
            self._reported_voters = voters
            log.info("voters_in_use", extra={"voter": voters[0], "spare": voters[1]})

    def _serve(self) -> None:
        """Take clients: what a voter knew is here, or time is up."""
        if self.serving:
            return
        self.serving = True
        self.inbound.catching_up = False
        seconds = (mono_us() - self._began_us) / 1e6
        if self.observer.synchronized:
            log.info("caught_up", extra={"seconds": seconds, "voter": self.observer.voter})
        else:
            log.warning("catch_up_timed_out", extra={"seconds": seconds, "voter": "none"})

    # Disk

    def _restore_records(self, header: SnapshotHeader, records: list[Record]) -> None:
        """Cordons that this scheduler held when it shared with peers; as an observer it leaves none."""
        known = names_of(kinds())
        restore_records(self.replica, header, [r for r in records if r.kind in known], self.clock.now_us())

    def _save_incarnation(self) -> None:
        """A clock that was set back must not make the next start look like an earlier one."""
        if not self.snapshot_store.folder:
            return
        header = SnapshotHeader(self.mesh.installation, self.name, self.incarnation, self.clock.now_us())
        try:
            self.snapshot_store.write(header, ())
        except OSError as e:
            log.error("state_not_saved", extra={"file": "mesh.state", "why": str(e)})

    def _address_of(self, voter: str) -> Address:
        return address_of(self.options, voter)
