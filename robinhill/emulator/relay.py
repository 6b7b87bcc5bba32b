"""A relay on loopback that forwards connections from one scheduler to another and injects link faults.

The impairment of the link can be changed at any time. It applies to whole websocket messages, or with
``Unit.BYTES`` to the bytes of each read. Times are in seconds. Each direction draws from a random generator
of its own, derived from the relay's seed, so that the traffic in one direction does not change the draws of
the other.

TCP neither loses nor reorders data: a network that stalls delivers all of it late. ``stalled`` is therefore
what a bad network does to an established connection, while ``loss`` and ``reorder`` are worse than any
network over TCP: a protocol that meets its guarantees under these does not depend on the delivery guarantees
of TCP.
"""

import asyncio
import contextlib
import heapq
import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from itertools import count

from robinhill.emulator.site import LOOPBACK

MAX_HEAD_BYTES = 64 << 10  # the largest head of an HTTP upgrade handshake
MAX_MESSAGE_BYTES = 64 << 20  # peers send no larger message, and the relay holds each message in memory
# Bytes in flight per direction. Beyond this the relay stops reading, and TCP's flow control slows the sender.
MAX_BUFFERED_BYTES = 8 << 20
READ_BYTES = 256 << 10
FIN, OPCODE, CONTROL, MASKED = 0x80, 0x0F, 0x08, 0x80  # RFC 6455, 5.2


class Unit(Enum):
    """The unit that is dropped, delayed or reordered as a whole."""

    MESSAGE = auto()  # a websocket message
    BYTES = auto()  # the bytes returned by one read


class Direction(Enum):
    """A direction of a link. The names of the members are part of the random seeds."""

    THERE = auto()  # from the end that opened the connection to the other
    BACK = auto()


@dataclass(slots=True, frozen=True)
class Impairment:
    """The impairment of one direction of a link."""

    loss: float = 0.0  # probability that a message is dropped
    duplicate: float = 0.0  # probability that a message is delivered twice
    delay_s: float = 0.0
    jitter_s: float = 0.0  # the largest random delay added to ``delay_s``; messages stay in order
    reorder: float = 0.0  # probability that later messages may overtake a message
    reorder_s: float = 0.05  # the largest extra delay of a message that may be overtaken
    stalled: bool = False  # delivers nothing; pending messages are delivered in order once the stall ends
    truncate_after: int | None = None  # bytes that are still delivered before both ends are reset mid-message


NO_IMPAIRMENT = Impairment()


class Messages:
    """Splits the bytes of a websocket connection into messages; the head of the handshake is the first.

    The bytes of a connection without an upgrade (a rejection, another protocol) are passed on as they are
    read.
    """

    def __init__(self, unit: Unit = Unit.MESSAGE) -> None:
        self._buffer = bytearray()
        self._raw = unit is Unit.BYTES
        self._handshake_read = False
        self._fragments = bytearray()  # frames of a message whose last frame has not been read

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes, and return the messages that they complete, in order.

        Raises ValueError if a head or a message exceeds its limit.
        """
        if self._raw:
            return [data]
        self._buffer += data
        whole: list[bytes] = []
        if not self._handshake_read:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                if len(self._buffer) > MAX_HEAD_BYTES:
                    raise ValueError("the head of the handshake is too long")
                return whole
            whole.append(self._consume(end + 4))
            self._handshake_read = True
            lower = whole[0].lower()
            if b"upgrade: websocket" not in lower:
                self._raw = True
                return whole + ([self._consume(len(self._buffer))] if self._buffer else [])
        while (length := self._frame_length()) is not None and length <= len(self._buffer):
            first = self._buffer[0]
            frame = self._consume(length)
            if first & OPCODE & CONTROL:
                whole.append(frame)  # control frames may be sent between the fragments of a message
                continue
            self._fragments += frame
            if len(self._fragments) > MAX_MESSAGE_BYTES:
                raise ValueError("the websocket message is too long")
            if first & FIN:
                whole.append(bytes(self._fragments))
                self._fragments.clear()
        return whole

    def _consume(self, length: int) -> bytes:
        chunk = bytes(self._buffer[:length])
        del self._buffer[:length]
        return chunk

    def _frame_length(self) -> int | None:
        """Length of the first frame in the buffer, with its header; None if the header is incomplete."""
        b = self._buffer
        if len(b) < 2:
            return None
        size, head = b[1] & 0x7F, 2
        if size >= 126:
            head = 4 if size == 126 else 10
            if len(b) < head:
                return None
            size = int.from_bytes(b[2:head], "big")
        if size > MAX_MESSAGE_BYTES:
            raise ValueError("the websocket frame is too long")
        return head + (4 if b[1] & MASKED else 0) + size


@dataclass(slots=True)
class DirectionCounters:
    """Counters of one direction since the relay started: bytes in ``octets``, messages in all others."""

    whole: int = 0  # delivered in full
    lost: int = 0
    doubled: int = 0
    overtaken: int = 0  # delayed so that later ones may overtake them
    torn: int = 0  # truncated
    octets: int = 0  # bytes of the messages delivered in full


class DirectedStream:
    """One direction of one connection: reads messages, impairs them and writes each when it is due."""

    def __init__(
        self, relay: "Relay", direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.relay, self.direction, self.reader, self.writer = relay, direction, reader, writer
        self._messages = Messages(relay.unit)
        self._scheduled: list[tuple[float, int, bytes]] = []
        self._sequence = count()
        self._last_in_order_due = 0.0  # messages that keep their order are due no earlier
        self._buffered_bytes = 0
        # The end or reset of the stream is passed on to the receiver only while the direction is not stalled.
        self._ended = self._broken = False
        self._changed = asyncio.Event()
        self._has_capacity = asyncio.Event()
        self._has_capacity.set()
        self._handshake_pending = relay.unit is Unit.MESSAGE

    async def run(self) -> None:
        """Relay until the sender has closed and all messages are delivered, or the connection breaks."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._read())
            tasks.create_task(self._write())

    def notify_changed(self) -> None:
        """Wake the writer after a change of the impairment."""
        self._changed.set()

    async def _read(self) -> None:
        while True:
            await self._has_capacity.wait()
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                data, self._broken = b"", True
            if not data:
                self._ended = True
                self._changed.set()
                return
            for message in self._messages.feed(data):
                self._schedule_delivery(message)
            self._changed.set()

    def _schedule_delivery(self, message: bytes) -> None:
        """Drop the message, or schedule its delivery once or twice, by the impairment and random draws.

        Each message takes five random draws under any impairment, so that runs of one seed stay comparable.
        """
        impairment, passed = self.relay.impairment[self.direction], self.relay.passed[self.direction]
        rng = self.relay.rngs[self.direction]
        lost, doubled, overtaken, jitter, behind = (rng.random() for _ in range(5))
        # The handshake is only delayed, since a lost handshake is a separate fault, the half-open link.
        if self._handshake_pending:
            self._handshake_pending, lost, doubled, overtaken = False, 1.0, 1.0, 1.0
        if lost < impairment.loss:
            passed.lost += 1
            return
        now = asyncio.get_running_loop().time()
        due = now + impairment.delay_s + impairment.jitter_s * jitter
        if overtaken < impairment.reorder:
            passed.overtaken += 1
            due += impairment.reorder_s * behind
        else:
            due = self._last_in_order_due = max(self._last_in_order_due, due)
        for _ in range(2 if doubled < impairment.duplicate else 1):
            heapq.heappush(self._scheduled, (due, next(self._sequence), message))
            self._buffered_bytes += len(message)
        passed.doubled += doubled < impairment.duplicate
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._has_capacity.clear()

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._changed.clear()
            impairment = self.relay.impairment[self.direction]
            if not self._scheduled:
                if self._ended and not impairment.stalled:
                    if self._broken:
                        raise ConnectionResetError
                    with contextlib.suppress(OSError, RuntimeError):
                        self.writer.write_eof()
                    return
                await self._changed.wait()
                continue
            wait = self._scheduled[0][0] - loop.time()
            if impairment.stalled or wait > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(None if impairment.stalled else wait):
                        await self._changed.wait()
                continue
            message = heapq.heappop(self._scheduled)[2]
            self._buffered_bytes -= len(message)
            if self._buffered_bytes <= MAX_BUFFERED_BYTES:
                self._has_capacity.set()
            await self._deliver(message, impairment)

    async def _deliver(self, message: bytes, impairment: Impairment) -> None:
        passed = self.relay.passed[self.direction]
        if impairment.truncate_after is not None and len(message) > impairment.truncate_after:
            self.writer.write(message[: impairment.truncate_after])
            passed.torn += 1
            self.writer.close()  # not aborted, so that the truncated message is delivered
            self.relay.impairment[self.direction] = replace(impairment, truncate_after=None)
            raise ConnectionResetError("the relay truncated a message, as its impairment requires")
        if impairment.truncate_after is not None:
            self.relay.impairment[self.direction] = replace(
                impairment, truncate_after=impairment.truncate_after - len(message)
            )
        self.writer.write(message)
        await self.writer.drain()
        passed.whole += 1
        passed.octets += len(message)


@dataclass(slots=True, eq=False)
class Relay:
    """Listens on ``address`` and forwards to ``target``: host:port, or a function called per connection."""

    target: str | Callable[[], str]
    seed: str
    unit: Unit = Unit.MESSAGE
    address: str = ""
    impairment: dict[Direction, Impairment] = field(
        default_factory=lambda: dict.fromkeys(Direction, NO_IMPAIRMENT)
    )
    rngs: dict[Direction, random.Random] = field(init=False)
    passed: dict[Direction, DirectionCounters] = field(
        default_factory=lambda: {direction: DirectionCounters() for direction in Direction}
    )
    accepted_connections: int = 0  # since the start
    half_open: bool = False  # new connections are accepted but not forwarded
    refusing: bool = False  # new connections are reset
    _server: asyncio.Server | None = None
    _streams: set[DirectedStream] = field(default_factory=set)
    _connection_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _flap_timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.rngs = {direction: random.Random(f"{self.seed} {direction.name}") for direction in Direction}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._handle_connection, LOOPBACK, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def stop(self) -> None:
        if self._flap_timer:
            self._flap_timer.cancel()
        if self._server:
            self._server.close()
        self.sever()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    # Faults

    def set_impairment(self, impairment: Impairment, *directions: Direction) -> None:
        """Apply the impairment to these directions from now on; to both if none is given."""
        for direction in directions or tuple(Direction):
            self.impairment[direction] = impairment
        for stream in self._streams:
            stream.notify_changed()

    def sever(self) -> None:
        """Reset the open connections; new ones are forwarded."""
        for task in list(self._connection_tasks):
            task.cancel()

    def refuse_connections(self) -> None:
        """Reset the open connections and each new one, like a host on whose port nothing listens."""
        self.refusing = True
        self.sever()

    def make_half_open(self) -> None:
        """Keep the open connections and accept new ones, but deliver nothing in either direction."""
        self.half_open = True
        self.set_impairment(Impairment(stalled=True))

    def flap(self, up_s: float, down_s: float) -> None:
        """Take the link down, then up and down in turns until ``heal``.

        Each period is drawn between half of the given time and all of it.
        """
        self.refuse_connections()
        self._schedule_flap(down_s, up_s, down_s)

    def _schedule_flap(self, wait_s: float, up_s: float, down_s: float) -> None:
        def toggle() -> None:
            if self.refusing:
                self.refusing = False
                self._schedule_flap(up_s, up_s, down_s)
            else:
                self.refuse_connections()
                self._schedule_flap(down_s, up_s, down_s)

        wait_s *= self.rngs[Direction.THERE].uniform(0.5, 1.0)
        self._flap_timer = asyncio.get_running_loop().call_later(wait_s, toggle)

    def heal(self) -> None:
        """End all faults. A half-open link's connections are reset, as their handshakes were not answered."""
        if self._flap_timer:
            self._flap_timer.cancel()
            self._flap_timer = None
        was_half_open, self.half_open, self.refusing = self.half_open, False, False
        self.set_impairment(NO_IMPAIRMENT)
        if was_half_open:
            self.sever()

    # Connections

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        task = asyncio.current_task()
        assert task
        self._connection_tasks.add(task)
        writers = [writer]
        try:
            if self.refusing:
                return
            if self.half_open:
                await asyncio.get_running_loop().create_future()
            target = self.target if isinstance(self.target, str) else self.target()
            host, _, port = target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            writers.append(far_writer)
            there, back = (
                DirectedStream(self, Direction.THERE, reader, far_writer),
                DirectedStream(self, Direction.BACK, far_reader, writer),
            )
            if await self._relay_streams(there, back):
                for each in writers:
                    each.close()
        except (OSError, ValueError, asyncio.CancelledError):
            # The target refused, a message was malformed, or a fault reset the connection. Both ends are
            # reset below.
            pass
        finally:
            for each in writers:
                _reset(each)
            self._connection_tasks.discard(task)

    async def _relay_streams(self, *streams: DirectedStream) -> bool:
        """Relay both directions; returns whether both ended without an error."""
        self._streams.update(streams)
        try:
            async with asyncio.TaskGroup() as tasks:
                for stream in streams:
                    tasks.create_task(stream.run())
            return True
        except* (OSError, ValueError):
            pass
        finally:
            self._streams.difference_update(streams)
        return False


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection, as a host without any state of it does, unless it is already closing."""
    if writer.is_closing():
        return
    if sock := writer.get_extra_info("socket"):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
