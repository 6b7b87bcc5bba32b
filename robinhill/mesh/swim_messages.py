"""Messages of the failure detector, named as in SWIM: ping, indirect ping, ack and gossip.

Every message contains gossip: updates on the states of members, which are the configured schedulers. A
member's *incarnation* identifies its process and increases at each start. Messages are encoded as
MessagePack.
"""

import enum

import msgspec

MAX_REFUTATIONS = 1 << 60
"""Upper limit of the refutation count in one incarnation, which MessagePack can encode.

The limit prevents a damaged update from raising the count above the largest integer of MessagePack."""


class MemberState(enum.IntEnum):
    """The state of a member. Of two updates with equal incarnation and refutations the larger state wins.

    ``DEAD`` is the conclusion of other members; ``LEFT`` is reported by the member itself at its shutdown.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The state of one member, as spread by gossip.

    ``state``: a `MemberState` as a number; updates with an unknown number, from a newer peer, are ignored.
    ``incarnation``: identifies the process of ``name`` and increases at each start. ``refutations``: how many
    suspicions that process has refuted. ``reporter``: a member that suspects ``name``; empty unless the state
    is ``SUSPECT``.
    """

    name: str
    state: int
    incarnation: int
    refutations: int
    reporter: str = ""

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and refutations; of two updates on a member, the later one has the larger version."""
        return self.incarnation, self.refutations

    @property
    def is_valid(self) -> bool:
        """Whether the values are in range and the state is known to this process."""
        known_state = MemberState.ALIVE <= self.state <= MemberState.LEFT
        return known_state and self.incarnation > 0 and 0 <= self.refutations < MAX_REFUTATIONS


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Requests an `Ack` with the same number from ``target``, which is the receiver."""

    sender: str
    incarnation: int
    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="check-for"):
    """Requests an indirect ping: the receiver pings ``target``, and reports its `Ack` with our ``number``."""

    sender: str
    incarnation: int
    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    """Reports that ``target`` is alive in ``target_incarnation``.

    The sender is ``target`` itself, or a member that pinged ``target`` on behalf of the receiver.
    """

    sender: str
    incarnation: int
    number: int
    target: str
    target_incarnation: int
    updates: tuple[MemberUpdate, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="word"):
    """A message with updates only.

    Sent to partners (members with a link to the sender) after a change, and when the sender shuts down.
    """

    sender: str
    incarnation: int
    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | PingRequest | Ack | Gossip
