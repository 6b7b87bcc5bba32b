"""A header that can't be read, while the program is replaced: are other clients' requests lost?"""

import asyncio
import random
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standin import (
    CLASSES,
    HOST,
    TROUBLE,
    Client,
    Discovery,
    Record,
    Scheduler,
    Worker,
    free_address,
    run_case,
    settings,
    wait_ready,
)

SEED = 43
LISTENING_DESCRIPTOR = 4
CLIENTS = 8
CALM_S = 4.0  # before the unreadable request
BEFORE_S = 0.5  # between that request and the start of the replacement
BAD_RUN_MS = 4900.0  # the upper end of 5.2
LAST_REQUEST_S = 25.0
TOTAL_S = 55.0  # the longest deadline is 25 s
RUN_MS = {CLASSES[0]: (430.0, 820.0), CLASSES[1]: (2600.0, 4900.0), CLASSES[2]: (1700.0, 3300.0)}
SHARES = (0.47, 0.31, 0.22)
READABLE = b"X-Tenant-Id: Societe"
UNREADABLE = b"X-Tenant-Id: Soci\xe9t\xe9"  # in Latin-1: these bytes aren't valid UTF-8


async def traffic(client: Client, rng: random.Random) -> None:
    """One usual client: a job after the other, on one kept connection."""
    number = 0
    while client.record.now() < LAST_REQUEST_S:
        job_class = rng.choices(CLASSES, SHARES)[0]
        await client.ask(f"{client.name}-{number:04d}", job_class, rng.uniform(*RUN_MS[job_class]))
        number += 1
        await asyncio.sleep(rng.uniform(0.05, 0.4))


async def bad_client(client: Client) -> None:
    """Send one season-report whose head can't be read, and wait for its answer."""
    header = UNREADABLE if TROUBLE else READABLE
    client.record.write("bad_client", id="bad-0000", header=repr(header))
    await client.ask("bad-0000", CLASSES[1], BAD_RUN_MS, header=header)


async def play(record: Record, folder: Path) -> bool:
    """Replace the process under load, and return whether a usual client's request was lost."""
    rng = random.Random(SEED)
    discovery = Discovery(record)
    await discovery.start()
    with socket.create_server((HOST, 0), backlog=1024) as listening:
        listen = "{}:{}".format(*listening.getsockname())
        workers = [Worker(f"s-{number}", record, listen) for number in range(10)]
        for worker in workers:
            await worker.start()
            discovery.set(worker.name, worker.address, "brisbane", "std-8")
        config = {
            "name": "n1", "listen": listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.known(),
            "settings": settings(),
        }  # fmt: skip
        scheduler = Scheduler(record, folder, listen, config)
        descriptors = {LISTENING_DESCRIPTOR: listening.fileno()}

        async def start() -> int:
            ops = free_address()
            env = {"GW_OPS": ops, "GW_SOCKET_FD": str(LISTENING_DESCRIPTOR)}
            number = scheduler.start(env, descriptors)
            await wait_ready(ops, "/ops/readiness")
            record.write("yes", process=number)
            return number

        tasks: list[asyncio.Task[None]] = []
        try:
            old = await start()
            clients = [Client(record, listen, f"c{number}") for number in range(CLIENTS)]
            tasks = [asyncio.create_task(traffic(client, rng)) for client in clients]
            await asyncio.sleep(CALM_S)
            tasks.append(asyncio.create_task(bad_client(Client(record, listen, "bad"))))
            await asyncio.sleep(BEFORE_S)
            new = await start()
            scheduler.signal(old, signal.SIGTERM)  # the new process has said yes
            await asyncio.wait(tasks, timeout=TOTAL_S - record.now())
            for number in (old, new):
                errors = [line for line in scheduler.log(number).splitlines() if "Error: " in line][:1]
                code = scheduler.processes[number].poll()
                record.write("process", process=number, code=code, error=errors)
        finally:
            scheduler.end()
            for task in tasks:
                task.cancel()
    return verdict(record)


def verdict(record: Record) -> bool:
    """Whether a usual client got no answer to a request that had reached a worker; prints which."""
    reached = {line["id"] for line in record.of("attempt")}
    answers = [line for line in record.of("answer") if line["client"] != "bad"]
    lost = [line["id"] for line in answers if line["status"] is None and line["id"] in reached]
    for line in record.of("request"):
        if line["id"] in lost:
            record.write("lost", id=line["id"], job_class=line["job_class"], sent_at=line["t"])
    for line in record.of("process"):
        print(f"process {line['process']}: exit code {line['code']}, {line['error']}")
    print(f"{len(answers)} answers to usual clients; without one, though a worker had the job: {lost}")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
