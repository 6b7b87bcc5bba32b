"""A voter's links to the other voters: who dials whom, sessions, starts, and which list each goes by.

All times are microseconds, ``mono_us`` monotonic and ``now_us`` Unix time.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from random import Random

from robinhill.control import messages as wire
from robinhill.control.actions import Connect, Link
from robinhill.control.backoff import Backoff
from robinhill.control.options import ControlOptions
from robinhill.control.outbox import Outbox
from robinhill.cordon.propagation import with_slack
from robinhill.mesh.acknowledgements import list_digest
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.replica import Replica
from robinhill.mesh.session import Identity, Session


@dataclass(slots=True)
class VoterLink:
    """A link to another voter. ``name`` is None until it has greeted; ``dialed``: whom we connected to;
    ``told``: our last word on ourselves."""

    session: Session
    last_received_us: int
    dialed: str | None = None
    name: str | None = None
    status: wire.VoterStatus | None = None
    told: wire.VoterStatus | None = None

    @property
    def written(self) -> int:
        """All our changes up to this one are written to the voter, which reads them before what we write
        next, as links are ordered; 0 while it is not yet known what else it lacks."""
        anti_entropy = self.session.anti_entropy
        return self.session.sender.cursor if anti_entropy.rounds and not anti_entropy.pending else 0


class IncompleteVoters:
    """Voters that sent a record which could not be taken: of those we don't know all that they knew.

    As long as there is one, what we know of other voters is of no use to anybody else. It ends once a
    comparison that began later finds no difference.
    """

    def __init__(self) -> None:
        self._rounds: dict[str, tuple[Session, int]] = {}  # after how many rounds of a session

    def __bool__(self) -> bool:
        return bool(self._rounds)

    def __contains__(self, voter: str) -> bool:
        return voter in self._rounds

    def refused(self, voter: str, session: Session) -> None:
        """A record that this voter sent was refused."""
        self._rounds[voter] = session, session.anti_entropy.rounds + 2  # one may be under way

    def recovered(self, voter: str, session: Session) -> bool:
        """Whether we hold all that this voter holds by now. True once."""
        if voter not in self._rounds:
            return False
        before, needed = self._rounds[voter]
        anti_entropy = session.anti_entropy
        if anti_entropy.rounds < (needed if before is session else 1) or anti_entropy.differing:
            return False
        del self._rounds[voter]
        return True


class ReportableAges:
    """What sessions tell of `Freshness`: only of ourselves while something was refused."""

    def __init__(self, freshness: Freshness, refusals: IncompleteVoters) -> None:
        self.pinged = freshness.pinged
        self.answered = freshness.answered
        self._freshness = freshness
        self._refusals = refusals

    def ages(self, mono_us: int) -> Mapping[str, int]:
        """How old our knowledge is of each voter that counts."""
        return self._ours(self._freshness.ages(mono_us))

    def starting_ages(self, mono_us: int) -> Mapping[str, int]:
        """The same of those that do not count yet."""
        return self._ours(self._freshness.starting_ages(mono_us))

    def age_us(self, mono_us: int) -> int | None:
        """As of how long ago we know a majority, for observers."""
        return None if self._refusals else self._freshness.age_us(mono_us)

    def _ours(self, ages: Mapping[str, int]) -> Mapping[str, int]:
        me = self._freshness.me
        return {name: age for name, age in ages.items() if name == me} if self._refusals else ages


class VoterLinks:
    """The other voters. ``brings``: whether another voter than we brings what a process wrote to all."""

    def __init__(
        self,
        options: ControlOptions,
        incarnation: int,
        replica: Replica,
        freshness: Freshness,
        rng: Random,
        outbox: Outbox,
        brings: Callable[[str], bool],
    ) -> None:
        self.options = options
        self.incarnation = incarnation
        self.replica = replica
        self.freshness = freshness
        self.links: dict[Link, VoterLink] = {}
        self.by_name: dict[str, Link] = {}
        self.starts = {options.name: incarnation}
        self.refusals = IncompleteVoters()
        self.ages = ReportableAges(freshness, self.refusals)
        self._outbox = outbox
        self._brings = brings
        self._backoff = Backoff(rng)
        self._agreed_us: int | None = None  # since when all go by the newest list

    @property
    def names(self) -> frozenset[str]:
        """All voters of all lists that hold, ourselves among them."""
        return self.freshness.quorum.names

    # Links

    def connect(self, mono_us: int) -> None:
        """Dial voters that it is time to dial."""
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
        self.links[link] = VoterLink(self._session(opens=True), mono_us, name)

    def answered(self, mono_us: int, link: Link) -> None:
        """A voter has connected to us."""
        self.links[link] = VoterLink(self._session(opens=False), mono_us)

    def failed(self, mono_us: int, name: str) -> None:
        """A connection that we asked for could not be opened."""
        self._backoff.failed(mono_us, name)

    def greeted(self, link: Link, name: str) -> Link | None:
        """The other side is this voter. Returns its link of before, if there is one, which must end."""
        before = self.by_name.get(name)
        voter = self.links[link]
        voter.name = name
        self.by_name[name] = link
        self._backoff.connected(voter.dialed or name)
        return before if before != link else None

    def lost(self, mono_us: int, link: Link) -> str | None:
        """A link has ended. Returns whose it was, where that voter has no other."""
        voter = self.links.pop(link, None)
        if voter is None:
            return None
        if voter.dialed is not None:
            self._backoff.failed(mono_us, voter.dialed)
        if voter.name is None or self.by_name.get(voter.name) != link:
            return None
        del self.by_name[voter.name]
        return voter.name

    def silent(self, mono_us: int) -> list[Link]:
        """Links on which nothing came for longer than the bound."""
        patience_us = self.options.bound_us
        return [link for link, one in self.links.items() if mono_us - one.last_received_us > patience_us]

    def next_us(self) -> Iterator[int]:
        """When something is due though nothing comes before."""
        yield from (one.session.next_us() for one in self.links.values())
        yield from (self._backoff.due_us(name) for name in self._to_dial())

    # Messages

    def pump(self, now_us: int, mono_us: int) -> Iterator[tuple[Link, VoterLink, str]]:
        """Let sessions write what they have, then our word on ourselves; each voter that has greeted."""
        status = self._status()
        for link, voter in self.links.items():
            while (data := voter.session.draw(now_us, mono_us)) is not None:
                self._outbox.send_to_voter(link, wire.MeshData(data))
            if voter.name is None:
                continue
            if voter.told != status:
                voter.told = status
                self._outbox.send_to_voter(link, status)
            yield link, voter, voter.name

    def to_all(self, message: wire.VoterMessage) -> None:
        """Send a message to each voter that is linked."""
        for link in self.by_name.values():
            self._outbox.send_to_voter(link, message)

    # Starts and lists

    def started(self, starts: Iterable[tuple[str, int]]) -> list[tuple[str, int]]:
        """Somebody knows of these starts of voters. Returns those that are news here."""
        news = [(name, at) for name, at in starts if name in self.names and at > self.starts.get(name, 0)]
        for name, incarnation in news:
            self.starts[name] = incarnation
            self.freshness.started(name, incarnation)
        return news

    def known_incarnations(self) -> tuple[tuple[str, int], ...]:
        """The starts that we know of."""
        return tuple(sorted(self.starts.items()))

    def reconfigure(self, options: ControlOptions) -> None:
        """Go by another list from now on, and by those before until `settles`."""
        self.options = options
        self.freshness.reconfigure(options.voters)
        self._agreed_us = None

    def settles(self, mono_us: int) -> bool:
        """Once all have gone by the newest list for longer than any lease lasts, only that one counts. True
        if that begins now."""
        lists = self.freshness.quorum.lists
        if len(lists) == 1:
            return False
        digest = list_digest(lists[-1])
        if not all(self._goes_by(name, digest) for name in lists[-1] - {self.options.name}):
            self._agreed_us = None
            return False
        if self._agreed_us is None:
            self._agreed_us = mono_us
        if mono_us < self._agreed_us + with_slack(self.options.bound_us):
            return False
        self.freshness.settled()
        return True

    def _goes_by(self, name: str, digest: bytes) -> bool:
        link = self.by_name.get(name)
        status = self.links[link].status if link is not None else None
        return status is not None and status.voters == digest

    def _status(self) -> wire.VoterStatus:
        digest = list_digest(self.freshness.quorum.lists[-1])
        return wire.VoterStatus(self.incarnation, self.freshness.caught_up, digest, self.known_incarnations())

    def _session(self, *, opens: bool) -> Session:
        options = self.options
        identity = Identity(options.installation, options.name, self.incarnation, tuple(sorted(self.names)))
        session = Session(identity, self.replica, self.ages, opens, options.ping_us)
        session.sender.receives_directly = self._brings
        return session

    def _to_dial(self) -> list[str]:
        """Voters that we connect to: of two the one with the smaller name does."""
        linking = self.by_name.keys() | self._backoff.connecting
        return [name for name in self.options.voters if name > self.options.name and name not in linking]
