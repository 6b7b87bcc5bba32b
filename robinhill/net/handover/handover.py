"""The hand-over between two processes of one scheduler while one replaces the other.

This module knows the questions that the two ask each other, and in which order; their sockets are in
``handover_socket`` and ``process_link``. What is handed over is up to the scheduler (`HandoverDelegate`).
"""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol

from robinhill.net.actor import Supervisor
from robinhill.net.handover.handover_socket import HandoverSocket
from robinhill.net.handover.messages import EndpointListExport, QuestionName, StateExport
from robinhill.net.handover.process_link import LinkLostError, ProcessLink

log = logging.getLogger(__name__)

Json = dict[str, Any]

PREDECESSOR_TIMEOUT_S = 2.5  # one that hangs may be why it is being replaced
OPERATOR_CALL_TIMEOUT_S = 0.7  # an operator's call must be answered within 1 s


class HandoverDelegate(Protocol):
    """What the hand-over needs of a scheduler; bodies are JSON of a process of any version."""

    def export_endpoint_list(self) -> EndpointListExport:
        """The endpoint list, its lease and the clock that it goes by, for a successor."""

    def export_state(self) -> StateExport:
        """What a successor must know to decide as this process would."""

    def set_superseded(self, superseded: bool) -> None:
        """A successor serves in place of this process; or the other process has exited."""

    async def apply_operator_call(self, call: str, body: Json) -> bool:
        """Apply an operator's call that the other process received; whether that was done."""

    async def take_worker_event(self, body: Json) -> bool:
        """Take a worker's event; False if this process does not have its request."""

    async def adopt_request(self, body: Json, fd: int) -> bool:
        """Go on with a request and its client's connection; False if it was not taken. Owns ``fd``."""


class Handover:
    """The links to the process before and the process after this one; either may be absent."""

    def __init__(self, folder: Path, supervisor: Supervisor, delegate: HandoverDelegate) -> None:
        self.supervisor = supervisor
        self.delegate = delegate
        self.predecessor: ProcessLink | None = None
        self.successor: ProcessLink | None = None
        self.serving = asyncio.Event()  # questions are answered only from then on
        self._state_exported = False  # the successor has our state
        self._successor_serves = False
        self._socket = HandoverSocket(folder, self._accept_successor)

    @property
    def live_links(self) -> list[ProcessLink]:
        """Links to the processes that run beside this one and know what it knows.

        A successor that has not got our state yet will learn of later changes with it.
        """
        both = (self.predecessor, self.successor if self._state_exported else None)
        return [link for link in both if link and not link.lost.is_set()]

    # As the new process

    def connect_predecessor(self) -> bool:
        """Whether there is a process to replace; it is linked then."""
        sock = self._socket.connect()
        if sock is None:
            return False
        self.predecessor = ProcessLink(sock, self.supervisor, self._answer)
        return True

    async def ask_predecessor(self, question: str) -> Mapping[str, Any] | None:
        """The predecessor's answer; None if it does not answer in time, and it is given up then."""
        assert self.predecessor
        try:
            async with asyncio.timeout(PREDECESSOR_TIMEOUT_S):
                return await self.predecessor.ask(question)
        except (TimeoutError, LinkLostError) as e:
            log.warning("predecessor_unresponsive", extra={"question": question, "why": repr(e)})
            self.predecessor.close()
            return None

    async def start_serving(self) -> None:
        """This process accepts connections: notify the predecessor, and be found by a successor."""
        self.serving.set()
        if self.predecessor:
            if not self.predecessor.lost.is_set():
                await self.ask_predecessor(QuestionName.SERVING)
            self.supervisor.spawn(self._await_predecessor_exit(self.predecessor), "predecessor")
        self._socket.publish()

    async def _await_predecessor_exit(self, link: ProcessLink) -> None:
        await link.lost.wait()
        log.info("predecessor_exited")
        self.predecessor = None
        self.delegate.set_superseded(self._successor_serves)

    # As the old process

    def _accept_successor(self, sock: socket.socket) -> None:
        if self.successor and not self.successor.lost.is_set():
            sock.close()  # one at a time
            return
        self.successor = ProcessLink(sock, self.supervisor, self._answer)
        self._state_exported = False
        self.supervisor.spawn(self._await_successor_exit(self.successor), "successor")

    async def _await_successor_exit(self, link: ProcessLink) -> None:
        await link.lost.wait()
        log.warning("successor_exited")
        self.successor, self._successor_serves = None, False
        self.delegate.set_superseded(False)
        if not self._socket.is_published:
            self._socket.publish()

    def _successor_started(self) -> None:
        log.info("successor_serving")
        self._successor_serves = True
        self.delegate.set_superseded(True)
        self._socket.withdraw()  # its name is the successor's now

    # As either

    async def _answer(
        self, link: ProcessLink, question: str, body: Json, fd: int | None
    ) -> Mapping[str, object]:
        await self.serving.wait()
        match question:
            case QuestionName.ENDPOINT_LIST:
                return self.delegate.export_endpoint_list()
            case QuestionName.STATE:
                self._state_exported = True
                return self.delegate.export_state()
            case QuestionName.SERVING:
                self._successor_started()
                return {}
            case QuestionName.WORKER_EVENT:
                return {"taken": await self._take_worker_event(body, link)}
            case QuestionName.ADOPT_REQUEST if fd is not None:
                return {"taken": await self.delegate.adopt_request(body, fd)}
            case _:
                return {"yes": await self.delegate.apply_operator_call(question, body)}

    async def _take_worker_event(self, body: Json, origin: ProcessLink) -> bool:
        return await self.delegate.take_worker_event(body) or await self.forward_worker_event(body, origin)

    async def forward_worker_event(self, body: Json, origin: ProcessLink | None = None) -> bool:
        """Offer a worker's event to the other processes; whether one has its request and took the event."""
        for link in self.live_links:
            with contextlib.suppress(LinkLostError):
                if link is not origin and (await link.ask(QuestionName.WORKER_EVENT, body))["taken"]:
                    return True
        return False

    async def relay_operator_call(self, call: str, body: Json) -> bool:
        """Have the other processes apply an operator's call; whether all that run have done so in time."""
        for link in self.live_links:
            try:
                async with asyncio.timeout(OPERATOR_CALL_TIMEOUT_S):
                    if not (await link.ask(call, body))["yes"]:
                        return False
            except TimeoutError:
                return False
            except LinkLostError:
                continue
        return True

    def close(self) -> None:
        """Close the socket and all links."""
        self._socket.withdraw()
        for link in self.live_links:
            link.close()
        self._socket.close()
