"""A relay on loopback for one directed link between two schedulers: who dials it gets through to the other.

What it does to the link can be changed while it runs. The unit of harm is a whole websocket message, or in
``Unit.BYTES`` whatever was read at once. Times are seconds. All chances are drawn from the seed that it is
given, for each way by itself, so that what passes one way does not shift the other's luck.

TCP neither loses nor reorders; a link that stalls delivers all of it late. So ``stalled`` is what a bad
network does to an established connection, and ``loss`` and ``reorder`` are harder than any: who keeps its
promises under these needs no faith in what lies between.
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

MAX_HEAD_BYTES = 64 << 10  # of the handshake
MAX_MESSAGE_BYTES = 64 << 20  # more is no peer of ours, and would be held here in memory
MAX_BUFFERED_BYTES = (
    8 << 20
)  # on their way, beyond which nothing more is read: the sender feels it as TCP's own
READ_BYTES = 256 << 10
FIN, OPCODE, CONTROL, MASKED = 0x80, 0x0F, 0x08, 0x80  # RFC 6455, 5.2


class Unit(Enum):
    """What is dropped, delayed or overtaken as a whole."""

    MESSAGE = auto()  # of a websocket
    BYTES = auto()  # as they were read


class Direction(Enum):
    """A direction of a link, as seen from the one that dialled."""

    THERE = auto()
    BACK = auto()


@dataclass(slots=True, frozen=True)
class Harm:
    """What befalls one way of a link. Shares are chances for each message; times in seconds."""

    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0  # up to so much more, in order
    reorder: float = 0.0
    reorder_s: float = 0.05  # how far behind a message that others may overtake comes, at most
    stalled: bool = False  # nothing passes; what was underway comes late, in order, once it is over
    truncate_after: int | None = None  # so many bytes still pass, then both ends are reset amid what was sent


NO_HARM = Harm()


class Messages:
    """Splits a websocket's bytes into whole messages; the handshake's head, which comes first, is one too.

    What is no upgrade (a refusal, another protocol) passes as it is read. Raises ValueError past the limits.
    """

    def __init__(self, unit: Unit = Unit.MESSAGE) -> None:
        self._buffer = bytearray()
        self._raw = unit is Unit.BYTES
        self._handshake_read = False
        self._fragments = bytearray()  # fragments of the message that has begun

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that are whole now, in order."""
        if self._raw:
            return [data]
        self._buffer += data
        whole: list[bytes] = []
        if not self._handshake_read:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                if len(self._buffer) > MAX_HEAD_BYTES:
                    raise ValueError("the handshake has no end")
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
                whole.append(frame)  # may stand between the fragments of another
                continue
            self._fragments += frame
            if len(self._fragments) > MAX_MESSAGE_BYTES:
                raise ValueError("a message is too long")
            if first & FIN:
                whole.append(bytes(self._fragments))
                self._fragments.clear()
        return whole

    def _consume(self, length: int) -> bytes:
        chunk = bytes(self._buffer[:length])
        del self._buffer[:length]
        return chunk

    def _frame_length(self) -> int | None:
        """Length of the frame that the buffer begins with, head included; None while that is not known."""
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
            raise ValueError("a frame is too long")
        return head + (4 if b[1] & MASKED else 0) + size


@dataclass(slots=True)
class DirectionCounters:
    """What went one way since the relay started, in messages."""

    whole: int = 0
    lost: int = 0
    doubled: int = 0
    overtaken: int = 0
    torn: int = 0
    octets: int = 0


class DirectedStream:
    """One way of one connection: reads, does the harm, and writes what is left when it is due."""

    def __init__(
        self, relay: "Relay", direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.relay, self.direction, self.reader, self.writer = relay, direction, reader, writer
        self._messages = Messages(relay.unit)
        self._scheduled: list[tuple[float, int, bytes]] = []
        self._sequence = count()
        self._last_in_order_due = 0.0  # nothing that keeps its order leaves before this
        self._buffered_bytes = 0
        self._ended = self._broken = False  # the far end hears of either only once nothing is stalled
        self._changed = asyncio.Event()
        self._has_capacity = asyncio.Event()
        self._has_capacity.set()
        self._handshake_pending = relay.unit is Unit.MESSAGE

    async def run(self) -> None:
        """Until both the sender has ended and all of it is delivered, or the connection breaks."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._read())
            tasks.create_task(self._write())

    def notify_changed(self) -> None:
        """The harm has changed."""
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
        """Drawn in the same order for each message, whatever the harm: seeds stay comparable."""
        impairment, passed = self.relay.impairment[self.direction], self.relay.passed[self.direction]
        rng = self.relay.rngs[self.direction]
        lost, doubled, overtaken, jitter, behind = (rng.random() for _ in range(5))
        if self._handshake_pending:  # delayed, never lost in part: a half-open link is a harm of its own
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

    async def _deliver(self, message: bytes, impairment: Harm) -> None:
        passed = self.relay.passed[self.direction]
        if impairment.truncate_after is not None and len(message) > impairment.truncate_after:
            self.writer.write(message[: impairment.truncate_after])
            passed.torn += 1
            self.writer.close()  # in peace, so that what was cut arrives
            self.relay.impairment[self.direction] = replace(impairment, truncate_after=None)
            raise ConnectionResetError("torn as it was told to be")
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
    """Listens on ``address`` and passes on to ``target`` (host:port, or what says it at each dialling)."""

    target: str | Callable[[], str]
    seed: str
    unit: Unit = Unit.MESSAGE
    address: str = ""
    impairment: dict[Direction, Harm] = field(default_factory=lambda: dict.fromkeys(Direction, NO_HARM))
    rngs: dict[Direction, random.Random] = field(init=False)
    passed: dict[Direction, DirectionCounters] = field(
        default_factory=lambda: {direction: DirectionCounters() for direction in Direction}
    )
    accepted_connections: int = 0  # connections that were accepted
    half_open: bool = False
    refusing: bool = False
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

    # What goes wrong

    def suffer(self, impairment: Harm, *directions: Direction) -> None:
        """From now on this befalls these ways; both where none is named."""
        for direction in directions or tuple(Direction):
            self.impairment[direction] = impairment
        for stream in self._streams:
            stream.notify_changed()

    def sever(self) -> None:
        """Reset whatever is open now; who dials again gets through."""
        for task in list(self._connection_tasks):
            task.cancel()

    def refuse_connections(self) -> None:
        """Reset whatever is open now and whoever dials, as a host does where nothing listens."""
        self.refusing = True
        self.sever()

    def make_half_open(self) -> None:
        """Half-open: it accepts, and what is open stays so, but no word passes either way."""
        self.half_open = True
        self.suffer(Harm(stalled=True))

    def flap(self, up_s: float, down_s: float) -> None:
        """Down at once, then up and down in turns until it is healed; each time half to all of the given."""
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
        """Nothing goes wrong from now on. What was accepted half-open is reset: it had no answer."""
        if self._flap_timer:
            self._flap_timer.cancel()
            self._flap_timer = None
        was_half_open, self.half_open, self.refusing = self.half_open, False, False
        self.suffer(NO_HARM)
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
            pass  # nobody listens there, no messages of ours, or reset: both ends are told below
        finally:
            for each in writers:
                _reset(each)
            self._connection_tasks.discard(task)

    async def _relay_streams(self, *streams: DirectedStream) -> bool:
        """Whether both ways came to their end in peace."""
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
    """End it with a reset, as a host does that knows nothing of the connection; one that closes is let be."""
    if writer.is_closing():
        return
    if sock := writer.get_extra_info("socket"):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
