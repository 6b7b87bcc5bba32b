"""The dispatcher's handling of duplicate request ids and of clients that disconnect."""

import asyncio
import json
from pathlib import Path

from robinhill import config, protocol
from robinhill.api import Outcome
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.dispatcher.dispatcher import Dispatcher
from robinhill.net.dispatcher.messages import ClientDisconnected, RequestAccepted
from robinhill.net.metrics import Metrics
from robinhill.net.workers.messages import AttemptEnded

from .test_config import ENTRY, GIVEN


def test_disconnect_of_a_request_with_a_duplicate_id_leaves_the_first_request_in_flight(
    tmp_path: Path,
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GIVEN))

    async def run_duplicate() -> None:
        clock = Clock()
        loaded = config.load({"GW_CONFIG": str(path)})
        dispatcher = Dispatcher(loaded, Supervisor(), clock, Metrics(loaded.classes))
        first, second = (protocol.JobRequest("j1", 1, 25_000_000, False, "/x", b"", ()) for _ in range(2))
        replies = [asyncio.get_running_loop().create_future() for _ in range(2)]
        replies[1].cancel()  # the client disconnects before the dispatcher handles its request
        for request, reply in zip((first, second), replies, strict=True):
            dispatcher.receive(RequestAccepted(request, clock.now_us(), reply))
        dispatcher.receive(ClientDisconnected(second))
        (in_flight,) = dispatcher.in_flight.by_number.values()
        assert in_flight.request is first and in_flight.answer_pending and not replies[0].done()

    asyncio.run(run_duplicate())


def test_request_of_a_disconnected_client_counts_as_active_until_its_attempt_ends(tmp_path: Path) -> None:
    """Guards against a low active count: it showed half of the load when many clients had disconnected."""
    path = tmp_path / "config.json"
    known = {"generation": 1, "reset": True, "instances": [ENTRY | {"lifecycle": "active"}]}
    path.write_text(json.dumps(GIVEN | {"known": known}))

    async def run_disconnect() -> None:
        clock, supervisor, loaded = Clock(), Supervisor(), config.load({"GW_CONFIG": str(path)})
        dispatcher = Dispatcher(loaded, supervisor, clock, Metrics(loaded.classes))
        dispatcher.start()
        request = protocol.JobRequest("j1", 1, 25_000_000, False, "/x", b"", ())
        dispatcher.receive(
            RequestAccepted(request, clock.now_us(), asyncio.get_running_loop().create_future())
        )
        dispatcher.receive(ClientDisconnected(request))
        assert b"app.active:1|g" in dispatcher.stats().body
        dispatcher.receive(AttemptEnded(1, 0, Outcome.COMPLETED, 50_000, "late"))
        assert (
            b"app.active:0|g" in dispatcher.stats().body
            and not dispatcher.in_flight.numbers
            and not dispatcher.balancer.attempts
        )
        await supervisor.close()
        await dispatcher.close()

    asyncio.run(run_disconnect())
