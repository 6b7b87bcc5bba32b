"""What a repeated id does to the request that is held already: nothing."""

import asyncio
import json
from pathlib import Path

from robinhill import config
from robinhill.net import messages
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.decider import ClientLeft, Decider, Taken
from robinhill.net.figures import Figures

from .test_config import GIVEN


def test_a_client_that_repeats_an_id_and_leaves_does_not_end_the_first(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GIVEN))

    async def repeat() -> None:
        clock = Clock()
        given = config.load({"GW_CONFIG": str(path)})
        decider = Decider(given, Supervisor(), clock, Figures(given.classes), lambda: None)
        first, second = (messages.JobRequest("j1", 1, 25_000_000, False, "/x", b"", ()) for _ in range(2))
        replies = [asyncio.get_running_loop().create_future() for _ in range(2)]
        replies[1].cancel()  # its client has gone before the decider looks
        for request, reply in zip((first, second), replies, strict=True):
            decider.receive(Taken(request, clock.now_us(), reply))
        decider.receive(ClientLeft(second))
        (held,) = decider.held.values()
        assert held.request is first and held.owed and not replies[0].done()

    asyncio.run(repeat())
