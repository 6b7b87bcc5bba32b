"""Actions that the state machines of the control group return. The caller, which owns the sockets and the
clock, carries out the actions.

A *voter* and an *observer* each have a replica of the group's records, and only voters take part in
majorities. An observer is a scheduler. An observer's *lease* is valid while the newest state of a majority of
voters that the observer knows is not older than a configured bound.
"""

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
    """Open a connection to a voter, and then call ``linked`` or ``failed`` of the state machine."""

    voter: str


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Close a connection once its queued messages are written. ``why``: reason for the log.

    The caller does not call ``unlinked`` for this connection, as the state machine has already removed the
    connection.
    """

    link: Link
    why: str


@dataclass(slots=True, frozen=True)
class Apply:
    """The replica has stored ``records``, and the caller puts them into effect.

    The caller of an observer updates what it derives from the records, such as the set of cordoned workers,
    before it carries out the next action, which may confirm the records to the voter. The caller of a voter
    saves the replica to disk within a second or two. ``rejected``: received records that the replica rejected
    or stored with a warning; the caller logs them.
    """

    records: tuple[Record, ...]
    rejected: tuple[RejectedRecord, ...] = ()


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """An observer's lease became valid or expired.

    ``age_us``: age of the newest state of a majority of voters that the observer knows; None: the observer
    has never known such a state.
    """

    valid: bool
    age_us: int | None


@dataclass(slots=True, frozen=True)
class LaggingObservers:
    """Observers that may not have applied a change, and voters whose report about their observers is missing
    or, because the voter rejected a record, incomplete.

    ``count``: number of these observers and voters. ``names``: names of some of these observers and voters.
    """

    count: int
    names: tuple[str, ...]


NONE_LAGGING = LaggingObservers(0, ())


@dataclass(slots=True, frozen=True)
class Progressed:
    """The progress of a tracked change. ``number`` is the number that ``write`` returned for the change.

    ``accepted``: a majority of voters has stored the change, so it can't be lost any more. In the mode
    `serve`, in which schedulers continue to send jobs without a lease, a change already counts as accepted
    once one voter has stored it. ``in_force``: no scheduler can send jobs any more without knowing the
    change.
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
    """All voters have used the newest list of voters for longer than a lease lasts, and this voter has
    dropped the earlier lists."""


Action = Send | Connect | Disconnect | Apply | LeaseChanged | Progressed | CaughtUp | VotersSettled
