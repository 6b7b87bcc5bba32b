"""The messages that the dispatcher takes, and what it notifies admission control of.

Values only: what is done about a message is in dispatcher.py and the modules beside it. Times are
microseconds of the process's clock.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from robinhill.net.workers.messages import EndpointReport
from robinhill.protocol import Answer, EndpointList, JobEvent, JobRequest, ListedEndpoint

if TYPE_CHECKING:  # admission control is loaded only where it is configured
    from robinhill.admission.callers import Caller

Json = dict[str, Any]


# From clients' connections, or from admission control


@dataclass(slots=True, frozen=True)
class RequestAccepted:
    """A request has been read and must be answered; ``reply`` takes its final answer."""

    request: JobRequest
    arrived_us: int
    reply: asyncio.Future[Answer]
    caller: "Caller | None" = None  # None: it does not pass admission control


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """A client closed its connection before its answer."""

    request: JobRequest


# To admission control


@dataclass(slots=True, frozen=True)
class FirstAttemptSent:
    """The first attempt of a request has been given to an endpoint."""

    request: JobRequest


@dataclass(slots=True, frozen=True)
class ExecutionStarted:
    """A worker has begun to run a request."""

    request: JobRequest


# From the watch on discovery


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    """An endpoint list, changes to it, or None if a call to discovery failed."""

    endpoint_list: EndpointList | None
    cached: bool = False
    received_us: int | None = None  # when its last byte was read; None: it does not renew the list's lease


@dataclass(slots=True, frozen=True)
class ListConfirmed:
    """Discovery has answered that nothing has changed since ``version``."""

    version: int
    received_us: int


@dataclass(slots=True, frozen=True)
class DiscoveryUnreachable:
    """A call begun at ``called_us`` has shown that discovery could not be reached at ``as_of_us``."""

    called_us: int
    as_of_us: int


@dataclass(slots=True, frozen=True)
class DiscoveryAddressChanged:
    """Discovery is watched at another address since ``at_us``."""

    at_us: int


# From operators and the other schedulers


@dataclass(slots=True, frozen=True)
class SetWorkerDisabled:
    """An operator's call to disable a worker or to enable it again; ``reply`` takes the answer to it."""

    instance_id: str
    disabled: bool
    reply: asyncio.Future[Answer]
    listed_elsewhere: bool = False  # in the other process of this scheduler, though not in this one's list


@dataclass(slots=True, frozen=True)
class CordonsChanged:
    """Workers that ``covers`` accepts get nothing new; ``on_applied`` is called once endpoints comply."""

    covers: Callable[[ListedEndpoint], bool]
    on_applied: Callable[[], None]


@dataclass(slots=True, frozen=True)
class SendLeaseChanged:
    """Whether this scheduler may send may have changed: the lease on the cordons is to be read again."""


# From the other process of this scheduler


@dataclass(slots=True, frozen=True)
class ReleaseRequest:
    """Give a request up to the successor; ``reply`` takes its state, or None while it can't be released."""

    request: JobRequest
    reply: asyncio.Future[Json | None]


@dataclass(slots=True, frozen=True)
class AdoptRequest:
    """Go on with a request that another process has released; ``reply`` takes its final answer."""

    request: JobRequest
    state: Json
    reply: asyncio.Future[Answer]
    adopted: asyncio.Event  # set once the request is here
    released_here: bool = False  # this process had released it, and no other has taken it


# From the dispatcher itself


@dataclass(slots=True, frozen=True, eq=False)
class TimerDue:
    """A timer of the decision module's is due."""

    tag: str


DispatcherMessage = (
    RequestAccepted
    | ClientDisconnected
    | EndpointListReceived
    | ListConfirmed
    | DiscoveryUnreachable
    | DiscoveryAddressChanged
    | SetWorkerDisabled
    | CordonsChanged
    | SendLeaseChanged
    | ReleaseRequest
    | AdoptRequest
    | TimerDue
    | JobEvent
    | EndpointReport
)
DISCOVERY_MESSAGES = (EndpointListReceived, ListConfirmed, DiscoveryUnreachable, DiscoveryAddressChanged)
