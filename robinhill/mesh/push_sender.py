"""Outbound pushes of one link: new changes, records that the peer lacks, and replacements of lost pushes.

A push is a numbered message with records. The sender has a cursor in the change log of its own records;
changes after the cursor are new. Nothing is queued: a push is built when the transport has capacity, from the
newest value of each record. Changes that the peer should receive directly from the scheduler that wrote them
are delayed, so that most of them need not be relayed.
"""

from collections.abc import Callable
from typing import Protocol

from robinhill.mesh.delivery_windows import SendWindow, SentPush
from robinhill.mesh.frames import MAX_MESSAGE_BYTES, Push
from robinhill.mesh.records import Record, RecordName

MAX_RECORDS_PER_PUSH = 256
# Target for the total size of the values in one push, which a single record may exceed; a longer push would
# delay the pong that is written after it.
MAX_PUSH_BYTES = 64 << 10
FRAME_OVERHEAD_BYTES = 4 << 10  # upper limit of a frame's size in addition to the key and value of a record
RELAY_DELAY_US = 60_000  # delay before relaying changes that the peer should receive from their writer


class ChangeLog(Protocol):
    """The part of the replica's interface that the sender uses."""

    @property
    def head(self) -> int:
        """The number of the latest change; 0 if there was none."""
        ...

    def record(self, kind: str, key: str) -> Record | None:
        """Return the record of this kind and key; None if there is none."""
        ...

    def since(self, cursor: int, limit: int) -> tuple[list[Record], int]:
        """Return at most ``limit`` records changed after ``cursor``, and the cursor for the next call."""
        ...


class PushSender:
    """The pushes of one side of a link.

    ``own_name`` and ``peer_name``: this scheduler and the peer; ``peer_name`` is empty before the peer's
    hello. ``cursor``: the number of a change. No change up to the cursor is pushed as a new change any more:
    it was written, was sent by the peer itself, is left to the comparison of digests (anti-entropy), or is
    too large for a message. ``receives_directly``: called with the name of a scheduler, returns whether the
    peer should receive the changes that this scheduler wrote directly from it.
    """

    def __init__(self, log: ChangeLog, own_name: str, pending: dict[RecordName, None]) -> None:
        self.log = log
        self.own_name = own_name
        self.peer_name = ""
        self.cursor = log.head
        self.window = SendWindow()
        self.receives_directly: Callable[[str], bool] = lambda _origin: False
        self.relay_due_us: int | None = None  # when delayed changes must be written; None if there are none
        self.pushed = 0  # number of records that were pushed
        # Number of records that were not pushed, because the peer was known to have them or because they were
        # too large for a message.
        self.skipped = 0
        self._pending = pending  # names of records that anti-entropy found the peer to lack
        # The records changed after the cursor that the peer itself has sent, by name.
        self._peer_has: dict[RecordName, Record] = {}

    @property
    def confirmed_cursor(self) -> int:
        """The number of the last change up to which the peer has received all our changes."""
        return self.window.confirmed_cursor(self.cursor)

    def peer_has(self, record: Record) -> None:
        """Record that the peer has sent ``record``, so that it is not pushed unless it changes again."""
        if self.cursor < self.log.head and self.log.record(*record.name) == record:
            self._peer_has[record.name] = record

    def lost_push(self) -> Push | None:
        """Return a push that replaces a lost one, with the newest values of its records.

        None if no push is lost.
        """
        if (lost := self.window.next_lost()) is None:
            return None
        records = [r for name in lost.names if (r := self.log.record(*name)) and self._fits(r)]
        return self._push(records, lost)

    def changes(self, mono_us: int, pong_pending: bool) -> Push | None:
        """Return a push with changes after the cursor, without records that the peer is known to have.

        ``pong_pending``: whether a pong may only be written after these changes; they are not delayed then.
        Returns None if there are no changes to push, all of them are delayed, or the send window is full.
        """
        limit = MAX_RECORDS_PER_PUSH
        while self.cursor < self.log.head and self.window.has_capacity:
            records, cursor = self.log.since(self.cursor, limit)
            if limit == MAX_RECORDS_PER_PUSH and self._delayed(mono_us, records, pong_pending):
                return None
            due = [r for r in records if self._peer_has.get(r.name) != r and self._fits(r)]
            if len(due) > 1 and sum(len(r.value) for r in due) > MAX_PUSH_BYTES:
                limit = len(records) // 2
                continue
            cursor_before, self.cursor = self.cursor, cursor if records else self.log.head
            self._discard_passed(records)
            self.skipped += len(records) - len(due)
            if due:
                return self._push(due, SentPush(tuple(r.name for r in due), cursor_before))
        return None

    def pending_records(self) -> Push | None:
        """Return a push with the newest values of records that anti-entropy found the peer to lack.

        None if there are no such records, or the send window is full.
        """
        if not self._pending or not self.window.has_capacity:
            return None
        due: list[Record] = []
        size = 0
        while self._pending and len(due) < MAX_RECORDS_PER_PUSH and size < MAX_PUSH_BYTES:
            name = next(iter(self._pending))
            del self._pending[name]
            if (record := self.log.record(*name)) and self._fits(record):
                due.append(record)
                size += len(record.value)
        return self._push(due, SentPush(tuple(r.name for r in due), 0))

    def _push(self, records: list[Record], sent: SentPush) -> Push:
        number = self.window.add(sent)
        self.pushed += len(records)
        return Push(number, tuple(records), sent.replaces)

    def _discard_passed(self, records: list[Record]) -> None:
        """Discard what is stored in this sender about records that the cursor has passed."""
        for record in records:
            self._peer_has.pop(record.name, None)
            self._pending.pop(record.name, None)
        if self.cursor >= self.log.head:
            self._peer_has.clear()
            self.relay_due_us = None

    def _delayed(self, mono_us: int, records: list[Record], pong_pending: bool) -> bool:
        """Whether to delay ``records`` because the peer should receive all of them from their writers.

        The first call starts the delay. The delay is twice as long if our name is larger than the peer's, so
        that two schedulers that could relay the same changes to each other do not relay them at the same
        time.
        """
        if pong_pending or len(records) >= MAX_RECORDS_PER_PUSH:
            return False
        if any(
            r.stamp.origin == self.own_name or not self.receives_directly(r.stamp.origin) for r in records
        ):
            return False
        if self.relay_due_us is None:
            first = self.own_name < self.peer_name
            self.relay_due_us = mono_us + (RELAY_DELAY_US if first else 2 * RELAY_DELAY_US)
        return mono_us < self.relay_due_us

    def _fits(self, record: Record) -> bool:
        """Whether the record is small enough for a message of at most ``MAX_MESSAGE_BYTES``."""
        limit = MAX_MESSAGE_BYTES - MAX_PUSH_BYTES - FRAME_OVERHEAD_BYTES
        return len(record.value) + len(record.key) <= limit
