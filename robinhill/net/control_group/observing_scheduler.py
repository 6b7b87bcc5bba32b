"""A scheduler as an observer of the control group: connects the `Observer` to the scheduler.

`ObservingScheduler` owns the observer, its driver, and the cordons of this process. The dispatcher calls its
`may_send` before each send. Imported only if the operators' file configures voters.
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
    metric_lines,
    needs_restart,
    traffic_metrics,
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
"""Keys of the section `mesh` of the operators' file that need a restart; a reload does not change them."""

MIN_EXPIRY_WAIT_S = 0.005
"""Minimum delay of the timer that evaluates the cordons again when the next of them expires."""

CONFIRMATION_REJECTED = Answer(
    409, b"an observing scheduler does not count for majorities: confirm at a voter (PUT /ops/mesh/vouch)\n"
)


class ObservingScheduler:
    """Connects one scheduler to the control group's voters; checks cordons and the lease before each send."""

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
        # A snapshot may exist from an earlier configuration with peers. An observer itself saves no records.
        folder = config.folder if mesh.folder else None
        recovery = recover(folder, mesh.installation, self.name, clock.now_us(), kind_names(kinds()))
        self.snapshot_store = recovery.snapshot_store
        self.incarnation = recovery.incarnation
        self.replica = recovery.replica
        # Used only for the jitter of reconnections and replica comparisons, never for scheduling decisions.
        rng = random.Random(f"{self.name} {self.incarnation}")
        self.observer = Observer(self.options, self.incarnation, self.replica, rng, mono_us())
        self.driver = Driver(
            self.observer,
            supervisor,
            clock,
            self._address_of,
            self._perform_action,
            self._after_observer_call,
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
        """Make the dispatcher check cordons before each send, and readiness checks fail until catch-up."""
        self.inbound.catching_up = True
        self.dispatcher.use_cordons(
            self.may_send,
            lambda: self.driver.tell(Run(self._apply_cordons)),
            self.has_lease if self._requires_lease else None,
        )
        mesh = self.mesh
        extra = {"as": self.name, "installation": mesh.installation, "voters": len(self.options.voters)}
        log.info("observer_started", extra=extra | {"bound_ms": mesh.bound_ms, "on_lost": mesh.on_lost})
        for warning in self.options.warnings:
            log.warning("voters_warning", extra={"why": warning})

    def start(self) -> None:
        """Connect to voters.

        Clients are served once the replica is synchronized with a voter, at the latest after `catch_up_ms`.
        """
        self._started_us = mono_us()
        self._save_incarnation()
        self.driver.start()
        self._apply_cordons()
        loop = asyncio.get_running_loop()
        self._catch_up_timer = loop.call_later(self.mesh.catch_up_ms / 1000, self._start_serving)

    async def close(self) -> None:
        """Stop sending jobs, notify the voters that this scheduler leaves, and close all connections."""
        for timer in (self._catch_up_timer, self._expiry_timer):
            if timer:
                timer.cancel()
        self.cordons.stop()
        self._stopped = True
        self.driver.perform(self.observer.goodbye())
        await self.driver.close()

    # Checks before a send

    def may_send(self, worker: ListedEndpoint) -> bool:
        """Whether a job may be sent to a worker now; called immediately before a job's request is written.

        A scheduler in `hold` mode sends nothing without a lease.
        """
        if self._stopped or covers(self.cordons.targets, worker):
            return False
        return not self._requires_lease or self.has_lease()

    def has_lease(self) -> bool:
        """Whether the known state of a majority of voters is not older than the bound."""
        return self.observer.has_lease(mono_us())

    # Operators

    async def call(self, method: str, cordon_id: str, body: bytes, wait: str | None) -> Answer:
        """Carry out an operator's call about cordons and return its answer."""
        return await call_cordons(self.driver, self.cordons, method, cordon_id, body, wait)

    def status(self) -> Answer:
        """Return this scheduler's voters, lease and replica as JSON.

        Replicas can be compared by the digest, which is null until the replica is synchronized.
        """
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
        """Reject an operator's confirmation, as only voters count for majorities."""
        return CONFIRMATION_REJECTED

    def metrics(self) -> bytes:
        """Metrics of connections, lease and cordons, one a line."""
        status = self.observer.status(CORDON, mono_us())
        lines = [
            f"links:{len(self.driver.links)}|g",
            f"in_step:{int(self.observer.synchronized)}|g",
            f"lease:{int(not status.stale)}|g",
            f"majority_age_ms:{-1 if status.age_us is None else status.age_us // 1000}|g",
            f"moves:{self.observer.primary_changes}|c",
            f"cordons:{len(self.cordons.index.active())}|g",
            f"cordoned_workers:{len(self.cordons.index.cordoned_workers())}|g",
            f"changes_under_way:{self.cordons.changes.pending_count()}|g",
            *traffic_metrics(self.driver.traffic),
            f"bytes_out:{self.driver.traffic.bytes_out}|c",
        ]
        return metric_lines(lines)

    def reconfigure(self, mesh: MeshOptions) -> None:
        """Use a new list of voters.

        If a key in `RESTART_KEYS` has changed, which needs a restart, or the list is invalid, nothing changes
        and the reason is logged.
        """
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

    def _perform_action(self, action: Action) -> None:
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
        """Derive the cordoned targets from the replica, and pass them to the dispatcher.

        `may_send` uses the new targets as soon as this method returns. The observer may therefore confirm to
        its voter that the new cordons are applied, even if the dispatcher handles `CordonsChanged` later.
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
            self._start_serving()
        voters = self.observer.voter, self.observer.spare_voter
        if voters != self._reported_voters:
            self._reported_voters = voters
            log.info("observed_voters_changed", extra={"voter": voters[0], "spare": voters[1]})

    def _start_serving(self) -> None:
        """Start to serve clients, as the replica is synchronized or `catch_up_ms` have passed."""
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
        """Save the incarnation, so that the next process has a later one even if the clock is set back."""
        if not self.snapshot_store.folder:
            return
        header = SnapshotHeader(self.mesh.installation, self.name, self.incarnation, self.clock.now_us())
        try:
            self.snapshot_store.write(header, ())
        except OSError as e:
            log.error("state_not_saved", extra={"file": "mesh.state", "why": str(e)})

    def _address_of(self, voter: str) -> Address:
        return voter_address(self.options, voter)
