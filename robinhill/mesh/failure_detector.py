"""Which schedulers are there: alive, suspect, gone or left; found out by checks, told on by word of mouth.

Source: Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
protocol", 2002; the suspicion that shortens with independent accusers, and telling the accused first, from
Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate failure detection", 2018.

- Each period one peer is *checked*, in an order drawn anew each round. If it does not answer in time, a few
  others are asked to look: only if they too bring no answer is it *suspect*. So one bad link accuses nobody.
- A suspect that hears of it *refutes*: it raises the count of its incarnation, and that word wins over the
  suspicion. One that does not for long enough is *gone*, once we have looked for ourselves. Whoever hears
  from a suspect itself waits on, whatever others say.
- Gone is not for ever: now and then one of those is checked too, so that the two sides of a cut find each
  other again, and a peer that comes back refutes that it was gone. A new start has a larger incarnation,
  which wins over all of the former. *Left* is what a peer says of itself when it ends in order; only a new
  start changes that.
- After a pause (this process was stopped, its host slept) nothing that is due is acted on: all deadlines move
  by the time that was missed, as answers may lie unread. The first thing that is said then is `WasAway`.

Peers come from the operators' file alone. Word of others, which a peer with a newer file may have, is passed
over. This decides nothing on leases: a peer may be thought gone here and count there, and the other way
round.
"""

import enum
import heapq
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

NAMES_AT_MOST = 1_024
"""Peers at most: five times what we are built for; beyond that the file is a mistake."""

ACCUSERS_AT_MOST = 8
"""Accusers remembered for a suspect; `Options.accusers` of them already shorten its time as far as it
goes."""

COUNT_AT_MOST = 1 << 60
"""Refutations in one start at most, so that a damaged word cannot bring the count past what MessagePack
holds."""

OUTSTANDING_AT_MOST = 64
"""Checks, own and for others, that wait for an answer. Only a flood from a peer gets there; more are not
taken on."""


class MemberState(enum.IntEnum):
    """What is known of a member. Where incarnation and count are equal, the larger wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Rumour(msgspec.Struct, frozen=True, array_like=True):
    """Word of a member. ``state`` is a `MemberState` as a number: one from a newer peer is passed over.

    ``incarnation`` is the start of ``name``; ``count`` how often it has refuted since. ``by``: who says so of
    a suspect.
    """

    name: str
    state: int
    incarnation: int
    count: int
    by: str = ""


class Check(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Are you there? To be answered by `Checked` with the same number. ``target``: for whom this is meant."""

    sender: str
    incarnation: int
    number: int
    target: str
    rumours: tuple[Rumour, ...] = ()


class CheckFor(msgspec.Struct, frozen=True, array_like=True, tag="check-for"):
    """Look for us whether ``target`` is there; `Checked` with our number if it is, and nothing if it is
    not."""

    sender: str
    incarnation: int
    number: int
    target: str
    rumours: tuple[Rumour, ...] = ()


class Checked(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    """``target`` is there, in this start of it (``target_incarnation``): said by itself, or passed on."""

    sender: str
    incarnation: int
    number: int
    target: str
    target_incarnation: int
    rumours: tuple[Rumour, ...] = ()


class Word(msgspec.Struct, frozen=True, array_like=True, tag="word"):
    """Rumours alone: to the partners when something was learnt, and the goodbye of one who leaves."""

    sender: str
    incarnation: int
    rumours: tuple[Rumour, ...] = ()


Message = Check | CheckFor | Checked | Word


@dataclass(slots=True, frozen=True)
class CheckDirect:
    """Write this check to a peer: on its link if there is one, else in one short request."""

    peer: str
    message: Check


@dataclass(slots=True, frozen=True)
class CheckThrough:
    """Ask ``via`` to look for a peer."""

    peer: str
    via: str
    message: CheckFor


@dataclass(slots=True, frozen=True)
class Answer:
    """Write this answer to a peer."""

    peer: str
    message: Checked


@dataclass(slots=True, frozen=True)
class Became:
    """A member is now in this state. Of the first states after a start only those of peers that were heard
    of."""

    peer: str
    state: MemberState


@dataclass(slots=True, frozen=True)
class WasAway:
    """This process did nothing for so long. Always the first of its acts: look at the lease before all
    else."""

    us: int


@dataclass(slots=True, frozen=True)
class Impostor:
    """Somebody else speaks under our name with a newer start: two schedulers are configured with one name."""

    incarnation: int


Act = CheckDirect | CheckThrough | Answer | Became | WasAway | Impostor


@dataclass(slots=True, frozen=True)
class Options:
    """How fast and how careful. Times in microseconds."""

    period_us: int = 1_000_000
    """Between two checks of ours. In n seconds each of n peers is checked n times by somebody: a crash is
    noticed by the first within some 1.6 periods, whatever the number of peers, at two small messages a second
    for each."""

    answer_us: int = 400_000
    """For a direct answer: twice 100 ms of delay, and as much again for a busy process."""

    through_us: int = 600_000
    """For an answer through others, after that: four ways of 100 ms, and half as much again."""

    through: int = 3
    """Others that are asked: where one message in five is lost, all three fail to bring word of a live peer
    in one case of five, after one direct check of three has failed."""

    attempts: int = 3
    """How often that is done before a peer is suspect. At such a loss one attempt in 14 fails, and with 200
    members 14 suspicions a second would be more than word of mouth can carry and refute: all were gone in the
    simulation. Three in a row fail once in 2,500."""

    suspicion_periods: float = 5.0
    """How long a suspect may refute, in periods, times the logarithm to base 10 of the members, as word takes
    as many rounds to reach all: 10 s at 100. Counts if one alone accuses."""

    accused_factor: float = 0.5
    """What is left of that time once `accusers` others accuse independently."""

    accusers: int = 3
    """How many others that takes: more see a real crash within two periods."""

    told_times: float = 1.5
    """How often each rumour is passed on, times the logarithm to base 2 of the members: 12 times at 200,
    which leaves out fewer than one in 1,000 also where a fifth of the messages is lost. Those hear of it by
    later checks."""

    rumours: int = 24
    """Rumours in one message: below 1 KB, so that a message fits one packet."""

    gone_every: int = 5
    """Each so manieth check is of one who is gone, so that a healed cut is seen within some seconds."""

    silent_us: int = 1_000_000
    """A peer from which something came within this time is not checked: its link shows that it lives."""

    away_us: int = 2_000_000
    """No tick for so long is a pause. Ticks come ten times a second; a busy process is late by some hundred
    milliseconds, and a lease's bound is of this size."""


@dataclass(slots=True)
class _Member:
    state: MemberState = MemberState.GONE
    incarnation: int = 0  # 0: never heard of
    count: int = 0
    heard_us: int | None = None  # by itself
    suspect_us: int = 0
    looked: bool = False  # for ourselves, since it is suspect
    accusers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Outstanding:
    """A check that waits for an answer: ours, or one that we make for another."""

    target: str
    direct_us: int  # until when a direct answer is waited for
    until_us: int
    attempt: int = 1
    sought: bool = False  # whether others were asked
    asker: str = ""  # for whom
    asker_number: int = 0


class Members:
    """The members as this scheduler sees them. Feed it ticks, and all that peers say; carry out what it
    returns.

    ``peers``: name and address of each scheduler, as configured; ``me`` may be among them. ``through``:
    partners that have a link to both us and a peer (`overlay.common`), to be asked first; any live ones where
    it gives too few.
    """

    def __init__(
        self,
        me: str,
        incarnation: int,
        peers: Mapping[str, str],
        rng: random.Random,
        options: Options | None = None,
        through: Callable[[str], Sequence[str]] | None = None,
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.count = 0
        self.leaving = False
        self.options = options or Options()
        self._rng = rng
        self._through = through
        self._members: dict[str, _Member] = {}
        self.addresses: dict[str, str] = {}
        self._suspects: dict[str, None] = {}  # in the order in which they became so
        self._rumours: dict[str, int] = {}  # whose state is passed on: how often it was
        self._round: list[str] = []  # whom to check next, last first
        self._gone_round: list[str] = []
        self._outstanding: dict[int, _Outstanding] = {}
        self._number = 0
        self._checks = 0
        self._ticked_us: int | None = None
        self._next_us = 0
        self._acts: list[Act] = []
        self.reload(peers)
        self._rumours[me] = 0

    # What the caller asks.

    def states(self) -> dict[str, MemberState]:
        """The state of each peer; gone also where nothing was heard of it since our start."""
        return {name: member.state for name, member in self._members.items()}

    def alive(self) -> list[str]:
        """Peers that are alive or only suspect, sorted."""
        return [name for name, one in self._members.items() if one.state <= MemberState.SUSPECT]

    def state(self, peer: str) -> MemberState | None:
        """The state of one peer; None if it is not configured."""
        member = self._members.get(peer)
        return None if member is None else member.state

    def start_of(self, peer: str) -> int:
        """The newest start that was heard of, 0 if none."""
        member = self._members.get(peer)
        return 0 if member is None else member.incarnation

    def heard_us(self, peer: str) -> int | None:
        """When, on our clock, something last came from this peer itself."""
        member = self._members.get(peer)
        return None if member is None else member.heard_us

    # What happens.

    def reload(self, peers: Mapping[str, str]) -> None:
        """Take the operators' list anew. Who stays keeps its state; who is new is checked before all others.

        Raises ValueError above `NAMES_AT_MOST`.
        """
        if len(peers) > NAMES_AT_MOST:
            raise ValueError(f"{len(peers)} peers are more than {NAMES_AT_MOST}")
        others = sorted(peers.keys() - {self.me})
        new = [name for name in others if name not in self._members]
        self._members = {name: self._members.get(name) or _Member() for name in others}
        self.addresses = dict(peers)
        self._rumours = {
            name: told for name, told in self._rumours.items() if name in self._members or name == self.me
        }
        self._suspects = {name: None for name in self._suspects if name in self._members}
        for number, one in list(self._outstanding.items()):
            if one.target not in self._members:
                del self._outstanding[number]
        self._rng.shuffle(new)
        self._round = [name for name in self._round if name in self._members] + new
        self._gone_round = [name for name in self._gone_round if name in self._members]
        self._told_at_most = max(3, math.ceil(self.options.told_times * math.log2(len(others) + 2)))
        members = max(10, len(others) + 1)  # below ten nothing is gained by haste
        self._suspicion_us = round(
            self.options.suspicion_periods * math.log10(members) * self.options.period_us
        )

    def tick(self, mono_us: int) -> list[Act]:
        """Time goes on; about ten times a second. Returns what to do, a pause first."""
        self._notice(mono_us)
        self._overdue(mono_us)
        for name in list(self._suspects):
            member = self._members[name]
            until_us = self._suspect_until(member)
            if mono_us >= until_us:
                self._change(name, member, MemberState.GONE)
            elif not member.looked and until_us - mono_us <= self._suspicion_us // 4:
                # Its refutation may have missed us: look for ourselves, and have it told once more.
                member.looked = True
                self._check(mono_us, name)
        if mono_us >= self._next_us:
            # A tick that came late must not be followed by checks in a bunch.
            self._next_us = max(self._next_us + self.options.period_us, mono_us + self.options.period_us // 2)
            self._check_next(mono_us)
        return self._take_acts()

    def handle(self, mono_us: int, message: Message) -> list[Act]:
        """What a peer said; the caller has made sure that ``sender`` is who it says. Returns what to do."""
        self._notice(mono_us)
        sender = message.sender
        if sender not in self._members:
            return self._take_acts()
        new = message.incarnation > self._members[sender].incarnation
        self._heard(mono_us, sender, message.incarnation)
        self.take_gossip(mono_us, message.rumours)
        match message:
            case Check() if message.target == self.me:
                # Who has just started joins through any that it reaches: it is told all at once.
                self._answer(sender, message.number, self.me, self.incarnation, new)
            case CheckFor() if message.target == self.me:
                self._answer(sender, message.number, self.me, self.incarnation)
            case CheckFor() if (
                message.target in self._members and len(self._outstanding) < OUTSTANDING_AT_MOST
            ):
                until_us = mono_us + self.options.through_us
                self._send_check(
                    _Outstanding(message.target, until_us, until_us, 1, True, sender, message.number)
                )
            case Checked():
                self._checked(mono_us, message)
            case _:
                pass
        return self._take_acts()

    def heard(self, mono_us: int, peer: str, incarnation: int) -> None:
        """Anything at all came from this peer, over its link."""
        self._notice(mono_us)
        if peer in self._members:
            self._heard(mono_us, peer, incarnation)

    def link_lost(self, mono_us: int, peer: str) -> list[Act]:
        """A link broke: check that peer at once, as a crash breaks links before it fails checks."""
        self._notice(mono_us)
        member = self._members.get(peer)
        if member is not None and member.state <= MemberState.SUSPECT:
            member.heard_us = None
            self._check(mono_us, peer)
        return self._take_acts()

    def left(self, peer: str) -> list[Act]:
        """A peer said goodbye on its link."""
        member = self._members.get(peer)
        if member is not None and member.incarnation and member.state is not MemberState.LEFT:
            self._change(peer, member, MemberState.LEFT)
        return self._take_acts()

    def leave(self) -> Word:
        """We end in order: the word to write to all partners, as often as links allow."""
        self.leaving = True
        self._rumours[self.me] = 0
        return self.word()

    @property
    def has_news(self) -> bool:
        """Whether there are rumours to pass on."""
        return bool(self._rumours)

    def word(self) -> Word:
        """Rumours alone, for a partner; without any if there is nothing to tell."""
        return Word(self.me, self.incarnation, self.gossip())

    def gossip(self, first: str | None = None) -> tuple[Rumour, ...]:
        """What goes with the next message, the least told first: at most `Options.rumours`.

        ``first``: the peer that it goes to, which is always told what is thought of it unless that is good.
        """
        chosen = heapq.nsmallest(
            self.options.rumours, self._rumours, key=lambda name: (self._rumours[name], name)
        )
        for name in chosen:
            self._rumours[name] += 1
            if self._rumours[name] >= self._told_at_most:
                del self._rumours[name]
        member = self._members.get(first) if first is not None else None
        if (
            first is not None
            and member is not None
            and member.incarnation
            and member.state is not MemberState.ALIVE
        ):
            chosen = [first, *(name for name in chosen if name != first)]
        return tuple(self._rumour(name) for name in chosen)

    def all_rumours(self) -> tuple[Rumour, ...]:
        """All that is known, for a peer that has just started: some 6 KB at 200 members."""
        known = [name for name, member in self._members.items() if member.incarnation]
        return tuple(self._rumour(name) for name in [self.me, *known])

    def take_gossip(self, mono_us: int, rumours: Iterable[Rumour]) -> None:
        """What others say. The acts that follow come with the next `tick` or `handle`."""
        for rumour in rumours:
            if rumour.name == self.me and self._sane(rumour):
                self._of_me(rumour)
            elif rumour.name in self._members and self._sane(rumour):
                self._of_other(mono_us, rumour)

    # Rumours.

    def _rumour(self, name: str) -> Rumour:
        if name == self.me:
            state = MemberState.LEFT if self.leaving else MemberState.ALIVE
            return Rumour(name, state, self.incarnation, self.count)
        member = self._members[name]
        by = ""
        if member.state is MemberState.SUSPECT:
            # Accusers take turns, so that word of all of them spreads.
            by = self._rng.choice(member.accusers) if member.accusers else self.me
        return Rumour(name, member.state, member.incarnation, member.count, by)

    def _sane(self, rumour: Rumour) -> bool:
        states = MemberState.ALIVE <= rumour.state <= MemberState.LEFT
        return states and rumour.incarnation > 0 and 0 <= rumour.count < COUNT_AT_MOST

    def _of_me(self, rumour: Rumour) -> None:
        if rumour.incarnation > self.incarnation:
            self._acts.append(Impostor(rumour.incarnation))
            return
        bad = rumour.state != MemberState.ALIVE
        if not self.leaving and (rumour.incarnation, rumour.count) >= (self.incarnation, self.count):
            # A larger count than ours cannot be, but if it is, taking it over keeps us able to refute.
            self.count = rumour.count + bad
        if bad:
            # Also where we refuted that already: it has missed whoever says so.
            self._rumours[self.me] = 0

    def _of_other(self, mono_us: int, rumour: Rumour) -> None:
        member = self._members[rumour.name]
        state = MemberState(rumour.state)
        if (
            state is MemberState.GONE
            and member.heard_us is not None
            and rumour.incarnation == member.incarnation
        ):
            if mono_us - member.heard_us < self.options.silent_us:
                state = MemberState.SUSPECT  # it spoke to us just now: let it hear of this, and refute
        known, told = (member.incarnation, member.count), (rumour.incarnation, rumour.count)
        if told == known and state is MemberState.SUSPECT is member.state:
            self._accuse(rumour.name, member, rumour.by)
        if member.state is MemberState.LEFT and rumour.incarnation == member.incarnation:
            return  # said by itself: nobody else knows better
        if told < known or (told == known and state <= member.state):
            if state is not MemberState.LEFT or rumour.incarnation < member.incarnation:
                return
        member.incarnation, member.count = max(known, told)
        if state is MemberState.SUSPECT:
            member.suspect_us = mono_us
            member.accusers = [rumour.by] if rumour.by else []
        self._change(rumour.name, member, state)

    def _accuse(self, name: str, member: _Member, by: str) -> None:
        if by and by not in member.accusers and len(member.accusers) < ACCUSERS_AT_MOST:
            member.accusers.append(by)
            if len(member.accusers) <= self.options.accusers + 1:
                self._rumours[name] = 0

    def _change(self, name: str, member: _Member, state: MemberState) -> None:
        """A new state, or a new count of the same one: passed on either way, told if the state is new."""
        if member.state is not state:
            member.state = state
            self._acts.append(Became(name, state))
        member.looked = False
        if state is MemberState.SUSPECT:
            self._suspects[name] = None
        else:
            self._suspects.pop(name, None)
            member.accusers = []
        self._rumours[name] = 0

    # Signs of life.

    def _heard(self, mono_us: int, peer: str, incarnation: int) -> None:
        member = self._members[peer]
        if incarnation < member.incarnation:
            return  # from before its last start
        if incarnation > member.incarnation:
            member.incarnation, member.count = incarnation, 0
            self._change(peer, member, MemberState.ALIVE)
        member.heard_us = mono_us
        member.looked = False  # if it is still suspect, we look again before it is gone

    def _suspect_until(self, member: _Member) -> int:
        share = min(1.0, max(0, len(member.accusers) - 1) / self.options.accusers)
        factor = 1.0 - (1.0 - self.options.accused_factor) * share
        # What it says itself counts more than what others say of it.
        since_us = max(member.suspect_us, member.heard_us or member.suspect_us)
        return since_us + round(self._suspicion_us * factor)

    # Checks.

    def _check_next(self, mono_us: int) -> None:
        self._checks += 1
        if self._checks % self.options.gone_every == 0:
            gone = self._draw(self._gone_round, lambda one: one.state is MemberState.GONE)
            if gone is not None:
                self._check(mono_us, gone)
        peer = self._draw(self._round, lambda one: self._worth_a_check(mono_us, one))
        if peer is not None:
            self._check(mono_us, peer)

    def _worth_a_check(self, mono_us: int, member: _Member) -> bool:
        if member.state > MemberState.SUSPECT:
            return member.incarnation == 0 and member.heard_us is None  # not met yet
        return member.heard_us is None or mono_us - member.heard_us >= self.options.silent_us

    def _draw(self, order: list[str], wanted: Callable[[_Member], bool]) -> str | None:
        """The next that is wanted, in an order that is drawn anew when it is used up; each once in a
        round."""
        for _ in range(2):
            while order:
                name = order.pop()
                if wanted(self._members[name]):
                    return name
            order += self._members
            self._rng.shuffle(order)
        return None

    def _check(self, mono_us: int, peer: str, attempt: int = 1) -> None:
        checking = any(one.target == peer and not one.asker for one in self._outstanding.values())
        if not checking and len(self._outstanding) < OUTSTANDING_AT_MOST:
            direct_us = mono_us + self.options.answer_us
            self._send_check(_Outstanding(peer, direct_us, direct_us + self.options.through_us, attempt))

    def _send_check(self, check: _Outstanding) -> None:
        self._number += 1
        self._outstanding[self._number] = check
        peer = check.target
        message = Check(self.me, self.incarnation, self._number, peer, self.gossip(peer))
        self._acts.append(CheckDirect(peer, message))

    def _overdue(self, mono_us: int) -> None:
        for number, check in list(self._outstanding.items()):
            member = self._members[check.target]
            if not check.sought and mono_us >= check.direct_us:
                check.sought = True
                if member.state <= MemberState.SUSPECT:
                    self._seek(check.target, number)
            if mono_us >= check.until_us:
                del self._outstanding[number]
                if not check.asker:
                    self._unanswered(mono_us, check, member)

    def _seek(self, target: str, number: int) -> None:
        near = list(self._through(target)) if self._through is not None else []
        near = [one for one in near if one in self._members and self._members[one].state is MemberState.ALIVE]
        near = self._rng.sample(near, min(len(near), self.options.through))
        far = [
            name
            for name, one in self._members.items()
            if one.state is MemberState.ALIVE and name != target and name not in near
        ]
        far = self._rng.sample(far, min(len(far), self.options.through - len(near)))
        for via in near + far:
            message = CheckFor(self.me, self.incarnation, number, target, self.gossip(via))
            self._acts.append(CheckThrough(target, via, message))

    def _unanswered(self, mono_us: int, check: _Outstanding, member: _Member) -> None:
        peer = check.target
        if member.heard_us is not None and mono_us - member.heard_us < self.options.silent_us:
            return  # its link shows that it lives
        if member.state <= MemberState.SUSPECT and check.attempt < self.options.attempts:
            self._check(mono_us, peer, check.attempt + 1)
        elif member.state is MemberState.ALIVE:
            member.suspect_us = mono_us
            member.accusers = [self.me]
            self._change(peer, member, MemberState.SUSPECT)
        elif member.state is MemberState.SUSPECT:
            self._accuse(peer, member, self.me)

    def _answer(self, peer: str, number: int, target: str, incarnation: int, new: bool = False) -> None:
        # With what we know of the target, so that its refutation comes along if that has missed the asker.
        rumours = self.all_rumours() if new else (self._rumour(target), *self.gossip(peer))
        message = Checked(self.me, self.incarnation, number, target, incarnation, rumours)
        self._acts.append(Answer(peer, message))

    def _checked(self, mono_us: int, message: Checked) -> None:
        check = self._outstanding.get(message.number)
        if check is None or check.target != message.target:
            return
        del self._outstanding[message.number]
        if check.asker:
            self._answer(check.asker, check.asker_number, message.target, message.target_incarnation)
        elif message.sender != message.target:
            self._heard(mono_us, message.target, message.target_incarnation)

    # Pauses.

    def _notice(self, mono_us: int) -> None:
        """Whether we were away; before anything else is done with the time."""
        before_us, self._ticked_us = self._ticked_us, mono_us
        if before_us is None:
            self._next_us = mono_us + self._rng.randrange(
                self.options.period_us
            )  # not all at the same moment
            return
        gap_us = mono_us - before_us
        if gap_us < self.options.away_us:
            return
        self._acts.insert(0, WasAway(gap_us))
        self._next_us += gap_us
        for check in self._outstanding.values():
            check.direct_us += gap_us
            check.until_us += gap_us
        for member in self._members.values():
            member.suspect_us += gap_us

    def _take_acts(self) -> list[Act]:
        acts, self._acts = self._acts, []
        return acts
