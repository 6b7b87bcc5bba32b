"""Changes that an observer wrote itself, retained so that the observer can offer them to another voter after
a failover. A change is retained until it is *in force*: no scheduler can send jobs without knowing it."""

from collections.abc import Iterable, Iterator

from robinhill.control.errors import ChangesFull
from robinhill.control.messages import Offer
from robinhill.mesh.records import Record

MAX_PENDING_OFFERS = 1_024
"""At this limit a new offer evicts the oldest offer whose change the voter has reported as accepted
(`Progressed.accepted`)."""


class PendingOffers:
    """The offers whose changes are not in force yet, in ascending order of their numbers."""

    def __init__(self) -> None:
        self._records: dict[int, tuple[Record, ...]] = {}
        self._accepted: set[int] = set()
        self._last_number = 0

    def __contains__(self, number: int) -> bool:
        return number in self._records

    def __iter__(self) -> Iterator[Offer]:
        return (Offer(number, records) for number, records in self._records.items())

    def ensure_capacity(self) -> None:
        """At the limit, evict the oldest accepted offer.

        Raises ChangesFull if no offer is accepted.
        """
        if len(self._records) < MAX_PENDING_OFFERS:
            return
        accepted = next((number for number in self._records if number in self._accepted), None)
        if accepted is None:
            raise ChangesFull(f"{len(self._records)} changes are pending, none of them accepted")
        self.drop(accepted)

    def add(self, records: Iterable[Record]) -> Offer:
        """Add a change of these records, and return its offer."""
        self._last_number += 1
        offer = Offer(self._last_number, tuple(records))
        self._records[offer.number] = offer.records
        return offer

    def accepted(self, number: int) -> None:
        """Record that a change was accepted, so its offer may be evicted."""
        self._accepted.add(number)

    def drop(self, number: int) -> None:
        """Remove an offer whose change is in force, or whose progress is no longer needed."""
        self._records.pop(number, None)
        self._accepted.discard(number)
