"""An observer's links: one to the primary voter, which sends changes and renews the lease, and a spare link
to another voter, which replaces the primary voter in a failover.

Chooses voters, joins them, sends heartbeats, and detects silent links and the need for a failover. The
*bound* is the configured maximum age of the state of a majority of voters that the observer knows; the
observer's lease expires when this state becomes older than the bound. This module is independent of records.
Times are monotonic microseconds.
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

# The primary link is closed as silent if no message is received on it for the bound divided by this number.
SILENT_TIMEOUTS_PER_BOUND = 2

SPARE_HEARTBEAT_INTERVALS = 2
"""Interval between heartbeats to the spare voter, in heartbeat intervals of the primary voter."""


@dataclass(slots=True)
class ObserverLink:
    """A link to a voter.

    ``welcomed``: the voter has accepted a join on this link. ``majority_age_us``: age of the majority's state
    that the voter reported in its last heartbeat reply; None: the voter knew no majority's state, or has not
    replied yet.
    """

    voter: str
    last_received_us: int
    next_heartbeat_us: int
    welcomed: bool = False
    majority_age_us: int | None = None


class ObserverLinks:
    """The links of one observer.

    ``primary``, ``spare``: the link with that role; None if there is none. ``primary_changes``: how often a
    link became the primary one. ``stopped``: all links were closed for good by `stop`.
    """

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
        """Name of the voter on the primary link; None if there is no primary link."""
        return self.by_link[self.primary].voter if self.primary is not None else None

    @property
    def spare_voter(self) -> str | None:
        """Name of the voter on the spare link; None if there is no spare link."""
        return self.by_link[self.spare].voter if self.spare is not None else None

    @property
    def voters(self) -> set[str]:
        """Names of all voters with a link."""
        return {state.voter for state in self.by_link.values()}

    # Connections

    def connect(self, mono_us: int, *, synchronized: bool) -> None:
        """Connect to a voter if there is no primary link, or no spare link.

        A spare link is only opened while the replica is synchronized with the primary voter
        (``synchronized``).
        """
        if not self._needs_link(synchronized):
            return
        voter = self.selection.next(mono_us, self.voters)
        if voter is not None:
            self.selection.backoff.connect(mono_us, voter)
            self._outbox.add(Connect(voter))

    def connect_due_us(self, *, synchronized: bool) -> int | None:
        """Time at which `connect` may start an attempt or record a timeout; None: no link is needed."""
        return self.selection.due_us(self.voters) if self._needs_link(synchronized) else None

    def opened(self, mono_us: int, link: Link, voter: str) -> bool:
        """Register an open connection to a voter. Returns False if no link to this voter is needed."""
        self.selection.backoff.connected(voter)
        complete = self.primary is not None and self.spare is not None
        if self.stopped or complete or voter not in self.options.voters or voter in self.voters:
            return False
        self.by_link[link] = ObserverLink(voter, mono_us, mono_us)
        return True

    def make_spare(self, link: Link, feed_position: FeedPosition) -> None:
        """Join the voter of an open link as the spare voter."""
        self.spare = link
        self._join(link, feed_position, spare=True)

    def make_primary(self, mono_us: int, link: Link, feed_position: FeedPosition) -> None:
        """Join the voter of an open or spare link as the primary voter."""
        self.primary = link
        self._primary_since_us = mono_us
        self.primary_changes += 1
        self._join(link, feed_position, spare=False)

    def closed(self, mono_us: int, link: Link) -> bool:
        """Remove a link and start the backoff of its voter. Returns whether it was the primary link."""
        state = self.by_link.pop(link, None)
        if state is None:
            return False
        self.selection.backoff.failed(mono_us, state.voter)
        if link == self.spare:
            self.spare = None
        if link != self.primary:
            return False
        self.primary = None
        return True

    def take_spare(self) -> Link | None:
        """Remove and return the spare link, so that the caller can make it the primary one."""
        spare, self.spare = self.spare, None
        return spare

    def stop(self, why: str) -> None:
        """Send a `Goodbye` to all voters, close all links, and open none from now on."""
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
        """Send the heartbeats that are due.

        Replies of the primary voter renew the lease if the replica was synchronized with that voter when the
        heartbeat was sent (``synchronized``). Replies of the spare voter confirm that the spare voter is
        reachable, and contain the age of the majority's state that it knows.
        """
        for link, state in self.by_link.items():
            if mono_us < state.next_heartbeat_us or not state.welcomed:
                continue
            primary = link == self.primary
            intervals = 1 if primary else SPARE_HEARTBEAT_INTERVALS
            state.next_heartbeat_us = mono_us + intervals * self.options.heartbeat_us
            number = lease.heartbeat_sent(mono_us) if primary and synchronized else 0
            self._outbox.send(link, wire.Heartbeat(number))

    def heartbeats_due_us(self) -> Iterator[int]:
        """Times at which the next heartbeat is due on each link whose voter has accepted a join."""
        return (state.next_heartbeat_us for state in self.by_link.values() if state.welcomed)

    def is_silent(self, mono_us: int, link: Link) -> bool:
        """Whether no message was received on a link for longer than the link's timeout.

        The timeout of the spare link is longer than that of the primary link, as fewer heartbeats are sent on
        the spare link.
        """
        timeout_us = self.options.bound_us // SILENT_TIMEOUTS_PER_BOUND
        if link != self.primary:
            timeout_us += SPARE_HEARTBEAT_INTERVALS * self.options.heartbeat_us
        return mono_us - self.by_link[link].last_received_us > timeout_us

    def should_fail_over(self, mono_us: int, lease_age_us: int | None) -> bool:
        """Whether the spare voter should become the primary one.

        Returns True if all of these conditions hold: the primary voter has been the primary one for at least
        half of the bound; the majority's state that the observer knows is older than half of the bound, or
        the observer knows none; and the age of the majority's state in the spare voter's last heartbeat reply
        was at most half of the bound. ``lease_age_us``: age of the majority's state that the observer knows;
        None: the lease was never renewed.
        """
        if self.primary is None or self.spare is None:
            return False
        half_us = self.options.bound_us // 2
        if mono_us - self._primary_since_us < half_us:
            return False
        if lease_age_us is not None and lease_age_us <= half_us:
            return False
        spare_age_us = self.by_link[self.spare].majority_age_us
        return spare_age_us is not None and spare_age_us <= half_us
