"""The endpoint's health check: one GET /health, which the exchange tests never trigger."""

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
def test_health_check_reports_any_answer_as_alive(status: str, alive: bool) -> None:
    """A draining worker answers 503 and finishes its jobs. When such a worker counted as dead, its jobs were
    moved and restarted, 169 times within 30 s of deploying a release to the fleet (scenario join+vast)."""

    async def check_health() -> tuple[bytes, EndpointReport]:
        request_line: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            request_line.set_result(await reader.readline())
            if status:
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(worker, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        report: asyncio.Future[EndpointReport] = asyncio.get_running_loop().create_future()
        destination = ListedEndpoint("s-1", f"{host}:{port}", "a", "b", 0, Lifecycle.ACTIVE, 1.0, 0)
        supervisor, metrics = Supervisor(), Metrics(())
        endpoint = Endpoint(
            destination, supervisor, Clock(), 5_000_000, 15_000_000, metrics, report.set_result
        )
        endpoint.start()
        endpoint.tell(CheckHealth())
        received = await request_line, await report
        await supervisor.close()
        await endpoint.close()
        server.close()
        return received

    assert asyncio.run(check_health()) == (b"GET /health HTTP/1.1\r\n", HealthCheckEnded("s-1", alive))
