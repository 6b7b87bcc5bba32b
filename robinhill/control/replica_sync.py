"""Synchronization of an observer's replica with its primary voter: comparisons, changes, confirmations.

In a comparison the observer sends digests of its replica, one for each range of records; the voter sends the
records of the ranges whose digests differ, and the observer offers the records that the voter lacks. From
then on the replica is *synchronized* and follows the voter's changes. *Urgent* changes, which are those of
the urgent record kinds, are received before all others. The replica never moves back in time, as it only
grows by merging. This module is independent of connections and leases.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from robinhill.control import messages as wire
from robinhill.control.actions import Apply, Link
from robinhill.control.outbox import Outbox
from robinhill.mesh.record_merging import any_rejected, merge_records
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica

CONFIRM_INTERVAL_US = 10_000
"""Minimum interval between two confirmations of received messages and applied changes."""

MAX_RECORDS_PER_OFFER = 64
SOFT_MAX_OFFER_BYTES = 32 << 10
"""Size of the values in one offer at which no further record that the voter lacks is added to the offer."""

REPAIR_INTERVAL_US = 30_000_000
"""Maximum interval between two comparisons of a synchronized replica, which repair differences. The observer
sends two kilobytes of digests for each comparison."""

REPAIR_RETRY_US = 5_000_000
"""Maximum interval between two comparisons while this replica lacks a record that it has rejected."""

NOT_CONFIRMED = wire.Applied(-1, -1, -1)
"""Differs from every confirmation that can be sent. Set as the last confirmation, it causes the next
confirmation to be sent even if nothing has changed."""

RecordName = tuple[str, str]


@dataclass(slots=True)
class FeedPosition:
    """The observer's position in the changes of one incarnation of a voter.

    The observer has all changes up to ``position``, and all urgent changes up to ``urgent_position``; -1: it
    does not have the voter's complete state as of any position. ``voter`` is empty if no voter is known yet.
    """

    voter: str = ""
    incarnation: int = 0
    position: int = -1
    urgent_position: int = -1


class ReplicaSync:
    """One observer's replica and its position in the primary voter's changes.

    ``mono_us`` is monotonic time and ``now_us`` Unix time, in microseconds. After the observer has joined
    another primary voter, ``feed_position`` still refers to the previous primary voter until the new one has
    replied to the join. ``confirm_due_us``: monotonic time from which the next confirmation may be sent.
    """

    def __init__(self, replica: Replica, outbox: Outbox, rng: Random, mono_us: int) -> None:
        self.replica = replica
        self.synchronized = False
        self.feed_position = FeedPosition()
        self.rejected = False  # whether this replica rejected a record from the voter, and so lacks it
        self.confirm_due_us = mono_us
        self._outbox = outbox
        self._rng = rng
        self._rejected_in_comparison = False
        self._messages_received = 0
        self._confirmed = wire.Applied(0, -1, -1)
        # By number of a range that is not completely received yet: names of the received records of which
        # this replica stores the voter's version.
        self._compared_names: dict[int, set[RecordName]] = {}
        self._missing_at_voter: dict[RecordName, None] = {}
        self._repair_due_us = 0

    # The primary voter

    def clear(self, without_lease_us: int) -> None:
        """Drop the position, and all records of the kinds whose lifetime may have passed while the observer
        had no valid lease.

        Other processes may have dropped records of these kinds as expired. ``without_lease_us``: how long the
        observer has had no valid lease.
        """
        self.replica.clear(without_lease_us)
        self.feed_position = FeedPosition()

    def begin_sync(self) -> None:
        """Reset the state of the previous link, as the observer joins a voter on a new link."""
        self.synchronized = False
        self._messages_received = 0
        self._confirmed = wire.Applied(0, self.feed_position.position, self.feed_position.urgent_position)
        self._compared_names.clear()
        self._missing_at_voter.clear()

    def stop_sync(self) -> None:
        """Mark the replica as not synchronized, as the link to the primary voter has ended."""
        self.synchronized = False

    def reset_position(self, voter: str, incarnation: int) -> None:
        """Discard the position, as the joined voter does not resume from it; a comparison follows."""
        self.feed_position = FeedPosition(voter, incarnation)

    def complete_sync(self, mono_us: int) -> None:
        """Mark the replica as synchronized, and schedule the next comparison.

        The caller calls this once the replica has the voter's complete state as of some position, and the
        voter was sent the records that it lacked.
        """
        self.synchronized = True
        self._confirmed = NOT_CONFIRMED
        self.confirm_due_us = mono_us
        self._schedule_repair(mono_us, REPAIR_INTERVAL_US)

    # Comparison

    def send_digests(self, now_us: int, link: Link) -> None:
        """Begin a comparison by sending the replica's digests."""
        digests = b"".join(value.to_bytes(8, "big") for value in self.replica.ranges(now_us))
        self._compared_names.clear()
        self._missing_at_voter.clear()
        self._rejected_in_comparison = False
        self._outbox.send(link, wire.Digests(now_us, digests))

    def receive_ranges(self, now_us: int, ranges: wire.RangeRecords) -> None:
        """Merge received records of the voter, and determine the records that the voter lacks.

        Only ranges that were received completely show which records the voter lacks.
        """
        self._messages_received += 1
        for part in ranges.parts:
            self._receive_range_part(now_us, part)

    def finish_comparison(self, link: Link, position: int) -> None:
        """Offer the records that the voter lacks, and advance the position; called once all ranges whose
        digests differ were received.

        ``position``: position in the voter's log that the ranges cover; 0: the voter skipped the comparison,
        or its log is empty.
        """
        self._messages_received += 1
        self._offer_missing(link)
        if position > 0 or not self.synchronized:
            self.rejected = self._rejected_in_comparison
            self.advance_position(position, urgent=False)

    def repair(self, now_us: int, mono_us: int, link: Link) -> None:
        """Begin another comparison if one is due.

        The next comparison is due within `REPAIR_INTERVAL_US` after the last one, or within `REPAIR_RETRY_US`
        if this replica lacks a record that it has rejected. Each interval is drawn at random between half of
        the maximum and the maximum; once the replica rejects a record, at most `REPAIR_RETRY_US` of the
        current interval remain.
        """
        if self.rejected:
            self._repair_due_us = min(self._repair_due_us, mono_us + REPAIR_RETRY_US)
        if self.synchronized and mono_us >= self._repair_due_us:
            self._schedule_repair(mono_us, REPAIR_RETRY_US if self.rejected else REPAIR_INTERVAL_US)
            self.send_digests(now_us, link)

    def _schedule_repair(self, mono_us: int, max_interval_us: int) -> None:
        self._repair_due_us = mono_us + self._rng.randint(max_interval_us // 2, max_interval_us)

    def _receive_range_part(self, now_us: int, part: wire.RangePart) -> None:
        compared = self._compared_names.setdefault(part.index, set())
        self._merge(now_us, part.records)
        for record in part.records:
            if self.replica.record(*record.name) == record:
                compared.add(record.name)
        if not part.last:
            return
        del self._compared_names[part.index]
        for record in self.replica.in_range(part.index):
            if record.name not in compared and record.until_us > now_us:
                self._missing_at_voter[record.name] = None

    def _offer_missing(self, link: Link) -> None:
        records: list[Record] = []
        for name in self._missing_at_voter:
            record = self.replica.record(*name)
            if record is not None:
                records.append(record)
            size_bytes = sum(len(offered.value) for offered in records)
            if len(records) >= MAX_RECORDS_PER_OFFER or size_bytes >= SOFT_MAX_OFFER_BYTES:
                self._outbox.send(link, wire.Offer(0, tuple(records)))
                records.clear()
        if records:
            self._outbox.send(link, wire.Offer(0, tuple(records)))
        self._missing_at_voter.clear()

    # Changes

    def receive_changes(self, now_us: int, changes: wire.Changes) -> None:
        """Merge changes that the voter sent, and advance the position to that of the message."""
        self._messages_received += 1
        self._merge(now_us, changes.records)
        self.advance_position(changes.position, urgent=changes.urgent)

    def advance_position(self, position: int, *, urgent: bool) -> None:
        """Record that all changes up to ``position`` were received; if ``urgent``, only the urgent changes.

        The position does not advance while this replica lacks a record that it has rejected.
        """
        if self.rejected:
            return  # a confirmed position must not include a change that this replica lacks
        feed = self.feed_position
        feed.urgent_position = max(feed.urgent_position, position)
        if not urgent:
            feed.position = max(feed.position, position)

    def _merge(self, now_us: int, records: Iterable[Record]) -> None:
        changed, rejected = merge_records(self.replica, now_us, records)
        if any_rejected(rejected):
            self.rejected = self._rejected_in_comparison = True
        if changed or rejected:
            self._outbox.add(Apply(tuple(changed), tuple(rejected)))

    # Confirmations

    def needs_confirmation(self) -> bool:
        """Whether the replica's position or the number of received messages has changed since the last
        confirmation."""
        confirmed, feed = self._confirmed, self.feed_position
        return (
            confirmed.received != self._messages_received
            or confirmed.position != feed.position
            or confirmed.urgent != feed.urgent_position
        )

    def confirm(self, mono_us: int, link: Link) -> None:
        """Confirm the received messages and, once synchronized, the applied changes to the voter.

        Does nothing if nothing has changed since the last confirmation, or if the last confirmation was sent
        less than `CONFIRM_INTERVAL_US` ago.
        """
        if not self.needs_confirmation() or mono_us < self.confirm_due_us:
            return
        feed = self.feed_position
        self._confirmed = wire.Applied(self._messages_received, feed.position, feed.urgent_position)
        self.confirm_due_us = mono_us + CONFIRM_INTERVAL_US
        if self.synchronized:
            self._outbox.send(link, self._confirmed)
        else:
            self._outbox.send(link, wire.Applied(self._messages_received, -1, -1))
