"""One end of a link between two schedulers, as a state machine that consumes and produces messages. No I/O.

After the hellos both sides compare their records by anti-entropy, and push every change made since then.
Changes are not queued for a slow peer: the owner of the session calls ``draw`` for a message when the
transport has capacity, and the message contains the newest value of each record. A pong takes effect only
once every change that its sender knew when the ping arrived is stored at the receiver; leases depend on that
(``freshness``). Times are monotonic microseconds of this process unless noted otherwise.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from robinhill.mesh.anti_entropy import AntiEntropy
from robinhill.mesh.delivery_windows import ReceiveWindow
from robinhill.mesh.errors import PeerRejected
from robinhill.mesh.frames import (
    MAX_MEMBERS,
    PROTOCOL,
    Frame,
    Hello,
    MemberMessage,
    Ping,
    Pong,
    Push,
    PushResendRequest,
    RangeDigests,
    RecordVersions,
    VersionsResendRequest,
    decode_message,
    encode_message,
)
from robinhill.mesh.ping_schedule import MAX_PINGS_IN_FLIGHT, PingSchedule
from robinhill.mesh.push_sender import PushSender
from robinhill.mesh.record_merging import RejectedRecord, merge_record
from robinhill.mesh.records import Record
from robinhill.mesh.session_events import (
    Event,
    HelloReceived,
    MemberMessageReceived,
    PingAnswered,
    RecordsReceived,
)

MAX_FRAMES_PER_MESSAGE = 16  # each message costs a system call, so small frames share a message
MAX_SMALL_PUSH_RECORDS = 8  # a push with more records is the last frame of its message
MAX_MEMBER_MESSAGES = 64  # member messages waiting to be written; above this number the oldest are dropped


class Store(Protocol):
    """The part of the replica's interface that a session uses."""

    @property
    def head(self) -> int:
        """The number of the latest change; 0 if there was none."""
        ...

    def merge(self, now_us: int, record: Record) -> Record | None:
        """Merge a peer's record. Returns the record stored after the merge, None if nothing changed.

        Raises MeshError if the record was rejected, or was stored with a warning.
        """
        ...

    def record(self, kind: str, key: str) -> Record | None:
        """Return the record of this kind and key; None if there is none."""
        ...

    def since(self, cursor: int, limit: int) -> tuple[list[Record], int]:
        """Return at most ``limit`` records changed after ``cursor``, and the cursor for the next call."""
        ...

    def ranges(self, now_us: int) -> Sequence[int]:
        """Return the digests of all ranges as of ``now_us`` (Unix time)."""
        ...

    def in_range(self, index: int) -> list[Record]:
        """Return the records of one range."""
        ...


class KnowledgeAges(Protocol):
    """The part of the interface of `Freshness` that a session uses: ages of our knowledge of schedulers."""

    def pinged(self, mono_us: int, partner: str, number: int) -> None:
        """Record that ping ``number`` is about to be written to ``partner``."""
        ...

    def answered(
        self,
        mono_us: int,
        partner: str,
        number: int,
        ages_us: Mapping[str, int],
        starting_us: Mapping[str, int] | None = None,
    ) -> None:
        """Record the answer to ping ``number``, once all changes that precede the answer are stored.

        ``ages_us`` and ``starting_us``: the partner's `ages` and `starting_ages` when the ping arrived.
        """
        ...

    def ages(self, mono_us: int) -> Mapping[str, int]:
        """Return the ages (us) of our knowledge of the schedulers that count towards majorities, by name."""
        ...

    def starting_ages(self, mono_us: int) -> Mapping[str, int]:
        """Return the ages (us) of our knowledge of the schedulers that do not count yet, by name."""
        ...


@dataclass(slots=True, frozen=True)
class Identity:
    """The identity in our hello. ``names``: all configured schedulers, this one included, sorted."""

    installation: str
    name: str
    incarnation: int
    names: tuple[str, ...]
    features: tuple[str, ...] = ()


@dataclass(slots=True)
class _PendingPong:
    """A pong that is due once our changes up to the one numbered ``head`` are written.

    ``number``: the number of the ping. ``ages_us`` and ``starting_us``: the ages when the ping arrived.
    """

    number: int
    head: int
    ages_us: Mapping[str, int]
    starting_us: Mapping[str, int]


class Session:
    """One end of a link. The ends differ only in that one of them ``opens`` the rounds of anti-entropy.

    ``interval_us``: interval between pings. ``peer``: the peer's hello, None until it was received.
    ``last_received_us``: when the last message was received, 0 before the first one. ``confirmed_cursor``:
    the number of the change up to which the peer has all our changes, 0 until the first comparison of digests
    and the pushes that result from it are written.
    """

    def __init__(
        self, own: Identity, store: Store, ages: KnowledgeAges, opens: bool, interval_us: int
    ) -> None:
        self.own = own
        self.store = store
        self.ages = ages
        self.peer: Hello | None = None
        self.last_received_us = 0
        self.confirmed_cursor = 0
        self.anti_entropy = AntiEntropy(store, opens)
        self.sender = PushSender(store, own.name, self.anti_entropy.pending)
        self.pings = PingSchedule(interval_us)
        self._received = ReceiveWindow()
        self._missing: tuple[int, ...] = ()  # numbers of lost pushes to request again
        self._hello_confirmed = False  # whether the peer is known to have our hello
        self._hello_due_us = 0
        # Whether the pushes written contain every record that the peer lacked at the peer's hello.
        self._initial_sync_written = False
        self._pending_pong: _PendingPong | None = None  # for a received ping that is not answered yet
        self._early_pongs: list[Pong] = []  # received before pushes that the peer had written earlier
        self._member_messages: deque[bytes] = deque(maxlen=MAX_MEMBER_MESSAGES)

    # Receiving

    def receive(self, now_us: int, mono_us: int, data: bytes) -> list[Event]:
        """Process a message. ``now_us``: Unix time. Raises PeerRejected; the caller then closes the link."""
        frames = decode_message(data)
        self.last_received_us = mono_us
        return [event for frame in frames for event in self._receive(now_us, mono_us, frame)]

    def _receive(self, now_us: int, mono_us: int, frame: Frame) -> list[Event]:
        if isinstance(frame, Hello):
            return self._receive_hello(now_us, mono_us, frame)
        self._hello_confirmed = True  # a peer writes other frames only after it has received our hello
        if self.peer is None:
            return []  # the peer's hello was lost or overtaken by this frame; the peer sends the frame again
        match frame:
            case Push():
                return self._receive_push(now_us, mono_us, frame)
            case Ping():
                self._receive_ping(mono_us, frame)
            case Pong():
                return self._receive_pong(mono_us, frame)
            case PushResendRequest(numbers=numbers):
                self.sender.window.mark_lost(numbers)
            case RangeDigests() | RecordVersions() | VersionsResendRequest():
                self._receive_anti_entropy(now_us, mono_us, frame)
            case MemberMessage(payload=payload):
                return [MemberMessageReceived(payload)]
        return []

    def _receive_anti_entropy(
        self, now_us: int, mono_us: int, frame: RangeDigests | RecordVersions | VersionsResendRequest
    ) -> None:
        match frame:
            case RangeDigests():
                self.anti_entropy.digests_received(now_us, mono_us, frame)
            case RecordVersions():
                self.anti_entropy.versions_received(mono_us, frame)
            case VersionsResendRequest():
                self.anti_entropy.resend_requested(frame)

    def _receive_hello(self, now_us: int, mono_us: int, hello: Hello) -> list[Event]:
        if self.peer is not None:
            if (hello.name, hello.incarnation) != (self.peer.name, self.peer.incarnation):
                raise PeerRejected(
                    f"{self.peer.name} sent a second hello as {hello.name}, with another name or incarnation"
                )
            if not self._hello_confirmed:
                self._hello_due_us = min(self._hello_due_us, mono_us)
            return []
        self._check(hello)
        self.peer = hello
        self.sender.peer_name = hello.name
        self.sender.cursor = self.store.head
        self.pings.due_us = mono_us
        if self.anti_entropy.opens:
            self.anti_entropy.tick(now_us, mono_us)
        return [HelloReceived(hello)]

    def _check(self, hello: Hello) -> None:
        """Raise PeerRejected if a link to the sender of ``hello`` is not permitted."""
        if hello.protocol != PROTOCOL:
            raise PeerRejected(f"{hello.name} uses protocol {hello.protocol}, this scheduler uses {PROTOCOL}")
        if hello.installation != self.own.installation:
            raise PeerRejected(f"{hello.name} belongs to installation {hello.installation}, not to ours")
        if hello.name == self.own.name:
            raise PeerRejected(f"{hello.name} is our own name")
        if hello.name not in self.own.names:
            raise PeerRejected(f"{hello.name} is not among the peers in our configuration")
        if len(hello.names) > MAX_MEMBERS:
            raise PeerRejected(f"{hello.name} lists {len(hello.names)} members, the limit is {MAX_MEMBERS}")

    def _receive_push(self, now_us: int, mono_us: int, push: Push) -> list[Event]:
        self._received.received(push.number, push.replaces)
        changed: list[Record] = []
        rejected: list[RejectedRecord] = []
        for record in push.records:
            stored, rejection = merge_record(self.store, now_us, record)
            if rejection is not None:
                rejected.append(rejection)
            if stored is not None:
                changed.append(stored)
            self.sender.peer_has(record)
        events: list[Event] = []
        if changed or rejected:
            events.append(RecordsReceived(tuple(changed), tuple(rejected)))
        early, self._early_pongs = self._early_pongs, []
        for pong in early:
            events += self._receive_pong(mono_us, pong)
        return events

    def _receive_ping(self, mono_us: int, ping: Ping) -> None:
        self._confirm(ping.low)
        self._missing = self._received.missing(ping.pushed)
        # Only one pong is pending at a time. While the pong to an earlier ping is not written yet, this ping
        # gets no pong; the peer pings again on its schedule.
        if self._pending_pong is None:
            self._pending_pong = _PendingPong(
                ping.number, self.store.head, self.ages.ages(mono_us), self.ages.starting_ages(mono_us)
            )

    def _receive_pong(self, mono_us: int, pong: Pong) -> list[Event]:
        assert self.peer
        self._confirm(pong.low)
        if (missing := self._received.missing(pong.pushed)) or pong.pushed > self._received.low:
            self._missing = missing
            self._early_pongs = [*self._early_pongs[1 - MAX_PINGS_IN_FLIGHT :], pong]
            return []
        if (took_us := self.pings.answered(mono_us, pong.number)) is None:
            return []
        names = self.peer.names
        ages_us = {name: age * 1000 for name, age in zip(names, pong.ages_ms, strict=False) if age >= 0}
        starting_us = {names[i]: age * 1000 for i, age in pong.starting_ms if 0 <= i < len(names)}
        self.ages.answered(mono_us, self.peer.name, pong.number, ages_us, starting_us)
        return [PingAnswered(pong.number, took_us, self.confirmed_cursor)]

    def _confirm(self, low: int) -> None:
        """Record that the peer has received all our pushes up to ``low``."""
        self.sender.window.confirm(min(low, self.sender.window.last))
        if self._initial_sync_written:
            self.confirmed_cursor = max(self.confirmed_cursor, self.sender.confirmed_cursor)

    # Sending

    def send_member_message(self, payload: bytes) -> None:
        """Queue an application message that is not part of replication; the message may be lost."""
        self._member_messages.append(payload)

    def next_us(self) -> int:
        """Return when `draw` will have a message to write.

        The time may become earlier when a message is received or a record of the replica changes.
        """
        if self.peer is None:
            return self._hello_due_us
        due = [self._ping_due_us()]
        if not self._hello_confirmed:
            due.append(self._hello_due_us)
        if (next_us := self.anti_entropy.next_us) is not None:
            due.append(next_us)
        if self.sender.relay_due_us is not None:
            due.append(self.sender.relay_due_us)
        return min(due)

    def draw(self, now_us: int, mono_us: int) -> bytes | None:
        """Return the next message to write; None if there is nothing to write at ``mono_us``.

        To be called when the transport has capacity. ``now_us``: Unix time.
        """
        frames: list[Frame] = []
        while (
            len(frames) < MAX_FRAMES_PER_MESSAGE and (frame := self._next_frame(now_us, mono_us)) is not None
        ):
            frames.append(frame)
            if isinstance(frame, (Push, RecordVersions, RangeDigests)) and len(frames) > 1:
                break
            if isinstance(frame, Push) and len(frame.records) > MAX_SMALL_PUSH_RECORDS:
                break
        return encode_message(frames) if frames else None

    def _next_frame(self, now_us: int, mono_us: int) -> Frame | None:
        """Return the next frame, by priority.

        The order is: hello, resend request, push of changes, pong, ping, member message, anti-entropy.
        """
        if not self._hello_confirmed and mono_us >= self._hello_due_us:
            return self._hello(now_us, mono_us)
        if self.peer is None:
            return None
        if (frame := self._resend_request() or self._changes_or_pong(mono_us)) is not None:
            return frame
        if mono_us >= self._ping_due_us():
            return self._ping(mono_us)
        if self._member_messages:
            return MemberMessage(self._member_messages.popleft())
        return self._anti_entropy_frame(now_us, mono_us)

    def _resend_request(self) -> PushResendRequest | None:
        if not self._missing:
            return None
        numbers, self._missing = self._missing, ()
        return PushResendRequest(numbers)

    def _changes_or_pong(self, mono_us: int) -> Push | Pong | None:
        push = self.sender.lost_push() or self.sender.changes(mono_us, self._pending_pong is not None)
        if push is None:
            return self._pong(mono_us)
        self.pings.push_written(mono_us)
        return push

    def _anti_entropy_frame(self, now_us: int, mono_us: int) -> Frame | None:
        self.anti_entropy.tick(now_us, mono_us)
        if (frame := self.anti_entropy.draw()) is not None:
            return frame
        if (push := self.sender.pending_records()) is not None:
            self.pings.push_written(mono_us)
            return push
        if not self._initial_sync_written and self.anti_entropy.rounds and not self.anti_entropy.pending:
            self._initial_sync_written = True
            return self._pong(mono_us)
        return None

    def _hello(self, now_us: int, mono_us: int) -> Hello:
        self._hello_due_us = mono_us + self.pings.timeout_us
        own = self.own
        return Hello(PROTOCOL, own.installation, own.name, own.incarnation, own.features, now_us, own.names)

    def _pong(self, mono_us: int) -> Pong | None:
        """Return the pending pong if all changes that must precede it are written; otherwise None."""
        pending = self._pending_pong
        if pending is None or not self._initial_sync_written or self.sender.cursor < pending.head:
            return None
        self._pending_pong = None
        names, known, starting = self.own.names, pending.ages_us, pending.starting_us
        ages = tuple(_rounded_up_ms(known[name]) if name in known else -1 for name in names)
        late = tuple((i, _rounded_up_ms(starting[name])) for i, name in enumerate(names) if name in starting)
        self.pings.pong_written(mono_us)
        return Pong(pending.number, self.sender.window.last, self._received.low, ages, late)

    def _ping_due_us(self) -> int:
        return self.pings.next_us(unconfirmed_pushes=self.sender.window.unconfirmed > 0)

    def _ping(self, mono_us: int) -> Ping:
        assert self.peer
        number = self.pings.ping_written(mono_us)
        self.ages.pinged(mono_us, self.peer.name, number)
        return Ping(number, self.sender.window.last, self._received.low)


def _rounded_up_ms(us: int) -> int:
    """Convert to milliseconds, rounded up: an age may be overstated but never understated."""
    return -(-us // 1000)
