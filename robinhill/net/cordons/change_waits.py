"""Operators' calls at a member of the control group that wait until their change is accepted or in force.

`pending_changes` defines these two states.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from robinhill.cordon.errors import BoundNotMet, CordonError, NotAccepted
from robinhill.net.cordons.pending_changes import PendingChange
from robinhill.net.cordons.replies import ChangeReply, make_answer
from robinhill.protocol import Answer


@dataclass(slots=True, eq=False)
class ChangeWait:
    """A call that waits until its change is in force (``until_in_force``), or only until it is accepted."""

    change: PendingChange
    until_in_force: bool
    reply: asyncio.Future[Answer]
    timer: asyncio.TimerHandle | None = None

    @property
    def fulfilled(self) -> bool:
        """Whether the change has reached the state that the call waits for."""
        return self.change.in_force if self.until_in_force else self.change.accepted


class ChangeWaits:
    """All waiting calls. ``describe`` returns the body of the answer to a call that requested the change."""

    def __init__(self, describe: Callable[[PendingChange], ChangeReply]) -> None:
        self._describe = describe
        self._waits: list[ChangeWait] = []

    def add(
        self, change: PendingChange, reply: asyncio.Future[Answer], timeout_us: int, *, until_in_force: bool
    ) -> None:
        """Answer a call with ``reply`` once its wait is fulfilled, or when the timeout has passed.

        The wait is fulfilled once the change is in force, or accepted if ``until_in_force`` is false.
        """
        wait = ChangeWait(change, until_in_force, reply)
        if wait.fulfilled:
            reply.set_result(make_answer(200, self._describe(change)))
            return
        change.waiters += 1
        wait.timer = asyncio.get_running_loop().call_later(timeout_us / 1e6, self._time_out, wait)
        self._waits.append(wait)

    def answer_fulfilled(self, change: PendingChange) -> None:
        """Answer the calls whose wait for ``change`` is fulfilled; called when its state may have changed."""
        for wait in [w for w in self._waits if w.change is change]:
            if wait.fulfilled:
                self._end(wait, 200)

    def stop(self) -> None:
        """Answer all waiting calls with status 503, because this process ends."""
        for wait in list(self._waits):
            self._end(wait, 503)

    def _time_out(self, wait: ChangeWait) -> None:
        self._end(wait, 504 if wait.until_in_force else 202)

    def _end(self, wait: ChangeWait, status: int) -> None:
        self._waits.remove(wait)
        wait.change.waiters -= 1
        if wait.timer:
            wait.timer.cancel()
        if wait.reply.done():
            return
        body = self._describe(wait.change)
        if status != 200:
            body = body.with_error(_failure(wait.change))
        wait.reply.set_result(make_answer(status, body))


def _failure(change: PendingChange) -> CordonError:
    names = change.lagging_names
    if change.accepted:
        return BoundNotMet(repr(change.cordon_id), names)
    return NotAccepted(repr(change.cordon_id), names)
