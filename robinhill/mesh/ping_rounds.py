"""Whom the failure detector pings, in which order, and which of its pings await an ack."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from robinhill.mesh.member_table import Member

MAX_PINGS_IN_FLIGHT = 64  # own ones and those for others; only a flood of requests exceeds it


class PingRound:
    """Each member once in a round, in an order that is shuffled for every round (SWIM, section 4.3)."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: list[str] = []  # the next one last

    def reload(self, members: dict[str, Member], first: list[str]) -> None:
        """Drop who is no member any more; those in ``first`` are next, the last of them before all."""
        self._names = [name for name in self._names if name in members] + first

    def next(self, members: dict[str, Member], eligible: Callable[[Member], bool]) -> str | None:
        """The next member that is eligible; None if no member is."""
        for _ in range(2):
            while self._names:
                name = self._names.pop()
                if eligible(members[name]):
                    return name
            self._names += members
            self._rng.shuffle(self._names)
        return None


@dataclass(slots=True)
class PingInFlight:
    """A ping that awaits an ack: our own, or one for ``requester``, with the number that it gave."""

    target: str
    direct_until_us: int  # until when a direct ack is awaited
    until_us: int
    attempt: int = 1
    indirect: bool = False  # whether others were asked to ping
    requester: str = ""
    requester_number: int = 0


class PingsInFlight:
    """Pings that await an ack, by number."""

    def __init__(self) -> None:
        self.by_number: dict[int, PingInFlight] = {}
        self._number = 0

    @property
    def full(self) -> bool:
        """Whether no more pings may be sent."""
        return len(self.by_number) >= MAX_PINGS_IN_FLIGHT

    def has_own(self, target: str) -> bool:
        """Whether a ping of our own to this member awaits an ack."""
        return any(ping.target == target and not ping.requester for ping in self.by_number.values())

    def add(self, ping: PingInFlight) -> int:
        """Record a ping and return its number."""
        self._number += 1
        self.by_number[self._number] = ping
        return self._number

    def acked(self, number: int, target: str) -> PingInFlight | None:
        """Remove and return the ping to ``target`` of this number; None if there is none."""
        ping = self.by_number.get(number)
        if ping is None or ping.target != target:
            return None
        return self.by_number.pop(number)

    def reload(self, members: dict[str, Member]) -> None:
        """Drop pings to who is no member any more."""
        self.by_number = {n: ping for n, ping in self.by_number.items() if ping.target in members}

    def postpone(self, us: int) -> None:
        """This process was paused for so long: acks may still lie unread."""
        for ping in self.by_number.values():
            ping.direct_until_us += us
            ping.until_us += us
