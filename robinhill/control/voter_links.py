"""A voter's links to the other voters: dialing, replication sessions, incarnations, and lists of voters.

Knows nothing of changes and observers. Times are microseconds, ``mono_us`` monotonic and ``now_us`` Unix
time.
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

    ``dialed``: the voter that we connected to; None where it connected. ``name`` is None until it has
    greeted. ``status``: its last; ``sent_status``: our last to it.
    """

    session: Session
    last_received_us: int
    dialed: str | None = None
    name: str | None = None
    status: wire.VoterStatus | None = None
    sent_status: wire.VoterStatus | None = None

    @property
    def written(self) -> int:
        """The position up to which all our changes are sent to the voter, ahead of whatever is sent next; 0
        while it is not yet known what else it lacks."""
        anti_entropy = self.session.anti_entropy
        return self.session.sender.cursor if anti_entropy.rounds and not anti_entropy.pending else 0


class GreetedVoter(NamedTuple):
    """A link whose voter is known. ``written``: position up to which our changes are sent to it."""

    link: Link
    name: str
    written: int


class _RequiredRounds(NamedTuple):
    """Comparisons of a session after which a voter is complete again."""

    session: Session
    rounds: int


class IncompleteVoters:
    """Voters that sent a record which was rejected here: we don't have all that they know.

    While there is one, what we know of other voters is of no use to anybody else. A voter is removed once a
    comparison that began later finds no difference.
    """

    def __init__(self) -> None:
        self._required: dict[str, _RequiredRounds] = {}

    def __bool__(self) -> bool:
        return bool(self._required)

    def __contains__(self, voter: str) -> bool:
        return voter in self._required

    def record_rejected(self, voter: str, session: Session) -> None:
        """A record that this voter sent was rejected."""
        # The next comparison to end may have begun before.
        self._required[voter] = _RequiredRounds(session, session.anti_entropy.rounds + 2)

    def recovered(self, voter: str, session: Session) -> bool:
        """Whether we have all that this voter has by now. True once."""
        if voter not in self._required:
            return False
        required = self._required[voter]
        anti_entropy = session.anti_entropy
        rounds = required.rounds if required.session is session else 1
        if anti_entropy.rounds < rounds or anti_entropy.differing:
            return False
        del self._required[voter]
        return True


class ReportableAges:
    """What sessions report of `Freshness`: while a voter is incomplete here, only about ourselves."""

    def __init__(self, freshness: Freshness, incomplete: IncompleteVoters) -> None:
        self.pinged = freshness.pinged
        self.answered = freshness.answered
        self._freshness = freshness
        self._incomplete = incomplete

    def ages(self, mono_us: int) -> Mapping[str, int]:
        """Age of our knowledge of each voter that counts, in microseconds."""
        return self._reportable(self._freshness.ages(mono_us))

    def starting_ages(self, mono_us: int) -> Mapping[str, int]:
        """The same of voters that do not count yet."""
        return self._reportable(self._freshness.starting_ages(mono_us))

    def age_us(self, mono_us: int) -> int | None:
        """Age of the majority's state that we know, for observers; None: of none."""
        return None if self._incomplete else self._freshness.age_us(mono_us)

    def _reportable(self, ages: Mapping[str, int]) -> Mapping[str, int]:
        me = self._freshness.me
        return {name: age for name, age in ages.items() if name == me} if self._incomplete else ages


class VoterLinks:
    """The other voters.

    ``sent_by_another``: whether a voter other than this one sends the changes of an origin to all voters.
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
        self._agreed_since_us: int | None = None  # since when all voters use the newest list

    @property
    def names(self) -> frozenset[str]:
        """The voters of all lists that count, this one among them."""
        return self.freshness.quorum.names

    # Links

    def connect(self, mono_us: int) -> None:
        """Dial the voters that are due."""
        self._backoff.expire(mono_us)
        for name in self._to_dial():
            if mono_us >= self._backoff.due_us(name):
                self._backoff.connect(mono_us, name)
                self._outbox.add(Connect(name))

    def dialed(self, mono_us: int, link: Link, name: str) -> None:
        """A connection that we asked for is open."""
        if name not in self.names:
            self._backoff.connected(name)
            self._outbox.disconnect(link, f"{name} is no voter any more")
            return
        self.by_link[link] = VoterLink(self._session(opens=True), mono_us, name)

    def accepted(self, mono_us: int, link: Link) -> None:
        """A voter has connected to us."""
        self.by_link[link] = VoterLink(self._session(opens=False), mono_us)

    def failed(self, mono_us: int, name: str) -> None:
        """A connection that we asked for could not be opened."""
        self._backoff.failed(mono_us, name)

    def greeted(self, link: Link, name: str) -> None:
        """The other side of a link is this voter. Its earlier link must have ended before."""
        voter = self.by_link[link]
        voter.name = name
        self.link_of[name] = link
        self._backoff.connected(voter.dialed or name)

    def closed(self, mono_us: int, link: Link) -> str | None:
        """A link has ended. Returns the voter's name where it has no other."""
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
        """Links on which nothing was received for longer than the bound."""
        timeout_us = self.options.bound_us
        return [link for link, one in self.by_link.items() if mono_us - one.last_received_us > timeout_us]

    def next_us(self) -> Iterator[int]:
        """When something is due though nothing is received before."""
        yield from (one.session.next_us() for one in self.by_link.values())
        yield from (self._backoff.due_us(name) for name in self._to_dial())

    # Messages

    def pump(self, now_us: int, mono_us: int) -> Iterator[GreetedVoter]:
        """Send what sessions have to send, then our status where it has changed.

        Yields each link whose voter has greeted; what the caller sends then follows what was sent here.
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
            yield GreetedVoter(link, voter.name, voter.written)

    def send_to_all(self, message: wire.VoterMessage) -> None:
        """Send a message to each voter that has greeted."""
        for link in self.link_of.values():
            self._outbox.send_to_voter(link, message)

    # Incarnations and lists of voters

    def record_incarnations(
        self, incarnations: Iterable[wire.VoterIncarnation]
    ) -> list[wire.VoterIncarnation]:
        """Record incarnations that another process knows. Returns those that are newer than known here."""
        newer = [one for one in incarnations if one.name in self.names and self._is_newer(one)]
        for one in newer:
            self._incarnations[one.name] = one
            self.freshness.started(one.name, one.incarnation)
        return newer

    def known_incarnations(self) -> tuple[wire.VoterIncarnation, ...]:
        """The newest incarnation of each voter that is known here, by name."""
        return tuple(sorted(self._incarnations.values()))

    def reconfigure(self, options: ControlOptions) -> None:
        """Use another list of voters, beside those before until `settle`."""
        self.options = options
        self.freshness.reconfigure(options.voters)
        self._agreed_since_us = None

    def settle(self, mono_us: int) -> bool:
        """Drop all lists but the newest once all voters have used it for longer than a lease lasts. Returns
        whether they were dropped now."""
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
        self.freshness.settled()
        return True

    def _is_newer(self, one: wire.VoterIncarnation) -> bool:
        known = self._incarnations.get(one.name)
        return one.incarnation > (known.incarnation if known is not None else 0)

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
        """Voters that we connect to: of two the one with the smaller name does."""
        linking = self.link_of.keys() | self._backoff.connecting
        return [name for name in self.options.voters if name > self.options.name and name not in linking]
