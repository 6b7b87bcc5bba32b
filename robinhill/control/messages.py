"""What passes over links of the control group: MessagePack arrays with a tag, on ordered links.

Two kinds of links: between two voters (`MeshData` wraps the frames of `robinhill.mesh.session`), and from an
observer to a voter. A position is a number of a change in one start of one voter; it means nothing elsewhere.
Times are microseconds; ``at_us`` is Unix time.
"""

import msgspec

from robinhill.control.errors import JoinRefused
from robinhill.mesh.records import Record

PROTOCOL = 1
GOODBYE = 1 << 62
"""Stands for the number of a join after which this start of an observer makes no other."""

MAX_MESSAGE_BYTES = 1 << 20
"""Bytes of a message; a reader closes a link that sends more."""

MAX_LAGGING_NAMES = 16
"""Names of those behind that a message tells; the count is always whole."""


# Between voters


class MeshData(msgspec.Struct, frozen=True, array_like=True, tag="mesh"):
    """Frames of the session between two voters: records, pings, digests."""

    data: bytes


class VoterStatus(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """A voter's word on itself. ``counts``: it counts for majorities. ``voters``: digest of the list that it
    goes by. ``starts``: the starts of voters that it knows of, its own among them."""

    incarnation: int
    counts: bool
    voters: bytes
    starts: tuple[tuple[str, int], ...]


class Barrier(msgspec.Struct, frozen=True, array_like=True, tag="barrier"):
    """Tell how far your observers are with all that you hold now. Sent behind the changes that it is about,
    on an ordered link. ``urgent``: only changes of urgent kinds matter. ``hold``: whoever has no lease any
    more need not be waited for."""

    number: int
    urgent: bool
    hold: bool


class BarrierStatus(msgspec.Struct, frozen=True, array_like=True, tag="behind"):
    """The writer holds what the barrier is about; ``behind`` of its observers may not go by it yet.

    ``counts``: it counted for majorities when it wrote this, and had refused no record. ``starts``: as in
    `VoterStatus`, told here too since a confirmation counts only together with them.
    """

    number: int
    incarnation: int
    counts: bool
    starts: tuple[tuple[str, int], ...]
    behind: int
    names: tuple[str, ...]


class BarrierEnd(msgspec.Struct, frozen=True, array_like=True, tag="unbar"):
    """Nothing more need be told of this barrier."""

    number: int


class Moved(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """These observers (name, start, number of its join) are in step with the writer, or have said goodbye:
    whoever had them by an earlier join need not wait for them."""

    observers: tuple[tuple[str, int, int], ...]


class Departed(msgspec.Struct, frozen=True, array_like=True, tag="departed"):
    """The writer waits for these observers, which went from it without a goodbye: whoever knows better
    answers with `Moved`. So a word on a move that was lost, or overtook the join before, does no lasting
    harm."""

    observers: tuple[tuple[str, int, int], ...]


# From an observer


class Join(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """First on a link. ``voter``, ``voter_incarnation``, ``position``: up to where the observer holds all
    changes of which voter; position -1: of none. ``spare``: nothing is to be sent but answers. ``number``
    counts the joins of this start of the observer, so that voters know which of two is the later."""

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
    """Digests of all ranges of the observer's copy, 8 bytes each, as of ``at_us``."""

    at_us: int
    digests: bytes


class Offer(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Records that the observer holds and the voter may lack. ``number`` 0: found by digests; else a change
    of the observer's own, of which the voter tells progress."""

    number: int
    records: tuple[Record, ...]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Answer once all that you know now is written. ``number`` 0: answer at once, no lease rests on it."""

    number: int


class Applied(msgspec.Struct, frozen=True, array_like=True, tag="applied"):
    """The observer goes by all changes up to ``position``, and by all urgent ones up to ``urgent``.

    ``received``: how many `RangeRecords`, `Compared` and `Changes` came on this link; it makes room for more.
    """

    received: int
    position: int
    urgent: int


class Goodbye(msgspec.Struct, frozen=True, array_like=True, tag="goodbye"):
    """The observer has sent its last: nobody need wait for it any more."""


# To an observer


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """The voter's answer to a join. ``resumed``: changes follow from the position that the join named."""

    voter: str
    incarnation: int
    resumed: bool


class Compare(msgspec.Struct, frozen=True, array_like=True, tag="compare"):
    """There is room for a comparison now: send digests."""


class RangePart(msgspec.Struct, frozen=True, array_like=True):
    """Records of one range that differed; ``last``: all of it has been sent."""

    index: int
    records: tuple[Record, ...]
    last: bool


class RangeRecords(msgspec.Struct, frozen=True, array_like=True, tag="ranges"):
    """A piece of what the voter holds in ranges that differed."""

    parts: tuple[RangePart, ...]


class Compared(msgspec.Struct, frozen=True, array_like=True, tag="compared"):
    """All ranges that differed are sent; together with what the observer held they are all that the voter
    held at ``position``; 0: nothing was compared as changes were on their way."""

    position: int


class Changes(msgspec.Struct, frozen=True, array_like=True, tag="changes"):
    """The newest values of what changed up to ``position``; ``urgent``: of urgent kinds only."""

    position: int
    urgent: bool
    records: tuple[Record, ...]


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """When it read heartbeat ``number``, the voter knew what a majority of voters knew ``age_us`` before; -1
    where it knew no majority. All that it knew then is in the changes up to ``position``, sent before."""

    number: int
    age_us: int
    position: int


class Progress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """How far a change that was offered has come. ``behind``: observers and voters that are not known to go
    by it; ``names``: some of them."""

    number: int
    accepted: bool
    in_force: bool
    behind: int
    names: tuple[str, ...]


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The link ends; ``why`` is for the operator."""

    why: str


VoterMessage = MeshData | VoterStatus | Barrier | BarrierStatus | BarrierEnd | Moved | Departed
ObserverMessage = Join | Digests | Offer | Heartbeat | Applied | Goodbye
ToObserver = Welcome | Compare | RangeRecords | Compared | Changes | HeartbeatReply | Progress | Refused
AnyMessage = VoterMessage | ObserverMessage | ToObserver

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def write(message: AnyMessage) -> bytes:
    """A message as bytes."""
    return _encoder.encode(message)


def read(data: bytes) -> AnyMessage:
    """The message in these bytes. Raises JoinRefused for what is none."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise JoinRefused(f"a message has {len(data)} bytes, at most {MAX_MESSAGE_BYTES} may come")
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise JoinRefused(f"a message can't be read: {e}") from e
