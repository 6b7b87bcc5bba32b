"""Operators' calls about cordons: what the mesh and the control group have in common."""

import asyncio
from dataclasses import dataclass
from typing import Any

import msgspec

from robinhill.cordon import views
from robinhill.cordon.budget import Location
from robinhill.cordon.errors import CordonUnknown
from robinhill.cordon.index import CordonIndex, targets_of
from robinhill.errors import RobinhillError
from robinhill.protocol import Answer, ListedEndpoint

Json = dict[str, Any]

NOT_STORED = 507
"""The kind is full."""


@dataclass(slots=True, frozen=True)
class CordonCall:
    """An operator's call; ``wait`` is the query's word, None: it waits only to be accepted."""

    method: str
    cordon_id: str
    body: bytes
    wait: str | None
    reply: asyncio.Future[Answer]

    @property
    def wait_us(self) -> int | None:
        """How long to wait until it is in force. Raises CordonError where the word is no time."""
        return views.read_wait(self.wait.removesuffix("s")) if self.wait is not None else None


def counted_targets(index: CordonIndex) -> frozenset[str]:
    """The targets that are cordoned now."""
    return frozenset(target for target, entry in index.active() if index.is_in_effect(target, entry.reason))


def location_of(destination: ListedEndpoint) -> Location:
    """Where a worker stands, as targets name it."""
    return Location(destination.zone, destination.machine_type, destination.cell)


def covers(targets: frozenset[str], destination: ListedEndpoint) -> bool:
    """Whether a worker is among what is cordoned. Cheap: asked before each send."""
    if not targets:
        return False
    return not targets.isdisjoint(targets_of(destination.instance_id, location_of(destination)))


def keep_only(told: Json, cordon_id: str) -> None:
    """Leave one cordon in a listing. Raises CordonUnknown where it is not there."""
    known = sorted({cordon["id"] for cordon in told["cordons"]})
    told["cordons"] = [cordon for cordon in told["cordons"] if cordon["id"] == cordon_id]
    if not told["cordons"]:
        raise CordonUnknown(cordon_id, known)


def error_body(error: RobinhillError) -> Json:
    """What an operator is told of an error."""
    return {"error": error.what, "advice": error.advice, "type": error.code}


def answer(status: int, body: Json) -> Answer:
    """An answer in JSON, a line."""
    return Answer(status, msgspec.json.encode(body) + b"\n")
