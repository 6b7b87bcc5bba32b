"""A voter's change feed to one observer: order, send window, priorities."""

from robinhill.control.change_feed import MAX_UNCONFIRMED_MESSAGES, ChangeFeed
from robinhill.control.changelog import MAX_RECORDS_PER_MESSAGE, ChangeLog
from robinhill.control.messages import Changes, Compared, Digests, HeartbeatReply, RangeRecords, read
from robinhill.mesh.replica import Replica
from tests.control_network import CORDON, EPOCH_US, NOTE, URGENT, number_kind


class Rig:
    """A log with records, and a feed of it."""

    def __init__(self, notes: int = 0) -> None:
        self.replica = Replica("v", 1, [number_kind(CORDON), number_kind(NOTE)])
        self.changelog = ChangeLog(self.replica, URGENT)
        self.feed = ChangeFeed(self.changelog)
        for i in range(notes):
            self.write(NOTE, f"n{i}")

    def write(self, kind: str, key: str, value: int = 1) -> None:
        self.changelog.note([self.replica.write(EPOCH_US, kind, key, value)])

    def draw(self) -> list[object]:
        return [read(data) for data in self.feed.draw()[0]]

    def compare_with(self, other: Replica) -> None:
        digests = b"".join(value.to_bytes(8, "big") for value in other.ranges(EPOCH_US))
        self.feed.compare(EPOCH_US, Digests(EPOCH_US, digests))


def test_urgent_changes_go_first_and_once() -> None:
    rig = Rig()
    rig.feed.resume(0)
    rig.write(NOTE, "n")
    rig.write(CORDON, "c")
    rig.write(NOTE, "m")
    urgent, bulk = rig.draw()
    assert isinstance(urgent, Changes) and isinstance(bulk, Changes)
    assert urgent.urgent and [record.key for record in urgent.records] == ["c"]
    assert not bulk.urgent and [record.key for record in bulk.records] == ["n", "m"]
    assert bulk.position == rig.replica.head
    assert rig.draw() == []


def test_a_reply_follows_all_that_was_known_at_its_heartbeat() -> None:
    rig = Rig(MAX_RECORDS_PER_MESSAGE * (MAX_UNCONFIRMED_MESSAGES + 2))
    rig.feed.resume(0)
    rig.feed.heartbeat(7, 500)
    head = rig.replica.head
    first = rig.draw()
    assert len(first) == MAX_UNCONFIRMED_MESSAGES and all(isinstance(one, Changes) for one in first)
    rig.feed.confirm(MAX_UNCONFIRMED_MESSAGES)
    *rest, answer = rig.draw()
    assert isinstance(rest[-1], Changes) and rest[-1].position == head
    assert answer == HeartbeatReply(7, 500, head)


def test_a_slow_observer_is_sent_newest_values_only() -> None:
    rig = Rig(MAX_RECORDS_PER_MESSAGE * MAX_UNCONFIRMED_MESSAGES)
    rig.feed.resume(0)
    rig.draw()
    for value in range(2, 1_000):
        rig.write(NOTE, "again", value)
        assert rig.draw() == []
    rig.feed.confirm(MAX_UNCONFIRMED_MESSAGES)
    (message,) = rig.draw()
    assert isinstance(message, Changes) and len(message.records) == 1


def test_a_new_observer_gets_what_differs_then_changes() -> None:
    rig = Rig(3_000)
    other = Replica("s", 1, [number_kind(CORDON), number_kind(NOTE)])
    rig.compare_with(other)
    rig.feed.heartbeat(1, 0)
    rig.write(CORDON, "late")
    found: list[object] = []
    while True:
        drawn = rig.draw()
        assert len(drawn) <= MAX_UNCONFIRMED_MESSAGES + 1
        if not drawn:
            break
        found += drawn
        rig.feed.confirm(rig.feed.sent)
    ranges = [one for one in found if isinstance(one, RangeRecords)]
    keys = {record.key for one in ranges for part in one.parts for record in part.records}
    assert len(keys) >= 3_000 and found[: len(ranges)] == ranges
    compared, changes, answer = found[len(ranges) :]
    assert compared == Compared(3_000)
    assert isinstance(changes, Changes) and [record.key for record in changes.records] == ["late"]
    assert isinstance(answer, HeartbeatReply) and answer.position == 3_001


def test_equal_replicas_are_sent_nothing() -> None:
    rig = Rig(100)
    other = Replica("s", 1, [number_kind(CORDON), number_kind(NOTE)])
    for record in rig.replica.snapshot():
        other.merge(EPOCH_US, record)
    rig.compare_with(other)
    assert rig.draw() == [Compared(100)]


def test_messages_are_encoded_once_for_all() -> None:
    rig = Rig()
    feeds = [ChangeFeed(rig.changelog) for _ in range(100)]
    for feed in feeds:
        feed.resume(0)
    rig.write(NOTE, "n")
    drawn = {feed.draw()[0][0] for feed in feeds}
    assert len(drawn) == 1 and rig.changelog.messages_encoded == 1


def test_urgent_changes_beyond_one_message_are_sent_in_order() -> None:
    rig = Rig()
    rig.feed.resume(0)
    for i in range(2 * MAX_RECORDS_PER_MESSAGE + 1):
        rig.write(CORDON, f"c{i}")
    found = rig.draw()
    assert [len(one.records) for one in found if isinstance(one, Changes)] == [256, 256, 1]
    assert [one.position for one in found if isinstance(one, Changes)] == [256, 512, 513]
