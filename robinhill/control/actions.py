"""What the state machines of the control group ask of their caller, which owns the sockets and the clock."""

from dataclasses import dataclass

from robinhill.mesh.record_merging import RejectedRecord
from robinhill.mesh.records import Record

Link = int
"""Identifies a connection: a number that the caller chooses and never reuses within a process."""


@dataclass(slots=True, frozen=True)
class Send:
    """Write ``data`` as one message; messages of a link stay in order."""

    link: Link
    data: bytes


@dataclass(slots=True, frozen=True)
class Connect:
    """Open a connection to a voter; report the result by ``linked`` or ``failed``."""

    voter: str


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Close a connection once its queued messages are written. ``unlinked`` is not called for it."""

    link: Link
    why: str


@dataclass(slots=True, frozen=True)
class Apply:
    """The replica has stored ``records``.

    An observer applies them before it carries out the next action, which may confirm them; a voter saves its
    replica within a second or two. ``rejected`` is for the log.
    """

    records: tuple[Record, ...]
    rejected: tuple[RejectedRecord, ...] = ()


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """The lease began or expired. ``age_us``: age of the newest known majority state; None: never known."""

    valid: bool
    age_us: int | None


@dataclass(slots=True, frozen=True)
class LaggingObservers:
    """Observers and voters that are not known to have applied a change: their number, and some names."""

    count: int
    names: tuple[str, ...]


NONE_LAGGING = LaggingObservers(0, ())


@dataclass(slots=True, frozen=True)
class Progressed:
    """A tracked change has progressed; ``number`` is what ``write`` returned for it.

    ``accepted``: it can't be forgotten any more; ``in_force``: no scheduler can act without it.
    """

    number: int
    accepted: bool
    in_force: bool
    lagging: LaggingObservers


@dataclass(slots=True, frozen=True)
class CaughtUp:
    """This voter counts for majorities from now on."""


@dataclass(slots=True, frozen=True)
class VotersSettled:
    """All voters use the newest list of voters; the lists before it no longer count."""


Action = Send | Connect | Disconnect | Apply | LeaseChanged | Progressed | CaughtUp | VotersSettled
