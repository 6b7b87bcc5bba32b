"""The JSON of operators' calls about cordons: request parsing and views of cordons. Times are in RFC 3339.

    PUT /ops/cordons/ID     {"target": "zone/a", "reason": "...", "by": "...", "until": TIME}
    DELETE /ops/cordons/ID
    GET /ops/cordons        returns a ``Listing``

A PUT may have ``for_s`` (the duration in seconds) in place of ``until``. With neither, the cordon has no end.
With ``?wait=SECONDS``, a PUT or DELETE waits until the change is in force. The JSON keys are part of the
operators' interface: a Python field that is renamed keeps its JSON key. `propagation` defines the stages
accepted and in force.
"""

import math
from collections.abc import Sequence
from datetime import UTC, datetime, timedelta
from typing import Annotated

import msgspec

from robinhill.cordon import limits
from robinhill.cordon.errors import (
    BoundNotMet,
    CordonElsewhere,
    CordonMalformed,
    CordonsFull,
    CordonUnknown,
    NotAccepted,
    TooManyCalls,
)
from robinhill.cordon.index import CordonIndex
from robinhill.cordon.propagation import Propagation, Propagations, PropagationStage
from robinhill.cordon.value import Entry, Reason, check_reason, check_target
from robinhill.errors import RobinhillError

HTTP_STATUS: dict[type[RobinhillError], int] = {
    CordonMalformed: 400,
    CordonUnknown: 404,
    CordonElsewhere: 409,
    CordonsFull: 409,
    TooManyCalls: 429,
    NotAccepted: 503,
    BoundNotMet: 504,
}
STAGE_NAMES = {
    PropagationStage.RECEIVED: "received",
    PropagationStage.STORED: "stored",
    PropagationStage.ACCEPTED: "accepted",
    PropagationStage.IN_FORCE: "in force",
}
OVER_BUDGET = "over budget"
"""State of an automatic cordon that is not in effect because it exceeds the budget."""
NOT_TRACKED = "held here"
"""State of a cordon whose propagation this process does not track, as another scheduler set the cordon."""


class UnconfirmedView(msgspec.Struct, frozen=True):
    """A scheduler that may still act as if a change had not been made, and the reason (``why``)."""

    scheduler: str
    why: str


class CordonView(msgspec.Struct, frozen=True):
    """One cordon.

    ``until``: None if the cordon has no end. ``automatic``, ``cause``, ``observers``: as in `value.Reason`.
    ``workers``: the number of listed workers that the cordon applies to. ``origin``: the name of the
    scheduler that wrote the cordon. ``state``: a stage of STAGE_NAMES, OVER_BUDGET or NOT_TRACKED.
    """

    id: str
    target: str
    reason: str
    by: str
    since: datetime
    until: datetime | None
    automatic: bool
    cause: str
    observers: tuple[str, ...]
    workers: int
    origin: str
    state: str
    unconfirmed: tuple[UnconfirmedView, ...] = ()


class Listing(msgspec.Struct, frozen=True):
    """All active cordons, in ascending order of target and ID, and the listed workers that are cordoned."""

    cordons: tuple[CordonView, ...]
    cordoned_workers: tuple[str, ...] = msgspec.field(name="held")


class ChangeSummary(msgspec.Struct, frozen=True):
    """The result of a PUT or DELETE.

    ``error``: if the wait ended before the change was in force, the cause and what the operator can do;
    otherwise empty.
    """

    id: str
    targets: tuple[str, ...]
    state: str
    unconfirmed: tuple[UnconfirmedView, ...] = ()
    warnings: tuple[str, ...] = ()
    error: str = ""


class PutBody(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON body of a PUT. ``for_s``: the duration of the cordon in seconds, in place of ``until``."""

    target: str
    reason: str
    by: str = ""
    until: Annotated[datetime, msgspec.Meta(tz=True)] | None = None
    for_s: float | None = None


def read_put(cordon_id: str, body: bytes, now_us: int) -> tuple[str, Reason]:
    """Parse the body of a PUT and return its target and reason. Raises CordonMalformed if it is invalid."""
    if len(body) > limits.MAX_BODY_BYTES:
        raise CordonMalformed(f"the request body is longer than {limits.MAX_BODY_BYTES} bytes")
    try:
        put = _put_decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as e:
        raise CordonMalformed(f"the request body is not valid: {e}") from e
    reason = Reason(cordon_id, put.reason, put.by, now_us, _read_end_us(put, now_us))
    check_reason(reason, now_us)
    return check_target(put.target), reason


def _read_end_us(put: PutBody, now_us: int) -> int:
    """Return the end of the cordon as Unix microseconds; 0 if it has none.

    An end in 1970 or earlier becomes at least 1, because 0 means that the cordon has no end.
    """
    if put.until is not None and put.for_s is not None:
        raise CordonMalformed("the request has both until and for_s; give at most one of them")
    if put.until is not None:
        return max((put.until - _EPOCH) // _MICROSECOND, 1)
    if put.for_s is not None:
        if not (math.isfinite(put.for_s) and 0 < put.for_s * 1e6 <= limits.MAX_DURATION_US):
            raise CordonMalformed("for_s must be above 0 and at most 366 days")
        return now_us + math.ceil(put.for_s * 1e6)
    return 0


def read_wait(text: str) -> int:
    """Return the value of ``?wait=`` in microseconds; 0 if it is empty.

    Raises CordonMalformed if it is not a number of seconds from 0 to MAX_WAIT_US.
    """
    try:
        seconds = float(text or 0)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds * 1e6 <= limits.MAX_WAIT_US:
        raise CordonMalformed(f"wait= must be 0 to {limits.MAX_WAIT_US // limits.SECOND_US} seconds")
    return round(seconds * 1e6)


def list_cordons(mono_us: int, index: CordonIndex, propagations: Propagations) -> Listing:
    """Return the body of the answer to a GET: all active cordons and the cordoned workers."""
    cordons = tuple(
        _view_cordon(mono_us, target, entry, index, propagations) for target, entry in index.active()
    )
    return Listing(cordons, tuple(sorted(index.cordoned_workers())))


def _view_cordon(
    mono_us: int, target: str, entry: Entry, index: CordonIndex, propagations: Propagations
) -> CordonView:
    reason, propagation = entry.reason, propagations.get(str(entry.dot))
    state = NOT_TRACKED
    unconfirmed: tuple[UnconfirmedView, ...] = ()
    if propagation is not None:
        state, unconfirmed = _view_propagation(mono_us, propagation)
    return CordonView(
        id=reason.id,
        target=target,
        reason=reason.text,
        by=reason.by,
        since=_to_datetime(reason.since_us),
        until=_to_datetime(reason.until_us) if reason.until_us else None,
        automatic=reason.automatic,
        cause=reason.cause,
        observers=reason.observers,
        workers=len(index.matching(target)),
        origin=entry.dot.origin,
        state=state if index.is_in_effect(target, reason) else OVER_BUDGET,
        unconfirmed=unconfirmed,
    )


def summarize_change(
    mono_us: int,
    cordon_id: str,
    targets: Sequence[str],
    propagation: Propagation,
    index: CordonIndex,
    *,
    waited: bool,
    missing: Sequence[str] = (),
) -> tuple[int, ChangeSummary]:
    """Return the HTTP status and body of the answer to a PUT or DELETE.

    The status is 200 if the change is in force. Otherwise it is 202 if the caller did not wait; after a wait
    it is 503 if the change is not accepted and 504 if it is accepted.
    """
    failure = propagation.failure(mono_us, missing)
    state, unconfirmed = _view_propagation(mono_us, propagation)
    warnings: tuple[str, ...] = ()
    if not propagation.is_lift:
        warnings = tuple(warning for target in targets for warning in index.warnings(target))
    status = 200 if failure is None else HTTP_STATUS[type(failure)] if waited else 202
    error = str(failure) if failure is not None and waited else ""
    return status, ChangeSummary(cordon_id, tuple(targets), state, unconfirmed, warnings, error)


def view_unconfirmed(mono_us: int, propagation: Propagation) -> tuple[UnconfirmedView, ...]:
    """Return the schedulers that may still act as if a change had not been made, and why."""
    return tuple(UnconfirmedView(each.name, each.why) for each in propagation.unconfirmed(mono_us))


def _view_propagation(mono_us: int, propagation: Propagation) -> tuple[str, tuple[UnconfirmedView, ...]]:
    stage = propagation.advance(mono_us)
    return STAGE_NAMES[stage], view_unconfirmed(mono_us, propagation)


def _to_datetime(unix_us: int) -> datetime:
    """Convert Unix microseconds to a datetime; a time that is too late for one becomes datetime.max."""
    try:
        return _EPOCH + timedelta(microseconds=unix_us)
    except OverflowError:
        return datetime.max.replace(tzinfo=UTC)


_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_MICROSECOND = timedelta(microseconds=1)
_put_decoder = msgspec.json.Decoder(PutBody)
