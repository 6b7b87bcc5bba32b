"""What the parts of the package tell each other: what a look finds of members, and what follows.

Times are microseconds of this process's own clock, which never steps back; they are times of hearing. What a
worker or another scheduler says of its own clock is used nowhere.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum

from robinhill.api import Repeat


class Phase(IntEnum):
    """How far a member has come, as schedulers tell each other. A number of a newer peer counts as GONE."""

    WAITING = 0  # taken, or sent to a worker that has not begun it
    RUNNING = 1
    DONE = 2
    GONE = 3  # failed, refused or left by its client


class Reason(Enum):
    """Why a member was or was not called a straggler; the value is for people."""

    ENDED = "it has ended"
    NOT_BEGUN = "it has not begun to run"
    EARLY = "it has run too shortly to tell"
    FEW_PEERS = "too few peers ran beside it to compare with"
    WITHIN = "it goes as its peers do"
    ONCE = "it is behind its peers, but not yet for enough looks in a row"
    ALIKE = "so many of its gang are behind that the gang is slowed, not the member"
    SHARED = "so many members of other gangs are behind too that all are slowed, not the member"
    WORKER_FINE = "it is behind its peers, but others at its worker are not: it is the job that is long"
    PAUSED = "this scheduler itself was away before the look"
    LAGS = "it lags: it is behind its peers, for enough looks in a row"


class Decision(Enum):
    """What followed for one that lags; the value is for people."""

    NOTHING = "nothing"
    MOVED = "it was withdrawn and placed anew"
    COPIED = "a second attempt was started beside it"
    UNSAFE = "it stays: a second run would do harm"
    BEGUN = "it stays: it is keyed and has begun"
    ONCE_MOVED = "it stays: it was moved before, so the job itself is long"
    NO_GAIN = "it stays: a fresh run would not end sooner by the margin"
    GANG_SPENT = "it stays: its gang has used up its moves"
    ALL_SPENT = "it stays: the moves of all gangs are used up for now"


@dataclass(slots=True, frozen=True)
class Verdict:
    """What the last look found of one member. ``at_us``: when; numbers that are not known are None.

    ``behind``: how many times slower than its peers it goes, by their median. ``bound``: above which it is
    beyond what chance makes of equals. ``peers``: with how many it was compared. ``remaining_us`` and
    ``fresh_us``: what it is thought to need yet where it runs, and from the start elsewhere.
    """

    gang: str
    index: int
    at_us: int
    reason: Reason
    worker: str = ""
    behind: float | None = None
    bound: float | None = None
    peers: int = 0
    looks: int = 0
    remaining_us: int | None = None
    fresh_us: int | None = None
    silent: bool = False  # judged by its time alone: no word on its progress
    decision: Decision = Decision.NOTHING

    @property
    def lags(self) -> bool:
        return self.reason is Reason.LAGS


@dataclass(slots=True, frozen=True)
class Move:
    """To be carried out: withdraw ``attempt`` of ``job`` from ``worker`` and place it anew at another.

    With ``copy`` the attempt stays and a second one starts beside it; the first to end is the answer.
    ``avoid``: workers that lag themselves by what is known here; to be passed by where others are free.
    """

    job: int
    attempt: int
    worker: str
    gang: str
    index: int
    copy: bool = False
    avoid: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Evidence:
    """That a worker is slow, as one observer found in several gangs; for the mesh and for cordons.

    ``how_much``: how many times slower than its members' peers, by the median. ``at_us``: Unix time.
    """

    worker: str
    observer: str
    what: str
    how_much: float
    at_us: int
    gangs: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Look:
    """What one look found: verdicts of all members that run here, moves to make, evidence to share."""

    verdicts: tuple[Verdict, ...] = ()
    moves: tuple[Move, ...] = ()
    evidence: tuple[Evidence, ...] = ()


def safe_to_move(repeat: Repeat, begun: bool) -> Decision:
    """Whether a second run can do no harm: NOTHING if so, else why not.

    A keyed job that has not begun may go elsewhere: were the withdrawal late, its key would drop the repeat
    within its scope, which the module keeps to. Once it has begun, part of it may have been done.
    """
    if repeat is Repeat.UNSAFE:
        return Decision.UNSAFE
    return Decision.BEGUN if repeat is Repeat.KEYED and begun else Decision.NOTHING
