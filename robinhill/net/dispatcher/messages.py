"""The messages of the dispatcher, and those by which it notifies the admission actor.

They are handled by the modules of this package. Times are microseconds of the process's clock.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from robinhill.net.handover.messages import Claim
from robinhill.net.workers.messages import EndpointReport
from robinhill.protocol import Answer, EndpointList, JobEvent, JobRequest, ListedEndpoint

if TYPE_CHECKING:  # admission control is imported at run time only if it is configured
    from robinhill.admission.callers import Caller

Json = dict[str, Any]


# From client connections, or from the admission actor


@dataclass(slots=True, frozen=True)
class RequestAccepted:
    """A request has been read and must be answered; ``reply`` is set to its final answer."""

    request: JobRequest
    arrived_us: int
    reply: asyncio.Future[Answer]
    caller: "Caller | None" = None  # None: the request bypasses admission control


@dataclass(slots=True, frozen=True)
class IdClaimed:
    """The other process has answered whether the id of a received request may be used."""

    received: RequestAccepted
    claim: Claim


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """A client has closed its connection before its request was answered."""

    request: JobRequest


# To the admission actor


@dataclass(slots=True, frozen=True)
class FirstAttemptSent:
    """The first attempt of a request has been passed to an endpoint."""

    request: JobRequest


@dataclass(slots=True, frozen=True)
class ExecutionStarted:
    """A worker has started to run a request."""

    request: JobRequest


# From the discovery watch


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    """An endpoint list, or changes to it, from discovery; ``endpoint_list`` is None if the call failed."""

    endpoint_list: EndpointList | None
    cached: bool = False  # a complete list from the configuration or a predecessor instead of discovery
    # Time at which the last byte of the list was read, from which the lease on the endpoint list is renewed;
    # None: this message does not renew the lease.
    received_us: int | None = None


@dataclass(slots=True, frozen=True)
class ListConfirmed:
    """Discovery has reported that the endpoint list has not changed since ``version``.

    ``received_us`` is the time at which the report was received.
    """

    version: int
    received_us: int


@dataclass(slots=True, frozen=True)
class DiscoveryUnreachable:
    """Discovery was unreachable at ``as_of_us``, according to a failed call that started at ``called_us``."""

    called_us: int
    as_of_us: int


@dataclass(slots=True, frozen=True)
class DiscoveryAddressChanged:
    """At ``at_us``, the discovery watch has switched to another address of discovery."""

    at_us: int


# From operators and the other schedulers


@dataclass(slots=True, frozen=True)
class SetWorkerDisabled:
    """An operator's call to disable a worker or to enable it again; ``reply`` is set to the call's answer."""

    instance_id: str
    disabled: bool
    reply: asyncio.Future[Answer]
    listed_elsewhere: bool = False  # the other process of this scheduler has the worker on its endpoint list


@dataclass(slots=True, frozen=True)
class CordonsChanged:
    """The cordons have changed. No new attempt is sent to workers for which ``covers`` returns True.

    ``on_applied`` is called once all endpoints have applied the change.
    """

    covers: Callable[[ListedEndpoint], bool]
    on_applied: Callable[[], None]


@dataclass(slots=True, frozen=True)
class SendLeaseChanged:
    """The lease on the cordons may have been lost or acquired; the dispatcher must check if it is held."""


# From the other process of this scheduler


@dataclass(slots=True, frozen=True)
class ReleaseRequest:
    """Release a request to the successor process.

    ``reply`` is set to the state of the request, or to None if this process retains the request.
    """

    request: JobRequest
    reply: asyncio.Future[Json | None]


@dataclass(slots=True, frozen=True)
class AdoptRequest:
    """Adopt a request that another process has released; ``reply`` is set to the request's final answer.

    ``adopted`` is set to whether the request is in flight in this process now; False if the table of requests
    in flight has another request with its id.
    """

    request: JobRequest
    state: Json
    reply: asyncio.Future[Answer]
    adopted: asyncio.Future[bool]
    released_here: bool = False  # this process itself had released the request; no other process adopted it


@dataclass(slots=True, frozen=True)
class PredecessorListReceived:
    """The predecessor's endpoint list, and its lease on it.

    ``endpoint_list`` is None if the list has not changed. For the other fields see `ListLease`.
    """

    version: int
    endpoint_list: EndpointList | None
    confirmed_us: int | None
    until_us: int


@dataclass(slots=True, frozen=True)
class PredecessorExited:
    """The predecessor process has exited, so that it releases no further requests."""


# From the dispatcher itself


@dataclass(slots=True, frozen=True, eq=False)
class TimerDue:
    """A timer of the decision module is due."""

    tag: str


DispatcherMessage = (
    RequestAccepted
    | IdClaimed
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
    | PredecessorListReceived
    | PredecessorExited
    | TimerDue
    | JobEvent
    | EndpointReport
)
DISCOVERY_MESSAGES = (EndpointListReceived, ListConfirmed, DiscoveryUnreachable, DiscoveryAddressChanged)
