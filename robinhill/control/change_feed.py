"""What a voter sends to one observer: ranges that differ, changes, and answers to heartbeats behind them.

Bounded by messages that have not been confirmed: a slow observer's cursor stays behind, and later it gets the
newest value of each record. An answer is written once all that was known at its heartbeat is.
"""

from dataclasses import dataclass

from robinhill.control.changelog import MAX_RECORDS_PER_MESSAGE, SOFT_MAX_MESSAGE_BYTES, ChangeLog
from robinhill.control.errors import JoinRefused
from robinhill.control.messages import Compared, Digests, HeartbeatReply, RangePart, RangeRecords, write
from robinhill.mesh.digests import RANGES
from robinhill.mesh.records import Record

MAX_UNCONFIRMED_MESSAGES = 8
"""Messages with records that may be unconfirmed: with `BYTES_AT_MOST` some 256 KB for each observer."""

MAX_CLOCK_DIFFERENCE_US = 5_000_000
"""Digests as of a time that is further from ours are answered by ours, and differ."""


@dataclass(slots=True)
class _PendingReply:
    """An answer that is due once changes up to ``position`` are sent."""

    number: int
    age_us: int
    position: int
    urgent: int


class ChangeFeed:
    """One link's cursor. ``in_step``: all that the voter held at some moment is sent."""

    def __init__(self, log: ChangeLog) -> None:
        self.log = log
        self.in_step = False
        self.sent = 0
        self._cursor = 0
        self._urgent_cursor = 0
        self._received = 0
        self._ranges: list[int] = []
        self._index = 0
        self._rest: list[Record] | None = None  # what is left of range `_index`
        self._compared: int | None = None  # the position to tell once all ranges are sent
        self._pending_reply: _PendingReply | None = None

    @property
    def comparing(self) -> bool:
        """Whether ranges are still to be sent."""
        return self._compared is not None

    @property
    def quiet(self) -> bool:
        """Whether all changes are sent and confirmed."""
        sent = self._cursor >= self.log.bulk_head and self._urgent_cursor >= self.log.urgent_head
        return sent and self._received == self.sent

    def resume(self, position: int) -> None:
        """The observer holds all of this voter's changes up to ``position``."""
        self.in_step = True
        self._cursor = self._urgent_cursor = position

    def compare(self, now_us: int, digests: Digests) -> None:
        """Send what differs. Raises JoinRefused for digests of another number of ranges."""
        if len(digests.digests) != RANGES * 8:
            raise JoinRefused("digests of 256 ranges were awaited")
        if self.in_step and not self.quiet:
            self._compared = 0
            return
        near = abs(digests.at_us - now_us) <= MAX_CLOCK_DIFFERENCE_US
        ours = self.log.replica.ranges(digests.at_us if near else now_us)
        theirs = digests.digests
        self._ranges = [
            index
            for index in range(RANGES)
            if int.from_bytes(theirs[8 * index : 8 * index + 8], "big") != ours[index]
        ]
        self._rest = None
        self._compared = self.log.replica.head
        if not self.in_step:
            self._cursor = self._urgent_cursor = self._compared

    def heartbeat(self, number: int, age_us: int | None) -> None:
        """A heartbeat was read when a majority was known ``age_us`` before; None: none was."""
        if self._pending_reply is None:  # else that answer is on its way, and the next heartbeat asks again
            position, urgent = self.log.replica.head, self.log.urgent_head
            self._pending_reply = _PendingReply(number, -1 if age_us is None else age_us, position, urgent)

    def received(self, count: int) -> None:
        """So many messages with records have come."""
        self._received = max(self._received, min(count, self.sent))

    def draw(self) -> tuple[list[bytes], bool]:
        """Messages that may be sent now, and whether an answer to a heartbeat is among them."""
        found: list[bytes] = []
        while (data := self._draw_records()) is not None:
            found.append(data)
        answer = self._answer()
        if answer is not None:
            found.append(answer)
        return found, answer is not None

    def _draw_records(self) -> bytes | None:
        if self.sent - self._received >= MAX_UNCONFIRMED_MESSAGES:
            return None
        if self.in_step:
            data = self._changes() or self._compare_next()
        else:
            data = self._compare_next()
        if data is not None:
            self.sent += 1
        return data

    def _changes(self) -> bytes | None:
        while self._urgent_cursor < self.log.urgent_head:
            batch = self.log.after(self._urgent_cursor, True)
            self._urgent_cursor = batch.cursor
            if batch.data is not None:
                return batch.data
        while self._cursor < self.log.replica.head:
            batch = self.log.after(self._cursor, False)
            self._cursor = batch.cursor
            if batch.data is not None:
                return batch.data
        return None

    def _compare_next(self) -> bytes | None:
        if self._compared is None:
            return None
        if parts := self._range_parts():
            return write(RangeRecords(tuple(parts)))
        data = write(Compared(self._compared))
        self._compared = None
        self.in_step = True
        return data

    def _range_parts(self) -> list[RangePart]:
        parts: list[RangePart] = []
        size = count = 0
        while (
            size < SOFT_MAX_MESSAGE_BYTES
            and count < MAX_RECORDS_PER_MESSAGE
            and (self._rest is not None or self._ranges)
        ):
            if self._rest is None:
                self._index = self._ranges.pop()
                self._rest = self.log.replica.in_range(self._index)
            taken: list[Record] = []
            while self._rest and size < SOFT_MAX_MESSAGE_BYTES:
                record = self._rest.pop()
                taken.append(record)
                size += len(record.key) + len(record.value)
            count += len(taken)
            last = not self._rest
            parts.append(RangePart(self._index, tuple(taken), last))
            if last:
                self._rest = None
        return parts

    def _answer(self) -> bytes | None:
        owed = self._pending_reply
        if owed is None or not self.in_step:
            return None
        if self._cursor < owed.position or self._urgent_cursor < owed.urgent:
            return None
        self._pending_reply = None
        return write(HeartbeatReply(owed.number, owed.age_us, self._cursor))
