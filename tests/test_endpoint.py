"""A probe is one GET /health; the module asks for none by itself, so no exchange shows it."""

import asyncio

import pytest

from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.metrics import Metrics
from robinhill.net.workers.endpoint import Endpoint
from robinhill.net.workers.messages import CheckHealth, EndpointReport, HealthCheckEnded
from robinhill.protocol import Lifecycle, ListedEndpoint


@pytest.mark.parametrize(
    "status, alive",
    [("200 OK", True), ("503 Service Unavailable", True), ("", False)],
)
def test_a_probe_tells_whether_the_endpoint_is_alive(status: str, alive: bool) -> None:
    """One that drains says 503 and finishes what it has. Taken for dead, its jobs were moved and began anew:
    169 times in 30 s of a fleet's release (join+vast)."""

    async def probe() -> tuple[bytes, EndpointReport]:
        asked: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.set_result(await reader.readline())
            if status:
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(worker, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        told: asyncio.Future[EndpointReport] = asyncio.get_running_loop().create_future()
        destination = ListedEndpoint("s-1", f"{host}:{port}", "a", "b", 0, Lifecycle.ACTIVE, 1.0, 0)
        supervisor, metrics = Supervisor(), Metrics(())
        endpoint = Endpoint(destination, supervisor, Clock(), 5_000_000, 15_000_000, metrics, told.set_result)
        endpoint.start()
        endpoint.tell(CheckHealth())
        found = await asked, await told
        await supervisor.close()
        await endpoint.close()
        server.close()
        return found

    assert asyncio.run(probe()) == (b"GET /health HTTP/1.1\r\n", HealthCheckEnded("s-1", alive))
