"""Races between the end of an attempt, request or connection and concurrent events, on real sockets.

The tests control the order of events: they hold connects in the event loop, and write a worker's bytes
synchronously, so that the data is available before the scheduler's next step.
"""

import asyncio
import fcntl
import json
import socket
import struct
import termios
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from robinhill import config, protocol
from robinhill.api import Outcome
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.dispatcher.messages import (
    AdoptRequest,
    ClientDisconnected,
    EndpointListReceived,
    ReleaseRequest,
    RequestAccepted,
)
from robinhill.net.metrics import Metrics
from robinhill.net.workers import client
from robinhill.net.workers.attempt import Phase
from robinhill.net.workers.endpoint import Endpoint
from robinhill.net.workers.messages import AttemptEnded, CancelAttempt, EndpointReport, StartAttempt
from robinhill.protocol import Answer, EndpointList, JobEvent, JobState, Lifecycle, ListedEndpoint

from .test_config import ENTRY, GIVEN

TEST_TIMEOUT_S = 5
CLIENT_TIMEOUT_US = 5_000_000
ACCEPTED_RESPONSE = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
NOT_PROCESSED_HEAD = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\n"
REJECTED_RESPONSE = NOT_PROCESSED_HEAD + b"Content-Length: 0\r\n\r\n"
FAILED_RESPONSE = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
CANCELLED_RESPONSE = b"HTTP/1.1 204 No Content\r\n\r\n"


class SetClock(Clock):
    """A clock that a test can set forward without making timers of the event loop expire."""

    ahead_us = 0

    def now_us(self) -> int:
        return super().now_us() + self.ahead_us


class Peer:
    """The worker's end of a connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(False)

    async def read_request_line(self) -> bytes:
        """Read a complete request and return its first line; empty if the connection ends without one."""
        received = b""
        while b"\r\n\r\n" not in received:
            if not (data := await self.read()):
                return received
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        length = next((int(x.split(b":")[1]) for x in head.split(b"\r\n") if x.startswith(b"Content-L")), 0)
        while len(body) < length:
            body += await self.read()
        return head.partition(b"\r\n")[0]

    async def read(self) -> bytes:
        try:
            return await asyncio.get_running_loop().sock_recv(self.sock, 65536)
        except ConnectionResetError:
            return b""

    def write(self, data: bytes) -> None:
        """Write all data synchronously, so that it is sent before the event loop's next iteration."""
        assert self.sock.send(data) == len(data)


class Worker:
    """A worker's listening socket, whose connections the test accepts and answers."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.host_port = "{}:{}".format(*self.sock.getsockname())
        self.peers: list[Peer] = []

    async def accept(self) -> Peer:
        self.peers.append(Peer((await asyncio.get_running_loop().sock_accept(self.sock))[0]))
        return self.peers[-1]

    def close(self) -> None:
        for peer in self.peers:
            peer.sock.close()
        self.sock.close()

    def destination(self, lifecycle: Lifecycle = Lifecycle.ACTIVE) -> ListedEndpoint:
        return ListedEndpoint("s-1", self.host_port, "a", "b", 0, lifecycle, 1.0, 0)


class HeldConnects:
    """Holds the connects of the event loop until the test sets ``proceed``.

    With ``after_connect``, the connection is established first, and only its completion is held back.
    """

    def __init__(self, after_connect: bool = False) -> None:
        loop = asyncio.get_running_loop()
        self.started, self.cancelled, self.proceed = asyncio.Event(), asyncio.Event(), asyncio.Event()
        original_sock_connect = loop.sock_connect

        async def held_connect(sock: socket.socket, address: Any) -> None:
            if after_connect:
                await original_sock_connect(sock, address)
            self.started.set()
            try:
                await self.proceed.wait()
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
            if not after_connect:
                await original_sock_connect(sock, address)

        loop.sock_connect = held_connect  # type: ignore[method-assign]


class EndpointRig:
    """One endpoint actor with the reports that it sends and its worker."""

    def __init__(self, worker: Worker, connect_timeout_us: int) -> None:
        self.worker, self.supervisor, self.clock = worker, Supervisor(), SetClock()
        self.reports: asyncio.Queue[EndpointReport] = asyncio.Queue()
        self.endpoint = Endpoint(
            worker.destination(), self.supervisor, self.clock, connect_timeout_us, 15_000_000, Metrics(()),
            self.reports.put_nowait,
        )  # fmt: skip
        self.endpoint.start()
        self.client_waiting = True

    def dispatch(
        self,
        name: str,
        until_us: int = CLIENT_TIMEOUT_US,
        deadline_us: int = CLIENT_TIMEOUT_US,
        write_until_us: int = CLIENT_TIMEOUT_US,
    ) -> None:
        """Start an attempt; the limits are times from now."""
        now = self.clock.now_us()
        attempt = StartAttempt(
            job=int(name[1:]),
            attempt=0,
            request=job(name),
            until_us=now + until_us,
            deadline_us=now + deadline_us,
            write_until_us=now + write_until_us,
            client_waiting=lambda: self.client_waiting,
        )
        self.endpoint.tell(attempt)

    async def ended_attempt(self) -> tuple[int, Outcome]:
        report = await self.reports.get()
        assert isinstance(report, AttemptEnded), report
        return report.job, report.outcome

    def send_callback(self, name: str, state: JobState = JobState.DONE) -> None:
        self.endpoint.tell(JobEvent(name, "s-1", state, 0.0, "result"))

    async def complete_on_new_connection(self, name: str) -> None:
        """Check that a job arrives on a new connection and is completed there."""
        peer = await self.worker.accept()
        assert await peer.read_request_line() == b"POST /x HTTP/1.1"
        peer.write(ACCEPTED_RESPONSE)
        await wait_until(lambda: self.endpoint.attempts[name].phase is Phase.ACCEPTED)
        self.send_callback(name)
        assert await self.ended_attempt() == (int(name[1:]), Outcome.COMPLETED)


def job(name: str, key: str = "") -> protocol.JobRequest:
    headers = (("X-Request-ID", name),)
    return protocol.JobRequest(name, 1, CLIENT_TIMEOUT_US, False, "/x", b"work", headers, key=key)


@asynccontextmanager
async def endpoint_rig(connect_timeout_us: int = 5_000_000) -> AsyncIterator[EndpointRig]:
    worker = Worker()
    rig = EndpointRig(worker, connect_timeout_us)
    try:
        yield rig
        assert not rig.supervisor.failed.done()
    finally:
        await rig.supervisor.close()
        await rig.endpoint.close()
        worker.close()


def run_test(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, TEST_TIMEOUT_S))


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


# The client disconnects, or a time limit expires, during the connect


@pytest.mark.parametrize(
    "condition, outcome",
    [("client", Outcome.NOT_SENT), ("time", Outcome.TIMEOUT), ("window", Outcome.CONNECT_FAILED)],
)
def test_attempt_is_not_written_if_it_became_unsendable_during_connect(
    condition: str, outcome: Outcome
) -> None:
    """The client disconnects, the attempt expires, or the deduplication window of a keyed request passes.

    The endpoint has received no message about it when the connection is established."""

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            connects = HeldConnects()
            rig.dispatch("j1", until_us=2_000_000, write_until_us=1_000_000)
            await connects.started.wait()
            rig.client_waiting = condition != "client"
            rig.clock.ahead_us = {"client": 0, "window": 1_000_001, "time": 2_000_001}[condition]
            connects.proceed.set()
            peer = await rig.worker.accept()
            assert await peer.read() == b""
            assert await rig.ended_attempt() == (1, outcome)

    run_test(scenario())


def test_cancel_while_connecting_writes_nothing_and_reports_once() -> None:
    """The cancel is sent to the endpoint just before the connect completes."""

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            connects = HeldConnects()
            rig.dispatch("j1")
            await connects.started.wait()
            rig.endpoint.tell(CancelAttempt(1, 0))
            connects.proceed.set()
            assert await rig.ended_attempt() == (1, Outcome.CANCELLED)
            assert rig.reports.empty() and not rig.endpoint.attempts

    run_test(scenario())


def test_timeout_header_is_computed_when_the_request_is_written() -> None:
    """The connect takes half a second of the attempt's time. With the timeout from before the connect, the
    worker would continue to run the job after its client has timed out."""

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            connects = HeldConnects()
            rig.dispatch("j1", until_us=2_000_000)
            await connects.started.wait()
            rig.clock.ahead_us = 500_000
            connects.proceed.set()
            peer, received = await rig.worker.accept(), b""
            while b"\r\n\r\n" not in received:
                received += await peer.read()
            timeout_us = int(received.split(b"X-Timeout: ")[1].split(b"u")[0])
            assert 0 < timeout_us <= 1_500_000

    run_test(scenario())


# Data on a connection without a request


@pytest.mark.parametrize("is_read", [False, True], ids=["unread", "read"])
@pytest.mark.parametrize(
    "stray",
    [REJECTED_RESPONSE, ACCEPTED_RESPONSE, b"HTTP/1.1 5"],
    ids=["rejected", "accepted", "half a line"],
)
def test_data_on_an_idle_connection_is_no_response_to_the_next_request(stray: bytes, is_read: bool) -> None:
    """The worker sends a second response after a 202. If it counted as the response to the next request, a
    503 would prove that this request never ran, while the worker runs it."""

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            first = await rig.worker.accept()
            assert await first.read_request_line() == b"POST /x HTTP/1.1"
            first.write(ACCEPTED_RESPONSE)
            connector: Any = rig.endpoint.client.session.connector
            await wait_until(lambda: bool(connector._conns))
            rig.send_callback("j1")
            assert await rig.ended_attempt() == (1, Outcome.COMPLETED)
            ((pooled, _),) = next(iter(connector._conns.values()))
            transport = pooled.transport
            first.write(stray)
            if is_read:
                await wait_until(lambda: transport.is_closing() or not unread(transport))
            rig.dispatch("j2")
            await rig.complete_on_new_connection("j2")

    run_test(scenario())


def unread(transport: asyncio.Transport) -> int:
    sock = transport.get_extra_info("socket")
    (count,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4))
    return int(count)


@pytest.mark.parametrize(
    "first", [REJECTED_RESPONSE, FAILED_RESPONSE, ACCEPTED_RESPONSE], ids=["rejected", "failed", "accepted"]
)
def test_late_second_response_is_no_response_to_the_next_request(first: bytes) -> None:
    """The next request follows at once, and the second response comes before it could be answered. It was
    taken for its response: the job counted as never run, was sent again, and ran twice."""

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            peer = await rig.worker.accept()
            assert await peer.read_request_line() == b"POST /x HTTP/1.1"
            peer.write(first)
            if first is ACCEPTED_RESPONSE:
                await wait_until(lambda: rig.endpoint.attempts["j1"].phase is Phase.ACCEPTED)
                rig.send_callback("j1")
            assert (await rig.ended_attempt())[0] == 1
            rig.dispatch("j2")
            await asyncio.sleep(0.01)  # the next request goes out before the second response
            peer.write(REJECTED_RESPONSE)
            await rig.complete_on_new_connection("j2")

    run_test(scenario())


def test_second_response_in_the_same_segment_closes_the_connection() -> None:
    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            first = await rig.worker.accept()
            await first.read_request_line()
            first.write(ACCEPTED_RESPONSE + REJECTED_RESPONSE)
            assert await first.read() == b""
            rig.send_callback("j1")
            assert await rig.ended_attempt() == (1, Outcome.COMPLETED)

    run_test(scenario())


def test_connection_with_a_response_before_the_request_is_not_used() -> None:
    """The worker sends a response as soon as the connection is established. The attempt ends as never run."""

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            connects = HeldConnects(after_connect=True)
            rig.dispatch("j1")
            await connects.started.wait()
            peer = await rig.worker.accept()
            peer.write(ACCEPTED_RESPONSE)
            connects.proceed.set()
            assert await peer.read() == b""
            assert await rig.ended_attempt() == (1, Outcome.CONNECT_FAILED)

    run_test(scenario())


# Truncated, malformed and endless responses


@pytest.mark.parametrize("head", [NOT_PROCESSED_HEAD, b"HTTP/1.1 500 No\r\n"], ids=["rejected", "failed"])
def test_endless_response_closes_its_connection(head: bytes) -> None:
    """Without a limit, the body fills the memory until the client's deadline, at 1 GB/s on loopback."""

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            peer = await rig.worker.accept()
            await peer.read_request_line()
            peer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
            await send_endless_chunks(peer)
            assert await rig.ended_attempt() == (1, Outcome.RESET)

    run_test(scenario())


def test_endless_202_closes_its_connection_and_does_not_end_the_attempt() -> None:
    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            peer = await rig.worker.accept()
            await peer.read_request_line()
            peer.write(b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n")
            await wait_until(lambda: rig.endpoint.attempts["j1"].phase is Phase.ACCEPTED)
            await send_endless_chunks(peer)
            rig.send_callback("j1")
            assert await rig.ended_attempt() == (1, Outcome.COMPLETED)

    run_test(scenario())


async def send_endless_chunks(peer: Peer) -> None:
    """Write chunks until the scheduler closes the connection, up to 8 MB."""
    loop = asyncio.get_running_loop()
    with pytest.raises((ConnectionResetError, BrokenPipeError)):
        for _ in range(512):
            await loop.sock_sendall(peer.sock, b"4000\r\n" + b"x" * 0x4000 + b"\r\n")


def test_stalled_response_ends_after_the_linger_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A worker that stops in the middle of a response must not delay the request until the client's deadline.
    The truncated rejection does not prove that the job never ran."""
    monkeypatch.setattr(client, "LINGER_S", 0.05)

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            peer = await rig.worker.accept()
            await peer.read_request_line()
            peer.write(NOT_PROCESSED_HEAD + b"Content-Length: 9\r\n\r\nabc")
            assert await rig.ended_attempt() == (1, Outcome.RESET)
            assert await peer.read() == b""

    run_test(scenario())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 5x3 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
        NOT_PROCESSED_HEAD + b"Content-Length: 9\r\n\r\nabc",
        NOT_PROCESSED_HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc",
        NOT_PROCESSED_HEAD + b"Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 503 Fu",
        b"",
    ],
    ids=["malformed status", "truncated body", "malformed chunk", "two lengths", "half a line", "no data"],
)
def test_malformed_response_never_proves_that_a_job_never_ran(answer: bytes) -> None:
    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            peer = await rig.worker.accept()
            await peer.read_request_line()
            if answer:
                peer.write(answer)
            peer.sock.shutdown(socket.SHUT_WR)
            assert await rig.ended_attempt() == (1, Outcome.RESET)

    run_test(scenario())


def test_unexpected_status_closes_the_connection() -> None:
    """The worker may have the job, and the close makes it drop the job, so that the next attempt is no second
    copy."""

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            peer = await rig.worker.accept()
            await peer.read_request_line()
            peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert await rig.ended_attempt() == (1, Outcome.ERROR)
            assert await peer.read() == b""

    run_test(scenario())


# Cancels


def test_cancel_answered_with_a_server_error_does_not_confirm_the_cancel() -> None:
    """The job may still run, so that the attempt ends as timed out and not as cancelled."""

    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            peer = await rig.worker.accept()
            await peer.read_request_line()
            peer.write(ACCEPTED_RESPONSE)
            await wait_until(lambda: rig.endpoint.attempts["j1"].phase is Phase.ACCEPTED)
            rig.endpoint.tell(CancelAttempt(1, 0))
            assert await peer.read_request_line() == b"DELETE /jobs/j1 HTTP/1.1"
            peer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
            assert await rig.ended_attempt() == (1, Outcome.TIMEOUT)

    run_test(scenario())


@pytest.mark.parametrize("accepted", [False, True], ids=["no 202", "202"])
def test_unanswered_cancel_does_not_delay_the_clients_answer(accepted: bool) -> None:
    """An attempt is cancelled just before its client's deadline. It used to end two connect timeouts after
    the deadline."""

    async def scenario() -> None:
        async with endpoint_rig(connect_timeout_us=60_000_000) as rig:
            rig.dispatch("j1", until_us=40_000, deadline_us=80_000)
            peer = await rig.worker.accept()
            await peer.read_request_line()
            if accepted:
                peer.write(ACCEPTED_RESPONSE)
            cancel = peer if accepted else await rig.worker.accept()
            assert await cancel.read_request_line() == b"DELETE /jobs/j1 HTTP/1.1"
            assert await rig.ended_attempt() == (1, Outcome.TIMEOUT)
            assert rig.reports.empty()

    run_test(scenario())


@pytest.mark.parametrize("first", ["callback", "cancel"])
def test_result_concurrent_with_a_cancel_ends_the_attempt_once(first: str) -> None:
    async def scenario() -> None:
        async with endpoint_rig() as rig:
            rig.dispatch("j1")
            peer = await rig.worker.accept()
            await peer.read_request_line()
            peer.write(ACCEPTED_RESPONSE)
            await wait_until(lambda: rig.endpoint.attempts["j1"].phase is Phase.ACCEPTED)
            if first == "callback":
                rig.send_callback("j1")
                rig.endpoint.tell(CancelAttempt(1, 0))
            else:
                rig.endpoint.tell(CancelAttempt(1, 0))
                rig.send_callback("j1")
                assert await peer.read_request_line() == b"DELETE /jobs/j1 HTTP/1.1"
                peer.write(CANCELLED_RESPONSE)
            assert await rig.ended_attempt() == (1, Outcome.COMPLETED)
            await wait_until(lambda: not rig.endpoint.calls)
            assert rig.reports.empty() and not rig.endpoint.attempts

    run_test(scenario())


# Dispatcher and endpoint together


class DispatcherRig:
    """A dispatcher with one worker; a test of a hand-over uses two of them."""

    def __init__(self, folder: Path, worker: Worker, repeat: str) -> None:
        listed = protocol.encode_listed_endpoint(worker.destination())
        job_class = {"name": "x", "aim-us": 300_000, "hard-limit-us": CLIENT_TIMEOUT_US, "repeat": repeat}
        config_data = json.loads(json.dumps(GIVEN)) | {
            "known": {"generation": 1, "reset": True, "instances": [ENTRY | listed]}
        }
        config_data["settings"]["classes"] = [
            job_class,
            job_class | {"name": "y", "memory-span-us": 1_000_000, "dedup-scope": "all"},
        ]
        config_data["settings"]["policy-limits"]["connect-timeout-us"] = 3_000_000
        path = folder / "config.json"
        path.write_text(json.dumps(config_data))
        loaded = config.load({"GW_CONFIG": str(path)})
        self.supervisor, self.clock = Supervisor(), Clock()
        self.dispatcher = Dispatcher(loaded, self.supervisor, self.clock, Metrics(loaded.classes))
        self.dispatcher.start()

    @property
    def endpoint(self) -> Endpoint:
        return self.dispatcher.table.endpoints["s-1"]

    def submit(self, request: protocol.JobRequest) -> asyncio.Future[Answer]:
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.dispatcher.receive(RequestAccepted(request, self.clock.now_us(), reply))
        return reply

    async def submit_accepted(self, worker: Worker, request: protocol.JobRequest) -> asyncio.Future[Answer]:
        reply = self.submit(request)
        peer = await worker.accept()
        await peer.read_request_line()
        peer.write(ACCEPTED_RESPONSE)
        await wait_until(lambda: self.endpoint.attempts[request.id].phase is Phase.ACCEPTED)
        return reply

    def update_list(self, worker: Worker, lifecycle: Lifecycle) -> None:
        self.dispatcher.receive(
            EndpointListReceived(EndpointList(2, False, (worker.destination(lifecycle),)))
        )


@pytest.fixture
def run_with_dispatchers(tmp_path: Path) -> Callable[..., Awaitable[None]]:
    async def run(work: Callable[..., Awaitable[None]], count: int = 1, repeat: str = "retryable") -> None:
        worker = Worker()
        rigs = [DispatcherRig(tmp_path, worker, repeat) for _ in range(count)]
        try:
            await work(worker, *rigs)
            assert not any(rig.supervisor.failed.done() for rig in rigs)
        finally:
            for rig in rigs:
                await rig.supervisor.close()
                await rig.dispatcher.close()
            worker.close()

    return run


RunWithDispatchers = Callable[..., Coroutine[Any, Any, None]]


def test_client_disconnect_cancels_the_connect(
    run_with_dispatchers: RunWithDispatchers,
) -> None:
    """The connect used to continue, and the request was sent once it completed, however late that was."""

    async def scenario(worker: Worker, rig: DispatcherRig) -> None:
        connects, request = HeldConnects(), job("j1")
        reply = rig.submit(request)
        await connects.started.wait()
        reply.cancel()
        rig.dispatcher.tell(ClientDisconnected(request))
        await connects.cancelled.wait()
        await wait_until(lambda: not rig.dispatcher.in_flight.by_number)
        assert not rig.dispatcher.balancer.attempts and not rig.endpoint.attempts

    run_test(run_with_dispatchers(scenario))


def test_request_of_a_disconnected_client_is_not_retried(run_with_dispatchers: RunWithDispatchers) -> None:
    """The attempt ends after the client has disconnected, and before the dispatcher is notified of that."""

    async def scenario(worker: Worker, rig: DispatcherRig) -> None:
        request = job("j1")
        reply = rig.submit(request)
        peer = await worker.accept()
        await peer.read_request_line()
        reply.cancel()
        peer.write(REJECTED_RESPONSE)
        await wait_until(lambda: not rig.dispatcher.in_flight.by_number)
        rig.dispatcher.receive(ClientDisconnected(request))
        assert not rig.dispatcher.balancer.jobs and not rig.endpoint.attempts
        assert rig.dispatcher.metrics.attempts_sent == 1

    run_test(run_with_dispatchers(scenario))


def test_request_whose_client_has_already_disconnected_is_not_sent(
    run_with_dispatchers: RunWithDispatchers,
) -> None:
    """The client disconnects before the dispatcher receives its request. The request id still counts as
    used."""

    async def scenario(worker: Worker, rig: DispatcherRig) -> None:
        request, reply = job("j1"), asyncio.get_running_loop().create_future()
        reply.cancel()
        rig.dispatcher.receive(RequestAccepted(request, rig.clock.now_us(), reply))
        assert (
            not rig.dispatcher.in_flight.by_number
            and not rig.dispatcher.balancer.jobs
            and "j1" in rig.dispatcher.in_flight.recent_ids
        )
        rig.dispatcher.receive(ClientDisconnected(request))
        duplicate = rig.submit(job("j1"))
        assert duplicate.result() is protocol.CONFLICT

    run_test(run_with_dispatchers(scenario))


def test_client_disconnect_during_a_handover_ends_its_request(
    run_with_dispatchers: RunWithDispatchers,
) -> None:
    """The endpoint has already released the attempt. When no actor took the attempt back, the request stayed
    in flight forever."""

    async def scenario(worker: Worker, rig: DispatcherRig) -> None:
        request = job("j1")
        await rig.submit_accepted(worker, request)
        released: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        rig.dispatcher.receive(ReleaseRequest(request, released))
        await wait_until(lambda: not rig.endpoint.attempts)
        rig.dispatcher.receive(ClientDisconnected(request))  # before the endpoint's AttemptReleased
        assert await released is None
        await wait_until(lambda: "j1" in rig.endpoint.attempts)
        rig.dispatcher.tell(JobEvent("j1", "s-1", JobState.DONE, 0.0, "late"))
        await wait_until(lambda: not rig.dispatcher.in_flight.by_number)
        assert not rig.dispatcher.balancer.attempts and not rig.dispatcher.handover.in_transit

    run_test(run_with_dispatchers(scenario))


def test_removed_endpoint_completes_an_attempt_that_is_handed_over_to_it(
    run_with_dispatchers: RunWithDispatchers,
) -> None:
    """Discovery removes the worker at the moment of a hand-over. The endpoint used to be stopped with the
    attempt in its mailbox, and the client never received its answer."""

    async def scenario(worker: Worker, old: DispatcherRig, new: DispatcherRig) -> None:
        request = job("j1")
        await old.submit_accepted(worker, request)
        released: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        old.dispatcher.receive(ReleaseRequest(request, released))
        exported = await released
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        new.update_list(worker, Lifecycle.REMOVED)
        adopted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        new.dispatcher.receive(AdoptRequest(request, exported, reply, adopted))
        assert adopted.result()
        endpoint = new.endpoint
        await wait_until(lambda: "j1" in endpoint.attempts and not new.dispatcher._scheduled)
        new.dispatcher.tell(JobEvent("j1", "s-1", JobState.DONE, 0.0, "result"))
        assert (await reply).body == b"result"
        await wait_until(lambda: not new.dispatcher.table.endpoints)

    run_test(run_with_dispatchers(scenario, 2))


def test_removed_endpoint_retires_after_releasing_its_last_attempt(
    run_with_dispatchers: RunWithDispatchers,
) -> None:
    async def scenario(worker: Worker, rig: DispatcherRig) -> None:
        request = job("j1")
        await rig.submit_accepted(worker, request)
        rig.update_list(worker, Lifecycle.REMOVED)
        released: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        rig.dispatcher.receive(ReleaseRequest(request, released))
        assert (await released)["attempt"]
        await wait_until(lambda: not rig.dispatcher.table.endpoints)

    run_test(run_with_dispatchers(scenario))


def test_repeat_of_a_keyed_request_is_written_within_its_dedup_window(
    run_with_dispatchers: RunWithDispatchers,
) -> None:
    """A connect can end after the window. The window used to be checked only when the repeat was decided."""

    async def scenario(worker: Worker, rig: DispatcherRig) -> None:
        reply = await rig.submit_accepted(worker, job("j1", "k"))
        rig.dispatcher.tell(JobEvent("j1", "s-1", JobState.DONE, 0.0, "result"))
        await reply
        window = rig.dispatcher.idempotency_keys.dedup_window(rig.clock.now_us(), 1, "k")
        assert window and window.until_us <= rig.clock.now_us() + 1_000_000
        rig.submit(job("j2", "k"))
        await wait_until(lambda: "j2" in rig.endpoint.attempts)
        assert rig.endpoint.attempts["j2"].write_until_us == window.until_us

    run_test(run_with_dispatchers(scenario, repeat="dedup"))
