"""A checker of the rules that reads a journal only, and knows nothing of the code that it checks."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from robinhill.checker.journal import NOBODYS, Event, Journal, What

DRAIN_S = 0.55  # the grace of half a second, and the 50 ms that sockets get
REFUSALS = (429, 503)


def broken(journal: Journal, unsafe: Iterable[str], *, ended: bool = True, late_s: float = 0.0) -> list[str]:
    """What broke a rule, in words. ``unsafe``: classes that may not run twice; ``ended``: all is answered;
    ``late_s``: by how much workers may have been late in noting that they were called off.
    """
    events = sorted(journal.events, key=lambda e: e.at)
    by_request: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event.request:
            by_request[event.request].append(event)
    found: list[str] = []
    kinds = set(unsafe)
    for request, request_events in by_request.items():
        found += _answers(request, request_events, ended)
        found += _attempts(request, request_events, kinds, late_s)
    found += _drains(events)
    found += [f"{e.worker} was pushed over" for e in events if e.what is What.FELL and e.status != NOBODYS]
    return found


def _answers(request: str, request_events: list[Event], ended: bool) -> list[str]:
    """Each request taken gets exactly one final answer; 200 only if a worker has run it to its end."""
    counts = Counter(e.what for e in request_events)
    found = []
    if counts[What.ANSWERED] > 1:
        found.append(f"{request} was answered {counts[What.ANSWERED]} times")
    if ended and counts[What.ASKED] and not (counts[What.ANSWERED] or counts[What.GONE]):
        found.append(f"{request} was never answered")
    served = any(e.what is What.ANSWERED and e.status == 200 for e in request_events)
    if served and not counts[What.ENDED]:
        found.append(f"{request} was served with nobody's result")
    return found


def _attempts(request: str, request_events: list[Event], unsafe: set[str], late_s: float) -> list[str]:
    """Never two attempts at once; an unsafe one that may have run is neither sent again nor refused."""
    found = []
    out: set[str] = set()  # workers that have it and have not given it up
    may_have_run = False
    kind = next((e.kind for e in request_events if e.kind), "")
    for event in request_events:
        if event.what is What.SENT:
            if out and not out <= _freed(request_events, event.at, late_s):
                found.append(f"{request} was at {event.worker} while at {', '.join(sorted(out))}")
            if kind in unsafe and may_have_run:
                found.append(f"{request} ({kind}) was sent again though it may have run")
            out.add(event.worker)
            may_have_run = True
        elif event.what is What.RETURNED:
            out.discard(event.worker)
            may_have_run = False  # each attempt before this one was handed back too, or is reported above
        elif event.what in (What.ENDED, What.CALLED_OFF):
            out.discard(event.worker)
        elif event.what is What.ANSWERED and event.status in REFUSALS and kind in unsafe and may_have_run:
            found.append(f"{request} ({kind}) was refused though it may have run")
    return found


def _freed(request_events: list[Event], at: float, late_s: float) -> set[str]:
    """Workers that noted soon after a moment that they had given it up."""
    over = (What.CALLED_OFF, What.ENDED, What.RETURNED)
    return (
        {e.worker for e in request_events if e.what in over and at <= e.at <= at + late_s}
        if late_s
        else set()
    )


def _drains(events: list[Event]) -> list[str]:
    """Nothing new to a worker later than the grace after discovery has told that it leaves."""
    leaving: dict[str, float] = {}
    found = []
    for event in events:
        if event.what is What.LEAVING:
            leaving.setdefault(event.worker, event.at)
        elif event.what is What.STARTED:
            leaving.pop(event.worker, None)
        elif event.what is What.SENT and event.at - leaving.get(event.worker, event.at) > DRAIN_S:
            late = event.at - leaving[event.worker]
            found.append(f"{event.worker} got {event.request} {late:.2f} s after it was told to leave")
    return found
