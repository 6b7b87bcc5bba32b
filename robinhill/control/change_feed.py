"""A voter's change feed to one observer: it sends records, and replies to heartbeats.

An observer that can't resume from an earlier position first sends digests of its replica, one for each range
of records, and the feed sends the records of the ranges whose digests differ. From then on the feed sends
changes. *Urgent* changes, which are those of the urgent record kinds, are sent before all others. The feed
replies to a heartbeat once it has sent all changes that the voter knew when the voter read the heartbeat.

The feed's *cursor* is the position in the voter's log up to which the feed has sent the changes. The send
window limits the number of messages that the observer has not confirmed. While the window is full, the cursor
does not advance and nothing is queued. Once the window has room again, the feed sends the records that
changed after the cursor, each with its newest value only.
"""

from dataclasses import dataclass

from robinhill.control.changelog import MAX_RECORDS_PER_MESSAGE, SOFT_MAX_MESSAGE_BYTES, ChangeLog
from robinhill.control.errors import JoinRefused
from robinhill.control.messages import Compared, Digests, HeartbeatReply, RangePart, RangeRecords, write
from robinhill.mesh.digests import RANGES
from robinhill.mesh.records import Record

MAX_UNCONFIRMED_MESSAGES = 8
"""Size of the send window. With messages of `SOFT_MAX_MESSAGE_BYTES` the window holds about 256 KB for each
observer."""

MAX_CLOCK_DIFFERENCE_US = 5_000_000
"""Digests leave out expired records, so they depend on the time as of which they are computed. Up to this
difference between the clocks of the voter and the observer, the voter computes its digests as of the
observer's time. Beyond this difference, the voter uses its own time, so that the digests of ranges with
records that expired between the two times differ too."""

DIGEST_BYTES = 8


@dataclass(slots=True, frozen=True)
class _PendingReply:
    """The reply to a heartbeat.

    The reply is due once all changes up to ``position`` and all urgent changes up to ``urgent_position`` are
    sent. ``age_us``: age of the newest state of a majority of voters that the voter knew when it read the
    heartbeat; -1: the voter knew no such state.
    """

    number: int
    age_us: int
    position: int
    urgent_position: int


class ChangeFeed:
    """The change feed to one observer's link.

    ``synchronized``: the observer was sent the voter's complete state as of some position, and is sent the
    changes after this position. ``sent``: number of `RangeRecords`, `Compared` and `Changes` messages sent on
    this link.
    """

    def __init__(self, changelog: ChangeLog) -> None:
        self.changelog = changelog
        self.synchronized = False
        self.sent = 0
        self._cursor = 0
        self._urgent_cursor = 0
        self._confirmed = 0
        self._differing_ranges: list[int] = []
        self._current_range = 0
        # Records of the current range that are not sent yet; None: no range is being sent.
        self._unsent_records: list[Record] | None = None
        # Head of the replica's log when the comparison in progress began; 0: the comparison is skipped; None:
        # no comparison is in progress.
        self._compared_position: int | None = None
        self._pending_reply: _PendingReply | None = None

    @property
    def comparing(self) -> bool:
        """Whether the voter has received digests and has not sent `Compared` yet."""
        return self._compared_position is not None

    @property
    def idle(self) -> bool:
        """Whether all changes are sent, and the observer has confirmed all messages."""
        sent = self._cursor >= self.changelog.bulk_head and self._urgent_cursor >= self.changelog.urgent_head
        return sent and self._confirmed == self.sent

    def resume(self, position: int) -> None:
        """Feed the changes after ``position``; the observer has all changes of this voter up to it."""
        self.synchronized = True
        self._cursor = self._urgent_cursor = position

    def compare(self, now_us: int, digests: Digests) -> None:
        """Begin to send the records of the ranges whose digests differ from those of the voter's replica.

        If the observer is synchronized but has not confirmed all changes, the comparison is skipped, as it
        might show the unconfirmed changes as differences. Raises JoinRefused for a wrong number of digests.
        """
        if len(digests.digests) != RANGES * DIGEST_BYTES:
            raise JoinRefused("the digests have the wrong length, expected 8 bytes for each of 256 ranges")
        if self.synchronized and not self.idle:
            self._compared_position = 0
            return
        near = abs(digests.at_us - now_us) <= MAX_CLOCK_DIFFERENCE_US
        ours = self.changelog.replica.ranges(digests.at_us if near else now_us)
        theirs = [
            int.from_bytes(digests.digests[start : start + DIGEST_BYTES], "big")
            for start in range(0, RANGES * DIGEST_BYTES, DIGEST_BYTES)
        ]
        self._differing_ranges = [index for index in range(RANGES) if theirs[index] != ours[index]]
        self._unsent_records = None
        self._compared_position = self.changelog.replica.head
        if not self.synchronized:
            self._cursor = self._urgent_cursor = self._compared_position

    def heartbeat(self, number: int, age_us: int | None) -> None:
        """Queue the reply to a heartbeat that was just read, unless another reply is pending.

        ``age_us``: age of the newest state of a majority of voters that the voter knows; None: the voter
        knows no such state.
        """
        if self._pending_reply is None:  # otherwise this heartbeat gets no reply, but a later heartbeat does
            position, urgent = self.changelog.replica.head, self.changelog.urgent_head
            self._pending_reply = _PendingReply(number, -1 if age_us is None else age_us, position, urgent)

    def confirm(self, count: int) -> None:
        """Advance the send window: the observer has received ``count`` of the messages counted in `sent`."""
        self._confirmed = max(self._confirmed, min(count, self.sent))

    def draw(self) -> tuple[list[bytes], bool]:
        """Return the encoded messages that are due, and whether a heartbeat reply is among them.

        The messages counted in `sent` are due while the send window has room. A heartbeat reply is due once
        the changes that the reply covers are sent.
        """
        messages: list[bytes] = []
        while (data := self._draw_records()) is not None:
            messages.append(data)
        reply = self._draw_reply()
        if reply is not None:
            messages.append(reply)
        return messages, reply is not None

    def _draw_records(self) -> bytes | None:
        if self.sent - self._confirmed >= MAX_UNCONFIRMED_MESSAGES:
            return None
        changes = self._draw_changes() if self.synchronized else None
        data = changes or self._draw_comparison()
        if data is not None:
            self.sent += 1
        return data

    def _draw_changes(self) -> bytes | None:
        while self._urgent_cursor < self.changelog.urgent_head:
            changes = self.changelog.after(self._urgent_cursor, True)
            self._urgent_cursor = changes.cursor
            if changes.data is not None:
                return changes.data
        while self._cursor < self.changelog.replica.head:
            changes = self.changelog.after(self._cursor, False)
            self._cursor = changes.cursor
            if changes.data is not None:
                return changes.data
        return None

    def _draw_comparison(self) -> bytes | None:
        if self._compared_position is None:
            return None
        if parts := self._draw_range_parts():
            return write(RangeRecords(tuple(parts)))
        data = write(Compared(self._compared_position))
        self._compared_position = None
        self.synchronized = True
        return data

    def _draw_range_parts(self) -> list[RangePart]:
        """Return the next parts of the ranges whose digests differ, up to the size of one message."""
        parts: list[RangePart] = []
        size_bytes = count = 0
        while size_bytes < SOFT_MAX_MESSAGE_BYTES and count < MAX_RECORDS_PER_MESSAGE:
            if self._unsent_records is None and not self._differing_ranges:
                break
            part = self._draw_range_part(SOFT_MAX_MESSAGE_BYTES - size_bytes)
            size_bytes += sum(len(record.key) + len(record.value) for record in part.records)
            count += len(part.records)
            parts.append(part)
        return parts

    def _draw_range_part(self, capacity_bytes: int) -> RangePart:
        if self._unsent_records is None:
            self._current_range = self._differing_ranges.pop()
            self._unsent_records = self.changelog.replica.in_range(self._current_range)
        drawn: list[Record] = []
        while self._unsent_records and capacity_bytes > 0:
            record = self._unsent_records.pop()
            drawn.append(record)
            capacity_bytes -= len(record.key) + len(record.value)
        last = not self._unsent_records
        if last:
            self._unsent_records = None
        return RangePart(self._current_range, tuple(drawn), last)

    def _draw_reply(self) -> bytes | None:
        pending = self._pending_reply
        if pending is None or not self.synchronized:
            return None
        if self._cursor < pending.position or self._urgent_cursor < pending.urgent_position:
            return None
        self._pending_reply = None
        return write(HeartbeatReply(pending.number, pending.age_us, self._cursor))
