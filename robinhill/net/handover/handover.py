"""The hand-over between two processes of one scheduler: the successor replaces its predecessor.

This module defines which questions (requests with one answer each) the two processes send each other. The
sockets are in ``handover_socket`` and ``process_link``; the scheduler exports and imports the state that the
messages contain (`HandoverDelegate`).

Order: the successor connects, asks for the predecessor's endpoint list and state, and notifies the
predecessor that it serves. From then on the predecessor accepts no connections. When it shuts down, it hands
its pending requests over to the successor.
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
from robinhill.net.handover.messages import CLAIMS_KEY, Claim, EndpointListExport, QuestionName, StateExport
from robinhill.net.handover.process_link import EncodingError, LinkLostError, ProcessLink

log = logging.getLogger(__name__)

Json = dict[str, Any]

# How long the successor waits for each answer of the predecessor. The wait is limited because the predecessor
# may be replaced for the very reason that it hangs.
PREDECESSOR_TIMEOUT_S = 2.5
# How long this process waits until another process has applied an operator's call. The operator must receive
# the answer to the call within 1 s.
OPERATOR_CALL_TIMEOUT_S = 0.7


# How long the predecessor waits until the successor has answered whether an id is in use.
CLAIM_TIMEOUT_S = 1.0


class HandoverDelegate(Protocol):
    """The functions of the scheduler that the hand-over calls.

    Each ``body`` is JSON from the other process, which may run another version of robinhill.
    """

    def export_endpoint_list(self) -> EndpointListExport:
        """Return the endpoint list, its lease and the clock that the lease refers to, for a successor."""

    def export_state(self) -> StateExport:
        """Return the state that a successor needs to make the same decisions as this process."""

    def set_superseded(self, superseded: bool) -> None:
        """Leave new connections to a successor (True), or accept connections in this process (False)."""

    def record_predecessor_exit(self) -> None:
        """Note that the predecessor has exited: it hands over no further requests."""

    async def apply_operator_call(self, call: str, body: Json) -> bool:
        """Apply an operator's call that the other process received. Returns whether it succeeded."""

    async def accept_worker_event(self, body: Json) -> bool:
        """Process a worker's callback that the other process has forwarded.

        Returns False if this process does not have the callback's request.
        """

    async def claim_id(self, request_id: str) -> bool:
        """Reserve an id for a request of the predecessor. Returns False if it is in use."""

    async def adopt_request(self, body: Json, fd: int) -> bool:
        """Continue a request of the other process and its client's connection, whose descriptor is ``fd``.

        This call owns ``fd``. Returns False if this process rejects the request.
        """


class Handover:
    """The links to this process's predecessor and successor; either may be absent."""

    def __init__(self, folder: Path, supervisor: Supervisor, delegate: HandoverDelegate) -> None:
        self.supervisor = supervisor
        self.delegate = delegate
        self.predecessor: ProcessLink | None = None
        self.successor: ProcessLink | None = None
        # Set by `start_serving`. Questions that the other process sends earlier are answered after that call.
        self.serving = asyncio.Event()
        self._state_exported = False  # whether the successor has asked for this process's state
        self._successor_decides_ids = False  # whether new ids must be claimed at the successor
        self._successor_serves = False  # whether the successor accepts connections
        self._socket = HandoverSocket(folder, self._accept_successor)

    @property
    def live_links(self) -> list[ProcessLink]:
        """Links to the running processes that must receive the calls and events that this process receives.

        A successor that has not asked for this process's state is left out: the state includes the effects of
        all calls and events up to the time at which it is exported.
        """
        neighbours = (self.predecessor, self.successor if self._state_exported else None)
        return [link for link in neighbours if link and not link.lost.is_set()]

    # As the successor

    def connect_predecessor(self) -> bool:
        """Connect to the predecessor. Returns whether there is one."""
        sock = self._socket.connect()
        if sock is None:
            return False
        self.predecessor = ProcessLink(sock, self.supervisor, self._answer)
        return True

    async def ask_predecessor(self, question: str, body: Json | None = None) -> Mapping[str, Any] | None:
        """Ask the predecessor a question of `QuestionName` and return the body of its answer.

        If the predecessor does not answer within `PREDECESSOR_TIMEOUT_S`, or the link to it is lost, this
        method closes the link and returns None.
        """
        assert self.predecessor
        try:
            async with asyncio.timeout(PREDECESSOR_TIMEOUT_S):
                return await self.predecessor.ask(question, body)
        except (TimeoutError, LinkLostError) as e:
            log.warning("predecessor_unresponsive", extra={"question": question, "why": repr(e)})
            self.predecessor.close()
            return None

    async def ask_endpoint_list(self) -> Mapping[str, Any] | None:
        """Ask the predecessor for its endpoint list; None if it has exited.

        Unlike in `ask_predecessor`, the link stays open however long the answer takes: the predecessor may
        still hand over its requests.
        """
        if self.predecessor is None:
            return None
        try:
            return await self.predecessor.ask(QuestionName.ENDPOINT_LIST)
        except LinkLostError:
            return None

    async def start_serving(self) -> None:
        """Notify the predecessor that this process accepts connections, and publish the hand-over socket.

        From then on this process can itself be replaced by a successor.
        """
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
        self.delegate.record_predecessor_exit()
        self.delegate.set_superseded(self._successor_serves)

    # As the predecessor

    def _accept_successor(self, sock: socket.socket) -> None:
        if self.successor and not self.successor.lost.is_set():
            sock.close()  # only one successor at a time
            return
        self.successor = ProcessLink(sock, self.supervisor, self._answer)
        self._state_exported = self._successor_decides_ids = False
        self.supervisor.spawn(self._await_successor_exit(self.successor), "successor")

    async def _await_successor_exit(self, link: ProcessLink) -> None:
        await link.lost.wait()
        log.warning("successor_exited")
        self.successor, self._successor_serves, self._successor_decides_ids = None, False, False
        self.delegate.set_superseded(False)
        if not self._socket.is_published:
            self._socket.publish()

    @property
    def claims_needed(self) -> bool:
        """Whether the successor decides if the id of a new request is in use.

        It does from the export of this process's state on, which contains all ids accepted before.
        """
        return self._successor_decides_ids and self.successor is not None

    async def claim(self, request_id: str) -> Claim:
        """Ask the successor whether this process may accept a request with this id."""
        if not self.claims_needed or self.successor is None:
            return Claim.GRANTED
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                answer = await self.successor.ask(QuestionName.CLAIM_ID, {"id": request_id})
        except TimeoutError:
            return Claim.UNKNOWN
        except LinkLostError:
            return Claim.GRANTED  # the successor has exited, and this process decides again
        return Claim.GRANTED if answer["granted"] else Claim.REFUSED

    def _export_state(self, question: Json) -> StateExport:
        self._state_exported = True
        self._successor_decides_ids = bool(question.get(CLAIMS_KEY))
        return self.delegate.export_state()

    def _successor_started(self) -> Json:
        log.info("successor_serving")
        self._successor_serves = True
        self.delegate.set_superseded(True)
        self._socket.withdraw()  # the successor replaces this process's socket file with its own
        return {}

    # As either process

    async def _answer(
        self, link: ProcessLink, question: str, body: Json, fd: int | None
    ) -> Mapping[str, object]:
        if question != QuestionName.CLAIM_ID:  # a client of the predecessor waits for the answer to a claim
            await self.serving.wait()
        match question:
            case QuestionName.CLAIM_ID:
                answer: Mapping[str, object] = {"granted": await self.delegate.claim_id(body["id"])}
            case QuestionName.ENDPOINT_LIST:
                answer = self.delegate.export_endpoint_list()
            case QuestionName.STATE:
                answer = self._export_state(body)
            case QuestionName.SERVING:
                answer = self._successor_started()
            case QuestionName.WORKER_EVENT:
                answer = {"taken": await self._accept_worker_event(body, link)}
            case QuestionName.ADOPT_REQUEST if fd is not None:
                answer = {"taken": await self.delegate.adopt_request(body, fd)}
            case _:
                answer = {"yes": await self.delegate.apply_operator_call(question, body)}
        return answer

    async def _accept_worker_event(self, body: Json, origin: ProcessLink) -> bool:
        return await self.delegate.accept_worker_event(body) or await self.forward_worker_event(body, origin)

    async def forward_worker_event(self, body: Json, origin: ProcessLink | None = None) -> bool:
        """Forward a worker's callback to the processes of `live_links`, except to the one at ``origin``.

        They are asked one after another. Returns whether one of them has the callback's request and has
        accepted the callback.
        """
        for link in self.live_links:
            with contextlib.suppress(LinkLostError, EncodingError):
                if link is not origin and (await link.ask(QuestionName.WORKER_EVENT, body))["taken"]:
                    return True
        return False

    async def relay_operator_call(self, call: str, body: Json) -> bool:
        """Forward an operator's call to the processes of `live_links`, one after another.

        Returns False as soon as one of them rejects the call or does not apply it within
        `OPERATOR_CALL_TIMEOUT_S`. A process that has exited is skipped, and does not make the call fail.
        """
        for link in self.live_links:
            try:
                async with asyncio.timeout(OPERATOR_CALL_TIMEOUT_S):
                    if not (await link.ask(call, body))["yes"]:
                        return False
            except (TimeoutError, EncodingError):
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
