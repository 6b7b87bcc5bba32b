"""Requests in flight: those that still need an answer or have an attempt at a worker.

The table owns the numbers that the decision module knows requests by, and the ids of recent requests. It
sends and decides nothing.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from robinhill import api
from robinhill.protocol import Answer, JobRequest

Json = dict[str, Any]

SUCCESSOR_NUMBER_GAP = 1_000_000  # a predecessor's requests keep their numbers, ours begin so far behind them
MAX_RECENT_IDS = 16_384


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that needs an answer or has an attempt in flight."""

    job: int
    request: JobRequest
    deadline_us: int
    reply: asyncio.Future[Answer]
    answer_pending: bool = True
    attempts_in_flight: set[int] = field(default_factory=set)
    started_us: int = 0  # when the attempt in flight began to run; 0: not that we know of
    endpoints: list[str] = field(default_factory=list)  # of each attempt so far
    endings: list[str] = field(default_factory=list)  # of each attempt that is over, for the log
    last_outcome: api.Outcome | None = None  # of the attempts that ended in this process
    returned_by: list[str] = field(default_factory=list)  # endpoints that were full
    release_reply: asyncio.Future[Json | None] | None = None  # while it is being released to another process

    @property
    def wanted(self) -> bool:
        """Whether its client still waits; a disconnect shows in the reply before its message is handled."""
        return self.answer_pending and not self.reply.cancelled()

    @property
    def releasable(self) -> bool:
        """Whether it is being released, and nothing has ended that since."""
        return self.release_reply is not None and not self.release_reply.done() and self.answer_pending


class InFlightRequests:
    """The requests in flight by number and by id."""

    def __init__(self) -> None:
        self.by_number: dict[int, InFlightRequest] = {}
        self.numbers: dict[str, int] = {}  # by id: the wire's ids are text, the decision module's numbers
        # A worker remembers the request that an id came with first, and rejects any other under that id.
        self.recent_ids: dict[str, None] = {}
        self.next_number = 1

    def __len__(self) -> int:
        return len(self.by_number)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.numbers

    def note_id(self, request_id: str) -> bool:
        """Remember an id; False if a recent request had it."""
        if request_id in self.recent_ids:
            return False
        self.recent_ids[request_id] = None
        if len(self.recent_ids) > MAX_RECENT_IDS:
            del self.recent_ids[next(iter(self.recent_ids))]
        return True

    def add(self, request: JobRequest, deadline_us: int, reply: asyncio.Future[Answer]) -> InFlightRequest:
        """Number a new request."""
        number = self.numbers[request.id] = self.next_number
        self.next_number += 1
        in_flight = self.by_number[number] = InFlightRequest(number, request, deadline_us, reply)
        return in_flight

    def adopt(self, in_flight: InFlightRequest) -> None:
        """Add a request of another process, which keeps its number."""
        request_id = in_flight.request.id
        self.recent_ids[request_id] = None
        self.by_number[in_flight.job] = in_flight
        self.numbers[request_id] = in_flight.job

    def find(self, request: JobRequest) -> InFlightRequest | None:
        """This very request; not another one with the same id."""
        in_flight = self.by_number.get(self.numbers.get(request.id, 0))
        return in_flight if in_flight and in_flight.request is request else None

    def remove(self, in_flight: InFlightRequest) -> None:
        """Forget a request."""
        del self.by_number[in_flight.job]
        del self.numbers[in_flight.request.id]

    def remove_if_over(self, in_flight: InFlightRequest) -> None:
        """Forget a request that needs no answer and has no attempt in flight."""
        over = not in_flight.answer_pending and not in_flight.attempts_in_flight
        if over and in_flight.job in self.by_number:
            self.remove(in_flight)

    def import_state(self, recent_ids: list[str], next_number: int) -> None:
        """Continue a predecessor's ids and numbers."""
        self.recent_ids = dict.fromkeys(recent_ids) | self.recent_ids
        self.next_number = next_number + SUCCESSOR_NUMBER_GAP
