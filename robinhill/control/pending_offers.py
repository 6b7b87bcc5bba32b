"""Changes that an observer wrote itself, kept until they are in force, to be offered again to another
voter."""

from collections.abc import Iterable, Iterator

from robinhill.control.errors import ChangesFull
from robinhill.control.messages import Offer
from robinhill.mesh.records import Record

MAX_PENDING_OFFERS = 1_024
"""Past this the oldest accepted offer is dropped."""


class PendingOffers:
    """Offers that are not in force yet, in the order of their numbers."""

    def __init__(self) -> None:
        self._records: dict[int, tuple[Record, ...]] = {}
        self._accepted: set[int] = set()
        self._last_number = 0

    def __contains__(self, number: int) -> bool:
        return number in self._records

    def __iter__(self) -> Iterator[Offer]:
        return (Offer(number, records) for number, records in self._records.items())

    def ensure_capacity(self) -> None:
        """Make room for an offer by dropping the oldest accepted one.

        Raises ChangesFull where none is accepted.
        """
        if len(self._records) < MAX_PENDING_OFFERS:
            return
        accepted = next((number for number in self._records if number in self._accepted), None)
        if accepted is None:
            raise ChangesFull(f"{len(self._records)} changes are waited for, none of them accepted")
        self.drop(accepted)

    def add(self, records: Iterable[Record]) -> Offer:
        """Add a change of these records."""
        self._last_number += 1
        offer = Offer(self._last_number, tuple(records))
        self._records[offer.number] = offer.records
        return offer

    def accepted(self, number: int) -> None:
        """A majority of voters has stored the change."""
        self._accepted.add(number)

    def drop(self, number: int) -> None:
        """The change is in force, or of no interest any more."""
        self._records.pop(number, None)
        self._accepted.discard(number)
