"""Operators' calls about cordons: the message, the answers to failed calls, and helpers for targets.

Schedulers with peers and members of the control group both use this module. The calls are carried out in
`mesh_calls` and `group_member`.
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
    """An operator's call.

    ``cordon_id`` is '' for a GET of all cordons. ``wait`` is the query parameter of that name: the number of
    seconds to wait until the requested change is in force. Without the parameter (None), a call that changes
    cordons waits only until the change is accepted.
    """

    method: str
    cordon_id: str
    body: bytes
    wait: str | None
    reply: asyncio.Future[Answer]

    @property
    def wait_us(self) -> int | None:
        """The maximum time to wait until the change is in force, in microseconds; None without ``wait``.

        Raises CordonMalformed if ``wait`` is invalid.
        """
        return views.read_wait(self.wait.removesuffix("s")) if self.wait is not None else None


class CallHandler(Protocol):
    """The part of a process that carries out calls: `MeshCalls` or `GroupCordons`."""

    def show(self, cordon_id: str) -> ListingReply:
        """Return the cordon with an ID, or all cordons for ''. Raises CordonUnknown if none has the ID."""

    def change(self, call: CordonCall) -> None:
        """Write the requested change, and answer the call when its wait ends.

        The wait ends once the change has reached the state that the caller waits for, or at a timeout.
        """


def handle_call(call: CordonCall, handler: CallHandler, statuses: Mapping[type[RobinhillError], int]) -> None:
    """Carry out a call, unless it already has an answer.

    A GET, and a call that is rejected, are answered before this function returns. The handler answers each
    other call later, or at once if there is nothing to wait for.

    ``statuses`` maps error classes to HTTP statuses. The status of any other error is 500 if it is a
    CordonError, and otherwise 507, for example if a limit of stored records is reached.
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
    """Return the cordons with an ID, or all cordons for ''. Raises CordonUnknown if none has the ID."""
    if not cordon_id:
        return cordons
    selected = [cordon for cordon in cordons if cordon.id == cordon_id]
    if not selected:
        raise CordonUnknown(cordon_id, sorted({cordon.id for cordon in cordons}))
    return selected


def cordoned_targets(index: CordonIndex) -> frozenset[str]:
    """Return the targets with a cordon that is in effect."""
    return frozenset(target for target, entry in index.active() if index.is_in_effect(target, entry.reason))


def location_of(endpoint: ListedEndpoint) -> Location:
    """Return the zone, machine type and cell of a listed worker."""
    return Location(endpoint.zone, endpoint.machine_type, endpoint.cell)


def covers(targets: frozenset[str], endpoint: ListedEndpoint) -> bool:
    """Return whether a worker is in one of the targets. Cheap enough to be called before each send."""
    if not targets:
        return False
    return not targets.isdisjoint(targets_of(endpoint.instance_id, location_of(endpoint)))


def change_warnings(index: CordonIndex, targets: Sequence[str]) -> tuple[str, ...]:
    """Return the index's warnings about the targets of a cordon, ordered by target."""
    return tuple(warning for target in sorted(targets) for warning in index.warnings(target))
