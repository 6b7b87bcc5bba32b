"""Voters and observers of the control group on a simulated network: real state machines, a test clock.

Connections deliver messages in order: a lost message arrives late, and so do all messages after it. A
partition delays messages in flight, and the notice that a connection was closed, until the partition heals.
Every process has a monotonic clock with its own offset and rate.
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
RETRANSMIT_DELAY_US = 200_000
CHECK_INTERVAL_US = 10_000
MAX_CLOCK_RATE_PPM = 200

_pack = msgspec.msgpack.Encoder().encode
_unpack = msgspec.msgpack.Decoder(int).decode


def number_kind(name: str, bound: int = 20_000) -> Kind[int]:
    """Return a record kind whose values are numbers; a merge selects the larger one."""
    return Kind(name, _pack, _unpack, max, lifetime_us=24 * HOUR_US, bound=bound)


CORDON, NOTE = "cordon", "note"
URGENT = {CORDON}


@dataclass(slots=True)
class Connection:
    """A connection between two processes.

    ``incarnations``: those of the two ends when the connection was opened. ``last_arrival_us``: for each
    receiver, the arrival time of the last message under way, which later messages must not overtake.
    ``delayed``: receivers and messages that a cut delays; the message None reports that the connection was
    closed.
    """

    number: int
    ends: tuple[str, str]
    incarnations: tuple[int, int]
    up: bool = True
    last_arrival_us: dict[str, int] = field(default_factory=dict)
    delayed: list[tuple[str, bytes | None]] = field(default_factory=list)

    def opposite_end(self, name: str) -> str:
        return self.ends[1] if name == self.ends[0] else self.ends[0]


@dataclass(slots=True)
class Process:
    """A simulated process: the state machine of a voter or an observer, its clock and its connections.

    ``rate``: the deviation of its monotonic clock in parts per million. ``tick_us``: when its next tick
    is scheduled. ``steps``: the number of calls of its state machine. ``as_of_us`` and ``keys``: the time
    as of which an observer knew a majority's state (`ObserverLease.as_of_us`) and the number of its
    records, both at the last check; neither may decrease. ``checked_count``: how many elements of
    `Network.changes`, from the first one, the checks have included so far. ``missing``: the changes among
    them that the replica had not stored at the last check.
    """

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
    checked_count: int = 0
    missing: list["Change"] = field(default_factory=list)

    def mono_us(self, at_us: int) -> int:
        return self.offset_us + at_us + at_us * self.rate // 1_000_000


@dataclass(slots=True)
class Change:
    """A change that was written at process ``owner``, and its progress as that process reports it."""

    owner: str
    number: int
    record: Record
    requested_us: int
    accepted_us: int | None = None
    in_force_us: int | None = None
    lagging_count: int = -1
    lagging_names: tuple[str, ...] = ()


class Network:
    """The processes, their connections and the simulated time `at_us`, which starts at 0.

    ``regions``: the number of regions, to which voters and observers are assigned in turn. ``delay_us`` and
    ``cross_region_delay_us``: the minimum delay of a message within and between regions. ``loss``: the
    fraction of messages that are retransmitted. ``note_capacity``: for each process named there, the maximum
    number of records of the kind NOTE that it accepts from its own writes (20,000 for the other processes).
    """

    def __init__(
        self,
        voters: int,
        observers: int,
        *,
        regions: int = 1,
        seed: int = 1,
        bound_ms: int = 2_000,
        on_lost: Mode = Mode.HOLD,
        on_lost_by_kind: dict[str, Mode] | None = None,
        delay_us: int = 2_000,
        cross_region_delay_us: int = 40_000,
        loss: float = 0.0,
        note_capacity: dict[str, int] | None = None,
    ) -> None:
        self.note_capacity = note_capacity or {}
        self.rng = Random(seed)
        self.at_us = 0
        self.bound_us = bound_ms * 1000
        self.delay_us, self.cross_region_delay_us, self.loss = delay_us, cross_region_delay_us, loss
        self.regions = [f"r{i}" for i in range(regions)]
        self.keys = VotersKeys(
            voters={f"v{i:02}": self.voter_place(i) for i in range(voters)},
            on_lost_by_kind=on_lost_by_kind or {},
            bound_ms=bound_ms,
            on_lost=on_lost,
        )
        self.processes: dict[str, Process] = {}
        self.connections: dict[int, Connection] = {}
        self.changes: list[Change] = []
        self._by_number: dict[tuple[str, int, int], Change] = {}
        self.violations: list[str] = []
        self.action_counts: Counter[str] = Counter()
        self.cuts: set[frozenset[str]] = set()  # pairs of regions or processes that can't reach each other
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._connection_numbers = itertools.count(1)
        self._last_incarnation = 0
        self.checking = True
        for name in self.keys.voters:
            self.start_voter(name)
        for i in range(observers):
            self.start_observer(f"s{i:04}", self.observer_place(i))
        self._call_after(CHECK_INTERVAL_US, self._check_periodically)

    def voter_place(self, index: int) -> VoterPlace:
        region = self.regions[index % len(self.regions)]
        return VoterPlace(f"10.0.0.{index + 1}:7400", region, f"{region}-z{index // len(self.regions)}")

    def observer_place(self, index: int) -> Place:
        region = self.regions[index % len(self.regions)]
        return Place(region, f"{region}-z{index // len(self.regions) % 2}")

    # Processes

    def start_voter(self, name: str, keys: VotersKeys | None = None) -> Voter:
        """Start a voter with an empty replica, as if the snapshot on its disk had been lost."""
        options = voter_options(keys or self.keys, name)
        voter_place = (keys or self.keys).voters[name]
        replica, incarnation = self._new_replica(name)
        offset_us, rate = self._random_clock()
        mono_us = offset_us + self.at_us + self.at_us * rate // 1_000_000
        machine = Voter(options, incarnation, replica, URGENT, Random(self.rng.random()), mono_us)
        place = Place(voter_place.region, voter_place.zone)
        self._add(Process(name, place, machine, replica, incarnation, offset_us, rate))
        return machine

    def start_observer(self, name: str, place: Place) -> Observer:
        options = observer_options(self.keys, name, place)
        replica, incarnation = self._new_replica(name)
        offset_us, rate = self._random_clock()
        mono_us = offset_us + self.at_us + self.at_us * rate // 1_000_000
        machine = Observer(options, incarnation, replica, Random(self.rng.random()), mono_us)
        self._add(Process(name, place, machine, replica, incarnation, offset_us, rate))
        return machine

    def _new_replica(self, name: str) -> tuple[Replica, int]:
        self._last_incarnation += 1
        kinds = [number_kind(CORDON), number_kind(NOTE, self.note_capacity.get(name, 20_000))]
        return Replica(name, self._last_incarnation, kinds), self._last_incarnation

    def _random_clock(self) -> tuple[int, int]:
        return self.rng.randrange(1 << 40), self.rng.randint(-MAX_CLOCK_RATE_PPM, MAX_CLOCK_RATE_PPM)

    def _add(self, process: Process) -> None:
        self.processes[process.name] = process
        self._perform(process, process.machine.start(self.now_us, process.mono_us(self.at_us)))

    def crash(self, name: str) -> None:
        """Terminate a process without the goodbye message of a regular stop.

        The other ends of its connections are notified that the connections were closed, but across a cut
        only after the cut has ended.
        """
        process = self.processes.pop(name)
        process.alive = False
        for number in sorted(process.connections):
            connection = self.connections[number]
            self._send_close(connection, connection.opposite_end(name))

    def restart(self, name: str) -> None:
        """Crash a process and start it with an empty replica."""
        place, voter = self.processes[name].place, isinstance(self.processes[name].machine, Voter)
        self.crash(name)
        if voter:
            self.start_voter(name)
        else:
            self.start_observer(name, place)

    def leave(self, name: str) -> None:
        """Make an observer send its goodbye, and end its process."""
        process = self.processes[name]
        machine = process.machine
        assert isinstance(machine, Observer)
        self._perform(process, machine.goodbye())
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
        """Delay all messages between two regions or processes, and make new connections between them fail."""
        self.cuts.add(frozenset((one, other)))

    def isolate(self, region: str) -> None:
        """Cut a region off from all others."""
        for other in self.regions:
            if other != region:
                self.cut(region, other)

    def heal(self) -> None:
        """End all cuts, and transmit the messages that they delayed."""
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
        """Write a change at a process, and return the object that records its progress."""
        process = self.processes[name]
        mono_us = process.mono_us(self.at_us)
        number, record, actions = process.machine.write(self.now_us, mono_us, kind, key, value)
        change = Change(name, number, record, self.at_us)
        self.changes.append(change)
        self._by_number[name, process.incarnation, number] = change
        self._perform(process, actions)
        return change

    def call(self, name: str, method: Callable[[Any, int, int], list[Action]]) -> None:
        """Call a state machine with the Unix and the monotonic time, and perform the returned actions."""
        process = self.processes[name]
        self._perform(process, method(process.machine, self.now_us, process.mono_us(self.at_us)))

    # Time

    def run(self, duration_us: int) -> None:
        """Advance the simulated time, and process the events that fall due."""
        end_us = self.at_us + duration_us
        while self._events and self._events[0][0] <= end_us:
            self.at_us, _, action = heapq.heappop(self._events)
            action()
        self.at_us = end_us

    def run_until(self, condition: Callable[[], bool], timeout_us: int) -> int:
        """Advance the time until a condition holds, and return how long that took.

        Raises AssertionError if the condition does not hold within ``timeout_us``.
        """
        started_us = self.at_us
        while not condition():
            assert self.at_us - started_us < timeout_us, f"the condition was not met in {timeout_us / 1e6} s"
            self.run(5_000)
        return self.at_us - started_us

    def _call_after(self, delay_us: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.at_us + delay_us, next(self._sequence), action))

    # Connections and messages

    def _perform(self, process: Process, actions: Iterable[Action]) -> None:
        process.steps += 1
        for action in actions:
            self.action_counts[type(action).__name__] += 1
            match action:
                case Send(link=link, data=data):
                    self._send(process, link, data)
                case Connect(voter=voter):
                    self._connect(process, voter)
                case Disconnect(link=link):
                    self._disconnect(process, link)
                case Progressed():
                    self._record_progress(process, action)
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
        self._call_after(due_us - self.at_us, lambda: self._tick(process, due_us))

    def _tick(self, process: Process, due_us: int) -> None:
        if process.alive and process.tick_us == due_us:
            self._perform(process, process.machine.tick(self.now_us, process.mono_us(self.at_us)))

    def _connect(self, process: Process, voter: str) -> None:
        other = self.processes.get(voter)
        if other is None or self.is_cut(process.name, voter):
            delay_us = CONNECT_TIMEOUT_US if self.is_cut(process.name, voter) else self.delay_us
            self._call_after(delay_us, lambda: self._connect_failed(process, voter))
            return
        self._call_after(2 * self._delay(process.name, voter), lambda: self._connected(process, voter))

    def _connect_failed(self, process: Process, voter: str) -> None:
        if process.alive:
            process.machine.failed(process.mono_us(self.at_us), voter)
            self._schedule(process)

    def _connected(self, process: Process, voter: str) -> None:
        other = self.processes.get(voter)
        if not process.alive:
            return
        if other is None or self.is_cut(process.name, voter):
            self._connect_failed(process, voter)
            return
        number = next(self._connection_numbers)
        incarnations = process.incarnation, other.incarnation
        self.connections[number] = Connection(number, (process.name, voter), incarnations)
        process.connections.add(number)
        other.connections.add(number)
        assert isinstance(other.machine, Voter)
        other.machine.accepted(other.mono_us(self.at_us), number)
        mono_us = process.mono_us(self.at_us)
        self._perform(process, process.machine.linked(self.now_us, mono_us, number, voter))

    def _send(self, process: Process, link: int, data: bytes) -> None:
        process.sent += 1
        process.bytes_out += len(data)
        connection = self.connections.get(link)
        if connection is not None and connection.up:
            self._transmit(connection, connection.opposite_end(process.name), data)

    def _disconnect(self, process: Process, link: int) -> None:
        process.connections.discard(link)
        connection = self.connections.get(link)
        if connection is not None and connection.up:
            self._send_close(connection, connection.opposite_end(process.name))

    def _send_close(self, connection: Connection, receiver: str) -> None:
        self._transmit(connection, receiver, None)
        connection.up = False

    def _transmit(self, connection: Connection, receiver: str, data: bytes | None) -> None:
        if connection.delayed or self.is_cut(*connection.ends):
            connection.delayed.append((receiver, data))
            return
        delay_us = self._delay(*connection.ends)
        if self.rng.random() < self.loss:
            delay_us += RETRANSMIT_DELAY_US
        at_us = max(self.at_us + delay_us, connection.last_arrival_us.get(receiver, 0) + 1)
        connection.last_arrival_us[receiver] = at_us
        self._call_after(at_us - self.at_us, lambda: self._deliver(connection, receiver, data))

    def _deliver(self, connection: Connection, receiver: str, data: bytes | None) -> None:
        if self.is_cut(*connection.ends):
            connection.delayed.append((receiver, data))
            return
        process = self.processes.get(receiver)
        incarnation = connection.incarnations[connection.ends.index(receiver)]
        if (
            process is None
            or process.incarnation != incarnation
            or connection.number not in process.connections
        ):
            return
        mono_us = process.mono_us(self.at_us)
        if data is None:
            process.connections.discard(connection.number)
            self.connections.pop(connection.number, None)
            self._perform(process, process.machine.unlinked(self.now_us, mono_us, connection.number))
        else:
            process.bytes_in += len(data)
            actions = process.machine.received(self.now_us, mono_us, connection.number, data)
            self._perform(process, actions)

    def _delay(self, one: str, other: str) -> int:
        a, b = self.processes.get(one), self.processes.get(other)
        same_region = a is None or b is None or a.place.region == b.place.region
        base_us = self.delay_us if same_region else self.cross_region_delay_us
        return base_us + self.rng.randint(0, base_us // 4)

    # Rules that observers must not violate

    def _record_progress(self, process: Process, progressed: Progressed) -> None:
        change = self._by_number[process.name, process.incarnation, progressed.number]
        if progressed.accepted and change.accepted_us is None:
            change.accepted_us = self.at_us
        if progressed.in_force and change.in_force_us is None:
            change.in_force_us = self.at_us
        change.lagging_count, change.lagging_names = progressed.lagging.count, progressed.lagging.names

    def _check_periodically(self) -> None:
        if self.checking:
            self.check_rules()
        self._call_after(CHECK_INTERVAL_US, self._check_periodically)

    def check_rules(self) -> None:
        """Append to `violations` each violation of the rules by an observer.

        The number of records in its replica, and the time as of which its lease says that it knows a
        majority's state, must never decrease. While its lease is valid, it must have stored every change that
        is in force or, under `hold`, was accepted longer than the bound ago.
        """
        for process in self.observers():
            self._check_monotone(process)
            machine = process.machine
            assert isinstance(machine, Observer)
            if not machine.has_lease(process.mono_us(self.at_us)):
                continue
            process.missing += self.changes[process.checked_count :]
            process.checked_count = len(self.changes)
            process.missing = [one for one in process.missing if not self.stores(process, one)]
            for change in process.missing:
                if why := self._violated_rule(change):
                    self.violations.append(
                        f"{self.at_us}: {process.name} holds a lease but lacks {change.record.key}, {why}"
                    )

    def _violated_rule(self, change: Change) -> str:
        """Return why every observer with a lease must have stored a change by now; "" if it need not."""
        if change.in_force_us is not None:
            return "which was reported to be in force"
        hold = self.keys.on_lost_by_kind.get(change.record.kind, self.keys.on_lost) is Mode.HOLD
        if hold and change.accepted_us is not None and self.at_us > change.accepted_us + self.bound_us:
            return "which was accepted longer than the bound ago"
        return ""

    def _check_monotone(self, process: Process) -> None:
        machine = process.machine
        assert isinstance(machine, Observer)
        as_of_us = machine.lease.as_of_us
        keys = sum(number for number, _ in process.replica.sizes().values())
        if keys < process.keys or (as_of_us is not None and as_of_us < process.as_of_us):
            self.violations.append(f"{self.at_us}: {process.name} moved its replica or lease back in time")
        process.keys = keys
        if as_of_us is not None:
            process.as_of_us = as_of_us

    def stores(self, process: Process, change: Change) -> bool:
        """Whether a process has stored a change, or a later value of its record."""
        stored = process.replica.record(*change.record.name)
        return stored is not None and _unpack(stored.value) >= _unpack(change.record.value)

    def stored_everywhere(self, change: Change) -> bool:
        return all(self.stores(one, change) for one in self.processes.values())

    def leased(self) -> bool:
        """Whether all observers have a valid lease."""
        return all(
            one.machine.has_lease(one.mono_us(self.at_us))
            for one in self.observers()
            if isinstance(one.machine, Observer)
        )

    def settled(self) -> bool:
        """Whether all observers are synchronized and have a spare link to a second voter, if there is one."""
        spare = len(self.voters()) > 1
        return all(
            one.machine.synchronized and (one.machine.spare_voter is not None or not spare)
            for one in self.observers()
            if isinstance(one.machine, Observer)
        )
