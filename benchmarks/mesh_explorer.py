"""Model checker of the mesh: checks the bound in every order of events within a budget.

    .venv/bin/python -m benchmarks.mesh_explorer [--plan NAME] [--large] [--variants]

The explorer searches, breadth first, the states of the real `Freshness` and `Acceptance` of a few schedulers.
A cordon is set at one scheduler. Schedulers ping each other at any time; messages on their ordered links are
delivered, lost, duplicated, or delayed while time passes (which models a partition and its end); schedulers
crash and restart without memory. The budget limits the number of events of each kind, so the search
terminates; within the budget, every order is explored. In each state, every scheduler that holds a lease is
assumed to send jobs. A variant contains one deliberate fault; the search must find it, which shows that the
search covers the relevant states.
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
BOUND_US = 1_500  # one tick and a margin for the clock-rate allowances, one for each relay of an age
CORDON = Stamp(1, 0, "a", 1)

Link = tuple[str, str]
Value = TypeVar("Value")


class Budget(NamedTuple):
    """Limits of a search. ``names``: the schedulers, one letter each; the first one sets the cordon.

    ``ticks``, ``pings``, ``crashes``, ``losses``, ``duplicates``: the maximum number of these events.
    ``ping_links``: the links on which pings may be sent ("ab": a pings b); empty: all links.
    ``pings_per_link``: the maximum number of pings on each. ``may_crash``: the schedulers that may crash.
    ``atomic_exchanges``: a ping, its delivery and that of its answer are one step, so that a search of the
    same duration covers more events.
    """

    names: str = "abc"
    ping_links: tuple[str, ...] = ()
    ticks: int = 3
    pings: int = 3
    crashes: int = 0
    losses: int = 0
    duplicates: int = 0
    pings_per_link: int = 9
    may_crash: str = "c"
    atomic_exchanges: bool = False


class RemainingBudget(NamedTuple):
    """The numbers of events that may still happen in a state."""

    ticks: int
    pings: int
    crashes: int
    losses: int
    duplicates: int
    cordons: int = 1


class Message(NamedTuple):
    """A ping or an answer, together with everything that its writer knew.

    On a real link, the writer sends all its changes before a ping or an answer. ``confirms``: whether the
    writer's confirmation of the change counts. ``ages``: None for a ping.
    """

    number: int
    sender: str
    has_change: bool
    incarnations: tuple[int, ...]
    confirms: bool
    ages: tuple[tuple[str, int], ...] | None
    starting_ages: tuple[tuple[str, int], ...] = ()


@dataclass
class Rules:
    """The rules of the mesh that the search applies.

    The defaults are those of the real program. A variant sets one of them to a deliberate fault.
    """

    freshness: type[Freshness] = Freshness
    counts_before_catch_up: bool = False  # a restarted scheduler counts for majorities at once
    confirms_before_catch_up: bool = False  # confirmations written before the writer caught up count
    ignores_incarnations: bool = False  # a restart does not invalidate earlier confirmations


class Scheduler:
    """The state of one scheduler. Immutable after `seal`, which computes the fingerprint of the state."""

    __slots__ = ("acceptance", "fingerprint", "freshness", "has_change", "incarnations", "name")

    def __init__(
        self,
        name: str,
        freshness: Freshness,
        acceptance: Acceptance,
        has_change: bool,
        incarnations: list[int],
    ) -> None:
        self.name = name
        self.freshness = freshness
        self.acceptance = acceptance
        self.has_change = has_change
        self.incarnations = incarnations
        self.fingerprint = 0

    def clone(self) -> "Scheduler":
        freshness, acceptance = copy(self.freshness), copy(self.acceptance)
        pending = freshness._pending_pings.items()
        freshness._pending_pings = {partner: copy(pings) for partner, pings in pending if pings}
        freshness._counting_moments = freshness._counting_moments.copy()
        freshness._starting_moments = freshness._starting_moments.copy()
        freshness._introduced_us, freshness._incarnations = (
            freshness._introduced_us.copy(),
            freshness._incarnations.copy(),
        )
        acceptance._incarnations = acceptance._incarnations.copy()
        acceptance._changes = {
            stamp: replace(change, confirmed_by=change.confirmed_by.copy())
            for stamp, change in acceptance._changes.items()
        }
        return Scheduler(self.name, freshness, acceptance, self.has_change, self.incarnations.copy())

    def seal(self) -> None:
        freshness = self.freshness
        moments = (freshness._counting_moments, freshness._starting_moments, freshness._introduced_us)
        self.fingerprint = hash(
            (
                self.has_change,
                freshness.caught_up,
                tuple(self.incarnations),
                tuple(frozenset(by_peer.items()) for by_peer in moments),
                frozenset((partner, *pings) for partner, pings in freshness._pending_pings.items() if pings),
                tuple(
                    (change.accepted_us, frozenset(change.confirmed_by.items()))
                    for change in self.acceptance._changes.values()
                ),
            )
        )


class State:
    """The state of all schedulers, the messages on their links, and the remaining budget."""

    __slots__ = (
        "accepted_us",
        "in_transit",
        "nodes",
        "now_us",
        "ping_numbers",
        "previous",
        "remaining",
        "step",
    )

    def __init__(
        self,
        now_us: int,
        remaining: RemainingBudget,
        nodes: tuple[Scheduler, ...],
        in_transit: tuple[tuple[Message, ...], ...],
        ping_numbers: tuple[int, ...],
    ) -> None:
        self.now_us = now_us
        self.remaining = remaining
        self.nodes = nodes
        self.in_transit = in_transit  # messages written and not yet read, by index in `Explorer.links`
        self.ping_numbers = ping_numbers  # the number of the latest ping on each link
        self.accepted_us: int | None = None
        self.previous: State | None = None
        self.step = ""

    def key(self) -> int:
        fingerprints = tuple(node.fingerprint for node in self.nodes)
        return hash(
            (self.now_us, self.remaining, self.accepted_us, fingerprints, self.in_transit, self.ping_numbers)
        )

    def path(self) -> list[str]:
        """Return the steps that led from the initial state to this one."""
        steps, state = [], self
        while state.previous is not None:
            steps.append(f"{state.previous.now_us} us: {state.step}")
            state = state.previous
        return steps[::-1]


class SearchResult(NamedTuple):
    """The outcome of a search.

    ``states``: number of states explored; ``accepted``: number of those in which the cordon was accepted;
    ``violation``: the first state found that violates a guarantee, if there is one.
    """

    states: int
    accepted: int
    violation: State | None


class Explorer:
    """Generates the successors of each state, and searches all states that are reachable."""

    def __init__(self, budget: Budget, rules: Rules) -> None:
        self.budget = budget
        self.rules = rules
        self.names = budget.names
        self.links: list[Link] = list(itertools.permutations(budget.names, 2))
        self.ping_link_indices = [
            i for i, (a, b) in enumerate(self.links) if not budget.ping_links or a + b in budget.ping_links
        ]
        self.reverse_links = [self.links.index((b, a)) for a, b in self.links]

    def initial_state(self) -> State:
        incarnations = [1] * len(self.names)
        nodes = tuple(self._create_scheduler(name, incarnations, caught_up=True) for name in self.names)
        budget = self.budget
        remaining = RemainingBudget(
            budget.ticks, budget.pings, budget.crashes, budget.losses, budget.duplicates
        )
        return State(0, remaining, nodes, ((),) * len(self.links), (0,) * len(self.links))

    def search(self) -> SearchResult:
        """Search breadth first, so that the path to a violation is a shortest one."""
        initial = self.initial_state()
        seen, frontier, accepted = {initial.key()}, [initial], 0
        while frontier:
            next_frontier = []
            for state in frontier:
                for successor in self.successors(state):
                    key = successor.key()
                    if key in seen:
                        continue
                    seen.add(key)
                    accepted += successor.accepted_us is not None
                    if self.is_violation(successor):
                        return SearchResult(len(seen), accepted, successor)
                    if not self._can_be_pruned(successor):
                        next_frontier.append(successor)
            frontier = next_frontier
        return SearchResult(len(seen), accepted, None)

    def is_violation(self, state: State) -> bool:
        """Whether a scheduler may send jobs without knowing a cordon accepted longer than the bound ago."""
        if state.accepted_us is None or state.now_us - state.accepted_us <= BOUND_US:
            return False
        return any(not node.has_change and node.freshness.holds_lease(state.now_us) for node in state.nodes)

    def _can_be_pruned(self, state: State) -> bool:
        """Whether no later state can violate the bound.

        Either too few ticks remain, or all schedulers know the cordon and none can lose it in a crash.
        """
        accepted_us = state.now_us if state.accepted_us is None else state.accepted_us
        if state.now_us + state.remaining.ticks * TICK_US - accepted_us <= BOUND_US:
            return True
        return not state.remaining.crashes and all(node.has_change for node in state.nodes)

    def successors(self, state: State) -> Iterator[State]:
        remaining = state.remaining
        if remaining.ticks:
            later = self._successor(state, "one tick passes", remaining._replace(ticks=remaining.ticks - 1))
            later.now_us += TICK_US
            yield later
        if remaining.cordons:
            yield self._set_cordon(state, remaining._replace(cordons=0))
        for index, messages in enumerate(state.in_transit):
            if messages:
                yield self._deliver(state, index)
                if remaining.losses:
                    lost = self._successor(
                        state,
                        f"message lost {self.links[index]}",
                        remaining._replace(losses=remaining.losses - 1),
                    )
                    lost.in_transit = _replace_at(state.in_transit, index, messages[1:])
                    yield lost
                if remaining.duplicates:
                    step = f"message duplicated {self.links[index]}"
                    duplicated = self._successor(
                        state, step, remaining._replace(duplicates=remaining.duplicates - 1)
                    )
                    duplicated.in_transit = _replace_at(state.in_transit, index, (messages[0], *messages))
                    yield duplicated
        if remaining.pings:
            after_ping = remaining._replace(pings=remaining.pings - 1)
            for index in self.ping_link_indices:
                if state.ping_numbers[index] < self.budget.pings_per_link:
                    sent = self._ping(state, index, after_ping)
                    yield self._exchange(sent, index) if self.budget.atomic_exchanges else sent
        if remaining.crashes:
            for index in (self.names.index(name) for name in self.budget.may_crash):
                yield self._crash(state, index, remaining._replace(crashes=remaining.crashes - 1))

    def _create_scheduler(self, name: str, incarnations: list[int], caught_up: bool) -> Scheduler:
        freshness = self.rules.freshness(name, self.names, BOUND_US)
        freshness.caught_up = caught_up
        for peer, incarnation in zip(self.names, incarnations, strict=True):
            freshness.started(peer, incarnation)
        node = Scheduler(name, freshness, Acceptance(freshness.quorum), False, incarnations)
        node.seal()
        return node

    def _successor(self, state: State, step: str, remaining: RemainingBudget) -> State:
        successor = State(state.now_us, remaining, state.nodes, state.in_transit, state.ping_numbers)
        successor.accepted_us = state.accepted_us
        successor.previous = state
        successor.step = step
        return successor

    def _set_cordon(self, state: State, remaining: RemainingBudget) -> State:
        node = state.nodes[0].clone()
        node.has_change = True
        node.acceptance.track(state.now_us, CORDON)
        successor = self._successor(state, f"cordon at {node.name}", remaining)
        self._confirm_own(successor, node)
        return self._with_node(successor, node)

    def _ping(self, state: State, index: int, remaining: RemainingBudget) -> State:
        link = self.links[index]
        node = state.nodes[self.names.index(link[0])].clone()
        number = state.ping_numbers[index] + 1
        node.freshness.pinged(state.now_us, link[1], number)
        successor = self._successor(state, f"ping {number} {link}", remaining)
        successor.in_transit = _replace_at(
            state.in_transit, index, (*state.in_transit[index], self._create_message(node, number))
        )
        successor.ping_numbers = _replace_at(state.ping_numbers, index, number)
        return self._with_node(successor, node)

    def _exchange(self, sent: State, index: int) -> State:
        done = self._deliver(self._deliver(sent, index), self.reverse_links[index])
        done.previous, done.step = sent.previous, f"{sent.step} and its answer arrive"
        return done

    def _create_message(self, node: Scheduler, number: int, answer_us: int | None = None) -> Message:
        ages = starting_ages = None
        if answer_us is not None:
            ages = tuple(sorted(node.freshness.ages(answer_us).items()))
            starting_ages = tuple(sorted(node.freshness.starting_ages(answer_us).items()))
        confirms = node.freshness.caught_up or self.rules.confirms_before_catch_up
        return Message(
            number, node.name, node.has_change, tuple(node.incarnations), confirms, ages, starting_ages or ()
        )

    def _deliver(self, state: State, index: int) -> State:
        message = state.in_transit[index][0]
        link = self.links[index]
        node = state.nodes[self.names.index(link[1])].clone()
        kind = "ping" if message.ages is None else "answer"
        successor = self._successor(state, f"{kind} {message.number} arrives {link}", state.remaining)
        successor.in_transit = _replace_at(state.in_transit, index, state.in_transit[index][1:])
        now_us = state.now_us
        node.has_change |= message.has_change
        for peer_index, incarnation in enumerate(message.incarnations):
            if incarnation > node.incarnations[peer_index]:
                node.incarnations[peer_index] = incarnation
                if self.names[peer_index] != node.name:
                    node.freshness.started(self.names[peer_index], incarnation)
                    if not self.rules.ignores_incarnations:
                        node.acceptance.started(self.names[peer_index], incarnation)
        sender, incarnation = message.sender, message.incarnations[self.names.index(message.sender)]
        if message.ages is not None:
            node.freshness.answered(
                now_us, sender, message.number, dict(message.ages), dict(message.starting_ages)
            )
            if not node.freshness.caught_up and node.freshness.may_catch_up():
                node.freshness.caught_up = True
        if (
            message.has_change
            and message.confirms
            and node.acceptance.confirmed(now_us, sender, incarnation, CORDON)
        ):
            successor.accepted_us = now_us
        self._confirm_own(successor, node)
        if message.ages is None:
            reverse = self.reverse_links[index]
            answer = self._create_message(node, message.number, now_us)
            successor.in_transit = _replace_at(
                successor.in_transit, reverse, (*successor.in_transit[reverse], answer)
            )
        return self._with_node(successor, node)

    def _confirm_own(self, state: State, node: Scheduler) -> None:
        incarnation = node.incarnations[self.names.index(node.name)]
        confirms = node.freshness.caught_up or self.rules.confirms_before_catch_up
        if confirms and node.acceptance.confirmed(state.now_us, node.name, incarnation, CORDON):
            state.accepted_us = state.now_us

    def _crash(self, state: State, index: int, remaining: RemainingBudget) -> State:
        """Crash a scheduler and restart it without memory in one step.

        A longer outage makes no difference to the other schedulers: they learn of the restart only from the
        first message of the restarted scheduler.
        """
        name, incarnations = self.names[index], [0] * len(self.names)
        incarnations[index] = state.nodes[index].incarnations[index] + 1
        successor = self._successor(state, f"crash and start of {name}", remaining)
        successor.in_transit = tuple(
            () if name in link else messages
            for link, messages in zip(self.links, state.in_transit, strict=True)
        )
        successor.nodes = _replace_at(
            state.nodes, index, self._create_scheduler(name, incarnations, self.rules.counts_before_catch_up)
        )
        return successor

    def _with_node(self, state: State, node: Scheduler) -> State:
        node.seal()
        state.nodes = _replace_at(state.nodes, self.names.index(node.name), node)
        return state


def _replace_at(values: tuple[Value, ...], index: int, value: Value) -> tuple[Value, ...]:
    return (*values[:index], value, *values[index + 1 :])


class LeaseFromArrival(Freshness):
    """Fault: the lease counts from the arrival of an answer, not from the writing of its ping."""

    def answered(
        self,
        mono_us: int,
        partner: str,
        number: int,
        ages_us: Mapping[str, int],
        starting_us: Mapping[str, int] | None = None,
    ) -> None:
        if any(pending == number for pending, _ in self._pending_pings.get(partner, ())):
            self._pending_pings[partner].append((-number, mono_us))
            super().answered(mono_us, partner, -number, ages_us, starting_us)


class IgnoresNumbers(Freshness):
    """Fault: every answer is treated as the answer to the latest ping."""

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


class OneBelowMajority(Freshness):
    """Fault: the lease requires one scheduler less than a majority."""

    def _find_majority_moment(self) -> int | None:
        moments = sorted(self._counting_moments.values(), reverse=True)
        needed = len(self._names) // 2 - self._caught_up
        return moments[needed - 1] if 0 < needed <= len(moments) else None if needed else 1 << 62


class IgnoresAges(Freshness):
    """Fault: knowledge that a partner relays from others is treated as being as recent as its own."""

    def answered(
        self,
        mono_us: int,
        partner: str,
        number: int,
        ages_us: Mapping[str, int],
        starting_us: Mapping[str, int] | None = None,
    ) -> None:
        super().answered(mono_us, partner, number, dict.fromkeys(ages_us, 0), starting_us)


class CatchesUpFromOne(Freshness):
    """Fault: a scheduler counts as caught up once it knows the state of one other scheduler."""

    def may_catch_up(self) -> bool:
        return bool(self._counting_moments)


PLANS: Mapping[str, Budget] = {
    "late": Budget(ping_links=("ab", "cb", "bc"), pings_per_link=2),
    "lost": Budget(ping_links=("ab", "cb"), losses=1, duplicates=1),
    "crash": Budget(ping_links=("ac", "bc", "cb"), crashes=1, pings_per_link=2),
    "relayed": Budget("abcde", ("ab", "ac", "ec", "de"), pings=4, pings_per_link=1),
    "memory": Budget(
        "abcde",
        ("ab", "ac", "cb", "cd", "ce"),
        2,
        5,
        2,
        pings_per_link=1,
        may_crash="bc",
        atomic_exchanges=True,
    ),
}
"""Searches that take seconds.

"late": messages are delayed; "lost": they are lost and duplicated; "crash": a scheduler restarts without
memory; "relayed": knowledge passes through several schedulers; "memory": two of five schedulers lose their
memory.
"""

LARGE: Mapping[str, Budget] = {
    "all": Budget(losses=1, duplicates=1, crashes=1, may_crash="abc"),
    "pings": Budget(pings=4),
    "four": Budget("abcd", ("ab", "ac", "dc", "db", "da"), pings=4, losses=1),
    "crash": Budget(pings=4, crashes=1, may_crash="abc"),
    "memory": Budget(
        "abcde",
        ("ab", "ac", "cb", "cd", "ce", "dc", "de"),
        2,
        7,
        2,
        pings_per_link=1,
        may_crash="bc",
        atomic_exchanges=True,
    ),
    "five": Budget("abcde", (), 2, 5, 2, may_crash="abcde", atomic_exchanges=True),
}
"""Searches that take many minutes."""

VARIANTS: Mapping[str, tuple[str, Callable[[], Rules]]] = {
    "lease-from-arrival": ("late", lambda: Rules(LeaseFromArrival)),
    "ignores-numbers": ("late", lambda: Rules(IgnoresNumbers)),
    "one-below-majority": ("late", lambda: Rules(OneBelowMajority)),
    "ignores-ages": ("relayed", lambda: Rules(IgnoresAges)),
    "counts-before-catch-up": ("crash", lambda: Rules(counts_before_catch_up=True)),
    "catches-up-from-one": ("crash", lambda: Rules(CatchesUpFromOne)),
    "ignores-incarnations": ("memory", lambda: Rules(ignores_incarnations=True)),
    "confirms-before-catch-up": ("memory", lambda: Rules(confirms_before_catch_up=True)),
}
"""Rules with one fault each, and the plan whose search finds the fault."""


def main() -> None:
    """Search plans or variants. The exit code is 1 if a plan violates the bound or a variant does not."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--plan", choices=sorted(PLANS), help="search this plan alone")
    parser.add_argument(
        "--large", action="store_true", help="search the large plans, which take many minutes"
    )
    parser.add_argument(
        "--variants", action="store_true", help="search each variant; the fault of each must be found"
    )
    options = parser.parse_args()
    searches: list[tuple[str, Budget, Rules]] = []
    if options.variants:
        searches = [(name, PLANS[plan], rules()) for name, (plan, rules) in VARIANTS.items()]
    else:
        plans = LARGE if options.large else PLANS
        searches = [(name, plans[name], Rules()) for name in plans if options.plan in (None, name)]
    as_expected = True
    for name, budget, rules in searches:
        start_s = time.perf_counter()
        result = Explorer(budget, rules).search()
        elapsed_s = time.perf_counter() - start_s
        verdict = "the bound holds" if result.violation is None else "BROKEN"
        print(
            f"{name}: {verdict}; {result.states} states, {result.accepted} of them with the cordon accepted;"
            f" {elapsed_s:.1f} s",
            flush=True,
        )
        if result.violation is not None:
            print("   " + "\n   ".join(result.violation.path()))
        as_expected &= (result.violation is None) != options.variants
    sys.exit(not as_expected)


if __name__ == "__main__":
    main()
