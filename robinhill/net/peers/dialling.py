"""Dialling of peers: which links are missing, and when the next attempt to connect is due (backoff)."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Container, Sequence

from robinhill.mesh.errors import PeerUnreachable
from robinhill.net.actor import Supervisor

log = logging.getLogger(__name__)

FIRST_BACKOFF_S = 0.05  # doubled with each attempt; each wait is drawn between a tenth and all of it
MAX_BACKOFF_S = 1.0  # two attempts within the two seconds in which copies must be equal after a partition
MAX_COUNTED_ATTEMPTS = 16
ACCEPT_FIRST_S = 0.1  # the smaller name dials at once, the larger one only if no link is up by then
REPORTED_FROM_ATTEMPT = 3
REPORT_INTERVAL_S = 60.0  # between two log entries on a peer that stays unreachable


class PeerDialler:
    """Dials wanted peers until there is a link to each, whoever opened it.

    ``wanted``: names to have links to; ``linked``: names with a link; ``connect``: dials once and stays while
    the link does, returns why it failed or ended early, None if it lasted; ``address_of``: for log entries.
    """

    def __init__(
        self,
        own_name: str,
        supervisor: Supervisor,
        rng: random.Random,
        wanted: Callable[[], Sequence[str]],
        linked: Container[str],
        connect: Callable[[str], Awaitable[str | None]],
        address_of: Callable[[str], str | None],
    ) -> None:
        self.own_name = own_name
        self.supervisor = supervisor
        self.rng = rng
        self.wanted = wanted
        self.linked = linked
        self.connect = connect
        self.address_of = address_of
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._attempts: dict[str, int] = {}  # in a row without a link that lasted
        self._reported_s: dict[str, float] = {}
        self._stopping = False

    def dial_missing(self) -> None:
        """Dial every wanted peer without a link that is not dialled yet."""
        for name in self.wanted():
            if name not in self.linked and name not in self._tasks and not self._stopping:
                self._start(name)

    def reset_backoff(self, name: str) -> None:
        """A link to this peer has lasted."""
        self._attempts.pop(name, None)

    def stop(self) -> None:
        """Stop dialling."""
        self._stopping = True
        for task in self._tasks.values():
            task.cancel()

    def _start(self, name: str) -> None:
        task = self.supervisor.spawn(self._dial(name), f"dial {name}")
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    def _still_missing(self, name: str) -> bool:
        return name in self.wanted() and name not in self.linked and not self._stopping

    async def _dial(self, name: str) -> None:
        """Attempt to connect until there is a link."""
        if name < self.own_name:
            await asyncio.sleep(ACCEPT_FIRST_S)
        while self._still_missing(name):
            if attempts := self._attempts.get(name, 0):
                longest_s = min(FIRST_BACKOFF_S * 2.0 ** (attempts - 1), MAX_BACKOFF_S)
                await asyncio.sleep(longest_s * (0.1 + 0.9 * self.rng.random()))
                if name in self.linked:
                    return
            self._attempts[name] = min(attempts + 1, MAX_COUNTED_ATTEMPTS)
            if reason := await self.connect(name):
                self._report(name, reason)

    def _report(self, name: str, reason: str) -> None:
        """Log an unreachable peer at the third failure in a row, and then once a minute."""
        now_s = time.monotonic()
        last_s = self._reported_s.get(name, -REPORT_INTERVAL_S)
        if self._attempts[name] >= REPORTED_FROM_ATTEMPT and now_s - last_s >= REPORT_INTERVAL_S:
            self._reported_s[name] = now_s
            error = PeerUnreachable(f"{name} at {self.address_of(name)}: {reason}")
            log.warning("peer_unreachable", extra={"peer": name, "why": str(error)})
