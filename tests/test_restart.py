"""A planned restart under clients that go on sending on every connection that stays open."""

import asyncio
import signal
from collections import Counter

from robinhill.emulator.program import Town, town

CONNECTIONS = 50


class Client:
    """One connection on which requests follow each other until it is closed."""

    def __init__(self, number: int, seen: Counter[str]) -> None:
        self.number, self.seen = number, seen
        self.served = asyncio.Event()

    async def run(self, listen: str) -> None:
        host, _, port = listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        count = 0
        while True:
            count += 1
            name = f"c{self.number}-{count}"
            writer.write(
                b"POST /member-lookup HTTP/1.1\r\nHost: x\r\nX-Request-ID: %b\r\n"
                b"X-Priority-Class: member-lookup\r\nContent-Length: 0\r\n\r\n" % name.encode()
            )
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.seen["closed unanswered"] += 1
                break
            length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            self.seen[head.split()[1].decode()] += 1
            if b"connection: close" in head:
                self.seen["told to close"] += 1
                break
            if head.split()[1] == b"200":
                self.served.set()
        writer.close()


async def _restart(here: Town) -> tuple[Counter[str], int]:
    seen: Counter[str] = Counter()
    clients = [Client(number, seen) for number in range(CONNECTIONS)]
    running = [asyncio.create_task(c.run(here.program.listen)) for c in clients]
    async with asyncio.timeout(60):
        await asyncio.gather(*(c.served.wait() for c in clients))
        here.program.signal(signal.SIGTERM)
        await asyncio.gather(*running)
        assert here.program.process
        return seen, await here.program.process.wait()


def test_whatever_clients_send_after_sigterm_is_answered_and_each_connection_told_to_close() -> None:
    async def play() -> None:
        async with town(workers=6, slots=16) as here:
            seen, code = await _restart(here)
        assert code == 0
        assert seen["closed unanswered"] == 0 and seen["told to close"] == CONNECTIONS, seen
        assert seen["200"] >= 2 * CONNECTIONS - seen["503"], seen

    asyncio.run(play())
