"""Actors with mailboxes, and the supervisor that notices when one of them dies."""

import asyncio
import logging
from collections import deque
from collections.abc import Coroutine
from contextvars import Context
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
        self.fail(task.get_name(), error)

    def fail(self, name: str, error: BaseException) -> None:
        """An actor or task has died of this: the program ends."""
        log.critical("actor_died", exc_info=error, extra={"actor": name})
        if not self.failed.done():
            self.failed.set_exception(ActorDiedError(name))

    async def unless_failed(self, work: Coroutine[Any, Any, Any]) -> None:
        """Wait for this work; an actor's or task's death meanwhile cancels it and raises ActorDiedError."""
        task = asyncio.get_running_loop().create_task(work)
        await asyncio.wait([task, self.failed], return_when=asyncio.FIRST_COMPLETED)
        if self.failed.done():
            task.cancel()
            self.failed.result()
        await task

    async def close(self) -> None:
        """Cancel what still runs and wait for its end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Actor(Generic[Message]):
    """Handles the messages of its mailbox one after another; nothing else touches its state.

    The mailbox is emptied by a call of the event loop's and not by a task that waits on a queue: waking such
    a task costs several times as much as handling a message, and a request passes ten mailboxes.
    """

    def __init__(self, name: str, supervisor: Supervisor) -> None:
        self.name = name
        self.supervisor = supervisor
        self._mailbox: deque[Message] = deque()
        self._loop = asyncio.get_running_loop()
        self._alive = False
        self._scheduled = False  # the loop will empty the mailbox
        # Messages are handled in a context of the actor's own. In that of whoever told the first of them, all
        # that it spawns would pass for the teller's work: cancels were taken for another job's attempt.
        self._context = Context()

    def start(self) -> None:
        self._alive = True
        if self._mailbox:
            self._schedule()

    def stop(self) -> None:
        self._alive = False

    def tell(self, message: Message) -> None:
        """Put a message into the mailbox; never waits."""
        self._mailbox.append(message)
        if self._alive and not self._scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._scheduled = True
        self._loop.call_soon(self._empty, context=self._context)

    def _empty(self) -> None:
        self._scheduled = False
        try:
            if not self.ready():
                self._schedule()
                return
            while self._mailbox and self._alive:
                self.receive(self._mailbox.popleft())
        except Exception as error:  # whatever it is, the program must not go on without this actor
            self._alive = False
            self.supervisor.fail(self.name, error)

    def ready(self) -> bool:
        """Whether messages may be handled now; else the mailbox is looked at again in the next turn."""
        return True

    def receive(self, message: Message) -> None:
        raise NotImplementedError
