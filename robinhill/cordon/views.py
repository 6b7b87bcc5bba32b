"""Calls about cordons as operators send them, and answers as they read them: JSON, with times in RFC 3339.

    PUT /ops/cordons/ID     {"target": "zone/a", "reason": "...", "by": "...", "until": TIME}
    DELETE /ops/cordons/ID
    GET /ops/cordons        a ``Listing``

A PUT may have ``for_s`` in place of ``until``, or neither. ``?wait=SECONDS`` of the first two waits until the
change is in force.
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
    CordonError,
    CordonMalformed,
    CordonsFull,
    CordonUnknown,
    NotAccepted,
    TooManyCalls,
)
from robinhill.cordon.index import CordonIndex
from robinhill.cordon.propagation import Propagation, Propagations, PropagationStage
from robinhill.cordon.value import Reason, check_reason, check_target

STATUS: dict[type[CordonError], int] = {
    CordonMalformed: 400,
    CordonUnknown: 404,
    CordonElsewhere: 409,
    CordonsFull: 409,
    TooManyCalls: 429,
    NotAccepted: 503,
    BoundNotMet: 504,
}
STATES = {
    PropagationStage.RECEIVED: "received",
    PropagationStage.STORED: "stored",
    PropagationStage.ACCEPTED: "accepted",
    PropagationStage.IN_FORCE: "in force",
}
OVER_BUDGET = "over budget"  # an automatic one that waits for room
HELD = "held here"  # followed by the scheduler that wrote it, which knows more


class UnconfirmedView(msgspec.Struct, frozen=True):
    """A scheduler that may still act as before."""

    scheduler: str
    why: str


class CordonView(msgspec.Struct, frozen=True):
    """One cordon. ``workers``: how many listed ones its target names. ``origin``: who wrote it last."""

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
    """All cordons that stand, by target and ID; ``held``: the listed workers that get nothing new."""

    cordons: tuple[CordonView, ...]
    held: tuple[str, ...]


class Answer(msgspec.Struct, frozen=True):
    """What a PUT or DELETE came to. ``error``: why a wait ended before it was in force, what to do."""

    id: str
    targets: tuple[str, ...]
    state: str
    unconfirmed: tuple[UnconfirmedView, ...] = ()
    warnings: tuple[str, ...] = ()
    error: str = ""


class _Put(msgspec.Struct, forbid_unknown_fields=True):
    target: str
    reason: str
    by: str = ""
    until: Annotated[datetime, msgspec.Meta(tz=True)] | None = None
    for_s: float | None = None


def read_put(cordon_id: str, body: bytes, now_us: int) -> tuple[str, Reason]:
    """The target and reason of a PUT. CordonMalformed."""
    if len(body) > limits.MAX_CALL:
        raise CordonMalformed(f"the body is longer than {limits.MAX_CALL} bytes")
    try:
        put = _put.decode(body)
    except (msgspec.DecodeError, ValueError) as e:
        raise CordonMalformed(f"the body can't be read: {e}") from e
    if put.until is not None and put.for_s is not None:
        raise CordonMalformed("until and for_s exclude each other")
    until_us = 0
    if put.until is not None:
        until_us = max((put.until - _EPOCH) // _MICROSECOND, 1)
    elif put.for_s is not None:
        if not (math.isfinite(put.for_s) and 0 < put.for_s * 1e6 <= limits.MAX_END_US):
            raise CordonMalformed("for_s must be above 0 and at most a year")
        until_us = now_us + math.ceil(put.for_s * 1e6)
    reason = Reason(cordon_id, put.reason, put.by, now_us, until_us)
    check_reason(reason, now_us)
    return check_target(put.target), reason


def read_wait(text: str) -> int:
    """Seconds of ``?wait=`` as microseconds; 0 for an empty one. CordonMalformed."""
    try:
        seconds = float(text or 0)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds * 1e6 <= limits.MAX_WAIT_US:
        raise CordonMalformed(f"wait= must be seconds from 0 to {limits.MAX_WAIT_US // limits.SECOND_US}")
    return round(seconds * 1e6)


def listing(mono_us: int, book: CordonIndex, promises: Propagations) -> Listing:
    """Everything for a GET."""
    cordons = []
    for target, entry in book.standing():
        reason, promise = entry.reason, promises.get(str(entry.dot))
        state, unconfirmed = (HELD, ()) if promise is None else _told(mono_us, promise)
        cordons.append(
            CordonView(
                id=reason.id,
                target=target,
                reason=reason.text,
                by=reason.by,
                since=_time(reason.since_us),
                until=_time(reason.until_us) if reason.until_us else None,
                automatic=reason.automatic,
                cause=reason.cause,
                observers=reason.observers,
                workers=len(book.matched(target)),
                origin=entry.dot.origin,
                state=state if book.counts(target, reason) else OVER_BUDGET,
                unconfirmed=unconfirmed,
            )
        )
    return Listing(tuple(cordons), tuple(sorted(book.held_workers())))


def answer(
    mono_us: int,
    cordon_id: str,
    targets: Sequence[str],
    promise: Propagation,
    book: CordonIndex,
    *,
    waited: bool,
    missing: Sequence[str] = (),
) -> tuple[int, Answer]:
    """Status and body for a PUT or DELETE: 200 in force, 202 not yet; 503, 504 after a wait that failed."""
    failure = promise.failure(mono_us, missing)
    state, unconfirmed = _told(mono_us, promise)
    warned = () if promise.lifts else tuple(w for target in targets for w in book.warnings(target))
    status = 200 if failure is None else STATUS[type(failure)] if waited else 202
    error = str(failure) if failure is not None and waited else ""
    return status, Answer(cordon_id, tuple(targets), state, unconfirmed, warned, error)


def _told(mono_us: int, promise: Propagation) -> tuple[str, tuple[UnconfirmedView, ...]]:
    step = promise.look(mono_us)
    return STATES[step], tuple(UnconfirmedView(u.name, u.why) for u in promise.unconfirmed(mono_us))


def _time(us: int) -> datetime:
    """Unix microseconds as a time; the last that there is for what lies beyond."""
    try:
        return _EPOCH + timedelta(microseconds=us)
    except OverflowError:
        return datetime.max.replace(tzinfo=UTC)


_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_MICROSECOND = timedelta(microseconds=1)
_put = msgspec.json.Decoder(_Put)
