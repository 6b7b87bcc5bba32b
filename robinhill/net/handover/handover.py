"""The hand-over between two processes of one scheduler while one replaces the other.

This module defines which questions (requests with one answer each) the two processes send each other, and in
which order. The sockets are in ``handover_socket`` and ``process_link``; the scheduler supplies the content
(`HandoverDelegate`).
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

PREDECESSOR_TIMEOUT_S = 2.5  # for each answer; the predecessor may be replaced because it hangs
OPERATOR_CALL_TIMEOUT_S = 0.7  # an operator's call must be answered within 1 s


class HandoverDelegate(Protocol):
    """The scheduler's interface to the hand-over. Bodies are JSON written by a process of any version."""

    def export_endpoint_list(self) -> EndpointListExport:
        """Return the endpoint list, its lease and the clock that the lease refers to, for a successor."""

    def export_state(self) -> StateExport:
        """Return the state that a successor needs to make the same decisions as this process."""

    def set_superseded(self, superseded: bool) -> None:
        """Record whether a successor accepts connections in place of this process."""

    async def apply_operator_call(self, call: str, body: Json) -> bool:
        """Apply an operator's call that the other process received. Returns whether it succeeded."""

    async def accept_worker_event(self, body: Json) -> bool:
        """Process a worker's event. Returns False if this process does not have the event's request."""

    async def adopt_request(self, body: Json, fd: int) -> bool:
        """Continue a request and its client's connection, and own ``fd``. Returns False if rejected."""


class Handover:
    """The links to this process's predecessor and successor; either may be absent."""

    def __init__(self, folder: Path, supervisor: Supervisor, delegate: HandoverDelegate) -> None:
        self.supervisor = supervisor
        self.delegate = delegate
        self.predecessor: ProcessLink | None = None
        self.successor: ProcessLink | None = None
        self.serving = asyncio.Event()  # set once this process serves; questions are answered from then on
        self._state_exported = False  # the successor has received this process's state
        self._successor_serves = False
        self._socket = HandoverSocket(folder, self._accept_successor)

    @property
    def live_links(self) -> list[ProcessLink]:
        """Links to the running processes that share this process's state.

        A successor that has not received the state yet is left out: the state that it will receive includes
        all changes until then.
        """
        neighbours = (self.predecessor, self.successor if self._state_exported else None)
        return [link for link in neighbours if link and not link.lost.is_set()]

    # As the successor

    def connect_predecessor(self) -> bool:
        """Connect to the process to replace. Returns whether there is one."""
        sock = self._socket.connect()
        if sock is None:
            return False
        self.predecessor = ProcessLink(sock, self.supervisor, self._answer)
        return True

    async def ask_predecessor(self, question: str) -> Mapping[str, Any] | None:
        """Return the predecessor's answer. If it does not answer in time, close its link and return None."""
        assert self.predecessor
        try:
            async with asyncio.timeout(PREDECESSOR_TIMEOUT_S):
                return await self.predecessor.ask(question)
        except (TimeoutError, LinkLostError) as e:
            log.warning("predecessor_unresponsive", extra={"question": question, "why": repr(e)})
            self.predecessor.close()
            return None

    async def start_serving(self) -> None:
        """Notify the predecessor that this process accepts connections, and publish the hand-over socket."""
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

    # As the predecessor

    def _accept_successor(self, sock: socket.socket) -> None:
        if self.successor and not self.successor.lost.is_set():
            sock.close()  # only one successor at a time
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
        self._socket.withdraw()  # the socket's file belongs to the successor now

    # As either process

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
                return {"taken": await self._accept_worker_event(body, link)}
            case QuestionName.ADOPT_REQUEST if fd is not None:
                return {"taken": await self.delegate.adopt_request(body, fd)}
            case _:
                return {"yes": await self.delegate.apply_operator_call(question, body)}

    async def _accept_worker_event(self, body: Json, origin: ProcessLink) -> bool:
        return await self.delegate.accept_worker_event(body) or await self.forward_worker_event(body, origin)

    async def forward_worker_event(self, body: Json, origin: ProcessLink | None = None) -> bool:
        """Forward a worker's event to the other processes, except to ``origin``.

        Returns whether one of them has the event's request and accepted the event.
        """
        for link in self.live_links:
            with contextlib.suppress(LinkLostError):
                if link is not origin and (await link.ask(QuestionName.WORKER_EVENT, body))["taken"]:
                    return True
        return False

    async def relay_operator_call(self, call: str, body: Json) -> bool:
        """Forward an operator's call to the other processes.

        Returns whether each one has applied it in time; a process that has exited does not count.
        """
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
        """Close the hand-over socket and all live links."""
        self._socket.withdraw()
        for link in self.live_links:
            link.close()
        self._socket.close()
