"""What a process tells its successor of itself, by the keys that all versions know.

A key keeps its meaning for ever, and a reader ignores keys that it does not know: the two processes of a
scheduler may be of different versions, in either direction.
"""

from collections.abc import Mapping
from typing import Any, TypedDict


class QuestionName:
    """Names of questions in all versions; any other name is that of an operator's call."""

    ENDPOINT_LIST = "hello"
    STATE = "memory"
    SERVING = "serving"
    WORKER_EVENT = "event"
    ADOPT_REQUEST = "adopt"


class KnownEndpoints(TypedDict):
    """The endpoint list in discovery's own form."""

    generation: int
    reset: bool
    instances: list[dict[str, Any]]


class EndpointListExport(TypedDict):
    """The answer to ``QuestionName.ENDPOINT_LIST``: enough to watch discovery by itself."""

    clock_anchor_ns: int
    list_confirmed_us: int | None  # None: discovery has not confirmed the list
    list_until_us: int  # end of the lease on the list
    discovery: str  # the address whose list it is
    known: KnownEndpoints


class StateExport(TypedDict):
    """The answer to ``QuestionName.STATE``: enough to decide as this process would."""

    decider: Mapping[str, object]  # the dispatcher's state
    drained: bool  # by operators
    door: Mapping[str, object] | None  # admission control's state; None: there is none
