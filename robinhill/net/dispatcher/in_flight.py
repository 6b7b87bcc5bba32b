"""The table of requests in flight: those that still need an answer or have an attempt in flight.

It assigns the numbers by which the decision module refers to requests (``job``), and decides whether the id
of a new request is in use. It forgets no id whose request is in flight, however many other requests arrive.
"""

import asyncio
import logging
import sys
from dataclasses import dataclass, field, replace
from typing import Any

from robinhill import api
from robinhill.memory_budget import MemoryBudget
from robinhill.net.client_reply import ClientReply
from robinhill.net.dispatcher.messages import RequestAccepted
from robinhill.protocol import CONFLICT, Answer, JobEvent, JobRequest

log = logging.getLogger(__name__)

Json = dict[str, Any]

# Adopted requests keep the predecessor's numbers. The successor numbers new requests from this far above the
# predecessor's next number, as the predecessor may still accept requests.
SUCCESSOR_NUMBER_GAP = 1_000_000
# What a request whose client has left costs until its attempt ends, apart from its body: its entries in the
# tables of dispatcher, decision module and endpoint, and their timers.
ABANDONED_REQUEST_BYTES = 8 * 1024
MAX_RECENT_IDS = 16_384  # ids of ended requests that are kept; as many again that no worker has received


def refuse_duplicate(message: RequestAccepted) -> None:
    """Answer a request whose id is in use with `CONFLICT`."""
    log.warning("duplicate_request_id", extra={"id": message.request.id})
    if not message.reply.done():  # the client may have disconnected already
        message.reply.set_result(CONFLICT)


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that needs an answer or has an attempt in flight."""

    job: int  # the number by which the decision module refers to the request
    request: JobRequest
    deadline_us: int
    reply: asyncio.Future[Answer]
    answer_pending: bool = True  # False: answered, or the client has disconnected
    attempts_in_flight: set[int] = field(default_factory=set)
    started_us: int = 0  # when the latest attempt was first reported to run; 0: not reported
    endpoints: list[str] = field(default_factory=list)  # worker's instance id, indexed by attempt number
    # Instance id, outcome and duration of each attempt that has ended, for the log.
    attempt_summaries: list[str] = field(default_factory=list)
    last_outcome: api.Outcome | None = None  # outcome of the last attempt that ended in this process
    returned_by: list[str] = field(default_factory=list)  # workers that returned it by a callback
    abandoned_bytes: int = 0  # its part of the memory budget; 0 while its client waits
    release_reply: asyncio.Future[Json | None] | None = None  # None: no release to another process under way

    @property
    def wanted(self) -> bool:
        """Whether the client still waits for an answer.

        When the client disconnects, ``reply`` is cancelled some time before the dispatcher handles the
        message ``ClientDisconnected`` and updates ``answer_pending``. The end of a connection with much
        unread data is noticed only when it is looked for.
        """
        if not self.answer_pending or self.reply.cancelled():
            return False
        return not (isinstance(self.reply, ClientReply) and self.reply.client_has_left())

    @property
    def releasable(self) -> bool:
        """Whether a release is under way and has not been ended by an answer or the client's disconnect."""
        return self.release_reply is not None and not self.release_reply.done() and self.answer_pending


class InFlightRequests:
    """The requests in flight, by number and by id."""

    def __init__(self) -> None:
        self.by_number: dict[int, InFlightRequest] = {}
        self.numbers: dict[str, int] = {}  # by request id, the number used by the decision module
        # Ids of ended requests, oldest first. A new request with one of them is refused, as workers remember
        # the first request received under an id and reject others with the same id.
        self.recent_ids: dict[str, None] = {}  # of requests that no worker has received
        self.sent_ids: dict[str, None] = {}  # of requests that a worker may have received
        # Ids that the predecessor knew at the hand-over of its state, and ids reserved for it since; empty
        # once it has exited. It may still have the requests of some of them; none is forgotten before.
        self.predecessor_ids: dict[str, None] = {}
        self.next_number = 1
        self.memory = MemoryBudget(sys.maxsize)  # the budget in which requests of clients that left count

    def __len__(self) -> int:
        return len(self.by_number)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.numbers

    def is_known(self, request_id: str) -> bool:
        """Whether a new request with this id is refused: another one has it, or had it recently."""
        tables = (self.numbers, self.recent_ids, self.sent_ids, self.predecessor_ids)
        return any(request_id in ids for ids in tables)

    def remember(self, request_id: str, sent: bool = False) -> None:
        """Keep the id of a request that is not in flight; above ``MAX_RECENT_IDS``, the oldest is dropped.

        ``sent``: a worker may have received the request. Such ids have a table of their own, from which a
        flood of rejected requests drops none.
        """
        ids = self.sent_ids if sent else self.recent_ids
        ids[request_id] = None
        while len(ids) > MAX_RECENT_IDS:
            del ids[next(iter(ids))]

    def reserve(self, request_id: str) -> None:
        """Keep an id that the predecessor has accepted after the hand-over of its state."""
        self.predecessor_ids[request_id] = None

    def known_ids(self) -> list[str]:
        """All known ids, for a successor; it forgets the first ones first."""
        ids = self.recent_ids | self.sent_ids | self.predecessor_ids | dict.fromkeys(self.numbers)
        return list(ids)

    def add(self, request: JobRequest, deadline_us: int, reply: asyncio.Future[Answer]) -> InFlightRequest:
        """Add a new request and assign a number to it."""
        number = self.numbers[request.id] = self.next_number
        self.next_number += 1
        in_flight = self.by_number[number] = InFlightRequest(number, request, deadline_us, reply)
        return in_flight

    def adopt(self, in_flight: InFlightRequest) -> None:
        """Add a request released by another process; it keeps its number. Its id must not be in flight."""
        request_id = in_flight.request.id
        assert request_id not in self.numbers, "two requests in flight have the same id"
        self.recent_ids.pop(request_id, None)
        self.sent_ids.pop(request_id, None)
        self.by_number[in_flight.job] = in_flight
        self.numbers[request_id] = in_flight.job

    def find(self, request: JobRequest) -> InFlightRequest | None:
        """The entry of this request object; None if only another request with the same id has an entry."""
        in_flight = self.by_number.get(self.numbers.get(request.id, 0))
        return in_flight if in_flight and in_flight.request is request else None

    def expects_callback(self, event: JobEvent) -> bool:
        """Whether the callback's worker has an attempt in flight of a request with the callback's id."""
        request = self.by_number.get(self.numbers.get(event.id, 0))
        return request is not None and any(
            request.endpoints[attempt] == event.source for attempt in request.attempts_in_flight
        )

    def abandon(self, in_flight: InFlightRequest) -> None:
        """Note that the client of a request with an attempt in flight has left: its body is sent no more."""
        in_flight.request = replace(in_flight.request, body=b"")
        in_flight.abandoned_bytes = ABANDONED_REQUEST_BYTES
        self.memory.resize(0, ABANDONED_REQUEST_BYTES)

    def remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request from the table; its id remains among the recent ones."""
        self.memory.resize(in_flight.abandoned_bytes, 0)
        del self.by_number[in_flight.job]
        del self.numbers[in_flight.request.id]
        self.remember(in_flight.request.id, sent=bool(in_flight.endpoints))

    def remove_if_finished(self, in_flight: InFlightRequest) -> None:
        """Remove a request if it needs no answer and has no attempt in flight."""
        finished = not in_flight.answer_pending and not in_flight.attempts_in_flight
        if finished and in_flight.job in self.by_number:
            self.remove(in_flight)

    def import_state(self, known_ids: list[str], next_number: int) -> None:
        """Adopt a predecessor's ids, and number new requests above those of the predecessor."""
        self.predecessor_ids |= dict.fromkeys(known_ids)
        self.next_number = next_number + SUCCESSOR_NUMBER_GAP

    def release_predecessor_ids(self) -> None:
        """Let the predecessor's ids be forgotten like those of other ended requests, as it has exited."""
        known = self.predecessor_ids | self.recent_ids
        self.predecessor_ids, self.recent_ids = {}, {}
        for request_id in known:
            if request_id not in self.numbers:
                self.remember(request_id)
