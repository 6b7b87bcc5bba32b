"""Synchronization of an observer's replica with its primary voter: comparisons, changes, confirmations.

A comparison exchanges digests; the voter sends the ranges that differ, and the observer offers what the voter
lacks. From then on the replica is *synchronized* and follows the voter's changes. It never goes back in time,
as it only grows by merging. Knows nothing of connections and leases.
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
"""Least time between two confirmations."""

MAX_RECORDS_PER_OFFER = 64
SOFT_MAX_OFFER_BYTES = 32 << 10
"""Values in one offer of what the voter lacks, past which no record is added."""

REPAIR_INTERVAL_US = 30_000_000
"""Most time between two comparisons; each sends two kilobytes of digests."""

REPAIR_RETRY_US = 5_000_000
"""The same while a record is rejected here."""

NOT_CONFIRMED = wire.Applied(-1, -1, -1)

RecordName = tuple[str, str]


@dataclass(slots=True)
class FeedPosition:
    """The observer has all changes of one incarnation of a voter up to ``position``, urgent ones up to
    ``urgent``; -1: of no voter."""

    voter: str = ""
    incarnation: int = 0
    position: int = -1
    urgent: int = -1


class ReplicaSync:
    """One observer's replica and its position in the primary voter's changes. Times: monotonic microseconds.

    ``feed_position`` is that of the voter before until a comparison with the new one is complete.
    """

    def __init__(self, replica: Replica, outbox: Outbox, rng: Random, mono_us: int) -> None:
        self.replica = replica
        self.synchronized = False
        self.feed_position = FeedPosition()
        self.rejected = False  # a record was rejected: the replica lacks something that the voter has
        self.confirm_due_us = mono_us
        self._outbox = outbox
        self._rng = rng
        self._rejected_in_comparison = False
        self._messages_received = 0
        self._confirmed = wire.Applied(0, -1, -1)
        self._compared_names: dict[int, set[RecordName]] = {}  # by range that is not complete yet
        self._missing_at_voter: dict[RecordName, None] = {}
        self._repair_due_us = 0

    # The primary voter

    def clear(self, away_us: int) -> None:
        """The replica is outdated: other processes may have dropped what it has. It starts empty."""
        self.replica.clear(away_us)
        self.feed_position = FeedPosition()

    def begin(self) -> None:
        """The observer has joined a voter by a new link."""
        self.synchronized = False
        self._messages_received = 0
        self._confirmed = wire.Applied(0, self.feed_position.position, self.feed_position.urgent)
        self._compared_names.clear()
        self._missing_at_voter.clear()

    def stop(self) -> None:
        """The link to the primary voter has ended."""
        self.synchronized = False

    def start_over(self, voter: str, incarnation: int) -> None:
        """The voter does not resume: a comparison follows."""
        self.feed_position = FeedPosition(voter, incarnation)

    def complete(self, mono_us: int) -> None:
        """The replica has all that the voter had at some moment, and the voter was sent what it lacked."""
        self.synchronized = True
        self._confirmed = NOT_CONFIRMED
        self.confirm_due_us = mono_us
        self._schedule_repair(mono_us, REPAIR_INTERVAL_US)

    # Comparison

    def send_digests(self, now_us: int, link: Link) -> None:
        """Begin a comparison."""
        digests = b"".join(value.to_bytes(8, "big") for value in self.replica.ranges(now_us))
        self._compared_names.clear()
        self._missing_at_voter.clear()
        self._rejected_in_comparison = False
        self._outbox.send(link, wire.Digests(now_us, digests))

    def receive_ranges(self, now_us: int, ranges: wire.RangeRecords) -> None:
        """Merge the voter's records of ranges that differ, and note what it lacks of complete ones."""
        self._messages_received += 1
        for part in ranges.parts:
            self._receive_range_part(now_us, part)

    def finish_comparison(self, link: Link, position: int) -> None:
        """All ranges that differ were received; ``position`` 0: the voter has compared nothing."""
        self._messages_received += 1
        self._offer_missing(link)
        if position > 0 or not self.synchronized:
            self.rejected = self._rejected_in_comparison
            self.reached(position, urgent=False)

    def repair(self, now_us: int, mono_us: int, link: Link) -> None:
        """Compare again where that is due."""
        if self.rejected:
            self._repair_due_us = min(self._repair_due_us, mono_us + REPAIR_RETRY_US)
        if self.synchronized and mono_us >= self._repair_due_us:
            self._schedule_repair(mono_us, REPAIR_RETRY_US if self.rejected else REPAIR_INTERVAL_US)
            self.send_digests(now_us, link)

    def _schedule_repair(self, mono_us: int, longest_us: int) -> None:
        self._repair_due_us = mono_us + self._rng.randint(longest_us // 2, longest_us)

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
            size_bytes = sum(len(one.value) for one in records)
            if len(records) >= MAX_RECORDS_PER_OFFER or size_bytes >= SOFT_MAX_OFFER_BYTES:
                self._outbox.send(link, wire.Offer(0, tuple(records)))
                records.clear()
        if records:
            self._outbox.send(link, wire.Offer(0, tuple(records)))
        self._missing_at_voter.clear()

    # Changes

    def receive_changes(self, now_us: int, changes: wire.Changes) -> None:
        """Merge changes of the voter."""
        self._messages_received += 1
        self._merge(now_us, changes.records)
        self.reached(changes.position, urgent=changes.urgent)

    def reached(self, position: int, *, urgent: bool) -> None:
        """All changes up to ``position`` were received; with ``urgent`` only those of urgent kinds."""
        if self.rejected:
            return  # a position past a rejected record can't be confirmed
        feed = self.feed_position
        feed.urgent = max(feed.urgent, position)
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
        """Whether the voter does not know yet how far this replica is."""
        confirmed, feed = self._confirmed, self.feed_position
        return (
            confirmed.received != self._messages_received
            or confirmed.position != feed.position
            or confirmed.urgent != feed.urgent
        )

    def confirm(self, mono_us: int, link: Link) -> None:
        """Confirm what is applied: at once, but not more often than at `CONFIRM_INTERVAL_US`."""
        if not self.needs_confirmation() or mono_us < self.confirm_due_us:
            return
        feed = self.feed_position
        self._confirmed = wire.Applied(self._messages_received, feed.position, feed.urgent)
        self.confirm_due_us = mono_us + CONFIRM_INTERVAL_US
        if self.synchronized:
            self._outbox.send(link, self._confirmed)
        else:
            self._outbox.send(link, wire.Applied(self._messages_received, -1, -1))
