"""Names and bodies of the messages in which a process hands its state to its successor.

The two processes of a scheduler may be of different versions, and either may be the newer one. So the meaning
of a key never changes, and a reader ignores unknown keys.
"""

from collections.abc import Mapping
from typing import Any, TypedDict


class QuestionName:
    """Names of the questions that one process sends the other; the names are the same in all versions.

    A question with any other name relays an operator's call.
    """

    ENDPOINT_LIST = "hello"
    STATE = "memory"
    SERVING = "serving"
    WORKER_EVENT = "event"
    ADOPT_REQUEST = "adopt"


class KnownEndpoints(TypedDict):
    """The endpoint list in the format of the discovery service."""

    generation: int
    reset: bool
    instances: list[dict[str, Any]]


class EndpointListExport(TypedDict):
    """The answer to ``QuestionName.ENDPOINT_LIST``: the state from which a successor watches discovery."""

    clock_anchor_ns: int
    list_confirmed_us: int | None  # None: discovery has not confirmed the list
    list_until_us: int  # end of the lease on the list
    discovery: str  # address of the discovery service that sent the list
    known: KnownEndpoints


class StateExport(TypedDict):
    """The answer to ``QuestionName.STATE``: the state for making the same decisions as this process."""

    decider: Mapping[str, object]  # the dispatcher's state
    drained: bool  # whether operators have drained the scheduler
    door: Mapping[str, object] | None  # admission control's state; None without admission control
