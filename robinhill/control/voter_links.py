"""A voter's links to the other voters: dialing, replication sessions, incarnations, and lists of voters.

"We" and "our" refer to the voter that runs this code. A voter's *hello* is the first frame of a session, with
the voter's name and incarnation. This module is independent of tracked changes and observers. Times are
microseconds, ``mono_us`` monotonic and ``now_us`` Unix time.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from robinhill.control import messages as wire
from robinhill.control.actions import Connect, Link
from robinhill.control.backoff import Backoff
from robinhill.control.options import ControlOptions
from robinhill.control.outbox import VoterOutbox
from robinhill.cordon.propagation import with_slack
from robinhill.mesh.acknowledgements import list_digest
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.replica import Replica
from robinhill.mesh.session import Identity, Session


@dataclass(slots=True)
class VoterLink:
    """A link to another voter.

    ``dialed``: the voter that we connected to; None if the other voter connected to us. ``name``: the other
    voter's name; None until its hello was received. ``status``: the last status received on this link; None
    if none was received. ``sent_status``: the last status sent on this link; None if none was sent.
    """

    session: Session
    last_received_us: int
    dialed: str | None = None
    name: str | None = None
    status: wire.VoterStatus | None = None
    sent_status: wire.VoterStatus | None = None

    @property
    def written_position(self) -> int:
        """Position in our log up to which all changes were sent to the voter.

        The voter receives these changes before any message that is sent on the link later.
        0 until the first comparison has determined which records the voter lacks, and while any record that a
        comparison found the voter to lack is still to be sent.
        """
        anti_entropy = self.session.anti_entropy
        return self.session.sender.cursor if anti_entropy.rounds and not anti_entropy.pending else 0


class GreetedVoter(NamedTuple):
    """A link on which a voter's hello was received. ``written_position``: as in `VoterLink`."""

    link: Link
    name: str
    written_position: int


class _RequiredRounds(NamedTuple):
    """The number of comparisons that ``session`` must have completed before a voter may be removed from
    `IncompleteVoters`."""

    session: Session
    rounds: int


class IncompleteVoters:
    """Names of the *incomplete* voters: we rejected a record that they sent, so we lack some of their state.

    While there is an incomplete voter, we must not report how recent our knowledge of other voters is, as
    other processes would conclude that we have state which we lack. A voter is removed from this set once a
    comparison that began after the rejection finds no difference.
    """

    def __init__(self) -> None:
        self._required: dict[str, _RequiredRounds] = {}

    def __bool__(self) -> bool:
        return bool(self._required)

    def __contains__(self, voter: str) -> bool:
        return voter in self._required

    def record_rejected(self, voter: str, session: Session) -> None:
        """Mark a voter as incomplete, as we rejected a record that it sent."""
        # Two more comparisons are required, as the next one to end may have begun before the rejection.
        self._required[voter] = _RequiredRounds(session, session.anti_entropy.rounds + 2)

    def recovered(self, voter: str, session: Session) -> bool:
        """Return whether an incomplete voter has become complete: a comparison that began after we rejected
        the voter's record shows that we have all records of the voter.

        The voter is then removed from this set, so True is returned once after each rejection.
        """
        if voter not in self._required:
            return False
        required = self._required[voter]
        anti_entropy = session.anti_entropy
        # On a later session than that of the rejection, any comparison began after the rejection.
        rounds = required.rounds if required.session is session else 1
        if anti_entropy.rounds < rounds or anti_entropy.differing_count:
            return False
        del self._required[voter]
        return True


class ReportableAges:
    """The ages of our knowledge of voters, which sessions report to other voters; computed by `Freshness`.

    We know the state that a voter had at some past time; the age of our knowledge of the voter is the time
    that has passed since then. While we lack some of another voter's state (`IncompleteVoters`), only the age
    of our own state, 0, is reported.
    """

    def __init__(self, freshness: Freshness, incomplete: IncompleteVoters) -> None:
        self.pinged = freshness.pinged
        self.answered = freshness.answered
        self._freshness = freshness
        self._incomplete = incomplete

    def ages(self, mono_us: int) -> Mapping[str, int]:
        """Age of our knowledge of each voter that counts for majorities, in microseconds."""
        return self._reportable(self._freshness.ages(mono_us))

    def starting_ages(self, mono_us: int) -> Mapping[str, int]:
        """Age of our knowledge of each voter that doesn't count for majorities yet, in microseconds."""
        return self._reportable(self._freshness.starting_ages(mono_us))

    def age_us(self, mono_us: int) -> int | None:
        """Return the age of the majority's state that we know, which observers base their leases on.

        The age is in microseconds; None: we know no majority's state, or a voter is incomplete.
        """
        return None if self._incomplete else self._freshness.age_us(mono_us)

    def _reportable(self, ages: Mapping[str, int]) -> Mapping[str, int]:
        own_name = self._freshness.me
        return {name: age for name, age in ages.items() if name == own_name} if self._incomplete else ages


class VoterLinks:
    """The links of one voter to the other voters.

    ``sent_by_another`` returns whether a voter other than this one sends all voters the changes that an
    origin (the name of a voter or an observer) has written.
    """

    def __init__(
        self,
        options: ControlOptions,
        incarnation: int,
        replica: Replica,
        freshness: Freshness,
        rng: Random,
        outbox: VoterOutbox,
        sent_by_another: Callable[[str], bool],
    ) -> None:
        self.options = options
        self.incarnation = incarnation
        self.replica = replica
        self.freshness = freshness
        self.by_link: dict[Link, VoterLink] = {}
        self.link_of: dict[str, Link] = {}
        self.incomplete = IncompleteVoters()
        self.ages = ReportableAges(freshness, self.incomplete)
        self._incarnations = {options.name: wire.VoterIncarnation(options.name, incarnation)}
        self._outbox = outbox
        self._sent_by_another = sent_by_another
        self._backoff = Backoff(rng)
        # Monotonic time since when all voters have used the newest list of voters; None if this voter doesn't
        # know that all of them use it.
        self._agreed_since_us: int | None = None

    @property
    def names(self) -> frozenset[str]:
        """Names of the voters in all lists that are in use, including this voter."""
        return self.freshness.quorum.names

    # Links

    def connect(self, mono_us: int) -> None:
        """Dial the voters without a link whose backoff has ended."""
        self._backoff.expire(mono_us)
        for name in self._to_dial():
            if mono_us >= self._backoff.due_us(name):
                self._backoff.connect(mono_us, name)
                self._outbox.add(Connect(name))

    def dialed(self, mono_us: int, link: Link, name: str) -> None:
        """Start a session on a connection that we opened to the voter ``name``.

        Closes the connection instead if the voter was removed from the list while the connection was opened.
        """
        if name not in self.names:
            self._backoff.connected(name)
            self._outbox.disconnect(link, f"{name} was removed from the list of voters")
            return
        self.by_link[link] = VoterLink(self._session(opens=True), mono_us, name)

    def accepted(self, mono_us: int, link: Link) -> None:
        """Start a session on a connection that another voter opened."""
        self.by_link[link] = VoterLink(self._session(opens=False), mono_us)

    def failed(self, mono_us: int, name: str) -> None:
        """Start the backoff of a voter that could not be dialed."""
        self._backoff.failed(mono_us, name)

    def greeted(self, link: Link, name: str) -> None:
        """Record that a voter's hello was received. The caller must have closed that voter's earlier link."""
        voter = self.by_link[link]
        voter.name = name
        self.link_of[name] = link
        self._backoff.connected(voter.dialed or name)

    def closed(self, mono_us: int, link: Link) -> str | None:
        """Remove a link. Returns the other voter's name if the link was the current link to that voter,
        otherwise None."""
        voter = self.by_link.pop(link, None)
        if voter is None:
            return None
        if voter.dialed is not None:
            self._backoff.failed(mono_us, voter.dialed)
        if voter.name is None or self.link_of.get(voter.name) != link:
            return None
        del self.link_of[voter.name]
        return voter.name

    def silent_links(self, mono_us: int) -> list[Link]:
        """Links on which nothing was received for longer than the bound (``mesh.bound_ms``)."""
        timeout_us = self.options.bound_us
        return [link for link, voter in self.by_link.items() if mono_us - voter.last_received_us > timeout_us]

    def next_us(self) -> Iterator[int]:
        """Times at which a session will have a message to write or a connection attempt may start."""
        yield from (voter.session.next_us() for voter in self.by_link.values())
        yield from (self._backoff.due_us(name) for name in self._to_dial())

    # Messages

    def pump(self, now_us: int, mono_us: int) -> Iterator[GreetedVoter]:
        """Send the pending frames of each session, then our `VoterStatus` if it changed since the last one.

        Yields each link on which a voter's hello was received, once the frames of the link are sent; messages
        that the caller sends on the link at that point follow the frames.
        """
        status = self._status()
        for link, voter in self.by_link.items():
            while (data := voter.session.draw(now_us, mono_us)) is not None:
                self._outbox.send_to_voter(link, wire.MeshData(data))
            if voter.name is None:
                continue
            if voter.sent_status != status:
                voter.sent_status = status
                self._outbox.send_to_voter(link, status)
            yield GreetedVoter(link, voter.name, voter.written_position)

    def send_to_all(self, message: wire.VoterMessage) -> None:
        """Send a message to each voter whose hello was received."""
        for link in self.link_of.values():
            self._outbox.send_to_voter(link, message)

    # Incarnations and lists of voters

    def record_incarnations(
        self, incarnations: Iterable[wire.VoterIncarnation]
    ) -> list[wire.VoterIncarnation]:
        """Record the incarnations that another voter reports.

        Returns the incarnations that are higher than the last known incarnation of the same voter.
        """
        newer = [voter for voter in incarnations if voter.name in self.names and self._is_newer(voter)]
        for voter in newer:
            self._incarnations[voter.name] = voter
            self.freshness.started(voter.name, voter.incarnation)
        return newer

    def known_incarnations(self) -> tuple[wire.VoterIncarnation, ...]:
        """The newest known incarnation of each voter, sorted by name."""
        return tuple(sorted(self._incarnations.values()))

    def reconfigure(self, options: ControlOptions) -> None:
        """Add a new list of voters.

        Until `settle` drops the earlier lists, a majority of each earlier list is required too.
        """
        self.options = options
        self.freshness.reconfigure(options.voters)
        self._agreed_since_us = None

    def settle(self, mono_us: int) -> bool:
        """Drop all lists but the newest once all voters have used it for longer than a lease lasts.

        Returns whether this call dropped them.
        """
        lists = self.freshness.quorum.lists
        if len(lists) == 1:
            return False
        digest = list_digest(lists[-1])
        if not all(self._uses_list(name, digest) for name in lists[-1] - {self.options.name}):
            self._agreed_since_us = None
            return False
        if self._agreed_since_us is None:
            self._agreed_since_us = mono_us
        if mono_us < self._agreed_since_us + with_slack(self.options.bound_us):
            return False
        self.freshness.settle()
        return True

    def _is_newer(self, voter: wire.VoterIncarnation) -> bool:
        known = self._incarnations.get(voter.name)
        return voter.incarnation > (known.incarnation if known is not None else 0)

    def _uses_list(self, name: str, digest: bytes) -> bool:
        link = self.link_of.get(name)
        status = self.by_link[link].status if link is not None else None
        return status is not None and status.voters == digest

    def _status(self) -> wire.VoterStatus:
        digest = list_digest(self.freshness.quorum.lists[-1])
        return wire.VoterStatus(self.incarnation, self.freshness.caught_up, digest, self.known_incarnations())

    def _session(self, *, opens: bool) -> Session:
        options = self.options
        identity = Identity(options.installation, options.name, self.incarnation, tuple(sorted(self.names)))
        session = Session(identity, self.replica, self.ages, opens, options.ping_us)
        session.sender.receives_directly = self._sent_by_another
        return session

    def _to_dial(self) -> list[str]:
        """Return the voters to dial. Of each pair, the voter with the smaller name dials the other."""
        linking = self.link_of.keys() | self._backoff.connecting
        return [name for name in self.options.voters if name > self.options.name and name not in linking]
