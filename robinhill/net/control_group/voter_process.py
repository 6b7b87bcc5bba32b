"""A voter process of the control group: its state machine, links, snapshots, signals and operators' server.

A voter has no clients and no workers.
"""

import asyncio
import logging
import os
import random
import signal
from collections.abc import Iterable, Mapping

from robinhill import config as configuration
from robinhill import logs
from robinhill.config import VoterConfig
from robinhill.config_types import Address, ConfigError
from robinhill.control.actions import Action, Apply, CaughtUp, Progressed, VotersSettled
from robinhill.control.errors import VotersNotOneAtATime
from robinhill.control.operator_options import options_of_voter, voter_address
from robinhill.control.options import ControlOptions
from robinhill.control.record_kinds import URGENT_KINDS
from robinhill.control.voter import Voter
from robinhill.mesh.options import MeshOptions
from robinhill.mesh.records import Record
from robinhill.mesh.snapshot import SnapshotHeader
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock, mono_us
from robinhill.net.control_group.driver import Driver, Run
from robinhill.net.control_group.operator_support import (
    call_cordons,
    metric_lines,
    needs_restart,
    traffic_metrics,
)
from robinhill.net.control_group.recovery import recover
from robinhill.net.control_group.voter_operators import VoterCalls, VoterOperatorServer
from robinhill.net.cordons.group_member import GroupCordons
from robinhill.net.cordons.replies import make_status_answer
from robinhill.net.peers.rejections import log_rejected
from robinhill.protocol import Answer

log = logging.getLogger(__name__)

REFRESH_INTERVAL_S = 3_600.0
"""Interval for rewriting the records of cordons that last longer than the records' lifetime."""

RESTART_KEYS = ("installation", "bound_ms", "on_lost", "on_lost_by_kind", "folder")
"""Keys of the section `mesh` of the operators' file that need a restart; a reload does not change them."""


class VoterProcess:
    """One voter. ``env``: the environment, read again by each reload."""

    def __init__(self, config: VoterConfig, env: Mapping[str, str] = os.environ) -> None:
        self.config = config
        self.env = env
        self.mesh: MeshOptions = config.operator.mesh
        self.options = options_of_voter(self.mesh, config.name)
        self.clock = Clock(config.clock_offset_us)
        self.supervisor = Supervisor()
        folder = config.folder if self.mesh.folder else None
        recovery = recover(folder, self.mesh.installation, config.name, self.clock.now_us())
        self.snapshot_store = recovery.snapshot_store
        self.incarnation = recovery.incarnation
        self.replica = recovery.replica
        # Used only for the jitter of reconnections, never for decisions.
        rng = random.Random(f"{config.name} {self.incarnation}")
        self.voter = Voter(self.options, self.incarnation, self.replica, URGENT_KINDS, rng, mono_us())
        self.driver = Driver(
            self.voter,
            self.supervisor,
            self.clock,
            self._address_of,
            self._perform_action,
            accepted=self.voter.accepted,
        )
        self.cordons = GroupCordons(
            self.options, self.incarnation, self.replica, self.clock, self.voter, self.driver.perform
        )
        self.operators = self._new_operator_server(config.ops) if config.ops else None

    def _new_operator_server(self, address: Address) -> VoterOperatorServer:
        calls = VoterCalls(
            readiness=self.readiness,
            metrics=self.metrics,
            status=self.status,
            confirm_complete=self.confirm_complete,
            remove_scheduler=self.remove_scheduler,
            cordons=self.call,
        )
        return VoterOperatorServer(address, self.supervisor, calls)

    # Start, reload, shutdown

    async def run(self) -> None:
        """Serve as a voter until SIGTERM or SIGINT; reload on SIGHUP.

        Raises ActorDiedError if an actor or task fails.
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await self.start()
        try:
            await self.supervisor.run_until_failure(stop.wait())
        finally:
            await self.close()

    async def start(self) -> None:
        """Listen, and connect to the other voters. Raises ConfigError if an address can't be bound."""
        for warning in self.options.warnings:
            log.warning("voters_warning", extra={"why": warning})
        # Saves the incarnation: the next process must have a later one, even if this one ends before its
        # first periodic save.
        await self.snapshot_store.save(-1, self._snapshot_header(), list(self._persistent_records()))
        name = self.config.name
        await self.driver.listen(self._address_of(name), f"mesh.voters.{name}.address")
        if self.operators:
            self.operators.start()
        self.driver.start()
        keeping = self.snapshot_store.save_periodically(
            lambda: self.replica.head, self._snapshot_header, self._persistent_records
        )
        self.supervisor.spawn(keeping, "keep")
        self.supervisor.spawn(self._refresh(), "refresh")
        extra = {"voter": name, "voters": len(self.options.voters), "incarnation": self.incarnation}
        log.info("started", extra=extra | {"listen": self._address_of(name)})

    def reload(self) -> None:
        """Apply a changed operators' file, which may add or remove one voter.

        An invalid file changes nothing. A file that changes more than one voter, or a key that needs a
        restart, changes only the options of the log.
        """
        try:
            new = configuration.load_voter(self.env)
            options = options_of_voter(new.operator.mesh, self.config.name)
        except ConfigError as e:
            log.error("reload_failed", extra={"key": e.key, "why": e.what})
            return
        if new.operator.log != self.config.operator.log:
            logs.configure(new.operator.log)
        mesh = new.operator.mesh
        if not needs_restart(self.mesh, mesh, RESTART_KEYS):
            self.driver.tell(Run(lambda: self._change_voters(mesh, options)))

    async def close(self) -> None:
        """Close all links, and save the last snapshot."""
        if self.operators:
            await self.operators.close()
        self.cordons.stop()
        await self.driver.close()
        await self.snapshot_store.save(
            self.replica.head, self._snapshot_header(), list(self._persistent_records())
        )
        await self.supervisor.close()
        log.info("stopped")

    # Operators' calls

    async def call(self, method: str, cordon_id: str, body: bytes, wait: str | None) -> Answer:
        """Carry out an operator's call about cordons and return its answer."""
        return await call_cordons(self.driver, self.cordons, method, cordon_id, body, wait)

    def readiness(self) -> Answer:
        """Answer 200 once this voter counts for majorities, 503 until then."""
        return (
            Answer(200, b"ready\n")
            if self.voter.counts
            else Answer(503, b"this voter does not count for majorities yet\n")
        )

    def status(self) -> Answer:
        """Return this voter's links, majority and replica as JSON; replicas can be compared by the digest."""
        age_us = self.voter.age_us(mono_us())
        return make_status_answer(
            {
                "name": self.config.name,
                "role": "voter",
                "incarnation": self.incarnation,
                "digest": self.replica.digest(self.clock.now_us()).hex(),
                "counts": self.voter.counts,
                "voters": sorted(self.options.voters),
                "settled": len(self.voter.freshness.quorum.lists) == 1,
                "links": list(self.voter.linked_voters),
                "observers": self.voter.linked_observers,
                "on_lost": self.mesh.on_lost,
                "majority_known_ms_ago": None if age_us is None else age_us / 1000,
            }
        )

    def confirm_complete(self) -> Answer:
        """Count this voter for majorities: an operator confirms that it knows all changes in force."""
        log.warning("voter_confirmed", extra={"voter": self.config.name})
        self.driver.tell(Run(self._confirm_complete))
        return Answer(200, b"this voter counts for majorities now\n")

    def remove_scheduler(self, scheduler: str) -> Answer:
        """Record an operator's report that a scheduler no longer runs, so that no change waits for it."""
        log.warning("scheduler_removed", extra={"scheduler": scheduler})
        self.driver.tell(Run(lambda: self._remove_scheduler(scheduler)))
        return Answer(200, b"this voter no longer waits for the scheduler; repeat the call at each voter\n")

    def metrics(self) -> Answer:
        """Metrics of connections, majorities and records, one a line."""
        age_us = self.voter.age_us(mono_us())
        counted = self.voter.metrics
        lines = [
            f"voters_linked:{len(self.voter.linked_voters)}|g",
            f"observers:{self.voter.linked_observers}|g",
            f"counts:{int(self.voter.counts)}|g",
            f"majority_age_ms:{-1 if age_us is None else age_us // 1000}|g",
            f"changes_under_way:{self.cordons.changes.pending_count()}|g",
            f"comparisons:{counted.comparisons}|c",
            f"refused:{counted.refused}|c",
            *traffic_metrics(self.driver.traffic),
            f"bytes_out.voters:{counted.bytes_to_voters}|c",
            f"bytes_out.observers:{counted.bytes_to_observers}|c",
        ]
        for kind, (records, size_bytes) in sorted(self.replica.sizes().items()):
            lines += [f"records.{kind}:{records}|g", f"bytes.{kind}:{size_bytes}|g"]
        return Answer(200, metric_lines(lines))

    # Called in the driver's mailbox

    def _perform_action(self, action: Action) -> None:
        match action:
            case Apply(rejected=rejected):
                log_rejected(rejected)
            case Progressed():
                self.cordons.record_progress(action)
            case CaughtUp():
                log.info("quorum_participation_started", extra={"voter": self.config.name})
            case VotersSettled():
                log.info("voters_settled", extra={"voters": ",".join(sorted(self.options.voters))})

    def _change_voters(self, mesh: MeshOptions, options: ControlOptions) -> None:
        try:
            actions = self.voter.change_voters(self.clock.now_us(), mono_us(), options)
        except VotersNotOneAtATime as e:
            log.error("reload_failed", extra={"key": "mesh.voters", "why": str(e)})
            return
        self.mesh, self.options, self.cordons.options = mesh, options, options
        self.driver.perform(actions)
        log.info("voters_reconfigured", extra={"voters": len(options.voters)})

    def _confirm_complete(self) -> None:
        self.driver.perform(self.voter.confirm_complete(self.clock.now_us(), mono_us()))

    def _remove_scheduler(self, scheduler: str) -> None:
        self.driver.perform(self.voter.remove_observer(self.clock.now_us(), mono_us(), scheduler))

    async def _refresh(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            self.driver.tell(Run(self.cordons.renew_records))

    # Snapshots and addresses

    def _snapshot_header(self) -> SnapshotHeader:
        return SnapshotHeader(self.mesh.installation, self.config.name, self.incarnation, self.clock.now_us())

    def _persistent_records(self) -> Iterable[Record]:
        return self.replica.snapshot(persistent_only=True)

    def _address_of(self, voter: str) -> Address:
        return voter_address(self.options, voter)
