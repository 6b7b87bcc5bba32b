"""Many requests of bad clients, then the id of a usual client's open request: does the scheduler go on?"""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standin import (
    CLASSES,
    TROUBLE,
    Client,
    Discovery,
    Json,
    Record,
    Scheduler,
    Worker,
    free_address,
    read_message,
    run_case,
    second_copies,
    settings,
    wait_ready,
)

SEED = 43
CLIENTS = 6  # usual clients
CALM_S = 3.0
LONG_RUN_MS = 18_000.0  # of one long renewal-charge; it is given up after 25 s
BAD_CLIENTS = 20
BAD_REQUESTS = 1_000  # of each bad client at most
COPY_PAUSE_S = 0.5
LAST_REQUEST_S = 34.0
TOTAL_S = 45.0
RUN_MS = {CLASSES[0]: (430.0, 820.0), CLASSES[1]: (2600.0, 4900.0), CLASSES[2]: (1700.0, 3300.0)}
SHARES = (0.47, 0.31, 0.22)


async def traffic(client: Client, rng: random.Random) -> None:
    """One usual client: a job after the other, on one kept connection."""
    number = 0
    while client.record.now() < LAST_REQUEST_S:
        job_class = rng.choices(CLASSES, SHARES)[0]
        await client.ask(f"{client.name}-{number:04d}", job_class, rng.uniform(*RUN_MS[job_class]))
        number += 1
        await asyncio.sleep(rng.uniform(0.05, 0.4))


async def turned_away(listen: str, name: str, stop: asyncio.Event, statuses: Counter[int | None]) -> None:
    """One bad client: sends its request again, under a fresh id, the moment it is turned away."""
    host, port = listen.split(":")
    streams = None
    for number in range(BAD_REQUESTS):
        if stop.is_set():
            break
        try:
            streams = streams or await asyncio.open_connection(host, int(port))
            head = (
                f"POST /{CLASSES[0]} HTTP/1.1", "Host: api.internal", f"X-Request-ID: {name}-{number:04d}",
                f"X-Priority-Class: {CLASSES[0]}", "X-Timeout: 1m", "Content-Length: 2",
            )  # fmt: skip
            streams[1].write(("\r\n".join(head) + "\r\n\r\n{}").encode())
            got = await read_message(streams[0])
        except ConnectionError:
            got = None
        statuses[got.status if got else None] += 1
        if streams and (got is None or got.headers.get("connection", "").lower() == "close"):
            streams[1].close()
            streams = None
    if streams:
        streams[1].close()


async def copier(record: Record, listen: str, victim: str, stop: asyncio.Event) -> None:
    """Another bad client: sends the id of a usual client's open request until it isn't turned away for it."""
    bad = Client(record, listen, "bad")
    while not stop.is_set() and not any(line["id"] == victim for line in usual_answers(record)):
        got = await bad.ask(victim, CLASSES[2], 1_000.0, timeout_ms=8_000)
        if got and got.status != 409:
            break
        await asyncio.sleep(COPY_PAUSE_S)
    stop.set()


async def bad_clients(record: Record, listen: str, victim: str) -> None:
    """All bad clients, until a copy of the victim's request is accepted, or the request is answered."""
    statuses: Counter[int | None] = Counter()
    stop = asyncio.Event()
    record.write("bad_clients_begin")
    floods = (turned_away(listen, f"b{n:02d}", stop, statuses) for n in range(BAD_CLIENTS))
    await asyncio.gather(copier(record, listen, victim, stop), *floods)
    counts = {str(status): count for status, count in statuses.items()}
    record.write("bad_clients_end", statuses=counts)


def usual_answers(record: Record) -> list[Json]:
    """The ends of usual clients' requests."""
    return [line for line in record.of("answer") if line["client"] != "bad"]


async def play(record: Record, folder: Path) -> bool:
    """Play usual traffic with bad clients beside it; return whether the scheduler ended by itself."""
    rng = random.Random(SEED)
    discovery, listen = Discovery(record), free_address()
    await discovery.start()
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
    victim = "usual-0000"
    tasks: list[asyncio.Task[object]] = []
    try:
        scheduler.start()
        await wait_ready(listen, "/ready")
        tasks += [
            asyncio.create_task(traffic(Client(record, listen, f"c{number}"), rng))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(CALM_S)
        usual = Client(record, listen, "usual")
        tasks.append(asyncio.create_task(usual.ask(victim, CLASSES[2], LONG_RUN_MS)))
        await asyncio.sleep(0.2)
        if TROUBLE:
            tasks.append(asyncio.create_task(bad_clients(record, listen, victim)))
        crashed = False
        while record.now() < TOTAL_S and not crashed:
            await asyncio.sleep(0.25)
            crashed = scheduler.crashed(0)
        await asyncio.sleep(1.0)
        await asyncio.wait(tasks, timeout=0.1)
    finally:
        scheduler.end()
        for task in tasks:
            task.cancel()
    for line in record.of("bad_clients_end") + record.of("exited"):
        print(str(line)[:200])
    unanswered = [line["id"] for line in usual_answers(record) if line["status"] is None]
    print(f"{len(usual_answers(record))} answers to usual clients; requests without one: {unanswered}")
    print(f"second copies: {[(line['id'], line['job_class']) for line in second_copies(record)]}")
    to_both = [(x["client"], x["status"]) for x in record.of("answer") if x["id"] == victim]
    print(f"to the open request and its copies: {to_both}")
    return crashed


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
