"""Runs several real schedulers on loopback and injects faults into their links and processes.

    python -m robinhill.emulator.rig --seed 7 --processes 5

draws the schedule of faults for that seed, prints it, runs it and reports which rules of robinhill.checker
the run broke. With `--shrink` it reduces a failing schedule to the faults that the failure needs.

Each link passes through a relay. Workers, discovery and clients are emulated. Each scheduler has an address
of its own at each worker, so that the worker can send the call-backs to the scheduler that sent the job.
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

from robinhill.checker.journal import Event, EventType, Journal
from robinhill.checker.mesh import Limits, equal_after, find_violations
from robinhill.emulator.client import Clients, Tenant
from robinhill.emulator.discovery import Discovery
from robinhill.emulator.program import Program
from robinhill.emulator.relay import NO_IMPAIRMENT, Direction, Impairment, Relay
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
LOAD = 100.0  # requests per second in total, enough that each scheduler sends to each worker within BOUND_MS
BOUND_MS = 1000
OPERATOR_CALL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02  # between two polls of the digests
# In the following, copies are the schedulers' copies of the records; they are equal if their digests are.
LINKS_UP_TIMEOUT_S = 20.0  # from the start of the schedulers to equal copies
CONVERGENCE_LIMIT_S = 2.0  # the longest time from the end of the last fault to equal copies
RECOVERY_TIMEOUT_S = 3.0  # from the request of a cordon until it is in force, without faults
RECOVERY_LOAD_S = 0.8
# After CONVERGENCE_LIMIT_S the rig polls the copies' digests for this much longer, so that a run that exceeds
# the limit reports by how much.
CONVERGENCE_GRACE_S = 4.0
# Jobs are short, so that workers have capacity for further jobs at any moment, and the last job ends soon
# after the run.
KINDS = (
    JobKind("member-lookup", 20, 60, 2.5, 1_000, share=0.5),
    JobKind("season-report", 60, 200, 2.0, 2_000, share=0.3),
    JobKind("renewal-charge", 40, 100, 2.5, 2_000, worth=8.0, repeat="fragile", share=0.2),
)
PROGRAM = ("-m", "robinhill")
UNSAFE = tuple(k.name for k in KINDS if k.repeat == "fragile")


class AwaitableJournal(Journal):
    """A journal whose events a coroutine can wait for."""

    def __init__(self) -> None:
        super().__init__()
        self._more = asyncio.Event()

    def add(self, event: Event) -> None:
        super().add(event)
        self._more.set()

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait until ``holds`` returns true; it is evaluated again after each event."""
        while not holds():
            self._more.clear()
            await self._more.wait()


@dataclass(slots=True)
class LatenessMonitor:
    """Measures the delay of the event loop, by which times in the journal can be late.

    ``worst_s``: the longest delay since ``start``.
    """

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
    """Schedulers with the relays between them, and the emulated workers, discovery and clients around them.

    ``rig`` creates it and starts its parts.
    """

    names: tuple[str, ...]
    journal: AwaitableJournal
    workers: dict[str, Worker]
    discovery: Discovery
    programs: dict[str, Program]
    relays: dict[tuple[str, str], Relay]  # by the connecting scheduler and the one it connects to
    clients: Clients
    session: aiohttp.ClientSession
    lateness: LatenessMonitor
    _address_reservations: dict[str, list[socket.socket]] = field(default_factory=dict)
    _round_robin: "count[int]" = field(default_factory=count)

    # Links

    def impair_direction(self, impairment: Impairment, start: str, end: str) -> None:
        """Impair the messages from ``start`` to ``end``, whichever of the two opened the connection."""
        self.relays[start, end].set_impairment(impairment, Direction.THERE)
        self.relays[end, start].set_impairment(impairment, Direction.BACK)

    def links(self, fault: Fault) -> list[Relay]:
        """The relays of the links that a fault affects: two for each link, one for each end that may dial."""
        if fault.kind is FaultKind.PARTITION:
            ends = [(a, b) for a in fault.targets for b in self.names if b not in fault.targets]
        else:
            ends = [(fault.targets[0], fault.targets[1])]
        return [self.relays[pair] for a, b in ends for pair in ((a, b), (b, a))]

    # Operators

    async def call_operator(
        self, name: str, method: str, path: str, body: Json | None = None
    ) -> tuple[int, Json]:
        """Call a scheduler's operators' API; returns the HTTP status and the JSON object of the reply.

        The status is 0 if the scheduler does not answer. The object is empty if the reply contains none.
        """
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
        """Set a cordon and record the result in the journal; returns the scheduler's reply.

        The scheduler replies once the cordon is accepted, or with ``wait_s`` once it is in force or the time
        is over.
        """
        self.journal.record(EventType.CORDON_REQUESTED, id_, worker, scheduler=name)
        body = {"target": f"worker/{worker}", "reason": "a trial"}
        status, reply = await self.call_operator(name, "PUT", cordon_path(id_, wait_s), body)
        if reply.get("accepted"):
            self.journal.record(EventType.CORDONED, id_, worker, status, scheduler=name)
        if reply.get("in_force"):
            self.journal.record(EventType.IN_FORCE, id_, worker, status, scheduler=name)
        return reply

    async def lift(self, name: str, worker: str, id_: str, wait_s: float | None = None) -> Json:
        self.journal.record(EventType.LIFT_REQUESTED, id_, worker, scheduler=name)
        status, reply = await self.call_operator(name, "DELETE", cordon_path(id_, wait_s))
        if reply.get("accepted"):
            self.journal.record(EventType.LIFTED, id_, worker, status, scheduler=name)
        return reply

    async def digest(self, name: str) -> str | None:
        """The digest of a scheduler's copy of the records; None if there is no answer or no digest in it.

        A scheduler reports no digest before it has caught up.
        """
        status, reply = await self.call_operator(name, "GET", "/ops/mesh")
        return str(reply["digest"]) if status == 200 and "digest" in reply else None

    async def record_digests(self) -> None:
        """Poll the digests of all schedulers once and record them in the journal."""

        async def poll(name: str) -> None:
            if (digest := await self.digest(name)) is not None:
                self.journal.record(EventType.DIGEST, kind=digest, scheduler=name)

        await asyncio.gather(*map(poll, self.names))

    async def wait_for_equal_copies(self, within_s: float) -> float | None:
        """Poll until all copies are equal, or until ``within_s`` have passed.

        Returns the seconds from the last fault, start of a scheduler or operator's call to equal copies; None
        on a timeout.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while equal_after(self.journal.events) is None:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    await self.record_digests()
        return equal_after(self.journal.events)

    async def play_and_verify(self, schedule: Schedule, equal_within_s: float) -> float | None:
        """Play a schedule, wait for equal copies, and record whether all schedulers have recovered.

        Returns the seconds from the end of the last fault to equal copies, None if they did not become equal
        within ``equal_within_s``.
        """
        self.journal.events[:] = [e for e in self.journal.events if e.what is not EventType.DIGEST]
        await self.play(schedule)
        equal = await self.wait_for_equal_copies(equal_within_s)
        await self.record_cordon_lists()
        await self.check_recovery()
        return equal

    def outcome(self, broken: list[str], equal_s: float | None, late_s: float) -> "Outcome":
        """The outcome of a run, with the events of the journal and the counters of the relays."""
        counts = Counter(e.what for e in self.journal.events)
        links = {"dialled": sum(r.accepted_connections for r in self.relays.values())}
        passed = [p for relay in self.relays.values() for p in relay.passed.values()]
        for what in ("whole", "lost", "doubled", "overtaken", "torn", "octets"):
            links[what] = sum(getattr(p, what) for p in passed)
        return Outcome(broken, equal_s, counts, late_s, self.journal, links)

    async def record_cordon_lists(self) -> None:
        """Record in the journal which cordons each scheduler lists."""
        for name in self.names:
            status, reply = await self.call_operator(name, "GET", "/ops/cordons")
            if status == 200:
                ids = sorted(str(c["id"]) for c in reply.get("cordons", []))
                self.journal.record(EventType.CORDONS_LISTED, kind=" ".join(ids), scheduler=name)

    async def check_recovery(self) -> None:
        """Send requests to all schedulers, then set a cordon at each and record whether it comes into force.

        The checker's rules then decide from the journal whether each scheduler has recovered.
        """

        async def check_scheduler(name: str, worker: str) -> None:
            body = {"target": f"worker/{worker}", "reason": "a trial"}
            path = cordon_path(f"proof-{name}", RECOVERY_TIMEOUT_S)
            _, reply = await self.call_operator(name, "PUT", path, body)
            self.journal.record(
                EventType.RECOVERY_CHECKED,
                worker=worker,
                status=int(bool(reply.get("in_force"))),
                scheduler=name,
            )

        await self.load(RECOVERY_LOAD_S)
        await asyncio.gather(*(check_scheduler(name, next(iter(self.workers))) for name in self.names))

    # Processes

    async def start(self, name: str) -> None:
        for reservation in self._address_reservations.pop(name, []):
            reservation.close()
        await self.programs[name].start()
        self.journal.record(EventType.UP, scheduler=name)

    async def kill(self, name: str) -> None:
        self.journal.record(EventType.DOWN, scheduler=name)
        await self.programs[name].kill()
        self._reserve_addresses(name)

    def _reserve_addresses(self, name: str) -> None:
        """Bind a stopped scheduler's addresses without listening, so that no other process takes them."""
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
        """The folder with the state that a scheduler restores after a restart."""
        state = self.programs[name].state
        assert state
        return state

    async def stop(self) -> None:
        """Stop all processes; paused ones are resumed first."""
        running = [p for p in self.programs.values() if p.process and p.process.returncode is None]
        for program in running:
            program.signal(signal.SIGCONT)
        await asyncio.gather(*(p.stop() for p in running))
        for reservations in self._address_reservations.values():
            for each in reservations:
                each.close()

    # Clients

    def address(self) -> str:
        """The client address of the next scheduler in round-robin order, even if it is not running."""
        return self.programs[self.names[next(self._round_robin) % len(self.names)]].listen

    async def load(self, seconds: float, rate: float = LOAD) -> None:
        """Send requests for ``seconds`` at ``rate`` per second in total, and wait for all answers."""
        await self.clients.play(
            [Tenant(f"t{i}", rate / 4, retries=1, honour_retry_after=False) for i in range(4)], seconds
        )

    # Faults

    async def start_fault(self, fault: Fault) -> None:
        for name in fault.affected_processes(self.names):
            self.journal.record(EventType.FAULT_STARTED, kind=fault.kind.name, scheduler=name)
        impairment = link_impairment(fault)
        match fault.kind:
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
                # A file replaces the folder, as a folder without write permission would not stop root.
                state.touch()
            case _:
                for relay in self.links(fault):
                    relay.set_impairment(impairment)

    async def end_fault(self, fault: Fault) -> None:
        name = fault.targets[0]
        match fault.kind:
            case FaultKind.TEAR | FaultKind.SEVER:
                pass  # the fault ended with the connection that it broke
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
        if fault.kind in KILL_FAULTS:
            await self.start(name)
        for affected in fault.affected_processes(self.names):
            self.journal.record(EventType.FAULT_ENDED, kind=fault.kind.name, scheduler=affected)

    async def play(self, schedule: Schedule) -> None:
        """Apply the schedule's faults and operators' calls at their times, under load.

        Returns once all faults have ended and all calls and requests are answered or have timed out.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()

        async def sleep_until(when_s: float) -> None:
            await asyncio.sleep(max(0.0, start + when_s - loop.time()))

        process_locks = {name: asyncio.Lock() for name in self.names}

        async def fault(planned: Fault) -> None:
            await sleep_until(planned.at_s)
            # On a slow machine a restart may outlast the fault; the lock then delays the next fault of this
            # process until the restart is complete.
            async with (
                process_locks[planned.targets[0]]
                if planned.kind in PROCESS_FAULTS
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


def link_impairment(fault: Fault) -> Impairment:
    """The impairment that a link fault applies to messages; none for faults that are injected differently."""
    match fault.kind:
        case FaultKind.LOSS:
            return Impairment(loss=fault.size)
        case FaultKind.DELAY:
            return Impairment(delay_s=fault.size, jitter_s=fault.size / 2)
        case FaultKind.REORDER:
            return Impairment(reorder=fault.size)
        case FaultKind.DOUBLE:
            return Impairment(duplicate=fault.size)
        case FaultKind.TEAR:
            return Impairment(truncate_after=int(fault.size))
        case FaultKind.DEAF:
            return Impairment(loss=1.0)
        case FaultKind.STALL | FaultKind.ONE_WAY | FaultKind.PARTITION:
            return Impairment(stalled=True)
        case _:
            return NO_IMPAIRMENT


@asynccontextmanager
async def rig(
    processes: int, folder: Path, *, seed: int = 0, mesh: Json | None = None, workers: int = WORKERS,
    entry: tuple[str, ...] = PROGRAM,
) -> AsyncIterator[Rig]:  # fmt: skip
    """Start a rig, wait until its links are up and all copies equal, and stop it after the block.

    ``mesh`` contains further keys for the section "mesh" of the operators' file. ``entry`` is the
    interpreter's arguments; tests pass a program with a planted defect. Raises RuntimeError if copies do not
    become equal in time.
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
            raise RuntimeError(
                f"timed out waiting for links and equal copies after the start; logs: {folder}"
            )
        lateness.start()
        stack.callback(lateness.stop)
        yield running


class Component(Protocol):
    """An emulated component that a rig starts and stops."""

    async def start(self) -> Any: ...

    async def stop(self) -> Any: ...


async def start_components(stack: contextlib.AsyncExitStack, parts: Iterable[Component]) -> None:
    """Start the components one after another, and register their ``stop`` on the stack."""
    for part in parts:
        await part.start()
        stack.push_async_callback(part.stop)


@dataclass(slots=True)
class Outcome:
    """The result of playing a schedule."""

    broken: list[str]  # descriptions of broken rules
    equal_s: float | None  # from the end of the last fault to equal copies; None: they never became equal
    counts: Counter[EventType]
    late_s: float  # the longest delay of the rig's own event loop
    journal: Journal
    links: dict[str, int]  # sums of the relays' counters, by the counter's name
    # Schedulers that sent no job before the last fault ended; only the control rig sets this field.
    idle_schedulers: tuple[str, ...] = ()

    def __str__(self) -> str:
        n, equal = self.counts, "never" if self.equal_s is None else f"after {self.equal_s:.3f} s"
        return (
            f"{n[EventType.SENT]} sends, {n[EventType.CORDONED]} of "
            f"{n[EventType.CORDON_REQUESTED]} cordons accepted, "
            f"{n[EventType.LIFTED]} of {n[EventType.LIFT_REQUESTED]} lifts; copies equal {equal}; "
            f"this machine was late by {self.late_s:.3f} s at most"
        )


async def play(
    schedule: Schedule, folder: Path, *, on_lost: str, bound_ms: int = BOUND_MS,
    entry: tuple[str, ...] = PROGRAM,
) -> Outcome:  # fmt: skip
    """Play one schedule on newly started processes and check the run; logs remain in ``folder``."""
    mesh = {"on_lost": on_lost, "bound_ms": bound_ms}
    async with rig(len(schedule.names), folder, seed=schedule.seed, mesh=mesh, entry=entry) as running:
        equal = await running.play_and_verify(schedule, CONVERGENCE_LIMIT_S + CONVERGENCE_GRACE_S)
        late = running.lateness.worst_s
    terms = Limits(bound_ms / 1000, on_lost == "hold", CONVERGENCE_LIMIT_S, late_s=late)
    return running.outcome(find_violations(running.journal, terms, UNSAFE), equal, late)


def schedule_of(seed: int, processes: int, only: str | None = None) -> Schedule:
    """The schedule of a seed.

    With ``only``, a comma-separated list of fault numbers, the schedule contains no other faults.
    """
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
        print(f"reduced to:\n{schedule}")
    if found:
        print(f"replay with: {schedule.replay()} --on-lost {options.on_lost} --bound-ms {options.bound_ms}")
    return int(bool(found))


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m robinhill.emulator.rig", description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--only", help="comma-separated numbers of the faults to play; `none`: no fault")
    parser.add_argument("--on-lost", choices=("hold", "serve"), default="hold")
    parser.add_argument("--bound-ms", type=int, default=BOUND_MS)
    parser.add_argument(
        "--shrink", action="store_true", help="reduce a failing schedule to the faults it needs"
    )
    return asyncio.run(_main(parser.parse_args(arguments)))


if __name__ == "__main__":
    sys.exit(main())
