"""The id of another client's open request, while the program is replaced: does the new process go on?"""

import asyncio
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
    second_copies,
    settings,
    wait_ready,
)

LISTENING_DESCRIPTOR = 4
CLIENTS = 6
SIGTERM_AFTER_S = 6.0  # the new process gets 6 s to say yes; then the old one gets SIGTERM
OPEN_RUN_MS = 6_000.0
TOTAL_S = 40.0


async def traffic(client: Client, until_s: float) -> None:
    """One usual client: a job after the other, on one kept connection."""
    number = 0
    while client.record.now() < until_s:
        job_class = CLASSES[number % 3]
        await client.ask(f"{client.name}-{number:04d}", job_class, (600.0, 2600.0, 1700.0)[number % 3])
        number += 1
        await asyncio.sleep(0.2)


async def play(record: Record, folder: Path) -> bool:
    """Replace the process under load, and return whether the new one crashed or lost requests."""
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

        try:
            old = await start()
            usual = Client(record, listen, "usual")
            await usual.ask("usual-0000", CLASSES[0], 300.0)  # its connection stays open
            load = [
                asyncio.create_task(traffic(Client(record, listen, f"c{number}"), TOTAL_S - 4))
                for number in range(CLIENTS)
            ]
            await asyncio.sleep(2.0)
            replaced = asyncio.get_running_loop().time()
            new = await start()
            await asyncio.sleep(replaced + SIGTERM_AFTER_S - 1.5 - asyncio.get_running_loop().time())
            open_request = asyncio.create_task(usual.ask("usual-0001", CLASSES[2], OPEN_RUN_MS))
            await asyncio.sleep(0.5)
            if TROUBLE:  # a bad client: the id of another client's open request
                bad = Client(record, listen, "bad")
                other = asyncio.create_task(bad.ask("usual-0001", CLASSES[2], 1_000.0))
                load.append(other)
            await asyncio.sleep(1.0)
            scheduler.signal(old, signal.SIGTERM)
            crashed = False
            while record.now() < TOTAL_S and not crashed:
                await asyncio.sleep(0.25)
                crashed = scheduler.crashed(new)
            await asyncio.sleep(1.0)
            for task in (open_request, *load):
                task.cancel()
            await asyncio.gather(open_request, *load, return_exceptions=True)
        finally:
            scheduler.end()
    unanswered = [x["id"] for x in record.of("answer") if x["status"] is None and x["client"] != "bad"]
    print(f"{len(record.of('answer'))} answers; requests of usual clients without one: {unanswered}")
    print(f"{len(second_copies(record))} second copies")
    print("the new process crashed" if crashed else "the new process still ran at the end")
    return crashed


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
