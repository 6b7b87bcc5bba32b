"""The data types of straggler detection: the phase of a member, verdicts on it, moves and evidence.

Times are microseconds of this process's monotonic clock at the receipt of a message. Timestamps of workers or
other schedulers are not used.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum

from robinhill.api import Repeat


class Phase(IntEnum):
    """The phase of a member, as schedulers report it to each other. An unknown number counts as GONE."""

    WAITING = 0  # accepted, or sent to a worker that has not started it
    RUNNING = 1
    DONE = 2
    GONE = 3  # failed, refused or abandoned by its client


class Reason(Enum):
    """Why a member was or was not judged to be a straggler; the value is text for people."""

    ENDED = "it has ended"
    NOT_STARTED = "it has not started to run"
    TOO_EARLY = "it has run for too short a time to compare"
    FEW_PEERS = "too few peers are comparable with it"
    NOT_SLOWER = "it is not slower than its peers"
    UNCONFIRMED = "it is slower than its peers, but not yet in enough consecutive evaluations"
    GANG_SLOW = "so many members of its gang are slow that the cause is the gang, not the member"
    ALL_SLOW = "members of other gangs are slow or queued too, so all are slowed, not this member"
    WORKER_NORMAL = "it is slower than its peers, but others at its worker are not, so the job itself is long"
    PAUSED = "this scheduler itself was paused before the evaluation"
    LAGS = "it lags: it was slower than its peers in enough consecutive evaluations"


class Decision(Enum):
    """The action taken on a straggler, or why there was none; the value is text for people."""

    NOTHING = "nothing"
    MOVED = "it was withdrawn and placed anew"
    COPIED = "a second attempt was started beside it"
    UNSAFE = "it is not moved: a second run may do harm"
    KEYED_STARTED = "it is not moved: it is keyed and has started"
    ALREADY_MOVED = "it is not moved: it was moved before, so the job itself is long"
    NO_GAIN = "it is not moved: a fresh run would not end sooner by the required margin"
    GANG_BUDGET_SPENT = "it is not moved: its gang has used up its moves"
    GLOBAL_BUDGET_SPENT = "it is not moved: the moves of all gangs are used up for now"


@dataclass(slots=True, frozen=True)
class Verdict:
    """The result for one member of the evaluation at ``at_us``; unknown numbers are None.

    ``slowdown``: how many times slower than its peers the member is, by their median. ``threshold``: the
    slowdown that equal members rarely exceed by chance. ``peers``: the number of peers it was compared with.
    ``streak``: the number of consecutive evaluations that found it slow. ``remaining_us``: the estimated time
    until its run ends. ``fresh_us``: the estimated time of a run from the start at another worker.
    """

    gang: str
    index: int
    at_us: int
    reason: Reason
    worker: str = ""
    slowdown: float | None = None
    threshold: float | None = None
    peers: int = 0
    streak: int = 0
    remaining_us: int | None = None
    fresh_us: int | None = None
    silent: bool = False  # judged by its elapsed time alone, for lack of recent progress reports
    decision: Decision = Decision.NOTHING

    @property
    def lags(self) -> bool:
        return self.reason is Reason.LAGS


@dataclass(slots=True, frozen=True)
class Move:
    """An instruction to withdraw ``attempt`` of ``job`` from ``worker`` and place the job at another one.

    With ``copy`` the attempt continues and a second one starts beside it; the first result is the answer.
    ``avoid``: workers that seem slow to this scheduler; they are used only if no other worker is free.
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
    """One observer's finding that a worker is slow, from lags in several gangs; for the mesh and cordons.

    ``what``: the kind of evidence. ``median_slowdown``: the median, over its lagging members, of how many
    times slower they were than their peers. ``at_us``: Unix time.
    """

    worker: str
    observer: str
    what: str
    median_slowdown: float
    at_us: int
    gangs: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Evaluation:
    """The result of one evaluation: verdicts on the members under way here, moves, and evidence to share."""

    verdicts: tuple[Verdict, ...] = ()
    moves: tuple[Move, ...] = ()
    evidence: tuple[Evidence, ...] = ()


def safe_to_move(repeat: Repeat, has_started: bool) -> Decision:
    """Return NOTHING if a second run of the job does no harm, otherwise the reason not to move it.

    A keyed job that has not started may be moved: should the withdrawal arrive too late, the key makes the
    platform drop the repeated run within the key's scope, and the scheduler places the job only there.
    Once the job has started, part of its effects may have happened.
    """
    if repeat is Repeat.UNSAFE:
        return Decision.UNSAFE
    return Decision.KEYED_STARTED if repeat is Repeat.KEYED and has_started else Decision.NOTHING
