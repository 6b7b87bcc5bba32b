"""The embeddable scheduler: ``start`` it, ``drain`` it, ``close`` it; or ``run`` does all three."""

import asyncio
import contextlib
import logging
import os
import random
import signal
from collections.abc import Mapping
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any, Final

from robinhill import config as configuration
from robinhill import logs, protocol
from robinhill.config import Config, OperatorFile
from robinhill.config_types import ConfigError
from robinhill.net.actor import Supervisor
from robinhill.net.clients.inbound import Inbound
from robinhill.net.clients.listener import bind, inherit
from robinhill.net.clock import Clock
from robinhill.net.discovery.catch_up import CatchUp
from robinhill.net.discovery.list_watcher import ChangeAddress, EndpointListWatcher
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.dispatcher.messages import AdoptRequest, ReleaseRequest, RequestAccepted, SetWorkerDisabled
from robinhill.net.dispatcher.traffic_recorder import TrafficRecorder
from robinhill.net.handover.handover import Handover
from robinhill.net.handover.messages import EndpointListExport, QuestionName, StateExport
from robinhill.net.handover.process_link import LinkLostError
from robinhill.net.metrics import Metrics
from robinhill.net.operators.server import OperatorCalls, OperatorServer
from robinhill.placement import watch_schedule
from robinhill.placement.list_lease import ListLease
from robinhill.protocol import DONE, Answer, JobEvent, JobRequest

if TYPE_CHECKING:  # what the platform does not switch on is not loaded: a restart is an outage
    from robinhill.net.control_group.observing_scheduler import ObservingScheduler
    from robinhill.net.dispatcher.admission import AdmissionActor
    from robinhill.net.peers.replication import Replication
    from robinhill.record.recorder import Recorder

log = logging.getLogger(__name__)

Json = dict[str, Any]
TAKE_ON_S = 0.7  # after SIGTERM: what still arrives in this time is taken
HAND_OVER_S = 0.05  # how often what is owed is looked at while a successor takes it
LIST_S = 2.9  # for discovery's first answer, before this process says that it is ready
START_S = 0.9  # an operator's call to a process that still starts is answered no after it
STARTING = Answer(503, b"still starting\n")
HANDED_ADMISSION: Final = "door"  # the key between processes of all versions
NO_ADMISSION = Answer(404, b"no operators' file is named, so there is no admission control\n")


class Scheduler:
    """One scheduler: the decider with its endpoints, the destination set and the inbound side."""

    def __init__(self, config: Config, env: Mapping[str, str] = os.environ) -> None:
        self.config = config
        self.env = env  # for a reload
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
        self.admission: AdmissionActor | None = None
        if config.operator:
            from robinhill.net.dispatcher import admission

            self.admission = admission.AdmissionActor(
                config, self.supervisor, self.clock, self.metrics, self.dispatcher.tell
            )
            self.dispatcher.notify_admission = self.admission.tell
        self.recorder: Recorder | None = None
        if config.operator and config.operator.record.folder:
            from robinhill.record import recorder

            self.recorder = recorder.Recorder(config.operator.record, config.name)
            tape = TrafficRecorder(self.recorder, self.clock, config.classes)
            self.dispatcher.traffic_recorder = self.dispatcher.table.traffic_recorder = tape
            if self.admission:
                self.admission.traffic_recorder = tape
            self.metrics.recorder = self.recorder
            self.recorder.start()
        self.inbound = Inbound(
            config,
            self.supervisor,
            self.clock,
            self.metrics,
            self.admission.tell if self.admission else self.dispatcher.tell,
            self._deliver,
            self.admission.identify_caller if self.admission else None,
        )
        self.inbound.catch_up = self.catch_up
        self.sharing: Replication | ObservingScheduler | None = None
        if config.operator and config.operator.mesh.voters:
            from robinhill.net.control_group import observing_scheduler

            self.sharing = observing_scheduler.ObservingScheduler(
                config, self.supervisor, self.clock, self.dispatcher, self.inbound
            )
        elif config.operator and config.operator.mesh.peers:
            from robinhill.net.peers import replication

            self.sharing = replication.Replication(
                config, self.supervisor, self.clock, self.dispatcher, self.inbound
            )
        self.operators: OperatorServer | None = None
        if config.ops:
            calls = OperatorCalls(
                self.readiness,
                self.stats,
                self.admission.stats if self.admission else lambda: NO_ADMISSION,
                self.disable_worker,
                self.set_drained,
                self.sharing.call if self.sharing else None,
                self.sharing.status if self.sharing else None,
                self.sharing.confirm_complete if self.sharing else None,
            )
            self.operators = OperatorServer(config.ops, config.ops_sockets - 1, self.supervisor, calls)
        self.started = asyncio.Event()  # it is ready to serve
        self.stopping = asyncio.Event()  # it is told to end
        self.handover: Handover | None = None
        if config.socket_fd is not None and config.folder:
            self.handover = Handover(config.folder, self.supervisor, self)
            self.dispatcher.forward_event = lambda event: self._spawn_delivery(event)

    async def start(self) -> None:
        if self.operators:
            self.operators.start()
        self.catch_up.start()
        fd = self.config.socket_fd
        sock = bind(self.config.listen, "GW_LISTEN") if fd is None else inherit(fd)
        if self.handover and self.handover.connect_predecessor():
            await self._take_over(self.handover)
        else:
            self.dispatcher.start()
            self.list_watcher.start()
            self.inbound.awaiting_endpoint_list = True
        if self.sharing:
            self.sharing.start()
        if self.admission:
            self.admission.start()
        # Who comes before the list is held: the kernel takes connections from the bind on, and with most
        # schedulers restarting there is nobody else to go to. The front is told to wait.
        self.inbound.start(sock)
        if self.inbound.awaiting_endpoint_list:
            await self._list_leased()
            self.inbound.awaiting_endpoint_list = False
        if self.handover:
            await self.handover.start_serving()
        self.started.set()
        told = {"scheduler": self.config.name, "listen": self.config.listen}
        log.info("started", extra=told | self.list_lease.log_fields(self.clock.now_us()))

    async def _take_over(self, handover: Handover) -> None:
        """Learn what the predecessor knows, and hear discovery ourselves, before we accept."""
        self.inbound.set_superseded(False, self.config.client_sockets(2))
        told = await handover.ask_predecessor(QuestionName.ENDPOINT_LIST)
        if told and "clock_anchor_ns" in told:  # an older version does not tell
            self.clock.follow(told["clock_anchor_ns"])
        if told and told["discovery"] == str(self.config.discovery):
            known = protocol.decode_endpoint_list(told["known"])
            self.list_watcher.version = known.generation
            # An older version does not tell: then the list may be of any age.
            confirmed_us, until_us = told.get("list_confirmed_us"), told.get("list_until_us", 0)
            self.list_lease.inherit(known.generation, confirmed_us, until_us)
            self.dispatcher.start(known)
        else:
            self.dispatcher.start()
        self.list_watcher.start()
        await self._list_leased()
        if told and (memory := await handover.ask_predecessor(QuestionName.STATE)):
            self.dispatcher.import_state(memory["decider"])
            if self.admission and memory.get(HANDED_ADMISSION):
                self.admission.import_state(memory[HANDED_ADMISSION])
            self.inbound.drain(memory["drained"])

    async def _list_leased(self) -> None:
        """Wait until there is a list to send by, or we are told to end; no longer than a restart may take."""
        events = (self.dispatcher.list_lease_held, self.stopping)
        waiting = [asyncio.ensure_future(event.wait()) for event in events]
        done, pending = await asyncio.wait(waiting, timeout=LIST_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in pending:
            wait.cancel()
        if not done:
            log.warning("list_awaited", extra={"seconds": LIST_S})

    def reload(self) -> None:
        """Take the file's new values; a faulty one changes nothing. Requests in flight go on as they are."""
        try:
            new = configuration.load(self.env, again=True)
        except ConfigError as e:
            log.error("reload_failed", extra={"key": e.key, "why": e.what})
            return
        moved = [f.name for f in fields(Config) if getattr(new, f.name) != getattr(self.config, f.name)]
        # The list and the seed are for the start; the rest is built into parts that are running.
        waiting = [name for name in moved if name not in ("discovery", "known", "seed", "operator")]
        if new.operator and self.config.operator:
            self._reconfigure(new.operator, self.config.operator)
        if waiting:
            log.warning("reload_needs_restart", extra={"keys": ",".join(waiting)})
        self.config = replace(self.config, discovery=new.discovery, operator=new.operator)
        log.info("reloaded", extra={"discovery": new.discovery})
        self.list_watcher.tell(ChangeAddress(new.discovery))

    def _reconfigure(self, new: OperatorFile, old: OperatorFile) -> None:
        """Go by another operators' file from now on; what waits at admission goes on waiting."""
        if new.log != old.log:
            logs.configure(new.log)
        if self.admission and new.admission != old.admission:
            self.admission.reconfigure(new.admission)
            log.info("admission_reconfigured", extra={"enabled": new.admission.enabled})
        if new.mesh != old.mesh:
            if self.sharing and bool(new.mesh.peers) is bool(old.mesh.peers):
                self.sharing.reconfigure(new.mesh)
            else:
                log.warning("reload_needs_restart", extra={"keys": "mesh.peers,mesh.voters"})

    async def drain(self) -> None:
        """Take requests a little longer, then refuse new ones, until all that was taken is answered.

        The listener stays up: endpoints call back at the clients' address. Where a successor has it, that one
        also takes what is owed. `close` answers what is half here then.
        """
        log.info("draining", extra={"owed": self.inbound.pending_count})
        self.inbound.shutting_down = True
        if await self._leave_to_successor():
            return
        await asyncio.sleep(TAKE_ON_S)
        self.inbound.closed_to_new = True
        log.info("refusing", extra={"owed": self.inbound.pending_count})
        while self.inbound.pending_count:
            if await self._leave_to_successor():  # it has come only now
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HAND_OVER_S):
                    await self.inbound.none_pending.wait()

    async def _leave_to_successor(self) -> bool:
        """Whether there was one until all was settled."""
        if self.admission and self.inbound.superseded:
            self.admission.suspend(True)
        while self.inbound.superseded:
            await self.inbound.hand_over(self._release, self._send_over)
            if self.inbound.settled:
                return self.inbound.superseded
            await asyncio.sleep(HAND_OVER_S)
        if self.admission:
            self.admission.suspend(False)
        return False

    # Operators' calls

    def readiness(self) -> Answer:
        """Whether this process is ready to serve."""
        ready = self.inbound.ready and self.started.is_set()
        return Answer(200, b"ready\n") if ready else Answer(503, b"not ready\n")

    def stats(self) -> Answer:
        answer = self.dispatcher.stats()
        return replace(answer, body=answer.body + self.sharing.metrics()) if self.sharing else answer

    async def disable_worker(self, instance_id: str, disabled: bool) -> Answer:
        """Disable a worker, or enable it again."""
        return await self._obeyed("hold_out", {"id": instance_id, "out": disabled})

    async def set_drained(self, start: bool) -> Answer:
        """Send clients elsewhere, or take them again."""
        return await self._obeyed("drain", {"start": start})

    async def _obeyed(self, what: str, body: Json) -> Answer:
        """Do it here and in the other process, if there is one; what the caller is told."""
        try:
            async with asyncio.timeout(START_S):
                await self.started.wait()
        except TimeoutError:
            return STARTING
        answer = await self._obey(what, body, False)
        if answer.status == 200 and self.handover and not await self.handover.relay_operator_call(what, body):
            return Answer(500, b"the other process of this scheduler has not said yes\n")
        return answer

    async def _obey(self, what: str, body: Json, known: bool) -> Answer:
        if what == "hold_out":
            reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
            self.dispatcher.tell(SetWorkerDisabled(body["id"], body["out"], reply, known))
            return await reply
        log.info("drain_started" if body["start"] else "drain_stopped")
        self.inbound.drain(body["start"])
        return DONE

    # Between two processes

    async def _deliver(self, event: JobEvent) -> None:
        """Bring an endpoint's call to the process that holds its request; returns once that one has it."""
        if moving := self.dispatcher.handover.in_transit.get(event.id):
            await moving.wait()
        if (
            event.id not in self.dispatcher.in_flight
            and self.handover
            and await self.handover.forward_worker_event(protocol.encode_job_event(event))
        ):
            return
        if event.id in self.dispatcher.in_flight:  # it may have come here meanwhile
            self.dispatcher.tell(event)

    def _spawn_delivery(self, event: JobEvent) -> None:
        self.supervisor.spawn(self._deliver(event), f"deliver {event.id}")

    async def _release(self, request: JobRequest) -> Json | None:
        """What a successor needs to go on with a request; None while it can't go."""
        at_admission: Json = {}
        if self.admission:
            known: asyncio.Future[Json] = asyncio.get_running_loop().create_future()
            self.admission.release(request, known)
            at_admission = await known
            if "waiting" in at_admission:
                return {HANDED_ADMISSION: at_admission}
        reply: asyncio.Future[Json | None] = asyncio.get_running_loop().create_future()
        self.dispatcher.tell(ReleaseRequest(request, reply))
        told = await reply
        return told and told | {HANDED_ADMISSION: at_admission}

    async def _send_over(
        self, told: Json, fd: int, request: JobRequest, reply: asyncio.Future[Answer]
    ) -> bool:
        """Whether the successor has a request now; else it is ours again, or answered."""
        taken, sent = False, False
        body = told | {"request": protocol.encode_handed_over_request(request)}
        try:
            if self.handover and (successor := self.handover.successor):
                taken = (await successor.ask(QuestionName.ADOPT_REQUEST, body, fd)).get("taken", True)
            else:
                os.close(fd)  # it has gone since the request was let go
        except LinkLostError as e:
            sent = e.sent
        if sent:
            # It had the request and may have sent it on, so no other attempt may follow.
            if not reply.done():
                reply.set_result(protocol.FAILED)
        elif not taken:
            await self._take_back(told, request, reply)
        self.dispatcher.handover.finish_transit(request.id)
        if taken:
            log.info("handed_over", extra={"id": request.id})
        return taken

    async def _take_back(self, told: Json, request: JobRequest, reply: asyncio.Future[Answer]) -> None:
        """Go on ourselves with a request that no successor has had."""
        if self.admission and "waiting" in told[HANDED_ADMISSION]:
            self.admission.adopt(request, told[HANDED_ADMISSION], reply, False)
            return
        done = asyncio.Event()
        self.dispatcher.tell(
            AdoptRequest(request, told | {"timers": []}, reply, done, released_here=True)
        )  # ours are set
        await done.wait()

    def export_endpoint_list(self) -> EndpointListExport:
        """What a successor needs to watch discovery by itself; it takes a part of what we may use."""
        self.inbound.set_budget(self.config.client_sockets(2))
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
        admission = self.admission.export_state() if self.admission else None
        return {
            "decider": self.dispatcher.export_state(),
            "drained": self.inbound.drained_by_operators,
            HANDED_ADMISSION: admission,
        }

    def set_superseded(self, superseded: bool) -> None:
        """A successor accepts; or the other process has gone, and all is ours again."""
        self.inbound.set_superseded(superseded, self.config.client_sockets(2 if superseded else 1))
        if superseded:
            self.dispatcher.table.close_idle_connections()

    async def apply_operator_call(self, call: str, body: Json) -> bool:
        return (await self._obey(call, body, True)).status == 200

    async def take_worker_event(self, body: Json) -> bool:
        event = protocol.decode_job_event_object(body)
        if moving := self.dispatcher.handover.in_transit.get(event.id):
            await moving.wait()
        if event.id not in self.dispatcher.in_flight:
            return False
        self.dispatcher.tell(event)
        return True

    async def adopt_request(self, body: Json, fd: int) -> bool:
        if self.inbound.shutting_down:
            os.close(fd)
            return False
        request = protocol.decode_handed_over_request(body["request"])
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        at_admission = body.get(HANDED_ADMISSION) or {}
        if self.admission and "caller" in at_admission:
            self.admission.adopt(request, at_admission, reply, bool(body.get("attempt")))
        if waiting := at_admission.get("waiting"):
            if not self.admission:  # it has waited long enough
                self.dispatcher.tell(RequestAccepted(request, waiting["arrived_us"], reply))
            await self.inbound.adopt(request, reply, fd)
            return True
        done = asyncio.Event()
        self.dispatcher.tell(AdoptRequest(request, body, reply, done))
        await done.wait()
        await self.inbound.adopt(request, reply, fd)
        return True

    async def close(self) -> None:
        if self.operators:
            await self.operators.close()
        await self.inbound.close()
        self.catch_up.close()
        if self.sharing:
            await self.sharing.close()
        if self.handover:
            self.handover.close()
        await self.supervisor.close()
        await self.dispatcher.close()
        if self.recorder:
            await asyncio.get_running_loop().run_in_executor(None, self.recorder.close)
        log.info("stopped")

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; reload on SIGHUP. An actor's death raises its error."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.stopping.set)
        await self.start()
        try:
            await self.supervisor.unless_failed(self.stopping.wait())
            await self.supervisor.unless_failed(self.drain())
        finally:
            await self.close()
