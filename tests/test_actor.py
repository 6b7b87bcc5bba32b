"""An actor that dies is logged and fails its supervisor, and with it the program."""

import asyncio
import logging

import pytest

from robinhill.net.actor import Actor, ActorDiedError, Supervisor


class Fragile(Actor[str]):
    def receive(self, message: str) -> None:
        raise ValueError(message)


def test_an_actors_death_is_logged_and_fails_the_supervisor(caplog: pytest.LogCaptureFixture) -> None:
    async def die() -> None:
        supervisor = Supervisor()
        actor = Fragile("fragile", supervisor)
        actor.start()
        actor.tell("oh")
        with pytest.raises(ActorDiedError, match="fragile"):
            await supervisor.failed

    with caplog.at_level(logging.CRITICAL):
        asyncio.run(die())
    assert [r.getMessage() for r in caplog.records] == ["actor_died"]
