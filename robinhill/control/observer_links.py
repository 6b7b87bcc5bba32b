"""An observer's links: a primary voter, which sends changes and renews the lease, and a spare one.

Chooses voters, joins them, sends heartbeats, and decides when a link is silent and when to fail over. Knows
nothing of records. Times are monotonic microseconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from robinhill.control import messages as wire
from robinhill.control.actions import Connect, Link
from robinhill.control.lease import ObserverLease
from robinhill.control.options import ControlOptions
from robinhill.control.outbox import Outbox
from robinhill.control.replica_sync import FeedPosition
from robinhill.control.voter_selection import VoterSelection

SILENT_TIMEOUTS_PER_BOUND = 2
SPARE_HEARTBEAT_INTERVALS = 2
"""The spare voter is sent a heartbeat once in so many intervals of the primary one."""


@dataclass(slots=True)
class ObserverLink:
    """A link to a voter. ``majority_age_us``: age of the majority's state that the voter last reported; None:
    it knew none, or has not replied."""

    voter: str
    last_received_us: int
    next_heartbeat_us: int
    welcomed: bool = False
    majority_age_us: int | None = None


class ObserverLinks:
    """The links of one observer. ``primary_changes`` counts how often a link became the primary one."""

    def __init__(self, options: ControlOptions, incarnation: int, outbox: Outbox, rng: Random) -> None:
        self.options = options
        self.incarnation = incarnation
        self.selection = VoterSelection(options.voters, options.place, rng)
        self.by_link: dict[Link, ObserverLink] = {}
        self.primary: Link | None = None
        self.spare: Link | None = None
        self.primary_changes = 0
        self.stopped = False
        self._outbox = outbox
        self._primary_since_us = 0
        self._joins = 0

    @property
    def primary_voter(self) -> str | None:
        """The voter that this observer has joined."""
        return self.by_link[self.primary].voter if self.primary is not None else None

    @property
    def spare_voter(self) -> str | None:
        """The voter of the spare link."""
        return self.by_link[self.spare].voter if self.spare is not None else None

    @property
    def voters(self) -> set[str]:
        """All voters with a link."""
        return {one.voter for one in self.by_link.values()}

    # Connections

    def connect(self, mono_us: int, *, synchronized: bool) -> None:
        """Connect to a primary voter; once synchronized, to a spare one."""
        if not self._needs_link(synchronized):
            return
        voter = self.selection.next(mono_us, self.voters)
        if voter is not None:
            self.selection.backoff.connect(mono_us, voter)
            self._outbox.add(Connect(voter))

    def connect_due_us(self, *, synchronized: bool) -> int | None:
        """When `connect` may do something; None: nothing is due."""
        return self.selection.due_us(self.voters) if self._needs_link(synchronized) else None

    def opened(self, mono_us: int, link: Link, voter: str) -> bool:
        """A connection is open. False: no link to this voter is needed."""
        self.selection.backoff.connected(voter)
        complete = self.primary is not None and self.spare is not None
        if self.stopped or complete or voter not in self.options.voters or voter in self.voters:
            return False
        self.by_link[link] = ObserverLink(voter, mono_us, mono_us)
        return True

    def make_spare(self, link: Link, feed_position: FeedPosition) -> None:
        """Use an open link as the spare one."""
        self.spare = link
        self._join(link, feed_position, spare=True)

    def make_primary(self, mono_us: int, link: Link, feed_position: FeedPosition) -> None:
        """Use an open link as the primary one."""
        self.primary = link
        self._primary_since_us = mono_us
        self.primary_changes += 1
        self._join(link, feed_position, spare=False)

    def closed(self, mono_us: int, link: Link) -> bool:
        """A link has ended. True if it was the primary one."""
        one = self.by_link.pop(link, None)
        if one is None:
            return False
        self.selection.backoff.failed(mono_us, one.voter)
        if link == self.spare:
            self.spare = None
        if link != self.primary:
            return False
        self.primary = None
        return True

    def take_spare(self) -> Link | None:
        """The spare link, which is to become the primary one."""
        spare, self.spare = self.spare, None
        return spare

    def stop(self, why: str) -> None:
        """Say goodbye to all voters; no link is needed from now on."""
        self.stopped = True
        for link in list(self.by_link):
            self._outbox.send(link, wire.Goodbye())
            self._outbox.disconnect(link, why)
        self.by_link.clear()
        self.primary = self.spare = None

    def _needs_link(self, synchronized: bool) -> bool:
        return self.primary is None or (self.spare is None and synchronized)

    def _join(self, link: Link, feed_position: FeedPosition, *, spare: bool) -> None:
        self._joins += 1
        join = wire.Join(
            protocol=wire.PROTOCOL,
            installation=self.options.installation,
            name=self.options.name,
            incarnation=self.incarnation,
            bound_us=self.options.bound_us,
            on_lost=self.options.modes,
            spare=spare,
            number=self._joins,
            voter=feed_position.voter,
            voter_incarnation=feed_position.incarnation,
            position=feed_position.position,
        )
        self._outbox.send(link, join)

    # Heartbeats and failover

    def send_heartbeats(self, mono_us: int, lease: ObserverLease, *, synchronized: bool) -> None:
        """Send heartbeats that are due: they renew the lease at the primary voter, and probe the spare
        one."""
        for link, one in self.by_link.items():
            if mono_us < one.next_heartbeat_us or not one.welcomed:
                continue
            primary = link == self.primary
            intervals = 1 if primary else SPARE_HEARTBEAT_INTERVALS
            one.next_heartbeat_us = mono_us + intervals * self.options.heartbeat_us
            number = lease.heartbeat_sent(mono_us) if primary and synchronized else 0
            self._outbox.send(link, wire.Heartbeat(number))

    def heartbeats_due_us(self) -> Iterator[int]:
        """When the next heartbeat of each link is due."""
        return (one.next_heartbeat_us for one in self.by_link.values() if one.welcomed)

    def is_silent(self, mono_us: int, link: Link) -> bool:
        """Whether nothing was received on a link for too long; the spare one is sent fewer heartbeats."""
        timeout_us = self.options.bound_us // SILENT_TIMEOUTS_PER_BOUND
        if link != self.primary:
            timeout_us += SPARE_HEARTBEAT_INTERVALS * self.options.heartbeat_us
        return mono_us - self.by_link[link].last_received_us > timeout_us

    def should_fail_over(self, mono_us: int, lease_age_us: int | None) -> bool:
        """Whether the primary voter has not renewed the lease for half of the bound, while the spare one
        knows a majority's state that is newer."""
        if self.primary is None or self.spare is None:
            return False
        half_us = self.options.bound_us // 2
        if mono_us - self._primary_since_us < half_us:
            return False
        if lease_age_us is not None and lease_age_us <= half_us:
            return False
        spare_age_us = self.by_link[self.spare].majority_age_us
        return spare_age_us is not None and spare_age_us <= half_us
