"""The decider: the actor that owns the decision module. Events go in, its actions are carried out."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from robinhill import api, protocol
from robinhill.config import Config
from robinhill.logic import Balancer
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock
from robinhill.net.discovery.catch_up import CatchUp
from robinhill.net.dispatcher.messages import (
    DISCOVERY_MESSAGES,
    AdoptRequest,
    ClientDisconnected,
    CordonsChanged,
    DiscoveryAddressChanged,
    DiscoveryUnreachable,
    DispatcherMessage,
    EndpointListReceived,
    ExecutionStarted,
    FirstAttemptSent,
    ListConfirmed,
    ReleaseRequest,
    RequestAccepted,
    SetWorkerDisabled,
    TimerDue,
)
from robinhill.net.dispatcher.traffic_recorder import TrafficRecorder
from robinhill.net.metrics import Metrics
from robinhill.net.operators.disabled_workers import DisabledWorkerStore
from robinhill.net.workers.endpoint import Endpoint
from robinhill.net.workers.messages import (
    AbandonUnwritten,
    AttemptEnded,
    AttemptProgress,
    AttemptReleased,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    EndpointRetired,
    HealthCheckEnded,
    ReleaseAttempt,
    RequestReturned,
    ResumeAttempt,
    StartAttempt,
)
from robinhill.placement import exported_state, idempotency
from robinhill.placement.list_lease import ListLease
from robinhill.protocol import (  # fmt: skip
    DONE,
    Answer,
    Destination,
    DestinationList,
    JobEvent,
    JobRequest,
    Lifecycle,
)

if TYPE_CHECKING:
    pass

log = logging.getLogger(__name__)

Json = dict[str, Any]
NUMBERS_APART = 1_000_000  # jobs of a predecessor keep their numbers: those of our own start so far behind
SEEN_IDS = 16_384  # some 2 MB; ten minutes of a busy day

_STATES = {
    Lifecycle.ACTIVE: api.WorkerState.READY,
    Lifecycle.LEAVING: api.WorkerState.DRAINING,
    Lifecycle.LEFT: api.WorkerState.GONE,
}


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request with an answer owed or an attempt out."""

    job: int
    request: JobRequest
    deadline_us: int
    reply: asyncio.Future[Answer]
    owed: bool = True
    out: set[int] = field(default_factory=set)  # attempts that are out
    began_us: int = 0  # when the attempt that is out began to run; 0: not that we know of
    endpoints: list[str] = field(default_factory=list)  # of each attempt so far
    endings: list[str] = field(default_factory=list)  # what became of each that is over, for the log
    last_outcome: api.Outcome | None = None  # of these, the last one that ended here
    returned: list[str] = field(default_factory=list)  # endpoints that handed it back
    leaving: asyncio.Future[Json | None] | None = None  # while it is to go to another process

    @property
    def wanted(self) -> bool:
        """Whether its client still waits. One that has gone shows in the reply before it is told."""
        return self.owed and not self.reply.cancelled()


class Dispatcher(Actor[DispatcherMessage]):
    """Carries events to the module and its actions to the endpoints and the inbound side."""

    def __init__(
        self,
        config: Config,
        supervisor: Supervisor,
        clock: Clock,
        metrics: Metrics,
        list_lease: ListLease | None = None,
    ) -> None:
        super().__init__("decider", supervisor)
        self.list_lease = list_lease  # on the list of workers; None: whatever list there is may be sent by
        metrics.list_lease = list_lease
        self.lease_held = asyncio.Event()  # as the module was told last
        self.config = config
        self.clock = clock
        self.metrics = metrics
        self.balancer = Balancer(config.settings, config.seed)
        self.held: dict[int, InFlightRequest] = {}
        self.jobs: dict[str, int] = {}  # the wire's ids are text, the module's numbers
        # Ids of late. An endpoint knows a request in the form it got first, and turns away any other.
        self.seen: dict[str, None] = {}
        self.keys = idempotency.IdempotencyKeys()
        self.next_number = 1
        self._timers: dict[TimerDue, int] = {}  # that are set, and when they are due
        # Requests on their way to another process: what is said of one waits until it is there, or stays.
        self.moving: dict[str, asyncio.Event] = {}
        self.elsewhere: Callable[[JobEvent], None] = lambda event: None  # brings such an event there
        self.admission: Callable[[FirstAttemptSent | ExecutionStarted], None] | None = (
            None  # hears what becomes of requests
        )
        self.tape: TrafficRecorder | None = None  # records what passes
        self.destinations: dict[str, Destination] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.state = DisabledWorkerStore(config.folder)
        self.held_out = self.state.load()  # endpoints that operators want left out
        # Since when, and until when, operators had an endpoint out; the file tells no times.
        self.outages = {instance_id: (clock.now_us(), 0) for instance_id in self.held_out}
        self.cordons: CordonsChanged | None = None  # as told last
        self.catch_up: CatchUp | None = None  # after a stall; None: stalls are not looked for
        self._reading = False  # what was unread after a stall
        self.lease: Callable[[], bool] | None = None  # whether anything may be sent; None: always
        self.vouched = True  # as the module was told
        self.may_send: Callable[[Destination], bool] | None = None  # asked right before each write
        self.list_changed: Callable[[], None] | None = None  # hears when discovery has told of workers
        self.zones = list(config.zones)
        self.machine_types = list(config.machine_types)
        self.tenants = {name: number for number, name in enumerate(config.tenants)}

    def start(self, known: DestinationList | None = None) -> None:
        """Begin with a predecessor's list, or with that of the configuration."""
        now = self.clock.now_us()
        self._perform(self.balancer.start(now))
        if self.list_lease is None or self.list_lease.is_valid(now):
            self.lease_held.set()
        else:
            self._decide(api.ListLeased(False))
        self._listed(EndpointListReceived(known or self.config.known, cached=True))
        super().start()

    def ready(self) -> bool:
        """After a stall discovery's words go first, whatever came before them."""
        if self.catch_up and self.catch_up.has_unread_input():
            self._reading = True
            return False
        if self._reading:
            self._reading = False
            words = [m for m in self._mailbox if isinstance(m, DISCOVERY_MESSAGES)]
            others = [m for m in self._mailbox if not isinstance(m, DISCOVERY_MESSAGES)]
            self._mailbox.clear()
            self._mailbox.extend([*words, *others])
        return True

    def receive(self, message: DispatcherMessage) -> None:
        if self.lease and self.lease() is not self.vouched:
            self._vouch(not self.vouched)
        self._check_lease()
        match message:
            case RequestAccepted():
                self._taken(message)
            case JobEvent():
                self._job_event(message)
            case AttemptProgress(job=job, attempt=attempt, share=None):
                if held := self.held.get(job):
                    held.began_us = held.began_us or self.clock.now_us()
                    if self.admission:
                        self.admission(ExecutionStarted(held.request))
                self._decide(api.JobStarted(job, attempt))
            case AttemptProgress(job=job, attempt=attempt, share=share):
                self._decide(api.JobProgress(job, attempt, share or 0.0))
            case AttemptEnded():
                self._ended(message)
            case TimerDue(tag=tag):
                self._timers.pop(message, None)
                self._decide(api.TimerFired(tag))
            case ClientDisconnected(request=request):
                self._client_left(request)
            case EndpointListReceived():
                self._listed(message)
            case ListConfirmed() | DiscoveryUnreachable() | DiscoveryAddressChanged():
                self._update_lease(message)
            case SetWorkerDisabled(
                instance_id=instance_id, disabled=out, reply=reply, listed_elsewhere=known
            ):
                answer = self._hold_out(instance_id, out, known)
                if not reply.done():
                    reply.set_result(answer)
            case CordonsChanged():
                self._cordoned(message)
            case HealthCheckEnded(instance_id=instance_id, alive=alive):
                self._decide(api.ProbeEnded(instance_id, alive))
            case ReleaseRequest():
                self._release(message)
            case AttemptReleased(job=job, attempt=attempt):
                self._gone(job, attempt)
            case AdoptRequest():
                self._adopt(message)
            case EndpointRetired(instance_id=instance_id):
                self._retired(instance_id)

    def _update_lease(self, message: ListConfirmed | DiscoveryUnreachable | DiscoveryAddressChanged) -> None:
        if self.list_lease is None:
            return
        match message:
            case ListConfirmed(version=version, received_us=received_us):
                self.list_lease.renew(received_us, version)
            case DiscoveryUnreachable(called_us=called_us, as_of_us=as_of_us):
                self.list_lease.record_unreachable(called_us, as_of_us)
            case DiscoveryAddressChanged(at_us=at_us):
                self.list_lease.record_moved(at_us)
        self._check_lease()

    def _check_lease(self) -> None:
        """Tell the module when the lease on the list is lost or held again."""
        if self.list_lease is None:
            return
        now = self.clock.now_us()
        held = self.list_lease.is_valid(now)
        if held is self.lease_held.is_set():
            return
        told = self.list_lease.log_fields(now)
        if held:
            self.lease_held.set()
            log.info("list_lease_held", extra=told)
        else:
            self.lease_held.clear()
            log.warning("list_lease_lost", extra=told)
        self._decide(api.ListLeased(held))

    def _list_fields(self) -> dict[str, object]:
        return self.list_lease.log_fields(self.clock.now_us()) if self.list_lease else {}

    def _decide(self, event: api.Event) -> None:
        self._perform(self.balancer.handle(self.clock.now_us(), event))

    def _perform(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send():
                    self._send(action)
                case api.Refuse(job=job, retry_in_us=wait, why=why):
                    self._refuse(job, wait, why)
                case api.Fail(job=job):
                    self._answer(job, protocol.FAILED)
                case api.Cancel(job=job, attempt=attempt):
                    self._cancel(job, attempt)
                case api.SetTimer(after_us=after, tag=tag):
                    self._set_timer(after, tag)
                case api.Subscribe():
                    pass  # the list is watched from the start on, whenever the module asks for it
                case api.Probe(address=address):
                    if self._is_out(self.destinations.get(address), address):
                        # An operator's worker gets nothing, and its silence is no news.
                        self.tell(HealthCheckEnded(address, True))
                    elif endpoint := self.endpoints.get(address):
                        endpoint.tell(CheckHealth())
                    else:
                        self.tell(HealthCheckEnded(address, False))
                case api.CloseIdle(address=address):
                    if endpoint := self.endpoints.get(address):
                        endpoint.tell(CloseIdleConnections())
                case api.Log(text=text):
                    log.info("module_says", extra={"text": text})

    # Requests

    def _taken(self, taken: RequestAccepted) -> None:
        request = taken.request
        if request.id in self.seen:
            log.warning("request_repeated", extra={"id": request.id})
            if not taken.reply.done():  # its client may have gone already
                taken.reply.set_result(protocol.CONFLICT)
            return
        self.seen[request.id] = None
        if len(self.seen) > SEEN_IDS:
            del self.seen[next(iter(self.seen))]
        if taken.reply.cancelled():
            return  # its client has come and gone
        job = self.jobs[request.id] = self.next_number
        self.next_number += 1
        deadline_us = taken.arrived_us + request.time_left_us
        self.held[job] = InFlightRequest(job, request, deadline_us, taken.reply)
        if self.tape and taken.caller is None:  # else admission control has told of it
            self.tape.arrived(request, taken.arrived_us, "")
        left_us = max(1, deadline_us - self.clock.now_us())
        tenant = self.tenants.get(request.tenant, len(self.tenants))  # one that is not named has no share
        repeat = request.client_repeat
        asked = api.Request(job, request.job_class, left_us, tenant, request.cost_us, repeat)
        if request.key and (
            place := self.keys.dedup_window(taken.arrived_us, request.job_class, request.key)
        ):
            asked.group, asked.group_until_us = place.group, place.until_us
        self._decide(api.Arrived(asked))

    def _refuse(self, job: int, retry_in_us: int, why: api.RefusalReason) -> None:
        self.metrics.refusals[why.value] += 1
        if log.isEnabledFor(logging.DEBUG):
            held = self.held[job]
            told = {"id": held.request.id, "why": why.value, "attempts": ", ".join(held.endings)}
            log.debug("request_refused", extra=told | self._list_fields())
        self._answer(job, protocol.fail_fast(retry_in_us))

    def _send(self, action: api.Send) -> None:
        held = self.held[action.job]
        if held.endings:
            self._note_retry(held)
        until_us = held.deadline_us
        if action.timeout_us:
            until_us = min(until_us, self.clock.now_us() + action.timeout_us)
        number = len(held.endpoints)
        held.endpoints.append(action.address)
        held.began_us = 0
        held.out.add(number)
        self._remember(held.request, (action.job, number), action.address)
        if self.admission and number == 0:
            self.admission(FirstAttemptSent(held.request))
        self.endpoints[action.address].tell(
            StartAttempt(
                action.job, number, held.request, until_us, held.deadline_us,
                self._write_until(held), lambda: held.wanted,
            )
        )  # fmt: skip

    def _note_retry(self, held: InFlightRequest) -> None:
        if held.last_outcome:
            self.metrics.retries[held.last_outcome.value] += 1
        log.debug("attempt_again", extra={"id": held.request.id, "after": held.endings[-1]})

    def _write_until(self, held: InFlightRequest) -> int:
        """A connect can outlast the window in which workers drop a repeat of a keyed request."""
        klass, job = self.config.settings.classes[held.request.job_class], self.balancer.jobs.get(held.job)
        repeats = job is not None and job.may_have_run and klass.repeat is api.Repeat.KEYED
        return job.group_until_us if job and repeats else held.deadline_us

    def _remember(self, request: JobRequest, attempt: tuple[int, int], address: str) -> None:
        """From now on it may run: where a repeat of its key is dropped."""
        klass = self.config.settings.classes[request.job_class]
        if request.key and klass.repeat is api.Repeat.KEYED and address in self.destinations:
            now = self.clock.now_us()
            group = klass.group_of(self._worker(self.destinations[address]))
            place = idempotency.DedupWindow(group, now + klass.memory_us)
            self.keys.record_send(now, attempt, (request.job_class, request.key), place)

    def _cancel(self, job: int, attempt: int) -> None:
        held = self.held.get(job)
        if (
            held
            and attempt < len(held.endpoints)
            and (endpoint := self.endpoints.get(held.endpoints[attempt]))
        ):
            endpoint.tell(CancelAttempt(job, attempt))

    def _ended(self, ended: AttemptEnded) -> None:
        held = self.held[ended.job]
        if held.reply.cancelled():
            self._client_left(held.request)
        held.out.discard(ended.attempt)
        if held.leaving:
            self._stay(held)  # what was let go of it is over; its endpoint may never come to the question
        endpoint = held.endpoints[ended.attempt]
        if self.tape:
            self.tape.attempted(held.request, endpoint, ended.outcome, ended.took_us, held.began_us)
        held.last_outcome = ended.outcome
        held.endings.append(f"{endpoint} {ended.outcome.value} {ended.took_us // 1000}ms")
        never_ran = ended.outcome.never_ran and not (
            ended.outcome is api.Outcome.FULL and self.config.settings.full_may_have_run
        )
        self.keys.record_end((ended.job, ended.attempt), never_ran)
        if ended.outcome is api.Outcome.FULL:
            held.returned.append(endpoint)
        if ended.result is not None:
            self._answer(ended.job, protocol.served(ended.result))
        over = not held.owed
        self._decide(api.AttemptEnded(ended.job, ended.attempt, ended.outcome, ended.took_us, over))
        self._forget(held)

    def _answer(self, job: int, answer: Answer) -> None:
        held = self.held[job]
        held.owed = False
        if held.leaving:
            self._stay(held)
        self.metrics.answered(held.request.job_class, answer)
        if self.tape:
            self.tape.answered(held.request, answer.status)
        if answer is protocol.FAILED:
            name = self.config.classes[held.request.job_class]
            log.warning(
                "request_failed",
                extra={"id": held.request.id, "class": name, "attempts": ", ".join(held.endings)},
            )
        if not held.reply.done():
            held.reply.set_result(answer)
        self._forget(held)

    def _client_left(self, request: JobRequest) -> None:
        held = self.held.get(self.jobs.get(request.id, 0))
        if held and held.owed and held.request is request:  # not another with the same id
            held.owed = False
            if held.leaving:
                self._stay(held)
            self._decide(api.ClientGone(held.job))
            for attempt in held.out:
                if endpoint := self.endpoints.get(held.endpoints[attempt]):
                    endpoint.tell(AbandonUnwritten(held.job, attempt))
            self._forget(held)

    def _forget(self, held: InFlightRequest) -> None:
        if not held.owed and not held.out and held.job in self.held:
            del self.held[held.job]
            del self.jobs[held.request.id]

    def _job_event(self, event: JobEvent) -> None:
        if event.id in self.moving or not self.holds(event.id):
            self.elsewhere(event)
        elif endpoint := self.endpoints.get(event.source):
            endpoint.tell(event)

    def _set_timer(self, after_us: int, tag: str) -> None:
        due = TimerDue(tag)
        self._timers[due] = self.clock.now_us() + after_us
        asyncio.get_running_loop().call_later(after_us / 1e6, self.tell, due)

    # Between two processes of one scheduler

    def holds(self, request_id: str) -> bool:
        """Whether an endpoint's call about this request is for this process."""
        return request_id in self.jobs

    def memory(self) -> Json:
        """What a successor must know to decide as one with this process."""
        return {
            "module": exported_state.export_state(self.balancer),
            "seen": list(self.seen),
            "held_out": sorted(self.held_out),
            "outages": self.outages,
            "next": self.next_number,
        }

    def close_idle(self) -> None:
        """Leave the workers' connections to the other process."""
        for endpoint in self.endpoints.values():
            endpoint.tell(CloseIdleConnections())

    def recall(self, told: Json) -> None:
        """Go on from what a predecessor knows."""
        self.seen = dict.fromkeys(told["seen"]) | self.seen
        self.next_number = told["next"] + NUMBERS_APART
        self.held_out, self.outages = set(told["held_out"]), {k: tuple(v) for k, v in told["outages"].items()}
        self._tell_anew()
        exported_state.import_state(self.balancer, told["module"])

    def _release(self, message: ReleaseRequest) -> None:
        held = self.held.get(self.jobs.get(message.request.id, 0))
        if held is None or held.request is not message.request or not held.owed or held.leaving:
            message.reply.set_result(None)
            return
        held.leaving = message.reply
        self.moving[held.request.id] = asyncio.Event()
        # What endpoints have said of it is before this in the endpoint's mailbox, and its ending before the
        # answer in ours.
        endpoint = self.endpoints.get(held.endpoints[-1]) if held.out else None
        if not held.out:
            self._gone(held.job, None)
        elif len(held.out) == 1 and endpoint:
            endpoint.tell(ReleaseAttempt(held.job, held.request.id))
        else:
            self._stay(held)

    def _stay(self, held: InFlightRequest) -> None:
        if held.leaving and not held.leaving.done():
            held.leaving.set_result(None)
        held.leaving = None
        self.moved(held.request.id)

    def moved(self, request_id: str) -> None:
        """A request on its way has come to the other process, or stays here."""
        if moving := self.moving.pop(request_id, None):
            moving.set()

    def _gone(self, job: int, attempt: ResumeAttempt | None) -> None:
        held = self.held.get(job)
        if held is None:
            return  # it has ended meanwhile
        leaves = held.leaving and not held.leaving.done() and held.owed
        if held.leaving is None or not leaves or len(held.out) > (attempt is not None):
            # Its client has gone meanwhile, or it was answered: what is out ends here.
            self._stay(held)
            if attempt:
                self.endpoints[held.endpoints[-1]].tell(attempt)
            return
        module = exported_state.export_job(self.balancer, job)
        assert module, "a request that is owed an answer is the module's"
        told: Json = {
            "job": job,
            "deadline_us": held.deadline_us,
            "endpoints": held.endpoints,
            "endings": held.endings,
            "returned": held.returned,
            "attempt": attempt
            and {
                "until_us": attempt.until_us,
                "final": attempt.until_us >= attempt.deadline_us,  # a process of an older version asks for it
                "sent_us": attempt.sent_us,
            },
            "destination": attempt and protocol.write_destination(self.destinations[held.endpoints[-1]]),
            "module": module,
            "timers": [
                [at, due.tag]
                for due, at in self._timers.items()
                if exported_state.is_timer_of_job(due.tag, job)
            ],
        }
        held.leaving.set_result(told)
        del self.held[job]
        del self.jobs[held.request.id]

    def _adopt(self, message: AdoptRequest) -> None:
        told, request, now = message.state, message.request, self.clock.now_us()
        job = told["job"]
        self.seen[request.id] = None
        held = InFlightRequest(job, request, told["deadline_us"], message.reply)
        held.endpoints, held.endings, held.returned = told["endpoints"], told["endings"], told["returned"]
        self.held[job], self.jobs[request.id] = held, job
        if attempt := told["attempt"]:
            address = held.endpoints[-1]
            held.out = {len(held.endpoints) - 1}
            if (endpoint := self.endpoints.get(address)) is None:  # it has left the list meanwhile
                left = protocol.read_destination(told["destination"] | {"lifecycle": "left"})
                self.destinations[address] = left
                endpoint = self._open(left)
            number, until_us = len(held.endpoints) - 1, attempt["until_us"]
            endpoint.tell(ResumeAttempt(job, number, request, until_us, held.deadline_us, attempt["sent_us"]))
        for address in held.returned:
            if endpoint := self.endpoints.get(address):
                endpoint.tell(RequestReturned(request.id))
        for at, tag in told["timers"]:
            self._set_timer(max(0, at - now), tag)
        self._perform(exported_state.import_job(self.balancer, now, told["module"], message.released_here))
        message.adopted.set()

    # The destination set

    def _listed(self, listed: EndpointListReceived) -> None:
        if listed.endpoint_list is None:
            self._decide(api.WorkersListed(api.ListKind.FAILED))
            return
        told = listed.endpoint_list
        whole = told.reset or listed.cached
        kind = api.ListKind.CACHED if listed.cached else api.ListKind.FULL if whole else api.ListKind.CHANGES
        if whole:
            names = {d.instance_id for d in told.destinations}
            for gone in [d for d in self.destinations.values() if d.instance_id not in names]:
                self._update(replace(gone, lifecycle=Lifecycle.LEFT))
        for destination in told.destinations:
            self._update(destination)
        self._decide(api.WorkersListed(kind, [self._worker(d) for d in told.destinations]))
        if self.list_lease and listed.received_us is not None:
            self.list_lease.renew(listed.received_us, told.generation)
            self._check_lease()  # only now: what is held must not go out by the list of before
        if self.list_changed:
            self.list_changed()

    def _update(self, destination: Destination) -> None:
        self.destinations[destination.instance_id] = destination
        if self.tape:
            self.tape.listed(destination)
        told = self._effective(destination)
        if endpoint := self.endpoints.get(destination.instance_id):
            endpoint.tell(told)
            return
        if destination.lifecycle is Lifecycle.LEFT:
            del self.destinations[destination.instance_id]
            return
        self._open(told)

    def _open(self, told: Destination) -> Endpoint:
        settings = self.config.settings
        endpoint = Endpoint(
            told,
            self.supervisor,
            self.clock,
            settings.connect_timeout_us,
            settings.keepalive_us,
            self.metrics,
            self.tell,
            self.may_send,
            self.list_lease,
            self.catch_up,
        )
        self.endpoints[told.instance_id] = endpoint
        endpoint.start()
        return endpoint

    def _effective(self, d: Destination) -> Destination:
        """As module and endpoint are to see it: what operators have said goes before the list's words.

        The list is late: a restart during an outage may not be on it yet. Taken for warm, a cold worker would
        be pushed over.
        """
        if d.lifecycle is Lifecycle.ACTIVE and (self._is_out(d, d.instance_id) or not self.vouched):
            return replace(d, lifecycle=Lifecycle.LEAVING)
        out_us, back_us = self.outages.get(d.instance_id, (0, 0))
        return replace(d, started_us=back_us) if back_us and d.started_us < out_us else d

    def _hold_out(self, instance_id: str, out: bool, known: bool) -> Answer:
        """Leave an endpoint out until it is called back; saying so twice changes nothing."""
        destination = self.destinations.get(instance_id)
        listed = destination is not None and destination.lifecycle is not Lifecycle.LEFT
        if not (listed or known or instance_id in self.held_out):
            return Answer(404, b"no such worker\n")
        if (instance_id in self.held_out) is out:
            return DONE
        held_out = self.held_out | {instance_id} if out else self.held_out - {instance_id}
        if not self.state.save(held_out):
            return Answer(500, b"can't be saved\n")
        self.held_out, now = held_out, self.clock.now_us()
        log.info("held_out" if out else "called_back", extra={"endpoint": instance_id})
        if out:
            self.outages[instance_id] = (now, 0)
        else:
            self.outages[instance_id] = (self.outages.get(instance_id, (now, 0))[0], now)
        if destination and listed:
            self._update(destination)
            # Told as the list of before: changes would be word of discovery, and the module stop asking it.
            self._decide(api.WorkersListed(api.ListKind.CACHED, [self._worker(d) for d in self.listed()]))
        return DONE

    def _is_out(self, d: Destination | None, instance_id: str) -> bool:
        """Whether operators have said that an endpoint gets nothing, here or at any scheduler."""
        return instance_id in self.held_out or (
            self.cordons is not None and d is not None and self.cordons.covers(d)
        )

    def _cordoned(self, message: CordonsChanged) -> None:
        """Leave out what is cordoned now, and call back what is no longer: it counts as started just now."""
        now = self.clock.now_us()
        before = {d.instance_id: self._is_out(d, d.instance_id) for d in self.listed()}
        moved, self.cordons = False, message
        for d in self.listed():
            name = d.instance_id
            if (out := self._is_out(d, name)) is before[name]:
                continue
            moved = True
            log.info("cordoned" if out else "uncordoned", extra={"endpoint": name})
            self.outages[name] = (now, 0) if out else (self.outages.get(name, (now, 0))[0], now)
        if moved:
            self._tell_anew()
        # Endpoints have this in their mailboxes, which the loop empties before it comes to what we call now.
        asyncio.get_running_loop().call_soon(message.on_applied)

    def _vouch(self, yes: bool) -> None:
        """This scheduler may be behind on cordons: nothing new goes out while it may; or no longer.

        No worker has been away, so none counts as started when it is over.
        """
        self.vouched = yes
        log.log(logging.INFO if yes else logging.WARNING, "lease_held" if yes else "lease_lost")
        self._tell_anew()

    def _tell_anew(self) -> None:
        """Told as the list of before: changes would be word of discovery, and the module stop asking it."""
        for d in self.listed():
            self._update(d)
        self._decide(api.WorkersListed(api.ListKind.CACHED, [self._worker(d) for d in self.listed()]))

    def _worker(self, d: Destination) -> api.Worker:
        """The module's view: names become numbers, in the order of the settings, then of their coming."""
        d = self._effective(d)
        return api.Worker(
            address=d.instance_id,
            zone=_index(self.zones, d.zone),
            state=_STATES[d.lifecycle],
            started_us=d.started_us,
            weight=d.weight,
            kind=_index(self.machine_types, d.machine_type),
            cell=d.cell,
        )

    def _retired(self, instance_id: str) -> None:
        destination = self.destinations.get(instance_id)
        # What was told to it meanwhile is not lost: with its ending the endpoint says so again.
        busy = any(held.endpoints[n] == instance_id for held in self.held.values() for n in held.out)
        if destination and destination.lifecycle is Lifecycle.LEFT and not busy:
            del self.destinations[instance_id]
            endpoint = self.endpoints.pop(instance_id)
            endpoint.stop()
            self.supervisor.spawn(endpoint.close(), f"close {endpoint.name}")

    def listed(self) -> list[Destination]:
        """The destination set; one that has left stays with us only until its attempts are over."""
        return [d for d in self.destinations.values() if d.lifecycle is not Lifecycle.LEFT]

    def stats(self) -> Answer:
        """The figures as they are now."""
        queued = self.metrics.admission_queued() if self.metrics.admission_queued else 0
        self.metrics.active = len(self.held) + queued
        listed = {d.instance_id for d in self.listed()}
        self.metrics.pool_size = len(listed)
        out = {d.instance_id for d in self.listed() if self._is_out(d, d.instance_id)}
        self.metrics.pool_ejected = len(listed & (out | self.balancer.avoided(self.clock.now_us())))
        return Answer(200, self.metrics.text(self.clock.now_us()).encode())

    async def close(self) -> None:
        for endpoint in self.endpoints.values():
            await endpoint.close()


def _index(names: list[str], name: str) -> int:
    if name not in names:
        names.append(name)
    return names.index(name)
