"""Sessions of two peers on a simulated link that may lose, repeat, delay and reorder frames."""

import heapq
import random
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest

from robinhill.mesh import frames
from robinhill.mesh.anti_entropy import ROUND_INTERVAL_US
from robinhill.mesh.delivery_windows import WINDOW_PUSHES
from robinhill.mesh.errors import PeerRejected
from robinhill.mesh.frames import Hello, Ping, Push, RangePart, RecordVersions
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.records import Kind
from robinhill.mesh.replica import Replica
from robinhill.mesh.session import Identity, Session
from robinhill.mesh.session_events import Event, PingAnswered

from .conftest import MS, S

UNIX = 1_700_000_000 * S


def kind() -> Kind[int]:
    return Kind("number", msgspec.msgpack.encode, msgspec.msgpack.Decoder(int).decode, max, 3600 * S, 100_000)


@dataclass
class Peer:
    """One end of the link: its replica, its session, and the events of its session."""

    name: str
    replica: Replica
    session: Session
    events: list[Event] = field(default_factory=list)


class SimulatedLink:
    """Two peers and the frames in flight between them.

    ``fault_rate``: the probability that a frame is lost, and the probability that it is sent twice; if it
    isn't 0, a third of the frames is also delayed to three times ``delay_us``. ``records``: the number of
    records that each peer stores at the start.
    """

    def __init__(self, seed: int, fault_rate: float = 0.0, delay_us: int = MS, records: int = 0) -> None:
        self.random = random.Random(seed)
        self.fault_rate, self.delay_us = fault_rate, delay_us
        self.now = S
        self.in_flight: list[tuple[int, int, int, bytes]] = []
        self.frame_number = 0
        self.sent_bytes = [0, 0]
        self.cut = self.allow_missing = False
        # By the receiver and the number of a ping: the receiver's records when the ping arrived.
        self.stored_at_ping: dict[tuple[int, int], dict[Any, Any]] = {}
        self.peers: list[Peer] = []
        for index, name in enumerate("ab"):
            replica = Replica(name, 1 + index, [kind()])
            for n in range(records):
                replica.write(UNIX + self.now, "number", f"{n if index == 0 else -n}", n)
            freshness = Freshness(name, "ab", S)
            freshness.caught_up = True
            own = Identity("test", name, 1, ("a", "b"))
            self.peers.append(Peer(name, replica, Session(own, replica, freshness, index == 0, 100 * MS)))

    def write(self, peer: int, key: str, number: int) -> None:
        self.peers[peer].replica.write(UNIX + self.now, "number", key, number)

    def run(self, duration_us: int, write_rate: float = 0.0) -> None:
        """Advance the time. ``write_rate``: the probability of a write at each peer in each millisecond."""
        end_us = self.now + duration_us
        while self.now < end_us:
            for index, peer in enumerate(self.peers):
                if self.random.random() < write_rate:
                    self.write(index, f"w{self.random.randrange(50)}", self.random.randrange(10**6))
                while (frame := peer.session.draw(UNIX + self.now, self.now)) is not None:
                    self._transmit(index, frame)
            self.now += MS
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, receiver, frame = heapq.heappop(self.in_flight)
                self._deliver(receiver, frame)

    def _transmit(self, sender: int, frame: bytes) -> None:
        self.sent_bytes[sender] += len(frame)
        for _ in range(1 + (self.random.random() < self.fault_rate)):
            if not self.cut and self.random.random() >= self.fault_rate:
                self.frame_number += 1
                delay_us = self.delay_us * self.random.choice((1, 1, 3)) if self.fault_rate else self.delay_us
                heapq.heappush(self.in_flight, (self.now + delay_us, self.frame_number, 1 - sender, frame))

    def _deliver(self, receiver: int, frame: bytes) -> None:
        peer = self.peers[receiver]
        for message in frames.decode_message(frame):
            if isinstance(message, Ping):
                self.stored_at_ping.setdefault(
                    (receiver, message.number), {r.name: r for r in peer.replica.snapshot()}
                )
        for event in peer.session.receive(UNIX + self.now, self.now, frame):
            peer.events.append(event)
            if isinstance(event, PingAnswered) and not self.allow_missing:
                # The sender of the ping must now have all records that the receiver of the ping had stored
                # when the ping arrived.
                for name, record in self.stored_at_ping[1 - receiver, event.number].items():
                    stored = peer.replica.record(*name)
                    assert stored and stored.stamp >= record.stamp, (name, self.now)

    @property
    def equal(self) -> bool:
        one, other = (s.replica.digest(UNIX + self.now) for s in self.peers)
        return one == other

    def answered_pings(self, peer: int) -> int:
        return sum(isinstance(e, PingAnswered) for e in self.peers[peer].events)


@pytest.mark.parametrize("seed", range(8))
def test_replicas_converge_and_pongs_confirm_all_records_over_a_faulty_link(seed: int) -> None:
    link = SimulatedLink(seed, fault_rate=0.3, delay_us=20 * MS, records=300)
    link.run(6 * S, write_rate=0.05)
    assert link.answered_pings(0) > 5 and link.answered_pings(1) > 5
    link.run(3 * S)
    assert link.equal
    assert all(s.session.confirmed_cursor == s.replica.head for s in link.peers)


def test_a_change_on_an_idle_link_is_pushed_within_1_ms_and_confirmed_within_60_ms() -> None:
    link = SimulatedLink(1)
    link.run(S)
    link.write(0, "x", 1)
    link.run(MS)
    assert link.equal
    head = link.peers[0].replica.head
    assert link.peers[0].session.confirmed_cursor < head
    link.run(60 * MS)
    assert link.peers[0].session.confirmed_cursor == head


def test_records_the_peer_has_are_not_pushed() -> None:
    link = SimulatedLink(2, records=2000)
    link.run(2 * S)
    assert link.equal
    assert [s.session.sender.pushed for s in link.peers] == [2000, 2000]
    # Each peer skips the 2,000 records received from the other. But both wrote the key "0", and the peer
    # with the newer record of it does not store the received one, which it then need not skip.
    assert sum(s.session.sender.skipped for s in link.peers) == 3999
    before = sum(link.sent_bytes)
    link.run(ROUND_INTERVAL_US)
    assert sum(link.sent_bytes) - before < 20_000


def test_anti_entropy_pushes_only_missing_records() -> None:
    link = SimulatedLink(3, records=3000)
    link.run(2 * S)
    link.write(0, "late", 1)
    replica = link.peers[1].replica
    link.peers[1].session = Session(
        Identity("test", "b", 1, ("a", "b")), replica, Freshness("b", "ab", S), False, S
    )
    link.peers[0].session = Session(
        Identity("test", "a", 1, ("a", "b")), link.peers[0].replica, Freshness("a", "ab", S), True, S
    )
    link.sent_bytes = [0, 0]
    link.run(S)
    assert link.equal and link.peers[0].session.sender.pushed == 1
    assert sum(link.sent_bytes) < 10_000


def test_an_unresponsive_peer_costs_bounded_memory_and_receives_only_the_newest_values() -> None:
    link = SimulatedLink(4)
    link.run(S)
    link.cut = True
    for number in range(20 * WINDOW_PUSHES):
        link.write(0, f"k{number % 10}", number)
        link.run(MS)
    session = link.peers[0].session
    assert len(session.sender.window._unconfirmed) <= WINDOW_PUSHES and len(session.sender._peer_has) == 0
    link.cut = False
    before = link.sent_bytes[0]
    link.run(2 * S)
    assert link.equal and link.sent_bytes[0] - before < 100_000


def test_a_change_missing_from_all_pushes_is_repaired_by_anti_entropy() -> None:
    """The sender's cursor is moved past the change, as a bug in the sender might do."""
    link = SimulatedLink(5)
    link.run(S)
    link.write(1, "lost", 7)
    link.allow_missing = True
    link.peers[1].session.sender.cursor = link.peers[1].replica.head
    link.run(S)
    assert not link.equal
    link.run(ROUND_INTERVAL_US)
    assert link.equal


def rejection_text(data: bytes, **hello_fields: Any) -> str:
    peer = SimulatedLink(6).peers[0]
    if hello_fields:
        peer.session.receive(UNIX, S, hello(**hello_fields))
    with pytest.raises(PeerRejected) as raised:
        peer.session.receive(UNIX, S, data)
    return str(raised.value)


def hello(**changes: Any) -> bytes:
    default = Hello(frames.PROTOCOL, "test", "b", 1, (), UNIX, ("a", "b"))
    return frames.encode_message([msgspec.structs.replace(default, **changes)])


def test_incompatible_peers_are_rejected_with_advice() -> None:
    assert "installation other" in rejection_text(hello(installation="other"))
    assert "protocol 99" in rejection_text(hello(protocol=99))
    assert "our own name" in rejection_text(hello(name="a"))
    assert "not among the peers in our configuration" in rejection_text(hello(name="zz"))
    assert "second hello" in rejection_text(hello(incarnation=2), incarnation=1)
    assert "can't be decoded" in rejection_text(b"\xc1")
    assert "can't be decoded" in rejection_text(msgspec.msgpack.encode([["push", "x", 3]]))
    short = frames.RangeDigests(1, 0, True, b"short")
    assert "256 ranges" in rejection_text(frames.encode_message([short]), incarnation=1)
    assert PeerRejected.advice in rejection_text(hello(protocol=99))


def test_frames_with_invalid_numbers_change_nothing_until_too_many_pushes_are_missing() -> None:
    link = SimulatedLink(7)
    link.run(S)
    session, head = link.peers[0].session, link.peers[0].replica.head
    for frame in (
        frames.Pong(10**9, 0, 0, (0, 0), ((-5, 1), (70, 1))), frames.PushResendRequest((-1, 5, 10**12)),
        frames.VersionsResendRequest(-1, (3, -3)), frames.VersionsResendRequest(1, (10**9,)),
        RecordVersions(99, (RangePart(1000, 0, 1, ()),)),
        RecordVersions(1, (RangePart(3, 0, -1, ()),)), Ping(10**12, 0, 10**9), frames.MemberMessage(b""),
    ):  # fmt: skip
        session.receive(UNIX, link.now, frames.encode_message([frame]))
    assert link.peers[0].replica.head == head
    link.run(S)
    link.write(1, "x", 1)
    link.run(10 * MS)
    assert link.equal
    with pytest.raises(PeerRejected):
        for number in range(2, 10 * WINDOW_PUSHES):
            session.receive(UNIX, link.now, frames.encode_message([Push(number * 2 + 100, ())]))
