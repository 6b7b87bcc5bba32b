"""A checker of the rules for one scheduler; it reads the journal only, independent of the code it checks."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from robinhill.checker.journal import UNAVOIDABLE_STATUS, Event, EventType, Journal

DRAIN_GRACE_S = 0.55  # the limit of half a second, and 50 ms for delays of sockets
REJECTION_STATUSES = (429, 503)


def find_violations(
    journal: Journal, unsafe: Iterable[str], *, ended: bool = True, late_s: float = 0.0
) -> list[str]:
    """Check the rules for one scheduler. Returns one line for each violation.

    ``unsafe``: the classes whose jobs must not run twice. ``ended``: whether every request must have been
    answered. ``late_s``: the delay with which workers may have recorded the end of an attempt.
    """
    events = sorted(journal.events, key=lambda e: e.at)
    by_request: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event.request:
            by_request[event.request].append(event)
    found: list[str] = []
    unsafe_classes = set(unsafe)
    for request, request_events in by_request.items():
        found += _answer_violations(request, request_events, ended)
        found += _attempt_violations(request, request_events, unsafe_classes, late_s)
    found += _drain_violations(events)
    found += [
        f"{e.worker} was sent more than its slow start allows"
        for e in events
        if e.what is EventType.OVERLOADED and e.status != UNAVOIDABLE_STATUS
    ]
    return found


def _answer_violations(request: str, request_events: list[Event], ended: bool) -> list[str]:
    """Check that each request gets exactly one final answer, and 200 only if a worker ran it to its end."""
    counts = Counter(e.what for e in request_events)
    found = []
    if counts[EventType.ANSWERED] > 1:
        found.append(f"{request} was answered {counts[EventType.ANSWERED]} times")
    if (
        ended
        and counts[EventType.REQUESTED]
        and not (counts[EventType.ANSWERED] or counts[EventType.CLIENT_DISCONNECTED])
    ):
        found.append(f"{request} was never answered")
    served = any(e.what is EventType.ANSWERED and e.status == 200 for e in request_events)
    if served and not counts[EventType.ENDED]:
        found.append(f"{request} got status 200 without the result of a worker")
    return found


def _attempt_violations(
    request: str, request_events: list[Event], unsafe: set[str], late_s: float
) -> list[str]:
    """Check that a request has one attempt at a time, and that an unsafe one is neither retried nor rejected
    after it may have run."""
    found = []
    in_flight: set[str] = set()  # workers that have an attempt of the request
    may_have_run = False
    kind = next((e.kind for e in request_events if e.kind), "")
    for event in request_events:
        if event.what is EventType.SENT:
            if in_flight and not in_flight <= _workers_ended_within(request_events, event.at, late_s):
                found.append(f"{request} was sent to {event.worker} while at {', '.join(sorted(in_flight))}")
            if kind in unsafe and may_have_run:
                found.append(f"{request} ({kind}) was sent again though it may have run")
            in_flight.add(event.worker)
            may_have_run = True
        elif event.what is EventType.RETURNED:
            in_flight.discard(event.worker)
            # The worker has not run this attempt. If an earlier attempt may have run, a violation was
            # already reported when this attempt was sent.
            may_have_run = False
        elif event.what in (EventType.ENDED, EventType.CANCELLED):
            in_flight.discard(event.worker)
        elif (
            event.what is EventType.ANSWERED
            and event.status in REJECTION_STATUSES
            and kind in unsafe
            and may_have_run
        ):
            found.append(f"{request} ({kind}) was refused though it may have run")
    return found


def _workers_ended_within(request_events: list[Event], at: float, late_s: float) -> set[str]:
    """The workers that recorded the end of their attempt within ``late_s`` after the time ``at``."""
    ending_events = (EventType.CANCELLED, EventType.ENDED, EventType.RETURNED)
    return (
        {e.worker for e in request_events if e.what in ending_events and at <= e.at <= at + late_s}
        if late_s
        else set()
    )


def _drain_violations(events: list[Event]) -> list[str]:
    """Check that a worker gets no attempt later than DRAIN_GRACE_S after discovery listed it as draining."""
    draining_since: dict[str, float] = {}
    found = []
    for event in events:
        if event.what is EventType.DRAINING:
            draining_since.setdefault(event.worker, event.at)
        elif event.what is EventType.STARTED:
            draining_since.pop(event.worker, None)
        elif (
            event.what is EventType.SENT
            and event.at - draining_since.get(event.worker, event.at) > DRAIN_GRACE_S
        ):
            late = event.at - draining_since[event.worker]
            found.append(f"{event.worker} got {event.request} {late:.2f} s after it was listed as draining")
    return found
