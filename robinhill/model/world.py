"""One run of the simulation, with its traffic, fleet, faults, clients and schedulers, and its result.

All random numbers derive from one seed by a tree of streams. Arrivals, fleet, faults and clients have their
own streams, keyed by their purpose and not by the order of their use. So both sides of a comparison get the
same arrivals, workers and faults, and a side that draws more often from one stream changes no other stream
(common random numbers).
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import numpy as np
from msgspec.structs import asdict

from robinhill import api
from robinhill.admission.admission import Admission
from robinhill.admission.options import AdmissionOptions
from robinhill.checker.journal import Event, EventType, Journal
from robinhill.checker.rules import find_violations
from robinhill.logic import Balancer
from robinhill.model.describe import Description, DescriptionError, Fault, JobKind
from robinhill.model.engine import Engine
from robinhill.model.node import IDLE_RETIREMENT_SHARE, Arrival, DecisionModule, Node
from robinhill.model.trace import Trace, TracedRequest
from robinhill.model.workers import Worker

S = 1_000_000
START_US = 1_000_000_000 * S  # start of a run in Unix time, which a real scheduler passes to its module too
WINDOW_S = 10.0  # length of the windows of arrival for which served worth is evaluated
REFUSAL_STATUSES = (429, 503)
REPEAT_POLICIES = {"retryable": api.Repeat.SAFE, "fragile": api.Repeat.UNSAFE}
FLEET, TRAFFIC, FAULTS, CLIENTS, NODES, ERRORS, LISTS = range(7)  # first spawn keys of the random streams
END_MARGIN_S = 40.0  # added to the longest time that all tries of a job take, so that they end within the run


def stream(seed: int, *keys: int) -> np.random.Generator:
    """Return the random stream of these spawn keys; the first one is its purpose, such as ``FLEET``."""
    return np.random.default_rng(np.random.SeedSequence(entropy=seed, spawn_key=keys))


@dataclass(slots=True)
class Side:
    """One side of a comparison: its decision module, the module's settings, admission control and clients.

    ``module`` creates the decision module of a scheduler; None: the module of this source tree.
    """

    name: str = "this"
    settings: dict[str, Any] = field(default_factory=dict)  # values for fields of api.Settings, by name
    admission: AdmissionOptions | None = None
    clients: dict[str, Any] = field(default_factory=dict)  # values for keys of the description's clients
    module: Callable[[api.Settings, int], DecisionModule] | None = None


@dataclass(slots=True)
class Result:
    """The figures of a run. A job's worth is the ``worth`` of its class times its core seconds; latencies are
    in milliseconds.
    """

    seed: int
    wanted: float = 0.0  # worth of all jobs requested after `warm_s`
    served: float = 0.0  # worth of those jobs that were served in time
    by_kind: dict[str, tuple[float, float]] = field(default_factory=dict)  # worth wanted, worth served
    by_tenant: dict[int, tuple[float, float]] = field(default_factory=dict)
    worst_window: float = 1.0  # lowest of `windows`
    firsts: int = 0  # jobs requested after `warm_s`, without the clients' retries
    tries: int = 0  # attempts sent to workers
    crossings: int = 0  # attempts sent to a worker in another zone
    probes: int = 0  # health checks
    connects: int = 0  # new connections to workers
    statuses: dict[int, int] = field(default_factory=dict)  # answers by HTTP status
    refused: dict[str, int] = field(default_factory=dict)  # refused requests by reason
    wasted_s: float = 0.0
    busy_s: float = 0.0
    latencies: dict[str, list[float]] = field(default_factory=dict)  # of served jobs, by class
    windows: list[float] = field(default_factory=list)  # share of worth served, by windows of arrival
    broken: list[str] = field(default_factory=list)  # violations found by the checker
    mean_present: float = 0.0  # mean number of requests in the system, for Little's law
    mean_stay_s: float = 0.0  # mean time of a request in the system
    arrival_rate: float = 0.0  # requests per second, with retries
    steps: int = 0  # simulated events

    @property
    def share(self) -> float:
        """The worth of the jobs served in time, as a share of the worth of all jobs requested."""
        return self.served / self.wanted if self.wanted else 1.0


@dataclass(slots=True, eq=False)
class _ClientJob:
    """A job of a client, which the client requests in one or more tries."""

    traced: TracedRequest
    tries: int = 0
    done: bool = False
    in_time: bool = False
    began_us: int = 0


class World:
    """The simulated site of one run. ``play`` may be called once and returns the result.

    Raises DescriptionError if the trace or the side's settings don't fit the description.
    """

    def __init__(self, description: Description, trace: Trace, side: Side, seed: int) -> None:
        self.d, self.trace, self.side, self.seed = description, trace, side, seed
        self.engine = Engine(START_US)
        self.journal = Journal()
        self.result = Result(seed)
        self.discovery_down = False
        self.zones = list(description.fleet.zones)
        self._last_number = 0
        self._in_system, self._in_system_at_us, self._in_system_sum = 0, START_US, 0.0
        self._stays_us: list[int] = []
        self._jobs: list[_ClientJob] = []
        self._clients = {**asdict(description.clients), **side.clients}
        kinds = {k.name: i for i, k in enumerate(description.traffic.kinds)}
        for traced in trace.requests:
            if traced.kind not in kinds:
                raise DescriptionError(f"trace: class {traced.kind!r} is not among traffic.kinds")
        self.kind_index = kinds
        self.settings = self._settings()
        self.workers = {w.name: w for w in self._make_workers()}
        self.nodes = [self._make_node(n) for n in range(description.fleet.schedulers)]
        skew = description.traffic.scheduler_skew
        self.node_shares = {n.name: (rank + 1) ** -skew for rank, n in enumerate(self.nodes)}

    # Building

    def _settings(self) -> api.Settings:
        f = self.d.fleet
        classes = tuple(
            api.JobClass(
                latency_objective_us=int(k.aim_ms * 1000), deadline_us=int(k.deadline_ms * 1000),
                priority_weight=k.worth,
                stretch=k.stretch, repeat=REPEAT_POLICIES[k.repeat],
            )
            for k in self.d.traffic.kinds
        )  # fmt: skip
        values: dict[str, Any] = {
            "classes": classes, "fleet_size": f.schedulers, "must_subscribe": True, "value_by_work": True,
            "drain_grace_us": 500_000, "slow_start_floor": f.cold_from, "slow_start_us": int(f.cold_s * S),
            "fall_multiple": f.fall_multiple, "tip_after_us": int(f.tip_after_s * S),
            "connect_timeout_us": int(f.connect_timeout_ms * 1000), "max_attempts": f.most_tries,
            "cancelling": True, "probes": f.probes, "retry_after": f.max_retry_after_s > 0,
            "max_retry_after_us": int(f.max_retry_after_s * S), "reports_start": True,
            "waste_price": f.waste_price, "handshake_price": f.handshake_price,
            "keepalive_us": int(f.keepalive_s * S), "cross_zone_price": 0.1 if len(f.zones) > 1 else 0.0,
        }  # fmt: skip
        unknown = set(self.side.settings) - set(api.Settings.__dataclass_fields__)
        if unknown:
            raise DescriptionError(f"side {self.side.name}: unknown settings: {', '.join(sorted(unknown))}")
        return api.Settings(**(values | self.side.settings))

    def _make_workers(self) -> list[Worker]:
        rng = stream(self.seed, FLEET)
        workers: list[Worker] = []
        for kind, machine in enumerate(self.d.fleet.machines):
            for _ in range(machine.count):
                speed = float(rng.uniform(*machine.speed))
                number = len(workers)
                zone = number % len(self.zones)
                workers.append(
                    Worker(
                        f"w{number}", zone, kind, machine, speed, self.d.fleet, self.engine, self.journal
                    )
                )  # fmt: skip
        return workers

    def _make_node(self, number: int) -> Node:
        zone = number % len(self.zones)
        settings = replace(self.settings, zone=zone)
        seed = int(stream(self.seed, NODES, number).integers(1 << 60))
        make = self.side.module or Balancer
        admission = None
        if self.side.admission and self.side.admission.enabled:
            admission = Admission(settings, self.side.admission, seed, number.to_bytes(16))
        fleet = self.d.fleet

        def one_way_us(a: int, b: int) -> float:
            return (fleet.near_ms if a == b else fleet.far_ms) * 1000

        errors = stream(self.seed, ERRORS, number)

        def fails(worker: Worker) -> bool:
            return worker.error_share > 0 and bool(errors.random() < worker.error_share)

        return Node(
            f"n{number}",
            zone,
            self.engine,
            make(settings, seed),
            admission,
            self.workers,
            self.d.traffic.kinds,
            one_way_us,
            int(fleet.connect_timeout_ms * 1000),
            fails,
            IDLE_RETIREMENT_SHARE * fleet.keepalive_s * S,
            on_subscribe=self._subscribe,
        )

    # Discovery

    def _entry(self, worker: Worker) -> api.Worker:
        states = {
            "active": api.WorkerState.READY,
            "leaving": api.WorkerState.DRAINING,
            "left": api.WorkerState.REMOVED,
        }
        return api.Worker(
            worker.name, worker.zone, states[worker.lifecycle], worker.started_us, kind=worker.kind
        )

    def _subscribe(self, node: Node) -> None:
        delay = self._list_delay()
        if self.discovery_down:
            self.engine.after(S, node.update_workers, api.WorkersListed(api.ListKind.FAILED))
        else:
            self.engine.after(delay / 4, self._send_full_list, node)

    def _send_full_list(self, node: Node) -> None:
        node.update_workers(
            api.WorkersListed(api.ListKind.FULL, [self._entry(w) for w in self.workers.values()])
        )

    def _list_delay(self) -> float:
        low, high = self.d.fleet.list_delay_s
        rng = stream(self.seed, LISTS, self.engine.now % (1 << 40))
        return float(rng.uniform(low, high)) * S

    def publish_entry(self, worker: Worker) -> None:
        """Send a worker's changed entry to the subscribed schedulers after discovery's delay."""
        entry = self._entry(worker)
        self.engine.after(self._list_delay(), self._send_list_change, entry)

    def _send_list_change(self, entry: api.Worker) -> None:
        if self.discovery_down:
            self.engine.after(S, self._send_list_change, entry)
            return
        if entry.state is not api.WorkerState.READY:
            self._emit(EventType.DRAINING, worker=entry.address)
        for node in self.nodes:
            if node.subscribed:
                node.update_workers(api.WorkersListed(api.ListKind.CHANGES, [entry]))

    # Clients

    def _send_request(self, job: _ClientJob) -> None:
        """Send a client's request to one of the running schedulers, for the first time or as a retry."""
        traced, now = job.traced, self.engine.now
        job.tries += 1
        if job.tries == 1:
            job.began_us = now
        self._last_number += 1
        number, kind = self._last_number, self.kind_index[traced.kind]
        candidates = [n for n in self.nodes if n.alive]
        if not candidates:
            self._retry(job, 0, 0)
            return
        rng = stream(self.seed, CLIENTS, traced.number, job.tries)
        node = self._choose_scheduler(candidates, rng)
        self._emit(EventType.REQUESTED, str(number), kind=traced.kind)
        self._count_in_system(1)
        sent_at_us = now
        answered = [False]

        def answer(status: int, retry_after_us: int) -> None:
            if answered[0]:
                return
            answered[0] = True
            self._emit(EventType.ANSWERED, str(number), status=status, kind=traced.kind)
            self._count_in_system(-1)
            self._stays_us.append(self.engine.now - sent_at_us)
            self.result.statuses[status] = self.result.statuses.get(status, 0) + 1
            if status == 200:
                self._record_success(job, self.engine.now - sent_at_us)
            else:
                self._retry(job, status, retry_after_us)

        def disconnect() -> None:
            """Disconnect without an answer: the scheduler has crashed or exceeds the deadline."""
            if not answered[0]:
                answered[0] = True
                self._emit(EventType.CLIENT_DISCONNECTED, str(number))
                self._count_in_system(-1)
                self._stays_us.append(self.engine.now - sent_at_us)
                if node.alive:
                    node.client_disconnected(number)
                self._retry(job, 0, 0)

        deadline_us = int(traced.deadline_us or self.d.traffic.kinds[kind].deadline_ms * 1000)
        arrival = Arrival(
            number, kind, traced.tenant, traced.work_us, deadline_us, job.tries > 1, traced.program
        )
        self.engine.after(self.d.fleet.near_ms * 1000, node.receive_request, arrival, answer)
        self.engine.after(deadline_us + 100_000, disconnect)

    def _choose_scheduler(self, candidates: list[Node], rng: np.random.Generator) -> Node:
        """Choose a scheduler at random in proportion to the shares, as a load balancer before them does."""
        if not self.d.traffic.scheduler_skew:
            return candidates[int(rng.integers(len(candidates)))]
        shares = np.array([self.node_shares[node.name] for node in candidates])
        return candidates[int(np.searchsorted(np.cumsum(shares), rng.random() * shares.sum()))]

    def _record_success(self, job: _ClientJob, took_us: int) -> None:
        kind = self.d.traffic.kinds[self.kind_index[job.traced.kind]]
        job.done = True
        limit = kind.aim_ms * 1000 + kind.stretch * job.traced.work_us
        job.in_time = took_us <= limit
        self.result.latencies.setdefault(job.traced.kind, []).append(took_us / 1000)

    def _retry(self, job: _ClientJob, status: int, retry_after_us: int) -> None:
        """Plan the client's next try after a failed one, if it has retries left.

        A job that must not run twice is retried only after a refusal, as it may have run after any other
        failure.
        """
        kind = self.d.traffic.kinds[self.kind_index[job.traced.kind]]
        safe = kind.repeat == "retryable" or status in REFUSAL_STATUSES
        if job.tries > self._clients["retries"] or not safe:
            return
        rng = stream(self.seed, CLIENTS, job.traced.number, 1000 + job.tries)
        back_off_ms = self._clients["back_off_ms"] * self._clients["back_off_factor"] ** (job.tries - 1)
        wait_us = back_off_ms * 1000 * float(rng.uniform(0.5, 1.5))
        if retry_after_us and rng.random() < self._clients["heed"]:
            wait_us = retry_after_us
        self.engine.after(wait_us, self._send_request, job)

    def _count_in_system(self, change: int) -> None:
        now = self.engine.now
        self._in_system_sum += self._in_system * (now - self._in_system_at_us)
        self._in_system, self._in_system_at_us = self._in_system + change, now

    # Faults

    def _plan_fault(self, fault: Fault, number: int) -> None:
        at, end = START_US + fault.at_s * S, START_US + (fault.at_s + fault.for_s) * S
        rng = stream(self.seed, FAULTS, number)
        workers = list(self.workers.values())
        count = max(1, round(fault.part * len(workers)))
        affected = [workers[i] for i in sorted(rng.permutation(len(workers))[:count])]
        match fault.kind:
            case "silent":
                for worker in affected:
                    self.engine.at(int(at + rng.uniform(0, 0.2 * S)), worker.fail_silently)
                    self.engine.at(int(end + rng.uniform(0, 0.2 * S)), self._restart_worker, worker)
            case "slow":
                for worker in affected:
                    self.engine.at(int(at), worker.set_slowdown, fault.size)
                    self.engine.at(int(end), worker.set_slowdown, 1.0)
            case "release":
                gap = fault.for_s * S / max(1, len(affected))
                for i, worker in enumerate(affected):
                    self.engine.at(int(at + i * gap), self._release_worker, worker)
            case "drain":
                for worker in affected:
                    self.engine.at(int(at), self._drain_worker, worker)
                    self.engine.at(int(end), self._restart_worker, worker)
            case "errors":
                for worker in affected:
                    self.engine.at(int(at), setattr, worker, "error_share", min(1.0, fault.size))
                    self.engine.at(int(end), setattr, worker, "error_share", 0.0)
            case "partition":
                self._plan_partition(int(at), int(end))
            case "discovery":
                self.engine.at(int(at), self._set_discovery_down, True)
                self.engine.at(int(end), self._set_discovery_down, False)
            case "crash":
                count = max(1, round(fault.part * len(self.nodes)))
                for index in sorted(rng.permutation(len(self.nodes))[:count]):
                    self.engine.at(int(at), self.nodes[int(index)].crash)
                    self.engine.at(int(end), self._restart_node, int(index))
            case "surge":
                pass  # the trace contains the surge

    def _plan_partition(self, at: int, end: int) -> None:
        """Disconnect the last zone from all others for a time."""
        last = len(self.zones) - 1
        for worker in self.workers.values():
            others = {z for z in range(len(self.zones)) if (z == last) != (worker.zone == last)}
            self.engine.at(at, worker.unreachable_zones.update, others)
            self.engine.at(end, worker.unreachable_zones.difference_update, others)

    def _restart_worker(self, worker: Worker) -> None:
        worker.restart_cold()
        self.publish_entry(worker)

    def _release_worker(self, worker: Worker) -> None:
        worker.restart()
        self.publish_entry(worker)

    def _drain_worker(self, worker: Worker) -> None:
        worker.drain()
        self.publish_entry(worker)

    def _set_discovery_down(self, down: bool) -> None:
        self.discovery_down = down
        if down:
            for node in self.nodes:
                if node.subscribed:
                    node.update_workers(api.WorkersListed(api.ListKind.FAILED))

    def _restart_node(self, index: int) -> None:
        self.nodes[index] = self._make_node(index)
        self._start_node(self.nodes[index])

    def _start_node(self, node: Node) -> None:
        node.start()
        known = [self._entry(w) for w in self.workers.values()]
        node.update_workers(api.WorkersListed(api.ListKind.CACHED, known))

    # Run and result

    def play(self) -> Result:
        """Run the simulation and return its result. The checker evaluates its rules on the journal alone."""
        for number, fault in enumerate(self.d.troubles):
            self._plan_fault(fault, number)
        for node in self.nodes:
            self._start_node(node)
        for traced in self.trace.requests:
            job = _ClientJob(traced)
            self._jobs.append(job)
            self.engine.at(START_US + traced.at_us, self._send_request, job)
        longest = max(k.deadline_ms for k in self.d.traffic.kinds) / 1000
        tries = 1 + int(self._clients["retries"])
        end_s = self.d.seconds + min(600.0, tries * (longest + 3.0) + END_MARGIN_S)
        self.engine.run(START_US + int(end_s * S))
        return self._summarize()

    def _summarize(self) -> Result:
        r = self.result
        warm = self.d.warm_s * S
        kinds: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        tenants: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for job in self._jobs:
            traced = job.traced
            if traced.at_us < warm:
                continue
            kind: JobKind = self.d.traffic.kinds[self.kind_index[traced.kind]]
            worth = kind.worth * traced.work_us / S
            served = worth * job.in_time
            r.firsts, r.wanted, r.served = r.firsts + 1, r.wanted + worth, r.served + served
            for table, key in (
                (kinds, traced.kind), (tenants, traced.tenant), (windows, int(traced.at_us / S / WINDOW_S)),
            ):  # fmt: skip
                entry = table[key]  # type: ignore[index]
                entry[0], entry[1] = entry[0] + worth, entry[1] + served
        r.by_kind = {k: (v[0], v[1]) for k, v in sorted(kinds.items())}
        r.by_tenant = {k: (v[0], v[1]) for k, v in sorted(tenants.items())}
        shares = [v[1] / v[0] if v[0] else 1.0 for _, v in sorted(windows.items())]
        r.windows, r.worst_window = shares, min(shares, default=1.0)
        refused: Counter[str] = Counter()
        for node in self.nodes:
            r.tries, r.crossings = r.tries + node.counts.tries, r.crossings + node.counts.crossings
            r.probes, r.connects = r.probes + node.counts.probes, r.connects + node.counts.connects
            refused.update(node.counts.refused)
        r.refused = dict(sorted(refused.items()))
        r.wasted_s = sum(w.wasted_us for w in self.workers.values()) / S
        r.busy_s = sum(w.busy_us for w in self.workers.values()) / S
        unsafe = [k.name for k in self.d.traffic.kinds if k.repeat == "fragile"]
        r.broken = find_violations(self.journal, unsafe)
        self._count_in_system(0)
        span = self.engine.now - START_US
        r.mean_present = self._in_system_sum / span
        r.mean_stay_s = sum(self._stays_us) / len(self._stays_us) / S if self._stays_us else 0.0
        r.arrival_rate = len(self._stays_us) / (span / S)
        r.steps = self.engine.steps
        return r

    def _emit(
        self, what: EventType, request: str = "", worker: str = "", status: int = 0, kind: str = ""
    ) -> None:
        self.journal.events.append(Event(self.engine.now / 1e6, what, request, worker, status, kind))
