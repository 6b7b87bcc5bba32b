"""A voter's change feed to an observer: order of messages, send window, and precedence of urgent kinds."""

from robinhill.control.change_feed import MAX_UNCONFIRMED_MESSAGES, ChangeFeed
from robinhill.control.changelog import MAX_RECORDS_PER_MESSAGE, ChangeLog
from robinhill.control.messages import Changes, Compared, Digests, HeartbeatReply, RangeRecords, read
from robinhill.mesh.replica import Replica
from tests.control_network import CORDON, EPOCH_US, NOTE, URGENT, number_kind


class FeedFixture:
    """A change log with ``notes`` bulk records, and the feed of it to one observer."""

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

    def compare_with(self, observer_replica: Replica) -> None:
        digests = b"".join(value.to_bytes(8, "big") for value in observer_replica.ranges(EPOCH_US))
        self.feed.compare(EPOCH_US, Digests(EPOCH_US, digests))


def test_urgent_changes_are_sent_first_and_only_once() -> None:
    fixture = FeedFixture()
    fixture.feed.resume(0)
    fixture.write(NOTE, "n")
    fixture.write(CORDON, "c")
    fixture.write(NOTE, "m")
    urgent, bulk = fixture.draw()
    assert isinstance(urgent, Changes) and isinstance(bulk, Changes)
    assert urgent.urgent and [record.key for record in urgent.records] == ["c"]
    assert not bulk.urgent and [record.key for record in bulk.records] == ["n", "m"]
    assert bulk.position == fixture.replica.head
    assert fixture.draw() == []


def test_heartbeat_reply_follows_all_changes_known_when_the_heartbeat_was_read() -> None:
    fixture = FeedFixture(MAX_RECORDS_PER_MESSAGE * (MAX_UNCONFIRMED_MESSAGES + 2))
    fixture.feed.resume(0)
    fixture.feed.heartbeat(7, 500)
    head = fixture.replica.head
    first = fixture.draw()
    assert len(first) == MAX_UNCONFIRMED_MESSAGES and all(isinstance(message, Changes) for message in first)
    fixture.feed.confirm(MAX_UNCONFIRMED_MESSAGES)
    *rest, reply = fixture.draw()
    assert isinstance(rest[-1], Changes) and rest[-1].position == head
    assert reply == HeartbeatReply(7, 500, head)


def test_slow_observer_receives_only_the_newest_values() -> None:
    fixture = FeedFixture(MAX_RECORDS_PER_MESSAGE * MAX_UNCONFIRMED_MESSAGES)
    fixture.feed.resume(0)
    fixture.draw()
    for value in range(2, 1_000):
        fixture.write(NOTE, "again", value)
        assert fixture.draw() == []
    fixture.feed.confirm(MAX_UNCONFIRMED_MESSAGES)
    (message,) = fixture.draw()
    assert isinstance(message, Changes) and len(message.records) == 1


def test_new_observer_receives_differing_ranges_before_changes() -> None:
    fixture = FeedFixture(3_000)
    observer_replica = Replica("s", 1, [number_kind(CORDON), number_kind(NOTE)])
    fixture.compare_with(observer_replica)
    fixture.feed.heartbeat(1, 0)
    fixture.write(CORDON, "late")
    messages: list[object] = []
    while True:
        drawn = fixture.draw()
        assert len(drawn) <= MAX_UNCONFIRMED_MESSAGES + 1
        if not drawn:
            break
        messages += drawn
        fixture.feed.confirm(fixture.feed.sent)
    ranges = [message for message in messages if isinstance(message, RangeRecords)]
    keys = {record.key for message in ranges for part in message.parts for record in part.records}
    assert len(keys) >= 3_000 and messages[: len(ranges)] == ranges
    compared, changes, reply = messages[len(ranges) :]
    assert compared == Compared(3_000)
    assert isinstance(changes, Changes) and [record.key for record in changes.records] == ["late"]
    assert isinstance(reply, HeartbeatReply) and reply.position == 3_001


def test_comparison_of_equal_replicas_sends_no_records() -> None:
    fixture = FeedFixture(100)
    observer_replica = Replica("s", 1, [number_kind(CORDON), number_kind(NOTE)])
    for record in fixture.replica.snapshot():
        observer_replica.merge(EPOCH_US, record)
    fixture.compare_with(observer_replica)
    assert fixture.draw() == [Compared(100)]


def test_message_is_encoded_once_for_all_feeds_with_the_same_cursor() -> None:
    fixture = FeedFixture()
    feeds = [ChangeFeed(fixture.changelog) for _ in range(100)]
    for feed in feeds:
        feed.resume(0)
    fixture.write(NOTE, "n")
    drawn = {feed.draw()[0][0] for feed in feeds}
    assert len(drawn) == 1 and fixture.changelog.messages_encoded == 1


def test_urgent_changes_that_exceed_one_message_are_sent_in_order() -> None:
    fixture = FeedFixture()
    fixture.feed.resume(0)
    for i in range(2 * MAX_RECORDS_PER_MESSAGE + 1):
        fixture.write(CORDON, f"c{i}")
    messages = fixture.draw()
    assert [len(message.records) for message in messages if isinstance(message, Changes)] == [256, 256, 1]
    assert [message.position for message in messages if isinstance(message, Changes)] == [256, 512, 513]
