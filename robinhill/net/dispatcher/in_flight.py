"""The table of requests in flight: those that still need an answer or have an attempt in flight.

It assigns the numbers by which the decision module refers to requests (``job``), and holds the ids of recent
requests.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from robinhill import api
from robinhill.protocol import Answer, JobRequest

Json = dict[str, Any]

# Adopted requests keep the predecessor's numbers. The successor numbers new requests from this far above the
# predecessor's next number, as the predecessor may still accept requests.
SUCCESSOR_NUMBER_GAP = 1_000_000
MAX_RECENT_IDS = 16_384


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
    returned_by: list[str] = field(default_factory=list)  # workers that were full and returned the request
    release_reply: asyncio.Future[Json | None] | None = None  # None: no release to another process under way

    @property
    def wanted(self) -> bool:
        """Whether the client still waits for an answer.

        When the client disconnects, ``reply`` is cancelled some time before the dispatcher handles the
        message ``ClientDisconnected`` and updates ``answer_pending``.
        """
        return self.answer_pending and not self.reply.cancelled()

    @property
    def releasable(self) -> bool:
        """Whether a release is under way and has not been ended by an answer or the client's disconnect."""
        return self.release_reply is not None and not self.release_reply.done() and self.answer_pending


class InFlightRequests:
    """The requests in flight, by number and by id."""

    def __init__(self) -> None:
        self.by_number: dict[int, InFlightRequest] = {}
        self.numbers: dict[str, int] = {}  # by request id, the number used by the decision module
        # Ids of recent requests, oldest first. A new request with one of them is refused, as workers remember
        # the first request received under an id and reject others with the same id.
        self.recent_ids: dict[str, None] = {}
        self.next_number = 1

    def __len__(self) -> int:
        return len(self.by_number)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.numbers

    def record_id(self, request_id: str) -> bool:
        """Record the id of a new request; False if a recent request had the same id."""
        if request_id in self.recent_ids:
            return False
        self.recent_ids[request_id] = None
        if len(self.recent_ids) > MAX_RECENT_IDS:
            del self.recent_ids[next(iter(self.recent_ids))]
        return True

    def add(self, request: JobRequest, deadline_us: int, reply: asyncio.Future[Answer]) -> InFlightRequest:
        """Add a new request and assign a number to it."""
        number = self.numbers[request.id] = self.next_number
        self.next_number += 1
        in_flight = self.by_number[number] = InFlightRequest(number, request, deadline_us, reply)
        return in_flight

    def adopt(self, in_flight: InFlightRequest) -> None:
        """Add a request released by another process; it keeps its number."""
        request_id = in_flight.request.id
        self.recent_ids[request_id] = None
        self.by_number[in_flight.job] = in_flight
        self.numbers[request_id] = in_flight.job

    def find(self, request: JobRequest) -> InFlightRequest | None:
        """The entry of this request object; None if only another request with the same id has an entry."""
        in_flight = self.by_number.get(self.numbers.get(request.id, 0))
        return in_flight if in_flight and in_flight.request is request else None

    def remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request from the table; its id remains among the recent ones."""
        del self.by_number[in_flight.job]
        del self.numbers[in_flight.request.id]

    def remove_if_finished(self, in_flight: InFlightRequest) -> None:
        """Remove a request if it needs no answer and has no attempt in flight."""
        finished = not in_flight.answer_pending and not in_flight.attempts_in_flight
        if finished and in_flight.job in self.by_number:
            self.remove(in_flight)

    def import_state(self, recent_ids: list[str], next_number: int) -> None:
        """Adopt a predecessor's recent ids, and number new requests above those of the predecessor."""
        self.recent_ids = dict.fromkeys(recent_ids) | self.recent_ids
        self.next_number = next_number + SUCCESSOR_NUMBER_GAP
