"""Messages to the actor of peer connections, and the events that it reports to the owner of the replica."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from robinhill.mesh.session import Identity
from robinhill.mesh.session_events import RecordsReceived
from robinhill.net.peers.peer_link import PeerLink


class PeerEvents(Protocol):
    """The owner of the replica. Called directly, not by a mailbox: what was received must be applied before
    an answer behind it extends a lease.
    """

    def records_received(self, received: RecordsReceived) -> None:
        """Records of a push were merged or rejected."""
        ...

    def peer_greeted(self, name: str, incarnation: int, peer_us: int) -> None:
        """A link to a peer is up; ``peer_us``: its Unix time in its hello."""
        ...

    def ping_answered(self, name: str) -> None:
        """A peer has answered a ping."""
        ...

    def link_lost(self, name: str) -> None:
        """The link to a peer was closed."""
        ...


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message was received over a link."""

    link: PeerLink
    data: bytes


@dataclass(slots=True, frozen=True)
class LinkOpened:
    """A websocket is open, whoever dialled."""

    link: PeerLink


@dataclass(slots=True, frozen=True)
class LinkClosed:
    """A websocket was closed."""

    link: PeerLink
    reason: str


@dataclass(slots=True, frozen=True)
class CheckLinks:
    """It is time to check all links."""


@dataclass(slots=True, frozen=True)
class Configure:
    """The peers and their addresses, how many links to keep, and the interval between pings."""

    identity: Identity
    addresses: Mapping[str, str]
    max_links: int
    interval_us: int


PeerMessage = MessageReceived | LinkOpened | LinkClosed | CheckLinks | Configure
