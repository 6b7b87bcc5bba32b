"""Changes of cordons that were asked for at this process, and how far each has come. No sockets.

A change is *accepted* once it can't be forgotten, and *in force* once no scheduler can act without it.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from robinhill.control.actions import Progressed

MAX_UNDER_WAY = 512
"""Changes that are followed at once; the oldest beyond it are followed no more, but hold all the same."""

STORED, ACCEPTED, IN_FORCE = "stored", "accepted", "in force"


@dataclass(slots=True, eq=False)
class Change:
    """What one call has written: a record for each target. ``began_us``: monotonic."""

    cordon_id: str
    targets: tuple[str, ...]
    lifts: bool
    began_us: int
    dots: tuple[str, ...] = ()
    waiting: int = 0
    numbers: dict[int, Progressed | None] = field(default_factory=dict)

    @property
    def accepted(self) -> bool:
        """Whether all of it is."""
        return all(news is not None and (news.accepted or news.in_force) for news in self.numbers.values())

    @property
    def in_force(self) -> bool:
        """Whether all of it is."""
        return all(news is not None and news.in_force for news in self.numbers.values())

    @property
    def state(self) -> str:
        """How far it has come, in the words of the operators' calls."""
        if self.in_force:
            return IN_FORCE
        return ACCEPTED if self.accepted else STORED

    @property
    def behind(self) -> int:
        """How many voters and schedulers are not known to go by it."""
        return max((news.lagging.count for news in self._news()), default=0)

    @property
    def names_behind(self) -> tuple[str, ...]:
        """Some of them, ascending."""
        return tuple(sorted({name for news in self._news() for name in news.lagging.names}))

    def _news(self) -> Iterable[Progressed]:
        return (news for news in self.numbers.values() if news is not None)


class Changes:
    """All changes of this process that are followed, or whose cordon stands."""

    def __init__(self) -> None:
        self._by_number: dict[int, Change] = {}
        self._by_dot: dict[str, Change] = {}

    def follow(self, change: Change, number: int) -> None:
        """Progress under this number is this change's."""
        change.numbers[number] = None
        self._by_number[number] = change
        for dot in change.dots:
            self._by_dot[dot] = change

    def progressed(self, news: Progressed) -> Change | None:
        """Take in news; whose they are."""
        change = self._by_number.get(news.number)
        if change is None:
            return None
        change.numbers[news.number] = news
        if news.in_force:
            del self._by_number[news.number]
        return change

    def of_dot(self, dot: str) -> Change | None:
        """The change that wrote a reason, where it was this process."""
        return self._by_dot.get(dot)

    def under_way(self) -> int:
        """How many are not in force yet."""
        return len({id(change) for change in self._by_number.values()})

    def abandoned(self) -> list[int]:
        """Numbers that are followed no more, as there are too many and nobody waits for them."""
        excess = len(self._by_number) - MAX_UNDER_WAY
        if excess <= 0:
            return []
        idle = [number for number, change in self._by_number.items() if not change.waiting][:excess]
        for number in idle:
            del self._by_number[number]
        return idle

    def forget_ended(self, standing: Collection[str]) -> None:
        """Forget changes that are over: their reason does not stand and nothing of them is under way."""
        for dot, change in list(self._by_dot.items()):
            if dot not in standing and change.in_force:
                del self._by_dot[dot]
