"""Every order of events that a few schedulers can meet within a budget, and whether the bound holds in all of
them.

    .venv/bin/python -m benchmarks.mesh_explorer [--budget small|large] [--variant NAME | --variants]

Breadth first over the states of the real `Freshness` and `Acceptance`: a cordon is set at one scheduler, all
ping each other whenever they like, messages on their ordered links are delivered, lost, doubled or left lying
while time goes on (which is a partition, and its end), schedulers crash and come back without memory. The
budget says how many of each there may be; within it nothing is left out, so the search ends by itself. In
each state everybody who holds a lease is taken to send. A variant is the same with one thing done wrongly;
that the search finds it shows that it looks where it should.
"""

import argparse
import itertools
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from copy import copy
from dataclasses import dataclass, replace
from typing import NamedTuple, TypeVar

from robinhill.mesh.acceptance import Acceptance
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.records import Stamp

TICK_US = 1_000
BOUND_US = 1_500  # one tick, and room for the allowance for other clocks' rates on the way
CORDON = Stamp(1, 0, "a", 1)

Link = tuple[str, str]
Value = TypeVar("Value")


class Budget(NamedTuple):
    """How much may happen. ``names``: the schedulers, of which the first sets the cordon.

    ``pairs``: who may ping whom ("ab": a pings b), all where it is empty; ``each``: how often. ``crashing``:
    who may crash. ``prompt``: a ping, its way, and the answer's are one step; more may then happen in the
    same time.
    """

    names: str = "abc"
    pairs: tuple[str, ...] = ()
    ticks: int = 3
    pings: int = 3
    crashes: int = 0
    lost: int = 0
    doubled: int = 0
    each: int = 9
    crashing: str = "c"
    prompt: bool = False


class Left(NamedTuple):
    """What may still happen."""

    ticks: int
    pings: int
    crashes: int
    lost: int
    doubled: int
    cordons: int = 1


class Message(NamedTuple):
    """What passes on a link. All that the writer knew goes with it, as changes go before pings and
    answers."""

    number: int
    sender: str
    holds: bool
    starts: tuple[int, ...]
    counts: bool
    ages: tuple[tuple[str, int], ...] | None  # None: a ping
    starting: tuple[tuple[str, int], ...] = ()


@dataclass
class Rules:
    """Where the variants do something else."""

    fresh: type[Freshness] = Freshness
    counts_at_once: bool = False
    confirms_before: bool = False  # confirmations count that were written before catching up
    ignores_incarnations: bool = False  # a new start does not take back what the former self confirmed


class Scheduler:
    """One scheduler; never changed once `seal` has fixed what tells it from others."""

    __slots__ = ("accept", "fresh", "holds", "mark", "name", "starts")

    def __init__(
        self, name: str, fresh: Freshness, accept: Acceptance, holds: bool, starts: list[int]
    ) -> None:
        self.name = name
        self.fresh = fresh
        self.accept = accept
        self.holds = holds
        self.starts = starts
        self.mark = 0

    def clone(self) -> "Scheduler":
        fresh, accept = copy(self.fresh), copy(self.accept)
        pending = fresh._pending_pings.items()
        fresh._pending_pings = {partner: copy(pings) for partner, pings in pending if pings}
        fresh._counting_moments = fresh._counting_moments.copy()
        fresh._starting_moments = fresh._starting_moments.copy()
        fresh._introduced_us, fresh._incarnations = fresh._introduced_us.copy(), fresh._incarnations.copy()
        accept._incarnations = accept._incarnations.copy()
        accept._changes = {
            stamp: replace(change, confirmed_by=change.confirmed_by.copy())
            for stamp, change in accept._changes.items()
        }
        return Scheduler(self.name, fresh, accept, self.holds, self.starts.copy())

    def seal(self) -> None:
        fresh = self.fresh
        tables = (fresh._counting_moments, fresh._starting_moments, fresh._introduced_us)
        self.mark = hash(
            (
                self.holds,
                fresh.caught_up,
                tuple(self.starts),
                tuple(frozenset(one.items()) for one in tables),
                frozenset((partner, *pings) for partner, pings in fresh._pending_pings.items() if pings),
                tuple(
                    (change.accepted_us, frozenset(change.confirmed_by.items()))
                    for change in self.accept._changes.values()
                ),
            )
        )


class State:
    """All schedulers, what is on the links between them, and what is left of the budget."""

    __slots__ = ("accepted_us", "before", "left", "links", "nodes", "now_us", "numbers", "step")

    def __init__(
        self,
        now_us: int,
        left: Left,
        nodes: tuple[Scheduler, ...],
        links: tuple[tuple[Message, ...], ...],
        numbers: tuple[int, ...],
    ) -> None:
        self.now_us = now_us
        self.left = left
        self.nodes = nodes
        self.links = links  # what is written and not yet read, in the order of `Explorer.pairs`
        self.numbers = numbers  # of the latest ping on each link
        self.accepted_us: int | None = None
        self.before: State | None = None
        self.step = ""

    def key(self) -> int:
        marks = tuple(node.mark for node in self.nodes)
        return hash((self.now_us, self.left, self.accepted_us, marks, self.links, self.numbers))

    def path(self) -> list[str]:
        """The steps that led here."""
        steps, at = [], self
        while at.before is not None:
            steps.append(f"{at.before.now_us} us: {at.step}")
            at = at.before
        return steps[::-1]


class Found(NamedTuple):
    """What a search came to. ``broken``: the state in which the bound does not hold, if there is one."""

    states: int
    accepted: int
    broken: State | None


class Explorer:
    """The moves from each state, and the search over them."""

    def __init__(self, budget: Budget, rules: Rules) -> None:
        self.budget = budget
        self.rules = rules
        self.names = budget.names
        self.pairs: list[Link] = list(itertools.permutations(budget.names, 2))
        self.pinging = [i for i, (a, b) in enumerate(self.pairs) if not budget.pairs or a + b in budget.pairs]
        self.back = [self.pairs.index((b, a)) for a, b in self.pairs]

    def first(self) -> State:
        ones = [1] * len(self.names)
        nodes = tuple(self._new(name, ones, caught_up=True) for name in self.names)
        budget = self.budget
        left = Left(budget.ticks, budget.pings, budget.crashes, budget.lost, budget.doubled)
        return State(0, left, nodes, ((),) * len(self.pairs), (0,) * len(self.pairs))

    def search(self) -> Found:
        """Breadth first, so that the way to a broken state is a shortest one."""
        first = self.first()
        seen, wave, accepted = {first.key()}, [first], 0
        while wave:
            following = []
            for state in wave:
                for found in self.moves(state):
                    key = found.key()
                    if key in seen:
                        continue
                    seen.add(key)
                    accepted += found.accepted_us is not None
                    if self.broken(found):
                        return Found(len(seen), accepted, found)
                    if not self._harmless(found):
                        following.append(found)
            wave = following
        return Found(len(seen), accepted, None)

    def broken(self, state: State) -> bool:
        """Whether somebody may send who does not know of a cordon accepted longer than the bound ago."""
        if state.accepted_us is None or state.now_us - state.accepted_us <= BOUND_US:
            return False
        return any(not node.holds and node.fresh.holds_lease(state.now_us) for node in state.nodes)

    def _harmless(self, state: State) -> bool:
        """Whether nothing that may follow can break the bound: too little time is left, or all know."""
        accepted_us = state.now_us if state.accepted_us is None else state.accepted_us
        if state.now_us + state.left.ticks * TICK_US - accepted_us <= BOUND_US:
            return True
        return not state.left.crashes and all(node.holds for node in state.nodes)

    def moves(self, state: State) -> Iterator[State]:
        left = state.left
        if left.ticks:
            later = self._next(state, "time goes on", left._replace(ticks=left.ticks - 1))
            later.now_us += TICK_US
            yield later
        if left.cordons:
            yield self._cordon(state, left._replace(cordons=0))
        for at, messages in enumerate(state.links):
            if messages:
                yield self._deliver(state, at)
                if left.lost:
                    lost = self._next(state, f"lost {self.pairs[at]}", left._replace(lost=left.lost - 1))
                    lost.links = _put(state.links, at, messages[1:])
                    yield lost
                if left.doubled:
                    step = f"doubled {self.pairs[at]}"
                    doubled = self._next(state, step, left._replace(doubled=left.doubled - 1))
                    doubled.links = _put(state.links, at, (messages[0], *messages))
                    yield doubled
        if left.pings:
            fewer = left._replace(pings=left.pings - 1)
            for at in self.pinging:
                if state.numbers[at] < self.budget.each:
                    sent = self._ping(state, at, fewer)
                    yield self._exchange(sent, at) if self.budget.prompt else sent
        if left.crashes:
            for at in (self.names.index(name) for name in self.budget.crashing):
                yield self._crash(state, at, left._replace(crashes=left.crashes - 1))

    def _new(self, name: str, starts: list[int], caught_up: bool) -> Scheduler:
        fresh = self.rules.fresh(name, self.names, BOUND_US)
        fresh.caught_up = caught_up
        for peer, start in zip(self.names, starts, strict=True):
            fresh.started(peer, start)
        node = Scheduler(name, fresh, Acceptance(fresh.quorum), False, starts)
        node.seal()
        return node

    def _next(self, state: State, step: str, left: Left) -> State:
        following = State(state.now_us, left, state.nodes, state.links, state.numbers)
        following.accepted_us = state.accepted_us
        following.before = state
        following.step = step
        return following

    def _cordon(self, state: State, left: Left) -> State:
        node = state.nodes[0].clone()
        node.holds = True
        node.accept.track(state.now_us, CORDON)
        following = self._next(state, f"cordon at {node.name}", left)
        self._confirm_own(following, node)
        return self._with(following, node)

    def _ping(self, state: State, at: int, left: Left) -> State:
        link = self.pairs[at]
        node = state.nodes[self.names.index(link[0])].clone()
        number = state.numbers[at] + 1
        node.fresh.pinged(state.now_us, link[1], number)
        following = self._next(state, f"ping {number} {link}", left)
        following.links = _put(state.links, at, (*state.links[at], self._message(node, number)))
        following.numbers = _put(state.numbers, at, number)
        return self._with(following, node)

    def _exchange(self, sent: State, at: int) -> State:
        done = self._deliver(self._deliver(sent, at), self.back[at])
        done.before, done.step = sent.before, f"{sent.step} and its answer arrive"
        return done

    def _message(self, node: Scheduler, number: int, answer_us: int | None = None) -> Message:
        ages = starting = None
        if answer_us is not None:
            ages = tuple(sorted(node.fresh.ages(answer_us).items()))
            starting = tuple(sorted(node.fresh.starting_ages(answer_us).items()))
        counts = node.fresh.caught_up or self.rules.confirms_before
        return Message(number, node.name, node.holds, tuple(node.starts), counts, ages, starting or ())

    def _deliver(self, state: State, at: int) -> State:
        message = state.links[at][0]
        link = self.pairs[at]
        node = state.nodes[self.names.index(link[1])].clone()
        what = "ping" if message.ages is None else "answer"
        following = self._next(state, f"{what} {message.number} arrives {link}", state.left)
        following.links = _put(state.links, at, state.links[at][1:])
        now_us = state.now_us
        node.holds |= message.holds
        for index, start in enumerate(message.starts):
            if start > node.starts[index]:
                node.starts[index] = start
                if self.names[index] != node.name:
                    node.fresh.started(self.names[index], start)
                    if not self.rules.ignores_incarnations:
                        node.accept.started(self.names[index], start)
        sender, start = message.sender, message.starts[self.names.index(message.sender)]
        if message.ages is not None:
            node.fresh.answered(now_us, sender, message.number, dict(message.ages), dict(message.starting))
            if not node.fresh.caught_up and node.fresh.may_catch_up():
                node.fresh.caught_up = True
        if message.holds and message.counts and node.accept.confirmed(now_us, sender, start, CORDON):
            following.accepted_us = now_us
        self._confirm_own(following, node)
        if message.ages is None:
            back = self.back[at]
            answer = self._message(node, message.number, now_us)
            following.links = _put(following.links, back, (*following.links[back], answer))
        return self._with(following, node)

    def _confirm_own(self, state: State, node: Scheduler) -> None:
        start = node.starts[self.names.index(node.name)]
        counts = node.fresh.caught_up or self.rules.confirms_before
        if counts and node.accept.confirmed(state.now_us, node.name, start, CORDON):
            state.accepted_us = state.now_us

    def _crash(self, state: State, at: int, left: Left) -> State:
        """It comes back at once: what happens before it says something makes no difference to the others."""
        name, starts = self.names[at], [0] * len(self.names)
        starts[at] = state.nodes[at].starts[at] + 1
        following = self._next(state, f"crash and start of {name}", left)
        following.links = tuple(
            () if name in link else one for link, one in zip(self.pairs, state.links, strict=True)
        )
        following.nodes = _put(state.nodes, at, self._new(name, starts, self.rules.counts_at_once))
        return following

    def _with(self, state: State, node: Scheduler) -> State:
        node.seal()
        state.nodes = _put(state.nodes, self.names.index(node.name), node)
        return state


def _put(values: tuple[Value, ...], at: int, value: Value) -> tuple[Value, ...]:
    return (*values[:at], value, *values[at + 1 :])


class FromArrival(Freshness):
    """Wrong: the lease counts from when the answer came in."""

    def answered(
        self,
        mono_us: int,
        partner: str,
        number: int,
        ages_us: Mapping[str, int],
        starting_us: Mapping[str, int] | None = None,
    ) -> None:
        if any(one == number for one, _ in self._pending_pings.get(partner, ())):
            self._pending_pings[partner].append((-number, mono_us))
            super().answered(mono_us, partner, -number, ages_us, starting_us)


class AnyNumber(Freshness):
    """Wrong: an answer is taken for that to the latest ping."""

    def answered(
        self,
        mono_us: int,
        partner: str,
        number: int,
        ages_us: Mapping[str, int],
        starting_us: Mapping[str, int] | None = None,
    ) -> None:
        if self._pending_pings.get(partner):
            super().answered(mono_us, partner, self._pending_pings[partner][-1][0], ages_us, starting_us)


class OneLess(Freshness):
    """Wrong: one scheduler less than a majority."""

    def _find_majority_moment(self) -> int | None:
        moments = sorted(self._counting_moments.values(), reverse=True)
        needed = len(self._names) // 2 - self._caught_up
        return moments[needed - 1] if 0 < needed <= len(moments) else None if needed else 1 << 62


class AgesUnread(Freshness):
    """Wrong: what a partner passes on of others is taken for as fresh as the partner itself."""

    def answered(
        self,
        mono_us: int,
        partner: str,
        number: int,
        ages_us: Mapping[str, int],
        starting_us: Mapping[str, int] | None = None,
    ) -> None:
        super().answered(mono_us, partner, number, dict.fromkeys(ages_us, 0), starting_us)


class OneIsEnough(Freshness):
    """Wrong: caught up once one other has told what it knows."""

    def may_catch_up(self) -> bool:
        return bool(self._counting_moments)


PLANS: Mapping[str, Budget] = {
    "late": Budget(pairs=("ab", "cb", "bc"), each=2),
    "lost": Budget(pairs=("ab", "cb"), lost=1, doubled=1),
    "crash": Budget(pairs=("ac", "bc", "cb"), crashes=1, each=2),
    "relayed": Budget("abcde", ("ab", "ac", "ec", "de"), pings=4, each=1),
    "memory": Budget("abcde", ("ab", "ac", "cb", "cd", "ce"), 2, 5, 2, each=1, crashing="bc", prompt=True),
}
"""What is searched in seconds."""

LARGE: Mapping[str, Budget] = {
    "all": Budget(lost=1, doubled=1, crashes=1, crashing="abc"),
    "pings": Budget(pings=4),
    "four": Budget("abcd", ("ab", "ac", "dc", "db", "da"), pings=4, lost=1),
    "crash": Budget(pings=4, crashes=1, crashing="abc"),
    "memory": Budget(
        "abcde", ("ab", "ac", "cb", "cd", "ce", "dc", "de"), 2, 7, 2, each=1, crashing="bc", prompt=True
    ),
    "five": Budget("abcde", (), 2, 5, 2, crashing="abcde", prompt=True),
}
"""What is searched in many minutes."""

VARIANTS: Mapping[str, tuple[str, Callable[[], Rules]]] = {
    "from-arrival": ("late", lambda: Rules(FromArrival)),
    "any-number": ("late", lambda: Rules(AnyNumber)),
    "one-less": ("late", lambda: Rules(OneLess)),
    "ages-unread": ("relayed", lambda: Rules(AgesUnread)),
    "counts-at-once": ("crash", lambda: Rules(counts_at_once=True)),
    "one-is-enough": ("crash", lambda: Rules(OneIsEnough)),
    "forgets-starts": ("memory", lambda: Rules(ignores_incarnations=True)),
    "confirms-before": ("memory", lambda: Rules(confirms_before=True)),
}
"""Each with one thing done wrongly, and the plan within which that is found."""


def main() -> None:
    """Search plans, or each variant; exit code 1 if the bound breaks, or a variant is not found."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--plan", choices=sorted(PLANS), help="one of them only")
    parser.add_argument("--large", action="store_true", help="the large plans, which take many minutes")
    parser.add_argument("--variants", action="store_true", help="search each variant; each must be found")
    told = parser.parse_args()
    searches: list[tuple[str, Budget, Rules]] = []
    if told.variants:
        searches = [(name, PLANS[plan], rules()) for name, (plan, rules) in VARIANTS.items()]
    else:
        plans = LARGE if told.large else PLANS
        searches = [(name, plans[name], Rules()) for name in plans if told.plan in (None, name)]
    right = True
    for name, budget, rules in searches:
        began = time.perf_counter()
        found = Explorer(budget, rules).search()
        took = time.perf_counter() - began
        verdict = "the bound holds" if found.broken is None else "BROKEN"
        print(
            f"{name}: {verdict}; {found.states} states, {found.accepted} of them accepted; {took:.1f} s",
            flush=True,
        )
        if found.broken is not None:
            print("   " + "\n   ".join(found.broken.path()))
        right &= (found.broken is None) != told.variants
    sys.exit(not right)


if __name__ == "__main__":
    main()
