"""A checker of the rules that several schedulers keep together; reads a journal only. Times in seconds.

All times are the rig's clock: when it read the answer to an operator's call, and when a worker had received
a request. An answer is read after the cordon was accepted, so the bound is counted from slightly too late,
never from too early.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from robinhill.checker import rules
from robinhill.checker.journal import Event, Journal, What


@dataclass(slots=True, frozen=True)
class Terms:
    """The bounds that are checked."""

    bound_s: float
    holds: bool  # whether nothing is sent without a majority; else the promise is weaker
    equal_s: float = 2.0  # from the end of the last fault to equal replicas
    back_s: float = 2.0  # for links to recover after a fault, before `serve` promises anything
    late_s: float = 0.0  # by how much records may be late on a busy host
    grace_s: float = 0.05  # from a scheduler's write to a worker's record of it


@dataclass(slots=True)
class Cordon:
    """What operators' calls were answered about one id."""

    worker: str
    by: str  # the scheduler that accepted it
    since: float | None = None  # when it was accepted, with no later call to lift it
    in_force: float | None = None
    lifted: bool = False  # with no later call that may have set it again
    pending_calls: int = 0  # that may still set it
    is_ambiguous: bool = False  # a lift was requested after a call to set it: the order of effects is unknown


def broken(journal: Journal, terms: Terms, unsafe: Iterable[str], *, ended: bool = True) -> list[str]:
    """Violations of the rules of one scheduler and of several, one line each."""
    events = sorted(journal.events, key=lambda e: e.at)
    kinds = set(unsafe)
    found = rules.broken(journal, kinds, ended=ended, late_s=terms.late_s)
    found += once(events, kinds)
    found += late_sends(events, terms)
    found += lists(events, terms)
    found += copies(events, terms)
    found += recovered(events)
    return found


def once(events: list[Event], unsafe: set[str]) -> list[str]:
    """An unsafe job starts at one worker at most, whichever scheduler its client retries at.

    Ids are a client's key, a dash, and the number of the attempt.
    """
    starts = Counter(
        e.request.rpartition("-")[0] for e in events if e.what is What.EXECUTION_STARTED and e.kind in unsafe
    )
    return [f"{key} is unsafe and began {n} times" for key, n in starts.items() if key and n > 1]


class _Health:
    """Since when each scheduler and its links have been without a fault."""

    def __init__(self) -> None:
        self._faults: Counter[str] = Counter()
        self._healthy_since: dict[str, float] = defaultdict(lambda: -inf)

    def record(self, event: Event) -> None:
        """Follow the beginning or end of a fault."""
        if event.what is What.FAULT_STARTED:
            self._faults[event.scheduler] += 1
        elif event.what is What.FAULT_ENDED:
            self._faults[event.scheduler] -= 1
            self._healthy_since[event.scheduler] = event.at

    def since(self, scheduler: str) -> float:
        """The end of its last fault; infinite during one."""
        return inf if self._faults[scheduler] > 0 else self._healthy_since[scheduler]


def _follow(cordons: dict[str, Cordon], event: Event) -> None:
    """Apply a call or its answer. An unanswered call may have taken effect, or may do so later."""
    if event.what is What.CORDON_REQUESTED:
        cordon = cordons.setdefault(event.request, Cordon(event.worker, event.scheduler))
        cordon.pending_calls += 1
        cordon.lifted = cordon.is_ambiguous = False
    elif event.request not in cordons:
        return
    cordon = cordons[event.request]
    if event.what is What.CORDONED:
        cordon.pending_calls -= 1
        if not cordon.is_ambiguous:
            cordon.since = event.at if cordon.since is None else cordon.since
            cordon.by = event.scheduler
    elif event.what is What.IN_FORCE:
        cordon.in_force = event.at if not cordon.is_ambiguous else None
    elif event.what is What.LIFT_REQUESTED:
        cordon.since = cordon.in_force = None
        cordon.is_ambiguous = True
    elif event.what is What.LIFTED:
        cordon.lifted = cordon.pending_calls == 0


def late_sends(events: Iterable[Event], terms: Terms) -> list[str]:
    """Nothing is sent to a cordoned worker past the bound, nor after the cordon was reported to be in force.

    Under `serve` that is promised only by and through schedulers that were healthy for a while.
    """
    cordons: dict[str, Cordon] = {}
    health = _Health()
    found = []
    for event in events:
        health.record(event)
        _follow(cordons, event)
        if event.what is not What.SENT:
            continue
        healthy = -inf
        for id_, cordon in cordons.items():
            if cordon.worker != event.worker or cordon.since is None:
                continue
            if not terms.holds:
                healthy = max(health.since(event.scheduler), health.since(cordon.by)) + terms.back_s
            past = event.at - max(cordon.since, healthy) - terms.bound_s
            reported = event.at - max(cordon.in_force, healthy) if cordon.in_force is not None else -inf
            if max(past, reported) > terms.grace_s + terms.late_s:
                late = past > terms.grace_s + terms.late_s
                why = f"{past:.3f} s past the bound" if late else f"{reported:.3f} s after it was in force"
                sent = f"{event.worker} got {event.request} from {event.scheduler}"
                found.append(f"{sent}, cordoned by {id_}: {why}")
    return found


def _settled(events: Iterable[Event]) -> float:
    """When the last fault had ended and the last call was answered."""
    last = (What.FAULT_ENDED, What.UP, What.CORDON_REQUESTED, What.CORDONED, What.LIFT_REQUESTED, What.LIFTED)
    return max((e.at for e in events if e.what in last), default=0.0)


def lists(events: list[Event], terms: Terms) -> list[str]:
    """Once settled, each scheduler lists what was accepted and not lifted, and nothing that was lifted."""
    cordons: dict[str, Cordon] = {}
    shown: dict[str, set[str]] = {}
    equal_s = equal_after(events)
    settled = _settled(events) + (terms.equal_s if equal_s is None else equal_s)
    for event in events:
        _follow(cordons, event)
        if event.what is What.CORDONS_LISTED and event.at >= settled:
            shown[event.scheduler] = set(event.kind.split())
    found = []
    for scheduler, ids in shown.items():
        found += [f"{scheduler} lost {i}" for i, c in cordons.items() if c.since is not None and i not in ids]
        found += [f"{i} came back at {scheduler}" for i, c in cordons.items() if c.lifted and i in ids]
        found += [f"{scheduler} lists {i}, which nobody set" for i in sorted(ids - set(cordons))]
    return found


def equal_after(events: list[Event]) -> float | None:
    """Seconds from the last fault or call until all live replicas stayed equal; None: never."""
    settled = _settled(events)
    live: set[str] = set()
    digests: dict[str, str] = {}
    equal: float | None = None
    for event in events:
        if event.what is What.UP:
            live.add(event.scheduler)
        elif event.what is What.DOWN:
            live.discard(event.scheduler)
        elif event.what is What.DIGEST and event.at >= settled:
            digests[event.scheduler] = event.kind
            if {d for s, d in digests.items() if s in live} != {event.kind} or not live <= set(digests):
                equal = None
            elif equal is None:
                equal = event.at - settled
    return equal


def recovered(events: list[Event]) -> list[str]:
    """After all faults each scheduler sends again, and a cordon set at it comes into force.

    Without this rule a scheduler that never sends would keep all others.
    """
    healed = max((e.at for e in events if e.what in (What.FAULT_ENDED, What.UP)), default=0.0)
    live = sorted({e.scheduler for e in events if e.what is What.UP})
    sent = {e.scheduler for e in events if e.what is What.SENT and e.at > healed}
    recovery_checks = [e for e in events if e.what is What.RECOVERY_CHECKED and e.at > healed]
    found = [
        f"{name} sent nothing after the last heal" for name in live if recovery_checks and name not in sent
    ]
    return found + [
        f"no cordon came into force at {e.scheduler} any more" for e in recovery_checks if not e.status
    ]


def copies(events: list[Event], terms: Terms) -> list[str]:
    """All replicas are equal within the stated time after the last fault, and stay so."""
    if not any(e.what is What.UP for e in events):
        return []
    equal_s = equal_after(events)
    if equal_s is None:
        return ["the copies never became equal"]
    return (
        [f"the copies were equal only {equal_s:.2f} s after the last heal"] if equal_s > terms.equal_s else []
    )
