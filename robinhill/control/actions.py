"""What the state machines of the control group ask of their caller, which has the sockets and the clock."""

from dataclasses import dataclass

from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record

Link = int
"""A connection: a number that the caller chooses and never uses twice in a process."""


@dataclass(slots=True, frozen=True)
class Send:
    """Write these bytes as one message; messages of a link stay in order."""

    link: Link
    data: bytes


@dataclass(slots=True, frozen=True)
class Connect:
    """Open a connection to a voter; answer by ``linked`` or ``failed``."""

    voter: str


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Close a connection, once what was sent is written. ``unlinked`` is not called for it."""

    link: Link
    why: str


@dataclass(slots=True, frozen=True)
class Apply:
    """The copy holds these records now. An observer goes by them before it carries out the next action, which
    may confirm them; a voter saves its copy within a second or two. ``declined``: records that were refused
    or taken with a warning, to be logged."""

    records: tuple[Record, ...]
    declined: tuple[tuple[Record, MeshError], ...] = ()


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """The lease began or ended. ``age_us``: as of how long ago a majority is known; None: never yet."""

    held: bool
    age_us: int | None


@dataclass(slots=True, frozen=True)
class Progressed:
    """News of a change that is followed, by the number that ``write`` or ``offer`` returned.

    ``behind``: how many observers and voters are not known to go by it; ``names``: some of them.
    """

    number: int
    accepted: bool
    in_force: bool
    behind: int
    names: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class CaughtUp:
    """This voter counts for majorities from now on."""


@dataclass(slots=True, frozen=True)
class VotersSettled:
    """All voters go by the newest list; only that one counts now."""


Action = Send | Connect | Disconnect | Apply | LeaseChanged | Progressed | CaughtUp | VotersSettled
