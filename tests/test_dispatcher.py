"""What clients do to a request that is held, by repeating its id or by leaving."""

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


def test_a_client_that_repeats_an_id_and_leaves_does_not_end_the_first(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GIVEN))

    async def repeat() -> None:
        clock = Clock()
        given = config.load({"GW_CONFIG": str(path)})
        dispatcher = Dispatcher(given, Supervisor(), clock, Metrics(given.classes))
        first, second = (protocol.JobRequest("j1", 1, 25_000_000, False, "/x", b"", ()) for _ in range(2))
        replies = [asyncio.get_running_loop().create_future() for _ in range(2)]
        replies[1].cancel()  # its client has gone before the dispatcher looks
        for request, reply in zip((first, second), replies, strict=True):
            dispatcher.receive(RequestAccepted(request, clock.now_us(), reply))
        dispatcher.receive(ClientDisconnected(second))
        (held,) = dispatcher.in_flight.by_number.values()
        assert held.request is first and held.answer_pending and not replies[0].done()

    asyncio.run(repeat())


def test_a_request_whose_client_left_is_active_until_its_attempt_ends(tmp_path: Path) -> None:
    """Operators ask what the scheduler has in hand; a crowd of clients that leave showed as half of it."""
    path = tmp_path / "config.json"
    known = {"generation": 1, "reset": True, "instances": [ENTRY | {"lifecycle": "active"}]}
    path.write_text(json.dumps(GIVEN | {"known": known}))

    async def leave() -> None:
        clock, supervisor, given = Clock(), Supervisor(), config.load({"GW_CONFIG": str(path)})
        dispatcher = Dispatcher(given, supervisor, clock, Metrics(given.classes))
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

    asyncio.run(leave())
