"""Links as state machines, over channels that lose, double, delay and reorder frames. Time is simulated."""

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
class Side:
    """One end: its copy, its session, and what its sessions told."""

    name: str
    replica: Replica
    session: Session
    events: list[Event] = field(default_factory=list)


class Channel:
    """Two ends and what is between them. ``fault``: chance that a frame is lost, doubled, or late."""

    def __init__(self, seed: int, lost: float = 0.0, delay_us: int = MS, records: int = 0) -> None:
        self.random = random.Random(seed)
        self.lost, self.delay_us = lost, delay_us
        self.now = S
        self.wire: list[tuple[int, int, int, bytes]] = []
        self.order = 0
        self.bytes = [0, 0]
        self.cut = self.lying = False
        self.kept: dict[tuple[int, int], dict[Any, Any]] = {}  # what an end knew as a ping came
        self.sides: list[Side] = []
        for index, name in enumerate("ab"):
            replica = Replica(name, 1 + index, [kind()])
            for n in range(records):
                replica.write(UNIX + self.now, "number", f"{n if index == 0 else -n}", n)
            freshness = Freshness(name, "ab", S)
            freshness.caught_up = True
            own = Identity("test", name, 1, ("a", "b"))
            self.sides.append(Side(name, replica, Session(own, replica, freshness, index == 0, 100 * MS)))

    def write(self, side: int, key: str, number: int) -> None:
        self.sides[side].replica.write(UNIX + self.now, "number", key, number)

    def run(self, us: int, writes: float = 0.0) -> None:
        """Let so much time pass; ``writes``: chance of a write at either side each millisecond."""
        end = self.now + us
        while self.now < end:
            for index, side in enumerate(self.sides):
                if self.random.random() < writes:
                    self.write(index, f"w{self.random.randrange(50)}", self.random.randrange(10**6))
                while (frame := side.session.draw(UNIX + self.now, self.now)) is not None:
                    self._carry(index, frame)
            self.now += MS
            while self.wire and self.wire[0][0] <= self.now:
                _, _, to, frame = heapq.heappop(self.wire)
                self._deliver(to, frame)

    def _carry(self, sender: int, frame: bytes) -> None:
        self.bytes[sender] += len(frame)
        for _ in range(1 + (self.random.random() < self.lost)):
            if not self.cut and self.random.random() >= self.lost:
                self.order += 1
                late = self.delay_us * self.random.choice((1, 1, 3)) if self.lost else self.delay_us
                heapq.heappush(self.wire, (self.now + late, self.order, 1 - sender, frame))

    def _deliver(self, to: int, frame: bytes) -> None:
        side = self.sides[to]
        for read in frames.decode_message(frame):
            if isinstance(read, Ping):
                self.kept.setdefault((to, read.number), {r.name: r for r in side.replica.snapshot()})
        for event in side.session.receive(UNIX + self.now, self.now, frame):
            side.events.append(event)
            if isinstance(event, PingAnswered) and not self.lying:  # then all that the other knew is here
                for name, record in self.kept[1 - to, event.number].items():
                    mine = side.replica.record(*name)
                    assert mine and mine.stamp >= record.stamp, (name, self.now)

    @property
    def equal(self) -> bool:
        one, other = (s.replica.digest(UNIX + self.now) for s in self.sides)
        return one == other

    def answers(self, side: int) -> int:
        return sum(isinstance(e, PingAnswered) for e in self.sides[side].events)


@pytest.mark.parametrize("seed", range(8))
def test_copies_converge_and_pongs_are_truthful_over_a_bad_link(seed: int) -> None:
    link = Channel(seed, lost=0.3, delay_us=20 * MS, records=300)
    link.run(6 * S, writes=0.05)
    assert link.answers(0) > 5 and link.answers(1) > 5
    link.run(3 * S)
    assert link.equal
    assert all(s.session.confirmed_cursor == s.replica.head for s in link.sides)


def test_an_idle_link_pushes_a_change_at_once_and_confirms_it() -> None:
    link = Channel(1)
    link.run(S)
    link.write(0, "x", 1)
    link.run(MS)
    assert link.equal
    head = link.sides[0].replica.head
    assert link.sides[0].session.confirmed_cursor < head
    link.run(60 * MS)
    assert link.sides[0].session.confirmed_cursor == head


def test_records_the_peer_has_are_not_pushed() -> None:
    link = Channel(2, records=2000)
    link.run(2 * S)
    assert link.equal
    assert [s.session.sender.pushed for s in link.sides] == [2000, 2000]
    assert (
        sum(s.session.sender.skipped for s in link.sides) == 3999
    )  # of number 0 each had its own; one is enough
    before = sum(link.bytes)
    link.run(ROUND_INTERVAL_US)
    assert sum(link.bytes) - before < 20_000


def test_anti_entropy_pushes_only_missing_records() -> None:
    near = Channel(3, records=3000)
    near.run(2 * S)
    near.write(0, "late", 1)
    replica = near.sides[1].replica
    near.sides[1].session = Session(
        Identity("test", "b", 1, ("a", "b")), replica, Freshness("b", "ab", S), False, S
    )
    near.sides[0].session = Session(
        Identity("test", "a", 1, ("a", "b")), near.sides[0].replica, Freshness("a", "ab", S), True, S
    )
    near.bytes = [0, 0]
    near.run(S)
    assert near.equal and near.sides[0].session.sender.pushed == 1
    assert sum(near.bytes) < 10_000


def test_a_silent_reader_costs_no_memory_and_receives_the_newest_values() -> None:
    link = Channel(4)
    link.run(S)
    link.cut = True
    for number in range(20 * WINDOW_PUSHES):
        link.write(0, f"k{number % 10}", number)
        link.run(MS)
    session = link.sides[0].session
    assert len(session.sender.window._unconfirmed) <= WINDOW_PUSHES and len(session.sender._peer_has) == 0
    link.cut = False
    before = link.bytes[0]
    link.run(2 * S)
    assert link.equal and link.bytes[0] - before < 100_000


def test_a_missed_change_is_found_by_digests() -> None:
    """A record that came by no push: as if a bug of a peer's had left it out."""
    link = Channel(5)
    link.run(S)
    link.write(1, "lost", 7)
    link.lying = True
    link.sides[1].session.sender.cursor = link.sides[1].replica.head
    link.run(S)
    assert not link.equal
    link.run(ROUND_INTERVAL_US)
    assert link.equal


def refusal(data: bytes, **greeting: Any) -> str:
    side = Channel(6).sides[0]
    if greeting:
        side.session.receive(UNIX, S, hello(**greeting))
    with pytest.raises(PeerRejected) as refused:
        side.session.receive(UNIX, S, data)
    return str(refused.value)


def hello(**changes: Any) -> bytes:
    told = Hello(frames.PROTOCOL, "test", "b", 1, (), UNIX, ("a", "b"))
    return frames.encode_message([msgspec.structs.replace(told, **changes)])


def test_incompatible_peers_are_rejected_with_advice() -> None:
    assert "installation other" in refusal(hello(installation="other"))
    assert "protocol 99" in refusal(hello(protocol=99))
    assert "our own name" in refusal(hello(name="a"))
    assert "not among the peers in our configuration" in refusal(hello(name="zz"))
    assert "second hello" in refusal(hello(incarnation=2), incarnation=1)
    assert "can't be decoded" in refusal(b"\xc1")
    assert "can't be decoded" in refusal(msgspec.msgpack.encode([["push", "x", 3]]))
    short = frames.RangeDigests(1, 0, True, b"short")
    assert "256 ranges" in refusal(frames.encode_message([short]), incarnation=1)
    assert PeerRejected.advice in refusal(hello(protocol=99))


def test_frames_out_of_sequence_change_nothing() -> None:
    link = Channel(7)
    link.run(S)
    session, head = link.sides[0].session, link.sides[0].replica.head
    for frame in (
        frames.Pong(10**9, 0, 0, (0, 0), ((-5, 1), (70, 1))), frames.PushResendRequest((-1, 5, 10**12)),
        frames.VersionsResendRequest(-1, (3, -3)), frames.VersionsResendRequest(1, (10**9,)),
        RecordVersions(99, (RangePart(1000, 0, 1, ()),)),
        RecordVersions(1, (RangePart(3, 0, -1, ()),)), Ping(10**12, 0, 10**9), frames.MemberMessage(b""),
    ):  # fmt: skip
        session.receive(UNIX, link.now, frames.encode_message([frame]))
    assert link.sides[0].replica.head == head
    link.run(S)
    link.write(1, "x", 1)
    link.run(10 * MS)
    assert link.equal
    with pytest.raises(PeerRejected):
        for number in range(2, 10 * WINDOW_PUSHES):
            session.receive(UNIX, link.now, frames.encode_message([Push(number * 2 + 100, ())]))
