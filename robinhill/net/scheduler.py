"""The embeddable scheduler, with ``start``, ``drain`` and ``close``; ``run`` calls all three.

It owns the components of one process and the order in which they start and stop; their code is in the
packages beside this module. During a restart a scheduler consists of two processes: the *successor* takes
over from its *predecessor* by a hand-over.
"""

import asyncio
import contextlib
import logging
import os
import random
import signal
from collections.abc import Mapping
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any

from robinhill import config as configuration
from robinhill import logs, protocol
from robinhill.config import Config, OperatorFile
from robinhill.config_types import ConfigError
from robinhill.net.actor import Supervisor
from robinhill.net.clients.inbound import Inbound
from robinhill.net.clients.listener import bind, duplicate_listening_socket
from robinhill.net.clock import Clock
from robinhill.net.discovery.catch_up import CatchUp
from robinhill.net.discovery.list_watcher import ChangeAddress, EndpointListWatcher
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.dispatcher.messages import (
    PredecessorExited,
    PredecessorListReceived,
    SetWorkerDisabled,
)
from robinhill.net.dispatcher.traffic_recorder import TrafficRecorder
from robinhill.net.handover.handover import Handover
from robinhill.net.handover.messages import CLAIMS_KEY, EndpointListExport, QuestionName, StateExport
from robinhill.net.metrics import Metrics
from robinhill.net.operators.server import OperatorCalls, OperatorServer
from robinhill.net.request_transfer import RequestTransfer
from robinhill.placement import watch_schedule
from robinhill.placement.list_lease import ListLease, ListOrigin
from robinhill.protocol import DONE, Answer, JobEvent

# Optional components are imported only if they are configured: imports lengthen a restart, which is an outage
# of this scheduler.
if TYPE_CHECKING:
    from robinhill.net.control_group.observing_scheduler import ObservingScheduler
    from robinhill.net.dispatcher.admission import AdmissionActor
    from robinhill.net.peers.replication import Replication
    from robinhill.record.recorder import Recorder

log = logging.getLogger(__name__)

Json = dict[str, Any]
# How long requests are still accepted after SIGTERM: clients may have sent them before they noticed the
# shutdown.
ACCEPT_AFTER_SIGTERM_S = 0.7
HANDOVER_RETRY_S = 0.05  # delay between two attempts to hand over pending requests
# How long the start waits for the lease on the endpoint list, which discovery's first answer renews; after
# this time the process reports that it is ready without the lease.
MAX_LIST_WAIT_S = 2.9
# Interval at which a successor asks for its predecessor's endpoint list; below the 0.5 s grace of drains.
PREDECESSOR_LIST_INTERVAL_S = 0.25
MAX_START_WAIT_S = 0.9  # how long an operator's call waits until this process has started
# Options whose change does not require a restart: a reload applies `discovery` and `operator`, and a process
# uses the others only when it starts.
RELOADED_OR_INITIAL_OPTIONS = ("discovery", "known", "seed", "operator")
# Names of the operators' calls that one process relays to the other; they are the same in all versions.
DISABLE_CALL, DRAIN_CALL = "hold_out", "drain"
STARTING = Answer(503, b"this scheduler is still starting\n")
NOT_RELAYED = Answer(500, b"the other process of this scheduler has not confirmed the call\n")
NO_ADMISSION = Answer(404, b"no operators' file is configured, so there is no admission control\n")


class Scheduler:
    """One process of a scheduler: client connections, the dispatcher with its endpoints, and discovery."""

    def __init__(self, config: Config, env: Mapping[str, str] = os.environ) -> None:
        self.config = config
        self.env = env  # a reload reads the configuration from these variables again
        self.clock = Clock(config.clock_offset_us)
        self.supervisor = Supervisor()
        self.metrics = Metrics(config.classes)
        schedule = watch_schedule.from_settings(config.settings, random.Random(config.seed))
        self.list_lease = ListLease.from_settings(config.settings, config.known.generation)
        self.dispatcher = Dispatcher(config, self.supervisor, self.clock, self.metrics, self.list_lease)
        self.list_watcher = EndpointListWatcher(
            config.discovery,
            config.known.generation,
            schedule,
            self.clock,
            self.supervisor,
            self.dispatcher.tell,
            self.dispatcher.tell,
        )
        self.catch_up = CatchUp(self.clock, self.list_watcher.has_unread_data)
        self.dispatcher.table.catch_up = self.list_watcher.catch_up = self.catch_up
        self.admission = self._create_admission()
        self.recorder = self._create_recorder()
        self.transfer = RequestTransfer(self.dispatcher, self.admission)
        self.inbound = Inbound(
            config,
            self.supervisor,
            self.clock,
            self.metrics,
            self.admission.tell if self.admission else self.dispatcher.tell,
            self.transfer.deliver,
            self.admission.identify_caller if self.admission else None,
        )
        self.inbound.catch_up = self.catch_up
        self.dispatcher.in_flight.memory = self.inbound.memory
        self.shared_state = self._create_shared_state()
        self.operators = self._create_operator_server()
        self.started = asyncio.Event()  # set once this process is ready to serve
        self.stopping = asyncio.Event()  # set when a signal requests the shutdown of this process
        self.handover: Handover | None = None
        if config.socket_fd is not None and config.folder:
            self.handover = self.transfer.handover = Handover(config.folder, self.supervisor, self)
            self.dispatcher.forward_event = self._spawn_delivery
            self.dispatcher.id_claims = self.handover

    def _create_admission(self) -> "AdmissionActor | None":
        if not self.config.operator:
            return None
        from robinhill.net.dispatcher.admission import AdmissionActor

        admission = AdmissionActor(
            self.config, self.supervisor, self.clock, self.metrics, self.dispatcher.tell
        )
        self.dispatcher.notify_admission = admission.tell
        return admission

    def _create_recorder(self) -> "Recorder | None":
        if not self.config.operator or not self.config.operator.record.folder:
            return None
        from robinhill.record.recorder import Recorder

        recorder = Recorder(self.config.operator.record, self.config.name)
        traffic_recorder = TrafficRecorder(recorder, self.clock, self.config.classes)
        self.dispatcher.traffic_recorder = self.dispatcher.table.traffic_recorder = traffic_recorder
        if self.admission:
            self.admission.traffic_recorder = traffic_recorder
        self.metrics.recorder = recorder
        recorder.start()
        return recorder

    def _create_shared_state(self) -> "Replication | ObservingScheduler | None":
        """Create the state that schedulers share, through voters or peers; None if neither is configured."""
        arguments = (self.config, self.supervisor, self.clock, self.dispatcher, self.inbound)
        if self.config.operator and self.config.operator.mesh.voters:
            from robinhill.net.control_group.observing_scheduler import ObservingScheduler

            return ObservingScheduler(*arguments)
        if self.config.operator and self.config.operator.mesh.peers:
            from robinhill.net.peers.replication import Replication

            return Replication(*arguments)
        return None

    def _create_operator_server(self) -> OperatorServer | None:
        if not self.config.ops:
            return None
        shared = self.shared_state
        calls = OperatorCalls(
            readiness=self.readiness,
            stats=self.stats,
            admission=self.admission.stats if self.admission else lambda: NO_ADMISSION,
            disable_worker=self.disable_worker,
            drain=self.set_drained,
            cordons=shared.call if shared else None,
            mesh=shared.status if shared else None,
            confirm_complete=shared.confirm_complete if shared else None,
        )
        return OperatorServer(self.config.ops, self.config.ops_sockets - 1, self.supervisor, calls)

    async def start(self) -> None:
        """Bind the listening socket, take over from a predecessor if there is one, and start to serve.

        Returns once this process reports that it is ready.
        """
        if self.operators:
            self.operators.start()
        self.catch_up.start()
        fd = self.config.socket_fd
        sock = bind(self.config.listen, "GW_LISTEN") if fd is None else duplicate_listening_socket(fd)
        if self.handover and self.handover.connect_predecessor():
            await self._take_over(self.handover)
        else:
            self.dispatcher.start()
            self.list_watcher.start()
            self.inbound.awaiting_endpoint_list = True
        if self.shared_state:
            self.shared_state.start()
        if self.admission:
            self.admission.start()
        # Requests are accepted and queued before the endpoint list is known: the kernel accepts connections
        # from the bind on, and while most schedulers restart, clients have no other scheduler. Readiness
        # checks fail until the list is known, so that load balancers prefer other schedulers.
        self.inbound.start(sock)
        if self.inbound.awaiting_endpoint_list:
            await self._wait_for_list_lease()
            self.inbound.awaiting_endpoint_list = False
        if self.handover:
            await self.handover.start_serving()
            self.supervisor.spawn(self._follow_predecessor_list(self.handover), "predecessor list")
        self.started.set()
        extra = {"scheduler": self.config.name, "listen": self.config.listen}
        log.info("started", extra=extra | self.list_lease.log_fields(self.clock.now_us()))

    async def _take_over(self, handover: Handover) -> None:
        """Import the predecessor's state, and wait for discovery's list, before connections are accepted.

        Answers of the predecessor that are missing are skipped: this process then starts without that state.
        """
        self.inbound.set_superseded(False, 2)
        exported = await handover.ask_predecessor(QuestionName.ENDPOINT_LIST)
        if exported and "clock_anchor_ns" in exported:  # a predecessor of an older version omits this key
            self.clock.adopt_anchor(exported["clock_anchor_ns"])
        received = self._decode_predecessor_list(exported) if exported else None
        if received:
            self.list_watcher.version = received.version
            self.list_lease.inherit(received.version, received.confirmed_us, received.until_us)
            self.dispatcher.start(received.endpoint_list)
        else:
            self.dispatcher.start()
        self.list_watcher.start()
        await self._wait_for_list_lease()
        if exported and (state := await handover.ask_predecessor(QuestionName.STATE, {CLAIMS_KEY: True})):
            self.dispatcher.import_state(state["decider"])
            if self.admission and state.get("door"):
                self.admission.import_state(state["door"])
            self.inbound.drain(state["drained"])

    async def _follow_predecessor_list(self, handover: Handover) -> None:
        """Apply the predecessor's endpoint list again and again until discovery has answered this process.

        The first call to discovery may wait for seconds, or fail. Meanwhile the predecessor's watch is open,
        and this process must not use an older list than its predecessor.
        """
        while self.list_lease.origin is ListOrigin.PREDECESSOR and handover.predecessor:
            await asyncio.sleep(PREDECESSOR_LIST_INTERVAL_S)
            exported = await handover.ask_endpoint_list()
            if exported is None:
                return
            received = self._decode_predecessor_list(exported, self.list_lease.version)
            if received and received.version:  # 0: a new discovery has not answered the predecessor yet
                self.dispatcher.tell(received)

    def _decode_predecessor_list(
        self, exported: Mapping[str, Any], known_version: int | None = None
    ) -> PredecessorListReceived | None:
        """The list that the predecessor has exported; None if it is malformed or of another discovery.

        If it has the version ``known_version``, only the lease on it is decoded.
        """
        if exported["discovery"] != str(self.config.discovery):
            return None
        known = exported["known"]
        try:
            changed = known["generation"] != known_version
            endpoint_list = protocol.decode_endpoint_list(known) if changed else None
        except protocol.MalformedError as e:
            log.warning("predecessor_list_malformed", extra={"why": str(e)})
            return None
        # A predecessor of an older version omits these keys. Its list may be of any age, so that this process
        # inherits the list without a lease on it.
        confirmed_us, until_us = exported.get("list_confirmed_us"), exported.get("list_until_us", 0)
        return PredecessorListReceived(known["generation"], endpoint_list, confirmed_us, until_us)

    async def _wait_for_list_lease(self) -> None:
        """Wait until the lease on the endpoint list is held or shutdown begins, up to `MAX_LIST_WAIT_S`.

        The limit keeps a restart short if discovery does not answer.
        """
        events = (self.dispatcher.list_lease_held, self.stopping)
        waiting = [asyncio.ensure_future(event.wait()) for event in events]
        done, pending = await asyncio.wait(
            waiting, timeout=MAX_LIST_WAIT_S, return_when=asyncio.FIRST_COMPLETED
        )
        for wait in pending:
            wait.cancel()
        if not done:
            log.warning("endpoint_list_timeout", extra={"seconds": MAX_LIST_WAIT_S})

    def reload(self) -> None:
        """Read the configuration files again and apply changed options. An invalid file changes nothing.

        Changed options that need a restart are logged and not applied. Requests in flight are not affected.
        """
        try:
            new = configuration.load(self.env, reloading=True)
        except ConfigError as e:
            log.error("reload_failed", extra={"key": e.key, "why": e.what})
            return
        changed = [f.name for f in fields(Config) if getattr(new, f.name) != getattr(self.config, f.name)]
        # The configured endpoint list (`known`) and `seed` are used only when a process starts. Running
        # components have been created with the values of all other options except `discovery` and `operator`.
        needing_restart = [name for name in changed if name not in RELOADED_OR_INITIAL_OPTIONS]
        if new.operator and self.config.operator:
            self._reconfigure(new.operator, self.config.operator)
        if needing_restart:
            log.warning("reload_needs_restart", extra={"keys": ",".join(needing_restart)})
        self.config = replace(self.config, discovery=new.discovery, operator=new.operator)
        log.info("reloaded", extra={"discovery": new.discovery})
        self.list_watcher.tell(ChangeAddress(new.discovery))

    def _reconfigure(self, new: OperatorFile, old: OperatorFile) -> None:
        """Apply the changed options of the operators' file. Requests queued at admission control stay queued.

        The state that schedulers share is created only when a process starts. If this process has none, or
        the list of peers becomes empty or non-empty, a warning states that the change needs a restart.
        """
        if new.log != old.log:
            logs.configure(new.log)
        if self.admission and new.admission != old.admission:
            self.admission.reconfigure(new.admission)
            log.info("admission_reconfigured", extra={"enabled": new.admission.enabled})
        if new.mesh != old.mesh:
            if self.shared_state and bool(new.mesh.peers) is bool(old.mesh.peers):
                self.shared_state.reconfigure(new.mesh)
            else:
                log.warning("reload_needs_restart", extra={"keys": "mesh.peers,mesh.voters"})

    async def drain(self) -> None:
        """Accept requests for `ACCEPT_AFTER_SIGTERM_S`, then reject new ones until all accepted are answered.

        The listener stays open because workers send their callbacks to the clients' address. If a successor
        serves at that address, the pending requests are handed over to it instead. Requests of which only a
        part has been received when the drain ends are answered by `close`.
        """
        log.info("draining", extra={"pending": self.inbound.pending_count})
        self.inbound.shutting_down = True
        if await self._hand_over_pending():
            return
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        self.inbound.rejects_new_requests = True
        log.info("rejecting", extra={"pending": self.inbound.pending_count})
        while self.inbound.pending_count:
            if await self._hand_over_pending():  # a successor may have started during the drain
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HANDOVER_RETRY_S):
                    await self.inbound.none_pending.wait()

    async def _hand_over_pending(self) -> bool:
        """Hand all pending requests over to the successor, if one serves; return once none is pending.

        Returns False if there is no successor, or it exits while requests are handed over; this process then
        continues to serve the requests that it still has.
        """
        if self.admission and self.inbound.superseded:
            self.admission.suspend(True)
        while self.inbound.superseded:
            await self.inbound.hand_over(self.transfer.release, self.transfer.send)
            if self.inbound.is_quiescent:
                return self.inbound.superseded
            await asyncio.sleep(HANDOVER_RETRY_S)
        if self.admission:
            self.admission.suspend(False)
        return False

    # Operators' calls

    def readiness(self) -> Answer:
        """Answer whether this process is ready to serve: 200 if so, 503 if not."""
        ready = self.inbound.ready and self.started.is_set()
        return Answer(200, b"ready\n") if ready else Answer(503, b"not ready\n")

    def stats(self) -> Answer:
        """Return the current metrics as text, including those of the state that schedulers share."""
        answer = self.dispatcher.stats()
        if self.shared_state:
            answer = replace(answer, body=answer.body + self.shared_state.metrics())
        return answer

    async def disable_worker(self, instance_id: str, disabled: bool) -> Answer:
        """Stop sending attempts to a worker, or resume sending, in both processes of this scheduler."""
        return await self._apply_in_both_processes(DISABLE_CALL, {"id": instance_id, "out": disabled})

    async def set_drained(self, start: bool) -> Answer:
        """Start or stop draining. While draining, readiness checks fail, so clients use other schedulers.

        Requests that arrive during the drain are still served.
        """
        return await self._apply_in_both_processes(DRAIN_CALL, {"start": start})

    async def _apply_in_both_processes(self, call: str, body: Json) -> Answer:
        """Apply an operator's call in this process, and if it succeeds also in the other, if there is one."""
        try:
            async with asyncio.timeout(MAX_START_WAIT_S):
                await self.started.wait()
        except TimeoutError:
            return STARTING
        answer = await self._apply_here(call, body, False)
        if answer.status != 200 or not self.handover:
            return answer
        return answer if await self.handover.relay_operator_call(call, body) else NOT_RELAYED

    async def _apply_here(self, call: str, body: Json, listed_elsewhere: bool) -> Answer:
        """Apply an operator's call in this process.

        ``listed_elsewhere``: the other process has applied the call, so it knows the worker that a
        `DISABLE_CALL` names. Otherwise the call fails for a worker that this process does not know.
        """
        if call == DISABLE_CALL:
            reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
            self.dispatcher.tell(SetWorkerDisabled(body["id"], body["out"], reply, listed_elsewhere))
            return await reply
        log.info("drain_started" if body["start"] else "drain_stopped")
        self.inbound.drain(body["start"])
        return DONE

    # Hand-over to and from another process (HandoverDelegate)

    def _spawn_delivery(self, event: JobEvent) -> None:
        self.supervisor.spawn(self.transfer.deliver(event), f"deliver {event.id}")

    def export_endpoint_list(self) -> EndpointListExport:
        """Return the state that a successor needs to watch discovery itself.

        Also halves this process's budget of client connections; the other half is for the successor.
        """
        self.inbound.share_limits(2)
        known = [protocol.encode_listed_endpoint(d) for d in self.dispatcher.listed()]
        generation = self.list_watcher.version or 0
        return {
            "clock_anchor_ns": self.clock.anchor_ns,
            "list_confirmed_us": self.list_lease.confirmed_us,
            "list_until_us": self.list_lease.until_us,
            "discovery": str(self.config.discovery),
            "known": {"generation": generation, "reset": True, "instances": known},
        }

    def export_state(self) -> StateExport:
        """Return the state that a successor needs to make the same decisions as this process."""
        return {
            "decider": self.dispatcher.export_state(),
            "drained": self.inbound.drained_by_operators,
            "door": self.admission.export_state() if self.admission else None,
        }

    def set_superseded(self, superseded: bool) -> None:
        """Leave new connections to a successor (True), or accept connections in this process (False).

        The budget of client connections is halved while this process is superseded, as there are two
        processes then, and full otherwise.
        """
        self.inbound.set_superseded(superseded, 2 if superseded else 1)
        if superseded:
            self.dispatcher.table.close_idle_connections()

    def record_predecessor_exit(self) -> None:
        """Let the predecessor's request ids be forgotten like those of other ended requests."""
        self.dispatcher.tell(PredecessorExited())

    async def apply_operator_call(self, call: str, body: Json) -> bool:
        """Apply an operator's call that the other process has received. Returns whether it succeeded."""
        return (await self._apply_here(call, body, True)).status == 200

    async def accept_worker_event(self, body: Json) -> bool:
        """Process a worker's call that the other process has forwarded.

        Returns False if this process does not have the call's request.
        """
        return await self.transfer.accept_worker_event(body)

    async def claim_id(self, request_id: str) -> bool:
        """Reserve an id for a request of the predecessor. Returns False if it is in use."""
        return await self.transfer.accept_claim(request_id)

    async def adopt_request(self, body: Json, fd: int) -> bool:
        """Continue a request of the other process and its client's connection, whose descriptor is ``fd``.

        This call owns ``fd``. Returns False if this process rejects the request because it is shutting down.
        """
        return await self.transfer.adopt(body, fd, self.inbound)

    async def close(self) -> None:
        """Stop all components and close their connections."""
        if self.operators:
            await self.operators.close()
        await self.inbound.close()
        self.catch_up.close()
        if self.shared_state:
            await self.shared_state.close()
        if self.handover:
            self.handover.close()
        await self.supervisor.close()
        await self.dispatcher.close()
        if self.recorder:
            await asyncio.get_running_loop().run_in_executor(None, self.recorder.close)
        log.info("stopped")

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; reload on SIGHUP.

        Raises ActorDiedError if an actor or task fails.
        """
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.stopping.set)
        await self.start()
        try:
            await self.supervisor.run_until_failure(self.stopping.wait())
            await self.supervisor.run_until_failure(self.drain())
        finally:
            await self.close()
