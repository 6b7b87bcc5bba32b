"""Voters and observers of the control group on a simulated network: real state machines, a test clock.

Links are ordered, as connections are: a lost message arrives late, and so do all messages after it. A
partition delays messages in flight until it heals, among them the end of a connection. Every process has a
monotonic clock with an offset and a rate of its own.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from robinhill.control.actions import Action, Apply, Connect, Disconnect, LeaseChanged, Progressed, Send
from robinhill.control.observer import Observer
from robinhill.control.options import Place, VotersKeys, observer_options, voter_options
from robinhill.control.voter import Voter
from robinhill.cordon.propagation import Mode
from robinhill.mesh.options import VoterPlace
from robinhill.mesh.records import Kind, Record
from robinhill.mesh.replica import Replica

HOUR_US = 3_600_000_000
EPOCH_US = 1_700_000_000_000_000
CONNECT_TIMEOUT_US = 1_000_000
RETRANSMIT_US = 200_000
CHECK_US = 10_000
MAX_CLOCK_RATE_PPM = 200

_pack = msgspec.msgpack.Encoder().encode
_unpack = msgspec.msgpack.Decoder(int).decode


def number_kind(name: str, bound: int = 20_000) -> Kind[int]:
    """Records that hold a number; the larger one wins."""
    return Kind(name, _pack, _unpack, max, lifetime_us=24 * HOUR_US, bound=bound)


CORDON, NOTE = "cordon", "note"
URGENT = {CORDON}


@dataclass(slots=True)
class Connection:
    """Two ends; ``ready_us``: when the last message of each direction arrives, as messages stay in order."""

    number: int
    ends: tuple[str, str]
    starts: tuple[int, int]
    up: bool = True
    ready_us: dict[str, int] = field(default_factory=dict)
    delayed: list[tuple[str, bytes | None]] = field(default_factory=list)  # by a cut, with their receivers

    def other(self, name: str) -> str:
        return self.ends[1] if name == self.ends[0] else self.ends[0]


@dataclass(slots=True)
class Process:
    """One process: a machine, its clock, what it is connected to."""

    name: str
    place: Place
    machine: Voter | Observer
    replica: Replica
    incarnation: int
    offset_us: int
    rate: int
    connections: set[int] = field(default_factory=set)
    alive: bool = True
    tick_us: int = 0
    sent: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    steps: int = 0
    as_of_us: int = -(1 << 62)
    keys: int = 0
    checked: int = 0  # changes that the rules were asked of, or are in `unknown`
    unknown: list["Change"] = field(default_factory=list)  # changes that it is not yet seen to hold

    def mono_us(self, at_us: int) -> int:
        return self.offset_us + at_us + at_us * self.rate // 1_000_000


@dataclass(slots=True)
class Change:
    """A change that some process was asked for."""

    owner: str
    number: int
    record: Record
    requested_us: int
    accepted_us: int | None = None
    in_force_us: int | None = None
    lagging_count: int = -1
    lagging_names: tuple[str, ...] = ()


class Network:
    """All processes. ``regions``: of each voter. Time is `at_us`, from 0."""

    def __init__(
        self,
        voters: int,
        observers: int,
        *,
        regions: int = 1,
        seed: int = 1,
        bound_ms: int = 2_000,
        on_lost: Mode = Mode.HOLD,
        by_kind: dict[str, Mode] | None = None,
        delay_us: int = 2_000,
        between_us: int = 40_000,
        loss: float = 0.0,
        note_capacity: dict[str, int] | None = None,  # of a process for notes
    ) -> None:
        self.note_capacity = note_capacity or {}
        self.rng = Random(seed)
        self.at_us = 0
        self.bound_us = bound_ms * 1000
        self.delay_us, self.between_us, self.loss = delay_us, between_us, loss
        self.regions = [f"r{i}" for i in range(regions)]
        self.keys = VotersKeys(
            voters={f"v{i:02}": self.voter_place(i) for i in range(voters)},
            on_lost_by_kind=by_kind or {},
            bound_ms=bound_ms,
            on_lost=on_lost,
        )
        self.processes: dict[str, Process] = {}
        self.connections: dict[int, Connection] = {}
        self.changes: list[Change] = []
        self._by_number: dict[tuple[str, int, int], Change] = {}
        self.broken: list[str] = []
        self.actions: Counter[str] = Counter()
        self.cuts: set[frozenset[str]] = set()  # pairs of regions or names that do not reach each other
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._links = itertools.count(1)
        self._start = 0
        self.checking = True
        for name in self.keys.voters:
            self.start_voter(name)
        for i in range(observers):
            self.start_observer(f"s{i:04}", self.observer_place(i))
        self._after(CHECK_US, self._check)

    def voter_place(self, index: int) -> VoterPlace:
        region = self.regions[index % len(self.regions)]
        return VoterPlace(f"10.0.0.{index + 1}:7400", region, f"{region}-z{index // len(self.regions)}")

    def observer_place(self, index: int) -> Place:
        region = self.regions[index % len(self.regions)]
        return Place(region, f"{region}-z{index // len(self.regions) % 2}")

    # Processes

    def start_voter(self, name: str, keys: VotersKeys | None = None) -> Voter:
        """A voter that holds nothing: what lay on its disk is lost."""
        options = voter_options(keys or self.keys, name)
        place = (keys or self.keys).voters[name]
        replica, incarnation = self._replica(name)
        offset_us, rate = self._clock()
        mono_us = offset_us + self.at_us + self.at_us * rate // 1_000_000
        machine = Voter(options, incarnation, replica, URGENT, Random(self.rng.random()), mono_us)
        where = Place(place.region, place.zone)
        self._add(Process(name, where, machine, replica, incarnation, offset_us, rate))
        return machine

    def start_observer(self, name: str, place: Place) -> Observer:
        options = observer_options(self.keys, name, place)
        replica, incarnation = self._replica(name)
        offset_us, rate = self._clock()
        mono_us = offset_us + self.at_us + self.at_us * rate // 1_000_000
        machine = Observer(options, incarnation, replica, Random(self.rng.random()), mono_us)
        self._add(Process(name, place, machine, replica, incarnation, offset_us, rate))
        return machine

    def _replica(self, name: str) -> tuple[Replica, int]:
        self._start += 1
        kinds = [number_kind(CORDON), number_kind(NOTE, self.note_capacity.get(name, 20_000))]
        return Replica(name, self._start, kinds), self._start

    def _clock(self) -> tuple[int, int]:
        return self.rng.randrange(1 << 40), self.rng.randint(-MAX_CLOCK_RATE_PPM, MAX_CLOCK_RATE_PPM)

    def _add(self, process: Process) -> None:
        self.processes[process.name] = process
        self._act(process, process.machine.start(self.now_us, process.mono_us(self.at_us)))

    def crash(self, name: str) -> None:
        """The process ends without a goodbye; its host closes the connections that are not cut."""
        process = self.processes.pop(name)
        process.alive = False
        for number in sorted(process.connections):
            connection = self.connections[number]
            self._send_end(connection, connection.other(name))

    def restart(self, name: str) -> None:
        """Crash, and start without memory."""
        place, voter = self.processes[name].place, isinstance(self.processes[name].machine, Voter)
        self.crash(name)
        if voter:
            self.start_voter(name)
        else:
            self.start_observer(name, place)

    def leave(self, name: str) -> None:
        """An observer says goodbye and ends."""
        process = self.processes[name]
        machine = process.machine
        assert isinstance(machine, Observer)
        self._act(process, machine.goodbye())
        del self.processes[name]
        process.alive = False

    def voter(self, name: str) -> Voter:
        machine = self.processes[name].machine
        assert isinstance(machine, Voter)
        return machine

    def observer(self, name: str) -> Observer:
        machine = self.processes[name].machine
        assert isinstance(machine, Observer)
        return machine

    def observers(self) -> list[Process]:
        return [one for one in self.processes.values() if isinstance(one.machine, Observer)]

    def voters(self) -> list[Process]:
        return [one for one in self.processes.values() if isinstance(one.machine, Voter)]

    def mono_us(self, name: str) -> int:
        return self.processes[name].mono_us(self.at_us)

    @property
    def now_us(self) -> int:
        return EPOCH_US + self.at_us

    # Faults

    def cut(self, one: str, other: str) -> None:
        """Two regions, or processes, do not reach each other from now on."""
        self.cuts.add(frozenset((one, other)))

    def isolate(self, region: str) -> None:
        """A region is cut off from all others."""
        for other in self.regions:
            if other != region:
                self.cut(region, other)

    def heal(self) -> None:
        """All cuts end; what was held goes on."""
        self.cuts.clear()
        for connection in list(self.connections.values()):
            delayed, connection.delayed = connection.delayed, []
            for receiver, data in delayed:
                self._transmit(connection, receiver, data)

    def is_cut(self, one: str, other: str) -> bool:
        if not self.cuts:
            return False
        a, b = self._labels(one), self._labels(other)
        return any(frozenset((x, y)) in self.cuts for x in a for y in b if x != y)

    def _labels(self, name: str) -> tuple[str, ...]:
        process = self.processes.get(name)
        return (name, process.place.region) if process is not None else (name,)

    # Changes

    def write(self, name: str, kind: str, key: str, value: int = 1) -> Change:
        """Ask a process for a change and follow it."""
        process = self.processes[name]
        mono_us = process.mono_us(self.at_us)
        number, record, actions = process.machine.write(self.now_us, mono_us, kind, key, value)
        change = Change(name, number, record, self.at_us)
        self.changes.append(change)
        self._by_number[name, process.incarnation, number] = change
        self._act(process, actions)
        return change

    def call(self, name: str, what: Callable[[Any, int, int], list[Action]]) -> None:
        """Another call of a machine, with both clocks."""
        process = self.processes[name]
        self._act(process, what(process.machine, self.now_us, process.mono_us(self.at_us)))

    # Time

    def run(self, for_us: int) -> None:
        """Let time go on."""
        end_us = self.at_us + for_us
        while self._events and self._events[0][0] <= end_us:
            self.at_us, _, action = heapq.heappop(self._events)
            action()
        self.at_us = end_us

    def run_until(self, met: Callable[[], bool], within_us: int) -> int:
        """Let time go on until something is so. Returns how long it took; AssertionError in time."""
        started_us = self.at_us
        while not met():
            assert self.at_us - started_us < within_us, f"not within {within_us / 1e6} s"
            self.run(5_000)
        return self.at_us - started_us

    def _after(self, delay_us: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.at_us + delay_us, next(self._order), action))

    # Connections and messages

    def _act(self, process: Process, actions: Iterable[Action]) -> None:
        process.steps += 1
        for action in actions:
            self.actions[type(action).__name__] += 1
            match action:
                case Send(link=link, data=data):
                    self._sent(process, link, data)
                case Connect(voter=voter):
                    self._connect(process, voter)
                case Disconnect(link=link):
                    self._disconnect(process, link)
                case Progressed():
                    self._progressed(process, action)
                case Apply() | LeaseChanged():
                    pass
        if process.alive:
            self._schedule(process)

    def _schedule(self, process: Process) -> None:
        mono_us = process.mono_us(self.at_us)
        due_us = self.at_us + max(100, process.machine.next_us(mono_us) - mono_us)
        if process.tick_us > self.at_us and process.tick_us <= due_us:
            return
        process.tick_us = due_us
        self._after(due_us - self.at_us, lambda: self._tick(process, due_us))

    def _tick(self, process: Process, due_us: int) -> None:
        if process.alive and process.tick_us == due_us:
            self._act(process, process.machine.tick(self.now_us, process.mono_us(self.at_us)))

    def _connect(self, process: Process, voter: str) -> None:
        other = self.processes.get(voter)
        if other is None or self.is_cut(process.name, voter):
            delay_us = CONNECT_TIMEOUT_US if self.is_cut(process.name, voter) else self.delay_us
            self._after(delay_us, lambda: self._failed(process, voter))
            return
        self._after(2 * self._delay(process.name, voter), lambda: self._linked(process, voter))

    def _failed(self, process: Process, voter: str) -> None:
        if process.alive:
            process.machine.failed(process.mono_us(self.at_us), voter)
            self._schedule(process)

    def _linked(self, process: Process, voter: str) -> None:
        other = self.processes.get(voter)
        if not process.alive:
            return
        if other is None or self.is_cut(process.name, voter):
            self._failed(process, voter)
            return
        number = next(self._links)
        starts = process.incarnation, other.incarnation
        self.connections[number] = Connection(number, (process.name, voter), starts)
        process.connections.add(number)
        other.connections.add(number)
        assert isinstance(other.machine, Voter)
        other.machine.accepted(other.mono_us(self.at_us), number)
        mono_us = process.mono_us(self.at_us)
        self._act(process, process.machine.linked(self.now_us, mono_us, number, voter))

    def _sent(self, process: Process, link: int, data: bytes) -> None:
        process.sent += 1
        process.bytes_out += len(data)
        connection = self.connections.get(link)
        if connection is not None and connection.up:
            self._transmit(connection, connection.other(process.name), data)

    def _disconnect(self, process: Process, link: int) -> None:
        process.connections.discard(link)
        connection = self.connections.get(link)
        if connection is not None and connection.up:
            self._send_end(connection, connection.other(process.name))

    def _send_end(self, connection: Connection, receiver: str) -> None:
        self._transmit(connection, receiver, None)
        connection.up = False

    def _transmit(self, connection: Connection, receiver: str, data: bytes | None) -> None:
        if connection.delayed or self.is_cut(*connection.ends):
            connection.delayed.append((receiver, data))
            return
        delay_us = self._delay(*connection.ends)
        if self.rng.random() < self.loss:
            delay_us += RETRANSMIT_US
        at_us = max(self.at_us + delay_us, connection.ready_us.get(receiver, 0) + 1)
        connection.ready_us[receiver] = at_us
        self._after(at_us - self.at_us, lambda: self._arrive(connection, receiver, data))

    def _arrive(self, connection: Connection, receiver: str, data: bytes | None) -> None:
        if self.is_cut(*connection.ends):
            connection.delayed.append((receiver, data))
            return
        process = self.processes.get(receiver)
        start = connection.starts[connection.ends.index(receiver)]
        if process is None or process.incarnation != start or connection.number not in process.connections:
            return
        mono_us = process.mono_us(self.at_us)
        if data is None:
            process.connections.discard(connection.number)
            self.connections.pop(connection.number, None)
            self._act(process, process.machine.unlinked(self.now_us, mono_us, connection.number))
        else:
            process.bytes_in += len(data)
            actions = process.machine.received(self.now_us, mono_us, connection.number, data)
            self._act(process, actions)

    def _delay(self, one: str, other: str) -> int:
        a, b = self.processes.get(one), self.processes.get(other)
        near = a is None or b is None or a.place.region == b.place.region
        base_us = self.delay_us if near else self.between_us
        return base_us + self.rng.randint(0, base_us // 4)

    # Rules

    def _progressed(self, process: Process, progressed: Progressed) -> None:
        change = self._by_number[process.name, process.incarnation, progressed.number]
        if progressed.accepted and change.accepted_us is None:
            change.accepted_us = self.at_us
        if progressed.in_force and change.in_force_us is None:
            change.in_force_us = self.at_us
        change.lagging_count, change.lagging_names = progressed.lagging.count, progressed.lagging.names

    def _check(self) -> None:
        if self.checking:
            self.check()
        self._after(CHECK_US, self._check)

    def check(self) -> None:
        """The rules that hold whatever happens."""
        for process in self.observers():
            self._check_monotone(process)
            machine = process.machine
            assert isinstance(machine, Observer)
            if not machine.has_lease(process.mono_us(self.at_us)):
                continue
            process.unknown += self.changes[process.checked :]
            process.checked = len(self.changes)
            process.unknown = [one for one in process.unknown if not self.knows(process, one)]
            for change in process.unknown:
                if why := self._must_know(change):
                    self.broken.append(f"{self.at_us}: {process.name} lacks {change.record.key}, {why}")

    def _must_know(self, change: Change) -> str:
        """Why whoever holds a lease must know a change by now, or nothing."""
        if change.in_force_us is not None:
            return "which is said to be in force"
        holds = self.keys.on_lost_by_kind.get(change.record.kind, self.keys.on_lost) is Mode.HOLD
        if holds and change.accepted_us is not None and self.at_us > change.accepted_us + self.bound_us:
            return "which was accepted longer than the bound ago"
        return ""

    def _check_monotone(self, process: Process) -> None:
        machine = process.machine
        assert isinstance(machine, Observer)
        as_of_us = machine.lease.as_of_us
        keys = sum(number for number, _ in process.replica.sizes().values())
        if keys < process.keys or (as_of_us is not None and as_of_us < process.as_of_us):
            self.broken.append(f"{self.at_us}: {process.name} went back in time")
        process.keys = keys
        if as_of_us is not None:
            process.as_of_us = as_of_us

    def knows(self, process: Process, change: Change) -> bool:
        """Whether a process holds a change, or a later value of its record."""
        delayed = process.replica.record(*change.record.name)
        return delayed is not None and _unpack(delayed.value) >= _unpack(change.record.value)

    def know_all(self, change: Change) -> bool:
        return all(self.knows(one, change) for one in self.processes.values())

    def leased(self) -> bool:
        """Whether all observers hold their lease."""
        return all(
            one.machine.has_lease(one.mono_us(self.at_us))
            for one in self.observers()
            if isinstance(one.machine, Observer)
        )

    def settled(self) -> bool:
        """Whether all observers are synchronized and have a spare link, where there is more than one
        voter."""
        spare = len(self.voters()) > 1
        return all(
            one.machine.synchronized and (one.machine.spare_voter is not None or not spare)
            for one in self.observers()
            if isinstance(one.machine, Observer)
        )
