"""Actors with mailboxes, and the supervisor that ends the program when one of them dies.

An actor owns its state: other actors only put messages into its mailbox. Every task is the supervisor's.
"""

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
    """Owns all tasks. One that ends in an error is logged and ends the program."""

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
        """Run this to its end; raises ActorDiedError, and cancels it, if an actor or task dies meanwhile."""
        task = asyncio.get_running_loop().create_task(work)
        await asyncio.wait([task, self.failed], return_when=asyncio.FIRST_COMPLETED)
        if self.failed.done():
            task.cancel()
            self.failed.result()
        await task

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Actor(Generic[Message]):
    """Handles the messages of its mailbox one after another; nothing else touches its state.

    The mailbox is drained by a callback of the event loop and not by a task that waits on a queue: waking a
    task costs several times as much as handling a message, and a request passes ten mailboxes.
    """

    def __init__(self, name: str, supervisor: Supervisor) -> None:
        self.name = name
        self.supervisor = supervisor
        self._mailbox: deque[Message] = deque()
        self._loop = asyncio.get_running_loop()
        self._alive = False
        self._scheduled = False  # the loop will drain the mailbox
        # Messages are handled in the actor's own context: in the sender's, context variables of one job's
        # attempt would leak into tasks that the actor spawns for others.
        self._context = Context()

    def start(self) -> None:
        """Handle messages from now on, those already in the mailbox first."""
        self._alive = True
        if self._mailbox:
            self._schedule()

    def stop(self) -> None:
        """Handle no further messages."""
        self._alive = False

    def tell(self, message: Message) -> None:
        """Put a message into the mailbox; never waits."""
        self._mailbox.append(message)
        if self._alive and not self._scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._scheduled = True
        self._loop.call_soon(self._drain, context=self._context)

    def _drain(self) -> None:
        self._scheduled = False
        try:
            if not self.ready():
                self._schedule()
                return
            while self._mailbox and self._alive:
                self.receive(self._mailbox.popleft())
        except Exception as error:  # the program must not go on without this actor
            self._alive = False
            self.supervisor.fail(self.name, error)

    def ready(self) -> bool:
        """Whether messages may be handled now; else the loop tries again in its next iteration."""
        return True

    def receive(self, message: Message) -> None:
        """Handle one message."""
        raise NotImplementedError
