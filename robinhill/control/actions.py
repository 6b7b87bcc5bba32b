"""Actions that the state machines of the control group return. The caller, which owns the sockets and the
clock, carries out the actions."""

from dataclasses import dataclass

from robinhill.mesh.record_merging import RejectedRecord
from robinhill.mesh.records import Record

Link = int
"""Identifier of a connection; the caller chooses it and never reuses it within a process."""


@dataclass(slots=True, frozen=True)
class Send:
    """Write ``data`` as one message. The messages of a link are written in the order of their actions."""

    link: Link
    data: bytes


@dataclass(slots=True, frozen=True)
class Connect:
    """Open a connection to a voter, and report the result by calling ``linked`` or ``failed``."""

    voter: str


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Close a connection once its queued messages are written. ``why``: reason for the log.

    The caller does not call ``unlinked`` for this connection, as the state machine has already removed it.
    """

    link: Link
    why: str


@dataclass(slots=True, frozen=True)
class Apply:
    """The replica has stored ``records``, and the caller puts them into effect.

    The caller of an observer updates what it derives from the records, such as the set of cordoned workers,
    before it carries out the next action, which may confirm the records to the voter. The caller of a voter
    saves the replica to disk within a second or two. ``rejected`` is for the log.
    """

    records: tuple[Record, ...]
    rejected: tuple[RejectedRecord, ...] = ()


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """An observer's lease became valid or expired.

    ``age_us``: age of the newest state of a majority of voters that the observer knows; None: it has never
    known such a state.
    """

    valid: bool
    age_us: int | None


@dataclass(slots=True, frozen=True)
class LaggingObservers:
    """Observers that may not have applied a change, and voters that have sent no complete status of it.

    ``count``: their number. ``names``: the names of some of them.
    """

    count: int
    names: tuple[str, ...]


NONE_LAGGING = LaggingObservers(0, ())


@dataclass(slots=True, frozen=True)
class Progressed:
    """The progress of a tracked change. ``number`` is the number that ``write`` returned for the change.

    ``accepted``: a majority of voters has stored the change, so it can't be lost any more. In the mode
    `serve`, in which schedulers continue to send without a lease, one voter that has stored the change is
    enough. ``in_force``: no scheduler can act without knowing the change.
    """

    number: int
    accepted: bool
    in_force: bool
    lagging: LaggingObservers


@dataclass(slots=True, frozen=True)
class CaughtUp:
    """This voter knows all changes that were ever accepted, and counts for majorities from now on."""


@dataclass(slots=True, frozen=True)
class VotersSettled:
    """All voters use the newest list of voters; this voter has dropped the earlier lists."""


Action = Send | Connect | Disconnect | Apply | LeaseChanged | Progressed | CaughtUp | VotersSettled
