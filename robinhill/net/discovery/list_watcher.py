"""The actor that watches discovery's endpoint list and reports what it receives.

It owns the one open call to discovery. When the next call begins is up to ``placement.watch_schedule``, and
what a list means is up to whoever gets the reports.
"""

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

Result = TypeVar("Result")
LeaseEvent = ListConfirmed | DiscoveryUnreachable | DiscoveryAddressChanged

CONNECT_TIMEOUT_S = 1.0
MAX_LIST_BYTES = 4 << 20  # some 20,000 workers
HTTP_OK = 200


@dataclass(slots=True, frozen=True)
class ChangeAddress:
    """Watch discovery at this address from now on."""

    discovery: Address


class WatchSilentError(Exception):
    """No complete message came in the time that the schedule allows."""


def _ignore(event: LeaseEvent) -> None:
    """For callers that keep no lease on the list."""


class EndpointListWatcher(Actor[ChangeAddress]):
    """Keeps one call to discovery open at a time, from the start on.

    A failed call or ended watch is reported as a list of None, except for silent ones and for agents.
    """

    def __init__(
        self,
        discovery: Address,
        version: int,
        schedule: WatchSchedule,
        clock: Clock,
        supervisor: Supervisor,
        report_list: Callable[[EndpointListReceived], None],
        report_lease_event: Callable[[LeaseEvent], None] = _ignore,
    ) -> None:
        super().__init__("endpoint list", supervisor)
        self.discovery = discovery
        self.version: int | None = version  # of the last list from this address; None: there was none
        self.schedule = schedule
        self.clock = clock
        self.report_list = report_list
        self.report_lease_event = report_lease_event
        self.catch_up: CatchUp | None = None  # None: stalls are not detected
        self._answered = False  # discovery has begun to send its list on the open call
        self._transport: asyncio.BaseTransport | None = None  # of the open call's connection
        self._watch_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to watch, at the time that the schedule gives."""
        super().start()
        self._open_watch(self.schedule.start(self.clock.now_us()))

    def receive(self, message: ChangeAddress) -> None:
        """Leave the old address at once, and get the complete list of the new one.

        A cancelled watch reports nothing, so its end is no failure of the new one. A version counts the
        changes at one discovery; another address may count otherwise, and answer "no changes" for ever.
        """
        if message.discovery == self.discovery:
            return
        if self._watch_task:
            self._watch_task.cancel()
        self.discovery, self.version = message.discovery, None
        self.schedule.record_address_change(self.clock.now_us())
        self.report_lease_event(DiscoveryAddressChanged(self.clock.now_us()))
        self._open_watch(0)

    def has_unread_data(self) -> bool:
        """Whether messages of discovery wait in the kernel."""
        if self._transport is None or self._transport.is_closing():
            return False
        return unread_bytes(self._transport) > 0

    def _open_watch(self, wait_us: int) -> None:
        self._watch_task = self.supervisor.spawn(self._watch(wait_us), "watch")

    async def _watch(self, wait_us: int) -> None:
        while True:
            await asyncio.sleep(wait_us / 1e6)
            self.schedule.record_call(self.clock.now_us())
            self._answered, self._transport = False, None
            is_silent, why = False, "ended"
            try:
                await self._call()
            except WatchSilentError:
                is_silent, why = True, "silent"
            except Exception as e:  # whatever discovery sends must cost this call alone
                why = f"{type(e).__name__}: {e}"
            wait_us = self._lost(is_silent, why)

    def _lost(self, is_silent: bool, why: str) -> int:
        """Report the end of a call or watch; return the wait before the next call."""
        wait_us = self.schedule.record_lost(self.clock.now_us(), self._answered)
        if self.schedule.unreachable_us is not None:
            self.report_lease_event(
                DiscoveryUnreachable(self.schedule.called_us, self.schedule.unreachable_us)
            )
        log.warning("watch_lost", extra={"generation": self.version, "why": why, "retry_in_us": wait_us})
        if not (is_silent or self.schedule.lists_pushed):
            self.report_list(EndpointListReceived(None))
        return wait_us

    async def _call(self) -> None:
        query = {"watch": "1"}
        if self.version is not None:
            query["after"] = str(self.version)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            # Else aiohttp repeats a call that ends without an answer at once, at every scheduler.
            session._retry_connection = False
            url = f"http://{self.discovery}/v1/endpoints"
            call = session.get(url, params=query, allow_redirects=False)
            async with await self._unless_silent(call) as response:
                self._answered = response.status == HTTP_OK
                self._transport = response.connection.transport if response.connection else None
                if response.status != HTTP_OK:
                    raise protocol.MalformedError(f"status {response.status}")
                await self._read_events(response.content)

    async def _read_events(self, content: aiohttp.StreamReader) -> None:
        reader, is_first = protocol.WatchEventReader(MAX_LIST_BYTES), True
        while data := await self._unless_silent(content.readany()):
            for event in reader.feed(data):
                self.schedule.record_received(self.clock.now_us())
                if event:
                    self._list_received(event)
                else:
                    self._unchanged(is_first)
                is_first = False

    def _list_received(self, event: protocol.EndpointList) -> None:
        self.version = event.generation
        self.report_list(EndpointListReceived(event, received_us=self.schedule.last_received_us))
        log.info(
            "endpoint_list_received",
            extra={"generation": event.generation, "reset": event.reset, "count": len(event.endpoints)},
        )

    def _unchanged(self, is_first: bool) -> None:
        """An empty line: nothing has changed since the version that the call named, if it named one."""
        if self.version is not None:
            self.report_lease_event(ListConfirmed(self.version, self.schedule.last_received_us))
        if is_first:  # the call has been answered
            self.report_list(EndpointListReceived(protocol.EndpointList(self.version or 0, False, ())))

    async def _unless_silent(self, work: Awaitable[Result]) -> Result:
        """The result; cancels the work and raises ``WatchSilentError`` when the schedule's time is over."""
        waiting = asyncio.ensure_future(work)
        try:
            while not waiting.done():
                left_us = self.schedule.silence_deadline_us() - self.clock.now_us()
                await asyncio.wait([waiting], timeout=max(0, left_us) / 1e6)
                # After a stall of this process a message may be here that was not read in time.
                stalled = self.catch_up is not None and self.catch_up.is_catching_up()
                if not waiting.done() and left_us <= 0 and not stalled:
                    raise WatchSilentError
            return waiting.result()
        finally:
            if not waiting.done():
                waiting.cancel()
                await asyncio.gather(waiting, return_exceptions=True)
