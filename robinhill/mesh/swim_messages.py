"""Messages of the failure detector, named as in SWIM: ping, indirect ping, ack and gossip.

Every message contains gossip, which is updates on the state of members. Messages are encoded as MessagePack.
"""

import enum

import msgspec

MAX_REFUTATIONS = 1 << 60
"""The limit in one incarnation: a damaged update can't raise the count above the integers of MessagePack."""


class MemberState(enum.IntEnum):
    """The state of a member. Of two updates with equal incarnation and refutations the larger state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The state of one member, as spread by gossip.

    ``state``: a `MemberState` as a number; unknown numbers, from a newer peer, are ignored. ``incarnation``:
    identifies the process of ``name`` and increases at each start. ``refutations``: how often that process
    has refuted a suspicion. ``reporter``: the member that suspects it.
    """

    name: str
    state: int
    incarnation: int
    refutations: int
    reporter: str = ""

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and refutations. The later of two updates has the larger version."""
        return self.incarnation, self.refutations

    @property
    def is_valid(self) -> bool:
        """Whether the values are in range and the state is known to this process."""
        known_state = MemberState.ALIVE <= self.state <= MemberState.LEFT
        return known_state and self.incarnation > 0 and 0 <= self.refutations < MAX_REFUTATIONS


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Requests an `Ack` with the same number from ``target``."""

    sender: str
    incarnation: int
    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="check-for"):
    """Requests an indirect ping: the receiver pings ``target`` and forwards its `Ack` with our number."""

    sender: str
    incarnation: int
    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    """Reports that ``target`` is alive in ``target_incarnation``; sent by ``target`` itself or forwarded."""

    sender: str
    incarnation: int
    number: int
    target: str
    target_incarnation: int
    updates: tuple[MemberUpdate, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="word"):
    """Updates only: sent to partners after a change, and to announce that the sender leaves."""

    sender: str
    incarnation: int
    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | PingRequest | Ack | Gossip
