"""Replaces a running scheduler of one source tree by one of another, under load: is every request answered?

    python -m benchmarks.handover OLD NEW [--admission]

OLD and NEW are roots of source trees, such as clones of two revisions. Both processes share a listening
socket and a state folder, as in an upgrade. Prints one JSON object; the exit code is 1 if a request got no
answer, a rule was broken or the old process did not end in order.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import click

from robinhill.checker.journal import Journal
from robinhill.checker.rules import broken
from robinhill.emulator.client import Clients, Tenant
from robinhill.emulator.discovery import Discovery
from robinhill.emulator.program import Program
from robinhill.emulator.site import LOOPBACK, Site
from robinhill.emulator.worker import Worker

WORKERS = 6
SLOTS = 4
BACKLOG_CONNECTIONS = 256
LOAD_S = 10.0
BEFORE_HANDOVER_S = 3.0
BEFORE_SIGTERM_S = 0.5
END_S = 20.0
NO_ANSWER = 0
LOAD = [Tenant("one", 60.0), Tenant("two", 30.0)]  # requests a second
HANDED_OVER = "event=handed_over"


@dataclass(slots=True, frozen=True)
class HandoverResult:
    """What became of the requests and of the process that was replaced."""

    old: str
    new: str
    admission: bool
    exit_code: int
    answers: dict[int, int]  # by status; 0: none
    handed_over: int
    broken_rules: list[str]

    @property
    def failed(self) -> bool:
        """Whether a request was lost, a rule broken or the exit code not 0."""
        return bool(self.exit_code or self.answers.get(NO_ANSWER) or self.broken_rules)


def entry_of(root: str) -> tuple[str, ...]:
    """What the interpreter runs so that the program comes from another source tree."""
    code = f"import sys; sys.path[0] = {root!r}; from robinhill.commands import main; sys.exit(main())"
    return ("-c", code)


async def replace(old_root: str, new_root: str, admission: bool) -> HandoverResult:
    """Play one replacement on loopback; takes some 12 s."""
    site, journal = Site(), Journal()
    workers = [Worker(f"w{i}", site, journal, SLOTS, speed=1.0 - 0.3 * (i % 2)) for i in range(WORKERS)]
    discovery = Discovery(workers, journal)
    operator: dict[str, Any] | None = {"admission": {"enabled": True}} if admission else None
    listener = socket.create_server((LOOPBACK, 0), backlog=BACKLOG_CONNECTIONS)
    os.set_inheritable(listener.fileno(), True)
    listen = f"{LOOPBACK}:{listener.getsockname()[1]}"
    with tempfile.TemporaryDirectory(prefix="robinhill-") as folder, listener:
        state = Path(folder) / "state"
        state.mkdir()

        def program(name: str, root: str) -> Program:
            own_folder = Path(folder) / name
            own_folder.mkdir()
            return Program(
                own_folder, site, discovery, operator, listen=listen, state=state, entry=entry_of(root),
                env={"GW_SOCKET_FD": str(listener.fileno())}, pass_fds=(listener.fileno(),),
            )  # fmt: skip

        old, new = program("old", old_root), program("new", new_root)
        for worker in workers:
            worker.scheduler = listen
            await worker.start()
        await discovery.start()
        await old.start()
        clients = Clients(site, lambda: listen, journal, seed=5)
        load = asyncio.create_task(clients.play(LOAD, LOAD_S))
        await asyncio.sleep(BEFORE_HANDOVER_S)
        await new.start()
        await asyncio.sleep(BEFORE_SIGTERM_S)
        old.signal(signal.SIGTERM)
        assert old.process
        async with asyncio.timeout(END_S):
            exit_code = await old.process.wait()
        await load
        statuses = Counter(attempt.status for asked in clients.asked for attempt in asked.tries)
        handed_over = old.log.read_text().count(HANDED_OVER)
        await new.stop()
        await discovery.stop()
        for worker in workers:
            await worker.stop()
    unsafe = [kind.name for kind in site.kinds if kind.repeat == "fragile"]
    found = broken(journal, unsafe)
    return HandoverResult(old_root, new_root, admission, exit_code, dict(statuses), handed_over, found)


@click.command()
@click.argument("old", type=click.Path(exists=True, file_okay=False, resolve_path=True))
@click.argument("new", type=click.Path(exists=True, file_okay=False, resolve_path=True))
@click.option("--admission", is_flag=True, help="with admission control")
def main(old: str, new: str, admission: bool) -> None:
    """Replace a process of OLD by one of NEW under load."""
    result = asyncio.run(replace(old, new, admission))
    click.echo(json.dumps(asdict(result)))
    sys.exit(result.failed)


if __name__ == "__main__":
    main()
