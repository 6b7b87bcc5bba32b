"""Actors with mailboxes, and the supervisor that notices when one of them dies."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

log = logging.getLogger(__name__)

Message = TypeVar("Message")


class ActorDiedError(Exception):
    """An actor or a task ended in an error, which has been logged."""


class Supervisor:
    """Owns all tasks. One that ends in an error is logged and fails the whole program."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a task under supervision."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or (error := task.exception()) is None:
            return
        log.critical("actor_died", exc_info=error, extra={"actor": task.get_name()})
        if not self.failed.done():
            self.failed.set_exception(ActorDiedError(task.get_name()))

    async def close(self) -> None:
        """Cancel what still runs and wait for its end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Actor(Generic[Message]):
    """Handles the messages of its mailbox one after another; nothing else touches its state."""

    def __init__(self, name: str, supervisor: Supervisor) -> None:
        self.name = name
        self.supervisor = supervisor
        self._mailbox: asyncio.Queue[Message] = asyncio.Queue()
        self._task: asyncio.Task[Any] | None = None

    def start(self) -> None:
        self._task = self.supervisor.spawn(self._run(), self.name)

    def stop(self) -> None:
        if self._task:
            self._task.cancel()

    def tell(self, message: Message) -> None:
        """Put a message into the mailbox; never waits."""
        self._mailbox.put_nowait(message)

    async def _run(self) -> None:
        while True:
            self.receive(await self._mailbox.get())

    def receive(self, message: Message) -> None:
        raise NotImplementedError
