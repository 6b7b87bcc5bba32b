"""The order in which the failure detector pings members, and its pings that await an ack."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from robinhill.mesh.member_table import Member

MAX_PINGS_IN_FLIGHT = 64  # including pings on behalf of others; only a flood of such requests can exceed it


class PingRound:
    """Yields each member once per round, in an order that is shuffled for each round (SWIM, section 4.3)."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: list[str] = []  # members still to be pinged in this round, the next member at the end

    def reload(self, members: dict[str, Member], first: list[str]) -> None:
        """Drop names that are no longer members, and make `next` return the names in ``first`` first.

        Their order is reversed: the last name in ``first`` is returned by the next call.
        """
        self._names = [name for name in self._names if name in members] + first

    def next(self, members: dict[str, Member], eligible: Callable[[Member], bool]) -> str | None:
        """Return the name of the next eligible member, skipping others; None if no member is eligible.

        A new round starts once all members of the current round were returned or skipped.
        """
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
    """A ping that awaits an ack: this scheduler's own ping, or a ping on behalf of ``requester``.

    ``requester_number``: the number of the ping in the requester's message; 0 for an own ping.
    """

    target: str
    direct_until_us: int  # deadline of a direct ack
    until_us: int  # deadline of a direct or indirect ack
    attempt: int = 1
    indirect: bool = False  # whether indirect pings were requested, or this ping is on behalf of a requester
    requester: str = ""  # empty for an own ping
    requester_number: int = 0


class PingsInFlight:
    """The pings that await an ack, by number."""

    def __init__(self) -> None:
        self.by_number: dict[int, PingInFlight] = {}
        self._number = 0

    @property
    def full(self) -> bool:
        """Whether no more pings may be sent."""
        return len(self.by_number) >= MAX_PINGS_IN_FLIGHT

    def has_own(self, target: str) -> bool:
        """Whether a ping to this member that was not sent on behalf of another member awaits an ack."""
        return any(ping.target == target and not ping.requester for ping in self.by_number.values())

    def add(self, ping: PingInFlight) -> int:
        """Record a ping and return its number."""
        self._number += 1
        self.by_number[self._number] = ping
        return self._number

    def acked(self, number: int, target: str) -> PingInFlight | None:
        """Remove and return the ping to ``target`` with this number; None if there is none."""
        ping = self.by_number.get(number)
        if ping is None or ping.target != target:
            return None
        return self.by_number.pop(number)

    def reload(self, members: dict[str, Member]) -> None:
        """Drop the pings to names that are no longer members."""
        self.by_number = {n: ping for n, ping in self.by_number.items() if ping.target in members}

    def postpone(self, us: int) -> None:
        """Postpone all deadlines by ``us``, the duration of a pause of this process.

        The process may not yet have read acks that arrived during the pause.
        """
        for ping in self.by_number.values():
            ping.direct_until_us += us
            ping.until_us += us
