"""The messages of the dispatcher, and those by which it notifies the admission actor.

They are handled in dispatcher.py and the modules beside it. Times are microseconds of the process's clock.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

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
    cached: bool = False
    received_us: int | None = None  # when its last byte was read; None: it does not renew the list lease


@dataclass(slots=True, frozen=True)
class ListConfirmed:
    """Discovery has answered that nothing has changed since ``version``."""

    version: int
    received_us: int


@dataclass(slots=True, frozen=True)
class DiscoveryUnreachable:
    """Discovery was unreachable at ``as_of_us``, as shown by a call that started at ``called_us``."""

    called_us: int
    as_of_us: int


@dataclass(slots=True, frozen=True)
class DiscoveryAddressChanged:
    """The discovery watch has used a different address since ``at_us``."""

    at_us: int


# From operators and the other schedulers


@dataclass(slots=True, frozen=True)
class SetWorkerDisabled:
    """An operator's call to disable a worker or to enable it again; ``reply`` is set to its answer."""

    instance_id: str
    disabled: bool
    reply: asyncio.Future[Answer]
    listed_elsewhere: bool = False  # the other process of this scheduler has the worker on its endpoint list


@dataclass(slots=True, frozen=True)
class CordonsChanged:
    """The cordons have changed. Nothing new is sent to workers for which ``covers`` returns True.

    ``on_applied`` is called once all endpoints comply.
    """

    covers: Callable[[ListedEndpoint], bool]
    on_applied: Callable[[], None]


@dataclass(slots=True, frozen=True)
class SendLeaseChanged:
    """The lease on the cordons may have been lost or acquired; the dispatcher must read its state again."""


# From the other process of this scheduler


@dataclass(slots=True, frozen=True)
class ReleaseRequest:
    """Release a request to the successor; ``reply`` is set to its state, or to None if that failed."""

    request: JobRequest
    reply: asyncio.Future[Json | None]


@dataclass(slots=True, frozen=True)
class AdoptRequest:
    """Adopt a request that another process has released; ``reply`` is set to its final answer."""

    request: JobRequest
    state: Json
    reply: asyncio.Future[Answer]
    adopted: asyncio.Event  # set once the request is in flight in this process
    released_here: bool = False  # this process released the request itself, and no other process adopted it


# From the dispatcher itself


@dataclass(slots=True, frozen=True, eq=False)
class TimerDue:
    """A timer of the decision module is due."""

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
