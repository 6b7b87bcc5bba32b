"""The actor that watches discovery's endpoint list and reports each received list and failure.

A watch is an HTTP call whose response discovery leaves open: it contains the list, then each change, and an
empty line at times without changes. The actor owns the single open call. ``placement.watch_schedule``
determines when the next call begins, and the receivers of the reports interpret the lists.
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
MAX_LIST_BYTES = 4 << 20  # enough for about 20,000 workers
HTTP_OK = 200


@dataclass(slots=True, frozen=True)
class ChangeAddress:
    """Close the open watch, and open one at the address ``discovery``; no effect if that is in use."""

    discovery: Address


class WatchSilentError(Exception):
    """Discovery sent no complete message before the silence deadline of the `WatchSchedule`."""


def _discard_event(event: LeaseEvent) -> None:
    """Discard a lease event, for users of the watcher that have no lease on the endpoint list."""


class EndpointListWatcher(Actor[ChangeAddress]):
    """Keeps exactly one call to discovery open, or scheduled, once this actor is started.

    Lists and the end of each call are reported to ``report_list``, and events that extend or limit the lease
    on the list to ``report_lease_event``. The end of a call is reported as ``EndpointListReceived(None)``,
    except if discovery was silent, or if an agent on the scheduler's host pushes the lists.
    """

    def __init__(
        self,
        discovery: Address,
        version: int,
        schedule: WatchSchedule,
        clock: Clock,
        supervisor: Supervisor,
        report_list: Callable[[EndpointListReceived], None],
        report_lease_event: Callable[[LeaseEvent], None] = _discard_event,
    ) -> None:
        super().__init__("endpoint list", supervisor)
        self.discovery = discovery
        # Version of the list in use; None after a change of discovery's address, until the new address has
        # sent a list.
        self.version: int | None = version
        self.schedule = schedule
        self.clock = clock
        self.report_list = report_list
        self.report_lease_event = report_lease_event
        self.catch_up: CatchUp | None = None  # None: stalls are not detected
        self._response_started = False  # whether discovery has answered the open call with status 200
        # Transport of the open call's connection; None until discovery has answered the call.
        self._transport: asyncio.BaseTransport | None = None
        self._watch_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the actor, and open the watch after the initial delay that the schedule returns."""
        super().start()
        self._open_watch(self.schedule.start(self.clock.now_us()))

    def receive(self, message: ChangeAddress) -> None:
        """Cancel the watch on the old address at once, and request the complete list from the new address.

        A cancelled watch reports nothing, so that its end does not count as a failure of the new address.
        The version is reset, as each discovery server numbers its own changes: a server that receives the
        version of another server's list may report "no changes" forever.
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
        """Whether the kernel holds unread data of the open watch."""
        if self._transport is None or self._transport.is_closing():
            return False
        return unread_bytes(self._transport) > 0

    def _open_watch(self, wait_us: int) -> None:
        self._watch_task = self.supervisor.spawn(self._watch(wait_us), "watch")

    async def _watch(self, wait_us: int) -> None:
        while True:
            await asyncio.sleep(wait_us / 1e6)
            self.schedule.record_call(self.clock.now_us())
            self._response_started, self._transport = False, None
            is_silent, why = False, "discovery ended the watch"
            try:
                await self._call()
            except WatchSilentError:
                is_silent, why = True, "discovery sent no complete message before the silence deadline"
            except Exception as e:  # malformed data from discovery must end only this call, not the actor
                why = f"{type(e).__name__}: {e}"
            wait_us = self._on_watch_end(is_silent, why)

    def _on_watch_end(self, is_silent: bool, why: str) -> int:
        """Report the end of a call; return the delay before the next call in microseconds."""
        wait_us = self.schedule.record_lost(self.clock.now_us(), self._response_started)
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
            # By default aiohttp repeats a call at once if its connection ends without a response. Such a
            # repeat would bypass the schedule's delay, and after a failure of discovery all schedulers would
            # repeat their calls at the same time.
            session._retry_connection = False
            url = f"http://{self.discovery}/v1/endpoints"
            call = session.get(url, params=query, allow_redirects=False)
            async with await self._await_until_silence_deadline(call) as response:
                self._response_started = response.status == HTTP_OK
                self._transport = response.connection.transport if response.connection else None
                if response.status != HTTP_OK:
                    raise protocol.MalformedError(f"discovery answered with status {response.status}")
                await self._read_events(response.content)

    async def _read_events(self, content: aiohttp.StreamReader) -> None:
        reader, is_first = protocol.WatchEventReader(MAX_LIST_BYTES), True
        while data := await self._await_until_silence_deadline(content.readany()):
            for event in reader.feed(data):
                self.schedule.record_received(self.clock.now_us())
                if event:
                    self._on_list(event)
                else:
                    self._on_unchanged(is_first)
                is_first = False

    def _on_list(self, event: protocol.EndpointList) -> None:
        self.version = event.generation
        self.report_list(EndpointListReceived(event, received_us=self.schedule.last_received_us))
        log.info(
            "endpoint_list_received",
            extra={"generation": event.generation, "reset": event.reset, "count": len(event.endpoints)},
        )

    def _on_unchanged(self, is_first: bool) -> None:
        """Handle an empty line, which confirms that the list is unchanged since ``version``.

        While ``version`` is None, an empty line confirms nothing. An empty line that is the first message of
        a call is also reported as a list without changes, which notifies the dispatcher that discovery has
        answered.
        """
        if self.version is not None:
            self.report_lease_event(ListConfirmed(self.version, self.schedule.last_received_us))
        if is_first:
            self.report_list(EndpointListReceived(protocol.EndpointList(self.version or 0, False, ())))

    async def _await_until_silence_deadline(self, operation: Awaitable[Result]) -> Result:
        """Await an operation, and return its result.

        Once the schedule's silence deadline has passed, this cancels the operation and raises
        ``WatchSilentError``.
        """
        future = asyncio.ensure_future(operation)
        try:
            while not future.done():
                remaining_us = self.schedule.silence_deadline_us() - self.clock.now_us()
                await asyncio.wait([future], timeout=max(0, remaining_us) / 1e6)
                # After a stall of this process, a message that arrived in time may still be unread.
                stalled = self.catch_up is not None and self.catch_up.is_catching_up()
                if not future.done() and remaining_us <= 0 and not stalled:
                    raise WatchSilentError
            return future.result()
        finally:
            if not future.done():
                future.cancel()
                await asyncio.gather(future, return_exceptions=True)
