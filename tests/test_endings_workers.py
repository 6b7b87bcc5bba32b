"""What ends between a scheduler and its workers, on real sockets, with what crosses it held to that instant.

A connect is held back in the event loop, and a worker's bytes are written by a blocking socket of the test's,
so that they are there before the program's next step.
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

PATIENCE_S = 5
LEFT_US = 5_000_000
TAKEN = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
UNPROCESSED = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\n"
SHED = UNPROCESSED + b"Content-Length: 0\r\n\r\n"
CANCELLED = b"HTTP/1.1 204 No Content\r\n\r\n"


class SetClock(Clock):
    """A clock that a test sets forward while no timer of the loop fires."""

    ahead_us = 0

    def now_us(self) -> int:
        return super().now_us() + self.ahead_us


class Peer:
    """The worker's end of a connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(False)

    async def head(self) -> bytes:
        """The first line of a request, which is read whole; empty where the connection ends instead."""
        got = b""
        while b"\r\n\r\n" not in got:
            if not (data := await self.read()):
                return got
            got += data
        head, _, body = got.partition(b"\r\n\r\n")
        length = next((int(x.split(b":")[1]) for x in head.split(b"\r\n") if x.startswith(b"Content-L")), 0)
        while len(body) < length:
            body += await self.read()
        return head.partition(b"\r\n")[0]

    async def read(self) -> bytes:
        try:
            return await asyncio.get_running_loop().sock_recv(self.sock, 65536)
        except ConnectionResetError:
            return b""

    def say(self, data: bytes) -> None:
        """Written at once, whole: the loop makes no step before it is there."""
        assert self.sock.send(data) == len(data)


class Worker:
    """A listener whose connections the test answers by itself."""

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
    """Connects that the loop begins wait here until the test lets them come up, or tell of it ``late``."""

    def __init__(self, late: bool = False) -> None:
        loop = asyncio.get_running_loop()
        self.begun, self.called_off, self.go = asyncio.Event(), asyncio.Event(), asyncio.Event()
        real = loop.sock_connect

        async def held(sock: socket.socket, address: Any) -> None:
            if late:
                await real(sock, address)
            self.begun.set()
            try:
                await self.go.wait()
            except asyncio.CancelledError:
                self.called_off.set()
                raise
            if not late:
                await real(sock, address)

        loop.sock_connect = held  # type: ignore[method-assign]


class Rig:
    """One endpoint actor, what it reports, and the worker behind it."""

    def __init__(self, worker: Worker, connect_timeout_us: int) -> None:
        self.worker, self.supervisor, self.clock = worker, Supervisor(), SetClock()
        self.reports: asyncio.Queue[EndpointReport] = asyncio.Queue()
        self.endpoint = Endpoint(
            worker.destination(), self.supervisor, self.clock, connect_timeout_us, 15_000_000, Metrics(()),
            self.reports.put_nowait,
        )  # fmt: skip
        self.endpoint.start()
        self.wanted = True

    def dispatch(self, name: str, until_us: int = LEFT_US, **changes: int) -> None:
        now = self.clock.now_us()
        limits = {"deadline_us": LEFT_US, "write_until_us": LEFT_US} | changes
        limits = {key: now + value for key, value in limits.items()}
        wanted: Callable[[], bool] = lambda: self.wanted  # noqa: E731
        self.endpoint.tell(StartAttempt(int(name[1:]), 0, job(name), now + until_us, wanted=wanted, **limits))

    async def ended(self) -> tuple[int, Outcome]:
        report = await self.reports.get()
        assert isinstance(report, AttemptEnded), report
        return report.job, report.outcome

    def done(self, name: str, state: JobState = JobState.DONE) -> None:
        self.endpoint.tell(JobEvent(name, "s-1", state, 0.0, "result"))


def job(name: str, key: str = "") -> protocol.JobRequest:
    headers = (("X-Request-ID", name),)
    return protocol.JobRequest(name, 1, LEFT_US, False, "/x", b"work", headers, key=key)


@asynccontextmanager
async def rig(connect_timeout_us: int = 5_000_000) -> AsyncIterator[Rig]:
    worker = Worker()
    made = Rig(worker, connect_timeout_us)
    try:
        yield made
        assert not made.supervisor.failed.done()
    finally:
        await made.supervisor.close()
        await made.endpoint.close()
        worker.close()


def play(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, PATIENCE_S))


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0)


# The client has gone, or a limit is over, while a connection comes up


@pytest.mark.parametrize(
    "what, outcome",
    [("client", Outcome.NOT_SENT), ("time", Outcome.TIMEOUT), ("window", Outcome.CONNECT_FAILED)],
)
def test_nothing_is_written_on_a_connection_that_comes_too_late(what: str, outcome: Outcome) -> None:
    """The client has gone, the attempt's time is up, or workers no longer drop a repeat of a keyed request.

    No word of it has come to the endpoint when the connection is there."""

    async def late() -> None:
        async with rig() as r:
            connects = HeldConnects()
            r.dispatch("j1", until_us=2_000_000, write_until_us=1_000_000)
            await connects.begun.wait()
            r.wanted = what != "client"
            r.clock.ahead_us = {"client": 0, "window": 1_000_001, "time": 2_000_001}[what]
            connects.go.set()
            peer = await r.worker.accept()
            assert await peer.read() == b""
            assert await r.ended() == (1, outcome)

    play(late())


def test_a_withdrawal_in_the_instant_of_the_connect_writes_nothing() -> None:
    async def withdraw() -> None:
        async with rig() as r:
            connects = HeldConnects()
            r.dispatch("j1")
            await connects.begun.wait()
            r.endpoint.tell(CancelAttempt(1, 0))
            connects.go.set()
            assert await r.ended() == (1, Outcome.CANCELLED)
            assert r.reports.empty() and not r.endpoint.attempts

    play(withdraw())


def test_the_time_that_a_worker_is_told_is_what_is_left_when_the_request_is_written() -> None:
    """The connect took half a second of it: told as of before, the worker would run on past the client."""

    async def late() -> None:
        async with rig() as r:
            connects = HeldConnects()
            r.dispatch("j1", until_us=2_000_000)
            await connects.begun.wait()
            r.clock.ahead_us = 500_000
            connects.go.set()
            peer, got = await r.worker.accept(), b""
            while b"\r\n\r\n" not in got:
                got += await peer.read()
            told = int(got.split(b"X-Timeout: ")[1].split(b"u")[0])
            assert 0 < told <= 1_500_000

    play(late())


# A connection says what nobody asked for


@pytest.mark.parametrize("seen", [False, True], ids=["unread", "read"])
@pytest.mark.parametrize("stray", [SHED, TAKEN, b"HTTP/1.1 5"], ids=["shed", "taken", "half a line"])
def test_bytes_on_a_resting_connection_are_no_answer_to_the_next_request(stray: bytes, seen: bool) -> None:
    """A second answer behind a 202: taken for the next request's, a 503 would prove that one never ran while
    the endpoint runs it."""

    async def second_answer() -> None:
        async with rig() as r:
            r.dispatch("j1")
            first = await r.worker.accept()
            assert await first.head() == b"POST /x HTTP/1.1"
            first.say(TAKEN)
            connector: Any = r.endpoint.client.session.connector
            await until(lambda: bool(connector._conns))
            r.done("j1")
            assert await r.ended() == (1, Outcome.COMPLETED)
            ((wire, _),) = next(iter(connector._conns.values()))
            transport = wire.transport
            first.say(stray)
            if seen:
                await until(lambda: transport.is_closing() or not unread(transport))
            r.dispatch("j2")
            second = await r.worker.accept()
            assert await second.head() == b"POST /x HTTP/1.1"
            second.say(TAKEN)
            await until(lambda: r.endpoint.attempts["j2"].phase is Phase.ACCEPTED)
            r.done("j2")
            assert await r.ended() == (2, Outcome.COMPLETED)

    play(second_answer())


def unread(transport: asyncio.Transport) -> int:
    sock = transport.get_extra_info("socket")
    (count,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4))
    return int(count)


def test_a_second_answer_in_one_segment_ends_the_connection() -> None:
    async def twice() -> None:
        async with rig() as r:
            r.dispatch("j1")
            first = await r.worker.accept()
            await first.head()
            first.say(TAKEN + SHED)
            assert await first.read() == b""
            r.done("j1")
            assert await r.ended() == (1, Outcome.COMPLETED)

    play(twice())


def test_an_answer_before_the_request_proves_nothing() -> None:
    """The worker speaks first: its connection is not used, and the job never ran."""

    async def first() -> None:
        async with rig() as r:
            connects = HeldConnects(late=True)
            r.dispatch("j1")
            await connects.begun.wait()
            peer = await r.worker.accept()
            peer.say(TAKEN)
            connects.go.set()
            assert await peer.read() == b""
            assert await r.ended() == (1, Outcome.CONNECT_FAILED)

    play(first())


# Answers that are cut, broken or without end


@pytest.mark.parametrize("head", [UNPROCESSED, b"HTTP/1.1 500 No\r\n"], ids=["shed", "failed"])
def test_an_answer_without_end_ends_its_connection(head: bytes) -> None:
    """It filled the memory until the client's own limit, 1 GB a second on loopback."""

    async def endless() -> None:
        async with rig() as r:
            r.dispatch("j1")
            peer = await r.worker.accept()
            await peer.head()
            peer.say(head + b"Transfer-Encoding: chunked\r\n\r\n")
            await pour(peer)
            assert await r.ended() == (1, Outcome.RESET)

    play(endless())


def test_a_202_without_end_ends_its_connection_and_not_the_attempt() -> None:
    async def endless() -> None:
        async with rig() as r:
            r.dispatch("j1")
            peer = await r.worker.accept()
            await peer.head()
            peer.say(b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n")
            await until(lambda: r.endpoint.attempts["j1"].phase is Phase.ACCEPTED)
            await pour(peer)
            r.done("j1")
            assert await r.ended() == (1, Outcome.COMPLETED)

    play(endless())


async def pour(peer: Peer) -> None:
    """Write chunks until the program ends the connection; 8 MB at most."""
    loop = asyncio.get_running_loop()
    with pytest.raises((ConnectionResetError, BrokenPipeError)):
        for _ in range(512):
            await loop.sock_sendall(peer.sock, b"4000\r\n" + b"x" * 0x4000 + b"\r\n")


def test_an_answer_that_stops_short_ends_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """It held the request until the client's own limit; cut, it proves nothing."""
    monkeypatch.setattr(client, "LINGER_S", 0.05)

    async def stop() -> None:
        async with rig() as r:
            r.dispatch("j1")
            peer = await r.worker.accept()
            await peer.head()
            peer.say(UNPROCESSED + b"Content-Length: 9\r\n\r\nabc")
            assert await r.ended() == (1, Outcome.RESET)
            assert await peer.read() == b""

    play(stop())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 5x3 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
        UNPROCESSED + b"Content-Length: 9\r\n\r\nabc",
        UNPROCESSED + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc",
        UNPROCESSED + b"Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 503 Fu",
        b"",
    ],
    ids=["status", "cut body", "chunks", "two lengths", "half a line", "nothing"],
)
def test_a_spoilt_answer_never_proves_that_a_job_never_ran(answer: bytes) -> None:
    async def spoil() -> None:
        async with rig() as r:
            r.dispatch("j1")
            peer = await r.worker.accept()
            await peer.head()
            if answer:
                peer.say(answer)
            peer.sock.shutdown(socket.SHUT_WR)
            assert await r.ended() == (1, Outcome.RESET)

    play(spoil())


def test_an_answer_that_is_none_gives_the_job_up() -> None:
    """It may have the job, and the next attempt must not be a second copy: its connection is closed."""

    async def none() -> None:
        async with rig() as r:
            r.dispatch("j1")
            peer = await r.worker.accept()
            await peer.head()
            peer.say(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert await r.ended() == (1, Outcome.ERROR)
            assert await peer.read() == b""

    play(none())


# Cancels


def test_a_cancel_that_is_answered_with_an_error_gives_nothing_up() -> None:
    async def refuse() -> None:
        async with rig() as r:
            r.dispatch("j1")
            peer = await r.worker.accept()
            await peer.head()
            peer.say(TAKEN)
            await until(lambda: r.endpoint.attempts["j1"].phase is Phase.ACCEPTED)
            r.endpoint.tell(CancelAttempt(1, 0))
            assert await peer.head() == b"DELETE /jobs/j1 HTTP/1.1"
            peer.say(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
            assert await r.ended() == (1, Outcome.TIMEOUT)

    play(refuse())


@pytest.mark.parametrize("accepted", [False, True], ids=["no 202", "202"])
def test_an_unanswered_cancel_does_not_hold_the_clients_answer(accepted: bool) -> None:
    """An attempt that was given up just before its client's limit ended two connect time-outs behind it."""

    async def silent() -> None:
        async with rig(connect_timeout_us=60_000_000) as r:
            r.dispatch("j1", until_us=40_000, deadline_us=80_000)
            peer = await r.worker.accept()
            await peer.head()
            if accepted:
                peer.say(TAKEN)
            cancel = peer if accepted else await r.worker.accept()
            assert await cancel.head() == b"DELETE /jobs/j1 HTTP/1.1"
            assert await r.ended() == (1, Outcome.TIMEOUT)
            assert r.reports.empty()

    play(silent())


@pytest.mark.parametrize("first", ["call", "cancel"])
def test_a_result_that_crosses_a_cancel_ends_an_attempt_once(first: str) -> None:
    async def cross() -> None:
        async with rig() as r:
            r.dispatch("j1")
            peer = await r.worker.accept()
            await peer.head()
            peer.say(TAKEN)
            await until(lambda: r.endpoint.attempts["j1"].phase is Phase.ACCEPTED)
            if first == "call":
                r.done("j1")
                r.endpoint.tell(CancelAttempt(1, 0))
            else:
                r.endpoint.tell(CancelAttempt(1, 0))
                r.done("j1")
                assert await peer.head() == b"DELETE /jobs/j1 HTTP/1.1"
                peer.say(CANCELLED)
            assert await r.ended() == (1, Outcome.COMPLETED)
            await until(lambda: not r.endpoint.calls)
            assert r.reports.empty() and not r.endpoint.attempts

    play(cross())


# Dispatcher and endpoint together


class House:
    """A dispatcher with one worker; more than one for a scheduler that is being replaced."""

    def __init__(self, folder: Path, worker: Worker, repeat: str) -> None:
        listed = protocol.encode_listed_endpoint(worker.destination())
        klass = {"name": "x", "aim-us": 300_000, "hard-limit-us": LEFT_US, "repeat": repeat}
        given = json.loads(json.dumps(GIVEN)) | {
            "known": {"generation": 1, "reset": True, "instances": [ENTRY | listed]}
        }
        given["settings"]["classes"] = [
            klass,
            klass | {"name": "y", "memory-span-us": 1_000_000, "dedup-scope": "all"},
        ]
        given["settings"]["policy-limits"]["connect-timeout-us"] = 3_000_000
        path = folder / "config.json"
        path.write_text(json.dumps(given))
        loaded = config.load({"GW_CONFIG": str(path)})
        self.supervisor, self.clock = Supervisor(), Clock()
        self.dispatcher = Dispatcher(loaded, self.supervisor, self.clock, Metrics(loaded.classes))
        self.dispatcher.start()

    @property
    def endpoint(self) -> Endpoint:
        return self.dispatcher.table.endpoints["s-1"]

    def take(self, request: protocol.JobRequest) -> asyncio.Future[Answer]:
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.dispatcher.receive(RequestAccepted(request, self.clock.now_us(), reply))
        return reply

    async def accepted(self, worker: Worker, request: protocol.JobRequest) -> asyncio.Future[Answer]:
        reply = self.take(request)
        peer = await worker.accept()
        await peer.head()
        peer.say(TAKEN)
        await until(lambda: self.endpoint.attempts[request.id].phase is Phase.ACCEPTED)
        return reply

    def listed(self, worker: Worker, lifecycle: Lifecycle) -> None:
        self.dispatcher.receive(
            EndpointListReceived(EndpointList(2, False, (worker.destination(lifecycle),)))
        )


@pytest.fixture
def house(tmp_path: Path) -> Callable[..., Awaitable[None]]:
    async def run(work: Callable[..., Awaitable[None]], count: int = 1, repeat: str = "retryable") -> None:
        worker = Worker()
        houses = [House(tmp_path, worker, repeat) for _ in range(count)]
        try:
            await work(worker, *houses)
            assert not any(h.supervisor.failed.done() for h in houses)
        finally:
            for made in houses:
                await made.supervisor.close()
                await made.dispatcher.close()
            worker.close()

    return run


Houses = Callable[..., Coroutine[Any, Any, None]]


def test_a_client_that_leaves_during_the_connect_calls_it_off(house: Houses) -> None:
    """The connect went on, and the request was sent as soon as it was up, however long after."""

    async def leave(worker: Worker, h: House) -> None:
        connects, request = HeldConnects(), job("j1")
        reply = h.take(request)
        await connects.begun.wait()
        reply.cancel()
        h.dispatcher.tell(ClientDisconnected(request))
        await connects.called_off.wait()
        await until(lambda: not h.dispatcher.in_flight.by_number)
        assert not h.dispatcher.balancer.attempts and not h.endpoint.attempts

    play(house(leave))


def test_a_client_that_leaves_is_not_sent_again(house: Houses) -> None:
    """Its attempt ends in the very instant, before the word of its leaving has come."""

    async def end(worker: Worker, h: House) -> None:
        request = job("j1")
        reply = h.take(request)
        peer = await worker.accept()
        await peer.head()
        reply.cancel()
        peer.say(SHED)
        await until(lambda: not h.dispatcher.in_flight.by_number)
        h.dispatcher.receive(ClientDisconnected(request))
        assert not h.dispatcher.balancer.jobs and not h.endpoint.attempts
        assert h.dispatcher.metrics.attempts_sent == 1

    play(house(end))


def test_a_client_that_came_and_went_is_not_sent(house: Houses) -> None:
    async def come_and_go(worker: Worker, h: House) -> None:
        request, reply = job("j1"), asyncio.get_running_loop().create_future()
        reply.cancel()
        h.dispatcher.receive(RequestAccepted(request, h.clock.now_us(), reply))
        assert (
            not h.dispatcher.in_flight.by_number
            and not h.dispatcher.balancer.jobs
            and "j1" in h.dispatcher.in_flight.recent_ids
        )
        h.dispatcher.receive(ClientDisconnected(request))
        again = h.take(job("j1"))
        assert again.result() is protocol.CONFLICT

    play(house(come_and_go))


def test_a_client_that_leaves_while_its_request_moves_to_another_process(house: Houses) -> None:
    """The endpoint had let the attempt go already: nobody held it, and the request stayed for ever."""

    async def leave(worker: Worker, h: House) -> None:
        request = job("j1")
        await h.accepted(worker, request)
        told: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        h.dispatcher.receive(ReleaseRequest(request, told))
        await until(lambda: not h.endpoint.attempts)
        h.dispatcher.receive(ClientDisconnected(request))  # ahead of the endpoint's word
        assert await told is None
        await until(lambda: "j1" in h.endpoint.attempts)
        h.dispatcher.tell(JobEvent("j1", "s-1", JobState.DONE, 0.0, "late"))
        await until(lambda: not h.dispatcher.in_flight.by_number)
        assert not h.dispatcher.balancer.attempts and not h.dispatcher.handover.in_transit

    play(house(leave))


def test_an_endpoint_that_retires_as_an_attempt_comes_keeps_it(house: Houses) -> None:
    """Discovery says that it has left in the instant of a hand-over: it was stopped with the attempt in its
    mailbox, and the client never got its answer."""

    async def cross(worker: Worker, old: House, new: House) -> None:
        request = job("j1")
        await old.accepted(worker, request)
        told: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        old.dispatcher.receive(ReleaseRequest(request, told))
        memory = await told
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        new.listed(worker, Lifecycle.REMOVED)
        new.dispatcher.receive(AdoptRequest(request, memory, reply, asyncio.Event()))
        endpoint = new.endpoint
        await until(lambda: "j1" in endpoint.attempts and not new.dispatcher._scheduled)
        new.dispatcher.tell(JobEvent("j1", "s-1", JobState.DONE, 0.0, "result"))
        assert (await reply).body == b"result"
        await until(lambda: not new.dispatcher.table.endpoints)

    play(house(cross, 2))


def test_an_endpoint_that_let_its_last_attempt_go_retires(house: Houses) -> None:
    async def let_go(worker: Worker, h: House) -> None:
        request = job("j1")
        await h.accepted(worker, request)
        h.listed(worker, Lifecycle.REMOVED)
        told: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        h.dispatcher.receive(ReleaseRequest(request, told))
        assert (await told)["attempt"]
        await until(lambda: not h.dispatcher.table.endpoints)

    play(house(let_go))


def test_a_repeat_of_a_keyed_request_is_written_within_its_window(house: Houses) -> None:
    """The window was looked at when the repeat was decided: a connect can end behind it."""

    async def repeat(worker: Worker, h: House) -> None:
        reply = await h.accepted(worker, job("j1", "k"))
        h.dispatcher.tell(JobEvent("j1", "s-1", JobState.DONE, 0.0, "result"))
        await reply
        place = h.dispatcher.idempotency_keys.dedup_window(h.clock.now_us(), 1, "k")
        assert place and place.until_us <= h.clock.now_us() + 1_000_000
        h.take(job("j2", "k"))
        await until(lambda: "j2" in h.endpoint.attempts)
        assert h.endpoint.attempts["j2"].write_until_us == place.until_us

    play(house(repeat, repeat="dedup"))
