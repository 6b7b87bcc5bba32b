"""A checker of one scheduler's rules that reads a journal only, independent of the code that it checks."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from robinhill.checker.journal import UNAVOIDABLE_STATUS, Event, Journal, What

DRAIN_GRACE_S = 0.55  # half a second, and 50 ms for sockets
REJECTION_STATUSES = (429, 503)


def broken(journal: Journal, unsafe: Iterable[str], *, ended: bool = True, late_s: float = 0.0) -> list[str]:
    """Violations of the rules, one line each.

    ``unsafe``: classes that may not run twice; ``ended``: whether every request must be answered; ``late_s``:
    by how much workers may have been late in recording a cancellation.
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
    found += [
        f"{e.worker} was pushed over"
        for e in events
        if e.what is What.OVERLOADED and e.status != UNAVOIDABLE_STATUS
    ]
    return found


def _answers(request: str, request_events: list[Event], ended: bool) -> list[str]:
    """Each request gets exactly one final answer, and 200 only if a worker has run it to its end."""
    counts = Counter(e.what for e in request_events)
    found = []
    if counts[What.ANSWERED] > 1:
        found.append(f"{request} was answered {counts[What.ANSWERED]} times")
    if ended and counts[What.REQUESTED] and not (counts[What.ANSWERED] or counts[What.CLIENT_DISCONNECTED]):
        found.append(f"{request} was never answered")
    served = any(e.what is What.ANSWERED and e.status == 200 for e in request_events)
    if served and not counts[What.ENDED]:
        found.append(f"{request} was served with nobody's result")
    return found


def _attempts(request: str, request_events: list[Event], unsafe: set[str], late_s: float) -> list[str]:
    """Never two attempts at a time; an unsafe one that may have run is neither retried nor rejected."""
    found = []
    in_flight: set[str] = set()  # workers with an attempt
    may_have_run = False
    kind = next((e.kind for e in request_events if e.kind), "")
    for event in request_events:
        if event.what is What.SENT:
            if in_flight and not in_flight <= _freed(request_events, event.at, late_s):
                found.append(f"{request} was at {event.worker} while at {', '.join(sorted(in_flight))}")
            if kind in unsafe and may_have_run:
                found.append(f"{request} ({kind}) was sent again though it may have run")
            in_flight.add(event.worker)
            may_have_run = True
        elif event.what is What.RETURNED:
            in_flight.discard(event.worker)
            may_have_run = False  # earlier attempts were handed back too, or are reported above
        elif event.what in (What.ENDED, What.CANCELLED):
            in_flight.discard(event.worker)
        elif (
            event.what is What.ANSWERED
            and event.status in REJECTION_STATUSES
            and kind in unsafe
            and may_have_run
        ):
            found.append(f"{request} ({kind}) was refused though it may have run")
    return found


def _freed(request_events: list[Event], at: float, late_s: float) -> set[str]:
    """Workers that recorded soon after a moment that their attempt was over."""
    over = (What.CANCELLED, What.ENDED, What.RETURNED)
    return (
        {e.worker for e in request_events if e.what in over and at <= e.at <= at + late_s}
        if late_s
        else set()
    )


def _drains(events: list[Event]) -> list[str]:
    """No new attempt at a worker later than the grace after discovery has listed it as draining."""
    draining_since: dict[str, float] = {}
    found = []
    for event in events:
        if event.what is What.DRAINING:
            draining_since.setdefault(event.worker, event.at)
        elif event.what is What.STARTED:
            draining_since.pop(event.worker, None)
        elif (
            event.what is What.SENT and event.at - draining_since.get(event.worker, event.at) > DRAIN_GRACE_S
        ):
            late = event.at - draining_since[event.worker]
            found.append(f"{event.worker} got {event.request} {late:.2f} s after it was told to leave")
    return found
