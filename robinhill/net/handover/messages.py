"""Names and bodies of the messages in which a process hands its state to its successor.

The two processes of a scheduler may run different versions of robinhill, and either version may be the newer
one. For this reason the meaning of a key never changes, and a process ignores unknown keys in the messages it
receives. A *question* is a request that the other process answers once.
"""

from collections.abc import Mapping
from enum import Enum, auto
from typing import Any, TypedDict


class QuestionName:
    """Names of the questions that one process sends the other; the names are the same in all versions.

    A question with a name that is not listed below relays an operator's call of that name.
    """

    ENDPOINT_LIST = "hello"  # asks the predecessor for an `EndpointListExport`
    STATE = "memory"  # asks the predecessor for a `StateExport`
    SERVING = "serving"  # notifies the predecessor that the successor accepts connections
    WORKER_EVENT = "event"  # forwards a worker's callback; the answer is whether it was accepted
    # Asks the successor whether the predecessor may accept a new request with an id; the answer is whether
    # the id was not in use. Sent only to a successor whose question `STATE` has the key `CLAIMS_KEY`.
    CLAIM_ID = "claim"
    ADOPT_REQUEST = "adopt"  # hands over a request with its connection; the answer is whether it was accepted


CLAIMS_KEY = "claims"  # in the body of `QuestionName.STATE`: True if the successor answers `CLAIM_ID`


class Claim(Enum):
    """Whether the id of a new request may be used, as the process that decides it has answered."""

    GRANTED = auto()
    REFUSED = auto()  # the id is in use
    UNKNOWN = auto()  # the other process has not answered in time


class KnownEndpoints(TypedDict):
    """The endpoint list in the format of the discovery service."""

    generation: int  # the list's version
    reset: bool  # True: ``instances`` is the complete list, not a change to an earlier one
    instances: list[dict[str, Any]]


class EndpointListExport(TypedDict):
    """The answer to ``QuestionName.ENDPOINT_LIST``.

    With it, the successor can continue the watch on discovery and the lease on the endpoint list.

    Times ending in ``_us`` are microseconds of the predecessor's clock.
    """

    clock_anchor_ns: int  # the predecessor's Unix time minus the host's monotonic time
    list_confirmed_us: int | None  # when discovery last confirmed the list; None: never confirmed
    list_until_us: int  # end of the lease on the list
    discovery: str  # address of the discovery service that sent the list
    known: KnownEndpoints


class StateExport(TypedDict):
    """The answer to ``QuestionName.STATE``.

    With it, the successor makes the same decisions as the predecessor would.
    """

    decider: Mapping[str, object]  # the dispatcher's state
    drained: bool  # whether operators have drained the scheduler
    door: Mapping[str, object] | None  # admission control's state; None without admission control
