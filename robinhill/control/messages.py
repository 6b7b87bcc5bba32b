"""Messages on links of the control group: tagged MessagePack arrays. Links deliver messages in order.

There are two kinds of links: between two voters (`MeshData` carries the frames of `robinhill.mesh.session`),
and from an observer, which is a scheduler, to a voter. An observer receives all changes on its *primary* link
and only heartbeat replies on its *spare* link to another voter. A voter *counts for majorities* once it knows
all changes that were ever accepted, that is, stored by a majority of voters.

A position is the sequence number of a change in the log of one incarnation of one voter; positions of
different logs can't be compared. Replicas are compared by the digests of *ranges*: the hash of a record's
name assigns the record to one of 256 ranges. Changes of *urgent* record kinds are sent to observers before
all others. Times are microseconds; ``at_us`` is Unix time. The order of fields and the tags define the wire
format and never change.
"""

from typing import NamedTuple

import msgspec

from robinhill.control.errors import JoinRefused
from robinhill.mesh.records import Record

PROTOCOL = 1
GOODBYE_JOIN_NUMBER = 1 << 62
"""Join number that represents an observer's goodbye; higher than any join number of the same incarnation."""

MAX_MESSAGE_BYTES = 1 << 20
"""The receiver closes a link on which a larger message arrives."""

MAX_LAGGING_NAMES = 16
"""Maximum number of names of lagging observers and voters in a message; the message's ``lagging_count`` also
includes those that are not named."""


class VoterIncarnation(NamedTuple):
    """One process of a voter; the voter's process after a restart has a higher incarnation."""

    name: str
    incarnation: int


class ObserverJoin(NamedTuple):
    """The join of an observer's process to a voter.

    ``number`` increases with each join of one incarnation of the observer.
    """

    name: str
    incarnation: int
    number: int


# Between voters


class MeshData(msgspec.Struct, frozen=True, array_like=True, tag="mesh"):
    """Frames of the replication session between two voters, such as records, pings and digests."""

    data: bytes


class VoterStatus(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """The state of the voter that sends the message.

    ``counts``: the sender counts for majorities. ``voters``: digest of the list of voters that the sender
    uses. ``incarnations``: the newest incarnation that the sender knows of each voter, itself included.
    """

    incarnation: int
    counts: bool
    voters: bytes
    incarnations: tuple[VoterIncarnation, ...]


class Barrier(msgspec.Struct, frozen=True, array_like=True, tag="barrier"):
    """Asks how many of the receiver's observers have not applied all changes that the receiver has stored
    when it receives the barrier.

    The sender has sent the changes that the barrier covers on the same ordered link before the barrier.
    ``number``: chosen by the sender, and repeated in each `BarrierStatus`. ``urgent``: the request covers
    only changes of urgent record kinds. ``hold``: a scheduler without a lease sends no jobs, so the receiver
    doesn't wait for observers whose leases have expired.
    """

    number: int
    urgent: bool
    hold: bool


class BarrierStatus(msgspec.Struct, frozen=True, array_like=True, tag="behind"):
    """The sender has stored the changes of a barrier; ``lagging_count`` of its observers may not have applied
    them yet.

    ``counts``: the sender counted for majorities, and did not lack records of the receiver that the sender
    had rejected. ``incarnations``: as in `VoterStatus`; the receiver records them before it counts the status
    as a confirmation that the sender has stored the changes.
    """

    number: int
    incarnation: int
    counts: bool
    incarnations: tuple[VoterIncarnation, ...]
    lagging_count: int
    lagging_names: tuple[str, ...]


class BarrierEnd(msgspec.Struct, frozen=True, array_like=True, tag="unbar"):
    """The sender needs no further status of this barrier."""

    number: int


class Migrated(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """These observers are synchronized with the sender, or said goodbye to the sender.

    A receiver that knows an earlier join of one of these observers stops waiting for that observer to apply
    changes.
    """

    observers: tuple[ObserverJoin, ...]


class Departed(msgspec.Struct, frozen=True, array_like=True, tag="departed"):
    """Asks whether the receiver knows later joins of observers that disconnected from the sender without a
    goodbye.

    The sender still waits for these observers to apply its changes, although their leases have expired.
    A voter that knows a later join of one of them replies with `Migrated`. The reply is needed if an earlier
    `Migrated` was lost, or arrived before the earlier join that the `Migrated` supersedes.
    """

    observers: tuple[ObserverJoin, ...]


# From an observer


class Join(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """The first message on a link; a second join on a spare link makes that link the primary link.

    ``voter``, ``voter_incarnation``, ``position``: the observer has all changes in the log of that voter's
    incarnation up to the position; -1: it has the complete state of no voter. ``bound_us``, ``on_lost``: the
    observer's bound and modes (`ControlOptions.modes`), which must equal the voter's. ``spare``: the observer
    wants heartbeat replies only. ``number`` counts the joins of this incarnation of the observer, so that
    voters can tell the later of two joins.
    """

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
    """Records of the observer that the voter may lack.

    ``number`` 0: a comparison found the records, and the observer wants no `Progress`. Any other number
    identifies a change that the observer wrote, and the voter reports the `Progress` of this change.
    """

    number: int
    records: tuple[Record, ...]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Requests a `HeartbeatReply`, which the voter sends after all changes that it knows when it reads the
    heartbeat.

    ``number`` identifies the heartbeat in the reply; 0: no lease depends on the reply, and the voter replies
    at once.
    """

    number: int


class Applied(msgspec.Struct, frozen=True, array_like=True, tag="applied"):
    """The observer has applied all changes up to ``position``, and all urgent changes up to ``urgent``; -1:
    the observer does not have the voter's complete state as of any position yet.

    ``received``: number of `RangeRecords`, `Compared` and `Changes` messages received on this link; it
    advances the voter's send window.
    """

    received: int
    position: int
    urgent: int


class Goodbye(msgspec.Struct, frozen=True, array_like=True, tag="goodbye"):
    """The observer sends no more jobs, so no change needs to wait until the observer has applied it."""


# To an observer


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """Accepts a join.

    ``resumed``: the voter sends the changes after the position in the join, without a comparison; False: a
    comparison follows, or the link is spare.
    """

    voter: str
    incarnation: int
    resumed: bool


class Compare(msgspec.Struct, frozen=True, array_like=True, tag="compare"):
    """Requests the observer's `Digests`; sent once the voter has capacity for a comparison."""


class RangePart(msgspec.Struct, frozen=True, array_like=True):
    """Some of the voter's records in a range whose digests differed.

    ``index``: number of the range. ``last``: with this part, the voter has sent all its records of the range.
    """

    index: int
    records: tuple[Record, ...]
    last: bool


class RangeRecords(msgspec.Struct, frozen=True, array_like=True, tag="ranges"):
    """Some of the voter's records in one or more ranges whose digests differed."""

    parts: tuple[RangePart, ...]


class Compared(msgspec.Struct, frozen=True, array_like=True, tag="compared"):
    """Ends a comparison: with the records sent in `RangeRecords`, the observer has all records that the voter
    had at ``position`` of the voter's log.

    ``position`` 0: the voter skipped the comparison because the observer had not confirmed all changes yet,
    or the voter's log is empty.
    """

    position: int


class Changes(msgspec.Struct, frozen=True, array_like=True, tag="changes"):
    """The newest values of the records that have changed since the observer's position, up to ``position``.

    ``urgent``: the message covers only records of urgent kinds.
    """

    position: int
    urgent: bool
    records: tuple[Record, ...]


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """When the voter read heartbeat ``number``, it knew a majority's state that was ``age_us`` old: for each
    voter of a majority, the state that this voter had ``age_us`` earlier.

    ``age_us`` -1: the voter knew no majority's state. The changes up to ``position``, which the voter sent
    before the reply, include all changes that the voter knew when it read the heartbeat. On a spare link, and
    if ``number`` is 0, ``position`` is 0.
    """

    number: int
    age_us: int
    position: int


class Progress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """Progress of an offered change; ``number`` is the number in the `Offer`.

    ``accepted``: a majority of voters has stored the change, so it can't be lost any more; or one voter has
    stored it, and schedulers continue to send jobs without a lease (mode `serve`). ``in_force``: no scheduler
    can send jobs any more without knowing the change. ``lagging_count``: number of observers that may not
    have applied the change, and of voters whose `BarrierStatus` is missing or, because the voter rejected a
    record, incomplete. ``lagging_names``: some of the names of these observers and voters.
    """

    number: int
    accepted: bool
    in_force: bool
    lagging_count: int
    lagging_names: tuple[str, ...]


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The voter rejects the observer and closes the link; ``why`` is the reason for the operator."""

    why: str


VoterMessage = MeshData | VoterStatus | Barrier | BarrierStatus | BarrierEnd | Migrated | Departed
ObserverMessage = Join | Digests | Offer | Heartbeat | Applied | Goodbye
ToObserver = Welcome | Compare | RangeRecords | Compared | Changes | HeartbeatReply | Progress | Refused
AnyMessage = VoterMessage | ObserverMessage | ToObserver

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def write(message: AnyMessage) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def read(data: bytes) -> AnyMessage:
    """Decode a message. Raises JoinRefused if the message is malformed or too large."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise JoinRefused(f"a message has {len(data)} bytes, the limit is {MAX_MESSAGE_BYTES}")
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise JoinRefused(f"a message can't be decoded: {e}") from e
