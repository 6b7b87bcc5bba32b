"""Replaces a running scheduler of one source tree by one of another under load, as an upgrade does.

    python -m benchmarks.handover OLD NEW [--admission]

OLD and NEW are the roots of two source trees, such as clones of two revisions. Both processes share a
listening socket and a state folder. Prints the result as a JSON object. The exit code is 1 if a request got
no answer, a rule of `robinhill.checker` was violated, or the exit code of the old process was not 0.
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
from robinhill.checker.rules import find_violations
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
EXIT_TIMEOUT_S = 20.0
NO_ANSWER = 0  # the status that `Clients` records for a request without an answer
LOAD = [Tenant("one", 60.0), Tenant("two", 30.0)]  # requests a second
HANDED_OVER_EVENT = "event=handed_over"


@dataclass(slots=True, frozen=True)
class HandoverResult:
    """Answers to the requests, and the exit of the replaced process. Field names are keys of the JSON output.

    ``old`` and ``new``: roots of the source trees. ``exit_code``: of the old process. ``handed_over``: the
    number of handed_over events in the log of the old process.
    """

    old: str
    new: str
    admission: bool
    exit_code: int
    answers: dict[int, int]  # counts by HTTP status; `NO_ANSWER` for requests without an answer
    handed_over: int
    broken_rules: list[str]

    @property
    def failed(self) -> bool:
        """Whether a request got no answer, a rule was violated or the exit code was not 0."""
        return bool(self.exit_code or self.answers.get(NO_ANSWER) or self.broken_rules)


def interpreter_arguments(root: str) -> tuple[str, ...]:
    """Arguments of the Python interpreter that run the program from the source tree at ``root``."""
    code = f"import sys; sys.path[0] = {root!r}; from robinhill.commands import main; sys.exit(main())"
    return ("-c", code)


async def replace(old_root: str, new_root: str, admission: bool) -> HandoverResult:
    """Run both programs on loopback and replace the old by the new one; takes some 12 s."""
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
            program_folder = Path(folder) / name
            program_folder.mkdir()
            return Program(
                program_folder, site, discovery, operator, listen=listen, state=state,
                entry=interpreter_arguments(root), env={"GW_SOCKET_FD": str(listener.fileno())},
                pass_fds=(listener.fileno(),),
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
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            exit_code = await old.process.wait()
        await load
        statuses = Counter(attempt.status for job in clients.requested_jobs for attempt in job.tries)
        handed_over = old.log.read_text().count(HANDED_OVER_EVENT)
        await new.stop()
        await discovery.stop()
        for worker in workers:
            await worker.stop()
    non_retryable = [kind.name for kind in site.kinds if kind.repeat == "fragile"]
    violations = find_violations(journal, non_retryable)
    return HandoverResult(old_root, new_root, admission, exit_code, dict(statuses), handed_over, violations)


@click.command()
@click.argument("old", type=click.Path(exists=True, file_okay=False, resolve_path=True))
@click.argument("new", type=click.Path(exists=True, file_okay=False, resolve_path=True))
@click.option("--admission", is_flag=True, help="Enable admission control.")
def main(old: str, new: str, admission: bool) -> None:
    """Replace a scheduler of source tree OLD by one of source tree NEW under load."""
    result = asyncio.run(replace(old, new, admission))
    click.echo(json.dumps(asdict(result)))
    sys.exit(result.failed)


if __name__ == "__main__":
    main()
