"""Messages to the actor of peer connections, and the events that it reports to the owner of the replica."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from robinhill.mesh.session import Identity
from robinhill.mesh.session_events import RecordsReceived
from robinhill.net.peers.peer_link import PeerLink


class PeerEvents(Protocol):
    """The owner of the replica, which is notified of the links' events.

    Its methods are called directly and not through a mailbox: received records must be applied before an
    answer to a ping, received later on the same link, extends a lease. A link's first message is a hello.
    """

    def records_received(self, received: RecordsReceived) -> None:
        """Handle the records that a peer has pushed, and that the replica has merged or rejected."""
        ...

    def hello_received(self, name: str, incarnation: int, peer_us: int) -> None:
        """Handle a peer's hello on a new link; ``peer_us``: the peer's Unix time in the hello."""
        ...

    def ping_answered(self, name: str) -> None:
        """Handle a peer's answer to a ping."""
        ...

    def link_lost(self, name: str) -> None:
        """Handle the loss of the link to a peer."""
        ...


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message was received over a link."""

    link: PeerLink
    data: bytes


@dataclass(slots=True, frozen=True)
class LinkOpened:
    """A websocket was opened by either side."""

    link: PeerLink


@dataclass(slots=True, frozen=True)
class LinkClosed:
    """A websocket was closed."""

    link: PeerLink
    reason: str


@dataclass(slots=True, frozen=True)
class CheckLinks:
    """The periodic check of all links is due."""


@dataclass(slots=True, frozen=True)
class Configure:
    """A new configuration of the links.

    ``identity``: what this scheduler's hello states about it; ``addresses``: host:port by the peer's name;
    ``max_links``: maximum number of links; ``interval_us``: interval between pings.
    """

    identity: Identity
    addresses: Mapping[str, str]
    max_links: int
    interval_us: int


PeerMessage = MessageReceived | LinkOpened | LinkClosed | CheckLinks | Configure
