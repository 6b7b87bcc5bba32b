"""The destination set's actor: watches discovery and passes on what it tells."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import aiohttp

from robinhill import protocol
from robinhill.config_types import Address
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clients.connection import unread_bytes
from robinhill.net.clock import Clock
from robinhill.net.discovery.catch_up import CatchUp
from robinhill.net.dispatcher.messages import (
    DiscoveryAddressChanged,
    DiscoveryUnreachable,
    EndpointListReceived,
    ListConfirmed,
)
from robinhill.placement.watch_schedule import WatchSchedule

log = logging.getLogger(__name__)

Answered = TypeVar("Answered")

CONNECT_TIMEOUT_S = 1.0
LONGEST_LIST = 4 << 20  # some 20,000 workers


@dataclass(slots=True, frozen=True)
class Move:
    """Discovery is at another address from now on."""

    discovery: Address


class _SilentError(Exception):
    """No whole word came in time."""


class EndpointListWatcher(Actor[Move]):
    """One watch at a time, from the start on; ``schedule`` alone decides when another is opened.

    The module hears of each call that fails and each watch that ends, but for silent ones and agents.
    """

    def __init__(
        self,
        discovery: Address,
        generation: int,
        schedule: WatchSchedule,
        clock: Clock,
        supervisor: Supervisor,
        report: Callable[[EndpointListReceived], None],
        note: Callable[
            [ListConfirmed | DiscoveryUnreachable | DiscoveryAddressChanged], None
        ] = lambda word: None,
    ) -> None:
        super().__init__("destinations", supervisor)
        self.discovery = discovery
        self.generation: int | None = generation  # the last version seen at this address
        self.schedule = schedule
        self.clock = clock
        self.report = report
        self.note = note  # hears of all else that the lease on the list goes by
        self.answered = False  # the open call's answer has begun to tell the list
        self.catch_up: CatchUp | None = None  # after a stall; None: stalls are not looked for
        self._transport: asyncio.BaseTransport | None = None  # of the open call's connection
        self.watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        super().start()
        self._open(self.schedule.start(self.clock.now_us()))

    def receive(self, message: Move) -> None:
        """Leave the old address at once: waiting for its end would cost what is told meanwhile.

        A cancelled watch reports nothing, so its end is no failure of the new one. A version counts the
        changes of the list at one discovery; nothing says that another address counts alike, and one that is
        behind would answer "no changes" for ever. So the new address is asked for its whole list.
        """
        if message.discovery == self.discovery:
            return
        if self.watch:
            self.watch.cancel()
        self.discovery, self.generation = message.discovery, None
        self.schedule.record_moved(self.clock.now_us())
        self.note(DiscoveryAddressChanged(self.clock.now_us()))
        self._open(0)

    def _open(self, wait_us: int) -> None:
        self.watch = self.supervisor.spawn(self._watch(wait_us), "watch")

    async def _watch(self, wait_us: int) -> None:
        while True:
            await asyncio.sleep(wait_us / 1e6)
            self.schedule.record_call(self.clock.now_us())
            self.answered, self._transport = False, None
            silent, why = False, "ended"
            try:
                await self._read()
            except _SilentError:
                silent, why = True, "silent"
            except Exception as e:  # whatever discovery sends costs this exchange alone
                why = f"{type(e).__name__}: {e}"
            wait_us = self.schedule.record_lost(self.clock.now_us(), self.answered)
            if self.schedule.unreachable_us is not None:
                self.note(DiscoveryUnreachable(self.schedule.called_us, self.schedule.unreachable_us))
            log.warning("watch_lost", extra={"generation": self.generation, "why": why, "again_us": wait_us})
            if not (silent or self.schedule.lists_pushed):
                self.report(EndpointListReceived(None))

    async def _read(self) -> None:
        query = {"watch": "1"}
        if self.generation is not None:
            query["after"] = str(self.generation)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            # Else a call that ends without an answer is made again at once, by every scheduler.
            session._retry_connection = False
            url = f"http://{self.discovery}/v1/endpoints"
            async with await self._in_time(session.get(url, params=query, allow_redirects=False)) as response:
                self.answered = response.status == 200
                self._transport = response.connection.transport if response.connection else None
                if response.status != 200:
                    raise protocol.MalformedError(f"status {response.status}")
                await self._listen(response.content)

    def unread(self) -> bool:
        """Whether words of discovery wait in the kernel."""
        if self._transport is None or self._transport.is_closing():
            return False
        return unread_bytes(self._transport) > 0

    async def _listen(self, content: aiohttp.StreamReader) -> None:
        reader, first = protocol.WatchEventReader(LONGEST_LIST), True
        while data := await self._in_time(content.readany()):
            for told in reader.feed(data):
                self.schedule.record_received(self.clock.now_us())
                if told:
                    self._told(told)
                elif self.generation is not None:  # else it knows nothing of the list that we have
                    self.note(ListConfirmed(self.generation, self.schedule.last_received_us))
                if first and not told:
                    # Nothing has changed: the module hears that its call has been answered.
                    unchanged = protocol.EndpointList(self.generation or 0, False, ())
                    self.report(EndpointListReceived(unchanged))
                first = False

    async def _in_time(self, work: Awaitable[Answered]) -> Answered:
        """Wait no longer than until the call or watch counts as silent."""
        waiting = asyncio.ensure_future(work)
        try:
            while not waiting.done():
                left_us = self.schedule.silent_at_us() - self.clock.now_us()
                await asyncio.wait([waiting], timeout=max(0, left_us) / 1e6)
                # Where this process itself stood still, a word may be here that was not read in time.
                stood_still = self.catch_up is not None and self.catch_up.is_catching_up()
                if not waiting.done() and left_us <= 0 and not stood_still:
                    raise _SilentError
            return waiting.result()
        finally:
            if not waiting.done():
                waiting.cancel()
                await asyncio.gather(waiting, return_exceptions=True)

    def _told(self, told: protocol.EndpointList) -> None:
        self.generation = told.generation
        self.report(EndpointListReceived(told, received_us=self.schedule.last_received_us))
        log.info(
            "endpoint_list_received",
            extra={"generation": told.generation, "reset": told.reset, "count": len(told.destinations)},
        )
