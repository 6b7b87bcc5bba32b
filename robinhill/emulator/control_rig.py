"""Runs the voters and schedulers of a control group on loopback and injects faults into links and processes.

Voters are linked to each other and schedulers to voters, each link through a relay. All schedulers run in the
mode ``hold``, in which a scheduler without a lease sends no jobs. The run is checked against the checker's
rules for several schedulers in this mode, whose guarantees apply under any fault. The voters' copies of the
records must converge just as the schedulers' copies do.
"""

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path
from typing import Any

import aiohttp

from robinhill.checker import rules
from robinhill.checker.journal import Event, EventType
from robinhill.checker.mesh import (
    Limits,
    late_sends,
    list_violations,
    recovery_violations,
    repeated_unsafe_jobs,
    replica_violations,
)
from robinhill.emulator.client import Clients
from robinhill.emulator.discovery import Discovery
from robinhill.emulator.program import Program
from robinhill.emulator.relay import Direction, Impairment, Relay
from robinhill.emulator.rig import (
    KINDS,
    LINKS_UP_TIMEOUT_S,
    POLL_INTERVAL_S,
    PROGRAM,
    UNSAFE,
    WORKERS,
    AwaitableJournal,
    LatenessMonitor,
    Outcome,
    Rig,
    start_components,
)
from robinhill.emulator.schedule import (
    KILL_FAULTS,
    LINK_FAULTS,
    Fault,
    FaultKind,
    Schedule,
    draw,
    process_names,
)
from robinhill.emulator.site import Site, free_address
from robinhill.emulator.voter import VOTER, voter_program
from robinhill.emulator.worker import Worker

Json = dict[str, Any]
BOUND_MS = 1_000
CONVERGENCE_LIMIT_S = 4.0
"""The longest time from the end of the last fault until all voters and schedulers have equal copies of the
records."""

# After CONVERGENCE_LIMIT_S the rig polls the processes' copies of the records for this much longer, so that a
# run that exceeds the limit reports by how much.
CONVERGENCE_GRACE_S = 4.0
LEASE_TIMEOUT_S = 10.0
"""The longest time from equal copies until all schedulers have a lease, before a schedule begins."""


@dataclass(slots=True, eq=False)
class ControlRig(Rig):
    """A rig of voters and schedulers; ``names`` contains the names of all processes, the voters first."""

    voters: tuple[str, ...] = ()

    @property
    def schedulers(self) -> tuple[str, ...]:
        """The names of the processes that serve clients."""
        return self.names[len(self.voters) :]

    def impair_direction(self, impairment: Impairment, start: str, end: str) -> None:
        """Impair the messages from ``start`` to ``end``, whichever of the two opened the connection."""
        if relay := self.relays.get((start, end)):
            relay.set_impairment(impairment, Direction.THERE)
        if relay := self.relays.get((end, start)):
            relay.set_impairment(impairment, Direction.BACK)

    def links(self, fault: Fault) -> list[Relay]:
        """The relays of the links that a fault affects; a link between two voters has two relays."""
        if fault.kind is FaultKind.PARTITION:
            ends = [(a, b) for a in fault.targets for b in self.names if b not in fault.targets]
        else:
            ends = [(fault.targets[0], fault.targets[1])]
        pairs = [pair for a, b in ends for pair in ((a, b), (b, a))]
        return [self.relays[pair] for pair in pairs if pair in self.relays]

    def address(self) -> str:
        """The client address of the next scheduler in round-robin order, even if it is not running."""
        return self.programs[self.schedulers[next(self._round_robin) % len(self.schedulers)]].listen

    async def may_send(self, name: str) -> bool:
        """Whether a scheduler reports that it may send jobs: under `hold`, that it has a lease."""
        status, reply = await self.call_operator(name, "GET", "/ops/mesh")
        return status == 200 and reply.get("may_act") is True

    async def wait_until_sending_allowed(self, timeout_s: float) -> None:
        """Poll all schedulers until, in one poll, each of them reports that it may send jobs.

        It does not suffice to wait for equal copies of the records: a scheduler reports a copy equal to the
        others before its voter can grant it a lease. Raises RuntimeError with the names of the schedulers
        that may not send at the timeout.
        """
        missing = list(self.schedulers)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while missing:
                    held = await asyncio.gather(*map(self.may_send, self.schedulers))
                    missing = [name for name, has in zip(self.schedulers, held, strict=True) if not has]
                    if missing:
                        await asyncio.sleep(POLL_INTERVAL_S)
        if missing:
            raise RuntimeError(f"{', '.join(missing)} may not send: no lease within {timeout_s:g} s")

    def _reserve_addresses(self, name: str) -> None:
        program = self.programs[name]
        assert program.operator
        addresses = [program.listen, program.ops]
        if name in self.voters:
            addresses.append(program.operator["mesh"]["voters"][name]["address"])
        for address in addresses:
            host, _, port = address.rpartition(":")
            reservation = socket.socket()
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._address_reservations.setdefault(name, []).append(reservation)
            with contextlib.suppress(OSError):
                reservation.bind((host, int(port)))


@dataclass(slots=True, frozen=True)
class _Layout:
    """Names, addresses and files of one rig.

    ``addresses``: the address at which each voter listens for links, by its name. ``relays``: by the
    connecting process and the voter that it connects to. ``voter_entry``, ``entry``: the arguments of the
    Python interpreter that runs a voter or a scheduler.
    """

    folder: Path
    site: Site
    voters: tuple[str, ...]
    schedulers: tuple[str, ...]
    addresses: dict[str, str]
    relays: dict[tuple[str, str], Relay]
    bound_ms: int
    voter_entry: tuple[str, ...]
    entry: tuple[str, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all processes, the voters first."""
        return self.voters + self.schedulers

    def operator_file(self, name: str) -> Json:
        """The operators' file of a process, with the address of a relay for each other voter."""
        places: Json = {}
        for voter in self.voters:
            address = self.relays[name, voter].address if voter != name else self.addresses[voter]
            places[voter] = {"address": address, "region": "r", "zone": f"z-{voter}"}
        section: Json = {"installation": "rig", "voters": places, "bound_ms": self.bound_ms}
        return {"mesh": section | {"on_lost": "hold"}}

    async def programs(self, discovery: Discovery, workers: dict[str, Worker]) -> dict[str, Program]:
        """Create the programs and folders of all processes; returns the programs, not started, by name."""
        programs: dict[str, Program] = {}
        for name in self.names:
            (self.folder / name / "state").mkdir(parents=True)
        for name in self.voters:
            own = self.folder / name
            programs[name] = voter_program(
                own,
                self.site,
                discovery,
                self.operator_file(name),
                name,
                state=own / "state",
                entry=self.voter_entry,
            )
        for number, name in enumerate(self.schedulers):
            own, listen = self.folder / name, free_address()
            view = await discovery.view(
                {worker.name: await worker.open_address(name, listen) for worker in workers.values()}
            )
            programs[name] = Program(
                own,
                self.site,
                view,
                self.operator_file(name),
                name,
                number,
                listen,
                entry=self.entry,
                state=own / "state",
            )
        return programs


@asynccontextmanager
async def control_rig(
    voters: int,
    schedulers: int,
    folder: Path,
    *,
    seed: int = 0,
    bound_ms: int = BOUND_MS,
    voter_entry: tuple[str, ...] = VOTER,
    entry: tuple[str, ...] = PROGRAM,
) -> AsyncIterator[ControlRig]:
    """Start all processes, wait for equal copies and for leases, and stop all processes after the block.

    ``entry`` and ``voter_entry`` are the arguments of the Python interpreter that runs a scheduler or a
    voter; tests pass programs with a planted defect. Raises RuntimeError if copies do not become equal or
    leases are not granted in time.
    """
    site = Site(KINDS, schedulers=schedulers)
    names = process_names(voters + schedulers)
    voting = names[:voters]
    journal, lateness = AwaitableJournal(), LatenessMonitor()
    workers = {f"w{i}": Worker(f"w{i}", site, journal, queue_limit=64) for i in range(WORKERS)}
    discovery = Discovery(workers.values(), journal)
    addresses = {name: free_address() for name in voting}
    ends = [(a, b) for a in names for b in voting if a != b]
    relays = {(a, b): Relay(addresses[b], f"{seed} {a} {b}") for a, b in ends}
    layout = _Layout(folder, site, voting, names[voters:], addresses, relays, bound_ms, voter_entry, entry)
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        await start_components(stack, [*workers.values(), discovery, *relays.values()])
        programs = await layout.programs(discovery, workers)
        clients = Clients(site, lambda: rig.address(), journal, seed)
        rig = ControlRig(
            names, journal, workers, discovery, programs, relays, clients, session, lateness, voters=voting
        )
        stack.push_async_callback(rig.stop)
        for name in names:
            await rig.start(name)
        if await rig.wait_for_equal_copies(LINKS_UP_TIMEOUT_S) is None:
            raise RuntimeError(
                f"timed out waiting for links and equal copies after the start; logs: {folder}"
            )
        await rig.wait_until_sending_allowed(LEASE_TIMEOUT_S)
        lateness.start()
        stack.callback(lateness.stop)
        yield rig


async def play(
    schedule: Schedule,
    folder: Path,
    voters: int,
    *,
    bound_ms: int = BOUND_MS,
    voter_entry: tuple[str, ...] = VOTER,
    entry: tuple[str, ...] = PROGRAM,
) -> Outcome:
    """Play one schedule on newly started processes and check the run; logs remain in ``folder``."""
    schedulers = len(schedule.names) - voters
    rig = control_rig(
        voters,
        schedulers,
        folder,
        seed=schedule.seed,
        bound_ms=bound_ms,
        voter_entry=voter_entry,
        entry=entry,
    )
    async with rig as here:
        equal = await here.play_and_verify(schedule, CONVERGENCE_LIMIT_S + CONVERGENCE_GRACE_S)
        late = here.lateness.worst_s
    terms = Limits(bound_ms / 1000, True, CONVERGENCE_LIMIT_S, late_s=late)
    found = rules.find_violations(here.journal, set(UNSAFE), ended=True, late_s=late)
    found += broken(sorted(here.journal.events, key=lambda e: e.at), terms, here.voters)
    outcome = here.outcome(found, equal, late)
    outcome.idle_schedulers = idle_schedulers(here.journal.events, here.schedulers)
    return outcome


def idle_schedulers(events: list[Event], schedulers: tuple[str, ...]) -> tuple[str, ...]:
    """Schedulers that sent no job before the last fault ended; no rule about sends was tested for them."""
    faults_ended = max((e.at for e in events if e.what is EventType.FAULT_ENDED), default=inf)
    sent = {e.scheduler for e in events if e.what is EventType.SENT and e.at <= faults_ended}
    return tuple(name for name in schedulers if name not in sent)


def broken(events: list[Event], terms: Limits, voters: tuple[str, ...]) -> list[str]:
    """Describe how the run broke the checker's rules for several processes.

    Only schedulers must send jobs again after the faults, since voters send none.
    """
    found = repeated_unsafe_jobs(events, set(UNSAFE))
    found += late_sends(events, terms)
    found += list_violations(events, terms)
    found += replica_violations(events, terms)
    return found + recovery_violations([event for event in events if event.scheduler not in voters])


def schedule_of(seed: int, voters: int, schedulers: int) -> Schedule:
    """The schedule of a seed, restricted to links that exist and to killing at most a minority of voters.

    Faults between two schedulers are moved to a link with a voter. A fault that would kill one voter too many
    or that overlaps an earlier fault of the schedule is dropped.
    """
    workers = [f"w{i}" for i in range(WORKERS)]
    whole = draw(seed, voters + schedulers, workers)
    voting = whole.names[:voters]
    rng = random.Random(f"control {seed}")
    accepted: list[Fault] = []
    killed: set[str] = set()
    for fault in whole.faults:
        moved = _move_to_existing_link(fault, voting, rng)
        killed_if_added = {*killed, *moved.targets} & set(voting) if moved.kind in KILL_FAULTS else killed
        if len(killed_if_added) > (voters - 1) // 2 or any(
            moved.overlaps(one, whole.names) for one in accepted
        ):
            continue
        killed = killed_if_added
        accepted.append(moved)
    return Schedule(seed, whole.names, tuple(accepted), whole.calls)


def _move_to_existing_link(fault: Fault, voters: tuple[str, ...], rng: random.Random) -> Fault:
    """Return the fault, with a random voter in place of its first target if both targets are schedulers.

    Schedulers have links to voters only.
    """
    if fault.kind not in LINK_FAULTS or any(name in voters for name in fault.targets):
        return fault
    return replace(fault, targets=(rng.choice(voters), fault.targets[1]))
