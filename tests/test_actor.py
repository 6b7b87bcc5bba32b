"""Tests of actors: an actor's failure reaches the supervisor, and handlers run in the actor's own context."""

import asyncio
import logging
from contextvars import ContextVar

import pytest

from robinhill.net.actor import Actor, ActorDiedError, Supervisor


class FailingActor(Actor[str]):
    def receive(self, message: str) -> None:
        raise ValueError(message)


def test_actor_error_is_logged_and_fails_the_supervisor(caplog: pytest.LogCaptureFixture) -> None:
    async def run_failing_actor() -> None:
        supervisor = Supervisor()
        actor = FailingActor("failing", supervisor)
        actor.start()
        actor.tell("message")
        with pytest.raises(ActorDiedError, match="failing"):
            await supervisor.failed

    with caplog.at_level(logging.CRITICAL):
        asyncio.run(run_failing_actor())
    assert [r.getMessage() for r in caplog.records] == ["actor_died"]


context_owner: ContextVar[str] = ContextVar("context_owner", default="none")


class SpawningActor(Actor[asyncio.Future[str]]):
    def receive(self, message: asyncio.Future[str]) -> None:
        async def work() -> None:
            message.set_result(context_owner.get())

        self.supervisor.spawn(work(), "work")


def test_tasks_spawned_by_an_actor_do_not_inherit_the_senders_context() -> None:
    # An HTTP exchange stores its attempt in a context variable. A cancel request that an actor spawned on a
    # message of that exchange inherited the variable, was taken for a write of the attempt, which had ended,
    # and ended the program.
    async def send_from_marked_context() -> str:
        supervisor = Supervisor()
        actor = SpawningActor("spawning", supervisor)
        actor.start()
        owner_seen: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        context_owner.set("sender")
        actor.tell(owner_seen)
        return await owner_seen

    assert asyncio.run(send_from_marked_context()) == "none"
