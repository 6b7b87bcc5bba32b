"""A scheduler as an observer of the control group: wires the `Observer` into the scheduler.

Owns the observer, its driver, and the cordons of this process; the scheduler's dispatcher asks it before each
send. Imported only where the operators' file names voters.
"""

import asyncio
import logging
import random

from robinhill.config import Config
from robinhill.config_types import Address, ConfigError
from robinhill.control.actions import Action, Apply, LeaseChanged, Progressed
from robinhill.control.observer import Observer
from robinhill.control.operator_options import options_of_observer, voter_address
from robinhill.control.options import ControlOptions
from robinhill.control.record_kinds import kind_names, kinds
from robinhill.cordon.propagation import Mode
from robinhill.cordon.value import NAME as CORDON
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.snapshot import SnapshotHeader
from robinhill.net.actor import Supervisor
from robinhill.net.clients.inbound import Inbound
from robinhill.net.clock import Clock, mono_us
from robinhill.net.control_group.driver import Driver, Run
from robinhill.net.control_group.operator_support import (
    call_cordons,
    figure_lines,
    needs_restart,
    traffic_figures,
)
from robinhill.net.control_group.recovery import recover
from robinhill.net.cordons.group_member import GroupCordons
from robinhill.net.cordons.operator_calls import covers
from robinhill.net.cordons.replies import make_status_answer
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.dispatcher.messages import CordonsChanged, SendLeaseChanged
from robinhill.net.peers.rejections import log_rejected
from robinhill.protocol import Answer, ListedEndpoint

log = logging.getLogger(__name__)

RESTART_KEYS = ("installation", "name", "bound_ms", "on_lost", "on_lost_by_kind", "region", "zone", "folder")
"""Keys of `mesh` that a reload does not change."""

MIN_EXPIRY_WAIT_S = 0.005
"""Least time until the cordons are evaluated again as one of them expires."""

NO_CONFIRMING = Answer(409, b"a scheduler that observes does not count for majorities: vouch at a voter\n")


class ObservingScheduler:
    """One scheduler's membership in the control group."""

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
        # A file is left by a scheduler that shared with peers; as an observer it saves no records.
        folder = config.folder if mesh.folder else None
        recovery = recover(folder, mesh.installation, self.name, clock.now_us(), kind_names(kinds()))
        self.snapshot_store = recovery.store
        self.incarnation = recovery.incarnation
        self.replica = recovery.replica
        # Decisions never draw from this: it spreads connecting in time.
        rng = random.Random(f"{self.name} {self.incarnation}")
        self.observer = Observer(self.options, self.incarnation, self.replica, rng, mono_us())
        self.driver = Driver(
            self.observer, supervisor, clock, self._address_of, self._act, self._after_observer_call
        )
        self.cordons = self._new_cordons()
        self.serving = False
        self._stopped = False
        self._requires_lease = self.options.mode_of(CORDON) is Mode.HOLD
        self._started_us = mono_us()
        self._reported_voters: tuple[str | None, str | None] = (None, None)
        self._catch_up_timer: asyncio.TimerHandle | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._attach()

    def _new_cordons(self) -> GroupCordons:
        cordons = GroupCordons(
            self.options,
            self.incarnation,
            self.replica,
            self.clock,
            self.observer,
            self.driver.perform,
            self.dispatcher.listed,
        )
        cordons.abandon = self.observer.abandon
        return cordons

    def _attach(self) -> None:
        """Let the dispatcher ask before each send, and clients wait until the replica is synchronized."""
        self.inbound.catching_up = True
        self.dispatcher.use_cordons(
            self.may_send,
            lambda: self.driver.tell(Run(self._apply_cordons)),
            self.lease if self._requires_lease else None,
        )
        mesh = self.mesh
        extra = {"as": self.name, "installation": mesh.installation, "voters": len(self.options.voters)}
        log.info("observer_started", extra=extra | {"bound_ms": mesh.bound_ms, "on_lost": mesh.on_lost})
        for warning in self.options.warnings:
            log.warning("voters_warning", extra={"why": warning})

    def start(self) -> None:
        """Connect to voters; clients are served once synchronized with one, or `catch_up_ms` later."""
        self._started_us = mono_us()
        self._save_incarnation()
        self.driver.start()
        self._apply_cordons()
        loop = asyncio.get_running_loop()
        self._catch_up_timer = loop.call_later(self.mesh.catch_up_ms / 1000, self._serve)

    async def close(self) -> None:
        """Nothing is sent from here any more: leave the voters, and end."""
        for timer in (self._catch_up_timer, self._expiry_timer):
            if timer:
                timer.cancel()
        self.cordons.stop()
        self._stopped = True
        self.driver.perform(self.observer.goodbye())
        await self.driver.close()

    # Before a send

    def may_send(self, worker: ListedEndpoint) -> bool:
        """Whether a worker may be sent a job at this moment; for the last check before a write."""
        if self._stopped or covers(self.cordons.targets, worker):
            return False
        return not self._requires_lease or self.lease()

    def lease(self) -> bool:
        """Whether a majority's state not older than the bound is known."""
        return self.observer.has_lease(mono_us())

    # Operators

    async def call(self, method: str, cordon_id: str, body: bytes, wait: str | None) -> Answer:
        """An operator's call about cordons."""
        return await call_cordons(self.driver, self.cordons, method, cordon_id, body, wait)

    def status(self) -> Answer:
        """The state of this replica, for operators and for whoever compares replicas."""
        status = self.observer.status(CORDON, mono_us())
        synchronized = self.observer.synchronized
        return make_status_answer(
            {
                "name": self.name,
                "role": "observer",
                "incarnation": self.incarnation,
                "digest": self.replica.digest(self.clock.now_us()).hex() if synchronized else None,
                "voter": self.observer.voter,
                "spare_voter": self.observer.spare_voter,
                "in_step": synchronized,
                "on_lost": self.mesh.on_lost,
                "lease": not status.stale,
                "may_act": status.may_act,
                "majority_known_ms_ago": None if status.age_us is None else status.age_us / 1000,
            }
        )

    def confirm_complete(self) -> Answer:
        """Rejects an operator's confirmation: only voters count for majorities."""
        return NO_CONFIRMING

    def metrics(self) -> bytes:
        """Figures, one a line."""
        status = self.observer.status(CORDON, mono_us())
        figures = [
            f"links:{len(self.driver.links)}|g",
            f"in_step:{int(self.observer.synchronized)}|g",
            f"lease:{int(not status.stale)}|g",
            f"majority_age_ms:{-1 if status.age_us is None else status.age_us // 1000}|g",
            f"moves:{self.observer.primary_changes}|c",
            f"cordons:{len(self.cordons.index.active())}|g",
            f"cordoned_workers:{len(self.cordons.index.cordoned_workers())}|g",
            f"changes_under_way:{self.cordons.changes.pending_count()}|g",
            *traffic_figures(self.driver.traffic),
            f"bytes_out:{self.driver.traffic.bytes_out}|c",
        ]
        return figure_lines(figures)

    def reconfigure(self, mesh: MeshOptions) -> None:
        """Use other voters from now on. Other changes wait for a restart."""
        if needs_restart(self.mesh, mesh, RESTART_KEYS):
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

    # Actions of the observer

    def _act(self, action: Action) -> None:
        match action:
            case Apply(records=records, rejected=rejected):
                log_rejected(rejected)
                if any(record.kind == CORDON for record in records):
                    self._apply_cordons()
            case LeaseChanged(valid=valid, age_us=age_us):
                self._lease_changed(valid, age_us)
            case Progressed():
                self.cordons.record_progress(action)

    def _apply_cordons(self) -> None:
        """Apply the cordons as they are now: at once before each write, and in the dispatcher.

        `may_send` uses the new targets from this moment on; so what the observer confirms next is true,
        whenever the dispatcher handles its mailbox.
        """
        targets = self.cordons.update()
        self.dispatcher.tell(CordonsChanged(lambda worker: covers(targets, worker), lambda: None))
        if self._expiry_timer:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        if self.cordons.next_end_us:
            wait_s = max(MIN_EXPIRY_WAIT_S, (self.cordons.next_end_us - self.clock.now_us()) / 1e6)
            loop = asyncio.get_running_loop()
            self._expiry_timer = loop.call_later(wait_s, self.driver.tell, Run(self._apply_cordons))

    def _lease_changed(self, valid: bool, age_us: int | None) -> None:
        if self._requires_lease:
            self.dispatcher.tell(SendLeaseChanged())
            return
        extra = {"age_ms": None if age_us is None else age_us // 1000, "cordons": len(self.cordons.targets)}
        if valid:
            log.info("control_lease_acquired", extra=extra)
        else:
            log.warning("control_lease_expired", extra=extra)

    def _after_observer_call(self) -> None:
        if self.observer.synchronized and not self.serving:
            self._serve()
        voters = self.observer.voter, self.observer.spare_voter
        if voters != self._reported_voters:
            self._reported_voters = voters
            log.info("voters_in_use", extra={"voter": voters[0], "spare": voters[1]})

    def _serve(self) -> None:
        """Serve clients: the replica is synchronized, or the time for that is over."""
        if self.serving:
            return
        self.serving = True
        self.inbound.catching_up = False
        seconds = (mono_us() - self._started_us) / 1e6
        if self.observer.synchronized:
            log.info("caught_up", extra={"seconds": seconds, "voter": self.observer.voter})
        else:
            log.warning("catch_up_timed_out", extra={"seconds": seconds, "voter": "none"})

    def _save_incarnation(self) -> None:
        """The next process must have a later incarnation also where the clock is set back meanwhile."""
        if not self.snapshot_store.folder:
            return
        header = SnapshotHeader(self.mesh.installation, self.name, self.incarnation, self.clock.now_us())
        try:
            self.snapshot_store.write(header, ())
        except OSError as e:
            log.error("state_not_saved", extra={"file": "mesh.state", "why": str(e)})

    def _address_of(self, voter: str) -> Address:
        return voter_address(self.options, voter)
