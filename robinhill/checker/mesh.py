"""A checker of what several schedulers promise together, that reads a journal only. Times in seconds.

Its times are those of one clock, the rig's: when an operator's call was answered there, and when a worker had
a request whole. An answer is read later than a cordon was accepted, so the bound is counted from too late by
that much, never from too early.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from robinhill.checker import rules
from robinhill.checker.journal import Event, Journal, What


@dataclass(slots=True, frozen=True)
class Terms:
    """What was promised."""

    bound_s: float
    holds: bool  # without a majority in touch nothing is sent; else it goes on, and promises less
    equal_s: float = 2.0  # from the last heal to equal copies
    back_s: float = 2.0  # that links have to come up again after a fault, before `serve` promises anything
    late_s: float = 0.0  # by how much what is noted may be late, as the rig's own machine was busy
    grace_s: float = 0.05  # from a scheduler's write to a worker's note of it


@dataclass(slots=True)
class Cordon:
    """What calls were answered about one id."""

    worker: str
    by: str  # the scheduler that accepted it
    since: float | None = None  # accepted, and no lift was asked for since
    in_force: float | None = None
    lifted: bool = False  # and no call since that could have set it anew
    asked: int = 0  # calls that could still set it
    doubtful: bool = False  # a lift was asked for after the last call to set it: which came first is unknown


def broken(journal: Journal, terms: Terms, unsafe: Iterable[str], *, ended: bool = True) -> list[str]:
    """What broke a rule, in words: those of one scheduler, and those of several."""
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
    """An unsafe job begins at one worker at most, whichever scheduler its client asks again.

    Ids are a client's key, a dash, and the number of its try.
    """
    began = Counter(e.request.rpartition("-")[0] for e in events if e.what is What.BEGAN and e.kind in unsafe)
    return [f"{key} is unsafe and began {n} times" for key, n in began.items() if key and n > 1]


class _Health:
    """Since when each scheduler and its links have been sound."""

    def __init__(self) -> None:
        self._faults: Counter[str] = Counter()
        self._sound: dict[str, float] = defaultdict(lambda: -inf)

    def note(self, event: Event) -> None:
        if event.what is What.HARMED:
            self._faults[event.scheduler] += 1
        elif event.what is What.HEALED:
            self._faults[event.scheduler] -= 1
            self._sound[event.scheduler] = event.at

    def since(self, scheduler: str) -> float:
        """Infinite while a fault lasts."""
        return inf if self._faults[scheduler] > 0 else self._sound[scheduler]


def _follow(cordons: dict[str, Cordon], event: Event) -> None:
    """What a call or its answer makes of an id. Unanswered ones may have done its work, or may yet."""
    if event.what is What.CORDON_ASKED:
        cordon = cordons.setdefault(event.request, Cordon(event.worker, event.scheduler))
        cordon.asked += 1
        cordon.lifted = cordon.doubtful = False
    elif event.request not in cordons:
        return
    cordon = cordons[event.request]
    if event.what is What.CORDONED:
        cordon.asked -= 1
        if not cordon.doubtful:
            cordon.since = event.at if cordon.since is None else cordon.since
            cordon.by = event.scheduler
    elif event.what is What.IN_FORCE:
        cordon.in_force = event.at if not cordon.doubtful else None
    elif event.what is What.LIFT_ASKED:
        cordon.since = cordon.in_force = None
        cordon.doubtful = True
    elif event.what is What.LIFTED:
        cordon.lifted = cordon.asked == 0


def late_sends(events: Iterable[Event], terms: Terms) -> list[str]:
    """Nothing is sent to a cordoned worker past the bound, nor after all were said to keep to the cordon.

    Under `serve` that is promised only by and through schedulers that no fault has touched for a while.
    """
    cordons: dict[str, Cordon] = {}
    health = _Health()
    found = []
    for event in events:
        health.note(event)
        _follow(cordons, event)
        if event.what is not What.SENT:
            continue
        sound = -inf
        for id_, cordon in cordons.items():
            if cordon.worker != event.worker or cordon.since is None:
                continue
            if not terms.holds:
                sound = max(health.since(event.scheduler), health.since(cordon.by)) + terms.back_s
            past = event.at - max(cordon.since, sound) - terms.bound_s
            said = event.at - max(cordon.in_force, sound) if cordon.in_force is not None else -inf
            if max(past, said) > terms.grace_s + terms.late_s:
                late = past > terms.grace_s + terms.late_s
                why = f"{past:.3f} s past the bound" if late else f"{said:.3f} s after it was in force"
                sent = f"{event.worker} got {event.request} from {event.scheduler}"
                found.append(f"{sent}, cordoned by {id_}: {why}")
    return found


def _settled(events: Iterable[Event]) -> float:
    """When the last fault was over and the last call answered."""
    last = (What.HEALED, What.UP, What.CORDON_ASKED, What.CORDONED, What.LIFT_ASKED, What.LIFTED)
    return max((e.at for e in events if e.what in last), default=0.0)


def lists(events: list[Event], terms: Terms) -> list[str]:
    """Once all is settled each scheduler lists what was accepted and not lifted, and nothing lifted."""
    cordons: dict[str, Cordon] = {}
    shown: dict[str, set[str]] = {}
    took = equal_after(events)
    settled = _settled(events) + (terms.equal_s if took is None else took)
    for event in events:
        _follow(cordons, event)
        if event.what is What.LOOKED and event.at >= settled:
            shown[event.scheduler] = set(event.kind.split())
    found = []
    for scheduler, ids in shown.items():
        found += [f"{scheduler} lost {i}" for i, c in cordons.items() if c.since is not None and i not in ids]
        found += [f"{i} came back at {scheduler}" for i, c in cordons.items() if c.lifted and i in ids]
        found += [f"{scheduler} lists {i}, which nobody set" for i in sorted(ids - set(cordons))]
    return found


def equal_after(events: list[Event]) -> float | None:
    """Seconds from the last heal or call until all copies that live were equal for good; None: never."""
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
    """Once faults are over and clients ask, each scheduler sends again, and what it cordons comes into force.

    Without this rule a scheduler that never sends would keep all others.
    """
    healed = max((e.at for e in events if e.what in (What.HEALED, What.UP)), default=0.0)
    live = sorted({e.scheduler for e in events if e.what is What.UP})
    sent = {e.scheduler for e in events if e.what is What.SENT and e.at > healed}
    proved = [e for e in events if e.what is What.PROVED and e.at > healed]
    found = [f"{name} sent nothing after the last heal" for name in live if proved and name not in sent]
    return found + [f"no cordon came into force at {e.scheduler} any more" for e in proved if not e.status]


def copies(events: list[Event], terms: Terms) -> list[str]:
    """All copies are equal within the stated time after the last heal, and stay so."""
    if not any(e.what is What.UP for e in events):
        return []
    took = equal_after(events)
    if took is None:
        return ["the copies never became equal"]
    return [f"the copies were equal only {took:.2f} s after the last heal"] if took > terms.equal_s else []
