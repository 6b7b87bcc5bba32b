"""Every order of events that a few voters and observers can meet within a budget, and whether `hold` holds.

    .venv/bin/python -m benchmarks.control_explorer [--plan NAME] [--large] [--variants]

The voters are those of `benchmarks.mesh_explorer`: real `Freshness` and `Acceptance`, pings, answers, lost
memory. Added are observers with the real `ObserverLease`: heartbeats and answers on ordered links, on which
messages may lie while time goes on; a move to another voter, with the exchange of what each lacks; a crash of
an observer; and a change of the list of voters. Two rules are checked in each state: nobody who holds a lease
lacks a change that was accepted longer than the bound ago; and no observer goes back in time. A variant is
the same with one thing done wrongly; that the search finds it shows that it looks where it should.
"""

import argparse
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from copy import copy
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeVar

from benchmarks.mesh_explorer import (
    BOUND_US,
    TICK_US,
    Budget,
    Explorer,
    Found,
    Left,
    OneLess,
    Rules,
    Scheduler,
    State,
)
from robinhill.control.lease import ObserverLease, SentHeartbeat
from robinhill.mesh.acceptance import Acceptance
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.quorum import Quorum

Value = TypeVar("Value")

NOWHERE = -1
"""An observer without a voter."""


class ControlBudget(NamedTuple):
    """How much may happen. ``voters``: the voters' budget, which names all voters that there ever are.

    ``homes``: for each observer the voter that it has at first. ``beats``: heartbeats in all; ``prompt``: a
    heartbeat, its way and the answer's are one step. ``moves``: of observers between voters; ``quits``: their
    crashes. ``old``, ``new``: the lists of voters before and after a change; empty: all, and no change.
    """

    voters: Budget
    homes: str = "b"
    beats: int = 2
    prompt: bool = False
    moves: int = 0
    quits: int = 0
    old: str = ""
    new: str = ""


class Extra(NamedTuple):
    """Events of observers that may still happen: heartbeats, failovers and crashes."""

    beats: int
    moves: int
    quits: int


class Message(NamedTuple):
    """A message between an observer and its voter. ``what``: join, sync, offer, beat or answer.

    ``holds``: the receiver knows the change once it has this message.
    """

    what: str
    holds: bool = False
    number: int = 0
    age_us: int = -1


@dataclass(frozen=True)
class ControlRules:
    """Where the variants do something else."""

    voters: Rules = field(default_factory=Rules)
    lease: type[ObserverLease] = ObserverLease
    unsynced: bool = False  # a new voter's answers count before its state has been copied
    replaces: bool = False  # what a voter holds takes the place of what the observer held
    answers_first: bool = False  # answers overtake the changes that they should follow
    joint: bool = True  # between two lists of voters majorities of both are needed
    settles_at_once: bool = False  # the old list is dropped at once


class Observer:
    """One observer; never changed once `seal` has fixed what tells it from others."""

    __slots__ = ("down", "fingerprint", "holds", "lease", "synchronized", "up", "voter")

    def __init__(self, lease: ObserverLease, voter: int) -> None:
        self.lease = lease
        self.voter = voter
        self.synchronized = voter != NOWHERE
        self.holds = False
        self.up: tuple[Message, ...] = ()
        self.down: tuple[Message, ...] = ()
        self.fingerprint = 0

    def clone(self) -> "Observer":
        other = copy(self)
        other.lease = copy(self.lease)
        other.lease._in_flight = copy(self.lease._in_flight)
        return other

    def seal(self) -> "Observer":
        lease = self.lease
        at_lease = lease.as_of_us, lease._last_number, tuple(lease._in_flight), lease._accepts_replies
        self.fingerprint = hash((at_lease, self.voter, self.synchronized, self.holds, self.up, self.down))
        return self


class ControlState(State):
    """Also the observers, and which voter goes by which list."""

    __slots__ = ("extra", "observers", "reloaded", "settled", "went_back")

    extra: Extra
    observers: tuple[Observer, ...]
    reloaded: tuple[int, ...]  # when each voter took the new list; -1: not yet
    settled: tuple[bool, ...]
    went_back: bool

    def key(self) -> int:
        observers = tuple(one.fingerprint for one in self.observers)
        return hash((super().key(), self.extra, observers, self.reloaded, self.settled))


class ControlExplorer(Explorer):
    """The moves of voters, observers and lists."""

    def __init__(self, budget: ControlBudget, rules: ControlRules) -> None:
        super().__init__(budget.voters, rules.voters)
        self.control = budget
        self.wrong = rules
        self.old = frozenset(budget.old or budget.voters.names)
        self.new = frozenset(budget.new or budget.voters.names)

    def first(self) -> ControlState:
        plain, budget = super().first(), self.control
        state = ControlState(0, plain.left, plain.nodes, plain.links, plain.numbers)
        state.nodes = tuple(
            self._voter(name, [1] * len(self.names), name in self.old, self.old) for name in self.names
        )
        state.extra = Extra(budget.beats, budget.moves, budget.quits)
        state.observers = tuple(self._observer(self.names.index(home)) for home in budget.homes)
        state.reloaded = tuple(-1 if name in self.old else 0 for name in self.names)
        state.settled = tuple(name not in self.old for name in self.names)
        state.went_back = False
        return state

    def _observer(self, voter: int) -> Observer:
        lease = self.wrong.lease(BOUND_US)
        if voter != NOWHERE:
            lease.accept_replies()
        return Observer(lease, voter).seal()

    def _voter(self, name: str, starts: list[int], counts: bool, names: frozenset[str]) -> Scheduler:
        listed = names if name in names else self.new
        fresh = self.rules.fresh(name, listed, BOUND_US)
        fresh.caught_up = counts
        _set_incarnations(fresh, self.names, starts)
        node = Scheduler(name, fresh, Acceptance(fresh.quorum), False, starts)
        node.seal()
        return node

    def _next(self, state: State, step: str, left: Left) -> ControlState:
        assert isinstance(state, ControlState)
        following = ControlState(state.now_us, left, state.nodes, state.links, state.numbers)
        following.accepted_us = state.accepted_us
        following.before = state
        following.step = step
        following.extra = state.extra
        following.observers = state.observers
        following.reloaded, following.settled = state.reloaded, state.settled
        following.went_back = state.went_back
        return following

    # The rules

    def broken(self, state: State) -> bool:
        assert isinstance(state, ControlState)
        if state.went_back:
            return True
        if state.accepted_us is None or state.now_us - state.accepted_us <= BOUND_US:
            return False
        return any(not one.holds and one.lease.is_valid(state.now_us) for one in state.observers)

    def _harmless(self, state: State) -> bool:
        assert isinstance(state, ControlState)
        if self.wrong.replaces or self.wrong.lease is not ObserverLease:
            return False  # these may also go back in time when the bound can't break any more
        accepted_us = state.now_us if state.accepted_us is None else state.accepted_us
        if state.now_us + state.left.ticks * TICK_US - accepted_us <= BOUND_US:
            return True
        lost = state.left.crashes or state.extra.quits
        voters_hold = all(node.holds for node in state.nodes)
        return not lost and voters_hold and all(observer.holds for observer in state.observers)

    # The moves

    def moves(self, state: State) -> Iterator[State]:
        assert isinstance(state, ControlState)
        yield from super().moves(state)
        for at, observer in enumerate(state.observers):
            yield from self._observer_moves(state, at, observer)
        if self.old != self.new:
            yield from self._list_moves(state)

    def _observer_moves(self, state: ControlState, at: int, observer: Observer) -> Iterator[State]:
        extra = state.extra
        if observer.up and observer.voter != NOWHERE:
            yield self._up(state, at)
        if observer.down:
            yield self._down(state, at)
        if extra.beats and observer.voter != NOWHERE and (observer.synchronized or self.wrong.unsynced):
            yield self._beat(state, at)
        if extra.moves:
            for voter in range(len(self.names)):
                if voter != observer.voter:
                    yield self._move(state, at, voter)
        if extra.quits:
            quit_ = self._with_observer(state, f"crash of observer {at}", at, self._observer(NOWHERE))
            quit_.extra = extra._replace(quits=extra.quits - 1)
            yield quit_

    def _beat(self, state: ControlState, at: int) -> ControlState:
        observer = state.observers[at].clone()
        number = observer.lease.heartbeat_sent(state.now_us)
        observer.up = (*observer.up, Message("beat", number=number))
        following = self._with_observer(state, f"observer {at} beats", at, observer)
        following.extra = state.extra._replace(beats=state.extra.beats - 1)
        if not self.control.prompt:
            return following
        done = following
        while done.observers[at].up:
            done = self._up(done, at)
        while done.observers[at].down:
            done = self._down(done, at)
        done.before, done.step = state, f"observer {at} beats and is answered by {self._voter_of(done, at)}"
        return done

    def _move(self, state: ControlState, at: int, voter: int) -> ControlState:
        observer = state.observers[at].clone()
        observer.lease.reset()
        observer.voter, observer.synchronized = voter, False
        observer.up, observer.down = (Message("join"),), ()
        if self.wrong.unsynced:
            observer.lease._accepts_replies = True
            observer.up = ()
        following = self._with_observer(state, f"observer {at} moves to {self.names[voter]}", at, observer)
        following.extra = state.extra._replace(moves=state.extra.moves - 1)
        if not self.control.prompt or self.wrong.unsynced:
            return following
        done = self._up(self._down(self._up(following, at), at), at)
        done.before, done.step = state, f"observer {at} moves to {self.names[voter]}, both are in step"
        return done

    def _up(self, state: ControlState, at: int) -> ControlState:
        """The voter reads the observer's next message."""
        observer = state.observers[at].clone()
        message, observer.up = observer.up[0], observer.up[1:]
        node = state.nodes[observer.voter]
        step = f"{node.name} reads {message.what} of observer {at}"
        if message.what == "join":
            observer.down = (*observer.down, Message("sync", node.holds))
        if message.what == "beat":
            observer.down = (*observer.down, self._answer(state, node, message, observer))
        following = self._with_observer(state, step, at, observer)
        if message.what == "offer" and message.holds and not node.holds:
            merged = node.clone()
            merged.holds = True
            self._with(following, merged)
        return following

    def _answer(self, state: ControlState, node: Scheduler, message: Message, observer: Observer) -> Message:
        age_us = node.fresh.age_us(state.now_us)
        carries = node.holds and observer.synchronized and not self.wrong.answers_first
        return Message("answer", carries, message.number, -1 if age_us is None else age_us)

    def _down(self, state: ControlState, at: int) -> ControlState:
        """The observer reads its voter's next message."""
        observer = state.observers[at].clone()
        message, observer.down = observer.down[0], observer.down[1:]
        held, as_of_us = observer.holds, observer.lease.as_of_us
        if message.what == "sync":
            observer.holds = message.holds if self.wrong.replaces else observer.holds or message.holds
            observer.synchronized = True
            observer.lease.accept_replies()
            observer.up = (*observer.up, Message("offer", observer.holds))
        else:
            observer.holds |= message.holds
            observer.lease.reply_received(message.number, message.age_us)
        following = self._with_observer(state, f"observer {at} reads {message.what}", at, observer)
        following.went_back |= held and not observer.holds
        if as_of_us is not None:
            following.went_back |= observer.lease.as_of_us is None or observer.lease.as_of_us < as_of_us
        return following

    def _list_moves(self, state: ControlState) -> Iterator[State]:
        for at, name in enumerate(self.names):
            if state.reloaded[at] < 0 and name in self.new:
                yield self._reload(state, at)
            elif not state.settled[at] and state.reloaded[at] >= 0 and self._may_settle(state):
                yield self._settle(state, at)

    def _reload(self, state: ControlState, at: int) -> ControlState:
        node = _with_own_quorum(state.nodes[at])
        if self.wrong.joint:
            node.fresh.reconfigure(self.new)
        else:
            node.fresh.quorum._lists = (self.new,)
            node.fresh._list_changed()
        _set_incarnations(node.fresh, self.names, node.starts)
        following = self._next(state, f"{node.name} takes the new list", state.left)
        following.reloaded = _put(state.reloaded, at, state.now_us)
        if node.accept.reevaluate(state.now_us):
            following.accepted_us = state.now_us
        self._with(following, node)
        return following

    def _may_settle(self, state: ControlState) -> bool:
        """All of the new list went by it longer than the bound ago. A voter that was told so knows less."""
        if self.wrong.settles_at_once:
            return True
        reloaded_us = [state.reloaded[at] for at, name in enumerate(self.names) if name in self.new]
        return min(reloaded_us) >= 0 and state.now_us - max(reloaded_us) > BOUND_US

    def _settle(self, state: ControlState, at: int) -> ControlState:
        node = _with_own_quorum(state.nodes[at])
        node.fresh.settle()
        following = self._next(state, f"{node.name} drops the old list", state.left)
        following.settled = _put(state.settled, at, True)
        if node.accept.reevaluate(state.now_us):
            following.accepted_us = state.now_us
        self._with(following, node)
        return following

    def _deliver(self, state: State, at: int) -> State:
        link = self.pairs[at]
        node = state.nodes[self.names.index(link[1])]
        if link[0] in node.fresh.quorum.names:
            return super()._deliver(state, at)
        following = self._next(state, f"{link[1]} refuses {link[0]}", state.left)
        following.links = _put(state.links, at, state.links[at][1:])
        return following

    def _exchange(self, sent: State, at: int) -> State:
        arrived = self._deliver(sent, at)
        done = self._deliver(arrived, self.back[at]) if arrived.links[self.back[at]] else arrived
        done.before, done.step = sent.before, f"{sent.step} and its answer arrive"
        return done

    def _crash(self, state: State, at: int, left: Left) -> State:
        assert isinstance(state, ControlState)
        following = super()._crash(state, at, left)
        assert isinstance(following, ControlState)
        name, starts = self.names[at], following.nodes[at].starts
        names = self.new if state.reloaded[at] >= 0 else self.old
        restarted = self._voter(name, starts, self.rules.counts_at_once, names)
        following.nodes = _put(following.nodes, at, restarted)
        following.settled = _put(state.settled, at, state.settled[at] or state.reloaded[at] >= 0)
        following.observers = tuple(
            _unlinked(observer) if observer.voter == at else observer for observer in state.observers
        )
        return following

    def _with_observer(self, state: ControlState, step: str, at: int, observer: Observer) -> ControlState:
        following = self._next(state, step, state.left)
        following.observers = _put(state.observers, at, observer.seal())
        return following

    def _voter_of(self, state: ControlState, at: int) -> str:
        return self.names[state.observers[at].voter]


def _set_incarnations(fresh: Freshness, names: str, starts: list[int]) -> None:
    for peer, start in zip(names, starts, strict=True):
        fresh.started(peer, start)


def _with_own_quorum(node: Scheduler) -> Scheduler:
    """A copy whose lists may be changed."""
    node = node.clone()
    quorum: Quorum = copy(node.fresh.quorum)
    node.fresh.quorum = node.accept._quorum = quorum
    return node


def _unlinked(observer: Observer) -> Observer:
    """Its voter has crashed."""
    observer = observer.clone()
    observer.lease.reset()
    observer.voter, observer.synchronized, observer.up, observer.down = NOWHERE, False, (), ()
    return observer.seal()


def _put(values: tuple[Value, ...], at: int, value: Value) -> tuple[Value, ...]:
    return (*values[:at], value, *values[at + 1 :])


class FromArrival(ObserverLease):
    """Wrong: the lease counts from when the answer came in."""

    now_us = 0

    def reply_received(self, number: int, age_us: int) -> bool:
        if all(number != one for one, _ in self._in_flight):
            return False
        self._in_flight = deque(SentHeartbeat(one, max(at, self.now_us)) for one, at in self._in_flight)
        return super().reply_received(number, age_us)


class AnyNumber(ObserverLease):
    """Wrong: an answer is taken for that to the latest heartbeat."""

    def reply_received(self, number: int, age_us: int) -> bool:
        if not self._in_flight:
            return False
        return super().reply_received(self._in_flight[-1][0], age_us)


class AgeUnread(ObserverLease):
    """Wrong: what a voter knows of the majority is taken for as fresh as the voter itself."""

    def reply_received(self, number: int, age_us: int) -> bool:
        return super().reply_received(number, min(age_us, 0))


class MomentBack(ObserverLease):
    """Wrong: the moment follows the last answer, also where another voter knew more."""

    def reply_received(self, number: int, age_us: int) -> bool:
        before, self.as_of_us = self.as_of_us, None
        if super().reply_received(number, age_us):
            return True
        self.as_of_us = before
        return False


class ClockedExplorer(ControlExplorer):
    """Tells leases that read the clock at an arrival what it says."""

    def _down(self, state: ControlState, at: int) -> ControlState:
        lease = state.observers[at].lease
        if isinstance(lease, FromArrival):
            lease.now_us = state.now_us
        return super()._down(state, at)


def _prompt(names: str, pairs: str, pings: int, **more: Any) -> Budget:
    """Voters whose pings and answers are one step; ``pairs``: who may ping whom, by spaces."""
    return Budget(names, tuple(pairs.split()), pings=pings, prompt=True, **more)


PLANS: Mapping[str, ControlBudget] = {
    "late": ControlBudget(_prompt("abc", "bc ab", 2, each=1), beats=2),
    "aged": ControlBudget(_prompt("abc", "bc ab ac", 3, each=2), beats=2, prompt=True),
    "moves": ControlBudget(_prompt("abc", "bc ab ac", 2, each=1), beats=2, moves=1, prompt=True),
    "memory": ControlBudget(_prompt("abc", "ac bc cb", 3, crashes=1, each=2), beats=2, prompt=True),
    "change": ControlBudget(
        _prompt("abcde", "da de ad ac bc", 5, ticks=2, each=1), beats=1, prompt=True, old="abc", new="ade"
    ),
    "added": ControlBudget(
        _prompt("abcd", "ac ab bc", 3, ticks=2, each=1), beats=1, prompt=True, old="abc", new="abcd"
    ),
}
"""What is searched in seconds."""

LARGE: Mapping[str, ControlBudget] = {
    "late": ControlBudget(_prompt("abc", "bc ab cb", 3, each=2), beats=2),
    "moves": ControlBudget(_prompt("abc", "bc ab ac", 3, each=1), beats=2, moves=2, quits=1, prompt=True),
    "joins": ControlBudget(_prompt("abc", "bc ab", 2, each=1), beats=2, moves=1),
    "two": ControlBudget(_prompt("abc", "bc ab ac", 3, each=1), homes="bc", beats=3, moves=1, prompt=True),
    "memory": ControlBudget(
        _prompt("abcde", "ab ac cb cd ce", 5, ticks=2, crashes=2, each=1, crashing="bc"),
        homes="d",
        beats=1,
        moves=1,
        prompt=True,
    ),
    "change": ControlBudget(
        _prompt("abcde", "da de ad ac bc", 5, ticks=2, each=1),
        beats=2,
        moves=1,
        prompt=True,
        old="abc",
        new="ade",
    ),
    "added": ControlBudget(
        _prompt("abcd", "ac ab bc", 3, each=1), beats=1, prompt=True, old="abc", new="abcd"
    ),
}
"""What is searched in minutes."""

TWO_MOVES = ControlBudget(_prompt("abc", "bc ab ac", 2, each=1), beats=2, moves=2, prompt=True)
WRONG_CHANGE = ControlBudget(
    _prompt("abcde", "da de ad bc", 4, ticks=2, each=1), beats=1, prompt=True, old="abc", new="ade"
)

VARIANTS: Mapping[str, tuple[ControlBudget, Callable[[], ControlRules]]] = {
    "from-arrival": (PLANS["late"], lambda: ControlRules(lease=FromArrival)),
    "any-number": (PLANS["late"], lambda: ControlRules(lease=AnyNumber)),
    "age-unread": (PLANS["aged"], lambda: ControlRules(lease=AgeUnread)),
    "answers-first": (PLANS["aged"], lambda: ControlRules(answers_first=True)),
    "one-less": (PLANS["aged"], lambda: ControlRules(Rules(OneLess))),
    "unsynced": (PLANS["moves"], lambda: ControlRules(unsynced=True)),
    "replaces": (TWO_MOVES, lambda: ControlRules(replaces=True)),
    "moment-back": (PLANS["moves"], lambda: ControlRules(lease=MomentBack)),
    "counts-at-once": (PLANS["memory"], lambda: ControlRules(Rules(counts_at_once=True))),
    "one-list": (WRONG_CHANGE, lambda: ControlRules(joint=False)),
    "settles-at-once": (WRONG_CHANGE, lambda: ControlRules(settles_at_once=True)),
}
"""Each with one thing done wrongly, and the plan within which that is found."""


def search(budget: ControlBudget, rules: ControlRules | None = None) -> Found:
    """Search one plan."""
    return ClockedExplorer(budget, rules or ControlRules()).search()


def main() -> None:
    """Search plans, or each variant; exit code 1 if a rule breaks, or a variant is not found."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--plan", choices=sorted({*PLANS, *LARGE}), help="one of them only")
    parser.add_argument("--large", action="store_true", help="the large plans, which take minutes")
    parser.add_argument("--variants", action="store_true", help="search each variant; each must be found")
    options = parser.parse_args()
    searches: list[tuple[str, ControlBudget, ControlRules]] = []
    if options.variants:
        searches = [(name, budget, rules()) for name, (budget, rules) in VARIANTS.items()]
    else:
        plans = LARGE if options.large else PLANS
        searches = [(name, plans[name], ControlRules()) for name in plans if options.plan in (None, name)]
    right = True
    for name, budget, rules in searches:
        started_s = time.perf_counter()
        found = search(budget, rules)
        elapsed_s = time.perf_counter() - started_s
        verdict = "both rules hold" if found.broken is None else "BROKEN"
        print(
            f"{name}: {verdict}; {found.states} states, {found.accepted} accepted; {elapsed_s:.1f} s",
            flush=True,
        )
        if found.broken is not None:
            print("   " + "\n   ".join(found.broken.path()))
        right &= (found.broken is None) != options.variants
    sys.exit(not right)


if __name__ == "__main__":
    main()
