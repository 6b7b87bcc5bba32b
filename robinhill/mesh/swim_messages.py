"""Messages of the failure detector, by the names of SWIM: ping, indirect ping, ack and gossip.

Every message carries gossip: updates on the state of members. The messages travel as MessagePack.
"""

import enum

import msgspec

MAX_REFUTATIONS = 1 << 60
"""In one incarnation, so that a damaged update cannot raise the count beyond what MessagePack holds."""


class MemberState(enum.IntEnum):
    """The state of a member. Between equal incarnations and refutations the larger state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The state of one member, as gossip spreads it.

    ``state`` is a `MemberState` as a number; unknown ones, of a newer peer, are ignored. ``incarnation`` is
    the start of ``name``; ``refutations`` how often it has refuted a suspicion since. ``reporter``: who
    suspects it.
    """

    name: str
    state: int
    incarnation: int
    refutations: int
    reporter: str = ""

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and refutations: the later update has the larger one."""
        return self.incarnation, self.refutations

    @property
    def is_valid(self) -> bool:
        """Whether its values are in bounds and its state is known here."""
        known_state = MemberState.ALIVE <= self.state <= MemberState.LEFT
        return known_state and self.incarnation > 0 and 0 <= self.refutations < MAX_REFUTATIONS


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Asks ``target`` for an `Ack` with the same number."""

    sender: str
    incarnation: int
    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="check-for"):
    """Asks the reader to ping ``target`` for us, and to pass on its `Ack` with our number."""

    sender: str
    incarnation: int
    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    """``target`` is alive in incarnation ``target_incarnation``: sent by itself, or passed on."""

    sender: str
    incarnation: int
    number: int
    target: str
    target_incarnation: int
    updates: tuple[MemberUpdate, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="word"):
    """Updates alone: for partners when something changed, and the farewell of a member that leaves."""

    sender: str
    incarnation: int
    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | PingRequest | Ack | Gossip
