"""The actor that drives a state machine of the control group.

It passes received messages and the time to the machine, and performs the actions that the machine returns.

All events pass through one mailbox, so the machine is never called concurrently, and the actions that follow
from one event are performed before the next event is handled.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from robinhill.config_types import Address
from robinhill.control.actions import Action, Connect, Disconnect, Link, Send
from robinhill.net.actor import Actor, Supervisor
from robinhill.net.clock import Clock, mono_us
from robinhill.net.control_group.connections import SHUTDOWN_REASON, Connections
from robinhill.net.control_group.link import ControlLink

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 4_096
"""No connection is accepted beyond this number; the process's limit of descriptors may be lower."""

MIN_TICK_US = 1_000
"""Shortest delay of the next `tick`, even if the state machine asks for an earlier one."""

REPORT_INTERVAL_S = 60.0
"""Minimum time between two log entries that the same voter is unreachable."""

FAILURES_TO_REPORT = 3
"""Consecutive failures after which a voter is reported as unreachable."""


class StateMachine(Protocol):
    """The common interface of voters and observers.

    ``now_us`` is Unix time and ``mono_us`` monotonic time, in microseconds. The caller performs the returned
    actions in order.
    """

    def start(self, now_us: int, mono_us: int) -> list[Action]:
        """Start the state machine; called once, before all other methods."""
        ...

    def linked(self, now_us: int, mono_us: int, link: Link, voter: str) -> list[Action]:
        """Handle a new connection that a `Connect` action requested."""
        ...

    def failed(self, mono_us: int, voter: str) -> None:
        """Handle a failed attempt to open a connection that a `Connect` action requested."""
        ...

    def received(self, now_us: int, mono_us: int, link: Link, data: bytes) -> list[Action]:
        """Handle a received message."""
        ...

    def unlinked(self, now_us: int, mono_us: int, link: Link) -> list[Action]:
        """Handle a connection that was lost or closed by the other side."""
        ...

    def tick(self, now_us: int, mono_us: int) -> list[Action]:
        """Perform the work that is due at ``mono_us``, such as timeouts."""
        ...

    def next_us(self, mono_us: int) -> int:
        """Monotonic time by which `tick` must be called."""
        ...


@dataclass(slots=True, frozen=True)
class LinkOpened:
    """A websocket was opened, dialed or accepted."""

    link: ControlLink


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message was received."""

    link: ControlLink
    data: bytes


@dataclass(slots=True, frozen=True)
class LinkClosed:
    """A connection has ended."""

    link: ControlLink
    why: str


@dataclass(slots=True, frozen=True)
class ConnectFailed:
    """A connection could not be opened."""

    voter: str
    why: str


@dataclass(slots=True, frozen=True)
class Tick:
    """The machine's `tick` is due."""


@dataclass(slots=True, frozen=True)
class Run:
    """Call ``work``, such as an operator's call or a reload, while the driver handles this message.

    The state machine, which ``work`` uses, must not be called concurrently.
    """

    work: Callable[[], None]


DriverMessage = LinkOpened | MessageReceived | LinkClosed | ConnectFailed | Tick | Run


@dataclass(slots=True)
class TrafficCounters:
    """Counters of connections and messages since the start of the process.

    ``lost``: connections that ended without a `Disconnect` action of this process.
    """

    opened: int = 0
    lost: int = 0
    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class UnreachableVoters:
    """Counts consecutive failures to connect to each voter, and logs unreachable voters at a limited rate."""

    def __init__(self) -> None:
        self._failures: dict[str, int] = {}
        self._last_reported_s: dict[str, float] = {}

    def connected(self, voter: str) -> None:
        """Reset the failures of a voter after a successful connection."""
        self._failures.pop(voter, None)

    def failed(self, voter: str, why: str) -> None:
        """Count a failure to connect to a voter, and log it if due; ``why``: the reason."""
        self._failures[voter] = self._failures.get(voter, 0) + 1
        now_s = time.monotonic()
        recently_reported = now_s - self._last_reported_s.get(voter, -REPORT_INTERVAL_S) < REPORT_INTERVAL_S
        if self._failures[voter] >= FAILURES_TO_REPORT and not recently_reported:
            self._last_reported_s[voter] = now_s
            log.warning("voter_unreachable", extra={"voter": voter, "why": why})


def _do_nothing() -> None:
    """Default for ``after_actions``."""


def _ignore_accepted(_mono_us: int, _link: Link) -> None:
    """Do nothing: default for ``accepted``, for state machines that dial voters and accept no connections."""


class Driver(Actor[DriverMessage]):
    """Drives one state machine.

    ``address_of``: returns the address at which a voter listens; ``perform_action``: performs an action that
    does not concern connections; ``after_actions``: called each time after the actions returned by one call
    of the machine are performed; ``accepted``: the machine's method for accepted connections, if it accepts
    any.
    """

    def __init__(
        self,
        machine: StateMachine,
        supervisor: Supervisor,
        clock: Clock,
        address_of: Callable[[str], Address],
        perform_action: Callable[[Action], None],
        after_actions: Callable[[], None] = _do_nothing,
        accepted: Callable[[int, Link], None] = _ignore_accepted,
    ) -> None:
        super().__init__("control", supervisor)
        self.machine = machine
        self.clock = clock
        self.links: dict[Link, ControlLink] = {}
        self.traffic = TrafficCounters()
        self._perform_action = perform_action
        self._after_actions = after_actions
        self._accepted = accepted
        self._connections = Connections(self, supervisor, address_of)
        self._unreachable = UnreachableVoters()
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        self._stopping = False

    def start(self) -> None:
        """Start to handle messages, and start the machine."""
        super().start()
        self._connections.start()
        self.perform(self.machine.start(self.clock.now_us(), mono_us()))

    async def listen(self, address: Address, key: str) -> None:
        """Start to accept connections.

        Raises ConfigError, with the configuration key ``key``, if the address can't be bound.
        """
        await self._connections.listen(address, key)

    async def close(self) -> None:
        """Close all links. Queued messages are written first if the other side reads them without delay."""
        self._stopping = True
        self._connections.stop()
        self.stop()
        if self._timer:
            self._timer.cancel()
        for link in self.links.values():
            link.close(SHUTDOWN_REASON)
        await self._connections.close()

    # ConnectionHandler: puts the events of connections into the mailbox

    def may_accept(self) -> bool:
        """Whether there is capacity for another connection."""
        return len(self.links) < MAX_CONNECTIONS

    def on_opened(self, link: ControlLink) -> None:
        """Handle a new connection, dialed or accepted."""
        self.tell(LinkOpened(link))

    def on_message(self, link: ControlLink, data: bytes) -> None:
        """Handle a received message."""
        self.tell(MessageReceived(link, data))

    def on_closed(self, link: ControlLink, why: str) -> None:
        """Handle the end of a connection."""
        self.tell(LinkClosed(link, why))

    def on_connect_failed(self, voter: str, why: str) -> None:
        """Handle a failed attempt to connect to a voter."""
        self.tell(ConnectFailed(voter, why))

    # Messages of the mailbox

    def receive(self, message: DriverMessage) -> None:
        """Handle one message of the mailbox."""
        now_us, now_mono_us = self.clock.now_us(), mono_us()
        match message:
            case MessageReceived(link=link, data=data):
                if link.number not in self.links:
                    return
                self.traffic.messages_in += 1
                self.traffic.bytes_in += len(data)
                self.perform(self.machine.received(now_us, now_mono_us, link.number, data))
            case Tick():
                self._due_us = 0
                self.perform(self.machine.tick(now_us, now_mono_us))
            case LinkOpened(link=link):
                self._handle_opened(now_us, now_mono_us, link)
            case LinkClosed(link=link, why=why):
                self._handle_closed(now_us, now_mono_us, link, why)
            case ConnectFailed(voter=voter, why=why):
                self.machine.failed(now_mono_us, voter)
                self._schedule_tick()
                self._unreachable.failed(voter, why)
            case Run(work=work):
                work()

    def _handle_opened(self, now_us: int, now_mono_us: int, link: ControlLink) -> None:
        self.links[link.number] = link
        self.traffic.opened += 1
        if link.voter is None:
            self._accepted(now_mono_us, link.number)
            self._schedule_tick()
            return
        self._unreachable.connected(link.voter)
        log.info("control_link_opened", extra={"voter": link.voter, "address": link.address})
        self.perform(self.machine.linked(now_us, now_mono_us, link.number, link.voter))

    def _handle_closed(self, now_us: int, now_mono_us: int, link: ControlLink, why: str) -> None:
        if self.links.pop(link.number, None) is None:
            return
        self.traffic.lost += 1
        level = logging.DEBUG if link.voter is None else logging.WARNING
        log.log(level, "control_link_lost", extra={"voter": link.voter, "address": link.address, "why": why})
        self.perform(self.machine.unlinked(now_us, now_mono_us, link.number))

    # Actions of the machine

    def perform(self, actions: Iterable[Action]) -> None:
        """Perform the actions that one call of the machine returned, in order."""
        for action in actions:
            match action:
                case Send(link=number, data=data):
                    self._send(number, data)
                case Connect(voter=voter):
                    self._connections.dial(voter)
                case Disconnect(link=number, why=why):
                    self._disconnect(number, why)
                case _:
                    self._perform_action(action)
        self._after_actions()
        self._schedule_tick()

    def _send(self, number: Link, data: bytes) -> None:
        if link := self.links.get(number):
            self.traffic.messages_out += 1
            self.traffic.bytes_out += len(data)
            link.send(data)

    def _disconnect(self, number: Link, why: str) -> None:
        if link := self.links.pop(number, None):
            link.close(why)
            level = logging.INFO if link.voter is None else logging.WARNING
            extra = {"voter": link.voter, "address": link.address, "why": why}
            log.log(level, "control_link_closed", extra=extra)

    # Timer of the next `tick`

    def _schedule_tick(self) -> None:
        if self._stopping:
            return
        now_us = mono_us()
        due_us = max(now_us + MIN_TICK_US, self.machine.next_us(now_us))
        if self._due_us and self._due_us <= due_us:
            return
        if self._timer:
            self._timer.cancel()
        self._due_us = due_us
        self._timer = self._loop.call_later((due_us - now_us) / 1e6, self.tell, Tick())
