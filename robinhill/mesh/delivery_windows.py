"""Which pushes have come, and what was in those that have not: numbers and names only, in bounded memory."""

from collections.abc import Iterable
from dataclasses import dataclass

from robinhill.mesh.errors import PeerRefused

Name = tuple[str, str]
WINDOW = 64  # pushes that may be unconfirmed: beyond it the newest values wait in the replica, not in frames
MAX_ASKED = 64  # lost pushes that are asked for in one frame


class Arrivals:
    """Numbers of the pushes that have come."""

    def __init__(self) -> None:
        self.low = 0  # all up to here are here
        self._beyond: set[int] = set()

    def came(self, number: int, instead: Iterable[int]) -> None:
        for each in (number, *instead):
            if each > self.low:
                self._beyond.add(each)
        while self.low + 1 in self._beyond:
            self.low += 1
            self._beyond.discard(self.low)
        if len(self._beyond) > 4 * WINDOW:
            raise PeerRefused("it writes on past pushes that were never confirmed")

    def lacking(self, up_to: int) -> tuple[int, ...]:
        """Numbers up to this one that have not come, the first of them."""
        last = min(up_to, self.low + 4 * WINDOW)
        return tuple(n for n in range(self.low + 1, last + 1) if n not in self._beyond)[:MAX_ASKED]


@dataclass(slots=True, frozen=True)
class Pushed:
    """What a push held; ``before``: our cursor then; ``instead``: lost pushes that it stands for."""

    names: tuple[Name, ...]
    before: int
    instead: tuple[int, ...] = ()


class Departures:
    """Pushes that are written and not confirmed."""

    def __init__(self) -> None:
        self.last = 0
        self._out: dict[int, Pushed] = {}
        self._again: dict[int, None] = {}

    @property
    def room(self) -> bool:
        return len(self._out) < WINDOW

    @property
    def unconfirmed(self) -> bool:
        return bool(self._out)

    def wrote(self, pushed: Pushed) -> int:
        """The number of a new push."""
        self.last += 1
        self._out[self.last] = pushed
        return self.last

    def lost(self, numbers: Iterable[int]) -> None:
        self._again.update((n, None) for n in numbers if n in self._out)

    def again(self) -> Pushed | None:
        """A push that was lost, as what is to be written in its place."""
        while self._again:
            number = next(iter(self._again))
            del self._again[number]
            if lost := self._out.pop(number, None):
                return Pushed(lost.names, lost.before, (*lost.instead, number))
        return None

    def confirmed(self, low: int) -> None:
        for number in [n for n in self._out if n <= low]:
            del self._out[number]

    def held(self, cursor: int) -> int:
        """Up to where the other side has our changes."""
        return min((pushed.before for pushed in self._out.values()), default=cursor)
