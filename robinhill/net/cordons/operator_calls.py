"""Operators' calls about cordons: the message, its errors, and what a call's targets are. For both kinds of
process; it carries out nothing itself, see `mesh_calls` and `group_member`.
"""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from robinhill.cordon import views
from robinhill.cordon.budget import Location
from robinhill.cordon.errors import CordonError, CordonUnknown
from robinhill.cordon.index import CordonIndex, targets_of
from robinhill.cordon.views import CordonView
from robinhill.errors import RobinhillError
from robinhill.net.cordons.replies import ListingReply, make_answer, make_error_reply
from robinhill.protocol import Answer, ListedEndpoint

HTTP_SERVER_ERROR = 500
HTTP_INSUFFICIENT_STORAGE = 507


@dataclass(slots=True, frozen=True)
class CordonCall:
    """An operator's call. ``wait`` is the query's parameter; None: it waits only to be accepted."""

    method: str
    cordon_id: str
    body: bytes
    wait: str | None
    reply: asyncio.Future[Answer]

    @property
    def wait_us(self) -> int | None:
        """How long to wait until the change is in force. Raises CordonMalformed."""
        return views.read_wait(self.wait.removesuffix("s")) if self.wait is not None else None


class CallHandler(Protocol):
    """What carries out calls at a process."""

    def show(self, cordon_id: str) -> ListingReply:
        """Return one cordon, or all for ''. Raises CordonUnknown."""

    def change(self, call: CordonCall) -> None:
        """Write a change; the call is answered once it has come as far as the caller waits for."""


def handle_call(call: CordonCall, handler: CallHandler, statuses: Mapping[type[RobinhillError], int]) -> None:
    """Carry out a call, and answer it at once where it shows cordons or fails.

    ``statuses`` are the HTTP statuses of errors.
    """
    if call.reply.done():
        return
    try:
        if call.method == "GET":
            call.reply.set_result(make_answer(200, handler.show(call.cordon_id)))
        else:
            handler.change(call)
    except RobinhillError as e:
        default = HTTP_SERVER_ERROR if isinstance(e, CordonError) else HTTP_INSUFFICIENT_STORAGE
        call.reply.set_result(make_answer(statuses.get(type(e), default), make_error_reply(e)))


def select_cordons(cordons: Sequence[CordonView], cordon_id: str) -> Sequence[CordonView]:
    """Return the cordons with an ID, all for ''. Raises CordonUnknown where there is none."""
    if not cordon_id:
        return cordons
    selected = [cordon for cordon in cordons if cordon.id == cordon_id]
    if not selected:
        raise CordonUnknown(cordon_id, sorted({cordon.id for cordon in cordons}))
    return selected


def cordoned_targets(index: CordonIndex) -> frozenset[str]:
    """Return the targets that are cordoned now."""
    return frozenset(target for target, entry in index.active() if index.is_in_effect(target, entry.reason))


def location_of(endpoint: ListedEndpoint) -> Location:
    """Return where a worker is."""
    return Location(endpoint.zone, endpoint.machine_type, endpoint.cell)


def covers(targets: frozenset[str], endpoint: ListedEndpoint) -> bool:
    """Return whether targets apply to a worker. Cheap enough to be asked before each send."""
    if not targets:
        return False
    return not targets.isdisjoint(targets_of(endpoint.instance_id, location_of(endpoint)))


def change_warnings(index: CordonIndex, targets: Sequence[str]) -> tuple[str, ...]:
    """Return the warnings about all targets of a cordon, by ascending target."""
    return tuple(warning for target in sorted(targets) for warning in index.warnings(target))
