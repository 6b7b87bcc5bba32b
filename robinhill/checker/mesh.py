"""A checker of the rules for several schedulers, which reads the journal only. Times are in seconds.

All times are by the clock of the test rig, which emulates workers and operators: the time at which it read
the answer to an operator's call, and the time at which a worker had received a request. The rig reads the
answer after the cordon was accepted, so the checked bound starts slightly too late, never too early.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from robinhill.checker import rules
from robinhill.checker.journal import Event, EventType, Journal


@dataclass(slots=True, frozen=True)
class Limits:
    """The installation's guarantees, and the tolerances with which a run is checked against them.

    ``is_hold_mode``: True for the setting `hold`, under which no scheduler sends jobs without a lease; False
    for `serve`, whose bound applies only to schedulers that have had no fault for ``recovery_s``.
    """

    bound_s: float  # from the acceptance of a cordon to the last send to its worker
    is_hold_mode: bool
    convergence_s: float = 2.0  # from the end of the last fault until all replicas are equal
    recovery_s: float = 2.0  # for links to recover after a fault; `serve` guarantees nothing until then
    late_s: float = 0.0  # how late the emulators may have recorded events on a busy host
    grace_s: float = 0.05  # from a scheduler's write to the worker's event for it


@dataclass(slots=True)
class CordonState:
    """The state of one cordon, as derived from the operators' calls about its id and their answers."""

    worker: str
    accepted_by: str  # the scheduler that accepted the cordon, or was asked to
    accepted_at: float | None = None  # None if not accepted, or if a lift was requested later
    in_force_at: float | None = None
    lifted: bool = False  # a lift was accepted, and no other call can have set the cordon since
    pending_calls: int = 0  # unanswered calls that may still set the cordon
    is_ambiguous: bool = False  # a lift was requested after a call to set it: the order of effects is unknown


def find_violations(
    journal: Journal, limits: Limits, unsafe: Iterable[str], *, ended: bool = True
) -> list[str]:
    """Check the rules for one scheduler and for several. Returns one line for each violation."""
    events = sorted(journal.events, key=lambda e: e.at)
    unsafe_classes = set(unsafe)
    found = rules.find_violations(journal, unsafe_classes, ended=ended, late_s=limits.late_s)
    found += repeated_unsafe_jobs(events, unsafe_classes)
    found += late_sends(events, limits)
    found += list_violations(events, limits)
    found += replica_violations(events, limits)
    found += recovery_violations(events)
    return found


def repeated_unsafe_jobs(events: list[Event], unsafe: set[str]) -> list[str]:
    """Check that an unsafe job starts at most once, at whichever scheduler its client retries.

    A request's id is the client's key, a dash, and the number of the client's attempt.
    """
    starts = Counter(
        e.request.rpartition("-")[0]
        for e in events
        if e.what is EventType.EXECUTION_STARTED and e.kind in unsafe
    )
    return [f"{key} is unsafe and was started {n} times" for key, n in starts.items() if key and n > 1]


class _Health:
    """Tracks since when each scheduler and its links have been without a fault."""

    def __init__(self) -> None:
        self._faults: Counter[str] = Counter()
        self._healthy_since: dict[str, float] = defaultdict(lambda: -inf)

    def record(self, event: Event) -> None:
        """Apply the start or end of a fault."""
        if event.what is EventType.FAULT_STARTED:
            self._faults[event.scheduler] += 1
        elif event.what is EventType.FAULT_ENDED:
            self._faults[event.scheduler] -= 1
            self._healthy_since[event.scheduler] = event.at

    def since(self, scheduler: str) -> float:
        """The end of the scheduler's last fault; infinite during one, -infinite without any."""
        return inf if self._faults[scheduler] > 0 else self._healthy_since[scheduler]


def _apply_event(cordons: dict[str, CordonState], event: Event) -> None:
    """Apply an operator's call or its answer. An unanswered call may have had its effect or have it later."""
    if event.what is EventType.CORDON_REQUESTED:
        cordon = cordons.setdefault(event.request, CordonState(event.worker, event.scheduler))
        cordon.pending_calls += 1
        cordon.lifted = cordon.is_ambiguous = False
    elif event.request not in cordons:
        return
    cordon = cordons[event.request]
    if event.what is EventType.CORDONED:
        cordon.pending_calls -= 1
        if not cordon.is_ambiguous:
            cordon.accepted_at = event.at if cordon.accepted_at is None else cordon.accepted_at
            cordon.accepted_by = event.scheduler
    elif event.what is EventType.IN_FORCE:
        cordon.in_force_at = event.at if not cordon.is_ambiguous else None
    elif event.what is EventType.LIFT_REQUESTED:
        cordon.accepted_at = cordon.in_force_at = None
        cordon.is_ambiguous = True
    elif event.what is EventType.LIFTED:
        cordon.lifted = cordon.pending_calls == 0


def late_sends(events: Iterable[Event], limits: Limits) -> list[str]:
    """Check that nothing is sent to a cordoned worker past the bound, nor after the cordon was
    reported to be in force.

    With `serve` this holds only if both the sending scheduler and the one that accepted the cordon have been
    without a fault for `Limits.recovery_s`.
    """
    cordons: dict[str, CordonState] = {}
    health = _Health()
    found = []
    for event in events:
        health.record(event)
        _apply_event(cordons, event)
        if event.what is not EventType.SENT:
            continue
        healthy_since = -inf
        for id_, cordon in cordons.items():
            if cordon.worker != event.worker or cordon.accepted_at is None:
                continue
            if not limits.is_hold_mode:
                healthy_since = (
                    max(health.since(event.scheduler), health.since(cordon.accepted_by)) + limits.recovery_s
                )
            past_bound_s = event.at - max(cordon.accepted_at, healthy_since) - limits.bound_s
            after_in_force_s = (
                event.at - max(cordon.in_force_at, healthy_since) if cordon.in_force_at is not None else -inf
            )
            if max(past_bound_s, after_in_force_s) > limits.grace_s + limits.late_s:
                is_past_bound = past_bound_s > limits.grace_s + limits.late_s
                why = (
                    f"{past_bound_s:.3f} s past the bound"
                    if is_past_bound
                    else f"{after_in_force_s:.3f} s after it was in force"
                )
                sent = f"{event.worker} got {event.request} from {event.scheduler}"
                found.append(f"{sent} while cordoned by {id_}: {why}")
    return found


def _settled_at(events: Iterable[Event]) -> float:
    """The time of the last end of a fault, start of a scheduler, operator's call or answer to a call."""
    event_types = (
        EventType.FAULT_ENDED,
        EventType.UP,
        EventType.CORDON_REQUESTED,
        EventType.CORDONED,
        EventType.LIFT_REQUESTED,
        EventType.LIFTED,
    )
    return max((e.at for e in events if e.what in event_types), default=0.0)


def list_violations(events: list[Event], limits: Limits) -> list[str]:
    """Check the cordons that each scheduler lists after all faults and calls, once replicas are equal.

    A scheduler must list each cordon that was accepted and not lifted, none that was lifted, and none that
    was never requested.
    """
    cordons: dict[str, CordonState] = {}
    listed: dict[str, set[str]] = {}
    equal_s = equal_after(events)
    settled_at = _settled_at(events) + (limits.convergence_s if equal_s is None else equal_s)
    for event in events:
        _apply_event(cordons, event)
        if event.what is EventType.CORDONS_LISTED and event.at >= settled_at:
            listed[event.scheduler] = set(event.kind.split())
    found = []
    for scheduler, ids in listed.items():
        found += [
            f"{scheduler} does not list the accepted cordon {i}"
            for i, c in cordons.items()
            if c.accepted_at is not None and i not in ids
        ]
        found += [
            f"{i} was lifted but is listed by {scheduler}"
            for i, c in cordons.items()
            if c.lifted and i in ids
        ]
        found += [f"{scheduler} lists {i}, which was never requested" for i in sorted(ids - set(cordons))]
    return found


def equal_after(events: list[Event]) -> float | None:
    """Seconds from the last fault or call until all replicas of live schedulers were equal and stayed so.

    None if the replicas never became equal, or were not equal at the end of the run.
    """
    settled_at = _settled_at(events)
    live: set[str] = set()
    digests: dict[str, str] = {}
    equal_since_s: float | None = None
    for event in events:
        if event.what is EventType.UP:
            live.add(event.scheduler)
        elif event.what is EventType.DOWN:
            live.discard(event.scheduler)
        elif event.what is EventType.DIGEST and event.at >= settled_at:
            digests[event.scheduler] = event.kind
            if {d for s, d in digests.items() if s in live} != {event.kind} or not live <= set(digests):
                equal_since_s = None
            elif equal_since_s is None:
                equal_since_s = event.at - settled_at
    return equal_since_s


def recovery_violations(events: list[Event]) -> list[str]:
    """Check that after all faults each scheduler sends attempts again, and cordons set at it come into force.

    Without this rule, a scheduler that never sends an attempt would satisfy all other rules.
    """
    last_fault_end = max(
        (e.at for e in events if e.what in (EventType.FAULT_ENDED, EventType.UP)), default=0.0
    )
    live = sorted({e.scheduler for e in events if e.what is EventType.UP})
    sent = {e.scheduler for e in events if e.what is EventType.SENT and e.at > last_fault_end}
    recovery_checks = [e for e in events if e.what is EventType.RECOVERY_CHECKED and e.at > last_fault_end]
    found = [
        f"{name} sent nothing after the last fault had ended"
        for name in live
        if recovery_checks and name not in sent
    ]
    return found + [
        f"a cordon set at {e.scheduler} after all faults did not come into force"
        for e in recovery_checks
        if not e.status
    ]


def replica_violations(events: list[Event], limits: Limits) -> list[str]:
    """Check that all replicas are equal within `Limits.convergence_s` after the last fault, and stay so."""
    if not any(e.what is EventType.UP for e in events):
        return []
    equal_s = equal_after(events)
    if equal_s is None:
        return ["the schedulers' copies of the records did not become or stay equal"]
    return (
        [f"the schedulers' copies of the records became equal only {equal_s:.2f} s after the last fault"]
        if equal_s > limits.convergence_s
        else []
    )
