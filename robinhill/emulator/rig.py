"""Several real processes of the program on loopback, each link between them through a relay, faults on all.

    python -m robinhill.emulator.rig --seed 7 --processes 5

draws the schedule of that seed, prints it, plays it and says which rules were broken; with `--shrink` it cuts
a failing one down. Workers, discovery and clients are the emulators; each scheduler has an address of its own
at each worker, so that call-backs find their way.
"""

import argparse
import asyncio
import contextlib
import shutil
import signal
import socket
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count, permutations
from pathlib import Path
from typing import Any, Protocol

import aiohttp
import orjson

from robinhill.checker.journal import Event, Journal, What
from robinhill.checker.mesh import Terms, broken, equal_after
from robinhill.emulator.client import Clients, Tenant
from robinhill.emulator.discovery import Discovery
from robinhill.emulator.program import Program
from robinhill.emulator.relay import NO_HARM, Direction, Harm, Relay
from robinhill.emulator.schedule import (
    KILL_FAULTS,
    PROCESS_FAULTS,
    Call,
    Fault,
    FaultKind,
    Schedule,
    draw,
    process_names,
    shrink,
)
from robinhill.emulator.site import JobKind, Site, free_address
from robinhill.emulator.worker import Worker

Json = dict[str, Any]
WORKERS = 6
LOAD = 100.0  # requests a second over all schedulers: a worker has some of each scheduler within a bound
BOUND_MS = 1000
OPERATOR_CALL_TIMEOUT_S = 5.0  # that an operator's call is waited for
POLL_INTERVAL_S = 0.02  # between two looks at the digests
LINKS_UP_TIMEOUT_S = 20.0  # for the links to come up at the start
EQUAL_S = 2.0
RECOVERY_TIMEOUT_S = 3.0  # from a call to a cordon in force, once all is well
RECOVERY_LOAD_S = 0.8
CONVERGENCE_GRACE_S = 4.0  # that copies are looked at past the time in which they have to be equal
# Short jobs: a send must be able to come at any moment, and the end of a run be near.
KINDS = (
    JobKind("member-lookup", 20, 60, 2.5, 1_000, share=0.5),
    JobKind("season-report", 60, 200, 2.0, 2_000, share=0.3),
    JobKind("renewal-charge", 40, 100, 2.5, 2_000, worth=8.0, repeat="fragile", share=0.2),
)
PROGRAM = ("-m", "robinhill")
UNSAFE = tuple(k.name for k in KINDS if k.repeat == "fragile")


class AwaitableJournal(Journal):
    """A journal that can be waited on."""

    def __init__(self) -> None:
        super().__init__()
        self._more = asyncio.Event()

    def add(self, event: Event) -> None:
        super().add(event)
        self._more.set()

    async def until(self, holds: Callable[[], bool]) -> None:
        """Until it holds; looked at after each event."""
        while not holds():
            self._more.clear()
            await self._more.wait()


@dataclass(slots=True)
class LatenessMonitor:
    """How late this process itself ran at worst: what it notes can be late by as much."""

    worst_s: float = 0.0
    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._measure())

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + 0.005
            await asyncio.sleep(0.005)
            self.worst_s = max(self.worst_s, loop.time() - due)

    def stop(self) -> None:
        if self._task:
            self._task.cancel()


@dataclass(slots=True, eq=False)
class Rig:
    """Schedulers, their links, and what they serve. Made by ``rig``."""

    names: tuple[str, ...]
    journal: AwaitableJournal
    workers: dict[str, Worker]
    discovery: Discovery
    programs: dict[str, Program]
    relays: dict[tuple[str, str], Relay]  # by who dials, and whom
    clients: Clients
    session: aiohttp.ClientSession
    lateness: LatenessMonitor
    _address_reservations: dict[str, list[socket.socket]] = field(default_factory=dict)
    _round_robin: "count[int]" = field(default_factory=count)

    # Links

    def impair_direction(self, impairment: Harm, start: str, end: str) -> None:
        """From now on this befalls what one scheduler tells another, whoever dialled."""
        self.relays[start, end].suffer(impairment, Direction.THERE)
        self.relays[end, start].suffer(impairment, Direction.BACK)

    def links(self, fault: Fault) -> list[Relay]:
        """Both relays of each link that a fault strikes."""
        if fault.trouble is FaultKind.PARTITION:
            ends = [(a, b) for a in fault.targets for b in self.names if b not in fault.targets]
        else:
            ends = [(fault.targets[0], fault.targets[1])]
        return [self.relays[pair] for a, b in ends for pair in ((a, b), (b, a))]

    # Operators

    async def call_operator(
        self, name: str, method: str, path: str, body: Json | None = None
    ) -> tuple[int, Json]:
        """A call at a scheduler's operators' side; status 0 where no answer came."""
        url = f"http://{self.programs[name].ops}{path}"
        timeout = aiohttp.ClientTimeout(total=OPERATOR_CALL_TIMEOUT_S)
        data = orjson.dumps(body) if body is not None else None
        try:
            async with self.session.request(method, url, data=data, timeout=timeout) as answer:
                text = await answer.read()
                with contextlib.suppress(orjson.JSONDecodeError):
                    if isinstance(reply := orjson.loads(text), dict):
                        return answer.status, reply
                return answer.status, {}
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, {}

    async def cordon(self, name: str, worker: str, id_: str, wait_s: float | None = None) -> Json:
        """Set a cordon and wait until it is accepted, or so long until it is in force; what was answered."""
        self.journal.record(What.CORDON_REQUESTED, id_, worker, scheduler=name)
        body = {"target": f"worker/{worker}", "reason": "a trial"}
        status, reply = await self.call_operator(name, "PUT", cordon_path(id_, wait_s), body)
        if reply.get("accepted"):
            self.journal.record(What.CORDONED, id_, worker, status, scheduler=name)
        if reply.get("in_force"):
            self.journal.record(What.IN_FORCE, id_, worker, status, scheduler=name)
        return reply

    async def lift(self, name: str, worker: str, id_: str, wait_s: float | None = None) -> Json:
        self.journal.record(What.LIFT_REQUESTED, id_, worker, scheduler=name)
        status, reply = await self.call_operator(name, "DELETE", cordon_path(id_, wait_s))
        if reply.get("accepted"):
            self.journal.record(What.LIFTED, id_, worker, status, scheduler=name)
        return reply

    async def digest(self, name: str) -> str | None:
        """What a scheduler tells of its copy; None where it does not, or has not caught up."""
        status, reply = await self.call_operator(name, "GET", "/ops/mesh")
        return str(reply["digest"]) if status == 200 and "digest" in reply else None

    async def record_digests(self) -> None:
        """One look at all of them, into the journal."""

        async def poll(name: str) -> None:
            if (digest := await self.digest(name)) is not None:
                self.journal.record(What.DIGEST, kind=digest, scheduler=name)

        await asyncio.gather(*map(poll, self.names))

    async def wait_for_equal_copies(self, within_s: float) -> float | None:
        """Look until all copies are equal; seconds from the last heal, None: not so in this time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while equal_after(self.journal.events) is None:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    await self.record_digests()
        return equal_after(self.journal.events)

    async def play_and_verify(self, schedule: Schedule, equal_within_s: float) -> float | None:
        """Play a schedule and what proves it; seconds until copies were equal, None if they never were."""
        self.journal.events[:] = [e for e in self.journal.events if e.what is not What.DIGEST]
        await self.play(schedule)
        equal = await self.wait_for_equal_copies(equal_within_s)
        await self.record_cordon_lists()
        await self.check_recovery()
        return equal

    def outcome(self, broken: list[str], equal_s: float | None, late_s: float) -> "Outcome":
        """What the journal and the relays show."""
        counts = Counter(e.what for e in self.journal.events)
        links = {"dialled": sum(r.accepted_connections for r in self.relays.values())}
        passed = [p for relay in self.relays.values() for p in relay.passed.values()]
        for what in ("whole", "lost", "doubled", "overtaken", "torn", "octets"):
            links[what] = sum(getattr(p, what) for p in passed)
        return Outcome(broken, equal_s, counts, late_s, self.journal, links)

    async def record_cordon_lists(self) -> None:
        """What each lists as in force, into the journal."""
        for name in self.names:
            status, reply = await self.call_operator(name, "GET", "/ops/cordons")
            if status == 200:
                ids = sorted(str(c["id"]) for c in reply.get("cordons", []))
                self.journal.record(What.CORDONS_LISTED, kind=" ".join(ids), scheduler=name)

    async def check_recovery(self) -> None:
        """Once all faults are over: each scheduler serves, and a cordon at each comes into force."""

        async def check_scheduler(name: str, worker: str) -> None:
            body = {"target": f"worker/{worker}", "reason": "a trial"}
            path = cordon_path(f"proof-{name}", RECOVERY_TIMEOUT_S)
            _, reply = await self.call_operator(name, "PUT", path, body)
            self.journal.record(
                What.RECOVERY_CHECKED, worker=worker, status=int(bool(reply.get("in_force"))), scheduler=name
            )

        await self.load(RECOVERY_LOAD_S)
        await asyncio.gather(*(check_scheduler(name, next(iter(self.workers))) for name in self.names))

    # Processes

    async def start(self, name: str) -> None:
        for reservation in self._address_reservations.pop(name, []):
            reservation.close()
        await self.programs[name].start()
        self.journal.record(What.UP, scheduler=name)

    async def kill(self, name: str) -> None:
        self.journal.record(What.DOWN, scheduler=name)
        await self.programs[name].kill()
        self._reserve_addresses(name)

    def _reserve_addresses(self, name: str) -> None:
        """Its addresses while it is down, or another on this machine takes them for free. Nobody listens."""
        program = self.programs[name]
        assert program.operator
        for address in (program.listen, program.ops, program.operator["mesh"]["listen"]):
            host, _, port = address.rpartition(":")
            reservation = socket.socket()
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._address_reservations.setdefault(name, []).append(reservation)
            with contextlib.suppress(OSError):
                reservation.bind((host, int(port)))

    def state(self, name: str) -> Path:
        """The folder that outlives a scheduler."""
        state = self.programs[name].state
        assert state
        return state

    async def stop(self) -> None:
        """End all of them, also those that sleep."""
        running = [p for p in self.programs.values() if p.process and p.process.returncode is None]
        for program in running:
            program.signal(signal.SIGCONT)
        await asyncio.gather(*(p.stop() for p in running))
        for reservations in self._address_reservations.values():
            for each in reservations:
                each.close()

    # Clients

    def address(self) -> str:
        """Of the next scheduler in turn, down or not."""
        return self.programs[self.names[next(self._round_robin) % len(self.names)]].listen

    async def load(self, seconds: float, rate: float = LOAD) -> None:
        """Clients ask for so long, and all is answered."""
        await self.clients.play(
            [Tenant(f"t{i}", rate / 4, retries=1, honour_retry_after=False) for i in range(4)], seconds
        )

    # Faults

    async def start_fault(self, fault: Fault) -> None:
        for name in fault.affected_processes(self.names):
            self.journal.record(What.FAULT_STARTED, kind=fault.trouble.name, scheduler=name)
        impairment = link_impairment(fault)
        match fault.trouble:
            case FaultKind.ONE_WAY | FaultKind.DEAF:
                self.impair_direction(impairment, *fault.targets)
            case FaultKind.SEVER:
                for relay in self.links(fault):
                    relay.sever()
            case FaultKind.HALF_OPEN:
                for relay in self.links(fault):
                    relay.make_half_open()
            case FaultKind.FLAP:
                for relay in self.links(fault):
                    relay.flap(fault.size, fault.size)
            case FaultKind.KILL | FaultKind.WIPE | FaultKind.CLOCK:
                await self.kill(fault.targets[0])
            case FaultKind.PAUSE:
                self.programs[fault.targets[0]].signal(signal.SIGSTOP)
            case FaultKind.FULL_DISK:
                state = self.state(fault.targets[0])
                state.rename(state.with_suffix(".aside"))
                state.touch()  # a file: root may write into any folder, into a file's none
            case _:
                for relay in self.links(fault):
                    relay.suffer(impairment)

    async def end_fault(self, fault: Fault) -> None:
        name = fault.targets[0]
        match fault.trouble:
            case FaultKind.TEAR | FaultKind.SEVER:
                pass  # over with the connection that it struck
            case FaultKind.WIPE:
                shutil.rmtree(self.state(name))
                self.state(name).mkdir()
            case FaultKind.CLOCK:
                self.programs[name].env["ROBINHILL_CLOCK_OFFSET_US"] = str(int(fault.size * 1e6))
            case FaultKind.PAUSE:
                self.programs[name].signal(signal.SIGCONT)
            case FaultKind.FULL_DISK:
                self.state(name).unlink()
                self.state(name).with_suffix(".aside").rename(self.state(name))
            case FaultKind.KILL:
                pass
            case _:
                for relay in self.links(fault):
                    relay.heal()
        if fault.trouble in KILL_FAULTS:
            await self.start(name)
        for affected in fault.affected_processes(self.names):
            self.journal.record(What.FAULT_ENDED, kind=fault.trouble.name, scheduler=affected)

    async def play(self, schedule: Schedule) -> None:
        """Faults and calls at their times under load, until all is over and answered."""
        loop = asyncio.get_running_loop()
        start = loop.time()

        async def sleep_until(when_s: float) -> None:
            await asyncio.sleep(max(0.0, start + when_s - loop.time()))

        process_locks = {name: asyncio.Lock() for name in self.names}

        async def fault(planned: Fault) -> None:
            await sleep_until(planned.at_s)
            # A start takes longer than it was drawn on a slow machine: what strikes next waits for it.
            async with (
                process_locks[planned.targets[0]]
                if planned.trouble in PROCESS_FAULTS
                else contextlib.nullcontext()
            ):
                await self.start_fault(planned)
                await sleep_until(planned.end_s)
                await self.end_fault(planned)

        async def call(planned: Call) -> None:
            await sleep_until(planned.at_s)
            if planned.lift:
                await self.lift(planned.scheduler, planned.worker, planned.id)
            else:
                await self.cordon(planned.scheduler, planned.worker, planned.id)

        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.load(schedule.end_s))
            for each in schedule.faults:
                tasks.create_task(fault(each))
            for planned_call in schedule.calls:
                tasks.create_task(call(planned_call))


def cordon_path(id_: str, wait_s: float | None) -> str:
    return f"/ops/cordons/{id_}" + (f"?wait={wait_s:g}s" if wait_s is not None else "")


def link_impairment(fault: Fault) -> Harm:
    """What a fault of a link does to what passes."""
    match fault.trouble:
        case FaultKind.LOSS:
            return Harm(loss=fault.size)
        case FaultKind.DELAY:
            return Harm(delay_s=fault.size, jitter_s=fault.size / 2)
        case FaultKind.REORDER:
            return Harm(reorder=fault.size)
        case FaultKind.DOUBLE:
            return Harm(duplicate=fault.size)
        case FaultKind.TEAR:
            return Harm(truncate_after=int(fault.size))
        case FaultKind.DEAF:
            return Harm(loss=1.0)
        case FaultKind.STALL | FaultKind.ONE_WAY | FaultKind.PARTITION:
            return Harm(stalled=True)
        case _:
            return NO_HARM


@asynccontextmanager
async def rig(
    processes: int, folder: Path, *, seed: int = 0, mesh: Json | None = None, workers: int = WORKERS,
    entry: tuple[str, ...] = PROGRAM,
) -> AsyncIterator[Rig]:  # fmt: skip
    """All of it at work, links up and copies equal; all of it has ended behind the block.

    ``mesh``: further keys of the operators' file's section; ``entry``: what is run in place of the program.
    """
    site = Site(KINDS, schedulers=processes)
    names, journal, lateness = process_names(processes), AwaitableJournal(), LatenessMonitor()
    workers_by_name = {f"w{i}": Worker(f"w{i}", site, journal, queue_limit=64) for i in range(workers)}
    discovery = Discovery(workers_by_name.values(), journal)
    listens = {name: free_address() for name in names}
    relays = {(a, b): Relay(listens[b], f"{seed} {a} {b}") for a, b in permutations(names, 2)}
    programs: dict[str, Program] = {}
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        await start_components(stack, [*workers_by_name.values(), discovery, *relays.values()])
        for place, name in enumerate(names):
            own = folder / name
            (own / "state").mkdir(parents=True)
            listen = free_address()
            addresses = {w.name: await w.open_address(name, listen) for w in workers_by_name.values()}
            peers = {b: relays[name, b].address for b in names if b != name}
            section = {"installation": "rig", "listen": listens[name], "peers": peers, "bound_ms": BOUND_MS}
            operator = {"mesh": section | (mesh or {})}
            programs[name] = Program(
                own, site, await discovery.view(addresses), operator, name, place, listen, entry=entry,
                state=own / "state",
            )  # fmt: skip
        clients = Clients(site, lambda: running.address(), journal, seed)
        running = Rig(
            names, journal, workers_by_name, discovery, programs, relays, clients, session, lateness
        )
        stack.push_async_callback(running.stop)
        await asyncio.gather(*map(running.start, names))
        if await running.wait_for_equal_copies(LINKS_UP_TIMEOUT_S) is None:
            raise RuntimeError(f"the links did not come up; see {folder}")
        lateness.start()
        stack.callback(lateness.stop)
        yield running


class Component(Protocol):
    """An emulated part of the world round the schedulers."""

    async def start(self) -> Any: ...

    async def stop(self) -> Any: ...


async def start_components(stack: contextlib.AsyncExitStack, parts: Iterable[Component]) -> None:
    """Start them one after another; the stack stops them."""
    for part in parts:
        await part.start()
        stack.push_async_callback(part.stop)


@dataclass(slots=True)
class Outcome:
    """What a schedule showed."""

    broken: list[str]
    equal_s: float | None
    counts: Counter[What]
    late_s: float  # this machine's own lateness
    journal: Journal
    links: dict[str, int]  # what befell messages between schedulers
    idle_schedulers: tuple[str, ...] = ()  # sent nothing until the last fault ended; by the control rig alone

    def __str__(self) -> str:
        n, equal = self.counts, "never" if self.equal_s is None else f"after {self.equal_s:.3f} s"
        return (
            f"{n[What.SENT]} sends, {n[What.CORDONED]} of {n[What.CORDON_REQUESTED]} cordons accepted, "
            f"{n[What.LIFTED]} of {n[What.LIFT_REQUESTED]} lifts; copies equal {equal}; "
            f"this machine was late by {self.late_s:.3f} s at most"
        )


async def play(
    schedule: Schedule, folder: Path, *, on_lost: str, bound_ms: int = BOUND_MS,
    entry: tuple[str, ...] = PROGRAM,
) -> Outcome:  # fmt: skip
    """One schedule on fresh processes, whose logs stay in the folder."""
    mesh = {"on_lost": on_lost, "bound_ms": bound_ms}
    async with rig(len(schedule.names), folder, seed=schedule.seed, mesh=mesh, entry=entry) as running:
        equal = await running.play_and_verify(schedule, EQUAL_S + CONVERGENCE_GRACE_S)
        late = running.lateness.worst_s
    terms = Terms(bound_ms / 1000, on_lost == "hold", EQUAL_S, late_s=late)
    return running.outcome(broken(running.journal, terms, UNSAFE), equal, late)


def schedule_of(seed: int, processes: int, only: str | None = None) -> Schedule:
    """The seed's schedule, or those of its faults that are numbered."""
    whole = draw(seed, processes, [f"w{i}" for i in range(WORKERS)])
    if only is None:
        return whole
    wanted = {int(n) for n in only.split(",") if n.strip().isdigit()}
    return whole.with_faults([f for f in whole.faults if f.number in wanted])


async def _main(options: argparse.Namespace) -> int:
    async def run(schedule: Schedule) -> list[str]:
        folder = Path(tempfile.mkdtemp(prefix="robinhill-rig-"))
        outcome = await play(schedule, folder, on_lost=options.on_lost, bound_ms=options.bound_ms)
        print(outcome)
        for what in outcome.broken:
            print(f"  BROKEN: {what}")
        if outcome.broken:
            print(f"  logs: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
        return outcome.broken

    schedule = schedule_of(options.seed, options.processes, options.only)
    print(schedule, flush=True)
    found = await run(schedule)
    if found and options.shrink:

        async def fails(faults: list[Fault]) -> bool:
            print(f"with faults {[f.number for f in faults]}:", end=" ", flush=True)
            return bool(await run(schedule.with_faults(faults)))

        schedule = schedule.with_faults(await shrink(schedule.faults, fails))
        print(f"cut down to:\n{schedule}")
    if found:
        print(f"play it again: {schedule.replay()} --on-lost {options.on_lost} --bound-ms {options.bound_ms}")
    return int(bool(found))


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m robinhill.emulator.rig", description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--only", help="numbers of the faults to play, with commas, or none")
    parser.add_argument("--on-lost", choices=("hold", "serve"), default="hold")
    parser.add_argument("--bound-ms", type=int, default=BOUND_MS)
    parser.add_argument("--shrink", action="store_true", help="cut a failing schedule down")
    return asyncio.run(_main(parser.parse_args(arguments)))


if __name__ == "__main__":
    sys.exit(main())
