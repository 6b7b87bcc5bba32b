"""The operators' server of a voter: calls that schedulers serve too, and the removal of a scheduler."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from robinhill import protocol
from robinhill.config_types import Address
from robinhill.net.actor import Supervisor
from robinhill.net.operators.server import OperatorCalls, OperatorServer
from robinhill.protocol import Answer

MAX_OPERATOR_CALLS = 32
"""Calls that are handled concurrently."""

REMOVE_SCHEDULER_PATH = "/ops/mesh/forget"

NOT_SERVED = Answer(404, b"a voter does not serve this call, as it has no clients and no workers\n")


@dataclass(slots=True, frozen=True)
class VoterCalls:
    """The functions that carry out operators' calls to a voter.

    ``remove_scheduler`` is called with the scheduler's name; ``cordons`` with the method, the cordon's ID,
    the body, and the ``wait`` parameter of the query.
    """

    readiness: Callable[[], Answer]
    metrics: Callable[[], Answer]
    status: Callable[[], Answer]
    confirm_complete: Callable[[], Answer]
    remove_scheduler: Callable[[str], Answer]
    cordons: Callable[[str, str, bytes, str | None], Awaitable[Answer]]


class VoterOperatorServer(OperatorServer):
    """Serves the operators' address of a voter. Calls about clients and workers are answered with 404."""

    def __init__(self, address: Address, supervisor: Supervisor, voter_calls: VoterCalls) -> None:
        calls = OperatorCalls(
            readiness=voter_calls.readiness,
            stats=voter_calls.metrics,
            admission=lambda: NOT_SERVED,
            disable_worker=_no_workers,
            drain=_no_clients,
            cordons=voter_calls.cordons,
            mesh=voter_calls.status,
            confirm_complete=voter_calls.confirm_complete,
        )
        super().__init__(address, MAX_OPERATOR_CALLS, supervisor, calls)
        self._remove_scheduler = voter_calls.remove_scheduler
        self.add_route(REMOVE_SCHEDULER_PATH, "PUT", self._handle_remove)

    async def _handle_remove(self, body: bytes) -> Answer:
        return self._remove_scheduler(protocol.decode_instance_id(body))


async def _no_workers(_instance_id: str, _disable: bool) -> Answer:
    return NOT_SERVED


async def _no_clients(_start: bool) -> Answer:
    return NOT_SERVED
