"""One run of the model: traffic, fleet, troubles and schedulers, and what came of it.

All chance comes from one seed, by a tree of streams: arrivals, fleet, troubles and clients each have their
own, keyed by what they are for and not by the order in which they are used. So two sides meet the same
arrivals, workers and troubles, and a stream that one side's behaviour draws from more often changes nothing
for the rest (common random numbers).
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
from robinhill.checker.journal import Event, Journal, What
from robinhill.checker.rules import broken
from robinhill.logic import Balancer
from robinhill.model.describe import Description, DescriptionError, Fault, JobKind
from robinhill.model.engine import Engine
from robinhill.model.node import IDLE_RETIREMENT_SHARE, Arrival, DecisionModule, Node
from robinhill.model.trace import Asked, Trace
from robinhill.model.workers import Worker

S = 1_000_000
START_US = 1_000_000_000 * S  # an hour on the clock of Unix, as the module gets on a site
WINDOW_S = 10.0  # of the worst stretch
REFUSALS = (429, 503)
REPEATS = {"retryable": api.Repeat.SAFE, "fragile": api.Repeat.UNSAFE}
FLEET, TRAFFIC, TROUBLES, CLIENTS, NODES, ERRORS, LISTS = range(7)  # branches of the seed's tree
END_S = 40.0  # after the last arrival everything that was asked for has ended


def stream(seed: int, *keys: int) -> np.random.Generator:
    """The stream of chance for what these keys name."""
    return np.random.default_rng(np.random.SeedSequence(entropy=seed, spawn_key=keys))


@dataclass(slots=True)
class Side:
    """What is compared: the module (of this tree, or one that ``module`` makes), its settings and the
    admission's.
    """

    name: str = "this"
    settings: dict[str, Any] = field(default_factory=dict)  # of api.Settings, by field
    admission: AdmissionOptions | None = None
    clients: dict[str, Any] = field(default_factory=dict)  # of the description's clients, by key
    module: Callable[[api.Settings, int], DecisionModule] | None = None


@dataclass(slots=True)
class Result:
    """What a run shows. Worth is in the classes' worth times core seconds, latencies in milliseconds."""

    seed: int
    wanted: float = 0.0
    served: float = 0.0
    by_kind: dict[str, tuple[float, float]] = field(default_factory=dict)  # wanted, served
    by_tenant: dict[int, tuple[float, float]] = field(default_factory=dict)
    worst_window: float = 1.0
    firsts: int = 0
    tries: int = 0
    crossings: int = 0
    probes: int = 0
    connects: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    wasted_s: float = 0.0
    busy_s: float = 0.0
    latencies: dict[str, list[float]] = field(default_factory=dict)
    windows: list[float] = field(default_factory=list)  # served worth over wanted, by windows of arrival
    broken: list[str] = field(default_factory=list)
    mean_present: float = 0.0  # requests in the system, for Little's law
    mean_stay_s: float = 0.0
    arrival_rate: float = 0.0
    steps: int = 0

    @property
    def share(self) -> float:
        """Served worth over what was asked for."""
        return self.served / self.wanted if self.wanted else 1.0


@dataclass(slots=True, eq=False)
class _Wish:
    """What a client wants: one job, in one or more tries."""

    asked: Asked
    tries: int = 0
    done: bool = False
    in_time: bool = False
    began_us: int = 0


class World:
    """A run. Build it, ``play`` it, read its result."""

    def __init__(self, description: Description, trace: Trace, side: Side, seed: int) -> None:
        self.d, self.trace, self.side, self.seed = description, trace, side, seed
        self.engine = Engine(START_US)
        self.journal = Journal()
        self.result = Result(seed)
        self.discovery_down = False
        self.zones = list(description.fleet.zones)
        self._numbers = 0
        self._present, self._present_at, self._present_sum = 0, START_US, 0.0
        self._stays: list[int] = []
        self._wishes: list[_Wish] = []
        self._clients = {**asdict(description.clients), **side.clients}
        kinds = {k.name: i for i, k in enumerate(description.traffic.kinds)}
        for asked in trace.asked:
            if asked.kind not in kinds:
                raise DescriptionError(f"trace: class {asked.kind!r} is not among traffic.kinds")
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
                stretch=k.stretch, repeat=REPEATS[k.repeat],
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
            raise DescriptionError(f"side {self.side.name}: no such setting: {', '.join(sorted(unknown))}")
        return api.Settings(**(values | self.side.settings))

    def _make_workers(self) -> list[Worker]:
        rng = stream(self.seed, FLEET)
        made: list[Worker] = []
        for kind, machine in enumerate(self.d.fleet.machines):
            for _ in range(machine.count):
                speed = float(rng.uniform(*machine.speed))
                number = len(made)
                zone = number % len(self.zones)
                made.append(
                    Worker(
                        f"w{number}", zone, kind, machine, speed, self.d.fleet, self.engine, self.journal
                    )
                )  # fmt: skip
        return made

    def _make_node(self, number: int) -> Node:
        zone = number % len(self.zones)
        settings = replace(self.settings, zone=zone)
        seed = int(stream(self.seed, NODES, number).integers(1 << 60))
        make = self.side.module or Balancer
        admission = None
        if self.side.admission and self.side.admission.enabled:
            admission = Admission(settings, self.side.admission, seed, number.to_bytes(16))
        fleet = self.d.fleet

        def way(a: int, b: int) -> float:
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
            way,
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
            self.engine.after(delay / 4, self._tell_all, node)

    def _tell_all(self, node: Node) -> None:
        node.update_workers(
            api.WorkersListed(api.ListKind.FULL, [self._entry(w) for w in self.workers.values()])
        )

    def _list_delay(self) -> float:
        low, high = self.d.fleet.list_delay_s
        rng = stream(self.seed, LISTS, self.engine.now % (1 << 40))
        return float(rng.uniform(low, high)) * S

    def changed(self, worker: Worker) -> None:
        """A worker's entry has changed: schedulers that watch hear of it late."""
        entry = self._entry(worker)
        self.engine.after(self._list_delay(), self._tell_change, entry)

    def _tell_change(self, entry: api.Worker) -> None:
        if self.discovery_down:
            self.engine.after(S, self._tell_change, entry)
            return
        if entry.state is not api.WorkerState.READY:
            self._emit(What.DRAINING, worker=entry.address)
        for node in self.nodes:
            if node.subscribed:
                node.update_workers(api.WorkersListed(api.ListKind.CHANGES, [entry]))

    # Clients

    def _ask(self, wish: _Wish) -> None:
        """A client's try, at a scheduler of its choice that lives."""
        asked, now = wish.asked, self.engine.now
        wish.tries += 1
        if wish.tries == 1:
            wish.began_us = now
        self._numbers += 1
        number, kind = self._numbers, self.kind_index[asked.kind]
        candidates = [n for n in self.nodes if n.alive]
        if not candidates:
            self._failed(wish, 0, 0)
            return
        rng = stream(self.seed, CLIENTS, asked.number, wish.tries)
        node = self._choose(candidates, rng)
        self._emit(What.REQUESTED, str(number), kind=asked.kind)
        self._count_present(1)
        since = now
        answered = [False]

        def answer(status: int, wait_us: int) -> None:
            if answered[0]:
                return
            answered[0] = True
            self._emit(What.ANSWERED, str(number), status=status, kind=asked.kind)
            self._count_present(-1)
            self._stays.append(self.engine.now - since)
            self.result.statuses[status] = self.result.statuses.get(status, 0) + 1
            if status == 200:
                self._served(wish, self.engine.now - since)
            else:
                self._failed(wish, status, wait_us)

        def give_up() -> None:
            """Its scheduler has died, or owes it an answer past its time."""
            if not answered[0]:
                answered[0] = True
                self._emit(What.CLIENT_DISCONNECTED, str(number))
                self._count_present(-1)
                self._stays.append(self.engine.now - since)
                if node.alive:
                    node.client_disconnected(number)
                self._failed(wish, 0, 0)

        deadline = int(asked.deadline_us or self.d.traffic.kinds[kind].deadline_ms * 1000)
        arrival = Arrival(number, kind, asked.tenant, asked.work_us, deadline, wish.tries > 1, asked.program)
        self.engine.after(self.d.fleet.near_ms * 1000, node.receive_request, arrival, answer)
        self.engine.after(deadline + 100_000, give_up)

    def _choose(self, candidates: list[Node], rng: np.random.Generator) -> Node:
        """The scheduler that the front gives a client; where they have unequal shares, by the share."""
        if not self.d.traffic.scheduler_skew:
            return candidates[int(rng.integers(len(candidates)))]
        shares = np.array([self.node_shares[node.name] for node in candidates])
        return candidates[int(np.searchsorted(np.cumsum(shares), rng.random() * shares.sum()))]

    def _served(self, wish: _Wish, took_us: int) -> None:
        kind = self.d.traffic.kinds[self.kind_index[wish.asked.kind]]
        wish.done = True
        limit = kind.aim_ms * 1000 + kind.stretch * wish.asked.work_us
        wish.in_time = took_us <= limit
        self.result.latencies.setdefault(wish.asked.kind, []).append(took_us / 1000)

    def _failed(self, wish: _Wish, status: int, wait_us: int) -> None:
        """Try again, as clients do: unsafe jobs only after a refusal."""
        kind = self.d.traffic.kinds[self.kind_index[wish.asked.kind]]
        safe = kind.repeat == "retryable" or status in REFUSALS
        if wish.tries > self._clients["retries"] or not safe:
            return
        rng = stream(self.seed, CLIENTS, wish.asked.number, 1000 + wish.tries)
        back_off = self._clients["back_off_ms"] * self._clients["back_off_factor"] ** (wish.tries - 1)
        wait = back_off * 1000 * float(rng.uniform(0.5, 1.5))
        if wait_us and rng.random() < self._clients["heed"]:
            wait = wait_us
        self.engine.after(wait, self._ask, wish)

    def _count_present(self, change: int) -> None:
        now = self.engine.now
        self._present_sum += self._present * (now - self._present_at)
        self._present, self._present_at = self._present + change, now

    # Troubles

    def _plan(self, trouble: Fault, number: int) -> None:
        at, end = START_US + trouble.at_s * S, START_US + (trouble.at_s + trouble.for_s) * S
        rng = stream(self.seed, TROUBLES, number)
        workers = list(self.workers.values())
        count = max(1, round(trouble.part * len(workers)))
        struck = [workers[i] for i in sorted(rng.permutation(len(workers))[:count])]
        match trouble.kind:
            case "silent":
                for worker in struck:
                    self.engine.at(int(at + rng.uniform(0, 0.2 * S)), worker.vanish)
                    self.engine.at(int(end + rng.uniform(0, 0.2 * S)), self._come_back, worker)
            case "slow":
                for worker in struck:
                    self.engine.at(int(at), worker.pace, trouble.size)
                    self.engine.at(int(end), worker.pace, 1.0)
            case "release":
                gap = trouble.for_s * S / max(1, len(struck))
                for i, worker in enumerate(struck):
                    self.engine.at(int(at + i * gap), self._release, worker)
            case "drain":
                for worker in struck:
                    self.engine.at(int(at), self._drain, worker)
                    self.engine.at(int(end), self._come_back, worker)
            case "errors":
                for worker in struck:
                    self.engine.at(int(at), setattr, worker, "error_share", min(1.0, trouble.size))
                    self.engine.at(int(end), setattr, worker, "error_share", 0.0)
            case "partition":
                self._plan_partition(int(at), int(end))
            case "discovery":
                self.engine.at(int(at), self._discovery, True)
                self.engine.at(int(end), self._discovery, False)
            case "crash":
                count = max(1, round(trouble.part * len(self.nodes)))
                for index in sorted(rng.permutation(len(self.nodes))[:count]):
                    self.engine.at(int(at), self.nodes[int(index)].crash)
                    self.engine.at(int(end), self._restart_node, int(index))
            case "surge":
                pass  # it is in the trace

    def _plan_partition(self, at: int, end: int) -> None:
        """The last zone is cut off from the others."""
        last = len(self.zones) - 1
        for worker in self.workers.values():
            others = {z for z in range(len(self.zones)) if (z == last) != (worker.zone == last)}
            self.engine.at(at, worker.unreachable_zones.update, others)
            self.engine.at(end, worker.unreachable_zones.difference_update, others)

    def _come_back(self, worker: Worker) -> None:
        worker.come_back()
        self.changed(worker)

    def _release(self, worker: Worker) -> None:
        worker.restart()
        self.changed(worker)

    def _drain(self, worker: Worker) -> None:
        worker.drain()
        self.changed(worker)

    def _discovery(self, down: bool) -> None:
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

    # Playing

    def play(self) -> Result:
        """Let it all happen, and sum it up. The rules are checked from the journal alone."""
        for number, trouble in enumerate(self.d.troubles):
            self._plan(trouble, number)
        for node in self.nodes:
            self._start_node(node)
        for asked in self.trace.asked:
            wish = _Wish(asked)
            self._wishes.append(wish)
            self.engine.at(START_US + asked.at_us, self._ask, wish)
        longest = max(k.deadline_ms for k in self.d.traffic.kinds) / 1000
        tries = 1 + int(self._clients["retries"])
        end_s = self.d.seconds + min(600.0, tries * (longest + 3.0) + END_S)
        self.engine.run(START_US + int(end_s * S))
        return self._sum_up()

    def _sum_up(self) -> Result:
        r = self.result
        warm = self.d.warm_s * S
        kinds: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        tenants: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for wish in self._wishes:
            asked = wish.asked
            if asked.at_us < warm:
                continue
            kind: JobKind = self.d.traffic.kinds[self.kind_index[asked.kind]]
            worth = kind.worth * asked.work_us / S
            got = worth * wish.in_time
            r.firsts, r.wanted, r.served = r.firsts + 1, r.wanted + worth, r.served + got
            for table, key in (
                (kinds, asked.kind), (tenants, asked.tenant), (windows, int(asked.at_us / S / WINDOW_S)),
            ):  # fmt: skip
                entry = table[key]  # type: ignore[index]
                entry[0], entry[1] = entry[0] + worth, entry[1] + got
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
        r.broken = broken(self.journal, unsafe)
        self._count_present(0)
        span = self.engine.now - START_US
        r.mean_present = self._present_sum / span
        r.mean_stay_s = sum(self._stays) / len(self._stays) / S if self._stays else 0.0
        r.arrival_rate = len(self._stays) / (span / S)
        r.steps = self.engine.steps
        return r

    def _emit(self, what: What, request: str = "", worker: str = "", status: int = 0, kind: str = "") -> None:
        self.journal.events.append(Event(self.engine.now / 1e6, what, request, worker, status, kind))
