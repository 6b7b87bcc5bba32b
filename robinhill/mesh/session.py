"""One link between two schedulers as a state machine: frames in, frames out. No I/O.

After a greeting both sides compare what they hold; every change from the greeting on follows by itself.
Nothing is queued for a reader: frames are *drawn* when the transport has room, and what is drawn is the
newest value of each record. A pong counts once all that its sender knew when the ping came is here; leases
rest on that. Times without a note are monotonic microseconds of this process.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from robinhill.mesh.anti_entropy import Comparison
from robinhill.mesh.delivery_windows import Arrivals, Departures, Name, Pushed
from robinhill.mesh.errors import MeshError, PeerRefused
from robinhill.mesh.frames import (
    MAX_MEMBERS,
    MAX_MESSAGE,
    PROTOCOL,
    Again,
    Aside,
    Frame,
    Heads,
    Hello,
    Ping,
    Pong,
    Push,
    Ranges,
    Redo,
    read,
    write,
)  # fmt: skip
from robinhill.mesh.records import Record

BATCH = 256  # records in a push at most, fewer where they are large: a pong must not wait behind a long one
BATCH_BYTES = 64 << 10
SMALL = 8  # records in a push that goes together with other frames
ROOM = 4 << 10  # bytes of a frame round the value of a record
PING_GAP_US = 50_000  # between two pings, and from a push to the ping that asks whether it came
RELAY_US = 60_000  # what a peer should have from the writer itself is passed on only so much later
MOST_FRAMES = 16  # in a message: sending is dear, so small frames go together
FIRST_WAIT_US = 250_000  # for an answer, while the round trip is not known
MIN_WAIT_US = 50_000
MAX_PINGS = 8  # that may be out
MAX_ASIDES = 64  # words between members that wait for room; older ones are dropped, as datagrams would be


class Store(Protocol):
    """What a session needs of the replica."""

    @property
    def head(self) -> int: ...

    def take(self, now_us: int, record: Record) -> Record | None: ...

    def record(self, kind: str, key: str) -> Record | None: ...

    def since(self, cursor: int, limit: int) -> tuple[list[Record], int]: ...

    def ranges(self, now_us: int) -> Sequence[int]: ...

    def in_range(self, index: int) -> list[Record]: ...


class Ages(Protocol):
    """What a session tells and asks about how fresh our knowledge of others is."""

    def pinged(self, mono_us: int, partner: str, number: int) -> None: ...

    def answered(
        self,
        mono_us: int,
        partner: str,
        number: int,
        ages_us: Mapping[str, int],
        starting_us: Mapping[str, int] | None = None,
    ) -> None: ...

    def ages(self, mono_us: int) -> Mapping[str, int]: ...

    def starting_ages(self, mono_us: int) -> Mapping[str, int]: ...


@dataclass(slots=True, frozen=True)
class Identity:
    """Who we are, and whom we know by configuration: sorted, with ourselves."""

    installation: str
    name: str
    incarnation: int
    names: tuple[str, ...]
    features: tuple[str, ...] = ()


# What a frame brought, for the caller


@dataclass(slots=True, frozen=True)
class Greeted:
    """The other side has said who it is."""

    hello: Hello


@dataclass(slots=True, frozen=True)
class Learned:
    """Records that changed here by what came, and those that were declined, with why."""

    records: tuple[Record, ...]
    declined: tuple[tuple[Record, MeshError], ...] = ()


@dataclass(slots=True, frozen=True)
class Answered:
    """All that the peer knew when our ping came is here; it wrote so ``took_us`` after we had asked.

    ``held``: our changes up to this one are at the peer.
    """

    number: int
    took_us: int
    held: int


@dataclass(slots=True, frozen=True)
class Told:
    """A word between members."""

    words: bytes


Event = Greeted | Learned | Answered | Told


@dataclass(slots=True)
class _Owed:
    """An answer that is due once our changes up to ``head`` are written."""

    number: int
    head: int
    ages_us: Mapping[str, int]
    starting_us: Mapping[str, int]


class Session:
    """One end of a link; both ends are alike but for who ``opens`` the comparisons."""

    def __init__(self, own: Identity, store: Store, ages: Ages, opens: bool, interval_us: int) -> None:
        self.own = own
        self.store = store
        self.ages = ages
        self.interval_us = interval_us
        self.peer: Hello | None = None
        self.comparison = Comparison(store, opens)
        self.cursor = store.head  # our changes up to here are written, or compared by digests
        self.held = 0  # our changes up to here are at the peer
        self.heard_us = 0  # when the last frame came
        self.round_trip_us: int | None = None
        self.pushed = 0  # records
        self.skipped = 0  # records that the peer had shown to have
        self.oversized = 0  # records that fit no frame
        self._came = Arrivals()
        self._went = Departures()
        self._understood = False  # the peer has our hello
        self._hello_us = 0  # when it is due (again)
        self._shown: dict[Name, Record] = {}  # what the peer has, of the changes behind the cursor
        self._whole = False  # all that we knew at the greeting is in pushes that are written
        self._asides: deque[bytes] = deque(maxlen=MAX_ASIDES)
        self._owed: _Owed | None = None
        self._asked: dict[int, int] = {}  # pings that are out, and when each was written
        self._number = 0
        self._ping_us = 0  # when the next one is due
        self._last_ping_us = -PING_GAP_US
        self._relay_us: int | None = None  # when changes must go that the peer may have from elsewhere
        self.direct: Callable[[str], bool] = lambda origin: False  # whether it should have those of this one
        self._early: list[Pong] = []  # pongs that came before the pushes that they stand behind
        self._ask_again: tuple[int, ...] = ()

    # In

    def receive(self, now_us: int, mono_us: int, data: bytes) -> list[Event]:
        """Take in a message (``now_us``: Unix time). Raises PeerRefused; the link must end then."""
        frames = read(data)
        self.heard_us = mono_us
        return [event for frame in frames for event in self._receive(now_us, mono_us, frame)]

    def _receive(self, now_us: int, mono_us: int, frame: Frame) -> list[Event]:
        if isinstance(frame, Hello):
            return self._hello(now_us, mono_us, frame)
        self._understood = True  # only who has greeted us back writes anything else
        if self.peer is None:
            return []  # its hello was lost or overtaken; all of this is said again
        match frame:
            case Push():
                return self._push(now_us, mono_us, frame)
            case Ping():
                self._confirmed(frame.low)
                self._ask_again = self._came.lacking(frame.pushed)
                if self._owed is None:  # else that answer is on its way, and the next ping asks again
                    self._owed = _Owed(
                        frame.number,
                        self.store.head,
                        self.ages.ages(mono_us),
                        self.ages.starting_ages(mono_us),
                    )
            case Pong():
                return self._pong(mono_us, frame)
            case Again(numbers=numbers):
                self._went.lost(numbers)
            case Ranges():
                self.comparison.ranges(now_us, mono_us, frame)
            case Heads():
                self.comparison.heads(mono_us, frame)
            case Redo():
                self.comparison.redo(frame)
            case Aside(words=words):
                return [Told(words)]
        return []

    def _hello(self, now_us: int, mono_us: int, hello: Hello) -> list[Event]:
        if self.peer is not None:
            if (hello.name, hello.incarnation) != (self.peer.name, self.peer.incarnation):
                raise PeerRefused(f"{self.peer.name} greets again as {hello.name}")
            self._hello_us = min(self._hello_us, mono_us) if not self._understood else self._hello_us
            return []
        if hello.protocol != PROTOCOL:
            raise PeerRefused(f"{hello.name} speaks protocol {hello.protocol}, we speak {PROTOCOL}")
        if hello.installation != self.own.installation:
            raise PeerRefused(f"{hello.name} is of installation {hello.installation}")
        if hello.name == self.own.name:
            raise PeerRefused(f"{hello.name} is our own name")
        if hello.name not in self.own.names:
            raise PeerRefused(f"{hello.name} is no peer by our file")
        if len(hello.names) > MAX_MEMBERS:
            raise PeerRefused(f"{hello.name} names {len(hello.names)} members")
        self.peer = hello
        self.cursor = self.store.head
        self._ping_us = mono_us
        if self.comparison.opens:
            self.comparison.tick(now_us, mono_us)
        return [Greeted(hello)]

    def _push(self, now_us: int, mono_us: int, push: Push) -> list[Event]:
        self._came.came(push.number, push.instead)
        changed: list[Record] = []
        declined: list[tuple[Record, MeshError]] = []
        for record in push.records:
            try:
                outcome = self.store.take(now_us, record)
            except MeshError as e:
                declined.append((record, e))
                outcome = getattr(e, "held", None)  # from the future a little: it was taken all the same
            if outcome is not None:
                changed.append(outcome)
            if self.cursor < self.store.head and self.store.record(*record.name) == record:
                self._shown[record.name] = record
        events: list[Event] = [Learned(tuple(changed), tuple(declined))] if changed or declined else []
        early, self._early = self._early, []
        for pong in early:
            events += self._pong(mono_us, pong)
        return events

    def _pong(self, mono_us: int, pong: Pong) -> list[Event]:
        assert self.peer
        self._confirmed(pong.low)
        if (lacking := self._came.lacking(pong.pushed)) or pong.pushed > self._came.low:
            self._ask_again = lacking
            self._early = [*self._early[1 - MAX_PINGS :], pong]
            return []
        if (asked_us := self._asked.get(pong.number)) is None:
            return []
        for number in [n for n in self._asked if n <= pong.number]:
            del self._asked[number]
        took_us = mono_us - asked_us
        mean = took_us if self.round_trip_us is None else self.round_trip_us
        self.round_trip_us = mean + (took_us - mean) // 4
        names = self.peer.names
        ages_us = {name: age * 1000 for name, age in zip(names, pong.ages_ms, strict=False) if age >= 0}
        starting_us = {names[i]: age * 1000 for i, age in pong.starting_ms if 0 <= i < len(names)}
        self.ages.answered(mono_us, self.peer.name, pong.number, ages_us, starting_us)
        return [Answered(pong.number, took_us, self.held)]

    def _confirmed(self, low: int) -> None:
        """The peer has all our pushes up to this one."""
        self._went.confirmed(min(low, self._went.last))
        if self._whole:
            self.held = max(self.held, self._went.held(self.cursor))

    # Out

    def ask(self) -> None:
        """Ping as soon as may be."""
        self._ping_us = min(self._ping_us, self._last_ping_us + PING_GAP_US)

    def say(self, words: bytes) -> None:
        """Tell a member something that may be lost."""
        self._asides.append(words)

    @property
    def wait_us(self) -> int:
        """How long an answer may take before what it answers is taken for lost."""
        if self.round_trip_us is None:
            return FIRST_WAIT_US
        return max(MIN_WAIT_US, self.round_trip_us + self.round_trip_us // 2)

    def next_us(self) -> int:
        """When `draw` has something to write though nothing happens before."""
        if self.peer is None:
            return self._hello_us
        due = [self._ping_due_us(), *([] if self._understood else [self._hello_us])]
        if (next_us := self.comparison.next_us) is not None:
            due.append(next_us)
        if self._relay_us is not None:
            due.append(self._relay_us)
        return min(due)

    def _ping_due_us(self) -> int:
        """Earlier than in turn where the last one, or a push, seems to be lost."""
        if self._asked or self._went.unconfirmed:
            return min(self._ping_us, self._last_ping_us + max(PING_GAP_US, self.wait_us))
        return self._ping_us

    def draw(self, now_us: int, mono_us: int) -> bytes | None:
        """The next message to write, as there is room for one; None: there is nothing to say now."""
        frames: list[Frame] = []
        while len(frames) < MOST_FRAMES and (frame := self._next(now_us, mono_us)) is not None:
            frames.append(frame)
            if isinstance(frame, (Push, Heads, Ranges)) and len(frames) > 1:
                break
            if isinstance(frame, Push) and len(frame.records) > SMALL:
                break
        return write(frames) if frames else None

    def _next(self, now_us: int, mono_us: int) -> Frame | None:
        if not self._understood and mono_us >= self._hello_us:
            self._hello_us = mono_us + self.wait_us
            own = self.own
            return Hello(
                PROTOCOL, own.installation, own.name, own.incarnation, own.features, now_us, own.names
            )
        if self.peer is None:
            return None
        if self._ask_again:
            numbers, self._ask_again = self._ask_again, ()
            return Again(numbers)
        frame: Frame | None
        if frame := self._said_again(mono_us) or self._changes(mono_us) or self._answer(mono_us):
            return frame
        if mono_us >= self._ping_due_us():
            return self._ping(mono_us)
        if self._asides:
            return Aside(self._asides.popleft())
        self.comparison.tick(now_us, mono_us)
        if (part := self.comparison.draw()) is not None:
            return part
        if self.comparison.owed and self._went.room:
            return self._lacked(mono_us)
        if not self._whole and self.comparison.rounds and not self.comparison.owed:
            self._whole = True
            return self._answer(mono_us)
        return None

    def _answer(self, mono_us: int) -> Pong | None:
        owed = self._owed
        if owed is None or not self._whole or self.cursor < owed.head:
            return None
        self._owed = None
        names, known, starting = self.own.names, owed.ages_us, owed.starting_us
        ages = tuple(_ms(known[name]) if name in known else -1 for name in names)
        late = tuple((i, _ms(starting[name])) for i, name in enumerate(names) if name in starting)
        if self._ping_us - mono_us < self.interval_us // 2:
            self._ping_us = mono_us  # in the same message as the answer
        return Pong(owed.number, self._went.last, self._came.low, ages, late)

    def _ping(self, mono_us: int) -> Ping:
        assert self.peer
        self._number += 1
        self._asked[self._number] = mono_us
        if len(self._asked) > MAX_PINGS:
            del self._asked[next(iter(self._asked))]
        self.ages.pinged(mono_us, self.peer.name, self._number)
        self._last_ping_us = mono_us
        self._ping_us = mono_us + self.interval_us
        return Ping(self._number, self._went.last, self._came.low)

    def _write_push(self, mono_us: int, records: list[Record], pushed: Pushed) -> Push:
        number = self._went.wrote(pushed)
        self.pushed += len(records)
        # An answer to a ping behind it tells that it has come.
        self._ping_us = min(self._ping_us, max(mono_us, self._last_ping_us) + PING_GAP_US)
        return Push(number, tuple(records), pushed.instead)

    def _said_again(self, mono_us: int) -> Push | None:
        """A push that was lost, with the newest values."""
        if (lost := self._went.again()) is None:
            return None
        records = [r for name in lost.names if (r := self.store.record(*name)) and self._fits(r)]
        return self._write_push(mono_us, records, lost)

    def _may_wait(self, mono_us: int, records: list[Record]) -> bool:
        """Whether the peer should have all of these from their writers; of two such peers one asks first."""
        assert self.peer
        if self._owed or len(records) >= BATCH:
            return False
        own = self.own.name
        if any(r.stamp.origin == own or not self.direct(r.stamp.origin) for r in records):
            return False
        if self._relay_us is None:
            self._relay_us = mono_us + (RELAY_US if own < self.peer.name else 2 * RELAY_US)
        return mono_us < self._relay_us

    def _changes(self, mono_us: int) -> Push | None:
        """The changes behind the cursor, without what the peer has shown that it has."""
        limit = BATCH
        while self.cursor < self.store.head and self._went.room:
            records, cursor = self.store.since(self.cursor, limit)
            if limit == BATCH and self._may_wait(mono_us, records):
                return None
            due = [r for r in records if self._shown.get(r.name) != r and self._fits(r)]
            if len(due) > 1 and sum(len(r.value) for r in due) > BATCH_BYTES:
                limit = len(records) // 2
                continue
            before, self.cursor = self.cursor, cursor if records else self.store.head
            for record in records:
                self._shown.pop(record.name, None)
                self.comparison.owed.pop(record.name, None)
            if self.cursor >= self.store.head:
                self._shown.clear()
                self._relay_us = None
            self.skipped += len(records) - len(due)
            if due:
                return self._write_push(mono_us, due, Pushed(tuple(r.name for r in due), before))
        return None

    def _lacked(self, mono_us: int) -> Push:
        """Records that a comparison found the peer to lack, in their newest form."""
        due: list[Record] = []
        size = 0
        owed = self.comparison.owed
        while owed and len(due) < BATCH and size < BATCH_BYTES:
            name = next(iter(owed))
            del owed[name]
            if (record := self.store.record(*name)) and self._fits(record):
                due.append(record)
                size += len(record.value)
        return self._write_push(mono_us, due, Pushed(tuple(r.name for r in due), 0))

    def _fits(self, record: Record) -> bool:
        fits = len(record.value) + len(record.key) <= MAX_MESSAGE - BATCH_BYTES - ROOM
        self.oversized += not fits
        return fits


def _ms(us: int) -> int:
    """Rounded up: an age may be told too large, never too small."""
    return -(-us // 1000)
