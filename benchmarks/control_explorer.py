"""Model checker of the control group with ``on_lost: hold``, in every order of events within limits.

    .venv/bin/python -m benchmarks.control_explorer [--plan NAME] [--large] [--variants]

The voters are those of `benchmarks.mesh_explorer`: the real `Freshness` and `Acceptance`, with pings, answers
and restarts without memory. This module adds observers with the real `ObserverLease`: heartbeats and replies
on ordered links, which may be delayed while time passes; the failover to another voter, in which observer and
voter send each other their state; the crash of an observer; and a change of the list of voters. Two rules are
checked in each state: no observer with a valid lease lacks a change that was accepted longer than the bound
ago; and no observer loses a change or moves the time of its lease back. A variant contains one deliberate
fault; the search must find it, which shows that the search covers the relevant states.
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
    OneBelowMajority,
    RemainingBudget,
    Rules,
    Scheduler,
    SearchResult,
    State,
)
from robinhill.control.lease import ObserverLease, SentHeartbeat
from robinhill.mesh.acceptance import Acceptance
from robinhill.mesh.freshness import Freshness
from robinhill.mesh.quorum import Quorum

Value = TypeVar("Value")

NO_VOTER = -1
"""`Observer.voter` of an observer that is connected to no voter."""


class ControlBudget(NamedTuple):
    """Limits of a search. ``voters``: the voters' budget; its names are all voters of the old and new list.

    ``initial_voters``: the voter of each observer in the initial state. ``heartbeats``, ``failovers``,
    ``observer_crashes``: the maximum number of these events, for all observers together.
    ``atomic_exchanges``: a heartbeat, its delivery and that of its reply are one step. ``old_list``,
    ``new_list``: the lists of voters before and after a change; empty: all voters, and no change.
    """

    voters: Budget
    initial_voters: str = "b"
    heartbeats: int = 2
    atomic_exchanges: bool = False
    failovers: int = 0
    observer_crashes: int = 0
    old_list: str = ""
    new_list: str = ""


class RemainingEvents(NamedTuple):
    """The numbers of observers' events that may still happen in a state."""

    heartbeats: int
    failovers: int
    observer_crashes: int


class Message(NamedTuple):
    """A message between an observer and its voter.

    ``kind``: join (the observer's request), sync (the voter's state), offer (the observer's state), beat (a
    heartbeat) or answer (its reply). ``has_change``: the receiver knows the change once it has the message.
    """

    kind: str
    has_change: bool = False
    number: int = 0
    age_us: int = -1


@dataclass(frozen=True)
class ControlRules:
    """The rules of the control group that the search applies.

    The defaults are those of the real program. A variant sets one of them to a deliberate fault.
    """

    voters: Rules = field(default_factory=Rules)
    lease: type[ObserverLease] = ObserverLease
    accepts_unsynchronized: bool = False  # replies of a new voter count before its state was received
    replaces_state: bool = False  # the state of a new voter replaces the observer's, instead of being merged
    reply_overtakes_changes: bool = False  # a reply arrives before the changes that precede it
    joint_majorities: bool = True  # while the list of voters changes, majorities of both lists are needed
    settles_immediately: bool = False  # a voter drops the old list without a delay


class Observer:
    """The state of one observer. Immutable after `seal`, which computes the fingerprint of the state.

    ``voter``: the index of its voter. ``to_voter``, ``to_observer``: messages written and not yet read.
    """

    __slots__ = ("fingerprint", "has_change", "lease", "synchronized", "to_observer", "to_voter", "voter")

    def __init__(self, lease: ObserverLease, voter: int) -> None:
        self.lease = lease
        self.voter = voter
        self.synchronized = voter != NO_VOTER
        self.has_change = False
        self.to_voter: tuple[Message, ...] = ()
        self.to_observer: tuple[Message, ...] = ()
        self.fingerprint = 0

    def clone(self) -> "Observer":
        other = copy(self)
        other.lease = copy(self.lease)
        other.lease._in_flight = copy(self.lease._in_flight)
        return other

    def seal(self) -> "Observer":
        lease = self.lease
        lease_state = lease.as_of_us, lease._last_number, tuple(lease._in_flight), lease._accepts_replies
        self.fingerprint = hash(
            (lease_state, self.voter, self.synchronized, self.has_change, self.to_voter, self.to_observer)
        )
        return self


class ControlState(State):
    """The state of voters and observers, and the list that each voter uses.

    ``settled``: by voter, whether it has dropped the old list. ``regressed``: an observer has lost a change,
    or the time of its lease has moved back.
    """

    __slots__ = ("observers", "regressed", "reloaded_us", "remaining_events", "settled")

    remaining_events: RemainingEvents
    observers: tuple[Observer, ...]
    reloaded_us: tuple[int, ...]  # when each voter adopted the new list; -1: not yet
    settled: tuple[bool, ...]
    regressed: bool

    def key(self) -> int:
        observers = tuple(observer.fingerprint for observer in self.observers)
        return hash((super().key(), self.remaining_events, observers, self.reloaded_us, self.settled))


class ControlExplorer(Explorer):
    """Generates the events of voters and observers, and those of a change of the voters' list."""

    def __init__(self, budget: ControlBudget, rules: ControlRules) -> None:
        super().__init__(budget.voters, rules.voters)
        self.control_budget = budget
        self.control_rules = rules
        self.old_list = frozenset(budget.old_list or budget.voters.names)
        self.new_list = frozenset(budget.new_list or budget.voters.names)

    def initial_state(self) -> ControlState:
        initial, budget = super().initial_state(), self.control_budget
        state = ControlState(0, initial.remaining, initial.nodes, initial.in_transit, initial.ping_numbers)
        state.nodes = tuple(
            self._create_voter(name, [1] * len(self.names), name in self.old_list, self.old_list)
            for name in self.names
        )
        state.remaining_events = RemainingEvents(budget.heartbeats, budget.failovers, budget.observer_crashes)
        state.observers = tuple(
            self._create_observer(self.names.index(voter)) for voter in budget.initial_voters
        )
        state.reloaded_us = tuple(-1 if name in self.old_list else 0 for name in self.names)
        state.settled = tuple(name not in self.old_list for name in self.names)
        state.regressed = False
        return state

    def _create_observer(self, voter: int) -> Observer:
        lease = self.control_rules.lease(BOUND_US)
        if voter != NO_VOTER:
            lease.accept_replies()
        return Observer(lease, voter).seal()

    def _create_voter(
        self, name: str, incarnations: list[int], caught_up: bool, voter_list: frozenset[str]
    ) -> Scheduler:
        voters = voter_list if name in voter_list else self.new_list
        freshness = self.rules.freshness(name, voters, BOUND_US)
        freshness.caught_up = caught_up
        _set_incarnations(freshness, self.names, incarnations)
        node = Scheduler(name, freshness, Acceptance(freshness.quorum), False, incarnations)
        node.seal()
        return node

    def _successor(self, state: State, step: str, remaining: RemainingBudget) -> ControlState:
        assert isinstance(state, ControlState)
        successor = ControlState(state.now_us, remaining, state.nodes, state.in_transit, state.ping_numbers)
        successor.accepted_us = state.accepted_us
        successor.previous = state
        successor.step = step
        successor.remaining_events = state.remaining_events
        successor.observers = state.observers
        successor.reloaded_us, successor.settled = state.reloaded_us, state.settled
        successor.regressed = state.regressed
        return successor

    # The two rules that are checked

    def is_violation(self, state: State) -> bool:
        assert isinstance(state, ControlState)
        if state.regressed:
            return True
        if state.accepted_us is None or state.now_us - state.accepted_us <= BOUND_US:
            return False
        return any(
            not observer.has_change and observer.lease.is_valid(state.now_us) for observer in state.observers
        )

    def _can_be_pruned(self, state: State) -> bool:
        assert isinstance(state, ControlState)
        if self.control_rules.replaces_state or self.control_rules.lease is not ObserverLease:
            # With these faults, an observer may still lose a change or move its lease back (`regressed`) in
            # states from which the bound can no longer be violated.
            return False
        accepted_us = state.now_us if state.accepted_us is None else state.accepted_us
        if state.now_us + state.remaining.ticks * TICK_US - accepted_us <= BOUND_US:
            return True
        may_crash = state.remaining.crashes or state.remaining_events.observer_crashes
        voters_know = all(node.has_change for node in state.nodes)
        return not may_crash and voters_know and all(observer.has_change for observer in state.observers)

    # Events

    def successors(self, state: State) -> Iterator[State]:
        assert isinstance(state, ControlState)
        yield from super().successors(state)
        for index, observer in enumerate(state.observers):
            yield from self._observer_events(state, index, observer)
        if self.old_list != self.new_list:
            yield from self._list_changes(state)

    def _observer_events(self, state: ControlState, index: int, observer: Observer) -> Iterator[State]:
        remaining_events = state.remaining_events
        if observer.to_voter and observer.voter != NO_VOTER:
            yield self._deliver_to_voter(state, index)
        if observer.to_observer:
            yield self._deliver_to_observer(state, index)
        if (
            remaining_events.heartbeats
            and observer.voter != NO_VOTER
            and (observer.synchronized or self.control_rules.accepts_unsynchronized)
        ):
            yield self._send_heartbeat(state, index)
        if remaining_events.failovers:
            for voter in range(len(self.names)):
                if voter != observer.voter:
                    yield self._fail_over(state, index, voter)
        if remaining_events.observer_crashes:
            crashed = self._with_observer(
                state, f"crash of observer {index}", index, self._create_observer(NO_VOTER)
            )
            crashed.remaining_events = remaining_events._replace(
                observer_crashes=remaining_events.observer_crashes - 1
            )
            yield crashed

    def _send_heartbeat(self, state: ControlState, index: int) -> ControlState:
        observer = state.observers[index].clone()
        number = observer.lease.heartbeat_sent(state.now_us)
        observer.to_voter = (*observer.to_voter, Message("beat", number=number))
        successor = self._with_observer(state, f"observer {index} sends a heartbeat", index, observer)
        successor.remaining_events = state.remaining_events._replace(
            heartbeats=state.remaining_events.heartbeats - 1
        )
        if not self.control_budget.atomic_exchanges:
            return successor
        done = successor
        while done.observers[index].to_voter:
            done = self._deliver_to_voter(done, index)
        while done.observers[index].to_observer:
            done = self._deliver_to_observer(done, index)
        done.previous, done.step = (
            state,
            f"observer {index} sends a heartbeat and reads the reply of {self._voter_name(done, index)}",
        )
        return done

    def _fail_over(self, state: ControlState, index: int, voter: int) -> ControlState:
        observer = state.observers[index].clone()
        observer.lease.reset()
        observer.voter, observer.synchronized = voter, False
        observer.to_voter, observer.to_observer = (Message("join"),), ()
        if self.control_rules.accepts_unsynchronized:
            observer.lease._accepts_replies = True
            observer.to_voter = ()
        successor = self._with_observer(
            state, f"observer {index} moves to {self.names[voter]}", index, observer
        )
        successor.remaining_events = state.remaining_events._replace(
            failovers=state.remaining_events.failovers - 1
        )
        if not self.control_budget.atomic_exchanges or self.control_rules.accepts_unsynchronized:
            return successor
        done = self._deliver_to_voter(
            self._deliver_to_observer(self._deliver_to_voter(successor, index), index), index
        )
        done.previous, done.step = state, f"observer {index} moves to {self.names[voter]} and synchronizes"
        return done

    def _deliver_to_voter(self, state: ControlState, index: int) -> ControlState:
        """Deliver the next message of an observer to its voter."""
        observer = state.observers[index].clone()
        message, observer.to_voter = observer.to_voter[0], observer.to_voter[1:]
        node = state.nodes[observer.voter]
        step = f"{node.name} reads {message.kind} of observer {index}"
        if message.kind == "join":
            observer.to_observer = (*observer.to_observer, Message("sync", node.has_change))
        if message.kind == "beat":
            observer.to_observer = (*observer.to_observer, self._create_reply(state, node, message, observer))
        successor = self._with_observer(state, step, index, observer)
        if message.kind == "offer" and message.has_change and not node.has_change:
            merged = node.clone()
            merged.has_change = True
            self._with_node(successor, merged)
        return successor

    def _create_reply(
        self, state: ControlState, node: Scheduler, message: Message, observer: Observer
    ) -> Message:
        age_us = node.freshness.age_us(state.now_us)
        carries = node.has_change and observer.synchronized and not self.control_rules.reply_overtakes_changes
        return Message("answer", carries, message.number, -1 if age_us is None else age_us)

    def _deliver_to_observer(self, state: ControlState, index: int) -> ControlState:
        """Deliver the next message of its voter to an observer."""
        observer = state.observers[index].clone()
        message, observer.to_observer = observer.to_observer[0], observer.to_observer[1:]
        had_change, as_of_us = observer.has_change, observer.lease.as_of_us
        if message.kind == "sync":
            observer.has_change = (
                message.has_change
                if self.control_rules.replaces_state
                else observer.has_change or message.has_change
            )
            observer.synchronized = True
            observer.lease.accept_replies()
            observer.to_voter = (*observer.to_voter, Message("offer", observer.has_change))
        else:
            observer.has_change |= message.has_change
            observer.lease.reply_received(message.number, message.age_us)
        successor = self._with_observer(state, f"observer {index} reads {message.kind}", index, observer)
        successor.regressed |= had_change and not observer.has_change
        if as_of_us is not None:
            successor.regressed |= observer.lease.as_of_us is None or observer.lease.as_of_us < as_of_us
        return successor

    def _list_changes(self, state: ControlState) -> Iterator[State]:
        for index, name in enumerate(self.names):
            if state.reloaded_us[index] < 0 and name in self.new_list:
                yield self._reload(state, index)
            elif not state.settled[index] and state.reloaded_us[index] >= 0 and self._may_settle(state):
                yield self._settle(state, index)

    def _reload(self, state: ControlState, index: int) -> ControlState:
        node = _with_own_quorum(state.nodes[index])
        if self.control_rules.joint_majorities:
            node.freshness.reconfigure(self.new_list)
        else:
            node.freshness.quorum._lists = (self.new_list,)
            node.freshness._list_changed()
        _set_incarnations(node.freshness, self.names, node.incarnations)
        successor = self._successor(state, f"{node.name} adopts the new list", state.remaining)
        successor.reloaded_us = _replace_at(state.reloaded_us, index, state.now_us)
        if node.acceptance.reevaluate(state.now_us):
            successor.accepted_us = state.now_us
        self._with_node(successor, node)
        return successor

    def _may_settle(self, state: ControlState) -> bool:
        """Whether all voters of the new list adopted it longer than the bound ago.

        A real voter learns of this through messages, so it settles no earlier than a voter of the model.
        """
        if self.control_rules.settles_immediately:
            return True
        reloaded_us = [
            state.reloaded_us[index] for index, name in enumerate(self.names) if name in self.new_list
        ]
        return min(reloaded_us) >= 0 and state.now_us - max(reloaded_us) > BOUND_US

    def _settle(self, state: ControlState, index: int) -> ControlState:
        node = _with_own_quorum(state.nodes[index])
        node.freshness.settle()
        successor = self._successor(state, f"{node.name} drops the old list", state.remaining)
        successor.settled = _replace_at(state.settled, index, True)
        if node.acceptance.reevaluate(state.now_us):
            successor.accepted_us = state.now_us
        self._with_node(successor, node)
        return successor

    def _deliver(self, state: State, index: int) -> State:
        link = self.links[index]
        node = state.nodes[self.names.index(link[1])]
        if link[0] in node.freshness.quorum.names:
            return super()._deliver(state, index)
        successor = self._successor(state, f"{link[1]} rejects a message of {link[0]}", state.remaining)
        successor.in_transit = _replace_at(state.in_transit, index, state.in_transit[index][1:])
        return successor

    def _exchange(self, sent: State, index: int) -> State:
        arrived = self._deliver(sent, index)
        done = (
            self._deliver(arrived, self.reverse_links[index])
            if arrived.in_transit[self.reverse_links[index]]
            else arrived
        )
        done.previous, done.step = sent.previous, f"{sent.step} and its answer arrive"
        return done

    def _crash(self, state: State, index: int, remaining: RemainingBudget) -> State:
        assert isinstance(state, ControlState)
        successor = super()._crash(state, index, remaining)
        assert isinstance(successor, ControlState)
        name, incarnations = self.names[index], successor.nodes[index].incarnations
        voter_list = self.new_list if state.reloaded_us[index] >= 0 else self.old_list
        restarted = self._create_voter(name, incarnations, self.rules.counts_before_catch_up, voter_list)
        successor.nodes = _replace_at(successor.nodes, index, restarted)
        successor.settled = _replace_at(
            state.settled, index, state.settled[index] or state.reloaded_us[index] >= 0
        )
        successor.observers = tuple(
            _without_voter(observer) if observer.voter == index else observer for observer in state.observers
        )
        return successor

    def _with_observer(self, state: ControlState, step: str, index: int, observer: Observer) -> ControlState:
        successor = self._successor(state, step, state.remaining)
        successor.observers = _replace_at(state.observers, index, observer.seal())
        return successor

    def _voter_name(self, state: ControlState, index: int) -> str:
        return self.names[state.observers[index].voter]


def _set_incarnations(freshness: Freshness, names: str, incarnations: list[int]) -> None:
    for peer, incarnation in zip(names, incarnations, strict=True):
        freshness.started(peer, incarnation)


def _with_own_quorum(node: Scheduler) -> Scheduler:
    """Copy a voter with a quorum of its own, so that changing its lists does not change other states."""
    node = node.clone()
    quorum: Quorum = copy(node.freshness.quorum)
    node.freshness.quorum = node.acceptance._quorum = quorum
    return node


def _without_voter(observer: Observer) -> Observer:
    """Return a copy of an observer whose voter has crashed."""
    observer = observer.clone()
    observer.lease.reset()
    observer.voter, observer.synchronized, observer.to_voter, observer.to_observer = NO_VOTER, False, (), ()
    return observer.seal()


def _replace_at(values: tuple[Value, ...], index: int, value: Value) -> tuple[Value, ...]:
    return (*values[:index], value, *values[index + 1 :])


class LeaseFromArrival(ObserverLease):
    """Fault: the lease counts from the arrival of a reply, not from the writing of its heartbeat."""

    now_us = 0

    def reply_received(self, number: int, age_us: int) -> bool:
        if all(number != pending for pending, _ in self._in_flight):
            return False
        self._in_flight = deque(
            SentHeartbeat(pending, max(written_us, self.now_us)) for pending, written_us in self._in_flight
        )
        return super().reply_received(number, age_us)


class IgnoresNumbers(ObserverLease):
    """Fault: every reply is treated as the reply to the latest heartbeat."""

    def reply_received(self, number: int, age_us: int) -> bool:
        if not self._in_flight:
            return False
        return super().reply_received(self._in_flight[-1][0], age_us)


class IgnoresAge(ObserverLease):
    """Fault: a voter's knowledge of the majority is treated as being as recent as its own state."""

    def reply_received(self, number: int, age_us: int) -> bool:
        return super().reply_received(number, min(age_us, 0))


class MovesTimeBack(ObserverLease):
    """Fault: the time of the lease follows the last reply, even if an earlier voter knew a later state."""

    def reply_received(self, number: int, age_us: int) -> bool:
        previous, self.as_of_us = self.as_of_us, None
        if super().reply_received(number, age_us):
            return True
        self.as_of_us = previous
        return False


class ClockedExplorer(ControlExplorer):
    """Passes the time to faulty leases that use the time of a reply's arrival."""

    def _deliver_to_observer(self, state: ControlState, index: int) -> ControlState:
        lease = state.observers[index].lease
        if isinstance(lease, LeaseFromArrival):
            lease.now_us = state.now_us
        return super()._deliver_to_observer(state, index)


def _atomic_budget(names: str, ping_links: str, pings: int, **limits: Any) -> Budget:
    """Budget of voters whose pings and answers are one step; ``ping_links`` are separated by spaces."""
    return Budget(names, tuple(ping_links.split()), pings=pings, atomic_exchanges=True, **limits)


PLANS: Mapping[str, ControlBudget] = {
    "late": ControlBudget(_atomic_budget("abc", "bc ab", 2, pings_per_link=1), heartbeats=2),
    "aged": ControlBudget(
        _atomic_budget("abc", "bc ab ac", 3, pings_per_link=2), heartbeats=2, atomic_exchanges=True
    ),
    "moves": ControlBudget(
        _atomic_budget("abc", "bc ab ac", 2, pings_per_link=1),
        heartbeats=2,
        failovers=1,
        atomic_exchanges=True,
    ),
    "memory": ControlBudget(
        _atomic_budget("abc", "ac bc cb", 3, crashes=1, pings_per_link=2), heartbeats=2, atomic_exchanges=True
    ),
    "change": ControlBudget(
        _atomic_budget("abcde", "da de ad ac bc", 5, ticks=2, pings_per_link=1),
        heartbeats=1,
        atomic_exchanges=True,
        old_list="abc",
        new_list="ade",
    ),
    "added": ControlBudget(
        _atomic_budget("abcd", "ac ab bc", 3, ticks=2, pings_per_link=1),
        heartbeats=1,
        atomic_exchanges=True,
        old_list="abc",
        new_list="abcd",
    ),
}
"""Searches that take seconds.

"late": messages are delayed; "aged": a voter's knowledge of the majority is old; "moves": an observer fails
over; "memory": a voter loses its memory; "change", "added": two voters are replaced, or one is added.
"""

LARGE: Mapping[str, ControlBudget] = {
    "late": ControlBudget(_atomic_budget("abc", "bc ab cb", 3, pings_per_link=2), heartbeats=2),
    "moves": ControlBudget(
        _atomic_budget("abc", "bc ab ac", 3, pings_per_link=1),
        heartbeats=2,
        failovers=2,
        observer_crashes=1,
        atomic_exchanges=True,
    ),
    "joins": ControlBudget(_atomic_budget("abc", "bc ab", 2, pings_per_link=1), heartbeats=2, failovers=1),
    "two": ControlBudget(
        _atomic_budget("abc", "bc ab ac", 3, pings_per_link=1),
        initial_voters="bc",
        heartbeats=3,
        failovers=1,
        atomic_exchanges=True,
    ),
    "memory": ControlBudget(
        _atomic_budget("abcde", "ab ac cb cd ce", 5, ticks=2, crashes=2, pings_per_link=1, may_crash="bc"),
        initial_voters="d",
        heartbeats=1,
        failovers=1,
        atomic_exchanges=True,
    ),
    "change": ControlBudget(
        _atomic_budget("abcde", "da de ad ac bc", 5, ticks=2, pings_per_link=1),
        heartbeats=2,
        failovers=1,
        atomic_exchanges=True,
        old_list="abc",
        new_list="ade",
    ),
    "added": ControlBudget(
        _atomic_budget("abcd", "ac ab bc", 3, pings_per_link=1),
        heartbeats=1,
        atomic_exchanges=True,
        old_list="abc",
        new_list="abcd",
    ),
}
"""Searches that take minutes."""

TWO_FAILOVERS = ControlBudget(
    _atomic_budget("abc", "bc ab ac", 2, pings_per_link=1), heartbeats=2, failovers=2, atomic_exchanges=True
)
FAULTY_CHANGE = ControlBudget(
    _atomic_budget("abcde", "da de ad bc", 4, ticks=2, pings_per_link=1),
    heartbeats=1,
    atomic_exchanges=True,
    old_list="abc",
    new_list="ade",
)

VARIANTS: Mapping[str, tuple[ControlBudget, Callable[[], ControlRules]]] = {
    "lease-from-arrival": (PLANS["late"], lambda: ControlRules(lease=LeaseFromArrival)),
    "ignores-numbers": (PLANS["late"], lambda: ControlRules(lease=IgnoresNumbers)),
    "ignores-age": (PLANS["aged"], lambda: ControlRules(lease=IgnoresAge)),
    "reply-overtakes-changes": (PLANS["aged"], lambda: ControlRules(reply_overtakes_changes=True)),
    "one-below-majority": (PLANS["aged"], lambda: ControlRules(Rules(OneBelowMajority))),
    "accepts-unsynchronized": (PLANS["moves"], lambda: ControlRules(accepts_unsynchronized=True)),
    "replaces-state": (TWO_FAILOVERS, lambda: ControlRules(replaces_state=True)),
    "moves-time-back": (PLANS["moves"], lambda: ControlRules(lease=MovesTimeBack)),
    "counts-before-catch-up": (PLANS["memory"], lambda: ControlRules(Rules(counts_before_catch_up=True))),
    "majority-of-new-list-only": (FAULTY_CHANGE, lambda: ControlRules(joint_majorities=False)),
    "settles-immediately": (FAULTY_CHANGE, lambda: ControlRules(settles_immediately=True)),
}
"""Rules with one fault each, and the plan whose search finds the fault."""


def search(budget: ControlBudget, rules: ControlRules | None = None) -> SearchResult:
    """Search all states within the budget, with the real rules by default, up to the first violation."""
    return ClockedExplorer(budget, rules or ControlRules()).search()


def main() -> None:
    """Search plans or variants. The exit code is 1 if a plan violates a rule or a variant does not."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--plan", choices=sorted({*PLANS, *LARGE}), help="search this plan alone")
    parser.add_argument("--large", action="store_true", help="search the large plans, which take minutes")
    parser.add_argument(
        "--variants", action="store_true", help="search each variant; the fault of each must be found"
    )
    options = parser.parse_args()
    searches: list[tuple[str, ControlBudget, ControlRules]] = []
    if options.variants:
        searches = [(name, budget, rules()) for name, (budget, rules) in VARIANTS.items()]
    else:
        plans = LARGE if options.large else PLANS
        searches = [(name, plans[name], ControlRules()) for name in plans if options.plan in (None, name)]
    as_expected = True
    for name, budget, rules in searches:
        start_s = time.perf_counter()
        result = search(budget, rules)
        elapsed_s = time.perf_counter() - start_s
        verdict = "both rules hold" if result.violation is None else "BROKEN"
        print(
            f"{name}: {verdict}; {result.states} states, {result.accepted} accepted; {elapsed_s:.1f} s",
            flush=True,
        )
        if result.violation is not None:
            print("   " + "\n   ".join(result.violation.path()))
        as_expected &= (result.violation is None) != options.variants
    sys.exit(not as_expected)


if __name__ == "__main__":
    main()
