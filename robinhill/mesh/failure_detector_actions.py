"""Actions that the failure detector returns to its owner: messages to write and events to report."""

from dataclasses import dataclass

from robinhill.mesh.swim_messages import Ack, MemberState, Ping, PingRequest


@dataclass(slots=True, frozen=True)
class SendPing:
    """Write a ping to ``peer``: on the link to it if there is one, otherwise in a separate request."""

    peer: str
    message: Ping


@dataclass(slots=True, frozen=True)
class SendPingRequest:
    """Write a request to the member ``via`` to ping ``peer`` on behalf of this scheduler."""

    peer: str
    via: str
    message: PingRequest


@dataclass(slots=True, frozen=True)
class SendAck:
    """Write an ack to ``peer``."""

    peer: str
    message: Ack


@dataclass(slots=True, frozen=True)
class MemberStateChanged:
    """The state of a member has changed to ``state``."""

    peer: str
    state: MemberState


@dataclass(slots=True, frozen=True)
class ProcessPaused:
    """This process was paused for ``us`` microseconds.

    Always the first action, so that the owner checks its lease before it does anything else.
    """

    us: int


@dataclass(slots=True, frozen=True)
class DuplicateName:
    """Another scheduler uses the name of this one, with a newer incarnation."""

    incarnation: int


Action = SendPing | SendPingRequest | SendAck | MemberStateChanged | ProcessPaused | DuplicateName
