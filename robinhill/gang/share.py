"""Progress of gangs as schedulers share it: one record for each gang, a word for each member.

Words hold durations and shares, no times: a receiver sets them against its own time of hearing, so clocks
need not agree. Each member's latest word holds, by a number of its own that grows with each word; whoever
takes a member over goes on from the largest number that it has seen.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from robinhill.gang.membership import MAX_SIZE
from robinhill.gang.messages import Phase
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Kind, Record

NAME = "gang.progress"
# A gang's record renews with each word; members that tell none for a quarter of an hour are forgotten.
LIFETIME_US = 900_000_000
BOUND = 4_096  # gangs; some 5 MB at 16 members each
FULL = 1_000_000  # a whole share
UNKNOWN = -1
# A forged number beyond this is refused: at the largest one a member's words could never be followed.
MAX_SEQUENCE = 1 << 40
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Text = Annotated[str, Meta(max_length=256)]
_PHASES = (Phase.WAITING, Phase.RUNNING, Phase.DONE, Phase.GONE)


class MemberUpdate(Struct, frozen=True, array_like=True, order=True):
    """One member as its scheduler last told. ``share`` in millionths, -1 where no word on it came."""

    index: Annotated[int, Meta(ge=0, lt=MAX_SIZE)]
    sequence: Annotated[int, Meta(ge=0, le=MAX_SEQUENCE)]
    phase: Annotated[int, Meta(ge=0, le=255)]
    share: Annotated[int, Meta(ge=UNKNOWN, le=FULL)]
    waited_us: Count
    run_us: Count
    hint_us: Count
    moves: Annotated[int, Meta(ge=0, le=255)]
    kind: Text
    worker: Text
    origin: Text

    @property
    def current_phase(self) -> Phase:
        return _PHASES[min(self.phase, 3)]


class Progress(Struct, frozen=True, array_like=True):
    """A gang: its size and the words of its members by ascending index."""

    size: Annotated[int, Meta(ge=1, le=MAX_SIZE)]
    members: Annotated[tuple[MemberUpdate, ...], Meta(max_length=MAX_SIZE)]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Progress)


def encode(value: Progress) -> bytes:
    return _encoder.encode(value)


def decode(data: bytes) -> Progress:
    """Raises ForeignState for what is not a gang's progress. What a newer peer adds to words is left out."""
    try:
        value = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError) as e:  # the latter: text that is no UTF-8
        raise ForeignState(f"progress of a gang can't be read: {e}") from e
    return merge(value, value)


def _precedence(update: MemberUpdate) -> tuple[bool, int, MemberUpdate]:
    # What is done is done: a client's repeat elsewhere takes nothing back. The word itself breaks ties.
    return update.phase == Phase.DONE, update.sequence, update


def merge(a: Progress, b: Progress) -> Progress:
    """Each member's latest word; sizes that differ (a portal's fault) make the larger one."""
    latest: dict[int, MemberUpdate] = {}
    for update in (*a.members, *b.members):
        held = latest.get(update.index)
        if held is None or _precedence(update) > _precedence(held):
            latest[update.index] = update
    return Progress(max(a.size, b.size), tuple(latest[i] for i in sorted(latest)))


def _evict(record: Record) -> tuple[int, str]:
    return record.stamp.wall_us, record.key  # those not heard of for longest go first


KIND = Kind(
    NAME, encode, decode, merge, lifetime_us=LIFETIME_US, bound=BOUND, evict=_evict, persistent=False
)  # progress from before a restart says nothing: the attempts ended with it
