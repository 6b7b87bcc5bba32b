"""Messages on links of the control group: MessagePack arrays with a tag, on ordered links.

There are two kinds of links: between two voters (`MeshData` carries the frames of `robinhill.mesh.session`),
and from an observer to a voter. A position is the number of a change in one incarnation of one voter and
means nothing elsewhere. Times are microseconds; ``at_us`` is Unix time. The order of fields and the tags are
the protocol and never change.
"""

from typing import NamedTuple

import msgspec

from robinhill.control.errors import JoinRefused
from robinhill.mesh.records import Record

PROTOCOL = 1
GOODBYE = 1 << 62
"""Number of a join that is later than any other of the same incarnation: the observer has left."""

MAX_MESSAGE_BYTES = 1 << 20
"""A reader closes a link that sends more."""

MAX_LAGGING_NAMES = 16
"""Names of lagging observers in a message; the count is always complete."""


class VoterIncarnation(NamedTuple):
    """A process of a voter."""

    name: str
    incarnation: int


class ObserverJoin(NamedTuple):
    """The join of an observer's process to a voter; joins of one incarnation are numbered in order."""

    name: str
    incarnation: int
    number: int


# Between voters


class MeshData(msgspec.Struct, frozen=True, array_like=True, tag="mesh"):
    """Frames of the replication session between two voters: records, pings, digests."""

    data: bytes


class VoterStatus(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """The sender's own state. ``counts``: it counts for majorities. ``voters``: digest of the list of voters
    that it uses. ``incarnations``: of the voters that it knows, its own among them."""

    incarnation: int
    counts: bool
    voters: bytes
    incarnations: tuple[VoterIncarnation, ...]


class Barrier(msgspec.Struct, frozen=True, array_like=True, tag="barrier"):
    """Asks how many observers of the receiver have not applied all that it has stored when it reads this.

    Sent after the changes that it covers, on an ordered link. ``urgent``: only changes of urgent kinds
    matter. ``hold``: an observer whose lease has expired need not be waited for."""

    number: int
    urgent: bool
    hold: bool


class BarrierStatus(msgspec.Struct, frozen=True, array_like=True, tag="behind"):
    """The sender has stored the changes of a barrier; ``lagging_count`` of its observers may not have applied
    them yet.

    ``counts``: the sender counted for majorities and had rejected no record. ``incarnations``: as in
    `VoterStatus`, since a confirmation counts only together with them.
    """

    number: int
    incarnation: int
    counts: bool
    incarnations: tuple[VoterIncarnation, ...]
    lagging_count: int
    lagging_names: tuple[str, ...]


class BarrierEnd(msgspec.Struct, frozen=True, array_like=True, tag="unbar"):
    """No further status of this barrier is needed."""

    number: int


class Migrated(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """These observers are synchronized with the sender, or have left: a voter that knows them by an earlier
    join need not wait for them."""

    observers: tuple[ObserverJoin, ...]


class Departed(msgspec.Struct, frozen=True, array_like=True, tag="departed"):
    """The sender waits for these observers, which disconnected without a goodbye. A voter that knows a later
    join replies with `Migrated`: so a `Migrated` that was lost, or overtook the join, does no lasting
    harm."""

    observers: tuple[ObserverJoin, ...]


# From an observer


class Join(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """The first message on a link.

    ``voter``, ``voter_incarnation``, ``position``: the observer has all changes of that voter up to the
    position; position -1: of no voter. ``spare``: only heartbeat replies are wanted. ``number`` counts the
    joins of this incarnation of the observer, so that voters know which of two is the later."""

    protocol: int
    installation: str
    name: str
    incarnation: int
    bound_us: int
    on_lost: str
    spare: bool
    number: int
    voter: str
    voter_incarnation: int
    position: int


class Digests(msgspec.Struct, frozen=True, array_like=True, tag="digests"):
    """Digests of all ranges of the observer's replica, 8 bytes each, as of ``at_us``."""

    at_us: int
    digests: bytes


class Offer(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Records of the observer that the voter may lack. ``number`` 0: found by a comparison; else a change
    that the observer wrote, whose `Progress` it wants."""

    number: int
    records: tuple[Record, ...]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Asks for a `HeartbeatReply` once all is sent that the voter knows when it reads this. ``number`` 0:
    reply at once, no lease depends on it."""

    number: int


class Applied(msgspec.Struct, frozen=True, array_like=True, tag="applied"):
    """The observer has applied all changes up to ``position``, and all urgent ones up to ``urgent``.

    ``received``: number of `RangeRecords`, `Compared` and `Changes` received on this link; it opens the
    voter's send window.
    """

    received: int
    position: int
    urgent: int


class Goodbye(msgspec.Struct, frozen=True, array_like=True, tag="goodbye"):
    """The observer has sent its last job: no change needs to wait for it any more."""


# To an observer


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """Accepts a join. ``resumed``: changes follow from the position that the join named."""

    voter: str
    incarnation: int
    resumed: bool


class Compare(msgspec.Struct, frozen=True, array_like=True, tag="compare"):
    """The voter has capacity for a comparison now: send digests."""


class RangePart(msgspec.Struct, frozen=True, array_like=True):
    """Records of one range that differed; ``last``: the range is complete."""

    index: int
    records: tuple[Record, ...]
    last: bool


class RangeRecords(msgspec.Struct, frozen=True, array_like=True, tag="ranges"):
    """Some of the voter's records in ranges that differed."""

    parts: tuple[RangePart, ...]


class Compared(msgspec.Struct, frozen=True, array_like=True, tag="compared"):
    """All ranges that differed are sent: with them the observer has all that the voter had at ``position``.
    0: nothing was compared, as changes were in flight."""

    position: int


class Changes(msgspec.Struct, frozen=True, array_like=True, tag="changes"):
    """The newest values of what changed up to ``position``; ``urgent``: of urgent kinds only."""

    position: int
    urgent: bool
    records: tuple[Record, ...]


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """When the voter read heartbeat ``number``, it knew what a majority of voters knew ``age_us`` before; -1:
    it knew no majority. All that it knew then is in the changes up to ``position``, which were sent
    before."""

    number: int
    age_us: int
    position: int


class Progress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """Progress of an offered change. ``lagging_count``: observers and voters that are not known to have
    applied it; ``lagging_names``: some of them."""

    number: int
    accepted: bool
    in_force: bool
    lagging_count: int
    lagging_names: tuple[str, ...]


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The voter rejects the observer and closes the link; ``why`` is for the operator."""

    why: str


VoterMessage = MeshData | VoterStatus | Barrier | BarrierStatus | BarrierEnd | Migrated | Departed
ObserverMessage = Join | Digests | Offer | Heartbeat | Applied | Goodbye
ToObserver = Welcome | Compare | RangeRecords | Compared | Changes | HeartbeatReply | Progress | Refused
AnyMessage = VoterMessage | ObserverMessage | ToObserver

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def write(message: AnyMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def read(data: bytes) -> AnyMessage:
    """Decode a message. Raises JoinRefused for one that is malformed or too large."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise JoinRefused(f"a message has {len(data)} bytes, at most {MAX_MESSAGE_BYTES} may come")
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise JoinRefused(f"a message can't be read: {e}") from e
