"""Actors with mailboxes, and the supervisor that ends the program when one of them fails.

An actor owns its state: other actors only put messages into its mailbox. The supervisor owns every task.
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
    """An actor or a task ended with an error. The error itself has been logged."""


class Supervisor:
    """Owns all tasks. An error that ends a task is logged and ends the program."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        # Pending until an actor or a task fails, then set to an ActorDiedError.
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine as a task: `close` cancels it, and an error that ends it ends the program."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or (error := task.exception()) is None:
            return
        self.fail(task.get_name(), error)

    def fail(self, name: str, error: BaseException) -> None:
        """Log the error that ended an actor or task, and set ``failed``, which ends the program."""
        log.critical("actor_died", exc_info=error, extra={"actor": name})
        if not self.failed.done():
            self.failed.set_exception(ActorDiedError(name))

    async def run_until_failure(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine to its end. If an actor or task fails first, cancel the coroutine instead.

        Raises ActorDiedError after such a failure.
        """
        task = asyncio.get_running_loop().create_task(work)
        await asyncio.wait([task, self.failed], return_when=asyncio.FIRST_COMPLETED)
        if self.failed.done():
            task.cancel()
            self.failed.result()
        await task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Actor(Generic[Message]):
    """Handles the messages of its mailbox one after another; only its message handlers access its state.

    The mailbox is drained by a callback of the event loop, not by a task that waits on a queue: waking a task
    costs several times as much as handling a message, and a request passes through ten mailboxes.
    """

    def __init__(self, name: str, supervisor: Supervisor) -> None:
        self.name = name
        self.supervisor = supervisor
        self._mailbox: deque[Message] = deque()
        self._loop = asyncio.get_running_loop()
        self._alive = False  # whether messages are handled; False before `start` and after `stop` or an error
        self._scheduled = False  # whether the event loop has a pending callback that drains the mailbox
        # Messages are handled in the actor's own context. In the sender's context, context variables of one
        # job's attempt would leak into tasks that the actor spawns for other jobs.
        self._context = Context()

    def start(self) -> None:
        """Start to handle messages, beginning with the messages that are already in the mailbox."""
        self._alive = True
        if self._mailbox:
            self._schedule()

    def stop(self) -> None:
        """Stop handling messages; messages that were not handled stay in the mailbox."""
        self._alive = False

    def tell(self, message: Message) -> None:
        """Put a message into the mailbox; return without waiting for its handling."""
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
        except Exception as error:  # the program must not continue without this actor
            self._alive = False
            self.supervisor.fail(self.name, error)

    def ready(self) -> bool:
        """Whether messages may be handled in this iteration of the event loop.

        If not, they stay in the mailbox, and the event loop's next iteration calls this method again.
        """
        return True

    def receive(self, message: Message) -> None:
        """Handle one message of the mailbox; an exception ends the program."""
        raise NotImplementedError
