"""The JSON bodies of answers to operators about cordons.

JSON keys and their order are part of the operators' interface; a field that is UNSET is omitted. Views of
single cordons are in `robinhill.cordon.views`.
"""

from collections.abc import Mapping

import msgspec
from msgspec import UNSET, UnsetType

from robinhill.cordon.propagation import ProcessStatus
from robinhill.cordon.views import CordonView, UnconfirmedView
from robinhill.errors import RobinhillError
from robinhill.protocol import Answer

PROCESS_STATUS_NAMES = {
    ProcessStatus.UNKNOWN: "unheard",
    ProcessStatus.ALIVE: "alive",
    ProcessStatus.SUSPECT: "suspect",
    ProcessStatus.GONE: "gone",
    ProcessStatus.LEFT: "left",
}


class ErrorReply(msgspec.Struct, frozen=True):
    """Why a call failed (``error``), advice for the operator, and the code of the error (``type``)."""

    error: str
    advice: str | UnsetType = UNSET
    type: str | UnsetType = UNSET


class ChangeReply(msgspec.Struct, frozen=True):
    """The progress of a change.

    ``ms``: milliseconds since the call. ``lagging_count``: at a member of the control group, the number of
    members that are not known to have applied the change. ``unconfirmed``: the schedulers (at a member of the
    control group, some members) that may still act without the change. ``warnings``: the effects of a cordon
    on the available workers. ``error``, ``advice`` and ``type`` (the error's code) are set if the call's wait
    ended before the change had reached the state that the call waited for.
    """

    id: str
    targets: tuple[str, ...]
    state: str
    accepted: bool
    in_force: bool
    ms: float
    lagging_count: int | UnsetType = msgspec.field(name="behind", default=UNSET)
    unconfirmed: tuple[UnconfirmedView, ...] = ()
    warnings: tuple[str, ...] | UnsetType = UNSET
    error: str | UnsetType = UNSET
    advice: str | UnsetType = UNSET
    type: str | UnsetType = UNSET

    def with_error(self, error: RobinhillError) -> "ChangeReply":
        """Return the same reply with an error."""
        return msgspec.structs.replace(self, error=error.what, advice=error.advice, type=error.code)


class CordonReply(CordonView, frozen=True):
    """One cordon, and the schedulers that are not known to have applied it (``lagging``)."""

    lagging: tuple[str, ...] = msgspec.field(name="behind", default=())


class SchedulerReply(msgspec.Struct, frozen=True):
    """The status of one scheduler as known to the scheduler that answers.

    ``state``: one of PROCESS_STATUS_NAMES. ``on_lost``: its mode: without a lease, it continues to send
    attempts (``serve``) or sends none (``hold``); None if the mode is unknown. ``counts``: whether it counts
    for majorities. ``same_list``: whether its list of schedulers equals that of the answering scheduler.
    ``knowledge_age_ms``: the milliseconds since the moment as of which the answering scheduler knows this
    scheduler's whole state (0 for the answering scheduler); None if this scheduler has not counted for
    majorities since its last known start.
    """

    name: str
    state: str
    incarnation: int
    on_lost: str | None
    counts: bool
    same_list: bool
    knowledge_age_ms: float | None = msgspec.field(name="known_ms_ago")


class ListingReply(msgspec.Struct, frozen=True):
    """Active cordons, the listed workers that are cordoned, and the status of all schedulers.

    A member of the control group gives no ``schedulers``.
    """

    cordons: tuple[CordonReply, ...]
    cordoned_workers: tuple[str, ...] = msgspec.field(name="held")
    schedulers: tuple[SchedulerReply, ...] = ()


class StatusReply(msgspec.Struct, frozen=True):
    """The status of a scheduler's copy of the shared state.

    ``digest``: the digest of the copy; None while the scheduler does not accept clients. ``counts``: whether
    the scheduler counts for majorities. ``on_lost``: its mode, as in `SchedulerReply`. ``lease``: whether it
    holds the lease. ``majority_age_ms``: the age of its knowledge of a majority's state, in milliseconds;
    None if it does not know the state of a majority.
    """

    name: str
    incarnation: int
    digest: str | None
    counts: bool
    on_lost: str
    lease: bool
    majority_age_ms: float | None = msgspec.field(name="majority_known_ms_ago")
    schedulers: tuple[SchedulerReply, ...]


Reply = ErrorReply | ChangeReply | ListingReply


def make_cordon_reply(view: CordonView, lagging: tuple[str, ...], state: str | None = None) -> CordonReply:
    """Return a reply with a cordon's view and its lagging schedulers.

    ``state``, if given, replaces the state in the view.
    """
    reply = CordonReply(**msgspec.structs.asdict(view), lagging=lagging)
    return reply if state is None else msgspec.structs.replace(reply, state=state)


def make_error_reply(error: RobinhillError) -> ErrorReply:
    """Return the body of an answer that reports an error."""
    return ErrorReply(error.what, error.advice, error.code)


def make_answer(status: int, body: Reply) -> Answer:
    """Return an HTTP answer whose body is one line of JSON."""
    return Answer(status, msgspec.json.encode(body) + b"\n")


def make_status_answer(fields: Mapping[str, object]) -> Answer:
    """Return an HTTP answer with status 200 and the fields that are not None, as one line of JSON."""
    known = {key: value for key, value in fields.items() if value is not None}
    return Answer(200, msgspec.json.encode(known) + b"\n")
