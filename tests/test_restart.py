"""SIGTERM while clients keep sending requests on persistent connections.

Every request is answered, and the last answer on each connection has the header `Connection: close`.
"""

import asyncio
import signal
from collections import Counter

from robinhill.emulator.program import LoopbackSite, loopback_site

CONNECTIONS = 50


class Client:
    """Sends requests one after another on one connection until the scheduler closes it."""

    def __init__(self, number: int, outcomes: Counter[str]) -> None:
        self.number, self.outcomes = number, outcomes
        self.served = asyncio.Event()

    async def run(self, listen: str) -> None:
        host, _, port = listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        count = 0
        while True:
            count += 1
            request_id = f"c{self.number}-{count}"
            writer.write(
                b"POST /member-lookup HTTP/1.1\r\nHost: x\r\nX-Request-ID: %b\r\n"
                b"X-Priority-Class: member-lookup\r\nContent-Length: 0\r\n\r\n" % request_id.encode()
            )
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.outcomes["closed unanswered"] += 1
                break
            length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            self.outcomes[head.split()[1].decode()] += 1
            if b"connection: close" in head:
                self.outcomes["connection: close"] += 1
                break
            if head.split()[1] == b"200":
                self.served.set()
        writer.close()


async def _terminate_under_load(setup: LoopbackSite) -> tuple[Counter[str], int]:
    """Send SIGTERM once each client has had a 200; return the outcomes and the program's exit code."""
    outcomes: Counter[str] = Counter()
    clients = [Client(number, outcomes) for number in range(CONNECTIONS)]
    running = [asyncio.create_task(c.run(setup.program.listen)) for c in clients]
    async with asyncio.timeout(60):
        await asyncio.gather(*(c.served.wait() for c in clients))
        setup.program.signal(signal.SIGTERM)
        await asyncio.gather(*running)
        assert setup.program.process
        return outcomes, await setup.program.process.wait()


def test_requests_after_sigterm_are_answered_and_each_connection_gets_connection_close() -> None:
    async def run() -> None:
        async with loopback_site(workers=6, slots=16) as setup:
            outcomes, code = await _terminate_under_load(setup)
        assert code == 0
        assert outcomes["closed unanswered"] == 0 and outcomes["connection: close"] == CONNECTIONS, outcomes
        assert outcomes["200"] >= 2 * CONNECTIONS - outcomes["503"], outcomes

    asyncio.run(run())
