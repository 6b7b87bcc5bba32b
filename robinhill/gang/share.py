"""The progress of gangs in the mesh: one record for each gang, with one update for each member.

Updates hold durations and shares but no timestamps: a receiver relates them to its own time of receipt, so
the clocks of schedulers need not agree. The update with the highest sequence number of a member is valid. A
scheduler that takes over a member continues from the highest sequence number that it has received.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from robinhill.gang.membership import MAX_SIZE
from robinhill.gang.messages import Phase
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Kind, Record

NAME = "gang.progress"
# Each update of a member renews the gang's record. The record expires after a quarter of an hour without one.
LIFETIME_US = 900_000_000
MAX_GANGS = 4_096  # records in the mesh; about 5 MB at 16 members each
FULL_SHARE = 1_000_000  # the share of a job that is done completely
UNKNOWN_SHARE = -1
# Higher sequence numbers are rejected: after a forged update with the largest one, no update of that member
# could ever replace it.
MAX_SEQUENCE = 1 << 40
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Text = Annotated[str, Meta(max_length=256)]
_PHASES = (Phase.WAITING, Phase.RUNNING, Phase.DONE, Phase.GONE)


class MemberUpdate(Struct, frozen=True, array_like=True, order=True):
    """The state of one member as reported by its scheduler. ``share`` is in millionths, -1 if unknown."""

    index: Annotated[int, Meta(ge=0, lt=MAX_SIZE)]
    sequence: Annotated[int, Meta(ge=0, le=MAX_SEQUENCE)]
    phase: Annotated[int, Meta(ge=0, le=255)]
    share: Annotated[int, Meta(ge=UNKNOWN_SHARE, le=FULL_SHARE)]
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
    """The progress of a gang: its size and the updates of its members in ascending order of index."""

    size: Annotated[int, Meta(ge=1, le=MAX_SIZE)]
    members: Annotated[tuple[MemberUpdate, ...], Meta(max_length=MAX_SIZE)]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Progress)


def encode(value: Progress) -> bytes:
    return _encoder.encode(value)


def decode(data: bytes) -> Progress:
    """Decode a record. Fields that a newer peer appends to updates are ignored. Raises ForeignState."""
    try:
        value = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError) as e:  # ValueError: text is not valid UTF-8
        raise ForeignState(f"the progress of a gang can't be decoded: {e}") from e
    return merge(value, value)


def _precedence(update: MemberUpdate) -> tuple[bool, int, MemberUpdate]:
    # DONE is final: a client's retry at another scheduler doesn't replace it. The update itself breaks ties.
    return update.phase == Phase.DONE, update.sequence, update


def merge(a: Progress, b: Progress) -> Progress:
    """Merge two values: the latest update of each member, and the larger size if they differ, which is an
    error of the portal."""
    latest: dict[int, MemberUpdate] = {}
    for update in (*a.members, *b.members):
        held = latest.get(update.index)
        if held is None or _precedence(update) > _precedence(held):
            latest[update.index] = update
    return Progress(max(a.size, b.size), tuple(latest[i] for i in sorted(latest)))


def _evict(record: Record) -> tuple[int, str]:
    return record.stamp.wall_us, record.key  # the least recently updated record is evicted first


KIND = Kind(
    NAME, encode, decode, merge, lifetime_us=LIFETIME_US, bound=MAX_GANGS, evict=_evict, persistent=False
)  # not persistent: a restart ends the attempts whose progress the records describe
