"""Receive and send window of a link: which pushes were received, and which are written but not confirmed.

A push is a numbered message with records that the peer lacks; the peer confirms pushes by number. The windows
store push numbers and record names only, in bounded memory. A lost push is replaced by a new push with the
newest values of the same records.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from robinhill.mesh.errors import PeerRejected
from robinhill.mesh.records import RecordName

WINDOW_PUSHES = 64  # unconfirmed pushes; further changes stay in the replica until a push is confirmed
MAX_RESEND_NUMBERS = 64  # lost pushes requested in one frame


class ReceiveWindow:
    """The numbers of the pushes that were received. ``low``: every push up to this number was received."""

    def __init__(self) -> None:
        self.low = 0
        self._beyond: set[int] = set()  # received numbers above ``low``, after a gap

    def received(self, number: int, replaces: Iterable[int]) -> None:
        """Record a received push: its number, and the numbers of the lost pushes that it replaces.

        Raises PeerRejected if the peer writes more pushes after a lost one than its send window permits.
        """
        for each in (number, *replaces):
            if each > self.low:
                self._beyond.add(each)
        while self.low + 1 in self._beyond:
            self.low += 1
            self._beyond.discard(self.low)
        if len(self._beyond) > 4 * WINDOW_PUSHES:
            raise PeerRejected("the peer ignores its send window: too many pushes follow one that was lost")

    def missing(self, up_to: int) -> tuple[int, ...]:
        """Return the numbers up to ``up_to`` that were not received, ascending.

        At most the first ``MAX_RESEND_NUMBERS`` are returned.
        """
        last = min(up_to, self.low + 4 * WINDOW_PUSHES)
        return tuple(n for n in range(self.low + 1, last + 1) if n not in self._beyond)[:MAX_RESEND_NUMBERS]


@dataclass(slots=True, frozen=True)
class SentPush:
    """A push that was written, with the ``names`` of its records.

    ``cursor_before``: the sender's cursor in the change log before this push; 0 for records that anti-entropy
    found. ``replaces``: the numbers of the lost pushes that this push replaces.
    """

    names: tuple[RecordName, ...]
    cursor_before: int
    replaces: tuple[int, ...] = ()


class SendWindow:
    """The pushes that are written and not confirmed. ``last``: the number of the latest push, initially 0."""

    def __init__(self) -> None:
        self.last = 0
        self._unconfirmed: dict[int, SentPush] = {}
        self._to_resend: dict[int, None] = {}

    @property
    def has_capacity(self) -> bool:
        """Whether another push may be written."""
        return len(self._unconfirmed) < WINDOW_PUSHES

    @property
    def unconfirmed(self) -> int:
        """The number of pushes that are not confirmed."""
        return len(self._unconfirmed)

    def add(self, push: SentPush) -> int:
        """Record a new push and return its number."""
        self.last += 1
        self._unconfirmed[self.last] = push
        return self.last

    def mark_lost(self, numbers: Iterable[int]) -> None:
        """Schedule pushes that the peer did not receive to be replaced; unknown numbers are ignored."""
        self._to_resend.update((n, None) for n in numbers if n in self._unconfirmed)

    def next_lost(self) -> SentPush | None:
        """Remove the first lost push and return its replacement, not numbered yet; None if none is lost."""
        while self._to_resend:
            number = next(iter(self._to_resend))
            del self._to_resend[number]
            if lost := self._unconfirmed.pop(number, None):
                return SentPush(lost.names, lost.cursor_before, (*lost.replaces, number))
        return None

    def confirm(self, low: int) -> None:
        """Remove all pushes up to ``low``, which the peer has received."""
        for number in [n for n in self._unconfirmed if n <= low]:
            del self._unconfirmed[number]

    def confirmed_cursor(self, cursor: int) -> int:
        """Return the number of the change up to which the peer has received all changes.

        ``cursor``: the sender's cursor in the change log, which is the result if no push is unconfirmed.
        """
        return min((push.cursor_before for push in self._unconfirmed.values()), default=cursor)
