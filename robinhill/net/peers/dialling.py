"""Dialling of peers without a link, with exponential backoff between attempts."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Container, Sequence

from robinhill.mesh.errors import PeerUnreachable
from robinhill.net.actor import Supervisor

log = logging.getLogger(__name__)

# The longest wait before the second attempt; it doubles with each further attempt. The actual wait is random,
# between 10% and 100% of the longest one.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0  # two attempts fit into the 2 s within which replicas must be equal after a partition
MAX_COUNTED_ATTEMPTS = 16  # further attempts are not counted, as the wait is at MAX_BACKOFF_S long before
# Of two peers, the one with the smaller name dials at once. The other one waits this long for the link from
# the first, and dials only if there is none.
ACCEPT_FIRST_S = 0.1
REPORTED_FROM_ATTEMPT = 3
REPORT_INTERVAL_S = 60.0  # between two log entries about a peer that stays unreachable


class PeerDialler:
    """Dials wanted peers until there is a link to each, opened by either side.

    ``wanted``: returns the names of peers that should have a link; ``linked``: the names of peers that have
    one; ``connect``: dials once and returns when the link has ended, with the reason if it failed or ended
    early, or None if it was stable; ``address_of``: a peer's address, for log entries.
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
        self._attempts: dict[str, int] = {}  # consecutive attempts without a stable link, by peer
        self._last_reported_s: dict[str, float] = {}
        self._stopping = False

    def dial_missing(self) -> None:
        """Start to dial each wanted peer that has no link and is not being dialled."""
        for name in self.wanted():
            if name not in self.linked and name not in self._tasks and not self._stopping:
                self._start(name)

    def reset_backoff(self, name: str) -> None:
        """Reset the backoff of a peer whose link is stable."""
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
        """Attempt to connect to a peer until there is a link to it, or the peer is no longer wanted."""
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
        """Log a peer as unreachable from the third consecutive failure on, at most once a minute."""
        now_s = time.monotonic()
        last_s = self._last_reported_s.get(name, -REPORT_INTERVAL_S)
        if self._attempts[name] >= REPORTED_FROM_ATTEMPT and now_s - last_s >= REPORT_INTERVAL_S:
            self._last_reported_s[name] = now_s
            error = PeerUnreachable(f"{name} at {self.address_of(name)}: {reason}")
            log.warning("peer_unreachable", extra={"peer": name, "why": str(error)})
