"""What the failure detector asks its owner to do: messages to write, and changes to report."""

from dataclasses import dataclass

from robinhill.mesh.swim_messages import Ack, MemberState, Ping, PingRequest


@dataclass(slots=True, frozen=True)
class SendPing:
    """Write this ping to a peer: on its link if there is one, otherwise in one short request."""

    peer: str
    message: Ping


@dataclass(slots=True, frozen=True)
class SendPingRequest:
    """Ask ``via`` to ping ``peer``."""

    peer: str
    via: str
    message: PingRequest


@dataclass(slots=True, frozen=True)
class SendAck:
    """Write this ack to a peer."""

    peer: str
    message: Ack


@dataclass(slots=True, frozen=True)
class MemberStateChanged:
    """A member is in this state from now on."""

    peer: str
    state: MemberState


@dataclass(slots=True, frozen=True)
class ProcessPaused:
    """This process did nothing for ``us``. Always the first action: check the lease before everything
    else."""

    us: int


@dataclass(slots=True, frozen=True)
class DuplicateName:
    """Another scheduler uses our name with a newer incarnation."""

    incarnation: int


Action = SendPing | SendPingRequest | SendAck | MemberStateChanged | ProcessPaused | DuplicateName
